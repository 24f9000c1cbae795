//! Tests of what targets state about themselves in their answers.

use std::time::Duration;

use ebonyfall_standin::registered::AnswerMode;
use http::StatusCode;
use tokio::time::{Instant, sleep};

use crate::{SAFE, env::EntryEnv};

const REQUESTS: usize = 24;
const PAUSE: Duration = Duration::from_secs(2);
/// Part of the pause for which requests are sent.
const PRESSED: Duration = Duration::from_millis(1_750);
/// Time after a refusal from which the target's wish has to be obeyed, and requests that may reach
/// the target all the same until its end.
const HEARD: Duration = Duration::from_millis(500);
const MAX_LATE: usize = 2;

/// Sends requests until the first target has got one.
async fn reach_first_target(env: &EntryEnv) {
    while env.targets[0].arrived_requests() == 0 {
        env.call("GET", SAFE, "", &[]).await;
    }
}

/// Guards against requests for a target that is leaving, whose entry in the store does not say so
/// yet, and against running ones that are cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_says_it_leaves_gets_no_new_request() {
    let env = EntryEnv::start(2).await;
    env.targets[0].set_mode(AnswerMode::Leave);
    reach_first_target(&env).await;
    let before = env.targets[0].arrived_requests();
    for _ in 0..REQUESTS {
        let reply = env.call("GET", SAFE, "", &[]).await;
        assert_eq!(reply.status, StatusCode::OK);
    }
    assert_eq!(env.targets[0].arrived_requests(), before);
}

/// Guards against a target that is pressed although it has asked this router for a pause, and against
/// a pause that does not end.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_asks_for_a_pause_gets_it() {
    let env = EntryEnv::start(2).await;
    env.targets[0].set_mode(AnswerMode::Pause(PAUSE));
    reach_first_target(&env).await;
    let refused = Instant::now();
    sleep(HEARD).await;
    let before = env.targets[0].arrived_requests();
    while refused.elapsed() < PRESSED {
        let reply = env.call("GET", SAFE, "", &[]).await;
        assert_eq!(reply.status, StatusCode::OK);
        sleep(Duration::from_millis(20)).await;
    }
    let late = env.targets[0].arrived_requests() - before;
    assert!(late <= MAX_LATE, "{late} requests within the pause");
    env.targets[0].set_mode(AnswerMode::Answer);
    sleep(HEARD).await;
    for _ in 0..REQUESTS {
        env.call("GET", SAFE, "", &[]).await;
    }
    assert!(env.targets[0].arrived_requests() > before, "the pause ends");
}

/// Guards against callers that wait for their deadline, or come back too early, while all targets
/// have asked for a pause.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_told_when_the_pause_of_all_targets_ends() {
    let env = EntryEnv::start(2).await;
    for target in &env.targets {
        target.set_mode(AnswerMode::Pause(PAUSE));
    }
    while env
        .targets
        .iter()
        .any(|target| target.arrived_requests() == 0)
    {
        env.call("GET", SAFE, "", &[]).await;
    }
    let start = Instant::now();
    let reply = env.call("GET", SAFE, "", &[]).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(start.elapsed() < HEARD, "refused at once");
    let after: f64 = reply.headers["retry-after"]
        .to_str()
        .expect("it is text")
        .parse()
        .expect("it is a number");
    assert!((1.0..=PAUSE.as_secs_f64()).contains(&after), "{after}");
}
