//! The read-only commands: they ask a running node and print what it says.

use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Asks a node and returns the body of its answer.
pub fn fetch(addr: SocketAddr, path: &str) -> Result<String, String> {
    let wait = Duration::from_secs(5);
    let mut stream = TcpStream::connect_timeout(&addr, wait)
        .map_err(|e| format!("no node answers at {addr}: {e}; is the service running?"))?;
    let text = |e: std::io::Error| format!("asking {addr}: {e}");
    stream.set_read_timeout(Some(wait)).map_err(text)?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n"
    )
    .map_err(text)?;
    let mut raw = Vec::new();
    stream.read_to_end(&mut raw).map_err(text)?;
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(&raw) {
        Ok(httparse::Status::Complete(head)) => {
            let body = String::from_utf8_lossy(&raw[head..]).into_owned();
            match response.code {
                Some(200) => Ok(body),
                code => Err(format!("{addr} answered {}: {body}", code.unwrap_or(0))),
            }
        }
        _ => Err(format!("{addr} gave no HTTP answer")),
    }
}

/// Begins the query of a page: of the rows after that key.
pub const PAGE_QUERY_PREFIX: &str = "after=";

/// Asks for a list, page after page as each answer's `next` says, and returns the first answer with the rows of
/// all. `list` names the rows in it; a row that comes again, as from a leader of the version before, counts once.
pub fn fetch_all_pages(
    path: &str,
    list: &str,
    mut ask: impl FnMut(&str) -> Result<String, String>,
) -> Result<String, String> {
    let read = |body: &str| {
        serde_json::from_str::<Value>(body).map_err(|e| format!("the answer is no JSON: {e}"))
    };
    let mut all = read(&ask(path)?)?;
    let mut after = next_key(&mut all);
    while let Some(key) = after {
        let mut page = read(&ask(&format!("{path}?{PAGE_QUERY_PREFIX}{key}"))?)?;
        after = next_key(&mut page);
        if after.as_ref().is_some_and(|next| *next <= key) {
            return Err(format!("the page after {key} does not lead on"));
        }
        add_rows(&mut all[list], page[list].take());
    }
    Ok(all.to_string())
}

fn next_key(page: &mut Value) -> Option<String> {
    let next = page.as_object_mut()?.remove("next")?;
    Some(next.as_str()?.to_owned())
}

fn add_rows(all: &mut Value, more: Value) {
    match (all, more) {
        (Value::Object(all), Value::Object(more)) => all.extend(more),
        (Value::Array(all), Value::Array(more)) => {
            let uid = |row: &Value| row["uid"].as_str().map(str::to_owned);
            let known: BTreeSet<_> = all.iter().map(uid).collect();
            all.extend(more.into_iter().filter(|row| !known.contains(&uid(row))));
        }
        _ => {}
    }
}

/// The answer, laid out for reading.
pub fn format_json(body: &str) -> String {
    serde_json::from_str::<serde_json::Value>(body)
        .and_then(|v| serde_json::to_string_pretty(&v))
        .unwrap_or_else(|_| body.to_owned())
}
