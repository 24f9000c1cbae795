//! Tests of what targets state about themselves while their entries lapse and return.

use std::{sync::Arc, time::Duration};

use ebonyfall_core::{
    budget::RetryBound,
    id::{Fingerprint, Incarnation},
    limit::StatedLimit,
    name::{ServiceName, TargetName, TeamName},
    notice::{Notices, StatedPause},
    selector::{Criteria, TargetSelector},
    target::{Stage, TargetRecord},
    time::Time,
};

const PAUSE: Duration = Duration::from_secs(20);

fn record(incarnation: u64) -> TargetRecord {
    TargetRecord {
        name: TargetName::new("t-1").expect("a name"),
        service: ServiceName::new("desk").expect("a name"),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "a".parse().expect("a name"),
        version: Arc::from("v1"),
        slots: 4,
        stage: Stage::Ready,
        cold: Duration::ZERO,
        incarnation: Incarnation::from(incarnation),
    }
}

fn router() -> TargetSelector {
    let retry = RetryBound {
        ratio: 0.2,
        slack: 50.0,
        window: Duration::from_secs(10),
    };
    let mut router = TargetSelector::new("a".parse().expect("a name"), retry);
    router.put(record(1), Time::ZERO);
    router
}

fn is_chosen(router: &mut TargetSelector, now: Time) -> bool {
    let (service, team) = (
        ServiceName::new("desk").expect("a name"),
        TeamName::new("team").expect("a name"),
    );
    let criteria = Criteria {
        service: &service,
        contexts: &[],
        tried: &[],
        is_retry: false,
        only: None,
        needs_slot: false,
        content: Fingerprint::from(1),
        parts: &[],
        team: &team,
    };
    router.choose(&criteria, 0.5, now).is_ok()
}

fn pause() -> Notices {
    Notices {
        pause: StatedPause::For(PAUSE),
        ..Notices::default()
    }
}

/// Guards against requests to a target that wants a pause: the wish was forgotten when the target's
/// entry lapsed and returned, and 76 requests reached it before the end in place of two.
#[test]
fn a_pause_outlasts_the_entry() {
    let mut router = router();
    router.record_notices(&record(1), &pause(), Time::ZERO, Time::ZERO);
    let name = record(1).name;
    for second in 1..20 {
        let now = Time::ZERO + Duration::from_secs(second);
        router.remove(&name, now);
        router.put(record(1), now);
        assert!(!is_chosen(&mut router, now), "after {second} s");
    }
    assert!(is_chosen(&mut router, Time::ZERO + PAUSE));
}

/// Guards against a pause that binds the next run of the target, which has not asked for it.
#[test]
fn a_pause_ends_with_the_run_of_its_target() {
    let mut router = router();
    router.record_notices(&record(1), &pause(), Time::ZERO, Time::ZERO);
    let now = Time::ZERO + Duration::from_secs(1);
    router.remove(&record(1).name, now);
    router.put(record(2), now);
    assert!(is_chosen(&mut router, now));
}

/// Guards against bursts to a target that limits itself after its entry has lapsed and returned.
#[test]
fn a_limit_outlasts_the_entry() {
    let mut router = router();
    let notices = Notices {
        limit: StatedLimit::Rate(0.1),
        ..Notices::default()
    };
    router.record_notices(&record(1), &notices, Time::ZERO, Time::ZERO);
    let mut sent = 0;
    for step in 0..50_u64 {
        let now = Time::ZERO + Duration::from_millis(200 * step);
        router.remove(&record(1).name, now);
        router.put(record(1), now);
        sent += u32::from(is_chosen(&mut router, now));
    }
    assert!(sent <= 2, "{sent} requests in 10 s");
}
