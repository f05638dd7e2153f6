//! Client of the cloud provider's API: reads the machine types, and lists, rents and releases machines.
//!
//! The client keeps the answers of the provider and limits its rate of calls. It does no I/O: it emits calls as
//! [`Output`]s, receives their outcomes by ticket, and returns the results as [`CloudEvent`]s. The caller decides
//! how many machines to rent and which to release.
//!
//! Invariants:
//! - no two rentals, by any controller, have the same name, so that a repeated request rents the same machines;
//! - a machine that is missing from a list is not treated as gone, since lists lag behind the provider's state.

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

/// Timeout of a call.
const CALL_TIMEOUT: Micros = 4 * SECOND;
/// How long after a failed call it is retried.
const RETRY_DELAY: Micros = SECOND;
/// How often the leader refreshes the machine types.
const TYPES_REFRESH_INTERVAL: Micros = 120 * SECOND;
/// How often the leader lists the machines.
const LIST_INTERVAL: Micros = 4 * SECOND;
/// How long after one page of a list the next one is requested.
const LIST_PAGE_INTERVAL: Micros = 300 * MILLISECOND;
/// The maximum number of machines on one page of a list.
const LIST_PAGE_MACHINES: usize = 500;
/// A machine counts as listed for this long after the last list that contained it.
const LISTED_FOR: Micros = 60 * SECOND;
/// How long no machines are listed or rented after the provider has answered [`UNAVAILABLE_ERROR`].
const UNAVAILABLE_DELAY: Micros = 3 * SECOND;
/// The error with which the provider answers when it is unavailable, as opposed to out of the requested machines.
const UNAVAILABLE_ERROR: &str = "trouble";
/// The first backoff for an offer, after the provider has run out of such machines.
const BACKOFF_MIN: Micros = 6 * SECOND;
/// Upper bound of the backoff for an offer, which grows by a half each time.
const BACKOFF_MAX: Micros = 25 * SECOND;
/// The maximum number of machines that one call releases.
const RELEASE_BATCH_MACHINES: usize = 100;
/// The maximum number of machines that one call rents.
const RENTAL_MACHINES_MAX: u32 = 50;
/// A boot is late once it has taken longer than this many times the boot time of the machine type. Most boots
/// take 0.6 to 1.5 times that boot time.
const LATE_BOOT_FACTOR: f64 = 1.6;
/// A boot is stuck once it has taken longer than this many times the boot time of the machine type plus
/// [`STUCK_BOOT_MARGIN_S`].
const STUCK_BOOT_FACTOR: f64 = 3.0;
/// See [`STUCK_BOOT_FACTOR`].
const STUCK_BOOT_MARGIN_S: f64 = 20.0;
/// Assumed boot time of an unknown machine type.
const DEFAULT_BOOT_S: f64 = 60.0;

/// A kind of machine that can be rented.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Offer {
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine, which the provider may reclaim.
    pub spot: bool,
}

/// A call to the provider.
#[derive(Clone, Debug)]
enum CloudCall {
    /// Reads the machine types.
    Types,
    /// Lists one page of the machines.
    List {
        /// Only machines after this one are listed; empty for the first page.
        after: String,
    },
    /// Rents machines.
    Rent {
        offer: Offer,
        machines: u32,
        /// Name of the rental. The provider rents the same machines for the same name.
        rental: String,
    },
    /// Releases machines.
    Release { machines: Vec<Arc<str>> },
}

impl CloudCall {
    /// Encodes the call as an HTTP request.
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

/// A call that will be retried.
#[derive(Clone, Debug)]
struct PendingRetry {
    call: CloudCall,
    due_at: Micros,
}

/// The backoff for an offer of which the provider has run out of machines.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// No machine of the offer is requested before this time.
    until: Micros,
    /// The current length of the backoff.
    delay: Micros,
}

/// A machine that was rented, or is listed as booting, and has not sent a heartbeat yet.
#[derive(Clone, Debug)]
pub struct BootingMachine {
    /// The offer by which it was rented.
    pub offer: Offer,
    /// When its boot began, on the steady clock of this process.
    pub since: Micros,
}

/// A result of a call to the provider.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudEvent {
    /// The provider has sent the machine types.
    TypesUpdated,
    /// Machines were rented, possibly fewer than requested. They are booting.
    Rented {
        /// Names of the machines.
        machines: Vec<Arc<str>>,
        /// The offer that was requested.
        offer: Offer,
    },
    /// A machine is listed as failed.
    Failed(Arc<str>),
    /// Machines were released.
    Released(Vec<Arc<str>>),
}

/// The client of the cloud provider.
pub struct CloudClient {
    addr: SocketAddr,
    /// Name of this controller.
    node_name: String,
    /// The machine types, either sent by the provider or assumed, see [`CloudClient::assume_types`].
    pub types: Vec<MachineType>,
    /// When the machine types are read next.
    types_due_at: Micros,
    types_in_flight: bool,
    /// Whether the provider has sent the machine types to this process.
    types_confirmed: bool,
    /// Calls without an outcome yet.
    in_flight: HashMap<Ticket, CloudCall>,
    /// When the machines are listed next.
    list_due_at: Micros,
    /// Whether a page of the list has been requested, or the next page is due soon.
    list_in_flight: bool,
    /// Machines that are booting, by name.
    pub booting: BTreeMap<Arc<str>, BootingMachine>,
    /// When each machine was last listed.
    pub listed: BTreeMap<Arc<str>, Micros>,
    backoffs: BTreeMap<Offer, Backoff>,
    /// Offers of which machines have been rented before, so that a lost machine can probably be replaced.
    previously_rented: BTreeSet<Offer>,
    /// The provider is treated as unavailable until then.
    unavailable_until: Micros,
    retries: Vec<PendingRetry>,
    /// Number of rentals that this process has requested.
    rentals_requested: u64,
    /// Incarnation of this process, see [`CloudClient::rent`].
    incarnation: u64,
    /// Machines to be released by the next calls.
    releases: Vec<Arc<str>>,
    /// Minimum time between calls that rent or release.
    call_interval: Micros,
    /// The earliest time of the next call that rents or releases.
    next_call_at: Micros,
}

impl CloudClient {
    /// Creates a client of the provider at `addr` for the controller `node_name`. `incarnation` is different for
    /// each process of that controller; `call_rate` is the provider's limit in calls per second.
    pub fn new(addr: SocketAddr, node_name: &str, incarnation: u64, call_rate: f64) -> Self {
        Self {
            addr,
            node_name: node_name.to_owned(),
            types: Vec::new(),
            types_due_at: 0,
            types_in_flight: false,
            types_confirmed: false,
            in_flight: HashMap::default(),
            list_due_at: 0,
            list_in_flight: false,
            booting: BTreeMap::new(),
            listed: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            previously_rented: BTreeSet::new(),
            unavailable_until: 0,
            retries: Vec::new(),
            rentals_requested: 0,
            incarnation,
            releases: Vec::new(),
            // Half of the limit, since the other controllers also read the machine types occasionally.
            call_interval: from_secs(2.0 / call_rate),
            next_call_at: 0,
        }
    }

    /// Whether the provider has sent the machine types to this process.
    pub fn types_confirmed(&self) -> bool {
        self.types_confirmed
    }

    /// Uses machine types that the provider sent to an earlier process until it sends them to this one. Returns
    /// false if `types` is empty or the provider has already sent the types to this process.
    pub fn assume_types(&mut self, types: &[MachineType]) -> bool {
        if self.types_confirmed || types.is_empty() {
            return false;
        }
        self.types = types.to_vec();
        true
    }

    /// The machine type with this name.
    pub fn machine_type_named(&self, name: &str) -> Option<&MachineType> {
        self.types
            .iter()
            .find(|machine_type| machine_type.name == name)
    }

    /// Clears the state that only a leader keeps. Rentals with an unknown outcome are still retried.
    pub fn reset(&mut self) {
        self.booting.clear();
        self.listed.clear();
        self.backoffs.clear();
        self.releases.clear();
        self.list_due_at = 0;
        self.retries
            .retain(|retry| matches!(retry.call, CloudCall::Rent { .. }));
    }

    /// When [`CloudClient::tick`] should be called next.
    pub fn wake_at(&self, is_leader: bool) -> Micros {
        let mut at = Micros::MAX;
        if self.wants_types(is_leader) {
            at = self.types_due_at;
        }
        if is_leader {
            if !self.list_in_flight {
                at = at.min(self.next_list_due_at());
            }
            if !self.releases.is_empty() {
                at = at.min(self.next_call_at);
            }
            let retries = self.retries.iter().map(|retry| retry.due_at);
            at = retries.fold(at, Micros::min);
        }
        at
    }

    /// Whether the machine types should be read: a leader refreshes them, other controllers read them once.
    fn wants_types(&self, is_leader: bool) -> bool {
        !self.types_in_flight && (!self.types_confirmed || is_leader)
    }

    fn next_list_due_at(&self) -> Micros {
        self.list_due_at.max(self.unavailable_until)
    }

    /// Sends the calls that are due. Only a leader lists and releases machines and retries calls.
    pub fn tick(
        &mut self,
        now: Micros,
        is_leader: bool,
        last_ticket: &mut Ticket,
        outputs: &mut Vec<Output>,
    ) {
        if self.wants_types(is_leader) && now >= self.types_due_at {
            self.types_in_flight = true;
            self.send(CloudCall::Types, last_ticket, outputs);
        }
        if !is_leader {
            return;
        }
        if !self.list_in_flight && now >= self.next_list_due_at() {
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

    /// Whether machines of this offer can be rented now: no other rental is in flight or due for a retry, the
    /// provider is available, the call rate allows it, and the offer is not in backoff.
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

    /// Sends a request to rent machines of an offer, at most `RENTAL_MACHINES_MAX` of them.
    pub fn rent(
        &mut self,
        now: Micros,
        offer: Offer,
        machines: u32,
        last_ticket: &mut Ticket,
        outputs: &mut Vec<Output>,
    ) {
        self.rentals_requested += 1;
        // The controller's name, the incarnation and the count make the name unique among all controllers.
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

    /// Whether machines of this offer have been rented before, so that a lost one can probably be replaced.
    pub fn is_replaceable(&self, offer: &Offer) -> bool {
        self.previously_rented.contains(offer)
    }

    /// Schedules a machine for release; several machines are released by one call.
    pub fn release(&mut self, machine: Arc<str>) {
        if !self.releases.contains(&machine) {
            self.releases.push(machine);
        }
    }

    /// Whether this client has sent the call with this ticket and has no outcome of it yet.
    pub fn owns(&self, ticket: Ticket) -> bool {
        self.in_flight.contains_key(&ticket)
    }

    /// Handles the outcome of a call.
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
        if status == 503 && value["error"] == UNAVAILABLE_ERROR {
            self.unavailable_until = now + UNAVAILABLE_DELAY;
        }
        match call {
            CloudCall::Types => self.handle_types_reply(now, status, value),
            CloudCall::List { .. } => self.handle_list_reply(now, status, value),
            CloudCall::Rent {
                offer,
                machines,
                rental,
            } => self.handle_rental_reply(now, offer, machines, rental, status, &value),
            CloudCall::Release { machines } => self.handle_release_reply(now, machines, status),
        }
    }

    fn handle_types_reply(&mut self, now: Micros, status: u16, value: Value) -> Vec<CloudEvent> {
        self.types_in_flight = false;
        self.types_due_at = now + RETRY_DELAY;
        if status == 200
            && let Ok(types) = serde_json::from_value::<MachineTypes>(value)
            && !types.types.is_empty()
        {
            self.types = types.types;
            self.types_confirmed = true;
            self.types_due_at = now + TYPES_REFRESH_INTERVAL;
            return vec![CloudEvent::TypesUpdated];
        }
        Vec::new()
    }

    fn handle_list_reply(&mut self, now: Micros, status: u16, value: Value) -> Vec<CloudEvent> {
        self.list_in_flight = false;
        self.list_due_at = now + LIST_INTERVAL;
        match serde_json::from_value::<MachineList>(value) {
            Ok(list) if status == 200 => self.apply_list(now, list),
            _ => Vec::new(),
        }
    }

    fn handle_rental_reply(
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
                let rented = serde_json::from_value(value["hosts"].clone()).unwrap_or_default();
                return self.handle_rented(now, offer, machines, rented);
            }
            503 if value["error"] != UNAVAILABLE_ERROR => self.back_off(now, &offer),
            400 => {
                log::error!("rental refused as malformed rental={rental}");
                self.back_off(now, &offer);
            }
            // The request may have been executed. A retry under the same name rents the same machines.
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

    /// Handles a successful rental; it has fewer machines than requested if the provider has no more.
    fn handle_rented(
        &mut self,
        now: Micros,
        offer: Offer,
        requested: u32,
        machines: Vec<Arc<str>>,
    ) -> Vec<CloudEvent> {
        if (machines.len() as u32) < requested {
            self.back_off(now, &offer);
        } else {
            self.backoffs.remove(&offer);
        }
        if !machines.is_empty() {
            self.previously_rented.insert(offer.clone());
        }
        for machine_id in &machines {
            let machine = BootingMachine {
                offer: offer.clone(),
                since: now,
            };
            self.booting.insert(machine_id.clone(), machine);
        }
        vec![CloudEvent::Rented { machines, offer }]
    }

    fn handle_release_reply(
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

    /// Schedules a retry of a call, or the first try of the call for the next page of a list.
    fn retry(&mut self, due_at: Micros, call: CloudCall) {
        self.retries.push(PendingRetry { call, due_at });
    }

    /// Starts or extends the backoff for an offer.
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

    /// Adds a machine that is listed as booting, unless it is already known.
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

    /// Whether a machine has been booting for longer than most boots take.
    pub fn is_boot_late(&self, now: Micros, machine: &BootingMachine) -> bool {
        now > machine.since + from_secs(self.boot_s(machine) * LATE_BOOT_FACTOR)
    }

    /// The usual boot time of the machine's type, in seconds.
    fn boot_s(&self, machine: &BootingMachine) -> f64 {
        self.machine_type_named(&machine.offer.machine_type)
            .map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s)
    }

    /// The machines that have been booting for so long that the boot is assumed to have failed.
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
