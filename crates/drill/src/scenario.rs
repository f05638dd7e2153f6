//! A scenario as data: the deployment, its work, and what fails when. It is read from and written as TOML, where
//! keys are the names of the fields, or those in their serde attributes.

use crate::copies::copy_delay_max_s;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Why a scenario can't be read or played. The text names the place in the file and what was expected.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct ScenarioError(pub String);

/// What one run of the simulator plays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    pub name: String,
    pub seed: u64,
    pub duration_s: f64,
    /// No job is submitted in this last part of the run, so that accepted jobs can still finish.
    pub settle_s: f64,
    /// Jobs submitted before this time don't count for the objectives.
    pub warmup_s: f64,
    /// A bug that is injected into the controllers, by its name in `dewramp::fault_injection`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub planted: Option<String>,
    pub fleet: Fleet,
    pub state: StateService,
    pub cloud: CloudService,
    pub network: Network,
    pub types: Vec<MachineType>,
    pub pools: Vec<Pool>,
    pub teams: Vec<Team>,
    pub classes: Vec<JobClass>,
    #[serde(rename = "aims")]
    pub objectives: Vec<Objective>,
    #[serde(rename = "failures")]
    pub faults: Vec<Fault>,
    /// Properties of the service that differ from their defaults.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub properties: BTreeMap<String, String>,
}

/// Controllers and workers: their number, clocks and time limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    pub controllers: usize,
    pub zones: Vec<String>,
    /// The share of a core that each controller gets; 0: its computations take no time.
    pub cpu_share: f64,
    /// How long a controller that ended takes to start again.
    pub restart_s: f64,
    /// Period of a worker's heartbeats.
    pub report_s: f64,
    /// A worker stops all its tasks when no heartbeat was answered for this long.
    pub lease_s: f64,
    /// A cancelled job's tasks must have left their machines after this time.
    pub cancel_s: f64,
    /// Monotonic clocks run faster than true time by up to this share.
    pub drift: f64,
    /// Wall clocks differ from true time by at most this.
    pub clock_off_ms: f64,
    /// The rate at which the cloud reclaims each spot machine.
    pub taken_per_hour: f64,
    /// The notice before a reclaim.
    pub notice_s: f64,
    /// The share of reclaims without notice.
    pub silent: f64,
}

/// Limits and speed of the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StateService {
    /// Requests, and write requests, that it accepts each second.
    pub rps: f64,
    pub write_rps: f64,
    /// The largest value, and the most operations of a transaction.
    pub value_kb: f64,
    pub txn_ops: usize,
    pub latency_ms: f64,
    /// How many past changes a watch can start from.
    pub kept: usize,
}

/// Limits and speed of the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CloudService {
    pub rps: f64,
    pub latency_ms: f64,
    /// How far the list of machines lags behind.
    pub list_lag_s: f64,
}

/// Delays between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One-way delay within a zone, and between zones.
    pub same_zone_ms: f64,
    pub cross_zone_ms: f64,
    /// Mean of the random extra delay, which is exponentially distributed, as a share of the delay.
    pub jitter: f64,
    /// The share of messages that are lost once, and delayed by being sent again.
    pub loss: f64,
}

/// A machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineType {
    pub name: String,
    pub cores: f64,
    pub memory_gb: f64,
    /// Price for an hour, on demand and spot.
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    /// The share of rented machines that never comes up.
    #[serde(default)]
    pub boot_fail: f64,
    /// Room for task images.
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
}

/// Machines of one type and zone, on demand or spot: how many are up at the start (`up`), and how many there can be
/// (`most`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    pub r#type: String,
    pub zone: String,
    #[serde(default)]
    pub spot: bool,
    #[serde(default)]
    pub up: usize,
    pub most: usize,
}

/// A team that submits jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    pub name: String,
    /// Its share of the submitted jobs, relative to the other teams.
    #[serde(default = "one")]
    pub weight: f64,
    /// Its guaranteed cores, and its limit (0: none).
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
}

/// Median, 95th percentile and upper bound of a log-normal distribution.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogNormalParams {
    pub median: f64,
    pub p95: f64,
    pub max: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    Low,
    Normal,
    High,
    Production,
}

/// Jobs of one kind: how many arrive, their tasks and their requirements.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobClass {
    pub name: String,
    pub urgency: Urgency,
    /// Jobs that arrive each second.
    pub rate: f64,
    /// Jobs that are submitted at the start.
    #[serde(default)]
    pub initial: usize,
    /// The arrival rate goes up and down by the share `swing` with the period `period_s`.
    #[serde(default)]
    pub swing: f64,
    #[serde(default)]
    pub period_s: f64,
    pub tasks: LogNormalParams,
    pub run_s: LogNormalParams,
    /// Run times of one job's tasks differ by this share.
    #[serde(default)]
    pub vary: f64,
    pub cores: f64,
    pub memory_gb: f64,
    pub images: usize,
    /// Exponent of the Zipf distribution by which its images are used; 0: all equally.
    #[serde(default)]
    pub zipf: f64,
    pub image_gb: LogNormalParams,
    #[serde(default)]
    pub spot: bool,
    /// How often a task saves its progress by itself, and how long a save on a stop takes; 0: it never saves.
    #[serde(default)]
    pub checkpoint_s: f64,
    #[serde(default)]
    pub save_s: f64,
    /// The users' estimates of run times are wrong by up to this share.
    #[serde(default)]
    pub estimate_error: f64,
    /// The share of its jobs that their users cancel.
    #[serde(default)]
    pub cancelled: f64,
    /// The share of its jobs whose tasks all fail.
    #[serde(default)]
    pub mistaken: f64,
    /// The share of its jobs that are bound to one zone.
    #[serde(default)]
    pub pinned: f64,
    /// The share of its jobs whose tasks all have to run in one zone, whichever it is.
    #[serde(default)]
    pub together: f64,
    /// The share of its jobs whose tasks have to be spread over zones.
    #[serde(default)]
    pub apart: f64,
    /// The share of its jobs that depend on an earlier job.
    #[serde(default)]
    pub chained: f64,
    /// How many jobs depend on each of its jobs and are submitted as soon as that job is accepted; one more job
    /// depends on all of these. 0: none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub followers: usize,
    /// The deadline after submission: the estimated run time times the first number, plus the second in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<(f64, f64)>,
    /// The teams that submit its jobs; all, if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<String>,
}

/// What an objective measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectiveKind {
    /// Tasks started within `within_s`.
    Wait,
    /// Jobs done within `within_s`.
    Finished,
    /// Jobs done within `times` their deadline.
    Deadline,
    /// Submissions accepted within `within_s`.
    Submit,
}

/// A share of tasks or jobs that users expect to be served in time. The result is shown; it fails no run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    pub kind: ObjectiveKind,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: f64,
    #[serde(default = "one")]
    pub times: f64,
    pub share: f64,
}

fn is_zero(number: &usize) -> bool {
    *number == 0
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Controllers crash and start again.
    NodeCrash,
    /// A controller crashes while a transaction that it sent has no answer yet.
    NodeEndsAsking,
    /// Controllers shut down in order: a leader steps down first.
    NodeLeaves,
    /// All controllers crash and start again, one after the other, `every_s` apart.
    NodeRoll,
    /// A controller process is paused while its clocks run on; with `inside`, after it has read its clock and before
    /// it sends what it decided.
    NodeFreeze,
    /// A network partition between a controller and the hosts named by `from`.
    NodeCut,
    /// Controllers refuse connections from one another.
    PeersRefuse,
    /// A network partition between a zone, or the zone of a controller, and everything else.
    ZoneCut,
    /// A network partition between two zones.
    ZonesApart,
    StateOutage,
    /// The state service answers `factor` times slower.
    StateSlow,
    /// The state service refuses the requests of some controllers.
    StateRefuses,
    /// A share of transactions gets no answer. Half of these are executed `late_s` later and the others at once; with
    /// `at_once`, all at once.
    StateLoses,
    /// The state service drops its history: watches can't start from a past revision.
    StateForgets,
    /// Watches of a controller are never answered, as on half-open connections; its other requests are.
    WatchesHang,
    /// One `mod_revision` in a controller's replica becomes wrong.
    MirrorSpoiled,
    CloudOutage,
    /// The cloud has no machine to rent out.
    CloudFull,
    /// Rentals and releases get no answer and are executed when the fault is over.
    CloudLate,
    /// Rented machines take `factor` times longer to come up.
    BootsSlow,
    /// Machines are up within two seconds of their rental.
    BootsEarly,
    /// Machines are cut off from the network.
    MachineCut,
    /// Machines stand still, with their tasks and their worker.
    MachineHang,
    /// Machines crash for good, with all that is on them.
    MachineDie,
    /// All tasks that start on these machines fail.
    MachineSick,
    /// Tasks on these machines run `factor` times longer.
    MachineSlow,
    /// A share of the answers to direct commands is lost.
    AnswersLost,
    /// Inbound-partitioned machines: their heartbeats arrive, answers and direct commands to them don't.
    MachineDeaf,
    /// Outbound-partitioned machines: their heartbeats reach no controller, direct commands reach them.
    MachineMute,
    /// Duplicate delivery: a copy of a share of the heartbeats arrives again, from 2 s to three leases later; with
    /// `for_next`, at every controller just as a new leader starts.
    LateReports,
    /// Duplicate delivery: a copy of a share of the requests that were carried out (commands to workers, requests to
    /// the state service and the cloud, frames between controllers, users' submissions and cancellations) arrives
    /// again, from 2 s to three leases later.
    RequestCopies,
    /// The cloud reclaims a share of the spot machines, after about `notice_s`.
    SpotTaken,
    /// `factor` times as many jobs of a class arrive.
    JobBurst,
    /// Users poll `factor` times as often.
    PollStorm,
    /// Users cancel `count` running jobs that are far from their end; up to eight of their machines hang for
    /// `hang_s`. With `with_followers`, only jobs that others were submitted to depend on.
    CancelNow,
    /// Users cancel a share of the jobs at the moment of their end.
    CancelAtEnd,
    /// Users poll all controllers, and submit again, right after they were told that a job is accepted, done or
    /// cancelled.
    CloseLooks,
    /// Users repeat submissions, cancel finished jobs, and submit jobs that can't run or lack a field.
    OddRequests,
}

/// The controllers that a fault hits, chosen by what they do at that moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultTarget {
    Leader,
    /// Controllers other than the leader.
    Standby,
    /// The same as `Leader`; kept for scenarios that name it.
    Holder,
    Any,
    All,
    /// The controllers that the previous fault of controllers hit.
    Again,
}

/// The hosts that a controller is cut off from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PartitionedFrom {
    All,
    State,
    Workers,
    Peers,
    Users,
    Cloud,
}

/// What a network partition does with packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PartitionMode {
    /// They are delivered in order when the partition is over.
    Hold,
    /// They are lost.
    Lose,
    /// They are lost and the connections are reset.
    Reset,
}

/// One fault of a scenario. Which of the optional fields count depends on the kind; see `missing_field`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_s: f64,
    pub kind: FaultKind,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub for_s: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub whom: Option<FaultTarget>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<usize>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub other_zone: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<PartitionedFrom>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mode: Option<PartitionMode>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every_s: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub late_s: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub notice_s: Option<f64>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub inside: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hang_s: Option<f64>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub at_once: bool,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub for_next: bool,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub with_followers: bool,
}

impl Fault {
    pub fn new(at_s: f64, kind: FaultKind) -> Self {
        Self {
            at_s,
            kind,
            for_s: None,
            whom: None,
            count: None,
            zone: None,
            other_zone: None,
            from: None,
            mode: None,
            factor: None,
            share: None,
            class: None,
            every_s: None,
            late_s: None,
            notice_s: None,
            inside: false,
            hang_s: None,
            at_once: false,
            for_next: false,
            with_followers: false,
        }
    }

    pub fn with_duration(mut self, for_s: f64) -> Self {
        self.for_s = Some(for_s);
        self
    }

    pub fn with_target(mut self, whom: FaultTarget) -> Self {
        self.whom = Some(whom);
        self
    }

    /// The name of a field that this kind of fault needs and that is absent.
    fn missing_field(&self) -> Option<&'static str> {
        use FaultKind::*;
        let needs_duration = !matches!(
            self.kind,
            NodeCrash
                | NodeEndsAsking
                | NodeLeaves
                | NodeRoll
                | MachineDie
                | SpotTaken
                | StateForgets
                | MirrorSpoiled
                | CancelNow
        );
        if needs_duration && self.for_s.is_none() {
            return Some("for_s");
        }
        match self.kind {
            NodeRoll if self.every_s.is_none() => Some("every_s"),
            NodeFreeze | NodeCut | NodeEndsAsking | StateRefuses | MirrorSpoiled | WatchesHang
                if self.whom.is_none() =>
            {
                Some("whom")
            }
            NodeCrash | NodeLeaves if self.whom.is_none() && self.count.is_none() => {
                Some("whom or count")
            }
            ZoneCut if self.zone.is_none() && self.whom.is_none() => Some("zone or whom"),
            ZonesApart if self.zone.is_none() || self.other_zone.is_none() => {
                Some("zone and other_zone")
            }
            MachineCut | MachineHang | MachineDie | MachineSick | MachineDeaf | MachineMute
            | CancelNow
                if self.count.is_none() =>
            {
                Some("count")
            }
            MachineSlow if self.count.is_none() || self.factor.is_none() => {
                Some("count and factor")
            }
            StateSlow | BootsSlow | PollStorm if self.factor.is_none() => Some("factor"),
            StateLoses | AnswersLost | SpotTaken | LateReports | RequestCopies | CancelAtEnd
                if self.share.is_none() =>
            {
                Some("share")
            }
            JobBurst if self.class.is_none() || self.factor.is_none() => Some("class and factor"),
            _ => None,
        }
    }
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            controllers: 3,
            zones: ["east", "west", "north"].map(str::to_owned).to_vec(),
            cpu_share: 0.1,
            restart_s: 3.0,
            report_s: 3.0,
            lease_s: 16.0,
            cancel_s: 36.0,
            drift: 0.0005,
            clock_off_ms: 5.0,
            taken_per_hour: 1.0,
            notice_s: 25.0,
            silent: 0.3,
        }
    }
}

impl Default for StateService {
    fn default() -> Self {
        Self {
            rps: 150.0,
            write_rps: 60.0,
            value_kb: 16.0,
            txn_ops: 24,
            latency_ms: 5.0,
            kept: 10_000,
        }
    }
}

impl Default for CloudService {
    fn default() -> Self {
        Self {
            rps: 8.0,
            latency_ms: 120.0,
            list_lag_s: 8.0,
        }
    }
}

impl Default for Network {
    fn default() -> Self {
        Self {
            same_zone_ms: 0.5,
            cross_zone_ms: 2.0,
            jitter: 0.25,
            loss: 0.0002,
        }
    }
}

/// The scenario that is played when none is named.
const EXAMPLE: &str = include_str!("../days/example.toml");

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "day".to_owned(),
            seed: 1,
            duration_s: 300.0,
            settle_s: 60.0,
            warmup_s: 0.0,
            planted: None,
            fleet: Fleet::default(),
            state: StateService::default(),
            cloud: CloudService::default(),
            network: Network::default(),
            types: Vec::new(),
            pools: Vec::new(),
            teams: Vec::new(),
            classes: Vec::new(),
            objectives: Vec::new(),
            faults: Vec::new(),
            properties: BTreeMap::new(),
        }
    }
}

impl Scenario {
    /// The scenario that is played when none is named.
    pub fn example() -> Result<Scenario, ScenarioError> {
        Self::parse(EXAMPLE)
    }

    /// Reads and validates a scenario; the error names line and column.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| {
            let at = e.span().map_or(0, |s| s.start);
            ScenarioError(format!("{}: {}", line_and_column(text, at), e.message()))
        })?;
        scenario.validate().map_err(|(fault, reason)| {
            let at = fault.and_then(|n| fault_offset(text, n));
            let at = at.map_or(String::new(), |at| {
                format!("{}: ", line_and_column(text, at))
            });
            ScenarioError(format!("{at}{reason}"))
        })?;
        Ok(scenario)
    }

    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// On error: the index of the fault that is wrong, if it is one, and what is wrong.
    fn validate(&self) -> Result<(), (Option<usize>, String)> {
        let bad = |text: String| Err((None, text));
        if !(1..=200).contains(&self.fleet.controllers) {
            return bad("fleet.controllers: expected 1 to 200".to_owned());
        }
        if self.fleet.zones.is_empty() {
            return bad("fleet.zones: expected at least one zone".to_owned());
        }
        if self.teams.is_empty() || self.classes.is_empty() || self.types.is_empty() {
            return bad("a scenario needs teams, classes and types".to_owned());
        }
        if !(1.0..=86_400.0).contains(&self.duration_s) {
            return bad("duration_s: expected 1 to 86400".to_owned());
        }
        if self.planted.is_some() && self.injected_fault().is_none() {
            return bad("planted: no such bug; see drill --help".to_owned());
        }
        if let Err(e) = dewramp::settings::Properties::from_pairs(&self.properties) {
            return bad(e.to_string());
        }
        for p in &self.pools {
            if !self.types.iter().any(|t| t.name == p.r#type) {
                return bad(format!("pools: no type `{}`", p.r#type));
            }
            if !self.fleet.zones.contains(&p.zone) {
                return bad(format!("pools: no zone `{}` in fleet.zones", p.zone));
            }
        }
        for c in &self.classes {
            if c.images == 0 {
                return bad(format!("classes: {}: images: expected 1 or more", c.name));
            }
            if let Some(t) = c
                .teams
                .iter()
                .find(|t| !self.teams.iter().any(|u| u.name == **t))
            {
                return bad(format!("classes: {}: no team `{t}`", c.name));
            }
        }
        for a in &self.objectives {
            if let Some(c) = a.class.as_ref()
                && !self.classes.iter().any(|k| k.name == *c)
            {
                return bad(format!("aims: no class `{c}`"));
            }
        }
        for (n, f) in self.faults.iter().enumerate() {
            let bad = |text: String| Err((Some(n), text));
            if !f.at_s.is_finite() || f.at_s < 0.0 {
                return bad("at_s: expected 0 or more".to_owned());
            }
            if let Some(field) = f.missing_field() {
                return bad(format!("{:?} needs `{field}`", f.kind));
            }
            for zone in f.zone.iter().chain(&f.other_zone) {
                if !self.fleet.zones.contains(zone) {
                    return bad(format!("no zone `{zone}` in fleet.zones"));
                }
            }
            if let Some(c) = f.class.as_ref()
                && !self.classes.iter().any(|k| k.name == *c)
            {
                return bad(format!("no class `{c}`"));
            }
        }
        Ok(())
    }

    /// When the last of its faults and their late effects are over.
    pub fn last_fault_end_s(&self) -> f64 {
        let end_s = |f: &Fault| {
            let roll = f.every_s.unwrap_or(0.0) * self.fleet.controllers as f64;
            let copies = match f.kind {
                FaultKind::LateReports if f.for_next => 0.0,
                FaultKind::LateReports | FaultKind::RequestCopies => {
                    copy_delay_max_s(self.fleet.lease_s)
                }
                _ => 0.0,
            };
            let late = f
                .late_s
                .unwrap_or(0.0)
                .max(f.hang_s.unwrap_or(0.0))
                .max(copies);
            f.at_s + f.for_s.unwrap_or(0.0) + roll + late + self.fleet.restart_s
        };
        self.faults.iter().map(end_s).fold(0.0, f64::max)
    }

    /// The bug that `planted` names.
    pub fn injected_fault(&self) -> Option<dewramp::fault_injection::InjectedFault> {
        let name = self.planted.as_ref()?;
        let found = dewramp::fault_injection::InjectedFault::ALL
            .iter()
            .find(|b| b.0 == name);
        found.map(|b| b.1)
    }

    /// How many machines there can be, over all pools.
    pub fn max_machines(&self) -> usize {
        self.pools.iter().map(|p| p.most).sum()
    }

    /// The same scenario with about that many machines. Work and teams' quotas scale with the machines. The budgets of
    /// state service and cloud scale with a fleet that grows, since both get requests for each job and machine; a
    /// fleet that shrinks keeps them. Processor time, the size of values and transactions, and delays stay.
    pub fn with_machines(mut self, machines: usize) -> Scenario {
        let scale = machines as f64 / self.max_machines().max(1) as f64;
        let scaled = |n: usize| (n as f64 * scale).round().max(f64::from(u8::from(n > 0))) as usize;
        for p in &mut self.pools {
            p.most = scaled(p.most);
            p.up = scaled(p.up).min(p.most);
        }
        for t in &mut self.teams {
            t.cpus *= scale;
            t.cpus_max *= scale;
        }
        for c in &mut self.classes {
            c.rate *= scale;
            c.initial = scaled(c.initial);
        }
        let grown = scale.max(1.0);
        self.state.rps *= grown;
        self.state.write_rps *= grown;
        self.state.kept = (self.state.kept as f64 * grown) as usize;
        self.cloud.rps *= grown;
        for fault in self.faults.iter_mut().filter(|f| f.whom.is_none()) {
            if fault.kind != FaultKind::NodeCrash {
                fault.count = fault.count.map(scaled);
            }
        }
        self
    }
}

/// Line and column of the byte at an offset.
fn line_and_column(text: &str, at: usize) -> String {
    let before = &text[..at.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    format!("line {line}, column {column}")
}

/// The offset in the text of the `n`th fault.
fn fault_offset(text: &str, n: usize) -> Option<usize> {
    #[derive(Deserialize)]
    struct Failures {
        failures: Vec<toml::Spanned<toml::Value>>,
    }
    let found: Failures = toml::from_str(text).ok()?;
    Some(found.failures.get(n)?.span().start)
}
