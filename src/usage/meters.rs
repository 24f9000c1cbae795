//! Metrics of usage reports.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
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

/// Labels of the counters of claims and reports.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// What became of the claim or report.
    pub outcome: &'static str,
}

/// Metrics of the reporting lease and of the reports. Clones share their values.
#[derive(Debug, Clone, Default)]
pub struct UsageMetrics {
    claims: Family<OutcomeLabels, Counter>,
    reports: Family<OutcomeLabels, Counter>,
    holding: Gauge,
    late: Counter,
}

impl UsageMetrics {
    /// Creates the metrics and adds them to `registry`.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let meters = Self::default();
        let help = "Claims of the reporting lease, by outcome";
        registry.register("usage_claims", help, meters.claims.clone());
        let help = "Calls of the platform with usage reports, by outcome";
        registry.register("usage_reports", help, meters.reports.clone());
        let help = "1 while this router holds the reporting lease";
        registry.register("usage_holding", help, meters.holding.clone());
        let help = "Usage reports that were acknowledged after they were due";
        registry.register("usage_windows_late", help, meters.late.clone());
        meters
    }

    /// Counts a claim: `claimed`, `conflict`, `unknown`, or `resumed` under the same token.
    pub fn count_claim(&self, outcome: &'static str) {
        self.claims.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts a call: `accepted`, `rejected` or `failed`.
    pub fn count_report(&self, outcome: &'static str) {
        self.reports.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Sets whether this router holds the lease.
    pub fn set_holding(&self, holding: bool) {
        self.holding.set(i64::from(holding));
    }

    /// Counts reports that were acknowledged late.
    pub fn add_late(&self, count: u64) {
        self.late.inc_by(count);
    }
}
