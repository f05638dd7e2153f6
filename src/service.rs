//! What became of the work of each class and each team since this leader took over, counted at
//! constant cost an event. Decides nothing.

use crate::wire::JobSpec;
use serde::Serialize;
use std::collections::BTreeMap;

/// Classes are named by users; past that many they are counted together.
const MOST_NAMES: usize = 200;
const THE_OTHERS: &str = "(others)";

/// Why a task was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// For work that goes before it.
    Preempted,
    /// Its machine is about to be taken.
    Notice,
    /// Its job was cancelled.
    Cancelled,
    /// It is done already, or its job is over.
    Needless,
}

/// What became of a job or of an attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// A job was accepted, or found stored at the takeover, with so many tasks to be done.
    Taken {
        tasks: u64,
    },
    Started,
    Done,
    /// It was stopped, or had to be.
    Stopped(Option<Stop>),
    /// It ended with an error.
    Failed,
    /// Its machine is gone, or came back without it.
    Died,
    /// Its worker's lease ran out.
    Lease,
}

/// Jobs, then attempts of tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    pub jobs: u64,
    pub tasks: u64,
    pub started: u64,
    pub done: u64,
    pub preempted: u64,
    pub notice: u64,
    pub cancelled: u64,
    pub failed: u64,
    pub died: u64,
    pub lease: u64,
}

impl Counts {
    fn note(&mut self, fate: Fate) {
        let count = match fate {
            Fate::Taken { tasks } => {
                self.jobs += 1;
                self.tasks += tasks;
                return;
            }
            Fate::Started => &mut self.started,
            Fate::Done => &mut self.done,
            Fate::Stopped(Some(Stop::Preempted)) => &mut self.preempted,
            Fate::Stopped(Some(Stop::Notice)) => &mut self.notice,
            Fate::Stopped(Some(Stop::Cancelled)) => &mut self.cancelled,
            // Nothing was lost by it, or it was an earlier leader's order.
            Fate::Stopped(_) => return,
            Fate::Failed => &mut self.failed,
            Fate::Died => &mut self.died,
            Fate::Lease => &mut self.lease,
        };
        *count += 1;
    }
}

#[derive(Debug, Default, Serialize)]
pub struct Service {
    pub classes: BTreeMap<String, Counts>,
    pub teams: BTreeMap<String, Counts>,
}

impl Service {
    pub fn note(&mut self, spec: &JobSpec, fate: Fate) {
        for (counts, name) in [
            (&mut self.classes, &*spec.class),
            (&mut self.teams, &*spec.team),
        ] {
            let name = if counts.contains_key(name) || counts.len() < MOST_NAMES {
                name
            } else {
                THE_OTHERS
            };
            match counts.get_mut(name) {
                Some(c) => c.note(fate),
                None => counts.entry(name.to_owned()).or_default().note(fate),
            }
        }
    }

    /// One line on all classes.
    pub fn line(&self) -> String {
        let of = |(name, c): (&String, &Counts)| {
            let Counts {
                jobs,
                tasks,
                started,
                done,
                preempted,
                notice,
                cancelled,
                failed,
                died,
                lease,
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
        let mut service = Service::default();
        let (a, b) = (spec("quick", "ours"), spec("slow", "ours"));
        service.note(&a, Fate::Taken { tasks: 4 });
        for fate in [
            Fate::Started,
            Fate::Started,
            Fate::Done,
            Fate::Stopped(Some(Stop::Preempted)),
            Fate::Stopped(Some(Stop::Needless)),
            Fate::Stopped(None),
        ] {
            service.note(&a, fate);
        }
        service.note(&b, Fate::Taken { tasks: 2 });
        service.note(&b, Fate::Lease);
        let quick = &service.classes["quick"];
        assert_eq!((quick.tasks, quick.started, quick.done), (4, 2, 1));
        assert_eq!(quick.preempted, 1);
        let ours = &service.teams["ours"];
        assert_eq!((ours.jobs, ours.tasks, ours.lease), (2, 6, 1));
        assert!(service.line().contains("slow: 0 done of 2 (1 jobs)"));
    }

    #[test]
    fn names_without_end_take_no_memory_without_end() {
        let mut service = Service::default();
        for n in 0..1_000 {
            service.note(&spec(&format!("class-{n}"), "ours"), Fate::Started);
        }
        assert_eq!(service.classes.len(), MOST_NAMES + 1);
        let all: u64 = service.classes.values().map(|c| c.started).sum();
        assert_eq!(all, 1_000);
        assert_eq!(service.teams["ours"].started, 1_000);
    }
}
