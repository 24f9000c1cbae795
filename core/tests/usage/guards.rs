//! Shows for each guard that the checks find its absence.

use super::{
    plan::{Plan, Variant},
    world::World,
};

/// Seeds in which the violation has to occur at least once.
const SEEDS: u64 = 40;

#[track_caller]
fn finds(variant: Variant, plan: Plan, rule: &str) {
    let mut seen = Vec::new();
    for seed in 0..SEEDS {
        let mut correct = World::new(6, seed, plan, Variant::Correct);
        correct.run();
        assert_eq!(correct.violations(), [""; 0], "seed {seed}");
        let mut world = World::new(6, seed, plan, variant);
        world.run();
        seen.extend(world.violations().into_iter().map(String::from));
    }
    assert!(
        seen.iter().any(|found| found.starts_with(rule)),
        "{variant:?}: {seen:?}"
    );
}

/// Guards against a call that was prepared before a freeze and is sent after it.
#[test]
fn lease_is_checked_directly_before_each_call() {
    finds(Variant::NoCheckBeforeCall, Plan::Freezes, "U3");
}

/// Guards against a clock that stops while the process is frozen.
#[test]
fn lease_is_measured_by_a_clock_that_does_not_stop() {
    finds(Variant::ClockStops, Plan::Freezes, "U3");
}

/// Guards against sending a decision whose append may have failed.
#[test]
fn decision_is_recorded_before_it_is_sent() {
    finds(Variant::SendUnrecorded, Plan::Faults, "U1");
}

/// Guards against a holder that acts for longer than candidates wait.
#[test]
fn holder_stops_before_candidates_claim() {
    finds(Variant::LongLeases, Plan::Cuts, "U3");
}

/// Guards against writes without the condition on the stream's end.
#[test]
fn appends_are_conditional() {
    finds(Variant::UnconditionalAppends, Plan::Faults, "U");
}

/// Guards against a former holder that claims a released lease at once.
#[test]
fn former_holder_waits_after_a_release() {
    finds(Variant::ForgetPrevious, Plan::Stops, "U4");
}

/// Guards against a release while a call to the platform is under way.
#[test]
fn release_waits_for_the_call() {
    finds(Variant::ReleaseWhileCalling, Plan::Stops, "U3");
}
