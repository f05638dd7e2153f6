//! What the state service answers, to those that asked.

use super::*;

impl Node {
    pub(super) fn stored(&mut self, purpose: For, reply: Reply, sent: Micros) {
        let now = self.now.steady;
        if !matches!(
            purpose,
            For::WatchJobs { .. } | For::Lead(Step::Watch | Step::Look)
        ) && !matches!(reply, Reply::Unavailable | Reply::Lost)
        {
            self.lead.note_answer(now.saturating_sub(sent));
        }
        match purpose {
            For::Lead(step) => {
                let (ops, change) = self.lead.reply(now, step, reply, sent);
                for (step, op) in ops {
                    self.ask(For::Lead(step), op, SECOND);
                }
                match change {
                    Some(Change::Took { term, stamp }) => self.take_over(term, stamp, sent),
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
                    self.unanswered.answered(&uid);
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
                Reply::Absent if over => {
                    self.unanswered.answered(&uid);
                    self.error(conn, 404, "no such job");
                }
                // Live first, then over: a job moves only in that direction.
                Reply::Absent => self.read_for_poll(conn, uid, true),
                _ => self.poll_failed(conn, &uid),
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
                    // A leader needs no watch to tell it what it wrote itself.
                    if let Some(led) = &mut self.led {
                        Self::mark_cancelled(led, &uid);
                        self.take_events();
                    } else {
                        self.hint_cancelled(&uid);
                    }
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
            For::Types => self.types_read(reply),
            For::TypesStored => self.types_stored(&reply),
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
            For::Mirror { round, want } => self.mirror_answered(round, want, reply),
            For::WatchJobs { term } if self.is_term(term) => self.watched(reply, sent),
            For::CatchUp { term } if self.is_term(term) => self.caught_up(reply, sent),
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

    pub(super) fn how_written(key: &String, reply: &Reply) -> Written {
        match reply {
            Reply::Applied { epoch } => Written::Applied(*epoch),
            Reply::Unavailable => Written::Not,
            Reply::Conflict { failed } if !failed.contains(key) => Written::Not,
            _ => Written::Unknown,
        }
    }

    pub(super) fn is_term(&self, term: u64) -> bool {
        self.led.as_ref().is_some_and(|l| l.term == term)
    }
}
