//! The cloud: machine types, renting, returning, listing. Never takes absence for proof.

use crate::clock::{MILLI, Micros, SECOND, from_secs};
use crate::maps::HashMap;
use crate::net::{Outcome, Output, Ticket};
use crate::planted::{Bug, planted};
use crate::wire::{HostList, ListedHost, MachineType, MachineTypes};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

const CALL_TIME: Micros = 4 * SECOND;
const TYPES_AGAIN: Micros = 120 * SECOND;
const LIST_EVERY: Micros = 4 * SECOND;
const REFUSED_FIRST: Micros = 6 * SECOND;
const REFUSED_MAX: Micros = 25 * SECOND;
const RETURN_BATCH: usize = 100;
/// Boots take 0.6 to 1.5 times the stated time, mostly.
const LATE: f64 = 1.6;

/// One kind of machine that can be asked for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Offer {
    pub sku: String,
    pub zone: String,
    pub spot: bool,
}

#[derive(Clone, Debug)]
enum Call {
    Types,
    List {
        after: String,
    },
    Rent {
        offer: Offer,
        number: u32,
        hire: String,
    },
    Return {
        hosts: Vec<Arc<str>>,
    },
}

/// A machine that we rented or saw listed and that has not reported yet.
#[derive(Clone, Debug)]
pub struct Booting {
    pub offer: Offer,
    pub since: Micros,
}

#[derive(Clone, Debug, PartialEq)]
pub enum News {
    Types,
    Rented { hosts: Vec<Arc<str>>, offer: Offer },
    Failed(Arc<str>),
    Returned(Vec<Arc<str>>),
}

pub struct Cloud {
    addr: SocketAddr,
    label: String,
    pub types: Vec<MachineType>,
    types_at: Micros,
    types_open: bool,
    /// The types are the cloud's own word to this process.
    told: bool,
    calls: HashMap<Ticket, Call>,
    list_at: Micros,
    list_open: bool,
    pub booting: BTreeMap<Arc<str>, Booting>,
    pub listed: BTreeMap<Arc<str>, Micros>,
    refused: BTreeMap<Offer, (Micros, Micros)>,
    /// Offers that have been granted before, so that a lost machine may be replaced.
    granted: BTreeSet<Offer>,
    trouble_until: Micros,
    waiting: Vec<(Call, Micros)>,
    hires: u64,
    run: u64,
    returning: Vec<Arc<str>>,
    pause: Micros,
    next_call: Micros,
}

impl Cloud {
    pub fn new(addr: SocketAddr, label: &str, run: u64, rps: f64) -> Self {
        Self {
            addr,
            label: label.to_owned(),
            types: Vec::new(),
            types_at: 0,
            types_open: false,
            told: false,
            calls: HashMap::default(),
            list_at: 0,
            list_open: false,
            booting: BTreeMap::new(),
            listed: BTreeMap::new(),
            refused: BTreeMap::new(),
            granted: BTreeSet::new(),
            trouble_until: 0,
            waiting: Vec::new(),
            hires: 0,
            run,
            returning: Vec::new(),
            // Half of the allowance: the other nodes ask for types now and then.
            pause: from_secs(2.0 / rps),
            next_call: 0,
        }
    }

    /// Whether the types are what the cloud told this process.
    pub fn told(&self) -> bool {
        self.told
    }

    /// Takes types that were told to an earlier life, until the cloud tells them; false if it has.
    pub fn suppose(&mut self, types: &[MachineType]) -> bool {
        if self.told || types.is_empty() {
            return false;
        }
        self.types = types.to_vec();
        true
    }

    pub fn sku(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.sku == name)
    }

    /// Forgets what only a leader keeps track of.
    pub fn reset(&mut self) {
        self.booting.clear();
        self.listed.clear();
        self.refused.clear();
        self.returning.clear();
        self.list_at = 0;
        self.waiting.retain(|(c, _)| matches!(c, Call::Rent { .. }));
    }

    pub fn wake_at(&self, leading: bool) -> Micros {
        let mut at = Micros::MAX;
        if !self.types_open && (!self.told || leading) {
            at = self.types_at;
        }
        if leading {
            if !self.list_open {
                at = at.min(self.list_at.max(self.trouble_until));
            }
            if !self.returning.is_empty() {
                at = at.min(self.next_call);
            }
            at = self.waiting.iter().map(|w| w.1).fold(at, Micros::min);
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
        if !self.types_open && now >= self.types_at && (!self.told || leading) {
            self.types_open = true;
            self.send(Call::Types, tickets, out);
        }
        if !leading {
            return;
        }
        if !self.list_open && now >= self.list_at.max(self.trouble_until) {
            self.list_open = true;
            self.send(
                Call::List {
                    after: String::new(),
                },
                tickets,
                out,
            );
        }
        if !self.returning.is_empty() && now >= self.next_call {
            let n = self.returning.len().min(RETURN_BATCH);
            let hosts = self.returning.drain(..n).collect();
            self.next_call = now + self.pause;
            self.send(Call::Return { hosts }, tickets, out);
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| w.1 <= now);
        self.waiting = later;
        for (call, _) in due {
            self.send(call, tickets, out);
        }
    }

    fn send(&mut self, call: Call, tickets: &mut Ticket, out: &mut Vec<Output>) {
        *tickets += 1;
        let (method, path, body) = match &call {
            Call::Types => ("GET", "/machine_types".to_owned(), Vec::new()),
            Call::List { after } if after.is_empty() => {
                ("GET", "/hosts?limit=500".to_owned(), Vec::new())
            }
            Call::List { after } => ("GET", format!("/hosts?from={after}&limit=500"), Vec::new()),
            Call::Rent {
                offer,
                number,
                hire,
            } => {
                let body = json!({"hire": hire, "build": offer.sku, "paddock": offer.zone, "loaners": offer.spot, "number": number});
                ("POST", "/hosts".to_owned(), body.to_string().into_bytes())
            }
            Call::Return { hosts } => (
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
            timeout: CALL_TIME,
        });
        self.calls.insert(*tickets, call);
    }

    /// True when a rental can be asked for now.
    pub fn free_to_rent(&self, now: Micros, offer: &Offer) -> bool {
        let open = self.calls.values().chain(self.waiting.iter().map(|w| &w.0));
        let open = open.filter(|c| matches!(c, Call::Rent { .. })).count();
        open == 0
            && now >= self.next_call.max(self.trouble_until)
            && self.refused.get(offer).is_none_or(|r| now >= r.0)
    }

    pub fn rent(
        &mut self,
        now: Micros,
        offer: Offer,
        number: u32,
        tickets: &mut Ticket,
        out: &mut Vec<Output>,
    ) {
        self.hires += 1;
        // Run and count make the name one that is never used again, by any node.
        let run = if planted(Bug::HireReused) {
            0
        } else {
            self.run
        };
        let hire = format!("{}-{run:x}-{}", self.label, self.hires);
        log::info!(
            "renting {number} {} in {} spot={} as {hire}",
            offer.sku,
            offer.zone,
            offer.spot
        );
        self.next_call = now + self.pause;
        self.send(
            Call::Rent {
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
        self.granted.contains(offer)
    }

    pub fn give_back(&mut self, host: Arc<str>) {
        if !self.returning.contains(&host) {
            self.returning.push(host);
        }
    }

    pub fn owns(&self, ticket: Ticket) -> bool {
        self.calls.contains_key(&ticket)
    }

    pub fn outcome(&mut self, now: Micros, ticket: Ticket, outcome: &Outcome) -> Vec<News> {
        let Some(call) = self.calls.remove(&ticket) else {
            return Vec::new();
        };
        let (status, body) = match outcome {
            Outcome::Reply { status, body } => (*status, body.as_slice()),
            _ => (0, [].as_slice()),
        };
        let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        if status == 503 && value["error"] == "trouble" {
            self.trouble_until = now + 3 * SECOND;
        }
        match call {
            Call::Types => {
                self.types_open = false;
                self.types_at = now + SECOND;
                if status == 200
                    && let Ok(types) = serde_json::from_value::<MachineTypes>(value)
                    && !types.builds.is_empty()
                {
                    self.types = types.builds;
                    self.told = true;
                    self.types_at = now + TYPES_AGAIN;
                    return vec![News::Types];
                }
            }
            Call::List { .. } => {
                self.list_open = false;
                self.list_at = now + LIST_EVERY;
                if status == 200
                    && let Ok(list) = serde_json::from_value::<HostList>(value)
                {
                    return self.take_list(now, list);
                }
            }
            Call::Rent {
                offer,
                number,
                hire,
            } => match status {
                200 => {
                    let hosts: Vec<Arc<str>> =
                        serde_json::from_value(value["hosts"].clone()).unwrap_or_default();
                    if (hosts.len() as u32) < number {
                        self.refuse(now, &offer);
                    } else {
                        self.refused.remove(&offer);
                    }
                    if !hosts.is_empty() {
                        self.granted.insert(offer.clone());
                    }
                    for h in &hosts {
                        self.booting.insert(
                            h.clone(),
                            Booting {
                                offer: offer.clone(),
                                since: now,
                            },
                        );
                    }
                    return vec![News::Rented { hosts, offer }];
                }
                503 if value["error"] != "trouble" => self.refuse(now, &offer),
                400 => {
                    log::error!("the cloud refused rental {hire} as malformed");
                    self.refuse(now, &offer);
                }
                // May have been executed: the same name asks for the same machines.
                _ => self.waiting.push((
                    Call::Rent {
                        offer,
                        number,
                        hire,
                    },
                    now + SECOND,
                )),
            },
            Call::Return { hosts } => {
                if status == 200 {
                    for h in &hosts {
                        self.booting.remove(h);
                    }
                    return vec![News::Returned(hosts)];
                }
                self.waiting.push((Call::Return { hosts }, now + SECOND));
            }
        }
        Vec::new()
    }

    fn refuse(&mut self, now: Micros, offer: &Offer) {
        let wait = self
            .refused
            .get(offer)
            .map_or(REFUSED_FIRST, |r| (r.1 * 3 / 2).min(REFUSED_MAX));
        self.refused.insert(offer.clone(), (now + wait, wait));
    }

    fn take_list(&mut self, now: Micros, list: HostList) -> Vec<News> {
        let mut news = Vec::new();
        if list.truncated
            && let Some(last) = list.hosts.last()
        {
            self.list_open = true;
            self.waiting.push((
                Call::List {
                    after: last.uid.to_string(),
                },
                now + 300 * MILLI,
            ));
        }
        for h in &list.hosts {
            self.listed.insert(h.uid.clone(), now);
            match h.status.as_str() {
                "failed" => news.push(News::Failed(h.uid.clone())),
                "booting" => self.see_booting(now, h),
                _ => {}
            }
        }
        self.listed.retain(|_, at| now < *at + 60 * SECOND);
        news
    }

    fn see_booting(&mut self, now: Micros, h: &ListedHost) {
        let offer = Offer {
            sku: h.build.clone(),
            zone: h.paddock.clone(),
            spot: h.loaners,
        };
        self.booting
            .entry(h.uid.clone())
            .or_insert_with(|| Booting {
                offer,
                since: now.saturating_sub(from_secs(h.age_s)),
            });
    }

    /// Whether a machine takes longer to come up than boots usually do.
    pub fn late(&self, now: Micros, b: &Booting) -> bool {
        now > b.since + from_secs(self.boot_s(b) * LATE)
    }

    fn boot_s(&self, b: &Booting) -> f64 {
        self.sku(&b.offer.sku).map_or(60.0, |t| t.boot_s)
    }

    /// Machines that should have been up long ago.
    pub fn stuck(&self, now: Micros) -> Vec<Arc<str>> {
        self.booting
            .iter()
            .filter(|(_, b)| now > b.since + from_secs(self.boot_s(b) * 3.0 + 20.0))
            .map(|(id, _)| id.clone())
            .collect()
    }
}
