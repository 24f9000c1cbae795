//! Follows the stream of target records.

use std::time::Duration;

use ebonyfall_core::{
    id::Offset,
    name::TargetName,
    readers::{self, Source, SourceChoice},
    time::Time,
};
use ebonyfall_platform::{
    store::{KeyedRecord, Topic},
    target,
};
use tokio::{sync::watch, time};

use super::{RETRY_DELAY, StoreHealth};
use crate::{
    clock::BootClock,
    mirror::Mirror,
    neighbours::{PeerRead, PeerReader},
    selection::{SelectorHandle, Update},
    store::{StoreClient, StoreError},
};

/// Task that follows the targets' records.
pub(super) struct TargetTask {
    pub(super) store: StoreClient,
    pub(super) selector: SelectorHandle,
    pub(super) loaded: watch::Sender<bool>,
    /// Longest time from a change in the store to its use here.
    pub(super) max_age: Duration,
    pub(super) source: SourceChoice,
    pub(super) health: StoreHealth,
    pub(super) mirror: watch::Sender<Mirror>,
    pub(super) peers: PeerReader,
}

impl TargetTask {
    pub(super) async fn run(mut self) {
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

    /// Reads changes until the records at the next offset have expired; returns that error.
    async fn tail(&mut self, mut from: Offset) -> StoreError {
        loop {
            let (source, has_followers) = self.next_source();
            // A reader and its followers share the time.
            let is_shared = has_followers || source != Source::Store;
            let parts = if is_shared { 2 } else { 1 };
            time::sleep(self.max_age / parts).await;
            if let Source::Reader(reader) = source {
                let read = self.peers.read_from(reader, from, Duration::ZERO).await;
                if let Some(read) = read.filter(|read| self.is_recent(read)) {
                    from = self.apply_read(read).await;
                    continue;
                }
                self.source.record_failure(rand::random(), BootClock.now());
            }
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
                    Some(read) if self.is_usable(&read) => {
                        self.health.record_failure(&error, BootClock.now());
                        from = self.apply_read(read).await;
                    }
                    // The selector must know of the outage: records may expire only because their
                    // targets cannot renew them.
                    _ => self.record_failure(&error).await,
                },
            }
        }
    }

    /// Source of the next read, and whether other routers follow this one.
    fn next_source(&self) -> (Source, bool) {
        let Some((own, routers)) = self.peers.zone_routers() else {
            return (Source::Store, false);
        };
        let confirmed = self.mirror.borrow().confirmed();
        let source = self
            .source
            .source(&own, &routers, confirmed, BootClock.now());
        (source, readers::has_followers(&own, &routers))
    }

    /// Applies records from another router; returns the next offset.
    async fn apply_read(&self, read: PeerRead) -> Offset {
        if read.is_complete {
            self.replace_all(read.records, read.next, read.confirmed)
                .await;
        } else {
            self.apply_changes(read.records, read.next, read.confirmed)
                .await;
        }
        read.next
    }

    /// Whether another router's records may be used while the store does not answer.
    fn is_usable(&self, read: &PeerRead) -> bool {
        let age = read.confirmed.map(|at| BootClock.now().since(at));
        age.is_some_and(|age| age < self.max_age * 2)
    }

    /// Whether a reader's records are recent enough to rely on the next read from it, too.
    fn is_recent(&self, read: &PeerRead) -> bool {
        self.source.is_recent(read.confirmed, BootClock.now())
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
