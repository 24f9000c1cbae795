//! Summary of the membership table for other tasks.

use std::collections::BTreeMap;

use crate::{
    name::{ProcessName, TargetName},
    peer::MemberState,
};

/// The part of the membership table that other tasks use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// Targets whose agent is not alive, with its state; they should get no new work.
    pub avoid: BTreeMap<TargetName, MemberState>,
    /// Routers that are alive, including this process if it is one, sorted by name.
    pub routers: Vec<ProcessName>,
    /// False from the start or a pause until another process has answered, if any is known. The
    /// process must not act on leases until then.
    pub fresh: bool,
}

impl MembershipView {
    /// The first of `targets` in the best state. A leaving target is never chosen. One believed to
    /// be gone is better than none, since this process may itself be cut off.
    pub fn prefer<'t>(
        &self,
        targets: impl IntoIterator<Item = &'t TargetName>,
    ) -> Option<&'t TargetName> {
        let rank = |name: &TargetName| match self.avoid.get(name) {
            None | Some(MemberState::Alive) => Some(0),
            Some(MemberState::Suspect) => Some(1),
            Some(MemberState::Gone) => Some(2),
            Some(MemberState::Leaving) => None,
        };
        let ranked = targets.into_iter();
        let ranked = ranked.filter_map(|name| rank(name).map(|rank| (rank, name)));
        ranked.min_by_key(|(rank, _)| *rank).map(|(_, name)| name)
    }
}
