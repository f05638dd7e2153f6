//! Recovery after a failover: what a new leader does while part of the fleet has not sent a heartbeat.

use crate::test_cluster::TestCluster;
use dewramp::clock::{MILLISECOND, Micros, Now, SECOND};
use dewramp::jobs::JobTable;
use dewramp::registry::{MachineRegistry, RegistryRequest, WriteResult};
use dewramp::schema::{SCHEMA_VERSION, Schema};
use dewramp::wire::Heartbeat;
use dewramp::worker_ledger::{WorkerLedger, first_fencing_token};
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// The number of urgent tasks that were started. On a full fleet, one task was preempted for each.
fn urgent_tasks_started(cluster: &TestCluster) -> usize {
    let started = cluster.workers.iter().flat_map(|x| &x.started_attempts);
    started.filter(|s| s.0.starts_with("wk-2/")).count()
}

/// Half of a full fleet of 40 machines has not reported to the new leader when urgent work arrives. Without
/// reconciliation, the leader would assume that no task ends by itself and would preempt tasks for all the urgent
/// work at once, on incomplete knowledge.
#[test]
fn preemption_waits_for_reconciliation_and_is_then_throttled() {
    let mut cluster = TestCluster::new(3);
    for n in 0..40 {
        cluster.add_worker(&format!("m-{n:06}"), "small", "a");
    }
    cluster.run(6.0);
    cluster.submit(
        0,
        "wk-1",
        json!({"urgency": "low", "parts": 90, "markS": 10.0, "stashS": 1.0}),
    );
    cluster.run(4.0);
    let busy_machines = |cluster: &TestCluster| {
        cluster
            .workers
            .iter()
            .filter(|x| !x.tasks.is_empty())
            .count()
    };
    assert_eq!(busy_machines(&cluster), 40, "the fleet is full");
    let old_leader = cluster.leader().expect("a controller is leader");
    for worker in &mut cluster.workers[..20] {
        worker.partitioned = true;
    }
    cluster.kill_controller(old_leader);
    let mut waited_s = 0.0;
    while cluster.leader().is_none() {
        cluster.run(0.1);
        waited_s += 0.1;
        assert!(waited_s < 5.0, "no controller becomes leader");
    }
    let new_leader = cluster.leader().expect("a new leader is elected");
    cluster.submit(
        new_leader,
        "wk-2",
        json!({"herd": "quick", "urgency": "high", "parts": 20}),
    );
    cluster.run(3.0);
    assert_eq!(
        urgent_tasks_started(&cluster),
        0,
        "half of the fleet has not sent a heartbeat"
    );
    for worker in &mut cluster.workers[..20] {
        worker.partitioned = false;
    }
    for n in 0..40 {
        cluster.send_heartbeat(n);
    }
    // Tasks on 160 cores run for a minute each: in ten seconds, those on 27 cores (six tasks) end by themselves.
    let resumed_at = cluster.now.steady;
    cluster.run(10.0);
    assert_eq!(cluster.now.steady - resumed_at, 10 * SECOND);
    assert!(
        (3..=9).contains(&urgent_tasks_started(&cluster)),
        "{} tasks were preempted",
        urgent_tasks_started(&cluster)
    );
    let status = cluster
        .request(new_leader, "GET", "/inspect/status", json!(null))
        .1;
    assert_eq!(status["recovery"]["phase"], "throttled");
    let outcomes = &status["recovery"]["squared"];
    assert_eq!(
        (&outcomes["agreed"], &outcomes["missing"]),
        (&json!(40), &json!(0))
    );
    // After the throttled phase, preemption is not limited.
    cluster.run(16.0);
    assert_eq!(urgent_tasks_started(&cluster), 20);
    let status = cluster
        .request(new_leader, "GET", "/inspect/status", json!(null))
        .1;
    assert_eq!(status["recovery"]["phase"], "complete");
}

/// The leader has the least spare processor time, and heartbeats that a follower forwards cost it the least. It
/// redirects its workers to the followers, one at a time, while two of them can serve; no task is lost by it. With
/// a single follower left, whose crash would affect all workers at once, it keeps the workers that come to it.
#[test]
fn a_leader_redirects_its_workers_while_two_followers_can_serve_them() {
    let mut cluster = TestCluster::new(3);
    for n in 0..40 {
        cluster.add_worker(&format!("m-{n:06}"), "small", "a");
    }
    cluster.run(1.0);
    let leader = cluster.leader().expect("a controller is leader");
    for worker in &mut cluster.workers {
        worker.controller = leader;
    }
    // The leader knows from the load balancer's health checks which controllers can serve.
    let run_with_health_checks = |cluster: &mut TestCluster, secs: u32| {
        for _ in 0..secs {
            for n in 0..3 {
                if cluster.controllers[n].is_some() {
                    cluster.request(n, "GET", "/up", json!(null));
                }
            }
            cluster.run(1.0);
        }
    };
    let workers_of = |cluster: &TestCluster, n: usize| {
        cluster.workers.iter().filter(|x| x.controller == n).count()
    };
    run_with_health_checks(&mut cluster, 4);
    assert!(
        workers_of(&cluster, leader) > 20,
        "not all are redirected at once: {}",
        workers_of(&cluster, leader)
    );
    cluster.submit(leader, "wk-1", json!({"parts": 40}));
    run_with_health_checks(&mut cluster, 50);
    assert_eq!(
        workers_of(&cluster, leader),
        0,
        "all workers are redirected"
    );
    let started: Vec<_> = cluster
        .workers
        .iter()
        .flat_map(|x| &x.started_attempts)
        .collect();
    assert_eq!(started.len(), 40, "each task is started once");
    // One follower crashes: some of its workers come to the leader and stay.
    cluster.kill_controller((leader + 2) % 3);
    run_with_health_checks(&mut cluster, 20);
    let workers_of_leader = workers_of(&cluster, leader);
    assert!(workers_of_leader > 0, "some workers came to the leader");
    run_with_health_checks(&mut cluster, 10);
    assert_eq!(
        workers_of(&cluster, leader),
        workers_of_leader,
        "no worker is redirected to a single follower"
    );
}

/// Each machine that has not reported is probed by one controller; the leader's share is the smallest.
#[test]
fn probes_of_unconfirmed_machines_are_divided_among_the_controllers() {
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
    let mut assigned: Vec<&str> = shares.values().flatten().map(|r| r.machine()).collect();
    let assigned_count = assigned.len();
    assigned.sort_unstable();
    assigned.dedup();
    assert_eq!(
        assigned.len(),
        assigned_count,
        "no machine is probed by two controllers"
    );
    assert!(
        (760..840).contains(&assigned_count),
        "{assigned_count}: the leader probes a fifth itself"
    );
    for peer in &peers {
        let share = shares[peer].len();
        assert!((350..450).contains(&share), "{share}");
    }
    let row = &shares[&peers[0]][0];
    assert_eq!(
        Some(row.fencing_token.get()),
        workers.fencing_token_of(row.machine())
    );
    // The leader does not probe machines assigned to a peer, unless it learns that the peer does not probe them.
    let probes_sent = |workers: &mut WorkerLedger, from: u64, scans: u64| {
        let (mut tickets, mut out) = (0, Vec::new());
        for n in 0..scans {
            workers.send_due(from + n * 250 * MILLISECOND, &mut tickets, &mut out);
        }
        out.len()
    };
    assert_eq!(
        probes_sent(&mut workers, 2 * SECOND, 5),
        1_000 - assigned_count
    );
    let assigned_ids: Vec<Arc<str>> = assigned.iter().map(|n| (*n).into()).collect();
    workers.take_back_probes(&assigned_ids[..50]);
    assert_eq!(
        probes_sent(&mut workers, 3 * SECOND + 250 * MILLISECOND, 1),
        50
    );
}

/// Rule `ran_twice`: a machine vanishes while a write of its registry page is in flight, and its heartbeat adds it again before the
/// answer. The answer does not register it, since the next write of the page drops it: a new leader would not know of
/// the tasks started there.
#[test]
fn a_machine_that_came_back_is_not_registered_by_a_write_from_before_it_vanished() {
    let schema = Schema {
        version: SCHEMA_VERSION,
        value_bytes: 16 * 1024,
        txn_ops: 20,
    };
    let mut registry = MachineRegistry::new(schema);
    let mut workers = WorkerLedger::new(1, SECOND, 30 * SECOND, 3 * SECOND, Vec::new());
    let mut jobs = JobTable::default();
    let mut report = |workers: &mut WorkerLedger, sequence: u64, at: Micros| {
        let heartbeat = json!({"host": "m-1", "addr": "10.1.0.1:9000", "build": "small", "paddock": "a",
            "stint": 1, "tally": sequence, "baton": first_fencing_token(1), "parts": []});
        let heartbeat: Heartbeat = serde_json::from_value(heartbeat).unwrap();
        workers.handle_heartbeat(at, heartbeat, None, None, &mut jobs);
    };
    let due_writes = |registry: &mut MachineRegistry, workers: &mut WorkerLedger, at: Micros| {
        let now = Now {
            steady: at,
            wall: at,
        };
        registry.take_due_requests(now, workers, &BTreeSet::new());
        let later = Now {
            steady: at + SECOND,
            wall: at + SECOND,
        };
        registry.take_due_requests(later, workers, &BTreeSet::new())
    };
    let id: Arc<str> = "m-1".into();
    report(&mut workers, 1, SECOND);
    let first = due_writes(&mut registry, &mut workers, SECOND);
    let [RegistryRequest::Write { key, written, .. }] = &first[..] else {
        panic!("the page with the machine is written");
    };
    registry.remove(3 * SECOND, &id);
    workers.remove_vanished(3 * SECOND, &id);
    report(&mut workers, 2, 3 * SECOND);
    registry.handle_page_written(
        3 * SECOND,
        key,
        written.clone(),
        &WriteResult::Applied(7),
        &mut workers,
    );
    assert!(!workers.machines[&id].registered);
    let second = due_writes(&mut registry, &mut workers, 4 * SECOND);
    let [RegistryRequest::Write { key, written, .. }] = &second[..] else {
        panic!("the page is written with the machine again");
    };
    assert_eq!(written[0].0, id);
    registry.handle_page_written(
        6 * SECOND,
        key,
        written.clone(),
        &WriteResult::Applied(8),
        &mut workers,
    );
    assert!(workers.machines[&id].registered);
}
