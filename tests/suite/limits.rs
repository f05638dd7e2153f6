//! Bounds on everything that grows with machines, jobs and connections, at 6,000 machines (see `docs/limits.md`).

use crate::test_cluster::{TestCluster, job_submission};
use dewramp::admin_client::fetch_all_pages;
use dewramp::clock::{Micros, SECOND};
use dewramp::dependency_graph::DependencyGraph;
use dewramp::job_record::JobRecord;
use dewramp::jobs::{JobProgress, JobTable};
use dewramp::messages::{Input, Outcome, Output};
use dewramp::open_files::{LimitPlan, plan_limit};
use dewramp::wire::{
    AnswerRow, FRAME_PAYLOAD_BYTES_MAX, Heartbeat, HeartbeatSummary, JobSpec, KIND_ADMIN_QUERY,
    KIND_HEARTBEAT_BATCH, Priority, ProgressRow, SEND_FULL_HEARTBEAT,
};
use dewramp::worker_ledger::{DEPARTED_RETENTION, DepartedMachines, WorkerLedger};
use dewramp::worker_probe::WorkerProbe;
use serde_json::{Value, json};
use std::sync::Arc;
use zerocopy::{FromBytes, IntoBytes};

const FLEET_SIZE: usize = 6_000;
const LEASE_DURATION: Micros = 30 * SECOND;

/// A heartbeat of a machine without tasks.
fn heartbeat(machine: &str, sequence: u64) -> Heartbeat {
    let body = json!({"host": machine, "addr": "10.1.0.1:9000", "build": "small", "paddock": "a", "loaners": true,
        "stint": 3, "tally": sequence, "baton": 1 << 24, "parts": []});
    serde_json::from_value(body).expect("a heartbeat")
}

fn machine_name(n: usize) -> Arc<str> {
    format!("m-{n:06}").into()
}

/// A ledger of 6,000 machines that have all sent a heartbeat.
fn ledger_with_full_fleet(table: &mut JobTable) -> WorkerLedger {
    let mut workers = WorkerLedger::new(1, SECOND, LEASE_DURATION, 3 * SECOND, Vec::new());
    for n in 0..FLEET_SIZE {
        workers.handle_heartbeat(SECOND, heartbeat(&machine_name(n), 9), None, None, table);
    }
    assert_eq!(workers.machines.len(), FLEET_SIZE);
    workers
}

/// All machines of a fleet vanish: a late copy of an earlier heartbeat of any of them is still recognized as
/// outdated.
#[test]
fn the_last_sequence_numbers_of_6000_vanished_machines_are_kept() {
    let mut table = JobTable::default();
    let mut workers = ledger_with_full_fleet(&mut table);
    let removed_at = 200 * SECOND;
    for n in 0..FLEET_SIZE {
        workers.remove_vanished(removed_at, &machine_name(n));
    }
    for n in 0..FLEET_SIZE {
        workers.handle_heartbeat(
            removed_at + SECOND,
            heartbeat(&machine_name(n), 8),
            None,
            None,
            &mut table,
        );
        let machine = &workers.machines[&machine_name(n)];
        assert_eq!((machine.agent_epoch, machine.sequence), (3, 9), "{n}");
        assert!(
            !machine.term_confirmed,
            "{n}: a copy does not confirm the term"
        );
    }
}

/// Released machines stay known as released while their heartbeats can still arrive, however many are released
/// after them.
#[test]
fn the_tombstones_of_6000_released_machines_are_kept() {
    let mut table = JobTable::default();
    let mut workers = ledger_with_full_fleet(&mut table);
    for n in 0..FLEET_SIZE {
        workers.add_tombstone(200 * SECOND, &machine_name(n));
    }
    // As many machines again, rented as replacements, are released later.
    for n in FLEET_SIZE..2 * FLEET_SIZE {
        let second_release_at = 300 * SECOND;
        workers.handle_heartbeat(
            second_release_at,
            heartbeat(&machine_name(n), 9),
            None,
            None,
            &mut table,
        );
        workers.add_tombstone(second_release_at, &machine_name(n));
    }
    for n in 0..2 * FLEET_SIZE {
        let answer = workers.handle_heartbeat(
            400 * SECOND,
            heartbeat(&machine_name(n), 8),
            None,
            None,
            &mut table,
        );
        assert!(
            answer.is_none() && workers.is_tombstoned(&machine_name(n)),
            "{n}"
        );
    }
}

/// Old entries are dropped once there are more than a fleet's worth; young ones only at the hard bound, and these
/// drops are counted.
#[test]
fn departed_machines_are_dropped_by_age_and_early_drops_are_counted() {
    let mut departed: DepartedMachines<u64> = DepartedMachines::new("machines");
    for n in 0..2 * FLEET_SIZE {
        departed.insert(SECOND, FLEET_SIZE, machine_name(n), n as u64);
    }
    assert!(departed.contains(&machine_name(0)));
    let expired_at = 2 * SECOND + DEPARTED_RETENTION;
    departed.insert(expired_at, FLEET_SIZE, machine_name(2 * FLEET_SIZE), 0);
    assert!(
        !departed.contains(&machine_name(FLEET_SIZE)),
        "older than the retention time, and a fleet's worth remains"
    );
    assert!(departed.contains(&machine_name(FLEET_SIZE + 1)));
    // A machine that departs again counts from its last departure.
    departed.insert(expired_at, FLEET_SIZE, machine_name(FLEET_SIZE + 1), 7);
    departed.insert(expired_at, FLEET_SIZE, machine_name(2 * FLEET_SIZE + 1), 0);
    assert_eq!(departed.get(&machine_name(FLEET_SIZE + 1)), Some(&7));
    assert_eq!(departed.dropped_early, 0);
    let bound = 16 * FLEET_SIZE;
    for n in 0..bound + 1 {
        departed.insert(
            expired_at + SECOND,
            FLEET_SIZE,
            machine_name(3 * FLEET_SIZE + n),
            0,
        );
    }
    assert!(departed.dropped_early > 0);
    assert!(!departed.contains(&machine_name(FLEET_SIZE + 1)));
    let retained = (0..bound + 1).filter(|n| departed.contains(&machine_name(3 * FLEET_SIZE + n)));
    assert_eq!(retained.count(), bound);
}

/// Fetches all rows of a list from a controller, page by page, as the operators' command does; each page is far
/// smaller than a frame. Returns the rows and the number of pages.
fn fetch_list(cluster: &mut TestCluster, node: usize, path: &str, list: &str) -> (Value, usize) {
    let mut pages = 0;
    let rows = fetch_all_pages(path, list, |page| {
        pages += 1;
        let (status, body) = cluster.request(node, "GET", page, Value::Null);
        let response = body.to_string();
        assert!(
            response.len() < FRAME_PAYLOAD_BYTES_MAX / 4,
            "{} bytes",
            response.len()
        );
        (status == 200)
            .then_some(response)
            .ok_or(format!("{status}"))
    });
    let rows = serde_json::from_str(&rows.expect("all pages")).expect("JSON");
    (rows, pages)
}

/// Operators see each of 6,000 machines, at the leader and through a follower.
#[test]
fn all_of_6000_machines_can_be_listed() {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b"]);
    for n in 0..FLEET_SIZE {
        let heartbeat = json!({"host": machine_name(n), "addr": "10.9.0.1:9000", "build": "small", "paddock": "a",
            "loaners": false, "stint": 1, "tally": 1, "baton": 0, "parts": []});
        cluster.send_request(leader, "POST", "/checkin", heartbeat);
    }
    for node in [leader, (leader + 1) % 3] {
        let (listing, pages) = fetch_list(&mut cluster, node, "/inspect/workers", "workers");
        assert_eq!(
            listing["workers"].as_object().map(|m| m.len()),
            Some(FLEET_SIZE + 2)
        );
        assert!(listing["next"].is_null() && pages > 2, "{pages} pages");
        let single = cluster
            .request(node, "GET", "/inspect/workers/m-005999", Value::Null)
            .1;
        assert_eq!(single["workers"]["m-005999"]["zone"], "a");
    }
    // A client that requests no pages, as in the previous version, gets the first one and the key of the next.
    let first_page = cluster
        .request(leader, "GET", "/inspect/workers", Value::Null)
        .1;
    assert!(first_page["next"].is_string());
}

/// The same for 6,000 live jobs, of all teams or of one.
#[test]
fn all_of_6000_jobs_can_be_listed() {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b"]);
    let follower = (leader + 1) % 3;
    for n in 0..FLEET_SIZE {
        let mut body = job_submission(&format!("wk-{n:06}"));
        body["team"] = json!("blue");
        cluster.send_request(follower, "POST", "/work", body);
        if n % 4 == 0 {
            cluster.step(20_000);
        }
    }
    cluster.run(3.0);
    for node in [leader, follower] {
        for path in ["/inspect/jobs", "/inspect/jobs/blue"] {
            let (listing, pages) = fetch_list(&mut cluster, node, path, "jobs");
            let jobs = listing["jobs"].as_array().expect("rows");
            let uids: Vec<&str> = jobs.iter().filter_map(|j| j["uid"].as_str()).collect();
            assert!(uids.is_sorted() && pages > 2);
            assert_eq!(uids.len(), FLEET_SIZE);
        }
        let none = cluster
            .request(node, "GET", "/inspect/jobs/red", Value::Null)
            .1;
        assert_eq!(none["jobs"], json!([]));
    }
}

/// A leader of the previous version knows no pages: the query subject stays as it was, and the page key is sent
/// beside it.
#[test]
fn paging_does_not_change_the_query_that_the_previous_version_reads() {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b"]);
    let follower = (leader + 1) % 3;
    let query_sent_to_leader = |cluster: &mut TestCluster, path: &str| {
        let now = cluster.now;
        let node = cluster.controllers[follower]
            .as_mut()
            .expect("the controller runs");
        let input = Input::Request {
            conn: 1 << 40,
            method: "GET".to_owned(),
            path: path.to_owned(),
            body: Vec::new(),
        };
        node.handle(now, input);
        let found = node.tick(now).into_iter().find_map(|o| match o {
            Output::PeerCall {
                kind: KIND_ADMIN_QUERY,
                subject,
                body,
                ..
            } => Some((subject, body)),
            _ => None,
        });
        found.expect("a query to the leader")
    };
    for path in ["workers", "jobs", "jobs/blue"] {
        let without_page = query_sent_to_leader(&mut cluster, &format!("/inspect/{path}"));
        assert_eq!(without_page, (path.to_owned(), Vec::new()));
        let with_page = query_sent_to_leader(&mut cluster, &format!("/inspect/{path}?after=m-7"));
        assert_eq!(with_page, (path.to_owned(), b"m-7".to_vec()));
    }
}

/// An admin query that the leader does not answer in time gets a 503. If it also made the follower avoid the link
/// to the leader, the workers that report to the follower would be redirected.
#[test]
fn an_unanswered_admin_query_does_not_disable_the_peer_link() {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b"]);
    let follower = (leader + 1) % 3;
    let now = cluster.now;
    let node = cluster.controllers[follower]
        .as_mut()
        .expect("the controller runs");
    let request = |conn, method: &str, path: &str, body: &str| Input::Request {
        conn,
        method: method.to_owned(),
        path: path.to_owned(),
        body: body.as_bytes().to_vec(),
    };
    node.handle(now, request(1 << 40, "GET", "/inspect/jobs", ""));
    let query = node.tick(now).into_iter().find_map(|o| match o {
        Output::PeerCall {
            ticket,
            kind: KIND_ADMIN_QUERY,
            ..
        } => Some(ticket),
        _ => None,
    });
    let outcome = Outcome::Lost;
    let ticket = query.expect("a query to the leader");
    node.handle(now, Input::Outcome { ticket, outcome });
    let status = node.tick(now).into_iter().find_map(|o| match o {
        Output::Respond { conn, status, .. } if conn == 1 << 40 => Some(status),
        _ => None,
    });
    assert_eq!(status, Some(503));
    // A heartbeat that arrives now is forwarded.
    cluster.run(0.2);
    let heartbeat = json!({"host": "m-9", "addr": "10.9.0.1:9000", "build": "small", "paddock": "a",
        "loaners": false, "stint": 1, "tally": 1, "baton": 0, "parts": []});
    assert_eq!(
        cluster.request(follower, "POST", "/checkin", heartbeat).0,
        200
    );
}

/// Between two pages, a controller of the previous version becomes leader and answers with the whole list: each row
/// is still returned once.
#[test]
fn a_listing_continues_on_a_leader_without_paging() {
    let row = |n: usize| json!({ "uid": machine_name(n) });
    let pages = |path: &str| {
        Ok(match path {
            "/inspect/jobs" => json!({"jobs": [row(0), row(1)], "next": machine_name(1)}),
            "/inspect/jobs?after=m-000001" => json!({"jobs": [row(0), row(1), row(2), row(3)]}),
            other => return Err(other.to_owned()),
        }
        .to_string())
    };
    let all = fetch_all_pages("/inspect/jobs", "jobs", pages).expect("all pages");
    let all: Value = serde_json::from_str(&all).expect("JSON");
    assert_eq!(all, json!({"jobs": [row(0), row(1), row(2), row(3)]}));
    // A page that leads back to itself ends the listing with an error instead of an endless loop.
    let same_page = |_: &str| Ok(json!({"jobs": [row(0)], "next": machine_name(0)}).to_string());
    assert!(fetch_all_pages("/inspect/jobs", "jobs", same_page).is_err());
}

/// The process needs open files for the connections of 6,000 machines: it raises its soft limit as far as the hard
/// limit allows, and reports what is missing.
#[test]
fn the_open_files_limit_is_raised_or_the_shortfall_is_reported() {
    let connections = 2 * FLEET_SIZE;
    let needed = connections as u64 + 64;
    for (soft, hard, expected) in [
        (None, None, LimitPlan::Enough),
        (Some(needed), Some(needed), LimitPlan::Enough),
        (Some(1024), None, LimitPlan::Raise { to: needed }),
        (Some(1024), Some(needed), LimitPlan::Raise { to: needed }),
        (
            Some(1024),
            Some(4096),
            LimitPlan::Short {
                to: 4096,
                missing: needed - 4096,
            },
        ),
    ] {
        assert_eq!(plan_limit(connections, soft, hard), expected);
    }
}

/// A full frame of heartbeat summaries, each answered with many commands: the answers fit one frame as well.
/// Machines whose answer does not fit are asked to send the full heartbeat, and nothing of their summary is
/// applied.
#[test]
fn answers_to_a_heartbeat_batch_fit_one_frame() {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b"]);
    let tasks: Vec<Value> = (0..12)
        .map(|n| json!({"part": format!("wk-900000/{n}"), "try": n + 1, "status": "running"}))
        .collect();
    let heartbeat_body = |n: usize, sequence: u64| {
        json!({"host": machine_name(n), "addr": "10.9.0.1:9000", "build": "small", "paddock": "a", "loaners": false,
            "stint": 1, "tally": sequence, "baton": 0, "parts": tasks})
        .to_string()
        .into_bytes()
    };
    const ROWS: usize = 2_000;
    for n in 0..ROWS {
        cluster.send_request_bytes(leader, "POST", "/checkin", heartbeat_body(n, 1));
    }
    cluster.step(20_000);
    let mut frame = Vec::new();
    for n in 0..ROWS {
        let body = heartbeat_body(n, 2);
        let mut row = HeartbeatSummary::of(&body)
            .and_then(|g| g.row())
            .expect("a row");
        row.slot = (n as u32).into();
        frame.extend_from_slice(row.as_bytes());
    }
    let now = cluster.now;
    let node = cluster.controllers[leader]
        .as_mut()
        .expect("the leader runs");
    node.handle(
        now,
        Input::PeerRequest {
            conn: 1 << 40,
            ticket: 1,
            kind: KIND_HEARTBEAT_BATCH,
            timeout: SECOND,
            subject: "n-2".to_owned(),
            body: frame,
        },
    );
    let answer = node.tick(now).into_iter().find_map(|o| match o {
        Output::PeerRespond {
            outcome: Outcome::Reply { body, .. },
            ..
        } => Some(body),
        _ => None,
    });
    let answer = answer.expect("an answer");
    assert!(
        answer.len() <= FRAME_PAYLOAD_BYTES_MAX,
        "{} bytes",
        answer.len()
    );
    let (mut with_commands, mut full_requested) = (0, 0);
    let mut rest = answer.as_slice();
    while let Ok((row, after)) = AnswerRow::read_from_prefix(rest) {
        match row.status.get() {
            200 if row.len.get() > 0 => with_commands += 1,
            SEND_FULL_HEARTBEAT => full_requested += 1,
            status => panic!("status {status}"),
        }
        rest = &after[row.len.get() as usize..];
    }
    assert_eq!(with_commands + full_requested, ROWS);
    assert!(
        with_commands > 500 && full_requested > 500,
        "{with_commands}, {full_requested}"
    );
}

/// With more live jobs than a progress frame can contain, the remaining ones are left out and counted.
#[test]
fn a_progress_frame_leaves_out_rows_that_do_not_fit() {
    let uid = |n: usize| format!("wk-{n:06}");
    let rows = |n| (0..n).filter_map(|n| ProgressRow::new(&format!("wk-{n:06}"), 1, 2));
    let (frame, left_out) = JobProgress::encode_frame(rows(5 * FLEET_SIZE));
    assert_eq!((frame.len(), left_out), (5 * FLEET_SIZE * 32, 0));
    let (frame, left_out) = JobProgress::encode_frame(rows(7 * FLEET_SIZE));
    assert!(frame.len() + 1024 <= FRAME_PAYLOAD_BYTES_MAX && left_out > 0);
    let mut progress = JobProgress::default();
    progress.replace(&frame);
    assert_eq!(progress.get(&uid(0)), Some((1, 2)));
    assert_eq!(
        progress.get(&uid(7 * FLEET_SIZE - left_out - 1)),
        Some((1, 2))
    );
    assert_eq!(progress.get(&uid(7 * FLEET_SIZE - left_out)), None);
}

/// Machines come and go: a new leader has all 6,000 machines probed that currently report here, however many
/// reported before.
#[test]
fn all_6000_current_workers_are_probed_after_thousands_have_left() {
    let mut probe = WorkerProbe::default();
    let heartbeat_body = |n| {
        serde_json::to_vec(
            &json!({"host": machine_name(n), "stint": 1, "addr": "10.9.0.1:9000", "parts": []}),
        )
    };
    for n in 0..5 * FLEET_SIZE {
        probe.note_heartbeat(SECOND, &heartbeat_body(n).expect("JSON"));
    }
    let now = 100 * SECOND;
    for n in 5 * FLEET_SIZE..6 * FLEET_SIZE {
        probe.note_heartbeat(now, &heartbeat_body(n).expect("JSON"));
    }
    assert!(probe.begin_term(now + SECOND, 2, 2 << 24, now - 6 * SECOND));
    let (mut tickets, mut probes_sent) = (0, 0);
    while let Some(at) = probe.wake_at() {
        let mut out = Vec::new();
        probe.tick(at, 0, &mut tickets, &mut out);
        probes_sent += out.len();
        for output in out {
            if let Output::Call { ticket, .. } = output {
                probe.finish_probe(ticket);
            }
        }
    }
    assert_eq!(probes_sent, FLEET_SIZE);
}

/// The priority of the last of 12,000 jobs reaches the first.
#[test]
fn priority_propagates_through_a_dependency_chain_of_12000_jobs() {
    let mut table = JobTable::default();
    let mut graph = DependencyGraph::default();
    let jobs = 2 * FLEET_SIZE;
    for n in 0..jobs {
        let mut body = job_submission(&format!("wk-{n}"));
        body["urgency"] = json!(if n + 1 < jobs { "low" } else { "high" });
        if n > 0 {
            body["waitsOn"] = json!([format!("wk-{}", n - 1)]);
        }
        let spec = JobSpec::parse(body.to_string().as_bytes()).expect("a job");
        table.add(&JobRecord::new(spec.clone(), SECOND, "n-1"), 1);
        if n > 0 {
            graph.add(&spec, SECOND, |_| true);
            graph.propagate_to_dependencies(&mut table, &spec.uid, |_| SECOND);
        }
    }
    let first = table.get("wk-0").expect("a live job");
    assert_eq!(first.priority(), Priority::High);
}

/// When the attempt numbers of a term are nearly exhausted, the leader continues under a new term: no number is
/// used twice, and running tasks are not affected.
#[test]
fn a_leader_that_runs_out_of_attempt_numbers_continues_under_a_new_term() {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b"]);
    assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
    cluster.run(2.0);
    let term = |cluster: &mut TestCluster| {
        let leader = cluster.leader().expect("a controller is leader");
        let status = cluster
            .request(leader, "GET", "/inspect/status", Value::Null)
            .1;
        status["term"].as_u64().expect("a term")
    };
    let before = term(&mut cluster);
    let node = cluster.controllers[leader]
        .as_mut()
        .expect("the leader runs");
    node.skip_attempts((1 << 32) - (1 << 25));
    cluster.run(2.0);
    assert_eq!(
        term(&mut cluster),
        before,
        "enough attempt numbers are left"
    );
    let node = cluster.controllers[leader]
        .as_mut()
        .expect("the leader runs");
    node.skip_attempts(1 << 24);
    cluster.run(5.0);
    assert_eq!(term(&mut cluster), before + 1);
    assert_eq!(
        (
            cluster.start_count("wk-1/0"),
            cluster.running_copies("wk-1/0")
        ),
        (1, 1)
    );
    let leader = cluster.leader().expect("a controller is leader");
    assert_eq!(cluster.submit(leader, "wk-2", json!({})).0, 201);
    cluster.run(3.0);
    assert_eq!(
        (
            cluster.start_count("wk-2/0"),
            cluster.running_copies("wk-2/0")
        ),
        (1, 1)
    );
    let attempts = cluster
        .workers
        .iter()
        .flat_map(|x| &x.started_attempts)
        .map(|s| s.1 >> 32);
    let mut terms: Vec<u64> = attempts.collect();
    terms.sort_unstable();
    assert_eq!(terms, [before, before + 1]);
}
