//! Which machines are probed, by whom and how many at once.
//!
//! A probe is a direct call that may carry no command: its answer is a heartbeat. After a failover
//! the leader shares the machines that have not reported under its term among the controllers, so
//! that no node has to call the whole fleet. A probe renews no lease.

use super::WorkerLedger;
use super::machine::Machine;
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::wire::ProbeRow;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// After a failover the controllers that forward workers' heartbeats probe those; the leader
/// probes the rest after this time.
pub const LEADER_PROBE_DELAY: Micros = SECOND;

/// A controller that was assigned machines to probe gets this long before the leader probes them
/// itself.
const PROBE_ASSIGNMENT_TTL: Micros = 2_500 * MILLISECOND;
/// Shares that a peer gets for each that stays with the leader, which has the most to do with the
/// answers.
const PEER_PROBE_SHARES: usize = 2;
/// Of all machines, the share that one scan may probe: a new leader that called a thousand at
/// once would be late to renew its own lease.
const PROBES_PER_SCAN_DIVISOR: usize = 16;
/// A scan may probe that many machines however small the fleet.
const PROBES_MIN: usize = 16;
/// A node that is this far behind its inputs probes no machine: each probe costs it more than a
/// heartbeat, and nearly all machines send one by themselves within their period.
const PROBE_LAG_MAX: Micros = 300 * MILLISECOND;
/// From this lag on it probes no more than the minimum.
const PROBE_LAG_REDUCED: Micros = PROBE_LAG_MAX / 3;
/// A machine is probed when it has sent nothing for this many tenths of a heartbeat period.
const PROBE_SILENCE_TENTHS: Micros = 14;
/// A machine is probed no more often than this.
const PROBE_INTERVAL: Micros = SECOND;

impl WorkerLedger {
    /// Shares the machines that have not reported under this term among the controllers, by
    /// rendezvous hashing; returns what each peer is to probe. The rest stays here.
    pub fn assign_probes_to_peers(&mut self, now: Micros) -> BTreeMap<SocketAddr, Vec<ProbeRow>> {
        let mut shares: BTreeMap<SocketAddr, Vec<ProbeRow>> = BTreeMap::new();
        let (term_base, peers) = (self.base_fencing_token(), &self.peers);
        for (id, machine) in &mut self.machines {
            // A machine that is marked silent is hardly there, and would hold up the others.
            if machine.term_confirmed || machine.silence_stored {
                continue;
            }
            let Some(address) = machine.address else {
                continue;
            };
            let places = peers
                .iter()
                .flat_map(|peer| [Some(peer); PEER_PROBE_SHARES])
                .chain([None]);
            let weight = |(place, _): &(usize, Option<&SocketAddr>)| {
                xxh3_64_with_seed(id.as_bytes(), *place as u64)
            };
            let Some((_, Some(peer))) = places.enumerate().max_by_key(weight) else {
                continue;
            };
            if let Some(row) = ProbeRow::new(term_base + machine.fence_counter, id, address) {
                machine.probed_by_peer_until = now + PROBE_ASSIGNMENT_TTL;
                shares.entry(*peer).or_default().push(row);
            }
        }
        shares
    }

    /// Takes back machines that a controller was assigned and does not probe: they are probed from
    /// here.
    pub fn take_back_probes(&mut self, assigned: &[Arc<str>]) {
        for id in assigned {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.probed_by_peer_until = 0;
            }
        }
    }

    /// How many machines may be probed at once, by how far this node is behind its inputs.
    pub(super) fn probe_budget(&self) -> usize {
        match self.loop_lag {
            lag if lag > PROBE_LAG_MAX => 0,
            lag if lag > PROBE_LAG_REDUCED => PROBES_MIN,
            _ => (self.machines.len() / PROBES_PER_SCAN_DIVISOR).max(PROBES_MIN),
        }
    }
}

impl Machine {
    /// Whether it is to be probed from here: nothing was received from it under this term, or not
    /// for long, or it is in doubt.
    pub(super) fn needs_probe(&self, now: Micros, elected_at: Micros, period: Micros) -> bool {
        let since = if self.term_confirmed { 0 } else { elected_at };
        let silence = now.saturating_sub(self.last_seen_at.max(since));
        // Most are probed by the controllers that forward their heartbeats; were the leader to probe them
        // too, those that no controller is assigned would have to wait.
        let probed_here_from = self
            .probed_by_peer_until
            .max(elected_at + LEADER_PROBE_DELAY);
        let is_unconfirmed = !self.term_confirmed && now >= probed_here_from;
        let is_overdue = silence > period * PROBE_SILENCE_TENTHS / 10;
        (is_unconfirmed || self.in_doubt || is_overdue) && now >= self.last_call_at + PROBE_INTERVAL
    }
}
