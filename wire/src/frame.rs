//! Messages between router and agent.

use std::time::Duration;

use bytes::Bytes;
use ebonyfall_core::{
    claim::{ClaimId, ClaimRef},
    code::Code,
    crash::Crash,
    doc::{Priority, Repeat},
    guard::VoidAnswer,
    id::{AttemptId, ChatId, Incarnation},
    name::{ProcessName, TargetName, TeamName, VersionName},
};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::control::ToPeer;

/// Oldest wire version that this build speaks.
pub const WIRE_MIN: u16 = 1;
/// Newest wire version that this build speaks.
pub const WIRE_MAX: u16 = 1;
/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Largest part of an answer, in bytes.
pub const MAX_PART_BYTES: usize = 256 << 10;

/// The first message of each side of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Oldest wire version that the sender speaks.
    pub min: u16,
    /// Newest wire version that the sender speaks.
    pub max: u16,
    /// The sender's name.
    pub name: ProcessName,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// A random number that makes the connection's frames unique.
    pub nonce: u64,
}

impl Hello {
    /// The newest wire version that both sides speak.
    pub fn common_version(&self, other: &Self) -> Option<u16> {
        let version = self.max.min(other.max);
        (version >= self.min.max(other.min)).then_some(version)
    }
}

/// An HTTP request as it is handed to the back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The content type, empty where there is none.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// A request handed to an agent.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// The attempt, which every answer repeats.
    pub attempt: AttemptId,
    /// The target that is meant; another one refuses.
    pub target: TargetName,
    /// The version that is meant, for model requests.
    pub version: Option<VersionName>,
    /// The team that asks.
    pub team: TeamName,
    /// The chat that the request belongs to.
    pub chat: ChatId,
    /// Whether the agent applies its load bound. Two refusals above the bound show that the mean is
    /// higher than the agents know, so that the third attempt does without.
    pub bounded: bool,
    /// Whether the router can follow a pointer to the target that holds the chat's context.
    pub follow_pointers: bool,
    /// The target that comes next for the chat, which a refusal above the load bound may hint at.
    pub next_target: Option<TargetName>,
    /// How urgent the request is.
    pub priority: Priority,
    /// Whether the request may run again.
    pub repeat: Repeat,
    /// Time left until the deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub time_left: Duration,
    /// The crash of a target that ran a request of the same content.
    pub suspect: Option<Crash>,
    /// What to send to the back end.
    pub call: Call,
    /// The claim under which it runs at most once.
    pub claim: Option<ClaimRef>,
}

/// From router to agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Run this request.
    Submit(Box<Submit>),
    /// Go on with the answer of a running attempt, whose connection broke.
    Resume {
        /// The attempt.
        attempt: AttemptId,
        /// Bytes of the answer that have arrived.
        offset: u64,
    },
    /// The caller went away.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A peer's question, where peers and routers share an address.
    Control(ToPeer),
    /// Never run the request of this claim.
    Void(ClaimRef),
    /// The context of a chat has moved from its home target, which gets this notice, to another.
    /// There is no reply.
    Moved {
        /// The chat.
        chat: ChatId,
        /// The target that holds its context.
        target: TargetName,
    },
}

/// The load of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests allowed at once now.
    pub limit: u32,
}

/// The status line and headers of an answer that the caller sees.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The content type, empty where there is none.
    pub content_type: String,
}

/// From agent to router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToRouter {
    /// The back end has started to answer.
    Head {
        /// The attempt that is answered.
        attempt: AttemptId,
        /// Status and headers.
        head: Head,
    },
    /// A part of the body.
    Part {
        /// The attempt that is answered.
        attempt: AttemptId,
        /// Position of the first byte in the body.
        offset: u64,
        /// The bytes.
        data: Bytes,
    },
    /// The answer is whole.
    Done {
        /// The attempt that is answered.
        attempt: AttemptId,
        /// Length of the whole body, in bytes.
        length: u64,
        /// The target's load.
        load: Load,
    },
    /// There is no whole answer.
    Refused {
        /// The attempt that is refused.
        attempt: AttemptId,
        /// Why, and whether it ran.
        code: Code,
        /// Milliseconds until the target expects to have room, zero where that says nothing.
        retry_after_ms: u32,
        /// The target's load.
        load: Load,
        /// The target to try next for this chat.
        hint: Option<TargetName>,
    },
    /// Whether the claim was voided.
    Void {
        /// The claim.
        claim: ClaimId,
        /// What the agent knows of it.
        answer: VoidAnswer,
    },
}

#[cfg(test)]
#[path = "../tests/unit/frame.rs"]
mod tests;
