//! Metrics of a process, exported in the Prometheus text format.

use std::{sync::Arc, time::Duration};

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::{
    callers::CallerMetrics, meters::EntryMetrics, reader::RejectCounts, supervisor::EndedTasks,
};

/// Histogram buckets of the delay until a configuration is in force, in seconds, dense round the
/// goal of 3 s and the bound of 8 s.
const IN_FORCE_BUCKETS: [f64; 8] = [0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 8.0, 30.0];

/// Labels of the counter of finished requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResultLabels {
    /// Name of the result code; `Ok` for a complete answer.
    pub code: &'static str,
}

/// Labels of the gauge of invalid configuration records.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RejectLabels {
    /// Check that the records failed: `parent`, `digest`, `document` or `contradiction`.
    pub cause: &'static str,
}

/// Metrics of a process. Clones share their values.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    /// Finished requests by result.
    pub results: Family<ResultLabels, Counter>,
    /// Number of running requests.
    pub open: Gauge,
    /// Attempts beyond the first of a request.
    pub retries: Counter,
    /// Answers dropped because they belong to another attempt or have a gap.
    pub mismatches: Counter,
    /// Connections and frames dropped because authentication failed.
    pub rejected_frames: Counter,
    /// Bytes of gossip datagrams sent.
    pub gossip_sent: Counter,
    /// Bytes of gossip datagrams received.
    pub gossip_received: Counter,
    /// Gossip datagrams dropped because authentication or decoding failed.
    pub gossip_dropped: Counter,
    /// Log offset of the configuration in force.
    pub configuration_offset: Gauge,
    /// 1 while the log ends before records that were read from it.
    pub log_reset: Gauge,
    /// Tasks that ended although the process needs them.
    pub ended_tasks: EndedTasks,
    /// Metrics that only entry routers set.
    pub entry: EntryMetrics,
    /// Metrics of the limits on callers.
    pub callers: CallerMetrics,
    log_read: Gauge,
    in_force: Histogram,
    rejects: Family<RejectLabels, Gauge>,
}

impl Metrics {
    /// Creates the metrics of a process in a registry of their own.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("ebonyfall");
        let results = Family::default();
        registry.register("results", "Finished requests by result", results.clone());
        let open = gauge(&mut registry, "open", "Requests that have not ended");
        let retries = counter(&mut registry, "retries", "Attempts beyond the first");
        let help = "Answers dropped as not matching";
        let mismatches = counter(&mut registry, "mismatches", help);
        let help = "Frames that did not verify";
        let rejected_frames = counter(&mut registry, "rejected_frames", help);
        let configuration_offset = Gauge::default();
        let log_reset = Gauge::default();
        let log_read = Gauge::default();
        let in_force = Histogram::new(IN_FORCE_BUCKETS);
        let rejects = Family::default();
        registry.register(
            "configuration_offset",
            "Offset of the configuration in force",
            configuration_offset.clone(),
        );
        registry.register(
            "configuration_log_reset",
            "1 while the log ends before records that were read from it",
            log_reset.clone(),
        );
        registry.register(
            "configuration_log_read_timestamp_seconds",
            "Unix time of the last successful read of the log",
            log_read.clone(),
        );
        registry.register(
            "configuration_in_force_seconds",
            "Time from publishing until the configuration was in force here",
            in_force.clone(),
        );
        registry.register(
            "configuration_rejected_records",
            "Configuration records that were found invalid, by cause",
            rejects.clone(),
        );
        let gossip_sent = counter(
            &mut registry,
            "gossip_sent_bytes",
            "Bytes of datagrams sent",
        );
        let help = "Bytes of datagrams received";
        let gossip_received = counter(&mut registry, "gossip_received_bytes", help);
        let help = "Datagrams that did not verify";
        let gossip_dropped = counter(&mut registry, "gossip_dropped", help);
        let ended_tasks = EndedTasks::default();
        registry.register(
            "tasks_ended",
            "Tasks that ended although the process needs them",
            ended_tasks.clone(),
        );
        let entry = EntryMetrics::register(&mut registry);
        let callers = CallerMetrics::register(&mut registry);
        Self {
            registry: Arc::new(registry),
            ended_tasks,
            entry,
            callers,
            gossip_sent,
            gossip_received,
            gossip_dropped,
            results,
            open,
            retries,
            mismatches,
            rejected_frames,
            configuration_offset,
            log_reset,
            log_read,
            in_force,
            rejects,
        }
    }

    /// Counts a finished request by its result code.
    pub fn count_result(&self, code: &'static str) {
        self.results.get_or_create(&ResultLabels { code }).inc();
    }

    /// Sets the time of the last successful read of the log, since the Unix epoch.
    pub fn set_log_read(&self, unix_time: Duration) {
        let seconds = i64::try_from(unix_time.as_secs()).unwrap_or(i64::MAX);
        self.log_read.set(seconds);
    }

    /// Records the delay from the publication of a configuration until it took effect here.
    pub fn observe_in_force(&self, after: Duration) {
        self.in_force.observe(after.as_secs_f64());
    }

    /// Sets the number of invalid configuration records since the start, by cause.
    pub fn set_rejects(&self, rejects: RejectCounts) {
        let causes = [
            ("parent", rejects.parent),
            ("digest", rejects.digest),
            ("document", rejects.document),
            ("contradiction", rejects.contradiction),
        ];
        for (cause, count) in causes {
            let gauge = self.rejects.get_or_create(&RejectLabels { cause });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Encodes all metrics in the text format.
    pub fn encode(&self) -> String {
        let mut buf = String::new();
        // Writing to a string cannot fail.
        let _written = text::encode(&mut buf, &self.registry);
        buf
    }
}

fn counter(registry: &mut Registry, name: &str, help: &str) -> Counter {
    let counter = Counter::default();
    registry.register(name, help, counter.clone());
    counter
}

fn gauge(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
