//! Concurrency limit of a target, which starts low when the target is cold and doubles in steps.

use crate::id::Incarnation;

/// Number of requests at normal speed after which the limit doubles.
const FAST_REQUESTS_PER_DOUBLING: u32 = 16;
/// A request counts towards the next doubling if its time per unit of work is at most this multiple
/// of the normal one.
const FAST_RATIO: f64 = 2.0;
/// A request counts as slow, a sign of a cold target, above this multiple of the normal time per
/// unit of work.
const SLOW_RATIO: f64 = 4.0;
/// Number of slow requests among the last eight that restarts the ramp; fewer can happen by chance.
const SLOW_OF_LAST_EIGHT: u32 = 6;
/// Weight of the newest sample in the moving mean of the normal time per unit of work.
const UNIT_TIME_SMOOTHING: f64 = 1.0 / 32.0;
/// Factor by which each slow request raises the normal time per unit of work. A lasting change of
/// the traffic becomes the new normal after about 70 requests.
const SLOW_UNIT_TIME_GROWTH: f64 = 1.02;

/// Configured limits of one target.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Concurrent requests that the target can run when warm.
    pub slots: u32,
    /// Concurrent requests that the target can run after a cold start.
    pub cold_slots: u32,
    /// Maximum number of queued requests.
    pub queue: u32,
}

/// Concurrency limit that starts at the cold limit and doubles after each series of requests at
/// normal speed.
#[derive(Debug)]
pub struct Ramp {
    capacity: Capacity,
    limit: u32,
    fast_requests: u32,
    epoch: u64,
    normal_unit_time: Option<f64>,
    recent_slow: u8,
    reported_cold: bool,
    incarnation: Option<Incarnation>,
}

impl Ramp {
    /// Creates a ramp at the cold limit of `capacity`.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            limit: capacity.cold_slots.clamp(1, capacity.slots.max(1)),
            fast_requests: 0,
            epoch: 0,
            normal_unit_time: None,
            recent_slow: 0,
            reported_cold: false,
            incarnation: None,
        }
    }

    /// Current concurrency limit, at least 1.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether the limit has reached the warm limit.
    pub fn is_warm(&self) -> bool {
        self.limit >= self.capacity.slots
    }

    /// Number of restarts of the ramp so far. Requests that started in an earlier epoch do not
    /// count towards the next doubling.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The engine's incarnation from its last report; `None` before the first report and after a
    /// crash.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Changes the configured limits. A lower warm limit applies at once; a higher one is reached
    /// by further doublings.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
        self.limit = self.limit.clamp(1, capacity.slots.max(1));
    }

    /// Returns to the cold limit and starts a new epoch.
    pub fn restart(&mut self) {
        let initial = Self::new(self.capacity);
        *self = Self {
            epoch: self.epoch + 1,
            normal_unit_time: self.normal_unit_time,
            reported_cold: self.reported_cold,
            incarnation: self.incarnation,
            ..initial
        };
    }

    /// Returns to the cold limit after a crash or restart of the engine and forgets its
    /// incarnation.
    pub fn on_engine_lost(&mut self) {
        self.incarnation = None;
        self.restart();
    }

    /// Returns to the cold limit if the engine cannot be reached. The incarnation is kept, as the
    /// engine may still be running.
    pub fn on_engine_unreachable(&mut self) {
        if self.has_progress() {
            self.restart();
        }
    }

    /// Whether a restart would change anything. Requests counted towards the next doubling matter
    /// too: they ran on an engine that may since have been replaced.
    fn has_progress(&self) -> bool {
        self.limit > self.capacity.cold_slots || self.fast_requests > 0
    }

    /// Records a complete answer that took `unit_time` seconds per unit of work, for a request that
    /// started in `epoch`. While the engine reports that it is cold, no request counts towards the
    /// next doubling.
    pub fn record_completion(&mut self, unit_time: f64, epoch: u64) {
        let normal = *self.normal_unit_time.get_or_insert(unit_time);
        let slow = unit_time > normal * SLOW_RATIO;
        self.normal_unit_time = Some(if slow {
            normal * SLOW_UNIT_TIME_GROWTH
        } else {
            normal + (unit_time - normal) * UNIT_TIME_SMOOTHING
        });
        if epoch != self.epoch {
            return;
        }
        self.recent_slow = self.recent_slow << 1 | u8::from(slow);
        if self.recent_slow.count_ones() >= SLOW_OF_LAST_EIGHT {
            self.restart();
            return;
        }
        if unit_time > normal * FAST_RATIO || self.reported_cold || self.is_warm() {
            return;
        }
        self.fast_requests += 1;
        if self.fast_requests >= FAST_REQUESTS_PER_DOUBLING {
            self.fast_requests = 0;
            self.limit = (self.limit * 2).min(self.capacity.slots);
        }
    }

    /// Processes the engine's status report, which may be out of date; returns whether the engine
    /// was restarted since the previous report.
    pub fn on_engine_report(&mut self, incarnation: Incarnation, cold: bool) -> bool {
        let previous = self.incarnation.replace(incarnation);
        let restarted = previous.is_some_and(|previous| previous != incarnation);
        self.reported_cold = cold;
        // An outdated report restarts the ramp too early, which delays a few requests; ignoring a
        // valid one may overload a cold engine.
        if restarted || cold && self.has_progress() {
            self.restart();
        }
        restarted
    }
}
