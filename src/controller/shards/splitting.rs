//! When the leader adds a shard to the fleet, and which shard a new job belongs to.

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::shard::ShardOwner;
use crate::controller::stable_hash::stable_hash;
use crate::controller::store::records::{LimitsByTeam, MachineEntry, ShardRecord, json_bytes};
use crate::ids::{ControllerId, FencingToken, JobId};
use log::info;
use std::collections::BTreeMap;

/// A shard is added once the owners have been too busy for this many durations of a shard's lease.
pub(crate) const SPLIT_DELAY_LEASES: f64 = 2.0;

/// Age of the process in seconds from which a missing measurement of its processor use means that
/// there won't be one.
pub(crate) const MEASUREMENT_WAIT_S: f64 = 5.0;

impl Controller {
    /// The number of shards that the fleet needs.
    ///
    /// Where the processor use of this process is measured, that use decides, and only once it has
    /// called for more shards for [`SPLIT_DELAY_LEASES`]: a split costs more than a few seconds at
    /// full processor use, and it isn't undone. Without a measurement, the number of machines
    /// decides.
    pub(crate) fn shards_needed(&mut self, machines: u32, shards: usize) -> usize {
        let now = self.context.now;
        if !self.context.processor.has_measurement() {
            // The first measurement takes some seconds after the start of the process.
            let is_unavailable = self.context.process_age_s() > MEASUREMENT_WAIT_S;
            return if is_unavailable {
                self.context.settings.shard_count_for(machines)
            } else {
                shards
            };
        }
        let owned = self.shards.values().map(|owner| owner.machines.len()).sum();
        let machines_per_owner = self.context.processor.machines_per_owner(now, owned);
        let needed = machines_per_owner.map_or(1, |machines_per_owner| {
            self.context
                .settings
                .shard_count_for_capacity(machines, machines_per_owner)
        });
        let Some(leadership) = &mut self.context.leadership else {
            return shards;
        };
        if needed <= shards {
            leadership.short_of_shards_since = None;
            return shards;
        }
        let since = *leadership.short_of_shards_since.get_or_insert(now);
        let delay_s = self.context.settings.tuning.shard_lease_s * SPLIT_DELAY_LEASES;
        if now.since(since) < delay_s {
            return shards;
        }
        leadership.short_of_shards_since = None;
        info!(
            "fleet to be split, machines={machines} shards_needed={needed} reason=owner too busy"
        );
        needed
    }

    /// Adds one shard if the fleet needs more than it has and there are enough controllers, or if a
    /// machine fits into no shard's record.
    pub(crate) fn add_shard_if_needed(
        &mut self,
        records: &mut BTreeMap<u32, ShardRecord>,
        highest_token: &mut FencingToken,
    ) {
        let machines: u32 = self
            .context
            .valid_counts()
            .iter()
            .flat_map(|counts| &counts.machines_by_zone)
            .map(|(_, _, _, count)| count)
            .sum();
        let controllers = 1 + self
            .context
            .recent_heartbeats()
            .filter(|heartbeat| heartbeat.is_fresh)
            .count();
        let needed = self.shards_needed(machines, records.len());
        let leadership = self.context.leadership.as_ref();
        let are_records_full = leadership.is_some_and(|leadership| leadership.shard_records_full);
        if records.is_empty() || (records.len() >= needed.min(controllers) && !are_records_full) {
            return;
        }
        if let Some(first) = records
            .get_mut(&0)
            .filter(|record| record.machines.is_none())
        {
            // The record of the only shard has no list of machines. It needs one before there is a
            // second shard.
            let Some(owner) = self
                .shards
                .get(&0)
                .filter(|owner| owner.token == first.token)
            else {
                return;
            };
            let mut listed = first.clone();
            listed.machines = Some(owner.machine_entries());
            // Limits that were set at run time are already in the record and stay as they are here.
            // Changes of limits are applied elsewhere (`divide_limits`).
            let default_limits = || match self.context.settings.cells {
                None => self.context.settings_limits(),
                Some(_) => LimitsByTeam::new(),
            };
            listed.quota_shares.get_or_insert_with(default_limits);
            if json_bytes(&listed) > self.context.shard_record_bytes_max() {
                // The list is too large for the record. The fleet remains one shard without a list.
                return;
            }
            *first = listed;
        }
        let shards_owned: BTreeMap<ControllerId, usize> =
            records.values().fold(BTreeMap::new(), |mut owned, record| {
                *owned.entry(record.owner.clone()).or_default() += 1;
                owned
            });
        let (owner, incarnation) = self.context.least_loaded(&shards_owned);
        let shard = records.keys().max().map_or(0, |highest| highest + 1);
        info!("shard created, shard={shard} owner={owner}");
        highest_token.0 += 1;
        let record = ShardRecord {
            owner,
            incarnation,
            token: *highest_token,
            machines: Some(Vec::new()),
            quota_shares: Some(BTreeMap::new()),
        };
        records.insert(shard, record);
    }
}

impl ShardOwner {
    /// The shard's machines in the form of its record.
    pub(crate) fn machine_entries(&self) -> Vec<MachineEntry> {
        let machines = self.machines.iter();
        let entries = machines.map(|(id, machine)| {
            let (type_name, zone) = (machine.type_name.to_string(), machine.zone.to_string());
            (id.clone(), type_name, zone, machine.spot)
        });
        entries.collect()
    }
}

impl Context {
    /// The shard of a new job. It is chosen by a hash of the job's id, in proportion to the
    /// shares in the plan's record, so that all controllers choose the same shard. Shard 0 if there
    /// are no shares.
    pub(crate) fn shard_for(&self, id: &JobId) -> u32 {
        let shares = self
            .store
            .mirror
            .plan
            .record
            .as_ref()
            .map(|plan| plan.shares.as_slice());
        let shares = shares.unwrap_or(&[]);
        let total: u64 = shares.iter().map(|(_, share)| u64::from(*share)).sum();
        if total == 0 {
            return 0;
        }
        let mut remainder = stable_hash(id.as_str()) % total;
        for (shard, share) in shares {
            if remainder < u64::from(*share) {
                return *shard;
            }
            remainder -= u64::from(*share);
        }
        0
    }

    /// The shares in which new jobs are divided among shards: for each shard, the number of its
    /// machines plus one. Empty while there is only one shard.
    pub(crate) fn job_shares(&self) -> Vec<(u32, u32)> {
        let records = self.store.mirror.shard_records();
        let shares = records.filter_map(|(shard, record)| {
            let machines = record.machines.as_ref()?;
            Some((shard, machines.len() as u32 + 1))
        });
        shares.collect()
    }
}
