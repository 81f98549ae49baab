//! The cloud: rents machines, lists them late, takes some back.

use ciborium::cbor;
use salttrestle::ids::MachineId;
use salttrestle::wire::{CloudOp, CloudReply, MachineType};
use std::collections::BTreeMap;

/// Most machines in one page of the list.
const PAGE: usize = 500;

/// A rented machine. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Rig {
    /// Its type.
    pub class: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// When it was rented.
    pub rented: u64,
    /// When it comes up; `None` if it never does.
    pub boots: Option<u64>,
    /// From when on it is listed as failed: for a while a dead machine is listed as running.
    pub failed: Option<u64>,
    /// When it was deleted or taken back.
    pub gone: Option<u64>,
}

/// The cloud.
#[derive(Default)]
pub struct Cloud {
    /// The types of machines that it has.
    pub catalog: Vec<MachineType>,
    /// Every machine that was ever rented, by name.
    pub rigs: BTreeMap<String, Rig>,
    /// What scale-out request requests were answered, by their names.
    pub answers: BTreeMap<String, Vec<MachineId>>,
    /// Free machines by type, zone and kind.
    pub capacity: BTreeMap<(String, String, bool), u32>,
    /// It answers nobody.
    pub outage: bool,
    /// By how much its list of machines lags.
    pub lag_ms: u64,
    /// The next so many machines never boot.
    pub stillborn: u32,
    /// Machines rented until then are up within two seconds.
    pub fast_until: u64,
    /// How many times as long boots take that begin until then.
    pub slow: (f64, u64),
    /// The only type of which they do.
    pub slow_type: Option<String>,
}

impl Cloud {
    /// Adds a machine that comes up at `boots`.
    pub fn add(
        &mut self,
        now: u64,
        class: &str,
        zone: &str,
        spot: bool,
        boots: Option<u64>,
    ) -> MachineId {
        let id = format!("i-{:06}", self.rigs.len());
        let rig = Rig {
            class: class.into(),
            zone: zone.into(),
            spot,
            rented: now,
            boots,
            failed: None,
            gone: None,
        };
        self.rigs.insert(id.clone(), rig);
        MachineId::from(id.as_str())
    }

    /// Executes a request. Deleted machines are returned besides.
    pub fn execute(&mut self, now: u64, op: &CloudOp) -> (CloudReply, Vec<String>) {
        if self.outage {
            return (CloudReply::Trouble, Vec::new());
        }
        match op {
            CloudOp::Catalog => (CloudReply::Catalog(self.catalog.clone()), Vec::new()),
            CloudOp::Rent(h) => {
                if let Some(rigs) = self.answers.get(&h.name) {
                    return (CloudReply::Rented(rigs.clone()), Vec::new());
                }
                let key = (h.class.clone(), h.zone.clone(), h.spot);
                let free = self.capacity.entry(key).or_default();
                let n = (*free).min(h.count);
                if n == 0 {
                    return (CloudReply::Refused, Vec::new());
                }
                *free -= n;
                let ready = self.catalog.iter().find(|c| c.name == h.class);
                let fast = now < self.fast_until;
                let usual = ready.map_or(1000, |c| (c.ready_s * 1000.0) as u64);
                let (times, until) = self.slow;
                let slow = self.slow_type.as_ref().is_none_or(|t| *t == h.class);
                let usual = if slow && now < until {
                    (usual as f64 * times) as u64
                } else {
                    usual
                };
                let incarnation = if fast { 200 + now % 1800 } else { usual };
                let rigs: Vec<MachineId> = (0..n)
                    .map(|_| {
                        let dead = self.stillborn > 0;
                        self.stillborn = self.stillborn.saturating_sub(1);
                        let boots = (!dead).then_some(now + incarnation);
                        self.add(now, &h.class, &h.zone, h.spot, boots)
                    })
                    .collect();
                self.answers.insert(h.name.clone(), rigs.clone());
                (CloudReply::Rented(rigs), Vec::new())
            }
            CloudOp::Delete(ids) => {
                let mut gone = Vec::new();
                for id in ids {
                    if let Some(r) = self.rigs.get_mut(id.as_str())
                        && r.gone.is_none()
                    {
                        r.gone = Some(now);
                        gone.push(id.to_string());
                        let key = (r.class.clone(), r.zone.clone(), r.spot);
                        *self.capacity.entry(key).or_default() += 1;
                    }
                }
                (CloudReply::Deleted, gone)
            }
            CloudOp::List { after } => (self.list(now, after.as_ref()), Vec::new()),
        }
    }

    fn list(&self, now: u64, after: Option<&MachineId>) -> CloudReply {
        let at = now.saturating_sub(self.lag_ms);
        let mut shown = self.rigs.iter().filter(|(id, r)| {
            let behind = after.is_none_or(|a| id.as_str() > a.as_str());
            behind && r.rented <= at && r.gone.is_none_or(|g| g > at)
        });
        let machines = shown.by_ref().take(PAGE).map(|(id, r)| {
            let status = match (r.failed, r.boots) {
                (Some(failed), _) if failed <= at => "failed",
                (_, Some(b)) if b <= at => "running",
                _ => "starting",
            };
            let age = (at - r.rented) as f64 / 1000.0;
            let body = cbor!({
                "id" => id, "endpoint" => "10.1.0.1:9000", "build" => r.class,
                "quarter" => r.zone, "borrowed" => r.spot, "stance" => status, "ageS" => age
            });
            body.expect("a map")
                .deserialized()
                .expect("a listed machine")
        });
        let machines = machines.collect();
        CloudReply::Page {
            machines,
            more: shown.next().is_some(),
        }
    }
}
