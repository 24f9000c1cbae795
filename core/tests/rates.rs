//! Rates of cold targets as operators may state them: none, fractions, and more than any target takes.

use std::{collections::HashMap, sync::Arc, time::Duration};

use ebonyfall_core::{
    budget::RetryBound,
    id::{Fingerprint, Incarnation},
    name::{ServiceName, TargetName, TeamName},
    selector::{Criteria, TargetSelector},
    target::{Stage, TargetRecord},
    time::Time,
};
use quickcheck::quickcheck;

/// Requests that are sent one after the other, a millisecond apart.
const REQUESTS: u64 = 200;

/// A selector that knows its turn among three routers, with one target that is cold all the while.
fn selector(rate: f64) -> TargetSelector {
    let retry = RetryBound {
        ratio: 0.2,
        slack: 50.0,
        window: Duration::from_secs(10),
    };
    let mut selector = TargetSelector::new("a".parse().expect("a name"), retry);
    selector.set_routers(3);
    selector.set_rank(1);
    selector.set_unix_offset(Duration::from_secs(1_765_000_000));
    let service = ServiceName::new("desk").expect("a name");
    selector.set_cold_rates(HashMap::from([(service.clone(), rate)]));
    let record = TargetRecord {
        name: TargetName::new("t-1").expect("a name"),
        service,
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "a".parse().expect("a name"),
        version: Arc::from("v1"),
        slots: 64,
        stage: Stage::Ready,
        cold: Duration::from_secs(3_600),
        incarnation: Incarnation::from(1),
    };
    selector.put(record, Time::from_millis(1));
    selector
}

/// Returns how many requests the cold target gets in [`REQUESTS`] ms.
fn sent(rate: f64) -> usize {
    let mut selector = selector(rate);
    let service = ServiceName::new("desk").expect("a name");
    let team = TeamName::new("desk").expect("a name");
    let requests = 0..REQUESTS;
    let sent = requests.filter(|request| {
        let criteria = Criteria {
            service: &service,
            contexts: &[],
            tried: &[],
            only: None,
            needs_slot: false,
            is_retry: false,
            content: Fingerprint::from(*request),
            parts: &[],
            team: &team,
        };
        let now = Time::from_millis(10_000 + request);
        selector.choose(&criteria, 0.5, now).is_ok()
    });
    sent.count()
}

/// Guards against the end of the task that chooses targets by a division by zero, because the time
/// between two requests at a high rate was less than a microsecond.
#[test]
fn high_cold_rates_do_not_limit() {
    for rate in [100_001.0, 1_000_001.0, 2e6, 1e18, f64::MAX, f64::INFINITY] {
        assert_eq!(sent(rate), 200, "{rate}");
    }
}

/// Guards against a cold target that is flooded, or a panic, where the rate is zero or a fraction.
#[test]
fn low_cold_rates_allow_few_requests() {
    for rate in [0.0, -1.0, f64::MIN_POSITIVE, 0.001, 0.5, 1.0] {
        assert!(sent(rate) <= 2, "{rate}");
    }
}

quickcheck! {
    /// Guards against any rate that makes the choice of a target panic.
    fn no_cold_rate_panics(rate: f64) -> bool {
        sent(rate) <= 200
    }
}
