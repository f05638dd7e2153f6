//! One controller node: routes requests, wires the actors, and, while it leads, drives jobs,
//! workers and machines. No I/O here: inputs and the time go in, outputs come out.

mod answers;
mod capacity;
mod chains;
mod events;
mod format;
mod inspection;
mod opening;
mod reports;
mod saving;
mod standby;
mod submission;
mod takeover;
mod upkeep;
mod users;

use crate::clock::{MILLI, Micros, Now, SECOND, from_secs};
use crate::cloud::{Cloud, News, Offer};
use crate::desk::Desk;
use crate::hearing::Hearing;
use crate::informed::{Informed, good_for};
use crate::jobs::{
    Ending, Final, FinalCache, Job, LIVE, Progress, Record, STOPPING, Table, final_body, live_body,
    live_key, over_key, stopping_key,
};
use crate::layout::{
    self, CONTROLLERS, FORMAT, FORMAT_KEY, Layout, PIECES, StoredFormat, Understood,
    controller_key, piece_key, split_piece,
};
use crate::leadership::{Change, LEADER_KEY, Leadership, Step};
use crate::load::{Load, Room, Shed};
use crate::maps::HashMap;
use crate::mirror::{Mirror, Sum, Want};
use crate::net::{ConnId, Input, Outcome, Output, Ticket};
use crate::pipelines::{Pipelines, latest_start};
use crate::planted::{Bug, planted};
use crate::recovery::Recovery;
use crate::roll::{Ask, Roll, Written};
use crate::scheduler::{Scheduler, never_runs};
use crate::service::{Fate, Service, Stop};
use crate::settings::{Peer, Properties, Settings};
use crate::store::{Item, Op, Rank, Reply, Store, Txn, raw};
use crate::unanswered::Unanswered;
use crate::wire::{
    JobSpec, KIND_ASK, KIND_CANCELLED, KIND_DELIVER, KIND_EPOCH, KIND_HEARD, KIND_INSPECT,
    KIND_PROGRESS, KIND_REPORT, KIND_REPORTS, KIND_USER, Priority, ProgressRow, Report, valid_uid,
};
use crate::workers::{Event, State, TaskKey, What, Workers};
use opening::Opening;
use rangemap::RangeSet;
use serde_json::{Value, json};
pub use standby::BuiltFrom;
use standby::{Following, Loading, Takeover};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use submission::Submission;
use users::fits;
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
/// Without the state service and the other controllers for so long, this node can serve nobody.
const CUT_OFF: Micros = 3 * SECOND;
/// Bits of a ticket that count within a life; above them stands the run, which has 52.
const LIFE_TICKETS: u32 = 11;
/// From here on, connection numbers stand for requests that came through another controller.
const VIA_PEER: ConnId = 1 << 63;
const RELAY_TIME: Micros = 1_500 * MILLI;
/// Events of a few milliseconds are placed together.
const BATCH: Micros = 3 * MILLI;
/// What a pass of the scheduler may cost is kept a small share of the time.
const PLACE_PER_MACHINE: Micros = 30;
/// After a pass this many times what it took goes to other things.
const PASS_REST: Micros = 3;
const PASS_REST_MAX: Micros = 4 * SECOND;
const SAVE_PER_JOB: Micros = 30;
const SAVE_SCAN: Micros = 100 * MILLI;
const SAVE_AFTER: Micros = 1_500 * MILLI;
/// What only says how far a job is waits this long at most for changes to be left over.
const SAVE_AT_LAST: Micros = 20 * SECOND;
const SAVES_WAITING: usize = 2;
/// A walk over all machines, for what only time makes due, is made again after so long for each of them.
const WALK_PER_MACHINE: Micros = 600;
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
        polls: Vec<(ConnId, Arc<str>, Micros)>,
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
    /// For what this node follows, or builds its lead from.
    Mirror {
        round: u64,
        want: Want,
    },
    WatchJobs {
        term: u64,
    },
    /// What has changed of the jobs, at once.
    CatchUp {
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
    /// The machine types as stored, and that they were stored.
    Types,
    TypesStored,
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
            // Without its answer no worker gets a 200.
            For::Lead(_) | For::CatchUp { .. } => Rank::Vital,
            For::Accept { .. }
            | For::Known { .. }
            | For::Need { .. }
            | For::AcceptAfter { .. }
            | For::Refuse { .. }
            | For::Look { .. }
            | For::Cascade { .. }
            | For::CancelRead { .. }
            | For::Types
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
    /// What is still to be seen before anything is decided.
    loading: Option<Loading>,
    takeover: Takeover,
    recovery: Recovery,
    /// When the machines that have not spoken are shared out among the controllers.
    share_at: Option<Micros>,
    /// The line on the recovery was told.
    recovered: bool,
    jobs_epoch: u64,
    /// How old what is known of cancellations is.
    informed: Informed,
    /// Stamps of the live jobs at that epoch, and the sum that is told of them.
    stamps: HashMap<Arc<str>, u64>,
    jobs_sum: Sum,
    watching: bool,
    watch_at: Micros,
    place_at: Option<Micros>,
    /// The next pass is not before this: passes cost more the more machines there are.
    place_from: Micros,
    save_at: Micros,
    save_soon: bool,
    capacity_at: Micros,
    upkeep_at: Micros,
    walk_at: Micros,
    hired: BTreeSet<Arc<str>>,
    /// Cancellations that other controllers told of before the state service did.
    hints: u64,
    /// What became of the work so far.
    service: Service,
    /// Machines that the waiting work would fill, by offer, the cheapest first.
    wanted: Vec<(Offer, u32)>,
    took_at: Micros,
    /// When there last was a job.
    busy_at: Micros,
    /// Since when this node has been entitled to act without a break.
    valid_since: Micros,
    tell_at: Micros,
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
    /// Whether that leader, by its run, takes many reports in a frame.
    Frames {
        run: u64,
    },
    /// Workers that the peer is to ask.
    Ask {
        hosts: Vec<Arc<str>>,
    },
    /// The leader's word on how far jobs are; a 200 says that the peer can serve users.
    Told {
        peer: SocketAddr,
    },
    /// Whether any controller is to be reached.
    Alive,
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
    /// What users asked about and got no answer.
    unanswered: Unanswered,
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
    following: Following,
    opening: Opening,
    hearing: Hearing,
    /// The times that `tick` came far too late: the process was stopped, or short of processor.
    stalls: u64,
    last_stall: Micros,
    /// How long this node last left leading to the others.
    rest: Micros,
    /// When another controller last said anything, and when one was last asked only to see that.
    peers_heard_at: Micros,
    peers_asked_at: Micros,
    /// When the load balancer last asked whether this node is up.
    probed_at: Micros,
    /// When the other controllers last said that they can serve users.
    serving: HashMap<SocketAddr, Micros>,
    /// When a worker that reports to this leader may next be handed to another controller.
    hand_over_at: Micros,
    relays: HashMap<Ticket, Relay>,
    /// Workers' reports on their way to the leader.
    desk: Desk,
    /// The run of a leader that takes many reports in a frame, and when another was last asked.
    frames_with: Option<u64>,
    frames_asked: Micros,
    link_bad_until: HashMap<SocketAddr, Micros>,
    /// When a controller last refused a connection from here.
    link_refused: HashMap<SocketAddr, Micros>,
    /// Since when each link has failed; not there while it does not.
    link_failed: HashMap<SocketAddr, Micros>,
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
    /// How far this node is behind.
    load: Load,
    /// What a pass of the scheduler lately took of this node's time.
    pass_cost: Micros,
    passed: bool,
    /// Until then this controller counts as overloaded.
    overloaded_until: Micros,
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
            lead: Leadership::new(
                &settings.label,
                run,
                (props.leader_ttl_min.min(props.leader_ttl), props.leader_ttl),
            ),
            cloud: Cloud::new(settings.endpoints.cloud, &settings.label, run, s.cloud.rps),
            finals: FinalCache::new(FINALS_KEPT),
            progress: Progress::default(),
            progress_at: 0,
            unanswered: Unanswered::default(),
            polls: Vec::new(),
            polls_at: Micros::MAX,
            seed: if props.seed == 0 { run } else { props.seed },
            asked: HashMap::default(),
            via_peer: HashMap::default(),
            next_via: VIA_PEER,
            helpless_until: HashMap::default(),
            next_helper: 0,
            hint: None,
            led: None,
            following: Following::default(),
            opening: Opening::default(),
            hearing: Hearing::default(),
            stalls: 0,
            last_stall: 0,
            rest: 0,
            peers_heard_at: 0,
            peers_asked_at: 0,
            probed_at: 0,
            serving: HashMap::default(),
            hand_over_at: 0,
            relays: HashMap::default(),
            desk: Desk::default(),
            frames_with: None,
            frames_asked: 0,
            link_bad_until: HashMap::default(),
            link_refused: HashMap::default(),
            link_failed: HashMap::default(),
            submissions: HashMap::default(),
            next_submission: 0,
            format: 0,
            format_at: 0,
            registered: false,
            small: false,
            slow: false,
            load: Load::default(),
            pass_cost: 0,
            passed: false,
            overloaded_until: 0,
            fatal: None,
            out: Vec::new(),
            now: Now::default(),
            // A process may be back before all that its former life asked is answered: no number of
            // one life is one of another.
            tickets: if planted(Bug::TicketsReused) {
                0
            } else {
                run << LIFE_TICKETS
            },
            settings,
            props,
        }
    }

    /// How far behind its inputs this node is.
    pub fn set_load(&mut self, load: Load) {
        if load.shed() != self.load.shed() {
            let (lag, shed) = (load.lag() / MILLI, load.shed());
            if shed > self.load.shed() {
                log::warn!("{lag} ms behind: refusing {shed:?}");
            } else {
                log::info!("{lag} ms behind: refusing {shed:?}");
            }
        }
        self.lead.note_stop(self.now.steady, load.lag());
        self.load = load;
        self.note_overload();
    }

    /// What the last `tick` took of this node's time. Where processor time is short a pass costs
    /// many times what it would, and the next has to wait for as many times as long.
    pub fn note_cost(&mut self, took: Micros) {
        if std::mem::take(&mut self.passed) {
            self.pass_cost = (3 * self.pass_cost + took) / 4;
        }
    }

    /// The earliest time at which `tick` has something to do.
    pub fn wake_at(&self) -> Micros {
        let now = self.now.steady;
        let mut at = (now + 250 * MILLI).min(self.polls_at.max(now + MILLI));
        at = at.min(self.lead.wake_at().max(now + MILLI));
        at = at.min(self.cloud.wake_at(self.leads()).max(now + MILLI));
        if let Some(t) = self.desk.due() {
            at = at.min(t.max(now + MILLI));
        }
        if let Some(t) = self.hearing.wake_at() {
            at = at.min(t.max(now + MILLI));
        }
        if let Some(t) = self.store.wake_at() {
            at = at.min(t.max(now + MILLI));
        }
        if let Some(led) = &self.led {
            if let Some(t) = led.place_at {
                at = at.min(t.max(led.place_from).max(now + MILLI));
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
        let t = self.now.steady;
        self.led.as_ref().is_some_and(|l| {
            l.loading.is_none()
                && self.lead.valid(t)
                && l.informed.holds(t, self.lead.unbroken_since())
        })
    }

    /// Asks what was cancelled before that is too old; false while this node does not know it well enough
    /// to act as leader. One place for all that acts: who asks `leads` is told the same.
    fn keep_informed(&mut self) -> bool {
        let t = self.now.steady;
        let since = self.lead.unbroken_since();
        let Some(led) = &mut self.led else {
            return false;
        };
        if !self.lead.valid(t) {
            return false;
        }
        let holds = led.informed.holds(t, since);
        if let Some(line) = led.informed.note(t, holds) {
            log::warn!("{line}");
        }
        if led.informed.ask(t, since) {
            let (term, from) = (led.term, led.jobs_epoch);
            let op = Op::Watch {
                prefix: LIVE,
                from,
                block: 0,
            };
            self.ask(For::CatchUp { term }, op, 0);
        }
        if self.resign_when_untold() {
            return false;
        }
        holds
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
            } => self.request(conn, &method, &path, body),
            Input::PeerRequest {
                conn,
                ticket,
                kind,
                patience,
                addr,
                body,
            } => {
                self.peers_heard_at = now.steady;
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
        if let (Some(led), Some(stamp)) = (&mut self.led, self.lead.stamp()) {
            led.stamp = stamp;
        }
        self.tick_opening();
        self.ask_for_peers();
        self.follow();
        self.ask_carried();
        self.tick_format();
        let leads = self.leads();
        self.cloud.tick(t, leads, &mut self.tickets, &mut self.out);
        self.drive();
        self.send_reports();
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
        if let Some(asked) = self.asked.remove(&conn) {
            self.note_opening(asked.method, status);
        }
        if let Some((conn, ticket)) = self.via_peer.remove(&conn) {
            let body = body.to_string().into_bytes();
            return self.out.push(Output::PeerRespond {
                conn,
                ticket,
                outcome: Outcome::Reply { status, body },
            });
        }
        let retry_after = (status == 503).then(|| match self.load.shed() {
            Shed::Nothing => 1,
            _ => self.load.retry_after(conn),
        });
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

    /// Asks another controller; what becomes of its answer is `relay`'s.
    fn call_peer(
        &mut self,
        relay: Relay,
        dest: SocketAddr,
        (kind, addr): (u16, String),
        body: Vec<u8>,
        timeout: Micros,
    ) {
        self.tickets += 1;
        self.relays.insert(self.tickets, relay);
        self.out.push(Output::PeerCall {
            ticket: self.tickets,
            dest,
            kind,
            addr,
            body,
            timeout,
        });
    }

    /// Tells another controller that its word was taken.
    fn acknowledge(&mut self, conn: ConnId, ticket: Ticket) {
        self.out.push(Output::PeerRespond {
            conn,
            ticket,
            outcome: Outcome::Reply {
                status: 200,
                body: Vec::new(),
            },
        });
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
                let outcome = self.peer_report(addr, &body);
                self.out.push(Output::PeerRespond {
                    conn,
                    ticket,
                    outcome,
                });
            }
            KIND_REPORTS => {
                let outcome = self.peer_reports(addr, &body);
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
                self.request(via, method, path, body);
            }
            KIND_PROGRESS => {
                if !self.leads() {
                    self.hint = Some((addr.to_owned(), self.now.steady));
                }
                self.progress.replace(&body);
                self.progress_at = self.now.steady;
                // Only what is probed gets users: a node may be cut off from the load balancer.
                let probed = self.now.steady < self.probed_at + SERVING_FRESH;
                // A full node is handed no workers: each would cost another its connection.
                let room = self.load.room == Room::Enough;
                let serves =
                    probed && room && !self.cloud.types.is_empty() && !self.store.failing();
                self.out.push(Output::PeerRespond {
                    conn,
                    ticket,
                    outcome: Outcome::Reply {
                        status: if serves { 200 } else { 503 },
                        body: Vec::new(),
                    },
                });
            }
            KIND_HEARD => {
                self.heard_through(&body);
                self.acknowledge(conn, ticket);
            }
            KIND_ASK => {
                self.asked_to_ask(&body);
                self.acknowledge(conn, ticket);
            }
            KIND_EPOCH => {
                self.told_epoch(&body);
                self.acknowledge(conn, ticket);
            }
            KIND_CANCELLED => {
                if let Ok(uid) = std::str::from_utf8(&body) {
                    self.hinted(uid);
                }
                self.acknowledge(conn, ticket);
            }
            KIND_INSPECT => {
                let outcome = self.inspected_through(addr, &body);
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
        } else if self.hearing.answered(ticket) {
            self.heard_for_leader(outcome);
        } else if self.desk.owns(ticket) {
            self.desk_answered(ticket, outcome);
        } else if let Some(led) = &mut self.led
            && led.workers.owns(ticket)
        {
            led.workers.outcome(now, ticket, outcome, &mut led.table);
            self.take_events();
        }
    }

    fn relayed(&mut self, relay: Relay, outcome: &Outcome) {
        // An order's answer is the worker's.
        if matches!(outcome, Outcome::Reply { .. }) && !matches!(relay, Relay::Delivery { .. }) {
            self.peers_heard_at = self.now.steady;
        }
        match relay {
            Relay::Alive => {}
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
            Relay::Ask { hosts } => {
                if !matches!(outcome, Outcome::Reply { status: 200, .. })
                    && let Some(led) = &mut self.led
                {
                    led.workers.take_back(&hosts);
                }
            }
            Relay::Frames { run } => {
                if matches!(outcome, Outcome::Reply { status: 200, .. }) {
                    self.frames_with = Some(run);
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
            // An operator's question says nothing of the link: its answer may just have been late.
            Relay::Inspect { conn } if !matches!(outcome, Outcome::Reply { .. }) => {
                self.error(conn, 503, "the leader does not answer");
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
                other => self.report_failed(conn, other),
            },
        }
    }

    fn drive(&mut self) {
        let now = self.now;
        let t = now.steady;
        if self.led.as_ref().is_none_or(|l| l.loading.is_some()) {
            return;
        }
        let valid = self.keep_informed();
        let Some(led) = &mut self.led else { return };
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
            if self.resign_when_deaf() || self.resign_when_numbers_run_out() {
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
            && self.load.may_start()
        {
            led.place_at = None;
            let rest = PLACE_PER_MACHINE * led.workers.machines.len() as Micros;
            led.place_from = t + rest.max(PASS_REST * self.pass_cost).min(PASS_REST_MAX);
            self.passed = true;
            led.takeover.passed_at = led.takeover.passed_at.or(Some(t));
            let may_stop = led.recovery.may_stop(t, led.scheduler.flow(t));
            led.scheduler.may_stop = may_stop;
            let placed = led.scheduler.place(
                t,
                now.wall,
                &mut led.table,
                &mut led.workers,
                &self.cloud.types,
                &self.settings,
            );
            if may_stop.is_finite() {
                led.recovery.stopped(may_stop - led.scheduler.may_stop);
            }
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
        led.workers.lag = self.load.lag();
        led.workers.flush(t, &mut self.tickets, &mut self.out);
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
