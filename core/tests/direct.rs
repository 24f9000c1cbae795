//! Tests of requests that routers send to targets directly: classification of answers, and
//! decisions after failed attempts.

use std::time::Duration;

use ebonyfall_core::{
    code::{Code, Execution},
    desired::{DesiredRoute, ResponseKind},
    direct::{AnswerHead, AnswerKind, DirectRequest, Failure, NextStep},
    doc::Idempotency,
    name::{RouteName, TargetName},
    notice::Notices,
    time::Time,
};
use quickcheck::quickcheck;

const FAILURES: [Failure; 7] = [
    Failure::NotSent,
    Failure::Declined,
    Failure::WrongTarget,
    Failure::Broken,
    Failure::Oversized,
    Failure::TimedOut,
    Failure::Failed,
];

fn route(idempotency: Idempotency, response: ResponseKind, max_attempts: u32) -> DesiredRoute {
    DesiredRoute {
        name: RouteName::new("r").expect("the literal is a name"),
        host: "h".into(),
        path_prefix: "/".into(),
        idempotency,
        response,
        timeout: Duration::from_secs(2),
        latency_objective: Duration::from_millis(200),
        max_event_gap: None,
        priority: 0,
        shares: Vec::new(),
        max_attempts,
        public: false,
        cache_affinity: false,
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
        notices: Notices::default(),
    }
}

/// Guards against accepting an answer that belongs to another request, has no seal or is encoded.
#[test]
fn only_a_sealed_answer_to_the_request_is_a_success() {
    assert_eq!(head(200).kind(), AnswerKind::Answer);
    let unrelated = [
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
    for head in unrelated {
        assert_eq!(head.kind(), AnswerKind::Unrelated, "{head:?}");
    }
    assert_eq!(head(404).kind(), AnswerKind::Answer);
}

/// Guards against an interim or invalid status that ends a request, or that states that it has not run.
#[test]
fn a_status_of_no_final_answer_says_nothing() {
    for status in [0, 20, 99, 100, 101, 199, 600, 999, 2_000] {
        for not_run in [false, true] {
            let head = AnswerHead {
                not_run,
                ..head(status)
            };
            assert_eq!(head.kind(), AnswerKind::Unrelated, "{head:?}");
            assert!(!head.may_pass_on(), "{head:?}");
        }
    }
}

/// Guards against a refusal that a target wrote earlier, and writes once more on a kept connection,
/// being taken for the answer to a request that the target runs: only a refusal that names this
/// attempt proves that it did not run.
#[test]
fn only_a_refusal_of_this_attempt_proves_that_it_did_not_run() {
    let not_run =
        |head: &AnswerHead| matches!(head.kind(), AnswerKind::Declined | AnswerKind::WrongTarget);
    for status in [400, 421, 429, 503] {
        for sealed in [false, true] {
            let refusal = AnswerHead {
                not_run: true,
                sealed,
                ..head(status)
            };
            assert!(not_run(&refusal), "{refusal:?}");
            for matches in [None, Some(false)] {
                let stale = AnswerHead {
                    matches,
                    ..refusal.clone()
                };
                assert_eq!(stale.kind(), AnswerKind::Unrelated, "{stale:?}");
            }
        }
    }
    for status in [408, 421, 429, 503] {
        let unmarked = head(status);
        assert_eq!(unmarked.kind(), AnswerKind::Failed, "{unmarked:?}");
        assert!(
            !unmarked.may_pass_on(),
            "the status would state that it did not run"
        );
    }
    for status in [200, 204, 302, 404, 408, 500, 502] {
        let contradictory = AnswerHead {
            not_run: true,
            ..head(status)
        };
        assert_eq!(
            contradictory.kind(),
            AnswerKind::Unrelated,
            "{contradictory:?}"
        );
    }
}

/// Guards against an error answer to another request, or one that the target did not seal, being
/// passed on as the target's answer.
#[test]
fn only_a_sealed_failure_of_this_attempt_is_passed_on() {
    assert!(head(500).may_pass_on());
    for matches in [None, Some(false)] {
        let stale = AnswerHead {
            matches,
            ..head(500)
        };
        assert_eq!(stale.kind(), AnswerKind::Unrelated);
        assert!(!stale.may_pass_on());
    }
    let unsealed = AnswerHead {
        sealed: false,
        ..head(500)
    };
    assert_eq!(unsealed.kind(), AnswerKind::Failed);
    assert!(!unsealed.may_pass_on());
}

quickcheck! {
    /// Guards against non-idempotent requests that are repeated after they may have run, codes that
    /// wrongly state that a request did not run, more attempts than the route allows, streams that
    /// are restarted from the beginning, attempts after the deadline, and attempts that do not count
    /// as retries although an earlier one has arrived at a target, even at a wrong one.
    fn invariants_hold_after_any_failures(
        failures: Vec<u8>,
        not_idempotent: bool,
        stream: bool,
        attempts: u8,
        answer_begins_at: u8,
        pause: u16
    ) -> bool {
        let idempotency =
            if not_idempotent { Idempotency::AtMostOnce } else { Idempotency::Idempotent };
        let response = if stream {
            ResponseKind::EventStream { resumable: !not_idempotent }
        } else {
            ResponseKind::Single
        };
        let attempts = u32::from(attempts % 3) + 1;
        let mut now = Time::from_millis(1_000);
        let deadline = now + Duration::from_secs(2);
        let mut request =
            DirectRequest::start(
            &route(idempotency, response, attempts),
            Duration::from_secs(9),
            now,
        );
        let (mut received, mut arrived, mut may_have_run) = (0, false, false);
        for (index, failure) in failures.into_iter().enumerate() {
            if usize::from(answer_begins_at) == index {
                request.record_answer_begun();
            }
            let begun = index >= usize::from(answer_begins_at);
            let failure = FAILURES[usize::from(failure) % FAILURES.len()];
            received += u32::from(!matches!(failure, Failure::NotSent | Failure::WrongTarget));
            arrived |= failure != Failure::NotSent;
            may_have_run |= failure.code().execution() != Execution::NotRun;
            now = now + Duration::from_millis(u64::from(pause % 700));
            let target = TargetName::new(format!("t{index}")).expect("the name is valid");
            let allowed = match request.on_failure(&target, failure, now) {
                NextStep::Again { repeat } => {
                    let budgeted = repeat == arrived;
                    let may_repeat = !(not_idempotent && may_have_run);
                    let may_restart = !begun || (stream && !not_idempotent);
                    if budgeted
                        && may_repeat
                        && may_restart
                        && received < attempts
                        && now < deadline
                    {
                        continue;
                    }
                    false
                }
                NextStep::PassOn => failure == Failure::Failed && !begun,
                NextStep::GiveUp(code) => {
                    !may_have_run && !begun || code.execution() != Execution::NotRun
                }
            };
            return allowed;
        }
        let code_when_refused = request.final_code(Code::Overloaded);
        !may_have_run || code_when_refused.execution() != Execution::NotRun
    }
}
