//! Messages by which a process asks a peer for the configuration.

use bytes::Bytes;
use ebonyfall_core::id::Offset;
use serde::{Deserialize, Serialize};

/// What a process asks a peer for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToPeer {
    /// The newest configuration if its offset is higher than this one.
    ConfigAfter(Option<Offset>),
}

/// What the peer answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromPeer {
    /// It knows nothing newer.
    Nothing,
    /// It has answered too much lately; ask another one.
    Busy,
    /// The newest configuration that it has in force.
    Config {
        /// Offset of the configuration's record.
        offset: Offset,
        /// SHA-256 of the document.
        digest: [u8; 32],
        /// The document.
        document: Bytes,
    },
}
