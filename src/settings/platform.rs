//! What the platform hands over, as JSON.

use crate::ids::ControllerId;
use crate::settings::state_limits::StoreLimits;
use crate::settings::{Reason, SettingsError};
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Fewest sockets with which a controller starts.
const SOCKETS_MIN: usize = 32;

/// The settings of one controller, as the platform hands them over.
#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
    /// This controller's name.
    #[serde(rename = "member")]
    pub controller_id: ControllerId,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// For users, workers and health checks.
    pub listen: SocketAddrV4,
    /// For the other controllers.
    pub peer_listen: SocketAddrV4,
    /// The other controllers.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<Peer>,
    /// Store and cloud.
    pub services: Services,
    /// What is the same for all controllers.
    pub facts: Facts,
}

/// Another controller of the service.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Its name.
    #[serde(rename = "member")]
    pub controller_id: ControllerId,
    /// Its zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Where it listens for other controllers.
    pub endpoint: SocketAddrV4,
}

/// Where the platform's own services are.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud's interface.
    pub cloud: SocketAddrV4,
    /// The store.
    #[serde(rename = "state")]
    pub store: SocketAddrV4,
}

/// What is the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct Facts {
    /// Controllers.
    #[serde(rename = "count")]
    pub controller_count: u32,
    /// Zones in which there are controllers and machines.
    pub zones: Vec<String>,
    /// Teams whose jobs are accepted.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// What is expected of classes of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times of the workers.
    pub workers: Workers,
    /// Limits of the store.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// Limits of the cloud's interface.
    pub cloud: CloudLimits,
    /// What each controller's machine gives it.
    pub resources: ControllerResources,
}

/// A team, with what it is guaranteed and its limits; 0 for none.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// CPUs guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs in use at once.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs in use at once.
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim on starting (`wait`) or finishing (`finished`) of one class.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What is aimed at.
    pub kind: String,
    /// The class of jobs.
    #[serde(default)]
    pub class: Option<String>,
    /// Within which time, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Times of the workers, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Between two heartbeats.
    pub report_s: f64,
    /// After the last answered heartbeat a worker kills its tasks.
    pub lease_s: f64,
    /// In which a cancelled job's tasks have to be gone.
    pub cancel_s: f64,
}

/// Limits of the cloud's interface.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// By how much the list of machines lags, in seconds.
    pub list_lag_s: f64,
}

/// What a controller's machine gives it.
#[derive(Clone, Debug, Deserialize)]
pub struct ControllerResources {
    /// Share of a processor's core that each controller has.
    #[serde(default = "whole_core")]
    pub cpu: f64,
    /// Most sockets that it may have open.
    pub max_sockets: usize,
}

fn whole_core() -> f64 {
    1.0
}

impl Platform {
    /// Reads the platform's settings; unknown fields are ignored.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        let platform: Self = serde_json::from_str(text).map_err(|error| {
            let key = key_of(&error);
            SettingsError::new(file, &key, error.into())
        })?;
        platform.check(file)?;
        Ok(platform)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let facts = &self.facts;
        let positive = [
            ("facts.workers.report_s", facts.workers.report_s),
            ("facts.workers.lease_s", facts.workers.lease_s),
            ("facts.workers.cancel_s", facts.workers.cancel_s),
            ("facts.cloud.rps", facts.cloud.rps),
            ("facts.resources.cpu", facts.resources.cpu),
        ];
        for (key, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Err(SettingsError::new(file, key, Reason::NotPositive));
            }
        }
        if !(facts.cloud.list_lag_s.is_finite() && facts.cloud.list_lag_s >= 0.0) {
            return Err(SettingsError::new(
                file,
                "facts.cloud.list_lag_s",
                Reason::Negative,
            ));
        }
        facts.store.check(file)?;
        if facts.resources.max_sockets < SOCKETS_MIN {
            return Err(SettingsError::new(
                file,
                "facts.resources.max_sockets",
                Reason::BelowMinimum(SOCKETS_MIN),
            ));
        }
        if facts.zones.is_empty() {
            return Err(SettingsError::new(file, "facts.zones", Reason::NoZone));
        }
        if facts.workers.cancel_s <= facts.workers.lease_s {
            return Err(SettingsError::new(
                file,
                "facts.workers.cancel_s",
                Reason::ShorterThanLease,
            ));
        }
        self.check_controller_ids(file)?;
        self.check_teams(file)
    }

    fn check_controller_ids(&self, file: &str) -> Result<(), SettingsError> {
        let mut seen = vec![&self.controller_id];
        for peer in &self.peers {
            if seen.contains(&&peer.controller_id) {
                let reason = Reason::DuplicateController(peer.controller_id.to_string());
                return Err(SettingsError::new(file, "siblings", reason));
            }
            seen.push(&peer.controller_id);
        }
        if self.listen == self.peer_listen {
            return Err(SettingsError::new(
                file,
                "peer_listen",
                Reason::SameAsListen,
            ));
        }
        Ok(())
    }

    fn check_teams(&self, file: &str) -> Result<(), SettingsError> {
        for (index, team) in self.facts.teams.iter().enumerate() {
            for (key, value) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                if !(value.is_finite() && value >= 0.0) {
                    let key = format!("facts.teams[{index}].{key}");
                    return Err(SettingsError::new(file, &key, Reason::Negative));
                }
            }
        }
        Ok(())
    }
}

/// The field a parser's message speaks of, where it names one.
fn key_of(error: &serde_json::Error) -> String {
    let text = error.to_string();
    match text.split('`').nth(1) {
        Some(name) => name.to_string(),
        None => format!("line {}", error.line()),
    }
}
