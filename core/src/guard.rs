//! The agent's guard: runs each claim at most once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    claim::{ClaimId, ClaimRef},
    code::{Code, Ran},
    id::Incarnation,
};

/// What the guard knows of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Known {
    Running,
    Ended(Ran),
}

/// Answer to the wish that a claim never runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoidAnswer {
    /// It did not run and never will.
    Voided,
    /// It is running.
    Running,
    /// It has run.
    Finished,
    /// It may have run.
    Unknown,
}

/// Claims that the agent has seen. Claims at or below the floor that are not in the table may have
/// run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Guard {
    incarnation: Incarnation,
    capacity: usize,
    floor: Option<ClaimId>,
    known: BTreeMap<ClaimId, Known>,
}

impl Guard {
    /// The guard of an agent that starts as `incarnation` and remembers `capacity` claims.
    pub fn new(incarnation: Incarnation, capacity: usize) -> Self {
        Self {
            incarnation,
            capacity,
            floor: None,
            known: BTreeMap::new(),
        }
    }

    /// Number of claims remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Takes a claim that is about to run.
    ///
    /// # Errors
    ///
    /// Fails when the claim must not run here.
    pub fn enter(&mut self, claim: ClaimRef) -> Result<(), Code> {
        if claim.agent != self.incarnation {
            // The claim never reached its own incarnation, since its owner sends it once.
            return Err(Code::WrongTarget);
        }
        match self.known.get(&claim.id) {
            Some(Known::Running) => Err(Code::InProgress),
            Some(Known::Ended(Ran::NotRun)) => Err(Code::Voided),
            Some(Known::Ended(Ran::Ran)) => Err(Code::AlreadyRan),
            Some(Known::Ended(Ran::Unknown)) => Err(Code::OutcomeUnknown),
            None if self.floor.is_some_and(|floor| claim.id <= floor) => Err(Code::OutcomeUnknown),
            None => {
                self.insert(claim.id, Known::Running);
                Ok(())
            }
        }
    }

    /// Records the end of a claim that was taken; one that did not run never will.
    pub fn ended(&mut self, claim: ClaimId, ran: Ran) {
        if let Some(known) = self.known.get_mut(&claim) {
            *known = Known::Ended(ran);
        }
    }

    /// Makes sure that a claim never runs, unless it did or does.
    pub fn void(&mut self, claim: ClaimRef) -> VoidAnswer {
        if claim.agent != self.incarnation {
            // The earlier incarnation may have run it.
            return VoidAnswer::Unknown;
        }
        match self.known.get(&claim.id) {
            Some(Known::Running) => VoidAnswer::Running,
            Some(Known::Ended(Ran::NotRun)) => VoidAnswer::Voided,
            Some(Known::Ended(Ran::Ran)) => VoidAnswer::Finished,
            Some(Known::Ended(Ran::Unknown)) => VoidAnswer::Unknown,
            None if self.floor.is_some_and(|floor| claim.id <= floor) => VoidAnswer::Unknown,
            None => {
                self.insert(claim.id, Known::Ended(Ran::NotRun));
                VoidAnswer::Voided
            }
        }
    }

    fn insert(&mut self, claim: ClaimId, known: Known) {
        self.known.insert(claim, known);
        while self.known.len() > self.capacity {
            let evicted = self.known.pop_first().map(|(id, _)| id);
            self.floor = self.floor.max(evicted);
        }
    }
}

#[cfg(test)]
mod tests {
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
        let mut guard = Guard::new(7.into(), 2);
        for offset in [10, 20, 30] {
            assert_eq!(guard.enter(claim(offset, 7)), Ok(()));
            guard.ended(claim(offset, 7).id, Ran::Ran);
        }
        assert_eq!(guard.len(), 2);
        assert_eq!(guard.enter(claim(10, 7)), Err(Code::OutcomeUnknown));
        assert_eq!(guard.enter(claim(5, 7)), Err(Code::OutcomeUnknown));
        assert_eq!(guard.void(claim(5, 7)), VoidAnswer::Unknown);
        assert_eq!(guard.enter(claim(30, 7)), Err(Code::AlreadyRan));
        // A claim between the floor and the table's first entry is taken and evicted at once.
        assert_eq!(guard.enter(claim(15, 7)), Ok(()));
        assert_eq!(guard.enter(claim(15, 7)), Err(Code::OutcomeUnknown));
    }

    /// Guards against a claim that names an earlier incarnation, whose table is gone.
    #[test]
    fn other_incarnations_are_refused() {
        let mut guard = Guard::new(8.into(), 2);
        assert_eq!(guard.enter(claim(1, 7)), Err(Code::WrongTarget));
        assert_eq!(guard.void(claim(1, 7)), VoidAnswer::Unknown);
        assert!(guard.is_empty());
    }

    /// Guards against a paused owner that runs its claim after it was voided.
    #[test]
    fn voided_claims_never_run() {
        let mut guard = Guard::new(7.into(), 2);
        assert_eq!(guard.void(claim(1, 7)), VoidAnswer::Voided);
        assert_eq!(guard.enter(claim(1, 7)), Err(Code::Voided));
        assert_eq!(guard.enter(claim(2, 7)), Ok(()));
        assert_eq!(guard.void(claim(2, 7)), VoidAnswer::Running);
        guard.ended(claim(2, 7).id, Ran::NotRun);
        assert_eq!(guard.void(claim(2, 7)), VoidAnswer::Voided);
        assert_eq!(guard.enter(claim(2, 7)), Err(Code::Voided));
    }
}
