//! Autoscaling: decides how many machines there are of each pool, that is, of each combination of
//! machine type and market (on-demand or spot).
//!
//! Each pass of the reconcile loop compares the machines that a pool needs for its queued and
//! running tasks with the machines that are provisioned, booting machines included.
//!
//! - [`demand`] counts the machines needed and provisioned.
//! - [`pool_selection`] selects the pools that a task may use.
//! - [`reconcile`] decides what to scale out and what to scale in.
//! - [`plan`] writes the decision to the store.
//! - [`scale_out`] sends the scale-out requests.
//! - [`machines`] tracks machines from the cloud's list to their deletion.

pub(crate) mod demand;
pub(crate) mod machines;
pub(crate) mod plan;
pub(crate) mod pool_selection;
pub(crate) mod reconcile;
pub(crate) mod scale_out;

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::pool::Pool;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::ids::{CallId, MachineId};
use crate::wire::{CloudRequest, CloudResponse, ListedMachine};
use std::collections::BTreeMap;

/// Numbers of machines by pool and zone.
pub(crate) type PoolZoneCounts = BTreeMap<(Pool, String), u32>;

/// The purpose of a pending call to the cloud, which decides how its response is handled.
#[derive(Debug)]
pub(crate) enum CloudPurpose {
    /// Fetches the catalog of machine types.
    Catalog,
    /// Sends the scale-out request of this name.
    ScaleOut(String),
    /// Deletes decommissioned machines of one shard.
    Delete {
        /// The shard that owns the machines.
        shard: u32,
        /// The machines to delete.
        machines: Vec<MachineId>,
    },
    /// Fetches the next page of the list of machines; holds the machines of the earlier pages.
    List(Vec<ListedMachine>),
}

impl CloudPurpose {
    /// Whether the call creates or deletes machines.
    pub(crate) fn is_mutating(&self) -> bool {
        matches!(self, Self::ScaleOut(_) | Self::Delete { .. })
    }
}

/// Delay before an unanswered scale-out request or fetch of the catalog is repeated.
const RETRY_DELAY_S: f64 = 2.0;
/// Interval at which counts are sent to the leader, as a fraction of the reconcile interval
/// (`scale.tick-s`).
const COUNTS_INTERVAL_FRACTION: f64 = 0.2;

impl Controller {
    /// Runs the autoscaling work that is due: sends counts to the leader, updates the shard
    /// records (as the leader), and lists machines. A leader that may call the cloud also sends
    /// scale-out requests, reconciles, and writes the plan.
    pub(crate) fn autoscaling_housekeeping(&mut self) {
        if self.context.now >= self.context.next_counts_at {
            let tick_s = self.context.settings.tuning.tick_s;
            self.context.next_counts_at = self.context.now.after(tick_s * COUNTS_INTERVAL_FRACTION);
            self.send_counts();
            self.update_shard_records();
        }
        if self.context.cloud.catalog.is_empty() {
            return;
        }
        let has_several_shards = self.shards.values().any(|shard| !shard.is_only_shard);
        if self.context.has_valid_lease() || has_several_shards {
            self.context.list_machines();
        }
        if !self.context.may_use_cloud() {
            return;
        }
        self.context.send_scale_out_requests();
        self.reconcile();
        self.context.write_plan();
    }

    /// Handles a response of the cloud according to the purpose of the call.
    pub(crate) fn on_cloud_response(&mut self, call: CallId, response: CloudResponse) {
        let Some(purpose) = self.context.cloud.on_response(call, &response) else {
            return;
        };
        match purpose {
            CloudPurpose::Catalog => self.on_catalog(response),
            CloudPurpose::ScaleOut(name) => self.on_scale_out_response(&name, response),
            CloudPurpose::Delete { shard, machines } => {
                if let Some(shard) = self.shards.get_mut(&shard) {
                    shard.on_delete_response(&mut self.context, machines, response);
                }
            }
            CloudPurpose::List(earlier_pages) => self.on_machine_list(earlier_pages, response),
        }
    }

    /// Stores the catalog, and resolves the types of machines that are known only by type name.
    fn on_catalog(&mut self, response: CloudResponse) {
        let CloudResponse::Catalog(machine_types) = response else {
            return;
        };
        self.context.cloud.catalog = machine_types;
        let catalog = &self.context.cloud.catalog;
        for shard in self.shards.values_mut() {
            shard
                .machines
                .edit_all(|machine| machine.resolve_machine_type(catalog));
            shard.needs_scheduling = true;
        }
    }
}

impl Context {
    /// Requests the catalog of machine types until it is known.
    pub(crate) fn catalog_housekeeping(&mut self) {
        if self.cloud.catalog.is_empty() && self.now >= self.cloud.catalog_retry_at {
            self.cloud.catalog_retry_at = self.now.after(RETRY_DELAY_S);
            self.cloud_call(
                CloudRequest::Catalog,
                CloudPurpose::Catalog,
                Priority::First,
            );
        }
    }

    /// Calls the cloud if the rate limit allows it; returns whether the call was sent.
    fn cloud_call(
        &mut self,
        request: CloudRequest,
        purpose: CloudPurpose,
        priority: Priority,
    ) -> bool {
        let outbox = &mut self.outbox;
        self.cloud
            .send(self.now, outbox, request, purpose, priority)
    }
}
