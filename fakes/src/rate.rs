//! Rate limits that allow bursts of one second's worth.

/// A token bucket that holds one second's worth of tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    per_second: f64,
    tokens: f64,
    updated_ms: u64,
}

impl RateLimit {
    /// A full bucket that refills with `per_second` tokens a second.
    pub fn new(now_ms: u64, per_second: f64) -> Self {
        Self {
            per_second,
            tokens: per_second,
            updated_ms: now_ms,
        }
    }

    /// Takes `amount` tokens if there are that many, and returns whether it did.
    pub fn try_take(&mut self, now_ms: u64, amount: f64) -> bool {
        let refilled = now_ms.saturating_sub(self.updated_ms) as f64 / 1e3 * self.per_second;
        self.tokens = (self.tokens + refilled).min(self.per_second);
        self.updated_ms = now_ms;
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}
