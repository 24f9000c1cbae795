//! Process test of an availability zone that is taken out of service and returns.

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

/// Time after which a zone that is out of service gets no new requests.
const EVACUATION_TIME: Duration = Duration::from_secs(3);
/// Length of each answer; one of this length takes about 100 ms.
const TOKENS_PER_ANSWER: u32 = 200;

/// Returns the number of requests that the engines of zone `a` have received. Engines are assigned
/// to the three zones in turn.
async fn requests_in_zone_a(env: &TestEnv) -> u64 {
    let mut sum = 0;
    for (address, _) in env.deployment.engines.iter().step_by(3) {
        let requests = Caller::new(*address).request_count().await;
        sum += requests.expect("the engine answers");
    }
    sum
}

/// Guards against new requests for a zone that is out of service, against requests that fail when
/// the zone goes out or returns, and against a zone that stays idle after its return.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_goes_out_and_returns_without_a_failed_request() {
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
                    let messages = messages(chat, turn, TOKENS_PER_ANSWER);
                    outcomes.push(
                        caller
                            .chat(&messages, TOKENS_PER_ANSWER, chat.is_multiple_of(2))
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
    let before = requests_in_zone_a(&env).await;
    assert!(before > 0, "the zone got requests before it went out");

    let document = env.deployment.document.clone();
    let out = document.replace("[zone a]\n", "[zone a]\nstate = out\n");
    assert_ne!(out, document);
    env.deployment.publish(&out).await.unwrap();
    sleep(EVACUATION_TIME).await;
    let after_evacuation = requests_in_zone_a(&env).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(
        requests_in_zone_a(&env).await,
        after_evacuation,
        "zone got new requests more than 3 s after it went out"
    );

    env.deployment.publish(&document).await.unwrap();
    sleep(Duration::from_secs(5)).await;
    let returned = requests_in_zone_a(&env).await;
    assert!(returned > after_evacuation, "the zone gets requests again");
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
