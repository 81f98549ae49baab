//! The platform's settings, a JSON file.

use crate::ids::ControllerId;
use crate::settings::store_limits::StoreLimits;
use crate::settings::{Reason, SettingsError};
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Smallest accepted limit on the open sockets of a controller.
const SOCKETS_MIN: usize = 32;

/// The settings that the platform passes to one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
    /// Id of this controller.
    #[serde(rename = "member")]
    pub controller_id: ControllerId,
    /// Zone of this controller.
    #[serde(rename = "site")]
    pub zone: String,
    /// Listen address for users, workers and health checks.
    pub listen: SocketAddrV4,
    /// Listen address for the other controllers of the cell.
    pub peer_listen: SocketAddrV4,
    /// The other controllers of the cell.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<Peer>,
    /// Addresses of the store and the cloud.
    pub services: Services,
    /// Settings that are the same for all controllers of the cell.
    pub facts: Facts,
}

/// Another controller of the cell.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Id of the controller.
    #[serde(rename = "member")]
    pub controller_id: ControllerId,
    /// Zone of the controller, or empty if it isn't known.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Address at which it listens for other controllers.
    pub endpoint: SocketAddrV4,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// Address of the cloud's API.
    pub cloud: SocketAddrV4,
    /// Address of the store.
    #[serde(rename = "state")]
    pub store: SocketAddrV4,
}

/// Settings that are the same for all controllers of the cell.
#[derive(Clone, Debug, Deserialize)]
pub struct Facts {
    /// Number of controllers.
    #[serde(rename = "count")]
    pub controller_count: u32,
    /// Zones with controllers and machines.
    pub zones: Vec<String>,
    /// Teams whose jobs are accepted.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives of job classes.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and time limits of workers.
    pub workers: WorkerTimes,
    /// Limits of the store.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// Resources of each controller.
    pub resources: ControllerResources,
}

/// A team with its guaranteed quota and its limits; 0 stands for no guarantee and no limit.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPUs in use at the same time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs in use at the same time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective for the start (`wait`) or the end (`finished`) of jobs of one class.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// Kind of the objective: `wait` or `finished`.
    pub kind: String,
    /// The job class.
    #[serde(default)]
    pub class: Option<String>,
    /// Time within which jobs of the class should start or end, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Intervals and time limits of workers, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTimes {
    /// Interval between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Duration of a worker's lease. A worker kills its tasks this long after its last answered
    /// heartbeat.
    pub lease_s: f64,
    /// Time within which all tasks of a cancelled job must have stopped.
    pub cancel_s: f64,
}

/// Limits of the cloud's API.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Delay until a change shows in the list of machines, in seconds.
    pub list_lag_s: f64,
}

/// Resources of a controller.
#[derive(Clone, Debug, Deserialize)]
pub struct ControllerResources {
    /// CPU cores available to the controller, possibly a fraction of one.
    #[serde(default = "whole_core")]
    pub cpu: f64,
    /// Maximum number of sockets that the controller may have open.
    pub max_sockets: usize,
}

fn whole_core() -> f64 {
    1.0
}

impl Platform {
    /// Parses and validates the platform's settings. Unknown fields are ignored.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        let platform: Self = serde_json::from_str(text).map_err(|error| {
            let key = error_key(&error);
            SettingsError::new(file, &key, error.into())
        })?;
        platform.check(file)?;
        Ok(platform)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let facts = &self.facts;
        let positive = [
            ("facts.workers.report_s", facts.workers.heartbeat_s),
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

/// Returns the field that a parser's message names, or the line if it names no field.
fn error_key(error: &serde_json::Error) -> String {
    let text = error.to_string();
    match text.split('`').nth(1) {
        Some(name) => name.to_string(),
        None => format!("line {}", error.line()),
    }
}
