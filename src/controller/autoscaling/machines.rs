//! Life cycle of machines: reconciles the inventory with the cloud's list of machines,
//! decommissions machines that never become ready or are scaled in, and deletes decommissioned
//! machines.

use crate::controller::Controller;
use crate::controller::autoscaling::{CloudPurpose, RETRY_DELAY_S};
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

/// Maximum number of machines in one deletion request.
const DELETE_MACHINES_MAX: usize = 100;
/// Time, in list lags of the cloud, after which a new machine must appear in the cloud's list.
/// `RETRY_DELAY_S` is added to this time.
const LISTED_AFTER_LIST_LAGS: f64 = 3.0;
/// Boot time assumed for a machine type that is not in the catalog.
const UNKNOWN_TYPE_BOOT_S: f64 = 60.0;
/// Boot time after which a machine is deleted as never ready, as a multiple of the boot time after
/// which it is overdue (`health.boot`).
const ABANDONED_OVERDUE_RATIO: f64 = 2.0;
/// Minimum interval between two lists of machines by the leader. The interval is the cloud's list
/// lag where that is longer.
const LIST_INTERVAL_MIN_S: f64 = 2.0;

impl Controller {
    /// Handles one page of the cloud's list of machines. Requests the next page or, after the last
    /// one, reconciles the inventory of each shard with the whole list. The leader also registers
    /// listed machines that belong to no shard yet.
    pub(crate) fn on_machine_list(
        &mut self,
        earlier_pages: Vec<ListedMachine>,
        response: CloudResponse,
    ) {
        self.context.cloud.listing.is_in_progress = false;
        let CloudResponse::Page { machines, has_next } = response else {
            return;
        };
        let mut listed = earlier_pages;
        listed.extend(machines);
        if has_next && !listed.is_empty() {
            return self.context.request_next_page(listed);
        }
        let lag_s = self.context.settings.platform.facts.cloud.list_lag_s;
        let (now, settled_s) = (
            self.context.now,
            LISTED_AFTER_LIST_LAGS * lag_s + RETRY_DELAY_S,
        );
        let ids: BTreeSet<&str> = listed.iter().map(|machine| machine.id.as_str()).collect();
        for shard in self.shards.values_mut() {
            for machine in &listed {
                shard.update_from_list(now, &self.context.cloud.catalog, machine);
            }
            shard.decommission_unlisted(now, settled_s, &ids);
        }
        if let Some(leadership) = &mut self.context.leadership {
            leadership.scale.has_machine_list = true;
            for machine in listed {
                let id = MachineId::from(machine.id.as_str());
                self.context
                    .add_unassigned((id, machine.type_name, machine.zone, machine.spot));
            }
        }
    }

    /// Decommissions the machines that the leader's plan scales in, if they are still empty. Each
    /// revision of the plan is applied once.
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
    /// Starts a list of the cloud's machines when it is due, or continues with the next page.
    ///
    /// The leader lists machines to find those that belong to no shard. With several shards, the
    /// other owners list them at half that rate, to learn the state of their own machines.
    pub(crate) fn list_machines(&mut self) {
        if let Some(listed) = self.cloud.listing.waiting_pages.take() {
            return self.request_next_page(listed);
        }
        let lag_s = self.settings.platform.facts.cloud.list_lag_s;
        let leader_interval_s = lag_s.max(LIST_INTERVAL_MIN_S);
        let list_interval_s = if self.leadership.is_some() {
            leader_interval_s
        } else {
            2.0 * leader_interval_s
        };
        let listing = &self.cloud.listing;
        if listing.is_in_progress || self.now < listing.next_at || self.is_stale() {
            return;
        }
        let request = CloudRequest::List { after: None };
        if self.cloud_call(request, CloudPurpose::List(Vec::new()), Priority::Usual) {
            self.cloud.listing.is_in_progress = true;
            self.cloud.listing.next_at = self.now.after(list_interval_s);
        }
    }

    /// Requests the next page of the list, or keeps the pages so far until the rate limit allows
    /// the call.
    ///
    /// Restarting the list instead meant that a list with more pages than the rate limit allows
    /// calls never completed, and nothing was scaled out.
    fn request_next_page(&mut self, listed: Vec<ListedMachine>) {
        let last = listed.last();
        let after = last.map(|machine| MachineId::from(machine.id.as_str()));
        let request = CloudRequest::List { after };
        self.cloud.listing.is_in_progress = true;
        if !self
            .cloud
            .rate_limit
            .can_take(self.now, 1.0, Priority::Usual)
        {
            self.cloud.listing.waiting_pages = Some(listed);
            return;
        }
        self.cloud_call(request, CloudPurpose::List(listed), Priority::Usual);
    }
}

impl ShardOwner {
    /// Decommissions machines that have not become ready long after they were replaced, since they
    /// are paid for until they are deleted.
    ///
    /// The limit is well above the one for replacement. With a lower limit, one night when all
    /// boots took several times as long as usual, each machine was deleted shortly before it became
    /// ready, and scaled out again.
    pub(crate) fn decommission_abandoned(&mut self, context: &Context) {
        let now = context.now;
        let boot_ratio = ABANDONED_OVERDUE_RATIO * context.settings.tuning.boot_timeout_ratio;
        let catalog = &context.cloud.catalog;
        let booting = self.machines.booting();
        let abandoned = booting
            .filter(|(_, machine)| self.is_booting_longer_than(boot_ratio, catalog, machine, now));
        let abandoned: Vec<MachineId> = abandoned.map(|(id, _)| id.clone()).collect();
        for id in abandoned {
            self.decommission(now, &id, DecommissionReason::NeverReady);
        }
    }

    /// Deletes decommissioned machines when their decommission time has come or they are empty.
    ///
    /// A deletion needs no lease: at worst it loses a machine, and it proves that the machine's
    /// tasks no longer run. The exception is a leader that replaced another one before that one's
    /// lease expired: it waits until the previous leader can no longer call the cloud.
    pub(crate) fn delete_decommissioned(&mut self, context: &mut Context) {
        let now = context.now;
        if context.is_stale() || context.predecessor_may_use_cloud() {
            return;
        }
        let mut ids = Vec::new();
        for (id, machine) in self.machines.leaving() {
            let is_due = machine
                .decommission_at
                .is_some_and(|at| now >= at || machine.tasks.is_empty());
            if is_due
                && !machine.is_deleting
                && ids.len() < DELETE_MACHINES_MAX
                && !self.has_uncommitted_placement(machine)
            {
                ids.push(id.clone());
            }
        }
        if ids.is_empty() {
            return;
        }
        let request = CloudRequest::Delete(ids.clone());
        let purpose = CloudPurpose::Delete {
            shard: self.shard,
            machines: ids.clone(),
        };
        if context.cloud_call(request, purpose, Priority::First) {
            for id in &ids {
                self.machines.edit(id, |machine| machine.is_deleting = true);
            }
        }
    }

    /// Handles the response to a deletion. On success the machines and their placements are
    /// removed, and their pending long polls are answered. On any other response the deletion is
    /// retried later.
    pub(crate) fn on_delete_response(
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
    /// Whether a placement on the machine is being written to the store.
    fn has_uncommitted_placement(&self, machine: &Machine) -> bool {
        machine.tasks.keys().any(|task| {
            let job_state = self.jobs.get(&task.job);
            let placement = job_state.and_then(|job_state| job_state.placed.get(&task.index));
            placement.is_some_and(|placement| placement.phase == Phase::Committing)
        })
    }

    /// Updates the inventory from one machine in the cloud's list. The owner of the only shard adds
    /// unknown machines. Machines already deleted are ignored, since the list may lag behind.
    fn update_from_list(&mut self, now: Time, catalog: &[MachineType], listed: &ListedMachine) {
        let id = MachineId::from(listed.id.as_str());
        if self.deleted_machines.contains_key(&id) {
            return;
        }
        if self.is_only_shard && !self.machines.contains_key(&id) {
            let mut machine =
                Machine::new(catalog, &listed.type_name, &listed.zone, listed.spot, now);
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
                    // From now on the machine counts as silent unless it sends heartbeats.
                    (machine.ready_since, machine.last_heartbeat) = (Some(now), now);
                }
                machine.set_machine_type(catalog, &listed.type_name, &listed.zone, listed.spot);
            });
        }
        if listed.status == MachineStatus::Failed {
            self.decommission(now, &id, DecommissionReason::FailedAtCloud);
        }
    }

    /// Decommissions machines that are still booting, are missing from the cloud's list, and have
    /// been known for longer than `settled_s`.
    ///
    /// Such a machine is gone or was never created. Absence from the list does not prove this, so
    /// the machine is deleted.
    fn decommission_unlisted(&mut self, now: Time, settled_s: f64, listed: &BTreeSet<&str>) {
        let owned_since = self.owned_since;
        let is_settled =
            |machine: &Machine| now.since(machine.known_since.max(owned_since)) > settled_s;
        let booting = self.machines.booting();
        let missing =
            booting.filter(|(id, machine)| is_settled(machine) && !listed.contains(id.as_str()));
        let missing: Vec<MachineId> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            self.decommission(now, &id, DecommissionReason::NotListed);
        }
    }

    /// Whether a machine is not ready yet and has been booting for longer than `ratio` times the
    /// usual boot time of its type.
    pub(crate) fn is_booting_longer_than(
        &self,
        ratio: f64,
        catalog: &[MachineType],
        machine: &Machine,
        now: Time,
    ) -> bool {
        let machine_type = machine.type_in(catalog);
        let ready_s = machine_type.map_or(UNKNOWN_TYPE_BOOT_S, |machine_type| machine_type.ready_s);
        let boot_max_s = ratio * self.usual_boot_s(machine.machine_type, ready_s);
        machine.ready_since.is_none() && now.since(machine.known_since) > boot_max_s
    }

    /// Removes a deleted machine and its placements; the deletion proves that its tasks no longer
    /// run. Returns the machine's pending long poll, if there is one.
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
