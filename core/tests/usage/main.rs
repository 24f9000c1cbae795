//! Seeded schedules of many routers that share the duty to report usage, with a store and a platform
//! that lose, delay and refuse calls, and with routers that are killed, frozen and stopped.

mod guards;
mod plan;
mod steps;
mod world;

use std::{env, ops::Range};

use plan::{Plan, Variant};
use world::World;

/// Fleets of the sizes that deployments have.
const FLEETS: [usize; 3] = [6, 28, 103];
/// Number of seeds of each fleet, unless `USAGE_SEEDS` gives another one.
const SEEDS: u64 = 12;

/// The seeds: `USAGE_SEEDS` of them, from `USAGE_SEED` on.
fn seeds() -> Range<u64> {
    let number = |name| env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("USAGE_SEED").unwrap_or(0);
    first..first + number("USAGE_SEEDS").unwrap_or(SEEDS)
}

/// Guards against any schedule in which two holders act at once, a report changes, or windows are
/// not caught up after the faults have ended.
#[test]
fn reports_are_safe_and_complete_in_any_schedule() {
    for routers in FLEETS {
        for seed in seeds() {
            let mut world = World::new(routers, seed, Plan::Faults, Variant::Correct);
            world.run();
            assert_eq!(
                world.violations(),
                [""; 0],
                "{routers} routers, seed {seed}"
            );
            assert_eq!(world.unreported(), [0; 0], "{routers} routers, seed {seed}");
        }
    }
}

/// Guards against reports that are late although nothing fails, and against more calls of the store
/// than the holder and the candidate need.
#[test]
fn calm_fleet_reports_in_time_with_few_calls() {
    for routers in FLEETS {
        let mut world = World::new(routers, 1, Plan::Calm, Variant::Correct);
        world.run();
        assert_eq!(world.violations(), [""; 0], "{routers} routers");
        assert_eq!(world.unreported(), [0; 0], "{routers} routers");
        assert_eq!(world.late(), [0; 0], "{routers} routers");
        let per_second = world.store_calls_per_second();
        assert!(
            per_second < 8.0,
            "{routers} routers: {per_second} calls a second"
        );
    }
}
