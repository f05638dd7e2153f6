//! The read-only commands: they ask a running node and print what it says.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Asks a node and returns the body of its answer.
pub fn ask(addr: SocketAddr, path: &str) -> Result<String, String> {
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

/// The answer, laid out for reading.
pub fn pretty(body: &str) -> String {
    serde_json::from_str::<serde_json::Value>(body)
        .and_then(|v| serde_json::to_string_pretty(&v))
        .unwrap_or_else(|_| body.to_owned())
}
