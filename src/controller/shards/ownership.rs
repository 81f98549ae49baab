//! Which shards this controller owns: their records are followed, and a shard is given up whenever its owner may be another.

use crate::controller::Controller;
use crate::controller::events::Reply;
use crate::controller::leadership::GiveUpReason;
use crate::controller::shard::ShardOwner;
use crate::controller::store::mirror::Mirrored;
use crate::controller::store::records::ShardRecord;
use crate::wire::commands_body;
use log::{info, warn};

impl Controller {
    /// The leader's, a shard's, the token's or the plan's record changed.
    pub(crate) fn on_control_records_changed(&mut self) {
        self.context.read_limits();
        self.context.update_standby_term();
        let me = &self.context.settings.platform.controller_id;
        let may_acquire = self.context.election.may_acquire(self.context.now);
        let leader = self.context.store.mirror.leader.record.as_ref();
        let is_leader = leader
            .is_some_and(|l| l.controller_id == *me && l.incarnation == self.context.incarnation);
        if is_leader && self.context.leadership.is_none() && may_acquire {
            info!("became leader, token={}", leader.map_or(0, |l| l.token.0));
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
            .map(|(k, slot)| (*k, slot.clone()))
            .collect();
        for (shard, slot) in shards {
            let Some(record) = slot.record else {
                continue;
            };
            // A token once given up is never used again: what was answered under it
            // is forgotten, and copies of heartbeats from then may still come.
            let given_up = self
                .context
                .released_tokens
                .get(&shard)
                .is_some_and(|n| record.token <= *n);
            let me = &self.context.settings.platform.controller_id;
            let mine =
                record.owner == *me && record.incarnation == self.context.incarnation && !given_up;
            self.sync_shard(shard, slot.revision, &record, mine && may_acquire);
        }
        self.apply_scale_in();
    }

    /// Brings what is held here in line with a shard's record.
    pub(crate) fn sync_shard(
        &mut self,
        shard: u32,
        revision: u64,
        record: &ShardRecord,
        mine: bool,
    ) {
        let held = self.shards.get(&shard).map(|h| (h.token, h.shard_revision));
        match held {
            Some((token, _)) if !mine || token != record.token => {
                self.release_shard(shard, GiveUpReason::OwnedByAnother);
            }
            Some((_, known)) if known == revision => return,
            _ => {}
        }
        if !mine {
            return;
        }
        let fresh = !self.shards.contains_key(&shard);
        if fresh {
            info!("shard acquired, shard={shard} token={}", record.token.0);
            let shares_limits = self.context.settings.cells.is_some();
            let owner = ShardOwner::new(shard, record.token, self.context.now, shares_limits);
            self.shards.insert(shard, owner);
        }
        self.update_rate_limits();
        if let Some(owner) = self.shards.get_mut(&shard) {
            let context = &mut self.context;
            if fresh {
                owner.rebuild_from_mirror(context);
            }
            owner.sync(context.now, revision, record, &context.cloud.catalog);
        }
        if fresh {
            // Heartbeats wait elsewhere for the owner: their controllers learn of it at once.
            self.send_heartbeat();
        }
    }

    /// Stops acting as the owner of a shard. Always safe: another process takes over by a commit.
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
        // Its workers stay where they are until there is a new owner. An answer under
        // the token given up is worth nothing to those that have shown a higher one.
        for request_id in owner.long_polling_requests() {
            let body = commands_body(owner.token, &[]);
            self.context.answer(request_id, Reply::ok(200, body));
        }
    }

    /// Gives up everything this controller holds.
    pub(crate) fn give_up(&mut self, reason: GiveUpReason) {
        self.step_down(reason);
        let shards: Vec<u32> = self.shards.keys().copied().collect();
        for shard in shards {
            self.release_shard(shard, reason);
        }
    }

    /// Gives up everything and rests, when this controller can't do the work.
    pub(crate) fn resign(&mut self, reason: GiveUpReason) {
        let lease_s = self.context.settings.tuning.leader_lease_s;
        let lease_id = self.context.election.back_off(self.context.now, lease_s);
        self.give_up(reason);
        // Its key goes with the lease, so that nobody waits for its end.
        if let Some(lease_id) = lease_id {
            self.context.revoke_after_cloud_calls(lease_id);
        }
    }
}
