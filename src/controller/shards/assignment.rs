//! Which controller owns each shard: whom the leader replaces, and by whom.

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::store::records::ShardRecord;
use crate::ids::{ControllerId, FencingToken};
use log::info;
use std::collections::BTreeMap;

/// Share of a shard's lease without a count from its owner after which it goes to
/// another controller.
pub(crate) const SILENT_SHARE: f64 = 0.25;

impl Context {
    /// The shards that a new leader takes for itself: the only one, and those whose
    /// owners aren't heard of.
    pub(crate) fn shards_to_take(&self) -> Vec<u32> {
        let records: Vec<(u32, &ShardRecord)> = self.store.mirror.shard_records().collect();
        if records.len() <= 1 {
            return vec![0];
        }
        let lost = records
            .iter()
            .filter(|(_, b)| !self.process_lives(&b.owner, b.incarnation));
        lost.map(|(k, _)| *k).collect()
    }

    /// Whether a process, this one or a peer's, was heard of lately.
    pub(crate) fn process_lives(&self, controller_id: &ControllerId, incarnation: u64) -> bool {
        if *controller_id == self.settings.platform.controller_id {
            return incarnation == self.incarnation;
        }
        self.recent_heartbeats()
            .any(|h| h.from == *controller_id && h.incarnation == incarnation)
    }

    /// A shard's record with this process as its owner, and the revision it replaces.
    pub(crate) fn lease_to_self(&self, shard: u32, token: FencingToken) -> (u64, ShardRecord) {
        let slot = self
            .store
            .mirror
            .shards
            .get(&shard)
            .cloned()
            .unwrap_or_default();
        let version = slot.expected_revision();
        let old = slot.record;
        let record = ShardRecord {
            owner: self.settings.platform.controller_id.clone(),
            incarnation: self.incarnation,
            token,
            machines: old.as_ref().and_then(|b| b.machines.clone()),
            quota_shares: old.and_then(|b| b.quota_shares),
        };
        (version, record)
    }

    /// Whether a shard's owner is heard of, but as another process.
    pub(crate) fn rebooted(&self, record: &ShardRecord) -> bool {
        let mut heard = self.recent_heartbeats().filter(|h| h.from == record.owner);
        heard.any(|h| h.incarnation != record.incarnation)
    }

    /// The controller that sees the store and holds the fewest shards.
    pub(crate) fn least_loaded(&self, load: &BTreeMap<ControllerId, usize>) -> (ControllerId, u64) {
        let me = (
            self.settings.platform.controller_id.clone(),
            self.incarnation,
        );
        let others = self.recent_heartbeats().filter(|h| h.is_fresh);
        let others = others.map(|h| (h.from.clone(), h.incarnation));
        let all = std::iter::once(me.clone()).chain(others);
        let least = all.min_by_key(|(machine, _)| load.get(machine).copied().unwrap_or(0));
        least.unwrap_or(me)
    }
}

impl Controller {
    /// Shards whose owner restarted or counts no more go to another controller,
    /// under a higher token.
    pub(crate) fn replace_owners(
        &self,
        records: &mut BTreeMap<u32, ShardRecord>,
        highest: &mut FencingToken,
    ) {
        let Some(leadership) = &self.context.leadership else {
            return;
        };
        let patience = self.context.settings.tuning.shard_lease_s * SILENT_SHARE;
        let mut load: BTreeMap<ControllerId, usize> = BTreeMap::new();
        for b in records.values() {
            *load.entry(b.owner.clone()).or_default() += 1;
        }
        for (shard, record) in records.iter_mut() {
            let told = leadership.shard_counts.get(shard);
            let told = told
                .filter(|(t, _)| t.token == record.token)
                .map(|(_, at)| *at);
            let quiet = self.context.now.since(told.unwrap_or(leadership.since)) > patience;
            let released_tokens = self
                .context
                .released_tokens
                .get(shard)
                .is_some_and(|n| record.token <= *n);
            let mine = record.owner == self.context.settings.platform.controller_id;
            let restarted = mine
                && (record.incarnation != self.context.incarnation || released_tokens)
                || self.context.rebooted(record);
            if !quiet && !restarted {
                continue;
            }
            let (controller_id, incarnation) = self.context.least_loaded(&load);
            info!(
                "shard reassigned, shard={shard} from={} to={controller_id}",
                record.owner
            );
            *load.entry(controller_id.clone()).or_default() += 1;
            highest.0 += 1;
            (record.owner, record.incarnation, record.token) =
                (controller_id, incarnation, *highest);
        }
    }
}
