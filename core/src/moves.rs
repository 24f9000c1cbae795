//! Version moves of all services at one router.

use std::collections::HashMap;

use crate::{
    changeover::{AnswerQuality, Changeover, MoveOrder, MoveProgress, RouterRun},
    direct::Failure,
    dissemination::{Arm, MoveDecision, RequestCounts},
    estimate::Estimate,
    id::DeclarationHash,
    name::{MoveName, RouteName, ServiceName},
    outcome::{End, Finished},
    targets::TargetTable,
    time::Time,
    timing::{RouteMeanTimes, Timing},
};

/// One router's counts of a version's answers on one route, as sent to other routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionCounts {
    /// Name of the move.
    pub name: MoveName,
    /// Route of the counted requests.
    pub route: RouteName,
    /// Version that answered: the old or the new one.
    pub arm: Arm,
    /// Totals since the router learned of the order.
    pub counts: RequestCounts,
}

/// A verdict on a move, as sent to other routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveVerdict {
    /// Name of the move.
    pub name: MoveName,
    /// Hash that distinguishes the order from others with the same name.
    pub declaration: DeclarationHash,
    /// Whether the new version is good or faulty.
    pub verdict: MoveDecision,
}

/// Snapshot of one move, for operators, other routers and logs.
#[derive(Debug, Clone)]
pub struct MoveState {
    /// The operator's order.
    pub order: MoveOrder,
    /// Progress as far as this router knows, `None` before the first report.
    pub progress: Option<MoveProgress>,
    /// Traffic share of the new version, from 0 to 1.
    pub share: f64,
    /// Verdict to send to other routers, `None` while the move is in progress.
    pub verdict: Option<MoveDecision>,
    /// Answers of the old version, summed over all routers.
    pub old: RequestCounts,
    /// Answers of the new version, summed over all routers.
    pub new: RequestCounts,
    /// Progress that this router has to report now, `None` for nothing.
    pub due: Option<MoveProgress>,
}

/// Moves whose orders are in force or were withdrawn recently.
#[derive(Debug, Default)]
pub(crate) struct Moves {
    active: HashMap<ServiceName, Changeover>,
    /// Progress that is stored for operators.
    reported: HashMap<ServiceName, MoveProgress>,
    route_times: RouteMeanTimes,
    rank: u32,
}

impl Moves {
    /// Sets the number of routers that report before this one.
    pub(crate) fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Replaces the orders that are in force. Moves whose order is missing are withdrawn, and a new
    /// order for a service replaces its move. A move goes on under its own order of a later era.
    pub(crate) fn set_orders(&mut self, orders: Vec<MoveOrder>, now: Time) {
        for active in self.active.values_mut() {
            if !orders
                .iter()
                .any(|order| order.service == active.order().service)
            {
                active.withdraw(now);
            }
        }
        for order in orders {
            let service = order.service.clone();
            match self.active.get_mut(&service) {
                Some(known) if *known.order() == order => continue,
                Some(known) if known.order().is_same_in_later_era(&order) => {
                    known.adopt_order(order);
                }
                _ => {
                    self.active
                        .insert(service.clone(), Changeover::new(order, now));
                }
            }
            self.reported.remove(&service);
        }
    }

    fn find(&mut self, name: &MoveName) -> Option<&mut Changeover> {
        let mut active = self.active.values_mut();
        active.find(|active| active.name() == Some(name))
    }

    /// Sets the progress that is stored for operators; it is ignored unless `order` is in force.
    pub(crate) fn set_reported(&mut self, order: &MoveOrder, progress: MoveProgress) {
        let known = self.active.get_mut(&order.service);
        if let Some(known) = known.filter(|known| known.order() == order) {
            known.set_reported(progress);
            self.reported.insert(order.service.clone(), progress);
        }
    }

    /// Applies a verdict of another router.
    pub(crate) fn apply_verdict(&mut self, name: &MoveName, verdict: MoveDecision) {
        if let Some(known) = self.find(name) {
            known.adopt(match verdict {
                MoveDecision::Good => MoveProgress::Complete,
                MoveDecision::Faulty => MoveProgress::Reverted,
            });
        }
    }

    /// Applies the counts of another run of a router.
    pub(crate) fn apply_version_counts(&mut self, run: &RouterRun, peer_counts: &VersionCounts) {
        let VersionCounts {
            name,
            route,
            arm,
            counts,
        } = peer_counts;
        if let Some(known) = self.find(name) {
            known.set_peer_counts(run, route, *arm, *counts);
        }
    }

    /// Counts of this router for every move.
    pub(crate) fn version_counts(&self) -> Vec<VersionCounts> {
        let of = |active: &Changeover| {
            let name = active.name()?;
            let counts = active.counts();
            let route_counts = counts.map(|(route, arm, counts)| VersionCounts {
                name: name.clone(),
                route: route.clone(),
                arm,
                counts,
            });
            Some(route_counts.collect::<Vec<_>>())
        };
        self.active.values().filter_map(of).flatten().collect()
    }

    /// Verdicts to send to other routers.
    pub(crate) fn verdicts(&self) -> Vec<MoveVerdict> {
        let of = |active: &Changeover| {
            Some(MoveVerdict {
                name: active.name()?.clone(),
                declaration: active.order().declaration(),
                verdict: active.verdict()?,
            })
        };
        self.active.values().filter_map(of).collect()
    }

    /// Removes expired moves, evaluates the others and returns their states.
    pub(crate) fn states(&mut self, targets: &TargetTable, now: Time) -> Vec<MoveState> {
        self.active.retain(|_, active| !active.is_expired(now));
        let (reported, rank) = (&self.reported, self.rank);
        let state = |active: &mut Changeover| {
            let order = active.order().clone();
            let (new, old): (Vec<_>, Vec<_>) = targets
                .service_targets(&order.service)
                .partition(|entry| active.arm(&entry.record.version) == Arm::New);
            let outstanding = old
                .iter()
                .map(|entry| entry.outstanding + entry.outstanding_elsewhere);
            let reported = reported.get(&order.service).copied();
            let due = active.due_report(outstanding.sum(), !new.is_empty(), rank, reported, now);
            MoveState {
                order,
                progress: active.progress(),
                share: active.share(now),
                verdict: active.verdict(),
                old: active.sum(None, Arm::Old),
                new: active.sum(None, Arm::New),
                due,
            }
        };
        self.active.values_mut().map(state).collect()
    }

    /// Chooses the version for a request; see [`Changeover::choose`].
    pub(crate) fn choose(
        &self,
        service: &ServiceName,
        context: Option<u64>,
        random: f64,
        now: Time,
    ) -> VersionChoice<'_> {
        let active = self.active.get(service);
        let chosen = active.map(|active| (active, active.choose(context, random, now)));
        VersionChoice { chosen, now }
    }

    /// Counts a finished request for its version, and its time for the mean of the route.
    pub(crate) fn record_answer(
        &mut self,
        entry: &mut Estimate,
        finished: &Finished<'_>,
        now: Time,
    ) {
        let route = finished.route;
        let quality = match finished.end {
            End::Served if self.is_slow(route, finished.timing) => AnswerQuality::Slow,
            End::Served => AnswerQuality::Good,
            End::Failed(Failure::Failed) => AnswerQuality::Failed,
            // A crash fails every request that runs on the target, even if a single request caused
            // it. Only the first loss counts.
            End::Failed(Failure::Broken | Failure::TimedOut) if entry.is_first_loss(now) => {
                AnswerQuality::Failed
            }
            End::Failed(_) | End::Cancelled => return,
        };
        let active = self.active.get_mut(&entry.record.service);
        let arm = active.map(|active| {
            active.watch(now);
            let arm = active.arm(&entry.record.version);
            active.record_answer(route, arm, quality);
            arm
        });
        if arm != Some(Arm::New)
            && let Some(timing) = finished.timing
        {
            self.route_times.record(route, timing);
        }
    }

    /// Whether an answer took much longer than usual on its route.
    pub(crate) fn is_slow(&self, route: &RouteName, timing: Option<Timing>) -> bool {
        timing.is_some_and(|timing| self.route_times.is_slow(route, timing))
    }
}

/// Version chosen for a request; without a move of the service every target qualifies.
pub(crate) struct VersionChoice<'m> {
    chosen: Option<(&'m Changeover, Arm)>,
    now: Time,
}

impl VersionChoice<'_> {
    /// Keeps the targets of the chosen version. If there are none, targets of the other version are
    /// used where the move allows it; `targets` are all known targets.
    pub(crate) fn filter<'e, R>(
        &self,
        found: Vec<(R, &'e Estimate)>,
        targets: &TargetTable,
    ) -> Vec<(R, &'e Estimate)> {
        let Some((active, arm)) = self.chosen else {
            return found;
        };
        let arm_of = |entry: &Estimate| active.arm(&entry.record.version);
        let (preferred, others): (Vec<_>, Vec<_>) = found
            .into_iter()
            .partition(|(_, entry)| arm_of(entry) == arm);
        let may_fall_back = match arm {
            Arm::New => true,
            Arm::Old if active.progress() == Some(MoveProgress::Reverted) => false,
            Arm::Old => {
                let mut known = targets.service_targets(&active.order().service);
                active.share(self.now) >= 1.0 || !known.any(|entry| arm_of(entry) == Arm::Old)
            }
        };
        if preferred.is_empty() && may_fall_back {
            others
        } else {
            preferred
        }
    }
}
