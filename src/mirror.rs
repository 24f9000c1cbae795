//! Copy of a stream of the store: the newest record of each key, for routers that read from this one
//! instead of the store.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use ebonyfall_core::{id::Offset, time::Time};
use ebonyfall_platform::store::KeyedRecord;
use ebonyfall_wire::mirror::{Changes, KeyRecord};

/// Maximum number of tombstones (records of deleted keys).
const MAX_TOMBSTONES: usize = 4_096;

/// Newest record of each key, including tombstones.
#[derive(Debug, Default)]
pub struct Mirror {
    records: HashMap<String, KeyedRecord>,
    /// Offset from which on no tombstone is missing; `None` before the first complete list.
    complete_since: Option<Offset>,
    next: Option<Offset>,
    confirmed: Option<Time>,
}

impl Mirror {
    /// Replaces the content by a complete list. Keys that are missing from the list become
    /// tombstones.
    pub fn reset(&mut self, listed: &[KeyedRecord], next: Offset) {
        let listed_keys: HashSet<_> = listed.iter().map(|record| &record.key).collect();
        for record in self.records.values_mut() {
            if !listed_keys.contains(&record.key) {
                record.value = None;
                record.offset = next;
            }
        }
        self.complete_since.get_or_insert(next);
        self.apply(listed, next);
    }

    /// Applies records that follow the last known offset.
    pub fn apply(&mut self, records: &[KeyedRecord], next: Offset) {
        for record in records {
            self.records.insert(record.key.clone(), record.clone());
        }
        self.next = self.next.max(Some(next));
        let tombstones = self.records.values();
        if tombstones.filter(|record| record.value.is_none()).count() > MAX_TOMBSTONES {
            self.records.retain(|_, record| record.value.is_some());
            self.complete_since = self.next;
        }
    }

    /// Records that the mirror was up to date at `at`. A time before the last confirmation has no
    /// effect.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// When the mirror was last known to be up to date; `None` if it never was.
    pub fn confirmed(&self) -> Option<Time> {
        self.confirmed
    }

    /// Whether the mirror has a record at or after offset `from`.
    pub fn has_changes(&self, from: Offset) -> bool {
        self.next.is_some_and(|next| next > from)
    }

    /// Returns the records from offset `from` on, or all current records if tombstones since then
    /// may be missing. `None` before the first complete list, or if the records have more than
    /// `max_bytes`. The age in the answer is that at `requested_at`.
    pub fn since(&self, from: Offset, requested_at: Time, max_bytes: usize) -> Option<Changes> {
        let is_complete = from < self.complete_since?;
        let changed = self.records.values().filter(|record| {
            let live = record.value.is_some();
            if is_complete {
                live
            } else {
                record.offset >= from
            }
        });
        let mut changed: Vec<_> = changed.collect();
        changed.sort_by_key(|record| record.offset);
        let size =
            |record: &&KeyedRecord| record.key.len() + record.value.as_ref().map_or(0, Bytes::len);
        if changed.iter().map(size).sum::<usize>() > max_bytes {
            return None;
        }
        let records = changed.into_iter().map(|record| KeyRecord {
            key: record.key.clone(),
            value: record.value.clone(),
            offset: record.offset,
        });
        Some(Changes {
            is_complete,
            records: records.collect(),
            next: self.next?,
            age: self
                .confirmed
                .map(|confirmed| requested_at.since(confirmed)),
        })
    }
}
