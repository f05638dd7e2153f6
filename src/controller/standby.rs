//! The standby's replica of the stored records, and the steps of a failover up to the new leader's
//! first placement pass.
//!
//! A standby keeps a copy of the stored records and compares its checksum with the leader's. If the
//! checksums differ, or changes are missing, it discards the replica, counts that, and reads the
//! records again; it never repairs a replica. A new leader makes no decision before it has applied
//! all changes up to the revision of its own election, whether it starts from its replica (warm) or
//! reads all records from the state service (cold).

use super::Controller;
use super::leader::LeaderState;
use super::peer_links::PeerRequest;
use super::state_request::StateRequest;
use crate::clock::{MILLISECOND, Micros, Now, SECOND};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::reconciliation::ReconciliationPhase;
use crate::replica::{Checksum, Replica, ReplicaRead};
use crate::settings::Peer;
use crate::standby::{
    ColdReason, LEADER_OVERDUE_AFTER, LeaderChecksum, PAGE_INTERVAL, REBUILD_DELAY,
    REPLICATION_INTERVAL, RESTARTED_LEADER_DELAY, candidacy_delay, choose_standbys,
};
use crate::state_client::{Op, Reply, RequestPriority};
use crate::wire::{ChecksumRow, KIND_CHECKSUM};
use serde_json::{Value, json};
use std::net::SocketAddr;
use zerocopy::{FromBytes, IntoBytes};

/// Backoff after the resignation at shutdown; long enough that the process does not take part in an
/// election again.
const SHUTDOWN_BACKOFF: Micros = 3600 * SECOND;

/// The failover is logged after this time at the latest, however few machines have confirmed the
/// new term by then.
const FAILOVER_LOG_DELAY_MAX: Micros = 20 * SECOND;

/// The share of the fleet, in twentieths (19 = 95 %), that counts as nearly all of it.
const MOST_CONFIRMED_TWENTIETHS: usize = 19;

/// This node's replica and its state as a standby.
#[derive(Default)]
pub(super) struct Standby {
    replica: Replica,
    /// Number of replicas so far; replies to reads for an earlier one are dropped.
    generation: u64,
    /// Number of reads without a reply so far.
    reads_in_flight: usize,
    next_read_at: Micros,
    last_read_at: Micros,
    /// The leader's checksum at a revision that the replica has not reached yet.
    leader_checksum: Option<LeaderChecksum>,
    /// The revision at which the checksums last agreed.
    verified_revision: Option<u64>,
    /// The last known leader, kept after its leader key is gone.
    leader: Option<String>,
    /// This node's rank among the standbys of the leader; `None` if it is not a standby.
    rank: Option<usize>,
    /// Why the last replica was discarded.
    discard_reason: Option<ColdReason>,
    /// Number of discarded replicas.
    discard_count: u64,
    /// The state service refuses to report the changes of all keys: a replica can only be filled by
    /// reading all pages.
    changes_unavailable: bool,
}

/// The load of a new leader's state that has to be complete before the leader makes a decision.
pub(super) struct LeaderLoad {
    /// The revision of its own election; all changes up to it have to be loaded.
    required_revision: u64,
    /// Why the leader does not start from its replica; `None` if it does.
    cold_reason: Option<ColdReason>,
}

/// The times and counts of one failover, for the log and for operators.
pub(super) struct Failover {
    cold_reason: Option<ColdReason>,
    /// Time from the last message of the previous leader to the election; 0 if this node never
    /// received one.
    leader_silence: Micros,
    elected_at: Micros,
    loaded_at: Option<Micros>,
    first_pass_at: Option<Micros>,
    half_confirmed_at: Option<Micros>,
    most_confirmed_at: Option<Micros>,
    unconfirmed_placements: usize,
    machines: usize,
    logged: bool,
    revision: u64,
    checksum: Checksum,
}

impl Failover {
    /// Records the time of the new leader's first placement pass; later calls have no effect.
    pub(super) fn note_placement_pass(&mut self, now: Micros) {
        self.first_pass_at = self.first_pass_at.or(Some(now));
    }

    /// Records when half and when nearly all of the machines have confirmed the new term.
    fn note_confirmed(&mut self, now: Micros, confirmed: usize) {
        if 2 * confirmed >= self.machines {
            self.half_confirmed_at = self.half_confirmed_at.or(Some(now));
        }
        if 20 * confirmed >= MOST_CONFIRMED_TWENTIETHS * self.machines {
            self.most_confirmed_at = self.most_confirmed_at.or(Some(now));
        }
    }

    /// Logs the times and counts of the failover; `started_at` is when the first task was started.
    fn log(&self, term: u64, started_at: Option<Micros>) {
        let ms = |at: Option<Micros>| {
            at.map_or("none".to_owned(), |at| {
                (at.saturating_sub(self.elected_at) / MILLISECOND).to_string()
            })
        };
        log::info!(
            "failover term={term} warm={} silent_ms={} load_ms={} first_decision_ms={} first_start_ms={} \
             confirmed_half_ms={} confirmed_95_ms={} machines={} unconfirmed={} revision={}",
            self.cold_reason.map_or("yes", ColdReason::as_str),
            self.leader_silence / MILLISECOND,
            ms(self.loaded_at),
            ms(self.first_pass_at),
            ms(started_at),
            ms(self.half_confirmed_at),
            ms(self.most_confirmed_at),
            self.machines,
            self.unconfirmed_placements,
            self.revision
        );
    }
}

/// Logs the result of the reconciliation with the machines.
fn log_reconciliation(leader_state: &LeaderState, now: Micros) {
    let reconciled = leader_state.workers.reconciliation_counts;
    log::info!(
        "reconciled term={} stored={} confirmed={} machines={} agreed={} finished_meanwhile={} missing={} \
         unknown={} stale={} commands={} commands_per_s_max={} elapsed_ms={}",
        leader_state.term,
        leader_state.failover.unconfirmed_placements,
        leader_state.reconciliation.confirmed(),
        leader_state.failover.machines,
        reconciled.agreed,
        reconciled.finished_meanwhile,
        reconciled.missing,
        reconciled.unknown,
        reconciled.stale,
        leader_state.workers.commands_sent,
        leader_state.reconciliation.commands_per_second_max(),
        leader_state.reconciliation.elapsed_ms(now)
    );
}

/// The stored records that a leader's state was built from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSource {
    /// The term of the leader.
    pub term: u64,
    /// Whether the leader started from its replica; otherwise it read all records after its election.
    pub warm: bool,
    /// The store revision of the loaded records.
    pub revision: u64,
    /// The checksum over the loaded keys and their revisions.
    pub checksum: Checksum,
}

impl Controller {
    /// Sends the next read for the replica, if this node is a standby and a read is due. Also sets
    /// how long this node waits before it tries to become leader.
    pub(super) fn replicate(&mut self) {
        self.note_leader_change();
        let standby = &self.standby;
        let warm = standby.replica.is_complete() && standby.verified_revision.is_some();
        let restarted = self.election.led_before_restart() && !self.peer_links.is_empty();
        let restart_delay = if restarted { RESTARTED_LEADER_DELAY } else { 0 };
        self.election
            .set_candidacy_delay(candidacy_delay(standby.rank, warm) + restart_delay);
        if self.leader_state.is_some() {
            return;
        }
        if !self.properties.may_be_standby || standby.rank.is_none() || standby.changes_unavailable
        {
            if standby.replica.key_count() > 0 {
                self.reset_replica();
            }
            return;
        }
        let now = self.now.steady;
        if !self.is_replica_read_due(now) {
            return;
        }
        let standby = &mut self.standby;
        let Some(read) = standby.replica.next_reads().into_iter().next() else {
            return;
        };
        let interval = match read {
            ReplicaRead::Page { .. } => PAGE_INTERVAL,
            ReplicaRead::Changes { .. } => REPLICATION_INTERVAL,
        };
        (standby.next_read_at, standby.last_read_at) = (now + interval, now);
        self.send_replica_read(read);
    }

    /// Updates this node's rank as a standby when another controller has become leader.
    fn note_leader_change(&mut self) {
        // The watch may report this node's own election before the reply to the election arrives.
        // It is ignored here: the new leader needs the replica that it kept as a standby.
        let known = self.standby.leader.as_ref();
        let record = self.election.leader();
        let other = record
            .filter(|record| record.node != self.settings.name && Some(&record.node) != known);
        if let Some(leader) = other.map(|record| record.node.clone()) {
            self.standby.leader = Some(leader);
            self.standby.rank = self.standby_rank();
            // The previous leader's checksums do not verify what the new leader stores.
            (self.standby.leader_checksum, self.standby.verified_revision) = (None, None);
        }
    }

    fn is_replica_read_due(&self, now: Micros) -> bool {
        let standby = &self.standby;
        // When the leader's periodic announcement is overdue, the changes are read once ahead of
        // schedule, so that less is left to read during a failover.
        let announced_at = self.client_requests.progress_at();
        let overdue = announced_at > 0
            && now >= announced_at + LEADER_OVERDUE_AFTER
            && standby.last_read_at < announced_at + LEADER_OVERDUE_AFTER;
        let due = now >= standby.next_read_at || (overdue && standby.replica.is_complete());
        standby.reads_in_flight == 0
            && due
            && !self.state.is_failing()
            && self.state.has_background_budget(now)
    }

    /// The names of the standbys for a leader, in the order of their rank.
    fn standbys_of(&self, leader: &str) -> Vec<&str> {
        let settings = &self.settings;
        let peers = self.peer_links.peers().iter();
        let peers = peers.map(|peer| (&*peer.name, &*peer.zone));
        let nodes: Vec<_> = peers.chain([(&*settings.name, &*settings.zone)]).collect();
        choose_standbys(leader, &nodes)
    }

    /// This node's rank among the standbys of the leader; `None` if it is not a standby.
    fn standby_rank(&self) -> Option<usize> {
        let leader = self.standby.leader.as_ref()?;
        let chosen = self.standbys_of(leader);
        chosen.iter().position(|node| *node == self.settings.name)
    }

    /// Sends a read for the replica to the state service.
    fn send_replica_read(&mut self, read: ReplicaRead) {
        let generation = self.standby.generation;
        self.standby.reads_in_flight += 1;
        let op = match &read {
            ReplicaRead::Page { prefix, after } => {
                self.standby.replica.mark_page_requested(prefix);
                Op::List {
                    prefix,
                    after: after.clone(),
                    limit: 500,
                }
            }
            ReplicaRead::Changes { from } => Op::Watch {
                prefix: "",
                from: *from,
                block: 0,
            },
        };
        let priority = if self.leader_state.is_some() {
            RequestPriority::Leader
        } else {
            RequestPriority::Background
        };
        let request = StateRequest::ReadReplica { generation, read };
        self.state
            .submit(self.now.steady, request, priority, op, SECOND);
    }

    /// Handles the reply to a read for the replica of the given generation.
    pub(super) fn replica_read_answered(
        &mut self,
        generation: u64,
        read: ReplicaRead,
        reply: Reply,
    ) {
        let standby = &mut self.standby;
        if generation != standby.generation {
            return;
        }
        standby.reads_in_flight = standby.reads_in_flight.saturating_sub(1);
        match (read, reply) {
            (
                ReplicaRead::Page { prefix, .. },
                Reply::KeyPage {
                    items,
                    truncated,
                    revision,
                },
            ) => {
                standby
                    .replica
                    .apply_page(prefix, items, truncated, revision);
                if standby.changes_unavailable {
                    standby.replica.accept_pages_as_complete();
                }
            }
            (ReplicaRead::Page { prefix, after }, _) => {
                standby.replica.mark_page_due(prefix, after);
            }
            (ReplicaRead::Changes { .. }, Reply::Events { events, revision }) => {
                standby.replica.apply_changes(events, revision);
            }
            (ReplicaRead::Changes { .. }, Reply::Compacted) => {
                self.discard_replica(ColdReason::ChangesMissing);
            }
            (ReplicaRead::Changes { .. }, Reply::Refused(reason)) => {
                log::error!(
                    "the state service refuses to report changes of all keys reason={reason}"
                );
                standby.changes_unavailable = true;
                self.discard_replica(ColdReason::ChangesUnavailable);
            }
            (ReplicaRead::Changes { .. }, _) => {}
        }
        self.compare_checksums();
        self.continue_load();
    }

    /// Replaces the replica by an empty one; replies to earlier reads are then dropped.
    fn reset_replica(&mut self) {
        let standby = &mut self.standby;
        standby.replica = Replica::default();
        standby.generation += 1;
        standby.reads_in_flight = 0;
        (standby.leader_checksum, standby.verified_revision) = (None, None);
    }

    /// Discards a replica that is wrong or can't be kept up to date. A standby starts to read it again
    /// after [`REBUILD_DELAY`], a new leader at once.
    fn discard_replica(&mut self, cold: ColdReason) {
        log::warn!("replica discarded cause={}", cold.as_str());
        self.reset_replica();
        self.standby.discard_count += 1;
        self.standby.discard_reason = Some(cold);
        self.standby.next_read_at = self.now.steady + REBUILD_DELAY;
        if let Some(load) = self
            .leader_state
            .as_mut()
            .and_then(|l| l.pending_load.as_mut())
        {
            load.cold_reason = Some(cold);
        }
    }

    /// Handles a frame with the leader's checksum over the live jobs.
    pub(super) fn leader_checksum_received(&mut self, body: &[u8]) {
        let Ok(row) = ChecksumRow::read_from_bytes(body) else {
            return;
        };
        let leader = self.election.leader();
        if self.leader_state.is_some() || leader.is_none_or(|r| r.term != row.term.get()) {
            return;
        }
        self.standby.leader_checksum = Some(LeaderChecksum {
            revision: row.revision.get(),
            checksum: Checksum(row.checksum.get()),
        });
        self.compare_checksums();
    }

    /// Compares the replica's checksum with the leader's once the replica has reached the leader's
    /// revision; discards the replica if they differ.
    fn compare_checksums(&mut self) {
        let standby = &mut self.standby;
        let Some(leader) = standby.leader_checksum else {
            return;
        };
        let Some(own) = standby.replica.live_jobs_checksum_at(leader.revision) else {
            return;
        };
        standby.leader_checksum = None;
        if own == leader.checksum || fault_injected(InjectedFault::ReplicaChecksumIgnored) {
            standby.verified_revision = Some(leader.revision);
        } else {
            self.discard_replica(ColdReason::ChecksumDiffers);
        }
    }

    /// Sends this leader's checksum over the live jobs to the standbys.
    pub(super) fn announce_checksum(&mut self) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let row = ChecksumRow {
            term: leader_state.term.into(),
            revision: leader_state.jobs_revision.into(),
            checksum: leader_state.jobs_checksum.0.into(),
        };
        let chosen = self.standbys_of(&self.settings.name);
        let is_standby = |peer: &&Peer| chosen.contains(&&*peer.name);
        let standbys = self.peer_links.peers().iter().filter(is_standby);
        let dests: Vec<SocketAddr> = standbys.map(|peer| peer.address).collect();
        for dest in dests {
            let body = row.as_bytes().to_vec();
            let request = PeerRequest::new(KIND_CHECKSUM, &*self.settings.name, body);
            self.send_to_peer(dest, request.with_timeout(SECOND));
        }
    }

    /// The first step of a failover: decides whether the new leader starts from its replica (warm).
    /// `mod_revision` is the revision of the leader key; all changes up to it have to be loaded.
    pub(super) fn begin_load(&mut self, mod_revision: u64) -> (LeaderLoad, Failover) {
        let now = self.now.steady;
        let standby = &self.standby;
        let cold_reason = if standby.replica.key_count() == 0 {
            let reason = standby.discard_reason;
            Some(reason.unwrap_or(ColdReason::NotReplicating))
        } else if !standby.replica.is_complete() {
            Some(ColdReason::Incomplete)
        } else if standby.verified_revision.is_none() {
            Some(ColdReason::Unverified)
        } else {
            None
        };
        if cold_reason.is_some() {
            self.reset_replica();
        }
        let heard_at = self
            .client_requests
            .progress_at()
            .max(self.peer_links.leader_hint_at().unwrap_or(0));
        let failover = Failover {
            cold_reason,
            leader_silence: if heard_at > 0 { now - heard_at } else { 0 },
            elected_at: now,
            loaded_at: None,
            first_pass_at: None,
            half_confirmed_at: None,
            most_confirmed_at: None,
            unconfirmed_placements: 0,
            machines: 0,
            logged: false,
            revision: 0,
            checksum: Checksum::default(),
        };
        let load = LeaderLoad {
            required_revision: mod_revision,
            cold_reason,
        };
        (load, failover)
    }

    /// Sends the reads for the records that are still missing; once the replica is complete and recent
    /// enough, builds the leader's state from it.
    pub(super) fn continue_load(&mut self) {
        let Some(load) = self
            .leader_state
            .as_ref()
            .and_then(|l| l.pending_load.as_ref())
        else {
            return;
        };
        let cold_reason = load.cold_reason;
        let replica = &self.standby.replica;
        let stale = replica.revision() < load.required_revision
            && !fault_injected(InjectedFault::ReplicaCatchUpSkipped);
        if replica.is_complete() && !stale {
            return self.build_leader_state(cold_reason);
        }
        for read in replica.next_reads() {
            // At most one read of changes is in flight. Pages need no check: `next_reads` lists a
            // page only while it is not requested.
            if matches!(read, ReplicaRead::Page { .. }) || self.standby.reads_in_flight == 0 {
                self.send_replica_read(read);
            }
        }
    }

    /// Builds the leader's state from the complete replica.
    fn build_leader_state(&mut self, cold_reason: Option<ColdReason>) {
        let replica = std::mem::take(&mut self.standby.replica);
        let (revision, checksum) = (replica.revision(), replica.checksum());
        self.reset_replica();
        self.standby.discard_reason = None;
        let unconfirmed = self.finish_load(replica);
        let now = self.now.steady;
        if let Some(leader_state) = &mut self.leader_state {
            let failover = &mut leader_state.failover;
            failover.cold_reason = cold_reason;
            failover.loaded_at = Some(now);
            failover.unconfirmed_placements = unconfirmed;
            failover.machines = leader_state.workers.machines.len();
            (failover.revision, failover.checksum) = (revision, checksum);
        }
    }

    /// Counts the machines that have confirmed the new term, and logs the failover and the end of
    /// the reconciliation, each once.
    pub(super) fn track_failover(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if leader_state.failover.logged && leader_state.reconciliation_logged {
            return;
        }
        let machines = leader_state.workers.machines.values();
        let confirmed = machines
            .filter(|machine| machine.registered && machine.term_confirmed)
            .count();
        leader_state
            .reconciliation
            .observe(now, confirmed, leader_state.workers.commands_sent);
        if leader_state.reconciliation.phase(now) == ReconciliationPhase::Complete
            && !leader_state.reconciliation_logged
        {
            leader_state.reconciliation_logged = true;
            log_reconciliation(leader_state, now);
        }
        let started_at = leader_state.workers.first_direct_start_at;
        let failover = &mut leader_state.failover;
        if failover.logged {
            return;
        }
        failover.note_confirmed(now, confirmed);
        let overdue = now >= failover.elected_at + FAILOVER_LOG_DELAY_MAX;
        if overdue || (failover.most_confirmed_at.is_some() && started_at.is_some()) {
            failover.logged = true;
            failover.log(leader_state.term, started_at);
        }
    }

    /// Starts the shutdown. A leader sends its last checksum to the standbys and resigns, so that its
    /// successor need not wait for the leader's lease to expire.
    pub fn shut_down(&mut self, now: Now) {
        self.set_now(now);
        if self.is_leader() {
            log::info!("shutting down; resigning as leader");
            self.announce_checksum();
        }
        self.resign(SHUTDOWN_BACKOFF);
    }

    /// Whether the process may exit: no request of the election is in flight.
    pub fn has_shut_down(&self) -> bool {
        self.election.is_idle()
    }

    /// The records that this leader's state was built from; `None` if this node is not the leader or
    /// is still loading. For tests.
    pub fn load_source(&self) -> Option<LoadSource> {
        let leader_state = self
            .leader_state
            .as_ref()
            .filter(|l| l.pending_load.is_none())?;
        Some(LoadSource {
            term: leader_state.term,
            warm: leader_state.failover.cold_reason.is_none(),
            revision: leader_state.failover.revision,
            checksum: leader_state.failover.checksum,
        })
    }

    /// Advances the leader's next attempt number by `count`, for tests of their exhaustion.
    pub fn skip_attempts(&mut self, count: u64) {
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.workers.skip_attempts(count);
        }
    }

    /// Changes one revision in the replica, for tests of its verification; returns false if the
    /// replica is empty.
    pub fn corrupt_replica(&mut self) -> bool {
        self.standby.replica.corrupt_one_live_job()
    }

    /// The state of this node's replica, as a part of `/inspect/status`.
    pub(super) fn inspect_standby(&self) -> Value {
        let standby = &self.standby;
        let cold_reason = if self.leader_state.is_some() {
            Some("leading")
        } else if !self.properties.may_be_standby {
            Some("standby.follow=0")
        } else if standby.rank.is_none() {
            Some("others follow")
        } else if standby.replica.key_count() == 0 {
            Some(
                standby
                    .discard_reason
                    .map_or("not asked yet", ColdReason::as_str),
            )
        } else if !standby.replica.is_complete() {
            Some("filling")
        } else if standby.verified_revision.is_none() {
            Some("unchecked")
        } else {
            None
        };
        json!({
            "follows": standby.rank.is_some().then_some(&standby.leader),
            "rank": standby.rank,
            "warm": cold_reason.is_none(),
            "why_not": cold_reason,
            "epoch": standby.replica.revision(),
            "keys": standby.replica.key_count(),
            "behind_ms": (standby.last_read_at > 0).then(|| self.now.steady.saturating_sub(standby.last_read_at) / MILLISECOND),
            "checked_epoch": standby.verified_revision,
            "thrown_away": standby.discard_count,
        })
    }
}
