//! The operators' check of desired states, as a program.

use std::{fs, process::Command};

use tempfile::TempDir;

/// A desired state without faults.
const STATE: &str = include_str!("testenv/state.json");

/// Exit code and output of a check.
fn check(text: &str) -> (Option<i32>, String) {
    let dir = TempDir::new().expect("a directory for the file");
    let path = dir.path().join("state.json");
    fs::write(&path, text).expect("the file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_ebonyfall"))
        .arg("check")
        .arg(&path)
        .output()
        .expect("the program runs");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).expect("the output is text");
    (output.status.code(), text)
}

/// Guards against a check that refuses what routers can use.
#[test]
fn a_desired_state_without_faults_is_accepted() {
    let (code, text) = check(STATE);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.ends_with("no faults, version 7, 2 routes\n"), "{text}");
}

/// Guards against faults that operators learn of only when callers' requests fail.
#[test]
fn each_fault_of_a_desired_state_is_named() {
    for (from, to, expected) in [
        ("{\"name\":\"y\"}", "", "service y is not defined"),
        (
            "\"/b/\"",
            "\"/a/\"",
            "route labels: drafts has the same host",
        ),
        ("\"/b/\"", "\"b\"", "has to begin and end with a slash"),
        (
            "\"service\":\"y\",\"max",
            "\"max",
            "no service has a weight above zero",
        ),
        (
            "\"timeout_ms\":500",
            "\"timeout_ms\":0",
            "the timeout is zero",
        ),
        (
            "\"max_attempts\":2",
            "\"max_attempts\":0",
            "the maximum number of attempts is zero",
        ),
        (
            "{\"name\":\"desk\",\"api_keys\":[\"k1\"]}",
            "",
            "no team has one",
        ),
    ] {
        assert!(STATE.contains(from), "{from}");
        let text = STATE.replace(from, to).replace(",]", "]");
        let (code, text) = check(&text);
        assert_eq!(code, Some(2), "{to}: {text}");
        assert!(text.contains(expected), "{to}: {text}");
    }
}

/// Guards against a file that cannot be read and is taken for a document.
#[test]
fn a_broken_desired_state_is_refused() {
    let (code, text) = check(&STATE[..80]);
    assert_eq!(code, Some(2), "{text}");
    assert!(
        text.contains("failed to decode the desired state"),
        "{text}"
    );
}
