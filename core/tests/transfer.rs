//! Tests of the limits on the time of an answer, with a fake clock and links of a stated rate.

use std::time::Duration;

use ebonyfall_core::{
    time::Time,
    transfer::{Transfer, TransferLimits},
};

/// Pause of the calls of the store.
const PAUSE: Duration = Duration::from_millis(700);
/// Time that the store may wait before it answers.
const WAIT: Duration = Duration::from_millis(1_800);
/// Steps of the fake clock.
const STEP: Duration = Duration::from_millis(10);
/// 10 Mbit/s, in bytes per second.
const THIN_LINK: u64 = 1_250_000;

/// How a transfer ended, and after how long.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Complete(Duration),
    Stalled(Duration),
}

/// Plays an answer of `len` bytes, of which `arrived` have come at each time since the call.
fn play(len: usize, arrived: impl Fn(Duration) -> Option<usize>) -> End {
    let start = Time::from_millis(1_000);
    let mut transfer = Transfer::new(TransferLimits::new(WAIT, PAUSE), start);
    let mut now = start;
    loop {
        now = now + STEP;
        let after = now.since(start);
        if let Some(received) = arrived(after) {
            if received >= len {
                return End::Complete(after);
            }
            if received > transfer.received() || transfer.received() == 0 {
                transfer.record(received, now);
            }
        }
        if transfer.is_stalled(now) {
            return End::Stalled(after);
        }
    }
}

/// Bytes that a link of `rate` bytes per second has carried `after` the start of the answer.
fn carried(rate: u64, after: Duration) -> usize {
    let bytes = u128::from(rate) * after.as_micros() / 1_000_000;
    usize::try_from(bytes).expect("the number is small")
}

/// Guards against a read of missed states that ends before it can succeed, each time.
#[test]
fn a_long_answer_over_a_thin_link_is_not_cut() {
    for rate in [THIN_LINK, THIN_LINK / 10, THIN_LINK / 40] {
        let end = play(1 << 20, |after| Some(carried(rate, after)));
        assert!(matches!(end, End::Complete(_)), "{rate} bytes/s: {end:?}");
    }
}

/// Guards against a dead connection that is found later since long answers have more time.
#[test]
fn a_connection_that_dies_is_found_within_one_pause() {
    let never = play(1 << 20, |_| None);
    assert_eq!(never, End::Stalled(WAIT + PAUSE));
    let death = Duration::from_millis(400);
    let end = play(1 << 20, |after| Some(carried(THIN_LINK, after.min(death))));
    let End::Stalled(after) = end else {
        panic!("{end:?}");
    };
    assert!(after <= death + PAUSE, "found after {after:?}");
}

/// Guards against an answer without end that sends a byte now and then.
#[test]
fn an_answer_that_trickles_is_given_up_within_one_pause() {
    let trickle = |after: Duration| usize::try_from(after.as_millis() / 100).ok();
    assert_eq!(play(1 << 20, trickle), End::Stalled(PAUSE + STEP));
}

/// Guards against a body that is still being sent when its answer has to begin.
#[test]
fn the_time_for_a_body_grows_with_its_length() {
    let limits = TransferLimits::new(Duration::ZERO, PAUSE).with_body(1 << 20);
    let sending = Duration::from_secs(1) * (1 << 20) / u32::try_from(THIN_LINK).unwrap_or(1);
    assert!(limits.begin >= PAUSE + sending);
    assert_eq!(limits.pause, PAUSE);
}

/// Guards against a router that takes its own standstill for a silent store, and leaves the answer unread.
#[test]
fn a_process_that_stood_still_has_time_to_read_what_has_arrived() {
    let start = Time::from_millis(1_000);
    let mut transfer = Transfer::new(TransferLimits::new(WAIT, PAUSE), start);
    let resumed = start + Duration::from_millis(3_500);
    assert!(!transfer.is_stalled(resumed));
    assert!(!transfer.is_stalled((resumed + PAUSE).before(STEP)));
    assert!(transfer.is_stalled(resumed + PAUSE));
}

/// Guards against a dead connection that is kept while the process stands still again and again.
#[test]
fn a_standstill_counts_once_in_a_call() {
    let start = Time::from_millis(1_000);
    let mut transfer = Transfer::new(TransferLimits::new(WAIT, PAUSE), start);
    let standstill = Duration::from_millis(3_500);
    assert!(!transfer.is_stalled(start + standstill));
    assert!(transfer.is_stalled(start + standstill * 2));
}
