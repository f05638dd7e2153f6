//! The commands that this node has recently delivered to workers for another controller.
//!
//! A controller that can't reach a worker sends the commands to a peer, which answers whether it could deliver them.
//! If it could not, the sender may start the task elsewhere at once. A late copy of the request must then not
//! deliver them after all. [`RecentDeliveries`] recognizes such copies; it does no I/O.

use crate::messages::Ticket;
use crate::seeded_hash::HashSet;
use std::collections::VecDeque;
use xxhash_rust::xxh3::Xxh3;

/// Number of requests that are remembered. Copies arrive minutes late; a leader that reaches no worker itself sends about
/// a hundred requests a second.
const DELIVERIES_REMEMBERED: usize = 32_768;

/// Requests to deliver commands that were handled, the oldest of which are forgotten.
#[derive(Default)]
pub(super) struct RecentDeliveries {
    known: HashSet<u64>,
    order: VecDeque<u64>,
}

impl RecentDeliveries {
    /// Records a request; returns false if it was handled before. A sender gives each request a ticket of its own.
    pub(super) fn insert(&mut self, ticket: Ticket, worker: &str, body: &[u8]) -> bool {
        let mut hasher = Xxh3::new();
        hasher.update(&ticket.to_le_bytes());
        hasher.update(worker.as_bytes());
        hasher.update(body);
        let request = hasher.digest();
        if !self.known.insert(request) {
            return false;
        }
        self.order.push_back(request);
        if self.order.len() > DELIVERIES_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }
}
