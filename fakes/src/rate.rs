//! A limit on how much is taken a second, of which one second's worth may come at once.

/// A token bucket that holds one second's worth.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    per_second: f64,
    tokens: f64,
    updated_ms: u64,
}

impl RateLimit {
    /// A full bucket.
    pub fn new(now_ms: u64, per_second: f64) -> Self {
        Self {
            per_second,
            tokens: per_second,
            updated_ms: now_ms,
        }
    }

    /// Takes `amount` if there is so much, and says whether there was.
    pub fn try_take(&mut self, now_ms: u64, amount: f64) -> bool {
        let gained = now_ms.saturating_sub(self.updated_ms) as f64 / 1e3 * self.per_second;
        self.tokens = (self.tokens + gained).min(self.per_second);
        self.updated_ms = now_ms;
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}
