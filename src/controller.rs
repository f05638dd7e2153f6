//! One controller node: routes requests, wires the actors, and, while it leads, drives jobs,
//! workers and machines. No I/O here: inputs and the time go in, outputs come out.

mod capacity;
mod chains;
mod events;
mod format;
mod inspection;
mod saving;
mod submission;
mod takeover;
mod users;

use crate::clock::{MILLI, Micros, Now, SECOND, from_secs};
use crate::cloud::{Cloud, News, Offer};
use crate::jobs::{
    Ending, Final, FinalCache, Job, LIVE, Progress, Record, STOPPING, Table, final_body, live_body,
    live_key, over_key, stopping_key,
};
use crate::layout::{
    self, CONTROLLERS, FORMAT, FORMAT_KEY, Layout, PIECES, StoredFormat, Understood,
    controller_key, piece_key, split_piece,
};
use crate::leadership::{Change, LEADER_KEY, Leadership, Step};
use crate::net::{ConnId, Input, Outcome, Output, Ticket};
use crate::pipelines::{Pipelines, latest_start};
use crate::roll::{Ask, ROLL, Roll, Written};
use crate::scheduler::{Scheduler, never_runs};
use crate::settings::{Peer, Properties, Settings};
use crate::store::{Item, Op, Rank, Reply, Store, Txn, raw};
use crate::wire::{
    JobSpec, KIND_DELIVER, KIND_INSPECT, KIND_PROGRESS, KIND_REPORT, KIND_USER, Priority,
    ProgressRow, Report, valid_uid,
};
use crate::workers::{Event, State, TaskKey, What, Workers};
use rangemap::RangeSet;
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use submission::Submission;
use zerocopy::IntoBytes;

/// A user gets an answer at once, also when it is that we can't tell: little patience.
const USER_PATIENCE: Micros = 200 * MILLI;
/// Polls of a moment are asked together.
const POLL_BATCH: Micros = 20 * MILLI;
/// A poll waits this long for the budget; users give a poll 2 s.
const POLL_PATIENCE: Micros = 1_200 * MILLI;
/// The leader's word on how far jobs are, and for how long it is good: a shown state may be up
/// to 3 s old.
const TELL_EVERY: Micros = 900 * MILLI;
const COUNTS_FRESH: Micros = 2_500 * MILLI;
/// So many others must have said a moment ago that they can serve users for the leader not to.
/// With two, both of which crashed at once, users had no node at all until the load balancer
/// took the leader back.
const SERVING_ENOUGH: usize = 3;
const SERVING_FRESH: Micros = 3 * SECOND;
/// Without a leader's word for longer than that, what is stored is shown.
const COUNTS_KEPT: Micros = 60 * SECOND;
const LEADER_PATIENCE: Micros = SECOND;
/// From here on, connection numbers stand for requests that came through another controller.
const VIA_PEER: ConnId = 1 << 63;
const RELAY_TIME: Micros = 1_500 * MILLI;
/// Events of a few milliseconds are placed together.
const BATCH: Micros = 3 * MILLI;
/// What a pass of the scheduler may cost is kept a small share of the time.
const PLACE_PER_MACHINE: Micros = 30;
const SAVE_PER_JOB: Micros = 30;
const SAVE_SCAN: Micros = 100 * MILLI;
const SAVE_AFTER: Micros = 1_500 * MILLI;
/// What only says how far a job is waits this long at most for changes to be left over.
const SAVE_AT_LAST: Micros = 20 * SECOND;
const SAVES_WAITING: usize = 2;
const CAPACITY_EVERY: Micros = 400 * MILLI;
const CAPACITY_PER_MACHINE: Micros = MILLI;
const MAX_TXN_BYTES: usize = 56 * 1024;
const CANCEL_TRIES: u32 = 8;
const FINALS_KEPT: usize = 4096;
/// With no job at all, rented machines are returned after this long.
const ALL_IDLE: Micros = 30 * SECOND;
/// A machine that answers nobody for this long is returned, if it can be replaced.
const SILENT_RETURN: Micros = 8 * SECOND;
/// `tick` is asked for four times a second; a gap this long is worth a line for those on call.
const STALL: Micros = SECOND;
/// A leader that hears no machine for this long, and two report periods, lets another lead; it
/// then rests for a while, longer each time.
const DEAF: Micros = 10 * SECOND;
const REST_FIRST: Micros = 5 * SECOND;
const REST_MAX: Micros = 60 * SECOND;

#[derive(Clone, Debug)]
struct SaveItem {
    number: u32,
    over: bool,
    done: RangeSet<u32>,
    starts: Vec<(Arc<str>, TaskKey, u64)>,
    /// How many pieces belong to the head written.
    pieces: usize,
    /// The time of day that a final state written gives.
    ended: Micros,
}

/// Why something was asked of the state service.
enum For {
    Lead(Step),
    /// To see whether the state service answers again.
    Probe,
    Accept {
        conn: ConnId,
        uid: Arc<str>,
    },
    Known {
        conn: ConnId,
        uid: Arc<str>,
        over: bool,
    },
    Poll {
        conn: ConnId,
        uid: Arc<str>,
        over: bool,
    },
    /// Whether jobs that were asked about are still live.
    Check {
        polls: Vec<(ConnId, Arc<str>)>,
    },
    CancelRead {
        conn: ConnId,
        uid: Arc<str>,
        over: bool,
        tries: u32,
    },
    CancelWrite {
        conn: ConnId,
        uid: Arc<str>,
        tries: u32,
        body: Value,
    },
    InspectJob {
        conn: ConnId,
        uid: Arc<str>,
        over: bool,
    },
    Load {
        term: u64,
        what: &'static str,
    },
    WatchJobs {
        term: u64,
    },
    Save {
        term: u64,
        items: Vec<SaveItem>,
    },
    Reread {
        term: u64,
        uid: Arc<str>,
        over: bool,
    },
    Roll {
        term: u64,
        key: String,
        written: Vec<(Arc<str>, Option<Micros>)>,
    },
    RollRead {
        term: u64,
        key: String,
    },
    RollGone {
        term: u64,
        key: String,
    },
    /// What is stored as the format, and what this node has said that it understands.
    Format,
    Registered,
    Register,
    /// What all controllers have said that they understand.
    Understood {
        term: u64,
    },
    Raise {
        term: u64,
    },
    /// A job that a submission names.
    Need {
        submission: u64,
        uid: Arc<str>,
        over: bool,
    },
    AcceptAfter {
        submission: u64,
        cancelled: bool,
    },
    /// Whether a submission to be refused is of a job that was accepted before.
    Refuse {
        conn: ConnId,
        uid: Arc<str>,
        over: bool,
        reason: String,
    },
    /// How a job ended that others wait for.
    Look {
        term: u64,
        uid: Arc<str>,
    },
    /// Jobs that end because one that they need was cancelled, with that one.
    Cascade {
        term: u64,
        items: Vec<(Arc<str>, Arc<str>)>,
    },
    /// Pieces that may belong to nothing.
    Leftovers {
        term: u64,
    },
    Sweep,
    Forget {
        term: u64,
        uid: Arc<str>,
    },
}

impl For {
    fn rank(&self) -> Rank {
        match self {
            For::Lead(_) => Rank::Vital,
            For::Accept { .. }
            | For::Known { .. }
            | For::Need { .. }
            | For::AcceptAfter { .. }
            | For::Refuse { .. }
            | For::Look { .. }
            | For::Cascade { .. }
            | For::CancelRead { .. }
            | For::CancelWrite { .. } => Rank::User,
            For::Probe
            | For::Format
            | For::Registered
            | For::Leftovers { .. }
            | For::Poll { .. }
            | For::Check { .. }
            | For::InspectJob { .. } => Rank::Look,
            _ => Rank::Leader,
        }
    }
}

/// What exists only while this node leads.
struct Led {
    term: u64,
    stamp: u64,
    table: Table,
    pipelines: Pipelines,
    /// Jobs that are to be ended since one that they need was cancelled, and that one.
    doomed: VecDeque<(Arc<str>, Arc<str>)>,
    workers: Workers,
    scheduler: Scheduler,
    roll: Roll,
    /// Stamp of the stored format number.
    format_stamp: u64,
    /// What the controllers say that they understand, and when that is asked next.
    understood: BTreeMap<String, Understood>,
    understood_at: Micros,
    sweep_at: Micros,
    /// Something stored could not be read: until all that ran then is surely over, nothing is
    /// free to start.
    held_until: Micros,
    loaded: Option<Loaded>,
    jobs_epoch: u64,
    watching: bool,
    watch_at: Micros,
    place_at: Option<Micros>,
    /// The next pass is not before this: passes cost more the more machines there are.
    place_from: Micros,
    save_at: Micros,
    save_soon: bool,
    capacity_at: Micros,
    upkeep_at: Micros,
    hired: BTreeSet<Arc<str>>,
    /// Machines that the waiting work would fill, by offer, the cheapest first.
    wanted: Vec<(Offer, u32)>,
    took_at: Micros,
    /// When there last was a job.
    busy_at: Micros,
    /// Since when this node has been entitled to act without a break.
    valid_since: Micros,
    tell_at: Micros,
}

#[derive(Default)]
struct Loaded {
    live: Vec<Item>,
    stopping: Vec<Item>,
    roll: Vec<Item>,
    pieces: Vec<Item>,
    format: Vec<Item>,
}

/// A user's request, kept until it is answered: another controller may be able to answer it.
struct Asked {
    method: &'static str,
    path: String,
    body: Vec<u8>,
}

enum Relay {
    User {
        conn: ConnId,
        peer: SocketAddr,
    },
    Report {
        conn: ConnId,
    },
    Delivery {
        conn: ConnId,
        ticket: Ticket,
    },
    Inspect {
        conn: ConnId,
    },
    /// What the leader knows of a job's pipeline, to be told beside what is stored.
    Chain {
        conn: ConnId,
        body: Value,
    },
    /// The leader's word on how far jobs are; a 200 says that the peer can serve users.
    Told {
        peer: SocketAddr,
    },
}

pub struct Node {
    settings: Settings,
    props: Properties,
    seed: u64,
    now: Now,
    tickets: Ticket,
    store: Store<For>,
    lead: Leadership,
    cloud: Cloud,
    finals: FinalCache,
    /// How far live jobs are, as the leader last told.
    progress: Progress,
    progress_at: Micros,
    /// Polls that wait to be asked together, and since when.
    polls: Vec<(ConnId, Arc<str>, Micros)>,
    polls_at: Micros,
    asked: HashMap<ConnId, Asked>,
    /// Requests that came through another controller stand in the place of connections.
    via_peer: HashMap<ConnId, (ConnId, Ticket)>,
    next_via: ConnId,
    /// Controllers that could not answer for us a moment ago.
    helpless_until: HashMap<SocketAddr, Micros>,
    next_helper: usize,
    /// The leader by its own word to us, for when the state service doesn't tell.
    hint: Option<(String, Micros)>,
    led: Option<Led>,
    /// The times that `tick` came far too late: the process was stopped, or short of processor.
    stalls: u64,
    last_stall: Micros,
    /// How long this node last left leading to the others.
    rest: Micros,
    /// When the load balancer last asked whether this node is up.
    probed_at: Micros,
    /// When the other controllers last said that they can serve users.
    serving: HashMap<SocketAddr, Micros>,
    relays: HashMap<Ticket, Relay>,
    link_bad_until: HashMap<SocketAddr, Micros>,
    /// Submissions that wait for what is known of the jobs that they name.
    submissions: HashMap<u64, Submission>,
    next_submission: u64,
    /// The stored format, as far as this node knows; 0 before it was read.
    format: u32,
    format_at: Micros,
    registered: bool,
    /// The state service has shown that the limits to come hold already.
    small: bool,
    slow: bool,
    fatal: Option<String>,
    out: Vec<Output>,
}

impl Node {
    /// `run` tells this run of the process from all others.
    pub fn new(settings: Settings, props: Properties, run: u64) -> Self {
        let s = &settings.settings;
        Self {
            store: Store::new(
                settings.endpoints.state,
                s.state.rps,
                s.state.write_rps,
                settings.others.len() + 1,
            ),
            lead: Leadership::new(&settings.label, run, props.leader_ttl),
            cloud: Cloud::new(settings.endpoints.cloud, &settings.label, run, s.cloud.rps),
            finals: FinalCache::new(FINALS_KEPT),
            progress: Progress::default(),
            progress_at: 0,
            polls: Vec::new(),
            polls_at: Micros::MAX,
            seed: if props.seed == 0 { run } else { props.seed },
            asked: HashMap::new(),
            via_peer: HashMap::new(),
            next_via: VIA_PEER,
            helpless_until: HashMap::new(),
            next_helper: 0,
            hint: None,
            led: None,
            stalls: 0,
            last_stall: 0,
            rest: 0,
            probed_at: 0,
            serving: HashMap::new(),
            relays: HashMap::new(),
            link_bad_until: HashMap::new(),
            submissions: HashMap::new(),
            next_submission: 0,
            format: 0,
            format_at: 0,
            registered: false,
            small: false,
            slow: false,
            fatal: None,
            out: Vec::new(),
            now: Now::default(),
            tickets: 0,
            settings,
            props,
        }
    }

    /// The earliest time at which `tick` has something to do.
    pub fn wake_at(&self) -> Micros {
        let now = self.now.steady;
        let mut at = (now + 250 * MILLI).min(self.polls_at.max(now + MILLI));
        at = at.min(self.lead.wake_at().max(now + MILLI));
        at = at.min(self.cloud.wake_at(self.leads()).max(now + MILLI));
        if let Some(t) = self.store.wake_at() {
            at = at.min(t.max(now + MILLI));
        }
        if let Some(led) = &self.led {
            if let Some(t) = led.place_at {
                at = at.min(t.max(led.place_from));
            }
            if led.save_soon {
                at = at.min(led.save_at.max(now + MILLI));
            }
            at = at.min(led.workers.wake_at(now).max(now + MILLI));
        }
        at
    }

    /// Whether this node may act as leader now.
    pub fn leads(&self) -> bool {
        self.led.as_ref().is_some_and(|l| l.loaded.is_none()) && self.lead.valid(self.now.steady)
    }

    fn set_now(&mut self, now: Now) {
        let gap = now.steady.saturating_sub(self.now.steady);
        if self.now.steady > 0 && gap > STALL {
            self.stalls += 1;
            self.last_stall = gap;
            log::warn!("this node stood still for {} ms", gap / MILLI);
        }
        self.now = now;
    }

    pub fn handle(&mut self, now: Now, input: Input) {
        self.set_now(now);
        match input {
            Input::Request {
                conn,
                method,
                path,
                body,
            } => self.request(conn, &method, &path, &body),
            Input::PeerRequest {
                conn,
                ticket,
                kind,
                patience,
                addr,
                body,
            } => {
                self.peer_request(conn, ticket, kind, patience, &addr, body);
            }
            Input::Outcome { ticket, outcome } => self.outcome(ticket, &outcome),
        }
    }

    /// Does what is due and hands out what is to be sent.
    pub fn tick(&mut self, now: Now) -> Vec<Output> {
        self.set_now(now);
        let t = now.steady;
        for (step, op) in self.lead.tick(t) {
            self.store.ask(t, For::Lead(step), Rank::Vital, op, SECOND);
        }
        if self.store.wants_probe(t) {
            self.ask(For::Probe, Op::Get(LEADER_KEY.to_owned()), USER_PATIENCE);
        }
        self.tick_format();
        let leads = self.leads();
        self.cloud.tick(t, leads, &mut self.tickets, &mut self.out);
        self.drive();
        self.check_polls();
        // Twice: what ran out of patience may lead to new questions.
        for _ in 0..2 {
            for (purpose, reply) in self.store.pump(t, &mut self.tickets, &mut self.out) {
                self.stored(purpose, reply, t);
            }
        }
        std::mem::take(&mut self.out)
    }

    fn ask(&mut self, purpose: For, op: Op, patience: Micros) {
        let rank = purpose.rank();
        self.store.ask(self.now.steady, purpose, rank, op, patience);
    }

    fn respond(&mut self, conn: ConnId, status: u16, body: &Value) {
        self.asked.remove(&conn);
        if let Some((conn, ticket)) = self.via_peer.remove(&conn) {
            let body = body.to_string().into_bytes();
            return self.out.push(Output::PeerRespond {
                conn,
                ticket,
                outcome: Outcome::Reply { status, body },
            });
        }
        let retry_after = (status == 503).then_some(1);
        self.out.push(Output::Respond {
            conn,
            status,
            body: body.to_string().into_bytes(),
            retry_after,
        });
    }

    fn error(&mut self, conn: ConnId, status: u16, reason: &str) {
        if log::log_enabled!(log::Level::Debug) {
            let what = self.asked.get(&conn).map_or("", |a| a.method);
            log::debug!("answering {what} with {status}: {reason}");
        }
        self.respond(conn, status, &json!({"error": reason}));
    }

    fn checkin(&mut self, conn: ConnId, body: &[u8]) {
        if self.leads() {
            match serde_json::from_slice::<Report>(body) {
                Ok(report) => match self.take_report(&report, None) {
                    Some(answer) => {
                        self.out.push(Output::Respond {
                            conn,
                            status: 200,
                            body: answer,
                            retry_after: None,
                        });
                    }
                    None => self.error(conn, 503, "this machine has been returned"),
                },
                Err(e) => self.error(conn, 400, &format!("report: {e}")),
            }
            return;
        }
        let Some(leader) = self.leader_label() else {
            return self.error(conn, 503, "no leader at the moment");
        };
        let Some(peer) = self
            .settings
            .others
            .iter()
            .find(|p| p.label == leader)
            .map(|p| p.endpoint)
        else {
            return self.error(conn, 503, "no leader at the moment");
        };
        if self
            .link_bad_until
            .get(&peer)
            .is_some_and(|t| *t > self.now.steady)
        {
            return self.misdirect(conn, &leader);
        }
        self.tickets += 1;
        let ticket = self.tickets;
        self.relays.insert(ticket, Relay::Report { conn });
        self.out.push(Output::PeerCall {
            ticket,
            dest: peer,
            kind: KIND_REPORT,
            addr: self.settings.label.clone(),
            body: body.to_vec(),
            timeout: RELAY_TIME,
        });
    }

    /// We can't reach the leader; another node may, so the worker is sent there.
    fn misdirect(&mut self, conn: ConnId, leader: &str) {
        let now = self.now.steady;
        let able = |p: &&Peer| {
            let until = self.link_bad_until.get(&p.endpoint);
            p.label != leader && until.is_none_or(|t| *t <= now)
        };
        let others: Vec<&Peer> = self.settings.others.iter().filter(able).collect();
        // By turns, so that not all workers crowd at one.
        self.next_helper += 1;
        let third = others.get(self.next_helper % others.len().max(1));
        let body = match third {
            Some(p) => json!({"boss": p.label}),
            None => json!({}),
        };
        self.respond(conn, 421, &body);
    }

    fn peer_request(
        &mut self,
        conn: ConnId,
        ticket: Ticket,
        kind: u16,
        patience: Micros,
        addr: &str,
        body: Vec<u8>,
    ) {
        match kind {
            KIND_REPORT => {
                let via = self
                    .settings
                    .others
                    .iter()
                    .find(|p| p.label == addr)
                    .map(|p| p.endpoint);
                let report = serde_json::from_slice::<Report>(&body);
                let outcome = match report {
                    _ if !self.leads() => Outcome::Reply {
                        status: 503,
                        body: b"{\"error\":\"not leading\"}".to_vec(),
                    },
                    Err(_) => Outcome::Reply {
                        status: 400,
                        body: b"{\"error\":\"report\"}".to_vec(),
                    },
                    Ok(report) => match self.take_report(&report, via) {
                        Some(body) => Outcome::Reply { status: 200, body },
                        None => Outcome::Reply {
                            status: 503,
                            body: b"{\"error\":\"returned\"}".to_vec(),
                        },
                    },
                };
                self.out.push(Output::PeerRespond {
                    conn,
                    ticket,
                    outcome,
                });
            }
            KIND_DELIVER => {
                let Ok(dest) = addr.parse() else {
                    return self.out.push(Output::PeerRespond {
                        conn,
                        ticket,
                        outcome: Outcome::NotSent,
                    });
                };
                self.tickets += 1;
                self.relays
                    .insert(self.tickets, Relay::Delivery { conn, ticket });
                let timeout = patience
                    .saturating_sub(patience / 4)
                    .clamp(100 * MILLI, 5 * SECOND);
                self.out.push(Output::Call {
                    ticket: self.tickets,
                    dest,
                    method: "POST",
                    path: "/commands".to_owned(),
                    body,
                    timeout,
                });
            }
            KIND_USER => {
                self.next_via += 1;
                let via = self.next_via;
                self.via_peer.insert(via, (conn, ticket));
                let (method, path) = addr.split_once(' ').unwrap_or((addr, ""));
                self.request(via, method, path, &body);
            }
            KIND_PROGRESS => {
                if !self.leads() {
                    self.hint = Some((addr.to_owned(), self.now.steady));
                }
                self.progress.replace(&body);
                self.progress_at = self.now.steady;
                // Only what is probed gets users: a node may be cut off from the load balancer.
                let probed = self.now.steady < self.probed_at + SERVING_FRESH;
                let serves = probed && !self.cloud.types.is_empty() && !self.store.failing();
                self.out.push(Output::PeerRespond {
                    conn,
                    ticket,
                    outcome: Outcome::Reply {
                        status: if serves { 200 } else { 503 },
                        body: Vec::new(),
                    },
                });
            }
            KIND_INSPECT => {
                let body = self.inspect_leader(&addr.split('/').collect::<Vec<_>>());
                let outcome = Outcome::Reply {
                    status: 200,
                    body: body.to_string().into_bytes(),
                };
                self.out.push(Output::PeerRespond {
                    conn,
                    ticket,
                    outcome,
                });
            }
            _ => self.out.push(Output::PeerRespond {
                conn,
                ticket,
                outcome: Outcome::NotSent,
            }),
        }
    }

    fn outcome(&mut self, ticket: Ticket, outcome: &Outcome) {
        let now = self.now.steady;
        if self.store.owns(ticket) {
            if let Some((purpose, reply, sent)) = self.store.answer(now, ticket, outcome) {
                self.stored(purpose, reply, sent);
            }
        } else if self.cloud.owns(ticket) {
            let news = self.cloud.outcome(now, ticket, outcome);
            self.cloud_news(news);
        } else if let Some(relay) = self.relays.remove(&ticket) {
            self.relayed(relay, outcome);
        } else if let Some(led) = &mut self.led
            && led.workers.owns(ticket)
        {
            led.workers.outcome(now, ticket, outcome, &mut led.table);
            self.take_events();
        }
    }

    fn relayed(&mut self, relay: Relay, outcome: &Outcome) {
        match relay {
            Relay::User { conn, peer } => match outcome {
                Outcome::Reply { status, body } if *status != 503 => {
                    self.out.push(Output::Respond {
                        conn,
                        status: *status,
                        body: body.clone(),
                        retry_after: None,
                    });
                }
                _ => {
                    let until = self.now.steady + SECOND;
                    self.helpless_until.insert(peer, until);
                    self.error(conn, 503, "the state service does not answer");
                }
            },
            Relay::Delivery { conn, ticket } => {
                self.out.push(Output::PeerRespond {
                    conn,
                    ticket,
                    outcome: outcome.clone(),
                });
            }
            Relay::Told { peer } => {
                if matches!(outcome, Outcome::Reply { status: 200, .. }) {
                    self.serving.insert(peer, self.now.steady);
                }
            }
            Relay::Chain { conn, mut body } => {
                let told = match outcome {
                    Outcome::Reply { status: 200, body } => serde_json::from_slice(body).ok(),
                    _ => None,
                };
                body["leader"] = told.unwrap_or_else(|| json!("the leader does not answer"));
                self.respond(conn, 200, &body);
            }
            Relay::Report { conn } | Relay::Inspect { conn } => match outcome {
                Outcome::Reply { status, body } => {
                    let retry_after = None;
                    self.out.push(Output::Respond {
                        conn,
                        status: *status,
                        body: body.clone(),
                        retry_after,
                    });
                }
                _ => {
                    let Some(leader) = self.leader_label() else {
                        return self.error(conn, 503, "no leader at the moment");
                    };
                    if let Some(p) = self.settings.others.iter().find(|p| p.label == leader) {
                        self.link_bad_until
                            .insert(p.endpoint, self.now.steady + 4 * SECOND);
                    }
                    self.misdirect(conn, &leader);
                }
            },
        }
    }

    // ---- answers of the state service -----------------------------------------------------

    fn stored(&mut self, purpose: For, reply: Reply, sent: Micros) {
        let now = self.now.steady;
        match purpose {
            For::Lead(step) => {
                let (ops, change) = self.lead.reply(now, step, reply, sent);
                for (step, op) in ops {
                    self.ask(For::Lead(step), op, SECOND);
                }
                match change {
                    Some(Change::Took { term, stamp }) => self.take_over(term, stamp),
                    Some(Change::Lost) => self.step_down(),
                    None => {}
                }
            }
            For::Accept { conn, uid } => match reply {
                Reply::Applied { .. } => {
                    self.progress.add(&uid);
                    self.respond(conn, 201, &json!({"uid": uid, "status": "pending"}));
                }
                Reply::Conflict { .. } => {
                    self.ask(
                        For::Known {
                            conn,
                            uid: uid.clone(),
                            over: false,
                        },
                        Op::Get(live_key(&uid)),
                        USER_PATIENCE,
                    );
                }
                Reply::Refused(reason) => {
                    log::error!("the state service refused job {uid}: {reason}");
                    self.error(conn, 503, "the state service refused the job");
                }
                _ => self.no_answer(conn),
            },
            For::Known { conn, uid, over } | For::Poll { conn, uid, over }
                if matches!(reply, Reply::Item(_)) =>
            {
                if let Reply::Item(item) = reply {
                    self.tell_state(conn, &uid, over, item);
                }
            }
            For::Known { conn, uid, over } => match reply {
                Reply::Absent if !over => {
                    self.ask(
                        For::Known {
                            conn,
                            uid: uid.clone(),
                            over: true,
                        },
                        Op::Get(over_key(&uid)),
                        USER_PATIENCE,
                    );
                }
                _ => self.no_answer(conn),
            },
            For::Poll { conn, uid, over } => match reply {
                Reply::Absent if over => self.error(conn, 404, "no such job"),
                // Live first, then over: a job moves only in that direction.
                Reply::Absent => {
                    self.ask(
                        For::Poll {
                            conn,
                            uid: uid.clone(),
                            over: true,
                        },
                        Op::Get(over_key(&uid)),
                        USER_PATIENCE,
                    );
                }
                _ => self.no_answer(conn),
            },
            For::Check { polls } => self.checked(polls, &reply),
            For::CancelRead {
                conn,
                uid,
                over,
                tries,
            } => self.cancel_read(conn, uid, over, tries, reply),
            For::CancelWrite {
                conn,
                uid,
                tries,
                body,
            } => match reply {
                Reply::Applied { .. } => {
                    self.finals.put(&uid, body.clone());
                    self.respond(conn, 200, &body);
                }
                Reply::Conflict { .. } if tries < CANCEL_TRIES => {
                    let again = For::CancelRead {
                        conn,
                        uid: uid.clone(),
                        over: false,
                        tries: tries + 1,
                    };
                    self.ask(again, Op::Get(live_key(&uid)), USER_PATIENCE);
                }
                _ => self.no_answer(conn),
            },
            For::InspectJob { conn, uid, over } => match reply {
                Reply::Item(item) => self.inspect_chain(
                    conn,
                    &uid,
                    json!({"key": item.path, "stamp": item.stamp, "record": item.value}),
                ),
                Reply::Absent if !over => {
                    self.ask(
                        For::InspectJob {
                            conn,
                            uid: uid.clone(),
                            over: true,
                        },
                        Op::Get(over_key(&uid)),
                        USER_PATIENCE,
                    );
                }
                Reply::Absent => self.error(conn, 404, "no such job"),
                _ => self.no_answer(conn),
            },
            For::Format => self.format_read(reply),
            For::Registered => self.register(reply),
            For::Register => self.registered = matches!(reply, Reply::Applied { .. }),
            For::Need {
                submission,
                uid,
                over,
            } => self.need_read(submission, uid, over, reply),
            For::AcceptAfter {
                submission,
                cancelled,
            } => self.accepted_after(submission, cancelled, reply),
            For::Refuse {
                conn,
                uid,
                over,
                reason,
            } => self.refuse(conn, uid, over, reason, reply),
            For::Understood { term } if self.is_term(term) => self.understood(reply),
            For::Raise { term } if self.is_term(term) => self.raised(&reply),
            For::Look { term, uid } if self.is_term(term) => self.looked(&uid, reply),
            For::Cascade { term, items } if self.is_term(term) => self.cascaded(items, &reply),
            For::Leftovers { term } if self.is_term(term) => self.sweep(reply),
            For::RollGone { term, key } if self.is_term(term) => {
                let result = Self::how_written(&key, &reply);
                let Some(led) = &mut self.led else { return };
                led.roll.deleted(&key, &result, &mut led.workers);
            }
            For::Load { term, what } if self.is_term(term) => self.load(what, reply),
            For::WatchJobs { term } if self.is_term(term) => self.watched(reply),
            For::Save { term, items } if self.is_term(term) => self.saved(items, reply),
            For::Reread { term, uid, over } if self.is_term(term) => self.reread(&uid, over, reply),
            For::Roll { term, key, written } if self.is_term(term) => {
                let result = Self::how_written(&key, &reply);
                let Some(led) = &mut self.led else { return };
                led.roll
                    .written(now, &key, written, &result, &mut led.workers);
                led.place_at = led.place_at.or(Some(now));
            }
            For::RollRead { term, key } if self.is_term(term) => {
                let Some(led) = &mut self.led else { return };
                let stamp = match reply {
                    Reply::Item(item) => Some(item.stamp),
                    Reply::Absent => Some(0),
                    _ => None,
                };
                led.roll.read(now, &key, stamp);
            }
            For::Forget { term, uid } if self.is_term(term) => {
                let Some(led) = &mut self.led else { return };
                if matches!(reply, Reply::Applied { .. }) {
                    led.table.remove(&uid);
                } else if let Some(job) = led.table.get_mut(&uid) {
                    job.saving = false;
                }
            }
            // Of a term that is over.
            _ => {}
        }
    }

    fn how_written(key: &String, reply: &Reply) -> Written {
        match reply {
            Reply::Applied { epoch } => Written::Applied(*epoch),
            Reply::Unavailable => Written::Not,
            Reply::Conflict { failed } if !failed.contains(key) => Written::Not,
            _ => Written::Unknown,
        }
    }

    fn is_term(&self, term: u64) -> bool {
        self.led.as_ref().is_some_and(|l| l.term == term)
    }

    // ---- the leader's work ----------------------------------------------------------------

    fn drive(&mut self) {
        let now = self.now;
        let t = now.steady;
        let valid = self.lead.valid(t);
        let Some(led) = &mut self.led else { return };
        if led.loaded.is_some() {
            return;
        }
        if !led.watching && t >= led.watch_at {
            led.watching = true;
            let (term, from) = (led.term, led.jobs_epoch);
            self.store.ask(
                t,
                For::WatchJobs { term },
                Rank::Leader,
                Op::Watch {
                    prefix: LIVE,
                    from,
                    block: 20 * SECOND,
                },
                SECOND,
            );
        }
        if !valid {
            led.valid_since = t;
            return;
        }
        if t >= led.upkeep_at {
            led.upkeep_at = t + 250 * MILLI;
            if self.resign_when_deaf() {
                return;
            }
            self.upkeep();
        }
        self.take_events();
        self.ask_looks();
        self.cascade();
        let Some(led) = &mut self.led else { return };
        if led.place_at.is_some_and(|p| p <= t)
            && t >= led.place_from.max(led.held_until)
            && !self.cloud.types.is_empty()
        {
            led.place_at = None;
            led.place_from = t + PLACE_PER_MACHINE * led.workers.machines.len() as Micros;
            let placed = led.scheduler.place(
                t,
                now.wall,
                &mut led.table,
                &mut led.workers,
                &self.cloud.types,
                &self.settings,
            );
            led.save_soon |= !placed.is_empty();
            for p in &placed {
                if let Some(j) = led.table.by_number.get(&p.key.job) {
                    log::debug!(
                        "{}/{} try {} goes to {}",
                        j.spec.uid,
                        p.key.part,
                        p.attempt,
                        p.machine
                    );
                }
            }
        }
        self.take_events();
        let Some(led) = &mut self.led else { return };
        if t >= led.save_at && (led.save_soon || t >= led.save_at + SAVE_SCAN) {
            led.save_soon = false;
            led.save_at = t + SAVE_PER_JOB * led.table.by_number.len() as Micros;
            self.flush_saves();
        }
        let Some(led) = &mut self.led else { return };
        led.workers.flush(t, &mut self.tickets, &mut self.out);
    }

    /// What is due a few times a second.
    fn upkeep(&mut self) {
        let t = self.now.steady;
        let Some(led) = &mut self.led else { return };
        led.workers.expire(t);
        led.workers.mark_quiet(self.now, led.valid_since);
        if led.scheduler.tick(t, &self.cloud.types) {
            Self::log_round(led, &self.cloud, t);
            let used: BTreeSet<u32> = led
                .workers
                .machines
                .values()
                .flat_map(|m| m.tasks.keys().map(|k| k.0.job))
                .collect();
            led.table.prune(|n| used.contains(&n));
        }
        for job in led.table.by_number.values().filter(|j| j.cancelled) {
            Self::halt_all(&mut led.workers, job);
            Self::reap_all(&mut led.workers, job);
        }
        self.take_events();
        self.forget_stopped();
        self.tell_progress();
        self.drain();
        self.enroll();
        self.watch_formats();
        let Some(led) = &mut self.led else { return };
        if t >= led.capacity_at {
            led.capacity_at =
                t + CAPACITY_EVERY.max(CAPACITY_PER_MACHINE * led.workers.machines.len() as Micros);
            self.manage_capacity();
        } else {
            self.rent_next();
        }
        let Some(led) = &mut self.led else { return };
        led.place_at = led.place_at.or(Some(t + BATCH));
    }

    /// One line a round on where the cores are: the first look when work waits.
    fn log_round(led: &Led, cloud: &Cloud, t: Micros) {
        if !log::log_enabled!(log::Level::Info) {
            return;
        }
        let (mut all, mut out, mut running, mut fetching, mut stopping, mut unsure) =
            (0.0, 0.0, 0.0, 0.0, 0.0, 0.0);
        for m in led.workers.machines.values() {
            let cores = cloud.sku(&m.build).map_or(0.0, |s| s.cores);
            all += cores;
            if !m.usable(t, 10 * SECOND) {
                out += cores;
            }
            for (_, e) in m.holding() {
                let c = e.spec.as_ref().map_or(0.0, |s| s.cores);
                match e.state {
                    _ if e.halting() => stopping += c,
                    State::Running => running += c,
                    State::Ghost | State::Sent => unsure += c,
                    _ => fetching += c,
                }
            }
        }
        let mut waiting: BTreeMap<&str, u64> = BTreeMap::new();
        let jobs = led.table.by_number.values();
        for j in jobs.filter(|j| !j.cancelled && !j.waits()) {
            *waiting.entry(&j.spec.class).or_default() += j.pending_count;
        }
        log::info!(
            "cores: {all} in all, {out} out of use, {running} running, {fetching} fetching, \
             {stopping} stopping, {unsure} unsure; {} booting; {} jobs wait for others; tasks \
             waiting: {waiting:?}",
            cloud.booting.len(),
            led.pipelines.len()
        );
    }

    /// Cancelled jobs of which nothing can be on any machine any more.
    fn forget_stopped(&mut self) {
        let Some(led) = &mut self.led else { return };
        let (term, stamp) = (led.term, led.stamp);
        let gone: Vec<(Arc<str>, usize)> = led
            .table
            .by_number
            .values_mut()
            .filter(|j| j.cancelled && !j.saving && j.places.is_empty())
            .map(|j| {
                j.saving = true;
                (j.spec.uid.clone(), j.pieces)
            })
            .collect();
        let most = self.settings.settings.state.tightest().txn_ops;
        for (uid, pieces) in gone {
            let mut txn = Txn::default()
                .require(LEADER_KEY, stamp)
                .delete(stopping_key(&uid));
            // What doesn't fit is swept up later.
            for n in 0..pieces.min(most - 1) {
                txn = txn.delete(piece_key(&uid, n));
            }
            self.ask(For::Forget { term, uid }, Op::Txn(txn), LEADER_PATIENCE);
        }
    }

    /// Machines about to be taken: what can save does so in time, what can't finish moves now.
    fn drain(&mut self) {
        let t = self.now.steady;
        let Some(led) = &mut self.led else { return };
        let mut halts = Vec::new();
        for m in led.workers.machines.values() {
            let Some(until) = m.notice else { continue };
            let left = until.saturating_sub(t);
            for ((key, attempt), e) in m.holding() {
                let Some(spec) = &e.spec else { continue };
                if e.halting() {
                    continue;
                }
                if spec.saves() {
                    if left < from_secs(spec.save_s) + 5 * SECOND {
                        halts.push((m.id.clone(), *key, *attempt, spec.save_s.max(0.1)));
                    }
                } else {
                    let ran = e.running_since.map_or(0, |s| t.saturating_sub(s));
                    let need = led.scheduler.expected_run(spec).saturating_sub(ran);
                    if need > left {
                        halts.push((m.id.clone(), *key, *attempt, 0.0));
                    }
                }
            }
        }
        for (machine, key, attempt, grace) in halts {
            led.workers.halt(&machine, key, attempt, grace);
        }
        self.take_events();
    }

    /// Before its first start a machine stands in the stored roll.
    fn enroll(&mut self) {
        let now = self.now;
        let Some(led) = &mut self.led else { return };
        let (term, leader) = (led.term, led.stamp);
        for ask in led.roll.due(now, &mut led.workers, &led.hired) {
            match ask {
                Ask::Delete { key, stamp } => {
                    let txn = Txn::default()
                        .require(LEADER_KEY, leader)
                        .require(key.clone(), stamp)
                        .delete(key.clone());
                    let purpose = For::RollGone { term, key };
                    self.store.ask(
                        now.steady,
                        purpose,
                        Rank::Leader,
                        Op::Txn(txn),
                        LEADER_PATIENCE,
                    );
                }
                Ask::Read(key) => {
                    let purpose = For::RollRead {
                        term,
                        key: key.clone(),
                    };
                    self.store.ask(
                        now.steady,
                        purpose,
                        Rank::Leader,
                        Op::Get(key),
                        LEADER_PATIENCE,
                    );
                }
                Ask::Write {
                    key,
                    stamp,
                    value,
                    written,
                } => {
                    let txn = Txn::default()
                        .require(LEADER_KEY, leader)
                        .require(key.clone(), stamp)
                        .set_raw(key.clone(), value);
                    let purpose = For::Roll { term, key, written };
                    self.store.ask(
                        now.steady,
                        purpose,
                        Rank::Leader,
                        Op::Txn(txn),
                        LEADER_PATIENCE,
                    );
                }
            }
        }
    }

    /// How many machines were looked at so far: tests bound the work of an event by it.
    pub fn effort(&self) -> u64 {
        self.led
            .as_ref()
            .map_or(0, |l| l.workers.looked_at + l.scheduler.rooms.looked_at)
    }

    /// The live job as the leader holds it; for tests and the operators.
    pub fn job(&self, uid: &str) -> Option<&Job> {
        self.led.as_ref()?.table.get(uid)
    }
}

const OVER_PREFIX: &str = crate::jobs::OVER;
