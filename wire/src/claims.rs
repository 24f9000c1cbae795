//! Encoding of the records of the `claims` stream, and the messages by which routers forward
//! entries to its writer.

use ebonyfall_core::{claim::ClaimEntry, id::Offset};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

/// Stream of the platform's log that holds the claims.
pub const CLAIMS_STREAM: &str = "claims";
/// Record version that this build writes, and the newest one that it can read.
pub const CLAIMS_VERSION: u16 = 1;

/// Why a record of the `claims` stream cannot be used.
#[derive(Debug, Snafu)]
pub enum ClaimsError {
    /// The record cannot be decoded or encoded.
    #[snafu(display("record of the claims stream is malformed: {source}"))]
    Malformed {
        /// The error of the codec.
        source: postcard::Error,
    },
    /// The record was written by a newer build.
    #[snafu(display(
        "record of the claims stream has newer version {found}; upgrade this process"
    ))]
    Newer {
        /// Version of the record.
        found: u16,
    },
}

/// Request of a router to the process that writes its claims into the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The entries to append, in this order.
    pub entries: Vec<ClaimEntry>,
}

/// The writer's answer to a [`ForwardRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The entries are in the record at this offset.
    Appended(Offset),
    /// The entries are not in the log and will not be appended.
    Refused,
    /// The entries may be in the log or may still be appended.
    Unknown,
}

#[derive(Serialize, Deserialize)]
struct ClaimBatch {
    version: u16,
    entries: Vec<ClaimEntry>,
}

/// Encodes entries as one record.
///
/// # Errors
///
/// Fails when an entry cannot be encoded.
pub fn encode(entries: Vec<ClaimEntry>) -> Result<Vec<u8>, ClaimsError> {
    let batch = ClaimBatch {
        version: CLAIMS_VERSION,
        entries,
    };
    postcard::to_stdvec(&batch).context(MalformedSnafu)
}

/// Decodes the entries of a record.
///
/// # Errors
///
/// Fails when the record is malformed or of a newer version.
pub fn decode(data: &[u8]) -> Result<Vec<ClaimEntry>, ClaimsError> {
    let (version, _rest) = postcard::take_from_bytes::<u16>(data).context(MalformedSnafu)?;
    ensure!(version <= CLAIMS_VERSION, NewerSnafu { found: version });
    let batch: ClaimBatch = postcard::from_bytes(data).context(MalformedSnafu)?;
    Ok(batch.entries)
}

#[cfg(test)]
#[path = "../tests/unit/claims.rs"]
mod tests;
