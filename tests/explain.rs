//! Tests of `ebonyfall explain` on the logs of several processes.

use std::{fs, process::Command};

/// Log with a line of the request after a collector's prefix, text that is not JSON, and a line of
/// another request.
const FIRST_LOG: &str = r#"edge-1 {"msg":"target failed","level":"INFO","ts":"2026-01-01T00:00:02Z","module":"m","failure":"broken","target":"i-1","request":"r-1","event":"attempt"}
not a line
{"msg":"request answered","level":"INFO","ts":"2026-01-01T00:00:01Z","module":"m","request":"r-2","event":"answer"}
"#;
/// Log with an earlier line of the request.
const SECOND_LOG: &str = r#"{"msg":"request refused","level":"WARN","ts":"2026-01-01T00:00:01Z","module":"m","code":2014,"request":"r-1","event":"refusal"}
"#;

/// Guards against lines of other requests, missing lines, and an order by file instead of by time.
#[test]
fn lines_of_one_request_are_ordered_by_time() {
    let folder = tempfile::tempdir().unwrap();
    let files = [("one.log", FIRST_LOG), ("two.log", SECOND_LOG)].map(|(name, text)| {
        let path = folder.path().join(name);
        fs::write(&path, text).unwrap();
        path
    });
    let run = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_ebonyfall"))
            .args(["explain"])
            .args(args)
            .args(&files)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stdout).unwrap(),
        )
    };
    let (code, text) = run(&["r-1"]);
    assert_eq!(code, Some(0));
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(
        lines[0].contains("request refused") && lines[0].contains("code=2014"),
        "{text}"
    );
    assert!(
        lines[1].contains("target=i-1") && lines[1].contains("failure=broken"),
        "{text}"
    );
    let (_, json) = run(&["--json", "r-1"]);
    let events: Vec<serde_json::Value> = serde_json::from_str(&json).unwrap();
    assert_eq!(events[1]["facts"]["failure"], "broken");
    let (code, _) = run(&["r-9"]);
    assert_eq!(code, Some(1), "no line names the request");
}
