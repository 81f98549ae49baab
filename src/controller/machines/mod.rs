//! The machines of a shard: worker heartbeats, the commands that answer them, and the proofs that
//! a task no longer runs.
//!
//! A task may be placed again, and its quota and resources are free, only after one of these proofs
//! that its earlier attempt no longer runs:
//! 1. A heartbeat that carries this shard's token, and is newer than all earlier ones of its
//!    machine, lists the attempt as ended or doesn't list it.
//! 2. The lease of a worker that had acknowledged this token has expired. The lease counts from the
//!    last answer with status 200 that this process sent to the worker. In addition, after that
//!    expiry, every other controller of the worker's zone must have said that it sent no keepalive
//!    for the length of a lease, and a read of the store must have shown the shard unchanged.
//! 3. The cloud has confirmed that the machine is deleted.
//!
//! `heartbeats` processes heartbeats, `commands` derives the answers, `liveness` finds machines
//! that are silent, partitioned or don't acknowledge the token, `failures` attributes task failures
//! to machines or jobs, and `inventory` stores and indexes the machines.

pub(crate) mod commands;
pub(crate) mod failures;
pub(crate) mod heartbeats;
pub(crate) mod inventory;
pub(crate) mod liveness;

use crate::controller::context::Context;
use crate::controller::shard::ShardOwner;
use crate::ids::{MachineId, TaskId, Time};
use log::{info, warn};
use std::fmt;

/// Time in seconds that tasks on a machine that proved faulty have to stop before it is deleted.
const FAULTY_DRAIN_S: f64 = 15.0;
/// Time in seconds for which the ids of deleted machines are kept, to recognize late copies of
/// their heartbeats.
const DELETED_KEPT_S: f64 = 900.0;

/// Why a machine is decommissioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecommissionReason {
    /// A cancelled task may still run on the machine, and only a deletion can prove that it
    /// doesn't.
    CancelledTaskUnproven,
    /// The machine has sent no heartbeat for too long.
    Silent,
    /// The machine sends heartbeats but never acknowledged the shard's token.
    TokenNotAcknowledged,
    /// The machine is empty, and the scaling plan doesn't need it.
    ScaledIn,
    /// The machine didn't become ready in time.
    NeverReady,
    /// The cloud lists the machine as failed.
    FailedAtCloud,
    /// The cloud doesn't list the machine, although it should by now.
    NotListed,
}

impl fmt::Display for DecommissionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::CancelledTaskUnproven => "a cancelled task may still run on it",
            Self::Silent => "silent",
            Self::TokenNotAcknowledged => "token not acknowledged",
            Self::ScaledIn => "scaled in",
            Self::NeverReady => "never ready",
            Self::FailedAtCloud => "failed at the cloud",
            Self::NotListed => "not listed by the cloud",
        })
    }
}

impl ShardOwner {
    /// Runs the periodic checks: expires worker leases, and decommissions, drains, consolidates and
    /// deletes machines.
    pub(crate) fn housekeeping(&mut self, context: &mut Context) {
        self.expire_worker_leases(context);
        self.decommission_unproven_cancellations(context);
        self.decommission_silent(context);
        self.decommission_unacknowledged(context);
        self.drain_leaving_machines(context);
        self.consolidate(context);
        self.decommission_abandoned(context);
        self.delete_decommissioned(context);
        let now = context.now;
        self.deleted_machines
            .retain(|_, at| now.since(*at) < DELETED_KEPT_S);
    }

    /// Requests that a task stops. A placement whose start was never sent is removed at once.
    /// Otherwise the command goes out with the answer to the machine's waiting heartbeat, or to its
    /// next one.
    pub(crate) fn stop_task(&mut self, context: &mut Context, task: &TaskId) {
        let now = context.now;
        let Some(placement) = self.placement_mut(task) else {
            return;
        };
        placement.stop_requested.get_or_insert(now);
        let machine = placement.machine.clone();
        if self.was_never_sent(task) {
            self.remove_placement(now, task);
        } else {
            self.answer_long_poll(context, &machine);
        }
    }
}

impl ShardOwner {
    /// Records that a task on the machine `id` completed or runs well. A machine on which the job
    /// failed earlier is decommissioned if the success proves it faulty (see `failures`).
    pub(crate) fn record_task_success(&mut self, now: Time, id: &MachineId, task: &TaskId) {
        for faulty in self.failures.record_success(&task.job, id) {
            self.machines.edit(&faulty, |machine| {
                if machine.decommission_at.is_none() {
                    warn!("machine quarantined for good, machine={faulty} reason=its tasks succeed elsewhere");
                    machine.decommission_at = Some(now.after(FAULTY_DRAIN_S));
                }
            });
        }
    }

    /// Marks a machine for deletion. From now on nothing is placed on it. A machine that is already
    /// marked keeps its earlier time and reason.
    pub(crate) fn decommission(&mut self, now: Time, id: &MachineId, reason: DecommissionReason) {
        self.machines.edit(id, |machine| {
            if machine.decommission_at.is_none() {
                info!("machine decommissioned, machine={id} reason={reason}");
                machine.decommission_at = Some(now);
            }
        });
    }
}
