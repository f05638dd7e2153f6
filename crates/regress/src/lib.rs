//! What a run of the bench left in the journal, against the baseline. No I/O here.

pub mod own;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A fall by more than this is no noise.
pub const NOISE: f64 = 0.03;

/// One entry of the journal, as far as it is of use here.
#[derive(Debug, Default, Deserialize)]
pub struct Entry {
    #[serde(default)]
    pub cmd: String,
    #[serde(default)]
    pub why: Option<String>,
    #[serde(default)]
    pub site: Option<String>,
    #[serde(default)]
    pub ok: bool,
    #[serde(default)]
    pub error: Option<String>,
    #[serde(default)]
    pub days: Vec<Day>,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub struct Day {
    pub name: String,
    /// The day's mark, 0 to 1.
    #[serde(rename = "G", default)]
    pub mark: Option<f64>,
    /// How often each rule was broken.
    #[serde(default)]
    pub rules: BTreeMap<String, serde_json::Value>,
    /// Why it could not be played to its end.
    #[serde(default)]
    pub fault: Option<serde_json::Value>,
    /// Each class and each team, its share of the work, and how much of that was served.
    #[serde(default)]
    pub served: Vec<(String, f64, f64)>,
    /// Each aim in words, and what it was worth.
    #[serde(default)]
    aims: Vec<(String, f64)>,
}

impl Day {
    /// The share of submissions that were accepted in time, by the words of that aim.
    pub fn submitted(&self) -> Option<f64> {
        let mut aims = self.aims.iter();
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
    pub day: String,
    pub before: Option<f64>,
    pub now: Option<f64>,
    pub verdict: Verdict,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Holds,
    New,
    Fell(f64),
    Broken(String),
    Failed(String),
}

impl Verdict {
    pub fn is_bad(&self) -> bool {
        !matches!(self, Verdict::Holds | Verdict::New)
    }
}

/// Compares the entries of one run. A site that was to be played and left no entry has failed.
pub fn compare(baseline: &Baseline, entries: &[Entry], sites: &[&str]) -> Vec<Row> {
    let mut rows = Vec::new();
    for site in sites {
        let of_site = |e: &&Entry| e.site.as_deref() == Some(site);
        let mut played = 0;
        for e in entries.iter().filter(of_site) {
            let days = e.days.iter().filter(|d| counts(&e.cmd, d));
            for d in days {
                played += 1;
                let before = baseline.sites.get(*site).and_then(|s| s.get(&d.name));
                rows.push(Row {
                    site: (*site).to_owned(),
                    day: d.name.clone(),
                    // The days of a hunt have other luck each time.
                    before: before.copied().filter(|_| e.cmd == "score"),
                    now: d.mark,
                    verdict: judge(e, d, before.copied()),
                });
            }
        }
        if played == 0 {
            let error = entries.iter().find_map(|e| e.error.clone());
            rows.push(Row {
                site: (*site).to_owned(),
                day: "-".to_owned(),
                before: None,
                now: None,
                verdict: Verdict::Failed(error.unwrap_or_else(|| "nothing was played".to_owned())),
            });
        }
    }
    rows
}

/// The day that a score draws by itself is another one each time; it counts for rules alone.
fn counts(cmd: &str, d: &Day) -> bool {
    cmd == "hunt" || !d.name.starts_with("fresh") || !d.rules.is_empty() || d.fault.is_some()
}

fn judge(e: &Entry, d: &Day, before: Option<f64>) -> Verdict {
    if !d.rules.is_empty() {
        let names: Vec<&str> = d.rules.keys().map(String::as_str).collect();
        return Verdict::Broken(names.join(", "));
    }
    if let Some(fault) = &d.fault {
        return Verdict::Failed(fault.to_string());
    }
    match (d.mark, before) {
        (None, _) => Verdict::Failed("no mark".to_owned()),
        (Some(now), _) if now <= 0.0 && e.cmd == "score" => Verdict::Failed("mark 0".to_owned()),
        (Some(_), None) => Verdict::New,
        (Some(_), _) if e.cmd != "score" => Verdict::Holds,
        (Some(now), Some(before)) if before - now > NOISE => Verdict::Fell(before - now),
        _ => Verdict::Holds,
    }
}

/// The baseline with the marks of this run in place of its own.
pub fn accept(mut baseline: Baseline, rows: &[Row]) -> Baseline {
    for row in rows
        .iter()
        .filter(|r| r.day != "-" && !r.day.starts_with("fresh"))
    {
        let known = row.before.is_some() || row.verdict == Verdict::New;
        if let Some(now) = row.now.filter(|_| known) {
            let site = baseline.sites.entry(row.site.clone()).or_default();
            site.insert(row.day.clone(), now);
        }
    }
    baseline
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(text: &str) -> Entry {
        serde_json::from_str(text).unwrap()
    }

    fn baseline() -> Baseline {
        serde_json::from_str(r#"{"a": {"calm": 0.9, "rough": 0.8}}"#).unwrap()
    }

    #[test]
    fn falls_failures_and_broken_rules_are_told_apart() {
        let entries = [entry(
            r#"{"cmd": "score", "site": "a", "ok": true, "days": [
                {"name": "calm", "G": 0.88, "rules": {}, "fault": null},
                {"name": "rough", "G": 0.76, "rules": {}},
                {"name": "other", "G": 0.5, "rules": {}},
                {"name": "fresh-12", "G": 0.1, "rules": {}},
                {"name": "fresh-13", "G": 0.0, "rules": {"ran_twice": 1}}]}"#,
        )];
        let rows = compare(&baseline(), &entries, &["a", "b"]);
        let verdicts: Vec<&Verdict> = rows.iter().map(|r| &r.verdict).collect();
        assert_eq!(verdicts[0], &Verdict::Holds, "0.02 is noise");
        assert!(matches!(verdicts[1], Verdict::Fell(f) if (f - 0.04).abs() < 1e-9));
        assert_eq!(verdicts[2], &Verdict::New);
        assert_eq!(verdicts[3], &Verdict::Broken("ran_twice".to_owned()));
        assert!(matches!(verdicts[4], Verdict::Failed(_)), "b left nothing");
        assert_eq!(rows.len(), 5);
    }

    #[test]
    fn a_hunt_is_judged_by_its_rules_alone() {
        let entries = [entry(
            r#"{"cmd": "hunt", "site": "a", "days": [{"name": "rough", "G": 0.2, "rules": {}}]}"#,
        )];
        let rows = compare(&baseline(), &entries, &["a"]);
        assert_eq!(rows[0].verdict, Verdict::Holds);
        assert_eq!(accept(baseline(), &rows), baseline());
    }

    #[test]
    fn accepted_marks_replace_those_of_the_same_days() {
        let entries = [entry(
            r#"{"cmd": "score", "site": "a", "days": [{"name": "calm", "G": 0.95, "rules": {}}]}"#,
        )];
        let rows = compare(&baseline(), &entries, &["a"]);
        let next = accept(baseline(), &rows);
        assert_eq!(next.sites["a"]["calm"], 0.95);
        assert_eq!(next.sites["a"]["rough"], 0.8);
    }
}
