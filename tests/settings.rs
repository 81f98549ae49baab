//! Settings: invalid ones are rejected with file, key and reason, and limits and sizes are derived
//! from valid ones.

use salttrestle::peer;
use salttrestle::settings::{CellsFile, Platform, Tuning};
use salttrestle::wire;

const PLATFORM: &str = r#"{"member":"n0","site":"a","listen":"127.0.0.1:1","peer_listen":"127.0.0.1:2",
 "siblings":[{"member":"n1","site":"b","endpoint":"127.0.0.1:3"}],
 "services":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},"new":1,
 "facts":{"count":2,"zones":["a","b"],"teams":[{"name":"t","gpus_max":4}],
  "workers":{"report_s":1,"lease_s":10,"cancel_s":35},
  "state":{"rps":150,"write_rps":60,"value_kb":8,"txn_ops":16},
  "cloud":{"rps":4,"list_lag_s":8},"resources":{"cpu":0.1,"mem_mb":56,"max_sockets":500}}}"#;

#[test]
fn settings_errors_name_file_key_and_reason() {
    assert!(Platform::parse(PLATFORM, "f.json").is_ok());
    let rows = [
        ("\"lease_s\":10", "\"lease_s\":0", "facts.workers.lease_s"),
        ("\"lease_s\":10", "\"lease_s\":40", "facts.workers.cancel_s"),
        ("\"zones\":[\"a\",\"b\"]", "\"zones\":[]", "facts.zones"),
        ("\"txn_ops\":16", "\"txn_ops\":1", "facts.state.txn_ops"),
        (
            "\"txn_ops\":16",
            "\"txn_ops\":16,\"next\":{\"txn_ops\":3}",
            "facts.state.next.txn_ops",
        ),
        (
            "\"txn_ops\":16",
            "\"txn_ops\":16,\"next\":{\"value_kb\":0}",
            "facts.state.next.value_kb",
        ),
        (
            "\"txn_ops\":16",
            "\"txn_ops\":16,\"next\":{\"write_rps\":-1}",
            "facts.state.next.write_rps",
        ),
        (
            "\"txn_ops\":16",
            "\"txn_ops\":16,\"next\":{\"rps\":0}",
            "facts.state.next.rps",
        ),
        (
            "\"txn_ops\":16",
            "\"txn_ops\":16,\"next\":{\"rps\":\"many\"}",
            "line",
        ),
        (
            "\"max_sockets\":500",
            "\"max_sockets\":3",
            "facts.resources.max_sockets",
        ),
        (
            "\"gpus_max\":4",
            "\"gpus_max\":-4",
            "facts.teams[0].gpus_max",
        ),
        ("\"member\":\"n1\"", "\"member\":\"n0\"", "siblings"),
        ("127.0.0.1:2", "127.0.0.1:1", "peer_listen"),
        ("\"member\":\"n0\",", "", "member"),
        ("127.0.0.1:5", "somewhere", "line"),
    ];
    for (old, new, key) in rows {
        let text = PLATFORM.replace(old, new);
        let error = Platform::parse(&text, "f.json").expect_err(new);
        assert!(
            error.file == "f.json" && error.key.contains(key),
            "{new}: {error}"
        );
        assert!(!error.reason.to_string().is_empty() && !error.to_string().contains('\n'));
    }
}

/// Each limit of the store is the stricter of the current and the announced one.
#[test]
fn stricter_of_current_and_announced_limits_apply() {
    let strictest = |next: &str| {
        let text = PLATFORM.replace("\"txn_ops\":16", &format!("\"txn_ops\":16{next}"));
        let platform = Platform::parse(&text, "f.json").expect("valid settings");
        platform.facts.store.strictest()
    };
    let current = strictest("");
    assert_eq!((current.txn_ops, current.value_bytes), (16, 8192));
    assert_eq!((current.rps, current.write_rps), (150.0, 60.0));
    assert_eq!(strictest(",\"next\":null"), current);
    assert_eq!(strictest(",\"next\":{}"), current);
    let larger = ",\"next\":{\"value_kb\":64,\"txn_ops\":64,\"rps\":900,\"write_rps\":900}";
    assert_eq!(strictest(larger), current);
    let stricter = strictest(",\"next\":{\"value_kb\":2,\"txn_ops\":5,\"write_rps\":42}");
    assert_eq!((stricter.txn_ops, stricter.value_bytes), (5, 2048));
    assert_eq!((stricter.rps, stricter.write_rps), (150.0, 42.0));
}

/// The number of shards, the machine ceiling and the send buffer follow from the platform's
/// processor and sockets, here for controllers of different sizes.
#[test]
fn shards_and_ceiling_follow_from_the_settings() {
    let settings = |cpu: &str, sockets: &str| {
        let text = PLATFORM
            .replace("\"cpu\":0.1", &format!("\"cpu\":{cpu}"))
            .replace("\"max_sockets\":500", &format!("\"max_sockets\":{sockets}"));
        salttrestle::settings::Settings {
            platform: Platform::parse(&text, "f.json").expect("valid settings"),
            tuning: Tuning::parse(None).expect("valid defaults"),
            cells: None,
        }
    };
    let usual = settings("0.1", "500");
    assert_eq!(
        (usual.shard_count_for(10), usual.shard_count_for(500)),
        (0, 1)
    );
    // 1,333 machines would use the whole processor, of which a share of 0.85 may be used.
    assert_eq!(
        (usual.shard_count_for(1100), usual.shard_count_for(1200)),
        (1, 2)
    );
    assert_eq!(
        (
            usual.shard_count_for_capacity(1200, 2000.0),
            usual.shard_count_for_capacity(1200, 700.0)
        ),
        (1, 3)
    );
    assert_eq!(
        usual.ceiling(),
        800,
        "limited by the sockets of two controllers"
    );
    // When a shard gets a new owner, a controller with 4,000 sockets may receive a heartbeat to
    // forward on each of them, and all of these must fit into the buffer for unsent bytes.
    let large = settings("1.0", "4000");
    let heartbeat = peer::ForwardedHeartbeat::new(
        &"n".into(),
        7,
        salttrestle::ids::RequestId(3),
        &heartbeat_with(96),
    );
    let frame = peer::frame(&peer::Message::ForwardedHeartbeat(Box::new(heartbeat)));
    let bytes = frame.expect("a message within the size limit").len();
    assert!(large.unsent_bytes_max() >= 4000 * bytes, "{bytes} bytes");
    assert_eq!(usual.unsent_bytes_max(), 500 * 4096);
    let slow = settings("0.01", "500");
    assert_eq!(
        (slow.shard_count_for(100), slow.shard_count_for(120)),
        (1, 2)
    );
    let slowest = settings("0.001", "500");
    assert_eq!(
        slowest.shard_count_for(100),
        2,
        "shards aren't split below the minimum size"
    );
    assert_eq!(
        slow.ceiling(),
        266,
        "limited by the processors of two controllers"
    );
    assert!(Platform::parse(&PLATFORM.replace("\"cpu\":0.1", "\"cpu\":0"), "f").is_err());
}

/// A heartbeat of a machine that runs `tasks` tasks.
fn heartbeat_with(tasks: usize) -> wire::WorkerHeartbeat {
    let task = |index: usize| wire::HeartbeatTask {
        task: format!("wk-000398/{index}"),
        attempt: salttrestle::ids::Attempt::new(salttrestle::ids::FencingToken(90), index as u64),
        status: wire::TaskStatus::Running,
        cause: None,
    };
    wire::WorkerHeartbeat {
        machine: "i-000231".into(),
        endpoint: "10.1.0.232:9000".into(),
        type_name: "g8".into(),
        zone: "port-of-spain".into(),
        spot: false,
        agent_epoch: 1,
        sequence: 88,
        token: 90,
        notice_s: None,
        tasks: (0..tasks).map(task).collect(),
    }
}

#[test]
fn properties_override_defaults_or_are_rejected() {
    let defaults = Tuning::parse(None).expect("valid defaults");
    let overridden =
        Tuning::parse(Some(("o", "scale.tick-s = 7.5\n# note\n"))).expect("valid properties");
    assert_eq!(overridden.tick_s, 7.5);
    assert_ne!(defaults.tick_s, 7.5);
    assert_eq!(
        Tuning {
            tick_s: defaults.tick_s,
            ..overridden
        },
        defaults
    );
    for (text, key) in [
        ("scale.tik-s = 2", "scale.tik-s"),
        ("scale.tick-s = fast", "scale.tick-s"),
        ("scale.tick-s = NaN", "scale.tick-s"),
        ("scale.rise = 1000", "scale.rise"),
        ("scale.rise-share = 2", "scale.rise-share"),
        ("block.cpu = 0", "block.cpu"),
        ("scale.ceiling = -1", "scale.ceiling"),
        ("scale.tick-s = \\uZZZZ", "(file)"),
        ("standby.heartbeat-s = 0.9", "standby.heartbeat-s"),
        ("standby.heartbeat-s = 0", "standby.heartbeat-s"),
        ("leader.grant-s = 1.5", "standby.heartbeat-s"),
        ("standby.missed = 1", "standby.missed"),
        ("standby.hints-s = -1", "standby.hints-s"),
        (
            "standby.takeovers-per-minute = 0",
            "standby.takeovers-per-minute",
        ),
    ] {
        let error = Tuning::parse(Some(("o.properties", text))).expect_err(text);
        assert_eq!(
            (error.file.as_str(), error.key.as_str()),
            ("o.properties", key)
        );
    }
}

const CELLS: &str = "cells.generation = 3\ncells.here = north\n\
    cell.north.n0 = 127.0.0.1:6\ncell.north.n1 = 127.0.0.1:7\ncell.south.s0 = 127.0.0.2:6\n\
    team.t.home = south\nteam.t.since = 2\nteam.t.floor = 0 2\n";

#[test]
fn cells_errors_name_file_key_and_reason() {
    let platform = Platform::parse(PLATFORM, "f.json").expect("valid settings");
    let parse = |text: &str| CellsFile::parse(text, "cells.properties", &platform);
    let cells = parse(CELLS).expect("a valid file");
    assert_eq!(cells.other_cells().collect::<Vec<_>>(), ["south"]);
    assert_eq!(cells.teams["t"].limit, salttrestle_cells::Amount(0, 4000));
    let rows = [
        ("generation = 3", "generation = 0", "cells.generation"),
        ("generation = 3", "generation = new", "cells.generation"),
        ("cells.generation = 3\n", "", "cells.generation"),
        ("cells.here = north", "cells.here = east", "cells.here"),
        ("cell.north.n1", "cell.north.n2", "cell.north.n1"),
        ("cell.south.s0", "cell.South.s0", "cell.South.s0"),
        ("cell.south.s0", "cell.south", "cell.south"),
        ("127.0.0.2:6", "somewhere", "cell.south.s0"),
        ("cell.south.s0 = 127.0.0.2:6\n", "", "cell"),
        ("team.t.home = south\n", "", "team.t.home"),
        ("home = south", "home = east", "team.t.home"),
        ("team.t.home", "team.u.home", "team.u.home"),
        ("since = 2", "since = 4", "team.t.since"),
        ("floor = 0 2", "floor = 2", "team.t.floor"),
        ("floor = 0 2", "floor = 0 -2", "team.t.floor"),
        // The floors of both cells together, 6 GPUs, exceed the team's limit of 4.
        ("floor = 0 2", "floor = 0 3", "team.t.floor"),
        ("team.t.floor", "team.t.flour", "team.t.flour"),
        ("team.t.floor", "team.u.floor", "team.u.floor"),
    ];
    for (from, to, key) in rows {
        let text = CELLS.replacen(from, to, 1);
        assert_ne!(text, CELLS, "{from} isn't in the file");
        let error = parse(&text).expect_err(to);
        assert_eq!(
            (error.file.as_str(), error.key.as_str()),
            ("cells.properties", key),
            "{error}"
        );
        assert!(!error.reason.to_string().is_empty());
    }
}

/// The example file in `deploy` is valid and names five cells.
#[test]
fn example_file_of_five_cells_is_valid() {
    let text = include_str!("../deploy/cells.properties");
    let team = |name: &str| format!("{{\"name\":\"{name}\",\"gpus_max\":40,\"cpus_max\":400}}");
    let teams = [team("booking-desk"), team("heritage-guides")].join(",");
    let platform = PLATFORM
        .replace("{\"name\":\"t\",\"gpus_max\":4}", &teams)
        .replace("\"n0\"", "\"north-0\"")
        .replace("\"n1\"", "\"north-1\"");
    let platform = Platform::parse(&platform, "f.json").expect("valid settings");
    let file = CellsFile::parse(text, "cells.properties", &platform).expect("a valid file");
    assert_eq!(file.cells.len(), 5);
}
