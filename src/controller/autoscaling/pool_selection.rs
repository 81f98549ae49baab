//! Selects the pools that a task may use and their order, and computes how many tasks fit on a
//! machine.

use crate::controller::pool::{Market, Pool};
use crate::controller::store::records::{ExhaustedPool, JobRecord, Resources};
use crate::wire::MachineType;

/// Returns the pool on which a job's queued tasks count: the first eligible pool that is not
/// exhausted, or the first eligible pool if all are exhausted. `None` if no machine type fits.
pub(crate) fn preferred_pool(
    catalog: &[MachineType],
    record: &JobRecord,
    exhausted: &[ExhaustedPool],
) -> Option<Pool> {
    let first = || eligible_pools(catalog, record).first().copied();
    available_pool(catalog, record, exhausted, |_| true).or_else(first)
}

/// Returns the first eligible pool that `accepts` returns true for and that has capacity left in a
/// zone that the job may use.
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

/// Whether the cloud has no capacity left for a pool in a zone.
pub(super) fn is_exhausted(
    exhausted: &[ExhaustedPool],
    type_name: &str,
    zone: &str,
    pool: &Pool,
) -> bool {
    exhausted
        .iter()
        .any(|(exhausted_type, exhausted_zone, exhausted_spot)| {
            exhausted_type == type_name
                && exhausted_zone == zone
                && *exhausted_spot == pool.is_spot()
        })
}

/// Returns all pools of the catalog.
pub(super) fn all_pools(catalog: &[MachineType]) -> impl Iterator<Item = Pool> {
    let types = 0..catalog.len();
    types.flat_map(|machine_type| {
        Market::ALL.map(|market| Pool {
            machine_type,
            market,
        })
    })
}

/// Returns the pools that a job's tasks may use, in order of preference: spot pools before
/// on-demand pools, and smaller machine types first.
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
        // Orders by GPUs first; CPUs only decide between types with equally many GPUs.
        let size = |pool: &Pool| {
            let resources = catalog[pool.machine_type].resources;
            resources.gpus + resources.cpus / 1e3
        };
        b.market.cmp(&a.market).then(size(a).total_cmp(&size(b)))
    });
    pools
}

/// Returns how many tasks that need `need` fit on one empty machine, limited to the range from 1 to
/// a million.
pub(crate) fn tasks_per_machine(machine_type: &MachineType, need: Resources) -> f64 {
    let resources = machine_type.resources;
    tasks_within(resources.cpus, need.cpus)
        .min(tasks_within(resources.gpus, need.gpus))
        .min(tasks_within(resources.mem, need.mem))
        .clamp(1.0, 1e6)
}

/// Returns how many tasks that need `need` of one resource fit into `amount`. Allows for rounding
/// errors in summed needs: a task that lacks a negligible fraction still fits.
pub(super) fn tasks_within(amount: f64, need: f64) -> f64 {
    if need > 0.0 {
        (amount / need + 1e-6).floor()
    } else {
        f64::MAX
    }
}
