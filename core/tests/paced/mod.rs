//! A service whose targets leave, return cold and answer at different speeds, and the routers that
//! send to it, on a fake clock.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use ebonyfall_core::{
    budget::RetryBound,
    direct::Failure,
    fleet::{Fleet, RosterEntry},
    id::{Fingerprint, Incarnation},
    membership::KnownRouter,
    name::{ProcessName, RouteName, ServiceName, TargetName, TeamName, ZoneName},
    outcome::{End, Finished},
    pace::PaceChange,
    reports::OpenReport,
    selector::{Criteria, TargetSelector},
    target::{ReportedLoad, Stage, TargetRecord},
    time::Time,
    timing::Timing,
    trace::TraceEvent,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const TARGETS: u16 = 9;
const ZONES: u16 = 3;
const SLOTS: u32 = 64;
const CONTEXTS: u64 = 1_500;
/// Requests per second of all routers together, each of which takes a second at usual speed.
const REQUESTS_PER_S: f64 = 270.0;
/// Time in which a request has to be answered.
const OBJECTIVE: Duration = Duration::from_millis(2_500);
const STEP: Duration = Duration::from_millis(5);
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Rate of a cold target, in requests per second, and the time for which it is cold.
pub const COLD_RATE: f64 = 10.0;
pub const COLD_TIME: Duration = Duration::from_secs(3);
/// Requests that a cold target stands in any second.
pub const COLD_LIMIT: usize = 20;
/// Slowness of a cold target. After that time it falls to the usual value within as long again.
const COLD_SLOWNESS: f64 = 3.0;

/// What differs between the runs.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    pub routers: u32,
    /// Share of the reports between routers that is lost, and their longest delay in milliseconds.
    pub loss: f64,
    pub delay_ms: u64,
}

pub struct Target {
    pub record: TargetRecord,
    pub is_up: bool,
    /// Slowness besides that of a cold start.
    pub slowness: f64,
    /// Slowness that the target states with its answers.
    pub stated: Option<f64>,
    pub running: u32,
    started_at: Time,
    cold_until: Time,
    cold_sent: VecDeque<Time>,
}

struct Running {
    router: usize,
    target: usize,
    incarnation: Incarnation,
    context: Option<u64>,
    sent_at: Time,
    arrived_at: Time,
    /// Seconds of work that are left, at usual speed.
    left: f64,
}

struct Router {
    fleet: Fleet,
    selector: TargetSelector,
    store: VecDeque<(Time, Option<TargetRecord>, TargetName)>,
    reports: Vec<(Time, usize, OpenReport)>,
}

/// Counts since the last reset.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    pub sent: u32,
    pub in_time: u32,
    pub refused: u32,
    /// Requests sent to a target above twice the mean load plus three.
    pub over_bound: u32,
    /// The same by the loads that the sending router knew.
    pub over_known: u32,
    /// Most requests that a cold target got within a second.
    pub cold_peak: usize,
}

pub struct World {
    pub now: Time,
    pub targets: Vec<Target>,
    pub counts: Counts,
    /// Target of the last request of each context.
    pub placed: Vec<Option<usize>>,
    pub states_load: bool,
    conditions: Conditions,
    rng: SmallRng,
    routers: Vec<Router>,
    running: Vec<Running>,
    next_report: Time,
    due: f64,
    team: TeamName,
    route: RouteName,
    service: ServiceName,
}

impl Router {
    fn update_fleet(&mut self, now: Time) {
        let part = self.fleet.part(now);
        self.selector.set_fleet(part, now);
    }
}

fn zone(number: u16) -> ZoneName {
    format!("z{number}").parse().expect("it is a name")
}

fn process(number: usize) -> ProcessName {
    format!("r{number}").parse().expect("it is a name")
}

impl World {
    pub fn new(seed: u64, conditions: Conditions) -> Self {
        let now = Time::from_millis(1_000_000);
        let service: ServiceName = "s".parse().expect("the literal is a name");
        let targets = (0..TARGETS).map(|number| Target {
            record: TargetRecord {
                name: format!("t{number}").parse().expect("it is a name"),
                service: service.clone(),
                address: ([127, 0, 0, 1], number + 1).into(),
                zone: zone(number % ZONES),
                version: "v1".into(),
                slots: SLOTS,
                stage: Stage::Ready,
                cold: Duration::ZERO,
                incarnation: Incarnation::from(1),
            },
            is_up: true,
            slowness: 1.0,
            stated: None,
            running: 0,
            started_at: Time::ZERO,
            cold_until: now,
            cold_sent: VecDeque::new(),
        });
        let mut world = Self {
            now,
            targets: targets.collect(),
            counts: Counts::default(),
            placed: vec![None; usize::try_from(CONTEXTS).expect("contexts are few")],
            states_load: true,
            conditions,
            rng: SmallRng::seed_from_u64(seed),
            routers: Vec::new(),
            running: Vec::new(),
            next_report: now,
            due: 0.0,
            team: "desk".parse().expect("the literal is a name"),
            route: "r".parse().expect("the literal is a name"),
            service,
        };
        world.routers = (0..conditions.routers)
            .map(|rank| world.router(rank))
            .collect();
        world
    }

    /// A router that has started and read the whole store.
    fn router(&self, rank: u32) -> Router {
        let bound = RetryBound {
            ratio: 0.2,
            slack: 1_000.0,
            window: Duration::from_secs(10),
        };
        let own_zone = u16::try_from(rank).expect("routers are few") % ZONES;
        let mut selector = TargetSelector::new(zone(own_zone), bound);
        let fleet = self.fleet(rank);
        selector.set_cold_rates([(self.service.clone(), COLD_RATE)].into());
        let up = self.targets.iter().filter(|target| target.is_up);
        for target in up.clone() {
            let mut record = target.record.clone();
            record.cold = target.cold_until.since(self.now);
            selector.put(record, self.now);
        }
        let listed = up.map(|target| target.record.name.clone()).collect();
        selector.retain(&listed, self.now);
        let mut router = Router {
            fleet,
            selector,
            store: VecDeque::new(),
            reports: Vec::new(),
        };
        router.update_fleet(self.now);
        // Tests of the trace start with an empty one.
        router.selector.take_trace(self.now);
        router
    }

    /// What a router that starts again knows of the others: their records in the roster.
    fn fleet(&self, rank: u32) -> Fleet {
        let started = Duration::from_secs(1_000_000);
        let name = |rank| process(usize::try_from(rank).expect("routers are few"));
        let mut fleet = Fleet::new(name(rank), self.now, started);
        let before = started.saturating_sub(Duration::from_secs(10));
        let roster = (0..self.conditions.routers).map(|rank| RosterEntry {
            name: name(rank),
            started: before,
            written: before,
        });
        fleet.record_first_list(&roster.collect::<Vec<_>>(), false);
        fleet
    }

    /// Replaces a router by one that knows only the store.
    pub fn restart_router(&mut self, number: usize) {
        let ended = self
            .running
            .extract_if(.., |running| running.router == number);
        for running in ended {
            self.targets[running.target].running -= 1;
        }
        let rank = u32::try_from(number).expect("routers are few");
        self.routers[number] = self.router(rank);
    }

    pub fn selector(&mut self, router: usize) -> &mut TargetSelector {
        &mut self.routers[router].selector
    }

    /// Lets a router lose sight of all others, which its membership table keeps.
    pub fn isolate(&mut self, number: usize) {
        let now = self.now;
        let others = 0..self.routers.len();
        let others = others.map(|number| KnownRouter {
            name: process(number),
            has_left: false,
        });
        let others: Vec<_> = others.collect();
        let router = &mut self.routers[number];
        router.fleet.record_members(&others, true, now);
        router.selector.set_live_routers(1, 0, now);
        router.update_fleet(now);
    }

    /// Replaces a router by one that reaches neither the roster nor another router.
    pub fn start_alone(&mut self, number: usize) {
        self.restart_router(number);
        let now = self.now;
        let started = Duration::from_secs(1_000_000);
        let router = &mut self.routers[number];
        router.fleet = Fleet::new(process(number), now, started);
        router.fleet.record_members(&[], true, now);
        router.selector.set_live_routers(1, 0, now);
        router.update_fleet(now);
    }

    /// Sets the clock of a router.
    pub fn set_clock(&mut self, number: usize, offset: Duration) {
        self.routers[number].selector.set_unix_offset(offset);
    }

    /// Stops a target; its requests break, and its record disappears if `is_known`.
    pub fn stop(&mut self, number: usize, is_known: bool) {
        self.targets[number].is_up = false;
        if is_known {
            self.write(None, number);
        }
    }

    /// Starts a target again, cold.
    pub fn start(&mut self, number: usize) {
        let now = self.now;
        let target = &mut self.targets[number];
        let incarnation = u64::from(target.record.incarnation) + 1;
        target.record.incarnation = Incarnation::from(incarnation);
        target.record.cold = COLD_TIME;
        (target.is_up, target.started_at) = (true, now);
        (target.running, target.cold_until) = (0, now + COLD_TIME);
        target.cold_sent.clear();
        let record = target.record.clone();
        self.write(Some(record), number);
    }

    fn write(&mut self, record: Option<TargetRecord>, number: usize) {
        let name = self.targets[number].record.name.clone();
        for router in &mut self.routers {
            let at = self.now + Duration::from_millis(self.rng.random_range(1..100));
            let at = router.store.back().map_or(at, |(last, ..)| at.max(*last));
            router.store.push_back((at, record.clone(), name.clone()));
        }
    }

    /// Changes that the routers have traced since the last call, of a target.
    pub fn pace_changes(&mut self, number: usize) -> Vec<PaceChange> {
        let name = &self.targets[number].record.name;
        let routers = self.routers.iter_mut();
        let events = routers.flat_map(|router| router.selector.take_trace(self.now));
        let changes = events.filter_map(|event| match event {
            TraceEvent::Pace { target, change, .. } if target == *name => Some(change),
            _ => None,
        });
        changes.collect()
    }

    /// Slowness that each router estimates of each target.
    pub fn slowness(&mut self) -> Vec<f64> {
        let now = self.now;
        let routers = self.routers.iter_mut();
        let targets = routers.flat_map(|router| router.selector.inspect(now).targets);
        targets.map(|target| target.slowness).collect()
    }

    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + STEP;
            self.exchange();
            self.deliver();
            self.work();
            self.due += REQUESTS_PER_S * STEP.as_secs_f64();
            while self.due >= 1.0 {
                self.due -= 1.0;
                let router = self.rng.random_range(0..self.routers.len());
                let context = self.rng.random_range(0..2 * CONTEXTS);
                let context = (context < CONTEXTS).then_some(context);
                self.send(router, context, self.now, &[]);
            }
        }
    }

    /// Runs for `length` and returns the mean load of the `chosen` targets in its last second, as a
    /// multiple of the mean load of all others. The load of a moment varies by a third.
    pub fn run_and_compare(&mut self, length: Duration, chosen: &[usize]) -> f64 {
        const SAMPLES: u32 = 20;
        let second = Duration::from_secs(1);
        self.run(length.saturating_sub(second));
        let (mut own, mut others) = ((0, 0), (0, 0));
        for _ in 0..SAMPLES {
            self.run(second / SAMPLES);
            for (number, target) in self.targets.iter().enumerate() {
                let sum = if chosen.contains(&number) {
                    &mut own
                } else {
                    &mut others
                };
                *sum = (sum.0 + target.running, sum.1 + 1);
            }
        }
        let mean = |(sum, count): (u32, u32)| f64::from(sum) / f64::from(count);
        mean(own) / mean(others)
    }

    fn exchange(&mut self) {
        if self.now < self.next_report {
            return;
        }
        self.next_report = self.now + REPORT_INTERVAL;
        for router in &mut self.routers {
            router.update_fleet(self.now);
        }
        for from in 0..self.routers.len() {
            let report = self.routers[from].selector.next_report();
            for to in (0..self.routers.len()).filter(|to| *to != from) {
                let delay = self.rng.random_range(1..=self.conditions.delay_ms);
                if !self.rng.random_bool(self.conditions.loss) {
                    let at = self.now + Duration::from_millis(delay);
                    self.routers[to].reports.push((at, from, report.clone()));
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for router in &mut self.routers {
            for (_, from, report) in router.reports.extract_if(.., |(at, ..)| *at <= now) {
                router.selector.record_report(&process(from), &report, now);
            }
            while router.store.front().is_some_and(|(at, ..)| *at <= now) {
                match router.store.pop_front() {
                    Some((_, Some(record), _)) => router.selector.put(record, now),
                    Some((_, None, name)) => router.selector.remove(&name, now),
                    None => {}
                }
            }
        }
    }

    /// Lets the targets work for a step and ends the requests that are done.
    fn work(&mut self) {
        let now = self.now;
        let speeds: Vec<_> = self
            .targets
            .iter()
            .map(|target| target.speed(now))
            .collect();
        let mut ended = Vec::new();
        for mut running in std::mem::take(&mut self.running) {
            let target = &self.targets[running.target];
            let is_lost = !target.is_up || target.record.incarnation != running.incarnation;
            running.left -= STEP.as_secs_f64() * speeds[running.target];
            if is_lost {
                ended.push((running, End::Failed(Failure::Broken)));
            } else if running.left <= 0.0 {
                ended.push((running, End::Served));
            } else {
                self.running.push(running);
            }
        }
        for (running, end) in ended {
            self.end(&running, end);
        }
    }

    fn end(&mut self, running: &Running, end: End) {
        let now = self.now;
        let target = &mut self.targets[running.target];
        if target.record.incarnation == running.incarnation {
            target.running -= 1;
        }
        let name = target.record.name.clone();
        let load = ReportedLoad {
            running: target.running,
            slots: Some(SLOTS),
            slowness: target.stated,
            ..ReportedLoad::default()
        };
        self.record(running.router, &name, end, running.sent_at);
        if end == End::Served {
            let in_time = now.since(running.arrived_at) <= OBJECTIVE;
            self.counts.in_time += u32::from(in_time);
            if self.states_load {
                let selector = &mut self.routers[running.router].selector;
                selector.record_load(&name, load, now);
            }
        } else {
            let context = running.context;
            self.send(running.router, context, running.arrived_at, &[name]);
        }
    }

    fn record(&mut self, router: usize, name: &TargetName, end: End, sent_at: Time) {
        let took = self.now.since(sent_at);
        let finished = Finished {
            end,
            content: Fingerprint::from(sent_at.micros()),
            parts: &Arc::from([]),
            sent_at,
            answer_begun: end == End::Served,
            team: &self.team,
            route: &self.route,
            timing: (end == End::Served).then_some(Timing::Whole(took)),
        };
        let selector = &mut self.routers[router].selector;
        selector.record_end(name, &finished, self.now);
    }

    fn send(
        &mut self,
        router: usize,
        context: Option<u64>,
        arrived_at: Time,
        tried: &[TargetName],
    ) {
        let now = self.now;
        self.counts.sent += u32::from(tried.is_empty());
        let contexts: Vec<_> = context
            .into_iter()
            .map(|context| 10_000 + context)
            .collect();
        let criteria = Criteria {
            service: &self.service,
            contexts: &contexts,
            tried,
            is_retry: false,
            only: None,
            needs_slot: false,
            content: Fingerprint::from(now.micros()),
            parts: &[],
            team: &self.team,
        };
        let random = self.rng.random();
        let selector = &mut self.routers[router].selector;
        let Ok(choice) = selector.choose(&criteria, random, now) else {
            self.counts.refused += 1;
            return;
        };
        let is_over = choice.load + 1.0 > 2.0 * choice.mean + 3.0;
        self.counts.over_known += u32::from(is_over);
        let name = choice.target.name;
        let mut targets = self.targets.iter();
        let number = targets.position(|target| target.record.name == name);
        let number = number.expect("only known targets are chosen");
        if !self.targets[number].is_up {
            let sent_to: Vec<_> = tried.iter().cloned().chain([name.clone()]).collect();
            self.record(router, &name, End::Failed(Failure::NotSent), now);
            self.send(router, context, arrived_at, &sent_to);
            return;
        }
        self.check_bounds(number);
        if let Some(context) = context {
            let context = usize::try_from(context).expect("contexts are few");
            self.placed[context] = Some(number);
        }
        let target = &mut self.targets[number];
        target.running += 1;
        self.running.push(Running {
            router,
            target: number,
            incarnation: target.record.incarnation,
            context,
            sent_at: now,
            arrived_at,
            left: self.rng.random_range(0.8..1.2),
        });
    }

    /// Counts what the hard limits of the fleet allow, before a request is added to a target.
    fn check_bounds(&mut self, number: usize) {
        let now = self.now;
        let up = self.targets.iter().filter(|target| target.is_up);
        let sum: u32 = up.clone().map(|target| target.running).sum();
        let mean = f64::from(sum) / f64::from(u32::try_from(up.count()).expect("targets are few"));
        let target = &mut self.targets[number];
        let over = f64::from(target.running + 1) > 2.0 * mean + 3.0;
        self.counts.over_bound += u32::from(over);
        if now < target.cold_until {
            target.cold_sent.push_back(now);
            let second = Duration::from_secs(1);
            let old = target
                .cold_sent
                .partition_point(|at| now.since(*at) >= second);
            target.cold_sent.drain(..old);
            self.counts.cold_peak = self.counts.cold_peak.max(target.cold_sent.len());
        }
    }
}

impl Target {
    /// Seconds of work that each request gets done in a second.
    fn speed(&self, now: Time) -> f64 {
        let age = now.since(self.started_at).as_secs_f64() / COLD_TIME.as_secs_f64();
        let warming = 1.0 + (COLD_SLOWNESS - 1.0) * (2.0 - age).clamp(0.0, 1.0);
        let waiting = f64::from(self.running.max(SLOTS)) / f64::from(SLOTS);
        1.0 / (self.slowness * warming * waiting)
    }
}
