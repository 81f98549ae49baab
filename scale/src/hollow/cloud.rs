//! The cloud of one cell: decodes requests, and encodes the responses of a fake cloud that offers a
//! single machine type.

use super::plan::CellPlan;
use super::request::{Response, StartLine};
use crate::controllers::CLOUD_LIST_LAG;
use salttrestle::controller::store::records::{Resources, ScaleOutRecord};
use salttrestle::http::Message;
use salttrestle::ids::MachineId;
use salttrestle::wire::{
    self, CloudRequest, CloudResponse, ListedMachine, MachineStatus, MachineType,
};
use salttrestle_fakes::cloud::Cloud;
use serde::{Deserialize, Serialize};

/// Name of the only machine type that the cloud offers.
pub(super) const MACHINE_TYPE: &str = "hollow-rig";
/// Price of a machine per hour, on demand and spot. The experiments don't depend on it.
const PRICE_PER_H: f64 = 10.0;
/// Size of a machine's image cache, in GB.
const CACHE_GB: f64 = 200.0;
/// Rate at which a machine fetches images, in GB/s.
const FETCH_GB_S: f64 = 5.0;

#[derive(Deserialize)]
struct ScaleOutBody {
    #[serde(rename = "hire")]
    name: String,
    #[serde(rename = "build")]
    class: String,
    #[serde(rename = "quarter")]
    zone: String,
    #[serde(rename = "borrowed")]
    spot: bool,
    #[serde(rename = "number")]
    count: u32,
}

#[derive(Deserialize)]
struct DeleteBody {
    #[serde(rename = "rigs")]
    machines: Vec<MachineId>,
}

#[derive(Serialize)]
struct CatalogBody<'a> {
    #[serde(rename = "builds")]
    types: Vec<TypeBody<'a>>,
}

#[derive(Serialize)]
struct TypeBody<'a> {
    name: &'a str,
    #[serde(rename = "cores")]
    cpus: f64,
    #[serde(rename = "accelerators")]
    gpus: f64,
    #[serde(rename = "memGb")]
    mem_gb: f64,
    #[serde(rename = "localGb")]
    cache_gb: f64,
    #[serde(rename = "fetchGbPerS")]
    fetch_gb_s: f64,
    #[serde(rename = "rate")]
    price: f64,
    #[serde(rename = "lowPrice")]
    spot_price: f64,
    #[serde(rename = "readyS")]
    ready_s: f64,
    #[serde(rename = "quarters")]
    zones: &'a [String],
}

#[derive(Serialize)]
struct ScaledOutBody<'a> {
    #[serde(rename = "rigs")]
    machines: &'a [MachineId],
}

#[derive(Serialize)]
struct ListBody<'a> {
    #[serde(rename = "rigs")]
    machines: Vec<MachineBody<'a>>,
    #[serde(rename = "hasNext")]
    has_next: bool,
}

#[derive(Serialize)]
struct MachineBody<'a> {
    id: &'a str,
    endpoint: Option<&'a str>,
    #[serde(rename = "build")]
    class: &'a str,
    #[serde(rename = "quarter")]
    zone: &'a str,
    #[serde(rename = "borrowed")]
    spot: bool,
    #[serde(rename = "stance")]
    status: &'static str,
    #[serde(rename = "ageS")]
    age_s: f64,
}

/// Builds a cell's fake cloud, whose spare capacity is spread evenly over the zones.
pub(super) fn new_cloud(plan: &CellPlan) -> Cloud {
    let [cpus, gpus, mem] = plan.service.machine_resources;
    let machine_type = MachineType {
        name: MACHINE_TYPE.into(),
        resources: Resources { cpus, gpus, mem },
        cache_gb: CACHE_GB,
        fetch_gb_s: FETCH_GB_S,
        price: PRICE_PER_H,
        spot_price: PRICE_PER_H,
        ready_s: plan.service.boot_s,
        zones: plan.zones.clone(),
    };
    let (spare, zones) = (plan.spare_machines, plan.zones.len() as u32);
    let capacity = plan.zones.iter().enumerate().map(|(index, zone)| {
        let remainder = u32::from((index as u32) < spare % zones);
        let pool = (MACHINE_TYPE.to_string(), zone.clone(), false);
        (pool, spare / zones + remainder)
    });
    Cloud {
        catalog: vec![machine_type],
        capacity: capacity.collect(),
        list_lag_ms: CLOUD_LIST_LAG.as_millis() as u64,
        ..Cloud::default()
    }
}

/// Decodes a request; `None` if it is malformed or its path is unknown.
pub(super) fn decode_request(request: &Message) -> Option<CloudRequest> {
    let start = StartLine::parse(request);
    match (start.method, start.path) {
        ("GET", "/catalog") => Some(CloudRequest::Catalog),
        ("GET", "/rentals") => {
            let after = start.query.text("after").map(MachineId::from);
            Some(CloudRequest::List { after })
        }
        ("POST", "/rentals") => {
            let body: ScaleOutBody = wire::decode(&request.body)?;
            Some(CloudRequest::ScaleOut(ScaleOutRecord {
                name: body.name,
                class: body.class,
                zone: body.zone,
                spot: body.spot,
                count: body.count,
            }))
        }
        ("POST", "/rentals/delete") => {
            let body: DeleteBody = wire::decode(&request.body)?;
            Some(CloudRequest::Delete(body.machines))
        }
        _ => None,
    }
}

/// Encodes a response with the status and the body of the cloud's protocol.
pub(super) fn encode_response(response: &CloudResponse) -> Response {
    match response {
        CloudResponse::Catalog(types) => {
            let types = types.iter().map(type_body).collect();
            Response::ok(wire::encode(&CatalogBody { types }))
        }
        CloudResponse::ScaledOut(machines) => {
            Response::ok(wire::encode(&ScaledOutBody { machines }))
        }
        CloudResponse::PoolExhausted => Response::error(503, "no capacity"),
        CloudResponse::Deleted => Response::ok(Vec::new()),
        CloudResponse::Page { machines, has_next } => Response::ok(wire::encode(&ListBody {
            machines: machines.iter().map(machine_body).collect(),
            has_next: *has_next,
        })),
        CloudResponse::Unavailable | CloudResponse::NoResponse => Response::error(503, "trouble"),
    }
}

fn type_body(machine_type: &MachineType) -> TypeBody<'_> {
    TypeBody {
        name: &machine_type.name,
        cpus: machine_type.resources.cpus,
        gpus: machine_type.resources.gpus,
        mem_gb: machine_type.resources.mem,
        cache_gb: machine_type.cache_gb,
        fetch_gb_s: machine_type.fetch_gb_s,
        price: machine_type.price,
        spot_price: machine_type.spot_price,
        ready_s: machine_type.ready_s,
        zones: &machine_type.zones,
    }
}

fn machine_body(machine: &ListedMachine) -> MachineBody<'_> {
    MachineBody {
        id: &machine.id,
        endpoint: machine.endpoint.as_deref(),
        class: &machine.type_name,
        zone: &machine.zone,
        spot: machine.spot,
        status: match machine.status {
            MachineStatus::Starting => "starting",
            MachineStatus::Running => "running",
            MachineStatus::Failed => "failed",
        },
        age_s: machine.age_s(),
    }
}
