//! Sockets on one `calloop` event loop: HTTP/1.1 as server and client, frames between controllers, timeouts, and
//! caps on connections.
//!
//! [`Net`] owns the connections, the calls in flight and the inputs that wait. It knows nothing of jobs or leaders:
//! what it takes in goes out as [`Input`], and what it is to send comes as [`Output`]. Every call that it accepts ends
//! with exactly one [`Input::Outcome`].

mod frames;
mod http;

use crate::clock::{Micros, SECOND};
use crate::input_queue::InputQueue;
use crate::load_shedding::{ConnectionPressure, ShedLevel};
use crate::messages::{ConnId, Dest, Input, Outcome, Output, Ticket};
use crate::request_starvation::RequestStarvation;
use crate::seeded_hash::HashMap;
use crate::wire::{FRAME_LOST, FRAME_NOT_SENT, KIND_ANSWER, REQUEST_BODY_BYTES_MAX};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use frames::OutgoingFrame;
use rustix::io::Errno;
use rustix::net::{SocketFlags, accept_with};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// The largest response taken from another system, in bytes; the answer to a watch has no limit of its own.
const RESPONSE_BYTES_MAX: usize = 16 << 20;
/// The largest head of a request or response, in bytes.
const HTTP_HEAD_BYTES_MAX: usize = 16 * 1024;
/// Time for a request to arrive completely, and for its sender to take the answer.
const REQUEST_TIMEOUT: Micros = 10 * SECOND;
/// An idle connection to this node is closed after this time.
const SERVER_IDLE_TIMEOUT: Micros = 90 * SECOND;
/// An idle connection of this node's own calls is closed after this time.
const CLIENT_IDLE_TIMEOUT: Micros = 45 * SECOND;
/// Time for a connection to be established.
const CONNECT_TIMEOUT: Micros = SECOND;
/// This many calls in a row without an answer close a link between controllers.
const LINK_MISSED_ANSWERS_MAX: u32 = 8;
/// The owner of a connection that was idle for this many heartbeat periods is gone.
const IDLE_PEER_GONE_PERIODS: Micros = 2;
/// The same where the heartbeat period is not known.
const IDLE_PEER_GONE_AFTER: Micros = 16 * SECOND;
/// With this share of its connections in use a node takes no more workers.
const HIGH_PRESSURE_SHARE: f64 = 0.9;
/// With this share of its connections in use a node hands workers back to the leader.
const CRITICAL_PRESSURE_SHARE: f64 = 0.95;
/// The most connections accepted per event of a listening socket.
const ACCEPTS_PER_EVENT: usize = 32;
/// A link with more unsent bytes than this is closed.
const PENDING_OUTPUT_BYTES_MAX: usize = 4 << 20;
/// The share of the connections to this node that clients may have while workers need the others.
const CLIENT_CONNS_SHARE: f64 = 0.6;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    Server,
    PeerServer,
    Client(Dest),
}

struct Conn {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    role: Role,
    connected: bool,
    refused: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// The calls an answer is due for (HTTP: one at a time).
    waiting_calls: Vec<Ticket>,
    /// A request was handed on and its answer is not written yet.
    busy: bool,
    /// At least one request has been answered on it.
    served: bool,
    /// The other end is a user (or an operator), by its last request.
    user: bool,
    /// Answers in a row on it that sent its user away.
    refusals_in_row: u8,
    close_after: bool,
    /// Calls over a link between controllers that got no answer in time since the last that did.
    missed_answers: u32,
    /// When it is closed unless something happens first.
    deadline: Micros,
    /// Since when it rests between two requests.
    idle_since: Option<Micros>,
}

impl Conn {
    /// Whether its last request is answered and nothing of the next has come.
    fn is_idle(&self) -> bool {
        self.role == Role::Server
            && self.served
            && !self.busy
            && !self.close_after
            && self.input.is_empty()
            && self.output.is_empty()
    }
}

struct Call {
    dest: Dest,
    conn: ConnId,
    deadline: Micros,
}

/// The sockets of this process, and what is under way on them.
pub struct Net {
    handle: LoopHandle<'static, Net>,
    now: Micros,
    conns: HashMap<ConnId, Conn>,
    calls: HashMap<Ticket, Call>,
    deadlines: BTreeSet<(Micros, Ticket)>,
    conn_deadlines: BTreeSet<(Micros, ConnId)>,
    /// The connections to us that rest between two requests, and since when.
    idle_since_order: BTreeSet<(Micros, ConnId)>,
    /// Who has not come again for so long is gone.
    idle_peer_gone_after: Micros,
    idle: HashMap<Dest, Vec<ConnId>>,
    next_conn: ConnId,
    server_conns: usize,
    server_conns_max: usize,
    client_conns_max: usize,
    /// Up to that many in all, our own calls may keep more connections than their part.
    lent_conns_max: usize,
    /// What was taken from the sockets, until it is handed on.
    inputs: InputQueue,
    /// How many connections are users'.
    user_conns: usize,
    shed_level: ShedLevel,
    retry_after: u32,
    isolated: bool,
    /// How many client requests were refused unparsed.
    pub refused_requests: u64,
    /// What those were about.
    starvation: RequestStarvation,
    /// What the sockets did since this was last taken.
    pub traffic: Traffic,
}

/// What the sockets did, for the log line on loop timing: nearly each of these is a system call, and these cost as
/// much as what they carry (`docs/cost.md`).
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Events of sockets.
    pub events: u64,
    /// Connections accepted.
    pub accepted: u64,
    /// Idle connections closed to make room for those.
    pub evicted: u64,
    /// Connections opened for this node's own calls.
    pub connected: u64,
    /// Reads from sockets.
    pub reads: u64,
    /// Writes to sockets.
    pub writes: u64,
    /// Complete HTTP requests received.
    pub requests: u64,
    /// Complete frames of other controllers received.
    pub frames: u64,
}

impl std::fmt::Display for Traffic {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Traffic {
            events,
            accepted,
            evicted,
            connected,
            reads,
            writes,
            requests,
            frames,
        } = self;
        write!(
            f,
            "{events} ready, {accepted} accepted, {evicted} evicted, {connected} connected, {reads} reads, {writes} writes, \
             {requests} requests, {frames} frames"
        )
    }
}

impl Net {
    /// Without sockets yet. Of `max_connections`, two thirds are for connections to this node.
    pub fn new(handle: LoopHandle<'static, Net>, max_connections: usize) -> Self {
        Self {
            handle,
            now: 0,
            conns: HashMap::default(),
            calls: HashMap::default(),
            deadlines: BTreeSet::new(),
            conn_deadlines: BTreeSet::new(),
            idle_since_order: BTreeSet::new(),
            idle_peer_gone_after: IDLE_PEER_GONE_AFTER,
            idle: HashMap::default(),
            next_conn: 1,
            server_conns: 0,
            // The rest is for our own calls: state, cloud, workers, peers.
            server_conns_max: max_connections * 2 / 3,
            client_conns_max: max_connections / 3 - max_connections / 50,
            lent_conns_max: max_connections * 4 / 5,
            inputs: InputQueue::default(),
            user_conns: 0,
            shed_level: ShedLevel::Nothing,
            retry_after: 1,
            isolated: false,
            refused_requests: 0,
            starvation: RequestStarvation::default(),
            traffic: Traffic::default(),
        }
    }

    /// Opens a listening socket: for frames of other controllers if `peers`, else for HTTP.
    ///
    /// # Errors
    ///
    /// If the socket can't be opened or bound.
    pub fn listen(&mut self, addr: SocketAddr, peers: bool) -> std::io::Result<()> {
        let kind = Type::STREAM.nonblocking();
        let socket = Socket::new(Domain::for_address(addr), kind, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        // Connections inherit it from here, which spares a call of the system for each.
        socket.set_tcp_nodelay(true)?;
        socket.bind(&SockAddr::from(addr))?;
        socket.listen(1024)?;
        let listener: TcpListener = socket.into();
        let role = if peers {
            Role::PeerServer
        } else {
            Role::Server
        };
        self.handle
            .insert_source(
                Generic::new(listener, Interest::READ, Mode::Level),
                move |_, listener, net: &mut Net| {
                    net.accept(listener, role);
                    Ok(PostAction::Continue)
                },
            )
            .map_err(|e| std::io::Error::other(e.to_string()))?;
        Ok(())
    }

    /// Sets whether this node can serve nobody. The connections of clients that it tells so are closed, since they
    /// would otherwise return here.
    pub fn set_isolated(&mut self, isolated: bool) {
        self.isolated = isolated;
    }

    /// Sets which client requests are refused unparsed, and after how many seconds they may be retried.
    pub fn set_shed_level(&mut self, shed: ShedLevel, retry_after: u32) {
        (self.shed_level, self.retry_after) = (shed, retry_after);
    }

    /// Sets how often a worker sends a heartbeat.
    pub fn set_heartbeat_period(&mut self, period: Micros) {
        self.idle_peer_gone_after = IDLE_PEER_GONE_PERIODS * period;
    }

    /// How many of the connections that others may have to this node are in use.
    pub fn connection_pressure(&self) -> ConnectionPressure {
        let taken = self.server_conns as f64 / self.server_conns_max.max(1) as f64;
        match taken {
            taken if taken > CRITICAL_PRESSURE_SHARE => ConnectionPressure::Critical,
            taken if taken > HIGH_PRESSURE_SHARE => ConnectionPressure::High,
            _ => ConnectionPressure::Low,
        }
    }

    /// Sets the time. What arrived since it was last set counts as having arrived now.
    pub fn set_now(&mut self, now: Micros) {
        self.now = now;
        self.inputs.set_now(now);
    }

    /// How long the input that has waited longest has done so, in microseconds.
    pub fn longest_wait(&self) -> Micros {
        self.inputs.longest_wait()
    }

    /// The next input that precedes heartbeats.
    pub fn next_urgent(&mut self) -> Option<Input> {
        let conns = &self.conns;
        self.inputs.next_urgent(|input| awaited(conns, input))
    }

    /// The next input of any kind.
    pub fn next_input(&mut self) -> Option<Input> {
        let conns = &self.conns;
        self.inputs.next(|input| awaited(conns, input))
    }

    /// Whether any input waits.
    pub fn has_input(&self) -> bool {
        !self.inputs.is_empty()
    }

    fn push_input(&mut self, input: Input) {
        self.inputs.push(input);
    }

    /// When [`Net::expire`] next has something to do.
    pub fn next_deadline(&self) -> Option<Micros> {
        let calls = self.deadlines.first().map(|d| d.0);
        let conns = self.conn_deadlines.first().map(|d| d.0);
        calls.into_iter().chain(conns).min()
    }

    /// Ends calls and connections that have timed out.
    pub fn expire(&mut self) {
        while let Some(&(at, ticket)) = self.deadlines.first() {
            if at > self.now {
                break;
            }
            self.deadlines.remove(&(at, ticket));
            if let Some(call) = self.calls.get(&ticket) {
                let (conn, dest) = (call.conn, call.dest);
                let connected = self.conns.get(&conn).is_some_and(|c| c.connected);
                if connected && matches!(dest, Dest::Peer(_)) {
                    // Other calls share the link, and answers carry their tickets: it stays. Were
                    // it closed, one slow answer would end as lost all that wait on it, and send
                    // all their workers elsewhere. A link that stays silent is closed below.
                    if let Some(c) = self.conns.get_mut(&conn) {
                        c.waiting_calls.retain(|t| *t != ticket);
                        c.missed_answers += 1;
                    }
                    self.finish(ticket, Outcome::Lost);
                    if self
                        .conns
                        .get(&conn)
                        .is_some_and(|c| c.missed_answers < LINK_MISSED_ANSWERS_MAX)
                    {
                        continue;
                    }
                }
                // The answer to this call must not be taken for that of the next.
                self.close(conn);
            }
        }
        while let Some(&(at, id)) = self.conn_deadlines.first() {
            if at > self.now {
                break;
            }
            self.close(id);
        }
    }

    fn accept(&mut self, listener: &TcpListener, role: Role) {
        // The listener tells again what is left: when a controller ends, some five hundred workers come at
        // once, and were all of them taken first, the users who wait would be answered after them.
        for _ in 0..ACCEPTS_PER_EVENT {
            // Not blocking from the start: that again is a call of the system less.
            let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
            match accept_with(listener, flags) {
                Ok(stream) => {
                    let stream = TcpStream::from(stream);
                    // At the cap a connection that rests has to go: after a pause or a cut many are left
                    // over whose other ends are gone. Were the new one refused instead, workers
                    // would not get through until their leases are over.
                    if self.server_conns >= self.server_conns_max && !self.close_idle_server() {
                        continue;
                    }
                    // What our calls keep beyond their part is only lent. An own day on which all workers
                    // came to the leader had it at the cap but for a dozen before.
                    if self.client_conns() > self.client_conns_max
                        && self.conns.len() >= self.lent_conns_max
                    {
                        self.close_idle_client();
                    }
                    self.traffic.accepted += 1;
                    let limit = if role == Role::Server {
                        REQUEST_TIMEOUT
                    } else {
                        SERVER_IDLE_TIMEOUT
                    };
                    if self.add(stream, role, true, limit).is_some() {
                        self.server_conns += 1;
                    }
                }
                Err(Errno::INTR) => {}
                Err(_) => return,
            }
        }
    }

    /// How many connections are our own calls'.
    fn client_conns(&self) -> usize {
        self.conns.len() - self.server_conns
    }

    /// Closes an idle connection of this node's own calls: a thousand workers may each have one.
    fn close_idle_client(&mut self) {
        let resting = |d: &&Dest| matches!(d, Dest::Http(_));
        let found = self.idle.iter().find(|(d, l)| resting(d) && !l.is_empty());
        if let Some(id) = found.and_then(|(_, l)| l.first().copied()) {
            self.close(id);
        }
    }

    /// Closes an idle connection to this node; false if there is none. One idle for longer than the owner of a live
    /// one would leave it goes first. After those goes the one idle for the shortest time: callers come in turn, so it
    /// is needed last. Were the one idle longest closed, as in a cache whose use has no period, a few callers too
    /// many would cost each caller its connection just before it is used again, and every request would need a
    /// new one, for ever.
    fn close_idle_server(&mut self) -> bool {
        let oldest = self.idle_since_order.first();
        let gone = oldest.filter(|(since, _)| self.now >= since + self.idle_peer_gone_after);
        let found = gone.or(self.idle_since_order.last()).map(|r| r.1);
        if let Some(id) = found {
            self.traffic.evicted += 1;
            self.close(id);
        }
        found.is_some()
    }

    /// Notes whether a connection to this node is idle now.
    fn note_idle(&mut self, id: ConnId) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        match (c.is_idle(), c.idle_since) {
            (true, None) => {
                c.idle_since = Some(self.now);
                self.idle_since_order.insert((self.now, id));
            }
            (false, Some(since)) => {
                c.idle_since = None;
                self.idle_since_order.remove(&(since, id));
            }
            _ => {}
        }
    }

    fn add(
        &mut self,
        stream: TcpStream,
        role: Role,
        connected: bool,
        limit: Micros,
    ) -> Option<ConnId> {
        let id = self.next_conn;
        self.next_conn += 1;
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = self
            .handle
            .insert_source(source, move |readiness, _, net: &mut Net| {
                net.ready(id, readiness);
                Ok(PostAction::Continue)
            })
            .ok()?;
        let deadline = self.now + limit;
        self.conn_deadlines.insert((deadline, id));
        self.conns.insert(
            id,
            Conn {
                stream,
                token,
                role,
                connected,
                refused: false,
                input: Vec::new(),
                output: Vec::new(),
                written: 0,
                waiting_calls: Vec::new(),
                busy: false,
                served: false,
                user: false,
                refusals_in_row: 0,
                close_after: false,
                missed_answers: 0,
                deadline,
                idle_since: None,
            },
        );
        Some(id)
    }

    fn set_deadline(&mut self, id: ConnId, at: Micros) {
        if let Some(c) = self.conns.get_mut(&id) {
            self.conn_deadlines.remove(&(c.deadline, id));
            c.deadline = at;
            self.conn_deadlines.insert((at, id));
        }
    }

    fn close(&mut self, id: ConnId) {
        let Some(c) = self.conns.remove(&id) else {
            return;
        };
        self.handle.remove(c.token);
        self.conn_deadlines.remove(&(c.deadline, id));
        if let Some(since) = c.idle_since {
            self.idle_since_order.remove(&(since, id));
        }
        match c.role {
            Role::Server | Role::PeerServer => {
                self.server_conns -= 1;
                self.user_conns -= usize::from(c.user);
            }
            Role::Client(dest) => {
                if let Some(list) = self.idle.get_mut(&dest) {
                    list.retain(|i| *i != id);
                    if list.is_empty() {
                        self.idle.remove(&dest);
                    }
                }
            }
        }
        for ticket in c.waiting_calls {
            self.finish(
                ticket,
                if c.connected {
                    Outcome::Lost
                } else if c.refused {
                    Outcome::Refused
                } else {
                    Outcome::NotSent
                },
            );
        }
    }

    fn finish(&mut self, ticket: Ticket, outcome: Outcome) {
        if let Some(call) = self.calls.remove(&ticket) {
            self.deadlines.remove(&(call.deadline, ticket));
            self.push_input(Input::Outcome { ticket, outcome });
        }
    }

    fn ready(&mut self, id: ConnId, readiness: Readiness) {
        self.traffic.events += 1;
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        if !c.connected {
            let error = c.stream.take_error().ok().flatten();
            // Told once only.
            c.refused |= error
                .as_ref()
                .is_some_and(|e| e.kind() == ErrorKind::ConnectionRefused);
            if error.is_some() || c.refused || c.stream.peer_addr().is_err() {
                if readiness.writable || readiness.error || readiness.readable {
                    self.close(id);
                }
                return;
            }
            c.connected = true;
            let limit = CLIENT_IDLE_TIMEOUT;
            let at = self.now + limit;
            self.set_deadline(id, at);
        }
        if readiness.writable {
            self.flush(id);
        }
        if readiness.readable || readiness.error {
            self.read(id);
        }
        self.note_idle(id);
    }

    fn read(&mut self, id: ConnId) {
        let mut chunk = [0u8; 16 * 1024];
        let mut ended = false;
        loop {
            let Some(c) = self.conns.get_mut(&id) else {
                return;
            };
            self.traffic.reads += 1;
            match (&*c.stream).read(&mut chunk) {
                Ok(0) => {
                    ended = true;
                    break;
                }
                Ok(n) => {
                    c.input.extend_from_slice(&chunk[..n]);
                    if c.role == Role::Server
                        && c.input.len() > REQUEST_BODY_BYTES_MAX + HTTP_HEAD_BYTES_MAX
                    {
                        self.consume(id);
                    }
                    if n < chunk.len() {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    ended = true;
                    break;
                }
            }
        }
        self.consume(id);
        if ended {
            self.close(id);
        } else if let Some(c) = self.conns.get(&id)
            && !matches!(c.role, Role::Server)
        {
            let at = self.now
                + if c.role == Role::PeerServer {
                    SERVER_IDLE_TIMEOUT
                } else {
                    CLIENT_IDLE_TIMEOUT
                };
            // A long poll has its own time limit, that of its call.
            let at = c
                .waiting_calls
                .iter()
                .filter_map(|t| self.calls.get(t))
                .map(|k| k.deadline + SECOND)
                .fold(at, Micros::max);
            self.set_deadline(id, at);
        }
    }

    fn consume(&mut self, id: ConnId) {
        loop {
            let Some(c) = self.conns.get(&id) else { return };
            let role = c.role;
            let went_on = match role {
                Role::Server => self.consume_request(id),
                Role::PeerServer | Role::Client(Dest::Peer(_)) => self.consume_frame(id),
                Role::Client(Dest::Http(_)) => self.consume_response(id),
            };
            if went_on {
                match role {
                    Role::Server => self.traffic.requests += 1,
                    Role::PeerServer | Role::Client(Dest::Peer(_)) => self.traffic.frames += 1,
                    Role::Client(Dest::Http(_)) => {}
                }
            }
            if !went_on {
                return;
            }
        }
    }

    fn flush(&mut self, id: ConnId) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        if !c.connected {
            return;
        }
        while c.written < c.output.len() {
            self.traffic.writes += 1;
            match (&*c.stream).write(&c.output[c.written..]) {
                Ok(0) => break,
                Ok(n) => c.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.close(id);
                    return;
                }
            }
        }
        c.output.clear();
        c.written = 0;
        if c.role == Role::Server && c.close_after && !c.busy {
            self.close(id);
        }
    }

    /// Sends an output. A call that can't be sent ends as not sent.
    pub fn perform(&mut self, output: Output) {
        match output {
            Output::Respond {
                conn,
                status,
                body,
                retry_after,
            } => self.respond(conn, status, &body, retry_after),
            Output::PeerRespond {
                conn,
                ticket,
                outcome,
            } => {
                let (status, body) = match outcome {
                    Outcome::NotSent | Outcome::Refused => (FRAME_NOT_SENT, Vec::new()),
                    Outcome::Lost => (FRAME_LOST, Vec::new()),
                    // What was asked may have been done; only its answer can't be told.
                    Outcome::Reply { body, .. } if !Self::fits_frame(KIND_ANSWER, "", &body) => {
                        (FRAME_LOST, Vec::new())
                    }
                    Outcome::Reply { status, body } => (status, body),
                };
                let answer = OutgoingFrame {
                    kind: KIND_ANSWER,
                    status,
                    ticket,
                    timeout: 0,
                    subject: "",
                    body: &body,
                };
                self.write_frame(conn, &answer);
            }
            Output::Call {
                ticket,
                dest,
                method,
                path,
                body,
                timeout,
            } => {
                let Some(id) = self.open(ticket, Dest::Http(dest), timeout) else {
                    return;
                };
                let Some(c) = self.conns.get_mut(&id) else {
                    return;
                };
                let head = format!(
                    "{method} {path} HTTP/1.1\r\nHost: {dest}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                c.output.extend_from_slice(head.as_bytes());
                c.output.extend_from_slice(&body);
                self.flush(id);
            }
            Output::PeerCall {
                ticket,
                dest,
                kind,
                subject,
                body,
                timeout,
            } => {
                if !Self::fits_frame(kind, &subject, &body) {
                    let outcome = Outcome::NotSent;
                    return self.push_input(Input::Outcome { ticket, outcome });
                }
                let Some(id) = self.open(ticket, Dest::Peer(dest), timeout) else {
                    return;
                };
                let request = OutgoingFrame {
                    kind,
                    status: 0,
                    ticket,
                    timeout,
                    subject: &subject,
                    body: &body,
                };
                self.write_frame(id, &request);
            }
        }
    }

    /// Finds or opens a connection for a call; on failure the call has ended as not sent.
    fn open(&mut self, ticket: Ticket, dest: Dest, timeout: Micros) -> Option<ConnId> {
        let deadline = self.now + timeout;
        let reuse = match dest {
            Dest::Http(_) => self.idle.get_mut(&dest).and_then(Vec::pop),
            // Frames carry tickets, so all calls to a peer share one connection.
            Dest::Peer(_) => self.idle.get(&dest).and_then(|l| l.first().copied()),
        };
        let id = match reuse.filter(|id| self.conns.contains_key(id)) {
            Some(id) => Some(id),
            None => self.connect(dest),
        };
        let Some(id) = id else {
            self.push_input(Input::Outcome {
                ticket,
                outcome: Outcome::NotSent,
            });
            return None;
        };
        self.calls.insert(
            ticket,
            Call {
                dest,
                conn: id,
                deadline,
            },
        );
        self.deadlines.insert((deadline, ticket));
        let c = self.conns.get_mut(&id)?;
        c.waiting_calls.push(ticket);
        if c.connected {
            let at = c.deadline.max(deadline + SECOND);
            self.set_deadline(id, at);
        }
        Some(id)
    }

    fn connect(&mut self, dest: Dest) -> Option<ConnId> {
        let (Dest::Http(addr) | Dest::Peer(addr)) = dest;
        // More workers than our part of the connections: were it kept to while others are free, a leader
        // would open and close one for every third command, which costs it more than the command.
        if self.client_conns() >= self.client_conns_max && self.conns.len() >= self.lent_conns_max {
            self.close_idle_client();
        }
        self.traffic.connected += 1;
        let kind = Type::STREAM.nonblocking();
        let socket = Socket::new(Domain::for_address(addr), kind, Some(Protocol::TCP)).ok()?;
        if matches!(dest, Dest::Peer(_)) {
            // A request of ours is written at once and waits for its answer; frames follow one another.
            let _ = socket.set_tcp_nodelay(true);
        }
        if let Err(e) = socket.connect(&SockAddr::from(addr))
            && e.raw_os_error() != Some(EINPROGRESS)
            && e.kind() != ErrorKind::WouldBlock
        {
            return None;
        }
        let id = self.add(socket.into(), Role::Client(dest), false, CONNECT_TIMEOUT)?;
        if matches!(dest, Dest::Peer(_)) {
            self.idle.entry(dest).or_default().push(id);
        }
        Some(id)
    }
}

/// Whether the other end of the connection that it came by is still there.
fn awaited(conns: &HashMap<ConnId, Conn>, input: &Input) -> bool {
    match input {
        Input::Request { conn, .. } | Input::PeerRequest { conn, .. } => conns.contains_key(conn),
        Input::Outcome { .. } => true,
    }
}

/// "Operation now in progress" on Linux: a connection that is being made.
const EINPROGRESS: i32 = 115;
