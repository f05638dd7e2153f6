//! When a machine's lease has certainly expired, and which machines are silent.
//!
//! A worker kills its tasks when its lease expires, and only an answered heartbeat renews the lease.
//! Every bound here is conservative: it allows for clock drift and for answers that an earlier
//! leader may have sent. The tasks of a machine are not considered gone before the bound has passed.

use super::WorkerLedger;
use super::event::LEASE_EXPIRED;
use super::machine::Machine;
use crate::clock::{Micros, Now, SECOND, drift_upper_bound};
use crate::fault_injection::{InjectedFault, fault_injected};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A machine counts as silent after this many heartbeat periods without a heartbeat.
const SILENT_HEARTBEAT_PERIODS: u64 = 3;
/// A silent machine counts as unreachable after this many failed direct calls in a row, so that both
/// the direct path and a peer have been tried.
const UNREACHABLE_CALL_FAILURES: u32 = 3;
/// If more than one in this many of a zone's machines are silent, a network fault is assumed.
const ZONE_SILENT_DIVISOR: usize = 3;
/// Margin for the rounding of times in the state service and in the wall clocks of two controllers.
const SILENCE_MARK_MARGIN: Micros = SECOND;

/// How many of a zone's machines are silent.
#[derive(Default)]
struct ZoneSilence {
    silent: usize,
    machines: usize,
}

impl ZoneSilence {
    /// Whether only individual machines are silent, as opposed to a fault of the zone's network.
    fn is_isolated(&self) -> bool {
        self.silent == 1 || self.silent * ZONE_SILENT_DIVISOR <= self.machines
    }
}

impl WorkerLedger {
    /// Loads a silence mark stored by an earlier leader. Since the wall-clock time `silent_since` no
    /// leader has answered the machine or sent it a start, and none will before the mark is removed
    /// from the state service. `clock_offset_max` is the maximum error of a controller's wall clock.
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

    /// Sets the silence mark of machines that hold tasks and have exceeded the silence timeout, counted
    /// from `since` at the earliest, and schedules the marks to be stored.
    pub fn mark_silent_machines(&mut self, now: Now, since: Micros) {
        let silence = self.silence_timeout();
        for machine in self.machines.values_mut() {
            // Until a machine has confirmed this term, an earlier leader may have answered it up to the election.
            let earlier_leader_contact = if machine.term_confirmed {
                0
            } else {
                self.elected_at
            };
            let contact = machine
                .last_seen_at
                .max(machine.last_answered_at)
                .max(earlier_leader_contact);
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

    /// The time without any message after which a machine counts as silent.
    pub(super) fn silence_timeout(&self) -> Micros {
        self.heartbeat_period * SILENT_HEARTBEAT_PERIODS
    }

    /// The latest time at which a machine's lease can expire.
    fn lease_end(&self, machine: &Machine) -> Micros {
        let lease = drift_upper_bound(self.lease_duration);
        let by_contact = match machine.last_answered_at.max(machine.last_seen_at) {
            0 => 0,
            contact => contact + lease,
        };
        if machine.term_confirmed {
            return by_contact;
        }
        // An earlier leader may have renewed the lease until this one was elected.
        let hold_duration = if fault_injected(InjectedFault::UnconfirmedPlacementDropped) {
            SECOND
        } else {
            lease
        };
        let by_election = self.elected_at + hold_duration;
        let by_earlier_leader = machine
            .silence_lease_end
            .map_or(by_election, |by_silence_mark| {
                by_silence_mark.min(by_election)
            });
        by_contact.max(by_earlier_leader)
    }

    /// Number of machines that are silent.
    pub fn count_silent(&self, now: Micros) -> usize {
        let silence = self.silence_timeout();
        let is_silent =
            |machine: &&Machine| now > machine.last_seen_at.max(self.elected_at) + silence;
        self.machines.values().filter(is_silent).count()
    }

    /// Machines that no controller can reach: nothing was received from them for `silence`, counted
    /// from `since` at the earliest, and calls failed by every path. If a large part of a zone is
    /// silent, a network fault is assumed and none of the zone's machines is included.
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

    /// Removes the tasks of every machine whose lease has certainly expired, with a `Lost` event for each.
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

    /// Whether no task can be running on the machine: the ledger has none there, and its lease has
    /// certainly expired.
    pub fn is_provably_empty(&self, machine: &Machine, now: Micros) -> bool {
        machine.tasks.is_empty() && now > self.lease_end(machine)
    }
}
