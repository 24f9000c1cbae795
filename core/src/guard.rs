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
#[path = "../tests/unit/guard.rs"]
mod tests;
