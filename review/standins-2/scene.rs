//! A small deployment: three controllers, a state service, a cloud, machines and their workers.

use crate::cloud::{Cloud, MachineType};
use crate::rig::{Controllers, Log, Nodes, free_addresses, listeners, run_line, up};
use crate::state::{Limits, State};
use crate::worker::{self, Shared};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// What the settings of a small deployment say.
#[derive(Clone, Copy)]
pub struct Site {
    pub zones: [&'static str; 3],
    pub build: &'static str,
    pub cores: f64,
    pub accelerators: f64,
    pub mem_gb: f64,
    pub report_s: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cpu: f64,
    pub max_sockets: usize,
    pub mem_mb: f64,
    /// Name, guaranteed GPUs, GPUs at most.
    pub teams: [(&'static str, f64, f64); 3],
}

/// `ramdial-tours-serving`, with its guest team.
pub const RAMDIAL: Site = Site {
    zones: ["port-of-spain", "san-fernando", "port-of-spain"],
    build: "hummingbird-rig",
    cores: 64.0,
    accelerators: 8.0,
    mem_gb: 256.0,
    report_s: 1.0,
    write_rps: 60.0,
    value_kb: 8.0,
    txn_ops: 16,
    cloud_rps: 4.0,
    list_lag_s: 8.0,
    cpu: 0.096,
    max_sockets: 500,
    mem_mb: 56.0,
    teams: [
        ("booking-desk", 0.0, 0.0),
        ("heritage-guides", 0.0, 0.0),
        ("steelpan-lab", 0.0, 0.0),
    ],
};

/// `ramdial-tours-serving-lean`, with its guest team.
pub const RAMDIAL_LEAN: Site = Site {
    cpu: 0.029,
    mem_mb: 37.0,
    ..RAMDIAL
};

/// `chorografia-hq-fleet`, with its guest team.
pub const CHOROGRAFIA: Site = Site {
    zones: ["attica", "macedonia", "crete"],
    build: "kithara-large",
    cores: 96.0,
    accelerators: 8.0,
    mem_gb: 576.0,
    report_s: 0.8,
    write_rps: 50.0,
    value_kb: 16.0,
    txn_ops: 12,
    cloud_rps: 3.0,
    list_lag_s: 3.0,
    cpu: 0.048,
    max_sockets: 700,
    mem_mb: 56.0,
    teams: [
        ("branch-ops", 32.0, 300.0),
        ("branch-ops-2", 32.0, 300.0),
        ("byzantine-chant-study", 0.0, 0.0),
    ],
};

pub struct Scene {
    pub controllers: Controllers,
    pub nodes: Arc<Nodes>,
    pub state: Arc<State>,
    pub cloud: Arc<Cloud>,
    pub shared: Arc<Shared>,
    pub log: Log,
    folder: PathBuf,
}

fn settings(
    site: &Site,
    index: usize,
    listen: &[String],
    peers: &[String],
    cloud: &str,
    state: &str,
) -> String {
    let siblings: Vec<String> = (0..3)
        .filter(|other| *other != index)
        .map(|other| {
            format!(
                r#"{{"member":"trestlehand-{other}","site":"{}","endpoint":"{}"}}"#,
                site.zones[other], peers[other]
            )
        })
        .collect();
    let team = |(name, gpus, gpus_max): &(&str, f64, f64)| {
        format!(
            r#"{{"name":"{name}","cpus":0.0,"cpus_max":0.0,"gpus":{gpus:?},"gpus_max":{gpus_max:?}}}"#
        )
    };
    let teams: Vec<String> = site.teams.iter().map(team).collect();
    let mut zones = site.zones.to_vec();
    zones.sort_unstable();
    zones.dedup();
    let zones: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\"")).collect();
    format!(
        r#"{{"member":"trestlehand-{index}","site":"{}","listen":"{}","peer_listen":"{}",
"siblings":[{}],"services":{{"cloud":"{cloud}","state":"{state}"}},
"facts":{{"count":3,"zones":[{}],"teams":[{}],"objectives":[],
"workers":{{"report_s":{:?},"lease_s":10.0,"gang_wait_s":45.0,"gang_peer_s":8.0,"cancel_s":35.0}},
"state":{{"rps":150.0,"write_rps":{:?},"value_kb":{:?},"txn_ops":{}}},
"cloud":{{"rps":{:?},"list_lag_s":{:?}}},
"resources":{{"cpu":{:?},"mem_mb":{:?},"max_sockets":{}}},"clock_off_ms":1000.0}}}}"#,
        site.zones[index],
        listen[index],
        peers[index],
        siblings.join(","),
        zones.join(","),
        teams.join(","),
        site.report_s,
        site.write_rps,
        site.value_kb,
        site.txn_ops,
        site.cloud_rps,
        site.list_lag_s,
        site.cpu,
        site.mem_mb,
        site.max_sockets
    )
}

impl Scene {
    /// Starts everything, with `machines` machines that are up already, and waits until the
    /// controllers are healthy.
    pub fn start(
        site: &Site,
        root: &Path,
        record: &Path,
        machines: usize,
        with_detail: bool,
    ) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let log = Log::create(record, with_detail).map_err(text)?;
        let (state_listeners, state_addresses) = listeners(3).map_err(text)?;
        let (cloud_listeners, cloud_addresses) = listeners(3).map_err(text)?;
        let addresses = free_addresses(6).map_err(text)?;
        let as_text = |part: &[std::net::SocketAddr]| {
            part.iter().map(ToString::to_string).collect::<Vec<_>>()
        };
        let (listen, peers) = (as_text(&addresses[..3]), as_text(&addresses[3..]));
        let limits = Limits {
            rps: 150.0,
            write_rps: site.write_rps,
            value_kb: site.value_kb,
            txn_ops: site.txn_ops,
        };
        let state = State::start(limits, state_listeners);
        let build = MachineType {
            name: site.build.into(),
            cores: site.cores,
            accelerators: site.accelerators,
            mem_gb: site.mem_gb,
            ready_s: 60.0,
        };
        let mut quarters: Vec<String> = site.zones.iter().map(ToString::to_string).collect();
        quarters.sort();
        quarters.dedup();
        let shared = Arc::new(Shared::default());
        let cloud = Cloud::start(
            vec![build],
            quarters.clone(),
            site.list_lag_s,
            cloud_listeners,
            shared.clone(),
        );
        for index in 0..machines {
            cloud.add(site.build, &quarters[index % quarters.len()]);
        }
        let settings: Vec<String> = (0..3)
            .map(|index| {
                let (cloud, state) = (&cloud_addresses[index], &state_addresses[index]);
                settings(
                    site,
                    index,
                    &listen,
                    &peers,
                    &cloud.to_string(),
                    &state.to_string(),
                )
            })
            .collect();
        let run = run_line(root).ok_or("deploy/service.toml has no run line")?;
        let program = root.join(run.split_whitespace().next().unwrap_or(""));
        if !program.is_file() {
            return Err(format!("{} is not built", program.display()));
        }
        let run = format!("{}/{run}", root.display());
        let folder = std::env::temp_dir().join(format!("standins-2-{}", std::process::id()));
        let mut controllers = Controllers::new(&run, &folder, &settings).map_err(text)?;
        let nodes = Arc::new(Nodes {
            names: (0..3).map(|index| format!("trestlehand-{index}")).collect(),
            addresses: addresses[..3].to_vec(),
        });
        for index in 0..3 {
            controllers.start(index).map_err(text)?;
        }
        let workers = worker::Settings {
            report_s: site.report_s,
            lease_s: 10.0,
        };
        worker::start_all(
            cloud.clone(),
            nodes.clone(),
            shared.clone(),
            log.clone(),
            workers,
        );
        let scene = Self {
            controllers,
            nodes,
            state,
            cloud,
            shared,
            log,
            folder,
        };
        let end = Instant::now() + Duration::from_secs(15);
        while !scene.nodes.addresses.iter().all(|address| up(*address))
            || scene.state.leader().is_none()
        {
            if Instant::now() > end {
                return Err("the controllers do not become healthy".into());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        scene.log.line("controllers are healthy");
        Ok(scene)
    }

    /// Writes the counts of the run to the record.
    pub fn log_counts(&self) {
        let shared = &self.shared;
        self.log.line(format!(
            "answers to reports by status (0: none): {:?}",
            shared.answers.lock().unwrap()
        ));
        self.log.line(format!(
            "largest report: {} bytes, {} in the JSON form; largest response to a worker in the JSON form: {}",
            shared.largest_report.load(Ordering::Relaxed),
            shared.largest_report_json.load(Ordering::Relaxed),
            shared.largest_response_json.load(Ordering::Relaxed)
        ));
        let (unfinished, exited) = *shared.in_largest.lock().unwrap();
        self.log.line(format!(
            "in the largest report: {unfinished} unfinished and {exited} exited tasks; most unfinished tasks in any report: {}",
            shared.most_unfinished.load(Ordering::Relaxed)
        ));
        self.log.line(format!(
            "sessions that ended with their lease: {}, tasks killed by that: {}",
            shared.lease_ends.load(Ordering::Relaxed),
            shared.lease_kills.load(Ordering::Relaxed)
        ));
        for (machine, tasks) in shared
            .deleted_with
            .lock()
            .unwrap()
            .iter()
            .filter(|(_, tasks)| !tasks.is_empty())
        {
            self.log.line(format!(
                "machine {machine} was deleted with {} tasks on it, {:?} ...",
                tasks.len(),
                &tasks[..tasks.len().min(3)]
            ));
        }
        for line in self.cloud.take_log() {
            self.log.line(format!("cloud: {line}"));
        }
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        for index in 0..3 {
            self.controllers.signal(index, "CONT");
            self.controllers.kill(index);
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
