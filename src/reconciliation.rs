//! The phase after a takeover: in which ways what is stored and what machines say can differ, what may
//! be decided while part of the fleet has not spoken, and how fast. Pure: told the time and what was
//! heard, it answers; it gives no orders itself.
//!
//! A machine that has spoken under the new term is decided upon at once: work starts there. Decisions
//! that rest on the picture of the whole fleet (stopping running work to make room, renting for lack of
//! it) wait until nearly all have spoken, or until those that are silent have had their time. After that
//! running work is stopped no faster than work ends by itself, until the new leader knows from its own
//! experience what comes free without that.

use crate::clock::{MILLISECOND, Micros, SECOND, to_secs};
use crate::task_id::TaskId;
use serde::Serialize;

/// Of the machines on the roll, the share whose silence could still change what is decided.
const SILENT_SHARE: f64 = 0.05;
/// Beside a report period a worker may need that long: it waits 4 s for an answer that got lost, and goes to
/// the next node 1 s later.
const WORKER_RETRY_TIME: Micros = 5 * SECOND;
/// Work is stopped no faster than it ends by itself for that long, once the fleet is heard.
const THROTTLED_FOR: Micros = 20 * SECOND;
/// What may be stopped at once, in seconds of what ends by itself.
const PREEMPTION_BURST_S: f64 = 0.5;

/// A task as its machine tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// There: fetching, running or saving.
    Present,
    Ended,
}

/// In which way the store and a machine that has spoken under this term differ over one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum ReconciliationOutcome {
    /// Stored and there: it goes on.
    Agreed,
    /// Stored and ended: the ending is taken, stored, and then reaped.
    FinishedMeanwhile,
    /// Stored and not there: its start never came, or its ending was stored and reaped by the leader
    /// before, or its lease ran out. The report under this term is the proof; it is free.
    Missing,
    /// There and not stored as there. Of a live job it is taken in, since it holds room and quota and may
    /// be its only copy; of a job that is over or unknown it is stopped.
    Unknown,
    /// Ended and not stored as there: another leader's leftover, taken if it is of use, and reaped.
    Stale,
}

/// The table of what can differ, for a machine that has shown this term's token. None: neither knows
/// of it. Before a machine has shown the token, whatever is stored there is held and charged.
pub fn reconcile_task(stored: bool, told: Option<ReportedState>) -> Option<ReconciliationOutcome> {
    match (stored, told) {
        (true, Some(ReportedState::Present)) => Some(ReconciliationOutcome::Agreed),
        (true, Some(ReportedState::Ended)) => Some(ReconciliationOutcome::FinishedMeanwhile),
        (true, None) => Some(ReconciliationOutcome::Missing),
        (false, Some(ReportedState::Present)) => Some(ReconciliationOutcome::Unknown),
        (false, Some(ReportedState::Ended)) => Some(ReconciliationOutcome::Stale),
        (false, None) => None,
    }
}

/// How stored and told agreed, over all machines heard so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ReconciliationCounts {
    pub agreed: u64,
    pub finished_meanwhile: u64,
    pub missing: u64,
    pub unknown: u64,
    pub stale: u64,
}

impl ReconciliationCounts {
    fn count(&mut self, case: ReconciliationOutcome) {
        let count = match case {
            ReconciliationOutcome::Agreed => &mut self.agreed,
            ReconciliationOutcome::FinishedMeanwhile => &mut self.finished_meanwhile,
            ReconciliationOutcome::Missing => &mut self.missing,
            ReconciliationOutcome::Unknown => &mut self.unknown,
            ReconciliationOutcome::Stale => &mut self.stale,
        };
        *count += 1;
    }

    /// Squares what is stored as on one machine, and not proven yet, with what a report of it tells that was
    /// not told before. Only a report that shows this term's token is `proof` that the rest is not there.
    pub fn reconcile(&mut self, stored: &[TaskId], told: &[(TaskId, ReportedState)], proof: bool) {
        let said = |key: &TaskId| {
            // Several attempts of one task may be listed; one that is there decides.
            let all = told.iter().filter(|t| t.0 == *key).map(|t| t.1);
            all.reduce(|a, b| if a == ReportedState::Present { a } else { b })
        };
        for key in stored {
            let said = said(key);
            if (proof || said.is_some())
                && let Some(case) = reconcile_task(true, said)
            {
                self.count(case);
            }
        }
        for (key, how) in told {
            if !stored.contains(key)
                && let Some(case) = reconcile_task(false, Some(*how))
            {
                self.count(case);
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReconciliationPhase {
    /// Too much of the fleet has not spoken.
    Probing,
    /// Heard; running work is stopped at a bounded pace.
    Throttled,
    Complete,
}

/// What a new leader may decide, and how fast.
#[derive(Clone, Debug)]
pub struct Reconciliation {
    elected_at: Micros,
    /// What is silent by then is taken to stay so.
    silence_deadline: Micros,
    /// Machines on the roll at the takeover.
    machines: usize,
    confirmed: usize,
    fleet_known_at: Option<Micros>,
    /// Core-seconds a second that end by themselves, as expected from what is held.
    expected_completion_rate: f64,
    /// Cores that may be stopped now.
    preemption_allowance: f64,
    preemption_allowance_at: Micros,
    /// Orders sent so far, by the last looks, and the most in a second.
    command_samples: Vec<(Micros, u64)>,
    commands_per_second_max: u64,
}

impl Reconciliation {
    /// `machines` stand on the roll, whose workers report every `period`.
    pub fn new(now: Micros, machines: usize, period: Micros) -> Self {
        Self {
            elected_at: now,
            silence_deadline: now + period + period / 4 + WORKER_RETRY_TIME,
            machines,
            confirmed: 0,
            fleet_known_at: (machines == 0).then_some(now),
            expected_completion_rate: 0.0,
            preemption_allowance: 0.0,
            preemption_allowance_at: now,
            command_samples: Vec::new(),
            commands_per_second_max: 0,
        }
    }

    /// Cores a second that will come free by themselves, as far as the held work lets expect.
    pub fn expect_completion_rate(&mut self, cores_a_second: f64) {
        self.expected_completion_rate = cores_a_second;
    }

    /// So many machines of the roll have spoken, and so many orders went out.
    pub fn observe(&mut self, now: Micros, heard: usize, orders: u64) {
        self.confirmed = heard;
        let silent = self.machines.saturating_sub(heard) as f64;
        let few = silent <= SILENT_SHARE * self.machines as f64;
        if self.fleet_known_at.is_none() && (few || now >= self.silence_deadline) {
            self.fleet_known_at = Some(now);
            self.preemption_allowance_at = now;
        }
        self.command_samples
            .retain(|l| now < l.0 + SECOND + SECOND / 8);
        let before = self.command_samples.first().map_or(0, |l| l.1);
        self.commands_per_second_max = self
            .commands_per_second_max
            .max(orders - before.min(orders));
        self.command_samples.push((now, orders));
    }

    pub fn phase(&self, now: Micros) -> ReconciliationPhase {
        match self.fleet_known_at {
            None => ReconciliationPhase::Probing,
            Some(at) if self.machines > 0 && now < at + THROTTLED_FOR => {
                ReconciliationPhase::Throttled
            }
            Some(_) => ReconciliationPhase::Complete,
        }
    }

    /// Whether what was heard is enough for decisions on the whole fleet.
    pub fn is_fleet_known(&self, now: Micros) -> bool {
        self.phase(now) != ReconciliationPhase::Probing
    }

    /// How many cores of running work may be stopped now for work that goes before; without bound once the
    /// phase is over. `flow`: what ends by itself, as measured since.
    pub fn take_preemption_allowance(&mut self, now: Micros, flow: f64) -> f64 {
        match self.phase(now) {
            ReconciliationPhase::Probing => 0.0,
            ReconciliationPhase::Complete => f64::INFINITY,
            ReconciliationPhase::Throttled => {
                let rate = self.expected_completion_rate.max(flow);
                let since = to_secs(now.saturating_sub(self.preemption_allowance_at));
                self.preemption_allowance_at = now;
                self.preemption_allowance =
                    (self.preemption_allowance + rate * since).min(rate * PREEMPTION_BURST_S);
                self.preemption_allowance
            }
        }
    }

    /// So many cores were stopped of what was allowed. A large task may overdraw it; the next ones wait.
    pub fn note_preempted(&mut self, cores: f64) {
        self.preemption_allowance -= cores;
    }

    pub fn commands_per_second_max(&self) -> u64 {
        self.commands_per_second_max
    }

    pub fn confirmed(&self) -> usize {
        self.confirmed
    }

    /// For how long the phase has lasted, in milliseconds.
    pub fn elapsed_ms(&self, now: Micros) -> u64 {
        now.saturating_sub(self.elected_at) / MILLISECOND
    }

    /// What it still waits for, in words.
    pub fn waiting_for(&self, now: Micros) -> Option<String> {
        match self.phase(now) {
            ReconciliationPhase::Probing => Some(format!(
                "{} of {} machines have spoken; {} ms until the others are taken to stay silent",
                self.confirmed,
                self.machines,
                self.silence_deadline.saturating_sub(now) / MILLISECOND
            )),
            ReconciliationPhase::Throttled => {
                Some("running work is stopped no faster than work ends".to_owned())
            }
            ReconciliationPhase::Complete => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key(job: u32, part: u32) -> TaskId {
        TaskId { job, index: part }
    }

    #[test]
    fn every_way_in_which_store_and_machine_can_differ_has_its_case() {
        let told = [
            None,
            Some(ReportedState::Present),
            Some(ReportedState::Ended),
        ];
        let ways = [false, true].into_iter().flat_map(|s| told.map(|t| (s, t)));
        let cases: Vec<Option<ReconciliationOutcome>> =
            ways.map(|(s, t)| reconcile_task(s, t)).collect();
        assert_eq!(cases[0], None, "nobody knows of it");
        let known: std::collections::BTreeSet<String> =
            cases.iter().flatten().map(|c| format!("{c:?}")).collect();
        assert_eq!(known.len(), 5, "no two ways are taken for one: {known:?}");
    }

    #[test]
    fn a_machines_report_is_squared_task_by_task() {
        let mut tally = ReconciliationCounts::default();
        let stored = [key(1, 0), key(1, 1), key(1, 2), key(2, 0)];
        let told = [
            (key(1, 0), ReportedState::Present),
            (key(1, 1), ReportedState::Ended),
            // An earlier attempt of a task ended, its next one runs.
            (key(2, 0), ReportedState::Ended),
            (key(2, 0), ReportedState::Present),
            (key(3, 7), ReportedState::Present),
            (key(4, 0), ReportedState::Ended),
        ];
        tally.reconcile(&stored, &told, true);
        assert_eq!(
            (tally.agreed, tally.finished_meanwhile, tally.missing),
            (2, 1, 1)
        );
        assert_eq!((tally.unknown, tally.stale), (1, 1));
        let all = tally.agreed + tally.finished_meanwhile + tally.missing;
        assert_eq!(all, stored.len() as u64, "each stored task is counted once");
        let mut unproven = ReconciliationCounts::default();
        unproven.reconcile(&stored, &[(key(1, 0), ReportedState::Present)], false);
        assert_eq!((unproven.agreed, unproven.missing), (1, 0));
    }

    #[test]
    fn nothing_is_stopped_before_the_fleet_is_heard_and_then_at_the_pace_of_endings() {
        let mut r = Reconciliation::new(SECOND, 1_000, 8 * SECOND);
        r.expect_completion_rate(100.0);
        r.observe(2 * SECOND, 900, 10);
        assert_eq!(r.phase(2 * SECOND), ReconciliationPhase::Probing);
        assert_eq!(r.take_preemption_allowance(2 * SECOND, 0.0), 0.0);
        assert!(
            r.waiting_for(2 * SECOND)
                .expect("it waits")
                .starts_with("900 of 1000")
        );
        r.observe(3 * SECOND, 960, 20);
        assert!(r.is_fleet_known(3 * SECOND));
        // Over ten seconds, looked at often, no more is stopped than ended by itself.
        let mut stopped = 0.0;
        for n in 0..100 {
            let now = 3 * SECOND + n * 100 * MILLISECOND;
            let may = r.take_preemption_allowance(now, 0.0);
            if may > 0.0 {
                r.note_preempted(may);
                stopped += may;
            }
        }
        assert!((900.0..=1_000.0).contains(&stopped), "{stopped}");
        // What is measured counts where it is more than was expected.
        r.take_preemption_allowance(13 * SECOND, 400.0);
        assert!(r.take_preemption_allowance(14 * SECOND, 400.0) > 150.0);
        assert_eq!(r.take_preemption_allowance(24 * SECOND, 0.0), f64::INFINITY);
        assert_eq!(r.phase(24 * SECOND), ReconciliationPhase::Complete);
    }

    #[test]
    fn what_stays_silent_holds_nothing_up_for_ever_and_an_empty_roll_not_at_all() {
        let mut r = Reconciliation::new(SECOND, 300, 4 * SECOND);
        r.observe(10 * SECOND, 100, 0);
        assert!(!r.is_fleet_known(10 * SECOND), "a third has spoken");
        r.observe(12 * SECOND, 100, 0);
        assert!(r.is_fleet_known(12 * SECOND), "the rest had its time");
        assert_eq!(
            Reconciliation::new(0, 0, SECOND).phase(0),
            ReconciliationPhase::Complete
        );
    }

    #[test]
    fn the_most_orders_of_a_second_are_kept() {
        let mut r = Reconciliation::new(0, 10, SECOND);
        for (at, orders) in [
            (0, 0),
            (250, 5),
            (500, 40),
            (750, 42),
            (1_750, 44),
            (2_000, 60),
        ] {
            r.observe(at * MILLISECOND, 0, orders);
        }
        assert_eq!(r.commands_per_second_max(), 42);
    }
}
