//! Exhaustive state exploration of at-most-once requests: two copies, two routers, two agents.

mod world;

use std::collections::HashSet;

use world::{FaultBudget, START_MS, Variant, World};

/// Faults that may occur: one lost append reply, one lost link, one pause, one agent restart and
/// one refusal, which causes a second attempt.
const FAULTS: FaultBudget = FaultBudget {
    append: 1,
    link: 1,
    refuse: 1,
    restart: 1,
    pause: 1,
};
const NO_FAULTS: FaultBudget = FaultBudget {
    append: 0,
    link: 0,
    refuse: 0,
    restart: 0,
    pause: 0,
};

/// Creates a world in which two routers have received the same key.
fn two_copies(variant: Variant, budget: FaultBudget) -> World {
    let mut world = World::new(variant, 2, 2, budget);
    world.submit(0, 7, START_MS, 1);
    world.submit(1, 7, START_MS, 1);
    world
}

/// Visits every reachable state; returns the number of states, or the first violation.
fn explore(start: World) -> Result<usize, String> {
    let mut seen = HashSet::from([start.state_hash()]);
    let mut stack = vec![start];
    while let Some(world) = stack.pop() {
        world.check_invariants()?;
        if world.is_quiescent() && world.budget == NO_FAULTS && !had_fault(&world) {
            let runs: u32 = world.runs.values().sum();
            if runs != 1 {
                return Err(format!("{runs} runs without a fault"));
            }
        }
        for step in world.possible_steps() {
            let mut next = world.clone();
            next.apply(step);
            if seen.insert(next.state_hash()) {
                stack.push(next);
            }
        }
    }
    Ok(seen.len())
}

/// Whether time was passed or an agent was restarted, after which it is valid that no copy runs.
fn had_fault(world: &World) -> bool {
    world.now != START_MS || world.agents.iter().any(|a| a.incarnation != 1.into())
}

/// Guards against any interleaving without faults in which the request runs twice or not at all.
#[test]
fn one_run_without_faults() {
    let states = explore(two_copies(Variant::Correct, NO_FAULTS)).unwrap();
    println!("states without faults: {states}");
}

/// Guards against any interleaving of faults in which a request runs twice, or a `not run` result
/// is false. Each pair of faults is explored together with a pause; `EBONYFALL_EXPLORE=full`
/// explores all faults together.
#[test]
fn at_most_one_run_with_every_interleaving_of_faults() {
    let full = std::env::var("EBONYFALL_EXPLORE").is_ok_and(|value| value == "full");
    let cases: &[[u8; 4]] = if full {
        &[[1, 1, 1, 1]]
    } else {
        &[
            [1, 1, 0, 0],
            [1, 0, 1, 0],
            [1, 0, 0, 1],
            [0, 1, 1, 0],
            [0, 1, 0, 1],
            [0, 0, 1, 1],
        ]
    };
    for &[append, link, refuse, restart] in cases {
        let budget = FaultBudget {
            append,
            link,
            refuse,
            restart,
            ..FAULTS
        };
        let states = explore(two_copies(Variant::Correct, budget)).unwrap();
        println!("states with {budget:?}: {states}");
    }
}

/// Guards against an exploration that cannot detect a fault: each variant with a deliberate fault
/// must fail.
#[test]
fn broken_variants_are_found() {
    for variant in [
        Variant::SkipReadBack,
        Variant::IgnoreIncarnation,
        Variant::ForgetVoid,
    ] {
        let budget = FaultBudget {
            refuse: 0,
            ..FAULTS
        };
        let broken = explore(two_copies(variant, budget)).unwrap_err();
        println!("{variant:?}: {broken}");
        assert!(broken.contains("ran 2 times"), "{variant:?}: {broken}");
    }
}
