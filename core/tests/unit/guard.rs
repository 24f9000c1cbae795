//! Tests of the internals of `src/guard.rs`.

use super::*;

fn claim(offset: u64, agent: u64) -> ClaimRef {
    ClaimRef {
        id: ClaimId {
            offset: offset.into(),
            index: 0,
        },
        agent: agent.into(),
    }
}

/// Guards against executing a claim twice because its entry was evicted from the table, also if
/// the eviction happened as soon as the claim was inserted.
#[test]
fn evicted_claims_are_not_executed_again() {
    let mut guard = ClaimGuard::new(7.into(), 2);
    for offset in [10, 20, 30] {
        assert_eq!(guard.start_claim(claim(offset, 7)), Ok(()));
        guard.finish_claim(claim(offset, 7).id, Execution::Ran);
    }
    assert_eq!(guard.len(), 2);
    assert_eq!(guard.start_claim(claim(10, 7)), Err(Code::OutcomeUnknown));
    assert_eq!(guard.start_claim(claim(5, 7)), Err(Code::OutcomeUnknown));
    assert_eq!(guard.void(claim(5, 7)), VoidOutcome::Unknown);
    assert_eq!(guard.start_claim(claim(30, 7)), Err(Code::AlreadyRan));
    // A claim between the newest evicted one and the oldest in the table is inserted and evicted
    // at once.
    assert_eq!(guard.start_claim(claim(15, 7)), Ok(()));
    assert_eq!(guard.start_claim(claim(15, 7)), Err(Code::OutcomeUnknown));
}

/// Guards against executing a claim for an earlier incarnation, whose table was lost on restart.
#[test]
fn other_incarnations_are_refused() {
    let mut guard = ClaimGuard::new(8.into(), 2);
    assert_eq!(guard.start_claim(claim(1, 7)), Err(Code::WrongTarget));
    assert_eq!(guard.void(claim(1, 7)), VoidOutcome::Unknown);
    assert!(guard.is_empty());
}

/// Guards against executing a claim that was voided while its owner was paused.
#[test]
fn voided_claims_are_never_executed() {
    let mut guard = ClaimGuard::new(7.into(), 2);
    assert_eq!(guard.void(claim(1, 7)), VoidOutcome::Voided);
    assert_eq!(guard.start_claim(claim(1, 7)), Err(Code::Voided));
    assert_eq!(guard.start_claim(claim(2, 7)), Ok(()));
    assert_eq!(guard.void(claim(2, 7)), VoidOutcome::Running);
    guard.finish_claim(claim(2, 7).id, Execution::NotRun);
    assert_eq!(guard.void(claim(2, 7)), VoidOutcome::Voided);
    assert_eq!(guard.start_claim(claim(2, 7)), Err(Code::Voided));
}
