//! Worker heartbeats: what they change in the state of machines and tasks, and how long their
//! answers wait for commands.

use crate::controller::context::{BATCH_INTERVAL_MS, Context};
use crate::controller::events::Reply;
use crate::controller::machines::inventory::Machine;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::Phase;
use crate::controller::store::records::JobKind;
use crate::ids::{Attempt, MachineId, RequestId, TaskId, Time};
use crate::wire::{Cause, HeartbeatTask, MachineType, TaskStatus, WorkerHeartbeat, commands_body};
use log::{debug, info, warn};

/// Number of times that a start is sent before its placement is removed.
const START_SENDS_MAX: u32 = 4;
/// Shortest plausible boot time, as a ratio to the boot time in the catalog. A machine that seems
/// to boot faster was already up when this shard first heard of it.
const BOOT_TIME_MIN_RATIO: f64 = 0.3;
/// Time in seconds during which a machine that refused a task for lack of resources gets no tasks.
const FULL_PAUSE_S: f64 = 3.0;
/// A task that has run for this many seconds counts as a success of its job and machine:
/// crash-looping jobs and faulty machines fail their tasks as they start.
const RUNS_WELL_S: f64 = 10.0;
/// Delay in seconds before a job is retried after a worker refused a start because it doesn't know
/// the job. The delay grows by the same amount with each such refusal.
const UNKNOWN_JOB_PAUSE_S: f64 = 2.0;
/// Number of refusals after which the delay no longer grows.
const UNKNOWN_JOB_PAUSES_MAX: u32 = 8;

impl ShardOwner {
    /// Processes a worker's heartbeat, and answers it now or leaves it waiting for a command.
    pub(crate) fn on_heartbeat(
        &mut self,
        context: &mut Context,
        request_id: RequestId,
        id: &MachineId,
        heartbeat: WorkerHeartbeat,
    ) {
        let now = context.now;
        self.last_worker_heartbeat = now;
        // The worker has acknowledged a newer owner of the shard and drops answers that carry an
        // older token.
        if heartbeat.token > self.token.0 {
            return context.redirect(request_id, id);
        }
        if self.deleted_machines.contains_key(id) {
            return context.answer(request_id, Reply::later(503, 5, "this machine is deleted"));
        }
        self.adopt_unknown_machine(context, id, &heartbeat);
        let token = self.token;
        let shows_token = heartbeat.token == token.0;
        let forwarded_by = context.forwarding.forwarder(request_id);
        let outcome = self.machines.edit(id, |machine| {
            machine.forwarded_by = forwarded_by;
            machine.record_heartbeat(now, &heartbeat, shows_token)
        });
        let Some(outcome) = outcome else {
            return;
        };
        if !outcome.is_fresh {
            // The heartbeat is a duplicate or was overtaken by a newer one. It is answered, since
            // the worker may still wait, but its content is outdated.
            return context.answer(request_id, Reply::ok(200, commands_body(token, &[])));
        }
        if outcome.is_first_for_owner {
            debug!(
                "first heartbeat, machine={id} agent_epoch={} token={} tasks={}",
                heartbeat.agent_epoch,
                heartbeat.token,
                heartbeat.tasks.len()
            );
            self.apply_hinted_images(id, context.standby.hints(), &context.cloud.catalog);
        }
        if outcome.makes_machine_ready {
            self.needs_scheduling = true;
            self.record_boot_time(&context.cloud.catalog, id, now);
        }
        if let Some((previous_request_id, deadline)) = outcome.previous_long_poll {
            self.long_poll_deadlines.remove(&(deadline, id.clone()));
            context.answer(
                previous_request_id,
                Reply::ok(200, commands_body(token, &[])),
            );
        }
        let listed = parse_listed_tasks(&heartbeat);
        self.update_tasks(context, id, &listed, shows_token);
        let commands = self.commands_for(context, id, &listed);
        if commands.is_empty() && self.start_long_poll(context, id, request_id) {
            return;
        }
        self.send_commands(context, id, request_id, &commands);
    }

    /// Adds a machine that sends heartbeats and that this shard doesn't know: it was rented under
    /// an earlier leader, or its scale-out request was carried out late. The machine is used, or
    /// scaled in if it isn't needed.
    fn adopt_unknown_machine(
        &mut self,
        context: &Context,
        id: &MachineId,
        heartbeat: &WorkerHeartbeat,
    ) {
        let now = context.now;
        let (type_name, zone, spot) = (&heartbeat.type_name, &heartbeat.zone, heartbeat.spot);
        if self.machines.contains_key(id) {
            // A known machine may lack its type if only its id was known, or if it was added before
            // the catalog was read.
            if self
                .machines
                .get(id)
                .is_some_and(|machine| machine.machine_type.is_none())
            {
                let set_machine_type = |machine: &mut Machine| {
                    machine.set_machine_type(&context.cloud.catalog, type_name, zone, spot);
                };
                self.machines.edit(id, set_machine_type);
            }
            return;
        }
        let machine = Machine::new(&context.cloud.catalog, type_name, zone, spot, now);
        self.machines.insert(id.clone(), machine);
    }

    /// Delays the answer to a heartbeat for which there are no commands, until there is one or a
    /// deadline passes (a long poll), unless the worker has to be answered at once. Returns whether
    /// the answer is delayed. The deadline lies before the worker's next heartbeat is due.
    fn start_long_poll(
        &mut self,
        context: &Context,
        id: &MachineId,
        request_id: RequestId,
    ) -> bool {
        let Some(machine) = self.machines.get(id) else {
            return false;
        };
        // A worker reports a task that ends during the wait only after it is answered.
        let has_batch_tasks = machine
            .tasks
            .values()
            .any(|binding| binding.record.kind == JobKind::Batch);
        let poll_s = context.settings.long_poll_s(has_batch_tasks);
        // A worker that doesn't have this shard's token yet is answered at once, to get it.
        if poll_s <= 0.0 || !machine.has_acknowledged_token {
            return false;
        }
        let deadline = match machine.is_full() {
            // A full machine gets no starts to wait for. Its lease counts from its last answered
            // heartbeat, so it is answered with the next batch.
            true => context.now.next_multiple(BATCH_INTERVAL_MS),
            false => long_poll_deadline(context.now, poll_s),
        };
        self.machines.edit_unindexed(id, |machine| {
            machine.long_poll = Some((request_id, deadline));
        });
        self.long_poll_deadlines.insert((deadline, id.clone()));
        true
    }

    /// Updates the placements on a machine from the tasks that a heartbeat lists. If the heartbeat
    /// shows this shard's token, placements that it doesn't list are removed.
    fn update_tasks(
        &mut self,
        context: &Context,
        id: &MachineId,
        listed: &[ListedTask<'_>],
        shows_token: bool,
    ) {
        for entry in listed {
            self.update_task(context, id, &entry.task, entry.listed);
        }
        if shows_token {
            self.remove_unlisted_tasks(context, id, listed);
        }
    }

    /// Removes the placements that a heartbeat with this shard's token doesn't list: its list is
    /// complete, so the tasks aren't on the machine.
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
        let mut unlisted = Vec::new();
        for task in machine.tasks.keys() {
            let job_state = jobs.get_mut(&task.job);
            let Some(placement) =
                job_state.and_then(|job_state| job_state.placed.get_mut(&task.index))
            else {
                continue;
            };
            if listed
                .iter()
                .any(|entry| entry.matches(task, placement.attempt))
            {
                continue;
            }
            match placement.phase {
                Phase::Committing | Phase::Ready => {}
                // The answer with the start was lost. The worker has sent another heartbeat since,
                // so it won't accept that answer any more. The attempt never reached the machine
                // and its start can be sent again.
                Phase::Sent
                    if placement.stop_requested.is_none()
                        && placement.send_count < START_SENDS_MAX =>
                {
                    placement.phase = Phase::Ready;
                }
                _ => unlisted.push(task.clone()),
            }
        }
        for task in unlisted {
            debug!("placement removed, task={task} machine={id} reason=not in heartbeat");
            self.remove_placement(now, &task);
        }
    }

    /// Updates the placement of a task from its entry in a heartbeat of the machine `id`.
    fn update_task(
        &mut self,
        context: &Context,
        id: &MachineId,
        task: &TaskId,
        listed: &HeartbeatTask,
    ) {
        let now = context.now;
        let Some(job_state) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(placement) = job_state.placed.get_mut(&task.index) else {
            return;
        };
        if placement.machine != *id || placement.attempt != listed.attempt {
            return;
        }
        let phase = match listed.status {
            TaskStatus::Fetching => Phase::Fetching,
            TaskStatus::Running => Phase::Running,
            TaskStatus::Checkpointing => Phase::Checkpointing,
            TaskStatus::Ended => return self.on_task_ended(context, id, task, listed.cause),
        };
        if placement.phase == phase {
            let runs_well =
                phase == Phase::Running && now.since(placement.phase_since) > RUNS_WELL_S;
            if runs_well && !placement.is_proven_healthy {
                placement.is_proven_healthy = true;
                self.record_task_success(now, id, task);
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
            if let Some(binding) = machine.tasks.get_mut(task) {
                binding.is_image_cached = true;
            }
            if phase == Phase::Running {
                let cache_gb = machine
                    .type_in(catalog)
                    .map_or(f64::MAX, |found| found.cache_gb);
                machine.use_image(&record.image, record.image_gb, cache_gb);
            }
        });
    }

    /// Processes the end of an attempt. An end is final, so it counts even if the heartbeat doesn't
    /// show this shard's token.
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
                self.record_task_success(now, id, task);
                return self.record_done(now, task);
            }
            Some(Cause::Error) => self.record_task_failure(context, id, task),
            Some(Cause::Full) => {
                warn!("start refused, task={task} machine={id} reason=no resources left");
                self.machines
                    .edit(id, |machine| machine.full_until = now.after(FULL_PAUSE_S));
            }
            Some(Cause::Unknown) => {
                // The worker doesn't have the job's description, which may arrive later or never.
                if let Some(job_state) = self.jobs.get_mut(&task.job) {
                    job_state.unknown_job_refusals += 1;
                    let pauses = job_state.unknown_job_refusals.min(UNKNOWN_JOB_PAUSES_MAX);
                    job_state.not_before = now.after(UNKNOWN_JOB_PAUSE_S * f64::from(pauses));
                }
            }
            _ => {}
        }
        self.remove_placement(now, task);
    }

    /// Records that a task failed, and delays the job's next try accordingly.
    fn record_task_failure(&mut self, context: &Context, id: &MachineId, task: &TaskId) {
        let now = context.now;
        let Some(job_state) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let tries = self.failures.record_failure(now, &task.job, id);
        job_state.not_before = now.after(self.failures.retry_delay_s(&task.job));
        warn!("task failed, task={task} machine={id} failed_tries={tries}");
    }
}

/// An entry of a heartbeat's task list, with the task's id parsed.
pub(crate) struct ListedTask<'a> {
    pub(crate) task: TaskId,
    pub(crate) listed: &'a HeartbeatTask,
}

impl ListedTask<'_> {
    fn matches(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.listed.attempt == attempt && self.task == *task
    }
}

/// Parses the task ids in a heartbeat. Entries with malformed ids are left out.
fn parse_listed_tasks(heartbeat: &WorkerHeartbeat) -> Vec<ListedTask<'_>> {
    let tasks = heartbeat.tasks.iter();
    let listed_tasks = tasks.filter_map(|listed| {
        let task = TaskId::parse(&listed.task)?;
        Some(ListedTask { task, listed })
    });
    listed_tasks.collect()
}

/// Returns when a heartbeat that may wait for `long_poll_s` seconds is answered. The time is
/// rounded down to a multiple of [`BATCH_INTERVAL_MS`], so that answers go out in batches, unless
/// that isn't after `now`.
fn long_poll_deadline(now: Time, long_poll_s: f64) -> Time {
    let latest = now.after(long_poll_s);
    let batched = latest.round_down(BATCH_INTERVAL_MS);
    if batched > now { batched } else { latest }
}

/// The effects of a heartbeat on its machine's state, apart from the tasks.
struct HeartbeatOutcome {
    /// The heartbeat is newer than all earlier ones of the machine.
    is_fresh: bool,
    /// The heartbeat is the first that this owner of the shard has received from the machine.
    is_first_for_owner: bool,
    /// The machine wasn't known to be ready before, and this heartbeat shows that it is.
    makes_machine_ready: bool,
    /// Request and deadline of an older heartbeat that was still waiting for its answer.
    previous_long_poll: Option<(RequestId, Time)>,
}

impl Machine {
    /// Records all parts of a heartbeat except its tasks. The caller must answer the heartbeat,
    /// since an outdated one already counts as answered here.
    fn record_heartbeat(
        &mut self,
        now: Time,
        heartbeat: &WorkerHeartbeat,
        shows_token: bool,
    ) -> HeartbeatOutcome {
        let is_fresh =
            (heartbeat.agent_epoch, heartbeat.sequence) > (self.agent_epoch, self.sequence);
        let makes_machine_ready = is_fresh && self.ready_since.is_none();
        if !is_fresh {
            self.last_answered_at = now;
            return HeartbeatOutcome {
                is_fresh,
                is_first_for_owner: false,
                makes_machine_ready,
                previous_long_poll: None,
            };
        }
        (self.agent_epoch, self.sequence, self.last_heartbeat) =
            (heartbeat.agent_epoch, heartbeat.sequence, now);
        let is_first_for_owner = self.first_heartbeat.is_none();
        self.first_heartbeat.get_or_insert(now);
        self.has_acknowledged_token |= shows_token;
        if makes_machine_ready {
            self.ready_since = Some(now);
            self.empty_since.get_or_insert(now);
            let boot_s = now.since(self.known_since);
            info!(
                "machine ready, machine={} type={} zone={} boot_s={boot_s:.0}",
                heartbeat.machine, self.type_name, self.zone
            );
        }
        self.preemption_at = heartbeat.notice_s.map(|notice_s| now.after(notice_s.0));
        let previous_long_poll = self.long_poll.take();
        if previous_long_poll.is_some() {
            self.last_answered_at = now;
        }
        HeartbeatOutcome {
            is_fresh,
            is_first_for_owner,
            makes_machine_ready,
            previous_long_poll,
        }
    }
}

impl ShardOwner {
    /// Records the boot time of a machine that became ready. A machine that was already up when
    /// this shard first heard of it is left out, since its boot time isn't known.
    fn record_boot_time(&mut self, catalog: &[MachineType], id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let boot_s = now.since(machine.known_since);
        let ready_s = machine.type_in(catalog).map(|found| found.ready_s);
        if let (Some(machine_type), Some(ready_s)) = (machine.machine_type, ready_s)
            && boot_s > ready_s * BOOT_TIME_MIN_RATIO
        {
            self.observe_boot_time(machine_type, ready_s, boot_s);
        }
    }
}
