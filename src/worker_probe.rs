//! Probing workers after a failover: every controller sends an empty command list, in batches, to the workers whose
//! heartbeats it receives, so that they learn the fencing token of the new term within a second or two instead of a
//! heartbeat period.
//!
//! [`WorkerProbe`] tracks these workers and the probes in flight. Its record of workers may be out of date without
//! harm, since a worker ignores a token that is not the highest it has seen.

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::http_call::HttpCall;
use crate::messages::{Output, Ticket};
use crate::seeded_hash::{HashMap, HashSet};
use crate::wire::{
    COMMANDS_PATH, Commands, ProbeRow, heartbeat_address, heartbeat_machine_and_epoch,
    reports_no_tasks,
};
use std::net::SocketAddr;
use std::sync::Arc;

#[cfg(test)]
mod tests;

/// Time between two batches.
const BATCH_INTERVAL: Micros = 50 * MILLISECOND;
/// Number of batches into which the pending probes are divided.
const BATCHES_PER_ROUND: usize = 24;
/// Minimum number of workers in a batch.
const BATCH_SIZE_MIN: usize = 4;
/// No further batch is sent while more probes than this many batches contain are unanswered.
const BATCHES_IN_FLIGHT_MAX: usize = 2;
/// A controller whose inputs wait for longer than this sends no probes: most workers send a heartbeat soon anyway.
const PROBE_LAG_MAX: Micros = 60 * MILLISECOND;
const CALL_TIMEOUT: Micros = 1_500 * MILLISECOND;
/// Bound on the known workers. When it is reached, those without a heartbeat for [`KNOWN_WORKER_EXPIRY`] are
/// removed, and if that is not enough, all of them.
const KNOWN_WORKERS_MAX: usize = 1 << 15;
const KNOWN_WORKER_EXPIRY: Micros = 60 * SECOND;
/// A worker's agent epoch until its lease has expired or its agent has restarted for the first time. Assumed for
/// workers whose epoch is unknown; a worker with another epoch rejects the probe and reports its own.
const FIRST_AGENT_EPOCH: u64 = 1;

/// A worker whose heartbeats this controller receives.
struct KnownWorker {
    address: SocketAddr,
    agent_epoch: u64,
    last_heartbeat_at: Micros,
    /// Its last heartbeat listed no task, so it has free capacity.
    idle: bool,
}

/// A worker that the leader has assigned to this controller for probing.
struct AssignedProbe {
    machine: Arc<str>,
    address: SocketAddr,
    fencing_token: u64,
}

/// The destination and tokens of a probe that is about to be sent.
struct ProbeTarget {
    address: SocketAddr,
    agent_epoch: u64,
    fencing_token: u64,
}

/// The probes that this controller sends under the current term.
#[derive(Default)]
pub struct WorkerProbe {
    known_workers: HashMap<Arc<str>, KnownWorker>,
    /// Known workers that have not been probed under this term; the last one is next.
    queue: Vec<Arc<str>>,
    term: u64,
    fencing_token: u64,
    next_batch_at: Micros,
    batch_size: usize,
    /// Workers that the leader assigned to this controller, regardless of which controller receives their
    /// heartbeats; the last one is next.
    assigned: Vec<AssignedProbe>,
    in_flight: HashSet<Ticket>,
}

impl WorkerProbe {
    /// Records the sender of a heartbeat that this controller received. Does nothing if the body cannot be parsed.
    pub fn note_heartbeat(&mut self, now: Micros, body: &[u8]) {
        let Some((machine, agent_epoch)) = heartbeat_machine_and_epoch(body) else {
            return;
        };
        let idle = reports_no_tasks(body);
        if let Some(worker) = self.known_workers.get_mut(machine)
            && worker.agent_epoch == agent_epoch
        {
            (worker.last_heartbeat_at, worker.idle) = (now, idle);
            return;
        }
        let Some(address) = heartbeat_address(body) else {
            return;
        };
        if self.known_workers.len() >= KNOWN_WORKERS_MAX {
            let since = now.saturating_sub(KNOWN_WORKER_EXPIRY);
            self.known_workers
                .retain(|_, worker| worker.last_heartbeat_at >= since);
        }
        if self.known_workers.len() >= KNOWN_WORKERS_MAX {
            log::warn!("known workers exceed limit; removing all max={KNOWN_WORKERS_MAX}");
            self.known_workers.clear();
        }
        let worker = KnownWorker {
            address,
            agent_epoch,
            last_heartbeat_at: now,
            idle,
        };
        self.known_workers.insert(machine.into(), worker);
    }

    /// Starts probing under a new term: all workers with a heartbeat since `since`, idle ones first. Returns
    /// false, without effect, if the term is not new.
    pub fn begin_term(
        &mut self,
        now: Micros,
        term: u64,
        fencing_token: u64,
        since: Micros,
    ) -> bool {
        if term <= self.term {
            return false;
        }
        (self.term, self.fencing_token, self.next_batch_at) = (term, fencing_token, now);
        self.known_workers
            .retain(|_, worker| worker.last_heartbeat_at >= since);
        let workers = self.known_workers.iter();
        let mut queue: Vec<(bool, &Arc<str>)> = workers
            .map(|(machine, worker)| (worker.idle, machine))
            .collect();
        queue.sort_unstable();
        self.queue = queue
            .into_iter()
            .map(|(_, machine)| machine.clone())
            .collect();
        self.batch_size = (self.queue.len() / BATCHES_PER_ROUND).max(BATCH_SIZE_MIN);
        true
    }

    /// Adds workers that the leader has assigned to this controller, each with the fencing token of its row.
    pub fn assign(&mut self, now: Micros, rows: &[ProbeRow]) {
        if !self.has_pending() {
            self.next_batch_at = now;
        }
        let probes = rows.iter().rev().map(|row| AssignedProbe {
            machine: row.machine().into(),
            address: row.address(),
            fencing_token: row.fencing_token.get(),
        });
        self.assigned.extend(probes);
        self.assigned.truncate(KNOWN_WORKERS_MAX);
        let pending = self.queue.len() + self.assigned.len();
        self.batch_size = (pending / BATCHES_PER_ROUND).max(BATCH_SIZE_MIN);
    }

    fn has_pending(&self) -> bool {
        !self.queue.is_empty() || !self.assigned.is_empty()
    }

    /// When the next batch is due; `None` if no probe is pending.
    pub fn wake_at(&self) -> Option<Micros> {
        self.has_pending().then_some(self.next_batch_at)
    }

    /// Removes and returns the next worker to probe: first those whose heartbeats this controller receives, then the
    /// assigned ones.
    fn next_target(&mut self) -> Option<ProbeTarget> {
        while let Some(machine) = self.queue.pop() {
            if let Some(worker) = self.known_workers.get(&machine) {
                return Some(ProbeTarget {
                    address: worker.address,
                    agent_epoch: worker.agent_epoch,
                    fencing_token: self.fencing_token,
                });
            }
        }
        let probe = self.assigned.pop()?;
        let known = self.known_workers.get(&probe.machine);
        Some(ProbeTarget {
            address: probe.address,
            agent_epoch: known.map_or(FIRST_AGENT_EPOCH, |worker| worker.agent_epoch),
            fencing_token: probe.fencing_token,
        })
    }

    /// Sends the next batch, if it is due. `lag` is how long the controller's inputs wait; each probe takes the next
    /// number of `tickets`.
    pub fn tick(
        &mut self,
        now: Micros,
        lag: Micros,
        tickets: &mut Ticket,
        outputs: &mut Vec<Output>,
    ) {
        if !self.has_pending() || now < self.next_batch_at {
            return;
        }
        self.next_batch_at = now + BATCH_INTERVAL;
        if lag > PROBE_LAG_MAX || self.in_flight.len() > BATCHES_IN_FLIGHT_MAX * self.batch_size {
            return;
        }
        for _ in 0..self.batch_size {
            let Some(target) = self.next_target() else {
                return;
            };
            let probe = Commands {
                fencing_token: target.fencing_token,
                agent_epoch: Some(target.agent_epoch.max(FIRST_AGENT_EPOCH)),
                commands: Vec::new(),
            };
            let Ok(body) = serde_json::to_vec(&probe) else {
                return;
            };
            let call = HttpCall::post(COMMANDS_PATH.to_owned(), body, CALL_TIMEOUT);
            let ticket = call.send(target.address, tickets, outputs);
            self.in_flight.insert(ticket);
        }
    }

    /// Records that a call has an outcome. Returns whether it was a probe in flight.
    pub fn finish_probe(&mut self, ticket: Ticket) -> bool {
        self.in_flight.remove(&ticket)
    }
}
