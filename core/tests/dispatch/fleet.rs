//! Routers before targets with slots, in steps of one millisecond. Selection, capacity and dispatch
//! are the code of the product; callers, targets and the network are simulated.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use ebonyfall_core::{
    budget::RetryBound,
    direct::Failure,
    dispatch::{DispatchRequest, Dispatcher, QueueLimits, Verdict},
    doc::Idempotency,
    id::Incarnation,
    name::{ProcessName, RouteName, ServiceName, TargetName, TeamName},
    outcome::{End, Finished},
    reports::OpenReport,
    selector::{Criteria, TargetSelector},
    target::{ReportedLoad, Stage, TargetRecord},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::case::{COUNTED_FROM_MS, Case, Network, Statement, Stream};

const REPORT_INTERVAL_MS: u64 = 300;
const PUBLISH_INTERVAL_MS: u64 = 50;
/// Time until the membership shows that a router has ended.
const MEMBERSHIP_DELAY_MS: u64 = 1_500;

/// What callers of one team got.
#[derive(Debug, Clone, Default)]
pub struct Got {
    pub asked: u32,
    pub in_time: u32,
    pub refused: u32,
    pub at_deadline: u32,
    /// Times to the answer, in milliseconds.
    pub times: Vec<u64>,
}

impl Got {
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    pub fn p99(&self) -> u64 {
        let mut times = self.times.clone();
        times.sort_unstable();
        times.get(times.len() * 99 / 100).copied().unwrap_or(0)
    }
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub teams: Vec<Got>,
    /// Requests that arrived at routers, with those that came back.
    pub arrived: u32,
    pub sent: u32,
    pub declined: u32,
    /// Answers in time after the warm-up, of callers that arrived at any time.
    pub answers: u32,
    /// Share of the slots' time that was idle while at least as many requests waited at routers.
    pub idle: f64,
    /// Largest number of requests at the targets.
    pub most_at_targets: usize,
}

struct Call {
    stream: usize,
    router: usize,
    first: u64,
    deadline: u64,
    target: Option<usize>,
    sent_at: u64,
    attempts: u32,
    retried: bool,
    done: bool,
}

struct Target {
    running: Vec<(u64, u64)>,
    queue: VecDeque<u64>,
}

struct Router {
    name: ProcessName,
    selector: TargetSelector,
    dispatcher: Dispatcher<()>,
    alive: bool,
}

struct World<'a> {
    case: &'a Case,
    rng: SmallRng,
    now: u64,
    routers: Vec<Router>,
    targets: Vec<Target>,
    calls: Vec<Call>,
    /// Times at which refused callers come back, with their call.
    returning: Vec<(u64, u64)>,
    in_transit: Vec<(u64, usize, usize, Arc<OpenReport>)>,
    open: Vec<u64>,
    out: Outcome,
}

pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("it is a name")
}

pub fn at(ms: u64) -> Time {
    Time::from_millis(ms + 100_000)
}

pub fn run(case: &Case) -> Outcome {
    let bound = RetryBound {
        ratio: 0.2,
        slack: 58.0,
        window: Duration::from_secs(10),
    };
    let routers = (0..case.routers).map(|number| {
        let mut selector = TargetSelector::new(name("z0"), bound);
        for target in 0..case.targets {
            let record = TargetRecord {
                name: name(&format!("t-{target}")),
                service: name("s"),
                address: ([127, 0, 0, 1], u16::try_from(target).unwrap_or(0)).into(),
                zone: name("z0"),
                version: "v1".into(),
                slots: case.slots,
                stage: Stage::Ready,
                cold: Duration::ZERO,
                incarnation: Incarnation::from(1),
            };
            selector.put(record, at(0));
        }
        let names = (0..case.targets).map(|target| name(&format!("t-{target}")));
        selector.retain(&names.collect(), at(0));
        if case.known_from_ms.is_none() {
            selector.set_routers(u32::try_from(case.routers).unwrap_or(1));
            selector.set_rank(u32::try_from(number).unwrap_or(0));
        } else {
            selector.await_fleet(at(0));
        }
        Router {
            name: name(&format!("r-{number}")),
            selector,
            dispatcher: Dispatcher::new(QueueLimits::default()),
            alive: true,
        }
    });
    let targets = (0..case.targets).map(|_| Target {
        running: Vec::new(),
        queue: VecDeque::new(),
    });
    let mut world = World {
        case,
        rng: SmallRng::seed_from_u64(case.seed),
        now: 0,
        routers: routers.collect(),
        targets: targets.collect(),
        calls: Vec::new(),
        returning: Vec::new(),
        in_transit: Vec::new(),
        open: Vec::new(),
        out: Outcome {
            teams: vec![Got::default(); case.streams.len()],
            ..Outcome::default()
        },
    };
    let (mut idle, mut slots) = (0_u64, 0_u64);
    for now in 0..case.length_ms {
        world.now = now;
        world.step();
        let running: usize = world
            .targets
            .iter()
            .map(|target| target.running.len())
            .sum();
        let queued: usize = world.targets.iter().map(|target| target.queue.len()).sum();
        let held = running + queued;
        if case.counts(now) {
            world.out.most_at_targets = world.out.most_at_targets.max(held);
        }
        let all = case.targets * case.slots as usize;
        let is_waiting = |call: &&u64| {
            world.calls[usize::try_from(**call).unwrap_or(0)]
                .target
                .is_none()
        };
        let waiting = world.open.iter().filter(is_waiting).count();
        idle += (all - running).min(waiting) as u64;
        slots += all as u64;
    }
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    let share = idle as f64 / slots as f64;
    world.out.idle = share;
    world.out
}

impl World<'_> {
    fn step(&mut self) {
        if self.case.killed_at_ms == Some(self.now) {
            self.routers[0].alive = false;
            for call in std::mem::take(&mut self.open) {
                if self.calls[index(call)].router != 0 {
                    self.open.push(call);
                } else if let Some(target) = self.calls[index(call)].target {
                    self.targets[target]
                        .running
                        .retain(|(_, other)| *other != call);
                    self.targets[target].queue.retain(|other| *other != call);
                }
            }
        }
        if self
            .case
            .killed_at_ms
            .is_some_and(|at| at + MEMBERSHIP_DELAY_MS == self.now)
        {
            for router in &mut self.routers {
                let left = u32::try_from(self.case.routers - 1).unwrap_or(1);
                router.selector.set_routers(left);
            }
        }
        if self.case.known_from_ms == Some(self.now) {
            for (number, router) in self.routers.iter_mut().enumerate() {
                let routers = u32::try_from(self.case.routers).unwrap_or(1);
                router.selector.set_routers(routers);
                let rank = u32::try_from(number).unwrap_or(0);
                router.selector.set_rank(rank);
            }
        }
        if let Some(cut) = self.case.cut
            && cut.at_ms + MEMBERSHIP_DELAY_MS == self.now
        {
            for (number, router) in self.routers.iter_mut().enumerate() {
                let group = number % cut.groups;
                let members = (group..self.case.routers).step_by(cut.groups).count();
                let members = u32::try_from(members).unwrap_or(1);
                let rank = u32::try_from(number / cut.groups).unwrap_or(0);
                router
                    .selector
                    .set_live_routers(members, rank, at(self.now));
            }
        }
        self.end_running();
        self.deliver();
        for stream in 0..self.case.streams.len() {
            let slots = f64::from(self.case.slots)
                * f64::from(u32::try_from(self.case.targets).unwrap_or(1));
            let per_ms =
                self.case.streams[stream].load * slots / self.case.mean_service_s() / 1_000.0;
            // A Poisson process in steps of a tenth of a millisecond.
            for _ in 0..10 {
                if self.rng.random_bool(per_ms / 10.0) {
                    self.arrive(stream, None);
                }
            }
        }
        let (due, later) = std::mem::take(&mut self.returning)
            .into_iter()
            .partition(|(due, _)| *due <= self.now);
        self.returning = later;
        for (_, call) in due {
            self.arrive(self.calls[index(call)].stream, Some(call));
        }
        for call in self.open.clone() {
            if self.calls[index(call)].deadline <= self.now {
                self.end(call, |got| got.at_deadline += 1, End::Cancelled);
            }
        }
        for router in 0..self.routers.len() {
            let offset = (router as u64 * 37) % REPORT_INTERVAL_MS;
            if self.now % REPORT_INTERVAL_MS == offset {
                self.report(router);
            }
            let (random, now) = (self.rng.random(), at(self.now));
            let Router {
                selector,
                dispatcher,
                ..
            } = &mut self.routers[router];
            if self.now % PUBLISH_INTERVAL_MS == offset % PUBLISH_INTERVAL_MS {
                dispatcher.set_rooms(selector.rooms(now), random, now);
            }
            if dispatcher.next_expiry().is_some_and(|at| at <= now) {
                dispatcher.expire(random, now);
            }
            self.act(router);
        }
    }

    fn arrive(&mut self, stream: usize, back: Option<u64>) {
        let alive: Vec<_> = (0..self.routers.len())
            .filter(|router| self.routers[*router].alive)
            .collect();
        let router = alive[self.rng.random_range(0..alive.len())];
        let before = back.map(|call| {
            (
                self.calls[index(call)].first,
                self.calls[index(call)].deadline,
            )
        });
        let (first, deadline) = before.unwrap_or((self.now, self.now + self.case.deadline_ms));
        let id = self.calls.len() as u64;
        self.calls.push(Call {
            stream,
            router,
            first,
            deadline,
            target: None,
            sent_at: 0,
            attempts: 0,
            retried: back.is_some(),
            done: false,
        });
        self.open.push(id);
        self.out.arrived += 1;
        if back.is_none() && self.case.counts(self.now) {
            self.out.teams[stream].asked += 1;
        }
        let Stream { team, class, .. } = self.case.streams[stream];
        let request = DispatchRequest {
            service: name("s"),
            team: name(team),
            priority: class,
            content: back.unwrap_or(id).into(),
            idempotency: Idempotency::Idempotent,
            objective: Duration::from_millis(self.case.objective_ms),
            timeout: Duration::from_millis(self.case.deadline_ms),
            arrived: at(self.now),
            deadline: at(deadline),
            bytes: 1_000,
        };
        let random = self.rng.random();
        let dispatcher = &mut self.routers[router].dispatcher;
        dispatcher.offer(id, request, (), random, at(self.now));
        self.act(router);
    }

    /// Acts on the decisions of a router.
    fn act(&mut self, router: usize) {
        loop {
            let decided = self.routers[router].dispatcher.take_decided();
            if decided.is_empty() {
                return;
            }
            for decision in decided {
                match decision.verdict {
                    Verdict::Admitted => self.send(decision.id),
                    Verdict::Refused { after, .. } => self.refused(decision.id, after),
                }
            }
        }
    }

    fn refused(&mut self, id: u64, after: Duration) {
        let after = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        let call = &mut self.calls[index(id)];
        let left = call.deadline.saturating_sub(self.now);
        self.open.retain(|other| *other != id);
        call.done = true;
        if !call.retried && after <= left / 3 {
            self.returning.push((self.now + after, id));
        } else if self.case.counts(call.first) {
            self.out.teams[call.stream].refused += 1;
        }
    }

    fn send(&mut self, id: u64) {
        let call = &self.calls[index(id)];
        let criteria = Criteria {
            service: &name::<ServiceName>("s"),
            contexts: &[],
            tried: &[],
            is_retry: call.attempts > 0,
            only: None,
            needs_slot: false,
            content: id.into(),
            parts: &[],
            team: &name::<TeamName>("t"),
        };
        let random = self.rng.random();
        let selector = &mut self.routers[call.router].selector;
        let Ok(choice) = selector.choose(&criteria, random, at(self.now)) else {
            self.end(id, |got| got.refused += 1, End::Cancelled);
            return;
        };
        let chosen = usize::from(choice.target.address.port());
        let target = &mut self.targets[chosen];
        let call = &mut self.calls[index(id)];
        (call.target, call.sent_at) = (Some(chosen), self.now);
        call.attempts += 1;
        self.out.sent += 1;
        if target.running.len() < self.case.slots as usize {
            let [least, most] = self.case.service_ms;
            target
                .running
                .push((self.now + self.rng.random_range(least..=most), id));
        } else if target.queue.len() < self.case.target_queue {
            // The most urgent class goes first.
            let class = |call: &u64| self.case.streams[self.calls[index(*call)].stream].class;
            let place = target
                .queue
                .iter()
                .position(|other| class(other) > class(&id));
            let place = place.unwrap_or(target.queue.len());
            target.queue.insert(place, id);
        } else {
            self.out.declined += 1;
            self.leave_target(id, End::Failed(Failure::Declined));
            if self.calls[index(id)].attempts < 2 {
                self.send(id);
            } else {
                self.end(id, |got| got.refused += 1, End::Cancelled);
            }
        }
    }

    fn end_running(&mut self) {
        for target in 0..self.targets.len() {
            let ended: Vec<_> = self.targets[target]
                .running
                .extract_if(.., |(until, _)| *until <= self.now)
                .collect();
            for (_, id) in ended {
                let took = self.now - self.calls[index(id)].first;
                self.out.answers += u32::from(self.now >= COUNTED_FROM_MS);
                self.end(
                    id,
                    |got| {
                        got.in_time += 1;
                        got.times.push(took);
                    },
                    End::Served,
                );
            }
        }
    }

    /// Tells the router that the call has ended at its target, and lets the target go on.
    fn leave_target(&mut self, id: u64, end: End) {
        let call = &mut self.calls[index(id)];
        let Some(target) = call.target.take() else {
            return;
        };
        let finished = Finished {
            end,
            content: id.into(),
            parts: &Arc::from([]),
            sent_at: at(call.sent_at),
            answer_begun: end == End::Served,
            team: &name::<TeamName>("t"),
            route: &name::<RouteName>("r"),
            timing: None,
        };
        let target_name: TargetName = name(&format!("t-{target}"));
        let selector = &mut self.routers[call.router].selector;
        let state = &mut self.targets[target];
        state.running.retain(|(_, other)| *other != id);
        state.queue.retain(|other| *other != id);
        while state.running.len() < self.case.slots as usize
            && let Some(next) = state.queue.pop_front()
        {
            let [least, most] = self.case.service_ms;
            state
                .running
                .push((self.now + self.rng.random_range(least..=most), next));
        }
        let load = match self.case.statement {
            Statement::None => None,
            Statement::True => Some([state.running.len(), state.queue.len()]),
            Statement::Huge => Some([usize::MAX, usize::MAX]),
            Statement::Stuck => Some([0, 3 * self.case.slots as usize]),
        };
        if let Some([running, waiting]) = load {
            let count = |count| u32::try_from(count).unwrap_or(u32::MAX);
            let (running, waiting) = (count(running), count(waiting));
            let load = ReportedLoad {
                running,
                waiting,
                ..ReportedLoad::default()
            };
            selector.record_load(&target_name, load, at(self.now));
        }
        let _no_probe = selector.record_end(&target_name, &finished, at(self.now));
    }

    fn end(&mut self, id: u64, count: impl Fn(&mut Got), end: End) {
        self.leave_target(id, end);
        let call = &mut self.calls[index(id)];
        if std::mem::replace(&mut call.done, true) {
            return;
        }
        if self.case.counts(call.first) {
            count(&mut self.out.teams[call.stream]);
        }
        let router = call.router;
        self.open.retain(|other| *other != id);
        let random = self.rng.random();
        let dispatcher = &mut self.routers[router].dispatcher;
        dispatcher.release(id, random, at(self.now));
        self.act(router);
    }

    fn report(&mut self, from: usize) {
        if !self.routers[from].alive || self.case.network == Network::Silent {
            return;
        }
        let router = &mut self.routers[from];
        router.selector.set_demand(router.dispatcher.demand());
        let report = Arc::new(router.selector.next_report());
        for to in (0..self.routers.len()).filter(|to| *to != from) {
            let delay = match self.case.network {
                Network::Late => self.rng.random_range(300..900),
                _ => self.rng.random_range(2..40),
            };
            let lost = match self.case.network {
                Network::Lossy => self.rng.random_bool(0.5),
                Network::OneWay => from % 2 == 1,
                _ => false,
            };
            let is_cut = self
                .case
                .cut
                .is_some_and(|cut| self.now >= cut.at_ms && from % cut.groups != to % cut.groups);
            if !lost && !is_cut {
                self.in_transit
                    .push((self.now + delay, from, to, Arc::clone(&report)));
            }
        }
    }

    fn deliver(&mut self) {
        let due = self.in_transit.extract_if(.., |(due, ..)| *due <= self.now);
        for (_, from, to, report) in due {
            let from = self.routers[from].name.clone();
            let selector = &mut self.routers[to].selector;
            selector.record_report(&from, &report, at(self.now));
        }
    }
}

fn index(call: u64) -> usize {
    usize::try_from(call).expect("a call's number fits")
}
