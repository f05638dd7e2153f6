//! A model of the cloud provider, after its published description.
//!
//! The capacity of a pool only shows when a rental is refused, lists of machines lag behind, and rentals are
//! idempotent by rental id. Machines may boot late or never; spot machines are reclaimed with or without notice.

use crate::machine::{Machine, Phase};
use crate::network::Host;
use crate::scenario::{FaultKind, Scenario};
use crate::state_service::TokenBucket;
use crate::world::{Event, Micros, Request, Response, SECOND, World, micros};
use dewramp::seeded_hash::HashMap;
use rand::Rng;
use serde::Deserialize;
use serde_json::json;

/// How long a machine that failed is still listed as running.
const FAILURE_DETECTION_DELAY: Micros = 30 * SECOND;

/// State and counters of the cloud provider.
pub struct Cloud {
    /// Number of existing machines, by pool.
    used: Vec<usize>,
    /// By rental id: pool and number that were requested, and the names of the granted machines.
    rentals: HashMap<String, ((usize, usize), Vec<String>)>,
    request_budget: TokenBucket,
    pub machines_requested: u64,
    pub machines_rented: u64,
    pub machines_released: u64,
    /// Machines that had tasks when they were released.
    pub busy_machines_released: u64,
}

#[derive(Deserialize)]
struct RentRequest {
    #[serde(rename = "hire")]
    rental_id: String,
    #[serde(rename = "build")]
    machine_type: String,
    #[serde(rename = "paddock")]
    zone: String,
    #[serde(rename = "loaners")]
    spot: bool,
    number: usize,
}

#[derive(Deserialize)]
struct ReleaseRequest {
    #[serde(rename = "hosts")]
    machines: Vec<String>,
}

impl Cloud {
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            used: vec![0; scenario.pools.len()],
            rentals: HashMap::default(),
            request_budget: TokenBucket::new(scenario.cloud.rps, 2.0),
            machines_requested: 0,
            machines_rented: 0,
            machines_released: 0,
            busy_machines_released: 0,
        }
    }
}

impl World {
    /// Creates the machines that are up from the start; they start within two seconds.
    pub fn create_initial_machines(&mut self) {
        for pool in 0..self.scenario.pools.len() {
            for _ in 0..self.scenario.pools[pool].up {
                let m = self.new_machine(pool);
                let at = self.rng.random_range(0..2 * SECOND);
                self.schedule_at(at, Event::MachineUp(m));
            }
        }
    }

    fn new_machine(&mut self, pool: usize) -> usize {
        self.cloud.used[pool] += 1;
        let m = self.machines.len();
        let machine = Machine::new(m, pool, &self.scenario, self.now, &mut self.rng);
        self.machines.push(machine);
        if self.scenario.pools[pool].spot {
            self.draw_reclaim(m);
        }
        m
    }

    /// Draws when the cloud reclaims a spot machine, at the scenario's rate per hour.
    fn draw_reclaim(&mut self, m: usize) {
        let per_hour = self.scenario.fleet.taken_per_hour;
        if per_hour > 0.0 {
            let draw: f64 = self.rng.random_range(1e-9..1.0);
            let at = self.now + micros(-draw.ln() * 3600.0 / per_hour);
            if at < self.end {
                let without_notice = self.rng.random::<f64>() < self.scenario.fleet.silent;
                let notice = if without_notice {
                    0.0
                } else {
                    self.scenario.fleet.notice_s * self.rng.random_range(0.5..1.5)
                };
                self.schedule_reclaim(m, at, notice);
            }
        }
    }

    /// Reclaims a machine at this time, with notice to its worker `notice_s` earlier.
    pub fn schedule_reclaim(&mut self, m: usize, at: Micros, notice_s: f64) {
        self.machines[m].reclaim = Some((at.saturating_sub(micros(notice_s)), at));
        if notice_s > 0.0 {
            self.schedule_at(at.saturating_sub(micros(notice_s)), Event::Heartbeat(m));
        }
        self.schedule_at(at, Event::SpotReclaim(m));
    }

    /// Handles a request of a controller to the cloud.
    pub fn handle_cloud_request(&mut self, request: Request) {
        let id = request.call;
        let error =
            |status, message: &str| Response::new(status, json!({"error": message}).to_string());
        let now = self.now;
        if !self.cloud.request_budget.try_take(now, 1.0) {
            return self.cloud_responds(id, error(429, "too many requests"));
        }
        if self.active_fault(FaultKind::CloudOutage).is_some() {
            return self.cloud_responds(id, error(503, "trouble"));
        }
        let delayed_until_s = self
            .active_fault(FaultKind::CloudLate)
            .map(|f| f.at_s + f.for_s.unwrap_or(0.0));
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machine_types") => {
                let machine_types: Vec<_> = self.scenario.types.iter().map(|t| {
                    let zones = self.scenario.pools.iter().filter(|p| p.r#type == t.name);
                    let mut zones: Vec<&String> = zones.map(|p| &p.zone).collect();
                    zones.sort_unstable();
                    zones.dedup();
                    json!({"sku": t.name, "cores": t.cores, "accelerators": 0.0, "memGb": t.memory_gb,
                           "cacheGb": t.cache_gb, "fetchGbPerS": t.fetch_gb_per_s, "price": t.price,
                           "spotPrice": t.spot_price, "readyS": t.boot_s, "paddocks": zones})
                }).collect();
                self.cloud_responds(
                    id,
                    Response::new(200, json!({"builds": machine_types}).to_string()),
                );
            }
            ("GET", path) => {
                let from = path.split_once("from=").map_or("", |p| p.1);
                let from = from.split('&').next().unwrap_or("").to_owned();
                let body = self.list_machines(&from);
                self.cloud_responds(id, Response::new(200, body));
            }
            ("POST", "/hosts") => {
                let Ok(body) = serde_json::from_slice::<RentRequest>(&request.body) else {
                    return self.cloud_responds(id, error(400, "malformed"));
                };
                let matching_pool = self.scenario.pools.iter().position(|p| {
                    p.r#type == body.machine_type && p.zone == body.zone && p.spot == body.spot
                });
                let Some(pool) = matching_pool else {
                    return self.cloud_responds(id, error(503, "no capacity"));
                };
                if let Some(until_s) = delayed_until_s {
                    let event = Event::DelayedRental(body.rental_id, pool, body.number);
                    return self.schedule_at(micros(until_s), event);
                }
                let response = match self.rent(&body.rental_id, pool, body.number) {
                    Some(machines) => {
                        self.copy_executed_request(&request);
                        Response::new(200, json!({"hosts": machines}).to_string())
                    }
                    None => error(503, "no capacity"),
                };
                self.cloud_responds(id, response);
            }
            ("POST", "/hosts/return") => {
                let Ok(body) = serde_json::from_slice::<ReleaseRequest>(&request.body) else {
                    return self.cloud_responds(id, error(400, "malformed"));
                };
                if let Some(until_s) = delayed_until_s {
                    return self.schedule_at(micros(until_s), Event::DelayedRelease(body.machines));
                }
                self.release_machines(&body.machines);
                self.copy_executed_request(&request);
                self.cloud_responds(id, Response::new(200, "{}"));
            }
            _ => self.cloud_responds(id, error(404, "no such path")),
        }
    }

    fn cloud_responds(&mut self, id: u64, response: Response) {
        let ms = self.scenario.cloud.latency_ms * self.rng.random_range(0.6..1.4);
        self.schedule_after(
            micros(ms / 1000.0),
            Event::ServiceResponds(id, Box::new(response)),
        );
    }

    /// Rents machines, or repeats the first response for a known rental id; `None` if there is no capacity.
    pub fn rent(&mut self, rental_id: &str, pool: usize, number: usize) -> Option<Vec<String>> {
        self.cloud.machines_requested += number as u64;
        if let Some((requested, machines)) = self.cloud.rentals.get(rental_id) {
            let (requested, machines) = (*requested, machines.clone());
            self.checker
                .rental_repeated(self.now, rental_id, requested == (pool, number));
            return Some(machines);
        }
        let p = &self.scenario.pools[pool];
        let full = self.active_fault(FaultKind::CloudFull).is_some();
        let free = p.most.saturating_sub(self.cloud.used[pool]);
        let number = number.min(50);
        let granted = if full { 0 } else { number.min(free) };
        if granted == 0 {
            return None;
        }
        let machines: Vec<usize> = (0..granted).map(|_| self.new_machine(pool)).collect();
        self.cloud.machines_rented += granted as u64;
        for m in &machines {
            if let Some(at) = self.draw_boot_end(*m) {
                self.schedule_at(at, Event::MachineUp(*m));
            }
        }
        let names: Vec<String> = machines
            .iter()
            .map(|m| self.machines[*m].name.clone())
            .collect();
        let first_response = ((pool, number), names.clone());
        self.cloud
            .rentals
            .insert(rental_id.to_owned(), first_response);
        Some(names)
    }

    /// Draws when a machine that is rented now has booted; `None` if it never does.
    fn draw_boot_end(&mut self, m: usize) -> Option<Micros> {
        let t = &self.scenario.types[self.machines[m].machine_type];
        let slowdown = self
            .active_fault(FaultKind::BootsSlow)
            .and_then(|f| f.factor);
        let draw: f64 = self.rng.random();
        if self.rng.random::<f64>() < t.boot_fail {
            return None;
        }
        if self.active_fault(FaultKind::BootsEarly).is_some() {
            return Some(self.now + self.rng.random_range(100_000..2_000_000));
        }
        let factor = match draw {
            d if d < 0.03 => 0.05,
            d if d > 0.97 => 3.0,
            d => 0.6 + 0.9 * d,
        };
        Some(self.now + micros(t.boot_s * factor * slowdown.unwrap_or(1.0)))
    }

    /// Releases machines by name; unknown and removed ones are ignored.
    pub fn release_machines(&mut self, machines: &[String]) {
        for name in machines {
            let found = name
                .strip_prefix("m-")
                .and_then(|n| n.parse::<usize>().ok());
            let Some(m) = found.filter(|m| *m < self.machines.len()) else {
                continue;
            };
            if self.machines[m].phase == Phase::Removed {
                continue;
            }
            self.cloud.machines_released += 1;
            let busy = self.machines[m].tasks.iter().any(|t| t.holds_resources());
            self.cloud.busy_machines_released += u64::from(busy);
            self.stop_machine(m, true);
        }
    }

    /// Stops a machine with all its tasks; `deleted` also removes it from the cloud's list.
    pub fn stop_machine(&mut self, m: usize, deleted: bool) {
        if self.machines[m].phase == Phase::Removed {
            return;
        }
        self.drop_tasks(m);
        let now = self.now;
        let pool = self.machines[m].pool;
        let machine = &mut self.machines[m];
        if machine.phase != Phase::Failed {
            machine.stopped_at = now;
        }
        machine.phase = if deleted {
            Phase::Removed
        } else {
            Phase::Failed
        };
        machine.inbox.clear();
        if deleted {
            self.cloud.used[pool] -= 1;
            machine.removed_at = Some(now);
        }
        // No host resets the connections of a machine that is gone: they become silent.
        self.network.drop_connections(Host::Machine(m));
    }

    /// Returns a page of the list of machines as it was some time ago.
    fn list_machines(&mut self, from: &str) -> String {
        let lag = self.scenario.cloud.list_lag_s * self.rng.random_range(0.5..2.0);
        let then = self.now.saturating_sub(micros(lag));
        let mut machines = Vec::new();
        let mut truncated = false;
        for m in &mut self.machines {
            let listed =
                (m.created_at <= then || m.seen_in_list) && m.removed_at.is_none_or(|g| g > then);
            if !listed || m.name.as_str() <= from {
                continue;
            }
            if machines.len() == 500 {
                truncated = true;
                break;
            }
            m.seen_in_list = true;
            let status = match m.phase {
                Phase::Failed | Phase::Removed
                    if m.stopped_at + FAILURE_DETECTION_DELAY <= then =>
                {
                    "failed"
                }
                _ if m.up_at.is_some_and(|u| u <= then) => "running",
                _ => "booting",
            };
            let pool = &self.scenario.pools[m.pool];
            machines.push(
                json!({"uid": m.name, "addr": m.addr, "build": pool.r#type, "paddock": pool.zone,
                              "loaners": pool.spot, "status": status,
                              "ageS": then.saturating_sub(m.created_at) as f64 / 1e6}),
            );
        }
        json!({"hosts": machines, "truncated": truncated}).to_string()
    }

    /// Returns the cost of all machines so far, charged by the second at list prices.
    pub fn cost(&self) -> f64 {
        let each = self.machines.iter().map(|m| {
            let until = match m.phase {
                Phase::Failed | Phase::Removed => m.stopped_at,
                _ => self.now,
            };
            let t = &self.scenario.types[m.machine_type];
            let price = if self.scenario.pools[m.pool].spot {
                t.spot_price
            } else {
                t.price
            };
            price * until.saturating_sub(m.created_at) as f64 / 3.6e9
        });
        each.sum()
    }
}
