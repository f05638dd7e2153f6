//! Heartbeats (repeated, forwarded in batches, held for a new leader) and the controllers' behaviour under load.

use crate::test_cluster::{self, TestCluster};
use dewramp::accounting::StopReason;
use dewramp::capacity::ClusterCapacity;
use dewramp::clock::{MILLISECOND, SECOND};
use dewramp::heartbeat_batch::{HeartbeatAnswer, HeartbeatBatch};
use dewramp::job_record::JobRecord;
use dewramp::jobs::JobTable;
use dewramp::messages::Outcome;
use dewramp::task_id::TaskId;
use dewramp::wire::{
    AnswerRow, Heartbeat, HeartbeatRow, HeartbeatSummary, JobSpec, MachineType, SEND_FULL_HEARTBEAT,
};
use dewramp::worker_ledger::{RepeatedHeartbeatOutcome, WorkerLedger};
use serde_json::{Value, json};
use std::sync::Arc;
use zerocopy::{FromBytes, IntoBytes};

/// The body of a heartbeat of machine `m-1`.
fn heartbeat(sequence: u64, tasks: Value) -> Vec<u8> {
    json!({"host": "m-1", "addr": "10.1.0.1:9000", "build": "small", "paddock": "a", "stint": 1,
           "tally": sequence, "baton": 1 << 24, "parts": tasks})
    .to_string()
    .into_bytes()
}

fn parsed(body: &[u8]) -> Heartbeat {
    serde_json::from_slice(body).unwrap()
}

fn row(body: &[u8]) -> HeartbeatRow {
    HeartbeatSummary::of(body).unwrap().row().unwrap()
}

#[test]
fn summary_digests_ignore_the_sequence_number() {
    let tasks = |status: &str| json!([{"part": "wk-1/0", "try": 3, "status": status}]);
    let (first, repeated) = (
        heartbeat(7, tasks("running")),
        heartbeat(112, tasks("running")),
    );
    let changed = heartbeat(113, tasks("saving"));
    assert_eq!(row(&first).digest.get(), row(&repeated).digest.get());
    assert_ne!(row(&first).digest.get(), row(&changed).digest.get());
    assert_eq!(
        (
            row(&repeated).sequence.get(),
            row(&repeated).agent_epoch.get()
        ),
        (112, 1)
    );
    assert_eq!(row(&repeated).machine(), "m-1");
    let spaced = br#"{ "host" : "m-1" , "stint" : 2 , "tally" : 5 , "baton":0}"#;
    assert_eq!(
        HeartbeatSummary::of(spaced).map(|summary| (summary.agent_epoch, summary.sequence)),
        Some((2, 5))
    );
    // Any other form has no summary, and is parsed in full.
    for body in [
        &br#"{"host":"m\"1","stint":1,"tally":2}"#[..],
        br#"{"host":"m-1","stint":1,"tally":2.5}"#,
        br#"{"host":"m-1","stint":1,"tally":99999999999999999999}"#,
        br#"{"host":"m-1","stint":1}"#,
        br#"{"host":7,"stint":1,"tally":2}"#,
        b"",
    ] {
        assert!(
            HeartbeatSummary::of(body).is_none(),
            "{}",
            String::from_utf8_lossy(body)
        );
    }
    let long_name = format!(r#"{{"host":"{}","stint":1,"tally":2}}"#, "m".repeat(25));
    assert!(
        HeartbeatSummary::of(long_name.as_bytes())
            .unwrap()
            .row()
            .is_none()
    );
}

/// A heartbeat that is equal to the last one but for its sequence number arrives as a row only. The ledger must do
/// the same as if it parsed it in full, whatever has happened to the machine's tasks since.
#[test]
fn a_repeated_heartbeat_has_the_same_effect_as_a_full_one() {
    let spec = JobSpec::parse(test_cluster::job_submission("wk-1").to_string().as_bytes()).unwrap();
    let id: Arc<str> = "m-1".into();
    for case in 0..6 {
        let outcome = |by_row: bool| {
            let mut table = JobTable::default();
            let job = table.add(&JobRecord::new(spec.clone(), 0, "n-1"), 1);
            let mut ledger = WorkerLedger::new(1, SECOND, 30 * SECOND, 3 * SECOND, Vec::new());
            let task = TaskId { job, index: 0 };
            let status = if case == 2 { "ended" } else { "running" };
            let tasks = json!([{"part": "wk-1/0", "try": 5, "status": status, "cause": "done"}]);
            let first = heartbeat(1, tasks.clone());
            let digest = Some(row(&first).digest.get());
            ledger.handle_heartbeat(SECOND, parsed(&first), digest, None, &mut table);
            let shown = table.by_number[&job].spec.clone();
            let mut sequence = 2;
            match case {
                1 => ledger.stop_task(&id, task, 5, 0.0, StopReason::Preempted),
                2 => ledger.allow_acknowledgement(&id, task, 5),
                3 => {
                    let attempt = ledger.new_attempt();
                    ledger.machines.get_mut(&id).unwrap().registered = true;
                    ledger.plan_task(&id, TaskId { job, index: 1 }, attempt, &shown, SECOND);
                    ledger.confirm_stored(&id, TaskId { job, index: 1 }, attempt);
                }
                // Out of order: its sequence number is not higher than the last one.
                4 => sequence = 1,
                _ => {}
            }
            let (mut tickets, mut outputs) = (0, Vec::new());
            if case == 3 {
                // The start's answer is lost: the fence counter is raised, and the task is in doubt.
                ledger.send_due(SECOND, &mut tickets, &mut outputs);
                ledger.handle_outcome(2 * SECOND, tickets, &Outcome::Lost, &mut table);
            }
            if case == 5 {
                ledger.add_tombstone(3 * SECOND, &id);
            }
            let repeated = heartbeat(sequence, tasks);
            let now = 4 * SECOND;
            let answer = if by_row {
                match ledger.handle_repeated_heartbeat(now, &row(&repeated), None, &mut table) {
                    RepeatedHeartbeatOutcome::Answer(orders) => {
                        serde_json::to_string(&orders).unwrap()
                    }
                    other => format!("{other:?}"),
                }
            } else {
                match ledger.handle_heartbeat(now, parsed(&repeated), digest, None, &mut table) {
                    Some(orders) => serde_json::to_string(&orders).unwrap(),
                    None => "Refused".to_owned(),
                }
            };
            let machine = ledger.machines.get(&id);
            let observed = machine.map(|machine| {
                (
                    machine.sequence,
                    machine.term_confirmed,
                    machine.last_seen_at,
                    machine.tasks.len(),
                )
            });
            (
                answer,
                observed,
                ledger.events.clone(),
                ledger.fencing_token_of("m-1"),
            )
        };
        assert_eq!(outcome(true), outcome(false), "case {case}");
    }
}

/// A scan for what is due by time covers a large fleet within a second, in parts. A full scan four times a second
/// used up a leader's processor time whether anything was due or not.
#[test]
fn a_large_fleet_is_scanned_in_parts_and_a_small_one_whole() {
    for (machines, scan_max) in [(200, 200), (2_000, 500)] {
        let mut ledger = WorkerLedger::new(1, SECOND, 30 * SECOND, 5 * SECOND, Vec::new());
        let mut table = JobTable::default();
        let from = 40 * SECOND;
        for n in 0..machines {
            let body = json!({"host": format!("m-{n:06}"), "addr": format!("10.1.{}.{}:9000", n / 200, n % 200 + 1),
                              "build": "small", "paddock": "a", "stint": 1, "tally": 1, "baton": 1 << 24,
                              "parts": []});
            ledger.handle_heartbeat(
                from,
                parsed(body.to_string().as_bytes()),
                None,
                None,
                &mut table,
            );
        }
        // All machines have been silent for so long that each is to be probed.
        let from = from + 8 * SECOND;
        let (mut tickets, mut outputs) = (0, Vec::new());
        let mut probes = Vec::new();
        let (mut examined_before, mut scans) = (ledger.machines_examined, Vec::new());
        for n in 0..4 {
            ledger.send_due(from + n * 250 * MILLISECOND, &mut tickets, &mut outputs);
            scans.push(ledger.machines_examined - examined_before);
            examined_before = ledger.machines_examined;
            probes.append(&mut outputs);
        }
        assert!(
            scans.iter().all(|n| *n <= scan_max),
            "{machines}: {scans:?}"
        );
        // At least 16 machines are probed with each scan, and none twice within a second.
        let mut probes: Vec<String> = probes.iter().map(|output| format!("{output:?}")).collect();
        let probe_count = probes.len();
        assert!(probe_count >= machines.min(4 * 16), "{probe_count}");
        probes
            .iter_mut()
            .for_each(|probe| *probe = probe.split("dest").nth(1).unwrap_or("").to_owned());
        probes.sort_unstable();
        probes.dedup();
        assert_eq!(
            probes.len(),
            probe_count,
            "{machines}: a machine was probed twice"
        );
    }
}

#[test]
fn an_unknown_repeated_heartbeat_is_requested_in_full() {
    let mut table = JobTable::default();
    let mut ledger = WorkerLedger::new(1, SECOND, 30 * SECOND, 3 * SECOND, Vec::new());
    let body = heartbeat(4, json!([]));
    let repeat = ledger.handle_repeated_heartbeat(SECOND, &row(&body), None, &mut table);
    assert!(matches!(
        repeat,
        RepeatedHeartbeatOutcome::FullHeartbeatNeeded
    ));

    let mut batch = HeartbeatBatch::default();
    let answer = |status: u16, slot: u32, token: u64| {
        let row = AnswerRow {
            fencing_token: token.into(),
            slot: slot.into(),
            status: status.into(),
            unused: 0.into(),
            len: 0.into(),
            unused2: 0.into(),
        };
        Outcome::Reply {
            status: 200,
            body: row.as_bytes().to_vec(),
        }
    };
    // The first heartbeat is forwarded in full, a repeated one as a row.
    batch.push(SECOND, 1, body.clone()).unwrap();
    let frame = batch.next_frame(SECOND + 20 * MILLISECOND, 1).unwrap();
    assert!(frame.len() > size_of::<HeartbeatRow>());
    let answers = batch.handle_outcome(SECOND, 1, &answer(200, 0, 9), false);
    assert_eq!(answers, [(1, HeartbeatAnswer::NoCommands(9))]);
    batch.push(2 * SECOND, 2, heartbeat(5, json!([]))).unwrap();
    assert!(
        batch.next_frame(2 * SECOND + 20 * MILLISECOND, 2).is_none(),
        "it waits for more heartbeats"
    );
    let frame = batch.next_frame(3 * SECOND, 2).unwrap();
    assert_eq!(frame.len(), size_of::<HeartbeatRow>());
    // A new leader does not know it: it is forwarded again in full, without an answer to its worker.
    assert!(
        batch
            .handle_outcome(3 * SECOND, 2, &answer(SEND_FULL_HEARTBEAT, 0, 0), false)
            .is_empty()
    );
    let frame = batch.next_frame(3 * SECOND, 3).unwrap();
    let (sent, text) = HeartbeatRow::read_from_prefix(&frame).unwrap();
    assert_eq!(sent.len.get() as usize, text.len());
    assert_eq!(parsed(text).sequence, 5);
    // The leader does not answer.
    let answers = batch.handle_outcome(4 * SECOND, 3, &Outcome::Lost, false);
    assert_eq!(answers, [(2, HeartbeatAnswer::Failed)]);
}

/// A planned start must be charged once. It was charged twice between the next refresh of its machine and the next
/// full refresh, so teams could not use all of their limit.
#[test]
fn a_team_is_charged_once_for_a_start() {
    let types = [MachineType {
        name: "small".into(),
        cores: 4.0,
        accelerators: 0.0,
        memory_gb: 16.0,
        cache_gb: 0.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 1.0,
        boot_s: 1.0,
        zones: vec!["a".into()],
    }];
    let spec = JobSpec::parse(test_cluster::job_submission("wk-1").to_string().as_bytes()).unwrap();
    let mut table = JobTable::default();
    let job = table.add(&JobRecord::new(spec, 0, "n-1"), 1);
    let spec = table.by_number[&job].spec.clone();
    let mut ledger = WorkerLedger::new(1, SECOND, 30 * SECOND, 3 * SECOND, Vec::new());
    ledger.handle_heartbeat(
        SECOND,
        parsed(&heartbeat(1, json!([]))),
        None,
        None,
        &mut table,
    );
    let id: Arc<str> = "m-1".into();
    ledger.machines.get_mut(&id).unwrap().registered = true;
    let mut capacity = ClusterCapacity::default();
    capacity.refresh(SECOND, &mut ledger, &types, 9 * SECOND, true);
    assert_eq!((capacity.total_cores, capacity.free_cores), (4.0, 4.0));
    for (undone, used) in [(true, 0.0), (false, 4.0)] {
        capacity.allocate(&id, &spec);
        assert_eq!(
            (capacity.team_usage("blue").cores, capacity.free_cores),
            (4.0, 0.0)
        );
        if undone {
            capacity.deallocate(&id, &spec);
        } else {
            let attempt = ledger.new_attempt();
            ledger.plan_task(&id, TaskId { job, index: 0 }, attempt, &spec, SECOND);
        }
        ledger.mark_changed(&id);
        capacity.refresh(SECOND, &mut ledger, &types, 9 * SECOND, false);
        assert_eq!(capacity.team_usage("blue").cores, used);
        assert_eq!(capacity.free_cores, 4.0 - used);
    }
    // A machine that has been silent for too long has no capacity.
    capacity.refresh(20 * SECOND, &mut ledger, &types, 9 * SECOND, true);
    assert!(capacity.machines_with_capacity.is_empty() && capacity.machines[&id].free.is_none());
}

/// Heartbeats that arrive shortly before a leader is elected are held for it. When workers were told at once that
/// there is no leader, each came to the next node a second later over a new connection; with a thousand machines
/// the nodes had no time for anything else.
#[test]
fn heartbeats_are_held_until_a_new_leader_is_elected() {
    let mut cluster = TestCluster::new(3);
    for n in 0..6 {
        cluster.add_worker(&format!("m-{n:06}"), "small", "a");
    }
    cluster.run(6.0);
    let old = cluster.leader().expect("one node leads");
    let follower = (0..3).find(|n| *n != old).unwrap();
    for worker in &mut cluster.workers {
        worker.controller = follower;
    }
    cluster.run(2.0);
    for worker in &mut cluster.workers {
        worker.partitioned = true;
    }
    cluster.kill_controller(old);
    let lease_expires_at = cluster.kv.leases.values().max().copied().unwrap_or(0);
    cluster.run(lease_expires_at.saturating_sub(cluster.now.steady) as f64 / 1e6 - 0.3);
    assert_eq!(
        cluster.leader(),
        None,
        "the old leader's lease has not expired"
    );
    for n in 0..cluster.workers.len() {
        cluster.workers[n].partitioned = false;
        cluster.send_heartbeat(n);
    }
    cluster.run(3.0);
    assert!(cluster.leader().is_some());
    for worker in &cluster.workers {
        assert_eq!(worker.controller, follower, "{} was redirected", worker.id);
        assert_eq!(worker.fencing_token >> 24, 2, "{} has no answer", worker.id);
    }
}

/// If no leader is elected, a held heartbeat is answered all the same, well within the time that a worker waits.
#[test]
fn a_held_heartbeat_is_answered_in_time_without_a_leader() {
    let mut batch = HeartbeatBatch::default();
    batch.push(SECOND, 1, heartbeat(1, json!([]))).unwrap();
    assert!(batch.hold_for_leader(2 * SECOND).is_empty());
    assert!(batch.due_at().is_some());
    assert_eq!(batch.hold_for_leader(3 * SECOND), [1]);
    assert!(batch.is_empty() && batch.due_at().is_none());
    // The leader answers that it may not act at the moment.
    let not_leading = test_cluster::json_reply(503, json!({"error": "not leading"}));
    batch.push(4 * SECOND, 2, heartbeat(1, json!([]))).unwrap();
    batch.next_frame(5 * SECOND, 1).unwrap();
    assert!(
        batch
            .handle_outcome(5 * SECOND, 1, &not_leading, false)
            .is_empty()
    );
    batch.next_frame(6 * SECOND, 2).unwrap();
    let answers = batch.handle_outcome(6 * SECOND, 2, &not_leading, false);
    assert_eq!(answers, [(2, HeartbeatAnswer::NoLeader)]);
}

/// Three times the polls that the nodes can answer, for a minute: running tasks go on, throughput stays near the
/// maximum and recovers soon after. Before load shedding, heartbeats were answered too late, their workers retried at
/// other nodes, leases expired, and the killed tasks were started again until the end of the run.
#[test]
fn an_overload_ends_no_lease_and_throughput_recovers() {
    const MACHINES: usize = 60;
    let mut cluster = TestCluster::new(3);
    for n in 0..MACHINES {
        let worker = cluster.add_worker(&format!("m-{n:06}"), "small", "a");
        cluster.workers[worker].controller = n % 3;
    }
    cluster.run(6.0);
    cluster.submit(0, "wk-1", json!({"parts": MACHINES / 2}));
    cluster.run(6.0);
    let running = |cluster: &TestCluster| {
        cluster
            .workers
            .iter()
            .filter(|worker| !worker.tasks.is_empty())
            .count()
    };
    assert_eq!(running(&cluster), MACHINES / 2);
    cluster.slow_controllers = true;
    // Sends `rate` polls a second to each node; returns how many a second were answered within the 2 s that users
    // wait.
    let phase = |cluster: &mut test_cluster::TestCluster, rate: usize, secs: usize| {
        let (mut answered_in_time, mut open) = (0, Vec::new());
        for step in 0..secs * 50 {
            for node in 0..3 {
                if step * rate / 50 > (step.max(1) - 1) * rate / 50 {
                    let n = (step * rate / 50) - ((step.max(1) - 1) * rate / 50);
                    for _ in 0..n {
                        let conn = cluster.send_request(node, "GET", "/work/wk-1", Value::Null);
                        open.push((cluster.now.steady, conn));
                    }
                }
            }
            cluster.step(20_000);
            open.retain(|(sent_at, conn)| match cluster.answers.remove(conn) {
                Some((200, _)) => {
                    answered_in_time += usize::from(cluster.now.steady < sent_at + 2 * SECOND);
                    false
                }
                Some(_) => false,
                None => true,
            });
        }
        answered_in_time as f64 / secs as f64
    };
    let peak = phase(&mut cluster, 50, 20);
    assert!(peak > 140.0, "three nodes answer {peak} polls a second");
    let overloaded = phase(&mut cluster, 800, 60);
    assert!(
        overloaded > 0.7 * peak,
        "{overloaded} of {peak} are answered under overload"
    );
    assert!(cluster.shed_requests > 1000, "the rest is shed");
    phase(&mut cluster, 50, 20);
    let after = phase(&mut cluster, 50, 20);
    assert!(
        after > 0.95 * peak,
        "{after} of {peak} are answered afterwards"
    );
    assert_eq!(running(&cluster), MACHINES / 2, "running tasks go on");
    for worker in &cluster.workers {
        assert_eq!(worker.agent_epoch, 1, "{} lost its lease", worker.id);
    }
    for task in 0..MACHINES / 2 {
        assert_eq!(cluster.start_count(&format!("wk-1/{task}")), 1);
    }
}

/// A thousand machines under a low value size limit: a job whose record exceeds one value is stored in chunks, and
/// the cost of a task's end does not grow with the number of machines.
#[test]
fn a_wide_job_runs_on_a_thousand_machines_and_events_stay_cheap() {
    const MACHINES: usize = 1100;
    let mut cluster = TestCluster::with_settings(2, &test_cluster::settings_with_next_limits());
    for n in 0..MACHINES {
        cluster.add_worker(&format!("m-{n:06}"), "small", ["a", "b"][n % 2]);
    }
    cluster.run(6.0);
    cluster.kv.limits = Some(test_cluster::NEXT_LIMITS);
    let leader = cluster.leader().expect("one node leads");
    cluster.submit(0, "wk-1", json!({"parts": MACHINES}));
    let mut running = 0;
    for _ in 0..20 {
        cluster.run(0.5);
        running = cluster
            .workers
            .iter()
            .filter(|worker| !worker.tasks.is_empty())
            .count();
    }
    assert!(running > MACHINES / 4, "only {running} tasks run");
    assert!(running < MACHINES, "the size of its record limits it");
    // Without events, machines are still scanned for what is due by time.
    let examined = |cluster: &TestCluster| {
        cluster.controllers[leader]
            .as_ref()
            .unwrap()
            .machines_examined()
    };
    let start = examined(&cluster);
    cluster.run(2.0);
    let quiet = examined(&cluster) - start;
    let ends: Vec<(usize, String)> = (0..MACHINES)
        .filter_map(|n| Some((n, cluster.workers[n].tasks.first()?.0.clone())))
        .take(100)
        .collect();
    for (n, task) in &ends {
        cluster.workers[*n].end_task(task, "done");
    }
    let start = examined(&cluster);
    cluster.run(2.0);
    let busy = examined(&cluster) - start;
    assert!(
        busy < quiet + 40 * ends.len() as u64,
        "100 ends cost {busy} examined machines, as long a time without events {quiet}"
    );
    for _ in 0..8 {
        for n in 0..MACHINES {
            let running_task = cluster.workers[n]
                .tasks
                .iter()
                .find(|task| task.2 == "running");
            if let Some(task) = running_task.map(|task| task.0.clone()) {
                cluster.workers[n].end_task(&task, "done");
            }
        }
        cluster.run(3.0);
    }
    let (_, body) = cluster.request(0, "GET", "/work/wk-1", Value::Null);
    assert_eq!(
        (body["status"].as_str(), body["done"].as_u64()),
        (Some("done"), Some(1100))
    );
    assert_eq!(
        cluster.kv.rejected_transactions, 0,
        "no value and no transaction was too large"
    );
    let chunks = cluster
        .kv
        .keys
        .keys()
        .filter(|key| key.starts_with("piece/"));
    assert_eq!(chunks.count(), 0, "chunks are deleted when the job ends");
    for task in 0..MACHINES {
        assert_eq!(cluster.start_count(&format!("wk-1/{task}")), 1);
    }
}
