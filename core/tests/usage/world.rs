//! Routers, store and platform of a schedule.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
    time::Duration,
};

use ebonyfall_core::{
    id::{Incarnation, Offset},
    name::{ProcessName, TeamName},
    time::Time,
    usage::{
        duty::{Duty, DutyInput, UsageReport},
        records::{FenceToken, HolderId, StoreAnswer, StoreCall, UsageRecord},
        reporter::{SendOutcome, WindowState},
        window::{CountChange, CountSource, WindowId},
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::plan::{Plan, Variant, ms};

const STEP_MS: u64 = 10;
const TICK_MS: u64 = 50;
const LEASE_MS: u64 = 3_000;
const STORE_TIMEOUT_MS: u64 = 700;
const CALL_TIMEOUT_MS: u64 = 500;
/// Largest error of a router's true time.
const MAX_SKEW_MS: u64 = 200;
/// Time from the death of a router until others count it out.
const DETECTION_MS: u64 = 2_000;
/// End of the faults, and of the schedule.
const FAULTS_END_MS: u64 = 90_000;
const END_MS: u64 = 140_000;
/// True time at the start.
const EPOCH_MS: u64 = 1_767_225_600_000;

struct Router {
    name: ProcessName,
    address: IpAddr,
    incarnation: u64,
    duty: Duty,
    started: u64,
    dead_until: Option<u64>,
    died: u64,
    frozen_until: u64,
    frozen_total: u64,
    stop_at: Option<u64>,
    /// Until when calls of the store are lost.
    cut_until: u64,
    /// Until when its view of the membership is not fresh.
    blind_until: u64,
    /// Error of its true time, plus the largest one.
    skew: u64,
    /// Report that waits for its connection.
    prepared: Option<UsageReport>,
}

enum Event {
    /// A call of the store takes effect, and is answered if the flag says so.
    Store(usize, u64, StoreCall, bool),
    StoreAnswer(usize, u64, StoreAnswer),
    Platform(usize, IpAddr, u64, UsageReport, bool),
    Outcome(usize, u64, WindowId, SendOutcome),
}

/// One schedule.
pub struct World {
    variant: Variant,
    plan: Plan,
    rng: SmallRng,
    now: u64,
    routers: Vec<Router>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    stream: Vec<UsageRecord>,
    store_calls: u64,
    store_away_until: u64,
    platform_away_until: u64,
    calls: Vec<(u64, IpAddr, FenceToken)>,
    reports: BTreeMap<WindowId, (u64, BTreeMap<TeamName, u64>)>,
    violations: BTreeSet<String>,
}

fn duty(plan: Plan, id: (&ProcessName, IpAddr, u64), lease: u64, now: u64) -> Duty {
    let (name, address, incarnation) = id;
    let id = HolderId {
        name: name.clone(),
        address,
        incarnation: Incarnation::from(incarnation),
    };
    Duty::new(id, ms(lease), plan.times(), ms(EPOCH_MS + now))
}

impl World {
    pub fn new(count: usize, seed: u64, plan: Plan, variant: Variant) -> Self {
        let routers = (0..count).map(|index| {
            let name = ProcessName::new(format!("edge-{index}")).expect("the name is valid");
            let address = IpAddr::from([10, 0, 0, u8::try_from(index).expect("few routers")]);
            let lease = Self::lease(variant, index);
            Router {
                duty: duty(plan, (&name, address, 0), lease, 0),
                name,
                address,
                incarnation: 0,
                started: 0,
                dead_until: None,
                died: 0,
                frozen_until: 0,
                frozen_total: 0,
                stop_at: None,
                cut_until: 0,
                blind_until: 0,
                skew: MAX_SKEW_MS,
                prepared: None,
            }
        });
        Self {
            variant,
            plan,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            routers: routers.collect(),
            events: BTreeMap::new(),
            sequence: 0,
            stream: Vec::new(),
            store_calls: 0,
            store_away_until: 0,
            platform_away_until: 0,
            calls: Vec::new(),
            reports: BTreeMap::new(),
            violations: BTreeSet::new(),
        }
    }

    fn lease(variant: Variant, index: usize) -> u64 {
        if variant == Variant::LongLeases && index.is_multiple_of(2) {
            return 4 * LEASE_MS;
        }
        LEASE_MS
    }

    pub fn run(&mut self) {
        while self.now < END_MS {
            self.now += STEP_MS;
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now
            {
                let event = entry.remove();
                self.on_event(event);
            }
            if self.now < FAULTS_END_MS {
                self.inject();
            }
            for index in 0..self.routers.len() {
                self.restart(index);
                let phase = (index as u64 * STEP_MS) % TICK_MS;
                if self.now % TICK_MS == phase && self.runs(index) {
                    self.tick(index);
                }
            }
        }
    }

    pub fn violations(&self) -> Vec<&str> {
        self.violations.iter().map(String::as_str).collect()
    }

    /// Windows that ended early enough but were never reported, counted from the first one.
    pub fn unreported(&self) -> Vec<u64> {
        let first = EPOCH_MS / self.plan.window_ms();
        let last = (EPOCH_MS + END_MS - 2 * self.plan.lateness_ms()) / self.plan.window_ms();
        let windows = (first..last).filter(|window| !self.reports.contains_key(&(*window).into()));
        windows.map(|window| window - first).collect()
    }

    /// Windows that were reported after they were due.
    pub fn late(&self) -> Vec<u64> {
        let first = EPOCH_MS / self.plan.window_ms();
        let late = self.reports.iter().filter(|(window, (at, _))| {
            let due = self.plan.times().window.end(**window) + ms(self.plan.lateness_ms());
            ms(EPOCH_MS + at) > due
        });
        late.map(|(window, _)| u64::from(*window) - first).collect()
    }

    #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
    pub fn store_calls_per_second(&self) -> f64 {
        self.store_calls as f64 * 1_000.0 / END_MS as f64
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn holder(&mut self) -> Option<usize> {
        (0..self.routers.len())
            .find(|index| self.routers[*index].duty.holder().held_until().is_some())
    }

    /// Starts faults, most of them at the holder.
    fn inject(&mut self) {
        let anyone = self.rng.random_range(0..self.routers.len());
        let holder = self.holder();
        let index = holder.filter(|_| self.chance(700)).unwrap_or(anyone);
        let now = self.now;
        let length = self.rng.random_range(300..8_000);
        match self.plan {
            Plan::Calm => {}
            Plan::Freezes => {
                if self.chance(3) {
                    self.freeze(index, length);
                }
            }
            Plan::Cuts => {
                if self.chance(3) {
                    self.routers[index].cut_until = now + length;
                }
            }
            Plan::Stops => {
                if self.chance(15) && self.routers[index].stop_at.is_none() {
                    self.routers[index].stop_at = Some(now);
                }
            }
            Plan::Faults => match self.rng.random_range(0..2_000) {
                0..2 => self.freeze(index, length),
                2..4 => self.kill(index, length),
                4..7 if self.routers[index].stop_at.is_none() => {
                    self.routers[index].stop_at = Some(now);
                }
                7 => self.store_away_until = now + length,
                8 => self.routers[index].cut_until = now + length,
                9 => self.routers[index].blind_until = now + length,
                10 if self.chance(200) => {
                    for index in 0..self.routers.len() {
                        self.kill(index, length);
                    }
                }
                11 => {
                    let skew = self.rng.random_range(0..=2 * MAX_SKEW_MS);
                    self.routers[index].skew = skew;
                }
                12 => self.platform_away_until = now + length,
                _ => {}
            },
        }
    }

    fn freeze(&mut self, index: usize, length: u64) {
        let router = &mut self.routers[index];
        if router.frozen_until <= self.now {
            router.frozen_until = self.now + length;
            router.frozen_total += length;
        }
    }

    fn kill(&mut self, index: usize, length: u64) {
        let router = &mut self.routers[index];
        if router.dead_until.is_none() {
            router.died = self.now;
            router.dead_until = Some(self.now + length);
        }
    }

    fn restart(&mut self, index: usize) {
        let now = self.now;
        let (plan, lease) = (self.plan, Self::lease(self.variant, index));
        let router = &mut self.routers[index];
        // A planned stop ends the process after the release had time.
        if router.stop_at.is_some_and(|at| now >= at + 600) && router.dead_until.is_none() {
            router.died = now;
            router.dead_until = Some(now + 300);
        }
        if router.dead_until.is_some_and(|until| now >= until) {
            router.incarnation += 1;
            router.duty = duty(
                plan,
                (&router.name, router.address, router.incarnation),
                lease,
                now,
            );
            router.dead_until = None;
            router.stop_at = None;
            router.started = now;
            router.frozen_until = 0;
            router.frozen_total = 0;
            router.prepared = None;
        }
    }

    fn runs(&self, index: usize) -> bool {
        let router = &self.routers[index];
        router.dead_until.is_none() && router.frozen_until <= self.now
    }

    fn rank(&self, index: usize) -> Option<usize> {
        let own = &self.routers[index];
        let fresh =
            self.now >= own.started + self.plan.join_ms() && self.now >= own.frozen_until + 500;
        let fresh = fresh && self.now >= own.blind_until;
        let seen = |router: &&Router| {
            let dead = router.dead_until.is_some() && self.now > router.died + DETECTION_MS;
            !dead && self.now >= router.started
        };
        fresh.then(|| self.routers[..index].iter().filter(seen).count())
    }

    fn clock(&self, index: usize) -> Time {
        let router = &self.routers[index];
        match self.variant {
            Variant::ClockStops => Time::from_millis(self.now - router.frozen_total),
            _ => Time::from_millis(self.now),
        }
    }

    fn unix(&self, index: usize) -> Duration {
        ms(EPOCH_MS + self.now + self.routers[index].skew - MAX_SKEW_MS)
    }

    /// Counts as this router knows them: they differ from router to router and grow.
    fn window(&mut self, index: usize, window: WindowId) -> WindowState {
        let team = TeamName::new("team").expect("the name is valid");
        let known = 100 + index as u64 + self.now / 1_000;
        let missing = self.chance(200).then(|| self.routers[0].name.clone());
        WindowState {
            window,
            counts: BTreeMap::from([(team, known)]),
            missing: missing.into_iter().collect(),
        }
    }

    fn tick(&mut self, index: usize) {
        let (now, unix) = (self.clock(index), self.unix(index));
        if let Some(report) = self.routers[index].prepared.take() {
            let allowed = self.routers[index].duty.holder().may_act(now) == Some(report.token);
            if allowed || self.variant == Variant::NoCheckBeforeCall {
                self.send(index, report);
            } else {
                let duty = &mut self.routers[index].duty;
                duty.on_outcome(report.window, SendOutcome::Failed, now, unix);
            }
        }
        let due = self.routers[index].duty.due_window(now, unix);
        let window = due.map(|due| self.window(index, due));
        let rank = self.rank(index);
        let router = &mut self.routers[index];
        if router.duty.wants_changes(now) {
            let changes = vec![CountChange {
                source: CountSource {
                    router: router.name.clone(),
                    incarnation: router.incarnation.into(),
                },
                window: self.plan.times().window.window_at(unix),
                team: TeamName::new("team").expect("the name is valid"),
                count: self.now,
            }];
            router.duty.add_changes(changes);
        }
        let input = DutyInput {
            now,
            unix,
            rank,
            stopping: router.stop_at.is_some(),
            window,
        };
        if let Some(call) = router.duty.next_call(input) {
            self.call_store(index, call);
        }
        let router = &mut self.routers[index];
        if router.prepared.is_none() {
            router.prepared = router.duty.next_report(now);
        }
    }

    fn call_store(&mut self, index: usize, mut call: StoreCall) {
        self.store_calls += 1;
        if let StoreCall::Append(_, record) = &mut call {
            match record {
                UsageRecord::Holder(holder) if self.variant == Variant::ForgetPrevious => {
                    holder.previous.clear();
                }
                UsageRecord::Decision(decision) if self.variant == Variant::SendUnrecorded => {
                    let report = UsageReport {
                        token: decision.token,
                        window: decision.window,
                        counts: decision.counts.clone(),
                    };
                    self.send(index, report);
                }
                _ => {}
            }
        }
        let incarnation = self.routers[index].incarnation;
        let faulty = self.plan == Plan::Faults && self.now < FAULTS_END_MS;
        let away = self.now < self.store_away_until.max(self.routers[index].cut_until);
        let lost = Event::StoreAnswer(index, incarnation, StoreAnswer::Lost);
        let after = self.now + self.rng.random_range(5..60);
        if away || (faulty && self.chance(30)) {
            // The call may be lost on its way, lose its answer, or take effect late.
            match self.rng.random_range(0..3) {
                0 => {}
                1 => self.schedule(after, Event::Store(index, incarnation, call, false)),
                _ => {
                    let late = self.now + self.rng.random_range(1_000..6_000);
                    self.schedule(late, Event::Store(index, incarnation, call, false));
                }
            }
            self.schedule(self.now + STORE_TIMEOUT_MS, lost);
        } else {
            self.schedule(after, Event::Store(index, incarnation, call, true));
        }
    }

    fn send(&mut self, index: usize, report: UsageReport) {
        let (address, incarnation) = {
            let router = &self.routers[index];
            (router.address, router.incarnation)
        };
        let window = report.window;
        let delay = self.rng.random_range(1..CALL_TIMEOUT_MS);
        let disturbed = self.plan == Plan::Faults && self.now < FAULTS_END_MS;
        let lost = match self.plan {
            // Reports that are sent again let a holder without the store go on calling.
            Plan::Cuts => self.chance(800),
            _ => disturbed && (self.now < self.platform_away_until || self.chance(100)),
        };
        let at = self.now + delay;
        if !lost || self.chance(500) {
            let event = Event::Platform(index, address, incarnation, report, !lost);
            self.schedule(at, event);
        }
        if lost {
            let outcome = Event::Outcome(index, incarnation, window, SendOutcome::Failed);
            self.schedule(self.now + CALL_TIMEOUT_MS, outcome);
        }
        if self.variant == Variant::ReleaseWhileCalling {
            let (now, unix) = (self.clock(index), ms(EPOCH_MS + self.now));
            let duty = &mut self.routers[index].duty;
            duty.on_outcome(window, SendOutcome::Failed, now, unix);
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Store(index, incarnation, call, answered) => {
                let answer = self.serve(call);
                if answered {
                    let at = self.now + self.rng.random_range(5..60);
                    self.schedule(at, Event::StoreAnswer(index, incarnation, answer));
                }
            }
            Event::Platform(index, address, incarnation, report, answered) => {
                let window = report.window;
                self.receive(address, report);
                if answered {
                    let outcome = SendOutcome::Accepted;
                    self.schedule(
                        self.now + 5,
                        Event::Outcome(index, incarnation, window, outcome),
                    );
                }
            }
            Event::StoreAnswer(index, incarnation, answer) => {
                if let Some(now) = self.delivery(index, incarnation) {
                    let _counts = self.routers[index].duty.on_answer(now, answer);
                } else if self.is_frozen(index, incarnation) {
                    let at = self.routers[index].frozen_until;
                    self.schedule(at, Event::StoreAnswer(index, incarnation, answer));
                }
            }
            Event::Outcome(index, incarnation, window, outcome) => {
                if let Some(now) = self.delivery(index, incarnation) {
                    let unix = ms(EPOCH_MS + self.now);
                    let duty = &mut self.routers[index].duty;
                    duty.on_outcome(window, outcome, now, unix);
                } else if self.is_frozen(index, incarnation) {
                    let at = self.routers[index].frozen_until;
                    self.schedule(at, Event::Outcome(index, incarnation, window, outcome));
                }
            }
        }
    }

    /// The router's time, if it can take an answer to a call of this incarnation.
    fn delivery(&self, index: usize, incarnation: u64) -> Option<Time> {
        let same = self.routers[index].incarnation == incarnation;
        (same && self.runs(index)).then(|| self.clock(index))
    }

    fn is_frozen(&self, index: usize, incarnation: u64) -> bool {
        let router = &self.routers[index];
        router.incarnation == incarnation && router.frozen_until > self.now
    }

    fn serve(&mut self, call: StoreCall) -> StoreAnswer {
        let end = Offset::from(self.stream.len() as u64);
        match call {
            StoreCall::Newest => StoreAnswer::Records {
                records: self.stream.clone(),
                next: end,
                end,
            },
            StoreCall::Read(from) => {
                let skip = usize::try_from(u64::from(from)).expect("the stream is short");
                StoreAnswer::Records {
                    records: self.stream.iter().skip(skip).cloned().collect(),
                    next: end,
                    end,
                }
            }
            StoreCall::Append(at, record) => {
                if at != end && self.variant != Variant::UnconditionalAppends {
                    return StoreAnswer::Conflict;
                }
                self.stream.push(record);
                StoreAnswer::Appended(at)
            }
        }
    }

    /// Checks a call that reaches the platform against U1 to U4.
    fn receive(&mut self, address: IpAddr, report: UsageReport) {
        let (now, token) = (self.now, report.token);
        let counts = report.counts;
        let known = self
            .reports
            .entry(report.window)
            .or_insert_with(|| (now, counts.clone()));
        if known.1 != counts {
            self.violations
                .insert(format!("U1 window {} at {now}", report.window));
        }
        let same_token =
            |(_, other, used): &&(u64, IpAddr, FenceToken)| *used == token && *other != address;
        if self.calls.iter().any(|call| same_token(&call)) {
            self.violations.insert(format!("U2 token {token} at {now}"));
        }
        if self.calls.iter().any(|(_, _, used)| *used > token) {
            self.violations.insert(format!("U3 token {token} at {now}"));
        }
        let recent = self.calls.iter().filter(|(at, ..)| *at + LEASE_MS >= now);
        let mut recent = recent.skip_while(|(_, other, _)| *other != address);
        if recent.any(|(_, other, _)| *other != address) {
            self.violations.insert(format!("U4 {address} at {now}"));
        }
        self.calls.push((now, address, token));
    }
}
