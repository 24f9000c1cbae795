//! Summary of the membership table for other tasks.

use std::collections::BTreeMap;

use crate::{
    member::Members,
    name::{ProcessName, TargetName},
    peer::{Liveness, MemberState, Role},
    readers::ZoneRouter,
};

/// A router in the membership table, in whatever state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownRouter {
    /// Name of the router.
    pub name: ProcessName,
    /// Whether it announced that it leaves, and no longer runs. One that is only silent may still send
    /// requests.
    pub has_left: bool,
}

/// The part of the membership table that other tasks use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// Targets whose agent is not alive, with its state; they should get no new work.
    pub avoid: BTreeMap<TargetName, MemberState>,
    /// Routers that are alive, including this process if it is one, sorted by name.
    pub routers: Vec<ProcessName>,
    /// All routers that the table has, alive or not, including this process if it is one.
    pub known_routers: Vec<KnownRouter>,
    /// Routers of this process's zone that are alive, including this process if it is one, in the
    /// order that decides which of them read the store.
    pub zone_routers: Vec<ZoneRouter>,
    /// Routers of all zones that are alive, including this process if it is one, in the same kind of
    /// order. The first ones collect the counts of usage.
    pub ordered_routers: Vec<ZoneRouter>,
    /// False from the start or a pause until another process has answered, if any is known. The
    /// process must not act on leases until then.
    pub fresh: bool,
}

impl Members {
    /// Summarises the table for other tasks.
    pub fn view(&self) -> MembershipView {
        let mut view = MembershipView {
            fresh: self.is_fresh(),
            ..MembershipView::default()
        };
        let own = self.own();
        let own = (own.role == Role::Router).then_some((own, MemberState::Alive));
        for (record, state) in self.records().chain(own) {
            if record.target().is_none() {
                view.known_routers.push(KnownRouter {
                    name: record.name.clone(),
                    has_left: record.leaving && record.liveness == Liveness::Gone,
                });
            }
            match record.target() {
                Some(target) if state != MemberState::Alive => {
                    if let Ok(target) = TargetName::new(target) {
                        view.avoid.insert(target, state);
                    }
                }
                None if state == MemberState::Alive => {
                    view.routers.push(record.name.clone());
                    let router = ZoneRouter::new(record.name.clone(), record.address);
                    if record.zone == self.own().zone {
                        view.zone_routers.push(router.clone());
                    }
                    view.ordered_routers.push(router);
                }
                _ => {}
            }
        }
        view.routers.sort();
        view.zone_routers.sort();
        view.ordered_routers.sort();
        view
    }
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
