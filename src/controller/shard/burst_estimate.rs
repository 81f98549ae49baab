//! How services' demand for each pool varies, and how long machines take to boot: from both
//! follows the room to keep free for urgent starts.

use crate::controller::autoscaling::demand::{per_machine, pool_for};
use crate::controller::pool::Pool;
use crate::controller::shard::job::JobState;
use crate::controller::shard::{ShardOwner, decayed};
use crate::controller::store::records::{ExhaustedPool, JobKind, JobRecord};
use crate::ids::Time;
use crate::wire::MachineType;
use std::collections::BTreeMap;

/// How services' demand for a pool comes: the squares of the jobs' sizes, in machines,
/// older ones counting less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BurstEstimate {
    squares: f64,
    at: Time,
}

/// Share of the latest boot in what a type's boots usually take, and how many times longer
/// than the catalog says that may become: some machines never come up, and are paid for
/// until they are deleted.
const BOOT_NEWS: f64 = 0.2;
const SLOW_BOOT: f64 = 2.0;
/// Half of the demand that came so many boot times ago is forgotten.
const BURST_HALF: f64 = 2.0;
/// How many boot times a service is taken to run, where only those that run now are known.
const LIFE: f64 = 5.0;

impl BurstEstimate {
    /// What the owner before this one estimated, at that moment.
    pub(crate) fn observed(at: Time, squares: f64) -> Self {
        Self { squares, at }
    }

    pub(crate) fn decayed(&self, now: Time, boot_s: f64) -> f64 {
        decayed(self.squares, now.since(self.at), BURST_HALF * boot_s)
    }

    fn add(&mut self, now: Time, boot_s: f64, size: f64) {
        self.squares = self.decayed(now, boot_s) + size * size;
        self.at = now;
    }

    /// What a new owner takes to have come before it: those that run came, and went,
    /// at the rate at which they run their lives.
    fn of_running(now: Time, squares: f64) -> Self {
        Self {
            squares: squares / LIFE * BURST_HALF / std::f64::consts::LN_2,
            at: now,
        }
    }

    /// The standard deviation of demand, jobs coming and going, over a boot time: what
    /// may come on top before a machine scaled out for it is up.
    pub(crate) fn deviation(&self, now: Time, boot_s: f64) -> f64 {
        let per_boot = self.decayed(now, boot_s) * std::f64::consts::LN_2 / BURST_HALF;
        (2.0 * per_boot).sqrt()
    }
}

impl ShardOwner {
    /// The pool of a service and its size there, in machines.
    fn size(
        &self,
        catalog: &[MachineType],
        closed: &[ExhaustedPool],
        record: &JobRecord,
    ) -> Option<(Pool, f64)> {
        let pool = pool_for(catalog, record, closed).filter(|_| record.kind == JobKind::Service)?;
        let size =
            f64::from(record.count) / per_machine(&catalog[pool.machine_type], record.resources);
        Some((pool, size))
    }

    /// Takes note of a job that came.
    pub(crate) fn record_demand(
        &mut self,
        now: Time,
        catalog: &[MachineType],
        closed: &[ExhaustedPool],
        record: &JobRecord,
    ) {
        if let Some((pool, size)) = self.size(catalog, closed, record) {
            let bursts = self.bursts.entry(pool).or_default();
            bursts.add(now, catalog[pool.machine_type].ready_s, size);
        }
    }

    /// Takes those that run for a sign of what comes.
    pub(crate) fn estimate_demand(
        &mut self,
        now: Time,
        catalog: &[MachineType],
        closed: &[ExhaustedPool],
    ) {
        let mut squares: BTreeMap<Pool, f64> = BTreeMap::new();
        let open = |job_state: &&JobState| job_state.cancelled.is_none() && job_state.released;
        for job_state in self.jobs.values().filter(open) {
            if let Some((pool, size)) = self.size(catalog, closed, &job_state.record) {
                *squares.entry(pool).or_default() += size * size;
            }
        }
        let guess = |(pool, sum)| (pool, BurstEstimate::of_running(now, sum));
        self.bursts = squares.into_iter().map(guess).collect();
    }

    /// How long a machine of a type usually takes to boot: no less than the catalog says,
    /// and longer when they have taken longer lately.
    pub(crate) fn usual_boot_s(&self, machine_type: Option<usize>, ready_s: f64) -> f64 {
        let recent_s = machine_type.and_then(|machine_type| self.boots.get(&machine_type));
        let recent_s = recent_s.copied().unwrap_or(ready_s);
        recent_s.clamp(ready_s, ready_s * SLOW_BOOT)
    }

    /// Takes note of a boot.
    pub(crate) fn observe_boot_time(&mut self, machine_type: usize, ready_s: f64, took_s: f64) {
        let usual = self.usual_boot_s(Some(machine_type), ready_s);
        let recent_s = usual + (took_s - usual) * BOOT_NEWS;
        self.boots.insert(machine_type, recent_s);
    }

    /// Machines' worth of room to keep free for urgent starts.
    pub(crate) fn keep(
        &self,
        pool: Pool,
        catalog: &[MachineType],
        headroom: f64,
        now: Time,
    ) -> f64 {
        let boot_s = pool.type_in(catalog).map_or(1.0, |c| c.ready_s.max(1.0));
        let bursts = self.bursts.get(&pool);
        let deviation = bursts.map_or(0.0, |b| b.deviation(now, boot_s));
        (headroom * deviation).max(1.0)
    }
}
