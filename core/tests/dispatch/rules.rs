//! Rules of one dispatcher: order, bounds, refusals and callers that come back.

use std::time::Duration;

use ebonyfall_core::{
    dispatch::{DispatchRequest, Dispatcher, QueueLimits, Shed, Verdict, room::ServiceRoom},
    doc::Idempotency,
    time::Time,
};

use crate::fleet::{at, name};

const OBJECTIVE: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_secs(4);

/// A dispatcher with one place, which request 0 holds.
fn busy(limits: QueueLimits) -> Dispatcher<()> {
    let mut dispatcher = Dispatcher::new(limits);
    let room = ServiceRoom {
        service: name("s"),
        capacity: 1,
        elsewhere: 0,
        demand_elsewhere: None,
        routers: Some(1),
        is_cut_off: false,
        rank: 0,
        at: at(0),
    };
    dispatcher.set_rooms(vec![room], 0.5, at(0));
    // The first requests give the rate, ten a second, and make no team a quiet one.
    for id in 100..120 {
        let team = ["a", "b"][usize::from(id % 2 == 1)];
        dispatcher.offer(id, request(team, 1, id, 0), (), 0.5, at(0));
        dispatcher.release(id, 0.5, at(100));
    }
    dispatcher.offer(0, request("a", 1, 0, 100), (), 0.5, at(100));
    dispatcher.take_decided();
    dispatcher
}

fn request(team: &str, class: u8, content: u64, now: u64) -> DispatchRequest {
    DispatchRequest {
        service: name("s"),
        team: name(team),
        priority: class,
        content: content.into(),
        idempotency: Idempotency::Idempotent,
        objective: OBJECTIVE,
        timeout: TIMEOUT,
        arrived: at(now),
        deadline: at(now) + TIMEOUT,
        bytes: 1_000,
    }
}

/// Decisions since the last call, with the cause of refusals.
fn decided(dispatcher: &mut Dispatcher<()>) -> Vec<(u64, Option<Shed>)> {
    let decided = dispatcher.take_decided().into_iter();
    let decided = decided.map(|decided| match decided.verdict {
        Verdict::Admitted => (decided.id, None),
        Verdict::Refused { cause, .. } => (decided.id, Some(cause)),
    });
    decided.collect()
}

/// Guards against places that stay taken after a request ended or its caller left the queue.
#[test]
fn places_are_given_back() {
    let mut dispatcher = busy(QueueLimits::default());
    dispatcher.offer(1, request("a", 1, 1, 100), (), 0.5, at(100));
    dispatcher.offer(2, request("a", 1, 2, 100), (), 0.5, at(100));
    assert_eq!(decided(&mut dispatcher), []);
    dispatcher.release(1, 0.5, at(110));
    assert_eq!(decided(&mut dispatcher), [], "it held no place");
    dispatcher.release(0, 0.5, at(120));
    assert_eq!(decided(&mut dispatcher), [(2, None)]);
    dispatcher.release(2, 0.5, at(130));
    dispatcher.release(2, 0.5, at(130));
    assert_eq!(dispatcher.demand(), []);
    assert_eq!(dispatcher.next_expiry(), None);
}

/// Guards against less urgent requests that go before more urgent ones, and against a team that gets
/// every turn.
#[test]
fn classes_go_by_urgency_and_teams_take_turns() {
    let mut dispatcher = busy(QueueLimits::default());
    for (id, team, class) in [(1, "a", 1), (2, "a", 1), (3, "b", 1), (4, "a", 0)] {
        dispatcher.offer(id, request(team, class, id, 100), (), 0.5, at(100));
    }
    // The most urgent class has a place in reserve.
    assert_eq!(decided(&mut dispatcher), [(4, None)]);
    dispatcher.release(4, 0.5, at(110));
    let mut order = Vec::new();
    let mut last = 0;
    for _ in 0..3 {
        dispatcher.release(last, 0.5, at(120));
        last = decided(&mut dispatcher)[0].0;
        order.push(last);
    }
    assert_eq!(order, [3, 1, 2]);
}

/// Guards against a queue without a bound, in number or bytes, and against evicting urgent requests.
#[test]
fn the_queue_is_bounded() {
    for (requests, bytes) in [(2, 1 << 20), (100, 2_000)] {
        let mut dispatcher = busy(QueueLimits { requests, bytes });
        for (id, class) in [(1, 2), (2, 1), (3, 1), (4, 1)] {
            dispatcher.offer(id, request("a", class, id, 100), (), 0.5, at(100));
        }
        assert!(decided(&mut dispatcher).contains(&(1, Some(Shed::Full))));
    }
}

/// Guards against requests that wait although they will not be served in time, and against waits
/// without an end.
#[test]
fn hopeless_requests_are_refused_at_once() {
    let mut dispatcher = busy(QueueLimits::default());
    for id in 1..8 {
        dispatcher.offer(id, request("a", 1, id, 100), (), 0.5, at(100));
    }
    let refused = decided(&mut dispatcher);
    assert!(refused.contains(&(7, Some(Shed::Wait))), "{refused:?}");
    assert!(!refused.iter().any(|(id, _)| *id == 1), "{refused:?}");
    dispatcher.expire(0.5, at(100) + OBJECTIVE);
    assert!(decided(&mut dispatcher).contains(&(1, Some(Shed::Expired))));
    assert_eq!(dispatcher.next_expiry(), None);
}

/// Guards against a caller that is refused again although it came back as told, and against callers
/// that gain by coming back at once (D6).
#[test]
fn callers_that_come_back_as_told_go_first() {
    let after_refusal = |early: bool| {
        let mut dispatcher = busy(QueueLimits::default());
        for id in 1..8 {
            dispatcher.offer(id, request("a", 1, id, 100), (), 0.5, at(100));
        }
        let refused = dispatcher.take_decided();
        let last = refused.iter().find(|decided| decided.id == 7);
        let Some(Verdict::Refused { after, .. }) = last.map(|decided| decided.verdict) else {
            panic!("request 7 is refused");
        };
        let back = if early { at(101) } else { at(100) + after };
        // All that waited has left, and newer requests of the team wait.
        for id in 1..7 {
            dispatcher.release(id, 0.5, back);
        }
        let millis = back.since(Time::ZERO).as_millis() - 100_000;
        let now = u64::try_from(millis).expect("a short time");
        for id in [20, 21] {
            dispatcher.offer(id, request("a", 1, id, now), (), 0.5, back);
        }
        let mut again = request("a", 1, 7, now);
        again.deadline = at(100) + TIMEOUT;
        dispatcher.offer(30, again, (), 0.5, back);
        dispatcher.take_decided();
        dispatcher.release(0, 0.5, back);
        decided(&mut dispatcher)
    };
    assert_eq!(after_refusal(false), [(30, None)]);
    assert_eq!(after_refusal(true), [(20, None)]);
}

/// Guards against a `Retry-After` that no caller obeys although a shorter one is true.
#[test]
fn retry_after_fits_the_time_left() {
    let mut dispatcher = busy(QueueLimits::default());
    for id in 1..12 {
        dispatcher.offer(id, request("a", 1, id, 100), (), 0.99, at(100));
    }
    for decided in dispatcher.take_decided() {
        let Verdict::Refused { after, .. } = decided.verdict else {
            continue;
        };
        assert!(
            after <= TIMEOUT / 3 && after >= Duration::from_millis(100),
            "{after:?}"
        );
    }
}
