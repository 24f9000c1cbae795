//! Messages by which a router that the platform's store does not serve reads on from another one.

use std::time::Duration;

use bytes::Bytes;
use ebonyfall_core::id::Offset;
use serde::{Deserialize, Serialize};

/// A stream that routers follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stream {
    /// What operators ask for.
    Orders,
    /// What targets say of themselves.
    Targets,
}

/// Asks for what has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// The stream.
    pub stream: Stream,
    /// Offset of the first record that the asking router does not know.
    pub from: Offset,
}

/// The newest record of a key; without a value, the key was dropped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Option<Bytes>,
    /// Where the record lies in the stream.
    pub offset: Offset,
}

/// What has changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Whether these are all records, so that keys without one have been dropped.
    pub is_complete: bool,
    /// The newest records of keys that have changed, in the order of their offsets.
    pub records: Vec<KeyRecord>,
    /// Offset after the last record that the answering router knows.
    pub next: Offset,
    /// Age of the answering router's confirmation that there is nothing beyond, when it answers.
    pub age: Option<Duration>,
}
