//! Who is served first: answers, then users, then reports, as long as no worker loses its lease
//! for it. Owns the inputs that wait; knows nothing of sockets.

use crate::clock::{MILLISECOND, Micros};
use crate::messages::Input;
use crate::wire::{
    HEALTH_PATH, HEARTBEAT_PATH, KIND_CLIENT_REQUEST, KIND_HEARTBEAT, KIND_HEARTBEAT_BATCH,
};
use std::collections::VecDeque;

/// Reports that have waited this long, an eighth of what their workers give an answer, no longer
/// stand behind users.
const HEARTBEAT_WAIT_MAX: Micros = 500 * MILLISECOND;
/// Then so many of them are taken for each request of a user.
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

#[derive(Default)]
pub struct InputQueue {
    now: Micros,
    /// Taken in since the time was last set.
    unsorted: Vec<Input>,
    /// Answers to our calls, and what other controllers ask for themselves.
    answers: VecDeque<Input>,
    /// Users' requests, and since when they wait.
    client_requests: VecDeque<(Micros, Input)>,
    /// Workers' reports, also those that peers pass on.
    heartbeats: VecDeque<(Micros, Input)>,
    turn: u32,
}

impl InputQueue {
    /// Sets the time; what came in meanwhile counts as having come now.
    pub fn set_now(&mut self, now: Micros) {
        self.now = now;
        for input in std::mem::take(&mut self.unsorted) {
            match classify(&input) {
                InputClass::Answers => self.answers.push_back(input),
                InputClass::ClientRequests => self.client_requests.push_back((now, input)),
                InputClass::Heartbeats => self.heartbeats.push_back((now, input)),
            }
        }
    }

    pub fn push(&mut self, input: Input) {
        self.unsorted.push(input);
    }

    pub fn is_empty(&self) -> bool {
        self.unsorted.is_empty()
            && self.answers.is_empty()
            && self.client_requests.is_empty()
            && self.heartbeats.is_empty()
    }

    /// How long the input that has waited longest has done so.
    pub fn longest_wait(&self) -> Micros {
        let users = self.client_requests.front().map(|w| w.0);
        let reports = self.heartbeats.front().map(|w| w.0);
        let since = users.into_iter().chain(reports).min();
        since.map_or(0, |t| self.now.saturating_sub(t))
    }

    /// Reports have waited for so long that users wait with them.
    fn heartbeats_overdue(&self) -> bool {
        let first = self.heartbeats.front();
        first.is_some_and(|w| self.now >= w.0 + HEARTBEAT_WAIT_MAX)
    }

    /// The next of what goes before reports. After a takeover a thousand reports come within
    /// seconds; in one line with them, users' requests and the grant's renewals would wait as
    /// long. Users go first only while that costs no worker its lease.
    ///
    /// `awaited` tells whether the other end still waits for the answer. Whoever has given up asks
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

    /// The next input; reports come last, or, once they have waited long, take turns with users.
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

fn pop_awaited(
    line: &mut VecDeque<(Micros, Input)>,
    awaited: impl Fn(&Input) -> bool,
) -> Option<Input> {
    while let Some((_, input)) = line.pop_front() {
        if awaited(&input) {
            return Some(input);
        }
    }
    None
}
