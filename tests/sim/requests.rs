//! Requests of workers and users to controllers, and the routing of answers to their senders.

use super::event::Event;
use super::users::Intent;
use super::world::World;
use salttrestle::controller::events::{Input, Reply};
use salttrestle::ids::{JobId, RequestId};

/// The sender of a request, to whom the answer goes.
pub(crate) enum RequestOrigin {
    /// The worker of a machine, for a heartbeat.
    Worker(String),
    /// The user of a job.
    User { job: JobId, intent: Intent },
    /// A copy of an earlier heartbeat; its answer is dropped.
    Copy,
}

impl World {
    /// Registers a request and returns its id.
    pub(super) fn register_request(&mut self, origin: RequestOrigin) -> RequestId {
        self.last_request += 1;
        self.request_origins.insert(self.last_request, origin);
        RequestId(self.last_request)
    }

    /// Sends an input to the process that a controller host runs now.
    pub(super) fn send_input(&mut self, controller: usize, delay: u64, input: Input) {
        let process = self.current_process(controller);
        self.schedule_after(delay, Event::Input { process, input });
    }

    /// Sends a worker's request to a controller. A partition drops the request; a controller that
    /// is down refuses the connection.
    pub(super) fn send_from_worker(&mut self, machine: &str, controller: usize, input: Input) {
        if self.is_partitioned_from_worker(controller, machine) {
            return;
        }
        if self.hosts[controller].controller.is_some() {
            return self.send_input(controller, 1, input);
        }
        if let Input::Request(request, _) = input {
            let refused = Event::HeartbeatAnswer {
                machine: machine.into(),
                request: request.0,
                reply: None,
            };
            self.schedule_after(1, refused);
        }
    }

    /// Routes a controller's answer to a request. A partition drops answers to workers.
    pub(super) fn handle_controller_answer(
        &mut self,
        controller: usize,
        request: u64,
        reply: Reply,
    ) {
        let open = &mut self.hosts[controller].open_requests;
        open.retain(|other| *other != request);
        if let Some(RequestOrigin::Worker(machine)) = self.request_origins.get(&request)
            && self.is_partitioned_from_worker(controller, machine)
        {
            return;
        }
        self.deliver_answer(request, Some(reply));
    }

    /// Delivers an answer to the sender of the request. `reply` is `None` if the connection failed.
    pub(super) fn deliver_answer(&mut self, request: u64, reply: Option<Reply>) {
        match self.request_origins.remove(&request) {
            Some(RequestOrigin::Worker(machine)) => {
                let answer = Event::HeartbeatAnswer {
                    machine,
                    request,
                    reply,
                };
                self.schedule_after(1, answer);
            }
            Some(RequestOrigin::User { job, intent }) => {
                self.record_refused_cancellation(request, &job, intent, reply.as_ref());
                self.handle_user_answer(job, intent, reply);
            }
            Some(RequestOrigin::Copy) | None => {}
        }
    }

    /// Handles a user's timeout, unless the request was answered before.
    pub(super) fn handle_user_timeout(&mut self, request: u64) {
        if let Some(RequestOrigin::User { job, intent }) = self.request_origins.remove(&request) {
            self.handle_user_answer(job, intent, None);
        }
    }
}
