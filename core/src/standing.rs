//! The outcome of membership that other tasks act on.

use std::collections::BTreeMap;

use crate::{
    name::{ProcessName, TargetName},
    peer::MemberState,
};

/// What other tasks act on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// Targets that should get no new work, with the reason.
    pub avoid: BTreeMap<TargetName, MemberState>,
    /// Routers that are alive, in the order of their names.
    pub routers: Vec<ProcessName>,
    /// False while the process has not heard of others since a pause: it must not act on leases.
    pub fresh: bool,
}

impl MembershipView {
    /// The first of `targets` in the best state. A leaving one is never taken; one that is taken
    /// to be gone is better than none, since this process may be the one that is cut off.
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
