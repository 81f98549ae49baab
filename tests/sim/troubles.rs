//! Troubles that strike some of what happens while they last, users who look closely, and
//! what a scenario can ask of a world to show that a meeting took place.

use super::users::{Intent, edited};
use super::world::{Args, Ev, Origin, Spec, World, arg, ms, num};
use ciborium::Value;
use salttrestle::controller::events::{Input, Reply, Request};
use salttrestle::controller::store::records::{JobRecord, Key, Record, Resources};
use salttrestle::ids::JobId;
use salttrestle::wire::{StoreRequest, StoreResponse, WorkerHeartbeat};
use salttrestle_fakes::checker::Said;
use std::collections::{BTreeMap, BTreeSet};

/// A share of what it strikes, and until when.
type Trouble = (f64, u64);

#[derive(Default)]
pub struct Troubles {
    /// Transactions get no answer, and are carried out 2 to 12 s later.
    pub late_writes: Trouble,
    /// Transactions are carried out, and their answers lost.
    pub lost_answers: Trouble,
    /// The store answers late.
    pub slow_state: Trouble,
    /// Heartbeats come again, up to well over a lease later.
    pub late_reports: Trouble,
    /// Heartbeats are kept, and given to every controller when the next leader begins.
    pub kept_reports: Trouble,
    /// Jobs are called off at the moment at which their last task ends.
    pub cancel_at_end: Trouble,
    pub cancel_at_once: Trouble,
    /// Users ask everywhere right after each news of a job.
    pub close_looks: u64,
    /// Users send odd requests.
    pub odd: u64,
    kept: Vec<WorkerHeartbeat>,
    odd_count: u32,
}

/// How often meetings took place.
#[derive(Default)]
pub struct Met {
    pub late_writes: usize,
    pub answers_lost: usize,
    pub late_reports: usize,
    pub kept_reports: usize,
    pub looks: usize,
    pub odd: usize,
    pub cancelled_at_end: usize,
    /// Most jobs that an owner counted at once as waiting for others.
    pub waiting_for_others: usize,
    /// Tasks that failed.
    pub failures: usize,
    /// When takeovers were.
    pub takeovers: Vec<u64>,
    /// Cancellations that wait for their answers, and since when.
    pub asked: BTreeMap<u64, u64>,
    /// How long each 503 to a cancellation took.
    pub refusals: Vec<(JobId, u64)>,
}

/// How long a line's trouble lasts; lines that are none last for no time.
pub fn trouble_ms(line: &[String]) -> u64 {
    let rest = [
        "submit",
        "withdraw",
        "poll",
        "again",
        "mangled",
        "probe",
        "stream",
        "capacity",
        "limits-fall",
        "limits",
        "limits-spoilt",
        "limits-gone",
        "pipelines",
    ];
    if rest.contains(&line[0].as_str()) {
        return 0;
    }
    let lasts = num(line, "for", 10.0).max(num(line, "down", 3.0));
    ms(lasts.max(num(line, "hang", 0.0)))
}

impl World {
    /// Whether a trouble strikes just now.
    pub fn strikes(&mut self, trouble: impl Fn(&Troubles) -> Trouble) -> bool {
        let (share, until) = trouble(&self.troubles);
        self.now < until && self.random(1000) < (share * 1000.0) as u64
    }

    pub fn carry_out_late(&mut self, op: &StoreRequest) {
        let now = self.now;
        if let Some(StoreResponse::Committed { .. }) = self.state.execute(now, op) {
            self.met.late_writes += 1;
        }
        self.wake_followers();
    }

    // ---- heartbeats

    /// Copies of a heartbeat, as far as troubles make any.
    pub fn copy_report(&mut self, report: &WorkerHeartbeat) {
        if self.strikes(|t| t.late_reports) {
            let delay = 2000 + self.random(self.lease_ms * 3 / 2);
            let n = self.random(self.nodes.len() as u64) as usize;
            self.met.late_reports += 1;
            self.send_copy(n, delay, report.clone());
        }
        if self.strikes(|t| t.kept_reports) {
            self.troubles.kept.push(report.clone());
        }
    }

    fn send_copy(&mut self, n: usize, delay: u64, report: WorkerHeartbeat) {
        let copy = self.request(Origin::Nobody);
        self.send_later(n, delay, Input::Request(copy, Request::Heartbeat(report)));
    }

    /// Somebody holds a shard under a new number: kept heartbeats come everywhere at once.
    pub fn note_takeover(&mut self) {
        let now = self.now;
        self.met.takeovers.push(now);
        for report in std::mem::take(&mut self.troubles.kept) {
            for n in 0..self.nodes.len() {
                let delay = 1 + self.random(40);
                self.met.kept_reports += 1;
                self.send_copy(n, delay, report.clone());
            }
        }
    }

    // ---- users

    /// Users ask at all nodes within milliseconds after news of a job, and repeat its
    /// submission; some cancel at once.
    pub fn look_closely(&mut self, id: &JobId, said: Said) {
        if self.now >= self.troubles.close_looks {
            return;
        }
        for n in 0..self.nodes.len() {
            for intent in [Intent::Look, Intent::Repeat, Intent::Look] {
                let at = self.now + self.random(8);
                self.met.looks += 1;
                self.at(at, Ev::Asks(id.clone(), intent, n));
            }
        }
        let stays = self.specs[id].task.service;
        if said == Said::Queued && !stays && self.strikes(|t| t.cancel_at_once) {
            self.user(id, Intent::Withdraw);
        }
    }

    /// A job's last task has ended: some are called off at this moment.
    pub fn cancel_at_end(&mut self, id: &JobId) {
        let job = &self.checker.jobs[id];
        let all = job.finished.len() as u32 == job.record.count;
        if all && self.strikes(|t| t.cancel_at_end) {
            self.met.cancelled_at_end += 1;
            self.user(id, Intent::Withdraw);
        }
    }

    /// Calls off jobs that run, within a fifth of a second; some of their machines hang.
    pub fn cancel_now(&mut self, args: Args) {
        let (count, hang_s) = (num(args, "count", 5.0) as usize, num(args, "hang", 0.0));
        let of = arg(args, "of").unwrap_or("");
        let on: BTreeSet<JobId> = self.checker.on.keys().map(|t| t.job.clone()).collect();
        let open = |id: &&JobId| {
            id.as_str().starts_with(of) && self.checker.jobs[*id].cancel_asked.is_none()
        };
        let mut open: Vec<JobId> = on.iter().filter(open).cloned().collect();
        let now = self.now;
        for hung in 0..count.min(open.len()) {
            let pick = self.random(open.len() as u64) as usize;
            let id = open.swap_remove(pick);
            let machines = self.checker.on.iter().find(|(t, _)| t.job == id);
            let machine = machines.map(|(_, places)| places[0].machine.clone());
            if hang_s > 0.0
                && hung < 8
                && let Some(w) = machine.and_then(|m| self.workers.get_mut(&m))
            {
                w.hang(now, now + ms(hang_s));
            }
            let at = now + self.random(200);
            self.at(at, Ev::User(id, Intent::Withdraw));
        }
    }

    /// Jobs at a steady rate; some are cancelled while they run.
    pub fn stream(&mut self, args: Args, for_ms: u64) {
        let count = (num(args, "rate", 4.0) * for_ms as f64 / 1000.0) as u64;
        for n in 0..count {
            let at = self.now + n * for_ms / count;
            let mut line = vec![String::from("submit"), format!("{}-{n}", args[0])];
            line.extend_from_slice(&args[1..]);
            self.at(at, Ev::Line(line));
            if self.random(1000) < (num(args, "cancelled", 0.0) * 1000.0) as u64 {
                let id = JobId::from(format!("{}-{n}", args[0]).as_str());
                let later = at + 500 + self.random(ms(num(args, "run", 20.0)));
                self.at(later, Ev::User(id, Intent::Withdraw));
            }
        }
    }

    /// Pipelines at a steady rate: one job, two that need it, and an urgent one that needs these.
    /// Of some, a job is cancelled; of some, the last job comes when the others are over.
    pub fn pipelines(&mut self, args: Args, for_ms: u64) {
        let name = &args[0];
        let count = (num(args, "rate", 0.5) * for_ms as f64 / 1000.0) as u64;
        let share = |key: &str| (num(args, key, 0.0) * 1000.0) as u64;
        let (cancelled, late) = (share("cancelled"), share("late"));
        for n in 0..count {
            let at = self.now + n * for_ms / count;
            let id = |stage: &str| format!("{name}{stage}-{n}");
            let (first, left, right, last) = (id("a"), id("b"), id("c"), id("d"));
            let comes_late = self.random(1000) < late;
            let stages = [
                (&first, "rank=idle", String::new()),
                (&left, "rank=idle", format!("needs={first}")),
                (&right, "rank=normal", format!("needs={first}")),
                (&last, "rank=urgent", format!("needs={left},{right}")),
            ];
            for (id, priority_class, needs) in stages {
                let mut line = vec![String::from("submit"), id.clone()];
                line.extend_from_slice(&args[1..]);
                line.extend([String::from(priority_class), needs]);
                if comes_late && *id == last {
                    line.push(String::from("late"));
                }
                self.at(at, Ev::Line(line));
            }
            if self.random(1000) < cancelled {
                let of = [&first, &left, &right, &last][self.random(4) as usize];
                let later = at + 500 + self.random(ms(4.0 * num(args, "run", 20.0)));
                self.at(later, Ev::User(JobId::from(of.as_str()), Intent::Withdraw));
            }
        }
    }

    /// Users ask about jobs of theirs so many times a second.
    pub fn poll_storm(&mut self, rate: f64, for_ms: u64) {
        let count = (rate * for_ms as f64 / 1000.0) as u64;
        let ids: Vec<JobId> = self.checker.jobs.keys().cloned().collect();
        for n in 0..count {
            let pick = self.random(ids.len() as u64) as usize;
            let at = self.now + n * for_ms / count;
            self.at(at, Ev::User(ids[pick].clone(), Intent::Look));
        }
    }

    /// A repeat of an unfinished job's submission, as it was or with a field missing, a
    /// cancellation of a done job, a job that fits no machine, one that lacks a field.
    pub fn odd_request(&mut self) {
        if self.now >= self.troubles.odd {
            return;
        }
        self.after(300, Ev::Odd);
        self.met.odd += 1;
        let jobs = self.checker.jobs.iter();
        let told = jobs.filter(|(_, j)| j.told.accepted && j.told.withdrawn_at.is_none());
        let (done, open): (Vec<_>, Vec<_>) = told.partition(|(_, j)| j.told.done);
        let names = |list: Vec<(&JobId, _)>| -> Vec<JobId> {
            list.into_iter().map(|(id, _)| id.clone()).collect()
        };
        let (done, open) = (names(done), names(open));
        let (list, intent) = match self.random(5) {
            0 => (open, Intent::Repeat),
            1 => (open, Intent::Mangled),
            2 => (done, Intent::Withdraw),
            kind => return self.odd_job(kind == 3),
        };
        if !list.is_empty() {
            let pick = self.random(list.len() as u64) as usize;
            self.user(&list[pick], intent);
        }
    }

    fn odd_job(&mut self, unfit: bool) {
        self.troubles.odd_count += 1;
        let id = JobId::from(format!("odd-{}", self.troubles.odd_count).as_str());
        let Some((of, spec)) = self.specs.iter().min_by(|a, b| a.0.cmp(b.0)) else {
            return;
        };
        let body = renamed(&spec.body, &id, unfit);
        log::debug!("{id} after {of}");
        let spec = Spec {
            body,
            ..spec.clone()
        };
        self.add_spec(&id, spec);
        self.checker.set_unfit(&id);
        self.user(&id, Intent::Submit);
    }

    pub fn note_refusal(
        &mut self,
        request_id: u64,
        id: &JobId,
        intent: Intent,
        reply: Option<&Reply>,
    ) {
        let asked = self.met.asked.remove(&request_id);
        let refused = reply.is_some_and(|r| r.status == 503);
        if let (Intent::Withdraw, true, Some(at)) = (intent, refused, asked) {
            self.met.refusals.push((id.clone(), self.now - at));
        }
    }

    /// Whether a cancellation was answered 503, each time within so many seconds.
    pub fn refused_within(&self, id: &JobId, seconds: f64) -> bool {
        let refusals = self.met.refusals.iter().filter(|(of, _)| of == id);
        let waits: Vec<u64> = refusals.map(|(_, wait)| *wait).collect();
        !waits.is_empty() && waits.iter().all(|wait| *wait <= ms(seconds))
    }

    // ---- the checker's view of time

    pub fn check_answers(&mut self) {
        let (now, calm) = (self.now, self.calm_at);
        self.checker.check_answers(now, calm, &self.answered);
    }

    /// Jobs of which no task runs though a machine that fits has room for one.
    pub fn check_waiting(&mut self) {
        if self.now < self.calm_at {
            return;
        }
        let jobs = self.checker.jobs.iter().filter(|(id, j)| {
            let over = j.told.done || self.checker.cancel_asked_above(id).is_some();
            let held = self.checker.open_need(&j.record).is_some();
            let runs = self.checker.on.keys().any(|t| t.job == **id);
            let left = (j.finished.len() as u32) < j.record.count;
            j.told.accepted
                && !over
                && !held
                && !runs
                && left
                && self.checker.below_limit(&j.record)
        });
        let roomy = jobs.filter(|(id, j)| !self.specs[*id].task.broken && self.has_room(&j.record));
        let roomy = roomy.map(|(id, _)| id.clone()).collect();
        let now = self.now;
        self.checker.check_waiting(now, &roomy);
    }

    fn has_room(&self, record: &JobRecord) -> bool {
        self.workers.iter().any(|(_, w)| {
            let well = !w.sick && w.taken_at.is_none() && w.hung_until <= self.now;
            let kind = record.spot || !w.spot;
            let zone = record.zone.as_ref().is_none_or(|z| *z == w.zone);
            let class = self.cloud.catalog.iter().find(|c| c.name == w.class);
            let mut used = Resources::default();
            for task in w.tasks.keys() {
                if let Some(j) = self.checker.jobs.get(&task.job) {
                    used.add(j.record.need, 1.0);
                }
            }
            used.add(record.need, 1.0);
            let fits = class.is_some_and(|c| record.allows(&c.name) && c.resources.holds(used));
            well && kind && zone && fits
        })
    }

    // ---- what took place

    /// Jobs of which a record is cut into parts.
    fn jobs_in_parts(&self) -> usize {
        let changes = self.state.store.history.iter();
        let parts = changes.filter_map(|change| match (Key::parse(&change.path)?, &change.value) {
            (Key::Run(id, _), Some(Record::Run(run))) if run.part.is_some() => Some(id),
            _ => None,
        });
        parts.collect::<BTreeSet<JobId>>().len()
    }

    /// How often something took place, between two moments if they are given.
    pub fn count_met(&self, what: &str, args: Args) -> Option<usize> {
        let (from, to) = (ms(num(args, "from", 0.0)), ms(num(args, "to", 1e6)));
        let within = |at: &u64| (from..=to).contains(at);
        let jobs = self.checker.jobs.values();
        let named = |j: &&salttrestle_fakes::checker::JobView| {
            arg(args, "class").is_none_or(|class| j.record.class == class)
        };
        let jobs = jobs.filter(named);
        Some(match what {
            "late-writes" => self.met.late_writes,
            "lost-answers" => self.met.answers_lost,
            "late-reports" => self.met.late_reports,
            "kept-reports" => self.met.kept_reports,
            "looks" => self.met.looks,
            "odd" => self.met.odd,
            "waiting-for-others" => self.met.waiting_for_others,
            "rejected" => self.state.rejected,
            "in-parts" => self.jobs_in_parts(),
            "in-force" => {
                let took = self.limit_changes.took.iter();
                took.filter(|took| **took <= ms(num(args, "in", 5.0)))
                    .count()
            }
            "cancelled-at-end" => self.met.cancelled_at_end,
            "takeovers" => self.met.takeovers.iter().filter(|at| within(at)).count(),
            // Leaders whose record stood as the next one replaced it.
            "replaced" => self.state.orders.duties.replaced,
            "cancels" => jobs.filter_map(|j| j.cancel_asked).filter(within).count(),
            "confirmed" => jobs
                .filter_map(|j| j.told.withdrawn_at)
                .filter(within)
                .count(),
            // Cancellations confirmed so soon after they were first asked for.
            "prompt" => jobs
                .filter_map(|j| Some((j.cancel_asked?, j.told.withdrawn_at?)))
                .filter(|(asked, told)| within(asked) && told - asked <= ms(num(args, "in", 3.0)))
                .count(),
            // Jobs that were cancelled with one that they need, after which they were told so.
            "cascaded" => self.checker.cascaded().filter(within).count(),
            // Jobs that waited for others, and started so soon after the last one was done.
            "released" => self
                .checker
                .released()
                .filter(|(at, took)| within(at) && *took <= ms(num(args, "in", 1e6)))
                .count(),
            "ended" => jobs.filter_map(|j| j.done_told_at).filter(within).count(),
            // Jobs of which a task was on a machine so soon after their submission.
            "begun" => jobs
                .filter_map(|j| Some((j.submitted_at, j.first_start?)))
                .filter(|(asked, began)| began - asked <= ms(num(args, "in", 1e6)))
                .count(),
            "accepted" => jobs
                .filter_map(|j| Some((j.submitted_at, j.accepted_at?)))
                .filter(|(asked, told)| told - asked <= ms(num(args, "in", 1e6)))
                .count(),
            _ => return None,
        })
    }
}

/// A submission under another name that can't run, or that lacks a field.
fn renamed(body: &[u8], id: &JobId, unfit: bool) -> Vec<u8> {
    edited(body, |map| {
        map.insert("id".into(), Value::Text(id.to_string()));
        if unfit {
            map.insert("memGb".into(), Value::Float(1e6));
        } else {
            map.remove("rank");
        }
    })
}
