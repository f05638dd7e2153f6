//! Cuts a failing day down to few failures, few machines and a short time. Every cut is played; it
//! stays if one of the same rules still breaks, under the same seed or one of a few others: a
//! smaller day has other luck.

use crate::play;
use crate::scenario::Scenario;
use rayon::prelude::*;

/// How many seeds are tried for each cut.
const SEEDS: u64 = 8;

/// The smallest failing day that was found, or None when the day does not fail.
pub fn shrink(day: &Scenario, mut tell: impl FnMut(&str)) -> Option<Scenario> {
    let outcome = play(day);
    let rules: Vec<&'static str> = outcome.violations.keys().copied().collect();
    if rules.is_empty() {
        return None;
    }
    let fails = |day: &Scenario| -> Option<Scenario> {
        let tries = (0..SEEDS).into_par_iter().map(|n| Scenario {
            seed: day.seed + n,
            ..day.clone()
        });
        tries
            .filter(|d| play(d).violates_any_of(&rules))
            .min_by_key(|d| d.seed)
    };
    let mut best = day.clone();
    // What comes after the rule broke is of no use, unless it only shows at the end.
    let first = outcome.violations.values().filter_map(|b| {
        let at = b.first.split(' ').next()?;
        at.parse::<f64>().ok()
    });
    let first = first.fold(f64::INFINITY, f64::min);
    if first + 5.0 < best.duration_s {
        let mut cut = best.clone();
        cut.duration_s = (first + 5.0).round();
        cut.settle_s = 0.0;
        cut.faults.retain(|f| f.at_s <= first);
        best = fails(&cut).unwrap_or(best);
    }
    loop {
        let mut went_on = false;
        let mut n = best.faults.len();
        while n > 0 {
            n -= 1;
            let mut cut = best.clone();
            cut.faults.remove(n);
            if let Some(smaller) = fails(&cut) {
                best = smaller;
                went_on = true;
                tell(&crate::outcome::scenario_size(&best));
            }
        }
        let mut cuts: Vec<Scenario> = Vec::new();
        for by in [4, 2] {
            let mut cut = best.clone().with_machines(best.max_machines() / by);
            cut.faults = best.faults.clone();
            for f in cut.faults.iter_mut().filter(|f| f.whom.is_none()) {
                f.count = f.count.map(|c| c.div_ceil(by));
            }
            cuts.push(cut);
        }
        for c in 0..best.classes.len() {
            if best.classes.len() > 1 {
                let mut cut = best.clone();
                cut.classes.remove(c);
                cut.objectives.clear();
                cuts.push(cut);
            }
        }
        for p in 0..best.pools.len() {
            if best.pools.len() > 1 {
                let mut cut = best.clone();
                cut.pools.remove(p);
                cuts.push(cut);
            }
        }
        if best.fleet.controllers > 3 {
            let mut cut = best.clone();
            cut.fleet.controllers = 3;
            cuts.push(cut);
        }
        for by in [2.0, 1.2] {
            let mut cut = best.clone();
            for f in &mut cut.faults {
                f.at_s = (f.at_s / by * 100.0).round() / 100.0;
            }
            cut.duration_s = (cut.duration_s / by).round();
            cuts.push(cut);
        }
        for cut in cuts {
            let smaller = (cut.max_machines(), cut.classes.len(), cut.duration_s as u64)
                < (
                    best.max_machines(),
                    best.classes.len(),
                    best.duration_s as u64,
                )
                || cut.classes.len() < best.classes.len()
                || cut.duration_s < best.duration_s
                || cut.fleet.controllers < best.fleet.controllers;
            let sound = cut.max_machines() >= 2 && Scenario::parse(&cut.to_toml()).is_ok();
            if smaller
                && sound
                && let Some(found) = fails(&cut)
            {
                best = found;
                went_on = true;
                tell(&crate::outcome::scenario_size(&best));
                break;
            }
        }
        if !went_on {
            break;
        }
    }
    best.name = format!("{} cut down: {}", day.name, rules.join(", "));
    Some(best)
}
