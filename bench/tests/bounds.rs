//! Hand-made traces for the checks of the limits that all routers share.

use std::time::Duration;

use ebonyfall_bench::bounds::{RetryLimit, Sent, worst_cold_second, worst_retry_window};
use ebonyfall_standin::{entrance::ColdPeriod, registered::Arrival};
use tokio::time::Instant;

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 4.0,
    window: Duration::from_secs(10),
};
/// Requests that a cold target tolerates in a second: it may get 20.
const COLD_RATE: f64 = 10.0;

/// Times of a trace, in milliseconds after its start. The start is late enough for windows that
/// reach back before it.
struct Trace {
    start: Instant,
    sent: Vec<Sent>,
    arrivals: Vec<Arrival>,
}

impl Trace {
    fn new() -> Self {
        Self {
            start: Instant::now() + Duration::from_secs(60),
            sent: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn send(&mut self, ms: u64, id: &str) {
        self.sent.push(Sent {
            at: self.at(ms),
            attempt_id: id.to_owned(),
        });
    }

    fn arrive(&mut self, ms: u64, id: &str) {
        self.arrivals.push(Arrival {
            at: self.at(ms),
            attempt_id: id.to_owned(),
            path: "/status/7".to_owned(),
            is_misdirected: false,
        });
    }

    /// Sends `count` requests from `ms` on, one each millisecond, which arrive once each.
    fn requests(&mut self, ms: u64, count: u64) {
        for number in ms..ms + count {
            let id = format!("request-{number}");
            self.send(number, &id);
            self.arrive(number, &id);
        }
    }

    /// Lets the request that was sent at `ms` arrive `count` times more, from `later` on.
    fn retries(&mut self, ms: u64, later: u64, count: u64) {
        for number in 0..count {
            self.arrive(later + number, &format!("request-{ms}"));
        }
    }

    fn keeps_retry_limit(&self) -> bool {
        let peak = worst_retry_window(LIMIT, &self.sent, &self.arrivals);
        peak.is_none_or(|peak| !peak.is_exceeded())
    }

    fn keeps_cold_limit(&self, cold_ms: [u64; 2]) -> bool {
        let [start, end] = cold_ms.map(|ms| self.at(ms));
        let cold = ColdPeriod {
            target: 0,
            start,
            end,
        };
        let peak = worst_cold_second(COLD_RATE, &cold, &self.arrivals);
        peak.is_none_or(|peak| !peak.is_exceeded())
    }
}

/// Guards against a check that allows one retry too many, or forbids the last one that is allowed.
#[test]
fn retries_beyond_ratio_and_slack_are_rejected() {
    let mut trace = Trace::new();
    trace.requests(0, 50);
    trace.retries(3, 1_000, 14);
    assert!(trace.keeps_retry_limit(), "0.2 x 50 + 4 are allowed");
    trace.retries(4, 2_000, 1);
    assert!(!trace.keeps_retry_limit(), "one more is not");
}

/// Guards against a check that takes the first arrivals of requests for retries, or only looks at
/// the retries of one request.
#[test]
fn first_arrivals_are_no_retries() {
    let mut trace = Trace::new();
    trace.requests(0, 1_000);
    assert!(trace.keeps_retry_limit());
    let mut trace = Trace::new();
    trace.requests(0, 5);
    (0..5).for_each(|number| trace.retries(number, 100 + number, 1));
    assert!(trace.keeps_retry_limit(), "0.2 x 5 + 4 are allowed");
    trace.retries(0, 200, 1);
    assert!(!trace.keeps_retry_limit());
}

/// Guards against a check with windows that stand side by side, which misses retries on both sides
/// of a boundary, and one whose windows are too long.
#[test]
fn the_window_slides() {
    let mut trace = Trace::new();
    trace.requests(0, 5);
    trace.retries(0, 9_000, 5);
    trace.retries(0, 11_000, 1);
    assert!(!trace.keeps_retry_limit());
    let mut trace = Trace::new();
    trace.requests(0, 5);
    trace.requests(12_000, 5);
    trace.retries(0, 1_000, 5);
    trace.retries(0, 13_000, 5);
    assert!(trace.keeps_retry_limit());
}

/// Guards against a check that does not count requests of the window before, which the rules
/// include, or that lets requests count for retries more than a window later: some window then has
/// the retries, and neither it nor those before it have the requests.
#[test]
fn requests_count_for_retries_of_the_next_window() {
    let mut trace = Trace::new();
    trace.requests(0, 50);
    trace.retries(0, 9_900, 14);
    assert!(trace.keeps_retry_limit());
    let mut trace = Trace::new();
    trace.requests(0, 50);
    trace.retries(0, 11_000, 14);
    assert!(!trace.keeps_retry_limit());
}

/// Guards against a check that adds the requests of several windows up.
#[test]
fn only_the_window_with_most_requests_counts() {
    let mut trace = Trace::new();
    trace.requests(0, 25);
    trace.requests(12_000, 25);
    trace.retries(0, 12_100, 9);
    assert!(trace.keeps_retry_limit(), "0.2 x 25 + 4 are allowed");
    trace.retries(0, 12_200, 1);
    assert!(!trace.keeps_retry_limit());
}

/// Guards against a check that counts what callers did not send as requests, or health checks as
/// retries.
#[test]
fn requests_are_those_of_callers_and_health_checks_are_no_retries() {
    let mut trace = Trace::new();
    trace.arrive(0, "unasked");
    (1..7).for_each(|ms| trace.arrive(ms, "unasked"));
    assert!(!trace.keeps_retry_limit(), "4 are allowed without requests");
    let mut trace = Trace::new();
    (0..50).for_each(|ms| trace.arrive(ms, ""));
    assert!(trace.keeps_retry_limit());
}

/// Guards against a check that misses a flood which crosses a full second, or rejects what the rules
/// allow.
#[test]
fn a_cold_target_gets_twenty_requests_in_any_second() {
    let mut trace = Trace::new();
    trace.requests(1_500, 10);
    trace.requests(2_400, 10);
    trace.requests(3_450, 20);
    assert!(trace.keeps_cold_limit([0, 5_000]));
    trace.requests(2_450, 1);
    assert!(!trace.keeps_cold_limit([0, 5_000]));
}

/// Guards against a check that counts requests to a warm target, those that the target answers as
/// another one, or health checks.
#[test]
fn only_requests_to_the_cold_target_count() {
    let mut trace = Trace::new();
    trace.requests(0, 100);
    trace.requests(5_000, 100);
    assert!(trace.keeps_cold_limit([1_000, 5_000]));
    assert!(!trace.keeps_cold_limit([0, 5_000]));
    trace.arrivals.clear();
    (2_000..2_100).for_each(|ms| trace.arrive(ms, ""));
    trace.requests(2_000, 40);
    let misdirected = trace.arrivals.iter_mut().skip(110);
    misdirected.for_each(|arrival| arrival.is_misdirected = true);
    assert!(trace.keeps_cold_limit([1_000, 5_000]));
}
