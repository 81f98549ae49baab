//! Counts of what waits and what runs, by pool.

use crate::controller::autoscaling::Zones;
use crate::controller::machines::inventory::{Binding, Machine};
use crate::controller::pool::{Market, Pool};
use crate::controller::scheduling::constraints::{within_limit, zone_allowed};
use crate::controller::shard::ShardOwner;
use crate::controller::store::records::{
    ExhaustedPool, JobKind, JobRecord, PriorityClass, Resources,
};
use crate::ids::Time;
use crate::peer::PoolCount;
use crate::settings::Settings;
use crate::wire::MachineType;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A machine this much free counts as room kept for urgent starts.
const SPARE_SHARE: f64 = 0.5;

/// A machine that has been booting for longer than so many times what its type's boots have
/// taken lately is late: usual ones take up to one and a half times as long. Urgent work
/// doesn't wait for it.
const LATE_BOOTS: f64 = 1.75;

/// Pools of which at least half of the machines that boot are late or overdue. Work that may
/// use others counts on these: an empty fleet whose smallest type didn't come up ran nothing,
/// and scaled out and deleted that type's machines without end.
#[derive(Default)]
struct SlowPools {
    /// Slow for urgent work: half are late.
    for_urgent: BTreeSet<Pool>,
    /// Slow for all work: half are overdue.
    for_all: BTreeSet<Pool>,
    /// Late machines that aren't overdue yet.
    late: BTreeMap<Pool, u32>,
    /// Machines' worth of urgent work that counts on each pool. For these, as many others are
    /// scaled out as are late, once each: late ones that come after all count again.
    urgent_waiting: BTreeMap<Pool, f64>,
}

/// A pool's machines that haven't come up yet.
#[derive(Default)]
struct BootingCount {
    all: u32,
    /// Late ones that aren't overdue yet.
    late: u32,
    overdue: u32,
}

impl BootingCount {
    /// Whether so many are at least half of them.
    fn mostly(&self, some: u32) -> bool {
        some > 0 && 2 * some >= self.all
    }
}

impl SlowPools {
    fn slow(&self, pool: &Pool, urgent: bool) -> bool {
        let pools = if urgent {
            &self.for_urgent
        } else {
            &self.for_all
        };
        pools.contains(pool)
    }
}

impl PoolCount {
    /// Makes the count ask for machines in place lately ones, as many as urgent work waits
    /// for beyond those that come in time. The room that is kept stays on the late ones: they
    /// may come, and count again then.
    fn replace_late(&mut self, late: u32, waiting: u32) {
        let in_time = self.provisioned.saturating_sub(self.busy + late);
        let lacking = waiting.saturating_sub(in_time).min(late);
        let wanted = self.wanted(u32::MAX);
        self.provisioned = self.provisioned.min(wanted.saturating_sub(lacking));
    }

    /// The larger of the two counts, each rounded up, within the ceiling.
    ///
    /// Tasks that wait found no room on the busy machines, so their count stands on
    /// top of those: with the bare larger of the two, a full machine with as many
    /// tasks waiting as running would never get a second one beside it.
    pub(crate) fn wanted(&self, ceiling: u32) -> u32 {
        let by_queue = self.busy + self.queued.ceil() as u32;
        let by_running = self.running.ceil() as u32;
        let mut resources = 0.0;
        if self.urgent {
            resources = (self.keep - self.spare).max(0.0).ceil();
        }
        (by_queue.max(by_running) + resources as u32).min(ceiling)
    }
}

impl ShardOwner {
    /// Counts every pool.
    pub(crate) fn counts(
        &self,
        catalog: &[MachineType],
        settings: &Settings,
        closed: &[ExhaustedPool],
        now: Time,
    ) -> BTreeMap<Pool, PoolCount> {
        let lease_s = settings.platform.facts.workers.lease_s;
        let mut slow = self.slow_pools(catalog, settings.tuning.boot, now);
        let mut counts: BTreeMap<Pool, PoolCount> = BTreeMap::new();
        for pool in all_pools(catalog) {
            let keep = self.keep(pool, catalog, settings.tuning.headroom, now);
            let count = PoolCount {
                keep,
                ..PoolCount::default()
            };
            counts.insert(pool, count);
        }
        for machine in self.machines.values() {
            let quiet = now.since(machine.last_heartbeat.max(self.since)) > lease_s;
            let cut = self.mass_partition || self.partitioned_zones.contains(&machine.zone);
            let silent =
                machine.ready_since.is_some() && machine.long_poll.is_none() && quiet && !cut;
            // An overdue machine is replaced. If it comes after all, it is used or returned.
            let overdue = settings.tuning.boot;
            let silent = silent || self.boots_longer_than(overdue, catalog, machine, now);
            self.count_machine(catalog, machine, silent, &mut counts);
        }
        let mut team_left = HashMap::new();
        for id in &self.waiting {
            let Some(job_state) = self.jobs.get(id) else {
                continue;
            };
            if self.failures.unplaceable(id) || !within_limit(self, settings, &job_state.record) {
                continue;
            }
            let tasks = self.within_team(
                settings,
                job_state.queued(),
                &job_state.record,
                &mut team_left,
            );
            count_queued(
                catalog,
                &job_state.record,
                closed,
                &mut slow,
                tasks,
                &mut counts,
            );
        }
        for (pool, waiting) in slow.urgent_waiting {
            let late = slow.late.get(&pool).copied().unwrap_or(0);
            if let Some(count) = counts.get_mut(&pool) {
                count.replace_late(late, waiting.ceil() as u32);
            }
        }
        counts
    }

    /// The pools whose machines come late.
    fn slow_pools(&self, catalog: &[MachineType], overdue: f64, now: Time) -> SlowPools {
        let mut booting: BTreeMap<Pool, BootingCount> = BTreeMap::new();
        for (_, machine) in self.machines.booting() {
            let Some(pool) = machine.pool() else {
                continue;
            };
            let count = booting.entry(pool).or_default();
            let late = self.boots_longer_than(LATE_BOOTS, catalog, machine, now);
            let overdue = self.boots_longer_than(overdue, catalog, machine, now);
            count.all += 1;
            count.late += u32::from(late && !overdue);
            count.overdue += u32::from(overdue);
        }
        let mut slow = SlowPools::default();
        for (pool, count) in booting {
            slow.late.insert(pool, count.late);
            if count.mostly(count.late + count.overdue) {
                slow.for_urgent.insert(pool);
            }
            if count.mostly(count.overdue) {
                slow.for_all.insert(pool);
            }
        }
        slow
    }

    /// Machines lacking in particular zones: for tasks that may not go elsewhere, by
    /// their job's zone, by its other tasks' zone, or because the other zones hold as
    /// many of its tasks as they may.
    pub(crate) fn pins(&self, catalog: &[MachineType], closed: &[ExhaustedPool]) -> Zones {
        let mut pins = Zones::new();
        let mut ahead: BTreeMap<(Pool, &str), u32> = BTreeMap::new();
        for machine in self.machines.values() {
            let stays = machine.decommission_at.is_none() && machine.notice.is_none();
            if let Some(pool) = machine.pool().filter(|_| machine.tasks.is_empty() && stays) {
                *ahead.entry((pool, &*machine.zone)).or_default() += 1;
            }
        }
        let waiting = self.waiting.iter();
        let waiting = waiting.filter(|id| !self.failures.unplaceable(id));
        for job_state in waiting.filter_map(|id| self.jobs.get(id)) {
            let Some(pool) = pool_for(catalog, &job_state.record, closed) else {
                continue;
            };
            let class = &catalog[pool.machine_type];
            let zones = class.zones.iter().filter(|z| zone_allowed(job_state, z));
            let zones: Vec<&String> = zones.collect();
            if zones.is_empty() || zones.len() == class.zones.len() {
                continue;
            }
            let per = per_machine(class, job_state.record.resources);
            let mut need = (f64::from(job_state.queued()) / per).ceil() as u32;
            for zone in &zones {
                let have = ahead.entry((pool, zone.as_str())).or_default();
                let taken = need.min(*have);
                *have -= taken;
                need -= taken;
            }
            let shut = |z: &str| {
                let same =
                    |c: &ExhaustedPool| c.0 == class.name && c.1 == z && c.2 == pool.is_spot();
                closed.iter().any(same)
            };
            if let Some(zone) = zones.iter().find(|z| !shut(z)).filter(|_| need > 0) {
                *pins.entry((pool, zone.to_string())).or_default() += need;
            }
        }
        pins
    }

    fn count_machine(
        &self,
        catalog: &[MachineType],
        machine: &Machine,
        silent: bool,
        counts: &mut BTreeMap<Pool, PoolCount>,
    ) {
        let leaving = silent || machine.decommission_at.is_some() || machine.notice.is_some();
        let Some(pool) = machine.pool().filter(|_| !leaving) else {
            return;
        };
        let (Some(class), Some(c)) = (pool.type_in(catalog), counts.get_mut(&pool)) else {
            return;
        };
        c.provisioned += 1;
        if machine.tasks.is_empty() {
            return;
        }
        c.busy += 1;
        c.running += machine.used.share_of(class.resources);
        let free = 1.0 - machine.used.share_of(class.resources);
        if free >= SPARE_SHARE {
            c.spare += free;
        }
        // Batch work that saves its progress makes room for urgent starts at hardly any cost.
        for Binding { record, .. } in machine.tasks.values() {
            let saves = record.kind == JobKind::Batch && record.checkpoint_s > 0.0;
            if saves && record.priority_class <= PriorityClass::Normal {
                c.spare += record.resources.share_of(class.resources);
            }
            c.urgent |= record.kind == JobKind::Service;
        }
    }

    /// How many queued tasks the team's limit still lets run.
    fn within_team(
        &self,
        settings: &Settings,
        queued: u32,
        record: &JobRecord,
        left: &mut HashMap<String, Resources>,
    ) -> u32 {
        let teams = &settings.platform.facts.teams;
        let Some(team) = teams.iter().find(|t| t.name == record.team) else {
            return 0;
        };
        let used = self.teams.get(&record.team).copied().unwrap_or_default();
        let resources = left.entry(record.team.clone()).or_insert_with(|| {
            let (cpus, gpus) = self.quota_share(team);
            let part = |max: f64, used: f64| if max < f64::MAX { max - used } else { max };
            Resources {
                cpus: part(cpus, used.cpus),
                gpus: part(gpus, used.gpus),
                mem: f64::MAX,
            }
        });
        let fit = |left: f64, need: f64| {
            if need > 0.0 {
                (left / need + 1e-6).floor()
            } else {
                f64::MAX
            }
        };
        let most = fit(resources.cpus, record.resources.cpus)
            .min(fit(resources.gpus, record.resources.gpus));
        let tasks = f64::from(queued).min(most.max(0.0));
        if resources.cpus < f64::MAX {
            resources.cpus -= tasks * record.resources.cpus;
        }
        if resources.gpus < f64::MAX {
            resources.gpus -= tasks * record.resources.gpus;
        }
        tasks as u32
    }
}

/// Counts a job's queued tasks. Where the cloud has nothing left they count on the next
/// pool, but only those that the machines on their way there don't hold: counting them
/// all scaled out a second fleet beside the first, when an empty one's first pool was full.
fn count_queued(
    catalog: &[MachineType],
    record: &JobRecord,
    closed: &[ExhaustedPool],
    slow: &mut SlowPools,
    tasks: u32,
    counts: &mut BTreeMap<Pool, PoolCount>,
) {
    let mut left = f64::from(tasks);
    let urgent = record.priority_class > PriorityClass::Normal;
    let in_time = |pool: &Pool| !slow.slow(pool, urgent);
    let last = open_pool(catalog, record, closed, in_time).or(pool_for(catalog, record, closed));
    for pool in pools_for(catalog, record) {
        let Some(c) = counts.get_mut(&pool).filter(|_| left > 0.0) else {
            continue;
        };
        let per = per_machine(&catalog[pool.machine_type], record.resources);
        let late = slow.late.get(&pool).filter(|_| urgent);
        let empty = f64::from(c.provisioned - c.busy) - c.queued;
        let coming = empty - f64::from(late.copied().unwrap_or(0));
        let here = if Some(pool) == last {
            left
        } else {
            left.min((coming.max(0.0) * per).floor())
        };
        c.queued += here / per;
        if urgent {
            *slow.urgent_waiting.entry(pool).or_default() += here / per;
        }
        c.urgent |= here > 0.0 && record.kind == JobKind::Service;
        left -= here;
        if Some(pool) == last {
            return;
        }
    }
}

/// The pool on which a task counts: the smallest type that fits, spot where the
/// job may use it. Where the cloud has nothing left, the next one.
pub(crate) fn pool_for(
    catalog: &[MachineType],
    record: &JobRecord,
    closed: &[ExhaustedPool],
) -> Option<Pool> {
    let first = || pools_for(catalog, record).first().copied();
    open_pool(catalog, record, closed, |_| true).or_else(first)
}

/// The first of a task's pools of which the cloud has machines left and that `passes` lets pass.
fn open_pool(
    catalog: &[MachineType],
    record: &JobRecord,
    closed: &[ExhaustedPool],
    passes: impl Fn(&Pool) -> bool,
) -> Option<Pool> {
    let pools = pools_for(catalog, record);
    let open = |pool: &&Pool| {
        let name = &catalog[pool.machine_type].name;
        let zones = &catalog[pool.machine_type].zones;
        let mut zones = zones
            .iter()
            .filter(|z| record.zone.as_ref().is_none_or(|r| r == *z));
        zones.any(|z| {
            !closed
                .iter()
                .any(|c| c.0 == *name && c.1 == *z && c.2 == pool.is_spot())
        })
    };
    let mut pools = pools.iter().filter(|pool| passes(pool));
    pools.find(open).copied()
}

/// Each pool that there is.
fn all_pools(catalog: &[MachineType]) -> impl Iterator<Item = Pool> {
    let types = 0..catalog.len();
    types.flat_map(|machine_type| {
        Market::ALL.map(|market| Pool {
            machine_type,
            market,
        })
    })
}

/// The pools that a task may use, in the order in which it counts on them.
fn pools_for(catalog: &[MachineType], record: &JobRecord) -> Vec<Pool> {
    let mut pools: Vec<Pool> = Vec::new();
    for (class, info) in catalog.iter().enumerate() {
        if record.allows(&info.name) && info.resources.holds(record.resources) {
            pools.push(Pool::of(class, false));
            if record.spot {
                pools.push(Pool::of(class, true));
            }
        }
    }
    pools.sort_by(|a, b| {
        let size = |p: &Pool| {
            catalog[p.machine_type].resources.gpus + catalog[p.machine_type].resources.cpus / 1e3
        };
        b.market.cmp(&a.market).then(size(a).total_cmp(&size(b)))
    });
    pools
}

/// How many of a task one machine holds; at least one.
pub(crate) fn per_machine(class: &MachineType, need: Resources) -> f64 {
    let fit = |have: f64, need: f64| {
        if need > 0.0 {
            (have / need + 1e-6).floor()
        } else {
            f64::MAX
        }
    };
    fit(class.resources.cpus, need.cpus)
        .min(fit(class.resources.gpus, need.gpus))
        .min(fit(class.resources.mem, need.mem))
        .clamp(1.0, 1e6)
}
