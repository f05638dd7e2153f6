//! Who asks the workers after a takeover: each controller those whose reports it carries, in slices, so
//! that a new term's token is shown within a second or two and not within a report period. Owns what
//! it knows of those workers, a hint: a token that is not the highest does nothing at the worker.

use crate::clock::{MILLISECOND, Micros};
use crate::messages::{Output, Ticket};
use crate::seeded_hash::{HashMap, HashSet};
use crate::wire::{Commands, ProbeRow, heartbeat_address, heartbeat_head, reports_no_tasks};
use std::net::SocketAddr;
use std::sync::Arc;

/// Between two slices, and how many of them all workers take.
const BATCH_INTERVAL: Micros = 50 * MILLISECOND;
const BATCHES_PER_ROUND: usize = 24;
const BATCH_SIZE_MIN: usize = 4;
/// A node that is that far behind asks nobody: most workers report by themselves soon enough.
const PROBE_LAG_MAX: Micros = 60 * MILLISECOND;
const CALL_TIMEOUT: Micros = 1_500 * MILLISECOND;
/// Workers come and go; past that many, what is known is forgotten.
const KNOWN_WORKERS_MAX: usize = 1 << 15;

struct KnownWorker {
    addr: SocketAddr,
    agent_epoch: u64,
    last_heartbeat_at: Micros,
    /// It holds no task: there is room for one.
    idle: bool,
}

#[derive(Default)]
pub struct WorkerProbe {
    known_workers: HashMap<Arc<str>, KnownWorker>,
    /// Who is still to be asked under this term, the last first.
    queue: Vec<Arc<str>>,
    term: u64,
    token: u64,
    next_batch_at: Micros,
    batch_size: usize,
    /// Workers that the leader wants to have asked from here, the last first: nobody may carry them.
    assigned: Vec<(Arc<str>, SocketAddr, u64)>,
    in_flight: HashSet<Ticket>,
    pub probes_sent: u64,
}

impl WorkerProbe {
    /// A worker's report came to this node.
    pub fn note_heartbeat(&mut self, now: Micros, body: &[u8]) {
        let Some((host, agent_epoch)) = heartbeat_head(body) else {
            return;
        };
        let idle = reports_no_tasks(body);
        if let Some(c) = self.known_workers.get_mut(host)
            && c.agent_epoch == agent_epoch
        {
            (c.last_heartbeat_at, c.idle) = (now, idle);
            return;
        }
        let Some(addr) = heartbeat_address(body) else {
            return;
        };
        if self.known_workers.len() >= KNOWN_WORKERS_MAX {
            self.known_workers.clear();
        }
        let known = KnownWorker {
            addr,
            agent_epoch,
            last_heartbeat_at: now,
            idle,
        };
        self.known_workers.insert(host.into(), known);
    }

    /// There is a new term: everybody heard since `since` is asked, machines with room first. Tells
    /// whether it is new.
    pub fn begin_term(&mut self, now: Micros, term: u64, token: u64, since: Micros) -> bool {
        if term <= self.term {
            return false;
        }
        (self.term, self.token, self.next_batch_at) = (term, token, now);
        self.known_workers
            .retain(|_, c| c.last_heartbeat_at >= since);
        let mut queue: Vec<_> = self
            .known_workers
            .iter()
            .map(|(id, c)| (c.idle, id))
            .collect();
        queue.sort_unstable();
        self.queue = queue.into_iter().map(|q| q.1.clone()).collect();
        self.batch_size = (self.queue.len() / BATCHES_PER_ROUND).max(BATCH_SIZE_MIN);
        true
    }

    /// The leader wants these workers to be asked from here, under its token.
    pub fn assign(&mut self, now: Micros, rows: &[ProbeRow]) {
        if !self.has_pending() {
            self.next_batch_at = now;
        }
        let rows = rows.iter().rev();
        let rows = rows.map(|r| (r.machine().into(), r.address(), r.fencing_token.get()));
        self.assigned.extend(rows);
        self.assigned.truncate(KNOWN_WORKERS_MAX);
        let all = self.queue.len() + self.assigned.len();
        self.batch_size = (all / BATCHES_PER_ROUND).max(BATCH_SIZE_MIN);
    }

    fn has_pending(&self) -> bool {
        !self.queue.is_empty() || !self.assigned.is_empty()
    }

    /// When the next slice is due.
    pub fn wake_at(&self) -> Option<Micros> {
        self.has_pending().then_some(self.next_batch_at)
    }

    /// Whom to ask next, with its session and the token to show: those whose reports come here first.
    fn next_target(&mut self) -> Option<(SocketAddr, u64, u64)> {
        while let Some(id) = self.queue.pop() {
            if let Some(c) = self.known_workers.get(&id) {
                return Some((c.addr, c.agent_epoch, self.token));
            }
        }
        let (id, addr, token) = self.assigned.pop()?;
        // A worker's session is the first until its lease ran out once; where it is another, it says so.
        let agent_epoch = self.known_workers.get(&id).map_or(1, |c| c.agent_epoch);
        Some((addr, agent_epoch, token))
    }

    /// Asks the next slice.
    pub fn tick(&mut self, now: Micros, lag: Micros, tickets: &mut Ticket, out: &mut Vec<Output>) {
        if !self.has_pending() || now < self.next_batch_at {
            return;
        }
        self.next_batch_at = now + BATCH_INTERVAL;
        if lag > PROBE_LAG_MAX || self.in_flight.len() > 2 * self.batch_size {
            return;
        }
        for _ in 0..self.batch_size {
            let Some((dest, agent_epoch, token)) = self.next_target() else {
                return;
            };
            let ask = Commands {
                fencing_token: token,
                agent_epoch: Some(agent_epoch.max(1)),
                commands: Vec::new(),
            };
            let Ok(body) = serde_json::to_vec(&ask) else {
                return;
            };
            *tickets += 1;
            self.probes_sent += 1;
            self.in_flight.insert(*tickets);
            out.push(Output::Call {
                ticket: *tickets,
                dest,
                method: "POST",
                path: "/commands".to_owned(),
                body,
                timeout: CALL_TIMEOUT,
            });
        }
    }

    /// Whether a call was one of these; it is over now.
    pub fn answered(&mut self, ticket: Ticket) -> bool {
        self.in_flight.remove(&ticket)
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
    fn ask_all(h: &mut WorkerProbe) -> (Vec<(SocketAddr, String)>, Micros) {
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
            t += BATCH_INTERVAL;
        }
        (asked, t)
    }

    #[test]
    fn workers_that_the_leader_assigns_are_asked_under_its_token_after_those_carried() {
        let mut h = WorkerProbe::default();
        h.note_heartbeat(SECOND, report(0, "").as_bytes());
        h.begin_term(2 * SECOND, 3, 3 << 24, SECOND);
        let addr = |n: usize| format!("10.1.0.{}:9000", n + 1).parse().unwrap();
        let rows: Vec<ProbeRow> = (0..30)
            .filter_map(|n| ProbeRow::new((3 << 24) + 5, &format!("m-{n:06}"), addr(n)))
            .collect();
        assert_eq!(rows.len(), 30);
        h.assign(2 * SECOND, &rows);
        let asked = ask_all(&mut h).0.into_iter().map(|(dest, body)| {
            let body: Commands = serde_json::from_str(&body).unwrap();
            (dest, body.fencing_token & 0xff, body.agent_epoch)
        });
        let asked: Vec<_> = asked.collect();
        assert_eq!(asked[0], (addr(0), 0, Some(2)), "as it was carried");
        assert_eq!(asked[1], (addr(0), 5, Some(2)), "as it was assigned");
        assert_eq!(asked[30], (addr(29), 5, Some(1)), "of unknown session");
        assert_eq!(asked.len(), 31);
        assert!(ProbeRow::new(1, "a name of more than 24 letters", addr(1)).is_none());
    }

    #[test]
    fn workers_are_asked_once_a_term_in_slices_those_with_room_first() {
        let mut h = WorkerProbe::default();
        let busy = r#"{"part":"wk-1/0","try":1,"status":"running"}"#;
        for n in 0..60 {
            h.note_heartbeat(SECOND, report(n, if n < 40 { busy } else { "" }).as_bytes());
        }
        h.note_heartbeat(0, report(99, "").as_bytes());
        assert!(h.begin_term(2 * SECOND, 3, 3 << 24, SECOND));
        assert!(!h.begin_term(2 * SECOND, 3, 3 << 24, SECOND));
        let (asked, t) = ask_all(&mut h);
        let as_it_should = |body: &str| body == r#"{"baton":50331648,"stint":2,"orders":[]}"#;
        assert!(asked.iter().all(|(_, body)| as_it_should(body)));
        assert_eq!(asked.len(), 60, "not the one that was heard too long ago");
        assert!(t < 4 * SECOND);
        let last_of_busy: SocketAddr = "10.1.0.40:9000".parse().unwrap();
        let room = |(dest, _): &(SocketAddr, String)| *dest > last_of_busy;
        assert!(asked[..20].iter().all(room));
        // A node that is behind asks nobody.
        h.begin_term(t, 4, 4 << 24, 0);
        let mut out = Vec::new();
        h.tick(t, SECOND, &mut 0, &mut out);
        assert!(out.is_empty() && h.wake_at().is_some());
    }
}
