//! Tests of the list of routers in the store, by which routers share the limits of the fleet.

use std::time::Duration;

use ebonyfall_standin::keyed::StoreFault;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::env::EntryEnv;

/// Number of routers of the fleet.
const ROUTERS: usize = 3;
/// Time within which routers that start for the first time share the limits.
const SHARED: Duration = Duration::from_secs(8);
/// Time within which a router that starts again has read the list.
const READ: Duration = Duration::from_secs(2);
/// Shortest time for which a new router waits, less what the clocks of the log lines may differ.
const SETTLE: Duration = Duration::from_millis(1_900);

/// Fields of the log lines of `event`, in order.
fn lines(env: &EntryEnv, router: usize, event: &str) -> Vec<Value> {
    let log = env.log(router);
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.filter(|line| line["event"] == event).collect()
}

/// Numbers of routers that a router has shared the limits with, in order; `None` while unknown.
fn shares(env: &EntryEnv, router: usize) -> Vec<Option<u64>> {
    let lines = lines(env, router, "fleet_share");
    lines.iter().map(|line| line["routers"].as_u64()).collect()
}

/// Waits until every router shares the limits with all.
async fn wait_for_shares(env: &EntryEnv, routers: usize, limit: Duration) {
    let all = u64::try_from(routers).expect("routers are few");
    let start = Instant::now();
    while (0..routers).any(|router| shares(env, router).last() != Some(&Some(all))) {
        let found: Vec<_> = (0..routers).map(|router| shares(env, router)).collect();
        assert!(start.elapsed() < limit, "{found:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

fn record_key(router: usize) -> String {
    format!("router/e-{router}")
}

/// Guards against routers that each use all of the limits when they start for the first time. One of
/// them is the first; the others wait until all know them.
#[tokio::test(flavor = "multi_thread")]
async fn new_routers_wait_until_the_others_know_them() {
    let env = EntryEnv::start_fleet(ROUTERS, 1).await;
    wait_for_shares(&env, ROUTERS, SHARED).await;
    let mut first = 0;
    for router in 0..ROUTERS {
        let shares = shares(&env, router);
        first += usize::from(shares[0] == Some(1));
        if shares[0] != Some(1) {
            assert_eq!(shares[0], Some(3), "router {router}: {shares:?}");
            let held = lines(&env, router, "fleet_share")[0]["before_ms"].as_u64();
            let held = held.map(Duration::from_millis);
            assert!(held.is_some_and(|held| held >= SETTLE), "{held:?}");
        }
        let records = env.store.values("keyed.routers", &record_key(router)).await;
        assert_eq!(records.len(), 1, "a start costs one append");
    }
    assert_eq!(first, 1, "one router is the first");
}

/// Guards against routers that use more than their part at a restart, and against a wait of those that
/// the list names already.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_start_again_know_their_fleet_at_once() {
    let mut env = EntryEnv::start_fleet(ROUTERS, 1).await;
    wait_for_shares(&env, ROUTERS, SHARED).await;
    let before: Vec<_> = (0..ROUTERS)
        .map(|router| shares(&env, router).len())
        .collect();
    for router in 0..ROUTERS {
        env.signal(router, "KILL");
    }
    sleep(Duration::from_millis(200)).await;
    for router in 0..ROUTERS {
        env.restart_router(router);
    }
    sleep(READ).await;
    for (router, before) in before.into_iter().enumerate() {
        let after = shares(&env, router).split_off(before);
        assert_eq!(after, [Some(3)], "router {router}");
        let line = lines(&env, router, "fleet_share")[before].clone();
        assert!(line["before_ms"].as_u64() < Some(1_000), "{line}");
    }
}

/// Guards against a router that is not killed but stopped, and counts less for the others meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_is_replaced_keeps_its_part() {
    let mut env = EntryEnv::start_fleet(ROUTERS, 1).await;
    wait_for_shares(&env, ROUTERS, SHARED).await;
    let before: Vec<_> = (0..ROUTERS)
        .map(|router| shares(&env, router).len())
        .collect();
    env.terminate();
    assert!(env.ended(Duration::from_secs(9)).await);
    // The others take it for gone by then.
    sleep(Duration::from_secs(8)).await;
    env.restart();
    sleep(READ).await;
    let after: Vec<_> = (0..ROUTERS)
        .map(|router| shares(&env, router).split_off(before[router]))
        .collect();
    assert_eq!(after, [vec![Some(3)], vec![], vec![]]);
}

/// Guards against a router that uses no part for long, or fails, since the store refuses its record.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_refuses_the_record_does_not_withhold_the_part() {
    let mut env = EntryEnv::start_fleet(ROUTERS, 1).await;
    wait_for_shares(&env, ROUTERS, SHARED).await;
    let before = shares(&env, 1).len();
    env.signal(1, "KILL");
    sleep(Duration::from_millis(200)).await;
    env.store.set_fault(StoreFault::ReadOnly).await;
    env.restart_router(1);
    sleep(READ).await;
    assert_eq!(shares(&env, 1).split_off(before), [Some(3)]);
    let failed = lines(&env, 1, "roster_failed");
    assert_eq!(failed[0]["call"], "append", "{failed:?}");
    let records = async || {
        env.store
            .values("keyed.routers", &record_key(1))
            .await
            .len()
    };
    assert_eq!(records().await, 1);
    env.store.set_fault(StoreFault::None).await;
    let start = Instant::now();
    while records().await < 2 {
        assert!(start.elapsed() < Duration::from_secs(10));
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a router whose record is lost with a restore of the store, so that routers that start
/// later do not know it.
#[tokio::test(flavor = "multi_thread")]
async fn the_record_is_written_again_after_a_restore() {
    let env = EntryEnv::start(1).await;
    wait_for_shares(&env, 1, SHARED).await;
    sleep(Duration::from_secs(1)).await;
    let records = async || {
        env.store
            .values("keyed.routers", &record_key(0))
            .await
            .len()
    };
    assert_eq!(records().await, 1);
    env.store.restore(&[("keyed.routers", 1)]).await;
    assert_eq!(records().await, 0);
    let start = Instant::now();
    while records().await < 1 {
        assert!(start.elapsed() < Duration::from_secs(4));
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a record of another writer that keeps a router from reading the list.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_records_are_ignored_and_logged() {
    let mut env = EntryEnv::start(1).await;
    wait_for_shares(&env, 1, SHARED).await;
    for (key, value) in [("router/e-7", "{"), ("router/a b\n", "{}"), ("other", "x")] {
        let value = value.as_bytes().to_vec();
        env.store.put_bytes("keyed.routers", key, Some(value)).await;
    }
    env.signal(0, "KILL");
    sleep(Duration::from_millis(200)).await;
    env.restart();
    sleep(READ).await;
    assert_eq!(shares(&env, 0).last(), Some(&Some(1)));
    assert_eq!(lines(&env, 0, "roster_bad").len(), 2);
}
