//! From measured runs to the capacity page: a line for each cost against each count, and what they
//! say of the operators' size. The page's table is made from these, so that page and measurement
//! can't part.

use crate::experiment::Experiment;
use crate::results::{Row, RunRow};
use crate::sweep::Axis;
use salttrestle::http;
use salttrestle::ids::{Attempt, FencingToken, JobId, TaskId};
use salttrestle::wire::commands_body;
use salttrestle_fakes::worker::{TaskState, Worker, WorkerTask};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Around the part of the page that is made here.
const BEGIN: &str = "<!-- computed: begin -->";
const END: &str = "<!-- computed: end -->";
/// A cost is said to grow faster than its count if its last step is this many times as steep as
/// its first, and the whole rise stands out from the residual.
const STEEPER: f64 = 2.0;
/// A count matters to a cost if the rise over the sizes played is this many residuals.
const STANDS_OUT: f64 = 2.0;

/// A cost that is measured in every run of one cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Metric {
    /// Processor of the controller that holds the shard, in cores.
    HolderCores,
    /// Its resident memory at the peak, in MiB.
    HolderMemoryMb,
    /// Processor of another controller, in cores.
    RelayCores,
    /// Its resident memory at the peak, in MiB.
    RelayMemoryMb,
    /// Requests a second at the store.
    StateRequests,
    /// Puts and deletes a second there.
    StateChanges,
    /// Bytes a second to the store.
    StateBytesIn,
    /// Bytes a second from the store.
    StateBytesOut,
    /// Bytes a second from all workers.
    ReportBytes,
    /// Bytes a second to all workers.
    AnswerBytes,
    /// Processor of the hollow side, in cores.
    HollowCores,
}

impl Metric {
    /// Every cost.
    pub const ALL: [Metric; 11] = [
        Metric::HolderCores,
        Metric::HolderMemoryMb,
        Metric::RelayCores,
        Metric::RelayMemoryMb,
        Metric::StateRequests,
        Metric::StateChanges,
        Metric::StateBytesIn,
        Metric::StateBytesOut,
        Metric::ReportBytes,
        Metric::AnswerBytes,
        Metric::HollowCores,
    ];

    /// The name and the unit as the page has them.
    pub fn label(self) -> (&'static str, &'static str) {
        match self {
            Self::HolderCores => ("holder, processor", "cores"),
            Self::HolderMemoryMb => ("holder, memory", "MiB"),
            Self::RelayCores => ("relay, processor", "cores"),
            Self::RelayMemoryMb => ("relay, memory", "MiB"),
            Self::StateRequests => ("state service, requests", "1/s"),
            Self::StateChanges => ("state service, changes", "1/s"),
            Self::StateBytesIn => ("state service, bytes in", "B/s"),
            Self::StateBytesOut => ("state service, bytes out", "B/s"),
            Self::ReportBytes => ("all workers, reports", "B/s"),
            Self::AnswerBytes => ("all workers, answers", "B/s"),
            Self::HollowCores => ("hollow side, processor", "cores"),
        }
    }
}

/// One cost against one count: a straight line through the runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// The count.
    pub axis: Axis,
    /// The cost.
    pub metric: Metric,
    /// The cost at a count of zero.
    pub intercept: f64,
    /// What one more of the count costs.
    pub slope: f64,
    /// The farthest that a run lies from the line.
    pub residual: f64,
    /// How many times as steep the last step between sizes is as the first.
    pub steepening: f64,
    /// The sizes that were played.
    pub sizes: Vec<f64>,
    /// The runs that the line goes through.
    pub runs: usize,
}

impl Slope {
    /// Whether the cost follows the count at all.
    pub fn matters(&self) -> bool {
        let least = self.sizes.first().copied().unwrap_or(0.0);
        let most = self.sizes.last().copied().unwrap_or(0.0);
        let rise = (self.slope * (most - least)).abs();
        rise > STANDS_OUT * self.residual
    }

    /// Whether the cost grows faster than the count.
    pub fn grows_faster(&self) -> bool {
        self.matters() && self.slope > 0.0 && self.steepening > STEEPER
    }
}

/// All lines, and the sizes of the experiment around which they were measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlopeTable {
    /// The sources that were measured.
    pub sources: String,
    /// The counts of the experiment that was varied.
    pub reference: BTreeMap<Axis, f64>,
    /// The lines.
    pub slopes: Vec<Slope>,
}

/// A run's costs, with what was varied.
struct Point {
    axis: Axis,
    value: f64,
    costs: BTreeMap<Metric, f64>,
}

fn axis_named(name: &str) -> Option<Axis> {
    Axis::ALL.into_iter().find(|axis| axis.to_string() == name)
}

/// The points of runs whose rows follow each other, each run's own row first.
fn points(rows: &[Row]) -> Vec<Point> {
    let mut points: Vec<Point> = Vec::new();
    for row in rows {
        if let Row::Run(run) = row {
            points.extend(point_of(run));
            continue;
        }
        let Some(point) = points.last_mut() else {
            continue;
        };
        let mut add = |metric: Metric, amount: f64| {
            *point.costs.entry(metric).or_default() += amount;
        };
        match row {
            Row::Process(p) if p.owner => {
                add(Metric::HolderCores, p.user_cores + p.system_cores);
                add(Metric::HolderMemoryMb, p.memory_mb);
            }
            Row::Process(p) => {
                // The largest of the others: which one does most is chance.
                let cores = point.costs.entry(Metric::RelayCores).or_default();
                *cores = cores.max(p.user_cores + p.system_cores);
                let memory = point.costs.entry(Metric::RelayMemoryMb).or_default();
                *memory = memory.max(p.memory_mb);
            }
            Row::Store(s) => {
                add(Metric::StateRequests, s.requests);
                add(Metric::StateChanges, s.changes);
            }
            Row::Traffic(l) if l.connection == "state" => {
                add(Metric::StateBytesIn, l.bytes_in);
                add(Metric::StateBytesOut, l.bytes_out);
            }
            Row::Traffic(l) if l.connection == "worker" => {
                add(Metric::ReportBytes, l.bytes_out);
                add(Metric::AnswerBytes, l.bytes_in);
            }
            Row::Hollow(h) => add(Metric::HollowCores, h.cores),
            _ => {}
        }
    }
    points
}

fn point_of(run: &RunRow) -> Option<Point> {
    Some(Point {
        axis: axis_named(run.axis.as_deref()?)?,
        value: run.value?,
        costs: BTreeMap::new(),
    })
}

/// The straight line with the least squares through points.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let shared = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let slope = match spread > 0.0 {
        true => shared.sum::<f64>() / spread,
        false => 0.0,
    };
    (mean_y - slope * mean_x, slope)
}

fn fit(axis: Axis, metric: Metric, points: &[(f64, f64)]) -> Slope {
    let (intercept, slope) = line(points);
    let off = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).abs());
    let mut sizes: Vec<f64> = points.iter().map(|p| p.0).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    let mean_at = |size: f64| {
        let here: Vec<f64> = points.iter().filter(|p| p.0 == size).map(|p| p.1).collect();
        here.iter().sum::<f64>() / here.len().max(1) as f64
    };
    let steep = |from: f64, to: f64| (mean_at(to) - mean_at(from)) / (to - from);
    let steepening = match sizes.as_slice() {
        [first, second, .., before, last] => steep(*before, *last) / steep(*first, *second),
        _ => 1.0,
    };
    Slope {
        axis,
        metric,
        intercept,
        slope,
        residual: off.fold(0.0, f64::max),
        steepening: if steepening.is_finite() {
            steepening
        } else {
            0.0
        },
        sizes,
        runs: points.len(),
    }
}

impl SlopeTable {
    /// Fits a line for each cost against each count that was varied.
    pub fn from_rows(sources: &str, base: &Experiment, rows: &[Row]) -> Self {
        let points = points(rows);
        let mut slopes = Vec::new();
        for axis in Axis::ALL {
            for metric in Metric::ALL {
                let of_axis = points.iter().filter(|p| p.axis == axis);
                let found = of_axis.filter_map(|p| Some((p.value, *p.costs.get(&metric)?)));
                let found: Vec<(f64, f64)> = found.collect();
                if found.len() > 2 {
                    slopes.push(fit(axis, metric, &found));
                }
            }
        }
        Self {
            sources: sources.into(),
            reference: Axis::ALL.map(|axis| (axis, axis.value(base))).into(),
            slopes,
        }
    }

    /// The line of one cost against one count.
    pub fn slope(&self, axis: Axis, metric: Metric) -> Option<&Slope> {
        let mut slopes = self.slopes.iter();
        slopes.find(|s| s.axis == axis && s.metric == metric)
    }

    /// A cost at other sizes: what the lines say at the sizes of the reference, on average, and
    /// from there along each line that matters.
    pub fn predict(&self, metric: Metric, sizes: &BTreeMap<Axis, f64>) -> f64 {
        let lines: Vec<&Slope> = self.slopes.iter().filter(|s| s.metric == metric).collect();
        let at = |s: &&Slope| s.intercept + s.slope * self.reference.get(&s.axis).unwrap_or(&0.0);
        let base = lines.iter().map(at).sum::<f64>() / lines.len().max(1) as f64;
        let along = lines.iter().filter(|s| s.matters()).map(|s| {
            let reference = self.reference.get(&s.axis).copied().unwrap_or(0.0);
            let size = sizes.get(&s.axis).copied().unwrap_or(reference);
            s.slope * (size - reference)
        });
        base + along.sum::<f64>()
    }

    /// The part of the page that is made from the lines.
    pub fn page(&self) -> String {
        let mut text = format!("Measured on {}.\n\n", self.sources);
        text += "| cost of one cell | at the reference |";
        for axis in Axis::ALL {
            let _ = write!(text, " per {axis} |");
        }
        for (name, _) in TARGETS {
            let _ = write!(text, " {name} |");
        }
        text += "\n| --- | --- |";
        text += &" --- |".repeat(Axis::ALL.len() + TARGETS.len());
        text += "\n";
        for metric in Metric::ALL {
            text += &self.line_of(metric);
        }
        text += "\n";
        text += &self.remarks();
        text += &worker_lines();
        text
    }

    fn line_of(&self, metric: Metric) -> String {
        let (name, unit) = metric.label();
        let here = self.predict(metric, &self.reference);
        let mut text = format!("| {name}, {unit} | {} |", amount(here));
        for axis in Axis::ALL {
            let cell = match self.slope(axis, metric) {
                Some(s) if s.matters() => amount(s.slope),
                Some(_) => "0".into(),
                None => "unknown".into(),
            };
            let _ = write!(text, " {cell} |");
        }
        for (_, sizes) in TARGETS {
            let sizes = sizes.iter().copied().collect();
            let _ = write!(text, " {} |", amount(self.predict(metric, &sizes)));
        }
        text + "\n"
    }

    fn remarks(&self) -> String {
        let mut text = String::new();
        let reference: Vec<String> = self
            .reference
            .iter()
            .map(|(axis, value)| format!("{value:.0} {axis}"))
            .collect();
        let _ = writeln!(text, "Reference: {}.", reference.join(", "));
        for (name, sizes) in TARGETS {
            let sizes: Vec<String> = sizes.iter().map(|(a, n)| format!("{n:.0} {a}")).collect();
            let _ = writeln!(text, "{name}: {}.", sizes.join(", "));
        }
        for s in self.slopes.iter().filter(|s| s.grows_faster()) {
            let (name, unit) = s.metric.label();
            let _ = writeln!(
                text,
                "Grows faster than its count: {name} with {}, {:.1} times as steep at {:.0} as at \
                 {:.0} (residual {} {unit}).",
                s.axis,
                s.steepening,
                s.sizes.last().unwrap_or(&0.0),
                s.sizes.first().unwrap_or(&0.0),
                amount(s.residual),
            );
        }
        text
    }
}

/// Bytes of a worker's heartbeat and of the answer to it, as they go onto the wire.
fn worker_lines() -> String {
    let mut text = String::from("\n| a worker with | report | quiet answer | in and out |\n");
    text += "| --- | --- | --- | --- |\n";
    for tasks in [0, 5, 96] {
        let (report, answer) = worker_bytes(tasks);
        let per_s = (report + answer) as f64 / REPORT_S;
        let _ = writeln!(
            text,
            "| {tasks} tasks | {report} B | {answer} B | {per_s:.0} B/s |"
        );
    }
    text
}

/// Workers heartbeat this often at the operators' size, in seconds.
const REPORT_S: f64 = 3.0;
/// Names as long as those that the cloud and users give.
const MACHINE: &str = "i-004321";
const ENDPOINT: &str = "10.1.12.232:9000";
const CONTROLLER: &str = "10.1.0.10:8080";

fn worker_bytes(tasks: u32) -> (usize, usize) {
    let mut worker = Worker::new(0, "kithara-large", "attica", false, 0);
    (worker.token, worker.sequence) = (41, 28_800);
    for index in 0..tasks {
        let job = JobId::from("wk-004213");
        let task = WorkerTask {
            attempt: Attempt::new(FencingToken(41), u64::from(index) + 100_000),
            state: TaskState::Running,
            until: 0,
        };
        worker.tasks.insert(TaskId { job, index }, task);
    }
    let body = worker.report_body(MACHINE, ENDPOINT, 0);
    let report = http::request("POST", "/agent/beat", CONTROLLER, Some(&body));
    let answer = http::response(200, None, false, &commands_body(FencingToken(41), &[]));
    (report.len(), answer.len())
}

type Target = (&'static str, &'static [(Axis, f64)]);

/// What one of the operators' five cells carries: at the peak spread evenly, and with all of the
/// peak in one cell.
const TARGETS: [Target; 2] = [
    (
        "a cell at the peak",
        &[
            (Axis::Workers, 1100.0),
            (Axis::Tasks, 5200.0),
            (Axis::Starts, 280.0),
            (Axis::Teams, 120.0),
            (Axis::Jobs, 520.0),
            (Axis::Controllers, 5.0),
        ],
    ),
    (
        "the whole peak in one cell",
        &[
            (Axis::Workers, 1100.0),
            (Axis::Tasks, 5200.0),
            (Axis::Starts, 1400.0),
            (Axis::Teams, 120.0),
            (Axis::Jobs, 520.0),
            (Axis::Controllers, 5.0),
        ],
    ),
];

/// A number with three digits that count.
fn amount(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 {
        format!("{value:.0}")
    } else if size >= 1.0 {
        format!("{value:.1}")
    } else if size >= 1e-3 {
        format!("{value:.4}")
    } else if size == 0.0 {
        "0".into()
    } else {
        format!("{value:.1e}")
    }
}

/// A page with its computed part made anew; `None` if it has no such part.
pub fn with_computed(page: &str, table: &SlopeTable) -> Option<String> {
    let (before, rest) = page.split_once(BEGIN)?;
    let (_, after) = rest.split_once(END)?;
    Some(format!("{before}{BEGIN}\n{}{END}{after}", table.page()))
}
