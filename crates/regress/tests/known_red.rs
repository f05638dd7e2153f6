//! Checks which lists of tests that are known to fail `.ci/known-red` accepts, and its errors for the others.

use std::path::Path;
use std::process::Command;

/// Runs the script on a list: the names that it prints, or its error message. `None`: there is no file.
fn run_script(list: Option<&str>) -> Result<String, String> {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let (list_file, test_listing) = (dir.path().join("KNOWN-RED.txt"), dir.path().join("listed"));
    if let Some(text) = list {
        std::fs::write(&list_file, text).expect("the list is written");
    }
    let tests =
        "rules::a: test\nrules::b: test\nrules::c: test\nrules::d: test\nbench::e: benchmark\n";
    std::fs::write(&test_listing, tests).expect("the test listing is written");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let mut command = Command::new("bash");
    let output = command
        .arg(script)
        .args([&list_file, &test_listing])
        .output();
    let output = output.expect("bash runs the script");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    if output.status.success() {
        Ok(text(&output.stdout))
    } else {
        Err(text(&output.stderr))
    }
}

#[test]
fn accepts_up_to_three_existing_tests() {
    assert_eq!(run_script(None), Ok(String::new()));
    assert_eq!(run_script(Some("")), Ok(String::new()));
    let three = "rules::a | the lease | 43\nrules::b | the page | #42\n\nrules::c | slow | 38\n";
    let names = "rules::a\nrules::b\nrules::c\n".to_owned();
    assert_eq!(run_script(Some(three)), Ok(names));
}

#[test]
fn rejects_an_invalid_list_and_names_the_line() {
    let four = "rules::a | x | 1\nrules::b | x | 1\nrules::c | x | 1\nrules::d | x | 1\n";
    for (list, expected) in [
        (four, "line 4: three tests at most"),
        ("rules::z | x | 1\n", "line 1: no test is named rules::z"),
        ("rules | x | 1\n", "no test is named rules"),
        ("bench::e | x | 1\n", "no test is named bench::e"),
        (
            "rules::a | x | 1\nrules::a | y | 2\n",
            "line 2: rules::a is listed twice",
        ),
        ("rules::a\n", "expected `test | cause | issue`"),
        ("rules::a | | 1\n", "expected"),
        ("rules::a | x | soon\n", "expected"),
        ("rules::a; x; 1", "expected"),
    ] {
        let error = run_script(Some(list)).expect_err(list);
        assert!(error.contains(expected), "{list}: {error}");
    }
}
