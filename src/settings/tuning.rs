//! What operators set, as Java-style properties.

use crate::settings::{Reason, SettingsError};
use salttrestle_standby::Config;
use std::collections::HashMap;

/// The documented defaults.
const DEFAULTS: &str = include_str!("../../deploy/salttrestle.properties");
/// What errors call them.
const DEFAULTS_NAME: &str = "(defaults)";

/// Operators' settings; `deploy/salttrestle.properties` documents each key in full.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// `leader.grant-s`: life of the leader's lease, in seconds.
    pub leader_lease_s: f64,
    /// `block.lease-s`: life of a shard's lease, in seconds.
    pub shard_lease_s: f64,
    /// `block.min-machines`: fewest machines of a shard.
    pub shard_machines_min: f64,
    /// `block.cpu`: share of the processor that a shard's owner may use.
    pub owner_cpu_fraction: f64,
    /// `standby.heartbeat-s`: between two heartbeats of the leader; 0 for no standby.
    pub leader_heartbeat_s: f64,
    /// `standby.missed`: heartbeats missed before the leader is suspected.
    pub missed_heartbeats: f64,
    /// `standby.takeovers-per-minute`: most changes of leadership before the lease's end.
    pub takeovers_per_minute: f64,
    /// `standby.hints-s`: between two hints of the leader; 0 for none.
    pub hints_s: f64,
    /// `scale.tick-s`: the autoscaler's tick, in seconds.
    pub tick_s: f64,
    /// `scale.rise`: machines that one tick may add to a pool.
    pub scale_out_machines: f64,
    /// `scale.rise-share`: or this share of what the pool lacks.
    pub scale_out_fraction: f64,
    /// `scale.ceiling`: most machines of a type; 0 for as many as can be served.
    pub ceiling: f64,
    /// `scale.window`: how long a lower count must hold, in boot times.
    pub scale_in_delay_boots: f64,
    /// `scale.headroom`: room kept free, in standard deviations of demand.
    pub headroom_std_devs: f64,
    /// `budget.share`: part of the limits that the controllers use together.
    pub budget_fraction: f64,
    /// `budget.holder`: part of that for a shard's owner.
    pub budget_owner_fraction: f64,
    /// `report.hold`: how long a heartbeat's answer may wait, in heartbeat intervals.
    pub long_poll_fraction: f64,
    /// `health.silent`: when a silent machine is deleted, in leases.
    pub silence_leases: f64,
    /// `health.boot`: when a booting machine is replaced, in usual boot times.
    pub boot_timeout_ratio: f64,
}

impl Tuning {
    /// The embedded defaults, with single keys overridden by an operator's file.
    pub fn parse(overrides: Option<(&str, &str)>) -> Result<Self, SettingsError> {
        let table = Table::read(overrides)?;
        let num = |key: &str, low: f64, high: f64| table.number(key, low, high);
        let tuning = Self {
            leader_lease_s: num("leader.grant-s", 0.5, 60.0)?,
            shard_lease_s: num("block.lease-s", 1.0, 600.0)?,
            shard_machines_min: num("block.min-machines", 1.0, 1e6)?,
            owner_cpu_fraction: num("block.cpu", 1e-6, 1.0)?,
            leader_heartbeat_s: num("standby.heartbeat-s", 0.0, 10.0)?,
            missed_heartbeats: num("standby.missed", 2.0, 100.0)?,
            takeovers_per_minute: num("standby.takeovers-per-minute", 1.0, 60.0)?,
            hints_s: num("standby.hints-s", 0.0, 60.0)?,
            tick_s: num("scale.tick-s", 0.5, 300.0)?,
            scale_out_machines: num("scale.rise", 1.0, 50.0)?,
            scale_out_fraction: num("scale.rise-share", 0.0, 1.0)?,
            ceiling: num("scale.ceiling", 0.0, 1e6)?,
            scale_in_delay_boots: num("scale.window", 0.0, 100.0)?,
            headroom_std_devs: num("scale.headroom", 0.0, 10.0)?,
            budget_fraction: num("budget.share", 0.05, 1.0)?,
            budget_owner_fraction: num("budget.holder", 0.1, 0.9)?,
            long_poll_fraction: num("report.hold", 0.0, 1.0)?,
            silence_leases: num("health.silent", 0.3, 100.0)?,
            boot_timeout_ratio: num("health.boot", 1.5, 100.0)?,
        };
        match tuning.standby().check() {
            Ok(()) => Ok(tuning),
            Err(error) => {
                let key = "standby.heartbeat-s";
                Err(SettingsError::new(table.file, key, error.into()))
            }
        }
    }

    /// The times and bounds of the standby.
    pub fn standby(&self) -> Config {
        let ms = |s: f64| (s * 1000.0).round() as u64;
        Config {
            heartbeat_ms: ms(self.leader_heartbeat_s),
            missed: self.missed_heartbeats as u32,
            takeovers_per_minute: self.takeovers_per_minute as u32,
            hints_ms: ms(self.hints_s),
            lease_ms: ms(self.leader_lease_s),
        }
    }
}

/// The defaults, with what overrides them.
struct Table<'a> {
    /// The file that errors name.
    file: &'a str,
    values: HashMap<String, String>,
}

impl<'a> Table<'a> {
    fn read(overrides: Option<(&'a str, &str)>) -> Result<Self, SettingsError> {
        let mut values = properties(DEFAULTS_NAME, DEFAULTS)?;
        let Some((file, text)) = overrides else {
            let file = DEFAULTS_NAME;
            return Ok(Self { file, values });
        };
        for (key, value) in properties(file, text)? {
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

fn properties(file: &str, text: &str) -> Result<HashMap<String, String>, SettingsError> {
    java_properties::read(text.as_bytes()).map_err(|error| SettingsError::whole_file(file, error))
}
