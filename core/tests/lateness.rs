//! Tests of the reports on orders that are late.

use std::time::Duration;

use ebonyfall_core::{
    lateness::{Lateness, LatenessReport},
    time::Time,
};

const BOUND: Duration = Duration::from_secs(3);

/// Reports of a watch that is asked every 100 ms, for orders that are confirmed at `confirmed` (ms).
fn reports(confirmed: &[u64], until_ms: u64) -> Vec<(u64, LatenessReport)> {
    let mut watch = Lateness::new(BOUND, Time::ZERO);
    let moments = (0..=until_ms).step_by(100);
    let report = |ms| {
        let last = confirmed.iter().copied().filter(|at| *at <= ms).max();
        let report = watch.check(last.map(Time::from_millis), Time::from_millis(ms))?;
        Some((ms, report))
    };
    moments.filter_map(report).collect()
}

/// Guards against a router that stays behind without a line that says so.
#[test]
fn late_orders_are_reported_each_second_until_they_are_recent() {
    let age = |ms| LatenessReport::Late(Some(Duration::from_millis(ms)));
    let expected = [
        (4_000, age(3_000)),
        (5_000, age(4_000)),
        (6_000, age(5_000)),
        (
            6_500,
            LatenessReport::Recovered(Duration::from_millis(2_500)),
        ),
    ];
    assert_eq!(reports(&[1_000, 6_500], 9_000), expected);
}

/// Guards against a router that never gets its first orders and does not say so.
#[test]
fn orders_that_never_arrive_are_reported() {
    let expected = [
        (3_000, LatenessReport::Late(None)),
        (4_000, LatenessReport::Late(None)),
    ];
    assert_eq!(reports(&[], 4_500), expected);
}

/// Guards against lines about orders that are on time.
#[test]
fn orders_on_time_are_not_reported() {
    let confirmed: Vec<_> = (0..20).map(|second| second * 1_000).collect();
    assert_eq!(reports(&confirmed, 20_000), []);
}
