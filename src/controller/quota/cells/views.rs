//! The quota state of each team in this cell, and the limits of the cell's shards that follow from
//! it.

use crate::controller::context::Context;
use crate::controller::quota::team_limits::TargetLimits;
use crate::controller::store::records::LimitsByTeam;
use crate::peer::TeamCount;
use crate::settings::CellsFile;
use salttrestle_cells::Amount;
use salttrestle_cells::ledger::CellRecord;
use salttrestle_cells::message::Recall;
use salttrestle_cells::sharing::{TeamView, recalled_amount};
use std::collections::BTreeMap;

/// A shard's quota shares, and its owner's counts of the teams under these shares.
struct CountedShard<'a> {
    quota_shares: &'a LimitsByTeam,
    teams: &'a [(String, TeamCount)],
}

impl Context {
    /// The limit that operators request for a team whose home is here. Without a limit set at run
    /// time it is the one in force.
    pub(super) fn requested_limit(&self, record: &CellRecord, team: &str) -> Amount {
        let requested = self
            .runtime_limit(team)
            .map(|(cpus, gpus)| Amount::rounded_down(cpus, gpus));
        requested.unwrap_or_else(|| record.limits.get(team).copied().unwrap_or_default())
    }

    /// How much of a team's share here is recalled: by the team's home or, if the home is here,
    /// because operators lower the limit. The home frees at once all that it doesn't need itself,
    /// up to the amount recalled.
    fn recalled_here(&self, record: &CellRecord, team: &str, view: Option<&TeamView>) -> Amount {
        let share = record.share(team);
        let Some(limit) = record.limits.get(team) else {
            return recalled_amount(team, share, self.recent_messages());
        };
        let recall = Recall {
            team: team.into(),
            amount: limit.saturating_sub(self.requested_limit(record, team)),
            limit: *limit,
        };
        let unneeded = view.map_or(Amount::ZERO, |view| share.saturating_sub(view.target()));
        recall
            .part_of(share)
            .component_max(recall.amount.component_min(unneeded))
    }

    /// The state of each team in this cell; `None` unless every shard's owner has sent counts under
    /// the shard's present record. A shard holds what it may use or what it uses, whichever is
    /// more.
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
                view.held = view.held.saturating_add(allowed.component_max(used));
                view.used = view.used.saturating_add(used);
                view.wanted = view.wanted.saturating_add(wanted);
            }
            views.insert(team.clone(), view);
        }
        Some(views)
    }

    /// Each shard's quota shares with its owner's counts under them; `None` if any are missing.
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

    /// The limits that the shards of this cell get together. A team's limit is the smaller of two
    /// amounts: the cell's share less what is recalled, and the share less what other cells need
    /// and the shards here don't, so that the rest can be given away. While counts are missing, the
    /// second amount is what the shards' records allow already.
    pub(crate) fn cell_limits(&self, file: &CellsFile) -> TargetLimits {
        let Some(record) = &self.store.mirror.cell.record else {
            return TargetLimits::Set(LimitsByTeam::new());
        };
        let views = self.team_views(record, file);
        let limits = record.shares.iter().map(|(team, share)| {
            let view = views.as_ref().and_then(|views| views.get(team));
            let remaining = share.saturating_sub(self.recalled_here(record, team, view));
            let allowed = match view {
                Some(view) => remaining.component_min(self.share_for_shards(team, view)),
                None => remaining.component_min(self.allowed_by_shard_records(team)),
            };
            (team.clone(), allowed.to_pair())
        });
        TargetLimits::Set(limits.collect())
    }

    /// A team's share less what other cells need and the shards here don't.
    fn share_for_shards(&self, team: &str, view: &TeamView) -> Amount {
        let needs = self.recent_messages().flat_map(|message| &message.needs);
        let team_needs = needs.filter(|need| need.team == team);
        let (more, lacking) =
            team_needs.fold((Amount::ZERO, Amount::ZERO), |(more, lacking), need| {
                (
                    more.component_max(need.more),
                    lacking.component_max(need.lacking),
                )
            });
        view.share
            .saturating_sub(view.amount_to_free(more, lacking))
    }

    /// What the shards' records together allow a team at present.
    fn allowed_by_shard_records(&self, team: &str) -> Amount {
        let records = self.store.mirror.shard_records();
        let quota_shares =
            records.filter_map(|(_, record)| record.quota_shares.as_ref()?.get(team));
        quota_shares.fold(Amount::ZERO, |sum, (cpus, gpus)| {
            sum.saturating_add(Amount::rounded_down(*cpus, *gpus))
        })
    }
}
