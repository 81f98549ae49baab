//! Requests to the cloud's API, and the responses.

use crate::controller::store::records::{Resources, ScaleOutRecord};
use crate::ids::MachineId;
use crate::wire::{Call, Num, decode, encode};
use serde::{Deserialize, Serialize};

/// Maximum number of machines on one page of the machine list.
const PAGE_MACHINES_MAX: usize = 500;
/// The `error` in the body of a 503 that means that the pool is exhausted.
const NO_CAPACITY_ERROR: &str = "no capacity";
/// Lower bound on the rate at which images are fetched, in GB per second. It prevents division by
/// 0.
const FETCH_GB_S_MIN: f64 = 1e-3;
/// Lower bound on the usual boot time of a machine type, in seconds.
const READY_S_MIN: f64 = 1.0;

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// Lists the machine types.
    Catalog,
    /// Rents machines. The request is repeated with the same name, its idempotency key, until the
    /// cloud responds.
    ScaleOut(ScaleOutRecord),
    /// Deletes machines.
    Delete(Vec<MachineId>),
    /// Reads a page of the rented machines.
    List {
        /// The last machine of the previous page, or `None` for the first page.
        after: Option<MachineId>,
    },
}

/// The outcome of a request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudResponse {
    /// The machine types that the cloud offers.
    Catalog(Vec<MachineType>),
    /// The machines that a scale-out request rented.
    ScaledOut(Vec<MachineId>),
    /// The cloud has no capacity for this machine type in this zone, as spot or on demand.
    PoolExhausted,
    /// The machines were deleted.
    Deleted,
    /// A page of the rented machines.
    Page {
        /// The machines on the page.
        machines: Vec<ListedMachine>,
        /// Whether there is another page.
        has_next: bool,
    },
    /// The request failed and is retried later: the cloud responded with 429, had an outage, or
    /// sent another unexpected status or body.
    Unavailable,
    /// No response arrived in time. The cloud may have executed the request.
    NoResponse,
}

/// A machine type of the cloud's catalog.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Name of the machine type.
    pub name: String,
    /// Resources that one machine offers to tasks.
    pub resources: Resources,
    /// Size of the machine's image cache, in GB.
    pub cache_gb: f64,
    /// Rate at which the machine fetches images, in GB per second.
    pub fetch_gb_s: f64,
    /// Price of an on-demand machine.
    pub price: f64,
    /// Price of a spot machine.
    pub spot_price: f64,
    /// Usual time from the scale-out request until the machine is ready, in seconds.
    pub ready_s: f64,
    /// Zones that offer the machine type.
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct CatalogBody {
    #[serde(rename = "builds")]
    types: Vec<MachineTypeBody>,
}

#[derive(Deserialize)]
struct MachineTypeBody {
    name: String,
    #[serde(rename = "cores")]
    cpus: Num,
    #[serde(rename = "accelerators")]
    gpus: Num,
    #[serde(rename = "memGb")]
    mem_gb: Num,
    #[serde(rename = "localGb")]
    cache_gb: Num,
    #[serde(rename = "fetchGbPerS")]
    fetch_gb_s: Num,
    #[serde(rename = "rate")]
    price: Num,
    #[serde(rename = "lowPrice")]
    spot_price: Num,
    #[serde(rename = "readyS")]
    ready_s: Num,
    #[serde(rename = "quarters")]
    zones: Vec<String>,
}

impl From<MachineTypeBody> for MachineType {
    fn from(body: MachineTypeBody) -> Self {
        Self {
            name: body.name,
            resources: Resources {
                cpus: body.cpus.0,
                gpus: body.gpus.0,
                mem: body.mem_gb.0,
            },
            cache_gb: body.cache_gb.0,
            fetch_gb_s: body.fetch_gb_s.0.max(FETCH_GB_S_MIN),
            price: body.price.0,
            spot_price: body.spot_price.0,
            ready_s: body.ready_s.0.max(READY_S_MIN),
            zones: body.zones,
        }
    }
}

/// A rented machine, as the cloud lists it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListedMachine {
    /// Id of the machine.
    pub id: String,
    /// Address of the machine's worker, once the cloud knows it.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub type_name: String,
    /// Zone of the machine.
    #[serde(rename = "quarter")]
    pub zone: String,
    /// Whether this is a spot machine, which the cloud may preempt.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// State of the machine.
    #[serde(rename = "stance")]
    pub status: MachineStatus,
    #[serde(rename = "ageS")]
    age_s: Num,
}

impl ListedMachine {
    /// Time since the machine was rented, in seconds.
    pub fn age_s(&self) -> f64 {
        self.age_s.0
    }
}

/// State of a rented machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineStatus {
    /// The machine is booting.
    Starting,
    /// The machine is running.
    Running,
    /// The machine has failed and won't run again.
    Failed,
}

#[derive(Deserialize)]
struct ScaledOutBody {
    #[serde(rename = "rigs")]
    machines: Vec<MachineId>,
}

#[derive(Deserialize)]
struct ListBody {
    #[serde(rename = "rigs")]
    machines: Vec<ListedMachine>,
    #[serde(rename = "hasNext", default)]
    has_next: bool,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: String,
}

#[derive(Serialize)]
struct ScaleOutBody<'a> {
    #[serde(rename = "hire")]
    name: &'a str,
    #[serde(rename = "build")]
    type_name: &'a str,
    #[serde(rename = "quarter")]
    zone: &'a str,
    #[serde(rename = "borrowed")]
    spot: bool,
    #[serde(rename = "number")]
    count: u32,
}

impl<'a> From<&'a ScaleOutRecord> for ScaleOutBody<'a> {
    fn from(record: &'a ScaleOutRecord) -> Self {
        Self {
            name: &record.name,
            type_name: &record.class,
            zone: &record.zone,
            spot: record.spot,
            count: record.count,
        }
    }
}

#[derive(Serialize)]
struct DeleteBody<'a> {
    #[serde(rename = "rigs")]
    machines: &'a [MachineId],
}

impl CloudRequest {
    /// Returns the HTTP request.
    pub fn to_call(&self) -> Call {
        match self {
            Self::Catalog => Call::get("/catalog"),
            Self::ScaleOut(record) => Call::post("/rentals", encode(&ScaleOutBody::from(record))),
            Self::Delete(machines) => {
                Call::post("/rentals/delete", encode(&DeleteBody { machines }))
            }
            Self::List { after: Some(id) } => {
                Call::get(format!("/rentals?after={id}&limit={PAGE_MACHINES_MAX}"))
            }
            Self::List { after: None } => Call::get(format!("/rentals?limit={PAGE_MACHINES_MAX}")),
        }
    }

    /// Interprets the HTTP response to this request. A response with an unexpected status or body
    /// gives [`CloudResponse::Unavailable`].
    pub fn parse_response(&self, status: u16, body: &[u8]) -> CloudResponse {
        let response = match (self, status) {
            (Self::Catalog, 200) => parse_catalog(body),
            (Self::ScaleOut(_), 200) => {
                decode(body).map(|body: ScaledOutBody| CloudResponse::ScaledOut(body.machines))
            }
            (Self::ScaleOut(_), 503) if is_out_of_capacity(body) => {
                Some(CloudResponse::PoolExhausted)
            }
            (Self::Delete(_), 200) => Some(CloudResponse::Deleted),
            (Self::List { .. }, 200) => parse_page(body),
            _ => None,
        };
        response.unwrap_or(CloudResponse::Unavailable)
    }
}

fn parse_catalog(body: &[u8]) -> Option<CloudResponse> {
    let body: CatalogBody = decode(body)?;
    let types = body.types.into_iter().map(MachineType::from);
    Some(CloudResponse::Catalog(types.collect()))
}

fn parse_page(body: &[u8]) -> Option<CloudResponse> {
    let body: ListBody = decode(body)?;
    Some(CloudResponse::Page {
        machines: body.machines,
        has_next: body.has_next,
    })
}

fn is_out_of_capacity(body: &[u8]) -> bool {
    decode(body).is_some_and(|body: ErrorBody| body.error == NO_CAPACITY_ERROR)
}
