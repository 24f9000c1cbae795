//! A short soak of entry routers with a fixed seed.

use std::path::Path;

use ebonyfall_bench::soak::{self, SoakArgs};

/// Seconds of faults.
const SECONDS: u64 = 6;

/// Guards against promises that break when faults overlap: signals, harmed connections, targets that
/// misbehave, a silent store, changes of the desired state and of zones.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_overlapping_faults() {
    let program = Path::new(env!("CARGO_BIN_EXE_ebonyfall-entry"));
    let folder = program.parent().expect("the program is in a folder");
    let held = soak::run(SoakArgs::one(2, SECONDS, folder)).await;
    assert!(held.expect("the deployment starts"));
}
