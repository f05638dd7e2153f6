//! Read consistency: right after users have been told a job's status they poll at all nodes within milliseconds, and
//! repeat their requests. No node may return an older status.

use crate::test_cluster::{TestCluster, job_submission};
use serde_json::{Value, json};

/// The last status change that the user was told of.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StatusChange {
    Accepted,
    Ended,
    Cancelled,
}

/// A fault right after the status change.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConcurrentFault {
    NoFault,
    /// The state service refuses the node that told the user; it forwards its users' requests to another.
    StateServiceRefusesNode,
    /// The leader is killed.
    LeaderKilled,
    /// The leader is shut down and resigns.
    LeaderShutDown,
    /// The leader's watch hangs.
    LeaderWatchHangs,
}

fn three_machine_cluster() -> (TestCluster, usize) {
    TestCluster::with_leader(&["a"; 3])
}

/// Causes the status change through `node` and returns the status that the user was told.
fn cause_status_change(
    cluster: &mut TestCluster,
    change: StatusChange,
    node: usize,
) -> &'static str {
    let accepted = cluster.request(node, "POST", "/work", job_submission("wk-1"));
    assert_eq!(accepted.0, 201);
    match change {
        StatusChange::Accepted => "accepted",
        StatusChange::Cancelled => {
            cluster.run(0.4);
            let answer = cluster.request(node, "POST", "/work/wk-1/cancel", Value::Null);
            assert_eq!(
                (answer.0, answer.1["status"].as_str()),
                (200, Some("cancelled"))
            );
            "cancelled"
        }
        StatusChange::Ended => {
            cluster.run(1.0);
            let worker = cluster.worker_running("wk-1/0");
            cluster.workers[worker].end_task("wk-1/0", "done");
            cluster.send_heartbeat(worker);
            for _ in 0..1_000 {
                let answer = cluster.request(node, "GET", "/work/wk-1", Value::Null);
                if answer.1["status"] == "done" {
                    return "done";
                }
            }
            panic!("never done");
        }
    }
}

/// Whether an answer is older than the status that the user was told before.
fn is_stale(known_status: &str, path: &str, answer: &(u16, Value)) -> bool {
    let status = answer.1["status"].as_str().unwrap_or("");
    match (known_status, answer.0) {
        // An answer that the status is unavailable is not stale.
        (_, 503) => false,
        ("accepted", 200) if path.ends_with("/cancel") => status != "cancelled",
        ("accepted", 200) => !["pending", "running", "cancelled"].contains(&status),
        (known_status, 200) => status != known_status,
        _ => true,
    }
}

/// Polls, repeated submissions and cancellations, after a job was accepted, has ended or was cancelled, at every node
/// and with every concurrent fault: for some seconds no answer is stale.
#[test]
fn no_node_returns_a_stale_status_after_a_state_change() {
    use ConcurrentFault::*;
    for change in [
        StatusChange::Accepted,
        StatusChange::Ended,
        StatusChange::Cancelled,
    ] {
        for fault in [
            NoFault,
            StateServiceRefusesNode,
            LeaderKilled,
            LeaderShutDown,
            LeaderWatchHangs,
        ] {
            for told_by in 0..3 {
                let (mut cluster, leader) = three_machine_cluster();
                if fault == LeaderWatchHangs {
                    cluster.watches_hang_for = Some((leader, false));
                }
                let known_status = cause_status_change(&mut cluster, change, told_by);
                match fault {
                    StateServiceRefusesNode => {
                        cluster.state_calls_refused_for = Some(told_by);
                        cluster.close_watch_connections(told_by);
                    }
                    LeaderKilled => cluster.kill_controller(leader),
                    LeaderShutDown => cluster.shut_down_controller(leader),
                    NoFault | LeaderWatchHangs => {}
                }
                let mut requests = Vec::new();
                for turn in 0..60 {
                    for node in (0..3)
                        .filter(|n| cluster.controllers[*n].is_some())
                        .collect::<Vec<_>>()
                    {
                        let get = cluster.send_request(node, "GET", "/work/wk-1", Value::Null);
                        requests.push((get, node, "GET", "/work/wk-1"));
                        let repeat =
                            cluster.send_request(node, "POST", "/work", job_submission("wk-1"));
                        requests.push((repeat, node, "POST", "/work"));
                        if known_status != "accepted" && turn % 3 == 0 {
                            let path = "/work/wk-1/cancel";
                            let cancel = cluster.send_request(node, "POST", path, Value::Null);
                            requests.push((cancel, node, "POST", path));
                        }
                    }
                    cluster.step([1_000, 4_000, 50_000][turn % 3]);
                }
                cluster.run(4.0);
                let mut answered = 0;
                for (conn, node, method, path) in requests {
                    let Some(answer) = cluster.answers.remove(&conn) else {
                        continue;
                    };
                    answered += usize::from(answer.0 == 200);
                    assert!(
                        !is_stale(known_status, path, &answer),
                        "{method} {path} at {node} after {known_status} by {told_by}, {fault:?}: {answer:?}"
                    );
                }
                assert!(
                    answered >= 120,
                    "only {answered} were answered: {fault:?} {change:?}"
                );
            }
        }
    }
}

/// A cancellation that arrives, at the same node or another, while the acceptance is being stored: whatever the user
/// is told stays true, and no task of a job reported as cancelled runs.
#[test]
fn a_cancellation_racing_the_acceptance_has_one_outcome() {
    for cancelled_at in 0..3 {
        for steps in 0..6 {
            let (mut cluster, _) = three_machine_cluster();
            let accept = cluster.send_request(
                (cancelled_at + 1) % 3,
                "POST",
                "/work",
                job_submission("wk-1"),
            );
            for _ in 0..steps {
                cluster.step(2_000);
            }
            let cancel =
                cluster.send_request(cancelled_at, "POST", "/work/wk-1/cancel", Value::Null);
            cluster.run(1.0);
            assert_eq!(cluster.answers.remove(&accept).map(|a| a.0), Some(201));
            let answer = cluster.answers.remove(&cancel).expect("an answer");
            assert!([200, 404].contains(&answer.0), "{answer:?}");
            let expected = if answer.0 == 200 {
                "cancelled"
            } else {
                "running"
            };
            cluster.run(3.0);
            for node in 0..3 {
                let current = cluster.request(node, "GET", "/work/wk-1", Value::Null).1;
                assert_eq!(
                    current["status"], expected,
                    "cancelled at {cancelled_at} after {steps} steps"
                );
            }
            assert_eq!(
                cluster.running_copies("wk-1/0"),
                usize::from(answer.0 == 404)
            );
        }
    }
}

/// A cancellation, polls and repeated submissions race the end of a job's last task, at every step from the heartbeat
/// to the stored final state and without faults: there is one outcome, which all nodes report from the first answer
/// on, `done` only once it is stored, and nothing starts after a cancellation.
#[test]
fn requests_racing_the_end_of_the_last_task_have_one_outcome() {
    let mut outcomes = [0, 0];
    for task_count in [1, 2] {
        for cancelled_at in 0..3 {
            for step in 0..24 {
                let (mut cluster, _) = three_machine_cluster();
                assert_eq!(
                    cluster
                        .submit(cancelled_at, "wk-1", json!({"parts": task_count}))
                        .0,
                    201
                );
                cluster.run(1.0);
                let last_task = format!("wk-1/{}", task_count - 1);
                if task_count == 2 {
                    let worker = cluster.worker_running("wk-1/0");
                    cluster.workers[worker].end_task("wk-1/0", "done");
                    cluster.run(2.0);
                }
                let worker = cluster.worker_running(&last_task);
                cluster.workers[worker].end_task(&last_task, "done");
                // The cancellation is sent before, with or after the heartbeat that reports the end (step 3).
                let mut requests = Vec::new();
                for n in 0..26 {
                    if n == 3 {
                        cluster.send_heartbeat(worker);
                    }
                    if n == step {
                        let path = "/work/wk-1/cancel";
                        requests.push((
                            cluster.send_request(cancelled_at, "POST", path, Value::Null),
                            n,
                        ));
                    }
                    for node in 0..3 {
                        requests.push((
                            cluster.send_request(node, "GET", "/work/wk-1", Value::Null),
                            n,
                        ));
                    }
                    let repeat = crate::test_cluster::job_submission("wk-1");
                    let mut repeat = repeat.clone();
                    repeat["parts"] = json!(task_count);
                    requests.push((
                        cluster.send_request((cancelled_at + n) % 3, "POST", "/work", repeat),
                        n,
                    ));
                    cluster.step(1_000);
                    let is_stored = cluster.kv.keys.contains_key("over/wk-1");
                    let answers = requests.iter().filter_map(|c| cluster.answers.get(&c.0));
                    let done_answers = answers.filter(|a| a.1["status"] == "done").count();
                    assert!(
                        done_answers == 0 || is_stored,
                        "reported as done before that is stored"
                    );
                }
                cluster.run(3.0);
                let starts = cluster.start_count(&last_task);
                let final_status = cluster
                    .request(cancelled_at, "GET", "/work/wk-1", Value::Null)
                    .1["status"]
                    .clone();
                let mut reported_final_statuses = std::collections::BTreeSet::new();
                for (conn, _) in requests {
                    let answer = cluster.answers.remove(&conn).expect("an answer");
                    assert_eq!(answer.0, 200, "{answer:?}");
                    let status = answer.1["status"].as_str().unwrap().to_owned();
                    if !["pending", "running"].contains(&&*status) {
                        reported_final_statuses.insert(status);
                    }
                }
                assert!(
                    reported_final_statuses
                        .iter()
                        .all(|status| final_status == **status),
                    "{reported_final_statuses:?} and then {final_status}"
                );
                cluster.run(5.0);
                assert_eq!(
                    cluster.start_count(&last_task),
                    starts,
                    "nothing starts after the end"
                );
                assert!(
                    cluster.workers.iter().all(|worker| worker.tasks.is_empty()),
                    "workers have dropped all tasks"
                );
                outcomes[usize::from(final_status == "done")] += 1;
            }
        }
    }
    assert!(
        outcomes[0] > 20 && outcomes[1] > 20,
        "both outcomes occur: {outcomes:?}"
    );
}
