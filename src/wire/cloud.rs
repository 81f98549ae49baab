//! Calls to the cloud and its answers.

use crate::controller::store::records::{Resources, ScaleOutRecord};
use crate::ids::MachineId;
use crate::wire::{Call, Num, decode, encode, get};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    Catalog,
    Rent(ScaleOutRecord),
    Delete(Vec<MachineId>),
    List { after: Option<MachineId> },
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudResponse {
    Catalog(Vec<MachineType>),
    Rented(Vec<MachineId>),
    /// No capacity for this type, zone and kind.
    PoolExhausted,
    Deleted,
    Page {
        machines: Vec<ListedMachine>,
        more: bool,
    },
    /// 429, an outage, or an answer that makes no sense: ask again later.
    Unavailable,
    NoResponse,
}

/// A machine type as the cloud describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    pub name: String,
    pub resources: Resources,
    pub cache_gb: f64,
    pub fetch_gb_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub ready_s: f64,
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct CatalogBody {
    builds: Vec<BuildBody>,
}

#[derive(Deserialize)]
struct BuildBody {
    name: String,
    cores: Num,
    accelerators: Num,
    #[serde(rename = "memGb")]
    mem_gb: Num,
    #[serde(rename = "localGb")]
    local_gb: Num,
    #[serde(rename = "fetchGbPerS")]
    fetch_gb_s: Num,
    rate: Num,
    #[serde(rename = "lowPrice")]
    low_price: Num,
    #[serde(rename = "readyS")]
    ready_s: Num,
    quarters: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListedMachine {
    pub id: String,
    #[serde(default)]
    pub endpoint: Option<String>,
    #[serde(rename = "build")]
    pub class: String,
    #[serde(rename = "quarter")]
    pub zone: String,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    #[serde(rename = "stance")]
    pub status: MachineStatus,
    #[serde(rename = "ageS")]
    age: Num,
}

impl ListedMachine {
    pub fn age_s(&self) -> f64 {
        self.age.0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineStatus {
    Starting,
    Running,
    Failed,
}

#[derive(Deserialize)]
struct RigsBody {
    rigs: Vec<MachineId>,
}

#[derive(Deserialize)]
struct ListBody {
    rigs: Vec<ListedMachine>,
    #[serde(rename = "hasNext", default)]
    has_next: bool,
}

#[derive(Serialize)]
struct RentalBody<'a> {
    #[serde(rename = "hire")]
    name: &'a str,
    build: &'a str,
    quarter: &'a str,
    borrowed: bool,
    number: u32,
}

#[derive(Serialize)]
struct DeleteBody<'a> {
    rigs: &'a [MachineId],
}

/// Most machines that one page of the list holds.
const LIST_LIMIT: usize = 500;

impl CloudRequest {
    pub fn call(&self) -> Call {
        let post = |path: &str, body| Call {
            method: "POST",
            path: path.into(),
            body: Some(body),
        };
        match self {
            Self::Catalog => get("/catalog".into()),
            Self::Rent(h) => post(
                "/rentals",
                encode(&RentalBody {
                    name: &h.name,
                    build: &h.class,
                    quarter: &h.zone,
                    borrowed: h.spot,
                    number: h.count,
                }),
            ),
            Self::Delete(rigs) => post("/rentals/delete", encode(&DeleteBody { rigs })),
            Self::List { after } => get(match after {
                Some(id) => format!("/rentals?after={id}&limit={LIST_LIMIT}"),
                None => format!("/rentals?limit={LIST_LIMIT}"),
            }),
        }
    }

    /// Makes sense of the answer to this request.
    pub fn reply(&self, status: u16, body: &[u8]) -> CloudResponse {
        let read = match (self, status) {
            (Self::Catalog, 200) => decode::<CatalogBody>(body).map(catalog),
            (Self::Rent(_), 200) => decode::<RigsBody>(body).map(|b| CloudResponse::Rented(b.rigs)),
            (Self::Rent(_), 503) if decode::<ErrorOwned>(body).is_some_and(|e| e.full()) => {
                Some(CloudResponse::PoolExhausted)
            }
            (Self::Delete(_), 200) => Some(CloudResponse::Deleted),
            (Self::List { .. }, 200) => decode::<ListBody>(body).map(|b| CloudResponse::Page {
                machines: b.rigs,
                more: b.has_next,
            }),
            _ => None,
        };
        read.unwrap_or(CloudResponse::Unavailable)
    }
}

#[derive(Deserialize)]
struct ErrorOwned {
    error: String,
}

impl ErrorOwned {
    fn full(&self) -> bool {
        self.error == "no capacity"
    }
}

fn catalog(body: CatalogBody) -> CloudResponse {
    let classes = body.builds.into_iter().map(|b| MachineType {
        name: b.name,
        resources: Resources {
            cpus: b.cores.0,
            gpus: b.accelerators.0,
            mem: b.mem_gb.0,
        },
        cache_gb: b.local_gb.0,
        fetch_gb_s: b.fetch_gb_s.0.max(1e-3),
        price: b.rate.0,
        spot_price: b.low_price.0,
        ready_s: b.ready_s.0.max(1.0),
        zones: b.quarters,
    });
    CloudResponse::Catalog(classes.collect())
}
