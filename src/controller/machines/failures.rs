//! Attribution of task failures to faulty machines or to crash-looping jobs.
//!
//! The cause of a task failure is its machine or its job, and a single failure doesn't show which.
//! The machines on which a job fails and succeeds do:
//! - A job that failed on several machines without a success in between is crash-looping. Its
//!   failures no longer count against these machines.
//! - A machine is faulty once jobs that failed there have succeeded elsewhere.
//!
//! After a failure, a machine is quarantined for a while: it gets no new tasks. Counting failures
//! alone decommissioned healthy machines on which many crash-looping jobs had been tried.

use crate::ids::{JobId, MachineId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A machine is faulty when this many jobs failed on it and succeeded elsewhere.
const FAULTY_PROVEN_JOBS: usize = 2;
/// A machine is also faulty when this many jobs failed on it and at least one of them succeeded
/// elsewhere.
const FAULTY_SUSPECTING_JOBS: usize = 3;
/// Quarantine of a machine after a failure, in seconds. It doubles with each further job that fails
/// there.
const QUARANTINE_S: f64 = 5.0;
/// Longest quarantine while no job that failed on the machine has succeeded elsewhere, in seconds.
const QUARANTINE_SUSPECTED_MAX_S: f64 = 20.0;
/// Longest quarantine once a job that failed on the machine has succeeded elsewhere, in seconds.
const QUARANTINE_PROVEN_MAX_S: f64 = 120.0;
/// A job with this many failed tries in a row that has failed on this many machines is
/// crash-looping.
const CRASH_LOOP_MACHINES: usize = 3;
/// Maximum number of machines that are remembered for the failures of one job.
const FAILED_MACHINES_MAX: usize = 8;
/// Consecutive failures of one job on the same machine, each within this many seconds of the
/// previous one, count as one failed try: these are the tasks of an array that were started there
/// together.
const SAME_TRY_S: f64 = 2.0;
/// After this many failed tries in a row, no machines are added for a job.
const NO_SCALE_OUT_TRIES: u32 = 6;
/// A job with fewer failed tries in a row than this may start all its tasks at once. Up to this
/// many, it is retried without a delay, since the machine is mostly at fault.
const PROMPT_TRIES: u32 = 2;
/// Longest delay before a failing job is retried, in seconds.
const RETRY_DELAY_MAX_S: f64 = 30.0;

/// The failures of one job.
#[derive(Clone, Debug, Default, PartialEq)]
struct JobFailures {
    /// Failed tries since a task of the job last succeeded.
    tries: u32,
    /// Machine and time of the latest failure.
    last_failure: Option<(MachineId, Time)>,
    /// Machines on which the job has failed, up to `FAILED_MACHINES_MAX`.
    machines: BTreeSet<MachineId>,
}

impl JobFailures {
    fn record(&mut self, now: Time, machine: &MachineId) {
        let last = self.last_failure.replace((machine.clone(), now));
        let is_same_try = last.is_some_and(|(last_machine, at)| {
            last_machine == *machine && now.since(at) < SAME_TRY_S
        });
        self.tries += u32::from(!is_same_try);
        if self.machines.len() < FAILED_MACHINES_MAX {
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
    /// Jobs that failed on the machine and aren't known to be crash-looping.
    suspected_by: BTreeSet<JobId>,
    /// The jobs of `suspected_by` that have succeeded elsewhere.
    proven_by: BTreeSet<JobId>,
    /// Until when the machine gets no new tasks.
    quarantined_until: Time,
}

impl MachineFailures {
    fn is_faulty(&self) -> bool {
        let proven = self.proven_by.len();
        proven >= FAULTY_PROVEN_JOBS
            || proven > 0 && self.suspected_by.len() >= FAULTY_SUSPECTING_JOBS
    }

    fn attribute_failure(&mut self, now: Time, job: &JobId) {
        self.suspected_by.insert(job.clone());
        let doublings = self.suspected_by.len() - 1;
        let quarantine_s = QUARANTINE_S * 2f64.powi(doublings.min(16) as i32);
        let max_s = if self.proven_by.is_empty() {
            QUARANTINE_SUSPECTED_MAX_S
        } else {
            QUARANTINE_PROVEN_MAX_S
        };
        self.quarantined_until = now.after(quarantine_s.min(max_s));
    }

    fn clear_failures(&mut self, job: &JobId) {
        self.suspected_by.remove(job);
        self.proven_by.remove(job);
        if self.suspected_by.is_empty() {
            self.quarantined_until = Time(0);
        }
    }
}

/// The task failures in a shard, by job and by machine.
#[derive(Debug, Default)]
pub(crate) struct FailureLog {
    jobs: BTreeMap<JobId, JobFailures>,
    machines: BTreeMap<MachineId, MachineFailures>,
}

impl FailureLog {
    /// Records that a task of a job failed on a machine. Returns the job's failed tries in a row.
    pub(crate) fn record_failure(&mut self, now: Time, job: &JobId, machine: &MachineId) -> u32 {
        let failures = self.jobs.entry(job.clone()).or_default();
        failures.record(now, machine);
        let tries = failures.tries;
        if failures.is_crash_looping() {
            self.clear_machine_failures(job);
        } else {
            let machine_failures = self.machines.entry(machine.clone()).or_default();
            machine_failures.attribute_failure(now, job);
        }
        tries
    }

    /// Records that a task of a job completed or runs well on a machine. Returns the other machines
    /// that this proves faulty.
    pub(crate) fn record_success(&mut self, job: &JobId, machine: &MachineId) -> Vec<MachineId> {
        self.machines.remove(machine);
        let Some(failures) = self.jobs.get_mut(job) else {
            return Vec::new();
        };
        failures.tries = 0;
        let mut faulty = Vec::new();
        for id in failures.machines.iter().filter(|id| *id != machine) {
            let Some(machine_failures) = self.machines.get_mut(id) else {
                continue;
            };
            if machine_failures.suspected_by.contains(job)
                && machine_failures.proven_by.insert(job.clone())
                && machine_failures.is_faulty()
            {
                faulty.push(id.clone());
            }
        }
        faulty
    }

    /// Restores the failures of a job that an earlier owner of the shard wrote to the store.
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
            let machine_failures = self.machines.entry(machine.clone()).or_default();
            machine_failures.attribute_failure(now, job);
        }
    }

    /// Returns what the next owner of the shard needs of a job's failures: the failed tries in a
    /// row, and the machines on which the job has failed.
    pub(crate) fn failures_of_job(&self, job: &JobId) -> (u32, Vec<MachineId>) {
        let Some(failures) = self.jobs.get(job) else {
            return (0, Vec::new());
        };
        let machines = failures.machines.iter().cloned();
        (failures.tries, machines.collect())
    }

    /// Whether a job has failed on a machine.
    pub(crate) fn failed_on(&self, job: &JobId, machine: &MachineId) -> bool {
        let failures = self.jobs.get(job);
        failures.is_some_and(|failures| failures.machines.contains(machine))
    }

    /// Whether a job has failed so often in a row that it is retried one task at a time.
    pub(crate) fn runs_one_task_at_a_time(&self, job: &JobId) -> bool {
        let failures = self.jobs.get(job);
        failures.is_some_and(|failures| failures.tries >= PROMPT_TRIES)
    }

    /// Whether a job has failed so often in a row that no machines are added for it.
    pub(crate) fn blocks_scale_out(&self, job: &JobId) -> bool {
        let failures = self.jobs.get(job);
        failures.is_some_and(|failures| failures.tries >= NO_SCALE_OUT_TRIES)
    }

    /// How long a job waits before it is retried, in seconds. Above `PROMPT_TRIES`, the delay
    /// doubles with each failed try.
    pub(crate) fn retry_delay_s(&self, job: &JobId) -> f64 {
        let tries = self.jobs.get(job).map_or(0, |failures| failures.tries);
        match tries.saturating_sub(PROMPT_TRIES) {
            0 => 0.0,
            excess => 2f64.powi(excess.min(8) as i32).min(RETRY_DELAY_MAX_S),
        }
    }

    /// Whether a machine is out of quarantine.
    pub(crate) fn may_run_tasks(&self, machine: &MachineId, now: Time) -> bool {
        let machine_failures = self.machines.get(machine);
        machine_failures.is_none_or(|failures| now >= failures.quarantined_until)
    }

    /// Forgets a job that has ended. Machines that it helped to prove faulty keep that evidence.
    pub(crate) fn forget_job(&mut self, job: &JobId) {
        let Some(failures) = self.jobs.remove(job) else {
            return;
        };
        for machine in failures.machines {
            if let Some(machine_failures) = self.machines.get_mut(&machine)
                && !machine_failures.proven_by.contains(job)
            {
                machine_failures.clear_failures(job);
            }
        }
    }

    /// Forgets a deleted machine.
    pub(crate) fn forget_machine(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }

    /// Removes the failures of a crash-looping job from the failures of all machines.
    fn clear_machine_failures(&mut self, job: &JobId) {
        let Some(failures) = self.jobs.get(job) else {
            return;
        };
        for machine in &failures.machines {
            if let Some(machine_failures) = self.machines.get_mut(machine) {
                machine_failures.clear_failures(job);
            }
        }
    }
}
