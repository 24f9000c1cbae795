//! Metrics of the limits on callers.

use ebonyfall_core::{
    connections::CloseCause,
    memory::{MemoryRefusal, Taker},
};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Labels of the counter of closed connections.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CloseLabels {
    /// Why the connection was closed.
    pub cause: &'static str,
}

/// Labels of the gauge of held bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MemoryLabels {
    /// What holds the bytes.
    pub taker: &'static str,
}

/// Labels of the counter of bytes that did not fit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MemoryRefusalLabels {
    /// What asked for the bytes.
    pub taker: &'static str,
    /// Why they did not fit.
    pub cause: &'static str,
}

/// Metrics of the limits on callers. Clones share their values.
#[derive(Debug, Clone, Default)]
pub struct CallerMetrics {
    pub(super) connections: Gauge,
    closed: Family<CloseLabels, Counter>,
    memory: Family<MemoryLabels, Gauge>,
    refused: Family<MemoryRefusalLabels, Counter>,
}

impl CallerMetrics {
    /// Creates the metrics and adds them to `registry`.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Open connections of callers, load balancers and monitoring";
        registry.register("caller_connections", help, metrics.connections.clone());
        let help = "Connections of callers that were closed, by cause";
        registry.register("caller_connections_closed", help, metrics.closed.clone());
        let help = "Bytes held for callers and targets, by taker";
        registry.register("memory_held_bytes", help, metrics.memory.clone());
        let help = "Requests for memory that were refused, by taker and cause";
        registry.register("memory_refused", help, metrics.refused.clone());
        metrics
    }

    pub(crate) fn add_memory(&self, taker: Taker, bytes: usize) {
        let taker = taker.name();
        let gauge = self.memory.get_or_create(&MemoryLabels { taker });
        gauge.inc_by(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    pub(crate) fn remove_memory(&self, taker: Taker, bytes: usize) {
        let taker = taker.name();
        let gauge = self.memory.get_or_create(&MemoryLabels { taker });
        gauge.dec_by(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    pub(crate) fn count_memory_refusal(&self, taker: Taker, refusal: MemoryRefusal) {
        let labels = MemoryRefusalLabels {
            taker: taker.name(),
            cause: refusal.name(),
        };
        self.refused.get_or_create(&labels).inc();
    }

    pub(super) fn count_closed(&self, cause: CloseCause) {
        let cause = cause.name();
        self.closed.get_or_create(&CloseLabels { cause }).inc();
    }
}
