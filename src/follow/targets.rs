//! Follows the stream of target records.

use std::{collections::HashSet, mem, sync::Arc, time::Duration};

use ebonyfall_core::{
    catch_up::{CatchUp, Confirmation},
    desired::DesiredState,
    eras::{Eras, ListUse},
    id::Position,
    name::TargetName,
    readers::{self, Source, SourceChoice},
    time::Time,
};
use ebonyfall_platform::{
    store::{KeyedRecord, Topic, Unreadable},
    target,
};
use slog::info;
use tokio::{sync::watch, time};

use super::{
    RETRY_DELAY, StoreHealth,
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

/// Time after which a router that starts serves with the targets that are listed so far. Beside many
/// records of other writers, a list may take longer than callers wait.
const LONG_LIST: Duration = Duration::from_secs(3);

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
    pub(super) filter: RecordFilter,
    /// Desired state, which tells the services in use.
    pub(super) desired: watch::Receiver<Option<Arc<DesiredState>>>,
    /// A list that is to be read on.
    pub(super) list: Option<StreamList>,
    /// Bytes that the last list had, those of unusable records included.
    pub(super) list_bytes: u64,
    pub(super) confirmation: Confirmation,
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
        let now = BootClock.now();
        let list = self.list.take();
        let mut list = list.unwrap_or_else(|| StreamList::new(Topic::Targets, now));
        while !list.is_complete() {
            if let Err(error) = self.read_page(&mut list).await {
                self.list = list.after_failure(&error, BootClock.now());
                return Err(error);
            }
        }
        let listed_at = list.started_at();
        self.list_bytes = list.bytes();
        let (listed, end) = list.finish();
        self.apply_list(listed, end, Some(listed_at)).await?;
        // Positions of before the list do not tell how far the router has read since.
        self.confirmation = Confirmation::default();
        self.health.record_answer(BootClock.now());
        self.loaded.send_replace(true);
        Ok(end)
    }

    /// Reads a page of a list. A router that starts uses its targets at once.
    async fn read_page(&mut self, list: &mut StreamList) -> Result<(), StoreError> {
        self.update_services();
        let failures = self.health.failures;
        let page = list.read_page(&self.store, failures, &mut self.filter, &self.mirror);
        let records = page.await?.to_vec();
        if *self.loaded.borrow() || list.is_complete() {
            return Ok(());
        }
        self.selector.update(target_updates(records)).await;
        let age = BootClock.now().since(list.started_at());
        if age >= LONG_LIST && list.has_records() {
            info!(self.health.log, "the list of targets is long; serving with those that are known";
                "event" => "targets_partial", "after_ms" => clock::millis(age),
                "bytes" => list.bytes());
            self.loaded.send_replace(true);
        }
        Ok(())
    }

    /// Tells the filter which services are in use.
    fn update_services(&mut self) {
        let desired = self.desired.borrow_and_update();
        if let Some(desired) = desired.as_ref().filter(|_| desired.has_changed()) {
            let services = desired.services.keys().cloned();
            self.filter.set_services(services.collect());
        }
    }

    /// Applies a complete list as far as it is not older than what is known.
    async fn apply_list(
        &mut self,
        list: ListedRecords,
        end: Position,
        confirmed: Option<Time>,
    ) -> Result<(), StoreError> {
        match self.eras.on_list(end.era, BootClock.now()) {
            ListUse::Replace => self.replace_all(list, end, confirmed).await,
            ListUse::Merge => self.merge(list, end, confirmed).await,
            ListUse::Ignore(known) => return Err(StoreError::restored(known, end.era)),
        }
        Ok(())
    }

    /// Takes the targets that are not known from a list that may be older. A target that had left or
    /// drained stays so until it writes again; one that is not listed counts as lapsed in an outage.
    async fn merge(&mut self, mut list: ListedRecords, end: Position, confirmed: Option<Time>) {
        let mut new = mem::take(&mut list.records);
        let listed = listed_targets(new.iter().chain(&list.unchanged));
        new.retain(|record| !self.mirror.borrow().knows(&record.key));
        self.filter.merge(&list, &new, BootClock.now());
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
            self.update_services();
            let is_due = self.eras.is_list_due(BootClock.now()) || self.filter.is_list_due();
            let is_list_due = is_due && !has_list_failed;
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

    /// Reads the changes that the store has when the first call is answered; moves `from` with each
    /// answer.
    async fn read(&mut self, from: &mut Position) -> Result<(), StoreError> {
        let mut goal = None;
        let mut part = ReadPart::First;
        loop {
            let requested_at = BootClock.now();
            let tail = self
                .store
                .read(Topic::Targets, *from, Duration::ZERO, part)
                .await?;
            self.health.record_answer(BootClock.now());
            let (span, mut progress) = (tail.span(*from), tail.progress());
            let goal = *goal.get_or_insert(tail.end);
            let confirmed = self.confirmation.record(span, requested_at, Duration::ZERO);
            let used = self
                .apply_changes(tail.records, tail.unreadable, tail.next, confirmed)
                .await;
            progress.unused_bytes = progress.bytes.saturating_sub(used);
            *from = tail.next;
            part = ReadPart::Later;
            if tail.next >= goal {
                return Ok(());
            }
            let known_bytes = self.mirror.borrow().size().max(self.list_bytes);
            match self.health.catch_up(progress, known_bytes) {
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
            let list = self.filter.filter_list(read.records, &self.mirror.borrow());
            // A list that is read on later would be older.
            self.list = None;
            let applied = self.apply_list(list, read.next, read.confirmed);
            // A read names the era of what is known, so that no earlier one is in its answer.
            let _never_earlier = applied.await.is_ok();
        } else {
            let readable = Unreadable::default();
            self.apply_changes(read.records, readable, read.next, read.confirmed)
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
    async fn replace_all(&mut self, list: ListedRecords, end: Position, confirmed: Option<Time>) {
        self.filter.replace_all(&list, BootClock.now());
        let ListedRecords {
            records, unchanged, ..
        } = list;
        let listed = listed_targets(records.iter().chain(&unchanged));
        let all = [records.clone(), unchanged].concat();
        self.mirror.send_modify(|mirror| {
            mirror.reset(&all, end);
            if let Some(confirmed) = confirmed {
                mirror.confirm(confirmed);
            }
        });
        let mut updates = target_updates(records);
        updates.push(Update::RetainTargets(listed));
        self.selector.update(updates).await;
    }

    /// Applies records that follow the last known offset. Returns the size of those that are used.
    async fn apply_changes(
        &mut self,
        records: Vec<KeyedRecord>,
        unreadable: Unreadable,
        next: Position,
        confirmed: Option<Time>,
    ) -> u64 {
        // A list that is read on later has the state of before these changes.
        self.list = None;
        let records = self.filter.filter(records, unreadable, BootClock.now());
        let used: usize = records.iter().map(KeyedRecord::size).sum();
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
        used as u64
    }
}

fn listed_targets<'a>(records: impl Iterator<Item = &'a KeyedRecord>) -> HashSet<TargetName> {
    records
        .filter_map(|record| TargetName::new(&record.key).ok())
        .collect()
}

/// Converts records to updates.
fn target_updates(records: Vec<KeyedRecord>) -> Vec<Update> {
    let change = |record: KeyedRecord| match record.value {
        None => TargetName::new(&record.key).ok().map(Update::RemoveTarget),
        Some(value) => target::decode(&record.key, &value).map(Update::PutTarget),
    };
    records.into_iter().filter_map(change).collect()
}
