//! Version moves of services whose targets register themselves: the new version's traffic share,
//! the verdict on it, and when a router reports the move's progress.
//!
//! Every router makes the same decisions from the same order and from counts that the routers
//! exchange. The new version gets a small share for most of the time, since a fault may show late.
//! Then the share ramps up to all traffic within a short time, and the move is complete once the
//! old version has no outstanding requests.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use derive_more::Display;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    dissemination::{Arm, MoveDecision, RequestCounts},
    id::{DeclarationHash, Era, Incarnation, Offset},
    name::{MoveName, ProcessName, RouteName, ServiceName},
    sequential::CountScore,
    time::Time,
};

/// Share of the new version until it has given [`MIN_NEW_ANSWERS`] answers, so that services with
/// few requests reach a verdict in time.
const INITIAL_SHARE: f64 = 0.2;
/// Share of the new version after that, until the ramp. Including the ramp, a bad version gets at
/// most a tenth of all requests.
const CANARY_SHARE: f64 = 0.05;
/// Fraction of the order's time at which the share starts to ramp up.
const RAMP_START: f64 = 0.72;
/// Fraction of the order's time at which the share reaches all traffic.
const RAMP_END: f64 = 0.80;
/// Fraction of the order's time at which the move is reported complete even if the old version has
/// outstanding requests.
const LATEST_COMPLETION: f64 = 0.95;
/// Number of answers of the new version that the ramp requires, unless the service has few
/// requests.
const MIN_NEW_ANSWERS: u64 = 20;
/// With at most this many old answers per new answer, the ramp may start before the new version
/// has given [`MIN_NEW_ANSWERS`].
const MAX_OLD_PER_NEW_ANSWER: u64 = 25;
/// Longest time between two looks at a move for which the router counts as watching it. Routers look
/// more often, so that a longer gap means that the process stood still.
const MAX_WATCH_GAP: Duration = Duration::from_secs(2);
/// Time for which a router that stood still gathers answers and verdicts of others before it ends a
/// move: some rounds of the exchange between routers.
const REWATCH_TIME: Duration = Duration::from_secs(1);
/// Delay per rank before a router reports; a router reports only if those of lower rank have not.
const REPORT_STAGGER: Duration = Duration::from_millis(400);
/// Time for which the version of a withdrawn order gets no traffic. Its targets leave meanwhile.
const WITHDRAWN_RETENTION: Duration = Duration::from_secs(60);
/// Bits of a hash seed that hold the era of an order, above those of its offset.
const ERA_BITS: u32 = 16;
/// Maximum length of the service's name within the name of its move, in bytes.
const MAX_SERVICE_BYTES: usize = 40;

/// An operator's order to move a service's traffic to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveOrder {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version that is to get the traffic.
    pub version: Arc<str>,
    /// Time limit for the move, counted from when a router learns of the order.
    pub within: Duration,
    /// Offset of the order in the operators' stream; a later order of the same era has a higher one.
    pub offset: Offset,
    /// Era in which the order has this offset.
    pub era: Era,
}

impl MoveOrder {
    /// Name under which routers exchange the move's counts and verdict; `None` if the service and
    /// the offset do not form a valid name.
    pub fn name(&self) -> Option<MoveName> {
        let service = self.service.as_str();
        let service = &service[..service.len().min(MAX_SERVICE_BYTES)];
        MoveName::new(format!("{service}.{}.{}", self.era, self.offset)).ok()
    }

    /// Hash that distinguishes the order from others with the same name.
    pub fn declaration(&self) -> DeclarationHash {
        let seed = u64::from(self.offset) ^ u64::from(self.era).rotate_right(ERA_BITS);
        xxh3_64_with_seed(self.version.as_bytes(), seed).into()
    }

    /// Whether `later` is this order as found in a later era, in which it may have another offset.
    pub fn is_same_in_later_era(&self, later: &Self) -> bool {
        later.era > self.era
            && later.service == self.service
            && later.version == self.version
            && later.within == self.within
    }
}

/// Progress of a move, as shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum MoveProgress {
    /// The traffic is split between the versions.
    #[display("in progress")]
    InProgress,
    /// The new version gets all traffic.
    #[display("complete")]
    Complete,
    /// The old version gets all traffic again.
    #[display("reverted")]
    Reverted,
}

impl MoveProgress {
    /// Whether this is a final state.
    pub fn is_over(self) -> bool {
        matches!(self, Self::Complete | Self::Reverted)
    }
}

/// Quality of a target's answer, by which versions are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerQuality {
    /// The target answered, and did not take much longer than usual on its route.
    Good,
    /// The answer took much longer than usual on its route.
    Slow,
    /// The target failed to answer the request.
    Failed,
}

/// One run of a router, from its start to its end. The counts of each run start at zero.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RouterRun {
    /// The router.
    pub router: ProcessName,
    /// Incarnation of the router in this run.
    pub incarnation: Incarnation,
}

/// State of one version move at a router.
#[derive(Debug)]
pub struct Changeover {
    order: MoveOrder,
    /// Cached name of the order, which is needed for each report of counts.
    name: Option<MoveName>,
    started_at: Time,
    /// When the router last looked at the move.
    watched_at: Time,
    /// Since when the router has watched the move without a gap.
    watching_since: Time,
    progress: Option<MoveProgress>,
    withdrawn_at: Option<Time>,
    local: BTreeMap<(RouteName, Arm), RequestCounts>,
    /// Counts of other runs: of other routers, and of this one before it restarted.
    peers: HashMap<RouterRun, BTreeMap<(RouteName, Arm), RequestCounts>>,
    scores: BTreeMap<Option<RouteName>, CountScore>,
    /// Answers of the old and the new version that all routers have counted. The sums are cached at
    /// each evaluation, since every request reads them.
    answers: [u64; 2],
    /// Progress that is to be reported, and the time since when.
    pending_report: Option<(MoveProgress, Time)>,
}

impl Changeover {
    /// Starts the move at `now`, when the router learns of the order.
    pub fn new(order: MoveOrder, now: Time) -> Self {
        Self {
            name: order.name(),
            order,
            started_at: now,
            watched_at: now,
            watching_since: now,
            progress: None,
            withdrawn_at: None,
            local: BTreeMap::new(),
            peers: HashMap::new(),
            scores: BTreeMap::new(),
            answers: [0; 2],
            pending_report: None,
        }
    }

    /// The operator's order.
    pub fn order(&self) -> &MoveOrder {
        &self.order
    }

    /// Goes on under the order as found in a later era. Its progress has to be reported again.
    pub fn adopt_order(&mut self, order: MoveOrder) {
        self.name = order.name();
        self.order = order;
        self.pending_report = None;
    }

    /// Name of the order, see [`MoveOrder::name`].
    pub fn name(&self) -> Option<&MoveName> {
        self.name.as_ref()
    }

    /// Progress as far as this router knows, `None` before the first report.
    pub fn progress(&self) -> Option<MoveProgress> {
        self.progress
    }

    /// Classifies a version: the order's is new, every other one is old.
    pub fn arm(&self, version: &str) -> Arm {
        if version == &*self.order.version {
            Arm::New
        } else {
            Arm::Old
        }
    }

    /// Sets the progress that this or another router has found. The first final state is kept.
    pub fn adopt(&mut self, progress: MoveProgress) {
        if !self.is_over() {
            self.progress = Some(progress);
        }
    }

    /// Sets the progress that is stored for operators. A final state there overrides what this
    /// router has found.
    pub fn set_reported(&mut self, progress: MoveProgress) {
        if progress == MoveProgress::InProgress {
            self.adopt(progress);
        } else {
            self.progress = Some(progress);
        }
    }

    /// Whether the move is complete or reverted.
    pub fn is_over(&self) -> bool {
        self.progress.is_some_and(MoveProgress::is_over)
    }

    /// Records that the operator has withdrawn the order; a move in progress is reverted.
    pub fn withdraw(&mut self, now: Time) {
        self.withdrawn_at.get_or_insert(now);
        self.adopt(MoveProgress::Reverted);
    }

    /// Whether the order was withdrawn and its move has no effect any more, so that it can be
    /// removed.
    pub fn is_expired(&self, now: Time) -> bool {
        self.withdrawn_at.is_some_and(|since| {
            self.progress == Some(MoveProgress::Complete) || now.since(since) >= WITHDRAWN_RETENTION
        })
    }

    /// Verdict to send to other routers, `None` while the move is in progress.
    pub fn verdict(&self) -> Option<MoveDecision> {
        match self.progress? {
            MoveProgress::InProgress => None,
            MoveProgress::Complete => Some(MoveDecision::Good),
            MoveProgress::Reverted => Some(MoveDecision::Faulty),
        }
    }

    /// Records that the router is running at `now`.
    pub fn watch(&mut self, now: Time) {
        if now.since(self.watched_at) > MAX_WATCH_GAP {
            self.watching_since = now;
        }
        self.watched_at = now;
    }

    /// Whether what this router knows of the new version's answers is up to date.
    fn is_watching(&self, now: Time) -> bool {
        self.watching_since == self.started_at || now.since(self.watching_since) >= REWATCH_TIME
    }

    /// Fraction of the order's time that has passed.
    fn elapsed(&self, now: Time) -> f64 {
        now.since(self.started_at).as_secs_f64() / self.order.within.as_secs_f64().max(f64::EPSILON)
    }

    /// Share of the requests that go to the new version at `now`, from 0 to 1.
    pub fn share(&self, now: Time) -> f64 {
        match self.progress {
            Some(MoveProgress::Reverted) => return 0.0,
            Some(MoveProgress::Complete) => return 1.0,
            Some(MoveProgress::InProgress) | None => {}
        }
        let [_, answers] = self.answers;
        let is_initial = answers < MIN_NEW_ANSWERS;
        let base = if is_initial {
            INITIAL_SHARE
        } else {
            CANARY_SHARE
        };
        let ramp = (self.elapsed(now) - RAMP_START) / (RAMP_END - RAMP_START);
        if ramp <= 0.0 || !self.may_ramp() {
            return base;
        }
        (base + ramp * (1.0 - base)).min(1.0)
    }

    /// Chooses the version for a request. Requests with the same `context` get the same version,
    /// which changes at most once while the share rises; for others `random`, uniform in 0..1,
    /// decides.
    pub fn choose(&self, context: Option<u64>, random: f64, now: Time) -> Arm {
        let position = context.map_or(random, |context| {
            let hash = xxh3_64_with_seed(&context.to_le_bytes(), self.order.offset.into());
            #[expect(clippy::cast_precision_loss, reason = "53 bits fit an f64 exactly")]
            let position = (hash >> 11) as f64 / (1_u64 << 53) as f64;
            position
        });
        if position < self.share(now) {
            Arm::New
        } else {
            Arm::Old
        }
    }

    /// Counts an answer to a request that this router sent.
    pub fn record_answer(&mut self, route: &RouteName, arm: Arm, quality: AnswerQuality) {
        let counts = self.local.entry((route.clone(), arm)).or_default();
        counts.requests += 1;
        self.answers[usize::from(arm == Arm::New)] += 1;
        match quality {
            AnswerQuality::Good => {}
            AnswerQuality::Slow => counts.slow_between += 1,
            AnswerQuality::Failed => counts.failures += 1,
        }
    }

    /// Counts of this router by route and version.
    pub fn counts(&self) -> impl Iterator<Item = (&RouteName, Arm, RequestCounts)> {
        self.local
            .iter()
            .map(|((route, arm), counts)| (route, *arm, *counts))
    }

    /// Replaces the counts of another run for a route and version.
    pub fn set_peer_counts(
        &mut self,
        run: &RouterRun,
        route: &RouteName,
        arm: Arm,
        counts: RequestCounts,
    ) {
        let known = self.peers.entry(run.clone()).or_default();
        known.insert((route.clone(), arm), counts);
    }

    /// Whether the new version has enough answers, and no score is doubtful.
    fn may_ramp(&self) -> bool {
        let [old, new] = self.answers;
        new >= (old / MAX_OLD_PER_NEW_ANSWER).min(MIN_NEW_ANSWERS)
            && self.scores.values().all(|score| !score.is_doubtful())
    }

    /// Sum of all routers' counts of a version, on one route or, for `None`, on all routes.
    pub fn sum(&self, route: Option<&RouteName>, arm: Arm) -> RequestCounts {
        let all = std::iter::once(&self.local).chain(self.peers.values());
        let found = all.flatten().filter(|((counted, counted_arm), _)| {
            *counted_arm == arm && route.is_none_or(|route| route == counted)
        });
        found.fold(RequestCounts::default(), |total, (_, counts)| {
            total.plus(counts)
        })
    }

    /// Compares the versions on each route and on all routes together; a fault reverts the move.
    fn evaluate(&mut self) {
        self.answers = [Arm::Old, Arm::New].map(|arm| self.sum(None, arm).requests);
        let all = std::iter::once(&self.local).chain(self.peers.values());
        let routes = all.flatten().map(|((route, _), _)| Some(route.clone()));
        let mut routes: Vec<_> = routes.chain([None]).collect();
        routes.sort();
        routes.dedup();
        for route in routes {
            let old = self.sum(route.as_ref(), Arm::Old);
            let new = self.sum(route.as_ref(), Arm::New);
            let score = self.scores.entry(route).or_default();
            score.update(
                (old.failed_or_slow(), old.requests),
                (new.failed_or_slow(), new.requests),
            );
        }
        if self.scores.values().any(CountScore::is_fault) {
            self.adopt(MoveProgress::Reverted);
        }
    }

    /// Returns the progress that this router has to report now, if any.
    ///
    /// `old_outstanding` is the number of outstanding requests at old targets, `has_new_targets`
    /// says whether targets of the new version exist, `rank` is the number of routers that report
    /// before this one, and `reported` is the progress that is stored for operators.
    pub fn due_report(
        &mut self,
        old_outstanding: u32,
        has_new_targets: bool,
        rank: u32,
        reported: Option<MoveProgress>,
        now: Time,
    ) -> Option<MoveProgress> {
        if self.withdrawn_at.is_some() {
            return None;
        }
        self.watch(now);
        self.evaluate();
        let drained = old_outstanding == 0 || self.elapsed(now) >= LATEST_COMPLETION;
        let may_end = drained && has_new_targets && self.is_watching(now);
        if !self.is_over() && self.share(now) >= 1.0 && may_end {
            let due = self.stagger(MoveProgress::Complete, rank, now);
            return due.filter(|due| Some(*due) != reported);
        }
        let due = match self.progress {
            Some(progress) if self.is_over() => progress,
            _ => MoveProgress::InProgress,
        };
        if reported == Some(due) {
            self.pending_report = None;
            return None;
        }
        self.stagger(due, rank, now)
    }

    /// Returns `due` once it has been pending for this rank's delay.
    fn stagger(&mut self, due: MoveProgress, rank: u32, now: Time) -> Option<MoveProgress> {
        let since = match self.pending_report {
            Some((pending, since)) if pending == due => since,
            _ => now,
        };
        self.pending_report = Some((due, since));
        (now.since(since) >= REPORT_STAGGER * rank).then_some(due)
    }
}

#[cfg(test)]
#[path = "../tests/unit/changeover.rs"]
mod tests;
