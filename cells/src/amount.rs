//! Amounts of CPUs and GPUs, as whole numbers, so that sums and differences are exact.

use serde::{Deserialize, Serialize};

/// The smallest amount is this part of one CPU or GPU.
const PARTS: f64 = 1000.0;

/// CPUs and GPUs, each in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Amount(pub u64, pub u64);

impl Amount {
    /// Neither CPUs nor GPUs.
    pub const ZERO: Amount = Amount(0, 0);

    /// An amount that is granted: rounded down.
    pub fn rounded_down(cpus: f64, gpus: f64) -> Self {
        let parts = |value: f64| (value.max(0.0) * PARTS + 1e-6).floor() as u64;
        Self(parts(cpus), parts(gpus))
    }

    /// An amount that is in use: rounded up.
    pub fn rounded_up(cpus: f64, gpus: f64) -> Self {
        let parts = |value: f64| (value.max(0.0) * PARTS - 1e-6).ceil().max(0.0) as u64;
        Self(parts(cpus), parts(gpus))
    }

    /// CPUs and GPUs, in whole units.
    pub fn to_pair(self) -> (f64, f64) {
        (self.0 as f64 / PARTS, self.1 as f64 / PARTS)
    }

    /// Whether both are zero.
    pub fn is_zero(self) -> bool {
        self == Self::ZERO
    }

    /// The sum; `None` on overflow.
    pub fn checked_add(self, other: Amount) -> Option<Amount> {
        Some(Self(
            self.0.checked_add(other.0)?,
            self.1.checked_add(other.1)?,
        ))
    }

    /// The difference; `None` if the other is larger in either.
    pub fn checked_sub(self, other: Amount) -> Option<Amount> {
        Some(Self(
            self.0.checked_sub(other.0)?,
            self.1.checked_sub(other.1)?,
        ))
    }

    /// The sum, saturating.
    pub fn saturating_add(self, other: Amount) -> Amount {
        Self(
            self.0.saturating_add(other.0),
            self.1.saturating_add(other.1),
        )
    }

    /// The difference of each, zero where the other is larger.
    pub fn saturating_sub(self, other: Amount) -> Amount {
        Self(
            self.0.saturating_sub(other.0),
            self.1.saturating_sub(other.1),
        )
    }

    /// The minimum of each.
    pub fn component_min(self, other: Amount) -> Amount {
        Self(self.0.min(other.0), self.1.min(other.1))
    }

    /// The maximum of each.
    pub fn component_max(self, other: Amount) -> Amount {
        Self(self.0.max(other.0), self.1.max(other.1))
    }

    /// Of each, this amount if it is at least `least`, and else zero.
    pub fn zero_if_below(self, least: Amount) -> Amount {
        let at_least = |amount: u64, least: u64| if amount < least { 0 } else { amount };
        Self(at_least(self.0, least.0), at_least(self.1, least.1))
    }

    /// This times `part` over `whole`, rounded up; zero where `whole` is zero.
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

    /// How many thousandths of a whole this is: the larger of both ratios.
    pub fn permille_of(self, whole: Amount) -> u64 {
        let permille = |amount: u64, whole: u64| match whole {
            0 => 0,
            whole => amount.saturating_mul(1000) / whole,
        };
        permille(self.0, whole.0).max(permille(self.1, whole.1))
    }

    /// This divided by `parts`, rounded down.
    pub fn divided_by(self, parts: usize) -> Amount {
        let parts = parts.max(1) as u64;
        Self(self.0 / parts, self.1 / parts)
    }
}
