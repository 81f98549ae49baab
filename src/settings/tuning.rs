//! The operators' settings, a Java properties file.

use crate::settings::{Reason, SettingsError};
use salttrestle_standby::Config;
use std::collections::HashMap;

/// The properties file with the defaults and their documentation.
const DEFAULTS: &str = include_str!("../../deploy/salttrestle.properties");
/// The file name of the defaults in errors.
const DEFAULTS_NAME: &str = "(defaults)";

/// The operators' settings. `deploy/salttrestle.properties` documents each key in full.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// `leader.grant-s`: duration of the leader's lease, in seconds.
    pub leader_lease_s: f64,
    /// `block.lease-s`: duration of a shard's lease, in seconds.
    pub shard_lease_s: f64,
    /// `block.min-machines`: minimum number of machines of a shard when a fleet is split.
    pub shard_machines_min: f64,
    /// `block.cpu`: fraction of its processor time that a shard's owner may use.
    pub owner_cpu_fraction: f64,
    /// `standby.heartbeat-s`: interval between two heartbeats of the leader, in seconds; 0 disables
    /// the standby.
    pub leader_heartbeat_s: f64,
    /// `standby.missed`: number of consecutive missed heartbeats after which the leader is
    /// suspected.
    pub missed_heartbeats: f64,
    /// `standby.takeovers-per-minute`: maximum number of changes of leadership per minute that
    /// don't wait for the leader's lease to expire.
    pub takeovers_per_minute: f64,
    /// `standby.hints-s`: interval between two messages with hints of the leader, in seconds; 0 for
    /// none.
    pub hints_s: f64,
    /// `scale.tick-s`: interval between two ticks of the autoscaler, in seconds.
    pub tick_s: f64,
    /// `scale.rise`: number of machines that one tick may always add to a pool.
    pub scale_out_machines: f64,
    /// `scale.rise-share`: fraction of a pool's missing machines that one tick may add, if that is
    /// more than `scale.rise`.
    pub scale_out_fraction: f64,
    /// `scale.ceiling`: maximum number of machines of one type; 0 for as many as the controllers
    /// can serve.
    pub ceiling: f64,
    /// `scale.window`: time for which demand must stay lower before machines are scaled in, in boot
    /// times of the catalog.
    pub scale_in_delay_boots: f64,
    /// `scale.headroom`: room kept free for urgent starts, in standard deviations of demand.
    pub headroom_std_devs: f64,
    /// `budget.share`: fraction of the limits of cloud and store that all controllers together use.
    pub budget_fraction: f64,
    /// `budget.holder`: fraction of the store's budget for the owner of a fleet's only shard.
    pub budget_owner_fraction: f64,
    /// `report.hold`: longest wait of the response to a heartbeat, as a fraction of the heartbeat
    /// interval.
    pub long_poll_fraction: f64,
    /// `health.silent`: silence after which a machine is deleted, in durations of a worker's lease.
    pub silence_leases: f64,
    /// `health.boot`: time after which a booting machine is replaced, in average recent boot times
    /// of its machine type.
    pub boot_timeout_ratio: f64,
}

impl Tuning {
    /// Parses and validates the settings: the embedded defaults, overridden by the keys of an
    /// operator's file, which is passed as its name and its text.
    pub fn parse(overrides: Option<(&str, &str)>) -> Result<Self, SettingsError> {
        let properties = Properties::parse(overrides)?;
        let number = |key: &str, low: f64, high: f64| properties.number(key, low, high);
        let tuning = Self {
            leader_lease_s: number("leader.grant-s", 0.5, 60.0)?,
            shard_lease_s: number("block.lease-s", 1.0, 600.0)?,
            shard_machines_min: number("block.min-machines", 1.0, 1e6)?,
            owner_cpu_fraction: number("block.cpu", 1e-6, 1.0)?,
            leader_heartbeat_s: number("standby.heartbeat-s", 0.0, 10.0)?,
            missed_heartbeats: number("standby.missed", 2.0, 100.0)?,
            takeovers_per_minute: number("standby.takeovers-per-minute", 1.0, 60.0)?,
            hints_s: number("standby.hints-s", 0.0, 60.0)?,
            tick_s: number("scale.tick-s", 0.5, 300.0)?,
            scale_out_machines: number("scale.rise", 1.0, 50.0)?,
            scale_out_fraction: number("scale.rise-share", 0.0, 1.0)?,
            ceiling: number("scale.ceiling", 0.0, 1e6)?,
            scale_in_delay_boots: number("scale.window", 0.0, 100.0)?,
            headroom_std_devs: number("scale.headroom", 0.0, 10.0)?,
            budget_fraction: number("budget.share", 0.05, 1.0)?,
            budget_owner_fraction: number("budget.holder", 0.1, 0.9)?,
            long_poll_fraction: number("report.hold", 0.0, 1.0)?,
            silence_leases: number("health.silent", 0.3, 100.0)?,
            boot_timeout_ratio: number("health.boot", 1.5, 100.0)?,
        };
        match tuning.standby().check() {
            Ok(()) => Ok(tuning),
            Err(error) => {
                let key = "standby.heartbeat-s";
                Err(SettingsError::new(properties.file, key, error.into()))
            }
        }
    }

    /// Returns the intervals and limits of the standby.
    pub fn standby(&self) -> Config {
        let ms = |seconds: f64| (seconds * 1000.0).round() as u64;
        Config {
            heartbeat_ms: ms(self.leader_heartbeat_s),
            missed_heartbeats: self.missed_heartbeats as u32,
            takeovers_per_minute: self.takeovers_per_minute as u32,
            hints_ms: ms(self.hints_s),
            lease_ms: ms(self.leader_lease_s),
        }
    }
}

/// The defaults, overridden by an operator's file.
struct Properties<'a> {
    /// The file name in errors.
    file: &'a str,
    values: HashMap<String, String>,
}

impl<'a> Properties<'a> {
    fn parse(overrides: Option<(&'a str, &str)>) -> Result<Self, SettingsError> {
        let mut values = parse_properties(DEFAULTS_NAME, DEFAULTS)?;
        let Some((file, text)) = overrides else {
            let file = DEFAULTS_NAME;
            return Ok(Self { file, values });
        };
        for (key, value) in parse_properties(file, text)? {
            if values.insert(key.clone(), value).is_none() {
                return Err(SettingsError::new(file, &key, Reason::UnknownKey));
            }
        }
        Ok(Self { file, values })
    }

    fn number(&self, key: &str, low: f64, high: f64) -> Result<f64, SettingsError> {
        let error = |reason| SettingsError::new(self.file, key, reason);
        let text = self.values.get(key).ok_or_else(|| error(Reason::Missing))?;
        let value: Result<f64, _> = text.trim().parse();
        let value = value.map_err(|_| error(Reason::NotANumber(text.clone())))?;
        if value.is_finite() && (low..=high).contains(&value) {
            Ok(value)
        } else {
            Err(error(Reason::OutOfBounds { low, high }))
        }
    }
}

fn parse_properties(file: &str, text: &str) -> Result<HashMap<String, String>, SettingsError> {
    java_properties::read(text.as_bytes()).map_err(|error| SettingsError::whole_file(file, error))
}
