//! Messages between routers and agents.

use std::time::Duration;

use bytes::Bytes;
use ebonyfall_core::{
    claim::{ClaimId, ClaimRef},
    code::Code,
    crash::Crash,
    doc::{Idempotency, Priority},
    guard::VoidOutcome,
    id::{AttemptId, ChatId, Incarnation},
    name::{ProcessName, TargetName, TeamName, VersionName},
};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::control::ToPeer;

/// Oldest wire version that this build supports.
pub const WIRE_MIN: u16 = 1;
/// Newest wire version that this build supports.
pub const WIRE_MAX: u16 = 1;
/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Largest part of an answer's body in one frame, in bytes.
pub const MAX_PART_BYTES: usize = 256 << 10;

/// The first message that each side of a connection sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Oldest wire version that the sender supports.
    #[serde(rename = "min")]
    pub min_version: u16,
    /// Newest wire version that the sender supports.
    #[serde(rename = "max")]
    pub max_version: u16,
    /// Process name of the sender.
    pub name: ProcessName,
    /// Incarnation of the sender, which changes when it restarts.
    pub incarnation: Incarnation,
    /// A random number that enters the keyed hash of each frame, so that frames of other
    /// connections do not verify.
    pub nonce: u64,
}

impl Hello {
    /// The newest wire version that both sides support; `None` if there is none.
    pub fn common_version(&self, other: &Self) -> Option<u16> {
        let version = self.max_version.min(other.max_version);
        (version >= self.min_version.max(other.min_version)).then_some(version)
    }
}

/// An HTTP request for the back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// HTTP method with which the agent calls the back end.
    pub method: String,
    /// Path and query of the request's URL.
    pub path: String,
    /// The content type, empty if the request has none.
    pub content_type: String,
    /// The request body, empty if there is none.
    pub body: Bytes,
}

/// A request that a router submits to an agent.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// Identifies the attempt; every message about it repeats the identifier.
    pub attempt: AttemptId,
    /// The intended target; the agent of another one refuses the request.
    pub target: TargetName,
    /// The intended model version; `None` for requests to plain services.
    pub version: Option<VersionName>,
    /// The team of the caller.
    pub team: TeamName,
    /// The chat that the request belongs to.
    pub chat: ChatId,
    /// Whether the agent applies its load bound. Two refusals above the bound show that the mean
    /// load is higher than the agents know, so the third attempt is sent without the bound.
    #[serde(rename = "bounded")]
    pub apply_load_bound: bool,
    /// Whether the router can follow a pointer to the target that holds the chat's context.
    #[serde(rename = "follow")]
    pub follow_pointers: bool,
    /// The chat's next target in order of preference, which a refusal above the load bound may
    /// suggest.
    #[serde(rename = "second")]
    pub next_target: Option<TargetName>,
    /// Priority of the request in the agent's queue.
    pub priority: Priority,
    /// Whether the request may run more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Time left until the request's deadline, in milliseconds on the wire.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "left")]
    pub time_left: Duration,
    /// The last known crash of a target that ran a request of the same content, if any.
    pub suspect: Option<Crash>,
    /// The HTTP request to send to the back end.
    pub call: Call,
    /// The claim under which the request runs at most once; `None` if it needs none.
    pub claim: Option<ClaimRef>,
}

/// A message from a router to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Run a request.
    Submit(Box<Submit>),
    /// Continue the answer of a running attempt whose connection broke.
    Resume {
        /// The attempt to continue.
        attempt: AttemptId,
        /// Number of bytes of the answer that have arrived.
        offset: u64,
    },
    /// Cancel an attempt whose caller has disconnected.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptId,
    },
    /// A request of a peer, which arrives at the address that routers use.
    Control(ToPeer),
    /// Never run the request of this claim; answered by [`ToRouter::Void`].
    Void(ClaimRef),
    /// Notice to a chat's home target that another target now holds the chat's context. It is not
    /// answered.
    Moved {
        /// The chat whose context has moved.
        chat: ChatId,
        /// The target that holds the chat's context.
        target: TargetName,
    },
}

/// The current load of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that run at the target.
    pub running: u32,
    /// Number of requests that wait in the agent's queue.
    pub waiting: u32,
    /// Current limit of requests that run at once.
    pub limit: u32,
}

/// The status and headers of an answer that are passed to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status with which the back end answered.
    pub status: u16,
    /// The content type, empty if the answer has none.
    pub content_type: String,
}

/// A message from an agent to a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToRouter {
    /// The back end has started to answer.
    Head {
        /// The attempt that is answered.
        attempt: AttemptId,
        /// Status and headers of the answer.
        head: Head,
    },
    /// A part of the answer's body.
    Part {
        /// The attempt that is answered.
        attempt: AttemptId,
        /// Position of the first byte of `data` in the body.
        offset: u64,
        /// At most [`MAX_PART_BYTES`] of the body.
        data: Bytes,
    },
    /// The answer is complete.
    Done {
        /// The attempt that is answered.
        attempt: AttemptId,
        /// Length of the complete body, in bytes.
        length: u64,
        /// Load of the target after the request.
        load: Load,
    },
    /// The attempt failed or was refused, so that there is no complete answer.
    Refused {
        /// The attempt that is refused.
        attempt: AttemptId,
        /// The reason, which also tells whether the request ran.
        code: Code,
        /// Milliseconds until the target expects to accept requests again; zero if unknown.
        retry_after_ms: u32,
        /// Load of the target when it refused.
        load: Load,
        /// The target to try next for this chat, if the agent suggests one.
        hint: Option<TargetName>,
    },
    /// Answer to [`ToAgent::Void`].
    Void {
        /// The claim to be voided.
        claim: ClaimId,
        /// Whether the claim was voided, or what became of its request.
        answer: VoidOutcome,
    },
}

#[cfg(test)]
#[path = "../tests/unit/frame.rs"]
mod tests;
