//! What one cell's store has, and the commits that change it.

use salttrestle_cells::ledger::{CellRecord, LinkRecord};
use salttrestle_cells::{Amount, Cell, Team};
use std::collections::BTreeMap;

/// Quota shares of the only shard of a cell.
pub(crate) type QuotaShares = BTreeMap<Team, Amount>;

/// A record with the revision of its last change.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versioned<T> {
    pub revision: u64,
    pub value: T,
}

/// One cell's records, and what its machines run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    pub revision: u64,
    pub cell: Versioned<CellRecord>,
    pub links: BTreeMap<Cell, Versioned<LinkRecord>>,
    /// The quota shares in the only shard's record.
    pub shard: Versioned<QuotaShares>,
    pub used: BTreeMap<Team, Amount>,
    /// What the operators want as limits of the teams at home here.
    pub wanted: BTreeMap<Team, Amount>,
    /// The store refuses all requests.
    pub outage: bool,
}

impl Store {
    /// What a team's tasks use.
    pub(crate) fn used(&self, team: &str) -> Amount {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// What the shard may use of a team.
    pub(crate) fn quota_share(&self, team: &str) -> Amount {
        self.shard.value.get(team).copied().unwrap_or_default()
    }

    /// Carries a commit out. A record that is only a condition keeps its revision.
    pub(crate) fn apply(&mut self, commit: Commit) {
        self.revision += 1;
        let revision = self.revision;
        if let Some(cell) = commit.cell.filter(|cell| cell.value != self.cell.value) {
            let value = cell.value;
            self.cell = Versioned { revision, value };
        }
        if let Some(link) = commit.link {
            let value = link.record.value;
            self.links.insert(link.other, Versioned { revision, value });
        }
        if let Some(ShardWrite::Replace(shard)) = commit.shard {
            let value = shard.value;
            self.shard = Versioned { revision, value };
        }
    }
}

/// A write of a link's record.
#[derive(Clone, Debug)]
pub(crate) struct LinkWrite {
    pub other: Cell,
    /// The new record, on the condition that the old one has this revision.
    pub record: Versioned<LinkRecord>,
}

/// What a commit does with the shard's record.
#[derive(Clone, Debug)]
pub(crate) enum ShardWrite {
    /// Nothing, on the condition that it has this revision.
    Unchanged { revision: u64 },
    /// New quota shares, on the condition that the old ones have this revision.
    Replace(Versioned<QuotaShares>),
}

impl ShardWrite {
    fn revision(&self) -> u64 {
        match self {
            Self::Unchanged { revision } => *revision,
            Self::Replace(shares) => shares.revision,
        }
    }
}

/// A commit on its way. Each record that it writes is a condition as well.
#[derive(Clone, Debug)]
pub(crate) struct Commit {
    /// The cell at whose store it is made.
    pub at: usize,
    pub cell: Option<Versioned<CellRecord>>,
    pub link: Option<LinkWrite>,
    pub shard: Option<ShardWrite>,
}

impl Commit {
    /// Whether all records are as they were when it was made.
    pub(crate) fn holds(&self, store: &Store) -> bool {
        let cell = self.cell.as_ref();
        let cell = cell.is_none_or(|cell| cell.revision == store.cell.revision);
        let link = self.link.as_ref();
        let link =
            link.is_none_or(|link| link.record.revision == store.links[&link.other].revision);
        let shard = self.shard.as_ref();
        let shard = shard.is_none_or(|shard| shard.revision() == store.shard.revision);
        cell && link && shard
    }
}
