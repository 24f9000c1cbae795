//! Tests of entry routers that have to list the store's streams while the store gives no list.

use std::time::Duration;

use ebonyfall_standin::keyed::StoreFault;
use http::StatusCode;
use tokio::time::{Instant, sleep};

use crate::{
    SAFE,
    env::{EntryEnv, TEAM_KEY},
};

/// Time after a restore from which on lists of both streams are due that are complete again.
const SETTLED: Duration = Duration::from_secs(6);
/// Time after which orders that nobody has confirmed may not be used.
const STALE: Duration = Duration::from_secs(5);
/// Time within which a change must be in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(250);

/// Checks that a router serves requests with keys for longer than orders are valid without being
/// confirmed, and then that it takes changes of targets and of the orders.
async fn check_serves(env: &EntryEnv, router: usize) {
    let end = Instant::now() + STALE;
    while Instant::now() < end {
        let reply = env.call_router(router, "GET", SAFE, "", &[]).await;
        assert_eq!(reply.status, StatusCode::OK, "{:?}", reply.body);
        sleep(CALL_PAUSE).await;
    }
    env.register(0, "draining").await;
    sleep(IN_FORCE).await;
    let before = env.targets[0].executed_requests().len();
    for _ in 0..6 {
        let reply = env.call_router(router, "GET", SAFE, "", &[]).await;
        assert_eq!(reply.status, StatusCode::OK, "{:?}", reply.body);
    }
    let after = env.targets[0].executed_requests().len();
    assert_eq!(after, before, "the target is draining");
    env.put_desired_state(9, &["other-key"]).await;
    sleep(IN_FORCE).await;
    let reply = env.call_router(router, "GET", SAFE, "", &[]).await;
    assert_eq!(reply.status, StatusCode::UNAUTHORIZED, "{:?}", reply.body);
}

/// Guards against a router that stops reading a stream which the store serves, because a list that is
/// due fails.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_reads_the_stream_while_a_list_fails() {
    let env = EntryEnv::start(2).await;
    sleep(Duration::from_millis(500)).await;
    env.store.restore(&[]).await;
    // The router lists the streams of the new era at once, and again when they are settled.
    sleep(Duration::from_secs(1)).await;
    env.store.set_fault(StoreFault::NoLists).await;
    sleep(SETTLED).await;
    check_serves(&env, 0).await;
}

/// Guards against a router that asks no other router while the list fails which it needs to go on.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_asks_others_while_the_list_fails_that_it_needs() {
    let mut env = EntryEnv::start_fleet(2, 2).await;
    env.put_desired_state(2, &[TEAM_KEY]).await;
    // Gossip connects the routers.
    sleep(Duration::from_secs(3)).await;
    env.signal(0, "STOP");
    env.store.restore(&[]).await;
    // The other router has listed both streams by then.
    sleep(Duration::from_secs(2)).await;
    env.store.set_fault(StoreFault::NoLists).await;
    env.signal(0, "CONT");
    sleep(SETTLED).await;
    check_serves(&env, 0).await;
}
