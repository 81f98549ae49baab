//! Counts of the machines that queued and running tasks need, by pool.

use crate::controller::autoscaling::Zones;
use crate::controller::autoscaling::pool_selection::{
    all_pools, available_pool, eligible_pools, is_exhausted, preferred_pool, tasks_per_machine,
    tasks_within,
};
use crate::controller::machines::inventory::{Binding, Machine};
use crate::controller::pool::Pool;
use crate::controller::scheduling::constraints::{within_limit, zone_allowed};
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

/// A machine of which at least this share is free counts as room kept for urgent starts.
const SPARE_SHARE: f64 = 0.5;

/// A machine that has been booting for longer than so many times what its type's boots have
/// taken lately is late: usual ones take up to one and a half times as long. Urgent work
/// doesn't wait for it.
const LATE_BOOT_FACTOR: f64 = 1.75;

/// Pools of which at least half of the booting machines are late or overdue. Work that may
/// use other pools counts on those instead: an empty fleet whose smallest type didn't become ready
/// ran nothing, and scaled out and deleted that type's machines without end.
#[derive(Default)]
struct SlowPools {
    /// Slow for urgent work: half are late.
    for_urgent: BTreeSet<Pool>,
    /// Slow for all work: half are overdue.
    for_all: BTreeSet<Pool>,
    /// Late machines that aren't overdue yet.
    late: BTreeMap<Pool, u32>,
    /// Machines' worth of urgent work that counts on each pool. For these, as many others are
    /// scaled out as are late, once each: late ones that become ready after all count again.
    urgent_queued: BTreeMap<Pool, f64>,
}

impl SlowPools {
    /// Whether work that may use other pools counts on those instead.
    fn is_slow(&self, pool: &Pool, urgent: bool) -> bool {
        let pools = if urgent {
            &self.for_urgent
        } else {
            &self.for_all
        };
        pools.contains(pool)
    }
}

/// A pool's machines that aren't ready yet.
#[derive(Default)]
struct BootingCount {
    /// All of them.
    all: u32,
    /// Late ones that aren't overdue yet.
    late: u32,
    /// Overdue ones, which are replaced.
    overdue: u32,
}

impl BootingCount {
    /// Whether so many are at least half of them.
    fn is_half(&self, part: u32) -> bool {
        part > 0 && 2 * part >= self.all
    }
}

impl PoolCount {
    /// Makes the count ask for machines in place of late ones, as many as urgent work waits
    /// for beyond those that come in time. The room kept for urgent starts stays on the late ones:
    /// they may become ready, and count again then.
    fn replace_late(&mut self, late: u32, urgent_queued: u32) {
        let in_time = self.provisioned.saturating_sub(self.busy + late);
        let lacking = urgent_queued.saturating_sub(in_time).min(late);
        let wanted = self.wanted(u32::MAX);
        self.provisioned = self.provisioned.min(wanted.saturating_sub(lacking));
    }

    /// The larger of the two counts, each rounded up, within the ceiling.
    ///
    /// Queued tasks found no room on the busy machines, so their count is added to
    /// those: with just the larger of the two, a full machine with as many
    /// tasks queued as running would never get a second one beside it.
    pub(crate) fn wanted(&self, ceiling: u32) -> u32 {
        let by_queue = self.busy + self.queued.ceil() as u32;
        let by_running = self.running.ceil() as u32;
        let mut kept_machines = 0.0;
        if self.urgent {
            kept_machines = (self.keep - self.spare).max(0.0).ceil();
        }
        (by_queue.max(by_running) + kept_machines as u32).min(ceiling)
    }
}

impl ShardOwner {
    /// Counts every pool.
    pub(crate) fn count_pools(
        &self,
        catalog: &[MachineType],
        settings: &Settings,
        exhausted: &[ExhaustedPool],
        now: Time,
    ) -> BTreeMap<Pool, PoolCount> {
        let mut slow_pools = self.slow_pools(catalog, settings.tuning.boot, now);
        let with_kept_room = |pool| {
            let count = PoolCount {
                keep: self.kept_room(pool, catalog, settings.tuning.headroom, now),
                ..PoolCount::default()
            };
            (pool, count)
        };
        let mut counts: BTreeMap<Pool, PoolCount> =
            all_pools(catalog).map(with_kept_room).collect();
        for machine in self.machines.values() {
            if !self.needs_replacement(catalog, settings, machine, now) {
                count_machine(catalog, machine, &mut counts);
            }
        }
        self.count_waiting_jobs(catalog, settings, exhausted, &mut slow_pools, &mut counts);
        for (pool, urgent_queued) in slow_pools.urgent_queued {
            let late = slow_pools.late.get(&pool).copied().unwrap_or(0);
            if let Some(count) = counts.get_mut(&pool) {
                count.replace_late(late, urgent_queued.ceil() as u32);
            }
        }
        counts
    }

    /// Whether a machine is silent, outside a partition, or overdue. If it heartbeats after all, it
    /// is used or scaled in.
    fn needs_replacement(
        &self,
        catalog: &[MachineType],
        settings: &Settings,
        machine: &Machine,
        now: Time,
    ) -> bool {
        let lease_s = settings.platform.facts.workers.lease_s;
        let quiet = now.since(machine.last_heartbeat.max(self.since)) > lease_s;
        let partitioned = self.mass_partition || self.partitioned_zones.contains(&machine.zone);
        let silent =
            machine.ready_since.is_some() && machine.long_poll.is_none() && quiet && !partitioned;
        silent || self.boots_longer_than(settings.tuning.boot, catalog, machine, now)
    }

    /// Counts the queued tasks of the jobs that may start some.
    fn count_waiting_jobs(
        &self,
        catalog: &[MachineType],
        settings: &Settings,
        exhausted: &[ExhaustedPool],
        slow_pools: &mut SlowPools,
        counts: &mut BTreeMap<Pool, PoolCount>,
    ) {
        let mut team_quota_left = HashMap::new();
        for id in &self.waiting {
            let Some(job_state) = self.jobs.get(id) else {
                continue;
            };
            let record = &job_state.record;
            if self.failures.unplaceable(id) || !within_limit(self, settings, record) {
                continue;
            }
            let queued = job_state.queued();
            let tasks = self.tasks_within_quota(settings, queued, record, &mut team_quota_left);
            count_queued(catalog, record, exhausted, slow_pools, tasks, counts);
        }
    }

    /// The pools whose machines come late.
    fn slow_pools(&self, catalog: &[MachineType], overdue_factor: f64, now: Time) -> SlowPools {
        let mut booting: BTreeMap<Pool, BootingCount> = BTreeMap::new();
        for (_, machine) in self.machines.booting() {
            let Some(pool) = machine.pool() else {
                continue;
            };
            let count = booting.entry(pool).or_default();
            let late = self.boots_longer_than(LATE_BOOT_FACTOR, catalog, machine, now);
            let overdue = self.boots_longer_than(overdue_factor, catalog, machine, now);
            count.all += 1;
            count.late += u32::from(late && !overdue);
            count.overdue += u32::from(overdue);
        }
        let mut slow_pools = SlowPools::default();
        for (pool, count) in booting {
            slow_pools.late.insert(pool, count.late);
            if count.is_half(count.late + count.overdue) {
                slow_pools.for_urgent.insert(pool);
            }
            if count.is_half(count.overdue) {
                slow_pools.for_all.insert(pool);
            }
        }
        slow_pools
    }

    /// Machines lacking in particular zones: for tasks that may not go elsewhere, by
    /// their job's zone, by its other tasks' zone, or because the other zones hold as
    /// many of its tasks as they may.
    pub(crate) fn zone_shortfalls(
        &self,
        catalog: &[MachineType],
        exhausted: &[ExhaustedPool],
    ) -> Zones {
        let mut lacking = Zones::new();
        let mut empty_machines = self.empty_machines();
        let waiting = self.waiting.iter();
        let waiting = waiting.filter(|id| !self.failures.unplaceable(id));
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
                *lacking.entry((pool, zone.to_string())).or_default() += needed;
            }
        }
        lacking
    }

    /// Machines without tasks that stay, booting ones included, by pool and zone.
    fn empty_machines(&self) -> BTreeMap<(Pool, &str), u32> {
        let mut empty_machines = BTreeMap::new();
        for machine in self.machines.values() {
            let stays = machine.decommission_at.is_none() && machine.notice.is_none();
            if let Some(pool) = machine.pool().filter(|_| machine.tasks.is_empty() && stays) {
                *empty_machines.entry((pool, &*machine.zone)).or_default() += 1;
            }
        }
        empty_machines
    }

    /// How many queued tasks the team's limit still lets run. `quota_left` has what the jobs that
    /// were counted before leave of each team's limit.
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
        let used = self.teams.get(&record.team).copied().unwrap_or_default();
        let left = quota_left.entry(record.team.clone()).or_insert_with(|| {
            let (cpus, gpus) = self.quota_share(team);
            let unused = |limit: f64, used: f64| {
                if limit < f64::MAX {
                    limit - used
                } else {
                    limit
                }
            };
            Resources {
                cpus: unused(cpus, used.cpus),
                gpus: unused(gpus, used.gpus),
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

/// The zones of a machine type to which a job's next task may go, if it may not go to all of them.
fn restricted_zones<'a>(
    job_state: &JobState,
    machine_type: &'a MachineType,
) -> Option<Vec<&'a String>> {
    let all = &machine_type.zones;
    let allowed = all.iter().filter(|zone| zone_allowed(job_state, zone));
    let allowed: Vec<&String> = allowed.collect();
    (!allowed.is_empty() && allowed.len() != all.len()).then_some(allowed)
}

/// Counts a machine that neither is to be replaced nor leaves.
fn count_machine(
    catalog: &[MachineType],
    machine: &Machine,
    counts: &mut BTreeMap<Pool, PoolCount>,
) {
    let leaving = machine.decommission_at.is_some() || machine.notice.is_some();
    let Some(pool) = machine.pool().filter(|_| !leaving) else {
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
    if free >= SPARE_SHARE {
        count.spare += free;
    }
    // Batch work that checkpoints is preempted for urgent starts at hardly any cost.
    for Binding { record, .. } in machine.tasks.values() {
        let checkpoints = record.kind == JobKind::Batch && record.checkpoint_s > 0.0;
        if checkpoints && record.priority_class <= PriorityClass::Normal {
            count.spare += record.resources.share_of(machine_type.resources);
        }
        count.urgent |= record.kind == JobKind::Service;
    }
}

/// Counts a job's queued tasks. Where the cloud has no capacity left they count on the next
/// pool, but only those for which the booting machines have no room: counting them
/// all scaled out a second fleet beside the first, when an empty one's first pool was full.
fn count_queued(
    catalog: &[MachineType],
    record: &JobRecord,
    exhausted: &[ExhaustedPool],
    slow_pools: &mut SlowPools,
    tasks: u32,
    counts: &mut BTreeMap<Pool, PoolCount>,
) {
    let mut left = f64::from(tasks);
    let urgent = record.priority_class > PriorityClass::Normal;
    let in_time = |pool: &Pool| !slow_pools.is_slow(pool, urgent);
    let last_pool = available_pool(catalog, record, exhausted, in_time)
        .or(preferred_pool(catalog, record, exhausted));
    for pool in eligible_pools(catalog, record) {
        let Some(count) = counts.get_mut(&pool).filter(|_| left > 0.0) else {
            continue;
        };
        let tasks_per_machine = tasks_per_machine(&catalog[pool.machine_type], record.resources);
        let late = slow_pools.late.get(&pool).filter(|_| urgent);
        let empty = f64::from(count.provisioned - count.busy) - count.queued;
        let in_time = empty - f64::from(late.copied().unwrap_or(0));
        let counted_here = if Some(pool) == last_pool {
            left
        } else {
            left.min((in_time.max(0.0) * tasks_per_machine).floor())
        };
        count.queued += counted_here / tasks_per_machine;
        if urgent {
            *slow_pools.urgent_queued.entry(pool).or_default() += counted_here / tasks_per_machine;
        }
        count.urgent |= counted_here > 0.0 && record.kind == JobKind::Service;
        left -= counted_here;
        if Some(pool) == last_pool {
            return;
        }
    }
}
