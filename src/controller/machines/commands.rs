//! Commands to workers: their derivation from a shard's state, and the heartbeat answers that carry
//! them.

use crate::controller::context::Context;
use crate::controller::events::Reply;
use crate::controller::machines::heartbeats::ListedTask;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::Phase;
use crate::ids::{MachineId, RequestId, TaskId};
use crate::wire::{Cause, Command, HeartbeatTask, TaskStatus, commands_body};

/// Margin in seconds beyond a job's time to save a checkpoint. A stop that is repeated after both
/// have passed no longer lets the task save.
const CHECKPOINT_MARGIN_S: f64 = 1.0;

impl ShardOwner {
    /// Answers the waiting heartbeat of a machine at once if there is a command for the machine.
    pub(crate) fn answer_long_poll(&mut self, context: &mut Context, id: &MachineId) {
        let long_poll = self.machines.get(id).and_then(|machine| machine.long_poll);
        let Some((request_id, deadline)) = long_poll else {
            return;
        };
        let commands = self.commands_for(context, id, &[]);
        if commands.is_empty() {
            return;
        }
        self.long_poll_deadlines.remove(&(deadline, id.clone()));
        self.send_commands(context, id, request_id, &commands);
    }

    /// Answers the waiting heartbeats whose deadline has passed.
    pub(crate) fn answer_due_long_polls(&mut self, context: &mut Context) {
        loop {
            let now = context.now;
            match self.long_poll_deadlines.first() {
                Some((deadline, _)) if *deadline <= now => {}
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
            let commands = self.commands_for(context, &id, &[]);
            self.send_commands(context, &id, request_id, &commands);
        }
    }

    /// Answers a heartbeat with commands, which renews the worker's lease.
    pub(crate) fn send_commands(
        &mut self,
        context: &mut Context,
        id: &MachineId,
        request_id: RequestId,
        commands: &[Command],
    ) {
        let now = context.now;
        self.machines.edit_unindexed(id, |machine| {
            machine.last_answered_at = now;
            machine.long_poll = None;
        });
        let body = commands_body(self.token, commands);
        context.answer(request_id, Reply::ok(200, body));
    }

    /// Returns the commands that a machine needs now, and marks the starts among them as sent. Stop
    /// and clear commands are derived from the present state and not from what was sent, so that
    /// the next answer repeats those of a lost one. A lost start is sent again only after a
    /// heartbeat that doesn't list its task.
    pub(crate) fn commands_for(
        &mut self,
        context: &Context,
        id: &MachineId,
        listed: &[ListedTask<'_>],
    ) -> Vec<Command> {
        let now = context.now;
        // Starts need a fresh mirror, since a stale one may lack a cancellation.
        let is_stale = context.is_stale();
        let unplaced = listed.iter();
        let unplaced = unplaced
            .filter_map(|entry| unplaced_attempt_command(self, id, &entry.task, entry.listed));
        let mut commands: Vec<Command> = unplaced.collect();
        let ShardOwner { machines, jobs, .. } = self;
        let Some(machine) = machines.get(id) else {
            return commands;
        };
        let may_start = !is_stale && machine.decommission_at.is_none();
        for task in machine.tasks.keys() {
            let Some(job_state) = jobs.get_mut(&task.job) else {
                continue;
            };
            let save_s = job_state.record.save_s;
            let may_checkpoint =
                job_state.cancelled.is_none() && job_state.record.checkpoint_s > 0.0;
            let Some(placement) = job_state.placed.get_mut(&task.index) else {
                continue;
            };
            match (placement.stop_requested, placement.phase) {
                (None, Phase::Ready) if may_start => {
                    (placement.phase, placement.phase_since) = (Phase::Sent, now);
                    placement.send_count += 1;
                    commands.push(Command::Start {
                        task: task.to_string(),
                        attempt: placement.attempt,
                    });
                }
                (Some(_), Phase::Committing | Phase::Ready) | (None, _) => {}
                (Some(stop_requested_at), phase) => {
                    let waited_s = now.since(stop_requested_at);
                    let with_checkpoint = may_checkpoint && waited_s < save_s + CHECKPOINT_MARGIN_S;
                    if phase == Phase::Checkpointing && with_checkpoint {
                        continue;
                    }
                    commands.push(Command::Stop {
                        task: task.to_string(),
                        attempt: placement.attempt,
                        grace_s: if with_checkpoint {
                            save_s + CHECKPOINT_MARGIN_S
                        } else {
                            0.0
                        },
                    });
                }
            }
        }
        commands
    }
}

/// Returns the command for an attempt that a heartbeat lists and that isn't placed on this machine:
/// a stop if it still runs, a clear if it has ended, or none.
fn unplaced_attempt_command(
    shard: &ShardOwner,
    id: &MachineId,
    task: &TaskId,
    listed: &HeartbeatTask,
) -> Option<Command> {
    let job_state = shard.jobs.get(&task.job);
    let placed = job_state.and_then(|job_state| job_state.placed.get(&task.index));
    if placed
        .is_some_and(|placement| placement.machine == *id && placement.attempt == listed.attempt)
    {
        return None;
    }
    let (name, attempt) = (task.to_string(), listed.attempt);
    if listed.status != TaskStatus::Ended {
        return Some(Command::Stop {
            task: name,
            attempt,
            grace_s: 0.0,
        });
    }
    // A result is cleared only once it is written to the store: after the clear, the worker no
    // longer lists it, and nothing else shows that the task is done.
    let is_unwritten = job_state.is_some_and(|job_state| {
        let chunk = job_state.layout.chunk_of(task.index);
        listed.cause == Some(Cause::Done)
            && job_state.cancelled.is_none()
            && job_state
                .chunks
                .get(&chunk)
                .is_some_and(|chunk| chunk.has_unwritten_results)
    });
    (!is_unwritten).then_some(Command::Clear {
        task: name,
        attempt,
    })
}
