//! Process start: getting the machine types, and logging how long the start took.
//!
//! A node needs only the machine types before it can serve clients, since they decide whether a job
//! can ever run. The cloud provider returns them within a tenth of a second, but they must also be
//! available while it does not answer. So the leader stores them at the state service. The stored
//! machine types may be outdated: a job may be accepted because of them, but not rejected.

use super::api::fits_value_limit;
use super::state_request::StateRequest;
use super::{Controller, LEADER_REQUEST_TIMEOUT};
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::election::LEADER_KEY;
use crate::state_client::{Op, Reply, Transaction, to_raw_json};
use crate::wire::{MachineType, MachineTypes};

/// Key of the machine types that a leader last received from the cloud.
const MACHINE_TYPES_KEY: &str = "types";
/// Interval of attempts to read or to store the machine types.
const MACHINE_TYPES_RETRY_INTERVAL: Micros = 500 * MILLISECOND;
/// Interval at which a leader compares the stored machine types with those of the cloud.
const MACHINE_TYPES_CHECK_INTERVAL: Micros = 5 * SECOND;
/// The startup times are logged at this time at the latest, even if some are missing.
const STARTUP_LOG_DELAY_MAX: Micros = 20 * SECOND;

/// The stored machine types, and when this process reached the steps of its start.
#[derive(Default)]
pub(super) struct Startup {
    /// The stored machine types, if the key exists and is readable, and the revision of the key;
    /// `None` until they are read.
    stored: Option<(Option<MachineTypes>, u64)>,
    request_in_flight: bool,
    next_check_at: Micros,
    /// Where this process first got the machine types from, and when.
    types_source: Option<(&'static str, Micros)>,
    first_health_check_at: Option<Micros>,
    first_accepted_at: Option<Micros>,
    first_polled_at: Option<Micros>,
    logged: bool,
}

/// Whether both lists contain the same machine types, ignoring their prices.
fn same_types_ignoring_price(a: &[MachineType], b: &[MachineType]) -> bool {
    let without_price = |machine_type: &MachineType| {
        let (price, spot_price) = (0.0, 0.0);
        serde_json::to_string(&MachineType {
            price,
            spot_price,
            ..machine_type.clone()
        })
        .unwrap_or_default()
    };
    a.len() == b.len()
        && a.iter()
            .zip(b)
            .all(|(a, b)| without_price(a) == without_price(b))
}

impl Controller {
    /// Reads the stored machine types after the start. A leader also stores the machine types that
    /// it receives from the cloud if they differ from the stored ones.
    pub(super) fn tick_startup(&mut self) {
        let now = self.now.steady;
        if self.startup.types_source.is_none() && !self.cloud.types.is_empty() {
            self.startup.types_source = Some(("cloud", now));
        }
        self.log_startup();
        // While controllers with the previous program version are running, nothing is written that
        // they don't know.
        let may_store = self.is_leader() && self.schema_migration.is_complete();
        let schema = self.schema();
        let startup = &mut self.startup;
        if startup.request_in_flight || now < startup.next_check_at {
            return;
        }
        let Some((stored, mod_revision)) = &startup.stored else {
            (startup.request_in_flight, startup.next_check_at) =
                (true, now + MACHINE_TYPES_RETRY_INTERVAL);
            return self.request_state(
                StateRequest::ReadMachineTypes,
                Op::Get(MACHINE_TYPES_KEY.to_owned()),
                SECOND,
            );
        };
        if !may_store || !self.cloud.types_confirmed() {
            return;
        }
        // No need to compare at every tick: the cloud is queried every two minutes.
        startup.next_check_at = now + MACHINE_TYPES_CHECK_INTERVAL;
        let known = stored.as_ref();
        if known.is_some_and(|known| same_types_ignoring_price(&known.types, &self.cloud.types)) {
            return;
        }
        let value = to_raw_json(&MachineTypes {
            types: self.cloud.types.clone(),
        });
        startup.next_check_at = now + MACHINE_TYPES_RETRY_INTERVAL;
        let Some(leader) = self
            .election
            .leader_key_revision()
            .filter(|_| fits_value_limit(&value, &schema))
        else {
            return;
        };
        startup.request_in_flight = true;
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

    /// Handles the reply to the read of the stored machine types.
    pub(super) fn handle_machine_types_read(&mut self, reply: Reply) {
        let now = self.now.steady;
        self.startup.request_in_flight = false;
        let (types, mod_revision) = match reply {
            Reply::KeyValue(item) => {
                let types = serde_json::from_str::<MachineTypes>(item.value.get());
                if let Err(error) = &types {
                    log::error!(
                        "stored machine types unreadable key={MACHINE_TYPES_KEY} error={error}"
                    );
                }
                (types.ok(), item.mod_revision)
            }
            Reply::NotFound => (None, 0),
            _ => return,
        };
        if let Some(types) = &types
            && self.cloud.assume_types(&types.types)
        {
            self.startup.types_source = self.startup.types_source.or(Some(("stored", now)));
        }
        self.startup.stored = Some((types, mod_revision));
    }

    /// Handles the reply to the write of the machine types.
    pub(super) fn handle_machine_types_write(&mut self, reply: &Reply) {
        self.startup.request_in_flight = false;
        // Unless the request was not executed, reads the key again, also after a failed write.
        if !matches!(reply, Reply::Unavailable) {
            self.startup.stored = None;
        }
    }

    /// Records the first successful answers to clients and to the load balancer.
    pub(super) fn note_startup_answer(&mut self, method: &str, status: u16) {
        if self.startup.logged || !matches!(status, 200 | 201) {
            return;
        }
        let now = self.now.steady;
        let first_answer_at = match method {
            "GET /up" => &mut self.startup.first_health_check_at,
            "GET" => &mut self.startup.first_polled_at,
            _ => &mut self.startup.first_accepted_at,
        };
        *first_answer_at = first_answer_at.or(Some(now));
    }

    fn log_startup(&mut self) {
        let now = self.now.steady;
        let startup = &self.startup;
        let is_complete = startup.first_health_check_at.is_some()
            && startup.first_accepted_at.is_some()
            && startup.first_polled_at.is_some();
        if startup.logged || !(is_complete || now >= STARTUP_LOG_DELAY_MAX) {
            return;
        }
        // The steady clock of a process begins at one second, not at 0.
        let ms = |at: Option<Micros>| {
            at.map_or("none".to_owned(), |at| {
                (at.saturating_sub(SECOND) / MILLISECOND).to_string()
            })
        };
        log::info!(
            "started types={} types_ms={} up_ms={} accepted_ms={} polled_ms={}",
            startup.types_source.map_or("none", |(source, _)| source),
            ms(startup.types_source.map(|(_, at)| at)),
            ms(startup.first_health_check_at),
            ms(startup.first_accepted_at),
            ms(startup.first_polled_at)
        );
        self.startup.logged = true;
    }
}
