//! Measures what single events cost the controller's core, for three fleet sizes: the time by
//! criterion, and the number of allocations, which is printed first.
//!
//! `cargo bench` runs all of them in a few minutes. The controller gets the inputs that its event
//! loop would pass to it, but no sockets are used, so that time in the kernel isn't measured.

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

/// The fleet sizes, in machines.
const FLEET_MACHINES: [usize; 3] = [211, 320, 4000];
const TASKS_PER_MACHINE: usize = 4;
const HEARTBEAT_INTERVAL_MS: u64 = 800;
const INCARNATION: u64 = 7;
/// The fencing token of the shard's owner.
const OWNER_TOKEN: FencingToken = FencingToken(4);
const REVISION: u64 = 10;
const OWNER: &str = "n1";

/// The system's allocator, with a count of the allocations.
struct CountingAllocator;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

// SAFETY: all calls are passed to the system's allocator unchanged.
#[expect(
    unsafe_code,
    reason = "counting allocations takes an implementation of the unsafe trait GlobalAlloc"
)]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

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
        platform: Platform::parse(&platform.to_string(), "bench").expect("valid settings"),
        tuning: Tuning::parse(None).expect("valid defaults"),
        cells: None,
    }
}

fn machine_id(n: usize) -> String {
    format!("i-{n:06}")
}

fn job_id(n: usize) -> JobId {
    JobId::parse(&format!("wk-{n:06}")).expect("a job id")
}

fn attempt(n: usize, index: usize) -> Attempt {
    Attempt::new(OWNER_TOKEN, (n * TASKS_PER_MACHINE + index) as u64)
}

fn job_record() -> JobRecord {
    JobRecord {
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Service,
        priority_class: PriorityClass::Urgent,
        count: TASKS_PER_MACHINE as u32,
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

/// The records of a shard and its owner: each machine runs all tasks of one job.
fn records(machines: usize) -> Vec<Change> {
    let leader = LeaderRecord {
        controller_id: OWNER.into(),
        incarnation: INCARNATION,
        token: FencingToken(3),
        lease_id: 1,
        fenced_ms: None,
    };
    let shard = ShardRecord {
        owner: OWNER.into(),
        incarnation: INCARNATION,
        token: OWNER_TOKEN,
        machines: None,
        quota_shares: None,
    };
    let mut records = vec![
        (Key::Leader, 8, Some(Record::Leader(leader))),
        (Key::Shard(0), 8, Some(Record::Shard(shard))),
    ];
    for n in 0..machines {
        let machine = MachineId::from(machine_id(n).as_str());
        let placed = 0..TASKS_PER_MACHINE;
        let placed = placed.map(|i| (i as u32, attempt(n, i), machine.clone(), "a".to_string()));
        let placements = PlacementRecord {
            placed: placed.collect(),
            ..PlacementRecord::default()
        };
        let job = Record::Job(Box::new(job_record()));
        records.push((Key::Job(job_id(n)), 9, Some(job)));
        records.push((
            Key::Placements(job_id(n), 0),
            9,
            Some(Record::Placements(placements)),
        ));
    }
    records
}

/// A heartbeat of the worker on machine `n`: all its tasks run.
fn heartbeat(n: usize, sequence: u64) -> WorkerHeartbeat {
    let tasks = (0..TASKS_PER_MACHINE).map(|index| HeartbeatTask {
        task: format!("{}/{index}", job_id(n)),
        attempt: attempt(n, index),
        status: TaskStatus::Running,
        cause: None,
    });
    WorkerHeartbeat {
        machine: machine_id(n),
        endpoint: "10.1.0.1:9000".into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: 1,
        sequence,
        token: OWNER_TOKEN.0,
        notice_s: None,
        tasks: tasks.collect(),
    }
}

/// The encoded body of the first heartbeat of the worker on machine `n`.
fn heartbeat_body(n: usize) -> Vec<u8> {
    let tasks = (0..TASKS_PER_MACHINE).map(|index| {
        serde_json::json!({"verse": format!("{}/{index}", job_id(n)), "take": attempt(n, index).0,
            "stance": "running"})
    });
    let body = serde_json::json!({"rig": machine_id(n), "endpoint": "10.1.0.1:9000", "build": "g8",
        "quarter": "a", "borrowed": false, "shift": 1, "tally": 1, "baton": OWNER_TOKEN.0,
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

/// A controller with a store that responds at once and whose records never change.
struct BenchController {
    controller: Controller,
    now_ms: u64,
    request_count: u64,
    machines: usize,
}

impl BenchController {
    /// Creates a controller that has read the store and received two heartbeats of each worker.
    fn new(controller_id: &str, machines: usize) -> Self {
        let mut controller = Self {
            controller: Controller::new(settings(controller_id), INCARNATION),
            now_ms: 1000,
            request_count: 0,
            machines,
        };
        controller.handle(Input::Tick);
        controller.receive_heartbeat_of_each_worker();
        controller.receive_heartbeat_of_each_worker();
        controller
    }

    /// Passes an input to the controller, and then the responses to the requests that it sends.
    fn handle(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.controller.step(Time(self.now_ms), input) {
                inputs.extend(self.response(output));
            }
        }
    }

    fn response(&self, output: Output) -> Option<Input> {
        match output {
            Output::Store(call, request) => {
                Some(Input::Store(call, self.store_response(&request)?))
            }
            Output::Cloud(call, CloudRequest::Catalog) => {
                Some(Input::Cloud(call, CloudResponse::Catalog(catalog())))
            }
            _ => None,
        }
    }

    fn store_response(&self, request: &StoreRequest) -> Option<StoreResponse> {
        match request {
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

    /// Passes the controller a heartbeat without changes from the next worker in turn.
    fn receive_unchanged_heartbeat(&mut self) {
        self.request_count += 1;
        let n = self.request_count as usize % self.machines;
        self.now_ms = 1000 + self.request_count * HEARTBEAT_INTERVAL_MS / self.machines as u64;
        let request = Request::Heartbeat(heartbeat(n, self.request_count));
        self.handle(Input::Request(RequestId(self.request_count), request));
    }

    fn receive_heartbeat_of_each_worker(&mut self) {
        for _ in 0..self.machines {
            self.receive_unchanged_heartbeat();
        }
    }
}

/// Prints the average number of allocations per call.
fn print_allocations(name: &str, mut call: impl FnMut()) {
    const CALLS: u64 = 1000;
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    for _ in 0..CALLS {
        call();
    }
    let allocations = ALLOCATIONS.load(Ordering::Relaxed) - before;
    println!(
        "{name}: {:.1} allocations",
        allocations as f64 / CALLS as f64
    );
}

fn bench(criterion: &mut Criterion, name: &str, mut call: impl FnMut()) {
    print_allocations(name, &mut call);
    criterion.bench_function(name, |bencher| bencher.iter(&mut call));
}

fn bench_encodings(criterion: &mut Criterion) {
    let body = heartbeat_body(1);
    bench(criterion, "decode a worker's heartbeat", || {
        black_box(wire::decode::<WorkerHeartbeat>(&body));
    });
    let heartbeat = heartbeat(1, 1);
    let forwarded_frame = || {
        let forwarded =
            ForwardedHeartbeat::new(&OWNER.into(), INCARNATION, RequestId(1), &heartbeat);
        peer::frame(&Message::ForwardedHeartbeat(Box::new(forwarded)))
            .expect("a message within the size limit")
    };
    bench(criterion, "frame a heartbeat for the owner", || {
        black_box(forwarded_frame());
    });
    let frame = forwarded_frame();
    bench(criterion, "decode a forwarded heartbeat", || {
        let mut buffer = frame.clone();
        black_box(peer::unframe(&mut buffer)).expect("a frame");
    });
    bench(criterion, "encode a response without commands", || {
        black_box(wire::commands_body(OWNER_TOKEN, &[]));
    });
}

fn bench_events(criterion: &mut Criterion) {
    for machines in FLEET_MACHINES {
        let mut owner = BenchController::new(OWNER, machines);
        assert_eq!(
            owner.controller.highest_shard_token(),
            Some(OWNER_TOKEN),
            "the controller owns the shard"
        );
        // The next benchmark builds a heartbeat as its input; this one shows that part of its cost.
        bench(
            criterion,
            &format!("build a heartbeat, {machines} machines"),
            || {
                black_box(heartbeat(1, 1));
            },
        );
        let name = format!("unchanged heartbeat at the owner, {machines} machines");
        bench(criterion, &name, || owner.receive_unchanged_heartbeat());
        let name = format!("idle step at the owner, {machines} machines");
        bench(criterion, &name, || owner.handle(Input::Tick));
        let name = format!("start of a controller with these records, {machines} machines");
        criterion.bench_function(&name, |bencher| {
            bencher.iter(|| {
                let mut starting = BenchController {
                    controller: Controller::new(settings("n2"), INCARNATION),
                    now_ms: 1000,
                    request_count: 0,
                    machines,
                };
                starting.handle(Input::Tick);
            });
        });
    }
}

criterion_group!(benches, bench_encodings, bench_events);
criterion_main!(benches);
