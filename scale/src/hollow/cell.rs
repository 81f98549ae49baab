//! The event loop of one hollow cell: runs commands, timers and connection events on one thread.

use super::cloud::{MACHINE_TYPE, decode_request, encode_response, new_cloud};
use super::commands::{CellSample, Command};
use super::connections::{ConnectionEvent, Connections, EventKind, Role};
use super::plan::CellPlan;
use super::request::Response;
use super::shared::SharedState;
use super::store::{CELL_KEY, LEADER_KEY, SHARD_KEY, StoreService, WatchResponse, WrittenRecord};
use super::timers::Timers;
use super::users::Users;
use super::workers::{Machine, MachineStop, VISIT_INTERVAL_MS, Workers};
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

/// Interval between two steps of the simulation, in milliseconds.
const STEP_INTERVAL_MS: u64 = 10;
/// Latency of each response of the cloud, in milliseconds.
const CLOUD_LATENCY_MS: u64 = 50;
/// Delay until the cloud lists a failed machine as failed, in milliseconds. Until then it is listed
/// as running.
const FAILURE_LISTED_AFTER_MS: u64 = 30_000;
/// `Retry-After` of the store's and the cloud's rejections (status 429 or 503), in seconds.
const RETRY_AFTER_S: u32 = 1;

/// An encoded HTTP response that is sent after the simulated latency of its service.
struct Outgoing {
    connection: usize,
    bytes: Vec<u8>,
}

/// Everything around the controllers of one cell: store, cloud, workers and users.
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
    /// Delayed responses by their time of sending; a sequence number keeps those of the same time
    /// in order.
    responses: Timers<u64, Outgoing>,
    last_response_number: u64,
    /// Ids of booting machines, by the time at which they are up.
    pending_boots: Timers<String, ()>,
    /// Ids of machines that are scheduled to fail, by the time of the failure.
    pending_failures: Timers<String, ()>,
    /// End of the store's current outage, in milliseconds; `None` without an outage.
    outage_end_ms: Option<u64>,
    /// Team limits that operators have set so far.
    operator_limits: LimitsByTeam,
    /// Time of the simulation's last step, in milliseconds.
    last_step_ms: u64,
}

impl HollowCell {
    /// Builds a cell with its initial machines, and opens the listeners of its store and cloud.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be opened.
    pub fn new(
        plan: Arc<CellPlan>,
        shared: Arc<SharedState>,
        commands: Receiver<Command>,
    ) -> io::Result<Self> {
        let addresses = &plan.addresses;
        let mut cell = Self {
            connections: Connections::new(addresses.store, &addresses.clouds)?,
            store: StoreService::new(&plan.service),
            cloud: new_cloud(&plan),
            workers: Workers::new(plan.clone(), shared.clone()),
            users: Users::new(plan.clone(), shared.clone()),
            rng: StdRng::seed_from_u64(plan.seed),
            responses: Timers::new(),
            last_response_number: 0,
            pending_boots: Timers::new(),
            pending_failures: Timers::new(),
            outage_end_ms: None,
            operator_limits: LimitsByTeam::new(),
            last_step_ms: 0,
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
            self.pending_boots.insert(0, id.to_string(), ());
        }
    }

    /// Runs the event loop until [`Command::Stop`] arrives or the sender of commands is dropped.
    ///
    /// # Errors
    ///
    /// Fails if waiting for events or accepting a connection fails.
    pub fn run(mut self) -> io::Result<()> {
        let mut received = Vec::new();
        loop {
            let now = self.shared.now_ms();
            if self.execute_commands(now).is_break() {
                return Ok(());
            }
            self.send_responses(now);
            self.step_simulation(now);
            let next_step_ms = self.last_step_ms + STEP_INTERVAL_MS;
            let next_ms = self.responses.next_ms();
            let next_ms = next_ms.map_or(next_step_ms, |next_ms| next_ms.min(next_step_ms));
            let timeout_ms = next_ms.saturating_sub(self.shared.now_ms());
            self.connections
                .wait(Duration::from_millis(timeout_ms), &mut received)?;
            for event in received.drain(..) {
                self.handle_event(event);
            }
        }
    }

    /// Executes all queued commands. Breaks if the loop has to stop: on [`Command::Stop`], or when
    /// the sender of commands is dropped.
    fn execute_commands(&mut self, now: u64) -> ControlFlow<()> {
        loop {
            match self.commands.try_recv() {
                Ok(Command::Stop) | Err(TryRecvError::Disconnected) => {
                    return ControlFlow::Break(());
                }
                Err(TryRecvError::Empty) => return ControlFlow::Continue(()),
                Ok(command) => self.execute_command(now, command),
            }
        }
    }

    fn execute_command(&mut self, now: u64, command: Command) {
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
                // The receiver is gone if the run has timed out waiting for the sample.
                let _ = reply_to.send(self.take_sample());
            }
            Command::Stop => {}
        }
    }

    /// Schedules the failure of up to `count` random machines, at random times within `over_ms`.
    fn schedule_failures(&mut self, now: u64, count: usize, zone: Option<&str>, over_ms: u64) {
        let mut machines = self.workers.running_machines(zone);
        machines.shuffle(&mut self.rng);
        for id in machines.into_iter().take(count) {
            let at_ms = now + self.rng.random_range(0..=over_ms);
            self.pending_failures.insert(at_ms, id, ());
        }
    }

    /// Sends all delayed responses that are due.
    fn send_responses(&mut self, now: u64) {
        while let Some((_, outgoing)) = self.responses.pop_due(now) {
            self.connections.send(outgoing.connection, &outgoing.bytes);
        }
    }

    /// Advances machines, store, workers and users, if [`STEP_INTERVAL_MS`] has passed since the
    /// last step.
    fn step_simulation(&mut self, now: u64) {
        if now < self.last_step_ms + STEP_INTERVAL_MS {
            return;
        }
        let elapsed_ms = (now - self.last_step_ms).min(VISIT_INTERVAL_MS);
        self.last_step_ms = now;
        self.boot_machines(now);
        self.fail_machines(now);
        if self.outage_end_ms.is_some_and(|end_ms| now >= end_ms) {
            self.outage_end_ms = None;
            self.store.end_outage(now);
        }
        self.answer_watches(now);
        let fraction = elapsed_ms as f64 / VISIT_INTERVAL_MS as f64;
        let (connections, jobs) = (&mut self.connections, &self.users.jobs);
        self.workers
            .tick(now, fraction, connections, jobs, &mut self.rng);
        self.users.tick(now, connections, &mut self.rng);
    }

    fn boot_machines(&mut self, now: u64) {
        while let Some((id, ())) = self.pending_boots.pop_due(now) {
            let rented = self.cloud.machines.get(&id);
            if let Some(rented) = rented.filter(|rented| rented.gone_at.is_none()) {
                let machine = Machine {
                    id: &id,
                    machine_type: &rented.class,
                    zone: &rented.zone,
                    spot: rented.spot,
                };
                self.workers.add(now, &machine);
            }
        }
    }

    fn fail_machines(&mut self, now: u64) {
        while let Some((id, ())) = self.pending_failures.pop_due(now) {
            self.workers
                .stop_machine(&mut self.connections, &id, MachineStop::Failed);
            if let Some(rented) = self.cloud.machines.get_mut(&id) {
                rented.listed_failed_at = Some(now + FAILURE_LISTED_AFTER_MS);
            }
        }
    }

    fn answer_watches(&mut self, now: u64) {
        for WatchResponse {
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

    /// Encodes a response and schedules its sending.
    fn send_at(&mut self, at_ms: u64, connection: usize, response: &Response) {
        let is_rejected = matches!(response.status, 429 | 503);
        let retry_after = is_rejected.then_some(RETRY_AFTER_S);
        let bytes = http::response(response.status, retry_after, false, &response.body);
        self.last_response_number += 1;
        let outgoing = Outgoing { connection, bytes };
        self.responses
            .insert(at_ms, self.last_response_number, outgoing);
    }

    fn handle_event(&mut self, event: ConnectionEvent) {
        let now = self.shared.now_ms();
        match event.kind {
            EventKind::Message(message) => {
                self.handle_message(now, event.key, event.role, &message);
            }
            EventKind::Closed => self.handle_close(now, event.key, event.role),
        }
    }

    fn handle_message(&mut self, now: u64, key: usize, role: Role, message: &Message) {
        let connections = &mut self.connections;
        match role {
            Role::Store => self.handle_store_request(now, key, message),
            Role::Cloud(controller) => self.handle_cloud_request(now, key, controller, message),
            Role::Worker(index) => {
                let jobs = &self.users.jobs;
                let result = self
                    .workers
                    .handle_response(now, index, message, connections, jobs);
                if let Err(error) = result {
                    self.shared.checker().violations.push(error.to_string());
                }
            }
            Role::User(_) => {
                self.users
                    .handle_response(now, key, message, connections, &mut self.rng);
            }
            Role::Probe(controller) => {
                self.users
                    .handle_probe_result(controller, key, message.status(), connections);
            }
        }
    }

    fn handle_close(&mut self, now: u64, key: usize, role: Role) {
        match role {
            Role::Store => self.store.drop_watches(key),
            Role::Cloud(_) => {}
            Role::Worker(index) => self.workers.handle_close(now, index, key),
            Role::User(_) => self.users.handle_close(now, key, &mut self.rng),
            Role::Probe(controller) => {
                self.users
                    .handle_probe_result(controller, key, None, &mut self.connections);
            }
        }
    }

    fn handle_store_request(&mut self, now: u64, key: usize, request: &Message) {
        if let Some(response) = self.store.handle_request(now, key, request) {
            self.send_store_response(now, key, &response);
        }
        for record in self.store.take_observed_writes() {
            self.observe_record(now, &record);
        }
        self.answer_watches(now);
    }

    /// Passes a written record to the observers and the checker. The takeover observer is used only
    /// in runs of a single cell.
    fn observe_record(&self, now: u64, record: &WrittenRecord) {
        match record.path.as_str() {
            SHARD_KEY => self.observe_shard(now, record),
            LEADER_KEY => {
                if self.plan.is_only_cell
                    && let Ok(leader) = record.value.deserialized()
                {
                    self.shared
                        .takeover_observer()
                        .record_leader_write(Some(&leader));
                }
            }
            CELL_KEY => self.observe_cell(now, record),
            path => {
                if self.plan.is_only_cell
                    && let Some(Key::Placements(job, _)) = Key::parse(path)
                    && let Ok(placement) = record.value.deserialized()
                {
                    self.shared
                        .takeover_observer()
                        .record_placement_write(&job, &placement);
                }
            }
        }
    }

    fn observe_shard(&self, now: u64, record: &WrittenRecord) {
        if let Ok(view) = record.value.deserialized() {
            let mut limits = self.shared.limit_observer();
            limits.record_shard_write(now, self.plan.index, view);
        }
        if self.plan.is_only_cell
            && let Ok(shard) = record.value.deserialized()
        {
            self.shared
                .takeover_observer()
                .record_shard_write(now, &shard);
        }
    }

    fn observe_cell(&self, now: u64, record: &WrittenRecord) {
        if let Ok(record) = record.value.deserialized() {
            let limits = self.shared.limit_observer().record_cell_write(now, &record);
            let mut checker = self.shared.checker();
            for (team, limit) in limits {
                checker.set_limit(now, &team, limit);
            }
        }
    }

    fn handle_cloud_request(&mut self, now: u64, key: usize, controller: usize, request: &Message) {
        let Some(operation) = decode_request(request) else {
            return self.send_at(now, key, &Response::error(400, "malformed"));
        };
        if self.plan.is_only_cell
            && matches!(
                operation,
                CloudRequest::ScaleOut(_) | CloudRequest::Delete(_)
            )
        {
            let controller_id = &self.plan.controller_ids[controller];
            self.shared
                .takeover_observer()
                .record_cloud_change(now, controller_id);
        }
        let (response, deleted) = self.cloud.execute(now, &operation);
        for id in deleted {
            self.workers
                .stop_machine(&mut self.connections, &id, MachineStop::Deleted);
        }
        if let CloudResponse::ScaledOut(machines) = &response {
            for id in machines {
                let rented = self.cloud.machines.get(id.as_str());
                if let Some(at_ms) = rented
                    .and_then(|rented| rented.up_at)
                    .filter(|at_ms| *at_ms > now)
                {
                    self.pending_boots.insert(at_ms, id.to_string(), ());
                }
            }
        }
        self.send_at(now + CLOUD_LATENCY_MS, key, &encode_response(&response));
    }

    fn take_sample(&self) -> CellSample {
        CellSample {
            leader: self.store.text_field(LEADER_KEY, "member"),
            shard_owner: self.store.text_field(SHARD_KEY, "holder"),
            running_workers: self.workers.running_count(),
            joined_workers: self.workers.joined_count(),
            healthy_controllers: self.users.healthy_controller_count(),
            running_tasks: self.workers.running_task_count(),
            open_jobs: self.users.open_jobs,
            stored_keys: self.store.key_count(),
            user_failures: self.users.failed_requests,
            lease_kills: self.workers.lease_kills,
            store: self.store.counts,
            traffic: self.connections.traffic(),
            thread_cpu: thread_cpu().unwrap_or_default(),
        }
    }
}
