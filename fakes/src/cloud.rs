//! Test double of the cloud: rents, lists and deletes machines. Its list lags behind.

use ciborium::cbor;
use salttrestle::controller::store::records::ScaleOutRecord;
use salttrestle::ids::MachineId;
use salttrestle::wire::{CloudRequest, CloudResponse, ListedMachine, MachineType};
use std::collections::BTreeMap;

/// Largest number of machines in one page of the list.
const PAGE_MACHINES_MAX: usize = 500;
/// Boot time of a machine whose type isn't in the catalog, in milliseconds.
const UNKNOWN_BOOT_MS: u64 = 1000;
/// Shortest boot time while boots are fast, in milliseconds.
const FAST_BOOT_MS: u64 = 200;
/// A fast boot takes less than this much longer than [`FAST_BOOT_MS`], in milliseconds.
const FAST_BOOT_SPREAD_MS: u64 = 1800;

/// A rented machine. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct RentedMachine {
    /// The machine's type.
    pub class: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// When the machine was rented.
    pub rented_at: u64,
    /// When the machine comes up; `None` if it never does.
    pub up_at: Option<u64>,
    /// When the list begins to show the machine as failed. A dead machine is listed as running
    /// until then.
    pub listed_failed_at: Option<u64>,
    /// When the machine was deleted or preempted.
    pub gone_at: Option<u64>,
}

impl RentedMachine {
    /// Whether a list as of `at` has the machine.
    fn is_listed(&self, at: u64) -> bool {
        self.rented_at <= at && self.gone_at.is_none_or(|gone_at| gone_at > at)
    }

    /// The machine's status in a list as of `at`.
    fn status(&self, at: u64) -> &'static str {
        match (self.listed_failed_at, self.up_at) {
            (Some(failed_at), _) if failed_at <= at => "failed",
            (_, Some(up_at)) if up_at <= at => "running",
            _ => "starting",
        }
    }
}

/// A fault by which boots take longer than usual.
#[derive(Clone, Debug)]
pub struct SlowBoots {
    /// Factor on the usual boot time.
    pub factor: f64,
    /// The fault affects machines that are rented before this time, in milliseconds.
    pub until: u64,
    /// The machine type that the fault affects; `None` for all types.
    pub machine_type: Option<String>,
}

impl SlowBoots {
    fn applies_to(&self, now: u64, machine_type: &str) -> bool {
        let only = self.machine_type.as_ref();
        now < self.until && only.is_none_or(|only| only == machine_type)
    }
}

/// The cloud. Times are in milliseconds.
#[derive(Default)]
pub struct Cloud {
    /// The machine types that can be rented.
    pub catalog: Vec<MachineType>,
    /// Every machine that was ever rented, by id.
    pub machines: BTreeMap<String, RentedMachine>,
    /// The machines that each scale-out request rented, by the request's name.
    pub scale_out_answers: BTreeMap<String, Vec<MachineId>>,
    /// Number of machines that can still be rented, by type, zone, and whether they are spot
    /// machines.
    pub capacity: BTreeMap<(String, String, bool), u32>,
    /// Whether the cloud answers every request with [`CloudResponse::Unavailable`].
    pub is_down: bool,
    /// How old the state is that the list of machines shows.
    pub list_lag_ms: u64,
    /// How many of the next rented machines never come up.
    pub failing_boots_left: u32,
    /// Machines that are rented before this time are up within two seconds.
    pub fast_boots_until: u64,
    /// The fault that makes boots slow, if it is active.
    pub slow_boots: Option<SlowBoots>,
}

impl Cloud {
    /// Adds a machine that comes up at `up_at`, or never, and returns its id.
    pub fn add_machine(
        &mut self,
        now: u64,
        class: &str,
        zone: &str,
        spot: bool,
        up_at: Option<u64>,
    ) -> MachineId {
        let id = format!("i-{:06}", self.machines.len());
        let machine = RentedMachine {
            class: class.into(),
            zone: zone.into(),
            spot,
            rented_at: now,
            up_at,
            listed_failed_at: None,
            gone_at: None,
        };
        self.machines.insert(id.clone(), machine);
        MachineId::from(id.as_str())
    }

    /// Executes a request. Returns the response and the ids of the machines that it deleted.
    pub fn execute(&mut self, now: u64, request: &CloudRequest) -> (CloudResponse, Vec<String>) {
        if self.is_down {
            return (CloudResponse::Unavailable, Vec::new());
        }
        match request {
            CloudRequest::Catalog => (CloudResponse::Catalog(self.catalog.clone()), Vec::new()),
            CloudRequest::ScaleOut(request) => (self.rent_machines(now, request), Vec::new()),
            CloudRequest::Delete(ids) => (CloudResponse::Deleted, self.delete_machines(now, ids)),
            CloudRequest::List { after } => (self.list_machines(now, after.as_ref()), Vec::new()),
        }
    }

    /// Rents the requested machines, or fewer if the pool has fewer left. A request that is
    /// repeated under the same name gets the same response again.
    fn rent_machines(&mut self, now: u64, request: &ScaleOutRecord) -> CloudResponse {
        if let Some(machines) = self.scale_out_answers.get(&request.name) {
            return CloudResponse::ScaledOut(machines.clone());
        }
        let pool = (request.class.clone(), request.zone.clone(), request.spot);
        let free = self.capacity.entry(pool).or_default();
        let count = (*free).min(request.count);
        if count == 0 {
            return CloudResponse::PoolExhausted;
        }
        *free -= count;
        let boot_ms = self.boot_ms(now, &request.class);
        let machines = (0..count).map(|_| {
            let fails = self.failing_boots_left > 0;
            self.failing_boots_left = self.failing_boots_left.saturating_sub(1);
            let up_at = (!fails).then_some(now + boot_ms);
            self.add_machine(now, &request.class, &request.zone, request.spot, up_at)
        });
        let machines: Vec<MachineId> = machines.collect();
        self.scale_out_answers
            .insert(request.name.clone(), machines.clone());
        CloudResponse::ScaledOut(machines)
    }

    /// Boot time in milliseconds of a machine that is rented now.
    fn boot_ms(&self, now: u64, machine_type: &str) -> u64 {
        if now < self.fast_boots_until {
            return FAST_BOOT_MS + now % FAST_BOOT_SPREAD_MS;
        }
        let mut catalog = self.catalog.iter();
        let known = catalog.find(|known| known.name == machine_type);
        let usual_ms = known.map_or(UNKNOWN_BOOT_MS, |known| (known.ready_s * 1000.0) as u64);
        let slow = self.slow_boots.as_ref();
        match slow.filter(|slow| slow.applies_to(now, machine_type)) {
            Some(slow) => (usual_ms as f64 * slow.factor) as u64,
            None => usual_ms,
        }
    }

    /// Deletes machines and returns the ids of those that existed.
    fn delete_machines(&mut self, now: u64, ids: &[MachineId]) -> Vec<String> {
        let mut deleted = Vec::new();
        for id in ids {
            if let Some(machine) = self.machines.get_mut(id.as_str())
                && machine.gone_at.is_none()
            {
                machine.gone_at = Some(now);
                deleted.push(id.to_string());
                let pool = (machine.class.clone(), machine.zone.clone(), machine.spot);
                *self.capacity.entry(pool).or_default() += 1;
            }
        }
        deleted
    }

    /// One page of the list, as of [`Cloud::list_lag_ms`] ago.
    fn list_machines(&self, now: u64, after: Option<&MachineId>) -> CloudResponse {
        let at = now.saturating_sub(self.list_lag_ms);
        let mut listed = self.machines.iter().filter(|(id, machine)| {
            let is_after = after.is_none_or(|after| id.as_str() > after.as_str());
            is_after && machine.is_listed(at)
        });
        let page = listed.by_ref().take(PAGE_MACHINES_MAX);
        let machines = page.map(|(id, machine)| listed_machine(id, machine, at));
        let machines = machines.collect();
        CloudResponse::Page {
            machines,
            has_next: listed.next().is_some(),
        }
    }
}

/// A machine as the list as of `at` shows it. It is encoded and decoded, since a field of
/// [`ListedMachine`] is private.
fn listed_machine(id: &str, machine: &RentedMachine, at: u64) -> ListedMachine {
    let age_s = (at - machine.rented_at) as f64 / 1000.0;
    let body = cbor!({
        "id" => id, "endpoint" => "10.1.0.1:9000", "build" => machine.class,
        "quarter" => machine.zone, "borrowed" => machine.spot,
        "stance" => machine.status(at), "ageS" => age_s
    });
    let body = body.expect("a map");
    body.deserialized().expect("a listed machine")
}
