//! Records of the `facts` stream: what must outlive every process and is no configuration.

use ebonyfall_core::{id::Declaration, name::MoveName, rollout::Verdict};
use serde::{Deserialize, Serialize};

use crate::form::{self, FormatError};

/// Number of the record's form, its first byte.
const FORMAT: u8 = 1;

/// Something that holds for every process from then on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// The new version of a move is faulty.
    Faulty {
        /// The move.
        step: MoveName,
        /// Its model and versions.
        declaration: Declaration,
        /// The evidence.
        verdict: Verdict,
    },
    /// There is enough evidence in favour of the new version for its share to rise.
    Cleared {
        /// The move.
        step: MoveName,
        /// Its model and versions.
        declaration: Declaration,
        /// Since when, in seconds since the Unix epoch.
        since: u64,
    },
}

impl Fact {
    /// Whether both say the same of one move; the first one in the log is the one that counts.
    pub fn is_same(&self, other: &Self) -> bool {
        match (self, other) {
            (
                Self::Faulty {
                    step, declaration, ..
                },
                Self::Faulty {
                    step: name,
                    declaration: versions,
                    ..
                },
            )
            | (
                Self::Cleared {
                    step, declaration, ..
                },
                Self::Cleared {
                    step: name,
                    declaration: versions,
                    ..
                },
            ) => step == name && declaration == versions,
            _ => false,
        }
    }
}

/// Encodes a fact for the log.
///
/// # Errors
///
/// Fails when it cannot be encoded.
pub fn encode(fact: &Fact) -> Result<Vec<u8>, FormatError> {
    form::encode(FORMAT, fact)
}

/// Decodes a record of the log.
///
/// # Errors
///
/// Fails when the record has another form or is malformed.
pub fn decode(data: &[u8]) -> Result<Fact, FormatError> {
    form::decode(FORMAT, data)
}

#[cfg(test)]
#[path = "../tests/unit/facts.rs"]
mod tests;
