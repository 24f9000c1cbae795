//! Requests that are sent to targets directly: what heads mean, and what follows a failure.

use std::time::Duration;

use ebonyfall_core::{
    code::{Code, Ran},
    desired::{Form, Route},
    doc::Repeat,
    name::{RouteName, TargetName},
    passage::{AnswerHead, AnswerKind, DirectRequest, Failure, NextStep},
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

fn route(repeat: Repeat, form: Form, attempts: u32) -> Route {
    Route {
        name: RouteName::new("r").expect("the literal is a name"),
        host: "h".into(),
        prefix: "/".into(),
        repeat,
        form,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(200),
        priority: 0,
        shares: Vec::new(),
        attempts,
        public: false,
        warm: false,
    }
}

fn head(status: u16) -> AnswerHead {
    AnswerHead {
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
    assert_eq!(head(200).kind(), AnswerKind::Answer);
    let foreign = [
        AnswerHead {
            matches: Some(false),
            ..head(200)
        },
        AnswerHead {
            matches: None,
            ..head(200)
        },
        AnswerHead {
            sealed: false,
            ..head(200)
        },
        AnswerHead {
            encoded: true,
            ..head(200)
        },
        AnswerHead {
            matches: Some(false),
            ..head(500)
        },
        AnswerHead {
            matches: Some(false),
            not_run: true,
            ..head(503)
        },
    ];
    for head in foreign {
        assert_eq!(head.kind(), AnswerKind::Unrelated, "{head:?}");
    }
    let declined = AnswerHead {
        not_run: true,
        sealed: false,
        ..head(503)
    };
    assert_eq!(declined.kind(), AnswerKind::Declined);
    // A 503 without that word may have run.
    assert_eq!(head(503).kind(), AnswerKind::Failed);
    assert_eq!(head(421).kind(), AnswerKind::WrongTarget);
    assert_eq!(head(404).kind(), AnswerKind::Answer);
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
        let repeat = if unsafe_one { Repeat::AtMostOnce } else { Repeat::Idempotent };
        let form = if stream { Form::Events { resumable: !unsafe_one } } else { Form::Whole };
        let attempts = u32::from(attempts % 3) + 1;
        let mut now = Time::from_millis(1_000);
        let expires = now + Duration::from_secs(2);
        let mut passage = DirectRequest::start(&route(repeat, form, attempts), Duration::from_secs(9), now);
        let (mut received, mut may_have_run) = (0, false);
        for (turn, failure) in failures.into_iter().enumerate() {
            if usize::from(begun_at) == turn {
                passage.record_answer_begun();
            }
            let begun = turn >= usize::from(begun_at);
            let failure = FAILURES[usize::from(failure) % FAILURES.len()];
            received += u32::from(!matches!(failure, Failure::NotSent | Failure::WrongTarget));
            may_have_run |= failure.code().ran() != Ran::NotRun;
            now = now + Duration::from_millis(u64::from(pause % 700));
            let target = TargetName::new(format!("t{turn}")).expect("the name is valid");
            let ok = match passage.on_failure(&target, failure, now) {
                NextStep::Again { repeat } => {
                    let spent = repeat || received == 0;
                    let once = !(unsafe_one && may_have_run);
                    let whole = !begun || (stream && !unsafe_one);
                    if spent && once && whole && received < attempts && now < expires {
                        continue;
                    }
                    false
                }
                NextStep::PassOn => failure == Failure::Failed && !begun,
                NextStep::GiveUp(code) => !may_have_run && !begun || code.ran() != Ran::NotRun,
            };
            return ok;
        }
        let refused = passage.final_code(Code::Overloaded);
        !may_have_run || refused.ran() != Ran::NotRun
    }
}
