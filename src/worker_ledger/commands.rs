//! Which commands are due to a machine: stops, acknowledgements and starts.
//!
//! Collects the due commands in a list and marks their entries as sent; the list is delivered by a
//! heartbeat answer or a direct call. A list holds at most [`COMMANDS_PER_MESSAGE_MAX`] commands:
//! workers report every attempt until its end is acknowledged, so without a bound an answer would
//! grow with the backlog of acknowledgements.

use super::machine::Machine;
use super::task_entry::{Delivery, TaskState};
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

impl Machine {
    /// Adds the stops and acknowledgements that are due, and marks them as sent.
    pub(super) fn collect_stops(
        &mut self,
        now: Micros,
        channel: CommandChannel,
        commands: &mut Vec<Command>,
    ) {
        let is_answer = channel == CommandChannel::HeartbeatAnswer;
        let is_due = |sent_at: Option<Micros>, interval: Micros| {
            sent_at.is_none_or(|sent_at| now >= sent_at + interval)
        };
        for ((task, attempt), entry) in &mut self.tasks {
            if commands.len() >= COMMANDS_PER_MESSAGE_MAX {
                break;
            }
            if entry.state == TaskState::Ended {
                if is_answer
                    && entry.acknowledge_allowed
                    && is_due(entry.acknowledge_sent_at, ACK_RETRY_INTERVAL)
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
                && (is_due(stop.sent_at, STOP_RETRY_INTERVAL) || (is_answer && stop.grace_s == 0.0))
            {
                stop.sent_at = Some(now);
                let grace_s = Some(stop.grace_s);
                commands.push(entry.command(CommandKind::Stop, task.index, *attempt, grace_s));
            }
        }
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
                started.push((*task, *attempt));
            }
        }
        started
    }
}
