//! Socket I/O on one `calloop` event loop: HTTP/1.1 server and client, frames between controllers, timeouts, and
//! connection limits.
//!
//! [`Net`] owns the connections, the calls in flight and the queue of received inputs. It has no knowledge of jobs or
//! leadership: it delivers what it receives as [`Input`], and sends what it is given as [`Output`]. Every call that it
//! accepts ends with exactly one [`Input::Outcome`].

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

/// The largest response body accepted from another system, in bytes; the limit holds for watch responses as well.
const RESPONSE_BYTES_MAX: usize = 16 << 20;
/// The largest head (start line and headers) of a request or response, in bytes.
const HTTP_HEAD_BYTES_MAX: usize = 16 * 1024;
/// Time within which the first request on a connection, or a pipelined one, has to arrive completely.
const REQUEST_TIMEOUT: Micros = 10 * SECOND;
/// An idle incoming connection is closed after this time.
const SERVER_IDLE_TIMEOUT: Micros = 90 * SECOND;
/// An idle outgoing connection is closed after this time.
const CLIENT_IDLE_TIMEOUT: Micros = 45 * SECOND;
/// Time for a connection to be established.
const CONNECT_TIMEOUT: Micros = SECOND;
/// A link between controllers is closed after this many consecutive calls that timed out.
const LINK_CONSECUTIVE_TIMEOUTS_MAX: u32 = 8;
/// An incoming connection counts as abandoned by its client or worker after it has been idle for this many
/// heartbeat periods.
const ABANDONED_AFTER_HEARTBEAT_PERIODS: Micros = 2;
/// An incoming connection counts as abandoned after this idle time while the heartbeat period is not known.
const DEFAULT_ABANDONED_AFTER: Micros = 16 * SECOND;
/// Above this share of incoming connections in use, the controller takes over no more workers from the leader.
const HIGH_PRESSURE_SHARE: f64 = 0.9;
/// Above this share of incoming connections in use, the controller sends workers back to the leader.
const CRITICAL_PRESSURE_SHARE: f64 = 0.95;
/// The most connections accepted per event of a listening socket.
const ACCEPTS_PER_EVENT: usize = 32;
/// A link with more unsent bytes than this is closed.
const UNSENT_BYTES_MAX: usize = 4 << 20;
/// The share of incoming connections that clients may hold while nearly all of them are in use, so that workers can
/// still connect.
const CLIENT_CONNS_SHARE: f64 = 0.6;

/// The role of this process on a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    /// Serves HTTP requests of clients, operators and workers.
    Server,
    /// Serves frames of another controller.
    PeerServer,
    /// Makes calls to this destination.
    Client(Dest),
}

struct Conn {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    role: Role,
    connected: bool,
    /// The remote host refused the connection.
    refused: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    /// How many bytes of `output` have been written to the socket.
    written: usize,
    /// Calls sent on it that have no answer yet; at most one over HTTP.
    pending_calls: Vec<Ticket>,
    /// A request was received on it and its response has not been written yet.
    request_in_progress: bool,
    /// At least one request has been answered on it.
    served: bool,
    /// It belongs to a client (not a worker): it has carried a client request.
    is_client: bool,
    /// Consecutive 503 responses to its client.
    consecutive_refusals: u8,
    /// It is closed once the current response is written.
    close_after: bool,
    /// On a link between controllers: calls that timed out since the last answer.
    consecutive_timeouts: u32,
    /// When it is closed unless the deadline is extended before.
    deadline: Micros,
    /// When it became idle between two requests; `None` if it is not idle.
    idle_since: Option<Micros>,
}

impl Conn {
    /// Whether its last request is answered and no byte of the next one has arrived.
    fn is_idle(&self) -> bool {
        self.role == Role::Server
            && self.served
            && !self.request_in_progress
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

/// The sockets of this process, with the requests and calls in progress on them.
pub struct Net {
    handle: LoopHandle<'static, Net>,
    now: Micros,
    conns: HashMap<ConnId, Conn>,
    calls: HashMap<Ticket, Call>,
    call_deadlines: BTreeSet<(Micros, Ticket)>,
    conn_deadlines: BTreeSet<(Micros, ConnId)>,
    /// The idle incoming connections, ordered by the time at which they became idle.
    idle_incoming: BTreeSet<(Micros, ConnId)>,
    /// An incoming connection that has been idle for this long counts as abandoned.
    abandoned_after: Micros,
    /// Outgoing connections that can carry another call: idle ones over HTTP, and the link to each controller.
    idle_outgoing: HashMap<Dest, Vec<ConnId>>,
    next_conn: ConnId,
    incoming_conns: usize,
    incoming_conns_max: usize,
    outgoing_conns_max: usize,
    /// While fewer connections than this are open in total, outgoing connections may exceed `outgoing_conns_max`.
    outgoing_excess_total_max: usize,
    /// Received inputs that have not been processed yet.
    inputs: InputQueue,
    /// How many incoming connections belong to clients.
    client_conns: usize,
    shed_level: ShedLevel,
    /// Smallest `Retry-After` of a shed request, in seconds.
    retry_after: u32,
    /// See [`Net::set_isolated`].
    isolated: bool,
    /// How many client requests load shedding has refused.
    pub refused_requests: u64,
    /// Paths of shed requests, so that clients who have waited for long are served first.
    starvation: RequestStarvation,
    /// Socket activity since the last log line; the caller resets it.
    pub traffic: Traffic,
}

/// Counts of socket activity, for the log line on loop timing. Nearly each of these is a system call, which costs as
/// much as processing the data it carries (`docs/cost.md`).
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Readiness events of sockets.
    pub events: u64,
    /// Connections accepted.
    pub accepted: u64,
    /// Idle incoming connections closed to make room for new ones.
    pub evicted: u64,
    /// Outgoing connections opened.
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
    /// Creates the state without opening sockets. Two thirds of `max_connections` are reserved for incoming
    /// connections.
    pub fn new(handle: LoopHandle<'static, Net>, max_connections: usize) -> Self {
        Self {
            handle,
            now: 0,
            conns: HashMap::default(),
            calls: HashMap::default(),
            call_deadlines: BTreeSet::new(),
            conn_deadlines: BTreeSet::new(),
            idle_incoming: BTreeSet::new(),
            abandoned_after: DEFAULT_ABANDONED_AFTER,
            idle_outgoing: HashMap::default(),
            next_conn: 1,
            incoming_conns: 0,
            // The rest is for outgoing calls: state service, cloud provider, workers, controllers.
            incoming_conns_max: max_connections * 2 / 3,
            outgoing_conns_max: max_connections / 3 - max_connections / 50,
            outgoing_excess_total_max: max_connections * 4 / 5,
            inputs: InputQueue::default(),
            client_conns: 0,
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
        // Accepted connections inherit the option, which saves one system call for each.
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

    /// Sets whether this controller is cut off from the state service and all other controllers. While it is, each 503
    /// response closes its connection, so that the client's retry can reach another controller.
    pub fn set_isolated(&mut self, isolated: bool) {
        self.isolated = isolated;
    }

    /// Sets which client requests are refused before they are queued, and after how many seconds clients may retry.
    pub fn set_shed_level(&mut self, shed: ShedLevel, retry_after: u32) {
        (self.shed_level, self.retry_after) = (shed, retry_after);
    }

    /// Sets the time between two heartbeats of a worker.
    pub fn set_heartbeat_period(&mut self, period: Micros) {
        self.abandoned_after = ABANDONED_AFTER_HEARTBEAT_PERIODS * period;
    }

    /// How close the number of incoming connections is to its limit.
    pub fn connection_pressure(&self) -> ConnectionPressure {
        let taken = self.incoming_conns as f64 / self.incoming_conns_max.max(1) as f64;
        match taken {
            taken if taken > CRITICAL_PRESSURE_SHARE => ConnectionPressure::Critical,
            taken if taken > HIGH_PRESSURE_SHARE => ConnectionPressure::High,
            _ => ConnectionPressure::Low,
        }
    }

    /// Sets the current time. Inputs received since the last call are given this time as their arrival time.
    pub fn set_now(&mut self, now: Micros) {
        self.now = now;
        self.inputs.set_now(now);
    }

    /// How long the oldest client request or heartbeat in the queue has waited, in microseconds.
    pub fn longest_wait(&self) -> Micros {
        self.inputs.longest_wait()
    }

    /// Removes and returns the next input that takes precedence over heartbeats.
    pub fn next_urgent(&mut self) -> Option<Input> {
        let conns = &self.conns;
        self.inputs
            .next_urgent(|input| is_sender_connected(conns, input))
    }

    /// Removes and returns the next input of any kind.
    pub fn next_input(&mut self) -> Option<Input> {
        let conns = &self.conns;
        self.inputs.next(|input| is_sender_connected(conns, input))
    }

    /// Whether any input is queued.
    pub fn has_input(&self) -> bool {
        !self.inputs.is_empty()
    }

    fn push_input(&mut self, input: Input) {
        self.inputs.push(input);
    }

    /// When the next call or connection times out, so that [`Net::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<Micros> {
        let calls = self.call_deadlines.first().map(|d| d.0);
        let conns = self.conn_deadlines.first().map(|d| d.0);
        calls.into_iter().chain(conns).min()
    }

    /// Ends calls and connections that have timed out.
    pub fn expire(&mut self) {
        while let Some(&(at, ticket)) = self.call_deadlines.first() {
            if at > self.now {
                break;
            }
            self.call_deadlines.remove(&(at, ticket));
            if let Some(call) = self.calls.get(&ticket) {
                let (conn, dest) = (call.conn, call.dest);
                let connected = self.conns.get(&conn).is_some_and(|c| c.connected);
                if connected && matches!(dest, Dest::Peer(_)) {
                    // A late answer can't be taken for another call's, since frames carry tickets, so
                    // the link stays open. If it were closed, one slow answer would end all other calls
                    // on the link as lost, and the workers behind them would turn to other controllers.
                    // A link without any answer is closed below.
                    if let Some(c) = self.conns.get_mut(&conn) {
                        c.pending_calls.retain(|t| *t != ticket);
                        c.consecutive_timeouts += 1;
                    }
                    self.finish(ticket, Outcome::Lost);
                    if self
                        .conns
                        .get(&conn)
                        .is_some_and(|c| c.consecutive_timeouts < LINK_CONSECUTIVE_TIMEOUTS_MAX)
                    {
                        continue;
                    }
                }
                // A late answer to this call must not be taken for the answer to the next one.
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
        // The listener is level-triggered and reports again what is left in its backlog. When a controller
        // ends, about five hundred workers reconnect at once; if all of them were accepted first, clients with
        // open requests would have to wait for that.
        for _ in 0..ACCEPTS_PER_EVENT {
            // Setting the flags in accept4 saves another system call.
            let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
            match accept_with(listener, flags) {
                Ok(stream) => {
                    let stream = TcpStream::from(stream);
                    // At the limit, an idle connection is closed in favour of the new one. After a process
                    // stall or a network partition, many connections remain whose remote ends are gone; if
                    // new ones were refused, workers could not connect before their leases expire.
                    if self.incoming_conns >= self.incoming_conns_max && !self.evict_idle_incoming()
                    {
                        continue;
                    }
                    // Outgoing connections beyond their share give way to incoming ones. Without this, a
                    // leader to which all workers connect comes within a dozen connections of its limit.
                    if self.outgoing_conns() > self.outgoing_conns_max
                        && self.conns.len() >= self.outgoing_excess_total_max
                    {
                        self.close_idle_outgoing();
                    }
                    self.traffic.accepted += 1;
                    let limit = if role == Role::Server {
                        REQUEST_TIMEOUT
                    } else {
                        SERVER_IDLE_TIMEOUT
                    };
                    if self.add(stream, role, true, limit).is_some() {
                        self.incoming_conns += 1;
                    }
                }
                Err(Errno::INTR) => {}
                Err(_) => return,
            }
        }
    }

    /// How many connections are outgoing.
    fn outgoing_conns(&self) -> usize {
        self.conns.len() - self.incoming_conns
    }

    /// Closes an idle outgoing HTTP connection, of which there may be one to each of a thousand workers.
    fn close_idle_outgoing(&mut self) {
        let is_http = |d: &&Dest| matches!(d, Dest::Http(_));
        let found = self
            .idle_outgoing
            .iter()
            .find(|(d, l)| is_http(d) && !l.is_empty());
        if let Some(id) = found.and_then(|(_, l)| l.first().copied()) {
            self.close(id);
        }
    }

    /// Closes an idle incoming connection; false if there is none. Abandoned connections, idle for longer than a live
    /// worker leaves them, are closed first, the oldest before the others. After those it closes the connection idle
    /// for the shortest time (MRU eviction): workers send heartbeats periodically, so this one is needed last. LRU
    /// eviction would close each connection just before it is used again as soon as there are a few workers too many,
    /// and every request would need a new connection.
    fn evict_idle_incoming(&mut self) -> bool {
        let oldest = self.idle_incoming.first();
        let abandoned = oldest.filter(|(since, _)| self.now >= since + self.abandoned_after);
        let found = abandoned.or(self.idle_incoming.last()).map(|entry| entry.1);
        if let Some(id) = found {
            self.traffic.evicted += 1;
            self.close(id);
        }
        found.is_some()
    }

    /// Updates the index of idle incoming connections after a change of this one.
    fn update_idle(&mut self, id: ConnId) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        match (c.is_idle(), c.idle_since) {
            (true, None) => {
                c.idle_since = Some(self.now);
                self.idle_incoming.insert((self.now, id));
            }
            (false, Some(since)) => {
                c.idle_since = None;
                self.idle_incoming.remove(&(since, id));
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
                net.handle_readiness(id, readiness);
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
                pending_calls: Vec::new(),
                request_in_progress: false,
                served: false,
                is_client: false,
                consecutive_refusals: 0,
                close_after: false,
                consecutive_timeouts: 0,
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
            self.idle_incoming.remove(&(since, id));
        }
        match c.role {
            Role::Server | Role::PeerServer => {
                self.incoming_conns -= 1;
                self.client_conns -= usize::from(c.is_client);
            }
            Role::Client(dest) => {
                if let Some(list) = self.idle_outgoing.get_mut(&dest) {
                    list.retain(|i| *i != id);
                    if list.is_empty() {
                        self.idle_outgoing.remove(&dest);
                    }
                }
            }
        }
        for ticket in c.pending_calls {
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
            self.call_deadlines.remove(&(call.deadline, ticket));
            self.push_input(Input::Outcome { ticket, outcome });
        }
    }

    fn handle_readiness(&mut self, id: ConnId, readiness: Readiness) {
        self.traffic.events += 1;
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        if !c.connected {
            let error = c.stream.take_error().ok().flatten();
            // The socket reports its error only once, so it is kept.
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
        self.update_idle(id);
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
            // A call with a longer timeout, such as a long poll, extends the connection's deadline beyond its own.
            let at = c
                .pending_calls
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
            let consumed = match role {
                Role::Server => self.consume_request(id),
                Role::PeerServer | Role::Client(Dest::Peer(_)) => self.consume_frame(id),
                Role::Client(Dest::Http(_)) => self.consume_response(id),
            };
            if consumed {
                match role {
                    Role::Server => self.traffic.requests += 1,
                    Role::PeerServer | Role::Client(Dest::Peer(_)) => self.traffic.frames += 1,
                    Role::Client(Dest::Http(_)) => {}
                }
            }
            if !consumed {
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
        if c.role == Role::Server && c.close_after && !c.request_in_progress {
            self.close(id);
        }
    }

    /// Sends an output. A call that can't be sent ends with [`Outcome::NotSent`].
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
                    // The request may have been executed; only its answer can't be delivered.
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

    /// Finds or opens a connection for a call. On failure, ends the call with [`Outcome::NotSent`].
    fn open(&mut self, ticket: Ticket, dest: Dest, timeout: Micros) -> Option<ConnId> {
        let deadline = self.now + timeout;
        let reuse = match dest {
            Dest::Http(_) => self.idle_outgoing.get_mut(&dest).and_then(Vec::pop),
            // Frames carry tickets, so all calls to a peer share one connection.
            Dest::Peer(_) => self
                .idle_outgoing
                .get(&dest)
                .and_then(|l| l.first().copied()),
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
        self.call_deadlines.insert((deadline, ticket));
        let c = self.conns.get_mut(&id)?;
        c.pending_calls.push(ticket);
        if c.connected {
            let at = c.deadline.max(deadline + SECOND);
            self.set_deadline(id, at);
        }
        Some(id)
    }

    fn connect(&mut self, dest: Dest) -> Option<ConnId> {
        let (Dest::Http(addr) | Dest::Peer(addr)) = dest;
        // There may be more workers than the outgoing share allows connections. If the share were enforced
        // while other connections are free, a leader would open and close a connection for every third
        // command, which costs more than the command itself.
        if self.outgoing_conns() >= self.outgoing_conns_max
            && self.conns.len() >= self.outgoing_excess_total_max
        {
            self.close_idle_outgoing();
        }
        self.traffic.connected += 1;
        let kind = Type::STREAM.nonblocking();
        let socket = Socket::new(Domain::for_address(addr), kind, Some(Protocol::TCP)).ok()?;
        if matches!(dest, Dest::Peer(_)) {
            // Frames follow one another without waiting for answers, so Nagle's algorithm would delay them. An
            // HTTP request is written at once and then waits for its answer, so it needs no option.
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
            self.idle_outgoing.entry(dest).or_default().push(id);
        }
        Some(id)
    }
}

/// Whether the sender of an input can still receive the answer: the connection that it arrived on is open.
fn is_sender_connected(conns: &HashMap<ConnId, Conn>, input: &Input) -> bool {
    match input {
        Input::Request { conn, .. } | Input::PeerRequest { conn, .. } => conns.contains_key(conn),
        Input::Outcome { .. } => true,
    }
}

/// Error number of "operation now in progress" on Linux: the connection is being established.
const EINPROGRESS: i32 = 115;
