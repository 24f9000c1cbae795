//! Scenarios of membership in a small text language, and seeded random schedules.
//!
//! One file alone: `cargo test -p ebonyfall-core --test member -- scenarios --nocapture` with
//! `SCENARIO=flapping.txt` in the environment; `REWRITE=1` writes the found output into the files.

mod fleet;

use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use datadriven::{TestCase, walk};
use ebonyfall_core::{
    dissemination::{Item, ItemKey, Packet, Value, Verdict},
    member::{ListedVm, Observation, RegionLinks},
    name::{MoveName, TargetName, VmName},
    peer::{Liveness, MemberState, Role},
};
use fleet::{Faults, Fleet};
use rand::{Rng, SeedableRng, rngs::SmallRng};

fn verdict(verdict: Verdict) -> Item {
    Item {
        key: ItemKey::Verdict(MoveName::new("labels-v2").unwrap(), 7.into()),
        value: Value::Verdict(verdict),
    }
}

/// `fleet`: one process a line, `name role zone`. `do`: one step a line. `show`: what each of the
/// named processes makes of every other one.
fn step(fleet: &mut Fleet, case: &TestCase) -> String {
    let mut out = String::new();
    match case.directive.as_str() {
        "fleet" => {
            *fleet = Fleet::new(1, RegionLinks::EveryProcess);
            for line in case.input.lines() {
                let words: Vec<_> = line.split_whitespace().collect();
                let role = match words[1] {
                    "router" => Role::Router,
                    _ => Role::Agent(None),
                };
                fleet.add(words[0], role, words[2]);
                // Incarnations of processes that start together still differ.
                fleet.now = fleet.now + Duration::from_micros(1);
            }
        }
        "do" => {
            for line in case.input.lines() {
                let words: Vec<_> = line.split_whitespace().collect();
                act(fleet, &words);
            }
        }
        "show" => {
            for name in case.input.split_whitespace() {
                let at = fleet.find(name);
                let members = &fleet.processes[at].members;
                let states: BTreeMap<_, _> = members
                    .records()
                    .map(|(record, state)| (record.name.to_string(), state))
                    .collect();
                let mut line = format!("{name}:");
                for (name, state) in states {
                    let _infallible = write!(line, " {name}={state}");
                }
                let value = members.store().get(&verdict(Verdict::Good).key);
                if let Some(Value::Verdict(verdict)) = value {
                    let _infallible = write!(line, " verdict={verdict:?}");
                }
                if !members.is_fresh() {
                    line.push_str(" stale");
                }
                let _infallible = writeln!(out, "{line}");
            }
        }
        "own" => {
            for name in case.input.split_whitespace() {
                let members = &fleet.processes[fleet.find(name)].members;
                let own = members.own();
                let (refuted, pauses) = (members.counters().refuted, members.counters().pauses);
                let state = own.state();
                let _infallible = writeln!(
                    out,
                    "{name}: {state} sequence {} refuted {refuted} pauses {pauses}",
                    own.sequence
                );
            }
        }
        other => panic!("unknown directive {other}"),
    }
    out
}

fn act(fleet: &mut Fleet, words: &[&str]) {
    let millis = |text: &str| Duration::from_millis(text.trim_end_matches("ms").parse().unwrap());
    match words {
        ["run", span] => fleet.run(millis(span)),
        ["pause", name] => {
            let at = fleet.find(name);
            fleet.processes[at].paused = true;
        }
        ["resume", name] => {
            let at = fleet.find(name);
            fleet.processes[at].paused = false;
        }
        ["kill", name] => {
            let at = fleet.find(name);
            fleet.processes[at].down = true;
        }
        ["restart", name] => fleet.restart(fleet.find(name)),
        ["leave", name] => {
            let at = fleet.find(name);
            fleet.processes[at].members.begin_leaving();
        }
        ["split", names @ ..] => {
            let side = names.iter().map(|name| fleet.find(name)).collect();
            fleet.split = vec![side];
        }
        ["heal"] => fleet.split.clear(),
        // What a process is told about another one, as by a third one that errs.
        ["tell", name, "that", about, "is", state] => {
            let (at, about) = (fleet.find(name), fleet.find(about));
            let mut record = fleet.processes[about].members.own().clone();
            match *state {
                "suspect" => record.liveness = Liveness::Suspect,
                "gone" => record.liveness = Liveness::Gone,
                _ => record.leaving = true,
            }
            let now = fleet.now;
            fleet.processes[at].members.merge(&record, now);
        }
        ["list", name, vm, state] => {
            let at = fleet.find(name);
            let line = ListedVm {
                name: VmName::new(vm).unwrap(),
                address: fleet.processes[fleet.find(vm)].members.own().address.ip(),
                leaving: *state == "leaving",
            };
            let now = fleet.now;
            fleet.processes[at].members.apply_vm_list(&[line], now);
        }
        ["fail", name, target] => {
            let at = fleet.find(name);
            let (target, now) = (TargetName::new(target).unwrap(), fleet.now);
            let members = &mut fleet.processes[at].members;
            members.observe(&target, Observation::ConnectionFailed, now);
        }
        ["verdict", name, which] => {
            let at = fleet.find(name);
            let which = match *which {
                "good" => Verdict::Good,
                _ => Verdict::Faulty,
            };
            fleet.put(at, &verdict(which));
        }
        other => panic!("unknown step {other:?}"),
    }
}

/// Guards against changes in how views form, damp and heal.
#[test]
fn scenarios() {
    let only = std::env::var("SCENARIO").ok();
    walk("tests/scenarios/member", |file| {
        let mut fleet = Fleet::new(1, RegionLinks::EveryProcess);
        let path = file.filename.clone();
        if only.as_ref().is_none_or(|only| path.ends_with(only)) {
            file.run(|case| step(&mut fleet, case));
        }
    });
}

/// How long a schedule's faults last, in steps of half a second.
const STEPS: u32 = 120;

/// Runs a seeded schedule; returns what was violated. `broken` changes packets on their way.
fn schedule(seed: u64, links: RegionLinks, broken: Option<fn(&mut Packet)>) -> Result<(), String> {
    let mut fleet = Fleet::new(seed, links);
    fleet.broken = broken;
    let mut random = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let count = random.random_range(10..40);
    for at in 0..count {
        let role = if at % 4 == 0 {
            Role::Router
        } else {
            Role::Agent(None)
        };
        fleet.add(&format!("p{at}"), role, ["a", "b", "c"][at % 3]);
        fleet.now = fleet.now + Duration::from_micros(1);
    }
    fleet.faults = Faults {
        lost: 0.2,
        doubled: 0.1,
        delay: Duration::from_millis(800),
    };
    let mut left = BTreeMap::new();
    for at in 0..STEPS {
        let who = random.random_range(2..count);
        match random.random_range(0..12) {
            0 => fleet.processes[who].paused = true,
            1 => fleet.restart(who),
            2 if left.len() < 3 => {
                fleet.processes[who].members.begin_leaving();
                let own = fleet.processes[who].members.own();
                left.insert(who, own.incarnation);
            }
            3 => fleet.put(who, &verdict(Verdict::Good)),
            4 if at > STEPS / 2 => fleet.put(who, &verdict(Verdict::Faulty)),
            5 => fleet.split = vec![(0..who).collect()],
            6 => fleet.split.clear(),
            _ => (0..count).for_each(|at| fleet.processes[at].paused = false),
        }
        let before = fleet.processes.iter().map(|process| {
            let verdict = process.members.store().get(&verdict(Verdict::Good).key);
            (process.members.own().incarnation, verdict.cloned())
        });
        let before: Vec<_> = before.collect();
        fleet.run(Duration::from_millis(500));
        for (process, (incarnation, old)) in fleet.processes.iter().zip(before) {
            let members = &process.members;
            let new = members.store().get(&verdict(Verdict::Good).key);
            let sticky = match (old, new) {
                (Some(Value::Verdict(old)), Some(Value::Verdict(new))) => *new >= old,
                (Some(_), _) => members.own().incarnation != incarnation,
                (None, _) => true,
            };
            if !sticky {
                return Err(format!("seed {seed} step {at}: a verdict was withdrawn"));
            }
        }
    }
    fleet.faults = Faults::default();
    fleet.split.clear();
    fleet.processes.iter_mut().for_each(|p| p.paused = false);
    fleet.run(Duration::from_secs(40));
    for (at, process) in fleet.processes.iter().enumerate() {
        let name = process.members.own().name.to_string();
        let leaves = left.get(&at) == Some(&process.members.own().incarnation);
        for other in 0..count {
            let found = fleet.state(other, &name);
            // An entry that flapped counts as suspect for a while.
            let wanted = if leaves {
                found == Some(MemberState::Leaving)
            } else {
                matches!(found, Some(MemberState::Alive | MemberState::Suspect))
            };
            if !wanted {
                return Err(format!(
                    "seed {seed}: p{other} takes {name} to be {found:?}"
                ));
            }
        }
    }
    let key = verdict(Verdict::Good).key;
    let mut verdicts = fleet
        .processes
        .iter()
        .map(|process| process.members.store().get(&key));
    let first = verdicts.next();
    if verdicts.any(|other| Some(other) != first) {
        return Err(format!("seed {seed}: verdicts differ at the end"));
    }
    Ok(())
}

/// Guards against views that do not converge, leaving or verdicts that are withdrawn, and packets
/// over their bound, under lost, late, repeated and reordered datagrams, pauses, restarts, splits.
#[test]
fn random_schedules_converge() {
    let seeds = std::env::var("SCHEDULES").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(4);
    for seed in 0..seeds {
        for links in [RegionLinks::EveryProcess, RegionLinks::Relays(2)] {
            if let Err(violation) = schedule(seed, links, None) {
                panic!("{links:?}: {violation}");
            }
        }
    }
}

/// Guards against sides of a long split that give each other up, are forgotten, and never meet
/// again: with 210 members and an hour, each region had forgotten the others.
#[test]
fn regions_find_each_other_after_a_long_split() {
    let mut fleet = Fleet::new(3, RegionLinks::EveryProcess);
    for at in 0..40 {
        // Without a document each zone counts as a region.
        fleet.add(&format!("p{at}"), Role::Router, &format!("z{}", at % 8));
        fleet.now = fleet.now + Duration::from_micros(1);
    }
    fleet.run(Duration::from_secs(10));
    // More processes elsewhere than one region can probe before the first suspicions are old.
    let side = |side: usize| (0..40).filter(|at| at % 8 == side).collect();
    fleet.split = (0..8).map(side).collect();
    // Longer than gone entries are kept.
    fleet.run(Duration::from_secs(930));
    fleet.split.clear();
    fleet.run(Duration::from_secs(60));
    for at in 0..40 {
        for other in (0..40).filter(|other| *other != at) {
            let state = fleet.state(at, &format!("p{other}"));
            assert_eq!(state, Some(MemberState::Alive), "p{at} of p{other}");
        }
    }
}

/// Guards against a checker that accepts everything: leaving that does not travel, and verdicts
/// that are withdrawn on their way, are both found.
#[test]
fn the_checker_finds_broken_variants() {
    let forget_leaving: fn(&mut Packet) = |packet| {
        packet.from.leaving = false;
        for record in &mut packet.records {
            record.leaving = false;
        }
    };
    let withdraw_verdicts: fn(&mut Packet) = |packet| {
        for item in &mut packet.items {
            item.value = Value::Verdict(Verdict::Good);
        }
    };
    for (broken, wanted) in [
        (forget_leaving, "takes"),
        (withdraw_verdicts, "verdicts differ"),
    ] {
        let links = RegionLinks::EveryProcess;
        let mut violations = (0..4).filter_map(|seed| schedule(seed, links, Some(broken)).err());
        assert!(
            violations.any(|violation| violation.contains(wanted)),
            "{wanted}"
        );
    }
}
