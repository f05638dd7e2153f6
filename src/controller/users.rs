//! Users' requests: submissions, polls and cancellations, by this node or through another.

use super::*;
use crate::store::Raw;

/// That many reads for overdue polls may wait among the users' changes.
const OVERDUE_READS: usize = 4;
/// For so long nothing is started of a job that another controller said is cancelled.
const HINT_HOLDS: Micros = 5 * SECOND;

impl Node {
    /// The state service does not answer us, but may answer another controller: a single node
    /// can be refused or cut off from it while the others are served.
    pub(super) fn no_answer(&mut self, conn: ConnId) {
        let asked = self.asked.remove(&conn);
        if let (Some(asked), Some(peer)) = (asked, self.helper()) {
            self.relay_user(conn, peer, asked);
        } else {
            self.error(conn, 503, "the state service does not answer");
        }
    }

    /// A controller that may answer for us: the leader, or else by turns.
    pub(super) fn helper(&mut self) -> Option<SocketAddr> {
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

    pub(super) fn relay_user(&mut self, conn: ConnId, peer: SocketAddr, asked: Asked) {
        let about = (KIND_USER, format!("{} {}", asked.method, asked.path));
        self.call_peer(
            Relay::User { conn, peer },
            peer,
            about,
            asked.body,
            RELAY_TIME,
        );
    }

    /// Whether this node leads and enough of the others can serve the users. The leader has the
    /// most to do, and when it stops, its users' requests stop with it; so they are better kept
    /// apart. With few others, their end would leave nobody.
    fn others_serve(&self) -> bool {
        let others = self.settings.others.iter();
        let serving = others.filter(|p| self.serves(p.endpoint));
        self.leads() && serving.count() >= SERVING_ENOUGH
    }

    /// Whether neither the state service nor another controller has answered this node for a while. What it
    /// knows may be older than what its users were told elsewhere, and nobody can answer for it: it says so at
    /// once, to the load balancer too, so that users and workers go where they can be served.
    pub fn cut_off(&self) -> bool {
        let t = self.now.steady;
        !self.settings.others.is_empty()
            && self.store.failing_for(t) >= CUT_OFF
            && t >= self.peers_heard_at + CUT_OFF
    }

    /// Answers that nobody can be served here, if that is so.
    pub(super) fn sent_away(&mut self, conn: ConnId) -> bool {
        let cut_off = self.cut_off();
        if cut_off {
            self.error(conn, 503, "cut off from state service and controllers");
        }
        cut_off
    }

    /// While the state service fails: asks another controller, by turns, for no more than a sign of life. In
    /// an outage for all nobody may have anything else to say.
    pub(super) fn ask_for_peers(&mut self) {
        let t = self.now.steady;
        let quiet = t >= self.peers_heard_at.max(self.peers_asked_at) + SECOND;
        let peers = &self.settings.others;
        if peers.is_empty() || !quiet || self.store.failing_for(t) < SECOND {
            return;
        }
        self.peers_asked_at = t;
        self.next_helper += 1;
        let dest = peers[self.next_helper % peers.len()].endpoint;
        // A word on no epoch at all, which every version takes and passes over.
        let about = (KIND_EPOCH, self.settings.label.clone());
        self.call_peer(Relay::Alive, dest, about, Vec::new(), SECOND);
    }

    /// Whether that controller said a moment ago that it can serve users.
    pub(super) fn serves(&self, peer: SocketAddr) -> bool {
        let told = self.serving.get(&peer);
        told.is_some_and(|at| self.now.steady < at + SERVING_FRESH)
    }

    /// Notes a user's request; true when another controller answers it, since the state service
    /// has just failed us.
    pub(super) fn passed_on(
        &mut self,
        conn: ConnId,
        method: &'static str,
        path: String,
        body: &[u8],
    ) -> bool {
        if conn >= VIA_PEER {
            return false;
        }
        if self.sent_away(conn) {
            return true;
        }
        let body = body.to_vec();
        let asked = Asked { method, path, body };
        if self.store.failing()
            && let Some(peer) = self.helper()
        {
            self.relay_user(conn, peer, asked);
            return true;
        }
        self.asked.insert(conn, asked);
        false
    }

    /// The node that leads, by the state service or by its own recent word.
    pub(super) fn leader_label(&self) -> Option<String> {
        let hint = self.hint.as_ref();
        let told = hint.filter(|h| self.now.steady < h.1 + COUNTS_FRESH);
        told.map(|h| h.0.clone())
            .or_else(|| self.lead.leader().map(|r| r.node.clone()))
    }

    pub(super) fn request(&mut self, conn: ConnId, method: &str, path: &str, body: Vec<u8>) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            ("GET", ["up"]) => {
                self.probed_at = self.now.steady;
                if self.cloud.types.is_empty() {
                    return self.error(conn, 503, "starting: the machine types are not known yet");
                }
                if self.sent_away(conn) {
                    return;
                }
                if self.others_serve() {
                    return self.error(conn, 503, "leading: the other controllers serve users");
                }
                self.note_opening("GET /up", 200);
                self.respond(conn, 200, &json!({"up": true}));
            }
            ("POST", ["work"]) => self.submit(conn, &body),
            ("GET", ["work", uid]) => self.poll(conn, uid),
            ("POST", ["work", uid, "cancel"]) => self.cancel(conn, uid),
            ("POST", ["checkin"]) => self.checkin(conn, body),
            ("GET", ["inspect", rest @ ..]) => self.inspect(conn, rest, query),
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
    pub(super) fn answer_final(&mut self, conn: ConnId, uid: &str) -> bool {
        let Some(known) = self.finals.get(uid).cloned() else {
            return false;
        };
        self.respond(conn, 200, &known);
        true
    }

    pub(super) fn poll(&mut self, conn: ConnId, uid: &str) {
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
            let t = self.now.steady;
            self.polls.push((conn, uid.into(), t));
            self.polls_at = self.polls_at.min(t + POLL_BATCH);
            return;
        }
        self.ask_poll(conn, uid);
    }

    pub(super) fn ask_poll(&mut self, conn: ConnId, uid: &str) {
        self.read_for_poll(conn, uid.into(), false);
    }

    /// Reads a job for a poll; the questions of a job that had no answer for long go with the users' changes,
    /// a few at a time: after an outage all are of that kind, and submissions wait too.
    pub(super) fn read_for_poll(&mut self, conn: ConnId, uid: Arc<str>, over: bool) {
        let t = self.now.steady;
        let few = self.store.waiting(Rank::User) < OVERDUE_READS;
        let rank = if few && self.unanswered.is_overdue(t, &uid) {
            Rank::User
        } else {
            Rank::Look
        };
        let key = if over { over_key(&uid) } else { live_key(&uid) };
        let purpose = For::Poll { conn, uid, over };
        self.store
            .ask(t, purpose, rank, Op::Get(key), USER_PATIENCE);
    }

    /// No answer for a poll from here.
    pub(super) fn poll_failed(&mut self, conn: ConnId, uid: &str) {
        self.unanswered.failed(self.now.steady, uid);
        self.no_answer(conn);
    }

    /// Tasks done and placed of a live job, by the leader's last word. While no node leads
    /// nothing newer is known to anybody, and the stored counts are older still.
    pub(super) fn counts(&self, uid: &str) -> Option<(u64, u64)> {
        if self.leads() {
            let job = self.led.as_ref()?.table.get(uid)?;
            return Some((job.spec.tasks - job.remaining(), job.places.len() as u64));
        }
        let fresh = self.now.steady < self.progress_at + COUNTS_KEPT;
        self.progress.get(uid).filter(|_| fresh)
    }

    /// Asks for all jobs polled in the last moment whether they are over. When the budget is
    /// short, more polls come together in each question instead of going without an answer.
    pub(super) fn check_polls(&mut self) {
        let t = self.now.steady;
        if self.polls.is_empty() || t < self.polls_at {
            return;
        }
        let overdue = |p: &(ConnId, Arc<str>, Micros)| self.unanswered.is_overdue(t, &p.1);
        // Looks wait for one another and for all else; one question answers so many polls that it may go
        // before them when some have gone without an answer for long.
        let hurry = self.polls.iter().any(overdue);
        if !hurry && !self.store.can_look(t) {
            self.polls_at = t + POLL_BATCH;
            let waiting = std::mem::take(&mut self.polls);
            for (conn, uid, asked_at) in waiting {
                if t < asked_at + POLL_PATIENCE {
                    self.polls.push((conn, uid, asked_at));
                } else {
                    self.poll_failed(conn, &uid);
                }
            }
            return;
        }
        if hurry {
            let unanswered = &self.unanswered;
            self.polls
                .sort_by_key(|p| Reverse(unanswered.waits(t, &p.1)));
        }
        let most = self.layout().txn_ops.max(1) * 4;
        let chunk: Vec<_> = self.polls.drain(..most.min(self.polls.len())).collect();
        self.polls_at = if self.polls.is_empty() {
            Micros::MAX
        } else {
            t + MILLI
        };
        let mut txn = Txn::default();
        let keys: BTreeSet<&str> = chunk.iter().map(|p| &*p.1).collect();
        for uid in keys {
            txn = txn.require(over_key(uid), 0);
        }
        let rank = if hurry { Rank::User } else { Rank::Look };
        let purpose = For::Check { polls: chunk };
        self.store
            .ask(t, purpose, rank, Op::Txn(txn), USER_PATIENCE);
    }

    pub(super) fn checked(&mut self, polls: Vec<(ConnId, Arc<str>, Micros)>, reply: &Reply) {
        let ended: Vec<&str> = match reply {
            Reply::Applied { .. } => Vec::new(),
            Reply::Conflict { failed } => failed
                .iter()
                .filter_map(|f| f.strip_prefix(OVER_PREFIX))
                .collect(),
            _ => {
                // Other questions took this node's share, as at a takeover: they are asked again, for
                // as long as they may wait.
                let t = self.now.steady;
                let short = matches!(reply, Reply::Unavailable) && !self.store.failing();
                for (conn, uid, asked_at) in polls {
                    if short && t < asked_at + POLL_PATIENCE {
                        self.polls.push((conn, uid, asked_at));
                        self.polls_at = self.polls_at.min(t + POLL_BATCH);
                    } else {
                        self.poll_failed(conn, &uid);
                    }
                }
                return;
            }
        };
        for (conn, uid, _) in polls {
            if ended.contains(&&*uid) {
                self.read_for_poll(conn, uid, true);
                continue;
            }
            if let Some((done, running)) = self.counts(&uid) {
                self.unanswered.answered(&uid);
                self.respond(conn, 200, &live_body(&uid, done, running));
            } else {
                self.ask_poll(conn, &uid);
            }
        }
    }

    /// Tells the other controllers how far the live jobs are, so that polls need not read them.
    pub(super) fn tell_progress(&mut self) {
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
        let (body, left_out) = Progress::frame(rows);
        let minute = |at: Micros| at / (60 * SECOND);
        if left_out > 0 && minute(t) != minute(t.saturating_sub(TELL_EVERY)) {
            log::warn!(
                "{left_out} live jobs do not fit the frame on progress: their polls are read"
            );
        }
        let peers: Vec<SocketAddr> = self.settings.others.iter().map(|p| p.endpoint).collect();
        for peer in peers {
            let about = (KIND_PROGRESS, self.settings.label.clone());
            self.call_peer(Relay::Told { peer }, peer, about, body.clone(), SECOND);
        }
        self.tell_epoch();
    }

    pub(super) fn cancel(&mut self, conn: ConnId, uid: &str) {
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

    /// Tells the leader of a cancellation that this node has just confirmed, for when the state service does not.
    pub(super) fn hint_cancelled(&mut self, uid: &str) {
        let Some(dest) = self.leader_peer().map(|p| p.endpoint) else {
            return;
        };
        let about = (KIND_CANCELLED, self.settings.label.clone());
        self.call_peer(Relay::Alive, dest, about, uid.as_bytes().to_vec(), SECOND);
    }

    /// Another controller says that the job was cancelled. What is stored decides, and is told by the watch; until
    /// then its tasks are stopped and none is started, which a word that was wrong costs some work at most.
    pub(super) fn hinted(&mut self, uid: &str) {
        let now = self.now.steady;
        let Some(led) = self.led.as_mut().filter(|l| l.loading.is_none()) else {
            return;
        };
        let Some(job) = led.table.get_mut(uid).filter(|j| !j.cancelled) else {
            return;
        };
        job.not_before = job.not_before.max(now + HINT_HOLDS);
        Self::halt_all(&mut led.workers, job);
        led.hints += 1;
        self.take_events();
    }

    pub(super) fn tell_state(&mut self, conn: ConnId, uid: &str, over: bool, item: Item) {
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
            match layout::read(&item.value) {
                Ok((r, _)) => self.respond(conn, 200, &r.status_body()),
                Err(_) => self.error(conn, 503, "the stored job can't be read"),
            }
        }
    }

    pub(super) fn cancel_read(
        &mut self,
        conn: ConnId,
        uid: Arc<str>,
        over: bool,
        tries: u32,
        reply: Reply,
    ) {
        match reply {
            Reply::Item(item) if over && planted(Bug::FinalOverwritten) => {
                if let Ok(mut end) = serde_json::from_str::<Final>(item.value.get()) {
                    end.status = "cancelled".to_owned();
                    let body = final_body(&uid, &end);
                    let txn = Txn::default().set(over_key(&uid), &end);
                    let write = For::CancelWrite {
                        conn,
                        uid,
                        tries,
                        body,
                    };
                    self.ask(write, Op::Txn(txn), USER_PATIENCE);
                }
            }
            Reply::Item(item) if over => self.tell_state(conn, &uid, true, item),
            Reply::Item(item) => {
                let stamp = item.stamp;
                let (record, pieces) = match layout::read(&item.value) {
                    Ok(read) => read,
                    Err(e) => {
                        log::error!("{} can't be read: {e}", item.path);
                        return self.error(conn, 503, "the stored job can't be read");
                    }
                };
                let layout = self.layout();
                let end = record.finish("cancelled", self.now.wall);
                let end = end.fit(layout.usable());
                let body = final_body(&uid, &end);
                let mut txn = Txn::default()
                    .require(live_key(&uid), stamp)
                    .require(over_key(&uid), 0)
                    .delete(live_key(&uid))
                    .set(over_key(&uid), &end);
                // Its tasks may be on machines: the leader, also a later one, stops them and
                // counts them until they are gone.
                if pieces > 0 || (!record.placed.is_empty() && fits(&item.value, &layout)) {
                    // Its pieces stay where they are.
                    txn = txn.set_raw(stopping_key(&uid), item.value);
                } else if !record.placed.is_empty() {
                    // Stored under larger limits: laid out anew.
                    let values = layout.write(&record);
                    let Some(values) = values.filter(|v| v.pieces.len() + 3 <= layout.txn_ops)
                    else {
                        return self.error(conn, 503, "the job is too wide to be stopped at once");
                    };
                    txn = txn.set_raw(stopping_key(&uid), values.head);
                    for (n, value) in values.pieces.into_iter().enumerate() {
                        txn = txn.set_raw(piece_key(&uid, n), value);
                    }
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
}

/// Whether a stored value may be written again as it is.
pub(super) fn fits(value: &Raw, layout: &Layout) -> bool {
    value.get().len() <= layout.value_bytes
}
