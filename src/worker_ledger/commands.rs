//! Which commands are due to a machine: stops, acknowledgements and starts.
//!
//! Collects the due commands in a list and marks their entries as sent; the list is delivered by a
//! heartbeat answer or a direct call. A list holds at most [`COMMANDS_PER_MESSAGE_MAX`] commands:
//! workers report every attempt until its end is acknowledged, so without a bound an answer would
//! grow with the backlog of acknowledgements.
//!
//! Invariant: a message that carries an acknowledgement also carries a higher fencing token than every
//! direct call that carried the start of that attempt. Once the worker has dropped its record of the
//! attempt, the token is all that keeps a late copy of such a call from starting the attempt again.

use super::machine::Machine;
use super::task_entry::{Delivery, TaskEntry, TaskState};
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::task_id::TaskId;
use crate::wire::{Command, CommandKind};

const COMMANDS_PER_MESSAGE_MAX: usize = 300;
const STOP_RETRY_INTERVAL: Micros = 1_500 * MILLISECOND;
const ACK_RETRY_INTERVAL: Micros = 2 * SECOND;

/// How a list of commands reaches the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandChannel {
    /// The answer to a heartbeat, which renews the worker's lease. It always repeats stops without a
    /// grace period, even just after they were sent: the earlier command may have been lost, and the
    /// renewed lease keeps the task alive.
    HeartbeatAnswer,
    /// A direct call. It carries no acknowledgements: they can wait for the next heartbeat answer.
    DirectCall,
}

/// Whether a command is due that was last sent at `sent_at` and is repeated after `interval`.
fn is_due(now: Micros, sent_at: Option<Micros>, interval: Micros) -> bool {
    sent_at.is_none_or(|sent_at| now >= sent_at + interval)
}

impl TaskEntry {
    /// Whether the end may be acknowledged and the acknowledgement was not sent just now.
    fn is_acknowledgement_due(&self, now: Micros) -> bool {
        self.acknowledge_allowed && is_due(now, self.acknowledge_sent_at, ACK_RETRY_INTERVAL)
    }
}

impl Machine {
    /// Adds the stops and acknowledgements that are due, and marks them as sent.
    pub(super) fn collect_stops_and_acknowledgements(
        &mut self,
        now: Micros,
        channel: CommandChannel,
        commands: &mut Vec<Command>,
    ) {
        let is_answer = channel == CommandChannel::HeartbeatAnswer;
        if is_answer && self.needs_fence_for_acknowledgements(now) {
            self.fence_acknowledged_starts();
        }
        let fence_counter = self.fence_counter;
        for ((task, attempt), entry) in &mut self.tasks {
            if commands.len() >= COMMANDS_PER_MESSAGE_MAX {
                break;
            }
            if entry.state == TaskState::Ended {
                if is_answer
                    && entry.is_acknowledgement_due(now)
                    && !entry.may_be_restarted(fence_counter)
                {
                    entry.acknowledge_sent_at = Some(now);
                    commands.push(entry.command(
                        CommandKind::Acknowledge,
                        task.index,
                        *attempt,
                        None,
                    ));
                }
            } else if let Some(stop) = &mut entry.stop
                && *attempt != 0
                && (is_due(now, stop.sent_at, STOP_RETRY_INTERVAL)
                    || (is_answer && stop.grace_s == 0.0))
            {
                stop.sent_at = Some(now);
                let grace_s = Some(stop.grace_s);
                commands.push(entry.command(CommandKind::Stop, task.index, *attempt, grace_s));
            }
        }
    }

    /// Whether an acknowledgement is due whose attempt a copy of an answered direct call could start again. While a
    /// call is open the acknowledgement waits: the worker would refuse that call if it saw the higher token first.
    fn needs_fence_for_acknowledgements(&self, now: Micros) -> bool {
        self.in_flight.is_none()
            && self.tasks.values().any(|entry| {
                entry.state == TaskState::Ended
                    && entry.is_acknowledgement_due(now)
                    && entry.may_be_restarted(self.fence_counter)
            })
    }

    /// Adds a start for each attempt in state `Ready`, marks it as sent with `delivery`, and returns
    /// these attempts.
    pub(super) fn collect_starts(
        &mut self,
        delivery: Delivery,
        commands: &mut Vec<Command>,
    ) -> Vec<(TaskId, u64)> {
        let mut started = Vec::new();
        for ((task, attempt), entry) in &mut self.tasks {
            if commands.len() >= COMMANDS_PER_MESSAGE_MAX {
                break;
            }
            if entry.state == TaskState::Ready {
                commands.push(entry.command(CommandKind::Start, task.index, *attempt, None));
                entry.state = TaskState::Sent;
                entry.delivery = delivery;
                if matches!(delivery, Delivery::Direct { .. }) {
                    entry.start_fence = Some(self.fence_counter);
                }
                started.push((*task, *attempt));
            }
        }
        started
    }
}
