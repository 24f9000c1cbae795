//! Messages with which a process requests the configuration from a peer.

use ebonyfall_core::{
    id::Offset,
    record::{Entry, Snapshot},
};
use serde::{Deserialize, Serialize};

/// A request to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToPeer {
    /// Requests the peer's configuration if its offset is higher than this one; with `None`, at any
    /// offset.
    ConfigAfter(Option<Offset>),
}

/// The peer's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromPeer {
    /// The peer has no newer configuration.
    Nothing,
    /// The peer has reached its rate limit; another peer should be asked.
    Busy,
    /// The valid records after the requested offset.
    Records(Vec<Entry>),
    /// The configuration that the peer has in force.
    Snapshot(Box<Snapshot>),
}
