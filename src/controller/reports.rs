//! Workers' reports: taken by the leader, passed on to it by the others.

use super::*;
use crate::recovery::Phase;
use crate::wire::{AnswerRow, AskRow, FRAME_MAX, Glance, Orders, ReportRow, SEND_WHOLE};
use crate::workers::{Repeat, first_token};
use zerocopy::FromBytes;

/// A link over which a call failed is not used for that long.
const LINK_REST: Micros = 4 * SECOND;

/// At an overloaded controller a report may wait that long for the leader's answer. Its worker gives it
/// 4 s: were it given up before that, a leader that is 2 s behind would see every worker come anew, which puts it
/// further behind.
const REPORT_TIME: Micros = 3 * SECOND;
/// A controller whose inputs wait for longer than that is overloaded; for a while after it the rules against workers
/// that come anew hold.
const OVERLOAD_LAG: Micros = 100 * MILLI;
const OVERLOADED_FOR: Micros = 30 * SECOND;
/// A leader that has spoken to this controller so lately is there, and the link to it too: it is slow.
const SPOKE_LATELY: Micros = 4 * SECOND;

/// The same while it is in doubt whether there is a leader at its other end.
const LINK_AGAIN: Micros = 400 * MILLI;
/// Of so many workers that can't be served by way of here, all but one are sent straight to a leader
/// that refuses us.
const STRAIGHT: usize = 4;
/// A leader hands one worker at a time to another controller, and only where so many can take them.
const HAND_OVER_EVERY: Micros = 50 * MILLI;
const CARRIERS: usize = 2;
/// So many workers to be asked go in a frame.
const ASKED_AT_ONCE: usize = 512;
/// Answers to many reports go in one frame: past that many bytes the other reports of it are not taken yet. One
/// answer, of at most some hundred orders, is shorter than what is left.
const ANSWERS_BYTES: usize = FRAME_MAX - 128 * 1024;
/// How often a leader is asked whether it takes many reports in a frame.
const FRAMES_AGAIN: Micros = 500 * MILLI;

/// The answer to a report.
enum Told {
    Orders(Orders),
    /// No 200 for this worker.
    Refused,
    Malformed(String),
    Unknown,
}

impl Node {
    pub(super) fn checkin(&mut self, conn: ConnId, body: Vec<u8>) {
        if self.sent_away(conn) {
            return;
        }
        self.hearing.carries(self.now.steady, &body);
        if self.leads() {
            if let Some(label) = self.carrier() {
                return self.respond(conn, 421, &json!({"boss": label}));
            }
            return match self.take_report(&body, None) {
                Told::Orders(orders) => self.out.push(Output::Respond {
                    conn,
                    status: 200,
                    body: encode(&orders),
                    retry_after: None,
                }),
                Told::Malformed(e) => self.error(conn, 400, &format!("report: {e}")),
                Told::Refused | Told::Unknown => {
                    self.error(conn, 503, "this machine has been returned");
                }
            };
        }
        let Some(peer) = self.leader_peer() else {
            if self.desk.take(self.now.steady, conn, body).is_err() {
                self.error(conn, 503, "no leader at the moment");
            }
            return;
        };
        let (label, endpoint) = (peer.label.clone(), peer.endpoint);
        if self.hands_back() {
            return self.respond(conn, 421, &json!({"boss": label}));
        }
        if self.link_bad(endpoint) {
            if !self.may_answer_yet(endpoint)
                || self.desk.take(self.now.steady, conn, body).is_err()
            {
                self.send_elsewhere(conn, &label);
            }
            return;
        }
        let body = if self.takes_frames(&label, endpoint) {
            match self.desk.take(self.now.steady, conn, body) {
                Ok(()) => return,
                Err(body) => body,
            }
        } else {
            body
        };
        self.relay_report(conn, endpoint, body);
    }

    /// Whom a worker that reports here is handed to, now and then. A report through another controller costs
    /// the leader a row in a frame instead of a request of its own, and the others have time to spare while
    /// the leader has the least. Not while the fleet is not heard, nor to one controller alone, which all
    /// workers would lose together; a worker is out of an answer for half a second by it.
    fn carrier(&mut self) -> Option<String> {
        let t = self.now.steady;
        let led = self.led.as_ref()?;
        if t < self.hand_over_at || led.recovery.phase(t) != Phase::Over {
            return None;
        }
        let well = |p: &&Peer| self.serves(p.endpoint) && !self.link_bad(p.endpoint);
        let others: Vec<&Peer> = self.settings.others.iter().filter(well).collect();
        if others.len() < CARRIERS {
            return None;
        }
        let label = others.get(self.next_helper % others.len())?.label.clone();
        self.next_helper += 1;
        self.hand_over_at = t + HAND_OVER_EVERY;
        Some(label)
    }

    /// Whether a worker that reports to this controller, which does not lead and has no connections left, is
    /// sent to the leader: one at a time, and the leader hands none to a controller that is crowded.
    fn hands_back(&mut self) -> bool {
        let t = self.now.steady;
        let due = self.load.room == Room::Full && t >= self.hand_over_at;
        if due {
            self.hand_over_at = t + HAND_OVER_EVERY;
        }
        due
    }

    /// After a change of leader: asks the workers whose reports come here, for whoever leads now.
    pub(super) fn ask_carried(&mut self) {
        let t = self.now.steady;
        if let Some(record) = self.lead.leader() {
            let since = t.saturating_sub(2 * self.settings.report_period());
            let term = record.term;
            self.hearing.begin(t, term, first_token(term), since);
        }
        let lag = self.load.lag();
        self.hearing.tick(t, lag, &mut self.tickets, &mut self.out);
    }

    /// A new leader has the workers that have not spoken asked by all controllers at once, each its part.
    pub(super) fn share_asking(&mut self) {
        let t = self.now.steady;
        let Some(led) = self
            .led
            .as_mut()
            .filter(|l| l.share_at.is_some_and(|at| at <= t))
        else {
            return;
        };
        led.share_at = None;
        for (dest, rows) in led.workers.share_unheard(t) {
            for rows in rows.chunks(ASKED_AT_ONCE) {
                let hosts = rows.iter().map(|r| r.host().into()).collect();
                let about = (KIND_ASK, self.settings.label.clone());
                self.call_peer(
                    Relay::Ask { hosts },
                    dest,
                    about,
                    rows.as_bytes().to_vec(),
                    RELAY_TIME,
                );
            }
        }
    }

    /// The leader wants workers to be asked from here.
    pub(super) fn asked_to_ask(&mut self, body: &[u8]) {
        if let Ok(rows) = <[AskRow]>::ref_from_bytes(body) {
            self.hearing.assign(self.now.steady, rows);
        }
    }

    /// Its answer is as good as a report: a worker that has seen a new token reports at once, but not
    /// twice in half a lease.
    pub(super) fn heard_for_leader(&mut self, outcome: &Outcome) {
        let Outcome::Reply {
            status: 200 | 409,
            body,
        } = outcome
        else {
            return;
        };
        if self.leads() {
            return self.heard_through(body);
        }
        let Some(dest) = self.leader_peer().map(|p| p.endpoint) else {
            return;
        };
        if self.link_bad(dest) {
            return;
        }
        self.tickets += 1;
        self.out.push(Output::PeerCall {
            ticket: self.tickets,
            dest,
            kind: KIND_HEARD,
            addr: self.settings.label.clone(),
            body: body.clone(),
            timeout: RELAY_TIME,
        });
    }

    /// What a worker answered to a controller that asked it for the leader.
    pub(super) fn heard_through(&mut self, body: &[u8]) {
        let now = self.now.steady;
        if !self.leads() {
            return;
        }
        let Some(led) = &mut self.led else { return };
        if let Ok(report) = serde_json::from_slice::<Report>(body) {
            led.workers.heard_through(now, &report, &mut led.table);
            self.take_events();
        }
    }

    /// Passes a report on by itself.
    fn relay_report(&mut self, conn: ConnId, dest: SocketAddr, body: Vec<u8>) {
        let about = (KIND_REPORT, self.settings.label.clone());
        self.call_peer(
            Relay::Report { conn },
            dest,
            about,
            body,
            self.report_time(),
        );
    }

    /// Whether the leader takes many reports in a frame; if that is not known, it is asked.
    fn takes_frames(&mut self, leader: &str, dest: SocketAddr) -> bool {
        let now = self.now.steady;
        let record = self.lead.leader().filter(|r| r.node == leader);
        let Some(run) = record.map(|r| r.run) else {
            return false;
        };
        if self.frames_with == Some(run) {
            return true;
        }
        if now >= self.frames_asked + FRAMES_AGAIN {
            self.frames_asked = now;
            let about = (KIND_REPORTS, self.settings.label.clone());
            self.call_peer(Relay::Frames { run }, dest, about, Vec::new(), RELAY_TIME);
        }
        false
    }

    pub(super) fn leader_peer(&self) -> Option<&Peer> {
        let leader = self.leader_label()?;
        self.settings.others.iter().find(|p| p.label == leader)
    }

    /// Sends the reports whose time has come to the leader.
    pub(super) fn send_reports(&mut self) {
        let now = self.now.steady;
        if self.desk.due().is_none_or(|d| d > now) {
            return;
        }
        if self.leads() {
            // They came while nobody led.
            for (conn, body) in self.desk.drain() {
                self.checkin(conn, body);
            }
            return;
        }
        let Some(peer) = self.leader_peer() else {
            for conn in self.desk.park(now) {
                self.error(conn, 503, "no leader at the moment");
            }
            return;
        };
        let (label, dest) = (peer.label.clone(), peer.endpoint);
        if self.link_bad(dest) {
            let over = if self.may_answer_yet(dest) {
                self.desk.park(now)
            } else {
                self.desk.drain().into_iter().map(|w| w.0).collect()
            };
            for conn in over {
                self.send_elsewhere(conn, &label);
            }
            return;
        }
        if !self.takes_frames(&label, dest) {
            for (conn, body) in self.desk.drain() {
                self.relay_report(conn, dest, body);
            }
            return;
        }
        while self.desk.due().is_some_and(|d| d <= now) {
            self.tickets += 1;
            let Some(body) = self.desk.frame(now, self.tickets) else {
                return;
            };
            self.out.push(Output::PeerCall {
                ticket: self.tickets,
                dest,
                kind: KIND_REPORTS,
                addr: self.settings.label.clone(),
                body,
                timeout: self.report_time(),
            });
        }
    }

    pub(super) fn desk_answered(&mut self, ticket: Ticket, outcome: &Outcome) {
        use crate::desk::Answer;
        let leader = self.leader_peer().map(|p| p.endpoint);
        let mut doubtful = false;
        if let Some(dest) = leader {
            if matches!(outcome, Outcome::Reply { .. }) {
                self.peers_heard_at = self.now.steady;
                self.link_failed.remove(&dest);
                self.link_refused.remove(&dest);
            } else {
                self.link_fails(dest, outcome);
                doubtful = self.may_answer_yet(dest);
            }
        }
        let now = self.now.steady;
        for (conn, answer) in self.desk.outcome(now, ticket, outcome, doubtful) {
            let (status, body) = match answer {
                Answer::Token(token) => (200, no_orders(token)),
                Answer::Body { status, body } => (status, body),
                Answer::NoLeader => {
                    self.error(conn, 503, "no leader at the moment");
                    continue;
                }
                Answer::Failed => {
                    self.report_failed(conn, outcome);
                    continue;
                }
            };
            self.out.push(Output::Respond {
                conn,
                status,
                body,
                retry_after: None,
            });
        }
    }

    /// The leader did not answer: the worker goes to another node.
    pub(super) fn report_failed(&mut self, conn: ConnId, outcome: &Outcome) {
        let Some(leader) = self.leader_label() else {
            return self.error(conn, 503, "no leader at the moment");
        };
        if let Some(dest) = self.leader_peer().map(|p| p.endpoint) {
            self.link_fails(dest, outcome);
        }
        self.send_elsewhere(conn, &leader);
    }

    /// Whether this controller was overloaded a moment ago: each worker that comes anew costs more
    /// than a late answer then.
    fn was_overloaded(&self) -> bool {
        self.now.steady < self.overloaded_until
    }

    /// Notes that this controller falls behind or is short of connections.
    pub(super) fn note_overload(&mut self) {
        if self.load.lag() > OVERLOAD_LAG || self.load.room != Room::Enough {
            self.overloaded_until = self.now.steady + OVERLOADED_FOR;
        }
    }

    /// How long a report may wait for the leader's answer.
    fn report_time(&self) -> Micros {
        if self.was_overloaded() {
            REPORT_TIME
        } else {
            RELAY_TIME
        }
    }

    /// Whether this controller was overloaded and the leader was heard so lately that it must be slow
    /// where it does not answer.
    fn leader_speaks(&self) -> bool {
        let heard = self.hint.as_ref();
        self.was_overloaded() && heard.is_some_and(|h| self.now.steady < h.1 + SPOKE_LATELY)
    }

    /// Whether a leader over whose link a call failed may answer the next: reports wait for that.
    fn may_answer_yet(&self, dest: SocketAddr) -> bool {
        self.leader_in_doubt(dest) || self.leader_speaks()
    }

    /// A worker can't be served by way of here. While the leader is only slow no other controller serves it
    /// either: named one, it would come there at once, be named this one, and each time over a new connection.
    /// Told of no other it takes a second, which bounds how many come.
    fn send_elsewhere(&mut self, conn: ConnId, leader: &str) {
        if self.leader_speaks() {
            return self.error(conn, 503, "the leader does not answer in time");
        }
        self.misdirect(conn, leader);
    }

    /// A call over this link failed: it rests.
    fn link_fails(&mut self, dest: SocketAddr, outcome: &Outcome) {
        let now = self.now.steady;
        if *outcome == Outcome::Refused {
            self.link_refused.insert(dest, now);
        }
        self.link_failed.entry(dest).or_insert(now);
        let rest = if self.may_answer_yet(dest) {
            LINK_AGAIN
        } else {
            LINK_REST
        };
        self.link_bad_until.insert(dest, now + rest);
    }

    fn link_bad(&self, dest: SocketAddr) -> bool {
        let until = self.link_bad_until.get(&dest);
        until.is_some_and(|t| *t > self.now.steady)
    }

    /// A leader whose link has failed for less than a grant's length may be no more: whom to send
    /// reports to will be known in a moment. After that the link is at fault, and another
    /// controller may reach the leader.
    fn leader_in_doubt(&self, dest: SocketAddr) -> bool {
        let since = self.link_failed.get(&dest);
        since.is_some_and(|t| self.now.steady < t + self.props.leader_ttl + SECOND / 2)
    }

    /// We can't reach the leader; another node may, so the worker is sent there. Where the leader's own
    /// host refuses us, it is there, and workers reach it by another way than we do: they go straight to
    /// it. Sent around among nodes that are all refused, as the version before did, they came to each
    /// over a new connection, and a filter that stood for longer than a lease cost every task.
    fn misdirect(&mut self, conn: ConnId, leader: &str) {
        let now = self.now.steady;
        let endpoint = self.peer_endpoint(leader);
        let refused = endpoint.and_then(|e| self.link_refused.get(&e));
        let refuses = refused.is_some_and(|at| now < at + 2 * LINK_REST);
        // Now and then another way is tried all the same.
        if refuses && (self.next_helper + 1) % STRAIGHT != 0 {
            self.next_helper += 1;
            return self.respond(conn, 421, &json!({"boss": leader}));
        }
        let able = |p: &&Peer| p.label != leader && !self.link_bad(p.endpoint);
        let others: Vec<&Peer> = self.settings.others.iter().filter(able).collect();
        // By turns, so that not all workers crowd at one.
        self.next_helper += 1;
        let third = others.get(self.next_helper % others.len().max(1));
        let body = match third {
            Some(p) => json!({"boss": p.label}),
            None => json!({}),
        };
        self.respond(conn, 421, &body);
    }

    fn peer_endpoint(&self, label: &str) -> Option<SocketAddr> {
        let peer = self.settings.others.iter().find(|p| p.label == label);
        peer.map(|p| p.endpoint)
    }

    /// One report that another controller passes on.
    pub(super) fn peer_report(&mut self, from: &str, body: &[u8]) -> Outcome {
        if !self.leads() {
            return not_leading();
        }
        let via = self.peer_endpoint(from);
        let (status, body) = match self.take_report(body, via) {
            Told::Orders(orders) => (200, encode(&orders)),
            Told::Malformed(_) => (400, br#"{"error":"report"}"#.to_vec()),
            Told::Refused | Told::Unknown => (503, br#"{"error":"returned"}"#.to_vec()),
        };
        Outcome::Reply { status, body }
    }

    /// Many of them; each row is answered by a row.
    pub(super) fn peer_reports(&mut self, from: &str, body: &[u8]) -> Outcome {
        if !self.leads() {
            return not_leading();
        }
        let via = self.peer_endpoint(from);
        let mut rest = body;
        let mut told = Vec::new();
        while let Ok((row, after)) = ReportRow::read_from_prefix(rest) {
            let Some((text, after)) = after.split_at_checked(row.len.get() as usize) else {
                break;
            };
            rest = after;
            let full = told.len() > ANSWERS_BYTES;
            if full && !text.is_empty() {
                // Not taken: its worker reports elsewhere.
                continue;
            }
            let answer = if full {
                // Not taken: it comes again, whole, in another frame.
                Told::Unknown
            } else if text.is_empty() {
                self.take_repeat(&row, via)
            } else {
                self.take_whole(text, Some(row.digest.get()), via)
            };
            let mut text = Vec::new();
            let (status, token) = match answer {
                Told::Orders(orders) => {
                    if !orders.orders.is_empty() {
                        text = encode(&orders);
                    }
                    (200, orders.token)
                }
                Told::Malformed(e) => {
                    text = json!({"error": format!("report: {e}")}).to_string().into();
                    (400, 0)
                }
                Told::Refused => {
                    text = br#"{"error":"returned"}"#.to_vec();
                    (503, 0)
                }
                Told::Unknown => (SEND_WHOLE, 0),
            };
            let row = AnswerRow {
                token: token.into(),
                slot: row.slot,
                status: status.into(),
                unused: 0.into(),
                len: (text.len() as u32).into(),
                unused2: 0.into(),
            };
            told.extend_from_slice(row.as_bytes());
            told.extend_from_slice(&text);
        }
        Outcome::Reply {
            status: 200,
            body: told,
        }
    }

    /// A report as its worker sent it. Like the last one, it is not read.
    fn take_report(&mut self, body: &[u8], via: Option<SocketAddr>) -> Told {
        let row = Glance::at(body).and_then(|g| g.row());
        if let Some(row) = &row {
            match self.take_repeat(row, via) {
                Told::Unknown => {}
                told => return told,
            }
        }
        self.take_whole(body, row.map(|r| r.digest.get()), via)
    }

    fn take_whole(&mut self, body: &[u8], digest: Option<u128>, via: Option<SocketAddr>) -> Told {
        let report = match serde_json::from_slice::<Report>(body) {
            Ok(report) => report,
            Err(e) => return Told::Malformed(e.to_string()),
        };
        let now = self.now.steady;
        let Some(led) = &mut self.led else {
            return Told::Refused;
        };
        self.cloud.booting.remove(&report.host);
        let orders = led.workers.report(now, report, digest, via, &mut led.table);
        self.take_events();
        orders.map_or(Told::Refused, Told::Orders)
    }

    fn take_repeat(&mut self, row: &ReportRow, via: Option<SocketAddr>) -> Told {
        let now = self.now.steady;
        let Some(led) = &mut self.led else {
            return Told::Refused;
        };
        let repeat = led.workers.repeat(now, row, via, &mut led.table);
        self.take_events();
        match repeat {
            Repeat::Unknown => Told::Unknown,
            Repeat::Refused => Told::Refused,
            Repeat::Answer(orders) => Told::Orders(orders),
        }
    }
}

fn not_leading() -> Outcome {
    Outcome::Reply {
        status: 503,
        body: br#"{"error":"not leading"}"#.to_vec(),
    }
}

fn encode(orders: &Orders) -> Vec<u8> {
    if orders.orders.is_empty() {
        return no_orders(orders.token);
    }
    serde_json::to_vec(orders).unwrap_or_default()
}

/// The answer that nearly all reports get.
fn no_orders(token: u64) -> Vec<u8> {
    format!(r#"{{"baton":{token},"orders":[]}}"#).into_bytes()
}
