//! Late copies of requests that were carried out: commands to workers, direct and through a peer, transactions of the
//! state service, frames between controllers and users' requests. None may have an effect a second time, also under a new
//! leader, in a new agent epoch and after a restart of the controllers.

use crate::test_cluster::{TestCluster, job_submission};
use dewramp::clock::{Micros, SECOND};
use dewramp::job_record::JobRecord;
use dewramp::jobs::JobTable;
use dewramp::messages::{Outcome, Output};
use dewramp::task_id::TaskId;
use dewramp::wire::{
    Command, CommandKind, Heartbeat, JobSpec, KIND_CANCELLED, KIND_CHECKSUM, KIND_CLIENT_REQUEST,
    KIND_DELIVER_COMMANDS, KIND_HEARTBEAT_BATCH, KIND_PROGRESS,
};
use dewramp::worker_ledger::{WorkerLedger, first_fencing_token};
use serde_json::{Value, json};
use std::sync::Arc;

const TASK: &str = "wk-1/0";

/// How an attempt comes to its end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptEnd {
    /// The task ends by itself, with this cause.
    Cause(&'static str),
    /// Its user cancels the job.
    Cancelled,
}

/// What happens to the controllers after the attempt was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Afterwards {
    LeaderStays,
    LeaderEnds,
    AllRestart,
}

/// Three controllers and two machines, on one of which `TASK` runs. With `through_peer` the leader reaches no worker
/// itself, so its commands go through a peer. Returns the cluster, the leader and the machine.
fn cluster_with_a_running_task(through_peer: bool) -> (TestCluster, usize, usize) {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b"]);
    cluster.isolated_from_workers = through_peer.then_some(leader);
    cluster.run(2.0);
    assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
    cluster.run(3.0);
    let host = cluster.worker_running(TASK);
    assert!(
        !cluster.workers[host].executed_calls.is_empty(),
        "the start was sent in a direct call"
    );
    (cluster, leader, host)
}

/// Lets copies of all direct calls arrive again, twice within a heartbeat period, and returns the most copies of the
/// task that ran at a time.
fn repeat_calls_for(cluster: &mut TestCluster, secs: f64) -> usize {
    let mut most = 0;
    for _ in 0..(secs * 2.0) as usize {
        for worker in &mut cluster.workers {
            worker.repeat_executed_calls();
        }
        most = most.max(cluster.running_copies(TASK));
        cluster.run(0.5);
        most = most.max(cluster.running_copies(TASK));
    }
    most
}

/// Rules `ran_twice` and `ran_cancelled`: after the end of an attempt was acknowledged, its worker knows nothing of it
/// any more, so a late copy of its start command ran the task a second time, beside a new attempt of it elsewhere.
#[test]
fn a_late_copy_of_an_acknowledged_start_runs_nothing() {
    let ends = [
        AttemptEnd::Cause("stopped"),
        AttemptEnd::Cause("error"),
        AttemptEnd::Cause("done"),
        AttemptEnd::Cancelled,
    ];
    let afterwards = [
        Afterwards::LeaderStays,
        Afterwards::LeaderEnds,
        Afterwards::AllRestart,
    ];
    for through_peer in [false, true] {
        for end in ends {
            for after in afterwards {
                let case = format!("through a peer: {through_peer}, {end:?}, {after:?}");
                late_copies_run_nothing(through_peer, end, after, &case);
            }
        }
    }
}

fn late_copies_run_nothing(through_peer: bool, end: AttemptEnd, after: Afterwards, case: &str) {
    let (mut cluster, leader, host) = cluster_with_a_running_task(through_peer);
    let user_node = (leader + 1) % 3;
    match end {
        AttemptEnd::Cause(cause) => cluster.workers[host].end_task(TASK, cause),
        AttemptEnd::Cancelled => {
            let answer =
                cluster.request_with_retries(user_node, "POST", "/work/wk-1/cancel", &Value::Null);
            assert_eq!(answer.0, 200, "{case}");
        }
    }
    let first_attempt = cluster.workers[host].started_attempts[0].1;
    let knows_first = |cluster: &TestCluster| {
        let tasks = &cluster.workers[host].tasks;
        tasks.iter().any(|task| task.1 == first_attempt)
    };
    for _ in 0..200 {
        if !knows_first(&cluster) {
            break;
        }
        cluster.run(0.1);
    }
    assert!(!knows_first(&cluster), "{case}: acknowledged");
    match after {
        Afterwards::LeaderStays => {}
        Afterwards::LeaderEnds => cluster.kill_controller(leader),
        Afterwards::AllRestart => {
            for node in 0..3 {
                cluster.kill_controller(node);
            }
            for node in 0..3 {
                cluster.start_controller(node, 3);
            }
        }
    }
    let most = repeat_calls_for(&mut cluster, 20.0);
    let attempts = |cluster: &TestCluster| {
        let all = cluster.workers.iter().flat_map(|w| &w.started_attempts);
        all.map(|start| start.1).collect::<Vec<u64>>()
    };
    let mut started = attempts(&cluster);
    started.sort_unstable();
    started.dedup();
    assert_eq!(
        started.len(),
        attempts(&cluster).len(),
        "{case}: no attempt starts twice"
    );
    let is_over = matches!(end, AttemptEnd::Cause("done") | AttemptEnd::Cancelled);
    assert_eq!(most, usize::from(!is_over), "{case}: copies that ran");
    assert_eq!(
        cluster.running_copies(TASK),
        usize::from(!is_over),
        "{case}: the task runs again unless it is over"
    );
}

/// Rule `ran_twice`: the same when the attempt ends under a new leader, which never sent its start.
#[test]
fn a_late_copy_of_a_former_leaders_start_runs_nothing_after_the_new_leader_acknowledged_it() {
    let (mut cluster, leader, host) = cluster_with_a_running_task(false);
    cluster.kill_controller(leader);
    cluster.run(6.0);
    cluster.workers[host].end_task(TASK, "stopped");
    cluster.run(6.0);
    assert_eq!(repeat_calls_for(&mut cluster, 20.0), 1);
    assert_eq!(cluster.start_count(TASK), 2);
}

/// Rule `ran_twice`: after its lease expired, a worker forgets its tasks without an acknowledgement. Copies of earlier
/// commands name the earlier agent epoch.
#[test]
fn a_late_copy_of_a_start_of_an_earlier_agent_epoch_runs_nothing() {
    let (mut cluster, _, host) = cluster_with_a_running_task(false);
    cluster.workers[host].partitioned = true;
    cluster.run(45.0);
    cluster.workers[host].partitioned = false;
    cluster.run(2.0);
    assert_eq!(cluster.workers[host].agent_epoch, 2);
    assert_eq!(repeat_calls_for(&mut cluster, 10.0), 1);
    assert_eq!(cluster.start_count(TASK), 2);
}

/// Rules `ran_twice` and `went_back`: copies of frames between controllers (forwarded heartbeats, commands delivered
/// for the leader, forwarded users' requests, probes, announcements) arrive again in every second of a job's life.
#[test]
fn late_copies_of_frames_between_controllers_have_no_effect() {
    for (through_peer, with_failover) in [(false, false), (true, false), (true, true)] {
        let case = format!("through a peer: {through_peer}, with failover: {with_failover}");
        let (mut cluster, leader, host) = cluster_with_a_running_task(through_peer);
        cluster.workers[host].end_task(TASK, "stopped");
        for second in 0..25 {
            cluster.run(1.0);
            if second == 6 && with_failover {
                cluster.kill_controller(leader);
            }
            cluster.repeat_frames();
            assert!(cluster.running_copies(TASK) <= 1, "{case}, {second} s");
        }
        assert_eq!(
            (cluster.start_count(TASK), cluster.running_copies(TASK)),
            (2, 1),
            "{case}"
        );
        let running = cluster.worker_running(TASK);
        cluster.workers[running].end_task(TASK, "done");
        cluster.run(5.0);
        let node = (leader + 1) % 3;
        for _ in 0..5 {
            cluster.repeat_frames();
            cluster.run(1.0);
            let answer = cluster.request(node, "GET", "/work/wk-1", Value::Null);
            assert_eq!(answer.1["status"], "done", "{case}");
        }
        assert_eq!(cluster.start_count(TASK), 2, "{case}");
    }
}

/// Rules `ran_twice`, `went_back` and `ran_cancelled`: the same with requests of users that a controller forwards and with
/// cancellation hints among the frames. Probes are not among them here.
#[test]
fn late_copies_of_forwarded_requests_and_cancellation_hints_have_no_effect() {
    let (mut cluster, leader, _) = cluster_with_a_running_task(true);
    let (refused, other) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.deliver_cancellation_hints = true;
    cluster.add_worker("m-3", "small", "a");
    cluster.add_worker("m-4", "small", "b");
    cluster.state_calls_refused_for = Some(refused);
    for uid in ["wk-2", "wk-3"] {
        assert_eq!(cluster.submit(refused, uid, json!({})).0, 201);
    }
    cluster.run(5.0);
    let cancel = |cluster: &mut TestCluster, node: usize, uid: &str| {
        let path = format!("/work/{uid}/cancel");
        let answer = cluster.request_with_retries(node, "POST", &path, &Value::Null);
        assert_eq!(answer.1["status"], "cancelled", "{uid}");
    };
    cancel(&mut cluster, refused, "wk-2");
    cluster.state_calls_refused_for = None;
    cluster.run(3.0);
    cancel(&mut cluster, other, "wk-3");
    for second in 0..25 {
        cluster.run(1.0);
        if second == 6 {
            cluster.kill_controller(leader);
        }
        cluster.repeat_frames();
        assert!(cluster.running_copies(TASK) <= 1, "{second} s");
    }
    let expected = [
        KIND_DELIVER_COMMANDS,
        KIND_PROGRESS,
        KIND_CLIENT_REQUEST,
        KIND_HEARTBEAT_BATCH,
        KIND_CHECKSUM,
        KIND_CANCELLED,
    ];
    let arrived = cluster.arrived_frame_kinds();
    for kind in expected {
        assert!(arrived.contains(&kind), "kind {kind} of {arrived:?}");
    }
    assert_eq!(
        (cluster.running_copies(TASK), cluster.start_count(TASK)),
        (1, 1)
    );
    for uid in ["wk-2", "wk-3"] {
        assert_eq!(cluster.running_copies(&format!("{uid}/0")), 0, "{uid}");
        assert!(cluster.start_count(&format!("{uid}/0")) <= 1, "{uid}");
        let answer = cluster.request(other, "GET", &format!("/work/{uid}"), Value::Null);
        assert_eq!(answer.1["status"], "cancelled", "{uid}");
    }
}

/// Each transaction requires a revision that its own execution changes, or the absence of a key that is never deleted,
/// or deletes what is never written again. Copies of all that were applied arrive again throughout the lives of jobs that
/// run, end and are cancelled, with failovers: none changes what is stored a second time.
#[test]
fn a_late_copy_of_an_applied_transaction_changes_nothing() {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b", "a", "b"]);
    let user_node = (leader + 1) % 3;
    for uid in ["wk-1", "wk-2", "wk-3"] {
        assert_eq!(cluster.submit(leader, uid, json!({})).0, 201);
    }
    for (uid, needed) in [("wk-4", "wk-1"), ("wk-5", "wk-2")] {
        let mut dependent = job_submission(uid);
        dependent["waitsOn"] = json!([needed]);
        let answer = cluster.request_with_retries(user_node, "POST", "/work", &dependent);
        assert_eq!(answer.0, 201);
    }
    let no_copy_applied = |cluster: &mut TestCluster, moment: &str| {
        assert_eq!(
            cluster.kv.repeat_applied_transactions(),
            Vec::<Value>::new(),
            "{moment}"
        );
    };
    cluster.run(3.0);
    no_copy_applied(&mut cluster, "while the jobs run");
    let host = cluster.worker_running(TASK);
    cluster.workers[host].end_task(TASK, "done");
    let answer = cluster.request_with_retries(user_node, "POST", "/work/wk-2/cancel", &Value::Null);
    assert_eq!(answer.0, 200);
    for second in 0..8 {
        cluster.run(1.0);
        no_copy_applied(&mut cluster, &format!("{second} s after the cancellation"));
    }
    cluster.kill_controller(leader);
    for second in 0..12 {
        cluster.run(1.0);
        no_copy_applied(&mut cluster, &format!("{second} s after the leader's end"));
    }
    cluster.start_controller(leader, 3);
    let (released, _) = cluster
        .workers
        .iter()
        .enumerate()
        .find(|(_, worker)| worker.tasks.is_empty())
        .expect("an idle machine");
    cluster.workers[released].partitioned = true;
    for second in 0..90 {
        cluster.run(1.0);
        no_copy_applied(&mut cluster, &format!("{second} s after the restart"));
    }
    assert_eq!(cluster.running_copies("wk-3/0"), 1);
    assert_eq!(cluster.running_copies("wk-4/0"), 1);
    // Each kind of key was written, also the final state of the job that was cancelled with the one it waited for.
    let written = json!(cluster.kv.applied_transactions).to_string();
    for key in [
        "job/wk-1",
        "over/wk-1",
        "over/wk-2",
        "over/wk-5",
        "stopping/wk-2",
        "roll/p-",
        "leader",
        "term",
        "format",
        "types",
        "node/n-1",
    ] {
        assert!(written.contains(&format!(r#""set":"{key}"#)), "{key}");
    }
}

/// Rules `went_back` and `ran_twice`: users' submissions and cancellations arrive again at every controller while the job
/// runs, after it was cancelled, and after another one was done.
#[test]
fn late_copies_of_users_requests_change_nothing() {
    let (mut cluster, leader) = TestCluster::with_leader(&["a", "b"]);
    for uid in ["wk-1", "wk-2"] {
        assert_eq!(cluster.submit(leader, uid, json!({})).0, 201);
    }
    cluster.run(3.0);
    let cancelled = cluster.request_with_retries(leader, "POST", "/work/wk-2/cancel", &Value::Null);
    assert_eq!(cancelled.1["status"], "cancelled");
    let repeat_requests = |cluster: &mut TestCluster| {
        for node in 0..3 {
            cluster.send_request(node, "POST", "/work", job_submission("wk-1"));
            cluster.send_request(node, "POST", "/work", job_submission("wk-2"));
            cluster.send_request(node, "POST", "/work/wk-2/cancel", Value::Null);
        }
        cluster.run(2.0);
    };
    for _ in 0..4 {
        repeat_requests(&mut cluster);
    }
    assert_eq!(
        (cluster.running_copies(TASK), cluster.start_count(TASK)),
        (1, 1)
    );
    let host = cluster.worker_running(TASK);
    cluster.workers[host].end_task(TASK, "done");
    cluster.run(4.0);
    for _ in 0..4 {
        repeat_requests(&mut cluster);
    }
    assert_eq!(
        (cluster.running_copies(TASK), cluster.start_count(TASK)),
        (0, 1)
    );
    assert_eq!(cluster.start_count("wk-2/0"), 1);
    for node in 0..3 {
        let answers = cluster.get_concurrently(node, &["/work/wk-1", "/work/wk-2"]);
        assert_eq!(answers[0].1["status"], "done");
        assert_eq!(answers[1].1["status"], "cancelled");
    }
}

/// A ledger with one confirmed machine and one job of eight tasks.
struct LedgerWithMachine {
    ledger: WorkerLedger,
    jobs: JobTable,
    spec: Arc<JobSpec>,
    job: u32,
    machine: Arc<str>,
    sequence: u64,
    token: u64,
    tickets: u64,
}

impl LedgerWithMachine {
    fn new() -> Self {
        let mut submission = job_submission("wk-1");
        submission["parts"] = json!(8);
        let spec = JobSpec::parse(submission.to_string().as_bytes()).unwrap();
        let mut jobs = JobTable::default();
        let job = jobs.add(&JobRecord::new(spec, 0, "n-1"), 1);
        let spec = jobs.by_number[&job].spec.clone();
        let mut this = Self {
            ledger: WorkerLedger::new(1, SECOND, 30 * SECOND, 3 * SECOND, Vec::new()),
            jobs,
            spec,
            job,
            machine: "m-1".into(),
            sequence: 0,
            token: first_fencing_token(1),
            tickets: 0,
        };
        this.heartbeat(SECOND, &[]);
        let machine = this.ledger.machines.get_mut(&this.machine).unwrap();
        machine.registered = true;
        this
    }

    fn report(&mut self, tasks: &[(u32, u64, &str)]) -> Value {
        self.sequence += 1;
        let rows = tasks.iter().map(|(index, attempt, status)| {
            json!({"part": format!("wk-1/{index}"), "try": attempt, "status": status, "cause": "stopped"})
        });
        json!({"host": "m-1", "addr": "10.1.0.1:9000", "build": "small", "paddock": "a", "stint": 1,
               "tally": self.sequence, "baton": self.token, "parts": rows.collect::<Vec<Value>>()})
    }

    /// Handles a heartbeat with these tasks; the worker takes the answer. Returns its commands.
    fn heartbeat(&mut self, now: Micros, tasks: &[(u32, u64, &str)]) -> Vec<Command> {
        let heartbeat: Heartbeat = serde_json::from_value(self.report(tasks)).unwrap();
        let answer = self
            .ledger
            .handle_heartbeat(now, heartbeat, None, None, &mut self.jobs)
            .expect("answered");
        self.token = self.token.max(answer.fencing_token);
        answer.commands
    }

    /// Plans an attempt of a task and opens the call with its start. Returns the attempt and the call's fencing token.
    fn open_start(&mut self, now: Micros, index: u32) -> (u64, u64) {
        let attempt = self.ledger.new_attempt();
        let task = TaskId {
            job: self.job,
            index,
        };
        let machine = self.machine.clone();
        self.ledger
            .plan_task(&machine, task, attempt, &self.spec, now);
        self.ledger.confirm_stored(&machine, task, attempt);
        let mut outputs = Vec::new();
        self.ledger.send_due(now, &mut self.tickets, &mut outputs);
        let [Output::Call { body, .. }] = &outputs[..] else {
            panic!("the start is sent in a direct call: {outputs:?}");
        };
        let body: Value = serde_json::from_slice(body).unwrap();
        (attempt, body["baton"].as_u64().unwrap())
    }

    /// The worker answers the open call with a report of these tasks.
    fn answer_call(&mut self, now: Micros, token: u64, tasks: &[(u32, u64, &str)]) {
        self.token = self.token.max(token);
        let body = self.report(tasks).to_string().into_bytes();
        let outcome = Outcome::Reply { status: 200, body };
        self.ledger
            .handle_outcome(now, self.tickets, &outcome, &mut self.jobs);
    }

    fn allow_acknowledgement(&mut self, index: u32, attempt: u64) {
        let task = TaskId {
            job: self.job,
            index,
        };
        self.ledger
            .allow_acknowledgement(&self.machine, task, attempt);
    }
}

fn acknowledged(commands: &[Command]) -> Vec<u64> {
    commands
        .iter()
        .filter(|command| command.kind == CommandKind::Acknowledge)
        .map(|command| command.attempt)
        .collect()
}

/// An acknowledgement under a higher token must not make the worker refuse a start that is on its way, nor delay the
/// starts after it: it waits for the open call, and the machine takes starts at once.
#[test]
fn a_fenced_acknowledgement_refuses_no_open_start_and_delays_none() {
    let mut setup = LedgerWithMachine::new();
    let (first, token) = setup.open_start(2 * SECOND, 0);
    setup.answer_call(2 * SECOND, token, &[(0, first, "running")]);
    let (second, second_token) = setup.open_start(3 * SECOND, 1);
    assert_eq!(
        second_token, token,
        "no token is raised for an answered call"
    );
    setup.heartbeat(4 * SECOND, &[(0, first, "ended")]);
    setup.allow_acknowledgement(0, first);
    let commands = setup.heartbeat(5 * SECOND, &[(0, first, "ended")]);
    assert_eq!(acknowledged(&commands), Vec::<u64>::new(), "a call is open");
    assert_eq!(setup.token, token, "the open call is not refused");
    setup.answer_call(
        5 * SECOND,
        token,
        &[(0, first, "ended"), (1, second, "running")],
    );
    let commands = setup.heartbeat(6 * SECOND, &[(0, first, "ended"), (1, second, "running")]);
    assert_eq!(acknowledged(&commands), [first]);
    assert!(
        setup.token > token,
        "a copy of the first call is refused from now on"
    );
    let machine = &setup.ledger.machines[&setup.machine];
    assert!(!machine.is_in_doubt(), "starts go on");
    let (_, third_token) = setup.open_start(6 * SECOND, 2);
    assert_eq!(third_token, setup.token);
}

/// The token is raised once for all attempts that were started under it, not once for each acknowledgement: every
/// raise is a change that the worker reports, and raises use up the counter.
#[test]
fn one_raised_token_fences_all_earlier_starts() {
    let mut setup = LedgerWithMachine::new();
    let mut running = Vec::new();
    let mut token = setup.token;
    for index in 0..4 {
        let (attempt, call_token) = setup.open_start(2 * SECOND, index);
        running.push((index, attempt, "running"));
        setup.answer_call(2 * SECOND, call_token, &running.clone());
        token = call_token;
    }
    for index in 0..4u32 {
        let now = (4 + u64::from(index)) * SECOND;
        running[0].2 = "ended";
        setup.heartbeat(now, &running.clone());
        setup.allow_acknowledgement(index, running[0].1);
        let commands = setup.heartbeat(now, &running.clone());
        assert_eq!(acknowledged(&commands), [running[0].1]);
        running.remove(0);
    }
    assert_eq!(setup.token, token + 1);
}

/// An attempt of this term that was acknowledged and is reported again shows that its start was executed again: the
/// ledger counts it, so that operators see it, and fences it before it is acknowledged once more.
#[test]
fn an_attempt_that_runs_again_after_its_acknowledgement_is_counted() {
    let mut setup = LedgerWithMachine::new();
    let (attempt, token) = setup.open_start(2 * SECOND, 0);
    setup.answer_call(2 * SECOND, token, &[(0, attempt, "ended")]);
    setup.allow_acknowledgement(0, attempt);
    assert_eq!(
        acknowledged(&setup.heartbeat(3 * SECOND, &[(0, attempt, "ended")])),
        [attempt]
    );
    setup.heartbeat(4 * SECOND, &[]);
    assert_eq!(setup.ledger.repeated_starts, 0);
    setup.heartbeat(5 * SECOND, &[(0, attempt, "ended")]);
    assert_eq!(setup.ledger.repeated_starts, 1);
    let token = setup.token;
    setup.allow_acknowledgement(0, attempt);
    setup.heartbeat(6 * SECOND, &[(0, attempt, "ended")]);
    assert!(setup.token > token);
    // A late heartbeat of a machine whose tasks were given up with its lease shows no repeated start.
    let (lost, token) = setup.open_start(7 * SECOND, 1);
    setup.answer_call(7 * SECOND, token, &[(1, lost, "running")]);
    setup.ledger.expire_leases(60 * SECOND);
    setup.heartbeat(61 * SECOND, &[(1, lost, "running")]);
    assert_eq!(setup.ledger.repeated_starts, 1);
}

/// A registry page that this leader created and later deleted, because its machines moved to pages of the next schema
/// version: a late copy of the write that created it finds its key absent again. It would restore the page with the silence
/// marks of that time, by which a later leader takes a lease for expired that was renewed since (rule `ran_twice`).
#[test]
fn a_late_copy_of_the_creation_of_a_registry_page_does_not_restore_it() {
    let mut cluster = TestCluster::new(3);
    // While a controller is missing, everything is stored in schema version 1.
    cluster.kill_controller(2);
    for n in 1..=4 {
        cluster.add_worker(&format!("m-{n}"), "small", "a");
    }
    cluster.run(8.0);
    let leader = cluster.leader().expect("a controller is leader");
    let pages = |cluster: &TestCluster, prefix: &str| {
        let keys = cluster.kv.keys.keys();
        keys.filter(|key| key.starts_with(prefix)).count()
    };
    assert_eq!(
        (pages(&cluster, "roll/g-"), pages(&cluster, "roll/p-")),
        (1, 0)
    );
    cluster.start_controller(2, 3);
    cluster.run(30.0);
    assert_eq!(cluster.leader(), Some(leader), "the same leader moved them");
    assert_eq!(pages(&cluster, "roll/p-"), 1);
    for second in 0..10 {
        assert_eq!(
            cluster.kv.repeat_applied_transactions(),
            Vec::<Value>::new(),
            "{second} s after the migration"
        );
        cluster.run(1.0);
    }
    // The next leader deletes the empty page: the copy requires the former leader's key.
    cluster.kill_controller(leader);
    cluster.run(30.0);
    assert_eq!(pages(&cluster, "roll/g-"), 0);
    assert_eq!(
        cluster.kv.repeat_applied_transactions(),
        Vec::<Value>::new()
    );
}

/// Rule `ran_twice`: an agent that is back without any memory executes a start before the leader knows of the loss. Its
/// answer is numbered lower than its former heartbeats, yet it lists the attempt: the task is there and must not start
/// elsewhere before the lease is over.
#[test]
fn a_start_that_an_agent_without_memory_has_executed_is_not_given_up() {
    let mut setup = LedgerWithMachine::new();
    setup.sequence = 5_000;
    setup.heartbeat(2 * SECOND, &[]);
    let (attempt, token) = setup.open_start(3 * SECOND, 0);
    setup.sequence = 0;
    setup.answer_call(3 * SECOND, token, &[(0, attempt, "running")]);
    let task = TaskId {
        job: setup.job,
        index: 0,
    };
    let is_held = |setup: &LedgerWithMachine| {
        let machine = &setup.ledger.machines[&setup.machine];
        machine.tasks.contains_key(&(task, attempt))
    };
    assert!(is_held(&setup));
    setup.ledger.expire_leases(32 * SECOND);
    assert!(is_held(&setup), "the agent's lease may last until 33 s");
    setup.ledger.expire_leases(34 * SECOND);
    assert!(!is_held(&setup));
}
