//! Team limits that change at run time.
//!
//! Operators write the limits of some teams to a record at the store, which replace those of the
//! settings from then on. In force is what the shards' records allow, on whose revisions every
//! start is conditional: the leader writes a change into them, and starts under earlier limits fail
//! from that commit on. A limit lowered below what runs never counts as free: the quota share falls
//! at once, and use falls as tasks are proven gone.
//!
//! A record that can't be read, or that names an unknown team, changes nothing: the last good one
//! stays in force, also under a leader that never saw it, since the shards' records keep it.

use crate::controller::context::Context;
use crate::controller::store::records::{LimitsByTeam, LimitsRecord};
use crate::settings::Team;
use log::{info, warn};
use thiserror::Error;

/// The operators' record as this process has read it.
#[derive(Debug, Default)]
pub(crate) struct TeamLimits {
    /// The revision that was read last.
    revision_read: u64,
    /// The limits of the last valid record.
    accepted: Option<LimitsByTeam>,
    /// Whether the present record is invalid.
    refused: bool,
}

/// The limits that the shards together are to get.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TargetLimits {
    /// The limits of the settings.
    FromSettings,
    /// Those set at run time, with the settings' for all other teams.
    Set(LimitsByTeam),
    /// The limits in the shards' records now: those set last aren't known here.
    Unchanged,
}

impl Context {
    /// Reads the operators' record if it has changed.
    pub(crate) fn read_limits(&mut self) {
        let slot = &self.store.mirror.limits;
        if slot.revision == self.team_limits.revision_read {
            return;
        }
        self.team_limits.revision_read = slot.revision;
        let revision = slot.revision;
        let checked = match &slot.record {
            None => Ok(None),
            Some(LimitsRecord::Unreadable(reason)) => {
                Err(InvalidLimits::Unreadable(reason.clone()))
            }
            Some(LimitsRecord::Teams(teams)) => {
                check_limits(teams, &self.settings.platform.facts.teams).map(|()| Some(teams))
            }
        };
        match checked {
            Ok(teams) => {
                let count = teams.map_or(0, LimitsByTeam::len);
                info!("team limits set, teams={count} revision={revision}");
                self.team_limits.accepted = teams.cloned();
                self.team_limits.refused = false;
            }
            Err(error) => {
                warn!(
                    "team limits refused, the last good ones stay, \
                     revision={revision} reason={error}"
                );
                self.team_limits.refused = true;
            }
        }
    }

    /// The limits of the settings, of every team that has one.
    pub(crate) fn settings_limits(&self) -> LimitsByTeam {
        let teams = self.settings.platform.facts.teams.iter();
        let limited = teams.filter(|team| team.cpus_max > 0.0 || team.gpus_max > 0.0);
        limited
            .map(|team| (team.name.clone(), (team.cpus_max, team.gpus_max)))
            .collect()
    }

    /// The limits that the shards together are to get.
    pub(crate) fn target_limits(&self) -> TargetLimits {
        if let Some(file) = &self.settings.cells {
            return self.cell_limits(file);
        }
        match &self.team_limits.accepted {
            Some(set) => {
                let mut limits = self.settings_limits();
                limits.extend(set.clone());
                TargetLimits::Set(limits)
            }
            None if self.team_limits.refused => TargetLimits::Unchanged,
            None => TargetLimits::FromSettings,
        }
    }

    /// The limit by which a job of a team is accepted or refused.
    pub(crate) fn team_limit(&self, team: &Team) -> (f64, f64) {
        let set = self.limit_set(&team.name);
        set.unwrap_or((team.cpus_max, team.gpus_max))
    }

    /// The limit that operators have set for a team at run time.
    pub(crate) fn limit_set(&self, team: &str) -> Option<(f64, f64)> {
        self.team_limits.accepted.as_ref()?.get(team).copied()
    }
}

/// Why a record of limits isn't applied. Its texts are logged.
#[derive(Debug, Error)]
enum InvalidLimits {
    #[error("{0}")]
    Unreadable(String),
    #[error("teams.{0}: unknown team")]
    UnknownTeam(String),
    #[error("teams.{team}: {value} {resource} are no limit")]
    NotALimit {
        team: String,
        resource: &'static str,
        value: f64,
    },
    #[error(
        "teams.{team}: {resource} can be limited at run time exactly if they are by the settings"
    )]
    NotAsInSettings {
        team: String,
        resource: &'static str,
    },
}

/// Checks that limits are of existing teams and of possible amounts. Only the settings decide
/// whether a team has a limit at all: 0 means none there.
fn check_limits(limits: &LimitsByTeam, teams: &[Team]) -> Result<(), InvalidLimits> {
    for (name, (cpus, gpus)) in limits {
        let Some(team) = teams.iter().find(|team| team.name == *name) else {
            return Err(InvalidLimits::UnknownTeam(name.clone()));
        };
        for (resource, value, settings_max) in [
            ("CPUs", *cpus, team.cpus_max),
            ("GPUs", *gpus, team.gpus_max),
        ] {
            let team = name.clone();
            if !value.is_finite() || value < 0.0 {
                return Err(InvalidLimits::NotALimit {
                    team,
                    resource,
                    value,
                });
            }
            if (value > 0.0) != (settings_max > 0.0) {
                return Err(InvalidLimits::NotAsInSettings { team, resource });
            }
        }
    }
    Ok(())
}
