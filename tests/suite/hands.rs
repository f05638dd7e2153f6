//! Troubles that meet while one controller's work changes hands: cancellations, hangs, limits, early machines, all
//! controllers away, ten leaders in two minutes.

use crate::test_cluster::TestCluster;
use dewramp::clock::{Micros, SECOND};
use serde_json::{Value, json};

const CANCEL: Micros = 50 * SECOND;
const LEASE_S: f64 = 30.0;

/// Three controllers and so many small machines, each with room for one task; the leader.
fn fleet(machines: usize) -> (TestCluster, usize) {
    let zones: Vec<&str> = ["a", "b"].into_iter().cycle().take(machines).collect();
    TestCluster::with_leader(&zones)
}

/// How a controller's work goes over to another.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Goes {
    /// It ends.
    Ends,
    /// It is back within a fraction of a second.
    IsBack,
    /// It is told to end, and lets the lead go.
    Leaves,
    /// It goes on, without the state service, and does not know of its successor.
    Refused,
}

fn goes(w: &mut TestCluster, node: usize, how: Goes) {
    match how {
        Goes::Ends => w.kill_controller(node),
        Goes::IsBack => {
            w.kill_controller(node);
            w.run(0.06);
            w.start_controller(node, 3);
        }
        Goes::Leaves => w.shut_down_controller(node),
        Goes::Refused => {
            w.state_calls_refused_for = Some(node);
            w.close_watch_connections(node);
        }
    }
}

/// Whatever comes, the tasks of a job that was told to be cancelled are gone in time and start no more.
fn gone_in_time(w: &mut TestCluster, told: Micros, parts: &[&str], started: usize, what: &str) {
    while w.now.steady < told + CANCEL {
        w.run(0.5);
    }
    for _ in 0..20 {
        let left: usize = parts.iter().map(|p| w.running_copies(p)).sum();
        assert_eq!(left, 0, "gone within cancel_s: {what}");
        w.run(1.0);
    }
    let starts: usize = parts.iter().map(|p| w.start_count(p)).sum();
    assert!(starts <= started, "{starts} starts: {what}");
}

/// ran_cancelled: jobs are cancelled in the seconds in which the leader's work changes hands, at every step of it;
/// their machines report through a controller that ends too, or can't be reached at all until later.
#[test]
fn cancelled_at_any_moment_of_a_change_of_hands() {
    for how in [Goes::Ends, Goes::IsBack, Goes::Leaves, Goes::Refused] {
        for tenths in [0, 1, 3, 6, 10, 15, 17, 19, 21, 24, 30] {
            let what = format!("{how:?} {tenths}");
            let (mut w, leader) = fleet(4);
            w.deliver_cancellation_hints = tenths % 2 == 0;
            let other = (leader + 1) % 3;
            assert_eq!(w.submit(other, "wk-1", json!({"parts": 2})).0, 201);
            w.run(1.5);
            let at = [w.worker_running("wk-1/0"), w.worker_running("wk-1/1")];
            w.workers[at[0]].controller = (leader + 2) % 3;
            w.workers[at[1]].delayed_commands = Some(Vec::new());
            goes(&mut w, leader, how);
            w.run(f64::from(tenths) / 10.0);
            let told = w.request_with_retries(other, "POST", "/work/wk-1/cancel", &Value::Null);
            assert_eq!(told.1["status"], "cancelled", "{what}");
            let told = w.now.steady;
            // The controller that carried the reports of one ends as well, and is back.
            goes(&mut w, (leader + 2) % 3, Goes::IsBack);
            w.run(3.0);
            let held = w.workers[at[1]].delayed_commands.take().expect("kept");
            for body in held {
                w.workers[at[1]].handle_command_call(&body);
            }
            w.state_calls_refused_for = None;
            gone_in_time(&mut w, told, &["wk-1/0", "wk-1/1"], 2, &what);
            for node in (0..3).filter(|n| *n != leader) {
                let told = w.request_with_retries(node, "GET", "/work/wk-1", &Value::Null);
                assert_eq!(told.1["status"], "cancelled", "{what}");
            }
        }
    }
}

/// ran_cancelled: the job is cancelled after a new leader has read the live jobs and before it has read those that
/// are being stopped, by a state service that does not tell all changes at once. Both reads show the job, and the
/// change that the watch then tells is of the very write that the second read showed.
#[test]
fn cancelled_between_two_reads_of_a_new_leader() {
    let mut w = TestCluster::new(3);
    w.kv.rejects_unprefixed_watches = true;
    w.add_worker("m-1", "small", "a");
    w.add_worker("m-2", "small", "b");
    // Long enough for those that follow to learn that they are not told.
    w.run(20.0);
    let leader = w.leader().expect("one node leads");
    assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
    w.run(2.0);
    let at = w.worker_running("wk-1/0");
    // What a controller writes that confirms the cancellation, carried out between the two reads.
    let (record, mod_revision, _) = w.kv.keys["job/wk-1"].clone();
    let end = json!({"status": "cancelled", "done": 0, "accepted": w.now.wall, "over": w.now.wall});
    let write = json!({
        "if": [{"path": "job/wk-1", "stamp": mod_revision}, {"path": "over/wk-1", "stamp": 0}],
        "apply": [{"delete": "job/wk-1"}, {"set": "over/wk-1", "value": end},
                  {"set": "stopping/wk-1", "value": record}]});
    w.kv.transaction_after_list = Some(("job/", write));
    w.kill_controller(leader);
    while w.leader().is_none() {
        w.run(0.1);
    }
    assert!(
        w.kv.transaction_after_list.is_none(),
        "read by the new leader"
    );
    w.run(1.2);
    assert!(!w.workers[at].is_running("wk-1/0"), "stopped");
    assert_eq!(w.start_count("wk-1/0"), 1);
}

/// A job that has only just been accepted is cancelled, and the leader is told of both at once, or by two leaders.
#[test]
fn accepted_and_cancelled_while_the_lead_changes_nothing_starts() {
    for tenths in [0, 5, 15, 20, 25] {
        let (mut w, leader) = fleet(2);
        let other = (leader + 1) % 3;
        w.kill_controller(leader);
        w.run(f64::from(tenths) / 10.0);
        let job = crate::test_cluster::job_submission("wk-1");
        assert!(w.request_with_retries(other, "POST", "/work", &job).0 < 202);
        assert_eq!(
            w.request_with_retries(other, "POST", "/work/wk-1/cancel", &Value::Null)
                .0,
            200
        );
        let before = w.start_count("wk-1/0");
        w.run(10.0);
        assert_eq!(
            w.start_count("wk-1/0"),
            before,
            "none after the cancellation"
        );
        assert_eq!(w.running_copies("wk-1/0"), 0);
    }
}

/// quota: a team at its limit, its job is cancelled on machines that hang, and the leader changes twice meanwhile.
/// What hangs is charged until proof; then the team gets all of its limit again.
#[test]
fn a_team_at_its_limit_is_charged_for_what_hangs_through_two_leaders() {
    let red = json!({"owner": "red", "parts": 4});
    for wakes in [12.0, 45.0] {
        let (mut w, leader) = fleet(8);
        assert_eq!(w.submit(leader, "wk-1", red.clone()).0, 201);
        w.run(2.0);
        assert_eq!(w.cores_in_use(&["wk-1"]), 16.0);
        let hung: Vec<usize> = (0..3)
            .map(|n| w.worker_running(&format!("wk-1/{n}")))
            .collect();
        for at in &hung {
            w.suspend_worker(*at);
        }
        let other = (leader + 1) % 3;
        assert_eq!(
            w.request_with_retries(other, "POST", "/work/wk-1/cancel", &Value::Null)
                .0,
            200
        );
        let told = w.now.steady;
        assert_eq!(w.submit(other, "wk-2", red.clone()).0, 201);
        let mut first = Some(leader);
        let mut second = None;
        let began = w.now.steady;
        let mut woken = false;
        for _ in 0..140 {
            w.run(0.5);
            let used = w.cores_in_use(&["wk-1", "wk-2"]);
            assert!(used <= 16.0, "{used} cores of 16");
            let since = w.now.steady - began;
            if since > SECOND && first.is_some() {
                w.kill_controller(first.take().unwrap());
            }
            if since > 8 * SECOND && second.is_none() {
                second = w.leader();
                w.kill_controller(second.expect("another leads"));
                w.start_controller(leader, 3);
            }
            if since > (wakes * 1e6) as Micros && !woken {
                woken = true;
                for at in &hung {
                    w.resume_worker(*at);
                }
            }
            if w.now.steady > told + CANCEL {
                assert_eq!(w.cores_in_use(&["wk-1"]), 0.0, "gone within cancel_s");
            }
        }
        assert_eq!(
            w.cores_in_use(&["wk-2"]),
            16.0,
            "all of its limit, woken after {wakes} s"
        );
    }
}

/// The same where the cancelled tasks' machines are cut off, and come back under a leader that never started
/// anything there.
#[test]
fn what_was_cancelled_on_cut_machines_is_charged_until_they_have_spoken() {
    let (mut w, leader) = fleet(6);
    let red = json!({"owner": "red", "parts": 4});
    assert_eq!(w.submit(leader, "wk-1", red.clone()).0, 201);
    w.run(2.0);
    let cut: Vec<usize> = (0..4)
        .map(|n| w.worker_running(&format!("wk-1/{n}")))
        .collect();
    for at in &cut {
        w.workers[*at].partitioned = true;
    }
    let other = (leader + 1) % 3;
    assert_eq!(
        w.request_with_retries(other, "POST", "/work/wk-1/cancel", &Value::Null)
            .0,
        200
    );
    assert_eq!(w.submit(other, "wk-2", red).0, 201);
    w.kill_controller(leader);
    w.run(10.0);
    assert_eq!(w.start_count("wk-2/0"), 0, "all 16 cores may still be used");
    for at in &cut {
        w.workers[*at].partitioned = false;
    }
    for _ in 0..20 {
        w.run(0.5);
        assert!(w.cores_in_use(&["wk-1", "wk-2"]) <= 16.0);
    }
    assert_eq!(w.cores_in_use(&["wk-2"]), 16.0);
}

/// A machine comes up before the answer to its rental, is given work while writes lag, and the leader ends. The
/// next one has its work, wherever the cloud's list stands, and nobody returns it.
#[test]
fn an_early_machine_with_work_is_neither_lost_nor_returned() {
    for slow in [Some("roll/"), Some("job/wk-1"), None] {
        for ends_after in [0.1, 0.4, 1.0, 3.0] {
            let what = format!("{slow:?} {ends_after}");
            let (mut w, leader) = fleet(1);
            let other = (leader + 1) % 3;
            assert_eq!(w.submit(other, "wk-0", json!({})).0, 201);
            w.run(1.0);
            assert_eq!(w.submit(other, "wk-1", json!({})).0, 201);
            w.run(1.0);
            assert_eq!(w.running_copies("wk-1/0"), 0, "no room yet");
            w.delay_answers_with = slow;
            let early = w.add_worker("m-000900", "small", "a");
            w.workers[early].controller = other;
            w.run(ends_after);
            w.kill_controller(leader);
            w.delay_answers_with = None;
            w.delayed_answers.clear();
            // Its first words come to the new leader only.
            w.run(12.0);
            let next = w.leader().expect("another leads");
            assert_ne!(next, leader, "{what}");
            assert_eq!(
                (w.running_copies("wk-1/0"), w.start_count("wk-1/0")),
                (1, 1),
                "{what}"
            );
            assert!(w.workers[early].is_running("wk-1/0"), "{what}");
            w.run(80.0);
            assert!(w.released_machines.is_empty(), "{what}: it holds work");
            assert_eq!(
                (w.running_copies("wk-1/0"), w.start_count("wk-1/0")),
                (1, 1),
                "{what}"
            );
            w.workers[early].end_task("wk-1/0", "done");
            w.run(5.0);
            let told = w.request(other, "GET", "/work/wk-1", Value::Null);
            assert_eq!(told.1["status"], "done", "{what}");
        }
    }
}

/// A leads, B leads, A leads again, all within a second or two: each has its own term, and no work is done twice.
#[test]
fn the_lead_goes_over_and_back_within_a_second() {
    for gap in [0.05, 0.2, 0.5, 0.9] {
        for how in [Goes::IsBack, Goes::Leaves] {
            let (mut w, mut leader) = fleet(4);
            assert_eq!(w.submit(leader, "wk-1", json!({"parts": 3})).0, 201);
            w.run(1.0);
            // Two are left, so it can only go over and back.
            w.kill_controller((leader + 2) % 3);
            let pair = [leader, (leader + 1) % 3];
            let mut leaders = vec![leader];
            for turn in 0..8 {
                goes(&mut w, leader, how);
                let uid = format!("wk-9{turn}");
                let asked = pair[usize::from(leader == pair[0])];
                w.request_with_retries(
                    asked,
                    "POST",
                    "/work",
                    &crate::test_cluster::job_submission(&uid),
                );
                w.request_with_retries(asked, "POST", &format!("/work/{uid}/cancel"), &Value::Null);
                for _ in 0..200 {
                    w.step(20_000);
                    if w.leader().is_some() {
                        break;
                    }
                }
                let left = leader;
                leader = w.leader().expect("one leads");
                leaders.push(leader);
                if how == Goes::Leaves {
                    w.start_controller(left, 3);
                }
                w.run(gap);
                leader = w.leader().expect("one leads");
                for n in 0..3 {
                    let part = format!("wk-1/{n}");
                    assert!(w.running_copies(&part) <= 1, "{gap} {how:?} {leaders:?}");
                }
            }
            assert!(
                leaders.windows(3).any(|l| l[0] == l[2] && l[0] != l[1]),
                "over and back: {gap} {how:?} {leaders:?}"
            );
            w.run(4.0);
            for n in 0..3 {
                let part = format!("wk-1/{n}");
                assert_eq!(
                    (w.running_copies(&part), w.start_count(&part)),
                    (1, 1),
                    "{gap} {how:?}"
                );
            }
            for turn in 0..8 {
                assert_eq!(w.running_copies(&format!("wk-9{turn}/0")), 0);
            }
        }
    }
}

/// All controllers are away for longer than the lease, twice, and then for a moment: each task runs once, what was
/// cancelled stays away, every job is known.
#[test]
fn all_controllers_away_for_longer_than_a_lease() {
    let (mut w, leader) = fleet(3);
    assert_eq!(w.submit(leader, "wk-1", json!({"parts": 2})).0, 201);
    assert_eq!(w.submit(leader, "wk-2", json!({})).0, 201);
    w.run(2.0);
    assert_eq!(
        w.request_with_retries((leader + 1) % 3, "POST", "/work/wk-2/cancel", &Value::Null)
            .0,
        200
    );
    for (turn, away) in [LEASE_S + 5.0, 0.1, 2.0 * LEASE_S, 0.4]
        .into_iter()
        .enumerate()
    {
        for n in 0..3 {
            w.kill_controller(n);
        }
        w.run(away);
        for n in 0..3 {
            w.start_controller(n, 3);
        }
        for _ in 0..30 {
            w.run(0.5);
            for part in ["wk-1/0", "wk-1/1"] {
                assert!(w.running_copies(part) <= 1, "turn {turn}");
            }
            assert_eq!(w.running_copies("wk-2/0"), 0);
        }
        assert_eq!(
            w.running_copies("wk-1/0") + w.running_copies("wk-1/1"),
            2,
            "turn {turn}"
        );
        for node in 0..3 {
            for (uid, status) in [("wk-1", "running"), ("wk-2", "cancelled")] {
                let told =
                    w.request_with_retries(node, "GET", &format!("/work/{uid}"), &Value::Null);
                assert_eq!(told.1["status"], status, "turn {turn}");
            }
        }
    }
}

/// The leader changes ten times in two minutes, some of that inside an outage of the state service; a machine can't
/// be reached all through it, and the team is at its limit.
#[test]
fn ten_leaders_in_two_minutes_also_inside_an_outage() {
    for out_from in [20, 50] {
        let (mut w, _) = fleet(5);
        let red = json!({"owner": "red", "parts": 4});
        assert_eq!(w.submit(0, "wk-1", red.clone()).0, 201);
        w.run(2.0);
        let lost = w.worker_running("wk-1/0");
        w.workers[lost].partitioned = true;
        let mut down: Option<usize> = None;
        let mut changes = 0;
        for second in 0..120 {
            if second % 12 == 0 {
                if let Some(n) = down.take() {
                    w.start_controller(n, 3);
                }
                let at = w.leader().unwrap_or(second / 12 % 3);
                w.kill_controller(at);
                down = Some(at);
                changes += 1;
            }
            if second == out_from || second == out_from + 35 {
                w.set_state_service_down(second == out_from);
            }
            for _ in 0..10 {
                w.run(0.1);
                for n in 0..4 {
                    assert!(
                        w.running_copies(&format!("wk-1/{n}")) <= 1,
                        "second {second}"
                    );
                }
                assert!(w.cores_in_use(&["wk-1"]) <= 16.0);
            }
        }
        assert_eq!(changes, 10);
        w.workers[lost].partitioned = false;
        if let Some(n) = down {
            w.start_controller(n, 3);
        }
        w.run(LEASE_S + 15.0);
        for n in 0..4 {
            assert_eq!(w.running_copies(&format!("wk-1/{n}")), 1, "all of it runs");
        }
    }
}
