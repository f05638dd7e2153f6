//! Checks of submissions, repeated submissions, and cancellations of jobs that have ended.

use crate::test_cluster::{TestCluster, job_submission};
use serde_json::{Value, json};

fn started_cluster() -> TestCluster {
    let mut cluster = TestCluster::new(3);
    cluster.add_worker("m-1", "small", "a");
    cluster.add_worker("m-2", "small", "b");
    cluster.run(6.0);
    cluster
}

/// A submission that lacks a field, has an invalid one or can never run is answered with 400 or 422 at every node, also
/// when it is repeated, and nothing of it is stored. Accepting it would break the simulator's rule `forgotten`.
#[test]
fn malformed_or_unrunnable_submissions_are_rejected() {
    let mut cluster = started_cluster();
    let mut cases: Vec<(String, Value, u16)> = Vec::new();
    let mut case =
        |description: String, body: Value, status: u16| cases.push((description, body, status));
    let fields: Vec<String> = job_submission("wk-1")
        .as_object()
        .unwrap()
        .keys()
        .cloned()
        .collect();
    let nullable = ["builds", "paddock", "dueS"];
    for field in &fields {
        let mut body = job_submission("wk-1");
        body[field] = Value::Null;
        if !nullable.contains(&field.as_str()) {
            case(format!("{field} is null"), body.clone(), 400);
            body.as_object_mut().unwrap().remove(field);
            case(format!("{field} is missing"), body.clone(), 400);
        }
        for invalid in [json!([]), json!({}), json!({"a": 1})] {
            // An empty list of machine types is well-formed and allows none.
            let status = if field == "builds" && invalid == json!([]) {
                422
            } else {
                400
            };
            body[field] = invalid.clone();
            case(format!("{field} = {invalid}"), body.clone(), status);
        }
        let invalid = match job_submission("wk-1")[field] {
            Value::Bool(_) => vec![json!("true"), json!(1)],
            Value::Number(_) => vec![json!("4"), json!(true), json!(-1), json!(-0.5)],
            _ if field == "dueS" => vec![json!("4"), json!(true), json!(-1.0)],
            _ => vec![json!(7), json!(true), json!("")],
        };
        for invalid in invalid {
            // The empty string is well-formed but names no known zone.
            let unknown = field == "paddock" && invalid == json!("");
            body[field] = invalid.clone();
            case(
                format!("{field} = {invalid}"),
                body.clone(),
                if unknown { 422 } else { 400 },
            );
        }
    }
    let mut case_with = |change: Value, status: u16| {
        let mut body = job_submission("wk-1");
        for (field, value) in change.as_object().unwrap() {
            body[field] = value.clone();
        }
        case(change.to_string(), body, status);
    };
    for uid in ["", "wk-", "job-1", "wk-1/0", "wk-a b", "WK-1", "../x"] {
        case_with(json!({"uid": uid}), 400);
    }
    case_with(json!({"shape": "ring"}), 400);
    case_with(json!({"shape": "Array"}), 400);
    case_with(json!({"urgency": "urgent"}), 400);
    case_with(json!({"parts": 0}), 400);
    case_with(json!({"parts": 100_001}), 400);
    case_with(json!({"parts": 1.5}), 400);
    case_with(json!({"parts": 18_446_744_073_709_551_615u64}), 400);
    case_with(json!({"cores": 1e300}), 400);
    case_with(json!({"cores": 0.0, "memGb": 0.0}), 400);
    case_with(json!({"guessS": 1e12}), 400);
    case_with(json!({"builds": ["small", 7]}), 400);
    case_with(json!({"builds": "small"}), 400);
    // Can never run: unknown team, type or zone, no type that a task fits, or more than the team may use.
    case_with(json!({"owner": "green"}), 422);
    case_with(json!({"builds": ["huge"]}), 422);
    case_with(json!({"builds": []}), 422);
    case_with(json!({"paddock": "z"}), 422);
    case_with(json!({"cores": 17.0}), 422);
    case_with(json!({"memGb": 65.0}), 422);
    case_with(json!({"accelerators": 1.0}), 422);
    case_with(json!({"cores": 5.0, "builds": ["small"]}), 422);
    case_with(json!({"owner": "red", "cores": 16.5}), 422);
    case_with(json!({"owner": "red", "shape": "daemon", "parts": 5}), 422);
    // All tasks must run at the same time, but can't be spread over zones (`apart`) as demanded.
    case_with(
        json!({"shape": "daemon", "parts": 2, "together": true, "apart": true}),
        422,
    );
    case_with(
        json!({"shape": "daemon", "parts": 3, "paddock": "a", "apart": true}),
        422,
    );
    case_with(
        json!({"shape": "group", "parts": 2, "together": true, "apart": true}),
        422,
    );
    for (description, body, status) in &cases {
        for node in 0..3 {
            let answer = cluster.request(node, "POST", "/work", body.clone());
            assert_eq!(answer.0, *status, "{description} at {node}: {answer:?}");
            assert!(
                answer.1["error"].as_str().is_some_and(|e| !e.is_empty()),
                "{description}"
            );
        }
    }
    for raw in [
        "",
        "{",
        "[]",
        "7",
        "null",
        "{\"uid\":\"wk-1\",\"uid\":",
        "\u{1}",
    ] {
        let request = cluster.send_request_bytes(0, "POST", "/work", raw.as_bytes().to_vec());
        cluster.step(5_000);
        assert_eq!(
            cluster.answers.remove(&request).map(|a| a.0),
            Some(400),
            "{raw}"
        );
    }
    assert!(
        !cluster
            .kv
            .keys
            .keys()
            .any(|key| key.starts_with("job/") || key.starts_with("over/"))
    );
    assert_eq!(cluster.request(1, "GET", "/work/wk-1", Value::Null).0, 404);
    assert_eq!(
        cluster
            .request(1, "POST", "/work/wk-1/cancel", Value::Null)
            .0,
        404
    );
}

/// A valid submission that may run at some time is accepted, whether there is capacity now or not.
#[test]
fn jobs_that_may_run_later_are_accepted() {
    let mut cluster = started_cluster();
    let changes = [
        json!({"cores": 16.0, "memGb": 64.0}),
        json!({"parts": 100_000}),
        json!({"shape": "daemon", "owner": "red", "parts": 4}),
        json!({"shape": "group", "parts": 50, "together": true}),
        json!({"parts": 2, "together": true, "apart": true}),
        json!({"shape": "daemon", "parts": 1, "paddock": "a", "apart": true}),
        json!({"cores": 0.0}),
        json!({"cores": 0.25, "guessS": 0.0, "sizeGb": 0.0}),
        json!({"builds": ["small", "huge"]}),
        json!({"dueS": 0.0}),
        json!({"loaners": false, "paddock": "b", "unheardOf": [1]}),
    ];
    for (n, change) in changes.into_iter().enumerate() {
        let uid = format!("wk-{n}");
        assert_eq!(
            cluster.submit(n % 3, &uid, change.clone()).0,
            201,
            "{change}"
        );
        assert_eq!(cluster.submit((n + 1) % 3, &uid, change).0, 200);
    }
    let mut without_nullable = job_submission("wk-99");
    for nullable in ["builds", "paddock", "dueS"] {
        without_nullable.as_object_mut().unwrap().remove(nullable);
    }
    assert_eq!(
        cluster.request(0, "POST", "/work", without_nullable).0,
        201,
        "a nullable field may be missing"
    );
}

/// A job bound to a zone that offers no machine type which its tasks fit is rejected, and accepted once the cloud offers
/// such a type there. A repeat of a job accepted before is answered with its status, whatever is offered now.
#[test]
fn a_job_bound_to_a_zone_without_a_fitting_type_is_rejected() {
    let mut cluster = started_cluster();
    let bound = json!({"paddock": "b", "cores": 16.0});
    assert_eq!(
        cluster.submit(0, "wk-1", bound.clone()).0,
        201,
        "offered in both zones"
    );
    cluster.big_type_only_in = Some("a");
    cluster.run(700.0);
    for node in 0..3 {
        let answer = cluster.submit(node, "wk-1", bound.clone());
        assert_eq!(answer.0, 200, "a repeat: {answer:?}");
    }
    let leader = cluster.leader().expect("one leads");
    assert_eq!(cluster.submit(leader, "wk-2", bound.clone()).0, 422);
    assert_eq!(
        cluster.submit(leader, "wk-3", json!({"cores": 16.0})).0,
        201
    );
    cluster.big_type_only_in = None;
    cluster.run(200.0);
    let leader = cluster.leader().expect("one leads");
    assert_eq!(cluster.submit(leader, "wk-2", bound).0, 201);
}

/// Repeated submissions and cancellations of jobs that are done or cancelled, at every node and across a failover: they
/// succeed, at least when retried, and always return the same status.
#[test]
fn repeats_and_late_cancellations_return_the_current_status() {
    let mut cluster = started_cluster();
    let leader = cluster.leader().expect("one leads");
    for uid in ["wk-1", "wk-2"] {
        assert_eq!(cluster.submit(leader, uid, json!({})).0, 201);
    }
    cluster.run(2.0);
    let worker = cluster.worker_running("wk-1/0");
    cluster.workers[worker].end_task("wk-1/0", "done");
    cluster.run(3.0);
    assert_eq!(
        cluster
            .request_with_retries(leader, "POST", "/work/wk-2/cancel", &Value::Null)
            .0,
        200
    );
    for turn in 0..6 {
        if turn == 2 {
            cluster.kill_controller(leader);
        }
        for node in (0..3)
            .filter(|n| cluster.controllers[*n].is_some())
            .collect::<Vec<_>>()
        {
            for (uid, status) in [("wk-1", "done"), ("wk-2", "cancelled")] {
                let repeat =
                    cluster.request_with_retries(node, "POST", "/work", &job_submission(uid));
                assert_eq!((repeat.0, repeat.1["status"].as_str()), (200, Some(status)));
                let path = format!("/work/{uid}/cancel");
                let cancel = cluster.request_with_retries(node, "POST", &path, &Value::Null);
                assert_eq!((cancel.0, cancel.1["status"].as_str()), (200, Some(status)));
            }
        }
        cluster.run(0.7);
    }
    assert_eq!(
        (cluster.start_count("wk-1/0"), cluster.start_count("wk-2/0")),
        (1, 1)
    );
}
