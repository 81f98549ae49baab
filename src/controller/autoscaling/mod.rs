//! How many machines there are. Each type is a pool, ordinary and spot apart. Each
//! reconcile turn compares the larger of two counts, what waits and what runs, with what is
//! provisioned, booting machines included.
//!
//! [`demand`] counts, `tick` decides, `plan` writes the decision down, `scale_out_requests` carries
//! scale-out requests out, and `machines` follows what becomes of the machines, to their deletion.

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
use crate::wire::{CloudOp, CloudReply, Listed};
use std::collections::BTreeMap;

/// Machines of a pool by zone.
pub(crate) type Zones = BTreeMap<(Pool, String), u32>;

#[derive(Debug)]
pub(crate) enum CloudPurpose {
    Catalog,
    Rent(String),
    Delete {
        shard: u32,
        machines: Vec<MachineId>,
    },
    List(Vec<Listed>),
}

impl CloudPurpose {
    /// Whether the call scales out or deletes machines.
    pub(crate) fn changes(&self) -> bool {
        matches!(self, Self::Rent(_) | Self::Delete { .. })
    }
}

/// Pause before a scale-out request without an answer is repeated.
const REPEAT_S: f64 = 2.0;
/// Counts are told to the leader this often, as a share of its reconcile turn.
const COUNTS_SHARE: f64 = 0.2;

impl Controller {
    pub(crate) fn leadership_housekeeping(&mut self) {
        if self.context.now >= self.context.counts_at {
            self.context.counts_at = self
                .context
                .now
                .after(self.context.settings.tuning.tick_s * COUNTS_SHARE);
            self.send_counts();
            self.lease_housekeeping();
        }
        if self.context.cloud.catalog.is_empty() {
            return;
        }
        let several = self.shards.values().any(|h| !h.whole);
        if self.context.lease_valid() || several {
            self.context.list_machines();
        }
        if !self.context.may_use_cloud() {
            return;
        }
        self.context.send_scale_out_requests();
        self.reconcile();
        self.context.write_plan();
    }

    pub(crate) fn on_cloud(&mut self, id: CallId, reply: CloudReply) {
        let Some(purpose) = self.context.cloud.on_response(id, &reply) else {
            return;
        };
        match purpose {
            CloudPurpose::Catalog => self.on_catalog(reply),
            CloudPurpose::Rent(name) => self.on_scaled_out(&name, reply),
            CloudPurpose::Delete { shard, machines } => {
                if let Some(shard) = self.shards.get_mut(&shard) {
                    shard.on_deleted(&mut self.context, machines, reply);
                }
            }
            CloudPurpose::List(so_far) => self.on_machine_list(so_far, reply),
        }
    }

    fn on_catalog(&mut self, reply: CloudReply) {
        let CloudReply::Catalog(classes) = reply else {
            return;
        };
        self.context.cloud.catalog = classes;
        let catalog = &self.context.cloud.catalog;
        for h in self.shards.values_mut() {
            h.machines
                .edit_all(|machine| machine.resolve_machine_type(catalog));
            h.scheduling_wanted = true;
        }
    }
}

impl Context {
    pub(crate) fn catalog_housekeeping(&mut self) {
        if self.cloud.catalog.is_empty() && self.now >= self.cloud.catalog_retry {
            self.cloud.catalog_retry = self.now.after(REPEAT_S);
            self.cloud_call(CloudOp::Catalog, CloudPurpose::Catalog, Priority::First);
        }
    }

    fn cloud_call(&mut self, op: CloudOp, purpose: CloudPurpose, priority: Priority) -> bool {
        let outbox = &mut self.outbox;
        self.cloud.send(self.now, outbox, op, purpose, priority)
    }
}
