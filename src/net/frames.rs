//! Frames between controllers: one link each way, calls told apart by their tickets.

use super::*;
use crate::wire::{FRAME_HEAD, FRAME_MAGIC, FRAME_MAX, FrameHead};
use zerocopy::{FromBytes, IntoBytes};

impl Net {
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

    #[allow(clippy::too_many_arguments)]
    pub(super) fn write_frame(
        &mut self,
        id: ConnId,
        kind: u16,
        status: u16,
        ticket: Ticket,
        patience: Micros,
        addr: &str,
        body: &[u8],
    ) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        if c.output.len() > PENDING_OUTPUT_BYTES_MAX {
            self.close(id);
            return;
        }
        let head = FrameHead {
            magic: FRAME_MAGIC.into(),
            kind: kind.into(),
            status: status.into(),
            ticket: ticket.into(),
            patience: patience.into(),
            addr_len: (addr.len() as u32).into(),
            len: ((addr.len() + body.len()) as u32).into(),
        };
        c.output.extend_from_slice(head.as_bytes());
        c.output.extend_from_slice(addr.as_bytes());
        c.output.extend_from_slice(body);
        self.flush(id);
    }
}
