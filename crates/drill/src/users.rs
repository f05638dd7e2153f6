//! Simulated users, as the operators describe them: they submit, retry, poll and cancel jobs, ask again long after
//! a job ended, and ask for jobs that nobody submitted.

use crate::network::Host;
use crate::scenario::{Fault, FaultKind, LogNormalParams};
use crate::world::{Caller, Event, MILLISECOND, Micros, Response, SECOND, World, micros};
use dewramp::seeded_hash::HashMap;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use serde::Deserialize;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// A request that a user sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UserAction {
    Submit,
    /// The same submission once more, long after it was accepted.
    Resubmit,
    Poll,
    Cancel,
    /// A poll long after the job ended.
    LatePoll,
    /// A cancellation long after the job ended.
    LateCancel,
}

/// For how long a user retries a submission or a cancellation.
const RETRY_WINDOW: Micros = 60 * SECOND;

/// A job as its user knows it, and what the simulated machines have done of it.
pub struct Job {
    pub uid: String,
    pub class: usize,
    pub team: usize,
    /// How many tasks it has.
    pub parts: u32,
    pub image: String,
    pub image_gb: f64,
    /// How often its tasks save their progress by themselves, and how long a save on a stop takes.
    pub checkpoint_s: f64,
    pub save_s: f64,
    /// All its tasks fail.
    pub mistaken: bool,
    /// The zone that it is bound to.
    pub zone: Option<usize>,
    /// All its tasks run in one zone.
    pub together: bool,
    /// No zone holds more than half of its tasks.
    pub apart: bool,
    /// Its tasks may run on spot machines.
    pub spot: bool,
    /// Seconds from submission.
    pub deadline_s: Option<f64>,
    /// The jobs that it depends on.
    pub waits_on: Vec<usize>,
    /// The pipeline that it belongs to.
    pipeline: Option<usize>,
    /// The body of its submission.
    body: String,
    run_s: f64,
    /// Run times of its tasks differ from `run_s` by up to this share.
    vary: f64,
    run_time_seed: u64,
    cancels_after: Option<Micros>,
    /// When its submission was first sent.
    pub submitted: Option<Micros>,
    pub accepted: Option<Micros>,
    /// When its cancellation was first sent.
    cancel_requested_at: Option<Micros>,
    /// Its user was told that it is done or cancelled.
    user_knows_end: bool,
    /// The tasks that completed, and the saved progress of others in seconds of run time.
    pub done: BTreeSet<u32>,
    pub progress: BTreeMap<u32, f64>,
}

impl Job {
    /// How long a task runs on a machine of normal speed; the same each time it is started.
    pub fn run_s(&self, part: u32) -> f64 {
        let mut rng = SmallRng::seed_from_u64(self.run_time_seed ^ u64::from(part));
        self.run_s * (1.0 + self.vary * rng.random_range(-1.0..1.0))
    }

    pub fn complete(&self) -> bool {
        self.done.len() as u32 == self.parts
    }

    /// Whether its user was told that it is done or cancelled.
    pub fn user_knows_end(&self) -> bool {
        self.user_knows_end
    }

    /// Whether its user has cancelled it or is going to.
    pub fn may_be_cancelled(&self) -> bool {
        self.cancels_after.is_some() || self.cancel_requested_at.is_some()
    }
}

/// A job and the jobs that its user submits behind it.
struct Pipeline {
    /// The jobs that depend on the first one.
    middle: Vec<usize>,
    /// Whether the job that depends on all of these was submitted.
    complete: bool,
}

/// All simulated users.
pub struct Users {
    pub jobs: Vec<Job>,
    pipelines: Vec<Pipeline>,
    by_uid: HashMap<String, usize>,
    /// Sizes in GB of the images of each class.
    images: Vec<Vec<f64>>,
    pub rng: SmallRng,
    /// Submissions that were not accepted within `RETRY_WINDOW`.
    pub given_up: u64,
    /// Submissions that were answered 400 or 422.
    pub refused: u64,
}

/// Draws from a log-normal distribution, bounded by its maximum.
fn draw(s: &LogNormalParams, rng: &mut SmallRng) -> f64 {
    let sigma = ((s.p95 / s.median.max(1e-9)).ln() / 1.645).max(1e-6);
    match LogNormal::new(s.median.max(1e-9).ln(), sigma) {
        Ok(d) => d.sample(rng).min(s.max),
        Err(_) => s.median,
    }
}

impl Users {
    pub fn new(rng: SmallRng) -> Self {
        Self {
            jobs: Vec::new(),
            pipelines: Vec::new(),
            by_uid: HashMap::default(),
            images: Vec::new(),
            rng,
            given_up: 0,
            refused: 0,
        }
    }

    pub fn find(&self, uid: &str) -> Option<usize> {
        self.by_uid.get(uid).copied()
    }
}

impl World {
    /// Draws the jobs that are there at the start, and schedules the later arrivals.
    pub fn schedule_users(&mut self) {
        for class in 0..self.scenario.classes.len() {
            let c = &self.scenario.classes[class];
            let (count, size, initial) = (c.images, c.image_gb, c.initial);
            let rng = &mut self.users.rng;
            let sizes = (0..count).map(|_| draw(&size, rng)).collect();
            self.users.images.push(sizes);
            for _ in 0..initial {
                let job = self.new_job(class, None);
                let at = self.users.rng.random_range(0..5 * SECOND);
                self.schedule_at(at, Event::UserStep(job, UserAction::Submit));
            }
            self.schedule_at(SECOND, Event::JobArrivals(class));
        }
        self.schedule_at(20 * SECOND, Event::PollUnknownJob);
    }

    /// Creates a job of a class. `behind` are the jobs that it depends on, if it is a later job of a pipeline.
    fn new_job(&mut self, class: usize, behind: Option<Vec<usize>>) -> usize {
        let n = self.users.jobs.len();
        let c = &self.scenario.classes[class];
        let rng = &mut self.users.rng;
        // Ids are not in the order of submission.
        let uid = format!("wk-{:06}", (n as u64 * 7_919 + 104_729) % 1_000_000);
        let teams: Vec<usize> = (0..self.scenario.teams.len())
            .filter(|t| c.teams.is_empty() || c.teams.contains(&self.scenario.teams[*t].name))
            .collect();
        let total: f64 = teams.iter().map(|t| self.scenario.teams[*t].weight).sum();
        let mut chance = rng.random::<f64>() * total;
        let drawn = teams.iter().find(|t| {
            chance -= self.scenario.teams[**t].weight;
            chance <= 0.0
        });
        let team = drawn.or(teams.last()).copied().unwrap_or(0);
        let parts = draw(&c.tasks, rng).round().max(1.0) as u32;
        // Images are used by Zipf's law, the first one most.
        let share = |k: usize| (k as f64 + 1.0).powf(-c.zipf);
        let total: f64 = (0..c.images).map(share).sum();
        let mut chance = rng.random::<f64>() * total;
        let drawn = (0..c.images).find(|k| {
            chance -= share(*k);
            chance <= 0.0
        });
        let image = drawn.unwrap_or(0);
        let run_s = draw(&c.run_s, rng).max(0.5);
        let guess = run_s * (1.0 + c.estimate_error * rng.random_range(-1.0..1.0));
        let mut odds = |share: f64| rng.random::<f64>() < share;
        let (mistaken, cancelled) = (odds(c.mistaken), odds(c.cancelled));
        let (pinned, together) = (odds(c.pinned), odds(c.together));
        let (apart, chained) = (odds(c.apart) && !together && !pinned, odds(c.chained));
        let zone = pinned.then(|| {
            let has = |p: &&crate::scenario::Pool| c.spot || !p.spot;
            let zones: Vec<&str> = self
                .scenario
                .pools
                .iter()
                .filter(has)
                .map(|p| p.zone.as_str())
                .collect();
            let name = zones.get(rng.random_range(0..zones.len().max(1)));
            self.scenario
                .fleet
                .zones
                .iter()
                .position(|z| Some(&z.as_str()) == name)
                .unwrap_or(0)
        });
        let earlier: Vec<usize> = (0..n)
            .rev()
            .take(20)
            .filter(|j| self.users.jobs[*j].accepted.is_some() && !self.users.jobs[*j].mistaken)
            .collect();
        let waits_on: Vec<usize> = match behind {
            Some(jobs) => jobs,
            None if chained && !earlier.is_empty() => {
                vec![earlier[rng.random_range(0..earlier.len())]]
            }
            None => Vec::new(),
        };
        let deadline_s = c.deadline.map(|(factor, plus)| guess * factor + plus);
        let needs: Vec<&str> = waits_on
            .iter()
            .map(|j| self.users.jobs[*j].uid.as_str())
            .collect();
        let (image, image_gb) = (
            format!("img-{class}-{image}"),
            self.users.images[class][image],
        );
        let urgency = format!("{:?}", c.urgency).to_lowercase();
        let mut spec = json!({
            "uid": uid, "herd": c.name, "owner": self.scenario.teams[team].name, "shape": "array", "urgency": urgency,
            "parts": parts, "cores": c.cores, "accelerators": 0.0, "memGb": c.memory_gb, "bundle": image,
            "sizeGb": image_gb, "builds": null, "paddock": zone.map(|z| self.scenario.fleet.zones[z].clone()),
            "together": together, "apart": apart, "loaners": c.spot, "guessS": guess, "markS": c.checkpoint_s,
            "stashS": c.save_s, "dueS": deadline_s});
        if !needs.is_empty() {
            spec["waitsOn"] = json!(needs);
        }
        let cancels_after = match (cancelled, mistaken) {
            (true, _) => Some(micros(run_s * rng.random_range(0.1..2.0)) + SECOND),
            (_, true) => Some(rng.random_range(30 * SECOND..60 * SECOND)),
            _ => None,
        };
        let job = Job {
            uid: uid.clone(),
            class,
            team,
            parts,
            image,
            image_gb,
            checkpoint_s: c.checkpoint_s,
            save_s: c.save_s,
            mistaken,
            zone,
            together,
            apart,
            spot: c.spot,
            deadline_s,
            waits_on,
            pipeline: None,
            body: spec.to_string(),
            run_s,
            vary: c.vary,
            run_time_seed: rng.random(),
            cancels_after,
            submitted: None,
            accepted: None,
            cancel_requested_at: None,
            user_knows_end: false,
            done: BTreeSet::new(),
            progress: BTreeMap::new(),
        };
        self.checker.register_job(&job, &self.scenario);
        self.users.by_uid.insert(uid, n);
        self.users.jobs.push(job);
        n
    }

    /// Submits the jobs of a class that arrive within the next 0.1 s.
    pub fn submit_arrivals(&mut self, class: usize) {
        let last = self.end.saturating_sub(micros(self.scenario.settle_s));
        if self.now >= last {
            return;
        }
        let c = &self.scenario.classes[class];
        let mut bursts = self.active_faults.iter().map(|n| &self.scenario.faults[*n]);
        let burst =
            bursts.find(|f| f.kind == FaultKind::JobBurst && f.class.as_ref() == Some(&c.name));
        let phase = self.now as f64 / 1e6 / c.period_s.max(1.0);
        let swing = 1.0 + c.swing * (phase * std::f64::consts::TAU).sin();
        let rate = c.rate * swing * burst.and_then(|f| f.factor).unwrap_or(1.0);
        // Arrivals are drawn for each 0.1 s, so that a burst starts and ends on time.
        // With thousands of machines several jobs can arrive within one such step.
        let expected = rate * 0.1;
        let more = self.users.rng.random::<f64>() < expected.fract();
        for _ in 0..expected as usize + usize::from(more) {
            let job = self.new_job(class, None);
            self.perform_user_action(job, UserAction::Submit);
        }
        self.schedule_after(100 * MILLISECOND, Event::JobArrivals(class));
    }

    /// Sends a user's request for a job, unless it is obsolete.
    pub fn perform_user_action(&mut self, job: usize, action: UserAction) {
        let now = self.now;
        let j = &mut self.users.jobs[job];
        let window_over = |from: Option<Micros>| from.is_some_and(|t| now > t + RETRY_WINDOW);
        match action {
            UserAction::Submit => {
                if window_over(j.submitted) {
                    self.users.given_up += 1;
                    return;
                }
                j.submitted = j.submitted.or(Some(now));
            }
            UserAction::Cancel => {
                if window_over(j.cancel_requested_at) || j.user_knows_end {
                    return;
                }
                j.cancel_requested_at = j.cancel_requested_at.or(Some(now));
                self.checker.cancel_requested(job);
            }
            UserAction::LateCancel => self.checker.cancel_requested(job),
            UserAction::Poll if j.user_knows_end => return,
            _ => {}
        }
        let j = &self.users.jobs[job];
        let (method, path, body, timeout) = match action {
            UserAction::Submit | UserAction::Resubmit => {
                ("POST", "/work".to_owned(), j.body.clone(), 5 * SECOND)
            }
            UserAction::Poll | UserAction::LatePoll => {
                ("GET", format!("/work/{}", j.uid), String::new(), 2 * SECOND)
            }
            UserAction::Cancel | UserAction::LateCancel => (
                "POST",
                format!("/work/{}/cancel", j.uid),
                String::new(),
                5 * SECOND,
            ),
        };
        let body = match self.tamper {
            Some(t) if !body.is_empty() => t.alter_submission(body),
            _ => body,
        };
        let sent = now;
        if self.tamper.is_some_and(|t| t.confirms_unsent(action)) {
            let answer = Response::new(200, r#"{"status":"cancelled"}"#);
            return self.user_answered(job, action, sent, Some(answer));
        }
        let from = Caller::User {
            job,
            step: action,
            sent,
        };
        if let Err(wait) = self.through_balancer(from, timeout, method, path, body) {
            self.retry_later(job, action, wait);
        }
    }

    /// Sends a request over a new connection to a node that the load balancer picks. On failure, returns after how
    /// long to retry.
    fn through_balancer(
        &mut self,
        from: Caller,
        timeout: Micros,
        method: &str,
        path: String,
        body: String,
    ) -> Result<(), Micros> {
        for _ in 0..3 {
            let Some(n) = self.balancer.pick_controller(self.now, &mut self.users.rng) else {
                break;
            };
            let (a, b) = (self.zone_of(Host::Users), self.zone_of(Host::Controller(n)));
            if self.network.is_partitioned(self.now, a, b) {
                self.balancer.connect_failed(self.now, n);
                return Err(500 * MILLISECOND);
            }
            if !self.controllers[n].is_running() {
                self.balancer.connect_failed(self.now, n);
                continue;
            }
            self.balancer.connection_opened(n);
            let request = World::http_request(method, path, body);
            self.send(from, Host::Controller(n), timeout, request);
            return Ok(());
        }
        Err(SECOND)
    }

    /// Repeats a user's request after `wait` and up to 200 ms of jitter.
    fn retry_later(&mut self, job: usize, action: UserAction, wait: Micros) {
        let spread = self.users.rng.random_range(0..200 * MILLISECOND);
        self.schedule_after(wait + spread, Event::UserStep(job, action));
    }

    /// A user's request is answered, or has failed (`None`): the user decides what to send next.
    pub fn user_answered(
        &mut self,
        job: usize,
        action: UserAction,
        sent: Micros,
        answer: Option<Response>,
    ) {
        #[derive(Deserialize)]
        struct JobAnswer {
            #[serde(default)]
            status: String,
        }
        let now = self.now;
        let (status, job_status, retry) = match &answer {
            Some(a) => {
                let parsed: Option<JobAnswer> = serde_json::from_slice(&a.body).ok();
                let job_status = parsed.map(|t| t.status).unwrap_or_default();
                (a.status, job_status, a.retry_after.unwrap_or(0))
            }
            None => (0, String::new(), 0),
        };
        let (status, job_status) = match self.tamper {
            Some(t) => t.alter_response(job, action, (status, &job_status)),
            None => (status, job_status.as_str()),
        };
        self.checker
            .request_answered(now, job, action, sent, (status, job_status), &self.users);
        let succeeded = matches!(status, 200 | 201);
        let newly_reported = match action {
            UserAction::Submit => self.users.jobs[job].accepted.is_none(),
            UserAction::Cancel => true,
            UserAction::Poll => matches!(job_status, "done" | "cancelled"),
            _ => false,
        };
        if succeeded && newly_reported && self.active_fault(FaultKind::CloseLooks).is_some() {
            self.query_all_controllers(job);
            self.schedule_after(3 * MILLISECOND, Event::PollAllControllers(job));
        }
        let retry = Micros::from(retry.clamp(1, 30)) * SECOND;
        let last_follow_up = self.end.saturating_sub(20 * SECOND);
        match action {
            UserAction::Submit if succeeded => {
                let first = self.users.jobs[job].accepted.is_none();
                self.users.jobs[job].accepted = self.users.jobs[job].accepted.or(Some(now));
                if !first {
                    return;
                }
                self.submit_followers(job);
                let rng = &mut self.users.rng;
                let (poll, chance) = (
                    rng.random_range(4 * SECOND..6 * SECOND),
                    rng.random::<f64>(),
                );
                let later = rng.random_range(10 * SECOND..120 * SECOND);
                self.schedule_after(poll, Event::UserStep(job, UserAction::Poll));
                if let Some(wait) = self.users.jobs[job].cancels_after {
                    self.schedule_after(wait, Event::UserStep(job, UserAction::Cancel));
                }
                if chance < 0.1 && now + later < last_follow_up {
                    self.schedule_after(later, Event::UserStep(job, UserAction::Resubmit));
                }
            }
            UserAction::Submit if matches!(status, 400 | 422) => self.users.refused += 1,
            UserAction::Submit | UserAction::Cancel if !succeeded => {
                self.retry_later(job, action, retry)
            }
            UserAction::Cancel => self.users.jobs[job].user_knows_end = true,
            UserAction::Poll if succeeded && matches!(job_status, "done" | "cancelled") => {
                self.users.jobs[job].user_knows_end = true;
                let rng = &mut self.users.rng;
                let (chance, later) = (
                    rng.random::<f64>(),
                    rng.random_range(5 * SECOND..60 * SECOND),
                );
                let action = if chance < 0.15 {
                    UserAction::LatePoll
                } else {
                    UserAction::LateCancel
                };
                if chance < 0.25 && now + later < last_follow_up {
                    self.schedule_after(later, Event::UserStep(job, action));
                }
            }
            UserAction::Poll => {
                let storm = self
                    .active_fault(FaultKind::PollStorm)
                    .and_then(|f| f.factor);
                let pause = 5.0 / storm.unwrap_or(1.0);
                let pause = micros(pause * self.users.rng.random_range(0.8..1.2));
                self.schedule_after(pause, Event::UserStep(job, UserAction::Poll));
            }
            // Whatever final state was reported, it must still be reported a while later.
            UserAction::LateCancel if now + 3 * SECOND < self.end => {
                self.schedule_after(2 * SECOND, Event::UserStep(job, UserAction::LatePoll));
            }
            _ => {}
        }
    }

    /// Submits the next jobs of the pipeline of a job that was just accepted, if it is the first of one or completes
    /// the middle of one.
    fn submit_followers(&mut self, job: usize) {
        let j = &self.users.jobs[job];
        let (class, followers) = (j.class, self.scenario.classes[j.class].followers);
        let Some(pipeline) = j.pipeline else {
            if followers == 0 || j.mistaken {
                return;
            }
            let pipeline = self.users.pipelines.len();
            self.users.jobs[job].pipeline = Some(pipeline);
            let middle: Vec<usize> = (0..followers)
                .map(|_| self.new_follower(class, pipeline, vec![job]))
                .collect();
            self.users.pipelines.push(Pipeline {
                middle: middle.clone(),
                complete: false,
            });
            for follower in middle {
                self.perform_user_action(follower, UserAction::Submit);
            }
            return;
        };
        let Pipeline { middle, complete } = &self.users.pipelines[pipeline];
        let accepted = |n: &usize| self.users.jobs[*n].accepted.is_some();
        if !complete && middle.iter().all(accepted) {
            let middle = middle.clone();
            self.users.pipelines[pipeline].complete = true;
            let last = self.new_follower(class, pipeline, middle);
            self.perform_user_action(last, UserAction::Submit);
        }
    }

    /// Creates a later job of a pipeline. Its user cancels, if at all, the first job.
    fn new_follower(&mut self, class: usize, pipeline: usize, behind: Vec<usize>) -> usize {
        let n = self.new_job(class, Some(behind));
        let job = &mut self.users.jobs[n];
        (job.pipeline, job.cancels_after, job.mistaken) = (Some(pipeline), None, false);
        n
    }

    /// Users cancel running jobs that are far from their end, all within 0.2 s; some of the machines of these jobs
    /// hang, if the fault says so.
    pub fn cancel_running_jobs(&mut self, f: &Fault) {
        let mut running: Vec<(usize, usize)> = Vec::new();
        for (m, machine) in self.machines.iter().enumerate() {
            let on = machine.tasks.iter().filter(|t| t.is_executing());
            let long = on.filter(|t| t.transition_at > self.now + 10 * SECOND);
            running.extend(long.map(|t| (t.job, m)));
        }
        running.retain(|(job, _)| {
            let j = &self.users.jobs[*job];
            let chosen = !f.with_followers || (j.pipeline.is_some() && j.waits_on.is_empty());
            chosen && !j.user_knows_end && j.cancel_requested_at.is_none() && !j.mistaken
        });
        running.shuffle(&mut self.users.rng);
        let mut jobs: Vec<usize> = Vec::new();
        let mut hung: Vec<usize> = Vec::new();
        for (job, m) in running {
            if jobs.contains(&job) || jobs.len() >= f.count.unwrap_or(1) {
                continue;
            }
            jobs.push(job);
            if hung.len() < 8 && !hung.contains(&m) {
                hung.push(m);
            }
            let at = self.users.rng.random_range(0..200 * MILLISECOND);
            self.schedule_after(at, Event::UserStep(job, UserAction::Cancel));
        }
        if let Some(hang_s) = f.hang_s {
            let until = self.now + micros(hang_s);
            hung.into_iter().for_each(|m| self.hang_machine(m, until));
        }
    }

    /// The last task of a job has just ended: its user may cancel the job at that moment.
    pub fn cancel_at_end(&mut self, job: usize) {
        let share = self
            .active_fault(FaultKind::CancelAtEnd)
            .and_then(|f| f.share);
        let j = &self.users.jobs[job];
        if j.user_knows_end || j.cancel_requested_at.is_some() || j.accepted.is_none() {
            return;
        }
        if share.is_some_and(|share| self.users.rng.random::<f64>() < share) {
            let at = self.users.rng.random_range(0..20 * MILLISECOND);
            self.schedule_after(at, Event::UserStep(job, UserAction::Cancel));
        }
    }

    /// Polls and resubmits a job at each controller: what its user was just told has to hold at all of them.
    pub fn query_all_controllers(&mut self, job: usize) {
        for n in 0..self.controllers.len() {
            if !self.controllers[n].is_running() {
                continue;
            }
            for action in [UserAction::LatePoll, UserAction::Resubmit] {
                let j = &self.users.jobs[job];
                let (method, path, body) = match action {
                    UserAction::Resubmit => ("POST", "/work".to_owned(), j.body.clone()),
                    _ => ("GET", format!("/work/{}", j.uid), String::new()),
                };
                self.balancer.connection_opened(n);
                let from = Caller::User {
                    job,
                    step: action,
                    sent: self.now,
                };
                let request = World::http_request(method, path, body);
                self.send(from, Host::Controller(n), 2 * SECOND, request);
            }
        }
    }

    /// Sends a submission that must be refused, or a repeated request for a known job; and another one soon, until
    /// the given time.
    pub fn send_invalid_request(&mut self, until: Micros) {
        if self.now >= until {
            return;
        }
        let known: Vec<usize> = (0..self.users.jobs.len())
            .filter(|j| self.users.jobs[*j].accepted.is_some())
            .collect();
        let rng = &mut self.users.rng;
        let chance = rng.random_range(0..4);
        if chance < 2 && !known.is_empty() {
            let job = known[rng.random_range(0..known.len())];
            let done = self.users.jobs[job].user_knows_end && self.users.jobs[job].complete();
            let action = if done {
                UserAction::LateCancel
            } else {
                UserAction::Resubmit
            };
            self.perform_user_action(job, action);
        } else {
            let number = rng.random_range(0..1_000_000);
            let team = &self.scenario.teams[0].name;
            let mut spec = json!({
                "uid": format!("wk-odd{number:06}"), "herd": self.scenario.classes[0].name, "owner": team,
                "shape": "array", "urgency": "normal", "parts": 1, "cores": 1.0, "accelerators": 0.0, "memGb": 1.0,
                "bundle": "img-odd", "sizeGb": 0.1, "builds": null, "paddock": null, "together": false,
                "apart": false, "loaners": true, "guessS": 5.0, "markS": 0.0, "stashS": 0.0, "dueS": null});
            match rng.random_range(0..6) {
                0 => spec["cores"] = json!(1e6),
                1 => spec["memGb"] = json!(1e6),
                2 => spec["builds"] = json!(["none-such"]),
                3 => spec["owner"] = json!("none-such"),
                4 => spec["paddock"] = json!("none-such"),
                _ => {
                    let fields: Vec<String> = spec
                        .as_object()
                        .map(|s| s.keys().cloned().collect())
                        .unwrap_or_default();
                    let needed: Vec<&String> = fields
                        .iter()
                        .filter(|f| !["builds", "paddock", "dueS", "uid"].contains(&f.as_str()))
                        .collect();
                    let gone = needed[rng.random_range(0..needed.len())].clone();
                    spec.as_object_mut().map(|s| s.remove(&gone));
                }
            }
            let body = spec.to_string();
            let _ = self.through_balancer(
                Caller::InvalidSubmission,
                5 * SECOND,
                "POST",
                "/work".to_owned(),
                body,
            );
        }
        let wait = self.users.rng.random_range(300 * MILLISECOND..SECOND);
        self.schedule_after(wait, Event::SubmitInvalidJob(until));
    }

    /// Called once a second: tells the checker for each job whether no task of it is on a machine although one could
    /// start now.
    pub fn check_waiting_jobs(&mut self) {
        let tasks = self.machines.iter().flat_map(|m| &m.tasks);
        let held: BTreeSet<usize> = tasks
            .filter(|t| t.holds_resources())
            .map(|t| t.job)
            .collect();
        for job in 0..self.users.jobs.len() {
            let j = &self.users.jobs[job];
            let waits = j.accepted.is_some()
                && !j.complete()
                && !j.mistaken
                && !held.contains(&job)
                && j.waits_on
                    .iter()
                    .all(|n| self.users.jobs[*n].user_knows_end && self.users.jobs[*n].complete());
            let startable = waits && self.has_room(job);
            self.checker
                .update_waiting(self.now, job, startable, &self.users);
        }
    }

    /// Whether a healthy machine has room for a task of the job, and the job's team is under its limit.
    fn has_room(&self, job: usize) -> bool {
        let j = &self.users.jobs[job];
        let c = &self.scenario.classes[j.class];
        let limit = self.scenario.teams[j.team].cpus_max;
        let held = self.machines.iter().flat_map(|m| &m.tasks);
        let held = held.filter(|t| t.holds_resources() && self.users.jobs[t.job].team == j.team);
        let used: f64 = held.map(|t| t.cores).sum();
        if limit > 0.0 && used + c.cores > limit + 1e-6 {
            return false;
        }
        self.machines.iter().any(|m| {
            let pool = &self.scenario.pools[m.pool];
            let t = &self.scenario.types[m.machine_type];
            let taken = m.tasks.iter().filter(|t| t.holds_resources());
            let (cores, memory) =
                taken.fold((0.0, 0.0), |(c, g), t| (c + t.cores, g + t.memory_gb));
            let healthy = m.phase == crate::machine::Phase::Up
                && m.reclaim.is_none()
                && self.now
                    >= m.hung_until
                        .max(m.inbound_partitioned_until)
                        .max(m.outbound_partitioned_until)
                        .max(m.tasks_fail_until)
                && m.up_at.is_some_and(|at| self.now > at + 10 * SECOND);
            healthy
                && (j.spot || !pool.spot)
                && j.zone.is_none_or(|z| z == m.zone)
                && cores + c.cores <= t.cores + 1e-6
                && memory + c.memory_gb <= t.memory_gb + 1e-6
        })
    }

    /// Polls a job that nobody submitted.
    pub fn query_unknown_job(&mut self) {
        let number = self.users.rng.random_range(0..1_000_000);
        let path = format!("/work/wk-x{number:06}");
        let _ = self.through_balancer(
            Caller::UnknownJobPoll,
            2 * SECOND,
            "GET",
            path,
            String::new(),
        );
        self.schedule_after(20 * SECOND, Event::PollUnknownJob);
    }

    /// Sends the load balancer's health probe to a controller, every second.
    pub fn probe_controller(&mut self, n: usize) {
        let request = World::http_request("GET", "/up", String::new());
        self.send(Caller::HealthProbe(n), Host::Controller(n), SECOND, request);
        self.schedule_after(SECOND, Event::HealthProbe(n));
    }
}
