//! Watches of the store: long-poll requests for the changes of keys with a given prefix.

use super::bodies::{EventBody, EventsBody};
use crate::hollow::request::{Query, Response};
use ciborium::Value;
use salttrestle::wire;
use salttrestle_fakes::store::{Change, Store};
use std::rc::Rc;

/// Maximum wait of a watch, in milliseconds. Longer waits are shortened to this.
const WATCH_WAIT_MAX_MS: u64 = 60_000;

/// Parameters of a watch.
pub(super) struct WatchRequest<'a> {
    pub(super) prefix: &'a str,
    /// The watch returns changes after this revision.
    pub(super) after_revision: u64,
    /// How long the watch waits for a change; 0 for an immediate answer.
    pub(super) wait_ms: u64,
}

impl<'a> WatchRequest<'a> {
    pub(super) fn parse(query: Query<'a>) -> Self {
        Self {
            prefix: query.text("prefix").unwrap_or(""),
            after_revision: query.number("after").unwrap_or(0),
            wait_ms: query.number("blockMs").unwrap_or(0).min(WATCH_WAIT_MAX_MS),
        }
    }
}

/// A registered watch that waits for a change.
pub(super) struct PendingWatch {
    pub(super) connection: usize,
    pub(super) prefix: String,
    pub(super) after_revision: u64,
    pub(super) deadline_ms: u64,
}

/// Returns the response to a watch: the changes after a revision, or status 410 if these are no
/// longer kept. Returns `None` if there is no change.
pub(super) fn changes_response(
    store: &Store<Rc<Value>>,
    prefix: &str,
    after_revision: u64,
) -> Option<Response> {
    let Some(changes) = store.changes_after(after_revision) else {
        return Some(Response::error(410, "too old"));
    };
    let matching = changes
        .iter()
        .filter(|change| change.path.starts_with(prefix));
    let events: Vec<EventBody> = matching.map(to_event_body).collect();
    if events.is_empty() {
        return None;
    }
    Some(encode_events(store, events))
}

/// Returns the response without changes, to a watch that has timed out or doesn't wait.
pub(super) fn empty_response(store: &Store<Rc<Value>>) -> Response {
    encode_events(store, Vec::new())
}

fn encode_events(store: &Store<Rc<Value>>, events: Vec<EventBody>) -> Response {
    let revision = store.revision;
    Response::ok(wire::encode(&EventsBody { revision, events }))
}

fn to_event_body(change: &Change<Rc<Value>>) -> EventBody<'_> {
    let revision = change.revision;
    match &change.value {
        Some(value) => EventBody::Put {
            put: &change.path,
            data: value,
            revision,
        },
        None => EventBody::Delete {
            delete: &change.path,
            revision,
        },
    }
}
