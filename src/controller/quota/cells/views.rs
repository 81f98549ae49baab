//! The state of each team in this cell, and the limits that the cell's shards together get from it.

use crate::controller::context::Context;
use crate::controller::quota::team_limits::LimitsWanted;
use crate::controller::store::records::LimitsByTeam;
use crate::peer::TeamCount;
use crate::settings::CellsFile;
use salttrestle_cells::Amount;
use salttrestle_cells::ledger::CellRecord;
use salttrestle_cells::message::Recall;
use salttrestle_cells::sharing::{TeamView, called_back};
use std::collections::BTreeMap;

/// A shard with its owner's counts under its present record.
struct CountedShard<'a> {
    quota_shares: &'a LimitsByTeam,
    teams: &'a [(String, TeamCount)],
}

impl Context {
    /// The limit that operators ask for, of a team at home here.
    pub(super) fn requested_limit(&self, record: &CellRecord, team: &str) -> Amount {
        let requested = self
            .limit_set(team)
            .map(|(cpus, gpus)| Amount::rounded_down(cpus, gpus));
        requested.unwrap_or_else(|| record.limits.get(team).copied().unwrap_or_default())
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
            amount: limit.beyond(self.requested_limit(record, team)),
            limit: *limit,
        };
        let unneeded = view.map_or(Amount::ZERO, |view| share.beyond(view.target()));
        recall.part_of(share).most(recall.amount.least(unneeded))
    }

    /// The state of each team in this cell, if every shard's owner has counted under its present
    /// record. What a shard may use counts as held, and what it still uses beyond that.
    pub(super) fn team_views(
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
                let counted = shard.teams.iter().find(|(name, _)| name == team);
                let count = counted.map(|(_, count)| *count).unwrap_or_default();
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
        let latest_counts = self.valid_counts();
        let shards = self.store.mirror.shards.iter();
        let counts = shards.map(|(shard, slot)| {
            let quota_shares = slot.record.as_ref()?.quota_shares.as_ref()?;
            let mut candidates = latest_counts.iter();
            let counts = candidates
                .find(|counts| counts.shard == *shard && counts.revision == slot.revision)?;
            Some(CountedShard {
                quota_shares,
                teams: &counts.teams,
            })
        });
        counts.collect()
    }

    /// The limits that the shards of this cell together get: its share of each team, less what is
    /// called back, and of the remainder no more than the cell wants, so that the rest can be given
    /// away.
    pub(crate) fn cell_limits(&self, file: &CellsFile) -> LimitsWanted {
        let Some(record) = &self.store.mirror.cell.record else {
            return LimitsWanted::Set(LimitsByTeam::new());
        };
        let views = self.team_views(record, file);
        let limits = record.shares.iter().map(|(team, share)| {
            let view = views.as_ref().and_then(|views| views.get(team));
            let kept = share.beyond(self.called_back_here(record, team, view));
            let allowed = match view {
                Some(view) => kept.least(self.promised_to_shards(team, view)),
                None => kept.least(self.allowed_by_shards(team)),
            };
            (team.clone(), allowed.to_pair())
        });
        LimitsWanted::Set(limits.collect())
    }

    /// A team's share without what other cells need more and the shards here don't want.
    fn promised_to_shards(&self, team: &str, view: &TeamView) -> Amount {
        let needs = self.believed_messages().flat_map(|message| &message.needs);
        let team_needs = needs.filter(|need| need.team == team);
        let (more, lacking) = team_needs
            .fold((Amount::ZERO, Amount::ZERO), |(more, lacking), need| {
                (more.most(need.more), lacking.most(need.lacking))
            });
        view.share.beyond(view.to_leave(more, lacking))
    }

    /// What the shards' records allow a team now.
    fn allowed_by_shards(&self, team: &str) -> Amount {
        let records = self.store.mirror.shard_records();
        let quota_shares =
            records.filter_map(|(_, record)| record.quota_shares.as_ref()?.get(team));
        quota_shares.fold(Amount::ZERO, |sum, (cpus, gpus)| {
            sum.plus(Amount::rounded_down(*cpus, *gpus))
        })
    }
}
