//! Tests that the limit observer can read the quota shares in the shard records that controllers
//! store.

use ciborium::Value;
use salttrestle::controller::store::records::ShardRecord;
use salttrestle::ids::{ControllerId, FencingToken};
use salttrestle_scale::observers::ShardView;

#[test]
fn shard_view_when_quota_shares_are_stored_then_reads_them() {
    let quota_shares = [(String::from("team-0"), (8.0, 2.0))].into();
    let record = ShardRecord {
        owner: ControllerId::from("north-0"),
        incarnation: 1,
        token: FencingToken(3),
        machines: None,
        quota_shares: Some(quota_shares),
    };
    let stored = Value::serialized(&record).expect("a shard record can be encoded");
    let view: ShardView = stored
        .deserialized()
        .expect("the view can be decoded from a shard record");
    assert_eq!(view.quota_shares, record.quota_shares);
}
