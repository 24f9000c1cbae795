//! Tests of the retry budget of the fleet, with many routers on a fake clock.

use std::time::Duration;

use ebonyfall_core::{
    budget::{FleetRetryBudget, RetryBound, RetryCounts},
    fleet::FleetShare,
    time::Time,
};

const BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 58.0,
    window: Duration::from_secs(10),
};

/// Guards against retries that are forgotten before they are as old as the window.
#[test]
fn retries_count_for_a_whole_window() {
    let start = Time::from_millis(100_000);
    let share = FleetShare::settled(1);
    for first_burst in [0, 300, 900, 999] {
        let mut budget = FleetRetryBudget::new(BOUND);
        budget.record_first(start);
        let mut taken = 0;
        for millis in [first_burst, first_burst + 9_000, first_burst + 9_999] {
            let now = start + Duration::from_millis(millis);
            while budget.try_take(Some(&share), now) {
                taken += 1;
            }
        }
        assert!(
            f64::from(taken) <= BOUND.slack,
            "{taken} from {first_burst} ms on"
        );
    }
}

/// Guards against decisions that are missing from the log, and against a line for each of them under
/// load.
#[test]
fn decisions_are_logged_once_a_second_at_most() {
    let mut budget = FleetRetryBudget::new(BOUND);
    let share = FleetShare::settled(26);
    let start = Time::from_millis(100_000);
    let (mut lines, mut counts) = (0, RetryCounts::default());
    for millis in 0..5_000 {
        let now = start + Duration::from_millis(millis);
        if millis < 3_500 {
            budget.try_take(Some(&share), now);
        }
        if let Some(logged) = budget.take_unlogged(now) {
            lines += 1;
            counts.taken += logged.taken;
            counts.refused += logged.refused;
        }
    }
    assert_eq!(lines, 5);
    assert_eq!(counts, budget.total());
    assert_eq!(counts.taken + counts.refused, 3_500);
}
