//! Requests of users (submissions, status queries and cancellations) and the balancer's health
//! check.
//!
//! [`submissions`] checks and commits jobs, [`status_queries`] reports their status, and
//! [`cancellations`] marks jobs as cancelled and confirms that to their users once no task of the
//! job is left.

mod cancellations;
mod status_age;
mod status_queries;
mod submissions;

use crate::controller::Controller;
use crate::controller::api::status_age::StatusAgeAnnouncer;
use crate::controller::context::Context;
use crate::controller::events::{Reply, Request, StatusQueryCounts};
use crate::controller::store::RevisionDemand;
use crate::controller::store::records::{Ending, JobRecord};
use crate::ids::{CallId, JobId, RequestId, Time};
use std::collections::VecDeque;

/// A submission that waits to be committed.
#[derive(Debug)]
pub(crate) struct Submission {
    request_id: RequestId,
    id: JobId,
    record: JobRecord,
    received_at: Time,
}

/// A submission with a dependency that isn't known to be accepted. A dependency that was accepted
/// before the submission arrived is known once the mirror has caught up with a read that was sent
/// after the arrival, or once the record of the dependency's end has been read.
#[derive(Debug)]
pub(crate) struct DependentSubmission {
    submission: Submission,
    /// The last call to the store that was sent before the submission arrived.
    preceding_call: CallId,
}

/// What is done when the status of a job is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Intent {
    /// The reply is the job's status.
    Poll,
    /// The reply is the job's status. The job seems to have been submitted before; if it wasn't,
    /// the user is asked to retry.
    Resubmission,
    /// The request is refused with this HTTP status, 400 or 422, unless the job is known.
    Refuse { status: u16, reason: String },
    /// The job is cancelled.
    Cancel,
}

/// A status query that waits for a linearizable read.
#[derive(Clone, Debug)]
pub(crate) struct StatusQuery {
    request_id: RequestId,
    id: JobId,
    intent: Intent,
    received_at: Time,
    /// The last call to the store that was sent before the query arrived. Only the response to a
    /// later call shows a state after the arrival. Times can't tell which came first, since both
    /// may fall into the same millisecond.
    preceding_call: CallId,
    /// Number of reads for this query that took so long that no status could be sent.
    slow_reads: u32,
}

/// A reply that a job has ended, delayed until no controller can send an older status.
#[derive(Debug)]
struct DelayedEnding {
    due: Time,
    request_id: RequestId,
    id: JobId,
    ending: Ending,
}

/// The requests of users that can't be answered yet.
#[derive(Debug, Default)]
pub(crate) struct Api {
    submissions: VecDeque<Submission>,
    status_queries: VecDeque<StatusQuery>,
    /// Queries of jobs that aren't live in the mirror. The record of the job's end is still to be
    /// read.
    awaiting_end_read: VecDeque<StatusQuery>,
    /// Cancellations that are still to be written.
    cancellations: VecDeque<StatusQuery>,
    /// Submissions with a dependency that this controller doesn't know to be accepted.
    dependent_submissions: VecDeque<DependentSubmission>,
    /// Queries that are answered once the end of their job is committed: cancellations that are
    /// written, and queries of jobs that are cancelled with one of their dependencies.
    awaiting_end: VecDeque<StatusQuery>,
    /// The last call that was sent before the newest urgent request arrived: a cancellation, or a
    /// submission that needs a read.
    urgent_preceding_call: Option<CallId>,
    delayed_endings: VecDeque<DelayedEnding>,
    pub(crate) status_query_counts: StatusQueryCounts,
    status_age: StatusAgeAnnouncer,
}

/// Timeout of a query, in seconds. Users wait 2 s for the answer.
const QUERY_TIMEOUT_S: f64 = 1.5;
/// Timeout of a submission, in seconds. Users wait 5 s for the answer.
const SUBMISSION_TIMEOUT_S: f64 = 3.0;
/// Reason in the replies to requests that have timed out.
const STORE_SLOW: &str = "the state service is slow";
/// Reason in the replies of a controller that shuts down.
const SHUTTING_DOWN: &str = "this controller is about to end";
/// Maximum number of requests of one kind that wait at the same time, as a fraction of the sockets.
/// Further requests are refused with a time after which to retry.
const WAITING_REQUESTS_MAX_FRACTION: f64 = 0.8;

impl Api {
    /// Number of submissions and cancellations that wait to be written.
    pub(crate) fn backlog(&self) -> usize {
        self.submissions.len() + self.dependent_submissions.len() + self.cancellations.len()
    }

    /// When the next delayed reply is due.
    pub(crate) fn first_delayed_ending(&self) -> Option<Time> {
        self.delayed_endings.iter().map(|delayed| delayed.due).min()
    }

    /// The newest requests that wait for a read of the store's revision. Only a read that is sent
    /// after a request has arrived counts for it.
    pub(crate) fn revision_demand(&self) -> RevisionDemand {
        RevisionDemand {
            status_query: self.status_queries.back().map(|query| query.preceding_call),
            urgent: self.urgent_preceding_call,
        }
    }

    /// Removes and returns the queries that have waited too long for a read of the store.
    fn remove_unread_queries(&mut self, now: Time) -> VecDeque<StatusQuery> {
        let queries = std::mem::take(&mut self.status_queries).into_iter();
        let (unread, waiting): (VecDeque<_>, VecDeque<_>) =
            queries.partition(|query| now.since(query.received_at) >= QUERY_TIMEOUT_S);
        self.status_queries = waiting;
        unread
    }

    /// Removes and returns the other requests that have timed out. `cancellation_timeout_s` applies
    /// to queries that wait for the end of their job, except to polls.
    fn remove_timed_out(&mut self, now: Time, cancellation_timeout_s: f64) -> Vec<RequestId> {
        let mut timed_out = Vec::new();
        for (queue, timeout_s) in [
            (&mut self.awaiting_end_read, QUERY_TIMEOUT_S),
            (&mut self.cancellations, QUERY_TIMEOUT_S),
            (&mut self.awaiting_end, cancellation_timeout_s),
        ] {
            queue.retain(|query| {
                let timeout_s = match query.intent {
                    Intent::Poll => QUERY_TIMEOUT_S.min(timeout_s),
                    _ => timeout_s,
                };
                let is_in_time = now.since(query.received_at) < timeout_s;
                if !is_in_time {
                    timed_out.push(query.request_id);
                }
                is_in_time
            });
        }
        let mut check_timeout = |submission: &Submission| {
            let is_in_time = now.since(submission.received_at) < SUBMISSION_TIMEOUT_S;
            if !is_in_time {
                timed_out.push(submission.request_id);
            }
            is_in_time
        };
        self.submissions.retain(&mut check_timeout);
        self.dependent_submissions
            .retain(|dependent| check_timeout(&dependent.submission));
        timed_out
    }
}

impl Controller {
    /// Routes a request of a user, a worker or the balancer.
    pub(crate) fn on_request(&mut self, request_id: RequestId, request: Request) {
        match request {
            Request::Up => self.context.on_health_check(request_id),
            Request::Heartbeat(report) => self.on_worker_heartbeat(request_id, report),
            Request::Submit(_) if self.context.is_shutting_down() => {
                self.context
                    .answer(request_id, Reply::later(503, 1, SHUTTING_DOWN));
            }
            Request::Submit(Ok((id, record))) => self.context.on_submit(request_id, id, record),
            Request::Submit(Err(error)) => self.context.on_malformed(request_id, error),
            Request::Poll(id) => self.context.on_status_query(request_id, id, Intent::Poll),
            Request::Cancel(id) => self.context.on_status_query(request_id, id, Intent::Cancel),
        }
    }

    /// Drops the state kept for a worker's request whose sender has disconnected.
    pub(crate) fn on_disconnect(&mut self, request_id: RequestId) {
        self.context.forget_heartbeat(request_id);
        for owner in self.shards.values_mut() {
            owner.drop_long_poll(request_id);
        }
    }

    /// Refuses the requests that have timed out, and the cancellations that can't be confirmed at
    /// present.
    pub(crate) fn api_housekeeping(&mut self) {
        let mut refused = self.blocked_cancellations();
        let cancellation_timeout_s = self.context.settings.cancellation_wait_s();
        let now = self.context.now;
        for query in self.context.api.remove_unread_queries(now) {
            self.context.on_query_unread(query);
        }
        let api = &mut self.context.api;
        api.awaiting_end
            .retain(|query| !refused.contains(&query.request_id));
        refused.extend(api.remove_timed_out(now, cancellation_timeout_s));
        for request_id in refused {
            self.context
                .answer(request_id, Reply::later(503, 2, STORE_SLOW));
        }
        self.context.announce_status_ages();
    }
}

impl Context {
    /// Answers the balancer's health check.
    ///
    /// A controller whose mirror is stale reports itself unhealthy until its initial list of the
    /// store is done, and after that only while a peer's mirror is more recent. During an outage of
    /// the store for all controllers, taking all of them out of service would only delay the
    /// recovery. A controller that reaches neither the store nor any peer is partitioned and
    /// reports itself unhealthy too: when it didn't, users whose requests reached it were refused
    /// for as long as the partition lasted.
    fn on_health_check(&mut self, request_id: RequestId) {
        let is_isolated = self.is_isolated_from_store() || self.all_peers_unreachable();
        let reply = if self.is_shutting_down() {
            Reply::later(503, 1, SHUTTING_DOWN)
        } else if self.is_stale() && (!self.store.is_initial_list_done() || is_isolated) {
            Reply::later(503, 1, "the state service doesn't answer")
        } else {
            Reply::ok(200, Vec::new())
        };
        self.answer(request_id, reply);
    }

    /// Maximum number of requests of one kind that wait at the same time.
    fn waiting_requests_max(&self) -> usize {
        let sockets = self.settings.platform.facts.resources.max_sockets;
        (sockets as f64 * WAITING_REQUESTS_MAX_FRACTION) as usize
    }

    /// Sends the requests to the store that waiting users' requests need, as far as the rate limits
    /// allow.
    pub(crate) fn advance_api(&mut self) {
        self.check_dependent_submissions();
        self.write_cancellations();
        self.read_missing_ends();
        self.write_submissions();
    }
}
