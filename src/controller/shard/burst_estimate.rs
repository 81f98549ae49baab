//! Estimates of how services' demand for each pool varies, and of how long machines take to boot.
//! The room that is kept free for urgent starts is derived from both.

use crate::controller::autoscaling::pool_selection::{preferred_pool, tasks_per_machine};
use crate::controller::pool::Pool;
use crate::controller::shard::job::JobState;
use crate::controller::shard::{ShardOwner, decay};
use crate::controller::store::records::{ExhaustedPool, JobKind, JobRecord};
use crate::ids::Time;
use crate::wire::MachineType;
use std::collections::BTreeMap;

/// Variability of services' demand for a pool: the sum of the squared sizes of the services that
/// arrived, in machines, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BurstEstimate {
    /// The decayed sum as of `at`, in machines squared.
    squares: f64,
    /// When `squares` was last updated.
    at: Time,
}

/// Weight of the latest boot in the moving average of a machine type's boot times.
const BOOT_AVERAGE_WEIGHT: f64 = 0.2;
/// Upper bound of the average boot time, as a multiple of the catalog's. Some machines never become
/// ready, and they cost money until they are deleted, so the average must not grow without bound.
const BOOT_FACTOR_MAX: f64 = 2.0;
/// Half-life of recorded demand, in boot times.
const BURST_HALF_LIFE_BOOTS: f64 = 2.0;
/// Assumed lifetime of a service, in boot times, where only the present services are known.
const SERVICE_LIFETIME_BOOTS: f64 = 5.0;

/// The pool of a service, and the size of the service there.
struct ServiceSize {
    pool: Pool,
    /// How many machines of the pool the service fills.
    machines: f64,
}

impl BurstEstimate {
    /// The estimate of the previous owner, as of `at`.
    pub(crate) fn from_hint(at: Time, squares: f64) -> Self {
        Self { squares, at }
    }

    /// The sum of squares, with decay up to `now`.
    pub(crate) fn decayed(&self, now: Time, boot_s: f64) -> f64 {
        let half_life_s = BURST_HALF_LIFE_BOOTS * boot_s;
        decay(self.squares, now.since(self.at), half_life_s)
    }

    /// Adds a service that fills `machines` machines.
    fn add(&mut self, now: Time, boot_s: f64, machines: f64) {
        self.squares = self.decayed(now, boot_s) + machines * machines;
        self.at = now;
    }

    /// The estimate of an owner that knows only the present services. `squares` is the sum of their
    /// squared sizes. The estimate assumes that services have arrived and ended at the constant
    /// rate that this sum and [`SERVICE_LIFETIME_BOOTS`] imply.
    fn from_present_services(now: Time, squares: f64) -> Self {
        Self {
            squares: squares / SERVICE_LIFETIME_BOOTS * BURST_HALF_LIFE_BOOTS
                / std::f64::consts::LN_2,
            at: now,
        }
    }

    /// The standard deviation of the change in demand over one boot time, in machines, from
    /// services that arrive and services that end. This is how much demand may grow before a
    /// machine that is rented in response is ready.
    pub(crate) fn deviation(&self, now: Time, boot_s: f64) -> f64 {
        let squares_per_boot =
            self.decayed(now, boot_s) * std::f64::consts::LN_2 / BURST_HALF_LIFE_BOOTS;
        (2.0 * squares_per_boot).sqrt()
    }
}

/// The pool and size of a service. `None` for batch jobs, and for services that fit no pool.
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
    /// Adds a job that arrived to the estimate of its pool, if the job is a service.
    pub(crate) fn record_demand(
        &mut self,
        now: Time,
        catalog: &[MachineType],
        exhausted: &[ExhaustedPool],
        record: &JobRecord,
    ) {
        if let Some(ServiceSize { pool, machines }) = service_size(catalog, exhausted, record) {
            let burst = self.burst_estimates.entry(pool).or_default();
            burst.add(now, catalog[pool.machine_type].ready_s, machines);
        }
    }

    /// Replaces all estimates by those derived from the present services: the ones that are
    /// released and not cancelled.
    pub(crate) fn estimate_demand(
        &mut self,
        now: Time,
        catalog: &[MachineType],
        exhausted: &[ExhaustedPool],
    ) {
        let mut squares: BTreeMap<Pool, f64> = BTreeMap::new();
        let is_active =
            |job_state: &&JobState| job_state.cancelled.is_none() && job_state.is_released;
        for job_state in self.jobs.values().filter(is_active) {
            let size = service_size(catalog, exhausted, &job_state.record);
            if let Some(ServiceSize { pool, machines }) = size {
                *squares.entry(pool).or_default() += machines * machines;
            }
        }
        let estimate = |(pool, sum)| (pool, BurstEstimate::from_present_services(now, sum));
        self.burst_estimates = squares.into_iter().map(estimate).collect();
    }

    /// How long a machine of a type is expected to boot, in seconds: the moving average of recent
    /// boots, but at least the catalog's `ready_s` and at most [`BOOT_FACTOR_MAX`] times that.
    pub(crate) fn usual_boot_s(&self, machine_type: Option<usize>, ready_s: f64) -> f64 {
        let average_s =
            machine_type.and_then(|machine_type| self.boot_averages_s.get(&machine_type));
        let average_s = average_s.copied().unwrap_or(ready_s);
        average_s.clamp(ready_s, ready_s * BOOT_FACTOR_MAX)
    }

    /// Adds a boot that took `took_s` seconds to the moving average of its machine type.
    pub(crate) fn observe_boot_time(&mut self, machine_type: usize, ready_s: f64, took_s: f64) {
        let usual_s = self.usual_boot_s(Some(machine_type), ready_s);
        let average_s = usual_s + (took_s - usual_s) * BOOT_AVERAGE_WEIGHT;
        self.boot_averages_s.insert(machine_type, average_s);
    }

    /// How much room of a pool to keep free for urgent starts, in machines: at least one.
    /// `headroom` is the number of standard deviations of demand to cover.
    pub(crate) fn headroom_machines(
        &self,
        pool: Pool,
        catalog: &[MachineType],
        headroom: f64,
        now: Time,
    ) -> f64 {
        let machine_type = pool.type_in(catalog);
        let boot_s = machine_type.map_or(1.0, |machine_type| machine_type.ready_s.max(1.0));
        let burst = self.burst_estimates.get(&pool);
        let deviation = burst.map_or(0.0, |burst| burst.deviation(now, boot_s));
        (headroom * deviation).max(1.0)
    }
}
