//! The version moves of all services, as one router sees them.

use std::collections::HashMap;

use crate::{
    changeover::{AnswerQuality, Changeover, MoveOrder, Progress},
    dissemination::{Arm, Counts, Verdict},
    estimate::Estimate,
    id::Declaration,
    name::{MoveName, ProcessName, RouteName, ServiceName},
    outcome::{End, Finished},
    pace::{Paces, Timing},
    passage::Failure,
    roster::Roster,
    time::Time,
};

/// Counts of one version's answers on one route, for other routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// The move.
    pub name: MoveName,
    /// The route.
    pub route: RouteName,
    /// The version.
    pub arm: Arm,
    /// The counts.
    pub counts: Counts,
}

/// A verdict on a move, for other routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveVerdict {
    /// The move.
    pub name: MoveName,
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
    pub old: Counts,
    /// Answers of the new version that all routers have counted.
    pub new: Counts,
    /// The state that this router has to report now.
    pub due: Option<Progress>,
}

/// The moves that are in force.
#[derive(Debug, Default)]
pub(crate) struct Moves {
    active: HashMap<ServiceName, Changeover>,
    /// States that the operators can read.
    reported: HashMap<ServiceName, Progress>,
    route_paces: Paces,
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

    fn find(&mut self, name: &MoveName) -> Option<&mut Changeover> {
        let mut active = self.active.values_mut();
        active.find(|active| active.name() == Some(name))
    }

    /// Takes the state of an order that operators can read.
    pub(crate) fn set_reported(&mut self, order: &MoveOrder, progress: Progress) {
        let known = self.active.get_mut(&order.service);
        if let Some(known) = known.filter(|known| known.order() == order) {
            known.set_reported(progress);
            self.reported.insert(order.service.clone(), progress);
        }
    }

    /// Takes the verdict of another router.
    pub(crate) fn apply_verdict(&mut self, name: &MoveName, verdict: Verdict) {
        if let Some(known) = self.find(name) {
            known.adopt(match verdict {
                Verdict::Good => Progress::Complete,
                Verdict::Faulty => Progress::Reverted,
            });
        }
    }

    /// Takes what another router has counted.
    pub(crate) fn apply_evidence(&mut self, router: &ProcessName, evidence: &Evidence) {
        let Evidence {
            name,
            route,
            arm,
            counts,
        } = evidence;
        if let Some(known) = self.find(name) {
            known.set_peer_counts(router, route, *arm, *counts);
        }
    }

    /// What this router has counted.
    pub(crate) fn evidence(&self) -> Vec<Evidence> {
        let of = |active: &Changeover| {
            let name = active.name()?;
            let counts = active.counts();
            let evidence = counts.map(|(route, arm, counts)| Evidence {
                name: name.clone(),
                route: route.clone(),
                arm,
                counts,
            });
            Some(evidence.collect::<Vec<_>>())
        };
        self.active.values().filter_map(of).flatten().collect()
    }

    /// The verdicts that other routers are told.
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

    /// The state of every move.
    pub(crate) fn states(&mut self, targets: &Roster, now: Time) -> Vec<MoveState> {
        self.active.retain(|_, active| !active.is_expired(now));
        let (reported, rank) = (&self.reported, self.rank);
        let state = |active: &mut Changeover| {
            let order = active.order().clone();
            let (new, old): (Vec<_>, Vec<_>) = targets
                .of(&order.service)
                .partition(|entry| active.arm(&entry.record.version) == Arm::New);
            let outstanding = old.iter().map(|entry| entry.outstanding + entry.elsewhere);
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

    /// The version for a request.
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

    /// Counts how a target did with a request, for its version and for the usual pace of the route.
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
            // A crash ends every request that runs there, also by the fault of a single one.
            End::Failed(Failure::Broken | Failure::Silent) if entry.is_first_loss(now) => {
                AnswerQuality::Failed
            }
            End::Failed(_) | End::Cancelled => return,
        };
        let active = self.active.get_mut(&entry.record.service);
        let arm = active.map(|active| {
            let arm = active.arm(&entry.record.version);
            active.record_answer(route, arm, quality);
            arm
        });
        if arm != Some(Arm::New)
            && let Some(timing) = finished.timing
        {
            self.route_paces.learn(route, timing);
        }
    }

    fn is_slow(&self, route: &RouteName, timing: Option<Timing>) -> bool {
        timing.is_some_and(|timing| self.route_paces.is_slow(route, timing))
    }
}

/// The version that a request goes to, where its service is moving.
pub(crate) struct VersionChoice<'m> {
    chosen: Option<(&'m Changeover, Arm)>,
    now: Time,
}

impl VersionChoice<'_> {
    /// The targets of that version, or else those that may stand in for them; `targets` are all
    /// that are known.
    pub(crate) fn filter<'e, R>(
        &self,
        found: Vec<(R, &'e Estimate)>,
        targets: &Roster,
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
            Arm::Old if active.progress() == Some(Progress::Reverted) => false,
            Arm::Old => {
                let mut known = targets.of(&active.order().service);
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
