//! Two targets that both have a request.

use std::time::Duration;

use ebonyfall_standin::pausing::{Conduct, PauseAt, PausingTarget, Work};
use tokio::time::{Instant, sleep, timeout};

use crate::env::{Env, RESUMABLE, SAFE, is_whole};

/// Time for which two targets must not both work on a request.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// Time within which the work on a request ends after its caller has left.
const MAX_ORPHANED: Duration = Duration::from_millis(500);
/// Pause after which callers have left.
const ENDLESS: Duration = Duration::from_secs(10);
const SOUND: Conduct = Conduct::Serve(PauseAt::Head, Duration::ZERO);

/// Longest time for which two targets worked on a request.
fn overlap(work: &[Work]) -> Duration {
    let now = Instant::now();
    let end = |work: &Work| work.ended.unwrap_or(now);
    let mut longest = Duration::ZERO;
    for (number, one) in work.iter().enumerate() {
        for other in &work[number + 1..] {
            let begun = one.begun.max(other.begun);
            longest = longest.max(end(one).min(end(other)).saturating_duration_since(begun));
        }
    }
    longest
}

/// Guards against a silent target whose requests no other target takes over, and against two targets
/// that both work on a request for long.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_taken_over_and_ended_at_the_first_target() {
    let env = Env::start(&[SOUND], 1_000.0).await;
    for path in [RESUMABLE, SAFE] {
        for place in [PauseAt::Head, PauseAt::Body, PauseAt::Within] {
            env.first.set_conduct(Conduct::Serve(place, ENDLESS));
            for (id, reply) in env.call_at_once(path, 8).await {
                let case = format!("{path} {place:?} {id}");
                assert!(is_whole(path, reply.as_ref()), "{case}: {reply:?}");
                let work = env.work(&id);
                assert!(overlap(&work) < MAX_OVERLAP, "{case}: {work:?}");
            }
        }
    }
    assert!(
        !env.first.work().is_empty(),
        "the pausing target got requests"
    );
}

/// Guards against the same where the second target does not answer: the first one is kept, and the
/// second one does not go on.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_target_that_does_not_answer_is_ended_in_time() {
    let env = Env::start(&[Conduct::Silent], 1_000.0).await;
    for path in [RESUMABLE, SAFE] {
        let pause = Duration::from_millis(1_700);
        env.first.set_conduct(Conduct::Serve(PauseAt::Body, pause));
        for (id, _) in env.call_at_once(path, 8).await {
            let work = env.work(&id);
            assert!(overlap(&work) < MAX_OVERLAP, "{path} {id}: {work:?}");
        }
    }
    let work = env.others.iter().flat_map(PausingTarget::work);
    assert!(work.count() > 0, "the second target got requests");
}

/// Guards against a request that stays at a target which can no longer be reached because the second one
/// takes longer than both may have the request.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_target_is_left_for_a_slow_one() {
    let slow = Conduct::Serve(PauseAt::Head, Duration::from_millis(600));
    let env = Env::start(&[slow], 1_000.0).await;
    env.first
        .set_conduct(Conduct::Serve(PauseAt::Within, ENDLESS));
    let calls: Vec<_> = (0..8).map(|_| tokio::spawn(env.call(RESUMABLE))).collect();
    sleep(Duration::from_millis(300)).await;
    let _waiting = env.first.darken().await;
    for call in calls {
        let (id, reply) = call.await.expect("no panic");
        assert!(is_whole(RESUMABLE, reply.as_ref()), "{id}: {reply:?}");
    }
    assert!(
        !env.first.work().is_empty(),
        "the first target got requests"
    );
}

/// Guards against callers that wait until their deadline for a target which can no longer be reached,
/// although they could ask again.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_an_unreachable_target_ends_if_no_other_takes_it() {
    let env = Env::start(&[], 58.0).await;
    env.first
        .set_conduct(Conduct::Serve(PauseAt::Within, ENDLESS));
    let begun = Instant::now();
    let calls: Vec<_> = (0..4).map(|_| tokio::spawn(env.call(RESUMABLE))).collect();
    sleep(Duration::from_millis(300)).await;
    let _waiting = env.first.darken().await;
    for call in calls {
        let (id, reply) = call.await.expect("no panic");
        assert!(!is_whole(RESUMABLE, reply.as_ref()), "{id}: {reply:?}");
    }
    let took = begun.elapsed();
    assert!(took < Duration::from_secs(3), "{took:?}");
}

/// Guards against work that goes on at either target after the caller has left while both had its
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_the_work_at_both_targets() {
    let env = Env::start(&[Conduct::Silent], 1_000.0).await;
    env.first
        .set_conduct(Conduct::Serve(PauseAt::Within, ENDLESS));
    for stay in [1_250, 1_350, 1_450].map(Duration::from_millis) {
        let calls = (0..8).map(|_| timeout(stay, env.call(RESUMABLE)));
        let _left = futures_util::future::join_all(calls).await;
        sleep(MAX_ORPHANED).await;
        let targets = std::iter::once(&env.first).chain(&env.others);
        let open = targets.flat_map(PausingTarget::work);
        let open: Vec<_> = open.filter(|work| work.ended.is_none()).collect();
        assert!(open.is_empty(), "left after {stay:?}: {open:?}");
    }
}
