//! Submissions: accepted by this node's own conditional write, after what is stored of the jobs
//! that they name.

use super::*;
use crate::store::Raw;
use crate::wire::Shape;

/// A need that ends just now leads to another look, so many times.
const MOST_TRIES: u32 = 4;
/// What reading a long list may take longer than a user's request otherwise: for each job named,
/// and at most. Users wait 5 s.
const NEED_PATIENCE: Micros = 25 * MILLI;
const NEEDS_PATIENCE: Micros = SECOND;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Need {
    Asked,
    Live,
    Done,
    Cancelled,
}

fn patience(needs: usize) -> Micros {
    USER_PATIENCE + (NEED_PATIENCE * needs as Micros).min(NEEDS_PATIENCE)
}

/// A submission that names other jobs.
pub(super) struct Submission {
    conn: ConnId,
    spec: JobSpec,
    needs: BTreeMap<Arc<str>, Need>,
    /// Why it is to be refused.
    refused: Option<String>,
    tries: u32,
}

impl Node {
    pub(super) fn submit(&mut self, conn: ConnId, body: &[u8]) {
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
            if !self.cloud.told() {
                // What is stored may be older than what the cloud offers.
                return self.error(conn, 503, "the machine types are being asked for");
            }
            // What was accepted when the cloud offered more stays accepted.
            return self.refuse_unknown(conn, uid, false, reason);
        }
        let odd = |n: &&Arc<str>| !valid_uid(n) || **n == uid;
        if let Some(need) = spec.waits_on.iter().find(odd) {
            let shown: String = need.chars().take(80).collect();
            let reason = format!("waitsOn: `{shown}` can't be a job that was accepted before");
            return self.error(conn, 422, &reason);
        }
        if self.passed_on(conn, "POST", "/work".to_owned(), body) {
            return;
        }
        if let Some(reason) = self.too_large(&spec) {
            // A job accepted under larger limits stays accepted.
            return self.refuse_unknown(conn, uid, false, reason);
        }
        if spec.waits_on.is_empty() {
            let value = self.new_record(spec);
            let mut txn = Txn::default()
                .require(live_key(&uid), 0)
                .set_raw(live_key(&uid), value);
            // A job that is over is live no more: carried out late, after a repeat was accepted and done,
            // this would else bring it back.
            if !planted(Bug::AbsenceTrusted) {
                txn = txn.require(over_key(&uid), 0);
            }
            return self.ask(For::Accept { conn, uid }, Op::Txn(txn), USER_PATIENCE);
        }
        let submission = Submission {
            conn,
            spec,
            needs: BTreeMap::new(),
            refused: None,
            tries: 0,
        };
        self.look_up(submission);
    }

    /// A new job is one small value in the layout that every version reads.
    fn new_record(&self, spec: JobSpec) -> Raw {
        let record = Record::new(spec, self.now.wall, &self.settings.label);
        layout::old::write(&record, usize::MAX).unwrap_or_else(|| raw(&()))
    }

    /// Why no layout can hold a job of this description, if so.
    fn too_large(&self, spec: &JobSpec) -> Option<String> {
        let limits = self.settings.settings.state.tightest();
        let layout = Layout {
            format: FORMAT,
            value_bytes: limits.value_bytes(),
            txn_ops: limits.txn_ops,
        };
        if !layout.holds(spec) {
            let most = layout.spec_bytes();
            return Some(format!(
                "the description is too long to be stored: at most {most} bytes"
            ));
        }
        // Conditions of the accepting write: the job itself, live and over, and each need.
        let most = 4 * limits.txn_ops - 2;
        (spec.waits_on.len() > most).then(|| format!("waitsOn: at most {most} jobs can be named"))
    }

    /// Reads what is stored of each job named; "never accepted" needs a fresh answer.
    fn look_up(&mut self, mut s: Submission) {
        self.next_submission += 1;
        let id = self.next_submission;
        s.needs.clear();
        let mut asks = Vec::new();
        for need in &s.spec.waits_on {
            let known = self.finals.get(need).and_then(|f| f["status"].as_str());
            let state = match known {
                Some("done") => Need::Done,
                Some("cancelled") => Need::Cancelled,
                _ => {
                    asks.push(need.clone());
                    Need::Asked
                }
            };
            s.needs.insert(need.clone(), state);
        }
        self.submissions.insert(id, s);
        let patience = patience(asks.len());
        for uid in asks {
            let key = live_key(&uid);
            let purpose = For::Need {
                submission: id,
                uid,
                over: false,
            };
            self.ask(purpose, Op::Get(key), patience);
        }
        self.look_on(id);
    }

    pub(super) fn need_read(&mut self, id: u64, uid: Arc<str>, over: bool, reply: Reply) {
        let Some(s) = self.submissions.get_mut(&id) else {
            return;
        };
        let mut state = Need::Live;
        match reply {
            Reply::Item(item) if !over => match layout::read(&item.value) {
                Ok((record, _)) if record.spec.shape == Shape::Daemon => {
                    s.refused = Some(format!("waitsOn: {uid} is a service, which is never done"));
                }
                Ok(_) => {}
                Err(e) => {
                    log::error!("{} can't be read: {e}", item.path);
                    return self.give_up(id, "a job named in waitsOn can't be read");
                }
            },
            Reply::Item(item) => match serde_json::from_str::<Final>(item.value.get()) {
                Ok(end) => {
                    self.finals.put(&uid, final_body(&uid, &end));
                    state = if end.is_done() {
                        Need::Done
                    } else {
                        Need::Cancelled
                    };
                }
                Err(e) => {
                    log::error!("{} can't be read: {e}", item.path);
                    return self.give_up(id, "a job named in waitsOn can't be read");
                }
            },
            // Live first, then over: a job moves only in that direction.
            Reply::Absent if !over => {
                let key = over_key(&uid);
                let purpose = For::Need {
                    submission: id,
                    uid,
                    over: true,
                };
                let patience = patience(s.needs.len());
                return self.ask(purpose, Op::Get(key), patience);
            }
            Reply::Absent => {
                s.refused = Some(format!("waitsOn: {uid} was never accepted"));
            }
            _ => {
                let conn = s.conn;
                self.submissions.remove(&id);
                return self.no_answer(conn);
            }
        }
        if let Some(s) = self.submissions.get_mut(&id) {
            s.needs.insert(uid, state);
        }
        self.look_on(id);
    }

    fn give_up(&mut self, id: u64, reason: &str) {
        if let Some(s) = self.submissions.remove(&id) {
            self.error(s.conn, 503, reason);
        }
    }

    /// Accepts the job once all that it names is known.
    fn look_on(&mut self, id: u64) {
        let Some(s) = self.submissions.get(&id) else {
            return;
        };
        if s.needs.values().any(|n| *n == Need::Asked) {
            return;
        }
        let uid = s.spec.uid.clone();
        if let Some(reason) = s.refused.clone() {
            let conn = s.conn;
            self.submissions.remove(&id);
            return self.refuse_unknown(conn, uid, false, reason);
        }
        let mut txn = Txn::default()
            .require(live_key(&uid), 0)
            .require(over_key(&uid), 0);
        let gone = s.needs.iter().find(|n| *n.1 == Need::Cancelled);
        let cancelled = gone.is_some();
        if let Some((root, _)) = gone {
            let record = Record::new(s.spec.clone(), self.now.wall, &self.settings.label);
            let mut end = record.finish("cancelled", self.now.wall);
            end.because = Some(root.to_string());
            txn = txn.set(over_key(&uid), &end);
        } else {
            // Whoever writes last sees the other: a cancellation in between makes this one fail.
            for (need, _) in s.needs.iter().filter(|n| *n.1 == Need::Live) {
                txn = txn.require(over_key(need), 0);
            }
            txn = txn.set_raw(live_key(&uid), self.new_record(s.spec.clone()));
        }
        let purpose = For::AcceptAfter {
            submission: id,
            cancelled,
        };
        self.ask(purpose, Op::Txn(txn), USER_PATIENCE);
    }

    pub(super) fn accepted_after(&mut self, id: u64, cancelled: bool, reply: Reply) {
        let Some(mut s) = self.submissions.remove(&id) else {
            return;
        };
        let (conn, uid) = (s.conn, s.spec.uid.clone());
        match reply {
            Reply::Applied { .. } if cancelled => {
                self.respond(conn, 201, &json!({"uid": uid, "status": "cancelled"}));
            }
            Reply::Applied { .. } => {
                self.progress.add(&uid);
                self.respond(conn, 201, &json!({"uid": uid, "status": "pending"}));
            }
            Reply::Conflict { failed } => {
                let own = [live_key(&uid), over_key(&uid)];
                if failed.iter().any(|f| own.contains(f)) {
                    let key = live_key(&uid);
                    let purpose = For::Known {
                        conn,
                        uid,
                        over: false,
                    };
                    self.ask(purpose, Op::Get(key), USER_PATIENCE);
                } else if s.tries < MOST_TRIES {
                    s.tries += 1;
                    self.look_up(s);
                } else {
                    self.no_answer(conn);
                }
            }
            Reply::Refused(reason) => {
                log::error!("the state service refused job {uid}: {reason}");
                self.error(conn, 503, "the state service refused the job");
            }
            _ => self.no_answer(conn),
        }
    }

    /// Reads whether a submission to be refused repeats one that was accepted.
    fn refuse_unknown(&mut self, conn: ConnId, uid: Arc<str>, over: bool, reason: String) {
        let key = if over { over_key(&uid) } else { live_key(&uid) };
        let purpose = For::Refuse {
            conn,
            uid,
            over,
            reason,
        };
        self.ask(purpose, Op::Get(key), USER_PATIENCE);
    }

    /// Refuses a submission, unless it repeats one that was accepted.
    pub(super) fn refuse(
        &mut self,
        conn: ConnId,
        uid: Arc<str>,
        over: bool,
        reason: String,
        reply: Reply,
    ) {
        match reply {
            Reply::Item(item) => self.tell_state(conn, &uid, over, item),
            Reply::Absent if !over => self.refuse_unknown(conn, uid, true, reason),
            Reply::Absent => self.error(conn, 422, &reason),
            _ => self.no_answer(conn),
        }
    }
}
