//! What this controller knows of the store's content, by following it.

use crate::controller::dependencies::graph::Dependencies;
use crate::controller::store::chunks::{ChunkLayout, EffectivePlacements, effective_placements};
use crate::controller::store::records::{
    Ending, ExhaustedPool, FencingTokenRecord, JobRecord, Key, LeaderRecord, LimitsRecord,
    PlacementRecord, PriorityClass, Record, ScalingPlanRecord, ShardRecord,
};
use crate::ids::{ControllerId, FencingToken, JobId, MachineId, Time};
use crate::wire::Change;
use salttrestle_cells::Cell;
use salttrestle_cells::ledger::{CellRecord, LinkRecord};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// Most final statuses kept in memory; older ones are read again when asked for.
const ENDINGS_MAX: usize = 20_000;

#[derive(Clone, Debug)]
pub(crate) struct MirroredJob {
    pub record: Rc<JobRecord>,
    pub revision: u64,
    /// When this process learnt that the job is cancelled.
    pub cancelled_at: Option<Time>,
    /// The highest rank of the job and of the open ones that depend on it.
    pub priority_class: PriorityClass,
}

/// A record with its revision; revision 0 stands for one that doesn't exist.
#[derive(Clone, Debug)]
pub(crate) struct Mirrored<T> {
    pub revision: u64,
    pub record: Option<T>,
}

impl<T> Default for Mirrored<T> {
    fn default() -> Self {
        Self {
            revision: 0,
            record: None,
        }
    }
}

impl<T> Mirrored<T> {
    /// Takes a change unless a newer one is known. True if something changed.
    fn set(&mut self, revision: u64, record: Option<T>) -> bool {
        if revision <= self.revision {
            return false;
        }
        // A deleted key compares as revision 0 at the store, but its
        // deletion must still outrank older changes that come late.
        self.revision = revision;
        self.record = record;
        true
    }

    /// The revision to compare with in a commit.
    pub(crate) fn expected_revision(&self) -> u64 {
        if self.record.is_some() {
            self.revision
        } else {
            0
        }
    }
}

/// What a change means to the rest of the controller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum MirrorEvent {
    /// A job is new, or its status changed.
    JobChanged(JobId),
    /// A job's record is gone: it ended.
    JobRemoved(JobId),
    /// The record of the leader, the fencing token, a shard, the plan or limits changed.
    ControlRecordsChanged,
}

#[derive(Debug, Default)]
pub(crate) struct StoreMirror {
    /// The revision up to which everything is known.
    pub revision: u64,
    pub leader: Mirrored<LeaderRecord>,
    pub token: Mirrored<FencingTokenRecord>,
    pub plan: Mirrored<ScalingPlanRecord>,
    pub limits: Mirrored<LimitsRecord>,
    pub cell: Mirrored<CellRecord>,
    pub cell_links: BTreeMap<Cell, Mirrored<LinkRecord>>,
    pub shards: BTreeMap<u32, Mirrored<ShardRecord>>,
    pub jobs: BTreeMap<JobId, MirroredJob>,
    pub placements: BTreeMap<(JobId, u32), (u64, PlacementRecord)>,
    /// How jobs ended, and when this process learnt it.
    endings: HashMap<JobId, (Ending, Time)>,
    endings_order: VecDeque<JobId>,
    pub(crate) dependencies: Dependencies,
}

impl StoreMirror {
    /// Takes one change. Changes come again and late, and are then ignored.
    pub(crate) fn apply(
        &mut self,
        now: Time,
        (key, revision, record): Change,
    ) -> Option<MirrorEvent> {
        match (key, record) {
            (Key::Leader, Some(Record::Leader(r))) => control(self.leader.set(revision, Some(r))),
            (Key::Leader, None) => control(self.leader.set(revision, None)),
            (Key::FencingToken, Some(Record::FencingToken(r))) => {
                control(self.token.set(revision, Some(r)))
            }
            (Key::Plan, Some(Record::Plan(r))) => control(self.plan.set(revision, Some(r))),
            (Key::Limits, Some(Record::Limits(r))) => control(self.limits.set(revision, Some(r))),
            (Key::Cell, Some(Record::Cell(r))) => control(self.cell.set(revision, Some(*r))),
            (Key::CellLink(other), Some(Record::CellLink(r))) => {
                let slot = self.cell_links.entry(other).or_default();
                control(slot.set(revision, Some(r)))
            }
            (Key::Limits, None) => control(self.limits.set(revision, None)),
            (Key::Shard(k), Some(Record::Shard(r))) => {
                control(self.shards.entry(k).or_default().set(revision, Some(r)))
            }
            (Key::Job(id), Some(Record::Job(r))) => self.set_job(now, id, revision, *r),
            (Key::Job(id), None) => {
                let old = self.jobs.get(&id).is_some_and(|j| j.revision < revision);
                if !old {
                    return None;
                }
                self.remove_job(&id);
                Some(MirrorEvent::JobRemoved(id))
            }
            (Key::Placements(id, chunk), Some(Record::Placements(r))) => {
                let at = self.placements.entry((id, chunk)).or_default();
                if revision > at.0 {
                    *at = (revision, r);
                }
                None
            }
            (Key::Placements(id, chunk), None) => {
                let key = (id, chunk);
                if self.placements.get(&key).is_some_and(|r| r.0 < revision) {
                    self.placements.remove(&key);
                }
                None
            }
            (Key::End(id), Some(Record::End(e))) => {
                self.remember(now, id, e);
                None
            }
            _ => None,
        }
    }

    fn set_job(
        &mut self,
        now: Time,
        id: JobId,
        revision: u64,
        record: JobRecord,
    ) -> Option<MirrorEvent> {
        if self.jobs.get(&id).is_some_and(|j| j.revision >= revision) {
            return None;
        }
        let before = self.jobs.get(&id);
        let since = before.and_then(|j| j.cancelled_at).unwrap_or(now);
        let cancelled_at = record.cancelled.then_some(since);
        let job = MirroredJob {
            revision,
            cancelled_at,
            priority_class: before.map_or(record.priority_class, |j| j.priority_class),
            record: Rc::new(record),
        };
        let new = before.is_none();
        self.jobs.insert(id.clone(), job);
        if new {
            self.link(&id);
        }
        if cancelled_at.is_some() {
            self.on_marked_cancelled(&id);
        }
        Some(MirrorEvent::JobChanged(id))
    }

    fn remove_job(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.remove(id) {
            self.unlink(id, &job);
        }
    }

    /// Takes a full listing that began at revision `listed_at`: what it doesn't hold is gone.
    pub(crate) fn replace(
        &mut self,
        now: Time,
        listed_at: u64,
        entries: Vec<Change>,
    ) -> Vec<MirrorEvent> {
        let mut events = Vec::new();
        let listed: std::collections::HashSet<Key> =
            entries.iter().map(|(k, _, _)| k.clone()).collect();
        let lost: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(id, j)| j.revision <= listed_at && !listed.contains(&Key::Job((*id).clone())))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.remove_job(&id);
            events.push(MirrorEvent::JobRemoved(id));
        }
        self.placements.retain(|(id, chunk), (revision, _)| {
            *revision > listed_at || listed.contains(&Key::Placements(id.clone(), *chunk))
        });
        if !listed.contains(&Key::Leader) {
            self.leader.set(listed_at, None);
        }
        if !listed.contains(&Key::Limits) {
            self.limits.set(listed_at, None);
        }
        for change in entries {
            events.extend(self.apply(now, change));
        }
        self.revision = self.revision.max(listed_at);
        events
    }

    /// Remembers how a job ended, within a bound.
    pub(crate) fn remember(&mut self, now: Time, id: JobId, ending: Ending) {
        if !self.endings.contains_key(&id) {
            self.endings.insert(id.clone(), (ending, now));
            self.on_job_ended(&id, ending);
            self.endings_order.push_back(id);
        }
        while self.endings_order.len() > ENDINGS_MAX {
            if let Some(old) = self.endings_order.pop_front() {
                self.endings.remove(&old);
                self.request_end_read(&old);
            }
        }
    }

    /// How a job ended, and since when that is known here.
    pub(crate) fn ending(&self, id: &JobId) -> Option<(Ending, Time)> {
        self.endings.get(id).copied()
    }

    /// What the cloud has nothing left of, as the plan says.
    pub(crate) fn exhausted_pools(&self) -> &[ExhaustedPool] {
        let plan = self.plan.record.as_ref();
        plan.map_or(&[], |placement| &placement.exhausted_pools)
    }

    /// The chunks written for a job.
    pub(crate) fn chunks(
        &self,
        id: &JobId,
    ) -> impl Iterator<Item = (u32, &(u64, PlacementRecord))> {
        self.placements
            .range((id.clone(), 0)..=(id.clone(), u32::MAX))
            .map(|((_, chunk), run)| (*chunk, run))
    }

    /// What a job's records say together, and how they are laid out.
    pub(crate) fn effective_placements(
        &self,
        id: &JobId,
        record: &JobRecord,
    ) -> (Vec<EffectivePlacements<'_>>, ChunkLayout) {
        effective_placements(record, self.chunks(id))
    }

    /// Finished and placed tasks as far as they are written.
    pub(crate) fn counts(&self, id: &JobId) -> (u32, u32) {
        let Some(job) = self.jobs.get(id) else {
            return (0, 0);
        };
        let (runs, _) = self.effective_placements(id, &job.record);
        runs.iter().fold((0, 0), |(done, placed), (_, _, run)| {
            let ended: u32 = run.done.iter().map(|(a, b)| b.saturating_sub(*a)).sum();
            (done + ended, placed + run.placed.len() as u32)
        })
    }

    /// Who leads, as far as is known.
    pub(crate) fn leader_id(&self) -> Option<&ControllerId> {
        let leader = self.leader.record.as_ref();
        leader.map(|leader| &leader.controller_id)
    }

    /// The shards that have a record, in the order of their numbers.
    pub(crate) fn shard_records(&self) -> impl Iterator<Item = (u32, &ShardRecord)> {
        let shards = self.shards.iter();
        shards.filter_map(|(shard, slot)| Some((*shard, slot.record.as_ref()?)))
    }

    /// The shard whose record lists a machine.
    pub(crate) fn shard_of_machine(&self, machine: &MachineId) -> Option<(u32, &ShardRecord)> {
        self.shard_records().find(|(_, record)| record.has(machine))
    }

    /// The highest token that anything known here speaks of.
    pub(crate) fn highest_token(&self) -> FencingToken {
        let said = self.token.record.as_ref().map(|r| r.highest);
        let held = self.shard_records().map(|(_, record)| record);
        held.map(|b| b.token).chain(said).max().unwrap_or_default()
    }
}

fn control(changed: bool) -> Option<MirrorEvent> {
    changed.then_some(MirrorEvent::ControlRecordsChanged)
}
