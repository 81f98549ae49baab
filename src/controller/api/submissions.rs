//! Submissions: whether a job can be taken, the jobs that it names, and the commit.

use crate::controller::api::status_queries::PRESENT_S;
use crate::controller::api::{Intent, NamingSubmission, Submission};
use crate::controller::dependencies::graph::Needs;
use crate::controller::events::Reply;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::chunks::chunk_size;
use crate::controller::store::records::{Form, JobRec, Key, Record, json_bytes};
use crate::controller::{Core, Purpose};
use crate::ids::{JobId, ReqId, Time};
use crate::wire::{BadBody, Stance, StateOp, StateReply, Write, error_body, stance_body};
use log::info;
use std::collections::BTreeSet;

/// Most submissions in one transaction.
const SUBMISSIONS_MOST: usize = 8;
/// Submissions that wait are at most what the change budget clears in this time.
const SUBMIT_BACKLOG_S: f64 = 1.5;

impl Core {
    /// A known job's user is told its state whatever the repeated body is like; being
    /// refused, it would take the job for one that was never accepted.
    pub(crate) fn on_malformed(&mut self, req: ReqId, bad: BadBody) {
        info!("a submission is malformed: {}", bad.why);
        match bad.id {
            Some(id) => self.on_question(req, id, Intent::Refuse(400, bad.why)),
            None => self.answer(req, Reply::ok(400, error_body(&bad.why))),
        }
    }

    pub(crate) fn on_submit(&mut self, req: ReqId, id: JobId, mut rec: JobRec) {
        if self.cache.accepted(&id) {
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
        let limits = self.settings.state_limits();
        rec.chunk = chunk_size(limits.value_bytes);
        rec.block = self.block_for(&id);
        if let Some(why) = self.too_large(&rec) {
            return self.on_question(req, id, Intent::Refuse(422, why));
        }
        let room = (limits.write_rps * SUBMIT_BACKLOG_S) as usize;
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

    /// Why a job's record can't be kept, if so.
    pub(crate) fn too_large(&self, rec: &JobRec) -> Option<String> {
        let most = self.settings.state_limits().value_bytes;
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
        let (cpus_max, gpus_max) = self.team_limit(team);
        if over(rec.need.cpus, cpus_max) || over(rec.need.gpus, gpus_max) {
            return Some("the job needs more than its team's limit".into());
        }
        None
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
    pub(crate) fn pump_naming(&mut self) {
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
        let ended = self.learn_ending(&need, &reply).is_some();
        match reply {
            _ if ended => self.front.naming.push_back(naming),
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

    /// Commits waiting submissions, several to a transaction.
    pub(crate) fn pump_submissions(&mut self) {
        // What a commit of two jobs says of one applies to both, so a conflict
        // makes its jobs ask one by one. Conflicts are rare: only retries make them.
        let most = self.settings.state_limits().txn_ops;
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
}
