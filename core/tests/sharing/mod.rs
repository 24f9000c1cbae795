//! Routers that start, stop and lose each other, with the roster in the store and the gossip between
//! them, on a fake clock. All of them send to one cold target.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use ebonyfall_core::{
    budget::RetryBound,
    fleet::{Fleet, FleetPart, RosterEntry},
    id::{Fingerprint, Incarnation},
    membership::KnownRouter,
    name::{ProcessName, RouteName, ServiceName, TeamName},
    outcome::{End, Finished},
    selector::{Criteria, TargetSelector},
    target::{Stage, TargetRecord},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const STEP: Duration = Duration::from_millis(10);
/// Interval at which a router looks at its membership table.
const REFRESH_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a silent router counts as gone.
const SILENCE: Duration = Duration::from_secs(5);
/// Mean time between two requests that a router has for the cold target.
const DEMAND_MS: u64 = 30;
/// Rate of the cold target, in requests per second.
pub const COLD_RATE: f64 = 10.0;
/// Requests that it stands in any second.
pub const COLD_LIMIT: usize = 20;
/// Time since the Unix epoch at the epoch of the fake clock.
const UNIX: Duration = Duration::from_secs(1_800_000_000);

/// What the store does with calls for the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RosterCalls {
    Served,
    /// Appends are refused.
    ReadOnly,
    /// No call is answered.
    Down,
}

/// What a router knows of another one.
#[derive(Debug, Clone, Copy)]
struct Heard {
    last: Time,
    leaves: bool,
}

/// One run of a router.
struct Run {
    fleet: Fleet,
    selector: TargetSelector,
    started_at: Time,
    part: FleetPart,
    heard: BTreeMap<usize, Heard>,
    /// When the first list, the append and the later list are due; `None` once they are done.
    list_at: Option<Time>,
    append_at: Option<Time>,
    relist_after: Option<Duration>,
    relist_at: Option<Time>,
    next_refresh: Time,
    next_request: Time,
    frozen_until: Time,
    leaves: bool,
}

struct Node {
    name: ProcessName,
    run: Option<Run>,
    side: u8,
    /// Difference of its clock from the true time.
    clock: Duration,
}

/// What was counted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Largest sum of the parts of all routers.
    pub largest_sum: f64,
    /// Time for which the sum exceeded 1.
    pub over: Duration,
    /// Most requests that the cold target got in a second.
    pub cold_peak: usize,
    pub sent: u32,
}

pub struct World {
    pub now: Time,
    pub counts: Counts,
    pub calls: RosterCalls,
    /// Longest time until a router that starts and another one hear of each other.
    pub max_delay_ms: u64,
    rng: SmallRng,
    nodes: Vec<Node>,
    roster: BTreeMap<ProcessName, RosterEntry>,
    cold_sent: VecDeque<Time>,
    appends: u32,
    lists: u32,
    service: ServiceName,
    team: TeamName,
    route: RouteName,
}

impl World {
    /// A fleet of `routers` that have never started.
    pub fn new(routers: usize, seed: u64) -> Self {
        let node = |number| Node {
            name: format!("{}-{number}", ["a", "b", "c"][number % 3])
                .parse()
                .expect("it is a name"),
            run: None,
            side: 0,
            clock: UNIX,
        };
        Self {
            now: Time::from_millis(1_000_000),
            counts: Counts::default(),
            calls: RosterCalls::Served,
            max_delay_ms: 600,
            rng: SmallRng::seed_from_u64(seed),
            nodes: (0..routers).map(node).collect(),
            roster: BTreeMap::new(),
            cold_sent: VecDeque::new(),
            appends: 0,
            lists: 0,
            service: "s".parse().expect("the literal is a name"),
            team: "desk".parse().expect("the literal is a name"),
            route: "r".parse().expect("the literal is a name"),
        }
    }

    /// A fleet of `routers` that have run together for `length`.
    pub fn running(routers: usize, seed: u64, length: Duration) -> Self {
        let mut world = Self::new(routers, seed);
        world.start_all();
        world.run(Duration::from_secs(8));
        world.now = world.now + length;
        for node in &mut world.nodes {
            if let Some(run) = &mut node.run {
                for heard in run.heard.values_mut() {
                    heard.last = world.now;
                }
                run.next_refresh = world.now;
                run.next_request = world.now;
            }
        }
        world.run(Duration::from_secs(1));
        world.counts = Counts::default();
        world
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Starts all routers within half a second.
    pub fn start_all(&mut self) {
        for number in 0..self.nodes.len() {
            let delay = Duration::from_millis(self.rng.random_range(0..500));
            self.start_in(number, delay);
        }
    }

    /// Starts a router now.
    pub fn start(&mut self, number: usize) {
        self.start_in(number, Duration::ZERO);
    }

    fn start_in(&mut self, number: usize, delay: Duration) {
        let now = self.now + delay;
        let node = &mut self.nodes[number];
        let started = node.clock + now.since(Time::ZERO);
        let fleet = Fleet::new(node.name.clone(), now, started);
        let mut selector = TargetSelector::new(
            "z".parse().expect("the literal is a name"),
            RetryBound {
                ratio: 0.2,
                slack: 50.0,
                window: Duration::from_secs(10),
            },
        );
        selector.await_fleet(now);
        selector.set_unix_offset(node.clock);
        selector.set_cold_rates([(self.service.clone(), COLD_RATE)].into());
        let target = TargetRecord {
            name: "t".parse().expect("the literal is a name"),
            service: self.service.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "z".parse().expect("the literal is a name"),
            version: "v1".into(),
            slots: 10_000,
            stage: Stage::Ready,
            cold: Duration::from_secs(100_000),
            incarnation: Incarnation::from(1),
        };
        selector.put(target, now);
        node.run = Some(Run {
            fleet,
            selector,
            started_at: now,
            part: FleetPart::default(),
            heard: BTreeMap::new(),
            list_at: Some(now + Duration::from_millis(self.rng.random_range(20..150))),
            append_at: None,
            relist_after: None,
            relist_at: None,
            next_refresh: now + Duration::from_millis(self.rng.random_range(0..300)),
            next_request: now,
            frozen_until: Time::ZERO,
            leaves: false,
        });
    }

    /// Ends a router without a word.
    pub fn kill(&mut self, number: usize) {
        self.nodes[number].run = None;
    }

    /// Lets a router announce that it leaves; it goes on sending.
    pub fn leave(&mut self, number: usize) {
        if let Some(run) = &mut self.nodes[number].run {
            run.leaves = true;
        }
    }

    pub fn freeze(&mut self, number: usize, length: Duration) {
        if let Some(run) = &mut self.nodes[number].run {
            run.frozen_until = self.now + length;
        }
    }

    /// Cuts a router off from those with another `side`.
    pub fn set_side(&mut self, number: usize, side: u8) {
        self.nodes[number].side = side;
    }

    /// Sets a router's clock fast by `step`.
    pub fn step_clock(&mut self, number: usize, step: Duration) {
        let node = &mut self.nodes[number];
        node.clock = UNIX + step;
        if let Some(run) = &mut node.run {
            run.selector.set_unix_offset(node.clock);
        }
    }

    /// Calls of the store since the last call of this function: appends, and lists.
    pub fn take_calls(&mut self) -> (u32, u32) {
        (
            std::mem::take(&mut self.appends),
            std::mem::take(&mut self.lists),
        )
    }

    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + STEP;
            for number in 0..self.nodes.len() {
                if self.is_running(number) {
                    self.call_store(number);
                    self.refresh(number);
                    self.send(number);
                }
            }
            self.count_parts();
        }
    }

    fn is_running(&self, number: usize) -> bool {
        let run = self.nodes[number].run.as_ref();
        run.is_some_and(|run| self.now >= run.started_at && self.now >= run.frozen_until)
    }

    fn call_store(&mut self, number: usize) {
        let now = self.now;
        let calls = self.calls;
        let node = &mut self.nodes[number];
        let unix = node.clock + now.since(Time::ZERO);
        let Some(run) = &mut node.run else {
            return;
        };
        let pause = Duration::from_millis(self.rng.random_range(20..150));
        let retry = Duration::from_millis(700);
        let due = [run.list_at, run.append_at, run.relist_at];
        if due.iter().flatten().all(|at| now < *at) {
            return;
        }
        let roster: Vec<_> = self.roster.values().cloned().collect();
        if run.list_at.is_some_and(|at| now >= at) {
            self.lists += 1;
            run.list_at = (calls == RosterCalls::Down).then(|| now + retry);
            if run.list_at.is_none() {
                run.relist_after = run.fleet.record_first_list(&roster, roster.is_empty());
                run.append_at = Some(now + pause);
            }
            if roster.is_empty() && run.list_at.is_none() {
                // The key of the exchange is written at once with the list that shows that there is none.
                let entry = RosterEntry {
                    name: "first".parse().expect("the literal is a name"),
                    started: Duration::ZERO,
                    written: Duration::ZERO,
                };
                self.roster.insert(entry.name.clone(), entry);
            }
        } else if run.append_at.is_some_and(|at| now >= at) {
            self.appends += 1;
            run.append_at = (calls != RosterCalls::Served).then(|| now + retry);
            if run.append_at.is_none() {
                let entry = RosterEntry {
                    name: node.name.clone(),
                    started: node.clock + run.started_at.since(Time::ZERO),
                    written: unix,
                };
                self.roster.insert(node.name.clone(), entry);
                run.fleet.record_written();
                run.relist_at = run.relist_after.map(|after| now + after);
            }
        } else if run.relist_at.is_some_and(|at| now >= at) {
            self.lists += 1;
            run.relist_at = (calls == RosterCalls::Down).then(|| now + retry);
            if run.relist_at.is_none() {
                run.fleet.record_later_list(&roster, unix);
            }
        }
    }

    /// Lets a router hear of the others and update its part.
    fn refresh(&mut self, number: usize) {
        let now = self.now;
        let due = |run: &Run| now >= run.next_refresh;
        if !self.nodes[number].run.as_ref().is_some_and(due) {
            return;
        }
        let side = self.nodes[number].side;
        let heard: Vec<_> = (0..self.nodes.len())
            .filter(|other| *other != number && self.is_running(*other))
            .filter(|other| self.nodes[*other].side == side)
            .filter_map(|other| self.nodes[other].run.as_ref().map(|run| (other, run)))
            .map(|(other, run)| (other, run.started_at, run.leaves))
            .collect();
        let names: Vec<_> = self.nodes.iter().map(|node| node.name.clone()).collect();
        let Some(run) = &mut self.nodes[number].run else {
            return;
        };
        for (other, started_at, leaves) in heard {
            // The slowest pair hears of each other after the longest delay.
            let pair = (number * 31 + other * 17) as u64 % 97;
            let delay = Duration::from_millis(100 + self.max_delay_ms * pair / 97);
            if now.since(started_at.max(run.started_at)) >= delay || run.heard.contains_key(&other)
            {
                run.heard.insert(other, Heard { last: now, leaves });
            }
        }
        let routers = run.heard.iter().map(|(other, heard)| KnownRouter {
            name: names[*other].clone(),
            has_left: heard.leaves && now.since(heard.last) >= SILENCE,
        });
        let routers: Vec<_> = routers.collect();
        run.fleet.record_members(&routers, true, now);
        run.part = run.fleet.part(now);
        run.selector.set_fleet(run.part, now);
        run.next_refresh = now + REFRESH_INTERVAL;
    }

    fn send(&mut self, number: usize) {
        let now = self.now;
        let Some(run) = &mut self.nodes[number].run else {
            return;
        };
        if now < run.next_request {
            return;
        }
        run.next_request = now + Duration::from_millis(self.rng.random_range(1..2 * DEMAND_MS));
        let criteria = Criteria {
            service: &self.service,
            contexts: &[],
            tried: &[],
            is_retry: false,
            only: None,
            needs_slot: false,
            content: Fingerprint::from(0),
            parts: &[],
            team: &self.team,
        };
        let Ok(choice) = run.selector.choose(&criteria, self.rng.random(), now) else {
            return;
        };
        let finished = Finished {
            end: End::Served,
            content: Fingerprint::from(0),
            parts: &Arc::from([]),
            sent_at: now,
            answer_begun: true,
            team: &self.team,
            route: &self.route,
            timing: None,
        };
        run.selector.record_end(&choice.target.name, &finished, now);
        self.counts.sent += 1;
        self.cold_sent.push_back(now);
        while self
            .cold_sent
            .front()
            .is_some_and(|sent| now.since(*sent) >= Duration::from_secs(1))
        {
            self.cold_sent.pop_front();
        }
        self.counts.cold_peak = self.counts.cold_peak.max(self.cold_sent.len());
    }

    /// Sums the parts of all routers, frozen ones too: they may send when they go on.
    fn count_parts(&mut self) {
        let runs = self.nodes.iter().filter_map(|node| node.run.as_ref());
        let parts = runs.filter_map(|run| run.part.routers());
        let sum: f64 = parts.map(|routers| 1.0 / f64::from(routers)).sum();
        self.counts.largest_sum = self.counts.largest_sum.max(sum);
        if sum > 1.000_001 {
            self.counts.over += STEP;
        }
    }

    /// Numbers of routers that several of them give to one place in the order of turns.
    pub fn shared_ranks(&self) -> usize {
        let runs = self.nodes.iter().filter_map(|node| node.run.as_ref());
        let ranks: Vec<_> = runs.filter_map(|run| run.part.rank).collect();
        let distinct: BTreeSet<_> = ranks.iter().collect();
        ranks.len() - distinct.len()
    }
}
