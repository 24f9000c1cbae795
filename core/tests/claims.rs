//! Requests that run at most once: scenarios and random schedules over the real state machines.
//!
//! `cargo test -p ebonyfall-core --test claims scenarios` runs every file in
//! `tests/scenarios/claims`; `SCENARIO=lost-reply.txt` before it runs one file, and
//! `REWRITE=1` writes the outputs anew. `EBONYFALL_STEPS=1000000` and `EBONYFALL_SEED` set the
//! length and the seed of the random schedules.

mod common;
mod world;

use std::{env, fmt::Write as _};

use common::variable;
use datadriven::TestCase;
use ebonyfall_core::{code::Code, owner::Verdict};
use rand::{Rng, SeedableRng, rngs::StdRng};
use world::{AppendFate, Budget, Move, Phase, RETENTION, START, SendFate, Variant, World};

const NO_FAULTS: Budget = Budget {
    append: 0,
    link: 0,
    refuse: 0,
    restart: 0,
    pause: 0,
};
const MANY_FAULTS: Budget = Budget {
    append: 99,
    link: 99,
    refuse: 99,
    restart: 0,
    pause: 0,
};
/// Steps of one random schedule.
const EPISODE: u64 = 500;

/// Guards against changes of what callers are told in the situations that the files describe.
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
        let mut world = World::new(Variant::Sound, 2, 2, MANY_FAULTS);
        file.run(|case| {
            let out = command(&mut world, case);
            world.check().expect("no promise is broken");
            out
        });
    });
    assert!(files > 0, "no scenario of this name");
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
            let copy = world.arrive(index("router"), key, key_time, number(case, "content", 1));
            return format!("copy {copy}\n");
        }
        "run" => {
            let until = case.args.get("until").and_then(|values| values.first());
            run(world, copy, until.map(String::as_str));
            return state(world, copy);
        }
        "fail" => {
            let how = case.args.get("how").and_then(|values| values.first());
            world.apply(match how.map(String::as_str) {
                Some("reply-lost") => Move::Append(copy, AppendFate::ReplyLost),
                Some("late-append") => Move::Append(copy, AppendFate::Late),
                Some("append-refused") => Move::Append(copy, AppendFate::Refused),
                Some("send-lost") => Move::Send(copy, SendFate::Lost),
                Some("late-send") => Move::Send(copy, SendFate::Late),
                Some("not-admitted") => Move::Send(copy, SendFate::NotAdmitted),
                Some("answer-lost") => Move::Finish(copy, false),
                Some("record-lost") => Move::Record(copy, false),
                other => panic!("no failure {other:?}"),
            });
            return state(world, copy);
        }
        "land" => {
            while !world.late_appends.is_empty() {
                world.apply(Move::LateAppend(0));
            }
            while !world.late_sends.is_empty() {
                world.apply(Move::LateSend(0));
            }
        }
        "sync" => world.apply(Move::Sync(index("router"))),
        "restart" => {
            world.budget.restart = 1;
            world.apply(Move::Restart(index("agent")));
        }
        "pass" => world.apply(Move::Pass(number(case, "ms", 3_000))),
        "log" => world.down = case.args.contains_key("down"),
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

/// Drives a copy without further faults, up to the phase named `until`.
fn run(world: &mut World, copy: usize, until: Option<&str>) {
    loop {
        let step = match &world.copies[copy].phase {
            Phase::Event(_) => Move::Deliver(copy),
            Phase::Connect => Move::Connect(copy),
            Phase::Append(_) if until == Some("append") => return,
            Phase::Append(_) => Move::Append(copy, AppendFate::Ok),
            Phase::Read(_) => Move::Read(copy),
            Phase::Send(_) if until == Some("send") => return,
            Phase::Send(_) => Move::Send(copy, SendFate::Arrives),
            Phase::Running(_) if until == Some("running") => return,
            Phase::Running(_) => Move::Finish(copy, true),
            Phase::Void(..) => Move::Void(copy, true),
            Phase::Record(..) if until == Some("record") => return,
            Phase::Record(..) => Move::Record(copy, true),
            Phase::Done(_) => return,
        };
        world.apply(step);
    }
}

fn state(world: &World, copy: usize) -> String {
    let text = match &world.copies[copy].phase {
        Phase::Event(event) => format!("{event:?}"),
        Phase::Connect => "connecting".to_owned(),
        Phase::Append(entries) => format!("appending {} entries", entries.len()),
        Phase::Read(_) => "reading the log".to_owned(),
        Phase::Void(..) => "voiding".to_owned(),
        Phase::Send(claim) => format!("sending claim {}", claim.id),
        Phase::Running(claim) => format!("running claim {}", claim.id),
        Phase::Record(..) => "recording".to_owned(),
        Phase::Done(Verdict::Answer) => "answer".to_owned(),
        Phase::Done(Verdict::Code(code) | Verdict::Recorded(_, code)) => {
            format!("{} ({})", code.name(), code.execution())
        }
    };
    text + "\n"
}

/// Guards against a second run, or a false `not run`, under any mixture of faults, keys and routers.
#[test]
fn random_schedules_keep_the_promises() {
    let steps = variable("EBONYFALL_STEPS", 20_000);
    let seed = variable("EBONYFALL_SEED", 1);
    let mut totals = [0_u64; 3];
    for episode in 0..steps.div_ceil(EPISODE) {
        let seed = seed.wrapping_mul(1_000_003).wrapping_add(episode);
        let counts = schedule(Variant::Sound, seed);
        let counts = counts.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        for (total, count) in totals.iter_mut().zip(counts) {
            *total += count;
        }
    }
    let [arrived, ran, answered] = totals;
    println!("steps {steps} seed {seed}: {arrived} requests, {ran} runs, {answered} answers");
    assert!(ran > 0 && answered > 0, "the schedules exercise nothing");
}

/// Guards against random schedules that would miss a fault.
#[test]
fn random_schedules_find_broken_variants() {
    for variant in [
        Variant::NoReadBack,
        Variant::NoIncarnation,
        Variant::NoVoidEntry,
    ] {
        let found = (0..2_000).find(|seed| schedule(variant, *seed).is_err());
        println!("{variant:?} fails with seed {found:?}");
        assert!(found.is_some(), "{variant:?} was not found");
    }
}

/// Runs one schedule; returns the numbers of requests, runs and answers.
fn schedule(variant: Variant, seed: u64) -> Result<[u64; 3], String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::new(variant, 4, 3, NO_FAULTS);
    world.guard_size = 6;
    let mut first_use = [None; 6];
    for _ in 0..EPISODE {
        step(&mut world, &mut rng, &mut first_use);
        world.check()?;
    }
    let answered = |phase: &Phase| matches!(phase, Phase::Done(Verdict::Answer));
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
            world.arrive(rng.random_range(0..4), key as u128, key_time, content);
        }
        10 => world.down = !world.down,
        11 => {
            world.budget.restart = 1;
            world.apply(Move::Restart(rng.random_range(0..3)));
        }
        12..15 => world.apply(Move::Pass(rng.random_range(0..4_000))),
        15 if rng.random_bool(0.1) => world.apply(Move::Pass(RETENTION / 2)),
        _ => {
            let faults = rng.random_bool(0.2);
            world.budget = if faults { MANY_FAULTS } else { NO_FAULTS };
            let moves = world.moves();
            if !moves.is_empty() {
                let step = moves[rng.random_range(0..moves.len())];
                duplicate(world, rng, step);
                world.apply(step);
            }
        }
    }
}

/// Now and then a message arrives once more, later.
fn duplicate(world: &mut World, rng: &mut StdRng, step: Move) {
    if !rng.random_bool(0.05) {
        return;
    }
    match step {
        Move::Send(i, SendFate::Arrives) => {
            if let Phase::Send(claim) = world.copies[i].phase {
                world.late_sends.push((i, world.copies[i].link.0, claim));
            }
        }
        Move::Append(i, AppendFate::Ok) => {
            if let Phase::Append(entries) = world.copies[i].phase.clone() {
                world.late_appends.push(entries);
            }
        }
        _ => {}
    }
}

/// Guards against a key that is refused as expired while its record is still kept, which the
/// caller could not tell from one that ran.
#[test]
fn keys_are_refused_only_near_the_end_of_retention() {
    for (age, expected) in [
        (RETENTION - 120_001, None),
        (RETENTION - 120_000, Some(Code::KeyExpired)),
    ] {
        let mut world = World::new(Variant::Sound, 1, 1, NO_FAULTS);
        let copy = world.arrive(0, 1, START - age, 1);
        run(&mut world, copy, None);
        let expected = expected.map_or(Verdict::Answer, Verdict::Code);
        assert_eq!(world.copies[copy].phase, Phase::Done(expected));
    }
}
