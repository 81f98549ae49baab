//! The section of the capacity page that is computed from the linear fits.

use super::heartbeats::HeartbeatSize;
use super::metric::Metric;
use super::table::SlopeTable;
use crate::axis::Axis;
use std::fmt::Write as _;

/// Marker before the computed section.
const BEGIN_MARKER: &str = "<!-- computed: begin -->";
/// Marker after the computed section.
const END_MARKER: &str = "<!-- computed: end -->";

/// A cell size for which the page predicts the costs.
struct PredictedCell {
    name: &'static str,
    sizes: [(Axis, f64); 6],
}

impl PredictedCell {
    /// One of the operators' five cells, with this rate of batch task starts.
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

/// One of the operators' five cells at the peak rate of batch task starts: with the peak spread
/// evenly over all cells, and with the whole peak in one cell.
const PREDICTED_CELLS: [PredictedCell; 2] = [
    PredictedCell::operators_cell("a cell at the peak", 280.0),
    PredictedCell::operators_cell("the whole peak in one cell", 1400.0),
];

/// Returns the page with its computed section replaced; `None` if the page doesn't contain the
/// markers of that section.
pub fn replace_computed_section(page: &str, table: &SlopeTable) -> Option<String> {
    let (before, rest) = page.split_once(BEGIN_MARKER)?;
    let (_, after) = rest.split_once(END_MARKER)?;
    Some(format!(
        "{before}{BEGIN_MARKER}\n{}{END_MARKER}{after}",
        table.computed_section()
    ))
}

impl SlopeTable {
    /// Formats the computed section of the capacity page as Markdown.
    pub fn computed_section(&self) -> String {
        let mut text = format!("Measured on {}.\n\n", self.sources);
        text += "| cost of one cell | at the reference |";
        for axis in Axis::ALL {
            let _ = write!(text, " per {axis} |");
        }
        for predicted_cell in &PREDICTED_CELLS {
            let _ = write!(text, " {} |", predicted_cell.name);
        }
        text += "\n| --- | --- |";
        text += &" --- |".repeat(Axis::ALL.len() + PREDICTED_CELLS.len());
        text += "\n";
        for metric in Metric::ALL {
            text += &self.metric_row(metric);
        }
        text += "\n";
        text += &self.remarks();
        text += &heartbeat_table();
        text
    }

    fn metric_row(&self, metric: Metric) -> String {
        let label = metric.label();
        let reference = format_value(self.predict(metric, &self.reference));
        let mut text = format!("| {}, {} | {reference} |", label.name, label.unit);
        for axis in Axis::ALL {
            let cell = match self.slope(axis, metric) {
                Some(slope) if slope.is_significant() => format_value(slope.slope),
                Some(_) => "0".into(),
                None => "unknown".into(),
            };
            let _ = write!(text, " {cell} |");
        }
        for predicted_cell in &PREDICTED_CELLS {
            let cost = self.predict(metric, &predicted_cell.sizes.into());
            let _ = write!(text, " {} |", format_value(cost));
        }
        text + "\n"
    }

    fn remarks(&self) -> String {
        let mut text = format!("Reference: {}.\n", sizes_text(&self.reference));
        for predicted_cell in &PREDICTED_CELLS {
            let sizes = predicted_cell
                .sizes
                .iter()
                .map(|(axis, value)| (axis, value));
            let _ = writeln!(text, "{}: {}.", predicted_cell.name, sizes_text(sizes));
        }
        for slope in self.slopes.iter().filter(|slope| slope.is_superlinear()) {
            let label = slope.metric.label();
            let _ = writeln!(
                text,
                "Grows faster than its count: {} with {}, {:.1} times as steep at {:.0} as at \
                 {:.0} (residual {} {}).",
                label.name,
                slope.axis,
                slope.steepening,
                slope.values.last().unwrap_or(&0.0),
                slope.values.first().unwrap_or(&0.0),
                format_value(slope.residual),
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

/// Formats the table of heartbeat sizes on the wire, for workers with few and many tasks.
fn heartbeat_table() -> String {
    let mut text = String::from("\n| a worker with | report | quiet answer | in and out |\n");
    text += "| --- | --- | --- | --- |\n";
    for task_count in [0, 5, 96] {
        let size = HeartbeatSize::with_tasks(task_count);
        let _ = writeln!(
            text,
            "| {task_count} tasks | {} B | {} B | {:.0} B/s |",
            size.heartbeat_bytes,
            size.response_bytes,
            size.bytes_per_s()
        );
    }
    text
}

/// Formats a value with the precision that fits its magnitude.
fn format_value(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 100.0 {
        format!("{value:.0}")
    } else if magnitude >= 1.0 {
        format!("{value:.1}")
    } else if magnitude >= 1e-3 {
        format!("{value:.4}")
    } else if magnitude == 0.0 {
        "0".into()
    } else {
        format!("{value:.1e}")
    }
}
