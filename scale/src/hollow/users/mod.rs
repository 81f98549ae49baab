//! The users of one cell. They submit jobs, poll their status, cancel some of them, and retry
//! failed requests after the protocol's delays.

mod arrivals;
mod balancer;
mod submission;

use super::connections::Connections;
use super::jobs::{Jobs, SERVICE_CLASS};
use super::plan::CellPlan;
use super::shared::SharedState;
use super::timers::Timers;
use crate::layout::team_name;
use arrivals::{Arrivals, DueJob};
use balancer::Balancer;
use rand::RngExt;
use rand::rngs::StdRng;
use salttrestle::http::{self, Message};
use salttrestle::ids::JobId;
use salttrestle::wire;
use salttrestle_fakes::checker::JobAnswer;
use salttrestle_fakes::user::{
    POLL_INTERVAL_MS, POLL_TIMEOUT_MS, REQUEST_TIMEOUT_MS, parse_answer, retry_delay_ms,
};
use std::collections::HashMap;
use std::sync::Arc;

/// Operations of a user on a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    Submit,
    Poll,
    Cancel,
}

impl Operation {
    /// Timeout of the request, in milliseconds.
    fn timeout_ms(self) -> u64 {
        match self {
            Self::Poll => POLL_TIMEOUT_MS,
            Self::Submit | Self::Cancel => REQUEST_TIMEOUT_MS,
        }
    }
}

/// A request of a user.
struct Request {
    job: JobId,
    operation: Operation,
}

/// A request that was sent and hasn't been answered yet.
struct InFlight {
    request: Request,
    controller: usize,
    deadline_ms: u64,
}

/// The users of one cell.
pub(super) struct Users {
    plan: Arc<CellPlan>,
    shared: Arc<SharedState>,
    /// The submitted jobs.
    pub(super) jobs: Jobs,
    arrivals: Arrivals,
    balancer: Balancer,
    /// Requests by their time of sending; a sequence number keeps those of the same time in order.
    scheduled_requests: Timers<u64, Request>,
    last_request_number: u64,
    /// Requests in flight, by the key of their connection.
    in_flight: HashMap<usize, InFlight>,
    /// Number of batch and urgent jobs whose users haven't been told of their end.
    pub(super) open_jobs: usize,
    /// Number of requests without a valid response, each of which is retried.
    pub(super) failed_requests: u64,
}

impl Users {
    /// Builds users that submit nothing until `start_load` is called.
    pub(super) fn new(plan: Arc<CellPlan>, shared: Arc<SharedState>) -> Self {
        Self {
            balancer: Balancer::new(&plan.addresses.controllers),
            plan,
            shared,
            jobs: Jobs::default(),
            arrivals: Arrivals::new(),
            scheduled_requests: Timers::new(),
            last_request_number: 0,
            in_flight: HashMap::new(),
            open_jobs: 0,
            failed_requests: 0,
        }
    }

    /// Starts the load.
    pub(super) fn start_load(&mut self, now: u64) {
        self.arrivals.start(now, &self.plan);
    }

    /// Sets the rate of batch jobs, as a multiple of the initial rate.
    pub(super) fn set_load_factor(&mut self, now: u64, factor: f64) {
        self.arrivals.set_batch_factor(now, factor);
    }

    /// Returns the number of controllers whose latest health probe succeeded.
    pub(super) fn healthy_controller_count(&self) -> usize {
        self.balancer.healthy_count()
    }

    /// Submits the jobs that are due, probes the controllers, retries requests that have timed out,
    /// and sends all scheduled requests that are due.
    pub(super) fn tick(&mut self, now: u64, connections: &mut Connections, rng: &mut StdRng) {
        while let Some(due) = self.arrivals.pop_due(now) {
            self.submit(now, &due);
        }
        self.balancer.send_due_probes(now, connections);
        self.expire_requests(now, connections);
        while let Some((_, request)) = self.scheduled_requests.pop_due(now) {
            self.send(now, request, connections, rng);
        }
    }

    fn submit(&mut self, now: u64, due: &DueJob) {
        let load = &self.plan.load;
        let id = format!("{}{}-{}", self.plan.name, due.class, due.number);
        let team = team_name(due.number as usize % load.teams);
        let job = submission::build_job(&id, due.class, &team, load);
        let id = JobId::from(id.as_str());
        if let Ok((_, record)) = wire::parse_submission(&job.submission) {
            self.shared.checker().record_submission(now, &id, record);
        }
        if due.class != SERVICE_CLASS {
            self.open_jobs += 1;
        }
        self.jobs.insert(id.clone(), job);
        self.schedule(now, id, Operation::Submit);
    }

    fn schedule(&mut self, at_ms: u64, job: JobId, operation: Operation) {
        self.last_request_number += 1;
        let request = Request { job, operation };
        self.scheduled_requests
            .insert(at_ms, self.last_request_number, request);
    }

    fn send(
        &mut self,
        now: u64,
        request: Request,
        connections: &mut Connections,
        rng: &mut StdRng,
    ) {
        let Some(controller) = self.balancer.pick_healthy(rng) else {
            return self.complete_request(now, request, None, rng);
        };
        let Ok(key) = self.balancer.take_connection(controller, connections) else {
            return self.complete_request(now, request, None, rng);
        };
        let host = self.balancer.address(controller).to_string();
        let bytes = self.encode_request(now, &request, &host);
        connections.send(key, &bytes);
        let deadline_ms = now + request.operation.timeout_ms();
        let in_flight = InFlight {
            request,
            controller,
            deadline_ms,
        };
        self.in_flight.insert(key, in_flight);
    }

    /// Encodes a request. The checker counts a cancellation as requested from the time at which it
    /// is sent.
    fn encode_request(&self, now: u64, request: &Request, host: &str) -> Vec<u8> {
        let id = &request.job;
        match request.operation {
            Operation::Submit => {
                let body = self.jobs.submission(id);
                http::request("POST", "/work", host, body)
            }
            Operation::Poll => http::request("GET", &format!("/work/{id}"), host, None),
            Operation::Cancel => {
                self.shared.checker().record_cancel_request(now, id);
                http::request("POST", &format!("/work/{id}/withdraw"), host, Some(&[]))
            }
        }
    }

    /// Closes the connections of requests that have timed out, and schedules the retries.
    fn expire_requests(&mut self, now: u64, connections: &mut Connections) {
        let in_flight = self.in_flight.iter();
        let expired_keys: Vec<usize> = in_flight
            .filter(|(_, in_flight)| now >= in_flight.deadline_ms)
            .map(|(key, _)| *key)
            .collect();
        for key in expired_keys {
            connections.close(key);
            if let Some(InFlight { request, .. }) = self.in_flight.remove(&key) {
                self.failed_requests += 1;
                self.schedule(now + retry_delay_ms(None), request.job, request.operation);
            }
        }
    }

    /// Handles the status of a health probe's response, or the close of its connection (`None`).
    pub(super) fn handle_probe_result(
        &mut self,
        controller: usize,
        key: usize,
        status: Option<u16>,
        connections: &mut Connections,
    ) {
        self.balancer
            .handle_probe_result(controller, key, status, connections);
    }

    /// Handles a controller's response to a user.
    pub(super) fn handle_response(
        &mut self,
        now: u64,
        key: usize,
        response: &Message,
        connections: &mut Connections,
        rng: &mut StdRng,
    ) {
        let Some(in_flight) = self.in_flight.remove(&key) else {
            return;
        };
        let controller = in_flight.controller;
        self.balancer
            .release_connection(controller, key, !response.closes_connection, connections);
        self.complete_request(now, in_flight.request, Some(response), rng);
    }

    /// Handles the close of a user's connection: a request in flight on it has failed.
    pub(super) fn handle_close(&mut self, now: u64, key: usize, rng: &mut StdRng) {
        self.balancer.remove_connection(key);
        if let Some(in_flight) = self.in_flight.remove(&key) {
            self.complete_request(now, in_flight.request, None, rng);
        }
    }

    /// Completes a request: passes a valid response to the checker and schedules the next request
    /// for the job, or schedules a retry.
    fn complete_request(
        &mut self,
        now: u64,
        request: Request,
        response: Option<&Message>,
        rng: &mut StdRng,
    ) {
        let answer = response.and_then(|message| parse_answer(message.status()?, &message.body));
        let Some(answer) = answer else {
            self.failed_requests += 1;
            let retry_after_s = response.and_then(|message| message.retry_after);
            let retry_at = now + retry_delay_ms(retry_after_s);
            return self.schedule(retry_at, request.job, request.operation);
        };
        self.shared
            .checker()
            .record_answer(now, &request.job, answer);
        match answer {
            JobAnswer::Done | JobAnswer::Cancelled | JobAnswer::Refused => {
                self.record_job_end(&request.job);
            }
            JobAnswer::Queued | JobAnswer::Running | JobAnswer::Unknown => {
                self.schedule_next_request(now, request, rng);
            }
        }
    }

    fn record_job_end(&mut self, job: &JobId) {
        // A poll and a cancellation of the same job may both report its end.
        let is_new = self.shared.record_job_end(job);
        if is_new && self.jobs.is_finite(job) {
            self.open_jobs -= 1;
        }
    }

    /// Schedules the next request for a job that hasn't ended.
    fn schedule_next_request(&mut self, now: u64, request: Request, rng: &mut StdRng) {
        let Request { job, operation } = request;
        match operation {
            Operation::Submit => {
                self.schedule(now + POLL_INTERVAL_MS, job.clone(), Operation::Poll);
                let load = &self.plan.load;
                if self.jobs.is_finite(&job) && rng.random_bool(load.cancelled_fraction) {
                    let wait_ms = rng.random_range(0.0..load.batch_run_s * 1000.0) as u64;
                    self.schedule(now + wait_ms, job, Operation::Cancel);
                }
            }
            Operation::Poll => self.schedule(now + POLL_INTERVAL_MS, job, Operation::Poll),
            Operation::Cancel => self.schedule(now + retry_delay_ms(None), job, Operation::Cancel),
        }
    }
}
