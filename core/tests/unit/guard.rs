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

/// Guards against a claim that runs again after its entry was evicted, or after its own
/// eviction on arrival below the floor.
#[test]
fn claims_below_the_floor_do_not_run() {
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
    // A claim between the floor and the table's first entry is taken and evicted at once.
    assert_eq!(guard.start_claim(claim(15, 7)), Ok(()));
    assert_eq!(guard.start_claim(claim(15, 7)), Err(Code::OutcomeUnknown));
}

/// Guards against a claim that names an earlier incarnation, whose table is gone.
#[test]
fn other_incarnations_are_refused() {
    let mut guard = ClaimGuard::new(8.into(), 2);
    assert_eq!(guard.start_claim(claim(1, 7)), Err(Code::WrongTarget));
    assert_eq!(guard.void(claim(1, 7)), VoidOutcome::Unknown);
    assert!(guard.is_empty());
}

/// Guards against a paused owner that runs its claim after it was voided.
#[test]
fn voided_claims_never_run() {
    let mut guard = ClaimGuard::new(7.into(), 2);
    assert_eq!(guard.void(claim(1, 7)), VoidOutcome::Voided);
    assert_eq!(guard.start_claim(claim(1, 7)), Err(Code::Voided));
    assert_eq!(guard.start_claim(claim(2, 7)), Ok(()));
    assert_eq!(guard.void(claim(2, 7)), VoidOutcome::Running);
    guard.finish_claim(claim(2, 7).id, Execution::NotRun);
    assert_eq!(guard.void(claim(2, 7)), VoidOutcome::Voided);
    assert_eq!(guard.start_claim(claim(2, 7)), Err(Code::Voided));
}
