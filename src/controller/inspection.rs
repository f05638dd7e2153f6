//! What operators may look at.

use super::*;
use crate::inspect::AFTER;
use crate::scheduler::silence;
use crate::wire::FRAME_MAX;
use crate::workers::Machine;
use std::ops::Bound;

/// Bytes of rows on a page: below the longest line of an answer, far below a frame, and little of a leader's time.
const PAGE_BYTES: usize = 56 * 1024;

/// The rows that fit a page, and after which key the next begins, if there is one.
fn page<'a>(
    rows: impl Iterator<Item = (&'a str, Value)>,
) -> (Vec<(&'a str, Value)>, Option<&'a str>) {
    let mut taken = Vec::new();
    let mut bytes = 0;
    for (key, row) in rows {
        bytes += key.len() + row.to_string().len();
        // A row that is longer than a page has one of its own.
        if bytes > PAGE_BYTES && !taken.is_empty() {
            let last = taken.last().map(|(key, _)| *key);
            return (taken, last);
        }
        taken.push((key, row));
    }
    (taken, None)
}

impl Node {
    pub(super) fn inspect(&mut self, conn: ConnId, rest: &[&str], query: &str) {
        let after = query.strip_prefix(AFTER).unwrap_or("");
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
            ["status" | "workers" | "jobs"] | ["workers" | "jobs", _] => {
                if self.led.is_some() || rest == ["status"] {
                    let body = self.inspect_leader(rest, after);
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
                // The version before reads no body, and answers whole.
                let about = (KIND_INSPECT, rest.join("/"));
                self.call_peer(
                    Relay::Inspect { conn },
                    peer.endpoint,
                    about,
                    after.as_bytes().to_vec(),
                    RELAY_TIME,
                );
            }
            _ => self.error(
                conn,
                404,
                "ask for /inspect/status, /inspect/job/UID, /inspect/jobs or /inspect/workers",
            ),
        }
    }

    /// Adds what the leader knows of a live job to what is stored of it.
    pub(super) fn inspect_chain(&mut self, conn: ConnId, uid: &str, mut body: Value) {
        if self.leads() {
            body["leader"] = self.inspect_leader(&["chain", uid], "");
            return self.respond(conn, 200, &body);
        }
        let Some(dest) = self.leader_peer().map(|p| p.endpoint) else {
            return self.respond(conn, 200, &body);
        };
        let about = (KIND_INSPECT, format!("chain/{uid}"));
        self.call_peer(
            Relay::Chain { conn, body },
            dest,
            about,
            Vec::new(),
            RELAY_TIME,
        );
    }

    /// An operator's question that came through another controller.
    pub(super) fn inspected_through(&self, about: &str, after: &[u8]) -> Outcome {
        let after = std::str::from_utf8(after).unwrap_or("");
        let body = self.inspect_leader(&about.split('/').collect::<Vec<_>>(), after);
        let (status, body) = match body.to_string() {
            text if text.len() <= FRAME_MAX => (200, text),
            text => {
                let length = text.len();
                log::error!("what was asked of {about} takes {length} bytes, a frame {FRAME_MAX}");
                let error = "the answer does not fit a frame between controllers: ask the leader";
                (500, json!({ "error": error }).to_string())
            }
        };
        Outcome::Reply {
            status,
            body: body.into_bytes(),
        }
    }

    /// What the leader knows; of lists one page, of what comes after that key.
    pub(super) fn inspect_leader(&self, rest: &[&str], after: &str) -> Value {
        let t = self.now.steady;
        let Some(led) = self.led.as_ref().filter(|_| rest != ["status"]) else {
            let leader = self.lead.leader();
            let (unanswered, longest) = self.unanswered.worst(t);
            return json!({
                "node": self.settings.label,
                "leader": leader.map(|r| r.node.clone()),
                "term": leader.map(|r| r.term),
                "leads": self.leads(),
                "jobs": self.led.as_ref().map(|l| l.table.by_number.len()),
                "machines": self.led.as_ref().map(|l| l.workers.machines.len()),
                "booting": self.cloud.booting.len(),
                "types": self.cloud.types.len(),
                "may_act_for_ms": self.lead.left(t) / MILLI,
                "cancellations_known_ms_ago": self.led.as_ref().map(|l| l.informed.age(t) / MILLI),
                "cancellations_hinted": self.led.as_ref().map(|l| l.hints),
                "silent_for_age_of_knowledge": self.led.as_ref().map(|l| l.informed.refusals),
                "state_service_fails": self.store.failing(),
                "cut_off": self.cut_off(),
                "jobs_without_answer": unanswered,
                "longest_without_answer_ms": longest / MILLI,
                "machines_held": self.led.as_ref().map(|l| self.machines_held(l)),
                "silent_machines": self.led.as_ref().map(|l| l.workers.silent(t)),
                "lag_ms": self.load.lag() / MILLI,
                "worst_lag_ms": self.load.worst / MILLI,
                "shedding": format!("{:?}", self.load.shed()).to_lowercase(),
                "following": self.inspect_following(),
                "stalls": self.stalls,
                "last_stall_ms": self.last_stall / MILLI,
                "version": format::VERSION,
                "format_known": FORMAT,
                "format_stored": self.format,
                "controllers": self.led.as_ref().map(|l| &l.understood),
                "missing_for_next_format": self.led.as_ref().filter(|_| self.format < FORMAT).map(|_| self.missing()),
                "recovery": self.led.as_ref().map(|l| json!({"phase": l.recovery.phase(t), "waits_for": l.recovery.waits_for(t),
                    "squared": l.workers.squared})),
                "work": self.led.as_ref().map(|l| &l.service),
                "jobs_waiting_for_others": self.led.as_ref().map(|l| l.pipelines.len()),
            });
        };
        if let ["chain", uid] = rest {
            return self.inspect_pipeline(uid);
        }
        let only = rest.get(1).copied();
        if rest.first() == Some(&"jobs") {
            return self.inspect_jobs(led, only, after);
        }
        let from = (Bound::Excluded(after), Bound::Unbounded);
        let machines = led.workers.machines.range::<str, _>(from);
        let machines = machines.filter(|(id, _)| only.is_none_or(|o| o == &***id));
        let (machines, next) = page(machines.map(|(id, m)| (&**id, self.inspect_machine(m))));
        let machines: BTreeMap<&str, Value> = machines.into_iter().collect();
        let mut body =
            json!({"leader": self.settings.label, "term": led.term, "workers": machines});
        if let Some(next) = next {
            body["next"] = json!(next);
        }
        body
    }

    fn inspect_machine(&self, m: &Machine) -> Value {
        let t = self.now.steady;
        let tasks: Vec<Value> = m
            .tasks
            .iter()
            .map(|((k, a), e)| {
                json!({"task": format!("{}/{}", e.uid, k.part), "attempt": a, "state": format!("{:?}", e.state),
                       "halting": e.halting(), "cause": e.cause})
            })
            .collect();
        let silent_ms = t.saturating_sub(m.heard_at) / MILLI;
        json!({"type": m.build, "zone": m.zone, "spot": m.spot, "session": m.session,
            "heard": m.heard, "in_doubt": m.is_in_doubt(), "silent_ms": silent_ms, "quarantined": m.quarantined_until > t,
            "held_for": m.held_for(t, silence(&self.settings)),
            "notice": m.notice.is_some(), "tasks": tasks})
    }

    /// How many machines may take no new tasks, by the reason.
    fn machines_held(&self, led: &Led) -> BTreeMap<&'static str, usize> {
        let (t, silence) = (self.now.steady, silence(&self.settings));
        let mut held = BTreeMap::new();
        for m in led.workers.machines.values() {
            if let Some(reason) = m.held_for(t, silence) {
                *held.entry(reason).or_default() += 1;
            }
        }
        held
    }

    /// Why tasks of that job wait: for something about this leader, or about the job.
    pub(super) fn why_waits(&self, led: &Led, job: &Job) -> Option<&'static str> {
        let t = self.now.steady;
        let settings = &self.settings;
        let why = led
            .scheduler
            .why_waits(t, job, &led.workers, &self.cloud.types, settings)?;
        if job.cancelled || job.waits() {
            return Some(why);
        }
        Some(if !self.leads() {
            "this controller may not act as leader at the moment"
        } else if t < led.held_until {
            "something stored can't be read: nothing starts until all leases of the takeover are over"
        } else if !self.load.may_start() {
            "the leader is behind and starts nothing new"
        } else {
            why
        })
    }

    /// The live jobs that this leader believes it holds, of all teams or of one.
    fn inspect_jobs(&self, led: &Led, team: Option<&str>, after: &str) -> Value {
        let jobs = led.table.by_number.values();
        let jobs = jobs.filter(|j| team.is_none_or(|t| t == &*j.spec.team));
        let mut jobs: Vec<&Job> = jobs.filter(|j| &*j.spec.uid > after).collect();
        // Numbers are another leader's, should the lead change between two pages.
        jobs.sort_unstable_by_key(|j| &j.spec.uid);
        let rows = jobs.into_iter().map(|j| {
            let row = json!({"uid": j.spec.uid, "team": j.spec.team, "class": j.spec.class, "accepted_by": j.node,
                "tasks": j.spec.tasks, "done": j.spec.tasks - j.remaining(), "placed": j.places.len(),
                "waiting": j.pending_count, "waits_because": self.why_waits(led, j), "cancelled": j.cancelled, "failing": !j.errors.is_empty()});
            (&*j.spec.uid, row)
        });
        let (rows, next) = page(rows);
        let rows: Vec<Value> = rows.into_iter().map(|r| r.1).collect();
        let mut body = json!({"leader": self.settings.label, "term": led.term, "leads": self.leads(), "jobs": rows});
        if let Some(next) = next {
            body["next"] = json!(next);
        }
        body
    }
}
