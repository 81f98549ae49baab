//! Bodies of the store's requests and responses. Serde attributes map fields to the names of the
//! protocol.

use ciborium::Value;
use salttrestle::controller::store::records::LimitsByTeam;
use serde::{Deserialize, Serialize};

#[derive(Serialize)]
pub(super) struct LimitsBody<'a> {
    pub(super) teams: &'a LimitsByTeam,
}

#[derive(Deserialize)]
pub(super) struct CommitBody {
    #[serde(rename = "when", default)]
    pub(super) preconditions: Vec<PreconditionBody>,
    #[serde(default)]
    pub(super) writes: Vec<WriteBody>,
}

#[derive(Deserialize)]
pub(super) struct PreconditionBody {
    pub(super) path: String,
    #[serde(rename = "mark")]
    pub(super) revision: u64,
}

#[derive(Deserialize)]
pub(super) struct WriteBody {
    #[serde(rename = "write")]
    pub(super) put: Option<String>,
    pub(super) data: Option<Value>,
    #[serde(rename = "hold")]
    pub(super) lease: Option<u64>,
    pub(super) delete: Option<String>,
}

#[derive(Deserialize)]
pub(super) struct LeaseRequestBody {
    #[serde(rename = "ttlMs")]
    pub(super) ttl_ms: u64,
}

#[derive(Serialize)]
pub(super) struct RevisionBody {
    #[serde(rename = "ledger")]
    pub(super) revision: u64,
}

#[derive(Serialize)]
pub(super) struct ConflictBody {
    pub(super) failed: Vec<String>,
    #[serde(rename = "ledger")]
    pub(super) revision: u64,
}

#[derive(Serialize)]
pub(super) struct LeaseBody {
    #[serde(rename = "hold")]
    pub(super) lease: u64,
}

#[derive(Serialize)]
pub(super) struct EntryBody<'a> {
    pub(super) path: &'a str,
    pub(super) data: &'a Value,
    #[serde(rename = "mark")]
    pub(super) revision: u64,
}

#[derive(Serialize)]
pub(super) struct PageBody<'a> {
    pub(super) entries: Vec<EntryBody<'a>>,
    #[serde(rename = "hasNext")]
    pub(super) has_next: bool,
    #[serde(rename = "ledger")]
    pub(super) revision: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
pub(super) enum EventBody<'a> {
    Put {
        #[serde(rename = "write")]
        put: &'a str,
        data: &'a Value,
        #[serde(rename = "mark")]
        revision: u64,
    },
    Delete {
        delete: &'a str,
        #[serde(rename = "mark")]
        revision: u64,
    },
}

#[derive(Serialize)]
pub(super) struct EventsBody<'a> {
    #[serde(rename = "ledger")]
    pub(super) revision: u64,
    #[serde(rename = "news")]
    pub(super) events: Vec<EventBody<'a>>,
}
