//! Team limits that change at run time.
//!
//! Operators write the limits of some teams to a record at the store, and these stand in
//! place of the settings' from then on. In force is what the shards' records allow, on whose
//! revisions every start is conditional: the leader takes a change into them, and starts by
//! earlier limits fail from that commit on. What is lowered below what runs is never called free:
//! the quota share falls at once, and use falls as tasks are proven gone.
//!
//! A record that can't be read, or that names what there isn't, changes nothing: the last good one
//! stays in force, also under a leader that never saw it, since the shards' records keep it.

use crate::controller::context::Context;
use crate::controller::store::records::{LimitsByTeam, LimitsRecord};
use crate::settings::Team;
use log::{info, warn};

/// What this process knows of the operators' record.
#[derive(Debug, Default)]
pub(crate) struct TeamLimits {
    /// The revision that was read last.
    seen: u64,
    /// The last good limits.
    good: Option<LimitsByTeam>,
    /// Whether what stands there now is no good.
    refused: bool,
}

/// What the shards together are to allow.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LimitsWanted {
    /// The limits of the settings.
    OfSettings,
    /// Those that were set at run time, with the settings' of all other teams.
    Set(LimitsByTeam),
    /// Whatever they allow now: what was set last isn't known here.
    AsTheyAre,
}

impl Context {
    /// The operators' record may have changed.
    pub(crate) fn read_limits(&mut self) {
        let slot = &self.store.mirror.limits;
        if slot.revision == self.team_limits.seen {
            return;
        }
        self.team_limits.seen = slot.revision;
        let revision = slot.revision;
        let checked = match &slot.record {
            None => Ok(None),
            Some(LimitsRecord::Unreadable(why)) => Err(why.clone()),
            Some(LimitsRecord::Teams(teams)) => {
                check_limits(teams, &self.settings.platform.facts.teams).map(|()| Some(teams))
            }
        };
        match checked {
            Ok(teams) => {
                let count = teams.map_or(0, LimitsByTeam::len);
                info!("team limits set, teams={count} revision={revision}");
                self.team_limits.good = teams.cloned();
                self.team_limits.refused = false;
            }
            Err(why) => {
                warn!(
                    "team limits refused, the last good ones stay, revision={revision} reason={why}"
                );
                self.team_limits.refused = true;
            }
        }
    }

    /// The limits of the settings, of every team that has one.
    pub(crate) fn limits_of_settings(&self) -> LimitsByTeam {
        let teams = self.settings.platform.facts.teams.iter();
        let limited = teams.filter(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0);
        limited
            .map(|t| (t.name.clone(), (t.cpus_max, t.gpus_max)))
            .collect()
    }

    /// What the shards together are to allow.
    pub(crate) fn limits_wanted(&self) -> LimitsWanted {
        if let Some(file) = &self.settings.cells {
            return self.cell_limits(file);
        }
        match &self.team_limits.good {
            Some(set) => {
                let mut limits = self.limits_of_settings();
                limits.extend(set.clone());
                LimitsWanted::Set(limits)
            }
            None if self.team_limits.refused => LimitsWanted::AsTheyAre,
            None => LimitsWanted::OfSettings,
        }
    }

    /// The limit by which a job of a team is accepted or refused.
    pub(crate) fn team_limit(&self, team: &Team) -> (f64, f64) {
        let set = self.limit_set(&team.name);
        set.unwrap_or((team.cpus_max, team.gpus_max))
    }

    /// The limit that operators have set for a team at run time.
    pub(crate) fn limit_set(&self, team: &str) -> Option<(f64, f64)> {
        self.team_limits.good.as_ref()?.get(team).copied()
    }
}

/// Whether limits are of teams that there are, and of amounts that can be limits. Whether a team
/// has a limit at all is for the settings to say: 0 stands for none there.
fn check_limits(limits: &LimitsByTeam, teams: &[Team]) -> Result<(), String> {
    for (name, (cpus, gpus)) in limits {
        let Some(team) = teams.iter().find(|t| t.name == *name) else {
            return Err(format!("teams.{name}: unknown team"));
        };
        for (what, value, of_settings) in
            [("CPUs", cpus, team.cpus_max), ("GPUs", gpus, team.gpus_max)]
        {
            if !value.is_finite() || *value < 0.0 {
                return Err(format!("teams.{name}: {value} {what} are no limit"));
            }
            if (*value > 0.0) != (of_settings > 0.0) {
                let why = "limited at run time exactly if they are by the settings";
                return Err(format!("teams.{name}: {what} can be {why}"));
            }
        }
    }
    Ok(())
}
