//! A new leader loads jobs and roll, and holds what may be on machines.

use super::Controller;
use super::leader::LeaderState;
use super::leader_schedule::LeaderSchedule;
use super::state_request::StateRequest;
use crate::accounting::{TaskOutcome, WorkloadAccounting};
use crate::cancellation_freshness::{CancellationFreshness, validity_from_settings};
use crate::clock::{MILLISECOND, Micros, SECOND, drift_upper_bound, from_secs};
use crate::dependency_graph::DependencyGraph;
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::job_record::{JobRecord, LIVE_PREFIX, STOPPING_PREFIX, live_key};
use crate::jobs::JobTable;
use crate::reconciliation::Reconciliation;
use crate::registry::MachineRegistry;
use crate::replica::{Checksum, Replica};
use crate::scheduler::Scheduler;
use crate::schema::{self, chunk_key};
use crate::seeded_hash::HashMap;
use crate::state_client::Reply;
use crate::task_id::TaskId;
use crate::worker_ledger::{PROXY_PROBE_HEAD_START, WorkerLedger};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A leader that hears no machine for this long, and two report periods, lets another lead; it
/// then rests for a while, longer each time.
const FLEET_SILENCE_TIMEOUT: Micros = 10 * SECOND;

const RESIGN_BACKOFF_MIN: Micros = 5 * SECOND;

const RESIGN_BACKOFF_MAX: Micros = 60 * SECOND;

impl Controller {
    pub(super) fn become_leader(&mut self, term: u64, mod_revision: u64, sent: Micros) {
        let now = self.now.steady;
        log::info!("leading with term {term}");
        self.state.set_leading(true);
        self.cloud.reset();
        let (loading, takeover) = self.begin_load(mod_revision);
        let layout = self.schema();
        let peers = self.peer_links.addresses();
        self.leader_state = Some(LeaderState {
            term,
            leader_key_revision: mod_revision,
            jobs: JobTable::default(),
            pipelines: DependencyGraph::default(),
            cascading_cancellations: VecDeque::new(),
            workers: WorkerLedger::new(
                term,
                now,
                self.settings.lease(),
                self.settings.report_period(),
                peers,
            ),
            scheduler: Scheduler::new(
                &self.properties,
                &self.settings,
                layout,
                self.rng_seed ^ term,
                now,
            ),
            registry: MachineRegistry::new(layout),
            schema_key_revision: 0,
            schema_support: BTreeMap::new(),
            starts_held_until: 0,
            load: Some(loading),
            failover: takeover,
            reconciliation: Reconciliation::new(now, 0, 0),
            reconciliation_logged: false,
            jobs_revision: 0,
            // What it is built from is not older than its own take.
            cancellation_freshness: CancellationFreshness::new(
                validity_from_settings(self.settings.lease(), self.settings.cancel()),
                sent,
            ),
            job_revisions: HashMap::default(),
            jobs_checksum: Checksum::default(),
            schedule: LeaderSchedule::new(now),
            rented: BTreeSet::new(),
            cancellation_hints: 0,
            accounting: WorkloadAccounting::default(),
            wanted_machines: Vec::new(),
            elected_at: now,
            last_busy_at: now,
            valid_since: now,
        });
        self.continue_load();
    }

    /// Leaves leading to another term, of another node if one takes it within `rest`.
    pub(super) fn resign(&mut self, rest: Micros) {
        for (step, op) in self.election.resign(self.now.steady, rest) {
            self.request_state(StateRequest::Election(step), op, SECOND);
        }
        self.step_down();
    }

    /// A leader that hears nobody, neither directly nor through its peers, is of no use, and the
    /// others may see what it doesn't. Were it to stay, all leases would run out under it.
    pub(super) fn resign_if_fleet_silent(&mut self) -> bool {
        let t = self.now.steady;
        let Some(leader_state) = &self.leader_state else {
            return false;
        };
        let patience = FLEET_SILENCE_TIMEOUT.max(2 * self.settings.report_period());
        let deaf = t > leader_state
            .workers
            .any_machine_seen_at
            .max(leader_state.valid_since)
            + patience;
        if !deaf || leader_state.workers.machines.len() < 2 || self.peer_links.is_empty() {
            return false;
        }
        log::warn!("no machine is heard; leaving the lead to another controller");
        self.resign_backoff =
            (2 * self.resign_backoff).clamp(RESIGN_BACKOFF_MIN, RESIGN_BACKOFF_MAX);
        self.resign(self.resign_backoff);
        true
    }

    /// A leader whose grant is renewed and whose questions for changes are not answered can't act for long;
    /// another may be told.
    pub(super) fn resign_if_cancellations_stale(&mut self) -> bool {
        let (t, since) = (self.now.steady, self.election.valid_since());
        let Some(leader_state) = &self.leader_state else {
            return false;
        };
        if self.peer_links.is_empty()
            || !leader_state
                .cancellation_freshness
                .is_refresh_stuck(t, since)
        {
            return false;
        }
        let ms = leader_state.cancellation_freshness.age(t) / MILLISECOND;
        log::warn!(
            "nothing of what changed is told for {ms} ms; leaving the lead to another controller"
        );
        self.resign_backoff =
            (2 * self.resign_backoff).clamp(RESIGN_BACKOFF_MIN, RESIGN_BACKOFF_MAX);
        self.resign(self.resign_backoff);
        true
    }

    pub(super) fn step_down(&mut self) {
        if self.leader_state.take().is_some() {
            log::info!("no longer leading");
        }
        self.state.set_leading(false);
    }

    /// Builds the lead from what is stored; returns how many placements are held until proven.
    pub(super) fn finish_load(&mut self, mut mirror: Replica) -> usize {
        let now = self.now.steady;
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.load = None;
            leader_state.jobs_revision = mirror.revision();
            let live = mirror.live.iter();
            leader_state.job_revisions =
                live.map(|(uid, h)| (uid.clone(), h.mod_revision)).collect();
            for (uid, mod_revision) in &leader_state.job_revisions {
                leader_state
                    .jobs_checksum
                    .toggle(&live_key(uid), *mod_revision);
            }
        }
        match mirror.schema_version() {
            Some(item) => {
                self.learn_schema_version(item);
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.schema_key_revision = item.mod_revision;
                }
            }
            None => self.schema_version_read(Reply::Absent),
        }
        let layout = self.schema();
        let Some(leader_state) = &mut self.leader_state else {
            return 0;
        };
        leader_state.scheduler.schema = layout;
        leader_state.registry.set_schema(now, layout);
        let mut roll_unread = false;
        for item in mirror.registry_pages() {
            let Some(entries) =
                leader_state
                    .registry
                    .load_page(&item.path, &item.value, item.mod_revision)
            else {
                roll_unread = true;
                continue;
            };
            for (id, r) in entries {
                leader_state.workers.add_registered_machine(
                    id.clone(),
                    &r.addr,
                    &r.machine_type,
                    &r.zone,
                    r.spot,
                    now,
                );
                if let Some(quiet) = r.quiet {
                    let bound = from_secs(self.settings.deployment.clock_offset_max_ms / 1000.0);
                    leader_state
                        .workers
                        .load_silence_mark(&id, quiet, self.now, bound);
                }
                if let Some(m) = leader_state.workers.machines.get_mut(&id) {
                    m.images
                        .extend(r.images.into_iter().map(|i| (i, (now, 0.0))));
                }
                if r.rented {
                    leader_state.rented.insert(id);
                }
            }
        }
        leader_state.registry.migrate_pages(now);
        let mut unread = 0;
        let mut held = 0;
        let forgotten = usize::from(fault_injected(InjectedFault::JobForgotten));
        let live = std::mem::take(&mut mirror.live);
        let stopping = std::mem::take(&mut mirror.stopping);
        for (heads, over, cancelled) in [
            (live, LIVE_PREFIX, false),
            (stopping, STOPPING_PREFIX, true),
        ] {
            for (uid, head) in heads.into_iter().skip(forgotten) {
                let (mut record, count) = match head.decoded {
                    Ok(read) => read,
                    Err(e) => {
                        log::error!("the stored job at {over}{uid} can't be read: {e}");
                        unread += 1;
                        continue;
                    }
                };
                for n in 0..count {
                    let piece = mirror.chunk(&uid, n).map(|i| &i.value);
                    let read = piece.ok_or_else(|| "it is missing".to_owned());
                    if let Err(e) = read.and_then(|p| schema::decode_chunk(p, &mut record)) {
                        log::error!("{} can't be read: {e}", chunk_key(&uid, n));
                        unread += 1;
                    }
                }
                if roll_unread {
                    // A machine that stands on no page that can be read may still be there.
                    for machine in record.placed.keys() {
                        let id = machine.clone();
                        leader_state
                            .workers
                            .add_registered_machine(id, "", "", "", false, now);
                    }
                }
                held += Self::adopt_job(
                    leader_state,
                    now,
                    &record,
                    count,
                    head.mod_revision,
                    cancelled,
                );
                if head.bytes > layout.usable_bytes()
                    && let Some(job) = leader_state.jobs.get_mut(&uid)
                {
                    // Stored under larger limits; an earlier leader did not get to move it.
                    job.mark_dirty(now);
                }
            }
        }
        if unread > 0 || roll_unread {
            // Placements that nobody can read: what the machines don't report within their lease
            // is surely not there.
            leader_state.starts_held_until = now + drift_upper_bound(self.settings.lease());
            log::error!("nothing is started until all leases of this moment are over");
        }
        let jobs = leader_state.jobs.by_number.values();
        let waiting: Vec<Arc<str>> = jobs
            .filter(|j| j.waits_for_dependencies())
            .map(|j| j.spec.uid.clone())
            .collect();
        for uid in &waiting {
            Self::add_dependencies(leader_state, &self.cloud, uid);
        }
        leader_state.schedule.request_placement_now(now);
        // A node that never heard of a leader is new itself, and so, most likely, are the others: nobody
        // carries anybody, and nobody would ask. Else those carried are asked without being told.
        let new =
            self.client_requests.progress_at() == 0 && self.peer_links.leader_hint_at().is_none();
        leader_state.schedule.share_probes_at(if new {
            now
        } else {
            now + PROXY_PROBE_HEAD_START
        });
        let period = self.settings.report_period();
        leader_state.reconciliation =
            Reconciliation::new(now, leader_state.workers.machines.len(), period);
        let flow = leader_state
            .scheduler
            .expect_completion_rate(now, &leader_state.workers);
        leader_state.reconciliation.expect_completion_rate(flow);
        log::info!(
            "term {}: {} jobs, {} machines on the roll, {held} placements to be confirmed",
            leader_state.term,
            leader_state.jobs.by_number.len(),
            leader_state.workers.machines.len()
        );
        held
    }

    /// Takes a stored job into the table; its stored placements are held until proven.
    pub(super) fn adopt_job(
        leader_state: &mut LeaderState,
        now: Micros,
        record: &JobRecord,
        pieces: usize,
        mod_revision: u64,
        cancelled: bool,
    ) -> usize {
        let uid = record.spec.uid.clone();
        if let Some(job) = leader_state.jobs.get_mut(&uid) {
            if cancelled {
                // Cancelled between the two reads, where the state service did not tell what came between them:
                // the watch tells of the same write, which by its stamp would pass for known.
                Self::mark_cancelled(leader_state, &uid);
            } else if job.mod_revision < mod_revision && !job.save_in_flight {
                job.mod_revision = mod_revision;
            }
            return 0;
        }
        let number = leader_state.jobs.add(record, mod_revision);
        let tasks = record.spec.tasks.saturating_sub(record.done_count());
        leader_state
            .accounting
            .record(&record.spec, TaskOutcome::Accepted { tasks });
        let mut held = 0;
        for (machine, parts) in &record.placed {
            for part in parts.iter().flat_map(|(a, b)| *a..*b) {
                let key = TaskId {
                    job: number,
                    index: part,
                };
                // A machine that is not on the roll was proven gone before it left the roll.
                if leader_state
                    .workers
                    .add_unconfirmed(machine, key, &record.spec, now)
                    && let Some(job) = leader_state.jobs.by_number.get_mut(&number)
                {
                    job.add_placement(part, machine, 0);
                    held += 1;
                }
            }
        }
        if let Some(job) = leader_state.jobs.by_number.get_mut(&number) {
            job.cancelled = cancelled;
            job.chunks = pieces;
        }
        held
    }
}
