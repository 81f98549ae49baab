//! The actions of the cells' leaders, based on the records that they have read.

use super::store::{Commit, LinkWrite, QuotaShares, ShardWrite, Store, Versioned};
use super::{InjectedBug, LeaderId, TASK, World, quota_for_tasks};
use salttrestle_cells::ledger::{CellRecord, LinkRecord};
use salttrestle_cells::message::{LinkMessage, Recall};
use salttrestle_cells::sharing::{TeamView, needs, plan_transfers};
use salttrestle_cells::{Amount, Cell, Team};
use std::collections::BTreeMap;

/// A builder for a commit that is conditional on the records in a leader's view.
struct Proposal<'a> {
    view: &'a Store,
    commit: Commit,
}

impl<'a> Proposal<'a> {
    fn new(at_cell: usize, view: &'a Store) -> Self {
        let commit = Commit {
            at_cell,
            cell: None,
            link: None,
            shard: None,
        };
        Self { view, commit }
    }

    fn cell(mut self, value: CellRecord) -> Self {
        let revision = self.view.cell.revision;
        self.commit.cell = Some(Versioned { revision, value });
        self
    }

    fn link(mut self, other: &Cell, value: LinkRecord) -> Self {
        let revision = self.view.links[other].revision;
        self.commit.link = Some(LinkWrite {
            other: other.clone(),
            record: Versioned { revision, value },
        });
        self
    }

    fn conditional_on_shard(mut self) -> Self {
        let revision = self.view.shard.revision;
        self.commit.shard = Some(ShardWrite::Unchanged { revision });
        self
    }

    fn quota_shares(mut self, value: QuotaShares) -> Self {
        let revision = self.view.shard.revision;
        self.commit.shard = Some(ShardWrite::Replace(Versioned { revision, value }));
        self
    }
}

impl World {
    fn send_commit(&mut self, proposal: Proposal) {
        self.commits.push(proposal.commit);
    }

    fn view(&self, by: LeaderId) -> Store {
        self.leaders[by.cell][by.leader].view.clone()
    }

    /// A leader reads all records and the usage counted by the shard's owner, if the store is
    /// available.
    pub(crate) fn read_records(&mut self, by: LeaderId) {
        if !self.stores[by.cell].is_down {
            self.leaders[by.cell][by.leader].view = self.stores[by.cell].clone();
        }
    }

    /// The part of a team's share that is in use or allotted to the shard, in a leader's view.
    fn held(&self, view: &Store, team: &str) -> Amount {
        if self.bug == InjectedBug::GivesHeldQuota {
            return Amount::ZERO;
        }
        view.quota_share(team).component_max(view.used(team))
    }

    /// Sets the shard's quota share of a team, at most the cell's share of the team.
    pub(crate) fn set_quota_share(&mut self, by: LeaderId, team: usize, tasks: u64) {
        let view = self.view(by);
        let team = self.team(team);
        let allowed = quota_for_tasks(tasks).component_min(view.cell.value.share(&team));
        let mut quota_shares = view.shard.value.clone();
        quota_shares.insert(team, allowed);
        // The commit is conditional on the cell's record, so that a quota share never exceeds the
        // cell's share.
        let cell = view.cell.value.clone();
        let proposal = Proposal::new(by.cell, &view);
        self.send_commit(proposal.cell(cell).quota_shares(quota_shares));
    }

    /// Gives a part of a team's share to another cell.
    pub(crate) fn give(&mut self, by: LeaderId, to: usize, team: usize, tasks: u64) {
        let view = self.view(by);
        let to = self.cell_name(to);
        let amounts = vec![(self.team(team), quota_for_tasks(tasks))];
        self.give_amounts(by.cell, &view, &to, amounts);
    }

    fn give_amounts(
        &mut self,
        at_cell: usize,
        view: &Store,
        to: &Cell,
        amounts: Vec<(Team, Amount)>,
    ) {
        let Some(link) = view.links.get(to) else {
            return;
        };
        let held = |team: &str| self.held(view, team);
        let Ok((cell, mut link)) = view.cell.value.give(&link.value, amounts, held) else {
            return;
        };
        if self.bug == InjectedBug::ClearsPendingEarly {
            self.messages.push(self.message(at_cell, view, to, &link));
            link.pending = None;
        }
        let proposal = Proposal::new(at_cell, view).cell(cell).link(to, link);
        self.send_commit(match self.bug {
            InjectedBug::OmitsShardCondition => proposal,
            _ => proposal.conditional_on_shard(),
        });
    }

    /// Handles the last message of a cell: takes the transfer in the message, and clears the
    /// pending transfer that the cell has taken.
    pub(crate) fn handle_last_message(&mut self, by: LeaderId, from: usize) {
        let from = self.cell_name(from);
        let view = self.view(by);
        let messages = &self.leaders[by.cell][by.leader].messages;
        let (Some(message), Some(link)) = (messages.get(&from).cloned(), view.links.get(&from))
        else {
            return;
        };
        if let Ok(cleared) = link.value.clear_pending(message.taken) {
            self.send_commit(Proposal::new(by.cell, &view).link(&from, cleared));
        }
        let Some(mut transfer) = message.transfer else {
            return;
        };
        if self.bug == InjectedBug::AcceptsAnyNumber {
            transfer.number = link.value.taken + 1;
        }
        if let Ok((cell, link)) = view.cell.value.take(&link.value, &transfer) {
            self.send_commit(Proposal::new(by.cell, &view).cell(cell).link(&from, link));
        }
    }

    /// Moves a limit towards the one that the operators request.
    pub(crate) fn change_limit(&mut self, by: LeaderId, team: usize) {
        let view = self.view(by);
        let team = self.team(team);
        let Some(wanted) = view.requested_limits.get(&team).copied() else {
            return;
        };
        let held = self.held(&view, &team);
        let mut changed = view.cell.value.change_limit(&team, wanted, held);
        if self.bug == InjectedBug::LowersLimitAtOnce && view.cell.value.limits.contains_key(&team)
        {
            let mut record = view.cell.value.clone();
            record.limits.insert(team, wanted);
            changed = Ok(record);
        }
        if let Ok(record) = changed {
            self.send_commit(
                Proposal::new(by.cell, &view)
                    .cell(record)
                    .conditional_on_shard(),
            );
        }
    }

    /// A leader sends its state to another cell.
    pub(crate) fn send_message(&mut self, by: LeaderId, to: usize) {
        let to = self.cell_name(to);
        let view = self.view(by);
        if let Some(link) = view.links.get(&to) {
            let message = self.message(by.cell, &view, &to, &link.value);
            self.messages.push(message);
        }
    }

    fn message(&self, at_cell: usize, view: &Store, to: &Cell, link: &LinkRecord) -> LinkMessage {
        let recalls = view.cell.value.limits.iter().map(|(team, limit)| Recall {
            team: team.clone(),
            amount: limit
                .saturating_sub(view.requested_limits.get(team).copied().unwrap_or(*limit)),
            limit: *limit,
        });
        LinkMessage {
            from: self.names[at_cell].clone(),
            to: to.clone(),
            generation: 1,
            taken: link.taken,
            transfer: link.pending.clone(),
            needs: needs(&self.team_views(view)),
            recalls: recalls.filter(|recall| !recall.amount.is_zero()).collect(),
        }
    }

    fn team_views(&self, view: &Store) -> BTreeMap<Team, TeamView> {
        let shares = view.cell.value.shares.iter();
        let views = shares.map(|(team, share)| {
            let used = view.used(team);
            let team_view = TeamView {
                share: *share,
                held: self.held(view, team),
                used,
                wanted: used.saturating_add(TASK),
                floor: Amount::ZERO,
            };
            (team.clone(), team_view)
        });
        views.collect()
    }

    /// Sends transfers to all cells as [`plan_transfers`] decides.
    pub(crate) fn rebalance(&mut self, by: LeaderId) {
        let view = self.view(by);
        let messages = self.leaders[by.cell][by.leader].messages.clone();
        let messages: BTreeMap<Cell, &LinkMessage> = messages
            .iter()
            .map(|(cell, message)| (cell.clone(), message))
            .collect();
        let mut teams = self.team_views(&view);
        teams.retain(|team, _| {
            let limit = view.cell.value.limits.get(team);
            limit.is_none_or(|limit| limit.saturating_sub(view.requested_limits[team]).is_zero())
        });
        for (to, amounts) in plan_transfers(&teams, &messages, self.names.len()) {
            self.give_amounts(by.cell, &view, &to, amounts);
        }
    }
}
