//! Short soak tests of entry routers with fixed seeds.

use std::path::Path;

use ebonyfall_bench::soak::{self, SoakArgs};

/// Time for which faults are injected, in seconds.
const FAULT_SECONDS: u64 = 6;
/// Time for which planned work is injected, in seconds.
const PLANNED_SECONDS: u64 = 12;
/// Retries for each request and besides in each window, so few that pauses of targets use them up.
const RETRY_RATIO: f64 = 0.02;
const RETRY_SLACK: f64 = 3.0;

/// Guards against guarantees that hold under each fault alone but not under overlapping ones:
/// signals, network faults, misbehaving targets, a store that does not answer, and changes of the
/// desired state and of zones.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_overlapping_faults() {
    let program = Path::new(env!("CARGO_BIN_EXE_ebonyfall-entry"));
    let folder = program.parent().expect("the program is in a folder");
    let passed = soak::run(SoakArgs::one(2, FAULT_SECONDS, folder)).await;
    assert!(passed.expect("the deployment starts"));
}

/// Guards against answers that a router ends although their target is sound: targets pause within their
/// answers beside stops in series, the retry budget is nearly empty, and other faults are rare.
#[tokio::test(flavor = "multi_thread")]
async fn sound_targets_finish_their_answers_beside_planned_work() {
    let program = Path::new(env!("CARGO_BIN_EXE_ebonyfall-entry"));
    let folder = program.parent().expect("the program is in a folder");
    let args =
        SoakArgs::one(3, PLANNED_SECONDS, folder).with_single_faults(RETRY_RATIO, RETRY_SLACK);
    let passed = soak::run(args).await;
    assert!(passed.expect("the deployment starts"));
}
