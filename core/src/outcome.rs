//! How requests at targets end.

use crate::{
    id::Fingerprint,
    name::{RouteName, TeamName},
    pace::Timing,
    passage::Failure,
};

/// A request that has ended at a target.
#[derive(Debug, Clone, Copy)]
pub struct Finished<'a> {
    /// How it ended.
    pub end: End,
    /// Hash of team and content.
    pub content: Fingerprint,
    /// The team.
    pub team: &'a TeamName,
    /// The route.
    pub route: &'a RouteName,
    /// How long its answer took, where that says something.
    pub timing: Option<Timing>,
}

/// How a request at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With a whole answer.
    Served,
    /// The caller left.
    Cancelled,
    /// It failed.
    Failed(Failure),
}
