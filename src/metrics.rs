//! Metrics of a process, in the Prometheus text format.

use std::sync::Arc;

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Labels of a result counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResultLabels {
    /// The result code's name, `Ok` for a whole answer.
    pub code: &'static str,
}

/// Counters of a process.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    /// Finished requests by result.
    pub results: Family<ResultLabels, Counter>,
    /// Attempts beyond the first of a request.
    pub retries: Counter,
    /// Answers dropped because they belonged to another attempt or left a gap.
    pub mismatches: Counter,
    /// Connections and frames dropped because they did not verify.
    pub rejected_frames: Counter,
    /// Bytes of datagrams sent.
    pub gossip_sent: Counter,
    /// Bytes of datagrams received.
    pub gossip_received: Counter,
    /// Datagrams dropped because they did not verify.
    pub gossip_dropped: Counter,
}

impl Metrics {
    /// Registers the counters of a process.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("ebonyfall");
        let results = Family::default();
        let retries = Counter::default();
        let mismatches = Counter::default();
        let rejected_frames = Counter::default();
        registry.register("results", "Finished requests by result", results.clone());
        registry.register("retries", "Attempts beyond the first", retries.clone());
        registry.register(
            "mismatches",
            "Answers dropped as not matching",
            mismatches.clone(),
        );
        registry.register(
            "rejected_frames",
            "Frames that did not verify",
            rejected_frames.clone(),
        );
        let [gossip_sent, gossip_received, gossip_dropped] = [
            ("gossip_sent_bytes", "Bytes of datagrams sent"),
            ("gossip_received_bytes", "Bytes of datagrams received"),
            ("gossip_dropped", "Datagrams that did not verify"),
        ]
        .map(|(name, help)| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        });
        Self {
            registry: Arc::new(registry),
            results,
            retries,
            mismatches,
            rejected_frames,
            gossip_sent,
            gossip_received,
            gossip_dropped,
        }
    }

    /// Counts a finished request.
    pub fn result(&self, code: &'static str) {
        self.results.get_or_create(&ResultLabels { code }).inc();
    }

    /// Every metric as text.
    pub fn encode(&self) -> String {
        let mut buf = String::new();
        // Writing to a string cannot fail.
        let _written = text::encode(&mut buf, &self.registry);
        buf
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
