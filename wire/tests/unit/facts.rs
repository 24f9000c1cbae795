//! Tests of the internals of `src/facts.rs`.

use super::*;

/// Guards against a decoder that panics on arbitrary bytes or ignores the format number.
#[test]
fn unknown_formats_are_refused_without_a_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let known = bytes.first() == Some(&FORMAT);
        known || decode(&bytes).is_err()
    }
    quickcheck::quickcheck(property as fn(Vec<u8>) -> bool);
    let fact = Fact::Cleared {
        move_name: MoveName::new("labels-v2").unwrap(),
        declaration: 7.into(),
        since: 9,
    };
    assert_eq!(decode(&encode(&fact).unwrap()).unwrap(), fact);
}
