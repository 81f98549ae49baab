//! What users ask: submissions, questions, withdrawals, and whether the node is up.
//!
//! `done` and `withdrawn` may be told from memory, for they are committed. Anything
//! else another node may know better, so it needs a read no older than the question.

use super::chunks::chunk_size;
use super::dependencies::Needs;
use super::*;
use log::info;
use std::collections::{BTreeSet, VecDeque};

/// A submission that waits for its commit.
#[derive(Debug)]
pub(crate) struct Submission {
    req: ReqId,
    id: JobId,
    rec: JobRec,
    asked: Time,
}

/// A submission that names jobs which are looked up first: those that were accepted before it
/// came are known once a read that was sent after it has been caught up with, or their ends are
/// read.
#[derive(Debug)]
pub(crate) struct NamingSubmission {
    submission: Submission,
    /// The last call sent before it came.
    after: CallId,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Intent {
    /// The present state.
    Poll,
    /// The present state of a job that seems to have been submitted before; when it
    /// wasn't, the user shall come again.
    Again,
    /// This status, 400 or 422, and its reason, unless the job is known.
    Refuse(u16, String),
    Withdraw,
}

/// A question that waits for a fresh read.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    req: ReqId,
    id: JobId,
    intent: Intent,
    asked: Time,
    /// The last call sent before it was asked. Only the answer to a later one is news of
    /// a moment after it; clocks can't tell, since a millisecond holds both.
    after: CallId,
}

#[derive(Debug, Default)]
pub(crate) struct Front {
    submissions: VecDeque<Submission>,
    questions: VecDeque<Question>,
    /// Questions whose job isn't among the live ones: its end is still to be read.
    unknown: VecDeque<Question>,
    withdrawals: VecDeque<Question>,
    /// Submissions that name jobs of which it isn't known here that they were accepted.
    naming: VecDeque<NamingSubmission>,
    /// Withdrawals that are marked, and told once no task of their job is left; and questions
    /// about jobs that are cancelled with one that they need, until their end is committed.
    leaving: VecDeque<Question>,
    /// The last call sent before the newest request came that isn't a mere question: a
    /// cancellation, or a submission that has to be looked up.
    urgent: Option<CallId>,
    /// Who is to be told that a job is over, and not before when.
    telling: VecDeque<(Time, ReqId, JobId, Ending)>,
}

/// What is told of a job that isn't over may be this old. With that, and since the end of a
/// job isn't told before every older answer has become too old to be given, no node gives an
/// answer that another one's has overtaken, however slowly the state service answers.
const PRESENT_S: f64 = 0.1;
const TELL_AFTER_S: f64 = 1.2 * PRESENT_S;
/// Users wait 2 s for the answer to a question, and 5 s for other ones.
const QUESTION_S: f64 = 1.5;
const SUBMIT_S: f64 = 3.0;
/// Most requests of a kind that wait at once, as a share of the sockets. What comes on top
/// is told when to come back.
const WAITING_SHARE: f64 = 0.8;
/// Most submissions in one transaction.
const SUBMISSIONS_MOST: usize = 8;
/// Submissions that wait are at most what the change budget clears in this time.
const SUBMIT_BACKLOG_S: f64 = 1.5;

impl Front {
    /// Requests that wait to be written.
    pub(crate) fn backlog(&self) -> usize {
        self.submissions.len() + self.withdrawals.len()
    }

    /// When somebody is next to be told that a job is over.
    pub(crate) fn first_telling(&self) -> Option<Time> {
        self.telling.iter().map(|(at, ..)| *at).min()
    }

    /// The last call sent before the newest request that isn't a mere question, if any came.
    pub(crate) fn newest_urgent(&self) -> Option<CallId> {
        self.urgent
    }

    /// The last call sent before the newest question was asked.
    pub(crate) fn newest_question(&self) -> Option<CallId> {
        self.questions.back().map(|q| q.after)
    }
}

impl Core {
    pub(crate) fn on_request(&mut self, req: ReqId, ask: Request) {
        match ask {
            Request::Up => self.on_up(req),
            Request::Report(report) => self.on_report(req, report),
            Request::Submit(Ok((id, rec))) => self.on_submit(req, id, rec),
            Request::Submit(Err(bad)) => self.on_malformed(req, bad),
            Request::Poll(id) => self.on_question(req, id, Intent::Poll),
            Request::Withdraw(id) => self.on_question(req, id, Intent::Withdraw),
        }
    }

    pub(crate) fn on_disconnect(&mut self, req: ReqId) {
        self.forget_report(req);
        for h in self.parked.values_mut() {
            h.forget_request(req);
        }
    }

    /// Unhealthy only while a sibling does better: if nobody sees the state service,
    /// taking all nodes away would only slow the return. Who neither sees it nor hears any
    /// sibling is cut off, and users who reach it were refused for as long as that lasted.
    fn on_up(&mut self, req: ReqId) {
        let alone = self.singled_out() || self.unheard();
        let reply = if self.blind() && (!self.listed || alone) {
            Reply::later(503, 1, "the state service doesn't answer")
        } else {
            Reply::ok(200, Vec::new())
        };
        self.answer(req, reply);
    }

    /// A known job's user is told its state whatever the repeated body is like; being
    /// refused, it would take the job for one that was never accepted.
    fn on_malformed(&mut self, req: ReqId, bad: BadBody) {
        info!("a submission is malformed: {}", bad.why);
        match bad.id {
            Some(id) => self.on_question(req, id, Intent::Refuse(400, bad.why)),
            None => self.answer(req, Reply::ok(400, error_body(&bad.why))),
        }
    }

    fn on_submit(&mut self, req: ReqId, id: JobId, mut rec: JobRec) {
        if self.cache.ending(&id).is_some() || self.cache.jobs.contains_key(&id) {
            return self.on_question(req, id, Intent::Again);
        }
        if self.blind() {
            return self.answer(
                req,
                Reply::later(503, 2, "the state service doesn't answer"),
            );
        }
        if self.catalog.is_empty() {
            return self.answer(req, Reply::later(503, 2, "machine types aren't known yet"));
        }
        if let Some(why) = self.never_runs(&rec) {
            return self.on_question(req, id, Intent::Refuse(422, why));
        }
        rec.chunk = self.chunk_size();
        rec.block = self.block_for(&id);
        if let Some(why) = self.too_large(&rec) {
            return self.on_question(req, id, Intent::Refuse(422, why));
        }
        let wps = self.settings.platform.facts.state.strictest().write_rps;
        let room = (wps * SUBMIT_BACKLOG_S) as usize;
        if self.front.submissions.len() + self.front.naming.len()
            >= room.min(self.waiting_most()).max(8)
        {
            return self.answer(req, Reply::later(429, 2, "too many submissions"));
        }
        let asked = self.now;
        let submission = Submission {
            req,
            id,
            rec,
            asked,
        };
        if submission.rec.needs.is_empty() {
            self.front.submissions.push_back(submission);
        } else {
            self.check_needs(submission);
        }
    }

    /// Takes a submission whose needed jobs are all known to be accepted, and looks the others up.
    fn check_needs(&mut self, submission: Submission) {
        let needs = &submission.rec.needs;
        let mut live = needs.iter().filter_map(|n| self.cache.jobs.get(n));
        let why = if needs.contains(&submission.id) {
            Some("a job can't need itself")
        } else if live.any(|j| j.rec.form == Form::Service) {
            Some("a service is never done, so no job can need one")
        } else {
            None
        };
        if let Some(why) = why {
            let refuse = Intent::Refuse(422, why.into());
            return self.on_question(submission.req, submission.id, refuse);
        }
        if needs.iter().all(|need| self.cache.accepted(need)) {
            return self.front.submissions.push_back(submission);
        }
        let after = self.last_call();
        self.front.urgent = Some(after);
        let naming = NamingSubmission { submission, after };
        self.front.naming.push_back(naming);
    }

    /// Goes on with submissions whose needed jobs are known by now, or of which an end has to be
    /// read.
    fn pump_naming(&mut self) {
        let fresh = self.fresh_call;
        for naming in std::mem::take(&mut self.front.naming) {
            if naming.after >= fresh {
                self.front.naming.push_back(naming);
                continue;
            }
            let needs = &naming.submission.rec.needs;
            let Some(need) = needs
                .iter()
                .find(|need| !self.cache.accepted(need))
                .cloned()
            else {
                self.check_needs(naming.submission);
                continue;
            };
            let op = StateOp::Get(Key::End(need.clone()));
            let purpose = Purpose::ReadNamed(Box::new(naming), need);
            if let Err(Purpose::ReadNamed(naming, _)) =
                self.state_call(op, purpose, Priority::Usual)
            {
                self.front.naming.push_back(*naming);
            }
        }
    }

    /// The end of a job that a submission names was read.
    pub(crate) fn on_named_read(
        &mut self,
        naming: NamingSubmission,
        need: JobId,
        reply: StateReply,
    ) {
        let Submission { req, id, .. } = &naming.submission;
        let (req, id) = (*req, id.clone());
        match reply {
            StateReply::Found {
                record: Record::End(ending),
                ..
            } => {
                self.cache.remember(self.now, need, ending);
                self.front.naming.push_back(naming);
            }
            StateReply::Missing { .. } if self.cache.accepted(&need) => {
                self.front.naming.push_back(naming);
            }
            StateReply::Missing { .. } => {
                let why = format!("{need} was never accepted");
                self.on_question(req, id, Intent::Refuse(422, why));
            }
            _ => self.answer(req, Reply::later(503, 1, "the needed jobs aren't known")),
        }
    }

    fn waiting_most(&self) -> usize {
        let sockets = self.settings.platform.facts.resources.max_sockets;
        (sockets as f64 * WAITING_SHARE) as usize
    }

    /// Tasks per run record of a job that is accepted now.
    fn chunk_size(&self) -> u32 {
        let limits = self.settings.platform.facts.state.strictest();
        chunk_size(limits.value_bytes)
    }

    /// Why a job's record can't be kept, if so.
    fn too_large(&self, rec: &JobRec) -> Option<String> {
        let most = self.settings.platform.facts.state.strictest().value_bytes;
        let bytes = json_bytes(rec);
        let why = || format!("the job's description takes {bytes} bytes, of at most {most}");
        (bytes > most).then(why)
    }

    /// Why a job can never run, if so.
    fn never_runs(&self, rec: &JobRec) -> Option<String> {
        let facts = &self.settings.platform.facts;
        let Some(team) = facts.teams.iter().find(|t| t.name == rec.team) else {
            return Some("unknown team".into());
        };
        let fits = self.catalog.iter().any(|c| {
            let zoned = rec.zone.as_ref().is_none_or(|z| c.zones.contains(z));
            rec.allows(&c.name) && zoned && c.room.holds(rec.need)
        });
        if !fits {
            return Some("a task fits no allowed machine type".into());
        }
        let times = match rec.form {
            Form::Batch => 1.0,
            Form::Service => f64::from(rec.count),
        };
        let over = |need: f64, max: f64| max > 0.0 && need * times > max + 1e-6;
        if over(rec.need.cpus, team.cpus_max) || over(rec.need.gpus, team.gpus_max) {
            return Some("the job needs more than its team's limit".into());
        }
        None
    }

    fn on_question(&mut self, req: ReqId, id: JobId, intent: Intent) {
        if let Some(ending) = self.cache.ending(&id) {
            return self.answer_ending(req, &id, ending);
        }
        if self.blind() || self.front.questions.len() >= self.waiting_most() {
            return self.answer(req, Reply::later(503, 1, "present state isn't known"));
        }
        let after = self.last_call();
        if intent != Intent::Poll {
            self.front.urgent = Some(after);
        }
        let question = Question {
            req,
            id,
            intent,
            asked: self.now,
            after,
        };
        self.front.questions.push_back(question);
    }

    /// Tells that a job is over, once nobody can give an older answer any more.
    fn answer_ending(&mut self, req: ReqId, id: &JobId, (ending, known): (Ending, Time)) {
        let due = known.after(TELL_AFTER_S);
        if self.now < due {
            let later = (due, req, id.clone(), ending);
            self.front.telling.push_back(later);
        } else {
            self.tell_ending(req, id, ending);
        }
    }

    pub(crate) fn tell_endings(&mut self) {
        let now = self.now;
        let telling = std::mem::take(&mut self.front.telling);
        let (due, later): (VecDeque<_>, _) = telling.into_iter().partition(|(at, ..)| *at <= now);
        self.front.telling = later;
        for (_, req, id, ending) in due {
            self.tell_ending(req, &id, ending);
        }
    }

    fn tell_ending(&mut self, req: ReqId, id: &JobId, ending: Ending) {
        let stance = match ending {
            Ending::Done => Stance::Done,
            Ending::Withdrawn => Stance::Withdrawn,
        };
        self.answer(req, Reply::ok(200, stance_body(id, stance, 0, 0)));
    }

    /// Answers what the latest fresh read allows. Questions stand in order of time.
    pub(crate) fn answer_questions(&mut self) {
        while let Some(q) = self.front.questions.front() {
            if q.after >= self.fresh_call {
                break;
            }
            if let Some(q) = self.front.questions.pop_front() {
                self.answer_question(q);
            }
        }
    }

    /// Whether what is known here is what stood at the state service just now.
    fn present(&self) -> bool {
        self.now.since(self.known_at) <= PRESENT_S
    }

    fn answer_question(&mut self, q: Question) {
        if let Some(ending) = self.cache.ending(&q.id) {
            return self.answer_ending(q.req, &q.id, ending);
        }
        if !self.present() {
            // The read took long. Another node may have told more since.
            let after = self.last_call();
            self.front.questions.push_back(Question { after, ..q });
            return;
        }
        let Some(job) = self.cache.jobs.get(&q.id) else {
            self.front.unknown.push_back(q);
            return;
        };
        if self.cache.is_cancelled_by_need(&q.id) {
            // It has no task, and ends as soon as its holder has written so. Called queued for
            // much longer, it would be taken for one that was left behind.
            return self.front.leaving.push_back(q);
        }
        if q.intent == Intent::Withdraw {
            match job.withdrawn {
                None => self.front.withdrawals.push_back(q),
                Some(_) => self.front.leaving.push_back(q),
            }
            return;
        }
        if self.cache.may_be_cancelled(&q.id) {
            // Somebody may have been told so of a job that it needs.
            let after = self.last_call();
            return self.front.questions.push_back(Question { after, ..q });
        }
        let (done, running) = self.cache.counts(&q.id);
        let stance = if running > 0 {
            Stance::Running
        } else {
            Stance::Queued
        };
        let body = stance_body(&q.id, stance, done, running);
        self.answer(q.req, Reply::ok(200, body));
    }

    pub(crate) fn pump_front(&mut self) {
        self.pump_naming();
        self.pump_withdrawals();
        self.pump_unknown();
        self.pump_submissions();
    }

    fn pump_withdrawals(&mut self) {
        while let Some(q) = self.front.withdrawals.pop_front() {
            let Some(job) = self.cache.jobs.get(&q.id) else {
                self.front.unknown.push_back(q);
                continue;
            };
            let mut rec = (*job.rec).clone();
            rec.withdrawn = true;
            if self.too_large(&rec).is_some() {
                // Accepted under a larger limit. A cancelled job starts nothing, so nobody needs
                // to know any more where it may run.
                rec.types = None;
            }
            let key = Key::Job(q.id.clone());
            let op = StateOp::Commit {
                when: vec![(key.clone(), job.revision)],
                writes: vec![Write::put(key, Record::Job(Box::new(rec)))],
            };
            if let Err(Purpose::Withdraw(q)) =
                self.state_call(op, Purpose::Withdraw(q), Priority::First)
            {
                self.front.withdrawals.push_front(q);
                break;
            }
        }
    }

    pub(crate) fn on_withdrawn(&mut self, q: Question, reply: StateReply) {
        match reply {
            StateReply::Committed { .. } => {
                info!("job {} withdrawn by its user", q.id);
                self.front.leaving.push_back(q);
                self.answer_leaving();
            }
            StateReply::Refused => self.front.withdrawals.push_back(q),
            // Somebody changed the job, or the commit may stand: look again.
            _ => {
                let (asked, after) = (self.now, self.last_call());
                let again = Question { asked, after, ..q };
                self.front.questions.push_back(again);
            }
        }
    }

    /// Tells users whose jobs have gone. A withdrawal is told only now, when every task
    /// is proven gone: then nothing that fails later can let one run on past the bound.
    pub(crate) fn answer_leaving(&mut self) {
        for q in std::mem::take(&mut self.front.leaving) {
            match self.cache.ending(&q.id) {
                Some(ending) => self.answer_ending(q.req, &q.id, ending),
                None if self.cache.jobs.contains_key(&q.id) => self.front.leaving.push_back(q),
                None => self.front.unknown.push_back(q),
            }
        }
    }

    fn pump_unknown(&mut self) {
        while let Some(q) = self.front.unknown.pop_front() {
            let op = StateOp::Get(Key::End(q.id.clone()));
            if let Err(Purpose::ReadEnd(q)) =
                self.state_call(op, Purpose::ReadEnd(q), Priority::Usual)
            {
                self.front.unknown.push_front(q);
                break;
            }
        }
    }

    pub(crate) fn on_end_read(&mut self, q: Question, reply: StateReply) {
        match (reply, &q.intent) {
            (StateReply::Found { record, .. }, _) => {
                if let Record::End(ending) = record {
                    self.cache.remember(self.now, q.id.clone(), ending);
                    self.answer_ending(q.req, &q.id, (ending, self.now));
                }
            }
            // It came while the read was under way.
            (StateReply::Missing { .. }, _) if self.cache.jobs.contains_key(&q.id) => {
                let after = self.last_call();
                self.front.questions.push_back(Question { after, ..q });
            }
            (StateReply::Missing { .. }, Intent::Refuse(status, why)) => {
                let body = error_body(why);
                self.answer(q.req, Reply::ok(*status, body));
            }
            (StateReply::Missing { .. }, Intent::Poll | Intent::Withdraw) => {
                self.answer(q.req, Reply::ok(404, error_body("no such job")));
            }
            _ => self.answer(q.req, Reply::later(503, 1, "present state isn't known")),
        }
    }

    /// Commits waiting submissions, several to a transaction.
    fn pump_submissions(&mut self) {
        // What a commit of two jobs says of one applies to both, so a conflict
        // makes its jobs ask one by one. Conflicts are rare: only retries make them.
        let most = self.settings.platform.facts.state.strictest().txn_ops;
        let most = most.min(SUBMISSIONS_MOST);
        while !self.front.submissions.is_empty() {
            // A key can be written once in a transaction, and the second of two equal
            // submissions finds the first one's job.
            let mut ids = BTreeSet::new();
            let waiting = self.front.submissions.iter().take(most);
            let n = waiting.take_while(|s| ids.insert(&s.id)).count();
            let list: Vec<Submission> = self.front.submissions.drain(..n).collect();
            let mut when = Vec::with_capacity(2 * n);
            let mut writes = Vec::with_capacity(n);
            for s in &list {
                when.push((Key::Job(s.id.clone()), 0));
                when.push((Key::End(s.id.clone()), 0));
                let record = Record::Job(Box::new(s.rec.clone()));
                writes.push(Write::put(Key::Job(s.id.clone()), record));
            }
            let op = StateOp::Commit { when, writes };
            if let Err(Purpose::Submit(list)) =
                self.state_call(op, Purpose::Submit(list), Priority::Usual)
            {
                for s in list.into_iter().rev() {
                    self.front.submissions.push_front(s);
                }
                break;
            }
        }
    }

    pub(crate) fn on_submitted(&mut self, list: Vec<Submission>, reply: StateReply, sent: Time) {
        let late = self.now.since(sent) > PRESENT_S;
        for s in list {
            match &reply {
                // Its user may have asked elsewhere meanwhile, and been told more.
                StateReply::Committed { .. } if late => {
                    self.on_question(s.req, s.id, Intent::Again)
                }
                // It is accepted, and cancelled with a job that it needs.
                StateReply::Committed { .. } if self.cache.needs(&s.rec) == Needs::Cancelled => {
                    info!("job {} accepted, and cancelled with one it needs", s.id);
                    self.on_question(s.req, s.id, Intent::Again);
                }
                StateReply::Committed { .. } => {
                    info!("job {} accepted: {} of {}", s.id, s.rec.count, s.rec.class);
                    let body = stance_body(&s.id, Stance::Queued, 0, 0);
                    self.answer(s.req, Reply::ok(201, body));
                }
                StateReply::Conflict { failed } => {
                    let key =
                        |k: &Key| *k == Key::Job(s.id.clone()) || *k == Key::End(s.id.clone());
                    if failed.iter().any(key) || failed.is_empty() {
                        self.on_question(s.req, s.id, Intent::Again);
                    } else {
                        self.front.submissions.push_back(s);
                    }
                }
                StateReply::Refused => {
                    self.answer(s.req, Reply::later(503, 1, "the state service refused"));
                }
                // It may stand or may yet come to stand: a retry finds out.
                _ => self.answer(
                    s.req,
                    Reply::later(503, 1, "the state service didn't answer"),
                ),
            }
        }
    }

    /// Cancellations whose confirmation isn't in sight: their users are told to come back
    /// at once rather than after a wait for something that can't happen.
    fn stuck_departures(&self) -> Vec<ReqId> {
        let mut leaving = self.front.leaving.iter().peekable();
        if leaving.peek().is_none() {
            return Vec::new();
        }
        let told = self.lately().flat_map(|h| h.overdue.iter().cloned());
        let overdue: BTreeSet<MachineId> = told.chain(self.overdue()).collect();
        let stuck = leaving.filter(|q| self.blind() || self.departs_late(&q.id, &overdue));
        stuck.map(|q| q.req).collect()
    }

    /// Whether nobody is there to confirm that a job's tasks are gone, or one of them is
    /// on a machine that doesn't report.
    fn departs_late(&self, id: &JobId, overdue: &BTreeSet<MachineId>) -> bool {
        let job = self.cache.jobs.get(id);
        let block = job.and_then(|j| self.cache.blocks.get(&j.rec.block));
        let Some(holder) = block.and_then(|b| b.rec.as_ref()).map(|b| &b.holder) else {
            return false;
        };
        let here = *holder == self.settings.platform.member;
        let runs = job.map(|j| self.cache.effective_runs(id, &j.rec).0);
        let mut placed = runs.iter().flatten().flat_map(|(_, _, run)| &run.placed);
        !(here || self.heartbeat_fresh(holder))
            || placed.any(|(_, _, machine, _)| overdue.contains(machine))
    }

    /// Gives up what can't be answered in time. The answer goes out at once.
    pub(crate) fn front_housekeeping(&mut self) {
        let (now, mut late) = (self.now, self.stuck_departures());
        let leave_s = self.settings.leave_s();
        let f = &mut self.front;
        f.leaving.retain(|q| !late.contains(&q.req));
        for (queue, most_s) in [
            (&mut f.questions, QUESTION_S),
            (&mut f.unknown, QUESTION_S),
            (&mut f.withdrawals, QUESTION_S),
            (&mut f.leaving, leave_s),
        ] {
            queue.retain(|q| {
                let most_s = match q.intent {
                    Intent::Poll => QUESTION_S.min(most_s),
                    _ => most_s,
                };
                let keep = now.since(q.asked) < most_s;
                if !keep {
                    late.push(q.req);
                }
                keep
            });
        }
        let mut in_time = |s: &Submission| {
            let keep = now.since(s.asked) < SUBMIT_S;
            if !keep {
                late.push(s.req);
            }
            keep
        };
        f.submissions.retain(&mut in_time);
        f.naming.retain(|n| in_time(&n.submission));
        for req in late {
            self.answer(req, Reply::later(503, 2, "the state service is slow"));
        }
    }
}
