//! The task sizes that a pass failed to place, so that it does not search again for what cannot fit.

use crate::capacity::Resources;
use crate::wire::JobSpec;

/// Task sizes that did not fit anywhere. A task that is at least as large in every dimension does
/// not fit either, since free capacity only shrinks during a pass.
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

    /// Remembers that a task of this job did not fit.
    pub(super) fn add(&mut self, spec: &JobSpec) {
        self.0.push(Resources {
            cores: spec.cores,
            accelerators: spec.accelerators,
            memory_gb: spec.memory_gb,
        });
    }
}

/// Whether the job restricts its machines in no way, so that a failure to place it holds for other
/// jobs as well.
pub(super) fn accepts_any_machine(spec: &JobSpec) -> bool {
    spec.types.is_none() && spec.zone.is_none() && spec.spot && !spec.one_zone && !spec.spread
}
