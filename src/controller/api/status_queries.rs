//! Questions about jobs.
//!
//! `done` and `cancelled` may be told from memory, for they are committed. Anything else another
//! controller may know better, so it needs a read no older than the question.

use crate::controller::api::{Intent, StatusQuery};
use crate::controller::context::Context;
use crate::controller::events::Reply;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{Ending, Key};
use crate::controller::store_requests::RequestPurpose;
use crate::ids::{JobId, RequestId, Time};
use crate::wire::{JobStatus, StoreRequest, StoreResponse, error_body, job_status_body};
use std::collections::VecDeque;

/// What is told of a job that isn't over may be this old. With that, and since the end of a
/// job isn't told before every older answer has become too old to be given, no node gives an
/// answer that another one's has overtaken, however slowly the store answers.
pub(crate) const PRESENT_S: f64 = 0.1;
const ENDING_DELAY_S: f64 = 1.2 * PRESENT_S;

impl Context {
    pub(crate) fn on_status_query(&mut self, request_id: RequestId, id: JobId, intent: Intent) {
        if let Some(ending) = self.store.mirror.ending(&id) {
            return self.answer_ending(request_id, &id, ending);
        }
        if self.is_stale() || self.api.status_queries.len() >= self.waiting_max() {
            return self.answer(
                request_id,
                Reply::later(503, 1, "present state isn't known"),
            );
        }
        let after = self.last_call();
        if intent != Intent::Poll {
            self.api.urgent = Some(after);
        }
        let question = StatusQuery {
            request_id,
            id,
            intent,
            asked: self.now,
            after,
        };
        self.api.status_queries.push_back(question);
    }

    /// Tells that a job is over, once nobody can give an older answer any more.
    pub(crate) fn answer_ending(
        &mut self,
        request_id: RequestId,
        id: &JobId,
        (ending, known): (Ending, Time),
    ) {
        let due = known.after(ENDING_DELAY_S);
        if self.now < due {
            let later = (due, request_id, id.clone(), ending);
            self.api.delayed_endings.push_back(later);
        } else {
            self.send_ending(request_id, id, ending);
        }
    }

    pub(crate) fn send_due_endings(&mut self) {
        let now = self.now;
        let delayed_endings = std::mem::take(&mut self.api.delayed_endings);
        let (due, later): (VecDeque<_>, _) =
            delayed_endings.into_iter().partition(|(at, ..)| *at <= now);
        self.api.delayed_endings = later;
        for (_, request_id, id, ending) in due {
            self.send_ending(request_id, &id, ending);
        }
    }

    fn send_ending(&mut self, request_id: RequestId, id: &JobId, ending: Ending) {
        let status = match ending {
            Ending::Done => JobStatus::Done,
            Ending::Cancelled => JobStatus::Cancelled,
        };
        self.answer(
            request_id,
            Reply::ok(200, job_status_body(id, status, 0, 0)),
        );
    }

    /// Answers what the latest fresh read allows. Questions stand in order of time.
    pub(crate) fn answer_status_queries(&mut self) {
        while let Some(query) = self.api.status_queries.front() {
            if query.after >= self.store.linearized_call() {
                break;
            }
            if let Some(query) = self.api.status_queries.pop_front() {
                self.answer_status_query(query);
            }
        }
    }

    /// Whether what is known here is what stood at the store just now.
    pub(crate) fn present(&self) -> bool {
        self.now.since(self.store.changes_known_at()) <= PRESENT_S
    }

    fn answer_status_query(&mut self, query: StatusQuery) {
        if let Some(ending) = self.store.mirror.ending(&query.id) {
            return self.answer_ending(query.request_id, &query.id, ending);
        }
        if !self.present() {
            // The read took long. Another node may have told more since.
            let after = self.last_call();
            self.api
                .status_queries
                .push_back(StatusQuery { after, ..query });
            return;
        }
        let Some(job) = self.store.mirror.jobs.get(&query.id) else {
            self.api.unknown.push_back(query);
            return;
        };
        if self.store.mirror.is_cancelled_by_dependency(&query.id) {
            // It has no task, and ends as soon as its owner has written so. Called queued for
            // much longer, it would be taken for one that was left behind.
            return self.api.leaving.push_back(query);
        }
        if query.intent == Intent::Cancel {
            match job.cancelled {
                None => self.api.cancellations.push_back(query),
                Some(_) => self.api.leaving.push_back(query),
            }
            return;
        }
        if self.store.mirror.may_be_cancelled(&query.id) {
            // Somebody may have been told so of a job that it depends on.
            let after = self.last_call();
            return self
                .api
                .status_queries
                .push_back(StatusQuery { after, ..query });
        }
        let (done, running) = self.store.mirror.counts(&query.id);
        let status = if running > 0 {
            JobStatus::Running
        } else {
            JobStatus::Queued
        };
        let body = job_status_body(&query.id, status, done, running);
        self.answer(query.request_id, Reply::ok(200, body));
    }

    pub(crate) fn read_unknown_ends(&mut self) {
        while let Some(query) = self.api.unknown.pop_front() {
            let op = StoreRequest::Get(Key::End(query.id.clone()));
            if let Err(RequestPurpose::ReadEnd(query)) =
                self.send_store_request(op, RequestPurpose::ReadEnd(query), Priority::Usual)
            {
                self.api.unknown.push_front(query);
                break;
            }
        }
    }

    pub(crate) fn on_end_read(&mut self, query: StatusQuery, reply: StoreResponse) {
        if let Some(ending) = self.learn_ending(&query.id, &reply) {
            return self.answer_ending(query.request_id, &query.id, (ending, self.now));
        }
        match (reply, &query.intent) {
            // It came while the read was under way.
            (StoreResponse::Missing { .. }, _)
                if self.store.mirror.jobs.contains_key(&query.id) =>
            {
                let after = self.last_call();
                self.api
                    .status_queries
                    .push_back(StatusQuery { after, ..query });
            }
            (StoreResponse::Missing { .. }, Intent::Refuse(status, why)) => {
                let body = error_body(why);
                self.answer(query.request_id, Reply::ok(*status, body));
            }
            (StoreResponse::Missing { .. }, Intent::Poll | Intent::Cancel) => {
                self.answer(query.request_id, Reply::ok(404, error_body("no such job")));
            }
            _ => self.answer(
                query.request_id,
                Reply::later(503, 1, "present state isn't known"),
            ),
        }
    }
}
