//! Two troubles at once: where rules break.

use crate::test_cluster::TestCluster;
use dewramp::cancellation_freshness::{self, CancellationFreshness};
use dewramp::clock::{Micros, Now, SECOND};
use dewramp::messages::Input;
use dewramp::registry::{MachineRegistry, RegistryRequest, WriteResult};
use dewramp::schema::Schema;
use dewramp::wire::KIND_CANCELLED;
use dewramp::worker_ledger::WorkerLedger;
use serde_json::{Value, json};

const CANCEL: Micros = 50 * SECOND;

/// Three controllers and two machines; the leader, and one that does not lead.
fn three() -> (TestCluster, usize, usize) {
    let (w, leader) = TestCluster::with_leader(&["a", "b"]);
    (w, leader, (leader + 1) % 3)
}

fn cancel(w: &mut TestCluster, node: usize, uid: &str) {
    let path = format!("/work/{uid}/cancel");
    let told = w.request(node, "POST", &path, Value::Null);
    assert_eq!(
        (told.0, told.1["status"].as_str()),
        (200, Some("cancelled"))
    );
}

/// A word of another controller, whose answer nobody waits for.
fn word(kind: u16, body: Vec<u8>) -> Input {
    Input::PeerRequest {
        conn: 999_999,
        ticket: 1,
        kind,
        timeout: SECOND,
        subject: "n-9".to_owned(),
        body,
    }
}

/// ran_cancelled: the leader's watch hangs while its grant is renewed, so that it is told of no
/// cancellation. It must not keep the task alive by its answers for longer than `cancel_s` allows.
#[test]
fn a_leader_that_is_told_of_no_change_stops_renewing_leases_in_time() {
    let (mut w, leader, other) = three();
    assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
    w.run(1.0);
    assert_eq!(w.running_copies("wk-1/0"), 1);
    w.watches_hang_for = Some((leader, true));
    w.run(0.1);
    cancel(&mut w, other, "wk-1");
    let told = w.now.steady;
    while w.now.steady < told + CANCEL {
        w.run(0.5);
    }
    assert_eq!(w.running_copies("wk-1/0"), 0, "gone within cancel_s");
    assert_eq!(w.start_count("wk-1/0"), 1);
}

/// The same for what is not cancelled: another controller leads before the answers have to end, and no
/// lease runs out.
#[test]
fn a_leader_that_is_told_of_no_change_lets_another_lead() {
    let (mut w, leader, other) = three();
    assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
    w.run(1.0);
    w.watches_hang_for = Some((leader, true));
    w.run(40.0);
    assert!(w.leader().is_some_and(|l| l != leader));
    assert_eq!(
        (w.start_count("wk-1/0"), w.running_copies("wk-1/0")),
        (1, 1)
    );
    assert_eq!(w.submit(other, "wk-2", json!({})).0, 201);
    w.run(1.0);
    assert_eq!(w.running_copies("wk-2/0"), 1);
}

/// How old knowledge may be, by the settings alone; and that a gap in leading is caught up first.
#[test]
fn knowledge_is_good_for_what_cancel_s_leaves_beyond_the_lease() {
    let good = cancellation_freshness::validity_from_settings(31 * SECOND, 51 * SECOND);
    assert!((16 * SECOND..17 * SECOND).contains(&good), "{good}");
    assert!(cancellation_freshness::cancellation_slack(31 * SECOND, 34 * SECOND).is_none());
    assert_eq!(
        cancellation_freshness::validity_from_settings(31 * SECOND, 30 * SECOND),
        SECOND
    );
    let short = CancellationFreshness::new(SECOND, 100 * SECOND);
    assert!(!short.is_fresh(102 * SECOND, 0) && !short.is_refresh_stuck(102 * SECOND, 0));
    assert!(short.is_refresh_stuck(105 * SECOND, 0));
    let mut known = CancellationFreshness::new(good, 100 * SECOND);
    let took = 100 * SECOND - 1;
    assert!(known.is_fresh(100 * SECOND + good - 1, took));
    assert!(!known.is_fresh(100 * SECOND + good, took));
    // Proof counts from when it was asked for, not from when it came, and never backwards.
    known.note_proof(105 * SECOND);
    known.note_proof(103 * SECOND);
    assert!(known.is_fresh(105 * SECOND + good - 1, took));
    assert!(!known.is_fresh(105 * SECOND + good, took));
    // The lead was lost and came back: what was asked before proves nothing of the time between.
    let back = 106 * SECOND;
    assert!(!known.is_fresh(back + SECOND, back));
    assert!(known.should_refresh(back + SECOND, back), "asked at once");
    assert!(
        !known.should_refresh(back + 2 * SECOND, back),
        "one question at a time"
    );
    known.refresh_answered();
    known.note_proof(back + SECOND);
    assert!(known.is_fresh(back + 2 * SECOND, back));
    assert!(
        !known.should_refresh(back + 2 * SECOND, back),
        "it is fresh"
    );
    assert!(known.should_refresh(back + SECOND + good / 3, back));
    assert!(!known.is_refresh_stuck(back + SECOND + good / 2, back));
    assert!(known.is_refresh_stuck(back + SECOND + good * 2 / 3, back));
}

/// A watch that hangs costs nothing: what changed is asked for ahead of it.
#[test]
fn a_leader_whose_watch_hangs_asks_for_what_has_changed() {
    let (mut w, leader, other) = three();
    assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
    w.run(1.0);
    w.watches_hang_for = Some((leader, false));
    w.run(0.1);
    cancel(&mut w, other, "wk-1");
    w.run(8.0);
    assert_eq!(w.running_copies("wk-1/0"), 0);
    assert_eq!(w.leader(), Some(leader), "it never stopped leading");
}

/// ran_cancelled, the gap: the state service refuses the leader alone, another controller confirms a
/// cancellation, then the state service is down for all, for longer than `cancel_s`. The grant outlives it.
/// A start that was stored before and never sent may not go out after.
#[test]
fn a_start_stored_before_a_gap_waits_until_the_leader_has_caught_up() {
    let (mut w, leader, other) = three();
    w.workers[1].partitioned = true;
    w.run(1.0);
    // The placement is stored; the answer that says so comes when the leader may not act any more.
    w.delay_answers_with = Some("m-1");
    assert_eq!(w.submit(other, "wk-1", json!({})).0, 201);
    w.run(0.3);
    assert!(
        w.kv.keys["job/wk-1"].0.to_string().contains("m-1"),
        "stored"
    );
    w.delay_answers_with = None;
    w.state_calls_refused_for = Some(leader);
    w.close_watch_connections(leader);
    w.watches_hang_for = Some((leader, false));
    cancel(&mut w, other, "wk-1");
    w.set_state_service_down(true);
    while w.leader().is_some() {
        w.run(0.1);
    }
    w.deliver_delayed_answers();
    w.run(63.0);
    assert_eq!(w.start_count("wk-1/0"), 0);
    w.state_calls_refused_for = None;
    w.set_state_service_down(false);
    w.run(0.5);
    assert_eq!(w.leader(), Some(leader), "its grant outlived the outage");
    w.run(10.0);
    assert_eq!(
        w.start_count("wk-1/0"),
        0,
        "cancelled more than cancel_s ago"
    );
    assert_eq!(w.submit(other, "wk-2", json!({})).0, 201);
    w.run(1.0);
    assert_eq!(w.running_copies("wk-2/0"), 1, "it leads on");
}

/// The same with tasks that run: whatever the leader is refused and for how long, they are gone in time.
#[test]
fn tasks_cancelled_while_the_leader_is_refused_are_gone_in_time() {
    for outage_after in [0.2, 0.7, 1.2, 2.0] {
        let (mut w, leader, other) = three();
        assert_eq!(w.submit(other, "wk-1", json!({"parts": 2})).0, 201);
        w.run(1.0);
        assert_eq!(w.running_copies("wk-1/0") + w.running_copies("wk-1/1"), 2);
        w.state_calls_refused_for = Some(leader);
        cancel(&mut w, other, "wk-1");
        let told = w.now.steady;
        w.run(outage_after);
        w.set_state_service_down(true);
        w.run(14.0);
        w.state_calls_refused_for = None;
        while w.now.steady < told + CANCEL {
            w.run(0.5);
        }
        assert_eq!(
            w.running_copies("wk-1/0") + w.running_copies("wk-1/1"),
            0,
            "{outage_after}"
        );
        w.set_state_service_down(false);
        w.run(10.0);
        assert_eq!(
            w.start_count("wk-1/0") + w.start_count("wk-1/1"),
            2,
            "never again"
        );
    }
}

/// ran_cancelled: a new leader hears a machine for the first time by a report that lists a cancelled task.
/// Commands to that machine are lost, answers to its reports arrive: the first of them stops the task, for
/// it renews the lease.
#[test]
fn the_first_answer_to_a_machine_stops_what_was_cancelled() {
    let (mut w, leader, other) = three();
    assert_eq!(w.submit(other, "wk-1", json!({})).0, 201);
    w.run(1.0);
    let at = w.worker_running("wk-1/0");
    w.workers[at].partitioned = true;
    w.kill_controller(leader);
    w.run(0.1);
    cancel(&mut w, other, "wk-1");
    w.run(8.0);
    let next = w.leader().expect("another node leads");
    assert_ne!(next, leader);
    w.workers[at].partitioned = false;
    w.workers[at].commands_hang = true;
    w.workers[at].controller = next;
    // It has seen the new term already, by an answer before it was out of reach.
    w.send_heartbeat(at);
    w.step(10_000);
    assert!(
        !w.workers[at].is_running("wk-1/0"),
        "stopped by the answer itself"
    );
}

/// Cuts a node from all others.
fn cut_peers(w: &mut TestCluster, node: usize) {
    w.cut_links = (0..w.controllers.len())
        .filter(|n| *n != node)
        .map(|n| (node, n))
        .collect();
}

/// went_back, ran_cancelled: a leader without state service and peers, which workers and users still reach,
/// answers neither of them past its grant, at once, and says so to the load balancer.
#[test]
fn a_leader_cut_from_state_service_and_peers_sends_everybody_away() {
    let (mut w, leader, other) = three();
    assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
    w.run(1.0);
    let at = w.worker_running("wk-1/0");
    for worker in &mut w.workers {
        worker.controller = leader;
    }
    w.run(1.0);
    w.state_calls_refused_for = Some(leader);
    cut_peers(&mut w, leader);
    w.run(4.0);
    let next = w.leader().expect("another leads");
    assert_ne!(next, leader);
    cancel(&mut w, other, "wk-1");
    for (method, path) in [
        ("GET", "/up"),
        ("GET", "/work/wk-1"),
        ("POST", "/work/wk-1/cancel"),
    ] {
        let began = w.now.steady;
        assert_eq!(
            w.request(leader, method, path, Value::Null).0,
            503,
            "{path}"
        );
        assert!(w.now.steady - began <= SECOND / 10, "{path}: at once");
    }
    assert!(
        w.controllers[leader]
            .as_ref()
            .expect("it runs")
            .is_isolated()
    );
    w.run(4.0);
    assert!(
        w.workers.iter().all(|x| x.controller != leader),
        "workers have gone"
    );
    assert!(!w.workers[at].is_running("wk-1/0"));
    // It heals, and serves at once.
    w.state_calls_refused_for = None;
    w.cut_links.clear();
    w.run(2.0);
    assert_eq!(w.request(leader, "GET", "/up", Value::Null).0, 200);
    let told = w.request(leader, "GET", "/work/wk-1", Value::Null);
    assert_eq!(told.1["status"], "cancelled");
}

/// The same for a second only: nothing is lost by it.
#[test]
fn a_cut_from_both_that_heals_within_its_grant_costs_nothing() {
    let (mut w, leader, other) = three();
    assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
    w.run(1.0);
    w.state_calls_refused_for = Some(leader);
    cut_peers(&mut w, leader);
    w.run(0.5);
    w.state_calls_refused_for = None;
    w.cut_links.clear();
    w.run(2.0);
    assert_eq!(w.leader(), Some(leader));
    cancel(&mut w, other, "wk-1");
    w.run(2.0);
    assert_eq!(w.running_copies("wk-1/0"), 0);
}

/// A state service that is down for all cuts nobody off: the controllers reach each other, and all stay in
/// rotation, so that users are served the moment it is back.
#[test]
fn an_outage_for_all_is_not_taken_for_being_cut_off() {
    let (mut w, _, _) = three();
    w.set_state_service_down(true);
    w.run(30.0);
    for node in 0..3 {
        assert_eq!(
            w.request(node, "GET", "/up", Value::Null).0,
            200,
            "node {node}"
        );
    }
    w.set_state_service_down(false);
    w.run(1.0);
    assert_eq!(w.submit(0, "wk-1", json!({})).0, 201);
}

/// Reports of a machine arrive, answers and commands don't. Its lease runs out, its task runs elsewhere,
/// and it gets nothing new before it has shown that it hears.
#[test]
fn a_deaf_machine_gets_no_new_starts_until_it_has_shown_that_it_hears() {
    let (mut w, _, other) = three();
    assert_eq!(w.submit(other, "wk-1", json!({})).0, 201);
    w.run(1.0);
    let deaf = w.worker_running("wk-1/0");
    w.workers[deaf].inbound_partitioned = true;
    w.run(40.0);
    assert_eq!(w.running_copies("wk-1/0"), 1);
    assert!(
        w.workers[1 - deaf].is_running("wk-1/0"),
        "moved once its lease was over"
    );
    // The other machine is full: what waits may not be sent to one that does not hear.
    assert_eq!(w.submit(other, "wk-2", json!({})).0, 201);
    w.run(10.0);
    let placed = w.kv.keys["job/wk-2"].0.to_string();
    let name = w.workers[deaf].id.clone();
    assert!(!placed.contains(&name), "{placed}");
    w.workers[deaf].inbound_partitioned = false;
    w.run(5.0);
    assert!(w.workers[deaf].is_running("wk-2/0"), "it hears again");
}

/// ran_twice, quota: a new leader's first word of a machine is a report that arrives, while nothing it
/// answers does. What is stored there is held until the lease is surely over.
#[test]
fn a_new_leader_holds_what_a_deaf_machine_may_run() {
    let (mut w, leader, other) = three();
    assert_eq!(w.submit(other, "wk-1", json!({})).0, 201);
    w.run(1.0);
    let deaf = w.worker_running("wk-1/0");
    w.workers[deaf].inbound_partitioned = true;
    w.kill_controller(leader);
    for _ in 0..60 {
        w.run(1.0);
        assert!(w.running_copies("wk-1/0") <= 1);
    }
    w.workers[deaf].inbound_partitioned = false;
    w.run(10.0);
    assert_eq!(w.running_copies("wk-1/0"), 1, "it runs, somewhere");
}

/// A report as it stands now, to arrive once more later.
fn copy(w: &mut TestCluster, worker: usize) -> Value {
    w.workers[worker].heartbeat()
}

/// ran_twice: the copy was made before the task came, and arrives when it runs: to the leader that knows
/// better, and first of all to a new one that has heard nothing else of that machine.
#[test]
fn a_late_copy_of_a_report_frees_nothing() {
    let (mut w, leader, other) = three();
    let empty = [copy(&mut w, 0), copy(&mut w, 1)];
    w.run(2.0);
    assert_eq!(w.submit(other, "wk-1", json!({})).0, 201);
    w.run(2.0);
    let at = w.worker_running("wk-1/0");
    for wait in [2.0, 10.0, 45.0] {
        w.run(wait);
        w.send_request(leader, "POST", "/checkin", empty[at].clone());
        w.run(2.0);
        assert_eq!(w.start_count("wk-1/0"), 1, "after {wait} s");
    }
    w.workers[at].partitioned = true;
    w.kill_controller(leader);
    w.run(6.0);
    let next = w.leader().expect("another leads");
    w.send_request(next, "POST", "/checkin", empty[at].clone());
    w.run(10.0);
    assert_eq!(
        w.start_count("wk-1/0"),
        1,
        "held: the copy shows no new token"
    );
    w.workers[at].partitioned = false;
    w.run(5.0);
    assert_eq!(
        (w.start_count("wk-1/0"), w.running_copies("wk-1/0")),
        (1, 1)
    );
}

/// A machine is gone and forgotten; a copy of what it said brings back neither it nor its tasks.
#[test]
fn a_late_copy_of_a_machine_that_is_gone_is_no_capacity() {
    let (mut w, leader, other) = three();
    assert_eq!(w.submit(other, "wk-1", json!({})).0, 201);
    w.run(2.0);
    let at = w.worker_running("wk-1/0");
    let last = copy(&mut w, at);
    w.run(2.0);
    w.workers.remove(at);
    w.run(75.0);
    assert_eq!(w.running_copies("wk-1/0"), 1, "moved");
    let end = w.workers[0].id.clone();
    w.send_request(leader, "POST", "/checkin", last);
    w.run(1.0);
    assert_eq!(w.submit(other, "wk-2", json!({})).0, 201);
    w.run(5.0);
    assert!(
        !w.kv.keys["job/wk-2"]
            .0
            .to_string()
            .contains("placed\":{\"m"),
        "nowhere to go"
    );
    w.workers[0].end_task("wk-1/0", "done");
    w.run(4.0);
    assert!(w.workers[0].is_running("wk-2/0"), "it waited for {end}");
}

/// not_done, went_back: the tasks of a job end far apart, each ending told to a leader that ends before it
/// could be stored.
#[test]
fn endings_far_apart_over_changes_of_leader_make_a_job_done_once_all_are_there() {
    let (mut w, _, _) = three();
    w.add_worker("m-3", "small", "a");
    w.run(2.0);
    assert_eq!(w.submit(0, "wk-1", json!({"parts": 3})).0, 201);
    w.run(2.0);
    for part in 0..3 {
        let leader = w.leader().expect("one leads");
        let name = format!("wk-1/{part}");
        let at = w.worker_running(&name);
        w.workers[at].end_task(&name, "done");
        // Told, and the leader ends in the same moment.
        w.workers[at].controller = leader;
        w.send_heartbeat(at);
        w.kill_controller(leader);
        w.run(9.0);
        w.start_controller(leader, 3);
        w.run(7.0);
        let told = w.request(leader, "GET", "/work/wk-1", Value::Null).1;
        let expected = if part < 2 { "running" } else { "done" };
        assert_eq!(told["status"], expected, "{part}: {told}");
        assert_eq!(told["done"], part + 1);
    }
    for part in 0..3 {
        assert_eq!(w.start_count(&format!("wk-1/{part}")), 1);
    }
}

/// went_back: a cancellation's write gets no answer and is carried out late, after the user has got the
/// answer to a repeat of it; and one that comes when the job is done changes nothing.
#[test]
fn a_cancellation_carried_out_late_contradicts_no_answer() {
    for done_before in [false, true] {
        let (mut w, _, other) = three();
        assert_eq!(w.submit(other, "wk-1", json!({})).0, 201);
        w.run(1.0);
        w.kv.hold_transactions_with = Some("over/wk-1");
        assert_eq!(
            w.request(other, "POST", "/work/wk-1/cancel", Value::Null).0,
            503
        );
        w.kv.hold_transactions_with = None;
        if done_before {
            let at = w.worker_running("wk-1/0");
            w.workers[at].end_task("wk-1/0", "done");
            w.run(4.0);
        }
        let told = w.request(other, "POST", "/work/wk-1/cancel", Value::Null).1["status"].clone();
        assert_eq!(told, if done_before { "done" } else { "cancelled" });
        for late in std::mem::take(&mut w.kv.held_transactions) {
            assert_eq!(w.kv.txn(&late).0, 409, "its condition never comes back");
        }
        w.run(3.0);
        for node in 0..3 {
            assert_eq!(
                w.request(node, "GET", "/work/wk-1", Value::Null).1["status"],
                told
            );
        }
    }
}

/// went_back: an outage in the middle of a cancellation's write, whose result nobody knows. The next answer
/// is the store's, and polls at every node agree with it.
#[test]
fn an_outage_in_the_middle_of_a_cancellation_leaves_one_answer() {
    let (mut w, _, other) = three();
    assert_eq!(w.submit(other, "wk-1", json!({})).0, 201);
    w.run(1.0);
    w.delay_answers_with = Some("over/wk-1");
    let asked = w.send_request(other, "POST", "/work/wk-1/cancel", Value::Null);
    w.run(0.1);
    w.set_state_service_down(true);
    w.delay_answers_with = None;
    let delayed = std::mem::take(&mut w.delayed_answers);
    for (node, ticket, _) in delayed {
        w.delayed_answers
            .push((node, ticket, dewramp::messages::Outcome::Lost));
    }
    w.deliver_delayed_answers();
    w.run(2.0);
    assert_eq!(w.answers.remove(&asked).map(|a| a.0), Some(503));
    assert_eq!(
        w.request(other, "GET", "/work/wk-1", Value::Null).0,
        503,
        "no answer from memory"
    );
    w.run(60.0);
    w.set_state_service_down(false);
    w.run(2.0);
    for node in 0..3 {
        assert_eq!(
            w.request(node, "GET", "/work/wk-1", Value::Null).1["status"],
            "cancelled"
        );
    }
    cancel(&mut w, other, "wk-1");
    assert_eq!(w.running_copies("wk-1/0"), 0);
}

/// A write that was to create a page of the roll has no answer; the page is created by its repeat, and later
/// its machines move. Carried out then, the first write would bring the page back with the marks of then.
#[test]
fn a_page_whose_creation_is_in_doubt_is_emptied_and_not_deleted() {
    let layout = |value_bytes| Schema {
        version: 2,
        value_bytes,
        txn_ops: 20,
    };
    for lost in [false, true] {
        let mut now = Now {
            steady: 10 * SECOND,
            wall: 1_000 * SECOND,
        };
        let mut workers = WorkerLedger::new(1, now.steady, 30 * SECOND, 3 * SECOND, Vec::new());
        let mut roll = MachineRegistry::new(layout(16 * 1024));
        let none = std::collections::BTreeSet::new();
        for n in 0..120 {
            let id: std::sync::Arc<str> = format!("m-{n:06}").as_str().into();
            workers.add_registered_machine(
                id.clone(),
                "10.1.0.1:9000",
                "small",
                "a",
                false,
                now.steady,
            );
            workers.mark_registry_stale(&id);
        }
        let mut deleted = Vec::new();
        let mut emptied = Vec::new();
        let mut revision = 4;
        let mut lose = lost;
        for turn in 0..40 {
            now.steady += SECOND;
            if turn == 10 {
                roll.set_schema(now.steady, layout(2 * 1024));
            }
            for ask in roll.take_due_requests(now, &mut workers, &none) {
                revision += 1;
                match ask {
                    RegistryRequest::Read(key) => roll.handle_page_read(now.steady, &key, Some(0)),
                    RegistryRequest::Delete { key, .. } => {
                        deleted.push(key.clone());
                        roll.handle_page_deleted(
                            &key,
                            &WriteResult::Applied(revision),
                            &mut workers,
                        );
                    }
                    RegistryRequest::Write { key, written, .. } => {
                        if written.is_empty() {
                            emptied.push(key.clone());
                        }
                        let result = if std::mem::take(&mut lose) {
                            WriteResult::Unknown
                        } else {
                            WriteResult::Applied(revision)
                        };
                        roll.handle_page_written(now.steady, &key, written, &result, &mut workers);
                    }
                }
            }
        }
        assert_eq!(
            (deleted.len(), emptied.len()),
            if lost { (0, 1) } else { (1, 0) }
        );
    }
}

/// forgotten: a job was accepted when the cloud offered a larger type; its submission, repeated when that
/// is gone, is answered with its state, not refused.
#[test]
fn a_repeat_of_an_accepted_job_that_could_not_run_any_more_is_not_refused() {
    let (mut w, leader, _) = three();
    assert_eq!(w.submit(leader, "wk-1", json!({"cores": 16.0})).0, 201);
    w.only_small_type = true;
    w.run(700.0);
    assert_eq!(w.leader(), Some(leader), "it asks the cloud now and then");
    assert_eq!(w.submit(leader, "wk-1", json!({"cores": 16.0})).0, 200);
    assert_eq!(w.submit(leader, "wk-2", json!({"cores": 16.0})).0, 422);
}

/// A hint makes halts sooner, and starts nothing again that it was wrong about for long. (In all other tests
/// the hints are lost: no rule rests on them.)
#[test]
fn a_cancellation_told_by_its_controller_stops_the_tasks_before_the_watch_tells() {
    let (mut w, leader, other) = three();
    w.deliver_cancellation_hints = true;
    assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
    assert_eq!(w.submit(leader, "wk-2", json!({})).0, 201);
    w.run(1.0);
    assert_eq!(w.running_copies("wk-1/0") + w.running_copies("wk-2/0"), 2);
    w.state_calls_refused_for = Some(leader);
    cancel(&mut w, other, "wk-1");
    w.run(0.3);
    assert_eq!(w.running_copies("wk-1/0"), 0, "stopped at once");
    w.state_calls_refused_for = None;
    w.run(1.0);
    // A word that is wrong costs the task some time, not the job.
    let leader = w.leader().expect("one leads");
    let hint = word(KIND_CANCELLED, b"wk-2".to_vec());
    w.deliver_input(leader, hint);
    w.run(1.0);
    assert_eq!(w.running_copies("wk-2/0"), 0);
    w.run(9.0);
    assert_eq!(w.running_copies("wk-2/0"), 1, "it was not cancelled");
    assert_eq!(w.start_count("wk-1/0"), 1);
}

/// Whatever comes malformed or strange in the middle of it all is answered or passed over: it ends no process,
/// frees no task, and becomes no room.
#[test]
fn malformed_and_strange_words_change_nothing() {
    let (mut w, leader, other) = three();
    assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
    w.run(1.0);
    let at = w.worker_running("wk-1/0");
    let good = copy(&mut w, at);
    let strange = |key: &str, value: Value| {
        let mut report = good.clone();
        report[key] = value;
        report
    };
    for (body, status) in [
        (json!([]), 400),
        (json!({"host": 7}), 400),
        (strange("stint", json!(-1)), 400),
        (strange("tally", json!("many")), 400),
        (strange("parts", json!([{"part": "wk-1/0"}])), 400),
        (
            strange(
                "parts",
                json!([{"part": "wk-1/0", "try": 1, "status": "asleep"}]),
            ),
            400,
        ),
    ] {
        let told = w.request(leader, "POST", "/checkin", body.clone()).0;
        assert_eq!(told, status, "{body}");
    }
    // Well-formed, of a machine that nobody knows, with tasks that nobody started.
    let stranger = json!({"host": "m-999999", "addr": "nowhere", "build": "none", "paddock": "z", "loaners": false,
        "stint": 1, "tally": 1, "baton": 0, "warningS": null,
        "parts": [{"part": "wk-1/0", "try": 5, "status": "running"}, {"part": "//", "try": 1, "status": "running"},
                  {"part": "wk-1/4000000000", "try": 1, "status": "ended", "cause": "done"}]});
    assert_eq!(w.request(leader, "POST", "/checkin", stranger).0, 200);
    for kind in 0..40 {
        for body in [Vec::new(), vec![0xff; 7], vec![0; 4096], b"wk-".to_vec()] {
            let junk = word(kind, body);
            w.deliver_input(leader, junk);
        }
    }
    w.kv.revision += 1;
    let revision = w.kv.revision;
    let junk = json!({"what": ["is", "this"]});
    w.kv.keys
        .insert("job/wk-77".to_owned(), (junk, revision, None));
    w.run(3.0);
    assert_eq!(w.start_count("wk-1/0"), 1);
    let told = w.request(other, "GET", "/work/wk-1", Value::Null).1;
    assert_eq!(
        (told["status"].as_str(), told["done"].as_u64()),
        (Some("running"), Some(0))
    );
    assert_eq!(
        w.request(other, "GET", "/work/wk-77", Value::Null).0,
        503,
        "kept, and not to be read"
    );
    assert_eq!(w.submit(other, "wk-2", json!({})).0, 201);
    w.run(2.0);
    assert_eq!(w.running_copies("wk-2/0"), 1);
    assert_eq!(w.leader(), Some(leader));
}
