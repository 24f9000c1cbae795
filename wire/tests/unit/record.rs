//! Tests of the internals of `src/record.rs`.

use super::*;
use ebonyfall_core::config::{Change, Digest};

/// Guards against a panic on arbitrary bytes, alone and behind a valid beginning.
#[test]
fn garbage_never_panics() {
    fn property(bytes: Vec<u8>, cut: usize) -> bool {
        let record = Record {
            id: 7,
            parent: None,
            author: "ann".parse().unwrap(),
            published_ms: 1,
            digest: Digest([1; 32]),
            change: Change::Snapshot("text".into()),
        };
        let mut whole = encode(&record).unwrap();
        let same = decode(&whole).as_ref() == Ok(&record);
        let _garbage = decode(&bytes);
        whole.truncate(cut % whole.len());
        let short = decode(&whole).is_err();
        whole.extend(bytes);
        let _mixed = decode(&whole);
        same && short
    }
    quickcheck::quickcheck(property as fn(Vec<u8>, usize) -> bool);
}
