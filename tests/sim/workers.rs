//! Workers in simulated time: what their heartbeats and answers meet on the way, and what the
//! checker sees of their tasks.

use super::world::{Ev, Origin, Spec, World};
use salttrestle::controller::events::{Input, Reply, Request};
use salttrestle::ids::{JobId, TaskId};
use salttrestle::wire::{self, Cause};
use salttrestle_fakes::checker::Place;
use salttrestle_fakes::worker::{ANSWER_MS, TaskEvent, TaskSpec, TaskSpecs, Worker};
use std::collections::HashMap;

pub const TICK_MS: u64 = 100;
const ENDPOINT: &str = "10.1.0.1:9000";

/// The jobs that a world's users have uploaded.
pub struct Specs<'a>(pub &'a HashMap<JobId, Spec>);

impl TaskSpecs for Specs<'_> {
    fn spec(&self, task: &TaskId) -> Option<&TaskSpec> {
        self.0.get(&task.job).map(|spec| &spec.task)
    }
}

impl World {
    /// A machine came up.
    pub fn boot_worker(&mut self, id: &str) {
        let Some(rig) = self.cloud.rigs.get(id).filter(|r| r.gone.is_none()) else {
            return;
        };
        let controller = self.workers.len() % self.nodes.len();
        let worker = Worker::new(self.now, &rig.class, &rig.zone, rig.spot, controller);
        self.workers.insert(id.into(), worker);
        self.after(1, Ev::WorkerTick(id.into()));
    }

    /// Takes a machine with all on it out of the world.
    pub fn end_worker(&mut self, id: &str) {
        if let Some(w) = self.workers.remove(id) {
            for task in w.tasks.keys() {
                self.checker.stops(task, id);
            }
        }
    }

    pub fn worker_tick(&mut self, id: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.taken_at.is_some_and(|at| now >= at) {
            self.end_worker(id);
            if let Some(r) = self.cloud.rigs.get_mut(id) {
                r.gone = Some(now);
            }
            return;
        }
        let killed = worker.check_lease(now, self.lease_ms);
        let hung = worker.hung_until > now;
        let events = match hung {
            true => Vec::new(),
            false => worker.run_tasks(now, &Specs(&self.specs)),
        };
        self.after(TICK_MS, Ev::WorkerTick(id.into()));
        self.killed += killed.len();
        for task in killed {
            self.checker.stops(&task, id);
        }
        self.note_tasks(id, events);
        if !hung {
            self.report(id);
        }
    }

    /// What the checker sees of a worker's tasks.
    fn note_tasks(&mut self, id: &str, events: Vec<TaskEvent>) {
        let now = self.now;
        for event in events {
            match event {
                TaskEvent::Accepted(task, attempt) => {
                    let newest = self.workers[id].token;
                    let orders = &mut self.state.orders;
                    orders.started(now, id, newest, &task, attempt);
                }
                TaskEvent::Started(task) => {
                    let w = &self.workers[id];
                    let place = Place {
                        machine: id.into(),
                        class: w.class.clone(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                    };
                    self.checker.starts(now, &task, place);
                }
                TaskEvent::Ended(task, cause) => {
                    if cause == Cause::Done {
                        self.checker.finishes(now, &task);
                    }
                    self.checker.stops(&task, id);
                    match cause {
                        Cause::Done => self.cancel_at_end(&task.job),
                        Cause::Error => self.met.failures += 1,
                        _ => {}
                    }
                }
            }
        }
    }

    // ---- heartbeats

    fn report(&mut self, id: &str) {
        let now = self.now;
        let interval = self.report_ms;
        let jitter = self.random(interval / 2);
        let controllers = self.nodes.len();
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        if !w.report_due(now, controllers) {
            return;
        }
        w.begin_report(now, interval * 3 / 4 + jitter);
        let body = w.report_body(id, ENDPOINT, now);
        let report: wire::WorkerHeartbeat = wire::decode(&body).expect("a report");
        let controller = w.controller;
        let cut = w.cut_until > now || w.mute_until > now;
        let request_id = self.request(Origin::Worker(id.into()));
        if let Some(w) = self.workers.get_mut(id) {
            w.flight = Some((request_id.0, now));
        }
        if let Some((delay, until)) = self.copies
            && now < until
        {
            for n in 0..self.nodes.len() {
                let copy = self.request(Origin::Nobody);
                let ask = Request::Heartbeat(report.clone());
                self.send_later(n, delay, Input::Request(copy, ask));
            }
        }
        self.copy_report(&report);
        if !cut {
            self.worker_to_node(
                id,
                controller,
                Input::Request(request_id, Request::Heartbeat(report)),
            );
        }
    }

    /// An answer to a heartbeat reached its worker.
    pub fn worker_answer(&mut self, id: &str, request_id: u64, reply: Option<Reply>) {
        let now = self.now;
        let controllers = self.nodes.len();
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        let Some((_, sent)) = w.flight.filter(|(r, _)| *r == request_id) else {
            return;
        };
        if now > sent + ANSWER_MS || w.deaf_until > now || w.cut_until > now {
            return;
        }
        if w.hung_until > now {
            // It reads the answer when it goes on.
            let on_at = w.hung_until;
            return self.at(on_at, Ev::ToWorker(id.into(), request_id, reply));
        }
        let Some(reply) = reply else {
            return w.unanswered(now, controllers);
        };
        let answer = (reply.status, reply.body.as_slice());
        match w.answered(now, sent, answer, &self.controller_ids, &Specs(&self.specs)) {
            Ok(events) => self.note_tasks(id, events),
            Err(why) => self.checker.broken.push(why),
        }
    }
}
