//! What the platform hands over (JSON) and what operators set (properties).

use crate::ids::Member;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::path::Path;
use thiserror::Error;

/// The documented defaults, as they stand in the repository.
const DEFAULTS: &str = include_str!("../deploy/salttrestle.properties");

/// A setting that ends the start: names file, key and reason in one line.
#[derive(Debug, Error)]
#[error("{file}: {key}: {reason}")]
pub struct SettingsError {
    pub file: String,
    pub key: String,
    pub reason: String,
}

fn bad(file: &str, key: &str, reason: impl Into<String>) -> SettingsError {
    SettingsError {
        file: file.into(),
        key: key.into(),
        reason: reason.into().replace('\n', " "),
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
    pub member: Member,
    pub site: String,
    pub listen: SocketAddrV4,
    pub peer_listen: SocketAddrV4,
    #[serde(default)]
    pub siblings: Vec<Sibling>,
    pub services: Services,
    pub facts: Facts,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Sibling {
    pub member: Member,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    pub endpoint: SocketAddrV4,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    pub cloud: SocketAddrV4,
    pub state: SocketAddrV4,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Facts {
    pub count: u32,
    pub zones: Vec<String>,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub resources: Resources,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim on starting (`wait`) or finishing (`finished`) of one class.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// Limits of the state service, as they are now and as they are announced to become.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// KiB of a value, counted as JSON.
    pub value_kb: f64,
    /// Puts and deletes in one transaction.
    pub txn_ops: usize,
    /// What these limits change to at some moment, without notice.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// Limits that the state service will have later. Those that are left out stay as they are.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct NextStateLimits {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Puts and deletes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// KiB of a value, counted as JSON.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Puts and deletes in one transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The stricter of the present and the announced limits: what fits into these is taken
    /// before and after the change.
    pub fn strictest(&self) -> StrictestLimits {
        let next = self.next.unwrap_or_default();
        let least = |now: f64, later: Option<f64>| later.map_or(now, |later| later.min(now));
        let value_kb = least(self.value_kb, next.value_kb);
        let txn_ops = next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops));
        StrictestLimits {
            rps: least(self.rps, next.rps),
            write_rps: least(self.write_rps, next.write_rps),
            value_bytes: kib(value_kb),
            txn_ops,
        }
    }

    /// The limit on a value before any change, in bytes.
    pub fn value_bytes_now(&self) -> usize {
        kib(self.value_kb)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let next = self.next.unwrap_or_default();
        let rates = [
            ("facts.state.rps", Some(self.rps)),
            ("facts.state.write_rps", Some(self.write_rps)),
            ("facts.state.value_kb", Some(self.value_kb)),
            ("facts.state.next.rps", next.rps),
            ("facts.state.next.write_rps", next.write_rps),
            ("facts.state.next.value_kb", next.value_kb),
        ];
        for (key, value) in rates {
            if value.is_some_and(|v| !(v.is_finite() && v > 0.0)) {
                return Err(bad(file, key, "must be a number above 0"));
            }
        }
        let operations = [
            ("facts.state.txn_ops", Some(self.txn_ops)),
            ("facts.state.next.txn_ops", next.txn_ops),
        ];
        for (key, value) in operations {
            if value.is_some_and(|n| n < TXN_OPS_LEAST) {
                let reason = format!("must be at least {TXN_OPS_LEAST}");
                return Err(bad(file, key, reason));
            }
        }
        Ok(())
    }
}

/// Limits by which values, transactions and rates are planned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StrictestLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Bytes of a value as JSON.
    pub value_bytes: usize,
    /// Puts and deletes in one transaction.
    pub txn_ops: usize,
}

/// An election writes the leader's and the number's records and leases a block, and a job's end
/// is written with the deletion of its record and of chunks.
const TXN_OPS_LEAST: usize = 4;

fn kib(amount: f64) -> usize {
    (amount * 1024.0) as usize
}

#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Resources {
    /// Share of a processor's core that each controller has.
    #[serde(default = "whole")]
    pub cpu: f64,
    pub max_sockets: usize,
}

fn whole() -> f64 {
    1.0
}

/// Processor time that a holder spends on one report, with all that follows from it, in
/// seconds: as measured, rounded up.
const REPORT_CPU_S: f64 = 75e-6;
/// Reports come this much later than usual at most.
const LATE_REPORT: f64 = 1.25;
/// A worker waits so long for the answer to a report, and then before it tries another
/// controller.
const WORKER_WAITS_S: f64 = 4.0;
const WORKER_PAUSE_S: f64 = 1.0;
/// Users wait this long for an answer to a cancellation; it waits for machines for this
/// share of that at most.
const USER_WAITS_S: f64 = 5.0;
const LEAVE_MOST: f64 = 0.8;
/// The report of a halt, and what commits and links take, in pauses of a worker.
const STOP_REPORTS: f64 = 1.25;
/// A machine is overdue when so many late reports fit into its silence.
const OVERDUE_REPORTS: f64 = 2.0;
/// Shares of that wait for which an answer is held at most: where tasks may end, and
/// elsewhere.
const HOLD_ENDS: f64 = 0.5;
const HOLD_MOST: f64 = 0.65;
/// For the time that messages take, and late timers.
const SILENT_MARGIN: f64 = 1.2;
/// Sockets of each controller that aren't for workers.
const OTHER_SOCKETS: usize = 100;

/// Operators' settings; each field is documented in `deploy/salttrestle.properties`.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    pub grant_s: f64,
    pub block_lease_s: f64,
    pub block_min: f64,
    pub block_cpu: f64,
    pub tick_s: f64,
    pub rise: f64,
    pub rise_share: f64,
    pub ceiling: f64,
    pub window: f64,
    pub headroom: f64,
    pub budget_share: f64,
    pub budget_holder: f64,
    pub report_hold: f64,
    pub silent: f64,
    pub boot: f64,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub platform: Platform,
    pub tuning: Tuning,
}

impl Settings {
    /// Reads and checks both files.
    pub fn load(config: &Path, properties: Option<&Path>) -> Result<Self, SettingsError> {
        let name = config.display().to_string();
        let text = read(config, &name)?;
        let platform = Platform::parse(&text, &name)?;
        let tuning = match properties {
            None => Tuning::parse(None)?,
            Some(path) => {
                let name = path.display().to_string();
                Tuning::parse(Some((&name, &read(path, &name)?)))?
            }
        };
        Ok(Self { platform, tuning })
    }
}

impl Settings {
    /// Machines that one holder can serve with all of its processor.
    fn machines_a_holder(&self) -> f64 {
        let f = &self.platform.facts;
        f.resources.cpu * f.workers.report_s / REPORT_CPU_S
    }

    /// How long the answer to a quiet report may wait for a command, so that the worker
    /// still gets it in time; less where tasks may end meanwhile, whose users expect to
    /// hear of it within 3 s.
    pub fn hold_s(&self, ends: bool) -> f64 {
        let most = if ends { HOLD_ENDS } else { HOLD_MOST };
        let hold = self.tuning.report_hold * self.platform.facts.workers.report_s;
        hold.min(WORKER_WAITS_S * most)
    }

    /// How long a cancellation waits for the machines' word that its tasks are gone: until
    /// each has reported, has been told to stop and has reported that.
    pub fn leave_s(&self) -> f64 {
        let report = self.platform.facts.workers.report_s * LATE_REPORT;
        (report + WORKER_PAUSE_S * STOP_REPORTS).min(USER_WAITS_S * LEAVE_MOST)
    }

    /// After how long without a report a machine can't be counted on to confirm anything.
    pub fn overdue_s(&self) -> f64 {
        self.platform.facts.workers.report_s * LATE_REPORT * OVERDUE_REPORTS
    }

    /// How long a machine may be silent before it is deleted: a share of the lease or, where
    /// the controller that it reported to is well, a report that is late, one that finds no
    /// answer, and the next try.
    pub fn silent_s(&self, mute: bool) -> f64 {
        let w = &self.platform.facts.workers;
        let of_lease = w.lease_s * self.tuning.silent;
        let tries = w.report_s * LATE_REPORT + WORKER_WAITS_S + WORKER_PAUSE_S;
        match mute {
            true => of_lease,
            false => of_lease.min(tries * SILENT_MARGIN),
        }
    }

    /// Into how many blocks a fleet is cut: no more than its holders' processors need,
    /// and none smaller than is worth it.
    pub fn blocks_for(&self, machines: u32) -> usize {
        let machines = f64::from(machines);
        let most = self.machines_a_holder() * self.tuning.block_cpu;
        let needed = (machines / most).ceil();
        needed.min((machines / self.tuning.block_min).floor()) as usize
    }

    /// Most machines that one tick may add to a pool that lacks `gap`. Ten a tick took an
    /// empty fleet of hundreds more than a minute, in which nobody was served; a wrong
    /// count still shows in the next tick before all it asks for is rented.
    pub fn rise(&self, gap: u32) -> u32 {
        let share = f64::from(gap) * self.tuning.rise_share;
        self.tuning.rise.max(share.ceil()) as u32
    }

    /// Most machines of one type: as set or, where nothing is set, as many as the
    /// controllers together can serve by processor and sockets.
    pub fn ceiling(&self) -> u32 {
        if self.tuning.ceiling >= 1.0 {
            return self.tuning.ceiling as u32;
        }
        let f = &self.platform.facts;
        let sockets = f.resources.max_sockets.saturating_sub(OTHER_SOCKETS).max(1);
        let each = self.machines_a_holder().min(sockets as f64).max(1.0);
        (each * f64::from(f.count.max(1))) as u32
    }
}

fn read(path: &Path, name: &str) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|e| bad(name, "(file)", e.to_string()))
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
        self.check_members(file)?;
        self.check_teams(file)
    }

    fn check_members(&self, file: &str) -> Result<(), SettingsError> {
        let mut seen = vec![&self.member];
        for s in &self.siblings {
            if seen.contains(&&s.member) {
                return Err(bad(file, "siblings", format!("{} stands twice", s.member)));
            }
            seen.push(&s.member);
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

impl Tuning {
    /// The embedded defaults, with single keys overridden by an operator's file.
    pub fn parse(over: Option<(&str, &str)>) -> Result<Self, SettingsError> {
        let mut table = properties("(defaults)", DEFAULTS)?;
        let mut file = "(defaults)";
        if let Some((name, text)) = over {
            file = name;
            for (key, value) in properties(name, text)? {
                if table.insert(key.clone(), value).is_none() {
                    return Err(bad(name, &key, "unknown key"));
                }
            }
        }
        let num = |key: &str, low: f64, high: f64| number(&table, file, key, low, high);
        Ok(Self {
            grant_s: num("leader.grant-s", 0.5, 60.0)?,
            block_lease_s: num("block.lease-s", 1.0, 600.0)?,
            block_min: num("block.min-machines", 1.0, 1e6)?,
            block_cpu: num("block.cpu", 1e-6, 1.0)?,
            tick_s: num("scale.tick-s", 0.5, 300.0)?,
            rise: num("scale.rise", 1.0, 50.0)?,
            rise_share: num("scale.rise-share", 0.0, 1.0)?,
            ceiling: num("scale.ceiling", 0.0, 1e6)?,
            window: num("scale.window", 0.0, 100.0)?,
            headroom: num("scale.headroom", 0.0, 10.0)?,
            budget_share: num("budget.share", 0.05, 1.0)?,
            budget_holder: num("budget.holder", 0.1, 0.9)?,
            report_hold: num("report.hold", 0.0, 1.0)?,
            silent: num("health.silent", 0.3, 100.0)?,
            boot: num("health.boot", 1.5, 100.0)?,
        })
    }
}

fn properties(file: &str, text: &str) -> Result<HashMap<String, String>, SettingsError> {
    java_properties::read(text.as_bytes()).map_err(|e| bad(file, "(file)", e.to_string()))
}

fn number(
    table: &HashMap<String, String>,
    file: &str,
    key: &str,
    low: f64,
    high: f64,
) -> Result<f64, SettingsError> {
    let text = table.get(key).ok_or_else(|| bad(file, key, "is missing"))?;
    let value: f64 = text
        .trim()
        .parse()
        .map_err(|_| bad(file, key, format!("'{text}' is not a number")))?;
    if value.is_finite() && (low..=high).contains(&value) {
        Ok(value)
    } else {
        Err(bad(file, key, format!("must lie in {low} to {high}")))
    }
}
