//! Tests of the list of runs that have failed.

use super::*;

/// Guards against a line of the list that cannot be repeated.
#[test]
fn failed_runs_are_parsed() {
    let runs = failed_runs().expect("all lines are options of the soak");
    assert!(!runs.is_empty());
    assert!(runs.iter().all(|run| run.seeds > 0 && !run.failed_runs));
}
