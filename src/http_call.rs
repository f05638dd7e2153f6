//! Building a call to one of the HTTP services that a controller uses (the state service and the cloud).
//!
//! An [`HttpCall`] is the call before it has a ticket and a destination. Actors build one from their own
//! request type and hand it over with [`HttpCall::send`], which numbers it and emits the output. Nothing
//! here does I/O, and nothing here remembers what was sent: the actor keeps what it needs under the ticket.

use crate::clock::Micros;
use crate::messages::{Output, Ticket};
use std::net::SocketAddr;

/// A call that has not been sent yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpCall {
    /// HTTP method, in upper case.
    pub method: &'static str,
    /// Path with its query.
    pub path: String,
    /// Body; empty for none.
    pub body: Vec<u8>,
    /// How long the answer is waited for before the call counts as lost.
    pub timeout: Micros,
}

impl HttpCall {
    /// A call without a body.
    pub fn without_body(method: &'static str, path: String, timeout: Micros) -> Self {
        Self {
            method,
            path,
            body: Vec::new(),
            timeout,
        }
    }

    /// A `POST` with a JSON body.
    pub fn post(path: String, body: Vec<u8>, timeout: Micros) -> Self {
        Self {
            method: "POST",
            path,
            body,
            timeout,
        }
    }

    /// Emits the call to `destination` and returns its ticket, under which the outcome will arrive.
    /// `last_ticket` is the last ticket that this process has given out.
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
