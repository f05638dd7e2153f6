//! Shrinks a failing scenario to few faults, few machines and a short time. Each smaller candidate is played. It is
//! kept if one of the same rules is still violated, under the same seed or one of a few others, since a smaller
//! scenario draws other random numbers.

use crate::play;
use crate::scenario::Scenario;
use rayon::prelude::*;

/// How many seeds are tried for each candidate.
const SEEDS: u64 = 8;

/// Returns the smallest failing scenario that was found, or None if the given one violates no rule. After each step
/// `report_progress` receives the size reached.
pub fn shrink(scenario: &Scenario, mut report_progress: impl FnMut(&str)) -> Option<Scenario> {
    let outcome = play(scenario);
    let rules: Vec<&'static str> = outcome.violations.keys().copied().collect();
    if rules.is_empty() {
        return None;
    }
    let find_failing_seed = |scenario: &Scenario| -> Option<Scenario> {
        let tries = (0..SEEDS).into_par_iter().map(|n| Scenario {
            seed: scenario.seed + n,
            ..scenario.clone()
        });
        tries
            .filter(|d| play(d).violates_any_of(&rules))
            .min_by_key(|d| d.seed)
    };
    let mut best = scenario.clone();
    // Nothing after the first violation is needed, unless the rule is only judged at the end of the run.
    let first_violation_s = outcome.violations.values().filter_map(|b| {
        let at = b.first.split(' ').next()?;
        at.parse::<f64>().ok()
    });
    let first_violation_s = first_violation_s.fold(f64::INFINITY, f64::min);
    if first_violation_s + 5.0 < best.duration_s {
        let mut candidate = best.clone();
        candidate.duration_s = (first_violation_s + 5.0).round();
        candidate.settle_s = 0.0;
        candidate.faults.retain(|f| f.at_s <= first_violation_s);
        best = find_failing_seed(&candidate).unwrap_or(best);
    }
    loop {
        let mut made_progress = false;
        let mut n = best.faults.len();
        while n > 0 {
            n -= 1;
            let mut candidate = best.clone();
            candidate.faults.remove(n);
            if let Some(smaller) = find_failing_seed(&candidate) {
                best = smaller;
                made_progress = true;
                report_progress(&crate::outcome::scenario_size(&best));
            }
        }
        let mut candidates: Vec<Scenario> = Vec::new();
        for divisor in [4, 2] {
            let mut candidate = best.clone().with_machines(best.max_machines() / divisor);
            candidate.faults = best.faults.clone();
            for f in candidate.faults.iter_mut().filter(|f| f.whom.is_none()) {
                f.count = f.count.map(|c| c.div_ceil(divisor));
            }
            candidates.push(candidate);
        }
        for c in 0..best.classes.len() {
            if best.classes.len() > 1 {
                let mut candidate = best.clone();
                candidate.classes.remove(c);
                candidate.objectives.clear();
                candidates.push(candidate);
            }
        }
        for p in 0..best.pools.len() {
            if best.pools.len() > 1 {
                let mut candidate = best.clone();
                candidate.pools.remove(p);
                candidates.push(candidate);
            }
        }
        if best.fleet.controllers > 3 {
            let mut candidate = best.clone();
            candidate.fleet.controllers = 3;
            candidates.push(candidate);
        }
        for divisor in [2.0, 1.2] {
            let mut candidate = best.clone();
            for f in &mut candidate.faults {
                f.at_s = (f.at_s / divisor * 100.0).round() / 100.0;
            }
            candidate.duration_s = (candidate.duration_s / divisor).round();
            candidate.settle_s = (candidate.settle_s / divisor).round();
            candidates.push(candidate);
        }
        for candidate in candidates {
            let smaller = (
                candidate.max_machines(),
                candidate.classes.len(),
                candidate.duration_s as u64,
            ) < (
                best.max_machines(),
                best.classes.len(),
                best.duration_s as u64,
            ) || candidate.classes.len() < best.classes.len()
                || candidate.duration_s < best.duration_s
                || candidate.fleet.controllers < best.fleet.controllers;
            let is_valid =
                candidate.max_machines() >= 2 && Scenario::parse(&candidate.to_toml()).is_ok();
            if smaller
                && is_valid
                && let Some(found) = find_failing_seed(&candidate)
            {
                best = found;
                made_progress = true;
                report_progress(&crate::outcome::scenario_size(&best));
                break;
            }
        }
        if !made_progress {
            break;
        }
    }
    best.name = format!("{} shrunk: {}", scenario.name, rules.join(", "));
    Some(best)
}
