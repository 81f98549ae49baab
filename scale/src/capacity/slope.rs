//! The line of one cost along one axis.

use super::metric::Metric;
use crate::axis::Axis;
use serde::{Deserialize, Serialize};

/// A cost grows faster than linearly if its last step is this many times as steep as its first.
const STEEPENING: f64 = 2.0;
/// An axis matters to a cost if the rise over its values exceeds this many residuals.
const SIGNIFICANCE: f64 = 2.0;

/// A point of a cost along an axis.
#[derive(Clone, Copy)]
pub(super) struct Sample {
    pub(super) value: f64,
    pub(super) cost: f64,
}

/// The line of one cost along one axis.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// The axis.
    pub axis: Axis,
    /// The cost.
    pub metric: Metric,
    /// The cost at zero.
    pub intercept: f64,
    /// The additional cost per unit of the axis.
    pub slope: f64,
    /// The largest distance of a run from the line.
    pub residual: f64,
    /// The slope of the last step between values, as a multiple of that of the first.
    pub steepening: f64,
    /// The values that were measured.
    pub sizes: Vec<f64>,
    /// Number of runs.
    pub runs: usize,
}

impl Slope {
    /// Whether the cost depends on the axis.
    pub fn matters(&self) -> bool {
        let first = self.sizes.first().copied().unwrap_or(0.0);
        let last = self.sizes.last().copied().unwrap_or(0.0);
        let rise = (self.slope * (last - first)).abs();
        rise > SIGNIFICANCE * self.residual
    }

    /// Whether the cost grows faster than linearly.
    pub fn grows_faster(&self) -> bool {
        self.matters() && self.slope > 0.0 && self.steepening > STEEPENING
    }

    /// Fits a line to the samples.
    pub(super) fn fit(axis: Axis, metric: Metric, samples: &[Sample]) -> Self {
        let line = Line::least_squares(samples);
        let residuals = samples
            .iter()
            .map(|sample| (sample.cost - line.intercept - line.slope * sample.value).abs());
        let mut sizes: Vec<f64> = samples.iter().map(|sample| sample.value).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        Self {
            axis,
            metric,
            intercept: line.intercept,
            slope: line.slope,
            residual: residuals.fold(0.0, f64::max),
            steepening: steepening(samples, &sizes),
            sizes,
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

/// The slope of the last step as a multiple of that of the first: 1 with fewer than four values,
/// and 0 if the first step is flat.
fn steepening(samples: &[Sample], sizes: &[f64]) -> f64 {
    let slope = |from: f64, to: f64| {
        (mean_cost_at(samples, to) - mean_cost_at(samples, from)) / (to - from)
    };
    let steepening = match sizes {
        [first, second, .., before, last] => slope(*before, *last) / slope(*first, *second),
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
