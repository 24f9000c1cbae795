//! End-to-end tests with callers, routers, agents and back ends as real processes.

mod testenv;

use std::time::Duration;

use ebonyfall_bench::client::{Caller, Outcome, messages};
use testenv::{TestEnv, plan};
use tokio::time::sleep;

/// Returns the number of requests that each engine has received.
async fn received_requests(env: &TestEnv) -> Vec<u64> {
    let mut received = Vec::new();
    for (address, _) in &env.deployment.engines {
        let requests = Caller::new(*address).request_count().await;
        received.push(requests.expect("the engine answers"));
    }
    received
}

/// Guards against answers that are wrong, truncated or computed without the chat's cached context
/// when a chat continues through another router.
#[tokio::test(flavor = "multi_thread")]
async fn a_returning_chat_finds_its_context_through_any_router() {
    let env = TestEnv::start(plan(3, 0)).await;
    for turn in 0..3 {
        for stream in [false, true] {
            let caller = env.caller(turn as usize % 2);
            let (outcome, _) = caller.chat(&messages(1, turn, 8), 8, stream).await;
            assert_eq!(
                outcome,
                Outcome::Completed { cached: turn > 0 },
                "turn {turn}"
            );
        }
    }
}

/// Guards against orders to plain services that do not run, or run more than once.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_runs_once() {
    let env = TestEnv::start(plan(0, 1)).await;
    let outcome = env.caller(0).order("spine label", None).await;
    assert_eq!(outcome, Outcome::Completed { cached: false });
    let orders = env.deployment.services[0].0.orders().await;
    assert_eq!(orders.into_values().collect::<Vec<_>>(), [1]);
}

/// Guards against a router that sends a chat to its home target although another router has moved
/// the chat, and so its context, to another target.
#[tokio::test(flavor = "multi_thread")]
async fn another_router_finds_a_moved_chat() {
    const TOKENS: u32 = 1_000;
    let mut plan = plan(3, 0);
    plan.engine.slots = 1;
    plan.engine.cold_slots = 1;
    let env = TestEnv::start(plan).await;
    let first = messages(1, 0, TOKENS);
    // The first request occupies the only slot of the home target, so the second goes elsewhere.
    let (caller, body) = (env.caller(0), first.clone());
    let busy = tokio::spawn(async move { caller.chat(&body, TOKENS, true).await.0 });
    sleep(Duration::from_millis(200)).await;
    let at_home = received_requests(&env).await;
    let (outcome, _) = env.caller(0).chat(&first, TOKENS, true).await;
    assert_eq!(outcome, Outcome::Completed { cached: false });
    assert_eq!(busy.await.unwrap(), Outcome::Completed { cached: false });
    let moved = received_requests(&env).await;
    let moved_to = (0..3).find(|i| moved[*i] > at_home[*i]);
    let moved_to = moved_to.expect("another engine received the second request");

    let (outcome, _) = env
        .caller(1)
        .chat(&messages(1, 1, TOKENS), TOKENS, false)
        .await;
    assert_eq!(outcome, Outcome::Completed { cached: true });
    let mut expected = moved.clone();
    expected[moved_to] += 1;
    assert_eq!(received_requests(&env).await, expected);
    assert_eq!(at_home[moved_to], 0);
}
