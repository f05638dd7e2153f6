//! Frames between controllers: one link each way, calls told apart by their tickets.

use super::{Net, PENDING_OUTPUT_BYTES_MAX};
use crate::clock::Micros;
use crate::messages::{ConnId, Input, Outcome, Ticket};
use crate::wire::{
    FRAME_HEADER_BYTES, FRAME_LOST, FRAME_MAGIC, FRAME_NOT_SENT, FRAME_PAYLOAD_BYTES_MAX,
    FrameHeader, KIND_ANSWER,
};
use zerocopy::{FromBytes, IntoBytes};

/// A frame to be written.
pub(super) struct OutgoingFrame<'a> {
    pub(super) kind: u16,
    /// Of an answer: HTTP status or one of the `FRAME_` outcomes.
    pub(super) status: u16,
    pub(super) ticket: Ticket,
    /// How long the answer is waited for, in microseconds.
    pub(super) timeout: Micros,
    pub(super) subject: &'a str,
    pub(super) body: &'a [u8],
}

impl Net {
    /// Takes a frame from what was read; false if there is no complete one.
    pub(super) fn consume_frame(&mut self, id: ConnId) -> bool {
        let Some(c) = self.conns.get_mut(&id) else {
            return false;
        };
        let Ok((head, rest)) = FrameHeader::read_from_prefix(&c.input) else {
            return false;
        };
        let (len, subject_len) = (head.len.get() as usize, head.subject_len.get() as usize);
        if head.magic.get() != FRAME_MAGIC || len > FRAME_PAYLOAD_BYTES_MAX || subject_len > len {
            log::error!("a controller sent a malformed frame; closing that link");
            self.close(id);
            return false;
        }
        if rest.len() < len {
            return false;
        }
        let subject = String::from_utf8_lossy(&rest[..subject_len]).into_owned();
        let body = rest[subject_len..len].to_vec();
        c.input.drain(..FRAME_HEADER_BYTES + len);
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
            let (kind, timeout) = (head.kind.get(), head.timeout.get());
            self.push_input(Input::PeerRequest {
                conn: id,
                ticket,
                kind,
                timeout,
                subject,
                body,
            });
        }
        true
    }

    /// Whether a payload fits a frame. The receiver of a longer frame would close the link, and with it all calls and
    /// heartbeats on it, so what does not fit is refused here.
    pub(super) fn fits_frame(kind: u16, subject: &str, body: &[u8]) -> bool {
        let length = subject.len() + body.len();
        if length > FRAME_PAYLOAD_BYTES_MAX {
            log::error!(
                "not sent: {length} bytes of kind {kind}, a frame takes {FRAME_PAYLOAD_BYTES_MAX}"
            );
        }
        length <= FRAME_PAYLOAD_BYTES_MAX
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
        let head = FrameHeader {
            magic: FRAME_MAGIC.into(),
            kind: frame.kind.into(),
            status: frame.status.into(),
            ticket: frame.ticket.into(),
            timeout: frame.timeout.into(),
            subject_len: (frame.subject.len() as u32).into(),
            len: ((frame.subject.len() + frame.body.len()) as u32).into(),
        };
        c.output.extend_from_slice(head.as_bytes());
        c.output.extend_from_slice(frame.subject.as_bytes());
        c.output.extend_from_slice(frame.body);
        self.flush(id);
    }
}
