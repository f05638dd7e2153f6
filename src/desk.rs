//! Reports at a controller that does not lead: many go to the leader in one frame, and one that
//! says what the last one said goes as a row instead of as text. Owns the reports that wait for
//! their answer; decides nothing, and knows nothing that the leader does not check again.

use crate::clock::{MILLI, Micros, SECOND};
use crate::maps::HashMap;
use crate::net::{ConnId, Outcome, Ticket};
use crate::wire::{AnswerRow, Glance, ReportRow, SEND_WHOLE};

use zerocopy::{FromBytes, IntoBytes};

/// A report that says something new waits this long for company.
const SOON: Micros = 15 * MILLI;
/// While nobody leads, or the new leader still reads what is stored, a report waits this long for
/// a leader. Its worker would else go to the next node a second later, and again, each time over
/// a new connection: a thousand of them ask a node as many times a second when it can do least.
/// With the time of a call to the leader it stays within the 4 s that a worker waits.
const PARKED: Micros = 2 * SECOND;
const AGAIN: Micros = 50 * MILLI;
/// One that says nothing new. Its worker gives an answer 4 s, and its lease counts from when it
/// was sent, so this costs nobody anything.
const LATER: Micros = 150 * MILLI;
const MOST_BYTES: usize = 128 * 1024;
/// Workers come and go; past that many the hints are started anew.
const MOST_KNOWN: usize = 1 << 16;

/// A report that waits for its answer.
struct Waiting {
    conn: ConnId,
    since: Micros,
    row: ReportRow,
    body: Vec<u8>,
    whole: bool,
}

/// What became of a report.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// No orders: the token alone.
    Token(u64),
    Body {
        status: u16,
        body: Vec<u8>,
    },
    /// Nobody leads.
    NoLeader,
    /// The leader could not be reached, or does not answer.
    Failed,
}

#[derive(Default)]
pub struct Desk {
    /// The digest of the report that the leader last answered, by worker: a hint that a row will
    /// do. The leader compares it with what it holds.
    known: HashMap<[u8; 24], u128>,
    waiting: Vec<Waiting>,
    bytes: usize,
    due: Option<Micros>,
    sent: HashMap<Ticket, Vec<Waiting>>,
}

impl Desk {
    /// Takes a report; gives it back when it does not fit the rows.
    pub fn take(&mut self, now: Micros, conn: ConnId, body: Vec<u8>) -> Result<(), Vec<u8>> {
        let Some(row) = Glance::at(&body).and_then(|g| g.row()) else {
            return Err(body);
        };
        let whole = self.known.get(&row.host) != Some(&row.digest.get());
        let at = now + if whole { SOON } else { LATER };
        self.due = Some(self.due.map_or(at, |d| d.min(at)));
        self.bytes += size_of::<ReportRow>() + if whole { body.len() } else { 0 };
        self.waiting.push(Waiting {
            conn,
            since: now,
            row,
            body,
            whole,
        });
        Ok(())
    }

    /// When the next frame is to be sent.
    pub fn due(&self) -> Option<Micros> {
        if self.bytes >= MOST_BYTES {
            return Some(0);
        }
        self.due
    }

    /// The next frame under this ticket, if it is time.
    pub fn frame(&mut self, now: Micros, ticket: Ticket) -> Option<Vec<u8>> {
        if self.due().is_none_or(|d| d > now) {
            return None;
        }
        let mut frame = Vec::with_capacity(self.bytes.min(MOST_BYTES));
        let mut taken = 0;
        for (slot, w) in self.waiting.iter_mut().enumerate() {
            let len = if w.whole { w.body.len() } else { 0 };
            if taken > 0 && frame.len() + len > MOST_BYTES {
                break;
            }
            w.row.slot = (slot as u32).into();
            w.row.len = (len as u32).into();
            frame.extend_from_slice(w.row.as_bytes());
            frame.extend_from_slice(&w.body[..len]);
            taken += 1;
        }
        let rest = self.waiting.split_off(taken);
        let batch = std::mem::replace(&mut self.waiting, rest);
        self.bytes = self.bytes.saturating_sub(frame.len());
        if self.waiting.is_empty() {
            (self.bytes, self.due) = (0, None);
        }
        self.sent.insert(ticket, batch);
        Some(frame)
    }

    pub fn owns(&self, ticket: Ticket) -> bool {
        self.sent.contains_key(&ticket)
    }

    /// The leader's answers. What it wants whole is sent again, and so is, for as long as it may
    /// wait, what it can't answer yet, or where it is in doubt whether it is still there.
    pub fn outcome(
        &mut self,
        now: Micros,
        ticket: Ticket,
        outcome: &Outcome,
        doubtful: bool,
    ) -> Vec<(ConnId, Answer)> {
        let Some(batch) = self.sent.remove(&ticket) else {
            return Vec::new();
        };
        let mut answers: HashMap<usize, (AnswerRow, &[u8])> = HashMap::default();
        if let Outcome::Reply { status: 200, body } = outcome {
            let mut rest = body.as_slice();
            while let Ok((row, after)) = AnswerRow::read_from_prefix(rest) {
                let Some((text, after)) = after.split_at_checked(row.len.get() as usize) else {
                    break;
                };
                answers.insert(row.slot.get() as usize, (row, text));
                rest = after;
            }
        }
        let not_leading = matches!(outcome, Outcome::Reply { status: 503, .. });
        let again = not_leading || doubtful;
        let mut told = Vec::new();
        for (slot, mut w) in batch.into_iter().enumerate() {
            let answer = match answers.get(&slot) {
                Some((row, _)) if row.status.get() == SEND_WHOLE && !w.whole => {
                    self.known.remove(&w.row.host);
                    w.whole = true;
                    self.bytes += size_of::<ReportRow>() + w.body.len();
                    self.due = Some(self.due.map_or(now, |d| d.min(now)));
                    self.waiting.push(w);
                    continue;
                }
                Some((row, [])) if row.status.get() == 200 => Answer::Token(row.token.get()),
                Some((row, text)) if row.status.get() >= 200 => Answer::Body {
                    status: row.status.get(),
                    body: text.to_vec(),
                },
                // It has the lead, but can't use it yet or at the moment.
                None if again && now < w.since + PARKED => {
                    self.bytes += size_of::<ReportRow>() + if w.whole { w.body.len() } else { 0 };
                    self.due = Some(self.due.map_or(now + AGAIN, |d| d.max(now + AGAIN)));
                    self.waiting.push(w);
                    continue;
                }
                None if not_leading => Answer::NoLeader,
                _ => Answer::Failed,
            };
            if matches!(answer, Answer::Token(_) | Answer::Body { status: 200, .. }) {
                if self.known.len() >= MOST_KNOWN {
                    self.known.clear();
                }
                self.known.insert(w.row.host, w.row.digest.get());
            }
            told.push((w.conn, answer));
        }
        told
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// There is nobody to send to at the moment: keeps what may wait for a leader, and gives back
    /// those whose time for that is over.
    pub fn park(&mut self, now: Micros) -> Vec<ConnId> {
        let mut over = Vec::new();
        self.waiting.retain(|w| {
            let waits = now < w.since + PARKED;
            if !waits {
                over.push(w.conn);
            }
            waits
        });
        self.due = (!self.waiting.is_empty()).then_some(now + AGAIN);
        if self.waiting.is_empty() {
            self.bytes = 0;
        }
        over
    }

    /// All that waits, to go another way.
    pub fn drain(&mut self) -> Vec<(ConnId, Vec<u8>)> {
        (self.bytes, self.due) = (0, None);
        self.waiting.drain(..).map(|w| (w.conn, w.body)).collect()
    }
}
