//! Scenarios and random schedules for at-most-once requests, run with the real state machines.
//!
//! `cargo test -p ebonyfall-core --test claims scenarios` runs every file in
//! `tests/scenarios/claims`. With `SCENARIO=lost-reply.txt` in the environment it runs one file,
//! and with `REWRITE=1` it rewrites the expected outputs. `EBONYFALL_STEPS=1000000` and
//! `EBONYFALL_SEED` set the total number of steps and the seed of the random schedules.

mod common;
mod world;

use std::{env, fmt::Write as _};

use common::variable;
use datadriven::TestCase;
use ebonyfall_core::{code::Code, owner::Reply};
use rand::{Rng, SeedableRng, rngs::StdRng};
use world::{
    AppendOutcome, FaultBudget, LOG_RETENTION_MS, Phase, START_MS, SendOutcome, Step, Variant,
    World,
};

const NO_FAULTS: FaultBudget = FaultBudget {
    append: 0,
    link: 0,
    refuse: 0,
    restart: 0,
    pause: 0,
};
const MANY_FAULTS: FaultBudget = FaultBudget {
    append: 99,
    link: 99,
    refuse: 99,
    restart: 0,
    pause: 0,
};
/// Number of steps in one random schedule.
const SCHEDULE_STEPS: u64 = 500;

/// Guards against changes of the results that callers get in the situations of the scenario files.
#[test]
fn scenarios() {
    let only = env::var("SCENARIO").ok();
    let mut files = 0;
    datadriven::walk("tests/scenarios/claims", |file| {
        if only
            .as_ref()
            .is_some_and(|name| !file.filename.ends_with(name))
        {
            return;
        }
        files += 1;
        let mut world = World::new(Variant::Correct, 2, 2, MANY_FAULTS);
        file.run(|case| {
            let out = command(&mut world, case);
            world
                .check_invariants()
                .expect("each request runs at most once and its result is true");
            out
        });
    });
    assert!(files > 0, "no scenario file matches SCENARIO");
}

fn number(case: &TestCase, name: &str, default: u64) -> u64 {
    let value = case.args.get(name).and_then(|values| values.first());
    value.map_or(default, |text| text.parse().expect("a number"))
}

fn command(world: &mut World, case: &TestCase) -> String {
    let index = |name| usize::try_from(number(case, name, 0)).expect("a small number");
    let copy = index("copy");
    world.budget = MANY_FAULTS;
    match case.directive.as_str() {
        "arrive" => {
            let key_time = world.now - number(case, "age", 0);
            let key = u128::from(number(case, "key", 7));
            let copy = world.submit(index("router"), key, key_time, number(case, "content", 1));
            return format!("copy {copy}\n");
        }
        "run" => {
            let until = case.args.get("until").and_then(|values| values.first());
            run(world, copy, until.map(String::as_str));
            return describe(world, copy);
        }
        "fail" => {
            let how = case.args.get("how").and_then(|values| values.first());
            world.apply(match how.map(String::as_str) {
                Some("reply-lost") => Step::Append(copy, AppendOutcome::ReplyLost),
                Some("late-append") => Step::Append(copy, AppendOutcome::Late),
                Some("append-refused") => Step::Append(copy, AppendOutcome::Refused),
                Some("send-lost") => Step::Send(copy, SendOutcome::Lost),
                Some("late-send") => Step::Send(copy, SendOutcome::Late),
                Some("not-admitted") => Step::Send(copy, SendOutcome::NotAdmitted),
                Some("answer-lost") => Step::Finish(copy, false),
                Some("record-lost") => Step::Record(copy, false),
                other => panic!("no failure {other:?}"),
            });
            return describe(world, copy);
        }
        "land" => {
            while !world.late_appends.is_empty() {
                world.apply(Step::LateAppend(0));
            }
            while !world.late_sends.is_empty() {
                world.apply(Step::LateSend(0));
            }
        }
        "sync" => world.apply(Step::Sync(index("router"))),
        "restart" => {
            world.budget.restart = 1;
            world.apply(Step::Restart(index("agent")));
        }
        "pass" => world.apply(Step::AdvanceClock(number(case, "ms", 3_000))),
        "log" => world.log_down = case.args.contains_key("down"),
        "runs" => {
            let mut out = String::new();
            for (key, runs) in &world.runs {
                let _infallible = writeln!(out, "key {}: {runs}", u128::from(*key));
            }
            return out;
        }
        other => panic!("no command {other}"),
    }
    String::new()
}

/// Runs a copy without further faults, up to the phase `until` or to its end.
fn run(world: &mut World, copy: usize, until: Option<&str>) {
    loop {
        let step = match &world.copies[copy].phase {
            Phase::Event(_) => Step::Deliver(copy),
            Phase::Connect => Step::Connect(copy),
            Phase::Append(_) if until == Some("append") => return,
            Phase::Append(_) => Step::Append(copy, AppendOutcome::Ok),
            Phase::Read(_) => Step::Read(copy),
            Phase::Send(_) if until == Some("send") => return,
            Phase::Send(_) => Step::Send(copy, SendOutcome::Arrives),
            Phase::Running(_) if until == Some("running") => return,
            Phase::Running(_) => Step::Finish(copy, true),
            Phase::Void(..) => Step::Void(copy, true),
            Phase::Record(..) if until == Some("record") => return,
            Phase::Record(..) => Step::Record(copy, true),
            Phase::Done(_) => return,
        };
        world.apply(step);
    }
}

fn describe(world: &World, copy: usize) -> String {
    let text = match &world.copies[copy].phase {
        Phase::Event(event) => format!("{event:?}"),
        Phase::Connect => "connecting".to_owned(),
        Phase::Append(entries) => format!("appending {} entries", entries.len()),
        Phase::Read(_) => "reading the log".to_owned(),
        Phase::Void(..) => "voiding".to_owned(),
        Phase::Send(claim) => format!("sending claim {}", claim.id),
        Phase::Running(claim) => format!("running claim {}", claim.id),
        Phase::Record(..) => "recording".to_owned(),
        Phase::Done(Reply::Answer) => "answer".to_owned(),
        Phase::Done(Reply::Code(code) | Reply::Recorded(_, code)) => {
            format!("{} ({})", code.name(), code.execution())
        }
    };
    text + "\n"
}

/// Guards against a second run, or a false `not run` result, under random combinations of faults,
/// keys and routers.
#[test]
fn random_schedules_run_at_most_once() {
    let steps = variable("EBONYFALL_STEPS", 20_000);
    let seed = variable("EBONYFALL_SEED", 1);
    let mut totals = [0_u64; 3];
    for schedule_index in 0..steps.div_ceil(SCHEDULE_STEPS) {
        let seed = seed.wrapping_mul(1_000_003).wrapping_add(schedule_index);
        let counts = schedule(Variant::Correct, seed);
        let counts = counts.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        for (total, count) in totals.iter_mut().zip(counts) {
            *total += count;
        }
    }
    let [arrived, ran, answered] = totals;
    println!("steps {steps} seed {seed}: {arrived} requests, {ran} runs, {answered} answers");
    assert!(
        ran > 0 && answered > 0,
        "no request ran, or none was answered, in the random schedules"
    );
}

/// Guards against random schedules that cannot detect a fault: each variant with a deliberate fault
/// must fail.
#[test]
fn random_schedules_find_broken_variants() {
    for variant in [
        Variant::SkipReadBack,
        Variant::IgnoreIncarnation,
        Variant::ForgetVoid,
    ] {
        let found = (0..2_000).find(|seed| schedule(variant, *seed).is_err());
        println!("{variant:?} fails with seed {found:?}");
        assert!(
            found.is_some(),
            "no schedule detected the fault of {variant:?}"
        );
    }
}

/// Runs one random schedule; returns the numbers of requests, runs and answers.
fn schedule(variant: Variant, seed: u64) -> Result<[u64; 3], String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::new(variant, 4, 3, NO_FAULTS);
    world.guard_size = 6;
    let mut first_use = [None; 6];
    for _ in 0..SCHEDULE_STEPS {
        step(&mut world, &mut rng, &mut first_use);
        world.check_invariants()?;
    }
    let answered = |phase: &Phase| matches!(phase, Phase::Done(Reply::Answer));
    let answers = world.copies.iter().filter(|c| answered(&c.phase)).count();
    let runs: u32 = world.runs.values().sum();
    Ok([world.copies.len() as u64, u64::from(runs), answers as u64])
}

fn step(world: &mut World, rng: &mut StdRng, first_use: &mut [Option<u64>; 6]) {
    match rng.random_range(0..200) {
        0..10 => {
            let key = rng.random_range(0..first_use.len());
            let key_time = *first_use[key].get_or_insert(world.now);
            let content = u64::from(rng.random_bool(0.1));
            world.submit(rng.random_range(0..4), key as u128, key_time, content);
        }
        10 => world.log_down = !world.log_down,
        11 => {
            world.budget.restart = 1;
            world.apply(Step::Restart(rng.random_range(0..3)));
        }
        12..15 => world.apply(Step::AdvanceClock(rng.random_range(0..4_000))),
        15 if rng.random_bool(0.1) => world.apply(Step::AdvanceClock(LOG_RETENTION_MS / 2)),
        _ => {
            let faults = rng.random_bool(0.2);
            world.budget = if faults { MANY_FAULTS } else { NO_FAULTS };
            let moves = world.possible_steps();
            if !moves.is_empty() {
                let step = moves[rng.random_range(0..moves.len())];
                duplicate(world, rng, step);
                world.apply(step);
            }
        }
    }
}

/// Schedules a late duplicate of a message in 1 of 20 steps.
fn duplicate(world: &mut World, rng: &mut StdRng, step: Step) {
    if !rng.random_bool(0.05) {
        return;
    }
    match step {
        Step::Send(i, SendOutcome::Arrives) => {
            if let Phase::Send(claim) = world.copies[i].phase {
                world
                    .late_sends
                    .push((i, world.copies[i].connected_agent.0, claim));
            }
        }
        Step::Append(i, AppendOutcome::Ok) => {
            if let Phase::Append(entries) = world.copies[i].phase.clone() {
                world.late_appends.push(entries);
            }
        }
        _ => {}
    }
}

/// Guards against a key that is refused as expired too early, while its record is still kept. The
/// caller could not distinguish it from one that ran.
#[test]
fn keys_are_refused_only_near_the_end_of_retention() {
    for (age, expected) in [
        (LOG_RETENTION_MS - 120_001, None),
        (LOG_RETENTION_MS - 120_000, Some(Code::KeyExpired)),
    ] {
        let mut world = World::new(Variant::Correct, 1, 1, NO_FAULTS);
        let copy = world.submit(0, 1, START_MS - age, 1);
        run(&mut world, copy, None);
        let expected = expected.map_or(Reply::Answer, Reply::Code);
        assert_eq!(world.copies[copy].phase, Phase::Done(expected));
    }
}
