//! Decides for each request of a router whether it is sent to a target now, waits for capacity, or
//! is refused.
//!
//! Below saturation every request is admitted on arrival. Where the capacity is not known, requests
//! are admitted as well: a wrong refusal costs a caller more than a short wait at a target.

use std::{collections::HashMap, time::Duration};

use serde::Serialize;

use crate::{
    doc::Idempotency,
    fair::count_to_f64,
    id::Fingerprint,
    name::{ServiceName, TeamName},
    time::Time,
};

mod queue;
pub mod room;
mod shed;
mod teams;

use queue::{Waiter, WaitingQueue};
use room::ServiceRoom;
pub use shed::Shed;
use shed::{Comebacks, EndRate, Level};
use teams::TeamArrivals;

/// Part of the latency objective for which a request may wait before its refusal harms its caller.
const HARMLESS_DIVISOR: u32 = 8;
/// Part of the time left for which a request waits at most. A longer wait that ends in a refusal
/// leaves the caller no time for another router.
const MAX_WAIT_DIVISOR: u32 = 2;
/// Share of the time that remains for waiting which the predicted wait of a new request may take.
/// The rest allows for errors of the prediction.
const PREDICTION_SHARE: f64 = 0.75;
/// Multiple of the expected time at the target that a request which must not run twice needs before
/// its deadline.
const UNREPEATABLE_FACTOR: u32 = 2;
/// Divisor of a router's limit: the places that only the most urgent class and quiet teams may use
/// in addition.
const RESERVE_DIVISOR: u32 = 8;
/// Time constant of the mean demand. The demand of other routers is known with a delay of this order;
/// with this router's demand of the moment, all routers would raise and lower their shares at the
/// same time.
const DEMAND_WINDOW: Duration = Duration::from_millis(300);

/// Limits on the waiting requests of one router.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// Maximum number of waiting requests.
    pub requests: usize,
    /// Maximum sum of their bodies, in bytes.
    pub bytes: usize,
}

impl Default for QueueLimits {
    /// A router with 112 MB of memory uses 13 to 28 MB for its other work.
    fn default() -> Self {
        Self {
            requests: 1_024,
            bytes: 16 << 20,
        }
    }
}

/// Properties of a request that determine when it is dispatched.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// Service whose capacity the request needs.
    pub service: ServiceName,
    /// Team that sent the request.
    pub team: TeamName,
    /// Class of the request; 0 is the most urgent.
    pub priority: u8,
    /// Hash of team, path and body, by which a request that comes back is recognised.
    pub content: Fingerprint,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Timeout of the route.
    pub timeout: Duration,
    /// When the request arrived.
    pub arrived: Time,
    /// When the caller must have the answer.
    pub deadline: Time,
    /// Length of the body, in bytes.
    pub bytes: usize,
}

/// Decision on one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The request may be sent to a target; its place has to be given back.
    Admitted,
    /// The request is refused and has not run.
    Refused {
        /// Reason of the refusal.
        cause: Shed,
        /// Time after which the caller may retry.
        after: Duration,
    },
}

/// Figures that led to a decision, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Figures {
    /// Wait predicted on arrival; `None` if the rate was not known.
    pub predicted: Option<Duration>,
    /// Time for which the request has waited.
    pub waited: Duration,
    /// Places that this router might use.
    pub limit: Option<u32>,
    /// Capacity of the service for all routers.
    pub capacity: Option<u32>,
    /// Age of the capacity.
    pub capacity_age: Option<Duration>,
    /// Least urgent class that may wait; `None` if all may.
    pub level: Option<u8>,
    /// Requests of the service that wait at this router.
    pub waiting: usize,
}

/// A request that has been decided.
#[derive(Debug)]
pub struct Decided<T> {
    /// Number of the request.
    pub id: u64,
    /// Handle that was passed with the request.
    pub handle: T,
    /// The decision.
    pub verdict: Verdict,
    /// Figures that led to it.
    pub figures: Figures,
}

/// State of one service, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceDispatch {
    /// The service.
    pub service: ServiceName,
    /// Capacity for all routers; `None` if the service is not limited.
    pub capacity: Option<u32>,
    /// Age of the capacity, in milliseconds.
    pub capacity_age_ms: Option<u64>,
    /// Open and waiting requests of other routers; `None` without reports.
    pub demand_elsewhere: Option<u32>,
    /// Requests that this router may have open; `None` if the service is not limited.
    pub limit: Option<u32>,
    /// Requests that this router has open.
    pub open: u32,
    /// Waiting requests by class.
    pub waiting: Vec<(u8, usize)>,
    /// Requests per second that end; `None` before the first end.
    pub ends_per_s: Option<f64>,
    /// Least urgent class that may wait; `None` if all may.
    pub level: Option<u8>,
}

/// Dispatch state of one service.
#[derive(Debug)]
struct Service<T> {
    room: Option<ServiceRoom>,
    /// Places that are taken.
    open: u32,
    queue: WaitingQueue<T>,
    ends: EndRate,
    level: Level,
    teams: TeamArrivals,
    /// Mean of the open and waiting requests over `DEMAND_WINDOW`.
    mean_demand: f64,
    /// Time up to which the mean is computed.
    mean_at: Time,
}

impl<T> Default for Service<T> {
    fn default() -> Self {
        Self {
            room: None,
            open: 0,
            queue: WaitingQueue::default(),
            ends: EndRate::default(),
            level: Level::default(),
            teams: TeamArrivals::default(),
            mean_demand: 0.0,
            mean_at: Time::ZERO,
        }
    }
}

#[derive(Debug)]
struct Place {
    service: ServiceName,
    taken_at: Time,
}

/// Dispatch state of one router. `T` is what the caller of [`Self::offer`] needs to act on the
/// decision.
#[derive(Debug)]
pub struct Dispatcher<T> {
    limits: QueueLimits,
    services: HashMap<ServiceName, Service<T>>,
    places: HashMap<u64, Place>,
    waiting_bytes: usize,
    comebacks: Comebacks,
    decided: Vec<Decided<T>>,
}

impl<T> Dispatcher<T> {
    /// Creates a dispatcher that admits every request until it learns of capacities.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            services: HashMap::new(),
            places: HashMap::new(),
            waiting_bytes: 0,
            comebacks: Comebacks::default(),
            decided: Vec::new(),
        }
    }

    /// Removes and returns the decisions since the last call.
    pub fn take_decided(&mut self) -> Vec<Decided<T>> {
        std::mem::take(&mut self.decided)
    }

    /// Replaces the capacities. Services that are not listed are not limited.
    pub fn set_rooms(&mut self, rooms: Vec<ServiceRoom>, random: f64, now: Time) {
        for service in self.services.values_mut() {
            service.update_mean(now);
            service.room = None;
        }
        for room in rooms {
            let service = self.services.entry(room.service.clone()).or_default();
            service.room = Some(room);
        }
        for name in self.waiting_services() {
            self.dispatch(&name, random, now);
        }
    }

    /// Adds a request, whose decision may follow at once or later. `random` is uniform in 0..1.
    pub fn offer(&mut self, id: u64, request: DispatchRequest, handle: T, random: f64, now: Time) {
        let name = request.service.clone();
        let comeback = self.comebacks.take(request.content, now);
        let since = comeback.unwrap_or_else(|| shed::first_arrival(&request));
        let service = self.services.entry(name.clone()).or_default();
        service.update_mean(now);
        service.level.record_arrival(request.priority, now);
        service.teams.record(&request.team, now);
        let team = request.team.clone();
        let waiting = service.queue.len();
        let predicted = service.predicted_wait(&request, since, now);
        let admitted_by_level = service.level.admits(request.priority);
        let (class, bytes) = (request.priority, request.bytes);
        let until = service.latest_dispatch(&request);
        let waiter = Waiter {
            id,
            since,
            until,
            review_at: Some(request.arrived + request.objective / HARMLESS_DIVISOR),
            predicted,
            request,
            handle,
        };
        let returned = comeback.is_some_and(|first| first < waiter.request.arrived);
        service.queue.push(waiter);
        self.waiting_bytes += bytes;
        self.dispatch(&name, random, now);
        let Some(service) = self.services.get_mut(&name) else {
            return;
        };
        if waiting == service.queue.len() && !service.queue.iter().any(|other| other.id == id) {
            return;
        }
        if service.has_reserve(now) && service.teams.is_quiet(&team, now) {
            for waiter in service.queue.extract_if(|waiter| waiter.id == id) {
                self.admit(waiter, now);
            }
            return;
        }
        let span = until.since(now);
        let too_long = predicted.is_some_and(|wait| wait > span.mul_f64(PREDICTION_SHARE));
        // A caller that came back as told must not be refused while newer requests are served, so it
        // waits even if that takes long.
        let cause = if now >= until {
            Some(Shed::Deadline)
        } else if !admitted_by_level {
            Some(Shed::Level)
        } else if too_long && !returned {
            Some(Shed::Wait)
        } else {
            None
        };
        if let Some(cause) = cause {
            if cause == Shed::Wait {
                service.level.record_overload(class, now);
            }
            for waiter in service.queue.extract_if(|waiter| waiter.id == id) {
                self.refuse(waiter, cause, random, now);
            }
        }
        self.evict(random, now);
    }

    /// Records that a request has ended, or that its caller has left. The place, or the place in the
    /// queue, is free again.
    pub fn release(&mut self, id: u64, random: f64, now: Time) {
        if let Some(place) = self.places.remove(&id) {
            if let Some(service) = self.services.get_mut(&place.service) {
                service.update_mean(now);
                service.open = service.open.saturating_sub(1);
                service.ends.record(now.since(place.taken_at), now);
            }
            self.dispatch(&place.service, random, now);
            return;
        }
        for service in self.services.values_mut() {
            for waiter in service.queue.extract_if(|waiter| waiter.id == id) {
                self.waiting_bytes = self.waiting_bytes.saturating_sub(waiter.request.bytes);
            }
        }
    }

    /// When [`Self::expire`] has to be called next; `None` while no request waits.
    pub fn next_expiry(&self) -> Option<Time> {
        let waiting = self
            .services
            .values()
            .flat_map(|service| service.queue.iter());
        waiting
            .map(|waiter| waiter.review_at.unwrap_or(waiter.until).min(waiter.until))
            .min()
    }

    /// Refuses the requests that have waited for as long as they may, and after the harmless part of
    /// their wait those that will not be dispatched in time.
    pub fn expire(&mut self, random: f64, now: Time) {
        for name in self.waiting_services() {
            self.dispatch(&name, random, now);
            let Some(service) = self.services.get_mut(&name) else {
                continue;
            };
            let mut refused = Vec::new();
            for waiter in service.queue.extract_if(|waiter| waiter.until <= now) {
                refused.push((waiter, Shed::Expired));
            }
            let reviewed = service
                .queue
                .extract_if(|waiter| waiter.review_at.is_some_and(|at| at <= now));
            for mut waiter in reviewed {
                let rate = service.per_second(now);
                // Without a rate, nothing can be predicted yet.
                waiter.review_at = rate
                    .is_none()
                    .then(|| now + waiter.request.objective / HARMLESS_DIVISOR);
                let ahead = service.ahead(&waiter.request, waiter.since);
                let wait = shed::time_for(ahead, rate);
                if now + wait > waiter.until {
                    refused.push((waiter, Shed::Wait));
                } else {
                    service.queue.push(waiter);
                }
            }
            for (waiter, cause) in refused {
                if let Some(service) = self.services.get_mut(&name) {
                    service.level.record_overload(waiter.request.priority, now);
                }
                self.refuse(waiter, cause, random, now);
            }
        }
    }

    /// Open and waiting requests by service, for the report to other routers.
    pub fn demand(&self) -> Vec<(ServiceName, u32)> {
        let demand = self.services.iter();
        let demand = demand.map(|(name, service)| (name.clone(), service.demand()));
        demand.filter(|(_, demand)| *demand > 0).collect()
    }

    /// State of all services, ordered by name.
    pub fn inspect(&self, now: Time) -> Vec<ServiceDispatch> {
        let mut states: Vec<_> = self
            .services
            .iter()
            .map(|(name, service)| {
                let room = service.room.as_ref();
                let age = room.map(|room| now.since(room.at).as_millis());
                ServiceDispatch {
                    service: name.clone(),
                    capacity: room.map(|room| room.capacity),
                    capacity_age_ms: age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
                    demand_elsewhere: room.and_then(|room| room.demand_elsewhere),
                    limit: service.limit(now),
                    open: service.open,
                    waiting: service.queue.classes().collect(),
                    ends_per_s: service.per_second(now),
                    level: service.level.least(),
                }
            })
            .collect();
        states.sort_by(|a, b| a.service.cmp(&b.service));
        states
    }

    fn waiting_services(&self) -> Vec<ServiceName> {
        let services = self.services.iter();
        let waiting = services.filter(|(_, service)| service.queue.len() > 0);
        waiting.map(|(name, _)| name.clone()).collect()
    }

    /// Admits waiting requests while there are places for them.
    fn dispatch(&mut self, name: &ServiceName, random: f64, now: Time) {
        while let Some(service) = self.services.get_mut(name)
            && let Some(class) = service.queue.most_urgent()
            && service.has_place(class, now)
            && let Some(waiter) = service.queue.pop()
        {
            // On a day without load, a request is sent whatever its deadline.
            if now >= waiter.until && service.is_loaded() {
                let waited_to_end = now > waiter.request.arrived;
                let cause = [Shed::Deadline, Shed::Expired][usize::from(waited_to_end)];
                self.refuse(waiter, cause, random, now);
                continue;
            }
            self.admit(waiter, now);
        }
    }

    /// Gives a place to a request that has been taken from the queue.
    fn admit(&mut self, waiter: Waiter<T>, now: Time) {
        let time = now.since(waiter.request.arrived);
        let name = waiter.request.service;
        let service = self.services.entry(name.clone()).or_default();
        service.open += 1;
        let figures = service.figures(waiter.predicted, time, now);
        let place = Place {
            service: name,
            taken_at: now,
        };
        self.places.insert(waiter.id, place);
        self.waiting_bytes = self.waiting_bytes.saturating_sub(waiter.request.bytes);
        self.decided.push(Decided {
            id: waiter.id,
            verdict: Verdict::Admitted,
            figures,
            handle: waiter.handle,
        });
    }

    /// Refuses requests until the queue is within its limits.
    fn evict(&mut self, random: f64, now: Time) {
        loop {
            let waiting: usize = self
                .services
                .values()
                .map(|service| service.queue.len())
                .sum();
            if waiting <= self.limits.requests && self.waiting_bytes <= self.limits.bytes {
                return;
            }
            let services = self.services.values_mut();
            let largest =
                services.max_by_key(|service| (service.queue.least_urgent(), service.queue.len()));
            let Some(waiter) = largest.and_then(|service| service.queue.evict()) else {
                return;
            };
            self.refuse(waiter, Shed::Full, random, now);
        }
    }

    fn refuse(&mut self, waiter: Waiter<T>, cause: Shed, random: f64, now: Time) {
        let Waiter { request, since, .. } = waiter;
        self.waiting_bytes = self.waiting_bytes.saturating_sub(request.bytes);
        let service = self.services.entry(request.service).or_default();
        let backlog = shed::backlog_time(service.queue.len(), service.per_second(now));
        let time_left = request.deadline.since(now);
        let after = shed::retry_after(backlog, time_left, random);
        self.comebacks
            .record(request.content, since, now + after, now);
        self.decided.push(Decided {
            id: waiter.id,
            verdict: Verdict::Refused { cause, after },
            figures: service.figures(waiter.predicted, now.since(request.arrived), now),
            handle: waiter.handle,
        });
    }
}

impl<T> Service<T> {
    fn demand(&self) -> u32 {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.open.saturating_add(waiting)
    }

    /// Moves the mean demand on to `now`; called before the demand changes.
    fn update_mean(&mut self, now: Time) {
        let windows = now.since(self.mean_at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        let demand = f64::from(self.demand());
        self.mean_demand = demand + (self.mean_demand - demand) * (-windows).exp();
        self.mean_at = now;
    }

    /// Number of requests that this router may have open; `None` if the service is not limited.
    fn limit(&self, now: Time) -> Option<u32> {
        let room = self.room.as_ref()?;
        Some(room.limit(self.mean_demand, now))
    }

    fn has_place(&self, class: u8, now: Time) -> bool {
        let Some(limit) = self.limit(now) else {
            return true;
        };
        self.open < limit || self.level.is_most_urgent(class) && self.has_reserve(now)
    }

    /// Whether a place in reserve is free.
    fn has_reserve(&self, now: Time) -> bool {
        self.limit(now).is_none_or(|limit| {
            let reserve = (limit / RESERVE_DIVISOR).max(1);
            self.open < limit.saturating_add(reserve)
        })
    }

    fn per_second(&self, now: Time) -> Option<f64> {
        let open = self.limit(now).unwrap_or(self.open).min(self.open.max(1));
        self.ends.per_second(open, now)
    }

    /// Whether the open and waiting requests of all routers take up the capacity, so that a request
    /// which is dispatched now waits at its target.
    fn is_loaded(&self) -> bool {
        let Some(room) = &self.room else {
            return false;
        };
        let elsewhere = room.demand_elsewhere.unwrap_or(0).max(room.elsewhere);
        self.demand().saturating_add(elsewhere) > room.capacity
    }

    /// Wait of a new request before its dispatch.
    fn predicted_wait(
        &self,
        request: &DispatchRequest,
        since: Time,
        now: Time,
    ) -> Option<Duration> {
        let rate = self.per_second(now)?;
        Some(shed::time_for(self.ahead(request, since), Some(rate)))
    }

    /// Upper estimate of the number of requests that are dispatched before one that is not in the
    /// queue, itself included.
    fn ahead(&self, request: &DispatchRequest, since: Time) -> f64 {
        let ahead = self.queue.ahead(request.priority, &request.team);
        let newer = self.queue.iter().filter(|other| {
            other.request.priority == request.priority
                && other.request.team == request.team
                && other.since > since
        });
        (ahead - count_to_f64(newer.count())).max(0.0) + 1.0
    }

    /// Time that the targets are expected to need. A stream holds its place longer than until its
    /// first event, so the objective bounds the estimate.
    fn expected(&self, request: &DispatchRequest) -> Duration {
        let expected = self.ends.held().min(request.objective);
        match request.idempotency {
            Idempotency::Idempotent => expected,
            Idempotency::AtMostOnce => expected * UNREPEATABLE_FACTOR,
        }
    }

    /// When a request has to be dispatched at the latest: within its objective, within half of its
    /// time, and soon enough for its answer to arrive before the deadline.
    fn latest_dispatch(&self, request: &DispatchRequest) -> Time {
        let time_left = request.deadline.since(request.arrived);
        let wait = request.objective.min(time_left / MAX_WAIT_DIVISOR);
        let for_deadline = request.deadline.before(self.expected(request));
        (request.arrived + wait).min(for_deadline)
    }

    fn figures(&self, predicted: Option<Duration>, waited: Duration, now: Time) -> Figures {
        let room = self.room.as_ref();
        Figures {
            predicted,
            waited,
            limit: self.limit(now),
            capacity: room.map(|room| room.capacity),
            capacity_age: room.map(|room| now.since(room.at)),
            level: self.level.least(),
            waiting: self.queue.len(),
        }
    }
}
