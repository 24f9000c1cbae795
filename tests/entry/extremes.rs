//! Desired states with numbers at the ends of what an operator may write.

use std::time::Duration;

use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{
    SAFE, STREAM, UNSAFE,
    env::{EntryEnv, TEAM_KEY},
};

/// Time within which a desired state has to be in force.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a router knows its part in the limits of the fleet.
const SHARE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for which a target is cold, longer than the test.
const COLD_TIME: Duration = Duration::from_secs(600);

/// Waits until the router has the version in force.
async fn await_version(env: &EntryEnv, version: u64, change: &str) {
    let start = Instant::now();
    while env.desired_version(0).await != Some(version) {
        assert!(start.elapsed() < APPLY_TIMEOUT, "{change}: not in force");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Puts each number at `pointer` in turn, and checks that callers are served meanwhile and afterwards.
/// Routes on which no request can be served are left out by `paths`.
async fn check(env: &EntryEnv, first: u64, pointer: &str, numbers: &[Value], paths: &[&str]) {
    for (version, number) in (first..).zip(numbers) {
        let change = format!("{pointer} = {number}");
        env.put_changed_state(version, &[TEAM_KEY], (pointer, number.clone()))
            .await;
        await_version(env, version, &change).await;
        for path in paths {
            let method = if *path == SAFE { "GET" } else { "POST" };
            let reply = env.call(method, path, "", &[]).await;
            assert_eq!(reply.status, StatusCode::OK, "{change}: {path}");
        }
        assert!(env.is_ready(0).await, "{change}");
    }
}

async fn knows_cold_target(env: &EntryEnv) -> bool {
    let dump: Value = serde_json::from_str(&env.dump(0).await).expect("the dump is JSON");
    let targets = dump["steering"]["targets"].as_array();
    let mut targets = targets.into_iter().flatten();
    targets.any(|target| target["cold_ms"].as_u64() > Some(0))
}

fn large() -> Vec<Value> {
    vec![
        json!(1_000_001.0),
        json!(4_294_967_296_u64),
        json!(u64::MAX),
        json!(f64::MAX),
    ]
}

fn all() -> Vec<Value> {
    [vec![json!(0), json!(1e-300), json!(0.5)], large()].concat()
}

/// Guards against routers that refuse everything and say that they are ready, because the rate of a cold
/// target ends the task that chooses targets.
#[tokio::test(flavor = "multi_thread")]
async fn a_high_cold_rate_ends_no_router() {
    let env = EntryEnv::start(2).await;
    // Without a part in the limits of the fleet, a router sends nothing to a cold target.
    let start = Instant::now();
    while !env.log(0).contains("\"fleet_share\"") {
        assert!(start.elapsed() < SHARE_TIMEOUT, "the router knows its part");
        sleep(Duration::from_millis(20)).await;
    }
    env.register_cold(0, COLD_TIME).await;
    let start = Instant::now();
    while !knows_cold_target(&env).await {
        assert!(
            start.elapsed() < SHARE_TIMEOUT,
            "the router reads the entry"
        );
        sleep(Duration::from_millis(20)).await;
    }
    let pointer = "/services/0/warmup_per_s";
    check(&env, 10, pointer, &all(), &[SAFE, UNSAFE, STREAM]).await;
}

/// Guards against a desired state that is not applied, or whose requests end by a panic, because of one
/// number.
#[tokio::test(flavor = "multi_thread")]
async fn extreme_numbers_of_routes_are_served() {
    let env = EntryEnv::start(2).await;
    let paths = [SAFE, UNSAFE, STREAM];
    let mut version = 10;
    for field in ["slo_ms", "priority", "max_attempts"] {
        for route in 0..4 {
            let pointer = format!("/routes/{route}/{field}");
            check(&env, version, &pointer, &all(), &paths).await;
            version += 100;
        }
    }
    for route in 0..4 {
        let pointer = format!("/routes/{route}/timeout_ms");
        check(&env, version, &pointer, &large(), &paths).await;
        version += 100;
    }
}

/// Guards against a router that takes no connection, or whose listener ends, because of a limit on
/// callers.
#[tokio::test(flavor = "multi_thread")]
async fn extreme_limits_on_callers_are_served() {
    let env = EntryEnv::start(2).await;
    let paths = [SAFE, UNSAFE, STREAM];
    let limits = ["max_header_bytes", "header_timeout_ms", "idle_timeout_ms"];
    for (number, limit) in (1..).zip(limits) {
        let pointer = format!("/limits/{limit}");
        check(&env, 100 * number, &pointer, &all(), &paths).await;
    }
    check(&env, 1_000, "/limits/max_body_bytes", &large(), &paths).await;
    check(&env, 2_000, "/services/0/max_conns", &all(), &paths).await;
}
