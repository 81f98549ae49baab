//! What the leader does for the limits that its cell shares with others.
//!
//! The cell's record and one for each other cell stand at this cell's own store. The leader
//! makes one change of them at a time, as `salttrestle_cells::ledger` allows it, on the condition
//! that the leader's record, the cell's, the link's and, where room is given away, every shard's
//! are unchanged. What other cells tell is only ever a reason to try; a rule rests on none of it.
//! Shards are allowed what the cell's record says, in commits that are conditional on it.

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::events::Output;
use crate::controller::quota::team_limits::LimitsWanted;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::shard::ShardOwner;
use crate::controller::store::mirror::Mirrored;
use crate::controller::store::records::{Key, LimitsByTeam, Record};
use crate::controller::store_requests::RequestPurpose;
use crate::ids::Time;
use crate::peer::TeamCount;
use crate::settings::CellsFile;
use crate::wire::{StoreRequest, StoreResponse, Write};
use log::{debug, info, warn};
use salttrestle_cells::ledger::{CellRecord, LinkRecord, Refusal};
use salttrestle_cells::message::{LinkMessage, Recall};
use salttrestle_cells::sharing::{TeamView, called_back, gifts, needs};
use salttrestle_cells::{Amount, Cell};
use std::collections::BTreeMap;

/// Between two messages to another cell while nothing changes, in seconds.
const SAY_S: f64 = 0.5;
/// And while something does.
const SAY_CHANGED_S: f64 = 0.1;
/// Between two accounts in the log, in seconds.
const TELL_S: f64 = 30.0;
/// A cell that hasn't been heard for so long is named as partitioned, in seconds.
const CUT_OFF_S: f64 = 5.0;
/// What a cell needs or calls back is believed for so long, in seconds: no room is given for a need
/// of long ago, and no shard is held back for a recall that may be over.
const BELIEVED_S: f64 = 10.0;

/// What this controller knows of the other cells.
#[derive(Debug, Default)]
pub(crate) struct CellSharing {
    /// The last message of each cell, and when it came.
    heard: BTreeMap<Cell, (LinkMessage, Time)>,
    /// A change is being committed.
    busy: bool,
    /// The next change is made once everything up to this revision is known here.
    after: u64,
    /// What was told last, and when something is told next.
    said: BTreeMap<Cell, LinkMessage>,
    say_at: Time,
    tell_at: Time,
    /// Messages that were dropped, since they are of or for an unknown cell.
    dropped: u64,
    /// That the cells file is an old one was told.
    old_file_told: bool,
}

/// One change of the cell's records.
#[derive(Debug)]
struct CellChange {
    cell: Option<CellRecord>,
    link: Option<(Cell, LinkRecord)>,
    /// The shards' records have to be unchanged.
    on_shards: bool,
    why: String,
}

impl CellChange {
    fn of_cell(cell: CellRecord, on_shards: bool, why: String) -> Self {
        Self {
            cell: Some(cell),
            link: None,
            on_shards,
            why,
        }
    }
}

/// A shard with what its owner counted under its present record.
struct CountedShard<'a> {
    quota_shares: &'a LimitsByTeam,
    teams: &'a [(String, TeamCount)],
}

impl Controller {
    pub(crate) fn cells_housekeeping(&mut self) {
        let Some(file) = self.context.settings.cells.clone() else {
            return;
        };
        if self.context.leadership.is_none()
            || !self.context.lease_valid()
            || self.context.is_stale()
        {
            return;
        }
        self.count_again();
        self.context.say_to_cells(&file);
        self.context.tell_of_cells(&file);
        if self.context.cells.busy || self.context.store.mirror.revision < self.context.cells.after
        {
            return;
        }
        if let Some(change) = self.context.next_cell_change(&file) {
            self.context.commit_cell_change(change);
        }
        // A share that has just come is for the shards to use, and one that another cell needs is
        // for them to leave.
        self.lease_housekeeping();
    }

    /// Counts the shards held here anew if their records have changed since. Counted only every
    /// half second, they were out of date whenever quota shares had just changed, and while demand
    /// moved that was always: no room was given, and starts waited for 10 s.
    fn count_again(&mut self) {
        let current = |shard: &u32, owner: &ShardOwner| {
            let counts = self
                .context
                .leadership
                .as_ref()
                .and_then(|leadership| leadership.shard_counts.get(shard));
            counts.is_some_and(|(c, _)| c.revision == owner.shard_revision)
        };
        if !self.shards.iter().all(|(shard, h)| current(shard, h)) {
            self.send_counts();
        }
    }
}

impl Context {
    /// Another cell's leader tells how things stand there.
    pub(crate) fn on_cell_message(&mut self, message: LinkMessage) {
        let Some(file) = &self.settings.cells else {
            return;
        };
        let known = message.to == file.here && file.others().any(|cell| *cell == message.from);
        if !known {
            self.cells.dropped += 1;
            debug!(
                "cell message dropped, from={} to={}",
                message.from, message.to
            );
            return;
        }
        let entry = (message.clone(), self.now);
        self.cells.heard.insert(message.from, entry);
    }

    fn next_cell_change(&mut self, file: &CellsFile) -> Option<CellChange> {
        let Some(record) = self.store.mirror.cell.record.clone() else {
            let record = CellRecord::found(&file.here, file.generation, &file.teams);
            return Some(CellChange::of_cell(
                record,
                false,
                "the first record".into(),
            ));
        };
        match record.adopt(&file.here, file.generation, &file.teams) {
            Ok(adopted) => {
                let why = format!("generation {} of the cells file", file.generation);
                return Some(CellChange::of_cell(adopted, false, why));
            }
            Err(Refusal::OldFile) if !self.cells.old_file_told => {
                let (old, new) = (file.generation, record.generation);
                warn!("cells file is old, generation={old} newest_generation={new}");
                self.cells.old_file_told = true;
            }
            Err(_) => {}
        }
        let transfer = self.transfer_change(&record);
        transfer
            .or_else(|| self.limit_change(&record, file))
            .or_else(|| self.gift(&record, file))
    }

    /// A transfer that was told of is taken, or one that is known to be taken is forgotten.
    fn transfer_change(&self, record: &CellRecord) -> Option<CellChange> {
        for (from, (message, _)) in &self.cells.heard {
            let link = self.cell_link(from);
            if let Ok(forgotten) = link.forget(message.taken) {
                return Some(CellChange {
                    cell: None,
                    link: Some((from.clone(), forgotten)),
                    on_shards: false,
                    why: format!("{from} has taken transfer {}", message.taken),
                });
            }
            let Some(transfer) = &message.transfer else {
                continue;
            };
            if let Ok((cell, link)) = record.take(&link, transfer) {
                return Some(CellChange {
                    cell: Some(cell),
                    link: Some((from.clone(), link)),
                    on_shards: false,
                    why: format!("takes transfer {} of {from}", transfer.number),
                });
            }
        }
        None
    }

    /// A limit that is made here moves towards what the operators want.
    fn limit_change(&self, record: &CellRecord, file: &CellsFile) -> Option<CellChange> {
        let views = self.team_views(record, file);
        for team in record.limits.keys() {
            let wanted = self.limit_asked(record, team);
            let view = views.as_ref().and_then(|views| views.get(team));
            // While nobody has counted, all of the share may be in use.
            let held = view.map_or(record.share(team), |view| view.held);
            if let Ok(changed) = record.change_limit(team, wanted, held) {
                let limit = changed.limits.get(team).copied().unwrap_or_default();
                let why = format!("the limit of {team} is {:?}", limit.to_pair());
                return Some(CellChange::of_cell(changed, true, why));
            }
        }
        None
    }

    /// The limit that operators ask for, of a team at home here.
    fn limit_asked(&self, record: &CellRecord, team: &str) -> Amount {
        let asked = self
            .limit_set(team)
            .map(|(c, g)| Amount::rounded_down(c, g));
        asked.unwrap_or_else(|| record.limits.get(team).copied().unwrap_or_default())
    }

    /// Room for a cell that depends on it more, or for a home that calls it back.
    fn gift(&self, record: &CellRecord, file: &CellsFile) -> Option<CellChange> {
        let mut views = self.team_views(record, file)?;
        // What the home calls back it doesn't give away itself.
        let lowering = |team: &str| {
            let limit = record.limits.get(team);
            limit.is_some_and(|limit| !limit.beyond(self.limit_asked(record, team)).is_zero())
        };
        views.retain(|team, _| !lowering(team));
        let messages = self
            .believed_messages()
            .map(|machine| (machine.from.clone(), machine))
            .collect();
        for (to, amounts) in gifts(&views, &messages, file.cells.len()) {
            let held = |team: &str| views.get(team).map_or(Amount::ZERO, |view| view.held);
            let teams = amounts.len();
            if let Ok((cell, link)) = record.give(&self.cell_link(&to), amounts, held) {
                return Some(CellChange {
                    cell: Some(cell),
                    why: format!("gives room of {teams} teams to {to}"),
                    link: Some((to, link)),
                    on_shards: true,
                });
            }
        }
        None
    }

    fn commit_cell_change(&mut self, change: CellChange) {
        let mut preconditions = vec![(Key::Leader, self.store.mirror.leader.version())];
        let mut writes = Vec::new();
        preconditions.push((Key::Cell, self.store.mirror.cell.version()));
        if let Some(cell) = change.cell {
            writes.push(Write::put(Key::Cell, Record::Cell(Box::new(cell))));
        }
        if let Some((other, link)) = change.link {
            let key = Key::CellLink(other.clone());
            let slot = self.store.mirror.cell_links.get(&other);
            preconditions.push((key.clone(), slot.map_or(0, Mirrored::version)));
            writes.push(Write::put(key, Record::CellLink(link)));
        }
        if change.on_shards {
            let shards = self.store.mirror.shards.iter();
            preconditions.extend(shards.map(|(shard, slot)| (Key::Shard(*shard), slot.version())));
        }
        debug!("cell records change, reason={}", change.why);
        let op = StoreRequest::Transaction {
            preconditions,
            writes,
        };
        self.cells.busy = self
            .send_store_request(op, RequestPurpose::CellChange, Priority::First)
            .is_ok();
    }

    /// Whatever came of it, the watch shows it, and the next look goes on from there.
    pub(crate) fn on_cell_changed(&mut self, reply: StoreResponse) {
        self.cells.busy = false;
        if let StoreResponse::Committed { revision } = reply {
            self.cells.after = revision;
        }
    }

    fn cell_link(&self, other: &Cell) -> LinkRecord {
        let slot = self.store.mirror.cell_links.get(other);
        slot.and_then(|slot| slot.record.clone())
            .unwrap_or_default()
    }

    fn believed_messages(&self) -> impl Iterator<Item = &LinkMessage> {
        let recent = |at: &Time| self.now.since(*at) < BELIEVED_S;
        let heard = self.cells.heard.values();
        heard
            .filter(move |(_, at)| recent(at))
            .map(|(message, _)| message)
    }

    /// How much of a team's share here is called back: by its home or, at home, by the operators.
    /// A home leaves at once what it doesn't need itself.
    fn called_back_here(&self, record: &CellRecord, team: &str, view: Option<&TeamView>) -> Amount {
        let share = record.share(team);
        let Some(limit) = record.limits.get(team) else {
            return called_back(team, share, self.believed_messages());
        };
        let recall = Recall {
            team: team.into(),
            amount: limit.beyond(self.limit_asked(record, team)),
            limit: *limit,
        };
        let unneeded = view.map_or(Amount::ZERO, |view| share.beyond(view.target()));
        recall.part_of(share).most(recall.amount.least(unneeded))
    }

    /// Each team as it stands in this cell, if every shard's owner has counted under its present
    /// record. What a shard may use counts as held, and what it still uses beyond that.
    fn team_views(
        &self,
        record: &CellRecord,
        file: &CellsFile,
    ) -> Option<BTreeMap<String, TeamView>> {
        let counts = self.current_counts()?;
        let mut views = BTreeMap::new();
        for (team, share) in &record.shares {
            let mut view = TeamView {
                share: *share,
                floor: file.floors.get(team).copied().unwrap_or_default(),
                ..TeamView::default()
            };
            for shard in &counts {
                let found = shard.teams.iter().find(|(name, _)| name == team);
                let count = found.map(|(_, count)| *count).unwrap_or_default();
                let allowed = shard.quota_shares.get(team).copied().unwrap_or_default();
                let allowed = Amount::rounded_up(allowed.0, allowed.1);
                let used = Amount::rounded_up(count.cpus, count.gpus);
                let wanted = Amount::rounded_up(count.cpus_wanted, count.gpus_wanted);
                view.held = view.held.plus(allowed.most(used));
                view.used = view.used.plus(used);
                view.wanted = view.wanted.plus(wanted);
            }
            views.insert(team.clone(), view);
        }
        Some(views)
    }

    /// Each shard's quota shares with its owner's counts under them.
    fn current_counts(&self) -> Option<Vec<CountedShard<'_>>> {
        let believed = self.believed();
        let shards = self.store.mirror.shards.iter();
        let counts = shards.map(|(shard, slot)| {
            let quota_shares = slot.record.as_ref()?.quota_shares.as_ref()?;
            let mut current = believed.iter();
            let found = current.find(|c| c.shard == *shard && c.revision == slot.revision)?;
            Some(CountedShard {
                quota_shares,
                teams: &found.teams,
            })
        });
        counts.collect()
    }

    /// What the shards of this cell together are to allow: its share of each team, less what is
    /// called back, and of what is left no more than the cell would like to have, so that the
    /// rest can be given away.
    pub(crate) fn cell_limits(&self, file: &CellsFile) -> LimitsWanted {
        let Some(record) = &self.store.mirror.cell.record else {
            return LimitsWanted::Set(LimitsByTeam::new());
        };
        let views = self.team_views(record, file);
        let limits = record.shares.iter().map(|(team, share)| {
            let view = views.as_ref().and_then(|views| views.get(team));
            let kept = share.beyond(self.called_back_here(record, team, view));
            let allowed = match view {
                Some(view) => kept.least(self.allowed_of(team, view)),
                None => kept.least(self.allowed_now(team)),
            };
            (team.clone(), allowed.to_pair())
        });
        LimitsWanted::Set(limits.collect())
    }

    /// What is promised to the shards: what they would like, or all that nobody else needs.
    fn allowed_of(&self, team: &str, view: &TeamView) -> Amount {
        let needs = self.believed_messages().flat_map(|machine| &machine.needs);
        let needed = needs.filter(|need| need.team == team);
        let (more, lacking) = needed.fold((Amount::ZERO, Amount::ZERO), |(more, lacking), need| {
            (more.most(need.more), lacking.most(need.lacking))
        });
        view.share.beyond(view.to_leave(more, lacking))
    }

    /// What the shards allow now.
    fn allowed_now(&self, team: &str) -> Amount {
        let records = self
            .store
            .mirror
            .shards
            .values()
            .filter_map(|slot| slot.record.as_ref());
        let quota_shares = records.filter_map(|record| record.quota_shares.as_ref()?.get(team));
        quota_shares.fold(Amount::ZERO, |sum, (c, g)| {
            sum.plus(Amount::rounded_down(*c, *g))
        })
    }

    fn say_to_cells(&mut self, file: &CellsFile) {
        let Some(record) = self
            .store
            .mirror
            .cell
            .record
            .as_ref()
            .filter(|_| self.now >= self.cells.say_at)
        else {
            return;
        };
        let views = self.team_views(record, file);
        let mut changed = false;
        let mut messages = Vec::new();
        for to in file.others() {
            let message = self.message_to(to, record, views.as_ref(), file);
            changed |= self.cells.said.get(to) != Some(&message);
            messages.push((to.clone(), message));
        }
        let pause = if changed { SAY_CHANGED_S } else { SAY_S };
        self.cells.say_at = self.now.after(pause);
        for (to, message) in messages {
            self.outbox.push(Output::Cell(to.clone(), message.clone()));
            self.cells.said.insert(to, message);
        }
    }

    fn message_to(
        &self,
        to: &Cell,
        record: &CellRecord,
        views: Option<&BTreeMap<String, TeamView>>,
        file: &CellsFile,
    ) -> LinkMessage {
        let link = self.cell_link(to);
        let recalls = record.limits.iter().map(|(team, limit)| Recall {
            team: team.clone(),
            amount: limit.beyond(self.limit_asked(record, team)),
            limit: *limit,
        });
        LinkMessage {
            from: file.here.clone(),
            to: to.clone(),
            generation: file.generation,
            taken: link.taken,
            transfer: link.pending,
            needs: views.map(needs).unwrap_or_default(),
            recalls: recalls.filter(|r| !r.amount.is_zero()).collect(),
        }
    }

    /// Tells an operator from time to time how the shares stand.
    fn tell_of_cells(&mut self, file: &CellsFile) {
        if self.now < self.cells.tell_at {
            return;
        }
        self.cells.tell_at = self.now.after(TELL_S);
        let Some(record) = &self.store.mirror.cell.record else {
            return;
        };
        for cell in file.others() {
            let age = self
                .cells
                .heard
                .get(cell)
                .map(|(_, at)| self.now.since(*at));
            let pending = self.cell_link(cell).pending.map_or(0, |t| t.amounts.len());
            match age.filter(|age| *age < CUT_OFF_S) {
                Some(age) => {
                    info!("cell heard, cell={cell} age_s={age:.1} teams_in_transit={pending}");
                }
                None => warn!("cell unreachable, cell={cell} teams_in_transit={pending}"),
            }
        }
        let revision = self.store.mirror.cell.revision;
        let dropped = self.cells.dropped;
        info!(
            "cell shares, cell={} revision={revision} messages_dropped={dropped}",
            file.here
        );
        let views = self.team_views(record, file).unwrap_or_default();
        for (team, view) in &views {
            let ((cpus, gpus), used) = (view.share.to_pair(), view.used.to_pair());
            debug!("team share, team={team} cpus={cpus} gpus={gpus} used={used:?}");
        }
        for (team, limit) in &record.limits {
            let asked = self.limit_asked(record, team);
            if asked != *limit {
                let (limit, asked) = (limit.to_pair(), asked.to_pair());
                warn!("team limit not lowered yet, team={team} in_force={limit:?} asked={asked:?}");
            }
        }
    }
}
