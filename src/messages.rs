//! The messages between the controller and the outside: inputs that `net` takes from sockets, and
//! outputs that it writes to them. Plain data, without I/O: tests and the simulator pass them by hand.

use crate::clock::Micros;
use std::net::SocketAddr;

/// A connection of a client, a worker or a peer to this process. Never reused within a process.
pub type ConnId = u64;
/// Identifies a call of this process until its outcome is known. Unique across restarts.
pub type Ticket = u64;

/// How a call to another system ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It never left: no connection came about. Such an attempt does not complete later.
    NotSent,
    /// It never left, since nobody listens there or something on the way says so: the process has ended,
    /// has no free socket, or a filter stands between. A host that is gone or cut off says nothing.
    Refused,
    /// No answer; it may have been executed, or may still be, minutes later.
    Lost,
    Reply {
        status: u16,
        body: Vec<u8>,
    },
}

impl Outcome {
    /// Whether it surely never left.
    pub fn not_sent(&self) -> bool {
        matches!(self, Outcome::NotSent | Outcome::Refused)
    }
}

/// Where a call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Dest {
    Http(SocketAddr),
    Peer(SocketAddr),
}

/// What came in from outside.
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

/// What is to be sent.
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
