//! Metrics of the process itself, and the periodic log line that shows operators which limit is
//! nearly reached.

#![warn(missing_docs)]

use crate::controller::events::Load;
use crate::ids::Time;
use hdrhistogram::Histogram;
use std::time::{Duration, Instant};

/// Interval between two log lines, in seconds.
const LOG_INTERVAL_S: f64 = 30.0;
/// Largest duration that the histograms record, in microseconds; longer ones count as this one.
const HISTOGRAM_MAX_US: u64 = 60_000_000;
/// Number of significant decimal digits that the histograms keep.
const HISTOGRAM_DIGITS: u8 = 2;

/// A mean timer delay above this means that the processor is saturated, however long the process
/// waited for events.
const SATURATED_TIMER_DELAY: Duration = Duration::from_millis(100);
/// Time over which the processor's utilization is averaged.
const UTILIZATION_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the fraction of time in which the process doesn't wait for events: it computes, or it
/// waits to be scheduled on the processor.
struct ProcessorUtilization {
    /// When the current measurement began.
    interval_start: Instant,
    /// Time spent waiting for events since `interval_start`.
    waited: Duration,
    /// Timers that fired since `interval_start`.
    timers: TimerDelays,
    /// The measurements since the last log line.
    since_log_line: UtilizationSummary,
}

/// The number of timers that fired, and the sum of their delays.
#[derive(Clone, Copy, Default)]
struct TimerDelays {
    count: u32,
    total_delay: Duration,
}

impl TimerDelays {
    fn is_processor_saturated(self) -> bool {
        self.count > 0 && self.total_delay / self.count > SATURATED_TIMER_DELAY
    }
}

/// The mean and the maximum of successive utilization measurements.
#[derive(Clone, Copy, Default)]
struct UtilizationSummary {
    sum: f64,
    count: u32,
    max: f64,
}

impl UtilizationSummary {
    fn add(&mut self, utilization: f64) {
        self.sum += utilization;
        self.count += 1;
        self.max = self.max.max(utilization);
    }

    fn mean(self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}

impl ProcessorUtilization {
    fn new(interval_start: Instant) -> Self {
        Self {
            interval_start,
            waited: Duration::ZERO,
            timers: TimerDelays::default(),
            since_log_line: UtilizationSummary::default(),
        }
    }

    /// Returns the utilization since the last measurement, between 0 and 1; `None` until
    /// [`UTILIZATION_INTERVAL`] has passed.
    fn measure(&mut self, now: Instant) -> Option<f64> {
        let elapsed = now.duration_since(self.interval_start);
        if elapsed < UTILIZATION_INTERVAL {
            return None;
        }
        let utilization = match self.timers.is_processor_saturated() {
            true => 1.0,
            false => 1.0 - self.waited.as_secs_f64() / elapsed.as_secs_f64(),
        };
        self.interval_start = now;
        self.waited = Duration::ZERO;
        self.timers = TimerDelays::default();
        self.since_log_line.add(utilization);
        Some(utilization)
    }

    /// Formats and resets the measurements since the last log line.
    fn take_log_text(&mut self) -> String {
        let summary = std::mem::take(&mut self.since_log_line);
        let (mean, max) = (summary.mean(), summary.max);
        format!("{mean:.2} busy ({max:.2} at most)")
    }
}

/// Messages and bytes sent over connections of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct SentTraffic {
    messages: u64,
    bytes: u64,
}

impl SentTraffic {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    fn log_text(self, elapsed_s: f64) -> String {
        let messages = self.messages as f64 / elapsed_s;
        let kilobytes = self.bytes as f64 / 1000.0 / elapsed_s;
        format!("{messages:.1} messages and {kilobytes:.2} KB a second")
    }
}

/// The metrics of one controller process.
pub struct Metrics {
    /// Time in which the controller handled each input, in microseconds.
    steps_us: Histogram<u32>,
    /// Time in which the store answered each transaction, in microseconds.
    commits_us: Histogram<u32>,
    /// Calls that the store or the cloud refused with status 429 or 503.
    refused_calls: u32,
    /// Largest number of writes that were queued at the same time.
    queued_writes_max: usize,
    utilization: ProcessorUtilization,
    /// Sent to other controllers of this cell.
    to_peers: SentTraffic,
    /// Sent to controllers of other cells.
    to_cells: SentTraffic,
    /// The controller's counters at the last log line.
    load_at_last_line: Load,
    /// When the last log line was written or, before the first one, when the process started.
    interval_start: Time,
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_max(HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
        .expect("hdrhistogram accepts these bounds")
}

fn to_milliseconds(microseconds: u64) -> f64 {
    microseconds as f64 / 1000.0
}

impl Metrics {
    /// Creates the metrics of a process that starts now. `now` and `started_at` are the same
    /// moment, by the controller's clock and by the operating system's.
    pub fn new(now: Time, started_at: Instant) -> Self {
        Self {
            steps_us: new_histogram(),
            commits_us: new_histogram(),
            refused_calls: 0,
            queued_writes_max: 0,
            utilization: ProcessorUtilization::new(started_at),
            to_peers: SentTraffic::default(),
            to_cells: SentTraffic::default(),
            load_at_last_line: Load::default(),
            interval_start: now,
        }
    }

    /// Records the time in which the controller handled one input.
    pub fn record_step(&mut self, duration: Duration) {
        self.steps_us.saturating_record(duration.as_micros() as u64);
    }

    /// Records the time that the process waited for sockets or for a timer.
    pub fn record_wait(&mut self, duration: Duration) {
        self.utilization.waited += duration;
    }

    /// Records that a timer fired `delay` after it was due.
    pub fn record_timer(&mut self, delay: Duration) {
        self.utilization.timers.count += 1;
        self.utilization.timers.total_delay += delay;
    }

    /// Returns the fraction of its time in which the process was busy, between 0 and 1, about once
    /// a second; `None` in between.
    pub fn measure_utilization(&mut self, now: Instant) -> Option<f64> {
        self.utilization.measure(now)
    }

    /// Records the time in which a transaction was answered by the store or failed.
    pub fn record_commit(&mut self, duration_s: f64) {
        self.commits_us.saturating_record((duration_s * 1e6) as u64);
    }

    /// Counts a call that the store or the cloud refused.
    pub fn record_refused_call(&mut self) {
        self.refused_calls += 1;
    }

    /// Counts a message sent to a peer.
    pub fn record_sent_to_peer(&mut self, bytes: usize) {
        self.to_peers.add(bytes);
    }

    /// Counts a message sent to a controller of another cell.
    pub fn record_sent_to_cell(&mut self, bytes: usize) {
        self.to_cells.add(bytes);
    }

    /// Returns the log line for the interval since the last one and begins the next interval;
    /// `None` until the line is due. `sockets` is the number of open connections, of at most
    /// `sockets_max`.
    pub fn take_log_line(
        &mut self,
        now: Time,
        load: &Load,
        sockets: usize,
        sockets_max: usize,
    ) -> Option<String> {
        self.queued_writes_max = self.queued_writes_max.max(load.queued);
        let elapsed_s = now.since(self.interval_start);
        if elapsed_s < LOG_INTERVAL_S {
            return None;
        }
        let line = format!(
            "load: {}; {}; {}; {}; {} writes queued at most; {} machines looked at for {} tasks placed; \
             {sockets} of {sockets_max} sockets; {} to siblings, {} to other cells",
            self.utilization.take_log_text(),
            self.durations_text(elapsed_s),
            self.limits_text(load, elapsed_s),
            self.status_queries_text(load),
            self.queued_writes_max,
            load.machines_scanned - self.load_at_last_line.machines_scanned,
            load.placed - self.load_at_last_line.placed,
            self.to_peers.log_text(elapsed_s),
            self.to_cells.log_text(elapsed_s),
        );
        self.begin_interval(now, load);
        Some(line)
    }

    /// Formats the durations of steps and commits.
    fn durations_text(&self, elapsed_s: f64) -> String {
        let (steps, commits) = (&self.steps_us, &self.commits_us);
        format!(
            "{:.0} steps/s of {:.2} ms ({:.2} at p99, {:.1} at most); commits {:.0} ms ({:.0} at p99)",
            steps.len() as f64 / elapsed_s,
            steps.mean() / 1000.0,
            to_milliseconds(steps.value_at_quantile(0.99)),
            to_milliseconds(steps.max()),
            commits.mean() / 1000.0,
            to_milliseconds(commits.value_at_quantile(0.99)),
        )
    }

    /// Formats the rates of requests, changes and cloud calls, with this controller's share of
    /// each limit.
    fn limits_text(&self, load: &Load, elapsed_s: f64) -> String {
        let before = &self.load_at_last_line;
        let rate = |total: f64, total_before: f64| (total - total_before) / elapsed_s;
        format!(
            "{:.1} of {:.0} requests, {:.1} of {:.0} changes, {:.2} of {:.1} cloud calls a second; \
             {} refused",
            rate(load.requests, before.requests),
            load.requests_rate,
            rate(load.changes, before.changes),
            load.changes_rate,
            rate(load.cloud, before.cloud),
            load.cloud_rate,
            self.refused_calls,
        )
    }

    /// Formats what became of status queries, and how long the reads for them took.
    fn status_queries_text(&self, load: &Load) -> String {
        let (counts, before) = (load.status_queries, self.load_at_last_line.status_queries);
        format!(
            "{} statuses answered, {} too old, {} timed out; reads answered in {:.0} ms, caught up \
             with in {:.0} ms at most",
            counts.answered - before.answered,
            counts.too_old - before.too_old,
            counts.timed_out - before.timed_out,
            load.read_times.response_s * 1000.0,
            load.read_times.caught_up_s * 1000.0,
        )
    }

    fn begin_interval(&mut self, now: Time, load: &Load) {
        self.steps_us.reset();
        self.commits_us.reset();
        self.refused_calls = 0;
        self.queued_writes_max = 0;
        self.to_peers = SentTraffic::default();
        self.to_cells = SentTraffic::default();
        self.load_at_last_line = load.clone();
        self.interval_start = now;
    }
}
