//! The owner of a shard: the state of its jobs, machines and placements, and the commits of that
//! state to the store.
//!
//! A placement is committed before its start command is sent to the worker. The transaction
//! requires that the records of the shard and of the job are unchanged.
//!
//! - `job`: state of one job and its placements.
//! - `admission`: adds jobs to the shard, cancels them and removes them.
//! - `commits` and `transaction`: commits of placements and results.
//! - `completion`: commits of job ends, and deletion of leftover records.
//! - `burst_estimate`: estimates of how services' demand varies and how long machines boot.
//! - `image_demand`: how often services with each image arrive.

pub(crate) mod admission;
pub(crate) mod burst_estimate;
pub(crate) mod commits;
pub(crate) mod completion;
pub(crate) mod image_demand;
pub(crate) mod job;
pub(crate) mod transaction;

use crate::controller::audit::AuditError;
use crate::controller::context::RECENT_HEARTBEAT_S;
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

/// Identifies one ownership of one shard. A response to a request that was sent under one
/// ownership is ignored under any other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ShardOwnership {
    pub(crate) shard: u32,
    /// The fencing token of the ownership.
    pub(crate) token: FencingToken,
}

/// Exponential decay of an amount over `elapsed_s` seconds with the half-life `half_life_s`.
fn decay(amount: f64, elapsed_s: f64, half_life_s: f64) -> f64 {
    amount * 0.5f64.powf(elapsed_s / half_life_s)
}

/// State of a shard during one ownership. A new ownership starts with a new value.
pub(crate) struct ShardOwner {
    pub shard: u32,
    pub token: FencingToken,
    /// Revision of the shard's record as known here. It is a precondition of every write, so that
    /// a former owner can't commit anything.
    pub shard_revision: u64,
    pub owned_since: Time,
    /// Whether this is the only shard, which has every machine of the fleet.
    pub is_only_shard: bool,
    /// Zones that are considered partitioned, because many of their machines are silent.
    pub(crate) partitioned_zones: BTreeSet<Rc<str>>,
    /// When `partitioned_zones` was last not empty.
    pub(crate) zones_partitioned_at: Option<Time>,
    /// When each controller was last found to receive no worker heartbeats, or to be silent
    /// itself. The key `None` stands for this controller.
    pub(crate) unreachable_at: BTreeMap<Option<ControllerId>, Time>,
    /// CPUs and GPUs that each team with a limit may use in this shard. `None` if each team may
    /// use its whole limit here.
    pub(crate) quota_shares: Option<BTreeMap<String, (f64, f64)>>,
    /// Whether team limits are shared with other cells.
    pub(crate) shares_limits: bool,
    /// Number of attempts created under this token.
    pub(crate) attempts_made: u64,
    /// Jobs of the shard whose end isn't committed.
    pub jobs: BTreeMap<JobId, JobState>,
    pub machines: Inventory,
    /// Resources that each team uses in this shard.
    pub(crate) usage_by_team: HashMap<String, Resources>,
    /// How much services' demand for each pool varies.
    pub(crate) burst_estimates: BTreeMap<Pool, BurstEstimate>,
    /// Failed attempts of tasks, with the job or machine that they are attributed to.
    pub(crate) failures: FailureLog,
    /// Moving average of boot times in seconds, by index of the machine type in the catalog.
    pub(crate) boot_averages_s: BTreeMap<usize, f64>,
    /// Demand for images that services use.
    pub(crate) images: HashMap<Image, ImageDemand>,
    /// Jobs with queued tasks.
    pub(crate) jobs_with_queued_tasks: BTreeSet<JobId>,
    /// Whether something that scheduling depends on has changed since the last cycle.
    pub(crate) needs_scheduling: bool,
    /// Earliest time of the next scheduling cycle.
    pub(crate) next_cycle_at: Time,
    /// Earliest time of the next consolidation, which empties machines with few tasks.
    pub(crate) next_consolidation_at: Time,
    /// Chunks to write, the most urgent first.
    pub(crate) write_queue: WriteQueue,
    /// Number of placement transactions that are waiting for a response.
    pub(crate) writes_in_flight: usize,
    /// Jobs whose end is to be committed: either all tasks are done, or the job is cancelled and
    /// none of its tasks is placed.
    pub(crate) ready_to_end_jobs: BTreeSet<JobId>,
    /// Chunks of ended jobs that are to be deleted.
    pub(crate) leftover_placements: Vec<(JobId, u32)>,
    /// Whether a deletion of `leftover_placements` is in flight.
    pub(crate) is_deleting_placements: bool,
    /// Deadlines by which the long polls of machines have to be answered.
    pub(crate) long_poll_deadlines: BTreeSet<(Time, MachineId)>,
    /// Machines that the cloud has deleted, with the time of deletion. They are remembered because
    /// late copies of their heartbeats may still arrive.
    pub(crate) deleted_machines: BTreeMap<MachineId, Time>,
    /// When the latest heartbeat of any machine arrived.
    pub(crate) last_worker_heartbeat: Time,
    /// Whether so many machines are silent that a partition is more likely than failures.
    pub(crate) is_mass_partition: bool,
    /// When `is_mass_partition` was last true or `partitioned_zones` was last not empty; initially
    /// the start of the ownership. Silent machines get time from then on to reconnect.
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
            usage_by_team: HashMap::new(),
            burst_estimates: BTreeMap::new(),
            failures: FailureLog::default(),
            boot_averages_s: BTreeMap::new(),
            images: HashMap::new(),
            jobs_with_queued_tasks: BTreeSet::new(),
            needs_scheduling: true,
            next_cycle_at: now,
            next_consolidation_at: now,
            write_queue: BTreeSet::new(),
            writes_in_flight: 0,
            ready_to_end_jobs: BTreeSet::new(),
            leftover_placements: Vec::new(),
            is_deleting_placements: false,
            long_poll_deadlines: BTreeSet::new(),
            deleted_machines: BTreeMap::new(),
            last_worker_heartbeat: now,
            is_mass_partition: false,
            partitioned_at: now,
        }
    }

    /// The shard and fencing token that responses to this owner's requests are matched with.
    pub(crate) fn ownership(&self) -> ShardOwnership {
        ShardOwnership {
            shard: self.shard,
            token: self.token,
        }
    }

    pub(crate) fn first_long_poll_deadline(&self) -> Option<Time> {
        self.long_poll_deadlines.first().map(|(at, _)| *at)
    }

    pub(crate) fn long_polling_requests(&self) -> Vec<RequestId> {
        let long_polls = self
            .machines
            .values()
            .filter_map(|machine| machine.long_poll);
        long_polls.map(|(request_id, _)| request_id).collect()
    }

    /// Applies the shard's record: its machines and quota shares. Deciding whether this process
    /// is the owner is up to the caller.
    pub(crate) fn apply_record(
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
            // The shares depend on other cells, so nothing may be used before the shard's record
            // has them.
            self.quota_shares.get_or_insert_default();
        }
        self.needs_scheduling = true;
        let Some(machines) = &record.machines else {
            return;
        };
        for (id, type_name, zone, spot) in machines {
            if !self.machines.contains_key(id) && !self.deleted_machines.contains_key(id) {
                let machine = Machine::new(catalog, type_name, zone, *spot, now);
                self.machines.insert(id.clone(), machine);
            }
        }
    }

    /// Removes the long poll with this request id, which needs no response any more.
    pub(crate) fn drop_long_poll(&mut self, request_id: RequestId) {
        let deadline = self
            .long_poll_deadlines
            .iter()
            .find(|(_, id)| {
                let machine = self.machines.get(id);
                machine
                    .and_then(|machine| machine.long_poll)
                    .is_some_and(|(id, _)| id == request_id)
            })
            .cloned();
        if let Some(deadline) = deadline {
            self.long_poll_deadlines.remove(&deadline);
            self.machines
                .edit(&deadline.1, |machine| machine.long_poll = None);
        }
    }

    /// Whether workers have sent heartbeats to this owner, but none has lately.
    pub(crate) fn workers_unreachable(&self, now: Time) -> bool {
        let has_heard_workers = self
            .machines
            .values()
            .any(|machine| machine.agent_epoch > 0);
        has_heard_workers && now.since(self.last_worker_heartbeat) > RECENT_HEARTBEAT_S
    }

    pub(crate) fn next_attempt(&mut self) -> Attempt {
        self.attempts_made += 1;
        Attempt::new(self.token, self.attempts_made)
    }

    /// Adds a placement. It reserves resources on its machine and counts against its team's quota.
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
        self.usage_by_team
            .entry(record.team.clone())
            .or_default()
            .add(record.resources, 1.0);
        job_state.placed.insert(index, placement);
    }

    pub(crate) fn placement_mut(&mut self, task: &TaskId) -> Option<&mut Placement> {
        let job_state = self.jobs.get_mut(&task.job)?;
        job_state.placed.get_mut(&task.index)
    }

    /// Changes the priority class of a job, also in the inventory of the machines that have its
    /// tasks.
    pub(crate) fn set_priority_class(&mut self, job: &JobId, priority_class: PriorityClass) {
        let Some(job_state) = self
            .jobs
            .get_mut(job)
            .filter(|job_state| job_state.record.priority_class != priority_class)
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

    /// Whether the start of a task was never sent and no commit of its placement is in flight, so
    /// that the task can't be on its machine.
    ///
    /// An earlier commit whose response was lost may still be executed by the store. That is safe,
    /// because the start of its attempt is never sent once the placement is removed. When such
    /// placements were kept until their commits were resolved, the tasks of another team's large
    /// array kept all resources reserved while urgent tasks waited.
    pub(crate) fn was_never_sent(&self, task: &TaskId) -> bool {
        let Some(job_state) = self.jobs.get(&task.job) else {
            return false;
        };
        let chunk = job_state.layout.chunk_of(task.index);
        let is_request_in_flight = job_state
            .chunks
            .get(&chunk)
            .is_some_and(|c| c.is_request_in_flight);
        match job_state
            .placed
            .get(&task.index)
            .map(|placement| placement.phase)
        {
            Some(Phase::Ready) => true,
            Some(Phase::Committing) => !is_request_in_flight,
            _ => false,
        }
    }

    /// Removes a placement. The caller has proof that the task is no longer on its machine, or that
    /// its start was never sent.
    pub(crate) fn remove_placement(&mut self, now: Time, task: &TaskId) {
        let Some(job_state) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(placement) = job_state.placed.remove(&task.index) else {
            return;
        };
        let need = job_state.record.resources;
        if let Some(used) = self.usage_by_team.get_mut(&job_state.record.team) {
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
            job_state.queue_scan_start = job_state.queue_scan_start.min(task.index);
            self.jobs_with_queued_tasks.insert(task.job.clone());
        }
        self.needs_scheduling = true;
    }

    /// Marks a task as done, queues the write of its result or of the job's end, and removes its
    /// placement.
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
        let is_all_done = job_state.done_count == job_state.record.count;
        if is_all_done && job_state.cancelled.is_none() {
            self.ready_to_end_jobs.insert(task.job.clone());
        } else {
            self.write_queue
                .insert((WriteUrgency::Results, task.job.clone(), chunk));
        }
        self.remove_placement(now, task);
    }

    /// Recounts the use of each team and the tasks on each machine, and checks that the indexes
    /// agree with the counts.
    ///
    /// # Errors
    ///
    /// The first difference that is found.
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
        for (team, used) in &self.usage_by_team {
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
