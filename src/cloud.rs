//! Client of the cloud provider: machine types, renting, releasing and listing machines.
//!
//! Owns what this controller knows from the provider, and its share of the provider's rate of calls. Does no I/O:
//! calls go out as [`Output`]s, their outcomes come back by ticket, and what they mean for the rest of the program
//! is returned as [`CloudEvent`]s. It decides neither how many machines are wanted nor which are released.
//!
//! Invariants at the door: a rental's name is never used for another rental, by any controller, so that a
//! repeated request rents the same machines; a machine that is missing from a list is never taken for gone,
//! since lists lag behind.

use crate::clock::{MILLISECOND, Micros, SECOND, from_secs};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::http_call::HttpCall;
use crate::messages::{Outcome, Output, Ticket};
use crate::seeded_hash::HashMap;
use crate::wire::{
    ListedMachine, MACHINE_TYPES_PATH, MACHINES_PATH, MachineList, MachineStatus, MachineType,
    MachineTypes, RELEASE_PATH, ReleaseRequest, RentalRequest,
};
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// How long an answer is waited for.
const CALL_TIMEOUT: Micros = 4 * SECOND;
/// How long after a failure a call is repeated.
const RETRY_DELAY: Micros = SECOND;
/// How often the leader reads the machine types again.
const TYPES_REFRESH_INTERVAL: Micros = 120 * SECOND;
/// How often the leader lists the machines.
const LIST_INTERVAL: Micros = 4 * SECOND;
/// How long after one page of a list the next one is read.
const LIST_PAGE_INTERVAL: Micros = 300 * MILLISECOND;
/// The most machines of one page of a list.
const LIST_PAGE_MACHINES: usize = 500;
/// A machine counts as listed this long after the last list that it was in.
const LISTED_FOR: Micros = 60 * SECOND;
/// How long nothing is listed or rented after the provider has said that it is in trouble.
const UNAVAILABLE_DELAY: Micros = 3 * SECOND;
/// The provider's error when it is in trouble as a whole, as opposed to lacking the requested machines.
const TROUBLE_ERROR: &str = "trouble";
/// How long an offer is not requested after the provider has first lacked machines of it.
const BACKOFF_MIN: Micros = 6 * SECOND;
/// The longest that an offer is not requested; the backoff grows by a half each time.
const BACKOFF_MAX: Micros = 25 * SECOND;
/// The most machines that are released by one call.
const RELEASE_BATCH_MACHINES: usize = 100;
/// The most machines that are rented by one call.
const RENTAL_MACHINES_MAX: u32 = 50;
/// A boot that takes more than the machine type's boot time by this factor is late: most take 0.6 to 1.5 times
/// as long.
const LATE_BOOT_FACTOR: f64 = 1.6;
/// A boot is stuck after the machine type's boot time by this factor, and [`STUCK_BOOT_MARGIN_S`].
const STUCK_BOOT_FACTOR: f64 = 3.0;
const STUCK_BOOT_MARGIN_S: f64 = 20.0;
/// The boot time of a machine type that is not known.
const DEFAULT_BOOT_S: f64 = 60.0;

/// One kind of machine that can be rented.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Offer {
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine, which the provider may take back.
    pub spot: bool,
}

#[derive(Clone, Debug)]
enum CloudCall {
    Types,
    List {
        /// Only machines after this one; empty for the first page.
        after: String,
    },
    Rent {
        offer: Offer,
        machines: u32,
        /// The provider rents the same machines for the same name.
        rental: String,
    },
    Release {
        machines: Vec<Arc<str>>,
    },
}

impl CloudCall {
    fn encode(&self) -> HttpCall {
        let get = |path| HttpCall::without_body("GET", path, CALL_TIMEOUT);
        match self {
            CloudCall::Types => get(MACHINE_TYPES_PATH.to_owned()),
            CloudCall::List { after } if after.is_empty() => {
                get(format!("{MACHINES_PATH}?limit={LIST_PAGE_MACHINES}"))
            }
            CloudCall::List { after } => get(format!(
                "{MACHINES_PATH}?from={after}&limit={LIST_PAGE_MACHINES}"
            )),
            CloudCall::Rent {
                offer,
                machines,
                rental,
            } => {
                let request = RentalRequest {
                    machine_type: &offer.machine_type,
                    rental,
                    spot: offer.spot,
                    machines: *machines,
                    zone: &offer.zone,
                };
                post(MACHINES_PATH, &request)
            }
            CloudCall::Release { machines } => post(RELEASE_PATH, &ReleaseRequest { machines }),
        }
    }
}

fn post(path: &str, request: &impl Serialize) -> HttpCall {
    let body = serde_json::to_vec(request).unwrap_or_default();
    HttpCall::post(path.to_owned(), body, CALL_TIMEOUT)
}

/// A call that is to be repeated.
#[derive(Clone, Debug)]
struct PendingRetry {
    call: CloudCall,
    due_at: Micros,
}

/// An offer that the provider lacked machines of.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// It is not requested before.
    until: Micros,
    /// How long it is not requested.
    delay: Micros,
}

/// A machine that was rented or listed as booting, and that has not sent a heartbeat yet.
#[derive(Clone, Debug)]
pub struct BootingMachine {
    /// What it was rented as.
    pub offer: Offer,
    /// When its boot began, on this process's steady clock.
    pub since: Micros,
}

/// What an outcome means for the rest of the program.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudEvent {
    /// The provider has sent the machine types.
    TypesUpdated,
    /// Machines were rented, perhaps fewer than requested; they are booting.
    Rented {
        /// Names of the machines.
        hosts: Vec<Arc<str>>,
        /// What was requested.
        offer: Offer,
    },
    /// A machine is listed as failed.
    Failed(Arc<str>),
    /// Machines were released.
    Released(Vec<Arc<str>>),
}

/// The client.
pub struct Cloud {
    addr: SocketAddr,
    /// Name of this controller.
    node_name: String,
    /// The machine types, from the provider or assumed.
    pub types: Vec<MachineType>,
    /// When the machine types are next read.
    types_at: Micros,
    types_in_flight: bool,
    /// The provider has sent the machine types to this process.
    types_confirmed: bool,
    in_flight: HashMap<Ticket, CloudCall>,
    /// When the machines are next listed.
    list_at: Micros,
    list_in_flight: bool,
    /// Machines that are booting, by name.
    pub booting: BTreeMap<Arc<str>, BootingMachine>,
    /// When each machine was last in a list.
    pub listed: BTreeMap<Arc<str>, Micros>,
    backoffs: BTreeMap<Offer, Backoff>,
    /// Offers of which machines have been rented before, so that a lost machine may be replaced.
    previously_granted: BTreeSet<Offer>,
    unavailable_until: Micros,
    retries: Vec<PendingRetry>,
    rentals_requested: u64,
    /// Of this process, see [`Cloud::rent`].
    incarnation: u64,
    /// Machines that are to be released.
    releases: Vec<Arc<str>>,
    /// The time between calls that rent or release.
    call_interval: Micros,
    next_call_at: Micros,
}

impl Cloud {
    /// A client of the provider at `addr` for the controller of that name. `incarnation` differs for each of its
    /// processes; `call_rate` is the provider's limit in calls a second.
    pub fn new(addr: SocketAddr, node_name: &str, incarnation: u64, call_rate: f64) -> Self {
        Self {
            addr,
            node_name: node_name.to_owned(),
            types: Vec::new(),
            types_at: 0,
            types_in_flight: false,
            types_confirmed: false,
            in_flight: HashMap::default(),
            list_at: 0,
            list_in_flight: false,
            booting: BTreeMap::new(),
            listed: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            previously_granted: BTreeSet::new(),
            unavailable_until: 0,
            retries: Vec::new(),
            rentals_requested: 0,
            incarnation,
            releases: Vec::new(),
            // Half of the limit: the other nodes read the types now and then.
            call_interval: from_secs(2.0 / call_rate),
            next_call_at: 0,
        }
    }

    /// Whether the provider has sent the machine types to this process.
    pub fn types_confirmed(&self) -> bool {
        self.types_confirmed
    }

    /// Takes machine types that the provider sent to an earlier process, until it sends them to this one.
    /// Returns whether they were taken.
    pub fn assume_types(&mut self, types: &[MachineType]) -> bool {
        if self.types_confirmed || types.is_empty() {
            return false;
        }
        self.types = types.to_vec();
        true
    }

    /// The machine type of that name.
    pub fn machine_type_named(&self, name: &str) -> Option<&MachineType> {
        self.types
            .iter()
            .find(|machine_type| machine_type.name == name)
    }

    /// Forgets what only a leader keeps track of. Rentals whose outcome is not known are still repeated.
    pub fn reset(&mut self) {
        self.booting.clear();
        self.listed.clear();
        self.backoffs.clear();
        self.releases.clear();
        self.list_at = 0;
        self.retries
            .retain(|retry| matches!(retry.call, CloudCall::Rent { .. }));
    }

    /// When [`Cloud::tick`] should next be called.
    pub fn wake_at(&self, is_leader: bool) -> Micros {
        let mut at = Micros::MAX;
        if self.wants_types(is_leader) {
            at = self.types_at;
        }
        if is_leader {
            if !self.list_in_flight {
                at = at.min(self.next_list_at());
            }
            if !self.releases.is_empty() {
                at = at.min(self.next_call_at);
            }
            let retries = self.retries.iter().map(|retry| retry.due_at);
            at = retries.fold(at, Micros::min);
        }
        at
    }

    fn wants_types(&self, is_leader: bool) -> bool {
        !self.types_in_flight && (!self.types_confirmed || is_leader)
    }

    fn next_list_at(&self) -> Micros {
        self.list_at.max(self.unavailable_until)
    }

    /// Sends the calls that are due. Only a leader lists, releases and repeats.
    pub fn tick(
        &mut self,
        now: Micros,
        is_leader: bool,
        last_ticket: &mut Ticket,
        outputs: &mut Vec<Output>,
    ) {
        if self.wants_types(is_leader) && now >= self.types_at {
            self.types_in_flight = true;
            self.send(CloudCall::Types, last_ticket, outputs);
        }
        if !is_leader {
            return;
        }
        if !self.list_in_flight && now >= self.next_list_at() {
            self.list_in_flight = true;
            let after = String::new();
            self.send(CloudCall::List { after }, last_ticket, outputs);
        }
        if !self.releases.is_empty() && now >= self.next_call_at {
            let count = self.releases.len().min(RELEASE_BATCH_MACHINES);
            let machines = self.releases.drain(..count).collect();
            self.next_call_at = now + self.call_interval;
            self.send(CloudCall::Release { machines }, last_ticket, outputs);
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.retries)
            .into_iter()
            .partition(|retry| retry.due_at <= now);
        self.retries = later;
        for retry in due {
            self.send(retry.call, last_ticket, outputs);
        }
    }

    fn send(&mut self, call: CloudCall, last_ticket: &mut Ticket, outputs: &mut Vec<Output>) {
        let ticket = call.encode().send(self.addr, last_ticket, outputs);
        self.in_flight.insert(ticket, call);
    }

    /// Whether machines of this offer can be rented now: no rental is unsettled, and neither the provider nor
    /// the offer is backed off from.
    pub fn can_rent(&self, now: Micros, offer: &Offer) -> bool {
        let retried = self.retries.iter().map(|retry| &retry.call);
        let mut unsettled = self.in_flight.values().chain(retried);
        !unsettled.any(|call| matches!(call, CloudCall::Rent { .. }))
            && now >= self.next_call_at.max(self.unavailable_until)
            && self
                .backoffs
                .get(offer)
                .is_none_or(|backoff| now >= backoff.until)
    }

    /// Rents machines of an offer; at most `RENTAL_MACHINES_MAX` at a time.
    pub fn rent(
        &mut self,
        now: Micros,
        offer: Offer,
        machines: u32,
        last_ticket: &mut Ticket,
        outputs: &mut Vec<Output>,
    ) {
        self.rentals_requested += 1;
        // Incarnation and count make the name one that is never used again, by any node.
        let incarnation = if fault_injected(InjectedFault::RentalNamesReused) {
            0
        } else {
            self.incarnation
        };
        let rental = format!(
            "{}-{incarnation:x}-{}",
            self.node_name, self.rentals_requested
        );
        log::info!(
            "rental requested rental={rental} machines={machines} machine_type={} zone={} spot={}",
            offer.machine_type,
            offer.zone,
            offer.spot
        );
        self.next_call_at = now + self.call_interval;
        let call = CloudCall::Rent {
            offer,
            machines: machines.clamp(1, RENTAL_MACHINES_MAX),
            rental,
        };
        self.send(call, last_ticket, outputs);
    }

    /// Whether machines of this offer have been rented before, so that a lost one may be replaced.
    pub fn replaceable(&self, offer: &Offer) -> bool {
        self.previously_granted.contains(offer)
    }

    /// Has a machine released, together with others.
    pub fn release(&mut self, machine: Arc<str>) {
        if !self.releases.contains(&machine) {
            self.releases.push(machine);
        }
    }

    /// Whether the call of that ticket is one of this client's.
    pub fn owns(&self, ticket: Ticket) -> bool {
        self.in_flight.contains_key(&ticket)
    }

    /// Takes the outcome of a call.
    pub fn handle_outcome(
        &mut self,
        now: Micros,
        ticket: Ticket,
        outcome: &Outcome,
    ) -> Vec<CloudEvent> {
        let Some(call) = self.in_flight.remove(&ticket) else {
            return Vec::new();
        };
        let (status, body) = match outcome {
            Outcome::Reply { status, body } => (*status, body.as_slice()),
            _ => (0, [].as_slice()),
        };
        let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        if status == 503 && value["error"] == TROUBLE_ERROR {
            self.unavailable_until = now + UNAVAILABLE_DELAY;
        }
        match call {
            CloudCall::Types => self.types_answered(now, status, value),
            CloudCall::List { .. } => self.list_answered(now, status, value),
            CloudCall::Rent {
                offer,
                machines,
                rental,
            } => self.rental_answered(now, offer, machines, rental, status, &value),
            CloudCall::Release { machines } => self.release_answered(now, machines, status),
        }
    }

    fn types_answered(&mut self, now: Micros, status: u16, value: Value) -> Vec<CloudEvent> {
        self.types_in_flight = false;
        self.types_at = now + RETRY_DELAY;
        if status == 200
            && let Ok(types) = serde_json::from_value::<MachineTypes>(value)
            && !types.types.is_empty()
        {
            self.types = types.types;
            self.types_confirmed = true;
            self.types_at = now + TYPES_REFRESH_INTERVAL;
            return vec![CloudEvent::TypesUpdated];
        }
        Vec::new()
    }

    fn list_answered(&mut self, now: Micros, status: u16, value: Value) -> Vec<CloudEvent> {
        self.list_in_flight = false;
        self.list_at = now + LIST_INTERVAL;
        match serde_json::from_value::<MachineList>(value) {
            Ok(list) if status == 200 => self.apply_list(now, list),
            _ => Vec::new(),
        }
    }

    fn rental_answered(
        &mut self,
        now: Micros,
        offer: Offer,
        machines: u32,
        rental: String,
        status: u16,
        value: &Value,
    ) -> Vec<CloudEvent> {
        match status {
            200 => {
                let hosts = serde_json::from_value(value["hosts"].clone()).unwrap_or_default();
                return self.rented(now, offer, machines, hosts);
            }
            503 if value["error"] != TROUBLE_ERROR => self.back_off(now, &offer),
            400 => {
                log::error!("rental refused as malformed rental={rental}");
                self.back_off(now, &offer);
            }
            // May have been executed: the same name rents the same machines.
            _ => self.retry(
                now + RETRY_DELAY,
                CloudCall::Rent {
                    offer,
                    machines,
                    rental,
                },
            ),
        }
        Vec::new()
    }

    /// The provider has rented machines; fewer than requested if it has no more.
    fn rented(
        &mut self,
        now: Micros,
        offer: Offer,
        requested: u32,
        hosts: Vec<Arc<str>>,
    ) -> Vec<CloudEvent> {
        if (hosts.len() as u32) < requested {
            self.back_off(now, &offer);
        } else {
            self.backoffs.remove(&offer);
        }
        if !hosts.is_empty() {
            self.previously_granted.insert(offer.clone());
        }
        for host in &hosts {
            let machine = BootingMachine {
                offer: offer.clone(),
                since: now,
            };
            self.booting.insert(host.clone(), machine);
        }
        vec![CloudEvent::Rented { hosts, offer }]
    }

    fn release_answered(
        &mut self,
        now: Micros,
        machines: Vec<Arc<str>>,
        status: u16,
    ) -> Vec<CloudEvent> {
        if status == 200 {
            for machine in &machines {
                self.booting.remove(machine);
            }
            return vec![CloudEvent::Released(machines)];
        }
        self.retry(now + RETRY_DELAY, CloudCall::Release { machines });
        Vec::new()
    }

    fn retry(&mut self, due_at: Micros, call: CloudCall) {
        self.retries.push(PendingRetry { call, due_at });
    }

    fn back_off(&mut self, now: Micros, offer: &Offer) {
        let previous = self.backoffs.get(offer);
        let delay = previous.map_or(BACKOFF_MIN, |backoff| {
            (backoff.delay * 3 / 2).min(BACKOFF_MAX)
        });
        let backoff = Backoff {
            until: now + delay,
            delay,
        };
        self.backoffs.insert(offer.clone(), backoff);
    }

    fn apply_list(&mut self, now: Micros, list: MachineList) -> Vec<CloudEvent> {
        let mut events = Vec::new();
        if list.truncated
            && let Some(last) = list.machines.last()
        {
            self.list_in_flight = true;
            let after = last.id.to_string();
            self.retry(now + LIST_PAGE_INTERVAL, CloudCall::List { after });
        }
        for machine in &list.machines {
            self.listed.insert(machine.id.clone(), now);
            match machine.status {
                MachineStatus::Failed => events.push(CloudEvent::Failed(machine.id.clone())),
                MachineStatus::Booting => self.observe_booting(now, machine),
                MachineStatus::Other => {}
            }
        }
        self.listed
            .retain(|_, listed_at| now < *listed_at + LISTED_FOR);
        events
    }

    fn observe_booting(&mut self, now: Micros, machine: &ListedMachine) {
        let offer = Offer {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        };
        self.booting
            .entry(machine.id.clone())
            .or_insert_with(|| BootingMachine {
                offer,
                since: now.saturating_sub(from_secs(machine.age_s)),
            });
    }

    /// Whether a boot takes longer than most do.
    pub fn is_boot_late(&self, now: Micros, machine: &BootingMachine) -> bool {
        now > machine.since + from_secs(self.boot_s(machine) * LATE_BOOT_FACTOR)
    }

    fn boot_s(&self, machine: &BootingMachine) -> f64 {
        self.machine_type_named(&machine.offer.machine_type)
            .map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s)
    }

    /// Machines whose boot has taken so long that it will not succeed.
    pub fn stuck_boots(&self, now: Micros) -> Vec<Arc<str>> {
        let is_stuck = |machine: &BootingMachine| {
            let boot_s_max = self.boot_s(machine) * STUCK_BOOT_FACTOR + STUCK_BOOT_MARGIN_S;
            now > machine.since + from_secs(boot_s_max)
        };
        self.booting
            .iter()
            .filter(|(_, machine)| is_stuck(machine))
            .map(|(id, _)| id.clone())
            .collect()
    }
}
