//! Tasks that follow the store: operators' orders and the targets' entries.

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
    neighbours::{Access, Mirrors, Neighbours, Read},
    steering::{Steering, Update},
    store::{Store, StoreError},
};

/// Longest wait of one read of operators' orders. It bounds the age of what is confirmed, and a
/// silent connection is noticed soon after.
const ORDER_WAIT: Duration = Duration::from_millis(1_800);
/// Part of the time after which a leaving target must get no work, in percent, between two reads
/// of the targets' entries.
const TARGET_POLL_PERCENT: u32 = 55;
/// Mean pause after a failed call of the store.
const PAUSE: Duration = Duration::from_millis(250);
/// Mean pause after a failed call where another router has answered instead.
const NEIGHBOUR_PAUSE: Duration = Duration::from_millis(700);

/// What the process believes of the desired state.
#[derive(Debug, Clone)]
pub struct Beliefs {
    /// The newest desired state, `None` before the first one is known.
    pub desired: watch::Receiver<Option<Arc<DesiredState>>>,
    /// How fresh that knowledge is.
    pub lease: watch::Receiver<Lease>,
    /// When the store itself answered last.
    pub contact: watch::Receiver<Option<Time>>,
    /// Whether the targets' entries have been read.
    pub targets: watch::Receiver<bool>,
    /// What routers that the store does not serve may read.
    pub mirrors: Mirrors,
}

/// Starts the tasks. Keys that are taken away must be refused after `revocation`.
/// Leaving targets must get no work after `drain`.
pub fn start(
    store: Store,
    steering: Steering,
    access: watch::Receiver<Option<Access>>,
    (revocation, drain): (Duration, Duration),
    metrics: Metrics,
    log: Logger,
) -> Beliefs {
    let (desired_tx, desired) = watch::channel(None);
    let (lease_tx, lease) = watch::channel(Lease::new(revocation));
    let (contact_tx, contact) = watch::channel(None);
    let (targets_tx, targets) = watch::channel(false);
    let (order_mirror, order_records) = watch::channel(Mirror::default());
    let (target_mirror, target_records) = watch::channel(Mirror::default());
    let orders = Orders {
        store: store.clone(),
        steering: steering.clone(),
        desired: desired_tx,
        lease: lease_tx,
        contact: contact_tx,
        evacuated: HashSet::new(),
        moves: HashMap::new(),
        link: Link::new("orders", metrics.clone(), log.clone()),
        mirror: order_mirror,
        neighbours: Neighbours::new(
            Stream::Orders,
            access.clone(),
            metrics.entry.clone(),
            log.clone(),
        ),
        log: log.clone(),
    };
    tokio::spawn(orders.run());
    let targets_task = Targets {
        store,
        steering,
        known: targets_tx,
        poll: drain * TARGET_POLL_PERCENT / 100,
        link: Link::new("targets", metrics.clone(), log.clone()),
        mirror: target_mirror,
        neighbours: Neighbours::new(Stream::Targets, access, metrics.entry, log),
    };
    tokio::spawn(targets_task.run());
    Beliefs {
        desired,
        lease,
        contact,
        targets,
        mirrors: Mirrors {
            orders: order_records,
            targets: target_records,
        },
    }
}

/// Logs when the store is lost and regained.
struct Link {
    stream: &'static str,
    lost: Option<Time>,
    /// Failures since the last answer.
    failures: u32,
    metrics: Metrics,
    log: Logger,
}

impl Link {
    fn new(stream: &'static str, metrics: Metrics, log: Logger) -> Self {
        Self {
            stream,
            lost: None,
            failures: 0,
            metrics,
            log,
        }
    }

    fn failed(&mut self, error: &StoreError, now: Time) {
        self.metrics.entry.store_failures.inc();
        self.failures = self.failures.saturating_add(1);
        if self.lost.is_none() {
            self.lost = Some(now);
            warn!(self.log, "store lost"; "event" => "dependency_lost", "stream" => self.stream,
                "error" => %error);
        }
    }

    /// Waits before the next call; routers that failed together do not call together again.
    async fn pause(mean: Duration) {
        time::sleep(mean.mul_f64(rand::random_range(0.5..1.5))).await;
    }

    fn answered(&mut self, now: Time) {
        self.failures = 0;
        if let Some(lost) = self.lost.take() {
            let away = clock::millis(now.since(lost));
            info!(self.log, "store regained"; "event" => "dependency_regained",
                "stream" => self.stream, "away_ms" => away);
        }
    }
}

struct Orders {
    store: Store,
    steering: Steering,
    desired: watch::Sender<Option<Arc<DesiredState>>>,
    lease: watch::Sender<Lease>,
    contact: watch::Sender<Option<Time>>,
    evacuated: HashSet<ZoneName>,
    moves: HashMap<ServiceName, MoveOrder>,
    link: Link,
    mirror: watch::Sender<Mirror>,
    neighbours: Neighbours,
    log: Logger,
}

impl Orders {
    async fn run(mut self) {
        loop {
            let error = match self.snapshot().await {
                Ok(from) => self.tail(from).await,
                Err(error) => error,
            };
            if !matches!(error, StoreError::Expired) {
                self.link.failed(&error, BootClock.now());
                Link::pause(PAUSE).await;
            }
        }
    }

    async fn snapshot(&mut self) -> Result<Offset, StoreError> {
        let asked = BootClock.now();
        let (records, end) = self.store.newest(Topic::Orders, self.link.failures).await?;
        self.answered();
        self.replace(records, end).await;
        self.confirm(asked);
        Ok(end)
    }

    fn answered(&mut self) {
        let now = BootClock.now();
        self.link.answered(now);
        self.contact.send_replace(Some(now));
    }

    /// Takes a list of all records.
    async fn replace(&mut self, records: Vec<KeyedRecord>, end: Offset) {
        self.evacuated.clear();
        self.moves.clear();
        self.mirror
            .send_modify(|mirror| mirror.reset(&records, end));
        self.take(records).await;
        self.publish().await;
    }

    /// Reads on until that fails.
    async fn tail(&mut self, mut from: Offset) -> StoreError {
        let mut wait = ORDER_WAIT;
        loop {
            let asked = BootClock.now();
            match self.store.read(Topic::Orders, from, wait).await {
                Ok(tail) => {
                    self.answered();
                    let changed = !tail.records.is_empty();
                    self.follow(tail.records, tail.next).await;
                    // Without a record, the store has waited for the whole time, so that there was
                    // none at the end of it. A record may have come late in that time, which is
                    // only known to have begun at `asked`: the next read confirms at once.
                    wait = if changed {
                        Duration::ZERO
                    } else {
                        self.confirm(asked + wait);
                        ORDER_WAIT
                    };
                    from = tail.next;
                }
                Err(StoreError::Expired) => return StoreError::Expired,
                Err(error) => {
                    self.link.failed(&error, BootClock.now());
                    if let Some(read) = self.neighbours.read(from).await {
                        from = read.next;
                        if read.whole {
                            self.replace(read.records, from).await;
                        } else {
                            self.follow(read.records, from).await;
                        }
                        if let Some(confirmed) = read.confirmed {
                            self.confirm(confirmed);
                        }
                        Link::pause(NEIGHBOUR_PAUSE).await;
                    } else {
                        Link::pause(PAUSE).await;
                    }
                    // Confirms as soon as the store is back.
                    wait = Duration::ZERO;
                }
            }
        }
    }

    /// Takes records that follow those known.
    async fn follow(&mut self, records: Vec<KeyedRecord>, next: Offset) {
        if records.is_empty() {
            return;
        }
        self.mirror
            .send_modify(|mirror| mirror.take(&records, next));
        self.take(records).await;
        self.publish().await;
    }

    fn confirm(&self, asked: Time) {
        self.lease.send_modify(|lease| lease.confirm(asked));
        self.mirror.send_modify(|mirror| mirror.confirm(asked));
    }

    async fn take(&mut self, records: Vec<KeyedRecord>) {
        for record in records {
            match (store::decode_order_key(&record.key), record.value) {
                (Some(OrderKey::Desired), Some(value)) => self.take_desired(&value).await,
                (Some(OrderKey::Evacuate(zone)), value) => {
                    let out = value.is_some();
                    info!(self.log, "zone changed"; "event" => "zone", "zone" => %zone,
                        "out" => out);
                    self.link.metrics.entry.count_belief_changes("zone", 1);
                    if out {
                        self.evacuated.insert(zone);
                    } else {
                        self.evacuated.remove(&zone);
                    }
                }
                (Some(OrderKey::Move(service)), value) => {
                    self.take_move(service, value.as_deref(), record.offset);
                }
                _ => {}
            }
        }
    }

    fn take_move(&mut self, service: ServiceName, value: Option<&[u8]>, number: Offset) {
        let Some(value) = value else {
            info!(self.log, "version move withdrawn"; "event" => "move_withdrawn",
                "service" => %service);
            self.link.metrics.entry.count_belief_changes("move", 1);
            self.moves.remove(&service);
            return;
        };
        let Some(order) = moves::decode_order(&service, value, number) else {
            warn!(self.log, "order of a version move ignored"; "event" => "move_bad",
                "service" => %service);
            return;
        };
        info!(self.log, "version move ordered"; "event" => "move_ordered", "service" => %service,
            "version" => %order.version, "within_s" => order.within.as_secs_f64(),
            "order" => %number);
        self.link.metrics.entry.count_belief_changes("move", 1);
        self.moves.insert(service, order);
    }

    async fn take_desired(&mut self, value: &[u8]) {
        let state = match desired::decode(value) {
            Ok(state) => state,
            Err(error) => {
                warn!(self.log, "desired state ignored"; "event" => "desired_bad",
                    "error" => %error);
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
            warn!(self.log, "desired state has faults"; "event" => "desired_faults",
                "version" => state.version, "faults" => faults.len(), "first" => %first);
        }
        let version = i64::try_from(state.version).unwrap_or(i64::MAX);
        self.link.metrics.entry.desired_version.set(version);
        self.link.metrics.entry.count_belief_changes("desired", 1);
        let rates: HashMap<_, _> = state
            .services
            .iter()
            .map(|(name, service)| (name.clone(), service.cold_requests_per_second))
            .collect();
        self.desired.send_replace(Some(Arc::new(state)));
        self.steering.update(vec![Update::ColdRates(rates)]).await;
    }

    async fn publish(&self) {
        let evacuated = Update::Evacuated(self.evacuated.clone());
        let moves = Update::Moves(self.moves.values().cloned().collect());
        self.steering.update(vec![evacuated, moves]).await;
    }
}

struct Targets {
    store: Store,
    steering: Steering,
    known: watch::Sender<bool>,
    poll: Duration,
    link: Link,
    mirror: watch::Sender<Mirror>,
    neighbours: Neighbours,
}

impl Targets {
    async fn run(mut self) {
        loop {
            let error = match self.snapshot().await {
                Ok(from) => self.tail(from).await,
                Err(error) => error,
            };
            if !matches!(error, StoreError::Expired) {
                self.failed(&error).await;
            }
        }
    }

    async fn failed(&mut self, error: &StoreError) {
        self.link.failed(error, BootClock.now());
        self.steering.update(vec![Update::StoreLost]).await;
        Link::pause(PAUSE).await;
    }

    async fn snapshot(&mut self) -> Result<Offset, StoreError> {
        let asked = BootClock.now();
        let failures = self.link.failures;
        let (records, end) = self.store.newest(Topic::Targets, failures).await?;
        self.link.answered(BootClock.now());
        self.replace(records, end, Some(asked)).await;
        self.known.send_replace(true);
        Ok(end)
    }

    async fn tail(&mut self, mut from: Offset) -> StoreError {
        loop {
            time::sleep(self.poll).await;
            let asked = BootClock.now();
            match self.store.read(Topic::Targets, from, Duration::ZERO).await {
                Ok(tail) => {
                    self.link.answered(BootClock.now());
                    self.follow(tail.records, tail.next, Some(asked)).await;
                    from = tail.next;
                }
                Err(StoreError::Expired) => return StoreError::Expired,
                Err(error) => match self.neighbours.read(from).await {
                    Some(read) if self.is_fresh(&read) => {
                        self.link.failed(&error, BootClock.now());
                        from = read.next;
                        if read.whole {
                            self.replace(read.records, from, read.confirmed).await;
                        } else {
                            self.follow(read.records, from, read.confirmed).await;
                        }
                    }
                    // Entries may lapse at the store because nobody can renew them.
                    _ => self.failed(&error).await,
                },
            }
        }
    }

    /// Whether the other router has read the entries lately itself.
    fn is_fresh(&self, read: &Read) -> bool {
        let age = read.confirmed.map(|at| BootClock.now().since(at));
        age.is_some_and(|age| age < self.poll * 2)
    }

    /// Takes a list of all records.
    async fn replace(&self, records: Vec<KeyedRecord>, end: Offset, confirmed: Option<Time>) {
        self.mirror.send_modify(|mirror| {
            mirror.reset(&records, end);
            if let Some(confirmed) = confirmed {
                mirror.confirm(confirmed);
            }
        });
        let live = records.iter().filter(|record| record.value.is_some());
        let listed = live.filter_map(|record| TargetName::new(&record.key).ok());
        let listed = Update::Listed(listed.collect());
        let mut updates = changes(records);
        updates.push(listed);
        self.steering.update(updates).await;
    }

    /// Takes records that follow those known.
    async fn follow(&self, records: Vec<KeyedRecord>, next: Offset, confirmed: Option<Time>) {
        self.mirror.send_modify(|mirror| {
            mirror.take(&records, next);
            if let Some(confirmed) = confirmed {
                mirror.confirm(confirmed);
            }
        });
        let gone = records.iter().filter(|record| record.value.is_none());
        self.link
            .metrics
            .entry
            .count_belief_changes("target_gone", gone.count());
        self.steering.update(changes(records)).await;
    }
}

/// What the records say; those that cannot be read name no target and change nothing.
fn changes(records: Vec<KeyedRecord>) -> Vec<Update> {
    let change = |record: KeyedRecord| match record.value {
        None => TargetName::new(&record.key).ok().map(Update::Remove),
        Some(value) => target::decode(&record.key, &value).map(Update::Put),
    };
    records.into_iter().filter_map(change).collect()
}
