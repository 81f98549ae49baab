//! The costs of a run, from the rows of its results.

use crate::axis::Axis;
use crate::results::{ProcessRow, Row, RunRow, StoreRow, TrafficRow};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A cost that is measured in each run of one cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Metric {
    /// Processor use of the shard's owner, in cores.
    #[serde(rename = "holder-cores")]
    OwnerCores,
    /// Peak resident memory of the shard's owner, in MiB.
    #[serde(rename = "holder-memory-mb")]
    OwnerMemoryMb,
    /// Highest processor use of another controller, in cores.
    #[serde(rename = "relay-cores")]
    PeerCores,
    /// Highest peak resident memory of another controller, in MiB.
    #[serde(rename = "relay-memory-mb")]
    PeerMemoryMb,
    /// Requests per second at the store.
    #[serde(rename = "state-requests")]
    StoreRequests,
    /// Committed puts and deletes per second at the store.
    #[serde(rename = "state-changes")]
    StoreChanges,
    /// Bytes per second to the store.
    #[serde(rename = "state-bytes-in")]
    StoreBytesIn,
    /// Bytes per second from the store.
    #[serde(rename = "state-bytes-out")]
    StoreBytesOut,
    /// Bytes per second from all workers.
    #[serde(rename = "report-bytes")]
    HeartbeatBytes,
    /// Bytes per second to all workers.
    #[serde(rename = "answer-bytes")]
    ResponseBytes,
    /// Processor use of the hollow side, in cores.
    HollowCores,
}

impl Metric {
    /// Every cost.
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

    /// The name and the unit on the page.
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

/// How the page presents a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Label {
    /// Its name.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
}

/// The costs of a run, at its value on the varied axis.
pub(super) struct CostPoint {
    pub(super) axis: Axis,
    pub(super) value: f64,
    pub(super) costs: BTreeMap<Metric, f64>,
}

/// The points of all runs. The row of each run comes before its other rows.
pub(super) fn cost_points(rows: &[Row]) -> Vec<CostPoint> {
    let mut points: Vec<CostPoint> = Vec::new();
    for row in rows {
        if let Row::Run(run) = row {
            points.extend(CostPoint::of_run(run));
        } else if let Some(point) = points.last_mut() {
            point.add_row(row);
        }
    }
    points
}

impl CostPoint {
    /// A run without costs yet; `None` if it isn't part of a sweep.
    fn of_run(run: &RunRow) -> Option<Self> {
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
        if process.owner {
            self.add(Metric::OwnerCores, cores);
            self.add(Metric::OwnerMemoryMb, process.memory_mb);
        } else {
            // The highest of the peers, since chance decides which of them has the most work.
            self.raise(Metric::PeerCores, cores);
            self.raise(Metric::PeerMemoryMb, process.memory_mb);
        }
    }

    fn add_store(&mut self, store: &StoreRow) {
        self.add(Metric::StoreRequests, store.requests);
        self.add(Metric::StoreChanges, store.changes);
    }

    fn add_traffic(&mut self, traffic: &TrafficRow) {
        match traffic.connection.as_str() {
            "state" => {
                self.add(Metric::StoreBytesIn, traffic.bytes_in);
                self.add(Metric::StoreBytesOut, traffic.bytes_out);
            }
            "worker" => {
                self.add(Metric::HeartbeatBytes, traffic.bytes_out);
                self.add(Metric::ResponseBytes, traffic.bytes_in);
            }
            _ => {}
        }
    }

    fn add(&mut self, metric: Metric, amount: f64) {
        *self.costs.entry(metric).or_default() += amount;
    }

    fn raise(&mut self, metric: Metric, amount: f64) {
        let cost = self.costs.entry(metric).or_default();
        *cost = cost.max(amount);
    }
}
