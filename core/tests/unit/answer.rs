//! Tests of the internals of `src/answer.rs`.

use super::*;

fn attempt(number: u32) -> AttemptId {
    AttemptId {
        request: 7.into(),
        number,
    }
}

/// Guards against a truncated answer that is accepted as complete, and against parts of another
/// attempt's answer.
#[test]
fn gaps_repeated_bytes_and_other_attempts_are_detected() {
    let mut answer = AnswerAssembly::new(attempt(0));
    assert_eq!(answer.accept_part(attempt(0), 0, 4), Ok(0));
    assert_eq!(answer.accept_part(attempt(0), 0, 4), Ok(4));
    assert_eq!(answer.accept_part(attempt(0), 2, 4), Ok(2));
    answer.accept_part(attempt(0), 7, 1).unwrap_err();
    answer.accept_part(attempt(1), 6, 1).unwrap_err();
    answer.check_end(attempt(0), 7).unwrap_err();
    assert_eq!(answer.check_end(attempt(0), 6), Ok(()));
}
