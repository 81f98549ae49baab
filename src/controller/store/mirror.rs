//! The local copy of the store's records, which the initial list fills and the watch keeps current.

use crate::controller::dependencies::graph::Dependencies;
use crate::controller::store::chunks::{ChunkLayout, EffectiveRecord, effective_placements};
use crate::controller::store::records::{
    Ending, ExhaustedPool, FencingTokenRecord, JobRecord, Key, LeaderRecord, LimitsRecord,
    PlacementRecord, PriorityClass, Record, ScalingPlanRecord, ShardRecord,
};
use crate::controller::store::status_ages::StatusAges;
use crate::ids::{ControllerId, FencingToken, JobId, MachineId, Time};
use crate::wire::Change;
use salttrestle_cells::Cell;
use salttrestle_cells::ledger::{CellRecord, LinkRecord};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// Upper bound on the endings of jobs that are kept in memory. Older endings are read from the
/// store again when they are needed.
const ENDINGS_MAX: usize = 20_000;

/// A job's record with its revision, and the state that is derived from it.
#[derive(Clone, Debug)]
pub(crate) struct MirroredJob {
    pub record: Rc<JobRecord>,
    pub revision: u64,
    /// When this process learnt that the job's record is marked as cancelled.
    pub cancelled_at: Option<Time>,
    /// The highest priority class of the job itself and of the jobs that depend on it, directly or
    /// transitively, and have neither ended nor been cancelled.
    pub priority_class: PriorityClass,
}

/// How a job ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownEnding {
    /// How the job ended.
    pub(crate) ending: Ending,
    /// Time from which on the ending may be sent to users: no controller sends an older status any
    /// more.
    pub(crate) sendable_from: Time,
}

/// A record with its revision, or the revision at which its key was deleted. Revision 0 means that
/// the key is not known to exist.
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
    /// Applies a change if its revision is newer than the known one; returns whether it did so.
    fn set(&mut self, revision: u64, record: Option<T>) -> bool {
        if revision <= self.revision {
            return false;
        }
        // The store treats a deleted key as revision 0, but the mirror keeps the revision of the
        // deletion, so that older changes which arrive later are ignored.
        self.revision = revision;
        self.record = record;
        true
    }

    /// Returns the revision that a transaction's precondition names: 0 if the key doesn't exist.
    pub(crate) fn expected_revision(&self) -> u64 {
        if self.record.is_some() {
            self.revision
        } else {
            0
        }
    }
}

/// A change of the mirror that other components of the controller react to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum MirrorEvent {
    /// A job's record was created or changed.
    JobChanged(JobId),
    /// A job's record was deleted, since the job ended.
    JobRemoved(JobId),
    /// The record of the leader, the fencing token, a shard, the scaling plan, the team limits, the
    /// cell's shares or a link to another cell changed.
    ControlRecordsChanged,
}

/// The store's records as this controller knows them.
#[derive(Debug, Default)]
pub(crate) struct StoreMirror {
    /// The store revision up to which all changes are applied.
    pub revision: u64,
    pub leader: Mirrored<LeaderRecord>,
    pub token: Mirrored<FencingTokenRecord>,
    pub plan: Mirrored<ScalingPlanRecord>,
    pub limits: Mirrored<LimitsRecord>,
    pub cell: Mirrored<CellRecord>,
    pub cell_links: BTreeMap<Cell, Mirrored<LinkRecord>>,
    pub shards: BTreeMap<u32, Mirrored<ShardRecord>>,
    pub jobs: BTreeMap<JobId, MirroredJob>,
    /// Revision and content of the placement records, by job and number of the chunk or part.
    pub placements: BTreeMap<(JobId, u32), (u64, PlacementRecord)>,
    /// The maximum ages of statuses that the controllers have announced.
    pub(crate) status_ages: StatusAges,
    /// How jobs ended, and from when on that may be sent.
    endings: HashMap<JobId, KnownEnding>,
    /// The keys of `endings`, oldest first.
    endings_order: VecDeque<JobId>,
    /// The dependencies between the jobs in the mirror.
    pub(crate) dependencies: Dependencies,
}

impl StoreMirror {
    /// Applies one change. Ignores a change that isn't newer than the known revision of its key.
    /// Returns the event for other components, if the change concerns them.
    pub(crate) fn apply(
        &mut self,
        now: Time,
        (key, revision, record): Change,
    ) -> Option<MirrorEvent> {
        match (key, record) {
            (Key::Leader, Some(Record::Leader(r))) => {
                control_event(self.leader.set(revision, Some(r)))
            }
            (Key::Leader, None) => control_event(self.leader.set(revision, None)),
            (Key::FencingToken, Some(Record::FencingToken(r))) => {
                control_event(self.token.set(revision, Some(r)))
            }
            (Key::Plan, Some(Record::Plan(r))) => control_event(self.plan.set(revision, Some(r))),
            (Key::Limits, Some(Record::Limits(r))) => {
                control_event(self.limits.set(revision, Some(r)))
            }
            (Key::Cell, Some(Record::Cell(r))) => control_event(self.cell.set(revision, Some(*r))),
            (Key::CellLink(other), Some(Record::CellLink(r))) => {
                let slot = self.cell_links.entry(other).or_default();
                control_event(slot.set(revision, Some(r)))
            }
            (Key::Limits, None) => control_event(self.limits.set(revision, None)),
            (Key::StatusAge(id), Some(Record::StatusAge(r))) => {
                self.status_ages.apply(now, id, revision, Some(r));
                None
            }
            (Key::StatusAge(id), None) => {
                self.status_ages.apply(now, id, revision, None);
                None
            }
            (Key::Shard(shard), Some(Record::Shard(r))) => {
                control_event(self.shards.entry(shard).or_default().set(revision, Some(r)))
            }
            (Key::Job(id), Some(Record::Job(r))) => self.set_job(now, id, revision, *r),
            (Key::Job(id), None) => self.apply_job_deletion(id, revision),
            (Key::Placements(id, chunk), Some(Record::Placements(r))) => {
                let slot = self.placements.entry((id, chunk)).or_default();
                if revision > slot.0 {
                    *slot = (revision, r);
                }
                None
            }
            (Key::Placements(id, chunk), None) => {
                self.apply_placements_deletion((id, chunk), revision);
                None
            }
            (Key::End(id), Some(Record::End(ending))) => {
                self.record_ending(now, id, ending);
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
        if self
            .jobs
            .get(&id)
            .is_some_and(|job| job.revision >= revision)
        {
            return None;
        }
        let before = self.jobs.get(&id);
        let marked_at = before.and_then(|job| job.cancelled_at).unwrap_or(now);
        let cancelled_at = record.cancelled.then_some(marked_at);
        let job = MirroredJob {
            revision,
            cancelled_at,
            priority_class: before.map_or(record.priority_class, |job| job.priority_class),
            record: Rc::new(record),
        };
        let is_new = before.is_none();
        self.jobs.insert(id.clone(), job);
        if is_new {
            self.link_job(&id);
        }
        if cancelled_at.is_some() {
            self.on_marked_cancelled(&id);
        }
        Some(MirrorEvent::JobChanged(id))
    }

    fn apply_job_deletion(&mut self, id: JobId, revision: u64) -> Option<MirrorEvent> {
        let job = self.jobs.get(&id);
        if job.is_none_or(|job| job.revision >= revision) {
            return None;
        }
        self.remove_job(&id);
        Some(MirrorEvent::JobRemoved(id))
    }

    fn apply_placements_deletion(&mut self, key: (JobId, u32), revision: u64) {
        let slot = self.placements.get(&key);
        if slot.is_some_and(|(known, _)| *known < revision) {
            self.placements.remove(&key);
        }
    }

    fn remove_job(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.remove(id) {
            self.unlink_job(id, &job);
        }
    }

    /// Replaces the content by a complete list that began at revision `listed_at`. Records that the
    /// list doesn't contain are removed, unless their known revision is newer than `listed_at`.
    pub(crate) fn replace(
        &mut self,
        now: Time,
        listed_at: u64,
        entries: Vec<Change>,
    ) -> Vec<MirrorEvent> {
        let mut events = Vec::new();
        let listed: std::collections::HashSet<Key> =
            entries.iter().map(|(k, _, _)| k.clone()).collect();
        let removed: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(id, job)| {
                job.revision <= listed_at && !listed.contains(&Key::Job((*id).clone()))
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in removed {
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
        self.status_ages
            .retain_listed(listed_at, |id| listed.contains(&Key::StatusAge(id.clone())));
        for change in entries {
            events.extend(self.apply(now, change));
        }
        self.revision = self.revision.max(listed_at);
        events
    }

    /// Records how a job ended. Drops the oldest endings beyond `ENDINGS_MAX`.
    pub(crate) fn record_ending(&mut self, now: Time, id: JobId, ending: Ending) {
        if !self.endings.contains_key(&id) {
            let known = KnownEnding {
                ending,
                sendable_from: now.after(self.status_ages.ending_delay_s()),
            };
            self.endings.insert(id.clone(), known);
            self.on_job_ended(&id, ending);
            self.endings_order.push_back(id);
        }
        while self.endings_order.len() > ENDINGS_MAX {
            if let Some(oldest) = self.endings_order.pop_front() {
                self.endings.remove(&oldest);
                self.request_end_read(&oldest);
            }
        }
    }

    /// Returns how a job ended, if that is in memory.
    pub(crate) fn ending(&self, id: &JobId) -> Option<KnownEnding> {
        self.endings.get(id).copied()
    }

    /// Returns the zones of pools in which the cloud has no capacity left, according to the scaling
    /// plan.
    pub(crate) fn exhausted_pools(&self) -> &[ExhaustedPool] {
        let plan = self.plan.record.as_ref();
        plan.map_or(&[], |plan| &plan.exhausted_pools)
    }

    /// Returns the placement records of a job, each with the number of its chunk or part.
    pub(crate) fn placement_records(
        &self,
        id: &JobId,
    ) -> impl Iterator<Item = (u32, &(u64, PlacementRecord))> {
        self.placements
            .range((id.clone(), 0)..=(id.clone(), u32::MAX))
            .map(|((_, chunk), placements)| (*chunk, placements))
    }

    /// Returns the valid content of a job's placement records and their layout; see
    /// [`effective_placements`].
    pub(crate) fn effective_placements(
        &self,
        id: &JobId,
        record: &JobRecord,
    ) -> (Vec<EffectiveRecord<'_>>, ChunkLayout) {
        effective_placements(record, self.placement_records(id))
    }

    /// Returns the numbers of finished and of placed tasks according to a job's placement records.
    pub(crate) fn count_done_and_placed(&self, id: &JobId) -> (u32, u32) {
        let Some(job) = self.jobs.get(id) else {
            return (0, 0);
        };
        let (placement_records, _) = self.effective_placements(id, &job.record);
        placement_records
            .iter()
            .fold((0, 0), |(done, placed), (_, _, placements)| {
                let finished: u32 = placements
                    .done
                    .iter()
                    .map(|(start, end)| end.saturating_sub(*start))
                    .sum();
                (done + finished, placed + placements.placed.len() as u32)
            })
    }

    /// Returns the leader according to the leader record.
    pub(crate) fn leader_id(&self) -> Option<&ControllerId> {
        let leader = self.leader.record.as_ref();
        leader.map(|leader| &leader.controller_id)
    }

    /// Returns the shards that have a record, by ascending number.
    pub(crate) fn shard_records(&self) -> impl Iterator<Item = (u32, &ShardRecord)> {
        let shards = self.shards.iter();
        shards.filter_map(|(shard, slot)| Some((*shard, slot.record.as_ref()?)))
    }

    /// Returns the shard whose record contains a machine.
    pub(crate) fn shard_of_machine(&self, machine: &MachineId) -> Option<(u32, &ShardRecord)> {
        self.shard_records()
            .find(|(_, record)| record.has_machine(machine))
    }

    /// Returns the highest fencing token in the records of the mirror.
    pub(crate) fn highest_token(&self) -> FencingToken {
        let recorded = self.token.record.as_ref().map(|record| record.highest);
        let shards = self.shard_records().map(|(_, record)| record);
        shards
            .map(|shard| shard.token)
            .chain(recorded)
            .max()
            .unwrap_or_default()
    }
}

fn control_event(changed: bool) -> Option<MirrorEvent> {
    changed.then_some(MirrorEvent::ControlRecordsChanged)
}
