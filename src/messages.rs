//! The messages between the controller and its environment: inputs that [`net`](crate::net) receives from sockets, and
//! outputs that it writes to them. They are plain data without I/O, so that tests and the simulator can pass them
//! directly.

use crate::clock::Micros;
use std::net::SocketAddr;

/// Identifies a connection to or from this process. Never reused within a process.
pub type ConnId = u64;
/// Identifies a call that this process makes to another system. Unique across restarts of the process, so that an answer
/// to a call of an earlier incarnation is not taken for the answer to a call of this one.
pub type Ticket = u64;

/// How a call to another system ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The call was not sent, since no connection was established. It will certainly not be executed.
    NotSent,
    /// The call was not sent, since the connection was refused: the process on the remote host has ended or has no free
    /// socket, or a firewall rejects the connection. A host that is down or partitioned does not answer at all.
    Refused,
    /// No answer arrived. The call may have been executed, or may still be executed minutes later.
    Lost,
    /// An answer arrived.
    Reply {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: Vec<u8>,
    },
}

impl Outcome {
    /// Whether the call was certainly not sent.
    pub fn not_sent(&self) -> bool {
        matches!(self, Outcome::NotSent | Outcome::Refused)
    }
}

/// The destination of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Dest {
    /// An HTTP server: the state service, the cloud provider or a worker agent.
    Http(SocketAddr),
    /// Another controller.
    Peer(SocketAddr),
}

/// A message to the controller.
#[derive(Debug)]
pub enum Input {
    /// An HTTP request. It is answered once, on its connection.
    Request {
        /// The connection that it arrived on.
        conn: ConnId,
        /// HTTP method.
        method: String,
        /// Path, including the query.
        path: String,
        /// Body of the request.
        body: Vec<u8>,
    },
    /// A frame of another controller. Its answer carries the ticket and is sent on the same connection.
    PeerRequest {
        /// The connection that it arrived on.
        conn: ConnId,
        /// The sender's ticket, which the answer carries.
        ticket: Ticket,
        /// Kind of the frame, one of the `KIND_` constants of [`crate::wire`].
        kind: u16,
        /// How long the sender waits for the answer, in microseconds.
        timeout: Micros,
        /// A short text whose meaning depends on the kind, such as an address or a path.
        subject: String,
        /// Body in the format of the kind.
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

/// A message from the controller.
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
        /// Value of the `Retry-After` header in seconds, if the answer has one.
        retry_after: Option<u32>,
    },
    /// The answer to a frame of another controller.
    PeerRespond {
        /// The frame's connection.
        conn: ConnId,
        /// The frame's ticket.
        ticket: Ticket,
        /// The answer, or the outcome of the call that was made on behalf of the sender.
        outcome: Outcome,
    },
    /// A call over HTTP.
    Call {
        /// Ticket of the call, which its outcome will carry.
        ticket: Ticket,
        /// Address of the server.
        dest: SocketAddr,
        /// HTTP method.
        method: &'static str,
        /// Path, including the query.
        path: String,
        /// The body, JSON.
        body: Vec<u8>,
        /// The call ends as [`Outcome::Lost`] if no answer arrives within this time, in microseconds.
        timeout: Micros,
    },
    /// A frame to another controller.
    PeerCall {
        /// Ticket of the call, which its outcome will carry.
        ticket: Ticket,
        /// Address of the other controller.
        dest: SocketAddr,
        /// Kind of the frame, one of the `KIND_` constants of [`crate::wire`].
        kind: u16,
        /// A short text whose meaning depends on the kind, such as an address or a path.
        subject: String,
        /// Body in the format of the kind.
        body: Vec<u8>,
        /// The call ends as [`Outcome::Lost`] if no answer arrives within this time, in microseconds.
        timeout: Micros,
    },
}
