//! The rules, seen from outside: by what users are told and what machines run.

use salttrestle::controller::store::records::{JobKind, JobRecord, Resources};
use salttrestle::ids::{JobId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Where a task runs.
#[derive(Clone, Debug)]
pub struct Place {
    /// The machine's name.
    pub machine: String,
    /// The machine's type.
    pub class: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// What a job's user has been told.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// That it is accepted.
    pub accepted: bool,
    /// That it is done.
    pub done: bool,
    /// When it was told to be cancelled.
    pub withdrawn_at: Option<u64>,
}

/// A job as it looks from outside.
pub struct JobView {
    /// What was submitted.
    pub record: JobRecord,
    /// What its user has been told.
    pub told: Told,
    /// When its user first asked to cancel it.
    pub cancel_asked: Option<u64>,
    /// It can't run, and mustn't be accepted.
    pub unfit: bool,
    /// Its tasks that ever started.
    pub started: BTreeSet<u32>,
    /// Its tasks that have finished.
    pub finished: BTreeSet<u32>,
    /// When the last of its tasks was.
    pub finished_at: Option<u64>,
    /// When it was first submitted.
    pub submitted_at: u64,
    /// When its user was told that it is accepted.
    pub accepted_at: Option<u64>,
    /// When the first of its tasks started.
    pub first_start: Option<u64>,
    /// When its user was told that it is done.
    pub done_told_at: Option<u64>,
}

impl JobView {
    /// Whether all of its tasks have finished.
    pub fn finished(&self) -> bool {
        self.finished.len() as u32 == self.record.count
    }
}

/// What a user is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It waits.
    Queued,
    /// A task of it runs.
    Running,
    /// All its tasks are done.
    Done,
    /// It is cancelled.
    Cancelled,
    /// 404.
    Unknown,
    /// 400 or 422.
    Refused,
}

/// Judges each rule by what users are told and what machines run. Times are in milliseconds.
#[derive(Default)]
pub struct Checker {
    /// How long after its cancellation was told a job's tasks may still be there.
    pub cancel_ms: u64,
    /// Team: most CPUs and GPUs, 0 for no limit.
    pub limits: BTreeMap<String, (f64, f64)>,
    /// Every job that was submitted.
    pub jobs: BTreeMap<JobId, JobView>,
    /// Where tasks are.
    pub on: BTreeMap<TaskId, Vec<Place>>,
    /// What each team's tasks use.
    used: BTreeMap<String, Resources>,
    /// Jobs told to be cancelled of which tasks are on machines.
    cancelled: BTreeSet<JobId>,
    /// What was broken, with when and which rule.
    pub broken: Vec<String>,
    /// Tasks started in all.
    pub starts: u64,
    /// Jobs left waiting though there is room, and since when.
    pub waiting: BTreeMap<JobId, u64>,
}

impl Checker {
    /// A checker of a service whose cancelled tasks must be gone in so many milliseconds, with
    /// what each team may use at most.
    pub fn new(cancel_ms: u64, limits: BTreeMap<String, (f64, f64)>) -> Self {
        Self {
            cancel_ms,
            limits,
            ..Self::default()
        }
    }

    fn fault(&mut self, now: u64, rule: &str, what: String) {
        self.broken
            .push(format!("{:.3} {rule}: {what}", now as f64 / 1e3));
    }

    /// A job was submitted for the first time.
    pub fn submitted(&mut self, now: u64, id: &JobId, record: JobRecord) {
        self.jobs.entry(id.clone()).or_insert(JobView {
            record,
            told: Told::default(),
            cancel_asked: None,
            unfit: false,
            started: BTreeSet::new(),
            finished: BTreeSet::new(),
            finished_at: None,
            submitted_at: now,
            accepted_at: None,
            first_start: None,
            done_told_at: None,
        });
    }

    /// A submitted job can't run, and mustn't be accepted.
    pub fn set_unfit(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.unfit = true;
        }
    }

    /// A user asked to cancel a job.
    pub fn cancel_asked(&mut self, now: u64, id: &JobId) {
        if let Some(j) = self.jobs.get_mut(id) {
            j.cancel_asked.get_or_insert(now);
        }
    }

    /// A user got an answer about a job. True if it says more than any before it: that
    /// the job is accepted, or over.
    pub fn said(&mut self, now: u64, id: &JobId, said: Said) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            if said != Said::Unknown && said != Said::Refused {
                self.fault(now, "invented", format!("{id} is {said:?}"));
            }
            return false;
        };
        let before = job.told.clone();
        if !matches!(said, Said::Unknown | Said::Refused) {
            job.accepted_at.get_or_insert(now);
        }
        let all = job.finished();
        let unfit = job.unfit;
        match said {
            Said::Unknown | Said::Refused => {}
            Said::Done => {
                job.told.done = true;
                job.told.accepted = true;
                job.done_told_at.get_or_insert(now);
            }
            Said::Cancelled => {
                job.told.withdrawn_at.get_or_insert(now);
                job.told.accepted = true;
            }
            Said::Queued | Said::Running => job.told.accepted = true,
        }
        if said == Said::Cancelled && self.runs(id) {
            self.cancelled.insert(id.clone());
        }
        let asked = self.cancel_asked_above(id).is_some();
        let told = self.cancel_told_above(id);
        match said {
            Said::Queued | Said::Running if told.is_some_and(|at| now > at + self.cancel_ms) => {
                let what = format!("{id} is {said:?} after one that it needs was cancelled");
                self.fault(now, "orphaned", what);
            }
            Said::Unknown | Said::Refused if before.accepted => {
                self.fault(now, "forgotten", format!("{id} is {said:?}"));
            }
            // More than the rule asks for, and what its proof rests on here.
            Said::Cancelled if before.withdrawn_at.is_none() && self.runs(id) => {
                self.fault(now, "told_early", format!("{id} still runs"));
            }
            Said::Done if !all => self.fault(now, "not_done", format!("{id} is called done")),
            Said::Cancelled if !asked => {
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
            || (before.withdrawn_at.is_some() && said == Said::Cancelled);
        if over && !same {
            self.fault(now, "went_back", format!("{id} was over and is {said:?}"));
        }
        let accepted = !matches!(said, Said::Unknown | Said::Refused);
        if unfit && accepted {
            self.fault(
                now,
                "odd_accepted",
                format!("{id} can't run and is {said:?}"),
            );
        }
        let ends = matches!(said, Said::Done | Said::Cancelled);
        accepted && !before.accepted || ends && !over
    }

    /// A job, and all that it needs, directly or through others.
    fn above(&self, id: &JobId) -> BTreeSet<JobId> {
        let (mut left, mut all) = (vec![id.clone()], BTreeSet::new());
        while let Some(id) = left.pop() {
            if let Some(job) = self.jobs.get(&id)
                && all.insert(id)
            {
                left.extend(job.record.needs.iter().cloned());
            }
        }
        all
    }

    /// When a user first asked to cancel a job or one that it needs.
    pub fn cancel_asked_above(&self, id: &JobId) -> Option<u64> {
        let above = self.above(id);
        above
            .iter()
            .filter_map(|id| self.jobs[id].cancel_asked)
            .min()
    }

    /// When a user was first told that a job which this one needs is cancelled, or when this one
    /// was accepted after that.
    fn cancel_told_above(&self, id: &JobId) -> Option<u64> {
        let mut above = self.above(id);
        above.remove(id);
        let told = above
            .iter()
            .filter_map(|id| self.jobs[id].told.withdrawn_at);
        let first = told.min()?;
        Some(first.max(self.jobs[id].accepted_at.unwrap_or(first)))
    }

    /// A job that this one needs and that isn't done, if there is one.
    pub fn open_need(&self, record: &JobRecord) -> Option<JobId> {
        let done = |id: &&JobId| self.jobs.get(id).is_some_and(JobView::finished);
        record.needs.iter().find(|id| !done(id)).cloned()
    }

    /// When jobs were told to be cancelled whose own cancellation nobody asked for.
    pub fn cascaded(&self) -> impl Iterator<Item = u64> {
        let jobs = self.jobs.values().filter(|j| j.cancel_asked.is_none());
        jobs.filter_map(|j| j.told.withdrawn_at)
    }

    /// When the last need of each job was done, and how long it took then until a task started.
    pub fn released(&self) -> impl Iterator<Item = (u64, u64)> {
        self.jobs.values().filter_map(|j| {
            let needs = j
                .record
                .needs
                .iter()
                .map(|id| self.jobs.get(id)?.finished_at);
            let last = needs.collect::<Option<Vec<u64>>>()?.into_iter().max()?;
            Some((last, j.first_start?.saturating_sub(last)))
        })
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
        let needs = self.jobs.get(&task.job).map(|j| self.open_need(&j.record));
        if let Some(need) = needs.flatten() {
            self.fault(
                now,
                "too_early",
                format!("{task} starts before {need} is done"),
            );
        }
        self.on.entry(task.clone()).or_default().push(place);
        let job = self.jobs.get_mut(&task.job);
        let confirmed = job.is_some_and(|job| {
            let used = self.used.entry(job.record.team.clone()).or_default();
            used.add(job.record.need, 1.0);
            job.first_start.get_or_insert(now);
            job.started.insert(task.index);
            job.told.withdrawn_at.is_some()
        });
        if confirmed {
            self.cancelled.insert(task.job.clone());
            self.fault(now, "started_cancelled", format!("{task} starts"));
        }
        self.check_quota(now, task);
        self.check_cancelled(now);
    }

    /// A task is no longer on a machine.
    pub fn stops(&mut self, task: &TaskId, machine: &str) {
        let Some(list) = self.on.get_mut(task) else {
            return;
        };
        let before = list.len();
        list.retain(|p| p.machine != machine);
        let (gone, empty) = (before - list.len(), list.is_empty());
        if empty {
            self.on.remove(task);
        }
        if let Some(job) = self.jobs.get(&task.job) {
            let used = self.used.entry(job.record.team.clone()).or_default();
            used.add(job.record.need, -(gone as f64));
        }
        if empty && !self.runs(&task.job) {
            self.cancelled.remove(&task.job);
        }
    }

    /// A task has completed.
    pub fn finishes(&mut self, now: u64, task: &TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.finished.insert(task.index);
            if job.finished() {
                job.finished_at.get_or_insert(now);
            }
        }
    }

    fn check_place(&mut self, now: u64, task: &TaskId, place: &Place) {
        let Some(job) = self.jobs.get(&task.job) else {
            return self.fault(now, "invented", format!("{task} was never submitted"));
        };
        let record = &job.record;
        let others: Vec<&Place> = self
            .on
            .range(first(&task.job)..)
            .take_while(|(t, _)| t.job == task.job)
            .flat_map(|(_, places)| places)
            .collect();
        let in_zone = others.iter().filter(|p| p.zone == place.zone).count() as u32;
        let mut wrong = Vec::new();
        if record
            .types
            .as_ref()
            .is_some_and(|t| !t.contains(&place.class))
        {
            wrong.push("type");
        }
        if record.zone.as_ref().is_some_and(|z| *z != place.zone) {
            wrong.push("zone");
        }
        if place.spot && !record.spot {
            wrong.push("spot");
        }
        if record.zone_affinity && in_zone as usize != others.len() {
            wrong.push("samePlace");
        }
        if record.zone_spread && in_zone + 1 > record.count.div_ceil(2) {
            wrong.push("scatter");
        }
        if !wrong.is_empty() {
            let what = format!("{task} on {}: {}", place.machine, wrong.join(", "));
            self.fault(now, "wrong_place", what);
        }
    }

    /// Whether the team of a task that has just started uses more than its limit.
    fn check_quota(&mut self, now: u64, task: &TaskId) {
        let team = self.jobs.get(&task.job).map(|j| j.record.team.clone());
        if let Some(team) = team {
            self.check_team(now, &team);
        }
    }

    fn check_team(&mut self, now: u64, team: &str) {
        let used = self.used.get(team).copied().unwrap_or_default();
        let most = self.limits.get(team).copied().unwrap_or_default();
        let over = |used: f64, most: f64| most > 0.0 && used > most + SLACK;
        if over(used.cpus, most.0) || over(used.gpus, most.1) {
            let what = format!("{team} uses {} CPUs, {} GPUs", used.cpus, used.gpus);
            self.fault(now, "quota", what);
        }
    }

    /// A team's limit in force is another from now on: what its tasks use must be within it.
    pub fn set_limit(&mut self, now: u64, team: &str, limit: (f64, f64)) {
        if self.limits.insert(team.into(), limit) != Some(limit) {
            self.check_team(now, team);
        }
    }

    /// Tasks of cancelled jobs that are still somewhere after the bound.
    pub fn check_cancelled(&mut self, now: u64) {
        let late = self.cancelled.iter().find(|id| {
            let told = self.jobs.get(*id).and_then(|j| j.told.withdrawn_at);
            told.is_some_and(|at| now > at + self.cancel_ms)
        });
        if let Some(id) = late {
            let what = format!("tasks of {id} are still there");
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
                let runs = j.record.kind == JobKind::Service && j.first_start.is_some();
                j.told.accepted && !ends && !runs
            })
            .map(|(id, _)| id.to_string())
            .collect();
        if !lost.is_empty() {
            self.fault(now, "unfinished", lost.join(", "));
        }
        self.check_served(now);
    }

    /// Less than half of a class, of a team, or of a class's largest jobs served.
    fn check_served(&mut self, now: u64) {
        let mut groups: BTreeMap<String, Vec<&JobView>> = BTreeMap::new();
        let wanted =
            |(id, j): &(&JobId, &JobView)| j.told.accepted && self.cancel_asked_above(id).is_none();
        for (_, j) in self.jobs.iter().filter(wanted) {
            for name in [
                format!("class {}", j.record.class),
                format!("team {}", j.record.team),
            ] {
                groups.entry(name).or_default().push(j);
            }
        }
        let served = |j: &&&JobView| j.told.done || j.started.len() as u32 == j.record.count;
        let starved = |jobs: &[&JobView]| 2 * jobs.iter().filter(served).count() < jobs.len();
        let mut poor = Vec::new();
        for (name, jobs) in &mut groups {
            if starved(jobs) {
                poor.push(name.clone());
            }
            jobs.sort_by_key(|j| std::cmp::Reverse(j.record.count));
            let most = jobs.first().map_or(0, |j| j.record.count);
            let largest = jobs.partition_point(|j| j.record.count == most);
            if most > 1 && starved(&jobs[..largest]) {
                poor.push(format!("largest of {name}"));
            }
        }
        if !poor.is_empty() {
            self.fault(now, "starved", poor.join(", "));
        }
    }

    /// A job of which no question has been answered for so long is forgotten.
    pub fn check_answers(&mut self, now: u64, calm_at: u64, answered: &BTreeMap<JobId, u64>) {
        let open = |j: &JobView| j.told.accepted && !j.told.done && j.told.withdrawn_at.is_none();
        let silent = self.jobs.iter().filter(|(id, j)| {
            let last = answered.get(id).copied().unwrap_or(0);
            open(j) && now > last.max(calm_at) + UNANSWERED_MS
        });
        let silent: Vec<String> = silent.map(|(id, _)| id.to_string()).collect();
        if !silent.is_empty() {
            self.fault(now, "unanswered", silent.join(", "));
        }
    }

    /// Jobs of which no task runs though a machine has room for one, `roomy` by job.
    pub fn check_waiting(&mut self, now: u64, roomy: &BTreeSet<JobId>) {
        self.waiting.retain(|id, _| roomy.contains(id));
        let mut left = Vec::new();
        for id in roomy {
            let since = *self.waiting.entry(id.clone()).or_insert(now);
            if now > since + WAITING_MS {
                left.push(id.to_string());
            }
        }
        if !left.is_empty() {
            self.fault(now, "left_waiting", left.join(", "));
        }
    }

    /// Whether one more task of a job stays within its team's limit.
    pub fn below_limit(&self, record: &JobRecord) -> bool {
        let used = self.used.get(&record.team).copied().unwrap_or_default();
        let most = self.limits.get(&record.team).copied().unwrap_or_default();
        let fits = |used: f64, need: f64, most: f64| most <= 0.0 || used + need <= most + SLACK;
        fits(used.cpus, record.need.cpus, most.0) && fits(used.gpus, record.need.gpus, most.1)
    }
}

/// Room for rounding when amounts are added and taken away many times.
const SLACK: f64 = 1e-6;
/// After the troubles, a job about which no question is answered for so long is forgotten.
const UNANSWERED_MS: u64 = 75_000;
/// After the troubles, no job waits for longer while a machine that fits has room.
const WAITING_MS: u64 = 90_000;

fn first(job: &JobId) -> TaskId {
    TaskId {
        job: job.clone(),
        index: 0,
    }
}
