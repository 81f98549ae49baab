//! Token buckets that limit the rate of calls to the store and the cloud.

use crate::ids::Time;

/// The priority of a call, which determines how many tokens it must leave for more urgent calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Calls that other work depends on, such as leases, elections, the watch, cancellations and
    /// deletions of machines. They may take the last token.
    First,
    /// Submissions, placements of urgent jobs, scale-out and reads for single requests of users.
    Usual,
    /// Calls that can be deferred, such as results of tasks, and placements of all other jobs.
    Last,
}

impl Priority {
    /// Fraction of the bucket that a call of this priority leaves for calls of higher priority.
    fn reserved_fraction(self) -> f64 {
        match self {
            Self::First => 0.0,
            Self::Usual => 0.15,
            Self::Last => 0.4,
        }
    }
}

/// A token bucket that fills at a constant rate up to `burst` tokens.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Maximum number of tokens in the bucket.
    burst: f64,
    /// Tokens in the bucket at `filled_at`. Negative after a call that took more than were left.
    tokens: f64,
    filled_at: Time,
    /// Total number of tokens taken so far.
    spent: f64,
}

impl TokenBucket {
    /// Creates a full bucket with `rate` tokens per second.
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst: burst.max(1.0),
            tokens: burst.max(1.0),
            filled_at: Time(0),
            spent: 0.0,
        }
    }

    /// Changes the rate and the burst, for instance when this controller's share of a limit
    /// changes. Tokens already in the bucket stay, as far as they fit, and none are added.
    pub(crate) fn set_rate(&mut self, now: Time, rate: f64, burst: f64) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Adds the tokens for the time since the bucket was last filled.
    fn fill(&mut self, now: Time) {
        self.tokens = (self.tokens + self.rate * now.since(self.filled_at)).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }

    /// Whether a call of this priority may take `tokens` now. A call that needs more than the
    /// bucket can hold is allowed once the bucket is full, so that no call waits forever.
    pub(crate) fn can_take(&mut self, now: Time, tokens: f64, priority: Priority) -> bool {
        self.fill(now);
        let required = (tokens + self.burst * priority.reserved_fraction()).min(self.burst);
        // The tolerance absorbs rounding errors of the refill.
        self.tokens + 1e-9 >= required
    }

    /// The most tokens that a call of this priority can take from a full bucket and still leave the
    /// reserve for calls of higher priority.
    pub(crate) fn largest_call(&self, priority: Priority) -> f64 {
        (self.burst * (1.0 - priority.reserved_fraction())).max(1.0)
    }

    /// Takes `tokens`. After a large call the number of tokens may be negative, and later calls
    /// wait until the bucket has filled again.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
        self.spent += tokens;
    }

    /// Total number of tokens taken so far.
    pub(crate) fn spent(&self) -> f64 {
        self.spent
    }

    /// The present rate, in tokens per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Removes all tokens. Called when the server reports that its rate limit is reached.
    pub(crate) fn drain(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }
}
