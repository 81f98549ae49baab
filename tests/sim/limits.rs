//! Operators who change team limits at run time, and when a change is in force.

use super::scenario::{Arguments, milliseconds};
use super::world::World;
use salttrestle::controller::store::records::{Key, LimitsByTeam, LimitsRecord, Record};
use salttrestle_fakes::store::{CommitOutcome, Write};

/// A lowered limit has stopped new starts within this time.
const IN_FORCE_S: f64 = 5.0;
/// Room for rounding when the quota shares of several shards are added.
const SLACK: f64 = 1e-6;

/// A change that isn't in force yet.
struct PendingChange {
    made_at: u64,
    team: String,
}

/// What operators have set, and what became of it.
#[derive(Default)]
pub(crate) struct LimitChanges {
    set: LimitsByTeam,
    /// The limits of the settings, of teams whose limits were changed.
    of_settings: LimitsByTeam,
    pending: Vec<PendingChange>,
    /// How long each change took to come into force.
    pub took: Vec<u64>,
}

/// A limit as a line gives it: CPUs and GPUs.
fn limit_of(arguments: &Arguments) -> (f64, f64) {
    let amount = |key| arguments.number(key, 0.0);
    (amount("cpus"), amount("gpus"))
}

impl World {
    fn write_limits(&mut self, record: Option<LimitsRecord>) {
        let path = Key::Limits.to_string();
        let write = match record {
            Some(record) => Write::Put {
                path,
                value: Record::Limits(record),
                lease: None,
            },
            None => Write::Delete { path },
        };
        let outcome = self.store.records.commit(&[], vec![write]);
        assert!(matches!(outcome, CommitOutcome::Committed(_)));
        self.answer_watches();
    }

    /// `limits t gpus=4 cpus=0`: a team's limit from now on, or that of a team that doesn't exist.
    pub(super) fn set_limits(&mut self, arguments: &Arguments) {
        let (team, limit) = (arguments.word(0), limit_of(arguments));
        self.limit_changes.set.insert(team.into(), limit);
        let record = LimitsRecord::Teams(self.limit_changes.set.clone());
        self.write_limits(Some(record));
        let Some(before) = self.checker.limits.get(team).copied() else {
            // It is refused, and mustn't be part of what comes next.
            self.limit_changes.set.remove(team);
            return;
        };
        self.limit_changes.pending.push(PendingChange {
            made_at: self.now,
            team: team.into(),
        });
        let of_settings = &mut self.limit_changes.of_settings;
        of_settings.entry(team.into()).or_insert(before);
        // Until the change is in force, the old limit may still be used.
        let most = (before.0.max(limit.0), before.1.max(limit.1));
        self.checker.limits.insert(team.into(), most);
        let words = vec![
            team.into(),
            format!("cpus={}", limit.0),
            format!("gpus={}", limit.1),
        ];
        self.command_after(milliseconds(IN_FORCE_S), "limit-holds", words);
    }

    /// A change is so old that no start may go beyond it any more, unless a later one raised it.
    pub(super) fn limit_in_force(&mut self, arguments: &Arguments) {
        let (team, limit) = (arguments.word(0), limit_of(arguments));
        if self.limit_changes.set.get(team) == Some(&limit) {
            self.checker.limits.insert(team.into(), limit);
        }
    }

    /// The record of the limits can't be read from now on.
    pub(super) fn make_limits_unreadable(&mut self) {
        let record = LimitsRecord::Unreadable("invalid type".into());
        self.write_limits(Some(record));
    }

    /// The record of the limits is deleted: those of the settings hold again.
    pub(super) fn delete_limits(&mut self) {
        self.write_limits(None);
        self.limit_changes.set.clear();
        let of_settings = self.limit_changes.of_settings.clone();
        self.checker.limits.extend(of_settings);
    }

    /// Notes which changes the shards' records show by now.
    pub(super) fn check_limits(&mut self) {
        let entries = self.store.records.entries.values();
        let shares = entries.filter_map(|entry| match &entry.value {
            Record::Shard(shard) => shard.quota_shares.clone(),
            _ => None,
        });
        let shares: Vec<_> = shares.collect();
        let changes = &mut self.limit_changes;
        let set = &changes.set;
        let in_force = |team: &str| {
            let of_team = shares.iter().filter_map(|shard| shard.get(team));
            let sum = of_team.fold((0.0, 0.0), |sum, share| (sum.0 + share.0, sum.1 + share.1));
            let Some(limit) = set.get(team) else {
                return false;
            };
            let within = sum.0 <= limit.0 + SLACK && sum.1 <= limit.1 + SLACK;
            within && (shares.len() > 1 || sum == *limit)
        };
        let pending = std::mem::take(&mut changes.pending);
        let (done, pending): (Vec<_>, Vec<_>) = pending
            .into_iter()
            .partition(|change| in_force(&change.team));
        changes.pending = pending;
        let now = self.now;
        let took = done.iter().map(|change| now - change.made_at);
        changes.took.extend(took);
    }
}
