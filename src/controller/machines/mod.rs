//! Heartbeats and their answers, and the proofs that a task is gone.
//!
//! A task may be placed again, and its quota and place are free, only when
//! 1. a heartbeat that shows this shard's token, newer than any before it, lists the
//!    attempt as ended or doesn't list it; or
//! 2. the worker had acknowledged this token, its lease must be over by now, counted from
//!    the last 200 this process sent it, the other controllers of its zone have said
//!    since that they kept nobody alive for a lease, and the shard was then still
//!    unchanged at the store; or
//! 3. the cloud said that its machine is deleted.
//!
//! `heartbeats` takes heartbeats in, `commands` derives the answers, and `liveness` finds machines that
//! are silent, hear nothing, or must go.

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

/// A quarantined machine's tasks get this long to stop before it is deleted.
const DRAIN_S: f64 = 15.0;
/// Names of deleted machines are kept for late copies of their heartbeats.
const GONE_S: f64 = 900.0;

/// Why a machine is decommissioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecommissionReason {
    /// A cancelled task may still run on it, and nothing else proves it gone.
    CancelledTaskUnproven,
    /// No heartbeat has come for too long.
    Silent,
    /// It never acknowledged the shard's token.
    TokenNotAcknowledged,
    /// It is empty, and the scaling plan gives it back.
    ScaledIn,
    /// It never became ready.
    NeverReady,
    /// The cloud lists it as failed.
    FailedAtCloud,
    /// The cloud should list it by now, and doesn't.
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
    /// Does what no event triggers: checks machines, empties and deletes some.
    pub(crate) fn housekeeping(&mut self, context: &mut Context) {
        self.check_leases(context);
        self.check_cancels(context);
        self.check_silent(context);
        self.check_unacknowledged(context);
        self.drain(context);
        self.consolidate(context);
        self.decommission_abandoned(context);
        self.delete_decommissioned(context);
        let now = context.now;
        self.deleted_machines
            .retain(|_, at| now.since(*at) < GONE_S);
    }

    /// Tells a task to stop, as soon as its machine can hear it.
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
    /// A task completed or runs well. A machine on which its job failed before is quarantined
    /// then, if others say so too.
    pub(crate) fn task_succeeded(&mut self, now: Time, id: &MachineId, task: &TaskId) {
        for faulty in self.failures.task_succeeded(&task.job, id) {
            self.machines.edit(&faulty, |machine| {
                if machine.decommission_at.is_none() {
                    warn!("machine quarantined for good, machine={faulty} reason=its tasks succeed elsewhere");
                    machine.decommission_at = Some(now.after(DRAIN_S));
                }
            });
        }
    }

    /// Decides to delete a machine. Nothing is placed on it from now on.
    pub(crate) fn decommission(&mut self, now: Time, id: &MachineId, reason: DecommissionReason) {
        self.machines.edit(id, |machine| {
            if machine.decommission_at.is_none() {
                info!("machine decommissioned, machine={id} reason={reason}");
                machine.decommission_at = Some(now);
            }
        });
    }
}
