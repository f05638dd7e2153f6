//! Following the leader, and the steps from its end to the first decision of the next.

use super::Controller;
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

/// A process that is to end does not ask for the lead again.
const SHUTDOWN_BACKOFF: Micros = 3600 * SECOND;

/// Until a takeover is told in the log, if not enough machines are heard before.
const FAILOVER_LOG_DELAY_MAX: Micros = 20 * SECOND;

/// What this node follows, and what it knows of its copy.
#[derive(Default)]
pub(super) struct Standby {
    pub(super) replica: Replica,
    /// Counts the mirrors: answers for one that was thrown away are not taken.
    generation: u64,
    /// Questions under way.
    reads_in_flight: usize,
    next_read_at: Micros,
    last_read_at: Micros,
    /// The leader's sum that the mirror has not come up to yet.
    leader_checksum: Option<LeaderChecksum>,
    /// The epoch of the last sum that agreed.
    verified_revision: Option<u64>,
    /// The node that led last, also when its key is gone.
    leader: Option<String>,
    rank: Option<usize>,
    /// Why the last mirror was thrown away, and how many were.
    discard_reason: Option<ColdReason>,
    discarded: u64,
    /// The state service does not tell all changes: only reading anew is left.
    changes_unavailable: bool,
}

/// What a new leader has still to see before it decides.
pub(super) struct LeaderLoad {
    /// The epoch of its own take: nothing older will do.
    required_revision: u64,
    /// Why it does not start from what it followed.
    cold_reason: Option<ColdReason>,
}

/// A takeover in times, for the log and for operators.
pub(super) struct Failover {
    cold_reason: Option<ColdReason>,
    /// Since the leader before was last heard of, as far as this node can tell.
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
    /// The new leader makes a placement pass; the first one counts.
    pub(super) fn note_placement_pass(&mut self, now: Micros) {
        self.first_pass_at = self.first_pass_at.or(Some(now));
    }
}

/// What a new leader was built from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSource {
    pub term: u64,
    /// From what it had followed; otherwise read anew.
    pub warm: bool,
    pub revision: u64,
    /// Over the keys and stamps.
    pub checksum: Checksum,
}

impl Controller {
    /// Follows the leader, if this node is one of those that do.
    pub(super) fn replicate(&mut self) {
        let t = self.now.steady;
        // Its own take may be told by the watch before its answer comes: what it followed is needed then.
        let known = self.standby.leader.as_ref();
        let record = self.election.leader();
        let other = record.filter(|r| r.node != self.settings.name && Some(&r.node) != known);
        if let Some(leader) = other.map(|r| r.node.clone()) {
            self.standby.leader = Some(leader);
            self.standby.rank = self.standby_rank();
            // What the leader before told is of no use against what this one tells.
            (self.standby.leader_checksum, self.standby.verified_revision) = (None, None);
        }
        let f = &mut self.standby;
        let warm = f.replica.is_complete() && f.verified_revision.is_some();
        let yields = self.election.led_before_restart() && !self.peer_links.is_empty();
        let more = if yields { RESTARTED_LEADER_DELAY } else { 0 };
        self.election
            .set_candidacy_delay(candidacy_delay(f.rank, warm) + more);
        if self.leader_state.is_some() {
            return;
        }
        if !self.properties.follow || f.rank.is_none() || f.changes_unavailable {
            if f.replica.key_count() > 0 {
                self.reset_replica();
            }
            return;
        }
        // Its word is overdue: once, ahead of time.
        let word = self.client_requests.progress_at();
        let overdue = word > 0
            && t >= word + LEADER_OVERDUE_AFTER
            && f.last_read_at < word + LEADER_OVERDUE_AFTER;
        let due = t >= f.next_read_at || (overdue && f.replica.is_complete());
        if f.reads_in_flight > 0
            || !due
            || self.state.is_failing()
            || !self.state.has_background_budget(t)
        {
            return;
        }
        let Some(want) = f.replica.next_reads().into_iter().next() else {
            return;
        };
        let pause = match want {
            ReplicaRead::Page { .. } => PAGE_INTERVAL,
            ReplicaRead::Changes { .. } => REPLICATION_INTERVAL,
        };
        (f.next_read_at, f.last_read_at) = (t + pause, t);
        self.read_replica(want);
    }

    fn followers_of(&self, leader: &str) -> Vec<&str> {
        let s = &self.settings;
        let peers = s.peers.iter().map(|p| (&*p.name, &*p.zone));
        let nodes: Vec<_> = peers.chain([(&*s.name, &*s.zone)]).collect();
        choose_standbys(leader, &nodes)
    }

    /// This node's place among those that follow the leader.
    fn standby_rank(&self) -> Option<usize> {
        let leader = self.standby.leader.as_ref()?;
        let chosen = self.followers_of(leader);
        chosen.iter().position(|n| *n == self.settings.name)
    }

    fn read_replica(&mut self, want: ReplicaRead) {
        let round = self.standby.generation;
        self.standby.reads_in_flight += 1;
        let op = match &want {
            ReplicaRead::Page { prefix, after } => {
                self.standby.replica.note_page_requested(prefix);
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
        let rank = if self.leader_state.is_some() {
            RequestPriority::Leader
        } else {
            RequestPriority::Background
        };
        let purpose = StateRequest::ReadReplica { round, want };
        self.state
            .submit(self.now.steady, purpose, rank, op, SECOND);
    }

    pub(super) fn replica_answered(&mut self, round: u64, want: ReplicaRead, reply: Reply) {
        let f = &mut self.standby;
        if round != f.generation {
            return;
        }
        f.reads_in_flight = f.reads_in_flight.saturating_sub(1);
        match (want, reply) {
            (
                ReplicaRead::Page { prefix, .. },
                Reply::Items {
                    items,
                    truncated,
                    revision,
                },
            ) => {
                f.replica.apply_page(prefix, items, truncated, revision);
                if f.changes_unavailable {
                    f.replica.accept_pages_as_complete();
                }
            }
            (ReplicaRead::Page { prefix, after }, _) => {
                f.replica.note_page_unanswered(prefix, after)
            }
            (ReplicaRead::Changes { .. }, Reply::Events { events, revision }) => {
                f.replica.apply_changes(events, revision);
            }
            (ReplicaRead::Changes { .. }, Reply::TooOld) => {
                self.discard_replica(ColdReason::ChangesMissing)
            }
            (ReplicaRead::Changes { .. }, Reply::Refused(reason)) => {
                log::error!("the state service refuses to tell all changes: {reason}");
                f.changes_unavailable = true;
                self.discard_replica(ColdReason::ChangesUnavailable);
            }
            (ReplicaRead::Changes { .. }, _) => {}
        }
        self.compare_checksums();
        self.continue_load();
    }

    fn reset_replica(&mut self) {
        let f = &mut self.standby;
        f.replica = Replica::default();
        f.generation += 1;
        (f.reads_in_flight, f.leader_checksum, f.verified_revision) = (0, None, None);
    }

    /// A mirror that was ever wrong is not mended: it is read anew.
    fn discard_replica(&mut self, cold: ColdReason) {
        log::warn!("the mirror is thrown away: {}", cold.as_str());
        self.reset_replica();
        self.standby.discarded += 1;
        self.standby.discard_reason = Some(cold);
        self.standby.next_read_at = self.now.steady + REBUILD_DELAY;
        if let Some(loading) = self.leader_state.as_mut().and_then(|l| l.load.as_mut()) {
            loading.cold_reason = Some(cold);
        }
    }

    /// The leader's word on the live jobs, from a frame.
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

    fn compare_checksums(&mut self) {
        let f = &mut self.standby;
        let Some(told) = f.leader_checksum else {
            return;
        };
        let Some(mine) = f.replica.jobs_checksum_at(told.revision) else {
            return;
        };
        f.leader_checksum = None;
        if mine == told.checksum || fault_injected(InjectedFault::MirrorUnchecked) {
            f.verified_revision = Some(told.revision);
        } else {
            self.discard_replica(ColdReason::ChecksumDiffers);
        }
    }

    /// Tells those that follow what this leader knows of the live jobs.
    pub(super) fn announce_checksum(&mut self) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let row = ChecksumRow {
            term: leader_state.term.into(),
            revision: leader_state.jobs_revision.into(),
            checksum: leader_state.jobs_checksum.0.into(),
        };
        let chosen = self.followers_of(&self.settings.name);
        let follows = |p: &&Peer| chosen.contains(&&*p.name);
        let peers = self.peer_links.peers().iter().filter(follows);
        let dests: Vec<SocketAddr> = peers.map(|p| p.address).collect();
        for dest in dests {
            let body = row.as_bytes().to_vec();
            let request = PeerRequest::new(KIND_CHECKSUM, &*self.settings.name, body);
            self.send_to_peer(dest, request.with_timeout(SECOND));
        }
    }

    /// The first step of a takeover: whether what was followed will do.
    pub(super) fn begin_load(&mut self, mod_revision: u64) -> (LeaderLoad, Failover) {
        let t = self.now.steady;
        let f = &self.standby;
        let cold = if f.replica.key_count() == 0 {
            Some(f.discard_reason.unwrap_or(ColdReason::NotReplicating))
        } else if !f.replica.is_complete() {
            Some(ColdReason::Incomplete)
        } else if f.verified_revision.is_none() {
            Some(ColdReason::Unverified)
        } else {
            None
        };
        if cold.is_some() {
            self.reset_replica();
        }
        let word = self
            .client_requests
            .progress_at()
            .max(self.peer_links.leader_hint_at().unwrap_or(0));
        let takeover = Failover {
            cold_reason: cold,
            leader_silence: if word > 0 { t - word } else { 0 },
            elected_at: t,
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
        (
            LeaderLoad {
                required_revision: mod_revision,
                cold_reason: cold,
            },
            takeover,
        )
    }

    /// Asks what is still missing, or, when nothing is, builds the leader.
    pub(super) fn continue_load(&mut self) {
        let Some(loading) = self.leader_state.as_ref().and_then(|l| l.load.as_ref()) else {
            return;
        };
        let mirror = &self.standby.replica;
        let stale = mirror.revision() < loading.required_revision
            && !fault_injected(InjectedFault::CatchUpSkipped);
        if mirror.is_complete() && !stale {
            let (revision, sum) = (mirror.revision(), mirror.checksum());
            let cold = loading.cold_reason;
            let mirror = std::mem::take(&mut self.standby.replica);
            self.reset_replica();
            self.standby.discard_reason = None;
            let held = self.finish_load(mirror);
            let t = self.now.steady;
            if let Some(leader_state) = &mut self.leader_state {
                let taken = &mut leader_state.failover;
                (taken.cold_reason, taken.loaded_at) = (cold, Some(t));
                (taken.unconfirmed_placements, taken.machines) =
                    (held, leader_state.workers.machines.len());
                (taken.revision, taken.checksum) = (revision, sum);
            }
            return;
        }
        for want in mirror.next_reads() {
            // One question for changes at a time; pages are asked once each.
            if matches!(want, ReplicaRead::Page { .. }) || self.standby.reads_in_flight == 0 {
                self.read_replica(want);
            }
        }
    }

    /// How many machines have shown the new term, and the line about the takeover.
    pub(super) fn watch_failover(&mut self) {
        let t = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let taken = &mut leader_state.failover;
        if taken.logged && leader_state.reconciliation_logged {
            return;
        }
        let here = leader_state
            .workers
            .machines
            .values()
            .filter(|m| m.registered);
        let heard = here.filter(|m| m.term_confirmed).count();
        leader_state
            .reconciliation
            .observe(t, heard, leader_state.workers.commands_sent);
        if leader_state.reconciliation.phase(t) == ReconciliationPhase::Complete
            && !leader_state.reconciliation_logged
        {
            leader_state.reconciliation_logged = true;
            let s = leader_state.workers.reconciled;
            log::info!(
                "recovered term={} stored={} heard={} of={} agreed={} ended_meanwhile={} missing={} strange={} \
                 leftover={} orders={} most_orders_in_1s={} ms={}",
                leader_state.term,
                taken.unconfirmed_placements,
                leader_state.reconciliation.confirmed(),
                taken.machines,
                s.agreed,
                s.finished_meanwhile,
                s.missing,
                s.unknown,
                s.stale,
                leader_state.workers.commands_sent,
                leader_state.reconciliation.commands_per_second_max(),
                leader_state.reconciliation.elapsed_ms(t)
            );
        }
        if taken.logged {
            return;
        }
        if 2 * heard >= taken.machines {
            taken.half_confirmed_at = taken.half_confirmed_at.or(Some(t));
        }
        if 20 * heard >= 19 * taken.machines {
            taken.most_confirmed_at = taken.most_confirmed_at.or(Some(t));
        }
        let started = leader_state.workers.first_start_at;
        let over = t >= taken.elected_at + FAILOVER_LOG_DELAY_MAX;
        if !over && (taken.most_confirmed_at.is_none() || started.is_none()) {
            return;
        }
        taken.logged = true;
        let ms = |at: Option<Micros>| {
            at.map_or("none".to_owned(), |at| {
                (at.saturating_sub(taken.elected_at) / MILLISECOND).to_string()
            })
        };
        let warm = taken.cold_reason.map_or("yes", ColdReason::as_str);
        log::info!(
            "takeover term={} warm={warm} silent_ms={} check_ms={} first_decision_ms={} first_start_ms={} \
             heard_half_ms={} heard_95_ms={} machines={} held={} epoch={}",
            leader_state.term,
            taken.leader_silence / MILLISECOND,
            ms(taken.loaded_at),
            ms(taken.first_pass_at),
            ms(started),
            ms(taken.half_confirmed_at),
            ms(taken.most_confirmed_at),
            taken.machines,
            taken.unconfirmed_placements,
            taken.revision
        );
    }

    /// This process is to end: a leader tells the standbys its last epoch and lets the lead go, so that
    /// nobody waits for the end of its grant.
    pub fn shut_down(&mut self, now: Now) {
        self.set_now(now);
        if self.is_leader() {
            log::info!("leaving the lead, since this process is to end");
            self.announce_checksum();
        }
        self.resign(SHUTDOWN_BACKOFF);
    }

    /// Whether nothing holds this process any more.
    pub fn has_shut_down(&self) -> bool {
        self.election.is_idle()
    }

    /// What the present leader was built from; for tests.
    pub fn load_source(&self) -> Option<LoadSource> {
        let leader_state = self.leader_state.as_ref().filter(|l| l.load.is_none())?;
        Some(LoadSource {
            term: leader_state.term,
            warm: leader_state.failover.cold_reason.is_none(),
            revision: leader_state.failover.revision,
            checksum: leader_state.failover.checksum,
        })
    }

    /// Makes what this node follows wrong in one stamp; for tests of what finds that.
    pub fn corrupt_replica(&mut self) -> bool {
        self.standby.replica.corrupt()
    }

    /// What this node follows, for operators.
    pub(super) fn inspect_standby(&self) -> Value {
        let f = &self.standby;
        let why = if self.leader_state.is_some() {
            Some("leading")
        } else if !self.properties.follow {
            Some("standby.follow=0")
        } else if f.rank.is_none() {
            Some("others follow")
        } else if f.replica.key_count() == 0 {
            Some(f.discard_reason.map_or("not asked yet", ColdReason::as_str))
        } else if !f.replica.is_complete() {
            Some("filling")
        } else if f.verified_revision.is_none() {
            Some("unchecked")
        } else {
            None
        };
        json!({
            "follows": f.rank.is_some().then_some(&f.leader),
            "rank": f.rank,
            "warm": why.is_none(),
            "why_not": why,
            "epoch": f.replica.revision(),
            "keys": f.replica.key_count(),
            "behind_ms": (f.last_read_at > 0).then(|| self.now.steady.saturating_sub(f.last_read_at) / MILLISECOND),
            "checked_epoch": f.verified_revision,
            "thrown_away": f.discarded,
        })
    }
}
