//! Admission at one target: classes, fair shares, deadlines and the ramp after a cold start.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::Serialize;

use crate::{
    code::Code,
    doc::Priority,
    fair::{FairQueue, factor},
    id::{Fingerprint, Incarnation},
    name::TeamName,
    ramp::{Capacity, Ramp},
    time::Time,
};

/// Share of the starts that overnight requests get while they wait.
pub const OVERNIGHT_SHARE: f64 = 0.1;
/// Weight of one request in the mean service time.
const GAIN: f64 = 1.0 / 16.0;
/// Mean deviations above the mean up to which a service time is expected. With the mean alone, one
/// request in twenty-five ended late at twice the capacity and had taken a slot for nothing.
const DEVIATIONS: f64 = 3.0;
/// Bytes of an answer that cost as much as the fixed part of a request.
const FIXED_BYTES: f64 = 256.0;
/// Charge of a request before the first one has ended, in seconds.
const FIRST_CHARGE: f64 = 0.1;
/// Bounds of the time after which a refused caller is told to come back.
const RETRY_AFTER: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(30)];

/// Time for which a request that was given up still counts at the engine, which notices a closed
/// connection only between two steps of its batch. Without it, the next requests overloaded a cold
/// engine when many callers left together.
const LEAVE_TIME: Duration = Duration::from_millis(500);

/// Names a request from its offer to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Ticket(pub u64);

/// A request that asks to run.
#[derive(Debug, Clone)]
pub struct Offer {
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
pub enum Step {
    /// Hand it to the engine.
    Start(Ticket),
    /// Refuse it; it has not run.
    Refuse(Ticket, Refusal),
}

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The answer of this many bytes is whole.
    Whole(usize),
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
    offer: Offer,
}

#[derive(Debug)]
struct Running {
    offer: Offer,
    start: Time,
    charge: f64,
    epoch: u64,
    life: u64,
}

/// A moving mean and the mean deviation from it.
#[derive(Debug, Default, Clone, Copy)]
struct Mean {
    mean: Option<f64>,
    deviation: f64,
}

impl Mean {
    fn add(&mut self, value: f64) {
        let mean = self.mean.get_or_insert(value);
        let difference = value - *mean;
        *mean += difference * GAIN;
        self.deviation += (difference.abs() - self.deviation) * GAIN;
    }

    fn get(self) -> f64 {
        self.mean.unwrap_or(0.0)
    }

    /// A value that few exceed.
    fn high(self) -> f64 {
        self.get() + self.deviation * DEVIATIONS
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
    leaving: VecDeque<Time>,
    suspect_running: Option<Ticket>,
    /// Starts that are owed to overnight requests.
    owed: f64,
    /// Mean service time of each class and of all, in seconds.
    service: [Mean; 3],
    service_all: Mean,
    /// Refusals of waiters that were displaced or expired, not yet handed out.
    refused: VecDeque<(Ticket, Refusal)>,
    /// No waiter's deadline is earlier.
    earliest: Option<Time>,
    closed: Option<Code>,
    /// Counts the crashes of the engine.
    life: u64,
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
            leaving: VecDeque::new(),
            suspect_running: None,
            owed: 0.0,
            service: Default::default(),
            service_all: Mean::default(),
            refused: VecDeque::new(),
            earliest: None,
            closed: None,
            life: 0,
        }
    }

    /// Takes a request into the queue; `next` says when it starts.
    ///
    /// # Errors
    ///
    /// Fails when the request cannot run here in time; it has not run.
    pub fn offer(&mut self, offer: Offer, now: Time) -> Result<Ticket, Refusal> {
        if let Some(code) = self.closed {
            return Err(Self::refusal(code, 0.0));
        }
        if offer.deadline <= now {
            return Err(Self::refusal(Code::DeadlinePassed, 0.0));
        }
        let wait = self.wait(&offer);
        let left = offer.deadline.since(now).as_secs_f64();
        let service = self.service[offer.priority as usize].high();
        // An idle target runs the request even when it seems hopeless, so that a wrong estimate
        // is corrected.
        if wait > 0.0 && wait + service > left {
            let code = if offer.suspect {
                Code::SuspectBusy
            } else {
                self.busy()
            };
            return Err(Self::refusal(code, wait));
        }
        if self.waiting() >= self.capacity.queue {
            self.displace(&offer, wait)?;
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let earliest = self.earliest.get_or_insert(offer.deadline);
        *earliest = offer.deadline.min(*earliest);
        if offer.suspect {
            self.suspects.push_back(Waiter { ticket, offer });
        } else {
            let class = &mut self.classes[offer.priority as usize];
            let (team, weight) = (offer.team.clone(), offer.weight);
            class.push(&team, weight, Waiter { ticket, offer });
        }
        Ok(ticket)
    }

    /// The next thing to do, until there is nothing more; to be called after every other method
    /// and at the time given by `wake`.
    pub fn next(&mut self, now: Time) -> Option<Step> {
        self.expire(now);
        let left = self.leaving.partition_point(|until| *until <= now);
        self.leaving.drain(..left);
        loop {
            if let Some((ticket, refusal)) = self.refused.pop_front() {
                return Some(Step::Refuse(ticket, refusal));
            }
            if self.occupied() >= self.ramp.limit() {
                return None;
            }
            let waiter = self.pick()?;
            let left = waiter.offer.deadline.since(now).as_secs_f64();
            let service = self.service[waiter.offer.priority as usize].high();
            if left < service && self.running() > 0 {
                // It would end after its deadline and take the place of one that can still be
                // served in time.
                let refusal = Self::refusal(self.busy(), 0.0);
                self.refused.push_back((waiter.ticket, refusal));
                continue;
            }
            return Some(Step::Start(self.start(waiter, now)));
        }
    }

    /// When `next` has to be called again if nothing else happens.
    pub fn wake(&self) -> Option<Time> {
        let left = self.leaving.front().copied();
        self.earliest.into_iter().chain(left).min()
    }

    /// Withdraws a waiting request whose caller went away; false when it is not waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting();
        self.suspects.retain(|waiter| waiter.ticket != ticket);
        for class in &mut self.classes {
            class.take(|waiter| waiter.ticket == ticket);
        }
        self.waiting() < before
    }

    /// Records the end of a started request; returns every request that was running when the
    /// engine crashed, once for each crash.
    pub fn finish(&mut self, ticket: Ticket, end: End, now: Time) -> Vec<(Fingerprint, TeamName)> {
        let Some(running) = self.running.get(&ticket) else {
            return Vec::new();
        };
        let crash = end == End::Crashed && running.life == self.life;
        let victims = if crash { self.crashed() } else { Vec::new() };
        let Some(running) = self.running.remove(&ticket) else {
            return Vec::new();
        };
        if self.suspect_running == Some(ticket) {
            self.suspect_running = None;
        }
        let took = now.since(running.start).as_secs_f64();
        let class = running.offer.priority as usize;
        self.classes[class].settle(&running.offer.team, took - running.charge);
        match end {
            End::Whole(bytes) => {
                self.service[class].add(took);
                self.service_all.add(took);
                let pace = took / (FIXED_BYTES + factor(bytes));
                self.ramp.completed(pace, running.epoch);
            }
            End::Abandoned if running.life == self.life => {
                self.leaving.push_back(now + LEAVE_TIME);
            }
            End::Unreachable => self.ramp.unreachable(),
            End::Abandoned | End::Failed | End::Crashed => {}
        }
        victims
    }

    /// Takes the engine's own report, which lags; returns every request that was running when the
    /// engine was restarted.
    pub fn report(&mut self, incarnation: Incarnation, cold: bool) -> Vec<(Fingerprint, TeamName)> {
        if self.ramp.report(incarnation, cold) {
            let victims = self.crashed();
            self.ramp.report(incarnation, cold);
            return victims;
        }
        Vec::new()
    }

    /// Records that the engine cannot be reached; it comes back cold.
    pub fn unreachable(&mut self) {
        self.ramp.unreachable();
    }

    fn crashed(&mut self) -> Vec<(Fingerprint, TeamName)> {
        let life = self.life;
        self.life += 1;
        self.leaving.clear();
        self.ramp.lost();
        let running = self.running.values();
        running
            .filter(|running| running.life == life)
            .map(|running| (running.offer.fingerprint, running.offer.team.clone()))
            .collect()
    }

    /// Takes the target's limits from a new document.
    pub fn resize(&mut self, capacity: Capacity) {
        self.capacity = capacity;
        self.ramp.resize(capacity);
    }

    /// Refuses every new request with `code` from now on; those taken before still run.
    pub fn close(&mut self, code: Code) {
        self.closed = Some(code);
    }

    /// Requests running now.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Requests that the engine may be working on now, those given up lately included.
    pub fn occupied(&self) -> u32 {
        let leaving = u32::try_from(self.leaving.len()).unwrap_or(u32::MAX);
        self.running().saturating_add(leaving)
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

    fn busy(&self) -> Code {
        if self.ramp.is_warm() {
            Code::Overloaded
        } else {
            Code::ColdStart
        }
    }

    fn refusal(code: Code, wait: f64) -> Refusal {
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(RETRY_AFTER[1]);
        Refusal {
            code,
            retry_after: wait.clamp(RETRY_AFTER[0], RETRY_AFTER[1]),
        }
    }

    /// Expected time until a new request starts, in seconds; zero when it starts at once.
    fn wait(&self, offer: &Offer) -> f64 {
        let mean = self.service_all.get();
        if offer.suspect {
            let before = self.suspects.len() + usize::from(self.suspect_running.is_some());
            return factor(before) * mean;
        }
        if self.waiting() == 0 && self.occupied() < self.ramp.limit() {
            return 0.0;
        }
        let class = offer.priority as usize;
        let urgent: usize = self.classes[..class].iter().map(FairQueue::len).sum();
        let own = self.classes[class].ahead(&offer.team, offer.weight);
        let mut ahead = factor(urgent) + own;
        if offer.priority == Priority::Overnight {
            ahead = ahead.min(own / OVERNIGHT_SHARE);
        }
        (ahead + 1.0) * mean / f64::from(self.ramp.limit())
    }

    /// Makes room in a full queue by refusing the newest waiter of the team that is furthest above
    /// its share, in the least urgent class; fails when that is the new request itself.
    fn displace(&mut self, offer: &Offer, wait: f64) -> Result<(), Refusal> {
        let refusal = Self::refusal(self.busy(), wait);
        let class = self.classes.iter().rposition(|class| !class.is_empty());
        let Some(class) = class.filter(|class| *class >= offer.priority as usize) else {
            return Err(refusal);
        };
        let queue = &mut self.classes[class];
        let Some((team, ratio)) = queue.longest() else {
            return Err(refusal);
        };
        let same = class == offer.priority as usize;
        if same && ratio <= queue.ratio(&offer.team, offer.weight) + 1.0 {
            return Err(refusal);
        }
        let team = team.clone();
        if let Some(waiter) = queue.pop_newest(&team) {
            self.refused.push_back((waiter.ticket, refusal));
        }
        Ok(())
    }

    fn expire(&mut self, now: Time) {
        if self.earliest.is_none_or(|earliest| earliest > now) {
            return;
        }
        let passed = |waiter: &Waiter| waiter.offer.deadline <= now;
        let mut expired: Vec<Waiter> = Vec::new();
        for class in &mut self.classes {
            expired.extend(class.take(passed));
        }
        let (gone, keep) = self.suspects.drain(..).partition(passed);
        self.suspects = keep;
        expired.extend::<VecDeque<Waiter>>(gone);
        let refusal = Self::refusal(Code::DeadlinePassed, 0.0);
        let refusals = expired.into_iter().map(|waiter| (waiter.ticket, refusal));
        self.refused.extend(refusals);
        let waiters = self.classes.iter().flat_map(FairQueue::iter);
        let waiters = waiters.chain(&self.suspects);
        self.earliest = waiters.map(|waiter| waiter.offer.deadline).min();
    }

    fn pick(&mut self) -> Option<Waiter> {
        if self.suspect_running.is_none()
            && let Some(waiter) = self.suspects.pop_front()
        {
            return Some(waiter);
        }
        let overnight = Priority::Overnight as usize;
        let patient = !self.classes[overnight].is_empty();
        let class = if patient && self.owed >= 1.0 {
            overnight
        } else {
            self.classes.iter().position(|class| !class.is_empty())?
        };
        // The debt grows only while an overnight request waits, so that it buys no later burst.
        self.owed = match (patient, class == overnight) {
            (false, _) => 0.0,
            (true, true) => (self.owed - 1.0).max(0.0),
            (true, false) => self.owed + OVERNIGHT_SHARE / (1.0 - OVERNIGHT_SHARE),
        };
        let charge = self.charge(class);
        self.classes[class].pop(charge).map(|(_, waiter)| waiter)
    }

    fn charge(&self, class: usize) -> f64 {
        self.service[class].mean.unwrap_or(FIRST_CHARGE)
    }

    fn start(&mut self, waiter: Waiter, now: Time) -> Ticket {
        let Waiter { ticket, offer } = waiter;
        if offer.suspect {
            self.suspect_running = Some(ticket);
        }
        let charge = self.charge(offer.priority as usize);
        let epoch = self.ramp.epoch();
        let running = Running {
            offer,
            start: now,
            charge,
            epoch,
            life: self.life,
        };
        self.running.insert(ticket, running);
        ticket
    }
}
