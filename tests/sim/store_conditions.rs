//! The preconditions that every transaction must have, and the keys that its records must have.
//! Some preconditions overlap, so that a missing one doesn't change the outcome of any run.

use salttrestle::controller::store::chunks::ChunkLayout;
use salttrestle::controller::store::records::{Key, Record};
use salttrestle::wire::Write;

/// Reports placement records with a part size under the number of a chunk, or without one under the
/// number of a part.
pub(crate) fn misnamed_parts(writes: &[Write]) -> Vec<String> {
    let misnamed = writes.iter().filter_map(|write| match write {
        Write::Put {
            key: Key::Placements(id, chunk),
            record: Record::Placements(run),
            ..
        } if run.part_size.is_some() != ChunkLayout::is_part(*chunk) => Some(format!(
            "placement record under the wrong kind of key: job={id} chunk={chunk} part_size={:?}",
            run.part_size
        )),
        _ => None,
    });
    misnamed.collect()
}

/// Reports the writes of a transaction that lack a required precondition.
pub(crate) fn unconditional_writes(preconditions: &[(Key, u64)], writes: &[Write]) -> Vec<String> {
    let lacking = writes
        .iter()
        .filter(|write| !is_conditional(preconditions, write));
    let lacking = lacking.map(|write| {
        let (Write::Put { key, .. } | Write::Delete { key }) = write;
        format!("write lacks a required precondition: key={key}")
    });
    lacking.collect()
}

fn is_conditional(preconditions: &[(Key, u64)], write: &Write) -> bool {
    let is_conditional_on =
        |wanted: &dyn Fn(&Key) -> bool| preconditions.iter().any(|(key, _)| wanted(key));
    let has_shard = is_conditional_on(&|key| matches!(key, Key::Shard(_)));
    let has_leader = is_conditional_on(&|key| *key == Key::Leader);
    let (key, is_put) = match write {
        Write::Put { key, .. } => (key, true),
        Write::Delete { key } => (key, false),
    };
    let has_own_key = is_conditional_on(&|other| other == key);
    match (key, is_put) {
        (Key::Placements(id, _), true) => {
            has_own_key && has_shard && is_conditional_on(&|key| *key == Key::Job(id.clone()))
        }
        (Key::Placements(..), false) => has_shard,
        (Key::Job(_), true) => has_own_key,
        (Key::Job(id), false) => {
            has_own_key && has_shard && is_conditional_on(&|key| *key == Key::End(id.clone()))
        }
        (Key::End(id), true) => {
            has_own_key && has_shard && is_conditional_on(&|key| *key == Key::Job(id.clone()))
        }
        (Key::Shard(_) | Key::FencingToken, true) => has_own_key && has_leader,
        (Key::Leader | Key::StatusAge(_), true) => has_own_key,
        (Key::Plan, true) => has_leader,
        _ => false,
    }
}
