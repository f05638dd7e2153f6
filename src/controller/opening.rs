//! The first second of a life: what a node needs before it can serve, and how soon it had it.
//!
//! It needs the machine types, and nothing else: whether a job can ever run is answered by them. The
//! cloud tells them, which takes a tenth of a second where it is well and is not to be had while it
//! fails; so they are also kept at the state service. What is stored there is a hint: on it a job is
//! taken, but none is refused for good.

use super::*;
use crate::wire::{MachineType, MachineTypes};

/// The machine types as a leader last heard them from the cloud.
pub(super) const TYPES_KEY: &str = "types";
/// Between two tries to read or to store them.
const TYPES_TRY: Micros = 500 * MILLI;
const TYPES_LOOK: Micros = 5 * SECOND;
/// Until the line about the first second is told, whatever is missing in it.
const OPENED_AT_LAST: Micros = 20 * SECOND;

#[derive(Default)]
pub(super) struct Opening {
    /// What is stored, and its stamp; None before it was read.
    stored: Option<(Option<MachineTypes>, u64)>,
    open: bool,
    next_at: Micros,
    /// By whom the machine types were told first, and when.
    able: Option<(&'static str, Micros)>,
    up_at: Option<Micros>,
    accepted_at: Option<Micros>,
    polled_at: Option<Micros>,
    told: bool,
}

/// The same types, whatever they cost at the moment.
fn alike(a: &[MachineType], b: &[MachineType]) -> bool {
    let bare = |t: &MachineType| {
        let (price, spot_price) = (0.0, 0.0);
        serde_json::to_string(&MachineType {
            price,
            spot_price,
            ..t.clone()
        })
        .unwrap_or_default()
    };
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| bare(a) == bare(b))
}

impl Node {
    /// Reads the stored types at the start of a life; a leader stores what the cloud tells.
    pub(super) fn tick_opening(&mut self) {
        let t = self.now.steady;
        if self.opening.able.is_none() && !self.cloud.types.is_empty() {
            self.opening.able = Some(("cloud", t));
        }
        self.tell_opening();
        // Beside the version before nothing is written that it does not write.
        let leads = self.leads() && self.format >= FORMAT;
        let layout = self.layout();
        let o = &mut self.opening;
        if o.open || t < o.next_at {
            return;
        }
        let Some((stored, stamp)) = &o.stored else {
            (o.open, o.next_at) = (true, t + TYPES_TRY);
            return self.ask(For::Types, Op::Get(TYPES_KEY.to_owned()), SECOND);
        };
        if !leads || !self.cloud.told() {
            return;
        }
        // Looked at now and then only: the cloud is asked every two minutes.
        o.next_at = t + TYPES_LOOK;
        let known = stored.as_ref();
        if known.is_some_and(|s| alike(&s.builds, &self.cloud.types)) {
            return;
        }
        let value = raw(&MachineTypes {
            builds: self.cloud.types.clone(),
        });
        o.next_at = t + TYPES_TRY;
        let Some(leader) = self.lead.stamp().filter(|_| fits(&value, &layout)) else {
            return;
        };
        o.open = true;
        let txn = Txn::default()
            .require(LEADER_KEY, leader)
            .require(TYPES_KEY, *stamp)
            .set_raw(TYPES_KEY.to_owned(), value);
        self.ask(For::TypesStored, Op::Txn(txn), LEADER_PATIENCE);
    }

    pub(super) fn types_read(&mut self, reply: Reply) {
        let t = self.now.steady;
        self.opening.open = false;
        let (types, stamp) = match reply {
            Reply::Item(item) => {
                let types = serde_json::from_str::<MachineTypes>(item.value.get());
                if let Err(e) = &types {
                    log::error!("the stored {TYPES_KEY} can't be read: {e}");
                }
                (types.ok(), item.stamp)
            }
            Reply::Absent => (None, 0),
            _ => return,
        };
        if let Some(types) = &types
            && self.cloud.suppose(&types.builds)
        {
            self.opening.able = self.opening.able.or(Some(("stored", t)));
        }
        self.opening.stored = Some((types, stamp));
    }

    pub(super) fn types_stored(&mut self, reply: &Reply) {
        self.opening.open = false;
        // Written or not, it is read again to know.
        if !matches!(reply, Reply::Unavailable) {
            self.opening.stored = None;
        }
    }

    /// An answer was given to a user or to the load balancer.
    pub(super) fn note_opening(&mut self, method: &str, status: u16) {
        if self.opening.told || !matches!(status, 200 | 201) {
            return;
        }
        let t = self.now.steady;
        let at = match method {
            "GET /up" => &mut self.opening.up_at,
            "GET" => &mut self.opening.polled_at,
            _ => &mut self.opening.accepted_at,
        };
        *at = at.or(Some(t));
    }

    fn tell_opening(&mut self) {
        let t = self.now.steady;
        let o = &self.opening;
        let all = o.up_at.is_some() && o.accepted_at.is_some() && o.polled_at.is_some();
        if o.told || !(all || t >= OPENED_AT_LAST) {
            return;
        }
        // Steady clocks of processes begin at one second.
        let ms = |at: Option<Micros>| {
            at.map_or("none".to_owned(), |at| {
                (at.saturating_sub(SECOND) / MILLI).to_string()
            })
        };
        log::info!(
            "opened types={} able_ms={} up_ms={} accepted_ms={} polled_ms={}",
            o.able.map_or("none", |a| a.0),
            ms(o.able.map(|a| a.1)),
            ms(o.up_at),
            ms(o.accepted_at),
            ms(o.polled_at)
        );
        self.opening.told = true;
    }
}
