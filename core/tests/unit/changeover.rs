//! Tests of the internals of `src/changeover.rs`.

use super::*;

/// Interval between two looks at the move.
const TICK: Duration = Duration::from_millis(300);
/// Time limit of the move.
const WITHIN: Duration = Duration::from_secs(12);

fn order() -> MoveOrder {
    MoveOrder {
        service: ServiceName::new("s").unwrap(),
        version: "v2".into(),
        within: WITHIN,
        offset: Offset::from(7),
        era: Era::from(1),
    }
}

/// A move whose new version has given enough answers for the ramp, looked at until `until`.
fn watched(until: Time) -> (Changeover, Time) {
    let mut now = Time::from_millis(1_000);
    let mut active = Changeover::new(order(), now);
    let route = RouteName::new("r").unwrap();
    for _ in 0..100 {
        active.record_answer(&route, Arm::New, AnswerQuality::Good);
        active.record_answer(&route, Arm::Old, AnswerQuality::Good);
    }
    while now < until {
        now = now + TICK;
        active.due_report(0, true, 0, Some(MoveProgress::InProgress), now);
    }
    (active, now)
}

fn due(active: &mut Changeover, now: Time) -> Option<MoveProgress> {
    active.due_report(0, true, 0, Some(MoveProgress::InProgress), now)
}

/// Guards against a move that is ended by a router that stood still until then: it takes the time for
/// watched, though it has heard of no bad answer meanwhile.
#[test]
fn a_router_that_stood_still_ends_no_move_at_once() {
    let (mut active, slept_at) = watched(Time::from_millis(8_000));
    let mut now = slept_at + Duration::from_secs(4);
    let woken_at = now;
    while now.since(woken_at) < REWATCH_TIME {
        assert_eq!(due(&mut active, now), None, "{:?}", now.since(woken_at));
        now = now + TICK;
    }
    assert_eq!(due(&mut active, now), Some(MoveProgress::Complete));
    // A verdict that arrives in the meantime ends the move the other way.
    let (mut active, slept_at) = watched(Time::from_millis(8_000));
    let woken_at = slept_at + Duration::from_secs(4);
    assert_eq!(due(&mut active, woken_at), None);
    active.adopt(MoveProgress::Reverted);
    let now = woken_at + REWATCH_TIME;
    assert_eq!(due(&mut active, now), Some(MoveProgress::Reverted));
}

/// Guards against a good version that is never complete because its router is a little late at each
/// look.
#[test]
fn a_router_that_is_a_little_late_ends_the_move() {
    let (mut active, mut now) = watched(Time::from_millis(8_000));
    let late = MAX_WATCH_GAP.mul_f64(0.99);
    let until = Time::from_millis(1_000) + WITHIN;
    let mut ended = None;
    while now < until && ended.is_none() {
        now = now + late;
        ended = due(&mut active, now);
    }
    assert_eq!(ended, Some(MoveProgress::Complete));
    assert!(now < until);
}
