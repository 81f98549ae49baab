//! Status queries of jobs.
//!
//! The statuses `done` and `cancelled` are final once committed, so they are answered from memory.
//! Any other status may have been changed by another controller, so its answer needs a read of the
//! store that was sent after the query arrived, and that took no longer than the maximum age of a
//! status. If that read doesn't come in time, a mirror within that age suffices, see [`status_ages`].
//!
//! [`status_ages`]: crate::controller::store::status_ages

use crate::controller::api::{DelayedEnding, Intent, STORE_SLOW, StatusQuery};
use crate::controller::context::Context;
use crate::controller::events::Reply;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::mirror::KnownEnding;
use crate::controller::store::records::{Ending, Key};
use crate::controller::store_requests::RequestPurpose;
use crate::ids::{JobId, RequestId};
use crate::wire::{JobStatus, StoreRequest, StoreResponse, error_body, job_status_body};
use std::collections::VecDeque;

/// Reason in the replies of a controller that can't read the store in time.
const STATUS_UNKNOWN: &str = "present state isn't known";

impl Context {
    /// Answers a query about a job that has ended, and queues any other for a linearizable read.
    pub(crate) fn on_status_query(&mut self, request_id: RequestId, id: JobId, intent: Intent) {
        if let Some(ending) = self.store.mirror.ending(&id) {
            return self.answer_ending(request_id, &id, ending);
        }
        if self.is_out_of_touch() {
            self.prepare_for_repetition(&id);
            return self.answer(request_id, Reply::later(503, 1, STATUS_UNKNOWN));
        }
        if self.api.status_queries.len() >= self.waiting_requests_max() {
            return self.answer(request_id, Reply::later(503, 1, STATUS_UNKNOWN));
        }
        let preceding_call = self.last_call();
        let query = StatusQuery {
            request_id,
            id,
            intent,
            received_at: self.now,
            preceding_call,
            slow_reads: 0,
        };
        if query.intent == Intent::Cancel && self.store.mirror.jobs.contains_key(&query.id) {
            return self.cancel_live_job(query);
        }
        if query.intent != Intent::Poll {
            self.api.urgent_preceding_call = Some(preceding_call);
        }
        self.api.status_queries.push_back(query);
    }

    /// Replies that a job has ended, once no controller can send an older status any more.
    pub(crate) fn answer_ending(&mut self, request_id: RequestId, id: &JobId, known: KnownEnding) {
        if self.now < known.sendable_from {
            self.api.delayed_endings.push_back(DelayedEnding {
                due: known.sendable_from,
                request_id,
                id: id.clone(),
                ending: known.ending,
            });
        } else {
            self.send_ending(request_id, id, known.ending);
        }
    }

    /// Sends the delayed replies that are due.
    pub(crate) fn send_due_endings(&mut self) {
        let now = self.now;
        let delayed_endings = std::mem::take(&mut self.api.delayed_endings);
        let (due, later): (VecDeque<_>, _) = delayed_endings
            .into_iter()
            .partition(|delayed| delayed.due <= now);
        self.api.delayed_endings = later;
        for delayed in due {
            self.send_ending(delayed.request_id, &delayed.id, delayed.ending);
        }
    }

    /// Replies that a job has ended.
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

    /// Answers the queries that arrived before the latest linearizable read was sent. The queue is
    /// ordered by arrival.
    pub(crate) fn answer_status_queries(&mut self) {
        while let Some(query) = self.api.status_queries.front() {
            if query.preceding_call >= self.store.linearized_call() {
                break;
            }
            if let Some(query) = self.api.status_queries.pop_front() {
                self.answer_status_query(query);
            }
        }
    }

    /// Answers a query from the mirror, or queues it for what the answer still needs.
    fn answer_status_query(&mut self, query: StatusQuery) {
        if let Some(ending) = self.store.mirror.ending(&query.id) {
            return self.answer_ending(query.request_id, &query.id, ending);
        }
        let is_live = self.store.mirror.jobs.contains_key(&query.id);
        if is_live && query.intent == Intent::Cancel {
            return self.cancel_live_job(query);
        }
        if !self.mirror_is_current() {
            return self.repeat_after_slow_read(query);
        }
        if !is_live {
            self.api.awaiting_end_read.push_back(query);
            return;
        }
        if self.store.mirror.is_cancelled_by_dependency(&query.id) {
            // The job has no tasks and ends as soon as the owner of its shard has committed that.
            // If it were still reported as queued, it would seem to be forgotten.
            return self.api.awaiting_end.push_back(query);
        }
        if self.store.mirror.may_be_cancelled(&query.id) {
            // Another user may already have been told that a dependency of the job is cancelled.
            return self.repeat_status_query(query);
        }
        self.answer_live(&query);
    }

    /// Replies with the status of a live job.
    fn answer_live(&mut self, query: &StatusQuery) {
        let (done, running) = self.store.mirror.count_done_and_placed(&query.id);
        let status = if running > 0 {
            JobStatus::Running
        } else {
            JobStatus::Queued
        };
        self.api.status_query_counts.answered += 1;
        let body = job_status_body(&query.id, status, done, running);
        self.answer(query.request_id, Reply::ok(200, body));
    }

    /// Queues a query for another read, since the last one took so long that another controller may
    /// have sent a newer status meanwhile.
    fn repeat_after_slow_read(&mut self, mut query: StatusQuery) {
        query.slow_reads += 1;
        self.api.status_query_counts.too_old += 1;
        self.record_slow_reads(query.slow_reads);
        self.repeat_status_query(query);
    }

    /// Handles a query for which no recent enough read has come in time. The mirror may still be
    /// recent enough by the age that this controller has announced.
    pub(crate) fn on_query_unread(&mut self, query: StatusQuery) {
        if let Some(ending) = self.store.mirror.ending(&query.id) {
            return self.answer_ending(query.request_id, &query.id, ending);
        }
        let is_live = self.store.mirror.jobs.contains_key(&query.id);
        let asks_for_status = query.intent != Intent::Cancel;
        if is_live
            && asks_for_status
            && self.mirror_is_current()
            && !self.store.mirror.is_cancelled_by_dependency(&query.id)
            && !self.store.mirror.may_be_cancelled(&query.id)
        {
            return self.answer_live(&query);
        }
        self.prepare_for_repetition(&query.id);
        self.api.status_query_counts.timed_out += 1;
        self.answer(query.request_id, Reply::later(503, 2, STORE_SLOW));
    }

    /// Prepares the answer to the next query about a job after one couldn't be answered.
    fn prepare_for_repetition(&mut self, id: &JobId) {
        self.record_status_shortage();
        if self.store.is_initial_list_done() && !self.store.mirror.jobs.contains_key(id) {
            self.read_end_for_later(id);
        }
    }

    /// Reads the end of a job that isn't in memory. While reads take long, a query can't wait for
    /// the read of the revision and for that of the end, but the next query finds the end in memory.
    fn read_end_for_later(&mut self, id: &JobId) {
        let reads_same_end = |purpose: &RequestPurpose| match purpose {
            RequestPurpose::LearnEnd(other) => other == id,
            _ => false,
        };
        if self.store.is_pending(reads_same_end) {
            return;
        }
        let request = StoreRequest::Get(Key::End(id.clone()));
        let purpose = RequestPurpose::LearnEnd(id.clone());
        // Without a budget for the request, the next query that isn't answered tries again.
        let _ = self.send_store_request(request, purpose, Priority::Last);
    }

    /// Queues a query for another read.
    fn repeat_status_query(&mut self, query: StatusQuery) {
        let preceding_call = self.last_call();
        self.api.status_queries.push_back(StatusQuery {
            preceding_call,
            ..query
        });
    }

    /// Requests the end records of queried jobs that aren't live in the mirror.
    pub(crate) fn read_missing_ends(&mut self) {
        while let Some(query) = self.api.awaiting_end_read.pop_front() {
            let request = StoreRequest::Get(Key::End(query.id.clone()));
            if let Err(RequestPurpose::ReadEnd(query)) =
                self.send_store_request(request, RequestPurpose::ReadEnd(query), Priority::Usual)
            {
                self.api.awaiting_end_read.push_front(query);
                break;
            }
        }
    }

    /// Handles the response to the read of a queried job's end record.
    pub(crate) fn on_end_read(&mut self, query: StatusQuery, response: StoreResponse) {
        if let Some(ending) = self.learn_ending(&query.id, &response) {
            return self.answer_ending(query.request_id, &query.id, ending);
        }
        match (response, &query.intent) {
            // The job ended while the read was pending, and the watch is about to deliver that.
            (StoreResponse::Found { .. }, _) => self.repeat_status_query(query),
            // The job was submitted while the read was pending.
            (StoreResponse::Missing { .. }, _)
                if self.store.mirror.jobs.contains_key(&query.id) =>
            {
                self.repeat_status_query(query);
            }
            (StoreResponse::Missing { .. }, Intent::Refuse { status, reason }) => {
                let body = error_body(reason);
                self.answer(query.request_id, Reply::ok(*status, body));
            }
            (StoreResponse::Missing { .. }, Intent::Poll | Intent::Cancel) => {
                self.answer(query.request_id, Reply::ok(404, error_body("no such job")));
            }
            _ => self.answer(query.request_id, Reply::later(503, 1, STATUS_UNKNOWN)),
        }
    }
}
