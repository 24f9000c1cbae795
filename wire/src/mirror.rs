//! Messages with which a router reads streams of the platform's store from another router: most
//! routers of a large zone do so, and any router that the store does not answer.

use std::time::Duration;

use bytes::Bytes;
use ebonyfall_core::id::{Era, Offset, Position};
use serde::{Deserialize, Serialize};

/// A keyed stream that routers follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stream {
    /// Orders of operators.
    Orders,
    /// Status records that targets publish.
    Targets,
}

/// Request for the changes of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRead {
    /// The stream to read.
    pub stream: Stream,
    /// Position of the first record that the requesting router does not have.
    pub from: Position,
    /// Time for which the answer may wait for such a record.
    pub wait: Duration,
}

/// Answer to a [`StreamRead`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamChanges {
    /// Era of the offsets in `changes`. They are complete if the request named an earlier one.
    pub era: Era,
    /// The changes.
    pub changes: Changes,
}

/// The newest record of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The record's key in the stream.
    pub key: String,
    /// The record's value; `None` if the key was deleted.
    pub value: Option<Bytes>,
    /// Offset of the record in the stream.
    pub offset: Offset,
}

impl KeyRecord {
    /// Size of the key and the value, in bytes.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Bytes::len)
    }
}

/// Changes of a stream; alone, the answer to a read of a router that knows no eras.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Whether `records` holds all keys of the stream, so that keys missing from it were deleted.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// The newest record of each changed key, in the order of offsets.
    pub records: Vec<KeyRecord>,
    /// Offset after the last record that the answering router has.
    pub next: Offset,
    /// Time from when the platform last confirmed to the answering router that no newer record
    /// exists to the arrival of the request; zero if that was later, `None` if it never did.
    pub age: Option<Duration>,
}
