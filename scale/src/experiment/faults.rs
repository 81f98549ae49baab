//! Faults that an experiment injects: single ones at a set time, and leaders that are ended again
//! and again.

use serde::{Deserialize, Serialize};

/// A fault at a set time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, in seconds from the start of the load.
    pub at_s: f64,
    /// The cell that it strikes, by name.
    pub cell: String,
    /// What goes wrong.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// What goes wrong.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultKind {
    /// A controller is killed, and started again later.
    Kill {
        /// Which controller.
        controller: ControllerRole,
        /// Seconds until it is started again.
        down_s: f64,
    },
    /// A controller is suspended, and resumed later.
    Pause {
        /// Which controller.
        controller: ControllerRole,
        /// Seconds until it is resumed.
        for_s: f64,
    },
    /// Machines fail, with all tasks on them.
    MachinesLost {
        /// How many.
        count: usize,
        /// Only machines of this zone.
        zone: Option<String>,
        /// Seconds over which they fail; 0 for all at once.
        #[serde(default)]
        over_s: f64,
    },
    /// The store answers no request.
    #[serde(rename = "state-outage")]
    StoreOutage {
        /// For how many seconds.
        for_s: f64,
    },
    /// The link to another cell is partitioned.
    #[serde(rename = "link-cut")]
    LinkPartition {
        /// The other cell; all others if it isn't named.
        to: Option<String>,
        /// For how many seconds.
        for_s: f64,
        /// Only messages from this cell are lost, not those to it.
        #[serde(default)]
        one_way: bool,
        /// Messages are delayed to the end of the partition instead of lost.
        #[serde(rename = "hold", default)]
        delayed: bool,
    },
    /// The cell's users submit batch jobs at another rate from now on.
    Load {
        /// The rate, as a multiple of the initial one.
        factor: f64,
    },
}

/// A controller of a cell, by its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ControllerRole {
    /// The leader at that moment.
    Leader,
    /// Another controller.
    Other,
}

/// How leaders are ended, and how often.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Takeovers {
    /// How many leaders are ended.
    pub count: u32,
    /// Mean seconds between two of them; each interval is drawn within a fifth of it.
    pub every_s: f64,
    /// The ways in which they end, each drawn with the same probability.
    pub kinds: Vec<LeaderEnd>,
    /// Seconds until a process that ended is started again.
    pub down_s: f64,
    /// Seconds for which one is suspended: longer than a lease.
    pub pause_s: f64,
    /// Whether the warm standby is enabled.
    #[serde(default = "standby_by_default")]
    pub standby: bool,
}

fn standby_by_default() -> bool {
    true
}

/// How a leader is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaderEnd {
    /// SIGKILL.
    Kill,
    /// SIGSTOP, and SIGCONT later.
    Pause,
    /// SIGTERM: a graceful shutdown.
    Terminate,
}
