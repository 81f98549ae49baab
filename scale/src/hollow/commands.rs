//! Commands to the thread of a hollow cell, and the samples that it returns.

use super::store::StoreCounts;
use super::traffic::KindTraffic;
use crate::procfs::CpuTime;
use std::sync::mpsc::Sender;

/// A command to the thread of a hollow cell.
pub enum Command {
    /// Starts the load: users submit jobs at the rates of the experiment.
    StartLoad,
    /// Makes machines fail.
    FailMachines {
        /// Number of machines.
        count: usize,
        /// Zone of the machines; all zones if `None`.
        zone: Option<String>,
        /// Period over which the failures are spread, in milliseconds.
        over_ms: u64,
    },
    /// Starts an outage of the store: requests fail with status 503, and watches get no answer.
    StoreOutage {
        /// Length of the outage, in milliseconds.
        for_ms: u64,
    },
    /// Sets the rate of batch jobs, as a multiple of the initial rate.
    SetLoadFactor(f64),
    /// Sets a team's limit, as an operator does.
    SetLimit {
        /// Name of the team.
        team: String,
        /// New limit: CPUs and GPUs.
        limit: (f64, f64),
    },
    /// Sends a sample to this channel.
    Sample(Sender<CellSample>),
    /// Ends the event loop of the cell.
    Stop,
}

/// State and counters of one cell at one moment.
#[derive(Clone, Debug)]
pub struct CellSample {
    /// Id of the controller that the store's leader record names.
    pub leader: Option<String>,
    /// Id of the controller that owns the first shard.
    pub shard_owner: Option<String>,
    /// Number of workers whose machines are running.
    pub running_workers: usize,
    /// Number of workers that have received a response with a fencing token.
    pub joined_workers: usize,
    /// Number of controllers whose latest health probe succeeded.
    pub healthy_controllers: usize,
    /// Number of running tasks.
    pub running_tasks: usize,
    /// Number of batch and urgent jobs whose users haven't been told of their end.
    pub open_jobs: usize,
    /// Number of keys in the store.
    pub stored_keys: usize,
    /// Number of user requests without a valid response, since the start.
    pub user_failures: u64,
    /// Number of tasks killed because their worker's lease expired, since the start.
    pub lease_kills: u64,
    /// Counters of the store since the start.
    pub store: StoreCounts,
    /// Traffic since the start, by kind of connection.
    pub traffic: Vec<KindTraffic>,
    /// CPU time that the cell's thread has used.
    pub thread_cpu: CpuTime,
}
