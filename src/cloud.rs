//! The cloud: machine types, renting, returning, listing. Never takes absence for proof.

use crate::clock::{MILLISECOND, Micros, SECOND, from_secs};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::messages::{Outcome, Output, Ticket};
use crate::seeded_hash::HashMap;
use crate::wire::{ListedMachine, MachineList, MachineType, MachineTypes};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

const CALL_TIMEOUT: Micros = 4 * SECOND;
const TYPES_REFRESH_INTERVAL: Micros = 120 * SECOND;
const LIST_INTERVAL: Micros = 4 * SECOND;
const REFUSAL_BACKOFF_MIN: Micros = 6 * SECOND;
const REFUSAL_BACKOFF_MAX: Micros = 25 * SECOND;
const RELEASE_BATCH_MACHINES: usize = 100;
/// Boots take 0.6 to 1.5 times the stated time, mostly.
const LATE_BOOT_FACTOR: f64 = 1.6;

/// One kind of machine that can be asked for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Offer {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

#[derive(Clone, Debug)]
enum CloudCall {
    Types,
    List {
        after: String,
    },
    Rent {
        offer: Offer,
        number: u32,
        hire: String,
    },
    Release {
        hosts: Vec<Arc<str>>,
    },
}

/// A machine that we rented or saw listed and that has not reported yet.
#[derive(Clone, Debug)]
pub struct BootingMachine {
    pub offer: Offer,
    pub since: Micros,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudEvent {
    TypesUpdated,
    Rented { hosts: Vec<Arc<str>>, offer: Offer },
    Failed(Arc<str>),
    Released(Vec<Arc<str>>),
}

pub struct Cloud {
    addr: SocketAddr,
    label: String,
    pub types: Vec<MachineType>,
    types_at: Micros,
    types_in_flight: bool,
    /// The types are the cloud's own word to this process.
    types_confirmed: bool,
    calls: HashMap<Ticket, CloudCall>,
    list_at: Micros,
    list_in_flight: bool,
    pub booting: BTreeMap<Arc<str>, BootingMachine>,
    pub listed: BTreeMap<Arc<str>, Micros>,
    backoffs: BTreeMap<Offer, (Micros, Micros)>,
    /// Offers that have been granted before, so that a lost machine may be replaced.
    previously_granted: BTreeSet<Offer>,
    unavailable_until: Micros,
    retries: Vec<(CloudCall, Micros)>,
    rentals_requested: u64,
    incarnation: u64,
    returning: Vec<Arc<str>>,
    call_interval: Micros,
    next_call_at: Micros,
}

impl Cloud {
    pub fn new(addr: SocketAddr, label: &str, run: u64, rps: f64) -> Self {
        Self {
            addr,
            label: label.to_owned(),
            types: Vec::new(),
            types_at: 0,
            types_in_flight: false,
            types_confirmed: false,
            calls: HashMap::default(),
            list_at: 0,
            list_in_flight: false,
            booting: BTreeMap::new(),
            listed: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            previously_granted: BTreeSet::new(),
            unavailable_until: 0,
            retries: Vec::new(),
            rentals_requested: 0,
            incarnation: run,
            returning: Vec::new(),
            // Half of the allowance: the other nodes ask for types now and then.
            call_interval: from_secs(2.0 / rps),
            next_call_at: 0,
        }
    }

    /// Whether the types are what the cloud told this process.
    pub fn types_confirmed(&self) -> bool {
        self.types_confirmed
    }

    /// Takes types that were told to an earlier life, until the cloud tells them; false if it has.
    pub fn assume_types(&mut self, types: &[MachineType]) -> bool {
        if self.types_confirmed || types.is_empty() {
            return false;
        }
        self.types = types.to_vec();
        true
    }

    pub fn machine_type_named(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }

    /// Forgets what only a leader keeps track of.
    pub fn reset(&mut self) {
        self.booting.clear();
        self.listed.clear();
        self.backoffs.clear();
        self.returning.clear();
        self.list_at = 0;
        self.retries
            .retain(|(c, _)| matches!(c, CloudCall::Rent { .. }));
    }

    pub fn wake_at(&self, leading: bool) -> Micros {
        let mut at = Micros::MAX;
        if !self.types_in_flight && (!self.types_confirmed || leading) {
            at = self.types_at;
        }
        if leading {
            if !self.list_in_flight {
                at = at.min(self.list_at.max(self.unavailable_until));
            }
            if !self.returning.is_empty() {
                at = at.min(self.next_call_at);
            }
            at = self.retries.iter().map(|w| w.1).fold(at, Micros::min);
        }
        at
    }

    pub fn tick(
        &mut self,
        now: Micros,
        leading: bool,
        tickets: &mut Ticket,
        out: &mut Vec<Output>,
    ) {
        if !self.types_in_flight && now >= self.types_at && (!self.types_confirmed || leading) {
            self.types_in_flight = true;
            self.send(CloudCall::Types, tickets, out);
        }
        if !leading {
            return;
        }
        if !self.list_in_flight && now >= self.list_at.max(self.unavailable_until) {
            self.list_in_flight = true;
            self.send(
                CloudCall::List {
                    after: String::new(),
                },
                tickets,
                out,
            );
        }
        if !self.returning.is_empty() && now >= self.next_call_at {
            let n = self.returning.len().min(RELEASE_BATCH_MACHINES);
            let hosts = self.returning.drain(..n).collect();
            self.next_call_at = now + self.call_interval;
            self.send(CloudCall::Release { hosts }, tickets, out);
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.retries)
            .into_iter()
            .partition(|w| w.1 <= now);
        self.retries = later;
        for (call, _) in due {
            self.send(call, tickets, out);
        }
    }

    fn send(&mut self, call: CloudCall, tickets: &mut Ticket, out: &mut Vec<Output>) {
        *tickets += 1;
        let (method, path, body) = match &call {
            CloudCall::Types => ("GET", "/machine_types".to_owned(), Vec::new()),
            CloudCall::List { after } if after.is_empty() => {
                ("GET", "/hosts?limit=500".to_owned(), Vec::new())
            }
            CloudCall::List { after } => {
                ("GET", format!("/hosts?from={after}&limit=500"), Vec::new())
            }
            CloudCall::Rent {
                offer,
                number,
                hire,
            } => {
                let body = json!({"hire": hire, "build": offer.machine_type, "paddock": offer.zone, "loaners": offer.spot, "number": number});
                ("POST", "/hosts".to_owned(), body.to_string().into_bytes())
            }
            CloudCall::Release { hosts } => (
                "POST",
                "/hosts/return".to_owned(),
                json!({"hosts": hosts}).to_string().into_bytes(),
            ),
        };
        out.push(Output::Call {
            ticket: *tickets,
            dest: self.addr,
            method,
            path,
            body,
            timeout: CALL_TIMEOUT,
        });
        self.calls.insert(*tickets, call);
    }

    /// True when a rental can be asked for now.
    pub fn can_rent(&self, now: Micros, offer: &Offer) -> bool {
        let open = self.calls.values().chain(self.retries.iter().map(|w| &w.0));
        let open = open.filter(|c| matches!(c, CloudCall::Rent { .. })).count();
        open == 0
            && now >= self.next_call_at.max(self.unavailable_until)
            && self.backoffs.get(offer).is_none_or(|r| now >= r.0)
    }

    pub fn rent(
        &mut self,
        now: Micros,
        offer: Offer,
        number: u32,
        tickets: &mut Ticket,
        out: &mut Vec<Output>,
    ) {
        self.rentals_requested += 1;
        // Run and count make the name one that is never used again, by any node.
        let run = if fault_injected(InjectedFault::HireReused) {
            0
        } else {
            self.incarnation
        };
        let hire = format!("{}-{run:x}-{}", self.label, self.rentals_requested);
        log::info!(
            "renting {number} {} in {} spot={} as {hire}",
            offer.machine_type,
            offer.zone,
            offer.spot
        );
        self.next_call_at = now + self.call_interval;
        self.send(
            CloudCall::Rent {
                offer,
                number: number.clamp(1, 50),
                hire,
            },
            tickets,
            out,
        );
    }

    /// Whether a machine like this could be had again, as far as we know.
    pub fn replaceable(&self, offer: &Offer) -> bool {
        self.previously_granted.contains(offer)
    }

    pub fn release(&mut self, host: Arc<str>) {
        if !self.returning.contains(&host) {
            self.returning.push(host);
        }
    }

    pub fn owns(&self, ticket: Ticket) -> bool {
        self.calls.contains_key(&ticket)
    }

    pub fn handle_outcome(
        &mut self,
        now: Micros,
        ticket: Ticket,
        outcome: &Outcome,
    ) -> Vec<CloudEvent> {
        let Some(call) = self.calls.remove(&ticket) else {
            return Vec::new();
        };
        let (status, body) = match outcome {
            Outcome::Reply { status, body } => (*status, body.as_slice()),
            _ => (0, [].as_slice()),
        };
        let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        if status == 503 && value["error"] == "trouble" {
            self.unavailable_until = now + 3 * SECOND;
        }
        match call {
            CloudCall::Types => {
                self.types_in_flight = false;
                self.types_at = now + SECOND;
                if status == 200
                    && let Ok(types) = serde_json::from_value::<MachineTypes>(value)
                    && !types.types.is_empty()
                {
                    self.types = types.types;
                    self.types_confirmed = true;
                    self.types_at = now + TYPES_REFRESH_INTERVAL;
                    return vec![CloudEvent::TypesUpdated];
                }
            }
            CloudCall::List { .. } => {
                self.list_in_flight = false;
                self.list_at = now + LIST_INTERVAL;
                if status == 200
                    && let Ok(list) = serde_json::from_value::<MachineList>(value)
                {
                    return self.apply_list(now, list);
                }
            }
            CloudCall::Rent {
                offer,
                number,
                hire,
            } => match status {
                200 => {
                    let hosts: Vec<Arc<str>> =
                        serde_json::from_value(value["hosts"].clone()).unwrap_or_default();
                    if (hosts.len() as u32) < number {
                        self.back_off(now, &offer);
                    } else {
                        self.backoffs.remove(&offer);
                    }
                    if !hosts.is_empty() {
                        self.previously_granted.insert(offer.clone());
                    }
                    for h in &hosts {
                        self.booting.insert(
                            h.clone(),
                            BootingMachine {
                                offer: offer.clone(),
                                since: now,
                            },
                        );
                    }
                    return vec![CloudEvent::Rented { hosts, offer }];
                }
                503 if value["error"] != "trouble" => self.back_off(now, &offer),
                400 => {
                    log::error!("the cloud refused rental {hire} as malformed");
                    self.back_off(now, &offer);
                }
                // May have been executed: the same name asks for the same machines.
                _ => self.retries.push((
                    CloudCall::Rent {
                        offer,
                        number,
                        hire,
                    },
                    now + SECOND,
                )),
            },
            CloudCall::Release { hosts } => {
                if status == 200 {
                    for h in &hosts {
                        self.booting.remove(h);
                    }
                    return vec![CloudEvent::Released(hosts)];
                }
                self.retries
                    .push((CloudCall::Release { hosts }, now + SECOND));
            }
        }
        Vec::new()
    }

    fn back_off(&mut self, now: Micros, offer: &Offer) {
        let wait = self.backoffs.get(offer).map_or(REFUSAL_BACKOFF_MIN, |r| {
            (r.1 * 3 / 2).min(REFUSAL_BACKOFF_MAX)
        });
        self.backoffs.insert(offer.clone(), (now + wait, wait));
    }

    fn apply_list(&mut self, now: Micros, list: MachineList) -> Vec<CloudEvent> {
        let mut news = Vec::new();
        if list.truncated
            && let Some(last) = list.machines.last()
        {
            self.list_in_flight = true;
            self.retries.push((
                CloudCall::List {
                    after: last.id.to_string(),
                },
                now + 300 * MILLISECOND,
            ));
        }
        for h in &list.machines {
            self.listed.insert(h.id.clone(), now);
            match h.status.as_str() {
                "failed" => news.push(CloudEvent::Failed(h.id.clone())),
                "booting" => self.observe_booting(now, h),
                _ => {}
            }
        }
        self.listed.retain(|_, at| now < *at + 60 * SECOND);
        news
    }

    fn observe_booting(&mut self, now: Micros, h: &ListedMachine) {
        let offer = Offer {
            machine_type: h.machine_type.clone(),
            zone: h.zone.clone(),
            spot: h.spot,
        };
        self.booting
            .entry(h.id.clone())
            .or_insert_with(|| BootingMachine {
                offer,
                since: now.saturating_sub(from_secs(h.age_s)),
            });
    }

    /// Whether a machine takes longer to come up than boots usually do.
    pub fn is_boot_late(&self, now: Micros, b: &BootingMachine) -> bool {
        now > b.since + from_secs(self.boot_s(b) * LATE_BOOT_FACTOR)
    }

    fn boot_s(&self, b: &BootingMachine) -> f64 {
        self.machine_type_named(&b.offer.machine_type)
            .map_or(60.0, |t| t.boot_s)
    }

    /// Machines that should have been up long ago.
    pub fn stuck_boots(&self, now: Micros) -> Vec<Arc<str>> {
        self.booting
            .iter()
            .filter(|(_, b)| now > b.since + from_secs(self.boot_s(b) * 3.0 + 20.0))
            .map(|(id, _)| id.clone())
            .collect()
    }
}
