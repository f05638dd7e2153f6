//! Who asks the workers after a takeover: each controller those whose reports it carries, in slices, so
//! that a new term's token is shown within a second or two and not within a report period. Owns what
//! it knows of those workers, a hint: a token that is not the highest does nothing at the worker.

use crate::clock::{MILLI, Micros, SECOND};
use crate::maps::{HashMap, HashSet};
use crate::net::{Output, Ticket};
use crate::wire::{AskRow, Orders, report_addr, report_head, reports_nothing};
use std::net::SocketAddr;
use std::sync::Arc;

/// Between two slices, and how many of them all workers take.
const SLICE: Micros = 50 * MILLI;
const SLICES: usize = 24;
const SLICE_MIN: usize = 4;
/// A node that is that far behind asks nobody: most workers report by themselves soon enough.
const LAG: Micros = 60 * MILLI;
const CALL_TIME: Micros = 1_500 * MILLI;
/// Workers come and go; past that many, those not heard for so long are forgotten, and only then all.
const FORGOTTEN: Micros = 60 * SECOND;
const MOST_KNOWN: usize = 1 << 15;

struct Carried {
    addr: SocketAddr,
    session: u64,
    at: Micros,
    /// It holds no task: there is room for one.
    idle: bool,
}

#[derive(Default)]
pub struct Hearing {
    carried: HashMap<Arc<str>, Carried>,
    /// Who is still to be asked under this term, the last first.
    queue: Vec<Arc<str>>,
    term: u64,
    token: u64,
    at: Micros,
    slice: usize,
    /// Workers that the leader wants to have asked from here, the last first: nobody may carry them.
    assigned: Vec<(Arc<str>, SocketAddr, u64)>,
    open: HashSet<Ticket>,
    pub asked: u64,
}

impl Hearing {
    /// A worker's report came to this node.
    pub fn carries(&mut self, now: Micros, body: &[u8]) {
        let Some((host, session)) = report_head(body) else {
            return;
        };
        let idle = reports_nothing(body);
        if let Some(c) = self.carried.get_mut(host)
            && c.session == session
        {
            (c.at, c.idle) = (now, idle);
            return;
        }
        let Some(addr) = report_addr(body) else {
            return;
        };
        if self.carried.len() >= MOST_KNOWN {
            let since = now.saturating_sub(FORGOTTEN);
            self.carried.retain(|_, c| c.at >= since);
        }
        if self.carried.len() >= MOST_KNOWN {
            log::warn!("more than {MOST_KNOWN} workers reported here within a minute");
            self.carried.clear();
        }
        let known = Carried {
            addr,
            session,
            at: now,
            idle,
        };
        self.carried.insert(host.into(), known);
    }

    /// There is a new term: everybody heard since `since` is asked, machines with room first. Tells
    /// whether it is new.
    pub fn begin(&mut self, now: Micros, term: u64, token: u64, since: Micros) -> bool {
        if term <= self.term {
            return false;
        }
        (self.term, self.token, self.at) = (term, token, now);
        self.carried.retain(|_, c| c.at >= since);
        let mut queue: Vec<_> = self.carried.iter().map(|(id, c)| (c.idle, id)).collect();
        queue.sort_unstable();
        self.queue = queue.into_iter().map(|q| q.1.clone()).collect();
        self.slice = (self.queue.len() / SLICES).max(SLICE_MIN);
        true
    }

    /// The leader wants these workers to be asked from here, under its token.
    pub fn assign(&mut self, now: Micros, rows: &[AskRow]) {
        if !self.waits() {
            self.at = now;
        }
        let rows = rows.iter().rev();
        let rows = rows.map(|r| (r.host().into(), r.addr(), r.token.get()));
        self.assigned.extend(rows);
        self.assigned.truncate(MOST_KNOWN);
        let all = self.queue.len() + self.assigned.len();
        self.slice = (all / SLICES).max(SLICE_MIN);
    }

    fn waits(&self) -> bool {
        !self.queue.is_empty() || !self.assigned.is_empty()
    }

    /// When the next slice is due.
    pub fn wake_at(&self) -> Option<Micros> {
        self.waits().then_some(self.at)
    }

    /// Whom to ask next, with its session and the token to show: those whose reports come here first.
    fn next(&mut self) -> Option<(SocketAddr, u64, u64)> {
        while let Some(id) = self.queue.pop() {
            if let Some(c) = self.carried.get(&id) {
                return Some((c.addr, c.session, self.token));
            }
        }
        let (id, addr, token) = self.assigned.pop()?;
        // A worker's session is the first until its lease ran out once; where it is another, it says so.
        let session = self.carried.get(&id).map_or(1, |c| c.session);
        Some((addr, session, token))
    }

    /// Asks the next slice.
    pub fn tick(&mut self, now: Micros, lag: Micros, tickets: &mut Ticket, out: &mut Vec<Output>) {
        if !self.waits() || now < self.at {
            return;
        }
        self.at = now + SLICE;
        if lag > LAG || self.open.len() > 2 * self.slice {
            return;
        }
        for _ in 0..self.slice {
            let Some((dest, session, token)) = self.next() else {
                return;
            };
            let ask = Orders {
                token,
                session: Some(session.max(1)),
                orders: Vec::new(),
            };
            let Ok(body) = serde_json::to_vec(&ask) else {
                return;
            };
            *tickets += 1;
            self.asked += 1;
            self.open.insert(*tickets);
            out.push(Output::Call {
                ticket: *tickets,
                dest,
                method: "POST",
                path: "/commands".to_owned(),
                body,
                timeout: CALL_TIME,
            });
        }
    }

    /// Whether a call was one of these; it is over now.
    pub fn answered(&mut self, ticket: Ticket) -> bool {
        self.open.remove(&ticket)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::SECOND;

    fn report(n: usize, parts: &str) -> String {
        format!(
            r#"{{"host":"m-{n:06}","addr":"10.1.0.{}:9000","stint":2,"tally":7,"baton":1,"parts":[{parts}]}}"#,
            n + 1
        )
    }

    /// Lets it ask all whom it would ask, and answers; who was asked with what, and when that was over.
    fn ask_all(h: &mut Hearing) -> (Vec<(SocketAddr, String)>, Micros) {
        let (mut tickets, mut asked, mut t) = (0, Vec::new(), 2 * SECOND);
        while h.wake_at().is_some() {
            let mut out = Vec::new();
            h.tick(t, 0, &mut tickets, &mut out);
            assert!(out.len() <= 4);
            for o in out {
                let Output::Call {
                    ticket, dest, body, ..
                } = o
                else {
                    panic!("a call")
                };
                assert!(h.answered(ticket) && !h.answered(ticket));
                asked.push((dest, String::from_utf8(body).unwrap()));
            }
            t += SLICE;
        }
        (asked, t)
    }

    #[test]
    fn workers_that_the_leader_assigns_are_asked_under_its_token_after_those_carried() {
        let mut h = Hearing::default();
        h.carries(SECOND, report(0, "").as_bytes());
        h.begin(2 * SECOND, 3, 3 << 24, SECOND);
        let addr = |n: usize| format!("10.1.0.{}:9000", n + 1).parse().unwrap();
        let rows: Vec<AskRow> = (0..30)
            .filter_map(|n| AskRow::new((3 << 24) + 5, &format!("m-{n:06}"), addr(n)))
            .collect();
        assert_eq!(rows.len(), 30);
        h.assign(2 * SECOND, &rows);
        let asked = ask_all(&mut h).0.into_iter().map(|(dest, body)| {
            let body: Orders = serde_json::from_str(&body).unwrap();
            (dest, body.token & 0xff, body.session)
        });
        let asked: Vec<_> = asked.collect();
        assert_eq!(asked[0], (addr(0), 0, Some(2)), "as it was carried");
        assert_eq!(asked[1], (addr(0), 5, Some(2)), "as it was assigned");
        assert_eq!(asked[30], (addr(29), 5, Some(1)), "of unknown session");
        assert_eq!(asked.len(), 31);
        assert!(AskRow::new(1, "a name of more than 24 letters", addr(1)).is_none());
    }

    #[test]
    fn workers_are_asked_once_a_term_in_slices_those_with_room_first() {
        let mut h = Hearing::default();
        let busy = r#"{"part":"wk-1/0","try":1,"status":"running"}"#;
        for n in 0..60 {
            h.carries(SECOND, report(n, if n < 40 { busy } else { "" }).as_bytes());
        }
        h.carries(0, report(99, "").as_bytes());
        assert!(h.begin(2 * SECOND, 3, 3 << 24, SECOND));
        assert!(!h.begin(2 * SECOND, 3, 3 << 24, SECOND));
        let (asked, t) = ask_all(&mut h);
        let as_it_should = |body: &str| body == r#"{"baton":50331648,"stint":2,"orders":[]}"#;
        assert!(asked.iter().all(|(_, body)| as_it_should(body)));
        assert_eq!(asked.len(), 60, "not the one that was heard too long ago");
        assert!(t < 4 * SECOND);
        let last_of_busy: SocketAddr = "10.1.0.40:9000".parse().unwrap();
        let room = |(dest, _): &(SocketAddr, String)| *dest > last_of_busy;
        assert!(asked[..20].iter().all(room));
        // A node that is behind asks nobody.
        h.begin(t, 4, 4 << 24, 0);
        let mut out = Vec::new();
        h.tick(t, SECOND, &mut 0, &mut out);
        assert!(out.is_empty() && h.wake_at().is_some());
    }
}
