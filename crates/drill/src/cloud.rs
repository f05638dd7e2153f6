//! The cloud as published: capacity that shows only when it refuses, lists that lag, rentals by
//! name, machines that boot late or never, are taken with a notice or without, and die.

use crate::machine::{Machine, Phase};
use crate::network::Host;
use crate::scenario::{FaultKind, Scenario};
use crate::state::Bucket;
use crate::world::{Answer, Event, Micros, Request, SECOND, World, micros};
use dewramp::seeded_hash::HashMap;
use rand::Rng;
use serde::Deserialize;
use serde_json::json;

/// How long a machine that died is still listed as running.
const DEAD_LISTED: Micros = 30 * SECOND;

pub struct Cloud {
    /// How many machines of each pool there are now.
    used: Vec<usize>,
    /// What each rental by name was answered, with what it asked for.
    hires: HashMap<String, ((usize, usize), Vec<String>)>,
    requests: Bucket,
    pub asked: u64,
    pub rented: u64,
    pub returned: u64,
    /// Machines that ran tasks when they were returned.
    pub returned_busy: u64,
}

#[derive(Deserialize)]
struct Rent {
    hire: String,
    build: String,
    paddock: String,
    loaners: bool,
    number: usize,
}

#[derive(Deserialize)]
struct Return {
    hosts: Vec<String>,
}

impl Cloud {
    pub fn new(day: &Scenario) -> Self {
        Self {
            used: vec![0; day.pools.len()],
            hires: HashMap::default(),
            requests: Bucket::new(day.cloud.rps, 2.0),
            asked: 0,
            rented: 0,
            returned: 0,
            returned_busy: 0,
        }
    }
}

impl World {
    /// The machines that are up when the day begins.
    pub fn first_machines(&mut self) {
        for pool in 0..self.day.pools.len() {
            for _ in 0..self.day.pools[pool].up {
                let m = self.new_machine(pool);
                let at = self.rng.random_range(0..2 * SECOND);
                self.at(at, Event::MachineUp(m));
            }
        }
    }

    fn new_machine(&mut self, pool: usize) -> usize {
        self.cloud.used[pool] += 1;
        let m = self.machines.len();
        let machine = Machine::new(m, pool, &self.day, self.now, &mut self.rng);
        self.machines.push(machine);
        if self.day.pools[pool].spot {
            self.next_taken(m);
        }
        m
    }

    /// When the cloud takes a spot machine by itself.
    fn next_taken(&mut self, m: usize) {
        let per_hour = self.day.fleet.taken_per_hour;
        if per_hour > 0.0 {
            let luck: f64 = self.rng.random_range(1e-9..1.0);
            let at = self.now + micros(-luck.ln() * 3600.0 / per_hour);
            if at < self.end {
                let silent = self.rng.random::<f64>() < self.day.fleet.silent;
                let notice = if silent {
                    0.0
                } else {
                    self.day.fleet.notice_s * self.rng.random_range(0.5..1.5)
                };
                self.take(m, at, notice);
            }
        }
    }

    /// The machine goes at that time, told of it so long before.
    pub fn take(&mut self, m: usize, at: Micros, notice_s: f64) {
        self.machines[m].taken_at = Some((at.saturating_sub(micros(notice_s)), at));
        if notice_s > 0.0 {
            self.at(at.saturating_sub(micros(notice_s)), Event::Report(m));
        }
        self.at(at, Event::Taken(m));
    }

    pub fn ask_cloud(&mut self, request: Request) {
        let id = request.call;
        let error = |status, why: &str| Answer::new(status, json!({"error": why}).to_string());
        let now = self.now;
        if !self.cloud.requests.take(now, 1.0) {
            return self.cloud_answers(id, error(429, "too many requests"));
        }
        if self.lasting(FaultKind::CloudOutage).is_some() {
            return self.cloud_answers(id, error(503, "trouble"));
        }
        let late = self
            .lasting(FaultKind::CloudLate)
            .map(|f| f.at_s + f.for_s.unwrap_or(0.0));
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machine_types") => {
                let builds: Vec<_> = self.day.types.iter().map(|t| {
                    let zones = self.day.pools.iter().filter(|p| p.r#type == t.name);
                    let mut zones: Vec<&String> = zones.map(|p| &p.zone).collect();
                    zones.sort_unstable();
                    zones.dedup();
                    json!({"sku": t.name, "cores": t.cores, "accelerators": 0.0, "memGb": t.memory_gb,
                           "cacheGb": t.cache_gb, "fetchGbPerS": t.fetch_gb_per_s, "price": t.price,
                           "spotPrice": t.spot_price, "readyS": t.boot_s, "paddocks": zones})
                }).collect();
                self.cloud_answers(id, Answer::new(200, json!({"builds": builds}).to_string()));
            }
            ("GET", path) => {
                let from = path.split_once("from=").map_or("", |p| p.1);
                let from = from.split('&').next().unwrap_or("").to_owned();
                let body = self.list(&from);
                self.cloud_answers(id, Answer::new(200, body));
            }
            ("POST", "/hosts") => {
                let Ok(ask) = serde_json::from_slice::<Rent>(&request.body) else {
                    return self.cloud_answers(id, error(400, "malformed"));
                };
                let offer = self.day.pools.iter().position(|p| {
                    p.r#type == ask.build && p.zone == ask.paddock && p.spot == ask.loaners
                });
                let Some(pool) = offer else {
                    return self.cloud_answers(id, error(503, "no capacity"));
                };
                if let Some(until) = late {
                    let event = Event::CloudRent(ask.hire, pool, ask.number);
                    return self.at(micros(until), event);
                }
                let answer = match self.rent(&ask.hire, pool, ask.number) {
                    Some(hosts) => Answer::new(200, json!({"hosts": hosts}).to_string()),
                    None => error(503, "no capacity"),
                };
                self.cloud_answers(id, answer);
            }
            ("POST", "/hosts/return") => {
                let Ok(ask) = serde_json::from_slice::<Return>(&request.body) else {
                    return self.cloud_answers(id, error(400, "malformed"));
                };
                if let Some(until) = late {
                    return self.at(micros(until), Event::CloudReturn(ask.hosts));
                }
                self.give_back(&ask.hosts);
                self.cloud_answers(id, Answer::new(200, "{}"));
            }
            _ => self.cloud_answers(id, error(404, "no such path")),
        }
    }

    fn cloud_answers(&mut self, id: u64, answer: Answer) {
        let ms = self.day.cloud.latency_ms * self.rng.random_range(0.6..1.4);
        self.after(micros(ms / 1000.0), Event::Ready(id, Box::new(answer)));
    }

    /// Rents by a name that is good for one answer; None: no capacity.
    pub fn rent(&mut self, hire: &str, pool: usize, number: usize) -> Option<Vec<String>> {
        self.cloud.asked += number as u64;
        if let Some((asked, hosts)) = self.cloud.hires.get(hire) {
            let (asked, hosts) = (*asked, hosts.clone());
            self.check
                .rental_repeated(self.now, hire, asked == (pool, number));
            return Some(hosts);
        }
        let p = &self.day.pools[pool];
        let full = self.lasting(FaultKind::CloudFull).is_some();
        let free = p.most.saturating_sub(self.cloud.used[pool]);
        let number = number.min(50);
        let granted = if full { 0 } else { number.min(free) };
        if granted == 0 {
            return None;
        }
        let hosts: Vec<usize> = (0..granted).map(|_| self.new_machine(pool)).collect();
        self.cloud.rented += granted as u64;
        for m in &hosts {
            if let Some(at) = self.boot(*m) {
                self.at(at, Event::MachineUp(*m));
            }
        }
        let names: Vec<String> = hosts
            .iter()
            .map(|m| self.machines[*m].name.clone())
            .collect();
        let told = ((pool, number), names.clone());
        self.cloud.hires.insert(hire.to_owned(), told);
        Some(names)
    }

    /// When a machine rented now is up, if ever.
    fn boot(&mut self, m: usize) -> Option<Micros> {
        let t = &self.day.types[self.machines[m].kind];
        let slow = self.lasting(FaultKind::BootsSlow).and_then(|f| f.factor);
        let luck: f64 = self.rng.random();
        if self.rng.random::<f64>() < t.boot_fail {
            return None;
        }
        if self.lasting(FaultKind::BootsEarly).is_some() {
            return Some(self.now + self.rng.random_range(100_000..2_000_000));
        }
        let times = match luck {
            l if l < 0.03 => 0.05,
            l if l > 0.97 => 3.0,
            l => 0.6 + 0.9 * l,
        };
        Some(self.now + micros(t.boot_s * times * slow.unwrap_or(1.0)))
    }

    pub fn give_back(&mut self, hosts: &[String]) {
        for name in hosts {
            let found = name
                .strip_prefix("m-")
                .and_then(|n| n.parse::<usize>().ok());
            let Some(m) = found.filter(|m| *m < self.machines.len()) else {
                continue;
            };
            if self.machines[m].phase == Phase::Gone {
                continue;
            }
            self.cloud.returned += 1;
            let busy = self.machines[m].tasks.iter().any(|t| t.holds());
            self.cloud.returned_busy += u64::from(busy);
            self.machine_ends(m, true);
        }
    }

    /// The machine and all that is on it are gone; `deleted`: from the list too.
    pub fn machine_ends(&mut self, m: usize, deleted: bool) {
        if self.machines[m].phase == Phase::Gone {
            return;
        }
        self.drop_tasks(m);
        let now = self.now;
        let pool = self.machines[m].pool;
        let machine = &mut self.machines[m];
        if machine.phase != Phase::Dead {
            machine.ended = now;
        }
        machine.phase = if deleted { Phase::Gone } else { Phase::Dead };
        machine.inbox.clear();
        if deleted {
            self.cloud.used[pool] -= 1;
            machine.gone_at = Some(now);
        }
        // Nobody answers for it any more: its connections just fall silent.
        self.network.forget(Host::Machine(m));
    }

    /// The list as it was some time ago.
    fn list(&mut self, from: &str) -> String {
        let lag = self.day.cloud.list_lag_s * self.rng.random_range(0.5..2.0);
        let then = self.now.saturating_sub(micros(lag));
        let mut hosts = Vec::new();
        let mut truncated = false;
        for m in &mut self.machines {
            let here = (m.created <= then || m.listed) && m.gone_at.is_none_or(|g| g > then);
            if !here || m.name.as_str() <= from {
                continue;
            }
            if hosts.len() == 500 {
                truncated = true;
                break;
            }
            m.listed = true;
            let status = match m.phase {
                Phase::Dead | Phase::Gone if m.ended + DEAD_LISTED <= then => "failed",
                _ if m.up_at.is_some_and(|u| u <= then) => "running",
                _ => "booting",
            };
            let pool = &self.day.pools[m.pool];
            hosts.push(
                json!({"uid": m.name, "addr": m.addr, "build": pool.r#type, "paddock": pool.zone,
                              "loaners": pool.spot, "status": status,
                              "ageS": then.saturating_sub(m.created) as f64 / 1e6}),
            );
        }
        json!({"hosts": hosts, "truncated": truncated}).to_string()
    }

    /// What was spent, by the second at nominal prices.
    pub fn cost(&self) -> f64 {
        let each = self.machines.iter().map(|m| {
            let until = match m.phase {
                Phase::Dead | Phase::Gone => m.ended,
                _ => self.now,
            };
            let t = &self.day.types[m.kind];
            let price = if self.day.pools[m.pool].spot {
                t.spot_price
            } else {
                t.price
            };
            price * until.saturating_sub(m.created) as f64 / 3.6e9
        });
        each.sum()
    }
}
