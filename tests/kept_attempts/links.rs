//! Connections between router and agent that break while the agent runs the attempt.

use std::time::Duration;

use ebonyfall_bench::client::{Outcome, messages};
use ebonyfall_standin::{
    engine::EngineConfig,
    pausing::{Conduct, PauseAt, PausingTarget, Work, complete_body},
    proxy::ConnectionFault,
};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use crate::{
    env::{Env, MAX_WORK_AFTER_CALLER, SAFE, UNSAFE},
    testenv::plan,
};

/// Times for which no connection to the agent can be made; the agent keeps an attempt for 2 s.
const CUTS: [Duration; 3] = [
    Duration::from_millis(300),
    Duration::from_millis(900),
    Duration::from_millis(1_500),
];
/// Time from the start of the work until the cut.
const BEFORE_CUT: Duration = Duration::from_millis(200);
/// Pause of the target, which ends after each cut.
const PAUSE: Duration = Duration::from_millis(2_000);
/// Tokens of a chat's answer, which takes about 2 s.
const TOKENS: u32 = 200;
/// Longest time for which two targets may work on one request.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
async fn cut(env: &Env, time: Duration) {
    sleep(BEFORE_CUT).await;
    env.set_fault(ConnectionFault::Reset);
    sleep(time).await;
    env.set_fault(ConnectionFault::None);
}

/// Guards against streams and single answers that the router gives up while their agent cannot be
/// reached for a moment and keeps the attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_link_ends_no_chat() {
    let engine = EngineConfig {
        token_us: 10_000,
        ..EngineConfig::default()
    };
    let mut plan = plan(1, 0);
    plan.engine = engine;
    let env = Env::start(plan).await;
    for time in CUTS {
        for stream in [true, false] {
            let caller = env.processes.caller(0);
            let messages = messages(u64::from(stream), 0, 0);
            let chat = caller.chat(&messages, TOKENS, stream);
            let ((outcome, _), ()) = tokio::join!(chat, cut(&env, time));
            let is_whole = matches!(outcome, Outcome::Completed { .. });
            assert!(is_whole, "cut of {time:?}, stream {stream}: {outcome:?}");
        }
    }
}

/// Guards against requests that may run once only and are given up while their agent cannot be reached for
/// a moment.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_link_ends_no_request_that_may_run_once() {
    assert_whole_beside_cuts(false).await;
}

/// Guards against the same for requests with an idempotency key.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_link_ends_no_keyed_request() {
    assert_whole_beside_cuts(true).await;
}

async fn assert_whole_beside_cuts(keyed: bool) {
    let env = Env::services(1).await;
    for place in [PauseAt::Head, PauseAt::Within] {
        env.set_conduct(Conduct::Serve(place, PAUSE));
        for time in CUTS {
            let case = format!("cut of {time:?} at {place:?}");
            let begun = env.work().len();
            let key = keyed.then(|| Uuid::now_v7().to_string());
            let call = tokio::spawn(env.call(UNSAFE, key));
            env.wait_for_work(begun + 1).await;
            cut(&env, time).await;
            let reply = call.await.expect("no panic").expect("the router answers");
            let body = reply.body.as_deref();
            assert_eq!(
                body.ok(),
                Some(complete_body()),
                "{case}: {} {body:?}",
                reply.status
            );
            assert_eq!(env.work().len(), begun + 1, "{case}: ran twice");
        }
    }
}

/// Guards against a request that is sent to a second target while the first one, which the router cannot
/// reach for a moment, still runs it.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_link_sets_no_two_targets_to_work() {
    let env = Env::services(2).await;
    let longer = Duration::from_millis(2_600);
    for time in CUTS.into_iter().chain([longer]) {
        env.set_conduct(Conduct::Serve(PauseAt::Head, time.max(PAUSE)));
        for _ in 0..2 {
            let begun = env.work().len();
            let call = tokio::spawn(env.call(SAFE, None));
            env.wait_for_work(begun + 1).await;
            let is_idle = |target: &PausingTarget| target.work().iter().all(Work::has_ended);
            let first = usize::from(is_idle(&env.targets[0]));
            sleep(BEFORE_CUT).await;
            env.links[first].set_fault(ConnectionFault::Reset);
            sleep(time).await;
            env.links[first].set_fault(ConnectionFault::None);
            let reply = call.await.expect("no panic").expect("the router answers");
            let body = reply.body.as_deref().ok();
            assert_eq!(body, Some(complete_body()), "{time:?}: {}", reply.status);
            let mut work = env.work();
            work.sort_by_key(|work| work.begun);
            for pair in work[begun..].windows(2) {
                let ended = pair[0].ended.unwrap_or_else(Instant::now);
                let overlap = ended.saturating_duration_since(pair[1].begun);
                assert!(
                    overlap < MAX_OVERLAP,
                    "cut of {time:?}: both worked for {overlap:?}"
                );
            }
        }
    }
}

/// Guards against work that goes on for seconds because its caller has left while the router could not
/// reach the agent.
#[tokio::test(flavor = "multi_thread")]
async fn work_ends_when_its_caller_leaves_during_a_cut() {
    let env = Env::services(1).await;
    env.set_conduct(Conduct::Serve(PauseAt::Head, 2 * PAUSE));
    for path in [SAFE, UNSAFE] {
        let begun = env.work().len();
        let call = tokio::spawn(env.call(path, None));
        env.wait_for_work(begun + 1).await;
        env.set_fault(ConnectionFault::Reset);
        sleep(BEFORE_CUT).await;
        call.abort();
        sleep(BEFORE_CUT).await;
        env.set_fault(ConnectionFault::None);
        sleep(MAX_WORK_AFTER_CALLER).await;
        let work = env.work();
        assert!(work.iter().all(Work::has_ended), "{path}: {work:?}");
    }
}
