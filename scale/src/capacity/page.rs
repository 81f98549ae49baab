//! The computed part of the capacity page.

use super::heartbeats::HeartbeatSize;
use super::metric::Metric;
use super::table::SlopeTable;
use crate::axis::Axis;
use std::fmt::Write as _;

/// The begin of the computed part.
const BEGIN: &str = "<!-- computed: begin -->";
/// The end of the computed part.
const END: &str = "<!-- computed: end -->";

/// A size for which the page predicts the costs.
struct Target {
    name: &'static str,
    sizes: [(Axis, f64); 6],
}

impl Target {
    /// One of the operators' five cells, with this rate of starts.
    const fn operators_cell(name: &'static str, starts_per_s: f64) -> Self {
        Self {
            name,
            sizes: [
                (Axis::Workers, 1100.0),
                (Axis::Tasks, 5200.0),
                (Axis::Starts, starts_per_s),
                (Axis::Teams, 120.0),
                (Axis::Jobs, 520.0),
                (Axis::Controllers, 5.0),
            ],
        }
    }
}

/// One of the operators' five cells: with the peak spread evenly, and with all of it in one cell.
const TARGETS: [Target; 2] = [
    Target::operators_cell("a cell at the peak", 280.0),
    Target::operators_cell("the whole peak in one cell", 1400.0),
];

/// A page with its computed part replaced; `None` if it has no such part.
pub fn with_computed(page: &str, table: &SlopeTable) -> Option<String> {
    let (before, rest) = page.split_once(BEGIN)?;
    let (_, after) = rest.split_once(END)?;
    Some(format!("{before}{BEGIN}\n{}{END}{after}", table.page()))
}

impl SlopeTable {
    /// The computed part of the page.
    pub fn page(&self) -> String {
        let mut text = format!("Measured on {}.\n\n", self.sources);
        text += "| cost of one cell | at the reference |";
        for axis in Axis::ALL {
            let _ = write!(text, " per {axis} |");
        }
        for target in &TARGETS {
            let _ = write!(text, " {} |", target.name);
        }
        text += "\n| --- | --- |";
        text += &" --- |".repeat(Axis::ALL.len() + TARGETS.len());
        text += "\n";
        for metric in Metric::ALL {
            text += &self.metric_line(metric);
        }
        text += "\n";
        text += &self.remarks();
        text += &heartbeat_table();
        text
    }

    fn metric_line(&self, metric: Metric) -> String {
        let label = metric.label();
        let reference = significant(self.predict(metric, &self.reference));
        let mut text = format!("| {}, {} | {reference} |", label.name, label.unit);
        for axis in Axis::ALL {
            let cell = match self.slope(axis, metric) {
                Some(slope) if slope.matters() => significant(slope.slope),
                Some(_) => "0".into(),
                None => "unknown".into(),
            };
            let _ = write!(text, " {cell} |");
        }
        for target in &TARGETS {
            let predicted = self.predict(metric, &target.sizes.into());
            let _ = write!(text, " {} |", significant(predicted));
        }
        text + "\n"
    }

    fn remarks(&self) -> String {
        let mut text = format!("Reference: {}.\n", sizes_text(&self.reference));
        for target in &TARGETS {
            let sizes = target.sizes.iter().map(|(axis, value)| (axis, value));
            let _ = writeln!(text, "{}: {}.", target.name, sizes_text(sizes));
        }
        for slope in self.slopes.iter().filter(|slope| slope.grows_faster()) {
            let label = slope.metric.label();
            let _ = writeln!(
                text,
                "Grows faster than its count: {} with {}, {:.1} times as steep at {:.0} as at \
                 {:.0} (residual {} {}).",
                label.name,
                slope.axis,
                slope.steepening,
                slope.sizes.last().unwrap_or(&0.0),
                slope.sizes.first().unwrap_or(&0.0),
                significant(slope.residual),
                label.unit,
            );
        }
        text
    }
}

fn sizes_text<'a>(sizes: impl IntoIterator<Item = (&'a Axis, &'a f64)>) -> String {
    let sizes = sizes.into_iter();
    let sizes: Vec<String> = sizes
        .map(|(axis, value)| format!("{value:.0} {axis}"))
        .collect();
    sizes.join(", ")
}

/// The table of a worker's heartbeats on the wire.
fn heartbeat_table() -> String {
    let mut text = String::from("\n| a worker with | report | quiet answer | in and out |\n");
    text += "| --- | --- | --- | --- |\n";
    for tasks in [0, 5, 96] {
        let size = HeartbeatSize::with_tasks(tasks);
        let _ = writeln!(
            text,
            "| {tasks} tasks | {} B | {} B | {:.0} B/s |",
            size.heartbeat,
            size.response,
            size.bytes_per_s()
        );
    }
    text
}

/// A value with three significant digits.
fn significant(value: f64) -> String {
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
