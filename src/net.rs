//! Bytes in, bytes out: sockets on one calloop loop, HTTP/1.1 both ways, frames between
//! controllers, time limits and caps. Knows nothing of jobs.

use crate::clock::{MILLI, Micros, SECOND};
use crate::load::Shed;
use crate::wire::{
    FRAME_HEAD, FRAME_LOST, FRAME_MAGIC, FRAME_MAX, FRAME_NOT_SENT, FrameHead, KIND_ANSWER,
    KIND_REPORT, KIND_REPORTS, KIND_USER, MAX_BODY, REPORT_PATH, UP_PATH,
};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use zerocopy::{FromBytes, IntoBytes};

pub type ConnId = u64;
pub type Ticket = u64;

/// How a call to another system ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It never left: no connection came about. Such an attempt does not complete later.
    NotSent,
    /// No answer; it may have been executed, or may still be, minutes later.
    Lost,
    Reply {
        status: u16,
        body: Vec<u8>,
    },
}

/// Where a call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Dest {
    Http(SocketAddr),
    Peer(SocketAddr),
}

#[derive(Debug)]
pub enum Input {
    Request {
        conn: ConnId,
        method: String,
        path: String,
        body: Vec<u8>,
    },
    /// From another controller; answered by ticket on the same connection.
    PeerRequest {
        conn: ConnId,
        ticket: Ticket,
        kind: u16,
        patience: Micros,
        addr: String,
        body: Vec<u8>,
    },
    Outcome {
        ticket: Ticket,
        outcome: Outcome,
    },
}

#[derive(Debug)]
pub enum Output {
    Respond {
        conn: ConnId,
        status: u16,
        body: Vec<u8>,
        retry_after: Option<u32>,
    },
    PeerRespond {
        conn: ConnId,
        ticket: Ticket,
        outcome: Outcome,
    },
    Call {
        ticket: Ticket,
        dest: SocketAddr,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout: Micros,
    },
    PeerCall {
        ticket: Ticket,
        dest: SocketAddr,
        kind: u16,
        addr: String,
        body: Vec<u8>,
        timeout: Micros,
    },
}

/// Largest response taken from another system; a watch's answer has no limit of its own.
const MAX_RESPONSE: usize = 16 << 20;
const MAX_HEAD: usize = 16 * 1024;
/// Time for a request to come in whole, and for a client to take its answer.
const REQUEST_TIME: Micros = 10 * SECOND;
const IDLE_SERVER: Micros = 90 * SECOND;
const IDLE_CLIENT: Micros = 45 * SECOND;
const CONNECT_TIME: Micros = SECOND;
/// So many calls in a row that got no answer end a link between controllers.
const LINK_MISSES: u32 = 8;
const MAX_PENDING_OUT: usize = 4 << 20;
/// Reports that have waited this long, an eighth of what their workers give an answer, no longer
/// stand behind users.
const PRESSED: Micros = 500 * MILLI;
/// Then so many of them are taken for each request of a user.
const REPORTS_A_USER: u32 = 4;
/// The share of the connections to us that users may have while workers need the others.
const USERS_PART: f64 = 0.6;

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
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// The calls an answer is due for (HTTP: one at a time).
    waiting: Vec<Ticket>,
    /// A request was handed on and its answer is not written yet.
    busy: bool,
    /// At least one request has been answered on it.
    served: bool,
    /// The other end is a user (or an operator), by its last request.
    user: bool,
    close_after: bool,
    /// Calls over a link between controllers that got no answer in time since the last that did.
    missed: u32,
    /// When it is closed unless something happens first.
    deadline: Micros,
}

struct Call {
    dest: Dest,
    conn: ConnId,
    deadline: Micros,
}

pub struct Net {
    handle: LoopHandle<'static, Net>,
    now: Micros,
    conns: HashMap<ConnId, Conn>,
    calls: HashMap<Ticket, Call>,
    deadlines: BTreeSet<(Micros, Ticket)>,
    conn_deadlines: BTreeSet<(Micros, ConnId)>,
    idle: HashMap<Dest, Vec<ConnId>>,
    next_conn: ConnId,
    servers: usize,
    server_cap: usize,
    client_cap: usize,
    /// Taken from the sockets since the time was last set.
    fresh: Vec<Input>,
    /// Answers to our calls, and what other controllers ask for themselves.
    answers: VecDeque<Input>,
    /// Users' requests, and since when they wait.
    users: VecDeque<(Micros, Input)>,
    /// Workers' reports, also those that peers pass on.
    reports: VecDeque<(Micros, Input)>,
    turn: u32,
    /// How many connections are users'.
    user_conns: usize,
    shed: Shed,
    retry_after: u32,
    /// Users' requests refused without being looked at.
    pub refused: u64,
}

impl Net {
    pub fn new(handle: LoopHandle<'static, Net>, max_connections: usize) -> Self {
        Self {
            handle,
            now: 0,
            conns: HashMap::new(),
            calls: HashMap::new(),
            deadlines: BTreeSet::new(),
            conn_deadlines: BTreeSet::new(),
            idle: HashMap::new(),
            next_conn: 1,
            servers: 0,
            // The rest is for our own calls: state, cloud, workers, peers.
            server_cap: max_connections * 2 / 3,
            client_cap: max_connections / 3 - max_connections / 50,
            fresh: Vec::new(),
            answers: VecDeque::new(),
            users: VecDeque::new(),
            reports: VecDeque::new(),
            turn: 0,
            user_conns: 0,
            shed: Shed::Nothing,
            retry_after: 1,
            refused: 0,
        }
    }

    /// Opens a listening socket; `peers` tells frames from HTTP.
    pub fn listen(&mut self, addr: SocketAddr, peers: bool) -> std::io::Result<()> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
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

    /// Sets the time; what came in meanwhile counts as having come now.
    pub fn set_now(&mut self, now: Micros) {
        self.now = now;
        for input in std::mem::take(&mut self.fresh) {
            match lane(&input) {
                Lane::Answers => self.answers.push_back(input),
                Lane::Users => self.users.push_back((now, input)),
                Lane::Reports => self.reports.push_back((now, input)),
            }
        }
    }

    /// Which users' requests are refused as soon as they are seen, and when they may come again.
    pub fn set_shed(&mut self, shed: Shed, retry_after: u32) {
        (self.shed, self.retry_after) = (shed, retry_after);
    }

    /// How long the input that has waited longest has done so.
    pub fn oldest(&self) -> Micros {
        let users = self.users.front().map(|w| w.0);
        let reports = self.reports.front().map(|w| w.0);
        let since = users.into_iter().chain(reports).min();
        since.map_or(0, |t| self.now.saturating_sub(t))
    }

    /// Reports have waited for so long that users wait with them.
    fn pressed(&self) -> bool {
        let first = self.reports.front();
        first.is_some_and(|w| self.now >= w.0 + PRESSED)
    }

    /// The next of what goes before reports. After a takeover a thousand reports come within
    /// seconds; in one line with them, users' requests and the grant's renewals would wait as
    /// long. Users go first only while that costs no worker its lease.
    pub fn next_urgent(&mut self) -> Option<Input> {
        self.set_now(self.now);
        if let Some(input) = self.answers.pop_front() {
            return Some(input);
        }
        if self.pressed() {
            return None;
        }
        self.next_user()
    }

    /// The next input; reports come last, or, once they have waited long, take turns with users.
    pub fn next_input(&mut self) -> Option<Input> {
        if let Some(input) = self.next_urgent() {
            return Some(input);
        }
        self.turn = (self.turn + 1) % (REPORTS_A_USER + 1);
        if self.turn == 0
            && let Some(input) = self.next_user()
        {
            return Some(input);
        }
        while let Some((_, input)) = self.reports.pop_front() {
            if self.awaited(&input) {
                return Some(input);
            }
        }
        self.next_user()
    }

    fn next_user(&mut self) -> Option<Input> {
        while let Some((_, input)) = self.users.pop_front() {
            if self.awaited(&input) {
                return Some(input);
            }
        }
        None
    }

    /// Whether the other end still waits for the answer. Whoever has given up asks again; were
    /// both served, a node that is behind would only fall further behind.
    fn awaited(&self, input: &Input) -> bool {
        match input {
            Input::Request { conn, .. } | Input::PeerRequest { conn, .. } => {
                self.conns.contains_key(conn)
            }
            Input::Outcome { .. } => true,
        }
    }

    pub fn has_input(&self) -> bool {
        !(self.fresh.is_empty()
            && self.answers.is_empty()
            && self.users.is_empty()
            && self.reports.is_empty())
    }

    fn push(&mut self, input: Input) {
        self.fresh.push(input);
    }

    /// Answers a user's request that is not taken on, if it is one.
    fn refuse_user(&mut self, id: ConnId, path: &str) -> bool {
        if path == REPORT_PATH || path == UP_PATH || path.starts_with("/inspect") {
            return false;
        }
        let Some(c) = self.conns.get_mut(&id) else {
            return false;
        };
        if !c.user {
            c.user = true;
            self.user_conns += 1;
        }
        let poll = !path.ends_with("/cancel") && path != "/work";
        let crowd = self.user_conns as f64 > USERS_PART * self.server_cap as f64
            && self.servers + self.server_cap / 20 > self.server_cap;
        if crowd {
            c.close_after = true;
        }
        let refused = crowd || self.shed == Shed::Users || (poll && self.shed == Shed::Polls);
        if refused {
            self.refused += 1;
            let retry_after = self.retry_after + (id % u64::from(self.retry_after)) as u32;
            let body = br#"{"error":"too much to do at the moment; come again later"}"#;
            self.respond(id, 503, body, Some(retry_after));
        }
        refused
    }

    pub fn next_deadline(&self) -> Option<Micros> {
        let calls = self.deadlines.first().map(|d| d.0);
        let conns = self.conn_deadlines.first().map(|d| d.0);
        calls.into_iter().chain(conns).min()
    }

    /// Ends calls and connections whose time is over.
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
                        c.waiting.retain(|t| *t != ticket);
                        c.missed += 1;
                    }
                    self.finish(ticket, Outcome::Lost);
                    if self
                        .conns
                        .get(&conn)
                        .is_some_and(|c| c.missed < LINK_MISSES)
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
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    // At the cap the connection that has rested longest has to go: after a pause
                    // or a cut many are left over whose other ends are gone. Were the new one
                    // refused instead, workers would not get through until their leases are over.
                    if self.servers >= self.server_cap && !self.close_resting() {
                        continue;
                    }
                    if stream.set_nonblocking(true).is_err() {
                        continue;
                    }
                    let _ = stream.set_nodelay(true);
                    let limit = if role == Role::Server {
                        REQUEST_TIME
                    } else {
                        IDLE_SERVER
                    };
                    if self.add(stream, role, true, limit).is_some() {
                        self.servers += 1;
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    /// Closes the connection to us that has rested longest; false when none rests.
    fn close_resting(&mut self) -> bool {
        let rests = |id: &ConnId| {
            let conn = self.conns.get(id);
            conn.is_some_and(|c| c.served && !c.busy && c.input.is_empty())
        };
        let found = self.conn_deadlines.iter().map(|d| d.1).find(rests);
        if let Some(id) = found {
            self.close(id);
        }
        found.is_some()
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
                input: Vec::new(),
                output: Vec::new(),
                written: 0,
                waiting: Vec::new(),
                busy: false,
                served: false,
                user: false,
                close_after: false,
                missed: 0,
                deadline,
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
        match c.role {
            Role::Server | Role::PeerServer => {
                self.servers -= 1;
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
        for ticket in c.waiting {
            self.finish(
                ticket,
                if c.connected {
                    Outcome::Lost
                } else {
                    Outcome::NotSent
                },
            );
        }
    }

    fn finish(&mut self, ticket: Ticket, outcome: Outcome) {
        if let Some(call) = self.calls.remove(&ticket) {
            self.deadlines.remove(&(call.deadline, ticket));
            self.push(Input::Outcome { ticket, outcome });
        }
    }

    fn ready(&mut self, id: ConnId, readiness: Readiness) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        if !c.connected {
            if c.stream.take_error().ok().flatten().is_some() || c.stream.peer_addr().is_err() {
                if readiness.writable || readiness.error || readiness.readable {
                    self.close(id);
                }
                return;
            }
            c.connected = true;
            let limit = IDLE_CLIENT;
            let at = self.now + limit;
            self.set_deadline(id, at);
        }
        if readiness.writable {
            self.flush(id);
        }
        if readiness.readable || readiness.error {
            self.read(id);
        }
    }

    fn read(&mut self, id: ConnId) {
        let mut chunk = [0u8; 16 * 1024];
        let mut ended = false;
        loop {
            let Some(c) = self.conns.get_mut(&id) else {
                return;
            };
            match (&*c.stream).read(&mut chunk) {
                Ok(0) => {
                    ended = true;
                    break;
                }
                Ok(n) => {
                    c.input.extend_from_slice(&chunk[..n]);
                    if c.role == Role::Server && c.input.len() > MAX_BODY + MAX_HEAD {
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
                    IDLE_SERVER
                } else {
                    IDLE_CLIENT
                };
            // A long poll has its own time limit, that of its call.
            let at = c
                .waiting
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
            let went_on = match c.role {
                Role::Server => self.consume_request(id),
                Role::PeerServer | Role::Client(Dest::Peer(_)) => self.consume_frame(id),
                Role::Client(Dest::Http(_)) => self.consume_response(id),
            };
            if !went_on {
                return;
            }
        }
    }

    fn consume_request(&mut self, id: ConnId) -> bool {
        let Some(c) = self.conns.get_mut(&id) else {
            return false;
        };
        if c.busy || c.close_after || c.input.is_empty() {
            return false;
        }
        let mut headers = [httparse::EMPTY_HEADER; 48];
        let mut request = httparse::Request::new(&mut headers);
        let head = match request.parse(&c.input) {
            Ok(httparse::Status::Complete(n)) => n,
            Ok(httparse::Status::Partial) if c.input.len() <= MAX_HEAD => return false,
            Ok(httparse::Status::Partial) => return self.refuse(id, 431, "head too large"),
            Err(_) => return self.refuse(id, 400, "malformed HTTP"),
        };
        let mut length = 0usize;
        for h in request.headers.iter() {
            if h.name.eq_ignore_ascii_case("content-length") {
                match std::str::from_utf8(h.value)
                    .ok()
                    .and_then(|v| v.trim().parse().ok())
                {
                    Some(n) => length = n,
                    None => return self.refuse(id, 400, "malformed Content-Length"),
                }
            } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                return self.refuse(id, 411, "send the body with Content-Length");
            } else if h.name.eq_ignore_ascii_case("connection")
                && h.value.eq_ignore_ascii_case(b"close")
            {
                c.close_after = true;
            }
        }
        if length > MAX_BODY {
            return self.refuse(id, 413, "a request body is limited to 64 KiB");
        }
        if c.input.len() < head + length {
            c.close_after = false;
            return false;
        }
        let method = request.method.unwrap_or("").to_owned();
        let path = request.path.unwrap_or("").to_owned();
        let body = c.input[head..head + length].to_vec();
        c.input.drain(..head + length);
        c.busy = true;
        self.set_deadline(id, self.now + IDLE_SERVER);
        if self.refuse_user(id, &path) {
            return false;
        }
        self.push(Input::Request {
            conn: id,
            method,
            path,
            body,
        });
        true
    }

    fn refuse(&mut self, id: ConnId, status: u16, reason: &str) -> bool {
        if let Some(c) = self.conns.get_mut(&id) {
            c.close_after = true;
            c.busy = true;
            c.input = Vec::new();
            self.respond(
                id,
                status,
                format!("{{\"error\":\"{reason}\"}}").as_bytes(),
                None,
            );
        }
        false
    }

    fn consume_frame(&mut self, id: ConnId) -> bool {
        let Some(c) = self.conns.get_mut(&id) else {
            return false;
        };
        let Ok((head, rest)) = FrameHead::read_from_prefix(&c.input) else {
            return false;
        };
        let (len, addr_len) = (head.len.get() as usize, head.addr_len.get() as usize);
        if head.magic.get() != FRAME_MAGIC || len > FRAME_MAX || addr_len > len {
            log::error!("a controller sent a malformed frame; closing that link");
            self.close(id);
            return false;
        }
        if rest.len() < len {
            return false;
        }
        let addr = String::from_utf8_lossy(&rest[..addr_len]).into_owned();
        let body = rest[addr_len..len].to_vec();
        c.input.drain(..FRAME_HEAD + len);
        let ticket = head.ticket.get();
        if head.kind.get() == KIND_ANSWER {
            c.waiting.retain(|t| *t != ticket);
            c.missed = 0;
            let outcome = match head.status.get() {
                FRAME_NOT_SENT => Outcome::NotSent,
                FRAME_LOST => Outcome::Lost,
                status => Outcome::Reply { status, body },
            };
            self.finish(ticket, outcome);
        } else {
            let (kind, patience) = (head.kind.get(), head.patience.get());
            self.push(Input::PeerRequest {
                conn: id,
                ticket,
                kind,
                patience,
                addr,
                body,
            });
        }
        true
    }

    fn consume_response(&mut self, id: ConnId) -> bool {
        let Some(c) = self.conns.get_mut(&id) else {
            return false;
        };
        if c.input.is_empty() {
            return false;
        }
        if c.waiting.is_empty() {
            // Nobody asked: whatever this is, it is no answer of ours.
            self.close(id);
            return false;
        }
        let mut headers = [httparse::EMPTY_HEADER; 48];
        let mut response = httparse::Response::new(&mut headers);
        let head = match response.parse(&c.input) {
            Ok(httparse::Status::Complete(n)) => n,
            Ok(httparse::Status::Partial) if c.input.len() <= MAX_HEAD => return false,
            _ => {
                self.close(id);
                return false;
            }
        };
        let status = response.code.unwrap_or(0);
        let mut length = None;
        let mut chunked = false;
        let mut close = false;
        for h in response.headers.iter() {
            if h.name.eq_ignore_ascii_case("content-length") {
                length = std::str::from_utf8(h.value)
                    .ok()
                    .and_then(|v| v.trim().parse::<usize>().ok());
            } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                chunked = true;
            } else if h.name.eq_ignore_ascii_case("connection") {
                close = h.value.eq_ignore_ascii_case(b"close");
            }
        }
        let body = if chunked {
            match unchunk(&c.input[head..]) {
                Ok(Some((body, used))) => {
                    c.input.drain(..head + used);
                    body
                }
                Ok(None) if c.input.len() <= MAX_RESPONSE => return false,
                _ => {
                    self.close(id);
                    return false;
                }
            }
        } else {
            let length = length.unwrap_or(0);
            if length > MAX_RESPONSE {
                self.close(id);
                return false;
            }
            if c.input.len() < head + length {
                return false;
            }
            let body = c.input[head..head + length].to_vec();
            c.input.drain(..head + length);
            body
        };
        let Some(ticket) = c.waiting.pop() else {
            return false;
        };
        let Role::Client(dest) = c.role else {
            return false;
        };
        let leftover = !c.input.is_empty();
        self.finish(ticket, Outcome::Reply { status, body });
        if close || leftover {
            self.close(id);
        } else {
            self.idle.entry(dest).or_default().push(id);
        }
        false
    }

    fn flush(&mut self, id: ConnId) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        if !c.connected {
            return;
        }
        while c.written < c.output.len() {
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

    fn respond(&mut self, id: ConnId, status: u16, body: &[u8], retry_after: Option<u32>) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        if !c.busy {
            return;
        }
        c.busy = false;
        c.served = true;
        let mut head = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            reason(status),
            body.len()
        );
        if let Some(s) = retry_after {
            head.push_str(&format!("Retry-After: {s}\r\n"));
        }
        if c.close_after {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        c.output.extend_from_slice(head.as_bytes());
        c.output.extend_from_slice(body);
        // A request that stalls half way is closed; a connection between requests may rest.
        let limit = if c.input.is_empty() {
            IDLE_SERVER
        } else {
            REQUEST_TIME
        };
        self.set_deadline(id, self.now + limit);
        self.flush(id);
        self.consume(id);
    }

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
                    Outcome::NotSent => (FRAME_NOT_SENT, Vec::new()),
                    Outcome::Lost => (FRAME_LOST, Vec::new()),
                    Outcome::Reply { status, body } => (status, body),
                };
                self.write_frame(conn, KIND_ANSWER, status, ticket, 0, "", &body);
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
                addr,
                body,
                timeout,
            } => {
                let Some(id) = self.open(ticket, Dest::Peer(dest), timeout) else {
                    return;
                };
                self.write_frame(id, kind, 0, ticket, timeout, &addr, &body);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn write_frame(
        &mut self,
        id: ConnId,
        kind: u16,
        status: u16,
        ticket: Ticket,
        patience: Micros,
        addr: &str,
        body: &[u8],
    ) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        if c.output.len() > MAX_PENDING_OUT {
            self.close(id);
            return;
        }
        let head = FrameHead {
            magic: FRAME_MAGIC.into(),
            kind: kind.into(),
            status: status.into(),
            ticket: ticket.into(),
            patience: patience.into(),
            addr_len: (addr.len() as u32).into(),
            len: ((addr.len() + body.len()) as u32).into(),
        };
        c.output.extend_from_slice(head.as_bytes());
        c.output.extend_from_slice(addr.as_bytes());
        c.output.extend_from_slice(body);
        self.flush(id);
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
            self.push(Input::Outcome {
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
        c.waiting.push(ticket);
        if c.connected {
            let at = c.deadline.max(deadline + SECOND);
            self.set_deadline(id, at);
        }
        Some(id)
    }

    fn connect(&mut self, dest: Dest) -> Option<ConnId> {
        let (Dest::Http(addr) | Dest::Peer(addr)) = dest;
        if self.conns.len() - self.servers >= self.client_cap {
            // A thousand workers may each have a connection at rest; past the cap one has to go.
            let resting = |d: &&Dest| matches!(d, Dest::Http(_));
            let found = self.idle.iter().find(|(d, l)| resting(d) && !l.is_empty());
            if let Some(id) = found.and_then(|(_, l)| l.first().copied()) {
                self.close(id);
            }
        }
        let socket =
            Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP)).ok()?;
        socket.set_nonblocking(true).ok()?;
        let _ = socket.set_tcp_nodelay(true);
        if let Err(e) = socket.connect(&SockAddr::from(addr))
            && e.raw_os_error() != Some(EINPROGRESS)
            && e.kind() != ErrorKind::WouldBlock
        {
            return None;
        }
        let id = self.add(socket.into(), Role::Client(dest), false, CONNECT_TIME)?;
        if matches!(dest, Dest::Peer(_)) {
            self.idle.entry(dest).or_default().push(id);
        }
        Some(id)
    }
}

enum Lane {
    Answers,
    Users,
    Reports,
}

fn lane(input: &Input) -> Lane {
    match input {
        Input::Request { path, .. } if path == REPORT_PATH => Lane::Reports,
        Input::Request { path, .. } if path == UP_PATH => Lane::Answers,
        Input::Request { .. } => Lane::Users,
        Input::PeerRequest { kind, .. } => match *kind {
            KIND_REPORT | KIND_REPORTS => Lane::Reports,
            KIND_USER => Lane::Users,
            _ => Lane::Answers,
        },
        Input::Outcome { .. } => Lane::Answers,
    }
}

/// "Operation now in progress" on Linux: a connection that is being made.
const EINPROGRESS: i32 = 115;

/// Decodes a chunked body: its bytes and how many were used, or None while incomplete.
fn unchunk(mut raw: &[u8]) -> Result<Option<(Vec<u8>, usize)>, httparse::InvalidChunkSize> {
    let whole = raw.len();
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(raw)? {
            httparse::Status::Complete((start, size)) => (start, size as usize),
            httparse::Status::Partial => return Ok(None),
        };
        let Some(end) = start.checked_add(size).and_then(|e| e.checked_add(2)) else {
            return Ok(None);
        };
        if raw.len() < end {
            return Ok(None);
        }
        body.extend_from_slice(&raw[start..start + size]);
        raw = &raw[end..];
        if size == 0 {
            return Ok(Some((body, whole - raw.len())));
        }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
