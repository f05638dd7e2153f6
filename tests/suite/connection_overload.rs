//! A node with more clients than connections. Each client sends requests periodically, gives up when its answer is
//! late and then opens a new connection, which costs the node more than the request. A node that has fallen behind
//! must recover from that.

use crate::test_cluster::TestCluster;
use calloop::EventLoop;
use dewramp::clock::{MILLISECOND, Micros, SECOND};
use dewramp::load_shedding::{ConnectionPressure, LoadMonitor};
use dewramp::messages::{Input, Output};
use dewramp::net::Net;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The processor time that a node needs for a new connection and for a request: ten times as much as on a controller
/// of a large fleet, which has ten times as many clients and connections.
const CONNECTION_COST: Micros = 25 * MILLISECOND;
const REQUEST_COST: Micros = 8 * MILLISECOND;
const HEARTBEAT_PERIOD: Micros = 8 * SECOND;
const ANSWER_TIMEOUT: Micros = 4 * SECOND;
const RETRY_DELAY: Micros = SECOND;
const LOOP_STEP: Micros = 50 * MILLISECOND;
/// Two thirds of these are for clients.
const MAX_CONNECTIONS: usize = 360;
const CLIENTS: usize = 260;

/// Sends a heartbeat once a period, over a connection that it keeps while its answers come in time.
struct Client {
    stream: Option<TcpStream>,
    due: Micros,
    sent: Option<Micros>,
}

impl Client {
    fn send(&mut self, now: Micros, addr: SocketAddr) {
        let request = b"POST /checkin HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
        let kept_stream = self.stream.take();
        let open_stream = kept_stream
            .filter(|s| matches!(s.peek(&mut [0; 1]), Err(e) if e.kind() == ErrorKind::WouldBlock));
        let mut stream = open_stream.unwrap_or_else(|| {
            let stream = TcpStream::connect(addr).unwrap();
            stream.set_nonblocking(true).unwrap();
            stream
        });
        let written = stream.write_all(request).is_ok();
        self.stream = written.then_some(stream);
        self.sent = Some(now);
    }

    /// Checks for the answer: `Some(false)` if it has come in time, `Some(true)` if the client has given up on it.
    fn check_answer(&mut self, now: Micros) -> Option<bool> {
        let sent = self.sent?;
        let received = self.stream.as_mut().map(|s| s.read(&mut [0; 512]));
        let answered = matches!(received, Some(Ok(n)) if n > 0);
        let closed = match received {
            None | Some(Ok(0)) => true,
            Some(Err(e)) => e.kind() != ErrorKind::WouldBlock,
            Some(Ok(_)) => false,
        };
        let late = now >= sent + ANSWER_TIMEOUT;
        if !answered && !closed && !late {
            return None;
        }
        self.sent = None;
        if answered && !late {
            self.due = sent + HEARTBEAT_PERIOD;
            return Some(false);
        }
        self.stream = None;
        self.due = now + RETRY_DELAY;
        Some(true)
    }
}

/// The results of a minute's heartbeats, and how many connections were accepted.
#[derive(Debug, Default, PartialEq)]
struct MinuteResult {
    in_time: usize,
    failed: usize,
    connections: u64,
}

/// All clients connect within one period, as after the end of another node; returns the results minute by minute.
fn results_by_minute(minutes: usize) -> Vec<MinuteResult> {
    let mut event_loop: EventLoop<Net> = EventLoop::try_new().unwrap();
    let mut net = Net::new(event_loop.handle(), MAX_CONNECTIONS);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    net.set_now(SECOND);
    net.listen(addr, false).unwrap();
    let mut clients: Vec<Client> = (0..CLIENTS)
        .map(|n| Client {
            stream: None,
            due: SECOND + HEARTBEAT_PERIOD * n as Micros / CLIENTS as Micros,
            sent: None,
        })
        .collect();
    let mut now = SECOND;
    let mut results = Vec::new();
    for minute in 1..=minutes {
        let mut counts = MinuteResult::default();
        let accepted_before_minute = net.traffic.accepted;
        while now < SECOND + minute as Micros * 60 * SECOND {
            for client in clients
                .iter_mut()
                .filter(|client| client.sent.is_none() && client.due <= now)
            {
                client.send(now, addr);
            }
            net.set_now(now);
            net.expire();
            let accepted_before = net.traffic.accepted;
            event_loop.dispatch(Some(Duration::ZERO), &mut net).unwrap();
            now += LOOP_STEP + CONNECTION_COST * (net.traffic.accepted - accepted_before);
            net.set_now(now);
            while let Some(Input::Request { conn, .. }) = net.next_input() {
                now += REQUEST_COST;
                net.set_now(now);
                let (status, body) = (200, b"{}".to_vec());
                net.perform(Output::Respond {
                    conn,
                    status,
                    body,
                    retry_after: None,
                });
                // Clients time out while the node is working.
                for client in &mut clients {
                    match client.check_answer(now) {
                        Some(true) => counts.failed += 1,
                        Some(false) => counts.in_time += 1,
                        None => {}
                    }
                }
            }
            for client in &mut clients {
                match client.check_answer(now) {
                    Some(true) => counts.failed += 1,
                    Some(false) => counts.in_time += 1,
                    None => {}
                }
            }
        }
        counts.connections = net.traffic.accepted - accepted_before_minute;
        results.push(counts);
    }
    results
}

/// With a few more clients than connections, only the clients in excess open new connections.
#[test]
fn a_node_with_slightly_too_many_clients_recovers_within_a_minute() {
    let results = results_by_minute(3);
    for minute in &results[1..] {
        let requests = CLIENTS * (60 * SECOND / HEARTBEAT_PERIOD) as usize;
        assert!(minute.in_time * 10 >= requests * 9, "{results:?}");
        assert!(minute.failed * 50 <= requests, "{results:?}");
        let connections = minute.connections as usize;
        assert!(connections * 5 <= requests, "{results:?}");
    }
}

/// Twelve workers and three controllers under this connection pressure. For 30 s the leader answers no forwarded
/// heartbeat in time; its other calls are answered.
fn slow_leader(connection_pressure: ConnectionPressure) -> TestCluster {
    let mut cluster = TestCluster::new(3);
    for n in 0..12 {
        let worker = cluster.add_worker(&format!("m-{n:06}"), "small", "a");
        cluster.workers[worker].controller = n % 3;
    }
    cluster.run(10.0);
    let mut load = LoadMonitor::default();
    load.connection_pressure = connection_pressure;
    cluster.redirects = 0;
    cluster.slow_heartbeat_forwarding = true;
    for _ in 0..30 {
        for node in cluster.controllers.iter_mut().flatten() {
            node.update_load(load);
        }
        cluster.run(1.0);
    }
    cluster
}

/// The leader is alive but slow, and connections are scarce: a follower must not redirect its workers to the other
/// follower, which can't serve them either, since each would open a new connection at once. Both used to redirect all
/// of their workers to each other.
#[test]
fn workers_are_not_redirected_while_connections_are_scarce() {
    let mut cluster = slow_leader(ConnectionPressure::High);
    assert_eq!(cluster.redirects, 0);
    cluster.slow_heartbeat_forwarding = false;
    cluster.run(12.0);
    let served = cluster
        .workers
        .iter()
        .filter(|worker| cluster.now.steady < worker.lease_renewed_at + 9 * SECOND);
    assert_eq!(served.count(), 12);
}

/// While connections are plentiful, workers are redirected to another controller, which may reach the leader.
#[test]
fn workers_are_redirected_while_connections_are_plentiful() {
    assert!(slow_leader(ConnectionPressure::Low).redirects > 0);
}
