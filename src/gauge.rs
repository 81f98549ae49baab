//! What the program measures of itself, and the line that tells an operator which limit
//! is near.

use crate::core::Load;
use crate::ids::Time;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Pause between two lines.
const EVERY_S: f64 = 30.0;
/// Longest time told apart, in microseconds; anything longer counts as this.
const LONGEST_US: u64 = 60_000_000;
const DIGITS: u8 = 2;

/// What was sent over connections of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    messages: u64,
    bytes: u64,
}

impl Sent {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    fn line(self, passed_s: f64) -> String {
        let messages = self.messages as f64 / passed_s;
        let kilobytes = self.bytes as f64 / 1000.0 / passed_s;
        format!("{messages:.1} messages and {kilobytes:.2} KB a second")
    }
}

pub struct Gauge {
    /// Time that one input took, in microseconds.
    steps: Histogram<u32>,
    /// Time that the state service took to answer a commit, in microseconds.
    commits: Histogram<u32>,
    /// Answers by which the state service or the cloud refused a call.
    refused: u32,
    queued: usize,
    /// To other controllers of this cell, and to those of other cells.
    to_siblings: Sent,
    to_cells: Sent,
    before: Load,
    since: Time,
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_max(LONGEST_US, DIGITS).expect("bounds that hdrhistogram takes")
}

impl Gauge {
    pub fn new(now: Time) -> Self {
        Self {
            steps: histogram(),
            commits: histogram(),
            refused: 0,
            queued: 0,
            to_siblings: Sent::default(),
            to_cells: Sent::default(),
            before: Load::default(),
            since: now,
        }
    }

    pub fn step(&mut self, took: Duration) {
        self.steps.saturating_record(took.as_micros() as u64);
    }

    pub fn commit(&mut self, took_s: f64) {
        self.commits.saturating_record((took_s * 1e6) as u64);
    }

    pub fn refused(&mut self) {
        self.refused += 1;
    }

    /// A message was sent to a sibling.
    pub fn sent_to_sibling(&mut self, bytes: usize) {
        self.to_siblings.add(bytes);
    }

    /// A message was sent to a controller of another cell.
    pub fn sent_to_cell(&mut self, bytes: usize) {
        self.to_cells.add(bytes);
    }

    /// The line for the time since the last one, when it is due.
    pub fn line(&mut self, now: Time, load: &Load, sockets: usize, most: usize) -> Option<String> {
        self.queued = self.queued.max(load.queued);
        let passed = now.since(self.since);
        if passed < EVERY_S {
            return None;
        }
        let rate = |now: f64, before: f64| (now - before) / passed;
        let (steps, commits, b) = (&self.steps, &self.commits, &self.before);
        let ms = |us: u64| us as f64 / 1000.0;
        let line = format!(
            "load: {:.0} steps/s of {:.2} ms ({:.2} at p99, {:.1} at most); commits {:.0} ms \
             ({:.0} at p99); {:.1} of {:.0} requests, {:.1} of {:.0} changes, {:.2} of {:.1} cloud \
             calls a second; {} refused; {} writes queued at most; {} machines looked at for {} tasks \
             placed; {sockets} of {most} sockets; {} to siblings, {} to other cells",
            steps.len() as f64 / passed,
            steps.mean() / 1000.0,
            ms(steps.value_at_quantile(0.99)),
            ms(steps.max()),
            commits.mean() / 1000.0,
            ms(commits.value_at_quantile(0.99)),
            rate(load.requests, b.requests),
            load.requests_rate,
            rate(load.changes, b.changes),
            load.changes_rate,
            rate(load.cloud, b.cloud),
            load.cloud_rate,
            self.refused,
            self.queued,
            load.looked - b.looked,
            load.placed - b.placed,
            self.to_siblings.line(passed),
            self.to_cells.line(passed),
        );
        self.steps.reset();
        self.commits.reset();
        (self.refused, self.queued) = (0, 0);
        (self.to_siblings, self.to_cells) = (Sent::default(), Sent::default());
        (self.before, self.since) = (load.clone(), now);
        Some(line)
    }
}
