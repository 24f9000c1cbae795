//! Ensures that an agent executes each claim at most once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    claim::{ClaimId, ClaimRef},
    code::{Code, Execution},
    id::Incarnation,
};

/// State of a claim that is in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum ExecutionState {
    Running,
    Ended(Execution),
}

/// Result of an attempt to void a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoidOutcome {
    /// The claim was not executed and never will be.
    Voided,
    /// The claim is being executed.
    Running,
    /// The claim has been executed.
    Finished,
    /// The claim may have been executed.
    Unknown,
}

/// Table of the newest claims that the agent has received. A claim that is not in the table may
/// have been executed if its id is not above `evicted_up_to`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimGuard {
    incarnation: Incarnation,
    capacity: usize,
    evicted_up_to: Option<ClaimId>,
    claims: BTreeMap<ClaimId, ExecutionState>,
}

impl ClaimGuard {
    /// Creates the guard of an agent with this incarnation number. The table keeps up to `capacity`
    /// claims.
    pub fn new(incarnation: Incarnation, capacity: usize) -> Self {
        Self {
            incarnation,
            capacity,
            evicted_up_to: None,
            claims: BTreeMap::new(),
        }
    }

    /// Number of claims in the table.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the table has no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Records that the execution of a claim starts.
    ///
    /// # Errors
    ///
    /// Fails if the claim must not be executed by this agent, with the code for the caller.
    pub fn start_claim(&mut self, claim: ClaimRef) -> Result<(), Code> {
        if claim.agent != self.incarnation {
            // The owner sends a claim once, so the incarnation that the claim names has not got it.
            return Err(Code::WrongTarget);
        }
        match self.claims.get(&claim.id) {
            Some(ExecutionState::Running) => Err(Code::InProgress),
            Some(ExecutionState::Ended(Execution::NotRun)) => Err(Code::Voided),
            Some(ExecutionState::Ended(Execution::Ran)) => Err(Code::AlreadyRan),
            Some(ExecutionState::Ended(Execution::Unknown)) => Err(Code::OutcomeUnknown),
            None if self
                .evicted_up_to
                .is_some_and(|evicted_up_to| claim.id <= evicted_up_to) =>
            {
                Err(Code::OutcomeUnknown)
            }
            None => {
                self.insert(claim.id, ExecutionState::Running);
                Ok(())
            }
        }
    }

    /// Records that the execution of a claim has ended. A claim that was not executed never will
    /// be.
    pub fn finish_claim(&mut self, claim: ClaimId, ran: Execution) {
        if let Some(state) = self.claims.get_mut(&claim) {
            *state = ExecutionState::Ended(ran);
        }
    }

    /// Prevents the execution of a claim, unless it has already started.
    pub fn void(&mut self, claim: ClaimRef) -> VoidOutcome {
        if claim.agent != self.incarnation {
            // The earlier incarnation may have executed the claim.
            return VoidOutcome::Unknown;
        }
        match self.claims.get(&claim.id) {
            Some(ExecutionState::Running) => VoidOutcome::Running,
            Some(ExecutionState::Ended(Execution::NotRun)) => VoidOutcome::Voided,
            Some(ExecutionState::Ended(Execution::Ran)) => VoidOutcome::Finished,
            Some(ExecutionState::Ended(Execution::Unknown)) => VoidOutcome::Unknown,
            None if self
                .evicted_up_to
                .is_some_and(|evicted_up_to| claim.id <= evicted_up_to) =>
            {
                VoidOutcome::Unknown
            }
            None => {
                self.insert(claim.id, ExecutionState::Ended(Execution::NotRun));
                VoidOutcome::Voided
            }
        }
    }

    fn insert(&mut self, claim: ClaimId, state: ExecutionState) {
        self.claims.insert(claim, state);
        while self.claims.len() > self.capacity {
            let evicted = self.claims.pop_first().map(|(id, _)| id);
            self.evicted_up_to = self.evicted_up_to.max(evicted);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/guard.rs"]
mod tests;
