//! Zones out of service and back, with real processes.

mod testenv;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use ebonyfall_bench::client::{Caller, Outcome, messages};
use testenv::{TestEnv, plan};
use tokio::{task::JoinSet, time::sleep};

/// Time after which a zone that is out gets no new work.
const GOAL: Duration = Duration::from_secs(3);
/// Tokens of each answer; an answer takes about 100 ms.
const TOKENS: u32 = 200;

/// Requests that the engines of zone `a` have taken; engines are spread over three zones in turn.
async fn taken_in_a(env: &TestEnv) -> u64 {
    let mut taken = 0;
    for (address, _) in env.deployment.engines.iter().step_by(3) {
        let requests = Caller::new(*address).request_count().await;
        taken += requests.expect("the engine answers");
    }
    taken
}

/// Guards against new work for a zone that was taken out, against requests that are cut when it
/// goes or returns, and against a zone that stays idle after its return.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_goes_out_and_returns_without_a_cut_request() {
    let mut plan = plan(6, 0);
    "[limits]\nzone-ramp = 2s\n".clone_into(&mut plan.document);
    let env = TestEnv::start(plan).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for number in 0..6 {
        let (caller, stop) = (env.caller(number % 2), Arc::clone(&stop));
        callers.spawn(async move {
            let mut outcomes = Vec::new();
            let mut chat = number as u64 * 1_000_000;
            while !stop.load(Ordering::Relaxed) {
                for turn in 0..2 {
                    let messages = messages(chat, turn, TOKENS);
                    outcomes.push(
                        caller
                            .chat(&messages, TOKENS, chat.is_multiple_of(2))
                            .await
                            .0,
                    );
                }
                chat += 1;
            }
            outcomes
        });
    }
    sleep(Duration::from_secs(2)).await;
    let before = taken_in_a(&env).await;
    assert!(before > 0, "the zone had work before it went out");

    let document = env.deployment.document.clone();
    let out = document.replace("[zone a]\n", "[zone a]\nstate = out\n");
    assert_ne!(out, document);
    env.deployment.publish(&out).await.unwrap();
    sleep(GOAL).await;
    let when_out = taken_in_a(&env).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(taken_in_a(&env).await, when_out, "new work after 3 s");

    env.deployment.publish(&document).await.unwrap();
    sleep(Duration::from_secs(5)).await;
    let returned = taken_in_a(&env).await;
    assert!(returned > when_out, "the zone has work again");
    stop.store(true, Ordering::Relaxed);
    let outcomes = callers.join_all().await.concat();
    let whole = |outcome: &&Outcome| matches!(outcome, Outcome::Completed { .. });
    let other: Vec<_> = outcomes.iter().filter(|o| !whole(o)).collect();
    assert!(
        other.is_empty(),
        "{} of {}: {other:?}",
        other.len(),
        outcomes.len()
    );
}
