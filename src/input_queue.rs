//! Priority queue of received inputs: answers and control messages first, then client requests, then heartbeats. Overdue
//! heartbeats take turns with client requests, so that no worker's lease expires because of a delayed answer.
//!
//! [`InputQueue`] owns the queued inputs and their arrival times. It is independent of sockets, and drops an input only
//! if its sender no longer waits for the answer.

use crate::clock::{MILLISECOND, Micros};
use crate::messages::Input;
use crate::wire::{
    HEALTH_PATH, HEARTBEAT_PATH, KIND_CLIENT_REQUEST, KIND_HEARTBEAT, KIND_HEARTBEAT_BATCH,
};
use std::collections::VecDeque;

/// Heartbeats that have waited for this long are overdue and no longer yield to all client requests. It is an eighth of
/// a worker's timeout.
const HEARTBEAT_OVERDUE_AFTER: Micros = 500 * MILLISECOND;
/// How many heartbeats are served per client request while heartbeats are overdue.
const HEARTBEATS_PER_CLIENT_REQUEST: u32 = 4;

/// Priority classes of inputs, the most urgent first.
enum InputClass {
    /// Answers to this controller's calls, control frames of other controllers, and health checks.
    Urgent,
    ClientRequests,
    Heartbeats,
}

fn classify(input: &Input) -> InputClass {
    match input {
        Input::Request { path, .. } if path == HEARTBEAT_PATH => InputClass::Heartbeats,
        Input::Request { path, .. } if path == HEALTH_PATH => InputClass::Urgent,
        Input::Request { .. } => InputClass::ClientRequests,
        Input::PeerRequest { kind, .. } => match *kind {
            KIND_HEARTBEAT | KIND_HEARTBEAT_BATCH => InputClass::Heartbeats,
            KIND_CLIENT_REQUEST => InputClass::ClientRequests,
            _ => InputClass::Urgent,
        },
        Input::Outcome { .. } => InputClass::Urgent,
    }
}

/// A queued input.
struct QueuedInput {
    arrived_at: Micros,
    input: Input,
}

/// The queued inputs, by class.
#[derive(Default)]
pub struct InputQueue {
    now: Micros,
    /// Inputs that have arrived since the time was last set.
    unclassified: Vec<Input>,
    urgent: VecDeque<Input>,
    client_requests: VecDeque<QueuedInput>,
    /// Heartbeats, including those that other controllers forward.
    heartbeats: VecDeque<QueuedInput>,
    /// Position in the round-robin cycle of heartbeats and client requests.
    round_robin_position: u32,
}

impl InputQueue {
    /// Sets the current time. Inputs received since the last call are given this time as their arrival time.
    pub fn set_now(&mut self, now: Micros) {
        self.now = now;
        for input in std::mem::take(&mut self.unclassified) {
            let class = classify(&input);
            let queued = QueuedInput {
                arrived_at: now,
                input,
            };
            match class {
                InputClass::Urgent => self.urgent.push_back(queued.input),
                InputClass::ClientRequests => self.client_requests.push_back(queued),
                InputClass::Heartbeats => self.heartbeats.push_back(queued),
            }
        }
    }

    /// Adds an input that has just arrived.
    pub fn push(&mut self, input: Input) {
        self.unclassified.push(input);
    }

    /// Whether no input is queued.
    pub fn is_empty(&self) -> bool {
        self.unclassified.is_empty()
            && self.urgent.is_empty()
            && self.client_requests.is_empty()
            && self.heartbeats.is_empty()
    }

    /// How long the oldest client request or heartbeat has waited, in microseconds.
    pub fn longest_wait(&self) -> Micros {
        let fronts = [self.client_requests.front(), self.heartbeats.front()];
        let since = fronts.into_iter().flatten().map(|queued| queued.arrived_at);
        since
            .min()
            .map_or(0, |since| self.now.saturating_sub(since))
    }

    /// Whether the oldest heartbeat has waited for so long that heartbeats take turns with client requests.
    fn heartbeats_overdue(&self) -> bool {
        let first = self.heartbeats.front();
        first.is_some_and(|queued| self.now >= queued.arrived_at + HEARTBEAT_OVERDUE_AFTER)
    }

    /// Removes and returns the next input that takes precedence over heartbeats. After a failover, a thousand heartbeats
    /// arrive within seconds; in a common queue, client requests and answers to lease renewals would wait behind them.
    ///
    /// `is_sender_waiting` tells whether the sender of an input still waits for the answer. A sender that has timed out
    /// retries; serving both requests would make an overloaded controller fall further behind.
    pub fn next_urgent(&mut self, is_sender_waiting: impl Fn(&Input) -> bool) -> Option<Input> {
        self.set_now(self.now);
        if let Some(input) = self.urgent.pop_front() {
            return Some(input);
        }
        if self.heartbeats_overdue() {
            return None;
        }
        pop_waiting(&mut self.client_requests, is_sender_waiting)
    }

    /// Removes and returns the next input. Heartbeats come last; once they are overdue, they take turns with client
    /// requests.
    pub fn next(&mut self, is_sender_waiting: impl Fn(&Input) -> bool) -> Option<Input> {
        if let Some(input) = self.next_urgent(&is_sender_waiting) {
            return Some(input);
        }
        self.round_robin_position =
            (self.round_robin_position + 1) % (HEARTBEATS_PER_CLIENT_REQUEST + 1);
        if self.round_robin_position == 0
            && let Some(input) = pop_waiting(&mut self.client_requests, &is_sender_waiting)
        {
            return Some(input);
        }
        pop_waiting(&mut self.heartbeats, &is_sender_waiting)
            .or_else(|| pop_waiting(&mut self.client_requests, &is_sender_waiting))
    }
}

/// Removes and returns the first input of the queue whose sender still waits, and drops those before it.
fn pop_waiting(
    queue: &mut VecDeque<QueuedInput>,
    is_sender_waiting: impl Fn(&Input) -> bool,
) -> Option<Input> {
    while let Some(queued) = queue.pop_front() {
        if is_sender_waiting(&queued.input) {
            return Some(queued.input);
        }
    }
    None
}
