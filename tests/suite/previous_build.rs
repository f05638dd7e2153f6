//! Compatibility with the build of commit 827e913: its stored records, settings, properties and frame layouts.
//!
//! `fixtures/previous_build.json` was written by that build: the key-value store and the workers of a scripted run of
//! three controllers and 260 machines under the announced limits, with a job in several chunks, a job that is partly
//! done, jobs that wait for others, a service that is being stopped and final states of every kind. One machine has
//! been silent long enough for the registry to store it.

use crate::test_cluster::{TestCluster, settings_with_next_limits};
use dewramp::clock::{MILLISECOND, Micros, SECOND};
use dewramp::settings::{Properties, Settings};
use dewramp::wire::*;
use serde_json::{Value, json};
use std::path::Path;
use zerocopy::IntoBytes;

/// Causes and states that a stored worker task may have, as the scripted worker names them.
const NAMES: [&str; 4] = ["running", "ended", "stopped", ""];

fn known_name(value: &Value) -> &'static str {
    let text = value.as_str().expect("a name");
    let known = NAMES.iter().find(|name| **name == text);
    known.expect("a known name")
}

/// The machine and its tasks as the fixture has them.
fn restore_worker(w: &mut TestCluster, stored: &Value) {
    let zone = if stored["zone"] == "a" { "a" } else { "b" };
    let at = w.add_worker(stored["id"].as_str().expect("an id"), "small", zone);
    let worker = &mut w.workers[at];
    worker.agent_epoch = stored["stint"].as_u64().expect("an agent epoch");
    worker.sequence = stored["tally"].as_u64().expect("a sequence number");
    worker.fencing_token = stored["baton"].as_u64().expect("a token");
    worker.partitioned = stored["silent"] == true;
    let name = |value: &Value| value.as_str().expect("a task").to_owned();
    let attempt = |value: &Value| value.as_u64().expect("an attempt");
    let parts = stored["parts"].as_array().expect("tasks").iter();
    worker.tasks = parts
        .map(|p| {
            (
                name(&p[0]),
                attempt(&p[1]),
                known_name(&p[2]),
                known_name(&p[3]),
            )
        })
        .collect();
    let started = stored["started"].as_array().expect("starts").iter();
    worker.started_attempts = started.map(|s| (name(&s[0]), attempt(&s[1]))).collect();
}

/// A world in which the processes of the previous build have just been replaced by this one.
fn after_the_previous_build() -> TestCluster {
    let stored: Value = serde_json::from_str(include_str!("fixtures/previous_build.json"))
        .expect("the fixture is JSON");
    let number = |value: &Value| value.as_u64().expect("a number");
    let mut w = TestCluster::with_settings(3, &settings_with_next_limits());
    w.now.steady = number(&stored["now"][0]);
    w.now.wall = number(&stored["now"][1]);
    for worker in stored["workers"].as_array().expect("workers") {
        restore_worker(&mut w, worker);
    }
    for item in stored["keys"].as_array().expect("keys") {
        let key = item["path"].as_str().expect("a key").to_owned();
        let value = item["value"].clone();
        let entry = (value, number(&item["stamp"]), item["permit"].as_u64());
        w.kv.keys.insert(key, entry);
    }
    w.kv.revision = number(&stored["revision"]);
    w.kv.last_lease_id = number(&stored["next"]);
    w.kv.leases.insert(1, w.now.steady + 2 * SECOND);
    w
}

fn status(w: &mut TestCluster, node: usize, uid: &str) -> (u16, Value) {
    let (code, body) = w.request(node, "GET", &format!("/work/{uid}"), Value::Null);
    (code, body["status"].clone())
}

/// ran_twice, forgotten, went_back: a build that misreads a record of the one before starts placed tasks again, forgets
/// accepted jobs, or changes a final state.
#[test]
fn a_new_build_takes_over_the_records_of_the_previous_one() {
    let mut w = after_the_previous_build();
    // The tasks of these machines stand in the second chunk; only the stored record says that they run.
    for worker in &mut w.workers[231..250] {
        worker.partitioned = true;
    }
    w.run(10.0);
    let leader = w.leader().expect("one node leads");
    assert_eq!(w.kv.keys["term"].0["term"], 2);
    for (uid, expected) in [
        ("wk-1", "running"),
        ("wk-2", "running"),
        ("wk-3", "pending"),
        ("wk-4", "cancelled"),
        ("wk-6", "done"),
        ("wk-7", "pending"),
        ("wk-8", "cancelled"),
        ("wk-9", "cancelled"),
    ] {
        for node in 0..3 {
            assert_eq!(
                status(&mut w, node, uid),
                (200, json!(expected)),
                "{uid} at {node}"
            );
        }
    }
    assert_eq!(status(&mut w, 0, "wk-5").0, 404, "was never accepted");
    for part in 0..250 {
        let task = format!("wk-1/{part}");
        assert_eq!(
            (w.start_count(&task), w.running_copies(&task)),
            (1, 1),
            "{task}"
        );
    }
    for (task, copies) in [("wk-2/0", 1), ("wk-2/1", 0), ("wk-2/2", 1), ("wk-2/3", 1)] {
        assert_eq!(
            (w.start_count(task), w.running_copies(task)),
            (1, copies),
            "{task}"
        );
    }
    let (_, workers) = w.request(leader, "GET", "/inspect/workers/m-000251", Value::Null);
    assert!(workers.to_string().contains("wk-4/0"), "{workers}");
    assert!(
        w.kv.keys.contains_key("stopping/wk-4"),
        "its task may still be on the silent machine"
    );
}

/// ran_cancelled, too_early: the stop of a service and the order of dependent jobs survive the change of build.
#[test]
fn a_new_build_finishes_what_the_previous_one_began() {
    let mut w = after_the_previous_build();
    w.run(6.0);
    w.workers[251].partitioned = false;
    w.run(6.0);
    assert_eq!(
        w.running_copies("wk-4/0") + w.running_copies("wk-4/1"),
        0,
        "stopped"
    );
    assert!(!w.kv.keys.contains_key("stopping/wk-4"));
    assert_eq!(w.start_count("wk-3/0"), 0, "waits for wk-2");
    for task in ["wk-2/0", "wk-2/2", "wk-2/3"] {
        let at = w.worker_running(task);
        w.workers[at].end_task(task, "done");
    }
    w.run(6.0);
    assert_eq!(status(&mut w, 1, "wk-2"), (200, json!("done")));
    assert_eq!(
        (w.start_count("wk-3/0"), w.running_copies("wk-3/0")),
        (1, 1)
    );
    assert_eq!(w.start_count("wk-7/0"), 0, "waits for wk-1");
}

/// A renamed field without its outer name would be ignored or refused; every key has a value other than its default.
#[test]
fn settings_and_properties_of_the_previous_build_are_read() {
    let settings = Settings::parse(include_str!("fixtures/previous_build.toml")).expect("valid");
    assert_eq!(
        (settings.name.as_str(), settings.zone.as_str()),
        ("drover-0", "cairns")
    );
    assert_eq!(settings.listen.to_string(), "10.0.0.1:8080");
    assert_eq!(settings.peer_listen.to_string(), "10.0.0.1:8081");
    let peers = settings.peers.iter();
    let peers: Vec<_> = peers
        .map(|p| (p.name.as_str(), p.zone.as_str(), p.address.port()))
        .collect();
    assert_eq!(
        peers,
        [
            ("drover-1", "brisbane", 8081),
            ("drover-2", "townsville", 8081)
        ]
    );
    assert_eq!(settings.services.cloud.to_string(), "10.2.0.2:8443");
    assert_eq!(settings.services.state.to_string(), "10.2.0.1:2379");
    let deployment = &settings.deployment;
    assert_eq!(deployment.zones, ["brisbane", "cairns", "townsville"]);
    assert_eq!(deployment.clock_offset_max_ms, 5.0);
    let team = &deployment.teams[0];
    assert_eq!(
        (team.name.as_str(), team.cpus, team.cpus_max),
        ("reefline", 32.0, 104.0)
    );
    assert_eq!((team.gpus, team.gpus_max), (1.0, 2.0));
    let objectives = deployment.objectives.iter();
    let objectives: Vec<_> = objectives
        .map(|o| (o.kind.as_str(), o.class.as_deref(), o.within_s, o.times))
        .collect();
    assert_eq!(
        objectives,
        [
            ("deadline", Some("episode"), None, Some(1.75)),
            ("wait", Some("rewrap"), Some(250.0), None)
        ]
    );
    let workers = &deployment.workers;
    assert_eq!(
        (
            workers.heartbeat_period_s,
            workers.lease_s,
            workers.cancel_s
        ),
        (3.0, 31.0, 51.0)
    );
    let state = &deployment.state;
    assert_eq!(
        (state.rps, state.write_rps, state.value_kb, state.txn_ops),
        (150.0, 60.0, 16.0, 24)
    );
    let next = state.next.as_ref().expect("announced limits");
    assert_eq!((next.rps, next.write_rps), (Some(100.0), Some(30.0)));
    assert_eq!((next.value_kb, next.txn_ops), (Some(8.0), Some(12)));
    let cloud = &deployment.cloud;
    assert_eq!((cloud.rps, cloud.list_lag_s), (8.0, 9.0));
    let process = &deployment.process_limits;
    assert_eq!(
        (
            process.cpu_share,
            process.memory_mb,
            process.max_connections
        ),
        (Some(0.096), Some(136.0), 3000)
    );

    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/suite/fixtures/previous_build.properties");
    let properties = Properties::load(&path).expect("valid");
    assert_eq!(
        (properties.evaporation, properties.fairness_exponent),
        (0.25, 0.4)
    );
    let seconds = |time: Micros| time / SECOND;
    assert_eq!(
        (
            seconds(properties.pheromone_round),
            seconds(properties.idle_release_timeout)
        ),
        (20, 300)
    );
    assert_eq!(properties.leader_ttl, 4_000 * MILLISECOND);
    assert_eq!(properties.leader_ttl_min, 2_000 * MILLISECOND);
    assert_eq!((properties.may_be_standby, properties.seed), (false, 11));
}

/// Rows and numbers of frames, as the previous build laid them out: both builds exchange them during an upgrade.
#[test]
fn rows_of_frames_keep_the_layout_of_the_previous_build() {
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let address = "10.1.2.3:9000".parse().expect("an address");
    let probe = ProbeRow::new(0x0102_0304, "m-000231", address).expect("it fits");
    assert_eq!(
        hex(probe.as_bytes()),
        "04030201000000006d2d303030323331000000000000000000000000000000000a01020328230000"
    );
    let checksum = ChecksumRow {
        term: 3.into(),
        revision: 0x0405.into(),
        checksum: 0x0607_0809.into(),
    };
    assert_eq!(
        hex(checksum.as_bytes()),
        "030000000000000005040000000000000908070600000000"
    );
    let mut machine = [0; 24];
    machine[..8].copy_from_slice(b"m-000231");
    let heartbeat = HeartbeatRow {
        digest: 0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10.into(),
        agent_epoch: 2.into(),
        sequence: 88.into(),
        machine,
        slot: 5.into(),
        len: 300.into(),
    };
    assert_eq!(
        hex(heartbeat.as_bytes()),
        "100f0e0d0c0b0a090807060504030201020000000000000058000000000000006d2d30303032333100000000000000000000000000000000050000002c010000"
    );
    let answer = AnswerRow {
        fencing_token: 0x0300_0000.into(),
        slot: 5.into(),
        status: SEND_FULL_HEARTBEAT.into(),
        unused: 0.into(),
        len: 77.into(),
        unused2: 0.into(),
    };
    assert_eq!(
        hex(answer.as_bytes()),
        "000000030000000005000000030000004d00000000000000"
    );
    let kinds = [
        KIND_HEARTBEAT_BATCH,
        KIND_CHECKSUM,
        KIND_PROBE_ANSWER,
        KIND_PROBE_WORKERS,
        KIND_CANCELLED,
    ];
    assert_eq!(kinds, [7, 8, 9, 10, 11]);
    let outcomes = [FRAME_NOT_SENT, FRAME_LOST, SEND_FULL_HEARTBEAT];
    assert_eq!(outcomes, [1, 2, 3]);
    assert_eq!((FRAME_HEADER_BYTES, FRAME_PAYLOAD_BYTES_MAX), (32, 1 << 20));
}
