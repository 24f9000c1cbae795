//! Tests of several routers that share targets, in seeded random schedules: reports are delayed,
//! lost and reordered, routers restart, targets leave, crash, return cold and fail, and zones go
//! out and return. The checks count, over all routers, what the fleet's bounds limit.

mod common;

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use common::variable;
use ebonyfall_core::{
    budget::RetryBound,
    code::Code,
    direct::Failure,
    id::{Fingerprint, Incarnation},
    name::{ProcessName, RouteName, ServiceName, TargetName, TeamName, ZoneName},
    outcome::{End, Finished},
    reports::OpenReport,
    selector::{Criteria, TargetSelector},
    target::{Stage, TargetRecord},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ROUTERS: u32 = 4;
const TARGETS: u16 = 9;
const ZONES: u16 = 3;
/// Maximum number of retries of a request.
const MAX_RETRIES: usize = 2;
/// Interval of a router's reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum delay of a report or of a record from the store.
const MAX_DELAY_MS: u64 = 1_000;
/// Rate of a cold target, in requests per second, and the time for which it stays cold.
const COLD_RATE_AND_TIME: (u32, Duration) = (10, Duration::from_secs(3));
/// Bound on requests to a cold target in any second: a multiple of its rate, and additional
/// requests.
const COLD_FACTOR_AND_SLACK: (f64, f64) = (1.5, 5.0);
/// Retry budget of the fleet. The slack is as large as the ratio's part, so that routers that do not
/// share it exceed the bound.
const RETRY_BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 400.0,
    window: Duration::from_secs(10),
};

/// Fault injected into a schedule, which a check must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Routers do not know of each other, so that each uses the whole retry budget. Each still keeps
    /// to its share of the cold rate.
    UnsharedBudget,
    /// Routers do not know of each other, so that each uses the whole cold rate.
    UnsharedColdRate,
    /// Routers ignore that targets leave.
    NoRemoval,
    /// Routers ignore that zones go out.
    NoEvacuation,
}

/// Message in transit to a router.
#[derive(Debug, Clone)]
enum Message {
    Report(usize, OpenReport),
    Put(TargetRecord),
    Remove(TargetName),
    Evacuated(HashSet<ZoneName>),
}

/// A router, and what it has been told so far.
struct Router {
    selector: TargetSelector,
    /// Targets that the router knows to have left.
    gone: HashSet<TargetName>,
    /// Zones that the router knows to be out.
    out: HashSet<ZoneName>,
    /// Messages from the store with their time of arrival, delivered in order.
    store: VecDeque<(Time, Message)>,
    /// Reports of other routers with their time of arrival, delivered in any order.
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
    fault: Fault,
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

fn record(number: u16, incarnation: u64, cold: Duration) -> TargetRecord {
    TargetRecord {
        name: format!("t{number}").parse().expect("it is a name"),
        service: service(),
        address: ([127, 0, 0, 1], number + 1).into(),
        zone: zone(number % ZONES),
        version: "v1".into(),
        slots: 16,
        stage: Stage::Ready,
        cold,
        incarnation: Incarnation::from(incarnation),
    }
}

impl World {
    fn new(seed: u64, fault: Fault) -> Self {
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
            fault,
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

    /// A router that has started and read the whole store.
    fn router(&self) -> Router {
        let mut selector = TargetSelector::new(zone(0), RETRY_BOUND);
        for target in self.targets.values() {
            let mut record = target.record.clone();
            record.cold = target.cold_until.since(self.now);
            selector.put(record, self.now);
        }
        let listed = self.targets.keys().cloned().collect();
        selector.retain(&listed, self.now);
        let mut cold_rate = f64::from(COLD_RATE_AND_TIME.0);
        match self.fault {
            Fault::UnsharedBudget => cold_rate /= f64::from(ROUTERS),
            Fault::UnsharedColdRate => {}
            Fault::None | Fault::NoRemoval | Fault::NoEvacuation => selector.set_routers(ROUTERS),
        }
        selector.set_cold_rates([(service(), cold_rate)].into());
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
                1..4 => self.add_or_remove_target(),
                4..6 => self.toggle_zone(),
                6..14 => self.change_failing(),
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

    /// Random time of arrival of a message that is sent now.
    fn arrival(&mut self) -> Time {
        self.now + Duration::from_millis(self.rng.random_range(1..MAX_DELAY_MS))
    }

    /// Sends a record of the store to every router, after the records before it.
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

    /// Removes a target, or adds an absent one, cold and as a new incarnation.
    fn add_or_remove_target(&mut self) {
        let number = self.rng.random_range(0..TARGETS);
        let old = record(number, 0, Duration::ZERO);
        let Some(target) = self.targets.get(&old.name) else {
            let incarnation = self.rng.random_range(2..u64::MAX);
            let record = record(number, incarnation, COLD_RATE_AND_TIME.1);
            let target = Target {
                record: record.clone(),
                fails: false,
                cold_until: self.now + COLD_RATE_AND_TIME.1,
                cold: VecDeque::new(),
            };
            self.targets.insert(record.name.clone(), target);
            self.write(&Message::Put(record));
            return;
        };
        // Keeps enough targets to serve most requests.
        if self.targets.len() > usize::from(TARGETS) / 2 {
            let name = target.record.name.clone();
            self.targets.remove(&name);
            self.write(&Message::Remove(name));
        }
    }

    fn toggle_zone(&mut self) {
        if self.out.is_empty() {
            self.out.insert(zone(self.rng.random_range(0..ZONES)));
        } else {
            self.out.clear();
        }
        let out = self.out.clone();
        self.write(&Message::Evacuated(out));
    }

    fn change_failing(&mut self) {
        let number = self.rng.random_range(0..TARGETS);
        let name = record(number, 0, Duration::ZERO).name;
        let fails = self.rng.random_bool(0.4);
        if let Some(target) = self.targets.get_mut(&name) {
            target.fails = fails;
        }
    }

    /// Sends the reports of all routers to each other; one in five is lost.
    fn exchange(&mut self) {
        if self.now < self.next_report {
            return;
        }
        self.next_report = self.now + REPORT_INTERVAL;
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
                router.apply(message, self.fault, now);
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
                parts: &Arc::from([]),
                sent_at: now,
                answer_begun: end == End::Served,
                team: &team,
                route: &route,
                timing: None,
            };
            let selector = &mut self.routers[running.router].selector;
            selector.record_end(&running.target, &finished, now);
            if end == End::Served {
                self.served += 1;
            } else if running.tried.len() <= MAX_RETRIES {
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
            is_retry: !tried.is_empty(),
            only: None,
            needs_slot: false,
            content: Fingerprint::from(content),
            parts: &[],
            team: &"desk".parse().expect("the literal is a name"),
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
        self.check_retry_budget(tried.is_empty())?;
        self.check_cold_rate(&record)?;
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

    /// Counts an attempt and checks the retry budget of the fleet over the last window.
    fn check_retry_budget(&mut self, first: bool) -> Result<(), String> {
        let now = self.now;
        let counts = if first {
            &mut self.firsts
        } else {
            &mut self.repeats
        };
        counts.push_back(now);
        for counts in [&mut self.firsts, &mut self.repeats] {
            let old = counts.partition_point(|at| now.since(*at) >= RETRY_BOUND.window);
            counts.drain(..old);
        }
        let (firsts, repeats) = (to_f64(self.firsts.len()), to_f64(self.repeats.len()));
        let allowed = RETRY_BOUND.ratio * firsts + RETRY_BOUND.slack;
        if repeats > allowed {
            return Err(format!("{repeats} repeats of {firsts} requests"));
        }
        Ok(())
    }

    /// Counts a request to a cold target and checks its rate from all routers over the last second.
    fn check_cold_rate(&mut self, record: &TargetRecord) -> Result<(), String> {
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
        let (over, slack) = COLD_FACTOR_AND_SLACK;
        let got = to_f64(target.cold.len());
        if got > over * f64::from(COLD_RATE_AND_TIME.0) + slack {
            return Err(format!("{got} requests in a second to a cold target"));
        }
        Ok(())
    }
}

impl Router {
    fn apply(&mut self, message: Message, fault: Fault, now: Time) {
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
                if fault != Fault::NoRemoval {
                    self.selector.remove(&name, now);
                }
                self.gone.insert(name);
            }
            Message::Evacuated(zones) => {
                if fault != Fault::NoEvacuation {
                    self.selector.set_evacuated(zones.clone());
                }
                self.out = zones;
            }
        }
    }
}

fn to_f64(len: usize) -> f64 {
    f64::from(u32::try_from(len).unwrap_or(u32::MAX))
}

fn run_schedules(fault: Fault, seeds: std::ops::Range<u64>) -> Result<(u32, u32), String> {
    let (mut served, mut refused) = (0, 0);
    for seed in seeds {
        let mut world = World::new(seed, fault);
        let ended = world.run(Duration::from_secs(40));
        ended.map_err(|error| format!("seed {seed} after {:?}: {error}", world.now))?;
        served += world.served;
        refused += world.refused;
    }
    Ok((served, refused))
}

/// Guards against bounds that each router keeps but all together exceed, targets that a router
/// chooses although it knows that they left, and targets that fetch a context from themselves.
#[test]
fn routers_together_stay_within_the_bounds_of_the_fleet() {
    let first = variable("ROUTERS_SEED", 1);
    let seeds = first..first + variable("ROUTERS_SEEDS", 6);
    let (served, refused) =
        run_schedules(Fault::None, seeds).unwrap_or_else(|error| panic!("{error}"));
    println!("{served} served, {refused} refused");
    // If few requests were served, the checks above would have had little to detect.
    assert!(served > refused * 4, "{served} served, {refused} refused");
}

/// Guards against checks that do not detect the faults they are meant for.
#[test]
fn every_check_detects_its_fault() {
    for (fault, expected) in [
        (Fault::UnsharedBudget, "repeats of"),
        (Fault::UnsharedColdRate, "to a cold target"),
        (Fault::NoRemoval, "had left"),
        (Fault::NoEvacuation, "is out"),
    ] {
        let found = (1..=30).any(|seed| {
            let error = run_schedules(fault, seed..seed + 1).err();
            error.is_some_and(|error| error.contains(expected))
        });
        assert!(found, "{fault:?} was not found");
    }
}
