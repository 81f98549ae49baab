//! When the fleet is split into one more shard, and which shard takes a new job.

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::shard::ShardOwner;
use crate::controller::stable_hash::stable_hash;
use crate::controller::store::records::{Entry, LimitsByTeam, ShardRecord, json_bytes};
use crate::ids::{ControllerId, FencingToken, JobId};
use log::info;
use std::collections::BTreeMap;

/// A fleet is cut once its owner has been too busy for so many lives of a shard's lease.
pub(crate) const CUT_LEASES: f64 = 2.0;

/// A process that has run for so many seconds without a measurement won't get one.
pub(crate) const UNMEASURED_S: f64 = 5.0;

impl Controller {
    /// Into how many shards a fleet is cut. Where it is measured how busy the owner is, that
    /// decides, and only once it has said so for long: a partition costs more than a full processor for
    /// some seconds, and isn't undone.
    pub(crate) fn shards_needed(&mut self, machines: u32, shards: usize) -> usize {
        let now = self.context.now;
        if !self.context.processor.measured() {
            // A process that has just begun will be.
            let never = self.context.age_s() > UNMEASURED_S;
            return if never {
                self.context.settings.shards_for(machines)
            } else {
                shards
            };
        }
        let held = self.shards.values().map(|h| h.machines.len()).sum();
        let by_use = self.context.processor.machines_per_owner(now, held);
        let needed = by_use.map_or(1, |most| self.context.settings.shards_at(machines, most));
        let Some(leadership) = &mut self.context.leadership else {
            return shards;
        };
        if needed <= shards {
            leadership.short_of_shards_since = None;
            return shards;
        }
        let since = *leadership.short_of_shards_since.get_or_insert(now);
        let patience = self.context.settings.tuning.shard_lease_s * CUT_LEASES;
        if now.since(since) < patience {
            return shards;
        }
        leadership.short_of_shards_since = None;
        info!(
            "fleet to be split, machines={machines} shards_needed={needed} reason=owner too busy"
        );
        needed
    }

    /// One more shard, once each of them has enough machines.
    pub(crate) fn split(
        &mut self,
        records: &mut BTreeMap<u32, ShardRecord>,
        highest: &mut FencingToken,
    ) {
        let machines: u32 = self
            .context
            .valid_counts()
            .iter()
            .flat_map(|t| &t.zones)
            .map(|(_, _, _, n)| n)
            .sum();
        let controllers = 1 + self
            .context
            .recent_heartbeats()
            .filter(|h| h.is_fresh)
            .count();
        let by_size = self.shards_needed(machines, records.len());
        let crowded = self.context.leadership.as_ref().is_some_and(|l| l.crowded);
        if records.is_empty() || (records.len() >= by_size.min(controllers) && !crowded) {
            return;
        }
        if let Some(first) = records.get_mut(&0).filter(|b| b.machines.is_none()) {
            // The only shard gets a list before there is a second one.
            let Some(h) = self.shards.get(&0).filter(|h| h.token == first.token) else {
                return;
            };
            let mut listed = first.clone();
            listed.machines = Some(h.entries());
            // As they are, if they were set at run time: what is in force changes elsewhere.
            let whole = || match self.context.settings.cells {
                None => self.context.limits_of_settings(),
                Some(_) => LimitsByTeam::new(),
            };
            listed.quota_shares.get_or_insert_with(whole);
            if json_bytes(&listed) > self.context.record_most() {
                // It goes on as one shard, which needs no list.
                return;
            }
            *first = listed;
        }
        let load: BTreeMap<ControllerId, usize> =
            records.values().fold(BTreeMap::new(), |mut l, b| {
                *l.entry(b.owner.clone()).or_default() += 1;
                l
            });
        let (owner, incarnation) = self.context.least_loaded(&load);
        let shard = records.keys().max().map_or(0, |k| k + 1);
        info!("shard created, shard={shard} owner={owner}");
        highest.0 += 1;
        let record = ShardRecord {
            owner,
            incarnation,
            token: *highest,
            machines: Some(Vec::new()),
            quota_shares: Some(BTreeMap::new()),
        };
        records.insert(shard, record);
    }
}

impl ShardOwner {
    /// The shard's machines as its record lists them.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        let all = self.machines.iter();
        let all = all.map(|(id, machine)| {
            let (class, zone) = (machine.type_name.to_string(), machine.zone.to_string());
            (id.clone(), class, zone, machine.spot)
        });
        all.collect()
    }
}

impl Context {
    /// The shard that takes a new job: by the job's name, in proportion to the shares
    /// in the plan, so that every node comes to the same shard.
    pub(crate) fn shard_for(&self, id: &JobId) -> u32 {
        let shares = self
            .store
            .mirror
            .plan
            .record
            .as_ref()
            .map(|placement| placement.shares.as_slice());
        let shares = shares.unwrap_or(&[]);
        let total: u64 = shares.iter().map(|(_, n)| u64::from(*n)).sum();
        if total == 0 {
            return 0;
        }
        let mut at = stable_hash(id.as_str()) % total;
        for (shard, n) in shares {
            if at < u64::from(*n) {
                return *shard;
            }
            at -= u64::from(*n);
        }
        0
    }

    /// The shares of new jobs, by machines.
    pub(crate) fn job_shares(&self) -> Vec<(u32, u32)> {
        let records = self.store.mirror.shard_records();
        let shares = records.filter_map(|(shard, record)| {
            let machines = record.machines.as_ref()?;
            Some((shard, machines.len() as u32 + 1))
        });
        shares.collect()
    }
}
