//! Version moves by routers that restart: in series, all at once, and with late gossip. What a
//! router that has started knows of the move comes from the others' gossip items alone.

mod common;

use std::{collections::HashSet, sync::Arc, time::Duration};

use common::variable;
use ebonyfall_core::{
    budget::RetryBound,
    changeover::{MoveOrder, MoveProgress, RouterRun},
    direct::Failure,
    dissemination::{Item, ItemKey, ItemStore, MoveDecision, Value},
    id::{Era, Fingerprint, Incarnation, Offset},
    moves::VersionCounts,
    name::{ProcessName, RouteName, ServiceName, TargetName, TeamName, ZoneName},
    outcome::{End, Finished},
    selector::{Criteria, TargetSelector},
    target::{Stage, TargetRecord},
    time::Time,
    timing::Timing,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const STEP: Duration = Duration::from_millis(5);
/// Interval of a router's reports, and the number of others to which it sends its items each time.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
const FANOUT: usize = 3;
/// Share of the messages that is lost.
const LOSS: f64 = 0.1;
/// Time from the end of a router to its next start.
const DOWN: Duration = Duration::from_millis(400);
/// Time limit of the move.
const WITHIN: Duration = Duration::from_secs(12);
/// Maximum share of all requests that a bad version may get, and requests beyond it.
const MAX_BAD_SHARE: f64 = 0.1;
const EXTRA_BAD_REQUESTS: f64 = 50.0;
/// Bad answers and time after which a bad version may get no request.
const ROLLBACK_BAD_ANSWERS: usize = 50;
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after its start from which the bounds hold for what a router sends.
const CONTACT: Duration = Duration::from_secs(3);

/// Number of routers, and requests per second.
const FLEETS: [(usize, f64); 3] = [(6, 60.0), (26, 100.0), (103, 400.0)];

/// When routers restart.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Restarts {
    /// One after the other, with this time between two of them.
    InSeries(Duration),
    /// All at once, this long after the order.
    AtOnce(Duration),
    /// All at once, again and again at this interval.
    AllEvery(Duration),
}

#[derive(Debug, Clone, Copy)]
struct Case {
    routers: usize,
    per_second: f64,
    /// Share of the new version's answers that fail.
    failing: f64,
    restarts: Restarts,
    /// Longest delay of a message between routers.
    max_delay_ms: u64,
}

struct Router {
    name: ProcessName,
    incarnation: Incarnation,
    selector: TargetSelector,
    items: ItemStore,
    inbox: Vec<(Time, Vec<Item>)>,
    started_at: Time,
    is_up: bool,
}

struct Running {
    router: usize,
    incarnation: Incarnation,
    target: TargetName,
    until: Time,
    end: End,
    is_new: bool,
    route: usize,
    took: Duration,
}

struct World {
    case: Case,
    rng: SmallRng,
    start: Time,
    now: Time,
    routers: Vec<Router>,
    running: Vec<Running>,
    published: Option<MoveProgress>,
    /// Requests within the time limit of the move.
    requests: u32,
    /// Answers of the new version that routers have counted.
    answered: u64,
    /// Requests to the new version: time, whether it failed, and whether the router was in touch.
    new: Vec<(Time, bool, bool)>,
}

fn service() -> ServiceName {
    "s".parse().expect("the literal is a name")
}

fn order() -> MoveOrder {
    MoveOrder {
        service: service(),
        version: "v2".into(),
        within: WITHIN,
        offset: Offset::from(7),
        era: Era::from(1),
    }
}

/// Record of a target; targets below 6 run the old version.
fn record(target: u16) -> TargetRecord {
    TargetRecord {
        name: format!("t{target}").parse().expect("it is a name"),
        service: service(),
        address: ([127, 0, 0, 1], target + 1).into(),
        zone: ZoneName::new("z").expect("the literal is a name"),
        version: if target < 6 { "v1" } else { "v2" }.into(),
        slots: 8,
        stage: Stage::Ready,
        cold: Duration::ZERO,
        incarnation: Incarnation::from(1),
    }
}

impl World {
    fn new(case: Case, seed: u64) -> Self {
        let now = Time::from_millis(1_000_000);
        let mut world = Self {
            case,
            rng: SmallRng::seed_from_u64(seed),
            start: now,
            now,
            routers: Vec::new(),
            running: Vec::new(),
            published: None,
            requests: 0,
            answered: 0,
            new: Vec::new(),
        };
        world.routers = (0..case.routers)
            .map(|number| Router {
                started_at: now.before(CONTACT),
                ..world.router(number)
            })
            .collect();
        world
    }

    /// A router that has started and read the whole store.
    fn router(&self, number: usize) -> Router {
        let bound = RetryBound {
            ratio: 0.2,
            slack: 58.0,
            window: Duration::from_secs(10),
        };
        let mut selector =
            TargetSelector::new(ZoneName::new("z").expect("the literal is a name"), bound);
        for target in 0..12 {
            selector.put(record(target), self.now);
        }
        let listed: HashSet<_> = (0..12).map(|target| record(target).name).collect();
        selector.retain(&listed, self.now);
        let count = |count| u32::try_from(count).expect("routers are few");
        selector.set_routers(count(self.case.routers));
        selector.set_rank(count(number));
        selector.set_moves(vec![order()], self.now);
        if let Some(progress) = self.published {
            selector.record_move_progress(&order(), progress);
        }
        Router {
            name: format!("r{number}").parse().expect("it is a name"),
            incarnation: Incarnation::from(self.now.micros()),
            selector,
            items: ItemStore::default(),
            inbox: Vec::new(),
            started_at: self.now,
            is_up: true,
        }
    }

    fn unix(&self) -> u64 {
        self.now.millis() / 1_000
    }

    fn run(&mut self) {
        let end = self.start + WITHIN + Duration::from_secs(6);
        let mut next_report = self.start;
        let mut next_restart = match self.case.restarts {
            Restarts::InSeries(interval) | Restarts::AllEvery(interval) => self.start + interval,
            Restarts::AtOnce(after) => self.start + after,
        };
        let mut turn = 0;
        while self.now < end {
            self.now = self.now + STEP;
            if self.now >= next_restart {
                match self.case.restarts {
                    Restarts::InSeries(interval) => {
                        self.stop(turn % self.case.routers);
                        turn += 1;
                        next_restart = next_restart + interval;
                    }
                    Restarts::AllEvery(interval) => {
                        (0..self.case.routers).for_each(|number| self.stop(number));
                        next_restart = next_restart + interval;
                    }
                    Restarts::AtOnce(_) => {
                        (0..self.case.routers).for_each(|number| self.stop(number));
                        next_restart = end;
                    }
                }
            }
            self.start_routers();
            self.finish();
            let per_step = self.case.per_second * STEP.as_secs_f64();
            // The rates of all cases are below one request in a millisecond.
            for _ in 0..5 {
                if self.rng.random_bool(per_step / 5.0) {
                    self.request();
                }
            }
            if self.now >= next_report {
                next_report = self.now + REPORT_INTERVAL;
                for number in 0..self.case.routers {
                    self.report(number);
                }
            }
            self.deliver();
        }
    }

    fn stop(&mut self, number: usize) {
        self.routers[number].is_up = false;
        self.routers[number].started_at = self.now + DOWN;
        self.running.retain(|running| running.router != number);
    }

    fn start_routers(&mut self) {
        for number in 0..self.case.routers {
            let router = &self.routers[number];
            if !router.is_up && self.now >= router.started_at {
                self.routers[number] = self.router(number);
            }
        }
    }

    fn request(&mut self) {
        let up: Vec<_> = (0..self.case.routers)
            .filter(|number| self.routers[*number].is_up)
            .collect();
        if up.is_empty() {
            return;
        }
        let number = up[self.rng.random_range(0..up.len())];
        let criteria = Criteria {
            service: &service(),
            contexts: &[],
            tried: &[],
            is_retry: false,
            only: None,
            needs_slot: false,
            content: Fingerprint::from(self.rng.random::<u64>()),
            parts: &[],
            team: &TeamName::new("desk").expect("the literal is a name"),
        };
        let random = self.rng.random();
        let router = &mut self.routers[number];
        let choice = router.selector.choose(&criteria, random, self.now);
        let choice = choice.expect("there are targets of both versions");
        self.requests += u32::from(self.now < self.start + WITHIN);
        let is_new = &*choice.target.version == "v2";
        let share = if is_new { self.case.failing } else { 0.01 };
        let fails = self.rng.random_bool(share);
        if is_new {
            let in_touch = self.now.since(router.started_at) >= CONTACT;
            self.new.push((self.now, fails, in_touch));
        }
        let took = Duration::from_millis(self.rng.random_range(30..90));
        self.running.push(Running {
            router: number,
            incarnation: router.incarnation,
            target: choice.target.name,
            until: self.now + took,
            end: if fails {
                End::Failed(Failure::Failed)
            } else {
                End::Served
            },
            is_new,
            route: self.rng.random_range(0..3),
            took,
        });
    }

    fn finish(&mut self) {
        let now = self.now;
        let ended = self.running.extract_if(.., |running| running.until <= now);
        for running in ended {
            let router = &mut self.routers[running.router];
            if router.incarnation != running.incarnation {
                continue;
            }
            let finished = Finished {
                end: running.end,
                content: Fingerprint::from(1),
                parts: &Arc::from([]),
                sent_at: now,
                answer_begun: running.end == End::Served,
                team: &TeamName::new("desk").expect("the literal is a name"),
                route: &RouteName::new(format!("route-{}", running.route)).expect("it is a name"),
                timing: Some(Timing::Whole(running.took)),
            };
            router.selector.record_end(&running.target, &finished, now);
            self.answered += u64::from(running.is_new);
        }
    }

    /// Records a router's counts and verdict as items, sends its items to some others, and publishes
    /// progress that is due.
    fn report(&mut self, number: usize) {
        let (now, unix) = (self.now, self.unix());
        let router = &mut self.routers[number];
        if !router.is_up {
            return;
        }
        for counts in router.selector.version_counts() {
            let key = ItemKey::Evidence {
                agent: router.name.clone(),
                incarnation: router.incarnation,
                move_name: counts.name,
                arm: counts.arm,
                route: counts.route,
            };
            let value = Value::Evidence {
                counts: counts.counts,
                stamp: unix,
            };
            router.items.merge(&Item { key, value }, unix);
        }
        for state in router.selector.moves(now) {
            if let (Some(name), Some(verdict)) = (state.order.name(), state.verdict) {
                let key = ItemKey::Verdict(name, state.order.declaration());
                let value = Value::Verdict(verdict);
                router.items.merge(&Item { key, value }, unix);
            }
            if let Some(due) = state.due {
                let is_over = self.published.is_some_and(MoveProgress::is_over);
                let readable = self.published.filter(|_| is_over).unwrap_or(due);
                self.published = Some(readable);
                router.selector.record_move_progress(&order(), readable);
            }
        }
        let items: Vec<_> = router
            .items
            .iter()
            .map(|(key, value)| Item {
                key: key.clone(),
                value: value.clone(),
            })
            .collect();
        for _ in 0..FANOUT {
            let to = self.rng.random_range(0..self.case.routers);
            let delay = self.rng.random_range(1..=self.case.max_delay_ms);
            if to != number && self.routers[to].is_up && !self.rng.random_bool(LOSS) {
                let at = now + Duration::from_millis(delay);
                self.routers[to].inbox.push((at, items.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let (now, unix) = (self.now, self.unix());
        for router in &mut self.routers {
            let due = router.inbox.extract_if(.., |(at, _)| *at <= now);
            let mut has_changed = false;
            for (_, items) in due {
                for item in items {
                    has_changed |= router.items.merge(&item, unix);
                }
            }
            if has_changed {
                router.apply_items();
            }
        }
    }
}

impl Router {
    /// Passes the items to the selector, as the task that exchanges them does.
    fn apply_items(&mut self) {
        for (key, value) in self.items.iter() {
            match (key, value) {
                (
                    ItemKey::Evidence {
                        agent,
                        incarnation,
                        move_name,
                        arm,
                        route,
                    },
                    Value::Evidence { counts, .. },
                ) if (agent, incarnation) != (&self.name, &self.incarnation) => {
                    let run = RouterRun {
                        router: agent.clone(),
                        incarnation: *incarnation,
                    };
                    let counts = VersionCounts {
                        name: move_name.clone(),
                        route: route.clone(),
                        arm: *arm,
                        counts: *counts,
                    };
                    self.selector.record_version_counts(&run, &counts);
                }
                (ItemKey::Verdict(name, _), Value::Verdict(verdict)) => {
                    self.selector.record_move_verdict(name, *verdict);
                }
                _ => {}
            }
        }
    }
}

/// Requests that a bad version got beyond what the bounds allow.
#[derive(Debug, Default)]
struct Excess {
    /// Requests within the time limit of the move, by routers in touch, and the most allowed.
    exposed: u32,
    allowed: f64,
    /// Requests by routers in touch that were sent too long after the last bad answer needed.
    late: usize,
    verdict: Option<MoveDecision>,
}

fn measure(case: Case, seed: u64) -> Excess {
    let mut world = World::new(case, seed);
    world.run();
    let due = world.start + WITHIN;
    let in_time = |(at, _, in_touch): &&(Time, bool, bool)| *at < due && *in_touch;
    let exposed = world.new.iter().filter(in_time).count();
    let mut bad = world.new.iter().filter(|(_, bad, _)| *bad);
    let last_needed = bad.nth(ROLLBACK_BAD_ANSWERS - 1).map(|(at, ..)| *at);
    let late = world.new.iter().filter(|(at, _, in_touch)| {
        *in_touch && last_needed.is_some_and(|needed| at.since(needed) > ROLLBACK_TIMEOUT)
    });
    Excess {
        exposed: u32::try_from(exposed).expect("requests are few"),
        allowed: MAX_BAD_SHARE * f64::from(world.requests) + EXTRA_BAD_REQUESTS,
        late: late.count(),
        verdict: world.published.and_then(|progress| match progress {
            MoveProgress::InProgress => None,
            MoveProgress::Complete => Some(MoveDecision::Good),
            MoveProgress::Reverted => Some(MoveDecision::Faulty),
        }),
    }
}

/// Checks the bounds on what a bad version gets, with fleets of several sizes.
fn check(fleets: &[(usize, f64)], restarts: impl Fn(&mut SmallRng) -> Restarts, max_delay_ms: u64) {
    let first = variable("MOVES_SEED", 1);
    let mut broken = Vec::new();
    for &(routers, per_second) in fleets {
        for failing in [0.15, 0.5] {
            let (mut most, mut late, mut kept) = (0.0_f64, 0, 0);
            for seed in first..first + variable("MOVES_SEEDS", 1) {
                let restarts = restarts(&mut SmallRng::seed_from_u64(seed));
                let case = Case {
                    routers,
                    per_second,
                    failing,
                    restarts,
                    max_delay_ms,
                };
                let excess = measure(case, seed);
                most = most.max(f64::from(excess.exposed) / excess.allowed);
                late = late.max(excess.late);
                kept += u32::from(excess.verdict != Some(MoveDecision::Faulty));
                if f64::from(excess.exposed) > excess.allowed || excess.late > 0 {
                    broken.push(format!("{case:?} seed {seed}: {excess:?}"));
                }
            }
            println!(
                "{routers} routers, {failing} bad: at most {most:.2} of the requests allowed, {late} \
                 late, {kept} not reverted"
            );
        }
    }
    assert!(broken.is_empty(), "{} cases: {broken:#?}", broken.len());
}

/// Guards against a bad version that gets too much because each router that restarts takes the
/// answers that it has counted with it.
#[test]
fn restarts_in_series_keep_the_bounds() {
    for interval_ms in [2_000, 500] {
        let interval = Duration::from_millis(interval_ms);
        check(&FLEETS[..2], |_| Restarts::InSeries(interval), 300);
    }
}

/// Guards against a bad version that gets its first share of requests anew when all routers restart at
/// once.
#[test]
fn common_restarts_keep_the_bounds() {
    let after = |rng: &mut SmallRng| Duration::from_millis(rng.random_range(500..9_000));
    check(&FLEETS, |rng| Restarts::AtOnce(after(rng)), 300);
    let interval = Duration::from_secs(5);
    check(&FLEETS[..2], |_| Restarts::AllEvery(interval), 300);
}

/// Guards against a bad version that gets too much while counts and verdicts arrive late.
#[test]
fn late_gossip_keeps_the_bounds() {
    let interval = Duration::from_secs(2);
    check(&FLEETS[1..2], |_| Restarts::InSeries(interval), 1_500);
}

/// Guards against answers that no router knows any more, because the counts of a router that has
/// restarted replace those of its run before.
#[test]
fn counts_of_earlier_runs_are_kept() {
    let seed = variable("MOVES_SEED", 1);
    let case = Case {
        routers: 6,
        per_second: 60.0,
        failing: 0.01,
        restarts: Restarts::InSeries(Duration::from_millis(600)),
        max_delay_ms: 100,
    };
    let mut world = World::new(case, seed);
    world.run();
    let (now, answered) = (world.now, world.answered);
    let routers = world.routers.iter_mut();
    let known = routers.map(|router| router.selector.moves(now)[0].new.requests);
    let known = known.max().unwrap_or_default();
    println!("{known} of {answered} answers known");
    // A router that is killed takes what it has counted since its last report with it.
    assert!(
        10 * known >= 8 * answered,
        "seed {seed}: {known} of {answered}"
    );
}
