//! Rules on tasks: a task runs on one machine at a time, on a machine that its job's constraints
//! allow, within its team's limit, after its job's dependencies, and not after its job's
//! cancellation was confirmed.

use super::{Checker, Place, ROUNDING_SLACK, first_task};
use salttrestle::controller::store::records::JobRecord;
use salttrestle::ids::TaskId;

impl Checker {
    /// Records that a task has started on a machine, and checks the start.
    pub fn record_start(&mut self, now: u64, task: &TaskId, place: Place) {
        self.start_count += 1;
        self.check_runs_once(now, task, &place);
        self.check_place(now, task, &place);
        self.check_dependencies(now, task);
        self.running.entry(task.clone()).or_default().push(place);
        if self.count_start(now, task) {
            self.cancelled_with_tasks.insert(task.job.clone());
            self.add_violation(now, "started_cancelled", format!("{task} starts"));
        }
        self.check_quota(now, task);
        self.check_cancelled(now);
    }

    /// Records that a task is no longer on a machine.
    pub fn record_stop(&mut self, task: &TaskId, machine: &str) {
        let Some(places) = self.running.get_mut(task) else {
            return;
        };
        let count_before = places.len();
        places.retain(|place| place.machine != machine);
        let (removed, is_empty) = (count_before - places.len(), places.is_empty());
        if is_empty {
            self.running.remove(task);
        }
        if let Some(job) = self.jobs.get(&task.job) {
            let used = self
                .used_by_team
                .entry(job.record.team.clone())
                .or_default();
            used.add(job.record.resources, -(removed as f64));
        }
        if is_empty && !self.has_running_tasks(&task.job) {
            self.cancelled_with_tasks.remove(&task.job);
        }
    }

    /// Records that a task has completed.
    pub fn record_completion(&mut self, now: u64, task: &TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.finished_tasks.insert(task.index);
            if job.is_finished() {
                job.finished_at.get_or_insert(now);
            }
        }
    }

    /// Adds a started task to its job and its team's usage. Returns whether its job's cancellation
    /// was confirmed before.
    fn count_start(&mut self, now: u64, task: &TaskId) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let used = self
            .used_by_team
            .entry(job.record.team.clone())
            .or_default();
        used.add(job.record.resources, 1.0);
        job.first_started_at.get_or_insert(now);
        job.started_tasks.insert(task.index);
        job.notified.cancelled_at.is_some()
    }

    fn check_runs_once(&mut self, now: u64, task: &TaskId, place: &Place) {
        let other = self.running.get(task).and_then(|places| places.first());
        if let Some(other) = other {
            let what = format!("{task} on {} and {}", other.machine, place.machine);
            self.add_violation(now, "ran_twice", what);
        }
    }

    fn check_dependencies(&mut self, now: u64, task: &TaskId) {
        let job = self.jobs.get(&task.job);
        if let Some(open) = job.and_then(|job| self.open_dependency(&job.record)) {
            let what = format!("{task} starts before {open} is done");
            self.add_violation(now, "too_early", what);
        }
    }

    fn check_place(&mut self, now: u64, task: &TaskId, place: &Place) {
        let Some(job) = self.jobs.get(&task.job) else {
            return self.add_violation(now, "invented", format!("{task} was never submitted"));
        };
        let wrong = self.broken_constraints(task, &job.record, place);
        if !wrong.is_empty() {
            let what = format!("{task} on {}: {}", place.machine, wrong.join(", "));
            self.add_violation(now, "wrong_place", what);
        }
    }

    /// The names of a job's constraints that a place for one of its tasks breaks.
    fn broken_constraints(
        &self,
        task: &TaskId,
        record: &JobRecord,
        place: &Place,
    ) -> Vec<&'static str> {
        let others = self.running.range(first_task(&task.job)..);
        let others = others.take_while(|(other, _)| other.job == task.job);
        let others: Vec<&Place> = others.flat_map(|(_, places)| places).collect();
        let in_zone = others.iter().filter(|other| other.zone == place.zone);
        let in_zone = in_zone.count();
        let types = record.types.as_ref();
        let wrong_type = types.is_some_and(|types| !types.contains(&place.class));
        let zone = record.zone.as_ref();
        let wrong_zone = zone.is_some_and(|zone| *zone != place.zone);
        let in_zone_max = record.count.div_ceil(2) as usize;
        let constraints = [
            ("type", wrong_type),
            ("zone", wrong_zone),
            ("spot", place.spot && !record.spot),
            ("samePlace", record.zone_affinity && in_zone != others.len()),
            ("scatter", record.zone_spread && in_zone + 1 > in_zone_max),
        ];
        let broken = constraints.into_iter().filter(|(_, broken)| *broken);
        broken.map(|(name, _)| name).collect()
    }

    /// Checks that the team of a task that has just started is within its limit.
    fn check_quota(&mut self, now: u64, task: &TaskId) {
        let team = self.jobs.get(&task.job).map(|job| job.record.team.clone());
        if let Some(team) = team {
            self.check_team_limit(now, &team);
        }
    }

    fn check_team_limit(&mut self, now: u64, team: &str) {
        let used = self.used_by_team.get(team).copied().unwrap_or_default();
        let limit = self.limits.get(team).copied().unwrap_or_default();
        let exceeds = |used: f64, limit: f64| limit > 0.0 && used > limit + ROUNDING_SLACK;
        if exceeds(used.cpus, limit.0) || exceeds(used.gpus, limit.1) {
            let what = format!("{team} uses {} CPUs, {} GPUs", used.cpus, used.gpus);
            self.add_violation(now, "quota", what);
        }
    }

    /// Sets a team's limit on CPUs and GPUs. Reports a violation if the limit is new and the team's
    /// tasks use more.
    pub fn set_limit(&mut self, now: u64, team: &str, limit: (f64, f64)) {
        if self.limits.insert(team.into(), limit) != Some(limit) {
            self.check_team_limit(now, team);
        }
    }

    /// Whether one more task of a job stays within its team's limit.
    pub fn fits_team_limit(&self, record: &JobRecord) -> bool {
        let used = self
            .used_by_team
            .get(&record.team)
            .copied()
            .unwrap_or_default();
        let limit = self.limits.get(&record.team).copied().unwrap_or_default();
        let fits = |used: f64, need: f64, limit: f64| {
            limit <= 0.0 || used + need <= limit + ROUNDING_SLACK
        };
        fits(used.cpus, record.resources.cpus, limit.0)
            && fits(used.gpus, record.resources.gpus, limit.1)
    }

    /// Reports a cancelled job that still has tasks on machines after the cancellation bound.
    pub fn check_cancelled(&mut self, now: u64) {
        let late = self.cancelled_with_tasks.iter().find(|id| {
            let job = self.jobs.get(*id);
            let confirmed = job.and_then(|job| job.notified.cancelled_at);
            confirmed.is_some_and(|at| now > at + self.cancel_ms)
        });
        if let Some(id) = late {
            let what = format!("tasks of {id} are still on machines");
            self.add_violation(now, "ran_cancelled", what);
        }
    }
}
