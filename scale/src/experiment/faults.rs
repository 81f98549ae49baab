//! Faults that an experiment injects: single faults at set times, and repeated faults of the leader
//! that cause takeovers.

use serde::{Deserialize, Serialize};

/// A fault that is injected at a set time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    /// Time at which the fault is injected, in seconds from the start of the load.
    pub at_s: f64,
    /// Name of the affected cell.
    pub cell: String,
    /// Kind of the fault, with its parameters.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// Kind of a fault, with its parameters.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultKind {
    /// A controller is killed with SIGKILL, and restarted later.
    Kill {
        /// Role of the affected controller.
        controller: ControllerRole,
        /// Seconds until the controller is restarted.
        down_s: f64,
    },
    /// A controller is suspended with SIGSTOP, and resumed later.
    Pause {
        /// Role of the affected controller.
        controller: ControllerRole,
        /// Seconds until the controller is resumed.
        #[serde(rename = "for_s")]
        duration_s: f64,
    },
    /// Machines fail, together with all tasks on them.
    MachinesLost {
        /// Number of machines that fail.
        count: usize,
        /// Zone in which machines fail; all zones if `None`.
        zone: Option<String>,
        /// Seconds over which the failures are spread; 0 fails all machines at once.
        #[serde(rename = "over_s", default)]
        spread_s: f64,
    },
    /// The store of the cell doesn't respond.
    #[serde(rename = "state-outage")]
    StoreOutage {
        /// Duration in seconds.
        #[serde(rename = "for_s")]
        duration_s: f64,
    },
    /// The network link to another cell is partitioned.
    #[serde(rename = "link-cut")]
    LinkPartition {
        /// Name of the other cell; all other cells if `None`.
        #[serde(rename = "to")]
        other_cell: Option<String>,
        /// Duration in seconds.
        #[serde(rename = "for_s")]
        duration_s: f64,
        /// Whether only messages from this cell are affected, and not those to it.
        #[serde(rename = "one_way", default)]
        is_one_way: bool,
        /// Whether messages are delayed until the partition ends instead of dropped.
        #[serde(rename = "hold", default)]
        delays_messages: bool,
    },
    /// The cell's users submit batch jobs at another rate, until the next fault of this kind.
    Load {
        /// The new rate as a multiple of the initial rate.
        factor: f64,
    },
}

/// The role by which a fault selects a controller of its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ControllerRole {
    /// The controller that is the leader when the fault is injected.
    Leader,
    /// The first controller that isn't the leader.
    Other,
}

/// Repeated faults of the leader, each of which causes a takeover by another controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Takeovers {
    /// Number of faults.
    pub count: u32,
    /// Mean interval between two faults, in seconds. Each interval is drawn uniformly from 0.8 to
    /// 1.2 times the mean.
    #[serde(rename = "every_s")]
    pub mean_interval_s: f64,
    /// Kinds of faults. Each fault draws one of them with equal probability.
    pub kinds: Vec<LeaderFault>,
    /// Seconds until a controller is restarted after it was killed or terminated.
    pub down_s: f64,
    /// Seconds for which a controller is suspended. Longer than the leader's lease, so that another
    /// controller takes over.
    pub pause_s: f64,
    /// Whether the warm standby is enabled; true by default.
    #[serde(rename = "standby", default = "has_standby_by_default")]
    pub has_standby: bool,
}

fn has_standby_by_default() -> bool {
    true
}

/// A fault of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaderFault {
    /// The leader is killed with SIGKILL.
    Kill,
    /// The leader is suspended with SIGSTOP, and resumed with SIGCONT later.
    Pause,
    /// The leader is asked to shut down gracefully with SIGTERM.
    Terminate,
}
