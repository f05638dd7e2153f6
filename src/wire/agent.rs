//! Messages between worker agents and controllers: heartbeats and commands.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The state of an attempt to run a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskStatus {
    /// Waits for the machine to fetch its image.
    Fetching,
    /// Has its image, and waits until all tasks of its gang can start.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// Is running.
    Running,
    /// Saves a checkpoint before it stops.
    #[serde(rename = "saving")]
    Checkpointing,
    /// Has ended; reported until it is acknowledged.
    Ended,
}

/// An attempt to run a task, as a heartbeat reports it. Names and causes are short, so `CompactString` stores them
/// inline, without an allocation for each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// Name of the task; see [`split_task_name`].
    #[serde(rename = "part")]
    pub task: CompactString,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the attempt.
    pub status: TaskStatus,
    /// Why it has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<CompactString>,
    /// Whether it saved a checkpoint when it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A heartbeat: what an agent reports of its machine and of all tasks on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "host")]
    pub machine: Arc<str>,
    /// Address of the agent.
    #[serde(rename = "addr")]
    pub address: CompactString,
    /// Name of the machine's type.
    #[serde(rename = "build")]
    pub machine_type: CompactString,
    /// Zone that the machine is in.
    #[serde(rename = "paddock")]
    pub zone: CompactString,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Starts at 1, and is incremented each time the agent's lease expires.
    #[serde(rename = "stint")]
    pub agent_epoch: u64,
    /// Sequence number, incremented with each message of the agent. Of two messages, the one with the larger pair of
    /// agent epoch and sequence number is the newer.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the agent has seen.
    #[serde(rename = "baton", default)]
    pub fencing_token: u64,
    /// After a reclaim notice for a spot machine: the time until the provider takes the machine back, in seconds.
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<f64>,
    /// The attempts on the machine, including ended ones that have not been acknowledged.
    #[serde(rename = "parts", default)]
    pub tasks: Vec<ReportedTask>,
}

/// A command to an agent concerning one attempt of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// What to do.
    #[serde(rename = "verb")]
    pub kind: CommandKind,
    /// Name of the task.
    #[serde(rename = "part")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// For a stop command: the time that the task has to save a checkpoint, in seconds.
    #[serde(rename = "windDownS", skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// What a command does with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    /// Starts it.
    Start,
    /// Stops it, after a grace period in which it can save a checkpoint.
    #[serde(rename = "halt")]
    Stop,
    /// Deletes the agent's record of an attempt that has ended.
    #[serde(rename = "reap")]
    Acknowledge,
}

/// Commands for an agent: the answer to a heartbeat, or the body of a direct call to the agent.
#[derive(Debug, Serialize, Deserialize)]
pub struct Commands {
    /// Fencing token of the leader that sends the commands. An agent rejects commands with a token below the highest
    /// that it has seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// In a direct call: the agent epoch that the commands are meant for.
    #[serde(rename = "stint", skip_serializing_if = "Option::is_none")]
    pub agent_epoch: Option<u64>,
    /// The commands, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Splits a task's name, such as `wk-000412/3`, into the job's id and the task's index. `None` if the name has another
/// form.
pub fn split_task_name(name: &str) -> Option<(&str, u32)> {
    let (uid, index) = name.rsplit_once('/')?;
    Some((uid, index.parse().ok()?))
}
