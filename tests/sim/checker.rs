//! The rules, seen from outside: by what users are told and what machines run.

use salttrestle::core::records::{Form, JobRec};
use salttrestle::ids::{JobId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub struct Place {
    pub machine: String,
    pub class: String,
    pub zone: String,
    pub spot: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Told {
    pub accepted: bool,
    pub done: bool,
    pub withdrawn_at: Option<u64>,
}

pub struct JobView {
    pub rec: JobRec,
    pub told: Told,
    /// Its user asked to cancel it.
    pub cancel_asked: bool,
    pub finished: BTreeSet<u32>,
    pub submitted_at: u64,
    pub first_start: Option<u64>,
    pub done_told_at: Option<u64>,
}

/// What a user is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    Queued,
    Running,
    Done,
    Withdrawn,
    Unknown,
    Refused,
}

#[derive(Default)]
pub struct Checker {
    pub cancel_ms: u64,
    /// Team: most CPUs and GPUs, 0 for no limit.
    pub limits: BTreeMap<String, (f64, f64)>,
    pub jobs: BTreeMap<JobId, JobView>,
    pub on: BTreeMap<TaskId, Vec<Place>>,
    pub broken: Vec<String>,
    pub starts: u64,
}

impl Checker {
    fn fault(&mut self, now: u64, rule: &str, what: String) {
        self.broken
            .push(format!("{:.3} {rule}: {what}", now as f64 / 1e3));
    }

    pub fn submitted(&mut self, now: u64, id: &JobId, rec: JobRec) {
        self.jobs.entry(id.clone()).or_insert(JobView {
            rec,
            told: Told::default(),
            cancel_asked: false,
            finished: BTreeSet::new(),
            submitted_at: now,
            first_start: None,
            done_told_at: None,
        });
    }

    pub fn cancel_asked(&mut self, id: &JobId) {
        if let Some(j) = self.jobs.get_mut(id) {
            j.cancel_asked = true;
        }
    }

    /// A user got an answer about a job.
    pub fn said(&mut self, now: u64, id: &JobId, said: Said) {
        let Some(job) = self.jobs.get_mut(id) else {
            if said != Said::Unknown && said != Said::Refused {
                self.fault(now, "invented", format!("{id} is {said:?}"));
            }
            return;
        };
        let before = job.told.clone();
        let all = job.finished.len() as u32 == job.rec.count;
        let asked = job.cancel_asked;
        match said {
            Said::Unknown | Said::Refused => {}
            Said::Done => {
                job.told.done = true;
                job.told.accepted = true;
                job.done_told_at.get_or_insert(now);
            }
            Said::Withdrawn => {
                job.told.withdrawn_at.get_or_insert(now);
                job.told.accepted = true;
            }
            Said::Queued | Said::Running => job.told.accepted = true,
        }
        match said {
            Said::Unknown | Said::Refused if before.accepted => {
                self.fault(now, "forgotten", format!("{id} is {said:?}"));
            }
            // More than the rule asks for, and what its proof rests on here.
            Said::Withdrawn if before.withdrawn_at.is_none() && self.runs(id) => {
                self.fault(now, "told_early", format!("{id} still runs"));
            }
            Said::Done if !all => self.fault(now, "not_done", format!("{id} is called done")),
            Said::Withdrawn if !asked => {
                self.fault(
                    now,
                    "went_back",
                    format!("{id} wasn't cancelled by its user"),
                );
            }
            _ => {}
        }
        let over = before.done || before.withdrawn_at.is_some();
        let same = (before.done && said == Said::Done)
            || (before.withdrawn_at.is_some() && said == Said::Withdrawn);
        if over && !same {
            self.fault(now, "went_back", format!("{id} was over and is {said:?}"));
        }
    }

    fn runs(&self, id: &JobId) -> bool {
        let mut tasks = self.on.range(first(id)..);
        tasks.next().is_some_and(|(t, _)| t.job == *id)
    }

    /// A task is on a machine from now on.
    pub fn starts(&mut self, now: u64, task: &TaskId, place: Place) {
        self.starts += 1;
        if let Some(others) = self.on.get(task).filter(|o| !o.is_empty()) {
            let what = format!("{task} on {} and {}", others[0].machine, place.machine);
            self.fault(now, "ran_twice", what);
        }
        self.check_place(now, task, &place);
        self.on.entry(task.clone()).or_default().push(place);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.first_start.get_or_insert(now);
        }
        self.check_quota(now);
        self.check_cancelled(now);
    }

    pub fn stops(&mut self, task: &TaskId, machine: &str) {
        if let Some(list) = self.on.get_mut(task) {
            list.retain(|p| p.machine != machine);
            if list.is_empty() {
                self.on.remove(task);
            }
        }
    }

    pub fn finishes(&mut self, task: &TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.finished.insert(task.index);
        }
    }

    fn check_place(&mut self, now: u64, task: &TaskId, place: &Place) {
        let Some(job) = self.jobs.get(&task.job) else {
            return self.fault(now, "invented", format!("{task} was never submitted"));
        };
        let rec = &job.rec;
        let others: Vec<&Place> = self
            .on
            .range(first(&task.job)..)
            .take_while(|(t, _)| t.job == task.job)
            .flat_map(|(_, places)| places)
            .collect();
        let in_zone = others.iter().filter(|p| p.zone == place.zone).count() as u32;
        let mut wrong = Vec::new();
        if rec
            .types
            .as_ref()
            .is_some_and(|t| !t.contains(&place.class))
        {
            wrong.push("type");
        }
        if rec.zone.as_ref().is_some_and(|z| *z != place.zone) {
            wrong.push("zone");
        }
        if place.spot && !rec.spot {
            wrong.push("spot");
        }
        if rec.one_zone && in_zone as usize != others.len() {
            wrong.push("samePlace");
        }
        if rec.scatter && in_zone + 1 > rec.count.div_ceil(2) {
            wrong.push("scatter");
        }
        if !wrong.is_empty() {
            let what = format!("{task} on {}: {}", place.machine, wrong.join(", "));
            self.fault(now, "wrong_place", what);
        }
    }

    fn check_quota(&mut self, now: u64) {
        let mut used: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for (task, places) in &self.on {
            if let Some(job) = self.jobs.get(&task.job) {
                let u = used.entry(&job.rec.team).or_default();
                u.0 += job.rec.need.cpus * places.len() as f64;
                u.1 += job.rec.need.gpus * places.len() as f64;
            }
        }
        let over: Vec<String> = used
            .iter()
            .filter(|(team, u)| {
                let most = self.limits.get(**team).copied().unwrap_or_default();
                (most.0 > 0.0 && u.0 > most.0 + 1e-6) || (most.1 > 0.0 && u.1 > most.1 + 1e-6)
            })
            .map(|(team, u)| format!("{team} uses {u:?}"))
            .collect();
        for what in over {
            self.fault(now, "quota", what);
        }
    }

    /// Tasks of cancelled jobs that are still somewhere after the bound.
    pub fn check_cancelled(&mut self, now: u64) {
        let mut late = Vec::new();
        for task in self.on.keys() {
            let told = self.jobs.get(&task.job).and_then(|j| j.told.withdrawn_at);
            if told.is_some_and(|at| now > at + self.cancel_ms) {
                late.push(task.to_string());
            }
        }
        if let Some(task) = late.first() {
            let what = format!("{task} is still there");
            self.fault(now, "ran_cancelled", what);
        }
    }

    /// At the end: jobs that were accepted and neither end nor run.
    pub fn check_end(&mut self, now: u64) {
        if self.starts == 0 && !self.jobs.is_empty() {
            self.fault(now, "nothing_ran", "no task was started".into());
        }
        let lost: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| {
                let ends = j.told.done || j.told.withdrawn_at.is_some();
                let runs = j.rec.form == Form::Service && j.first_start.is_some();
                j.told.accepted && !ends && !runs
            })
            .map(|(id, _)| id.to_string())
            .collect();
        if !lost.is_empty() {
            self.fault(now, "unfinished", lost.join(", "));
        }
    }
}

fn first(job: &JobId) -> TaskId {
    TaskId {
        job: job.clone(),
        index: 0,
    }
}
