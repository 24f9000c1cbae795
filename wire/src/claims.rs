//! Records of the `claims` stream.

use ebonyfall_core::{claim::Entry, id::Offset};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

/// Stream of the platform's log that holds the claims.
pub const CLAIMS_STREAM: &str = "claims";
/// Version of the records that this build writes, and the newest that it reads.
pub const CLAIMS_VERSION: u16 = 1;

/// A record that cannot be used.
#[derive(Debug, Snafu)]
pub enum ClaimsError {
    /// It cannot be decoded or encoded.
    #[snafu(display("record of the claims stream is malformed: {source}"))]
    Malformed {
        /// The codec's error.
        source: postcard::Error,
    },
    /// A newer build wrote it.
    #[snafu(display("record has version {found}; upgrade this process"))]
    Newer {
        /// The record's version.
        found: u16,
    },
}

/// From a router to the writer of its claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// What to append, in this order.
    pub entries: Vec<Entry>,
}

/// The writer's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Forwarded {
    /// The entries are in the record at this offset.
    Appended(Offset),
    /// The entries are not in the log and never will be.
    Refused,
    /// The entries may be in the log, or come into it later.
    Unknown,
}

#[derive(Serialize, Deserialize)]
struct ClaimBatch {
    version: u16,
    entries: Vec<Entry>,
}

/// Encodes a batch.
///
/// # Errors
///
/// Fails when an entry cannot be encoded.
pub fn encode(entries: Vec<Entry>) -> Result<Vec<u8>, ClaimsError> {
    let batch = ClaimBatch {
        version: CLAIMS_VERSION,
        entries,
    };
    postcard::to_stdvec(&batch).context(MalformedSnafu)
}

/// Decodes a batch.
///
/// # Errors
///
/// Fails when the record is malformed or of a newer version.
pub fn decode(data: &[u8]) -> Result<Vec<Entry>, ClaimsError> {
    let (version, _rest) = postcard::take_from_bytes::<u16>(data).context(MalformedSnafu)?;
    ensure!(version <= CLAIMS_VERSION, NewerSnafu { found: version });
    let batch: ClaimBatch = postcard::from_bytes(data).context(MalformedSnafu)?;
    Ok(batch.entries)
}

#[cfg(test)]
#[path = "../tests/unit/claims.rs"]
mod tests;
