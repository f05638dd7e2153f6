//! Records the task sizes that a pass failed to place, so that the pass does not search for
//! machines again for tasks that cannot fit.

use crate::capacity::Resources;
use crate::wire::JobSpec;

/// Task sizes that fit on no machine. A task that is at least as large in every resource does not
/// fit either, since free capacity only decreases during a pass.
#[derive(Default)]
pub(super) struct UnplaceableSizes(Vec<Resources>);

impl UnplaceableSizes {
    /// Whether a task of this job is known not to fit.
    pub(super) fn covers(&self, spec: &JobSpec) -> bool {
        self.0.iter().any(|size| {
            spec.cores >= size.cores
                && spec.accelerators >= size.accelerators
                && spec.memory_gb >= size.memory_gb
        })
    }

    /// Records that a task of this job does not fit.
    pub(super) fn add(&mut self, spec: &JobSpec) {
        self.0.push(Resources {
            cores: spec.cores,
            accelerators: spec.accelerators,
            memory_gb: spec.memory_gb,
        });
    }
}

/// Whether the job accepts machines of any type, zone and rental kind, so that a failure to place
/// its tasks applies to other jobs too.
pub(super) fn accepts_any_machine(spec: &JobSpec) -> bool {
    spec.types.is_none() && spec.zone.is_none() && spec.spot && !spec.one_zone && !spec.spread
}
