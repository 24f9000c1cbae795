//! The concurrency limit of a target in cold start.

use crate::id::Incarnation;

/// Requests at normal speed that prove the target fit for twice the load.
const FAST_REQUESTS_PER_DOUBLING: u32 = 16;
/// Multiple of the normal pace up to which a request counts as a proof.
const FAST_RATIO: f64 = 2.0;
/// Multiple of the normal pace from which a request is a sign of a cold target.
const SLOW_RATIO: f64 = 4.0;
/// Slow requests among the last eight that restart the ramp; fewer are left to chance.
const SLOW_OF_LAST_EIGHT: u32 = 6;
/// Weight of one request in the normal pace.
const UNIT_TIME_SMOOTHING: f64 = 1.0 / 32.0;
/// Growth of the normal pace with each slow request, so that a lasting change of the traffic
/// becomes the new normal after about seventy requests.
const SLOW_UNIT_TIME_GROWTH: f64 = 1.02;

/// Limits of one target.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Requests borne at once when warm.
    pub slots: u32,
    /// Requests borne at once in cold start.
    pub cold_slots: u32,
    /// Requests that may wait.
    pub queue: u32,
}

/// Raises the limit of a target from its cold capacity as it proves its health.
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
    /// Starts with a cold target.
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

    /// Requests allowed at once now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether the target takes its full load.
    pub fn is_warm(&self) -> bool {
        self.limit >= self.capacity.slots
    }

    /// Counts the restarts of the ramp; a request that started in an earlier epoch proves nothing.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The engine's incarnation, as last reported.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Changes the target's capacity; a higher one has to be proven.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
        self.limit = self.limit.clamp(1, capacity.slots.max(1));
    }

    /// Goes back to the start.
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

    /// Goes back to the start because the engine is gone; the next report tells its incarnation.
    pub fn on_engine_lost(&mut self) {
        self.incarnation = None;
        self.restart();
    }

    /// Goes back to the start because the engine gives no answer; it may still be the same one.
    pub fn on_engine_unreachable(&mut self) {
        if self.has_progress() {
            self.restart();
        }
    }

    /// Whether there is anything to take back; proofs of an earlier life count too.
    fn has_progress(&self) -> bool {
        self.limit > self.capacity.cold_slots || self.fast_requests > 0
    }

    /// Records a whole answer that took `pace` for each unit of work.
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

    /// Takes the engine's own report, which lags; returns whether the engine was restarted.
    pub fn on_engine_report(&mut self, incarnation: Incarnation, cold: bool) -> bool {
        let previous = self.incarnation.replace(incarnation);
        let restarted = previous.is_some_and(|previous| previous != incarnation);
        self.reported_cold = cold;
        // A report that is out of date restarts the ramp too early, which costs a few requests;
        // one that is ignored may cost the engine.
        if restarted || cold && self.has_progress() {
            self.restart();
        }
        restarted
    }
}
