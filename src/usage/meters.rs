//! Metrics of usage reports.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Labels of the counter of exchanges with collectors.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ExchangeLabels {
    /// `answered`, or `failed` if the collector did not answer in time.
    pub outcome: &'static str,
}

/// Counters of the requests that began and of the exchange of counts. Clones share their values.
#[derive(Debug, Clone, Default)]
pub struct CountingMeters {
    /// Requests that were counted because they began to run.
    pub requests: Counter,
    /// Counts that were lost because the counting task's queue or its table was full.
    pub dropped: Counter,
    exchanges: Family<ExchangeLabels, Counter>,
}

impl CountingMeters {
    /// Creates the metrics and adds them to `registry`.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let meters = Self::default();
        let help = "Requests that began to run at a target and were counted for usage reports";
        registry.register("usage_requests", help, meters.requests.clone());
        let help = "Counts for usage reports that were lost because a limit was reached";
        registry.register("usage_counts_dropped", help, meters.dropped.clone());
        let help = "Exchanges of counts for usage reports with other routers";
        registry.register("usage_exchanges", help, meters.exchanges.clone());
        meters
    }

    /// Counts an exchange with a collector.
    pub fn count_exchange(&self, answered: bool) {
        let outcome = if answered { "answered" } else { "failed" };
        let labels = ExchangeLabels { outcome };
        self.exchanges.get_or_create(&labels).inc();
    }
}
