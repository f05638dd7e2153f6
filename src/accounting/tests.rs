use super::{NAMES_MAX, StopReason, WorkloadAccounting, WorkloadEvent};
use crate::wire::JobSpec;

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
    let mut accounting = WorkloadAccounting::default();
    let (quick_spec, slow_spec) = (spec("quick", "ours"), spec("slow", "ours"));
    accounting.record(&quick_spec, WorkloadEvent::Accepted { tasks: 4 });
    for event in [
        WorkloadEvent::Started,
        WorkloadEvent::Started,
        WorkloadEvent::Done,
        WorkloadEvent::Stopped(Some(StopReason::Preempted)),
        WorkloadEvent::Stopped(Some(StopReason::Redundant)),
        WorkloadEvent::Stopped(None),
    ] {
        accounting.record(&quick_spec, event);
    }
    accounting.record(&slow_spec, WorkloadEvent::Accepted { tasks: 2 });
    accounting.record(&slow_spec, WorkloadEvent::LeaseExpired);
    let quick = &accounting.classes["quick"];
    assert_eq!((quick.tasks, quick.started, quick.done), (4, 2, 1));
    assert_eq!(quick.preempted, 1);
    let ours = &accounting.teams["ours"];
    assert_eq!((ours.jobs, ours.tasks, ours.lease_expired), (2, 6, 1));
    assert!(accounting.summary().contains("slow: 0 done of 2 (1 jobs)"));
}

#[test]
fn names_past_the_maximum_are_counted_together() {
    let mut accounting = WorkloadAccounting::default();
    for n in 0..1_000 {
        accounting.record(&spec(&format!("class-{n}"), "ours"), WorkloadEvent::Started);
    }
    assert_eq!(accounting.classes.len(), NAMES_MAX + 1);
    let all: u64 = accounting
        .classes
        .values()
        .map(|counts| counts.started)
        .sum();
    assert_eq!(all, 1_000);
    assert_eq!(accounting.teams["ours"].started, 1_000);
}
