//! Submissions that can't run or lack a field, repeats, and cancellations of what is over.

use crate::test_cluster::{TestCluster, job_submission};
use serde_json::{Value, json};

fn running() -> TestCluster {
    let mut w = TestCluster::new(3);
    w.add_worker("m-1", "small", "a");
    w.add_worker("m-2", "small", "b");
    w.run(6.0);
    w
}

/// forgotten, and the operators' letter: what lacks a field, has one that is wrong, or can't run gets 400 or 422, at
/// every node, also again, and nothing of it is stored.
#[test]
fn what_is_malformed_or_can_not_run_is_never_accepted() {
    let mut w = running();
    let mut cases: Vec<(String, Value, u16)> = Vec::new();
    let mut case = |what: String, body: Value, status: u16| cases.push((what, body, status));
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
        for wrong in [json!([]), json!({}), json!({"a": 1})] {
            // An empty list of types is well-formed, and allows none.
            let status = if field == "builds" && wrong == json!([]) {
                422
            } else {
                400
            };
            body[field] = wrong.clone();
            case(format!("{field} = {wrong}"), body.clone(), status);
        }
        let wrong = match job_submission("wk-1")[field] {
            Value::Bool(_) => vec![json!("true"), json!(1)],
            Value::Number(_) => vec![json!("4"), json!(true), json!(-1), json!(-0.5)],
            _ if field == "dueS" => vec![json!("4"), json!(true), json!(-1.0)],
            _ => vec![json!(7), json!(true), json!("")],
        };
        for wrong in wrong {
            // No zone of that name is a zone that is unknown.
            let unknown = field == "paddock" && wrong == json!("");
            body[field] = wrong.clone();
            case(
                format!("{field} = {wrong}"),
                body.clone(),
                if unknown { 422 } else { 400 },
            );
        }
    }
    let mut with = |change: Value, status: u16| {
        let mut body = job_submission("wk-1");
        for (k, v) in change.as_object().unwrap() {
            body[k] = v.clone();
        }
        case(change.to_string(), body, status);
    };
    for uid in ["", "wk-", "job-1", "wk-1/0", "wk-a b", "WK-1", "../x"] {
        with(json!({"uid": uid}), 400);
    }
    with(json!({"shape": "ring"}), 400);
    with(json!({"shape": "Array"}), 400);
    with(json!({"urgency": "urgent"}), 400);
    with(json!({"parts": 0}), 400);
    with(json!({"parts": 100_001}), 400);
    with(json!({"parts": 1.5}), 400);
    with(json!({"parts": 18_446_744_073_709_551_615u64}), 400);
    with(json!({"cores": 1e300}), 400);
    with(json!({"cores": 0.0, "memGb": 0.0}), 400);
    with(json!({"guessS": 1e12}), 400);
    with(json!({"builds": ["small", 7]}), 400);
    with(json!({"builds": "small"}), 400);
    // Can never run: no such team, type or zone, no type that holds it, none there, more than the team may use.
    with(json!({"owner": "green"}), 422);
    with(json!({"builds": ["huge"]}), 422);
    with(json!({"builds": []}), 422);
    with(json!({"paddock": "z"}), 422);
    with(json!({"cores": 17.0}), 422);
    with(json!({"memGb": 65.0}), 422);
    with(json!({"accelerators": 1.0}), 422);
    with(json!({"cores": 5.0, "builds": ["small"]}), 422);
    with(json!({"owner": "red", "cores": 16.5}), 422);
    with(json!({"owner": "red", "shape": "daemon", "parts": 5}), 422);
    // A service, or a group, whose tasks may neither all be in one zone nor be apart.
    with(
        json!({"shape": "daemon", "parts": 2, "together": true, "apart": true}),
        422,
    );
    with(
        json!({"shape": "daemon", "parts": 3, "paddock": "a", "apart": true}),
        422,
    );
    with(
        json!({"shape": "group", "parts": 2, "together": true, "apart": true}),
        422,
    );
    for (what, body, status) in &cases {
        for node in 0..3 {
            let told = w.request(node, "POST", "/work", body.clone());
            assert_eq!(told.0, *status, "{what} at {node}: {told:?}");
            assert!(
                told.1["error"].as_str().is_some_and(|e| !e.is_empty()),
                "{what}"
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
        let asked = w.send_request_bytes(0, "POST", "/work", raw.as_bytes().to_vec());
        w.step(5_000);
        assert_eq!(w.answers.remove(&asked).map(|a| a.0), Some(400), "{raw}");
    }
    assert!(
        !w.kv
            .keys
            .keys()
            .any(|k| k.starts_with("job/") || k.starts_with("over/"))
    );
    assert_eq!(w.request(1, "GET", "/work/wk-1", Value::Null).0, 404);
    assert_eq!(
        w.request(1, "POST", "/work/wk-1/cancel", Value::Null).0,
        404
    );
}

/// What the protocol gives no ground to refuse is accepted, room or not.
#[test]
fn what_may_run_one_day_is_accepted() {
    let mut w = running();
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
        assert_eq!(w.submit(n % 3, &uid, change.clone()).0, 201, "{change}");
        assert_eq!(w.submit((n + 1) % 3, &uid, change).0, 200);
    }
    let mut short = job_submission("wk-99");
    for nullable in ["builds", "paddock", "dueS"] {
        short.as_object_mut().unwrap().remove(nullable);
    }
    assert_eq!(
        w.request(0, "POST", "/work", short).0,
        201,
        "what may be null may be missing"
    );
}

/// A type that no zone of the job offers can't be had there: refused; and accepted the moment that the cloud offers
/// it there. A repeat of what was accepted before is answered with its state whatever is offered now.
#[test]
fn a_job_bound_to_a_zone_that_offers_no_type_for_it_is_refused() {
    let mut w = running();
    let bound = json!({"paddock": "b", "cores": 16.0});
    assert_eq!(w.submit(0, "wk-1", bound.clone()).0, 201, "offered in both");
    w.big_type_only_in = Some("a");
    w.run(700.0);
    for node in 0..3 {
        let told = w.submit(node, "wk-1", bound.clone());
        assert_eq!(told.0, 200, "a repeat: {told:?}");
    }
    let leader = w.leader().expect("one leads");
    assert_eq!(w.submit(leader, "wk-2", bound.clone()).0, 422);
    assert_eq!(w.submit(leader, "wk-3", json!({"cores": 16.0})).0, 201);
    w.big_type_only_in = None;
    w.run(200.0);
    let leader = w.leader().expect("one leads");
    assert_eq!(w.submit(leader, "wk-2", bound).0, 201);
}

/// Repeats of a submission whose job runs, is done or cancelled, and cancellations of what is over, at every node,
/// while the lead changes: never refused for good, never another state.
#[test]
fn repeats_and_late_cancellations_are_answered_with_what_is() {
    let mut w = running();
    let leader = w.leader().expect("one leads");
    for uid in ["wk-1", "wk-2"] {
        assert_eq!(w.submit(leader, uid, json!({})).0, 201);
    }
    w.run(2.0);
    let at = w.worker_running("wk-1/0");
    w.workers[at].end_task("wk-1/0", "done");
    w.run(3.0);
    assert_eq!(
        w.request_with_retries(leader, "POST", "/work/wk-2/cancel", &Value::Null)
            .0,
        200
    );
    for turn in 0..6 {
        if turn == 2 {
            w.kill_controller(leader);
        }
        for node in (0..3)
            .filter(|n| w.controllers[*n].is_some())
            .collect::<Vec<_>>()
        {
            for (uid, status) in [("wk-1", "done"), ("wk-2", "cancelled")] {
                let again = w.request_with_retries(node, "POST", "/work", &job_submission(uid));
                assert_eq!((again.0, again.1["status"].as_str()), (200, Some(status)));
                let path = format!("/work/{uid}/cancel");
                let cancel = w.request_with_retries(node, "POST", &path, &Value::Null);
                assert_eq!((cancel.0, cancel.1["status"].as_str()), (200, Some(status)));
            }
        }
        w.run(0.7);
    }
    assert_eq!((w.start_count("wk-1/0"), w.start_count("wk-2/0")), (1, 1));
}
