//! Amounts of CPUs and GPUs. They are integers, so that sums and differences are exact.

use serde::{Deserialize, Serialize};

/// Units of an [`Amount`] in one CPU or GPU.
const UNITS_PER_WHOLE: f64 = 1000.0;
/// Tolerance for floating-point errors of the conversion to units, in units.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// An amount of CPUs and an amount of GPUs, both in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Amount(pub u64, pub u64);

impl Amount {
    /// No CPUs and no GPUs.
    pub const ZERO: Amount = Amount(0, 0);

    /// Converts whole CPUs and GPUs, rounding down. Used for quota that is granted, so that it
    /// never exceeds the limit; negative values become zero.
    pub fn rounded_down(cpus: f64, gpus: f64) -> Self {
        let to_units =
            |value: f64| (value.max(0.0) * UNITS_PER_WHOLE + ROUNDING_TOLERANCE).floor() as u64;
        Self(to_units(cpus), to_units(gpus))
    }

    /// Converts whole CPUs and GPUs, rounding up. Used for quota that is in use, so that it is
    /// never counted too low; negative values become zero.
    pub fn rounded_up(cpus: f64, gpus: f64) -> Self {
        let to_units = |value: f64| {
            (value.max(0.0) * UNITS_PER_WHOLE - ROUNDING_TOLERANCE)
                .ceil()
                .max(0.0) as u64
        };
        Self(to_units(cpus), to_units(gpus))
    }

    /// The number of CPUs and the number of GPUs, fractions included.
    pub fn to_pair(self) -> (f64, f64) {
        (
            self.0 as f64 / UNITS_PER_WHOLE,
            self.1 as f64 / UNITS_PER_WHOLE,
        )
    }

    /// Whether there are neither CPUs nor GPUs.
    pub fn is_zero(self) -> bool {
        self == Self::ZERO
    }

    /// Adds each component; `None` if either overflows.
    pub fn checked_add(self, other: Amount) -> Option<Amount> {
        Some(Self(
            self.0.checked_add(other.0)?,
            self.1.checked_add(other.1)?,
        ))
    }

    /// Subtracts each component; `None` if `other` is larger in either.
    pub fn checked_sub(self, other: Amount) -> Option<Amount> {
        Some(Self(
            self.0.checked_sub(other.0)?,
            self.1.checked_sub(other.1)?,
        ))
    }

    /// Adds each component, saturating at the numeric maximum.
    pub fn saturating_add(self, other: Amount) -> Amount {
        Self(
            self.0.saturating_add(other.0),
            self.1.saturating_add(other.1),
        )
    }

    /// Subtracts each component, saturating at zero.
    pub fn saturating_sub(self, other: Amount) -> Amount {
        Self(
            self.0.saturating_sub(other.0),
            self.1.saturating_sub(other.1),
        )
    }

    /// The minimum of each component.
    pub fn component_min(self, other: Amount) -> Amount {
        Self(self.0.min(other.0), self.1.min(other.1))
    }

    /// The maximum of each component.
    pub fn component_max(self, other: Amount) -> Amount {
        Self(self.0.max(other.0), self.1.max(other.1))
    }

    /// Sets each component to zero that is smaller than the same component of `minimum`.
    pub fn zero_if_below(self, minimum: Amount) -> Amount {
        let zeroed = |amount: u64, minimum: u64| if amount < minimum { 0 } else { amount };
        Self(zeroed(self.0, minimum.0), zeroed(self.1, minimum.1))
    }

    /// Multiplies each component by `part / whole`, rounding up. A component is zero where `whole`
    /// is zero.
    pub fn scale_rounded_up(self, part: Amount, whole: Amount) -> Amount {
        let scaled = |amount: u64, part: u64, whole: u64| {
            let product = u128::from(amount) * u128::from(part);
            match u128::from(whole) {
                0 => 0,
                whole => u64::try_from(product.div_ceil(whole)).unwrap_or(u64::MAX),
            }
        };
        Self(
            scaled(self.0, part.0, whole.0),
            scaled(self.1, part.1, whole.1),
        )
    }

    /// The ratio of this amount to `whole` in thousandths, for the component where it is larger.
    /// The ratio is zero where `whole` is zero.
    pub fn permille_of(self, whole: Amount) -> u64 {
        let permille = |amount: u64, whole: u64| match whole {
            0 => 0,
            whole => amount.saturating_mul(1000) / whole,
        };
        permille(self.0, whole.0).max(permille(self.1, whole.1))
    }

    /// Divides each component, rounding down. A divisor of zero counts as one.
    pub fn divided_by(self, divisor: usize) -> Amount {
        let divisor = divisor.max(1) as u64;
        Self(self.0 / divisor, self.1 / divisor)
    }
}
