//! Malformed HTTP, CBOR and peer messages are rejected, and well-formed ones are accepted. The
//! tables have a row for each kind of malformed input found so far.

use ciborium::{Value, cbor};
use salttrestle::http::{Decoder, HttpError, Side};
use salttrestle::peer;
use salttrestle::wire;

/// Decodes a request whose body may have at most 100 bytes. Returns the size of the body in bytes;
/// `None` if the request is incomplete.
fn decode_request(bytes: &[u8]) -> Result<Option<usize>, HttpError> {
    let mut decoder = Decoder::new(Side::Request, 100);
    decoder.feed(bytes);
    decoder
        .next_message()
        .map(|message| message.map(|message| message.body.len()))
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn http_requests_are_decoded_or_rejected() {
    use HttpError::{Malformed, TooLarge};
    let rows: &[(&str, Result<Option<usize>, HttpError>)] = &[
        ("GET /up HTTP/1.1\r\n\r\n", Ok(Some(0))),
        ("\r\n\r\nGET /up HTTP/1.1\r\nHost: x\r\n\r\n", Ok(Some(0))),
        (
            "POST /work HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
            Ok(Some(3)),
        ),
        (
            "POST /work HTTP/1.1\r\ncontent-length:3\r\nContent-Length: 3\r\n\r\nabc",
            Ok(Some(3)),
        ),
        (
            "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n",
            Ok(Some(3)),
        ),
        (
            "POST /work HTTP/1.1\r\nContent-Length: 3\r\n\r\nab",
            Ok(None),
        ),
        (
            "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            Ok(None),
        ),
        ("GET /up HTTP/1.1\r\nHos", Ok(None)),
        ("GET /up HTTP/2.0\r\n\r\n", Err(Malformed)),
        ("GET /up\r\n\r\n", Err(Malformed)),
        ("GET up HTTP/1.1\r\n\r\n", Err(Malformed)),
        ("G T /up HTTP/1.1\r\n\r\n", Err(Malformed)),
        (" /up HTTP/1.1\r\n\r\n", Err(Malformed)),
        ("GET /up HTTP/1.1\r\nno colon\r\n\r\n", Err(Malformed)),
        ("GET /up HTTP/1.1\r\n: empty\r\n\r\n", Err(Malformed)),
        (
            "GET /up HTTP/1.1\r\nA b: space in name\r\n\r\n",
            Err(Malformed),
        ),
        (
            "POST /work HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            Err(Malformed),
        ),
        (
            "POST /work HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
            Err(Malformed),
        ),
        (
            "POST /work HTTP/1.1\r\nContent-Length: 3 3\r\n\r\n",
            Err(Malformed),
        ),
        (
            "POST /work HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
            Err(Malformed),
        ),
        (
            "POST /work HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            Err(Malformed),
        ),
        (
            "POST /work HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
            Err(Malformed),
        ),
        (
            "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            Err(Malformed),
        ),
        (
            "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
            Err(Malformed),
        ),
        (
            "POST /work HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
            Err(TooLarge),
        ),
        (
            "POST /work HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
            Err(TooLarge),
        ),
        (
            "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n",
            Err(TooLarge),
        ),
        (
            "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffffff\r\n",
            Err(TooLarge),
        ),
    ];
    for (bytes, expected) in rows {
        assert_eq!(&decode_request(bytes.as_bytes()), expected, "{bytes:?}");
    }
    let invalid_utf8 = b"GET /\xff\xfe HTTP/1.1\r\n\r\n";
    assert_eq!(decode_request(invalid_utf8), Err(Malformed));
    let endless_header = format!("GET /up HTTP/1.1\r\nX: {}", "a".repeat(10_000));
    assert_eq!(decode_request(endless_header.as_bytes()), Err(TooLarge));
}

#[test]
fn http_requests_that_arrive_byte_by_byte_are_decoded() {
    let mut decoder = Decoder::new(Side::Request, 100);
    let bytes = b"POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\nabGET /up HTTP/1.1\r\n\r\n";
    let mut decoded = Vec::new();
    for byte in bytes {
        decoder.feed(&[*byte]);
        while let Some(message) = decoder.next_message().expect("well-formed bytes") {
            decoded.push((message.start_line[1].clone(), message.body));
        }
    }
    let expected = vec![
        ("/work".to_string(), b"ab".to_vec()),
        ("/up".to_string(), Vec::new()),
    ];
    assert_eq!(decoded, expected);
    assert!(!decoder.has_partial_message());
}

#[test]
fn http_responses_are_decoded_or_rejected() {
    let mut decoder = Decoder::new(Side::Response, 100);
    decoder
        .feed(b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n");
    let message = decoder
        .next_message()
        .expect("well formed")
        .expect("complete");
    assert_eq!(
        (
            message.status(),
            message.retry_after,
            message.closes_connection
        ),
        (Some(503), Some(7), false)
    );
    decoder.feed(b"HTTP/1.0 200 OK\r\n\r\nab");
    assert_eq!(decoder.next_message(), Ok(None));
    assert_eq!(
        decoder
            .finish_at_close()
            .expect("a body that ends with the connection")
            .body,
        b"ab"
    );
    decoder.feed(b"HTTP/1.1 2x0 OK\r\n\r\n");
    assert_eq!(decoder.next_message(), Err(HttpError::Malformed));
}

/// The fields of a valid submission, one of them unknown to the current version.
fn valid_submission() -> Vec<(Value, Value)> {
    let value = cbor!({
        "id" => "wk-000412", "troupe" => "train", "crew" => "vision", "form" => "batch",
        "rank" => "urgent", "verses" => 16, "cores" => 8.0, "accelerators" => 1, "memGb" => 64.0,
        "score" => "img-07", "sizeGb" => 6.2, "builds" => ["g8"], "quarter" => null,
        "samePlace" => true, "scatter" => false, "borrowed" => true, "reckonS" => 240.0,
        "bookmarkS" => 30.0, "stashS" => 4.0, "curtainS" => 900.0, "later" => {"unknown" => 1}
    });
    match value.expect("a map") {
        Value::Map(map) => map,
        _ => unreachable!("cbor! of a map"),
    }
}

/// The encoded valid submission with one field replaced, or removed if there is no value.
fn with_field(field: &str, value: Option<Value>) -> Vec<u8> {
    let mut map = valid_submission();
    map.retain(|(key, _)| key.as_text() != Some(field));
    if let Some(value) = value {
        map.push((Value::Text(field.into()), value));
    }
    wire::encode(&Value::Map(map))
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn malformed_submissions_are_rejected() {
    assert!(wire::parse_submission(&wire::encode(&Value::Map(valid_submission()))).is_ok());
    for field in ["builds", "quarter", "curtainS"] {
        assert!(
            wire::parse_submission(&with_field(field, None)).is_ok(),
            "{field} is optional"
        );
    }
    let required = [
        "id",
        "troupe",
        "crew",
        "form",
        "rank",
        "verses",
        "cores",
        "accelerators",
        "memGb",
        "score",
        "sizeGb",
        "samePlace",
        "scatter",
        "borrowed",
        "reckonS",
        "bookmarkS",
        "stashS",
    ];
    for field in required {
        assert!(
            wire::parse_submission(&with_field(field, None)).is_err(),
            "{field} is missing"
        );
        assert!(
            wire::parse_submission(&with_field(field, Some(Value::Null))).is_err(),
            "{field} is null"
        );
        let list = Value::Array(Vec::new());
        assert!(
            wire::parse_submission(&with_field(field, Some(list))).is_err(),
            "{field} is a list"
        );
    }
    let text = |t: &str| Value::Text(t.into());
    let int = |n: i64| Value::Integer(n.into());
    let rows = [
        ("id", text("")),
        ("id", text("wk")),
        ("id", text("wk-")),
        ("id", text("wk-12x")),
        ("id", text("WK-12")),
        ("id", text("wk-1/2")),
        ("id", text("wk-1 2")),
        ("id", text(&format!("wk-{}", "1".repeat(80)))),
        ("id", int(5)),
        ("troupe", text("")),
        ("troupe", text(&"x".repeat(200))),
        ("crew", text("a\nb")),
        ("score", text("")),
        ("form", text("ballad")),
        ("rank", text("Urgent")),
        ("verses", int(0)),
        ("verses", int(-1)),
        ("verses", int(100_001)),
        ("verses", int(1 << 40)),
        ("verses", Value::Float(4.5)),
        ("verses", text("4")),
        ("cores", Value::Float(f64::NAN)),
        ("cores", Value::Float(f64::INFINITY)),
        ("cores", Value::Float(-0.5)),
        ("accelerators", int(-1)),
        ("memGb", Value::Float(1e300)),
        ("sizeGb", text("6.2")),
        ("reckonS", Value::Float(f64::NEG_INFINITY)),
        ("bookmarkS", int(-3)),
        ("stashS", Value::Bool(true)),
        ("curtainS", Value::Float(f64::NAN)),
        ("curtainS", text("soon")),
        ("builds", Value::Array(vec![])),
        ("builds", Value::Array(vec![int(1)])),
        ("builds", Value::Array(vec![text("")])),
        ("builds", Value::Array(vec![text("g8"); 100])),
        ("builds", text("g8")),
        ("quarter", int(1)),
        ("quarter", text("")),
        ("samePlace", int(1)),
        ("scatter", text("yes")),
        ("borrowed", Value::Float(1.0)),
    ];
    for (field, value) in rows {
        let body = with_field(field, Some(value.clone()));
        assert!(
            wire::parse_submission(&body).is_err(),
            "{field} = {value:?}"
        );
    }
}

/// A malformed submission of a known job is answered with the job's state. The job's id is
/// therefore read from the malformed body where possible.
#[test]
fn job_id_is_read_from_malformed_submissions() {
    let int = |n: i64| Value::Integer(n.into());
    let whole = wire::encode(&Value::Map(valid_submission()));
    let rows = [
        (with_field("rank", None), Some("wk-000412")),
        (with_field("verses", Some(int(-1))), Some("wk-000412")),
        (with_field("builds", Some(int(1))), Some("wk-000412")),
        ([whole.clone(), vec![0]].concat(), Some("wk-000412")),
        (with_field("id", Some(int(5))), None),
        (with_field("id", Some(Value::Text("WK-1".into()))), None),
        (with_field("id", None), None),
        (whole[..whole.len() - 1].to_vec(), None),
        (vec![0x81; 5000], None),
    ];
    for (body, id) in rows {
        let invalid = wire::parse_submission(&body).expect_err("malformed");
        let read = invalid.id.as_ref().map(salttrestle::ids::JobId::as_str);
        assert_eq!(read, id, "{}", invalid.reason);
    }
}

#[test]
fn bodies_that_are_not_one_map_are_rejected() {
    let whole = wire::encode(&Value::Map(valid_submission()));
    let rows: Vec<Vec<u8>> = vec![
        vec![],
        vec![0xff],
        vec![0xa1],
        vec![0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        vec![0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        vec![0x81; 5000],
        b"{\"id\": \"wk-1\"}".to_vec(),
        whole[..whole.len() - 1].to_vec(),
        [whole.clone(), vec![0]].concat(),
    ];
    for body in rows {
        assert!(
            wire::parse_submission(&body).is_err(),
            "{:?}",
            &body[..body.len().min(20)]
        );
        assert!(wire::decode::<wire::WorkerHeartbeat>(&body).is_none());
    }
}

#[test]
fn malformed_heartbeats_are_rejected() {
    let body = |attempt: Value, status: &str, token: Value| {
        wire::encode(
            &cbor!({
                "rig" => "i-1", "endpoint" => "10.0.0.1:1", "build" => "g8", "quarter" => "a",
                "borrowed" => false, "shift" => 1, "tally" => 2, "baton" => token,
                "verses" => [{"verse" => "wk-1/0", "take" => attempt, "stance" => status,
                              "cause" => "something new", "more" => 1}]
            })
            .expect("a map"),
        )
    };
    let int = |n: i64| Value::Integer(n.into());
    let valid =
        wire::decode::<wire::WorkerHeartbeat>(&body(int(1), "ended", int(3))).expect("a heartbeat");
    assert_eq!(valid.tasks[0].cause, Some(wire::Cause::Other));
    for (attempt, status, token) in [
        (int(-1), "running", int(1)),
        (Value::Float(1.5), "running", int(1)),
        (int(1), "dancing", int(1)),
        (int(1), "running", int(-1)),
        (int(1), "running", Value::Text("3".into())),
    ] {
        assert!(wire::decode::<wire::WorkerHeartbeat>(&body(attempt, status, token)).is_none());
    }
}

#[test]
fn malformed_peer_messages_are_rejected() {
    let heartbeat = peer::Message::PeerHeartbeat(peer::PeerHeartbeat {
        from: "node-1".into(),
        incarnation: 7,
        leader: None,
        shards: vec![(0, salttrestle::ids::FencingToken(4), "node-2".into())],
        is_fresh: true,
        staleness_ms: 40,
        hears_workers: false,
        workers_unreachable: false,
        can_forward: true,
        at_ms: 7,
        echoes: vec![("n1".into(), 3, 5)],
        since_keepalive_ms: 9,
        overdue_machines: vec!["i-7".into()],
    });
    let framed = peer::frame(&heartbeat).expect("a message within the size limit");
    // The buffer holds a whole frame and the beginning of the next one.
    let mut buffer = [framed.clone(), framed[..4].to_vec()].concat();
    assert_eq!(peer::unframe(&mut buffer), Ok(Some(heartbeat)));
    assert_eq!(peer::unframe(&mut buffer), Ok(None));
    assert!(
        peer::unframe(&mut vec![0xff, 0xff, 0, 0, 1]).is_err(),
        "too large"
    );
    let version = framed[4];
    assert!(
        peer::unframe(&mut vec![0, 0, 0, 1, version, 9]).is_err(),
        "malformed"
    );
    let mut other_version = vec![0, 0, 0, 1, 99, 9];
    assert_eq!(peer::unframe(&mut other_version), Ok(None));
    assert!(
        other_version.is_empty(),
        "a frame of another version is skipped"
    );
    check_standby_messages();
    // A message that is larger than peers accept is rejected by the sender and not split.
    let large = peer::Message::ForwardedResponse(peer::ForwardedResponse {
        incarnation: 1,
        request_id: 2,
        status: 200,
        body: vec![0; peer::MESSAGE_BYTES_MAX],
        retry_after: None,
    });
    assert!(peer::frame(&large).is_err(), "too large to send");
}

/// Checks that standby messages are sent in frames with a version of their own, and that malformed
/// ones are errors, which close the connection.
fn check_standby_messages() {
    use salttrestle_standby::hints::{Hints, ImageHint, MachineHint};
    use salttrestle_standby::message::{Heartbeat, StandbyMessage};
    let framed = |message: &StandbyMessage| {
        let message = peer::Message::Standby(Box::new(message.clone()));
        peer::frame(&message).expect("a message within the size limit")
    };
    let heartbeat = StandbyMessage::Heartbeat(Heartbeat {
        from: "n1".into(),
        incarnation: 7,
        token: 41,
        is_leader: true,
        suspects_leader: false,
    });
    let mut bytes = framed(&heartbeat);
    assert_eq!(bytes, [0, 0, 0, 8, 5, 0, 2, b'n', b'1', 7, 41, 1, 0]);
    let read = peer::unframe(&mut bytes).expect("well formed");
    assert_eq!(read, Some(peer::Message::Standby(Box::new(heartbeat))));
    let malformed = vec![0, 0, 0, 2, 5, 9, 9];
    assert!(peer::unframe(&mut malformed.clone()).is_err(), "no message");
    let valid_hints = Hints {
        from: "n1".into(),
        token: 41,
        images: vec![ImageHint {
            name: "img-1".into(),
            gb: 6.5,
        }],
        machines: vec![MachineHint {
            id: "i-1".into(),
            images: vec![0],
        }],
        ..Hints::default()
    };
    assert!(peer::unframe(&mut framed(&StandbyMessage::Hints(valid_hints.clone()))).is_ok());
    let invalidate: [fn(&mut Hints); 6] = [
        |hints| hints.images[0].gb = f64::NAN,
        |hints| hints.estimates.boots = vec![("g8".into(), -1.0)],
        |hints| hints.estimates.bursts = vec![("g8".into(), true, f64::INFINITY)],
        |hints| hints.machines[0].images = vec![1],
        |hints| hints.machines[0].id = "i".repeat(300),
        |hints| hints.machines = vec![MachineHint::default(); 257],
    ];
    for (n, invalidate) in invalidate.iter().enumerate() {
        let mut hints = valid_hints.clone();
        invalidate(&mut hints);
        let mut bytes = framed(&StandbyMessage::Hints(hints));
        assert!(peer::unframe(&mut bytes).is_err(), "invalid hints {n}");
    }
}

/// The compressed list of machines in a shard's record is decoded to the same list for any machine
/// ids, and a list of 1,200 machines fits into a value of 8 KiB.
#[test]
fn compressed_list_of_machines_round_trips_and_fits_into_a_value() {
    use salttrestle::controller::store::records::{MachineEntry, ShardRecord};
    use salttrestle::ids::FencingToken;
    let entry =
        |id: &str, zone: &str| -> MachineEntry { (id.into(), "g8".into(), zone.into(), true) };
    let record = |machines| ShardRecord {
        owner: "n0".into(),
        incarnation: 1,
        token: FencingToken(7),
        machines,
        quota_shares: None,
    };
    let unusual_ids = ["i-1", "i-12", "", "a b", "ärger", "änder", "i-1 2"];
    let mut list: Vec<MachineEntry> = unusual_ids.iter().map(|id| entry(id, "a")).collect();
    list.push(entry("i-1", "b"));
    for machines in [None, Some(Vec::new()), Some(list)] {
        let json = serde_json::to_vec(&record(machines.clone())).expect("JSON");
        let decoded: ShardRecord = serde_json::from_slice(&json).expect("a shard record");
        let sorted = |machines: Option<Vec<MachineEntry>>| {
            machines.map(|mut machines| {
                machines.sort();
                machines
            })
        };
        assert_eq!(sorted(decoded.machines), sorted(machines));
    }
    let many = (0..1200).map(|n| entry(&format!("i-{n:06}"), ["a", "b", "c"][n % 3]));
    let json = serde_json::to_vec(&record(Some(many.collect()))).expect("JSON");
    assert!(json.len() < 8 * 1024, "{} bytes", json.len());
}
