//! The shards' records: what has to change about them is worked out and committed in one transaction.

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{FencingTokenRecord, Key, Record, ShardRecord, json_bytes};
use crate::controller::store_requests::RequestPurpose;
use crate::ids::FencingToken;
use crate::wire::{StoreRequest, StoreResponse, Write};
use std::collections::BTreeMap;

/// Share of the value limit that a shard's record may fill.
const RECORD_SHARE: f64 = 0.85;
/// JSON bytes of records in one commit, below the limit of 64 KiB.
const COMMIT_BYTES: usize = 40 * 1024;

impl Controller {
    /// Commits what has to change about the leases, all at once.
    pub(crate) fn update_shard_records(&mut self) {
        let Some(leadership) = &self.context.leadership else {
            return;
        };
        if leadership.busy || !self.context.lease_valid() || self.context.is_stale() {
            return;
        }
        let before: BTreeMap<u32, (u64, ShardRecord)> = self
            .context
            .store
            .mirror
            .shards
            .iter()
            .filter_map(|(k, b)| Some((*k, (b.revision, b.record.clone()?))))
            .collect();
        let mut after: BTreeMap<u32, ShardRecord> =
            before.iter().map(|(k, (_, b))| (*k, b.clone())).collect();
        let mut highest = self.context.store.mirror.highest();
        self.replace_owners(&mut after, &mut highest);
        self.split(&mut after, &mut highest);
        self.context.assign_machines(&mut after);
        self.context.share_limits(&mut after);
        self.context.commit_leases(&before, after, highest);
    }
}

impl Context {
    fn commit_leases(
        &mut self,
        before: &BTreeMap<u32, (u64, ShardRecord)>,
        after: BTreeMap<u32, ShardRecord>,
        highest: FencingToken,
    ) {
        let mut preconditions = vec![(Key::Leader, self.store.mirror.leader.version())];
        if self.settings.cells.is_some() {
            // What the shards may use was taken from this record.
            preconditions.push((Key::Cell, self.store.mirror.cell.version()));
        }
        let (mut writes, mut bytes) = (Vec::new(), 0);
        let most = self.settings.state_limits().txn_ops - 1;
        for (shard, record) in after {
            let old = before.get(&shard);
            let full = writes.len() >= most || bytes >= COMMIT_BYTES;
            if old.is_some_and(|(_, b)| *b == record) || full {
                continue;
            }
            bytes += json_bytes(&record);
            preconditions.push((Key::Shard(shard), old.map_or(0, |(revision, _)| *revision)));
            writes.push(Write::put(Key::Shard(shard), Record::Shard(record)));
        }
        if writes.is_empty() {
            return;
        }
        if highest > self.store.mirror.highest() {
            preconditions.push((Key::FencingToken, self.store.mirror.token.version()));
            let fence = self
                .store
                .mirror
                .token
                .record
                .as_ref()
                .and_then(|n| n.fence);
            let record = FencingTokenRecord { highest, fence };
            writes.push(Write::put(Key::FencingToken, Record::FencingToken(record)));
        }
        let op = StoreRequest::Transaction {
            preconditions,
            writes,
        };
        if self
            .send_store_request(op, RequestPurpose::UpdateShards, Priority::First)
            .is_ok()
            && let Some(leadership) = &mut self.leadership
        {
            leadership.busy = true;
        }
    }

    /// Whatever came of it, the watch shows it, and the next look goes on from there.
    pub(crate) fn on_shard_records_written(&mut self, _reply: StoreResponse) {
        if let Some(leadership) = &mut self.leadership {
            leadership.busy = false;
        }
    }

    /// Most bytes of a shard's record.
    pub(crate) fn record_most(&self) -> usize {
        let bytes = self.settings.state_limits().value_bytes;
        (bytes as f64 * RECORD_SHARE) as usize
    }
}
