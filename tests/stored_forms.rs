//! The encodings of stored records and of messages between controllers, compared with the bytes
//! that running controllers write and send. A change of names or of field order that alters a
//! record's bytes must come with code that still reads the old bytes. One that alters a message's
//! bytes must come with a new version of the messages.
//!
//! The bytes are those of commit 2175c80, which ran in production before the upgrade to pipelines.
//! Newer than that are [`PLACEMENTS_PART`], [`STATUS_AGE`] and the encodings for the standby
//! ([`FENCED_LEADER`], [`FENCED_TOKEN`], [`STANDBY_HEARTBEAT`], [`STANDBY_HINTS`]).

use ciborium::cbor;
use salttrestle::controller::store::chunks::{ChunkLayout, effective_placements};
use salttrestle::controller::store::records::*;
use salttrestle::ids::{Attempt, ControllerId, FencingToken, Image, MachineId, RequestId};
use salttrestle::peer::{
    self, ForwardedHeartbeat, ForwardedResponse, Message, PeerHeartbeat, PoolCount, ShardCounts,
    TeamCount,
};
use salttrestle::wire::{self, Cause, HeartbeatTask, Num, TaskStatus, WorkerHeartbeat};
use salttrestle_standby::fence::Fence;
use salttrestle_standby::hints::{Estimates, Hints, ImageHint, MachineHint};
use salttrestle_standby::message::{Heartbeat, StandbyMessage};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16);
    digits.map(|pair| byte(pair).expect("hex")).collect()
}

/// Checks that a record is encoded as these bytes, given in hexadecimal, and decoded from them.
fn check_record<T: Serialize + DeserializeOwned + Debug + PartialEq>(record: &T, bytes: &str) {
    assert_eq!(to_hex(&wire::encode(record)), bytes, "{record:?}");
    let decoded: T = wire::decode(&from_hex(bytes)).expect("a record");
    assert_eq!(&decoded, record);
}

fn machine() -> MachineId {
    MachineId::from("i-000231")
}

fn controller_id() -> ControllerId {
    ControllerId::from("trestlehand-0")
}

fn job_record() -> JobRecord {
    JobRecord {
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Batch,
        priority_class: PriorityClass::Urgent,
        count: 16,
        resources: Resources {
            cpus: 8.0,
            gpus: 1.0,
            mem: 64.0,
        },
        image: Image::from("img-07"),
        image_gb: 6.2,
        types: Some(vec!["g8".into()]),
        zone: None,
        zone_affinity: true,
        zone_spread: false,
        spot: true,
        estimate_s: 240.0,
        checkpoint_s: 30.0,
        save_s: 4.0,
        deadline_s: Some(900.0),
        chunk_size: 68,
        shard: 0,
        cancelled: false,
        dependencies: Vec::new(),
    }
}

#[test]
fn encodings_of_control_records() {
    let leader = LeaderRecord {
        controller_id: controller_id(),
        incarnation: 7,
        token: FencingToken(41),
        lease_id: 12,
        fenced_ms: None,
    };
    check_record(&leader, LEADER);
    let fenced = LeaderRecord {
        fenced_ms: Some(3000),
        ..leader
    };
    check_record(&fenced, FENCED_LEADER);
    let token = FencingTokenRecord {
        highest: FencingToken(42),
        fence: None,
    };
    check_record(&token, TOKEN);
    let fenced = FencingTokenRecord {
        fence: Some(Fence {
            token: 41,
            ms: 3000,
        }),
        ..token
    };
    check_record(&fenced, FENCED_TOKEN);
    let shard = ShardRecord {
        owner: controller_id(),
        incarnation: 7,
        token: FencingToken(41),
        machines: Some(vec![(machine(), "g8".into(), "a".into(), true)]),
        quota_shares: Some([("vision".into(), (8.0, 1.0))].into()),
    };
    check_record(&shard, SHARD);
    let plan = ScalingPlanRecord {
        token: FencingToken(41),
        wanted: vec![("g8".into(), false, 3)],
        scale_out_requests: vec![ScaleOutRecord {
            name: "r-41-1".into(),
            class: "g8".into(),
            zone: "a".into(),
            spot: false,
            count: 3,
        }],
        shares: vec![(0, 1)],
        exhausted_pools: vec![("g8".into(), "b".into(), true)],
        scale_in: vec![machine()],
    };
    check_record(&plan, SCALING_PLAN);
    let status_age = StatusAgeRecord {
        age_max_ms: 100,
        honored_ms: 400,
    };
    check_record(&status_age, STATUS_AGE);
    let key = Key::StatusAge(controller_id());
    assert_eq!(key.to_string(), "s/own/status-age/trestlehand-0");
    assert_eq!(Key::parse(&key.to_string()), Some(key));
}

#[test]
fn encodings_of_job_records() {
    check_record(&job_record(), JOB);
    check_record(&Ending::Done, DONE);
    check_record(&Ending::Cancelled, CANCELLED);
    let mut placements = PlacementRecord {
        done: vec![(0, 3)],
        placed: vec![(4, Attempt(99), machine(), "a".into())],
        ..PlacementRecord::default()
    };
    // Without failures the bytes are the same as before failures were recorded.
    check_record(&placements, PLACEMENTS);
    placements.failed_tries = 2;
    placements.failed_on = vec![machine()];
    check_record(&placements, FAILED_PLACEMENTS);
    placements.part_size = Some(17);
    check_record(&placements, PLACEMENTS_PART);
}

/// A chunk that was written under a larger limit on the size of values is split into parts once it
/// has to be written again. The records of parts take precedence over the record of their chunk.
#[test]
fn parts_take_precedence_over_their_chunk() {
    let record = JobRecord {
        count: 70,
        ..job_record()
    };
    let placed = |indexes: std::ops::Range<u32>, attempt| {
        let task = |index| (index, Attempt(attempt), machine(), String::from("a"));
        indexes.map(task).collect::<Vec<PlacedTask>>()
    };
    let chunk = PlacementRecord {
        done: vec![(0, 4)],
        placed: placed(4..68, 1),
        ..PlacementRecord::default()
    };
    let part = PlacementRecord {
        done: vec![(20, 30)],
        placed: placed(30..34, 2),
        part_size: Some(17),
        ..PlacementRecord::default()
    };
    let last_part = PlacementRecord {
        part_size: Some(17),
        ..PlacementRecord::default()
    };
    let records = [
        (0, (5, chunk)),
        (ChunkLayout::PART_BASE + 17, (9, part)),
        (ChunkLayout::PART_BASE + 68, (9, last_part)),
    ];
    let (effective, layout) = effective_placements(
        &record,
        records
            .iter()
            .map(|(chunk, placements)| (*chunk, placements)),
    );
    assert_eq!(effective[0].2.done, [(0, 4)]);
    let from_chunk = effective[0].2.placed.iter().map(|placed| placed.0);
    assert!(from_chunk.eq((4..17).chain(34..68)));
    assert_eq!(effective[1].2.placed.len(), 4);
    assert_eq!(
        effective.iter().map(|placements| placements.1).max(),
        Some(9)
    );
    assert_eq!(layout.chunk_of(33), ChunkLayout::PART_BASE + 17);
    assert_eq!(layout.chunk_of(67), ChunkLayout::PART_BASE + 51);
    assert_eq!(layout.chunk_of(69), ChunkLayout::PART_BASE + 68);
    // A part ends where its chunk ends, and the last part where the job ends.
    assert_eq!(layout.tasks_of(ChunkLayout::PART_BASE + 51), 51..68);
    assert_eq!(layout.tasks_of(ChunkLayout::PART_BASE + 68), 68..70);
    assert_eq!(layout.chunks_for(1), [ChunkLayout::PART_BASE + 68]);
    assert_eq!(ChunkLayout::new(&record, None).chunks_for(1), [1]);
}

/// Checks that a message is framed as these bytes, given in hexadecimal, and decoded from them.
fn check_message(message: &Message, bytes: &str) {
    let framed = peer::frame(message).expect("a message within the size limit");
    assert_eq!(to_hex(&framed), bytes, "{message:?}");
    let mut buffer = from_hex(bytes);
    let decoded = peer::unframe(&mut buffer).expect("well formed");
    assert_eq!(decoded.as_ref(), Some(message));
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn encodings_of_messages() {
    let heartbeat = PeerHeartbeat {
        from: controller_id(),
        incarnation: 7,
        leader: Some(controller_id()),
        shards: vec![(0, FencingToken(41), controller_id())],
        is_fresh: true,
        staleness_ms: 20,
        hears_workers: true,
        workers_unreachable: false,
        can_forward: true,
        at_ms: 1000,
        echoes: vec![(ControllerId::from("trestlehand-1"), 8, 900)],
        since_keepalive_ms: 5000,
        overdue_machines: vec![machine()],
    };
    check_message(&Message::PeerHeartbeat(heartbeat), PEER_HEARTBEAT);
    let heartbeat = WorkerHeartbeat {
        machine: "i-000231".into(),
        endpoint: "10.1.0.232:9000".into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: true,
        agent_epoch: 1,
        sequence: 88,
        token: 41,
        notice_s: Some(Num(12.5)),
        tasks: vec![HeartbeatTask {
            task: "wk-000398/0".into(),
            attempt: Attempt(1),
            status: TaskStatus::Ended,
            cause: Some(Cause::Done),
        }],
    };
    let forwarded = ForwardedHeartbeat::new(&controller_id(), 7, RequestId(3), &heartbeat);
    check_message(
        &Message::ForwardedHeartbeat(Box::new(forwarded)),
        FORWARDED_HEARTBEAT,
    );
    let response = ForwardedResponse {
        incarnation: 7,
        request_id: 3,
        status: 200,
        body: vec![0xa0],
        retry_after: Some(2),
    };
    check_message(&Message::ForwardedResponse(response), FORWARDED_RESPONSE);
    let shard_counts = ShardCounts {
        from: controller_id(),
        shard: 0,
        token: FencingToken(41),
        revision: 412,
        pools: vec![("g8".into(), false, PoolCount::default())],
        machines_by_zone: vec![("g8".into(), false, "a".into(), 3)],
        zone_shortfalls: vec![("g8".into(), false, "b".into(), 1)],
        empty_machines: vec![("g8".into(), false, machine())],
        deleted_machines: vec![machine()],
        teams: vec![("vision".into(), TeamCount::default())],
    };
    check_message(&Message::ShardCounts(Box::new(shard_counts)), SHARD_COUNTS);
    let standby = |message| Message::Standby(Box::new(message));
    let heartbeat = StandbyMessage::Heartbeat(Heartbeat {
        from: controller_id().to_string(),
        incarnation: 7,
        token: 41,
        is_leader: true,
        suspects_leader: false,
    });
    check_message(&standby(heartbeat), STANDBY_HEARTBEAT);
    let hints = StandbyMessage::Hints(Hints {
        from: controller_id().to_string(),
        token: 41,
        estimates: Estimates {
            boots: vec![("g8".into(), 52.5)],
            bursts: vec![("g8".into(), true, 2.0)],
        },
        images: vec![ImageHint {
            name: "img-07".into(),
            gb: 6.5,
        }],
        machines: vec![MachineHint {
            id: machine().to_string(),
            images: vec![0],
        }],
    });
    check_message(&standby(hints), STANDBY_HINTS);
}

const LEADER: &str =
    "a4666d656d6265726d74726573746c6568616e642d3064626f6f7407666e756d626572182964686f6c640c";
const TOKEN: &str = "a16768696768657374182a";
const FENCED_LEADER: &str = "a5666d656d6265726d74726573746c6568616e642d3064626f6f7407666e756d626572182964686f6c640c6966656e6365645f6d73190bb8";
const FENCED_TOKEN: &str = "a26768696768657374182a6566656e6365a2666e756d6265721829626d73190bb8";
const STANDBY_HEARTBEAT: &str = "0000001305000d74726573746c6568616e642d3007290100";
const STANDBY_HINTS: &str = "0000004505010d74726573746c6568616e642d3029010267380000000000404a40010267380100000000000000400106696d672d30370000000000001a400108692d3030303233310100";
const SHARD: &str = "a566686f6c6465726d74726573746c6568616e642d3064626f6f7407666e756d6265721829686d616368696e657381856267386161f568692d303030323331606a616c6c6f77616e636573a166766973696f6e82f94800f93c00";
const SCALING_PLAN: &str = "a6666e756d62657218296677616e7465648183626738f40365686972657381a5646e616d6566722d34312d3165636c617373626738647a6f6e6561616473706f74f465636f756e7403667368617265738182000166636c6f73656481836267386162f56772657475726e738168692d303030323331";
const STATUS_AGE: &str = "a26a6167655f6d61785f6d7318646a686f6e6f7265645f6d73190190";
const JOB: &str = "b465636c61737365747261696e647465616d66766973696f6e64666f726d6542617463686472616e6b66557267656e7465636f756e7410646e656564a36463707573f948006467707573f93c00636d656df9540065696d61676566696d672d303768696d6167655f6762fb4018cccccccccccd65747970657381626738647a6f6e65f6686f6e655f7a6f6e65f56773636174746572f46473706f74f56a657374696d6174655f73f95b806c636865636b706f696e745f73f94f8066736176655f73f944006a646561646c696e655f73f96308656368756e6b184465626c6f636b006977697468647261776ef4";
const DONE: &str = "64446f6e65";
const CANCELLED: &str = "6957697468647261776e";
const PLACEMENTS: &str = "a264646f6e658182000366706c61636564818404186368692d3030303233316161";
const FAILED_PLACEMENTS: &str = "a464646f6e658182000366706c61636564818404186368692d30303032333161616c6661696c65645f747269657302696661696c65645f6f6e8168692d303030323331";
const PLACEMENTS_PART: &str = "a564646f6e658182000366706c61636564818404186368692d30303032333161616c6661696c65645f747269657302696661696c65645f6f6e8168692d303030323331647061727411";
const PEER_HEARTBEAT: &str = "0000005504000d74726573746c6568616e642d3007010d74726573746c6568616e642d300100290d74726573746c6568616e642d300114010001e807010d74726573746c6568616e642d3108840788270108692d303030323331";
const FORWARDED_HEARTBEAT: &str = "0000004d04020d74726573746c6568616e642d30070308692d3030303233310f31302e312e302e3233323a39303030026738016101015829010000000000002940010b776b2d3030303339382f3001030100";
const FORWARDED_RESPONSE: &str = "0000000904030703c80101a00102";
const SHARD_COUNTS: &str = "0000008b04010d74726573746c6568616e642d3000299c030102673800000000000000000000000000000000000000000000000000000000000000000000000001026738000161030102673800016201010267380008692d3030303233310108692d3030303233310106766973696f6e0000000000000000000000000000000000000000000000000000000000000000";

/// The team limits that a controller reads from a record with this content.
fn read_limits(data: &ciborium::Value) -> LimitsRecord {
    let body = cbor!({"path" => "s/own/limits", "data" => data, "mark" => 7});
    let body = wire::encode(&body.expect("a map"));
    match wire::StoreRequest::Get(Key::Limits).parse_response(200, &body) {
        wire::StoreResponse::Found {
            record: Record::Limits(limits),
            revision: 7,
        } => limits,
        other => panic!("{other:?}"),
    }
}

/// Operators write the record of the limits by hand, with integers or decimals. A record that can't
/// be decoded is read as [`LimitsRecord::Unreadable`] and not as missing.
#[test]
fn limits_written_by_operators_are_read_or_unreadable() {
    let valid = cbor!({"teams" => {"vision" => [64, 2.5]}, "note" => "June"});
    let limits = LimitsRecord::Teams([("vision".to_string(), (64.0, 2.5))].into());
    assert_eq!(read_limits(&valid.expect("a map")), limits);
    let value = wire::record_to_value(&Record::Limits(limits.clone()));
    assert_eq!(read_limits(&value), limits);
    let unreadable = [
        cbor!({}),
        cbor!(null),
        cbor!([1, 2]),
        cbor!({"teams" => [["vision", 1, 2]]}),
        cbor!({"teams" => {"vision" => [1]}}),
        cbor!({"teams" => {"vision" => ["64", 2]}}),
    ];
    for value in unreadable {
        let value = value.expect("a value");
        let read = read_limits(&value);
        assert!(
            matches!(read, LimitsRecord::Unreadable(_)),
            "{value:?}: {read:?}"
        );
    }
}

/// The records that a cell writes when it shares limits with other cells. Only the cell itself
/// reads them, so that cells with different versions never read each other's records.
#[test]
fn encodings_of_shared_limits_records() {
    use salttrestle_cells::Amount;
    use salttrestle_cells::ledger::{CellRecord, LinkRecord, Transfer};
    let cell = CellRecord {
        generation: 2,
        shares: [("vision".into(), Amount(64_000, 2_500))].into(),
        limits: [("vision".into(), Amount(128_000, 8_000))].into(),
    };
    check_record(&cell, CELL);
    let link = LinkRecord {
        sent: 7,
        pending: None,
        taken: 3,
    };
    check_record(&link, LINK);
    let pending = Transfer {
        number: 7,
        amounts: vec![("vision".into(), Amount(1_000, 0))],
    };
    let link = LinkRecord {
        pending: Some(pending),
        ..link
    };
    check_record(&link, LINK_PENDING);
}

const CELL: &str = "a36a67656e65726174696f6e0266736861726573a166766973696f6e8219fa001909c4666c696d697473a166766973696f6e821a0001f400191f40";
const LINK: &str = "a26473656e74076574616b656e03";
const LINK_PENDING: &str = "a36473656e74076770656e64696e67a2666e756d6265720767616d6f756e7473818266766973696f6e821903e8006574616b656e03";
