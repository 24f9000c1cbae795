//! Version moves by several routers that share targets: the traffic that bad versions get, the
//! completion of good ones, and a single reported result.

use std::{sync::Arc, time::Duration};

use ebonyfall_core::{
    budget::RetryBound,
    changeover::{MoveOrder, MoveProgress, RouterRun},
    direct::Failure,
    id::{Era, Fingerprint, Incarnation, Offset},
    name::{ProcessName, RouteName, ServiceName, TargetName, TeamName, ZoneName},
    outcome::{End, Finished},
    selector::{Criteria, TargetSelector},
    target::{Stage, TargetRecord},
    time::Time,
    timing::Timing,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Number of routers.
const ROUTERS: u32 = 4;
/// Interval at which a router evaluates its moves.
const TICK: Duration = Duration::from_millis(300);
/// Time limit of the move.
const WITHIN: Duration = Duration::from_secs(12);
/// Maximum share of all requests that a bad version may get, besides [`EXTRA_BAD_REQUESTS`].
const MAX_BAD_SHARE: f64 = 0.1;
/// Number of requests that a bad version may get in addition.
const EXTRA_BAD_REQUESTS: f64 = 50.0;
/// Number of bad answers after which a bad version must be reverted.
const ROLLBACK_BAD_ANSWERS: usize = 50;
/// Time after [`ROLLBACK_BAD_ANSWERS`] from which a bad version may get no request.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Behaviour of the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    Good,
    /// This share of its answers fails, from this time after the start.
    Fails(f64, Duration),
    /// This share of its answers takes eight times as long, from this time after the start.
    Slow(f64, Duration),
    /// All answers on one of three routes fail.
    FailsOnOneRoute,
}

/// Result of a run.
#[derive(Debug, Default)]
struct RunResult {
    /// Number of requests within the time limit of the move.
    requests: u32,
    /// Time of each request to the new version, and whether it failed or was slow.
    new: Vec<(Time, bool)>,
    reported: Vec<(MoveProgress, Time)>,
}

struct World {
    selectors: Vec<TargetSelector>,
    rng: SmallRng,
    now: Time,
    /// Requests in progress: router, target, end time, result, route and duration.
    running: Vec<(usize, TargetName, Time, End, usize, Duration)>,
    result: RunResult,
    behaviour: Behaviour,
    start: Time,
}

fn service() -> ServiceName {
    ServiceName::new("s").expect("the literal is a name")
}

fn router(index: usize) -> ProcessName {
    ProcessName::new(format!("r{index}")).expect("it is a name")
}

fn run(index: usize) -> RouterRun {
    RouterRun {
        router: router(index),
        incarnation: Incarnation::from(1),
    }
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
    fn new(seed: u64, behaviour: Behaviour) -> Self {
        let bound = RetryBound {
            ratio: 0.2,
            slack: 58.0,
            window: Duration::from_secs(10),
        };
        let now = Time::from_millis(1_000_000);
        let zone = ZoneName::new("z").expect("the literal is a name");
        let selectors = (0..ROUTERS).map(|router_index| {
            let mut selector = TargetSelector::new(zone.clone(), bound);
            for target in 0..12 {
                selector.put(record(target, Stage::Ready), now);
            }
            selector.set_routers(ROUTERS);
            selector.set_rank(router_index);
            selector.set_moves(vec![order()], now);
            selector
        });
        Self {
            selectors: selectors.collect(),
            rng: SmallRng::seed_from_u64(seed),
            now,
            running: Vec::new(),
            result: RunResult::default(),
            behaviour,
            start: now,
        }
    }

    /// Result of a request to the new version on `route`, and its slowdown factor.
    fn new_version_result(&mut self, route: usize) -> (End, u32) {
        let after = self.now.since(self.start);
        let random: f64 = self.rng.random();
        let failed = End::Failed(Failure::Failed);
        match self.behaviour {
            Behaviour::Fails(share, from) if after >= from && random < share => (failed, 1),
            Behaviour::Slow(share, from) if after >= from && random < share => (End::Served, 8),
            Behaviour::FailsOnOneRoute if route == 0 => (failed, 1),
            _ => (End::Served, 1),
        }
    }

    fn request(&mut self) {
        let router_index = self.rng.random_range(0..self.selectors.len());
        let route = self.rng.random_range(0..3);
        let service = service();
        let context = self
            .rng
            .random_bool(0.5)
            .then(|| self.rng.random_range(0..40));
        let team = TeamName::new("desk").expect("the literal is a name");
        let criteria = Criteria {
            service: &service,
            contexts: context.as_slice(),
            tried: &[],
            is_retry: false,
            only: None,
            needs_slot: false,
            content: Fingerprint::from(self.rng.random::<u64>()),
            parts: &[],
            team: &team,
        };
        let random = self.rng.random();
        let choice = self.selectors[router_index].choose(&criteria, random, self.now);
        let choice = choice.expect("there are targets of both versions");
        if self.now < self.start + WITHIN {
            self.result.requests += 1;
        }
        let new = &*choice.target.version == "v2";
        // 1 in 100 answers of either version fails at random.
        let (end, slowdown) = if self.rng.random_bool(0.01) {
            (End::Failed(Failure::Failed), 1)
        } else if new {
            self.new_version_result(route)
        } else {
            (End::Served, 1)
        };
        let took = Duration::from_millis(self.rng.random_range(30..90)) * slowdown;
        if new {
            self.result
                .new
                .push((self.now, end != End::Served || slowdown > 1));
        }
        let name = choice.target.name;
        self.running
            .push((router_index, name, self.now + took, end, route, took));
    }

    fn finish(&mut self) {
        let team = TeamName::new("desk").expect("the literal is a name");
        let now = self.now;
        let ended = self.running.extract_if(.., |(_, _, at, ..)| *at <= now);
        for (router_index, target, at, end, route, took) in ended {
            let route = RouteName::new(format!("route-{route}")).expect("it is a name");
            let finished = Finished {
                end,
                content: Fingerprint::from(1),
                parts: &Arc::from([]),
                sent_at: at,
                answer_begun: end == End::Served,
                team: &team,
                route: &route,
                timing: Some(Timing::Whole(took)),
            };
            self.selectors[router_index].record_end(&target, &finished, at);
        }
    }

    /// Exchanges counts and verdicts between all routers, and reports progress that is due.
    fn tick(&mut self) {
        for router_index in 0..self.selectors.len() {
            let counts = self.selectors[router_index].version_counts();
            let states = self.selectors[router_index].moves(self.now);
            let open = self.selectors[router_index].next_report();
            for other in (0..self.selectors.len()).filter(|other| *other != router_index) {
                let selector = &mut self.selectors[other];
                selector.record_report(&router(router_index), &open, self.now);
                for version_counts in &counts {
                    selector.record_version_counts(&run(router_index), version_counts);
                }
                for state in &states {
                    if let (Some(name), Some(verdict)) = (state.order.name(), state.verdict) {
                        selector.record_move_verdict(&name, verdict);
                    }
                }
            }
            for state in states {
                let Some(due) = state.due else { continue };
                let end = self.result.reported.last().map(|(progress, _)| *progress);
                let over = end.is_some_and(|end| end != MoveProgress::InProgress);
                if !over && end != Some(due) {
                    self.result.reported.push((due, self.now));
                }
                let readable = if over { end.unwrap_or(due) } else { due };
                self.selectors[router_index].record_move_progress(&state.order, readable);
            }
        }
    }

    fn run(mut self, per_second: u64) -> RunResult {
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
        self.result
    }
}

fn reported_progress(run: &RunResult) -> Vec<MoveProgress> {
    run.reported.iter().map(|(progress, _)| *progress).collect()
}

/// Guards against good versions that are reverted or do not get all traffic within the time limit.
/// Exactly one start and one completion must be reported.
#[test]
fn a_good_version_is_complete_in_time() {
    for seed in 0..60 {
        for per_second in [1, 20, 100] {
            let run = World::new(seed, Behaviour::Good).run(per_second);
            assert_eq!(
                reported_progress(&run),
                [MoveProgress::InProgress, MoveProgress::Complete],
                "seed {seed}"
            );
            let (_, complete) = run.reported[1];
            let took = complete.since(Time::from_millis(1_000_000));
            assert!(took < WITHIN, "seed {seed}: {took:?}");
        }
    }
}

/// Guards against bad versions that get too many requests, also if the fault starts late or affects
/// one route, and against requests to them long after the fault is evident.
#[test]
fn a_bad_version_is_reverted() {
    let at_once = Duration::ZERO;
    let late = Duration::from_secs(5);
    let before_the_end = Duration::from_secs(8);
    let behaviours = [
        Behaviour::Fails(0.5, at_once),
        Behaviour::Fails(0.25, at_once),
        Behaviour::Fails(0.6, late),
        Behaviour::Fails(0.6, before_the_end),
        Behaviour::Slow(0.5, at_once),
        Behaviour::Slow(0.7, late),
        Behaviour::FailsOnOneRoute,
    ];
    for seed in 0..40 {
        for behaviour in behaviours {
            let run = World::new(seed, behaviour).run(100);
            let case = format!("seed {seed}, {behaviour:?}");
            assert_eq!(
                reported_progress(&run),
                [MoveProgress::InProgress, MoveProgress::Reverted],
                "{case}"
            );
            let due = Time::from_millis(1_000_000) + WITHIN;
            let requests = f64::from(run.requests);
            let new = run.new.iter().filter(|(at, _)| *at < due).map(|_| 1.0);
            let new: f64 = new.sum();
            assert!(
                new <= MAX_BAD_SHARE * requests + EXTRA_BAD_REQUESTS,
                "{case}: {new} of {requests}"
            );
            let mut bad = run.new.iter().filter(|(_, bad)| *bad);
            if let (Some((last_needed, _)), Some((last, _))) =
                (bad.nth(ROLLBACK_BAD_ANSWERS - 1), run.new.last())
            {
                assert!(last.since(*last_needed) < ROLLBACK_TIMEOUT, "{case}");
            }
        }
    }
}

/// Guards against a move that is reported complete, which stops the old targets, although no target
/// of the new version has registered or answered.
#[test]
fn a_version_without_answers_is_not_complete() {
    for registered in [false, true] {
        let mut world = World::new(1, Behaviour::Good);
        for selector in &mut world.selectors {
            for target in 6..12 {
                let name = TargetName::new(format!("t{target}")).expect("it is a name");
                if registered {
                    // A draining target gets no requests.
                    selector.put(record(target, Stage::Draining), world.now);
                } else {
                    selector.remove(&name, world.now);
                }
            }
        }
        let run = world.run(50);
        assert_eq!(reported_progress(&run), [MoveProgress::InProgress]);
        assert!(run.new.is_empty());
    }
}

/// Guards against a version that gets traffic again after its order was withdrawn, and against the
/// result of an earlier order being applied to a new one.
#[test]
fn a_new_order_ignores_the_end_of_an_earlier_one() {
    let mut world = World::new(1, Behaviour::Good);
    let now = world.now;
    let selector = &mut world.selectors[0];
    selector.record_move_progress(&order(), MoveProgress::Reverted);
    assert!(selector.moves(now)[0].share <= 0.0);
    selector.set_moves(Vec::new(), now);
    assert!(selector.moves(now)[0].share <= 0.0);
    // A withdrawn move expires after 60 s, when the version's targets have left.
    assert!(selector.moves(now + Duration::from_secs(61)).is_empty());
    let again = MoveOrder {
        offset: Offset::from(9),
        ..order()
    };
    selector.set_moves(vec![again.clone()], now);
    selector.record_move_progress(&order(), MoveProgress::Reverted);
    let states = selector.moves(now);
    assert_eq!(states[0].order, again);
    assert_eq!(states[0].progress, None);
    assert!(states[0].share > 0.0);
}

/// Guards against a move that starts anew, or is never reported again, because the store came back from
/// an older copy and the operator wrote the order again at another offset.
#[test]
fn a_move_goes_on_when_its_order_is_written_again_after_a_restore() {
    let mut world = World::new(1, Behaviour::Good);
    let now = world.now;
    let selector = &mut world.selectors[0];
    selector.record_move_progress(&order(), MoveProgress::Complete);
    let again = MoveOrder {
        offset: Offset::from(3),
        era: Era::from(2),
        ..order()
    };
    selector.set_moves(vec![again.clone()], now);
    let states = selector.moves(now);
    assert_eq!(states[0].order, again);
    assert_eq!(states[0].progress, Some(MoveProgress::Complete));
    assert!(states[0].share >= 1.0);
    // The record of its end is lost, too, so that it is due again.
    let states = selector.moves(now + Duration::from_secs(5));
    assert_eq!(states[0].due, Some(MoveProgress::Complete));
    // An order of that era with other content is a new one.
    let other = MoveOrder {
        within: WITHIN * 2,
        offset: Offset::from(4),
        ..again
    };
    selector.set_moves(vec![other], now);
    assert_eq!(selector.moves(now)[0].progress, None);
}
