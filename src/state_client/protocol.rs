//! HTTP protocol of the state service: encodes operations as calls and decodes responses as replies.
//!
//! Pure functions over bytes. The protocol's own names (`stamp` for a revision, `epoch` for the store revision,
//! `permit` for a lease id) occur only here and in `serde(rename)` attributes.

use super::{Change, KeyValue, Op, RawJson, Reply, Transaction, WatchEvent, to_raw_json};
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::http_call::HttpCall;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Timeout of an ordinary call.
const CALL_TIMEOUT: Micros = 2 * SECOND;
/// Timeout of a lease renewal: short, so that another renewal can follow a lost one before the lease expires.
const RENEWAL_TIMEOUT: Micros = SECOND;
/// Timeout of a watch in addition to the time for which the service may delay its response.
const WATCH_TIMEOUT_MARGIN: Micros = 3 * SECOND;
/// Maximum length of the error text that is kept from a refusal.
const REFUSAL_BYTES_MAX: usize = 200;
/// Part of the service's error text when it refuses to attach a key to an expired lease.
pub(super) const LEASE_EXPIRED_REASON: &str = "no such lease";

/// Encodes an operation as an HTTP call.
pub(super) fn encode(op: &Op) -> HttpCall {
    let get = |path| HttpCall::without_body("GET", path, CALL_TIMEOUT);
    match op {
        Op::Get(key) => get(format!("/store/{key}")),
        Op::List {
            prefix,
            after,
            limit,
        } if after.is_empty() => get(format!("/store?prefix={prefix}&limit={limit}")),
        Op::List {
            prefix,
            after,
            limit,
        } => get(format!("/store?prefix={prefix}&from={after}&limit={limit}")),
        Op::Transaction(transaction) => HttpCall::post(
            "/txn".to_owned(),
            transaction_body(transaction),
            CALL_TIMEOUT,
        ),
        Op::Watch {
            prefix,
            from,
            block,
        } => HttpCall::without_body(
            "GET",
            format!(
                "/watch?prefix={prefix}&from={from}&blockMs={}",
                block / MILLISECOND
            ),
            block + WATCH_TIMEOUT_MARGIN,
        ),
        Op::GrantLease { ttl } => {
            let body = json!({"ttlMs": ttl / MILLISECOND}).to_string();
            HttpCall::post("/grants".to_owned(), body.into_bytes(), CALL_TIMEOUT)
        }
        Op::RenewLease(id) => {
            HttpCall::post(format!("/grants/{id}/extend"), Vec::new(), RENEWAL_TIMEOUT)
        }
        Op::RevokeLease(id) => {
            HttpCall::without_body("DELETE", format!("/grants/{id}"), CALL_TIMEOUT)
        }
    }
}

fn transaction_body(transaction: &Transaction) -> Vec<u8> {
    #[derive(Serialize)]
    struct Precondition<'a> {
        #[serde(rename = "path")]
        key: &'a str,
        #[serde(rename = "stamp")]
        mod_revision: u64,
    }
    #[derive(Serialize)]
    struct Body<'a> {
        #[serde(rename = "if")]
        preconditions: Vec<Precondition<'a>>,
        #[serde(rename = "apply")]
        changes: &'a [Change],
    }
    let preconditions = transaction.preconditions.iter();
    let body = Body {
        preconditions: preconditions
            .map(|(key, mod_revision)| Precondition {
                key,
                mod_revision: *mod_revision,
            })
            .collect(),
        changes: &transaction.changes,
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Decodes the HTTP response to `op`.
pub(super) fn decode(op: &Op, status: u16, body: &[u8]) -> Reply {
    let reply = match (op, status) {
        (_, 503) => Some(Reply::Unavailable),
        (Op::Get(_), 200) => serde_json::from_slice(body).ok().map(Reply::KeyValue),
        (Op::Get(_), 404) => Some(Reply::NotFound),
        (Op::List { .. }, 200) => decode_items(body),
        (Op::Transaction(_), 200) => Some(decode_applied(body)),
        (Op::Transaction(_), 409) => Some(decode_conflict(body)),
        (Op::Watch { .. }, 200) => decode_events(body),
        (Op::Watch { .. }, 410) => Some(Reply::Compacted),
        (Op::GrantLease { .. }, 200) => decode_lease(body),
        (Op::RenewLease(_) | Op::RevokeLease(_), 200..=299) => Some(Reply::LeaseUpdated),
        (Op::RenewLease(_) | Op::RevokeLease(_), 404) => Some(Reply::NotFound),
        _ => None,
    };
    reply.unwrap_or_else(|| {
        let text = &body[..body.len().min(REFUSAL_BYTES_MAX)];
        Reply::Refused(String::from_utf8_lossy(text).into_owned())
    })
}

fn parse_value(body: &[u8]) -> Value {
    serde_json::from_slice(body).unwrap_or(Value::Null)
}

fn decode_items(body: &[u8]) -> Option<Reply> {
    #[derive(Deserialize)]
    struct ItemPage {
        items: Vec<KeyValue>,
        #[serde(default)]
        truncated: bool,
        #[serde(rename = "epoch")]
        revision: u64,
    }
    let page: ItemPage = serde_json::from_slice(body).ok()?;
    Some(Reply::KeyPage {
        items: page.items,
        truncated: page.truncated,
        revision: page.revision,
    })
}

fn decode_applied(body: &[u8]) -> Reply {
    match parse_value(body)["epoch"].as_u64() {
        Some(revision) => Reply::Applied { revision },
        // The transaction was applied, but its revision is unknown: the caller must read what is stored.
        None => Reply::OutcomeUnknown,
    }
}

fn decode_conflict(body: &[u8]) -> Reply {
    let value = parse_value(body);
    let failed = value["failed"].as_array().into_iter().flatten();
    Reply::Conflict {
        failed: failed
            .filter_map(|key| key.as_str().map(str::to_owned))
            .collect(),
    }
}

fn decode_events(body: &[u8]) -> Option<Reply> {
    #[derive(Deserialize)]
    struct Event {
        set: Option<String>,
        delete: Option<String>,
        value: Option<RawJson>,
        #[serde(rename = "stamp")]
        mod_revision: u64,
    }
    #[derive(Deserialize)]
    struct EventPage {
        #[serde(rename = "epoch")]
        revision: u64,
        #[serde(default)]
        events: Vec<Event>,
    }
    let page: EventPage = serde_json::from_slice(body).ok()?;
    let watch_event = |event: Event| {
        let (key, value) = match (event.set, event.delete) {
            (Some(key), _) => (key, Some(event.value.unwrap_or_else(|| to_raw_json(&())))),
            (None, key) => (key?, None),
        };
        Some(WatchEvent {
            key,
            value,
            mod_revision: event.mod_revision,
        })
    };
    Some(Reply::Events {
        events: page.events.into_iter().filter_map(watch_event).collect(),
        revision: page.revision,
    })
}

fn decode_lease(body: &[u8]) -> Option<Reply> {
    let lease_id = parse_value(body)["permit"].as_u64()?;
    Some(Reply::LeaseGranted { lease_id })
}
