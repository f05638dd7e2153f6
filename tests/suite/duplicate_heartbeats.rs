//! Old heartbeats that are delivered again: as the first message to a new leader, to every controller, across terms
//! and agent epochs.

use crate::test_cluster::{TestCluster, job_submission};
use dewramp::clock::SECOND;
use dewramp::job_record::JobRecord;
use dewramp::jobs::JobTable;
use dewramp::task_id::TaskId;
use dewramp::wire::{Heartbeat, JobSpec};
use dewramp::worker_ledger::{TaskState, WorkerLedger};
use serde_json::{Value, json};
use std::sync::Arc;

/// Three controllers and two machines with room for one task each, both used by the blue team. An earlier attempt
/// of the task `wk-1/0` was stopped, and the task runs again on the same machine. Returns the cluster, the leader,
/// that machine, and its heartbeats from three moments: while the earlier attempt ran, after it was stopped, and
/// after it was dropped.
fn cluster_with_a_restarted_task() -> (TestCluster, usize, usize, [Value; 3]) {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b"]);
    assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
    cluster.run(1.0);
    assert_eq!(cluster.submit(leader, "wk-2", json!({})).0, 201);
    cluster.run(2.0);
    let host = cluster.worker_running("wk-1/0");
    let running = cluster.workers[host].heartbeat();
    cluster.workers[host].end_task("wk-1/0", "stopped");
    let stopped = cluster.workers[host].heartbeat();
    let mut dropped = cluster.workers[host].heartbeat();
    dropped["parts"] = json!([]);
    cluster.run(4.0);
    assert_eq!(
        (
            cluster.start_count("wk-1/0"),
            cluster.worker_running("wk-1/0")
        ),
        (2, host)
    );
    (cluster, leader, host, [running, stopped, dropped])
}

/// Sends a heartbeat to every controller in the same moment, without waiting for responses.
fn send_to_all_controllers(cluster: &mut TestCluster, heartbeat: &Value) {
    for node in 0..cluster.controllers.len() {
        if cluster.controllers[node].is_some() {
            cluster.send_request(node, "POST", "/checkin", heartbeat.clone());
        }
    }
}

/// Rules `ran_twice` and `quota`: the outcome of an earlier attempt says nothing about the stored one. Copies of
/// its heartbeats are the first messages that a new leader receives, and its successor too, while the machine
/// itself cannot be reached.
#[test]
fn duplicate_heartbeats_of_an_earlier_attempt_release_nothing_under_new_leaders() {
    for selection in [vec![0, 1], vec![0, 2], vec![1], vec![2], vec![0, 1, 2]] {
        let (mut cluster, leader, host, recorded) = cluster_with_a_restarted_task();
        cluster.workers[host].partitioned = true;
        // The other machine has room for any task that is wrongly released.
        cluster.workers[1 - host].end_task("wk-2/0", "done");
        cluster.kill_controller(leader);
        cluster.run(4.0);
        for failover in 0..2 {
            let next = cluster.leader().expect("another controller is leader");
            for n in &selection {
                send_to_all_controllers(&mut cluster, &recorded[*n]);
                cluster.run(1.0);
            }
            cluster.run(2.0);
            assert_eq!(
                cluster.running_copies("wk-1/0"),
                1,
                "{selection:?}, failover {failover}"
            );
            assert_eq!(
                cluster.start_count("wk-1/0"),
                2,
                "{selection:?}, failover {failover}: held"
            );
            if failover == 0 {
                cluster.kill_controller(next);
                cluster.start_controller(leader, 3);
                cluster.run(5.0);
            }
        }
        // The machine's own heartbeat confirms the task.
        cluster.workers[host].partitioned = false;
        cluster.run(5.0);
        assert_eq!(
            (
                cluster.start_count("wk-1/0"),
                cluster.running_copies("wk-1/0")
            ),
            (2, 1),
            "{selection:?}"
        );
        assert_eq!(
            cluster
                .submit(cluster.leader().unwrap(), "wk-3", json!({}))
                .0,
            201
        );
        cluster.run(3.0);
        assert_eq!(
            cluster.running_copies("wk-3/0"),
            1,
            "the capacity of the other machine is available again"
        );
    }
}

/// The same for a team at its limit: a task that ended according to the copy is charged until its machine has sent
/// a heartbeat.
#[test]
fn a_duplicate_heartbeat_with_an_ended_task_releases_no_quota() {
    let (mut cluster, leader, host, recorded) = cluster_with_a_restarted_task();
    for n in 3..=6 {
        cluster.add_worker(&format!("m-{n}"), "small", "a");
    }
    cluster.run(3.0);
    // The red team's limit is 16 cores.
    let red = json!({"owner": "red", "parts": 4});
    assert_eq!(cluster.submit(leader, "wk-7", red.clone()).0, 201);
    cluster.run(3.0);
    let hosts: Vec<usize> = (0..4)
        .map(|n| cluster.worker_running(&format!("wk-7/{n}")))
        .collect();
    let ended_host = hosts[0];
    let mut duplicate = cluster.workers[ended_host].heartbeat();
    duplicate["parts"][0]["status"] = json!("ended");
    duplicate["parts"][0]["cause"] = json!("error");
    duplicate["parts"][0]["try"] = json!(1);
    cluster.workers[ended_host].heartbeat();
    cluster.workers[ended_host].partitioned = true;
    cluster.workers[host].end_task("wk-1/0", "done");
    cluster.kill_controller(leader);
    cluster.run(4.0);
    send_to_all_controllers(&mut cluster, &duplicate);
    send_to_all_controllers(&mut cluster, &recorded[1]);
    for _ in 0..10 {
        cluster.run(1.0);
        let red = cluster.workers.iter().flat_map(|x| &x.tasks);
        let red = red.filter(|p| p.0.starts_with("wk-7/") && p.2 != "ended");
        assert!(red.count() <= 4, "the team exceeds its limit");
    }
    cluster.workers[ended_host].partitioned = false;
    cluster.run(5.0);
    assert_eq!(cluster.start_count("wk-7/0"), 1);
}

/// A copy of a heartbeat with a spot notice, as the first message that a new leader receives, stops no task: the
/// notice is outdated.
#[test]
fn a_duplicate_heartbeat_with_a_spot_notice_stops_nothing() {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b"]);
    let long_task = json!({"guessS": 600.0});
    assert_eq!(cluster.submit(leader, "wk-1", long_task).0, 201);
    cluster.run(2.0);
    let host = cluster.worker_running("wk-1/0");
    let mut duplicate = cluster.workers[host].heartbeat();
    duplicate["warningS"] = json!(8.0);
    cluster.workers[host].heartbeat();
    // The new leader receives the copy before any heartbeat with the new term's fencing token: the machine is
    // unreachable until later.
    cluster.workers[host].partitioned = true;
    cluster.workers[host].delayed_commands = Some(Vec::new());
    cluster.kill_controller(leader);
    cluster.run(4.0);
    send_to_all_controllers(&mut cluster, &duplicate);
    cluster.run(1.0);
    let delayed_commands = cluster.workers[host]
        .delayed_commands
        .take()
        .expect("delayed commands");
    for body in delayed_commands {
        cluster.workers[host].handle_command_call(&body);
    }
    cluster.workers[host].partitioned = false;
    cluster.run(3.0);
    assert_eq!(
        (
            cluster.start_count("wk-1/0"),
            cluster.running_copies("wk-1/0")
        ),
        (1, 1)
    );
}

/// A copy of a heartbeat from an earlier agent epoch is delivered to two later leaders. Neither its tasks nor its
/// epoch are adopted, and the machine is used again at once.
#[test]
fn a_duplicate_of_an_earlier_agent_epoch_is_superseded_by_the_next_heartbeat() {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b"]);
    assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
    cluster.run(2.0);
    let host = cluster.worker_running("wk-1/0");
    let duplicate = cluster.workers[host].heartbeat();
    cluster.workers[host].partitioned = true;
    cluster.run(45.0);
    assert!(
        cluster.workers[1 - host].is_running("wk-1/0"),
        "moved: its lease has expired"
    );
    cluster.workers[host].partitioned = false;
    cluster.run(5.0);
    for _ in 0..2 {
        let leader = cluster.leader().expect("a controller is leader");
        cluster.workers[host].partitioned = true;
        cluster.kill_controller(leader);
        cluster.run(4.0);
        send_to_all_controllers(&mut cluster, &duplicate);
        cluster.run(2.0);
        assert_eq!(
            (
                cluster.start_count("wk-1/0"),
                cluster.running_copies("wk-1/0")
            ),
            (2, 1)
        );
        cluster.workers[host].partitioned = false;
        cluster.start_controller(leader, 3);
        cluster.run(4.0);
    }
    assert_eq!(
        cluster
            .submit(cluster.leader().unwrap(), "wk-2", json!({}))
            .0,
        201
    );
    cluster.run(3.0);
    assert!(cluster.workers[host].is_running("wk-2/0"));
    assert_eq!(
        (
            cluster.start_count("wk-1/0"),
            cluster.running_copies("wk-1/0")
        ),
        (2, 1)
    );
}

/// Capacity and quota count a task once while its stored placement exists beside the attempt that a heartbeat of
/// the previous term reports. After a heartbeat of this term, only what the heartbeat lists is counted.
#[test]
fn a_stored_placement_and_its_attempt_are_charged_once() {
    let now = 10 * SECOND;
    let spec = JobSpec::parse(job_submission("wk-1").to_string().as_bytes()).expect("a job");
    let mut table = JobTable::default();
    let job = table.add(&JobRecord::new(spec.clone(), now, "n-1"), 1);
    let mut workers = WorkerLedger::new(2, now, 30 * SECOND, 3 * SECOND, Vec::new());
    let id: Arc<str> = "m-1".into();
    workers.add_registered_machine(id.clone(), "10.1.0.1:9000", "small", "a", false, now);
    let key = TaskId { job, index: 0 };
    assert!(workers.add_unconfirmed(&id, key, &Arc::new(spec), now));
    let heartbeat = |sequence: u64, fencing_token: u64, status: &str| -> Heartbeat {
        let task = json!({"part": "wk-1/0", "try": 7, "status": status, "cause": "stopped"});
        let body = json!({"host": "m-1", "addr": "10.1.0.1:9000", "build": "small", "paddock": "a", "loaners": false,
            "stint": 1, "tally": sequence, "baton": fencing_token, "parts": [task]});
        serde_json::from_value(body).expect("a heartbeat")
    };
    let previous_term_token = 1 << 24;
    let held_tasks = |ledger: &WorkerLedger| -> Vec<(u64, TaskState)> {
        let held_tasks = ledger.machines[&id].tasks_holding_resources();
        held_tasks
            .map(|((_, attempt), e)| (*attempt, e.state))
            .collect()
    };
    workers.handle_heartbeat(
        now,
        heartbeat(1, previous_term_token, "running"),
        None,
        None,
        &mut table,
    );
    assert_eq!(held_tasks(&workers), [(7, TaskState::Running)]);
    workers.handle_heartbeat(
        now,
        heartbeat(2, previous_term_token, "ended"),
        None,
        None,
        &mut table,
    );
    assert_eq!(
        held_tasks(&workers),
        [(0, TaskState::Unconfirmed)],
        "another attempt may be running there"
    );
    workers.handle_heartbeat(
        now,
        heartbeat(3, 2 * previous_term_token, "ended"),
        None,
        None,
        &mut table,
    );
    assert_eq!(
        held_tasks(&workers),
        [],
        "the machine has reported under this term"
    );
}
