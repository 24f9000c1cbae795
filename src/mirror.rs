//! Copy of a stream of the store: the newest record of each key, for routers that read from this one
//! instead of the store.

use std::collections::{HashMap, HashSet};

use ebonyfall_core::{
    id::{Era, Offset, Position},
    time::Time,
};
use ebonyfall_platform::store::KeyedRecord;
use ebonyfall_wire::mirror::{Changes, KeyRecord, StreamChanges};

/// Maximum number of tombstones (records of deleted keys).
const MAX_TOMBSTONES: usize = 4_096;

/// Newest record of each key, including tombstones.
#[derive(Debug, Default)]
pub struct Mirror {
    records: HashMap<String, KeyedRecord>,
    /// Offset from which on no tombstone is missing; `None` before the first complete list.
    complete_since: Option<Offset>,
    next: Option<Position>,
    confirmed: Option<Time>,
}

impl Mirror {
    /// Replaces the content by a complete list. Keys that are missing from the list become
    /// tombstones.
    pub fn reset(&mut self, listed: &[KeyedRecord], next: Position) {
        self.enter_era(next);
        let listed_keys: HashSet<_> = listed.iter().map(|record| &record.key).collect();
        for record in self.records.values_mut() {
            if !listed_keys.contains(&record.key) {
                record.value = None;
                record.offset = next.offset;
            }
        }
        self.complete_since.get_or_insert(next.offset);
        self.apply(listed, next);
    }

    /// Adds the records of a list that may be older than the content. What the content has of other
    /// keys stays.
    pub fn merge(&mut self, new: &[KeyedRecord], next: Position) {
        self.enter_era(next);
        self.complete_since.get_or_insert(next.offset);
        self.apply(new, next);
    }

    /// The current record of a key; `None` if there is none or it was deleted.
    pub fn live(&self, key: &str) -> Option<&KeyedRecord> {
        self.records
            .get(key)
            .filter(|record| record.value.is_some())
    }

    /// Whether the content has this key, or knows that it was deleted.
    pub fn knows(&self, key: &str) -> bool {
        self.records.contains_key(key)
    }

    /// Moves the content into the era of `next` if that is later. Offsets of before mean nothing there:
    /// a reader of an earlier era gets all records.
    fn enter_era(&mut self, next: Position) {
        if self.next.is_none_or(|known| known.era >= next.era) {
            return;
        }
        for record in self.records.values_mut() {
            record.offset = Offset::default();
        }
        self.complete_since = None;
    }

    /// Applies records that follow the last known offset.
    pub fn apply(&mut self, records: &[KeyedRecord], next: Position) {
        for record in records {
            self.records.insert(record.key.clone(), record.clone());
        }
        self.next = self.next.max(Some(next));
        let tombstones = self.records.values();
        if tombstones.filter(|record| record.value.is_none()).count() > MAX_TOMBSTONES {
            self.records.retain(|_, record| record.value.is_some());
            self.complete_since = self.next.map(|next| next.offset);
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

    /// Position that follows the last known record; `None` before the first list.
    pub fn next(&self) -> Option<Position> {
        self.next
    }

    /// Era of the content; `None` before the first list.
    pub fn era(&self) -> Option<Era> {
        self.next.map(|next| next.era)
    }

    /// Size of the keys and values of all current records, in bytes.
    pub fn size(&self) -> u64 {
        let live = self
            .records
            .values()
            .filter(|record| record.value.is_some());
        live.map(KeyedRecord::size).sum::<usize>() as u64
    }

    /// Whether the mirror has a record at or after position `from`.
    pub fn has_changes(&self, from: Position) -> bool {
        self.next.is_some_and(|next| next > from)
    }

    /// Like [`Self::has_changes`], for a router that knows no eras.
    pub fn has_offset(&self, from: Offset) -> bool {
        self.next.is_some_and(|next| next.offset > from)
    }

    /// Like [`Self::since`], for a router that knows no eras: `from` is taken for an offset of the
    /// mirror's era.
    pub fn since_offset(
        &self,
        from: Offset,
        requested_at: Time,
        max_bytes: usize,
    ) -> Option<Changes> {
        let era = self.next?.era;
        let from = Position { era, offset: from };
        let changes = self.since(from, requested_at, max_bytes)?;
        Some(changes.changes)
    }

    /// Returns the records from position `from` on, or all current records if tombstones since then
    /// may be missing or `from` is of an earlier era. `None` before the first complete list, if `from`
    /// is of a later era, or if the records have more than `max_bytes`. The age in the answer is that at
    /// `requested_at`.
    pub fn since(
        &self,
        from: Position,
        requested_at: Time,
        max_bytes: usize,
    ) -> Option<StreamChanges> {
        let next = self.next?;
        if from.era > next.era {
            return None;
        }
        let is_complete = from.era < next.era || from.offset < self.complete_since?;
        let changed = self.records.values().filter(|record| {
            let live = record.value.is_some();
            if is_complete {
                live
            } else {
                record.offset >= from.offset
            }
        });
        let mut changed: Vec<_> = changed.collect();
        changed.sort_by_key(|record| record.offset);
        if changed.iter().map(|record| record.size()).sum::<usize>() > max_bytes {
            return None;
        }
        let records = changed.into_iter().map(|record| KeyRecord {
            key: record.key.clone(),
            value: record.value.clone(),
            offset: record.offset,
        });
        let age = self
            .confirmed
            .map(|confirmed| requested_at.since(confirmed));
        Some(StreamChanges {
            era: next.era,
            changes: Changes {
                is_complete,
                records: records.collect(),
                next: next.offset,
                age,
            },
        })
    }
}
