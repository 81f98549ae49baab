//! Jobs and questions at a steady rate.

use super::event::Event;
use super::scenario::{Arguments, Line, milliseconds};
use super::users::Intent;
use super::world::World;
use salttrestle::ids::JobId;

/// The moments of a steady rate.
struct SteadyRate {
    begins: u64,
    lasts_ms: u64,
    count: u64,
}

impl SteadyRate {
    fn new(begins: u64, per_second: f64, lasts_ms: u64) -> Self {
        let count = (per_second * lasts_ms as f64 / 1000.0) as u64;
        Self {
            begins,
            lasts_ms,
            count,
        }
    }

    /// When the nth is due.
    fn at(&self, nth: u64) -> u64 {
        self.begins + nth * self.lasts_ms / self.count
    }
}

/// One job of a pipeline.
struct Stage {
    name: String,
    priority_class: &'static str,
    dependencies: Vec<String>,
}

impl Stage {
    /// The line that submits it.
    fn submission(&self, arguments: &Arguments, late: bool) -> Line {
        let mut words = vec![self.name.clone()];
        words.extend_from_slice(&arguments.words()[1..]);
        words.push(format!("rank={}", self.priority_class));
        if !self.dependencies.is_empty() {
            words.push(format!("needs={}", self.dependencies.join(",")));
        }
        if late {
            words.push(String::from("late"));
        }
        Line::new("submit", words)
    }
}

/// One job, two that depend on it, and an urgent one that depends on these.
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
    /// Jobs at a steady rate; some are cancelled while they run.
    pub(super) fn stream(&mut self, arguments: &Arguments) {
        let rate = arguments.number("rate", 4.0);
        let jobs = SteadyRate::new(self.now, rate, self.span_ms(arguments));
        for nth in 0..jobs.count {
            let at = jobs.at(nth);
            let name = format!("{}-{nth}", arguments.word(0));
            let job = JobId::from(name.as_str());
            let mut words = vec![name];
            words.extend_from_slice(&arguments.words()[1..]);
            self.at(at, Event::Line(Line::new("submit", words)));
            if self.happens(arguments.number("cancelled", 0.0)) {
                let later = at + 500 + self.random(arguments.span_ms("run", 20.0));
                let intent = Intent::Cancel;
                self.at(later, Event::UserRequest { job, intent });
            }
        }
    }

    /// Pipelines at a steady rate. Of some, a job is cancelled; of some, the last job is submitted
    /// when the others are over.
    pub(super) fn pipelines(&mut self, arguments: &Arguments) {
        let rate = arguments.number("rate", 0.5);
        let pipelines = SteadyRate::new(self.now, rate, self.span_ms(arguments));
        for nth in 0..pipelines.count {
            let at = pipelines.at(nth);
            let stages = pipeline(arguments.word(0), nth);
            let late = self.happens(arguments.number("late", 0.0));
            for (index, stage) in stages.iter().enumerate() {
                let last = index + 1 == stages.len();
                let line = stage.submission(arguments, late && last);
                self.at(at, Event::Line(line));
            }
            if self.happens(arguments.number("cancelled", 0.0)) {
                let stage = &stages[self.random(stages.len() as u64) as usize];
                let run_s = arguments.number("run", 20.0);
                let later = at + 500 + self.random(milliseconds(4.0 * run_s));
                let job = JobId::from(stage.name.as_str());
                let intent = Intent::Cancel;
                self.at(later, Event::UserRequest { job, intent });
            }
        }
    }

    /// Users ask about jobs of theirs so many times a second.
    pub(super) fn status_query_storm(&mut self, arguments: &Arguments) {
        let rate = arguments.number("rate", 50.0);
        let queries = SteadyRate::new(self.now, rate, self.span_ms(arguments));
        let jobs: Vec<JobId> = self.checker.jobs.keys().cloned().collect();
        for nth in 0..queries.count {
            let pick = self.random(jobs.len() as u64) as usize;
            let job = jobs[pick].clone();
            let intent = Intent::Query;
            self.at(queries.at(nth), Event::UserRequest { job, intent });
        }
    }
}
