//! The version moves of all services, as one router sees them.

use std::collections::HashMap;

use crate::{
    changeover::{Changeover, MoveOrder, Outcome, Progress},
    dissemination::{Arm, RequestCounts, Verdict},
    estimate::Estimate,
    id::Declaration,
    name::{MoveName, ProcessName, RouteName, ServiceName},
    outcome::{End, Finished},
    pace::{Paces, Timing},
    passage::Failure,
    roster::TargetTable,
    time::Time,
};

/// Counts of one version's answers on one route, for other routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// The move.
    pub step: MoveName,
    /// The route.
    pub route: RouteName,
    /// The version.
    pub arm: Arm,
    /// The counts.
    pub counts: RequestCounts,
}

/// A verdict on a move, for other routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Judgement {
    /// The move.
    pub step: MoveName,
    /// Tells the order from others under the same name.
    pub declaration: Declaration,
    /// The verdict.
    pub verdict: Verdict,
}

/// The state of one move, for operators, other routers and logs.
#[derive(Debug, Clone)]
pub struct MoveState {
    /// The order.
    pub order: MoveOrder,
    /// What is known of its state.
    pub progress: Option<Progress>,
    /// The share of the new version, from 0 to 1.
    pub share: f64,
    /// The verdict that other routers are told.
    pub verdict: Option<Verdict>,
    /// Answers of the old version that all routers have counted.
    pub old: RequestCounts,
    /// Answers of the new version that all routers have counted.
    pub new: RequestCounts,
    /// The state that this router has to report now.
    pub due: Option<Progress>,
}

/// The moves that are in force.
#[derive(Debug, Default)]
pub(crate) struct Moves {
    active: HashMap<ServiceName, Changeover>,
    /// States that the operators can read.
    reported: HashMap<ServiceName, Progress>,
    paces: Paces,
    rank: u32,
}

impl Moves {
    /// Takes the number of routers that report before this one.
    pub(crate) fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Takes all orders that are in force.
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
            let known = self.active.get(&order.service);
            if known.is_none_or(|known| *known.order() != order) {
                let service = order.service.clone();
                self.reported.remove(&service);
                self.active.insert(service, Changeover::new(order, now));
            }
        }
    }

    fn named(&mut self, step: &MoveName) -> Option<&mut Changeover> {
        let mut active = self.active.values_mut();
        active.find(|active| active.name() == Some(step))
    }

    /// Takes the state of an order that operators can read.
    pub(crate) fn reported(&mut self, order: &MoveOrder, progress: Progress) {
        let known = self.active.get_mut(&order.service);
        if let Some(known) = known.filter(|known| known.order() == order) {
            known.reported(progress);
            self.reported.insert(order.service.clone(), progress);
        }
    }

    /// Takes the verdict of another router.
    pub(crate) fn judged(&mut self, step: &MoveName, verdict: Verdict) {
        if let Some(known) = self.named(step) {
            known.adopt(match verdict {
                Verdict::Good => Progress::Complete,
                Verdict::Faulty => Progress::Reverted,
            });
        }
    }

    /// Takes what another router has counted.
    pub(crate) fn learn(&mut self, router: &ProcessName, evidence: &Evidence) {
        let Evidence {
            step,
            route,
            arm,
            counts,
        } = evidence;
        if let Some(known) = self.named(step) {
            known.learn(router, route, *arm, *counts);
        }
    }

    /// What this router has counted.
    pub(crate) fn evidence(&self) -> Vec<Evidence> {
        let of = |active: &Changeover| {
            let step = active.name()?;
            let counts = active.counts();
            let evidence = counts.map(|(route, arm, counts)| Evidence {
                step: step.clone(),
                route: route.clone(),
                arm,
                counts,
            });
            Some(evidence.collect::<Vec<_>>())
        };
        self.active.values().filter_map(of).flatten().collect()
    }

    /// The verdicts that other routers are told.
    pub(crate) fn verdicts(&self) -> Vec<Judgement> {
        let of = |active: &Changeover| {
            Some(Judgement {
                step: active.name()?.clone(),
                declaration: active.order().declaration(),
                verdict: active.verdict()?,
            })
        };
        self.active.values().filter_map(of).collect()
    }

    /// The state of every move.
    pub(crate) fn states(&mut self, targets: &TargetTable, now: Time) -> Vec<MoveState> {
        self.active.retain(|_, active| !active.is_forgotten(now));
        let (reported, rank) = (&self.reported, self.rank);
        let state = |active: &mut Changeover| {
            let order = active.order().clone();
            let (new, old): (Vec<_>, Vec<_>) = targets
                .service_targets(&order.service)
                .partition(|entry| active.arm(&entry.record.version) == Arm::New);
            let open = old.iter().map(|entry| entry.outstanding + entry.elsewhere);
            let reported = reported.get(&order.service).copied();
            let due = active.due(open.sum(), !new.is_empty(), rank, reported, now);
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

    /// The version for a request.
    pub(crate) fn choose(
        &self,
        service: &ServiceName,
        context: Option<u64>,
        random: f64,
        now: Time,
    ) -> Version<'_> {
        let active = self.active.get(service);
        let chosen = active.map(|active| (active, active.choose(context, random, now)));
        Version { chosen, now }
    }

    /// Counts how a target did with a request, for its version and for the usual pace of the route.
    pub(crate) fn count(&mut self, entry: &mut Estimate, finished: &Finished<'_>, now: Time) {
        let route = finished.route;
        let outcome = match finished.end {
            End::Served if self.is_slow(route, finished.timing) => Outcome::Slow,
            End::Served => Outcome::Good,
            End::Failed(Failure::Failed) => Outcome::Failed,
            // A crash ends every request that runs there, also by the fault of a single one.
            End::Failed(Failure::Broken | Failure::Silent) if entry.is_first_loss(now) => {
                Outcome::Failed
            }
            End::Failed(_) | End::Cancelled => return,
        };
        let active = self.active.get_mut(&entry.record.service);
        let arm = active.map(|active| {
            let arm = active.arm(&entry.record.version);
            active.count(route, arm, outcome);
            arm
        });
        if arm != Some(Arm::New)
            && let Some(timing) = finished.timing
        {
            self.paces.learn(route, timing);
        }
    }

    fn is_slow(&self, route: &RouteName, timing: Option<Timing>) -> bool {
        timing.is_some_and(|timing| self.paces.is_slow(route, timing))
    }
}

/// The version that a request goes to, where its service is moving.
pub(crate) struct Version<'m> {
    chosen: Option<(&'m Changeover, Arm)>,
    now: Time,
}

impl Version<'_> {
    /// The targets of that version, or else those that may stand in for them; `targets` are all
    /// that are known.
    pub(crate) fn of<'e, R>(
        &self,
        found: Vec<(R, &'e Estimate)>,
        targets: &TargetTable,
    ) -> Vec<(R, &'e Estimate)> {
        let Some((active, arm)) = self.chosen else {
            return found;
        };
        let arm_of = |entry: &Estimate| active.arm(&entry.record.version);
        let (wanted, others): (Vec<_>, Vec<_>) = found
            .into_iter()
            .partition(|(_, entry)| arm_of(entry) == arm);
        let may_stand_in = match arm {
            Arm::New => true,
            Arm::Old if active.progress() == Some(Progress::Reverted) => false,
            Arm::Old => {
                let mut known = targets.service_targets(&active.order().service);
                active.share(self.now) >= 1.0 || !known.any(|entry| arm_of(entry) == Arm::Old)
            }
        };
        if wanted.is_empty() && may_stand_in {
            others
        } else {
            wanted
        }
    }
}
