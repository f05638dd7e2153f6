//! The stored roll of machines that may have been given a task: what a new leader must hear or
//! wait for. Many machines share one stored value, so that a thousand of them cost a few changes.
//!
//! Each write is conditional on the value's stamp: one that is applied late must not bring an
//! old mark back.

use crate::clock::{MILLI, Micros, Now, SECOND};
use crate::layout::{self, Layout, expand, old, squeeze};
use crate::maps::{HashMap, HashSet};
use crate::store::{Raw, raw};
use crate::workers::{Machine, Workers};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub const ROLL: &str = "roll/";
/// Pages of format 1 and of format 2.
const OLD_PAGE: &str = "roll/g-";
const PAGE: &str = "roll/p-";
/// What an entry of format 1 may take, with the images it will come to hold.
const OLD_ENTRY_BYTES: usize = 180;
/// The same in format 2, and what the lists at a page's head may take.
const ENTRY_BYTES: usize = 26;
const LISTS_BYTES: usize = 600;
/// The most machines of a page: each write of one costs the leader time for all of them. With as
/// many as fit a large value, a fleet that grew cost it what users then waited for.
const PAGE_MACHINES: usize = 160;
/// New machines and marks are written together with those of the next moment.
const SOON: Micros = 200 * MILLI;
/// Which images a machine holds only helps a new leader: it can wait for company.
const LATER_PER_MACHINE: Micros = 25 * MILLI;
/// That many pages may have their images written at the pace of the fleet alone.
const PAGES_AT_ONCE: Micros = 10;
/// Pages that are made anew follow each other at this distance.
const MOVE_EVERY: Micros = 300 * MILLI;

/// One machine as stored, read from either format.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    pub addr: String,
    pub sku: String,
    pub zone: String,
    pub spot: bool,
    pub hired: bool,
    pub images: Vec<Arc<str>>,
    /// Time of day of the last contact with a machine that fell silent.
    pub quiet: Option<Micros>,
}

/// The value of a page in format 2. Kinds are type, zone, whether spot and whether hired;
/// machines are name and address, as what differs from the entry before, the number of the kind,
/// the numbers of the images, and the mark of a silent one.
#[derive(Serialize, Deserialize)]
struct Page {
    format: u32,
    kinds: Vec<(String, String, bool, bool)>,
    images: Vec<Arc<str>>,
    machines: Vec<String>,
}

pub type Entries = BTreeMap<Arc<str>, Entry>;

fn read_page(value: &Raw) -> Result<Entries, String> {
    let Ok(page) = serde_json::from_str::<Page>(value.get()) else {
        let page: old::Page = serde_json::from_str(value.get()).map_err(|e| e.to_string())?;
        let entries = page.machines.into_iter().map(|(id, e)| {
            let images = e.images.iter().filter_map(|n| page.images.get(*n)).cloned();
            let entry = Entry {
                images: images.collect(),
                addr: e.addr,
                sku: e.sku,
                zone: e.zone,
                spot: e.spot,
                hired: e.hired,
                quiet: e.quiet,
            };
            (id, entry)
        });
        return Ok(entries.collect());
    };
    if page.format > layout::FORMAT {
        return Err(format!("its format is {}", page.format));
    }
    let mut entries = Entries::new();
    let (mut name, mut addr) = (String::new(), String::new());
    for text in &page.machines {
        let wrong = || format!("`{text}` is no machine");
        let fields: Vec<&str> = text.split(' ').collect();
        let [id, at, kind, images, rest @ ..] = fields.as_slice() else {
            return Err(wrong());
        };
        name = expand(&name, id).ok_or_else(wrong)?;
        addr = expand(&addr, at).ok_or_else(wrong)?;
        let kind = kind.parse::<usize>().ok().and_then(|k| page.kinds.get(k));
        let (sku, zone, spot, hired) = kind.ok_or_else(wrong)?.clone();
        let images = images.split('.').filter_map(|n| n.parse::<usize>().ok());
        let quiet = match rest.first() {
            Some(at) => Some(at.parse().map_err(|_| wrong())?),
            None => None,
        };
        let entry = Entry {
            addr: addr.clone(),
            sku,
            zone,
            spot,
            hired,
            images: images.filter_map(|n| page.images.get(n)).cloned().collect(),
            quiet,
        };
        entries.insert(name.as_str().into(), entry);
    }
    Ok(entries)
}

/// Numbers things in the order in which they first come.
fn number<T: PartialEq>(list: &mut Vec<T>, item: T) -> usize {
    match list.iter().position(|x| *x == item) {
        Some(n) => n,
        None => {
            list.push(item);
            list.len() - 1
        }
    }
}

fn write_page(members: &[&Machine], hired: &BTreeSet<Arc<str>>, images: bool) -> Raw {
    let mut page = Page {
        format: layout::FORMAT,
        kinds: Vec::new(),
        images: Vec::new(),
        machines: Vec::new(),
    };
    let (mut name, mut addr) = (String::new(), String::new());
    for m in members {
        let Some(at) = m.addr.map(|a| a.to_string()) else {
            continue;
        };
        let kind = (
            m.build.clone(),
            m.zone.clone(),
            m.spot,
            hired.contains(&m.id),
        );
        let kind = number(&mut page.kinds, kind);
        let held: Vec<String> = m
            .images
            .keys()
            .filter(|_| images)
            .map(|i| number(&mut page.images, i.clone()).to_string())
            .collect();
        let mut text = format!(
            "{} {} {kind} {}",
            squeeze(&name, &m.id),
            squeeze(&addr, &at),
            held.join(".")
        );
        if let Some(quiet) = m.quiet {
            text.push_str(&format!(" {quiet}"));
        }
        page.machines.push(text);
        (name, addr) = (m.id.to_string(), at);
    }
    raw(&page)
}

fn write_old_page(members: &[&Machine], hired: &BTreeSet<Arc<str>>, images: bool) -> Raw {
    let mut page = old::Page::default();
    for m in members {
        let Some(addr) = m.addr else { continue };
        let held = m.images.keys().filter(|_| images);
        let entry = old::Entry {
            addr: addr.to_string(),
            sku: m.build.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            hired: hired.contains(&m.id),
            images: held.map(|i| number(&mut page.images, i.clone())).collect(),
            quiet: m.quiet,
        };
        page.machines.insert(m.id.clone(), entry);
    }
    raw(&page)
}

#[derive(Default)]
struct Group {
    /// Stamp of the stored value (0: none); None: unknown, to be read.
    stamp: Option<u64>,
    members: BTreeSet<Arc<str>>,
    /// When it is to be written.
    due: Option<Micros>,
    asked: bool,
    /// The members that its stored value marks as silent.
    marked: BTreeSet<Arc<str>>,
    /// Its members are moving to other pages; it is deleted once all of them are stored there.
    retiring: bool,
    /// A write that was to create it had no answer. It may be carried out at any later time at which the key
    /// is absent, with the marks of then: the page is emptied in place of being deleted, as long as this leader
    /// leads, on whose key that write depends.
    doubtful: bool,
}

impl Group {
    fn want(&mut self, at: Micros) {
        self.due = Some(self.due.map_or(at, |d| d.min(at)));
    }
}

/// What is to be asked of the state service.
pub enum Ask {
    Read(String),
    Write {
        key: String,
        stamp: u64,
        value: Raw,
        written: Vec<(Arc<str>, Option<Micros>)>,
        /// It has machines that get no start before.
        joins: bool,
    },
    /// Its machines all stand in other pages.
    Delete {
        key: String,
        stamp: u64,
    },
}

/// How a write ended.
pub enum Written {
    Applied(u64),
    /// Surely not applied, and not for want of the right stamp.
    Not,
    /// May be applied yet, or the stamp was wrong: what is stored must be read.
    Unknown,
}

pub struct Roll {
    groups: BTreeMap<String, Group>,
    group_of: HashMap<Arc<str>, String>,
    layout: Layout,
    /// Machines that a page may hold.
    room: usize,
    /// Machines stored in the page that they are to stand in.
    settled: HashSet<Arc<str>>,
}

impl Roll {
    pub fn new(layout: Layout) -> Self {
        Self {
            groups: BTreeMap::new(),
            group_of: HashMap::default(),
            layout,
            room: Self::room(&layout),
            settled: HashSet::default(),
        }
    }

    fn room(layout: &Layout) -> usize {
        let usable = layout.usable() * 9 / 10;
        let room = if layout.format < 2 {
            usable / OLD_ENTRY_BYTES
        } else {
            usable.saturating_sub(LISTS_BYTES) / ENTRY_BYTES
        };
        room.clamp(1, PAGE_MACHINES)
    }

    fn prefix(&self) -> &'static str {
        if self.layout.format < 2 {
            OLD_PAGE
        } else {
            PAGE
        }
    }

    /// Takes a stored value over; returns the machines that it names, None if it can't be read.
    pub fn load(&mut self, key: &str, value: &Raw, stamp: u64) -> Option<Entries> {
        let entries = match read_page(value) {
            Ok(entries) => entries,
            Err(e) => {
                log::error!("the stored roll at {key} can't be read: {e}");
                return None;
            }
        };
        let group = self.groups.entry(key.to_owned()).or_default();
        group.stamp = Some(stamp);
        for (id, e) in &entries {
            if e.quiet.is_some() {
                group.marked.insert(id.clone());
            }
            if self.group_of.contains_key(id) {
                // Left from a move that was not finished: to be written without it.
                group.due = Some(0);
            } else {
                self.group_of.insert(id.clone(), key.to_owned());
                self.settled.insert(id.clone());
                group.members.insert(id.clone());
            }
        }
        Some(entries)
    }

    /// Under another layout, pages of an old format or too many machines move, in the
    /// background: first the new pages are stored, then the old one is deleted.
    pub fn set_layout(&mut self, now: Micros, layout: Layout) {
        if layout == self.layout {
            return;
        }
        self.layout = layout;
        self.room = Self::room(&layout);
        self.move_pages(now);
    }

    pub fn move_pages(&mut self, now: Micros) {
        let prefix = self.prefix();
        let outdated = |(key, g): (&String, &Group)| {
            (!g.retiring && (!key.starts_with(prefix) || g.members.len() > self.room))
                .then(|| key.clone())
        };
        let keys: Vec<String> = self.groups.iter().filter_map(outdated).collect();
        for (n, key) in keys.into_iter().enumerate() {
            self.retire(now + MOVE_EVERY * n as Micros, &key);
        }
    }

    /// Has the members of a page stored in others, and then the page deleted.
    fn retire(&mut self, at: Micros, key: &str) {
        let Some(group) = self.groups.get_mut(key) else {
            return;
        };
        group.retiring = true;
        group.due = None;
        let members = group.members.clone();
        for id in members {
            self.group_of.remove(&id);
            self.settled.remove(&id);
            self.enlist(&id).want(at + SOON);
        }
    }

    /// The machine is surely gone.
    pub fn remove(&mut self, now: Micros, id: &str) {
        self.settled.remove(id);
        if let Some(key) = self.group_of.remove(id)
            && let Some(group) = self.groups.get_mut(&key)
        {
            group.members.remove(id);
            group.want(now + 3 * SECOND);
        }
        for group in self.groups.values_mut().filter(|g| g.retiring) {
            group.members.remove(id);
        }
    }

    fn enlist(&mut self, id: &Arc<str>) -> &mut Group {
        let key = match self.group_of.get(id) {
            Some(key) => key.clone(),
            None => {
                let prefix = self.prefix();
                let open = |g: &(&String, &Group)| {
                    !g.1.retiring && g.0.starts_with(prefix) && g.1.members.len() < self.room
                };
                let key = self.groups.iter().find(open).map_or_else(
                    || {
                        (0..)
                            .map(|n| format!("{prefix}{n}"))
                            .find(|k| !self.groups.contains_key(k))
                            .unwrap_or_default()
                    },
                    |g| g.0.clone(),
                );
                self.group_of.insert(id.clone(), key.clone());
                key
            }
        };
        let group = self.groups.entry(key).or_insert_with(|| Group {
            stamp: Some(0),
            ..Group::default()
        });
        group.members.insert(id.clone());
        group
    }

    /// Notes what is to be stored, and hands out what is due.
    pub fn due(&mut self, now: Now, workers: &mut Workers, hired: &BTreeSet<Arc<str>>) -> Vec<Ask> {
        let t = now.steady;
        let fleet = workers.machines.len() as Micros;
        // The more pages, the longer: their writes compete with those that starts wait for.
        let pages = (self.groups.len() as Micros).max(PAGES_AT_ONCE);
        let later = LATER_PER_MACHINE * fleet * pages / PAGES_AT_ONCE;
        // Only what was named since: a machine that is about to be stored is not named again, or its page
        // would be written once more as soon as the write under way is done.
        for id in workers.take_to_store() {
            let Some(m) = workers.machines.get_mut(&id) else {
                continue;
            };
            if m.addr.is_none() || (m.in_roll && !m.roll_stale && !m.images_stale) {
                continue;
            }
            let at = if !m.in_roll || m.roll_stale {
                t + SOON
            } else {
                t + SOON + later
            };
            m.roll_stale = false;
            m.images_stale = false;
            self.enlist(&m.id).want(at);
        }
        let mut asks = Vec::new();
        let mut crowded = Vec::new();
        let settled = &self.settled;
        for (key, group) in &mut self.groups {
            if group.asked {
                continue;
            }
            if group.retiring {
                let moved =
                    |id: &Arc<str>| settled.contains(id) || !workers.machines.contains_key(id);
                if !group.members.iter().all(moved) {
                    continue;
                }
            } else if group.due.is_none_or(|d| d > t) {
                continue;
            }
            group.asked = true;
            let Some(stamp) = group.stamp else {
                asks.push(Ask::Read(key.clone()));
                continue;
            };
            group.due = None;
            if group.retiring && group.doubtful {
                group.retiring = false;
                group.members.clear();
            }
            if group.retiring {
                asks.push(Ask::Delete {
                    key: key.clone(),
                    stamp,
                });
                continue;
            }
            let members = group
                .members
                .iter()
                .filter_map(|id| workers.machines.get(id));
            let members: Vec<&Machine> = members.collect();
            let write = if self.layout.format < 2 {
                write_old_page
            } else {
                write_page
            };
            let mut value = write(&members, hired, true);
            if value.get().len() > self.layout.usable() {
                // Images are a help, nothing more.
                value = write(&members, hired, false);
            }
            if value.get().len() > self.layout.usable() && members.len() > 1 {
                group.asked = false;
                crowded.push((key.clone(), members.len()));
                continue;
            }
            asks.push(Ask::Write {
                key: key.clone(),
                stamp,
                value,
                written: members.iter().map(|m| (m.id.clone(), m.quiet)).collect(),
                joins: members.iter().any(|m| !m.in_roll),
            });
        }
        for (key, members) in crowded {
            // Names or addresses are longer than was reckoned with.
            self.room = self.room.min(members.div_ceil(2)).max(1);
            self.retire(t, &key);
        }
        asks
    }

    pub fn read(&mut self, now: Micros, key: &str, stamp: Option<u64>) {
        if let Some(group) = self.groups.get_mut(key) {
            group.asked = false;
            group.stamp = stamp;
            group.want(now);
        }
    }

    pub fn deleted(&mut self, key: &str, result: &Written, workers: &mut Workers) {
        let Some(group) = self.groups.get_mut(key) else {
            return;
        };
        group.asked = false;
        match result {
            Written::Applied(_) => {
                let gone = self.groups.remove(key).unwrap_or_default();
                for id in gone.marked {
                    // Its mark, if it is still one, stands in the machine's own page.
                    workers.restore(&id);
                }
            }
            Written::Not => {}
            Written::Unknown => group.stamp = None,
        }
    }

    pub fn written(
        &mut self,
        now: Micros,
        key: &str,
        written: Vec<(Arc<str>, Option<Micros>)>,
        result: &Written,
        workers: &mut Workers,
    ) {
        let Some(group) = self.groups.get_mut(key) else {
            return;
        };
        group.asked = false;
        let created = group.stamp == Some(0);
        match result {
            Written::Applied(stamp) => {
                group.stamp = Some(*stamp);
                let marked = written.iter().filter(|w| w.1.is_some());
                let marked = marked.map(|w| w.0.clone()).collect();
                for id in std::mem::replace(&mut group.marked, marked) {
                    // Moved away: its own page may have waited for this one.
                    if !group.members.contains(&id) {
                        workers.restore(&id);
                    }
                }
                for (id, quiet) in written {
                    let Some(m) = workers.machines.get_mut(&id) else {
                        continue;
                    };
                    let before = (m.in_roll, m.quiet_stored);
                    m.in_roll = true;
                    if self.group_of.get(&id).is_some_and(|k| k == key) {
                        self.settled.insert(id.clone());
                    }
                    // A later leader may read any page that names the machine, also one that
                    // is about to be deleted.
                    let elsewhere = self
                        .groups
                        .iter()
                        .any(|(k, g)| k != key && g.marked.contains(&id));
                    if quiet.is_none() && m.quiet.is_none() && !elsewhere {
                        m.quiet_stored = false;
                    }
                    if before != (m.in_roll, m.quiet_stored) {
                        workers.touch(&id);
                    }
                }
            }
            Written::Not => group.want(now + SOON),
            Written::Unknown => {
                group.doubtful |= created;
                group.stamp = None;
                group.want(now);
            }
        }
    }
}
