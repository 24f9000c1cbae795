//! Tests of the decisions on callers' memory and connections.

use std::time::Duration;

use ebonyfall_core::{
    connections::{CallerDeadlines, CloseCause, ConnectionState, Phase, longest_waiting},
    memory::{BodyUse, MemoryParts, MemoryRefusal, SMALL_BODY_BYTES, admit_body},
    time::Time,
};

const PART: usize = 32 << 20;
const LARGE: usize = 4 << 20;

const DEADLINES: CallerDeadlines = CallerDeadlines {
    idle: Duration::from_secs(25),
    head: Duration::from_secs(4),
    stall: Duration::from_secs(15),
    answer_grace: Duration::from_secs(10),
};

fn state(phase: Phase, since_s: u64) -> ConnectionState {
    ConnectionState {
        phase,
        since: at(since_s),
        stalled_since: None,
        deadline: None,
    }
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

/// Guards against parts that together exceed what is held for others.
#[test]
fn the_parts_fit_into_half_of_the_memory() {
    for megabytes in [64, 112, 160, 512, 1 << 20] {
        let parts = MemoryParts::of(megabytes << 20);
        let sum = parts.heads + parts.bodies + parts.answers;
        assert!(sum <= (megabytes << 20) / 2, "{megabytes} MB: {parts:?}");
        // One body of the largest size, of which three copies exist, is taken by the smallest router.
        let alone = BodyUse {
            body: 0,
            party: 0,
            all: 0,
        };
        assert_eq!(admit_body(parts.bodies, alone, 3 * LARGE), Ok(()));
    }
}

/// Guards against large bodies that starve small ones.
#[test]
fn large_bodies_leave_a_reserve_to_small_ones() {
    let mut held = BodyUse {
        body: 0,
        party: 0,
        all: 0,
    };
    // Each body is of another party.
    while admit_body(PART, held, LARGE).is_ok() {
        held.all += LARGE;
    }
    assert_eq!(
        admit_body(PART, held, LARGE),
        Err(MemoryRefusal::Reserved),
        "{held:?}"
    );
    assert_eq!(admit_body(PART, held, SMALL_BODY_BYTES), Ok(()));
    let grown = BodyUse {
        body: SMALL_BODY_BYTES,
        ..held
    };
    assert_eq!(admit_body(PART, grown, 1), Err(MemoryRefusal::Reserved));
    held.all = PART;
    assert_eq!(admit_body(PART, held, 1), Err(MemoryRefusal::Full));
}

/// Guards against one team that takes all memory, and against a limit on a team that is alone.
#[test]
fn a_party_gets_half_while_another_one_holds_bytes() {
    let alone = BodyUse {
        body: 0,
        party: PART / 2,
        all: PART / 2,
    };
    assert_eq!(admit_body(PART, alone, LARGE), Ok(()));
    let beside = BodyUse {
        all: PART / 2 + 1,
        ..alone
    };
    assert_eq!(
        admit_body(PART, beside, LARGE),
        Err(MemoryRefusal::PartyShare)
    );
    let other = BodyUse { party: 1, ..beside };
    assert_eq!(admit_body(PART, other, LARGE), Ok(()));
}

/// Guards against waits that have no end, and against closing connections that are within limits.
#[test]
fn every_wait_has_its_deadline() {
    let running = state(Phase::Running, 0);
    let stalled = ConnectionState {
        stalled_since: Some(at(100)),
        ..running
    };
    let late = ConnectionState {
        deadline: Some(at(100)),
        ..running
    };
    for (state, last_s, cause) in [
        (state(Phase::Idle, 0), 25, CloseCause::Idle),
        (state(Phase::Head, 0), 4, CloseCause::SlowHead),
        (stalled, 115, CloseCause::Stalled),
        (late, 110, CloseCause::Deadline),
    ] {
        assert_eq!(state.overdue(&DEADLINES, at(last_s)), None, "{cause:?}");
        assert_eq!(state.overdue(&DEADLINES, at(last_s + 1)), Some(cause));
    }
    assert_eq!(running.overdue(&DEADLINES, at(1_000_000)), None);
}

/// Guards against closing a connection whose request runs in favour of a new one.
#[test]
fn the_longest_waiting_connection_gives_way() {
    let states = [
        state(Phase::Running, 1),
        state(Phase::Head, 3),
        state(Phase::Idle, 2),
        state(Phase::Idle, 4),
    ];
    assert_eq!(longest_waiting((0..).zip(states)), Some(2));
    let running = [state(Phase::Running, 1); 3];
    assert_eq!(longest_waiting((0..).zip(running)), None);
}
