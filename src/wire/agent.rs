//! What worker agents and controllers send each other.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The state of an attempt of a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskStatus {
    /// Waits for its image.
    Fetching,
    /// Has its image, and waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// Runs.
    Running,
    /// Saves a checkpoint before it stops.
    #[serde(rename = "saving")]
    Checkpointing,
    /// Has ended; reported until it is acknowledged.
    Ended,
}

/// An attempt of a task, as a heartbeat reports it. Names and causes are short, so they are kept in place, without
/// an allocation for each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// Name of the task; see [`split_task_name`].
    #[serde(rename = "part")]
    pub task: CompactString,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    pub status: TaskStatus,
    /// Why it has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<CompactString>,
    /// Whether it has saved a checkpoint at its end.
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
    /// Starts at 1, and goes up each time the agent's lease expires.
    #[serde(rename = "stint")]
    pub agent_epoch: u64,
    /// Goes up with each message of the agent. Of two messages, the one with the larger agent epoch and sequence
    /// number is the newer.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the agent has seen.
    #[serde(rename = "baton", default)]
    pub fencing_token: u64,
    /// The time until the provider takes a spot machine back, in seconds, once it has given notice.
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<f64>,
    /// The tasks on the machine, with the ended ones that have not been acknowledged.
    #[serde(rename = "parts", default)]
    pub tasks: Vec<ReportedTask>,
}

/// A command to an agent about one attempt of a task.
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
    /// With a stop: the time that the task may take to save, in seconds.
    #[serde(rename = "windDownS", skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// What an agent is to do with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    /// Start it.
    Start,
    /// Stop it, with a grace period to save in.
    #[serde(rename = "halt")]
    Stop,
    /// Drop the record of an ended one.
    #[serde(rename = "reap")]
    Acknowledge,
}

/// Commands for an agent: the answer to a heartbeat, or sent directly.
#[derive(Debug, Serialize, Deserialize)]
pub struct Commands {
    /// Identifies the term that they come from; an agent refuses those with a token below the highest it has seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// With a direct command: the agent epoch that it is meant for.
    #[serde(rename = "stint", skip_serializing_if = "Option::is_none")]
    pub agent_epoch: Option<u64>,
    /// The commands, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The job's id and the task's index in a task's name, such as `wk-000412/3`; `None` if it is no such name.
pub fn split_task_name(name: &str) -> Option<(&str, u32)> {
    let (uid, index) = name.rsplit_once('/')?;
    Some((uid, index.parse().ok()?))
}
