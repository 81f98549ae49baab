//! The lines of all costs along all axes.

use super::metric::{Metric, cost_points};
use super::slope::{Sample, Slope};
use crate::axis::Axis;
use crate::experiment::Experiment;
use crate::results::Row;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Fewest runs through which a line is fitted.
const RUNS_MIN: usize = 3;

/// The lines of all costs along all axes, and the experiment around which they were measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlopeTable {
    /// The sources that were measured.
    pub sources: String,
    /// The size of the experiment that was varied.
    pub reference: BTreeMap<Axis, f64>,
    /// The lines.
    pub slopes: Vec<Slope>,
}

impl SlopeTable {
    /// Fits a line for each cost along each axis that was varied.
    pub fn from_rows(sources: &str, base: &Experiment, rows: &[Row]) -> Self {
        let points = cost_points(rows);
        let mut slopes = Vec::new();
        for axis in Axis::ALL {
            for metric in Metric::ALL {
                let of_axis = points.iter().filter(|point| point.axis == axis);
                let samples = of_axis.filter_map(|point| {
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

    /// The line of one cost along one axis.
    pub fn slope(&self, axis: Axis, metric: Metric) -> Option<&Slope> {
        let mut slopes = self.slopes.iter();
        slopes.find(|slope| slope.axis == axis && slope.metric == metric)
    }

    /// A cost at another size: the mean of the lines at the reference, and from there along each
    /// line that matters.
    pub fn predict(&self, metric: Metric, sizes: &BTreeMap<Axis, f64>) -> f64 {
        let slopes = self.slopes.iter().filter(|slope| slope.metric == metric);
        let slopes: Vec<&Slope> = slopes.collect();
        let reference = |slope: &Slope| self.reference.get(&slope.axis).copied().unwrap_or(0.0);
        let at_reference = slopes
            .iter()
            .map(|slope| slope.intercept + slope.slope * reference(slope));
        let base = at_reference.sum::<f64>() / slopes.len().max(1) as f64;
        let matters = slopes.iter().filter(|slope| slope.matters());
        let changes = matters.map(|slope| {
            let reference = reference(slope);
            let size = sizes.get(&slope.axis).copied().unwrap_or(reference);
            slope.slope * (size - reference)
        });
        base + changes.sum::<f64>()
    }
}
