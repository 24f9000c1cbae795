//! Tests of routers of one zone that follow the zone's readers instead of reading the store.

use std::time::Duration;

use http::StatusCode;
use tokio::time::{Instant, sleep};

use crate::{
    SAFE,
    env::{EntryEnv, TEAM_KEY},
};

/// Routers of the zone; two of them read the store.
pub const ROUTERS: usize = 5;
/// Time after which a change in the store must be in force in every router.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Time within which gossip must make all routers of the zone known to each other.
const MEMBERSHIP: Duration = Duration::from_secs(15);

/// Waits until all routers but two read the orders from another router, and returns those.
pub async fn followers(env: &EntryEnv) -> Vec<usize> {
    let start = Instant::now();
    loop {
        let mut followers = Vec::new();
        for router in 0..ROUTERS {
            let metrics = env.metrics(router).await;
            let reads = r#"peer_reads_total{stream="orders",outcome="answered"}"#;
            if metrics.contains(reads) {
                followers.push(router);
            }
        }
        if followers.len() == ROUTERS - 2 {
            return followers;
        }
        assert!(start.elapsed() < MEMBERSHIP, "only {followers:?} follow");
        sleep(Duration::from_millis(200)).await;
    }
}

async fn check_all(env: &EntryEnv, routers: &[usize], expected: StatusCode) {
    for router in routers {
        let reply = env.call_router(*router, "GET", SAFE, "", &[]).await;
        assert_eq!(reply.status, expected, "router {router}");
    }
}

/// Guards against changes that do not reach routers which follow others, and against followers that
/// no longer serve when all their readers have gone.
#[tokio::test(flavor = "multi_thread")]
async fn followers_apply_changes_also_when_their_readers_have_gone() {
    let mut env = EntryEnv::start_fleet(ROUTERS, 1).await;
    let followers = followers(&env).await;
    for router in &followers {
        assert!(env.is_ready(*router).await, "router {router}");
    }
    env.put_desired_state(2, &["other-key"]).await;
    sleep(IN_FORCE).await;
    check_all(&env, &followers, StatusCode::UNAUTHORIZED).await;
    env.put_desired_state(3, &[TEAM_KEY]).await;
    sleep(IN_FORCE).await;
    check_all(&env, &followers, StatusCode::OK).await;
    for reader in (0..ROUTERS).filter(|router| !followers.contains(router)) {
        env.signal(reader, "KILL");
    }
    for _ in 0..12 {
        sleep(Duration::from_millis(500)).await;
        check_all(&env, &followers, StatusCode::OK).await;
    }
    env.put_desired_state(4, &["other-key"]).await;
    sleep(IN_FORCE).await;
    check_all(&env, &followers, StatusCode::UNAUTHORIZED).await;
}

/// Guards against followers that accept a revoked key because their readers are paused: the readers'
/// state must not look current to them.
#[tokio::test(flavor = "multi_thread")]
async fn paused_readers_do_not_hide_a_revocation() {
    let mut env = EntryEnv::start_fleet(ROUTERS, 1).await;
    let followers = followers(&env).await;
    let readers: Vec<_> = (0..ROUTERS)
        .filter(|router| !followers.contains(router))
        .collect();
    for reader in &readers {
        env.signal(*reader, "STOP");
    }
    env.put_desired_state(2, &["other-key"]).await;
    sleep(IN_FORCE).await;
    check_all(&env, &followers, StatusCode::UNAUTHORIZED).await;
    sleep(Duration::from_secs(4)).await;
    for reader in &readers {
        env.signal(*reader, "CONT");
        let reply = env.call_router(*reader, "GET", SAFE, "", &[]).await;
        assert_ne!(
            reply.status,
            StatusCode::OK,
            "a resumed router must check its state first"
        );
    }
}
