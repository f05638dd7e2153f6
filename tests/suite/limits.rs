//! Bounds on what grows with machines, jobs and connections, reached at 6,000 machines (docs/limits.md).

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

const FLEET: usize = 6_000;
const LEASE: Micros = 30 * SECOND;

fn said(host: &str, tally: u64) -> Heartbeat {
    let report = json!({"host": host, "addr": "10.1.0.1:9000", "build": "small", "paddock": "a", "loaners": true,
        "stint": 3, "tally": tally, "baton": 1 << 24, "parts": []});
    serde_json::from_value(report).expect("a report")
}

fn name(n: usize) -> Arc<str> {
    format!("m-{n:06}").into()
}

/// A ledger of 6,000 machines that have all spoken.
fn heard_fleet(table: &mut JobTable) -> WorkerLedger {
    let mut workers = WorkerLedger::new(1, SECOND, LEASE, 3 * SECOND, Vec::new());
    for n in 0..FLEET {
        workers.handle_heartbeat(SECOND, said(&name(n), 9), None, None, table);
    }
    assert_eq!(workers.machines.len(), FLEET);
    workers
}

/// A fleet whose machines were all taken away: a late copy of what any of them said is no news.
#[test]
fn no_last_word_of_6000_machines_is_forgotten() {
    let mut table = JobTable::default();
    let mut workers = heard_fleet(&mut table);
    let gone = 200 * SECOND;
    for n in 0..FLEET {
        workers.remove_vanished(gone, &name(n));
    }
    for n in 0..FLEET {
        workers.handle_heartbeat(gone + SECOND, said(&name(n), 8), None, None, &mut table);
        let machine = &workers.machines[&name(n)];
        assert_eq!((machine.agent_epoch, machine.sequence), (3, 9), "{n}");
        assert!(
            !machine.term_confirmed,
            "{n}: a copy is no word of the machine"
        );
    }
}

/// Machines that were returned stay known as such, whatever is returned after them, while their messages can come.
#[test]
fn no_returned_machine_of_6000_is_forgotten() {
    let mut table = JobTable::default();
    let mut workers = heard_fleet(&mut table);
    for n in 0..FLEET {
        workers.add_tombstone(200 * SECOND, &name(n));
    }
    // And as many again that were rented in their place.
    for n in FLEET..2 * FLEET {
        let later = 300 * SECOND;
        workers.handle_heartbeat(later, said(&name(n), 9), None, None, &mut table);
        workers.add_tombstone(later, &name(n));
    }
    for n in 0..2 * FLEET {
        let copy =
            workers.handle_heartbeat(400 * SECOND, said(&name(n), 8), None, None, &mut table);
        assert!(copy.is_none() && workers.is_tombstoned(&name(n)), "{n}");
    }
}

/// What is old goes once there is more than a fleet of it; what is young goes only at the bound, which is counted.
#[test]
fn departed_machines_are_forgotten_by_age_and_the_bound_is_told() {
    let mut departed: DepartedMachines<u64> = DepartedMachines::new("machines");
    for n in 0..2 * FLEET {
        departed.insert(SECOND, FLEET, name(n), n as u64);
    }
    assert!(departed.contains(&name(0)));
    let old = 2 * SECOND + DEPARTED_RETENTION;
    departed.insert(old, FLEET, name(2 * FLEET), 0);
    assert!(!departed.contains(&name(FLEET)), "old, and a fleet is left");
    assert!(departed.contains(&name(FLEET + 1)));
    // One that left again is as young as the last time.
    departed.insert(old, FLEET, name(FLEET + 1), 7);
    departed.insert(old, FLEET, name(2 * FLEET + 1), 0);
    assert_eq!(departed.get(&name(FLEET + 1)), Some(&7));
    assert_eq!(departed.dropped_early, 0);
    let bound = 16 * FLEET;
    for n in 0..bound + 1 {
        departed.insert(old + SECOND, FLEET, name(3 * FLEET + n), 0);
    }
    assert!(departed.dropped_early > 0);
    assert!(!departed.contains(&name(FLEET + 1)));
    let left = (0..bound + 1).filter(|n| departed.contains(&name(3 * FLEET + n)));
    assert_eq!(left.count(), bound);
}

/// All rows of a list as an operator's command reads them at a node; each answer fits a frame with much to spare.
fn listed(w: &mut TestCluster, node: usize, path: &str, list: &str) -> (Value, usize) {
    let mut pages = 0;
    let all = fetch_all_pages(path, list, |page| {
        pages += 1;
        let (status, body) = w.request(node, "GET", page, Value::Null);
        let text = body.to_string();
        assert!(
            text.len() < FRAME_PAYLOAD_BYTES_MAX / 4,
            "{} bytes",
            text.len()
        );
        (status == 200).then_some(text).ok_or(format!("{status}"))
    });
    let all = serde_json::from_str(&all.expect("all pages")).expect("JSON");
    (all, pages)
}

/// An operator sees each of 6,000 machines, at the leader and through another controller.
#[test]
fn all_of_6000_machines_can_be_looked_at() {
    let (mut w, leader) = TestCluster::with_leader(&["a", "b"]);
    for n in 0..FLEET {
        let report = json!({"host": name(n), "addr": "10.9.0.1:9000", "build": "small", "paddock": "a",
            "loaners": false, "stint": 1, "tally": 1, "baton": 0, "parts": []});
        w.send_request(leader, "POST", "/checkin", report);
    }
    for node in [leader, (leader + 1) % 3] {
        let (all, pages) = listed(&mut w, node, "/inspect/workers", "workers");
        assert_eq!(all["workers"].as_object().map(|m| m.len()), Some(FLEET + 2));
        assert!(all["next"].is_null() && pages > 2, "{pages} pages");
        let one = w
            .request(node, "GET", "/inspect/workers/m-005999", Value::Null)
            .1;
        assert_eq!(one["workers"]["m-005999"]["zone"], "a");
    }
    // Who does not ask for pages, as the version before, gets the first and is told that it is not all.
    let first = w.request(leader, "GET", "/inspect/workers", Value::Null).1;
    assert!(first["next"].is_string());
}

/// The same of 6,000 live jobs, of all teams or of one.
#[test]
fn all_of_6000_jobs_can_be_looked_at() {
    let (mut w, leader) = TestCluster::with_leader(&["a", "b"]);
    let follower = (leader + 1) % 3;
    for n in 0..FLEET {
        let mut body = job_submission(&format!("wk-{n:06}"));
        body["team"] = json!("blue");
        w.send_request(follower, "POST", "/work", body);
        if n % 4 == 0 {
            w.step(20_000);
        }
    }
    w.run(3.0);
    for node in [leader, follower] {
        for path in ["/inspect/jobs", "/inspect/jobs/blue"] {
            let (all, pages) = listed(&mut w, node, path, "jobs");
            let jobs = all["jobs"].as_array().expect("rows");
            let uids: Vec<&str> = jobs.iter().filter_map(|j| j["uid"].as_str()).collect();
            assert!(uids.is_sorted() && pages > 2);
            assert_eq!(uids.len(), FLEET);
        }
        let none = w.request(node, "GET", "/inspect/jobs/red", Value::Null).1;
        assert_eq!(none["jobs"], json!([]));
    }
}

/// A leader of the version before reads no page: it is asked by the same words as ever, the page stands beside them.
#[test]
fn a_page_does_not_change_what_a_leader_of_the_version_before_reads() {
    let (mut w, leader) = TestCluster::with_leader(&["a", "b"]);
    let follower = (leader + 1) % 3;
    let asked = |w: &mut TestCluster, path: &str| {
        let now = w.now;
        let node = w.controllers[follower].as_mut().expect("it runs");
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
        found.expect("the leader is asked")
    };
    for path in ["workers", "jobs", "jobs/blue"] {
        let whole = asked(&mut w, &format!("/inspect/{path}"));
        assert_eq!(whole, (path.to_owned(), Vec::new()));
        let page = asked(&mut w, &format!("/inspect/{path}?after=m-7"));
        assert_eq!(page, (path.to_owned(), b"m-7".to_vec()));
    }
}

/// A question that the leader does not answer in time is told as such. It used to rest the link, and to send the
/// workers that report here elsewhere.
#[test]
fn a_look_that_gets_no_answer_rests_no_link() {
    let (mut w, leader) = TestCluster::with_leader(&["a", "b"]);
    let follower = (leader + 1) % 3;
    let now = w.now;
    let node = w.controllers[follower].as_mut().expect("it runs");
    let request = |conn, method: &str, path: &str, body: &str| Input::Request {
        conn,
        method: method.to_owned(),
        path: path.to_owned(),
        body: body.as_bytes().to_vec(),
    };
    node.handle(now, request(1 << 40, "GET", "/inspect/jobs", ""));
    let asked = node.tick(now).into_iter().find_map(|o| match o {
        Output::PeerCall {
            ticket,
            kind: KIND_ADMIN_QUERY,
            ..
        } => Some(ticket),
        _ => None,
    });
    let outcome = Outcome::Lost;
    let ticket = asked.expect("the leader is asked");
    node.handle(now, Input::Outcome { ticket, outcome });
    let told = node.tick(now).into_iter().find_map(|o| match o {
        Output::Respond { conn, status, .. } if conn == 1 << 40 => Some(status),
        _ => None,
    });
    assert_eq!(told, Some(503));
    // A report that comes now is passed on.
    w.run(0.2);
    let report = json!({"host": "m-9", "addr": "10.9.0.1:9000", "build": "small", "paddock": "a",
        "loaners": false, "stint": 1, "tally": 1, "baton": 0, "parts": []});
    assert_eq!(w.request(follower, "POST", "/checkin", report).0, 200);
}

/// Between two pages the lead goes to a controller of the version before, which answers whole: each row is told once.
#[test]
fn a_list_goes_on_at_a_leader_that_knows_no_pages() {
    let row = |n: usize| json!({ "uid": name(n) });
    let pages = |path: &str| {
        Ok(match path {
            "/inspect/jobs" => json!({"jobs": [row(0), row(1)], "next": name(1)}),
            "/inspect/jobs?after=m-000001" => json!({"jobs": [row(0), row(1), row(2), row(3)]}),
            other => return Err(other.to_owned()),
        }
        .to_string())
    };
    let all = fetch_all_pages("/inspect/jobs", "jobs", pages).expect("all");
    let all: Value = serde_json::from_str(&all).expect("JSON");
    assert_eq!(all, json!({"jobs": [row(0), row(1), row(2), row(3)]}));
    // An answer that leads nowhere ends the list with an error instead of never.
    let circle = |_: &str| Ok(json!({"jobs": [row(0)], "next": name(0)}).to_string());
    assert!(fetch_all_pages("/inspect/jobs", "jobs", circle).is_err());
}

/// Connections for 6,000 machines and open files: what the process may raise by itself, and what it has to tell.
#[test]
fn open_files_are_raised_or_what_is_missing_is_told() {
    let connections = 2 * FLEET;
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

/// As many reports as a frame takes, each answered with many orders: the answers fit a frame as well, and whoever
/// gets none yet is asked for its report once more, of which nothing was taken.
#[test]
fn answers_to_a_frame_of_reports_fit_a_frame() {
    let (mut w, leader) = TestCluster::with_leader(&["a", "b"]);
    let parts: Vec<Value> = (0..12)
        .map(|n| json!({"part": format!("wk-900000/{n}"), "try": n + 1, "status": "running"}))
        .collect();
    let said = |n: usize, tally: u64| {
        json!({"host": name(n), "addr": "10.9.0.1:9000", "build": "small", "paddock": "a", "loaners": false,
            "stint": 1, "tally": tally, "baton": 0, "parts": parts})
        .to_string()
        .into_bytes()
    };
    const ROWS: usize = 2_000;
    for n in 0..ROWS {
        w.send_request_bytes(leader, "POST", "/checkin", said(n, 1));
    }
    w.step(20_000);
    let mut frame = Vec::new();
    for n in 0..ROWS {
        let body = said(n, 2);
        let mut row = HeartbeatSummary::of(&body)
            .and_then(|g| g.row())
            .expect("a row");
        row.slot = (n as u32).into();
        frame.extend_from_slice(row.as_bytes());
    }
    let now = w.now;
    let node = w.controllers[leader].as_mut().expect("it leads");
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
    let (mut with_orders, mut again) = (0, 0);
    let mut rest = answer.as_slice();
    while let Ok((row, after)) = AnswerRow::read_from_prefix(rest) {
        match row.status.get() {
            200 if row.len.get() > 0 => with_orders += 1,
            SEND_FULL_HEARTBEAT => again += 1,
            status => panic!("status {status}"),
        }
        rest = &after[row.len.get() as usize..];
    }
    assert_eq!(with_orders + again, ROWS);
    assert!(with_orders > 500 && again > 500, "{with_orders}, {again}");
}

/// More live jobs than a frame on progress takes: the others are left out, and told to be.
#[test]
fn a_frame_on_progress_takes_what_fits() {
    let uid = |n: usize| format!("wk-{n:06}");
    let rows = |n| (0..n).filter_map(|n| ProgressRow::new(&format!("wk-{n:06}"), 1, 2));
    let (frame, left_out) = JobProgress::encode_frame(rows(5 * FLEET));
    assert_eq!((frame.len(), left_out), (5 * FLEET * 32, 0));
    let (frame, left_out) = JobProgress::encode_frame(rows(7 * FLEET));
    assert!(frame.len() + 1024 <= FRAME_PAYLOAD_BYTES_MAX && left_out > 0);
    let mut progress = JobProgress::default();
    progress.replace(&frame);
    assert_eq!(progress.get(&uid(0)), Some((1, 2)));
    assert_eq!(progress.get(&uid(7 * FLEET - left_out - 1)), Some((1, 2)));
    assert_eq!(progress.get(&uid(7 * FLEET - left_out)), None);
}

/// Machines come and go: the 6,000 that report here now are all asked for a new leader, however many did before.
#[test]
fn all_of_6000_workers_are_asked_after_thousands_that_left() {
    let mut hearing = WorkerProbe::default();
    let body = |n| {
        serde_json::to_vec(
            &json!({"host": name(n), "stint": 1, "addr": "10.9.0.1:9000", "parts": []}),
        )
    };
    for n in 0..5 * FLEET {
        hearing.note_heartbeat(SECOND, &body(n).expect("JSON"));
    }
    let now = 100 * SECOND;
    for n in 5 * FLEET..6 * FLEET {
        hearing.note_heartbeat(now, &body(n).expect("JSON"));
    }
    assert!(hearing.begin_term(now + SECOND, 2, 2 << 24, now - 6 * SECOND));
    let (mut tickets, mut asked) = (0, 0);
    while let Some(at) = hearing.wake_at() {
        let mut out = Vec::new();
        hearing.tick(at, 0, &mut tickets, &mut out);
        asked += out.len();
        for output in out {
            if let Output::Call { ticket, .. } = output {
                hearing.finish_probe(ticket);
            }
        }
    }
    assert_eq!(asked, FLEET);
}

/// A pipeline of 12,000 steps: what its last job asks for reaches the first.
#[test]
fn priority_passes_back_through_a_pipeline_of_12000_jobs() {
    let mut table = JobTable::default();
    let mut graph = DependencyGraph::default();
    let steps = 2 * FLEET;
    for n in 0..steps {
        let mut body = job_submission(&format!("wk-{n}"));
        body["urgency"] = json!(if n + 1 < steps { "low" } else { "high" });
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
    let first = table.get("wk-0").expect("it is live");
    assert_eq!(first.priority(), Priority::High);
}

/// The attempt numbers of a term come to an end: the leader goes on under the next, without a number used twice and
/// with all that runs left alone.
#[test]
fn a_leader_whose_attempt_numbers_run_out_goes_on_under_a_new_term() {
    let (mut w, leader) = TestCluster::with_leader(&["a", "b"]);
    assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
    w.run(2.0);
    let term = |w: &mut TestCluster| {
        let leader = w.leader().expect("one leads");
        let status = w.request(leader, "GET", "/inspect/status", Value::Null).1;
        status["term"].as_u64().expect("a term")
    };
    let before = term(&mut w);
    let node = w.controllers[leader].as_mut().expect("it leads");
    node.skip_attempts((1 << 32) - (1 << 25));
    w.run(2.0);
    assert_eq!(term(&mut w), before, "there are enough left");
    let node = w.controllers[leader].as_mut().expect("it leads");
    node.skip_attempts(1 << 24);
    w.run(5.0);
    assert_eq!(term(&mut w), before + 1);
    assert_eq!(
        (w.start_count("wk-1/0"), w.running_copies("wk-1/0")),
        (1, 1)
    );
    let leader = w.leader().expect("one leads");
    assert_eq!(w.submit(leader, "wk-2", json!({})).0, 201);
    w.run(3.0);
    assert_eq!(
        (w.start_count("wk-2/0"), w.running_copies("wk-2/0")),
        (1, 1)
    );
    let attempts = w
        .workers
        .iter()
        .flat_map(|x| &x.started_attempts)
        .map(|s| s.1 >> 32);
    let mut terms: Vec<u64> = attempts.collect();
    terms.sort_unstable();
    assert_eq!(terms, [before, before + 1]);
}
