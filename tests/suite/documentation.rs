//! Checks of the documentation pages against the source.

use std::collections::BTreeSet;
use std::path::Path;

/// Collects the names and texts of all files under `dir` whose names end with `suffix`.
fn collect_files(dir: &Path, suffix: &str, files: &mut Vec<(String, String)>) {
    for entry in std::fs::read_dir(dir).expect("a folder of the repository") {
        let path = entry.expect("an entry").path();
        let name = path
            .file_name()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        if path.is_dir() {
            collect_files(&path, suffix, files);
        } else if name.ends_with(suffix) {
            let text = std::fs::read_to_string(&path).expect("a text");
            files.push((name, text));
        }
    }
}

/// Each test and scenario that the page of fault combinations (`docs/meetings.md`) names exists, and each of its rows
/// names at least one test. Otherwise the page could claim that a rule is tested by a test that is long gone.
#[test]
fn tests_and_scenarios_named_on_the_fault_combinations_page_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/meetings.md")).expect("the page");
    let mut sources = Vec::new();
    for dir in ["tests", "crates", "src"] {
        collect_files(&root.join(dir), ".rs", &mut sources);
    }
    let mut tests = BTreeSet::new();
    for (_, text) in &sources {
        for part in text.split("#[test]").skip(1) {
            let name = part.split("fn ").nth(1).and_then(|n| n.split('(').next());
            tests.extend(name.map(str::to_owned));
        }
    }
    let mut scenarios = Vec::new();
    collect_files(&root.join("scripts/days"), ".toml", &mut scenarios);
    let scenarios: BTreeSet<String> = scenarios
        .into_iter()
        .map(|file| file.0.trim_end_matches(".toml").to_owned())
        .collect();
    let mut row_count = 0;
    let mut test_count = 0;
    for line in page
        .lines()
        .filter(|l| l.starts_with("| ") && !l.starts_with("| ---"))
    {
        let cells: Vec<&str> = line.trim_matches('|').split(" | ").collect();
        let (tests_cell, scenarios_cell) = match cells.len() {
            5 if !cells[0].contains("meeting") => (cells[3], cells[4]),
            4 if cells[0].trim() != "what" => (cells[2], cells[3]),
            _ => continue,
        };
        row_count += 1;
        let quoted = |text: &str| -> Vec<String> {
            text.split('`')
                .skip(1)
                .step_by(2)
                .map(str::to_owned)
                .collect()
        };
        for test in quoted(tests_cell) {
            assert!(tests.contains(&test), "no test {test}: {}", cells[0]);
            test_count += 1;
        }
        assert!(
            !quoted(tests_cell).is_empty(),
            "no test is named: {}",
            cells[0]
        );
        for scenario in quoted(scenarios_cell.split("drawn:").next().unwrap_or("")) {
            let known = scenarios.contains(&scenario) || scenario == "left_waiting";
            assert!(known, "no scenario {scenario}: {}", cells[0]);
        }
    }
    assert!(
        row_count >= 28 && test_count > 40,
        "{row_count} rows, {test_count} tests"
    );
}
