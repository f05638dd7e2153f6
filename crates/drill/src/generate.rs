//! Scenarios drawn from a seed. Their faults favour the critical moments: right after a failover, in the middle of
//! a write, while another fault lasts.

use crate::scenario::{
    Fault, FaultKind, FaultTarget, LogNormalParams, PartitionMode, PartitionedFrom, Pool, Scenario,
    ScenarioError, Team,
};
use dewramp::fault_injection::InjectedFault;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of cases in `combinable_fault`. Scenarios with an injected bug draw from the first of them only.
const COMBINABLE_FAULTS: u32 = 20;
const COMBINABLE_FAULTS_FOR_INJECTED_FAULTS: u32 = 11;
/// One in this many scenarios has late copies of executed requests.
const REQUEST_COPIES_ONE_IN: u32 = 3;
/// One in this many scenarios has pipelines whose first jobs are cancelled right before an outage.
const CANCELLED_PIPELINES_ONE_IN: u32 = 3;
/// The least time between an outage of the state service and one that follows a cancellation of pipelines.
const OUTAGE_PAUSE_S: f64 = 30.0;
/// The class whose jobs begin pipelines, by its index in the example scenario.
const PIPELINE_CLASS: usize = 1;
/// Run times of their tasks: the first jobs still run when they are cancelled.
const PIPELINE_RUN_S: LogNormalParams = LogNormalParams {
    median: 40.0,
    p95: 60.0,
    max: 80.0,
};

/// Draws the faults of a scenario.
struct FaultGenerator {
    rng: SmallRng,
    /// How many of the cases in `combinable_fault` are drawn from.
    combinable_faults: u32,
    zones: Vec<String>,
    classes: Vec<String>,
    /// The worker lease and the restart time of a controller, in seconds.
    lease: f64,
    restart: f64,
}

impl FaultGenerator {
    /// Draws a number from the range, rounded to 0.01.
    fn draw_between(&mut self, low: f64, high: f64) -> f64 {
        (self.rng.random_range(low..high) * 100.0).round() / 100.0
    }

    fn draw_zone(&mut self) -> String {
        self.zones[self.rng.random_range(0..self.zones.len())].clone()
    }

    fn draw_mode(&mut self) -> PartitionMode {
        [
            PartitionMode::Hold,
            PartitionMode::Hold,
            PartitionMode::Lose,
            PartitionMode::Reset,
        ][self.rng.random_range(0..4)]
    }

    fn draw_count(&mut self, low: usize, high: usize) -> Option<usize> {
        Some(self.rng.random_range(low..=high))
    }

    /// The given fault, and further crashes of the controllers that it hits, each soon after they are back.
    fn repeated_ends(&mut self, first: Fault) -> Vec<Fault> {
        let mut at = first.at_s;
        let mut faults = vec![first];
        for _ in 0..self.rng.random_range(1..=6) {
            // The wait is short or long by powers of two: the crash comes while the controller starts, loads its state,
            // becomes leader, or serves.
            at += self.restart * 1.2
                + self.draw_between(0.01, 0.08) * f64::from(1 << self.rng.random_range(0..6));
            let kind = [
                FaultKind::NodeCrash,
                FaultKind::NodeCrash,
                FaultKind::NodeEndsAsking,
            ];
            let kind = kind[self.rng.random_range(0..3)];
            faults.push(
                Fault::new((at * 1000.0).round() / 1000.0, kind).with_target(FaultTarget::Again),
            );
        }
        faults
    }

    /// One of the faults that broke rules when two of them came together.
    fn combinable_fault(&mut self, t: f64, cancel_s: f64) -> Vec<Fault> {
        use FaultKind::*;
        let lease = self.lease;
        let crash = |t| Fault::new(t, NodeCrash).with_target(FaultTarget::Leader);
        match self.rng.random_range(0..self.combinable_faults) {
            // The state service refuses the leader alone, then has an outage for all.
            0 | 1 => {
                let outage_delay = self.draw_between(0.2, 3.0);
                let durations = [
                    self.draw_between(2.0, 16.0),
                    self.draw_between(1.0, 1.3) * cancel_s,
                ];
                let outage = Fault::new(t + outage_delay, StateOutage)
                    .with_duration(durations[self.rng.random_range(0..2)]);
                let refuses = Fault::new(t, StateRefuses)
                    .with_target(FaultTarget::Leader)
                    .with_duration(self.draw_between(3.0, 16.0));
                vec![refuses, outage]
            }
            // The leader's watches hang: it learns of no change, or late.
            2 | 3 => {
                let hang = Fault::new(t, WatchesHang)
                    .with_target(FaultTarget::Leader)
                    .with_duration(self.draw_between(0.3, 2.0) * cancel_s);
                let mut machine_cut = Fault::new(t + self.draw_between(0.0, 5.0), MachineCut)
                    .with_duration(self.draw_between(0.5, 1.5) * lease);
                (machine_cut.count, machine_cut.mode) =
                    (self.draw_count(2, 8), Some(self.draw_mode()));
                vec![hang, machine_cut]
            }
            // The leader reaches neither state service nor peers; workers and users still reach it.
            4 => {
                let lasts = self.draw_between(0.3, 2.5) * lease;
                let cut = |from| {
                    let mut cut = Fault::new(t, NodeCut)
                        .with_target(FaultTarget::Leader)
                        .with_duration(lasts);
                    (cut.from, cut.mode) = (Some(from), Some(PartitionMode::Reset));
                    cut
                };
                vec![cut(PartitionedFrom::State), cut(PartitionedFrom::Peers)]
            }
            5 => {
                let mut inbound_partition =
                    Fault::new(t, MachineDeaf).with_duration(self.draw_between(0.2, 2.0) * lease);
                inbound_partition.count = self.draw_count(2, 10);
                vec![inbound_partition, crash(t + self.draw_between(0.0, 5.0))]
            }
            6 => {
                let mut duplicates =
                    Fault::new(t, LateReports).with_duration(self.draw_between(0.5, 2.0) * lease);
                duplicates.share = Some(self.draw_between(0.2, 0.8));
                vec![duplicates, crash(t + self.draw_between(0.0, 2.0) * lease)]
            }
            7 => {
                let mut lost_answers =
                    Fault::new(t, StateLoses).with_duration(self.draw_between(5.0, 15.0));
                (lost_answers.share, lost_answers.late_s) = (
                    Some(self.draw_between(0.1, 0.5)),
                    Some(self.draw_between(2.0, 12.0)),
                );
                vec![lost_answers]
            }
            8 => {
                let mut held = Fault::new(t, NodeCut)
                    .with_target(FaultTarget::Leader)
                    .with_duration(self.draw_between(2.0, 1.5 * lease));
                (held.from, held.mode) =
                    (Some(PartitionedFrom::Workers), Some(PartitionMode::Hold));
                let whom = [FaultTarget::Leader, FaultTarget::All][self.rng.random_range(0..2)];
                let end = Fault::new(t + self.draw_between(0.1, 3.0), NodeCrash).with_target(whom);
                let mut all = vec![held];
                all.extend(self.repeated_ends(end));
                all
            }
            9 => {
                let mut slow = Fault::new(t, StateSlow).with_duration(self.draw_between(5.0, 20.0));
                slow.factor = Some(self.draw_between(20.0, 80.0));
                let mut hang =
                    Fault::new(t, MachineHang).with_duration(self.draw_between(0.2, 1.2) * lease);
                hang.count = self.draw_count(2, 8);
                vec![slow, hang]
            }
            10 => {
                let mut freeze = Fault::new(t, NodeFreeze)
                    .with_target(FaultTarget::Leader)
                    .with_duration(self.draw_between(1.0, 1.5 * lease));
                freeze.inside = self.rng.random();
                vec![freeze]
            }
            11 => {
                let mut outbound_partition =
                    Fault::new(t, MachineMute).with_duration(self.draw_between(0.3, 2.0) * lease);
                outbound_partition.count = self.draw_count(2, 10);
                vec![outbound_partition, crash(t + self.draw_between(0.0, 8.0))]
            }
            12 => {
                let mut cancel = Fault::new(t, CancelNow);
                cancel.count = self.draw_count(3, 12);
                cancel.hang_s = Some(self.draw_between(2.0, 1.3 * cancel_s));
                vec![cancel, crash(t + self.draw_between(0.0, 1.0) * lease)]
            }
            13 => {
                let mut ends =
                    Fault::new(t, CancelAtEnd).with_duration(self.draw_between(10.0, 40.0));
                ends.share = Some(self.draw_between(0.2, 0.8));
                vec![ends]
            }
            14 | 15 => {
                let lasts = self.draw_between(0.5, 2.0) * lease;
                let mut duplicates = Fault::new(t, LateReports).with_duration(lasts);
                (duplicates.share, duplicates.for_next) = (Some(self.draw_between(0.2, 0.8)), true);
                let mut cut = Fault::new(t + lasts - 0.5, MachineCut)
                    .with_duration(self.draw_between(0.3, 1.2) * lease);
                (cut.count, cut.mode) = (self.draw_count(2, 8), Some(PartitionMode::Lose));
                vec![duplicates, cut, crash(t + lasts)]
            }
            16 => {
                let polls = Fault::new(t, CloseLooks).with_duration(self.draw_between(15.0, 40.0));
                vec![polls, crash(t + self.draw_between(2.0, 12.0))]
            }
            17 => vec![Fault::new(t, OddRequests).with_duration(self.draw_between(15.0, 60.0))],
            18 => {
                let early = Fault::new(t, BootsEarly).with_duration(self.draw_between(20.0, 40.0));
                let mut die = Fault::new(t, MachineDie);
                die.count = self.draw_count(2, 6);
                let mut slow =
                    Fault::new(t + 1.0, StateSlow).with_duration(self.draw_between(5.0, 20.0));
                slow.factor = Some(self.draw_between(20.0, 80.0));
                vec![early, die, slow, crash(t + self.draw_between(2.0, 12.0))]
            }
            _ => {
                let mut lost_answers =
                    Fault::new(t, StateLoses).with_duration(self.draw_between(5.0, 20.0));
                (lost_answers.share, lost_answers.at_once) =
                    (Some(self.draw_between(0.1, 0.5)), true);
                vec![lost_answers, crash(t + self.draw_between(0.0, 10.0))]
            }
        }
    }

    /// A group of faults that act together, at about the given time.
    fn related_faults(&mut self, t: f64) -> Vec<Fault> {
        use FaultKind::*;
        let crash = |t| Fault::new(t, NodeCrash).with_target(FaultTarget::Leader);
        let near = self.draw_between(0.0, 3.0);
        let lease = self.lease;
        match self.rng.random_range(0..28) {
            // A controller crashes again and again, while answers to its previous incarnation are on their way.
            23 => {
                let whom = [
                    FaultTarget::Leader,
                    FaultTarget::Leader,
                    FaultTarget::Standby,
                    FaultTarget::All,
                ];
                let whom = whom[self.rng.random_range(0..4)];
                self.repeated_ends(Fault::new(t, NodeCrash).with_target(whom))
            }
            24 => {
                let mut slow = Fault::new(t, StateSlow).with_duration(self.draw_between(3.0, 10.0));
                slow.factor = Some(self.draw_between(10.0, 60.0));
                let whom = [FaultTarget::Leader, FaultTarget::All][self.rng.random_range(0..2)];
                let mut all = vec![slow];
                all.extend(self.repeated_ends(Fault::new(t + near, NodeCrash).with_target(whom)));
                all
            }
            // The leader's messages are held, and it crashes before they arrive.
            25 => {
                let mut cut = Fault::new(t, NodeCut)
                    .with_target(FaultTarget::Leader)
                    .with_duration(self.draw_between(2.0, 1.5 * lease));
                cut.from = Some(
                    [
                        PartitionedFrom::Workers,
                        PartitionedFrom::State,
                        PartitionedFrom::Peers,
                    ][self.rng.random_range(0..3)],
                );
                cut.mode = Some(PartitionMode::Hold);
                let mut all = vec![cut];
                let end = Fault::new(t + self.draw_between(0.2, 4.0), NodeCrash)
                    .with_target(FaultTarget::Again);
                all.extend(self.repeated_ends(end));
                all
            }
            26 => {
                let mut lost_answers =
                    Fault::new(t, StateLoses).with_duration(self.draw_between(3.0, 10.0));
                lost_answers.share = Some(self.draw_between(0.1, 0.4));
                lost_answers.late_s = Some(self.draw_between(0.2, 8.0));
                let end = Fault::new(t + near, NodeEndsAsking).with_target(FaultTarget::Leader);
                let mut all = vec![lost_answers];
                all.extend(self.repeated_ends(end));
                all
            }
            27 => {
                let mut all =
                    self.repeated_ends(Fault::new(t, NodeEndsAsking).with_target(FaultTarget::All));
                let mut die = Fault::new(t + near, MachineDie);
                die.count = self.draw_count(1, 6);
                all.push(die);
                all
            }
            0 if self.rng.random() => {
                vec![Fault::new(t, NodeLeaves).with_target(FaultTarget::Leader)]
            }
            0 => vec![crash(t)],
            // Machines are unreachable during a failover.
            1 | 2 => {
                let mut cut =
                    Fault::new(t, MachineCut).with_duration(self.draw_between(3.0, 1.6 * lease));
                cut.count = self.draw_count(2, 8);
                cut.mode = Some(self.draw_mode());
                vec![cut, crash(t + near)]
            }
            3 => {
                let mut cut =
                    Fault::new(t, ZoneCut).with_duration(self.draw_between(5.0, 2.0 * lease));
                cut.zone = Some(self.draw_zone());
                cut.mode = Some(self.draw_mode());
                vec![cut, crash(t + near)]
            }
            // A standby misses changes, or the leader's messages, before it takes over.
            22 => {
                let mut cut = Fault::new(t, NodeCut)
                    .with_target(FaultTarget::Standby)
                    .with_duration(self.draw_between(2.0, 15.0));
                cut.from = Some(
                    [PartitionedFrom::State, PartitionedFrom::Peers][self.rng.random_range(0..2)],
                );
                cut.count = self.draw_count(1, 2);
                cut.mode = Some(self.draw_mode());
                vec![cut, crash(t + self.draw_between(0.0, 16.0))]
            }
            // The leader's zone is partitioned from the rest, for longer than its workers' leases.
            20 | 21 => {
                let mut cut = Fault::new(t, ZoneCut)
                    .with_target(FaultTarget::Leader)
                    .with_duration(self.draw_between(lease, 3.0 * lease));
                cut.mode = Some(self.draw_mode());
                vec![cut]
            }
            // The leader reaches no worker; its commands are held and arrive late.
            4 | 5 => {
                let mut cut = Fault::new(t, NodeCut)
                    .with_target(FaultTarget::Leader)
                    .with_duration(self.draw_between(3.0, 2.0 * lease));
                cut.from = Some(PartitionedFrom::Workers);
                cut.mode = Some(PartitionMode::Hold);
                let mut lost =
                    Fault::new(t, AnswersLost).with_duration(self.draw_between(2.0, 10.0));
                lost.share = Some(0.5);
                vec![cut, lost]
            }
            // The leader is cut off from the state service, while some zones or all workers still reach it.
            6 | 7 => {
                let mut cut = Fault::new(t, NodeCut)
                    .with_target(FaultTarget::Leader)
                    .with_duration(self.draw_between(4.0, 3.0 * lease));
                cut.from = Some(PartitionedFrom::State);
                cut.mode = Some(self.draw_mode());
                let mut apart =
                    Fault::new(t, ZonesApart).with_duration(self.draw_between(5.0, 3.0 * lease));
                (apart.zone, apart.other_zone) = (Some(self.draw_zone()), Some(self.draw_zone()));
                let mut gone = Fault::new(t, NodeCut)
                    .with_target(FaultTarget::Leader)
                    .with_duration(self.draw_between(4.0, 3.0 * lease));
                gone.from = Some(PartitionedFrom::Peers);
                vec![cut, if self.rng.random() { apart } else { gone }]
            }
            // The leader process is paused, possibly between reading its clock and sending.
            8 | 9 => {
                let mut freeze = Fault::new(t, NodeFreeze)
                    .with_target(FaultTarget::Leader)
                    .with_duration(self.draw_between(2.0, 1.5 * lease));
                freeze.inside = self.rng.random();
                vec![freeze]
            }
            // The leader crashes in the middle of a write.
            10 => {
                let mut slow = Fault::new(t, StateSlow).with_duration(self.draw_between(5.0, 15.0));
                slow.factor = Some(self.draw_between(20.0, 80.0));
                let mut cut =
                    Fault::new(t + near, MachineCut).with_duration(self.draw_between(3.0, lease));
                cut.count = self.draw_count(4, 12);
                vec![slow, cut, crash(t + near + 0.1)]
            }
            11 => {
                let mut lost_answers =
                    Fault::new(t, StateLoses).with_duration(self.draw_between(3.0, 12.0));
                lost_answers.share = Some(self.draw_between(0.1, 0.5));
                lost_answers.late_s = Some(self.draw_between(1.0, 15.0));
                vec![lost_answers, crash(t + near)]
            }
            // A failover during a failover.
            12 => {
                let mut hang =
                    Fault::new(t, MachineHang).with_duration(self.draw_between(2.0, 1.2 * lease));
                hang.count = self.draw_count(2, 8);
                let second = t + near + self.draw_between(2.5, 4.5);
                vec![hang, crash(t + near), crash(second)]
            }
            13 => {
                let outage = Fault::new(t, StateOutage).with_duration(self.draw_between(3.0, 14.0));
                vec![
                    outage,
                    Fault::new(t + near, NodeCrash).with_target(FaultTarget::All),
                ]
            }
            14 => {
                let refuse = Fault::new(t, PeersRefuse).with_duration(self.draw_between(3.0, 20.0));
                let state_refuses = Fault::new(t, StateRefuses)
                    .with_target(
                        [FaultTarget::Standby, FaultTarget::Leader][self.rng.random_range(0..2)],
                    )
                    .with_duration(self.draw_between(3.0, 20.0));
                vec![refuse, state_refuses]
            }
            15 => {
                let kind = [CloudLate, CloudOutage, CloudFull][self.rng.random_range(0..3)];
                let mut die = Fault::new(t, MachineDie);
                die.count = self.draw_count(1, 4);
                let lasts = self.draw_between(5.0, 30.0);
                vec![
                    Fault::new(t, kind).with_duration(lasts),
                    die,
                    crash(t + near),
                ]
            }
            16 => {
                let mut roll = Fault::new(t, NodeRoll);
                roll.every_s = Some(self.draw_between(3.0, 12.0));
                let mut burst = Fault::new(t, JobBurst).with_duration(self.draw_between(5.0, 20.0));
                burst.class =
                    Some(self.classes[self.rng.random_range(0..self.classes.len())].clone());
                burst.factor = Some(self.draw_between(2.0, 4.0));
                vec![roll, burst]
            }
            17 => {
                let mut sick =
                    Fault::new(t, MachineSick).with_duration(self.draw_between(5.0, 20.0));
                sick.count = self.draw_count(1, 2);
                let mut slow =
                    Fault::new(t, MachineSlow).with_duration(self.draw_between(5.0, 20.0));
                (slow.count, slow.factor) = (self.draw_count(1, 4), Some(2.0));
                let mut taken = Fault::new(t + near, SpotTaken);
                (taken.share, taken.notice_s) =
                    (Some(0.5), Some([0.0, 20.0][self.rng.random_range(0..2)]));
                vec![sick, slow, taken]
            }
            18 => {
                let freeze = Fault::new(t, NodeFreeze)
                    .with_target(FaultTarget::Standby)
                    .with_duration(self.draw_between(2.0, 20.0));
                vec![freeze, Fault::new(t + near, StateForgets), crash(t + near)]
            }
            _ => {
                let mut storm =
                    Fault::new(t, PollStorm).with_duration(self.draw_between(5.0, 20.0));
                storm.factor = Some(self.draw_between(2.0, 6.0));
                let mut slow = Fault::new(t, BootsSlow).with_duration(self.draw_between(5.0, 30.0));
                slow.factor = Some(4.0);
                vec![storm, slow, crash(t + near)]
            }
        }
    }
}

/// Adds late copies of executed requests to one in three scenarios, within the time of their other faults. They come
/// from a generator of their own, so that the other faults of a seed do not depend on them.
fn add_request_copies(scenario: &mut Scenario, last_s: f64) {
    let mut rng = SmallRng::seed_from_u64(scenario.seed ^ 0x636f_7069_6573);
    if rng.random_range(0..REQUEST_COPIES_ONE_IN) != 0 {
        return;
    }
    let at_s = hundredths(rng.random_range(10.0..30.0));
    let mut copies = Fault::new(at_s, FaultKind::RequestCopies)
        .with_duration(hundredths((last_s - at_s).max(20.0)));
    copies.share = Some(hundredths(rng.random_range(0.05..0.4)));
    scenario.faults.push(copies);
}

/// Adds pipelines to some scenarios, and the cancellation of their first jobs while the state service refuses the leader
/// alone; soon after it is down for longer than `cancel_s`. Returns when the last fault is over. The draws come from a
/// generator of their own, so that the other faults of a seed do not depend on them.
fn add_cancelled_pipelines(scenario: &mut Scenario, last_s: f64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(scenario.seed ^ 0x7069_7065_6c69);
    if rng.random_range(0..CANCELLED_PIPELINES_ONE_IN) != 0 {
        return last_s;
    }
    let cancel_s = scenario.fleet.cancel_s;
    // The budgets of the smaller sites: the leader needs some seconds to store the ends of all later jobs.
    (scenario.state.rps, scenario.state.write_rps) = (80.0, 25.0);
    let class = &mut scenario.classes[PIPELINE_CLASS];
    class.followers = rng.random_range(4..=8);
    class.run_s = PIPELINE_RUN_S;
    // The later jobs of a pipeline are as much work as the first one, and all run longer than this class does otherwise.
    class.rate /= 2.5 * class.followers as f64;
    class.initial = 10;
    class.tasks.max = class.tasks.max.min(5.0);
    // The jobs of a pipeline run one after another, at three levels.
    scenario.settle_s = scenario.settle_s.max(3.0 * PIPELINE_RUN_S.max);
    // Users give up on a submission after a minute: one outage does not follow right after another.
    let is_outage = |fault: &&Fault| fault.kind == FaultKind::StateOutage;
    let outages = scenario.faults.iter().filter(is_outage);
    let outage_ends_s = outages.map(|fault| fault.at_s + fault.for_s.unwrap_or(0.0));
    let earliest_s = outage_ends_s.fold(25.0, |latest, end_s| {
        f64::max(latest, end_s + OUTAGE_PAUSE_S)
    });
    let at_s = hundredths(rng.random_range(25.0..last_s.max(30.0)).max(earliest_s));
    let refused = Fault::new(at_s, FaultKind::StateRefuses)
        .with_target(FaultTarget::Leader)
        .with_duration(hundredths(rng.random_range(1.0..6.0)));
    let cancelled_s = hundredths(at_s + rng.random_range(0.0..0.5));
    let mut cancelled = Fault::new(cancelled_s, FaultKind::CancelNow);
    (cancelled.count, cancelled.with_followers) = (Some(rng.random_range(4..=12)), true);
    let outage_s = hundredths(cancelled_s + rng.random_range(0.5..1.5));
    let outage = Fault::new(outage_s, FaultKind::StateOutage)
        .with_duration(hundredths(rng.random_range(1.0..1.2) * cancel_s));
    let outage_end_s = outage_s + outage.for_s.unwrap_or(0.0);
    scenario.faults.extend([refused, cancelled, outage]);
    last_s.max(outage_end_s)
}

/// Rounds to 0.01.
fn hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Draws the scenario of a seed.
pub fn draw(seed: u64) -> Result<Scenario, ScenarioError> {
    draw_with(seed, add_cancelled_pipelines)
}

/// Adds faults to a scenario whose other faults end at the given time, and returns when the last one ends.
type FaultsAdded = fn(&mut Scenario, f64) -> f64;

fn draw_with(seed: u64, add_faults: FaultsAdded) -> Result<Scenario, ScenarioError> {
    let mut scenario = Scenario::example()?;
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x6472_696c_6c00);
    scenario.name = "drawn".to_owned();
    scenario.seed = seed;
    scenario.fleet.controllers = if rng.random_range(0..10) < 7 { 3 } else { 7 };
    scenario.fleet.lease_s = f64::from(rng.random_range(12..20));
    scenario.fleet.cancel_s = scenario.fleet.lease_s + 20.0;
    scenario.fleet.report_s = f64::from(rng.random_range(2..5));
    scenario.fleet.taken_per_hour = [0.0, 2.0][rng.random_range(0..2)];
    if rng.random_range(0..4) == 0 {
        scenario.state.write_rps = 25.0;
        scenario.state.rps = 80.0;
    }
    // A process that ended is back after a fraction of a second, or after some seconds: in half of the scenarios
    // after less than 0.4 s.
    let restart = 0.03 * (5.0f64 / 0.03).powf(rng.random());
    scenario.fleet.restart_s = (restart * 1000.0).round() / 1000.0;
    // Up to 1.5 times as many machines as the budgets of the state service are made for.
    let size = rng.random_range(1.0..1.5);
    // Pools of random sizes in all zones, and teams whose quotas are reached.
    let zones = scenario.fleet.zones.clone();
    scenario.pools.clear();
    for zone in &zones {
        for (kind, most) in [("small", 10), ("large", 4)] {
            let most = (f64::from(rng.random_range(2..=most)) * size).round() as usize;
            let spot = rng.random_range(0..4) == 0;
            scenario.pools.push(Pool {
                r#type: kind.to_owned(),
                zone: zone.clone(),
                spot,
                up: (most * 2 / 3).max(1),
                most,
            });
        }
    }
    let cores = |p: &Pool| {
        let machine_type = scenario.types.iter().find(|t| t.name == p.r#type);
        machine_type.map_or(0.0, |t| t.cores) * p.up as f64
    };
    let cores_up: f64 = scenario.pools.iter().map(cores).sum();
    let teams = rng.random_range(2..=5);
    // A team's share of the work is well within its quota; a burst is not.
    let least = 1.3 / f64::from(teams);
    let limit = |rng: &mut SmallRng| (cores_up * rng.random_range(least..0.9)).round().max(8.0);
    let team = |n: i32, rng: &mut SmallRng| Team {
        name: format!("team-{n}"),
        weight: 1.0,
        cpus: (cores_up / f64::from(teams) / 2.0).round(),
        cpus_max: limit(rng),
    };
    scenario.teams = (0..teams).map(|n| team(n, &mut rng)).collect();
    // The example's work needs about 130 cores.
    for c in &mut scenario.classes {
        c.rate *= cores_up / 130.0 * rng.random_range(0.6..1.3);
        c.tasks.max = c.tasks.max.min(30.0);
        c.mistaken = [0.0, 0.02][rng.random_range(0..2)];
    }
    let mut draw = FaultGenerator {
        zones,
        classes: scenario.classes.iter().map(|c| c.name.clone()).collect(),
        lease: scenario.fleet.lease_s,
        restart: scenario.fleet.restart_s,
        combinable_faults: COMBINABLE_FAULTS,
        rng,
    };
    let groups = draw.rng.random_range(2..=4);
    scenario.settle_s = 60.0;
    scenario.faults.clear();
    let mut t = draw.draw_between(20.0, 40.0);
    for _ in 0..groups {
        scenario.faults.extend(draw.related_faults(t));
        t += draw.draw_between(12.0, 45.0);
    }
    let end_s = |f: &Fault| f.at_s + f.for_s.unwrap_or(0.0) + f.every_s.unwrap_or(0.0) * 7.0;
    let last = scenario.faults.iter().map(end_s).fold(t, f64::max);
    let last = add_faults(&mut scenario, last);
    add_request_copies(&mut scenario, last);
    // No fault lasts in the last part of the run.
    scenario.duration_s = (last + 3.0 * scenario.fleet.lease_s + scenario.settle_s).round();
    scenario.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    Ok(scenario)
}

/// Draws the scenario of a seed with combined faults: two at a time, of those that broke rules when they came
/// together, while users cancel much of their work.
pub fn draw_fault_combinations(seed: u64) -> Result<Scenario, ScenarioError> {
    draw_combinations_of(seed, COMBINABLE_FAULTS, add_cancelled_pipelines)
}

fn draw_combinations_of(
    seed: u64,
    combinable_faults: u32,
    add_faults: FaultsAdded,
) -> Result<Scenario, ScenarioError> {
    let mut scenario = draw_with(seed, no_further_faults)?;
    scenario.name = "meetings".to_owned();
    for c in &mut scenario.classes {
        c.cancelled = 0.4;
    }
    // In half of the scenarios the tasks of the first class run far longer than `cancel_s`: only a stop command or
    // the expiry of a lease ends them in time.
    if seed % 2 == 0 {
        let cancel_s = scenario.fleet.cancel_s;
        let first = &mut scenario.classes[0];
        (first.cancelled, first.rate) = (0.8, first.rate / 4.0);
        first.run_s = LogNormalParams {
            median: 2.4 * cancel_s,
            p95: 3.0 * cancel_s,
            max: 3.4 * cancel_s,
        };
    }
    let mut draw = FaultGenerator {
        zones: scenario.fleet.zones.clone(),
        classes: scenario.classes.iter().map(|c| c.name.clone()).collect(),
        lease: scenario.fleet.lease_s,
        restart: scenario.fleet.restart_s,
        combinable_faults,
        rng: SmallRng::seed_from_u64(seed ^ 0x6d65_6574),
    };
    scenario.faults.clear();
    let mut t = draw.draw_between(25.0, 40.0);
    for _ in 0..draw.rng.random_range(1..=2) {
        let first = draw.combinable_fault(t, scenario.fleet.cancel_s);
        scenario.faults.extend(first);
        let near = t + draw.draw_between(0.0, 4.0);
        let second = draw.combinable_fault(near, scenario.fleet.cancel_s);
        scenario.faults.extend(second);
        t += draw.draw_between(1.0, 2.0) * scenario.fleet.cancel_s;
    }
    let end_s = |f: &Fault| f.at_s + f.for_s.unwrap_or(0.0) + f.every_s.unwrap_or(0.0) * 7.0;
    let last = scenario.faults.iter().map(end_s).fold(t, f64::max);
    let last = add_faults(&mut scenario, last);
    add_request_copies(&mut scenario, last);
    // No fault lasts in the last part of the run, and all duplicate heartbeats have arrived.
    let longest = scenario
        .classes
        .iter()
        .map(|c| c.run_s.max)
        .fold(0.0, f64::max);
    scenario.settle_s = scenario.settle_s.max(1.5 * longest);
    // The run is long enough for the limit within which the largest jobs have to start.
    scenario.duration_s = (last + 4.0 * scenario.fleet.lease_s + scenario.settle_s)
        .round()
        .max(420.0);
    scenario.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    Ok(scenario)
}

/// Adds nothing: the scenarios of most injected bugs have neither pipelines nor their cancellation.
fn no_further_faults(_: &mut Scenario, last_s: f64) -> f64 {
    last_s
}

/// Draws the scenario of a seed with a bug injected, and with the faults under which that bug shows.
pub fn draw_with_injected_fault(seed: u64, bug: &str) -> Result<Scenario, ScenarioError> {
    let mut scenario = draw_with(seed, no_further_faults)?;
    scenario.planted = Some(bug.to_owned());
    if scenario.injected_fault() == Some(InjectedFault::DependentsCancelledByLeaderOnly) {
        scenario = draw(seed)?;
        scenario.planted = Some(bug.to_owned());
        return Ok(scenario);
    }
    if scenario.injected_fault() == Some(InjectedFault::AcknowledgedStartsNotFenced) {
        return Ok(scenario);
    }
    if matches!(
        scenario.injected_fault(),
        Some(
            InjectedFault::CancellationsNeverStale
                | InjectedFault::CatchUpSkippedAfterRegain
                | InjectedFault::ReachabilityAssumed
                | InjectedFault::DuplicateHeartbeatAccepted
                | InjectedFault::AbsentKeyAssumedUnwritten
                | InjectedFault::PlacementMatchedBeforeConfirmation
        )
    ) {
        scenario = draw_combinations_of(
            seed,
            COMBINABLE_FAULTS_FOR_INJECTED_FAULTS,
            no_further_faults,
        )?;
        scenario.planted = Some(bug.to_owned());
    }
    if scenario.injected_fault() == Some(InjectedFault::CatchUpSkippedAfterRegain) {
        // The watch hangs, and before that is noticed, a short outage comes that all leases survive.
        scenario = draw_combinations_of(
            seed & !1,
            COMBINABLE_FAULTS_FOR_INJECTED_FAULTS,
            no_further_faults,
        )?;
        (scenario.seed, scenario.planted) = (seed, Some(bug.to_owned()));
        scenario.faults.clear();
        for n in 0..2 {
            let at = 30.0 + f64::from(n) * 3.0 * scenario.fleet.cancel_s;
            let hang = Fault::new(at - 4.0, FaultKind::WatchesHang)
                .with_target(FaultTarget::Leader)
                .with_duration(2.5 * scenario.fleet.cancel_s);
            scenario.faults.push(hang);
            scenario
                .faults
                .push(Fault::new(at, FaultKind::StateOutage).with_duration(4.0));
            // Cancellations of that time reach the leader by no hint, and their tasks run on for long.
            let mut cancelled = Fault::new(at - 1.0, FaultKind::CancelNow);
            cancelled.count = Some(8);
            scenario.faults.extend([
                Fault::new(at - 3.0, FaultKind::PeersRefuse).with_duration(6.0),
                cancelled,
            ]);
        }
    }
    if scenario.injected_fault() == Some(InjectedFault::PlacementMatchedBeforeConfirmation) {
        // Many tasks are stopped and started again on the same machines; then duplicates of old heartbeats reach
        // the new leader before current ones.
        for c in &mut scenario.classes {
            (c.cancelled, c.pinned) = (0.1, 0.5);
        }
        scenario.faults.clear();
        for n in 0..3 {
            let at = 25.0 + 45.0 * f64::from(n);
            let mut duplicates = Fault::new(at - 10.0, FaultKind::LateReports).with_duration(20.0);
            (duplicates.share, duplicates.for_next) = (Some(0.9), true);
            let mut cut = Fault::new(at + 9.5, FaultKind::MachineCut)
                .with_duration(0.8 * scenario.fleet.lease_s);
            (cut.count, cut.mode) = (Some(8), Some(PartitionMode::Lose));
            let crash =
                Fault::new(at + 10.0, FaultKind::NodeCrash).with_target(FaultTarget::Leader);
            scenario.faults.extend([duplicates, cut, crash]);
        }
    }
    if scenario.injected_fault() == Some(InjectedFault::AbsentKeyAssumedUnwritten) {
        // The write arrives late enough for the repeated submission to be accepted and done before.
        let mut lost_answers = Fault::new(20.0, FaultKind::StateLoses).with_duration(40.0);
        (lost_answers.share, lost_answers.late_s) = (Some(0.4), Some(40.0));
        scenario.faults.insert(0, lost_answers);
    }
    if scenario.injected_fault() == Some(InjectedFault::ReplicaChecksumIgnored) {
        // Long enough before the failover for the leader's checksum to show the difference, if it were compared.
        let mut spoiled =
            Fault::new(16.0, FaultKind::MirrorSpoiled).with_target(FaultTarget::Standby);
        spoiled.count = Some(2);
        scenario.faults.insert(0, spoiled);
        let crash = Fault::new(28.0, FaultKind::NodeCrash).with_target(FaultTarget::Leader);
        scenario.faults.insert(1, crash);
    }
    if scenario.injected_fault() == Some(InjectedFault::PreviousTermReused) {
        // No other controller can become leader meanwhile.
        scenario.fleet.restart_s = 0.05;
        for at in [24.0, 48.0, 72.0] {
            let mut cut = Fault::new(at, FaultKind::NodeCut)
                .with_target(FaultTarget::Standby)
                .with_duration(6.0);
            (cut.from, cut.mode) = (Some(PartitionedFrom::State), Some(PartitionMode::Lose));
            cut.count = Some(scenario.fleet.controllers - 1);
            let crash = Fault::new(at + 1.0, FaultKind::NodeCrash).with_target(FaultTarget::Leader);
            scenario.faults.extend([cut, crash]);
        }
        scenario.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    }
    if scenario.injected_fault() == Some(InjectedFault::TicketsReused) {
        // Each incarnation of a process starts with the same calls, whose answers are alike. To see an answer taken for
        // that to another call, users have to send requests while answers to several incarnations are on their way.
        scenario.fleet.restart_s = 0.03;
        let mut storm = Fault::new(18.0, FaultKind::JobBurst).with_duration(60.0);
        (storm.class, storm.factor) = (Some(scenario.classes[0].name.clone()), Some(6.0));
        let mut more = vec![storm];
        for n in 0..16 {
            let at = 20.0 + 3.5 * f64::from(n);
            let mut cut = Fault::new(at, FaultKind::NodeCut)
                .with_target(FaultTarget::Any)
                .with_duration(1.3);
            (cut.from, cut.mode) = (Some(PartitionedFrom::State), Some(PartitionMode::Hold));
            more.push(cut);
            let again =
                |t| Fault::new(at + t, FaultKind::NodeCrash).with_target(FaultTarget::Again);
            more.extend([0.25, 0.6, 1.0].map(again));
        }
        scenario.faults.extend(more);
        scenario.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    }
    // The other bugs are found without copies.
    scenario
        .faults
        .retain(|fault| fault.kind != FaultKind::RequestCopies);
    Ok(scenario)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drawn_scenario_is_read_back_as_it_was_written() {
        for seed in 0..50 {
            let scenario = draw(seed).expect("a scenario is drawn");
            let read = Scenario::parse(&scenario.to_toml()).expect("and read");
            assert_eq!(read, scenario);
        }
    }
}
