//! Team limits that operators change at run time.
//!
//! Operators write the limits of some teams to a record at the store. From then on these replace
//! the limits in the settings. The limits in force are those in the shards' records: the leader
//! writes each change into them, and every task start is conditional on their revisions, so that a
//! start under earlier limits fails from that commit on. If a limit is lowered below what its team
//! uses, the quota share falls at once, and use falls as tasks are proven gone. Until then the team
//! has no free quota.
//!
//! A record that can't be read, names an unknown team or has an invalid amount changes nothing. The
//! last valid limits stay in force even under a leader that never saw them, since the shards'
//! records hold them.

use crate::controller::context::Context;
use crate::controller::store::records::{LimitsByTeam, LimitsRecord};
use crate::settings::Team;
use log::{info, warn};
use thiserror::Error;

/// The operators' record of limits as this process has read it.
#[derive(Debug, Default)]
pub(crate) struct TeamLimits {
    /// The record's revision when it was last read.
    last_read_revision: u64,
    /// The limits of the last valid record; `None` if there is no record, or none was valid.
    accepted: Option<LimitsByTeam>,
    /// Whether the present record is invalid.
    is_refused: bool,
}

/// The limits that the shards are to have together.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TargetLimits {
    /// The limits of the settings.
    FromSettings,
    /// The limits set at run time and, for all other teams, those of the settings.
    Set(LimitsByTeam),
    /// The limits that the shards' records have now, since this process doesn't know the last valid
    /// ones set at run time.
    Unchanged,
}

impl Context {
    /// Reads the operators' record if it has changed.
    pub(crate) fn read_limits(&mut self) {
        let slot = &self.store.mirror.limits;
        if slot.revision == self.team_limits.last_read_revision {
            return;
        }
        self.team_limits.last_read_revision = slot.revision;
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
                self.team_limits.is_refused = false;
            }
            Err(error) => {
                warn!(
                    "team limits refused, the last good ones stay, \
                     revision={revision} reason={error}"
                );
                self.team_limits.is_refused = true;
            }
        }
    }

    /// The limits in the settings, for every team that has one.
    pub(crate) fn settings_limits(&self) -> LimitsByTeam {
        let teams = self.settings.platform.facts.teams.iter();
        let limited = teams.filter(|team| team.cpus_max > 0.0 || team.gpus_max > 0.0);
        limited
            .map(|team| (team.name.clone(), (team.cpus_max, team.gpus_max)))
            .collect()
    }

    /// The limits that the shards are to have together.
    pub(crate) fn target_limits(&self) -> TargetLimits {
        if let Some(file) = &self.settings.cells {
            return self.cell_limits(file);
        }
        match &self.team_limits.accepted {
            Some(runtime_limits) => {
                let mut limits = self.settings_limits();
                limits.extend(runtime_limits.clone());
                TargetLimits::Set(limits)
            }
            None if self.team_limits.is_refused => TargetLimits::Unchanged,
            None => TargetLimits::FromSettings,
        }
    }

    /// The limit of a team, as CPUs and GPUs, by which its jobs are accepted or refused. 0 means
    /// that there is no limit.
    pub(crate) fn team_limit(&self, team: &Team) -> (f64, f64) {
        let runtime_limit = self.runtime_limit(&team.name);
        runtime_limit.unwrap_or((team.cpus_max, team.gpus_max))
    }

    /// The limit that operators have set for a team at run time, as CPUs and GPUs.
    pub(crate) fn runtime_limit(&self, team: &str) -> Option<(f64, f64)> {
        self.team_limits.accepted.as_ref()?.get(team).copied()
    }
}

/// Why a record of limits is refused. The texts are logged.
#[derive(Debug, Error)]
enum InvalidLimits {
    #[error("{0}")]
    Unreadable(String),
    #[error("teams.{0}: unknown team")]
    UnknownTeam(String),
    #[error("teams.{team}: limit of {resource} must be finite and not negative, but is {value}")]
    InvalidAmount {
        team: String,
        resource: &'static str,
        value: f64,
    },
    #[error(
        "teams.{team}: {resource} must be limited at run time if the settings limit them, \
         and only then"
    )]
    SettingsMismatch {
        team: String,
        resource: &'static str,
    },
}

/// Checks that limits name known teams and are valid amounts. Only the settings decide whether a
/// team's resource is limited at all (0 means no limit there), so a limit set at run time must be
/// positive exactly if that in the settings is.
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
                return Err(InvalidLimits::InvalidAmount {
                    team,
                    resource,
                    value,
                });
            }
            if (value > 0.0) != (settings_max > 0.0) {
                return Err(InvalidLimits::SettingsMismatch { team, resource });
            }
        }
    }
    Ok(())
}
