//! Copies of old reports: to a leader that has heard nothing else, at every controller, over terms and sessions.

use crate::test_cluster::{TestCluster, job_submission};
use dewramp::clock::SECOND;
use dewramp::job_record::JobRecord;
use dewramp::jobs::JobTable;
use dewramp::task_id::TaskId;
use dewramp::wire::{Heartbeat, JobSpec};
use dewramp::worker_ledger::{TaskState, WorkerLedger};
use serde_json::{Value, json};
use std::sync::Arc;

/// Three controllers; two machines for one task each, both taken by the blue team. The task wk-1/0 has an earlier
/// attempt that was stopped, and runs again on the same machine. Returns the world, the leader, that machine, and
/// what it said: while the earlier attempt ran, once it was stopped, and once it was dropped.
fn again_on_the_same_machine() -> (TestCluster, usize, usize, [Value; 3]) {
    let (mut w, leader) = TestCluster::with_leader(&["a", "b"]);
    assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
    w.run(1.0);
    assert_eq!(w.submit(leader, "wk-2", json!({})).0, 201);
    w.run(2.0);
    let at = w.worker_running("wk-1/0");
    let running = w.workers[at].heartbeat();
    w.workers[at].end_task("wk-1/0", "stopped");
    let stopped = w.workers[at].heartbeat();
    let mut dropped = w.workers[at].heartbeat();
    dropped["parts"] = json!([]);
    w.run(4.0);
    assert_eq!(
        (w.start_count("wk-1/0"), w.worker_running("wk-1/0")),
        (2, at)
    );
    (w, leader, at, [running, stopped, dropped])
}

/// Sends a report to every controller in the same moment; nobody waits for the answers.
fn to_all(w: &mut TestCluster, report: &Value) {
    for node in 0..w.controllers.len() {
        if w.controllers[node].is_some() {
            w.send_request(node, "POST", "/checkin", report.clone());
        }
    }
}

/// ran_twice, quota: what an earlier attempt of a task came to says nothing of the one that is stored. Copies of
/// it are the first that a new leader hears, and the next one too, while the machine itself can't be reached.
#[test]
fn copies_that_tell_of_an_earlier_attempt_free_nothing_under_new_leaders() {
    for pick in [vec![0, 1], vec![0, 2], vec![1], vec![2], vec![0, 1, 2]] {
        let (mut w, leader, at, said) = again_on_the_same_machine();
        w.workers[at].partitioned = true;
        // The other machine has room for whatever is taken to be free.
        w.workers[1 - at].end_task("wk-2/0", "done");
        w.kill_controller(leader);
        w.run(4.0);
        for turn in 0..2 {
            let next = w.leader().expect("another node leads");
            for n in &pick {
                to_all(&mut w, &said[*n]);
                w.run(1.0);
            }
            w.run(2.0);
            assert_eq!(w.running_copies("wk-1/0"), 1, "{pick:?}, turn {turn}");
            assert_eq!(w.start_count("wk-1/0"), 2, "{pick:?}, turn {turn}: held");
            if turn == 0 {
                w.kill_controller(next);
                w.start_controller(leader, 3);
                w.run(5.0);
            }
        }
        // Its own word settles it.
        w.workers[at].partitioned = false;
        w.run(5.0);
        assert_eq!(
            (w.start_count("wk-1/0"), w.running_copies("wk-1/0")),
            (2, 1),
            "{pick:?}"
        );
        assert_eq!(w.submit(w.leader().unwrap(), "wk-3", json!({})).0, 201);
        w.run(3.0);
        assert_eq!(
            w.running_copies("wk-3/0"),
            1,
            "and the rest has its room back"
        );
    }
}

/// The same for a team at its limit: what the copy says has ended is charged until its machine has spoken.
#[test]
fn a_copy_that_tells_of_an_ending_credits_no_team() {
    let (mut w, leader, at, said) = again_on_the_same_machine();
    for n in 3..=6 {
        w.add_worker(&format!("m-{n}"), "small", "a");
    }
    w.run(3.0);
    // 16 cores are the limit of the red team.
    let red = json!({"owner": "red", "parts": 4});
    assert_eq!(w.submit(leader, "wk-7", red.clone()).0, 201);
    w.run(3.0);
    let held: Vec<usize> = (0..4)
        .map(|n| w.worker_running(&format!("wk-7/{n}")))
        .collect();
    let first = held[0];
    let mut ended = w.workers[first].heartbeat();
    ended["parts"][0]["status"] = json!("ended");
    ended["parts"][0]["cause"] = json!("error");
    ended["parts"][0]["try"] = json!(1);
    w.workers[first].heartbeat();
    w.workers[first].partitioned = true;
    w.workers[at].end_task("wk-1/0", "done");
    w.kill_controller(leader);
    w.run(4.0);
    to_all(&mut w, &ended);
    to_all(&mut w, &said[1]);
    for _ in 0..10 {
        w.run(1.0);
        let red = w.workers.iter().flat_map(|x| &x.tasks);
        let red = red.filter(|p| p.0.starts_with("wk-7/") && p.2 != "ended");
        assert!(red.count() <= 4, "over its limit");
    }
    w.workers[first].partitioned = false;
    w.run(5.0);
    assert_eq!(w.start_count("wk-7/0"), 1);
}

/// A copy with a spot notice, as the first word that a new leader hears, stops nothing: the notice is long over.
#[test]
fn a_copy_with_a_spot_notice_stops_nothing() {
    let (mut w, leader) = TestCluster::with_leader(&["a", "b"]);
    let long = json!({"guessS": 600.0});
    assert_eq!(w.submit(leader, "wk-1", long).0, 201);
    w.run(2.0);
    let at = w.worker_running("wk-1/0");
    let mut noticed = w.workers[at].heartbeat();
    noticed["warningS"] = json!(8.0);
    w.workers[at].heartbeat();
    // The new leader is told so before the machine has shown the new term: its own reports come late.
    w.workers[at].partitioned = true;
    w.workers[at].delayed_commands = Some(Vec::new());
    w.kill_controller(leader);
    w.run(4.0);
    to_all(&mut w, &noticed);
    w.run(1.0);
    let held = w.workers[at].delayed_commands.take().expect("kept");
    for body in held {
        w.workers[at].handle_command_call(&body);
    }
    w.workers[at].partitioned = false;
    w.run(3.0);
    assert_eq!(
        (w.start_count("wk-1/0"), w.running_copies("wk-1/0")),
        (1, 1)
    );
}

/// A copy of what a machine said in an earlier session, kept for two leaders on: neither its tasks nor its session
/// come back, and the machine is used again at once.
#[test]
fn a_copy_of_an_earlier_session_is_put_right_by_the_machine_itself() {
    let (mut w, leader) = TestCluster::with_leader(&["a", "b"]);
    assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
    w.run(2.0);
    let at = w.worker_running("wk-1/0");
    let old = w.workers[at].heartbeat();
    w.workers[at].partitioned = true;
    w.run(45.0);
    assert!(
        w.workers[1 - at].is_running("wk-1/0"),
        "moved: its lease is over"
    );
    w.workers[at].partitioned = false;
    w.run(5.0);
    for _ in 0..2 {
        let leader = w.leader().expect("one leads");
        w.workers[at].partitioned = true;
        w.kill_controller(leader);
        w.run(4.0);
        to_all(&mut w, &old);
        w.run(2.0);
        assert_eq!(
            (w.start_count("wk-1/0"), w.running_copies("wk-1/0")),
            (2, 1)
        );
        w.workers[at].partitioned = false;
        w.start_controller(leader, 3);
        w.run(4.0);
    }
    assert_eq!(w.submit(w.leader().unwrap(), "wk-2", json!({})).0, 201);
    w.run(3.0);
    assert!(w.workers[at].is_running("wk-2/0"));
    assert_eq!(
        (w.start_count("wk-1/0"), w.running_copies("wk-1/0")),
        (2, 1)
    );
}

/// Room and quota count a task once while its stored placement stands beside the attempt that a word of the term
/// before has told, and the word of this term leaves the attempt alone.
#[test]
fn a_stored_placement_and_what_it_became_are_charged_once() {
    let now = 10 * SECOND;
    let spec = JobSpec::parse(job_submission("wk-1").to_string().as_bytes()).expect("a job");
    let mut table = JobTable::default();
    let number = table.add(&JobRecord::new(spec.clone(), now, "n-1"), 1);
    let mut workers = WorkerLedger::new(2, now, 30 * SECOND, 3 * SECOND, Vec::new());
    let id: Arc<str> = "m-1".into();
    workers.add_registered_machine(id.clone(), "10.1.0.1:9000", "small", "a", false, now);
    let key = TaskId {
        job: number,
        index: 0,
    };
    assert!(workers.add_unconfirmed(&id, key, &Arc::new(spec), now));
    let said = |tally: u64, baton: u64, status: &str| -> Heartbeat {
        let part = json!({"part": "wk-1/0", "try": 7, "status": status, "cause": "stopped"});
        let report = json!({"host": "m-1", "addr": "10.1.0.1:9000", "build": "small", "paddock": "a", "loaners": false,
            "stint": 1, "tally": tally, "baton": baton, "parts": [part]});
        serde_json::from_value(report).expect("a report")
    };
    let old = 1 << 24;
    let held = |w: &WorkerLedger| -> Vec<(u64, TaskState)> {
        let held = w.machines[&id].tasks_holding_resources();
        held.map(|((_, attempt), e)| (*attempt, e.state)).collect()
    };
    workers.handle_heartbeat(now, said(1, old, "running"), None, None, &mut table);
    assert_eq!(held(&workers), [(7, TaskState::Running)]);
    workers.handle_heartbeat(now, said(2, old, "ended"), None, None, &mut table);
    assert_eq!(
        held(&workers),
        [(0, TaskState::Unconfirmed)],
        "another attempt may be there"
    );
    workers.handle_heartbeat(now, said(3, 2 * old, "ended"), None, None, &mut table);
    assert_eq!(held(&workers), [], "its word under this term");
}
