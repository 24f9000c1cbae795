//! Last phase of the soak: routers behind thin links miss long desired states, and have to have the newest
//! one in force in time.

use std::time::Duration;

use ebonyfall_standin::{
    entrance::{EntryDeployment, TEAM_KEY},
    proxy::ConnectionFault,
};
use rand::{Rng, rngs::StdRng};
use tokio::time::{Instant, sleep};

/// Rate of the thinnest link that a router may have: 10 Mbit/s, in bytes a second.
pub const THIN_LINK: u32 = 1_250_000;
/// Time within which a router that runs and reaches the store has a change in force: the default of the
/// setting `apply-ms`.
const APPLY: Duration = Duration::from_secs(2);
/// Range of the number of states that are missed.
const MISSED: [u64; 2] = [4, 14];
/// Range of the size of a state, in bytes.
const STATE_BYTES: [usize; 2] = [20_000, 200_000];
/// Range of the pause between two states.
const GAP_MS: [u64; 2] = [30, 350];
/// Interval between two looks at the versions in force.
const POLL: Duration = Duration::from_millis(50);

/// Stops about half of the routers while states follow `version`, and returns which of all routers do not
/// have the last one in force in time.
pub async fn check(env: &mut EntryDeployment, random: &mut StdRng, version: u64) -> Vec<String> {
    for proxy in &env.store_proxies {
        proxy.set_fault(ConnectionFault::Rate(THIN_LINK));
    }
    let stopped: Vec<_> = (0..env.routers.len())
        .filter(|_| random.random_bool(0.5))
        .collect();
    env.signal_all(stopped.iter().copied(), "STOP");
    let last = version + random.random_range(MISSED[0]..=MISSED[1]);
    let bytes = random.random_range(STATE_BYTES[0]..=STATE_BYTES[1]);
    for version in version + 1..=last {
        env.put_long_desired_state(version, &[TEAM_KEY], bytes)
            .await;
        sleep(Duration::from_millis(
            random.random_range(GAP_MS[0]..GAP_MS[1]),
        ))
        .await;
    }
    env.signal_all(stopped.iter().copied(), "CONT");
    let due = Instant::now() + APPLY;
    let mut late = (0..env.routers.len()).collect::<Vec<_>>();
    while !late.is_empty() && Instant::now() < due {
        sleep(POLL).await;
        let mut still_late = Vec::new();
        for router in late {
            if env.desired_version(router).await != Some(last) {
                still_late.push(router);
            }
        }
        late = still_late;
    }
    let report = |router| {
        let stood_still = stopped.contains(&router);
        format!(
            "router {router} does not have version {last} ({bytes} bytes) in force after {APPLY:?}; \
             it stood still: {stood_still}"
        )
    };
    late.into_iter().map(report).collect()
}
