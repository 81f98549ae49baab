//! Amounts of CPUs and GPUs, as whole numbers: adding and taking away must lose nothing.

use serde::{Deserialize, Serialize};

/// Parts of one CPU or GPU that are told apart.
const PARTS: f64 = 1000.0;

/// CPUs and GPUs, each in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Amount(pub u64, pub u64);

impl Amount {
    /// Nothing.
    pub const ZERO: Amount = Amount(0, 0);

    /// At most this much: what is granted is rounded down.
    pub fn rounded_down(cpus: f64, gpus: f64) -> Self {
        let parts = |value: f64| (value.max(0.0) * PARTS + 1e-6).floor() as u64;
        Self(parts(cpus), parts(gpus))
    }

    /// At least this much: what is in use is rounded up.
    pub fn rounded_up(cpus: f64, gpus: f64) -> Self {
        let parts = |value: f64| (value.max(0.0) * PARTS - 1e-6).ceil().max(0.0) as u64;
        Self(parts(cpus), parts(gpus))
    }

    /// CPUs and GPUs.
    pub fn to_pair(self) -> (f64, f64) {
        (self.0 as f64 / PARTS, self.1 as f64 / PARTS)
    }

    /// Whether there is nothing of either.
    pub fn is_zero(self) -> bool {
        self == Self::ZERO
    }

    /// Both together, unless that is beyond all measure.
    pub fn checked_add(self, other: Amount) -> Option<Amount> {
        Some(Self(
            self.0.checked_add(other.0)?,
            self.1.checked_add(other.1)?,
        ))
    }

    /// What is left, if the other is no larger in either.
    pub fn checked_sub(self, other: Amount) -> Option<Amount> {
        Some(Self(
            self.0.checked_sub(other.0)?,
            self.1.checked_sub(other.1)?,
        ))
    }

    /// Both together, or as much as can be written.
    pub fn plus(self, other: Amount) -> Amount {
        Self(
            self.0.saturating_add(other.0),
            self.1.saturating_add(other.1),
        )
    }

    /// How much more this is of each; nothing where it is less.
    pub fn beyond(self, other: Amount) -> Amount {
        Self(
            self.0.saturating_sub(other.0),
            self.1.saturating_sub(other.1),
        )
    }

    /// The smaller amount of each.
    pub fn least(self, other: Amount) -> Amount {
        Self(self.0.min(other.0), self.1.min(other.1))
    }

    /// The larger amount of each.
    pub fn most(self, other: Amount) -> Amount {
        Self(self.0.max(other.0), self.1.max(other.1))
    }

    /// Of each, this amount if it is at least that much, and else nothing.
    pub fn unless_below(self, least: Amount) -> Amount {
        let of = |amount: u64, least: u64| if amount < least { 0 } else { amount };
        Self(of(self.0, least.0), of(self.1, least.1))
    }

    /// As much of this as `part` is of `whole`, rounded up; nothing of what there is nothing of.
    pub fn scaled_up(self, part: Amount, whole: Amount) -> Amount {
        let of = |amount: u64, part: u64, whole: u64| {
            let product = u128::from(amount) * u128::from(part);
            match u128::from(whole) {
                0 => 0,
                whole => u64::try_from(product.div_ceil(whole)).unwrap_or(u64::MAX),
            }
        };
        Self(of(self.0, part.0, whole.0), of(self.1, part.1, whole.1))
    }

    /// How many thousandths of a whole this is, of that of which it is more.
    pub fn permille_of(self, whole: Amount) -> u64 {
        let of = |amount: u64, whole: u64| match whole {
            0 => 0,
            whole => amount.saturating_mul(1000) / whole,
        };
        of(self.0, whole.0).max(of(self.1, whole.1))
    }

    /// One of so many equal parts, rounded down.
    pub fn part(self, parts: usize) -> Amount {
        let parts = parts.max(1) as u64;
        Self(self.0 / parts, self.1 / parts)
    }
}
