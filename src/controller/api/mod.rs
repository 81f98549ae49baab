//! What users ask: submissions, questions, cancellations, and whether the node is up.
//!
//! [`submissions`] checks and commits jobs, [`status_queries`] answers what is known of them, and
//! [`cancellations`] marks them and tells their users once nothing of them is left.

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
    asked: Time,
}

/// A submission that names jobs which are looked up first: those that were accepted before it
/// came are known once a read that was sent after it has been caught up with, or their ends are
/// read.
#[derive(Debug)]
pub(crate) struct DependentSubmission {
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
    Cancel,
}

/// A question that waits for a fresh read.
#[derive(Clone, Debug)]
pub(crate) struct StatusQuery {
    request_id: RequestId,
    id: JobId,
    intent: Intent,
    asked: Time,
    /// The last call sent before it was asked. Only the answer to a later one is news of
    /// a moment after it; clocks can't tell, since a millisecond holds both.
    after: CallId,
}

#[derive(Debug, Default)]
pub(crate) struct Api {
    submissions: VecDeque<Submission>,
    status_queries: VecDeque<StatusQuery>,
    /// Questions whose job isn't among the live ones: its end is still to be read.
    unknown: VecDeque<StatusQuery>,
    cancellations: VecDeque<StatusQuery>,
    /// Submissions that name jobs of which it isn't known here that they were accepted.
    awaiting_dependencies: VecDeque<DependentSubmission>,
    /// Cancellations that are marked, and told once no task of their job is left; and questions
    /// about jobs that are cancelled with one that they depend on, until their end is committed.
    leaving: VecDeque<StatusQuery>,
    /// The last call sent before the newest request came that isn't a mere question: a
    /// cancellation, or a submission that has to be looked up.
    urgent: Option<CallId>,
    /// Who is to be told that a job is over, and not before when.
    delayed_endings: VecDeque<(Time, RequestId, JobId, Ending)>,
}

/// Users wait 2 s for the answer to a question, and 5 s for other ones.
const QUESTION_S: f64 = 1.5;
const SUBMIT_S: f64 = 3.0;
/// What a controller that hands over answers to those who would wait for it.
const ABOUT_TO_END: &str = "this controller is about to end";
/// Most requests of a kind that wait at once, as a share of the sockets. What comes on top
/// is told when to come back.
const WAITING_SHARE: f64 = 0.8;

impl Api {
    /// Requests that wait to be written.
    pub(crate) fn backlog(&self) -> usize {
        self.submissions.len() + self.awaiting_dependencies.len() + self.cancellations.len()
    }

    /// When somebody is next to be told that a job is over.
    pub(crate) fn first_delayed_ending(&self) -> Option<Time> {
        self.delayed_endings.iter().map(|(at, ..)| *at).min()
    }

    /// The requests that wait for a read of the store's revision sent after them.
    pub(crate) fn revision_demand(&self) -> RevisionDemand {
        RevisionDemand {
            status_query: self.status_queries.back().map(|query| query.after),
            urgent: self.urgent,
        }
    }
}

impl Controller {
    pub(crate) fn on_request(&mut self, request_id: RequestId, ask: Request) {
        match ask {
            Request::Up => self.context.on_up(request_id),
            Request::Heartbeat(report) => self.on_worker_heartbeat(request_id, report),
            Request::Submit(_) if self.context.shutting_down() => {
                self.context
                    .answer(request_id, Reply::later(503, 1, ABOUT_TO_END));
            }
            Request::Submit(Ok((id, record))) => self.context.on_submit(request_id, id, record),
            Request::Submit(Err(bad)) => self.context.on_malformed(request_id, bad),
            Request::Poll(id) => self.context.on_status_query(request_id, id, Intent::Poll),
            Request::Cancel(id) => self.context.on_status_query(request_id, id, Intent::Cancel),
        }
    }

    pub(crate) fn on_disconnect(&mut self, request_id: RequestId) {
        self.context.forget_heartbeat(request_id);
        for h in self.shards.values_mut() {
            h.forget_request(request_id);
        }
    }

    /// Gives up what can't be answered in time. The answer goes out at once.
    pub(crate) fn api_housekeeping(&mut self) {
        let (now, mut late) = (self.context.now, self.blocked_cancellations());
        let cancellation_wait_s = self.context.settings.cancellation_wait_s();
        let facts = &mut self.context.api;
        facts
            .leaving
            .retain(|query| !late.contains(&query.request_id));
        for (queue, most_s) in [
            (&mut facts.status_queries, QUESTION_S),
            (&mut facts.unknown, QUESTION_S),
            (&mut facts.cancellations, QUESTION_S),
            (&mut facts.leaving, cancellation_wait_s),
        ] {
            queue.retain(|query| {
                let most_s = match query.intent {
                    Intent::Poll => QUESTION_S.min(most_s),
                    _ => most_s,
                };
                let keep = now.since(query.asked) < most_s;
                if !keep {
                    late.push(query.request_id);
                }
                keep
            });
        }
        let mut in_time = |s: &Submission| {
            let keep = now.since(s.asked) < SUBMIT_S;
            if !keep {
                late.push(s.request_id);
            }
            keep
        };
        facts.submissions.retain(&mut in_time);
        facts
            .awaiting_dependencies
            .retain(|n| in_time(&n.submission));
        for request_id in late {
            self.context.answer(
                request_id,
                Reply::later(503, 2, "the state service is slow"),
            );
        }
    }
}

impl Context {
    /// Unhealthy only while a peer does better: if nobody sees the store,
    /// taking all nodes away would only slow the return. Who neither sees it nor hears any
    /// peer is partitioned, and users who reach it were refused for as long as that lasted.
    fn on_up(&mut self, request_id: RequestId) {
        let alone = self.isolated_from_store() || self.peers_unreachable();
        let reply = if self.shutting_down() {
            Reply::later(503, 1, ABOUT_TO_END)
        } else if self.is_stale() && (!self.store.initial_list_done() || alone) {
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

    pub(crate) fn pump_api(&mut self) {
        self.check_named_dependencies();
        self.write_cancellations();
        self.read_unknown_ends();
        self.write_submissions();
    }
}
