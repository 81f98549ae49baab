//! Requests of users: submissions, status queries, cancellations, and whether the controller is up.
//!
//! [`submissions`] checks and commits jobs, [`status_queries`] reports their status, and
//! [`cancellations`] marks them and notifies their users once no task of them is left.

mod cancellations;
mod status_queries;
mod submissions;

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::events::{Reply, Request};
use crate::controller::store::RevisionDemand;
use crate::controller::store::records::{Ending, JobRecord};
use crate::ids::{CallId, JobId, RequestId, Time};
use std::collections::VecDeque;

/// A submission that waits for its commit.
#[derive(Debug)]
pub(crate) struct Submission {
    request_id: RequestId,
    id: JobId,
    record: JobRecord,
    received_at: Time,
}

/// A submission with dependencies that aren't all known to be accepted. A dependency that was
/// accepted before the submission came is known once the mirror has caught up with a read that was
/// sent after it, or its end is read.
#[derive(Debug)]
pub(crate) struct DependentSubmission {
    submission: Submission,
    /// The last call sent before it came.
    preceding_call: CallId,
}

/// What a status query leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Intent {
    /// The job's status is returned.
    Poll,
    /// The same for a job that seems to have been submitted before; if it wasn't, the user is
    /// asked to retry.
    Resubmission,
    /// The request is refused with this status, 400 or 422, unless the job is known.
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
    /// The last call sent before the query came. Only the response to a later one shows a state
    /// after that moment; clocks can't tell, since a millisecond holds both.
    preceding_call: CallId,
}

/// The reply that a job is over, kept back until no controller can send an older status.
#[derive(Debug)]
struct DelayedEnding {
    due: Time,
    request_id: RequestId,
    id: JobId,
    ending: Ending,
}

/// The users' requests that wait for something.
#[derive(Debug, Default)]
pub(crate) struct Api {
    submissions: VecDeque<Submission>,
    status_queries: VecDeque<StatusQuery>,
    /// Queries whose job isn't among the live ones: its end is still to be read.
    awaiting_end_read: VecDeque<StatusQuery>,
    /// Cancellations that are still to be written.
    cancellations: VecDeque<StatusQuery>,
    /// Submissions with dependencies that aren't known here to be accepted.
    dependent_submissions: VecDeque<DependentSubmission>,
    /// Queries that are answered once the end of their job is committed: cancellations that are
    /// written, and queries on jobs that are cancelled with one that they depend on.
    awaiting_end: VecDeque<StatusQuery>,
    /// The last call sent before the newest request that is more than a poll: a cancellation, or a
    /// submission that needs a read.
    last_urgent: Option<CallId>,
    delayed_endings: VecDeque<DelayedEnding>,
}

/// A query is given up after this time, in seconds: users wait 2 s for its answer.
const QUERY_TIMEOUT_S: f64 = 1.5;
/// A submission is given up after this time, in seconds: users wait 5 s for its answer.
const SUBMISSION_TIMEOUT_S: f64 = 3.0;
/// Reason in the replies of a controller that shuts down.
const SHUTTING_DOWN: &str = "this controller is about to end";
/// Most requests of a kind that wait at once, as a share of the sockets. Further ones get a time
/// after which to retry.
const WAITING_SHARE: f64 = 0.8;

impl Api {
    /// Number of requests that wait to be written.
    pub(crate) fn backlog(&self) -> usize {
        self.submissions.len() + self.dependent_submissions.len() + self.cancellations.len()
    }

    /// When the next delayed reply is due.
    pub(crate) fn first_delayed_ending(&self) -> Option<Time> {
        self.delayed_endings.iter().map(|delayed| delayed.due).min()
    }

    /// The requests that wait for a read of the store's revision sent after them.
    pub(crate) fn revision_demand(&self) -> RevisionDemand {
        RevisionDemand {
            status_query: self.status_queries.back().map(|query| query.preceding_call),
            urgent: self.last_urgent,
        }
    }

    /// Removes the requests that have waited too long, cancellations after `cancellation_s`.
    fn remove_timed_out(&mut self, now: Time, cancellation_s: f64) -> Vec<RequestId> {
        let mut timed_out = Vec::new();
        for (queue, timeout_s) in [
            (&mut self.status_queries, QUERY_TIMEOUT_S),
            (&mut self.awaiting_end_read, QUERY_TIMEOUT_S),
            (&mut self.cancellations, QUERY_TIMEOUT_S),
            (&mut self.awaiting_end, cancellation_s),
        ] {
            queue.retain(|query| {
                let timeout_s = match query.intent {
                    Intent::Poll => QUERY_TIMEOUT_S.min(timeout_s),
                    _ => timeout_s,
                };
                let keep = now.since(query.received_at) < timeout_s;
                if !keep {
                    timed_out.push(query.request_id);
                }
                keep
            });
        }
        let mut in_time = |submission: &Submission| {
            let keep = now.since(submission.received_at) < SUBMISSION_TIMEOUT_S;
            if !keep {
                timed_out.push(submission.request_id);
            }
            keep
        };
        self.submissions.retain(&mut in_time);
        self.dependent_submissions
            .retain(|dependent| in_time(&dependent.submission));
        timed_out
    }
}

impl Controller {
    /// Routes a request of a user, a worker or the balancer.
    pub(crate) fn on_request(&mut self, request_id: RequestId, request: Request) {
        match request {
            Request::Up => self.context.on_up(request_id),
            Request::Heartbeat(report) => self.on_worker_heartbeat(request_id, report),
            Request::Submit(_) if self.context.shutting_down() => {
                self.context
                    .answer(request_id, Reply::later(503, 1, SHUTTING_DOWN));
            }
            Request::Submit(Ok((id, record))) => self.context.on_submit(request_id, id, record),
            Request::Submit(Err(error)) => self.context.on_malformed(request_id, error),
            Request::Poll(id) => self.context.on_status_query(request_id, id, Intent::Poll),
            Request::Cancel(id) => self.context.on_status_query(request_id, id, Intent::Cancel),
        }
    }

    /// Drops what waits to answer a request whose sender has disconnected.
    pub(crate) fn on_disconnect(&mut self, request_id: RequestId) {
        self.context.forget_heartbeat(request_id);
        for owner in self.shards.values_mut() {
            owner.drop_long_poll(request_id);
        }
    }

    /// Refuses at once the requests that can't be answered in time.
    pub(crate) fn api_housekeeping(&mut self) {
        let mut given_up = self.blocked_cancellations();
        let cancellation_s = self.context.settings.cancellation_wait_s();
        let now = self.context.now;
        let api = &mut self.context.api;
        api.awaiting_end
            .retain(|query| !given_up.contains(&query.request_id));
        given_up.extend(api.remove_timed_out(now, cancellation_s));
        for request_id in given_up {
            self.context.answer(
                request_id,
                Reply::later(503, 2, "the state service is slow"),
            );
        }
    }
}

impl Context {
    /// Answers the balancer. A controller whose view of the store is stale is unhealthy only while
    /// a peer does better: if none sees the store, taking all out would only slow the return. One
    /// that neither sees the store nor hears any peer is partitioned: without this, users who
    /// reached it were refused for as long as that lasted.
    fn on_up(&mut self, request_id: RequestId) {
        let isolated = self.isolated_from_store() || self.peers_unreachable();
        let reply = if self.shutting_down() {
            Reply::later(503, 1, SHUTTING_DOWN)
        } else if self.is_stale() && (!self.store.is_initial_list_done() || isolated) {
            Reply::later(503, 1, "the state service doesn't answer")
        } else {
            Reply::ok(200, Vec::new())
        };
        self.answer(request_id, reply);
    }

    /// Most requests of a kind that wait at once.
    fn waiting_max(&self) -> usize {
        let sockets = self.settings.platform.facts.resources.max_sockets;
        (sockets as f64 * WAITING_SHARE) as usize
    }

    /// Sends the store requests that the waiting requests of users need, as far as the rate limits
    /// allow.
    pub(crate) fn advance_api(&mut self) {
        self.check_dependent_submissions();
        self.write_cancellations();
        self.read_missing_ends();
        self.write_submissions();
    }
}
