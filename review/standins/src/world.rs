//! A small deployment on loopback addresses: controllers as processes of their own, started by the
//! commands of the deploy file, and the stand-ins around them.

use crate::cbor::V;
use crate::cloud::{Build, Cloud};
use crate::http::Client;
use crate::map;
use crate::record::Record;
use crate::state::{Limits, State};
use crate::worker::{Counts, JobSpec, Site};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Setup {
    pub zones: Vec<&'static str>,
    pub nodes: usize,
    /// Name, CPUs guaranteed and at most, GPUs guaranteed and at most.
    pub teams: Vec<(&'static str, [f64; 4])>,
    pub state: Limits,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub cpu: f64,
    pub mem_mb: f64,
    pub max_sockets: u64,
    pub builds: Vec<Build>,
}

/// The operators' smaller deployment, with machines that come up at once.
pub fn small_deployment() -> Setup {
    Setup {
        zones: vec!["port-of-spain", "san-fernando"],
        nodes: 3,
        teams: vec![("booking-desk", [0.0; 4]), ("steelpan-lab", [0.0; 4])],
        state: Limits {
            rps: 150.0,
            write_rps: 60.0,
            value_kb: 8.0,
            txn_ops: 16,
        },
        cloud_rps: 4.0,
        list_lag_s: 8.0,
        report_s: 1.0,
        lease_s: 10.0,
        cancel_s: 35.0,
        cpu: 1.0,
        mem_mb: 56.0,
        max_sockets: 500,
        builds: vec![Build {
            name: "hummingbird-rig",
            cores: 64.0,
            accelerators: 8.0,
            mem_gb: 256.0,
            boot_s: 2.0,
            ready_s: 2.0,
            quarters: vec!["port-of-spain", "san-fernando"],
            capacity: 24,
        }],
    }
}

/// The service of another team whose replicas the cases watch.
pub const SERVICE: &str = "wk-000001";

pub struct World {
    pub record: Record,
    pub state: Arc<State>,
    pub cloud: Arc<Cloud>,
    pub site: Arc<Site>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

pub struct Node {
    pub name: String,
    pub listen: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The repository's root, from the folder of the case.
fn root() -> PathBuf {
    let here = std::env::var("REVIEW_ROOT").expect("REVIEW_ROOT is set by run.sh");
    PathBuf::from(here)
}

/// The `run` line of the deploy file, as a program and its arguments.
fn run_line() -> Vec<String> {
    let text =
        std::fs::read_to_string(root().join("deploy/service.toml")).expect("the deploy file");
    let line = text
        .lines()
        .find(|l| l.starts_with("run"))
        .expect("a run line");
    let command = line.split('"').nth(1).expect("a command");
    command.split_whitespace().map(String::from).collect()
}

/// A free port for a controller. It lies below the ports that the system gives to outgoing
/// connections, so that none of these takes it before the controller listens.
fn free_address() -> SocketAddr {
    use std::hash::{BuildHasher, Hasher};
    for _ in 0..100 {
        let random = std::hash::RandomState::new().build_hasher().finish();
        let address = SocketAddr::from(([127, 0, 0, 1], 11_000 + (random % 20_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port");
}

impl World {
    pub fn start(setup: Setup, record: Record, folder: &Path) -> World {
        let listen: Vec<SocketAddr> = (0..setup.nodes).map(|_| free_address()).collect();
        let peers: Vec<SocketAddr> = (0..setup.nodes).map(|_| free_address()).collect();
        let names: Vec<String> = (0..setup.nodes)
            .map(|i| format!("trestlehand-{i}"))
            .collect();
        let site = Arc::new(Site {
            record: record.clone(),
            nodes: names.iter().cloned().zip(listen.iter().copied()).collect(),
            jobs: Mutex::new(BTreeMap::new()),
            done: Mutex::new(BTreeSet::new()),
            on: Mutex::new(BTreeMap::new()),
            counts: Mutex::new(Counts::default()),
            cut_from_workers: Mutex::new(vec![false; setup.nodes]),
            cut_hangs_s: if std::env::var("CUT").is_ok_and(|mode| mode == "reset") {
                0.0
            } else {
                4.0
            },
            report_s: setup.report_s,
            lease_s: setup.lease_s,
        });
        let (state, state_at) = State::start(setup.state);
        let (cloud, cloud_at) = Cloud::start(setup.builds.clone(), site.clone(), setup.list_lag_s);
        let mut nodes = Vec::new();
        for i in 0..setup.nodes {
            let settings = folder.join(format!("{}.json", names[i]));
            let text = settings_json(&setup, i, &names, &listen, &peers, state_at, cloud_at);
            std::fs::write(&settings, text).expect("settings");
            nodes.push(Node {
                name: names[i].clone(),
                listen: listen[i],
                settings,
                log: folder.join(format!("{}.log", names[i])),
                child: None,
            });
        }
        let mut world = World {
            record,
            state,
            cloud,
            site,
            nodes,
            folder: folder.into(),
        };
        for i in 0..setup.nodes {
            world.start_node(i);
        }
        world
    }

    pub fn start_node(&mut self, i: usize) {
        let command = run_line();
        let node = &mut self.nodes[i];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&node.log)
            .expect("a log");
        let child = Command::new(root().join(&command[0]))
            .args(&command[1..])
            .arg(&node.settings)
            .current_dir(root())
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let Ok(child) = child else {
            panic!("the controller program can't be started");
        };
        self.record.line(&format!(
            "controller started name={} pid={}",
            node.name,
            child.id()
        ));
        node.child = Some(child);
    }

    pub fn kill_node(&mut self, i: usize) {
        if let Some(mut child) = self.nodes[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(&format!("controller killed name={}", self.nodes[i].name));
        }
    }

    /// The status of GET /up; 0 without an answer within a second.
    pub fn up(&self, i: usize) -> u16 {
        let mut client = Client::new(self.nodes[i].listen);
        client.call("GET", "/up", &[], 1.0).map_or(0, |a| a.status)
    }

    /// Waits until a controller leads and all are healthy. The case can't run otherwise.
    ///
    /// # Panics
    ///
    /// After `limit_s` seconds. The run then ends as one that can't be made.
    pub fn wait_until_up(&self, limit_s: f64) {
        let end = Instant::now() + Duration::from_secs_f64(limit_s);
        while Instant::now() < end {
            let healthy = (0..self.nodes.len()).all(|i| self.up(i) == 200);
            if healthy && self.state.leader().is_some() {
                self.record.line("all controllers are healthy");
                return;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        panic!("the controllers didn't become healthy");
    }

    pub fn leader_index(&self) -> Option<usize> {
        let leader = self.state.leader()?;
        self.nodes.iter().position(|n| n.name == leader)
    }

    /// Submits a job as a user does: with retries for up to a minute, at one controller after the
    /// other. Returns the status of the acceptance or the last one.
    pub fn submit(&self, id: &str, body: V, spec: JobSpec) -> u16 {
        self.submit_at(0, id, body, spec)
    }

    /// Submits a job as [`World::submit`] does, at this controller first.
    pub fn submit_at(&self, node: usize, id: &str, body: V, spec: JobSpec) -> u16 {
        self.site.jobs.lock().unwrap().insert(id.into(), spec);
        let end = Instant::now() + Duration::from_secs(60);
        let (bytes, mut node, mut status) = (body.encode(), node, 0);
        while Instant::now() < end {
            let mut client = Client::new(self.nodes[node].listen);
            let answer = client.call("POST", "/work", &bytes, 5.0);
            status = answer.as_ref().map_or(0, |a| a.status);
            let shown = answer.as_ref().and_then(|a| V::decode(&a.body));
            self.record.line(&format!(
                "submitted job={id} at={} status={status} body={shown:?}",
                self.nodes[node].name
            ));
            if matches!(status, 200 | 201 | 400 | 422) {
                return status;
            }
            let pause = answer.and_then(|a| a.retry_after).unwrap_or(1).clamp(1, 30);
            std::thread::sleep(Duration::from_secs(pause));
            node = (node + 1) % self.nodes.len();
        }
        status
    }

    /// Submits [`SERVICE`], a critical service of the operators' sizes, and waits until its replicas
    /// run. Returns whether they do.
    pub fn start_service(&self, replicas: u64) -> bool {
        let spec = JobSpec {
            cores: 11.0,
            accelerators: 2.0,
            mem_gb: 35.0,
            verses: replicas,
            image: "dockside".into(),
            size_gb: 2.0,
            run_s: None,
        };
        let job = JobBody {
            id: SERVICE,
            class: "dockside-linguist",
            team: "booking-desk",
            form: "service",
            rank: "critical",
        };
        if self.submit(SERVICE, job_body(&job, &spec), spec) != 201 {
            return false;
        }
        while self.started(SERVICE) < replicas {
            if self.record.elapsed_s() > 40.0 {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record.line("the replicas of the service run");
        true
    }

    /// How many tasks of a job have begun to run, each attempt counted.
    pub fn started(&self, job: &str) -> u64 {
        let counts = self.site.counts.lock().unwrap();
        counts.started.get(job).copied().unwrap_or(0)
    }

    /// Running tasks of a job that went with their machine or with its worker's lease.
    pub fn lost(&self, job: &str) -> u64 {
        let counts = self.site.counts.lock().unwrap();
        counts.killed_by_lease.get(job).copied().unwrap_or(0)
            + counts.killed_by_deletion.get(job).copied().unwrap_or(0)
    }

    /// Asks for a job's state. Status 0: no answer within 2 s.
    pub fn poll(&self, id: &str, node: usize) -> (u16, Option<V>) {
        let mut client = Client::new(self.nodes[node].listen);
        let answer = client.call("GET", &format!("/work/{id}"), &[], 2.0);
        match answer {
            Some(a) => (a.status, V::decode(&a.body)),
            None => (0, None),
        }
    }

    /// Ends all processes and removes the temporary folder; the logs stay if asked for.
    pub fn finish(&mut self) {
        for i in 0..self.nodes.len() {
            self.kill_node(i);
        }
        if let Ok(keep) = std::env::var("KEEP_LOGS") {
            let _ = std::fs::create_dir_all(&keep);
            for node in &self.nodes {
                let name = format!("{}.log", node.name);
                let _ = std::fs::copy(&node.log, Path::new(&keep).join(name));
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.finish();
    }
}

pub struct JobBody<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub team: &'a str,
    pub form: &'a str,
    pub rank: &'a str,
}

/// The body of a submission, of the amounts in `spec`.
pub fn job_body(job: &JobBody, spec: &JobSpec) -> V {
    map! {
        "id" => job.id, "troupe" => job.class, "crew" => job.team, "form" => job.form,
        "rank" => job.rank, "verses" => spec.verses, "cores" => spec.cores,
        "accelerators" => spec.accelerators, "memGb" => spec.mem_gb, "score" => spec.image.clone(),
        "sizeGb" => spec.size_gb, "builds" => V::Null, "quarter" => V::Null, "samePlace" => false,
        "scatter" => false, "borrowed" => false, "reckonS" => spec.run_s.unwrap_or(0.0), "bookmarkS" => 0.0,
        "stashS" => 0.0, "curtainS" => V::Null
    }
}

fn settings_json(
    setup: &Setup,
    i: usize,
    names: &[String],
    listen: &[SocketAddr],
    peers: &[SocketAddr],
    state: SocketAddr,
    cloud: SocketAddr,
) -> String {
    let zone = |n: usize| setup.zones[n % setup.zones.len()];
    let siblings: Vec<String> = (0..setup.nodes)
        .filter(|n| *n != i)
        .map(|n| {
            format!(
                r#"{{"member":"{}","site":"{}","endpoint":"{}"}}"#,
                names[n],
                zone(n),
                peers[n]
            )
        })
        .collect();
    let teams: Vec<String> = setup
        .teams
        .iter()
        .map(|(name, a)| {
            format!(
                r#"{{"name":"{name}","cpus":{:?},"cpus_max":{:?},"gpus":{:?},"gpus_max":{:?}}}"#,
                a[0], a[1], a[2], a[3]
            )
        })
        .collect();
    let zones: Vec<String> = setup.zones.iter().map(|z| format!("\"{z}\"")).collect();
    format!(
        r#"{{"member":"{}","site":"{}","listen":"{}","peer_listen":"{}","siblings":[{}],
"services":{{"cloud":"{cloud}","state":"{state}"}},
"facts":{{"count":{},"zones":[{}],"teams":[{}],"objectives":[],
"workers":{{"report_s":{:?},"lease_s":{:?},"gang_wait_s":45.0,"gang_peer_s":8.0,"cancel_s":{:?}}},
"state":{{"rps":{:?},"write_rps":{:?},"value_kb":{:?},"txn_ops":{}}},
"cloud":{{"rps":{:?},"list_lag_s":{:?}}},
"resources":{{"cpu":{:?},"mem_mb":{:?},"max_sockets":{}}},"clock_off_ms":1000.0}}}}"#,
        names[i],
        zone(i),
        listen[i],
        peers[i],
        siblings.join(","),
        setup.nodes,
        zones.join(","),
        teams.join(","),
        setup.report_s,
        setup.lease_s,
        setup.cancel_s,
        setup.state.rps,
        setup.state.write_rps,
        setup.state.value_kb,
        setup.state.txn_ops,
        setup.cloud_rps,
        setup.list_lag_s,
        setup.cpu,
        setup.mem_mb,
        setup.max_sockets
    )
}
