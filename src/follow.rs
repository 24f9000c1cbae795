//! Tasks that follow the store's streams of operators' orders and of target records.

mod fetch;
mod filter;
mod list;
mod orders;
mod targets;

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use ebonyfall_core::{
    catch_up::{CatchUp, Confirmation, ReadProgress},
    desired::DesiredState,
    eras::Eras,
    lease::Lease,
    readers::{FollowTimes, OrderBounds, SourceChoice},
    time::Time,
};
use ebonyfall_platform::store::Topic;
use ebonyfall_wire::mirror::Stream;
use slog::{Logger, info, warn};
use tokio::{sync::watch, time};

use crate::{
    clock,
    metrics::Metrics,
    mirror::Mirror,
    neighbours::{Mirrors, PeerAccess, PeerReader},
    selection::SelectorHandle,
    store::{StoreClient, StoreError},
    supervisor::{Supervisor, TaskName},
};
use fetch::FetchState;
use filter::RecordFilter;
use orders::OrderTask;
use targets::TargetTask;

/// Longest age of the targets' records, as a percentage of the time within which a draining target
/// must stop getting requests.
const TARGET_AGE_PERCENT: u32 = 55;
/// Age of a reader's copy of the targets' records from which a router asks the store instead, in the
/// same unit. What is left covers the pause until the next read and a reader that does not answer.
const TARGET_FOLLOW_PERCENT: u32 = 41;
/// Time after the first list of an era from which on the orders are complete. Operators write again what
/// the store has lost; until then, changes of keys that were known before wait for it.
const ORDERS_SETTLE_TIME: Duration = Duration::from_secs(2);
/// The same for targets: an entry of a target that had left lapses within three heartbeats.
const TARGETS_SETTLE_TIME: Duration = Duration::from_secs(5);
/// Mean delay before the next call after the store has failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// State read from the store, directly or through another router.
#[derive(Debug, Clone)]
pub struct StoreState {
    /// Newest desired state; `None` until the first one is read.
    pub desired: watch::Receiver<Option<Arc<DesiredState>>>,
    /// Lease on the desired state: when it was last confirmed to be current, and whether that is
    /// recent enough to authenticate callers.
    pub lease: watch::Receiver<Lease>,
    /// When the store itself last answered, or last confirmed the state of the reader that this
    /// router follows. Reads from other routers while the store does not answer do not count. `None`
    /// before the first answer.
    pub last_answer: watch::Receiver<Option<Time>>,
    /// Whether the complete list of targets has been read once.
    pub targets_loaded: watch::Receiver<bool>,
    /// Copies of the streams, for routers that cannot reach the store.
    pub mirrors: Mirrors,
}

/// Starts the tasks that follow the two streams. A draining target must get no new requests after
/// `drain`.
pub fn start(
    store: StoreClient,
    selector: SelectorHandle,
    access: watch::Receiver<Option<PeerAccess>>,
    (orders, drain): (OrderBounds, Duration),
    metrics: Metrics,
    supervisor: &Supervisor,
    log: Logger,
) -> StoreState {
    let (desired_tx, desired) = watch::channel(None);
    let (lease_tx, lease) = watch::channel(Lease::new(orders.revocation));
    let (last_answer_tx, last_answer) = watch::channel(None);
    let (loaded_tx, targets_loaded) = watch::channel(false);
    let (order_mirror, order_records) = watch::channel(Mirror::default());
    let (target_mirror, target_records) = watch::channel(Mirror::default());
    let times = FollowTimes::new(orders);
    let fetch = FetchState::default();
    let lateness = fetch.report_lateness(lease.clone(), orders.apply, log.clone());
    supervisor.spawn(TaskName::OrderAge, lateness);
    let order_task = OrderTask {
        store: store.clone(),
        times,
        eras: Eras::new(ORDERS_SETTLE_TIME),
        confirmation: Confirmation::default(),
        may_lack_revocation: false,
        selector: selector.clone(),
        desired: desired_tx,
        source: SourceChoice::new(times.max_age),
        lease: lease_tx,
        last_answer: last_answer_tx,
        evacuated: HashSet::new(),
        moves: HashMap::new(),
        health: StoreHealth::new("orders", metrics.clone(), log.clone()),
        mirror: order_mirror,
        filter: RecordFilter::new(Topic::Orders, metrics.entry.clone(), log.clone()),
        list: None,
        list_bytes: 0,
        peers: PeerReader::new(
            Stream::Orders,
            access.clone(),
            metrics.entry.clone(),
            log.clone(),
        ),
        fetch,
        log: log.clone(),
    };
    supervisor.spawn(TaskName::Orders, order_task.run());
    let target_task = TargetTask {
        store,
        selector,
        eras: Eras::new(TARGETS_SETTLE_TIME),
        loaded: loaded_tx,
        max_age: drain * TARGET_AGE_PERCENT / 100,
        source: SourceChoice::new(drain * TARGET_FOLLOW_PERCENT / 100),
        health: StoreHealth::new("targets", metrics.clone(), log.clone()),
        mirror: target_mirror,
        filter: RecordFilter::new(Topic::Targets, metrics.entry.clone(), log.clone()),
        desired: desired.clone(),
        list: None,
        list_bytes: 0,
        confirmation: Confirmation::default(),
        peers: PeerReader::new(Stream::Targets, access, metrics.entry, log),
    };
    supervisor.spawn(TaskName::Targets, target_task.run());
    StoreState {
        desired,
        lease,
        last_answer,
        targets_loaded,
        mirrors: Mirrors {
            orders: order_records,
            targets: target_records,
        },
    }
}

/// Counts failed calls to the store, and logs when the store stops answering and when it answers
/// again.
struct StoreHealth {
    stream: &'static str,
    lost_since: Option<Time>,
    /// Number of failed calls since the last answer, which raises the next list's timeout.
    failures: u32,
    metrics: Metrics,
    log: Logger,
}

impl StoreHealth {
    fn new(stream: &'static str, metrics: Metrics, log: Logger) -> Self {
        Self {
            stream,
            lost_since: None,
            failures: 0,
            metrics,
            log,
        }
    }

    fn record_failure(&mut self, error: &StoreError, now: Time) {
        self.metrics.entry.store_failures.inc();
        self.failures = self.failures.saturating_add(1);
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            warn!(self.log, "call to the store failed; retrying";
                "event" => "dependency_lost", "stream" => self.stream, "error" => %error);
        }
    }

    /// Whether the stream has to be listed again at once because of `error`, which is logged then.
    fn list_again(&self, error: &StoreError) -> bool {
        if error.needs_list() {
            info!(self.log, "records cannot be read on; listing the stream again";
                "event" => "stream_listed", "stream" => self.stream, "error" => %error);
        }
        error.needs_list()
    }

    /// Decides how to go on after a read that made this `progress`, and logs a list. A list has about
    /// `known_bytes`.
    fn catch_up(&self, progress: ReadProgress, known_bytes: u64) -> CatchUp {
        let next = CatchUp::after(progress, known_bytes);
        if next == CatchUp::List {
            info!(self.log, "far behind the stream; listing its newest records";
                "event" => "stream_behind", "stream" => self.stream, "left" => progress.left,
                "records" => progress.records, "bytes" => progress.bytes,
                "known_bytes" => known_bytes);
        }
        next
    }

    /// Waits for half to one and a half times `mean`, so that routers that failed at the same time
    /// do not retry together.
    async fn sleep_with_jitter(mean: Duration) {
        time::sleep(mean.mul_f64(rand::random_range(0.5..1.5))).await;
    }

    fn record_answer(&mut self, now: Time) {
        self.failures = 0;
        if let Some(since) = self.lost_since.take() {
            let away = clock::millis(now.since(since));
            info!(self.log, "store answers again"; "event" => "dependency_regained",
                "stream" => self.stream, "away_ms" => away);
        }
    }
}
