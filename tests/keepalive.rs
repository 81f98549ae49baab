//! A controller's responses to a worker of its zone while it keeps the worker's lease alive in
//! place of a shard owner that can't be reached.

use salttrestle::controller::Controller;
use salttrestle::controller::events::{Input, Output, Request};
use salttrestle::controller::store::records::{Ending, Key, LeaderRecord, Record, ShardRecord};
use salttrestle::ids::{Attempt, CallId, FencingToken, JobId, RequestId, Time};
use salttrestle::settings::{Platform, Settings, Tuning};
use salttrestle::wire::{
    Change, HeartbeatTask, StoreRequest, StoreResponse, TaskStatus, WorkerHeartbeat,
};

const REVISION: u64 = 10;

const PLATFORM: &str = r#"{"member":"n0","site":"a","listen":"127.0.0.1:1","peer_listen":"127.0.0.1:2",
    "siblings":[{"member":"n1","site":"b","endpoint":"127.0.0.1:3"}],
    "services":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
    "facts":{"count":2,"zones":["a","b"],"teams":[],
    "workers":{"report_s":1,"lease_s":10,"cancel_s":35},
    "state":{"rps":150,"write_rps":60,"value_kb":8,"txn_ops":16},
    "cloud":{"rps":4,"list_lag_s":8},"resources":{"cpu":1,"mem_mb":56,"max_sockets":64}}}"#;

fn records() -> Vec<Change> {
    let leader = LeaderRecord {
        controller_id: "n1".into(),
        incarnation: 7,
        token: FencingToken(3),
        lease_id: 1,
        fenced_ms: None,
    };
    let shard = ShardRecord {
        owner: "n1".into(),
        incarnation: 7,
        token: FencingToken(4),
        machines: None,
        quota_shares: None,
    };
    vec![
        (Key::Leader, 8, Some(Record::Leader(leader))),
        (Key::Shard(0), 8, Some(Record::Shard(shard))),
    ]
}

/// The store's response; `None` for a request that gets no response.
fn store_response(request: &StoreRequest, changes: &[Change]) -> Option<StoreResponse> {
    match request {
        StoreRequest::List { .. } => Some(StoreResponse::Page {
            entries: records(),
            last: None,
            has_next: false,
            revision: REVISION,
        }),
        StoreRequest::ReadRevision => Some(StoreResponse::Missing { revision: REVISION }),
        StoreRequest::Watch { after: REVISION } if !changes.is_empty() => {
            Some(StoreResponse::Changes {
                revision: REVISION + 1,
                changes: changes.to_vec(),
            })
        }
        _ => None,
    }
}

/// Creates a controller in zone a that has read the records of the leader and the shard's owner,
/// and then `changes`.
fn controller(now: &mut u64, changes: &[Change]) -> Controller {
    let settings = Settings {
        platform: Platform::parse(PLATFORM, "test").expect("valid settings"),
        tuning: Tuning::parse(None).expect("valid defaults"),
        cells: None,
    };
    let mut controller = Controller::new(settings, 1);
    let mut responses: Vec<(CallId, StoreResponse)> = Vec::new();
    for _ in 0..12 {
        *now += 50;
        let mut outputs = controller.step(Time(*now), Input::Tick);
        for (call, response) in std::mem::take(&mut responses) {
            outputs.extend(controller.step(Time(*now), Input::Store(call, response)));
        }
        for output in outputs {
            if let Output::Store(call, request) = output
                && let Some(response) = store_response(&request, changes)
            {
                responses.push((call, response));
            }
        }
    }
    controller
}

/// A heartbeat of a worker that runs a task which the shard's owner has started.
fn heartbeat() -> WorkerHeartbeat {
    WorkerHeartbeat {
        machine: "i-1".into(),
        endpoint: "127.0.0.1:9".into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: 1,
        sequence: 5,
        token: 4,
        notice_s: None,
        tasks: vec![HeartbeatTask {
            task: "wk-7/0".into(),
            attempt: Attempt::new(FencingToken(4), 1),
            status: TaskStatus::Running,
            cause: None,
        }],
    }
}

/// The body of the controller's response to the worker's heartbeat.
fn keepalive_body(changes: &[Change]) -> String {
    let mut now = 10_000_000;
    let mut controller = controller(&mut now, changes);
    let input = Input::Request(RequestId(1), Request::Heartbeat(heartbeat()));
    let outputs = controller.step(Time(now), input);
    let body = outputs.iter().find_map(|output| match output {
        Output::Answer(RequestId(1), reply) if reply.status == 200 => Some(reply.body.clone()),
        _ => None,
    });
    String::from_utf8_lossy(&body.expect("a keepalive")).into_owned()
}

/// Guards against treating a job that the watch hasn't delivered yet as ended. A controller that
/// did so stopped the tasks that the owner had started last, and the next owner started them again.
#[test]
fn keepalive_stops_no_task_of_an_unknown_job() {
    let body = keepalive_body(&[]);
    assert!(!body.contains("halt"), "{body}");
}

#[test]
fn keepalive_stops_the_task_of_a_cancelled_job() {
    let end = Key::End(JobId::from("wk-7"));
    let body = keepalive_body(&[(end, REVISION + 1, Some(Record::End(Ending::Cancelled)))]);
    assert!(body.contains("halt"), "{body}");
}
