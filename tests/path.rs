//! The whole path: callers, routers, agents and back ends as real processes.

mod testenv;

use ebonyfall_bench::client::{Outcome, messages};
use testenv::{TestEnv, plan};

/// Guards against answers that are wrong, cut or from a cold engine when a chat returns through
/// another router.
#[tokio::test(flavor = "multi_thread")]
async fn a_returning_chat_finds_its_context_through_any_router() {
    let env = TestEnv::start(plan(3, 0)).await;
    for turn in 0..3 {
        for stream in [false, true] {
            let caller = env.caller(turn as usize % 2);
            let (outcome, _) = caller.chat(&messages(1, turn, 8), 8, stream).await;
            assert_eq!(outcome, Outcome::Whole { cached: turn > 0 }, "turn {turn}");
        }
    }
}

/// Guards against plain services that are not reached, or reached more than once.
#[tokio::test(flavor = "multi_thread")]
async fn orders_run_once() {
    let env = TestEnv::start(plan(0, 1)).await;
    let outcome = env.caller(0).order("spine label", None).await;
    assert_eq!(outcome, Outcome::Whole { cached: false });
    let orders = env.deployment.services[0].0.orders().await;
    assert_eq!(orders.into_values().collect::<Vec<_>>(), [1]);
}
