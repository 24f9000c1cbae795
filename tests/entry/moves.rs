//! Tests of version moves with entry routers as processes: the operator's order, the requests that
//! each version gets, and the status that the routers record in the store.

use std::time::Duration;

use ebonyfall_standin::registered::AnswerMode;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::env::EntryEnv;

/// Time within which a move must be complete.
const MOVE_DURATION: Duration = Duration::from_secs(8);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Starts two routers, two targets of the old version and two of the new one, and orders a move.
async fn start_move() -> EntryEnv {
    let env = EntryEnv::start_fleet(2, 4).await;
    for target in 2..4 {
        env.register_version(target, "ready", "v2").await;
    }
    let order =
        json!({ "service": "plain", "target": "v2", "duration_s": MOVE_DURATION.as_secs() });
    env.store
        .put("keyed.op", "rollout/plain", Some(&order))
        .await;
    // Routers read the target records about once a second.
    sleep(Duration::from_millis(1_500)).await;
    env
}

async fn recorded_states(env: &EntryEnv) -> Vec<String> {
    let values = env.store.values("keyed.status", "rollout/plain").await;
    let state = |value: Vec<u8>| {
        let status: Value = serde_json::from_slice(&value).expect("the status is JSON");
        assert_eq!(status["target"], "v2");
        status["state"]
            .as_str()
            .expect("the state is a string")
            .to_owned()
    };
    values.into_iter().map(state).collect()
}

/// Sends requests to both routers in turn until the move has ended or `limit` has passed.
async fn send_requests(env: &EntryEnv, limit: Duration) {
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < limit && recorded_states(env).await.len() < 2 {
        env.call_router(number % 2, "POST", "/order/7", "spine", &[])
            .await;
        number += 1;
        sleep(REQUEST_INTERVAL).await;
    }
}

fn request_count(env: &EntryEnv, targets: std::ops::Range<usize>) -> usize {
    targets
        .map(|target| env.targets[target].executed_requests().len())
        .sum()
}

/// Guards against a move whose status is missing or recorded twice, and against requests that still
/// reach the old version after the move.
#[tokio::test(flavor = "multi_thread")]
async fn a_correct_version_gets_all_requests() {
    let env = start_move().await;
    send_requests(&env, MOVE_DURATION).await;
    assert_eq!(recorded_states(&env).await, ["in_progress", "complete"]);
    let before = request_count(&env, 0..2);
    for number in 0..20 {
        env.call_router(number % 2, "POST", "/order/7", "spine", &[])
            .await;
    }
    assert_eq!(request_count(&env, 0..2), before);
}

/// Guards against a faulty version that keeps getting requests, and against a router that loses the
/// verdict when it restarts.
#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_version_gets_no_more_requests() {
    let mut env = start_move().await;
    for target in 2..4 {
        env.targets[target].set_mode(AnswerMode::Fail);
    }
    send_requests(&env, MOVE_DURATION).await;
    assert_eq!(recorded_states(&env).await, ["in_progress", "reverted"]);
    sleep(Duration::from_secs(1)).await;
    let before = request_count(&env, 2..4);
    assert!(before <= 50, "{before} requests reached the faulty version");
    env.terminate();
    assert!(env.ended(Duration::from_secs(5)).await);
    env.restart();
    while !env.is_ready(0).await {
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_millis(500)).await;
    for number in 0..40 {
        env.call_router(number % 2, "POST", "/order/7", "spine", &[])
            .await;
    }
    assert_eq!(request_count(&env, 2..4), before);
}

/// Guards against a router that stood still while the operator replaced an order: on waking it took the
/// time for watched and recorded the end of the replaced order, upon which the operator stops the old
/// targets.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_stood_still_ends_no_replaced_order() {
    let mut env = start_move().await;
    let send = async |env: &EntryEnv, routers: &[usize], time: Duration| {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for router in routers {
                env.call_router(*router, "POST", "/order/7", "spine", &[])
                    .await;
            }
            sleep(REQUEST_INTERVAL).await;
        }
    };
    // The order was written 1.5 s ago; the share begins to rise after 72 % of its time.
    send(&env, &[0, 1], Duration::from_secs(4)).await;
    env.signal(0, "STOP");
    send(&env, &[1], Duration::from_millis(700)).await;
    let order = json!({ "service": "plain", "target": "v2", "duration_s": 60 });
    env.store
        .put("keyed.op", "rollout/plain", Some(&order))
        .await;
    send(&env, &[1], Duration::from_secs(3)).await;
    env.signal(0, "CONT");
    send(&env, &[0, 1], Duration::from_secs(2)).await;
    assert_eq!(
        recorded_states(&env).await,
        ["in_progress", "in_progress"],
        "one state of each order"
    );
}
