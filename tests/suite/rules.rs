//! The rules, each against the failures that could break it.

use crate::test_cluster::{self, TestCluster};
use dewramp::clock::SECOND;
use dewramp::job_record::JobRecord;
use dewramp::jobs::JobTable;
use dewramp::messages::{Outcome, Output};
use dewramp::task_id::TaskId;
use dewramp::wire::{Heartbeat, JobSpec};
use dewramp::worker_ledger::{TaskEvent, TaskEventKind, WorkerLedger};
use serde_json::{Value, json};
use std::sync::Arc;

pub fn started_world() -> TestCluster {
    let mut w = TestCluster::new(2);
    w.add_worker("m-1", "small", "a");
    w.add_worker("m-2", "small", "b");
    w.run(6.0);
    assert!(w.leader().is_some(), "one node leads");
    w
}

#[test]
fn a_job_runs_and_its_end_is_final_on_every_node() {
    let mut w = started_world();
    assert_eq!(w.submit(0, "wk-1", json!({})).0, 201);
    w.run(0.5);
    assert_eq!(w.running_copies("wk-1/0"), 1);
    assert_eq!(
        w.request(1, "GET", "/work/wk-1", Value::Null).1["status"],
        "running"
    );
    let at = w.worker_running("wk-1/0");
    w.workers[at].end_task("wk-1/0", "done");
    w.run(3.0);
    for node in 0..2 {
        assert_eq!(
            w.request(node, "GET", "/work/wk-1", Value::Null).1["status"],
            "done"
        );
        assert_eq!(
            w.request(node, "POST", "/work/wk-1/cancel", Value::Null).1["status"],
            "done"
        );
        let again = w.submit(node, "wk-1", json!({}));
        assert_eq!((again.0, again.1["status"].as_str()), (200, Some("done")));
    }
    w.run(5.0);
    assert!(
        w.workers.iter().all(|x| x.tasks.is_empty()),
        "reaped once the end is stored"
    );
    assert_eq!(w.start_count("wk-1/0"), 1);
}

/// ran_twice: a start whose answer was lost may be executed minutes later.
#[test]
fn a_late_start_command_never_makes_a_second_copy() {
    let mut w = started_world();
    w.workers[0].delayed_commands = Some(Vec::new());
    w.workers[1].delayed_commands = Some(Vec::new());
    w.submit(0, "wk-1", json!({}));
    w.run(0.3);
    let first = w
        .workers
        .iter()
        .position(|x| !x.delayed_commands.as_ref().unwrap().is_empty())
        .unwrap();
    let late: Vec<Value> = w.workers[first].delayed_commands.take().unwrap();
    let other = 1 - first;
    w.workers[other].delayed_commands = None;
    // Reports go on, the raised fence is shown, and the task moves on.
    w.run(8.0);
    assert_eq!(
        w.running_copies("wk-1/0"),
        1,
        "proven absent, so started again"
    );
    for body in &late {
        w.workers[first].handle_command_call(body);
    }
    assert_eq!(
        w.running_copies("wk-1/0"),
        1,
        "the late command is below the fence"
    );
}

/// ran_twice: until the fence is shown, the task of a lost start stays where it may be.
#[test]
fn a_lost_answer_holds_the_task_until_proof() {
    let mut w = started_world();
    w.workers[0].delayed_commands = Some(Vec::new());
    w.workers[1].delayed_commands = Some(Vec::new());
    w.submit(0, "wk-1", json!({}));
    w.run(0.3);
    let first = w
        .workers
        .iter()
        .position(|x| !x.delayed_commands.as_ref().unwrap().is_empty())
        .unwrap();
    w.workers[1 - first].delayed_commands = None;
    w.workers[first].partitioned = true;
    w.run(20.0);
    assert_eq!(
        w.running_copies("wk-1/0"),
        0,
        "it may still start on the silent machine"
    );
    // Past the lease of the silent machine nothing can be there.
    w.run(15.0);
    assert_eq!(w.running_copies("wk-1/0"), 1);
    assert!(w.workers[1 - first].is_running("wk-1/0"));
}

/// ran_twice: a new leader holds what a silent machine may run, and only that.
#[test]
fn a_takeover_holds_the_tasks_of_a_silent_machine() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({}));
    w.run(0.5);
    let at = w.worker_running("wk-1/0");
    let leader = w.leader().unwrap();
    w.workers[at].partitioned = true;
    w.kill_controller(leader);
    w.run(6.0);
    let next = w.leader().expect("the other node leads");
    assert_ne!(next, leader);
    assert_eq!(w.submit(next, "wk-2", json!({})).0, 201);
    w.run(1.0);
    assert_eq!(
        w.running_copies("wk-2/0"),
        1,
        "a job accepted since needs no hold"
    );
    w.workers[1 - at].end_task("wk-2/0", "done");
    w.run(15.0);
    assert_eq!(
        w.start_count("wk-1/0"),
        1,
        "held while it may run on the silent machine"
    );
    w.run(20.0);
    assert_eq!(
        w.start_count("wk-1/0"),
        2,
        "free once that machine's lease is surely over"
    );
}

/// A machine that comes back within its lease keeps its task through a takeover.
#[test]
fn a_takeover_adopts_what_the_workers_report() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({}));
    w.run(0.5);
    let leader = w.leader().unwrap();
    w.kill_controller(leader);
    w.run(8.0);
    assert!(w.leader().is_some());
    assert_eq!(
        (w.start_count("wk-1/0"), w.running_copies("wk-1/0")),
        (1, 1)
    );
    w.start_controller(leader, 2);
    let at = w.worker_running("wk-1/0");
    w.workers[at].end_task("wk-1/0", "done");
    w.run(4.0);
    assert_eq!(
        w.request(leader, "GET", "/work/wk-1", Value::Null).1["status"],
        "done"
    );
}

/// A leader past its validity gives no orders and no 200, and resumes when the grant lived on.
#[test]
fn a_leader_past_its_lease_is_silent_and_resumes() {
    let mut w = started_world();
    let leader = w.leader().unwrap();
    w.kv.down = true;
    for g in w.kv.leases.values_mut() {
        *g += 60 * SECOND;
    }
    w.run(5.0);
    assert!(w.leader().is_none());
    let answered = w.workers[0].lease_renewed_at;
    w.run(3.0);
    assert_eq!(w.workers[0].lease_renewed_at, answered, "no 200 to workers");
    assert_eq!(
        w.submit(0, "wk-1", json!({})).0,
        503,
        "what can't be stored is refused at once"
    );
    w.kv.down = false;
    w.run(2.0);
    assert_eq!(w.leader(), Some(leader));
    assert_eq!(w.submit(0, "wk-1", json!({})).0, 201);
    w.run(1.0);
    assert_eq!(w.running_copies("wk-1/0"), 1);
}

/// quota: a team's limit counts everything that may be on a machine.
#[test]
fn a_team_never_exceeds_its_limit_also_with_a_silent_machine() {
    let mut w = TestCluster::new(2);
    w.add_worker("m-1", "big", "a");
    w.add_worker("m-2", "big", "b");
    w.run(6.0);
    w.submit(0, "wk-1", json!({"owner": "red", "parts": 4}));
    w.run(0.5);
    let running = |w: &TestCluster| {
        w.workers
            .iter()
            .flat_map(|x| &x.tasks)
            .filter(|p| p.2 == "running")
            .count()
    };
    assert_eq!(running(&w), 4);
    for x in &mut w.workers {
        x.partitioned = !x.tasks.is_empty();
    }
    w.submit(0, "wk-2", json!({"owner": "red", "parts": 4}));
    let leader = w.leader().unwrap();
    w.kill_controller(leader);
    w.run(20.0);
    assert_eq!(
        running(&w),
        4,
        "the silent machines' tasks are charged to the team, also by a new leader"
    );
    w.run(25.0);
    let fresh = w.workers.iter().flat_map(|x| &x.started_attempts).count();
    assert!(
        fresh > 4,
        "the limit is free again when the leases are over"
    );
}

/// wrong_place: zone, type and kind are checked, and the halves of a spread job.
#[test]
fn tasks_start_only_where_their_job_allows() {
    let mut w = TestCluster::new(2);
    w.add_worker("m-1", "big", "a");
    w.add_worker("m-2", "big", "b");
    w.add_worker("m-3", "small", "b");
    w.workers[2].spot = true;
    w.run(6.0);
    w.submit(
        0,
        "wk-1",
        json!({"paddock": "a", "builds": ["big"], "loaners": false}),
    );
    w.submit(0, "wk-2", json!({"builds": ["small"], "loaners": false}));
    w.submit(
        0,
        "wk-3",
        json!({"parts": 5, "apart": true, "cores": 1.0, "memGb": 1.0}),
    );
    w.submit(
        0,
        "wk-4",
        json!({"parts": 3, "together": true, "cores": 1.0, "memGb": 1.0}),
    );
    w.run(3.0);
    assert!(w.workers[0].is_running("wk-1/0"));
    assert_eq!(
        w.running_copies("wk-2/0"),
        0,
        "the only small machine is a spot one"
    );
    let zone = |w: &TestCluster, uid: &str, z: &str| {
        let all = w
            .workers
            .iter()
            .filter(|x| x.zone == z)
            .flat_map(|x| &x.tasks);
        all.filter(|p| p.0.starts_with(uid) && p.2 == "running")
            .count()
    };
    assert!(zone(&w, "wk-3/", "a") <= 3 && zone(&w, "wk-3/", "b") <= 3);
    assert_eq!(zone(&w, "wk-3/", "a") + zone(&w, "wk-3/", "b"), 5);
    let four = (zone(&w, "wk-4/", "a"), zone(&w, "wk-4/", "b"));
    assert!(four == (3, 0) || four == (0, 3), "together: {four:?}");
}

/// ran_cancelled: also a start still in flight must not survive a cancellation.
#[test]
fn a_cancelled_job_is_stopped_even_when_its_start_is_in_flight() {
    let mut w = started_world();
    w.workers[0].delayed_commands = Some(Vec::new());
    w.workers[1].delayed_commands = Some(Vec::new());
    w.submit(0, "wk-1", json!({}));
    w.run(0.3);
    let first = w
        .workers
        .iter()
        .position(|x| !x.delayed_commands.as_ref().unwrap().is_empty())
        .unwrap();
    // Cancelled at the node that does not lead.
    let follower = 1 - w.leader().unwrap();
    assert_eq!(
        w.request(follower, "POST", "/work/wk-1/cancel", Value::Null)
            .1["status"],
        "cancelled"
    );
    let late = w.workers[first].delayed_commands.take().unwrap();
    w.workers[1 - first].delayed_commands = None;
    for body in &late {
        w.workers[first].handle_command_call(body);
    }
    w.run(10.0);
    assert_eq!(w.running_copies("wk-1/0"), 0);
    assert!(
        w.kv.keys.keys().all(|k| !k.starts_with("stopping/")),
        "forgotten once all is gone"
    );
    assert_eq!(w.submit(0, "wk-1", json!({})).1["status"], "cancelled");
}

/// ran_cancelled: a later leader goes on stopping what an earlier one started.
#[test]
fn a_takeover_stops_the_tasks_of_a_job_cancelled_meanwhile() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({}));
    w.run(0.5);
    let leader = w.leader().unwrap();
    w.kill_controller(leader);
    assert_eq!(
        w.request(1 - leader, "POST", "/work/wk-1/cancel", Value::Null)
            .1["status"],
        "cancelled"
    );
    assert_eq!(w.running_copies("wk-1/0"), 1);
    // The description stays at hand, so that its team is charged until all is gone.
    assert!(w.kv.keys.contains_key("stopping/wk-1"));
    w.run(8.0);
    assert_eq!(w.running_copies("wk-1/0"), 0);
    assert!(!w.kv.keys.contains_key("stopping/wk-1"));
}

/// not_done: a lost write of the end is found out, and `done` is told only when it is stored.
#[test]
fn done_is_told_only_once_stored_and_reaped_only_then() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({}));
    w.run(0.5);
    let at = w.worker_running("wk-1/0");
    w.kv.hold_transactions_with = Some("over/wk-1");
    w.workers[at].end_task("wk-1/0", "done");
    w.run(4.0);
    assert_ne!(
        w.request(0, "GET", "/work/wk-1", Value::Null).1["status"],
        "done"
    );
    assert_eq!(
        w.workers[at].tasks.len(),
        1,
        "the ending is kept by its worker until stored"
    );
    w.kv.hold_transactions_with = None;
    w.run(3.0);
    assert_eq!(
        w.request(0, "GET", "/work/wk-1", Value::Null).1["status"],
        "done"
    );
}

/// Two zones may be cut while a third node sees both: reports and orders go through it.
#[test]
fn reports_reach_the_leader_through_another_node() {
    let mut w = started_world();
    let leader = w.leader().unwrap();
    for x in &mut w.workers {
        x.controller = 1 - leader;
    }
    w.run(2.0);
    let before: Vec<u64> = w.workers.iter().map(|x| x.lease_renewed_at).collect();
    w.run(3.0);
    for (x, b) in w.workers.iter().zip(before) {
        assert!(x.lease_renewed_at > b, "answered by way of the follower");
        assert_eq!(x.controller, 1 - leader, "and not sent away");
    }
}

/// A failed or returned machine is proof that its tasks are gone; a missing one is none.
#[test]
fn a_failed_machine_frees_its_tasks_at_once() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({}));
    w.run(0.5);
    let at = w.worker_running("wk-1/0");
    w.workers[at].partitioned = true;
    w.run(8.0);
    assert_eq!(w.start_count("wk-1/0"), 1, "silence alone is no proof");
    let (id, zone) = (w.workers[at].id.clone(), w.workers[at].zone);
    w.cloud_machines = vec![
        json!({"uid": id, "addr": "", "build": "small", "paddock": zone, "loaners": false, "status": "failed", "ageS": 90.0}),
    ];
    w.run(6.0);
    assert_eq!(
        w.start_count("wk-1/0") + usize::from(w.workers.len() < 2),
        2,
        "started on the other machine"
    );
    assert!(w.released_machines.contains(&id));
    assert_eq!(w.running_copies("wk-1/0"), 1);
}

/// Groups start whole or not at all.
#[test]
fn a_group_waits_until_all_its_tasks_fit() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({}));
    w.run(0.5);
    w.submit(0, "wk-2", json!({"shape": "group", "parts": 2}));
    w.run(2.0);
    assert_eq!(w.running_copies("wk-2/0") + w.running_copies("wk-2/1"), 0);
    let at = w.worker_running("wk-1/0");
    w.workers[at].end_task("wk-1/0", "done");
    w.run(3.0);
    assert_eq!(
        (w.running_copies("wk-2/0"), w.running_copies("wk-2/1")),
        (1, 1)
    );
    // Workers match the tasks of a group by their attempt; with attempts of their own, three
    // tasks waited for each other until they gave up.
    let tries: Vec<u64> = w
        .workers
        .iter()
        .flat_map(|x| &x.tasks)
        .filter(|p| p.2 == "running")
        .map(|p| p.1)
        .collect();
    assert_eq!(tries[0], tries[1]);
}

/// Urgent work stops cheaper work when nothing is free.
#[test]
fn urgent_work_preempts_the_lowest_priority() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({"urgency": "low", "parts": 2}));
    w.run(1.0);
    assert_eq!(w.running_copies("wk-1/0") + w.running_copies("wk-1/1"), 2);
    w.submit(
        0,
        "wk-2",
        json!({"urgency": "high", "herd": "quick", "cores": 1.0, "memGb": 1.0}),
    );
    w.run(3.0);
    assert_eq!(w.running_copies("wk-2/0"), 1);
    assert_eq!(w.running_copies("wk-1/0") + w.running_copies("wk-1/1"), 1);
}

/// A new leader knows from the roll who holds which image, also of tasks that ended before it.
#[test]
fn a_takeover_keeps_what_is_known_of_images() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({"bundle": "img-other"}));
    w.run(0.5);
    assert!(
        w.workers[0].is_running("wk-1/0"),
        "first fit takes the first by name"
    );
    w.submit(0, "wk-2", json!({"bundle": "img-urgent"}));
    w.run(0.5);
    assert!(w.workers[1].is_running("wk-2/0"));
    w.workers[0].end_task("wk-1/0", "done");
    w.workers[1].end_task("wk-2/0", "done");
    w.run(5.0);
    let leader = w.leader().unwrap();
    w.kill_controller(leader);
    w.run(8.0);
    let node = w.leader().expect("the other node leads");
    w.submit(node, "wk-3", json!({"bundle": "img-urgent"}));
    w.run(0.5);
    assert!(
        w.workers[1].is_running("wk-3/0"),
        "the holder comes before the first by name"
    );
}

/// Each takeover used to start the lease of a silent machine anew: its tasks were held for as
/// long as leaders went on failing. The stored mark lets the lease count from the last contact.
#[test]
fn a_silent_machines_lease_counts_from_its_last_contact_through_takeovers() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({}));
    w.run(0.5);
    let at = w.worker_running("wk-1/0");
    w.workers[at].partitioned = true;
    w.run(12.0);
    let first = w.leader().unwrap();
    w.kill_controller(first);
    w.run(16.0);
    assert!(w.leader().is_some());
    assert_eq!(
        w.start_count("wk-1/0"),
        1,
        "it may still run there: 28 s of a lease of 30"
    );
    w.run(8.0);
    assert_eq!(
        w.start_count("wk-1/0"),
        2,
        "36 s after the last contact, 22 after the takeover"
    );
}

/// The other side of the mark: while it may be stored, the machine gets no answer, or a later
/// leader would count a lease as over that this one renewed.
#[test]
fn a_machine_marked_silent_is_answered_only_once_the_mark_is_removed() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({}));
    w.run(0.5);
    let at = w.worker_running("wk-1/0");
    w.workers[at].partitioned = true;
    w.run(13.0);
    // Name, address, kind and images; a mark is the fifth field.
    let mark = |w: &TestCluster| {
        let page = w.kv.keys["roll/p-0"].0["machines"].as_array().unwrap();
        let marked = |m: &&Value| m.as_str().unwrap().split(' ').count() == 5;
        page.iter().filter(marked).count()
    };
    assert_eq!(mark(&w), 1, "marked");
    w.kv.hold_transactions_with = Some("roll/");
    w.workers[at].partitioned = false;
    let answered = w.workers[at].lease_renewed_at;
    w.run(5.0);
    assert_eq!(
        w.workers[at].lease_renewed_at, answered,
        "not answered while the mark stands"
    );
    w.kv.hold_transactions_with = None;
    w.run(5.0);
    assert_eq!(mark(&w), 0);
    assert!(w.workers[at].lease_renewed_at > answered);
    // What was held back is applied late, and must not bring the mark back.
    for body in std::mem::take(&mut w.kv.held_transactions) {
        w.kv.txn(&body);
    }
    assert_eq!(mark(&w), 0);
    assert_eq!(
        (w.start_count("wk-1/0"), w.running_copies("wk-1/0")),
        (1, 1)
    );
}

/// ran_twice: a report without the task proves nothing while a lost start may still come; only
/// one that shows the raised fence does.
#[test]
fn a_report_below_the_fence_is_no_proof_of_absence() {
    let spec = JobSpec::parse(test_cluster::job_submission("wk-1").to_string().as_bytes()).unwrap();
    let mut table = JobTable::default();
    let job = table.add(&JobRecord::new(spec, 0, "n-1"), 1);
    let spec = table.by_number[&job].spec.clone();
    let mut workers = WorkerLedger::new(1, SECOND, 30 * SECOND, 3 * SECOND, Vec::new());
    let report = |sequence: u64, token: u64| -> Heartbeat {
        let text = json!({"host": "m-1", "addr": "10.1.0.1:9000", "build": "small", "paddock": "a",
                          "stint": 1, "tally": sequence, "baton": token, "parts": []});
        serde_json::from_value(text).unwrap()
    };
    let first = 1 << 24;
    workers
        .handle_heartbeat(SECOND, report(1, first), None, None, &mut table)
        .expect("answered");
    let id: Arc<str> = "m-1".into();
    workers.machines.get_mut(&id).unwrap().registered = true;
    let key = TaskId { job, index: 0 };
    let attempt = workers.new_attempt();
    workers.plan_task(&id, key, attempt, &spec, SECOND);
    workers.confirm_stored(&id, key, attempt);
    let (mut tickets, mut out) = (0, Vec::new());
    workers.send_due(SECOND, &mut tickets, &mut out);
    assert!(
        matches!(&out[..], [Output::Call { .. }]),
        "the start goes out directly"
    );
    workers.handle_outcome(3 * SECOND, tickets, &Outcome::Lost, &mut table);
    workers.handle_heartbeat(4 * SECOND, report(2, first), None, None, &mut table);
    assert!(
        workers.events.is_empty(),
        "the start may yet be executed: {:?}",
        workers.events
    );
    workers.handle_heartbeat(7 * SECOND, report(3, first + 1), None, None, &mut table);
    assert!(matches!(
        &workers.events[..],
        [TaskEvent {
            kind: TaskEventKind::Lost { .. },
            ..
        }]
    ));
}

/// An ending is dropped by its worker only once it is stored, also when a save of the same job
/// that was made before the ending is applied meanwhile.
#[test]
fn an_ending_is_reaped_only_once_stored_whatever_else_is_saved() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({"parts": 2}));
    w.run(0.5);
    let at = w.worker_running("wk-1/0");
    let other = w.worker_running("wk-1/1");
    let stored = |w: &TestCluster| {
        w.kv.keys.contains_key("over/wk-1")
            || w.kv.keys["job/wk-1"].0["done"]
                .as_str()
                .is_some_and(|d| d.split(',').any(|r| r == "0"))
    };
    // A save that was made before the ending is answered after it.
    w.delay_answers_with = Some("job/wk-1");
    w.workers[other].end_task("wk-1/1", "error");
    while w.delayed_answers.is_empty() {
        w.step(20_000);
    }
    w.delay_answers_with = None;
    w.workers[at].end_task("wk-1/0", "done");
    w.run(1.5);
    w.kv.hold_transactions_with = Some("job/wk-1");
    w.deliver_delayed_answers();
    for _ in 0..200 {
        w.step(20_000);
        assert!(w.workers[at].tasks.iter().any(|p| p.0 == "wk-1/0"));
    }
    w.kv.hold_transactions_with = None;
    let mut reaped = false;
    for _ in 0..400 {
        w.step(20_000);
        reaped = !w.workers[at].tasks.iter().any(|p| p.0 == "wk-1/0");
        assert!(!reaped || stored(&w), "dropped before it was stored");
    }
    assert!(reaped, "dropped once it was stored");
}

/// ran_twice: the ledger that starts anew after a watch fell behind takes a new term. Under the
/// old one it would use attempt numbers and fences a second time, and a start of before, still
/// in flight, would pass for one of after.
#[test]
fn a_watch_that_fell_behind_leads_to_a_new_term() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({}));
    w.run(0.5);
    let term = |w: &TestCluster| w.kv.keys["term"].0["term"].as_u64().unwrap();
    let before = term(&w);
    w.kv.compacts_before_next_watch = true;
    // The watch is asked again when something has changed.
    w.submit(0, "wk-2", json!({}));
    w.run(4.0);
    assert!(!w.kv.compacts_before_next_watch, "it was told");
    assert!(w.leader().is_some());
    assert!(term(&w) > before);
    assert_eq!(
        (w.start_count("wk-1/0"), w.running_copies("wk-1/0")),
        (1, 1)
    );
    assert_eq!(
        (w.start_count("wk-2/0"), w.running_copies("wk-2/0")),
        (1, 1)
    );
    let mut attempts: Vec<u64> = w
        .workers
        .iter()
        .flat_map(|x| &x.started_attempts)
        .map(|s| s.1)
        .collect();
    let all = attempts.len();
    attempts.sort_unstable();
    attempts.dedup();
    assert_eq!(attempts.len(), all, "no attempt number twice");
}

/// A leader that hears no machine, and whose peers can't reach it, would keep the lead while all
/// leases run out: it leaves the lead to a controller that may hear them.
#[test]
fn a_leader_that_hears_nobody_lets_another_lead() {
    let mut w = started_world();
    w.submit(0, "wk-1", json!({}));
    w.run(0.5);
    let leader = w.leader().unwrap();
    w.isolated_from_workers = Some(leader);
    w.cut_links = vec![(0, 1)];
    w.run(14.0);
    assert_eq!(w.leader(), Some(1 - leader));
    w.run(40.0);
    assert_eq!(w.leader(), Some(1 - leader), "and it stays there");
    assert_eq!(
        (w.start_count("wk-1/0"), w.running_copies("wk-1/0")),
        (1, 1),
        "within its lease, so the task never stopped"
    );
}

/// A leader that has lost only its workers starts tasks through a peer: a start that never left
/// is sent the other way, not given up and placed anew.
#[test]
fn a_leader_without_workers_starts_tasks_through_a_peer() {
    let mut w = started_world();
    let leader = w.leader().unwrap();
    w.isolated_from_workers = Some(leader);
    w.run(2.0);
    w.submit(0, "wk-1", json!({}));
    w.run(0.3);
    assert_eq!(
        (w.start_count("wk-1/0"), w.running_copies("wk-1/0")),
        (1, 1)
    );
    let node = w.controllers[leader].as_ref().unwrap();
    assert!(node.job("wk-1").unwrap().endings.is_empty());
}

/// First fit must not send the same tasks to a dead machine until its silence is long enough.
#[test]
fn a_machine_out_of_reach_gets_no_more_tasks_until_it_is_heard() {
    let mut w = started_world();
    w.workers[0].partitioned = true;
    for n in 1..=4 {
        w.submit(0, &format!("wk-{n}"), json!({"cores": 1.0, "memGb": 1.0}));
    }
    w.run(1.0);
    let node = w.controllers[w.leader().unwrap()].as_ref().unwrap();
    let failed: usize = (1..=4)
        .filter_map(|n| node.job(&format!("wk-{n}")))
        .map(|j| j.endings.len())
        .sum();
    assert!(failed <= 4, "each at most once: {failed}");
    for n in 1..=4 {
        assert_eq!(w.running_copies(&format!("wk-{n}/0")), 1);
    }
    w.workers[0].partitioned = false;
    w.run(4.0);
    w.submit(0, "wk-5", json!({}));
    w.run(1.0);
    assert!(
        w.workers[0].is_running("wk-5/0"),
        "it is used again once heard"
    );
}
