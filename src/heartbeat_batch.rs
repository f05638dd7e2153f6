//! Reports at a controller that does not lead: many go to the leader in one frame, and one that
//! says what the last one said goes as a row instead of as text. Owns the reports that wait for
//! their answer; decides nothing, and knows nothing that the leader does not check again.

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::messages::{ConnId, Outcome, Ticket};
use crate::seeded_hash::HashMap;
use crate::wire::{AnswerRow, HeartbeatRow, HeartbeatSummary, SEND_FULL_HEARTBEAT};

use zerocopy::{FromBytes, IntoBytes};

/// A report that says something new waits this long for company.
const BATCH_DELAY: Micros = 15 * MILLISECOND;
/// While nobody leads, or the new leader still reads what is stored, a report waits this long for
/// a leader. Its worker would else go to the next node a second later, and again, each time over
/// a new connection: a thousand of them ask a node as many times a second when it can do least.
/// With the time of a call to the leader it stays within the 4 s that a worker waits.
const LEADERLESS_HOLD: Micros = 2 * SECOND;
const LEADERLESS_RETRY_INTERVAL: Micros = 50 * MILLISECOND;
/// One that says nothing new. Its worker gives an answer 4 s, and its lease counts from when it
/// was sent, so this costs nobody anything.
const REPEAT_BATCH_DELAY: Micros = 150 * MILLISECOND;
const FRAME_BYTES_MAX: usize = 128 * 1024;
/// Workers come and go; past that many the hints are started anew.
const KNOWN_WORKERS_MAX: usize = 1 << 16;

/// A report that waits for its answer.
struct PendingHeartbeat {
    conn: ConnId,
    received_at: Micros,
    row: HeartbeatRow,
    body: Vec<u8>,
    send_full: bool,
}

/// What became of a report.
#[derive(Debug, PartialEq)]
pub enum HeartbeatAnswer {
    /// No orders: the token alone.
    NoCommands(u64),
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
pub struct HeartbeatBatch {
    /// The digest of the report that the leader last answered, by worker: a hint that a row will
    /// do. The leader compares it with what it holds.
    leader_digests: HashMap<[u8; 24], u128>,
    waiting: Vec<PendingHeartbeat>,
    bytes: usize,
    due_at: Option<Micros>,
    in_flight: HashMap<Ticket, Vec<PendingHeartbeat>>,
}

impl HeartbeatBatch {
    /// Takes a report; gives it back when it does not fit the rows.
    pub fn push(&mut self, now: Micros, conn: ConnId, body: Vec<u8>) -> Result<(), Vec<u8>> {
        let Some(row) = HeartbeatSummary::of(&body).and_then(|g| g.row()) else {
            return Err(body);
        };
        let whole = self.leader_digests.get(&row.machine) != Some(&row.digest.get());
        let at = now
            + if whole {
                BATCH_DELAY
            } else {
                REPEAT_BATCH_DELAY
            };
        self.due_at = Some(self.due_at.map_or(at, |d| d.min(at)));
        self.bytes += size_of::<HeartbeatRow>() + if whole { body.len() } else { 0 };
        self.waiting.push(PendingHeartbeat {
            conn,
            received_at: now,
            row,
            body,
            send_full: whole,
        });
        Ok(())
    }

    /// When the next frame is to be sent.
    pub fn due_at(&self) -> Option<Micros> {
        if self.bytes >= FRAME_BYTES_MAX {
            return Some(0);
        }
        self.due_at
    }

    /// The next frame under this ticket, if it is time.
    pub fn next_frame(&mut self, now: Micros, ticket: Ticket) -> Option<Vec<u8>> {
        if self.due_at().is_none_or(|d| d > now) {
            return None;
        }
        let mut frame = Vec::with_capacity(self.bytes.min(FRAME_BYTES_MAX));
        let mut taken = 0;
        for (slot, w) in self.waiting.iter_mut().enumerate() {
            let len = if w.send_full { w.body.len() } else { 0 };
            if taken > 0 && frame.len() + len > FRAME_BYTES_MAX {
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
            (self.bytes, self.due_at) = (0, None);
        }
        self.in_flight.insert(ticket, batch);
        Some(frame)
    }

    pub fn owns(&self, ticket: Ticket) -> bool {
        self.in_flight.contains_key(&ticket)
    }

    /// The leader's answers. What it wants whole is sent again, and so is, for as long as it may
    /// wait, what it can't answer yet, or where it is in doubt whether it is still there.
    pub fn handle_outcome(
        &mut self,
        now: Micros,
        ticket: Ticket,
        outcome: &Outcome,
        doubtful: bool,
    ) -> Vec<(ConnId, HeartbeatAnswer)> {
        let Some(batch) = self.in_flight.remove(&ticket) else {
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
                Some((row, _)) if row.status.get() == SEND_FULL_HEARTBEAT && !w.send_full => {
                    self.leader_digests.remove(&w.row.machine);
                    w.send_full = true;
                    self.bytes += size_of::<HeartbeatRow>() + w.body.len();
                    self.due_at = Some(self.due_at.map_or(now, |d| d.min(now)));
                    self.waiting.push(w);
                    continue;
                }
                Some((row, [])) if row.status.get() == 200 => {
                    HeartbeatAnswer::NoCommands(row.fencing_token.get())
                }
                Some((row, text)) if row.status.get() >= 200 => HeartbeatAnswer::Body {
                    status: row.status.get(),
                    body: text.to_vec(),
                },
                // It has the lead, but can't use it yet or at the moment.
                None if again && now < w.received_at + LEADERLESS_HOLD => {
                    self.bytes +=
                        size_of::<HeartbeatRow>() + if w.send_full { w.body.len() } else { 0 };
                    self.due_at = Some(self.due_at.map_or(now + LEADERLESS_RETRY_INTERVAL, |d| {
                        d.max(now + LEADERLESS_RETRY_INTERVAL)
                    }));
                    self.waiting.push(w);
                    continue;
                }
                None if not_leading => HeartbeatAnswer::NoLeader,
                _ => HeartbeatAnswer::Failed,
            };
            if matches!(
                answer,
                HeartbeatAnswer::NoCommands(_) | HeartbeatAnswer::Body { status: 200, .. }
            ) {
                if self.leader_digests.len() >= KNOWN_WORKERS_MAX {
                    self.leader_digests.clear();
                }
                self.leader_digests
                    .insert(w.row.machine, w.row.digest.get());
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
    pub fn hold_for_leader(&mut self, now: Micros) -> Vec<ConnId> {
        let mut over = Vec::new();
        self.waiting.retain(|w| {
            let waits = now < w.received_at + LEADERLESS_HOLD;
            if !waits {
                over.push(w.conn);
            }
            waits
        });
        self.due_at = (!self.waiting.is_empty()).then_some(now + LEADERLESS_RETRY_INTERVAL);
        if self.waiting.is_empty() {
            self.bytes = 0;
        }
        over
    }

    /// All that waits, to go another way.
    pub fn drain(&mut self) -> Vec<(ConnId, Vec<u8>)> {
        (self.bytes, self.due_at) = (0, None);
        self.waiting.drain(..).map(|w| (w.conn, w.body)).collect()
    }
}
