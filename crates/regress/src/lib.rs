//! What a run of the bench left in the journal, against the baseline. No I/O here.

pub mod custom_scenarios;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A fall by more than this is no noise.
pub const SCORE_NOISE: f64 = 0.03;

/// One entry of the journal, as far as it is of use here.
#[derive(Debug, Default, Deserialize)]
pub struct JournalEntry {
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

#[derive(Clone, Debug, Default, Deserialize)]
pub struct ScenarioResult {
    pub name: String,
    /// The day's mark, 0 to 1.
    #[serde(rename = "G", default)]
    pub score: Option<f64>,
    /// How often each rule was broken.
    #[serde(rename = "rules", default)]
    pub violations: BTreeMap<String, serde_json::Value>,
    /// Why it could not be played to its end.
    #[serde(rename = "fault", default)]
    pub failure: Option<serde_json::Value>,
    /// Each class and each team, its share of the work, and how much of that was served.
    #[serde(default)]
    pub served: Vec<(String, f64, f64)>,
    /// Each aim in words, and what it was worth.
    #[serde(rename = "aims", default)]
    objectives: Vec<(String, f64)>,
}

impl ScenarioResult {
    /// The share of submissions that were accepted in time, by the words of that aim.
    pub fn accepted_in_time_share(&self) -> Option<f64> {
        let mut aims = self.objectives.iter();
        let (text, _) = aims.find(|a| a.0.starts_with("submit"))?;
        let share = text.split_once(": ")?.1;
        share.split_whitespace().next()?.parse().ok()
    }
}

/// Marks by site and day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Baseline {
    #[serde(flatten)]
    pub sites: BTreeMap<String, BTreeMap<String, f64>>,
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub site: String,
    pub scenario: String,
    pub baseline: Option<f64>,
    pub score: Option<f64>,
    pub verdict: Verdict,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Passed,
    New,
    Regressed(f64),
    RulesViolated(String),
    Failed(String),
}

impl Verdict {
    pub fn is_failure(&self) -> bool {
        !matches!(self, Verdict::Passed | Verdict::New)
    }
}

/// Compares the entries of one run. A site that was to be played and left no entry has failed.
pub fn compare_with_baseline(
    baseline: &Baseline,
    entries: &[JournalEntry],
    sites: &[&str],
) -> Vec<Row> {
    let mut rows = Vec::new();
    for site in sites {
        let belongs_to_site = |e: &&JournalEntry| e.site.as_deref() == Some(site);
        let mut compared = 0;
        for entry in entries.iter().filter(belongs_to_site) {
            let results = entry
                .scenarios
                .iter()
                .filter(|s| is_compared(&entry.command, s));
            for result in results {
                compared += 1;
                let previous = baseline.sites.get(*site).and_then(|s| s.get(&result.name));
                rows.push(Row {
                    site: (*site).to_owned(),
                    scenario: result.name.clone(),
                    // The days of a hunt have other luck each time.
                    baseline: previous.copied().filter(|_| entry.command == "score"),
                    score: result.score,
                    verdict: assess(entry, result, previous.copied()),
                });
            }
        }
        if compared == 0 {
            let error = entries.iter().find_map(|e| e.error.clone());
            rows.push(Row {
                site: (*site).to_owned(),
                scenario: "-".to_owned(),
                baseline: None,
                score: None,
                verdict: Verdict::Failed(error.unwrap_or_else(|| "nothing was played".to_owned())),
            });
        }
    }
    rows
}

/// The day that a score draws by itself is another one each time; it counts for rules alone.
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
        (None, _) => Verdict::Failed("no mark".to_owned()),
        (Some(score), _) if score <= 0.0 && entry.command == "score" => {
            Verdict::Failed("mark 0".to_owned())
        }
        (Some(_), None) => Verdict::New,
        (Some(_), _) if entry.command != "score" => Verdict::Passed,
        (Some(score), Some(baseline)) if baseline - score > SCORE_NOISE => {
            Verdict::Regressed(baseline - score)
        }
        _ => Verdict::Passed,
    }
}

/// The baseline with the marks of this run in place of its own.
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
        assert!(matches!(verdicts[4], Verdict::Failed(_)), "b left nothing");
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
