//! Tests of what holds after the store has come back from an older copy.

use std::time::Duration;

use ebonyfall_core::{
    eras::{Eras, ListUse},
    id::Era,
    time::Time,
};

const SETTLE_TIME: Duration = Duration::from_secs(2);

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

/// Guards against an older copy that replaces what is known, and against keys that stay for ever because
/// no list is taken as complete again.
#[test]
fn lists_of_a_new_era_are_complete_only_after_a_while() {
    let mut eras = Eras::new(SETTLE_TIME);
    assert_eq!(eras.on_list(1.into(), at(1)), ListUse::Replace);
    assert_eq!(eras.on_list(1.into(), at(2)), ListUse::Replace);
    assert_eq!(eras.on_list(2.into(), at(3)), ListUse::Merge);
    assert!(!eras.is_list_due(at(4)));
    assert_eq!(eras.on_list(2.into(), at(4)), ListUse::Merge);
    assert!(eras.is_list_due(at(5)));
    assert_eq!(eras.on_list(2.into(), at(5)), ListUse::Replace);
    assert!(!eras.is_list_due(at(6)));
}

/// Guards against a second restore within the time of the first one that ends that time too early.
#[test]
fn a_second_restore_begins_the_time_anew() {
    let mut eras = Eras::new(SETTLE_TIME);
    assert_eq!(eras.on_list(1.into(), at(1)), ListUse::Replace);
    assert_eq!(eras.on_list(2.into(), at(3)), ListUse::Merge);
    assert_eq!(eras.on_list(3.into(), at(4)), ListUse::Merge);
    assert!(!eras.is_list_due(at(5)));
    assert!(eras.is_list_due(at(6)));
}

/// Guards against an answer of an earlier era that arrives late.
#[test]
fn lists_of_an_earlier_era_are_ignored() {
    let mut eras = Eras::new(SETTLE_TIME);
    assert_eq!(eras.on_list(2.into(), at(1)), ListUse::Replace);
    assert_eq!(eras.on_list(1.into(), at(9)), ListUse::Ignore(Era::from(2)));
    assert_eq!(eras.on_list(2.into(), at(10)), ListUse::Replace);
}
