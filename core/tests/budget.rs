//! Tests of the retry budget of the fleet, with many routers on a fake clock.

mod common;

use std::{num::NonZeroU32, time::Duration};

use common::variable;
use ebonyfall_core::{
    budget::{FleetRetryBudget, RetryBound, RetryCounts},
    fleet::FleetShare,
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 58.0,
    window: Duration::from_secs(10),
};
const TICK: Duration = Duration::from_millis(20);
/// Ticks in the window of the bound.
const WINDOW_TICKS: usize = 500;
/// Longest time from the decision to the arrival of a retry, in ticks.
const MAX_DELAY_TICKS: usize = 20;
/// Time that a schedule takes, in ticks.
const LENGTH_TICKS: usize = 3_000;
/// Time after which the disturbances begin, in ticks.
const CALM_TICKS: usize = 1_100;

/// Largest share of the requests that a router gets, relative to that of the others.
const MAX_WEIGHT: f64 = 3.0;

/// What happens to the routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Schedule {
    /// Nothing.
    Settled,
    /// All routers start for the first time.
    FirstStart,
    /// One router after the other starts again.
    RestartInSeries,
    /// All routers start again at once.
    RestartTogether,
    /// All routers start again at once, and once more within the window.
    RestartTwice,
    /// Half of the routers do nothing for some seconds, and the others get their requests.
    Freeze,
    /// Twice as many routers as before start.
    Growth,
    /// Half of the routers leave, and the others get their requests.
    Departure,
    /// All routers count a fifth too few.
    CountTooLow,
    /// The routers of one half get all requests, then those of the other half.
    LoadMoves,
    /// Routers start again, freeze and get each other's requests at random.
    Random,
}

const SCHEDULES: [Schedule; 11] = [
    Schedule::Settled,
    Schedule::FirstStart,
    Schedule::RestartInSeries,
    Schedule::RestartTogether,
    Schedule::RestartTwice,
    Schedule::Freeze,
    Schedule::Growth,
    Schedule::Departure,
    Schedule::CountTooLow,
    Schedule::LoadMoves,
    Schedule::Random,
];

struct Router {
    budget: FleetRetryBudget,
    started_at: Time,
    earlier_run: Option<Duration>,
    /// Whether the router is in the fleet.
    present: bool,
    /// Tick until which it does nothing.
    frozen_until: usize,
    /// Share of the requests that it gets, relative to that of the others.
    weight: f64,
}

struct Fleet {
    rng: SmallRng,
    schedule: Schedule,
    /// Requests in a tick.
    demand: f64,
    routers: Vec<Router>,
    tick: usize,
    /// Number of routers in the fleet.
    present: usize,
    /// Whether targets fail.
    trouble: bool,
    /// Tick from which on all targets fail; `None` if they fail at random times.
    fails_from: Option<usize>,
    /// Requests and arrivals of retries, by tick.
    first: Vec<u32>,
    retries: Vec<u32>,
}

impl Fleet {
    fn new(schedule: Schedule, routers: usize, demand_per_s: f64, seed: u64) -> Self {
        let mut fleet = Self {
            rng: SmallRng::seed_from_u64(seed),
            schedule,
            demand: demand_per_s * TICK.as_secs_f64(),
            routers: Vec::new(),
            tick: 0,
            present: 0,
            trouble: false,
            // The routers have not sent any retry when the disturbance comes.
            fails_from: seed.is_multiple_of(2).then_some(CALM_TICKS + 75),
            first: vec![0; LENGTH_TICKS],
            retries: vec![0; LENGTH_TICKS + MAX_DELAY_TICKS],
        };
        let present = match schedule {
            Schedule::Growth => routers.div_ceil(3),
            _ => routers,
        };
        for number in 0..routers {
            fleet.routers.push(Router {
                budget: FleetRetryBudget::new(BOUND),
                started_at: Time::ZERO,
                earlier_run: None,
                present: number < present && schedule != Schedule::FirstStart,
                frozen_until: 0,
                weight: 1.0,
            });
        }
        fleet
    }

    fn now(&self) -> Time {
        Time::from_millis(100_000) + TICK * u32::try_from(self.tick).expect("the tick is small")
    }

    fn start(&mut self, number: usize) {
        let now = self.now();
        let router = &mut self.routers[number];
        router.earlier_run = router.present.then(|| now.since(router.started_at));
        router.present = true;
        router.started_at = now;
        router.budget = FleetRetryBudget::new(BOUND);
    }

    /// Applies what the schedule has for this tick.
    fn disturb(&mut self) {
        let Some(since) = self.tick.checked_sub(CALM_TICKS) else {
            return;
        };
        let count = self.routers.len();
        let all = 0..count;
        match (self.schedule, since) {
            (Schedule::FirstStart, 0)
            | (Schedule::RestartTogether, 100)
            | (Schedule::RestartTwice, 100 | 300) => all.for_each(|number| self.start(number)),
            (Schedule::RestartInSeries, 0..) if since.is_multiple_of(15) && since / 15 < count => {
                self.start(since / 15);
            }
            (Schedule::Growth, 100) => {
                let absent = all.skip(count.div_ceil(3));
                absent.for_each(|number| self.start(number));
            }
            (Schedule::Departure, 100) => {
                all.skip(count / 2)
                    .for_each(|number| self.routers[number].present = false);
            }
            (Schedule::Freeze, 100) => {
                let until = self.tick + 300;
                all.step_by(2)
                    .for_each(|number| self.routers[number].frozen_until = until);
            }
            (Schedule::LoadMoves, _) => {
                let first_half = since < 100;
                for number in all {
                    let gets_all = (number < count / 2) == first_half;
                    self.routers[number].weight = if gets_all { 1.0 } else { 0.0 };
                }
            }
            (Schedule::Random, _) => self.disturb_at_random(),
            _ => {}
        }
    }

    fn disturb_at_random(&mut self) {
        let number = self.rng.random_range(0..self.routers.len());
        match self.rng.random_range(0..1_000) {
            0 => (0..self.routers.len()).for_each(|number| self.start(number)),
            1..20 => self.start(number),
            20..40 => {
                self.routers[number].frozen_until = self.tick + self.rng.random_range(50..400);
            }
            40..60 => self.routers[number].weight = self.rng.random_range(0.0..MAX_WEIGHT),
            _ => {}
        }
    }

    /// What a router knows of its share.
    fn share(&self, number: usize) -> FleetShare {
        let counted = match self.schedule {
            Schedule::CountTooLow => (self.present * 4).div_ceil(5),
            _ => self.present,
        };
        let counted = u32::try_from(counted).expect("the fleet is small");
        FleetShare {
            routers: NonZeroU32::new(counted).unwrap_or(NonZeroU32::MIN),
            started_at: self.routers[number].started_at,
            earlier_run: self.routers[number].earlier_run,
        }
    }

    /// A router that takes requests; those with more weight are more likely. `None` if none is found.
    fn pick(&mut self) -> Option<usize> {
        for _ in 0..100 {
            let number = self.rng.random_range(0..self.routers.len());
            let router = &self.routers[number];
            let takes = router.present && router.frozen_until <= self.tick;
            if takes && self.rng.random_bool(router.weight / MAX_WEIGHT) {
                return Some(number);
            }
        }
        None
    }

    fn run(&mut self) {
        while self.tick < LENGTH_TICKS {
            self.disturb();
            self.present = self.routers.iter().filter(|router| router.present).count();
            match self.fails_from {
                Some(tick) => self.trouble = self.tick >= tick,
                None if self.rng.random_bool(0.005) => self.trouble = !self.trouble,
                None => {}
            }
            let mut due = self.demand;
            while due > 0.0 {
                if self.rng.random_bool(due.min(1.0)) {
                    self.send();
                }
                due -= 1.0;
            }
            self.tick += 1;
        }
    }

    /// Sends a request, and once or twice more if the targets fail.
    fn send(&mut self) {
        let Some(number) = self.pick() else {
            return;
        };
        let (now, share) = (self.now(), self.share(number));
        let budget = &mut self.routers[number].budget;
        budget.record_first(Some(&share), now);
        self.first[self.tick] += 1;
        if !self.trouble {
            return;
        }
        for _ in 0..2 {
            if !self.routers[number].budget.try_take(Some(&share), now) {
                return;
            }
            let delay = self.rng.random_range(0..MAX_DELAY_TICKS);
            self.retries[self.tick + delay] += 1;
        }
    }

    /// The largest share of the bound that is used in a window, and its end.
    fn most_used(&self) -> (f64, usize) {
        let sum = |counts: &[u32], end: usize| -> f64 {
            let end = end.min(counts.len());
            f64::from(
                counts[end.saturating_sub(WINDOW_TICKS)..end]
                    .iter()
                    .sum::<u32>(),
            )
        };
        let windows = (WINDOW_TICKS * 2..LENGTH_TICKS).step_by(5).map(|end| {
            let first = [end, end - WINDOW_TICKS / 2, end - WINDOW_TICKS];
            let first = first.map(|end| sum(&self.first, end));
            let allowed = BOUND.ratio * first.into_iter().fold(0.0, f64::max) + BOUND.slack;
            (sum(&self.retries, end) / allowed, end)
        });
        windows.fold(
            (0.0, 0),
            |most, window| {
                if window.0 > most.0 { window } else { most }
            },
        )
    }
}

/// Guards against routers whose retries together exceed the bound after they start together, in
/// series or again, while some are frozen, join or leave, count too few, or get each other's requests.
#[test]
fn retries_of_all_routers_stay_within_the_bound() {
    let (first_seed, seeds) = (variable("BUDGET_SEED", 1), variable("BUDGET_SEEDS", 2));
    let mut broken = Vec::new();
    for schedule in SCHEDULES {
        for (routers, demand_per_s) in [(6, 50.0), (26, 130.0), (26, 1_500.0), (103, 980.0)] {
            let mut worst: f64 = 0.0;
            for seed in first_seed..first_seed + seeds {
                let mut fleet = Fleet::new(schedule, routers, demand_per_s, seed);
                fleet.run();
                let (used, end) = fleet.most_used();
                worst = worst.max(used);
                if used > 1.0 {
                    broken.push((schedule, routers, seed, used, end));
                }
            }
            println!("{schedule:?}, {routers} routers, {demand_per_s} a second: {worst:.2}");
        }
    }
    assert!(broken.is_empty(), "{} broken: {broken:?}", broken.len());
}

/// Number of retries that a router may send at once after two windows of steady requests,
/// `first_per_s` of them a second.
fn retries_after_steady_load(first_per_s: u64, share: Option<FleetShare>) -> u32 {
    let start = Time::from_millis(100_000);
    let mut budget = FleetRetryBudget::new(BOUND);
    for number in 0..first_per_s * 20 {
        let now = start + Duration::from_millis(number * 1_000 / first_per_s);
        budget.record_first(share.as_ref(), now);
    }
    let now = start + BOUND.window * 2;
    let taken = (0..1_000).take_while(|_| budget.try_take(share.as_ref(), now));
    u32::try_from(taken.count()).expect("it is a small number")
}

/// Guards against callers that lose their requests with one target, in deployments of any size.
#[test]
fn a_settled_router_has_retries_for_the_loss_of_a_target() {
    let settled = |routers| Some(FleetShare::settled(routers));
    assert!(retries_after_steady_load(10, settled(1)) >= 50);
    assert!(retries_after_steady_load(10, settled(6)) >= 18);
    assert!(retries_after_steady_load(5, settled(26)) >= 7);
    assert!(retries_after_steady_load(10, settled(103)) >= 12);
}

/// Guards against a router that uses a part of the slack while it does not know how many share it, or
/// after it started twice within a window.
#[test]
fn a_router_without_a_known_share_uses_no_slack() {
    let now = Time::from_millis(100_000);
    let taken_at_start = |share: Option<FleetShare>| {
        let mut budget = FleetRetryBudget::new(BOUND);
        budget.record_first(share.as_ref(), now);
        let taken = (0..1_000).take_while(|_| budget.try_take(share.as_ref(), now));
        taken.count()
    };
    let young = |earlier_run| {
        Some(FleetShare {
            started_at: now,
            earlier_run,
            ..FleetShare::settled(1)
        })
    };
    assert_eq!(taken_at_start(None), 0);
    assert_eq!(taken_at_start(young(Some(Duration::from_secs(3)))), 0);
    assert_eq!(taken_at_start(young(Some(Duration::from_secs(60)))), 14);
    assert_eq!(taken_at_start(young(None)), 14);
    assert_eq!(taken_at_start(Some(FleetShare::settled(1))), 37);
}

/// Guards against retries that are forgotten before they are as old as the window.
#[test]
fn retries_count_for_a_whole_window() {
    let start = Time::from_millis(100_000);
    let share = FleetShare::settled(1);
    for first_burst in [0, 300, 900, 999] {
        let mut budget = FleetRetryBudget::new(BOUND);
        budget.record_first(Some(&share), start);
        let mut taken = 0;
        for millis in [first_burst, first_burst + 9_000, first_burst + 9_999] {
            let now = start + Duration::from_millis(millis);
            while budget.try_take(Some(&share), now) {
                taken += 1;
            }
        }
        assert!(
            f64::from(taken) <= BOUND.slack,
            "{taken} from {first_burst} ms on"
        );
    }
}

/// Guards against decisions that are missing from the log, and against a line for each of them under
/// load.
#[test]
fn decisions_are_logged_once_a_second_at_most() {
    let mut budget = FleetRetryBudget::new(BOUND);
    let share = FleetShare::settled(26);
    let start = Time::from_millis(100_000);
    let (mut lines, mut counts) = (0, RetryCounts::default());
    for millis in 0..5_000 {
        let now = start + Duration::from_millis(millis);
        if millis < 3_500 {
            budget.try_take(Some(&share), now);
        }
        if let Some(logged) = budget.take_unlogged(now) {
            lines += 1;
            counts.taken += logged.taken;
            counts.refused += logged.refused;
        }
    }
    assert_eq!(lines, 5);
    assert_eq!(counts, budget.total());
    assert_eq!(counts.taken + counts.refused, 3_500);
}
