//! Version moves by real entry routers: the operator's order and the state that is read back.

use std::time::Duration;

use ebonyfall_standin::registered::AnswerMode;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::env::EntryEnv;

/// Time in which moves are to be complete.
const WITHIN: Duration = Duration::from_secs(8);
/// Time between two requests of the load.
const PAUSE: Duration = Duration::from_millis(25);

/// Two routers before two targets of the old version and two of the new one.
async fn start() -> EntryEnv {
    let env = EntryEnv::start_fleet(2, 4).await;
    for target in 2..4 {
        env.register_version(target, "ready", "v2").await;
    }
    let order = json!({ "service": "plain", "target": "v2", "duration_s": WITHIN.as_secs() });
    env.store
        .put("keyed.op", "rollout/plain", Some(&order))
        .await;
    // The targets' entries are read about once a second.
    sleep(Duration::from_millis(1_500)).await;
    env
}

async fn states(env: &EntryEnv) -> Vec<String> {
    let values = env.store.values("keyed.status", "rollout/plain").await;
    let state = |value: Vec<u8>| {
        let status: Value = serde_json::from_slice(&value).expect("it is JSON");
        assert_eq!(status["target"], "v2");
        status["state"].as_str().expect("it is a text").to_owned()
    };
    values.into_iter().map(state).collect()
}

/// Sends requests until the move has ended or `limit` has passed.
async fn load(env: &EntryEnv, limit: Duration) {
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < limit && states(env).await.len() < 2 {
        env.call_router(number % 2, "POST", "/order/7", "spine", &[])
            .await;
        number += 1;
        sleep(PAUSE).await;
    }
}

fn served(env: &EntryEnv, targets: std::ops::Range<usize>) -> usize {
    targets
        .map(|target| env.targets[target].executed_requests().len())
        .sum()
}

/// Guards against a move that is not reported, that several routers report, or that leaves traffic
/// at the old version.
#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_gets_all_traffic() {
    let env = start().await;
    load(&env, WITHIN).await;
    assert_eq!(states(&env).await, ["in_progress", "complete"]);
    let before = served(&env, 0..2);
    for number in 0..20 {
        env.call_router(number % 2, "POST", "/order/7", "spine", &[])
            .await;
    }
    assert_eq!(served(&env, 0..2), before);
}

/// Guards against a faulty version that keeps traffic, and against routers that forget the verdict
/// when they start again.
#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_version_gets_nothing_more() {
    let mut env = start().await;
    for target in 2..4 {
        env.targets[target].set_mode(AnswerMode::Fail);
    }
    load(&env, WITHIN).await;
    assert_eq!(states(&env).await, ["in_progress", "reverted"]);
    sleep(Duration::from_secs(1)).await;
    let before = served(&env, 2..4);
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
    assert_eq!(served(&env, 2..4), before);
}
