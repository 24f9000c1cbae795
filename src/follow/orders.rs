//! Follows the stream of operators' orders.

use std::{
    collections::{HashMap, HashSet},
    mem,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use derive_more::Display;
use ebonyfall_core::{
    catch_up::{CatchUp, Confirmation},
    changeover::MoveOrder,
    desired::DesiredState,
    eras::{Eras, ListUse},
    id::{Era, Offset, Position},
    lease::Lease,
    name::{ServiceName, ZoneName},
    readers::{self, FollowTimes, Source, SourceChoice},
    time::Time,
};
use ebonyfall_platform::{
    desired, moves,
    store::{self, KeyedRecord, OrderKey, Topic, Unreadable},
};
use slog::{Logger, info, warn};
use tokio::sync::watch;

use super::{
    RETRY_DELAY, StoreHealth,
    fetch::{FetchState, Step},
    filter::{ListedRecords, RecordFilter},
    list::StreamList,
};
use crate::{
    clock::{self, BootClock},
    mirror::Mirror,
    neighbours::{PeerRead, PeerReader},
    selection::{SelectorHandle, Update},
    store::{ReadPart, StoreClient, StoreError},
};

/// Shortest wait of a read from a reader. A read without a wait may get a state of any length.
const MIN_FOLLOW_WAIT: Duration = Duration::from_millis(1);
/// Mean delay before the next call after the store has failed and another router has supplied the
/// records.
const PEER_READ_DELAY: Duration = Duration::from_millis(700);

/// How records reached this router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
enum Origin {
    /// From the store's list of newest records.
    #[display("list")]
    List,
    /// From the store's stream.
    #[display("stream")]
    Stream,
    /// From another router.
    #[display("router")]
    Router,
}

/// Next read of the orders.
#[derive(Debug, Clone, Copy)]
struct NextRead {
    from: Position,
    /// Time for which the store may wait for a record.
    wait: Duration,
    /// Whether the newest records are listed instead.
    is_list: bool,
    /// Whether a list has just failed. The stream is read before the next one, since the store may serve
    /// it all the same.
    has_list_failed: bool,
}

impl NextRead {
    /// A read of the stream that does not wait.
    fn at_once(from: Position) -> Self {
        Self {
            from,
            wait: Duration::ZERO,
            is_list: false,
            has_list_failed: false,
        }
    }
}

/// Task that follows operators' orders.
pub(super) struct OrderTask {
    pub(super) store: StoreClient,
    pub(super) selector: SelectorHandle,
    pub(super) desired: watch::Sender<Option<Arc<DesiredState>>>,
    pub(super) times: FollowTimes,
    pub(super) source: SourceChoice,
    pub(super) lease: watch::Sender<Lease>,
    pub(super) last_answer: watch::Sender<Option<Time>>,
    pub(super) eras: Eras,
    pub(super) confirmation: Confirmation,
    /// Whether the copy from which the store has come back may lack a revocation that this router
    /// does not know.
    pub(super) may_lack_revocation: bool,
    pub(super) evacuated: HashSet<ZoneName>,
    pub(super) moves: HashMap<ServiceName, MoveOrder>,
    pub(super) health: StoreHealth,
    pub(super) mirror: watch::Sender<Mirror>,
    pub(super) filter: RecordFilter,
    /// A list that is to be read on.
    pub(super) list: Option<StreamList>,
    /// Bytes that the last list had, those of unusable records included.
    pub(super) list_bytes: u64,
    pub(super) peers: PeerReader,
    pub(super) fetch: FetchState,
    pub(super) log: Logger,
}

impl OrderTask {
    pub(super) async fn run(mut self) {
        let mut known = None;
        loop {
            let start = match known.take() {
                Some(from) => Ok(from),
                None => self.snapshot().await,
            };
            let error = match start {
                Ok(from) => self.tail(from).await,
                Err(error) => error,
            };
            if !self.health.list_again(&error) {
                known = self.read_instead_of_list(&error).await;
            }
        }
    }

    /// Reads from another router after a list has failed; returns the position from which the stream can
    /// be read on if there were newer records.
    async fn read_instead_of_list(&mut self, error: &StoreError) -> Option<Position> {
        let from = self.mirror.borrow().next().unwrap_or_default();
        let next = self.on_failure(error, from).await;
        (next > from).then_some(next)
    }

    fn record_failure(&mut self, error: &StoreError) {
        self.fetch.record_failure(error);
        self.health.record_failure(error, BootClock.now());
    }

    async fn pause(&self, mean: Duration) {
        self.fetch.begin(Step::Pause, BootClock.now());
        StoreHealth::sleep_with_jitter(mean).await;
    }

    async fn snapshot(&mut self) -> Result<Position, StoreError> {
        let now = BootClock.now();
        self.fetch.begin(Step::List, now);
        let list = self.list.take();
        let mut list = list.unwrap_or_else(|| StreamList::new(Topic::Orders, now));
        while !list.is_complete() {
            let failures = self.health.failures;
            let page = list.read_page(&self.store, failures, &mut self.filter, &self.mirror);
            let read = page.await.map(drop);
            if let Err(error) = read {
                self.list = list.after_failure(&error, BootClock.now());
                return Err(error);
            }
        }
        let listed_at = list.started_at();
        self.list_bytes = list.bytes();
        let (listed, end) = list.finish();
        self.apply_list(listed, end, Origin::List).await?;
        self.record_answer(0);
        // Positions of before the list do not tell how far the router has read since.
        self.confirmation = Confirmation::default();
        self.confirm(listed_at);
        Ok(end)
    }

    /// Applies a complete list as far as it is not older than what is known.
    async fn apply_list(
        &mut self,
        list: ListedRecords,
        end: Position,
        origin: Origin,
    ) -> Result<(), StoreError> {
        match self.eras.on_list(end.era, BootClock.now()) {
            ListUse::Replace => self.replace_all(list, end, origin).await,
            ListUse::Merge => self.merge(list, end, origin).await,
            ListUse::Ignore(known) => return Err(StoreError::restored(known, end.era)),
        }
        Ok(())
    }

    /// Takes from a list that may be older than what is known what is new.
    async fn merge(&mut self, mut list: ListedRecords, end: Position, origin: Origin) {
        let mut new = mem::take(&mut list.records);
        let listed = new.len();
        new.retain(|record| self.is_new(record));
        self.filter.merge(&list, &new, BootClock.now());
        info!(self.log, "the store has come back from an older copy; keeping what is known";
            "event" => "store_restored", "stream" => "orders", "era" => %end.era,
            "listed" => listed, "new" => new.len());
        // A router without a valid lease may have missed what the copy lacks, too. Another router's
        // records are confirmed only if they do not lack it.
        let has_lease = self.lease.borrow().is_valid(BootClock.now());
        self.may_lack_revocation = origin != Origin::Router && !has_lease;
        self.mirror.send_modify(|mirror| mirror.merge(&new, end));
        self.apply(new, end.era, origin).await;
        self.publish().await;
    }

    /// Whether a record of a list that may be older than what is known is newer than that. A desired
    /// state tells by its version.
    fn is_new(&self, record: &KeyedRecord) -> bool {
        if !self.mirror.borrow().knows(&record.key) {
            return true;
        }
        if store::decode_order_key(&record.key) != Some(OrderKey::Desired) {
            return false;
        }
        let listed = record.value.as_ref().map(|value| desired::decode(value));
        let known = self.desired.borrow().as_ref().map(|known| known.version);
        matches!(listed, Some(Ok(listed)) if Some(listed.version) > known)
    }

    /// Records an answer of the store, which left `left` records to be read.
    fn record_answer(&mut self, left: u64) {
        let now = BootClock.now();
        self.fetch.record_answer(left);
        self.health.record_answer(now);
        self.last_answer.send_replace(Some(now));
    }

    /// Replaces all records by a complete list.
    async fn replace_all(&mut self, list: ListedRecords, end: Position, origin: Origin) {
        self.filter.replace_all(&list, BootClock.now());
        let records = [list.records, list.unchanged].concat();
        self.may_lack_revocation = false;
        self.evacuated.clear();
        self.moves.clear();
        self.mirror
            .send_modify(|mirror| mirror.reset(&records, end));
        self.apply(records, end.era, origin).await;
        self.publish().await;
    }

    /// Reads changes until the stream has to be listed again; returns why.
    async fn tail(&mut self, from: Position) -> StoreError {
        let mut next = NextRead {
            wait: self.times.store_wait,
            ..NextRead::at_once(from)
        };
        loop {
            let is_list_due = self.eras.is_list_due(BootClock.now()) && !next.has_list_failed;
            if next.is_list || is_list_due {
                next = match self.snapshot().await {
                    Ok(end) => NextRead::at_once(end),
                    Err(error) => NextRead {
                        has_list_failed: true,
                        ..NextRead::at_once(self.on_failure(&error, next.from).await)
                    },
                };
                continue;
            }
            let (source, longest_wait) = self.next_source();
            if let Source::Reader(reader) = source {
                let from = self.read_reader(reader, next.from).await;
                next = NextRead::at_once(from);
                continue;
            }
            next = match self.read_store(next, longest_wait).await {
                Ok(next) => next,
                Err(error) if error.needs_list() => return error,
                // Without a wait, the state is confirmed as soon as the store answers.
                Err(error) => NextRead::at_once(self.on_failure(&error, next.from).await),
            };
        }
    }

    /// Reads from the zone's reader; returns the position of the next read.
    async fn read_reader(&mut self, reader: SocketAddr, from: Position) -> Position {
        let follow_wait = self.follow_wait();
        self.fetch.begin(Step::Reader, BootClock.now());
        match self.peers.read_from(reader, from, follow_wait).await {
            Some(read) if self.source.is_recent(read.confirmed, BootClock.now()) => {
                self.health.record_answer(BootClock.now());
                self.last_answer.send_replace(read.confirmed);
                self.apply_read(read).await
            }
            read => {
                self.leave_reader(reader, read.and_then(|read| read.confirmed));
                from
            }
        }
    }

    /// Reads from the store. A read after this one waits up to `longest_wait` for a record.
    async fn read_store(
        &mut self,
        read: NextRead,
        longest_wait: Duration,
    ) -> Result<NextRead, StoreError> {
        let NextRead { from, wait, .. } = read;
        let requested_at = BootClock.now();
        self.fetch.begin(Step::Stream, requested_at);
        let read = self.store.read(Topic::Orders, from, wait, ReadPart::First);
        let tail = read.await?;
        let (span, mut progress) = (tail.span(from), tail.progress());
        self.record_answer(progress.left);
        let used = self
            .apply_changes(tail.records, tail.unreadable, tail.next, Origin::Stream)
            .await;
        progress.unused_bytes = progress.bytes.saturating_sub(used);
        if let Some(confirmed) = self.confirmation.record(span, requested_at, wait) {
            self.confirm(confirmed);
        }
        let known_bytes = self.mirror.borrow().size().max(self.list_bytes);
        let catch_up = self.health.catch_up(progress, known_bytes);
        // An answer with records may have been sent at any time after `requested_at`, so the next read
        // does not wait and confirms the state at once.
        let wait = if span.is_empty() {
            longest_wait
        } else {
            Duration::ZERO
        };
        Ok(NextRead {
            from: tail.next,
            wait,
            is_list: catch_up == CatchUp::List,
            has_list_failed: false,
        })
    }

    /// Reads from another router after a call of the store has failed, and pauses; returns the position
    /// of the next read.
    async fn on_failure(&mut self, error: &StoreError, from: Position) -> Position {
        self.record_failure(error);
        self.fetch.begin(Step::Router, BootClock.now());
        let Some(read) = self.peers.read(from, self.times.max_age).await else {
            self.pause(RETRY_DELAY).await;
            return from;
        };
        let is_recent = self.source.is_recent(read.confirmed, BootClock.now());
        let next = self.apply_read(read).await;
        // While no other router has recent records, only the store can help.
        let pause = if is_recent {
            PEER_READ_DELAY
        } else {
            RETRY_DELAY
        };
        self.pause(pause).await;
        next
    }

    /// Reads the store instead of `reader` for some seconds. `confirmed` is when the state in the
    /// reader's answer was current; `None` without an answer.
    fn leave_reader(&mut self, reader: SocketAddr, confirmed: Option<Time>) {
        let now = BootClock.now();
        info!(self.log, "another router has no recent orders; reading them from the store";
            "event" => "reader_left", "peer" => %reader,
            "peer_age_ms" => confirmed.map(|at| clock::millis(now.since(at))),
            "confirmed_ms" => self.confirmed_age_ms());
        self.source.record_failure(rand::random(), now);
    }

    /// Source of the next read, and how long a read of the store may wait for a record.
    fn next_source(&self) -> (Source, Duration) {
        let Some((own, routers)) = self.peers.zone_routers() else {
            return (Source::Store, self.times.store_wait);
        };
        let confirmed = self.lease.borrow().confirmed_at();
        let source = self
            .source
            .source(&own, &routers, confirmed, BootClock.now());
        let longest_wait = if readers::has_followers(&own, &routers) {
            self.times.reader_wait
        } else {
            self.times.store_wait
        };
        (source, longest_wait)
    }

    /// How long a read from a reader may wait for a record.
    fn follow_wait(&self) -> Duration {
        let confirmed = self.lease.borrow().confirmed_at();
        let longest = self.times.follow_wait;
        let wait = self.source.follow_wait(longest, confirmed, BootClock.now());
        wait.max(MIN_FOLLOW_WAIT)
    }

    /// Applies records from another router; returns the next position.
    async fn apply_read(&mut self, read: PeerRead) -> Position {
        if read.is_complete {
            let list = self.filter.filter_list(read.records, &self.mirror.borrow());
            // A list that is read on later would be older.
            self.list = None;
            let applied = self.apply_list(list, read.next, Origin::Router);
            // A read names the era of what is known, so that no earlier one is in its answer.
            let _never_earlier = applied.await.is_ok();
        } else {
            let readable = Unreadable::default();
            self.apply_changes(read.records, readable, read.next, Origin::Router)
                .await;
        }
        if let Some(confirmed) = read.confirmed {
            self.confirm(confirmed);
        }
        read.next
    }

    /// Applies records that follow the last known offset. Returns the size of those that are used.
    async fn apply_changes(
        &mut self,
        records: Vec<KeyedRecord>,
        unreadable: Unreadable,
        next: Position,
        origin: Origin,
    ) -> u64 {
        if records.is_empty() && unreadable.records == 0 {
            return 0;
        }
        // A list that is read on later has the state of before these changes.
        self.list = None;
        let records = self.filter.filter(records, unreadable, BootClock.now());
        let used: usize = records.iter().map(KeyedRecord::size).sum();
        self.mirror
            .send_modify(|mirror| mirror.apply(&records, next));
        self.apply(records, next.era, origin).await;
        self.publish().await;
        used as u64
    }

    fn confirm(&self, at: Time) {
        if self.may_lack_revocation {
            return;
        }
        self.lease.send_modify(|lease| lease.confirm(at));
        self.mirror.send_modify(|mirror| mirror.confirm(at));
    }

    /// Applies records whose offsets are of `era`.
    async fn apply(&mut self, records: Vec<KeyedRecord>, era: Era, origin: Origin) {
        for record in records {
            match (store::decode_order_key(&record.key), record.value) {
                (Some(OrderKey::Desired), Some(value)) => {
                    self.apply_desired(record.offset, &value, origin).await;
                }
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
                    let offset = record.offset;
                    let position = Position { era, offset };
                    self.apply_move_order(service, value.as_deref(), position);
                }
                _ => {}
            }
        }
    }

    /// Time since the state was last confirmed to be current, in milliseconds.
    fn confirmed_age_ms(&self) -> Option<u64> {
        let confirmed = self.lease.borrow().confirmed_at()?;
        Some(clock::millis(BootClock.now().since(confirmed)))
    }

    fn apply_move_order(&mut self, service: ServiceName, value: Option<&[u8]>, position: Position) {
        let Some(value) = value else {
            info!(self.log, "order for version move withdrawn"; "event" => "move_withdrawn",
                "service" => %service);
            self.health.metrics.entry.count_belief_changes("move", 1);
            self.moves.remove(&service);
            return;
        };
        // Those that cannot be decoded have been left out.
        let Some(order) = moves::decode_order(&service, value, position) else {
            return;
        };
        info!(self.log, "order for version move in force";
            "event" => "move_ordered", "service" => %service,
            "version" => %order.version, "within_s" => order.within.as_secs_f64(),
            "order" => %position);
        self.health.metrics.entry.count_belief_changes("move", 1);
        self.moves.insert(service, order);
    }

    async fn apply_desired(&mut self, offset: Offset, value: &[u8], origin: Origin) {
        let decoded = self.filter.take_desired(offset);
        // Those that cannot be decoded have been left out.
        let Some(state) = decoded.or_else(|| desired::decode(value).ok()) else {
            return;
        };
        let known = self.desired.borrow().as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= state.version) {
            return;
        }
        info!(self.log, "desired state in force"; "event" => "desired",
            "version" => state.version, "before" => known, "routes" => state.route_count(),
            "origin" => %origin, "bytes" => value.len(), "confirmed_ms" => self.confirmed_age_ms());
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
