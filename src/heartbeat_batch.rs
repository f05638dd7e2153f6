//! Heartbeat batching at a controller that is not the leader: many heartbeats are forwarded to the leader in one
//! frame, and a heartbeat that repeats the previous one is sent as a row with its digest, without its body.
//!
//! [`HeartbeatBatch`] holds the heartbeats that wait for the leader's answer. Its record of the digests that the
//! leader holds may be wrong: the leader compares each digest and requests the full heartbeat if it differs.

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::messages::{ConnId, Outcome, Ticket};
use crate::seeded_hash::HashMap;
use crate::wire::{AnswerRow, HeartbeatRow, HeartbeatSummary, SEND_FULL_HEARTBEAT};
use zerocopy::{FromBytes, IntoBytes};

/// How long a heartbeat with new content waits for others to share its frame.
const BATCH_DELAY: Micros = 15 * MILLISECOND;
/// How long a heartbeat without new content waits for others. This does no harm: the worker waits 4 s for an answer,
/// and its lease counts from the time it sent the heartbeat.
const REPEAT_BATCH_DELAY: Micros = 150 * MILLISECOND;
/// How long a heartbeat is held while there is no leader, or while the new leader still loads the stored state.
/// Otherwise its worker would try the next controller every second, each time over a new connection; a thousand
/// workers would then send a thousand requests per second to controllers that cannot handle them. Together with the
/// time of a call to the leader, this stays within the 4 s that a worker waits for an answer.
const LEADERLESS_HOLD: Micros = 2 * SECOND;
/// Time between two attempts to forward held heartbeats.
const LEADERLESS_RETRY_INTERVAL: Micros = 50 * MILLISECOND;
/// Maximum size of a frame, unless a single heartbeat is larger.
const FRAME_BYTES_MAX: usize = 128 * 1024;
/// Bound on the remembered digests; all of them are removed when it is reached.
const KNOWN_WORKERS_MAX: usize = 1 << 16;
/// Length of a machine name in a row.
const MACHINE_NAME_BYTES: usize = 24;
const HTTP_OK: u16 = 200;
const HTTP_SERVICE_UNAVAILABLE: u16 = 503;

/// A heartbeat that waits for its answer.
struct PendingHeartbeat {
    conn: ConnId,
    received_at: Micros,
    row: HeartbeatRow,
    body: Vec<u8>,
    /// The row is sent with the body.
    send_full: bool,
}

impl PendingHeartbeat {
    /// The body to send; empty if the row alone is sent.
    fn sent_body(&self) -> &[u8] {
        if self.send_full { &self.body } else { &[] }
    }

    fn frame_bytes(&self) -> usize {
        size_of::<HeartbeatRow>() + self.sent_body().len()
    }

    /// Whether it may still wait for a leader.
    fn may_be_held(&self, now: Micros) -> bool {
        now < self.received_at + LEADERLESS_HOLD
    }
}

/// The answer to a forwarded heartbeat, as passed on to the worker's connection.
#[derive(Debug, PartialEq)]
pub enum HeartbeatAnswer {
    /// Status 200 without commands; contains the fencing token.
    NoCommands(u64),
    /// Any other answer of the leader.
    Body {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: Vec<u8>,
    },
    /// There is no leader.
    NoLeader,
    /// The leader could not be reached, or did not answer.
    Failed,
}

impl HeartbeatAnswer {
    fn is_ok(&self) -> bool {
        matches!(
            self,
            HeartbeatAnswer::NoCommands(_)
                | HeartbeatAnswer::Body {
                    status: HTTP_OK,
                    ..
                }
        )
    }
}

/// One answer in the leader's reply to a frame.
struct AnswerEntry<'a> {
    status: u16,
    fencing_token: u64,
    body: &'a [u8],
}

impl AnswerEntry<'_> {
    fn to_answer(&self) -> HeartbeatAnswer {
        match (self.status, self.body) {
            (HTTP_OK, []) => HeartbeatAnswer::NoCommands(self.fencing_token),
            (status, body) if status >= HTTP_OK => HeartbeatAnswer::Body {
                status,
                body: body.to_vec(),
            },
            _ => HeartbeatAnswer::Failed,
        }
    }
}

/// The heartbeats that wait to be forwarded, and those whose frame waits for the leader's reply.
#[derive(Default)]
pub struct HeartbeatBatch {
    /// By machine, the digest of the heartbeat that the leader answered last. The next heartbeat with this digest is
    /// sent without its body; the leader compares the digest with that of the heartbeat it holds.
    leader_digests: HashMap<[u8; MACHINE_NAME_BYTES], u128>,
    waiting: Vec<PendingHeartbeat>,
    /// Size of a frame with all waiting heartbeats.
    bytes: usize,
    due_at: Option<Micros>,
    in_flight: HashMap<Ticket, Vec<PendingHeartbeat>>,
}

impl HeartbeatBatch {
    /// Adds a heartbeat.
    ///
    /// # Errors
    /// Returns the body if the heartbeat cannot be expressed as a row, so that it must be forwarded alone.
    pub fn push(&mut self, now: Micros, conn: ConnId, body: Vec<u8>) -> Result<(), Vec<u8>> {
        let summary = HeartbeatSummary::of(&body);
        let Some(row) = summary.and_then(|summary| summary.row()) else {
            return Err(body);
        };
        let send_full = self.leader_digests.get(&row.machine) != Some(&row.digest.get());
        let delay = if send_full {
            BATCH_DELAY
        } else {
            REPEAT_BATCH_DELAY
        };
        self.make_due_by(now + delay);
        self.enqueue(PendingHeartbeat {
            conn,
            received_at: now,
            row,
            body,
            send_full,
        });
        Ok(())
    }

    fn enqueue(&mut self, heartbeat: PendingHeartbeat) {
        self.bytes += heartbeat.frame_bytes();
        self.waiting.push(heartbeat);
    }

    /// Makes the next frame due no later than `at`.
    fn make_due_by(&mut self, at: Micros) {
        self.due_at = Some(self.due_at.map_or(at, |due_at| due_at.min(at)));
    }

    /// Makes the next frame due no earlier than `at`.
    fn delay_until(&mut self, at: Micros) {
        self.due_at = Some(self.due_at.map_or(at, |due_at| due_at.max(at)));
    }

    /// When the next frame is due; `None` if nothing waits, 0 if a frame is full.
    pub fn due_at(&self) -> Option<Micros> {
        if self.bytes >= FRAME_BYTES_MAX {
            return Some(0);
        }
        self.due_at
    }

    /// Returns the next frame, if it is due. Its reply will arrive under `ticket`.
    pub fn next_frame(&mut self, now: Micros, ticket: Ticket) -> Option<Vec<u8>> {
        if self.due_at().is_none_or(|due_at| due_at > now) {
            return None;
        }
        let mut frame = Vec::with_capacity(self.bytes.min(FRAME_BYTES_MAX));
        let mut taken = 0;
        for (slot, heartbeat) in self.waiting.iter_mut().enumerate() {
            let len = heartbeat.sent_body().len();
            if taken > 0 && frame.len() + len > FRAME_BYTES_MAX {
                break;
            }
            heartbeat.row.slot = (slot as u32).into();
            heartbeat.row.len = (len as u32).into();
            frame.extend_from_slice(heartbeat.row.as_bytes());
            frame.extend_from_slice(heartbeat.sent_body());
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

    /// Whether a frame was sent under this ticket and has no reply yet.
    pub fn owns(&self, ticket: Ticket) -> bool {
        self.in_flight.contains_key(&ticket)
    }

    /// Handles the leader's reply to a frame; returns the answers by connection.
    ///
    /// A heartbeat whose full body the leader requests is sent again. So is a heartbeat without an answer, within
    /// `LEADERLESS_HOLD`, if the leader answers 503 because it cannot act at the moment, or if it may no longer be
    /// there (`leader_in_doubt`).
    pub fn handle_outcome(
        &mut self,
        now: Micros,
        ticket: Ticket,
        outcome: &Outcome,
        leader_in_doubt: bool,
    ) -> Vec<(ConnId, HeartbeatAnswer)> {
        let Some(batch) = self.in_flight.remove(&ticket) else {
            return Vec::new();
        };
        let entries = parse_answers(outcome);
        let not_leading = matches!(
            outcome,
            Outcome::Reply {
                status: HTTP_SERVICE_UNAVAILABLE,
                ..
            }
        );
        let mut answers = Vec::new();
        for (slot, mut heartbeat) in batch.into_iter().enumerate() {
            let answer = match entries.get(&slot) {
                Some(entry) if entry.status == SEND_FULL_HEARTBEAT && !heartbeat.send_full => {
                    self.leader_digests.remove(&heartbeat.row.machine);
                    heartbeat.send_full = true;
                    self.make_due_by(now);
                    self.enqueue(heartbeat);
                    continue;
                }
                Some(entry) => entry.to_answer(),
                // The leader cannot act at the moment, or may have been replaced.
                None if (not_leading || leader_in_doubt) && heartbeat.may_be_held(now) => {
                    self.delay_until(now + LEADERLESS_RETRY_INTERVAL);
                    self.enqueue(heartbeat);
                    continue;
                }
                None if not_leading => HeartbeatAnswer::NoLeader,
                None => HeartbeatAnswer::Failed,
            };
            if answer.is_ok() {
                self.remember_digest(&heartbeat.row);
            }
            answers.push((heartbeat.conn, answer));
        }
        answers
    }

    /// Records that the leader holds this heartbeat.
    fn remember_digest(&mut self, row: &HeartbeatRow) {
        if self.leader_digests.len() >= KNOWN_WORKERS_MAX {
            self.leader_digests.clear();
        }
        self.leader_digests.insert(row.machine, row.digest.get());
    }

    /// Whether no heartbeat waits to be forwarded.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Called when there is no leader to forward to. Keeps the heartbeats that may still be held and drops the others;
    /// the caller must answer the returned connections of the dropped ones.
    pub fn hold_for_leader(&mut self, now: Micros) -> Vec<ConnId> {
        let mut expired = Vec::new();
        self.waiting.retain(|heartbeat| {
            let held = heartbeat.may_be_held(now);
            if !held {
                expired.push(heartbeat.conn);
            }
            held
        });
        self.due_at = (!self.waiting.is_empty()).then_some(now + LEADERLESS_RETRY_INTERVAL);
        if self.waiting.is_empty() {
            self.bytes = 0;
        }
        expired
    }

    /// Removes and returns all waiting heartbeats, for example to process them on this node.
    pub fn drain(&mut self) -> Vec<(ConnId, Vec<u8>)> {
        (self.bytes, self.due_at) = (0, None);
        let waiting = self.waiting.drain(..);
        waiting
            .map(|heartbeat| (heartbeat.conn, heartbeat.body))
            .collect()
    }
}

/// Parses the answers in the leader's reply, by slot. Returns none if it is not a reply with status 200; stops at the
/// first truncated entry.
fn parse_answers(outcome: &Outcome) -> HashMap<usize, AnswerEntry<'_>> {
    let mut entries = HashMap::default();
    let Outcome::Reply {
        status: HTTP_OK,
        body,
    } = outcome
    else {
        return entries;
    };
    let mut rest = body.as_slice();
    while let Ok((row, after_row)) = AnswerRow::read_from_prefix(rest) {
        let Some((body, after_body)) = after_row.split_at_checked(row.len.get() as usize) else {
            break;
        };
        let entry = AnswerEntry {
            status: row.status.get(),
            fencing_token: row.fencing_token.get(),
            body,
        };
        entries.insert(row.slot.get() as usize, entry);
        rest = after_body;
    }
    entries
}
