//! Tests of the internals of `src/record.rs`.

use super::*;
use ebonyfall_core::config::{Change, Digest};

/// Guards against a decoder that panics on arbitrary bytes, alone or after a truncated record, and
/// against records that do not round-trip.
#[test]
fn arbitrary_and_truncated_bytes_never_panic() {
    fn property(bytes: Vec<u8>, cut: usize) -> bool {
        let record = Record {
            id: 7,
            parent: None,
            author: "ann".parse().unwrap(),
            published_ms: 1,
            digest: Digest([1; 32]),
            change: Change::Snapshot("text".into()),
        };
        let mut encoded = encode(&record).unwrap();
        let round_trips = decode(&encoded).as_ref() == Ok(&record);
        let _garbage = decode(&bytes);
        encoded.truncate(cut % encoded.len());
        let truncated_fails = decode(&encoded).is_err();
        encoded.extend(bytes);
        let _mixed = decode(&encoded);
        round_trips && truncated_fails
    }
    quickcheck::quickcheck(property as fn(Vec<u8>, usize) -> bool);
}
