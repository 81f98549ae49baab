//! The linear fits of all costs along all axes.

use super::metric::{Metric, collect_cost_points};
use super::slope::{Sample, Slope};
use crate::axis::Axis;
use crate::experiment::Experiment;
use crate::results::Row;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Minimum number of runs for a linear fit.
const RUNS_MIN: usize = 3;

/// The linear fits of all costs along all axes, with the size of the experiment that was varied.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlopeTable {
    /// Name of the measured sources, as the capacity page shows it.
    pub sources: String,
    /// The value of each axis in the experiment that was varied.
    pub reference: BTreeMap<Axis, f64>,
    /// The linear fits.
    pub slopes: Vec<Slope>,
}

impl SlopeTable {
    /// Fits a line to each cost along each axis, if at least three runs varied that axis. `rows`
    /// are the result rows of all runs, and `base` is the experiment that was varied.
    pub fn from_rows(sources: &str, base: &Experiment, rows: &[Row]) -> Self {
        let points = collect_cost_points(rows);
        let mut slopes = Vec::new();
        for axis in Axis::ALL {
            for metric in Metric::ALL {
                let axis_points = points.iter().filter(|point| point.axis == axis);
                let samples = axis_points.filter_map(|point| {
                    let cost = *point.costs.get(&metric)?;
                    let value = point.value;
                    Some(Sample { value, cost })
                });
                let samples: Vec<Sample> = samples.collect();
                if samples.len() >= RUNS_MIN {
                    slopes.push(Slope::fit(axis, metric, &samples));
                }
            }
        }
        Self {
            sources: sources.into(),
            reference: Axis::ALL.map(|axis| (axis, axis.value(base))).into(),
            slopes,
        }
    }

    /// The linear fit of one cost along one axis; `None` if it wasn't measured.
    pub fn slope(&self, axis: Axis, metric: Metric) -> Option<&Slope> {
        let mut slopes = self.slopes.iter();
        slopes.find(|slope| slope.axis == axis && slope.metric == metric)
    }

    /// Predicts a cost for a cell of other sizes, in the unit of the cost. Starts from the mean of
    /// all fits at the reference size, and adds the change along each axis on which the cost
    /// depends. An axis without a size in `sizes` keeps its reference value.
    pub fn predict(&self, metric: Metric, sizes: &BTreeMap<Axis, f64>) -> f64 {
        let slopes = self.slopes.iter().filter(|slope| slope.metric == metric);
        let slopes: Vec<&Slope> = slopes.collect();
        let reference = |slope: &Slope| self.reference.get(&slope.axis).copied().unwrap_or(0.0);
        let at_reference = slopes
            .iter()
            .map(|slope| slope.intercept + slope.slope * reference(slope));
        let base = at_reference.sum::<f64>() / slopes.len().max(1) as f64;
        let significant = slopes.iter().filter(|slope| slope.is_significant());
        let changes = significant.map(|slope| {
            let reference = reference(slope);
            let size = sizes.get(&slope.axis).copied().unwrap_or(reference);
            slope.slope * (size - reference)
        });
        base + changes.sum::<f64>()
    }
}
