//! Load at a steady rate: jobs, job pipelines and status queries.

use super::event::Event;
use super::scenario::{Arguments, Line, milliseconds};
use super::users::Intent;
use super::world::World;
use salttrestle::ids::JobId;

/// Evenly spaced times at a steady rate.
struct SteadyRate {
    starts_at: u64,
    duration_ms: u64,
    count: u64,
}

impl SteadyRate {
    fn new(starts_at: u64, per_second: f64, duration_ms: u64) -> Self {
        let count = (per_second * duration_ms as f64 / 1000.0) as u64;
        Self {
            starts_at,
            duration_ms,
            count,
        }
    }

    /// The time of the event with this index.
    fn due_at(&self, nth: u64) -> u64 {
        self.starts_at + nth * self.duration_ms / self.count
    }
}

/// A job of a pipeline.
struct Stage {
    name: String,
    priority_class: &'static str,
    dependencies: Vec<String>,
}

impl Stage {
    /// The `submit` command of the job. `is_late` delays the submission until the dependencies have
    /// ended.
    fn submission(&self, arguments: &Arguments, is_late: bool) -> Line {
        let mut words = vec![self.name.clone()];
        words.extend_from_slice(&arguments.words()[1..]);
        words.push(format!("rank={}", self.priority_class));
        if !self.dependencies.is_empty() {
            words.push(format!("needs={}", self.dependencies.join(",")));
        }
        if is_late {
            words.push(String::from("late"));
        }
        Line::new("submit", words)
    }
}

/// A diamond of four jobs: one job, two that depend on it, and an urgent one that depends on both.
fn pipeline(name: &str, nth: u64) -> [Stage; 4] {
    let stage = |letter: &str, priority_class, dependencies: &[&str]| Stage {
        name: format!("{name}{letter}-{nth}"),
        priority_class,
        dependencies: dependencies
            .iter()
            .map(|letter| format!("{name}{letter}-{nth}"))
            .collect(),
    };
    [
        stage("a", "idle", &[]),
        stage("b", "idle", &["a"]),
        stage("c", "normal", &["a"]),
        stage("d", "urgent", &["b", "c"]),
    ]
}

impl World {
    /// Handles `stream`: submits jobs at a steady rate and cancels some while they run.
    pub(super) fn start_stream(&mut self, arguments: &Arguments) {
        let rate = arguments.number("rate", 4.0);
        let jobs = SteadyRate::new(self.now, rate, self.command_duration_ms(arguments));
        for nth in 0..jobs.count {
            let at = jobs.due_at(nth);
            let name = format!("{}-{nth}", arguments.word(0));
            let job = JobId::from(name.as_str());
            let mut words = vec![name];
            words.extend_from_slice(&arguments.words()[1..]);
            self.schedule_at(at, Event::Line(Line::new("submit", words)));
            if self.occurs_with_probability(arguments.number("cancelled", 0.0)) {
                let cancel_at = at + 500 + self.random_below(arguments.span_ms("run", 20.0));
                let intent = Intent::Cancel;
                self.schedule_at(cancel_at, Event::UserRequest { job, intent });
            }
        }
    }

    /// Handles `pipelines`: submits pipelines at a steady rate. In some pipelines a random job is
    /// cancelled; in some, the last job is submitted only when the others have ended.
    pub(super) fn start_pipelines(&mut self, arguments: &Arguments) {
        let rate = arguments.number("rate", 0.5);
        let pipelines = SteadyRate::new(self.now, rate, self.command_duration_ms(arguments));
        for nth in 0..pipelines.count {
            let at = pipelines.due_at(nth);
            let stages = pipeline(arguments.word(0), nth);
            let is_late = self.occurs_with_probability(arguments.number("late", 0.0));
            for (index, stage) in stages.iter().enumerate() {
                let is_last = index + 1 == stages.len();
                let line = stage.submission(arguments, is_late && is_last);
                self.schedule_at(at, Event::Line(line));
            }
            if self.occurs_with_probability(arguments.number("cancelled", 0.0)) {
                let stage = &stages[self.random_below(stages.len() as u64) as usize];
                let run_s = arguments.number("run", 20.0);
                let cancel_at = at + 500 + self.random_below(milliseconds(4.0 * run_s));
                let job = JobId::from(stage.name.as_str());
                let intent = Intent::Cancel;
                self.schedule_at(cancel_at, Event::UserRequest { job, intent });
            }
        }
    }

    /// Handles `poll-storm`: sends `rate` status queries per second about random jobs, with `open`
    /// only about jobs that are accepted and not over when the storm begins.
    pub(super) fn start_status_query_storm(&mut self, arguments: &Arguments) {
        let rate = arguments.number("rate", 50.0);
        let queries = SteadyRate::new(self.now, rate, self.command_duration_ms(arguments));
        let only_open = arguments.contains("open");
        let jobs = self.checker.jobs.iter();
        let jobs = jobs.filter(|(_, job)| !only_open || job.is_open());
        let jobs: Vec<JobId> = jobs.map(|(id, _)| id.clone()).collect();
        for nth in 0..queries.count {
            let index = self.random_below(jobs.len() as u64) as usize;
            let job = jobs[index].clone();
            let intent = Intent::Query;
            self.schedule_at(queries.due_at(nth), Event::UserRequest { job, intent });
        }
    }
}
