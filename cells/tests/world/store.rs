//! The store of one cell, and the commits that change it.

use salttrestle_cells::ledger::{CellRecord, LinkRecord};
use salttrestle_cells::{Amount, Cell, Team};
use std::collections::BTreeMap;

/// The quota share of each team in the record of the cell's only shard.
pub(crate) type QuotaShares = BTreeMap<Team, Amount>;

/// A record with the store's revision at its last change.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versioned<T> {
    pub revision: u64,
    pub value: T,
}

/// The records of one cell, and the quota that its tasks use.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    pub revision: u64,
    pub cell: Versioned<CellRecord>,
    pub links: BTreeMap<Cell, Versioned<LinkRecord>>,
    /// The record of the cell's only shard.
    pub shard: Versioned<QuotaShares>,
    pub used: BTreeMap<Team, Amount>,
    /// The limits that the operators request for the teams whose home is this cell.
    pub requested_limits: BTreeMap<Team, Amount>,
    /// Whether the store refuses all requests.
    pub is_down: bool,
}

impl Store {
    /// The quota that a team's tasks use.
    pub(crate) fn used(&self, team: &str) -> Amount {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// The quota share of a team in the shard's record.
    pub(crate) fn quota_share(&self, team: &str) -> Amount {
        self.shard.value.get(team).copied().unwrap_or_default()
    }

    /// Applies a commit whose conditions hold. A record that the commit doesn't change keeps its
    /// revision.
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
    /// The new record, and the revision that the old one must have.
    pub record: Versioned<LinkRecord>,
}

/// The part of a commit that concerns the shard's record.
#[derive(Clone, Debug)]
pub(crate) enum ShardWrite {
    /// Doesn't change the record, but requires that it has this revision.
    Unchanged { revision: u64 },
    /// Replaces the record, which must have this revision.
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

/// A commit that was sent to a store. It is conditional on the revision of each record that it
/// contains.
#[derive(Clone, Debug)]
pub(crate) struct Commit {
    /// The index of the cell whose store receives the commit.
    pub at_cell: usize,
    pub cell: Option<Versioned<CellRecord>>,
    pub link: Option<LinkWrite>,
    pub shard: Option<ShardWrite>,
}

impl Commit {
    /// Whether all records in the commit have the revisions that it requires.
    pub(crate) fn conditions_hold(&self, store: &Store) -> bool {
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
