//! Which machines are probed, by which controller, and how many at once.
//!
//! A probe is a direct call that may contain no command: its answer is a heartbeat. After a failover
//! the leader distributes the machines that have not reported under its term among the controllers,
//! so that no controller has to call the whole fleet. A probe renews no lease.

use super::WorkerLedger;
use super::machine::Machine;
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::wire::ProbeRow;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// After a failover each controller probes the workers whose heartbeats it receives. The leader
/// waits this long before it probes the remaining machines.
pub const LEADER_PROBE_DELAY: Micros = SECOND;

/// The leader probes machines that it assigned to a peer itself if they are still unconfirmed after
/// this time.
const PROBE_ASSIGNMENT_TTL: Micros = 2_500 * MILLISECOND;
/// Weight of a peer when machines are assigned for probing; the leader has weight 1, since it also
/// processes all answers.
const PEER_PROBE_SHARES: usize = 2;
/// One scan may probe one in this many of all machines: a new leader that called a thousand at once
/// would renew its own lease too late.
const PROBES_PER_SCAN_DIVISOR: usize = 16;
/// A scan may probe at least this many machines, however small the fleet.
const PROBES_MIN: usize = 16;
/// A node whose inputs wait for longer than this probes no machine: a probe costs more than handling
/// a heartbeat, and nearly all machines send a heartbeat within their period anyway.
const PROBE_LAG_MAX: Micros = 300 * MILLISECOND;
/// A node whose inputs wait for longer than this probes only [`PROBES_MIN`] machines at a time.
const PROBE_LAG_REDUCED: Micros = PROBE_LAG_MAX / 3;
/// A machine is probed when nothing was received from it for this many tenths of a heartbeat period.
const PROBE_SILENCE_TENTHS: Micros = 14;
/// Minimum time between two calls to a machine before it is probed again.
const PROBE_INTERVAL: Micros = SECOND;

impl WorkerLedger {
    /// Distributes the machines that have not reported under this term among the controllers by
    /// rendezvous hashing. Returns the machines that each peer must probe; the leader probes the rest.
    pub fn assign_probes_to_peers(&mut self, now: Micros) -> BTreeMap<SocketAddr, Vec<ProbeRow>> {
        let mut assignments: BTreeMap<SocketAddr, Vec<ProbeRow>> = BTreeMap::new();
        let (term_base, peers) = (self.base_fencing_token(), &self.peers);
        for (id, machine) in &mut self.machines {
            // A machine with a silence mark is unlikely to answer, and its probe would delay the others.
            if machine.term_confirmed || machine.silence_stored {
                continue;
            }
            let Some(address) = machine.address else {
                continue;
            };
            let slots = peers
                .iter()
                .flat_map(|peer| [Some(peer); PEER_PROBE_SHARES])
                .chain([None]);
            let weight = |(slot, _): &(usize, Option<&SocketAddr>)| {
                xxh3_64_with_seed(id.as_bytes(), *slot as u64)
            };
            let Some((_, Some(peer))) = slots.enumerate().max_by_key(weight) else {
                continue;
            };
            if let Some(row) = ProbeRow::new(term_base + machine.fence_counter, id, address) {
                machine.probed_by_peer_until = now + PROBE_ASSIGNMENT_TTL;
                assignments.entry(*peer).or_default().push(row);
            }
        }
        assignments
    }

    /// Takes back machines that were assigned to a peer which does not probe them; the leader probes
    /// them itself.
    pub fn take_back_probes(&mut self, assigned: &[Arc<str>]) {
        for id in assigned {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.probed_by_peer_until = 0;
            }
        }
    }

    /// How many machines may be probed at once, given how long this node's inputs wait.
    pub(super) fn probe_budget(&self) -> usize {
        match self.loop_lag {
            lag if lag > PROBE_LAG_MAX => 0,
            lag if lag > PROBE_LAG_REDUCED => PROBES_MIN,
            _ => (self.machines.len() / PROBES_PER_SCAN_DIVISOR).max(PROBES_MIN),
        }
    }
}

impl Machine {
    /// Whether this node should probe the machine: the machine has not confirmed this term, or nothing was
    /// received from it for some time, or it is in doubt.
    pub(super) fn needs_probe(&self, now: Micros, elected_at: Micros, period: Micros) -> bool {
        let since = if self.term_confirmed { 0 } else { elected_at };
        let silence = now.saturating_sub(self.last_seen_at.max(since));
        // Most machines are probed by the controllers that forward their heartbeats. If the leader probed these
        // too, machines that only the leader probes would have to wait.
        let probed_here_from = self
            .probed_by_peer_until
            .max(elected_at + LEADER_PROBE_DELAY);
        let is_unconfirmed = !self.term_confirmed && now >= probed_here_from;
        let is_overdue = silence > period * PROBE_SILENCE_TENTHS / 10;
        (is_unconfirmed || self.in_doubt || is_overdue) && now >= self.last_call_at + PROBE_INTERVAL
    }
}
