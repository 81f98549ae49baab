//! Changes of team limits by operators at run time, and the check of when a change is in force.

use super::scenario::{Arguments, milliseconds};
use super::world::World;
use salttrestle::controller::store::records::{Key, LimitsByTeam, LimitsRecord, Record};
use salttrestle_fakes::store::{CommitOutcome, Write};

/// The time after a change from which the checker enforces a lowered limit.
const LIMIT_IN_FORCE_S: f64 = 5.0;
/// Tolerance for rounding errors when the quota shares of several shards are added.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A limit change that is not in force yet.
struct PendingChange {
    requested_at: u64,
    team: String,
}

/// The limits that operators have set, and how long each change took.
#[derive(Default)]
pub(crate) struct LimitChanges {
    operator_limits: LimitsByTeam,
    /// The limits from the settings, for teams whose limits were changed.
    settings_limits: LimitsByTeam,
    pending: Vec<PendingChange>,
    /// How long each change took to come into force, in milliseconds.
    pub durations_ms: Vec<u64>,
}

/// The limit that a command gives: CPUs and GPUs.
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

    /// Handles `limits t gpus=4 cpus=0`: writes a team's new limit. The team may be unknown, to
    /// test that its limit is refused.
    pub(super) fn set_limits(&mut self, arguments: &Arguments) {
        let (team, limit) = (arguments.word(0), limit_of(arguments));
        self.limit_changes
            .operator_limits
            .insert(team.into(), limit);
        let record = LimitsRecord::Teams(self.limit_changes.operator_limits.clone());
        self.write_limits(Some(record));
        let Some(before) = self.checker.limits.get(team).copied() else {
            // The controllers refuse a limit of an unknown team. Later records must not contain it.
            self.limit_changes.operator_limits.remove(team);
            return;
        };
        self.limit_changes.pending.push(PendingChange {
            requested_at: self.now,
            team: team.into(),
        });
        let settings_limits = &mut self.limit_changes.settings_limits;
        settings_limits.entry(team.into()).or_insert(before);
        // Until the change is in force, the old limit may still be used.
        let higher = (before.0.max(limit.0), before.1.max(limit.1));
        self.checker.limits.insert(team.into(), higher);
        let words = vec![
            team.into(),
            format!("cpus={}", limit.0),
            format!("gpus={}", limit.1),
        ];
        self.schedule_command(milliseconds(LIMIT_IN_FORCE_S), "limit-holds", words);
    }

    /// Makes the checker enforce a limit when [`LIMIT_IN_FORCE_S`] have passed since the change,
    /// unless a later change has replaced it.
    pub(super) fn enforce_limit(&mut self, arguments: &Arguments) {
        let (team, limit) = (arguments.word(0), limit_of(arguments));
        if self.limit_changes.operator_limits.get(team) == Some(&limit) {
            self.checker.limits.insert(team.into(), limit);
        }
    }

    /// Handles `limits-spoilt`: replaces the limits record by one that can't be parsed.
    pub(super) fn make_limits_unreadable(&mut self) {
        let record = LimitsRecord::Unreadable("invalid type".into());
        self.write_limits(Some(record));
    }

    /// Handles `limits-gone`: deletes the limits record, so that the limits from the settings apply
    /// again.
    pub(super) fn delete_limits(&mut self) {
        self.write_limits(None);
        self.limit_changes.operator_limits.clear();
        let settings_limits = self.limit_changes.settings_limits.clone();
        self.checker.limits.extend(settings_limits);
    }

    /// Records the changes that have come into force: the quota shares in the shard records add up
    /// to no more than the limit, and with a single shard to exactly the limit.
    pub(super) fn check_limits(&mut self) {
        let entries = self.store.records.entries.values();
        let shares = entries.filter_map(|entry| match &entry.value {
            Record::Shard(shard) => shard.quota_shares.clone(),
            _ => None,
        });
        let shares: Vec<_> = shares.collect();
        let changes = &mut self.limit_changes;
        let operator_limits = &changes.operator_limits;
        let in_force = |team: &str| {
            let of_team = shares.iter().filter_map(|shard| shard.get(team));
            let sum = of_team.fold((0.0, 0.0), |sum, share| (sum.0 + share.0, sum.1 + share.1));
            let Some(limit) = operator_limits.get(team) else {
                return false;
            };
            let within =
                sum.0 <= limit.0 + ROUNDING_TOLERANCE && sum.1 <= limit.1 + ROUNDING_TOLERANCE;
            within && (shares.len() > 1 || sum == *limit)
        };
        let pending = std::mem::take(&mut changes.pending);
        let (done, pending): (Vec<_>, Vec<_>) = pending
            .into_iter()
            .partition(|change| in_force(&change.team));
        changes.pending = pending;
        let now = self.now;
        let durations_ms = done.iter().map(|change| now - change.requested_at);
        changes.durations_ms.extend(durations_ms);
    }
}
