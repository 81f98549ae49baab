//! Token buckets for calls to the store and the cloud.

use crate::ids::Time;

/// The priority of a call, which decides how many tokens it has to leave for more urgent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Leases, stops, cancellations: may take the last token.
    First,
    /// Placements and submissions.
    Usual,
    /// Calls that can be deferred.
    Last,
}

impl Priority {
    /// Share of the bucket that is reserved for calls of higher priority.
    fn reserve(self) -> f64 {
        match self {
            Self::First => 0.0,
            Self::Usual => 0.15,
            Self::Last => 0.4,
        }
    }
}

/// A bucket that fills at a steady rate and holds `burst` at most.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Most tokens that it holds.
    burst: f64,
    /// Tokens in it at `filled_at`; below zero after a call larger than what was left.
    tokens: f64,
    filled_at: Time,
    /// All tokens taken so far.
    spent: f64,
}

impl TokenBucket {
    /// A full bucket.
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst: burst.max(1.0),
            tokens: burst.max(1.0),
            filled_at: Time(0),
            spent: 0.0,
        }
    }

    /// Changes the rate, as when this controller's share of a limit changes. What is
    /// already in the bucket stays, so that a change creates no tokens.
    pub(crate) fn set_rate(&mut self, now: Time, rate: f64, burst: f64) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Adds the tokens of the time since the last call.
    fn fill(&mut self, now: Time) {
        self.tokens = (self.tokens + self.rate * now.since(self.filled_at)).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }

    /// Whether a call of this priority may take `tokens`. A bucket smaller than the call lets it
    /// through once full, so that no call waits for ever.
    pub(crate) fn can_take(&mut self, now: Time, tokens: f64, priority: Priority) -> bool {
        self.fill(now);
        let required = (tokens + self.burst * priority.reserve()).min(self.burst);
        self.tokens + 1e-9 >= required
    }

    /// The largest call of this priority that leaves its reserve in a full bucket.
    pub(crate) fn largest_call(&self, priority: Priority) -> f64 {
        (self.burst * (1.0 - priority.reserve())).max(1.0)
    }

    /// Takes `tokens`; after a large call the bucket may be in debt, for which later calls wait.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
        self.spent += tokens;
    }

    /// All tokens taken so far.
    pub(crate) fn spent(&self) -> f64 {
        self.spent
    }

    /// The present rate, in tokens per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Empties the bucket, when the other side reports that the limit is reached.
    pub(crate) fn drain(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }
}
