//! Transactions that are applied at once but whose answers are lost, while other controllers read the result and
//! act on it.

use crate::test_cluster::{TestCluster, job_submission};
use serde_json::{Value, json};

/// One marker text per kind of write; only transactions of that kind contain it.
const WRITE_MARKERS: [&str; 9] = [
    "job/wk-",
    "over/wk-",
    "stopping/wk-",
    "roll/",
    "\"leader\"",
    "\"term\"",
    "\"format\"",
    "\"types\"",
    "node/",
];

/// Three controllers and four machines. The answers to the next `count` writes that contain `marker` are lost.
fn cluster_with_lost_answers(marker: &'static str, count: usize) -> TestCluster {
    let mut cluster = TestCluster::new(3);
    cluster.kv.lose_answers_with = Some((marker, count));
    for n in 1..=4 {
        cluster.add_worker(
            &format!("m-{n}"),
            "small",
            if n % 2 == 0 { "b" } else { "a" },
        );
    }
    cluster.run(8.0);
    cluster
}

/// Sends a request until it is accepted, as users do, and polls every controller right after: none may contradict
/// the answer.
fn request_and_compare_controllers(
    cluster: &mut TestCluster,
    node: usize,
    method: &str,
    path: &str,
    body: &Value,
) -> Value {
    let answer = cluster.request_with_retries(node, method, path, body);
    assert!(
        [200, 201].contains(&answer.0),
        "{method} {path}: {answer:?}"
    );
    let uid = answer.1["uid"].as_str().unwrap().to_owned();
    let status = answer.1["status"].clone();
    for other in 0..3 {
        if cluster.controllers[other].is_none() {
            continue;
        }
        let other_answer = cluster.request(other, "GET", &format!("/work/{uid}"), Value::Null);
        if other_answer.0 == 503 {
            continue;
        }
        assert_eq!(
            other_answer.0, 200,
            "{method} {path} at {other}: {other_answer:?}"
        );
        if status == "done" || status == "cancelled" {
            assert_eq!(
                other_answer.1["status"], status,
                "{method} {path} at {other}"
            );
        }
    }
    answer.1
}

/// Rules `forgotten`, `went_back`, `ran_twice` and `not_done`: for each kind of write, the answers to the first few
/// are lost, with and without a crash of the leader. Answers to users stay valid, every task runs once, and all
/// jobs end.
#[test]
fn a_lost_answer_to_any_write_causes_no_contradiction() {
    for marker in WRITE_MARKERS {
        for count in [1, 3, 12] {
            for with_failover in [false, true] {
                let case = format!("{marker} {count} {with_failover}");
                let mut cluster = cluster_with_lost_answers(marker, count);
                let follower = (cluster.leader().unwrap_or(0) + 1) % 3;
                request_and_compare_controllers(
                    &mut cluster,
                    follower,
                    "POST",
                    "/work",
                    &job_submission("wk-1"),
                );
                request_and_compare_controllers(
                    &mut cluster,
                    (follower + 1) % 3,
                    "POST",
                    "/work",
                    &job_submission("wk-2"),
                );
                let mut two_tasks = job_submission("wk-3");
                two_tasks["parts"] = json!(2);
                request_and_compare_controllers(
                    &mut cluster,
                    follower,
                    "POST",
                    "/work",
                    &two_tasks,
                );
                cluster.run(3.0);
                if let Some((_, remaining)) = &mut cluster.kv.lose_answers_with {
                    *remaining = count;
                }
                request_and_compare_controllers(
                    &mut cluster,
                    follower,
                    "POST",
                    "/work/wk-2/cancel",
                    &Value::Null,
                );
                if let Some(leader) = cluster.leader().filter(|l| with_failover && *l != follower) {
                    cluster.kill_controller(leader);
                    cluster.run(0.3);
                    cluster.start_controller(leader, 3);
                }
                cluster.run(8.0);
                for task in ["wk-1/0", "wk-3/0", "wk-3/1"] {
                    assert_eq!(
                        (cluster.running_copies(task), cluster.start_count(task)),
                        (1, 1),
                        "{case}: {task}"
                    );
                }
                assert_eq!(cluster.running_copies("wk-2/0"), 0, "{case}");
                for task in ["wk-1/0", "wk-3/0"] {
                    let host = cluster.worker_running(task);
                    cluster.workers[host].end_task(task, "done");
                    cluster.send_heartbeat(host);
                }
                for node in 0..3 {
                    let answer = request_and_compare_controllers(
                        &mut cluster,
                        node,
                        "GET",
                        "/work/wk-3",
                        &Value::Null,
                    );
                    assert_eq!(answer["status"], "running", "{case}: one task still runs");
                }
                cluster.run(4.0);
                let answer = request_and_compare_controllers(
                    &mut cluster,
                    follower,
                    "POST",
                    "/work/wk-1/cancel",
                    &Value::Null,
                );
                assert_eq!(answer["status"], "done", "{case}");
                assert_eq!(
                    request_and_compare_controllers(
                        &mut cluster,
                        follower,
                        "POST",
                        "/work",
                        &job_submission("wk-1")
                    )["status"],
                    "done"
                );
                let host = cluster.worker_running("wk-3/1");
                cluster.workers[host].end_task("wk-3/1", "done");
                cluster.run(8.0);
                for node in 0..3 {
                    for (uid, status) in [("wk-1", "done"), ("wk-2", "cancelled"), ("wk-3", "done")]
                    {
                        let path = format!("/work/{uid}");
                        let answer = request_and_compare_controllers(
                            &mut cluster,
                            node,
                            "GET",
                            &path,
                            &Value::Null,
                        );
                        assert_eq!(answer["status"], status, "{case}: {uid} at {node}");
                    }
                }
                assert!(
                    cluster.workers.iter().all(|x| x.tasks.is_empty()),
                    "{case}: all finished tasks are dropped"
                );
                assert!(
                    !cluster.kv.keys.keys().any(|k| k.starts_with("job/")),
                    "{case}"
                );
                cluster.run(3.0);
                assert!(
                    !cluster.kv.keys.keys().any(|k| k.starts_with("stopping/")),
                    "{case}"
                );
            }
        }
    }
}

/// A placement is stored, but its writer gets no answer. The next leader finds the placement, holds the task and
/// charges the team, and starts the other tasks; the held one runs once its machine has sent a heartbeat.
#[test]
fn a_stored_placement_with_a_lost_answer_is_held_by_the_next_leader() {
    let mut cluster = cluster_with_lost_answers("job/wk-1", 0);
    let leader = cluster.leader().expect("a controller is leader");
    assert_eq!(
        cluster
            .submit(leader, "wk-1", json!({"owner": "red", "parts": 4}))
            .0,
        201
    );
    cluster.kv.lose_answers_with = Some(("job/wk-1", 50));
    cluster.run(0.2);
    assert!(
        cluster.kv.keys["job/wk-1"].0.to_string().contains("m-1"),
        "stored"
    );
    let unconfirmed = 2;
    cluster.workers[unconfirmed].partitioned = true;
    cluster.kill_controller(leader);
    cluster.kv.lose_answers_with = None;
    cluster.run(8.0);
    for _ in 0..10 {
        cluster.run(0.5);
        let starts: usize = (0..4)
            .map(|n| cluster.start_count(&format!("wk-1/{n}")))
            .sum();
        assert_eq!(
            starts, 3,
            "the fourth task may be on the machine that has not sent a heartbeat"
        );
    }
    cluster.workers[unconfirmed].partitioned = false;
    cluster.run(6.0);
    for n in 0..4 {
        let task = format!("wk-1/{n}");
        assert_eq!(
            (cluster.running_copies(&task), cluster.start_count(&task)),
            (1, 1)
        );
    }
}

/// The answer to a candidate's write of the leader key is lost. By the incarnation in the key, the candidate
/// recognizes its own key, and does not mistake a key of its earlier incarnation for it.
#[test]
fn a_candidate_tells_its_own_leader_key_from_that_of_an_earlier_incarnation() {
    for restarted in [false, true] {
        let mut cluster = cluster_with_lost_answers("\"leader\"", 0);
        assert_eq!(cluster.submit(0, "wk-1", json!({})).0, 201);
        cluster.run(2.0);
        let leader = cluster.leader().expect("a controller is leader");
        let term = cluster.kv.keys["term"].0.clone();
        cluster.kv.lose_answers_with = Some(("\"leader\"", 3));
        cluster.kill_controller(leader);
        if restarted {
            cluster.start_controller(leader, 3);
        }
        cluster.run(12.0);
        assert!(
            cluster.leader().is_some(),
            "a controller is leader, restarted: {restarted}"
        );
        assert_ne!(cluster.kv.keys["term"].0, term, "under a new term");
        assert_eq!(
            (
                cluster.running_copies("wk-1/0"),
                cluster.start_count("wk-1/0")
            ),
            (1, 1)
        );
        assert_eq!(cluster.submit((leader + 1) % 3, "wk-2", json!({})).0, 201);
        cluster.run(2.0);
        assert_eq!(cluster.running_copies("wk-2/0"), 1);
    }
}
