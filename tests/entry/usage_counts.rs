//! Tests of the counts of requests that routers exchange for usage reports.

use std::time::Duration;

use ebonyfall_standin::registered::AnswerMode;
use http::StatusCode;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::{RESUMABLE, SAFE, STREAM, UNSAFE, env::EntryEnv, set_behaviour};

/// Settings of routers that count usage.
const SETTINGS: &str = "usage-address = 127.0.0.1:9\nusage-window-s = 5\n\
    usage-lease-ms = 3000\nusage-late-s = 10\nusage-calls-per-s = 50\n";
/// Time within which gossip must make all routers known to each other.
const MEMBERSHIP: Duration = Duration::from_secs(15);
/// Time within which a collector must have what another router has counted.
const EXCHANGE: Duration = Duration::from_secs(2);

/// The section on usage of a router's dump.
async fn usage(env: &EntryEnv, router: usize) -> Value {
    let dump: Value = serde_json::from_str(&env.dump(router).await).expect("the dump is JSON");
    dump.get("usage_counts").cloned().unwrap_or_default()
}

/// Requests that the router knows of, in the windows of its dump.
async fn counted(env: &EntryEnv, router: usize) -> u64 {
    let usage = usage(env, router).await;
    let windows = usage["windows"].as_array().cloned().unwrap_or_default();
    let counts = windows.iter().filter_map(|w| w["counts"]["desk"].as_u64());
    counts.sum()
}

async fn wait_for_count(env: &EntryEnv, router: usize, expected: u64) {
    let start = Instant::now();
    loop {
        let found = counted(env, router).await;
        if found == expected {
            return;
        }
        assert!(
            start.elapsed() < EXCHANGE,
            "{found} of {expected} at {router}"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against requests that are counted twice or not at all: those that were retried, refused,
/// broken or streamed.
#[tokio::test(flavor = "multi_thread")]
async fn each_request_that_began_counts_once() {
    let env = EntryEnv::start_fleet_with(1, 2, SETTINGS).await;
    let call = async |method, path| env.call(method, path, "spine", &[]).await.status;
    assert_eq!(call("GET", SAFE).await, StatusCode::OK);
    wait_for_count(&env, 0, 1).await;
    env.targets[0].set_mode(AnswerMode::Fail);
    env.targets[1].set_mode(AnswerMode::CloseUnanswered);
    call("GET", SAFE).await;
    call("POST", UNSAFE).await;
    wait_for_count(&env, 0, 3).await;
    set_behaviour(&env, AnswerMode::Decline);
    call("GET", SAFE).await;
    call("POST", UNSAFE).await;
    assert_eq!(call("POST", STREAM).await, StatusCode::SERVICE_UNAVAILABLE);
    let cut_after = |count| AnswerMode::Stream {
        count: 9,
        cut_after: count,
    };
    set_behaviour(&env, cut_after(Some(0)));
    call("POST", STREAM).await;
    sleep(Duration::from_millis(300)).await;
    wait_for_count(&env, 0, 3).await;
    set_behaviour(&env, cut_after(Some(4)));
    call("POST", RESUMABLE).await;
    wait_for_count(&env, 0, 4).await;
}

/// Guards against counts that do not reach the collectors, and against counts that are lost with the
/// router that made them, or with a collector.
#[tokio::test(flavor = "multi_thread")]
async fn counts_meet_at_the_collectors_and_survive_a_killed_router() {
    let mut env = EntryEnv::start_fleet_with(3, 1, SETTINGS).await;
    let start = Instant::now();
    let ranks = loop {
        let mut ranks = Vec::new();
        for router in 0..3 {
            let usage = usage(&env, router).await;
            let collectors = usage["collectors"].as_array().map_or(0, Vec::len);
            ranks.extend(usage["rank"].as_u64().filter(|_| collectors == 2));
        }
        if ranks.len() == 3 {
            break ranks;
        }
        assert!(start.elapsed() < MEMBERSHIP, "ranks {ranks:?}");
        sleep(Duration::from_millis(100)).await;
    };
    let mut sorted = ranks.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, [0, 1, 2], "all routers know the same order");
    for (router, requests) in [(0, 3), (1, 5), (2, 7)] {
        for _ in 0..requests {
            let reply = env.call_router(router, "GET", SAFE, "", &[]).await;
            assert_eq!(reply.status, StatusCode::OK);
        }
    }
    for router in 0..3 {
        wait_for_count(&env, router, 15).await;
    }
    let first = ranks.iter().position(|rank| *rank == 0).unwrap();
    env.signal(first, "KILL");
    let others: Vec<_> = (0..3).filter(|router| *router != first).collect();
    let reply = env.call_router(others[0], "GET", SAFE, "", &[]).await;
    assert_eq!(reply.status, StatusCode::OK);
    for router in others {
        wait_for_count(&env, router, 16).await;
    }
}

/// Guards against messages and metrics of usage reports in deployments without them.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_setting_nothing_is_counted() {
    let env = EntryEnv::start(1).await;
    assert_eq!(env.call("GET", SAFE, "", &[]).await.status, StatusCode::OK);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(usage(&env, 0).await, Value::Null);
    assert!(env.metrics(0).await.contains("usage_requests_total 0"));
}
