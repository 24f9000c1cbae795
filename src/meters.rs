//! Metrics that only entry routers have: answer times, target selection, calls of the store, and
//! changes in the state of targets, zones and moves.

use std::{fmt::Display, sync::atomic::Ordering, time::Duration};

use ebonyfall_core::name::ServiceName;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

use crate::usage::meters::{CountingMeters, UsageMetrics};

mod dispatch;

pub use dispatch::DispatchMetrics;

/// Histogram buckets of the time to an answer's head, in seconds, dense round the callers' latency
/// objectives.
const ANSWER_BUCKETS: [f64; 10] = [0.01, 0.03, 0.1, 0.15, 0.3, 0.5, 1.0, 2.5, 5.0, 12.0];
/// Histogram buckets of the time between two parts of a stream, in seconds, dense round the
/// callers' latency objectives.
const GAP_BUCKETS: [f64; 8] = [0.005, 0.02, 0.05, 0.078, 0.2, 0.4, 1.0, 2.0];
/// Histogram buckets of the time until a target is selected, in seconds.
const CHOICE_BUCKETS: [f64; 7] = [0.000_1, 0.000_5, 0.002, 0.01, 0.05, 0.2, 1.0];
/// Histogram buckets of the duration of a call of the store, in seconds. They reach 5 s because
/// reads may wait for records.
const STORE_BUCKETS: [f64; 8] = [0.005, 0.01, 0.03, 0.1, 0.3, 0.7, 2.0, 5.0];

/// Labels of the counter of requests that failed at a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FailureLabels {
    /// Name of the kind of failure.
    pub failure: &'static str,
}

/// Labels of the counter of bytes from other processes that exceeded a limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LimitLabels {
    /// Limit that was exceeded, such as `head`, `body` or `event`.
    pub limit: &'static str,
}

/// Labels of the counter of target selections.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ChoiceLabels {
    /// Where the prompt's context is: `fetch` if the target fetches it from another one, `held` if
    /// no fetch is needed, `none` if the prompt has no context.
    pub context: &'static str,
}

/// Labels of the counter of decisions on retries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RetryLabels {
    /// Service to which the retry is sent.
    pub service: String,
    /// `taken`, or `refused` by the fleet's retry budget.
    pub outcome: &'static str,
}

/// Labels of the counter of other targets that were asked to take over a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TakeoverLabels {
    /// `taken`, `withdrawn` if the first target went on or the request ended, `late` if the other target
    /// did not accept in time, `failed`.
    pub outcome: String,
}

/// Labels of the counter of stream reads from other routers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PeerReadLabels {
    /// Stream that was read: `orders` or `targets`.
    pub stream: &'static str,
    /// `answered`, or `failed` if no router answered.
    pub outcome: &'static str,
}

/// Labels of the counter of records that are left out.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LeftOutLabels {
    /// Stream of the records: `orders`, `targets`, `routers` or `usage`.
    pub stream: &'static str,
    /// `unusable`, or `no_room`.
    pub cause: &'static str,
}

/// Labels of the counter of progress reports of version moves.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MoveLabels {
    /// Reported state of the move, or `unreported` if the store could not be read or written.
    pub state: &'static str,
}

/// Labels of the counter of changes in the router's view of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BeliefLabels {
    /// Kind of change, such as `zone`, `move` or `target_gone`.
    pub change: &'static str,
}

/// Counters, histograms and gauges of an entry router. Clones share their values.
#[derive(Debug, Clone)]
pub struct EntryMetrics {
    /// Number of live routers, including this one.
    pub routers: Gauge,
    /// Number of routers with which this one shares the limits of the fleet; 0 while unknown.
    pub fleet_share_routers: Gauge,
    /// Choices that did not consider a cold target since it was not this router's turn there.
    cold_withheld: Counter,
    /// Version number of the desired state in force.
    pub desired_version: Gauge,
    /// Number of calls of the store without a usable answer.
    pub store_failures: Counter,
    /// Metrics of the counting for usage reports.
    pub counting: CountingMeters,
    /// Metrics of usage reports.
    pub usage: UsageMetrics,
    /// Requests that wait for capacity.
    pub dispatch: DispatchMetrics,
    /// Number of targets under pace.
    pub targets_under_pace: Gauge,
    stated_slowness: Gauge<f64, std::sync::atomic::AtomicU64>,
    state_age: Gauge<f64, std::sync::atomic::AtomicU64>,
    failures: Family<FailureLabels, Counter>,
    exceeded: Family<LimitLabels, Counter>,
    choices: Family<ChoiceLabels, Counter>,
    retry_decisions: Family<RetryLabels, Counter>,
    takeovers: Family<TakeoverLabels, Counter>,
    peer_reads: Family<PeerReadLabels, Counter>,
    left_out: Family<LeftOutLabels, Counter>,
    moves: Family<MoveLabels, Counter>,
    beliefs: Family<BeliefLabels, Counter>,
    answered: Histogram,
    gap: Histogram,
    choice: Histogram,
    store: Histogram,
}

impl EntryMetrics {
    /// Creates the metrics and adds them to `registry`.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let meters = Self {
            routers: Gauge::default(),
            fleet_share_routers: Gauge::default(),
            cold_withheld: Counter::default(),
            desired_version: Gauge::default(),
            store_failures: Counter::default(),
            counting: CountingMeters::register(registry),
            usage: UsageMetrics::register(registry),
            dispatch: DispatchMetrics::register(registry),
            targets_under_pace: Gauge::default(),
            stated_slowness: Gauge::default(),
            state_age: Gauge::default(),
            failures: Family::default(),
            exceeded: Family::default(),
            choices: Family::default(),
            retry_decisions: Family::default(),
            takeovers: Family::default(),
            peer_reads: Family::default(),
            left_out: Family::default(),
            moves: Family::default(),
            beliefs: Family::default(),
            answered: Histogram::new(ANSWER_BUCKETS),
            gap: Histogram::new(GAP_BUCKETS),
            choice: Histogram::new(CHOICE_BUCKETS),
            store: Histogram::new(STORE_BUCKETS),
        };
        meters.register_counts(registry);
        meters.register_times(registry);
        meters
    }

    fn register_counts(&self, registry: &mut Registry) {
        let help = "Routers that are alive, with this one";
        registry.register("routers", help, self.routers.clone());
        let help = "Routers that share the limits of the fleet, with this one; 0 while unknown";
        registry.register(
            "fleet_share_routers",
            help,
            self.fleet_share_routers.clone(),
        );
        let help = "Choices that left out a cold target, since it was not this router's turn there";
        registry.register("cold_withheld", help, self.cold_withheld.clone());
        let help = "Version of the desired state in force";
        registry.register("desired_version", help, self.desired_version.clone());
        let help =
            "Targets that get a limited share of their peers' load since they start or recover";
        let gauge = self.targets_under_pace.clone();
        registry.register("targets_under_pace", help, gauge);
        let help =
            "Highest slowness that a target states, as a multiple of the usual time; 0 if none";
        registry.register("stated_slowness_max", help, self.stated_slowness.clone());
        let help = "Calls of the store without a usable answer";
        registry.register("store_failures", help, self.store_failures.clone());
        let help = "Requests that failed at a target, by how";
        registry.register("target_failures", help, self.failures.clone());
        let help = "Answers and requests that were cut off because they exceeded a limit";
        registry.register("limits_exceeded", help, self.exceeded.clone());
        let help = "Targets chosen, by where the prompt's context is believed to be";
        registry.register("choices", help, self.choices.clone());
        let help = "Retries that the fleet's budget allowed or refused, by service";
        registry.register("retry_decisions", help, self.retry_decisions.clone());
        let help = "Targets that got a request while the first one was silent, by what came of it";
        registry.register("takeovers", help, self.takeovers.clone());
        let help = "Reads of the store's streams from other routers";
        registry.register("peer_reads", help, self.peer_reads.clone());
        let help = "Records of the store that are left out: unusable, or without room";
        registry.register("records_left_out", help, self.left_out.clone());
        let help = "Reports of the state of version moves";
        registry.register("move_reports", help, self.moves.clone());
        let help = "Changes of what the router believes of targets, zones and moves";
        registry.register("belief_changes", help, self.beliefs.clone());
    }

    fn register_times(&self, registry: &mut Registry) {
        let mut add = |name: &str, help: &str, histogram: &Histogram| {
            registry.register_with_unit(name, help, Unit::Seconds, histogram.clone());
        };
        let help = "Time from a request's arrival to the head of its answer";
        add("answer", help, &self.answered);
        let help = "Time between two parts of a stream";
        add("stream_gap", help, &self.gap);
        let help = "Time from asking for a target to the choice";
        add("choice", help, &self.choice);
        let help = "Time of a call of the store, with the time that a read waits for records";
        add("store_call", help, &self.store);
        let help = "Age of the confirmed knowledge of the desired state";
        registry.register_with_unit("state_age", help, Unit::Seconds, self.state_age.clone());
    }

    /// Counts a request that failed at a target, by the name of the kind of failure.
    pub fn count_target_failure(&self, failure: &'static str) {
        let counter = self.failures.get_or_create(&FailureLabels { failure });
        counter.inc();
    }

    /// Counts bytes from another process that exceeded a limit.
    pub fn count_limit_exceeded(&self, limit: &'static str) {
        self.exceeded.get_or_create(&LimitLabels { limit }).inc();
    }

    /// Counts the selection of a target and records how long it took.
    pub fn observe_choice(&self, context: &'static str, after: Duration) {
        self.choices.get_or_create(&ChoiceLabels { context }).inc();
        self.choice.observe(after.as_secs_f64());
    }

    /// Counts a retry that the fleet's budget allowed, or refused if not `taken`.
    pub fn count_retry(&self, service: &ServiceName, taken: bool) {
        let labels = RetryLabels {
            service: service.to_string(),
            outcome: if taken { "taken" } else { "refused" },
        };
        self.retry_decisions.get_or_create(&labels).inc();
    }

    /// Counts another target that got a request while the first one was silent.
    pub fn count_takeover(&self, outcome: impl Display) {
        let labels = TakeoverLabels {
            outcome: outcome.to_string(),
        };
        self.takeovers.get_or_create(&labels).inc();
    }

    /// Counts a read of `stream` from other routers; `answered` is false if none answered.
    pub fn count_peer_read(&self, stream: &'static str, answered: bool) {
        let outcome = if answered { "answered" } else { "failed" };
        let labels = PeerReadLabels { stream, outcome };
        self.peer_reads.get_or_create(&labels).inc();
    }

    /// Counts an attempt to report a version move's state.
    pub fn count_move_report(&self, state: &'static str) {
        self.moves.get_or_create(&MoveLabels { state }).inc();
    }

    /// Counts records of a stream of the store that are left out, by why.
    pub fn count_left_out(&self, stream: &'static str, cause: &'static str, count: u64) {
        if count > 0 {
            let labels = LeftOutLabels { stream, cause };
            self.left_out.get_or_create(&labels).inc_by(count);
        }
    }

    /// Counts changes in the router's view of the fleet.
    pub fn count_belief_changes(&self, change: &'static str, count: usize) {
        if count > 0 {
            let counter = self.beliefs.get_or_create(&BeliefLabels { change });
            counter.inc_by(count as u64);
        }
    }

    /// Records the time from a request's arrival to the head of its answer.
    pub fn observe_answer_time(&self, after: Duration) {
        self.answered.observe(after.as_secs_f64());
    }

    /// Records the time between two parts of a stream.
    pub fn observe_stream_gap(&self, gap: Duration) {
        self.gap.observe(gap.as_secs_f64());
    }

    /// Records the duration of a call of the store.
    pub fn observe_store_call(&self, after: Duration) {
        self.store.observe(after.as_secs_f64());
    }

    /// Sets the number of choices that did not consider a cold target, counted since the start.
    pub fn set_cold_withheld(&self, count: u64) {
        self.cold_withheld.inner().store(count, Ordering::Relaxed);
    }

    /// Sets the highest slowness that a target states; zero if none does.
    pub fn set_stated_slowness(&self, slowness: f64) {
        self.stated_slowness.set(slowness);
    }

    /// Sets the time since the desired state was last confirmed by the store.
    pub fn set_state_age(&self, age: Duration) {
        self.state_age.set(age.as_secs_f64());
    }
}
