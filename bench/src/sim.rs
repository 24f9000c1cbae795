//! A simulated fleet of routers, agents and caches that compares ways of placement.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use ebonyfall_core::{
    chat::{POINTER_LIFE, Pointers},
    choose::{Placement, PoolTarget, Reason},
    doc::ZoneState,
    id::ChatId,
    load::{LoadBound, PoolLoad, load_bound},
    name::TargetName,
    place::Candidate,
    time::Time,
    zone::Zones,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    cache::Cache,
    case::{Case, FleetChange, PlacementPolicy, SimulationResult, candidate, fleet_changes},
    ring::Ring,
};

/// Length of a step.
const TICK_MS: u64 = 20;
/// Length of a run.
const END_MS: u64 = 30_000;
/// Start of the measurements, when caches and loads have settled.
const WARM_MS: u64 = 8_000;
/// Mean number of requests running at a target.
const MEAN_LOAD: u64 = 32;
/// Shortest and longest time of a request; the mean is 4 s.
const REQUEST_MS: (u64, u64) = (2_000, 6_000);
/// Chats in use, for each target.
const CHATS: usize = 60;
/// Time between two rounds of gossip.
const GOSSIP_MS: u64 = 1_000;
/// Time by which some routers' views lag in the case of disagreement.
const LAG_MS: u64 = 3_000;
/// Time of the ramp of a returning zone, shortened to fit the run.
const RAMP: Duration = Duration::from_secs(8);
/// Multiple of the mean load.
const MULTIPLE: f64 = 1.25;
/// Attempts for one request.
const ATTEMPTS: usize = 4;

struct Target {
    candidate: Candidate,
    zone: usize,
    present: bool,
    running: u32,
    above: u64,
    cache: Cache,
    own: LoadBound,
    pointers: Pointers,
}

#[derive(Clone, Copy, Default)]
struct Chat {
    id: u64,
    turns: u32,
    last: Option<usize>,
    before: Option<usize>,
    running: bool,
}

struct Router {
    present: Vec<bool>,
    zone_out: bool,
    usable: Vec<usize>,
    turn: usize,
    zones: Zones,
    placement: Option<Placement>,
    lag: u64,
}

struct End {
    target: usize,
    router: usize,
    chat: Option<usize>,
}

/// One run.
pub struct Sim {
    way: PlacementPolicy,
    rng: SmallRng,
    now: u64,
    targets: Vec<Target>,
    index: HashMap<TargetName, usize>,
    routers: Vec<Router>,
    ring: Ring,
    chats: Vec<Chat>,
    next_chat: u64,
    stamp: u64,
    running: u64,
    ends: VecDeque<Vec<End>>,
    zone_out: bool,
    zone_back: Option<u64>,
    found: SimulationResult,
    requests: u64,
    hops: u64,
    samples: (u64, u64),
    tokens: (u64, u64),
}

impl std::fmt::Debug for Sim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Sim")
            .field("way", &self.way)
            .finish_non_exhaustive()
    }
}

/// Runs `way` through `case` with `count` targets.
pub fn run(way: PlacementPolicy, case: Case, count: usize, seed: u64) -> SimulationResult {
    let mut sim = Sim::new(way, case, count, seed);
    let mut events: VecDeque<_> = fleet_changes(case, count).into();
    let mut late = vec![events.clone(); sim.routers.len()];
    let mut arrivals = 0.0;
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let rate = (MEAN_LOAD * count as u64 * TICK_MS) as f64 / 4_000.0;
    for step in 0..END_MS / TICK_MS {
        sim.now = step * TICK_MS;
        while let Some((_, event)) = events.pop_front_if(|(at, _)| *at <= sim.now) {
            sim.apply(event);
        }
        for (router, late) in late.iter_mut().enumerate() {
            let due = sim.now.saturating_sub(sim.routers[router].lag);
            let mut changed = false;
            while let Some((_, event)) = late.pop_front_if(|(at, _)| *at <= due) {
                sim.learn(router, event);
                changed = true;
            }
            if changed || step == 0 {
                sim.take_view(router);
            }
        }
        if sim.now.is_multiple_of(GOSSIP_MS) {
            sim.gossip();
        }
        sim.finish_due();
        let surge = case == Case::Surge && (12_000..20_000).contains(&sim.now);
        arrivals += rate;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            sim.arrive(false);
            // Nine more for each request of the team, whose share is a twentieth.
            if surge && sim.rng.random_bool(0.45) {
                sim.arrive(true);
            }
        }
        if sim.now >= WARM_MS {
            sim.sample();
        }
    }
    sim.report()
}

impl Sim {
    fn new(way: PlacementPolicy, case: Case, count: usize, seed: u64) -> Self {
        let all = count + (count / 10).max(1);
        let targets: Vec<_> = (0..all)
            .map(|number| Target {
                candidate: candidate(number),
                zone: number % 3,
                present: number < count,
                running: 0,
                above: 0,
                cache: Cache::default(),
                own: LoadBound::new(MULTIPLE, 1.0),
                pointers: Pointers::new(1 << 14, POINTER_LIFE),
            })
            .collect();
        let named = targets.iter().enumerate();
        let index = named.map(|(i, t)| (t.candidate.name.clone(), i)).collect();
        let routers = (0..if way == PlacementPolicy::AllKnowing {
            1
        } else {
            4
        })
            .map(|number| Router {
                present: targets.iter().map(|t| t.present).collect(),
                zone_out: false,
                usable: Vec::new(),
                turn: 0,
                zones: Zones::default(),
                placement: (way == PlacementPolicy::Product).then(|| Placement::new(MULTIPLE)),
                lag: if case == Case::Disagreement && number % 2 == 1 {
                    LAG_MS
                } else {
                    0
                },
            })
            .collect();
        let mut next_chat = 0;
        let chats = vec![Chat::default(); CHATS * count].into_iter();
        let chats = chats.map(|chat| {
            next_chat += 1;
            Chat {
                id: next_chat,
                ..chat
            }
        });
        Self {
            way,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            index,
            routers,
            ring: Ring::new(0..u32::try_from(all).unwrap_or(0)),
            chats: chats.collect(),
            next_chat,
            stamp: 0,
            running: 0,
            ends: std::iter::repeat_with(Vec::new)
                .take(usize::try_from(REQUEST_MS.1 / TICK_MS).unwrap_or(0) + 2)
                .collect(),
            zone_out: false,
            zone_back: None,
            found: SimulationResult::default(),
            requests: 0,
            hops: 0,
            samples: (0, 0),
            tokens: (0, 0),
            targets,
        }
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn apply(&mut self, event: FleetChange) {
        match event {
            FleetChange::Leave(number) => self.targets[number].present = false,
            FleetChange::Join(number) => {
                // A target that joins is a fresh process with an empty cache.
                let target = &mut self.targets[number];
                target.present = true;
                target.cache = Cache::default();
                target.pointers = Pointers::new(1 << 14, POINTER_LIFE);
            }
            FleetChange::ZoneOut => self.zone_out = true,
            FleetChange::ZoneIn => {
                self.zone_out = false;
                self.zone_back = Some(self.now);
            }
        }
    }

    fn learn(&mut self, router: usize, event: FleetChange) {
        let router = &mut self.routers[router];
        match event {
            FleetChange::Leave(number) => router.present[number] = false,
            FleetChange::Join(number) => router.present[number] = true,
            FleetChange::ZoneOut => router.zone_out = true,
            FleetChange::ZoneIn => router.zone_out = false,
        }
    }

    fn take_view(&mut self, router: usize) {
        let now = self.time();
        let targets = &self.targets;
        let router = &mut self.routers[router];
        let state = if router.zone_out {
            ZoneState::Out
        } else {
            ZoneState::In
        };
        let zone = &targets[0].candidate.zone;
        router.zones.set(zone, state, RAMP, now);
        let present = |i: &usize| router.present[*i];
        let view: Vec<_> = (0..targets.len()).filter(present).collect();
        if let Some(placement) = &mut router.placement {
            let members: Vec<_> = view
                .iter()
                .map(|number| PoolTarget {
                    candidate: targets[*number].candidate.clone(),
                    serving: true,
                })
                .collect();
            placement.set_targets(&members, MULTIPLE, &router.zones, now);
        }
        let out = router.zone_out;
        let view = view.into_iter().filter(|i| !out || targets[*i].zone != 0);
        router.usable = view.collect();
    }

    fn takes_work(&self, target: usize) -> bool {
        let target = &self.targets[target];
        target.present && !(self.zone_out && target.zone == 0)
    }

    /// Share of its work that the target takes while its zone returns.
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    fn share(&self, target: usize) -> f64 {
        match self.zone_back {
            Some(back) if self.targets[target].zone == 0 => {
                ((self.now - back) as f64 / RAMP.as_millis() as f64).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Each agent and router learns the sums of its pool once in a round.
    fn gossip(&mut self) {
        let now = self.time();
        let mut pool = PoolLoad::default();
        for number in 0..self.targets.len() {
            if self.takes_work(number) {
                pool.add(self.targets[number].running, self.share(number));
            }
        }
        for number in 0..self.targets.len() {
            let share = self.share(number);
            self.targets[number].own.configure(MULTIPLE, share);
            self.targets[number].own.record_pool(pool, now);
        }
        for router in &mut self.routers {
            if let Some(placement) = &mut router.placement {
                placement.record_pool_load(pool, now);
            }
        }
    }

    fn finish_due(&mut self) {
        let now = self.time();
        let due = self.ends.pop_front().unwrap_or_default();
        self.ends.push_back(Vec::new());
        for End {
            target,
            router,
            chat,
        } in due
        {
            self.running -= 1;
            self.targets[target].running -= 1;
            if let Some(chat) = chat {
                self.chats[chat].running = false;
            }
            if let Some(placement) = &mut self.routers[router].placement {
                let Target {
                    candidate, running, ..
                } = &self.targets[target];
                placement.record_end(&candidate.name, now);
                placement.record_load(&candidate.name, *running, 0, now);
            }
        }
    }

    /// One request: of the surging team with a chat of its own, or a turn of a chat.
    fn arrive(&mut self, surging: bool) {
        let place = (!surging).then(|| self.idle_chat()).flatten();
        let mut chat = match place {
            Some(place) => self.chats[place],
            None => Chat::default(),
        };
        if place.is_none() || self.rng.random_bool(0.1) {
            self.next_chat += 1;
            chat = Chat {
                id: self.next_chat,
                ..Chat::default()
            };
        }
        let router = self.rng.random_range(0..self.routers.len());
        let measured = self.now >= WARM_MS;
        self.requests += u64::from(measured);
        let Some(target) = self.submit(router, &chat) else {
            self.found.refused += u64::from(measured);
            return;
        };
        self.stamp += 1;
        let cache = &mut self.targets[target].cache;
        let cached = cache.serve(chat.id, chat.turns, self.stamp);
        if measured && chat.turns > 0 {
            self.tokens.0 += u64::from(cached);
            self.tokens.1 += u64::from(chat.turns);
            self.found.returning += 1;
            if chat.last != Some(target) {
                self.found.moved += 1;
                let forced = chat.last.is_some_and(|last| !self.takes_work(last));
                self.found.forced += u64::from(forced);
            }
        }
        self.running += 1;
        self.targets[target].running += 1;
        if let Some(place) = place {
            if chat.last != Some(target) {
                chat.before = chat.last;
            }
            chat.last = Some(target);
            chat.turns += 1;
            chat.running = true;
            self.chats[place] = chat;
        }
        let length = self.rng.random_range(REQUEST_MS.0..=REQUEST_MS.1) / TICK_MS;
        let end = usize::try_from(length).unwrap_or(0);
        self.ends[end].push(End {
            target,
            router,
            chat: place,
        });
    }

    fn idle_chat(&mut self) -> Option<usize> {
        (0..64)
            .map(|_| self.rng.random_range(0..self.chats.len()))
            .find(|place| !self.chats[*place].running)
    }

    /// Finds a target by at most [`ATTEMPTS`] attempts.
    fn submit(&mut self, router: usize, chat: &Chat) -> Option<usize> {
        if self.way == PlacementPolicy::AllKnowing {
            return Some(self.all_knowing(chat));
        }
        if self.way == PlacementPolicy::Product {
            return self.product(router, chat);
        }
        let mut tried = Vec::new();
        for _ in 0..ATTEMPTS {
            let target = self.baseline(router, chat, &tried)?;
            if self.takes_work(target) {
                return Some(target);
            }
            self.hops += u64::from(tried.is_empty() && self.now >= WARM_MS);
            tried.push(target);
        }
        None
    }

    fn product(&mut self, router: usize, chat: &Chat) -> Option<usize> {
        let now = self.time();
        let id = ChatId::from(chat.id);
        let mut tried: Vec<TargetName> = Vec::new();
        for _ in 0..ATTEMPTS {
            let Router {
                placement, zones, ..
            } = &mut self.routers[router];
            let placement = placement.as_mut()?;
            let pick = placement.choose(id, chat.turns == 0, &tried, zones, now)?;
            let number = self.index[&pick.target];
            let follow = pick.reason == Reason::Home && tried.is_empty();
            let takes = self.takes_work(number);
            let target = &mut self.targets[number];
            let moved = target.pointers.get(id, now).filter(|_| follow).cloned();
            let hint = if !takes {
                None
            } else if moved.is_some() {
                moved
            } else if tried.len() < 2 && !target.own.admits(target.running, now) {
                if let (None, Some(second)) = (target.pointers.get(id, now), &pick.second) {
                    target.pointers.set(id, second, now);
                }
                target.pointers.get(id, now).cloned()
            } else {
                target.pointers.clear(id);
                self.served(router, id, &pick.target);
                return Some(number);
            };
            let running = target.running;
            let placement = self.routers[router].placement.as_mut()?;
            placement.record_end(&pick.target, now);
            placement.record_load(&pick.target, running, 0, now);
            if let Some(hint) = hint {
                placement.record_hint(id, &hint, now);
            }
            self.hops += u64::from(tried.is_empty() && self.now >= WARM_MS);
            tried.push(pick.target);
        }
        None
    }

    fn served(&mut self, router: usize, chat: ChatId, target: &TargetName) {
        let now = self.time();
        let Some(placement) = &mut self.routers[router].placement else {
            return;
        };
        for keeper in placement.record_served(chat, target, now) {
            let keeper = self.index[&keeper];
            if self.targets[keeper].present {
                self.targets[keeper].pointers.set(chat, target, now);
            }
        }
    }

    fn baseline(&mut self, router: usize, chat: &Chat, tried: &[usize]) -> Option<usize> {
        let Router {
            usable,
            present,
            zone_out,
            turn,
            ..
        } = &mut self.routers[router];
        let targets = &self.targets;
        let fits =
            |i: usize| present[i] && !(*zone_out && targets[i].zone == 0) && !tried.contains(&i);
        match self.way {
            PlacementPolicy::Ring => self
                .ring
                .walk(chat.id)
                .map(|i| i as usize)
                .find(|i| fits(*i)),
            PlacementPolicy::BoundedRing => {
                #[expect(clippy::cast_precision_loss, reason = "small numbers")]
                let most = load_bound(MULTIPLE, self.running as f64, 1.0, usable.len() as f64);
                let mut walk = self.ring.walk(chat.id).map(|i| i as usize);
                walk.find(|i| fits(*i) && targets[*i].running < most)
            }
            PlacementPolicy::RoundRobin => {
                *turn += 1;
                (0..usable.len())
                    .map(|step| usable[(*turn + step) % usable.len()])
                    .find(|i| fits(*i))
            }
            PlacementPolicy::LeastLoaded => {
                let usable = usable.iter().copied().filter(|i| fits(*i));
                usable.min_by_key(|i| targets[*i].running)
            }
            PlacementPolicy::TwoChoices => {
                let two = [(); 2].map(|()| usable[self.rng.random_range(0..usable.len())]);
                let fitting = two.into_iter().filter(|i| fits(*i));
                fitting.min_by_key(|i| targets[*i].running)
            }
            _ => Some(usable[self.rng.random_range(0..usable.len())]),
        }
    }

    /// The target with most of the context below the bound, else the least loaded.
    fn all_knowing(&self, chat: &Chat) -> usize {
        let usable = &self.routers[0].usable;
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let most = load_bound(MULTIPLE, self.running as f64, 1.0, usable.len() as f64);
        let held = [chat.last, chat.before].into_iter().flatten();
        let held = held.filter(|i| self.takes_work(*i) && self.targets[*i].running < most);
        let best = held.max_by_key(|i| self.targets[*i].cache.turns(chat.id));
        let best = best.filter(|i| self.targets[*i].cache.turns(chat.id) > 0);
        let least = || usable.iter().min_by_key(|i| self.targets[**i].running);
        best.or_else(|| least().copied()).unwrap_or(0)
    }

    /// Compares loads. The targets of a returning zone are left out until they take a full share.
    fn sample(&mut self) {
        let working: Vec<_> = (0..self.targets.len())
            .filter(|i| self.takes_work(*i) && self.share(*i) >= 1.0)
            .collect();
        let loads: Vec<_> = working.iter().map(|i| self.targets[*i].running).collect();
        let sum: u64 = loads.iter().copied().map(u64::from).sum();
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let (sum, count) = (sum as f64, working.len() as f64);
        // The request that was placed last is part of the sum.
        let most = load_bound(MULTIPLE, (sum - 1.0).max(0.0), 1.0, count);
        let max = loads.iter().copied().max().unwrap_or(0);
        let above = loads.iter().filter(|load| **load > most).count();
        for (number, load) in working.iter().zip(&loads) {
            let target = &mut self.targets[*number];
            target.above = if *load > most {
                target.above + TICK_MS
            } else {
                0
            };
            self.found.longest_above_ms = self.found.longest_above_ms.max(target.above);
        }
        self.samples.0 += above as u64;
        self.samples.1 += working.len() as u64;
        self.found.excess = self.found.excess.max(i64::from(max) - i64::from(most));
        self.found.max_over_mean = self.found.max_over_mean.max(f64::from(max) * count / sum);
    }

    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    fn report(self) -> SimulationResult {
        let share = |(part, all): (u64, u64)| part as f64 / all.max(1) as f64;
        SimulationResult {
            reuse: round(share(self.tokens)),
            max_over_mean: round(self.found.max_over_mean),
            above_bound: round(share(self.samples)),
            second_hops: round(share((self.hops, self.requests))),
            ..self.found
        }
    }
}

/// Four decimals, so that reports are easy to compare.
pub fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
