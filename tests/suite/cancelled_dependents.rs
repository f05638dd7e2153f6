//! Answers about jobs that depend on a cancelled one, while the leader has not stored their final states yet: rule
//! `orphaned`, and `went_back` and `too_early` along with it. An answer to a user may not wait for work of the leader.

use crate::test_cluster::{SETTINGS, TestCluster, job_submission};
use dewramp::clock::SECOND;
use dewramp::dependency_cache::{Ancestry, DependencyCache, JobOutcome};
use serde_json::{Value, json};
use std::sync::Arc;

/// `cancel_s` of the sample settings.
const CANCEL_S: f64 = 50.0;

/// Three controllers, of which the returned one leads, and a running job `wk-0`. `wk-1` to `wk-4` wait in a chain behind it,
/// `wk-5` waits for `wk-0` and `wk-4`, and `wk-x` for nothing.
fn cluster_with_pipeline() -> (TestCluster, usize) {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b"]);
    let node = (leader + 1) % 3;
    assert_eq!(cluster.submit(node, "wk-0", json!({})).0, 201);
    assert_eq!(cluster.submit(node, "wk-x", json!({})).0, 201);
    for n in 1..=4 {
        submit_after(&mut cluster, node, n, &[n - 1]);
    }
    submit_after(&mut cluster, node, 5, &[0, 4]);
    cluster.run(4.0);
    assert_eq!(cluster.running_copies("wk-0/0"), 1);
    (cluster, leader)
}

fn uid(n: usize) -> String {
    format!("wk-{n}")
}

fn submit_after(cluster: &mut TestCluster, node: usize, n: usize, dependencies: &[usize]) {
    let names: Vec<String> = dependencies.iter().map(|d| uid(*d)).collect();
    let mut job = job_submission(&uid(n));
    job["waitsOn"] = json!(names);
    let answer = cluster.request_with_retries(node, "POST", "/work", &job);
    assert_eq!(answer.0, 201, "{}", uid(n));
}

fn cancel(cluster: &mut TestCluster, node: usize, uid: &str) {
    let path = format!("/work/{uid}/cancel");
    let answer = cluster.request_with_retries(node, "POST", &path, &Value::Null);
    assert_eq!(answer.1["status"], "cancelled", "{uid}");
}

/// The status that a poll at this node gives, after refusals.
fn polled_status(cluster: &mut TestCluster, node: usize, uid: &str) -> String {
    let answer = cluster.request_with_retries(node, "GET", &format!("/work/{uid}"), &Value::Null);
    assert_eq!(answer.0, 200, "{uid}");
    answer.1["status"].as_str().unwrap().to_owned()
}

/// orphaned: the first jobs of six pipelines are cancelled while the state service refuses the leader alone; a second later
/// it is down for longer than `cancel_s`. Once it was up, all controllers called the jobs after them pending until the
/// leader had written the final state of each.
#[test]
fn dependents_are_reported_cancelled_right_after_an_outage_that_followed_the_cancellation() {
    const PIPELINES: usize = 6;
    const JOBS: usize = 7;
    let slow_writes = SETTINGS.replace("write_rps = 1000.0", "write_rps = 25.0");
    let mut cluster = TestCluster::with_settings(3, &slow_writes);
    for n in 1..=PIPELINES {
        cluster.add_worker(&format!("m-{n}"), "small", "a");
    }
    cluster.run(6.0);
    let leader = cluster.leader().expect("a controller leads");
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    for pipeline in 0..PIPELINES {
        let first = JOBS * pipeline;
        let node = followers[pipeline % 2];
        let answer =
            cluster.request_with_retries(node, "POST", "/work", &job_submission(&uid(first)));
        assert_eq!(answer.0, 201);
        let middle: Vec<usize> = (first + 1..first + JOBS - 1).collect();
        for n in &middle {
            submit_after(&mut cluster, node, *n, &[first]);
        }
        submit_after(&mut cluster, node, first + JOBS - 1, &middle);
    }
    cluster.run(5.0);
    cluster.state_calls_refused_for = Some(leader);
    cluster.run(0.3);
    for pipeline in 0..PIPELINES {
        cancel(&mut cluster, followers[pipeline % 2], &uid(JOBS * pipeline));
    }
    cluster.run(1.0);
    cluster.set_state_service_down(true);
    cluster.state_calls_refused_for = None;
    cluster.run(CANCEL_S + 2.0);
    cluster.set_state_service_down(false);
    // Users ask at all controllers. Refusals and late answers are allowed, answers that call a job live are not.
    let mut answered = 0;
    let mut live = Vec::new();
    for _ in 0..40 {
        let mut asked = Vec::new();
        for n in (0..PIPELINES * JOBS).filter(|n| n % JOBS != 0) {
            for node in 0..3 {
                let path = format!("/work/{}", uid(n));
                asked.push((n, cluster.send_request(node, "GET", &path, Value::Null)));
            }
        }
        cluster.run(0.1);
        for (n, conn) in asked {
            let Some((200, body)) = cluster.answers.remove(&conn) else {
                continue;
            };
            answered += 1;
            if body["status"] != "cancelled" {
                live.push(uid(n));
            }
        }
    }
    assert!(answered > 0, "polls are answered");
    assert_eq!(
        live,
        Vec::<String>::new(),
        "called live by {answered} answers"
    );
}

/// orphaned and went_back: while the leader's writes for the dependents are not carried out, every controller says of each
/// of them that it is cancelled: to polls, to repeated submissions and to the submission of a further dependent; also a
/// controller that has just started, and one that forwards requests because the state service refuses it.
#[test]
fn every_controller_reports_dependents_as_cancelled_without_the_leader() {
    let (mut cluster, leader) = cluster_with_pipeline();
    let (node, restarted) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.kv.hold_transactions_with = Some("\"because\":\"wk-0\"");
    cluster.kill_controller(restarted);
    cluster.start_controller(restarted, 3);
    cluster.run(3.0);
    cancel(&mut cluster, node, "wk-0");
    for asked in [node, leader, restarted] {
        for n in (1..=5).rev() {
            assert_eq!(
                polled_status(&mut cluster, asked, &uid(n)),
                "cancelled",
                "{} at {asked}, leader {leader}",
                uid(n)
            );
        }
    }
    for asked in 0..3 {
        let mut repeated = job_submission("wk-3");
        repeated["waitsOn"] = json!(["wk-2"]);
        let answer = cluster.request_with_retries(asked, "POST", "/work", &repeated);
        assert_eq!((answer.0, &answer.1["status"]), (200, &json!("cancelled")));
        let mut further = job_submission(&format!("wk-9{asked}"));
        further["waitsOn"] = json!(["wk-3"]);
        let answer = cluster.request_with_retries(asked, "POST", "/work", &further);
        assert_eq!((answer.0, &answer.1["status"]), (201, &json!("cancelled")));
    }
    cluster.state_calls_refused_for = Some(node);
    cluster.run(1.0);
    assert_eq!(polled_status(&mut cluster, node, "wk-4"), "cancelled");
    cluster.state_calls_refused_for = None;
    assert!(
        !cluster.kv.keys.contains_key("over/wk-1"),
        "the leader has written nothing yet"
    );
    // The leader's writes follow, and what users were told stays true.
    cluster.kv.hold_transactions_with = None;
    cluster.run(5.0);
    for asked in 0..3 {
        for n in 1..=5 {
            assert_eq!(polled_status(&mut cluster, asked, &uid(n)), "cancelled");
            assert_eq!(cluster.start_count(&format!("{}/0", uid(n))), 0);
        }
        assert_eq!(polled_status(&mut cluster, asked, "wk-x"), "running");
    }
}

/// orphaned: a job that is submitted behind a chain whose first job was cancelled is told so in the first answer, by a
/// controller that has read nothing of the chain before.
#[test]
fn a_submission_behind_a_cancelled_chain_is_answered_with_cancelled() {
    let (mut cluster, leader) = cluster_with_pipeline();
    let restarted = (leader + 1) % 3;
    cluster.kv.hold_transactions_with = Some("\"because\":\"wk-0\"");
    cancel(&mut cluster, restarted, "wk-0");
    cluster.kill_controller(restarted);
    cluster.start_controller(restarted, 3);
    cluster.run(3.0);
    let mut further = job_submission("wk-6");
    further["waitsOn"] = json!(["wk-4", "wk-x"]);
    let answer = cluster.request_with_retries(restarted, "POST", "/work", &further);
    assert_eq!((answer.0, &answer.1["status"]), (201, &json!("cancelled")));
}

/// went_back: a dependency that was done, or whose cancellation came too late, cancels nothing: its dependents are reported
/// as live by every controller, also while one that was cancelled elsewhere is looked up.
#[test]
fn dependents_of_done_jobs_are_reported_live() {
    let (mut cluster, leader) = cluster_with_pipeline();
    let node = (leader + 1) % 3;
    for asked in 0..3 {
        assert_eq!(polled_status(&mut cluster, asked, "wk-5"), "pending");
    }
    let host = cluster.worker_running("wk-0/0");
    cluster.workers[host].end_task("wk-0/0", "done");
    cluster.run(3.0);
    assert_eq!(cluster.running_copies("wk-1/0"), 1);
    for asked in 0..3 {
        assert_eq!(polled_status(&mut cluster, asked, "wk-1"), "running");
        assert_eq!(polled_status(&mut cluster, asked, "wk-5"), "pending");
    }
    cluster.kv.hold_transactions_with = Some("\"because\":\"wk-2\"");
    cancel(&mut cluster, node, "wk-2");
    for asked in 0..3 {
        assert_eq!(polled_status(&mut cluster, asked, "wk-1"), "running");
        assert_eq!(polled_status(&mut cluster, asked, "wk-5"), "cancelled");
    }
}

/// forgotten: more ancestors than one transaction may have preconditions are checked in parts, and the polls are answered.
#[test]
fn a_job_with_more_ancestors_than_a_transaction_has_conditions_is_answered() {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b"]);
    let node = (leader + 1) % 3;
    for n in 0..150 {
        let answer = cluster.request_with_retries(node, "POST", "/work", &job_submission(&uid(n)));
        assert_eq!(answer.0, 201);
    }
    for (n, first) in [(200, 0), (201, 75)] {
        let dependencies: Vec<usize> = (first..first + 75).collect();
        submit_after(&mut cluster, node, n, &dependencies);
    }
    submit_after(&mut cluster, node, 202, &[200, 201]);
    cluster.run(3.0);
    for asked in 0..3 {
        assert_eq!(polled_status(&mut cluster, asked, "wk-202"), "pending");
    }
    cluster.kv.hold_transactions_with = Some("\"because\"");
    cancel(&mut cluster, node, "wk-149");
    for asked in 0..3 {
        assert_eq!(polled_status(&mut cluster, asked, "wk-202"), "cancelled");
        assert_eq!(polled_status(&mut cluster, asked, "wk-200"), "pending");
    }
    assert_eq!(cluster.kv.rejected_transactions, 0);
}

/// What the check of dependencies costs: a controller reads a waiting job and each job before it once; from then on one
/// transaction without changes answers the polls of a moment, as for a job without dependencies.
#[test]
fn repeated_polls_of_a_waiting_job_cost_one_request_each() {
    let (mut cluster, leader) = cluster_with_pipeline();
    let node = (leader + 1) % 3;
    let requests_of_a_poll = |cluster: &mut TestCluster, uid: &str| {
        // Other requests of the controllers come at most every 0.2 s.
        let mut fewest = usize::MAX;
        for _ in 0..10 {
            let before = cluster.kv.request_count;
            assert_eq!(
                cluster
                    .request(node, "GET", &format!("/work/{uid}"), Value::Null)
                    .0,
                200
            );
            fewest = fewest.min(cluster.kv.request_count - before);
        }
        fewest
    };
    assert_eq!(requests_of_a_poll(&mut cluster, "wk-x"), 1);
    assert_eq!(requests_of_a_poll(&mut cluster, "wk-5"), 1);
    assert_eq!(requests_of_a_poll(&mut cluster, "wk-4"), 1);
    assert!(cluster.now.steady > 10 * SECOND);
}

/// The final state of a dependency can't be read: a poll behind it ends before its user gives up, after 2 s, and does not
/// read it again and again until the request budget is used up.
#[test]
fn polls_behind_an_unreadable_final_state_end_in_time() {
    let (mut cluster, leader) = cluster_with_pipeline();
    cluster.kv.hold_transactions_with = Some("\"because\":\"wk-0\"");
    cancel(&mut cluster, (leader + 1) % 3, "wk-0");
    cluster.kv.keys.get_mut("over/wk-0").unwrap().0 = json!("unreadable");
    let conn = cluster.send_request((leader + 2) % 3, "GET", "/work/wk-5", Value::Null);
    cluster.run(2.0);
    assert!(cluster.answers.contains_key(&conn), "no answer within 2 s");
}

fn job(uid: &str) -> Arc<str> {
    uid.into()
}

/// The walk over the dependencies: each job is visited once, a job that is known to be done hides what is behind it, and a
/// read in flight makes the answer wait.
#[test]
fn the_ancestry_of_a_job_names_what_is_unread_and_what_is_unfinished() {
    let mut cache = DependencyCache::default();
    let ancestry = |cache: &DependencyCache, done: &[&str], cancelled: &[&str]| {
        cache.ancestry(
            &job("d"),
            |_| None,
            |uid| match () {
                () if done.contains(&uid) => Some(JobOutcome::Done),
                () if cancelled.contains(&uid) => Some(JobOutcome::Cancelled),
                () => None,
            },
        )
    };
    assert_eq!(
        ancestry(&cache, &[], &[]),
        Ancestry::Incomplete(vec![job("d")])
    );
    cache.insert(&job("d"), &[job("b"), job("c")]);
    cache.insert(&job("b"), &[job("a")]);
    assert_eq!(
        ancestry(&cache, &["c"], &[]),
        Ancestry::Incomplete(vec![job("a")])
    );
    assert_eq!(ancestry(&cache, &[], &["a"]), Ancestry::Cancelled);
    cache.insert(&job("c"), &[job("a")]);
    cache.insert(&job("a"), &[]);
    let unfinished =
        |uids: &[&str]| Ancestry::Unfinished(uids.iter().map(|uid| job(uid)).collect());
    assert_eq!(ancestry(&cache, &[], &[]), unfinished(&["a", "b", "c"]));
    assert_eq!(ancestry(&cache, &["b", "c"], &[]), unfinished(&[]));
    assert!(cache.begin_read(&job("a")));
    assert!(
        !cache.begin_read(&job("a")),
        "one read of each job at a time"
    );
    assert_eq!(
        ancestry(&cache, &[], &[]),
        Ancestry::Incomplete(vec![job("a")])
    );
    cache.end_read("a");
    assert_eq!(ancestry(&cache, &[], &[]), unfinished(&["a", "b", "c"]));
}
