//! Short soak test of entry routers with a fixed seed.

use std::path::Path;

use ebonyfall_bench::soak::{self, SoakArgs};

/// Time for which faults are injected, in seconds.
const FAULT_SECONDS: u64 = 6;

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
