//! Tests of the retry budget of routers with agents.

use std::num::NonZeroU32;

use ebonyfall_core::retry::RetryBudget;

fn take_all(budget: &mut RetryBudget) -> usize {
    (0..10_000).take_while(|_| budget.try_take()).count()
}

/// Guards against a fleet that may send a full reserve of retries from each router after each start.
#[test]
fn routers_that_start_share_one_reserve() {
    for routers in [1, 3, 26, 103] {
        let started = (0..routers).map(|_| RetryBudget::new(0.1));
        let taken = started.map(|mut budget| {
            budget.add_reserve(NonZeroU32::new(routers).expect("there are routers"));
            budget.add_reserve(NonZeroU32::MIN);
            take_all(&mut budget)
        });
        let taken: usize = taken.sum();
        // Each router has three before it knows the others.
        let largest = 100.max(routers as usize * 3);
        assert!(taken <= largest, "{routers} routers sent {taken} retries");
        assert!(
            taken >= 78,
            "{routers} routers may send only {taken} retries"
        );
    }
}

/// Guards against more than a few retries beyond the ratio while it is not known how many routers
/// share the reserve, and against lost tokens of first attempts made until then.
#[test]
fn first_attempts_back_retries_before_the_routers_are_known() {
    let mut budget = RetryBudget::new(0.25);
    assert_eq!(take_all(&mut budget), 3);
    (0..40).for_each(|_| budget.record_first());
    assert_eq!(take_all(&mut budget), 10);
    (0..40).for_each(|_| budget.record_first());
    budget.add_reserve(NonZeroU32::MIN.saturating_add(9));
    assert_eq!(take_all(&mut budget), 17);
}
