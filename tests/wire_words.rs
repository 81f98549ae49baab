//! The field names and paths of the store's and the cloud's HTTP interfaces. The test doubles take
//! typed calls, so only these tests notice a rename that changes a body.

use ciborium::{Value, cbor};
use salttrestle::controller::store::records::{Ending, Key, Record, ScaleOutRecord};
use salttrestle::ids::{JobId, MachineId};
use salttrestle::wire::{self, CloudRequest, CloudResponse, StoreRequest, StoreResponse, Write};

fn body(value: Result<Value, ciborium::value::Error>) -> Vec<u8> {
    wire::encode(&value.expect("a value"))
}

fn end() -> Key {
    Key::End(JobId::from("wk-1"))
}

#[test]
fn store_requests_have_the_interface_names() {
    let commit = StoreRequest::Transaction {
        preconditions: vec![(end(), 0)],
        writes: vec![
            Write::Put {
                key: end(),
                record: Record::End(Ending::Done),
                lease_id: Some(7),
            },
            Write::Delete {
                key: Key::Job(JobId::from("wk-1")),
            },
        ],
    };
    let call = commit.to_call();
    assert_eq!((call.method, call.path.as_str()), ("POST", "/commit"));
    let expected = cbor!({
        "when" => [{"path" => "s/end/wk-1", "mark" => 0}],
        "writes" => [
            {"write" => "s/end/wk-1", "data" => "Done", "hold" => 7},
            {"delete" => "s/job/wk-1"}
        ]
    });
    let sent: Value = wire::decode(&call.body.expect("a body")).expect("CBOR");
    assert_eq!(sent, expected.expect("a value"));
    let grant = StoreRequest::GrantLease { ttl_ms: 3000 }.to_call();
    let sent: Value = wire::decode(&grant.body.expect("a body")).expect("CBOR");
    assert_eq!(sent, cbor!({"ttlMs" => 3000}).expect("a value"));
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn store_responses_are_read_by_the_interface_names() {
    let found_body =
        body(cbor!({"path" => "s/end/wk-1", "data" => "Done", "mark" => 412, "hold" => 7}));
    let found = StoreResponse::Found {
        record: Record::End(Ending::Done),
        revision: 412,
    };
    assert_eq!(
        StoreRequest::Get(end()).parse_response(200, &found_body),
        found
    );
    let missing = body(cbor!({"ledger" => 431}));
    assert_eq!(
        StoreRequest::ReadRevision.parse_response(404, &missing),
        StoreResponse::Missing { revision: 431 }
    );
    let commit = StoreRequest::Transaction {
        preconditions: Vec::new(),
        writes: Vec::new(),
    };
    assert_eq!(
        commit.parse_response(200, &body(cbor!({"ledger" => 432}))),
        StoreResponse::Committed { revision: 432 }
    );
    let conflict = body(cbor!({"failed" => ["s/end/wk-1"], "ledger" => 431}));
    assert_eq!(
        commit.parse_response(409, &conflict),
        StoreResponse::Conflict {
            failed: vec![end()]
        }
    );
    let no_lease = body(cbor!({"error" => "no such lease"}));
    assert_eq!(
        commit.parse_response(400, &no_lease),
        StoreResponse::LeaseNotFound
    );
    let too_large = body(cbor!({"error" => "value too large"}));
    assert_eq!(
        commit.parse_response(400, &too_large),
        StoreResponse::Rejected
    );
    assert_eq!(commit.parse_response(400, &[]), StoreResponse::Rejected);
    let page = body(cbor!({
        "entries" => [{"path" => "s/end/wk-1", "data" => "Done", "mark" => 5}],
        "hasNext" => true, "ledger" => 431
    }));
    let listed = StoreResponse::Page {
        entries: vec![(end(), 5, Some(Record::End(Ending::Done)))],
        last: Some("s/end/wk-1".into()),
        has_next: true,
        revision: 431,
    };
    let list = StoreRequest::List { after: "s/".into() };
    assert_eq!(list.parse_response(200, &page), listed);
    let changes_body = body(cbor!({"ledger" => 433, "news" => [
        {"write" => "s/end/wk-1", "data" => "Done", "mark" => 433},
        {"delete" => "s/job/wk-1", "mark" => 432}
    ]}));
    let changes = StoreResponse::Changes {
        revision: 433,
        changes: vec![
            (end(), 433, Some(Record::End(Ending::Done))),
            (Key::Job(JobId::from("wk-1")), 432, None),
        ],
    };
    assert_eq!(
        StoreRequest::Watch { after: 431 }.parse_response(200, &changes_body),
        changes
    );
    let granted = body(cbor!({"hold" => 7}));
    assert_eq!(
        StoreRequest::GrantLease { ttl_ms: 3000 }.parse_response(200, &granted),
        StoreResponse::LeaseGranted(7)
    );
}

#[test]
fn cloud_requests_and_responses_have_the_interface_names() {
    let scale_out = CloudRequest::ScaleOut(ScaleOutRecord {
        name: "r-17".into(),
        class: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    });
    let sent: Value = wire::decode(&scale_out.to_call().body.expect("a body")).expect("CBOR");
    let expected = cbor!({
        "hire" => "r-17", "build" => "g8", "quarter" => "a", "borrowed" => true, "number" => 12
    });
    assert_eq!(sent, expected.expect("a value"));
    let rented = body(cbor!({"rigs" => ["i-000231"]}));
    let machines = vec![MachineId::from("i-000231")];
    assert_eq!(
        scale_out.parse_response(200, &rented),
        CloudResponse::ScaledOut(machines.clone())
    );
    let delete = CloudRequest::Delete(machines);
    let sent: Value = wire::decode(&delete.to_call().body.expect("a body")).expect("CBOR");
    assert_eq!(sent, cbor!({"rigs" => ["i-000231"]}).expect("a value"));
    let catalog = body(cbor!({"builds" => [{
        "name" => "g8", "cores" => 96, "accelerators" => 8, "memGb" => 768, "localGb" => 200,
        "fetchGbPerS" => 1.0, "rate" => 12.0, "lowPrice" => 4.5, "readyS" => 45,
        "quarters" => ["a", "b"]
    }]}));
    let CloudResponse::Catalog(machine_types) = CloudRequest::Catalog.parse_response(200, &catalog)
    else {
        panic!("not a catalog");
    };
    assert_eq!(
        (machine_types[0].name.as_str(), machine_types[0].ready_s),
        ("g8", 45.0)
    );
    assert_eq!(machine_types[0].zones, ["a", "b"]);
    let listed = body(cbor!({"rigs" => [{
        "id" => "i-000231", "endpoint" => "10.1.0.232:9000", "build" => "g8", "quarter" => "a",
        "borrowed" => true, "stance" => "running", "ageS" => 61.5
    }], "hasNext" => false}));
    let CloudResponse::Page { machines, has_next } =
        (CloudRequest::List { after: None }).parse_response(200, &listed)
    else {
        panic!("not a list of machines");
    };
    assert!(!has_next && machines[0].spot);
    assert_eq!(
        (machines[0].id.as_str(), machines[0].age_s()),
        ("i-000231", 61.5)
    );
}
