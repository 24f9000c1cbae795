//! Simulates a fleet of routers, agents and prefix caches to compare placement policies.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use ebonyfall_core::{
    chat::{POINTER_TTL, Pointers},
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

/// Simulated time between two steps.
const TICK_MS: u64 = 20;
/// Simulated time of one run.
const RUN_MS: u64 = 30_000;
/// Time before the measurements start, in which caches and loads settle.
const WARMUP_MS: u64 = 8_000;
/// Mean number of running requests per target.
const MEAN_RUNNING: u64 = 32;
/// Shortest and longest service time of a request; the mean is 4 s.
const SERVICE_MS: (u64, u64) = (2_000, 6_000);
/// Concurrent chats per target.
const CHATS_PER_TARGET: usize = 60;
const GOSSIP_INTERVAL_MS: u64 = 1_000;
/// Lag of every second router's view in [`Case::Disagreement`].
const VIEW_LAG_MS: u64 = 3_000;
/// Ramp of a returning zone, shortened to fit the run.
const ZONE_RAMP: Duration = Duration::from_secs(8);
/// Load bound of a target, as a multiple of the mean load.
const LOAD_MULTIPLE: f64 = 1.25;
const MAX_ATTEMPTS: usize = 4;

struct Target {
    candidate: Candidate,
    zone: usize,
    present: bool,
    running: u32,
    above_bound_ms: u64,
    cache: Cache,
    bound: LoadBound,
    pointers: Pointers,
}

#[derive(Clone, Copy, Default)]
struct Chat {
    id: u64,
    turns: u32,
    last_target: Option<usize>,
    previous_target: Option<usize>,
    running: bool,
}

struct Router {
    present: Vec<bool>,
    zone_out: bool,
    usable: Vec<usize>,
    round_robin_position: usize,
    zones: Zones,
    placement: Option<Placement>,
    lag_ms: u64,
}

/// End of a running request.
struct ScheduledEnd {
    target: usize,
    router: usize,
    chat: Option<usize>,
}

/// State of one simulated run.
pub struct Sim {
    way: PlacementPolicy,
    rng: SmallRng,
    now_ms: u64,
    targets: Vec<Target>,
    index_by_name: HashMap<TargetName, usize>,
    routers: Vec<Router>,
    ring: Ring,
    chats: Vec<Chat>,
    next_chat: u64,
    last_use: u64,
    running: u64,
    /// Ends due at each of the coming steps, the next one first.
    ends: VecDeque<Vec<ScheduledEnd>>,
    zone_out: bool,
    /// Time in milliseconds at which the evacuated zone returned.
    zone_returned_ms: Option<u64>,
    found: SimulationResult,
    requests: u64,
    second_hops: u64,
    /// Load samples above the bound, and all of them.
    samples: (u64, u64),
    /// Cached and total earlier turns of returning chats.
    turns: (u64, u64),
}

impl std::fmt::Debug for Sim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Sim")
            .field("way", &self.way)
            .finish_non_exhaustive()
    }
}

/// Simulates the placement policy `way` in `case` with `count` targets.
///
/// The result depends on the arguments alone.
pub fn run(way: PlacementPolicy, case: Case, count: usize, seed: u64) -> SimulationResult {
    let mut sim = Sim::new(way, case, count, seed);
    let mut events: VecDeque<_> = fleet_changes(case, count).into();
    let mut unseen = vec![events.clone(); sim.routers.len()];
    let mut arrivals = 0.0;
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let rate = (MEAN_RUNNING * count as u64 * TICK_MS) as f64 / 4_000.0;
    for step in 0..RUN_MS / TICK_MS {
        sim.now_ms = step * TICK_MS;
        while let Some((_, event)) = events.pop_front_if(|(at, _)| *at <= sim.now_ms) {
            sim.apply(event);
        }
        for (router, unseen) in unseen.iter_mut().enumerate() {
            let due = sim.now_ms.saturating_sub(sim.routers[router].lag_ms);
            let mut changed = false;
            while let Some((_, event)) = unseen.pop_front_if(|(at, _)| *at <= due) {
                sim.apply_to_view(router, event);
                changed = true;
            }
            if changed || step == 0 {
                sim.rebuild_view(router);
            }
        }
        if sim.now_ms.is_multiple_of(GOSSIP_INTERVAL_MS) {
            sim.gossip();
        }
        sim.finish_due();
        let surge = case == Case::Surge && (12_000..20_000).contains(&sim.now_ms);
        arrivals += rate;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            sim.arrive(false);
            // The surging team has a twentieth of the requests and sends nine more for each.
            if surge && sim.rng.random_bool(0.45) {
                sim.arrive(true);
            }
        }
        if sim.now_ms >= WARMUP_MS {
            sim.sample_loads();
        }
    }
    sim.into_found()
}

impl Sim {
    fn new(way: PlacementPolicy, case: Case, count: usize, seed: u64) -> Self {
        let total = count + (count / 10).max(1);
        let targets: Vec<_> = (0..total)
            .map(|number| Target {
                candidate: candidate(number),
                zone: number % 3,
                present: number < count,
                running: 0,
                above_bound_ms: 0,
                cache: Cache::default(),
                bound: LoadBound::new(LOAD_MULTIPLE, 1.0),
                pointers: Pointers::new(1 << 14, POINTER_TTL),
            })
            .collect();
        let named = targets.iter().enumerate();
        let index_by_name = named.map(|(i, t)| (t.candidate.name.clone(), i)).collect();
        let routers = (0..if way == PlacementPolicy::AllKnowing {
            1
        } else {
            4
        })
            .map(|number| Router {
                present: targets.iter().map(|t| t.present).collect(),
                zone_out: false,
                usable: Vec::new(),
                round_robin_position: 0,
                zones: Zones::default(),
                placement: (way == PlacementPolicy::Product).then(|| Placement::new(LOAD_MULTIPLE)),
                lag_ms: if case == Case::Disagreement && number % 2 == 1 {
                    VIEW_LAG_MS
                } else {
                    0
                },
            })
            .collect();
        let mut next_chat = 0;
        let chats = vec![Chat::default(); CHATS_PER_TARGET * count].into_iter();
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
            now_ms: 0,
            index_by_name,
            routers,
            ring: Ring::new(0..u32::try_from(total).unwrap_or(0)),
            chats: chats.collect(),
            next_chat,
            last_use: 0,
            running: 0,
            ends: std::iter::repeat_with(Vec::new)
                .take(usize::try_from(SERVICE_MS.1 / TICK_MS).unwrap_or(0) + 2)
                .collect(),
            zone_out: false,
            zone_returned_ms: None,
            found: SimulationResult::default(),
            requests: 0,
            second_hops: 0,
            samples: (0, 0),
            turns: (0, 0),
            targets,
        }
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    fn apply(&mut self, event: FleetChange) {
        match event {
            FleetChange::Leave(number) => self.targets[number].present = false,
            FleetChange::Join(number) => {
                // A joining target is a new process with an empty cache.
                let target = &mut self.targets[number];
                target.present = true;
                target.cache = Cache::default();
                target.pointers = Pointers::new(1 << 14, POINTER_TTL);
            }
            FleetChange::ZoneOut => self.zone_out = true,
            FleetChange::ZoneIn => {
                self.zone_out = false;
                self.zone_returned_ms = Some(self.now_ms);
            }
        }
    }

    fn apply_to_view(&mut self, router: usize, event: FleetChange) {
        let router = &mut self.routers[router];
        match event {
            FleetChange::Leave(number) => router.present[number] = false,
            FleetChange::Join(number) => router.present[number] = true,
            FleetChange::ZoneOut => router.zone_out = true,
            FleetChange::ZoneIn => router.zone_out = false,
        }
    }

    fn rebuild_view(&mut self, router: usize) {
        let now = self.time();
        let targets = &self.targets;
        let router = &mut self.routers[router];
        let state = if router.zone_out {
            ZoneState::Out
        } else {
            ZoneState::In
        };
        let zone = &targets[0].candidate.zone;
        router.zones.set(zone, state, ZONE_RAMP, now);
        let present = |i: &usize| router.present[*i];
        let view: Vec<_> = (0..targets.len()).filter(present).collect();
        if let Some(placement) = &mut router.placement {
            let pool_targets: Vec<_> = view
                .iter()
                .map(|number| PoolTarget {
                    candidate: targets[*number].candidate.clone(),
                    serving: true,
                })
                .collect();
            placement.set_targets(&pool_targets, LOAD_MULTIPLE, &router.zones, now);
        }
        let out = router.zone_out;
        let view = view.into_iter().filter(|i| !out || targets[*i].zone != 0);
        router.usable = view.collect();
    }

    fn accepts(&self, target: usize) -> bool {
        let target = &self.targets[target];
        target.present && !(self.zone_out && target.zone == 0)
    }

    /// Share of its usual traffic that the target receives: below 1 while its zone returns.
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    fn traffic_share(&self, target: usize) -> f64 {
        match self.zone_returned_ms {
            Some(returned_ms) if self.targets[target].zone == 0 => {
                ((self.now_ms - returned_ms) as f64 / ZONE_RAMP.as_millis() as f64).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Runs one gossip round, in which every agent and router receives the pool's load sums.
    fn gossip(&mut self) {
        let now = self.time();
        let mut pool = PoolLoad::default();
        for number in 0..self.targets.len() {
            if self.accepts(number) {
                pool.add(self.targets[number].running, self.traffic_share(number));
            }
        }
        for number in 0..self.targets.len() {
            let share = self.traffic_share(number);
            self.targets[number].bound.configure(LOAD_MULTIPLE, share);
            self.targets[number].bound.record_pool(pool, now);
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
        for ScheduledEnd {
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

    /// Submits one request: of the surging team in a chat of its own, or the next turn of an idle
    /// chat, which one time in ten is replaced by a new chat.
    fn arrive(&mut self, surging: bool) {
        let slot = (!surging).then(|| self.idle_chat()).flatten();
        let mut chat = match slot {
            Some(slot) => self.chats[slot],
            None => Chat::default(),
        };
        if slot.is_none() || self.rng.random_bool(0.1) {
            self.next_chat += 1;
            chat = Chat {
                id: self.next_chat,
                ..Chat::default()
            };
        }
        let router = self.rng.random_range(0..self.routers.len());
        let measured = self.now_ms >= WARMUP_MS;
        self.requests += u64::from(measured);
        let Some(target) = self.submit(router, &chat) else {
            self.found.refused += u64::from(measured);
            return;
        };
        self.last_use += 1;
        let cache = &mut self.targets[target].cache;
        let cached = cache.serve(chat.id, chat.turns, self.last_use);
        if measured && chat.turns > 0 {
            self.turns.0 += u64::from(cached);
            self.turns.1 += u64::from(chat.turns);
            self.found.returning += 1;
            if chat.last_target != Some(target) {
                self.found.moved += 1;
                let forced = chat.last_target.is_some_and(|last| !self.accepts(last));
                self.found.forced += u64::from(forced);
            }
        }
        self.running += 1;
        self.targets[target].running += 1;
        if let Some(slot) = slot {
            if chat.last_target != Some(target) {
                chat.previous_target = chat.last_target;
            }
            chat.last_target = Some(target);
            chat.turns += 1;
            chat.running = true;
            self.chats[slot] = chat;
        }
        let steps = self.rng.random_range(SERVICE_MS.0..=SERVICE_MS.1) / TICK_MS;
        let end = usize::try_from(steps).unwrap_or(0);
        self.ends[end].push(ScheduledEnd {
            target,
            router,
            chat: slot,
        });
    }

    fn idle_chat(&mut self) -> Option<usize> {
        (0..64)
            .map(|_| self.rng.random_range(0..self.chats.len()))
            .find(|slot| !self.chats[*slot].running)
    }

    /// Finds a target that accepts the request, in at most [`MAX_ATTEMPTS`] attempts. `None` means
    /// that the request is refused.
    fn submit(&mut self, router: usize, chat: &Chat) -> Option<usize> {
        if self.way == PlacementPolicy::AllKnowing {
            return Some(self.choose_all_knowing(chat));
        }
        if self.way == PlacementPolicy::Product {
            return self.submit_to_product(router, chat);
        }
        let mut tried = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let target = self.choose_baseline(router, chat, &tried)?;
            if self.accepts(target) {
                return Some(target);
            }
            self.second_hops += u64::from(tried.is_empty() && self.now_ms >= WARMUP_MS);
            tried.push(target);
        }
        None
    }

    fn submit_to_product(&mut self, router: usize, chat: &Chat) -> Option<usize> {
        let now = self.time();
        let id = ChatId::from(chat.id);
        let mut tried: Vec<TargetName> = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let Router {
                placement, zones, ..
            } = &mut self.routers[router];
            let placement = placement.as_mut()?;
            let pick = placement.choose(id, chat.turns == 0, &tried, zones, now)?;
            let number = self.index_by_name[&pick.target];
            let at_home = pick.reason == Reason::Home && tried.is_empty();
            let accepts = self.accepts(number);
            let target = &mut self.targets[number];
            let pointer = target.pointers.get(id, now).filter(|_| at_home).cloned();
            let hint = if !accepts {
                None
            } else if pointer.is_some() {
                pointer
            } else if tried.len() < 2 && !target.bound.admits(target.running, now) {
                if let (None, Some(second)) = (target.pointers.get(id, now), &pick.second) {
                    target.pointers.set(id, second, now);
                }
                target.pointers.get(id, now).cloned()
            } else {
                target.pointers.clear(id);
                self.record_served(router, id, &pick.target);
                return Some(number);
            };
            let running = target.running;
            let placement = self.routers[router].placement.as_mut()?;
            placement.record_end(&pick.target, now);
            placement.record_load(&pick.target, running, 0, now);
            if let Some(hint) = hint {
                placement.record_hint(id, &hint, now);
            }
            self.second_hops += u64::from(tried.is_empty() && self.now_ms >= WARMUP_MS);
            tried.push(pick.target);
        }
        None
    }

    fn record_served(&mut self, router: usize, chat: ChatId, target: &TargetName) {
        let now = self.time();
        let Some(placement) = &mut self.routers[router].placement else {
            return;
        };
        for holder in placement.record_served(chat, target, now) {
            let holder = self.index_by_name[&holder];
            if self.targets[holder].present {
                self.targets[holder].pointers.set(chat, target, now);
            }
        }
    }

    fn choose_baseline(&mut self, router: usize, chat: &Chat, tried: &[usize]) -> Option<usize> {
        let Router {
            usable,
            present,
            zone_out,
            round_robin_position,
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
                let bound =
                    load_bound(LOAD_MULTIPLE, self.running as f64, 1.0, usable.len() as f64);
                let mut walk = self.ring.walk(chat.id).map(|i| i as usize);
                walk.find(|i| fits(*i) && targets[*i].running < bound)
            }
            PlacementPolicy::RoundRobin => {
                *round_robin_position += 1;
                (0..usable.len())
                    .map(|step| usable[(*round_robin_position + step) % usable.len()])
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

    /// Returns the target below the load bound that caches most of the chat's context, or else the
    /// least loaded target.
    fn choose_all_knowing(&self, chat: &Chat) -> usize {
        let usable = &self.routers[0].usable;
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let bound = load_bound(LOAD_MULTIPLE, self.running as f64, 1.0, usable.len() as f64);
        let holders = [chat.last_target, chat.previous_target]
            .into_iter()
            .flatten();
        let holders = holders.filter(|i| self.accepts(*i) && self.targets[*i].running < bound);
        let best = holders.max_by_key(|i| self.targets[*i].cache.turns(chat.id));
        let best = best.filter(|i| self.targets[*i].cache.turns(chat.id) > 0);
        let least = || usable.iter().min_by_key(|i| self.targets[**i].running);
        best.or_else(|| least().copied()).unwrap_or(0)
    }

    /// Records the targets' loads relative to the load bound and the mean. The targets of a
    /// returning zone are left out until they receive their full share.
    fn sample_loads(&mut self) {
        let working: Vec<_> = (0..self.targets.len())
            .filter(|i| self.accepts(*i) && self.traffic_share(*i) >= 1.0)
            .collect();
        let loads: Vec<_> = working.iter().map(|i| self.targets[*i].running).collect();
        let sum: u64 = loads.iter().copied().map(u64::from).sum();
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let (sum, count) = (sum as f64, working.len() as f64);
        // The bound held before the last request was placed, which the sum includes.
        let bound = load_bound(LOAD_MULTIPLE, (sum - 1.0).max(0.0), 1.0, count);
        let max = loads.iter().copied().max().unwrap_or(0);
        let above = loads.iter().filter(|load| **load > bound).count();
        for (number, load) in working.iter().zip(&loads) {
            let target = &mut self.targets[*number];
            target.above_bound_ms = if *load > bound {
                target.above_bound_ms + TICK_MS
            } else {
                0
            };
            self.found.longest_above_ms = self.found.longest_above_ms.max(target.above_bound_ms);
        }
        self.samples.0 += above as u64;
        self.samples.1 += working.len() as u64;
        self.found.excess = self.found.excess.max(i64::from(max) - i64::from(bound));
        self.found.max_over_mean = self.found.max_over_mean.max(f64::from(max) * count / sum);
    }

    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    fn into_found(self) -> SimulationResult {
        let share = |(part, all): (u64, u64)| part as f64 / all.max(1) as f64;
        SimulationResult {
            reuse: round(share(self.turns)),
            max_over_mean: round(self.found.max_over_mean),
            above_bound: round(share(self.samples)),
            second_hops: round(share((self.second_hops, self.requests))),
            ..self.found
        }
    }
}

/// Rounds to four decimals, so that reports are easy to compare.
pub fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
