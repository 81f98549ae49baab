//! Which machines are quarantined, and which jobs fail wherever they run.
//!
//! A task that fails speaks against its machine or against its job, and one failure doesn't
//! tell which. What does is where the job fails and where it doesn't: a job that failed on
//! several machines is crash-looping, and its failures no longer count against them; a machine is
//! quarantined once jobs that failed there have succeeded elsewhere. Counting failures alone gave
//! up healthy machines that a swarm of crash-looping jobs had been tried on.

use crate::ids::{JobId, MachineId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Jobs that failed on a machine and succeeded elsewhere, of which two prove it quarantined.
const FAULTY_PROVEN: usize = 2;
/// Jobs that failed on a machine, of which one succeeded elsewhere, that prove it as well.
const FAULTY_SUSPECTED: usize = 3;
/// How long a machine rests after a failure, in seconds; doubles with each job that failed.
const QUARANTINE_S: f64 = 5.0;
/// Longest rest while no job that failed there has succeeded elsewhere, and once one has.
const QUARANTINE_SUSPECTED_MAX_S: f64 = 20.0;
const QUARANTINE_PROVEN_MAX_S: f64 = 120.0;
/// A job that failed on this many machines without any success between is crash-looping.
const CRASH_LOOP_MACHINES: usize = 3;
/// Machines remembered of each job's failures.
const MACHINES_MAX: usize = 8;
/// Failures of one job on one machine within this time are one failed try: the tasks of an
/// array that were started there together.
const SAME_TRY_S: f64 = 2.0;
/// After so many failed tries in a row a job doesn't make the fleet grow.
const UNPLACEABLE_TRIES: u32 = 6;
/// So many failed tries in a row are followed by the next at once, with all tasks: mostly they
/// are the machine's fault.
const PROMPT_TRIES: u32 = 2;
/// Longest pause before a failing job is tried again, in seconds.
const PAUSE_MAX_S: f64 = 30.0;

/// The failures of one job.
#[derive(Clone, Debug, Default, PartialEq)]
struct JobFailures {
    /// Failed tries since a task of it last succeeded.
    tries: u32,
    /// The latest one.
    last: Option<(MachineId, Time)>,
    machines: BTreeSet<MachineId>,
}

impl JobFailures {
    fn note(&mut self, now: Time, machine: &MachineId) {
        let last = self.last.replace((machine.clone(), now));
        let same = last.is_some_and(|(on, at)| on == *machine && now.since(at) < SAME_TRY_S);
        self.tries += u32::from(!same);
        if self.machines.len() < MACHINES_MAX {
            self.machines.insert(machine.clone());
        }
    }

    fn is_crash_looping(&self) -> bool {
        self.tries as usize >= CRASH_LOOP_MACHINES && self.machines.len() >= CRASH_LOOP_MACHINES
    }
}

/// The failures on one machine since a task last succeeded there.
#[derive(Debug, Default)]
struct MachineFailures {
    /// Jobs that failed there and aren't known to be crash-looping.
    suspected_by: BTreeSet<JobId>,
    /// Those of them that have succeeded elsewhere.
    proven_by: BTreeSet<JobId>,
    quarantined_until: Time,
}

impl MachineFailures {
    fn is_faulty(&self) -> bool {
        let proven = self.proven_by.len();
        proven >= FAULTY_PROVEN || proven > 0 && self.suspected_by.len() >= FAULTY_SUSPECTED
    }

    fn attribute_failure(&mut self, now: Time, job: &JobId) {
        self.suspected_by.insert(job.clone());
        let doublings = self.suspected_by.len() - 1;
        let rest_s = QUARANTINE_S * 2f64.powi(doublings.min(16) as i32);
        let most_s = if self.proven_by.is_empty() {
            QUARANTINE_SUSPECTED_MAX_S
        } else {
            QUARANTINE_PROVEN_MAX_S
        };
        self.quarantined_until = now.after(rest_s.min(most_s));
    }

    fn clear_failures(&mut self, job: &JobId) {
        self.suspected_by.remove(job);
        self.proven_by.remove(job);
        if self.suspected_by.is_empty() {
            self.quarantined_until = Time(0);
        }
    }
}

/// What the failures in a shard say of its jobs and machines.
#[derive(Debug, Default)]
pub(crate) struct FailureLog {
    jobs: BTreeMap<JobId, JobFailures>,
    machines: BTreeMap<MachineId, MachineFailures>,
}

impl FailureLog {
    /// Notes that a task failed; returns the job's failed tries in a row.
    pub(crate) fn task_failed(&mut self, now: Time, job: &JobId, machine: &MachineId) -> u32 {
        let failures = self.jobs.entry(job.clone()).or_default();
        failures.note(now, machine);
        let tries = failures.tries;
        if failures.is_crash_looping() {
            self.clear_machine_failures(job);
        } else {
            let on = self.machines.entry(machine.clone()).or_default();
            on.attribute_failure(now, job);
        }
        tries
    }

    /// Notes that a task completed, or runs well; returns machines that this proves quarantined.
    pub(crate) fn task_succeeded(&mut self, job: &JobId, machine: &MachineId) -> Vec<MachineId> {
        self.machines.remove(machine);
        let Some(failures) = self.jobs.get_mut(job) else {
            return Vec::new();
        };
        failures.tries = 0;
        let mut faulty = Vec::new();
        for id in failures.machines.iter().filter(|id| *id != machine) {
            let Some(on) = self.machines.get_mut(id) else {
                continue;
            };
            if on.suspected_by.contains(job) && on.proven_by.insert(job.clone()) && on.is_faulty() {
                faulty.push(id.clone());
            }
        }
        faulty
    }

    /// Takes over what an earlier owner wrote of a job's failures.
    pub(crate) fn restore(&mut self, now: Time, job: &JobId, tries: u32, machines: &[MachineId]) {
        if machines.is_empty() {
            return;
        }
        let failures = self.jobs.entry(job.clone()).or_default();
        failures.tries = failures.tries.max(tries);
        failures.machines.extend(machines.iter().cloned());
        if failures.is_crash_looping() {
            return self.clear_machine_failures(job);
        }
        for machine in machines {
            let on = self.machines.entry(machine.clone()).or_default();
            on.attribute_failure(now, job);
        }
    }

    /// What the next owner has to know of a job: its failed tries in a row, and where they
    /// were.
    pub(crate) fn failures_of_job(&self, job: &JobId) -> (u32, Vec<MachineId>) {
        let Some(failures) = self.jobs.get(job) else {
            return (0, Vec::new());
        };
        let machines = failures.machines.iter().cloned();
        (failures.tries, machines.collect())
    }

    /// Whether a job failed on a machine.
    pub(crate) fn failed_on(&self, job: &JobId, machine: &MachineId) -> bool {
        let failures = self.jobs.get(job);
        failures.is_some_and(|f| f.machines.contains(machine))
    }

    /// Whether a job has failed so often that it is tried one task at a time.
    pub(crate) fn runs_one_task_at_a_time(&self, job: &JobId) -> bool {
        let failures = self.jobs.get(job);
        failures.is_some_and(|f| f.tries >= PROMPT_TRIES)
    }

    /// Whether a job has failed so often that no machine is scaled out for it.
    pub(crate) fn blocks_scale_out(&self, job: &JobId) -> bool {
        let failures = self.jobs.get(job);
        failures.is_some_and(|f| f.tries >= UNPLACEABLE_TRIES)
    }

    /// How long a job waits before its next try, in seconds.
    pub(crate) fn pause_s(&self, job: &JobId) -> f64 {
        let tries = self.jobs.get(job).map_or(0, |f| f.tries);
        match tries.saturating_sub(PROMPT_TRIES) {
            0 => 0.0,
            beyond => 2f64.powi(beyond.min(8) as i32).min(PAUSE_MAX_S),
        }
    }

    /// Whether a machine may be given tasks.
    pub(crate) fn may_run_tasks(&self, machine: &MachineId, now: Time) -> bool {
        let on = self.machines.get(machine);
        on.is_none_or(|on| now >= on.quarantined_until)
    }

    /// Forgets a job that is over.
    pub(crate) fn forget_job(&mut self, job: &JobId) {
        let Some(failures) = self.jobs.remove(job) else {
            return;
        };
        for machine in failures.machines {
            if let Some(on) = self.machines.get_mut(&machine)
                && !on.proven_by.contains(job)
            {
                on.clear_failures(job);
            }
        }
    }

    /// Forgets a machine that is gone.
    pub(crate) fn forget_machine(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }

    fn clear_machine_failures(&mut self, job: &JobId) {
        let Some(failures) = self.jobs.get(job) else {
            return;
        };
        for machine in &failures.machines {
            if let Some(on) = self.machines.get_mut(machine) {
                on.clear_failures(job);
            }
        }
    }
}
