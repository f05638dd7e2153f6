//! Who is served first: answers, then users, then reports, as long as no worker loses its lease
//! for it. Owns the inputs that wait; knows nothing of sockets.

use crate::clock::{MILLI, Micros};
use crate::net::Input;
use crate::wire::{KIND_REPORT, KIND_REPORTS, KIND_USER, REPORT_PATH, UP_PATH};
use std::collections::VecDeque;

/// Reports that have waited this long, an eighth of what their workers give an answer, no longer
/// stand behind users.
const PRESSED: Micros = 500 * MILLI;
/// Then so many of them are taken for each request of a user.
const REPORTS_A_USER: u32 = 4;

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

#[derive(Default)]
pub struct Lanes {
    now: Micros,
    /// Taken in since the time was last set.
    fresh: Vec<Input>,
    /// Answers to our calls, and what other controllers ask for themselves.
    answers: VecDeque<Input>,
    /// Users' requests, and since when they wait.
    users: VecDeque<(Micros, Input)>,
    /// Workers' reports, also those that peers pass on.
    reports: VecDeque<(Micros, Input)>,
    turn: u32,
}

impl Lanes {
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

    pub fn push(&mut self, input: Input) {
        self.fresh.push(input);
    }

    pub fn is_empty(&self) -> bool {
        self.fresh.is_empty()
            && self.answers.is_empty()
            && self.users.is_empty()
            && self.reports.is_empty()
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
    ///
    /// `awaited` tells whether the other end still waits for the answer. Whoever has given up asks
    /// again; were both served, a node that is behind would only fall further behind.
    pub fn next_urgent(&mut self, awaited: impl Fn(&Input) -> bool) -> Option<Input> {
        self.set_now(self.now);
        if let Some(input) = self.answers.pop_front() {
            return Some(input);
        }
        if self.pressed() {
            return None;
        }
        first(&mut self.users, awaited)
    }

    /// The next input; reports come last, or, once they have waited long, take turns with users.
    pub fn next(&mut self, awaited: impl Fn(&Input) -> bool) -> Option<Input> {
        if let Some(input) = self.next_urgent(&awaited) {
            return Some(input);
        }
        self.turn = (self.turn + 1) % (REPORTS_A_USER + 1);
        if self.turn == 0
            && let Some(input) = first(&mut self.users, &awaited)
        {
            return Some(input);
        }
        first(&mut self.reports, &awaited).or_else(|| first(&mut self.users, &awaited))
    }
}

fn first(line: &mut VecDeque<(Micros, Input)>, awaited: impl Fn(&Input) -> bool) -> Option<Input> {
    while let Some((_, input)) = line.pop_front() {
        if awaited(&input) {
            return Some(input);
        }
    }
    None
}
