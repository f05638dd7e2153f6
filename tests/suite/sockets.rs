//! What comes over the wire malformed, too large, or never: refused and closed within bounds.

use calloop::EventLoop;
use dewramp::clock::SECOND;
use dewramp::load_shedding::ShedLevel;
use dewramp::messages::{Input, Outcome, Output};
use dewramp::net::Net;
use dewramp::request_starvation::STARVED_AFTER;
use dewramp::wire::{FRAME_PAYLOAD_BYTES_MAX, KIND_ADMIN_QUERY};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

struct Side {
    event_loop: EventLoop<'static, Net>,
    net: Net,
    addr: SocketAddr,
}

fn side(cap: usize, peers: bool) -> Side {
    let event_loop: EventLoop<Net> = EventLoop::try_new().unwrap();
    let mut net = Net::new(event_loop.handle(), cap);
    net.set_now(SECOND);
    // A port that was free a moment ago.
    let addr = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    net.listen(addr, peers).unwrap();
    Side {
        event_loop,
        net,
        addr,
    }
}

impl Side {
    fn turn(&mut self) {
        for _ in 0..4 {
            self.event_loop
                .dispatch(Some(Duration::from_millis(5)), &mut self.net)
                .unwrap();
        }
    }

    /// Sends bytes and returns all that comes back until the other side closes.
    fn exchange(&mut self, bytes: &[u8]) -> String {
        let mut client = TcpStream::connect(self.addr).unwrap();
        client.write_all(bytes).unwrap();
        self.turn();
        client.shutdown(Shutdown::Write).unwrap();
        self.turn();
        let mut text = String::new();
        let _ = client.read_to_string(&mut text);
        text
    }
}

#[test]
fn malformed_and_oversized_requests_are_refused_without_buffering() {
    let mut s = side(100, false);
    for (bytes, status) in [
        (&b"\x00\x01\x02 nonsense\r\n\r\n"[..], "400"),
        (
            b"POST /work HTTP/1.1\r\nContent-Length: many\r\n\r\n",
            "400",
        ),
        (
            b"POST /work HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",
            "413",
        ),
        (
            b"POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "411",
        ),
    ] {
        let answer = s.exchange(bytes);
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
        assert!(
            s.net.next_input().is_none(),
            "nothing of it reaches the service"
        );
    }
}

#[test]
fn a_stalled_request_is_closed_and_a_whole_one_answered() {
    let mut s = side(100, false);
    let mut client = TcpStream::connect(s.addr).unwrap();
    client
        .write_all(b"POST /work HTTP/1.1\r\nContent-Le")
        .unwrap();
    s.turn();
    s.net.set_now(20 * SECOND);
    s.net.expire();
    assert_eq!(client.read(&mut [0; 8]).unwrap(), 0, "closed");
    let mut client = TcpStream::connect(s.addr).unwrap();
    client.write_all(b"GET /up HTTP/1.1\r\n\r\n").unwrap();
    s.turn();
    let Some(Input::Request { conn, path, .. }) = s.net.next_input() else {
        panic!("no request")
    };
    assert_eq!(path, "/up");
    s.net.perform(Output::Respond {
        conn,
        status: 503,
        body: b"{}".to_vec(),
        retry_after: Some(1),
    });
    let mut buf = [0; 512];
    let n = client.read(&mut buf).unwrap();
    assert!(String::from_utf8_lossy(&buf[..n]).contains("Retry-After: 1"));
}

#[test]
fn a_flood_of_connections_is_capped() {
    let mut s = side(12, false);
    let mut clients: Vec<TcpStream> = (0..12)
        .map(|_| TcpStream::connect(s.addr).unwrap())
        .collect();
    s.turn();
    let mut open = 0;
    for c in &mut clients {
        c.set_nonblocking(true).unwrap();
        let waits = c
            .read(&mut [0; 1])
            .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        open += usize::from(waits);
    }
    assert_eq!(open, 8, "two thirds of the sockets are for callers");
}

/// When a controller ends its workers come to the others at once. Were all of them taken in one turn, whatever
/// came before them would wait for its answer until the last is taken.
#[test]
fn a_herd_of_connections_is_taken_in_parts_and_whole() {
    let mut s = side(300, false);
    let clients: Vec<TcpStream> = (0..100)
        .map(|_| TcpStream::connect(s.addr).unwrap())
        .collect();
    let mut taken = Vec::new();
    for _ in 0..8 {
        let before = s.net.traffic.accepted;
        s.event_loop
            .dispatch(Some(Duration::from_millis(5)), &mut s.net)
            .unwrap();
        taken.push(s.net.traffic.accepted - before);
    }
    assert!(taken.iter().all(|n| *n <= 32), "{taken:?}");
    assert_eq!(taken.iter().sum::<u64>(), clients.len() as u64);
}

/// More workers than our part of the connections: while others are free theirs are kept. A leader used to
/// open one and close one for every third command.
#[test]
fn connections_of_our_calls_are_kept_while_others_are_free() {
    // Ten of thirty are the calls' part, twenty-four may be in use before one has to go.
    let mut s = side(30, false);
    let workers: Vec<TcpListener> = (0..22)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let mut ends: Vec<Option<TcpStream>> = workers.iter().map(|_| None).collect();
    let mut ticket = 0;
    let mut ask_all = |s: &mut Side, ends: &mut Vec<Option<TcpStream>>| {
        for (worker, end) in workers.iter().zip(ends) {
            ticket += 1;
            s.net.perform(Output::Call {
                ticket,
                dest: worker.local_addr().unwrap(),
                method: "POST",
                path: "/commands".to_owned(),
                body: b"{}".to_vec(),
                timeout: 5 * SECOND,
            });
            let end = end.get_or_insert_with(|| worker.accept().unwrap().0);
            s.turn();
            let mut heard = [0; 512];
            assert!(end.read(&mut heard).unwrap() > 0);
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
            end.write_all(answer).unwrap();
            s.turn();
            let outcome = s.net.next_input();
            assert!(
                matches!(
                    outcome,
                    Some(Input::Outcome {
                        outcome: Outcome::Reply { status: 200, .. },
                        ..
                    })
                ),
                "{outcome:?}"
            );
        }
    };
    ask_all(&mut s, &mut ends);
    ask_all(&mut s, &mut ends);
    assert_eq!(s.net.traffic.connected, workers.len() as u64);
}

#[test]
fn a_garbled_frame_closes_the_link_and_nothing_else() {
    let mut s = side(100, true);
    assert_eq!(s.exchange(&[7; 64]), "");
    assert_eq!(
        s.exchange(&[0x32, 0x52, 0x57, 0x44, 1]),
        "",
        "a truncated head"
    );
    assert!(s.net.next_input().is_none());
}

/// What does not fit a frame is refused by whoever would send it, call or answer; the link and all else on it stay.
#[test]
fn what_does_not_fit_a_frame_costs_no_link() {
    let mut leader = side(100, true);
    let mut asking = side(100, true);
    let call = |ticket, body: Vec<u8>| Output::PeerCall {
        ticket,
        dest: leader.addr,
        kind: KIND_ADMIN_QUERY,
        subject: "jobs".to_owned(),
        body,
        timeout: 5 * SECOND,
    };
    // A heartbeat that waits for its answer, a call that does not fit, and one whose answer does not.
    asking.net.perform(call(1, Vec::new()));
    asking
        .net
        .perform(call(2, vec![0; FRAME_PAYLOAD_BYTES_MAX]));
    asking
        .net
        .perform(call(3, vec![0; FRAME_PAYLOAD_BYTES_MAX - 4]));
    for _ in 0..40 {
        asking.turn();
        leader.turn();
    }
    let mut heard = Vec::new();
    while let Some(Input::PeerRequest { conn, ticket, .. }) = leader.net.next_input() {
        heard.push((conn, ticket));
    }
    assert_eq!(heard.iter().map(|h| h.1).collect::<Vec<_>>(), [1, 3]);
    let answer = |leader: &mut Side, n: usize, length: usize| {
        let (conn, ticket) = heard[n];
        let body = vec![b' '; length];
        let outcome = Outcome::Reply { status: 200, body };
        leader.net.perform(Output::PeerRespond {
            conn,
            ticket,
            outcome,
        });
    };
    answer(&mut leader, 1, FRAME_PAYLOAD_BYTES_MAX + 1);
    answer(&mut leader, 0, 2);
    for _ in 0..4 {
        leader.turn();
        asking.turn();
    }
    let mut ended = Vec::new();
    while let Some(Input::Outcome { ticket, outcome }) = asking.net.next_input() {
        ended.push((ticket, outcome));
    }
    let body = b"  ".to_vec();
    assert_eq!(
        ended,
        [
            (2, Outcome::NotSent),
            (3, Outcome::Lost),
            (1, Outcome::Reply { status: 200, body })
        ]
    );
    assert_eq!(asking.net.traffic.connected, 1, "the same link");
    assert_eq!(leader.net.traffic.accepted, 1);
}

/// The outcomes on which the ledger relies: refused is surely not sent, silence is lost.
#[test]
fn a_call_that_is_refused_differs_from_one_that_gets_no_answer() {
    let mut s = side(100, false);
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let refused = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    for (ticket, dest) in [(1, silent.local_addr().unwrap()), (2, refused)] {
        let (path, body) = ("/commands".to_owned(), b"{}".to_vec());
        s.net.perform(Output::Call {
            ticket,
            dest,
            method: "POST",
            path,
            body,
            timeout: 2 * SECOND,
        });
    }
    s.turn();
    let first = s.net.next_input();
    assert!(
        matches!(
            first,
            Some(Input::Outcome {
                ticket: 2,
                outcome: Outcome::Refused
            })
        ),
        "{first:?}"
    );
    s.net.set_now(4 * SECOND);
    s.net.expire();
    let second = s.net.next_input();
    assert!(
        matches!(
            second,
            Some(Input::Outcome {
                ticket: 1,
                outcome: Outcome::Lost
            })
        ),
        "{second:?}"
    );
}

/// After pauses and cuts many connections are left over whose other ends are gone. At the cap the
/// one that has rested longest goes, so that workers still get through within their leases.
#[test]
fn at_the_cap_the_longest_resting_connection_makes_room() {
    let mut s = side(30, false);
    let mut clients = Vec::new();
    for n in 0..24 {
        s.net.set_now((n + 1) * SECOND);
        let mut client = TcpStream::connect(s.addr).unwrap();
        client.write_all(b"GET /up HTTP/1.1\r\n\r\n").unwrap();
        s.turn();
        let Some(Input::Request { conn, .. }) = s.net.next_input() else {
            panic!("connection {n} is not served");
        };
        s.net.perform(Output::Respond {
            conn,
            status: 200,
            body: b"{}".to_vec(),
            retry_after: None,
        });
        s.turn();
        clients.push(client);
    }
    let closed = |client: &mut TcpStream| {
        client.set_nonblocking(true).unwrap();
        let mut all = Vec::new();
        client.read_to_end(&mut all).is_ok()
    };
    let gone: Vec<bool> = clients.iter_mut().map(closed).collect();
    assert!(gone[..4].iter().all(|g| *g), "{gone:?}");
    assert!(!gone[4..].iter().any(|g| *g), "{gone:?}");
}

/// A thousand reports after a takeover must not stand in line before a user's request.
#[test]
fn a_users_request_is_taken_before_reports_that_came_earlier() {
    let mut s = side(100, false);
    let mut clients = Vec::new();
    let lines = [
        "POST /checkin",
        "POST /checkin",
        "POST /work",
        "POST /checkin",
    ];
    for line in lines {
        let mut client = TcpStream::connect(s.addr).unwrap();
        let text = format!("{line} HTTP/1.1\r\nContent-Length: 2\r\n\r\n{{}}");
        client.write_all(text.as_bytes()).unwrap();
        s.turn();
        clients.push(client);
    }
    let path = |input: Option<Input>| match input {
        Some(Input::Request { path, .. }) => path,
        other => panic!("no request: {other:?}"),
    };
    assert_eq!(path(s.net.next_urgent()), "/work");
    assert!(s.net.next_urgent().is_none() && s.net.has_input());
    for _ in 0..3 {
        assert_eq!(path(s.net.next_input()), "/checkin");
    }
    assert!(!s.net.has_input());
}

/// Sends a request over an open connection and returns what comes back.
fn ask(s: &mut Side, client: &mut TcpStream, request: &[u8]) -> String {
    client.write_all(request).unwrap();
    s.turn();
    client
        .set_read_timeout(Some(Duration::from_millis(500)))
        .unwrap();
    let mut bytes = [0; 2048];
    let n = client.read(&mut bytes).unwrap_or(0);
    String::from_utf8_lossy(&bytes[..n]).into_owned()
}

/// forgotten: a node that is behind refuses polls; the one that was refused for long is taken on, whatever
/// is refused beside it, and a user who is sent away twice comes over a new connection.
#[test]
fn the_same_jobs_polls_are_not_refused_without_end() {
    let mut s = side(100, false);
    s.net.set_shed_level(ShedLevel::Polls, 1);
    let poll = b"GET /work/wk-1 HTTP/1.1\r\n\r\n";
    let mut client = TcpStream::connect(s.addr).unwrap();
    let first = ask(&mut s, &mut client, poll);
    assert!(
        first.starts_with("HTTP/1.1 503") && first.contains("Retry-After"),
        "{first}"
    );
    assert!(!first.contains("Connection: close"), "{first}");
    let second = ask(&mut s, &mut client, poll);
    assert!(second.starts_with("HTTP/1.1 503") && second.contains("Connection: close"));
    s.net.set_now(SECOND + STARVED_AFTER);
    let mut again = TcpStream::connect(s.addr).unwrap();
    again.write_all(poll).unwrap();
    s.turn();
    assert!(s.net.next_input().is_some(), "taken on");
    let mut other = TcpStream::connect(s.addr).unwrap();
    let refused = ask(&mut s, &mut other, b"GET /work/wk-2 HTTP/1.1\r\n\r\n");
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
}

/// A node that is cut off from state service and peers closes what it refuses at once.
#[test]
fn a_node_that_is_cut_off_closes_users_connections() {
    let mut s = side(100, false);
    s.net.set_isolated(true);
    let mut client = TcpStream::connect(s.addr).unwrap();
    client
        .write_all(b"GET /work/wk-1 HTTP/1.1\r\n\r\n")
        .unwrap();
    s.turn();
    let Some(Input::Request { conn, .. }) = s.net.next_input() else {
        panic!("a request");
    };
    s.net.perform(Output::Respond {
        conn,
        status: 503,
        body: b"{}".to_vec(),
        retry_after: Some(1),
    });
    s.turn();
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    assert!(text.contains("Connection: close"), "{text}");
}
