//! Becoming the leader, loading its state, and stepping down.
//!
//! A new leader builds its state from what is stored: jobs, machine registry and schema version,
//! from the replica it followed or read anew. Stored placements are held as unconfirmed until
//! their machines have reported, so no task is started twice. What can't be read proves nothing:
//! then no task is started until all leases of the time it was loaded have expired.

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
use crate::replica::{Checksum, JobHeader, Replica};
use crate::scheduler::Scheduler;
use crate::schema::{self, Schema, chunk_key};
use crate::seeded_hash::HashMap;
use crate::state_client::Reply;
use crate::task_id::TaskId;
use crate::worker_ledger::{PROXY_PROBE_HEAD_START, WorkerLedger};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A leader that hears no machine for this long, and for two report periods, resigns.
const FLEET_SILENCE_TIMEOUT: Micros = 10 * SECOND;
/// How long a leader that resigned for cause leaves the election to others the first time; the
/// pause doubles with each further time.
const RESIGN_BACKOFF_MIN: Micros = 5 * SECOND;
/// The longest such pause.
const RESIGN_BACKOFF_MAX: Micros = 60 * SECOND;

/// What was found when the stored jobs were loaded.
#[derive(Default)]
struct LoadedJobs {
    /// Placements that are held until their machines have reported.
    unconfirmed: usize,
    /// Records or chunks that could not be read.
    unreadable: usize,
}

/// What loading the jobs needs to know.
struct LoadContext {
    now: Micros,
    schema: Schema,
    /// A page of the machine registry could not be read.
    registry_unreadable: bool,
}

/// A stored job that is taken into the table.
#[derive(Clone, Copy)]
pub(super) struct StoredJob<'a> {
    /// Its record, with what its chunks hold.
    pub(super) record: &'a JobRecord,
    /// How many chunks belong to it.
    pub(super) chunks: usize,
    /// The revision of its key.
    pub(super) mod_revision: u64,
    /// It was cancelled, and tasks of it may still be on machines.
    pub(super) cancelled: bool,
}

impl Controller {
    /// This node was elected, by a request sent at `sent`: it starts to load the leader's state.
    pub(super) fn become_leader(&mut self, term: u64, mod_revision: u64, sent: Micros) {
        log::info!("elected leader term={term}");
        self.state.set_leading(true);
        self.cloud.reset();
        self.leader_state = Some(self.new_leader_state(term, mod_revision, sent));
        self.continue_load();
    }

    fn new_leader_state(&mut self, term: u64, mod_revision: u64, sent: Micros) -> LeaderState {
        let now = self.now.steady;
        let (load, failover) = self.begin_load(mod_revision);
        let schema = self.schema();
        let settings = &self.settings;
        let (lease, heartbeat_period) = (settings.worker_lease(), settings.heartbeat_period());
        let seed = self.rng_seed ^ term;
        LeaderState {
            term,
            leader_key_revision: mod_revision,
            jobs: JobTable::default(),
            pipelines: DependencyGraph::default(),
            cascading_cancellations: VecDeque::new(),
            workers: WorkerLedger::new(
                term,
                now,
                lease,
                heartbeat_period,
                self.peer_links.addresses(),
            ),
            scheduler: Scheduler::new(&self.properties, settings, schema, seed, now),
            registry: MachineRegistry::new(schema),
            schema_key_revision: 0,
            schema_support: BTreeMap::new(),
            starts_held_until: 0,
            load: Some(load),
            failover,
            reconciliation: Reconciliation::new(now, 0, 0),
            reconciliation_logged: false,
            jobs_revision: 0,
            // What the state is loaded from is not older than the election.
            cancellation_freshness: CancellationFreshness::new(
                validity_from_settings(lease, settings.cancellation_deadline()),
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
        }
    }

    /// Gives up leadership, and does not stand for election again within `backoff`.
    pub(super) fn resign(&mut self, backoff: Micros) {
        for (step, op) in self.election.resign(self.now.steady, backoff) {
            self.request_state(StateRequest::Election(step), op, SECOND);
        }
        self.step_down();
    }

    /// Resigns for cause, for longer each time.
    fn resign_with_backoff(&mut self) {
        self.resign_backoff =
            (2 * self.resign_backoff).clamp(RESIGN_BACKOFF_MIN, RESIGN_BACKOFF_MAX);
        self.resign(self.resign_backoff);
    }

    /// Resigns if no machine has been heard for long, neither directly nor through a peer: the
    /// other controllers may hear them. Were it to stay, all leases would expire under it.
    pub(super) fn resign_if_fleet_silent(&mut self) -> bool {
        let now = self.now.steady;
        let Some(leader_state) = &self.leader_state else {
            return false;
        };
        let timeout = FLEET_SILENCE_TIMEOUT.max(2 * self.settings.heartbeat_period());
        let heard_at = leader_state
            .workers
            .any_machine_seen_at
            .max(leader_state.valid_since);
        let machines = leader_state.workers.machines.len();
        if now <= heard_at + timeout || machines < 2 || self.peer_links.is_empty() {
            return false;
        }
        log::warn!("no machine is heard; resigning as leader machines={machines}");
        self.resign_with_backoff();
        true
    }

    /// Resigns, to continue under a new term, if its attempt numbers or fence counters are about to reach those
    /// of the next term.
    pub(super) fn resign_if_numbering_exhausted(&mut self) -> bool {
        let exhausted = |leader_state: &LeaderState| leader_state.workers.is_numbering_exhausted();
        if !self.leader_state.as_ref().is_some_and(exhausted) {
            return false;
        }
        log::warn!("attempt or fence numbers exhausted; continuing under a new term");
        self.resign(0);
        true
    }

    /// Resigns if its lease is renewed but its reads of cancellations are not answered: it can't
    /// act for long, and another controller may be answered.
    pub(super) fn resign_if_cancellations_stale(&mut self) -> bool {
        let (now, since) = (self.now.steady, self.election.valid_since());
        let Some(leader_state) = &self.leader_state else {
            return false;
        };
        let freshness = &leader_state.cancellation_freshness;
        if self.peer_links.is_empty() || !freshness.is_refresh_stuck(now, since) {
            return false;
        }
        let stale_ms = freshness.age(now) / MILLISECOND;
        log::warn!("cancellations can't be read; resigning as leader stale_ms={stale_ms}");
        self.resign_with_backoff();
        true
    }

    /// Drops everything that this node held as leader.
    pub(super) fn step_down(&mut self) {
        if let Some(leader_state) = self.leader_state.take() {
            log::info!("no longer leader term={}", leader_state.term);
        }
        self.state.set_leading(false);
    }

    /// Builds the leader's state from what is stored; returns how many placements are held as
    /// unconfirmed.
    pub(super) fn finish_load(&mut self, mut replica: Replica) -> usize {
        self.load_revisions(&replica);
        self.load_schema_version(&replica);
        let (now, schema) = (self.now.steady, self.schema());
        let registry_unreadable = self.load_registry(&replica, schema);
        let Some(leader_state) = &mut self.leader_state else {
            return 0;
        };
        let context = LoadContext {
            now,
            schema,
            registry_unreadable,
        };
        let loaded = Self::load_jobs(leader_state, &context, &mut replica);
        if loaded.unreadable > 0 || registry_unreadable {
            // Placements that nobody can read: what the machines don't report within their lease
            // is surely not there.
            leader_state.starts_held_until = now + drift_upper_bound(self.settings.worker_lease());
            log::error!("stored records unreadable; no task starts until all leases have expired");
        }
        let waiting: Vec<Arc<str>> = leader_state
            .jobs
            .by_number
            .values()
            .filter(|job| job.waits_for_dependencies())
            .map(|job| job.spec.uid.clone())
            .collect();
        for uid in &waiting {
            Self::add_dependencies(leader_state, &self.cloud, uid);
        }
        leader_state.schedule.request_placement_now(now);
        self.begin_reconciliation(loaded.unconfirmed);
        loaded.unconfirmed
    }

    /// Takes over the revisions of the live jobs, and the checksum over them.
    fn load_revisions(&mut self, replica: &Replica) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.load = None;
        leader_state.jobs_revision = replica.revision();
        let live = replica.live.iter();
        leader_state.job_revisions = live
            .map(|(uid, header)| (uid.clone(), header.mod_revision))
            .collect();
        for (uid, mod_revision) in &leader_state.job_revisions {
            leader_state
                .jobs_checksum
                .toggle(&live_key(uid), *mod_revision);
        }
    }

    fn load_schema_version(&mut self, replica: &Replica) {
        match replica.schema_version() {
            Some(item) => {
                self.learn_schema_version(item);
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.schema_key_revision = item.mod_revision;
                }
            }
            None => self.schema_version_read(Reply::Absent),
        }
    }

    /// Loads the machine registry; returns whether a page of it could not be read.
    fn load_registry(&mut self, replica: &Replica, schema: Schema) -> bool {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return false;
        };
        leader_state.scheduler.schema = schema;
        leader_state.registry.set_schema(now, schema);
        let clock_offset_max = from_secs(self.settings.deployment.clock_offset_max_ms / 1000.0);
        let mut unreadable = false;
        for item in replica.registry_pages() {
            let page = leader_state
                .registry
                .load_page(&item.path, &item.value, item.mod_revision);
            let Some(entries) = page else {
                unreadable = true;
                continue;
            };
            for (id, entry) in entries {
                leader_state.workers.add_registered_machine(
                    id.clone(),
                    &entry.address,
                    &entry.machine_type,
                    &entry.zone,
                    entry.spot,
                    now,
                );
                if let Some(silent_since) = entry.silent_since {
                    leader_state.workers.load_silence_mark(
                        &id,
                        silent_since,
                        self.now,
                        clock_offset_max,
                    );
                }
                if let Some(machine) = leader_state.workers.machines.get_mut(&id) {
                    let images = entry.images.into_iter();
                    machine
                        .images
                        .extend(images.map(|image| (image, (now, 0.0))));
                }
                if entry.rented {
                    leader_state.rented.insert(id);
                }
            }
        }
        leader_state.registry.migrate_pages(now);
        unreadable
    }

    /// Loads the live jobs, and then the cancelled ones that may still be on machines.
    fn load_jobs(
        leader_state: &mut LeaderState,
        context: &LoadContext,
        replica: &mut Replica,
    ) -> LoadedJobs {
        let skipped = usize::from(fault_injected(InjectedFault::LiveJobSkippedOnTakeover));
        let mut loaded = LoadedJobs::default();
        let live = std::mem::take(&mut replica.live);
        let stopping = std::mem::take(&mut replica.stopping);
        for (headers, prefix, cancelled) in [
            (live, LIVE_PREFIX, false),
            (stopping, STOPPING_PREFIX, true),
        ] {
            for (uid, header) in headers.into_iter().skip(skipped) {
                let (mod_revision, bytes) = (header.mod_revision, header.bytes);
                let record = read_record(replica, prefix, &uid, header, &mut loaded.unreadable);
                let Some((record, chunks)) = record else {
                    continue;
                };
                if context.registry_unreadable {
                    // A machine that is on no readable page may still be there.
                    for machine in record.placed.keys() {
                        let id = machine.clone();
                        leader_state.workers.add_registered_machine(
                            id,
                            "",
                            "",
                            "",
                            false,
                            context.now,
                        );
                    }
                }
                let stored = StoredJob {
                    record: &record,
                    chunks,
                    mod_revision,
                    cancelled,
                };
                loaded.unconfirmed += Self::adopt_job(leader_state, context.now, stored);
                if bytes > context.schema.usable_bytes()
                    && let Some(job) = leader_state.jobs.get_mut(&uid)
                {
                    // Stored under larger limits, and no earlier leader has rewritten it.
                    job.mark_dirty(context.now);
                }
            }
        }
        loaded
    }

    /// Starts to reconcile what is stored with what the machines report.
    fn begin_reconciliation(&mut self, unconfirmed: usize) {
        let now = self.now.steady;
        // A node that never heard of a leader has just started itself, and so, most likely, have
        // the others: no worker reports through any of them, and none would be probed. Otherwise
        // the peers first probe the workers that report to them, unasked.
        let cold_start =
            self.client_requests.progress_at() == 0 && self.peer_links.leader_hint_at().is_none();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.schedule.share_probes_at(if cold_start {
            now
        } else {
            now + PROXY_PROBE_HEAD_START
        });
        let machines = leader_state.workers.machines.len();
        leader_state.reconciliation =
            Reconciliation::new(now, machines, self.settings.heartbeat_period());
        let completion_rate = leader_state
            .scheduler
            .expect_completion_rate(now, &leader_state.workers);
        leader_state
            .reconciliation
            .expect_completion_rate(completion_rate);
        log::info!(
            "leader state loaded term={} jobs={} machines={machines} unconfirmed={unconfirmed}",
            leader_state.term,
            leader_state.jobs.by_number.len(),
        );
    }

    /// Takes a stored job into the table; its stored placements are held as unconfirmed. Returns
    /// how many those are.
    pub(super) fn adopt_job(
        leader_state: &mut LeaderState,
        now: Micros,
        stored: StoredJob<'_>,
    ) -> usize {
        let StoredJob {
            record,
            mod_revision,
            cancelled,
            ..
        } = stored;
        let uid = record.spec.uid.clone();
        if let Some(job) = leader_state.jobs.get_mut(&uid) {
            if cancelled {
                // Cancelled between the two reads, where the state service can't report all
                // changes: the watch will report the same write, but its revision would pass for
                // known.
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
        let mut unconfirmed = 0;
        for (machine, ranges) in &record.placed {
            for index in ranges.iter().flat_map(|(from, to)| *from..*to) {
                let task = TaskId { job: number, index };
                // A machine that is not registered was proven gone before its entry was removed.
                if leader_state
                    .workers
                    .add_unconfirmed(machine, task, &record.spec, now)
                    && let Some(job) = leader_state.jobs.by_number.get_mut(&number)
                {
                    job.add_placement(index, machine, 0);
                    unconfirmed += 1;
                }
            }
        }
        if let Some(job) = leader_state.jobs.by_number.get_mut(&number) {
            job.cancelled = cancelled;
            job.chunks = stored.chunks;
        }
        unconfirmed
    }
}

/// Completes a job's record from its chunks; `unreadable` counts what could not be read. None if
/// the header itself can't be read.
fn read_record(
    replica: &Replica,
    prefix: &str,
    uid: &str,
    header: JobHeader,
    unreadable: &mut usize,
) -> Option<(JobRecord, usize)> {
    let (mut record, chunks) = match header.decoded {
        Ok(read) => read,
        Err(error) => {
            log::error!("stored job unreadable key={prefix}{uid} error={error}");
            *unreadable += 1;
            return None;
        }
    };
    for number in 0..chunks {
        let key = chunk_key(uid, number);
        let Some(item) = replica.chunk(uid, number) else {
            log::error!("chunk of a stored job missing key={key}");
            *unreadable += 1;
            continue;
        };
        if let Err(error) = schema::decode_chunk(&item.value, &mut record) {
            log::error!("chunk of a stored job unreadable key={key} error={error}");
            *unreadable += 1;
        }
    }
    Some((record, chunks))
}
