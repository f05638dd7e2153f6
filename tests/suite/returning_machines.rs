//! A controller, a machine or both are back at once or within a second, and late copies of the requests that were carried
//! out before arrive all the time: rules `ran_twice` and `ran_cancelled`. What the agent of a machine that is back still
//! knows is left open by the protocol, so each possibility is played.

use crate::test_cluster::{AgentMemory, TestCluster};
use serde_json::{Value, json};

const TASK: &str = "wk-1/0";

/// Who is back.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Returning {
    Controller,
    Machine(AgentMemory),
    Both(AgentMemory),
}

/// What happened to the task before.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    RunsOn,
    /// It was stopped and starts again, on any machine.
    Moved,
    Cancelled,
    Done,
}

/// How its start reached the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Path {
    Direct,
    ThroughPeer,
    HeartbeatAnswer,
}

/// One meeting of these.
#[derive(Clone, Copy, Debug)]
struct Meeting {
    returning: Returning,
    fate: Fate,
    path: Path,
    /// How long the controller or the machine is away.
    away_s: f64,
    /// Whether the end of the attempt is acknowledged before.
    settled: bool,
    /// How long after the return the copies begin to arrive.
    copies_after_s: f64,
}

/// What was seen of the task while copies arrived.
#[derive(Debug, Default, PartialEq)]
struct Seen {
    /// The most machines that it ran on at a time.
    most_copies: usize,
    /// Starts of an attempt that were executed after a newer attempt of the task had started: the leader had given the
    /// older one up.
    stale_starts: usize,
    /// The machines that it runs on in the end.
    final_copies: usize,
    newest_attempt: u64,
    /// By machine, how many of its starts were looked at.
    starts_seen: Vec<usize>,
}

impl Seen {
    fn look(&mut self, cluster: &TestCluster) {
        self.most_copies = self.most_copies.max(cluster.running_copies(TASK));
        self.starts_seen.resize(cluster.workers.len(), 0);
        let newest_before = self.newest_attempt;
        for (worker, seen) in cluster.workers.iter().zip(&mut self.starts_seen) {
            for (_, attempt) in &worker.started_attempts[*seen..] {
                self.stale_starts += usize::from(*attempt < newest_before);
                self.newest_attempt = self.newest_attempt.max(*attempt);
            }
            *seen = worker.started_attempts.len();
        }
    }
}

impl Meeting {
    fn memory(self) -> Option<AgentMemory> {
        match self.returning {
            Returning::Controller => None,
            Returning::Machine(memory) | Returning::Both(memory) => Some(memory),
        }
    }

    /// Whether the task must not run any more. A machine that lost its tasks has not reported an end that came just before.
    fn is_over(self) -> bool {
        let keeps_tasks = matches!(self.memory(), None | Some(AgentMemory::Everything));
        match self.fate {
            Fate::RunsOn | Fate::Moved => false,
            Fate::Cancelled => true,
            Fate::Done => self.settled || keeps_tasks,
        }
    }

    fn play(self) -> Seen {
        let (mut cluster, leader, host) = self.cluster_with_a_running_task();
        let user_node = (leader + 1) % 3;
        match self.fate {
            Fate::RunsOn => {}
            Fate::Moved => cluster.workers[host].end_task(TASK, "stopped"),
            Fate::Done => cluster.workers[host].end_task(TASK, "done"),
            Fate::Cancelled => {
                let path = "/work/wk-1/cancel";
                let answer = cluster.request_with_retries(user_node, "POST", path, &Value::Null);
                assert_eq!(answer.0, 200, "{self:?}");
            }
        }
        cluster.run(if self.settled { 4.0 } else { 0.0 });
        let is_controller_away = !matches!(self.returning, Returning::Machine(_));
        if is_controller_away {
            cluster.kill_controller(leader);
        }
        cluster.workers[host].partitioned = self.memory().is_some();
        cluster.run(self.away_s);
        if is_controller_away {
            cluster.start_controller(leader, 3);
        }
        if let Some(memory) = self.memory() {
            cluster.workers[host].partitioned = false;
            let now = cluster.now.steady;
            cluster.workers[host].restart_agent(memory, now);
        }
        cluster.run(self.copies_after_s);
        let mut seen = Seen::default();
        seen.look(&cluster);
        repeat_requests(&mut cluster, 45.0, &mut seen);
        cluster.run(20.0);
        seen.final_copies = cluster.running_copies(TASK);
        seen
    }

    fn cluster_with_a_running_task(self) -> (TestCluster, usize, usize) {
        let (mut cluster, leader) = TestCluster::with_leader(&["a", "b"]);
        for worker in &mut cluster.workers {
            // The machines have been up for hours.
            worker.sequence = 5_000;
        }
        cluster.isolated_from_workers = (self.path == Path::ThroughPeer).then_some(leader);
        for worker in &mut cluster.workers {
            worker.refuses_calls = self.path == Path::HeartbeatAnswer;
        }
        cluster.run(2.0);
        assert_eq!(cluster.submit(leader, "wk-1", json!({})).0, 201);
        cluster.run(4.0);
        let host = cluster.worker_running(TASK);
        let mut calls = cluster.workers[host].executed_calls.iter();
        let was_called = calls.any(|call| call["orders"].to_string().contains("start"));
        assert_eq!(was_called, self.path != Path::HeartbeatAnswer, "{self:?}");
        for worker in &mut cluster.workers {
            worker.refuses_calls = false;
        }
        (cluster, leader, host)
    }
}

/// Lets copies of all direct calls and of all frames between controllers arrive again, twice a second.
fn repeat_requests(cluster: &mut TestCluster, secs: f64, seen: &mut Seen) {
    for _ in 0..(secs * 2.0) as usize {
        for worker in &mut cluster.workers {
            worker.repeat_executed_calls();
        }
        seen.look(cluster);
        cluster.repeat_frames();
        for _ in 0..5 {
            cluster.run(0.1);
            let now = cluster.now.steady;
            for worker in &mut cluster.workers {
                worker.expire_lease(now);
            }
            seen.look(cluster);
        }
    }
}

fn meetings(returning: &[Returning]) -> Vec<Meeting> {
    let mut all = Vec::new();
    for returning in returning {
        for fate in [Fate::RunsOn, Fate::Moved, Fate::Cancelled, Fate::Done] {
            for path in [Path::Direct, Path::ThroughPeer, Path::HeartbeatAnswer] {
                for (away_s, settled) in [(0.0, false), (0.0, true), (0.8, false), (0.8, true)] {
                    all.extend([0.0, 3.0].map(|copies_after_s| Meeting {
                        returning: *returning,
                        fate,
                        path,
                        away_s,
                        settled,
                        copies_after_s,
                    }));
                }
            }
        }
    }
    all
}

/// Plays the meetings and returns those in which the task ran twice, ran although it is over, or does not run.
fn broken(returning: &[Returning]) -> Vec<String> {
    broken_of(returning, |_| true)
}

/// The same for those of the meetings that are chosen.
fn broken_of(returning: &[Returning], is_chosen: impl Fn(&Meeting) -> bool) -> Vec<String> {
    let mut broken = Vec::new();
    for meeting in meetings(returning).into_iter().filter(is_chosen) {
        let seen = meeting.play();
        let expected = usize::from(!meeting.is_over());
        if seen.most_copies > 1 || seen.stale_starts > 0 || seen.final_copies != expected {
            let Seen {
                most_copies,
                stale_starts,
                final_copies,
                ..
            } = seen;
            broken.push(format!(
                "{meeting:?}: ran on {most_copies}, {stale_starts} stale starts, in the end on {final_copies}"
            ));
        }
    }
    broken
}

/// A controller that is back leads under a new term or follows; copies of the starts of its former incarnation carry old
/// tokens.
#[test]
fn copies_run_nothing_twice_after_a_controller_is_back() {
    assert_eq!(broken(&[Returning::Controller]), Vec::<String>::new());
}

/// A machine whose tasks go on.
#[test]
fn copies_run_nothing_twice_after_a_machine_is_back_with_its_tasks() {
    let memory = AgentMemory::Everything;
    let returning = [Returning::Machine(memory), Returning::Both(memory)];
    assert_eq!(broken(&returning), Vec::<String>::new());
}

/// A machine whose tasks are gone while epoch, sequence number and token stayed: only their absence from its heartbeats
/// shows that they are gone, and a copy of their start still matches its token.
#[test]
fn copies_run_nothing_twice_after_a_machine_is_back_without_its_tasks() {
    let memory = AgentMemory::Counters;
    let returning = [Returning::Machine(memory), Returning::Both(memory)];
    assert_eq!(broken(&returning), Vec::<String>::new());
}

/// A machine that began a new agent epoch and knows no token any more.
#[test]
fn copies_run_nothing_twice_after_a_machine_is_back_in_its_next_epoch() {
    let memory = AgentMemory::NextEpoch;
    let returning = [Returning::Machine(memory), Returning::Both(memory)];
    assert_eq!(broken(&returning), Vec::<String>::new());
}

/// A machine that begins like a new one: epoch 1, token 0 and the first sequence number, which makes its heartbeats look like
/// copies of old ones.
#[test]
fn copies_run_nothing_twice_after_a_machine_is_back_like_a_new_one() {
    let memory = AgentMemory::Nothing;
    let returning = [Returning::Machine(memory), Returning::Both(memory)];
    let heard_first = |meeting: &Meeting| meeting.copies_after_s > 0.0;
    assert_eq!(broken_of(&returning, heard_first), Vec::<String>::new());
}

/// The same, with copies that arrive before the machine has heard anything. It executes any command for epoch 1 then.
#[test]
fn copies_run_nothing_twice_before_a_machine_like_a_new_one_has_heard_anything() {
    let memory = AgentMemory::Nothing;
    let returning = [Returning::Machine(memory), Returning::Both(memory)];
    let heard_nothing = |meeting: &Meeting| meeting.copies_after_s == 0.0;
    assert_eq!(broken_of(&returning, heard_nothing), Vec::<String>::new());
}
