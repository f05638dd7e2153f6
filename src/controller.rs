//! One controller node: routes requests, wires the actors, and, while it leads, drives jobs,
//! workers and machines. No I/O here: inputs and the time go in, outputs come out.

use crate::clock::{MILLI, Micros, Now, SECOND, from_secs};
use crate::cloud::{Cloud, News, Offer};
use crate::jobs::{
    Ending, Final, FinalCache, Job, LIVE, Progress, Record, STOPPING, Table, final_body, live_body,
    live_key, over_key, stopping_key,
};
use crate::leadership::{Change, LEADER_KEY, Leadership, Step};
use crate::net::{ConnId, Input, Outcome, Output, Ticket};
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
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use zerocopy::IntoBytes;

/// A user gets an answer at once, also when it is that we can't tell: little patience.
const USER_PATIENCE: Micros = 200 * MILLI;
/// Polls of a moment are asked together.
const POLL_BATCH: Micros = 20 * MILLI;
/// The leader's word on how far jobs are, and for how long it is good: a shown state may be up
/// to 3 s old.
const TELL_EVERY: Micros = 900 * MILLI;
const COUNTS_FRESH: Micros = 2_500 * MILLI;
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
/// Two different tasks failing in a row on a machine put it aside for this long, doubling.
const QUARANTINE: Micros = 45 * SECOND;

#[derive(Clone, Debug)]
struct SaveItem {
    number: u32,
    over: bool,
    done: RangeSet<u32>,
    starts: Vec<(Arc<str>, TaskKey, u64)>,
}

/// Why something was asked of the state service.
enum For {
    Lead(Step),
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
            | For::CancelRead { .. }
            | For::CancelWrite { .. } => Rank::User,
            For::Poll { .. } | For::Check { .. } | For::InspectJob { .. } => Rank::Look,
            _ => Rank::Leader,
        }
    }
}

/// What exists only while this node leads.
struct Led {
    term: u64,
    stamp: u64,
    table: Table,
    workers: Workers,
    scheduler: Scheduler,
    roll: Roll,
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
}

/// A user's request, kept until it is answered: another controller may be able to answer it.
struct Asked {
    method: &'static str,
    path: String,
    body: Vec<u8>,
}

enum Relay {
    User { conn: ConnId, peer: SocketAddr },
    Report { conn: ConnId },
    Delivery { conn: ConnId, ticket: Ticket },
    Inspect { conn: ConnId },
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
    /// Polls that wait to be asked together.
    polls: Vec<(ConnId, Arc<str>)>,
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
    relays: HashMap<Ticket, Relay>,
    link_bad_until: HashMap<SocketAddr, Micros>,
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
            relays: HashMap::new(),
            link_bad_until: HashMap::new(),
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

    pub fn handle(&mut self, now: Now, input: Input) {
        self.now = now;
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
        self.now = now;
        let t = now.steady;
        for (step, op) in self.lead.tick(t) {
            self.store.ask(t, For::Lead(step), Rank::Vital, op, SECOND);
        }
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
        self.respond(conn, status, &json!({"error": reason}));
    }

    /// The state service does not answer us, but may answer another controller: a single node
    /// can be refused or cut off from it while the others are served.
    fn no_answer(&mut self, conn: ConnId) {
        let asked = self.asked.remove(&conn);
        if let (Some(asked), Some(peer)) = (asked, self.helper()) {
            self.relay_user(conn, peer, asked);
        } else {
            self.error(conn, 503, "the state service does not answer");
        }
    }

    /// A controller that may answer for us: the leader, or else by turns.
    fn helper(&mut self) -> Option<SocketAddr> {
        let now = self.now.steady;
        let leader = self.leader_label();
        let able = |p: &&Peer| {
            let well = |until: Option<&Micros>| until.is_none_or(|t| *t <= now);
            well(self.link_bad_until.get(&p.endpoint)) && well(self.helpless_until.get(&p.endpoint))
        };
        let peers: Vec<&Peer> = self.settings.others.iter().filter(able).collect();
        let first = peers.iter().find(|p| Some(&p.label) == leader.as_ref());
        self.next_helper += 1;
        let any = peers.get(self.next_helper % peers.len().max(1));
        first.or(any).map(|p| p.endpoint)
    }

    fn relay_user(&mut self, conn: ConnId, peer: SocketAddr, asked: Asked) {
        self.tickets += 1;
        self.relays.insert(self.tickets, Relay::User { conn, peer });
        self.out.push(Output::PeerCall {
            ticket: self.tickets,
            dest: peer,
            kind: KIND_USER,
            addr: format!("{} {}", asked.method, asked.path),
            body: asked.body,
            timeout: RELAY_TIME,
        });
    }

    /// Notes a user's request; true when another controller answers it, since the state service
    /// has just failed us.
    fn passed_on(&mut self, conn: ConnId, method: &'static str, path: String, body: &[u8]) -> bool {
        if conn >= VIA_PEER {
            return false;
        }
        let body = body.to_vec();
        let asked = Asked { method, path, body };
        if self.store.troubled(self.now.steady)
            && let Some(peer) = self.helper()
        {
            self.relay_user(conn, peer, asked);
            return true;
        }
        self.asked.insert(conn, asked);
        false
    }

    /// The node that leads, by the state service or by its own recent word.
    fn leader_label(&self) -> Option<String> {
        let hint = self.hint.as_ref();
        let told = hint.filter(|h| self.now.steady < h.1 + COUNTS_FRESH);
        told.map(|h| h.0.clone())
            .or_else(|| self.lead.leader().map(|r| r.node.clone()))
    }

    // ---- requests -------------------------------------------------------------------------

    fn request(&mut self, conn: ConnId, method: &str, path: &str, body: &[u8]) {
        let path = path.split('?').next().unwrap_or("");
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            ("GET", ["up"]) => {
                if self.cloud.types.is_empty() {
                    self.error(conn, 503, "starting: the machine types are not known yet");
                } else {
                    self.respond(conn, 200, &json!({"up": true}));
                }
            }
            ("POST", ["work"]) => self.submit(conn, body),
            ("GET", ["work", uid]) => self.poll(conn, uid),
            ("POST", ["work", uid, "cancel"]) => self.cancel(conn, uid),
            ("POST", ["checkin"]) => self.checkin(conn, body),
            ("GET", ["inspect", rest @ ..]) => self.inspect(conn, rest),
            (
                _,
                ["up" | "work" | "checkin"] | ["work", _] | ["work", _, "cancel"] | ["inspect", ..],
            ) => {
                self.error(conn, 405, "method not allowed");
            }
            _ => self.error(conn, 404, "no such path"),
        }
    }

    /// Answers at once for a job that this node knows to be over; ends never change.
    fn answer_final(&mut self, conn: ConnId, uid: &str) -> bool {
        let Some(known) = self.finals.get(uid).cloned() else {
            return false;
        };
        self.respond(conn, 200, &known);
        true
    }

    fn submit(&mut self, conn: ConnId, body: &[u8]) {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(reason) => return self.error(conn, 400, &reason),
        };
        let uid = spec.uid.clone();
        if self.answer_final(conn, &uid) {
            return;
        }
        if self.cloud.types.is_empty() {
            return self.error(conn, 503, "the machine types are not known yet");
        }
        if let Some(reason) = never_runs(&spec, &self.cloud.types, &self.settings) {
            return self.error(conn, 422, &reason);
        }
        if self.passed_on(conn, "POST", "/work".to_owned(), body) {
            return;
        }
        let record = Record::new(spec, self.now.wall, &self.settings.label);
        let value = raw(&record);
        if value.get().len() as f64 > self.settings.settings.state.value_kb * 1024.0 * 0.75 {
            return self.error(conn, 400, "the description is too long to be stored");
        }
        let txn = Txn::default()
            .require(live_key(&uid), 0)
            .require(over_key(&uid), 0)
            .set_raw(live_key(&uid), value);
        self.ask(For::Accept { conn, uid }, Op::Txn(txn), USER_PATIENCE);
    }

    fn poll(&mut self, conn: ConnId, uid: &str) {
        if !valid_uid(uid) {
            return self.error(conn, 404, "no such job");
        }
        if self.answer_final(conn, uid) {
            return;
        }
        if self.passed_on(conn, "GET", format!("/work/{uid}"), &[]) {
            return;
        }
        // Always the store, never memory: another node may just have told the user of a cancel.
        // Whether a job is over can be asked for many at once, the rest is told by the leader.
        if self.counts(uid).is_some() {
            self.polls.push((conn, uid.into()));
            self.polls_at = self.polls_at.min(self.now.steady + POLL_BATCH);
            return;
        }
        self.ask_poll(conn, uid);
    }

    fn ask_poll(&mut self, conn: ConnId, uid: &str) {
        self.ask(
            For::Poll {
                conn,
                uid: uid.into(),
                over: false,
            },
            Op::Get(live_key(uid)),
            USER_PATIENCE,
        );
    }

    /// Tasks done and placed of a live job, as far as the leader's word is fresh.
    fn counts(&self, uid: &str) -> Option<(u64, u64)> {
        let fresh = |at: Micros| self.now.steady < at + COUNTS_FRESH;
        if self.leads() {
            let job = self.led.as_ref()?.table.get(uid)?;
            return Some((job.spec.tasks - job.remaining(), job.places.len() as u64));
        }
        self.progress.get(uid).filter(|_| fresh(self.progress_at))
    }

    /// Asks for all jobs polled in the last moment whether they are over.
    fn check_polls(&mut self) {
        if self.polls.is_empty() || self.now.steady < self.polls_at {
            return;
        }
        self.polls_at = Micros::MAX;
        let polls = std::mem::take(&mut self.polls);
        for chunk in polls.chunks(self.settings.settings.state.txn_ops.max(1) * 4) {
            let mut txn = Txn::default();
            let keys: BTreeSet<&str> = chunk.iter().map(|p| &*p.1).collect();
            for uid in keys {
                txn = txn.require(over_key(uid), 0);
            }
            let purpose = For::Check {
                polls: chunk.to_vec(),
            };
            self.ask(purpose, Op::Txn(txn), USER_PATIENCE);
        }
    }

    fn checked(&mut self, polls: Vec<(ConnId, Arc<str>)>, reply: &Reply) {
        let ended: Vec<&str> = match reply {
            Reply::Applied { .. } => Vec::new(),
            Reply::Conflict { failed } => failed
                .iter()
                .filter_map(|f| f.strip_prefix(OVER_PREFIX))
                .collect(),
            _ => {
                for (conn, _) in polls {
                    self.no_answer(conn);
                }
                return;
            }
        };
        for (conn, uid) in polls {
            if ended.contains(&&*uid) {
                let purpose = For::Poll {
                    conn,
                    uid: uid.clone(),
                    over: true,
                };
                self.ask(purpose, Op::Get(over_key(&uid)), USER_PATIENCE);
            } else if let Some((done, running)) = self.counts(&uid) {
                self.respond(conn, 200, &live_body(&uid, done, running));
            } else {
                self.ask_poll(conn, &uid);
            }
        }
    }

    /// Tells the other controllers how far the live jobs are, so that polls need not read them.
    fn tell_progress(&mut self) {
        let t = self.now.steady;
        let Some(led) = &mut self.led else { return };
        if t < led.tell_at {
            return;
        }
        led.tell_at = t + TELL_EVERY;
        let jobs = led.table.by_number.values().filter(|j| !j.cancelled);
        let rows = jobs.filter_map(|j| {
            let done = j.spec.tasks - j.remaining();
            ProgressRow::new(&j.spec.uid, done as u32, j.places.len() as u32)
        });
        let body = rows.collect::<Vec<_>>().as_bytes().to_vec();
        for peer in &self.settings.others {
            self.tickets += 1;
            self.out.push(Output::PeerCall {
                ticket: self.tickets,
                dest: peer.endpoint,
                kind: KIND_PROGRESS,
                addr: self.settings.label.clone(),
                body: body.clone(),
                timeout: SECOND,
            });
        }
    }

    fn cancel(&mut self, conn: ConnId, uid: &str) {
        if !valid_uid(uid) {
            return self.error(conn, 404, "no such job");
        }
        if self.answer_final(conn, uid) {
            return;
        }
        if self.passed_on(conn, "POST", format!("/work/{uid}/cancel"), &[]) {
            return;
        }
        self.ask(
            For::CancelRead {
                conn,
                uid: uid.into(),
                over: false,
                tries: 0,
            },
            Op::Get(live_key(uid)),
            USER_PATIENCE,
        );
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
                self.out.push(Output::PeerRespond {
                    conn,
                    ticket,
                    outcome: Outcome::Reply {
                        status: 200,
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
                    self.respond(conn, 201, &json!({"uid": uid, "status": "pending"}))
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
                Reply::Item(item) => self.respond(
                    conn,
                    200,
                    &json!({"key": item.path, "stamp": item.stamp, "record": item.value}),
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
            For::Load { term, what } if self.is_term(term) => self.load(what, reply),
            For::WatchJobs { term } if self.is_term(term) => self.watched(reply),
            For::Save { term, items } if self.is_term(term) => self.saved(items, reply),
            For::Reread { term, uid, over } if self.is_term(term) => self.reread(&uid, over, reply),
            For::Roll { term, key, written } if self.is_term(term) => {
                let result = match &reply {
                    Reply::Applied { epoch } => Written::Applied(*epoch),
                    Reply::Unavailable => Written::Not,
                    Reply::Conflict { failed } if !failed.contains(&key) => Written::Not,
                    _ => Written::Unknown,
                };
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

    fn is_term(&self, term: u64) -> bool {
        self.led.as_ref().is_some_and(|l| l.term == term)
    }

    fn tell_state(&mut self, conn: ConnId, uid: &str, over: bool, item: Item) {
        if over {
            match serde_json::from_str::<Final>(item.value.get()) {
                Ok(f) => {
                    let body = final_body(uid, &f);
                    self.finals.put(uid, body.clone());
                    self.respond(conn, 200, &body);
                }
                Err(_) => self.error(conn, 503, "the stored job can't be read"),
            }
        } else {
            match serde_json::from_str::<Record>(item.value.get()) {
                Ok(r) => self.respond(conn, 200, &r.status_body()),
                Err(_) => self.error(conn, 503, "the stored job can't be read"),
            }
        }
    }

    fn cancel_read(&mut self, conn: ConnId, uid: Arc<str>, over: bool, tries: u32, reply: Reply) {
        match reply {
            Reply::Item(item) if over => self.tell_state(conn, &uid, true, item),
            Reply::Item(item) => {
                let stamp = item.stamp;
                let Ok(record) = serde_json::from_str::<Record>(item.value.get()) else {
                    return self.error(conn, 503, "the stored job can't be read");
                };
                let end = record.finish("cancelled", self.now.wall);
                let body = final_body(&uid, &end);
                let mut txn = Txn::default()
                    .require(live_key(&uid), stamp)
                    .require(over_key(&uid), 0)
                    .delete(live_key(&uid))
                    .set(over_key(&uid), &end);
                // Its tasks may be on machines: the leader, also a later one, stops them and
                // counts them until they are gone.
                if !record.placed.is_empty() {
                    txn = txn.set_raw(stopping_key(&uid), item.value);
                }
                self.ask(
                    For::CancelWrite {
                        conn,
                        uid,
                        tries,
                        body,
                    },
                    Op::Txn(txn),
                    USER_PATIENCE,
                );
            }
            Reply::Absent if !over => {
                let again = For::CancelRead {
                    conn,
                    uid: uid.clone(),
                    over: true,
                    tries,
                };
                self.ask(again, Op::Get(over_key(&uid)), USER_PATIENCE);
            }
            Reply::Absent => self.error(conn, 404, "no such job"),
            _ => self.no_answer(conn),
        }
    }

    // ---- taking over ----------------------------------------------------------------------

    fn take_over(&mut self, term: u64, stamp: u64) {
        let now = self.now.steady;
        log::info!("leading with term {term}");
        self.store.set_leading(true);
        self.cloud.reset();
        let peers = self.settings.others.iter().map(|p| p.endpoint).collect();
        self.led = Some(Led {
            term,
            stamp,
            table: Table::default(),
            workers: Workers::new(
                term,
                now,
                self.settings.lease(),
                self.settings.report_period(),
                peers,
            ),
            scheduler: Scheduler::new(&self.props, &self.settings, self.seed ^ term, now),
            roll: Roll::new(self.settings.settings.state.value_kb),
            loaded: Some(Loaded::default()),
            jobs_epoch: 0,
            watching: false,
            watch_at: 0,
            place_at: None,
            place_from: now,
            save_at: now,
            save_soon: false,
            capacity_at: now + 2 * SECOND,
            upkeep_at: now,
            hired: BTreeSet::new(),
            took_at: now,
            busy_at: now,
            valid_since: now,
            tell_at: now,
        });
        self.ask_page(LIVE, String::new());
    }

    fn step_down(&mut self) {
        if self.led.take().is_some() {
            log::info!("no longer leading");
        }
        self.store.set_leading(false);
    }

    fn ask_page(&mut self, what: &'static str, after: String) {
        let Some(led) = &self.led else { return };
        let term = led.term;
        self.ask(
            For::Load { term, what },
            Op::List {
                prefix: what,
                after,
                limit: 500,
            },
            SECOND,
        );
    }

    fn load(&mut self, what: &'static str, reply: Reply) {
        let Some(loaded) = self.led.as_mut().and_then(|l| l.loaded.as_mut()) else {
            return;
        };
        let list = match what {
            LIVE => &mut loaded.live,
            STOPPING => &mut loaded.stopping,
            _ => &mut loaded.roll,
        };
        let Reply::Items {
            items,
            truncated,
            epoch,
        } = reply
        else {
            let after = list.last().map(|i| i.path.clone()).unwrap_or_default();
            return self.ask_page(what, after);
        };
        let first = list.is_empty();
        let after = items.last().map(|i| i.path.clone());
        list.extend(items);
        if what == LIVE && first {
            // The watch starts at the first page: changes while loading are told again.
            if let Some(led) = &mut self.led {
                led.jobs_epoch = epoch;
            }
        }
        match (truncated, after, what) {
            (true, Some(after), _) => self.ask_page(what, after),
            (_, _, LIVE) => self.ask_page(STOPPING, String::new()),
            (_, _, STOPPING) => self.ask_page(ROLL, String::new()),
            _ => self.finish_load(),
        }
    }

    fn finish_load(&mut self) {
        let now = self.now.steady;
        let Some(led) = &mut self.led else { return };
        let Some(loaded) = led.loaded.take() else {
            return;
        };
        for item in loaded.roll {
            let page = led.roll.load(&item.path, &item.value, item.stamp);
            for (id, r) in page.machines {
                led.workers
                    .add_from_roll(id.clone(), &r.addr, &r.sku, &r.zone, r.spot, now);
                if let Some(quiet) = r.quiet {
                    let bound = from_secs(self.settings.settings.time_bound_ms / 1000.0);
                    led.workers.load_quiet(&id, quiet, self.now, bound);
                }
                if let Some(m) = led.workers.machines.get_mut(&id) {
                    let images = r.images.iter().filter_map(|n| page.images.get(*n));
                    m.images.extend(images.map(|i| (i.clone(), (now, 0.0))));
                }
                if r.hired {
                    led.hired.insert(id);
                }
            }
        }
        let mut held = 0;
        for (items, cancelled) in [(loaded.live, false), (loaded.stopping, true)] {
            for item in items {
                let Ok(record) = serde_json::from_str::<Record>(item.value.get()) else {
                    log::error!("the stored job at {} can't be read", item.path);
                    continue;
                };
                held += Self::adopt(led, now, &record, item.stamp, cancelled);
            }
        }
        led.place_at = Some(now);
        log::info!(
            "term {}: {} jobs, {} machines on the roll, {held} placements to be confirmed",
            led.term,
            led.table.by_number.len(),
            led.workers.machines.len()
        );
    }

    /// Takes a stored job into the table; its stored placements are held until proven.
    fn adopt(led: &mut Led, now: Micros, record: &Record, stamp: u64, cancelled: bool) -> usize {
        let uid = record.spec.uid.clone();
        if let Some(job) = led.table.get_mut(&uid) {
            if job.stamp < stamp && !job.saving {
                job.stamp = stamp;
            }
            return 0;
        }
        let number = led.table.add(record, stamp);
        let mut held = 0;
        for (machine, parts) in &record.placed {
            for part in parts.iter().flat_map(|(a, b)| *a..*b) {
                let key = TaskKey { job: number, part };
                // A machine that is not on the roll was proven gone before it left the roll.
                if led.workers.add_ghost(machine, key, &record.spec, now)
                    && let Some(job) = led.table.by_number.get_mut(&number)
                {
                    job.place(part, machine, 0);
                    held += 1;
                }
            }
        }
        if let Some(job) = led.table.by_number.get_mut(&number) {
            job.cancelled = cancelled;
        }
        held
    }

    // ---- jobs in the leader's hands -------------------------------------------------------

    fn watched(&mut self, reply: Reply) {
        let now = self.now.steady;
        let Some(led) = &mut self.led else { return };
        led.watching = false;
        let (events, epoch) = match reply {
            Reply::Events { events, epoch } => (events, epoch),
            Reply::TooOld => {
                // Too much has changed unseen: start over as a fresh leader would, same term.
                log::info!("the watch fell behind; reading all jobs again");
                let (term, stamp) = (led.term, led.stamp);
                return self.take_over(term, stamp);
            }
            _ => {
                led.watch_at = now + 200 * MILLI;
                return;
            }
        };
        led.jobs_epoch = epoch;
        let mut cancelled = Vec::new();
        for e in events {
            let Some(uid) = e.path.strip_prefix(LIVE) else {
                continue;
            };
            match e.value {
                Some(value) => {
                    if led.table.get(uid).is_some() {
                        continue;
                    }
                    // A job that we have moved on already is told late.
                    if self.finals.get(uid).is_some() {
                        continue;
                    }
                    match serde_json::from_str::<Record>(value.get()) {
                        Ok(record) => {
                            log::info!(
                                "job {uid} accepted by {}: {} of {}, {} tasks, due {:?}",
                                record.node,
                                record.spec.class,
                                record.spec.team,
                                record.spec.tasks,
                                record.spec.deadline_s
                            );
                            Self::adopt(led, now, &record, e.stamp, false);
                        }
                        Err(error) => log::error!("job {uid} can't be read: {error}"),
                    }
                }
                None => cancelled.push((uid.to_owned(), e.stamp)),
            }
        }
        for (uid, stamp) in cancelled {
            if let Some(job) = led.table.get_mut(&uid)
                && stamp > job.stamp
                && !job.saving
            {
                Self::mark_cancelled(led, &uid);
            }
        }
        led.place_at = led.place_at.or(Some(now + BATCH));
        self.take_events();
    }

    /// Another node has ended the job for its user: no task of it may start or stay.
    fn mark_cancelled(led: &mut Led, uid: &str) {
        let Some(job) = led.table.get_mut(uid) else {
            return;
        };
        if !job.cancelled {
            log::info!("job {uid} was cancelled");
            job.cancelled = true;
            Self::halt_all(&mut led.workers, job);
        }
    }

    /// Stops whatever may be on machines of a job.
    fn halt_all(workers: &mut Workers, job: &Job) {
        for (part, at) in &job.places {
            let key = TaskKey {
                job: job.number,
                part: *part,
            };
            for (machine, attempt) in at {
                workers.halt(machine, key, *attempt, 0.0);
            }
        }
    }

    fn take_report(&mut self, report: &Report, via: Option<SocketAddr>) -> Option<Vec<u8>> {
        let now = self.now.steady;
        let led = self.led.as_mut()?;
        let answer = led.workers.report(now, report, via, &mut led.table);
        self.cloud.booting.remove(&report.host);
        self.take_events();
        answer
    }

    /// What the ledger learned, into the jobs.
    fn take_events(&mut self) {
        let now = self.now;
        let Some(led) = &mut self.led else { return };
        while !led.workers.events.is_empty() {
            for e in std::mem::take(&mut led.workers.events) {
                Self::task_event(led, &self.cloud, now, e);
            }
            led.place_at = led.place_at.or(Some(now.steady + BATCH));
        }
    }

    fn task_event(led: &mut Led, cloud: &Cloud, now: Now, e: Event) {
        let Some(job) = led.table.by_number.get_mut(&e.key.job) else {
            // The job is over: an ending of it is of no use to anybody.
            if matches!(e.what, What::Ended { .. }) {
                led.workers.allow_reap(&e.machine, e.key, e.attempt);
            }
            return;
        };
        let part = e.key.part;
        let spec = job.spec.clone();
        match e.what {
            What::Seen | What::Running => {
                log::debug!(
                    "{}/{part} try {} runs on {}",
                    spec.uid,
                    e.attempt,
                    e.machine
                );
                job.place(part, &e.machine, e.attempt);
                if job.cancelled || job.done.contains(&part) {
                    led.workers.halt(&e.machine, e.key, e.attempt, 0.0);
                }
                job.touch(now.steady);
            }
            What::Gone { why } => {
                job.unplace(part, &e.machine, e.attempt);
                if e.attempt != 0 {
                    log::info!(
                        "{}/{part} try {} left {}: {why}",
                        spec.uid,
                        e.attempt,
                        e.machine
                    );
                }
                if why != "withdrawn" {
                    job.note(Ending {
                        part,
                        machine: e.machine.to_string(),
                        cause: why.to_owned(),
                        at: now.wall,
                    });
                }
                job.touch(now.steady);
            }
            What::Ended { cause, saved, ran } => {
                job.note(Ending {
                    part,
                    machine: e.machine.to_string(),
                    cause: cause.clone(),
                    at: now.wall,
                });
                log::info!(
                    "{}/{part} try {} ended on {}: {cause} saved={saved} ran={}ms",
                    spec.uid,
                    e.attempt,
                    e.machine,
                    ran / MILLI
                );
                let done = cause == "done" && !job.cancelled;
                if done {
                    job.finish_part(part);
                } else if saved {
                    job.resumed.insert(part);
                }
                job.unplace(part, &e.machine, e.attempt);
                job.touch(now.steady);
                if done {
                    if job.stored_done.contains(&part) {
                        led.workers.allow_reap(&e.machine, e.key, e.attempt);
                    } else {
                        job.unreaped.push((e.machine.clone(), part, e.attempt));
                    }
                    job.pressing |= job.is_done();
                    led.save_soon |= job.pressing;
                    let others: Vec<_> = job.places.get(&part).cloned().unwrap_or_default();
                    for (machine, attempt) in others {
                        led.workers.halt(&machine, e.key, attempt, 0.0);
                    }
                } else {
                    // Nothing depends on this attempt any more, and its number is never reused.
                    led.workers.allow_reap(&e.machine, e.key, e.attempt);
                }
                Self::judge(led, cloud, now.steady, &e.machine, e.key, &cause, ran);
            }
        }
    }

    /// Tells machines that fail or slow everything from jobs that fail everywhere.
    fn judge(
        led: &mut Led,
        cloud: &Cloud,
        now: Micros,
        machine: &Arc<str>,
        key: TaskKey,
        cause: &str,
        ran: Micros,
    ) {
        let Some(job) = led.table.by_number.get_mut(&key.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(m) = led.workers.machines.get_mut(machine) else {
            return;
        };
        match cause {
            "done" => {
                m.error_streak = 0;
                if ran > 0 && !job.resumed.contains(&key.part) {
                    let ln = (ran as f64).ln();
                    if job.runs.1 > 0.0 {
                        // The fewer siblings, the less their mean says.
                        let weight = job.runs.1 / (job.runs.1 + 1.0);
                        m.pace.0 += weight * (ln - job.runs.0 / job.runs.1).clamp(-1.0, 1.0);
                        m.pace.1 += weight;
                    }
                    job.runs.0 += ln;
                    job.runs.1 += 1.0;
                    let ratio = ran as f64 / led.scheduler.expected_run(&spec) as f64;
                    m.slowness = 0.7 * m.slowness + 0.3 * ratio.clamp(0.2, 5.0);
                    if let Some(t) = cloud.sku(&m.build) {
                        let spot = m.spot;
                        led.scheduler.task_done(&spec, t, spot, ran);
                    }
                }
            }
            "error" => {
                *job.errors.entry(machine.clone()).or_default() += 1;
                let places = job.errors.len();
                if places >= 3 && job.done.is_empty() {
                    // It fails wherever it goes: the job's mistake. It waits longer and longer.
                    let total: u32 = job.errors.values().sum();
                    job.not_before = now + (SECOND << total.min(5)).min(30 * SECOND);
                } else {
                    m.error_streak += 1;
                    if m.error_streak >= 2 {
                        m.quarantines += 1;
                        m.quarantined_until = now + (QUARANTINE << (m.quarantines - 1).min(4));
                        log::info!("{machine} fails what it is given; no new tasks for a while");
                    }
                }
            }
            "no_room" => m.quarantined_until = m.quarantined_until.max(now + SECOND),
            "unknown" => job.not_before = now + 2 * SECOND,
            _ => {}
        }
    }

    /// Stores what changed of jobs: ends first, then starts that wait for it, in the order of
    /// priority, and what only says how far a job is when changes are left over.
    fn flush_saves(&mut self) {
        let now = self.now;
        let t = now.steady;
        let spare = self.store.spare_changes();
        let Some(led) = &mut self.led else { return };
        // While earlier writes wait, more comes together in each record.
        if self.store.waiting(Rank::Leader) >= SAVES_WAITING {
            led.save_soon = true;
            return;
        }
        let (term, stamp) = (led.term, led.stamp);
        let txn_ops = self.settings.settings.state.txn_ops;
        let most = ((self.store.change_rate() / 4.0) as usize).clamp(2, txn_ops.max(2));
        let value_max = self.settings.value_bytes();
        let mut due: Vec<(bool, bool, Priority, Reverse<Micros>, u32)> = Vec::new();
        for job in led.table.by_number.values() {
            if job.saving || job.reread || job.cancelled {
                continue;
            }
            let late = job.dirty.is_some_and(|d| t >= d + SAVE_AT_LAST);
            let lazy = job.dirty.is_some_and(|d| t >= d + SAVE_AFTER) && spare > most as f64;
            if job.pressing || late || lazy {
                let since = Reverse(job.dirty.unwrap_or(0));
                due.push((
                    job.pressing && job.is_done(),
                    job.pressing,
                    job.spec.priority,
                    since,
                    job.number,
                ));
            }
        }
        due.sort_unstable_by(|a, b| b.cmp(a));
        let mut batch: Option<(Txn, Vec<SaveItem>, usize)> = None;
        let mut asks = Vec::new();
        let mut left = spare.max(most as f64);
        for (.., number) in due {
            let Some(job) = led.table.by_number.get_mut(&number) else {
                continue;
            };
            if left <= 0.0 {
                led.save_soon = true;
                break;
            }
            let uid = job.spec.uid.clone();
            let mut record = job.record();
            let over = job.is_done();
            let mut value = if over {
                raw(&record.finish("done", now.wall))
            } else {
                raw(&record)
            };
            let mut size = value.get().len() + 400;
            if size > value_max && !over {
                // Endings are for display; the rest decides what may run.
                record.endings.clear();
                value = raw(&record);
                size = value.get().len() + 400;
            }
            let cost = if over { 2 } else { 1 };
            left -= cost as f64;
            if let Some((txn, _, bytes)) = &batch
                && (txn.changes.len() + cost > most || bytes + size > MAX_TXN_BYTES)
                && let Some(full) = batch.take()
            {
                asks.push(full);
            }
            let (txn, mut items, bytes) = batch
                .take()
                .unwrap_or_else(|| (Txn::default().require(LEADER_KEY, stamp), Vec::new(), 0));
            let mut txn = txn.require(live_key(&uid), job.stamp);
            txn = if over {
                txn.require(over_key(&uid), 0)
                    .delete(live_key(&uid))
                    .set_raw(over_key(&uid), value)
            } else {
                txn.set_raw(live_key(&uid), value)
            };
            items.push(SaveItem {
                number: job.number,
                over,
                done: job.done.clone(),
                starts: std::mem::take(&mut job.unstored),
            });
            job.saving = true;
            job.pressing = false;
            job.dirty = None;
            batch = Some((txn, items, bytes + size));
        }
        asks.extend(batch);
        for (txn, items, _) in asks {
            self.ask(For::Save { term, items }, Op::Txn(txn), LEADER_PATIENCE);
        }
    }

    fn saved(&mut self, items: Vec<SaveItem>, reply: Reply) {
        let now = self.now.steady;
        let mut reread = Vec::new();
        let mut lost_lead = false;
        {
            let Some(led) = &mut self.led else { return };
            match reply {
                Reply::Applied { epoch } => {
                    for item in items {
                        let Some(job) = led.table.by_number.get_mut(&item.number) else {
                            continue;
                        };
                        job.saving = false;
                        job.stamp = epoch;
                        job.stored_done = item.done;
                        for (machine, key, attempt) in item.starts {
                            led.workers.confirm(&machine, key, attempt);
                        }
                        Self::allow_reaps(&mut led.workers, job);
                        if item.over {
                            let uid = job.spec.uid.clone();
                            let end = job.record().finish("done", self.now.wall);
                            log::info!("job {uid} is done");
                            self.finals.put(&uid, final_body(&uid, &end));
                            if let Some(job) = led.table.remove(&uid) {
                                Self::halt_all(&mut led.workers, &job);
                                Self::reap_all(&mut led.workers, &job);
                            }
                        }
                    }
                }
                Reply::Conflict { failed } => {
                    lost_lead = failed.iter().any(|f| f == LEADER_KEY);
                    for item in items {
                        let Some(job) = led.table.by_number.get_mut(&item.number) else {
                            continue;
                        };
                        job.saving = false;
                        job.touch(now);
                        job.pressing = true;
                        job.unstored.extend(item.starts);
                        let uid = job.spec.uid.clone();
                        if failed.iter().any(|f| {
                            f.strip_prefix(LIVE) == Some(&*uid)
                                || f.strip_prefix(OVER_PREFIX) == Some(&*uid)
                        }) {
                            reread.push(uid);
                        }
                    }
                }
                Reply::Unavailable => {
                    for item in items {
                        if let Some(job) = led.table.by_number.get_mut(&item.number) {
                            job.saving = false;
                            job.pressing = true;
                            job.unstored.extend(item.starts);
                        }
                    }
                }
                // It may have been applied, or be applied later: its stamp tells.
                other => {
                    if let Reply::Refused(reason) = &other {
                        log::error!("the state service refused a save: {reason}");
                    }
                    for item in items {
                        if let Some(job) = led.table.by_number.get_mut(&item.number) {
                            job.saving = false;
                            job.unstored.extend(item.starts);
                            reread.push(job.spec.uid.clone());
                        }
                    }
                }
            }
        }
        if lost_lead {
            // The watch on the leader key says the same; until then nothing is stored.
            log::info!("a write found another leader key");
        }
        for uid in reread {
            self.ask_reread(uid, false);
        }
    }

    fn ask_reread(&mut self, uid: Arc<str>, over: bool) {
        let Some(led) = &mut self.led else { return };
        let term = led.term;
        if let Some(job) = led.table.get_mut(&uid) {
            job.reread = true;
        }
        let key = if over { over_key(&uid) } else { live_key(&uid) };
        self.ask(
            For::Reread { term, uid, over },
            Op::Get(key),
            LEADER_PATIENCE,
        );
    }

    fn reread(&mut self, uid: &Arc<str>, over: bool, reply: Reply) {
        let now = self.now.steady;
        let Some(led) = &mut self.led else { return };
        match reply {
            Reply::Item(item) if !over => {
                if let Some(job) = led.table.get_mut(uid) {
                    job.reread = false;
                    job.stamp = item.stamp;
                    job.pressing = true;
                    job.touch(now);
                }
            }
            Reply::Item(item) => {
                let done = serde_json::from_str::<Final>(item.value.get())
                    .is_ok_and(|f| f.status == "done");
                if done {
                    if let Some(job) = led.table.remove(uid) {
                        Self::halt_all(&mut led.workers, &job);
                        Self::reap_all(&mut led.workers, &job);
                    }
                } else {
                    if let Some(job) = led.table.get_mut(uid) {
                        job.reread = false;
                    }
                    Self::mark_cancelled(led, uid);
                }
            }
            Reply::Absent if !over => self.ask_reread(uid.clone(), true),
            // Neither live nor over can't be; ask again.
            _ => self.ask_reread(uid.clone(), false),
        }
        self.take_events();
    }

    /// Endings that are stored may be dropped by the workers.
    fn allow_reaps(workers: &mut Workers, job: &mut Job) {
        let (number, stored) = (job.number, &job.stored_done);
        job.unreaped.retain(|(machine, part, attempt)| {
            let waits = !stored.contains(part);
            if !waits {
                let key = TaskKey {
                    job: number,
                    part: *part,
                };
                workers.allow_reap(machine, key, *attempt);
            }
            waits
        });
    }

    /// The job is over: nothing depends on the endings that workers still report.
    fn reap_all(workers: &mut Workers, job: &Job) {
        for (machine, part, attempt) in &job.unreaped {
            let key = TaskKey {
                job: job.number,
                part: *part,
            };
            workers.allow_reap(machine, key, *attempt);
        }
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
            self.upkeep();
        }
        self.take_events();
        let Some(led) = &mut self.led else { return };
        if led.place_at.is_some_and(|p| p <= t)
            && t >= led.place_from
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
        let Some(led) = &mut self.led else { return };
        if t >= led.capacity_at {
            led.capacity_at =
                t + CAPACITY_EVERY.max(CAPACITY_PER_MACHINE * led.workers.machines.len() as Micros);
            self.manage_capacity();
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
        for j in led.table.by_number.values().filter(|j| !j.cancelled) {
            *waiting.entry(&j.spec.class).or_default() += j.pending_count;
        }
        log::info!(
            "cores: {all} in all, {out} out of use, {running} running, {fetching} fetching, \
             {stopping} stopping, {unsure} unsure; {} booting; tasks waiting: {waiting:?}",
            cloud.booting.len()
        );
    }

    /// Cancelled jobs of which nothing can be on any machine any more.
    fn forget_stopped(&mut self) {
        let Some(led) = &mut self.led else { return };
        let (term, stamp) = (led.term, led.stamp);
        let gone: Vec<Arc<str>> = led
            .table
            .by_number
            .values_mut()
            .filter(|j| j.cancelled && !j.saving && j.places.is_empty())
            .map(|j| {
                j.saving = true;
                j.spec.uid.clone()
            })
            .collect();
        for uid in gone {
            let txn = Txn::default()
                .require(LEADER_KEY, stamp)
                .delete(stopping_key(&uid));
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

    // ---- machines -------------------------------------------------------------------------

    fn cloud_news(&mut self, news: Vec<News>) {
        let Some(led) = &mut self.led else { return };
        let mut gone = Vec::new();
        for n in news {
            match n {
                News::Types => {}
                News::Rented { hosts, offer } => {
                    log::info!("rented {} {} in {}", hosts.len(), offer.sku, offer.zone);
                    led.hired.extend(hosts);
                }
                News::Failed(id) => {
                    if !led.workers.is_buried(&id) {
                        log::info!("{id} has failed");
                        gone.push(id.clone());
                        self.cloud.give_back(id);
                    }
                }
                News::Returned(hosts) => gone.extend(hosts),
            }
        }
        let now = self.now.steady;
        for id in &gone {
            led.workers.bury(id);
            led.roll.remove(now, id);
            led.hired.remove(id);
        }
        if !gone.is_empty() {
            self.take_events();
        }
    }

    fn manage_capacity(&mut self) {
        let t = self.now.steady;
        let lease = self.settings.lease();
        let Some(led) = &mut self.led else { return };
        self.cloud
            .booting
            .retain(|id, _| !led.workers.machines.contains_key(id) && !led.workers.is_buried(id));
        for id in self.cloud.stuck(t) {
            log::info!("{id} does not come up; returning it");
            self.cloud.booting.remove(&id);
            self.cloud.give_back(id);
        }
        // Gone without a word: nothing can be left there, and the cloud lists it no more.
        let silent = |m: &crate::workers::Machine| t > m.heard_at.max(led.took_at) + 2 * lease;
        let vanished: Vec<Arc<str>> = led
            .workers
            .machines
            .values()
            .filter(|m| {
                silent(m)
                    && led.workers.surely_empty(m, t)
                    && !self.cloud.listed.contains_key(&m.id)
            })
            .map(|m| m.id.clone())
            .collect();
        for id in &vanished {
            led.roll.remove(t, id);
            log::info!("{id} is gone without a word");
            led.workers.machines.remove(id);
            led.workers.touch(id);
            led.hired.remove(id);
        }
        // Returning a silent machine proves that its tasks are gone long before its lease would,
        // at the price of the machine: only when another like it can be had.
        for id in led.workers.unreachable(t, led.valid_since, SILENT_RETURN) {
            let Some(m) = led.workers.machines.get_mut(&id) else {
                continue;
            };
            let offer = Offer {
                sku: m.build.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
            };
            if m.spot || self.cloud.replaceable(&offer) {
                log::info!("{id} answers nobody; returning it");
                m.returning = true;
                self.cloud.give_back(id);
            }
        }
        let booting: Vec<(String, bool)> = self
            .cloud
            .booting
            .values()
            .map(|b| (b.offer.sku.clone(), b.offer.spot))
            .collect();
        let demand = led.scheduler.shortage(
            t,
            &led.table,
            &led.workers,
            &self.cloud.types,
            &booting,
            &self.settings,
        );
        let headroom = demand.free < 0.2 * demand.all;
        let mut offers: Vec<(f64, u32, Offer)> = Vec::new();
        for ty in &self.cloud.types {
            for zone in &ty.paddocks {
                for spot in [true, false] {
                    let mut n = demand.machines(ty, zone, spot);
                    if n == 0 && headroom && !led.table.by_number.is_empty() {
                        n = 1;
                    }
                    let price = if spot { ty.spot_price } else { ty.price };
                    if n > 0 {
                        offers.push((
                            price / ty.cores.max(0.1),
                            n,
                            Offer {
                                sku: ty.sku.clone(),
                                zone: zone.clone(),
                                spot,
                            },
                        ));
                    }
                }
            }
        }
        offers.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.2.cmp(&b.2)));
        if let Some((_, n, offer)) = offers.iter().find(|o| self.cloud.free_to_rent(t, &o.2)) {
            self.cloud.rent(
                t,
                offer.clone(),
                // The larger the fleet, the more is rented at once.
                (*n).min((led.workers.machines.len() as u32 / 20).clamp(6, 50)),
                &mut self.tickets,
                &mut self.out,
            );
        }
        if offers.is_empty() {
            self.return_idle();
        } else {
            led.busy_at = t;
        }
    }

    /// Rented machines that stand idle cost money for nothing: all of them go back soon after
    /// the last job is over, single ones only after long, since they may be hard to get again.
    fn return_idle(&mut self) {
        let t = self.now.steady;
        let Some(led) = &mut self.led else { return };
        if !led.table.by_number.is_empty() {
            led.busy_at = t;
        }
        let quiet = t > led.busy_at + ALL_IDLE;
        let patience = if quiet {
            ALL_IDLE
        } else {
            self.props.idle_return
        };
        for m in led.workers.machines.values_mut() {
            if led.hired.contains(&m.id)
                && m.heard
                && m.tasks.is_empty()
                && !m.returning
                && t > m.idle_since + patience
            {
                log::info!("{} stands idle; returning it", m.id);
                m.returning = true;
                self.cloud.give_back(m.id.clone());
            }
        }
    }

    // ---- for the operators ----------------------------------------------------------------

    fn inspect(&mut self, conn: ConnId, rest: &[&str]) {
        match rest {
            ["job", uid] => {
                let uid: Arc<str> = (*uid).into();
                self.ask(
                    For::InspectJob {
                        conn,
                        uid: uid.clone(),
                        over: false,
                    },
                    Op::Get(live_key(&uid)),
                    USER_PATIENCE,
                );
            }
            ["status" | "workers"] | ["workers", _] => {
                if self.led.is_some() || rest == ["status"] {
                    let body = self.inspect_leader(rest);
                    return self.respond(conn, 200, &body);
                }
                let leader = self.lead.leader().map(|r| r.node.clone());
                let Some(peer) = self
                    .settings
                    .others
                    .iter()
                    .find(|p| Some(&p.label) == leader.as_ref())
                else {
                    return self.error(conn, 503, "no leader at the moment");
                };
                self.tickets += 1;
                self.relays.insert(self.tickets, Relay::Inspect { conn });
                self.out.push(Output::PeerCall {
                    ticket: self.tickets,
                    dest: peer.endpoint,
                    kind: KIND_INSPECT,
                    addr: rest.join("/"),
                    body: Vec::new(),
                    timeout: RELAY_TIME,
                });
            }
            _ => self.error(
                conn,
                404,
                "ask for /inspect/status, /inspect/job/UID or /inspect/workers",
            ),
        }
    }

    fn inspect_leader(&self, rest: &[&str]) -> Value {
        let t = self.now.steady;
        let Some(led) = self.led.as_ref().filter(|_| rest != ["status"]) else {
            let leader = self.lead.leader();
            return json!({
                "node": self.settings.label,
                "leader": leader.map(|r| r.node.clone()),
                "term": leader.map(|r| r.term),
                "leads": self.leads(),
                "jobs": self.led.as_ref().map(|l| l.table.by_number.len()),
                "machines": self.led.as_ref().map(|l| l.workers.machines.len()),
                "booting": self.cloud.booting.len(),
                "types": self.cloud.types.len(),
            });
        };
        let only = rest.get(1);
        let machines: BTreeMap<&str, Value> = led
            .workers
            .machines
            .values()
            .filter(|m| only.is_none_or(|o| *o == &*m.id))
            .take(200)
            .map(|m| {
                let tasks: Vec<Value> = m
                    .tasks
                    .iter()
                    .map(|((k, a), e)| {
                        json!({"task": format!("{}/{}", e.uid, k.part), "attempt": a, "state": format!("{:?}", e.state),
                               "halting": e.halting(), "cause": e.cause})
                    })
                    .collect();
                let silent_ms = t.saturating_sub(m.heard_at) / MILLI;
                let body = json!({"type": m.build, "zone": m.zone, "spot": m.spot, "session": m.session,
                    "heard": m.heard, "silent_ms": silent_ms, "quarantined": m.quarantined_until > t,
                    "notice": m.notice.is_some(), "tasks": tasks});
                (&*m.id, body)
            })
            .collect();
        json!({"leader": self.settings.label, "term": led.term, "workers": machines})
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
