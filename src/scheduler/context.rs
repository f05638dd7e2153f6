//! The inputs that stay constant during one scheduler pass: the settings, the machine types and the
//! time at which the pass began, so that all decisions of a pass use the same time.

use crate::clock::{Micros, Now};
use crate::settings::Settings;
use crate::wire::MachineType;

/// A machine gets no new tasks after this many report periods without a heartbeat.
const HEARTBEAT_GRACE_REPORT_PERIODS: u64 = 3;

/// How long after its last heartbeat a machine may still get new tasks.
pub fn heartbeat_grace_period(settings: &Settings) -> Micros {
    settings.heartbeat_period() * HEARTBEAT_GRACE_REPORT_PERIODS
}

/// The time and the configuration of a scheduler pass.
#[derive(Clone, Copy)]
pub(super) struct PassContext<'a> {
    /// When the pass began, on the steady clock and as time of day.
    pub(super) now: Now,
    /// The settings of this controller.
    pub(super) settings: &'a Settings,
    /// The machine types that the provider offers.
    pub(super) types: &'a [MachineType],
    /// See [`heartbeat_grace_period`].
    pub(super) heartbeat_grace_period: Micros,
}

impl<'a> PassContext<'a> {
    /// The context of a pass that begins at `now`.
    pub(super) fn new(now: Now, settings: &'a Settings, types: &'a [MachineType]) -> Self {
        Self {
            now,
            settings,
            types,
            heartbeat_grace_period: heartbeat_grace_period(settings),
        }
    }
}
