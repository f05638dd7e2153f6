//! Machine registry: the stored list of all machines that may hold a task. A new leader must hear from each
//! machine, or wait for the machine's lease to expire, before it knows all tasks that run.
//!
//! The registry is divided into pages, each stored as one value, so that a thousand machines take only a few
//! writes. [`MachineRegistry`] owns the assignment of machines to pages and, for each page, what is stored, what
//! has to be written and what is in flight. It does no I/O: [`MachineRegistry::take_due_requests`] returns
//! [`RegistryRequest`]s, and the caller passes in their results.
//!
//! The entry of a machine that has become silent carries a silence mark: the time of the last contact with it.
//!
//! Invariants:
//!
//! - A machine is registered before it is given its first task.
//! - Each write and deletion has the page's revision as a precondition, so that a request that is applied late, or
//!   twice, cannot restore an outdated silence mark. A page that this leader created is not deleted in its term: the
//!   precondition of the write that created it, an absent key, would hold again.
//! - At most one request per page is in flight.
//! - A page is emptied or deleted only once all its machines are stored in other pages.

mod page;

use crate::clock::{MILLISECOND, Micros, Now, SECOND};
use crate::schema::Schema;
use crate::seeded_hash::{HashMap, HashSet};
use crate::state_client::RawJson;
use crate::worker_ledger::{Machine, WorkerLedger};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use page::{Entries, RegistryEntry};

/// Prefix of the keys of all registry pages.
pub const REGISTRY_PREFIX: &str = "roll/";
/// Prefix of the keys of pages of schema version 1.
const PAGE_PREFIX_V1: &str = "roll/g-";
/// Prefix of the keys of pages of schema version 2.
const PAGE_PREFIX: &str = "roll/p-";
/// Estimated size of an entry of schema version 1, including the images that it will hold later.
const ENTRY_BYTES_V1: usize = 180;
/// Estimated size of an entry of schema version 2, including the images that it will hold later.
const ENTRY_BYTES: usize = 26;
/// Estimated size of the lists at the beginning of a page of schema version 2.
const PAGE_LISTS_BYTES: usize = 600;
/// Maximum number of machines in a page: each write of a page takes processor time of the leader for all of
/// them. When pages held as many machines as fit a large value, the writes for a growing fleet delayed responses
/// to users.
const PAGE_MACHINES_MAX: usize = 160;
/// Delay before new machines and silence marks are written, so that one write covers several changes.
const WRITE_BATCH_DELAY: Micros = 200 * MILLISECOND;
/// Delay, per machine of the fleet, before changes of cached images are written. They only help the placements of
/// a new leader, so they are written less often the more machines there are.
const IMAGE_WRITE_DELAY_PER_MACHINE: Micros = 25 * MILLISECOND;
/// With more pages than this, the delay before writes of images grows in proportion to the number of pages.
const IMAGE_WRITE_DELAY_BASE_PAGES: Micros = 10;
/// Interval between the starts of the migrations of two pages.
const MIGRATION_INTERVAL: Micros = 300 * MILLISECOND;
/// Delay before a departed machine is removed from its stored page, so that one write covers several removals.
const REMOVAL_DELAY: Micros = 3 * SECOND;

/// The machines that a write of a page contains, each with its silence mark if it has one.
pub type WrittenMachines = Vec<(Arc<str>, Option<Micros>)>;

/// A page of the registry as the leader knows it.
#[derive(Default)]
struct RegistryPage {
    /// Revision of the stored value (0: none is stored); `None` if it is unknown and has to be read.
    mod_revision: Option<u64>,
    /// The machines to be stored in this page.
    members: BTreeSet<Arc<str>>,
    /// When the page is to be written; `None` if it need not be.
    due_at: Option<Micros>,
    in_flight: bool,
    /// The machines that the stored value marks as silent.
    marked_silent: BTreeSet<Arc<str>>,
    /// Whether its members are moving to other pages; it is deleted once all of them are stored there.
    retiring: bool,
    /// Whether this leader has, or may have, created the page. Such a write, if its outcome is unknown, or a late copy
    /// of it may be applied at any time at which the key is absent, and would restore the silence marks that it
    /// contains. The page is therefore emptied instead of deleted. This is needed only during the current term,
    /// since the write has the leader key's revision as a precondition.
    created_this_term: bool,
}

impl RegistryPage {
    /// Makes the page due at this time, unless it is due earlier.
    fn schedule(&mut self, at: Micros) {
        self.due_at = Some(self.due_at.map_or(at, |due_at| due_at.min(at)));
    }
}

/// A request to the key-value store, which the caller sends.
pub enum RegistryRequest {
    /// Reads the page under this key; the result goes to [`MachineRegistry::handle_page_read`].
    Read(String),
    /// Writes a page; the result goes to [`MachineRegistry::handle_page_written`].
    Write {
        /// Key of the page.
        key: String,
        /// Precondition: the key's revision (0: the key must be absent).
        mod_revision: u64,
        /// The new value.
        value: RawJson,
        /// The machines in the new value.
        written: WrittenMachines,
        /// Whether the page contains machines that are not registered yet. They get no task before it is stored.
        registers_machines: bool,
    },
    /// Deletes a page whose machines are all stored in other pages; the result goes to
    /// [`MachineRegistry::handle_page_deleted`].
    Delete {
        /// Key of the page.
        key: String,
        /// Precondition: the key's revision.
        mod_revision: u64,
    },
}

/// The outcome of a write or deletion of a page.
pub enum WriteResult {
    /// Applied, at this store revision.
    Applied(u64),
    /// Certainly not applied, and not because of a precondition on the page's own key.
    NotApplied,
    /// May have been applied or may still be, or the precondition on the page did not hold: the stored page must
    /// be read.
    Unknown,
}

/// The machine registry as the leader maintains it.
pub struct MachineRegistry {
    /// The pages by key.
    pages: BTreeMap<String, RegistryPage>,
    /// The key of the page that each machine is assigned to.
    page_of: HashMap<Arc<str>, String>,
    schema: Schema,
    machines_per_page: usize,
    /// Machines that are stored in the page that they are assigned to.
    stored_as_assigned: HashSet<Arc<str>>,
}

/// What the preparation of a page's next request depends on.
struct PageContext<'a> {
    now: Micros,
    schema: Schema,
    stored_as_assigned: &'a HashSet<Arc<str>>,
    workers: &'a WorkerLedger,
    rented: &'a BTreeSet<Arc<str>>,
}

/// The next action for a page that is due.
enum PageAction {
    /// Send this request.
    Request(RegistryRequest),
    /// Split the page, because its machines (this many) do not fit one value.
    Split(usize),
}

impl RegistryPage {
    fn is_due(&self, context: &PageContext) -> bool {
        if self.in_flight {
            return false;
        }
        if self.retiring {
            let has_moved = |id: &Arc<str>| {
                context.stored_as_assigned.contains(id)
                    || !context.workers.machines.contains_key(id)
            };
            return self.members.iter().all(has_moved);
        }
        self.due_at.is_some_and(|due_at| due_at <= context.now)
    }

    /// Returns the action that is due for the page and marks it as taken; `None` if nothing is due.
    fn take_action(&mut self, key: &str, context: &PageContext) -> Option<PageAction> {
        if !self.is_due(context) {
            return None;
        }
        let key = key.to_owned();
        let Some(mod_revision) = self.mod_revision else {
            self.in_flight = true;
            return Some(PageAction::Request(RegistryRequest::Read(key)));
        };
        self.due_at = None;
        if self.retiring && self.created_this_term {
            self.retiring = false;
            self.members.clear();
        }
        if self.retiring {
            self.in_flight = true;
            let delete = RegistryRequest::Delete { key, mod_revision };
            return Some(PageAction::Request(delete));
        }
        let machines = self.members.iter();
        let machines: Vec<&Machine> = machines
            .filter_map(|id| context.workers.machines.get(id))
            .collect();
        let Some(value) = page::encode_within(&machines, context.rented, &context.schema) else {
            return Some(PageAction::Split(machines.len()));
        };
        self.in_flight = true;
        Some(PageAction::Request(RegistryRequest::Write {
            key,
            mod_revision,
            value,
            written: machines
                .iter()
                .map(|machine| (machine.id.clone(), machine.silent_since))
                .collect(),
            registers_machines: machines.iter().any(|machine| !machine.registered),
        }))
    }
}

impl MachineRegistry {
    /// Creates an empty registry that writes in this schema.
    pub fn new(schema: Schema) -> Self {
        Self {
            pages: BTreeMap::new(),
            page_of: HashMap::default(),
            schema,
            machines_per_page: Self::machines_per_page(&schema),
            stored_as_assigned: HashSet::default(),
        }
    }

    /// How many machines a page of this schema is expected to hold.
    fn machines_per_page(schema: &Schema) -> usize {
        let usable_bytes = schema.usable_bytes() * 9 / 10;
        let machines = if schema.version < 2 {
            usable_bytes / ENTRY_BYTES_V1
        } else {
            usable_bytes.saturating_sub(PAGE_LISTS_BYTES) / ENTRY_BYTES
        };
        machines.clamp(1, PAGE_MACHINES_MAX)
    }

    /// Key prefix of the pages of the current schema.
    fn page_prefix(&self) -> &'static str {
        if self.schema.version < 2 {
            PAGE_PREFIX_V1
        } else {
            PAGE_PREFIX
        }
    }

    /// Loads a stored page at the beginning of a term. Returns the machines in it; logs an error and returns `None`
    /// if the page cannot be decoded.
    pub fn load_page(&mut self, key: &str, value: &RawJson, mod_revision: u64) -> Option<Entries> {
        let entries = match page::decode(value) {
            Ok(entries) => entries,
            Err(error) => {
                log::error!("registry page unreadable key={key} error={error}");
                return None;
            }
        };
        let page = self.pages.entry(key.to_owned()).or_default();
        page.mod_revision = Some(mod_revision);
        for (id, entry) in &entries {
            if entry.silent_since.is_some() {
                page.marked_silent.insert(id.clone());
            }
            if self.page_of.contains_key(id) {
                // The machine is in two pages because a migration was interrupted; this page is written
                // without it.
                page.due_at = Some(0);
            } else {
                self.page_of.insert(id.clone(), key.to_owned());
                self.stored_as_assigned.insert(id.clone());
                page.members.insert(id.clone());
            }
        }
        Some(entries)
    }

    /// Switches to another schema for writing, and migrates the pages that do not conform to it.
    pub fn set_schema(&mut self, now: Micros, schema: Schema) {
        if schema == self.schema {
            return;
        }
        self.schema = schema;
        self.machines_per_page = Self::machines_per_page(&schema);
        self.migrate_pages(now);
    }

    /// Starts the migration of pages that have another schema version or too many machines. It runs in the
    /// background: first the new pages are stored, then the old ones are deleted.
    pub fn migrate_pages(&mut self, now: Micros) {
        let prefix = self.page_prefix();
        let is_outdated = |key: &str, page: &RegistryPage| {
            !page.retiring
                && (!key.starts_with(prefix) || page.members.len() > self.machines_per_page)
        };
        let outdated = self
            .pages
            .iter()
            .filter(|(key, page)| is_outdated(key, page));
        let keys: Vec<String> = outdated.map(|(key, _)| key.clone()).collect();
        for (n, key) in keys.into_iter().enumerate() {
            self.retire_page(now + MIGRATION_INTERVAL * n as Micros, &key);
        }
    }

    /// Moves the members of a page to other pages; once they are stored there, the page is deleted.
    fn retire_page(&mut self, at: Micros, key: &str) {
        let Some(page) = self.pages.get_mut(key) else {
            return;
        };
        page.retiring = true;
        page.due_at = None;
        let members = page.members.clone();
        for id in members {
            self.page_of.remove(&id);
            self.stored_as_assigned.remove(&id);
            self.assign_page(&id).schedule(at + WRITE_BATCH_DELAY);
        }
    }

    /// Removes a machine that certainly no longer exists.
    pub fn remove(&mut self, now: Micros, id: &str) {
        self.stored_as_assigned.remove(id);
        if let Some(key) = self.page_of.remove(id)
            && let Some(page) = self.pages.get_mut(&key)
        {
            page.members.remove(id);
            page.schedule(now + REMOVAL_DELAY);
        }
        for page in self.pages.values_mut().filter(|page| page.retiring) {
            page.members.remove(id);
        }
    }

    /// Returns the page that a machine is assigned to; assigns one if it has none.
    fn assign_page(&mut self, id: &Arc<str>) -> &mut RegistryPage {
        let key = match self.page_of.get(id) {
            Some(key) => key.clone(),
            None => {
                let key = self
                    .find_page_with_room()
                    .unwrap_or_else(|| self.new_page_key());
                self.page_of.insert(id.clone(), key.clone());
                key
            }
        };
        let page = self.pages.entry(key).or_insert_with(|| RegistryPage {
            mod_revision: Some(0),
            ..RegistryPage::default()
        });
        page.members.insert(id.clone());
        page
    }

    /// The key of a page that can take another machine.
    fn find_page_with_room(&self) -> Option<String> {
        let prefix = self.page_prefix();
        let mut pages = self.pages.iter();
        let with_room = pages.find(|(key, page)| {
            !page.retiring && key.starts_with(prefix) && page.members.len() < self.machines_per_page
        });
        with_room.map(|(key, _)| key.clone())
    }

    /// A page key that is not in use.
    fn new_page_key(&self) -> String {
        let prefix = self.page_prefix();
        let mut keys = (0..).map(|n| format!("{prefix}{n}"));
        keys.find(|key| !self.pages.contains_key(key))
            .unwrap_or_default()
    }

    /// Takes the machines whose entries have to be written from the ledger, and returns the requests that are
    /// due.
    pub fn take_due_requests(
        &mut self,
        now: Now,
        workers: &mut WorkerLedger,
        rented: &BTreeSet<Arc<str>>,
    ) -> Vec<RegistryRequest> {
        let now = now.steady;
        self.schedule_updates(now, workers);
        let context = PageContext {
            now,
            schema: self.schema,
            stored_as_assigned: &self.stored_as_assigned,
            workers,
            rented,
        };
        let mut requests = Vec::new();
        let mut overfull = Vec::new();
        for (key, page) in &mut self.pages {
            match page.take_action(key, &context) {
                Some(PageAction::Request(request)) => requests.push(request),
                Some(PageAction::Split(machines)) => overfull.push((key.clone(), machines)),
                None => {}
            }
        }
        for (key, machines) in overfull {
            // Names or addresses are longer than the estimated size of an entry allows for.
            self.machines_per_page = self.machines_per_page.min(machines.div_ceil(2)).max(1);
            self.retire_page(now, &key);
        }
        requests
    }

    /// Schedules writes for the machines that the ledger has reported since the last call, and only for those.
    /// Scheduling a machine whose write is already in flight would write its page a second time.
    fn schedule_updates(&mut self, now: Micros, workers: &mut WorkerLedger) {
        let machine_count = workers.machines.len() as Micros;
        // The delay grows with the number of pages, because writes of pages compete for the write budget with
        // those that task starts wait for.
        let pages = (self.pages.len() as Micros).max(IMAGE_WRITE_DELAY_BASE_PAGES);
        let image_write_delay =
            IMAGE_WRITE_DELAY_PER_MACHINE * machine_count * pages / IMAGE_WRITE_DELAY_BASE_PAGES;
        for id in workers.take_registry_updates() {
            let Some(machine) = workers.machines.get_mut(&id) else {
                continue;
            };
            let is_urgent = !machine.registered || machine.registry_stale;
            if machine.address.is_none() || (!is_urgent && !machine.images_stale) {
                continue;
            }
            machine.registry_stale = false;
            machine.images_stale = false;
            let delay = if is_urgent { 0 } else { image_write_delay };
            self.assign_page(&machine.id)
                .schedule(now + WRITE_BATCH_DELAY + delay);
        }
    }

    /// Handles the result of [`RegistryRequest::Read`]: the key's revision (0: the key is absent), or `None` if
    /// the read failed.
    pub fn handle_page_read(&mut self, now: Micros, key: &str, mod_revision: Option<u64>) {
        if let Some(page) = self.pages.get_mut(key) {
            page.in_flight = false;
            page.mod_revision = mod_revision;
            page.schedule(now);
        }
    }

    /// Handles the result of [`RegistryRequest::Delete`].
    pub fn handle_page_deleted(
        &mut self,
        key: &str,
        result: &WriteResult,
        workers: &mut WorkerLedger,
    ) {
        let Some(page) = self.pages.get_mut(key) else {
            return;
        };
        page.in_flight = false;
        match result {
            WriteResult::Applied(_) => {
                let deleted = self.pages.remove(key).unwrap_or_default();
                for id in deleted.marked_silent {
                    // This page no longer marks the machine as silent. Its assigned page, which has the mark if
                    // it still applies, is written again so that `silence_stored` can be cleared.
                    workers.mark_registry_stale(&id);
                }
            }
            WriteResult::NotApplied => {}
            WriteResult::Unknown => page.mod_revision = None,
        }
    }

    /// Handles the result of [`RegistryRequest::Write`].
    pub fn handle_page_written(
        &mut self,
        now: Micros,
        key: &str,
        written: WrittenMachines,
        result: &WriteResult,
        workers: &mut WorkerLedger,
    ) {
        let Some(page) = self.pages.get_mut(key) else {
            return;
        };
        page.in_flight = false;
        let may_have_created =
            page.mod_revision == Some(0) && !matches!(result, WriteResult::NotApplied);
        page.created_this_term |= may_have_created;
        match result {
            WriteResult::Applied(mod_revision) => {
                page.mod_revision = Some(*mod_revision);
                let marked = written.iter().filter(|(_, mark)| mark.is_some());
                let marked = marked.map(|(id, _)| id.clone()).collect();
                for id in std::mem::replace(&mut page.marked_silent, marked) {
                    // The machine has moved to another page. That page is written again, since
                    // `silence_stored` could not be cleared while this one marked the machine as silent.
                    if !page.members.contains(&id) {
                        workers.mark_registry_stale(&id);
                    }
                }
                for (id, mark) in written {
                    self.record_machine_written(key, &id, mark, workers);
                }
            }
            WriteResult::NotApplied => page.schedule(now + WRITE_BATCH_DELAY),
            WriteResult::Unknown => {
                page.mod_revision = None;
                page.schedule(now);
            }
        }
    }

    /// Records that a machine is stored in the page under `key`, with this silence mark.
    fn record_machine_written(
        &mut self,
        key: &str,
        id: &Arc<str>,
        mark: Option<Micros>,
        workers: &mut WorkerLedger,
    ) {
        // A machine that was removed while this write was in flight, and came back, is not a member any more: the next
        // write of the page drops it.
        let page = self.pages.get(key);
        if !page.is_some_and(|page| page.members.contains(id)) {
            return;
        }
        let Some(machine) = workers.machines.get_mut(id) else {
            return;
        };
        let before = (machine.registered, machine.silence_stored);
        machine.registered = true;
        if self.page_of.get(id).is_some_and(|own| own == key) {
            self.stored_as_assigned.insert(id.clone());
        }
        // A later leader may read the machine's entry in any page, even in one that is about to be deleted.
        let is_marked_elsewhere = self
            .pages
            .iter()
            .any(|(other, page)| other != key && page.marked_silent.contains(id));
        if mark.is_none() && machine.silent_since.is_none() && !is_marked_elsewhere {
            machine.silence_stored = false;
        }
        if before != (machine.registered, machine.silence_stored) {
            workers.mark_changed(id);
        }
    }
}
