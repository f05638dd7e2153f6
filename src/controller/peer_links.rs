//! Links to the other controllers: which peers answer, serve clients and reach the leader.
//!
//! [`PeerLinks`] owns everything that this node remembers about its peers: the health of each link,
//! which peers reported that they can serve clients, the leader's own announcement, which leader
//! accepts heartbeat batches, and the calls that are still unanswered. It sends nothing itself: the
//! controller makes the calls and reports their outcomes here. Nothing recorded here proves
//! leadership; it is only used to choose where to send a request or a worker.

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::messages::{ConnId, Ticket};
use crate::seeded_hash::HashMap;
use crate::settings::Peer;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// Default timeout of a call to another controller.
pub(super) const PEER_CALL_TIMEOUT: Micros = 1_500 * MILLISECOND;
/// How long a peer's report that it can serve clients stays valid, and likewise a health check of
/// this node by the load balancer.
pub(super) const SERVING_STATUS_TTL: Micros = 3 * SECOND;
/// How long the leader's announcement of itself takes precedence over the leader key.
const LEADER_HINT_TTL: Micros = 2_500 * MILLISECOND;
/// A leader that announced itself within this time is assumed to be running and reachable; if it
/// does not answer a call, it is slow.
const LEADER_ALIVE_WINDOW: Micros = 4 * SECOND;
/// After a peer failed to answer a forwarded client request, this node forwards none to it for this
/// long.
const FORWARDING_BACKOFF: Micros = SECOND;
/// A node that has had no answer from the state service or any other controller for this long serves
/// neither clients nor workers.
const ISOLATION_TIMEOUT: Micros = 3 * SECOND;
/// Interval of the calls that only check whether another controller can be reached.
const LIVENESS_CHECK_INTERVAL: Micros = SECOND;
/// How long a link is not used after a call over it failed.
const LINK_BACKOFF: Micros = 4 * SECOND;
/// The same for a link to the leader, while it is uncertain whether the leader is still running.
const LINK_BACKOFF_LEADER_UNCERTAIN: Micros = 400 * MILLISECOND;
/// After the link to the leader fails, it is uncertain whether the leader is still running until its
/// lease and this margin have passed.
const LEADER_LIVENESS_MARGIN: Micros = SECOND / 2;
/// While the leader's host refuses connections from this node, one in this many workers is
/// redirected to another controller instead of directly to the leader.
const DIRECT_REDIRECT_PERIOD: usize = 4;
/// A leader hands over at most one worker to another controller per interval.
const HANDOVER_INTERVAL: Micros = 50 * MILLISECOND;
/// A leader hands workers over only while at least this many peers can take them: with a single
/// peer, its failure would interrupt all of these workers at once.
const HANDOVER_PEERS_MIN: usize = 2;
/// Interval of the queries to a leader whether it accepts heartbeat batches.
const BATCH_SUPPORT_RETRY_INTERVAL: Micros = 500 * MILLISECOND;

/// Why this node called another controller, which decides how it handles the answer.
pub(super) enum PeerCallPurpose {
    /// A client's request that this node could not serve.
    ClientRequest { conn: ConnId, peer: SocketAddr },
    /// A worker's heartbeat, forwarded to the leader.
    Heartbeat { conn: ConnId },
    /// Commands that this node delivers to a worker for another controller. The call goes to the
    /// worker; its answer is returned to that controller.
    CommandDelivery { conn: ConnId, ticket: Ticket },
    /// An operator's request that only the leader can answer.
    AdminQuery { conn: ConnId },
    /// A query for what the leader knows about a job's dependencies; `body` is the stored record,
    /// to which the answer is added.
    DependencyQuery { conn: ConnId, body: Value },
    /// A query whether the leader with this process incarnation accepts heartbeat batches.
    BatchSupport { incarnation: u64 },
    /// Machines that the peer is assigned to probe.
    ProbeAssignment { hosts: Vec<Arc<str>> },
    /// The leader's announcement of progress; status 200 means that the peer can serve clients.
    ProgressAnnouncement { peer: SocketAddr },
    /// A call whose only purpose is to reach any other controller, or whose answer does not matter.
    LivenessCheck,
}

/// A frame to send to another controller.
#[derive(Debug)]
pub(super) struct PeerRequest {
    /// The kind of the request, one of the `KIND_` constants of [`crate::wire`].
    pub(super) kind: u16,
    /// The sender's name for most kinds; for others a request line, a path or a worker's address.
    pub(super) subject: String,
    /// The payload, in the format of the kind.
    pub(super) body: Vec<u8>,
    /// How long this node waits for the answer, in microseconds.
    pub(super) timeout: Micros,
}

impl PeerRequest {
    /// Creates a request with the timeout [`PEER_CALL_TIMEOUT`].
    pub(super) fn new(kind: u16, subject: impl Into<String>, body: Vec<u8>) -> Self {
        Self {
            kind,
            subject: subject.into(),
            body,
            timeout: PEER_CALL_TIMEOUT,
        }
    }

    /// The same request with another timeout.
    pub(super) fn with_timeout(self, timeout: Micros) -> Self {
        Self { timeout, ..self }
    }
}

/// The health of the links, by the address of the peer.
#[derive(Default)]
struct LinkHealth {
    /// When the backoff after a failed call ends.
    backoff_until: HashMap<SocketAddr, Micros>,
    /// When the peer's host last refused a connection from this node.
    refused_at: HashMap<SocketAddr, Micros>,
    /// When calls began to fail; absent while they succeed.
    failing_since: HashMap<SocketAddr, Micros>,
}

/// The leader's announcement of itself.
struct LeaderHint {
    /// Name of the leader's node.
    name: String,
    arrived_at: Micros,
}

/// What this node knows about the other controllers.
pub(super) struct PeerLinks {
    peers: Vec<Peer>,
    health: LinkHealth,
    /// Until when no client requests are forwarded to a peer that failed to answer one.
    forwarding_backoff_until: HashMap<SocketAddr, Micros>,
    /// When each peer last reported that it can serve clients.
    serving_at: HashMap<SocketAddr, Micros>,
    /// Incremented with each choice between peers, for a round-robin choice.
    round_robin_counter: usize,
    leader_hint: Option<LeaderHint>,
    /// When any other controller last answered or called this node.
    seen_at: Micros,
    liveness_checked_at: Micros,
    next_handover_at: Micros,
    /// The process incarnation of a leader known to accept heartbeat batches.
    batch_accepting_incarnation: Option<u64>,
    batch_support_asked_at: Micros,
    calls: HashMap<Ticket, PeerCallPurpose>,
}

impl PeerLinks {
    /// Creates the links to the peers of the settings, about which nothing is known yet.
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

    /// The peer with this name.
    pub(super) fn peer_named(&self, name: &str) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.name == name)
    }

    /// Remembers why a call was made until its answer arrives.
    pub(super) fn register_call(&mut self, ticket: Ticket, purpose: PeerCallPurpose) {
        self.calls.insert(ticket, purpose);
    }

    /// Removes and returns the purpose of the call with this ticket, if the call was registered here.
    pub(super) fn take_call(&mut self, ticket: Ticket) -> Option<PeerCallPurpose> {
        self.calls.remove(&ticket)
    }

    /// Records that another controller answered or called this node.
    pub(super) fn note_peer_seen(&mut self, now: Micros) {
        self.seen_at = now;
    }

    /// Whether this node counts as isolated: for [`ISOLATION_TIMEOUT`], the state service has failed
    /// and no other controller has answered or called.
    pub(super) fn is_isolated(&self, now: Micros, state_failing_for: Micros) -> bool {
        !self.peers.is_empty()
            && state_failing_for >= ISOLATION_TIMEOUT
            && now >= self.seen_at + ISOLATION_TIMEOUT
    }

    /// The next peer to call only to see whether any controller is reachable, chosen round-robin.
    /// Returns `None` while the state service answers, or if a controller answered or was checked
    /// within the last [`LIVENESS_CHECK_INTERVAL`].
    pub(super) fn take_liveness_check(
        &mut self,
        now: Micros,
        state_failing_for: Micros,
    ) -> Option<SocketAddr> {
        let last = self.seen_at.max(self.liveness_checked_at);
        let is_due = now >= last + LIVENESS_CHECK_INTERVAL;
        if self.peers.is_empty() || !is_due || state_failing_for < SECOND {
            return None;
        }
        self.liveness_checked_at = now;
        self.round_robin_counter += 1;
        Some(self.peers[self.round_robin_counter % self.peers.len()].address)
    }

    /// The peer to which a client request is forwarded: the leader, or else one chosen round-robin.
    /// Peers in backoff are left out.
    pub(super) fn pick_forwarding_target(
        &mut self,
        now: Micros,
        leader: Option<&str>,
    ) -> Option<SocketAddr> {
        let is_over = |until: Option<&Micros>| until.is_none_or(|until| *until <= now);
        let is_available = |peer: &&Peer| {
            is_over(self.health.backoff_until.get(&peer.address))
                && is_over(self.forwarding_backoff_until.get(&peer.address))
        };
        let available: Vec<&Peer> = self.peers.iter().filter(is_available).collect();
        let leader_peer = available.iter().find(|peer| Some(&*peer.name) == leader);
        self.round_robin_counter += 1;
        let any_peer = available.get(self.round_robin_counter % available.len().max(1));
        leader_peer.or(any_peer).map(|peer| peer.address)
    }

    /// Records that the peer failed to answer a client request that this node forwarded.
    pub(super) fn note_forwarding_failure(&mut self, now: Micros, peer: SocketAddr) {
        self.forwarding_backoff_until
            .insert(peer, now + FORWARDING_BACKOFF);
    }

    /// Records the peer's report that it can serve clients.
    pub(super) fn note_serving(&mut self, now: Micros, peer: SocketAddr) {
        self.serving_at.insert(peer, now);
    }

    /// Whether the peer reported within [`SERVING_STATUS_TTL`] that it can serve clients.
    pub(super) fn is_serving(&self, now: Micros, peer: SocketAddr) -> bool {
        let reported_at = self.serving_at.get(&peer);
        reported_at.is_some_and(|reported_at| now < reported_at + SERVING_STATUS_TTL)
    }

    /// How many peers reported within [`SERVING_STATUS_TTL`] that they can serve clients.
    pub(super) fn serving_count(&self, now: Micros) -> usize {
        let serving = |peer: &&Peer| self.is_serving(now, peer.address);
        self.peers.iter().filter(serving).count()
    }

    /// Records that the node with this name announced itself as the leader.
    pub(super) fn note_leader_hint(&mut self, now: Micros, name: &str) {
        let name = name.to_owned();
        self.leader_hint = Some(LeaderHint {
            name,
            arrived_at: now,
        });
    }

    /// The name of the leader that announced itself within the last [`LEADER_HINT_TTL`].
    pub(super) fn leader_hint(&self, now: Micros) -> Option<&str> {
        let hint = self.leader_hint.as_ref();
        let fresh = hint.filter(|hint| now < hint.arrived_at + LEADER_HINT_TTL);
        fresh.map(|hint| &*hint.name)
    }

    /// Whether a leader announced itself within the last [`LEADER_ALIVE_WINDOW`], so that it must be
    /// slow if it does not answer.
    pub(super) fn is_leader_recently_announced(&self, now: Micros) -> bool {
        self.leader_hint_at()
            .is_some_and(|at| now < at + LEADER_ALIVE_WINDOW)
    }

    /// When a leader last announced itself, if one ever did.
    pub(super) fn leader_hint_at(&self) -> Option<Micros> {
        self.leader_hint.as_ref().map(|hint| hint.arrived_at)
    }

    /// Records that a call over this link failed, which starts the link's backoff. `refused` tells
    /// that the peer's host refused the connection, `leader_ttl` is the TTL of the leader's lease,
    /// and `is_leader_slow` tells that the leader may still answer the next call.
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
        let backoff = if is_leader_slow || self.is_leader_liveness_uncertain(now, peer, leader_ttl)
        {
            LINK_BACKOFF_LEADER_UNCERTAIN
        } else {
            LINK_BACKOFF
        };
        self.health.backoff_until.insert(peer, now + backoff);
    }

    /// Records that a call over this link was answered.
    pub(super) fn note_link_answer(&mut self, now: Micros, peer: SocketAddr) {
        self.note_peer_seen(now);
        self.health.failing_since.remove(&peer);
        self.health.refused_at.remove(&peer);
    }

    /// Whether the link is in backoff after a failed call.
    pub(super) fn is_link_in_backoff(&self, now: Micros, peer: SocketAddr) -> bool {
        let until = self.health.backoff_until.get(&peer);
        until.is_some_and(|until| *until > now)
    }

    /// Whether the leader at this address may have stopped: calls have failed for less than the TTL
    /// of its lease and a margin. If it has stopped, its successor is known after that time;
    /// otherwise the link is at fault, and another controller may reach the leader.
    pub(super) fn is_leader_liveness_uncertain(
        &self,
        now: Micros,
        leader: SocketAddr,
        leader_ttl: Micros,
    ) -> bool {
        let since = self.health.failing_since.get(&leader);
        since.is_some_and(|since| now < since + leader_ttl + LEADER_LIVENESS_MARGIN)
    }

    /// The controller to which a worker is redirected when this node can't forward its heartbeat to
    /// the leader; `None` if there is no other controller that may reach the leader.
    ///
    /// If the leader's host refuses connections from this node, the leader is running, and workers
    /// may reach it over another network path, so most of them are redirected to the leader itself.
    /// Redirected in circles between controllers that are all refused, they would open a new
    /// connection to each; a packet filter that stays for longer than a lease would then cost all
    /// tasks. One in [`DIRECT_REDIRECT_PERIOD`] workers is still redirected to another controller.
    pub(super) fn take_redirect_target(&mut self, now: Micros, leader: &str) -> Option<String> {
        let address = self.peer_named(leader).map(|peer| peer.address);
        let refused_at = address.and_then(|address| self.health.refused_at.get(&address));
        let leader_refuses = refused_at.is_some_and(|at| now < at + 2 * LINK_BACKOFF);
        self.round_robin_counter += 1;
        if leader_refuses && self.round_robin_counter % DIRECT_REDIRECT_PERIOD != 0 {
            return Some(leader.to_owned());
        }
        let is_available =
            |peer: &&Peer| peer.name != leader && !self.is_link_in_backoff(now, peer.address);
        let others: Vec<&Peer> = self.peers.iter().filter(is_available).collect();
        // Round-robin, so that the workers do not all go to one controller.
        let target = others.get(self.round_robin_counter % others.len().max(1));
        target.map(|peer| peer.name.clone())
    }

    /// Whether [`HANDOVER_INTERVAL`] has passed since the last handover of a worker.
    pub(super) fn is_handover_due(&self, now: Micros) -> bool {
        now >= self.next_handover_at
    }

    /// Whether a worker may be returned to the leader now; if so, this counts as a handover.
    pub(super) fn try_return_to_leader(&mut self, now: Micros) -> bool {
        let is_due = self.is_handover_due(now);
        if is_due {
            self.next_handover_at = now + HANDOVER_INTERVAL;
        }
        is_due
    }

    /// The peer to which the next worker is handed over, chosen round-robin; `None` unless at least
    /// [`HANDOVER_PEERS_MIN`] peers can take workers. Counts as a handover.
    pub(super) fn take_handover_target(&mut self, now: Micros) -> Option<String> {
        let is_available = |peer: &&Peer| {
            self.is_serving(now, peer.address) && !self.is_link_in_backoff(now, peer.address)
        };
        let available: Vec<&Peer> = self.peers.iter().filter(is_available).collect();
        if available.len() < HANDOVER_PEERS_MIN {
            return None;
        }
        let name = available
            .get(self.round_robin_counter % available.len())?
            .name
            .clone();
        self.round_robin_counter += 1;
        self.next_handover_at = now + HANDOVER_INTERVAL;
        Some(name)
    }

    /// Whether the leader with this process incarnation is known to accept heartbeat batches.
    pub(super) fn accepts_batches(&self, incarnation: u64) -> bool {
        self.batch_accepting_incarnation == Some(incarnation)
    }

    /// Records that the leader with this process incarnation accepts heartbeat batches.
    pub(super) fn note_batch_support(&mut self, incarnation: u64) {
        self.batch_accepting_incarnation = Some(incarnation);
    }

    /// Whether to ask the leader now if it accepts heartbeat batches; if so, this counts as a query.
    pub(super) fn take_batch_support_query(&mut self, now: Micros) -> bool {
        let is_due = now >= self.batch_support_asked_at + BATCH_SUPPORT_RETRY_INTERVAL;
        if is_due {
            self.batch_support_asked_at = now;
        }
        is_due
    }
}
