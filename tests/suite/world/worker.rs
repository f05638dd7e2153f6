//! A machine's worker by the protocol, in memory.

use super::reply;
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
    pub stint: u64,
    pub tally: u64,
    pub baton: u64,
    /// Task, attempt, state, cause.
    pub parts: Vec<(String, u64, &'static str, &'static str)>,
    pub node: usize,
    pub answered: Micros,
    /// Nothing gets through, in either direction.
    pub silent: bool,
    /// Its reports reach no controller; direct commands reach it.
    pub mute: bool,
    /// Its reports arrive; answers and commands to it are lost.
    pub deaf: bool,
    /// Its answers to commands don't come, and nothing is executed: calls hang until they time out.
    pub stalled: bool,
    /// Commands reach it late: they are kept here and get no answer.
    pub held: Option<Vec<Value>>,
    /// Every task that ever started here: task and attempt.
    pub started: Vec<(String, u64)>,
}

impl Worker {
    pub fn report(&mut self) -> Value {
        self.tally += 1;
        let parts: Vec<Value> = self
            .parts
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
               "loaners": self.spot, "stint": self.stint, "tally": self.tally, "baton": self.baton,
               "warningS": null, "parts": parts})
    }

    pub fn orders(&mut self, orders: &Value) {
        for o in orders.as_array().unwrap() {
            let (part, attempt) = (
                o["part"].as_str().unwrap().to_owned(),
                o["try"].as_u64().unwrap(),
            );
            let at = self
                .parts
                .iter()
                .position(|p| p.0 == part && p.1 == attempt);
            match (o["verb"].as_str().unwrap(), at) {
                ("start", None) => {
                    self.started.push((part.clone(), attempt));
                    self.parts.push((part, attempt, "running", ""));
                }
                ("halt", Some(i)) if self.parts[i].2 != "ended" => {
                    self.parts[i].2 = "ended";
                    self.parts[i].3 = "stopped";
                }
                ("reap", Some(i)) if self.parts[i].2 == "ended" => {
                    self.parts.remove(i);
                }
                _ => {}
            }
        }
    }

    pub fn commands(&mut self, body: &Value) -> Outcome {
        if body["baton"].as_u64().unwrap() < self.baton
            || body["stint"].as_u64() != Some(self.stint)
        {
            return reply(409, self.report());
        }
        self.baton = body["baton"].as_u64().unwrap();
        self.orders(&body["orders"]);
        reply(200, self.report())
    }

    pub fn end(&mut self, part: &str, cause: &'static str) {
        let p = self
            .parts
            .iter_mut()
            .find(|p| p.0 == part && p.2 != "ended")
            .expect("the task is there");
        p.2 = "ended";
        p.3 = cause;
    }

    pub fn has(&self, part: &str) -> bool {
        self.parts.iter().any(|p| p.0 == part && p.2 != "ended")
    }
}
