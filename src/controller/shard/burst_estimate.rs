//! How services' demand for each pool varies, and how long machines take to boot. Both give the
//! room to keep free for urgent starts.

use crate::controller::autoscaling::pool_selection::{preferred_pool, tasks_per_machine};
use crate::controller::pool::Pool;
use crate::controller::shard::job::JobState;
use crate::controller::shard::{ShardOwner, decayed};
use crate::controller::store::records::{ExhaustedPool, JobKind, JobRecord};
use crate::ids::Time;
use crate::wire::MachineType;
use std::collections::BTreeMap;

/// How unevenly services' demand for a pool arrives: the sum of the squares of the jobs' sizes, in
/// machines, with older ones decayed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BurstEstimate {
    /// The sum.
    squares: f64,
    /// When the sum was last brought up to date.
    at: Time,
}

/// Weight of the latest boot in the moving average of a type's boots.
const BOOT_AVERAGE_WEIGHT: f64 = 0.2;
/// How many times longer than the catalog says the average may become: some machines never become
/// ready, and are paid for until they are deleted.
const BOOT_FACTOR_MAX: f64 = 2.0;
/// Half-life of demand, in boot times.
const BURST_HALF_LIFE_BOOTS: f64 = 2.0;
/// How many boot times a service is taken to run, where only those that run now are known.
const SERVICE_LIFETIME_BOOTS: f64 = 5.0;

/// A service's pool, and its size there in machines.
struct ServiceSize {
    /// The pool.
    pool: Pool,
    /// How many of its machines the service fills.
    machines: f64,
}

impl BurstEstimate {
    /// What the previous owner estimated, at that moment.
    pub(crate) fn observed(at: Time, squares: f64) -> Self {
        Self { squares, at }
    }

    /// The sum of squares, decayed until now.
    pub(crate) fn decayed(&self, now: Time, boot_s: f64) -> f64 {
        let half_life_s = BURST_HALF_LIFE_BOOTS * boot_s;
        decayed(self.squares, now.since(self.at), half_life_s)
    }

    /// Adds a job of so many machines.
    fn add(&mut self, now: Time, boot_s: f64, machines: f64) {
        self.squares = self.decayed(now, boot_s) + machines * machines;
        self.at = now;
    }

    /// What a new owner assumes of the demand before it: that the running services came and went
    /// at the rate that their number and lifetime imply.
    fn of_running(now: Time, squares: f64) -> Self {
        Self {
            squares: squares / SERVICE_LIFETIME_BOOTS * BURST_HALF_LIFE_BOOTS
                / std::f64::consts::LN_2,
            at: now,
        }
    }

    /// The standard deviation of demand, jobs coming and going, over a boot time: what
    /// may be needed in addition before a machine scaled out for it is ready.
    pub(crate) fn deviation(&self, now: Time, boot_s: f64) -> f64 {
        let per_boot = self.decayed(now, boot_s) * std::f64::consts::LN_2 / BURST_HALF_LIFE_BOOTS;
        (2.0 * per_boot).sqrt()
    }
}

/// The pool and size of a service; `None` for batch jobs and where no pool fits.
fn service_size(
    catalog: &[MachineType],
    exhausted: &[ExhaustedPool],
    record: &JobRecord,
) -> Option<ServiceSize> {
    let pool =
        preferred_pool(catalog, record, exhausted).filter(|_| record.kind == JobKind::Service)?;
    let machine_type = &catalog[pool.machine_type];
    let machines = f64::from(record.count) / tasks_per_machine(machine_type, record.resources);
    Some(ServiceSize { pool, machines })
}

impl ShardOwner {
    /// Adds a job that arrived to the estimate of its pool.
    pub(crate) fn record_demand(
        &mut self,
        now: Time,
        catalog: &[MachineType],
        exhausted: &[ExhaustedPool],
        record: &JobRecord,
    ) {
        if let Some(ServiceSize { pool, machines }) = service_size(catalog, exhausted, record) {
            let burst = self.bursts.entry(pool).or_default();
            burst.add(now, catalog[pool.machine_type].ready_s, machines);
        }
    }

    /// Estimates demand from the services that run now.
    pub(crate) fn estimate_demand(
        &mut self,
        now: Time,
        catalog: &[MachineType],
        exhausted: &[ExhaustedPool],
    ) {
        let mut squares: BTreeMap<Pool, f64> = BTreeMap::new();
        let active = |job_state: &&JobState| job_state.cancelled.is_none() && job_state.released;
        for job_state in self.jobs.values().filter(active) {
            let size = service_size(catalog, exhausted, &job_state.record);
            if let Some(ServiceSize { pool, machines }) = size {
                *squares.entry(pool).or_default() += machines * machines;
            }
        }
        let estimate = |(pool, sum)| (pool, BurstEstimate::of_running(now, sum));
        self.bursts = squares.into_iter().map(estimate).collect();
    }

    /// How long a machine of a type usually takes to boot: no less than the catalog says,
    /// and longer when boots have taken longer lately.
    pub(crate) fn usual_boot_s(&self, machine_type: Option<usize>, ready_s: f64) -> f64 {
        let average_s = machine_type.and_then(|machine_type| self.boots.get(&machine_type));
        let average_s = average_s.copied().unwrap_or(ready_s);
        average_s.clamp(ready_s, ready_s * BOOT_FACTOR_MAX)
    }

    /// Adds a boot to the moving average of its type.
    pub(crate) fn observe_boot_time(&mut self, machine_type: usize, ready_s: f64, took_s: f64) {
        let usual_s = self.usual_boot_s(Some(machine_type), ready_s);
        let average_s = usual_s + (took_s - usual_s) * BOOT_AVERAGE_WEIGHT;
        self.boots.insert(machine_type, average_s);
    }

    /// Machines' worth of room to keep free for urgent starts.
    pub(crate) fn kept_room(
        &self,
        pool: Pool,
        catalog: &[MachineType],
        headroom: f64,
        now: Time,
    ) -> f64 {
        let machine_type = pool.type_in(catalog);
        let boot_s = machine_type.map_or(1.0, |machine_type| machine_type.ready_s.max(1.0));
        let burst = self.bursts.get(&pool);
        let deviation = burst.map_or(0.0, |burst| burst.deviation(now, boot_s));
        (headroom * deviation).max(1.0)
    }
}
