//! What the program measures of itself, and the line that tells an operator which limit
//! is near.

use crate::controller::events::Load;
use crate::ids::Time;
use hdrhistogram::Histogram;
use std::time::{Duration, Instant};

/// Pause between two lines.
const EVERY_S: f64 = 30.0;
/// Longest time told apart, in microseconds; anything longer counts as this.
const LONGEST_US: u64 = 60_000_000;
const DIGITS: u8 = 2;

/// A timer that fires later than this finds the processor full, whatever the process itself did.
const LATE: Duration = Duration::from_millis(100);
/// How long the share of its time for which the process is busy is measured for.
const BUSY_EVERY: Duration = Duration::from_secs(1);

/// For which share of its time the process doesn't wait: it computes, or it waits for its share of
/// the processor.
struct Busy {
    since: Instant,
    waited: Duration,
    /// Timers that fired, and how late they did.
    timers: u32,
    late: Duration,
    /// Since the last line: the sum of the measurements, their number, and the largest.
    sum: f64,
    count: u32,
    most: f64,
}

impl Busy {
    fn new(since: Instant) -> Self {
        Self {
            since,
            waited: Duration::ZERO,
            timers: 0,
            late: Duration::ZERO,
            sum: 0.0,
            count: 0,
            most: 0.0,
        }
    }

    fn measure(&mut self, now: Instant) -> Option<f64> {
        let passed = now.duration_since(self.since);
        if passed < BUSY_EVERY {
            return None;
        }
        let full = self.timers > 0 && self.late / self.timers > LATE;
        let share = match full {
            true => 1.0,
            false => 1.0 - self.waited.as_secs_f64() / passed.as_secs_f64(),
        };
        *self = Self {
            since: now,
            waited: Duration::ZERO,
            timers: 0,
            late: Duration::ZERO,
            ..*self
        };
        self.sum += share;
        self.count += 1;
        self.most = self.most.max(share);
        Some(share)
    }

    fn line(&mut self) -> String {
        let mean = self.sum / f64::from(self.count.max(1));
        let line = format!("{:.2} busy ({:.2} at most)", mean, self.most);
        (self.sum, self.count, self.most) = (0.0, 0, 0.0);
        line
    }
}

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

pub struct Metrics {
    /// Time that one input took, in microseconds.
    steps: Histogram<u32>,
    /// Time that the store took to answer a commit, in microseconds.
    commits: Histogram<u32>,
    /// Answers by which the store or the cloud refused a call.
    refused: u32,
    queued: usize,
    busy: Busy,
    /// To other controllers of this cell, and to those of other cells.
    to_peers: Sent,
    to_cells: Sent,
    before: Load,
    since: Time,
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_max(LONGEST_US, DIGITS).expect("bounds that hdrhistogram takes")
}

impl Metrics {
    pub fn new(now: Time, began: Instant) -> Self {
        Self {
            steps: histogram(),
            commits: histogram(),
            refused: 0,
            queued: 0,
            busy: Busy::new(began),
            to_peers: Sent::default(),
            to_cells: Sent::default(),
            before: Load::default(),
            since: now,
        }
    }

    pub fn step(&mut self, took: Duration) {
        self.steps.saturating_record(took.as_micros() as u64);
    }

    /// The process waited for sockets or for a timer.
    pub fn waited(&mut self, time: Duration) {
        self.busy.waited += time;
    }

    /// A timer fired so much later than it was due.
    pub fn timer(&mut self, late: Duration) {
        self.busy.timers += 1;
        self.busy.late += late;
    }

    /// The share of its time for which the process was busy, about once a second.
    pub fn busy(&mut self, now: Instant) -> Option<f64> {
        self.busy.measure(now)
    }

    pub fn commit(&mut self, took_s: f64) {
        self.commits.saturating_record((took_s * 1e6) as u64);
    }

    pub fn refused(&mut self) {
        self.refused += 1;
    }

    /// A message was sent to a peer.
    pub fn sent_to_peer(&mut self, bytes: usize) {
        self.to_peers.add(bytes);
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
        let busy = self.busy.line();
        let line = format!(
            "load: {busy}; {:.0} steps/s of {:.2} ms ({:.2} at p99, {:.1} at most); commits {:.0} ms \
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
            load.machines_scanned - b.machines_scanned,
            load.placed - b.placed,
            self.to_peers.line(passed),
            self.to_cells.line(passed),
        );
        self.steps.reset();
        self.commits.reset();
        (self.refused, self.queued) = (0, 0);
        (self.to_peers, self.to_cells) = (Sent::default(), Sent::default());
        (self.before, self.since) = (load.clone(), now);
        Some(line)
    }
}
