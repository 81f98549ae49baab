//! Which pools a task may use, in which order, and how many of its kind a machine holds.

use crate::controller::pool::{Market, Pool};
use crate::controller::store::records::{ExhaustedPool, JobRecord, Resources};
use crate::wire::MachineType;

/// The pool on which a task counts: the smallest type that fits, spot where the
/// job may use it. Where the cloud has no capacity left, the next one.
pub(crate) fn preferred_pool(
    catalog: &[MachineType],
    record: &JobRecord,
    exhausted: &[ExhaustedPool],
) -> Option<Pool> {
    let first = || eligible_pools(catalog, record).first().copied();
    available_pool(catalog, record, exhausted, |_| true).or_else(first)
}

/// The first of a task's pools of which the cloud has machines left and that `accepts` accepts.
pub(super) fn available_pool(
    catalog: &[MachineType],
    record: &JobRecord,
    exhausted: &[ExhaustedPool],
    accepts: impl Fn(&Pool) -> bool,
) -> Option<Pool> {
    let has_capacity = |pool: &&Pool| {
        let machine_type = &catalog[pool.machine_type];
        let mut zones = machine_type.zones.iter().filter(|zone| {
            let required = record.zone.as_ref();
            required.is_none_or(|required| required == *zone)
        });
        zones.any(|zone| !is_exhausted(exhausted, &machine_type.name, zone, pool))
    };
    let pools = eligible_pools(catalog, record);
    let mut accepted = pools.iter().filter(|pool| accepts(pool));
    accepted.find(has_capacity).copied()
}

/// Whether the cloud has no machine of a pool's type and market left in a zone.
pub(super) fn is_exhausted(
    exhausted: &[ExhaustedPool],
    type_name: &str,
    zone: &str,
    pool: &Pool,
) -> bool {
    exhausted
        .iter()
        .any(|(known_type, known_zone, known_spot)| {
            known_type == type_name && known_zone == zone && *known_spot == pool.is_spot()
        })
}

/// Each pool that there is.
pub(super) fn all_pools(catalog: &[MachineType]) -> impl Iterator<Item = Pool> {
    let types = 0..catalog.len();
    types.flat_map(|machine_type| {
        Market::ALL.map(|market| Pool {
            machine_type,
            market,
        })
    })
}

/// The pools that a task may use, in the order in which it counts on them.
pub(super) fn eligible_pools(catalog: &[MachineType], record: &JobRecord) -> Vec<Pool> {
    let mut pools: Vec<Pool> = Vec::new();
    for (index, machine_type) in catalog.iter().enumerate() {
        if record.allows(&machine_type.name) && machine_type.resources.holds(record.resources) {
            pools.push(Pool::of(index, false));
            if record.spot {
                pools.push(Pool::of(index, true));
            }
        }
    }
    pools.sort_by(|a, b| {
        let size = |pool: &Pool| {
            let resources = catalog[pool.machine_type].resources;
            resources.gpus + resources.cpus / 1e3
        };
        b.market.cmp(&a.market).then(size(a).total_cmp(&size(b)))
    });
    pools
}

/// How many of a task one machine holds; at least one.
pub(crate) fn tasks_per_machine(machine_type: &MachineType, need: Resources) -> f64 {
    let resources = machine_type.resources;
    tasks_within(resources.cpus, need.cpus)
        .min(tasks_within(resources.gpus, need.gpus))
        .min(tasks_within(resources.mem, need.mem))
        .clamp(1.0, 1e6)
}

/// How many tasks that need `need` of one resource fit into an amount of it. The sum of what tasks
/// need is subject to rounding, so that a task that lacks next to nothing fits.
pub(super) fn tasks_within(amount: f64, need: f64) -> f64 {
    if need > 0.0 {
        (amount / need + 1e-6).floor()
    } else {
        f64::MAX
    }
}
