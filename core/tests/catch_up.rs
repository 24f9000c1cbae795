//! Tests of how a router that has missed records catches up, with a fake clock and a link of a stated rate.

use std::time::Duration;

use ebonyfall_core::{
    catch_up::{CatchUp, Confirmation, ReadProgress, Span},
    id::{Era, Offset, Position},
    lease::Lease,
    time::Time,
    transfer::{Transfer, TransferLimits},
};

/// 10 Mbit/s, in bytes per second.
const THIN_LINK: u64 = 1_250_000;
/// Time within which a change must be in force.
const APPLY: Duration = Duration::from_secs(3);
/// Time within which a revoked key must be refused.
const REVOCATION: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(700);
const STEP: Duration = Duration::from_millis(10);
/// Most bytes in an answer, but for its first record.
const MAX_READ: u64 = 128 << 10;

/// Fault of a router, which the checks must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Bug {
    None,
    /// Reads every missed record.
    NeverLists,
    /// Ends each call after the pause, and begins at the same position.
    FixedTime,
    /// Counts its state as confirmed only by an answer without records.
    ConfirmsWhenEmpty,
}

/// Store with one key, whose record of `bytes` is replaced every `gap`.
#[derive(Debug, Clone, Copy)]
struct Stream {
    bytes: u64,
    gap: Duration,
}

impl Stream {
    /// Number of records at `now`.
    fn end(&self, now: Time) -> u64 {
        let written = now.since(Time::ZERO).as_micros() / self.gap.as_micros();
        u64::try_from(written).expect("the number is small")
    }
}

/// Result of a router that reads until `until`.
#[derive(Debug)]
struct Outcome {
    /// Longest time, after the first [`APPLY`], that a record was not in force after it was written.
    late: Duration,
    /// Whether the lease on the state ran out, after the first [`APPLY`].
    lapsed: bool,
    /// Bytes that the router had received when it was first up to date; `None` if it never was.
    cost: Option<u64>,
}

/// Plays a router that begins at the end of a standstill in which it missed `missed` records.
fn catch_up(bug: Bug, stream: Stream, missed: u32, until: Duration) -> Outcome {
    let resumed = Time::ZERO + stream.gap * missed;
    let (mut now, mut position, mut received) = (resumed, 0, 0);
    let mut outcome = Outcome {
        late: Duration::ZERO,
        lapsed: false,
        cost: None,
    };
    let (mut confirmation, mut lease) = (Confirmation::default(), Lease::new(REVOCATION));
    let mut lists = false;
    while now.since(resumed) < until {
        let end = stream.end(now);
        let is_old = matches!(bug, Bug::NeverLists | Bug::FixedTime);
        let max_read = if is_old { 1 << 20 } else { MAX_READ };
        let records = (end - position).min((max_read / stream.bytes).max(1));
        let bytes = if lists {
            stream.bytes * 4 / 3
        } else {
            records * stream.bytes
        };
        let (arrived, done) = receive(bug, bytes, now);
        outcome.late = outcome.late.max(late(stream, position, resumed, done));
        let requested_at = now;
        now = done;
        outcome.lapsed |= now.since(resumed) > APPLY && !lease.is_valid(now);
        received += arrived;
        if arrived < bytes {
            continue;
        }
        position = if lists { end } else { position + records };
        let read = ReadProgress {
            records,
            bytes,
            unused_bytes: 0,
            left: end - position,
        };
        let next = CatchUp::after(read, stream.bytes);
        let confirmed = if lists {
            Some(requested_at)
        } else if bug == Bug::ConfirmsWhenEmpty {
            (end == position && records == 0).then_some(requested_at)
        } else {
            let span = Span {
                from: place(position - records),
                next: place(position),
                end: place(end),
            };
            confirmation.record(span, requested_at, Duration::ZERO)
        };
        if let Some(confirmed) = confirmed {
            lease.confirm(confirmed);
        }
        lists = !is_old && next == CatchUp::List;
        if next == CatchUp::UpToDate {
            outcome.cost.get_or_insert(received);
            now = now + STEP;
        }
    }
    outcome
}

fn place(offset: u64) -> Position {
    Position {
        era: Era::default(),
        offset: Offset::from(offset),
    }
}

/// Bytes of an answer that have arrived when the call ends, and when it ends.
fn receive(bug: Bug, bytes: u64, start: Time) -> (u64, Time) {
    let mut transfer = Transfer::new(TransferLimits::new(Duration::ZERO, PAUSE), start);
    let mut now = start;
    loop {
        let micros = now.since(start).as_micros();
        let carried = u64::try_from(u128::from(THIN_LINK) * micros / 1_000_000);
        let carried = carried.expect("the number is small").min(bytes);
        if carried == bytes {
            return (bytes, now);
        }
        transfer.record(usize::try_from(carried).expect("it fits"), now);
        let is_over = bug == Bug::FixedTime && now.since(start) >= PAUSE;
        if is_over || transfer.is_stalled(now) {
            return (carried, now);
        }
        now = now + STEP;
    }
}

/// How long the oldest record that is not in force at `now` has been in the store, or the router been
/// running since it could first be read.
fn late(stream: Stream, position: u64, resumed: Time, now: Time) -> Duration {
    if stream.end(now) <= position {
        return Duration::ZERO;
    }
    let number = u32::try_from(position + 1).expect("the number is small");
    let written = Time::ZERO + stream.gap * number;
    now.since(written.max(resumed))
}

const LONG_STATES: Stream = Stream {
    bytes: 123_000,
    gap: Duration::from_millis(330),
};
/// States of which the link carries less than one in each gap.
const LONGEST_STATES: Stream = Stream {
    bytes: 420_000,
    gap: Duration::from_millis(330),
};
/// States of which the link carries about one in each gap, so that a read always finds a newer one.
const NEXT_STATES: Stream = Stream {
    bytes: 250_000,
    gap: Duration::from_millis(170),
};
const STREAMS: [Stream; 3] = [LONG_STATES, LONGEST_STATES, NEXT_STATES];
const PLAYED: Duration = Duration::from_secs(20);

/// Guards against a router that stays behind the desired state, although it reaches the store.
#[test]
fn a_router_behind_has_the_newest_state_in_time_over_a_thin_link() {
    for stream in STREAMS {
        for missed in [1, 3, 11, 60, 600] {
            let outcome = catch_up(Bug::None, stream, missed, PLAYED);
            assert!(
                outcome.late < APPLY,
                "{stream:?}, {missed} missed: {outcome:?}"
            );
        }
    }
}

/// Guards against a cost that grows with what a router has missed.
#[test]
fn the_cost_of_catching_up_does_not_grow_with_what_was_missed() {
    let quiet = Stream {
        gap: Duration::from_secs(20),
        ..LONG_STATES
    };
    for missed in [1, 3, 11, 600] {
        let cost = catch_up(Bug::None, quiet, missed, PLAYED / 2).cost;
        let bound = MAX_READ + quiet.bytes * 4 / 3;
        assert!(
            cost.is_some_and(|cost| cost <= bound),
            "{missed} missed: {cost:?}"
        );
    }
}

/// Guards against checks that pass whatever the router does.
#[test]
fn the_checks_find_a_router_that_stays_behind() {
    for bug in [Bug::NeverLists, Bug::FixedTime, Bug::ConfirmsWhenEmpty] {
        let outcomes = STREAMS.map(|stream| catch_up(bug, stream, 60, PLAYED));
        let found = outcomes
            .iter()
            .any(|outcome| outcome.late >= APPLY || outcome.lapsed);
        assert!(found, "{bug:?}: {outcomes:?}");
    }
}

/// Guards against a list of all targets for a few changed ones.
#[test]
fn a_few_short_records_are_read_on() {
    let read = ReadProgress {
        records: 500,
        bytes: 125_000,
        unused_bytes: 0,
        left: 40,
    };
    assert_eq!(CatchUp::after(read, 300 * 250), CatchUp::ReadOn);
    let read = ReadProgress {
        left: 2_000,
        ..read
    };
    assert_eq!(CatchUp::after(read, 300 * 250), CatchUp::List);
}

/// Guards against a state that counts as confirmed for a time which the store did not wait for, since the
/// answer had only a record that cannot be decoded.
#[test]
fn a_wait_counts_as_confirmed_only_without_any_record() {
    let (requested_at, wait) = (Time::from_millis(1_000), Duration::from_secs(1));
    let span = Span {
        from: place(4),
        next: place(4),
        end: place(4),
    };
    let confirmed = Confirmation::default().record(span, requested_at, wait);
    assert_eq!(confirmed, Some(requested_at + wait));
    let skipped = Span {
        next: place(5),
        end: place(5),
        ..span
    };
    let confirmed = Confirmation::default().record(skipped, requested_at, wait);
    assert_eq!(confirmed, Some(requested_at));
}

/// Guards against a list that is longer than what is left of the stream, because the records of another
/// writer, which the list has as well, are not counted.
#[test]
fn a_router_behind_unusable_records_reads_on() {
    let read = ReadProgress {
        records: 1,
        bytes: 262_144,
        unused_bytes: 262_144,
        left: 130,
    };
    assert_eq!(CatchUp::after(read, 1_000), CatchUp::ReadOn);
    // So many are renewals of fewer keys.
    let read = ReadProgress {
        left: 1_300,
        ..read
    };
    assert_eq!(CatchUp::after(read, 1_000), CatchUp::List);
    // Of half of the records, a list has the newest ones only.
    let read = ReadProgress {
        records: 2,
        unused_bytes: 131_072,
        left: 130,
        ..read
    };
    assert_eq!(CatchUp::after(read, 1_000), CatchUp::List);
}
