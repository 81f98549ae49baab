//! The leader's changes of the shards' records, which assign shards to owners. All changes are
//! committed in one transaction, as far as they fit into it.

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{FencingTokenRecord, Key, Record, ShardRecord, json_bytes};
use crate::controller::store_requests::RequestPurpose;
use crate::ids::FencingToken;
use crate::wire::{StoreRequest, StoreResponse, Write};
use std::collections::BTreeMap;

/// Fraction of the store's value limit that a shard's record may fill.
const RECORD_FILL_FRACTION_MAX: f64 = 0.85;
/// Size at which a transaction gets no more records, in JSON bytes. It is below the store's limit
/// of 64 KiB per transaction.
const TRANSACTION_BYTES_MAX: usize = 40 * 1024;

impl Controller {
    /// Computes the new records of all shards, and commits those that change. Does nothing while an
    /// earlier commit is in flight, or if this controller isn't a leader with a valid lease and a
    /// fresh view of the store.
    pub(crate) fn update_shard_records(&mut self) {
        let Some(leadership) = &self.context.leadership else {
            return;
        };
        if leadership.lease_change_pending
            || !self.context.has_valid_lease()
            || self.context.is_stale()
        {
            return;
        }
        let before: BTreeMap<u32, (u64, ShardRecord)> = self
            .context
            .store
            .mirror
            .shards
            .iter()
            .filter_map(|(shard, slot)| Some((*shard, (slot.revision, slot.record.clone()?))))
            .collect();
        let mut after: BTreeMap<u32, ShardRecord> = before
            .iter()
            .map(|(shard, (_, record))| (*shard, record.clone()))
            .collect();
        let mut highest_token = self.context.store.mirror.highest_token();
        self.reassign_lost_shards(&mut after, &mut highest_token);
        self.add_shard_if_needed(&mut after, &mut highest_token);
        self.context.assign_machines(&mut after);
        self.context.divide_limits(&mut after);
        self.context
            .commit_shard_records(&before, after, highest_token);
    }
}

impl Context {
    /// Commits the records that differ between `before` and `after`. Records that don't fit into
    /// the transaction are left to the next call. `highest_token` is the highest fencing token in
    /// `after`.
    fn commit_shard_records(
        &mut self,
        before: &BTreeMap<u32, (u64, ShardRecord)>,
        after: BTreeMap<u32, ShardRecord>,
        highest_token: FencingToken,
    ) {
        let mut preconditions = vec![(Key::Leader, self.store.mirror.leader.expected_revision())];
        if self.settings.cells.is_some() {
            // The shards' quota shares were computed from the cell's record.
            preconditions.push((Key::Cell, self.store.mirror.cell.expected_revision()));
        }
        let (mut writes, mut bytes) = (Vec::new(), 0);
        // One write is left for the record of the fencing token.
        let records_max = self.settings.store_limits().txn_ops - 1;
        for (shard, record) in after {
            let old = before.get(&shard);
            let is_full = writes.len() >= records_max || bytes >= TRANSACTION_BYTES_MAX;
            if old.is_some_and(|(_, old_record)| *old_record == record) || is_full {
                continue;
            }
            bytes += json_bytes(&record);
            preconditions.push((Key::Shard(shard), old.map_or(0, |(revision, _)| *revision)));
            writes.push(Write::put(Key::Shard(shard), Record::Shard(record)));
        }
        if writes.is_empty() {
            return;
        }
        if highest_token > self.store.mirror.highest_token() {
            preconditions.push((
                Key::FencingToken,
                self.store.mirror.token.expected_revision(),
            ));
            let fence = self
                .store
                .mirror
                .token
                .record
                .as_ref()
                .and_then(|record| record.fence);
            let record = FencingTokenRecord {
                highest: highest_token,
                fence,
            };
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
            leadership.lease_change_pending = true;
        }
    }

    /// Handles the response to a commit of shard records. The response itself doesn't matter: the
    /// watch reports the records as they are now, and the next update starts from these.
    pub(crate) fn on_shard_records_written(&mut self, _response: StoreResponse) {
        if let Some(leadership) = &mut self.leadership {
            leadership.lease_change_pending = false;
        }
    }

    /// Maximum size of a shard's record in JSON bytes.
    pub(crate) fn shard_record_bytes_max(&self) -> usize {
        let bytes = self.settings.store_limits().value_bytes;
        (bytes as f64 * RECORD_FILL_FRACTION_MAX) as usize
    }
}
