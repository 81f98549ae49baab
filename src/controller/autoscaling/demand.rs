//! Counts the machines that queued and running tasks need, for each pool and for each zone.

use crate::controller::autoscaling::PoolZoneCounts;
use crate::controller::autoscaling::pool_selection::{
    all_pools, available_pool, eligible_pools, is_exhausted, preferred_pool, tasks_per_machine,
    tasks_within,
};
use crate::controller::machines::inventory::{Binding, Machine};
use crate::controller::pool::Pool;
use crate::controller::scheduling::constraints::{is_within_quota_limit, is_zone_allowed};
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::JobState;
use crate::controller::store::records::{
    ExhaustedPool, JobKind, JobRecord, PriorityClass, Resources,
};
use crate::ids::Time;
use crate::peer::PoolCount;
use crate::settings::Settings;
use crate::wire::MachineType;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Minimum free fraction of a machine with tasks for its free room to count as room kept for urgent
/// starts.
const URGENT_ROOM_FREE_FRACTION_MIN: f64 = 0.5;

/// Boot time, as a multiple of the usual boot time of the machine's type, after which a booting
/// machine is late. Normal boots take up to 1.5 times the usual time. Urgent work does not wait for
/// a late machine.
const LATE_BOOT_RATIO: f64 = 1.75;

/// Pools of which at least half of the booting machines are late or overdue. A machine is late
/// after `LATE_BOOT_RATIO` usual boot times, and overdue after `health.boot` usual boot times.
///
/// Demand that may use other pools is counted there instead. Without this, an empty fleet whose
/// smallest type never became ready ran nothing, and kept scaling out and deleting machines of that
/// type.
#[derive(Default)]
struct SlowPools {
    /// Pools that urgent work avoids: at least half of the booting machines are late or overdue.
    for_urgent: BTreeSet<Pool>,
    /// Pools that all work avoids: at least half of the booting machines are overdue.
    for_all: BTreeSet<Pool>,
    /// Number of late machines that are not overdue yet.
    late_machines: BTreeMap<Pool, u32>,
    /// Urgent queued demand counted on each pool, in machines. It decides how many late machines
    /// are replaced. Each late machine is replaced at most once, and counts again when it becomes
    /// ready.
    urgent_machines_queued: BTreeMap<Pool, f64>,
}

impl SlowPools {
    /// Whether demand on the pool is counted on other pools instead, where it may use them.
    fn is_slow(&self, pool: &Pool, is_urgent: bool) -> bool {
        let pools = if is_urgent {
            &self.for_urgent
        } else {
            &self.for_all
        };
        pools.contains(pool)
    }
}

/// Numbers of a pool's machines that are not ready yet.
#[derive(Default)]
struct BootingCount {
    /// All booting machines.
    total: u32,
    /// Late machines that are not overdue yet.
    late: u32,
    /// Overdue machines, which are replaced.
    overdue: u32,
}

impl BootingCount {
    /// Whether `part` is at least half of the booting machines, and not zero.
    fn is_at_least_half(&self, part: u32) -> bool {
        part > 0 && 2 * part >= self.total
    }
}

impl PoolCount {
    /// Requests replacements for late machines, as many as urgent queued work needs beyond the
    /// idle and booting machines that are not late. Lowers `provisioned`, so that the reconcile
    /// loop sees a gap.
    ///
    /// The room kept for urgent starts is not replaced: it remains assigned to the late machines,
    /// which count again once they become ready.
    fn request_late_replacements(&mut self, late: u32, urgent_queued: u32) {
        let on_time = self.provisioned.saturating_sub(self.busy + late);
        let missing = urgent_queued.saturating_sub(on_time).min(late);
        let machines_wanted = self.machines_wanted(u32::MAX);
        self.provisioned = self
            .provisioned
            .min(machines_wanted.saturating_sub(missing));
    }

    /// Returns the number of machines that the pool needs, at most `ceiling`. It is the larger of
    /// two counts, each rounded up: busy machines plus queued demand, and running demand. If
    /// services run in the pool, it includes the room still missing for urgent starts.
    ///
    /// Queued tasks found no room on busy machines, so their demand is added to the number of busy
    /// machines. With the larger of queued and running demand alone, a full machine with as many
    /// tasks queued as running would never get a second machine.
    pub(crate) fn machines_wanted(&self, ceiling: u32) -> u32 {
        let by_queued = self.busy + self.queued.ceil() as u32;
        let by_running = self.running.ceil() as u32;
        let mut missing_room = 0.0;
        if self.has_services {
            missing_room = (self.reserved_room - self.free_room).max(0.0).ceil();
        }
        (by_queued.max(by_running) + missing_room as u32).min(ceiling)
    }
}

impl ShardOwner {
    /// Counts demand and machines of every pool of the catalog, for this shard.
    ///
    /// Machines that need replacement are left out of the counts.
    pub(crate) fn count_pools(
        &self,
        catalog: &[MachineType],
        settings: &Settings,
        exhausted: &[ExhaustedPool],
        now: Time,
    ) -> BTreeMap<Pool, PoolCount> {
        let mut slow_pools = self.find_slow_pools(catalog, settings.tuning.boot_timeout_ratio, now);
        let with_reserved_room = |pool| {
            let count = PoolCount {
                reserved_room: self.headroom_machines(
                    pool,
                    catalog,
                    settings.tuning.headroom_std_devs,
                    now,
                ),
                ..PoolCount::default()
            };
            (pool, count)
        };
        let mut counts: BTreeMap<Pool, PoolCount> =
            all_pools(catalog).map(with_reserved_room).collect();
        for machine in self.machines.values() {
            if !self.needs_replacement(catalog, settings, machine, now) {
                count_machine(catalog, machine, &mut counts);
            }
        }
        self.count_queued_tasks(catalog, settings, exhausted, &mut slow_pools, &mut counts);
        for (pool, urgent_queued) in slow_pools.urgent_machines_queued {
            let late = slow_pools.late_machines.get(&pool).copied().unwrap_or(0);
            if let Some(count) = counts.get_mut(&pool) {
                count.request_late_replacements(late, urgent_queued.ceil() as u32);
            }
        }
        counts
    }

    /// Whether another machine is scaled out in place of this one: its lease has expired without a
    /// known network partition, or its boot is overdue. If it sends a heartbeat later, it is used
    /// again or scaled in.
    fn needs_replacement(
        &self,
        catalog: &[MachineType],
        settings: &Settings,
        machine: &Machine,
        now: Time,
    ) -> bool {
        let lease_s = settings.platform.facts.workers.lease_s;
        let has_lease_expired = now.since(machine.last_heartbeat.max(self.owned_since)) > lease_s;
        let is_partitioned =
            self.is_mass_partition || self.partitioned_zones.contains(&machine.zone);
        let is_silent = machine.ready_since.is_some()
            && machine.long_poll.is_none()
            && has_lease_expired
            && !is_partitioned;
        is_silent
            || self.is_booting_longer_than(
                settings.tuning.boot_timeout_ratio,
                catalog,
                machine,
                now,
            )
    }

    /// Adds the queued tasks of waiting jobs to `counts`, as far as each team's quota lets them
    /// start. Skips jobs that have failed so often that no machine is scaled out for them.
    fn count_queued_tasks(
        &self,
        catalog: &[MachineType],
        settings: &Settings,
        exhausted: &[ExhaustedPool],
        slow_pools: &mut SlowPools,
        counts: &mut BTreeMap<Pool, PoolCount>,
    ) {
        let mut team_quota_left = HashMap::new();
        for id in &self.jobs_with_queued_tasks {
            let Some(job_state) = self.jobs.get(id) else {
                continue;
            };
            let record = &job_state.record;
            if self.failures.blocks_scale_out(id) || !is_within_quota_limit(self, settings, record)
            {
                continue;
            }
            let queued = job_state.queued();
            let tasks = self.tasks_within_quota(settings, queued, record, &mut team_quota_left);
            count_job_demand(catalog, record, exhausted, slow_pools, tasks, counts);
        }
    }

    /// Finds the pools whose machines boot slowly. `overdue_ratio` is the multiple of the usual
    /// boot time after which a machine is overdue.
    fn find_slow_pools(&self, catalog: &[MachineType], overdue_ratio: f64, now: Time) -> SlowPools {
        let mut booting: BTreeMap<Pool, BootingCount> = BTreeMap::new();
        for (_, machine) in self.machines.booting() {
            let Some(pool) = machine.pool() else {
                continue;
            };
            let count = booting.entry(pool).or_default();
            let is_late = self.is_booting_longer_than(LATE_BOOT_RATIO, catalog, machine, now);
            let is_overdue = self.is_booting_longer_than(overdue_ratio, catalog, machine, now);
            count.total += 1;
            count.late += u32::from(is_late && !is_overdue);
            count.overdue += u32::from(is_overdue);
        }
        let mut slow_pools = SlowPools::default();
        for (pool, count) in booting {
            slow_pools.late_machines.insert(pool, count.late);
            if count.is_at_least_half(count.late + count.overdue) {
                slow_pools.for_urgent.insert(pool);
            }
            if count.is_at_least_half(count.overdue) {
                slow_pools.for_all.insert(pool);
            }
        }
        slow_pools
    }

    /// Counts the machines missing in particular zones, for queued tasks that are restricted to
    /// them. A task is restricted by its job's zone, by zone affinity to the job's other tasks, or
    /// because the other zones already hold as many of the job's tasks as zone spread allows.
    pub(crate) fn zone_shortfalls(
        &self,
        catalog: &[MachineType],
        exhausted: &[ExhaustedPool],
    ) -> PoolZoneCounts {
        let mut shortfalls = PoolZoneCounts::new();
        let mut empty_machines = self.count_empty_machines();
        let waiting = self.jobs_with_queued_tasks.iter();
        let waiting = waiting.filter(|id| !self.failures.blocks_scale_out(id));
        for job_state in waiting.filter_map(|id| self.jobs.get(id)) {
            let Some(pool) = preferred_pool(catalog, &job_state.record, exhausted) else {
                continue;
            };
            let machine_type = &catalog[pool.machine_type];
            let Some(zones) = restricted_zones(job_state, machine_type) else {
                continue;
            };
            let tasks_per_machine = tasks_per_machine(machine_type, job_state.record.resources);
            let mut needed = (f64::from(job_state.queued()) / tasks_per_machine).ceil() as u32;
            for zone in &zones {
                let empty = empty_machines.entry((pool, zone.as_str())).or_default();
                let used = needed.min(*empty);
                *empty -= used;
                needed -= used;
            }
            let mut available = zones
                .iter()
                .filter(|zone| !is_exhausted(exhausted, &machine_type.name, zone, &pool));
            if let Some(zone) = available.next().filter(|_| needed > 0) {
                *shortfalls.entry((pool, zone.to_string())).or_default() += needed;
            }
        }
        shortfalls
    }

    /// Counts machines without tasks by pool and zone, booting machines included. Leaves out
    /// machines that are being decommissioned or have a preemption notice.
    fn count_empty_machines(&self) -> BTreeMap<(Pool, &str), u32> {
        let mut empty_machines = BTreeMap::new();
        for machine in self.machines.values() {
            let is_staying = machine.decommission_at.is_none() && machine.preemption_at.is_none();
            if let Some(pool) = machine
                .pool()
                .filter(|_| machine.tasks.is_empty() && is_staying)
            {
                *empty_machines.entry((pool, &*machine.zone)).or_default() += 1;
            }
        }
        empty_machines
    }

    /// Returns how many of a job's `queued` tasks fit into what is left of its team's quota, and
    /// subtracts them from `quota_left`. `quota_left` holds each team's remaining quota after the
    /// jobs counted before.
    fn tasks_within_quota(
        &self,
        settings: &Settings,
        queued: u32,
        record: &JobRecord,
        quota_left: &mut HashMap<String, Resources>,
    ) -> u32 {
        let teams = &settings.platform.facts.teams;
        let Some(team) = teams.iter().find(|team| team.name == record.team) else {
            return 0;
        };
        let used = self
            .usage_by_team
            .get(&record.team)
            .copied()
            .unwrap_or_default();
        let left = quota_left.entry(record.team.clone()).or_insert_with(|| {
            let (cpus, gpus) = self.quota_share(team);
            let quota_left_of = |limit: f64, used: f64| {
                if limit < f64::MAX {
                    limit - used
                } else {
                    limit
                }
            };
            Resources {
                cpus: quota_left_of(cpus, used.cpus),
                gpus: quota_left_of(gpus, used.gpus),
                mem: f64::MAX,
            }
        });
        let need = record.resources;
        let allowed = tasks_within(left.cpus, need.cpus).min(tasks_within(left.gpus, need.gpus));
        let tasks = f64::from(queued).min(allowed.max(0.0));
        if left.cpus < f64::MAX {
            left.cpus -= tasks * need.cpus;
        }
        if left.gpus < f64::MAX {
            left.gpus -= tasks * need.gpus;
        }
        tasks as u32
    }
}

/// Returns the zones of a machine type that the job's next task may use; `None` if it may use all
/// of them or none.
fn restricted_zones<'a>(
    job_state: &JobState,
    machine_type: &'a MachineType,
) -> Option<Vec<&'a String>> {
    let all_zones = &machine_type.zones;
    let allowed = all_zones
        .iter()
        .filter(|zone| is_zone_allowed(job_state, zone));
    let allowed: Vec<&String> = allowed.collect();
    (!allowed.is_empty() && allowed.len() != all_zones.len()).then_some(allowed)
}

/// Adds a machine to the count of its pool, unless it is being decommissioned or has a preemption
/// notice.
fn count_machine(
    catalog: &[MachineType],
    machine: &Machine,
    counts: &mut BTreeMap<Pool, PoolCount>,
) {
    let is_leaving = machine.decommission_at.is_some() || machine.preemption_at.is_some();
    let Some(pool) = machine.pool().filter(|_| !is_leaving) else {
        return;
    };
    let (Some(machine_type), Some(count)) = (pool.type_in(catalog), counts.get_mut(&pool)) else {
        return;
    };
    count.provisioned += 1;
    if machine.tasks.is_empty() {
        return;
    }
    count.busy += 1;
    count.running += machine.used.share_of(machine_type.resources);
    let free = 1.0 - machine.used.share_of(machine_type.resources);
    if free >= URGENT_ROOM_FREE_FRACTION_MIN {
        count.free_room += free;
    }
    // Batch tasks that checkpoint lose little when preempted, so the room that they use counts as
    // available to urgent starts.
    for Binding { record, .. } in machine.tasks.values() {
        let has_checkpoints = record.kind == JobKind::Batch && record.checkpoint_s > 0.0;
        if has_checkpoints && record.priority_class <= PriorityClass::Normal {
            count.free_room += record.resources.share_of(machine_type.resources);
        }
        count.has_services |= record.kind == JobKind::Service;
    }
}

/// Adds a job's queued tasks to the counts of the pools that they may use. Empty and booting
/// machines of pools that are exhausted or slow take as many tasks as they hold; late machines take
/// no urgent tasks. The remaining tasks count on the first pool that has capacity and is not slow,
/// or on the preferred pool if there is none.
///
/// Counting all tasks on the next pool as soon as the first was exhausted scaled out a second fleet
/// beside the first, whose machines were still booting.
fn count_job_demand(
    catalog: &[MachineType],
    record: &JobRecord,
    exhausted: &[ExhaustedPool],
    slow_pools: &mut SlowPools,
    tasks: u32,
    counts: &mut BTreeMap<Pool, PoolCount>,
) {
    let mut tasks_left = f64::from(tasks);
    let is_urgent = record.priority_class > PriorityClass::Normal;
    let is_not_slow = |pool: &Pool| !slow_pools.is_slow(pool, is_urgent);
    let overflow_pool = available_pool(catalog, record, exhausted, is_not_slow)
        .or(preferred_pool(catalog, record, exhausted));
    for pool in eligible_pools(catalog, record) {
        let Some(count) = counts.get_mut(&pool).filter(|_| tasks_left > 0.0) else {
            continue;
        };
        let tasks_per_machine = tasks_per_machine(&catalog[pool.machine_type], record.resources);
        let late_machines = slow_pools.late_machines.get(&pool).filter(|_| is_urgent);
        let empty_machines = f64::from(count.provisioned - count.busy) - count.queued;
        let on_time_machines = empty_machines - f64::from(late_machines.copied().unwrap_or(0));
        let counted_here = if Some(pool) == overflow_pool {
            tasks_left
        } else {
            tasks_left.min((on_time_machines.max(0.0) * tasks_per_machine).floor())
        };
        count.queued += counted_here / tasks_per_machine;
        if is_urgent {
            *slow_pools.urgent_machines_queued.entry(pool).or_default() +=
                counted_here / tasks_per_machine;
        }
        count.has_services |= counted_here > 0.0 && record.kind == JobKind::Service;
        tasks_left -= counted_here;
        if Some(pool) == overflow_pool {
            return;
        }
    }
}
