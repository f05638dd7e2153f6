//! What is held, and that each hold ends: machines that reach no controller, hang, fail, or don't hear.

use crate::test_cluster::TestCluster;
use dewramp::clock::{Micros, SECOND};
use serde_json::{Value, json};

const CANCEL: Micros = 50 * SECOND;

fn two() -> (TestCluster, usize) {
    TestCluster::with_leader(&["a", "b"])
}

/// A machine whose reports reach nobody obeys direct commands, and loses its lease all the same: it gets nothing
/// new until it reports again, under the leader that knew it and under one that never heard it. Its task is taken
/// to be there until its own answer shows that the session has moved on.
#[test]
fn a_mute_machine_loses_its_lease_and_gets_nothing_new() {
    for changes in [false, true] {
        let (mut w, leader) = two();
        let mut other = (leader + 1) % 3;
        assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
        w.run(2.0);
        let mute = w.worker_running("wk-1/0");
        w.workers[mute].outbound_partitioned = true;
        if changes {
            w.kill_controller(leader);
            other = (0..3).find(|n| *n != leader).unwrap();
        }
        for _ in 0..50 {
            w.run(1.0);
            assert!(w.running_copies("wk-1/0") <= 1, "changes: {changes}");
        }
        assert!(
            w.workers[1 - mute].is_running("wk-1/0"),
            "moved, changes: {changes}"
        );
        // The other machine is taken: whatever waits now has only the mute one.
        assert_eq!(
            w.request_with_retries(
                other,
                "POST",
                "/work",
                &crate::test_cluster::job_submission("wk-2")
            )
            .0,
            201
        );
        w.run(70.0);
        assert_eq!(
            w.start_count("wk-2/0"),
            0,
            "nothing new there, changes: {changes}"
        );
        assert_eq!(
            (w.running_copies("wk-1/0"), w.start_count("wk-1/0")),
            (1, 2)
        );
        let leader = w.leader().expect("one leads");
        let status = w.request(leader, "GET", "/inspect/status", Value::Null).1;
        let held = &status["machines_held"];
        assert_eq!(
            *held,
            json!({"outbound_partitioned": 1}),
            "and operators see why"
        );
        w.workers[mute].outbound_partitioned = false;
        w.run(6.0);
        assert!(
            w.workers[mute].is_running("wk-2/0"),
            "it reports again, changes: {changes}"
        );
    }
}

/// ran_cancelled: a cancellation on a mute machine is carried out directly, also by a leader that never heard it,
/// and what the machine answers renews nothing.
#[test]
fn a_cancellation_on_a_mute_machine_is_carried_out_directly() {
    for changes in [false, true] {
        let (mut w, leader) = two();
        assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
        w.run(2.0);
        let mute = w.worker_running("wk-1/0");
        w.workers[mute].outbound_partitioned = true;
        let lease_from = w.workers[mute].lease_renewed_at;
        let other = (leader + 1) % 3;
        if changes {
            w.kill_controller(leader);
        }
        assert_eq!(
            w.request_with_retries(other, "POST", "/work/wk-1/cancel", &Value::Null)
                .0,
            200
        );
        w.run(8.0);
        assert_eq!(w.running_copies("wk-1/0"), 0, "changes: {changes}");
        assert_eq!(
            w.workers[mute].lease_renewed_at, lease_from,
            "no lease was renewed"
        );
    }
}

/// ran_cancelled: eight users call off what runs, and its machines hang at that moment: whatever waits for them
/// there, held answers and copies of their reports included, keeps nothing alive past `cancel_s`.
#[test]
fn what_is_called_off_on_machines_that_hang_is_gone_in_time() {
    for hang_s in [2.0, 20.0, 33.0, 48.0, 70.0] {
        for changes in [false, true] {
            let (mut w, leader) = TestCluster::with_leader(&["a"; 8]);
            let uids: Vec<String> = (1..=8).map(|n| format!("wk-{n}")).collect();
            for uid in &uids {
                assert_eq!(w.submit(leader, uid, json!({})).0, 201);
            }
            w.run(3.0);
            let copies: Vec<Value> = (0..8).map(|n| w.workers[n].heartbeat()).collect();
            w.run(1.5);
            let other = (leader + 1) % 3;
            for (n, uid) in uids.iter().enumerate() {
                w.suspend_worker(w.worker_running(&format!("{uid}/0")));
                let path = format!("/work/{uid}/cancel");
                let asked = w.send_request(other, "POST", &path, Value::Null);
                w.step(25_000);
                if n == 4 && changes {
                    w.kill_controller(leader);
                }
                assert_eq!(w.answers.remove(&asked).map(|a| a.0), Some(200));
            }
            let told = w.now.steady;
            let mut hanging = true;
            while w.now.steady < told + CANCEL + 30 * SECOND {
                w.run(0.5);
                let since = w.now.steady - told;
                if since % (5 * SECOND) == 0 {
                    for c in &copies {
                        w.send_request(other, "POST", "/checkin", c.clone());
                    }
                }
                if hanging && since > (hang_s * 1e6) as Micros {
                    hanging = false;
                    (0..8).for_each(|n| w.resume_worker(n));
                }
                let left: usize = uids
                    .iter()
                    .map(|u| w.running_copies(&format!("{u}/0")))
                    .sum();
                assert!(
                    left == 0 || since < CANCEL,
                    "{left} left, hung for {hang_s} s"
                );
            }
            for uid in &uids {
                assert_eq!(w.start_count(&format!("{uid}/0")), 1, "hung for {hang_s} s");
            }
        }
    }
}

/// What waits for a machine that failed begins within 90 s of its being sound again, however often it was put
/// aside before: no hold grows past that.
#[test]
fn a_machine_that_was_sick_for_long_is_used_again_within_ninety_seconds() {
    let (mut w, leader) = TestCluster::with_leader(&["a", "a", "b"]);
    let sick = 2;
    // For some minutes whatever comes there fails after a second, while the same jobs do well elsewhere: it is put
    // aside again and again.
    for second in 0..345 {
        if second % 15 == 0 {
            let uid = format!("wk-1{second}");
            assert_eq!(w.submit(leader, &uid, json!({"parts": 10})).0, 201);
        }
        w.run(1.0);
        for (at, worker) in w.workers.iter_mut().enumerate() {
            for p in worker.tasks.iter_mut().filter(|p| p.2 == "running") {
                if at == sick {
                    (p.2, p.3) = ("ended", "error");
                } else if second % 5 == 0 {
                    (p.2, p.3) = ("ended", "done");
                }
            }
        }
    }
    // From now on it is sound, the others are taken, and work waits.
    let before = w.workers[sick].started_attempts.len();
    assert!(before > 4, "only {before} were started there");
    w.run(90.0);
    assert!(
        w.workers[sick].started_attempts.len() > before,
        "it is used again"
    );
}

/// Deaf, mute and silent machines, one after the other under changing leaders: once all is well, what waits begins
/// within seconds, and no machine stays out of use.
#[test]
fn after_all_troubles_every_machine_is_used_again() {
    let (mut w, leader) = TestCluster::with_leader(&["a", "b", "a", "b", "a", "b"]);
    for n in 1..=6 {
        assert_eq!(w.submit(leader, &format!("wk-{n}"), json!({})).0, 201);
    }
    w.run(2.0);
    w.workers[0].inbound_partitioned = true;
    w.workers[1].outbound_partitioned = true;
    w.workers[2].partitioned = true;
    w.suspend_worker(3);
    w.run(10.0);
    w.kill_controller(leader);
    w.run(25.0);
    w.start_controller(leader, 3);
    let next = w.leader().expect("another leads");
    w.kill_controller(next);
    w.run(20.0);
    w.start_controller(next, 3);
    (
        w.workers[0].inbound_partitioned,
        w.workers[1].outbound_partitioned,
        w.workers[2].partitioned,
    ) = (false, false, false);
    w.resume_worker(3);
    w.run(25.0);
    for n in 1..=6 {
        assert_eq!(
            w.running_copies(&format!("wk-{n}/0")),
            1,
            "wk-{n} has begun again"
        );
    }
}
