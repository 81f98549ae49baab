//! Operators who change team limits at run time, and when a change is in force.

use super::world::{Args, Ev, World, ms, num};
use salttrestle::controller::store::records::{Key, LimitsByTeam, LimitsRecord, Record};
use salttrestle_fakes::store::{CommitOutcome, Write};

/// A lowered limit has stopped new starts within this time.
const IN_FORCE_S: f64 = 5.0;

/// What operators have set, and what became of it.
#[derive(Default)]
pub struct LimitChanges {
    set: LimitsByTeam,
    /// The limits of the settings, of teams whose limits were changed.
    of_settings: LimitsByTeam,
    /// Changes that aren't in force yet: when they were made, of which team.
    open: Vec<(u64, String)>,
    /// How long each change took to come into force.
    pub took: Vec<u64>,
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
        let outcome = self.state.store.commit(&[], vec![write]);
        assert!(matches!(outcome, CommitOutcome::Committed(_)));
        self.wake_followers();
    }

    /// `limits t gpus=4 cpus=0`: a team's limit from now on, or that of a team that there isn't.
    pub fn set_limits(&mut self, args: Args) {
        let (team, limit) = (&args[0], (num(args, "cpus", 0.0), num(args, "gpus", 0.0)));
        self.limit_changes.set.insert(team.clone(), limit);
        let record = LimitsRecord::Teams(self.limit_changes.set.clone());
        self.write_limits(Some(record));
        if !self.checker.limits.contains_key(team) {
            // It is refused, and mustn't be part of what comes next.
            self.limit_changes.set.remove(team);
            return;
        }
        self.limit_changes.open.push((self.now, team.clone()));
        let before = self.checker.limits[team];
        let of_settings = &mut self.limit_changes.of_settings;
        of_settings.entry(team.clone()).or_insert(before);
        let most = (before.0.max(limit.0), before.1.max(limit.1));
        self.checker.limits.insert(team.clone(), most);
        let words = [
            String::from("limit-holds"),
            team.clone(),
            format!("cpus={}", limit.0),
            format!("gpus={}", limit.1),
        ];
        self.after(ms(IN_FORCE_S), Ev::Line(words.to_vec()));
    }

    /// A change is so old that no start may go beyond it any more, unless a later one raised it.
    pub fn limit_holds(&mut self, args: Args) {
        let limit = (num(args, "cpus", 0.0), num(args, "gpus", 0.0));
        if self.limit_changes.set.get(&args[0]) == Some(&limit) {
            self.checker.limits.insert(args[0].clone(), limit);
        }
    }

    /// What stands there can't be read from now on, or nothing stands there.
    pub fn spoil_limits(&mut self, gone: bool) {
        let unreadable = || LimitsRecord::Unreadable("invalid type".into());
        self.write_limits((!gone).then(unreadable));
        if gone {
            self.limit_changes.set.clear();
            let of_settings = self.limit_changes.of_settings.clone();
            self.checker.limits.extend(of_settings);
        }
    }

    /// Notes which changes the shards' records show by now.
    pub fn check_limits(&mut self) {
        let entries = self.state.store.entries.values();
        let shards: Vec<_> = entries
            .filter_map(|entry| match &entry.value {
                Record::Shard(shard) => shard.quota_shares.clone(),
                _ => None,
            })
            .collect();
        let changes = &mut self.limit_changes;
        let (now, set) = (self.now, &changes.set);
        let in_force = |team: &str| {
            let here = shards.iter().filter_map(|b| b.get(team));
            let sum = here.fold((0.0, 0.0), |sum, a| (sum.0 + a.0, sum.1 + a.1));
            let Some(limit) = set.get(team) else {
                return false;
            };
            let all = sum.0 <= limit.0 + 1e-6 && sum.1 <= limit.1 + 1e-6;
            all && (shards.len() > 1 || sum == *limit)
        };
        let (done, open): (Vec<_>, Vec<_>) =
            changes.open.drain(..).partition(|(_, team)| in_force(team));
        changes.open = open;
        changes
            .took
            .extend(done.into_iter().map(|(at, _)| now - at));
    }
}
