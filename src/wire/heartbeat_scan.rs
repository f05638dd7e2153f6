//! Extracts single fields of a heartbeat without parsing all of its JSON. This saves processor time on followers, which
//! only forward heartbeats, and on the leader, since most heartbeats differ from the previous one only in their sequence
//! number.
//!
//! The functions search for the first occurrence of a field's name. They return `None` if the text has an unexpected
//! form; the caller then parses the whole heartbeat.

use super::frames::{HeartbeatRow, pad_name};
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

/// The sender of a heartbeat, and a digest that shows whether two heartbeats differ in more than their sequence numbers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeartbeatSummary<'a> {
    /// Name of the machine.
    pub machine: &'a str,
    /// Its agent epoch.
    pub agent_epoch: u64,
    /// Its sequence number.
    pub sequence: u64,
    /// Digest of the heartbeat without its sequence number.
    pub digest: u128,
}

impl<'a> HeartbeatSummary<'a> {
    /// Summarizes the text of a heartbeat; `None` if the text has to be parsed instead.
    pub fn of(body: &'a [u8]) -> Option<Self> {
        let (machine, agent_epoch) = heartbeat_machine_and_epoch(body)?;
        let field = find_field(body, b"\"tally\"")?;
        let number = leading_number(field.value)?;
        let mut hash = Xxh3::new();
        hash.update(&body[..field.start]);
        hash.update(&body[field.start + number.digits..]);
        Some(Self {
            machine,
            agent_epoch,
            sequence: number.value,
            digest: hash.digest128(),
        })
    }

    /// The heartbeat's row in a batch; `None` if the machine's name is too long for a row.
    pub fn row(&self) -> Option<HeartbeatRow> {
        Some(HeartbeatRow {
            digest: self.digest.into(),
            agent_epoch: self.agent_epoch.into(),
            sequence: self.sequence.into(),
            machine: pad_name(self.machine)?,
            slot: 0.into(),
            len: 0.into(),
        })
    }
}

/// The name of the machine that sent a heartbeat, and its agent epoch.
pub fn heartbeat_machine_and_epoch(body: &[u8]) -> Option<(&str, u64)> {
    let text = find_field(body, b"\"host\"")?.value.strip_prefix(b"\"")?;
    let end = memchr::memchr2(b'"', b'\\', text)?;
    if text[end] != b'"' {
        return None;
    }
    let agent_epoch = find_field(body, b"\"stint\"")?;
    let machine = std::str::from_utf8(&text[..end]).ok()?;
    Some((machine, leading_number(agent_epoch.value)?.value))
}

/// The address of the agent that sent a heartbeat.
pub fn heartbeat_address(body: &[u8]) -> Option<SocketAddr> {
    let text = find_field(body, b"\"addr\"")?.value.strip_prefix(b"\"")?;
    let end = memchr::memchr(b'"', text)?;
    std::str::from_utf8(&text[..end]).ok()?.parse().ok()
}

/// Whether a heartbeat certainly reports no task; false also if the text has an unexpected form.
pub fn reports_no_tasks(body: &[u8]) -> bool {
    find_field(body, b"\"parts\"").is_some_and(|field| field.value.starts_with(b"[]"))
}

/// The position of a field's value.
struct Field<'a> {
    /// The text from the start of the value to the end of the heartbeat.
    value: &'a [u8],
    /// Offset of the value in the heartbeat.
    start: usize,
}

fn find_field<'a>(body: &'a [u8], quoted_name: &[u8]) -> Option<Field<'a>> {
    let skip_whitespace = |from: usize| {
        let rest = body[from..].iter();
        from + rest.take_while(|byte| byte.is_ascii_whitespace()).count()
    };
    let name_end = memchr::memmem::find(body, quoted_name)? + quoted_name.len();
    let colon = skip_whitespace(name_end);
    if body.get(colon) != Some(&b':') {
        return None;
    }
    let start = skip_whitespace(colon + 1);
    Some(Field {
        value: &body[start..],
        start,
    })
}

struct LeadingNumber {
    value: u64,
    digits: usize,
}

/// Parses the unsigned integer at the start of a text; `None` if no end of a JSON value follows it.
fn leading_number(text: &[u8]) -> Option<LeadingNumber> {
    let digits = text.iter().take_while(|byte| byte.is_ascii_digit()).count();
    let is_complete = matches!(
        text.get(digits),
        Some(b',' | b'}' | b' ' | b'\n' | b'\r' | b'\t')
    );
    let value = std::str::from_utf8(&text[..digits]).ok()?.parse().ok()?;
    is_complete.then_some(LeadingNumber { value, digits })
}
