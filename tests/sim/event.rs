//! The events of a run and how they are dispatched.

use super::scenario::Line;
use super::users::Intent;
use super::world::World;
use salttrestle::controller::events::{Input, Reply};
use salttrestle::ids::{CallId, JobId};
use salttrestle::wire::{CloudRequest, StoreRequest};

/// One process of a controller. Inputs that were sent to a process don't reach later ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Process {
    /// The index of the controller.
    pub controller: usize,
    /// The host's incarnation when the input was sent. It increases at each start and each end of
    /// a process.
    pub incarnation: u64,
}

/// An event in the queue of a run.
pub(crate) enum Event {
    /// An input reaches a controller.
    Input { process: Process, input: Input },
    /// A controller's requested wake-up is due.
    Wake(Process),
    /// A controller process starts.
    Start(usize),
    /// A request reaches the store.
    StoreRequest {
        process: Process,
        call: CallId,
        request: StoreRequest,
    },
    /// A request reaches the cloud.
    CloudRequest {
        process: Process,
        call: CallId,
        request: CloudRequest,
    },
    /// A watch has reached the store's time limit without changes.
    WatchTimeout { process: Process, call: CallId },
    /// A machine has booted.
    MachineUp(String),
    /// A worker runs its tasks and sends a heartbeat if one is due.
    WorkerStep(String),
    /// The answer to a heartbeat reaches its worker. `reply` is `None` if the connection failed.
    HeartbeatAnswer {
        machine: String,
        request: u64,
        reply: Option<Reply>,
    },
    /// A user sends a request to a random running controller.
    UserRequest { job: JobId, intent: Intent },
    /// A user sends a request to a given controller.
    UserRequestTo {
        job: JobId,
        intent: Intent,
        controller: usize,
    },
    /// A user stops waiting for an answer.
    UserTimeout(u64),
    /// A line of the script is due, given by its index.
    Script(usize),
    /// A command that another command has scheduled.
    Line(Line),
    /// A delayed transaction is executed after its sender's timeout.
    LateTransaction(StoreRequest),
    /// A user sends a malformed request.
    MalformedRequest,
    /// A partition ends, given by its id.
    PartitionEnds(u64),
    /// The store expires leases. It does so every 100 ms, so that leases end up to 100 ms late.
    ExpireLeases,
    /// The periodic checks run.
    Check,
}

impl World {
    /// The time to which a controller's pause defers an event; `None` if the event isn't deferred.
    /// Only inputs and wake-ups are.
    fn deferred_until(&self, event: &Event) -> Option<u64> {
        let (Event::Input { process, .. } | Event::Wake(process)) = event else {
            return None;
        };
        let until = self.hosts[process.controller].paused_until;
        (until > self.now).then_some(until)
    }

    /// Handles an event, or defers it while its controller is paused.
    pub(super) fn handle(&mut self, event: Event) {
        if let Some(until) = self.deferred_until(&event) {
            return self.schedule_at(until, event);
        }
        match event {
            Event::Input { process, input } => self.deliver_input(process, input),
            Event::Wake(process) => self.handle_wake(process),
            Event::Start(controller) => self.start_controller(controller),
            Event::StoreRequest {
                process,
                call,
                request,
            } => self.execute_store_request(process, call, request),
            Event::CloudRequest {
                process,
                call,
                request,
            } => self.execute_cloud_request(process, call, &request),
            Event::WatchTimeout { process, call } => self.time_out_watch(process, call),
            Event::MachineUp(machine) => self.start_worker(&machine),
            Event::WorkerStep(machine) => self.step_worker(&machine),
            Event::HeartbeatAnswer {
                machine,
                request,
                reply,
            } => self.handle_heartbeat_answer(&machine, request, reply),
            Event::UserRequest { job, intent } => self.send_user_request(&job, intent),
            Event::UserRequestTo {
                job,
                intent,
                controller,
            } => self.send_user_request_to(&job, intent, controller),
            Event::UserTimeout(request) => self.handle_user_timeout(request),
            Event::Script(index) => {
                let line = self.script[index].clone();
                self.run_command(&line);
            }
            Event::Line(line) => self.run_command(&line),
            Event::LateTransaction(request) => self.execute_late_transaction(&request),
            Event::MalformedRequest => self.send_malformed_request(),
            Event::PartitionEnds(id) => self.end_partition(id),
            Event::ExpireLeases => self.expire_leases(),
            Event::Check => self.run_periodic_checks(),
        }
    }
}
