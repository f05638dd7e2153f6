//! A machine's worker, in memory.

use super::json_reply;
use dewramp::clock::{Micros, SECOND};
use dewramp::messages::Outcome;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// `lease_s` of the sample settings.
const LEASE: Micros = 30 * SECOND;

/// What an agent that starts again still knows. The protocol leaves it open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentMemory {
    /// Its tasks go on.
    Everything,
    /// Epoch, sequence number and fencing token; its tasks are gone.
    Counters,
    /// It begins a new epoch, without tasks and fencing token.
    NextEpoch,
    /// It begins like a new machine.
    Nothing,
}

/// Follows the worker protocol: fencing tokens, agent epochs, repeated commands. Its lease is expired by
/// `TestCluster::send_heartbeat`.
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    pub machine_type: &'static str,
    pub zone: &'static str,
    pub spot: bool,
    pub agent_epoch: u64,
    pub sequence: u64,
    pub fencing_token: u64,
    /// Task, attempt, status, and the cause of an ended one.
    pub tasks: Vec<(String, u64, &'static str, &'static str)>,
    /// The node to which it sends its heartbeats.
    pub controller: usize,
    pub lease_renewed_at: Micros,
    /// Its heartbeats and the commands to it fail: a network partition in both directions.
    pub partitioned: bool,
    /// Its heartbeats reach no controller, but direct commands reach it.
    pub outbound_partitioned: bool,
    /// Its heartbeats arrive, but the answers and all commands to it are lost.
    pub inbound_partitioned: bool,
    /// Direct commands are not executed and time out.
    pub commands_hang: bool,
    /// Direct calls to it are refused before they are sent; its heartbeats are answered.
    pub refuses_calls: bool,
    /// If set, direct commands are kept here without an answer, until a test executes them.
    pub delayed_commands: Option<Vec<Value>>,
    /// Each start ever executed here: task and attempt.
    pub started_attempts: Vec<(String, u64)>,
    /// The bodies of the direct calls that were executed here, direct or through a peer.
    pub executed_calls: Vec<Value>,
    /// Number of direct calls that were refused for their fencing token or agent epoch.
    pub refused_calls: usize,
}

impl Worker {
    /// The body of its next heartbeat.
    pub fn heartbeat(&mut self) -> Value {
        self.sequence += 1;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|task| {
                let mut row = json!({"part": task.0, "try": task.1, "status": task.2});
                if task.2 == "ended" {
                    row["cause"] = json!(task.3);
                }
                row
            })
            .collect();
        json!({"host": self.id, "addr": self.addr.to_string(), "build": self.machine_type, "paddock": self.zone,
               "loaners": self.spot, "stint": self.agent_epoch, "tally": self.sequence, "baton": self.fencing_token,
               "warningS": null, "parts": tasks})
    }

    /// Executes start, stop and acknowledge commands; repeated ones change nothing.
    pub fn execute_commands(&mut self, commands: &Value) {
        for command in commands.as_array().unwrap() {
            let (task, attempt) = (
                command["part"].as_str().unwrap().to_owned(),
                command["try"].as_u64().unwrap(),
            );
            let position = self
                .tasks
                .iter()
                .position(|t| t.0 == task && t.1 == attempt);
            match (command["verb"].as_str().unwrap(), position) {
                ("start", None) => {
                    self.started_attempts.push((task.clone(), attempt));
                    self.tasks.push((task, attempt, "running", ""));
                }
                ("halt", Some(i)) if self.tasks[i].2 != "ended" => {
                    self.tasks[i].2 = "ended";
                    self.tasks[i].3 = "stopped";
                }
                ("reap", Some(i)) if self.tasks[i].2 == "ended" => {
                    self.tasks.remove(i);
                }
                _ => {}
            }
        }
    }

    /// Answers a direct call with its heartbeat; refuses commands with a lower fencing token or for another
    /// agent epoch.
    pub fn handle_command_call(&mut self, body: &Value) -> Outcome {
        if body["baton"].as_u64().unwrap() < self.fencing_token
            || body["stint"].as_u64() != Some(self.agent_epoch)
        {
            self.refused_calls += 1;
            return json_reply(409, self.heartbeat());
        }
        self.fencing_token = body["baton"].as_u64().unwrap();
        self.executed_calls.push(body.clone());
        self.execute_commands(&body["orders"]);
        json_reply(200, self.heartbeat())
    }

    /// Lets a copy of every direct call that was executed here arrive again. Nobody gets the answers.
    pub fn repeat_executed_calls(&mut self) {
        for body in std::mem::take(&mut self.executed_calls) {
            let refused_before = self.refused_calls;
            self.handle_command_call(&body);
            if self.refused_calls > refused_before {
                // A refused copy stays in the record, to be repeated later.
                self.refused_calls = refused_before;
                self.executed_calls.push(body);
            }
        }
    }

    /// Drops the tasks and begins the next epoch if its lease has expired.
    pub fn expire_lease(&mut self, now: Micros) {
        if now > self.lease_renewed_at + LEASE {
            self.agent_epoch += 1;
            self.tasks.clear();
            self.lease_renewed_at = now;
        }
    }

    /// The machine was off for a moment: its agent starts again and knows what `memory` says.
    pub fn restart_agent(&mut self, memory: AgentMemory, now: Micros) {
        if memory != AgentMemory::Everything {
            self.tasks.clear();
        }
        match memory {
            AgentMemory::Everything | AgentMemory::Counters => {}
            AgentMemory::NextEpoch => {
                self.lease_renewed_at = now;
                self.agent_epoch += 1;
                self.fencing_token = 0;
            }
            AgentMemory::Nothing => {
                self.lease_renewed_at = now;
                self.agent_epoch = 1;
                self.sequence = 0;
                self.fencing_token = 0;
            }
        }
    }

    /// Ends a running task by itself, with this cause.
    pub fn end_task(&mut self, task: &str, cause: &'static str) {
        let entry = self
            .tasks
            .iter_mut()
            .find(|t| t.0 == task && t.2 != "ended")
            .expect("the task is there");
        entry.2 = "ended";
        entry.3 = cause;
    }

    /// Whether the task is here and has not ended.
    pub fn is_running(&self, task: &str) -> bool {
        self.tasks.iter().any(|t| t.0 == task && t.2 != "ended")
    }
}
