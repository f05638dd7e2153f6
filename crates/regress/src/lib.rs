//! Compares the journal entries that a bench run wrote with a baseline of scores. Does no I/O.

pub mod custom_scenarios;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Score losses up to this size count as noise, not as a regression.
pub const SCORE_NOISE: f64 = 0.03;

/// The fields of a bench journal entry that the comparison uses.
#[derive(Debug, Default, Deserialize)]
pub struct JournalEntry {
    /// Bench subcommand that wrote the entry, such as `score` or `hunt`.
    #[serde(rename = "cmd", default)]
    pub command: String,
    #[serde(rename = "why", default)]
    pub purpose: Option<String>,
    #[serde(default)]
    pub site: Option<String>,
    #[serde(default)]
    pub ok: bool,
    #[serde(default)]
    pub error: Option<String>,
    #[serde(rename = "days", default)]
    pub scenarios: Vec<ScenarioResult>,
}

/// Result of one scenario, as recorded in a journal entry.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ScenarioResult {
    pub name: String,
    /// Score of the scenario, from 0 to 1.
    #[serde(rename = "G", default)]
    pub score: Option<f64>,
    /// Number of violations per rule; rules without a violation are absent.
    #[serde(rename = "rules", default)]
    pub violations: BTreeMap<String, serde_json::Value>,
    /// Why the scenario did not run to its end.
    #[serde(rename = "fault", default)]
    pub failure: Option<serde_json::Value>,
    /// Per job class or team: its name (with the prefix `team ` for a team), its share of all work, and
    /// the share of that work that was served.
    #[serde(default)]
    pub served: Vec<(String, f64, f64)>,
    /// Each objective as text, with its contribution to the score.
    #[serde(rename = "aims", default)]
    objectives: Vec<(String, f64)>,
}

impl ScenarioResult {
    /// Share of submissions that were accepted in time, parsed from the text of the `submit` objective.
    pub fn accepted_in_time_share(&self) -> Option<f64> {
        let mut objectives = self.objectives.iter();
        let (text, _) = objectives.find(|o| o.0.starts_with("submit"))?;
        let share = text.split_once(": ")?.1;
        share.split_whitespace().next()?.parse().ok()
    }
}

/// Expected scores by site and scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Baseline {
    #[serde(flatten)]
    pub sites: BTreeMap<String, BTreeMap<String, f64>>,
}

/// Comparison of one scenario, shown as one row of the results table.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub site: String,
    pub scenario: String,
    pub baseline: Option<f64>,
    pub score: Option<f64>,
    pub verdict: Verdict,
}

/// Outcome of one scenario in comparison with the baseline.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// No rule was violated, and the score did not fall by more than [`SCORE_NOISE`].
    Passed,
    /// The baseline has no score for this scenario.
    New,
    /// The score fell by this amount.
    Regressed(f64),
    /// Names of the violated rules, separated by commas.
    RulesViolated(String),
    /// Why the scenario or the whole site has no usable result.
    Failed(String),
}

impl Verdict {
    pub fn is_failure(&self) -> bool {
        !matches!(self, Verdict::Passed | Verdict::New)
    }
}

/// Compares the journal entries of one bench run with the baseline, for the sites that the run covered.
///
/// A site without any result gets one row with [`Verdict::Failed`].
pub fn compare_with_baseline(
    baseline: &Baseline,
    entries: &[JournalEntry],
    sites: &[&str],
) -> Vec<Row> {
    let mut rows = Vec::new();
    for site in sites {
        let belongs_to_site = |e: &&JournalEntry| e.site.as_deref() == Some(site);
        let mut result_count = 0;
        for entry in entries.iter().filter(belongs_to_site) {
            let results = entry
                .scenarios
                .iter()
                .filter(|s| is_compared(&entry.command, s));
            for result in results {
                result_count += 1;
                let previous = baseline.sites.get(*site).and_then(|s| s.get(&result.name));
                rows.push(Row {
                    site: (*site).to_owned(),
                    scenario: result.name.clone(),
                    // `hunt` generates other scenarios on each run, so their scores cannot be compared.
                    baseline: previous.copied().filter(|_| entry.command == "score"),
                    score: result.score,
                    verdict: assess(entry, result, previous.copied()),
                });
            }
        }
        if result_count == 0 {
            let error = entries.iter().find_map(|e| e.error.clone());
            rows.push(Row {
                site: (*site).to_owned(),
                scenario: "-".to_owned(),
                baseline: None,
                score: None,
                verdict: Verdict::Failed(error.unwrap_or_else(|| {
                    "the journal has no scenario results for this site".to_owned()
                })),
            });
        }
    }
    rows
}

/// Whether a result takes part in the comparison.
///
/// `score` adds generated scenarios, named `fresh…`, that differ on each run. They count only if they
/// violated a rule or did not run to their end.
fn is_compared(command: &str, result: &ScenarioResult) -> bool {
    command == "hunt"
        || !result.name.starts_with("fresh")
        || !result.violations.is_empty()
        || result.failure.is_some()
}

fn assess(entry: &JournalEntry, result: &ScenarioResult, baseline: Option<f64>) -> Verdict {
    if !result.violations.is_empty() {
        let names: Vec<&str> = result.violations.keys().map(String::as_str).collect();
        return Verdict::RulesViolated(names.join(", "));
    }
    if let Some(failure) = &result.failure {
        return Verdict::Failed(failure.to_string());
    }
    match (result.score, baseline) {
        (None, _) => Verdict::Failed("no score".to_owned()),
        (Some(score), _) if score <= 0.0 && entry.command == "score" => {
            Verdict::Failed("score is 0".to_owned())
        }
        (Some(_), None) => Verdict::New,
        (Some(_), _) if entry.command != "score" => Verdict::Passed,
        (Some(score), Some(baseline)) if baseline - score > SCORE_NOISE => {
            Verdict::Regressed(baseline - score)
        }
        _ => Verdict::Passed,
    }
}

/// Replaces the baseline scores of the scenarios that ran, and adds scores of new scenarios.
pub fn update_baseline(mut baseline: Baseline, rows: &[Row]) -> Baseline {
    for row in rows
        .iter()
        .filter(|r| r.scenario != "-" && !r.scenario.starts_with("fresh"))
    {
        let is_comparable = row.baseline.is_some() || row.verdict == Verdict::New;
        if let Some(score) = row.score.filter(|_| is_comparable) {
            let site = baseline.sites.entry(row.site.clone()).or_default();
            site.insert(row.scenario.clone(), score);
        }
    }
    baseline
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(text: &str) -> JournalEntry {
        serde_json::from_str(text).unwrap()
    }

    fn baseline() -> Baseline {
        serde_json::from_str(r#"{"a": {"calm": 0.9, "rough": 0.8}}"#).unwrap()
    }

    #[test]
    fn score_losses_failures_and_rule_violations_give_different_verdicts() {
        let entries = [entry(
            r#"{"cmd": "score", "site": "a", "ok": true, "days": [
                {"name": "calm", "G": 0.88, "rules": {}, "fault": null},
                {"name": "rough", "G": 0.76, "rules": {}},
                {"name": "other", "G": 0.5, "rules": {}},
                {"name": "fresh-12", "G": 0.1, "rules": {}},
                {"name": "fresh-13", "G": 0.0, "rules": {"ran_twice": 1}}]}"#,
        )];
        let rows = compare_with_baseline(&baseline(), &entries, &["a", "b"]);
        let verdicts: Vec<&Verdict> = rows.iter().map(|r| &r.verdict).collect();
        assert_eq!(verdicts[0], &Verdict::Passed, "0.02 is noise");
        assert!(matches!(verdicts[1], Verdict::Regressed(f) if (f - 0.04).abs() < 1e-9));
        assert_eq!(verdicts[2], &Verdict::New);
        assert_eq!(verdicts[3], &Verdict::RulesViolated("ran_twice".to_owned()));
        assert!(
            matches!(verdicts[4], Verdict::Failed(_)),
            "site b has no journal entry"
        );
        assert_eq!(rows.len(), 5);
    }

    #[test]
    fn hunt_results_are_assessed_by_rule_violations_only() {
        let entries = [entry(
            r#"{"cmd": "hunt", "site": "a", "days": [{"name": "rough", "G": 0.2, "rules": {}}]}"#,
        )];
        let rows = compare_with_baseline(&baseline(), &entries, &["a"]);
        assert_eq!(rows[0].verdict, Verdict::Passed);
        assert_eq!(update_baseline(baseline(), &rows), baseline());
    }

    #[test]
    fn updating_the_baseline_replaces_only_the_scenarios_that_ran() {
        let entries = [entry(
            r#"{"cmd": "score", "site": "a", "days": [{"name": "calm", "G": 0.95, "rules": {}}]}"#,
        )];
        let rows = compare_with_baseline(&baseline(), &entries, &["a"]);
        let updated = update_baseline(baseline(), &rows);
        assert_eq!(updated.sites["a"]["calm"], 0.95);
        assert_eq!(updated.sites["a"]["rough"], 0.8);
    }
}
