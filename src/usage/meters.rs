//! Metrics of usage reports.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

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
