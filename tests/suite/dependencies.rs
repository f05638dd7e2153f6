//! Dependencies between jobs: no job starts too early, and a cancellation reaches all dependents.
//!
//! The word before the colon of a doc comment (`too_early`, `orphaned`, ...) is the simulator's name of the rule that
//! the test checks.

use crate::test_cluster::{self, TestCluster};
use dewramp::clock::SECOND;
use dewramp::dependency_graph::{DependencyGraph, latest_start};
use dewramp::job_record::JobRecord;
use dewramp::jobs::JobTable;
use dewramp::wire::{JobSpec, Priority};
use serde_json::{Value, json};

fn started_cluster() -> TestCluster {
    let mut cluster = TestCluster::new(2);
    cluster.add_worker("m-1", "big", "a");
    cluster.add_worker("m-2", "big", "b");
    cluster.run(6.0);
    cluster
}

fn end_task(cluster: &mut TestCluster, task: &str) {
    let at = cluster
        .workers
        .iter()
        .position(|worker| worker.is_running(task))
        .expect(task);
    cluster.workers[at].end_task(task, "done");
}

fn status(cluster: &mut TestCluster, uid: &str) -> String {
    let (code, body) = cluster.request(1, "GET", &format!("/work/{uid}"), Value::Null);
    assert_eq!(code, 200, "{uid}");
    body["status"].as_str().unwrap().to_owned()
}

/// too_early: a job starts only once the ends of all its dependencies are stored, and then at once.
#[test]
fn a_job_starts_once_the_completion_of_its_dependencies_is_stored() {
    let mut cluster = started_cluster();
    cluster.submit(0, "wk-1", json!({"cores": 1.0}));
    cluster.submit(1, "wk-2", json!({"cores": 1.0}));
    assert_eq!(
        cluster
            .submit(0, "wk-3", json!({"waitsOn": ["wk-1", "wk-2", "wk-1"]}))
            .0,
        201
    );
    cluster.run(1.0);
    end_task(&mut cluster, "wk-1/0");
    cluster.run(2.0);
    assert_eq!(cluster.start_count("wk-3/0"), 0, "it depends on both jobs");
    // The leader knows of the end, but its write gets no answer: it is not stored.
    cluster.kv.hold_transactions_with = Some("over/wk-2");
    end_task(&mut cluster, "wk-2/0");
    cluster.run(4.0);
    assert_eq!(cluster.start_count("wk-3/0"), 0);
    assert_eq!(status(&mut cluster, "wk-3"), "pending");
    cluster.kv.hold_transactions_with = None;
    cluster.run(3.0);
    assert_eq!(cluster.start_count("wk-3/0"), 1);
}

/// too_early: a new leader knows only from the store which dependencies have ended.
#[test]
fn a_new_leader_reads_unfinished_dependencies_again() {
    let mut cluster = started_cluster();
    for uid in ["wk-1", "wk-2"] {
        cluster.submit(0, uid, json!({"cores": 1.0}));
    }
    cluster.submit(0, "wk-3", json!({"waitsOn": ["wk-1"]}));
    cluster.submit(0, "wk-4", json!({"waitsOn": ["wk-1", "wk-2"]}));
    cluster.submit(0, "wk-5", json!({"waitsOn": ["wk-4"]}));
    cluster.run(1.0);
    // All controllers restart, so no leader has the end of the first job in memory.
    end_task(&mut cluster, "wk-1/0");
    cluster.kv.hold_transactions_with = Some("job/wk-3");
    cluster.run(2.0);
    assert!(cluster.kv.keys.contains_key("over/wk-1"));
    for n in 0..2 {
        cluster.kill_controller(n);
        cluster.start_controller(n, 2);
    }
    cluster.kv.hold_transactions_with = None;
    cluster.run(8.0);
    assert_eq!(
        (
            cluster.start_count("wk-3/0"),
            cluster.running_copies("wk-3/0")
        ),
        (1, 1)
    );
    assert_eq!(
        cluster.start_count("wk-4/0") + cluster.start_count("wk-5/0"),
        0
    );
    end_task(&mut cluster, "wk-2/0");
    cluster.run(2.0);
    assert_eq!(
        (cluster.start_count("wk-4/0"), cluster.start_count("wk-5/0")),
        (1, 0)
    );
}

/// orphaned: all direct and indirect dependents of a cancelled job are cancelled too, also those of other teams, and
/// also if all controllers end right after the answer.
#[test]
fn a_cancellation_cancels_all_transitive_dependents() {
    let mut cluster = TestCluster::with_settings(2, &test_cluster::settings_with_next_limits());
    cluster.add_worker("m-1", "big", "a");
    cluster.run(6.0);
    cluster.kv.limits = Some(test_cluster::NEXT_LIMITS);
    cluster.submit(0, "wk-0", json!({"cores": 1.0}));
    for n in 1..=40 {
        let owner = ["blue", "red"][n % 2];
        let dependencies = [format!("wk-{}", n - 1)];
        let (code, _) = cluster.submit(
            n % 2,
            &format!("wk-{n}"),
            json!({"waitsOn": dependencies, "owner": owner}),
        );
        assert_eq!(code, 201);
    }
    // Outside the chain: wk-y also depends on a job that is done, wk-z on that job alone.
    cluster.submit(0, "wk-x", json!({"cores": 1.0}));
    cluster.submit(
        0,
        "wk-y",
        json!({"cores": 1.0, "waitsOn": ["wk-x", "wk-7"]}),
    );
    cluster.submit(0, "wk-z", json!({"cores": 1.0, "waitsOn": ["wk-x"]}));
    cluster.run(1.0);
    end_task(&mut cluster, "wk-x/0");
    cluster.run(1.0);
    let answer = cluster.request(1, "POST", "/work/wk-0/cancel", Value::Null);
    assert_eq!(answer.1["status"], "cancelled");
    for n in 0..2 {
        cluster.kill_controller(n);
        cluster.start_controller(n, 2);
    }
    cluster.run(15.0);
    for n in 1..=40 {
        let uid = format!("wk-{n}");
        assert_eq!(status(&mut cluster, &uid), "cancelled");
        assert_eq!(cluster.start_count(&format!("{uid}/0")), 0);
    }
    assert_eq!(status(&mut cluster, "wk-y"), "cancelled");
    assert_eq!(cluster.running_copies("wk-0/0"), 0);
    assert_eq!(
        cluster.running_copies("wk-z/0"),
        1,
        "jobs that do not depend on it go on"
    );
    assert_eq!(cluster.kv.keys["over/wk-40"].0["because"], "wk-0");
    assert_eq!(cluster.kv.rejected_transactions, 0);
    // A job whose dependency is cancelled already is accepted and then cancelled.
    assert_eq!(
        cluster
            .submit(0, "wk-late", json!({"waitsOn": ["wk-40"]}))
            .0,
        201
    );
    cluster.run(1.0);
    assert_eq!(status(&mut cluster, "wk-late"), "cancelled");
}

/// orphaned: if a submission and the cancellation of its dependency race, the write that comes later sees the
/// earlier one.
#[test]
fn a_submission_racing_the_cancellation_of_its_dependency_is_cancelled() {
    let mut cluster = started_cluster();
    cluster.submit(0, "wk-1", json!({"cores": 1.0}));
    cluster.run(0.5);
    // The write of the acceptance is delayed while another node cancels the dependency.
    cluster.kv.hold_transactions_with = Some("job/wk-2");
    let (code, _) = cluster.submit(0, "wk-2", json!({"waitsOn": ["wk-1"]}));
    assert_eq!(code, 503);
    cluster.kv.hold_transactions_with = None;
    assert_eq!(
        cluster
            .request(1, "POST", "/work/wk-1/cancel", Value::Null)
            .0,
        200
    );
    for transaction in std::mem::take(&mut cluster.kv.held_transactions) {
        assert_eq!(
            cluster.kv.txn(&transaction).0,
            409,
            "applied late, it fails its precondition"
        );
    }
    assert_eq!(
        cluster.submit(0, "wk-2", json!({"waitsOn": ["wk-1"]})).0,
        201
    );
    cluster.run(1.0);
    assert_eq!(status(&mut cluster, "wk-2"), "cancelled");
    assert_eq!(cluster.start_count("wk-2/0"), 0);
}

/// went_back: a cancellation that came too late and was answered with `done` cancels no dependents.
#[test]
fn a_cancellation_answered_with_done_cancels_no_dependents() {
    let mut cluster = started_cluster();
    cluster.submit(0, "wk-1", json!({"cores": 1.0}));
    cluster.submit(0, "wk-2", json!({"cores": 1.0, "waitsOn": ["wk-1"]}));
    cluster.run(0.5);
    // The end is stored, but the answer to that write is delayed; the leader learns from the watch that the job's key
    // was deleted.
    cluster.delay_answers_with = Some("over/wk-1");
    end_task(&mut cluster, "wk-1/0");
    cluster.run(2.0);
    let (_, body) = cluster.request(1, "POST", "/work/wk-1/cancel", Value::Null);
    assert_eq!(body["status"], "done");
    cluster.delay_answers_with = None;
    cluster.run(3.0);
    cluster.deliver_delayed_answers();
    cluster.run(1.0);
    assert_eq!(status(&mut cluster, "wk-2"), "running");
}

/// forgotten: which jobs a submission may name as dependencies, and which not.
#[test]
fn dependencies_must_have_been_accepted() {
    let mut cluster = started_cluster();
    cluster.submit(0, "wk-1", json!({"cores": 1.0}));
    cluster.submit(
        0,
        "wk-s",
        json!({"cores": 1.0, "shape": "daemon", "guessS": 0.0}),
    );
    for no_dependencies in [json!(null), json!([])] {
        let uid = format!("wk-same{}", no_dependencies.is_null());
        assert_eq!(
            cluster
                .submit(0, &uid, json!({"cores": 1.0, "waitsOn": no_dependencies}))
                .0,
            201
        );
        cluster.run(0.5);
        assert_eq!(cluster.running_copies(&format!("{uid}/0")), 1);
    }
    for invalid in [json!("wk-1"), json!([1]), json!({}), json!([null])] {
        let (code, body) = cluster.submit(0, "wk-2", json!({"waitsOn": invalid}));
        assert_eq!(code, 400, "{body}");
    }
    for (invalid, named_in_error) in [
        ("wk-404", "wk-404"),
        ("job-1", "job-1"),
        ("wk-2", "wk-2"),
        ("wk-s", "wk-s"),
    ] {
        let (code, body) = cluster.submit(1, "wk-2", json!({"waitsOn": ["wk-1", invalid]}));
        assert_eq!(code, 422);
        assert!(
            body["error"].as_str().unwrap().contains(named_in_error),
            "{body}"
        );
    }
    // Rejected as unknown above; named again once it has been accepted.
    cluster.submit(0, "wk-404", json!({"cores": 1.0}));
    assert_eq!(
        cluster.submit(0, "wk-2", json!({"waitsOn": ["wk-404"]})).0,
        201
    );
    let repeat = cluster.submit(1, "wk-2", json!({"waitsOn": ["wk-404"]}));
    assert_eq!((repeat.0, &repeat.1["status"]), (200, &json!("pending")));
    // While the state service can't answer, the submission is to be retried.
    cluster.kv.down = true;
    assert_eq!(
        cluster.submit(1, "wk-3", json!({"waitsOn": ["wk-1"]})).0,
        503
    );
    cluster.kv.down = false;
    cluster.run(2.0);
    // At most 78 dependencies fit the preconditions of one transaction.
    for n in 0..90 {
        cluster.submit(
            0,
            &format!("wk-n{n}"),
            json!({"cores": 0.01, "memGb": 0.01}),
        );
    }
    let dependencies: Vec<String> = (0..78).map(|n| format!("wk-n{n}")).collect();
    assert_eq!(
        cluster
            .submit(0, "wk-wide", json!({"waitsOn": dependencies}))
            .0,
        201
    );
    let dependencies: Vec<String> = (0..79).map(|n| format!("wk-n{n}")).collect();
    let (code, body) = cluster.submit(0, "wk-wider", json!({"waitsOn": dependencies}));
    assert_eq!(code, 422);
    assert!(body["error"].as_str().unwrap().contains("78"), "{body}");
}

/// A job that waits for dependencies uses nothing of its team's limit, and its waiting time counts from the end of its
/// last dependency.
#[test]
fn a_job_waiting_for_dependencies_is_not_charged_to_its_team() {
    let mut cluster = started_cluster();
    cluster.submit(0, "wk-1", json!({"cores": 1.0, "owner": "blue"}));
    cluster.submit(
        0,
        "wk-2",
        json!({"cores": 8.0, "parts": 2, "owner": "red", "waitsOn": ["wk-1"]}),
    );
    cluster.submit(0, "wk-3", json!({"cores": 8.0, "parts": 2, "owner": "red"}));
    cluster.run(1.0);
    assert_eq!(
        cluster.running_copies("wk-3/0") + cluster.running_copies("wk-3/1"),
        2,
        "all 16 cores of the team"
    );
    end_task(&mut cluster, "wk-1/0");
    cluster.run(1.0);
    let leader = cluster.leader().unwrap();
    let job = cluster.controllers[leader]
        .as_ref()
        .unwrap()
        .job("wk-2")
        .unwrap();
    assert!(!job.waits_for_dependencies());
    assert!(job.waiting_since() > job.accepted_at);
    let stored = cluster.kv.keys["over/wk-1"].0["over"].as_u64().unwrap();
    assert_eq!(
        job.waiting_since(),
        stored,
        "the time that a new leader would read"
    );
    assert_eq!(cluster.start_count("wk-2/0"), 0, "the team is at its limit");
}

/// Priorities and deadlines propagate from a job to its dependencies, through several steps.
#[test]
fn priority_and_deadline_propagate_to_dependencies() {
    let mut table = JobTable::default();
    let mut graph = DependencyGraph::default();
    let add = |table: &mut JobTable, graph: &mut DependencyGraph, uid: &str, change: Value| {
        let mut job = test_cluster::job_submission(uid);
        for (field, value) in change.as_object().unwrap() {
            job[field] = value.clone();
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
    assert_eq!(
        first.due_at,
        Some(138 * SECOND),
        "propagated through two jobs"
    );
    assert_eq!(latest_start(first, 10 * SECOND), Some(127 * SECOND));
    assert_eq!(
        graph.dependency_done("wk-1", 120 * SECOND),
        [("wk-2".into(), 120 * SECOND), ("wk-3".into(), 120 * SECOND)]
    );
    assert!(graph.dependents("wk-1").is_empty());
    assert_eq!(table.get("wk-2").unwrap().due_at, Some(149 * SECOND));
}
