//! Several routers that share targets, in seeded random schedules: reports are late, lost and out of
//! order; routers start anew; targets leave, crash, come back cold and fail; zones go out and return.
//! Bounds that the routers keep together are checked from outside.

mod common;

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use common::variable;
use ebonyfall_core::{
    allowance::RetryBound,
    code::Code,
    id::{Fingerprint, Incarnation},
    name::{ProcessName, RouteName, ServiceName, TargetName, TeamName, ZoneName},
    outcome::{End, Finished},
    passage::Failure,
    reports::OpenReport,
    steer::{Criteria, TargetSelector},
    target::{Stage, TargetRecord},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ROUTERS: u32 = 4;
const TARGETS: u16 = 9;
const ZONES: u16 = 3;
/// Requests that are tried again at most so often.
const REPEATS: usize = 2;
/// Time between two reports of a router.
const REPORT: Duration = Duration::from_millis(300);
/// Longest delay of a report or of a record from the store, in milliseconds.
const MAX_DELAY_MS: u64 = 1_000;
/// Requests a second that a cold target bears, and the time for which it stays cold.
const COLD: (u32, Duration) = (10, Duration::from_secs(3));
/// What a cold target may get in a second, over its rate and besides.
const COLD_BOUND: (f64, f64) = (1.5, 5.0);
/// The fleet's bound on repeats.
const BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 58.0,
    window: Duration::from_secs(10),
};

/// A deliberate fault that a check must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    Sound,
    /// Routers are not told of each other, so that each takes the whole of the bounds.
    Alone,
    /// Records of targets that leave are not taken.
    NoRemoval,
    /// Zones that go out are not taken.
    NoZones,
}

/// Something on its way to a router.
#[derive(Debug, Clone)]
enum Message {
    Report(usize, OpenReport),
    Put(TargetRecord),
    Remove(TargetName),
    Evacuated(HashSet<ZoneName>),
}

/// What a router has been told.
struct Router {
    selector: TargetSelector,
    gone: HashSet<TargetName>,
    out: HashSet<ZoneName>,
    /// Messages in the order of the store, and others, with the time of their arrival.
    store: VecDeque<(Time, Message)>,
    reports: Vec<(Time, Message)>,
}

struct Target {
    record: TargetRecord,
    fails: bool,
    cold_until: Time,
    cold: VecDeque<Time>,
}

struct Running {
    router: usize,
    target: TargetName,
    incarnation: Incarnation,
    until: Time,
    content: u64,
    tried: Vec<TargetName>,
}

struct World {
    rng: SmallRng,
    variant: Variant,
    now: Time,
    routers: Vec<Router>,
    targets: HashMap<TargetName, Target>,
    out: HashSet<ZoneName>,
    running: Vec<Running>,
    next_report: Time,
    firsts: VecDeque<Time>,
    repeats: VecDeque<Time>,
    served: u32,
    refused: u32,
}

fn service() -> ServiceName {
    "s".parse().expect("the literal is a name")
}

fn zone(number: u16) -> ZoneName {
    format!("z{number}").parse().expect("it is a name")
}

fn record(number: u16, life: u64, cold: Duration) -> TargetRecord {
    TargetRecord {
        name: format!("t{number}").parse().expect("it is a name"),
        service: service(),
        address: ([127, 0, 0, 1], number + 1).into(),
        zone: zone(number % ZONES),
        version: "v1".into(),
        slots: 16,
        stage: Stage::Ready,
        cold,
        incarnation: Incarnation::from(life),
    }
}

impl World {
    fn new(seed: u64, variant: Variant) -> Self {
        let now = Time::from_millis(1_000_000);
        let targets = (0..TARGETS).map(|number| {
            let record = record(number, 1, Duration::ZERO);
            let target = Target {
                record: record.clone(),
                fails: false,
                cold_until: now,
                cold: VecDeque::new(),
            };
            (record.name, target)
        });
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            variant,
            now,
            routers: Vec::new(),
            targets: targets.collect(),
            out: HashSet::new(),
            running: Vec::new(),
            next_report: now,
            firsts: VecDeque::new(),
            repeats: VecDeque::new(),
            served: 0,
            refused: 0,
        };
        world.routers = (0..ROUTERS).map(|_| world.router()).collect();
        world
    }

    /// A router that has just read the store.
    fn router(&self) -> Router {
        let mut selector = TargetSelector::new(zone(0), BOUND);
        for target in self.targets.values() {
            let mut record = target.record.clone();
            record.cold = target.cold_until.since(self.now);
            selector.put(record, self.now);
        }
        let listed = self.targets.keys().cloned().collect();
        selector.retain(&listed, self.now);
        if self.variant != Variant::Alone {
            selector.set_routers(ROUTERS);
        }
        selector.set_cold_rates([(service(), f64::from(COLD.0))].into());
        selector.set_evacuated(self.out.clone());
        Router {
            selector,
            gone: HashSet::new(),
            out: self.out.clone(),
            store: VecDeque::new(),
            reports: Vec::new(),
        }
    }

    fn run(&mut self, length: Duration) -> Result<(), String> {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + Duration::from_micros(self.rng.random_range(500..6_000));
            match self.rng.random_range(0..2_000) {
                0 => self.restart_router(),
                1..4 => self.restart_target(),
                4..6 => self.turn_zone(),
                6..14 => self.turn_failing(),
                _ => {}
            }
            self.exchange();
            self.deliver();
            self.end_requests()?;
            let content = self.rng.random_range(0..2_000);
            let router = self.rng.random_range(0..self.routers.len());
            self.send(router, content, Vec::new())?;
        }
        Ok(())
    }

    /// A time at which something sent now arrives.
    fn arrival(&mut self) -> Time {
        self.now + Duration::from_millis(self.rng.random_range(1..MAX_DELAY_MS))
    }

    /// Every router reads the store's records in their order.
    fn write(&mut self, message: &Message) {
        for router in 0..self.routers.len() {
            let at = self.arrival();
            let store = &mut self.routers[router].store;
            let last = store.back().map_or(at, |(last, _)| *last);
            store.push_back((at.max(last), message.clone()));
        }
    }

    fn restart_router(&mut self) {
        let router = self.rng.random_range(0..self.routers.len());
        self.running.retain(|running| running.router != router);
        self.routers[router] = self.router();
    }

    /// A target leaves, or crashes and comes back cold in another life.
    fn restart_target(&mut self) {
        let number = self.rng.random_range(0..TARGETS);
        let old = record(number, 0, Duration::ZERO);
        let Some(target) = self.targets.get(&old.name) else {
            let life = self.rng.random_range(2..u64::MAX);
            let record = record(number, life, COLD.1);
            let target = Target {
                record: record.clone(),
                fails: false,
                cold_until: self.now + COLD.1,
                cold: VecDeque::new(),
            };
            self.targets.insert(record.name.clone(), target);
            self.write(&Message::Put(record));
            return;
        };
        // Enough targets stay to serve.
        if self.targets.len() > usize::from(TARGETS) / 2 {
            let name = target.record.name.clone();
            self.targets.remove(&name);
            self.write(&Message::Remove(name));
        }
    }

    fn turn_zone(&mut self) {
        if self.out.is_empty() {
            self.out.insert(zone(self.rng.random_range(0..ZONES)));
        } else {
            self.out.clear();
        }
        let out = self.out.clone();
        self.write(&Message::Evacuated(out));
    }

    fn turn_failing(&mut self) {
        let number = self.rng.random_range(0..TARGETS);
        let name = record(number, 0, Duration::ZERO).name;
        let fails = self.rng.random_bool(0.4);
        if let Some(target) = self.targets.get_mut(&name) {
            target.fails = fails;
        }
    }

    /// Routers report to each other; one report in five is lost.
    fn exchange(&mut self) {
        if self.now < self.next_report {
            return;
        }
        self.next_report = self.now + REPORT;
        for from in 0..self.routers.len() {
            let report = self.routers[from].selector.next_report();
            for to in (0..self.routers.len()).filter(|to| *to != from) {
                let at = self.arrival();
                if self.rng.random_bool(0.8) {
                    let message = Message::Report(from, report.clone());
                    self.routers[to].reports.push((at, message));
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for router in &mut self.routers {
            let mut due: Vec<_> = router
                .reports
                .extract_if(.., |(at, _)| *at <= now)
                .collect();
            while router.store.front().is_some_and(|(at, _)| *at <= now) {
                due.extend(router.store.pop_front());
            }
            for (_, message) in due {
                router.take(message, self.variant, now);
            }
        }
    }

    fn end_requests(&mut self) -> Result<(), String> {
        let now = self.now;
        let ended: Vec<_> = self
            .running
            .extract_if(.., |running| running.until <= now)
            .collect();
        let (team, route): (TeamName, RouteName) = (
            "desk".parse().expect("the literal is a name"),
            "r".parse().expect("the literal is a name"),
        );
        for running in ended {
            let target = self.targets.get(&running.target);
            let alive = target.filter(|target| target.record.incarnation == running.incarnation);
            let end = match alive {
                None => End::Failed(Failure::Broken),
                Some(target) if target.fails => End::Failed(Failure::Failed),
                Some(_) => End::Served,
            };
            let finished = Finished {
                end,
                content: Fingerprint::from(running.content),
                team: &team,
                route: &route,
                timing: None,
            };
            let selector = &mut self.routers[running.router].selector;
            selector.record_end(&running.target, &finished, now);
            if end == End::Served {
                self.served += 1;
            } else if running.tried.len() <= REPEATS {
                self.send(running.router, running.content, running.tried)?;
            }
        }
        Ok(())
    }

    fn send(
        &mut self,
        number: usize,
        content: u64,
        mut tried: Vec<TargetName>,
    ) -> Result<(), String> {
        let now = self.now;
        let router = &mut self.routers[number];
        let criteria = Criteria {
            service: &service(),
            contexts: &[content % 20, 1_000 + content],
            tried: &tried,
            repeat: !tried.is_empty(),
            content: Fingerprint::from(content),
        };
        let random = self.rng.random();
        let choice = match router.selector.choose(&criteria, random, now) {
            Ok(choice) => choice,
            Err(refusal) => {
                self.refused += 1;
                let only_repeats = refusal.code == Code::Overloaded && tried.is_empty();
                return if only_repeats {
                    Err("a first request was refused for the budget of repeats".to_owned())
                } else {
                    Ok(())
                };
            }
        };
        let record = choice.target;
        if router.gone.contains(&record.name) {
            return Err(format!("{} had left and was chosen", record.name));
        }
        if router.out.contains(&record.zone) {
            return Err(format!("{} was chosen and is out", record.zone));
        }
        if tried.contains(&record.name) {
            return Err(format!("{} was chosen twice", record.name));
        }
        if choice.context_source == Some(record.address) {
            return Err(format!("{} was to fetch from itself", record.name));
        }
        self.count(tried.is_empty())?;
        self.heat(&record)?;
        let service_time = Duration::from_millis(self.rng.random_range(5..120));
        tried.push(record.name.clone());
        self.running.push(Running {
            router: number,
            target: record.name,
            incarnation: record.incarnation,
            until: now + service_time,
            content,
            tried,
        });
        Ok(())
    }

    /// The fleet's bound on repeats, over any window.
    fn count(&mut self, first: bool) -> Result<(), String> {
        let now = self.now;
        let counts = if first {
            &mut self.firsts
        } else {
            &mut self.repeats
        };
        counts.push_back(now);
        for counts in [&mut self.firsts, &mut self.repeats] {
            let old = counts.partition_point(|at| now.since(*at) >= BOUND.window);
            counts.drain(..old);
        }
        let (firsts, repeats) = (number(self.firsts.len()), number(self.repeats.len()));
        let allowed = BOUND.ratio * firsts + BOUND.slack;
        if repeats > allowed {
            return Err(format!("{repeats} repeats of {firsts} requests"));
        }
        Ok(())
    }

    /// What a cold target gets from all routers in any second.
    fn heat(&mut self, record: &TargetRecord) -> Result<(), String> {
        let now = self.now;
        let Some(target) = self.targets.get_mut(&record.name) else {
            return Ok(());
        };
        if now >= target.cold_until || target.record.incarnation != record.incarnation {
            return Ok(());
        }
        target.cold.push_back(now);
        let old = target
            .cold
            .partition_point(|at| now.since(*at) >= Duration::from_secs(1));
        target.cold.drain(..old);
        let (over, slack) = COLD_BOUND;
        let got = number(target.cold.len());
        if got > over * f64::from(COLD.0) + slack {
            return Err(format!("{got} requests in a second to a cold target"));
        }
        Ok(())
    }
}

impl Router {
    fn take(&mut self, message: Message, variant: Variant, now: Time) {
        match message {
            Message::Report(from, report) => {
                let from: ProcessName = format!("r{from}").parse().expect("it is a name");
                self.selector.record_report(&from, &report, now);
            }
            Message::Put(record) => {
                self.gone.remove(&record.name);
                self.selector.put(record, now);
            }
            Message::Remove(name) => {
                if variant != Variant::NoRemoval {
                    self.selector.remove(&name, now);
                }
                self.gone.insert(name);
            }
            Message::Evacuated(zones) => {
                if variant != Variant::NoZones {
                    self.selector.set_evacuated(zones.clone());
                }
                self.out = zones;
            }
        }
    }
}

fn number(len: usize) -> f64 {
    f64::from(u32::try_from(len).unwrap_or(u32::MAX))
}

fn schedules(variant: Variant, seeds: std::ops::Range<u64>) -> Result<(u32, u32), String> {
    let (mut served, mut refused) = (0, 0);
    for seed in seeds {
        let mut world = World::new(seed, variant);
        let ended = world.run(Duration::from_secs(40));
        ended.map_err(|error| format!("seed {seed} after {:?}: {error}", world.now))?;
        served += world.served;
        refused += world.refused;
    }
    Ok((served, refused))
}

/// Guards against bounds that each router keeps and the fleet does not, targets that are chosen
/// although the router knows that they left, and fetches from the target itself.
#[test]
fn routers_keep_their_common_bounds() {
    let first = variable("ROUTERS_SEED", 1);
    let seeds = first..first + variable("ROUTERS_SEEDS", 6);
    let (served, refused) =
        schedules(Variant::Sound, seeds).unwrap_or_else(|error| panic!("{error}"));
    println!("{served} served, {refused} refused");
    // Schedules in which hardly anything is served would show nothing.
    assert!(served > refused * 4, "{served} served, {refused} refused");
}

/// Guards against checks that let their faults pass.
#[test]
fn every_check_finds_its_fault() {
    for (variant, expected) in [
        (Variant::Alone, "repeats of"),
        (Variant::NoRemoval, "had left"),
        (Variant::NoZones, "is out"),
    ] {
        let found = (1..=30).any(|seed| {
            let error = schedules(variant, seed..seed + 1).err();
            error.is_some_and(|error| error.contains(expected))
        });
        assert!(found, "{variant:?} was not found");
    }
}
