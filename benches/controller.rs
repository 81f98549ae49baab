//! What single events cost a controller's core, at three sizes of a fleet: time by criterion, and
//! allocations, which are printed first.
//!
//! `cargo bench` plays all of it in some minutes. The controller is driven as the loop around it does,
//! without sockets, so that the kernel's part is left out.

use criterion::{Criterion, criterion_group, criterion_main};
use salttrestle::controller::Controller;
use salttrestle::controller::events::{Input, Output, Request};
use salttrestle::controller::store::records::{
    JobKind, JobRecord, Key, LeaderRecord, PlacementRecord, PriorityClass, Record, Resources,
    ShardRecord,
};
use salttrestle::ids::{Attempt, FencingToken, JobId, MachineId, RequestId, Time};
use salttrestle::peer::{self, ForwardedHeartbeat, Message};
use salttrestle::settings::{Platform, Settings, Tuning};
use salttrestle::wire::{
    self, Change, CloudRequest, CloudResponse, HeartbeatTask, MachineType, StoreRequest,
    StoreResponse, TaskStatus, WorkerHeartbeat,
};
use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::atomic::{AtomicU64, Ordering};

/// Sizes of the fleet, in machines.
const FLEETS: [usize; 3] = [211, 320, 4000];
const TASKS_A_MACHINE: usize = 4;
const REPORT_MS: u64 = 800;
const BOOT: u64 = 7;
const NUMBER: FencingToken = FencingToken(4);
const REVISION: u64 = 10;
const HOLDER: &str = "n1";

/// Counts allocations.
struct Counting;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

// SAFETY: everything is left to the system's allocator.
#[expect(
    unsafe_code,
    reason = "an allocator that counts is unsafe by its trait"
)]
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller keeps to the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        // SAFETY: the caller keeps to the contract of `dealloc`.
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn settings(controller_id: &str) -> Settings {
    let peers: Vec<_> = (0..5)
        .map(|n| (n, format!("n{n}")))
        .filter(|(_, name)| name != controller_id)
        .map(|(n, name)| {
            serde_json::json!({"member": name, "site": "a", "endpoint": format!("127.0.0.1:{}", n + 10)})
        })
        .collect();
    let platform = serde_json::json!({"member": controller_id, "site": "a", "listen": "127.0.0.1:1",
        "peer_listen": "127.0.0.1:2", "siblings": peers,
        "services": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
        "facts": {"count": 5, "zones": ["a"], "teams": [{"name": "t"}],
            "workers": {"report_s": 0.8, "lease_s": 10, "cancel_s": 35},
            "state": {"rps": 150, "write_rps": 50, "value_kb": 16, "txn_ops": 12},
            "cloud": {"rps": 3, "list_lag_s": 3},
            "resources": {"cpu": 0.024, "mem_mb": 37, "max_sockets": 8000}}});
    Settings {
        platform: Platform::parse(&platform.to_string(), "bench").expect("good settings"),
        tuning: Tuning::parse(None).expect("good tuning"),
        cells: None,
    }
}

fn machine(n: usize) -> String {
    format!("i-{n:06}")
}

fn job(n: usize) -> JobId {
    JobId::parse(&format!("wk-{n:06}")).expect("a job id")
}

fn attempt(n: usize, index: usize) -> Attempt {
    Attempt::new(NUMBER, (n * TASKS_A_MACHINE + index) as u64)
}

fn job_record() -> JobRecord {
    JobRecord {
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Service,
        priority_class: PriorityClass::Urgent,
        count: TASKS_A_MACHINE as u32,
        resources: Resources {
            cpus: 8.0,
            gpus: 1.0,
            mem: 40.0,
        },
        image: "img-1".into(),
        image_gb: 16.0,
        types: None,
        zone: None,
        zone_affinity: false,
        zone_spread: false,
        spot: false,
        estimate_s: 0.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        chunk_size: 50,
        shard: 0,
        cancelled: false,
        dependencies: Vec::new(),
    }
}

/// An owner's records: each machine runs one job's tasks.
fn records(machines: usize) -> Vec<Change> {
    let leader = LeaderRecord {
        controller_id: HOLDER.into(),
        incarnation: BOOT,
        token: FencingToken(3),
        lease_id: 1,
        fenced_ms: None,
    };
    let shard = ShardRecord {
        owner: HOLDER.into(),
        incarnation: BOOT,
        token: NUMBER,
        machines: None,
        quota_shares: None,
    };
    let mut all = vec![
        (Key::Leader, 8, Some(Record::Leader(leader))),
        (Key::Shard(0), 8, Some(Record::Shard(shard))),
    ];
    for n in 0..machines {
        let on = MachineId::from(machine(n).as_str());
        let placed = 0..TASKS_A_MACHINE;
        let placed = placed.map(|i| (i as u32, attempt(n, i), on.clone(), "a".to_string()));
        let run = PlacementRecord {
            placed: placed.collect(),
            ..PlacementRecord::default()
        };
        let record = Record::Job(Box::new(job_record()));
        all.push((Key::Job(job(n)), 9, Some(record)));
        all.push((Key::Placements(job(n), 0), 9, Some(Record::Placements(run))));
    }
    all
}

fn report(n: usize, sequence: u64) -> WorkerHeartbeat {
    let tasks = (0..TASKS_A_MACHINE).map(|index| HeartbeatTask {
        task: format!("{}/{index}", job(n)),
        attempt: attempt(n, index),
        status: TaskStatus::Running,
        cause: None,
    });
    WorkerHeartbeat {
        machine: machine(n),
        endpoint: "10.1.0.1:9000".into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: 1,
        sequence,
        token: NUMBER.0,
        notice_s: None,
        tasks: tasks.collect(),
    }
}

/// The same heartbeat as a worker sends it.
fn report_body(n: usize) -> Vec<u8> {
    let tasks = (0..TASKS_A_MACHINE).map(|index| {
        serde_json::json!({"verse": format!("{}/{index}", job(n)), "take": attempt(n, index).0,
            "stance": "running"})
    });
    let body = serde_json::json!({"rig": machine(n), "endpoint": "10.1.0.1:9000", "build": "g8",
        "quarter": "a", "borrowed": false, "shift": 1, "tally": 1, "baton": NUMBER.0,
        "warningS": null, "verses": tasks.collect::<Vec<_>>()});
    wire::encode(&body)
}

fn catalog() -> Vec<MachineType> {
    vec![MachineType {
        name: "g8".into(),
        resources: Resources {
            cpus: 96.0,
            gpus: 8.0,
            mem: 576.0,
        },
        cache_gb: 400.0,
        fetch_gb_s: 4.6,
        price: 30.0,
        spot_price: 10.0,
        ready_s: 60.0,
        zones: vec!["a".into()],
    }]
}

/// A controller whose store answers at once and has no news of its own.
struct Driven {
    controller: Controller,
    now: u64,
    requests: u64,
    machines: usize,
}

impl Driven {
    fn new(controller_id: &str, machines: usize) -> Self {
        let mut driven = Self {
            controller: Controller::new(settings(controller_id), BOOT),
            now: 1000,
            requests: 0,
            machines,
        };
        driven.feed(Input::Tick);
        driven.report_round();
        driven.report_round();
        driven
    }

    fn feed(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.controller.step(Time(self.now), input) {
                inputs.extend(self.reply(output));
            }
        }
    }

    fn reply(&self, output: Output) -> Option<Input> {
        match output {
            Output::Store(call, op) => Some(Input::Store(call, self.state_reply(&op)?)),
            Output::Cloud(call, CloudRequest::Catalog) => {
                Some(Input::Cloud(call, CloudResponse::Catalog(catalog())))
            }
            _ => None,
        }
    }

    fn state_reply(&self, op: &StoreRequest) -> Option<StoreResponse> {
        match op {
            StoreRequest::List { .. } => Some(StoreResponse::Page {
                entries: records(self.machines),
                last: None,
                has_next: false,
                revision: REVISION,
            }),
            StoreRequest::ReadRevision => Some(StoreResponse::Missing { revision: REVISION }),
            StoreRequest::RenewLease(_) => Some(StoreResponse::LeaseRenewed),
            _ => None,
        }
    }

    /// The next machine in turn sends a heartbeat that tells nothing new.
    fn quiet_report(&mut self) {
        self.requests += 1;
        let n = self.requests as usize % self.machines;
        self.now = 1000 + self.requests * REPORT_MS / self.machines as u64;
        let request = Request::Heartbeat(report(n, self.requests));
        self.feed(Input::Request(RequestId(self.requests), request));
    }

    fn report_round(&mut self) {
        for _ in 0..self.machines {
            self.quiet_report();
        }
    }
}

/// Prints how many allocations one call makes, on average.
fn allocations(name: &str, mut call: impl FnMut()) {
    const CALLS: u64 = 1000;
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    for _ in 0..CALLS {
        call();
    }
    let made = ALLOCATIONS.load(Ordering::Relaxed) - before;
    println!("{name}: {:.1} allocations", made as f64 / CALLS as f64);
}

fn bench(c: &mut Criterion, name: &str, mut call: impl FnMut()) {
    allocations(name, &mut call);
    c.bench_function(name, |b| b.iter(&mut call));
}

fn encodings(c: &mut Criterion) {
    let body = report_body(1);
    bench(c, "decode a worker's report", || {
        black_box(wire::decode::<WorkerHeartbeat>(&body));
    });
    let report = report(1, 1);
    let relayed = || {
        let relayed = ForwardedHeartbeat::new(&HOLDER.into(), BOOT, RequestId(1), &report);
        peer::frame(&Message::ForwardedHeartbeat(Box::new(relayed))).expect("short enough")
    };
    bench(c, "frame a report for the holder", || {
        black_box(relayed());
    });
    let frame = relayed();
    bench(c, "read a report that was handed on", || {
        let mut buffer = frame.clone();
        black_box(peer::unframe(&mut buffer)).expect("a frame");
    });
    bench(c, "encode an answer without commands", || {
        black_box(wire::commands_body(NUMBER, &[]));
    });
}

fn events(c: &mut Criterion) {
    for machines in FLEETS {
        let mut owner = Driven::new(HOLDER, machines);
        assert_eq!(
            owner.controller.highest_shard_token(),
            Some(NUMBER),
            "it holds the block"
        );
        bench(c, &format!("make a report, {machines} machines"), || {
            black_box(report(1, 1));
        });
        let name = format!("quiet report at the holder, {machines} machines");
        bench(c, &name, || owner.quiet_report());
        let name = format!("step with nothing to do at the holder, {machines} machines");
        bench(c, &name, || owner.feed(Input::Tick));
        let name = format!("start of a controller with these records, {machines} machines");
        c.bench_function(&name, |b| {
            b.iter(|| {
                let mut other = Driven {
                    controller: Controller::new(settings("n2"), BOOT),
                    now: 1000,
                    requests: 0,
                    machines,
                };
                other.feed(Input::Tick);
            });
        });
    }
}

criterion_group!(benches, encodings, events);
criterion_main!(benches);
