//! The order in which inputs are served: answers first, then client requests, then heartbeats, as long as that
//! costs no worker its lease.
//!
//! [`InputQueue`] owns the inputs that wait, and when each arrived. It knows nothing of sockets, and drops an
//! input only when its sender no longer waits for the answer.

use crate::clock::{MILLISECOND, Micros};
use crate::messages::Input;
use crate::wire::{
    HEALTH_PATH, HEARTBEAT_PATH, KIND_CLIENT_REQUEST, KIND_HEARTBEAT, KIND_HEARTBEAT_BATCH,
};
use std::collections::VecDeque;

/// Heartbeats that have waited this long, an eighth of what their workers wait for an answer, no longer queue
/// behind client requests.
const HEARTBEAT_WAIT_MAX: Micros = 500 * MILLISECOND;
/// From then on this many of them are served for each client request.
const HEARTBEATS_PER_CLIENT_REQUEST: u32 = 4;

enum InputClass {
    Answers,
    ClientRequests,
    Heartbeats,
}

fn classify(input: &Input) -> InputClass {
    match input {
        Input::Request { path, .. } if path == HEARTBEAT_PATH => InputClass::Heartbeats,
        Input::Request { path, .. } if path == HEALTH_PATH => InputClass::Answers,
        Input::Request { .. } => InputClass::ClientRequests,
        Input::PeerRequest { kind, .. } => match *kind {
            KIND_HEARTBEAT | KIND_HEARTBEAT_BATCH => InputClass::Heartbeats,
            KIND_CLIENT_REQUEST => InputClass::ClientRequests,
            _ => InputClass::Answers,
        },
        Input::Outcome { .. } => InputClass::Answers,
    }
}

/// An input that waits.
struct Waiting {
    since: Micros,
    input: Input,
}

/// The inputs that wait, by class.
#[derive(Default)]
pub struct InputQueue {
    now: Micros,
    /// Arrived since the time was last set.
    unsorted: Vec<Input>,
    /// Answers to this node's calls, and what other controllers ask for themselves.
    answers: VecDeque<Input>,
    client_requests: VecDeque<Waiting>,
    /// Workers' heartbeats, also those that peers forward.
    heartbeats: VecDeque<Waiting>,
    /// Counts the inputs served while heartbeats are overdue.
    turn: u32,
}

impl InputQueue {
    /// Sets the time. What arrived since it was last set counts as having arrived now.
    pub fn set_now(&mut self, now: Micros) {
        self.now = now;
        for input in std::mem::take(&mut self.unsorted) {
            let class = classify(&input);
            let waiting = Waiting { since: now, input };
            match class {
                InputClass::Answers => self.answers.push_back(waiting.input),
                InputClass::ClientRequests => self.client_requests.push_back(waiting),
                InputClass::Heartbeats => self.heartbeats.push_back(waiting),
            }
        }
    }

    /// Adds an input that has just arrived.
    pub fn push(&mut self, input: Input) {
        self.unsorted.push(input);
    }

    /// Whether no input waits.
    pub fn is_empty(&self) -> bool {
        self.unsorted.is_empty()
            && self.answers.is_empty()
            && self.client_requests.is_empty()
            && self.heartbeats.is_empty()
    }

    /// How long the client request or heartbeat that has waited longest has done so, in microseconds.
    pub fn longest_wait(&self) -> Micros {
        let fronts = [self.client_requests.front(), self.heartbeats.front()];
        let since = fronts.into_iter().flatten().map(|waiting| waiting.since);
        since
            .min()
            .map_or(0, |since| self.now.saturating_sub(since))
    }

    /// Whether heartbeats have waited for so long that client requests take turns with them.
    fn heartbeats_overdue(&self) -> bool {
        let first = self.heartbeats.front();
        first.is_some_and(|waiting| self.now >= waiting.since + HEARTBEAT_WAIT_MAX)
    }

    /// The next input that precedes heartbeats. After a failover a thousand heartbeats arrive within seconds; in
    /// one queue with them, client requests and lease renewals would wait as long.
    ///
    /// `awaited` says whether the sender of an input still waits for the answer. A sender that has given up asks
    /// again; were both served, a node that is behind would only fall further behind.
    pub fn next_urgent(&mut self, awaited: impl Fn(&Input) -> bool) -> Option<Input> {
        self.set_now(self.now);
        if let Some(input) = self.answers.pop_front() {
            return Some(input);
        }
        if self.heartbeats_overdue() {
            return None;
        }
        pop_awaited(&mut self.client_requests, awaited)
    }

    /// The next input. Heartbeats come last, or, once they are overdue, take turns with client requests.
    pub fn next(&mut self, awaited: impl Fn(&Input) -> bool) -> Option<Input> {
        if let Some(input) = self.next_urgent(&awaited) {
            return Some(input);
        }
        self.turn = (self.turn + 1) % (HEARTBEATS_PER_CLIENT_REQUEST + 1);
        if self.turn == 0
            && let Some(input) = pop_awaited(&mut self.client_requests, &awaited)
        {
            return Some(input);
        }
        pop_awaited(&mut self.heartbeats, &awaited)
            .or_else(|| pop_awaited(&mut self.client_requests, &awaited))
    }
}

/// The first input of the queue whose sender still waits; those before it are dropped.
fn pop_awaited(queue: &mut VecDeque<Waiting>, awaited: impl Fn(&Input) -> bool) -> Option<Input> {
    while let Some(waiting) = queue.pop_front() {
        if awaited(&waiting.input) {
            return Some(waiting.input);
        }
    }
    None
}
