//! Jobs that wait for others: nothing starts too early, nothing is left behind a cancellation.

use crate::test_cluster::{self, TestCluster};
use dewramp::clock::SECOND;
use dewramp::dependency_graph::{DependencyGraph, latest_start};
use dewramp::job_record::JobRecord;
use dewramp::jobs::JobTable;
use dewramp::wire::{JobSpec, Priority};
use serde_json::{Value, json};

fn started_world() -> TestCluster {
    let mut w = TestCluster::new(2);
    w.add_worker("m-1", "big", "a");
    w.add_worker("m-2", "big", "b");
    w.run(6.0);
    w
}

fn end(w: &mut TestCluster, part: &str) {
    let at = w
        .workers
        .iter()
        .position(|x| x.is_running(part))
        .expect(part);
    w.workers[at].end_task(part, "done");
}

fn status(w: &mut TestCluster, uid: &str) -> String {
    let (code, body) = w.request(1, "GET", &format!("/work/{uid}"), Value::Null);
    assert_eq!(code, 200, "{uid}");
    body["status"].as_str().unwrap().to_owned()
}

/// too_early: only an end that is stored opens the gate, and then at once.
#[test]
fn a_job_starts_only_once_the_ends_it_needs_are_stored() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({"cores": 1.0}));
    w.submit(1, "wk-2", json!({"cores": 1.0}));
    assert_eq!(
        w.submit(0, "wk-3", json!({"waitsOn": ["wk-1", "wk-2", "wk-1"]}))
            .0,
        201
    );
    w.run(1.0);
    end(&mut w, "wk-1/0");
    w.run(2.0);
    assert_eq!(w.start_count("wk-3/0"), 0, "it needs both");
    // Seen by the leader, but not stored: the write of the end gets no answer.
    w.kv.hold_transactions_with = Some("over/wk-2");
    end(&mut w, "wk-2/0");
    w.run(4.0);
    assert_eq!(w.start_count("wk-3/0"), 0);
    assert_eq!(status(&mut w, "wk-3"), "pending");
    w.kv.hold_transactions_with = None;
    w.run(3.0);
    assert_eq!(w.start_count("wk-3/0"), 1);
}

/// too_early: a new leader knows of needs that are over only what it reads.
#[test]
fn a_takeover_looks_up_unmet_needs_again() {
    let mut w = started_world();
    for uid in ["wk-1", "wk-2"] {
        w.submit(0, uid, json!({"cores": 1.0}));
    }
    w.submit(0, "wk-3", json!({"waitsOn": ["wk-1"]}));
    w.submit(0, "wk-4", json!({"waitsOn": ["wk-1", "wk-2"]}));
    w.submit(0, "wk-5", json!({"waitsOn": ["wk-4"]}));
    w.run(1.0);
    // All have stopped, and the end of the first is in no leader's memory.
    end(&mut w, "wk-1/0");
    w.kv.hold_transactions_with = Some("job/wk-3");
    w.run(2.0);
    assert!(w.kv.keys.contains_key("over/wk-1"));
    for n in 0..2 {
        w.kill_controller(n);
        w.start_controller(n, 2);
    }
    w.kv.hold_transactions_with = None;
    w.run(8.0);
    assert_eq!(
        (w.start_count("wk-3/0"), w.running_copies("wk-3/0")),
        (1, 1)
    );
    assert_eq!(w.start_count("wk-4/0") + w.start_count("wk-5/0"), 0);
    end(&mut w, "wk-2/0");
    w.run(2.0);
    assert_eq!((w.start_count("wk-4/0"), w.start_count("wk-5/0")), (1, 0));
}

/// orphaned: all that needs a cancelled job follows, through any number of steps and across
/// teams, also when every controller ends right after the answer.
#[test]
fn a_cancellation_takes_along_all_that_need_the_job() {
    let mut w = TestCluster::with_settings(2, &test_cluster::settings_with_next_limits());
    w.add_worker("m-1", "big", "a");
    w.run(6.0);
    w.kv.limits = Some(test_cluster::NEXT_LIMITS);
    w.submit(0, "wk-0", json!({"cores": 1.0}));
    for n in 1..=40 {
        let owner = ["blue", "red"][n % 2];
        let needs = [format!("wk-{}", n - 1)];
        let (code, _) = w.submit(
            n % 2,
            &format!("wk-{n}"),
            json!({"waitsOn": needs, "owner": owner}),
        );
        assert_eq!(code, 201);
    }
    // Beside the chain: needs another job too, and that one is done.
    w.submit(0, "wk-x", json!({"cores": 1.0}));
    w.submit(
        0,
        "wk-y",
        json!({"cores": 1.0, "waitsOn": ["wk-x", "wk-7"]}),
    );
    w.submit(0, "wk-z", json!({"cores": 1.0, "waitsOn": ["wk-x"]}));
    w.run(1.0);
    end(&mut w, "wk-x/0");
    w.run(1.0);
    let answer = w.request(1, "POST", "/work/wk-0/cancel", Value::Null);
    assert_eq!(answer.1["status"], "cancelled");
    for n in 0..2 {
        w.kill_controller(n);
        w.start_controller(n, 2);
    }
    w.run(15.0);
    for n in 1..=40 {
        let uid = format!("wk-{n}");
        assert_eq!(status(&mut w, &uid), "cancelled");
        assert_eq!(w.start_count(&format!("{uid}/0")), 0);
    }
    assert_eq!(status(&mut w, "wk-y"), "cancelled");
    assert_eq!(w.running_copies("wk-0/0"), 0);
    assert_eq!(w.running_copies("wk-z/0"), 1, "the others go on");
    assert_eq!(w.kv.keys["over/wk-40"].0["because"], "wk-0");
    assert_eq!(w.kv.rejected_transactions, 0);
    // Named after its end: accepted, and cancelled with it.
    assert_eq!(w.submit(0, "wk-late", json!({"waitsOn": ["wk-40"]})).0, 201);
    w.run(1.0);
    assert_eq!(status(&mut w, "wk-late"), "cancelled");
}

/// orphaned: of an acceptance and a cancellation that cross, the later one sees the earlier.
#[test]
fn a_submission_that_races_a_cancellation_is_not_left_behind() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({"cores": 1.0}));
    w.run(0.5);
    // The accepting write is under way while another node cancels.
    w.kv.hold_transactions_with = Some("job/wk-2");
    let (code, _) = w.submit(0, "wk-2", json!({"waitsOn": ["wk-1"]}));
    assert_eq!(code, 503);
    w.kv.hold_transactions_with = None;
    assert_eq!(
        w.request(1, "POST", "/work/wk-1/cancel", Value::Null).0,
        200
    );
    for late in std::mem::take(&mut w.kv.held_transactions) {
        assert_eq!(w.kv.txn(&late).0, 409, "applied late, it sees the end");
    }
    assert_eq!(w.submit(0, "wk-2", json!({"waitsOn": ["wk-1"]})).0, 201);
    w.run(1.0);
    assert_eq!(status(&mut w, "wk-2"), "cancelled");
    assert_eq!(w.start_count("wk-2/0"), 0);
}

/// went_back: a cancellation that came too late, answered with `done`, ends nothing.
#[test]
fn a_cancel_answered_with_done_lets_the_jobs_after_it_go_on() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({"cores": 1.0}));
    w.submit(0, "wk-2", json!({"cores": 1.0, "waitsOn": ["wk-1"]}));
    w.run(0.5);
    // The end is stored, but the leader is not told; the watch tells it that the job has gone.
    w.delay_answers_with = Some("over/wk-1");
    end(&mut w, "wk-1/0");
    w.run(2.0);
    let (_, body) = w.request(1, "POST", "/work/wk-1/cancel", Value::Null);
    assert_eq!(body["status"], "done");
    w.delay_answers_with = None;
    w.run(3.0);
    w.deliver_delayed_answers();
    w.run(1.0);
    assert_eq!(status(&mut w, "wk-2"), "running");
}

/// forgotten: what a submission may name, and what it may not.
#[test]
fn a_submission_may_name_only_jobs_that_were_accepted() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({"cores": 1.0}));
    w.submit(
        0,
        "wk-s",
        json!({"cores": 1.0, "shape": "daemon", "guessS": 0.0}),
    );
    for same in [json!(null), json!([])] {
        let uid = format!("wk-same{}", same.is_null());
        assert_eq!(
            w.submit(0, &uid, json!({"cores": 1.0, "waitsOn": same})).0,
            201
        );
        w.run(0.5);
        assert_eq!(w.running_copies(&format!("{uid}/0")), 1);
    }
    for wrong in [json!("wk-1"), json!([1]), json!({}), json!([null])] {
        let (code, body) = w.submit(0, "wk-2", json!({"waitsOn": wrong}));
        assert_eq!(code, 400, "{body}");
    }
    for (wrong, named) in [
        ("wk-404", "wk-404"),
        ("job-1", "job-1"),
        ("wk-2", "wk-2"),
        ("wk-s", "wk-s"),
    ] {
        let (code, body) = w.submit(1, "wk-2", json!({"waitsOn": ["wk-1", wrong]}));
        assert_eq!(code, 422);
        assert!(body["error"].as_str().unwrap().contains(named), "{body}");
    }
    // Named before it was accepted, then accepted.
    w.submit(0, "wk-404", json!({"cores": 1.0}));
    assert_eq!(w.submit(0, "wk-2", json!({"waitsOn": ["wk-404"]})).0, 201);
    let again = w.submit(1, "wk-2", json!({"waitsOn": ["wk-404"]}));
    assert_eq!((again.0, &again.1["status"]), (200, &json!("pending")));
    // When nobody can say, it is to come back.
    w.kv.down = true;
    assert_eq!(w.submit(1, "wk-3", json!({"waitsOn": ["wk-1"]})).0, 503);
    w.kv.down = false;
    w.run(2.0);
    // More than one accepting write can stand on.
    for n in 0..90 {
        w.submit(
            0,
            &format!("wk-n{n}"),
            json!({"cores": 0.01, "memGb": 0.01}),
        );
    }
    let many: Vec<String> = (0..78).map(|n| format!("wk-n{n}")).collect();
    assert_eq!(w.submit(0, "wk-wide", json!({"waitsOn": many})).0, 201);
    let many: Vec<String> = (0..79).map(|n| format!("wk-n{n}")).collect();
    let (code, body) = w.submit(0, "wk-wider", json!({"waitsOn": many}));
    assert_eq!(code, 422);
    assert!(body["error"].as_str().unwrap().contains("78"), "{body}");
}

/// What waits takes nothing of its team's limit, and its place in the guarantee counts from the
/// end of the last job that it needs.
#[test]
fn a_waiting_job_is_charged_to_nobody() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({"cores": 1.0, "owner": "blue"}));
    w.submit(
        0,
        "wk-2",
        json!({"cores": 8.0, "parts": 2, "owner": "red", "waitsOn": ["wk-1"]}),
    );
    w.submit(0, "wk-3", json!({"cores": 8.0, "parts": 2, "owner": "red"}));
    w.run(1.0);
    assert_eq!(
        w.running_copies("wk-3/0") + w.running_copies("wk-3/1"),
        2,
        "all 16 cores of the team"
    );
    end(&mut w, "wk-1/0");
    w.run(1.0);
    let leader = w.leader().unwrap();
    let job = w.controllers[leader].as_ref().unwrap().job("wk-2").unwrap();
    assert!(!job.waits_for_dependencies());
    assert!(job.waiting_since() > job.accepted_at);
    let stored = w.kv.keys["over/wk-1"].0["over"].as_u64().unwrap();
    assert_eq!(
        job.waiting_since(),
        stored,
        "as the next leader will read it"
    );
    assert_eq!(w.start_count("wk-2/0"), 0, "the team is at its limit");
}

/// Priority and deadline pass backwards from the last job, and go with a step that ends.
#[test]
fn priority_and_deadline_pass_backwards() {
    let mut table = JobTable::default();
    let mut graph = DependencyGraph::default();
    let add = |table: &mut JobTable, graph: &mut DependencyGraph, uid: &str, change: Value| {
        let mut job = test_cluster::job_submission(uid);
        for (k, v) in change.as_object().unwrap() {
            job[k] = v.clone();
        }
        let spec = JobSpec::parse(job.to_string().as_bytes()).unwrap();
        table.add(&JobRecord::new(spec.clone(), 100 * SECOND, "n-1"), 1);
        if !spec.waits_on.is_empty() {
            graph.add(&spec, 100 * SECOND, |_| true);
            graph.propagate_to_dependencies(table, &spec.uid, |_| 10 * SECOND);
        }
    };
    add(&mut table, &mut graph, "wk-1", json!({"urgency": "low"}));
    add(
        &mut table,
        &mut graph,
        "wk-2",
        json!({"urgency": "low", "waitsOn": ["wk-1"]}),
    );
    add(
        &mut table,
        &mut graph,
        "wk-3",
        json!({"waitsOn": ["wk-1"], "dueS": 300.0}),
    );
    let first = table.get("wk-1").unwrap();
    assert_eq!(first.priority(), Priority::Normal);
    assert_eq!(
        first.due_at,
        Some(389 * SECOND),
        "due at 400, 10 to run and 1 beside"
    );
    add(
        &mut table,
        &mut graph,
        "wk-4",
        json!({"urgency": "high", "waitsOn": ["wk-2"], "dueS": 60.0}),
    );
    let first = table.get("wk-1").unwrap();
    assert_eq!(first.priority(), Priority::High);
    assert_eq!(first.due_at, Some(138 * SECOND), "through two steps");
    assert_eq!(latest_start(first, 10 * SECOND), Some(127 * SECOND));
    assert_eq!(
        graph.dependency_done("wk-1", 120 * SECOND),
        [("wk-2".into(), 120 * SECOND), ("wk-3".into(), 120 * SECOND)]
    );
    assert!(graph.dependents("wk-1").is_empty());
    assert_eq!(table.get("wk-2").unwrap().due_at, Some(149 * SECOND));
}
