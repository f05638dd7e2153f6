//! A node with more callers than connections, each of which comes again in turn, gives up when its answer is
//! late, and then needs a new connection, which costs more than the request: once behind, does it recover?

use crate::test_cluster::TestCluster;
use calloop::EventLoop;
use dewramp::clock::{MILLISECOND, Micros, SECOND};
use dewramp::load_shedding::{ConnectionPressure, LoadMonitor};
use dewramp::messages::{Input, Output};
use dewramp::net::Net;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// What a node's work takes of its time, ten times as much as on a controller of a large fleet, which has ten
/// times as many callers and connections.
const CONNECTION_COST: Micros = 25 * MILLISECOND;
const REQUEST_COST: Micros = 8 * MILLISECOND;
const PERIOD: Micros = 8 * SECOND;
const PATIENCE: Micros = 4 * SECOND;
const PAUSE: Micros = SECOND;
const STEP: Micros = 50 * MILLISECOND;
/// Two thirds of these are for callers.
const MAX_CONNECTIONS: usize = 360;
const CALLERS: usize = 260;

/// One that reports once a period over a connection that it keeps while its answers come in time.
struct Caller {
    stream: Option<TcpStream>,
    due: Micros,
    sent: Option<Micros>,
}

impl Caller {
    fn send(&mut self, now: Micros, addr: SocketAddr) {
        let request = b"POST /checkin HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
        let kept = self.stream.take();
        let open = kept
            .filter(|s| matches!(s.peek(&mut [0; 1]), Err(e) if e.kind() == ErrorKind::WouldBlock));
        let mut stream = open.unwrap_or_else(|| {
            let stream = TcpStream::connect(addr).unwrap();
            stream.set_nonblocking(true).unwrap();
            stream
        });
        let written = stream.write_all(request).is_ok();
        self.stream = written.then_some(stream);
        self.sent = Some(now);
    }

    /// Whether its answer has come, or will not be waited for; that it was late.
    fn look(&mut self, now: Micros) -> Option<bool> {
        let sent = self.sent?;
        let got = self.stream.as_mut().map(|s| s.read(&mut [0; 512]));
        let answered = matches!(got, Some(Ok(n)) if n > 0);
        let closed = match got {
            None | Some(Ok(0)) => true,
            Some(Err(e)) => e.kind() != ErrorKind::WouldBlock,
            Some(Ok(_)) => false,
        };
        let late = now >= sent + PATIENCE;
        if !answered && !closed && !late {
            return None;
        }
        self.sent = None;
        if answered && !late {
            self.due = sent + PERIOD;
            return Some(false);
        }
        self.stream = None;
        self.due = now + PAUSE;
        Some(true)
    }
}

/// What became of the reports of a minute.
#[derive(Debug, Default, PartialEq)]
struct Minute {
    in_time: usize,
    failed: usize,
    connections: u64,
}

/// All come within a period, as after the end of another process; minute by minute.
fn storm(minutes: usize) -> Vec<Minute> {
    let mut event_loop: EventLoop<Net> = EventLoop::try_new().unwrap();
    let mut net = Net::new(event_loop.handle(), MAX_CONNECTIONS);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    net.set_now(SECOND);
    net.listen(addr, false).unwrap();
    let mut callers: Vec<Caller> = (0..CALLERS)
        .map(|n| Caller {
            stream: None,
            due: SECOND + PERIOD * n as Micros / CALLERS as Micros,
            sent: None,
        })
        .collect();
    let mut now = SECOND;
    let mut told = Vec::new();
    for minute in 1..=minutes {
        let mut counts = Minute::default();
        let before = net.traffic.accepted;
        while now < SECOND + minute as Micros * 60 * SECOND {
            for c in callers
                .iter_mut()
                .filter(|c| c.sent.is_none() && c.due <= now)
            {
                c.send(now, addr);
            }
            net.set_now(now);
            net.expire();
            let taken = net.traffic.accepted;
            event_loop.dispatch(Some(Duration::ZERO), &mut net).unwrap();
            now += STEP + CONNECTION_COST * (net.traffic.accepted - taken);
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
                // Whoever has given up meanwhile is not waited for.
                for c in &mut callers {
                    match c.look(now) {
                        Some(true) => counts.failed += 1,
                        Some(false) => counts.in_time += 1,
                        None => {}
                    }
                }
            }
            for c in &mut callers {
                match c.look(now) {
                    Some(true) => counts.failed += 1,
                    Some(false) => counts.in_time += 1,
                    None => {}
                }
            }
        }
        counts.connections = net.traffic.accepted - before;
        told.push(counts);
    }
    told
}

/// A few callers more than connections: only as many as are too many need new ones.
#[test]
fn a_node_with_a_few_callers_too_many_leaves_the_storm_within_a_minute() {
    let told = storm(3);
    for minute in &told[1..] {
        let whole = CALLERS * (60 * SECOND / PERIOD) as usize;
        assert!(minute.in_time * 10 >= whole * 9, "{told:?}");
        assert!(minute.failed * 50 <= whole, "{told:?}");
        let connections = minute.connections as usize;
        assert!(connections * 5 <= whole, "{told:?}");
    }
}

/// Twelve workers at three controllers whose connections are taken that far; for 30 s the leader answers no report in
/// time that another controller passes on.
fn slow_leader(room: ConnectionPressure) -> TestCluster {
    let mut w = TestCluster::new(3);
    for n in 0..12 {
        let at = w.add_worker(&format!("m-{n:06}"), "small", "a");
        w.workers[at].controller = n % 3;
    }
    w.run(10.0);
    let mut load = LoadMonitor::default();
    load.connection_pressure = room;
    w.redirects = 0;
    w.slow_heartbeat_forwarding = true;
    for _ in 0..30 {
        for node in w.controllers.iter_mut().flatten() {
            node.update_load(load);
        }
        w.run(1.0);
    }
    w
}

/// A leader that is there and behind: where connections are short the others send no worker from one to the other,
/// since neither can serve it, and each would come over a new connection at once. Both did so to all that reported
/// to them.
#[test]
fn workers_are_not_sent_around_while_the_leader_is_only_slow() {
    let mut w = slow_leader(ConnectionPressure::High);
    assert_eq!(w.redirects, 0);
    w.slow_heartbeat_forwarding = false;
    w.run(12.0);
    let heard = w
        .workers
        .iter()
        .filter(|x| w.now.steady < x.lease_renewed_at + 9 * SECOND);
    assert_eq!(heard.count(), 12);
}

/// With connections to spare another controller, which may reach the leader, is named at once.
#[test]
fn with_connections_to_spare_workers_are_named_another_controller() {
    assert!(slow_leader(ConnectionPressure::Low).redirects > 0);
}
