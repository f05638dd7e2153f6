//! Transactions that are carried out at once and whose answers are lost, while other controllers read, tell and act
//! on what they wrote.

use crate::test_cluster::{TestCluster, job_submission};
use serde_json::{Value, json};

/// The kinds of writes, by a text that only they hold.
const KINDS: [&str; 9] = [
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

fn started(kind: &'static str, count: usize) -> TestCluster {
    let mut w = TestCluster::new(3);
    w.kv.lose_answers_with = Some((kind, count));
    for n in 1..=4 {
        w.add_worker(
            &format!("m-{n}"),
            "small",
            if n % 2 == 0 { "b" } else { "a" },
        );
    }
    w.run(8.0);
    w
}

/// Asks as a user does, until it is no refusal, and looks at all nodes right after: none contradicts it.
fn told(w: &mut TestCluster, node: usize, method: &str, path: &str, body: &Value) -> Value {
    let answer = w.request_with_retries(node, method, path, body);
    assert!(
        [200, 201].contains(&answer.0),
        "{method} {path}: {answer:?}"
    );
    let uid = answer.1["uid"].as_str().unwrap().to_owned();
    let status = answer.1["status"].clone();
    for other in 0..3 {
        if w.controllers[other].is_none() {
            continue;
        }
        let look = w.request(other, "GET", &format!("/work/{uid}"), Value::Null);
        if look.0 == 503 {
            continue;
        }
        assert_eq!(look.0, 200, "{method} {path} at {other}: {look:?}");
        if status == "done" || status == "cancelled" {
            assert_eq!(look.1["status"], status, "{method} {path} at {other}");
        }
    }
    answer.1
}

/// forgotten, went_back, ran_twice, not_done: each kind of write, the first few of it or all for a while, loses its
/// answer; the leader ends in the middle or not. Every answer stands, every task runs once, all is done at last.
#[test]
fn a_lost_answer_of_any_write_contradicts_nothing() {
    for kind in KINDS {
        for count in [1, 3, 12] {
            for ends in [false, true] {
                let what = format!("{kind} {count} {ends}");
                let mut w = started(kind, count);
                let one = (w.leader().unwrap_or(0) + 1) % 3;
                told(&mut w, one, "POST", "/work", &job_submission("wk-1"));
                told(
                    &mut w,
                    (one + 1) % 3,
                    "POST",
                    "/work",
                    &job_submission("wk-2"),
                );
                let mut two = job_submission("wk-3");
                two["parts"] = json!(2);
                told(&mut w, one, "POST", "/work", &two);
                w.run(3.0);
                if let Some((_, left)) = &mut w.kv.lose_answers_with {
                    *left = count;
                }
                told(&mut w, one, "POST", "/work/wk-2/cancel", &Value::Null);
                if let Some(leader) = w.leader().filter(|l| ends && *l != one) {
                    w.kill_controller(leader);
                    w.run(0.3);
                    w.start_controller(leader, 3);
                }
                w.run(8.0);
                for part in ["wk-1/0", "wk-3/0", "wk-3/1"] {
                    assert_eq!(
                        (w.running_copies(part), w.start_count(part)),
                        (1, 1),
                        "{what}: {part}"
                    );
                }
                assert_eq!(w.running_copies("wk-2/0"), 0, "{what}");
                for part in ["wk-1/0", "wk-3/0"] {
                    let at = w.worker_running(part);
                    w.workers[at].end_task(part, "done");
                    w.send_heartbeat(at);
                }
                for node in 0..3 {
                    let answer = told(&mut w, node, "GET", "/work/wk-3", &Value::Null);
                    assert_eq!(answer["status"], "running", "{what}: one task is left");
                }
                w.run(4.0);
                let answer = told(&mut w, one, "POST", "/work/wk-1/cancel", &Value::Null);
                assert_eq!(answer["status"], "done", "{what}");
                assert_eq!(
                    told(&mut w, one, "POST", "/work", &job_submission("wk-1"))["status"],
                    "done"
                );
                let at = w.worker_running("wk-3/1");
                w.workers[at].end_task("wk-3/1", "done");
                w.run(8.0);
                for node in 0..3 {
                    for (uid, status) in [("wk-1", "done"), ("wk-2", "cancelled"), ("wk-3", "done")]
                    {
                        let path = format!("/work/{uid}");
                        let answer = told(&mut w, node, "GET", &path, &Value::Null);
                        assert_eq!(answer["status"], status, "{what}: {uid} at {node}");
                    }
                }
                assert!(
                    w.workers.iter().all(|x| x.tasks.is_empty()),
                    "{what}: all dropped"
                );
                assert!(!w.kv.keys.keys().any(|k| k.starts_with("job/")), "{what}");
                w.run(3.0);
                assert!(
                    !w.kv.keys.keys().any(|k| k.starts_with("stopping/")),
                    "{what}"
                );
            }
        }
    }
}

/// A placement is stored and its writer is not told; another controller that takes over finds it, holds and charges
/// it, and has it run once its machine has spoken.
#[test]
fn a_placement_stored_without_an_answer_is_held_by_the_next_leader() {
    let mut w = started("job/wk-1", 0);
    let leader = w.leader().expect("one node leads");
    assert_eq!(
        w.submit(leader, "wk-1", json!({"owner": "red", "parts": 4}))
            .0,
        201
    );
    w.kv.lose_answers_with = Some(("job/wk-1", 50));
    w.run(0.2);
    assert!(
        w.kv.keys["job/wk-1"].0.to_string().contains("m-1"),
        "stored"
    );
    let unheard = 2;
    w.workers[unheard].partitioned = true;
    w.kill_controller(leader);
    w.kv.lose_answers_with = None;
    w.run(8.0);
    for _ in 0..10 {
        w.run(0.5);
        let starts: usize = (0..4).map(|n| w.start_count(&format!("wk-1/{n}"))).sum();
        assert_eq!(
            starts, 3,
            "the fourth may be on the machine that has not spoken"
        );
    }
    w.workers[unheard].partitioned = false;
    w.run(6.0);
    for n in 0..4 {
        let part = format!("wk-1/{n}");
        assert_eq!((w.running_copies(&part), w.start_count(&part)), (1, 1));
    }
}

/// A taker's own write of the leader key is not answered: it knows the key for its own, by its run, and one of its
/// former life for what it is.
#[test]
fn a_taker_knows_its_own_key_and_that_of_a_former_life() {
    for back in [false, true] {
        let mut w = started("\"leader\"", 0);
        assert_eq!(w.submit(0, "wk-1", json!({})).0, 201);
        w.run(2.0);
        let leader = w.leader().expect("one node leads");
        let term = w.kv.keys["term"].0.clone();
        w.kv.lose_answers_with = Some(("\"leader\"", 3));
        w.kill_controller(leader);
        if back {
            w.start_controller(leader, 3);
        }
        w.run(12.0);
        assert!(w.leader().is_some(), "one leads, back: {back}");
        assert_ne!(w.kv.keys["term"].0, term, "under a new term");
        assert_eq!(
            (w.running_copies("wk-1/0"), w.start_count("wk-1/0")),
            (1, 1)
        );
        assert_eq!(w.submit((leader + 1) % 3, "wk-2", json!({})).0, 201);
        w.run(2.0);
        assert_eq!(w.running_copies("wk-2/0"), 1);
    }
}
