//! What the leaders of cells do on what they have read.

use super::store::{Commit, LinkWrite, QuotaShares, ShardWrite, Store, Versioned};
use super::{LeaderOf, Mistake, TASK, World, tasks_of};
use salttrestle_cells::ledger::{CellRecord, LinkRecord};
use salttrestle_cells::message::{LinkMessage, Recall};
use salttrestle_cells::sharing::{TeamView, needs, plan_transfers};
use salttrestle_cells::{Amount, Cell, Team};
use std::collections::BTreeMap;

/// A commit that a leader makes on what it has read.
struct Proposal<'a> {
    view: &'a Store,
    commit: Commit,
}

impl<'a> Proposal<'a> {
    fn new(at: usize, view: &'a Store) -> Self {
        let commit = Commit {
            at,
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

    fn on_shard(mut self) -> Self {
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
    fn propose(&mut self, proposal: Proposal) {
        self.commits.push(proposal.commit);
    }

    fn view(&self, by: LeaderOf) -> Store {
        self.leaders[by.cell][by.leader].view.clone()
    }

    /// A leader reads all records, and what its shard's owner counts under them.
    pub(crate) fn refresh(&mut self, by: LeaderOf) {
        if !self.stores[by.cell].outage {
            self.leaders[by.cell][by.leader].view = self.stores[by.cell].clone();
        }
    }

    /// What is held of a team's share, as a leader sees it.
    fn held(&self, view: &Store, team: &str) -> Amount {
        if self.mistake == Mistake::GivesWhatIsUsed {
            return Amount::ZERO;
        }
        view.quota_share(team).component_max(view.used(team))
    }

    /// Sets the shard's quota share of a team: the team's whole share, or less.
    pub(crate) fn set_quota_share(&mut self, by: LeaderOf, team: usize, tasks: u64) {
        let view = self.view(by);
        let team = self.team(team);
        let allowed = tasks_of(tasks).component_min(view.cell.value.share(&team));
        let mut quota_shares = view.shard.value.clone();
        quota_shares.insert(team, allowed);
        // The cell's record is a condition: a quota share is never above the share.
        let cell = view.cell.value.clone();
        let proposal = Proposal::new(by.cell, &view);
        self.propose(proposal.cell(cell).quota_shares(quota_shares));
    }

    /// Gives some of a team's share to another cell.
    pub(crate) fn give(&mut self, by: LeaderOf, to: usize, team: usize, tasks: u64) {
        let view = self.view(by);
        let to = self.cell_name(to);
        let amounts = vec![(self.team(team), tasks_of(tasks))];
        self.give_amounts(by.cell, &view, &to, amounts);
    }

    fn give_amounts(&mut self, at: usize, view: &Store, to: &Cell, amounts: Vec<(Team, Amount)>) {
        let Some(link) = view.links.get(to) else {
            return;
        };
        let held = |team: &str| self.held(view, team);
        let Ok((cell, mut link)) = view.cell.value.give(&link.value, amounts, held) else {
            return;
        };
        if self.mistake == Mistake::ForgetsEarly {
            self.messages.push(self.message(at, view, to, &link));
            link.pending = None;
        }
        let proposal = Proposal::new(at, view).cell(cell).link(to, link);
        self.propose(match self.mistake {
            Mistake::NoShardCondition => proposal,
            _ => proposal.on_shard(),
        });
    }

    /// Accepts the transfer that a cell's last message has, and forgets what that cell has
    /// accepted.
    pub(crate) fn act_on(&mut self, by: LeaderOf, from: usize) {
        let from = self.cell_name(from);
        let view = self.view(by);
        let messages = &self.leaders[by.cell][by.leader].messages;
        let (Some(message), Some(link)) = (messages.get(&from).cloned(), view.links.get(&from))
        else {
            return;
        };
        if let Ok(forgotten) = link.value.clear_pending(message.taken) {
            self.propose(Proposal::new(by.cell, &view).link(&from, forgotten));
        }
        let Some(mut transfer) = message.transfer else {
            return;
        };
        if self.mistake == Mistake::AnyNumber {
            transfer.number = link.value.taken + 1;
        }
        if let Ok((cell, link)) = view.cell.value.take(&link.value, &transfer) {
            self.propose(Proposal::new(by.cell, &view).cell(cell).link(&from, link));
        }
    }

    /// Moves a limit towards what the operators want.
    pub(crate) fn change_limit(&mut self, by: LeaderOf, team: usize) {
        let view = self.view(by);
        let team = self.team(team);
        let Some(wanted) = view.wanted.get(&team).copied() else {
            return;
        };
        let held = self.held(&view, &team);
        let mut changed = view.cell.value.change_limit(&team, wanted, held);
        if self.mistake == Mistake::LowersAtOnce && view.cell.value.limits.contains_key(&team) {
            let mut record = view.cell.value.clone();
            record.limits.insert(team, wanted);
            changed = Ok(record);
        }
        if let Ok(record) = changed {
            self.propose(Proposal::new(by.cell, &view).cell(record).on_shard());
        }
    }

    /// A leader sends another cell a message of how things stand.
    pub(crate) fn send_message(&mut self, by: LeaderOf, to: usize) {
        let to = self.cell_name(to);
        let view = self.view(by);
        if let Some(link) = view.links.get(&to) {
            let message = self.message(by.cell, &view, &to, &link.value);
            self.messages.push(message);
        }
    }

    fn message(&self, at: usize, view: &Store, to: &Cell, link: &LinkRecord) -> LinkMessage {
        let recalls = view.cell.value.limits.iter().map(|(team, limit)| Recall {
            team: team.clone(),
            amount: limit.saturating_sub(view.wanted.get(team).copied().unwrap_or(*limit)),
            limit: *limit,
        });
        LinkMessage {
            from: self.names[at].clone(),
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
            let of_team = TeamView {
                share: *share,
                held: self.held(view, team),
                used,
                wanted: used.saturating_add(TASK),
                floor: Amount::ZERO,
            };
            (team.clone(), of_team)
        });
        views.collect()
    }

    /// Gives what the sharing of room decides, to all cells at once.
    pub(crate) fn share(&mut self, by: LeaderOf) {
        let view = self.view(by);
        let messages = self.leaders[by.cell][by.leader].messages.clone();
        let messages: BTreeMap<Cell, &LinkMessage> = messages
            .iter()
            .map(|(cell, message)| (cell.clone(), message))
            .collect();
        let mut teams = self.team_views(&view);
        teams.retain(|team, _| {
            let limit = view.cell.value.limits.get(team);
            limit.is_none_or(|limit| limit.saturating_sub(view.wanted[team]).is_zero())
        });
        for (to, amounts) in plan_transfers(&teams, &messages, self.names.len()) {
            self.give_amounts(by.cell, &view, &to, amounts);
        }
    }
}
