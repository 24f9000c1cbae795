//! Tests of a router whose link to the store carries 10 Mbit/s while long desired states follow each other.

use std::time::Duration;

use ebonyfall_standin::proxy::ConnectionFault;
use http::StatusCode;
use tokio::time::{Instant, sleep};

use crate::{
    SAFE,
    env::{EntryEnv, TEAM_KEY},
};

/// Rate of the thinnest link that a router may have: 10 Mbit/s, in bytes a second.
const THIN_LINK: u32 = 1_250_000;
/// Time within which a change must be in force, as the settings state it.
const APPLY: Duration = Duration::from_secs(3);
const SETTINGS: &str = "apply-ms = 3000\n";
/// Time for which a router stands still.
const STANDSTILL: Duration = Duration::from_millis(3_500);

async fn start_on_thin_link() -> EntryEnv {
    let env = EntryEnv::start_fleet_with(1, 1, SETTINGS).await;
    env.store_proxies[0].set_fault(ConnectionFault::Rate(THIN_LINK));
    env
}

/// Guards against a router that reads each state it missed, with the same time for all of them together.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_missed_many_long_states_has_the_newest_in_time() {
    const BYTES: usize = 120_000;
    const LAST: u64 = 13;
    let mut env = start_on_thin_link().await;
    env.signal(0, "STOP");
    for number in 2..=LAST {
        env.put_long_desired_state(number, &[TEAM_KEY], BYTES).await;
    }
    sleep(STANDSTILL).await;
    env.signal(0, "CONT");
    let resumed = Instant::now();
    loop {
        let version = env.desired_version(0).await;
        if version == Some(LAST) {
            break;
        }
        assert!(resumed.elapsed() < APPLY, "version {version:?} is in force");
        sleep(Duration::from_millis(50)).await;
    }
    let reply = env.call_router(0, "GET", SAFE, "", &[]).await;
    assert_eq!(reply.status, StatusCode::OK);
}

/// Guards against a router that refuses its callers while more states come than its link carries.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_serves_while_states_follow_faster_than_its_link_carries_them() {
    const BYTES: usize = 250_000;
    const GAP: Duration = Duration::from_millis(170);
    const LAST: u64 = 60;
    let env = start_on_thin_link().await;
    let mut written = Vec::new();
    for number in 2..=LAST {
        env.put_long_desired_state(number, &[TEAM_KEY], BYTES).await;
        written.push((number, Instant::now()));
        sleep(GAP).await;
        let due = written.iter().rev().find(|(_, at)| at.elapsed() > APPLY);
        let due = due.map_or(1, |(number, _)| *number);
        let version = env.desired_version(0).await;
        assert!(
            version >= Some(due),
            "version {version:?} is in force instead of {due}"
        );
        let reply = env.call_router(0, "GET", SAFE, "", &[]).await;
        assert_eq!(reply.status, StatusCode::OK, "after version {number}");
    }
}
