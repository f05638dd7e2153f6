//! The stored roll of machines that may have been given a task: what a new leader must hear or
//! wait for. Many machines share one stored value, so that a thousand of them cost a few changes.
//!
//! Each write is conditional on the value's stamp: one that is applied late must not bring an
//! old mark back.

use crate::clock::{MILLI, Micros, Now, SECOND};
use crate::store::{Raw, raw};
use crate::workers::{Machine, Workers};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

pub const ROLL: &str = "roll/";
/// What an entry may take, with the images it will come to hold.
const ENTRY_BYTES: usize = 180;
/// New machines and marks are written together with those of the next moment.
const SOON: Micros = 200 * MILLI;
/// Which images a machine holds only helps a new leader: it can wait for company.
const LATER_PER_MACHINE: Micros = 25 * MILLI;

/// One machine as stored. Images are numbers into the value's own list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub addr: String,
    pub sku: String,
    pub zone: String,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub spot: bool,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub hired: bool,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<usize>,
    /// Time of day of the last contact with a machine that fell silent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quiet: Option<Micros>,
}

/// One stored value of the roll.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    #[serde(default)]
    pub images: Vec<Arc<str>>,
    #[serde(default)]
    pub machines: BTreeMap<Arc<str>, Entry>,
}

#[derive(Default)]
struct Group {
    /// Stamp of the stored value (0: none); None: unknown, to be read.
    stamp: Option<u64>,
    members: BTreeSet<Arc<str>>,
    /// When it is to be written.
    due: Option<Micros>,
    asked: bool,
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
    value_max: usize,
}

impl Roll {
    pub fn new(value_kb: f64) -> Self {
        Self {
            groups: BTreeMap::new(),
            group_of: HashMap::new(),
            value_max: (value_kb * 1024.0 * 0.9) as usize,
        }
    }

    /// Takes a stored value over; returns the machines that it names.
    pub fn load(&mut self, key: &str, value: &Raw, stamp: u64) -> Page {
        let page: Page = match serde_json::from_str(value.get()) {
            Ok(page) => page,
            Err(e) => {
                log::error!("the stored roll at {key} can't be read: {e}");
                return Page::default();
            }
        };
        let group = self.groups.entry(key.to_owned()).or_default();
        group.stamp = Some(stamp);
        for id in page.machines.keys() {
            if !self.group_of.contains_key(id) {
                self.group_of.insert(id.clone(), key.to_owned());
                group.members.insert(id.clone());
            }
        }
        page
    }

    /// The machine is surely gone.
    pub fn remove(&mut self, now: Micros, id: &str) {
        if let Some(key) = self.group_of.remove(id)
            && let Some(group) = self.groups.get_mut(&key)
        {
            group.members.remove(id);
            group.want(now + 3 * SECOND);
        }
    }

    fn enlist(&mut self, id: &Arc<str>) -> &mut Group {
        let room = (self.value_max / ENTRY_BYTES).max(1);
        let key = match self.group_of.get(id) {
            Some(key) => key.clone(),
            None => {
                let free = self.groups.iter().find(|g| g.1.members.len() < room);
                let key = free.map_or_else(
                    || {
                        (0..)
                            .map(|n| format!("{ROLL}g-{n}"))
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
        for m in workers.machines.values_mut() {
            if m.addr.is_none() || (m.in_roll && !m.roll_stale && !m.images_stale) {
                continue;
            }
            let at = if !m.in_roll || m.roll_stale {
                t + SOON
            } else {
                t + SOON + LATER_PER_MACHINE * fleet
            };
            m.roll_stale = false;
            m.images_stale = false;
            self.enlist(&m.id).want(at);
        }
        let mut asks = Vec::new();
        for (key, group) in &mut self.groups {
            if group.asked || group.due.is_none_or(|d| d > t) {
                continue;
            }
            group.asked = true;
            let Some(stamp) = group.stamp else {
                asks.push(Ask::Read(key.clone()));
                continue;
            };
            group.due = None;
            let members = group
                .members
                .iter()
                .filter_map(|id| workers.machines.get(id));
            let members: Vec<&Machine> = members.collect();
            let mut value = raw(&page(&members, hired, true));
            if value.get().len() > self.value_max {
                // Images are a help, nothing more.
                value = raw(&page(&members, hired, false));
            }
            asks.push(Ask::Write {
                key: key.clone(),
                stamp,
                value,
                written: members.iter().map(|m| (m.id.clone(), m.quiet)).collect(),
            });
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
        match result {
            Written::Applied(stamp) => {
                group.stamp = Some(*stamp);
                for (id, quiet) in written {
                    let Some(m) = workers.machines.get_mut(&id) else {
                        continue;
                    };
                    m.in_roll = true;
                    if quiet.is_none() && m.quiet.is_none() {
                        m.quiet_stored = false;
                    }
                    workers.touch(&id);
                }
            }
            Written::Not => group.want(now + SOON),
            Written::Unknown => {
                group.stamp = None;
                group.want(now);
            }
        }
    }
}

fn page(members: &[&Machine], hired: &BTreeSet<Arc<str>>, images: bool) -> Page {
    let mut page = Page::default();
    let mut numbers: HashMap<Arc<str>, usize> = HashMap::new();
    for m in members {
        let Some(addr) = m.addr else { continue };
        let mut entry = Entry {
            addr: addr.to_string(),
            sku: m.build.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            hired: hired.contains(&m.id),
            images: Vec::new(),
            quiet: m.quiet,
        };
        for image in m.images.keys().filter(|_| images) {
            let next = numbers.len();
            let n = *numbers.entry(image.clone()).or_insert(next);
            if n == next {
                page.images.push(image.clone());
            }
            entry.images.push(n);
        }
        page.machines.insert(m.id.clone(), entry);
    }
    page
}
