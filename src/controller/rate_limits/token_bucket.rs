//! Token buckets for calls to the store and the cloud.

use crate::ids::Time;

/// How much of a bucket a call must leave for those before it in rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Leases, stops, cancellations: may take the last token.
    First,
    /// Placements and submissions.
    Usual,
    /// What can wait for a quieter moment.
    Last,
}

impl Priority {
    /// Share of the bucket kept back from calls of this priority.
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
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Time,
    /// All that was ever taken.
    spent: f64,
}

impl TokenBucket {
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst: burst.max(1.0),
            tokens: burst.max(1.0),
            at: Time(0),
            spent: 0.0,
        }
    }

    /// Changes the rate, as when this controller's share of a limit changes. What is
    /// already in the bucket stays, so that a change can't mint tokens.
    pub(crate) fn set(&mut self, now: Time, rate: f64, burst: f64) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    fn fill(&mut self, now: Time) {
        self.tokens = (self.tokens + self.rate * now.since(self.at)).min(self.burst);
        self.at = self.at.max(now);
    }

    /// Whether `n` tokens are there for this priority. A bucket smaller than the
    /// call lets it through once full, so that no call waits for ever.
    pub(crate) fn has(&mut self, now: Time, n: f64, priority: Priority) -> bool {
        self.fill(now);
        let need = (n + self.burst * priority.reserve()).min(self.burst);
        self.tokens + 1e-9 >= need
    }

    /// The largest call of this priority that leaves its reserve in a full bucket.
    pub(crate) fn largest_call(&self, priority: Priority) -> f64 {
        (self.burst * (1.0 - priority.reserve())).max(1.0)
    }

    /// Takes `n` tokens; the debt of a large call is paid by those after it.
    pub(crate) fn take(&mut self, n: f64) {
        self.tokens -= n;
        self.spent += n;
    }

    pub(crate) fn spent(&self) -> f64 {
        self.spent
    }

    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Empties the bucket: the other side said that the limit is reached.
    pub(crate) fn drain(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }
}
