//! The cloud over HTTP: the shared stand-in behind the protocol's requests.

use salttrestle::controller::store::records::ScaleOutRecord;
use salttrestle::http::Message;
use salttrestle::ids::MachineId;
use salttrestle::wire::{self, CloudOp, CloudReply, Listed, MachineStatus, MachineType};
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
struct RentalBody {
    #[serde(rename = "hire")]
    name: String,
    #[serde(rename = "build")]
    class: String,
    #[serde(rename = "quarter")]
    zone: String,
    #[serde(rename = "borrowed")]
    spot: bool,
    number: u32,
}

#[derive(Deserialize)]
struct DeleteBody {
    rigs: Vec<MachineId>,
}

#[derive(Serialize)]
struct CatalogBody<'a> {
    builds: Vec<TypeBody<'a>>,
}

#[derive(Serialize)]
struct TypeBody<'a> {
    name: &'a str,
    cores: f64,
    accelerators: f64,
    #[serde(rename = "memGb")]
    mem_gb: f64,
    #[serde(rename = "localGb")]
    local_gb: f64,
    #[serde(rename = "fetchGbPerS")]
    fetch_gb_s: f64,
    rate: f64,
    #[serde(rename = "lowPrice")]
    low_price: f64,
    #[serde(rename = "readyS")]
    ready_s: f64,
    quarters: &'a [String],
}

#[derive(Serialize)]
struct RentedBody<'a> {
    rigs: &'a [MachineId],
}

#[derive(Serialize)]
struct ListBody<'a> {
    rigs: Vec<MachineBody<'a>>,
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
    state: &'static str,
    #[serde(rename = "ageS")]
    age_s: f64,
}

/// What a request asks; `None` if it is malformed.
pub fn read_request(request: &Message) -> Option<CloudOp> {
    let (path, query) = match request.start[1].split_once('?') {
        Some((path, query)) => (path, query),
        None => (request.start[1].as_str(), ""),
    };
    match (request.start[0].as_str(), path) {
        ("GET", "/catalog") => Some(CloudOp::Catalog),
        ("GET", "/rentals") => {
            let mut pairs = query.split('&');
            let after = pairs.find_map(|pair| pair.strip_prefix("after="));
            let after = after.map(MachineId::from);
            Some(CloudOp::List { after })
        }
        ("POST", "/rentals") => {
            let body: RentalBody = wire::decode(&request.body)?;
            Some(CloudOp::Rent(ScaleOutRecord {
                name: body.name,
                class: body.class,
                zone: body.zone,
                spot: body.spot,
                count: body.number,
            }))
        }
        ("POST", "/rentals/delete") => {
            let body: DeleteBody = wire::decode(&request.body)?;
            Some(CloudOp::Delete(body.rigs))
        }
        _ => None,
    }
}

/// The answer as it goes onto the wire.
pub fn write_answer(reply: &CloudReply) -> (u16, Vec<u8>) {
    match reply {
        CloudReply::Catalog(types) => {
            let builds = types.iter().map(type_body).collect();
            (200, wire::encode(&CatalogBody { builds }))
        }
        CloudReply::Rented(rigs) => (200, wire::encode(&RentedBody { rigs })),
        CloudReply::Refused => (503, wire::error_body("no capacity")),
        CloudReply::Deleted => (200, Vec::new()),
        CloudReply::Page { machines, more } => {
            let rigs = machines.iter().map(machine_body).collect();
            let has_next = *more;
            (200, wire::encode(&ListBody { rigs, has_next }))
        }
        CloudReply::Trouble | CloudReply::NoAnswer => (503, wire::error_body("trouble")),
    }
}

fn type_body(class: &MachineType) -> TypeBody<'_> {
    TypeBody {
        name: &class.name,
        cores: class.resources.cpus,
        accelerators: class.resources.gpus,
        mem_gb: class.resources.mem,
        local_gb: class.cache_gb,
        fetch_gb_s: class.fetch_gb_s,
        rate: class.price,
        low_price: class.spot_price,
        ready_s: class.ready_s,
        quarters: &class.zones,
    }
}

fn machine_body(machine: &Listed) -> MachineBody<'_> {
    MachineBody {
        id: &machine.id,
        endpoint: machine.endpoint.as_deref(),
        class: &machine.class,
        zone: &machine.zone,
        spot: machine.spot,
        state: match machine.status {
            MachineStatus::Starting => "starting",
            MachineStatus::Running => "running",
            MachineStatus::Failed => "failed",
        },
        age_s: machine.age_s(),
    }
}
