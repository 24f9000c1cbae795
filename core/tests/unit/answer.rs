//! Tests of the internals of `src/answer.rs`.

use super::*;

fn attempt(number: u32) -> AttemptId {
    AttemptId {
        request: 7.into(),
        number,
    }
}

/// Guards against a cut answer that passes for whole, and against crossed answers.
#[test]
fn gaps_repeats_and_strangers_are_noticed() {
    let mut answer = AnswerAssembly::new(attempt(0));
    assert_eq!(answer.accept_part(attempt(0), 0, 4), Ok(0));
    assert_eq!(answer.accept_part(attempt(0), 0, 4), Ok(4));
    assert_eq!(answer.accept_part(attempt(0), 2, 4), Ok(2));
    answer.accept_part(attempt(0), 7, 1).unwrap_err();
    answer.accept_part(attempt(1), 6, 1).unwrap_err();
    answer.check_end(attempt(0), 7).unwrap_err();
    assert_eq!(answer.check_end(attempt(0), 6), Ok(()));
}
