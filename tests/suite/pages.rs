//! What the pages name exists.

use std::collections::BTreeSet;
use std::path::Path;

fn texts(dir: &Path, end: &str, into: &mut Vec<(String, String)>) {
    for entry in std::fs::read_dir(dir).expect("a folder of the repository") {
        let path = entry.expect("an entry").path();
        let name = path
            .file_name()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        if path.is_dir() {
            texts(&path, end, into);
        } else if name.ends_with(end) {
            let text = std::fs::read_to_string(&path).expect("a text");
            into.push((name, text));
        }
    }
}

/// Each test, day and trouble that `docs/meetings.md` names is there, and each meeting names one at least: a page that
/// tells of tests long gone would say that a rule is held.
#[test]
fn every_test_and_day_that_the_page_of_meetings_names_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/meetings.md")).expect("the page");
    let mut sources = Vec::new();
    for dir in ["tests", "crates", "src"] {
        texts(&root.join(dir), ".rs", &mut sources);
    }
    let mut tests = BTreeSet::new();
    for (_, text) in &sources {
        for part in text.split("#[test]").skip(1) {
            let name = part.split("fn ").nth(1).and_then(|n| n.split('(').next());
            tests.extend(name.map(str::to_owned));
        }
    }
    let mut days = Vec::new();
    texts(&root.join("scripts/days"), ".toml", &mut days);
    let days: BTreeSet<String> = days
        .into_iter()
        .map(|d| d.0.trim_end_matches(".toml").to_owned())
        .collect();
    let mut meetings = 0;
    let mut named = 0;
    for line in page
        .lines()
        .filter(|l| l.starts_with("| ") && !l.starts_with("| ---"))
    {
        let cells: Vec<&str> = line.trim_matches('|').split(" | ").collect();
        let (told, played) = match cells.len() {
            5 if !cells[0].contains("meeting") => (cells[3], cells[4]),
            4 if cells[0].trim() != "what" => (cells[2], cells[3]),
            _ => continue,
        };
        meetings += 1;
        let quoted = |text: &str| -> Vec<String> {
            text.split('`')
                .skip(1)
                .step_by(2)
                .map(str::to_owned)
                .collect()
        };
        for test in quoted(told) {
            assert!(tests.contains(&test), "no test {test}: {}", cells[0]);
            named += 1;
        }
        assert!(!quoted(told).is_empty(), "no test is named: {}", cells[0]);
        for day in quoted(played.split("drawn:").next().unwrap_or("")) {
            let known = days.contains(&day) || day == "left_waiting";
            assert!(known, "no day {day}: {}", cells[0]);
        }
    }
    assert!(
        meetings >= 28 && named > 40,
        "{meetings} rows, {named} tests"
    );
}
