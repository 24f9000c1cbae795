//! Tests of entry routers whose store comes back from an older copy, in which offsets are given out
//! again.

use std::time::Duration;

use ebonyfall_standin::{keyed::StoreFault, proxy::ConnectionFault};
use http::StatusCode;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    SAFE,
    env::{EntryEnv, TEAM_KEY},
    readers::{ROUTERS, followers},
};

/// Stream of operators' orders.
const ORDERS: &str = "keyed.op";
/// Stream of the targets' entries.
const TARGETS: &str = "keyed.servers";
/// Time after the store's return within which its content must be in force.
const IN_FORCE: Duration = Duration::from_secs(3);

async fn check(env: &EntryEnv, router: usize, expected: StatusCode) {
    let reply = env.call_router(router, "GET", SAFE, "", &[]).await;
    assert_eq!(reply.status, expected, "router {router}");
}

/// Makes the store unavailable, loses the last records of a topic, and lets `rewrite` run before the
/// store answers again.
async fn restore(env: &EntryEnv, lost: &[(&str, usize)], rewrite: impl Future<Output = ()>) {
    env.store.set_fault(StoreFault::Unavailable).await;
    sleep(Duration::from_millis(300)).await;
    env.store.restore(lost).await;
    rewrite.await;
    env.store.set_fault(StoreFault::None).await;
}

/// Guards against a change that is missed because it got an offset that the router had read before
/// the store lost it.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_at_an_offset_that_was_given_out_again_is_in_force() {
    let env = EntryEnv::start(1).await;
    env.put_desired_state(2, &[TEAM_KEY]).await;
    sleep(Duration::from_millis(500)).await;
    restore(&env, &[(ORDERS, 1)], async {
        env.put_desired_state(3, &["other-key"]).await;
    })
    .await;
    sleep(IN_FORCE).await;
    check(&env, 0, StatusCode::UNAUTHORIZED).await;
}

/// Guards against a router that goes back to an older desired state, which the store has until the
/// operator has written the newer one again.
#[tokio::test(flavor = "multi_thread")]
async fn an_older_copy_does_not_bring_back_a_revoked_key() {
    let env = EntryEnv::start(1).await;
    env.put_desired_state(2, &["other-key"]).await;
    sleep(Duration::from_millis(500)).await;
    check(&env, 0, StatusCode::UNAUTHORIZED).await;
    restore(&env, &[(ORDERS, 1)], async {}).await;
    for _ in 0..6 {
        sleep(Duration::from_millis(500)).await;
        check(&env, 0, StatusCode::UNAUTHORIZED).await;
    }
    env.put_desired_state(2, &["other-key"]).await;
    env.put_desired_state(3, &[TEAM_KEY]).await;
    sleep(IN_FORCE).await;
    check(&env, 0, StatusCode::OK).await;
}

/// Guards against a zone that gets requests again because the copy lacks its evacuation.
#[tokio::test(flavor = "multi_thread")]
async fn an_older_copy_does_not_take_back_an_evacuation() {
    let env = EntryEnv::start(1).await;
    let evacuation = json!({});
    env.store
        .put(ORDERS, "evacuate/z0", Some(&evacuation))
        .await;
    sleep(Duration::from_secs(1)).await;
    check(&env, 0, StatusCode::SERVICE_UNAVAILABLE).await;
    restore(&env, &[(ORDERS, 1)], async {}).await;
    for _ in 0..4 {
        sleep(Duration::from_millis(250)).await;
        check(&env, 0, StatusCode::SERVICE_UNAVAILABLE).await;
    }
}

/// Guards against followers that keep the offsets of before, and against a reader that serves them
/// records by offsets of another era.
#[tokio::test(flavor = "multi_thread")]
async fn followers_have_changes_that_came_after_a_restore() {
    let env = EntryEnv::start_fleet(ROUTERS, 1).await;
    followers(&env).await;
    for version in 2..6 {
        env.put_desired_state(version, &[TEAM_KEY]).await;
    }
    sleep(Duration::from_secs(6)).await;
    restore(&env, &[(ORDERS, 4)], async {
        env.put_desired_state(6, &[TEAM_KEY]).await;
    })
    .await;
    sleep(Duration::from_secs(6)).await;
    env.put_desired_state(7, &["other-key"]).await;
    sleep(IN_FORCE).await;
    for router in 0..ROUTERS {
        check(&env, router, StatusCode::UNAUTHORIZED).await;
    }
}

/// Guards against a target that had left and gets requests again because the copy still lists it.
#[tokio::test(flavor = "multi_thread")]
async fn an_older_copy_does_not_bring_back_a_target_that_had_left() {
    let env = EntryEnv::start(2).await;
    env.register(0, "draining").await;
    sleep(Duration::from_millis(2_500)).await;
    let before = env.targets[0].executed_requests().len();
    restore(&env, &[(TARGETS, 1)], async {}).await;
    for _ in 0..20 {
        sleep(Duration::from_millis(100)).await;
        check(&env, 0, StatusCode::OK).await;
    }
    assert_eq!(env.targets[0].executed_requests().len(), before);
}

/// Guards against routers that start after a restore with another exchange key than the others have.
#[tokio::test(flavor = "multi_thread")]
async fn the_exchange_key_is_written_again() {
    let env = EntryEnv::start(1).await;
    let keys = || env.store.values("keyed.routers", "exchange-key");
    let before = keys().await;
    assert_eq!(before.len(), 1);
    sleep(Duration::from_secs(1)).await;
    // The topic holds the key, and after it the record of the router itself.
    restore(&env, &[("keyed.routers", 2)], async {}).await;
    assert!(keys().await.is_empty());
    sleep(IN_FORCE).await;
    assert_eq!(keys().await, before);
}

/// Guards against a revoked key at a router that had no way to the store when the key was revoked, and
/// reads the copy without the revocation afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_missed_a_revocation_does_not_trust_an_older_copy() {
    let env = EntryEnv::start(1).await;
    sleep(Duration::from_secs(1)).await;
    env.store_proxies[0].set_fault(ConnectionFault::DropAll);
    env.put_desired_state(2, &["other-key"]).await;
    // The router knows that what it has is too old by then.
    sleep(Duration::from_secs(7)).await;
    check(&env, 0, StatusCode::SERVICE_UNAVAILABLE).await;
    env.store.restore(&[(ORDERS, 1)]).await;
    env.store_proxies[0].set_fault(ConnectionFault::None);
    for _ in 0..10 {
        sleep(Duration::from_millis(150)).await;
        check(&env, 0, StatusCode::SERVICE_UNAVAILABLE).await;
    }
    env.put_desired_state(2, &["other-key"]).await;
    sleep(IN_FORCE).await;
    check(&env, 0, StatusCode::UNAUTHORIZED).await;
}
