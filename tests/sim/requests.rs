//! Requests of workers and users to controllers, and the way back of their answers.

use super::event::Event;
use super::users::Intent;
use super::world::World;
use salttrestle::controller::events::{Input, Reply};
use salttrestle::ids::{JobId, RequestId};

/// Who waits for a request's answer.
pub(crate) enum RequestOrigin {
    /// A machine's worker, which has sent a heartbeat.
    Worker(String),
    /// A job's user.
    User { job: JobId, intent: Intent },
    /// Nobody: it is a late copy.
    Copy,
}

impl World {
    /// A new request's id.
    pub(super) fn new_request(&mut self, origin: RequestOrigin) -> RequestId {
        self.last_request += 1;
        self.origins.insert(self.last_request, origin);
        RequestId(self.last_request)
    }

    /// Sends an input to the process that a controller runs now.
    pub(super) fn send_input(&mut self, controller: usize, delay: u64, input: Input) {
        let process = self.process(controller);
        self.after(delay, Event::Input { process, input });
    }

    /// A worker sends a request to a controller, if it reaches that.
    pub(super) fn send_from_worker(&mut self, machine: &str, controller: usize, input: Input) {
        if self.worker_partitioned(controller, machine) {
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
            self.after(1, refused);
        }
    }

    /// A controller answers a request.
    pub(super) fn controller_answers(&mut self, controller: usize, request: u64, reply: Reply) {
        let open = &mut self.hosts[controller].requests;
        open.retain(|other| *other != request);
        if let Some(RequestOrigin::Worker(machine)) = self.origins.get(&request)
            && self.worker_partitioned(controller, machine)
        {
            return;
        }
        self.deliver(request, Some(reply));
    }

    /// Brings an answer to who waits for it; without a reply the connection failed.
    pub(super) fn deliver(&mut self, request: u64, reply: Option<Reply>) {
        match self.origins.remove(&request) {
            Some(RequestOrigin::Worker(machine)) => {
                let answer = Event::HeartbeatAnswer {
                    machine,
                    request,
                    reply,
                };
                self.after(1, answer);
            }
            Some(RequestOrigin::User { job, intent }) => {
                self.note_refusal(request, &job, intent, reply.as_ref());
                self.user_answered(job, intent, reply);
            }
            Some(RequestOrigin::Copy) | None => {}
        }
    }

    /// A user has waited for an answer as long as users do.
    pub(super) fn user_timeout(&mut self, request: u64) {
        if let Some(RequestOrigin::User { job, intent }) = self.origins.remove(&request) {
            self.user_answered(job, intent, None);
        }
    }
}
