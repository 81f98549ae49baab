//! What every transaction must be conditional on, and how its records must be named. Some of these
//! conditions overlap, so that no run shows by its outcome that one of them is missing.

use salttrestle::controller::store::chunks::ChunkLayout;
use salttrestle::controller::store::records::{Key, Record};
use salttrestle::wire::Write;

/// Records that say of themselves that they are parts under the number of a chunk, or the reverse.
pub(crate) fn misnamed_parts(writes: &[Write]) -> Vec<String> {
    let misnamed = writes.iter().filter_map(|write| match write {
        Write::Put {
            key: Key::Placements(id, chunk),
            record: Record::Placements(run),
            ..
        } if run.part_size.is_some() != ChunkLayout::is_part(*chunk) => Some(format!(
            "chunk {chunk} of {id} has part {:?}",
            run.part_size
        )),
        _ => None,
    });
    misnamed.collect()
}

/// Writes that a transaction makes without a condition on what they rest on.
pub(crate) fn unconditional(preconditions: &[(Key, u64)], writes: &[Write]) -> Vec<String> {
    let lacking = writes
        .iter()
        .filter(|write| !is_conditional(preconditions, write));
    let lacking = lacking.map(|write| {
        let (Write::Put { key, .. } | Write::Delete { key }) = write;
        format!("{key} is written without a condition that it rests on")
    });
    lacking.collect()
}

fn is_conditional(preconditions: &[(Key, u64)], write: &Write) -> bool {
    let on = |wanted: &dyn Fn(&Key) -> bool| preconditions.iter().any(|(key, _)| wanted(key));
    let shard = on(&|key| matches!(key, Key::Shard(_)));
    let leader = on(&|key| *key == Key::Leader);
    let (key, put) = match write {
        Write::Put { key, .. } => (key, true),
        Write::Delete { key } => (key, false),
    };
    let itself = on(&|other| other == key);
    match (key, put) {
        (Key::Placements(id, _), true) => {
            itself && shard && on(&|key| *key == Key::Job(id.clone()))
        }
        (Key::Placements(..), false) => shard,
        (Key::Job(_), true) => itself,
        (Key::Job(id), false) => itself && shard && on(&|key| *key == Key::End(id.clone())),
        (Key::End(id), true) => itself && shard && on(&|key| *key == Key::Job(id.clone())),
        (Key::Shard(_) | Key::FencingToken, true) => itself && leader,
        (Key::Leader, true) => itself,
        (Key::Plan, true) => leader,
        _ => false,
    }
}
