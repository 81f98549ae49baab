//! Which shards this controller owns. A controller acquires and releases shards as their records
//! change, and also releases a shard whenever another controller may be the owner.

use crate::controller::Controller;
use crate::controller::events::Reply;
use crate::controller::leadership::GiveUpReason;
use crate::controller::shard::ShardOwner;
use crate::controller::store::mirror::Mirrored;
use crate::controller::store::records::ShardRecord;
use crate::wire::commands_body;
use log::{info, warn};

impl Controller {
    /// Handles a change of the records of the leader, the shards, the fencing token or the plan:
    /// starts or ends this controller's leadership and its ownership of shards accordingly, and
    /// decommissions the machines that the plan scales in.
    pub(crate) fn on_control_records_changed(&mut self) {
        self.context.read_limits();
        self.context.update_standby_term();
        let own_id = &self.context.settings.platform.controller_id;
        let may_acquire = self.context.election.may_acquire(self.context.now);
        let leader = self.context.store.mirror.leader.record.as_ref();
        let is_leader = leader.is_some_and(|record| {
            record.controller_id == *own_id && record.incarnation == self.context.incarnation
        });
        if is_leader && self.context.leadership.is_none() && may_acquire {
            info!(
                "became leader, token={}",
                leader.map_or(0, |record| record.token.0)
            );
            self.context.election.begin_renewing(self.context.now);
            self.context.adopt_lease();
            self.become_leader();
        } else if !is_leader && self.context.leadership.is_some() {
            self.step_down(GiveUpReason::RecordReplaced);
        }
        let shards: Vec<(u32, Mirrored<ShardRecord>)> = self
            .context
            .store
            .mirror
            .shards
            .iter()
            .map(|(shard, slot)| (*shard, slot.clone()))
            .collect();
        for (shard, slot) in shards {
            let Some(record) = slot.record else {
                continue;
            };
            // A token whose ownership was released is never used again. The state of that ownership
            // is lost, and delayed copies of heartbeats that it has handled may still arrive.
            let is_released = self
                .context
                .released_tokens
                .get(&shard)
                .is_some_and(|released| record.token <= *released);
            let own_id = &self.context.settings.platform.controller_id;
            let is_own = record.owner == *own_id
                && record.incarnation == self.context.incarnation
                && !is_released;
            self.sync_shard(shard, slot.revision, &record, is_own && may_acquire);
        }
        self.apply_scale_in();
    }

    /// Acquires, updates or releases a shard according to its record. `is_owner` says whether this
    /// process is the owner by the record and may own shards at present.
    pub(crate) fn sync_shard(
        &mut self,
        shard: u32,
        revision: u64,
        record: &ShardRecord,
        is_owner: bool,
    ) {
        let owned = self
            .shards
            .get(&shard)
            .map(|owner| (owner.token, owner.shard_revision));
        match owned {
            Some((token, _)) if !is_owner || token != record.token => {
                self.release_shard(shard, GiveUpReason::OwnedByAnother);
            }
            Some((_, known_revision)) if known_revision == revision => return,
            _ => {}
        }
        if !is_owner {
            return;
        }
        let is_new = !self.shards.contains_key(&shard);
        if is_new {
            info!("shard acquired, shard={shard} token={}", record.token.0);
            let shares_limits = self.context.settings.cells.is_some();
            let owner = ShardOwner::new(shard, record.token, self.context.now, shares_limits);
            self.shards.insert(shard, owner);
        }
        self.update_rate_limits();
        if let Some(owner) = self.shards.get_mut(&shard) {
            let context = &mut self.context;
            if is_new {
                owner.rebuild_from_mirror(context);
            }
            owner.apply_record(context.now, revision, record, &context.cloud.catalog);
        }
        if is_new {
            // Other controllers may have worker heartbeats that wait for the shard's owner, so they
            // are told of the new owner at once.
            self.send_heartbeat();
        }
    }

    /// Stops acting as the owner of a shard. This is always safe, because another process becomes
    /// the owner only by a commit.
    pub(crate) fn release_shard(&mut self, shard: u32, reason: GiveUpReason) {
        let Some(owner) = self.shards.remove(&shard) else {
            return;
        };
        warn!(
            "shard released, shard={} token={} reason={reason}",
            owner.shard, owner.token.0
        );
        self.context
            .released_tokens
            .insert(owner.shard, owner.token);
        self.update_rate_limits();
        // The workers' long polls are answered without commands. The workers stay with their
        // controllers until there is a new owner. A worker that has seen a higher token ignores an
        // answer under the released one.
        for request_id in owner.long_polling_requests() {
            let body = commands_body(owner.token, &[]);
            self.context.answer(request_id, Reply::ok(200, body));
        }
    }

    /// Steps down as the leader and releases all shards.
    pub(crate) fn give_up(&mut self, reason: GiveUpReason) {
        self.step_down(reason);
        let shards: Vec<u32> = self.shards.keys().copied().collect();
        for shard in shards {
            self.release_shard(shard, reason);
        }
    }

    /// Steps down, releases all shards, and stays out of elections for some lease durations. Used
    /// when this controller can't do its work.
    pub(crate) fn resign(&mut self, reason: GiveUpReason) {
        let lease_s = self.context.settings.tuning.leader_lease_s;
        let lease_id = self.context.election.back_off(self.context.now, lease_s);
        self.give_up(reason);
        // The leader's key is deleted with the lease, so that no other controller has to wait for
        // the lease to expire.
        if let Some(lease_id) = lease_id {
            self.context.revoke_after_cloud_calls(lease_id);
        }
    }
}
