//! How many machines there are. Each machine type and market is a pool. Each turn of the reconcile
//! loop compares the larger of two counts, what is queued and what runs, with what is
//! provisioned, booting machines included.
//!
//! [`demand`] counts, with [`pool_selection`] for the pool of each task; [`reconcile`] decides,
//! [`plan`] writes the decision down, [`scale_out`] sends the scale-out requests, and [`machines`]
//! follows machines from the cloud's list to their deletion.

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

/// Machines by pool and zone.
pub(crate) type Zones = BTreeMap<(Pool, String), u32>;

/// What a pending call to the cloud is for.
#[derive(Debug)]
pub(crate) enum CloudPurpose {
    /// The machine types.
    Catalog,
    /// The scale-out request of this name.
    ScaleOut(String),
    /// A shard's decommissioned machines.
    Delete {
        /// The shard.
        shard: u32,
        /// The machines.
        machines: Vec<MachineId>,
    },
    /// The next page of the list of machines, after these.
    List(Vec<ListedMachine>),
}

impl CloudPurpose {
    /// Whether the call scales out or deletes machines.
    pub(crate) fn is_mutating(&self) -> bool {
        matches!(self, Self::ScaleOut(_) | Self::Delete { .. })
    }
}

/// Pause before a scale-out request without an answer is repeated.
const REPEAT_S: f64 = 2.0;
/// Interval of the counts sent to the leader, as a share of the reconcile loop's.
const COUNTS_INTERVAL_SHARE: f64 = 0.2;

impl Controller {
    /// Sends counts, lists machines, and scales, as far as each is due.
    pub(crate) fn autoscaling_housekeeping(&mut self) {
        if self.context.now >= self.context.next_counts_at {
            let tick_s = self.context.settings.tuning.tick_s;
            self.context.next_counts_at = self.context.now.after(tick_s * COUNTS_INTERVAL_SHARE);
            self.send_counts();
            self.lease_housekeeping();
        }
        if self.context.cloud.catalog.is_empty() {
            return;
        }
        let several_shards = self.shards.values().any(|shard| !shard.whole);
        if self.context.lease_valid() || several_shards {
            self.context.list_machines();
        }
        if !self.context.may_use_cloud() {
            return;
        }
        self.context.send_scale_out_requests();
        self.reconcile();
        self.context.write_plan();
    }

    /// Passes a response of the cloud to what its call was for.
    pub(crate) fn on_cloud_response(&mut self, call: CallId, response: CloudResponse) {
        let Some(purpose) = self.context.cloud.on_response(call, &response) else {
            return;
        };
        match purpose {
            CloudPurpose::Catalog => self.on_catalog(response),
            CloudPurpose::ScaleOut(name) => self.on_scale_out_response(&name, response),
            CloudPurpose::Delete { shard, machines } => {
                if let Some(shard) = self.shards.get_mut(&shard) {
                    shard.on_deleted(&mut self.context, machines, response);
                }
            }
            CloudPurpose::List(earlier_pages) => self.on_machine_list(earlier_pages, response),
        }
    }

    /// Takes the machine types, and looks up those of the machines that are known by name.
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
            shard.scheduling_wanted = true;
        }
    }
}

impl Context {
    /// Asks for the machine types until they are known.
    pub(crate) fn catalog_housekeeping(&mut self) {
        if self.cloud.catalog.is_empty() && self.now >= self.cloud.catalog_retry {
            self.cloud.catalog_retry = self.now.after(REPEAT_S);
            self.cloud_call(
                CloudRequest::Catalog,
                CloudPurpose::Catalog,
                Priority::First,
            );
        }
    }

    /// Calls the cloud if the rate limit allows it; says whether it did.
    fn cloud_call(&mut self, op: CloudRequest, purpose: CloudPurpose, priority: Priority) -> bool {
        let outbox = &mut self.outbox;
        self.cloud.send(self.now, outbox, op, purpose, priority)
    }
}
