//! Which shard a machine belongs to: machines of no shard yet are assigned, deleted ones leave.

use crate::controller::context::Context;
use crate::controller::store::records::{MachineEntry, ShardRecord, json_bytes};
use crate::ids::MachineId;
use crate::wire::WorkerHeartbeat;
use std::collections::{BTreeMap, BTreeSet};

/// Names of deleted machines are kept this long, in seconds.
pub(crate) const GONE_S: f64 = 300.0;

impl Context {
    /// New machines go to the shard that lacks them most; deleted ones leave the lists. A machine
    /// never changes its shard: only the owner knows what is on it.
    pub(crate) fn assign_machines(&mut self, records: &mut BTreeMap<u32, ShardRecord>) {
        let most = self.record_most();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        for list in records.values_mut().filter_map(|b| b.machines.as_mut()) {
            list.retain(|e| !leadership.deleted_machines.contains_key(&e.0));
        }
        leadership
            .unassigned
            .retain(|id, _| !leadership.deleted_machines.contains_key(id));
        let lists = records.values().filter_map(|b| b.machines.as_ref());
        let listed: BTreeSet<MachineId> = lists.flatten().map(|e| e.0.clone()).collect();
        leadership.unassigned.retain(|id, _| !listed.contains(id));
        leadership.crowded = false;
        let lists = records.iter().filter(|(_, b)| b.machines.is_some());
        let mut bytes: BTreeMap<u32, usize> = if leadership.unassigned.is_empty() {
            BTreeMap::new()
        } else {
            lists.map(|(k, b)| (*k, json_bytes(b))).collect()
        };
        for entry in leadership.unassigned.values() {
            let lists = records.iter_mut();
            let lists = lists.filter_map(|(k, b)| Some((*k, b.machines.as_mut()?)));
            // A new type or zone costs its own group in the list.
            let size = 2 * entry.0.as_str().len() + entry.1.len() + entry.2.len() + 20;
            let open = lists.filter(|(k, _)| bytes.get(k).is_some_and(|n| n + size < most));
            let key = |shard: u32| (entry.1.clone(), entry.3, shard);
            let lack = |shard: u32| {
                leadership
                    .lacking_machines
                    .get(&key(shard))
                    .copied()
                    .unwrap_or(0)
            };
            let best = open.max_by_key(|(k, list)| (lack(*k), std::cmp::Reverse(list.len())));
            let Some((shard, list)) = best else {
                leadership.crowded = !bytes.is_empty();
                return;
            };
            list.push(entry.clone());
            *bytes.entry(shard).or_default() += entry.0.as_str().len() + 1;
            if let Some(n) = leadership.lacking_machines.get_mut(&key(shard)) {
                *n = n.saturating_sub(1);
            }
        }
    }

    /// A worker heartbeats that belongs to no shard here. The leader sees to it that
    /// it comes to belong to one.
    pub(crate) fn note_unassigned(&mut self, id: &MachineId, heartbeat: &WorkerHeartbeat) {
        let entry = (
            id.clone(),
            heartbeat.class.clone(),
            heartbeat.zone.clone(),
            heartbeat.spot,
        );
        self.add_unassigned(entry);
    }

    pub(crate) fn add_unassigned(&mut self, entry: MachineEntry) {
        let known = self.store.mirror.shard_of_machine(&entry.0).is_some();
        if let Some(leadership) = self.leadership.as_mut().filter(|_| !known)
            && !leadership.deleted_machines.contains_key(&entry.0)
        {
            leadership.unassigned.insert(entry.0.clone(), entry);
        }
    }
}
