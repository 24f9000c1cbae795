//! Records of the `facts` stream: what must outlive every process and is no configuration.

use ebonyfall_core::{id::Declaration, name::MoveName, rollout::Verdict};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

/// Number of the record's form, its first byte.
const FORM: u8 = 1;

/// A record that cannot be used.
#[derive(Debug, Snafu)]
pub enum FactError {
    /// It was written in a form that this build does not know.
    #[snafu(display("a fact has an unknown form; upgrade this process"))]
    Form,
    /// It cannot be decoded or encoded.
    #[snafu(display("a fact cannot be decoded: {source}"))]
    Codec {
        /// The codec's error.
        source: postcard::Error,
    },
}

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
pub fn encode(fact: &Fact) -> Result<Vec<u8>, FactError> {
    postcard::to_extend(fact, vec![FORM]).context(CodecSnafu)
}

/// Decodes a record of the log.
///
/// # Errors
///
/// Fails when the record has another form or is malformed.
pub fn decode(data: &[u8]) -> Result<Fact, FactError> {
    ensure!(data.first() == Some(&FORM), FormSnafu);
    postcard::from_bytes(&data[1..]).context(CodecSnafu)
}

#[cfg(test)]
#[path = "../tests/unit/facts.rs"]
mod tests;
