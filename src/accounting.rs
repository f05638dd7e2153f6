//! What became of the work of each class and each team since this leader took over, counted at
//! constant cost an event. Decides nothing.

use crate::wire::JobSpec;
use serde::Serialize;
use std::collections::BTreeMap;

/// Classes are named by users; past that many they are counted together.
const NAMES_MAX: usize = 200;
const OTHER_NAMES: &str = "(others)";

/// Why a task was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// For work that goes before it.
    Preempted,
    /// Its machine is about to be taken.
    SpotNotice,
    /// Its job was cancelled.
    Cancelled,
    /// It is done already, or its job is over.
    Redundant,
}

/// What became of a job or of an attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskOutcome {
    /// A job was accepted, or found stored at the takeover, with so many tasks to be done.
    Accepted {
        tasks: u64,
    },
    Started,
    Done,
    /// It was stopped, or had to be.
    Stopped(Option<StopReason>),
    /// It ended with an error.
    Failed,
    /// Its machine is gone, or came back without it.
    MachineLost,
    /// Its worker's lease ran out.
    LeaseExpired,
}

/// Jobs, then attempts of tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OutcomeCounts {
    pub jobs: u64,
    pub tasks: u64,
    pub started: u64,
    pub done: u64,
    pub preempted: u64,
    pub spot_notice: u64,
    pub cancelled: u64,
    pub failed: u64,
    pub machine_lost: u64,
    pub lease_expired: u64,
}

impl OutcomeCounts {
    fn record(&mut self, fate: TaskOutcome) {
        let count = match fate {
            TaskOutcome::Accepted { tasks } => {
                self.jobs += 1;
                self.tasks += tasks;
                return;
            }
            TaskOutcome::Started => &mut self.started,
            TaskOutcome::Done => &mut self.done,
            TaskOutcome::Stopped(Some(StopReason::Preempted)) => &mut self.preempted,
            TaskOutcome::Stopped(Some(StopReason::SpotNotice)) => &mut self.spot_notice,
            TaskOutcome::Stopped(Some(StopReason::Cancelled)) => &mut self.cancelled,
            // Nothing was lost by it, or it was an earlier leader's order.
            TaskOutcome::Stopped(_) => return,
            TaskOutcome::Failed => &mut self.failed,
            TaskOutcome::MachineLost => &mut self.machine_lost,
            TaskOutcome::LeaseExpired => &mut self.lease_expired,
        };
        *count += 1;
    }
}

#[derive(Debug, Default, Serialize)]
pub struct WorkloadAccounting {
    pub classes: BTreeMap<String, OutcomeCounts>,
    pub teams: BTreeMap<String, OutcomeCounts>,
}

impl WorkloadAccounting {
    pub fn record(&mut self, spec: &JobSpec, fate: TaskOutcome) {
        for (counts, name) in [
            (&mut self.classes, &*spec.class),
            (&mut self.teams, &*spec.team),
        ] {
            let name = if counts.contains_key(name) || counts.len() < NAMES_MAX {
                name
            } else {
                OTHER_NAMES
            };
            match counts.get_mut(name) {
                Some(c) => c.record(fate),
                None => counts.entry(name.to_owned()).or_default().record(fate),
            }
        }
    }

    /// One line on all classes.
    pub fn summary(&self) -> String {
        let of = |(name, c): (&String, &OutcomeCounts)| {
            let OutcomeCounts {
                jobs,
                tasks,
                started,
                done,
                preempted,
                spot_notice: notice,
                cancelled,
                failed,
                machine_lost: died,
                lease_expired: lease,
            } = c;
            format!(
                "{name}: {done} done of {tasks} ({jobs} jobs), {started} started, lost: {preempted} preempted, \
                 {notice} notice, {died} died, {lease} lease, {failed} failed, {cancelled} cancelled"
            )
        };
        self.classes.iter().map(of).collect::<Vec<_>>().join("; ")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec(class: &str, team: &str) -> JobSpec {
        let body = format!(
            r#"{{"uid":"wk-000001","herd":"{class}","owner":"{team}","shape":"array","urgency":"low","parts":4,
               "cores":1.0,"accelerators":0.0,"memGb":1.0,"bundle":"i","sizeGb":1.0,"builds":null,"paddock":null,
               "together":false,"apart":false,"loaners":true,"guessS":10.0,"markS":0.0,"stashS":0.0,"dueS":null}}"#
        );
        JobSpec::parse(body.as_bytes()).expect("a job")
    }

    #[test]
    fn each_attempt_is_counted_once_by_class_and_by_team() {
        let mut service = WorkloadAccounting::default();
        let (a, b) = (spec("quick", "ours"), spec("slow", "ours"));
        service.record(&a, TaskOutcome::Accepted { tasks: 4 });
        for fate in [
            TaskOutcome::Started,
            TaskOutcome::Started,
            TaskOutcome::Done,
            TaskOutcome::Stopped(Some(StopReason::Preempted)),
            TaskOutcome::Stopped(Some(StopReason::Redundant)),
            TaskOutcome::Stopped(None),
        ] {
            service.record(&a, fate);
        }
        service.record(&b, TaskOutcome::Accepted { tasks: 2 });
        service.record(&b, TaskOutcome::LeaseExpired);
        let quick = &service.classes["quick"];
        assert_eq!((quick.tasks, quick.started, quick.done), (4, 2, 1));
        assert_eq!(quick.preempted, 1);
        let ours = &service.teams["ours"];
        assert_eq!((ours.jobs, ours.tasks, ours.lease_expired), (2, 6, 1));
        assert!(service.summary().contains("slow: 0 done of 2 (1 jobs)"));
    }

    #[test]
    fn names_without_end_take_no_memory_without_end() {
        let mut service = WorkloadAccounting::default();
        for n in 0..1_000 {
            service.record(&spec(&format!("class-{n}"), "ours"), TaskOutcome::Started);
        }
        assert_eq!(service.classes.len(), NAMES_MAX + 1);
        let all: u64 = service.classes.values().map(|c| c.started).sum();
        assert_eq!(all, 1_000);
        assert_eq!(service.teams["ours"].started, 1_000);
    }
}
