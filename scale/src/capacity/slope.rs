//! Linear fits of one cost along one axis.

use super::metric::Metric;
use crate::axis::Axis;
use serde::{Deserialize, Serialize};

/// Steepening above which a cost counts as superlinear.
const SUPERLINEAR_STEEPENING_RATIO: f64 = 2.0;
/// A cost depends on an axis if it changes over the measured values by more than this multiple of
/// the largest residual. Smaller changes can't be told from noise.
const SIGNIFICANT_CHANGE_RATIO: f64 = 2.0;

/// The cost of one run, and the run's value on the axis.
#[derive(Clone, Copy)]
pub(super) struct Sample {
    pub(super) value: f64,
    pub(super) cost: f64,
}

/// A linear fit of one cost along one axis.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// The varied axis.
    pub axis: Axis,
    /// The fitted cost.
    pub metric: Metric,
    /// The fitted cost at value 0, in the unit of the cost.
    pub intercept: f64,
    /// The cost of one more unit of the axis, in the unit of the cost.
    pub slope: f64,
    /// The largest absolute difference between a run's cost and the line.
    pub residual: f64,
    /// The slope between the two largest values, as a multiple of the slope between the two
    /// smallest values. It is 1 with fewer than four values, and 0 if the ratio is undefined.
    pub steepening: f64,
    /// The measured values on the axis, in ascending order.
    #[serde(rename = "sizes")]
    pub values: Vec<f64>,
    /// Number of measured runs.
    pub runs: usize,
}

impl Slope {
    /// Whether the cost measurably depends on the axis.
    pub fn is_significant(&self) -> bool {
        let first = self.values.first().copied().unwrap_or(0.0);
        let last = self.values.last().copied().unwrap_or(0.0);
        let change = (self.slope * (last - first)).abs();
        change > SIGNIFICANT_CHANGE_RATIO * self.residual
    }

    /// Whether the cost grows faster than linearly.
    pub fn is_superlinear(&self) -> bool {
        self.is_significant() && self.slope > 0.0 && self.steepening > SUPERLINEAR_STEEPENING_RATIO
    }

    /// Fits a line to the samples by least squares.
    pub(super) fn fit(axis: Axis, metric: Metric, samples: &[Sample]) -> Self {
        let line = Line::least_squares(samples);
        let residuals = samples
            .iter()
            .map(|sample| (sample.cost - line.intercept - line.slope * sample.value).abs());
        let mut values: Vec<f64> = samples.iter().map(|sample| sample.value).collect();
        values.sort_by(f64::total_cmp);
        values.dedup();
        Self {
            axis,
            metric,
            intercept: line.intercept,
            slope: line.slope,
            residual: residuals.fold(0.0, f64::max),
            steepening: steepening(samples, &values),
            values,
            runs: samples.len(),
        }
    }
}

struct Line {
    intercept: f64,
    slope: f64,
}

impl Line {
    fn least_squares(samples: &[Sample]) -> Self {
        let count = samples.len() as f64;
        let mean = |part: fn(&Sample) -> f64| samples.iter().map(part).sum::<f64>() / count;
        let (mean_value, mean_cost) = (mean(|sample| sample.value), mean(|sample| sample.cost));
        let variance: f64 = samples
            .iter()
            .map(|sample| (sample.value - mean_value).powi(2))
            .sum();
        let covariance = samples
            .iter()
            .map(|sample| (sample.value - mean_value) * (sample.cost - mean_cost));
        let slope = match variance > 0.0 {
            true => covariance.sum::<f64>() / variance,
            false => 0.0,
        };
        Self {
            intercept: mean_cost - slope * mean_value,
            slope,
        }
    }
}

/// The slope between the two largest values as a multiple of the slope between the two smallest. It
/// is 1 with fewer than four values, and 0 if the first slope is 0.
fn steepening(samples: &[Sample], values: &[f64]) -> f64 {
    let slope = |from: f64, to: f64| {
        (mean_cost_at(samples, to) - mean_cost_at(samples, from)) / (to - from)
    };
    let steepening = match values {
        [first, second, .., next_to_last, last] => {
            slope(*next_to_last, *last) / slope(*first, *second)
        }
        _ => 1.0,
    };
    if steepening.is_finite() {
        steepening
    } else {
        0.0
    }
}

fn mean_cost_at(samples: &[Sample], value: f64) -> f64 {
    let at_value = samples.iter().filter(|sample| sample.value == value);
    let costs: Vec<f64> = at_value.map(|sample| sample.cost).collect();
    costs.iter().sum::<f64>() / costs.len().max(1) as f64
}
