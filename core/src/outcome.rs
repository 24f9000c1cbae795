//! Results of requests at targets.

use std::sync::Arc;

use derive_more::Display;

use crate::{
    direct::Failure,
    id::{Fingerprint, PartId},
    name::{RouteName, TeamName},
    time::Time,
    timing::Timing,
};

/// A request that has ended at a target, with what is needed to judge the target.
#[derive(Debug, Clone, Copy)]
pub struct Finished<'a> {
    /// Result of the request.
    pub end: End,
    /// Hash of team and content, which identifies requests that crash targets.
    pub content: Fingerprint,
    /// Shared parts of the request's prompt.
    pub parts: &'a Arc<[PartId]>,
    /// When the target was chosen, before the request was sent.
    pub sent_at: Time,
    /// Whether a part of an answer had arrived.
    pub answer_begun: bool,
    /// Team that sent the request.
    pub team: &'a TeamName,
    /// Route by which the request arrived.
    pub route: &'a RouteName,
    /// Duration of the answer; `None` where it says nothing about the target's speed.
    pub timing: Option<Timing>,
}

/// Result of a request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The target sent a complete answer.
    Served,
    /// The caller disconnected before the answer was complete; says nothing about the target.
    Cancelled,
    /// The request failed at or on its way to the target.
    Failed(Failure),
}

impl End {
    /// Whether it is certain that the target has not run the request.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Served | Self::Cancelled => false,
            Self::Failed(failure) => failure.is_not_run(),
        }
    }
}

/// Result of a connection to a target that was opened after a request to the target broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "lowercase")]
pub enum Probe {
    /// The target accepts connections.
    Accepted,
    /// Nothing listens at the target's address.
    Refused,
    /// No result, for example because the connection timed out.
    Unknown,
}
