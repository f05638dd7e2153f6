//! Applies heartbeats of workers to the ledger and answers them.
//!
//! Heartbeats arrive in three ways: posted by a worker (directly or through a peer), as the answer
//! to a direct call, and as the answer to a peer that probed the worker. Only the first kind renews
//! the worker's lease. A heartbeat that is not newer than the last one applied changes nothing, and
//! its answer carries no commands. A machine with a tombstone or with a stored silence mark never
//! gets a successful answer.

use super::WorkerLedger;
use super::commands::CommandChannel;
use super::event::{TaskEvent, TaskEventKind};
use super::machine::{DigestedHeartbeat, FENCE_COUNTER_BITS, HeartbeatSource, Machine};
use super::task_entry::{Delivery, TaskEntry};
use crate::clock::{Micros, from_secs};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::task_id::JobDirectory;
use crate::wire::{Commands, Heartbeat, HeartbeatRow};
use compact_str::{CompactString, ToCompactString};
use std::net::SocketAddr;

/// The outcome of a heartbeat that was received as a digest because it repeats an earlier one.
#[derive(Debug)]
pub enum RepeatedHeartbeatOutcome {
    /// This leader does not hold the earlier heartbeat: the sender must send this one in full.
    FullHeartbeatNeeded,
    /// The worker must get no successful answer.
    Refused,
    /// The answer for the worker.
    Answer(Commands),
}

impl RepeatedHeartbeatOutcome {
    fn from_answer(answer: Option<Commands>) -> Self {
        answer.map_or(Self::Refused, Self::Answer)
    }
}

impl WorkerLedger {
    /// Handles a heartbeat that a worker posted and returns the answer, or `None` if the worker must
    /// get no successful answer because its machine has a tombstone or a stored silence mark.
    /// `digest` is the digest of the heartbeat without its sequence number, if known; `via` is the
    /// peer that forwarded it.
    pub fn handle_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: Heartbeat,
        digest: Option<u128>,
        via: Option<SocketAddr>,
        jobs: &mut dyn JobDirectory,
    ) -> Option<Commands> {
        if self.is_tombstoned(&heartbeat.machine) {
            return None;
        }
        let source = HeartbeatSource::Posted { proxy: via };
        let is_newest = self.apply_heartbeat(now, &heartbeat, source, jobs);
        let term_base = self.base_fencing_token();
        let machine = self.machines.get_mut(&heartbeat.machine)?;
        if is_newest {
            machine.settled_digest = digest;
            if let Some(digest) = digest {
                machine.last_heartbeat = Some(DigestedHeartbeat {
                    digest,
                    heartbeat: Box::new(heartbeat),
                });
            }
        }
        if machine.silence_stored || machine.agent_state_lost {
            // A successful answer would renew a lease that a later leader may assume to have expired, or that must
            // expire for the agent to begin a new epoch.
            return None;
        }
        let mut commands = Vec::new();
        // A heartbeat that arrives after a newer one gets no commands: its content is out of date.
        if is_newest {
            machine.collect_stops_and_acknowledgements(
                now,
                CommandChannel::HeartbeatAnswer,
                &mut commands,
            );
            self.highest_fence_counter = self.highest_fence_counter.max(machine.fence_counter);
            if machine.direct_failures > 0 && machine.in_flight.is_none() && machine.registered {
                let delivery = Delivery::Piggybacked {
                    agent_epoch: machine.agent_epoch,
                    sequence: machine.sequence,
                };
                machine.collect_starts(delivery, &mut commands);
            }
        }
        machine.last_answered_at = now;
        Some(Commands {
            fencing_token: term_base + machine.fence_counter,
            agent_epoch: None,
            commands,
        })
    }

    /// Handles the answer of a worker to a peer that probed it on behalf of this leader.
    pub fn handle_probe_answer(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        jobs: &mut dyn JobDirectory,
    ) {
        // Only a heartbeat that the worker posts itself adds a machine to the ledger.
        if self.machines.contains_key(&heartbeat.machine) {
            self.apply_heartbeat(now, heartbeat, HeartbeatSource::CallAnswer, jobs);
        }
    }

    /// Handles a heartbeat that differs from an earlier one only in its sequence number. The effect
    /// is that of the earlier heartbeat received again now, without parsing it; if the machine is
    /// settled its task list is not scanned either. Most heartbeats are of this kind.
    pub fn handle_repeated_heartbeat(
        &mut self,
        now: Micros,
        row: &HeartbeatRow,
        via: Option<SocketAddr>,
        jobs: &mut dyn JobDirectory,
    ) -> RepeatedHeartbeatOutcome {
        if self.is_tombstoned(row.machine()) {
            return RepeatedHeartbeatOutcome::Refused;
        }
        let term_base = self.base_fencing_token();
        let silence = self.silence_timeout();
        let digest = row.digest.get();
        let Some(machine) = self.machines.get_mut(row.machine()) else {
            return RepeatedHeartbeatOutcome::FullHeartbeatNeeded;
        };
        if fault_injected(InjectedFault::PreviousDigestsTrusted) && machine.last_heartbeat.is_none()
        {
            let assumed = machine.idle_heartbeat(row, term_base);
            return RepeatedHeartbeatOutcome::from_answer(
                self.handle_heartbeat(now, assumed, None, via, jobs),
            );
        }
        let has_digest = |held: &DigestedHeartbeat| held.digest == digest;
        if !machine.last_heartbeat.as_ref().is_some_and(has_digest) {
            return RepeatedHeartbeatOutcome::FullHeartbeatNeeded;
        }
        if machine.is_settled_repeat(row) {
            if now >= machine.last_seen_at + silence {
                // The machine counted as silent until now.
                self.changed_machines.insert(machine.id.clone());
            }
            self.any_machine_seen_at = now;
            machine.record_settled_repeat(now, row.sequence.get(), via);
            return RepeatedHeartbeatOutcome::Answer(Commands {
                fencing_token: term_base + machine.fence_counter,
                agent_epoch: None,
                commands: Vec::new(),
            });
        }
        let Some(held) = machine.last_heartbeat.take() else {
            return RepeatedHeartbeatOutcome::FullHeartbeatNeeded;
        };
        let mut heartbeat = *held.heartbeat;
        heartbeat.sequence = row.sequence.get();
        RepeatedHeartbeatOutcome::from_answer(self.handle_heartbeat(
            now,
            heartbeat,
            Some(digest),
            via,
            jobs,
        ))
    }

    /// Applies a heartbeat to the ledger; returns false, without effect, if it is not newer than the last one
    /// applied.
    pub(super) fn apply_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        jobs: &mut dyn JobDirectory,
    ) -> bool {
        let id = heartbeat.machine.clone();
        let term_base = self.base_fencing_token();
        let machine = self.machines.entry(id.clone()).or_insert_with(|| {
            let last_observed = self.last_observed.get(&id).copied().unwrap_or_default();
            Machine::from_heartbeat(heartbeat, last_observed, now)
        });
        self.changed_machines.insert(id.clone());
        if !machine.is_older_than(heartbeat)
            && !fault_injected(InjectedFault::DuplicateHeartbeatAccepted)
        {
            return false;
        }
        let had_address = machine.address.is_some();
        let agent_restarted = machine.record_agent_epoch(now, heartbeat, self.lease_duration);
        machine.record_contact(now, heartbeat, source);
        self.any_machine_seen_at = now;
        if machine.reclaim_at.is_some() {
            self.machines_with_reclaim_notice.insert(id.clone());
        }
        let first_under_term = machine.confirm_fencing_token(heartbeat.fencing_token, term_base);
        self.highest_fence_counter = self.highest_fence_counter.max(machine.fence_counter);

        // The unconfirmed stored placements are compared with the attempts that are reported for the first time.
        let was_unconfirmed = first_under_term || !machine.term_confirmed;
        let stored = if was_unconfirmed {
            machine.unreported_placements()
        } else {
            Vec::new()
        };
        let events = &mut self.events;
        let reported = machine.apply_reported_tasks(now, heartbeat, was_unconfirmed, jobs, events);
        if was_unconfirmed {
            self.reconciliation_counts.reconcile(
                &stored,
                &reported.newly_reported,
                first_under_term,
            );
        }
        events.extend(reported.confirmed_placements.iter().map(|task| TaskEvent {
            machine: id.clone(),
            task: *task,
            attempt: 0,
            kind: TaskEventKind::PlacementConfirmed,
        }));
        machine.drop_unlisted_tasks(
            heartbeat,
            source,
            &reported.listed,
            agent_restarted,
            term_base,
            events,
        );
        self.highest_fence_counter = self.highest_fence_counter.max(machine.fence_counter);
        let forgotten = reported.forgotten_attempts(self.term);
        machine.assume_latest_start_fence(&forgotten);
        // A machine whose lease was taken for expired is unconfirmed again; its late heartbeats list tasks that were
        // given up, not started again.
        if !was_unconfirmed {
            machine.log_repeated_starts(&forgotten);
            self.repeated_starts += forgotten.len() as u64;
        }

        if machine.tasks_holding_resources().next().is_some() {
            machine.idle_since = now;
        }
        let is_new = !had_address && !machine.registered;
        if machine.registry_stale || machine.images_stale || is_new {
            self.registry_updates.insert(id.clone());
        }
        if machine.tasks.values().any(TaskEntry::has_unsent_command) {
            self.machines_to_send.insert(id);
        }
        true
    }
}

impl Machine {
    /// Creates a machine that a heartbeat adds to the ledger. `last_observed` is the agent epoch and
    /// sequence number of the last heartbeat of an earlier machine of that name, or zeros: a delayed
    /// copy of an earlier heartbeat does not count as news of the machine.
    fn from_heartbeat(heartbeat: &Heartbeat, last_observed: (u64, u64), now: Micros) -> Self {
        let mut machine = Self::new(
            heartbeat.machine.clone(),
            &heartbeat.machine_type,
            &heartbeat.zone,
            heartbeat.spot,
            now,
        );
        (machine.agent_epoch, machine.sequence) = last_observed;
        machine
    }

    /// Whether the heartbeat is newer than the last one applied.
    fn is_older_than(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.agent_epoch, heartbeat.sequence) > (self.agent_epoch, self.sequence)
    }

    /// Records the agent epoch; returns true if the agent has restarted since the last heartbeat, so
    /// that every task of its former epoch is gone.
    fn record_agent_epoch(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        lease_duration: Micros,
    ) -> bool {
        let restarted = heartbeat.agent_epoch > self.agent_epoch && self.agent_epoch > 0;
        // The lease expired or the agent restarted although a heartbeat was answered within the lease duration:
        // the machine may be inbound-partitioned. No start is sent before it has reported a fencing token that only
        // answers and commands sent from now on carry.
        if restarted && self.term_confirmed && now < self.last_answered_at + lease_duration {
            self.raise_fence();
        }
        if heartbeat.agent_epoch > self.agent_epoch {
            self.agent_state_lost = false;
        }
        self.agent_epoch = heartbeat.agent_epoch;
        restarted
    }

    /// Records the machine's address and reclamation notice from a heartbeat, and by which path it
    /// arrived.
    fn record_contact(&mut self, now: Micros, heartbeat: &Heartbeat, source: HeartbeatSource) {
        self.settled_digest = None;
        // The agent's address may change whenever the agent starts, so the latest one is used.
        self.address = heartbeat.address.parse().ok().or(self.address);
        self.sequence = heartbeat.sequence;
        self.last_seen_at = now;
        if self.silent_since.take().is_some() {
            self.registry_stale = true;
        }
        if let HeartbeatSource::Posted { proxy } = source {
            self.last_heartbeat_at = now;
            self.heartbeat_proxy = proxy;
            // A worker that reaches this node directly is assumed to be reachable from it.
            self.use_proxy &= proxy.is_some();
        }
        self.reclaim_at = heartbeat.notice_s.map(|notice| now + from_secs(notice));
    }

    /// Records the highest fencing token that the worker has seen; returns true if it reports a token
    /// of this term for the first time. `term_base` is the lowest token of this term.
    fn confirm_fencing_token(&mut self, token: u64, term_base: u64) -> bool {
        let assumed = fault_injected(InjectedFault::ReachabilityAssumed);
        let confirms_term = token >= term_base || assumed;
        let is_first = !self.term_confirmed && confirms_term;
        self.term_confirmed |= confirms_term;
        if token >= term_base + self.fence_counter || assumed {
            self.in_doubt = false;
        }
        if token > term_base + self.fence_counter && token < term_base + (1 << FENCE_COUNTER_BITS) {
            // Only possible if this node's counter is too low; a token of a later term is never adopted.
            self.fence_counter = token - term_base;
        }
        is_first
    }

    /// Whether the row repeats the last heartbeat applied and the machine has been settled since.
    fn is_settled_repeat(&self, row: &HeartbeatRow) -> bool {
        self.settled_digest == Some(row.digest.get())
            && self.agent_epoch == row.agent_epoch.get()
            && row.sequence.get() > self.sequence
            && self.is_settled()
    }

    /// Records that a settled machine repeated its heartbeat and that it is answered.
    fn record_settled_repeat(&mut self, now: Micros, sequence: u64, proxy: Option<SocketAddr>) {
        self.sequence = sequence;
        self.last_seen_at = now;
        self.last_heartbeat_at = now;
        self.last_answered_at = now;
        self.heartbeat_proxy = proxy;
        self.use_proxy &= proxy.is_some();
        if self.tasks_holding_resources().next().is_some() {
            self.idle_since = now;
        }
    }

    /// The heartbeat of a machine without tasks. Used only by an injected fault, which assumes this
    /// content for a digest whose heartbeat was never received.
    fn idle_heartbeat(&self, row: &HeartbeatRow, term_base: u64) -> Heartbeat {
        let address = self.address;
        Heartbeat {
            machine: self.id.clone(),
            address: address.map_or(CompactString::default(), |a| a.to_compact_string()),
            machine_type: self.machine_type.as_str().into(),
            zone: self.zone.as_str().into(),
            spot: self.spot,
            agent_epoch: row.agent_epoch.get(),
            sequence: row.sequence.get(),
            fencing_token: term_base + self.fence_counter,
            notice_s: None,
            tasks: Vec::new(),
        }
    }
}
