//! What the process measures of itself, and the log line that shows which limit is near.

#![warn(missing_docs)]

use crate::controller::events::Load;
use crate::ids::Time;
use hdrhistogram::Histogram;
use std::time::{Duration, Instant};

/// Pause between two log lines, in seconds.
const LOG_INTERVAL_S: f64 = 30.0;
/// Longest time that the histograms distinguish, in microseconds; anything longer counts as this.
const LONGEST_US: u64 = 60_000_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 2;

/// Timers that fire later than this, on average, mean that the processor is full, whatever the
/// process itself did.
const LATE_TIMER: Duration = Duration::from_millis(100);
/// Over how long the processor's utilization is measured.
const UTILIZATION_INTERVAL: Duration = Duration::from_secs(1);

/// For which share of its time the process doesn't wait: it computes, or it waits for its share of
/// the processor.
struct ProcessorUtilization {
    /// When the present measurement began.
    since: Instant,
    waited: Duration,
    timers: TimerDelays,
    /// Measurements since the last log line.
    measured: Measurements,
}

/// Timers that fired, and how late they did, in all.
#[derive(Clone, Copy, Default)]
struct TimerDelays {
    count: u32,
    late: Duration,
}

impl TimerDelays {
    fn show_full_processor(self) -> bool {
        self.count > 0 && self.late / self.count > LATE_TIMER
    }
}

/// Shares of the processor, measured one after the other.
#[derive(Clone, Copy, Default)]
struct Measurements {
    sum: f64,
    count: u32,
    largest: f64,
}

impl Measurements {
    fn add(&mut self, share: f64) {
        self.sum += share;
        self.count += 1;
        self.largest = self.largest.max(share);
    }

    fn mean(self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}

impl ProcessorUtilization {
    fn new(since: Instant) -> Self {
        Self {
            since,
            waited: Duration::ZERO,
            timers: TimerDelays::default(),
            measured: Measurements::default(),
        }
    }

    /// The share since the last measurement, if that is long enough ago.
    fn measure(&mut self, now: Instant) -> Option<f64> {
        let passed = now.duration_since(self.since);
        if passed < UTILIZATION_INTERVAL {
            return None;
        }
        let share = match self.timers.show_full_processor() {
            true => 1.0,
            false => 1.0 - self.waited.as_secs_f64() / passed.as_secs_f64(),
        };
        self.since = now;
        self.waited = Duration::ZERO;
        self.timers = TimerDelays::default();
        self.measured.add(share);
        Some(share)
    }

    /// The measurements since the last log line, as that shows them.
    fn log_text(&mut self) -> String {
        let measured = std::mem::take(&mut self.measured);
        let (mean, largest) = (measured.mean(), measured.largest);
        format!("{mean:.2} busy ({largest:.2} at most)")
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

    fn log_text(self, passed_s: f64) -> String {
        let messages = self.messages as f64 / passed_s;
        let kilobytes = self.bytes as f64 / 1000.0 / passed_s;
        format!("{messages:.1} messages and {kilobytes:.2} KB a second")
    }
}

/// The measurements of one process.
pub struct Metrics {
    /// Time that one input took, in microseconds.
    steps: Histogram<u32>,
    /// Time that the store took to answer a transaction, in microseconds.
    commits: Histogram<u32>,
    /// Responses by which the store or the cloud refused a call.
    refused: u32,
    /// Most writes that waited at once.
    queued: usize,
    utilization: ProcessorUtilization,
    /// To other controllers of this cell, and to those of other cells.
    to_peers: Sent,
    to_cells: Sent,
    /// What was counted up to the last log line, and when that was.
    load_before: Load,
    since: Time,
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_max(LONGEST_US, DIGITS).expect("bounds that hdrhistogram accepts")
}

fn milliseconds(microseconds: u64) -> f64 {
    microseconds as f64 / 1000.0
}

impl Metrics {
    /// Metrics of a process that starts now, by both of its clocks.
    pub fn new(now: Time, started: Instant) -> Self {
        Self {
            steps: histogram(),
            commits: histogram(),
            refused: 0,
            queued: 0,
            utilization: ProcessorUtilization::new(started),
            to_peers: Sent::default(),
            to_cells: Sent::default(),
            load_before: Load::default(),
            since: now,
        }
    }

    /// The controller processed one input.
    pub fn step(&mut self, took: Duration) {
        self.steps.saturating_record(took.as_micros() as u64);
    }

    /// The process waited for sockets or for a timer.
    pub fn waited(&mut self, time: Duration) {
        self.utilization.waited += time;
    }

    /// A timer fired so much later than it was due.
    pub fn timer_fired(&mut self, late: Duration) {
        self.utilization.timers.count += 1;
        self.utilization.timers.late += late;
    }

    /// The share of its time for which the process was busy, about once a second.
    pub fn processor_utilization(&mut self, now: Instant) -> Option<f64> {
        self.utilization.measure(now)
    }

    /// The store answered a transaction, or failed to.
    pub fn commit(&mut self, took_s: f64) {
        self.commits.saturating_record((took_s * 1e6) as u64);
    }

    /// The store or the cloud refused a call.
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

    /// The log line for the time since the last one, when it is due. `sockets` of `sockets_max` are
    /// open.
    pub fn log_line(
        &mut self,
        now: Time,
        load: &Load,
        sockets: usize,
        sockets_max: usize,
    ) -> Option<String> {
        self.queued = self.queued.max(load.queued);
        let passed_s = now.since(self.since);
        if passed_s < LOG_INTERVAL_S {
            return None;
        }
        let line = format!(
            "load: {}; {}; {}; {} writes queued at most; {} machines looked at for {} tasks placed; \
             {sockets} of {sockets_max} sockets; {} to siblings, {} to other cells",
            self.utilization.log_text(),
            self.times_text(passed_s),
            self.limits_text(load, passed_s),
            self.queued,
            load.machines_scanned - self.load_before.machines_scanned,
            load.placed - self.load_before.placed,
            self.to_peers.log_text(passed_s),
            self.to_cells.log_text(passed_s),
        );
        self.begin_interval(now, load);
        Some(line)
    }

    /// How long steps and commits took.
    fn times_text(&self, passed_s: f64) -> String {
        let (steps, commits) = (&self.steps, &self.commits);
        format!(
            "{:.0} steps/s of {:.2} ms ({:.2} at p99, {:.1} at most); commits {:.0} ms ({:.0} at p99)",
            steps.len() as f64 / passed_s,
            steps.mean() / 1000.0,
            milliseconds(steps.value_at_quantile(0.99)),
            milliseconds(steps.max()),
            commits.mean() / 1000.0,
            milliseconds(commits.value_at_quantile(0.99)),
        )
    }

    /// What was used of this controller's shares of the limits.
    fn limits_text(&self, load: &Load, passed_s: f64) -> String {
        let before = &self.load_before;
        let rate = |now: f64, before: f64| (now - before) / passed_s;
        format!(
            "{:.1} of {:.0} requests, {:.1} of {:.0} changes, {:.2} of {:.1} cloud calls a second; \
             {} refused",
            rate(load.requests, before.requests),
            load.requests_rate,
            rate(load.changes, before.changes),
            load.changes_rate,
            rate(load.cloud, before.cloud),
            load.cloud_rate,
            self.refused,
        )
    }

    fn begin_interval(&mut self, now: Time, load: &Load) {
        self.steps.reset();
        self.commits.reset();
        self.refused = 0;
        self.queued = 0;
        self.to_peers = Sent::default();
        self.to_cells = Sent::default();
        self.load_before = load.clone();
        self.since = now;
    }
}
