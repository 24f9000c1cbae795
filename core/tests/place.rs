//! Tests of placement with the scenarios in `tests/scenarios/place` and with random targets and
//! traffic.
//!
//! `RUN=zone.txt cargo test -p ebonyfall-core --test place scenarios` runs a single scenario file.

use std::{collections::HashMap, fmt::Write, time::Duration};

use datadriven::{TestCase, walk};
use ebonyfall_core::{
    chat::CacheTransfer,
    choose::{Placement, PoolTarget},
    doc::ZoneState,
    id::ChatId,
    load::{LoadBound, PoolLoad, load_bound},
    name::{TargetName, ZoneName},
    place::{Candidate, Table},
    time::Time,
    zone::Zones,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};

fn target(name: &str) -> TargetName {
    TargetName::new(name).expect("the scenario uses valid names")
}

fn candidate(number: usize, weight: f64) -> Candidate {
    Candidate {
        name: target(&format!("t{number}")),
        zone: ZoneName::new(format!("z{}", number % 3)).expect("the name is valid"),
        weight,
    }
}

fn candidates(numbers: impl IntoIterator<Item = usize>) -> Vec<Candidate> {
    numbers.into_iter().map(|n| candidate(n, 1.0)).collect()
}

fn serving(candidates: &[Candidate]) -> Vec<PoolTarget> {
    let candidates = candidates.iter().cloned();
    candidates
        .map(|candidate| PoolTarget {
            candidate,
            serving: true,
        })
        .collect()
}

/// Routers of a scenario by name, which share the clock and the states of the zones.
#[derive(Default)]
struct Scenario {
    routers: HashMap<String, Placement>,
    zones: Zones,
    now: Time,
    own: Option<LoadBound>,
}

impl Scenario {
    fn run(&mut self, case: &TestCase) -> String {
        let arg = |key: &str| case.args.get(key).and_then(|values| values.first());
        let number = |key: &str, default: f64| {
            arg(key).map_or(default, |text| {
                text.parse().expect("the argument is a number")
            })
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "scenarios use small whole numbers"
        )]
        let count = |key: &str, default: u32| number(key, f64::from(default)) as u32;
        let router = arg("router").cloned().unwrap_or_else(|| "r".to_owned());
        let seconds = Duration::from_secs_f64(number("seconds", 0.0));
        match case.directive.as_str() {
            "view" => self.view(router, &case.input, number("multiple", 1.25)),
            "advance" => {
                self.now = self.now + seconds;
                String::new()
            }
            "zone" => {
                let name = ZoneName::new(arg("name").expect("name=")).expect("a valid name");
                let state = arg("state").and_then(|text| text.parse().ok());
                let state: ZoneState = state.expect("state=in or out");
                self.zones.set(&name, state, seconds, self.now);
                for placement in self.routers.values_mut() {
                    placement.refresh_loads(&self.zones, self.now);
                }
                format!("share {:.2}\n", self.zones.share(&name, self.now))
            }
            "share" => {
                let name = ZoneName::new(arg("name").expect("name=")).expect("a valid name");
                format!("{:.2}\n", self.zones.share(&name, self.now))
            }
            "choose" => {
                let chats = u64::from(count("from", 0))..u64::from(count("to", 1));
                let tried: Vec<_> = case.args.get("tried").into_iter().flatten().collect();
                let tried: Vec<_> = tried.into_iter().map(|name| target(name)).collect();
                self.choose(
                    &router,
                    chats,
                    &tried,
                    arg("end").is_some(),
                    arg("list").is_some(),
                    arg("first").is_some(),
                )
            }
            "served" | "hint" => {
                let (now, placement) = (self.now, self.router(&router));
                let chat = ChatId::from(u64::from(count("chat", 0)));
                let name = target(arg("target").expect("target="));
                let placement = placement.expect("a view comes first");
                if case.directive == "hint" {
                    placement.record_hint(chat, &name, now);
                    return String::new();
                }
                let told = placement.record_served(chat, &name, now);
                let told: Vec<_> = told.iter().map(TargetName::as_str).collect();
                format!("told: {}\n", told.join(" "))
            }
            "heard" => {
                let (now, zones) = (self.now, self.zones.clone());
                let name = target(arg("target").expect("target="));
                let placement = self.router(&router).expect("a view comes first");
                placement.record_load(&name, count("requests", 0), count("limit", 100), now);
                placement.refresh_loads(&zones, now);
                String::new()
            }
            "gossip" => {
                let mut pool = PoolLoad::default();
                pool.add(count("requests", 0), number("weight", 0.0));
                let now = self.now;
                if let Some(placement) = self.router(&router) {
                    placement.record_pool_load(pool, now);
                }
                let own = self.own.get_or_insert_with(|| LoadBound::new(1.25, 1.0));
                own.record_pool(pool, now);
                String::new()
            }
            "agent" => {
                let own = self.own.get_or_insert_with(|| LoadBound::new(1.25, 1.0));
                own.configure(1.25, number("weight", 1.0));
                let admitted = own.admits(count("requests", 0), self.now);
                format!("{}\n", if admitted { "admitted" } else { "over bound" })
            }
            "transfer" => {
                let kv = CacheTransfer {
                    bytes: count("bytes", 0).into(),
                    bytes_per_second: number("bandwidth", 0.0),
                    setup_time: Duration::from_secs_f64(number("setup", 0.0)),
                    tokens: count("tokens", 0).into(),
                    prefill_tokens_per_second: number("prefill", 0.0),
                };
                format!("{}\n", if kv.is_faster() { "move" } else { "recompute" })
            }
            other => panic!("unknown directive {other}"),
        }
    }

    fn router(&mut self, name: &str) -> Option<&mut Placement> {
        self.routers.get_mut(name)
    }

    /// Sets the targets of a router from one line each: name, zone, weight, and `leaving` if the
    /// target receives no new requests.
    fn view(&mut self, router: String, input: &str, multiple: f64) -> String {
        let mut members = Vec::new();
        for line in input.lines() {
            let words: Vec<_> = line.split_whitespace().collect();
            let [name, zone, weight, ref rest @ ..] = words[..] else {
                panic!("{line}: a target has a name, a zone and a weight")
            };
            members.push(PoolTarget {
                candidate: Candidate {
                    name: target(name),
                    zone: ZoneName::new(zone).expect("a valid name"),
                    weight: weight.parse().expect("a number"),
                },
                serving: !rest.contains(&"leaving"),
            });
        }
        let placement = self.routers.entry(router);
        let placement = placement.or_insert_with(|| Placement::new(multiple));
        placement.set_targets(&members, multiple, &self.zones, self.now);
        format!("{} targets\n", placement.table().len())
    }

    /// Sends one request per chat and prints the number of requests of each target, or with `list`
    /// each choice. With `end`, each request ends before the next one starts.
    fn choose(
        &mut self,
        router: &str,
        chats: impl Iterator<Item = u64>,
        tried: &[TargetName],
        end: bool,
        list: bool,
        first: bool,
    ) -> String {
        let (zones, now) = (self.zones.clone(), self.now);
        let placement = self.router(router).expect("a view comes first");
        let mut counts = std::collections::BTreeMap::new();
        let mut text = String::new();
        for chat in chats {
            let Some(pick) = placement.choose(chat.into(), first, tried, &zones, now) else {
                return "no target\n".to_owned();
            };
            if end {
                placement.record_end(&pick.target, now);
            }
            if list {
                let second = pick.second.as_ref().map_or("-", TargetName::as_str);
                let _infallible = writeln!(
                    text,
                    "{chat}: {} {:?}, then {second}",
                    pick.target, pick.reason
                );
            }
            *counts.entry(pick.target).or_insert(0) += 1;
        }
        if !list {
            for (name, count) in counts {
                let _infallible = writeln!(text, "{name} {count}");
            }
        }
        text
    }
}

/// Guards against a change of the targets chosen in the situations that the scenario files
/// describe.
#[test]
fn scenarios() {
    walk("tests/scenarios/place", |file| {
        let mut scenario = Scenario::default();
        file.run(|case| scenario.run(case));
    });
}

const CHATS: u64 = 20_000;

fn homes(table: &Table) -> Vec<TargetName> {
    let chats = (0..CHATS).map(ChatId::from);
    chats
        .filter_map(|chat| table.home(chat))
        .map(|index| table.candidate(index).name.clone())
        .collect()
}

/// Number of chats whose home changed although neither the old home left nor the new one joined.
fn needless_moves(before: &[TargetName], after: &[TargetName], changed: &[TargetName]) -> usize {
    let pairs = before.iter().zip(after);
    pairs
        .filter(|(old, new)| old != new && !changed.contains(old) && !changed.contains(new))
        .count()
}

/// Guards against a table in which a target that joins or leaves changes the homes of other
/// targets' chats. The check itself is tested on placement by `chat % targets`, which moves such
/// chats.
#[test]
fn only_chats_of_joining_or_leaving_targets_move() {
    let mut rng = StdRng::seed_from_u64(11);
    for count in [2, 9, 10, 11, 40, 200] {
        let mut numbers: Vec<_> = (0..count).collect();
        let mut table = Table::new(14, candidates(numbers.iter().copied()));
        for step in 0..6 {
            let before = homes(&table);
            let changed = if step % 2 == 0 && numbers.len() > 1 {
                numbers.swap_remove(rng.random_range(0..numbers.len()))
            } else {
                numbers.push(1_000 + step);
                1_000 + step
            };
            table.update(candidates(numbers.iter().copied()));
            let changed = [candidate(changed, 1.0).name];
            assert_eq!(needless_moves(&before, &homes(&table), &changed), 0);
        }
    }
    let modulo = |n: u64| {
        (0..CHATS)
            .map(|chat| target(&format!("t{}", chat % n)))
            .collect::<Vec<_>>()
    };
    assert!(needless_moves(&modulo(10), &modulo(9), &[target("t9")]) > 0);
}

/// Whether both tables rank the same target names for every chat.
fn same_ranking(a: &Table, b: &Table) -> bool {
    (0..CHATS / 4).map(ChatId::from).all(|chat| {
        let names = |table: &Table| {
            let (ranked, len) = table.ranked(chat);
            let names = ranked[..len]
                .iter()
                .map(|i| table.candidate(*i).name.clone());
            names.collect::<Vec<_>>()
        };
        names(a) == names(b)
    })
}

/// Guards against rankings that depend on the order in which a router learned of its targets. The
/// check itself is tested on a table that lacks one target.
#[test]
fn rankings_do_not_depend_on_the_order_of_changes() {
    let mut rng = StdRng::seed_from_u64(5);
    for (count, bits) in [(3, 14), (12, 14), (60, 14), (400, 16)] {
        let weights: Vec<_> = (0..count)
            .map(|_| f64::from(rng.random_range(1..=8)))
            .collect();
        let wanted: Vec<_> = (0..count).map(|n| candidate(n, weights[n])).collect();
        let direct = Table::new(bits, wanted.clone());
        let mut view: Vec<_> = (count / 2..count + count / 2)
            .map(|n| candidate(n, 3.0))
            .collect();
        let mut table = Table::new(bits, view.clone());
        // Applies single and bulk changes in random order, with temporary weights in between.
        let mut order: Vec<_> = (0..count + count / 2).collect();
        order.shuffle(&mut rng);
        for number in order {
            view.retain(|c| c.name != candidate(number, 1.0).name);
            if number < count {
                view.push(candidate(number, 2.0));
                table.update(view.clone());
                view.pop();
                view.push(wanted[number].clone());
            }
            if rng.random_bool(0.7) {
                table.update(view.clone());
            }
        }
        view.shuffle(&mut rng);
        table.update(view);
        assert!(same_ranking(&direct, &table), "{count} targets");
        assert!(!same_ranking(
            &direct,
            &Table::new(bits, wanted[1..].to_vec())
        ));
    }
}

/// Guards against a table from another thread that ranks differently, and against new requests for
/// targets that left while it was being built.
#[test]
fn a_bulk_change_is_built_on_another_thread() {
    let zones = Zones::default();
    let (now, all) = (Time::ZERO, candidates(0..400));
    let mut placement = Placement::new(1.25);
    assert!(
        placement
            .prepare_build(&serving(&all), &zones, now)
            .is_none()
    );
    placement.set_targets(&serving(&all), 1.25, &zones, now);
    assert!(
        placement
            .prepare_build(&serving(&all[1..]), &zones, now)
            .is_none()
    );
    let fewer = serving(&all[100..]);
    let build = placement.prepare_build(&fewer, &zones, now).unwrap();
    let left: Vec<_> = all[..100].iter().map(|c| c.name.clone()).collect();
    for chat in 0..1_000 {
        let pick = placement
            .choose(chat.into(), false, &[], &zones, now)
            .unwrap();
        assert!(!left.contains(&pick.target));
    }
    placement.install_table(build.run(), &fewer, 1.25, &zones, now);
    assert!(same_ranking(
        placement.table(),
        &Table::new(18, all[100..].to_vec())
    ));
}

/// Guards against numbers of chats that are not proportional to the targets' weights.
#[test]
fn chats_per_target_are_proportional_to_weights() {
    let table = Table::new(14, [candidate(0, 1.0), candidate(1, 3.0)]);
    let homes = homes(&table);
    let heavy = homes.iter().filter(|name| name.as_str() == "t1").count();
    let share = f64::from(u32::try_from(heavy).unwrap()) / 20_000.0;
    assert!((share - 0.75).abs() < 0.02, "share {share}");
}

/// Sends random traffic through a placement with the load bound `multiple`. Returns the highest
/// number of requests by which a target exceeds the bound `checked`.
fn max_excess(multiple: f64, checked: f64, seed: u64) -> i64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let targets: Vec<_> = (0..30)
        .map(|n| candidate(n, f64::from(rng.random_range(1..=4))))
        .collect();
    let total: f64 = targets.iter().map(|c| c.weight).sum();
    let zones = Zones::default();
    let mut placement = Placement::new(multiple);
    placement.set_targets(&serving(&targets), multiple, &zones, Time::ZERO);
    let mut running: Vec<TargetName> = Vec::new();
    let mut counts: HashMap<TargetName, u32> = HashMap::new();
    let mut worst = i64::MIN;
    for step in 0..4_000 {
        let now = Time::from_millis(step * 5);
        // Half of the requests belong to five chats.
        let chat = if rng.random_bool(0.5) {
            rng.random_range(0..5)
        } else {
            rng.random()
        };
        if running.len() > 300 || (!running.is_empty() && rng.random_bool(0.4)) {
            let ended = running.swap_remove(rng.random_range(0..running.len()));
            *counts.get_mut(&ended).unwrap() -= 1;
            placement.record_end(&ended, now);
            continue;
        }
        let sum = f64::from(u32::try_from(running.len()).unwrap());
        let pick = placement
            .choose(ChatId::from(chat), false, &[], &zones, now)
            .unwrap();
        let count = counts.entry(pick.target.clone()).or_default();
        *count += 1;
        let weight = targets
            .iter()
            .find(|c| c.name == pick.target)
            .unwrap()
            .weight;
        worst = worst.max(i64::from(*count) - i64::from(load_bound(checked, sum, weight, total)));
        running.push(pick.target);
    }
    worst
}

/// Guards against a target above the load bound when the router knows the loads exactly. The check
/// itself is tested on a router whose bound is too high.
#[test]
fn the_load_bound_is_never_exceeded() {
    for seed in 0..5 {
        assert!(max_excess(1.25, 1.25, seed) <= 0, "seed {seed}");
        assert!(max_excess(100.0, 1.25, seed) > 0, "seed {seed}");
    }
}

/// Guards against new requests for a zone that is out or a target that is leaving, and against
/// overload of the targets in the other zones meanwhile.
#[test]
fn a_zone_that_is_out_gets_no_new_requests() {
    let targets = candidates(0..12);
    let out = &targets[0].zone;
    let mut zones = Zones::default();
    let mut placement = Placement::new(1.25);
    zones.set(out, ZoneState::Out, Duration::from_secs(60), Time::ZERO);
    let mut members = serving(&targets);
    members[1].serving = false;
    placement.set_targets(&members, 1.25, &zones, Time::ZERO);
    let mut counts: HashMap<TargetName, u32> = HashMap::new();
    for chat in 0..1_400 {
        let pick = placement
            .choose(chat.into(), false, &[], &zones, Time::ZERO)
            .unwrap();
        *counts.entry(pick.target).or_default() += 1;
    }
    assert!(
        targets
            .iter()
            .all(|c| c.zone != *out || !counts.contains_key(&c.name))
    );
    assert!(!counts.contains_key(&targets[1].name));
    assert_eq!(counts.len(), 7);
    assert!(counts.values().all(|count| *count <= 250), "{counts:?}");
}
