//! The first second of a life: what a node needs before it can serve, and how soon it had it.
//!
//! It needs the machine types, and nothing else: whether a job can ever run is answered by them. The
//! cloud tells them, which takes a tenth of a second where it is well and is not to be had while it
//! fails; so they are also kept at the state service. What is stored there is a hint: on it a job is
//! taken, but none is refused for good.

use super::api::fits_value_limit;
use super::state_request::StateRequest;
use super::{Controller, LEADER_REQUEST_TIMEOUT};
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::election::LEADER_KEY;
use crate::state_client::{Op, Reply, Transaction, raw};
use crate::wire::{MachineType, MachineTypes};

/// The machine types as a leader last heard them from the cloud.
pub(super) const MACHINE_TYPES_KEY: &str = "types";
/// Between two tries to read or to store them.
const MACHINE_TYPES_RETRY_INTERVAL: Micros = 500 * MILLISECOND;
const MACHINE_TYPES_CHECK_INTERVAL: Micros = 5 * SECOND;
/// Until the line about the first second is told, whatever is missing in it.
const STARTUP_LOG_DELAY_MAX: Micros = 20 * SECOND;

#[derive(Default)]
pub(super) struct Startup {
    /// What is stored, and its stamp; None before it was read.
    stored: Option<(Option<MachineTypes>, u64)>,
    request_in_flight: bool,
    next_check_at: Micros,
    /// By whom the machine types were told first, and when.
    types_known_from: Option<(&'static str, Micros)>,
    first_health_check_at: Option<Micros>,
    first_accepted_at: Option<Micros>,
    first_polled_at: Option<Micros>,
    logged: bool,
}

/// The same types, whatever they cost at the moment.
fn same_types_ignoring_price(a: &[MachineType], b: &[MachineType]) -> bool {
    let bare = |t: &MachineType| {
        let (price, spot_price) = (0.0, 0.0);
        serde_json::to_string(&MachineType {
            price,
            spot_price,
            ..t.clone()
        })
        .unwrap_or_default()
    };
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| bare(a) == bare(b))
}

impl Controller {
    /// Reads the stored types at the start of a life; a leader stores what the cloud tells.
    pub(super) fn tick_startup(&mut self) {
        let t = self.now.steady;
        if self.startup.types_known_from.is_none() && !self.cloud.types.is_empty() {
            self.startup.types_known_from = Some(("cloud", t));
        }
        self.log_startup();
        // Beside the version before nothing is written that it does not write.
        let leads = self.is_leader() && self.schema_migration.is_complete();
        let layout = self.schema();
        let o = &mut self.startup;
        if o.request_in_flight || t < o.next_check_at {
            return;
        }
        let Some((stored, mod_revision)) = &o.stored else {
            (o.request_in_flight, o.next_check_at) = (true, t + MACHINE_TYPES_RETRY_INTERVAL);
            return self.request_state(
                StateRequest::ReadMachineTypes,
                Op::Get(MACHINE_TYPES_KEY.to_owned()),
                SECOND,
            );
        };
        if !leads || !self.cloud.types_confirmed() {
            return;
        }
        // Looked at now and then only: the cloud is asked every two minutes.
        o.next_check_at = t + MACHINE_TYPES_CHECK_INTERVAL;
        let known = stored.as_ref();
        if known.is_some_and(|s| same_types_ignoring_price(&s.types, &self.cloud.types)) {
            return;
        }
        let value = raw(&MachineTypes {
            types: self.cloud.types.clone(),
        });
        o.next_check_at = t + MACHINE_TYPES_RETRY_INTERVAL;
        let Some(leader) = self
            .election
            .leader_key_revision()
            .filter(|_| fits_value_limit(&value, &layout))
        else {
            return;
        };
        o.request_in_flight = true;
        let txn = Transaction::default()
            .require_revision(LEADER_KEY, leader)
            .require_revision(MACHINE_TYPES_KEY, *mod_revision)
            .set_raw(MACHINE_TYPES_KEY.to_owned(), value);
        self.request_state(
            StateRequest::StoreMachineTypes,
            Op::Transaction(txn),
            LEADER_REQUEST_TIMEOUT,
        );
    }

    pub(super) fn machine_types_read(&mut self, reply: Reply) {
        let t = self.now.steady;
        self.startup.request_in_flight = false;
        let (types, mod_revision) = match reply {
            Reply::Item(item) => {
                let types = serde_json::from_str::<MachineTypes>(item.value.get());
                if let Err(e) = &types {
                    log::error!("the stored {MACHINE_TYPES_KEY} can't be read: {e}");
                }
                (types.ok(), item.mod_revision)
            }
            Reply::Absent => (None, 0),
            _ => return,
        };
        if let Some(types) = &types
            && self.cloud.assume_types(&types.types)
        {
            self.startup.types_known_from = self.startup.types_known_from.or(Some(("stored", t)));
        }
        self.startup.stored = Some((types, mod_revision));
    }

    pub(super) fn machine_types_stored(&mut self, reply: &Reply) {
        self.startup.request_in_flight = false;
        // Written or not, it is read again to know.
        if !matches!(reply, Reply::Unavailable) {
            self.startup.stored = None;
        }
    }

    /// An answer was given to a user or to the load balancer.
    pub(super) fn note_startup_answer(&mut self, method: &str, status: u16) {
        if self.startup.logged || !matches!(status, 200 | 201) {
            return;
        }
        let t = self.now.steady;
        let at = match method {
            "GET /up" => &mut self.startup.first_health_check_at,
            "GET" => &mut self.startup.first_polled_at,
            _ => &mut self.startup.first_accepted_at,
        };
        *at = at.or(Some(t));
    }

    fn log_startup(&mut self) {
        let t = self.now.steady;
        let o = &self.startup;
        let all = o.first_health_check_at.is_some()
            && o.first_accepted_at.is_some()
            && o.first_polled_at.is_some();
        if o.logged || !(all || t >= STARTUP_LOG_DELAY_MAX) {
            return;
        }
        // Steady clocks of processes begin at one second.
        let ms = |at: Option<Micros>| {
            at.map_or("none".to_owned(), |at| {
                (at.saturating_sub(SECOND) / MILLISECOND).to_string()
            })
        };
        log::info!(
            "opened types={} able_ms={} up_ms={} accepted_ms={} polled_ms={}",
            o.types_known_from.map_or("none", |a| a.0),
            ms(o.types_known_from.map(|a| a.1)),
            ms(o.first_health_check_at),
            ms(o.first_accepted_at),
            ms(o.first_polled_at)
        );
        self.startup.logged = true;
    }
}
