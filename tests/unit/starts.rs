//! Tests of the internals of `src/usage/starts.rs`.

use std::collections::BTreeSet;

use ebonyfall_core::usage::window::WindowLength;
use slog::{Discard, Logger, o};
use tokio::sync::watch;

use super::*;
use crate::{
    clock::BootClock,
    metrics::Metrics,
    supervisor::{EndedTasks, Supervisor},
};

/// Short windows, so that a start that is wrong by a tenth of a second is in another one.
const WINDOW: Duration = Duration::from_millis(100);
/// Distance to another window from which that one is looked at, too.
const NEAR: Duration = Duration::from_millis(10);

fn start_of(counter: &UsageCounter, is_stream: bool) -> RequestStart {
    RequestStart {
        pending: Some(Pending {
            counter: counter.clone(),
            team: TeamName::new("desk").unwrap(),
            route: RouteName::new("status").unwrap(),
            is_stream,
            sent_at: None,
        }),
    }
}

/// Requests of the team in the window that contains `at`, or in the next one if that is near: the two
/// clocks are not read at the same moment.
async fn counted_at(counter: &UsageCounter, at: Time) -> u64 {
    let since = BootClock.now().since(at);
    let length = WindowLength::new(WINDOW).unwrap();
    let unix = counter.unix_time().saturating_sub(since);
    let windows = [unix.saturating_sub(NEAR), unix + NEAR].map(|unix| length.window_at(unix));
    let mut sum = 0;
    for window in BTreeSet::from(windows) {
        let counts = counter.window(window).await.counts;
        sum += counts.get("desk").copied().unwrap_or(0);
    }
    sum
}

fn counter() -> UsageCounter {
    let (_access, access) = watch::channel(None);
    let log = Logger::root(Discard, o!());
    let meters = Metrics::new().entry.counting;
    let window = WindowLength::new(WINDOW).unwrap();
    let supervisor = Supervisor::new(watch::channel(false).1, EndedTasks::default(), log.clone());
    let name = "e-0".parse().unwrap();
    UsageCounter::start(name, window, access, meters, &supervisor, log)
}

/// Guards against requests that count in the window in which the router heard of them, when they
/// began at their target in an earlier one, and against starts before the sending.
#[tokio::test]
async fn a_start_is_earlier_than_its_answer() {
    let counter = counter();
    let now = BootClock.now();
    let ago = |millis| now.before(Duration::from_millis(millis));
    let round_trip = Duration::from_millis(300);
    let mut stream = start_of(&counter, true);
    stream.record_sent(ago(900));
    stream.record_event(round_trip, now);
    stream.record_event(round_trip, now);
    assert_eq!(counted_at(&counter, ago(150)).await, 1, "half a round trip");
    let mut quick = start_of(&counter, true);
    quick.record_sent(ago(20));
    quick.record_event(round_trip * 9, now);
    assert_eq!(counted_at(&counter, ago(20)).await, 1, "the sending");
    let mut usual = start_of(&counter, false);
    usual.record_sent(ago(2_000));
    usual.record_answer(Duration::ZERO, ago(1_700));
    assert_eq!(counted_at(&counter, ago(2_000)).await, 1);
    let mut queued = start_of(&counter, false);
    queued.record_sent(ago(2_000));
    queued.record_answer(Duration::ZERO, ago(1_000));
    assert_eq!(counted_at(&counter, ago(1_302)).await, 1, "300 ms before");
}

/// Guards against requests that are not counted because their caller left, and against counts of
/// requests that have not run.
#[tokio::test]
async fn a_request_that_may_have_run_counts_at_its_sending() {
    let counter = counter();
    let sent_at = BootClock.now().before(Duration::from_millis(700));
    for is_stream in [true, false] {
        let mut refused = start_of(&counter, is_stream);
        refused.record_sent(sent_at);
        refused.record_failure(Failure::Declined);
        drop(refused);
        drop(start_of(&counter, is_stream));
    }
    let mut stream = start_of(&counter, true);
    stream.record_sent(sent_at);
    drop(stream);
    assert_eq!(counted_at(&counter, sent_at).await, 0);
    let mut left = start_of(&counter, false);
    left.record_sent(sent_at);
    drop(left);
    assert_eq!(counted_at(&counter, sent_at).await, 1);
    let mut broken = start_of(&counter, false);
    broken.record_sent(sent_at);
    broken.record_failure(Failure::TimedOut);
    broken.record_answer(Duration::ZERO, BootClock.now());
    drop(broken);
    assert_eq!(counted_at(&counter, sent_at).await, 2);
}
