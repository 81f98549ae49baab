//! Requests to the cloud and its responses.

use crate::controller::store::records::{Resources, ScaleOutRecord};
use crate::ids::MachineId;
use crate::wire::{Call, Num, decode, encode};
use serde::{Deserialize, Serialize};

/// Most machines that one page of the list holds.
const LIST_LIMIT: usize = 500;
/// The error of a pool that is exhausted.
const NO_CAPACITY: &str = "no capacity";
/// Least rate at which images are taken to be fetched, in GB a second: divisors aren't 0.
const FETCH_GB_S_MIN: f64 = 1e-3;
/// Shortest time until a new machine is ready, in seconds.
const READY_S_MIN: f64 = 1.0;

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// Which machine types there are.
    Catalog,
    /// Rent machines; repeated under the same name until it is answered.
    ScaleOut(ScaleOutRecord),
    /// Give machines back.
    Delete(Vec<MachineId>),
    /// A page of the rented machines.
    List {
        /// The last machine of the page before; nothing for the first page.
        after: Option<MachineId>,
    },
}

/// What the cloud answered.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudResponse {
    /// The machine types.
    Catalog(Vec<MachineType>),
    /// The machines that a request rented.
    ScaledOut(Vec<MachineId>),
    /// No capacity for this type, zone and kind.
    PoolExhausted,
    /// The machines were given back.
    Deleted,
    /// A page of the rented machines.
    Page {
        /// The machines on it.
        machines: Vec<ListedMachine>,
        /// Whether there is another page.
        has_next: bool,
    },
    /// 429, an outage, or an answer that makes no sense: ask again later.
    Unavailable,
    /// No answer came in time.
    NoResponse,
}

/// A machine type as the cloud describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// What a machine of it has for tasks.
    pub resources: Resources,
    /// Room for images, in GB.
    pub cache_gb: f64,
    /// How fast images are fetched, in GB a second.
    pub fetch_gb_s: f64,
    /// Price of a machine on demand.
    pub price: f64,
    /// Price of a spot machine.
    pub spot_price: f64,
    /// Usual time from the request until a machine is ready, in seconds.
    pub ready_s: f64,
    /// Zones that have it.
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

/// A rented machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListedMachine {
    /// The machine.
    pub id: String,
    /// Where its worker can be reached, once that is known.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// The machine's type.
    #[serde(rename = "build")]
    pub class: String,
    /// Its zone.
    #[serde(rename = "quarter")]
    pub zone: String,
    /// Whether the cloud may take it back.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// How far it has come.
    #[serde(rename = "stance")]
    pub status: MachineStatus,
    #[serde(rename = "ageS")]
    age: Num,
}

impl ListedMachine {
    /// For how many seconds the machine has been rented.
    pub fn age_s(&self) -> f64 {
        self.age.0
    }
}

/// How far a rented machine has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineStatus {
    /// It boots.
    Starting,
    /// It runs.
    Running,
    /// It won't run any more.
    Failed,
}

#[derive(Deserialize)]
struct RentedBody {
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
struct RentBody<'a> {
    #[serde(rename = "hire")]
    name: &'a str,
    #[serde(rename = "build")]
    class: &'a str,
    #[serde(rename = "quarter")]
    zone: &'a str,
    #[serde(rename = "borrowed")]
    spot: bool,
    #[serde(rename = "number")]
    count: u32,
}

impl<'a> From<&'a ScaleOutRecord> for RentBody<'a> {
    fn from(record: &'a ScaleOutRecord) -> Self {
        Self {
            name: &record.name,
            class: &record.class,
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
    /// The request as it goes onto the wire.
    pub fn to_call(&self) -> Call {
        match self {
            Self::Catalog => Call::get("/catalog"),
            Self::ScaleOut(record) => Call::post("/rentals", encode(&RentBody::from(record))),
            Self::Delete(machines) => {
                Call::post("/rentals/delete", encode(&DeleteBody { machines }))
            }
            Self::List { after: Some(id) } => {
                Call::get(format!("/rentals?after={id}&limit={LIST_LIMIT}"))
            }
            Self::List { after: None } => Call::get(format!("/rentals?limit={LIST_LIMIT}")),
        }
    }

    /// Makes sense of the answer to this request.
    pub fn parse_response(&self, status: u16, body: &[u8]) -> CloudResponse {
        let reply = match (self, status) {
            (Self::Catalog, 200) => read_catalog(body),
            (Self::ScaleOut(_), 200) => {
                decode(body).map(|body: RentedBody| CloudResponse::ScaledOut(body.machines))
            }
            (Self::ScaleOut(_), 503) if is_out_of_capacity(body) => {
                Some(CloudResponse::PoolExhausted)
            }
            (Self::Delete(_), 200) => Some(CloudResponse::Deleted),
            (Self::List { .. }, 200) => read_page(body),
            _ => None,
        };
        reply.unwrap_or(CloudResponse::Unavailable)
    }
}

fn read_catalog(body: &[u8]) -> Option<CloudResponse> {
    let body: CatalogBody = decode(body)?;
    let types = body.types.into_iter().map(MachineType::from);
    Some(CloudResponse::Catalog(types.collect()))
}

fn read_page(body: &[u8]) -> Option<CloudResponse> {
    let body: ListBody = decode(body)?;
    Some(CloudResponse::Page {
        machines: body.machines,
        has_next: body.has_next,
    })
}

fn is_out_of_capacity(body: &[u8]) -> bool {
    decode(body).is_some_and(|body: ErrorBody| body.error == NO_CAPACITY)
}
