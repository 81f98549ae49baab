//! Workers in simulated time: delivery of their heartbeats and answers under faults, and the
//! reports of their tasks to the checker.

use super::event::Event;
use super::requests::RequestOrigin;
use super::submissions::SubmittedJobs;
use super::world::World;
use salttrestle::controller::events::{Input, Reply, Request};
use salttrestle::wire::{self, Cause, WorkerHeartbeat};
use salttrestle_fakes::checker::Place;
use salttrestle_fakes::worker::{ANSWER_TIMEOUT_MS, TaskEvent, Worker};

/// The interval between two steps of a worker.
const STEP_INTERVAL_MS: u64 = 100;
/// The endpoint in the heartbeats of all workers. Nothing connects to it.
const ENDPOINT: &str = "10.1.0.1:9000";

impl World {
    /// Starts the worker of a machine that has booted, unless the machine is gone.
    pub(super) fn start_worker(&mut self, machine: &str) {
        let rented = self.cloud.machines.get(machine);
        let Some(rented) = rented.filter(|rented| rented.gone_at.is_none()) else {
            return;
        };
        let controller = self.workers.len() % self.hosts.len();
        let (class, zone) = (&rented.class, &rented.zone);
        let worker = Worker::new(self.now, class, zone, rented.spot, controller);
        self.workers.insert(machine.into(), worker);
        self.schedule_after(1, Event::WorkerStep(machine.into()));
    }

    /// Removes a machine's worker and all its tasks.
    pub(super) fn end_worker(&mut self, machine: &str) {
        if let Some(worker) = self.workers.remove(machine) {
            for task in worker.tasks.keys() {
                self.checker.record_stop(task, machine);
            }
        }
    }

    /// Runs a step of a worker: preemption, lease expiry, tasks and heartbeat. A paused worker only
    /// checks for preemption and lease expiry.
    pub(super) fn step_worker(&mut self, machine: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if worker.preempted_at.is_some_and(|at| now >= at) {
            return self.preempt_machine(machine);
        }
        let killed = worker.check_lease(now, self.lease_ms);
        let is_paused = worker.paused_until > now;
        let events = match is_paused {
            true => Vec::new(),
            false => worker.run_tasks(now, &SubmittedJobs(&self.specs)),
        };
        self.schedule_after(STEP_INTERVAL_MS, Event::WorkerStep(machine.into()));
        self.lease_expiry_kills += killed.len();
        for task in killed {
            self.checker.record_stop(&task, machine);
        }
        self.record_task_events(machine, events);
        if !is_paused {
            self.send_heartbeat(machine);
        }
    }

    /// Ends a spot machine that the cloud preempts.
    fn preempt_machine(&mut self, machine: &str) {
        self.end_worker(machine);
        let now = self.now;
        if let Some(machine) = self.cloud.machines.get_mut(machine) {
            machine.gone_at = Some(now);
        }
    }

    /// Reports the events of a worker's tasks to the checker and to the command checker.
    fn record_task_events(&mut self, machine: &str, events: Vec<TaskEvent>) {
        let now = self.now;
        for event in events {
            match event {
                TaskEvent::Accepted(task, attempt) => {
                    let token = self.workers[machine].token;
                    let command_checker = &mut self.store.command_checker;
                    command_checker.record_start(now, machine, token, &task, attempt);
                }
                TaskEvent::Started(task) => {
                    let place = self.place_on(machine);
                    self.checker.record_start(now, &task, place);
                    self.observed.starts.push(now);
                }
                TaskEvent::Ended(task, cause) => {
                    if cause == Cause::Done {
                        self.checker.record_completion(now, &task);
                    }
                    self.checker.record_stop(&task, machine);
                    match cause {
                        Cause::Done => self.cancel_at_completion(&task.job),
                        Cause::Error => self.observed.task_failures += 1,
                        _ => {}
                    }
                }
            }
        }
    }

    fn place_on(&self, machine: &str) -> Place {
        let worker = &self.workers[machine];
        Place {
            machine: machine.into(),
            class: worker.class.clone(),
            zone: worker.zone.clone(),
            spot: worker.spot,
        }
    }

    /// Sends a heartbeat if one is due.
    fn send_heartbeat(&mut self, machine: &str) {
        let now = self.now;
        let interval = self.heartbeat_ms;
        let jitter = self.random_below(interval / 2);
        let controllers = self.hosts.len();
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if !worker.check_heartbeat_due(now, controllers) {
            return;
        }
        worker.begin_heartbeat(now, interval * 3 / 4 + jitter);
        let body = worker.heartbeat_body(machine, ENDPOINT, now);
        let heartbeat: WorkerHeartbeat = wire::decode(&body).expect("a heartbeat");
        let controller = worker.controller_index;
        let is_unreachable = worker.partitioned_until > now || worker.heartbeats_lost_until > now;
        let request = self.register_request(RequestOrigin::Worker(machine.into()));
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.request_in_flight = Some((request.0, now));
        }
        self.copy_heartbeat(&heartbeat);
        if !is_unreachable {
            let input = Input::Request(request, Request::Heartbeat(heartbeat));
            self.send_from_worker(machine, controller, input);
        }
    }

    /// Handles an answer to a heartbeat. Drops an answer that is late, that isn't for the request
    /// in flight, or that a fault loses.
    pub(super) fn handle_heartbeat_answer(
        &mut self,
        machine: &str,
        request: u64,
        reply: Option<Reply>,
    ) {
        let now = self.now;
        let controllers = self.hosts.len();
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let Some((_, sent)) = worker
            .request_in_flight
            .filter(|(waited, _)| *waited == request)
        else {
            return;
        };
        let is_unreachable = worker.answers_lost_until > now || worker.partitioned_until > now;
        if now > sent + ANSWER_TIMEOUT_MS || is_unreachable {
            return;
        }
        if worker.paused_until > now {
            // A paused worker reads the answer when it resumes.
            let at = worker.paused_until;
            let machine = machine.into();
            let deferred = Event::HeartbeatAnswer {
                machine,
                request,
                reply,
            };
            return self.schedule_at(at, deferred);
        }
        let Some(reply) = reply else {
            return worker.on_connection_failed(now, controllers);
        };
        let answer = (reply.status, reply.body.as_slice());
        let jobs = SubmittedJobs(&self.specs);
        match worker.on_answer(now, sent, answer, &self.controller_ids, &jobs) {
            Ok(events) => self.record_task_events(machine, events),
            Err(defect) => self.checker.violations.push(defect),
        }
    }
}
