//! Version moves of services whose targets register themselves: the share that the new version
//! gets, the verdict on it, and when its state is reported.
//!
//! Every router decides alike from the same order and from counts that routers tell each other. The
//! new version gets a small share until most of the time has passed, since a fault may show late;
//! then all traffic moves within a short time, and the move is complete once the old version has
//! nothing left to do.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use derive_more::Display;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    dissemination::{Arm, RequestCounts, Verdict},
    id::{Declaration, Offset},
    name::{MoveName, ProcessName, RouteName, ServiceName},
    sequential::Score,
    time::Time,
};

/// Share of the new version until it has given [`MIN_ANSWERS`], so that services with few requests
/// come to a verdict in time.
const FIRST_SHARE: f64 = 0.2;
/// Share of the new version while it is on trial after that. With the last part of the time it stays within
/// the tenth of all requests that a bad version may get.
const TRIAL_SHARE: f64 = 0.05;
/// Part of the time after which all traffic starts to move.
const TRIAL_PART: f64 = 0.72;
/// Part of the time at which all traffic has moved.
const MOVED_PART: f64 = 0.80;
/// Part of the time at which the move is reported complete although the old version still works.
const LATEST_PART: f64 = 0.95;
/// Answers of the new version without which the traffic does not move, unless the service has few.
const MIN_ANSWERS: u64 = 20;
/// Answers of the old version for each answer that is expected of the new one.
const OLD_PER_NEW: u64 = 25;
/// Time after which the next router in order reports what the one before it should have reported.
const RANK_STEP: Duration = Duration::from_millis(400);
/// Time for which the version of a withdrawn order gets nothing; its targets leave meanwhile.
const WITHDRAWN: Duration = Duration::from_secs(60);
/// Longest part of a service's name in the name of its move, in bytes.
const MAX_SERVICE: usize = 40;

/// An operator's order to move a service's traffic to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveOrder {
    /// The service.
    pub service: ServiceName,
    /// The version that is to get the traffic.
    pub version: Arc<str>,
    /// Time in which the move has to be complete.
    pub within: Duration,
    /// Where the order lies in the operators' stream, which tells it from earlier ones.
    pub number: Offset,
}

impl MoveOrder {
    /// The name under which routers tell each other about the move.
    pub fn name(&self) -> Option<MoveName> {
        let service = self.service.as_str();
        let service = &service[..service.len().min(MAX_SERVICE)];
        MoveName::new(format!("{service}.{}", u64::from(self.number))).ok()
    }

    /// Tells the order from others under the same name.
    pub fn declaration(&self) -> Declaration {
        let seed = u64::from(self.number);
        xxh3_64_with_seed(self.version.as_bytes(), seed).into()
    }
}

/// What operators read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Progress {
    /// The new version gets a share.
    #[display("in progress")]
    InProgress,
    /// All traffic goes to the new version.
    #[display("complete")]
    Complete,
    /// All traffic goes to the old version again.
    #[display("reverted")]
    Reverted,
}

impl Progress {
    /// Whether the move has ended.
    pub fn is_over(self) -> bool {
        matches!(self, Self::Complete | Self::Reverted)
    }
}

/// How a target did with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered in time.
    Good,
    /// It answered much later than usual.
    Slow,
    /// It failed.
    Failed,
}

/// One version move as a router sees it.
#[derive(Debug)]
pub struct Changeover {
    order: MoveOrder,
    /// Name of the order, which routers ask for with each piece of evidence.
    name: Option<MoveName>,
    since: Time,
    progress: Option<Progress>,
    withdrawn: Option<Time>,
    own: BTreeMap<(RouteName, Arm), RequestCounts>,
    others: HashMap<ProcessName, BTreeMap<(RouteName, Arm), RequestCounts>>,
    scores: BTreeMap<Option<RouteName>, Score>,
    /// Answers of the old and of the new version that all routers have counted. They are summed up
    /// with each judgement, since every request asks for them.
    answers: [u64; 2],
    /// What is to be reported, and since when.
    due: Option<(Progress, Time)>,
}

impl Changeover {
    /// Starts at the moment at which the router has learned of the order.
    pub fn new(order: MoveOrder, now: Time) -> Self {
        Self {
            name: order.name(),
            order,
            since: now,
            progress: None,
            withdrawn: None,
            own: BTreeMap::new(),
            others: HashMap::new(),
            scores: BTreeMap::new(),
            answers: [0; 2],
            due: None,
        }
    }

    /// The order.
    pub fn order(&self) -> &MoveOrder {
        &self.order
    }

    /// The name under which routers tell each other about the move.
    pub fn name(&self) -> Option<&MoveName> {
        self.name.as_ref()
    }

    /// What is known of the move's state.
    pub fn progress(&self) -> Option<Progress> {
        self.progress
    }

    /// Which of the two versions this one is; all others are old.
    pub fn arm(&self, version: &str) -> Arm {
        if version == &*self.order.version {
            Arm::New
        } else {
            Arm::Old
        }
    }

    /// Takes a state that another router has found or reported. The first end stands.
    pub fn adopt(&mut self, progress: Progress) {
        if !self.is_over() {
            self.progress = Some(progress);
        }
    }

    /// Takes the state that operators can read, which stands whatever this router has found.
    pub fn reported(&mut self, progress: Progress) {
        if progress == Progress::InProgress {
            self.adopt(progress);
        } else {
            self.progress = Some(progress);
        }
    }

    /// Whether the move has ended.
    pub fn is_over(&self) -> bool {
        self.progress.is_some_and(Progress::is_over)
    }

    /// Records that the operator has taken the order back.
    pub fn withdraw(&mut self, now: Time) {
        self.withdrawn.get_or_insert(now);
        self.adopt(Progress::Reverted);
    }

    /// Whether the order was taken back and the move says nothing any more.
    pub fn is_forgotten(&self, now: Time) -> bool {
        self.withdrawn.is_some_and(|since| {
            self.progress == Some(Progress::Complete) || now.since(since) >= WITHDRAWN
        })
    }

    /// The verdict that other routers are told.
    pub fn verdict(&self) -> Option<Verdict> {
        match self.progress? {
            Progress::InProgress => None,
            Progress::Complete => Some(Verdict::Good),
            Progress::Reverted => Some(Verdict::Faulty),
        }
    }

    fn elapsed(&self, now: Time) -> f64 {
        now.since(self.since).as_secs_f64() / self.order.within.as_secs_f64().max(f64::EPSILON)
    }

    /// Share of the requests that go to the new version, from 0 to 1.
    pub fn share(&self, now: Time) -> f64 {
        match self.progress {
            Some(Progress::Reverted) => return 0.0,
            Some(Progress::Complete) => return 1.0,
            Some(Progress::InProgress) | None => {}
        }
        let [_, answers] = self.answers;
        let first = answers < MIN_ANSWERS;
        let trial = if first { FIRST_SHARE } else { TRIAL_SHARE };
        let moved = (self.elapsed(now) - TRIAL_PART) / (MOVED_PART - TRIAL_PART);
        if moved <= 0.0 || !self.is_trusted() {
            return trial;
        }
        (trial + moved * (1.0 - trial)).min(1.0)
    }

    /// The version for a request. A context changes its version at most once while the share
    /// rises; `random` is uniform in 0..1.
    pub fn choose(&self, context: Option<u64>, random: f64, now: Time) -> Arm {
        let position = context.map_or(random, |context| {
            let hash = xxh3_64_with_seed(&context.to_le_bytes(), self.order.number.into());
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

    /// Counts an answer to a request of this router.
    pub fn count(&mut self, route: &RouteName, arm: Arm, outcome: Outcome) {
        let counts = self.own.entry((route.clone(), arm)).or_default();
        counts.requests += 1;
        self.answers[usize::from(arm == Arm::New)] += 1;
        match outcome {
            Outcome::Good => {}
            Outcome::Slow => counts.slow_between += 1,
            Outcome::Failed => counts.failures += 1,
        }
    }

    /// What this router has counted.
    pub fn counts(&self) -> impl Iterator<Item = (&RouteName, Arm, RequestCounts)> {
        self.own
            .iter()
            .map(|((route, arm), counts)| (route, *arm, *counts))
    }

    /// Takes what another router has counted.
    pub fn learn(
        &mut self,
        router: &ProcessName,
        route: &RouteName,
        arm: Arm,
        counts: RequestCounts,
    ) {
        let known = self.others.entry(router.clone()).or_default();
        known.insert((route.clone(), arm), counts);
    }

    /// Whether the new version has answered and nothing speaks against it.
    fn is_trusted(&self) -> bool {
        let [old, new] = self.answers;
        new >= (old / OLD_PER_NEW).min(MIN_ANSWERS)
            && self.scores.values().all(|score| !score.is_doubtful())
    }

    /// What all routers have counted of a version, on one route or on all of them.
    pub fn sum(&self, route: Option<&RouteName>, arm: Arm) -> RequestCounts {
        let all = std::iter::once(&self.own).chain(self.others.values());
        let found = all.flatten().filter(|((counted, side), _)| {
            *side == arm && route.is_none_or(|route| route == counted)
        });
        found.fold(RequestCounts::default(), |sum, (_, counts)| {
            sum.plus(counts)
        })
    }

    /// Compares the versions on each route and on all of them.
    fn judge(&mut self) {
        self.answers = [Arm::Old, Arm::New].map(|arm| self.sum(None, arm).requests);
        let all = std::iter::once(&self.own).chain(self.others.values());
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
        if self.scores.values().any(Score::is_fault) {
            self.adopt(Progress::Reverted);
        }
    }

    /// The state that this router has to report now, if any. `old_open` is the number of requests
    /// that old targets still work on, `has_new` tells whether there are targets of the new version,
    /// `rank` the number of routers that report before this one,
    /// and `reported` the state that the operators can read.
    pub fn due(
        &mut self,
        old_open: u32,
        has_new: bool,
        rank: u32,
        reported: Option<Progress>,
        now: Time,
    ) -> Option<Progress> {
        if self.withdrawn.is_some() {
            return None;
        }
        self.judge();
        let drained = old_open == 0 || self.elapsed(now) >= LATEST_PART;
        if !self.is_over() && self.share(now) >= 1.0 && drained && has_new {
            let wanted = self.wait(Progress::Complete, rank, now);
            return wanted.filter(|wanted| Some(*wanted) != reported);
        }
        let wanted = match self.progress {
            Some(progress) if self.is_over() => progress,
            _ => Progress::InProgress,
        };
        if reported == Some(wanted) {
            self.due = None;
            return None;
        }
        self.wait(wanted, rank, now)
    }

    fn wait(&mut self, wanted: Progress, rank: u32, now: Time) -> Option<Progress> {
        let since = match self.due {
            Some((due, since)) if due == wanted => since,
            _ => now,
        };
        self.due = Some((wanted, since));
        (now.since(since) >= RANK_STEP * rank).then_some(wanted)
    }
}
