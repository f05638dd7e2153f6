//! A day as data: the deployment, its work, and what fails when. Read from and written as TOML.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Why a day can't be read or played; the text names the place and the way out.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct ScenarioError(pub String);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    pub name: String,
    pub seed: u64,
    pub duration_s: f64,
    /// Nobody submits in the last seconds, so that what was accepted can still be done.
    pub settle_s: f64,
    /// Jobs submitted before that don't count for the aims.
    pub warmup_s: f64,
    /// A bug that is planted in the service, by its name in `dewramp::fault_injection`.
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
    pub failures: Vec<Failure>,
    /// The operators' own settings.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub properties: BTreeMap<String, String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    pub controllers: usize,
    pub zones: Vec<String>,
    /// Of a core, for each controller; 0: processor time costs nothing.
    pub cpu_share: f64,
    pub restart_s: f64,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    /// Steady clocks run up to this share fast.
    pub drift: f64,
    /// The time of day stays within this of true time.
    pub clock_off_ms: f64,
    /// Spot machines taken in an hour, as a share, the notice they get, and the share without.
    pub taken_per_hour: f64,
    pub notice_s: f64,
    pub silent: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StateService {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub latency_ms: f64,
    /// How many changes watches can go back.
    pub kept: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CloudService {
    pub rps: f64,
    pub latency_ms: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    pub same_zone_ms: f64,
    pub cross_zone_ms: f64,
    pub jitter: f64,
    pub loss: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineType {
    pub name: String,
    pub cores: f64,
    pub memory_gb: f64,
    /// An hour, ordinary and spot.
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    #[serde(default)]
    pub boot_fail: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
}

/// Machines of one type, zone and kind: how many are up at the start, and how many there can be.
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    pub name: String,
    #[serde(default = "one")]
    pub weight: f64,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
}

/// Median, 95th percentile and bound of a log-normal draw.
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobClass {
    pub name: String,
    pub urgency: Urgency,
    /// Jobs a second, and at the start.
    pub rate: f64,
    #[serde(default)]
    pub initial: usize,
    /// The rate goes up and down by this share, over that period.
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
    /// How unevenly its images are used; 0: all alike.
    #[serde(default)]
    pub zipf: f64,
    pub image_gb: LogNormalParams,
    #[serde(default)]
    pub spot: bool,
    #[serde(default)]
    pub checkpoint_s: f64,
    #[serde(default)]
    pub save_s: f64,
    #[serde(default)]
    pub estimate_error: f64,
    /// Shares of its jobs: cancelled while they run, all of whose tasks fail, bound to one zone,
    /// with all tasks in one zone, spread over zones, waiting for an earlier job.
    #[serde(default)]
    pub cancelled: f64,
    #[serde(default)]
    pub mistaken: f64,
    #[serde(default)]
    pub pinned: f64,
    #[serde(default)]
    pub together: f64,
    #[serde(default)]
    pub apart: f64,
    #[serde(default)]
    pub chained: f64,
    /// The deadline: estimate times factor, plus seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<(f64, f64)>,
    /// The teams that submit it; all, if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectiveKind {
    /// Tasks started within some seconds.
    Wait,
    /// Jobs done within some seconds.
    Finished,
    /// Jobs done within so many times their deadline.
    Deadline,
    /// Submissions accepted within some seconds.
    Submit,
}

/// What the users expect; `share` is only shown.
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

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// Controllers end and come back.
    NodeCrash,
    /// A controller ends while a transaction that it sent has no answer yet.
    NodeEndsAsking,
    /// Controllers end in order: told so, they let the lead go first.
    NodeLeaves,
    /// All controllers, one after the other.
    NodeRoll,
    /// A controller stands still while its clocks run on; `inside`: after it has read its clock
    /// and before it sends what it decided.
    NodeFreeze,
    /// A controller is cut off, from one side or from all.
    NodeCut,
    PeersRefuse,
    /// A zone, or that of a controller, works by itself.
    ZoneCut,
    ZonesApart,
    StateOutage,
    StateSlow,
    /// The state service refuses one controller.
    StateRefuses,
    /// A share of transactions gets no answer; half of those are executed `late_s` later, and the others, or
    /// with `at_once` all, at once.
    StateLoses,
    /// Watches can't go back.
    StateForgets,
    /// Watches of a controller are never answered, as on connections that are gone unnoticed; all else is.
    WatchesHang,
    /// What a controller follows becomes wrong in one stamp.
    MirrorSpoiled,
    CloudOutage,
    CloudFull,
    /// Rentals and returns get no answer and are executed when it is over.
    CloudLate,
    BootsSlow,
    /// Machines are up within two seconds of their rental.
    BootsEarly,
    MachineCut,
    MachineHang,
    MachineDie,
    MachineSick,
    MachineSlow,
    /// A share of the answers to direct commands is lost.
    AnswersLost,
    /// Reports of these machines arrive; answers and direct commands to them don't.
    MachineDeaf,
    /// Reports of these machines reach no controller; direct commands reach them.
    MachineMute,
    /// A copy of a share of the reports arrives again, from 2 s to three leases later; `for_next`: at every
    /// controller just as a new leader begins.
    LateReports,
    SpotTaken,
    JobBurst,
    PollStorm,
    /// Users call off so many jobs that run and have long to go; `hang_s`: up to eight of their machines hang.
    CancelNow,
    /// A share of the jobs that end is called off at the moment of the end.
    CancelAtEnd,
    /// Users ask at all controllers right after they were told that a job is accepted, done or cancelled.
    CloseLooks,
    /// Users repeat submissions, cancel what is done, and submit what can't run or lacks a field.
    OddRequests,
}

/// A controller by what it does at that moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureTarget {
    Leader,
    /// One that does not lead.
    Standby,
    /// The holder of a duty; as long as the leader does all duties, the leader.
    Holder,
    Any,
    All,
    /// Those that the last failure of controllers hit.
    Again,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutSide {
    All,
    State,
    Workers,
    Peers,
    Users,
    Cloud,
}

/// What a cut does with packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutMode {
    /// Delivered in order when it is over.
    Hold,
    Lose,
    /// Connections are reset.
    Reset,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    pub at_s: f64,
    pub kind: FailureKind,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub for_s: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub whom: Option<FailureTarget>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<usize>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub other_zone: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<CutSide>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mode: Option<CutMode>,
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
}

impl Failure {
    pub fn new(at_s: f64, kind: FailureKind) -> Self {
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
        }
    }

    pub fn with_duration(mut self, for_s: f64) -> Self {
        self.for_s = Some(for_s);
        self
    }

    pub fn with_target(mut self, whom: FailureTarget) -> Self {
        self.whom = Some(whom);
        self
    }

    /// What it lacks, if anything.
    fn missing_field(&self) -> Option<&'static str> {
        use FailureKind::*;
        let lasting = !matches!(
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
        if lasting && self.for_s.is_none() {
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
            StateLoses | AnswersLost | SpotTaken | LateReports | CancelAtEnd
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

/// The day that is played when none is named.
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
            failures: Vec::new(),
            properties: BTreeMap::new(),
        }
    }
}

impl Scenario {
    /// The day that the program plays when it is given none.
    pub fn example() -> Result<Scenario, ScenarioError> {
        Self::parse(EXAMPLE)
    }

    /// Reads and checks a day; the error names line and column.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let day: Scenario = toml::from_str(text).map_err(|e| {
            let at = e.span().map_or(0, |s| s.start);
            ScenarioError(format!("{}: {}", line_and_column(text, at), e.message()))
        })?;
        day.validate().map_err(|(failure, reason)| {
            let at = failure.and_then(|n| failure_offset(text, n));
            let at = at.map_or(String::new(), |at| {
                format!("{}: ", line_and_column(text, at))
            });
            ScenarioError(format!("{at}{reason}"))
        })?;
        Ok(day)
    }

    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// The number of the failure to blame, if it is one, and what is wrong.
    fn validate(&self) -> Result<(), (Option<usize>, String)> {
        let bad = |text: String| Err((None, text));
        if !(1..=200).contains(&self.fleet.controllers) {
            return bad("fleet.controllers: expected 1 to 200".to_owned());
        }
        if self.fleet.zones.is_empty() {
            return bad("fleet.zones: expected at least one zone".to_owned());
        }
        if self.teams.is_empty() || self.classes.is_empty() || self.types.is_empty() {
            return bad("a day needs teams, classes and types".to_owned());
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
        for (n, f) in self.failures.iter().enumerate() {
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

    /// When the last of its failures is over.
    pub fn last_failure_end_s(&self) -> f64 {
        let over = |f: &Failure| {
            let again = f.every_s.unwrap_or(0.0) * self.fleet.controllers as f64;
            let copies = f.kind == FailureKind::LateReports && !f.for_next;
            let copies = f64::from(u8::from(copies)) * 3.0 * self.fleet.lease_s;
            let late = f
                .late_s
                .unwrap_or(0.0)
                .max(f.hang_s.unwrap_or(0.0))
                .max(copies);
            f.at_s + f.for_s.unwrap_or(0.0) + again + late + self.fleet.restart_s
        };
        self.failures.iter().map(over).fold(0.0, f64::max)
    }

    pub fn injected_fault(&self) -> Option<dewramp::fault_injection::InjectedFault> {
        let name = self.planted.as_ref()?;
        let found = dewramp::fault_injection::InjectedFault::ALL
            .iter()
            .find(|b| b.0 == name);
        found.map(|b| b.1)
    }

    /// Machines that there can be, over all pools.
    pub fn max_machines(&self) -> usize {
        self.pools.iter().map(|p| p.most).sum()
    }

    /// The same day with about that many machines. The work and the teams' shares go with them, and with a fleet
    /// that grows the budgets of state service and cloud, since both are asked for each job and machine; a day that
    /// is cut down keeps its budgets. Processor time, the size of values and transactions, delays stay.
    pub fn with_machines(mut self, machines: usize) -> Scenario {
        let by = machines as f64 / self.max_machines().max(1) as f64;
        let scaled = |n: usize| (n as f64 * by).round().max(f64::from(u8::from(n > 0))) as usize;
        for p in &mut self.pools {
            p.most = scaled(p.most);
            p.up = scaled(p.up).min(p.most);
        }
        for t in &mut self.teams {
            t.cpus *= by;
            t.cpus_max *= by;
        }
        for c in &mut self.classes {
            c.rate *= by;
            c.initial = scaled(c.initial);
        }
        let grown = by.max(1.0);
        self.state.rps *= grown;
        self.state.write_rps *= grown;
        self.state.kept = (self.state.kept as f64 * grown) as usize;
        self.cloud.rps *= grown;
        for count in self.failures.iter_mut().filter(|f| f.whom.is_none()) {
            if count.kind != FailureKind::NodeCrash {
                count.count = count.count.map(scaled);
            }
        }
        self
    }
}

/// Line and column of a byte.
fn line_and_column(text: &str, at: usize) -> String {
    let before = &text[..at.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    format!("line {line}, column {column}")
}

/// Where the `n`th failure stands.
fn failure_offset(text: &str, n: usize) -> Option<usize> {
    #[derive(Deserialize)]
    struct Failures {
        failures: Vec<toml::Spanned<toml::Value>>,
    }
    let found: Failures = toml::from_str(text).ok()?;
    Some(found.failures.get(n)?.span().start)
}
