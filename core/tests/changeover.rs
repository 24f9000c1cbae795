//! Version moves decided by several routers that share targets: exposure of bad versions, the end of
//! good ones, and one reported end.

use std::time::Duration;

use ebonyfall_core::{
    allowance::RetryBound,
    changeover::{MoveOrder, Progress},
    id::{Fingerprint, Incarnation, Offset},
    name::{ProcessName, RouteName, ServiceName, TargetName, TeamName, ZoneName},
    outcome::{End, Finished},
    pace::Timing,
    passage::Failure,
    steer::{Criteria, TargetSelector},
    target::{Stage, TargetRecord},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Routers of the fleet.
const ROUTERS: u32 = 4;
/// Time between two looks of a router at its moves.
const TICK: Duration = Duration::from_millis(300);
/// Time in which the move has to be complete.
const WITHIN: Duration = Duration::from_secs(12);
/// Share of all requests that a bad version may get, beyond [`SLACK`] requests.
const EXPOSURE: f64 = 0.1;
/// Requests that a bad version may get besides.
const SLACK: f64 = 50.0;
/// Bad answers after which a bad version may get nothing after [`ROLLBACK`].
const PROOF: usize = 50;
/// See [`PROOF`].
const ROLLBACK: Duration = Duration::from_secs(5);

/// How the new version does.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Nature {
    Good,
    /// This share of its answers are failures from some time on.
    Fails(f64, Duration),
    /// This share of its answers takes eight times as long from some time on.
    Slow(f64, Duration),
    /// All answers on one of the routes are failures.
    FailsOnOneRoute,
}

/// What a run led to.
#[derive(Debug, Default)]
struct Run {
    /// Requests in the time in which the move had to be complete.
    requests: u32,
    /// When the new version got requests, and whether each was answered badly.
    new: Vec<(Time, bool)>,
    reported: Vec<(Progress, Time)>,
}

struct World {
    selectors: Vec<TargetSelector>,
    rng: SmallRng,
    now: Time,
    /// Requests that are running: router, target, end and how.
    running: Vec<(usize, TargetName, Time, End, usize, Duration)>,
    run: Run,
    nature: Nature,
    start: Time,
}

fn service() -> ServiceName {
    ServiceName::new("s").expect("the literal is a name")
}

fn router(number: usize) -> ProcessName {
    ProcessName::new(format!("r{number}")).expect("it is a name")
}

fn order() -> MoveOrder {
    MoveOrder {
        service: service(),
        version: "v2".into(),
        within: WITHIN,
        number: Offset::from(7),
    }
}

/// Targets below 6 have the old version.
fn record(target: u16, stage: Stage) -> TargetRecord {
    let version = if target < 6 { "v1" } else { "v2" };
    TargetRecord {
        name: TargetName::new(format!("t{target}")).expect("it is a name"),
        service: service(),
        address: ([127, 0, 0, 1], target + 1).into(),
        zone: ZoneName::new("z").expect("the literal is a name"),
        version: version.into(),
        slots: 8,
        stage,
        cold: Duration::ZERO,
        incarnation: Incarnation::from(1),
    }
}

impl World {
    fn new(seed: u64, nature: Nature) -> Self {
        let bound = RetryBound {
            ratio: 0.2,
            slack: 58.0,
            window: Duration::from_secs(10),
        };
        let now = Time::from_millis(1_000_000);
        let zone = ZoneName::new("z").expect("the literal is a name");
        let selectors = (0..ROUTERS).map(|number| {
            let mut selector = TargetSelector::new(zone.clone(), bound);
            for target in 0..12 {
                selector.put(record(target, Stage::Ready), now);
            }
            selector.set_routers(ROUTERS);
            selector.set_rank(number);
            selector.set_moves(vec![order()], now);
            selector
        });
        Self {
            selectors: selectors.collect(),
            rng: SmallRng::seed_from_u64(seed),
            now,
            running: Vec::new(),
            run: Run::default(),
            nature,
            start: now,
        }
    }

    /// Whether the new version answers a request on `route` badly, and how.
    fn fate(&mut self, route: usize) -> (End, u32) {
        let after = self.now.since(self.start);
        let random: f64 = self.rng.random();
        let failed = End::Failed(Failure::Failed);
        match self.nature {
            Nature::Fails(share, from) if after >= from && random < share => (failed, 1),
            Nature::Slow(share, from) if after >= from && random < share => (End::Served, 8),
            Nature::FailsOnOneRoute if route == 0 => (failed, 1),
            _ => (End::Served, 1),
        }
    }

    fn request(&mut self) {
        let number = self.rng.random_range(0..self.selectors.len());
        let route = self.rng.random_range(0..3);
        let service = service();
        let context = self
            .rng
            .random_bool(0.5)
            .then(|| self.rng.random_range(0..40));
        let criteria = Criteria {
            service: &service,
            contexts: context.as_slice(),
            tried: &[],
            repeat: false,
            content: Fingerprint::from(self.rng.random::<u64>()),
        };
        let random = self.rng.random();
        let choice = self.selectors[number].choose(&criteria, random, self.now);
        let choice = choice.expect("there are targets of both versions");
        if self.now < self.start + WITHIN {
            self.run.requests += 1;
        }
        let new = &*choice.target.version == "v2";
        // One answer in a hundred of either version fails by itself.
        let (end, slower) = if self.rng.random_bool(0.01) {
            (End::Failed(Failure::Failed), 1)
        } else if new {
            self.fate(route)
        } else {
            (End::Served, 1)
        };
        let took = Duration::from_millis(self.rng.random_range(30..90)) * slower;
        if new {
            self.run
                .new
                .push((self.now, end != End::Served || slower > 1));
        }
        let name = choice.target.name;
        self.running
            .push((number, name, self.now + took, end, route, took));
    }

    fn finish(&mut self) {
        let team = TeamName::new("desk").expect("the literal is a name");
        let now = self.now;
        let ended = self.running.extract_if(.., |(_, _, at, ..)| *at <= now);
        for (number, target, at, end, route, took) in ended {
            let route = RouteName::new(format!("route-{route}")).expect("it is a name");
            let finished = Finished {
                end,
                content: Fingerprint::from(1),
                team: &team,
                route: &route,
                timing: Some(Timing::Whole(took)),
            };
            self.selectors[number].record_end(&target, &finished, at);
        }
    }

    /// Tells all routers what the others have counted and found, and reports what is due.
    fn tick(&mut self) {
        for number in 0..self.selectors.len() {
            let evidence = self.selectors[number].evidence();
            let states = self.selectors[number].moves(self.now);
            let open = self.selectors[number].next_report();
            for other in (0..self.selectors.len()).filter(|other| *other != number) {
                let selector = &mut self.selectors[other];
                selector.record_report(&router(number), &open, self.now);
                for evidence in &evidence {
                    selector.record_evidence(&router(number), evidence);
                }
                for state in &states {
                    if let (Some(step), Some(verdict)) = (state.order.name(), state.verdict) {
                        selector.record_move_verdict(&step, verdict);
                    }
                }
            }
            for state in states {
                let Some(due) = state.due else { continue };
                let end = self.run.reported.last().map(|(progress, _)| *progress);
                let over = end.is_some_and(|end| end != Progress::InProgress);
                if !over && end != Some(due) {
                    self.run.reported.push((due, self.now));
                }
                let readable = if over { end.unwrap_or(due) } else { due };
                self.selectors[number].record_move_progress(&state.order, readable);
            }
        }
    }

    fn run(mut self, per_second: u64) -> Run {
        let end = self.start + WITHIN + Duration::from_secs(6);
        let mut next_tick = self.now;
        while self.now < end {
            self.finish();
            self.request();
            if self.now >= next_tick {
                self.tick();
                next_tick = self.now + TICK;
            }
            let pause = 1_000_000 / per_second;
            let pause = self.rng.random_range(pause / 2..pause * 3 / 2);
            self.now = self.now + Duration::from_micros(pause);
        }
        self.run
    }
}

fn ends(run: &Run) -> Vec<Progress> {
    run.reported.iter().map(|(progress, _)| *progress).collect()
}

/// Guards against good versions that are taken back or do not get all traffic in time, and against
/// traffic for the old version after the move is complete.
#[test]
fn a_good_version_is_complete_in_time() {
    for seed in 0..60 {
        for per_second in [1, 20, 100] {
            let run = World::new(seed, Nature::Good).run(per_second);
            assert_eq!(
                ends(&run),
                [Progress::InProgress, Progress::Complete],
                "seed {seed}"
            );
            let (_, complete) = run.reported[1];
            let took = complete.since(Time::from_millis(1_000_000));
            assert!(took < WITHIN, "seed {seed}: {took:?}");
        }
    }
}

/// Guards against bad versions that get more than their share, also where the fault shows late or
/// on one route, and against requests for them long after the fault has shown.
#[test]
fn a_bad_version_is_taken_back() {
    let at_once = Duration::ZERO;
    let late = Duration::from_secs(5);
    let before_the_end = Duration::from_secs(8);
    let natures = [
        Nature::Fails(0.5, at_once),
        Nature::Fails(0.25, at_once),
        Nature::Fails(0.6, late),
        Nature::Fails(0.6, before_the_end),
        Nature::Slow(0.5, at_once),
        Nature::Slow(0.7, late),
        Nature::FailsOnOneRoute,
    ];
    for seed in 0..40 {
        for nature in natures {
            let run = World::new(seed, nature).run(100);
            let case = format!("seed {seed}, {nature:?}");
            assert_eq!(
                ends(&run),
                [Progress::InProgress, Progress::Reverted],
                "{case}"
            );
            let due = Time::from_millis(1_000_000) + WITHIN;
            let requests = f64::from(run.requests);
            let new = run.new.iter().filter(|(at, _)| *at < due).map(|_| 1.0);
            let new: f64 = new.sum();
            assert!(
                new <= EXPOSURE * requests + SLACK,
                "{case}: {new} of {requests}"
            );
            let mut bad = run.new.iter().filter(|(_, bad)| *bad);
            if let (Some((proof, _)), Some((last, _))) = (bad.nth(PROOF - 1), run.new.last()) {
                assert!(last.since(*proof) < ROLLBACK, "{case}");
            }
        }
    }
}

/// Guards against a move that is reported complete, and stops the old targets, although no target of
/// the new version has come or answered.
#[test]
fn a_version_without_answers_is_not_complete() {
    for registered in [false, true] {
        let mut world = World::new(1, Nature::Good);
        for selector in &mut world.selectors {
            for target in 6..12 {
                let name = TargetName::new(format!("t{target}")).expect("it is a name");
                if registered {
                    // Nothing can be sent to it.
                    selector.put(record(target, Stage::Draining), world.now);
                } else {
                    selector.remove(&name, world.now);
                }
            }
        }
        let run = world.run(50);
        assert_eq!(ends(&run), [Progress::InProgress]);
        assert!(run.new.is_empty());
    }
}

/// Guards against a version that gets traffic again after its order was taken back, and against an
/// end of an earlier order that is taken for that of a new one.
#[test]
fn a_new_order_starts_anew() {
    let mut world = World::new(1, Nature::Good);
    let now = world.now;
    let selector = &mut world.selectors[0];
    selector.record_move_progress(&order(), Progress::Reverted);
    assert!(selector.moves(now)[0].share <= 0.0);
    selector.set_moves(Vec::new(), now);
    assert!(selector.moves(now)[0].share <= 0.0);
    // The version's targets have left by then.
    assert!(selector.moves(now + Duration::from_secs(61)).is_empty());
    let again = MoveOrder {
        number: Offset::from(9),
        ..order()
    };
    selector.set_moves(vec![again.clone()], now);
    selector.record_move_progress(&order(), Progress::Reverted);
    let states = selector.moves(now);
    assert_eq!(states[0].order, again);
    assert_eq!(states[0].progress, None);
    assert!(states[0].share > 0.0);
}
