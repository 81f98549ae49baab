//! Everything that happens at a moment of simulated time.

use super::scenario::Line;
use super::users::Intent;
use super::world::World;
use salttrestle::controller::events::{Input, Reply};
use salttrestle::ids::{CallId, JobId};
use salttrestle::wire::{CloudRequest, StoreRequest};

/// One process of a controller: what was meant for an earlier one doesn't reach the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Process {
    /// The controller, by its place among all.
    pub controller: usize,
    /// Rises with each start and each end.
    pub incarnation: u64,
}

/// Something that happens at a moment.
pub(crate) enum Event {
    /// An input reaches a controller.
    Input { process: Process, input: Input },
    /// A controller has asked to be woken.
    Wake(Process),
    /// A controller's process starts.
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
    /// A watch has waited for changes as long as it may.
    WatchTimeout { process: Process, call: CallId },
    /// A machine comes up.
    MachineUp(String),
    /// A worker does what is due.
    WorkerTick(String),
    /// The answer to a heartbeat reaches its worker; without a reply the connection failed.
    HeartbeatAnswer {
        machine: String,
        request: u64,
        reply: Option<Reply>,
    },
    /// A user sends a request to any controller.
    UserRequest { job: JobId, intent: Intent },
    /// A user sends a request to this controller.
    UserRequestTo {
        job: JobId,
        intent: Intent,
        controller: usize,
    },
    /// A user stops waiting for an answer.
    UserTimeout(u64),
    /// A line of the script is due.
    Script(usize),
    /// A line that another one has scheduled.
    Line(Line),
    /// A transaction that got no answer is carried out after all.
    LateTransaction(StoreRequest),
    /// A user sends an odd request.
    MalformedRequest,
    /// A partition is over.
    PartitionEnds(u64),
    /// Leases at the store end up to a tenth of a second late.
    ExpireLeases,
    /// The checker looks at what takes time to show.
    Check,
}

impl World {
    /// When a paused controller goes on, if this event has to wait for that.
    fn deferred_until(&self, event: &Event) -> Option<u64> {
        let (Event::Input { process, .. } | Event::Wake(process)) = event else {
            return None;
        };
        let until = self.hosts[process.controller].paused_until;
        (until > self.now).then_some(until)
    }

    /// Lets an event happen.
    pub(super) fn handle(&mut self, event: Event) {
        if let Some(until) = self.deferred_until(&event) {
            return self.at(until, event);
        }
        match event {
            Event::Input { process, input } => self.input_arrives(process, input),
            Event::Wake(process) => self.wake(process),
            Event::Start(controller) => self.start_controller(controller),
            Event::StoreRequest {
                process,
                call,
                request,
            } => self.store_executes(process, call, request),
            Event::CloudRequest {
                process,
                call,
                request,
            } => self.cloud_executes(process, call, &request),
            Event::WatchTimeout { process, call } => self.end_watch(process, call),
            Event::MachineUp(machine) => self.start_worker(&machine),
            Event::WorkerTick(machine) => self.worker_tick(&machine),
            Event::HeartbeatAnswer {
                machine,
                request,
                reply,
            } => self.heartbeat_answered(&machine, request, reply),
            Event::UserRequest { job, intent } => self.user_request(&job, intent),
            Event::UserRequestTo {
                job,
                intent,
                controller,
            } => self.user_request_to(&job, intent, controller),
            Event::UserTimeout(request) => self.user_timeout(request),
            Event::Script(index) => {
                let line = self.script[index].clone();
                self.command(&line);
            }
            Event::Line(line) => self.command(&line),
            Event::LateTransaction(request) => self.carry_out_late(&request),
            Event::MalformedRequest => self.send_malformed_request(),
            Event::PartitionEnds(id) => self.end_partition(id),
            Event::ExpireLeases => self.expire_leases(),
            Event::Check => self.check(),
        }
    }
}
