//! Combinations of two or more faults, in which rules are most likely to be violated.

use crate::test_cluster::TestCluster;
use dewramp::cancellation_freshness::{self, CancellationFreshness};
use dewramp::clock::{Micros, Now, SECOND};
use dewramp::messages::Input;
use dewramp::registry::{MachineRegistry, RegistryRequest, WriteResult};
use dewramp::schema::Schema;
use dewramp::state_client::RawJson;
use dewramp::wire::KIND_CANCELLED;
use dewramp::worker_ledger::WorkerLedger;
use serde_json::{Value, json};

/// The setting `workers.cancel_s`: cancelled tasks have stopped within this time.
const CANCELLATION_DEADLINE: Micros = 50 * SECOND;

/// Three controllers and two machines. Returns the cluster, the leader and a follower.
fn cluster_with_two_workers() -> (TestCluster, usize, usize) {
    let (cluster, leader) = TestCluster::with_leader(&["a", "b"]);
    (cluster, leader, (leader + 1) % 3)
}

/// Cancels a job and expects success.
fn cancel_job(cluster: &mut TestCluster, node: usize, uid: &str) {
    let path = format!("/work/{uid}/cancel");
    let response = cluster.request(node, "POST", &path, Value::Null);
    assert_eq!(
        (response.0, response.1["status"].as_str()),
        (200, Some("cancelled"))
    );
}

/// A message of another controller, whose answer nobody waits for.
fn peer_message(kind: u16, body: Vec<u8>) -> Input {
    Input::PeerRequest {
        conn: 999_999,
        ticket: 1,
        kind,
        timeout: SECOND,
        subject: "n-9".to_owned(),
        body,
    }
}

/// Rule `ran_cancelled`: the leader's watches hang while its lease is renewed, so it learns of no cancellation. Its
/// heartbeat responses must not keep a cancelled task running beyond `cancel_s`.
#[test]
fn a_leader_with_hanging_watches_stops_renewing_leases_in_time() {
    let (mut cluster, leader, other) = cluster_with_two_workers();
    assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
    cluster.run(1.0);
    assert_eq!(cluster.running_copies("wk-1/0"), 1);
    cluster.watches_hang_for = Some((leader, true));
    cluster.run(0.1);
    cancel_job(&mut cluster, other, "wk-1");
    let cancelled_at = cluster.now.steady;
    while cluster.now.steady < cancelled_at + CANCELLATION_DEADLINE {
        cluster.run(0.5);
    }
    assert_eq!(
        cluster.running_copies("wk-1/0"),
        0,
        "stopped within cancel_s"
    );
    assert_eq!(cluster.start_count("wk-1/0"), 1);
}

/// For tasks that are not cancelled: another controller becomes leader before the old one must stop answering
/// heartbeats, so that no machine lease expires.
#[test]
fn a_leader_with_hanging_watches_steps_down() {
    let (mut cluster, leader, other) = cluster_with_two_workers();
    assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
    cluster.run(1.0);
    cluster.watches_hang_for = Some((leader, true));
    cluster.run(40.0);
    assert!(cluster.leader().is_some_and(|l| l != leader));
    assert_eq!(
        (
            cluster.start_count("wk-1/0"),
            cluster.running_copies("wk-1/0")
        ),
        (1, 1)
    );
    assert_eq!(cluster.submit(other, "wk-2", json!({})).0, 201);
    cluster.run(1.0);
    assert_eq!(cluster.running_copies("wk-2/0"), 1);
}

/// How long a proof of freshness is valid follows from the settings alone, and after a loss of leadership the
/// leader needs a new proof first.
#[test]
fn cancellation_knowledge_is_valid_for_cancel_s_minus_the_lease() {
    let validity = cancellation_freshness::validity_from_settings(31 * SECOND, 51 * SECOND);
    assert!((16 * SECOND..17 * SECOND).contains(&validity), "{validity}");
    assert!(cancellation_freshness::cancellation_slack(31 * SECOND, 34 * SECOND).is_none());
    assert_eq!(
        cancellation_freshness::validity_from_settings(31 * SECOND, 30 * SECOND),
        SECOND
    );
    let short_validity = CancellationFreshness::new(SECOND, 100 * SECOND);
    assert!(
        !short_validity.is_fresh(102 * SECOND, 0)
            && !short_validity.is_refresh_stuck(102 * SECOND, 0)
    );
    assert!(short_validity.is_refresh_stuck(105 * SECOND, 0));
    let mut freshness = CancellationFreshness::new(validity, 100 * SECOND);
    let leading_since = 100 * SECOND - 1;
    assert!(freshness.is_fresh(100 * SECOND + validity - 1, leading_since));
    assert!(!freshness.is_fresh(100 * SECOND + validity, leading_since));
    // A proof is valid from when its read was sent, not from when the reply arrived, and never moves backwards.
    freshness.note_proof(105 * SECOND);
    freshness.note_proof(103 * SECOND);
    assert!(freshness.is_fresh(105 * SECOND + validity - 1, leading_since));
    assert!(!freshness.is_fresh(105 * SECOND + validity, leading_since));
    // After a loss of leadership, reads sent before prove nothing about the time without leadership.
    let leading_again_since = 106 * SECOND;
    assert!(!freshness.is_fresh(leading_again_since + SECOND, leading_again_since));
    assert!(
        freshness.should_refresh(leading_again_since + SECOND, leading_again_since),
        "a read is due at once"
    );
    assert!(
        !freshness.should_refresh(leading_again_since + 2 * SECOND, leading_again_since),
        "one read at a time"
    );
    freshness.refresh_answered();
    freshness.note_proof(leading_again_since + SECOND);
    assert!(freshness.is_fresh(leading_again_since + 2 * SECOND, leading_again_since));
    assert!(
        !freshness.should_refresh(leading_again_since + 2 * SECOND, leading_again_since),
        "the proof is fresh"
    );
    assert!(freshness.should_refresh(
        leading_again_since + SECOND + validity / 3,
        leading_again_since
    ));
    assert!(!freshness.is_refresh_stuck(
        leading_again_since + SECOND + validity / 2,
        leading_again_since
    ));
    assert!(freshness.is_refresh_stuck(
        leading_again_since + SECOND + validity * 2 / 3,
        leading_again_since
    ));
}

/// If only the waiting watch hangs, the leader reads the changes with a separate request and keeps leading.
#[test]
fn a_leader_whose_watch_hangs_polls_for_changes() {
    let (mut cluster, leader, other) = cluster_with_two_workers();
    assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
    cluster.run(1.0);
    cluster.watches_hang_for = Some((leader, false));
    cluster.run(0.1);
    cancel_job(&mut cluster, other, "wk-1");
    cluster.run(8.0);
    assert_eq!(cluster.running_copies("wk-1/0"), 0);
    assert_eq!(cluster.leader(), Some(leader), "it kept leading");
}

/// Rule `ran_cancelled`: the state service refuses the leader alone, another controller confirms a cancellation,
/// then the state service is down for all for longer than `cancel_s`. The leader's lease survives the outage. A
/// start that was stored before and not yet sent must not be sent afterwards.
#[test]
fn a_start_stored_before_an_outage_waits_until_the_leader_has_caught_up() {
    let (mut cluster, leader, other) = cluster_with_two_workers();
    cluster.workers[1].partitioned = true;
    cluster.run(1.0);
    // The placement is stored; its confirmation arrives after the leader's lease has expired.
    cluster.delay_answers_with = Some("m-1");
    assert_eq!(cluster.submit(other, "wk-1", json!({})).0, 201);
    cluster.run(0.3);
    assert!(
        cluster.kv.keys["job/wk-1"].0.to_string().contains("m-1"),
        "stored"
    );
    cluster.delay_answers_with = None;
    cluster.state_calls_refused_for = Some(leader);
    cluster.close_watch_connections(leader);
    cluster.watches_hang_for = Some((leader, false));
    cancel_job(&mut cluster, other, "wk-1");
    cluster.set_state_service_down(true);
    while cluster.leader().is_some() {
        cluster.run(0.1);
    }
    cluster.deliver_delayed_answers();
    cluster.run(63.0);
    assert_eq!(cluster.start_count("wk-1/0"), 0);
    cluster.state_calls_refused_for = None;
    cluster.set_state_service_down(false);
    cluster.run(0.5);
    assert_eq!(
        cluster.leader(),
        Some(leader),
        "its lease survived the outage"
    );
    cluster.run(10.0);
    assert_eq!(
        cluster.start_count("wk-1/0"),
        0,
        "cancelled more than cancel_s ago"
    );
    assert_eq!(cluster.submit(other, "wk-2", json!({})).0, 201);
    cluster.run(1.0);
    assert_eq!(cluster.running_copies("wk-2/0"), 1, "it still leads");
}

/// Rule `ran_cancelled`: as above with running tasks. They stop in time at whatever moment the outage follows the
/// refusals.
#[test]
fn tasks_cancelled_while_the_state_service_refuses_the_leader_stop_in_time() {
    for outage_after in [0.2, 0.7, 1.2, 2.0] {
        let (mut cluster, leader, other) = cluster_with_two_workers();
        assert_eq!(cluster.submit(other, "wk-1", json!({"parts": 2})).0, 201);
        cluster.run(1.0);
        assert_eq!(
            cluster.running_copies("wk-1/0") + cluster.running_copies("wk-1/1"),
            2
        );
        cluster.state_calls_refused_for = Some(leader);
        cancel_job(&mut cluster, other, "wk-1");
        let cancelled_at = cluster.now.steady;
        cluster.run(outage_after);
        cluster.set_state_service_down(true);
        cluster.run(14.0);
        cluster.state_calls_refused_for = None;
        while cluster.now.steady < cancelled_at + CANCELLATION_DEADLINE {
            cluster.run(0.5);
        }
        assert_eq!(
            cluster.running_copies("wk-1/0") + cluster.running_copies("wk-1/1"),
            0,
            "{outage_after}"
        );
        cluster.set_state_service_down(false);
        cluster.run(10.0);
        assert_eq!(
            cluster.start_count("wk-1/0") + cluster.start_count("wk-1/1"),
            2,
            "not started again"
        );
    }
}

/// Rule `ran_cancelled`: the first heartbeat that a new leader receives from a machine lists a cancelled task.
/// Commands to that machine are lost, while heartbeat responses arrive. The first response renews the lease and
/// must therefore also stop the task.
#[test]
fn the_first_heartbeat_response_of_a_new_leader_stops_cancelled_tasks() {
    let (mut cluster, leader, other) = cluster_with_two_workers();
    assert_eq!(cluster.submit(other, "wk-1", json!({})).0, 201);
    cluster.run(1.0);
    let host = cluster.worker_running("wk-1/0");
    cluster.workers[host].partitioned = true;
    cluster.kill_controller(leader);
    cluster.run(0.1);
    cancel_job(&mut cluster, other, "wk-1");
    cluster.run(8.0);
    let next = cluster.leader().expect("another controller is leader");
    assert_ne!(next, leader);
    cluster.workers[host].partitioned = false;
    cluster.workers[host].commands_hang = true;
    cluster.workers[host].controller = next;
    // The first heartbeat to the new leader; only its response can reach the machine.
    cluster.send_heartbeat(host);
    cluster.step(10_000);
    assert!(
        !cluster.workers[host].is_running("wk-1/0"),
        "stopped by the heartbeat response itself"
    );
}

/// Partitions a controller from all others.
fn partition_from_peers(cluster: &mut TestCluster, node: usize) {
    cluster.cut_links = (0..cluster.controllers.len())
        .filter(|n| *n != node)
        .map(|n| (node, n))
        .collect();
}

/// Rules `went_back` and `ran_cancelled`: a leader without state service and peers, which workers and users still
/// reach, rejects the requests of both at once after its lease has expired, and fails the load balancer's health
/// checks.
#[test]
fn a_leader_partitioned_from_state_service_and_peers_rejects_all_requests() {
    let (mut cluster, leader, other) = cluster_with_two_workers();
    assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
    cluster.run(1.0);
    let host = cluster.worker_running("wk-1/0");
    for worker in &mut cluster.workers {
        worker.controller = leader;
    }
    cluster.run(1.0);
    cluster.state_calls_refused_for = Some(leader);
    partition_from_peers(&mut cluster, leader);
    cluster.run(4.0);
    let next = cluster.leader().expect("another controller is leader");
    assert_ne!(next, leader);
    cancel_job(&mut cluster, other, "wk-1");
    for (method, path) in [
        ("GET", "/up"),
        ("GET", "/work/wk-1"),
        ("POST", "/work/wk-1/cancel"),
    ] {
        let sent_at = cluster.now.steady;
        assert_eq!(
            cluster.request(leader, method, path, Value::Null).0,
            503,
            "{path}"
        );
        assert!(
            cluster.now.steady - sent_at <= SECOND / 10,
            "{path}: rejected at once"
        );
    }
    assert!(
        cluster.controllers[leader]
            .as_ref()
            .expect("the controller runs")
            .is_isolated()
    );
    cluster.run(4.0);
    assert!(
        cluster.workers.iter().all(|x| x.controller != leader),
        "all workers switched to another controller"
    );
    assert!(!cluster.workers[host].is_running("wk-1/0"));
    // After the partition heals, it serves at once.
    cluster.state_calls_refused_for = None;
    cluster.cut_links.clear();
    cluster.run(2.0);
    assert_eq!(cluster.request(leader, "GET", "/up", Value::Null).0, 200);
    let response = cluster.request(leader, "GET", "/work/wk-1", Value::Null);
    assert_eq!(response.1["status"], "cancelled");
}

/// The same partition for half a second: the leader keeps its lease.
#[test]
fn a_leader_partition_shorter_than_its_lease_has_no_effect() {
    let (mut cluster, leader, other) = cluster_with_two_workers();
    assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
    cluster.run(1.0);
    cluster.state_calls_refused_for = Some(leader);
    partition_from_peers(&mut cluster, leader);
    cluster.run(0.5);
    cluster.state_calls_refused_for = None;
    cluster.cut_links.clear();
    cluster.run(2.0);
    assert_eq!(cluster.leader(), Some(leader));
    cancel_job(&mut cluster, other, "wk-1");
    cluster.run(2.0);
    assert_eq!(cluster.running_copies("wk-1/0"), 0);
}

/// If the state service is down for all, no controller is isolated: they reach each other and keep passing health
/// checks, so that users are served as soon as the state service is back.
#[test]
fn a_state_service_outage_for_all_is_not_mistaken_for_isolation() {
    let (mut cluster, _, _) = cluster_with_two_workers();
    cluster.set_state_service_down(true);
    cluster.run(30.0);
    for node in 0..3 {
        assert_eq!(
            cluster.request(node, "GET", "/up", Value::Null).0,
            200,
            "controller {node}"
        );
    }
    cluster.set_state_service_down(false);
    cluster.run(1.0);
    assert_eq!(cluster.submit(0, "wk-1", json!({})).0, 201);
}

/// Heartbeats of a machine arrive, while responses and commands to it are lost. Its lease expires, its task runs
/// elsewhere, and it gets no new task before it has shown that it receives.
#[test]
fn an_inbound_partitioned_machine_gets_no_starts_until_it_receives_again() {
    let (mut cluster, _, other) = cluster_with_two_workers();
    assert_eq!(cluster.submit(other, "wk-1", json!({})).0, 201);
    cluster.run(1.0);
    let partitioned = cluster.worker_running("wk-1/0");
    cluster.workers[partitioned].inbound_partitioned = true;
    cluster.run(40.0);
    assert_eq!(cluster.running_copies("wk-1/0"), 1);
    assert!(
        cluster.workers[1 - partitioned].is_running("wk-1/0"),
        "moved once its lease had expired"
    );
    // The other machine is full. The waiting job must not be placed on the machine that does not receive.
    assert_eq!(cluster.submit(other, "wk-2", json!({})).0, 201);
    cluster.run(10.0);
    let placed = cluster.kv.keys["job/wk-2"].0.to_string();
    let name = cluster.workers[partitioned].id.clone();
    assert!(!placed.contains(&name), "{placed}");
    cluster.workers[partitioned].inbound_partitioned = false;
    cluster.run(5.0);
    assert!(
        cluster.workers[partitioned].is_running("wk-2/0"),
        "it receives again"
    );
}

/// Rules `ran_twice` and `quota`: a new leader receives heartbeats of a machine that none of its responses reach.
/// The task stored for that machine is held until the lease has certainly expired.
#[test]
fn a_new_leader_holds_tasks_of_an_inbound_partitioned_machine() {
    let (mut cluster, leader, other) = cluster_with_two_workers();
    assert_eq!(cluster.submit(other, "wk-1", json!({})).0, 201);
    cluster.run(1.0);
    let partitioned = cluster.worker_running("wk-1/0");
    cluster.workers[partitioned].inbound_partitioned = true;
    cluster.kill_controller(leader);
    for _ in 0..60 {
        cluster.run(1.0);
        assert!(cluster.running_copies("wk-1/0") <= 1);
    }
    cluster.workers[partitioned].inbound_partitioned = false;
    cluster.run(10.0);
    assert_eq!(
        cluster.running_copies("wk-1/0"),
        1,
        "it runs on one of the machines"
    );
}

/// The worker's current heartbeat, to be delivered again later.
fn record_heartbeat(cluster: &mut TestCluster, worker: usize) -> Value {
    cluster.workers[worker].heartbeat()
}

/// Rule `ran_twice`: a copy of a heartbeat from before the task was placed arrives while the task runs. It is
/// delivered to the leader that placed the task, and to a new leader as the first message of that machine.
#[test]
fn a_duplicate_heartbeat_releases_no_task() {
    let (mut cluster, leader, other) = cluster_with_two_workers();
    let without_tasks = [
        record_heartbeat(&mut cluster, 0),
        record_heartbeat(&mut cluster, 1),
    ];
    cluster.run(2.0);
    assert_eq!(cluster.submit(other, "wk-1", json!({})).0, 201);
    cluster.run(2.0);
    let host = cluster.worker_running("wk-1/0");
    for wait in [2.0, 10.0, 45.0] {
        cluster.run(wait);
        cluster.send_request(leader, "POST", "/checkin", without_tasks[host].clone());
        cluster.run(2.0);
        assert_eq!(cluster.start_count("wk-1/0"), 1, "after {wait} s");
    }
    cluster.workers[host].partitioned = true;
    cluster.kill_controller(leader);
    cluster.run(6.0);
    let next = cluster.leader().expect("another controller is leader");
    cluster.send_request(next, "POST", "/checkin", without_tasks[host].clone());
    cluster.run(10.0);
    assert_eq!(
        cluster.start_count("wk-1/0"),
        1,
        "held: the copy does not show the new fencing token"
    );
    cluster.workers[host].partitioned = false;
    cluster.run(5.0);
    assert_eq!(
        (
            cluster.start_count("wk-1/0"),
            cluster.running_copies("wk-1/0")
        ),
        (1, 1)
    );
}

/// A late copy of a heartbeat restores neither a removed machine nor its tasks.
#[test]
fn a_duplicate_heartbeat_of_a_removed_machine_adds_no_capacity() {
    let (mut cluster, leader, other) = cluster_with_two_workers();
    assert_eq!(cluster.submit(other, "wk-1", json!({})).0, 201);
    cluster.run(2.0);
    let host = cluster.worker_running("wk-1/0");
    let last_heartbeat = record_heartbeat(&mut cluster, host);
    cluster.run(2.0);
    cluster.workers.remove(host);
    cluster.run(75.0);
    assert_eq!(
        cluster.running_copies("wk-1/0"),
        1,
        "moved to the other machine"
    );
    let blocking_machine = cluster.workers[0].id.clone();
    cluster.send_request(leader, "POST", "/checkin", last_heartbeat);
    cluster.run(1.0);
    assert_eq!(cluster.submit(other, "wk-2", json!({})).0, 201);
    cluster.run(5.0);
    assert!(
        !cluster.kv.keys["job/wk-2"]
            .0
            .to_string()
            .contains("placed\":{\"m"),
        "no machine has room"
    );
    cluster.workers[0].end_task("wk-1/0", "done");
    cluster.run(4.0);
    assert!(
        cluster.workers[0].is_running("wk-2/0"),
        "it waited for room on {blocking_machine}"
    );
}

/// Rules `not_done` and `went_back`: the tasks of a job end at different times, and the leader that receives each
/// final state crashes before it can store it.
#[test]
fn a_job_whose_tasks_end_under_different_leaders_is_done_once_all_have_ended() {
    let (mut cluster, _, _) = cluster_with_two_workers();
    cluster.add_worker("m-3", "small", "a");
    cluster.run(2.0);
    assert_eq!(cluster.submit(0, "wk-1", json!({"parts": 3})).0, 201);
    cluster.run(2.0);
    for part in 0..3 {
        let leader = cluster.leader().expect("a controller is leader");
        let task = format!("wk-1/{part}");
        let host = cluster.worker_running(&task);
        cluster.workers[host].end_task(&task, "done");
        // The leader receives the final state and crashes in the same moment.
        cluster.workers[host].controller = leader;
        cluster.send_heartbeat(host);
        cluster.kill_controller(leader);
        cluster.run(9.0);
        cluster.start_controller(leader, 3);
        cluster.run(7.0);
        let job_state = cluster.request(leader, "GET", "/work/wk-1", Value::Null).1;
        let expected = if part < 2 { "running" } else { "done" };
        assert_eq!(job_state["status"], expected, "{part}: {job_state}");
        assert_eq!(job_state["done"], part + 1);
    }
    for part in 0..3 {
        assert_eq!(cluster.start_count(&format!("wk-1/{part}")), 1);
    }
}

/// Rule `went_back`: the transaction of a cancellation gets no answer and is applied late, after the user's retry
/// was answered, or after the job is done. It must change nothing.
#[test]
fn a_cancellation_applied_late_contradicts_no_earlier_answer() {
    for done_before in [false, true] {
        let (mut cluster, _, other) = cluster_with_two_workers();
        assert_eq!(cluster.submit(other, "wk-1", json!({})).0, 201);
        cluster.run(1.0);
        cluster.kv.hold_transactions_with = Some("over/wk-1");
        assert_eq!(
            cluster
                .request(other, "POST", "/work/wk-1/cancel", Value::Null)
                .0,
            503
        );
        cluster.kv.hold_transactions_with = None;
        if done_before {
            let host = cluster.worker_running("wk-1/0");
            cluster.workers[host].end_task("wk-1/0", "done");
            cluster.run(4.0);
        }
        let status = cluster
            .request(other, "POST", "/work/wk-1/cancel", Value::Null)
            .1["status"]
            .clone();
        assert_eq!(status, if done_before { "done" } else { "cancelled" });
        for transaction in std::mem::take(&mut cluster.kv.held_transactions) {
            assert_eq!(
                cluster.kv.txn(&transaction).0,
                409,
                "its precondition never holds again"
            );
        }
        cluster.run(3.0);
        for node in 0..3 {
            assert_eq!(
                cluster.request(node, "GET", "/work/wk-1", Value::Null).1["status"],
                status
            );
        }
    }
}

/// Rule `went_back`: the state service goes down during the transaction of a cancellation, whose result is unknown.
/// The next answer is the stored state, and polls at every controller agree with it.
#[test]
fn an_outage_during_a_cancellation_leaves_one_consistent_answer() {
    let (mut cluster, _, other) = cluster_with_two_workers();
    assert_eq!(cluster.submit(other, "wk-1", json!({})).0, 201);
    cluster.run(1.0);
    cluster.delay_answers_with = Some("over/wk-1");
    let connection = cluster.send_request(other, "POST", "/work/wk-1/cancel", Value::Null);
    cluster.run(0.1);
    cluster.set_state_service_down(true);
    cluster.delay_answers_with = None;
    let delayed = std::mem::take(&mut cluster.delayed_answers);
    for (node, ticket, _) in delayed {
        cluster
            .delayed_answers
            .push((node, ticket, dewramp::messages::Outcome::Lost));
    }
    cluster.deliver_delayed_answers();
    cluster.run(2.0);
    assert_eq!(cluster.answers.remove(&connection).map(|a| a.0), Some(503));
    assert_eq!(
        cluster.request(other, "GET", "/work/wk-1", Value::Null).0,
        503,
        "not answered from memory"
    );
    cluster.run(60.0);
    cluster.set_state_service_down(false);
    cluster.run(2.0);
    for node in 0..3 {
        assert_eq!(
            cluster.request(node, "GET", "/work/wk-1", Value::Null).1["status"],
            "cancelled"
        );
    }
    cancel_job(&mut cluster, other, "wk-1");
    assert_eq!(cluster.running_copies("wk-1/0"), 0);
}

/// When the page of a registry test was created.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PageCreation {
    InEarlierTerm,
    Answered,
    AnswerLost,
}

/// This leader creates a page of the machine registry; later the machines move to other pages. If the page were deleted, the
/// write that created it, without an answer and late, or a late copy of it, would restore the page with outdated silence
/// marks. A page of an earlier term is deleted: writes of that term require the former leader's key.
#[test]
fn a_registry_page_created_in_this_term_is_emptied_and_not_deleted() {
    for creation in [
        PageCreation::InEarlierTerm,
        PageCreation::Answered,
        PageCreation::AnswerLost,
    ] {
        let mut test = RegistryTest::new();
        test.play(10, creation == PageCreation::AnswerLost);
        if creation == PageCreation::InEarlierTerm {
            let (key, value) = test.last_written.take().expect("the page was written");
            test.registry = MachineRegistry::new(registry_schema(16 * 1024));
            let loaded = test.registry.load_page(&key, &value, test.revision);
            assert_eq!(loaded.expect("readable").len(), 120);
        }
        let smaller = registry_schema(2 * 1024);
        test.registry.set_schema(test.now.steady, smaller);
        test.play(30, false);
        assert_eq!(
            (test.deleted.len(), test.emptied.len()),
            if creation == PageCreation::InEarlierTerm {
                (1, 0)
            } else {
                (0, 1)
            },
            "{creation:?}"
        );
    }
}

fn registry_schema(value_bytes: usize) -> Schema {
    Schema {
        version: 2,
        value_bytes,
        txn_ops: 20,
    }
}

/// A registry of 120 machines, and the pages that it deleted or emptied.
struct RegistryTest {
    now: Now,
    workers: WorkerLedger,
    registry: MachineRegistry,
    revision: u64,
    deleted: Vec<String>,
    emptied: Vec<String>,
    last_written: Option<(String, RawJson)>,
}

impl RegistryTest {
    fn new() -> Self {
        let now = Now {
            steady: 10 * SECOND,
            wall: 1_000 * SECOND,
        };
        let mut workers = WorkerLedger::new(1, now.steady, 30 * SECOND, 3 * SECOND, Vec::new());
        for n in 0..120 {
            let id: std::sync::Arc<str> = format!("m-{n:06}").as_str().into();
            let address = "10.1.0.1:9000";
            workers.add_registered_machine(id.clone(), address, "small", "a", false, now.steady);
            workers.mark_registry_stale(&id);
        }
        Self {
            now,
            workers,
            registry: MachineRegistry::new(registry_schema(16 * 1024)),
            revision: 4,
            deleted: Vec::new(),
            emptied: Vec::new(),
            last_written: None,
        }
    }

    /// Carries out the registry's requests for some seconds; the answer to the first write may be lost.
    fn play(&mut self, seconds: usize, mut lose_next_answer: bool) {
        let no_machines = std::collections::BTreeSet::new();
        for _ in 0..seconds {
            self.now.steady += SECOND;
            let (registry, workers) = (&mut self.registry, &mut self.workers);
            for request in registry.take_due_requests(self.now, workers, &no_machines) {
                self.revision += 1;
                let applied = WriteResult::Applied(self.revision);
                match request {
                    RegistryRequest::Read(key) => {
                        registry.handle_page_read(self.now.steady, &key, Some(0))
                    }
                    RegistryRequest::Delete { key, .. } => {
                        registry.handle_page_deleted(&key, &applied, workers);
                        self.deleted.push(key);
                    }
                    RegistryRequest::Write {
                        key,
                        written,
                        value,
                        ..
                    } => {
                        if written.is_empty() {
                            self.emptied.push(key.clone());
                        }
                        let result = if std::mem::take(&mut lose_next_answer) {
                            WriteResult::Unknown
                        } else {
                            applied
                        };
                        registry.handle_page_written(
                            self.now.steady,
                            &key,
                            written,
                            &result,
                            workers,
                        );
                        self.last_written = Some((key, value));
                    }
                }
            }
        }
    }
}

/// Rule `forgotten`: a job was accepted while the cloud offered a larger machine type. Its submission, repeated
/// after that type is gone, is answered with the job's status and not rejected.
#[test]
fn resubmitting_an_accepted_job_that_became_unrunnable_is_not_rejected() {
    let (mut cluster, leader, _) = cluster_with_two_workers();
    assert_eq!(
        cluster.submit(leader, "wk-1", json!({"cores": 16.0})).0,
        201
    );
    cluster.only_small_type = true;
    cluster.run(700.0);
    assert_eq!(
        cluster.leader(),
        Some(leader),
        "it refreshes the offered machine types without a failover"
    );
    assert_eq!(
        cluster.submit(leader, "wk-1", json!({"cores": 16.0})).0,
        200
    );
    assert_eq!(
        cluster.submit(leader, "wk-2", json!({"cores": 16.0})).0,
        422
    );
}

/// A cancellation hint from another controller stops tasks sooner. A hint that turns out to be wrong delays the
/// task only for a short time. In all other tests hints are lost, because no rule depends on them.
#[test]
fn a_cancellation_hint_stops_tasks_before_the_watch_reports_the_cancellation() {
    let (mut cluster, leader, other) = cluster_with_two_workers();
    cluster.deliver_cancellation_hints = true;
    assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
    assert_eq!(cluster.submit(leader, "wk-2", json!({})).0, 201);
    cluster.run(1.0);
    assert_eq!(
        cluster.running_copies("wk-1/0") + cluster.running_copies("wk-2/0"),
        2
    );
    cluster.state_calls_refused_for = Some(leader);
    cancel_job(&mut cluster, other, "wk-1");
    cluster.run(0.3);
    assert_eq!(cluster.running_copies("wk-1/0"), 0, "stopped at once");
    cluster.state_calls_refused_for = None;
    cluster.run(1.0);
    // A wrong hint delays the task and does not cancel the job.
    let leader = cluster.leader().expect("a controller is leader");
    let hint = peer_message(KIND_CANCELLED, b"wk-2".to_vec());
    cluster.deliver_input(leader, hint);
    cluster.run(1.0);
    assert_eq!(cluster.running_copies("wk-2/0"), 0);
    cluster.run(9.0);
    assert_eq!(cluster.running_copies("wk-2/0"), 1, "it was not cancelled");
    assert_eq!(cluster.start_count("wk-1/0"), 1);
}

/// Malformed and unexpected messages and stored values are answered or ignored. They end no process, release no
/// task and add no capacity.
#[test]
fn malformed_and_unexpected_messages_change_nothing() {
    let (mut cluster, leader, other) = cluster_with_two_workers();
    assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
    cluster.run(1.0);
    let host = cluster.worker_running("wk-1/0");
    let valid = record_heartbeat(&mut cluster, host);
    let with_field = |key: &str, value: Value| {
        let mut heartbeat = valid.clone();
        heartbeat[key] = value;
        heartbeat
    };
    for (body, status) in [
        (json!([]), 400),
        (json!({"host": 7}), 400),
        (with_field("stint", json!(-1)), 400),
        (with_field("tally", json!("many")), 400),
        (with_field("parts", json!([{"part": "wk-1/0"}])), 400),
        (
            with_field(
                "parts",
                json!([{"part": "wk-1/0", "try": 1, "status": "asleep"}]),
            ),
            400,
        ),
    ] {
        let answer = cluster.request(leader, "POST", "/checkin", body.clone()).0;
        assert_eq!(answer, status, "{body}");
    }
    // A well-formed heartbeat of an unknown machine, with tasks that were never started.
    let unknown_machine = json!({"host": "m-999999", "addr": "nowhere", "build": "none", "paddock": "z", "loaners": false,
        "stint": 1, "tally": 1, "baton": 0, "warningS": null,
        "parts": [{"part": "wk-1/0", "try": 5, "status": "running"}, {"part": "//", "try": 1, "status": "running"},
                  {"part": "wk-1/4000000000", "try": 1, "status": "ended", "cause": "done"}]});
    assert_eq!(
        cluster
            .request(leader, "POST", "/checkin", unknown_machine)
            .0,
        200
    );
    for kind in 0..40 {
        for body in [Vec::new(), vec![0xff; 7], vec![0; 4096], b"wk-".to_vec()] {
            let invalid = peer_message(kind, body);
            cluster.deliver_input(leader, invalid);
        }
    }
    cluster.kv.revision += 1;
    let revision = cluster.kv.revision;
    let invalid = json!({"what": ["is", "this"]});
    cluster
        .kv
        .keys
        .insert("job/wk-77".to_owned(), (invalid, revision, None));
    cluster.run(3.0);
    assert_eq!(cluster.start_count("wk-1/0"), 1);
    let answer = cluster.request(other, "GET", "/work/wk-1", Value::Null).1;
    assert_eq!(
        (answer["status"].as_str(), answer["done"].as_u64()),
        (Some("running"), Some(0))
    );
    assert_eq!(
        cluster.request(other, "GET", "/work/wk-77", Value::Null).0,
        503,
        "the unreadable job is kept and cannot be read"
    );
    assert_eq!(cluster.submit(other, "wk-2", json!({})).0, 201);
    cluster.run(2.0);
    assert_eq!(cluster.running_copies("wk-2/0"), 1);
    assert_eq!(cluster.leader(), Some(leader));
}
