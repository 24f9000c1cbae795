//! Follows the stream of target records.

use std::{collections::HashSet, time::Duration};

use ebonyfall_core::{
    catch_up::CatchUp,
    eras::{Eras, ListUse},
    id::Position,
    name::TargetName,
    readers::{self, Source, SourceChoice},
    time::Time,
};
use ebonyfall_platform::{
    store::{KeyedRecord, Topic},
    target,
};
use slog::info;
use tokio::{sync::watch, time};

use super::{RETRY_DELAY, StoreHealth};
use crate::{
    clock::BootClock,
    mirror::Mirror,
    neighbours::{PeerRead, PeerReader},
    selection::{SelectorHandle, Update},
    store::{Listing, StoreClient, StoreError},
};

/// Task that follows the targets' records.
pub(super) struct TargetTask {
    pub(super) store: StoreClient,
    pub(super) selector: SelectorHandle,
    pub(super) eras: Eras,
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
        let next = self.on_failure(error, from).await?;
        if next == from {
            StoreHealth::sleep_with_jitter(RETRY_DELAY).await;
        }
        (next > from).then_some(next)
    }

    /// Reads from another router after a call of the store has failed. Returns the position of the next
    /// read, or `None`, after a pause, if no other router has records that may be used.
    async fn on_failure(&mut self, error: &StoreError, from: Position) -> Option<Position> {
        match self.peers.read(from, self.max_age).await {
            Some(read) if self.is_usable(&read) => {
                self.health.record_failure(error, BootClock.now());
                Some(self.apply_read(read).await)
            }
            // The selector must know of the outage: records may expire only because their targets
            // cannot renew them.
            _ => {
                self.record_failure(error).await;
                None
            }
        }
    }

    async fn record_failure(&mut self, error: &StoreError) {
        self.health.record_failure(error, BootClock.now());
        self.selector.update(vec![Update::StoreFailed]).await;
        StoreHealth::sleep_with_jitter(RETRY_DELAY).await;
    }

    async fn snapshot(&mut self) -> Result<Position, StoreError> {
        let requested_at = BootClock.now();
        let failures = self.health.failures;
        let Listing { records, end } = self.store.newest(Topic::Targets, failures).await?;
        self.apply_list(records, end, Some(requested_at)).await?;
        self.health.record_answer(BootClock.now());
        self.loaded.send_replace(true);
        Ok(end)
    }

    /// Applies a complete list as far as it is not older than what is known.
    async fn apply_list(
        &mut self,
        records: Vec<KeyedRecord>,
        end: Position,
        confirmed: Option<Time>,
    ) -> Result<(), StoreError> {
        match self.eras.on_list(end.era, BootClock.now()) {
            ListUse::Replace => self.replace_all(records, end, confirmed).await,
            ListUse::Merge => self.merge(records, end, confirmed).await,
            ListUse::Ignore(known) => return Err(StoreError::restored(known, end.era)),
        }
        Ok(())
    }

    /// Takes the targets that are not known from a list that may be older. A target that had left or
    /// drained stays so until it writes again; one that is not listed counts as lapsed in an outage.
    async fn merge(&self, records: Vec<KeyedRecord>, end: Position, confirmed: Option<Time>) {
        let listed = listed_targets(&records);
        let mut new = records;
        new.retain(|record| !self.mirror.borrow().knows(&record.key));
        info!(self.health.log, "the store has come back from an older copy; keeping what is known";
            "event" => "store_restored", "stream" => "targets", "era" => %end.era,
            "listed" => listed.len(), "new" => new.len());
        self.mirror.send_modify(|mirror| {
            mirror.merge(&new, end);
            if let Some(confirmed) = confirmed {
                mirror.confirm(confirmed);
            }
        });
        let mut updates = vec![Update::StoreFailed];
        updates.extend(target_updates(new));
        updates.push(Update::RetainTargets(listed));
        self.selector.update(updates).await;
    }

    /// Reads changes until the stream has to be listed again; returns why.
    async fn tail(&mut self, mut from: Position) -> StoreError {
        // After a list that failed, the stream is read first: the store may serve it all the same.
        let mut has_list_failed = false;
        loop {
            let (source, has_followers) = self.next_source();
            // A reader and its followers share the time.
            let is_shared = has_followers || source != Source::Store;
            let parts = if is_shared { 2 } else { 1 };
            time::sleep(self.max_age / parts).await;
            let is_list_due = self.eras.is_list_due(BootClock.now()) && !has_list_failed;
            if let Source::Reader(reader) = source
                && !is_list_due
            {
                let read = self.peers.read_from(reader, from, Duration::ZERO).await;
                if let Some(read) = read.filter(|read| self.is_recent(read)) {
                    from = self.apply_read(read).await;
                    continue;
                }
                self.source.record_failure(rand::random(), BootClock.now());
            }
            let read = if is_list_due {
                self.snapshot().await.map(|next| from = next)
            } else {
                self.read(&mut from).await
            };
            has_list_failed = is_list_due && read.is_err();
            match read {
                Ok(()) => {}
                Err(error) if error.needs_list() => return error,
                Err(error) => from = self.on_failure(&error, from).await.unwrap_or(from),
            }
        }
    }

    /// Reads changes from the store until none is left; moves `from` with each answer.
    async fn read(&mut self, from: &mut Position) -> Result<(), StoreError> {
        loop {
            let requested_at = BootClock.now();
            let tail = self
                .store
                .read(Topic::Targets, *from, Duration::ZERO)
                .await?;
            self.health.record_answer(BootClock.now());
            let progress = tail.progress();
            // An answer that leaves records does not have the state of that moment.
            let confirmed = (progress.left == 0).then_some(requested_at);
            self.apply_changes(tail.records, tail.next, confirmed).await;
            *from = tail.next;
            match self.health.catch_up(progress, &self.mirror.borrow()) {
                CatchUp::UpToDate => return Ok(()),
                CatchUp::ReadOn => {}
                CatchUp::List => break,
            }
        }
        *from = self.snapshot().await?;
        Ok(())
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

    /// Applies records from another router; returns the next position.
    async fn apply_read(&mut self, read: PeerRead) -> Position {
        if read.is_complete {
            let applied = self.apply_list(read.records, read.next, read.confirmed);
            // A read names the era of what is known, so that no earlier one is in its answer.
            let _never_earlier = applied.await.is_ok();
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
    async fn replace_all(&self, records: Vec<KeyedRecord>, end: Position, confirmed: Option<Time>) {
        self.mirror.send_modify(|mirror| {
            mirror.reset(&records, end);
            if let Some(confirmed) = confirmed {
                mirror.confirm(confirmed);
            }
        });
        let listed = listed_targets(&records);
        let mut updates = target_updates(records);
        updates.push(Update::RetainTargets(listed));
        self.selector.update(updates).await;
    }

    /// Applies records that follow the last known offset.
    async fn apply_changes(
        &self,
        records: Vec<KeyedRecord>,
        next: Position,
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

fn listed_targets(records: &[KeyedRecord]) -> HashSet<TargetName> {
    let live = records.iter().filter(|record| record.value.is_some());
    live.filter_map(|record| TargetName::new(&record.key).ok())
        .collect()
}

/// Converts records to updates. Records that cannot be decoded are ignored, whoever wrote them.
fn target_updates(records: Vec<KeyedRecord>) -> Vec<Update> {
    let change = |record: KeyedRecord| match record.value {
        None => TargetName::new(&record.key).ok().map(Update::RemoveTarget),
        Some(value) => target::decode(&record.key, &value).map(Update::PutTarget),
    };
    records.into_iter().filter_map(change).collect()
}
