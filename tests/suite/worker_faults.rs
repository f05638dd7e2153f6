//! Faults of worker machines (partitions, hangs, failing tasks): what the leader holds meanwhile, and that each
//! hold ends.

use crate::test_cluster::TestCluster;
use dewramp::clock::{Micros, SECOND};
use serde_json::{Value, json};

/// The setting `workers.cancel_s`: cancelled tasks have stopped within this time.
const CANCELLATION_DEADLINE: Micros = 50 * SECOND;

/// Three controllers and two machines. Returns the cluster and the leader.
fn cluster_with_two_workers() -> (TestCluster, usize) {
    TestCluster::with_leader(&["a", "b"])
}

/// A machine whose heartbeats reach no controller still executes direct commands, yet its lease expires. It gets no
/// new task until its heartbeats arrive again, under the leader that knew it and under a new one that never
/// received its heartbeat. Its task is assumed to run there until an answer to a direct command shows a newer agent
/// epoch.
#[test]
fn an_outbound_partitioned_machine_loses_its_lease_and_gets_no_new_tasks() {
    for with_failover in [false, true] {
        let (mut cluster, leader) = cluster_with_two_workers();
        let mut other = (leader + 1) % 3;
        assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
        cluster.run(2.0);
        let partitioned = cluster.worker_running("wk-1/0");
        cluster.workers[partitioned].outbound_partitioned = true;
        if with_failover {
            cluster.kill_controller(leader);
            other = (0..3).find(|n| *n != leader).unwrap();
        }
        for _ in 0..50 {
            cluster.run(1.0);
            assert!(
                cluster.running_copies("wk-1/0") <= 1,
                "with failover: {with_failover}"
            );
        }
        assert!(
            cluster.workers[1 - partitioned].is_running("wk-1/0"),
            "moved to the other machine, with failover: {with_failover}"
        );
        // The other machine is full, so the next job could only use the partitioned one.
        assert_eq!(
            cluster
                .request_with_retries(
                    other,
                    "POST",
                    "/work",
                    &crate::test_cluster::job_submission("wk-2")
                )
                .0,
            201
        );
        cluster.run(70.0);
        assert_eq!(
            cluster.start_count("wk-2/0"),
            0,
            "no new task there, with failover: {with_failover}"
        );
        assert_eq!(
            (
                cluster.running_copies("wk-1/0"),
                cluster.start_count("wk-1/0")
            ),
            (1, 2)
        );
        let leader = cluster.leader().expect("a controller is leader");
        let status = cluster
            .request(leader, "GET", "/inspect/status", Value::Null)
            .1;
        let machines_held = &status["machines_held"];
        assert_eq!(
            *machines_held,
            json!({"outbound_partitioned": 1}),
            "the status reports the reason"
        );
        cluster.workers[partitioned].outbound_partitioned = false;
        cluster.run(6.0);
        assert!(
            cluster.workers[partitioned].is_running("wk-2/0"),
            "its heartbeats arrive again, with failover: {with_failover}"
        );
    }
}

/// Rule `ran_cancelled`: a task on an outbound-partitioned machine is stopped by a direct command, also by a leader
/// that never received its heartbeat. The answer to the command renews no lease.
#[test]
fn a_cancellation_reaches_an_outbound_partitioned_machine_by_direct_command() {
    for with_failover in [false, true] {
        let (mut cluster, leader) = cluster_with_two_workers();
        assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
        cluster.run(2.0);
        let partitioned = cluster.worker_running("wk-1/0");
        cluster.workers[partitioned].outbound_partitioned = true;
        let last_renewal = cluster.workers[partitioned].lease_renewed_at;
        let other = (leader + 1) % 3;
        if with_failover {
            cluster.kill_controller(leader);
        }
        assert_eq!(
            cluster
                .request_with_retries(other, "POST", "/work/wk-1/cancel", &Value::Null)
                .0,
            200
        );
        cluster.run(8.0);
        assert_eq!(
            cluster.running_copies("wk-1/0"),
            0,
            "with failover: {with_failover}"
        );
        assert_eq!(
            cluster.workers[partitioned].lease_renewed_at, last_renewal,
            "no lease was renewed"
        );
    }
}

/// Rule `ran_cancelled`: eight jobs are cancelled in the moment in which their machines begin to hang. Delayed
/// responses and copies of earlier heartbeats must not keep a task running beyond `cancel_s`.
#[test]
fn tasks_cancelled_on_hanging_machines_stop_in_time() {
    for hang_s in [2.0, 20.0, 33.0, 48.0, 70.0] {
        for with_failover in [false, true] {
            let (mut cluster, leader) = TestCluster::with_leader(&["a"; 8]);
            let uids: Vec<String> = (1..=8).map(|n| format!("wk-{n}")).collect();
            for uid in &uids {
                assert_eq!(cluster.submit(leader, uid, json!({})).0, 201);
            }
            cluster.run(3.0);
            let duplicates: Vec<Value> = (0..8).map(|n| cluster.workers[n].heartbeat()).collect();
            cluster.run(1.5);
            let other = (leader + 1) % 3;
            for (n, uid) in uids.iter().enumerate() {
                cluster.suspend_worker(cluster.worker_running(&format!("{uid}/0")));
                let path = format!("/work/{uid}/cancel");
                let connection = cluster.send_request(other, "POST", &path, Value::Null);
                cluster.step(25_000);
                if n == 4 && with_failover {
                    cluster.kill_controller(leader);
                }
                assert_eq!(cluster.answers.remove(&connection).map(|a| a.0), Some(200));
            }
            let cancelled_at = cluster.now.steady;
            let mut hanging = true;
            while cluster.now.steady < cancelled_at + CANCELLATION_DEADLINE + 30 * SECOND {
                cluster.run(0.5);
                let elapsed = cluster.now.steady - cancelled_at;
                if elapsed % (5 * SECOND) == 0 {
                    for duplicate in &duplicates {
                        cluster.send_request(other, "POST", "/checkin", duplicate.clone());
                    }
                }
                if hanging && elapsed > (hang_s * 1e6) as Micros {
                    hanging = false;
                    (0..8).for_each(|n| cluster.resume_worker(n));
                }
                let running: usize = uids
                    .iter()
                    .map(|uid| cluster.running_copies(&format!("{uid}/0")))
                    .sum();
                assert!(
                    running == 0 || elapsed < CANCELLATION_DEADLINE,
                    "{running} still running, machines hung for {hang_s} s"
                );
            }
            for uid in &uids {
                assert_eq!(
                    cluster.start_count(&format!("{uid}/0")),
                    1,
                    "machines hung for {hang_s} s"
                );
            }
        }
    }
}

/// A machine gets tasks again within 90 s after it has recovered, however often it was quarantined before:
/// quarantines do not grow beyond that.
#[test]
fn a_repeatedly_quarantined_machine_is_used_again_within_ninety_seconds() {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "a", "b"]);
    let failing = 2;
    // For some minutes every task there fails after a second, while tasks of the same jobs succeed elsewhere, so
    // that the machine is quarantined again and again.
    for second in 0..345 {
        if second % 15 == 0 {
            let uid = format!("wk-1{second}");
            assert_eq!(cluster.submit(leader, &uid, json!({"parts": 10})).0, 201);
        }
        cluster.run(1.0);
        for (at, worker) in cluster.workers.iter_mut().enumerate() {
            for p in worker.tasks.iter_mut().filter(|p| p.2 == "running") {
                if at == failing {
                    (p.2, p.3) = ("ended", "error");
                } else if second % 5 == 0 {
                    (p.2, p.3) = ("ended", "done");
                }
            }
        }
    }
    // From now on the machine works, the other machines are full, and tasks wait.
    let starts_before = cluster.workers[failing].started_attempts.len();
    assert!(
        starts_before > 4,
        "only {starts_before} tasks were started there"
    );
    cluster.run(90.0);
    assert!(
        cluster.workers[failing].started_attempts.len() > starts_before,
        "it is used again"
    );
}

/// Partitioned and hanging machines under changing leaders: within seconds after all faults are over, waiting tasks
/// start and every machine is used again.
#[test]
fn every_machine_is_used_again_after_several_faults() {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b", "a", "b", "a", "b"]);
    for n in 1..=6 {
        assert_eq!(cluster.submit(leader, &format!("wk-{n}"), json!({})).0, 201);
    }
    cluster.run(2.0);
    cluster.workers[0].inbound_partitioned = true;
    cluster.workers[1].outbound_partitioned = true;
    cluster.workers[2].partitioned = true;
    cluster.suspend_worker(3);
    cluster.run(10.0);
    cluster.kill_controller(leader);
    cluster.run(25.0);
    cluster.start_controller(leader, 3);
    let next = cluster.leader().expect("another controller is leader");
    cluster.kill_controller(next);
    cluster.run(20.0);
    cluster.start_controller(next, 3);
    (
        cluster.workers[0].inbound_partitioned,
        cluster.workers[1].outbound_partitioned,
        cluster.workers[2].partitioned,
    ) = (false, false, false);
    cluster.resume_worker(3);
    cluster.run(25.0);
    for n in 1..=6 {
        assert_eq!(
            cluster.running_copies(&format!("wk-{n}/0")),
            1,
            "wk-{n} runs again"
        );
    }
}
