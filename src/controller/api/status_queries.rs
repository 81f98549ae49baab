//! Questions about jobs.
//!
//! `done` and `withdrawn` may be told from memory, for they are committed. Anything else another
//! controller may know better, so it needs a read no older than the question.

use crate::controller::api::{Intent, Question};
use crate::controller::events::Reply;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{Ending, Key};
use crate::controller::{Core, Purpose};
use crate::ids::{JobId, ReqId, Time};
use crate::wire::{Stance, StateOp, StateReply, error_body, stance_body};
use std::collections::VecDeque;

/// What is told of a job that isn't over may be this old. With that, and since the end of a
/// job isn't told before every older answer has become too old to be given, no node gives an
/// answer that another one's has overtaken, however slowly the state service answers.
pub(crate) const PRESENT_S: f64 = 0.1;
const TELL_AFTER_S: f64 = 1.2 * PRESENT_S;

impl Core {
    pub(crate) fn on_question(&mut self, req: ReqId, id: JobId, intent: Intent) {
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
    pub(crate) fn answer_ending(
        &mut self,
        req: ReqId,
        id: &JobId,
        (ending, known): (Ending, Time),
    ) {
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
    pub(crate) fn present(&self) -> bool {
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
        if q.intent == Intent::Cancel {
            match job.withdrawn {
                None => self.front.cancellations.push_back(q),
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

    pub(crate) fn pump_unknown(&mut self) {
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
        if let Some(ending) = self.learn_ending(&q.id, &reply) {
            return self.answer_ending(q.req, &q.id, (ending, self.now));
        }
        match (reply, &q.intent) {
            // It came while the read was under way.
            (StateReply::Missing { .. }, _) if self.cache.jobs.contains_key(&q.id) => {
                let after = self.last_call();
                self.front.questions.push_back(Question { after, ..q });
            }
            (StateReply::Missing { .. }, Intent::Refuse(status, why)) => {
                let body = error_body(why);
                self.answer(q.req, Reply::ok(*status, body));
            }
            (StateReply::Missing { .. }, Intent::Poll | Intent::Cancel) => {
                self.answer(q.req, Reply::ok(404, error_body("no such job")));
            }
            _ => self.answer(q.req, Reply::later(503, 1, "present state isn't known")),
        }
    }
}
