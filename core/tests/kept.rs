//! Tests of the room for the records of a stream.

use ebonyfall_core::kept::{KeptKeys, Rank, RoomLimits};
use quickcheck::quickcheck;

const LIMITS: RoomLimits = RoomLimits {
    primary: 4_000,
    secondary: 1_000,
};
/// Memory besides key and value that each record counts with.
const OVERHEAD: usize = 64;

/// Guards against records that nobody needs in the place of those in use.
#[test]
fn secondary_records_leave_the_room_of_primary_ones() {
    let mut kept = KeptKeys::new(LIMITS);
    let taken = (0..1_000).filter(|number| kept.take(&format!("s{number}"), Rank::Secondary, 50));
    let taken = taken.count();
    assert!((5..20).contains(&taken), "{taken}");
    let key = |number: u32| format!("p{number}");
    let primary = (0..30).filter(|number| kept.take(&key(*number), Rank::Primary, 50));
    assert_eq!(primary.count(), 30);
    assert!((0..30).all(|number| kept.contains(&key(number))));
}

/// Guards against a target that goes on getting requests, because its state "draining" is longer than
/// "ready" and the room is used up.
#[test]
fn a_known_record_may_grow() {
    let mut kept = KeptKeys::new(LIMITS);
    let count = (0..).take_while(|number| kept.take(&format!("p{number:03}"), Rank::Primary, 50));
    for number in 0..count.count() {
        assert!(kept.take(&format!("p{number:03}"), Rank::Primary, 60));
    }
    assert!(!kept.take("new", Rank::Primary, 50));
}

/// Guards against room that stays taken by records that are gone or have changed their rank.
#[test]
fn room_is_freed() {
    let mut kept = KeptKeys::new(LIMITS);
    assert!(kept.take("a", Rank::Secondary, 900));
    assert!(!kept.take("b", Rank::Secondary, 900));
    // The desired state names the service of the first one now.
    assert!(kept.take("a", Rank::Primary, 900));
    assert!(kept.take("b", Rank::Secondary, 900));
    kept.release("b");
    assert!(!kept.contains("b"));
    assert!(kept.take("c", Rank::Secondary, 900));
    let mut list = KeptKeys::new(LIMITS);
    list.adopt("c", &kept);
    assert!(list.contains("c") && !list.contains("a"));
    assert!(!list.take("d", Rank::Secondary, 900));
}

quickcheck! {
    /// Guards against memory beyond the limits, whatever is written, renewed and deleted.
    fn room_is_bounded(steps: Vec<(u8, bool, u16, bool)>) -> bool {
        let mut kept = KeptKeys::new(LIMITS);
        let mut sizes = std::collections::HashMap::new();
        for (key, is_primary, bytes, is_deletion) in steps {
            let key = format!("k{key}");
            let rank = if is_primary { Rank::Primary } else { Rank::Secondary };
            let bytes = usize::from(bytes);
            sizes.remove(&key);
            if is_deletion {
                kept.release(&key);
            } else if kept.take(&key, rank, bytes) {
                sizes.insert(key.clone(), key.len() + bytes + OVERHEAD);
            }
            if kept.contains(&key) != sizes.contains_key(&key) {
                return false;
            }
        }
        let limit = (LIMITS.primary + LIMITS.secondary) * 3 / 2;
        sizes.values().sum::<usize>() <= limit
    }
}
