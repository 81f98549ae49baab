//! What becomes of machines: those that the cloud lists, those that never become ready, and those
//! that are scaled in or deleted.

use crate::controller::Controller;
use crate::controller::autoscaling::{CloudPurpose, REPEAT_S};
use crate::controller::context::Context;
use crate::controller::events::Reply;
use crate::controller::machines::DecommissionReason;
use crate::controller::machines::inventory::Machine;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::Phase;
use crate::ids::{MachineId, RequestId, TaskId, Time};
use crate::wire::{CloudRequest, CloudResponse, ListedMachine, MachineStatus, MachineType};
use log::info;
use std::collections::BTreeSet;

/// Most machines that one deletion may name.
const DELETE_MAX: usize = 100;
/// A machine is surely listed after this many list lags.
const LISTED_AFTER_LAGS: f64 = 3.0;
/// Boot time assumed for a type that isn't in the catalog.
const UNKNOWN_TYPE_BOOT_S: f64 = 60.0;
/// A machine is abandoned once it is late by so many times what makes it overdue.
const ABANDONED_FACTOR: f64 = 2.0;
/// Shortest list lag that the leader's interval between lists goes by.
const LIST_LAG_MIN_S: f64 = 2.0;

impl Controller {
    /// Takes a page of the cloud's list of machines, and compares the whole list with what is
    /// known.
    pub(crate) fn on_machine_list(
        &mut self,
        earlier_pages: Vec<ListedMachine>,
        response: CloudResponse,
    ) {
        self.context.cloud.listing.under_way = false;
        let CloudResponse::Page { machines, more } = response else {
            return;
        };
        let mut listed = earlier_pages;
        listed.extend(machines);
        if more && !listed.is_empty() {
            return self.context.request_next_page(listed);
        }
        let lag_s = self.context.settings.platform.facts.cloud.list_lag_s;
        let (now, settled_s) = (self.context.now, LISTED_AFTER_LAGS * lag_s + REPEAT_S);
        let ids: BTreeSet<&str> = listed.iter().map(|machine| machine.id.as_str()).collect();
        for shard in self.shards.values_mut() {
            for machine in &listed {
                shard.observe_listed(now, &self.context.cloud.catalog, machine);
            }
            shard.decommission_unlisted(now, settled_s, &ids);
        }
        if let Some(leadership) = &mut self.context.leadership {
            leadership.scale.listed = true;
            for machine in listed {
                let id = MachineId::from(machine.id.as_str());
                self.context
                    .add_unassigned((id, machine.class, machine.zone, machine.spot));
            }
        }
    }

    /// Decommissions the machines that the leader's plan gives back, if they are still empty.
    pub(crate) fn apply_scale_in(&mut self) {
        let plan = &self.context.store.mirror.plan;
        if plan.revision == self.context.applied_plan_revision {
            return;
        }
        self.context.applied_plan_revision = plan.revision;
        let now = self.context.now;
        let is_empty =
            |machine: &Machine| machine.ready_since.is_some() && machine.tasks.is_empty();
        for id in plan.record.iter().flat_map(|record| &record.scale_in) {
            for shard in self.shards.values_mut() {
                if shard.machines.get(id).is_some_and(is_empty) {
                    shard.decommission(now, id, DecommissionReason::ScaledIn);
                }
            }
        }
    }
}

impl Context {
    /// The leader lists machines to find those that belong to no shard; with several shards,
    /// the other owners list them, less often, to learn what became of their own.
    pub(crate) fn list_machines(&mut self) {
        if let Some(listed) = self.cloud.listing.waiting_pages.take() {
            return self.request_next_page(listed);
        }
        let lag_s = self.settings.platform.facts.cloud.list_lag_s;
        let lag_s = lag_s.max(LIST_LAG_MIN_S);
        let pause_s = if self.leadership.is_some() {
            lag_s
        } else {
            2.0 * lag_s
        };
        let listing = &self.cloud.listing;
        if listing.under_way || self.now < listing.next_at || self.is_stale() {
            return;
        }
        let op = CloudRequest::List { after: None };
        if self.cloud_call(op, CloudPurpose::List(Vec::new()), Priority::Usual) {
            self.cloud.listing.under_way = true;
            self.cloud.listing.next_at = self.now.after(pause_s);
        }
    }

    /// Asks for the next page, now or as soon as the rate limit allows. Begun anew instead, a list
    /// of more pages than the limit allows calls was never complete, and nothing was scaled out.
    fn request_next_page(&mut self, listed: Vec<ListedMachine>) {
        let last = listed.last();
        let after = last.map(|machine| MachineId::from(machine.id.as_str()));
        let op = CloudRequest::List { after };
        self.cloud.listing.under_way = true;
        if !self.cloud.rate_limit.has(self.now, 1.0, Priority::Usual) {
            self.cloud.listing.waiting_pages = Some(listed);
            return;
        }
        self.cloud_call(op, CloudPurpose::List(listed), Priority::Usual);
    }
}

impl ShardOwner {
    /// Machines that never become ready are paid for until they are deleted. That is long after
    /// they were replaced: on a night on which all boots took several times as long, each was
    /// deleted shortly before it was ready, and scaled out anew.
    pub(crate) fn decommission_abandoned(&mut self, context: &Context) {
        let now = context.now;
        let boot_factor = ABANDONED_FACTOR * context.settings.tuning.boot;
        let catalog = &context.cloud.catalog;
        let booting = self.machines.booting();
        let abandoned = booting
            .filter(|(_, machine)| self.boots_longer_than(boot_factor, catalog, machine, now));
        let abandoned: Vec<MachineId> = abandoned.map(|(id, _)| id.clone()).collect();
        for id in abandoned {
            self.decommission(now, &id, DecommissionReason::NeverReady);
        }
    }

    /// Deletes decommissioned machines, at their moment or once they are empty. A deletion needs no
    /// lease: it can only cost a machine, and proves its tasks gone. Only a leader that replaced
    /// another before its lease's end waits until that one deletes nothing.
    pub(crate) fn delete_decommissioned(&mut self, context: &mut Context) {
        let now = context.now;
        if context.is_stale() || context.fenced() {
            return;
        }
        let mut ids = Vec::new();
        for (id, machine) in self.machines.leaving() {
            let due = machine
                .decommission_at
                .is_some_and(|at| now >= at || machine.tasks.is_empty());
            if due && !machine.is_deleting && ids.len() < DELETE_MAX && !self.committing_on(machine)
            {
                ids.push(id.clone());
            }
        }
        if ids.is_empty() {
            return;
        }
        let op = CloudRequest::Delete(ids.clone());
        let purpose = CloudPurpose::Delete {
            shard: self.shard,
            machines: ids.clone(),
        };
        if context.cloud_call(op, purpose, Priority::First) {
            for id in &ids {
                self.machines.edit(id, |machine| machine.is_deleting = true);
            }
        }
    }

    /// Once the deletion is answered, the machine and all on it are gone.
    pub(crate) fn on_deleted(
        &mut self,
        context: &mut Context,
        ids: Vec<MachineId>,
        response: CloudResponse,
    ) {
        let now = context.now;
        let mut long_polls = Vec::new();
        for id in ids {
            if response != CloudResponse::Deleted {
                self.machines
                    .edit(&id, |machine| machine.is_deleting = false);
                continue;
            }
            info!("machine deleted, machine={id}");
            long_polls.extend(self.remove_machine(now, &id));
        }
        for request_id in long_polls {
            context.answer(request_id, Reply::later(503, 5, "this machine is deleted"));
        }
    }
}

impl ShardOwner {
    /// Whether a placement on a machine is being written.
    fn committing_on(&self, machine: &Machine) -> bool {
        machine.tasks.keys().any(|task| {
            let job_state = self.jobs.get(&task.job);
            let placement = job_state.and_then(|job_state| job_state.placed.get(&task.index));
            placement.is_some_and(|placement| placement.phase == Phase::Committing)
        })
    }

    /// Compares a machine in the cloud's list with what is known of it.
    fn observe_listed(&mut self, now: Time, catalog: &[MachineType], listed: &ListedMachine) {
        let id = MachineId::from(listed.id.as_str());
        if self.deleted_machines.contains_key(&id) {
            return;
        }
        if self.is_only_shard && !self.machines.contains_key(&id) {
            let mut machine = Machine::new(catalog, &listed.class, &listed.zone, listed.spot, now);
            let age_ms = (listed.age_s().max(0.0) * 1000.0) as u64;
            machine.known_since = Time(now.0.saturating_sub(age_ms));
            self.machines.insert(id.clone(), machine);
        }
        let known = self.machines.get(&id);
        let becomes_ready = |machine: &Machine| {
            listed.status == MachineStatus::Running && machine.ready_since.is_none()
        };
        if known.is_some_and(|known| known.machine_type.is_none() || becomes_ready(known)) {
            self.machines.edit(&id, |machine| {
                if becomes_ready(machine) {
                    // From now on it counts as silent unless it heartbeats.
                    (machine.ready_since, machine.last_heartbeat) = (Some(now), now);
                }
                machine.set_machine_type(catalog, &listed.class, &listed.zone, listed.spot);
            });
        }
        if listed.status == MachineStatus::Failed {
            self.decommission(now, &id, DecommissionReason::FailedAtCloud);
        }
    }

    /// Machines that should be listed by now and aren't, and never sent a heartbeat, are
    /// gone or were never created. Absence proves nothing, so they are deleted.
    fn decommission_unlisted(&mut self, now: Time, settled_s: f64, listed: &BTreeSet<&str>) {
        let since = self.owned_since;
        let settled = |machine: &Machine| now.since(machine.known_since.max(since)) > settled_s;
        let booting = self.machines.booting();
        let missing =
            booting.filter(|(id, machine)| settled(machine) && !listed.contains(id.as_str()));
        let missing: Vec<MachineId> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            self.decommission(now, &id, DecommissionReason::NotListed);
        }
    }

    /// Whether a machine has been booting for longer than so many times what its type's boots
    /// have taken lately.
    pub(crate) fn boots_longer_than(
        &self,
        factor: f64,
        catalog: &[MachineType],
        machine: &Machine,
        now: Time,
    ) -> bool {
        let machine_type = machine.type_in(catalog);
        let ready_s = machine_type.map_or(UNKNOWN_TYPE_BOOT_S, |found| found.ready_s);
        let limit_s = factor * self.usual_boot_s(machine.machine_type, ready_s);
        machine.ready_since.is_none() && now.since(machine.known_since) > limit_s
    }

    /// Forgets a deleted machine; its tasks are proven gone. Returns the request
    /// that waits for its commands, if there is one.
    fn remove_machine(&mut self, now: Time, id: &MachineId) -> Option<RequestId> {
        let machine = self.machines.get(id)?;
        let long_poll = machine.long_poll;
        let tasks: Vec<TaskId> = machine.tasks.keys().cloned().collect();
        for task in tasks {
            self.remove_placement(now, &task);
        }
        if let Some((_, deadline)) = long_poll {
            self.long_poll_deadlines.remove(&(deadline, id.clone()));
        }
        self.machines.remove(id);
        self.failures.forget_machine(id);
        self.deleted_machines.insert(id.clone(), now);
        self.needs_scheduling = true;
        long_poll.map(|(request_id, _)| request_id)
    }
}
