//! Workers in simulated time: what their heartbeats and answers meet on the way, and what the
//! checker sees of their tasks.

use super::event::Event;
use super::requests::RequestOrigin;
use super::submissions::SubmittedJobs;
use super::world::World;
use salttrestle::controller::events::{Input, Reply, Request};
use salttrestle::wire::{self, Cause, WorkerHeartbeat};
use salttrestle_fakes::checker::Place;
use salttrestle_fakes::worker::{ANSWER_TIMEOUT_MS, TaskEvent, Worker};

/// Between two moments at which a worker does what is due.
const TICK_MS: u64 = 100;
const ENDPOINT: &str = "10.1.0.1:9000";

impl World {
    /// A machine has come up, and its worker begins.
    pub(super) fn start_worker(&mut self, machine: &str) {
        let rented = self.cloud.machines.get(machine);
        let Some(rented) = rented.filter(|rented| rented.gone_at.is_none()) else {
            return;
        };
        let controller = self.workers.len() % self.hosts.len();
        let (class, zone) = (&rented.class, &rented.zone);
        let worker = Worker::new(self.now, class, zone, rented.spot, controller);
        self.workers.insert(machine.into(), worker);
        self.after(1, Event::WorkerTick(machine.into()));
    }

    /// A machine is gone, with all that runs on it.
    pub(super) fn end_worker(&mut self, machine: &str) {
        if let Some(worker) = self.workers.remove(machine) {
            for task in worker.tasks.keys() {
                self.checker.record_stop(task, machine);
            }
        }
    }

    /// A worker does what is due.
    pub(super) fn worker_tick(&mut self, machine: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if worker.preempted_at.is_some_and(|at| now >= at) {
            return self.preempt_machine(machine);
        }
        let killed = worker.check_lease(now, self.lease_ms);
        let hung = worker.paused_until > now;
        let events = match hung {
            true => Vec::new(),
            false => worker.run_tasks(now, &SubmittedJobs(&self.specs)),
        };
        self.after(TICK_MS, Event::WorkerTick(machine.into()));
        self.killed += killed.len();
        for task in killed {
            self.checker.record_stop(&task, machine);
        }
        self.note_tasks(machine, events);
        if !hung {
            self.send_heartbeat(machine);
        }
    }

    /// The cloud takes a spot machine back.
    fn preempt_machine(&mut self, machine: &str) {
        self.end_worker(machine);
        let now = self.now;
        if let Some(machine) = self.cloud.machines.get_mut(machine) {
            machine.gone_at = Some(now);
        }
    }

    /// The checker and the judge of orders learn what happened to a worker's tasks.
    fn note_tasks(&mut self, machine: &str, events: Vec<TaskEvent>) {
        let now = self.now;
        for event in events {
            match event {
                TaskEvent::Accepted(task, attempt) => {
                    let token = self.workers[machine].token;
                    let orders = &mut self.store.orders;
                    orders.record_start(now, machine, token, &task, attempt);
                }
                TaskEvent::Started(task) => {
                    let place = self.place_on(machine);
                    self.checker.record_start(now, &task, place);
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

    /// A worker sends a heartbeat if one is due.
    fn send_heartbeat(&mut self, machine: &str) {
        let now = self.now;
        let interval = self.heartbeat_ms;
        let jitter = self.random(interval / 2);
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
        let unreachable = worker.partitioned_until > now || worker.heartbeats_lost_until > now;
        let request = self.new_request(RequestOrigin::Worker(machine.into()));
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.request_in_flight = Some((request.0, now));
        }
        self.copy_heartbeat(&heartbeat);
        if !unreachable {
            let input = Input::Request(request, Request::Heartbeat(heartbeat));
            self.send_from_worker(machine, controller, input);
        }
    }

    /// An answer to a heartbeat has come to its worker's machine.
    pub(super) fn heartbeat_answered(&mut self, machine: &str, request: u64, reply: Option<Reply>) {
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
        let unreachable = worker.answers_lost_until > now || worker.partitioned_until > now;
        if now > sent + ANSWER_TIMEOUT_MS || unreachable {
            return;
        }
        if worker.paused_until > now {
            // It reads the answer when it goes on.
            let at = worker.paused_until;
            let machine = machine.into();
            let again = Event::HeartbeatAnswer {
                machine,
                request,
                reply,
            };
            return self.at(at, again);
        }
        let Some(reply) = reply else {
            return worker.on_connection_failed(now, controllers);
        };
        let answer = (reply.status, reply.body.as_slice());
        let jobs = SubmittedJobs(&self.specs);
        match worker.on_answer(now, sent, answer, &self.controller_ids, &jobs) {
            Ok(events) => self.note_tasks(machine, events),
            Err(defect) => self.checker.violations.push(defect),
        }
    }
}
