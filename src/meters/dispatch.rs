//! Metrics of the requests that wait for capacity of a service.

use std::time::Duration;

use ebonyfall_core::dispatch::ServiceDispatch;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

/// Histogram buckets of the wait for capacity, in seconds, dense round an eighth of the callers'
/// latency objectives.
const WAIT_BUCKETS: [f64; 8] = [0.000_5, 0.005, 0.02, 0.04, 0.08, 0.15, 0.3, 1.0];

/// Labels of the counter of decisions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// `admitted`, or the cause of the refusal.
    pub outcome: &'static str,
    /// Class of the request; 0 is the most urgent.
    pub class: u64,
}

/// Labels of the gauges of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Name of the service.
    pub service: String,
}

/// Labels of the gauge of waiting requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QueueLabels {
    /// Name of the service.
    pub service: String,
    /// Class of the requests; 0 is the most urgent.
    pub class: u64,
}

/// Counters, gauges and the histogram of dispatch. Clones share their values.
#[derive(Debug, Clone)]
pub struct DispatchMetrics {
    outcomes: Family<OutcomeLabels, Counter>,
    waits: Histogram,
    capacity: Family<ServiceLabels, Gauge>,
    limit: Family<ServiceLabels, Gauge>,
    open: Family<ServiceLabels, Gauge>,
    demand_elsewhere: Family<ServiceLabels, Gauge>,
    level: Family<ServiceLabels, Gauge>,
    waiting: Family<QueueLabels, Gauge>,
}

impl DispatchMetrics {
    /// Creates the metrics and adds them to `registry`.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            outcomes: Family::default(),
            waits: Histogram::new(WAIT_BUCKETS),
            capacity: Family::default(),
            limit: Family::default(),
            open: Family::default(),
            demand_elsewhere: Family::default(),
            level: Family::default(),
            waiting: Family::default(),
        };
        let help = "Requests admitted, or refused before they were sent, by cause and class";
        registry.register("dispatch", help, metrics.outcomes.clone());
        let help = "Time from a request's offer to its admission or refusal";
        registry.register_with_unit("dispatch_wait", help, Unit::Seconds, metrics.waits.clone());
        let help =
            "Requests that should be at the targets of a service at most; -1 without a limit";
        registry.register("dispatch_capacity", help, metrics.capacity.clone());
        let help = "Requests that this router may have open; -1 without a limit";
        registry.register("dispatch_limit", help, metrics.limit.clone());
        let help = "Requests that this router has open";
        registry.register("dispatch_open", help, metrics.open.clone());
        let help = "Open and waiting requests of the other routers; -1 without reports";
        let elsewhere = metrics.demand_elsewhere.clone();
        registry.register("dispatch_demand_elsewhere", help, elsewhere);
        let help = "Least urgent class that may wait; -1 if all may";
        registry.register("dispatch_level", help, metrics.level.clone());
        let help = "Requests that wait at this router, by class";
        registry.register("dispatch_waiting", help, metrics.waiting.clone());
        metrics
    }

    /// Counts a decision on a request of `class` and records its wait.
    pub fn observe(&self, outcome: &'static str, class: u8, waited: Duration) {
        let class = u64::from(class);
        let labels = OutcomeLabels { outcome, class };
        self.outcomes.get_or_create(&labels).inc();
        self.waits.observe(waited.as_secs_f64());
    }

    /// Sets the gauges of all services.
    pub fn set_state(&self, services: &[ServiceDispatch]) {
        for state in services {
            let service = state.service.to_string();
            let set = |family: &Family<ServiceLabels, Gauge>, value: Option<u32>| {
                let service = service.clone();
                let gauge = family.get_or_create_owned(&ServiceLabels { service });
                gauge.set(value.map_or(-1, i64::from));
            };
            set(&self.capacity, state.capacity);
            set(&self.limit, state.limit);
            set(&self.open, Some(state.open));
            set(&self.demand_elsewhere, state.demand_elsewhere);
            set(&self.level, state.level.map(u32::from));
            for (class, waiting) in &state.waiting {
                let service = service.clone();
                let class = u64::from(*class);
                let gauge = self
                    .waiting
                    .get_or_create_owned(&QueueLabels { service, class });
                gauge.set(i64::try_from(*waiting).unwrap_or(i64::MAX));
            }
        }
    }
}
