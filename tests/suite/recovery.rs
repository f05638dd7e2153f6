//! The phase after a takeover: what a new leader does while part of the fleet has not spoken.

use crate::test_cluster::TestCluster;
use dewramp::clock::{MILLISECOND, SECOND};
use dewramp::worker_ledger::WorkerLedger;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;

/// Urgent tasks that were started: on a full fleet, one for each that was stopped.
fn stopped_for(w: &TestCluster) -> usize {
    let started = w.workers.iter().flat_map(|x| &x.started_attempts);
    started.filter(|s| s.0.starts_with("wk-2/")).count()
}

/// Three controllers and a full fleet of forty machines of which half have not spoken when urgent work
/// comes. Before, the new leader counted on nothing to end by itself and had running work stopped for all
/// of it at once, by half of the picture.
#[test]
fn a_new_leader_stops_nothing_before_it_knows_the_fleet_and_then_no_faster_than_work_ends() {
    let mut w = TestCluster::new(3);
    for n in 0..40 {
        w.add_worker(&format!("m-{n:06}"), "small", "a");
    }
    w.run(6.0);
    w.submit(
        0,
        "wk-1",
        json!({"urgency": "low", "parts": 90, "markS": 10.0, "stashS": 1.0}),
    );
    w.run(4.0);
    let running = |w: &TestCluster| w.workers.iter().filter(|x| !x.tasks.is_empty()).count();
    assert_eq!(running(&w), 40, "the fleet is full");
    let old = w.leader().expect("a leader");
    for worker in &mut w.workers[..20] {
        worker.partitioned = true;
    }
    w.kill_controller(old);
    let mut waited = 0.0;
    while w.leader().is_none() {
        w.run(0.1);
        waited += 0.1;
        assert!(waited < 5.0, "nobody takes the lead");
    }
    let new = w.leader().expect("a new leader");
    w.submit(
        new,
        "wk-2",
        json!({"herd": "quick", "urgency": "high", "parts": 20}),
    );
    w.run(3.0);
    assert_eq!(stopped_for(&w), 0, "half of the fleet has not spoken");
    for worker in &mut w.workers[..20] {
        worker.partitioned = false;
    }
    for n in 0..40 {
        w.send_heartbeat(n);
    }
    // 160 cores run for a minute each: in ten seconds 27 of them, six tasks, end by themselves.
    let from = w.now.steady;
    w.run(10.0);
    assert_eq!(w.now.steady - from, 10 * SECOND);
    assert!(
        (3..=9).contains(&stopped_for(&w)),
        "{} were stopped",
        stopped_for(&w)
    );
    let status = w.request(new, "GET", "/inspect/status", json!(null)).1;
    assert_eq!(status["recovery"]["phase"], "throttled");
    let squared = &status["recovery"]["squared"];
    assert_eq!(
        (&squared["agreed"], &squared["missing"]),
        (&json!(40), &json!(0))
    );
    // Afterwards they go as fast as they are wanted.
    w.run(16.0);
    assert_eq!(stopped_for(&w), 20);
    let status = w.request(new, "GET", "/inspect/status", json!(null)).1;
    assert_eq!(status["recovery"]["phase"], "complete");
}

/// A leader has the least time and a report by way of another controller costs it the least: it hands its
/// workers on, one at a time, while two others can take them; no task is lost by it, and with one other
/// controller left, whose end would cost all of them at once, it keeps those that come.
#[test]
fn a_leader_hands_its_workers_on_while_two_others_can_take_them() {
    let mut w = TestCluster::new(3);
    for n in 0..40 {
        w.add_worker(&format!("m-{n:06}"), "small", "a");
    }
    w.run(1.0);
    let leader = w.leader().expect("a leader");
    for worker in &mut w.workers {
        worker.controller = leader;
    }
    // Users' load balancer asks all of them: that is how a leader knows who can serve.
    let probed = |w: &mut TestCluster, secs: u32| {
        for _ in 0..secs {
            for n in 0..3 {
                if w.controllers[n].is_some() {
                    w.request(n, "GET", "/up", json!(null));
                }
            }
            w.run(1.0);
        }
    };
    let with = |w: &TestCluster, n: usize| w.workers.iter().filter(|x| x.controller == n).count();
    probed(&mut w, 4);
    assert!(
        with(&w, leader) > 20,
        "not all at once: {}",
        with(&w, leader)
    );
    w.submit(leader, "wk-1", json!({"parts": 40}));
    probed(&mut w, 50);
    assert_eq!(with(&w, leader), 0, "all are handed on");
    let started: Vec<_> = w.workers.iter().flat_map(|x| &x.started_attempts).collect();
    assert_eq!(started.len(), 40, "each task started once");
    // One other controller ends: its workers come here, and stay.
    w.kill_controller((leader + 2) % 3);
    probed(&mut w, 20);
    let here = with(&w, leader);
    assert!(here > 0, "some came to the leader");
    probed(&mut w, 10);
    assert_eq!(with(&w, leader), here, "none is handed on to a single one");
}

/// Machines that have not spoken are each asked by one controller, the leader's part being the smallest.
#[test]
fn unheard_machines_are_shared_out_among_the_controllers() {
    let peers: Vec<SocketAddr> = (2..4)
        .map(|n| format!("10.0.0.{n}:8081").parse().expect("an address"))
        .collect();
    let mut workers = WorkerLedger::new(3, 0, 30 * SECOND, 5 * SECOND, peers.clone());
    for n in 0..1_000 {
        let (id, addr) = (
            format!("m-{n:06}"),
            format!("10.1.{}.{}:9000", n / 200, n % 200 + 1),
        );
        workers.add_registered_machine(id.into(), &addr, "small", "a", false, 0);
    }
    let shares = workers.assign_probes_to_peers(SECOND);
    let mut named: Vec<&str> = shares.values().flatten().map(|r| r.machine()).collect();
    let all = named.len();
    named.sort_unstable();
    named.dedup();
    assert_eq!(named.len(), all, "nobody is asked by two");
    assert!((760..840).contains(&all), "{all}: a fifth stays here");
    for peer in &peers {
        let share = shares[peer].len();
        assert!((350..450).contains(&share), "{share}");
    }
    let row = &shares[&peers[0]][0];
    assert_eq!(
        Some(row.fencing_token.get()),
        workers.fencing_token_of(row.machine())
    );
    // What a controller was given is not probed from here, until that one is known not to ask.
    let probed = |workers: &mut WorkerLedger, from: u64, scans: u64| {
        let (mut tickets, mut out) = (0, Vec::new());
        for n in 0..scans {
            workers.send_due(from + n * 250 * MILLISECOND, &mut tickets, &mut out);
        }
        out.len()
    };
    assert_eq!(probed(&mut workers, 2 * SECOND, 5), 1_000 - all);
    let given: Vec<Arc<str>> = named.iter().map(|n| (*n).into()).collect();
    workers.take_back_probes(&given[..50]);
    assert_eq!(probed(&mut workers, 3 * SECOND + 250 * MILLISECOND, 1), 50);
}
