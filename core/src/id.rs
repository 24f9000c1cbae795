//! Identifiers that travel between processes.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// A caller's request, unique over all routers.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:032x}")]
pub struct RequestId(u128);

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

/// The identity of a chat, a 64-bit hash.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct ChatId(u64);

/// One life of a process or engine; a restarted one has a higher incarnation.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct Incarnation(u64);

/// The position of a record in a stream of the platform's log.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct Offset(u64);

impl Offset {
    /// The position after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// The model and versions of a version move, hashed; a verdict holds for these alone.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct Declaration(u64);

/// A hash of a team and a request's content, by which a repeated request is recognised.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct Fingerprint(u64);
