//! What the platform hands over, as JSON.

use crate::ids::ControllerId;
use crate::settings::state_limits::StateLimits;
use crate::settings::{SettingsError, bad};
use serde::Deserialize;
use std::net::SocketAddrV4;

/// The settings of one controller, as the platform hands them over.
#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
    /// This controller's name.
    #[serde(rename = "member")]
    pub controller_id: ControllerId,
    /// Its zone.
    pub site: String,
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
    #[serde(default)]
    pub site: String,
    /// Where it listens for other controllers.
    pub endpoint: SocketAddrV4,
}

/// Where the platform's own services are.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud's interface.
    pub cloud: SocketAddrV4,
    /// The store.
    pub state: SocketAddrV4,
}

/// What is the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct Facts {
    /// Controllers.
    pub count: u32,
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
    pub state: StateLimits,
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
    #[serde(rename = "report_s")]
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
        let it: Self =
            serde_json::from_str(text).map_err(|e| bad(file, &key_of(&e), e.to_string()))?;
        it.check(file)?;
        Ok(it)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let f = &self.facts;
        let positive = [
            ("facts.workers.report_s", f.workers.report_s),
            ("facts.workers.lease_s", f.workers.lease_s),
            ("facts.workers.cancel_s", f.workers.cancel_s),
            ("facts.cloud.rps", f.cloud.rps),
            ("facts.resources.cpu", f.resources.cpu),
        ];
        for (key, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Err(bad(file, key, "must be a number above 0"));
            }
        }
        if !(f.cloud.list_lag_s.is_finite() && f.cloud.list_lag_s >= 0.0) {
            return Err(bad(file, "facts.cloud.list_lag_s", "must not be negative"));
        }
        f.state.check(file)?;
        if f.resources.max_sockets < 32 {
            return Err(bad(
                file,
                "facts.resources.max_sockets",
                "must be at least 32",
            ));
        }
        if f.zones.is_empty() {
            return Err(bad(file, "facts.zones", "must name a zone"));
        }
        if f.workers.cancel_s <= f.workers.lease_s {
            return Err(bad(
                file,
                "facts.workers.cancel_s",
                "must be longer than facts.workers.lease_s",
            ));
        }
        self.check_controller_ids(file)?;
        self.check_teams(file)
    }

    fn check_controller_ids(&self, file: &str) -> Result<(), SettingsError> {
        let mut seen = vec![&self.controller_id];
        for s in &self.peers {
            if seen.contains(&&s.controller_id) {
                return Err(bad(
                    file,
                    "siblings",
                    format!("{} stands twice", s.controller_id),
                ));
            }
            seen.push(&s.controller_id);
        }
        if self.listen == self.peer_listen {
            return Err(bad(file, "peer_listen", "must differ from listen"));
        }
        Ok(())
    }

    fn check_teams(&self, file: &str) -> Result<(), SettingsError> {
        for (at, t) in self.facts.teams.iter().enumerate() {
            for (key, value) in [
                ("cpus", t.cpus),
                ("cpus_max", t.cpus_max),
                ("gpus", t.gpus),
                ("gpus_max", t.gpus_max),
            ] {
                if !(value.is_finite() && value >= 0.0) {
                    let key = format!("facts.teams[{at}].{key}");
                    return Err(bad(file, &key, "must not be negative"));
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
