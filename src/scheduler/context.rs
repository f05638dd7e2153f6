//! The inputs of one scheduler pass that stay the same while it runs.
//!
//! Owns nothing: it borrows the settings and the machine types from the caller and carries the time
//! at which the pass began, so that all decisions of a pass are made for the same moment.

use crate::clock::{Micros, Now};
use crate::settings::Settings;
use crate::wire::MachineType;

/// A machine without a heartbeat for this many report periods takes no new tasks.
const SILENCE_LIMIT_REPORT_PERIODS: u64 = 3;

/// How long after its last heartbeat a machine may still be given new tasks.
pub fn silence_limit(settings: &Settings) -> Micros {
    settings.heartbeat_period() * SILENCE_LIMIT_REPORT_PERIODS
}

/// The time of a pass and the configuration that it works with.
#[derive(Clone, Copy)]
pub(super) struct PassContext<'a> {
    /// The moment at which the pass began, on both clocks.
    pub(super) now: Now,
    /// The settings of this controller.
    pub(super) settings: &'a Settings,
    /// The machine types that the provider offers.
    pub(super) types: &'a [MachineType],
    /// See [`silence_limit`].
    pub(super) silence_limit: Micros,
}

impl<'a> PassContext<'a> {
    /// The context of a pass that begins now.
    pub(super) fn new(now: Now, settings: &'a Settings, types: &'a [MachineType]) -> Self {
        Self {
            now,
            settings,
            types,
            silence_limit: silence_limit(settings),
        }
    }
}
