//! Frames between controllers: one link each way, calls told apart by their tickets.

use super::{Net, PENDING_OUTPUT_BYTES_MAX};
use crate::clock::Micros;
use crate::messages::{ConnId, Input, Outcome, Ticket};
use crate::wire::{
    FRAME_HEAD, FRAME_LOST, FRAME_MAGIC, FRAME_MAX, FRAME_NOT_SENT, FrameHead, KIND_ANSWER,
};
use zerocopy::{FromBytes, IntoBytes};

/// A frame to be written.
pub(super) struct OutgoingFrame<'a> {
    pub(super) kind: u16,
    /// Of an answer: HTTP status or one of the `FRAME_` outcomes.
    pub(super) status: u16,
    pub(super) ticket: Ticket,
    /// How long the answer is waited for, in microseconds.
    pub(super) patience: Micros,
    pub(super) addr: &'a str,
    pub(super) body: &'a [u8],
}

impl Net {
    /// Takes a frame from what was read; false if there is no complete one.
    pub(super) fn consume_frame(&mut self, id: ConnId) -> bool {
        let Some(c) = self.conns.get_mut(&id) else {
            return false;
        };
        let Ok((head, rest)) = FrameHead::read_from_prefix(&c.input) else {
            return false;
        };
        let (len, addr_len) = (head.len.get() as usize, head.addr_len.get() as usize);
        if head.magic.get() != FRAME_MAGIC || len > FRAME_MAX || addr_len > len {
            log::error!("a controller sent a malformed frame; closing that link");
            self.close(id);
            return false;
        }
        if rest.len() < len {
            return false;
        }
        let addr = String::from_utf8_lossy(&rest[..addr_len]).into_owned();
        let body = rest[addr_len..len].to_vec();
        c.input.drain(..FRAME_HEAD + len);
        let ticket = head.ticket.get();
        if head.kind.get() == KIND_ANSWER {
            c.waiting_calls.retain(|t| *t != ticket);
            c.missed_answers = 0;
            let outcome = match head.status.get() {
                FRAME_NOT_SENT => Outcome::NotSent,
                FRAME_LOST => Outcome::Lost,
                status => Outcome::Reply { status, body },
            };
            self.finish(ticket, outcome);
        } else {
            let (kind, patience) = (head.kind.get(), head.patience.get());
            self.push_input(Input::PeerRequest {
                conn: id,
                ticket,
                kind,
                patience,
                addr,
                body,
            });
        }
        true
    }

    /// Whether a payload fits a frame. The receiver of a longer frame would close the link, and with it all calls and
    /// heartbeats on it, so what does not fit is refused here.
    pub(super) fn fits_frame(kind: u16, addr: &str, body: &[u8]) -> bool {
        let length = addr.len() + body.len();
        if length > FRAME_MAX {
            log::error!("not sent: {length} bytes of kind {kind}, a frame takes {FRAME_MAX}");
        }
        length <= FRAME_MAX
    }

    /// Writes a frame to a link; a link that takes nothing any more is closed.
    pub(super) fn write_frame(&mut self, id: ConnId, frame: &OutgoingFrame) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        if c.output.len() > PENDING_OUTPUT_BYTES_MAX {
            self.close(id);
            return;
        }
        let head = FrameHead {
            magic: FRAME_MAGIC.into(),
            kind: frame.kind.into(),
            status: frame.status.into(),
            ticket: frame.ticket.into(),
            patience: frame.patience.into(),
            addr_len: (frame.addr.len() as u32).into(),
            len: ((frame.addr.len() + frame.body.len()) as u32).into(),
        };
        c.output.extend_from_slice(head.as_bytes());
        c.output.extend_from_slice(frame.addr.as_bytes());
        c.output.extend_from_slice(frame.body);
        self.flush(id);
    }
}
