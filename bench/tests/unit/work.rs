//! Tests of the checks of targets' work: each finds its fault, and accepts only its own excuses.

use http::StatusCode;

use super::*;
use crate::{callers::CallKind, harm::Harm};

/// Times in milliseconds after the start of a run.
struct Clock(Instant);

impl Clock {
    fn new() -> Self {
        Self(Instant::now())
    }

    fn at(&self, ms: u64) -> Instant {
        self.0 + Duration::from_millis(ms)
    }

    /// An attempt at router 0 that gets a gateway timeout.
    fn failed(&self, start: u64, end: u64) -> Attempt {
        Attempt {
            id: "1-0".to_owned(),
            kind: CallKind::ResumableStream,
            router: 0,
            began: self.at(start),
            took: Duration::from_millis(end - start),
            budget: Duration::from_secs(4),
            disconnected: false,
            status: Some(StatusCode::GATEWAY_TIMEOUT),
            sealed: false,
            after: None,
            body: Some(String::new()),
        }
    }

    fn left(&self, start: u64, end: u64) -> Attempt {
        Attempt {
            disconnected: true,
            status: None,
            body: None,
            ..self.failed(start, end)
        }
    }

    fn work(&self, begun: u64, ended: u64) -> Work {
        Work {
            id: "1-0".to_owned(),
            begun: self.at(begun),
            ended: Some(self.at(ended)),
            is_complete: false,
        }
    }
}

fn broken(attempt: &Attempt, targets: &[Vec<Work>], harm: &HarmLog) -> usize {
    WorkLog::new(targets).check(attempt, harm).len()
}

fn harmed(harm: Harm, start: Instant, end: Instant) -> HarmLog {
    let mut log = HarmLog::default();
    log.begin(harm, start);
    log.end(harm, end);
    log
}

/// Guards against an answer that is given up while its target is sound and passes as a fault of the
/// target.
#[test]
fn an_answer_that_its_router_ends_is_found() {
    let clock = Clock::new();
    let targets = [vec![clock.work(10_000, 11_200)]];
    let attempt = clock.failed(10_000, 11_200);
    assert_eq!(broken(&attempt, &targets, &HarmLog::default()), 1);
    for harm in [
        Harm::Answers(0),
        Harm::Crash(0),
        Harm::Connections(0),
        Harm::RouterEnded(0),
        Harm::RouterFrozen(0),
    ] {
        let recent = harmed(harm, clock.at(5_000), clock.at(7_100));
        assert_eq!(broken(&attempt, &targets, &recent), 0, "{harm:?}");
        let earlier = harmed(harm, clock.at(5_000), clock.at(6_900));
        assert_eq!(broken(&attempt, &targets, &earlier), 1, "{harm:?}");
        let later = harmed(harm, clock.at(11_300), clock.at(12_000));
        assert_eq!(broken(&attempt, &targets, &later), 1, "{harm:?}");
    }
}

/// Guards against excuses by harm that is done to another target or router.
#[test]
fn harm_elsewhere_excuses_nothing() {
    let clock = Clock::new();
    let targets = [vec![clock.work(10_000, 11_200)], Vec::new()];
    let attempt = clock.failed(10_000, 11_200);
    for harm in [Harm::Answers(1), Harm::RouterEnded(1)] {
        let log = harmed(harm, clock.at(9_000), clock.at(12_000));
        assert_eq!(broken(&attempt, &targets, &log), 1, "{harm:?}");
    }
}

/// Guards against reports of answers that had to end: at the caller's deadline or the route's timeout.
#[test]
fn deadlines_end_an_answer() {
    let clock = Clock::new();
    let targets = [vec![clock.work(10_000, 12_000)]];
    let at_timeout = clock.failed(10_000, 12_000);
    assert_eq!(broken(&at_timeout, &targets, &HarmLog::default()), 0);
    let at_deadline = Attempt {
        budget: Duration::from_millis(800),
        ..clock.failed(10_000, 10_800)
    };
    assert_eq!(broken(&at_deadline, &targets, &HarmLog::default()), 0);
}

/// Guards against a planned stop that excuses cuts before the end of its grace period, also when an
/// earlier stop ended in time.
#[test]
fn a_planned_stop_excuses_only_its_end() {
    let clock = Clock::new();
    let targets = [vec![clock.work(10_000, 11_200)]];
    let attempt = clock.failed(10_000, 11_200);
    let in_time = harmed(Harm::RouterEnded(0), clock.at(15_000), clock.at(12_000));
    assert_eq!(broken(&attempt, &targets, &in_time), 1);
    let mut late = HarmLog::default();
    late.begin(Harm::RouterEnded(0), clock.at(11_100));
    late.begin(Harm::RouterEnded(0), clock.at(14_000));
    assert_eq!(broken(&attempt, &targets, &late), 0);
}

/// Guards against a request that two targets work on for longer than 400 ms.
#[test]
fn concurrent_work_is_found() {
    let clock = Clock::new();
    let attempt = Attempt {
        status: Some(StatusCode::OK),
        ..clock.failed(10_000, 11_900)
    };
    let targets = |ended| {
        [
            vec![clock.work(10_000, ended)],
            vec![clock.work(11_000, 11_900)],
        ]
    };
    let calm = HarmLog::default();
    assert_eq!(broken(&attempt, &targets(11_390), &calm), 0);
    assert_eq!(broken(&attempt, &targets(11_410), &calm), 1);
    let frozen = harmed(Harm::RouterFrozen(0), clock.at(11_000), clock.at(11_300));
    assert_eq!(broken(&attempt, &targets(11_410), &frozen), 0);
    let answers = harmed(Harm::Answers(1), clock.at(11_000), clock.at(11_300));
    assert_eq!(broken(&attempt, &targets(11_410), &answers), 1);
}

/// Guards against work for callers that have left for longer than 500 ms.
#[test]
fn work_after_leaving_is_found() {
    let clock = Clock::new();
    let attempt = clock.left(10_000, 10_100);
    let calm = HarmLog::default();
    let targets = |begun, ended| [vec![clock.work(begun, ended)]];
    assert_eq!(broken(&attempt, &targets(10_000, 10_590), &calm), 0);
    assert_eq!(broken(&attempt, &targets(10_000, 10_610), &calm), 1);
    assert_eq!(broken(&attempt, &targets(10_700, 10_800), &calm), 1);
    let killed = harmed(Harm::RouterEnded(0), clock.at(10_200), clock.at(10_300));
    assert_eq!(broken(&attempt, &targets(10_000, 10_610), &killed), 0);
}
