//! The users of one cell: they submit jobs, poll them, cancel some, and retry as the protocol says.

mod arrivals;
mod balancer;
mod submission;

use super::connections::Connections;
use super::jobs::{Jobs, SERVICE};
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
use salttrestle_fakes::user::{POLL_MS, POLL_WAIT_MS, WAIT_MS, read_answer, retry_ms};
use std::collections::HashMap;
use std::sync::Arc;

/// What a user requests of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    Submit,
    Poll,
    Cancel,
}

impl Operation {
    /// How long its response is awaited, in milliseconds.
    fn timeout_ms(self) -> u64 {
        match self {
            Self::Poll => POLL_WAIT_MS,
            Self::Submit | Self::Cancel => WAIT_MS,
        }
    }
}

/// A user's request.
struct Request {
    job: JobId,
    operation: Operation,
}

/// A request whose response is awaited.
struct InFlight {
    request: Request,
    controller: usize,
    deadline_ms: u64,
}

/// The users of one cell.
pub(super) struct Users {
    plan: Arc<CellPlan>,
    shared: Arc<SharedState>,
    /// The jobs that they have submitted.
    pub(super) jobs: Jobs,
    arrivals: Arrivals,
    balancer: Balancer,
    /// Requests that are due at a time, by a sequence number.
    requests: Timers<u64, Request>,
    last_request: u64,
    /// Requests in flight, by connection.
    in_flight: HashMap<usize, InFlight>,
    /// Batch and urgent jobs whose end their users don't know.
    pub(super) open_jobs: usize,
    /// Requests without a valid response.
    pub(super) failures: u64,
}

impl Users {
    /// Users who wait for the load to begin.
    pub(super) fn new(plan: Arc<CellPlan>, shared: Arc<SharedState>) -> Self {
        Self {
            balancer: Balancer::new(&plan.addresses.controllers),
            plan,
            shared,
            jobs: Jobs::default(),
            arrivals: Arrivals::new(),
            requests: Timers::new(),
            last_request: 0,
            in_flight: HashMap::new(),
            open_jobs: 0,
            failures: 0,
        }
    }

    /// The load begins.
    pub(super) fn start_load(&mut self, now: u64) {
        self.arrivals.begin(now, &self.plan);
    }

    /// Changes the rate of batch jobs, as a multiple of the initial one.
    pub(super) fn set_load_factor(&mut self, now: u64, factor: f64) {
        self.arrivals.set_batch_factor(now, factor);
    }

    /// Number of controllers whose latest health probe succeeded.
    pub(super) fn healthy_controllers(&self) -> usize {
        self.balancer.healthy()
    }

    /// Sends all requests and probes that are due.
    pub(super) fn tick(&mut self, now: u64, connections: &mut Connections, rng: &mut StdRng) {
        while let Some(due) = self.arrivals.next_due(now) {
            self.submit(now, &due);
        }
        self.balancer.probe(now, connections);
        self.time_out(now, connections);
        while let Some((_, request)) = self.requests.pop_due(now) {
            self.send(now, request, connections, rng);
        }
    }

    fn submit(&mut self, now: u64, due: &DueJob) {
        let load = &self.plan.load;
        let id = format!("{}{}-{}", self.plan.name, due.class, due.number);
        let team = team_name(due.number as usize % load.teams);
        let job = submission::job(&id, due.class, &team, load);
        let id = JobId::from(id.as_str());
        if let Ok((_, record)) = wire::submission(&job.body) {
            self.shared.checker().submitted(now, &id, record);
        }
        if due.class != SERVICE {
            self.open_jobs += 1;
        }
        self.jobs.insert(id.clone(), job);
        self.schedule(now, id, Operation::Submit);
    }

    fn schedule(&mut self, at_ms: u64, job: JobId, operation: Operation) {
        self.last_request += 1;
        let request = Request { job, operation };
        self.requests.insert(at_ms, self.last_request, request);
    }

    fn send(
        &mut self,
        now: u64,
        request: Request,
        connections: &mut Connections,
        rng: &mut StdRng,
    ) {
        let Some(controller) = self.balancer.pick(rng) else {
            return self.complete(now, request, None, rng);
        };
        let Ok(key) = self.balancer.connection(controller, connections) else {
            return self.complete(now, request, None, rng);
        };
        let host = self.balancer.address(controller).to_string();
        let bytes = self.encode(now, &request, &host);
        connections.send(key, &bytes);
        let deadline_ms = now + request.operation.timeout_ms();
        let in_flight = InFlight {
            request,
            controller,
            deadline_ms,
        };
        self.in_flight.insert(key, in_flight);
    }

    /// The request as it is sent. A cancellation counts from now on.
    fn encode(&self, now: u64, request: &Request, host: &str) -> Vec<u8> {
        let id = &request.job;
        match request.operation {
            Operation::Submit => {
                let body = self.jobs.submission(id);
                http::request("POST", "/work", host, body)
            }
            Operation::Poll => http::request("GET", &format!("/work/{id}"), host, None),
            Operation::Cancel => {
                self.shared.checker().cancel_asked(now, id);
                http::request("POST", &format!("/work/{id}/withdraw"), host, Some(&[]))
            }
        }
    }

    /// Abandons the requests whose deadline has passed, and schedules their retries.
    fn time_out(&mut self, now: u64, connections: &mut Connections) {
        let in_flight = self.in_flight.iter();
        let expired: Vec<usize> = in_flight
            .filter(|(_, in_flight)| now >= in_flight.deadline_ms)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            connections.close(key);
            if let Some(InFlight { request, .. }) = self.in_flight.remove(&key) {
                self.failures += 1;
                self.schedule(now + retry_ms(None), request.job, request.operation);
            }
        }
    }

    /// A health probe was answered, or its connection is closed (`None`).
    pub(super) fn probed(
        &mut self,
        controller: usize,
        key: usize,
        status: Option<u16>,
        connections: &mut Connections,
    ) {
        self.balancer.probed(controller, key, status, connections);
    }

    /// A response was received.
    pub(super) fn responded(
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
            .release(controller, key, !response.close, connections);
        self.complete(now, in_flight.request, Some(response), rng);
    }

    /// A connection is closed, and with it the response that was awaited.
    pub(super) fn closed(&mut self, now: u64, key: usize, rng: &mut StdRng) {
        self.balancer.closed(key);
        if let Some(in_flight) = self.in_flight.remove(&key) {
            self.complete(now, in_flight.request, None, rng);
        }
    }

    /// A request has ended, with or without a response.
    fn complete(
        &mut self,
        now: u64,
        request: Request,
        response: Option<&Message>,
        rng: &mut StdRng,
    ) {
        let observation =
            response.and_then(|message| read_answer(message.status()?, &message.body));
        let Some(observation) = observation else {
            self.failures += 1;
            let retry_after_s = response.and_then(|message| message.retry_after);
            let retry_at = now + retry_ms(retry_after_s);
            return self.schedule(retry_at, request.job, request.operation);
        };
        self.shared.checker().said(now, &request.job, observation);
        match observation {
            JobAnswer::Done | JobAnswer::Cancelled | JobAnswer::Refused => {
                self.job_ended(&request.job);
            }
            JobAnswer::Queued | JobAnswer::Running | JobAnswer::Unknown => {
                self.follow_up(now, request, rng);
            }
        }
    }

    fn job_ended(&mut self, job: &JobId) {
        // A cancellation and a poll may both report the end.
        let is_new = self.shared.record_ended(job);
        if is_new && self.jobs.is_finite(job) {
            self.open_jobs -= 1;
        }
    }

    /// Schedules the next request for a job that hasn't ended.
    fn follow_up(&mut self, now: u64, request: Request, rng: &mut StdRng) {
        let Request { job, operation } = request;
        match operation {
            Operation::Submit => {
                self.schedule(now + POLL_MS, job.clone(), Operation::Poll);
                let load = &self.plan.load;
                if self.jobs.is_finite(&job) && rng.random_bool(load.cancelled_fraction) {
                    let wait_ms = rng.random_range(0.0..load.batch_run_s * 1000.0) as u64;
                    self.schedule(now + wait_ms, job, Operation::Cancel);
                }
            }
            Operation::Poll => self.schedule(now + POLL_MS, job, Operation::Poll),
            Operation::Cancel => self.schedule(now + retry_ms(None), job, Operation::Cancel),
        }
    }
}
