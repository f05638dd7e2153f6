//! Users look closely: right after they were told something they ask at all nodes, within milliseconds, and repeat
//! what they submitted. No node may say anything older.

use crate::test_cluster::{TestCluster, job_submission};
use serde_json::{Value, json};

/// What happened just before.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Just {
    Accepted,
    Ended,
    Cancelled,
}

/// What else goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Beside {
    Nothing,
    /// The state service refuses the node that told it; its users are answered by way of another.
    Refused,
    /// The leader ends in that moment.
    LeaderEnds,
    /// The leader gives the lead up in order.
    LeaderLeaves,
    /// The watch of the leader hangs.
    Untold,
}

fn three() -> (TestCluster, usize) {
    TestCluster::with_leader(&["a"; 3])
}

/// Brings the moment about by node `by`, and returns what the user was told.
fn moment(w: &mut TestCluster, just: Just, by: usize) -> &'static str {
    let accepted = w.request(by, "POST", "/work", job_submission("wk-1"));
    assert_eq!(accepted.0, 201);
    match just {
        Just::Accepted => "accepted",
        Just::Cancelled => {
            w.run(0.4);
            let told = w.request(by, "POST", "/work/wk-1/cancel", Value::Null);
            assert_eq!(
                (told.0, told.1["status"].as_str()),
                (200, Some("cancelled"))
            );
            "cancelled"
        }
        Just::Ended => {
            w.run(1.0);
            let at = w.worker_running("wk-1/0");
            w.workers[at].end_task("wk-1/0", "done");
            w.send_heartbeat(at);
            for _ in 0..1_000 {
                let told = w.request(by, "GET", "/work/wk-1", Value::Null);
                if told.1["status"] == "done" {
                    return "done";
                }
            }
            panic!("never done");
        }
    }
}

/// Whether an answer is older than what the user was told before.
fn older(told: &str, path: &str, answer: &(u16, Value)) -> bool {
    let status = answer.1["status"].as_str().unwrap_or("");
    match (told, answer.0) {
        // That it can't be told now is not an older answer.
        (_, 503) => false,
        ("accepted", 200) if path.ends_with("/cancel") => status != "cancelled",
        ("accepted", 200) => !["pending", "running", "cancelled"].contains(&status),
        (told, 200) => status != told,
        _ => true,
    }
}

/// {poll, repeat, cancel} x {just accepted, ended, cancelled} x {the same node, the leader, another, by way of
/// another, while the lead changes}: nothing older, at any step of some seconds.
#[test]
fn no_node_answers_anything_older_right_after() {
    use Beside::*;
    for just in [Just::Accepted, Just::Ended, Just::Cancelled] {
        for beside in [Nothing, Refused, LeaderEnds, LeaderLeaves, Untold] {
            for by in 0..3 {
                let (mut w, leader) = three();
                if beside == Untold {
                    w.watches_hang_for = Some((leader, false));
                }
                let told = moment(&mut w, just, by);
                match beside {
                    Refused => {
                        w.state_calls_refused_for = Some(by);
                        w.close_watch_connections(by);
                    }
                    LeaderEnds => w.kill_controller(leader),
                    LeaderLeaves => w.shut_down_controller(leader),
                    Nothing | Untold => {}
                }
                let mut asked = Vec::new();
                for turn in 0..60 {
                    for node in (0..3)
                        .filter(|n| w.controllers[*n].is_some())
                        .collect::<Vec<_>>()
                    {
                        let get = w.send_request(node, "GET", "/work/wk-1", Value::Null);
                        asked.push((get, node, "GET", "/work/wk-1"));
                        let again = w.send_request(node, "POST", "/work", job_submission("wk-1"));
                        asked.push((again, node, "POST", "/work"));
                        if told != "accepted" && turn % 3 == 0 {
                            let path = "/work/wk-1/cancel";
                            let cancel = w.send_request(node, "POST", path, Value::Null);
                            asked.push((cancel, node, "POST", path));
                        }
                    }
                    w.step([1_000, 4_000, 50_000][turn % 3]);
                }
                w.run(4.0);
                let mut answered = 0;
                for (conn, node, method, path) in asked {
                    let Some(answer) = w.answers.remove(&conn) else {
                        continue;
                    };
                    answered += usize::from(answer.0 == 200);
                    assert!(
                        !older(told, path, &answer),
                        "{method} {path} at {node} after {told} by {by}, {beside:?}: {answer:?}"
                    );
                }
                assert!(
                    answered >= 120,
                    "only {answered} were answered: {beside:?} {just:?}"
                );
            }
        }
    }
}

/// A cancel that meets the acceptance still being written, at the same node and at others: whatever the user is
/// told, it stays so, and no task runs once it was told to be cancelled.
#[test]
fn a_cancel_that_meets_the_acceptance_has_one_outcome() {
    for by in 0..3 {
        for steps in 0..6 {
            let (mut w, _) = three();
            let accept = w.send_request((by + 1) % 3, "POST", "/work", job_submission("wk-1"));
            for _ in 0..steps {
                w.step(2_000);
            }
            let cancel = w.send_request(by, "POST", "/work/wk-1/cancel", Value::Null);
            w.run(1.0);
            assert_eq!(w.answers.remove(&accept).map(|a| a.0), Some(201));
            let told = w.answers.remove(&cancel).expect("an answer");
            assert!([200, 404].contains(&told.0), "{told:?}");
            let expected = if told.0 == 200 {
                "cancelled"
            } else {
                "running"
            };
            w.run(3.0);
            for node in 0..3 {
                let now = w.request(node, "GET", "/work/wk-1", Value::Null).1;
                assert_eq!(now["status"], expected, "by {by}, {steps} steps");
            }
            assert_eq!(w.running_copies("wk-1/0"), usize::from(told.0 == 404));
        }
    }
}

/// A cancellation, a question and a repeated submission meet the end of a job's last task, at every step of its way
/// from the report to the store, with nothing else the matter: one outcome, told alike by all from the first time
/// that it is told, `done` only once it is stored, and no start after a cancellation.
#[test]
fn what_meets_the_end_of_the_last_task_has_one_outcome() {
    let mut outcomes = [0, 0];
    for parts in [1, 2] {
        for by in 0..3 {
            for step in 0..24 {
                let (mut w, _) = three();
                assert_eq!(w.submit(by, "wk-1", json!({"parts": parts})).0, 201);
                w.run(1.0);
                let last = format!("wk-1/{}", parts - 1);
                if parts == 2 {
                    let at = w.worker_running("wk-1/0");
                    w.workers[at].end_task("wk-1/0", "done");
                    w.run(2.0);
                }
                let at = w.worker_running(&last);
                w.workers[at].end_task(&last, "done");
                // Before its report, with it, and in each step of what follows.
                let mut conns = Vec::new();
                for n in 0..26 {
                    if n == 3 {
                        w.send_heartbeat(at);
                    }
                    if n == step {
                        let path = "/work/wk-1/cancel";
                        conns.push((w.send_request(by, "POST", path, Value::Null), n));
                    }
                    for node in 0..3 {
                        conns.push((w.send_request(node, "GET", "/work/wk-1", Value::Null), n));
                    }
                    let again = crate::test_cluster::job_submission("wk-1");
                    let mut again = again.clone();
                    again["parts"] = json!(parts);
                    conns.push((w.send_request((by + n) % 3, "POST", "/work", again), n));
                    w.step(1_000);
                    let over = w.kv.keys.contains_key("over/wk-1");
                    let told = conns.iter().filter_map(|c| w.answers.get(&c.0));
                    let said = told.filter(|a| a.1["status"] == "done").count();
                    assert!(said == 0 || over, "done before it is stored");
                }
                w.run(3.0);
                let starts = w.start_count(&last);
                let end = w.request(by, "GET", "/work/wk-1", Value::Null).1["status"].clone();
                let mut finals = std::collections::BTreeSet::new();
                for (conn, _) in conns {
                    let answer = w.answers.remove(&conn).expect("an answer");
                    assert_eq!(answer.0, 200, "{answer:?}");
                    let status = answer.1["status"].as_str().unwrap().to_owned();
                    if !["pending", "running"].contains(&&*status) {
                        finals.insert(status);
                    }
                }
                assert!(
                    finals.iter().all(|f| end == **f),
                    "{finals:?} and then {end}"
                );
                w.run(5.0);
                assert_eq!(w.start_count(&last), starts, "nothing starts any more");
                assert!(
                    w.workers.iter().all(|x| x.tasks.is_empty()),
                    "all is dropped"
                );
                outcomes[usize::from(end == "done")] += 1;
            }
        }
    }
    assert!(
        outcomes[0] > 20 && outcomes[1] > 20,
        "both came: {outcomes:?}"
    );
}
