//! When a machine's lease is surely over, and what its silence means.
//!
//! A worker kills its tasks when its lease runs out, and only an answered heartbeat renews the
//! lease. Every bound here is on the safe side: it allows for the drift between the clocks and for
//! answers that an earlier leader may have given. Nothing is freed before the bound has passed.

use super::WorkerLedger;
use super::event::LEASE_EXPIRED;
use super::machine::Machine;
use crate::clock::{Micros, Now, SECOND, drift_upper_bound};
use crate::fault_injection::{InjectedFault, fault_injected};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A machine counts as silent after this many heartbeat periods without a heartbeat.
const SILENT_HEARTBEAT_PERIODS: u64 = 3;
/// Direct calls in a row that must have failed before a silent machine counts as unreachable: both
/// the direct path and a peer have been tried.
const UNREACHABLE_CALL_FAILURES: u32 = 3;
/// At most one part in this many of a zone's machines may be silent, else the network is to blame.
const ZONE_SILENT_DIVISOR: usize = 3;
/// Allowed for what the store and the wall clocks of two controllers round away.
const SILENCE_MARK_MARGIN: Micros = SECOND;

/// How many of a zone's machines are silent.
#[derive(Default)]
struct ZoneSilence {
    silent: usize,
    machines: usize,
}

impl ZoneSilence {
    /// Whether the silence is that of single machines, not of the zone's network.
    fn is_isolated(&self) -> bool {
        self.silent == 1 || self.silent * ZONE_SILENT_DIVISOR <= self.machines
    }
}

impl WorkerLedger {
    /// Takes over the silence mark that an earlier leader stored at wall-clock time `silent_since`:
    /// nobody has answered the machine or started anything there since, and nobody will before the
    /// mark is removed from the store. `clock_offset_max` is how far a controller's wall clock may be off.
    pub fn load_silence_mark(
        &mut self,
        id: &str,
        silent_since: Micros,
        now: Now,
        clock_offset_max: Micros,
    ) {
        let lease = drift_upper_bound(self.lease_duration);
        let lease_end = silent_since + lease + 2 * clock_offset_max + SILENCE_MARK_MARGIN;
        if let Some(machine) = self.machines.get_mut(id) {
            machine.silent_since = Some(silent_since);
            machine.silence_stored = true;
            machine.silence_lease_end = Some(now.steady + lease_end.saturating_sub(now.wall));
        }
    }

    /// Marks machines that hold tasks and have been silent for long, counted from `since` at the
    /// earliest; the marks are to be stored.
    pub fn mark_silent_machines(&mut self, now: Now, since: Micros) {
        let silence = self.silence_timeout();
        for machine in self.machines.values_mut() {
            // Before it reported under this term, only an earlier leader can have answered it.
            let earlier = if machine.term_confirmed {
                0
            } else {
                self.elected_at
            };
            let contact = machine
                .last_seen_at
                .max(machine.last_answered_at)
                .max(earlier);
            if machine.registered
                && !machine.silence_stored
                && !machine.tasks.is_empty()
                && now.steady > contact.max(since) + silence
            {
                machine.silent_since = Some(now.wall.saturating_sub(now.steady - contact));
                machine.silence_stored = true;
                machine.registry_stale = true;
                self.changed_machines.insert(machine.id.clone());
                self.registry_updates.insert(machine.id.clone());
            }
        }
    }

    /// The time after which a machine counts as silent.
    pub(super) fn silence_timeout(&self) -> Micros {
        self.heartbeat_period * SILENT_HEARTBEAT_PERIODS
    }

    /// The end of a machine's lease, on the safe side.
    fn lease_end(&self, machine: &Machine) -> Micros {
        let lease = drift_upper_bound(self.lease_duration);
        let by_contact = match machine.last_answered_at.max(machine.last_seen_at) {
            0 => 0,
            contact => contact + lease,
        };
        if machine.term_confirmed {
            return by_contact;
        }
        // An earlier leader may have answered it until this one was elected.
        let held_for = if fault_injected(InjectedFault::UnconfirmedPlacementDropped) {
            SECOND
        } else {
            lease
        };
        let by_election = self.elected_at + held_for;
        let by_earlier_leader = machine
            .silence_lease_end
            .map_or(by_election, |by_mark| by_mark.min(by_election));
        by_contact.max(by_earlier_leader)
    }

    /// How many machines are silent.
    pub fn count_silent(&self, now: Micros) -> usize {
        let silence = self.silence_timeout();
        let is_silent =
            |machine: &&Machine| now > machine.last_seen_at.max(self.elected_at) + silence;
        self.machines.values().filter(is_silent).count()
    }

    /// Machines that can be reached by nobody: nothing was received from them for `silence`,
    /// counted from `since` at the earliest, and calls failed by every path. When much of a zone
    /// is silent the network is to blame, and none of its machines is returned.
    pub fn unreachable_machines(
        &self,
        now: Micros,
        since: Micros,
        silence: Micros,
    ) -> Vec<Arc<str>> {
        let is_silent = |machine: &Machine| {
            now > machine.last_seen_at.max(self.elected_at).max(since) + silence
                && machine.direct_failures >= UNREACHABLE_CALL_FAILURES
        };
        let mut zones: BTreeMap<&str, ZoneSilence> = BTreeMap::new();
        for machine in self.machines.values() {
            let zone = zones.entry(&machine.zone).or_default();
            zone.silent += usize::from(is_silent(machine));
            zone.machines += 1;
        }
        let is_isolated = |zone: &str| zones.get(zone).is_some_and(ZoneSilence::is_isolated);
        self.machines
            .values()
            .filter(|m| !m.releasing && is_silent(m) && is_isolated(&m.zone))
            .map(|machine| machine.id.clone())
            .collect()
    }

    /// Frees the tasks of every machine whose lease is surely over.
    pub fn expire_leases(&mut self, now: Micros) {
        let expired: Vec<Arc<str>> = self
            .machines
            .values()
            .filter(|machine| !machine.tasks.is_empty() && now > self.lease_end(machine))
            .map(|machine| machine.id.clone())
            .collect();
        for id in expired {
            self.clear_machine(&id, LEASE_EXPIRED);
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.term_confirmed = false;
                machine.in_doubt = false;
            }
        }
    }

    /// Whether nothing can run there: the ledger holds nothing of it, and its lease is surely over.
    pub fn is_surely_empty(&self, machine: &Machine, now: Micros) -> bool {
        machine.tasks.is_empty() && now > self.lease_end(machine)
    }
}
