//! The agent's guard: runs each claim at most once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    claim::{ClaimId, ClaimRef},
    code::{Code, Execution},
    id::Incarnation,
};

/// What the guard knows of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum ClaimState {
    Running,
    Ended(Execution),
}

/// Answer to the wish that a claim never runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoidOutcome {
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
pub struct ClaimGuard {
    incarnation: Incarnation,
    capacity: usize,
    evicted_up_to: Option<ClaimId>,
    known: BTreeMap<ClaimId, ClaimState>,
}

impl ClaimGuard {
    /// The guard of an agent that starts as `incarnation` and remembers `capacity` claims.
    pub fn new(incarnation: Incarnation, capacity: usize) -> Self {
        Self {
            incarnation,
            capacity,
            evicted_up_to: None,
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
    pub fn start_claim(&mut self, claim: ClaimRef) -> Result<(), Code> {
        if claim.agent != self.incarnation {
            // The claim never reached its own incarnation, since its owner sends it once.
            return Err(Code::WrongTarget);
        }
        match self.known.get(&claim.id) {
            Some(ClaimState::Running) => Err(Code::InProgress),
            Some(ClaimState::Ended(Execution::NotRun)) => Err(Code::Voided),
            Some(ClaimState::Ended(Execution::Ran)) => Err(Code::AlreadyRan),
            Some(ClaimState::Ended(Execution::Unknown)) => Err(Code::OutcomeUnknown),
            None if self
                .evicted_up_to
                .is_some_and(|evicted_up_to| claim.id <= evicted_up_to) =>
            {
                Err(Code::OutcomeUnknown)
            }
            None => {
                self.insert(claim.id, ClaimState::Running);
                Ok(())
            }
        }
    }

    /// Records the end of a claim that was taken; one that did not run never will.
    pub fn finish_claim(&mut self, claim: ClaimId, ran: Execution) {
        if let Some(known) = self.known.get_mut(&claim) {
            *known = ClaimState::Ended(ran);
        }
    }

    /// Makes sure that a claim never runs, unless it did or does.
    pub fn void(&mut self, claim: ClaimRef) -> VoidOutcome {
        if claim.agent != self.incarnation {
            // The earlier incarnation may have run it.
            return VoidOutcome::Unknown;
        }
        match self.known.get(&claim.id) {
            Some(ClaimState::Running) => VoidOutcome::Running,
            Some(ClaimState::Ended(Execution::NotRun)) => VoidOutcome::Voided,
            Some(ClaimState::Ended(Execution::Ran)) => VoidOutcome::Finished,
            Some(ClaimState::Ended(Execution::Unknown)) => VoidOutcome::Unknown,
            None if self
                .evicted_up_to
                .is_some_and(|evicted_up_to| claim.id <= evicted_up_to) =>
            {
                VoidOutcome::Unknown
            }
            None => {
                self.insert(claim.id, ClaimState::Ended(Execution::NotRun));
                VoidOutcome::Voided
            }
        }
    }

    fn insert(&mut self, claim: ClaimId, known: ClaimState) {
        self.known.insert(claim, known);
        while self.known.len() > self.capacity {
            let evicted = self.known.pop_first().map(|(id, _)| id);
            self.evicted_up_to = self.evicted_up_to.max(evicted);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/guard.rs"]
mod tests;
