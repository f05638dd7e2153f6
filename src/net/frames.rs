//! Frames between controllers. Each controller opens one link to every other one for its own calls; a ticket in each
//! frame matches answers to calls, so that many calls share a link.

use super::{Net, UNSENT_BYTES_MAX};
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
    /// In an answer: the HTTP status or one of the `FRAME_` outcomes.
    pub(super) status: u16,
    pub(super) ticket: Ticket,
    /// How long the sender waits for the answer, in microseconds.
    pub(super) timeout: Micros,
    pub(super) subject: &'a str,
    pub(super) body: &'a [u8],
}

impl Net {
    /// Parses and removes one frame from the received bytes; false if there is no complete one.
    pub(super) fn consume_frame(&mut self, id: ConnId) -> bool {
        let Some(c) = self.conns.get_mut(&id) else {
            return false;
        };
        let Ok((header, rest)) = FrameHeader::read_from_prefix(&c.input) else {
            return false;
        };
        let (len, subject_len) = (header.len.get() as usize, header.subject_len.get() as usize);
        if header.magic.get() != FRAME_MAGIC || len > FRAME_PAYLOAD_BYTES_MAX || subject_len > len {
            log::error!("malformed frame from another controller; closing the link");
            self.close(id);
            return false;
        }
        if rest.len() < len {
            return false;
        }
        let subject = String::from_utf8_lossy(&rest[..subject_len]).into_owned();
        let body = rest[subject_len..len].to_vec();
        c.input.drain(..FRAME_HEADER_BYTES + len);
        let ticket = header.ticket.get();
        if header.kind.get() == KIND_ANSWER {
            c.pending_calls.retain(|t| *t != ticket);
            c.consecutive_timeouts = 0;
            let outcome = match header.status.get() {
                FRAME_NOT_SENT => Outcome::NotSent,
                FRAME_LOST => Outcome::Lost,
                status => Outcome::Reply { status, body },
            };
            self.finish(ticket, outcome);
        } else {
            let (kind, timeout) = (header.kind.get(), header.timeout.get());
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

    /// Whether a payload fits in a frame. The receiver of a longer frame would close the link, which ends all calls
    /// on it, so the sender does not send it.
    pub(super) fn fits_frame(kind: u16, subject: &str, body: &[u8]) -> bool {
        let length = subject.len() + body.len();
        if length > FRAME_PAYLOAD_BYTES_MAX {
            log::error!(
                "frame payload too large; not sending it kind={kind} bytes={length} max={FRAME_PAYLOAD_BYTES_MAX}"
            );
        }
        length <= FRAME_PAYLOAD_BYTES_MAX
    }

    /// Writes a frame to a link. Closes the link if too many bytes are still unsent on it.
    pub(super) fn write_frame(&mut self, id: ConnId, frame: &OutgoingFrame) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        if c.output.len() > UNSENT_BYTES_MAX {
            self.close(id);
            return;
        }
        let header = FrameHeader {
            magic: FRAME_MAGIC.into(),
            kind: frame.kind.into(),
            status: frame.status.into(),
            ticket: frame.ticket.into(),
            timeout: frame.timeout.into(),
            subject_len: (frame.subject.len() as u32).into(),
            len: ((frame.subject.len() + frame.body.len()) as u32).into(),
        };
        c.output.extend_from_slice(header.as_bytes());
        c.output.extend_from_slice(frame.subject.as_bytes());
        c.output.extend_from_slice(frame.body);
        self.flush(id);
    }
}
