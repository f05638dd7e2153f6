//! The HTTP/1.1 server and client: parses requests and responses, sheds client requests, and writes responses.

use super::{
    CLIENT_CONNS_SHARE, HTTP_HEAD_BYTES_MAX, Net, REQUEST_TIMEOUT, RESPONSE_BYTES_MAX, Role,
    SERVER_IDLE_TIMEOUT,
};
use crate::messages::{ConnId, Input, Outcome};
use crate::wire::{HEALTH_PATH, HEARTBEAT_PATH, REQUEST_BODY_BYTES_MAX};

/// A client's connection is closed after this many consecutive 503 responses.
const REFUSALS_BEFORE_CLOSE: u8 = 2;

/// Decodes a chunked body. Returns its content and the length of its encoding, or `None` while it is incomplete.
pub(super) fn decode_chunked(
    mut raw: &[u8],
) -> Result<Option<(Vec<u8>, usize)>, httparse::InvalidChunkSize> {
    let received = raw.len();
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(raw)? {
            httparse::Status::Complete((start, size)) => (start, size as usize),
            httparse::Status::Partial => return Ok(None),
        };
        let Some(end) = start.checked_add(size).and_then(|e| e.checked_add(2)) else {
            return Ok(None);
        };
        if raw.len() < end {
            return Ok(None);
        }
        body.extend_from_slice(&raw[start..start + size]);
        raw = &raw[end..];
        if size == 0 {
            return Ok(Some((body, received - raw.len())));
        }
    }
}

/// The reason phrase of an HTTP status.
pub(super) fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

impl Net {
    /// Parses one request from the received bytes and queues it; false if there is no complete one, or if it is
    /// answered at once.
    pub(super) fn consume_request(&mut self, id: ConnId) -> bool {
        let Some(c) = self.conns.get_mut(&id) else {
            return false;
        };
        if c.request_in_progress || c.close_after || c.input.is_empty() {
            return false;
        }
        let mut headers = [httparse::EMPTY_HEADER; 48];
        let mut request = httparse::Request::new(&mut headers);
        let head = match request.parse(&c.input) {
            Ok(httparse::Status::Complete(n)) => n,
            Ok(httparse::Status::Partial) if c.input.len() <= HTTP_HEAD_BYTES_MAX => return false,
            Ok(httparse::Status::Partial) => {
                return self.reject_request(id, 431, "head too large");
            }
            Err(_) => return self.reject_request(id, 400, "malformed HTTP"),
        };
        let mut length = 0usize;
        for h in request.headers.iter() {
            if h.name.eq_ignore_ascii_case("content-length") {
                match std::str::from_utf8(h.value)
                    .ok()
                    .and_then(|v| v.trim().parse().ok())
                {
                    Some(n) => length = n,
                    None => return self.reject_request(id, 400, "malformed Content-Length"),
                }
            } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                return self.reject_request(id, 411, "send the body with Content-Length");
            } else if h.name.eq_ignore_ascii_case("connection")
                && h.value.eq_ignore_ascii_case(b"close")
            {
                c.close_after = true;
            }
        }
        if length > REQUEST_BODY_BYTES_MAX {
            return self.reject_request(id, 413, "a request body is limited to 64 KiB");
        }
        if c.input.len() < head + length {
            c.close_after = false;
            return false;
        }
        let method = request.method.unwrap_or("").to_owned();
        let path = request.path.unwrap_or("").to_owned();
        let body = c.input[head..head + length].to_vec();
        c.input.drain(..head + length);
        c.request_in_progress = true;
        self.update_idle(id);
        self.set_deadline(id, self.now + SERVER_IDLE_TIMEOUT);
        if self.shed_client_request(id, &path) {
            return false;
        }
        self.push_input(Input::Request {
            conn: id,
            method,
            path,
            body,
        });
        true
    }

    /// Refuses a client request with 503 if load shedding applies to it, or if clients hold too many connections; true
    /// if so.
    pub(super) fn shed_client_request(&mut self, id: ConnId, path: &str) -> bool {
        if path == HEARTBEAT_PATH || path == HEALTH_PATH || path.starts_with("/inspect") {
            return false;
        }
        let Some(c) = self.conns.get_mut(&id) else {
            return false;
        };
        if !c.is_client {
            c.is_client = true;
            self.client_conns += 1;
        }
        let clients_crowd_out_workers = self.client_conns as f64
            > CLIENT_CONNS_SHARE * self.incoming_conns_max as f64
            && self.incoming_conns + self.incoming_conns_max / 20 > self.incoming_conns_max;
        if clients_crowd_out_workers {
            c.close_after = true;
        }
        // A path whose requests have been refused here for long is exempt from load shedding.
        let starved = self.starvation.is_starved(self.now, path);
        let refused = clients_crowd_out_workers || (self.shed_level.refuses(path) && !starved);
        if starved {
            self.starvation.record_answer(path);
        }
        if refused {
            self.starvation.record_failure(self.now, path);
            self.refused_requests += 1;
            let retry_after = self.retry_after + (id % u64::from(self.retry_after)) as u32;
            let body = br#"{"error":"too much to do at the moment; come again later"}"#;
            self.respond(id, 503, body, Some(retry_after));
        }
        refused
    }

    /// Rejects a request that can't be parsed or is not accepted, and closes the connection after the response.
    pub(super) fn reject_request(&mut self, id: ConnId, status: u16, reason: &str) -> bool {
        if let Some(c) = self.conns.get_mut(&id) {
            c.close_after = true;
            c.request_in_progress = true;
            c.input = Vec::new();
            self.respond(
                id,
                status,
                format!("{{\"error\":\"{reason}\"}}").as_bytes(),
                None,
            );
        }
        false
    }

    /// Parses the response to a call from the received bytes and ends the call. Always returns false, since a
    /// connection carries one call at a time, so that nothing is left to parse.
    pub(super) fn consume_response(&mut self, id: ConnId) -> bool {
        let Some(c) = self.conns.get_mut(&id) else {
            return false;
        };
        if c.input.is_empty() {
            return false;
        }
        if c.pending_calls.is_empty() {
            // No call is in progress, so these bytes can't be a response.
            self.close(id);
            return false;
        }
        let mut headers = [httparse::EMPTY_HEADER; 48];
        let mut response = httparse::Response::new(&mut headers);
        let head = match response.parse(&c.input) {
            Ok(httparse::Status::Complete(n)) => n,
            Ok(httparse::Status::Partial) if c.input.len() <= HTTP_HEAD_BYTES_MAX => return false,
            _ => {
                self.close(id);
                return false;
            }
        };
        let status = response.code.unwrap_or(0);
        let mut length = None;
        let mut chunked = false;
        let mut close = false;
        for h in response.headers.iter() {
            if h.name.eq_ignore_ascii_case("content-length") {
                length = std::str::from_utf8(h.value)
                    .ok()
                    .and_then(|v| v.trim().parse::<usize>().ok());
            } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                chunked = true;
            } else if h.name.eq_ignore_ascii_case("connection") {
                close = h.value.eq_ignore_ascii_case(b"close");
            }
        }
        let body = if chunked {
            match decode_chunked(&c.input[head..]) {
                Ok(Some((body, used))) => {
                    c.input.drain(..head + used);
                    body
                }
                Ok(None) if c.input.len() <= RESPONSE_BYTES_MAX => return false,
                _ => {
                    self.close(id);
                    return false;
                }
            }
        } else {
            let length = length.unwrap_or(0);
            if length > RESPONSE_BYTES_MAX {
                self.close(id);
                return false;
            }
            if c.input.len() < head + length {
                return false;
            }
            let body = c.input[head..head + length].to_vec();
            c.input.drain(..head + length);
            body
        };
        let Some(ticket) = c.pending_calls.pop() else {
            return false;
        };
        let Role::Client(dest) = c.role else {
            return false;
        };
        let leftover = !c.input.is_empty();
        self.finish(ticket, Outcome::Reply { status, body });
        if close || leftover {
            self.close(id);
        } else {
            self.idle_outgoing.entry(dest).or_default().push(id);
        }
        false
    }

    /// Writes the response to the request in progress on a connection.
    pub(super) fn respond(
        &mut self,
        id: ConnId,
        status: u16,
        body: &[u8],
        retry_after: Option<u32>,
    ) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        if !c.request_in_progress {
            return;
        }
        c.request_in_progress = false;
        c.served = true;
        // The load balancer assigns connections, not requests, to controllers. Closing the connection of a client that
        // was refused repeatedly lets its retry reach another controller.
        c.consecutive_refusals = if c.is_client && status == 503 {
            c.consecutive_refusals.saturating_add(1)
        } else {
            0
        };
        c.close_after |=
            c.consecutive_refusals >= REFUSALS_BEFORE_CLOSE || (self.isolated && status == 503);
        let mut head = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            reason_phrase(status),
            body.len()
        );
        if let Some(s) = retry_after {
            head.push_str(&format!("Retry-After: {s}\r\n"));
        }
        if c.close_after {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        c.output.extend_from_slice(head.as_bytes());
        c.output.extend_from_slice(body);
        // A partly received request has to be completed soon; a connection between requests may stay idle.
        let limit = if c.input.is_empty() {
            SERVER_IDLE_TIMEOUT
        } else {
            REQUEST_TIMEOUT
        };
        self.set_deadline(id, self.now + limit);
        self.flush(id);
        self.consume(id);
        self.update_idle(id);
    }
}
