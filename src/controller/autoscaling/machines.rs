//! What becomes of machines: those the cloud lists, those that never come up, and those that
//! are returned or deleted.

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

/// Most names that one deletion may hold.
const DELETE_MAX: usize = 100;
/// A machine is surely listed after this many list lags.
const LISTED_LAGS: f64 = 3.0;
/// A boot of a type that isn't in the catalog.
const UNKNOWN_BOOT_S: f64 = 60.0;
/// After how many times the time in which it is overdue a machine never comes up.
const ABANDONED_AFTER: f64 = 2.0;

impl Controller {
    pub(crate) fn on_machine_list(&mut self, mut so_far: Vec<ListedMachine>, reply: CloudResponse) {
        self.context.cloud.listing.under_way = false;
        let CloudResponse::Page { machines, more } = reply else {
            return;
        };
        so_far.extend(machines);
        let last = so_far.last();
        if more && last.is_some() {
            return self.context.list_on(so_far);
        }
        let lag = self.context.settings.platform.facts.cloud.list_lag_s;
        let (now, settled_s) = (self.context.now, LISTED_LAGS * lag + REPEAT_S);
        let listed: BTreeSet<&str> = so_far.iter().map(|l| l.id.as_str()).collect();
        for h in self.shards.values_mut() {
            for l in &so_far {
                h.observe_listed(now, &self.context.cloud.catalog, l);
            }
            h.decommission_unlisted(now, settled_s, &listed);
        }
        if let Some(leadership) = &mut self.context.leadership {
            leadership.scale.listed = true;
            for l in so_far {
                let id = MachineId::from(l.id.as_str());
                self.context.add_unassigned((id, l.class, l.zone, l.spot));
            }
        }
    }

    /// Returns the machines that the leader's plan names, if they are still empty.
    pub(crate) fn apply_scale_in(&mut self) {
        let revision = self.context.store.mirror.plan.revision;
        if revision == self.context.plan_seen {
            return;
        }
        self.context.plan_seen = revision;
        let now = self.context.now;
        let scale_in = self
            .context
            .store
            .mirror
            .plan
            .record
            .iter()
            .flat_map(|placement| &placement.scale_in);
        for id in scale_in {
            for h in self.shards.values_mut() {
                let idle =
                    |machine: &Machine| machine.ready_since.is_some() && machine.tasks.is_empty();
                if h.machines.get(id).is_some_and(idle) {
                    h.decommission(now, id, DecommissionReason::ScaledIn);
                }
            }
        }
    }
}

impl Context {
    /// The leader lists machines to find those nobody expected; with several shards,
    /// the other owners list them, less often, to learn what became of their own.
    pub(crate) fn list_machines(&mut self) {
        if let Some(so_far) = self.cloud.listing.waiting_pages.take() {
            return self.list_on(so_far);
        }
        let lag = self.settings.platform.facts.cloud.list_lag_s.max(2.0);
        let pause = if self.leadership.is_some() {
            lag
        } else {
            2.0 * lag
        };
        if self.cloud.listing.under_way || self.now < self.cloud.listing.next_at || self.is_stale()
        {
            return;
        }
        let op = CloudRequest::List { after: None };
        if self.cloud_call(op, CloudPurpose::List(Vec::new()), Priority::Usual) {
            self.cloud.listing.under_way = true;
            self.cloud.listing.next_at = self.now.after(pause);
        }
    }

    /// Asks for the next page, now or as soon as the budget allows. Begun anew instead, a list of
    /// more pages than the budget holds calls never came to its end, and nothing was scaled out.
    fn list_on(&mut self, so_far: Vec<ListedMachine>) {
        let after = so_far.last().map(|l| MachineId::from(l.id.as_str()));
        let op = CloudRequest::List { after };
        self.cloud.listing.under_way = true;
        if !self.cloud.rate_limit.has(self.now, 1.0, Priority::Usual) {
            self.cloud.listing.waiting_pages = Some(so_far);
            return;
        }
        self.cloud_call(op, CloudPurpose::List(so_far), Priority::Usual);
    }
}

impl ShardOwner {
    /// Machines that never come up are paid for until they are deleted. That is long after
    /// they were replaced: on a night on which all boots took several times as long, each was
    /// deleted shortly before it was up, and scaled out anew.
    pub(crate) fn decommission_abandoned(&mut self, context: &Context) {
        let (now, boot) = (context.now, context.settings.tuning.boot);
        let most = ABANDONED_AFTER * boot;
        let never =
            |machine: &Machine| self.boots_longer_than(most, &context.cloud.catalog, machine, now);
        let never = self
            .machines
            .booting()
            .filter(|(_, machine)| never(machine));
        let never: Vec<MachineId> = never.map(|(id, _)| id.clone()).collect();
        for id in never {
            self.decommission(now, &id, DecommissionReason::NeverReady);
        }
    }

    /// A deletion needs no lease: it can only cost a machine, and proves its tasks gone. Only a
    /// leader that replaced another before its lease's end waits until that one deletes nothing.
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
            if due && !machine.deleting && ids.len() < DELETE_MAX && !self.committing_on(machine) {
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
                self.machines.edit(id, |machine| machine.deleting = true);
            }
        }
    }

    /// Once the deletion is answered, the machine and all on it are gone.
    pub(crate) fn on_deleted(
        &mut self,
        context: &mut Context,
        ids: Vec<MachineId>,
        reply: CloudResponse,
    ) {
        let now = context.now;
        let mut held = Vec::new();
        for id in ids {
            if reply != CloudResponse::Deleted {
                self.machines.edit(&id, |machine| machine.deleting = false);
                continue;
            }
            info!("machine deleted, machine={id}");
            held.extend(self.remove_machine(now, &id));
        }
        for request_id in held {
            context.answer(request_id, Reply::later(503, 5, "this machine is deleted"));
        }
    }
}

impl ShardOwner {
    fn committing_on(&self, machine: &Machine) -> bool {
        machine.tasks.keys().any(|t| {
            let placement = self.jobs.get(&t.job).and_then(|l| l.placed.get(&t.index));
            placement.is_some_and(|placement| placement.phase == Phase::Committing)
        })
    }

    /// Takes note of a listed machine.
    fn observe_listed(&mut self, now: Time, catalog: &[MachineType], l: &ListedMachine) {
        let id = MachineId::from(l.id.as_str());
        if self.deleted_machines.contains_key(&id) {
            return;
        }
        if self.whole && !self.machines.contains_key(&id) {
            let mut machine = Machine::new(catalog, &l.class, &l.zone, l.spot, now);
            machine.since = Time(now.0.saturating_sub((l.age_s().max(0.0) * 1000.0) as u64));
            self.machines.insert(id.clone(), machine);
        }
        let known = self.machines.get(&id);
        let wakes =
            |machine: &Machine| l.status == MachineStatus::Running && machine.ready_since.is_none();
        if known.is_some_and(|machine| machine.machine_type.is_none() || wakes(machine)) {
            self.machines.edit(&id, |machine| {
                if wakes(machine) {
                    // From now on it counts as silent unless it heartbeats.
                    (machine.ready_since, machine.last_heartbeat) = (Some(now), now);
                }
                machine.set_machine_type(catalog, &l.class, &l.zone, l.spot);
            });
        }
        if l.status == MachineStatus::Failed {
            self.decommission(now, &id, DecommissionReason::FailedAtCloud);
        }
    }

    /// Machines that should be listed by now and never were, nor ever reported, are
    /// gone or never came to be. Absence proves nothing, so they are deleted.
    fn decommission_unlisted(&mut self, now: Time, settled_s: f64, listed: &BTreeSet<&str>) {
        let since = self.since;
        let unseen = |machine: &Machine| now.since(machine.since.max(since)) > settled_s;
        let missing = self.machines.booting();
        let missing =
            missing.filter(|(id, machine)| unseen(machine) && !listed.contains(id.as_str()));
        let missing: Vec<MachineId> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            self.decommission(now, &id, DecommissionReason::NotListed);
        }
    }

    /// Whether a machine has been booting for longer than so many times what its type's boots
    /// have taken lately.
    pub(crate) fn boots_longer_than(
        &self,
        times: f64,
        catalog: &[MachineType],
        machine: &Machine,
        now: Time,
    ) -> bool {
        let ready_s = machine
            .type_in(catalog)
            .map_or(UNKNOWN_BOOT_S, |c| c.ready_s);
        let most_s = times * self.usual_boot_s(machine.machine_type, ready_s);
        machine.ready_since.is_none() && now.since(machine.since) > most_s
    }

    /// Forgets a deleted machine; its tasks are proven gone. Returns the request
    /// that waited for its commands.
    fn remove_machine(&mut self, now: Time, id: &MachineId) -> Option<RequestId> {
        let machine = self.machines.get(id)?;
        let held = machine.long_poll;
        let tasks: Vec<TaskId> = machine.tasks.keys().cloned().collect();
        for task in tasks {
            self.remove_placement(now, &task);
        }
        if let Some((_, until)) = held {
            self.long_poll_deadlines.remove(&(until, id.clone()));
        }
        self.machines.remove(id);
        self.failures.forget_machine(id);
        self.deleted_machines.insert(id.clone(), now);
        self.scheduling_wanted = true;
        held.map(|(request_id, _)| request_id)
    }
}
