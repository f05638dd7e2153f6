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
    /// It was answered.
    Reply {
        /// HTTP status.
        status: u16,
        /// The body as it came.
        body: Vec<u8>,
    },
}

impl Outcome {
    /// Whether the call surely never left.
    pub fn not_sent(&self) -> bool {
        matches!(self, Outcome::NotSent | Outcome::Refused)
    }
}

/// Where a call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Dest {
    /// An HTTP server: the state service, the cloud or a worker.
    Http(SocketAddr),
    /// Another controller.
    Peer(SocketAddr),
}

/// What came in from outside.
#[derive(Debug)]
pub enum Input {
    /// An HTTP request; answered once on its connection.
    Request {
        /// The connection that it came on.
        conn: ConnId,
        /// HTTP method.
        method: String,
        /// Path with its query.
        path: String,
        /// The whole body.
        body: Vec<u8>,
    },
    /// A frame of another controller; answered by ticket on the same connection.
    PeerRequest {
        /// The connection that it came on.
        conn: ConnId,
        /// The sender's ticket, which the answer carries.
        ticket: Ticket,
        /// What it asks for, one of the `KIND_` constants of [`crate::wire`].
        kind: u16,
        /// How long the sender waits for the answer, in microseconds.
        timeout: Micros,
        /// What it is about; its meaning depends on the kind.
        subject: String,
        /// The payload, in the format of the kind.
        body: Vec<u8>,
    },
    /// A call of this process has ended.
    Outcome {
        /// The call's ticket.
        ticket: Ticket,
        /// How it ended.
        outcome: Outcome,
    },
}

/// What is to be sent.
#[derive(Debug)]
pub enum Output {
    /// The answer to an HTTP request.
    Respond {
        /// The request's connection.
        conn: ConnId,
        /// HTTP status.
        status: u16,
        /// The body, JSON.
        body: Vec<u8>,
        /// Seconds of the header `Retry-After`, if there is to be one.
        retry_after: Option<u32>,
    },
    /// The answer to a frame of another controller.
    PeerRespond {
        /// The frame's connection.
        conn: ConnId,
        /// The frame's ticket.
        ticket: Ticket,
        /// The answer, or how the call ended that was made for it.
        outcome: Outcome,
    },
    /// A call over HTTP.
    Call {
        /// Identifies the call in its outcome.
        ticket: Ticket,
        /// The server.
        dest: SocketAddr,
        /// HTTP method.
        method: &'static str,
        /// Path with its query.
        path: String,
        /// The body, JSON.
        body: Vec<u8>,
        /// The call ends as lost after this time, in microseconds.
        timeout: Micros,
    },
    /// A frame to another controller.
    PeerCall {
        /// Identifies the call in its outcome.
        ticket: Ticket,
        /// The other controller.
        dest: SocketAddr,
        /// What it asks for, one of the `KIND_` constants of [`crate::wire`].
        kind: u16,
        /// What it is about; its meaning depends on the kind.
        subject: String,
        /// The payload, in the format of the kind.
        body: Vec<u8>,
        /// The call ends as lost after this time, in microseconds.
        timeout: Micros,
    },
}
