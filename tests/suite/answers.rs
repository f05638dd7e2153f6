//! What users are told: one answer at all nodes, also where the state service fails one of them, and within its budget.

use crate::rules::started_world;
use crate::test_cluster::{self, TestCluster};
use dewramp::clock::SECOND;
use serde_json::{Value, json};

/// went_back: the cancel that races the end has one winner, told by all.
#[test]
fn a_cancel_that_races_the_end_has_one_outcome() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({}));
    w.run(0.5);
    let at = w.worker_running("wk-1/0");
    // The leader's write of the end gets no answer and is applied late.
    w.kv.hold_transactions_with = Some("over/wk-1");
    w.workers[at].end_task("wk-1/0", "done");
    w.run(1.5);
    assert!(
        !w.kv.held_transactions.is_empty(),
        "the end was written, and held back"
    );
    w.kv.hold_transactions_with = None;
    let told = w.request(1, "POST", "/work/wk-1/cancel", Value::Null).1["status"].clone();
    for body in std::mem::take(&mut w.kv.held_transactions) {
        w.kv.txn(&body);
    }
    w.run(3.0);
    for node in 0..2 {
        assert_eq!(
            w.request(node, "GET", "/work/wk-1", Value::Null).1["status"],
            told
        );
    }
}

/// A submission applied late, after its job is over, must not bring the job back.
#[test]
fn a_submission_applied_late_does_not_run_again() {
    let mut w = started_world();
    w.kv.hold_transactions_with = Some("job/wk-1");
    assert_eq!(w.submit(0, "wk-1", json!({})).0, 503);
    let late = std::mem::take(&mut w.kv.held_transactions);
    w.kv.hold_transactions_with = None;
    assert_eq!(w.submit(1, "wk-1", json!({})).0, 201);
    w.run(0.5);
    let at = w.worker_running("wk-1/0");
    w.workers[at].end_task("wk-1/0", "done");
    w.run(3.0);
    for body in &late {
        assert_eq!(w.kv.txn(body).0, 409);
    }
    w.run(3.0);
    assert_eq!(w.start_count("wk-1/0"), 1);
}

/// forgotten and invented.
#[test]
fn only_submitted_jobs_are_known_and_they_survive_all_nodes_failing() {
    let mut w = started_world();
    assert_eq!(w.request(0, "GET", "/work/wk-9", Value::Null).0, 404);
    assert_eq!(
        w.request(0, "POST", "/work/wk-9/cancel", Value::Null).0,
        404
    );
    w.submit(0, "wk-1", json!({"parts": 9}));
    w.kill_controller(0);
    w.kill_controller(1);
    w.run(5.0);
    w.start_controller(0, 2);
    w.start_controller(1, 2);
    w.run(5.0);
    for node in 0..2 {
        assert_eq!(w.request(node, "GET", "/work/wk-1", Value::Null).0, 200);
        assert_eq!(w.submit(node, "wk-1", json!({"parts": 9})).0, 200);
    }
}

/// A single node can be refused by the state service while the others are served: its users
/// get their answers by way of another node, and at once when nobody can answer.
#[test]
fn a_node_that_the_state_service_refuses_answers_through_another() {
    let mut w = started_world();
    let alone = 1 - w.leader().unwrap();
    w.state_calls_refused_for = Some(alone);
    assert_eq!(w.submit(alone, "wk-1", json!({})).0, 201);
    assert_eq!(w.submit(alone, "wk-1", json!({})).0, 200);
    let (status, body) = w.request(alone, "GET", "/work/wk-1", Value::Null);
    assert_eq!((status, body["uid"].as_str()), (200, Some("wk-1")));
    let (status, body) = w.request(alone, "POST", "/work/wk-1/cancel", Value::Null);
    assert_eq!((status, body["status"].as_str()), (200, Some("cancelled")));
    assert_eq!(w.request(alone, "GET", "/work/wk-7", Value::Null).0, 404);
    w.kv.down = true;
    let before = w.now.steady;
    assert_eq!(w.submit(alone, "wk-2", json!({})).0, 503);
    assert!(w.now.steady < before + SECOND, "nobody is kept waiting");
}

/// went_back: polls that are asked together see an end that another node has just stored, and
/// each gets its own job's state.
#[test]
fn polls_of_one_moment_see_every_end() {
    let mut w = started_world();
    let follower = 1 - w.leader().unwrap();
    for uid in ["wk-1", "wk-2", "wk-3"] {
        w.submit(0, uid, json!({}));
    }
    w.run(3.0);
    w.request(1 - follower, "POST", "/work/wk-2/cancel", Value::Null);
    let answers = w.get_concurrently(follower, &["/work/wk-1", "/work/wk-2", "/work/wk-3"]);
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

/// Users who ask many times as often get answers, not errors, out of a small budget; also while
/// no node leads, when the counts shown are the last that were told.
#[test]
fn a_storm_of_polls_is_answered_within_the_budget() {
    let text =
        test_cluster::SETTINGS.replace("\nrps = 1000.0\nwrite_rps", "\nrps = 40.0\nwrite_rps");
    assert_ne!(text, test_cluster::SETTINGS);
    let mut w = TestCluster::with_settings(2, &text);
    w.add_worker("m-1", "big", "a");
    w.run(6.0);
    let uids: Vec<String> = (1..=8).map(|n| format!("wk-{n}")).collect();
    for uid in &uids {
        assert_eq!(w.submit(0, uid, json!({"cores": 1.0, "memGb": 1.0})).0, 201);
    }
    w.run(3.0);
    let paths: Vec<String> = (0..200).map(|n| format!("/work/{}", uids[n % 8])).collect();
    let paths: Vec<&str> = paths.iter().map(String::as_str).collect();
    let leader = w.leader().unwrap();
    let follower = 1 - leader;
    let all_running = |answers: Vec<(u16, Value)>| {
        let running = |a: &(u16, Value)| a.0 == 200 && a.1["status"] == "running";
        answers.iter().all(running)
    };
    let before = w.kv.request_count;
    assert!(all_running(w.get_every_10_ms(follower, &paths)));
    assert!(
        w.kv.request_count - before < 120,
        "far fewer questions than polls"
    );
    w.kill_controller(leader);
    assert!(
        all_running(w.get_every_10_ms(follower, &paths)),
        "without a leader too"
    );
}

/// Those on call see from outside what a controller that stood still believes.
#[test]
fn a_pause_shows_in_the_status_and_the_jobs_held_can_be_listed() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({}));
    w.run(1.0);
    let leader = w.leader().unwrap();
    let jobs = w
        .request(leader, "GET", "/inspect/jobs/blue", Value::Null)
        .1;
    assert_eq!(jobs["jobs"][0]["uid"], "wk-1");
    assert_eq!(jobs["jobs"][0]["placed"], 1);
    let none = w.request(leader, "GET", "/inspect/jobs/red", Value::Null).1;
    assert_eq!(none["jobs"], json!([]));
    w.now.steady += 2 * SECOND;
    w.now.wall += 2 * SECOND;
    let status = w.request(leader, "GET", "/inspect/status", Value::Null).1;
    assert_eq!(status["stalls"], 1);
    assert!(status["last_stall_ms"].as_u64().unwrap() >= 2000);
}

/// When the leader stops, its users' requests stop with it: it leaves them to the others, but only
/// while three of them can serve, and it still answers whoever asks it.
#[test]
fn a_leader_leaves_users_to_the_others_while_three_can_serve() {
    let mut w = TestCluster::new(4);
    w.add_worker("m-1", "small", "a");
    w.run(6.0);
    let leader = w.leader().unwrap();
    let other = (leader + 1) % 4;
    let up = |w: &mut TestCluster, n: usize| w.request(n, "GET", "/up", Value::Null).0;
    // The load balancer asks all but `unseen`; what the leader says last.
    let probe = |w: &mut TestCluster, unseen: usize| {
        for _ in 0..8 {
            for n in (0..4).filter(|n| *n != unseen) {
                if w.controllers[n].is_some() {
                    up(w, n);
                }
            }
            w.run(1.0);
        }
        up(w, leader)
    };
    assert_eq!(probe(&mut w, 9), 503);
    assert_eq!(up(&mut w, other), 200);
    assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
    assert_eq!(
        probe(&mut w, other),
        200,
        "a node that the load balancer doesn't see gets no users"
    );
    assert_eq!(probe(&mut w, 9), 503);
    w.kill_controller(other);
    assert_eq!(probe(&mut w, 9), 200, "two others are not enough");
    w.start_controller(other, 4);
    assert_eq!(probe(&mut w, 9), 503);
    // A node that the state service refuses can't serve.
    w.state_calls_refused_for = Some(other);
    w.request(other, "GET", "/work/wk-9", Value::Null);
    assert_eq!(probe(&mut w, 9), 200);
}

/// A state service that is silent to one node must not keep that node's users hanging: once that
/// is known their requests go through another, and only probes find out whether it is over.
#[test]
fn users_of_a_node_that_the_state_service_is_silent_to_do_not_hang() {
    let mut w = started_world();
    assert_eq!(w.submit(0, "wk-1", json!({})).0, 201);
    w.run(1.0);
    let follower = 1 - w.leader().unwrap();
    w.state_calls_hang_for = Some(follower);
    // The first one finds out.
    assert_eq!(w.request(follower, "GET", "/work/wk-1", Value::Null).0, 200);
    for _ in 0..20 {
        let asked = w.now.steady;
        assert_eq!(w.request(follower, "GET", "/work/wk-1", Value::Null).0, 200);
        assert!(w.now.steady < asked + SECOND / 2, "answered at once");
        w.run(0.5);
    }
    w.state_calls_hang_for = None;
    w.run(3.0);
    w.cut_links = vec![(0, 1)];
    let again = w.request(follower, "GET", "/work/wk-1", Value::Null);
    assert_eq!(again.0, 200, "by itself, since it is over");
}
