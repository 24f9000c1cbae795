//! Tests of the internals of `src/auth.rs`.

use super::*;

fn channel_pair() -> (Channel, Channel) {
    let key = Key::new([3; 16]);
    (
        Channel::new(key, [1, 2], true),
        Channel::new(key, [1, 2], false),
    )
}

/// Guards against a channel that accepts replayed, reflected or reordered frames.
#[test]
fn each_frame_verifies_once_in_order() {
    let (mut a, mut b) = channel_pair();
    let first = a.seal(&"one").unwrap();
    let second = a.seal(&"two").unwrap();
    b.open::<String>(&second).unwrap_err();
    assert_eq!(b.open::<String>(&first).unwrap(), "one");
    b.open::<String>(&first).unwrap_err();
    a.open::<String>(&first).unwrap_err();
    assert_eq!(b.open::<String>(&second).unwrap(), "two");
}

/// Guards against a panic or an accepted frame on arbitrary bytes.
#[test]
fn arbitrary_bytes_do_not_verify() {
    fn property(bytes: Vec<u8>) -> bool {
        channel_pair().1.open::<String>(&bytes).is_err()
    }
    quickcheck::quickcheck(property as fn(Vec<u8>) -> bool);
}
