//! How a run is made from a scenario's lines.

use super::controllers::ControllerHost;
use super::digest::OutputDigest;
use super::event::Event;
use super::faults::{ActiveFault, ActiveFaults, duration_ms};
use super::limits::LimitChanges;
use super::observed::Observed;
use super::scenario::{Arguments, Line, Scenario, milliseconds};
use super::services::Throttle;
use super::store::StoreService;
use super::world::World;
use rand::SeedableRng;
use rand::rngs::StdRng;
use salttrestle::controller::store::records::Resources;
use salttrestle::settings::NextStateLimits;
use salttrestle::wire::MachineType;
use salttrestle_fakes::checker::Checker;
use salttrestle_fakes::cloud::Cloud;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The first clock that a controller reads, and by how much the next one's is ahead.
const CLOCK_START_MS: u64 = 10_000_000;
const CLOCK_STEP_MS: u64 = 1000;
/// Between the starts of two controllers.
const START_STEP_MS: u64 = 10;
/// The first looks of the checker, and at which leases at the store are over.
const FIRST_CHECK_MS: u64 = 500;
const FIRST_EXPIRY_MS: u64 = 100;
/// A leased worker's kill, its heartbeats, and the bound on cancellations, in seconds.
const LEASE_S: f64 = 10.0;
const HEARTBEAT_S: f64 = 1.0;
const CANCEL_S: f64 = 35.0;
/// By how much the cloud's list of machines lags, in seconds.
const LIST_LAG_S: f64 = 4.0;

/// The zones of a scenario that names none.
fn zones(scenario: &Scenario) -> Vec<String> {
    match scenario.first("zones") {
        Some(zones) => zones.words().to_vec(),
        None => vec!["a".into(), "b".into()],
    }
}

fn controllers(scenario: &Scenario) -> usize {
    scenario.number("nodes", 3.0) as usize
}

/// The store's limits on a value and on a transaction.
struct StoreLimits {
    value_kb: f64,
    transaction_writes: usize,
}

impl StoreLimits {
    fn of(scenario: &Scenario) -> Self {
        let line = scenario.first("state").cloned().unwrap_or_default();
        Self {
            value_kb: line.number("kb", 8.0),
            transaction_writes: line.number("ops", 16.0) as usize,
        }
    }
}

/// The platform file, as far as all controllers share it.
fn platform(scenario: &Scenario) -> serde_json::Value {
    let zones = zones(scenario);
    let store = scenario.first("state").cloned().unwrap_or_default();
    let limits = StoreLimits::of(scenario);
    let facts = serde_json::json!({
        "count": controllers(scenario), "zones": zones,
        "teams": scenario.all("team").map(team).collect::<Vec<_>>(), "objectives": [],
        "workers": {"report_s": scenario.number("report", HEARTBEAT_S),
                    "lease_s": scenario.number("lease", LEASE_S),
                    "cancel_s": scenario.number("cancel", CANCEL_S)},
        "state": {"rps": store.number("rps", 150.0), "write_rps": store.number("write", 60.0),
                  "value_kb": limits.value_kb, "txn_ops": limits.transaction_writes},
        "cloud": {"rps": scenario.number("cloud", 4.0),
                  "list_lag_s": scenario.number("lag", LIST_LAG_S)},
        "resources": {"cpu": 0.1, "mem_mb": 56.0, "max_sockets": 500}
    });
    serde_json::json!({
        "site": zones[0], "services": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
        "facts": facts
    })
}

fn team(line: &Arguments) -> serde_json::Value {
    let amount = |key| line.number(key, 0.0);
    serde_json::json!({"name": line.word(0), "cpus": amount("cpus"), "gpus": amount("gpus"),
        "cpus_max": amount("cpus_max"), "gpus_max": amount("gpus_max")})
}

/// What each team may use at most: CPUs and GPUs.
fn team_limits(scenario: &Scenario) -> BTreeMap<String, (f64, f64)> {
    let limits = scenario.all("team").map(|line| {
        let limit = (line.number("cpus_max", 0.0), line.number("gpus_max", 0.0));
        (line.word(0).to_string(), limit)
    });
    limits.collect()
}

/// The tuning file. The machines that a scenario begins with wait for its jobs.
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

/// The limits of the line `next`.
fn next_limits(line: &Arguments) -> NextStateLimits {
    NextStateLimits {
        rps: None,
        write_rps: Some(line.number("write", 42.0)),
        value_kb: Some(line.number("kb", 2.0)),
        txn_ops: Some(line.number("ops", 4.0) as usize),
    }
}

fn host(scenario: &Scenario, place: usize) -> ControllerHost {
    let drift = scenario.number("drift", 0.0);
    let next = scenario.first("next");
    ControllerHost {
        controller: None,
        incarnation: 0,
        clock_offset: CLOCK_START_MS + CLOCK_STEP_MS * place as u64,
        clock_drift: if place.is_multiple_of(2) {
            drift
        } else {
            -drift
        },
        requests: Vec::new(),
        refused_until: 0,
        paused_until: 0,
        next_wake: None,
        down_after_shutdown: None,
        announces_limits: next.is_some_and(|line| !line.has("later")),
    }
}

impl World {
    /// A run of a scenario; its `at` lines become the script.
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let mut world = Self::empty(scenario);
        for line in scenario.all("room") {
            world.set_capacity(line);
        }
        for line in scenario.all("machines") {
            world.add_machines(line);
        }
        for line in scenario.lines_of("at") {
            world.schedule(line);
        }
        for controller in 0..world.hosts.len() {
            let delay = START_STEP_MS * controller as u64;
            world.after(delay, Event::Start(controller));
        }
        world.after(FIRST_CHECK_MS, Event::Check);
        world.after(FIRST_EXPIRY_MS, Event::ExpireLeases);
        world
    }

    /// A run in which nothing is scheduled.
    fn empty(scenario: &Scenario) -> Self {
        let controllers = controllers(scenario);
        let limits = StoreLimits::of(scenario);
        let cancel_ms = milliseconds(scenario.number("cancel", CANCEL_S));
        Self {
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(scenario.number("seed", 1.0) as u64),
            hosts: (0..controllers)
                .map(|place| host(scenario, place))
                .collect(),
            controller_ids: (0..controllers).map(|n| format!("node-{n}")).collect(),
            zones: zones(scenario),
            platform: platform(scenario),
            tuning: tuning(scenario),
            store: StoreService::new(limits.value_kb, limits.transaction_writes),
            next_limits: scenario.first("next").map(next_limits),
            cloud: cloud(scenario),
            workers: BTreeMap::new(),
            specs: HashMap::new(),
            origins: HashMap::new(),
            last_request: 0,
            partitions: Vec::new(),
            held: Vec::new(),
            peers_refuse_until: 0,
            refused_links: BTreeSet::new(),
            busy: ActiveFault::default(),
            heartbeat_copies: None,
            lose_answers: 0,
            throttle: Throttle::default(),
            faults: ActiveFaults::default(),
            calm_at: 0,
            script: Vec::new(),
            end: milliseconds(scenario.number("end", 120.0)),
            lease_ms: milliseconds(scenario.number("lease", LEASE_S)),
            heartbeat_ms: milliseconds(scenario.number("report", HEARTBEAT_S)),
            checker: Checker::new(cancel_ms, team_limits(scenario)),
            limit_changes: LimitChanges::default(),
            observed: Observed::default(),
            statuses: BTreeSet::new(),
            answered: BTreeMap::new(),
            tokens: BTreeSet::new(),
            killed: 0,
            deleted_tasks: 0,
            digest: OutputDigest::default(),
        }
    }

    /// `machines g8 a 2`: machines that are there from the start.
    fn add_machines(&mut self, line: &Arguments) {
        let (machine_type, zone) = (line.word(0), line.word(1));
        for _ in 0..line.parsed::<u32>(2) {
            let spot = line.has("spot");
            let id = self.cloud.add_machine(0, machine_type, zone, spot, Some(1));
            self.after(1, Event::MachineUp(id.to_string()));
        }
    }

    /// `at 40~3 kill leader`: some time in those 3 s, another one with each seed.
    fn schedule(&mut self, line: &Line) {
        let time = line.arguments.word(0);
        let (from, span) = time.split_once('~').unwrap_or((time, "0"));
        let span = milliseconds(span.parse().expect("a span"));
        let at = milliseconds(from.parse().expect("a time")) + self.random(span);
        let command = line.command();
        self.calm_at = self.calm_at.max(at + duration_ms(&command));
        self.script.push(command);
        self.at(at, Event::Script(self.script.len() - 1));
    }
}
