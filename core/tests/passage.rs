//! Requests that are sent to targets directly: what heads mean, and what follows a failure.

use std::time::Duration;

use ebonyfall_core::{
    code::{Code, Execution},
    desired::{ResponseKind, Route},
    doc::Idempotency,
    name::{RouteName, TargetName},
    passage::{Failure, Head, Meaning, Next, Passage},
    time::Time,
};
use quickcheck::quickcheck;

const FAILURES: [Failure; 6] = [
    Failure::NotSent,
    Failure::Declined,
    Failure::WrongTarget,
    Failure::Broken,
    Failure::Silent,
    Failure::Failed,
];

fn route(idempotency: Idempotency, response: ResponseKind, max_attempts: u32) -> Route {
    Route {
        name: RouteName::new("r").expect("the literal is a name"),
        host: "h".into(),
        path_prefix: "/".into(),
        idempotency,
        response,
        timeout: Duration::from_secs(2),
        latency_objective: Duration::from_millis(200),
        priority: 0,
        shares: Vec::new(),
        max_attempts,
        public: false,
        cache_affinity: false,
    }
}

fn head(status: u16) -> Head {
    Head {
        status,
        sealed: true,
        matches: Some(true),
        not_run: false,
        encoded: false,
        load: None,
    }
}

/// Guards against answers of other requests, without a receipt or encoded, that pass for success.
#[test]
fn only_an_own_sealed_answer_is_a_success() {
    assert_eq!(head(200).meaning(), Meaning::Answer);
    let foreign = [
        Head {
            matches: Some(false),
            ..head(200)
        },
        Head {
            matches: None,
            ..head(200)
        },
        Head {
            sealed: false,
            ..head(200)
        },
        Head {
            encoded: true,
            ..head(200)
        },
        Head {
            matches: Some(false),
            ..head(500)
        },
        Head {
            matches: Some(false),
            not_run: true,
            ..head(503)
        },
    ];
    for head in foreign {
        assert_eq!(head.meaning(), Meaning::Foreign, "{head:?}");
    }
    let declined = Head {
        not_run: true,
        sealed: false,
        ..head(503)
    };
    assert_eq!(declined.meaning(), Meaning::Declined);
    // A 503 without that word may have run.
    assert_eq!(head(503).meaning(), Meaning::Failed);
    assert_eq!(head(421).meaning(), Meaning::WrongTarget);
    assert_eq!(head(404).meaning(), Meaning::Answer);
}

quickcheck! {
    /// Guards against unsafe requests that are sent again after they may have run, refusals that
    /// claim that a request did not run, more targets than the route allows, streams that are
    /// begun again, and requests that go on after their time.
    fn promises_hold_after_any_failures(
        failures: Vec<u8>,
        unsafe_one: bool,
        stream: bool,
        attempts: u8,
        begun_at: u8,
        pause: u16
    ) -> bool {
        let idempotency =
            if unsafe_one { Idempotency::AtMostOnce } else { Idempotency::Idempotent };
        let response = if stream {
            ResponseKind::EventStream { resumable: !unsafe_one }
        } else {
            ResponseKind::Single
        };
        let attempts = u32::from(attempts % 3) + 1;
        let mut now = Time::from_millis(1_000);
        let expires = now + Duration::from_secs(2);
        let mut passage =
            Passage::start(&route(idempotency, response, attempts), Duration::from_secs(9), now);
        let (mut received, mut may_have_run) = (0, false);
        for (turn, failure) in failures.into_iter().enumerate() {
            if usize::from(begun_at) == turn {
                passage.passed_on();
            }
            let begun = turn >= usize::from(begun_at);
            let failure = FAILURES[usize::from(failure) % FAILURES.len()];
            received += u32::from(!matches!(failure, Failure::NotSent | Failure::WrongTarget));
            may_have_run |= failure.code().execution() != Execution::NotRun;
            now = now + Duration::from_millis(u64::from(pause % 700));
            let target = TargetName::new(format!("t{turn}")).expect("the name is valid");
            let ok = match passage.failed(&target, failure, now) {
                Next::Again { repeat } => {
                    let spent = repeat || received == 0;
                    let once = !(unsafe_one && may_have_run);
                    let whole = !begun || (stream && !unsafe_one);
                    if spent && once && whole && received < attempts && now < expires {
                        continue;
                    }
                    false
                }
                Next::PassOn => failure == Failure::Failed && !begun,
                Next::GiveUp(code) => {
                    !may_have_run && !begun || code.execution() != Execution::NotRun
                }
            };
            return ok;
        }
        let refused = passage.final_code(Code::Overloaded);
        !may_have_run || refused.execution() != Execution::NotRun
    }
}
