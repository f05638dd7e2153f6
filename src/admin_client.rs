//! Client of the read-only operator commands: fetches reports from a running controller and formats them.

use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Fetches a path from a controller over HTTP and returns the body of its response.
///
/// # Errors
///
/// If the controller cannot be reached, or answers with another status than 200; the text is shown to the operator.
pub fn fetch(addr: SocketAddr, path: &str) -> Result<String, String> {
    let timeout = Duration::from_secs(5);
    let mut stream = TcpStream::connect_timeout(&addr, timeout)
        .map_err(|e| format!("no node answers at {addr}: {e}; is the service running?"))?;
    let io_error = |e: std::io::Error| format!("asking {addr}: {e}");
    stream.set_read_timeout(Some(timeout)).map_err(io_error)?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n"
    )
    .map_err(io_error)?;
    let mut raw = Vec::new();
    stream.read_to_end(&mut raw).map_err(io_error)?;
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

/// Prefix of the query that requests a page; the key after which the page starts follows it.
pub const PAGE_QUERY_PREFIX: &str = "after=";

/// Fetches a list page by page, following each page's `next` key, and returns the first page with the rows of all
/// pages added. `list` is the name of the field that holds the rows. A job that appears on several pages, as it does
/// from a leader of the previous version, is listed once.
///
/// # Errors
///
/// If a page cannot be fetched or parsed, or its `next` key does not follow the previous one.
pub fn fetch_all_pages(
    path: &str,
    list: &str,
    mut fetch_page: impl FnMut(&str) -> Result<String, String>,
) -> Result<String, String> {
    let parse = |body: &str| {
        serde_json::from_str::<Value>(body).map_err(|e| format!("the answer is no JSON: {e}"))
    };
    let mut all = parse(&fetch_page(path)?)?;
    let mut after = next_key(&mut all);
    while let Some(key) = after {
        let mut page = parse(&fetch_page(&format!("{path}?{PAGE_QUERY_PREFIX}{key}"))?)?;
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

/// The JSON text with line breaks and indentation; a text that is not JSON is returned unchanged.
pub fn format_json(body: &str) -> String {
    serde_json::from_str::<serde_json::Value>(body)
        .and_then(|v| serde_json::to_string_pretty(&v))
        .unwrap_or_else(|_| body.to_owned())
}
