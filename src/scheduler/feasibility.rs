//! Checks whether a job can ever run, given the machine types that the provider offers and the
//! quota of its team. Depends only on the submission and the configuration, not on the running
//! tasks.

use crate::capacity::{EPSILON, Resources};
use crate::settings::{Settings, Team};
use crate::wire::{JobKind, JobSpec, MachineType};

/// Whether the job may run on machines of this type.
pub(super) fn is_type_allowed(spec: &JobSpec, machine_type: &str) -> bool {
    spec.types
        .as_ref()
        .is_none_or(|types| types.iter().any(|allowed| allowed == machine_type))
}

/// The reason why a job can never run, as returned to the user who submitted it; `None` if it can.
pub fn impossible_reason(
    spec: &JobSpec,
    types: &[MachineType],
    settings: &Settings,
) -> Option<String> {
    let Some(team) = settings.team(&spec.team) else {
        return Some(format!("unknown team {}", spec.team));
    };
    over_team_limit(spec, team)
        .or_else(|| no_fitting_type(spec, types, settings))
        .or_else(|| unspreadable(spec, settings))
}

/// The reason if the tasks that must run at the same time exceed the quota of their team.
fn over_team_limit(spec: &JobSpec, team: &Team) -> Option<String> {
    let tasks_at_once = if spec.kind == JobKind::Array {
        1.0
    } else {
        spec.tasks as f64
    };
    if team.cpus_max > 0.0 && spec.cores * tasks_at_once > team.cpus_max + EPSILON {
        return Some(format!(
            "needs more than the {} cores that {} may use",
            team.cpus_max, team.name
        ));
    }
    if team.gpus_max > 0.0 && spec.accelerators * tasks_at_once > team.gpus_max + EPSILON {
        return Some(format!(
            "needs more than the {} accelerators that {} may use",
            team.gpus_max, team.name
        ));
    }
    None
}

/// The reason if no allowed machine type is large enough for a task and offered in the job's zone.
fn no_fitting_type(spec: &JobSpec, types: &[MachineType], settings: &Settings) -> Option<String> {
    if let Some(zone) = &spec.zone
        && !settings.deployment.zones.is_empty()
        && !settings.deployment.zones.contains(zone)
        && !types.iter().any(|t| t.zones.contains(zone))
    {
        return Some(format!("unknown paddock {zone}"));
    }
    let fits = |t: &&MachineType| is_type_allowed(spec, &t.name) && Resources::of(t).fits(spec);
    let mut fitting = types.iter().filter(fits).peekable();
    if fitting.peek().is_none() {
        return Some("a task fits no allowed machine type".to_owned());
    }
    if let Some(zone) = &spec.zone
        && !fitting.any(|t| t.zones.is_empty() || t.zones.contains(zone))
    {
        return Some(format!("no machine type that fits is offered in {zone}"));
    }
    None
}

/// The reason if the tasks must be spread over zones but only one zone is allowed. The tasks of an
/// array job may run one at a time, so they are exempt; the tasks of other jobs run at the same
/// time.
fn unspreadable(spec: &JobSpec, settings: &Settings) -> Option<String> {
    let one_zone = spec.one_zone || spec.zone.is_some() || settings.deployment.zones.len() == 1;
    (spec.spread && one_zone && spec.kind != JobKind::Array && spec.tasks > 1)
        .then(|| "apart: its tasks can't be spread over the one zone allowed".to_owned())
}
