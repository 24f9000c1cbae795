//! Tasks that follow the store's streams of operators' orders and of target records.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use ebonyfall_core::{
    changeover::MoveOrder,
    desired::DesiredState,
    id::Offset,
    lease::Lease,
    name::{ServiceName, TargetName, ZoneName},
    time::Time,
};
use ebonyfall_platform::{
    desired, moves,
    store::{self, KeyedRecord, OrderKey, Topic},
    target,
};
use ebonyfall_wire::mirror::Stream;
use slog::{Logger, info, warn};
use tokio::{sync::watch, time};

use crate::{
    clock::{self, BootClock},
    metrics::Metrics,
    mirror::Mirror,
    neighbours::{Mirrors, PeerAccess, PeerRead, PeerReader},
    selection::{SelectorHandle, Update},
    store::{StoreClient, StoreError},
};

/// Long-poll timeout for reads of operators' orders, which bounds the age of the last confirmation
/// and the time until a connection without any answer is detected.
const ORDER_READ_WAIT: Duration = Duration::from_millis(1_800);
/// Interval between two reads of target records, as a percentage of the time within which a
/// draining target must stop getting requests.
const TARGET_POLL_PERCENT: u32 = 55;
/// Mean delay before the next call after the store has failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Mean delay before the next call after the store has failed and another router has supplied the
/// records.
const PEER_READ_DELAY: Duration = Duration::from_millis(700);

/// State read from the store, directly or through another router.
#[derive(Debug, Clone)]
pub struct StoreState {
    /// Newest desired state; `None` until the first one is read.
    pub desired: watch::Receiver<Option<Arc<DesiredState>>>,
    /// Lease on the desired state: when it was last confirmed to be current, and whether that is
    /// recent enough to authenticate callers.
    pub lease: watch::Receiver<Lease>,
    /// When the store itself last answered; reads through other routers do not count. `None` before
    /// the first answer.
    pub last_answer: watch::Receiver<Option<Time>>,
    /// Whether the complete list of targets has been read once.
    pub targets_loaded: watch::Receiver<bool>,
    /// Copies of the streams, for routers that cannot reach the store.
    pub mirrors: Mirrors,
}

/// Starts the tasks that follow the two streams. A revoked API key must be refused within
/// `revocation`, and a draining target must get no new requests after `drain`.
pub fn start(
    store: StoreClient,
    selector: SelectorHandle,
    access: watch::Receiver<Option<PeerAccess>>,
    (revocation, drain): (Duration, Duration),
    metrics: Metrics,
    log: Logger,
) -> StoreState {
    let (desired_tx, desired) = watch::channel(None);
    let (lease_tx, lease) = watch::channel(Lease::new(revocation));
    let (last_answer_tx, last_answer) = watch::channel(None);
    let (loaded_tx, targets_loaded) = watch::channel(false);
    let (order_mirror, order_records) = watch::channel(Mirror::default());
    let (target_mirror, target_records) = watch::channel(Mirror::default());
    let order_task = OrderTask {
        store: store.clone(),
        selector: selector.clone(),
        desired: desired_tx,
        lease: lease_tx,
        last_answer: last_answer_tx,
        evacuated: HashSet::new(),
        moves: HashMap::new(),
        health: StoreHealth::new("orders", metrics.clone(), log.clone()),
        mirror: order_mirror,
        peers: PeerReader::new(
            Stream::Orders,
            access.clone(),
            metrics.entry.clone(),
            log.clone(),
        ),
        log: log.clone(),
    };
    tokio::spawn(order_task.run());
    let target_task = TargetTask {
        store,
        selector,
        loaded: loaded_tx,
        poll: drain * TARGET_POLL_PERCENT / 100,
        health: StoreHealth::new("targets", metrics.clone(), log.clone()),
        mirror: target_mirror,
        peers: PeerReader::new(Stream::Targets, access, metrics.entry, log),
    };
    tokio::spawn(target_task.run());
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

struct OrderTask {
    store: StoreClient,
    selector: SelectorHandle,
    desired: watch::Sender<Option<Arc<DesiredState>>>,
    lease: watch::Sender<Lease>,
    last_answer: watch::Sender<Option<Time>>,
    evacuated: HashSet<ZoneName>,
    moves: HashMap<ServiceName, MoveOrder>,
    health: StoreHealth,
    mirror: watch::Sender<Mirror>,
    peers: PeerReader,
    log: Logger,
}

impl OrderTask {
    async fn run(mut self) {
        loop {
            let error = match self.snapshot().await {
                Ok(from) => self.tail(from).await,
                Err(error) => error,
            };
            if !matches!(error, StoreError::Expired) {
                self.health.record_failure(&error, BootClock.now());
                StoreHealth::sleep_with_jitter(RETRY_DELAY).await;
            }
        }
    }

    async fn snapshot(&mut self) -> Result<Offset, StoreError> {
        let requested_at = BootClock.now();
        let (records, end) = self
            .store
            .newest(Topic::Orders, self.health.failures)
            .await?;
        self.record_answer();
        self.replace_all(records, end).await;
        self.confirm(requested_at);
        Ok(end)
    }

    fn record_answer(&mut self) {
        let now = BootClock.now();
        self.health.record_answer(now);
        self.last_answer.send_replace(Some(now));
    }

    /// Replaces all records by a complete list.
    async fn replace_all(&mut self, records: Vec<KeyedRecord>, end: Offset) {
        self.evacuated.clear();
        self.moves.clear();
        self.mirror
            .send_modify(|mirror| mirror.reset(&records, end));
        self.apply(records).await;
        self.publish().await;
    }

    /// Reads changes until the records at the next offset have expired; returns that error.
    async fn tail(&mut self, mut from: Offset) -> StoreError {
        let mut wait = ORDER_READ_WAIT;
        loop {
            let requested_at = BootClock.now();
            match self.store.read(Topic::Orders, from, wait).await {
                Ok(tail) => {
                    self.record_answer();
                    let changed = !tail.records.is_empty();
                    self.apply_changes(tail.records, tail.next).await;
                    // An empty answer means that the store waited for the full time and had no new
                    // record at the end of it, so the state is confirmed for that moment. An answer
                    // with records may have been sent at any time after `requested_at`, so the next
                    // read does not wait and confirms the state at once.
                    wait = if changed {
                        Duration::ZERO
                    } else {
                        self.confirm(requested_at + wait);
                        ORDER_READ_WAIT
                    };
                    from = tail.next;
                }
                Err(StoreError::Expired) => return StoreError::Expired,
                Err(error) => {
                    self.health.record_failure(&error, BootClock.now());
                    if let Some(read) = self.peers.read(from).await {
                        from = read.next;
                        if read.is_complete {
                            self.replace_all(read.records, from).await;
                        } else {
                            self.apply_changes(read.records, from).await;
                        }
                        if let Some(confirmed) = read.confirmed {
                            self.confirm(confirmed);
                        }
                        StoreHealth::sleep_with_jitter(PEER_READ_DELAY).await;
                    } else {
                        StoreHealth::sleep_with_jitter(RETRY_DELAY).await;
                    }
                    // Reads without waiting, so that the state is confirmed as soon as the store
                    // answers.
                    wait = Duration::ZERO;
                }
            }
        }
    }

    /// Applies records that follow the last known offset.
    async fn apply_changes(&mut self, records: Vec<KeyedRecord>, next: Offset) {
        if records.is_empty() {
            return;
        }
        self.mirror
            .send_modify(|mirror| mirror.apply(&records, next));
        self.apply(records).await;
        self.publish().await;
    }

    fn confirm(&self, at: Time) {
        self.lease.send_modify(|lease| lease.confirm(at));
        self.mirror.send_modify(|mirror| mirror.confirm(at));
    }

    async fn apply(&mut self, records: Vec<KeyedRecord>) {
        for record in records {
            match (store::decode_order_key(&record.key), record.value) {
                (Some(OrderKey::Desired), Some(value)) => self.apply_desired(&value).await,
                (Some(OrderKey::Evacuate(zone)), value) => {
                    let out = value.is_some();
                    info!(self.log, "zone evacuation changed"; "event" => "zone", "zone" => %zone,
                        "out" => out);
                    self.health.metrics.entry.count_belief_changes("zone", 1);
                    if out {
                        self.evacuated.insert(zone);
                    } else {
                        self.evacuated.remove(&zone);
                    }
                }
                (Some(OrderKey::Move(service)), value) => {
                    self.apply_move_order(service, value.as_deref(), record.offset);
                }
                _ => {}
            }
        }
    }

    fn apply_move_order(&mut self, service: ServiceName, value: Option<&[u8]>, number: Offset) {
        let Some(value) = value else {
            info!(self.log, "order for version move withdrawn"; "event" => "move_withdrawn",
                "service" => %service);
            self.health.metrics.entry.count_belief_changes("move", 1);
            self.moves.remove(&service);
            return;
        };
        let Some(order) = moves::decode_order(&service, value, number) else {
            warn!(self.log, "cannot decode order for version move; ignoring it";
                "event" => "move_bad", "service" => %service);
            return;
        };
        info!(self.log, "order for version move in force";
            "event" => "move_ordered", "service" => %service,
            "version" => %order.version, "within_s" => order.within.as_secs_f64(),
            "order" => %number);
        self.health.metrics.entry.count_belief_changes("move", 1);
        self.moves.insert(service, order);
    }

    async fn apply_desired(&mut self, value: &[u8]) {
        let state = match desired::decode(value) {
            Ok(state) => state,
            Err(error) => {
                warn!(self.log, "cannot decode desired state; keeping the current one";
                    "event" => "desired_bad", "error" => %error);
                return;
            }
        };
        let known = self.desired.borrow().as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= state.version) {
            return;
        }
        info!(self.log, "desired state in force"; "event" => "desired",
            "version" => state.version, "before" => known, "routes" => state.route_count());
        let faults = state.faults();
        if let Some(first) = faults.first() {
            warn!(self.log, "desired state in force has faults"; "event" => "desired_faults",
                "version" => state.version, "faults" => faults.len(), "first" => %first);
        }
        let version = i64::try_from(state.version).unwrap_or(i64::MAX);
        self.health.metrics.entry.desired_version.set(version);
        self.health.metrics.entry.count_belief_changes("desired", 1);
        let rates: HashMap<_, _> = state
            .services
            .iter()
            .map(|(name, service)| (name.clone(), service.cold_requests_per_second))
            .collect();
        self.desired.send_replace(Some(Arc::new(state)));
        self.selector.update(vec![Update::ColdRates(rates)]).await;
    }

    async fn publish(&self) {
        let evacuated = Update::EvacuatedZones(self.evacuated.clone());
        let moves = Update::Moves(self.moves.values().cloned().collect());
        self.selector.update(vec![evacuated, moves]).await;
    }
}

struct TargetTask {
    store: StoreClient,
    selector: SelectorHandle,
    loaded: watch::Sender<bool>,
    poll: Duration,
    health: StoreHealth,
    mirror: watch::Sender<Mirror>,
    peers: PeerReader,
}

impl TargetTask {
    async fn run(mut self) {
        loop {
            let error = match self.snapshot().await {
                Ok(from) => self.tail(from).await,
                Err(error) => error,
            };
            if !matches!(error, StoreError::Expired) {
                self.record_failure(&error).await;
            }
        }
    }

    async fn record_failure(&mut self, error: &StoreError) {
        self.health.record_failure(error, BootClock.now());
        self.selector.update(vec![Update::StoreFailed]).await;
        StoreHealth::sleep_with_jitter(RETRY_DELAY).await;
    }

    async fn snapshot(&mut self) -> Result<Offset, StoreError> {
        let requested_at = BootClock.now();
        let failures = self.health.failures;
        let (records, end) = self.store.newest(Topic::Targets, failures).await?;
        self.health.record_answer(BootClock.now());
        self.replace_all(records, end, Some(requested_at)).await;
        self.loaded.send_replace(true);
        Ok(end)
    }

    async fn tail(&mut self, mut from: Offset) -> StoreError {
        loop {
            time::sleep(self.poll).await;
            let requested_at = BootClock.now();
            match self.store.read(Topic::Targets, from, Duration::ZERO).await {
                Ok(tail) => {
                    self.health.record_answer(BootClock.now());
                    self.apply_changes(tail.records, tail.next, Some(requested_at))
                        .await;
                    from = tail.next;
                }
                Err(StoreError::Expired) => return StoreError::Expired,
                Err(error) => match self.peers.read(from).await {
                    Some(read) if self.is_recent(&read) => {
                        self.health.record_failure(&error, BootClock.now());
                        from = read.next;
                        if read.is_complete {
                            self.replace_all(read.records, from, read.confirmed).await;
                        } else {
                            self.apply_changes(read.records, from, read.confirmed).await;
                        }
                    }
                    // The selector must know of the outage: records may expire only because their
                    // targets cannot renew them.
                    _ => self.record_failure(&error).await,
                },
            }
        }
    }

    /// Whether the other router's copy was confirmed within the last two poll intervals.
    fn is_recent(&self, read: &PeerRead) -> bool {
        let age = read.confirmed.map(|at| BootClock.now().since(at));
        age.is_some_and(|age| age < self.poll * 2)
    }

    /// Replaces all records by a complete list.
    async fn replace_all(&self, records: Vec<KeyedRecord>, end: Offset, confirmed: Option<Time>) {
        self.mirror.send_modify(|mirror| {
            mirror.reset(&records, end);
            if let Some(confirmed) = confirmed {
                mirror.confirm(confirmed);
            }
        });
        let live = records.iter().filter(|record| record.value.is_some());
        let listed = live.filter_map(|record| TargetName::new(&record.key).ok());
        let listed = Update::RetainTargets(listed.collect());
        let mut updates = target_updates(records);
        updates.push(listed);
        self.selector.update(updates).await;
    }

    /// Applies records that follow the last known offset.
    async fn apply_changes(
        &self,
        records: Vec<KeyedRecord>,
        next: Offset,
        confirmed: Option<Time>,
    ) {
        self.mirror.send_modify(|mirror| {
            mirror.apply(&records, next);
            if let Some(confirmed) = confirmed {
                mirror.confirm(confirmed);
            }
        });
        let gone = records.iter().filter(|record| record.value.is_none());
        self.health
            .metrics
            .entry
            .count_belief_changes("target_gone", gone.count());
        self.selector.update(target_updates(records)).await;
    }
}

/// Converts records to updates. Records that cannot be decoded are ignored, whoever wrote them.
fn target_updates(records: Vec<KeyedRecord>) -> Vec<Update> {
    let change = |record: KeyedRecord| match record.value {
        None => TargetName::new(&record.key).ok().map(Update::RemoveTarget),
        Some(value) => target::decode(&record.key, &value).map(Update::PutTarget),
    };
    records.into_iter().filter_map(change).collect()
}
