//! Commands to a hollow cell's thread, and the samples that it returns.

use super::store::StoreCounts;
use super::traffic::KindTraffic;
use crate::procfs::CpuTime;
use std::sync::mpsc::Sender;

/// A command to a hollow cell's thread.
pub enum Command {
    /// Users begin to submit jobs.
    StartLoad,
    /// Machines fail.
    FailMachines {
        /// How many.
        count: usize,
        /// Only machines of this zone.
        zone: Option<String>,
        /// Milliseconds over which they fail.
        over_ms: u64,
    },
    /// The store answers no request for a while.
    StoreOutage {
        /// For how many milliseconds.
        for_ms: u64,
    },
    /// Users submit batch jobs at this multiple of the initial rate.
    SetLoadFactor(f64),
    /// Operators set a team's limit.
    SetLimit {
        /// The team.
        team: String,
        /// CPUs and GPUs.
        limit: (f64, f64),
    },
    /// Return a sample.
    Sample(Sender<CellSample>),
    /// End the thread.
    Stop,
}

/// The state and the counters of one cell.
#[derive(Clone, Debug)]
pub struct CellSample {
    /// Id of the leader.
    pub leader: Option<String>,
    /// Id of the first shard's owner.
    pub shard_owner: Option<String>,
    /// Workers whose machines run.
    pub running_workers: usize,
    /// Workers that have been answered under a fencing token.
    pub joined_workers: usize,
    /// Controllers whose latest health probe succeeded.
    pub healthy_controllers: usize,
    /// Running tasks.
    pub running_tasks: usize,
    /// Batch and urgent jobs that haven't ended.
    pub open_jobs: usize,
    /// Keys at the store.
    pub stored_keys: usize,
    /// Requests of users that failed.
    pub user_failures: u64,
    /// Tasks killed by the expiry of their worker's lease.
    pub lease_kills: u64,
    /// Counters of the store.
    pub store: StoreCounts,
    /// Traffic by kind of connection.
    pub traffic: Vec<KindTraffic>,
    /// Processor time of the cell's thread.
    pub thread_cpu: CpuTime,
}
