//! Data-driven membership scenarios and seeded random schedules.
//!
//! To run a single file, set `SCENARIO=flapping.txt` in the environment of
//! `cargo test -p ebonyfall-core --test member -- scenarios --nocapture`. With `REWRITE=1` the
//! actual output is written into the files.

mod fleet;

use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use datadriven::{TestCase, walk};
use ebonyfall_core::{
    dissemination::{Item, ItemKey, MoveDecision, Packet, Value},
    member::{ListedVm, Observation, RegionLinks},
    name::{MoveName, TargetName, VmName},
    peer::{Liveness, MemberState, Role},
};
use fleet::{Faults, Fleet};
use rand::{Rng, SeedableRng, rngs::SmallRng};

fn verdict(verdict: MoveDecision) -> Item {
    Item {
        key: ItemKey::Verdict(MoveName::new("labels-v2").unwrap(), 7.into()),
        value: Value::Verdict(verdict),
    }
}

/// Directives: `fleet` creates processes, one a line as `name role zone`; `do` runs steps, one a
/// line; `show` prints the states of all other processes as the named ones see them; `own` prints
/// the named processes' own records and counters.
fn run_directive(fleet: &mut Fleet, case: &TestCase) -> String {
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
                // Processes that start together have different incarnations.
                fleet.now = fleet.now + Duration::from_micros(1);
            }
        }
        "do" => {
            for line in case.input.lines() {
                let words: Vec<_> = line.split_whitespace().collect();
                run_step(fleet, &words);
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
                let value = members.store().get(&verdict(MoveDecision::Good).key);
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

fn run_step(fleet: &mut Fleet, words: &[&str]) {
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
            fleet.partition = vec![side];
        }
        ["heal"] => fleet.partition.clear(),
        // A process receives a false record of another one from a third one.
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
            let listed = ListedVm {
                name: VmName::new(vm).unwrap(),
                address: fleet.processes[fleet.find(vm)].members.own().address.ip(),
                leaving: *state == "leaving",
            };
            let now = fleet.now;
            fleet.processes[at].members.apply_vm_list(&[listed], now);
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
                "good" => MoveDecision::Good,
                _ => MoveDecision::Faulty,
            };
            fleet.put(at, &verdict(which));
        }
        other => panic!("unknown step {other:?}"),
    }
}

/// Guards against changes in how states spread, how flapping is suppressed, and how a table
/// recovers from a pause or a partition.
#[test]
fn scenarios() {
    let only = std::env::var("SCENARIO").ok();
    walk("tests/scenarios/member", |file| {
        let mut fleet = Fleet::new(1, RegionLinks::EveryProcess);
        let path = file.filename.clone();
        if only.as_ref().is_none_or(|only| path.ends_with(only)) {
            file.run(|case| run_directive(&mut fleet, case));
        }
    });
}

/// Steps of a schedule with faults, of half a second each.
const STEPS: u32 = 120;

/// Runs a seeded schedule; returns the violated property. `tamper` alters packets in transit.
fn run_schedule(
    seed: u64,
    links: RegionLinks,
    tamper: Option<fn(&mut Packet)>,
) -> Result<(), String> {
    let mut fleet = Fleet::new(seed, links);
    fleet.tamper = tamper;
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
        loss: 0.2,
        duplication: 0.1,
        max_delay: Duration::from_millis(800),
    };
    let mut leaving = BTreeMap::new();
    for at in 0..STEPS {
        let who = random.random_range(2..count);
        match random.random_range(0..12) {
            0 => fleet.processes[who].paused = true,
            1 => fleet.restart(who),
            2 if leaving.len() < 3 => {
                fleet.processes[who].members.begin_leaving();
                let own = fleet.processes[who].members.own();
                leaving.insert(who, own.incarnation);
            }
            3 => fleet.put(who, &verdict(MoveDecision::Good)),
            4 if at > STEPS / 2 => fleet.put(who, &verdict(MoveDecision::Faulty)),
            5 => fleet.partition = vec![(0..who).collect()],
            6 => fleet.partition.clear(),
            _ => (0..count).for_each(|at| fleet.processes[at].paused = false),
        }
        let before = fleet.processes.iter().map(|process| {
            let verdict = process
                .members
                .store()
                .get(&verdict(MoveDecision::Good).key);
            (process.members.own().incarnation, verdict.cloned())
        });
        let before: Vec<_> = before.collect();
        fleet.run(Duration::from_millis(500));
        for (process, (incarnation, old)) in fleet.processes.iter().zip(before) {
            let members = &process.members;
            let new = members.store().get(&verdict(MoveDecision::Good).key);
            let is_kept = match (old, new) {
                (Some(Value::Verdict(old)), Some(Value::Verdict(new))) => *new >= old,
                (Some(_), _) => members.own().incarnation != incarnation,
                (None, _) => true,
            };
            if !is_kept {
                return Err(format!("seed {seed} step {at}: a verdict was withdrawn"));
            }
        }
    }
    fleet.faults = Faults::default();
    fleet.partition.clear();
    fleet.processes.iter_mut().for_each(|p| p.paused = false);
    fleet.run(Duration::from_secs(40));
    for (at, process) in fleet.processes.iter().enumerate() {
        let name = process.members.own().name.to_string();
        let is_leaving = leaving.get(&at) == Some(&process.members.own().incarnation);
        for other in 0..count {
            let found = fleet.state(other, &name);
            // A process that flapped counts as suspect until its penalty has decayed.
            let wanted = if is_leaving {
                found == Some(MemberState::Leaving)
            } else {
                matches!(found, Some(MemberState::Alive | MemberState::Suspect))
            };
            if !wanted {
                return Err(format!("seed {seed}: p{other} sees {name} as {found:?}"));
            }
        }
    }
    let key = verdict(MoveDecision::Good).key;
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

/// Guards against tables that do not converge, leaving or verdicts that are withdrawn, and packets
/// over the size limit, under lost, late, repeated and reordered datagrams, pauses, restarts and
/// partitions.
#[test]
fn random_schedules_converge() {
    let seeds = std::env::var("SCHEDULES").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(4);
    for seed in 0..seeds {
        for links in [RegionLinks::EveryProcess, RegionLinks::Relays(2)] {
            if let Err(violation) = run_schedule(seed, links, None) {
                panic!("{links:?}: {violation}");
            }
        }
    }
}

/// Guards against the sides of a long partition removing each other's processes for good: after an
/// hour with 210 members, no region had any process of another region in its table.
#[test]
fn regions_rejoin_after_a_long_partition() {
    let mut fleet = Fleet::new(3, RegionLinks::EveryProcess);
    for at in 0..40 {
        // Without a document each zone counts as a region.
        fleet.add(&format!("p{at}"), Role::Router, &format!("z{}", at % 8));
        fleet.now = fleet.now + Duration::from_micros(1);
    }
    fleet.run(Duration::from_secs(10));
    // More processes in other regions than one region can probe before the first suspicions time
    // out.
    let side = |side: usize| (0..40).filter(|at| at % 8 == side).collect();
    fleet.partition = (0..8).map(side).collect();
    // Longer than entries of gone processes are kept.
    fleet.run(Duration::from_secs(930));
    fleet.partition.clear();
    fleet.run(Duration::from_secs(60));
    for at in 0..40 {
        for other in (0..40).filter(|other| *other != at) {
            let state = fleet.state(at, &format!("p{other}"));
            assert_eq!(state, Some(MemberState::Alive), "p{at} of p{other}");
        }
    }
}

/// Guards against a checker that accepts everything: it must detect both a leaving flag that is
/// dropped in transit and a verdict that is reverted in transit.
#[test]
fn checker_detects_faulty_gossip() {
    let drop_leaving: fn(&mut Packet) = |packet| {
        packet.from.leaving = false;
        for record in &mut packet.records {
            record.leaving = false;
        }
    };
    let revert_verdicts: fn(&mut Packet) = |packet| {
        for item in &mut packet.items {
            item.value = Value::Verdict(MoveDecision::Good);
        }
    };
    for (tamper, wanted) in [(drop_leaving, "sees"), (revert_verdicts, "verdicts differ")] {
        let links = RegionLinks::EveryProcess;
        let mut violations =
            (0..4).filter_map(|seed| run_schedule(seed, links, Some(tamper)).err());
        assert!(
            violations.any(|violation| violation.contains(wanted)),
            "{wanted}"
        );
    }
}
