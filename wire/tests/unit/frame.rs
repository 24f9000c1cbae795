//! Tests of the internals of `src/frame.rs`.

use super::*;

/// Guards against a decoder that panics on arbitrary bytes.
#[test]
fn arbitrary_bytes_never_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let _message: Result<ToAgent, _> = postcard::from_bytes(&bytes);
        let _message: Result<ToRouter, _> = postcard::from_bytes(&bytes);
        let _message: Result<Hello, _> = postcard::from_bytes(&bytes);
        true
    }
    quickcheck::quickcheck(property as fn(Vec<u8>) -> bool);
}
