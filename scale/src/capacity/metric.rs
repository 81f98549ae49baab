//! The costs of a run, which are computed from its result rows.

use crate::axis::Axis;
use crate::results::{ProcessRow, Row, RunRow, StoreRow, TrafficRow};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A cost that is measured in each run of a sweep, for its single cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Metric {
    /// CPU use of the controller that owns the first shard, in cores.
    #[serde(rename = "holder-cores")]
    OwnerCores,
    /// Peak resident memory of the controller that owns the first shard, in MiB.
    #[serde(rename = "holder-memory-mb")]
    OwnerMemoryMb,
    /// Maximum CPU use of the other controllers, in cores.
    #[serde(rename = "relay-cores")]
    PeerCores,
    /// Maximum peak resident memory of the other controllers, in MiB.
    #[serde(rename = "relay-memory-mb")]
    PeerMemoryMb,
    /// Requests to the store, per second.
    #[serde(rename = "state-requests")]
    StoreRequests,
    /// Committed puts and deletes in the store, per second.
    #[serde(rename = "state-changes")]
    StoreChanges,
    /// Traffic to the store, in bytes per second.
    #[serde(rename = "state-bytes-in")]
    StoreBytesIn,
    /// Traffic from the store, in bytes per second.
    #[serde(rename = "state-bytes-out")]
    StoreBytesOut,
    /// Heartbeat traffic from all workers, in bytes per second.
    #[serde(rename = "report-bytes")]
    HeartbeatBytes,
    /// Response traffic to all workers, in bytes per second.
    #[serde(rename = "answer-bytes")]
    ResponseBytes,
    /// CPU use of the hollow side of the cell, in cores.
    HollowCores,
}

impl Metric {
    /// All costs, in the order of the capacity page.
    pub const ALL: [Metric; 11] = [
        Metric::OwnerCores,
        Metric::OwnerMemoryMb,
        Metric::PeerCores,
        Metric::PeerMemoryMb,
        Metric::StoreRequests,
        Metric::StoreChanges,
        Metric::StoreBytesIn,
        Metric::StoreBytesOut,
        Metric::HeartbeatBytes,
        Metric::ResponseBytes,
        Metric::HollowCores,
    ];

    /// The name and the unit under which the capacity page shows the cost.
    pub fn label(self) -> Label {
        let (name, unit) = match self {
            Self::OwnerCores => ("holder, processor", "cores"),
            Self::OwnerMemoryMb => ("holder, memory", "MiB"),
            Self::PeerCores => ("relay, processor", "cores"),
            Self::PeerMemoryMb => ("relay, memory", "MiB"),
            Self::StoreRequests => ("state service, requests", "1/s"),
            Self::StoreChanges => ("state service, changes", "1/s"),
            Self::StoreBytesIn => ("state service, bytes in", "B/s"),
            Self::StoreBytesOut => ("state service, bytes out", "B/s"),
            Self::HeartbeatBytes => ("all workers, reports", "B/s"),
            Self::ResponseBytes => ("all workers, answers", "B/s"),
            Self::HollowCores => ("hollow side, processor", "cores"),
        };
        Label { name, unit }
    }
}

/// The name and the unit under which the capacity page shows a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Label {
    /// Name of the cost.
    pub name: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
}

/// The costs of one run, with the axis that was varied and the value on it.
pub(super) struct CostPoint {
    pub(super) axis: Axis,
    pub(super) value: f64,
    pub(super) costs: BTreeMap<Metric, f64>,
}

/// Computes the cost points of all runs of a sweep. The summary row of each run must precede the
/// other rows of that run.
pub(super) fn collect_cost_points(rows: &[Row]) -> Vec<CostPoint> {
    let mut points: Vec<CostPoint> = Vec::new();
    for row in rows {
        if let Row::Run(run) = row {
            points.extend(CostPoint::from_run(run));
        } else if let Some(point) = points.last_mut() {
            point.add_row(row);
        }
    }
    points
}

impl CostPoint {
    /// A point without costs for a run; `None` if the run isn't part of a sweep.
    fn from_run(run: &RunRow) -> Option<Self> {
        let name = run.axis.as_deref()?;
        let mut axes = Axis::ALL.into_iter();
        Some(Self {
            axis: axes.find(|axis| axis.to_string() == name)?,
            value: run.value?,
            costs: BTreeMap::new(),
        })
    }

    fn add_row(&mut self, row: &Row) {
        match row {
            Row::Process(process) => self.add_process(process),
            Row::Store(store) => self.add_store(store),
            Row::Traffic(traffic) => self.add_traffic(traffic),
            Row::Hollow(hollow) => self.add(Metric::HollowCores, hollow.cores),
            _ => {}
        }
    }

    fn add_process(&mut self, process: &ProcessRow) {
        let cores = process.user_cores + process.system_cores;
        if process.is_owner {
            self.add(Metric::OwnerCores, cores);
            self.add(Metric::OwnerMemoryMb, process.memory_mb);
        } else {
            // The maximum over the peers, since the load isn't spread evenly: which peer has the
            // most work is random.
            self.add_max(Metric::PeerCores, cores);
            self.add_max(Metric::PeerMemoryMb, process.memory_mb);
        }
    }

    fn add_store(&mut self, store: &StoreRow) {
        self.add(Metric::StoreRequests, store.requests_per_s);
        self.add(Metric::StoreChanges, store.changes_per_s);
    }

    fn add_traffic(&mut self, traffic: &TrafficRow) {
        match traffic.connection.as_str() {
            "state" => {
                self.add(Metric::StoreBytesIn, traffic.bytes_in_per_s);
                self.add(Metric::StoreBytesOut, traffic.bytes_out_per_s);
            }
            "worker" => {
                self.add(Metric::HeartbeatBytes, traffic.bytes_out_per_s);
                self.add(Metric::ResponseBytes, traffic.bytes_in_per_s);
            }
            _ => {}
        }
    }

    fn add(&mut self, metric: Metric, amount: f64) {
        *self.costs.entry(metric).or_default() += amount;
    }

    fn add_max(&mut self, metric: Metric, amount: f64) {
        let cost = self.costs.entry(metric).or_default();
        *cost = cost.max(amount);
    }
}
