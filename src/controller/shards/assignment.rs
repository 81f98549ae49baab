//! Which controller owns each shard, and when the leader assigns a shard to another controller.

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::store::records::ShardRecord;
use crate::ids::{ControllerId, FencingToken};
use log::info;
use std::collections::BTreeMap;

/// A shard is assigned to another controller when its owner has sent no counts for this fraction of
/// the duration of a shard's lease.
pub(crate) const OWNER_SILENT_LEASE_FRACTION: f64 = 0.25;

impl Context {
    /// The shards that a new leader takes for itself: the only shard, or those whose owners have
    /// sent no recent heartbeat.
    pub(crate) fn shards_to_take(&self) -> Vec<u32> {
        let records: Vec<(u32, &ShardRecord)> = self.store.mirror.shard_records().collect();
        if records.len() <= 1 {
            return vec![0];
        }
        let without_owner = records
            .iter()
            .filter(|(_, record)| !self.is_process_alive(&record.owner, record.incarnation));
        without_owner.map(|(shard, _)| *shard).collect()
    }

    /// Whether an incarnation of a controller is this process, or has sent a recent heartbeat.
    pub(crate) fn is_process_alive(&self, controller_id: &ControllerId, incarnation: u64) -> bool {
        if *controller_id == self.settings.platform.controller_id {
            return incarnation == self.incarnation;
        }
        self.recent_heartbeats().any(|heartbeat| {
            heartbeat.from == *controller_id && heartbeat.incarnation == incarnation
        })
    }

    /// A shard's record with this process as its owner, and the revision of the record to replace.
    pub(crate) fn lease_to_self(&self, shard: u32, token: FencingToken) -> (u64, ShardRecord) {
        let slot = self
            .store
            .mirror
            .shards
            .get(&shard)
            .cloned()
            .unwrap_or_default();
        let revision = slot.expected_revision();
        let old = slot.record;
        let record = ShardRecord {
            owner: self.settings.platform.controller_id.clone(),
            incarnation: self.incarnation,
            token,
            machines: old.as_ref().and_then(|record| record.machines.clone()),
            quota_shares: old.and_then(|record| record.quota_shares),
        };
        (revision, record)
    }

    /// Whether a shard's owner has sent a recent heartbeat from another incarnation.
    pub(crate) fn has_owner_restarted(&self, record: &ShardRecord) -> bool {
        let mut heartbeats = self
            .recent_heartbeats()
            .filter(|heartbeat| heartbeat.from == record.owner);
        heartbeats.any(|heartbeat| heartbeat.incarnation != record.incarnation)
    }

    /// The controller with the fewest shards, and its incarnation. Candidates are this process and
    /// the peers whose view of the store is fresh. `shards_owned` has the number of shards by
    /// owner.
    pub(crate) fn least_loaded(
        &self,
        shards_owned: &BTreeMap<ControllerId, usize>,
    ) -> (ControllerId, u64) {
        let this_process = (
            self.settings.platform.controller_id.clone(),
            self.incarnation,
        );
        let peers = self
            .recent_heartbeats()
            .filter(|heartbeat| heartbeat.is_fresh);
        let peers = peers.map(|heartbeat| (heartbeat.from.clone(), heartbeat.incarnation));
        let candidates = std::iter::once(this_process.clone()).chain(peers);
        let least = candidates
            .min_by_key(|(controller, _)| shards_owned.get(controller).copied().unwrap_or(0));
        least.unwrap_or(this_process)
    }
}

impl Controller {
    /// Assigns shards to the controller with the fewest shards, under a higher token, if their
    /// owner has restarted or sends no counts, or if this controller owned and released them.
    pub(crate) fn reassign_lost_shards(
        &self,
        records: &mut BTreeMap<u32, ShardRecord>,
        highest_token: &mut FencingToken,
    ) {
        let Some(leadership) = &self.context.leadership else {
            return;
        };
        let silent_max_s = self.context.settings.tuning.shard_lease_s * OWNER_SILENT_LEASE_FRACTION;
        let mut shards_owned: BTreeMap<ControllerId, usize> = BTreeMap::new();
        for record in records.values() {
            *shards_owned.entry(record.owner.clone()).or_default() += 1;
        }
        for (shard, record) in records.iter_mut() {
            let counted_at = leadership.shard_counts.get(shard);
            let counted_at = counted_at
                .filter(|(counts, _)| counts.token == record.token)
                .map(|(_, at)| *at);
            let is_silent = self
                .context
                .now
                .since(counted_at.unwrap_or(leadership.since))
                > silent_max_s;
            let is_released = self
                .context
                .released_tokens
                .get(shard)
                .is_some_and(|released| record.token <= *released);
            let is_own = record.owner == self.context.settings.platform.controller_id;
            let has_lost_state = is_own
                && (record.incarnation != self.context.incarnation || is_released)
                || self.context.has_owner_restarted(record);
            if !is_silent && !has_lost_state {
                continue;
            }
            let (controller_id, incarnation) = self.context.least_loaded(&shards_owned);
            info!(
                "shard reassigned, shard={shard} from={} to={controller_id}",
                record.owner
            );
            *shards_owned.entry(controller_id.clone()).or_default() += 1;
            highest_token.0 += 1;
            (record.owner, record.incarnation, record.token) =
                (controller_id, incarnation, *highest_token);
        }
    }
}
