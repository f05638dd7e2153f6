//! The network layer over real sockets: malformed, oversized and stalled requests, connection limits, frames between
//! controllers, and refusals.

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

/// A listening network layer with its event loop.
struct Endpoint {
    event_loop: EventLoop<'static, Net>,
    net: Net,
    addr: SocketAddr,
}

fn endpoint(max_connections: usize, for_peers: bool) -> Endpoint {
    let event_loop: EventLoop<Net> = EventLoop::try_new().unwrap();
    let mut net = Net::new(event_loop.handle(), max_connections);
    net.set_now(SECOND);
    // A port that was free a moment ago.
    let addr = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    net.listen(addr, for_peers).unwrap();
    Endpoint {
        event_loop,
        net,
        addr,
    }
}

impl Endpoint {
    fn run_event_loop(&mut self) {
        for _ in 0..4 {
            self.event_loop
                .dispatch(Some(Duration::from_millis(5)), &mut self.net)
                .unwrap();
        }
    }

    /// Sends bytes and returns all that comes back until the connection is closed.
    fn exchange(&mut self, bytes: &[u8]) -> String {
        let mut client = TcpStream::connect(self.addr).unwrap();
        client.write_all(bytes).unwrap();
        self.run_event_loop();
        client.shutdown(Shutdown::Write).unwrap();
        self.run_event_loop();
        let mut text = String::new();
        let _ = client.read_to_string(&mut text);
        text
    }
}

#[test]
fn malformed_and_oversized_requests_are_refused_without_buffering() {
    let mut endpoint = endpoint(100, false);
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
        let answer = endpoint.exchange(bytes);
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
        assert!(
            endpoint.net.next_input().is_none(),
            "nothing of it reaches the service"
        );
    }
}

#[test]
fn a_stalled_request_times_out_and_a_complete_one_is_answered() {
    let mut endpoint = endpoint(100, false);
    let mut client = TcpStream::connect(endpoint.addr).unwrap();
    client
        .write_all(b"POST /work HTTP/1.1\r\nContent-Le")
        .unwrap();
    endpoint.run_event_loop();
    endpoint.net.set_now(20 * SECOND);
    endpoint.net.expire();
    assert_eq!(client.read(&mut [0; 8]).unwrap(), 0, "closed");
    let mut client = TcpStream::connect(endpoint.addr).unwrap();
    client.write_all(b"GET /up HTTP/1.1\r\n\r\n").unwrap();
    endpoint.run_event_loop();
    let Some(Input::Request { conn, path, .. }) = endpoint.net.next_input() else {
        panic!("no request")
    };
    assert_eq!(path, "/up");
    endpoint.net.perform(Output::Respond {
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
fn accepted_connections_are_capped() {
    let mut endpoint = endpoint(12, false);
    let mut clients: Vec<TcpStream> = (0..12)
        .map(|_| TcpStream::connect(endpoint.addr).unwrap())
        .collect();
    endpoint.run_event_loop();
    let mut open = 0;
    for client in &mut clients {
        client.set_nonblocking(true).unwrap();
        let is_open = client
            .read(&mut [0; 1])
            .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        open += usize::from(is_open);
    }
    assert_eq!(open, 8, "two thirds of the sockets are for clients");
}

/// When a controller ends, its workers connect to the others at once. If all of them were accepted in one iteration of
/// the event loop, earlier requests would wait for their answers until the last is accepted.
#[test]
fn a_burst_of_connections_is_accepted_in_batches() {
    let mut endpoint = endpoint(300, false);
    let clients: Vec<TcpStream> = (0..100)
        .map(|_| TcpStream::connect(endpoint.addr).unwrap())
        .collect();
    let mut accepted = Vec::new();
    for _ in 0..8 {
        let before = endpoint.net.traffic.accepted;
        endpoint
            .event_loop
            .dispatch(Some(Duration::from_millis(5)), &mut endpoint.net)
            .unwrap();
        accepted.push(endpoint.net.traffic.accepted - before);
    }
    assert!(accepted.iter().all(|n| *n <= 32), "{accepted:?}");
    assert_eq!(accepted.iter().sum::<u64>(), clients.len() as u64);
}

/// With more workers than the share of connections for outbound calls, idle connections are kept while the total allows
/// it. A leader used to open and close a connection for every third command.
#[test]
fn outbound_connections_are_reused_while_the_cap_allows() {
    // Ten of the thirty connections are for outbound calls; one is closed only once more than twenty-four are open.
    let mut endpoint = endpoint(30, false);
    let workers: Vec<TcpListener> = (0..22)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let mut worker_streams: Vec<Option<TcpStream>> = workers.iter().map(|_| None).collect();
    let mut ticket = 0;
    let mut call_all_workers =
        |endpoint: &mut Endpoint, worker_streams: &mut Vec<Option<TcpStream>>| {
            for (worker, stream) in workers.iter().zip(worker_streams) {
                ticket += 1;
                endpoint.net.perform(Output::Call {
                    ticket,
                    dest: worker.local_addr().unwrap(),
                    method: "POST",
                    path: "/commands".to_owned(),
                    body: b"{}".to_vec(),
                    timeout: 5 * SECOND,
                });
                let stream = stream.get_or_insert_with(|| worker.accept().unwrap().0);
                endpoint.run_event_loop();
                let mut received = [0; 512];
                assert!(stream.read(&mut received).unwrap() > 0);
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
                stream.write_all(answer).unwrap();
                endpoint.run_event_loop();
                let outcome = endpoint.net.next_input();
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
    call_all_workers(&mut endpoint, &mut worker_streams);
    call_all_workers(&mut endpoint, &mut worker_streams);
    assert_eq!(endpoint.net.traffic.connected, workers.len() as u64);
}

#[test]
fn a_malformed_frame_closes_its_connection_and_is_dropped() {
    let mut endpoint = endpoint(100, true);
    assert_eq!(endpoint.exchange(&[7; 64]), "");
    assert_eq!(
        endpoint.exchange(&[0x32, 0x52, 0x57, 0x44, 1]),
        "",
        "a truncated header"
    );
    assert!(endpoint.net.next_input().is_none());
}

/// A payload that does not fit a frame, of a call or an answer, is rejected by its sender; the connection and the other
/// calls on it are not affected.
#[test]
fn an_oversized_payload_leaves_the_peer_connection_open() {
    let mut leader = endpoint(100, true);
    let mut follower = endpoint(100, true);
    let call = |ticket, body: Vec<u8>| Output::PeerCall {
        ticket,
        dest: leader.addr,
        kind: KIND_ADMIN_QUERY,
        subject: "jobs".to_owned(),
        body,
        timeout: 5 * SECOND,
    };
    // A call that waits for its answer, one that does not fit, and one whose answer will not fit.
    follower.net.perform(call(1, Vec::new()));
    follower
        .net
        .perform(call(2, vec![0; FRAME_PAYLOAD_BYTES_MAX]));
    follower
        .net
        .perform(call(3, vec![0; FRAME_PAYLOAD_BYTES_MAX - 4]));
    for _ in 0..40 {
        follower.run_event_loop();
        leader.run_event_loop();
    }
    let mut received = Vec::new();
    while let Some(Input::PeerRequest { conn, ticket, .. }) = leader.net.next_input() {
        received.push((conn, ticket));
    }
    assert_eq!(
        received.iter().map(|call| call.1).collect::<Vec<_>>(),
        [1, 3]
    );
    let answer = |leader: &mut Endpoint, n: usize, length: usize| {
        let (conn, ticket) = received[n];
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
        leader.run_event_loop();
        follower.run_event_loop();
    }
    let mut outcomes = Vec::new();
    while let Some(Input::Outcome { ticket, outcome }) = follower.net.next_input() {
        outcomes.push((ticket, outcome));
    }
    let body = b"  ".to_vec();
    assert_eq!(
        outcomes,
        [
            (2, Outcome::NotSent),
            (3, Outcome::Lost),
            (1, Outcome::Reply { status: 200, body })
        ]
    );
    assert_eq!(follower.net.traffic.connected, 1, "the same connection");
    assert_eq!(leader.net.traffic.accepted, 1);
}

/// The ledger relies on this difference: a refused call was surely not received, one without an answer may have been.
#[test]
fn a_refused_call_differs_from_an_unanswered_one() {
    let mut endpoint = endpoint(100, false);
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let refused = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    for (ticket, dest) in [(1, unresponsive.local_addr().unwrap()), (2, refused)] {
        let (path, body) = ("/commands".to_owned(), b"{}".to_vec());
        endpoint.net.perform(Output::Call {
            ticket,
            dest,
            method: "POST",
            path,
            body,
            timeout: 2 * SECOND,
        });
    }
    endpoint.run_event_loop();
    let first = endpoint.net.next_input();
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
    endpoint.net.set_now(4 * SECOND);
    endpoint.net.expire();
    let second = endpoint.net.next_input();
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

/// After process pauses and network partitions many connections remain whose other ends are gone. At the cap those that
/// have been idle the longest are closed, so that workers get through within their leases.
#[test]
fn at_the_cap_the_longest_idle_connections_are_closed() {
    let mut endpoint = endpoint(30, false);
    let mut clients = Vec::new();
    for n in 0..24 {
        endpoint.net.set_now((n + 1) * SECOND);
        let mut client = TcpStream::connect(endpoint.addr).unwrap();
        client.write_all(b"GET /up HTTP/1.1\r\n\r\n").unwrap();
        endpoint.run_event_loop();
        let Some(Input::Request { conn, .. }) = endpoint.net.next_input() else {
            panic!("connection {n} is not served");
        };
        endpoint.net.perform(Output::Respond {
            conn,
            status: 200,
            body: b"{}".to_vec(),
            retry_after: None,
        });
        endpoint.run_event_loop();
        clients.push(client);
    }
    let closed = |client: &mut TcpStream| {
        client.set_nonblocking(true).unwrap();
        let mut all = Vec::new();
        client.read_to_end(&mut all).is_ok()
    };
    let closed_connections: Vec<bool> = clients.iter_mut().map(closed).collect();
    assert!(
        closed_connections[..4].iter().all(|closed| *closed),
        "{closed_connections:?}"
    );
    assert!(
        !closed_connections[4..].iter().any(|closed| *closed),
        "{closed_connections:?}"
    );
}

/// A user's request must not queue behind the thousand heartbeats that arrive after a failover.
#[test]
fn a_users_request_is_handled_before_earlier_heartbeats() {
    let mut endpoint = endpoint(100, false);
    let mut clients = Vec::new();
    let lines = [
        "POST /checkin",
        "POST /checkin",
        "POST /work",
        "POST /checkin",
    ];
    for line in lines {
        let mut client = TcpStream::connect(endpoint.addr).unwrap();
        let text = format!("{line} HTTP/1.1\r\nContent-Length: 2\r\n\r\n{{}}");
        client.write_all(text.as_bytes()).unwrap();
        endpoint.run_event_loop();
        clients.push(client);
    }
    let path = |input: Option<Input>| match input {
        Some(Input::Request { path, .. }) => path,
        other => panic!("no request: {other:?}"),
    };
    assert_eq!(path(endpoint.net.next_urgent()), "/work");
    assert!(endpoint.net.next_urgent().is_none() && endpoint.net.has_input());
    for _ in 0..3 {
        assert_eq!(path(endpoint.net.next_input()), "/checkin");
    }
    assert!(!endpoint.net.has_input());
}

/// Sends a request over an open connection and returns the answer.
fn exchange_on(endpoint: &mut Endpoint, client: &mut TcpStream, request: &[u8]) -> String {
    client.write_all(request).unwrap();
    endpoint.run_event_loop();
    client
        .set_read_timeout(Some(Duration::from_millis(500)))
        .unwrap();
    let mut bytes = [0; 2048];
    let n = client.read(&mut bytes).unwrap_or(0);
    String::from_utf8_lossy(&bytes[..n]).into_owned()
}

/// forgotten (a rule of the simulator): an overloaded node refuses polls, but accepts those of a job whose polls have
/// been refused for long, while it still refuses others. The second refusal closes the user's connection.
#[test]
fn polls_of_one_job_are_not_refused_forever() {
    let mut endpoint = endpoint(100, false);
    endpoint.net.set_shed_level(ShedLevel::Polls, 1);
    let poll = b"GET /work/wk-1 HTTP/1.1\r\n\r\n";
    let mut client = TcpStream::connect(endpoint.addr).unwrap();
    let first = exchange_on(&mut endpoint, &mut client, poll);
    assert!(
        first.starts_with("HTTP/1.1 503") && first.contains("Retry-After"),
        "{first}"
    );
    assert!(!first.contains("Connection: close"), "{first}");
    let second = exchange_on(&mut endpoint, &mut client, poll);
    assert!(second.starts_with("HTTP/1.1 503") && second.contains("Connection: close"));
    endpoint.net.set_now(SECOND + STARVED_AFTER);
    let mut again = TcpStream::connect(endpoint.addr).unwrap();
    again.write_all(poll).unwrap();
    endpoint.run_event_loop();
    assert!(endpoint.net.next_input().is_some(), "accepted");
    let mut other = TcpStream::connect(endpoint.addr).unwrap();
    let refused = exchange_on(
        &mut endpoint,
        &mut other,
        b"GET /work/wk-2 HTTP/1.1\r\n\r\n",
    );
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
}

/// A node that is cut off from the state service and its peers closes connections with each refusal.
#[test]
fn an_isolated_node_closes_users_connections() {
    let mut endpoint = endpoint(100, false);
    endpoint.net.set_isolated(true);
    let mut client = TcpStream::connect(endpoint.addr).unwrap();
    client
        .write_all(b"GET /work/wk-1 HTTP/1.1\r\n\r\n")
        .unwrap();
    endpoint.run_event_loop();
    let Some(Input::Request { conn, .. }) = endpoint.net.next_input() else {
        panic!("a request");
    };
    endpoint.net.perform(Output::Respond {
        conn,
        status: 503,
        body: b"{}".to_vec(),
        retry_after: Some(1),
    });
    endpoint.run_event_loop();
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    assert!(text.contains("Connection: close"), "{text}");
}
