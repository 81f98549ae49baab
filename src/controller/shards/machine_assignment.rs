//! The leader's assignment of machines to shards.

use crate::controller::context::Context;
use crate::controller::store::records::{MachineEntry, ShardRecord, json_bytes};
use crate::ids::MachineId;
use crate::wire::WorkerHeartbeat;
use std::collections::{BTreeMap, BTreeSet};

/// How long the leader remembers a deleted machine. Lists and late heartbeats may still show the
/// machine, and it must not be assigned again.
pub(crate) const DELETED_MACHINE_KEPT_S: f64 = 300.0;

impl Context {
    /// Adds each new machine to the shard that lacks the most machines of its type and market (spot
    /// or on-demand), and removes deleted machines from the shards' records. A machine never moves
    /// to another shard, because only its shard's owner knows which tasks are on it.
    pub(crate) fn assign_machines(&mut self, records: &mut BTreeMap<u32, ShardRecord>) {
        let bytes_max = self.shard_record_bytes_max();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        for list in records
            .values_mut()
            .filter_map(|record| record.machines.as_mut())
        {
            list.retain(|entry| !leadership.deleted_machines.contains_key(&entry.0));
        }
        leadership
            .unassigned
            .retain(|id, _| !leadership.deleted_machines.contains_key(id));
        let lists = records
            .values()
            .filter_map(|record| record.machines.as_ref());
        let listed: BTreeSet<MachineId> = lists.flatten().map(|entry| entry.0.clone()).collect();
        leadership.unassigned.retain(|id, _| !listed.contains(id));
        leadership.shard_records_full = false;
        let lists = records
            .iter()
            .filter(|(_, record)| record.machines.is_some());
        let mut bytes: BTreeMap<u32, usize> = if leadership.unassigned.is_empty() {
            BTreeMap::new()
        } else {
            lists
                .map(|(shard, record)| (*shard, json_bytes(record)))
                .collect()
        };
        for entry in leadership.unassigned.values() {
            let lists = records.iter_mut();
            let lists =
                lists.filter_map(|(shard, record)| Some((*shard, record.machines.as_mut()?)));
            // The record lists machines in groups by type, zone and whether they are spot machines.
            // The machine may need a new group.
            let entry_bytes_max = 2 * entry.0.as_str().len() + entry.1.len() + entry.2.len() + 20;
            let shards_with_room = lists.filter(|(shard, _)| {
                bytes
                    .get(shard)
                    .is_some_and(|used| used + entry_bytes_max < bytes_max)
            });
            let shortfall_key = |shard: u32| (entry.1.clone(), entry.3, shard);
            let shortfall_of = |shard: u32| {
                leadership
                    .machine_shortfall
                    .get(&shortfall_key(shard))
                    .copied()
                    .unwrap_or(0)
            };
            let best = shards_with_room
                .max_by_key(|(shard, list)| (shortfall_of(*shard), std::cmp::Reverse(list.len())));
            let Some((shard, list)) = best else {
                leadership.shard_records_full = !bytes.is_empty();
                return;
            };
            list.push(entry.clone());
            *bytes.entry(shard).or_default() += entry.0.as_str().len() + 1;
            if let Some(count) = leadership.machine_shortfall.get_mut(&shortfall_key(shard)) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// Handles a heartbeat of a machine that, as far as is known here, no shard's record lists. If
    /// this controller is the leader, the machine is to be assigned to a shard.
    pub(crate) fn note_unassigned(&mut self, id: &MachineId, heartbeat: &WorkerHeartbeat) {
        let entry = (
            id.clone(),
            heartbeat.type_name.clone(),
            heartbeat.zone.clone(),
            heartbeat.spot,
        );
        self.add_unassigned(entry);
    }

    /// Adds a machine to those that are to be assigned, unless it is assigned or deleted.
    pub(crate) fn add_unassigned(&mut self, entry: MachineEntry) {
        let is_assigned = self.store.mirror.shard_of_machine(&entry.0).is_some();
        if let Some(leadership) = self.leadership.as_mut().filter(|_| !is_assigned)
            && !leadership.deleted_machines.contains_key(&entry.0)
        {
            leadership.unassigned.insert(entry.0.clone(), entry);
        }
    }
}
