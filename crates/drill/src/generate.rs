//! Days drawn from a seed, weighted towards the moments that matter: right after a takeover, in the
//! middle of a write, while another failure lasts.

use crate::day::{Day, DayError, Failure, Kind, Mode, Pool, Side, Spread, Team, Whom};
use dewramp::fault_injection::InjectedFault;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Kinds of troubles that meet; the first of them take the bugs that are planted for meetings.
const TROUBLES: u32 = 20;
const FIRST_TROUBLES: u32 = 11;

struct Draw {
    rng: SmallRng,
    troubles: u32,
    zones: Vec<String>,
    classes: Vec<String>,
    lease: f64,
    restart: f64,
}

impl Draw {
    fn span(&mut self, low: f64, high: f64) -> f64 {
        (self.rng.random_range(low..high) * 100.0).round() / 100.0
    }

    fn zone(&mut self) -> String {
        self.zones[self.rng.random_range(0..self.zones.len())].clone()
    }

    fn mode(&mut self) -> Mode {
        [Mode::Hold, Mode::Hold, Mode::Lose, Mode::Reset][self.rng.random_range(0..4)]
    }

    fn few(&mut self, low: usize, high: usize) -> Option<usize> {
        Some(self.rng.random_range(low..=high))
    }

    /// The same controllers end again and again, each time soon after they are back.
    fn ends_again(&mut self, first: Failure) -> Vec<Failure> {
        let mut at = first.at_s;
        let mut ends = vec![first];
        for _ in 0..self.rng.random_range(1..=6) {
            // While it starts, loads, leads, or serves.
            at += self.restart * 1.2
                + self.span(0.01, 0.08) * f64::from(1 << self.rng.random_range(0..6));
            let kind = [Kind::NodeCrash, Kind::NodeCrash, Kind::NodeEndsAsking];
            let kind = kind[self.rng.random_range(0..3)];
            ends.push(Failure::new((at * 1000.0).round() / 1000.0, kind).hits(Whom::Again));
        }
        ends
    }

    /// One of the troubles that break rules when they meet.
    fn trouble(&mut self, t: f64, cancel: f64) -> Vec<Failure> {
        use Kind::*;
        let lease = self.lease;
        let crash = |t| Failure::new(t, NodeCrash).hits(Whom::Leader);
        match self.rng.random_range(0..self.troubles) {
            // The state service refuses the leader alone, then everybody.
            0 | 1 => {
                let alone = self.span(0.2, 3.0);
                let long = [self.span(2.0, 16.0), self.span(1.0, 1.3) * cancel];
                let out =
                    Failure::new(t + alone, StateOutage).lasts(long[self.rng.random_range(0..2)]);
                let refuses = Failure::new(t, StateRefuses)
                    .hits(Whom::Leader)
                    .lasts(self.span(3.0, 16.0));
                vec![refuses, out]
            }
            // It is told of no change, or late.
            2 | 3 => {
                let hang = Failure::new(t, WatchesHang)
                    .hits(Whom::Leader)
                    .lasts(self.span(0.3, 2.0) * cancel);
                let mut unheard = Failure::new(t + self.span(0.0, 5.0), MachineCut)
                    .lasts(self.span(0.5, 1.5) * lease);
                (unheard.count, unheard.mode) = (self.few(2, 8), Some(self.mode()));
                vec![hang, unheard]
            }
            // Without state service and peers; workers and users still reach it.
            4 => {
                let lasts = self.span(0.3, 2.5) * lease;
                let cut = |from| {
                    let mut cut = Failure::new(t, NodeCut).hits(Whom::Leader).lasts(lasts);
                    (cut.from, cut.mode) = (Some(from), Some(Mode::Reset));
                    cut
                };
                vec![cut(Side::State), cut(Side::Peers)]
            }
            5 => {
                let mut deaf = Failure::new(t, MachineDeaf).lasts(self.span(0.2, 2.0) * lease);
                deaf.count = self.few(2, 10);
                vec![deaf, crash(t + self.span(0.0, 5.0))]
            }
            6 => {
                let mut copies = Failure::new(t, LateReports).lasts(self.span(0.5, 2.0) * lease);
                copies.share = Some(self.span(0.2, 0.8));
                vec![copies, crash(t + self.span(0.0, 2.0) * lease)]
            }
            7 => {
                let mut loses = Failure::new(t, StateLoses).lasts(self.span(5.0, 15.0));
                (loses.share, loses.late_s) =
                    (Some(self.span(0.1, 0.5)), Some(self.span(2.0, 12.0)));
                vec![loses]
            }
            8 => {
                let mut held = Failure::new(t, NodeCut)
                    .hits(Whom::Leader)
                    .lasts(self.span(2.0, 1.5 * lease));
                (held.from, held.mode) = (Some(Side::Workers), Some(Mode::Hold));
                let whom = [Whom::Leader, Whom::All][self.rng.random_range(0..2)];
                let end = Failure::new(t + self.span(0.1, 3.0), NodeCrash).hits(whom);
                let mut all = vec![held];
                all.extend(self.ends_again(end));
                all
            }
            9 => {
                let mut slow = Failure::new(t, StateSlow).lasts(self.span(5.0, 20.0));
                slow.factor = Some(self.span(20.0, 80.0));
                let mut hang = Failure::new(t, MachineHang).lasts(self.span(0.2, 1.2) * lease);
                hang.count = self.few(2, 8);
                vec![slow, hang]
            }
            10 => {
                let mut freeze = Failure::new(t, NodeFreeze)
                    .hits(Whom::Leader)
                    .lasts(self.span(1.0, 1.5 * lease));
                freeze.inside = self.rng.random();
                vec![freeze]
            }
            11 => {
                let mut mute = Failure::new(t, MachineMute).lasts(self.span(0.3, 2.0) * lease);
                mute.count = self.few(2, 10);
                vec![mute, crash(t + self.span(0.0, 8.0))]
            }
            12 => {
                let mut now = Failure::new(t, CancelNow);
                now.count = self.few(3, 12);
                now.hang_s = Some(self.span(2.0, 1.3 * cancel));
                vec![now, crash(t + self.span(0.0, 1.0) * lease)]
            }
            13 => {
                let mut ends = Failure::new(t, CancelAtEnd).lasts(self.span(10.0, 40.0));
                ends.share = Some(self.span(0.2, 0.8));
                vec![ends]
            }
            14 | 15 => {
                let lasts = self.span(0.5, 2.0) * lease;
                let mut copies = Failure::new(t, LateReports).lasts(lasts);
                (copies.share, copies.for_next) = (Some(self.span(0.2, 0.8)), true);
                let mut cut =
                    Failure::new(t + lasts - 0.5, MachineCut).lasts(self.span(0.3, 1.2) * lease);
                (cut.count, cut.mode) = (self.few(2, 8), Some(Mode::Lose));
                vec![copies, cut, crash(t + lasts)]
            }
            16 => {
                let looks = Failure::new(t, CloseLooks).lasts(self.span(15.0, 40.0));
                vec![looks, crash(t + self.span(2.0, 12.0))]
            }
            17 => vec![Failure::new(t, OddRequests).lasts(self.span(15.0, 60.0))],
            18 => {
                let early = Failure::new(t, BootsEarly).lasts(self.span(20.0, 40.0));
                let mut die = Failure::new(t, MachineDie);
                die.count = self.few(2, 6);
                let mut slow = Failure::new(t + 1.0, StateSlow).lasts(self.span(5.0, 20.0));
                slow.factor = Some(self.span(20.0, 80.0));
                vec![early, die, slow, crash(t + self.span(2.0, 12.0))]
            }
            _ => {
                let mut loses = Failure::new(t, StateLoses).lasts(self.span(5.0, 20.0));
                (loses.share, loses.at_once) = (Some(self.span(0.1, 0.5)), true);
                vec![loses, crash(t + self.span(0.0, 10.0))]
            }
        }
    }

    /// Failures that belong together, at about that time.
    fn moment(&mut self, t: f64) -> Vec<Failure> {
        use Kind::*;
        let crash = |t| Failure::new(t, NodeCrash).hits(Whom::Leader);
        let near = self.span(0.0, 3.0);
        let lease = self.lease;
        match self.rng.random_range(0..28) {
            // A controller ends, its successor too, while what the former life asked is on its way.
            23 => {
                let whom = [Whom::Leader, Whom::Leader, Whom::Standby, Whom::All];
                let whom = whom[self.rng.random_range(0..4)];
                self.ends_again(Failure::new(t, NodeCrash).hits(whom))
            }
            24 => {
                let mut slow = Failure::new(t, StateSlow).lasts(self.span(3.0, 10.0));
                slow.factor = Some(self.span(10.0, 60.0));
                let whom = [Whom::Leader, Whom::All][self.rng.random_range(0..2)];
                let mut all = vec![slow];
                all.extend(self.ends_again(Failure::new(t + near, NodeCrash).hits(whom)));
                all
            }
            // Its commands are held, and it ends before they arrive.
            25 => {
                let mut cut = Failure::new(t, NodeCut)
                    .hits(Whom::Leader)
                    .lasts(self.span(2.0, 1.5 * lease));
                cut.from =
                    Some([Side::Workers, Side::State, Side::Peers][self.rng.random_range(0..3)]);
                cut.mode = Some(Mode::Hold);
                let mut all = vec![cut];
                let end = Failure::new(t + self.span(0.2, 4.0), NodeCrash).hits(Whom::Again);
                all.extend(self.ends_again(end));
                all
            }
            26 => {
                let mut loses = Failure::new(t, StateLoses).lasts(self.span(3.0, 10.0));
                loses.share = Some(self.span(0.1, 0.4));
                loses.late_s = Some(self.span(0.2, 8.0));
                let end = Failure::new(t + near, NodeEndsAsking).hits(Whom::Leader);
                let mut all = vec![loses];
                all.extend(self.ends_again(end));
                all
            }
            27 => {
                let mut all = self.ends_again(Failure::new(t, NodeEndsAsking).hits(Whom::All));
                let mut die = Failure::new(t + near, MachineDie);
                die.count = self.few(1, 6);
                all.push(die);
                all
            }
            0 if self.rng.random() => vec![Failure::new(t, NodeLeaves).hits(Whom::Leader)],
            0 => vec![crash(t)],
            // Machines are out of reach when another takes the lead.
            1 | 2 => {
                let mut cut = Failure::new(t, MachineCut).lasts(self.span(3.0, 1.6 * lease));
                cut.count = self.few(2, 8);
                cut.mode = Some(self.mode());
                vec![cut, crash(t + near)]
            }
            3 => {
                let mut cut = Failure::new(t, ZoneCut).lasts(self.span(5.0, 2.0 * lease));
                cut.zone = Some(self.zone());
                cut.mode = Some(self.mode());
                vec![cut, crash(t + near)]
            }
            // A standby misses changes, or the leader's word, before its turn comes.
            22 => {
                let mut cut = Failure::new(t, NodeCut)
                    .hits(Whom::Standby)
                    .lasts(self.span(2.0, 15.0));
                cut.from = Some([Side::State, Side::Peers][self.rng.random_range(0..2)]);
                cut.count = self.few(1, 2);
                cut.mode = Some(self.mode());
                vec![cut, crash(t + self.span(0.0, 16.0))]
            }
            // The leader's zone goes on by itself, for longer than its workers' leases.
            20 | 21 => {
                let mut cut = Failure::new(t, ZoneCut)
                    .hits(Whom::Leader)
                    .lasts(self.span(lease, 3.0 * lease));
                cut.mode = Some(self.mode());
                vec![cut]
            }
            // The leader reaches no worker, and its commands are held.
            4 | 5 => {
                let mut cut = Failure::new(t, NodeCut)
                    .hits(Whom::Leader)
                    .lasts(self.span(3.0, 2.0 * lease));
                cut.from = Some(Side::Workers);
                cut.mode = Some(Mode::Hold);
                let mut lost = Failure::new(t, AnswersLost).lasts(self.span(2.0, 10.0));
                lost.share = Some(0.5);
                vec![cut, lost]
            }
            // Cut from the state service, while a zone still hears it.
            6 | 7 => {
                let mut cut = Failure::new(t, NodeCut)
                    .hits(Whom::Leader)
                    .lasts(self.span(4.0, 3.0 * lease));
                cut.from = Some(Side::State);
                cut.mode = Some(self.mode());
                let mut apart = Failure::new(t, ZonesApart).lasts(self.span(5.0, 3.0 * lease));
                (apart.zone, apart.other_zone) = (Some(self.zone()), Some(self.zone()));
                let mut gone = Failure::new(t, NodeCut)
                    .hits(Whom::Leader)
                    .lasts(self.span(4.0, 3.0 * lease));
                gone.from = Some(Side::Peers);
                vec![cut, if self.rng.random() { apart } else { gone }]
            }
            // It stands still between its clock and its sockets.
            8 | 9 => {
                let mut freeze = Failure::new(t, NodeFreeze)
                    .hits(Whom::Leader)
                    .lasts(self.span(2.0, 1.5 * lease));
                freeze.inside = self.rng.random();
                vec![freeze]
            }
            // In the middle of a write.
            10 => {
                let mut slow = Failure::new(t, StateSlow).lasts(self.span(5.0, 15.0));
                slow.factor = Some(self.span(20.0, 80.0));
                let mut cut = Failure::new(t + near, MachineCut).lasts(self.span(3.0, lease));
                cut.count = self.few(4, 12);
                vec![slow, cut, crash(t + near + 0.1)]
            }
            11 => {
                let mut loses = Failure::new(t, StateLoses).lasts(self.span(3.0, 12.0));
                loses.share = Some(self.span(0.1, 0.5));
                loses.late_s = Some(self.span(1.0, 15.0));
                vec![loses, crash(t + near)]
            }
            // A takeover during a takeover.
            12 => {
                let mut hang = Failure::new(t, MachineHang).lasts(self.span(2.0, 1.2 * lease));
                hang.count = self.few(2, 8);
                let second = t + near + self.span(2.5, 4.5);
                vec![hang, crash(t + near), crash(second)]
            }
            13 => {
                let out = Failure::new(t, StateOutage).lasts(self.span(3.0, 14.0));
                vec![out, Failure::new(t + near, NodeCrash).hits(Whom::All)]
            }
            14 => {
                let refuse = Failure::new(t, PeersRefuse).lasts(self.span(3.0, 20.0));
                let out = Failure::new(t, StateRefuses)
                    .hits([Whom::Standby, Whom::Leader][self.rng.random_range(0..2)])
                    .lasts(self.span(3.0, 20.0));
                vec![refuse, out]
            }
            15 => {
                let kind = [CloudLate, CloudOutage, CloudFull][self.rng.random_range(0..3)];
                let mut die = Failure::new(t, MachineDie);
                die.count = self.few(1, 4);
                let lasts = self.span(5.0, 30.0);
                vec![Failure::new(t, kind).lasts(lasts), die, crash(t + near)]
            }
            16 => {
                let mut roll = Failure::new(t, NodeRoll);
                roll.every_s = Some(self.span(3.0, 12.0));
                let mut burst = Failure::new(t, JobBurst).lasts(self.span(5.0, 20.0));
                burst.class =
                    Some(self.classes[self.rng.random_range(0..self.classes.len())].clone());
                burst.factor = Some(self.span(2.0, 4.0));
                vec![roll, burst]
            }
            17 => {
                let mut sick = Failure::new(t, MachineSick).lasts(self.span(5.0, 20.0));
                sick.count = self.few(1, 2);
                let mut slow = Failure::new(t, MachineSlow).lasts(self.span(5.0, 20.0));
                (slow.count, slow.factor) = (self.few(1, 4), Some(2.0));
                let mut taken = Failure::new(t + near, SpotTaken);
                (taken.share, taken.notice_s) =
                    (Some(0.5), Some([0.0, 20.0][self.rng.random_range(0..2)]));
                vec![sick, slow, taken]
            }
            18 => {
                let freeze = Failure::new(t, NodeFreeze)
                    .hits(Whom::Standby)
                    .lasts(self.span(2.0, 20.0));
                vec![
                    freeze,
                    Failure::new(t + near, StateForgets),
                    crash(t + near),
                ]
            }
            _ => {
                let mut storm = Failure::new(t, PollStorm).lasts(self.span(5.0, 20.0));
                storm.factor = Some(self.span(2.0, 6.0));
                let mut slow = Failure::new(t, BootsSlow).lasts(self.span(5.0, 30.0));
                slow.factor = Some(4.0);
                vec![storm, slow, crash(t + near)]
            }
        }
    }
}

/// The day of a seed.
pub fn draw(seed: u64) -> Result<Day, DayError> {
    let mut day = Day::example()?;
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x6472_696c_6c00);
    day.name = "drawn".to_owned();
    day.seed = seed;
    day.fleet.controllers = if rng.random_range(0..10) < 7 { 3 } else { 7 };
    day.fleet.lease_s = f64::from(rng.random_range(12..20));
    day.fleet.cancel_s = day.fleet.lease_s + 20.0;
    day.fleet.report_s = f64::from(rng.random_range(2..5));
    day.fleet.taken_per_hour = [0.0, 2.0][rng.random_range(0..2)];
    if rng.random_range(0..4) == 0 {
        day.state.write_rps = 25.0;
        day.state.rps = 80.0;
    }
    // A process that ends is back after a fraction of a second, or after some seconds: half of the
    // days below 0.4 s.
    let restart = 0.03 * (5.0f64 / 0.03).powf(rng.random());
    day.fleet.restart_s = (restart * 1000.0).round() / 1000.0;
    // Up to half as many machines as the budgets of the state service are made for.
    let size = rng.random_range(1.0..1.5);
    // Pools of random sizes over the zones, and teams whose limits bind.
    let zones = day.fleet.zones.clone();
    day.pools.clear();
    for zone in &zones {
        for (kind, most) in [("small", 10), ("large", 4)] {
            let most = (f64::from(rng.random_range(2..=most)) * size).round() as usize;
            let spot = rng.random_range(0..4) == 0;
            day.pools.push(Pool {
                r#type: kind.to_owned(),
                zone: zone.clone(),
                spot,
                up: (most * 2 / 3).max(1),
                most,
            });
        }
    }
    let cores = |p: &Pool| {
        let kind = day.types.iter().find(|t| t.name == p.r#type);
        kind.map_or(0.0, |t| t.cores) * p.up as f64
    };
    let all: f64 = day.pools.iter().map(cores).sum();
    let teams = rng.random_range(2..=5);
    // A team's share of the work is well within its limit; a burst is not.
    let least = 1.3 / f64::from(teams);
    let limit = |rng: &mut SmallRng| (all * rng.random_range(least..0.9)).round().max(8.0);
    let team = |n: i32, rng: &mut SmallRng| Team {
        name: format!("team-{n}"),
        weight: 1.0,
        cpus: (all / f64::from(teams) / 2.0).round(),
        cpus_max: limit(rng),
    };
    day.teams = (0..teams).map(|n| team(n, &mut rng)).collect();
    // The example's work is for some 130 cores.
    for c in &mut day.classes {
        c.rate *= all / 130.0 * rng.random_range(0.6..1.3);
        c.tasks.max = c.tasks.max.min(30.0);
        c.mistaken = [0.0, 0.02][rng.random_range(0..2)];
    }
    let mut draw = Draw {
        zones,
        classes: day.classes.iter().map(|c| c.name.clone()).collect(),
        lease: day.fleet.lease_s,
        restart: day.fleet.restart_s,
        troubles: TROUBLES,
        rng,
    };
    let moments = draw.rng.random_range(2..=4);
    day.settle_s = 60.0;
    day.failures.clear();
    let mut t = draw.span(20.0, 40.0);
    for _ in 0..moments {
        day.failures.extend(draw.moment(t));
        t += draw.span(12.0, 45.0);
    }
    let lasts = |f: &Failure| f.at_s + f.for_s.unwrap_or(0.0) + f.every_s.unwrap_or(0.0) * 7.0;
    let last = day.failures.iter().map(lasts).fold(t, f64::max);
    // All is well for a while before the end.
    day.duration_s = (last + 3.0 * day.fleet.lease_s + day.settle_s).round();
    day.failures.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    Ok(day)
}

/// The day of a seed on which troubles meet: two at a time, drawn from those that broke rules together,
/// while users cancel much of their work.
pub fn draw_meetings(seed: u64) -> Result<Day, DayError> {
    draw_of(seed, TROUBLES)
}

fn draw_of(seed: u64, troubles: u32) -> Result<Day, DayError> {
    let mut day = draw(seed)?;
    day.name = "meetings".to_owned();
    for c in &mut day.classes {
        c.cancelled = 0.4;
    }
    // On half of the days tasks of the first class outlast `cancel_s` by far: nothing but an order, or the
    // end of a lease, ends them in time.
    if seed % 2 == 0 {
        let cancel = day.fleet.cancel_s;
        let first = &mut day.classes[0];
        (first.cancelled, first.rate) = (0.8, first.rate / 4.0);
        first.run_s = Spread {
            median: 2.4 * cancel,
            p95: 3.0 * cancel,
            max: 3.4 * cancel,
        };
    }
    let mut draw = Draw {
        zones: day.fleet.zones.clone(),
        classes: day.classes.iter().map(|c| c.name.clone()).collect(),
        lease: day.fleet.lease_s,
        restart: day.fleet.restart_s,
        troubles,
        rng: SmallRng::seed_from_u64(seed ^ 0x6d65_6574),
    };
    day.failures.clear();
    let mut t = draw.span(25.0, 40.0);
    for _ in 0..draw.rng.random_range(1..=2) {
        let first = draw.trouble(t, day.fleet.cancel_s);
        day.failures.extend(first);
        let near = t + draw.span(0.0, 4.0);
        let second = draw.trouble(near, day.fleet.cancel_s);
        day.failures.extend(second);
        t += draw.span(1.0, 2.0) * day.fleet.cancel_s;
    }
    let lasts = |f: &Failure| f.at_s + f.for_s.unwrap_or(0.0) + f.every_s.unwrap_or(0.0) * 7.0;
    let last = day.failures.iter().map(lasts).fold(t, f64::max);
    // All is well for a while before the end, and the last copies have come.
    let longest = day.classes.iter().map(|c| c.run_s.max).fold(0.0, f64::max);
    day.settle_s = day.settle_s.max(1.5 * longest);
    // And the largest jobs have had the time within which they are to begin.
    day.duration_s = (last + 4.0 * day.fleet.lease_s + day.settle_s)
        .round()
        .max(420.0);
    day.failures.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    Ok(day)
}

/// The day of a seed with a bug planted, and with what it takes for that bug to show.
pub fn draw_planted(seed: u64, bug: &str) -> Result<Day, DayError> {
    let mut day = draw(seed)?;
    day.planted = Some(bug.to_owned());
    if matches!(
        day.bug(),
        Some(
            InjectedFault::CancellationsNeverStale
                | InjectedFault::CatchUpSkippedAfterRegain
                | InjectedFault::ReachabilityAssumed
                | InjectedFault::DuplicateHeartbeatAccepted
                | InjectedFault::AbsentKeyAssumedUnwritten
                | InjectedFault::PlacementMatchedBeforeConfirmation
        )
    ) {
        day = draw_of(seed, FIRST_TROUBLES)?;
        day.planted = Some(bug.to_owned());
    }
    if day.bug() == Some(InjectedFault::CatchUpSkippedAfterRegain) {
        // The watch hangs, and before that is noticed all grants outlive a short outage.
        day = draw_of(seed & !1, FIRST_TROUBLES)?;
        (day.seed, day.planted) = (seed, Some(bug.to_owned()));
        day.failures.clear();
        for n in 0..2 {
            let at = 30.0 + f64::from(n) * 3.0 * day.fleet.cancel_s;
            let hang = Failure::new(at - 4.0, Kind::WatchesHang)
                .hits(Whom::Leader)
                .lasts(2.5 * day.fleet.cancel_s);
            day.failures.push(hang);
            day.failures
                .push(Failure::new(at, Kind::StateOutage).lasts(4.0));
        }
    }
    if day.bug() == Some(InjectedFault::PlacementMatchedBeforeConfirmation) {
        // Much is stopped and started again where it was; then copies of all that was said come first.
        for c in &mut day.classes {
            (c.cancelled, c.pinned) = (0.1, 0.5);
        }
        day.failures.clear();
        for n in 0..3 {
            let at = 25.0 + 45.0 * f64::from(n);
            let mut copies = Failure::new(at - 10.0, Kind::LateReports).lasts(20.0);
            (copies.share, copies.for_next) = (Some(0.9), true);
            let mut cut = Failure::new(at + 9.5, Kind::MachineCut).lasts(0.8 * day.fleet.lease_s);
            (cut.count, cut.mode) = (Some(8), Some(Mode::Lose));
            let crash = Failure::new(at + 10.0, Kind::NodeCrash).hits(Whom::Leader);
            day.failures.extend([copies, cut, crash]);
        }
    }
    if day.bug() == Some(InjectedFault::AbsentKeyAssumedUnwritten) {
        // Late enough for the repeat of a submission to be accepted and done.
        let mut loses = Failure::new(20.0, Kind::StateLoses).lasts(40.0);
        (loses.share, loses.late_s) = (Some(0.4), Some(40.0));
        day.failures.insert(0, loses);
    }
    if day.bug() == Some(InjectedFault::ReplicaChecksumIgnored) {
        // Long enough before the lead changes for the leader's sum to tell, were it looked at.
        let mut spoiled = Failure::new(16.0, Kind::MirrorSpoiled).hits(Whom::Standby);
        spoiled.count = Some(2);
        day.failures.insert(0, spoiled);
        let crash = Failure::new(28.0, Kind::NodeCrash).hits(Whom::Leader);
        day.failures.insert(1, crash);
    }
    if day.bug() == Some(InjectedFault::PreviousTermReused) {
        // Nobody else can take the lead meanwhile.
        day.fleet.restart_s = 0.05;
        for at in [24.0, 48.0, 72.0] {
            let mut cut = Failure::new(at, Kind::NodeCut)
                .hits(Whom::Standby)
                .lasts(6.0);
            (cut.from, cut.mode) = (Some(Side::State), Some(Mode::Lose));
            cut.count = Some(day.fleet.controllers - 1);
            let crash = Failure::new(at + 1.0, Kind::NodeCrash).hits(Whom::Leader);
            day.failures.extend([cut, crash]);
        }
        day.failures.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    }
    if day.bug() == Some(InjectedFault::TicketsReused) {
        // Each life of a process begins with the same questions, whose answers are alike. For another
        // one to be taken, users have to ask while answers of several lives are on their way.
        day.fleet.restart_s = 0.03;
        let mut storm = Failure::new(18.0, Kind::JobBurst).lasts(60.0);
        (storm.class, storm.factor) = (Some(day.classes[0].name.clone()), Some(6.0));
        let mut more = vec![storm];
        for n in 0..16 {
            let at = 20.0 + 3.5 * f64::from(n);
            let mut cut = Failure::new(at, Kind::NodeCut).hits(Whom::Any).lasts(1.3);
            (cut.from, cut.mode) = (Some(Side::State), Some(Mode::Hold));
            more.push(cut);
            let again = |t| Failure::new(at + t, Kind::NodeCrash).hits(Whom::Again);
            more.extend([0.25, 0.6, 1.0].map(again));
        }
        day.failures.extend(more);
        day.failures.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    }
    Ok(day)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drawn_day_is_read_back_as_it_was_written() {
        for seed in 0..50 {
            let day = draw(seed).expect("a day is drawn");
            let read = Day::parse(&day.to_toml()).expect("and read");
            assert_eq!(read, day);
        }
    }
}
