//! Commands: what a machine is to do now, and the answers that carry them.

use crate::controller::context::Context;
use crate::controller::events::Reply;
use crate::controller::machines::heartbeats::ListedTask;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::Phase;
use crate::ids::{MachineId, RequestId, TaskId};
use crate::wire::{Cause, Command, HeartbeatTask, TaskStatus, commands_body};

/// Repeated saving stops turn into plain ones after the grace and this long.
const GRACE_S: f64 = 1.0;

impl ShardOwner {
    /// Answers a waiting heartbeat now, if there is one and a command for it.
    pub(crate) fn answer_long_poll(&mut self, context: &mut Context, id: &MachineId) {
        let held = self.machines.get(id).and_then(|machine| machine.long_poll);
        let Some((request_id, until)) = held else {
            return;
        };
        let commands = self.commands(context, id, &[]);
        if commands.is_empty() {
            return;
        }
        self.long_poll_deadlines.remove(&(until, id.clone()));
        self.send_commands(context, id, request_id, &commands);
    }

    /// Answers the heartbeats whose time to wait is over.
    pub(crate) fn answer_due_long_polls(&mut self, context: &mut Context) {
        loop {
            let now = context.now;
            match self.long_poll_deadlines.first() {
                Some((until, _)) if *until <= now => {}
                _ => return,
            }
            let Some((_, id)) = self.long_poll_deadlines.pop_first() else {
                return;
            };
            let Some((request_id, _)) =
                self.machines.get(&id).and_then(|machine| machine.long_poll)
            else {
                continue;
            };
            let commands = self.commands(context, &id, &[]);
            self.send_commands(context, &id, request_id, &commands);
        }
    }

    pub(crate) fn send_commands(
        &mut self,
        context: &mut Context,
        id: &MachineId,
        request_id: RequestId,
        commands: &[Command],
    ) {
        let now = context.now;
        self.machines.touch(id, |machine| {
            machine.last_acknowledged = now;
            machine.long_poll = None;
        });
        let body = commands_body(self.token, commands);
        context.answer(request_id, Reply::ok(200, body));
    }

    /// What a machine is to do now. Derived from what is known, not from what was
    /// sent: a lost answer is made good by the next one.
    pub(crate) fn commands(
        &mut self,
        context: &Context,
        id: &MachineId,
        listed: &[ListedTask<'_>],
    ) -> Vec<Command> {
        let now = context.now;
        // A start needs a fresh mirror: a cancellation may stand there.
        let is_stale = context.is_stale();
        let unassigned = listed.iter();
        let unassigned =
            unassigned.filter_map(|l| unplaced_command(self, id, &l.task, l.heartbeat));
        let mut out: Vec<Command> = unassigned.collect();
        let ShardOwner { machines, jobs, .. } = self;
        let Some(machine) = machines.get(id) else {
            return out;
        };
        let starts = !is_stale && machine.decommission_at.is_none();
        for task in machine.tasks.keys() {
            let Some(job_state) = jobs.get_mut(&task.job) else {
                continue;
            };
            let save_s = job_state.record.save_s;
            let grace = job_state.cancelled.is_none() && job_state.record.checkpoint_s > 0.0;
            let Some(placement) = job_state.placed.get_mut(&task.index) else {
                continue;
            };
            match (placement.stop_requested, placement.phase) {
                (None, Phase::Ready) if starts => {
                    (placement.phase, placement.phase_since) = (Phase::Sent, now);
                    placement.send_count += 1;
                    out.push(Command::Start {
                        task: task.to_string(),
                        attempt: placement.attempt,
                    });
                }
                (Some(_), Phase::Committing | Phase::Ready) | (None, _) => {}
                (Some(at), phase) => {
                    let waited = now.since(at);
                    let saves = grace && waited < save_s + GRACE_S;
                    if phase == Phase::Checkpointing && saves {
                        continue;
                    }
                    out.push(Command::Stop {
                        task: task.to_string(),
                        attempt: placement.attempt,
                        grace_s: if saves { save_s + GRACE_S } else { 0.0 },
                    });
                }
            }
        }
        out
    }
}

/// What to do about a listed attempt that isn't a present placement.
fn unplaced_command(
    shard: &ShardOwner,
    id: &MachineId,
    task: &TaskId,
    t: &HeartbeatTask,
) -> Option<Command> {
    let job_state = shard.jobs.get(&task.job);
    let placed = job_state.and_then(|l| l.placed.get(&task.index));
    if placed.is_some_and(|placement| placement.machine == *id && placement.attempt == t.attempt) {
        return None;
    }
    let (name, attempt) = (task.to_string(), t.attempt);
    if t.status != TaskStatus::Ended {
        return Some(Command::Stop {
            task: name,
            attempt,
            grace_s: 0.0,
        });
    }
    // A result is cleared only once it is written: after a clear, nothing else
    // tells that the task is done.
    let unwritten = job_state.is_some_and(|l| {
        let chunk = l.layout.chunk_of(task.index);
        t.cause == Some(Cause::Done)
            && l.cancelled.is_none()
            && l.chunks
                .get(&chunk)
                .is_some_and(|c| c.has_unwritten_results)
    });
    (!unwritten).then_some(Command::Clear {
        task: name,
        attempt,
    })
}
