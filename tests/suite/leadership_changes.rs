//! Faults that coincide with a change of leader: cancellations, hanging machines, quotas, machines that come up
//! early, a crash of all controllers, and ten leader changes in two minutes.

use crate::test_cluster::TestCluster;
use dewramp::clock::{Micros, SECOND};
use serde_json::{Value, json};

/// The setting `workers.cancel_s`: cancelled tasks have stopped within this time.
const CANCELLATION_DEADLINE: Micros = 50 * SECOND;
const LEASE_S: f64 = 30.0;

/// Three controllers and this many small machines, with room for one task each. Returns the cluster and the leader.
fn cluster_with_workers(machines: usize) -> (TestCluster, usize) {
    let zones: Vec<&str> = ["a", "b"].into_iter().cycle().take(machines).collect();
    TestCluster::with_leader(&zones)
}

/// How a controller stops acting as leader.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Departure {
    /// It crashes and stays down.
    Crash,
    /// It crashes and is running again 60 ms later.
    QuickRestart,
    /// It is told to shut down, and gives up leadership.
    GracefulShutdown,
    /// It keeps running, but the state service refuses its calls, and it does not learn of its successor.
    LosesStateService,
}

fn take_down(cluster: &mut TestCluster, node: usize, departure: Departure) {
    match departure {
        Departure::Crash => cluster.kill_controller(node),
        Departure::QuickRestart => {
            cluster.kill_controller(node);
            cluster.run(0.06);
            cluster.start_controller(node, 3);
        }
        Departure::GracefulShutdown => cluster.shut_down_controller(node),
        Departure::LosesStateService => {
            cluster.state_calls_refused_for = Some(node);
            cluster.close_watch_connections(node);
        }
    }
}

/// Asserts that the tasks of a job whose cancellation was confirmed at `cancelled_at` have stopped within
/// `cancel_s`, do not start again, and were started at most `starts_max` times.
fn assert_stopped_in_time(
    cluster: &mut TestCluster,
    cancelled_at: Micros,
    tasks: &[&str],
    starts_max: usize,
    case: &str,
) {
    while cluster.now.steady < cancelled_at + CANCELLATION_DEADLINE {
        cluster.run(0.5);
    }
    for _ in 0..20 {
        let running: usize = tasks.iter().map(|p| cluster.running_copies(p)).sum();
        assert_eq!(running, 0, "stopped within cancel_s: {case}");
        cluster.run(1.0);
    }
    let starts: usize = tasks.iter().map(|p| cluster.start_count(p)).sum();
    assert!(starts <= starts_max, "{starts} starts: {case}");
}

/// Rule `ran_cancelled`: a job is cancelled at various moments of a failover. One of its machines reports through a
/// controller that restarts too; the other receives its commands only later.
#[test]
fn jobs_cancelled_at_any_moment_of_a_failover_stop_in_time() {
    for departure in [
        Departure::Crash,
        Departure::QuickRestart,
        Departure::GracefulShutdown,
        Departure::LosesStateService,
    ] {
        for tenths in [0, 1, 3, 6, 10, 15, 17, 19, 21, 24, 30] {
            let case = format!("{departure:?} {tenths}");
            let (mut cluster, leader) = cluster_with_workers(4);
            cluster.deliver_cancellation_hints = tenths % 2 == 0;
            let other = (leader + 1) % 3;
            assert_eq!(cluster.submit(other, "wk-1", json!({"parts": 2})).0, 201);
            cluster.run(1.5);
            let hosts = [
                cluster.worker_running("wk-1/0"),
                cluster.worker_running("wk-1/1"),
            ];
            cluster.workers[hosts[0]].controller = (leader + 2) % 3;
            cluster.workers[hosts[1]].delayed_commands = Some(Vec::new());
            take_down(&mut cluster, leader, departure);
            cluster.run(f64::from(tenths) / 10.0);
            let answer =
                cluster.request_with_retries(other, "POST", "/work/wk-1/cancel", &Value::Null);
            assert_eq!(answer.1["status"], "cancelled", "{case}");
            let cancelled_at = cluster.now.steady;
            // The controller that forwards the heartbeats of one machine restarts as well.
            take_down(&mut cluster, (leader + 2) % 3, Departure::QuickRestart);
            cluster.run(3.0);
            let delayed_commands = cluster.workers[hosts[1]]
                .delayed_commands
                .take()
                .expect("delayed commands");
            for body in delayed_commands {
                cluster.workers[hosts[1]].handle_command_call(&body);
            }
            cluster.state_calls_refused_for = None;
            assert_stopped_in_time(&mut cluster, cancelled_at, &["wk-1/0", "wk-1/1"], 2, &case);
            for node in (0..3).filter(|n| *n != leader) {
                let answer = cluster.request_with_retries(node, "GET", "/work/wk-1", &Value::Null);
                assert_eq!(answer.1["status"], "cancelled", "{case}");
            }
        }
    }
}

/// Rule `ran_cancelled`: a job is cancelled after a new leader has read the live jobs and before it has read the
/// jobs that are being stopped, with a state service that rejects a watch of all keys. Both reads show the job, and
/// the change that the watch then reports is the very write that the second read already showed.
#[test]
fn a_cancellation_between_two_reads_of_a_new_leader_takes_effect() {
    let mut cluster = TestCluster::new(3);
    cluster.kv.rejects_unprefixed_watches = true;
    cluster.add_worker("m-1", "small", "a");
    cluster.add_worker("m-2", "small", "b");
    // Long enough for the followers to learn that the state service rejects a watch of all keys.
    cluster.run(20.0);
    let leader = cluster.leader().expect("a controller is leader");
    assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
    cluster.run(2.0);
    let host = cluster.worker_running("wk-1/0");
    // The transaction with which a controller confirms the cancellation, applied between the two reads.
    let (record, mod_revision, _) = cluster.kv.keys["job/wk-1"].clone();
    let final_state = json!({"status": "cancelled", "done": 0, "accepted": cluster.now.wall, "over": cluster.now.wall});
    let cancellation = json!({
        "if": [{"path": "job/wk-1", "stamp": mod_revision}, {"path": "over/wk-1", "stamp": 0}],
        "apply": [{"delete": "job/wk-1"}, {"set": "over/wk-1", "value": final_state},
                  {"set": "stopping/wk-1", "value": record}]});
    cluster.kv.transaction_after_list = Some(("job/", cancellation));
    cluster.kill_controller(leader);
    while cluster.leader().is_none() {
        cluster.run(0.1);
    }
    assert!(
        cluster.kv.transaction_after_list.is_none(),
        "the new leader has read the live jobs"
    );
    cluster.run(1.2);
    assert!(!cluster.workers[host].is_running("wk-1/0"), "stopped");
    assert_eq!(cluster.start_count("wk-1/0"), 1);
}

/// A job is cancelled right after its acceptance, and either one leader learns of both at once, or two leaders
/// learn of one each.
#[test]
fn a_job_accepted_and_cancelled_during_a_failover_starts_nothing_afterwards() {
    for tenths in [0, 5, 15, 20, 25] {
        let (mut cluster, leader) = cluster_with_workers(2);
        let other = (leader + 1) % 3;
        cluster.kill_controller(leader);
        cluster.run(f64::from(tenths) / 10.0);
        let job = crate::test_cluster::job_submission("wk-1");
        assert!(cluster.request_with_retries(other, "POST", "/work", &job).0 < 202);
        assert_eq!(
            cluster
                .request_with_retries(other, "POST", "/work/wk-1/cancel", &Value::Null)
                .0,
            200
        );
        let starts_before = cluster.start_count("wk-1/0");
        cluster.run(10.0);
        assert_eq!(
            cluster.start_count("wk-1/0"),
            starts_before,
            "no start after the cancellation"
        );
        assert_eq!(cluster.running_copies("wk-1/0"), 0);
    }
}

/// Rule `quota`: a team is at its limit, its job is cancelled while some of its machines hang, and the leader
/// changes twice. Hanging tasks are charged until they are proven to have stopped; then the team can use its whole
/// limit again.
#[test]
fn a_team_at_its_limit_is_charged_for_hanging_tasks_through_two_failovers() {
    let red = json!({"owner": "red", "parts": 4});
    for hang_s in [12.0, 45.0] {
        let (mut cluster, leader) = cluster_with_workers(8);
        assert_eq!(cluster.submit(leader, "wk-1", red.clone()).0, 201);
        cluster.run(2.0);
        assert_eq!(cluster.cores_in_use(&["wk-1"]), 16.0);
        let hanging: Vec<usize> = (0..3)
            .map(|n| cluster.worker_running(&format!("wk-1/{n}")))
            .collect();
        for host in &hanging {
            cluster.suspend_worker(*host);
        }
        let other = (leader + 1) % 3;
        assert_eq!(
            cluster
                .request_with_retries(other, "POST", "/work/wk-1/cancel", &Value::Null)
                .0,
            200
        );
        let cancelled_at = cluster.now.steady;
        assert_eq!(cluster.submit(other, "wk-2", red.clone()).0, 201);
        let mut first_leader = Some(leader);
        let mut second_leader = None;
        let submitted_at = cluster.now.steady;
        let mut resumed = false;
        for _ in 0..140 {
            cluster.run(0.5);
            let used = cluster.cores_in_use(&["wk-1", "wk-2"]);
            assert!(used <= 16.0, "{used} cores of 16");
            let elapsed = cluster.now.steady - submitted_at;
            if elapsed > SECOND && first_leader.is_some() {
                cluster.kill_controller(first_leader.take().unwrap());
            }
            if elapsed > 8 * SECOND && second_leader.is_none() {
                second_leader = cluster.leader();
                cluster.kill_controller(second_leader.expect("another controller is leader"));
                cluster.start_controller(leader, 3);
            }
            if elapsed > (hang_s * 1e6) as Micros && !resumed {
                resumed = true;
                for host in &hanging {
                    cluster.resume_worker(*host);
                }
            }
            if cluster.now.steady > cancelled_at + CANCELLATION_DEADLINE {
                assert_eq!(
                    cluster.cores_in_use(&["wk-1"]),
                    0.0,
                    "stopped within cancel_s"
                );
            }
        }
        assert_eq!(
            cluster.cores_in_use(&["wk-2"]),
            16.0,
            "the team uses its whole limit after machines hung for {hang_s} s"
        );
    }
}

/// The same with the machines of the cancelled tasks partitioned: they report again to a leader that never started
/// anything there.
#[test]
fn cancelled_tasks_on_partitioned_machines_are_charged_until_their_next_heartbeat() {
    let (mut cluster, leader) = cluster_with_workers(6);
    let red = json!({"owner": "red", "parts": 4});
    assert_eq!(cluster.submit(leader, "wk-1", red.clone()).0, 201);
    cluster.run(2.0);
    let partitioned: Vec<usize> = (0..4)
        .map(|n| cluster.worker_running(&format!("wk-1/{n}")))
        .collect();
    for host in &partitioned {
        cluster.workers[*host].partitioned = true;
    }
    let other = (leader + 1) % 3;
    assert_eq!(
        cluster
            .request_with_retries(other, "POST", "/work/wk-1/cancel", &Value::Null)
            .0,
        200
    );
    assert_eq!(cluster.submit(other, "wk-2", red).0, 201);
    cluster.kill_controller(leader);
    cluster.run(10.0);
    assert_eq!(
        cluster.start_count("wk-2/0"),
        0,
        "the cancelled job may still use all 16 cores"
    );
    for host in &partitioned {
        cluster.workers[*host].partitioned = false;
    }
    for _ in 0..20 {
        cluster.run(0.5);
        assert!(cluster.cores_in_use(&["wk-1", "wk-2"]) <= 16.0);
    }
    assert_eq!(cluster.cores_in_use(&["wk-2"]), 16.0);
}

/// A machine comes up before its rental is answered, gets a task while writes are slow, and the leader crashes. The
/// next leader knows of the task, whether or not the cloud lists the machine, and does not release the machine.
#[test]
fn a_machine_that_comes_up_early_is_neither_lost_nor_released_with_its_work() {
    for delayed_write in [Some("roll/"), Some("job/wk-1"), None] {
        for crash_after_s in [0.1, 0.4, 1.0, 3.0] {
            let case = format!("{delayed_write:?} {crash_after_s}");
            let (mut cluster, leader) = cluster_with_workers(1);
            let other = (leader + 1) % 3;
            assert_eq!(cluster.submit(other, "wk-0", json!({})).0, 201);
            cluster.run(1.0);
            assert_eq!(cluster.submit(other, "wk-1", json!({})).0, 201);
            cluster.run(1.0);
            assert_eq!(cluster.running_copies("wk-1/0"), 0, "no free capacity yet");
            cluster.delay_answers_with = delayed_write;
            let early = cluster.add_worker("m-000900", "small", "a");
            cluster.workers[early].controller = other;
            cluster.run(crash_after_s);
            cluster.kill_controller(leader);
            cluster.delay_answers_with = None;
            cluster.delayed_answers.clear();
            // Any further heartbeats of the machine reach the new leader only.
            cluster.run(12.0);
            let next = cluster.leader().expect("another controller is leader");
            assert_ne!(next, leader, "{case}");
            assert_eq!(
                (
                    cluster.running_copies("wk-1/0"),
                    cluster.start_count("wk-1/0")
                ),
                (1, 1),
                "{case}"
            );
            assert!(cluster.workers[early].is_running("wk-1/0"), "{case}");
            cluster.run(80.0);
            assert!(
                cluster.released_machines.is_empty(),
                "{case}: a machine with a task is not released"
            );
            assert_eq!(
                (
                    cluster.running_copies("wk-1/0"),
                    cluster.start_count("wk-1/0")
                ),
                (1, 1),
                "{case}"
            );
            cluster.workers[early].end_task("wk-1/0", "done");
            cluster.run(5.0);
            let answer = cluster.request(other, "GET", "/work/wk-1", Value::Null);
            assert_eq!(answer.1["status"], "done", "{case}");
        }
    }
}

/// Leadership moves from A to B and back to A within a second or two: each leadership period has its own term, and
/// no task runs twice.
#[test]
fn leadership_changes_over_and_back_within_a_second() {
    for pause_s in [0.05, 0.2, 0.5, 0.9] {
        for departure in [Departure::QuickRestart, Departure::GracefulShutdown] {
            let (mut cluster, mut leader) = cluster_with_workers(4);
            assert_eq!(cluster.submit(leader, "wk-1", json!({"parts": 3})).0, 201);
            cluster.run(1.0);
            // With two controllers left, leadership can only move over and back.
            cluster.kill_controller((leader + 2) % 3);
            let pair = [leader, (leader + 1) % 3];
            let mut leaders = vec![leader];
            for round in 0..8 {
                take_down(&mut cluster, leader, departure);
                let uid = format!("wk-9{round}");
                let follower = pair[usize::from(leader == pair[0])];
                cluster.request_with_retries(
                    follower,
                    "POST",
                    "/work",
                    &crate::test_cluster::job_submission(&uid),
                );
                cluster.request_with_retries(
                    follower,
                    "POST",
                    &format!("/work/{uid}/cancel"),
                    &Value::Null,
                );
                for _ in 0..200 {
                    cluster.step(20_000);
                    if cluster.leader().is_some() {
                        break;
                    }
                }
                let departed = leader;
                leader = cluster.leader().expect("a controller is leader");
                leaders.push(leader);
                if departure == Departure::GracefulShutdown {
                    cluster.start_controller(departed, 3);
                }
                cluster.run(pause_s);
                leader = cluster.leader().expect("a controller is leader");
                for n in 0..3 {
                    let task = format!("wk-1/{n}");
                    assert!(
                        cluster.running_copies(&task) <= 1,
                        "{pause_s} {departure:?} {leaders:?}"
                    );
                }
            }
            assert!(
                leaders.windows(3).any(|l| l[0] == l[2] && l[0] != l[1]),
                "leadership did not move over and back: {pause_s} {departure:?} {leaders:?}"
            );
            cluster.run(4.0);
            for n in 0..3 {
                let task = format!("wk-1/{n}");
                assert_eq!(
                    (cluster.running_copies(&task), cluster.start_count(&task)),
                    (1, 1),
                    "{pause_s} {departure:?}"
                );
            }
            for round in 0..8 {
                assert_eq!(cluster.running_copies(&format!("wk-9{round}/0")), 0);
            }
        }
    }
}

/// All controllers are down for longer than the lease, twice, and for short times in between: each task runs once,
/// a cancelled job is not started again, and every job is known.
#[test]
fn all_controllers_down_for_longer_than_a_lease() {
    let (mut cluster, leader) = cluster_with_workers(3);
    assert_eq!(cluster.submit(leader, "wk-1", json!({"parts": 2})).0, 201);
    assert_eq!(cluster.submit(leader, "wk-2", json!({})).0, 201);
    cluster.run(2.0);
    assert_eq!(
        cluster
            .request_with_retries((leader + 1) % 3, "POST", "/work/wk-2/cancel", &Value::Null)
            .0,
        200
    );
    for (round, down_s) in [LEASE_S + 5.0, 0.1, 2.0 * LEASE_S, 0.4]
        .into_iter()
        .enumerate()
    {
        for n in 0..3 {
            cluster.kill_controller(n);
        }
        cluster.run(down_s);
        for n in 0..3 {
            cluster.start_controller(n, 3);
        }
        for _ in 0..30 {
            cluster.run(0.5);
            for task in ["wk-1/0", "wk-1/1"] {
                assert!(cluster.running_copies(task) <= 1, "round {round}");
            }
            assert_eq!(cluster.running_copies("wk-2/0"), 0);
        }
        assert_eq!(
            cluster.running_copies("wk-1/0") + cluster.running_copies("wk-1/1"),
            2,
            "round {round}"
        );
        for node in 0..3 {
            for (uid, status) in [("wk-1", "running"), ("wk-2", "cancelled")] {
                let answer = cluster.request_with_retries(
                    node,
                    "GET",
                    &format!("/work/{uid}"),
                    &Value::Null,
                );
                assert_eq!(answer.1["status"], status, "round {round}");
            }
        }
    }
}

/// The leader crashes ten times in two minutes, partly during an outage of the state service, while one machine is
/// partitioned and the team is at its limit.
#[test]
fn ten_leader_changes_in_two_minutes_with_a_state_service_outage() {
    for outage_start_s in [20, 50] {
        let (mut cluster, _) = cluster_with_workers(5);
        let red = json!({"owner": "red", "parts": 4});
        assert_eq!(cluster.submit(0, "wk-1", red.clone()).0, 201);
        cluster.run(2.0);
        let partitioned = cluster.worker_running("wk-1/0");
        cluster.workers[partitioned].partitioned = true;
        let mut stopped: Option<usize> = None;
        let mut leader_changes = 0;
        for second in 0..120 {
            if second % 12 == 0 {
                if let Some(n) = stopped.take() {
                    cluster.start_controller(n, 3);
                }
                let leader = cluster.leader().unwrap_or(second / 12 % 3);
                cluster.kill_controller(leader);
                stopped = Some(leader);
                leader_changes += 1;
            }
            if second == outage_start_s || second == outage_start_s + 35 {
                cluster.set_state_service_down(second == outage_start_s);
            }
            for _ in 0..10 {
                cluster.run(0.1);
                for n in 0..4 {
                    assert!(
                        cluster.running_copies(&format!("wk-1/{n}")) <= 1,
                        "second {second}"
                    );
                }
                assert!(cluster.cores_in_use(&["wk-1"]) <= 16.0);
            }
        }
        assert_eq!(leader_changes, 10);
        cluster.workers[partitioned].partitioned = false;
        if let Some(n) = stopped {
            cluster.start_controller(n, 3);
        }
        cluster.run(LEASE_S + 15.0);
        for n in 0..4 {
            assert_eq!(
                cluster.running_copies(&format!("wk-1/{n}")),
                1,
                "all tasks run again"
            );
        }
    }
}
