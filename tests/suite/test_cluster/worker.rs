//! A machine's worker by the protocol, in memory.

use super::json_reply;
use dewramp::clock::Micros;
use dewramp::messages::Outcome;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// A worker by the protocol: tokens, sessions, leases, repeated commands.
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    pub machine_type: &'static str,
    pub zone: &'static str,
    pub spot: bool,
    pub agent_epoch: u64,
    pub sequence: u64,
    pub fencing_token: u64,
    /// Task, attempt, state, cause.
    pub tasks: Vec<(String, u64, &'static str, &'static str)>,
    pub controller: usize,
    pub lease_renewed_at: Micros,
    /// Nothing gets through, in either direction.
    pub partitioned: bool,
    /// Its reports reach no controller; direct commands reach it.
    pub outbound_partitioned: bool,
    /// Its reports arrive; answers and commands to it are lost.
    pub inbound_partitioned: bool,
    /// Its answers to commands don't come, and nothing is executed: calls hang until they time out.
    pub commands_hang: bool,
    /// Commands reach it late: they are kept here and get no answer.
    pub delayed_commands: Option<Vec<Value>>,
    /// Every task that ever started here: task and attempt.
    pub started_attempts: Vec<(String, u64)>,
}

impl Worker {
    pub fn heartbeat(&mut self) -> Value {
        self.sequence += 1;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|p| {
                let mut v = json!({"part": p.0, "try": p.1, "status": p.2});
                if p.2 == "ended" {
                    v["cause"] = json!(p.3);
                }
                v
            })
            .collect();
        json!({"host": self.id, "addr": self.addr.to_string(), "build": self.machine_type, "paddock": self.zone,
               "loaners": self.spot, "stint": self.agent_epoch, "tally": self.sequence, "baton": self.fencing_token,
               "warningS": null, "parts": tasks})
    }

    pub fn execute_commands(&mut self, commands: &Value) {
        for command in commands.as_array().unwrap() {
            let (task, attempt) = (
                command["part"].as_str().unwrap().to_owned(),
                command["try"].as_u64().unwrap(),
            );
            let at = self
                .tasks
                .iter()
                .position(|p| p.0 == task && p.1 == attempt);
            match (command["verb"].as_str().unwrap(), at) {
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

    pub fn handle_command_call(&mut self, body: &Value) -> Outcome {
        if body["baton"].as_u64().unwrap() < self.fencing_token
            || body["stint"].as_u64() != Some(self.agent_epoch)
        {
            return json_reply(409, self.heartbeat());
        }
        self.fencing_token = body["baton"].as_u64().unwrap();
        self.execute_commands(&body["orders"]);
        json_reply(200, self.heartbeat())
    }

    pub fn end_task(&mut self, task: &str, cause: &'static str) {
        let p = self
            .tasks
            .iter_mut()
            .find(|p| p.0 == task && p.2 != "ended")
            .expect("the task is there");
        p.2 = "ended";
        p.3 = cause;
    }

    pub fn is_running(&self, task: &str) -> bool {
        self.tasks.iter().any(|p| p.0 == task && p.2 != "ended")
    }
}
