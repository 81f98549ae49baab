//! The owner of a shard: its jobs, machines and placements, and how they are written.
//!
//! A placement is committed, on the condition that the shard and the job are unchanged, before its
//! start is sent to anyone (`commits`). `job` has what is known of a job, `admission` takes jobs in and
//! lets them go, `completion` writes their ends, `image_demand` and `burst_estimate` remember what
//! came.

pub(crate) mod admission;
pub(crate) mod burst_estimate;
pub(crate) mod commits;
pub(crate) mod completion;
pub(crate) mod image_demand;
pub(crate) mod job;
pub(crate) mod transaction;

use crate::controller::audit::AuditError;
use crate::controller::context::RECENT_S;
use crate::controller::machines::failures::FailureLog;
use crate::controller::machines::inventory::{Inventory, Machine};
use crate::controller::pool::Pool;
use crate::controller::shard::burst_estimate::BurstEstimate;
use crate::controller::shard::commits::{WriteQueue, WriteUrgency};
use crate::controller::shard::image_demand::ImageDemand;
use crate::controller::shard::job::{JobState, Phase, Placement};
use crate::controller::store::records::{PriorityClass, Resources, ShardRecord};
use crate::ids::{
    Attempt, ControllerId, FencingToken, Image, JobId, MachineId, RequestId, TaskId, Time,
};
use crate::wire::MachineType;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// One ownership of one shard: a response to what was asked under it means nothing to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ShardOwnership {
    /// The shard.
    pub(crate) shard: u32,
    /// The token of this ownership.
    pub(crate) token: FencingToken,
}

/// What is left of an amount of which half is forgotten in `half_s`.
fn decayed(amount: f64, passed_s: f64, half_s: f64) -> f64 {
    amount * 0.5f64.powf(passed_s / half_s)
}

/// One ownership of a shard: all that its owner knows and decides.
pub(crate) struct ShardOwner {
    pub shard: u32,
    pub token: FencingToken,
    /// The revision of the shard's record that is known here; every write rests on it.
    pub shard_revision: u64,
    /// When this ownership began.
    pub owned_since: Time,
    /// Whether it is the only shard, with every machine there is in it.
    pub is_only_shard: bool,
    /// Zones of which so many machines are silent that they are taken to be partitioned.
    pub(crate) partitioned_zones: BTreeSet<Rc<str>>,
    /// When there last was one.
    pub(crate) zones_partitioned_at: Option<Time>,
    /// When each controller was last found to hear no worker, or not to be heard.
    pub(crate) unreachable_at: BTreeMap<Option<ControllerId>, Time>,
    /// What teams with a limit may use here; `None` for their whole limit.
    pub(crate) quota_shares: Option<BTreeMap<String, (f64, f64)>>,
    /// Whether the limits are shared with other cells.
    pub(crate) shares_limits: bool,
    /// Attempts made under this token.
    pub(crate) attempts_made: u64,
    /// The shard's jobs that aren't over.
    pub jobs: BTreeMap<JobId, JobState>,
    /// Its machines.
    pub machines: Inventory,
    /// What each team uses here.
    pub(crate) teams: HashMap<String, Resources>,
    /// How services' demand for each pool comes.
    pub(crate) burst_estimates: BTreeMap<Pool, BurstEstimate>,
    /// What failed, and whom it speaks against.
    pub(crate) failures: FailureLog,
    /// How long machines of each type have taken to boot lately.
    pub(crate) boot_averages_s: BTreeMap<usize, f64>,
    /// Images of services.
    pub(crate) images: HashMap<Image, ImageDemand>,
    /// Jobs with queued tasks.
    pub(crate) waiting: BTreeSet<JobId>,
    /// Something has changed that scheduling depends on.
    pub(crate) needs_scheduling: bool,
    /// No scheduling cycle before this.
    pub(crate) next_cycle_at: Time,
    /// When machines are next emptied.
    pub(crate) next_consolidation_at: Time,
    /// Chunks to write, by urgency.
    pub(crate) write_queue: WriteQueue,
    /// Transactions of placements without a response yet.
    pub(crate) writes_in_flight: usize,
    /// Jobs whose last record is to be written: all done, or cancelled and gone.
    pub(crate) ready_to_end_jobs: BTreeSet<JobId>,
    /// Chunks of jobs that are over, to be deleted.
    pub(crate) leftover_placements: Vec<(JobId, u32)>,
    /// Whether a deletion of such chunks is pending.
    pub(crate) deleting_placements: bool,
    /// When the long polls of machines have to be answered.
    pub(crate) long_poll_deadlines: BTreeSet<(Time, MachineId)>,
    /// Machines that the cloud has deleted, and when: late copies of their heartbeats may come.
    pub(crate) deleted_machines: BTreeMap<MachineId, Time>,
    /// When the latest heartbeat of any machine came.
    pub(crate) last_worker_heartbeat: Time,
    /// Whether so many machines are silent that they are partitioned rather than down.
    pub(crate) is_mass_partition: bool,
    /// When that was last so. Machines get time from then to come back.
    pub(crate) partitioned_at: Time,
}

impl ShardOwner {
    pub(crate) fn new(shard: u32, token: FencingToken, now: Time, shares_limits: bool) -> Self {
        Self {
            shard,
            token,
            shard_revision: 0,
            owned_since: now,
            is_only_shard: true,
            partitioned_zones: BTreeSet::new(),
            zones_partitioned_at: None,
            unreachable_at: BTreeMap::new(),
            quota_shares: None,
            shares_limits,
            attempts_made: 0,
            jobs: BTreeMap::new(),
            machines: Inventory::default(),
            teams: HashMap::new(),
            burst_estimates: BTreeMap::new(),
            failures: FailureLog::default(),
            boot_averages_s: BTreeMap::new(),
            images: HashMap::new(),
            waiting: BTreeSet::new(),
            needs_scheduling: true,
            next_cycle_at: now,
            next_consolidation_at: now,
            write_queue: BTreeSet::new(),
            writes_in_flight: 0,
            ready_to_end_jobs: BTreeSet::new(),
            leftover_placements: Vec::new(),
            deleting_placements: false,
            long_poll_deadlines: BTreeSet::new(),
            deleted_machines: BTreeMap::new(),
            last_worker_heartbeat: now,
            is_mass_partition: false,
            partitioned_at: now,
        }
    }

    /// Which ownership of which shard this is.
    pub(crate) fn ownership(&self) -> ShardOwnership {
        ShardOwnership {
            shard: self.shard,
            token: self.token,
        }
    }

    pub(crate) fn first_long_poll_deadline(&self) -> Option<Time> {
        self.long_poll_deadlines.first().map(|(t, _)| *t)
    }

    pub(crate) fn long_polling_requests(&self) -> Vec<RequestId> {
        let held = self
            .machines
            .values()
            .filter_map(|machine| machine.long_poll);
        held.map(|(request_id, _)| request_id).collect()
    }

    /// Takes over what the shard's record says besides who holds it.
    pub(crate) fn sync(
        &mut self,
        now: Time,
        revision: u64,
        record: &ShardRecord,
        catalog: &[MachineType],
    ) {
        self.shard_revision = revision;
        self.is_only_shard = record.machines.is_none();
        self.quota_shares = record.quota_shares.clone();
        if self.shares_limits {
            // Until the shard's record says what it may use, it may use nothing.
            self.quota_shares.get_or_insert_default();
        }
        self.needs_scheduling = true;
        let Some(list) = &record.machines else {
            return;
        };
        for (id, type_name, zone, spot) in list {
            if !self.machines.contains_key(id) && !self.deleted_machines.contains_key(id) {
                let machine = Machine::new(catalog, type_name, zone, *spot, now);
                self.machines.insert(id.clone(), machine);
            }
        }
    }

    pub(crate) fn drop_long_poll(&mut self, request_id: RequestId) {
        let held = self
            .long_poll_deadlines
            .iter()
            .find(|(_, id)| {
                let machine = self.machines.get(id);
                machine
                    .and_then(|machine| machine.long_poll)
                    .is_some_and(|(r, _)| r == request_id)
            })
            .cloned();
        if let Some(entry) = held {
            self.long_poll_deadlines.remove(&entry);
            self.machines
                .edit(&entry.1, |machine| machine.long_poll = None);
        }
    }

    /// Whether workers have reported here and none does any more.
    pub(crate) fn workers_unreachable(&self, now: Time) -> bool {
        let had = self
            .machines
            .values()
            .any(|machine| machine.agent_epoch > 0);
        had && now.since(self.last_worker_heartbeat) > RECENT_S
    }

    pub(crate) fn next_attempt(&mut self) -> Attempt {
        self.attempts_made += 1;
        Attempt::new(self.token, self.attempts_made)
    }

    /// Enters a placement: its room and quota count from now on.
    pub(crate) fn add_placement(&mut self, job: &JobId, index: u32, placement: Placement) {
        let Some(job_state) = self.jobs.get_mut(job) else {
            return;
        };
        let task = TaskId {
            job: job.clone(),
            index,
        };
        let record = &job_state.record;
        self.machines
            .edit(&placement.machine, |machine| machine.bind(task, record));
        self.teams
            .entry(record.team.clone())
            .or_default()
            .add(record.resources, 1.0);
        job_state.placed.insert(index, placement);
    }

    /// A task's placement, to be changed.
    pub(crate) fn placement_mut(&mut self, task: &TaskId) -> Option<&mut Placement> {
        let job_state = self.jobs.get_mut(&task.job)?;
        job_state.placed.get_mut(&task.index)
    }

    /// Gives a job another rank, also where its tasks are.
    pub(crate) fn set_priority_class(&mut self, job: &JobId, priority_class: PriorityClass) {
        let Some(job_state) = self
            .jobs
            .get_mut(job)
            .filter(|l| l.record.priority_class != priority_class)
        else {
            return;
        };
        job_state.set_priority_class(priority_class);
        for (index, placement) in &job_state.placed {
            let (job, index) = (job.clone(), *index);
            let task = TaskId { job, index };
            self.machines.edit(&placement.machine, |machine| {
                machine.rebind(&task, &job_state.record);
            });
        }
        self.needs_scheduling = true;
    }

    /// Whether a task's start was never sent and no commit of it is under way: it can't be on
    /// its machine. An earlier commit without an answer may yet be carried out, but the
    /// attempt that it names is never sent once the placement is taken out. While commits of
    /// a guest's array were waited for, their tasks kept all room from urgent starts.
    pub(crate) fn was_never_sent(&self, task: &TaskId) -> bool {
        let Some(job_state) = self.jobs.get(&task.job) else {
            return false;
        };
        let chunk = job_state.layout.chunk_of(task.index);
        let busy = job_state.chunks.get(&chunk).is_some_and(|c| c.busy);
        match job_state
            .placed
            .get(&task.index)
            .map(|placement| placement.phase)
        {
            Some(Phase::Ready) => true,
            Some(Phase::Committing) => !busy,
            _ => false,
        }
    }

    /// Takes a placement out, once its task is proven gone or was never sent.
    pub(crate) fn remove_placement(&mut self, now: Time, task: &TaskId) {
        let Some(job_state) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(placement) = job_state.placed.remove(&task.index) else {
            return;
        };
        let need = job_state.record.resources;
        if let Some(used) = self.teams.get_mut(&job_state.record.team) {
            used.add(need, -1.0);
        }
        self.machines
            .edit(&placement.machine, |machine| machine.unbind(now, task));
        let done = job_state
            .done
            .get(task.index as usize)
            .copied()
            .unwrap_or(true);
        if job_state.cancelled.is_some() {
            if job_state.placed.is_empty() {
                self.ready_to_end_jobs.insert(task.job.clone());
            }
        } else if !done {
            job_state.queue_from = job_state.queue_from.min(task.index);
            self.waiting.insert(task.job.clone());
        }
        self.needs_scheduling = true;
    }

    /// Notes a finished task.
    pub(crate) fn record_done(&mut self, now: Time, task: &TaskId) {
        let Some(job_state) = self.jobs.get_mut(&task.job) else {
            return;
        };
        match job_state.done.get_mut(task.index as usize) {
            Some(done) if !*done => *done = true,
            _ => return self.remove_placement(now, task),
        }
        job_state.done_count += 1;
        let chunk = job_state.layout.chunk_of(task.index);
        job_state
            .chunks
            .entry(chunk)
            .or_default()
            .has_unwritten_results = true;
        let all = job_state.done_count == job_state.record.count;
        if all && job_state.cancelled.is_none() {
            self.ready_to_end_jobs.insert(task.job.clone());
        } else {
            self.write_queue
                .insert((WriteUrgency::Results, task.job.clone(), chunk));
        }
        self.remove_placement(now, task);
    }

    /// Recounts what teams use and which tasks machines have, and checks the indexes.
    pub(crate) fn audit(&self) -> Result<(), AuditError> {
        let (mut bound, mut teams) = (0, HashMap::<&str, Resources>::new());
        for (job, job_state) in &self.jobs {
            let record = &job_state.record;
            for (index, placement) in &job_state.placed {
                let used = teams.entry(&record.team).or_default();
                used.add(record.resources, 1.0);
                let Some(machine) = self.machines.get(&placement.machine) else {
                    continue;
                };
                bound += 1;
                let (job, index) = (job.clone(), *index);
                let task = TaskId { job, index };
                if !machine.tasks.contains_key(&task) {
                    let machine = placement.machine.clone();
                    return Err(AuditError::NotBound { task, machine });
                }
            }
        }
        let bindings = self.machines.values().map(|machine| machine.tasks.len());
        if bound != bindings.sum::<usize>() {
            return Err(AuditError::NotPlaced);
        }
        for (team, used) in &self.teams {
            let recounted = teams.get(team.as_str()).copied().unwrap_or_default();
            if !used.holds(recounted) || !recounted.holds(*used) {
                return Err(AuditError::TeamUse {
                    team: team.clone(),
                    counted: *used,
                    recounted,
                });
            }
        }
        self.machines.audit()
    }
}
