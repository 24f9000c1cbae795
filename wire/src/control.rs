//! Messages by which a process asks a peer for the configuration.

use ebonyfall_core::{
    id::Offset,
    record::{Entry, Snapshot},
};
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
    /// The valid records after the offset that was asked for.
    Records(Vec<Entry>),
    /// The configuration that it has in force.
    Snapshot(Box<Snapshot>),
}
