//! Requests for which a target is chosen.

use std::sync::Arc;

use ebonyfall_core::{
    doc::Idempotency,
    id::{Fingerprint, PartId},
    name::{RouteName, ServiceName, TargetName, TeamName},
};

/// Properties of a request that determine the choice of its target.
#[derive(Debug, Clone)]
pub struct SelectionRequest {
    /// Service whose targets are considered.
    pub service: ServiceName,
    /// Hashes of the prompt prefixes that other requests may share, the shortest first.
    pub contexts: Vec<u64>,
    /// Targets of earlier attempts, which are excluded.
    pub tried: Vec<TargetName>,
    /// Whether the attempt is a retry that counts against the retry budget.
    pub charge_retry: bool,
    /// The only target that is considered; `None` for all.
    pub only: Option<TargetName>,
    /// Whether only targets are considered that are not known to be full.
    pub needs_slot: bool,
    /// Whether the request may run more than once, which allows connections that have been idle
    /// longer.
    pub idempotency: Idempotency,
    /// Hash of team, path and body, which identifies requests that crash targets.
    pub content: Fingerprint,
    /// Shared parts of the request's prompt.
    pub parts: Arc<[PartId]>,
    /// Team that sent the request; `None` on a public route.
    pub team: Option<TeamName>,
    /// Route by which the request arrived; answer times are compared within a route.
    pub route: RouteName,
}

impl SelectionRequest {
    /// What the outcome of the request is recorded by.
    pub(super) fn origin(&self) -> RequestOrigin {
        RequestOrigin {
            content: self.content,
            contexts: self.contexts.as_slice().into(),
            parts: Arc::clone(&self.parts),
            team: self.team.clone(),
            route: self.route.clone(),
        }
    }
}

/// Origin of a request, by which its outcome is recorded.
#[derive(Debug, Clone)]
pub(super) struct RequestOrigin {
    pub(super) content: Fingerprint,
    pub(super) contexts: Arc<[u64]>,
    pub(super) parts: Arc<[PartId]>,
    pub(super) team: Option<TeamName>,
    pub(super) route: RouteName,
}
