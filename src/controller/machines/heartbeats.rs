//! What heartbeats tell of machines and tasks.

use crate::controller::context::{BATCH_MS, Context};
use crate::controller::events::Reply;
use crate::controller::machines::inventory::Machine;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::Phase;
use crate::controller::store::records::JobKind;
use crate::ids::{Attempt, MachineId, RequestId, TaskId, Time};
use crate::wire::{Cause, HeartbeatTask, MachineType, TaskStatus, WorkerHeartbeat, commands_body};
use log::{debug, info, warn};

/// A start is sent this often before its placement is given up.
const SENDS_MAX: u32 = 4;
/// Boots aren't shorter than this share of what the catalog says, unless the machine was
/// up before it was heard of.
const LEAST_BOOT: f64 = 0.3;
/// Pause before a machine that refused a task for want of room gets another.
const FULL_S: f64 = 3.0;
/// A task that has run for so long is taken to be well: crash-looping jobs and quarantined machines fail
/// their tasks as they start.
const RUNS_WELL_S: f64 = 10.0;
/// Pause before a start is tried again that its machine refused for not knowing the job, and
/// after how many of them it grows no longer.
const UNKNOWN_PAUSE_S: f64 = 2.0;
const UNKNOWN_PAUSES: u32 = 8;

impl ShardOwner {
    pub(crate) fn on_heartbeat(
        &mut self,
        context: &mut Context,
        request_id: RequestId,
        id: &MachineId,
        heartbeat: WorkerHeartbeat,
    ) {
        let now = context.now;
        self.last_worker_heartbeat = now;
        // Somebody newer gives commands. Its answers count, ours would be dropped.
        if heartbeat.token > self.token.0 {
            return context.redirect(request_id, id);
        }
        if self.deleted_machines.contains_key(id) {
            return context.answer(request_id, Reply::later(503, 5, "this machine is deleted"));
        }
        self.adopt_unknown_machine(context, id, &heartbeat);
        let token = self.token;
        let proof = heartbeat.token == token.0;
        let forwarded_by = context.forwarding.forwarder(request_id);
        let outcome = self.machines.edit(id, |machine| {
            machine.forwarded_by = forwarded_by;
            machine.record_heartbeat(now, &heartbeat, proof)
        });
        let Some(outcome) = outcome else {
            return;
        };
        if !outcome.fresh {
            // A copy, or overtaken by a newer one: it is answered, since its worker
            // may still wait, but nothing in it is news.
            return context.answer(request_id, Reply::ok(200, commands_body(token, &[])));
        }
        if outcome.first {
            debug!(
                "first heartbeat, machine={id} agent_epoch={} token={} tasks={}",
                heartbeat.agent_epoch,
                heartbeat.token,
                heartbeat.tasks.len()
            );
            self.apply_hinted_images(id, context.standby.hints(), &context.cloud.catalog);
        }
        if outcome.first_ever {
            self.needs_scheduling = true;
            self.record_boot(&context.cloud.catalog, id, now);
        }
        if let Some((old, until)) = outcome.waiting {
            self.long_poll_deadlines.remove(&(until, id.clone()));
            context.answer(old, Reply::ok(200, commands_body(token, &[])));
        }
        let listed = listed_tasks(&heartbeat);
        self.update_tasks(context, id, &listed, proof);
        let commands = self.commands(context, id, &listed);
        if commands.is_empty() && self.start_long_poll(context, id, request_id) {
            return;
        }
        self.send_commands(context, id, request_id, &commands);
    }

    /// A machine nobody here knows heartbeats: an earlier leader's, or one whose scale-out request
    /// was carried out late. It is used, or returned when it isn't wanted.
    fn adopt_unknown_machine(
        &mut self,
        context: &Context,
        id: &MachineId,
        heartbeat: &WorkerHeartbeat,
    ) {
        let now = context.now;
        let (class, zone, spot) = (&heartbeat.class, &heartbeat.zone, heartbeat.spot);
        if self.machines.contains_key(id) {
            // It may be known by name only, or from before the catalog was.
            if self
                .machines
                .get(id)
                .is_some_and(|m| m.machine_type.is_none())
            {
                let set_machine_type =
                    |m: &mut Machine| m.set_machine_type(&context.cloud.catalog, class, zone, spot);
                self.machines.edit(id, set_machine_type);
            }
            return;
        }
        let machine = Machine::new(&context.cloud.catalog, class, zone, spot, now);
        self.machines.insert(id.clone(), machine);
    }

    /// Whether the answer may wait for a command. Only a quiet heartbeat waits, and
    /// less long than until the next one is due.
    fn start_long_poll(
        &mut self,
        context: &Context,
        id: &MachineId,
        request_id: RequestId,
    ) -> bool {
        let Some(machine) = self.machines.get(id) else {
            return false;
        };
        // What ends meanwhile is heard of only when the worker is answered.
        let ends = machine
            .tasks
            .values()
            .any(|s| s.record.kind == JobKind::Batch);
        let poll_s = context.settings.long_poll_s(ends);
        // A worker without our token yet gets it at once.
        if poll_s <= 0.0 || !machine.token_acknowledged {
            return false;
        }
        let until = match machine.is_full() {
            // No start comes for it, and its lease counts from its last answered heartbeat.
            true => context.now.next_multiple(BATCH_MS),
            false => answer_at(context.now, poll_s),
        };
        self.machines
            .touch(id, |machine| machine.long_poll = Some((request_id, until)));
        self.long_poll_deadlines.insert((until, id.clone()));
        true
    }

    /// Takes in what a heartbeat lists, and what it doesn't.
    fn update_tasks(
        &mut self,
        context: &Context,
        id: &MachineId,
        listed: &[ListedTask<'_>],
        proof: bool,
    ) {
        for entry in listed {
            self.update_task(context, id, &entry.task, entry.heartbeat);
        }
        if proof {
            self.remove_unlisted_tasks(context, id, listed);
        }
    }

    /// What a heartbeat that proves absence doesn't list isn't on its machine.
    fn remove_unlisted_tasks(
        &mut self,
        context: &Context,
        id: &MachineId,
        listed: &[ListedTask<'_>],
    ) {
        let now = context.now;
        let ShardOwner { machines, jobs, .. } = self;
        let Some(machine) = machines.get(id) else {
            return;
        };
        let mut gone = Vec::new();
        for task in machine.tasks.keys() {
            let job_state = jobs.get_mut(&task.job);
            let Some(placement) = job_state.and_then(|l| l.placed.get_mut(&task.index)) else {
                continue;
            };
            if listed.iter().any(|l| l.is(task, placement.attempt)) {
                continue;
            }
            match placement.phase {
                Phase::Committing | Phase::Ready => {}
                // The answer that carried the start was lost: its worker reported
                // again, so it has dropped that answer for good. The same attempt
                // was never there, so it can be sent once more.
                Phase::Sent
                    if placement.stop_requested.is_none() && placement.send_count < SENDS_MAX =>
                {
                    placement.phase = Phase::Ready;
                }
                _ => gone.push(task.clone()),
            }
        }
        for task in gone {
            debug!("task gone, task={task} machine={id}");
            self.remove_placement(now, &task);
        }
    }

    fn update_task(&mut self, context: &Context, id: &MachineId, task: &TaskId, t: &HeartbeatTask) {
        let now = context.now;
        let Some(job_state) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(placement) = job_state.placed.get_mut(&task.index) else {
            return;
        };
        if placement.machine != *id || placement.attempt != t.attempt {
            return;
        }
        let phase = match t.status {
            TaskStatus::Fetching => Phase::Fetching,
            TaskStatus::Running => Phase::Running,
            TaskStatus::Checkpointing => Phase::Checkpointing,
            TaskStatus::Ended => return self.on_task_ended(context, id, task, t.cause),
        };
        if placement.phase == phase {
            let runs_well =
                phase == Phase::Running && now.since(placement.phase_since) > RUNS_WELL_S;
            if runs_well && !placement.is_proven_healthy {
                placement.is_proven_healthy = true;
                self.task_succeeded(now, id, task);
            }
            return;
        }
        (placement.phase, placement.phase_since) = (phase, now);
        if phase == Phase::Fetching {
            return;
        }
        let record = job_state.record.clone();
        let catalog = &context.cloud.catalog;
        self.machines.edit(id, |machine| {
            if let Some(bind) = machine.tasks.get_mut(task) {
                bind.image_cached = true;
            }
            if phase == Phase::Running {
                let cache_gb = machine.type_in(catalog).map_or(f64::MAX, |c| c.cache_gb);
                machine.use_image(&record.image, record.image_gb, cache_gb);
            }
        });
    }

    /// An attempt ended. That it did is true however old the heartbeat is.
    fn on_task_ended(
        &mut self,
        context: &Context,
        id: &MachineId,
        task: &TaskId,
        cause: Option<Cause>,
    ) {
        let now = context.now;
        match cause {
            Some(Cause::Done) => {
                self.task_succeeded(now, id, task);
                return self.record_done(now, task);
            }
            Some(Cause::Error) => self.task_failed(context, id, task),
            Some(Cause::Full) => {
                warn!("start refused, task={task} machine={id} reason=no resources left");
                self.machines
                    .edit(id, |machine| machine.full_until = now.after(FULL_S));
            }
            Some(Cause::Unknown) => {
                // Its description isn't there yet, or never will be.
                if let Some(job_state) = self.jobs.get_mut(&task.job) {
                    job_state.unknown_job_refusals += 1;
                    let pauses = job_state.unknown_job_refusals.min(UNKNOWN_PAUSES);
                    job_state.not_before = now.after(UNKNOWN_PAUSE_S * f64::from(pauses));
                }
            }
            _ => {}
        }
        self.remove_placement(now, task);
    }

    fn task_failed(&mut self, context: &Context, id: &MachineId, task: &TaskId) {
        let now = context.now;
        let Some(job_state) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let tries = self.failures.task_failed(now, &task.job, id);
        job_state.not_before = now.after(self.failures.pause_s(&task.job));
        warn!("task failed, task={task} machine={id} failed_tries={tries}");
    }
}

/// A task that a heartbeat lists.
pub(crate) struct ListedTask<'a> {
    pub(crate) task: TaskId,
    pub(crate) heartbeat: &'a HeartbeatTask,
}

impl ListedTask<'_> {
    fn is(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.heartbeat.attempt == attempt && self.task == *task
    }
}

/// The tasks of a heartbeat whose names can be read.
fn listed_tasks(heartbeat: &WorkerHeartbeat) -> Vec<ListedTask<'_>> {
    let tasks = heartbeat.tasks.iter();
    let listed = tasks.filter_map(|heartbeat| {
        let task = TaskId::parse(&heartbeat.task)?;
        Some(ListedTask { task, heartbeat })
    });
    listed.collect()
}

/// When the answer to a heartbeat goes out that may wait for so long: together with others, if
/// there is a moment for it meanwhile.
fn answer_at(now: Time, long_poll_s: f64) -> Time {
    let most = now.after(long_poll_s);
    let together = most.round_down(BATCH_MS);
    if together > now { together } else { most }
}

/// What came of a heartbeat's head.
struct HeartbeatOutcome {
    /// It is newer than any before it.
    fresh: bool,
    /// It is the first that this owner has of the machine.
    first: bool,
    /// It is the machine's first.
    first_ever: bool,
    /// The older heartbeat that waited for its answer.
    waiting: Option<(RequestId, Time)>,
}

impl Machine {
    /// Takes in all of a heartbeat but its tasks. An answer follows in any case.
    fn record_heartbeat(
        &mut self,
        now: Time,
        heartbeat: &WorkerHeartbeat,
        proof: bool,
    ) -> HeartbeatOutcome {
        let fresh = (heartbeat.agent_epoch, heartbeat.sequence) > (self.agent_epoch, self.sequence);
        let first_ever = fresh && self.ready_since.is_none();
        if !fresh {
            self.last_acknowledged = now;
            return HeartbeatOutcome {
                fresh,
                first: false,
                first_ever,
                waiting: None,
            };
        }
        (self.agent_epoch, self.sequence, self.last_heartbeat) =
            (heartbeat.agent_epoch, heartbeat.sequence, now);
        let first = self.first_heartbeat.is_none();
        self.first_heartbeat.get_or_insert(now);
        self.token_acknowledged |= proof;
        if first_ever {
            self.ready_since = Some(now);
            self.empty.get_or_insert(now);
            let boot = now.since(self.since);
            info!(
                "machine ready, machine={} type={} zone={} boot_s={boot:.0}",
                heartbeat.machine, self.type_name, self.zone
            );
        }
        self.notice = heartbeat.notice_s.map(|s| now.after(s.0));
        let waiting = self.long_poll.take();
        if waiting.is_some() {
            self.last_acknowledged = now;
        }
        HeartbeatOutcome {
            fresh,
            first,
            first_ever,
            waiting,
        }
    }
}

impl ShardOwner {
    /// A machine came up. One that was merely heard lately tells nothing of its boot.
    fn record_boot(&mut self, catalog: &[MachineType], id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let took_s = now.since(machine.since);
        let ready_s = machine.type_in(catalog).map(|found| found.ready_s);
        if let (Some(machine_type), Some(ready_s)) = (machine.machine_type, ready_s)
            && took_s > ready_s * LEAST_BOOT
        {
            self.observe_boot_time(machine_type, ready_s, took_s);
        }
    }
}
