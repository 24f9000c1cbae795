//! Identifiers that travel between processes.

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
    /// A caller's request, unique over all routers.
    RequestId(u128) as "{:032x}";
    /// The identity of a chat, a 64-bit hash.
    ChatId(u64) as "{:016x}";
    /// One life of a process or engine; a restarted one has a higher incarnation.
    #[derive(Default)]
    Incarnation(u64) as "{}";
    /// The position of a record in a stream of the platform's log.
    #[derive(Default)]
    Offset(u64) as "{}";
    /// The model and versions of a version move, hashed; a verdict holds for these alone.
    Declaration(u64) as "{:016x}";
    /// A hash of a team and a request's content, by which a repeated request is recognised.
    Fingerprint(u64) as "{:016x}";
}

/// One try of a request at one target.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{request}.{number}")]
pub struct AttemptId {
    /// The request that is tried.
    pub request: RequestId,
    /// Counts the tries of the request from zero.
    pub number: u32,
}

impl Offset {
    /// The position after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
