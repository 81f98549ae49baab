//! The loop of one hollow cell: commands, timers, and the events of its connections.

use super::cloud::{MACHINE_TYPE, decode_request, encode_response, fake_cloud};
use super::commands::{CellSample, Command};
use super::connections::{ConnectionEvent, Connections, EventKind, Role};
use super::plan::CellPlan;
use super::request::Response;
use super::shared::SharedState;
use super::store::{CELL, DelayedResponse, LEADER, SHARD, StoreService, WrittenRecord};
use super::timers::Timers;
use super::users::Users;
use super::workers::{Machine, MachineStop, ROUND_MS, Workers};
use crate::procfs::thread_cpu;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use salttrestle::controller::store::records::{Key, LimitsByTeam};
use salttrestle::http::{self, Message};
use salttrestle::wire::{CloudRequest, CloudResponse};
use salttrestle_fakes::cloud::Cloud;
use std::io;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::time::Duration;

/// Milliseconds between two steps of the timers.
const STEP_MS: u64 = 10;
/// The cloud's latency, in milliseconds.
const CLOUD_LATENCY_MS: u64 = 50;
/// A failed machine is listed as running for so long, in milliseconds.
const LISTED_RUNNING_MS: u64 = 30_000;
/// What a client is asked to wait after a rejected request, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// A framed response that is sent after the service's latency.
struct Outgoing {
    connection: usize,
    bytes: Vec<u8>,
}

/// The hollow side of one cell.
pub struct HollowCell {
    plan: Arc<CellPlan>,
    shared: Arc<SharedState>,
    commands: Receiver<Command>,
    connections: Connections,
    store: StoreService,
    cloud: Cloud,
    workers: Workers,
    users: Users,
    rng: StdRng,
    /// Responses by the time at which they are sent, by a sequence number.
    responses: Timers<u64, Outgoing>,
    last_response: u64,
    /// Machines that boot, by id.
    boots: Timers<String, ()>,
    /// Machines that fail, by id.
    failures: Timers<String, ()>,
    /// When the store's outage ends.
    outage_end_ms: Option<u64>,
    /// The limits that operators have set.
    operator_limits: LimitsByTeam,
    /// When the timers were last stepped.
    stepped_ms: u64,
}

impl HollowCell {
    /// Builds a cell, and listens for its controllers.
    pub fn new(
        plan: Arc<CellPlan>,
        shared: Arc<SharedState>,
        commands: Receiver<Command>,
    ) -> io::Result<Self> {
        let addresses = &plan.addresses;
        let mut cell = Self {
            connections: Connections::new(addresses.store, &addresses.clouds)?,
            store: StoreService::new(&plan.service),
            cloud: fake_cloud(&plan),
            workers: Workers::new(plan.clone(), shared.clone()),
            users: Users::new(plan.clone(), shared.clone()),
            rng: StdRng::seed_from_u64(plan.seed),
            responses: Timers::new(),
            last_response: 0,
            boots: Timers::new(),
            failures: Timers::new(),
            outage_end_ms: None,
            operator_limits: LimitsByTeam::new(),
            stepped_ms: 0,
            plan,
            shared,
            commands,
        };
        cell.add_initial_machines();
        Ok(cell)
    }

    fn add_initial_machines(&mut self) {
        let zones = self.plan.zones.iter().cycle();
        for zone in zones.take(self.plan.workers) {
            let id = self
                .cloud
                .add_machine(0, MACHINE_TYPE, zone, false, Some(0));
            self.boots.insert(0, id.to_string(), ());
        }
    }

    /// Runs until the command to stop.
    pub fn run(mut self) -> io::Result<()> {
        let mut received = Vec::new();
        loop {
            let now = self.shared.now_ms();
            if self.execute_commands(now).is_break() {
                return Ok(());
            }
            self.send_responses(now);
            self.step(now);
            let step_ms = self.stepped_ms + STEP_MS;
            let next_ms = self.responses.next_ms();
            let next_ms = next_ms.map_or(step_ms, |next_ms| next_ms.min(step_ms));
            let timeout_ms = next_ms.saturating_sub(self.shared.now_ms());
            self.connections
                .wait(Duration::from_millis(timeout_ms), &mut received)?;
            for event in received.drain(..) {
                self.handle(event);
            }
        }
    }

    /// Executes all commands that were received; breaks on the command to stop.
    fn execute_commands(&mut self, now: u64) -> ControlFlow<()> {
        loop {
            match self.commands.try_recv() {
                Ok(Command::Stop) | Err(TryRecvError::Disconnected) => {
                    return ControlFlow::Break(());
                }
                Err(TryRecvError::Empty) => return ControlFlow::Continue(()),
                Ok(command) => self.execute(now, command),
            }
        }
    }

    fn execute(&mut self, now: u64, command: Command) {
        match command {
            Command::StartLoad => self.users.start_load(now),
            Command::FailMachines {
                count,
                zone,
                over_ms,
            } => self.schedule_failures(now, count, zone.as_deref(), over_ms),
            Command::StoreOutage { for_ms } => {
                self.store.begin_outage();
                self.outage_end_ms = Some(now + for_ms);
            }
            Command::SetLoadFactor(factor) => self.users.set_load_factor(now, factor),
            Command::SetLimit { team, limit } => {
                self.operator_limits.insert(team, limit);
                self.store.set_limits(&self.operator_limits);
                self.answer_watches(now);
            }
            Command::Sample(reply_to) => {
                // The run may have given up waiting.
                let _ = reply_to.send(self.sample());
            }
            Command::Stop => {}
        }
    }

    fn schedule_failures(&mut self, now: u64, count: usize, zone: Option<&str>, over_ms: u64) {
        let mut machines = self.workers.machines(zone);
        machines.shuffle(&mut self.rng);
        for id in machines.into_iter().take(count) {
            let at_ms = now + self.rng.random_range(0..=over_ms);
            self.failures.insert(at_ms, id, ());
        }
    }

    /// Sends the responses that are due.
    fn send_responses(&mut self, now: u64) {
        while let Some((_, outgoing)) = self.responses.pop_due(now) {
            self.connections.send(outgoing.connection, &outgoing.bytes);
        }
    }

    /// Steps the timers of machines, store, workers and users, if a step is due.
    fn step(&mut self, now: u64) {
        if now < self.stepped_ms + STEP_MS {
            return;
        }
        let elapsed_ms = (now - self.stepped_ms).min(ROUND_MS);
        self.stepped_ms = now;
        self.boot_machines(now);
        self.fail_machines(now);
        if self.outage_end_ms.is_some_and(|end_ms| now >= end_ms) {
            self.outage_end_ms = None;
            self.store.end_outage(now);
        }
        self.answer_watches(now);
        let share = elapsed_ms as f64 / ROUND_MS as f64;
        let (connections, jobs) = (&mut self.connections, &self.users.jobs);
        self.workers
            .tick(now, share, connections, jobs, &mut self.rng);
        self.users.tick(now, connections, &mut self.rng);
    }

    fn boot_machines(&mut self, now: u64) {
        while let Some((id, ())) = self.boots.pop_due(now) {
            let rig = self.cloud.machines.get(&id);
            if let Some(rig) = rig.filter(|rig| rig.gone_at.is_none()) {
                let machine = Machine {
                    id: &id,
                    machine_type: &rig.class,
                    zone: &rig.zone,
                    spot: rig.spot,
                };
                self.workers.boot(now, &machine);
            }
        }
    }

    fn fail_machines(&mut self, now: u64) {
        while let Some((id, ())) = self.failures.pop_due(now) {
            self.workers
                .stop(&mut self.connections, &id, MachineStop::Failed);
            if let Some(rig) = self.cloud.machines.get_mut(&id) {
                rig.listed_failed_at = Some(now + LISTED_RUNNING_MS);
            }
        }
    }

    fn answer_watches(&mut self, now: u64) {
        for DelayedResponse {
            connection,
            response,
        } in self.store.answer_watches(now)
        {
            self.send_store_response(now, connection, &response);
        }
    }

    fn send_store_response(&mut self, now: u64, connection: usize, response: &Response) {
        let at_ms = now + self.plan.service.store_latency_ms;
        self.send_at(at_ms, connection, response);
    }

    fn send_at(&mut self, at_ms: u64, connection: usize, response: &Response) {
        let rejected = matches!(response.status, 429 | 503);
        let retry_after = rejected.then_some(RETRY_AFTER_S);
        let bytes = http::response(response.status, retry_after, false, &response.body);
        self.last_response += 1;
        let outgoing = Outgoing { connection, bytes };
        self.responses.insert(at_ms, self.last_response, outgoing);
    }

    fn handle(&mut self, event: ConnectionEvent) {
        let now = self.shared.now_ms();
        match event.kind {
            EventKind::Message(message) => self.received(now, event.key, event.role, &message),
            EventKind::Closed => self.closed(now, event.key, event.role),
        }
    }

    fn received(&mut self, now: u64, key: usize, role: Role, message: &Message) {
        let connections = &mut self.connections;
        match role {
            Role::Store => self.store_request(now, key, message),
            Role::Cloud(controller) => self.cloud_request(now, key, controller, message),
            Role::Worker(index) => {
                let jobs = &self.users.jobs;
                let responded = self
                    .workers
                    .responded(now, index, message, connections, jobs);
                if let Err(error) = responded {
                    self.shared.checker().violations.push(error.to_string());
                }
            }
            Role::User(_) => self
                .users
                .responded(now, key, message, connections, &mut self.rng),
            Role::Probe(controller) => {
                self.users
                    .probed(controller, key, message.status(), connections);
            }
        }
    }

    fn closed(&mut self, now: u64, key: usize, role: Role) {
        match role {
            Role::Store => self.store.disconnected(key),
            Role::Cloud(_) => {}
            Role::Worker(index) => self.workers.closed(now, index, key),
            Role::User(_) => self.users.closed(now, key, &mut self.rng),
            Role::Probe(controller) => {
                self.users
                    .probed(controller, key, None, &mut self.connections);
            }
        }
    }

    fn store_request(&mut self, now: u64, key: usize, request: &Message) {
        if let Some(response) = self.store.execute(now, key, request) {
            self.send_store_response(now, key, &response);
        }
        for record in self.store.take_written() {
            self.observe(now, &record);
        }
        self.answer_watches(now);
    }

    /// Passes a written record to the observers and the checker.
    fn observe(&self, now: u64, record: &WrittenRecord) {
        match record.path.as_str() {
            SHARD => self.observe_shard(now, record),
            LEADER => {
                if self.plan.single
                    && let Ok(leader) = record.value.deserialized()
                {
                    self.shared.takeovers().leader_written(Some(&leader));
                }
            }
            CELL => self.observe_cell(now, record),
            path => {
                if self.plan.single
                    && let Some(Key::Placements(job, _)) = Key::parse(path)
                    && let Ok(placement) = record.value.deserialized()
                {
                    self.shared.takeovers().placement_written(&job, &placement);
                }
            }
        }
    }

    fn observe_shard(&self, now: u64, record: &WrittenRecord) {
        if let Ok(view) = record.value.deserialized() {
            let mut limits = self.shared.limits();
            limits.shard_written(now, self.plan.index, view);
        }
        if self.plan.single
            && let Ok(shard) = record.value.deserialized()
        {
            self.shared.takeovers().shard_written(now, &shard);
        }
    }

    fn observe_cell(&self, now: u64, record: &WrittenRecord) {
        if let Ok(record) = record.value.deserialized() {
            let limits = self.shared.limits().cell_written(now, &record);
            let mut checker = self.shared.checker();
            for (team, limit) in limits {
                checker.set_limit(now, &team, limit);
            }
        }
    }

    fn cloud_request(&mut self, now: u64, key: usize, controller: usize, request: &Message) {
        let Some(operation) = decode_request(request) else {
            return self.send_at(now, key, &Response::error(400, "malformed"));
        };
        if self.plan.single
            && matches!(
                operation,
                CloudRequest::ScaleOut(_) | CloudRequest::Delete(_)
            )
        {
            let controller_id = &self.plan.controller_ids[controller];
            self.shared.takeovers().cloud_changed(now, controller_id);
        }
        let (reply, deleted) = self.cloud.execute(now, &operation);
        for id in deleted {
            self.workers
                .stop(&mut self.connections, &id, MachineStop::Deleted);
        }
        if let CloudResponse::ScaledOut(machines) = &reply {
            for id in machines {
                let rig = self.cloud.machines.get(id.as_str());
                if let Some(at_ms) = rig.and_then(|rig| rig.up_at).filter(|at_ms| *at_ms > now) {
                    self.boots.insert(at_ms, id.to_string(), ());
                }
            }
        }
        self.send_at(now + CLOUD_LATENCY_MS, key, &encode_response(&reply));
    }

    fn sample(&self) -> CellSample {
        CellSample {
            leader: self.store.text_field(LEADER, "member"),
            owner: self.store.text_field(SHARD, "holder"),
            workers: self.workers.running(),
            joined: self.workers.joined(),
            healthy_controllers: self.users.healthy_controllers(),
            tasks: self.workers.tasks(),
            open_jobs: self.users.open_jobs,
            keys: self.store.keys(),
            user_failures: self.users.failures,
            lease_kills: self.workers.lease_kills,
            store: self.store.counts,
            traffic: self.connections.traffic(),
            cpu: thread_cpu().unwrap_or_default(),
        }
    }
}
