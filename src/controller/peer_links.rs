//! Links to the other controllers: which of them answer, serve clients and reach the leader.
//!
//! [`PeerLinks`] owns everything this node remembers about its peers: the health of each link, who
//! announced that it can serve clients, the leader's own announcement, which leader accepts
//! heartbeat batches, and the calls whose answers are outstanding. It sends nothing itself: the
//! controller makes the calls and reports their outcomes here. Nothing recorded here is proof of
//! leadership; all of it only chooses where a request or a worker goes next.

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::messages::{ConnId, Ticket};
use crate::seeded_hash::HashMap;
use crate::settings::Peer;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// Default time that the answer to a call to another controller is waited for.
pub(super) const PEER_CALL_TIMEOUT: Micros = 1_500 * MILLISECOND;
/// An announcement that a peer serves clients, or a health check of this node by the load
/// balancer, counts for this long.
pub(super) const SERVING_STATUS_TTL: Micros = 3 * SECOND;
/// The leader's announcement of itself takes precedence over the leader key for this long.
const LEADER_HINT_TTL: Micros = 2_500 * MILLISECOND;
/// A leader that announced itself within this time is up and reachable: where it does not answer, it is slow.
const LEADER_ALIVE_WINDOW: Micros = 4 * SECOND;
/// A peer that could not answer a client request for this node is not asked again for this long.
const FORWARDING_BACKOFF: Micros = SECOND;
/// With neither the state service nor another controller answering for this long, a node serves
/// nobody.
const ISOLATION_TIMEOUT: Micros = 3 * SECOND;
/// Interval of the calls that only check whether another controller can be reached.
const LIVENESS_CHECK_INTERVAL: Micros = SECOND;
/// A link over which a call failed is avoided for this long.
const LINK_BACKOFF: Micros = 4 * SECOND;
/// The same while it is in doubt whether the leader at its other end is still alive.
const LINK_BACKOFF_LEADER_UNCERTAIN: Micros = 400 * MILLISECOND;
/// Beyond the leader's lease, a failing link leaves the leader's life in doubt for this long.
const LEADER_LIVENESS_MARGIN: Micros = SECOND / 2;
/// While the leader's host refuses connections from here, one in this many workers is sent to
/// another controller instead of straight to the leader.
const DIRECT_REDIRECT_PERIOD: usize = 4;
/// A leader hands over at most one worker per interval.
const HANDOVER_INTERVAL: Micros = 50 * MILLISECOND;
/// A leader hands workers over only while at least this many peers can take them: the loss of a
/// single one would interrupt all of them at once.
const HANDOVER_PEERS_MIN: usize = 2;
/// Interval at which a leader is asked whether it accepts heartbeat batches.
const BATCH_SUPPORT_RETRY_INTERVAL: Micros = 500 * MILLISECOND;

/// What an answer of another controller is for.
pub(super) enum PeerCallPurpose {
    /// A client's request that this node could not serve.
    ClientRequest { conn: ConnId, peer: SocketAddr },
    /// A worker's heartbeat, forwarded to the leader.
    Heartbeat { conn: ConnId },
    /// Commands that this node delivers to a worker for another controller.
    CommandDelivery { conn: ConnId, ticket: Ticket },
    /// An operator's question that only the leader can answer.
    AdminQuery { conn: ConnId },
    /// What the leader knows of a job's dependencies, to be shown beside the stored record.
    DependencyQuery { conn: ConnId, body: Value },
    /// Whether the leader of that process incarnation accepts heartbeat batches.
    BatchSupport { incarnation: u64 },
    /// Machines that the peer is to probe.
    ProbeAssignment { hosts: Vec<Arc<str>> },
    /// The leader's announcement of progress; a 200 says that the peer can serve clients.
    ProgressAnnouncement { peer: SocketAddr },
    /// Whether any controller can be reached.
    LivenessCheck,
}

/// A frame to another controller.
#[derive(Debug)]
pub(super) struct PeerRequest {
    /// What the frame asks for, one of the `KIND_` constants of [`crate::wire`].
    pub(super) kind: u16,
    /// What it is about; most frames carry the name of the sender.
    pub(super) subject: String,
    /// The payload, in the format of the kind.
    pub(super) body: Vec<u8>,
    /// How long the answer is waited for, in microseconds.
    pub(super) timeout: Micros,
}

impl PeerRequest {
    /// A frame whose answer is waited for as long as [`PEER_CALL_TIMEOUT`].
    pub(super) fn new(kind: u16, subject: impl Into<String>, body: Vec<u8>) -> Self {
        Self {
            kind,
            subject: subject.into(),
            body,
            timeout: PEER_CALL_TIMEOUT,
        }
    }

    /// The same frame with another time to wait for the answer.
    pub(super) fn with_timeout(self, timeout: Micros) -> Self {
        Self { timeout, ..self }
    }
}

/// What one link has shown, by the address of the peer at its other end.
#[derive(Default)]
struct LinkHealth {
    backoff_until: HashMap<SocketAddr, Micros>,
    /// When the peer's host last refused a connection from here.
    refused_at: HashMap<SocketAddr, Micros>,
    /// Since when calls have failed; absent while they succeed.
    failing_since: HashMap<SocketAddr, Micros>,
}

/// The leader by its own announcement, and when that arrived.
struct LeaderHint {
    name: String,
    at: Micros,
}

/// What this node knows about the other controllers.
pub(super) struct PeerLinks {
    peers: Vec<Peer>,
    health: LinkHealth,
    /// Peers that could not answer a client request for this node a moment ago.
    forwarding_backoff_until: HashMap<SocketAddr, Micros>,
    /// When each peer last announced that it can serve clients.
    serving_at: HashMap<SocketAddr, Micros>,
    /// Counts choices between peers, so that they take turns.
    round_robin_counter: usize,
    leader_hint: Option<LeaderHint>,
    /// When any controller last answered or called.
    seen_at: Micros,
    liveness_checked_at: Micros,
    next_handover_at: Micros,
    /// The process incarnation of a leader known to accept heartbeat batches.
    batch_accepting_incarnation: Option<u64>,
    batch_support_asked_at: Micros,
    calls: HashMap<Ticket, PeerCallPurpose>,
}

impl PeerLinks {
    /// Knows the peers of the settings, and nothing about them yet.
    pub(super) fn new(peers: Vec<Peer>) -> Self {
        Self {
            peers,
            health: LinkHealth::default(),
            forwarding_backoff_until: HashMap::default(),
            serving_at: HashMap::default(),
            round_robin_counter: 0,
            leader_hint: None,
            seen_at: 0,
            liveness_checked_at: 0,
            next_handover_at: 0,
            batch_accepting_incarnation: None,
            batch_support_asked_at: 0,
            calls: HashMap::default(),
        }
    }

    /// Whether this node is the only controller.
    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The other controllers, in the order of the settings.
    pub(super) fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// The addresses of the other controllers, in the order of the settings.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.iter().map(|peer| peer.address).collect()
    }

    /// The peer of that name.
    pub(super) fn peer_named(&self, name: &str) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.name == name)
    }

    /// Remembers why a call was made until its answer arrives.
    pub(super) fn register_call(&mut self, ticket: Ticket, purpose: PeerCallPurpose) {
        self.calls.insert(ticket, purpose);
    }

    /// Why the call of that ticket was made, if it is one of these.
    pub(super) fn take_call(&mut self, ticket: Ticket) -> Option<PeerCallPurpose> {
        self.calls.remove(&ticket)
    }

    /// Another controller answered or called.
    pub(super) fn note_peer_seen(&mut self, now: Micros) {
        self.seen_at = now;
    }

    /// Whether no other controller has been seen for so long that, with the state service failing
    /// as well, this node counts as isolated.
    pub(super) fn is_isolated(&self, now: Micros, state_failing_for: Micros) -> bool {
        !self.peers.is_empty()
            && state_failing_for >= ISOLATION_TIMEOUT
            && now >= self.seen_at + ISOLATION_TIMEOUT
    }

    /// Whom to call only to see whether any controller can be reached, taking turns; none while
    /// the state service answers or a controller was seen within the interval.
    pub(super) fn take_liveness_check(
        &mut self,
        now: Micros,
        state_failing_for: Micros,
    ) -> Option<SocketAddr> {
        let last = self.seen_at.max(self.liveness_checked_at);
        let quiet = now >= last + LIVENESS_CHECK_INTERVAL;
        if self.peers.is_empty() || !quiet || state_failing_for < SECOND {
            return None;
        }
        self.liveness_checked_at = now;
        self.round_robin_counter += 1;
        Some(self.peers[self.round_robin_counter % self.peers.len()].address)
    }

    /// A controller that may answer a client request for this node: the leader, or else another
    /// one, taking turns.
    pub(super) fn pick_forwarding_target(
        &mut self,
        now: Micros,
        leader: Option<&str>,
    ) -> Option<SocketAddr> {
        let is_over = |until: Option<&Micros>| until.is_none_or(|until| *until <= now);
        let able = |peer: &&Peer| {
            is_over(self.health.backoff_until.get(&peer.address))
                && is_over(self.forwarding_backoff_until.get(&peer.address))
        };
        let able: Vec<&Peer> = self.peers.iter().filter(able).collect();
        let first = able.iter().find(|peer| Some(&*peer.name) == leader);
        self.round_robin_counter += 1;
        let any = able.get(self.round_robin_counter % able.len().max(1));
        first.or(any).map(|peer| peer.address)
    }

    /// The peer could not answer a client request for this node.
    pub(super) fn note_forwarding_failure(&mut self, now: Micros, peer: SocketAddr) {
        self.forwarding_backoff_until
            .insert(peer, now + FORWARDING_BACKOFF);
    }

    /// The peer announced that it can serve clients.
    pub(super) fn note_serving(&mut self, now: Micros, peer: SocketAddr) {
        self.serving_at.insert(peer, now);
    }

    /// Whether that peer announced a moment ago that it can serve clients.
    pub(super) fn is_serving(&self, now: Micros, peer: SocketAddr) -> bool {
        let at = self.serving_at.get(&peer);
        at.is_some_and(|at| now < at + SERVING_STATUS_TTL)
    }

    /// How many peers announced a moment ago that they can serve clients.
    pub(super) fn serving_count(&self, now: Micros) -> usize {
        let serving = |peer: &&Peer| self.is_serving(now, peer.address);
        self.peers.iter().filter(serving).count()
    }

    /// The node of that name announced itself as the leader.
    pub(super) fn note_leader_hint(&mut self, now: Micros, name: &str) {
        let name = name.to_owned();
        self.leader_hint = Some(LeaderHint { name, at: now });
    }

    /// The leader by its own announcement, while that is fresh.
    pub(super) fn leader_hint(&self, now: Micros) -> Option<&str> {
        let hint = self.leader_hint.as_ref();
        let fresh = hint.filter(|hint| now < hint.at + LEADER_HINT_TTL);
        fresh.map(|hint| &*hint.name)
    }

    /// Whether a leader announced itself so lately that it must be slow where it does not answer.
    pub(super) fn is_leader_recently_announced(&self, now: Micros) -> bool {
        self.leader_hint_at()
            .is_some_and(|at| now < at + LEADER_ALIVE_WINDOW)
    }

    /// When a leader last announced itself, if one ever did.
    pub(super) fn leader_hint_at(&self) -> Option<Micros> {
        self.leader_hint.as_ref().map(|hint| hint.at)
    }

    /// A call over this link failed: the link is avoided for a while. `leader_ttl` is the length
    /// of the leader's lease; `is_leader_slow` says that the leader may still answer the next call.
    pub(super) fn note_link_failure(
        &mut self,
        now: Micros,
        peer: SocketAddr,
        refused: bool,
        leader_ttl: Micros,
        is_leader_slow: bool,
    ) {
        if refused {
            self.health.refused_at.insert(peer, now);
        }
        self.health.failing_since.entry(peer).or_insert(now);
        let avoided_for =
            if is_leader_slow || self.is_leader_liveness_uncertain(now, peer, leader_ttl) {
                LINK_BACKOFF_LEADER_UNCERTAIN
            } else {
                LINK_BACKOFF
            };
        self.health.backoff_until.insert(peer, now + avoided_for);
    }

    /// A call over this link was answered.
    pub(super) fn note_link_answer(&mut self, now: Micros, peer: SocketAddr) {
        self.note_peer_seen(now);
        self.health.failing_since.remove(&peer);
        self.health.refused_at.remove(&peer);
    }

    /// Whether the link is avoided after a failure.
    pub(super) fn is_link_in_backoff(&self, now: Micros, peer: SocketAddr) -> bool {
        let until = self.health.backoff_until.get(&peer);
        until.is_some_and(|until| *until > now)
    }

    /// Whether a leader behind this link may have ended: the link has failed for no longer than a
    /// lease lives, so its successor will be known in a moment. After that the link is at fault,
    /// and another controller may reach the leader.
    pub(super) fn is_leader_liveness_uncertain(
        &self,
        now: Micros,
        leader: SocketAddr,
        leader_ttl: Micros,
    ) -> bool {
        let since = self.health.failing_since.get(&leader);
        since.is_some_and(|since| now < since + leader_ttl + LEADER_LIVENESS_MARGIN)
    }

    /// Where a worker goes whose heartbeat this node can't pass to the leader; none if no
    /// controller is known that may reach it.
    ///
    /// Another controller may reach the leader. Where the leader's own host refuses connections
    /// from here the leader is up, and workers reach it by another way than this node does: they
    /// go straight to it. Sent around among controllers that are all refused, they would open a
    /// new connection to each, and a packet filter that stays for longer than a lease would cost
    /// every task. Now and then another controller is tried all the same.
    pub(super) fn take_redirect_target(&mut self, now: Micros, leader: &str) -> Option<String> {
        let address = self.peer_named(leader).map(|peer| peer.address);
        let refused_at = address.and_then(|address| self.health.refused_at.get(&address));
        let refuses = refused_at.is_some_and(|at| now < at + 2 * LINK_BACKOFF);
        self.round_robin_counter += 1;
        if refuses && self.round_robin_counter % DIRECT_REDIRECT_PERIOD != 0 {
            return Some(leader.to_owned());
        }
        let able =
            |peer: &&Peer| peer.name != leader && !self.is_link_in_backoff(now, peer.address);
        let others: Vec<&Peer> = self.peers.iter().filter(able).collect();
        // Taking turns, so that not all workers crowd at one controller.
        let target = others.get(self.round_robin_counter % others.len().max(1));
        target.map(|peer| peer.name.clone())
    }

    /// Whether the interval since the last handover of a worker is over.
    pub(super) fn is_handover_due(&self, now: Micros) -> bool {
        now >= self.next_handover_at
    }

    /// Whether a worker may be handed back to the leader now; counts as a handover.
    pub(super) fn try_return_to_leader(&mut self, now: Micros) -> bool {
        let due = self.is_handover_due(now);
        if due {
            self.next_handover_at = now + HANDOVER_INTERVAL;
        }
        due
    }

    /// The peer that the next worker is handed to, if enough peers can take workers.
    pub(super) fn take_handover_target(&mut self, now: Micros) -> Option<String> {
        let able = |peer: &&Peer| {
            self.is_serving(now, peer.address) && !self.is_link_in_backoff(now, peer.address)
        };
        let others: Vec<&Peer> = self.peers.iter().filter(able).collect();
        if others.len() < HANDOVER_PEERS_MIN {
            return None;
        }
        let name = others
            .get(self.round_robin_counter % others.len())?
            .name
            .clone();
        self.round_robin_counter += 1;
        self.next_handover_at = now + HANDOVER_INTERVAL;
        Some(name)
    }

    /// Whether the leader of that process incarnation is known to accept heartbeat batches.
    pub(super) fn accepts_batches(&self, incarnation: u64) -> bool {
        self.batch_accepting_incarnation == Some(incarnation)
    }

    /// The leader of that process incarnation accepts heartbeat batches.
    pub(super) fn note_batch_support(&mut self, incarnation: u64) {
        self.batch_accepting_incarnation = Some(incarnation);
    }

    /// Whether the leader should be asked now if it accepts heartbeat batches; counts as asked.
    pub(super) fn take_batch_support_query(&mut self, now: Micros) -> bool {
        let due = now >= self.batch_support_asked_at + BATCH_SUPPORT_RETRY_INTERVAL;
        if due {
            self.batch_support_asked_at = now;
        }
        due
    }
}
