//! Identifiers that processes exchange in messages and records.

use std::fmt;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

macro_rules! ids {
    ($($(#[$meta:meta])* $name:ident($of:ty) as $format:literal;)*) => {$(
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into, Serialize,
            Deserialize,
        )]
        pub struct $name($of);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, $format, self.0)
            }
        }
    )*};
}

ids! {
    /// Identifier of a caller's request, unique across all routers.
    RequestId(u128) as "{:032x}";
    /// Identifier of a chat: a 64-bit hash.
    ChatId(u64) as "{:016x}";
    /// Incarnation number of a process or engine, which increases with every restart.
    #[derive(Default)]
    Incarnation(u64) as "{}";
    /// Position of a record in a stream of the platform's log.
    #[derive(Default)]
    Offset(u64) as "{}";
    /// Era of the store's history, which begins when the store comes back from an older copy and gives
    /// offsets out again. Offsets of different eras cannot be compared.
    #[derive(Default)]
    Era(u64) as "{}";
    /// Hash of the model and versions of a version move. A verdict on a move applies only to the
    /// move with the same hash.
    DeclarationHash(u64) as "{:016x}";
    /// Hash of the team and the content of a request, which identifies repetitions of the request.
    Fingerprint(u64) as "{:016x}";
    /// Identifier of one part of a prompt, which many requests may have in common.
    PartId(u64) as "{:016x}";
}

/// Identifier of one attempt to execute a request at one target.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{request}.{number}")]
pub struct AttemptId {
    /// The request to which the attempt belongs.
    pub request: RequestId,
    /// Number of the attempt, starting at 0 for each request.
    pub number: u32,
}

/// Place in a stream of the store.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{era}:{offset}")]
pub struct Position {
    /// Era in which the offset was given out, or of the list from which it was read.
    pub era: Era,
    /// Offset in the stream.
    pub offset: Offset,
}

impl Offset {
    /// The position that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
