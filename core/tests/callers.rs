//! Tests of the decisions on callers' memory and connections.

use std::time::Duration;

use ebonyfall_core::{
    connections::{CallerDeadlines, CloseCause, ConnectionState, Phase, Room, choose_evictions},
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

const fn state(phase: Phase, since_s: u64) -> ConnectionState {
    ConnectionState {
        phase,
        since: at(since_s),
        stalled_since: None,
        deadline: None,
    }
}

const fn at(seconds: u64) -> Time {
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

const WAITING: [ConnectionState; 4] = [
    state(Phase::Running, 1),
    state(Phase::Head, 3),
    state(Phase::Idle, 2),
    state(Phase::Idle, 4),
];

/// Connections that hold 10 bytes each.
fn holding(states: &[ConnectionState]) -> impl Iterator<Item = (usize, ConnectionState, usize)> {
    let states = states.iter().enumerate();
    states.map(|(number, state)| (number, *state, 10))
}

/// Guards against closing a connection whose request runs in favour of a new one, and against closing
/// another one than that which has waited the longest.
#[test]
fn the_longest_waiting_connection_gives_way() {
    let full = Room {
        open: 4,
        max_open: 4,
        free_bytes: 100,
    };
    let chosen = choose_evictions(holding(&WAITING), full, 10, at(60));
    assert_eq!(chosen, Some(vec![2]));
    let running = [state(Phase::Running, 1); 4];
    assert_eq!(choose_evictions(holding(&running), full, 10, at(60)), None);
}

/// Guards against closing more connections than a new one needs, or any in vain.
#[test]
fn as_many_connections_give_way_as_a_new_one_needs() {
    let room = |max_open, free_bytes| Room {
        open: 4,
        max_open,
        free_bytes,
    };
    for (room, bytes, expected) in [
        (room(9, 10), 10, Some(vec![])),
        (room(9, 9), 10, Some(vec![2])),
        (room(9, 0), 20, Some(vec![2, 1])),
        (room(9, 5), 35, Some(vec![2, 1, 3])),
        (room(9, 5), 36, None),
        (room(4, 0), 31, None),
        (room(3, 10), 10, Some(vec![2, 1])),
        (room(1, 10), 10, None),
    ] {
        let chosen = choose_evictions(holding(&WAITING), room, bytes, at(60));
        assert_eq!(chosen, expected, "{room:?}, {bytes}");
    }
}

/// Guards against callers that leave the end of their bodies out and keep all new ones away, and against
/// ordinary uploads that are cut for a new connection.
#[test]
fn bodies_that_take_long_give_way_last() {
    let states = [
        state(Phase::Body, 10),
        state(Phase::Idle, 20),
        state(Phase::Body, 5),
        state(Phase::Running, 1),
    ];
    let holding = || {
        let states = states.iter().enumerate();
        states.map(|(index, state)| (index, *state, 10))
    };
    let room = |max_open| Room {
        open: 4,
        max_open,
        free_bytes: 1_000,
    };
    let chosen = |max_open, now| choose_evictions(holding(), room(max_open), 10, now);
    assert_eq!(chosen(4, at(30)), Some(vec![1]));
    assert_eq!(chosen(3, at(30)), Some(vec![1, 2]));
    assert_eq!(chosen(2, at(30)), Some(vec![1, 2, 0]));
    assert_eq!(chosen(1, at(30)), None);
    // The body that began at 10 s is young.
    assert_eq!(chosen(2, Time::from_millis(10_900)), None);
    assert_eq!(chosen(2, at(11)), Some(vec![1, 2, 0]));
}
