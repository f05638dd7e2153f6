//! HTTP calls of a controller to the state service, the cloud provider and worker agents.
//!
//! An [`HttpCall`] describes a call that has no ticket and no destination yet. Actors build one from their own request
//! type and pass it to [`HttpCall::send`], which assigns a ticket and emits the output. This module does no I/O and
//! keeps no record of calls: the actor stores what it needs to handle the outcome under the ticket.

use crate::clock::Micros;
use crate::messages::{Output, Ticket};
use std::net::SocketAddr;

/// A call that has not been sent yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpCall {
    /// HTTP method, in upper case.
    pub method: &'static str,
    /// Path, including the query.
    pub path: String,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
    /// The call ends as [`Outcome::Lost`](crate::messages::Outcome::Lost) if no answer arrives within this time.
    pub timeout: Micros,
}

impl HttpCall {
    /// Creates a call without a body.
    pub fn without_body(method: &'static str, path: String, timeout: Micros) -> Self {
        Self {
            method,
            path,
            body: Vec::new(),
            timeout,
        }
    }

    /// Creates a `POST` call with a JSON body.
    pub fn post(path: String, body: Vec<u8>, timeout: Micros) -> Self {
        Self {
            method: "POST",
            path,
            body,
            timeout,
        }
    }

    /// Emits the call to `destination` and returns its ticket, which its outcome will carry. `last_ticket` is the last
    /// ticket that this process has assigned; it is incremented.
    pub fn send(
        self,
        destination: SocketAddr,
        last_ticket: &mut Ticket,
        outputs: &mut Vec<Output>,
    ) -> Ticket {
        *last_ticket += 1;
        outputs.push(Output::Call {
            ticket: *last_ticket,
            dest: destination,
            method: self.method,
            path: self.path,
            body: self.body,
            timeout: self.timeout,
        });
        *last_ticket
    }
}
