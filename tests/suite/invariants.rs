//! Tests of the service's invariants (rules such as `ran_twice` and `quota`), each under the failures that could
//! violate it.

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

/// Two controllers, one of which is leader, and two small machines, with room for one task each, in different
/// zones.
pub fn cluster_with_two_workers() -> TestCluster {
    let mut cluster = TestCluster::new(2);
    cluster.add_worker("m-1", "small", "a");
    cluster.add_worker("m-2", "small", "b");
    cluster.run(6.0);
    assert!(cluster.leader().is_some(), "a controller is leader");
    cluster
}

/// The job `wk-1` was submitted, and the direct call with its start is kept back without an answer, as are all commands to
/// both workers. Returns the cluster and the worker that the start is for.
fn cluster_with_a_delayed_start() -> (TestCluster, usize) {
    let mut cluster = cluster_with_two_workers();
    cluster.workers[0].delayed_commands = Some(Vec::new());
    cluster.workers[1].delayed_commands = Some(Vec::new());
    cluster.submit(0, "wk-1", json!({}));
    cluster.run(0.3);
    let start_target = cluster
        .workers
        .iter()
        .position(|x| !x.delayed_commands.as_ref().unwrap().is_empty())
        .unwrap();
    (cluster, start_target)
}

#[test]
fn a_finished_job_stays_done_on_every_controller() {
    let mut cluster = cluster_with_two_workers();
    assert_eq!(cluster.submit(0, "wk-1", json!({})).0, 201);
    cluster.run(0.5);
    assert_eq!(cluster.running_copies("wk-1/0"), 1);
    assert_eq!(
        cluster.request(1, "GET", "/work/wk-1", Value::Null).1["status"],
        "running"
    );
    let host = cluster.worker_running("wk-1/0");
    cluster.workers[host].end_task("wk-1/0", "done");
    cluster.run(3.0);
    for node in 0..2 {
        assert_eq!(
            cluster.request(node, "GET", "/work/wk-1", Value::Null).1["status"],
            "done"
        );
        assert_eq!(
            cluster
                .request(node, "POST", "/work/wk-1/cancel", Value::Null)
                .1["status"],
            "done"
        );
        let again = cluster.submit(node, "wk-1", json!({}));
        assert_eq!((again.0, again.1["status"].as_str()), (200, Some("done")));
    }
    cluster.run(5.0);
    assert!(
        cluster.workers.iter().all(|x| x.tasks.is_empty()),
        "acknowledged tasks are dropped once the final state is stored"
    );
    assert_eq!(cluster.start_count("wk-1/0"), 1);
}

/// Rule `ran_twice`: a start command whose answer was lost may still be executed minutes later, when the task
/// already runs on another machine.
#[test]
fn a_delayed_start_command_never_runs_a_second_copy() {
    let (mut cluster, start_target) = cluster_with_a_delayed_start();
    let delayed_commands: Vec<Value> = cluster.workers[start_target]
        .delayed_commands
        .take()
        .unwrap();
    let other = 1 - start_target;
    cluster.workers[other].delayed_commands = None;
    // Heartbeats continue and show the raised fencing token, so the task is placed again.
    cluster.run(8.0);
    assert_eq!(
        cluster.running_copies("wk-1/0"),
        1,
        "the task is proven absent and is started again"
    );
    for body in &delayed_commands {
        cluster.workers[start_target].handle_command_call(body);
    }
    assert_eq!(
        cluster.running_copies("wk-1/0"),
        1,
        "the delayed command has a stale fencing token"
    );
}

/// Rule `ran_twice`: after a start command without an answer, the task may run on that machine. It is not placed
/// elsewhere until the machine shows the raised fencing token or its lease has expired.
#[test]
fn a_start_without_an_answer_holds_the_task_until_it_is_proven_absent() {
    let (mut cluster, start_target) = cluster_with_a_delayed_start();
    cluster.workers[1 - start_target].delayed_commands = None;
    cluster.workers[start_target].partitioned = true;
    cluster.run(20.0);
    assert_eq!(
        cluster.running_copies("wk-1/0"),
        0,
        "the delayed command may still start it on the unresponsive machine"
    );
    // After the lease of the unresponsive machine has expired, the task cannot run there.
    cluster.run(15.0);
    assert_eq!(cluster.running_copies("wk-1/0"), 1);
    assert!(cluster.workers[1 - start_target].is_running("wk-1/0"));
}

/// Rule `ran_twice`: a new leader does not restart tasks that an unresponsive machine may still run. Jobs accepted
/// since are not affected.
#[test]
fn a_new_leader_holds_the_tasks_of_an_unresponsive_machine() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({}));
    cluster.run(0.5);
    let host = cluster.worker_running("wk-1/0");
    let leader = cluster.leader().unwrap();
    cluster.workers[host].partitioned = true;
    cluster.kill_controller(leader);
    cluster.run(6.0);
    let next = cluster.leader().expect("the other controller is leader");
    assert_ne!(next, leader);
    assert_eq!(cluster.submit(next, "wk-2", json!({})).0, 201);
    cluster.run(1.0);
    assert_eq!(
        cluster.running_copies("wk-2/0"),
        1,
        "a job accepted after the failover is not held"
    );
    cluster.workers[1 - host].end_task("wk-2/0", "done");
    cluster.run(15.0);
    assert_eq!(
        cluster.start_count("wk-1/0"),
        1,
        "held while it may run on the unresponsive machine"
    );
    cluster.run(20.0);
    assert_eq!(
        cluster.start_count("wk-1/0"),
        2,
        "started again once that machine's lease has certainly expired"
    );
}

/// A machine that reports to the new leader within its lease keeps its task through the failover.
#[test]
fn a_new_leader_adopts_tasks_reported_by_workers() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({}));
    cluster.run(0.5);
    let leader = cluster.leader().unwrap();
    cluster.kill_controller(leader);
    cluster.run(8.0);
    assert!(cluster.leader().is_some());
    assert_eq!(
        (
            cluster.start_count("wk-1/0"),
            cluster.running_copies("wk-1/0")
        ),
        (1, 1)
    );
    cluster.start_controller(leader, 2);
    let host = cluster.worker_running("wk-1/0");
    cluster.workers[host].end_task("wk-1/0", "done");
    cluster.run(4.0);
    assert_eq!(
        cluster.request(leader, "GET", "/work/wk-1", Value::Null).1["status"],
        "done"
    );
}

/// A leader past its lease sends no commands and answers no request with 200. It resumes if the state service has
/// kept the lease.
#[test]
fn a_leader_with_an_expired_lease_stops_answering_and_resumes() {
    let mut cluster = cluster_with_two_workers();
    let leader = cluster.leader().unwrap();
    cluster.kv.down = true;
    for g in cluster.kv.leases.values_mut() {
        *g += 60 * SECOND;
    }
    cluster.run(5.0);
    assert!(cluster.leader().is_none());
    let last_renewal = cluster.workers[0].lease_renewed_at;
    cluster.run(3.0);
    assert_eq!(
        cluster.workers[0].lease_renewed_at, last_renewal,
        "no heartbeat is answered with 200"
    );
    assert_eq!(
        cluster.submit(0, "wk-1", json!({})).0,
        503,
        "a submission that cannot be stored is refused at once"
    );
    cluster.kv.down = false;
    cluster.run(2.0);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.submit(0, "wk-1", json!({})).0, 201);
    cluster.run(1.0);
    assert_eq!(cluster.running_copies("wk-1/0"), 1);
}

/// Rule `quota`: a team is charged for every task that may be on a machine, also on machines that cannot be
/// reached.
#[test]
fn a_team_stays_within_its_limit_while_machines_are_partitioned() {
    let mut cluster = TestCluster::new(2);
    cluster.add_worker("m-1", "big", "a");
    cluster.add_worker("m-2", "big", "b");
    cluster.run(6.0);
    cluster.submit(0, "wk-1", json!({"owner": "red", "parts": 4}));
    cluster.run(0.5);
    let running = |cluster: &TestCluster| {
        cluster
            .workers
            .iter()
            .flat_map(|x| &x.tasks)
            .filter(|p| p.2 == "running")
            .count()
    };
    assert_eq!(running(&cluster), 4);
    for x in &mut cluster.workers {
        x.partitioned = !x.tasks.is_empty();
    }
    cluster.submit(0, "wk-2", json!({"owner": "red", "parts": 4}));
    let leader = cluster.leader().unwrap();
    cluster.kill_controller(leader);
    cluster.run(20.0);
    assert_eq!(
        running(&cluster),
        4,
        "the new leader also charges the team for tasks on partitioned machines"
    );
    cluster.run(25.0);
    let starts = cluster
        .workers
        .iter()
        .flat_map(|x| &x.started_attempts)
        .count();
    assert!(
        starts > 4,
        "the quota is available again after the leases have expired"
    );
}

/// Rule `wrong_place`: zone, machine type and spot kind are respected, and so are the job's `apart` (at most about
/// half of the tasks in one zone) and `together` (all tasks in one zone).
#[test]
fn tasks_start_only_where_placement_constraints_allow() {
    let mut cluster = TestCluster::new(2);
    cluster.add_worker("m-1", "big", "a");
    cluster.add_worker("m-2", "big", "b");
    cluster.add_worker("m-3", "small", "b");
    cluster.workers[2].spot = true;
    cluster.run(6.0);
    cluster.submit(
        0,
        "wk-1",
        json!({"paddock": "a", "builds": ["big"], "loaners": false}),
    );
    cluster.submit(0, "wk-2", json!({"builds": ["small"], "loaners": false}));
    cluster.submit(
        0,
        "wk-3",
        json!({"parts": 5, "apart": true, "cores": 1.0, "memGb": 1.0}),
    );
    cluster.submit(
        0,
        "wk-4",
        json!({"parts": 3, "together": true, "cores": 1.0, "memGb": 1.0}),
    );
    cluster.run(3.0);
    assert!(cluster.workers[0].is_running("wk-1/0"));
    assert_eq!(
        cluster.running_copies("wk-2/0"),
        0,
        "the only small machine is a spot machine"
    );
    let zone = |cluster: &TestCluster, uid: &str, z: &str| {
        let all = cluster
            .workers
            .iter()
            .filter(|x| x.zone == z)
            .flat_map(|x| &x.tasks);
        all.filter(|p| p.0.starts_with(uid) && p.2 == "running")
            .count()
    };
    assert!(zone(&cluster, "wk-3/", "a") <= 3 && zone(&cluster, "wk-3/", "b") <= 3);
    assert_eq!(
        zone(&cluster, "wk-3/", "a") + zone(&cluster, "wk-3/", "b"),
        5
    );
    let by_zone = (zone(&cluster, "wk-4/", "a"), zone(&cluster, "wk-4/", "b"));
    assert!(
        by_zone == (3, 0) || by_zone == (0, 3),
        "together: {by_zone:?}"
    );
}

/// Rule `ran_cancelled`: a start command that is still in flight must not run the task after the cancellation.
#[test]
fn a_cancelled_job_is_stopped_even_when_its_start_is_in_flight() {
    let (mut cluster, start_target) = cluster_with_a_delayed_start();
    // The follower receives the cancellation.
    let follower = 1 - cluster.leader().unwrap();
    assert_eq!(
        cluster
            .request(follower, "POST", "/work/wk-1/cancel", Value::Null)
            .1["status"],
        "cancelled"
    );
    let delayed_commands = cluster.workers[start_target]
        .delayed_commands
        .take()
        .unwrap();
    cluster.workers[1 - start_target].delayed_commands = None;
    for body in &delayed_commands {
        cluster.workers[start_target].handle_command_call(body);
    }
    cluster.run(10.0);
    assert_eq!(cluster.running_copies("wk-1/0"), 0);
    assert!(
        cluster.kv.keys.keys().all(|k| !k.starts_with("stopping/")),
        "the record is deleted once all tasks have stopped"
    );
    assert_eq!(
        cluster.submit(0, "wk-1", json!({})).1["status"],
        "cancelled"
    );
}

/// Rule `ran_cancelled`: a new leader stops the tasks that its predecessor started.
#[test]
fn a_new_leader_stops_tasks_of_a_job_cancelled_during_the_failover() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({}));
    cluster.run(0.5);
    let leader = cluster.leader().unwrap();
    cluster.kill_controller(leader);
    assert_eq!(
        cluster
            .request(1 - leader, "POST", "/work/wk-1/cancel", Value::Null)
            .1["status"],
        "cancelled"
    );
    assert_eq!(cluster.running_copies("wk-1/0"), 1);
    // The job record is kept under `stopping/`, so that its team is charged until all tasks have stopped.
    assert!(cluster.kv.keys.contains_key("stopping/wk-1"));
    cluster.run(8.0);
    assert_eq!(cluster.running_copies("wk-1/0"), 0);
    assert!(!cluster.kv.keys.contains_key("stopping/wk-1"));
}

/// Rule `not_done`: users read `done`, and the worker may drop its finished task, only after the final state is
/// stored. A write that was lost is detected and repeated.
#[test]
fn completion_is_reported_and_acknowledged_only_once_stored() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({}));
    cluster.run(0.5);
    let host = cluster.worker_running("wk-1/0");
    cluster.kv.hold_transactions_with = Some("over/wk-1");
    cluster.workers[host].end_task("wk-1/0", "done");
    cluster.run(4.0);
    assert_ne!(
        cluster.request(0, "GET", "/work/wk-1", Value::Null).1["status"],
        "done"
    );
    assert_eq!(
        cluster.workers[host].tasks.len(),
        1,
        "the worker keeps the finished task until the final state is stored"
    );
    cluster.kv.hold_transactions_with = None;
    cluster.run(3.0);
    assert_eq!(
        cluster.request(0, "GET", "/work/wk-1", Value::Null).1["status"],
        "done"
    );
}

/// While the leader's zone and the workers' zone are partitioned from each other, a follower that reaches both
/// forwards heartbeats and commands.
#[test]
fn heartbeats_reach_the_leader_through_a_follower() {
    let mut cluster = cluster_with_two_workers();
    let leader = cluster.leader().unwrap();
    for x in &mut cluster.workers {
        x.controller = 1 - leader;
    }
    cluster.run(2.0);
    let before: Vec<u64> = cluster.workers.iter().map(|x| x.lease_renewed_at).collect();
    cluster.run(3.0);
    for (x, b) in cluster.workers.iter().zip(before) {
        assert!(x.lease_renewed_at > b, "answered through the follower");
        assert_eq!(x.controller, 1 - leader, "and the worker is not redirected");
    }
}

/// A machine that the cloud lists as failed, or that was released, no longer runs its tasks. A machine that merely
/// sends no heartbeats may still run them.
#[test]
fn a_failed_machine_frees_its_tasks_at_once() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({}));
    cluster.run(0.5);
    let host = cluster.worker_running("wk-1/0");
    cluster.workers[host].partitioned = true;
    cluster.run(8.0);
    assert_eq!(
        cluster.start_count("wk-1/0"),
        1,
        "missing heartbeats alone do not prove that the task has stopped"
    );
    let (id, zone) = (cluster.workers[host].id.clone(), cluster.workers[host].zone);
    cluster.cloud_machines = vec![
        json!({"uid": id, "addr": "", "build": "small", "paddock": zone, "loaners": false, "status": "failed", "ageS": 90.0}),
    ];
    cluster.run(6.0);
    assert_eq!(
        cluster.start_count("wk-1/0") + usize::from(cluster.workers.len() < 2),
        2,
        "started on the other machine"
    );
    assert!(cluster.released_machines.contains(&id));
    assert_eq!(cluster.running_copies("wk-1/0"), 1);
}

/// The tasks of a group start all together or not at all.
#[test]
fn a_group_waits_until_all_its_tasks_fit() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({}));
    cluster.run(0.5);
    cluster.submit(0, "wk-2", json!({"shape": "group", "parts": 2}));
    cluster.run(2.0);
    assert_eq!(
        cluster.running_copies("wk-2/0") + cluster.running_copies("wk-2/1"),
        0
    );
    let host = cluster.worker_running("wk-1/0");
    cluster.workers[host].end_task("wk-1/0", "done");
    cluster.run(3.0);
    assert_eq!(
        (
            cluster.running_copies("wk-2/0"),
            cluster.running_copies("wk-2/1")
        ),
        (1, 1)
    );
    // Workers match the tasks of a group by their attempt number; with different numbers, the tasks would wait
    // for each other until they time out.
    let attempts: Vec<u64> = cluster
        .workers
        .iter()
        .flat_map(|x| &x.tasks)
        .filter(|p| p.2 == "running")
        .map(|p| p.1)
        .collect();
    assert_eq!(attempts[0], attempts[1]);
}

/// Without free capacity, urgent tasks preempt tasks of lower priority.
#[test]
fn urgent_work_preempts_the_lowest_priority() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({"urgency": "low", "parts": 2}));
    cluster.run(1.0);
    assert_eq!(
        cluster.running_copies("wk-1/0") + cluster.running_copies("wk-1/1"),
        2
    );
    cluster.submit(
        0,
        "wk-2",
        json!({"urgency": "high", "herd": "quick", "cores": 1.0, "memGb": 1.0}),
    );
    cluster.run(3.0);
    assert_eq!(cluster.running_copies("wk-2/0"), 1);
    assert_eq!(
        cluster.running_copies("wk-1/0") + cluster.running_copies("wk-1/1"),
        1
    );
}

/// A new leader reads from the machine registry which machine has which image cached, including images of tasks
/// that ended before the failover.
#[test]
fn a_new_leader_knows_cached_images_from_the_registry() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({"bundle": "img-other"}));
    cluster.run(0.5);
    assert!(
        cluster.workers[0].is_running("wk-1/0"),
        "first fit takes the first machine by name"
    );
    cluster.submit(0, "wk-2", json!({"bundle": "img-urgent"}));
    cluster.run(0.5);
    assert!(cluster.workers[1].is_running("wk-2/0"));
    cluster.workers[0].end_task("wk-1/0", "done");
    cluster.workers[1].end_task("wk-2/0", "done");
    cluster.run(5.0);
    let leader = cluster.leader().unwrap();
    cluster.kill_controller(leader);
    cluster.run(8.0);
    let node = cluster.leader().expect("the other controller is leader");
    cluster.submit(node, "wk-3", json!({"bundle": "img-urgent"}));
    cluster.run(0.5);
    assert!(
        cluster.workers[1].is_running("wk-3/0"),
        "the machine with the cached image is preferred to the first one by name"
    );
}

/// If every failover restarted the lease of an unresponsive machine, its tasks would be held for as long as leaders
/// keep failing. The stored silence mark lets the lease count from the last contact.
#[test]
fn the_lease_of_an_unresponsive_machine_counts_from_its_last_contact_through_failovers() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({}));
    cluster.run(0.5);
    let host = cluster.worker_running("wk-1/0");
    cluster.workers[host].partitioned = true;
    cluster.run(12.0);
    let old_leader = cluster.leader().unwrap();
    cluster.kill_controller(old_leader);
    cluster.run(16.0);
    assert!(cluster.leader().is_some());
    assert_eq!(
        cluster.start_count("wk-1/0"),
        1,
        "it may still run there: 28 s of its 30 s lease have passed"
    );
    cluster.run(8.0);
    assert_eq!(
        cluster.start_count("wk-1/0"),
        2,
        "36 s after the last contact, 22 s after the failover"
    );
}

/// While the silence mark may still be stored, the machine's heartbeats get no answer. Otherwise a later leader
/// would count from the mark and treat a lease as expired that this leader renewed.
#[test]
fn a_machine_with_a_silence_mark_is_answered_only_once_the_mark_is_removed() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({}));
    cluster.run(0.5);
    let host = cluster.worker_running("wk-1/0");
    cluster.workers[host].partitioned = true;
    cluster.run(13.0);
    // An entry has the fields name, address, kind and images; a silence mark is the fifth.
    let silence_marks = |cluster: &TestCluster| {
        let page = cluster.kv.keys["roll/p-0"].0["machines"]
            .as_array()
            .unwrap();
        let marked = |m: &&Value| m.as_str().unwrap().split(' ').count() == 5;
        page.iter().filter(marked).count()
    };
    assert_eq!(silence_marks(&cluster), 1, "the silence mark is stored");
    cluster.kv.hold_transactions_with = Some("roll/");
    cluster.workers[host].partitioned = false;
    let last_renewal = cluster.workers[host].lease_renewed_at;
    cluster.run(5.0);
    assert_eq!(
        cluster.workers[host].lease_renewed_at, last_renewal,
        "not answered while the silence mark is stored"
    );
    cluster.kv.hold_transactions_with = None;
    cluster.run(5.0);
    assert_eq!(silence_marks(&cluster), 0);
    assert!(cluster.workers[host].lease_renewed_at > last_renewal);
    // The held writes are applied late and must not restore the silence mark.
    for body in std::mem::take(&mut cluster.kv.held_transactions) {
        cluster.kv.txn(&body);
    }
    assert_eq!(silence_marks(&cluster), 0);
    assert_eq!(
        (
            cluster.start_count("wk-1/0"),
            cluster.running_copies("wk-1/0")
        ),
        (1, 1)
    );
}

/// Rule `ran_twice`: while a start command without an answer may still arrive, a heartbeat that does not list the
/// task proves nothing. Only a heartbeat with the raised fencing token does.
#[test]
fn a_heartbeat_with_a_stale_fencing_token_does_not_prove_absence() {
    let spec = JobSpec::parse(test_cluster::job_submission("wk-1").to_string().as_bytes()).unwrap();
    let mut table = JobTable::default();
    let job = table.add(&JobRecord::new(spec, 0, "n-1"), 1);
    let spec = table.by_number[&job].spec.clone();
    let mut workers = WorkerLedger::new(1, SECOND, 30 * SECOND, 3 * SECOND, Vec::new());
    let heartbeat = |sequence: u64, token: u64| -> Heartbeat {
        let text = json!({"host": "m-1", "addr": "10.1.0.1:9000", "build": "small", "paddock": "a",
                          "stint": 1, "tally": sequence, "baton": token, "parts": []});
        serde_json::from_value(text).unwrap()
    };
    let first_token = 1 << 24;
    workers
        .handle_heartbeat(SECOND, heartbeat(1, first_token), None, None, &mut table)
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
        "the start command is sent directly"
    );
    workers.handle_outcome(3 * SECOND, tickets, &Outcome::Lost, &mut table);
    workers.handle_heartbeat(
        4 * SECOND,
        heartbeat(2, first_token),
        None,
        None,
        &mut table,
    );
    assert!(
        workers.events.is_empty(),
        "the start command may still be executed: {:?}",
        workers.events
    );
    workers.handle_heartbeat(
        7 * SECOND,
        heartbeat(3, first_token + 1),
        None,
        None,
        &mut table,
    );
    assert!(matches!(
        &workers.events[..],
        [TaskEvent {
            kind: TaskEventKind::Lost { .. },
            ..
        }]
    ));
}

/// The worker drops a finished task only after its final state is stored, also if a save of the same job that was
/// prepared before the task ended is applied in the meantime.
#[test]
fn a_final_task_state_is_acknowledged_only_once_stored_despite_concurrent_saves() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({"parts": 2}));
    cluster.run(0.5);
    let host = cluster.worker_running("wk-1/0");
    let other = cluster.worker_running("wk-1/1");
    let stored = |cluster: &TestCluster| {
        cluster.kv.keys.contains_key("over/wk-1")
            || cluster.kv.keys["job/wk-1"].0["done"]
                .as_str()
                .is_some_and(|d| d.split(',').any(|r| r == "0"))
    };
    // This save is sent before the task ends and answered afterwards.
    cluster.delay_answers_with = Some("job/wk-1");
    cluster.workers[other].end_task("wk-1/1", "error");
    while cluster.delayed_answers.is_empty() {
        cluster.step(20_000);
    }
    cluster.delay_answers_with = None;
    cluster.workers[host].end_task("wk-1/0", "done");
    cluster.run(1.5);
    cluster.kv.hold_transactions_with = Some("job/wk-1");
    cluster.deliver_delayed_answers();
    for _ in 0..200 {
        cluster.step(20_000);
        assert!(cluster.workers[host].tasks.iter().any(|p| p.0 == "wk-1/0"));
    }
    cluster.kv.hold_transactions_with = None;
    let mut acknowledged = false;
    for _ in 0..400 {
        cluster.step(20_000);
        acknowledged = !cluster.workers[host].tasks.iter().any(|p| p.0 == "wk-1/0");
        assert!(
            !acknowledged || stored(&cluster),
            "the worker dropped the task before its final state was stored"
        );
    }
    assert!(
        acknowledged,
        "the worker drops the task after its final state is stored"
    );
}

/// Rule `ran_twice`: when the state service no longer has the revisions that the watch needs, the leader rebuilds
/// its worker ledger and must take a new term. Under the old term it would reuse attempt numbers and fencing
/// tokens, and an earlier start command still in flight would be accepted as a current one.
#[test]
fn a_compacted_watch_starts_a_new_term() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({}));
    cluster.run(0.5);
    let term = |cluster: &TestCluster| cluster.kv.keys["term"].0["term"].as_u64().unwrap();
    let before = term(&cluster);
    cluster.kv.compacts_before_next_watch = true;
    // A change makes the pending watch return, and the next one is sent.
    cluster.submit(0, "wk-2", json!({}));
    cluster.run(4.0);
    assert!(
        !cluster.kv.compacts_before_next_watch,
        "the watch was rejected as compacted"
    );
    assert!(cluster.leader().is_some());
    assert!(term(&cluster) > before);
    assert_eq!(
        (
            cluster.start_count("wk-1/0"),
            cluster.running_copies("wk-1/0")
        ),
        (1, 1)
    );
    assert_eq!(
        (
            cluster.start_count("wk-2/0"),
            cluster.running_copies("wk-2/0")
        ),
        (1, 1)
    );
    let mut attempts: Vec<u64> = cluster
        .workers
        .iter()
        .flat_map(|x| &x.started_attempts)
        .map(|s| s.1)
        .collect();
    let all = attempts.len();
    attempts.sort_unstable();
    attempts.dedup();
    assert_eq!(attempts.len(), all, "no attempt number is used twice");
}

/// A leader that receives no heartbeats and that its peers cannot reach would keep leading while all machine leases
/// expire. It steps down for a controller that may receive them.
#[test]
fn a_leader_that_receives_no_heartbeats_steps_down() {
    let mut cluster = cluster_with_two_workers();
    cluster.submit(0, "wk-1", json!({}));
    cluster.run(0.5);
    let leader = cluster.leader().unwrap();
    cluster.isolated_from_workers = Some(leader);
    cluster.cut_links = vec![(0, 1)];
    cluster.run(14.0);
    assert_eq!(cluster.leader(), Some(1 - leader));
    cluster.run(40.0);
    assert_eq!(
        cluster.leader(),
        Some(1 - leader),
        "the new leader keeps leading"
    );
    assert_eq!(
        (
            cluster.start_count("wk-1/0"),
            cluster.running_copies("wk-1/0")
        ),
        (1, 1),
        "the new leader was elected within the machine's lease, so the task kept running"
    );
}

/// A leader that only lost its connections to the workers sends a start command through a peer if the direct
/// connection failed, instead of placing the task anew.
#[test]
fn a_leader_partitioned_from_workers_starts_tasks_through_a_peer() {
    let mut cluster = cluster_with_two_workers();
    let leader = cluster.leader().unwrap();
    cluster.isolated_from_workers = Some(leader);
    cluster.run(2.0);
    cluster.submit(0, "wk-1", json!({}));
    cluster.run(0.3);
    assert_eq!(
        (
            cluster.start_count("wk-1/0"),
            cluster.running_copies("wk-1/0")
        ),
        (1, 1)
    );
    let node = cluster.controllers[leader].as_ref().unwrap();
    assert!(node.job("wk-1").unwrap().endings.is_empty());
}

/// First-fit placement must not choose an unreachable machine again and again until it counts as unresponsive.
#[test]
fn an_unreachable_machine_gets_no_new_tasks_until_its_next_heartbeat() {
    let mut cluster = cluster_with_two_workers();
    cluster.workers[0].partitioned = true;
    for n in 1..=4 {
        cluster.submit(0, &format!("wk-{n}"), json!({"cores": 1.0, "memGb": 1.0}));
    }
    cluster.run(1.0);
    let node = cluster.controllers[cluster.leader().unwrap()]
        .as_ref()
        .unwrap();
    let failed: usize = (1..=4)
        .filter_map(|n| node.job(&format!("wk-{n}")))
        .map(|j| j.endings.len())
        .sum();
    assert!(failed <= 4, "each task fails at most once: {failed}");
    for n in 1..=4 {
        assert_eq!(cluster.running_copies(&format!("wk-{n}/0")), 1);
    }
    cluster.workers[0].partitioned = false;
    cluster.run(4.0);
    cluster.submit(0, "wk-5", json!({}));
    cluster.run(1.0);
    assert!(
        cluster.workers[0].is_running("wk-5/0"),
        "it is used again after its next heartbeat"
    );
}
