//! Admission control for one target: priority classes, weighted fair queueing between teams,
//! deadline checks, and a concurrency limit that rises after a cold start.

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
    pace::ramp::{Capacity, Ramp},
    time::Time,
};

/// Fraction of starts that goes to overnight requests while any are queued.
pub const OVERNIGHT_SHARE: f64 = 0.1;
/// Weight of the newest sample in the moving mean of service times.
const SERVICE_TIME_SMOOTHING: f64 = 1.0 / 16.0;
/// Service times up to this many mean deviations above the mean are planned for. With the mean
/// alone, 1 in 25 requests at twice the capacity held a slot and still finished after its deadline.
const SERVICE_TIME_DEVIATIONS: f64 = 3.0;
/// Number of answer bytes that cost as much as the fixed part of a request.
const FIXED_COST_BYTES: f64 = 256.0;
/// Cost that a request is charged for until its class has a measured mean service time.
const INITIAL_CHARGE_S: f64 = 0.1;
/// Shortest and longest `retry_after` in a refusal.
const RETRY_AFTER_RANGE: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(30)];

/// How long an abandoned request keeps its slot. The engine notices a closed connection only
/// between two steps of its batch; without this delay, new requests overload a cold engine when
/// many callers disconnect together.
const ABANDONED_SLOT_TIME: Duration = Duration::from_millis(500);

/// Identifies a request at this target from enqueueing to completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Ticket(pub u64);

/// A request to be queued for the target.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// The team whose fair share the request counts against.
    pub team: TeamName,
    /// Weight of the team in fair queueing, at least 1.
    pub weight: u32,
    /// The priority class; more urgent classes are served first.
    pub priority: Priority,
    /// When the caller stops waiting for the answer.
    pub deadline: Time,
    /// Hash of the team and the content; equal requests have equal fingerprints.
    pub fingerprint: Fingerprint,
    /// Whether a target crashed while it ran a request with the same fingerprint. At most one such
    /// request runs at a time.
    pub suspect: bool,
}

/// The reason why a request is not run, and when the caller may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// The result code; it always states that the request did not run.
    pub code: Code,
    /// Estimated time until the target has a free slot, between 100 ms and 30 s.
    pub retry_after: Duration,
}

/// What the caller of [`Admission`] must do with a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to the engine, then call [`Admission::finish`] when it ends.
    Start(Ticket),
    /// Answer the caller with the refusal; the request did not run.
    Refuse(Ticket, AdmissionRefusal),
}

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The engine sent the complete answer, of this many bytes.
    Completed(usize),
    /// The engine refused the request or returned an error.
    Failed,
    /// The caller disconnected or the request timed out while the engine was working on it.
    Abandoned,
    /// The engine crashed while it ran the request.
    Crashed,
    /// No connection to the engine could be made, so the request did not run.
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

/// An exponential moving mean and the moving mean of the absolute deviation from it.
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

    /// An upper estimate that few samples exceed.
    fn upper_estimate(self) -> f64 {
        self.get() + self.deviation * SERVICE_TIME_DEVIATIONS
    }
}

/// Queues requests for one target and decides when each one starts or is refused.
#[derive(Debug)]
pub struct Admission {
    capacity: Capacity,
    ramp: Ramp,
    next_ticket: u64,
    classes: [FairQueue<Waiter>; 3],
    suspects: VecDeque<Waiter>,
    running: HashMap<Ticket, Running>,
    /// When the slot of each abandoned request becomes free, in ascending order.
    abandoned_until: VecDeque<Time>,
    suspect_running: Option<Ticket>,
    /// Number of starts that overnight requests are entitled to.
    overnight_credit: f64,
    /// Mean service time in seconds for each priority class.
    service_times: [MovingMean; 3],
    service_time_overall: MovingMean,
    /// Refusals of displaced and expired requests that `next_decision` has not yet returned.
    pending_refusals: VecDeque<(Ticket, AdmissionRefusal)>,
    /// A lower bound on the deadlines of all queued requests.
    earliest_deadline: Option<Time>,
    closed_with: Option<Code>,
    /// Number of crashes and restarts of the engine seen so far.
    engine_generation: u64,
}

impl Admission {
    /// Creates an empty queue with the concurrency limit of a cold target.
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

    /// Queues a request; [`Self::next_decision`] later starts or refuses it.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is not expected to finish before its deadline, if the
    /// target is closed, or if the queue is full and no queued request gives way. The request did
    /// not run.
    pub fn enqueue(
        &mut self,
        request: AdmissionRequest,
        now: Time,
    ) -> Result<Ticket, AdmissionRefusal> {
        if let Some(code) = self.closed_with {
            return Err(Self::refusal(code, 0.0));
        }
        if request.deadline <= now {
            return Err(Self::refusal(Code::DeadlinePassed, 0.0));
        }
        let wait = self.expected_wait(&request);
        let time_left = request.deadline.since(now).as_secs_f64();
        let service = self.service_times[request.priority as usize].upper_estimate();
        // An idle target runs the request even if it is unlikely to finish in time; otherwise a
        // service time that is estimated too high would never be corrected.
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

    /// Returns the next request to start or refuse. Call it until it returns `None`, after every
    /// call of another method and at the time that [`Self::next_wakeup`] returns.
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
                // The request would finish after its deadline and take the slot of another one that
                // can still be served in time.
                let refusal = Self::refusal(self.busy_code(), 0.0);
                self.pending_refusals.push_back((waiter.ticket, refusal));
                continue;
            }
            return Some(Decision::Start(self.start(waiter, now)));
        }
    }

    /// When [`Self::next_decision`] must be called again if nothing else happens before; `None` if
    /// there is no such time.
    pub fn next_wakeup(&self) -> Option<Time> {
        let next_vacated = self.abandoned_until.front().copied();
        self.earliest_deadline.into_iter().chain(next_vacated).min()
    }

    /// Removes a queued request whose caller disconnected; returns false if it is not queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting();
        self.suspects.retain(|waiter| waiter.ticket != ticket);
        for class in &mut self.classes {
            class.extract_if(|waiter| waiter.ticket == ticket);
        }
        self.waiting() < before
    }

    /// Records the end of a started request. For the first request that reports a given crash,
    /// returns all requests that were running at the time of the crash; otherwise the list is
    /// empty.
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

    /// Processes the engine's status report, which may be out of date. If the engine was restarted,
    /// returns all requests that were running on the previous incarnation.
    pub fn on_engine_report(
        &mut self,
        incarnation: Incarnation,
        cold: bool,
    ) -> Vec<(Fingerprint, TeamName)> {
        if self.ramp.on_engine_report(incarnation, cold) {
            let interrupted = self.on_engine_crash();
            // The crash cleared the incarnation in the ramp.
            self.ramp.on_engine_report(incarnation, cold);
            return interrupted;
        }
        Vec::new()
    }

    /// Records that the engine cannot be reached and restarts the ramp of the concurrency limit.
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

    /// Applies changed limits from the configuration.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
        self.ramp.set_capacity(capacity);
    }

    /// Refuses every new request with `code` from now on; requests already queued still run.
    pub fn close(&mut self, code: Code) {
        self.closed_with = Some(code);
    }

    /// Number of requests that have started and not yet ended.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Number of occupied slots: running requests, and abandoned ones that the engine may still be
    /// working on.
    pub fn occupied_slots(&self) -> u32 {
        let abandoned = u32::try_from(self.abandoned_until.len()).unwrap_or(u32::MAX);
        self.running().saturating_add(abandoned)
    }

    /// Number of queued requests, suspects included.
    pub fn waiting(&self) -> u32 {
        let classes: usize = self.classes.iter().map(FairQueue::len).sum();
        u32::try_from(classes + self.suspects.len()).unwrap_or(u32::MAX)
    }

    /// Current concurrency limit.
    pub fn limit(&self) -> u32 {
        self.ramp.limit()
    }

    /// The engine's incarnation from its last report; `None` before the first report and after a
    /// crash.
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

    fn refusal(code: Code, wait: f64) -> AdmissionRefusal {
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(RETRY_AFTER_RANGE[1]);
        AdmissionRefusal {
            code,
            retry_after: wait.clamp(RETRY_AFTER_RANGE[0], RETRY_AFTER_RANGE[1]),
        }
    }

    /// Estimated time in seconds until a new request starts; zero if a slot is free and the queue
    /// is empty.
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

    /// Makes room in a full queue: refuses the newest request of the team with the largest backlog
    /// for its weight, in the least urgent class that has queued requests. Returns an error if the
    /// new request itself is the one to refuse.
    fn displace(&mut self, request: &AdmissionRequest, wait: f64) -> Result<(), AdmissionRefusal> {
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
        // Credit accrues only while an overnight request is queued, so that it cannot be saved up
        // for a burst.
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
