//! Tests of `ebonyfall check` on desired states of entry routers.

use std::{fs, process::Command};

use tempfile::TempDir;

/// Valid desired state with version 7 and two routes.
const VALID_STATE: &str = include_str!("testenv/state.json");

/// Runs `ebonyfall check` on a file with `text`; returns the exit code and the output.
fn run_check(text: &str) -> (Option<i32>, String) {
    let dir = TempDir::new().expect("a temporary directory is created");
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

/// Guards against a check that rejects a desired state that routers can use.
#[test]
fn valid_desired_state_is_accepted() {
    let (code, text) = run_check(VALID_STATE);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.ends_with("no faults, version 7, 2 routes\n"), "{text}");
}

/// Guards against faults that the check misses, so that they show only when callers' requests fail.
#[test]
fn each_fault_of_a_desired_state_is_reported() {
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
        assert!(VALID_STATE.contains(from), "{from}");
        let text = VALID_STATE.replace(from, to).replace(",]", "]");
        let (code, text) = run_check(&text);
        assert_eq!(code, Some(2), "{to}: {text}");
        assert!(text.contains(expected), "{to}: {text}");
    }
}

/// Guards against a truncated desired state that is parsed as a configuration document.
#[test]
fn truncated_desired_state_is_rejected() {
    let (code, text) = run_check(&VALID_STATE[..80]);
    assert_eq!(code, Some(2), "{text}");
    assert!(
        text.contains("failed to decode the desired state"),
        "{text}"
    );
}
