//! Responses to users: the same answer from every controller, also while the state service fails one of them, and
//! within the request budget.

use crate::invariants::cluster_with_two_workers;
use crate::test_cluster::{self, TestCluster};
use dewramp::clock::SECOND;
use serde_json::{Value, json};

/// Rule `went_back`: a cancellation races the completion of the job; one of them wins, and every controller reports
/// that outcome.
#[test]
fn a_cancellation_racing_the_completion_has_one_outcome() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({}));
    cluster.run(0.5);
    let host = cluster.worker_running("wk-1/0");
    // The leader's write of the final state gets no answer and is applied late.
    cluster.kv.hold_transactions_with = Some("over/wk-1");
    cluster.workers[host].end_task("wk-1/0", "done");
    cluster.run(1.5);
    assert!(
        !cluster.kv.held_transactions.is_empty(),
        "the final state was sent and is held"
    );
    cluster.kv.hold_transactions_with = None;
    let status = cluster
        .request(1, "POST", "/work/wk-1/cancel", Value::Null)
        .1["status"]
        .clone();
    for body in std::mem::take(&mut cluster.kv.held_transactions) {
        cluster.kv.txn(&body);
    }
    cluster.run(3.0);
    for node in 0..2 {
        assert_eq!(
            cluster.request(node, "GET", "/work/wk-1", Value::Null).1["status"],
            status
        );
    }
}

/// A submission's transaction that is applied after the job is done must not create the job again.
#[test]
fn a_submission_applied_late_does_not_run_again() {
    let mut cluster = cluster_with_two_workers();
    cluster.kv.hold_transactions_with = Some("job/wk-1");
    assert_eq!(cluster.submit(0, "wk-1", json!({})).0, 503);
    let late = std::mem::take(&mut cluster.kv.held_transactions);
    cluster.kv.hold_transactions_with = None;
    assert_eq!(cluster.submit(1, "wk-1", json!({})).0, 201);
    cluster.run(0.5);
    let host = cluster.worker_running("wk-1/0");
    cluster.workers[host].end_task("wk-1/0", "done");
    cluster.run(3.0);
    for body in &late {
        assert_eq!(cluster.kv.txn(body).0, 409);
    }
    cluster.run(3.0);
    assert_eq!(cluster.start_count("wk-1/0"), 1);
}

/// Rules `forgotten` and `invented`: unknown jobs are answered with 404, and accepted jobs are known after all
/// controllers crashed.
#[test]
fn only_submitted_jobs_are_known_and_they_survive_a_crash_of_all_controllers() {
    let mut cluster = cluster_with_two_workers();
    assert_eq!(cluster.request(0, "GET", "/work/wk-9", Value::Null).0, 404);
    assert_eq!(
        cluster
            .request(0, "POST", "/work/wk-9/cancel", Value::Null)
            .0,
        404
    );
    cluster.submit(0, "wk-1", json!({"parts": 9}));
    cluster.kill_controller(0);
    cluster.kill_controller(1);
    cluster.run(5.0);
    cluster.start_controller(0, 2);
    cluster.start_controller(1, 2);
    cluster.run(5.0);
    for node in 0..2 {
        assert_eq!(
            cluster.request(node, "GET", "/work/wk-1", Value::Null).0,
            200
        );
        assert_eq!(cluster.submit(node, "wk-1", json!({"parts": 9})).0, 200);
    }
}

/// The state service can refuse a single controller while it serves the others. The controller then answers its
/// users through a peer, and at once with an error if no controller can answer.
#[test]
fn a_controller_refused_by_the_state_service_answers_through_a_peer() {
    let mut cluster = cluster_with_two_workers();
    let refused = 1 - cluster.leader().unwrap();
    cluster.state_calls_refused_for = Some(refused);
    assert_eq!(cluster.submit(refused, "wk-1", json!({})).0, 201);
    assert_eq!(cluster.submit(refused, "wk-1", json!({})).0, 200);
    let (status, body) = cluster.request(refused, "GET", "/work/wk-1", Value::Null);
    assert_eq!((status, body["uid"].as_str()), (200, Some("wk-1")));
    let (status, body) = cluster.request(refused, "POST", "/work/wk-1/cancel", Value::Null);
    assert_eq!((status, body["status"].as_str()), (200, Some("cancelled")));
    assert_eq!(
        cluster.request(refused, "GET", "/work/wk-7", Value::Null).0,
        404
    );
    cluster.kv.down = true;
    let before = cluster.now.steady;
    assert_eq!(cluster.submit(refused, "wk-2", json!({})).0, 503);
    assert!(
        cluster.now.steady < before + SECOND,
        "the request is rejected at once"
    );
}

/// Rule `went_back`: polls that are answered by one read see a final state that another controller has just stored,
/// and each returns the state of its own job.
#[test]
fn concurrent_polls_see_every_final_state() {
    let mut cluster = cluster_with_two_workers();
    let follower = 1 - cluster.leader().unwrap();
    for uid in ["wk-1", "wk-2", "wk-3"] {
        cluster.submit(0, uid, json!({}));
    }
    cluster.run(3.0);
    cluster.request(1 - follower, "POST", "/work/wk-2/cancel", Value::Null);
    let answers = cluster.get_concurrently(follower, &["/work/wk-1", "/work/wk-2", "/work/wk-3"]);
    let states: Vec<&str> = answers
        .iter()
        .map(|a| a.1["status"].as_str().unwrap())
        .collect();
    assert_eq!(states, ["running", "cancelled", "pending"]);
    let uids: Vec<&str> = answers
        .iter()
        .map(|a| a.1["uid"].as_str().unwrap())
        .collect();
    assert_eq!(uids, ["wk-1", "wk-2", "wk-3"]);
}

/// With far more polls than the state service's request limit allows, users get answers and no errors. This also
/// holds without a leader, when the last known task counts are returned.
#[test]
fn a_flood_of_polls_is_answered_within_the_request_budget() {
    let settings =
        test_cluster::SETTINGS.replace("\nrps = 1000.0\nwrite_rps", "\nrps = 40.0\nwrite_rps");
    assert_ne!(settings, test_cluster::SETTINGS);
    let mut cluster = TestCluster::with_settings(2, &settings);
    cluster.add_worker("m-1", "big", "a");
    cluster.run(6.0);
    let uids: Vec<String> = (1..=8).map(|n| format!("wk-{n}")).collect();
    for uid in &uids {
        assert_eq!(
            cluster
                .submit(0, uid, json!({"cores": 1.0, "memGb": 1.0}))
                .0,
            201
        );
    }
    cluster.run(3.0);
    let paths: Vec<String> = (0..200).map(|n| format!("/work/{}", uids[n % 8])).collect();
    let paths: Vec<&str> = paths.iter().map(String::as_str).collect();
    let leader = cluster.leader().unwrap();
    let follower = 1 - leader;
    let all_running = |answers: Vec<(u16, Value)>| {
        let running = |a: &(u16, Value)| a.0 == 200 && a.1["status"] == "running";
        answers.iter().all(running)
    };
    let before = cluster.kv.request_count;
    assert!(all_running(cluster.get_every_10_ms(follower, &paths)));
    assert!(
        cluster.kv.request_count - before < 120,
        "far fewer requests to the state service than polls"
    );
    cluster.kill_controller(leader);
    assert!(
        all_running(cluster.get_every_10_ms(follower, &paths)),
        "polls are answered without a leader too"
    );
}

/// Operators see in the status that a controller process stalled, and which jobs of a team it knows.
#[test]
fn the_status_counts_process_stalls_and_a_teams_jobs_can_be_listed() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({}));
    cluster.run(1.0);
    let leader = cluster.leader().unwrap();
    let jobs = cluster
        .request(leader, "GET", "/inspect/jobs/blue", Value::Null)
        .1;
    assert_eq!(jobs["jobs"][0]["uid"], "wk-1");
    assert_eq!(jobs["jobs"][0]["placed"], 1);
    let none = cluster
        .request(leader, "GET", "/inspect/jobs/red", Value::Null)
        .1;
    assert_eq!(none["jobs"], json!([]));
    cluster.now.steady += 2 * SECOND;
    cluster.now.wall += 2 * SECOND;
    let status = cluster
        .request(leader, "GET", "/inspect/status", Value::Null)
        .1;
    assert_eq!(status["stalls"], 1);
    assert!(status["last_stall_ms"].as_u64().unwrap() >= 2000);
}

/// A crash of the leader also aborts the user requests that it serves. It therefore fails the load balancer's
/// health checks while three followers can serve users, yet answers requests that reach it.
#[test]
fn a_leader_fails_health_checks_while_three_followers_can_serve() {
    let mut cluster = TestCluster::new(4);
    cluster.add_worker("m-1", "small", "a");
    cluster.run(6.0);
    let leader = cluster.leader().unwrap();
    let other = (leader + 1) % 4;
    let health_check =
        |cluster: &mut TestCluster, n: usize| cluster.request(n, "GET", "/up", Value::Null).0;
    // The load balancer checks all controllers but `skipped`; returns the status of the last check of the leader.
    let run_health_checks = |cluster: &mut TestCluster, skipped: usize| {
        for _ in 0..8 {
            for n in (0..4).filter(|n| *n != skipped) {
                if cluster.controllers[n].is_some() {
                    health_check(cluster, n);
                }
            }
            cluster.run(1.0);
        }
        health_check(cluster, leader)
    };
    assert_eq!(run_health_checks(&mut cluster, 9), 503);
    assert_eq!(health_check(&mut cluster, other), 200);
    assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
    assert_eq!(
        run_health_checks(&mut cluster, other),
        200,
        "a controller without health checks gets no users"
    );
    assert_eq!(run_health_checks(&mut cluster, 9), 503);
    cluster.kill_controller(other);
    assert_eq!(
        run_health_checks(&mut cluster, 9),
        200,
        "two followers are not enough"
    );
    cluster.start_controller(other, 4);
    assert_eq!(run_health_checks(&mut cluster, 9), 503);
    // A controller that the state service refuses cannot serve.
    cluster.state_calls_refused_for = Some(other);
    cluster.request(other, "GET", "/work/wk-9", Value::Null);
    assert_eq!(run_health_checks(&mut cluster, 9), 200);
}

/// The state service does not answer one controller. Once the controller notices, it forwards users' requests to a
/// peer, and only probes find out when the state service answers again.
#[test]
fn requests_do_not_hang_while_the_state_service_ignores_one_controller() {
    let mut cluster = cluster_with_two_workers();
    assert_eq!(cluster.submit(0, "wk-1", json!({})).0, 201);
    cluster.run(1.0);
    let follower = 1 - cluster.leader().unwrap();
    cluster.state_calls_hang_for = Some(follower);
    // The first request detects the failure.
    assert_eq!(
        cluster
            .request(follower, "GET", "/work/wk-1", Value::Null)
            .0,
        200
    );
    for _ in 0..20 {
        let sent_at = cluster.now.steady;
        assert_eq!(
            cluster
                .request(follower, "GET", "/work/wk-1", Value::Null)
                .0,
            200
        );
        assert!(
            cluster.now.steady < sent_at + SECOND / 2,
            "answered at once"
        );
        cluster.run(0.5);
    }
    cluster.state_calls_hang_for = None;
    cluster.run(3.0);
    cluster.cut_links = vec![(0, 1)];
    let again = cluster.request(follower, "GET", "/work/wk-1", Value::Null);
    assert_eq!(again.0, 200, "the controller answers without a peer again");
}
