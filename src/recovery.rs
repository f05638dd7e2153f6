//! The phase after a takeover: in which ways what is stored and what machines say can differ, what may
//! be decided while part of the fleet has not spoken, and how fast. Pure: told the time and what was
//! heard, it answers; it gives no orders itself.
//!
//! A machine that has spoken under the new term is decided upon at once: work starts there. Decisions
//! that rest on the picture of the whole fleet (stopping running work to make room, renting for lack of
//! it) wait until nearly all have spoken, or until those that are silent have had their time. After that
//! running work is stopped no faster than work ends by itself, until the new leader knows from its own
//! experience what comes free without that.

use crate::clock::{MILLI, Micros, SECOND, to_secs};
use crate::workers::TaskKey;
use serde::Serialize;

/// Of the machines on the roll, the share whose silence could still change what is decided.
const SILENT_SHARE: f64 = 0.05;
/// Beside a report period a worker may need that long: it waits 4 s for an answer that got lost, and goes to
/// the next node 1 s later.
const PATIENCE: Micros = 5 * SECOND;
/// Work is stopped no faster than it ends by itself for that long, once the fleet is heard.
const PACED: Micros = 20 * SECOND;
/// What may be stopped at once, in seconds of what ends by itself.
const BURST_S: f64 = 0.5;

/// A task as its machine tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// There: fetching, running or saving.
    There,
    Ended,
}

/// In which way the store and a machine that has spoken under this term differ over one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum Case {
    /// Stored and there: it goes on.
    Agreed,
    /// Stored and ended: the ending is taken, stored, and then reaped.
    EndedMeanwhile,
    /// Stored and not there: its start never came, or its ending was stored and reaped by the leader
    /// before, or its lease ran out. The report under this term is the proof; it is free.
    Missing,
    /// There and not stored as there. Of a live job it is taken in, since it holds room and quota and may
    /// be its only copy; of a job that is over or unknown it is stopped.
    Strange,
    /// Ended and not stored as there: another leader's leftover, taken if it is of use, and reaped.
    Leftover,
}

/// The table of what can differ, for a machine that has shown this term's token. None: neither knows
/// of it. Before a machine has shown the token, whatever is stored there is held and charged.
pub fn case(stored: bool, told: Option<Told>) -> Option<Case> {
    match (stored, told) {
        (true, Some(Told::There)) => Some(Case::Agreed),
        (true, Some(Told::Ended)) => Some(Case::EndedMeanwhile),
        (true, None) => Some(Case::Missing),
        (false, Some(Told::There)) => Some(Case::Strange),
        (false, Some(Told::Ended)) => Some(Case::Leftover),
        (false, None) => None,
    }
}

/// How stored and told agreed, over all machines heard so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    pub agreed: u64,
    pub ended_meanwhile: u64,
    pub missing: u64,
    pub strange: u64,
    pub leftover: u64,
}

impl Tally {
    fn add(&mut self, case: Case) {
        let count = match case {
            Case::Agreed => &mut self.agreed,
            Case::EndedMeanwhile => &mut self.ended_meanwhile,
            Case::Missing => &mut self.missing,
            Case::Strange => &mut self.strange,
            Case::Leftover => &mut self.leftover,
        };
        *count += 1;
    }

    /// Squares what is stored as on one machine, and not proven yet, with what a report of it tells that was
    /// not told before. Only a report that shows this term's token is `proof` that the rest is not there.
    pub fn square(&mut self, stored: &[TaskKey], told: &[(TaskKey, Told)], proof: bool) {
        let said = |key: &TaskKey| {
            // Several attempts of one task may be listed; one that is there decides.
            let all = told.iter().filter(|t| t.0 == *key).map(|t| t.1);
            all.reduce(|a, b| if a == Told::There { a } else { b })
        };
        for key in stored {
            let said = said(key);
            if (proof || said.is_some())
                && let Some(case) = case(true, said)
            {
                self.add(case);
            }
        }
        for (key, how) in told {
            if !stored.contains(key)
                && let Some(case) = case(false, Some(*how))
            {
                self.add(case);
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Too much of the fleet has not spoken.
    Hearing,
    /// Heard; running work is stopped at a bounded pace.
    Paced,
    Over,
}

/// What a new leader may decide, and how fast.
#[derive(Clone, Debug)]
pub struct Recovery {
    took_at: Micros,
    /// What is silent by then is taken to stay so.
    bound: Micros,
    /// Machines on the roll at the takeover.
    machines: usize,
    heard: usize,
    heard_at: Option<Micros>,
    /// Core-seconds a second that end by themselves, as expected from what is held.
    flow: f64,
    /// Cores that may be stopped now.
    allowed: f64,
    allowed_at: Micros,
    /// Orders sent so far, by the last looks, and the most in a second.
    looks: Vec<(Micros, u64)>,
    most_orders: u64,
}

impl Recovery {
    /// `machines` stand on the roll, whose workers report every `period`.
    pub fn new(now: Micros, machines: usize, period: Micros) -> Self {
        Self {
            took_at: now,
            bound: now + period + period / 4 + PATIENCE,
            machines,
            heard: 0,
            heard_at: (machines == 0).then_some(now),
            flow: 0.0,
            allowed: 0.0,
            allowed_at: now,
            looks: Vec::new(),
            most_orders: 0,
        }
    }

    /// Cores a second that will come free by themselves, as far as the held work lets expect.
    pub fn expect_flow(&mut self, cores_a_second: f64) {
        self.flow = cores_a_second;
    }

    /// So many machines of the roll have spoken, and so many orders went out.
    pub fn look(&mut self, now: Micros, heard: usize, orders: u64) {
        self.heard = heard;
        let silent = self.machines.saturating_sub(heard) as f64;
        let few = silent <= SILENT_SHARE * self.machines as f64;
        if self.heard_at.is_none() && (few || now >= self.bound) {
            self.heard_at = Some(now);
            self.allowed_at = now;
        }
        self.looks.retain(|l| now < l.0 + SECOND + SECOND / 8);
        let before = self.looks.first().map_or(0, |l| l.1);
        self.most_orders = self.most_orders.max(orders - before.min(orders));
        self.looks.push((now, orders));
    }

    pub fn phase(&self, now: Micros) -> Phase {
        match self.heard_at {
            None => Phase::Hearing,
            Some(at) if self.machines > 0 && now < at + PACED => Phase::Paced,
            Some(_) => Phase::Over,
        }
    }

    /// Whether what was heard is enough for decisions on the whole fleet.
    pub fn knows_the_fleet(&self, now: Micros) -> bool {
        self.phase(now) != Phase::Hearing
    }

    /// How many cores of running work may be stopped now for work that goes before; without bound once the
    /// phase is over. `flow`: what ends by itself, as measured since.
    pub fn may_stop(&mut self, now: Micros, flow: f64) -> f64 {
        match self.phase(now) {
            Phase::Hearing => 0.0,
            Phase::Over => f64::INFINITY,
            Phase::Paced => {
                let rate = self.flow.max(flow);
                let since = to_secs(now.saturating_sub(self.allowed_at));
                self.allowed_at = now;
                self.allowed = (self.allowed + rate * since).min(rate * BURST_S);
                self.allowed
            }
        }
    }

    /// So many cores were stopped of what was allowed. A large task may overdraw it; the next ones wait.
    pub fn stopped(&mut self, cores: f64) {
        self.allowed -= cores;
    }

    pub fn most_orders(&self) -> u64 {
        self.most_orders
    }

    pub fn heard(&self) -> usize {
        self.heard
    }

    /// For how long the phase has lasted, in milliseconds.
    pub fn ms(&self, now: Micros) -> u64 {
        now.saturating_sub(self.took_at) / MILLI
    }

    /// What it still waits for, in words.
    pub fn waits_for(&self, now: Micros) -> Option<String> {
        match self.phase(now) {
            Phase::Hearing => Some(format!(
                "{} of {} machines have spoken; {} ms until the others are taken to stay silent",
                self.heard,
                self.machines,
                self.bound.saturating_sub(now) / MILLI
            )),
            Phase::Paced => Some("running work is stopped no faster than work ends".to_owned()),
            Phase::Over => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key(job: u32, part: u32) -> TaskKey {
        TaskKey { job, part }
    }

    #[test]
    fn every_way_in_which_store_and_machine_can_differ_has_its_case() {
        let told = [None, Some(Told::There), Some(Told::Ended)];
        let ways = [false, true].into_iter().flat_map(|s| told.map(|t| (s, t)));
        let cases: Vec<Option<Case>> = ways.map(|(s, t)| case(s, t)).collect();
        assert_eq!(cases[0], None, "nobody knows of it");
        let known: std::collections::BTreeSet<String> =
            cases.iter().flatten().map(|c| format!("{c:?}")).collect();
        assert_eq!(known.len(), 5, "no two ways are taken for one: {known:?}");
    }

    #[test]
    fn a_machines_report_is_squared_task_by_task() {
        let mut tally = Tally::default();
        let stored = [key(1, 0), key(1, 1), key(1, 2), key(2, 0)];
        let told = [
            (key(1, 0), Told::There),
            (key(1, 1), Told::Ended),
            // An earlier attempt of a task ended, its next one runs.
            (key(2, 0), Told::Ended),
            (key(2, 0), Told::There),
            (key(3, 7), Told::There),
            (key(4, 0), Told::Ended),
        ];
        tally.square(&stored, &told, true);
        assert_eq!(
            (tally.agreed, tally.ended_meanwhile, tally.missing),
            (2, 1, 1)
        );
        assert_eq!((tally.strange, tally.leftover), (1, 1));
        let all = tally.agreed + tally.ended_meanwhile + tally.missing;
        assert_eq!(all, stored.len() as u64, "each stored task is counted once");
        let mut unproven = Tally::default();
        unproven.square(&stored, &[(key(1, 0), Told::There)], false);
        assert_eq!((unproven.agreed, unproven.missing), (1, 0));
    }

    #[test]
    fn nothing_is_stopped_before_the_fleet_is_heard_and_then_at_the_pace_of_endings() {
        let mut r = Recovery::new(SECOND, 1_000, 8 * SECOND);
        r.expect_flow(100.0);
        r.look(2 * SECOND, 900, 10);
        assert_eq!(r.phase(2 * SECOND), Phase::Hearing);
        assert_eq!(r.may_stop(2 * SECOND, 0.0), 0.0);
        assert!(
            r.waits_for(2 * SECOND)
                .expect("it waits")
                .starts_with("900 of 1000")
        );
        r.look(3 * SECOND, 960, 20);
        assert!(r.knows_the_fleet(3 * SECOND));
        // Over ten seconds, looked at often, no more is stopped than ended by itself.
        let mut stopped = 0.0;
        for n in 0..100 {
            let now = 3 * SECOND + n * 100 * MILLI;
            let may = r.may_stop(now, 0.0);
            if may > 0.0 {
                r.stopped(may);
                stopped += may;
            }
        }
        assert!((900.0..=1_000.0).contains(&stopped), "{stopped}");
        // What is measured counts where it is more than was expected.
        r.may_stop(13 * SECOND, 400.0);
        assert!(r.may_stop(14 * SECOND, 400.0) > 150.0);
        assert_eq!(r.may_stop(24 * SECOND, 0.0), f64::INFINITY);
        assert_eq!(r.phase(24 * SECOND), Phase::Over);
    }

    #[test]
    fn what_stays_silent_holds_nothing_up_for_ever_and_an_empty_roll_not_at_all() {
        let mut r = Recovery::new(SECOND, 300, 4 * SECOND);
        r.look(10 * SECOND, 100, 0);
        assert!(!r.knows_the_fleet(10 * SECOND), "a third has spoken");
        r.look(12 * SECOND, 100, 0);
        assert!(r.knows_the_fleet(12 * SECOND), "the rest had its time");
        assert_eq!(Recovery::new(0, 0, SECOND).phase(0), Phase::Over);
    }

    #[test]
    fn the_most_orders_of_a_second_are_kept() {
        let mut r = Recovery::new(0, 10, SECOND);
        for (at, orders) in [
            (0, 0),
            (250, 5),
            (500, 40),
            (750, 42),
            (1_750, 44),
            (2_000, 60),
        ] {
            r.look(at * MILLI, 0, orders);
        }
        assert_eq!(r.most_orders(), 42);
    }
}
