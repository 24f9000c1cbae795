//! Tests of limits that targets state, in fleets of routers whose demand is above the limits.

mod common;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use common::variable;
use ebonyfall_core::{
    budget::RetryBound,
    code::Code,
    fleet::{FleetPart, FleetShare, ShareBasis},
    id::{Fingerprint, Incarnation},
    limit::{LimitReport, StatedLimit},
    name::{RouteName, ServiceName, TargetName, TeamName},
    notice::Notices,
    outcome::{End, Finished},
    selector::{Criteria, TargetSelector},
    target::{Stage, TargetRecord},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const TICK: Duration = Duration::from_millis(5);
/// Share of targets that state a limit, and the limit relative to the mean demand.
const LIMITED: f64 = 0.7;
const LIMIT_SHARE: f64 = 0.5;
/// Longest time until the head of an answer arrives, and time to its end.
const MAX_HEAD_MS: u64 = 400;
const WHOLE: Duration = Duration::from_millis(1_200);
/// Interval of the routers' reports, their longest delay, and the share of them that is lost.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
const MAX_DELAY_MS: u64 = 1_000;
const LOSS: f64 = 0.2;
/// Time from the first statement on after which the bound holds, and time after which a router that
/// has heard one has to obey it.
const CONTACT: Duration = Duration::from_secs(3);
const HEARD: Duration = Duration::from_millis(500);
/// Bound on the requests in any window: a multiple of what the limit allows, and additional ones.
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

struct Request {
    router: usize,
    target: TargetRecord,
    sent_at: Time,
    head_at: Time,
    has_head: bool,
}

struct Target {
    record: TargetRecord,
    rate: Option<f64>,
    /// When each router first heard the limit.
    heard: Vec<Option<Time>>,
    /// Requests in the last window of routers that have to obey the limit.
    counted: VecDeque<Time>,
    arrivals: u32,
}

struct Fleet {
    rng: SmallRng,
    now: Time,
    routers: Vec<TargetSelector>,
    targets: Vec<Target>,
    running: Vec<Request>,
    /// Reports in transit with their time of arrival and receiver.
    reports: Vec<(Time, usize, TargetRecord, LimitReport)>,
    refused: u32,
    /// Number of contexts that requests have; with few, most demand is for few targets.
    contexts: u64,
    /// Largest relative difference of a statement from the mean.
    wobble: f64,
    service: ServiceName,
    team: TeamName,
    route: RouteName,
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("the count is small"))
}

impl Fleet {
    fn new(routers: u32, targets: u16, demand: f64, seed: u64) -> Self {
        let now = Time::from_millis(1_000_000);
        let bound = RetryBound {
            ratio: 0.2,
            slack: 58.0,
            window: Duration::from_secs(10),
        };
        let service: ServiceName = "s".parse().expect("the literal is a name");
        let targets: Vec<_> = (0..targets)
            .map(|number| Target {
                record: TargetRecord {
                    name: format!("t{number}").parse().expect("it is a name"),
                    service: service.clone(),
                    address: ([127, 0, 0, 1], number + 1).into(),
                    zone: "z".parse().expect("the literal is a name"),
                    version: "v1".into(),
                    slots: 64,
                    stage: Stage::Ready,
                    cold: Duration::ZERO,
                    incarnation: Incarnation::from(1),
                },
                rate: (f64::from(number) < LIMITED * f64::from(targets))
                    .then(|| LIMIT_SHARE * demand / f64::from(targets)),
                heard: vec![None; routers as usize],
                counted: VecDeque::new(),
                arrivals: 0,
            })
            .collect();
        let router = |rank| {
            let mut selector = TargetSelector::new("z".parse().expect("it is a name"), bound);
            for target in &targets {
                selector.put(target.record.clone(), now);
            }
            selector.set_routers(routers);
            selector.set_rank(rank);
            selector
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now,
            routers: (0..routers).map(router).collect(),
            targets,
            running: Vec::new(),
            reports: Vec::new(),
            refused: 0,
            contexts: 1_000,
            wobble: 0.0,
            service,
            team: "desk".parse().expect("the literal is a name"),
            route: "r".parse().expect("the literal is a name"),
        }
    }

    fn run(&mut self, length: Duration, demand: f64) -> Result<(), String> {
        let start = self.now;
        let mut next_report = start;
        while self.now < start + length {
            self.now = self.now + TICK;
            let mut due = demand * TICK.as_secs_f64();
            while due > 0.0 {
                if self.rng.random_bool(due.min(1.0)) {
                    self.arrive(start + CONTACT)?;
                }
                due -= 1.0;
            }
            self.answer();
            if self.now >= next_report {
                next_report = self.now + REPORT_INTERVAL;
                self.exchange_reports();
            }
            self.deliver();
        }
        Ok(())
    }

    fn arrive(&mut self, bound_from: Time) -> Result<(), String> {
        let now = self.now;
        let router = self.rng.random_range(0..self.routers.len());
        let context = self.rng.random_range(0..self.contexts);
        let criteria = Criteria {
            service: &self.service,
            contexts: &[context],
            tried: &[],
            is_retry: false,
            only: None,
            needs_slot: false,
            content: Fingerprint::from(context),
            parts: &[],
            team: &self.team,
        };
        let random = self.rng.random();
        let Ok(choice) = self.routers[router].choose(&criteria, random, now) else {
            self.refused += 1;
            return Ok(());
        };
        let record = choice.target;
        let delay = Duration::from_millis(self.rng.random_range(20..MAX_HEAD_MS));
        let target = &mut self.targets[usize::from(record.address.port()) - 1];
        target.arrivals += 1;
        let obeys = target.heard[router].is_some_and(|at| now.since(at) >= HEARD);
        if let Some(rate) = target.rate.filter(|_| obeys && now >= bound_from) {
            target.counted.push_back(now);
            let old = target
                .counted
                .partition_point(|at| now.since(*at) >= WINDOW);
            target.counted.drain(..old);
            let allowed = FACTOR * rate * WINDOW.as_secs_f64() + SLACK;
            if to_f64(target.counted.len()) > allowed {
                return Err(format!(
                    "{} got {} requests",
                    record.name,
                    target.counted.len()
                ));
            }
        }
        self.running.push(Request {
            router,
            target: record,
            sent_at: now,
            head_at: now + delay,
            has_head: false,
        });
        Ok(())
    }

    fn exchange_reports(&mut self) {
        for sender in 0..self.routers.len() {
            for (target, _, report) in self.routers[sender].limit_reports(self.now) {
                let target = self
                    .targets
                    .iter()
                    .find(|known| known.record.name == target);
                let record = target.expect("the target exists").record.clone();
                for receiver in 0..self.routers.len() {
                    if receiver == sender || self.rng.random_bool(LOSS) {
                        continue;
                    }
                    let delay = Duration::from_millis(self.rng.random_range(0..MAX_DELAY_MS));
                    let late = LimitReport {
                        age: report.age + delay,
                        ..report
                    };
                    self.reports
                        .push((self.now + delay, receiver, record.clone(), late));
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for (_, receiver, target, report) in self.reports.extract_if(.., |(at, ..)| *at <= now) {
            let incarnation = target.incarnation;
            self.routers[receiver].record_limit_report(&target.name, incarnation, report, now);
        }
    }

    /// Delivers heads, with what they state, and ends of answers.
    fn answer(&mut self) {
        let now = self.now;
        for request in &mut self.running {
            if !request.has_head && now >= request.head_at {
                request.has_head = true;
                let target = &mut self.targets[usize::from(request.target.address.port()) - 1];
                let wobble = 1.0 + self.wobble * self.rng.random_range(-1.0..1.0);
                let limit = target
                    .rate
                    .map_or(StatedLimit::None, |rate| StatedLimit::new(rate * wobble));
                if target.rate.is_some() {
                    target.heard[request.router].get_or_insert(now);
                }
                let router = &mut self.routers[request.router];
                let notices = Notices {
                    limit,
                    ..Notices::default()
                };
                router.record_notices(&request.target, &notices, request.sent_at, now);
            }
        }
        let ended = self
            .running
            .extract_if(.., |request| now.since(request.sent_at) >= WHOLE);
        for request in ended {
            let finished = Finished {
                end: End::Served,
                content: Fingerprint::from(0),
                parts: &Arc::from([]),
                sent_at: request.sent_at,
                answer_begun: true,
                team: &self.team,
                route: &self.route,
                timing: None,
            };
            let name: &TargetName = &request.target.name;
            self.routers[request.router].record_end(name, &finished, now);
        }
    }
}

/// Guards against a target that gets more requests than it has stated, because each router sends as
/// much as if there were no limit, or as if it were the only router.
#[test]
fn a_stated_limit_holds_over_all_routers() {
    let seed = variable("LIMITS_SEED", 1);
    for (routers, targets, demand) in [
        (1, 6, 30.0),
        (6, 18, 95.0),
        (24, 44, 250.0),
        (103, 180, 980.0),
    ] {
        let mut fleet = Fleet::new(routers, targets, demand, seed);
        let length = Duration::from_secs(15);
        let result = fleet.run(length, demand);
        let limited = fleet
            .targets
            .iter()
            .filter_map(|target| Some((target, target.rate?)));
        let (used, allowed) = limited.fold((0.0, 0.0), |(used, allowed), (target, rate)| {
            (
                used + f64::from(target.arrivals),
                allowed + rate * length.as_secs_f64(),
            )
        });
        println!(
            "{routers} routers: {:.2} of what the limits allow, {} refused",
            used / allowed,
            fleet.refused
        );
        assert_eq!(result, Ok(()), "{routers} routers, seed {seed}");
    }
}

/// Guards against routers that go on obeying a limit after its end, because the few requests that
/// they may send do not tell them.
#[test]
fn the_end_of_a_limit_reaches_all_routers() {
    let (routers, demand) = (24, 250.0);
    let mut fleet = Fleet::new(routers, 44, demand, variable("LIMITS_SEED", 1));
    fleet
        .run(Duration::from_secs(6), demand)
        .expect("the limits hold");
    for target in &mut fleet.targets {
        target.rate = None;
    }
    fleet
        .run(Duration::from_secs(4), demand)
        .expect("there is no limit");
    let limited = |router: &mut TargetSelector| {
        let targets = router.inspect(fleet.now).targets.into_iter();
        targets
            .filter(|target| target.limit_per_s.is_some())
            .count()
    };
    let still_limited: usize = fleet.routers.iter_mut().map(limited).sum();
    // A report may be lost; the target's own answers tell the router later.
    assert!(
        still_limited < 24 * 31 / 4,
        "{still_limited} of {}",
        24 * 31
    );
}

/// Guards against a target that gets more than it takes because its limit changes with each answer,
/// which moves the routers' turns each time.
#[test]
fn a_limit_that_changes_with_each_answer_holds() {
    for routers in [1, 6, 24] {
        let demand = 95.0;
        let mut fleet = Fleet::new(routers, 18, demand, variable("LIMITS_SEED", 1));
        fleet.wobble = 0.2;
        let result = fleet.run(Duration::from_secs(15), demand);
        assert_eq!(result, Ok(()), "{routers} routers");
    }
}

/// Guards against a target that all routers prefer at once, each within a share of its own: one
/// context has all requests.
#[test]
fn a_limit_holds_at_the_home_of_a_hot_context() {
    for (routers, demand) in [(6, 95.0), (24, 250.0), (103, 980.0)] {
        let mut fleet = Fleet::new(routers, 18, demand, variable("LIMITS_SEED", 1));
        fleet.contexts = 1;
        for target in &mut fleet.targets {
            target.rate = target.rate.map(|_| 2.5);
        }
        let result = fleet.run(Duration::from_secs(15), demand);
        assert_eq!(result, Ok(()), "{routers} routers");
    }
}

/// Guards against a router that starts and sends to a target that states a limit, before it knows with
/// whom it shares that.
#[test]
fn a_router_without_a_part_sends_nothing_to_a_limited_target() {
    let mut fleet = Fleet::new(2, 2, 10.0, 1);
    let now = fleet.now;
    let targets: Vec<_> = fleet
        .targets
        .iter()
        .map(|target| target.record.clone())
        .collect();
    let criteria = Criteria {
        service: &fleet.service,
        contexts: &[],
        tried: &[],
        is_retry: false,
        only: None,
        needs_slot: false,
        content: Fingerprint::from(1),
        parts: &[],
        team: &fleet.team,
    };
    let router = &mut fleet.routers[0];
    let part = FleetPart {
        share: Some(FleetShare::settled(2)),
        rank: Some(0),
        basis: ShareBasis::Roster,
    };
    let limit = |rate| Notices {
        limit: StatedLimit::new(rate),
        ..Notices::default()
    };
    router.await_fleet(now);
    router.record_notices(&targets[0], &limit(1_000.0), now, now);
    for _ in 0..20 {
        let choice = router.choose(&criteria, 0.5, now).expect("one is free");
        assert_eq!(choice.target.name, targets[1].name);
    }
    router.record_notices(&targets[1], &limit(1_000.0), now, now);
    let refusal = router
        .choose(&criteria, 0.5, now)
        .expect_err("both limited");
    assert_eq!(refusal.code, Code::NoTarget);
    assert!(refusal.after <= Duration::from_secs(1), "{refusal:?}");
    router.set_fleet(part, now);
    let later = now + Duration::from_millis(100);
    router.choose(&criteria, 0.5, later).expect("it has a part");
}
