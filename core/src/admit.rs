//! Admission at one target: classes, fair shares, deadlines and the ramp after a cold start.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::Serialize;

use crate::{
    code::Code,
    doc::Priority,
    fair::{FairQueue, count_to_f64},
    id::{Fingerprint, Incarnation},
    name::TeamName,
    ramp::{Capacity, Ramp},
    time::Time,
};

/// Share of the starts that overnight requests get while they wait.
pub const OVERNIGHT_SHARE: f64 = 0.1;
/// Weight of one request in the mean service time.
const SERVICE_TIME_SMOOTHING: f64 = 1.0 / 16.0;
/// Mean deviations above the mean up to which a service time is expected. With the mean alone, one
/// request in twenty-five ended late at twice the capacity and had taken a slot for nothing.
const SERVICE_TIME_DEVIATIONS: f64 = 3.0;
/// Bytes of an answer that cost as much as the fixed part of a request.
const FIXED_COST_BYTES: f64 = 256.0;
/// Charge of a request before the first one has ended, in seconds.
const INITIAL_CHARGE_S: f64 = 0.1;
/// Bounds of the time after which a refused caller is told to come back.
const RETRY_AFTER_RANGE: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(30)];

/// Time for which a request that was given up still counts at the engine, which notices a closed
/// connection only between two steps of its batch. Without it, the next requests overloaded a cold
/// engine when many callers left together.
const ABANDONED_SLOT_TIME: Duration = Duration::from_millis(500);

/// Names a request from its offer to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Ticket(pub u64);

/// A request that asks to run.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// The team that asks.
    pub team: TeamName,
    /// The team's share relative to others, at least 1.
    pub weight: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// When the caller gives up.
    pub deadline: Time,
    /// The hash of its team and content.
    pub fingerprint: Fingerprint,
    /// Whether it may have crashed a target.
    pub suspect: bool,
}

/// Why a request is not run, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The code, which always says `not run`.
    pub code: Code,
    /// When the target expects to have room.
    pub retry_after: Duration,
}

/// What to do with a request that was taken into the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Hand it to the engine.
    Start(Ticket),
    /// Refuse it; it has not run.
    Refuse(Ticket, Refusal),
}

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The answer of this many bytes is whole.
    Completed(usize),
    /// The engine refused or failed the request.
    Failed,
    /// The request was given up while the engine worked on it.
    Abandoned,
    /// The engine crashed while the request ran.
    Crashed,
    /// The engine could not be reached, so that the request did not run.
    Unreachable,
}

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    request: AdmissionRequest,
}

#[derive(Debug)]
struct Running {
    request: AdmissionRequest,
    start: Time,
    charge: f64,
    ramp_epoch: u64,
    engine_generation: u64,
}

/// A moving mean and the mean deviation from it.
#[derive(Debug, Default, Clone, Copy)]
struct MovingMean {
    mean: Option<f64>,
    deviation: f64,
}

impl MovingMean {
    fn add(&mut self, value: f64) {
        let mean = self.mean.get_or_insert(value);
        let difference = value - *mean;
        *mean += difference * SERVICE_TIME_SMOOTHING;
        self.deviation += (difference.abs() - self.deviation) * SERVICE_TIME_SMOOTHING;
    }

    fn get(self) -> f64 {
        self.mean.unwrap_or(0.0)
    }

    /// A value that few exceed.
    fn upper_estimate(self) -> f64 {
        self.get() + self.deviation * SERVICE_TIME_DEVIATIONS
    }
}

/// Decides which requests run at the target, and when.
#[derive(Debug)]
pub struct Admission {
    capacity: Capacity,
    ramp: Ramp,
    next_ticket: u64,
    classes: [FairQueue<Waiter>; 3],
    suspects: VecDeque<Waiter>,
    running: HashMap<Ticket, Running>,
    /// When each request that was given up has left the engine, earliest first.
    abandoned_until: VecDeque<Time>,
    suspect_running: Option<Ticket>,
    /// Starts that are owed to overnight requests.
    overnight_credit: f64,
    /// Mean service time of each class and of all, in seconds.
    service_times: [MovingMean; 3],
    service_time_overall: MovingMean,
    /// Refusals of waiters that were displaced or expired, not yet handed out.
    pending_refusals: VecDeque<(Ticket, Refusal)>,
    /// No waiter's deadline is earlier.
    earliest_deadline: Option<Time>,
    closed_with: Option<Code>,
    /// Counts the crashes of the engine.
    engine_generation: u64,
}

impl Admission {
    /// Starts with a cold target.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            ramp: Ramp::new(capacity),
            next_ticket: 0,
            classes: Default::default(),
            suspects: VecDeque::new(),
            running: HashMap::new(),
            abandoned_until: VecDeque::new(),
            suspect_running: None,
            overnight_credit: 0.0,
            service_times: Default::default(),
            service_time_overall: MovingMean::default(),
            pending_refusals: VecDeque::new(),
            earliest_deadline: None,
            closed_with: None,
            engine_generation: 0,
        }
    }

    /// Takes a request into the queue; `next_decision` says when it starts.
    ///
    /// # Errors
    ///
    /// Fails when the request cannot run here in time; it has not run.
    pub fn enqueue(&mut self, request: AdmissionRequest, now: Time) -> Result<Ticket, Refusal> {
        if let Some(code) = self.closed_with {
            return Err(Self::refusal(code, 0.0));
        }
        if request.deadline <= now {
            return Err(Self::refusal(Code::DeadlinePassed, 0.0));
        }
        let wait = self.expected_wait(&request);
        let time_left = request.deadline.since(now).as_secs_f64();
        let service = self.service_times[request.priority as usize].upper_estimate();
        // An idle target runs the request even when it seems hopeless, so that a wrong estimate
        // is corrected.
        if wait > 0.0 && wait + service > time_left {
            let code = if request.suspect {
                Code::SuspectBusy
            } else {
                self.busy_code()
            };
            return Err(Self::refusal(code, wait));
        }
        if self.waiting() >= self.capacity.queue {
            self.displace(&request, wait)?;
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let earliest_deadline = self.earliest_deadline.get_or_insert(request.deadline);
        *earliest_deadline = request.deadline.min(*earliest_deadline);
        if request.suspect {
            self.suspects.push_back(Waiter { ticket, request });
        } else {
            let class = &mut self.classes[request.priority as usize];
            let (team, weight) = (request.team.clone(), request.weight);
            class.push(&team, weight, Waiter { ticket, request });
        }
        Ok(ticket)
    }

    /// The next thing to do, until there is nothing more; to be called after every other method
    /// and at the time given by `next_wakeup`.
    pub fn next_decision(&mut self, now: Time) -> Option<Decision> {
        self.refuse_expired(now);
        let gone = self.abandoned_until.partition_point(|until| *until <= now);
        self.abandoned_until.drain(..gone);
        loop {
            if let Some((ticket, refusal)) = self.pending_refusals.pop_front() {
                return Some(Decision::Refuse(ticket, refusal));
            }
            if self.occupied_slots() >= self.ramp.limit() {
                return None;
            }
            let waiter = self.pop_next()?;
            let time_left = waiter.request.deadline.since(now).as_secs_f64();
            let service = self.service_times[waiter.request.priority as usize].upper_estimate();
            if time_left < service && self.running() > 0 {
                // It would end after its deadline and take the place of one that can still be
                // served in time.
                let refusal = Self::refusal(self.busy_code(), 0.0);
                self.pending_refusals.push_back((waiter.ticket, refusal));
                continue;
            }
            return Some(Decision::Start(self.start(waiter, now)));
        }
    }

    /// When `next_decision` has to be called again if nothing else happens.
    pub fn next_wakeup(&self) -> Option<Time> {
        let next_vacated = self.abandoned_until.front().copied();
        self.earliest_deadline.into_iter().chain(next_vacated).min()
    }

    /// Withdraws a waiting request whose caller went away; false when it is not waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting();
        self.suspects.retain(|waiter| waiter.ticket != ticket);
        for class in &mut self.classes {
            class.extract_if(|waiter| waiter.ticket == ticket);
        }
        self.waiting() < before
    }

    /// Records the end of a started request; returns every request that was running when the
    /// engine crashed, once for each crash.
    pub fn finish(
        &mut self,
        ticket: Ticket,
        outcome: RunOutcome,
        now: Time,
    ) -> Vec<(Fingerprint, TeamName)> {
        let Some(running) = self.running.get(&ticket) else {
            return Vec::new();
        };
        let crash =
            outcome == RunOutcome::Crashed && running.engine_generation == self.engine_generation;
        let interrupted = if crash {
            self.on_engine_crash()
        } else {
            Vec::new()
        };
        let Some(running) = self.running.remove(&ticket) else {
            return Vec::new();
        };
        if self.suspect_running == Some(ticket) {
            self.suspect_running = None;
        }
        let service_time = now.since(running.start).as_secs_f64();
        let class = running.request.priority as usize;
        self.classes[class].adjust_charge(&running.request.team, service_time - running.charge);
        match outcome {
            RunOutcome::Completed(bytes) => {
                self.service_times[class].add(service_time);
                self.service_time_overall.add(service_time);
                let unit_time = service_time / (FIXED_COST_BYTES + count_to_f64(bytes));
                self.ramp.record_completion(unit_time, running.ramp_epoch);
            }
            RunOutcome::Abandoned if running.engine_generation == self.engine_generation => {
                self.abandoned_until.push_back(now + ABANDONED_SLOT_TIME);
            }
            RunOutcome::Unreachable => self.ramp.on_engine_unreachable(),
            RunOutcome::Abandoned | RunOutcome::Failed | RunOutcome::Crashed => {}
        }
        interrupted
    }

    /// Takes the engine's own report, which lags; returns every request that was running when the
    /// engine was restarted.
    pub fn on_engine_report(
        &mut self,
        incarnation: Incarnation,
        cold: bool,
    ) -> Vec<(Fingerprint, TeamName)> {
        if self.ramp.on_engine_report(incarnation, cold) {
            let interrupted = self.on_engine_crash();
            self.ramp.on_engine_report(incarnation, cold);
            return interrupted;
        }
        Vec::new()
    }

    /// Records that the engine cannot be reached; it comes back cold.
    pub fn on_engine_unreachable(&mut self) {
        self.ramp.on_engine_unreachable();
    }

    fn on_engine_crash(&mut self) -> Vec<(Fingerprint, TeamName)> {
        let engine_generation = self.engine_generation;
        self.engine_generation += 1;
        self.abandoned_until.clear();
        self.ramp.on_engine_lost();
        let running = self.running.values();
        running
            .filter(|running| running.engine_generation == engine_generation)
            .map(|running| (running.request.fingerprint, running.request.team.clone()))
            .collect()
    }

    /// Takes the target's limits from a new document.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
        self.ramp.set_capacity(capacity);
    }

    /// Refuses every new request with `code` from now on; those taken before still run.
    pub fn close(&mut self, code: Code) {
        self.closed_with = Some(code);
    }

    /// Requests running now.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Requests that the engine may be working on now, those given up lately included.
    pub fn occupied_slots(&self) -> u32 {
        let abandoned = u32::try_from(self.abandoned_until.len()).unwrap_or(u32::MAX);
        self.running().saturating_add(abandoned)
    }

    /// Requests waiting now.
    pub fn waiting(&self) -> u32 {
        let classes: usize = self.classes.iter().map(FairQueue::len).sum();
        u32::try_from(classes + self.suspects.len()).unwrap_or(u32::MAX)
    }

    /// Requests allowed at once now.
    pub fn limit(&self) -> u32 {
        self.ramp.limit()
    }

    /// The engine's incarnation, as last reported.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.ramp.incarnation()
    }

    fn busy_code(&self) -> Code {
        if self.ramp.is_warm() {
            Code::Overloaded
        } else {
            Code::ColdStart
        }
    }

    fn refusal(code: Code, wait: f64) -> Refusal {
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(RETRY_AFTER_RANGE[1]);
        Refusal {
            code,
            retry_after: wait.clamp(RETRY_AFTER_RANGE[0], RETRY_AFTER_RANGE[1]),
        }
    }

    /// Expected time until a new request starts, in seconds; zero when it starts at once.
    fn expected_wait(&self, request: &AdmissionRequest) -> f64 {
        let mean = self.service_time_overall.get();
        if request.suspect {
            let before = self.suspects.len() + usize::from(self.suspect_running.is_some());
            return count_to_f64(before) * mean;
        }
        if self.waiting() == 0 && self.occupied_slots() < self.ramp.limit() {
            return 0.0;
        }
        let class = request.priority as usize;
        let urgent: usize = self.classes[..class].iter().map(FairQueue::len).sum();
        let own = self.classes[class].max_ahead(&request.team, request.weight);
        let mut ahead = count_to_f64(urgent) + own;
        if request.priority == Priority::Overnight {
            ahead = ahead.min(own / OVERNIGHT_SHARE);
        }
        (ahead + 1.0) * mean / f64::from(self.ramp.limit())
    }

    /// Makes room in a full queue by refusing the newest waiter of the team that is furthest above
    /// its share, in the least urgent class; fails when that is the new request itself.
    fn displace(&mut self, request: &AdmissionRequest, wait: f64) -> Result<(), Refusal> {
        let refusal = Self::refusal(self.busy_code(), wait);
        let class = self.classes.iter().rposition(|class| !class.is_empty());
        let Some(class) = class.filter(|class| *class >= request.priority as usize) else {
            return Err(refusal);
        };
        let queue = &mut self.classes[class];
        let Some((team, backlog)) = queue.largest_backlog() else {
            return Err(refusal);
        };
        let same_class = class == request.priority as usize;
        if same_class && backlog <= queue.backlog(&request.team, request.weight) + 1.0 {
            return Err(refusal);
        }
        let team = team.clone();
        if let Some(waiter) = queue.pop_newest(&team) {
            self.pending_refusals.push_back((waiter.ticket, refusal));
        }
        Ok(())
    }

    fn refuse_expired(&mut self, now: Time) {
        if self
            .earliest_deadline
            .is_none_or(|earliest_deadline| earliest_deadline > now)
        {
            return;
        }
        let passed = |waiter: &Waiter| waiter.request.deadline <= now;
        let mut expired: Vec<Waiter> = Vec::new();
        for class in &mut self.classes {
            expired.extend(class.extract_if(passed));
        }
        let (gone, keep) = self.suspects.drain(..).partition(passed);
        self.suspects = keep;
        expired.extend::<VecDeque<Waiter>>(gone);
        let refusal = Self::refusal(Code::DeadlinePassed, 0.0);
        let refusals = expired.into_iter().map(|waiter| (waiter.ticket, refusal));
        self.pending_refusals.extend(refusals);
        let waiters = self.classes.iter().flat_map(FairQueue::iter);
        let waiters = waiters.chain(&self.suspects);
        self.earliest_deadline = waiters.map(|waiter| waiter.request.deadline).min();
    }

    fn pop_next(&mut self) -> Option<Waiter> {
        if self.suspect_running.is_none()
            && let Some(waiter) = self.suspects.pop_front()
        {
            return Some(waiter);
        }
        let overnight = Priority::Overnight as usize;
        let overnight_waiting = !self.classes[overnight].is_empty();
        let class = if overnight_waiting && self.overnight_credit >= 1.0 {
            overnight
        } else {
            self.classes.iter().position(|class| !class.is_empty())?
        };
        // The debt grows only while an overnight request waits, so that it buys no later burst.
        self.overnight_credit = match (overnight_waiting, class == overnight) {
            (false, _) => 0.0,
            (true, true) => (self.overnight_credit - 1.0).max(0.0),
            (true, false) => self.overnight_credit + OVERNIGHT_SHARE / (1.0 - OVERNIGHT_SHARE),
        };
        let charge = self.charge(class);
        self.classes[class].pop(charge).map(|(_, waiter)| waiter)
    }

    fn charge(&self, class: usize) -> f64 {
        self.service_times[class].mean.unwrap_or(INITIAL_CHARGE_S)
    }

    fn start(&mut self, waiter: Waiter, now: Time) -> Ticket {
        let Waiter { ticket, request } = waiter;
        if request.suspect {
            self.suspect_running = Some(ticket);
        }
        let charge = self.charge(request.priority as usize);
        let ramp_epoch = self.ramp.epoch();
        let running = Running {
            request,
            start: now,
            charge,
            ramp_epoch,
            engine_generation: self.engine_generation,
        };
        self.running.insert(ticket, running);
        ticket
    }
}
