//! The list of tests that are known to fail, and what makes `.ci/known-red` refuse it.

use std::path::Path;
use std::process::Command;

/// What the script says to a list: the names, or its one line of refusal.
fn told(list: Option<&str>) -> Result<String, String> {
    let dir = tempfile::tempdir().expect("a folder");
    let (file, listed) = (dir.path().join("KNOWN-RED.txt"), dir.path().join("listed"));
    if let Some(text) = list {
        std::fs::write(&file, text).expect("the list");
    }
    let tests =
        "rules::a: test\nrules::b: test\nrules::c: test\nrules::d: test\nbench::e: benchmark\n";
    std::fs::write(&listed, tests).expect("the tests");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let mut command = Command::new("bash");
    let out = command.arg(script).args([&file, &listed]).output();
    let out = out.expect("bash runs the script");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    if out.status.success() {
        Ok(text(&out.stdout))
    } else {
        Err(text(&out.stderr))
    }
}

#[test]
fn up_to_three_tests_that_there_are_may_be_known_to_fail() {
    assert_eq!(told(None), Ok(String::new()));
    assert_eq!(told(Some("")), Ok(String::new()));
    let three = "rules::a | the lease | 43\nrules::b | the page | #42\n\nrules::c | slow | 38\n";
    let names = "rules::a\nrules::b\nrules::c\n".to_owned();
    assert_eq!(told(Some(three)), Ok(names));
}

#[test]
fn what_is_not_in_order_is_refused_with_its_line() {
    let four = "rules::a | x | 1\nrules::b | x | 1\nrules::c | x | 1\nrules::d | x | 1\n";
    for (list, says) in [
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
        let error = told(Some(list)).expect_err(list);
        assert!(error.contains(says), "{list}: {error}");
    }
}
