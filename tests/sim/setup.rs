//! Construction of a run from a scenario's lines.

use super::controllers::ControllerHost;
use super::digest::OutputDigest;
use super::event::Event;
use super::faults::{ActiveFault, ActiveFaults, fault_duration_ms};
use super::limits::LimitChanges;
use super::observed::Observed;
use super::scenario::{Arguments, Line, Scenario, milliseconds};
use super::services::Throttle;
use super::store::StoreService;
use super::store_delay::StoreDelay;
use super::world::World;
use rand::SeedableRng;
use rand::rngs::StdRng;
use salttrestle::controller::store::records::Resources;
use salttrestle::settings::NextStoreLimits;
use salttrestle::wire::MachineType;
use salttrestle_fakes::checker::Checker;
use salttrestle_fakes::cloud::Cloud;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The clock of the first controller at the start of a run.
const CLOCK_START_MS: u64 = 10_000_000;
/// How far the clock of each further controller is ahead of the previous one.
const CLOCK_OFFSET_STEP_MS: u64 = 1000;
/// The interval between the starts of two controllers.
const START_INTERVAL_MS: u64 = 10;
/// The time of the first periodic checks.
const FIRST_CHECK_MS: u64 = 500;
/// The time at which the store first expires leases.
const FIRST_EXPIRY_MS: u64 = 100;
/// Default length of a worker's lease: a worker without a renewal for this long kills its tasks.
const LEASE_S: f64 = 10.0;
/// Default interval between heartbeats.
const HEARTBEAT_S: f64 = 1.0;
/// Default bound on the time from a confirmed cancellation until the job's tasks are gone.
const CANCEL_BOUND_S: f64 = 35.0;
/// Default lag of the cloud's list of machines.
const LIST_LAG_S: f64 = 4.0;

/// The zones that a scenario names, or `a` and `b`.
fn zones(scenario: &Scenario) -> Vec<String> {
    match scenario.first("zones") {
        Some(zones) => zones.words().to_vec(),
        None => vec!["a".into(), "b".into()],
    }
}

fn controller_count(scenario: &Scenario) -> usize {
    scenario.number("nodes", 3.0) as usize
}

/// The store's limits on the size of a value and on the writes of a transaction.
struct StoreLimits {
    value_max_kib: f64,
    transaction_writes_max: usize,
}

impl StoreLimits {
    fn parse(scenario: &Scenario) -> Self {
        let line = scenario.first("state").cloned().unwrap_or_default();
        Self {
            value_max_kib: line.number("kb", 8.0),
            transaction_writes_max: line.number("ops", 16.0) as usize,
        }
    }
}

/// The platform settings that all controllers share.
fn platform(scenario: &Scenario) -> serde_json::Value {
    let zones = zones(scenario);
    let store = scenario.first("state").cloned().unwrap_or_default();
    let limits = StoreLimits::parse(scenario);
    let facts = serde_json::json!({
        "count": controller_count(scenario), "zones": zones,
        "teams": scenario.all("team").map(team_settings).collect::<Vec<_>>(), "objectives": [],
        "workers": {"report_s": scenario.number("report", HEARTBEAT_S),
                    "lease_s": scenario.number("lease", LEASE_S),
                    "cancel_s": scenario.number("cancel", CANCEL_BOUND_S)},
        "state": {"rps": store.number("rps", 150.0), "write_rps": store.number("write", 60.0),
                  "value_kb": limits.value_max_kib, "txn_ops": limits.transaction_writes_max},
        "cloud": {"rps": scenario.number("cloud", 4.0),
                  "list_lag_s": scenario.number("lag", LIST_LAG_S)},
        "resources": {"cpu": 0.1, "mem_mb": 56.0, "max_sockets": 500}
    });
    serde_json::json!({
        "site": zones[0], "services": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
        "facts": facts
    })
}

fn team_settings(line: &Arguments) -> serde_json::Value {
    let amount = |key| line.number(key, 0.0);
    serde_json::json!({"name": line.word(0), "cpus": amount("cpus"), "gpus": amount("gpus"),
        "cpus_max": amount("cpus_max"), "gpus_max": amount("gpus_max")})
}

/// The limit of each team, as CPUs and GPUs.
fn team_limits(scenario: &Scenario) -> BTreeMap<String, (f64, f64)> {
    let limits = scenario.all("team").map(|line| {
        let limit = (line.number("cpus_max", 0.0), line.number("gpus_max", 0.0));
        (line.word(0).to_string(), limit)
    });
    limits.collect()
}

/// The tuning settings: the scenario's `set` lines after a default for `scale.window`, so that the
/// machines that a scenario begins with are kept until its jobs arrive.
fn tuning(scenario: &Scenario) -> String {
    let lines = scenario.all("set");
    let lines = lines.map(|line| format!("{} = {}\n", line.word(0), line.word(1)));
    String::from("scale.window = 3\n") + &lines.collect::<String>()
}

fn machine_type(line: &Arguments, zones: &[String]) -> MachineType {
    MachineType {
        name: line.word(0).into(),
        resources: Resources {
            cpus: line.number("cpus", 64.0),
            gpus: line.number("gpus", 8.0),
            mem: line.number("mem", 256.0),
        },
        cache_gb: line.number("cache", 600.0),
        fetch_gb_s: line.number("fetch", 5.0),
        price: line.number("price", 10.0),
        spot_price: line.number("spot", 3.0),
        ready_s: line.number("ready", 20.0),
        zones: zones.to_vec(),
    }
}

fn cloud(scenario: &Scenario) -> Cloud {
    let zones = zones(scenario);
    let catalog = scenario.all("type");
    Cloud {
        catalog: catalog.map(|line| machine_type(line, &zones)).collect(),
        list_lag_ms: milliseconds(scenario.number("lag", LIST_LAG_S)),
        ..Cloud::default()
    }
}

/// The store's next limits, from the `next` line.
fn next_limits(line: &Arguments) -> NextStoreLimits {
    NextStoreLimits {
        rps: None,
        write_rps: Some(line.number("write", 42.0)),
        value_kb: Some(line.number("kb", 2.0)),
        txn_ops: Some(line.number("ops", 4.0) as usize),
    }
}

fn new_host(scenario: &Scenario, index: usize) -> ControllerHost {
    let drift = scenario.number("drift", 0.0);
    let next = scenario.first("next");
    ControllerHost {
        controller: None,
        incarnation: 0,
        clock_offset_ms: CLOCK_START_MS + CLOCK_OFFSET_STEP_MS * index as u64,
        clock_drift: if index.is_multiple_of(2) {
            drift
        } else {
            -drift
        },
        open_requests: Vec::new(),
        store_refuses_until: 0,
        store_delay: StoreDelay::default(),
        paused_until: 0,
        next_wake_at: None,
        restart_delay_ms: None,
        announces_limits: next.is_some_and(|line| !line.contains("later")),
    }
}

impl World {
    /// Creates a run of a scenario. Its `at` lines become the script.
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let mut world = Self::empty(scenario);
        if scenario.first("first-start").is_none() {
            world.store.add_status_ages(&world.controller_ids);
        }
        for line in scenario.all("room") {
            world.set_capacity(line);
        }
        for line in scenario.all("machines") {
            world.add_machines(line);
        }
        for line in scenario.lines_of("at") {
            world.schedule_line(line);
        }
        for controller in 0..world.hosts.len() {
            let delay = START_INTERVAL_MS * controller as u64;
            world.schedule_after(delay, Event::Start(controller));
        }
        world.schedule_after(FIRST_CHECK_MS, Event::Check);
        world.schedule_after(FIRST_EXPIRY_MS, Event::ExpireLeases);
        world
    }

    /// Creates a run without scheduled events.
    fn empty(scenario: &Scenario) -> Self {
        let controllers = controller_count(scenario);
        let limits = StoreLimits::parse(scenario);
        let cancel_ms = milliseconds(scenario.number("cancel", CANCEL_BOUND_S));
        Self {
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(scenario.number("seed", 1.0) as u64),
            hosts: (0..controllers)
                .map(|index| new_host(scenario, index))
                .collect(),
            controller_ids: (0..controllers).map(|n| format!("node-{n}")).collect(),
            zones: zones(scenario),
            platform: platform(scenario),
            tuning: tuning(scenario),
            store: StoreService::new(limits.value_max_kib, limits.transaction_writes_max),
            next_limits: scenario.first("next").map(next_limits),
            cloud: cloud(scenario),
            workers: BTreeMap::new(),
            specs: HashMap::new(),
            request_origins: HashMap::new(),
            last_request: 0,
            partitions: Vec::new(),
            held_messages: Vec::new(),
            peers_refuse_until: 0,
            refused_links: BTreeSet::new(),
            leader_utilization: ActiveFault::default(),
            heartbeat_copies: None,
            answers_to_lose: 0,
            throttle: Throttle::default(),
            faults: ActiveFaults::default(),
            faults_end_at: 0,
            script: Vec::new(),
            end_at: milliseconds(scenario.number("end", 120.0)),
            lease_ms: milliseconds(scenario.number("lease", LEASE_S)),
            heartbeat_ms: milliseconds(scenario.number("report", HEARTBEAT_S)),
            checker: Checker::new(cancel_ms, team_limits(scenario)),
            limit_changes: LimitChanges::default(),
            observed: Observed::default(),
            statuses: BTreeSet::new(),
            last_answered_at: BTreeMap::new(),
            owner_tokens: BTreeSet::new(),
            lease_expiry_kills: 0,
            tasks_on_deleted_machines: 0,
            digest: OutputDigest::default(),
        }
    }

    /// Handles `machines g8 a 2`: adds machines that run from the start.
    fn add_machines(&mut self, line: &Arguments) {
        let (machine_type, zone) = (line.word(0), line.word(1));
        for _ in 0..line.parsed::<u32>(2) {
            let spot = line.contains("spot");
            let id = self.cloud.add_machine(0, machine_type, zone, spot, Some(1));
            self.schedule_after(1, Event::MachineUp(id.to_string()));
        }
    }

    /// Schedules a line such as `at 40~3 kill leader`: the command runs at a time between seconds
    /// 40 and 43 that depends on the seed.
    fn schedule_line(&mut self, line: &Line) {
        let time = line.arguments.word(0);
        let (from, span) = time.split_once('~').unwrap_or((time, "0"));
        let span = milliseconds(span.parse().expect("a span in seconds"));
        let at = milliseconds(from.parse().expect("a time in seconds")) + self.random_below(span);
        let command = line.command();
        self.faults_end_at = self.faults_end_at.max(at + fault_duration_ms(&command));
        self.script.push(command);
        self.schedule_at(at, Event::Script(self.script.len() - 1));
    }
}
