//! Tests of the copy of the store's records that a router serves to other routers.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use ebonyfall::mirror::Mirror;
use ebonyfall_core::{
    id::{Era, Offset, Position},
    time::Time,
};
use ebonyfall_platform::store::KeyedRecord;
use ebonyfall_wire::mirror::Changes;
use quickcheck::quickcheck;

/// Size limit of answers, which the records of the model do not reach.
const MAX_BYTES: usize = 4 << 20;

/// Model of a stream in the store. The offset of a record is its index.
#[derive(Default)]
struct Log(Vec<(u8, Option<u8>)>);

impl Log {
    fn records(&self, from: usize) -> Vec<KeyedRecord> {
        let records = self.0.iter().enumerate().skip(from);
        records
            .map(|(offset, (key, value))| KeyedRecord {
                key: key.to_string(),
                value: value.map(|value| Bytes::from(vec![value])),
                offset: Offset::from(offset as u64),
            })
            .collect()
    }

    fn live(&self) -> BTreeMap<String, Bytes> {
        let mut live = BTreeMap::new();
        apply_records(&mut live, self.records(0));
        live
    }

    /// Newest record of each key that is not deleted, as the store lists them.
    fn listed(&self) -> Vec<KeyedRecord> {
        let newest: BTreeMap<_, _> = self
            .records(0)
            .into_iter()
            .map(|record| (record.key.clone(), record))
            .collect();
        let live = newest.into_values().filter(|record| record.value.is_some());
        live.collect()
    }

    fn end(&self) -> Position {
        position(self.0.len() as u64)
    }
}

/// Position in the only era of most tests.
fn position(offset: u64) -> Position {
    Position {
        era: Era::from(1),
        offset: Offset::from(offset),
    }
}

fn apply_records(live: &mut BTreeMap<String, Bytes>, records: Vec<KeyedRecord>) {
    for record in records {
        match record.value {
            Some(value) => live.insert(record.key, value),
            None => live.remove(&record.key),
        };
    }
}

fn apply_changes(live: &mut BTreeMap<String, Bytes>, changes: Changes) {
    if changes.is_complete {
        live.clear();
    }
    let records = changes.records.into_iter().map(|record| KeyedRecord {
        key: record.key,
        value: record.value,
        offset: record.offset,
    });
    apply_records(live, records.collect());
}

quickcheck! {
    /// Guards against keys that a reader keeps although they were deleted, misses, or resets to an
    /// older value, for any offset at which the reader and the mirror started.
    fn a_reader_ends_with_the_records_of_the_store(
        before: Vec<(u8, Option<u8>)>,
        steps: Vec<(u8, Option<u8>, u8)>,
        known: usize
    ) -> bool {
        let mut log = Log(before.into_iter().map(|(key, value)| (key % 8, value)).collect());
        let now = Time::from_millis(1_000);
        let mut mirror = Mirror::default();
        // The reader has applied the stream up to some offset; the mirror starts at its end.
        let known = known % (log.0.len() + 1);
        let mut live = BTreeMap::new();
        apply_records(&mut live, log.records(0).into_iter().take(known).collect());
        let mut from = position(known as u64);
        if mirror.since(from, now, MAX_BYTES).is_some() {
            return false;
        }
        mirror.reset(&log.listed(), log.end());
        for (key, value, action) in steps {
            let read = log.0.len();
            log.0.push((key % 8, value));
            match action % 4 {
                0 => mirror.reset(&log.listed(), log.end()),
                1 | 2 => mirror.apply(&log.records(read), log.end()),
                _ => {
                    mirror.apply(&log.records(read), log.end());
                    let Some(changes) = mirror.since(from, now, MAX_BYTES) else {
                        return false;
                    };
                    from = position(changes.changes.next.into());
                    apply_changes(&mut live, changes.changes);
                    if live != log.live() {
                        return false;
                    }
                }
            }
        }
        let Some(changes) = mirror.since(from, now, MAX_BYTES) else {
            return false;
        };
        apply_changes(&mut live, changes.changes);
        live == log.live()
    }

    /// Guards against records that look more recently confirmed than they are.
    fn the_age_counts_from_the_last_confirmation(confirmed: Vec<u16>, later: u16) -> bool {
        let log = Log::default();
        let mut mirror = Mirror::default();
        mirror.reset(&log.listed(), log.end());
        let times = confirmed.iter().map(|at| Time::from_millis(u64::from(*at)));
        times.clone().for_each(|at| mirror.confirm(at));
        let now = Time::from_millis(u64::from(u16::MAX) + u64::from(later));
        let age = mirror.since(log.end(), now, MAX_BYTES).and_then(|changes| changes.changes.age);
        let expected = times.max().map(|last| now.since(last));
        age == expected && age.is_none_or(|age| age >= Duration::from_millis(u64::from(later)))
    }
}

/// Guards against records that a reader sends to all its followers although they are long.
#[test]
fn records_over_the_limit_are_not_sent() {
    let record = KeyedRecord {
        key: "config".to_owned(),
        value: Some(Bytes::from(vec![0; 1_000])),
        offset: Offset::from(0),
    };
    let now = Time::from_millis(5);
    let mut mirror = Mirror::default();
    mirror.reset(&[record], position(1));
    assert!(mirror.since(position(0), now, 2_000).is_some());
    assert!(mirror.since(position(0), now, 1_000).is_none());
    // A router that has the record can follow the later ones.
    assert!(mirror.since(position(1), now, 1_000).is_some());
}

fn record(key: &str, value: Option<u8>, offset: u64) -> KeyedRecord {
    KeyedRecord {
        key: key.to_owned(),
        value: value.map(|value| Bytes::from(vec![value])),
        offset: Offset::from(offset),
    }
}

/// Guards against records that a router with offsets of an earlier era takes for known ones, and against
/// records of an earlier era that reach a router of a later one.
#[test]
fn a_read_from_another_era_gets_all_records_or_none() {
    let later = |offset| Position {
        era: Era::from(2),
        offset: Offset::from(offset),
    };
    let now = Time::from_millis(5);
    let mut mirror = Mirror::default();
    mirror.reset(
        &[record("a", Some(1), 3), record("b", Some(1), 4)],
        position(5),
    );
    assert!(mirror.since(later(5), now, MAX_BYTES).is_none());
    mirror.merge(&[record("c", Some(2), 0)], later(1));
    mirror.apply(&[record("b", None, 1)], later(2));
    let changes = mirror
        .since(position(5), now, MAX_BYTES)
        .expect("the mirror is of a later era");
    assert_eq!(changes.era, Era::from(2));
    assert!(changes.changes.is_complete);
    let keys: Vec<_> = changes
        .changes
        .records
        .iter()
        .map(|record| &*record.key)
        .collect();
    assert_eq!(keys.len(), 2);
    assert!(keys.contains(&"a") && keys.contains(&"c"));
    // A router of the later era gets what has come since.
    let changes = mirror
        .since(later(1), now, MAX_BYTES)
        .expect("the mirror has the era");
    assert!(!changes.changes.is_complete);
    assert_eq!(changes.changes.records.len(), 1);
    assert!(mirror.has_changes(position(9)) && !mirror.has_changes(later(2)));
}
