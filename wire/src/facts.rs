//! Records of the `facts` stream: decisions on version moves that must survive a restart of all
//! processes but are not part of the configuration.

use ebonyfall_core::{id::DeclarationHash, name::MoveName, rollout::Verdict};
use serde::{Deserialize, Serialize};

use crate::form::{self, FormatError};

/// Format number of a record, its first byte.
const FORMAT: u8 = 1;

/// A decision that is final for all processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// The new version of a move is faulty.
    Faulty {
        /// Name of the version move.
        #[serde(rename = "step")]
        move_name: MoveName,
        /// Identifies the move's model and versions.
        declaration: DeclarationHash,
        /// The verdict with its evidence.
        verdict: Verdict,
    },
    /// There is enough evidence in favour of the new version for its share to rise.
    Cleared {
        /// Name of the version move.
        #[serde(rename = "step")]
        move_name: MoveName,
        /// Identifies the move's model and versions.
        declaration: DeclarationHash,
        /// When the version was cleared, in seconds since the Unix epoch.
        since: u64,
    },
}

impl Fact {
    /// Whether both state the same decision on the same move. Only the first one in the log counts.
    pub fn is_same_decision(&self, other: &Self) -> bool {
        match (self, other) {
            (
                Self::Faulty {
                    move_name,
                    declaration,
                    ..
                },
                Self::Faulty {
                    move_name: other_name,
                    declaration: other_declaration,
                    ..
                },
            )
            | (
                Self::Cleared {
                    move_name,
                    declaration,
                    ..
                },
                Self::Cleared {
                    move_name: other_name,
                    declaration: other_declaration,
                    ..
                },
            ) => move_name == other_name && declaration == other_declaration,
            _ => false,
        }
    }
}

/// Encodes a fact as a log record.
///
/// # Errors
///
/// Fails when the codec does.
pub fn encode(fact: &Fact) -> Result<Vec<u8>, FormatError> {
    form::encode(FORMAT, fact)
}

/// Decodes a log record.
///
/// # Errors
///
/// Fails when the record has another format or is malformed.
pub fn decode(data: &[u8]) -> Result<Fact, FormatError> {
    form::decode(FORMAT, data)
}

#[cfg(test)]
#[path = "../tests/unit/facts.rs"]
mod tests;
