//! Tests of the internals of `src/claims.rs`.

use ebonyfall_core::{
    claim::{ClaimId, KeyId},
    code::Execution,
};

use super::*;

/// Guards against records that do not round-trip, a newer version that is accepted, and a decoder
/// that panics on arbitrary bytes.
#[test]
fn batches_round_trip_and_arbitrary_bytes_do_not_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let _entries = decode(&bytes);
        true
    }
    let claim = ClaimId {
        offset: 9.into(),
        index: 3,
    };
    let key = KeyId::from(u128::MAX);
    let entries = vec![
        ClaimEntry::Released { key, claim },
        ClaimEntry::Finished {
            key,
            claim,
            ran: Execution::Unknown,
            status: 200,
            digest: 5,
        },
    ];
    let data = encode(entries.clone()).unwrap();
    assert_eq!(decode(&data).unwrap(), entries);
    decode(&[9]).unwrap_err();
    quickcheck::quickcheck(property as fn(Vec<u8>) -> bool);
}
