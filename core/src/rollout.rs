//! Version moves: the new version's share of the traffic, and the verdict on it.
//!
//! Every router computes the same share from the same facts: the document, verdicts, evidence and
//! the time. None leads, and a chat changes its version at most once while the share rises.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::{
    doc::{Intent, Move},
    id::{ChatId, Declaration},
    name::MoveName,
    sequential::{Baseline, Check, CheckScores, LogRatioSums},
    tally::{History, Lane, Sample},
};

/// Requests of the new version that must have been compared before its share rises.
pub const MIN_COMPARED_REQUESTS: u32 = 200;
/// Part of the time until the due time that is kept in reserve.
const TIME_RESERVE: f64 = 0.1;
/// The share at most doubles in this time, so that caches and cold targets can follow.
const MIN_DOUBLING_TIME: Duration = Duration::from_secs(10);

/// Seconds until the old version's figures of a time have arrived from every agent.
const BASELINE_DELAY_SECONDS: u64 = 3;
/// Requests that may wait to be compared.
const MAX_PENDING: usize = 8192;

/// The state of a version move, as operators read it back.
#[derive(Debug, Clone, Copy, PartialEq, Display, Serialize, Deserialize)]
pub enum Phase {
    /// No request has gone to the new version yet.
    #[display("planned")]
    Planned,
    /// A part of the traffic goes to the new version.
    #[display("moving")]
    Moving,
    /// The operator keeps the share as it is.
    #[display("held")]
    Held,
    /// All traffic goes to the new version.
    #[display("done")]
    Done,
    /// The due time has passed and traffic still goes to the old version.
    #[display("late")]
    Late,
    /// All traffic goes to the old version again.
    #[display("rolled back")]
    RolledBack,
}

/// Why a move was rolled back; never withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// The check that failed.
    pub check: Check,
    /// The route on which it failed, none for all routes together.
    pub lane: Option<Lane>,
    /// Samples of the new version that were compared.
    pub samples: u32,
}

/// Facts about a move beyond the document.
#[derive(Debug, Clone, Copy, Default)]
pub struct RolloutState {
    /// When the present intent was first seen, in seconds since the Unix epoch.
    pub intent_since: u64,
    /// When enough evidence in favour was first known, in seconds since the Unix epoch.
    pub cleared: Option<u64>,
    /// Whether there is a verdict against the new version.
    pub faulty: bool,
    /// The part of the model's traffic that the new version's warm targets can bear, 0 to 1.
    pub capacity: f64,
}

/// The share of the traffic that goes to the new version, from 0 to 1, at `now` in seconds since
/// the Unix epoch.
pub fn share(rollout: &Move, state: &RolloutState, now: u64) -> f64 {
    if state.faulty || rollout.intent == Intent::Back {
        return 0.0;
    }
    let now = if rollout.intent == Intent::Hold {
        now.min(state.intent_since)
    } else {
        now
    };
    scheduled(rollout, state, now)
        .min(state.capacity)
        .clamp(0.0, 1.0)
}

/// The share without the limit of capacity: exponential from the starting share to all traffic,
/// early enough to leave a reserve, and never faster than doubling in [`MIN_DOUBLING_TIME`].
#[expect(clippy::cast_precision_loss, reason = "seconds fit an f64 exactly")]
fn scheduled(rollout: &Move, state: &RolloutState, now: u64) -> f64 {
    let start = rollout.start_share;
    let Some(cleared) = state.cleared.filter(|cleared| *cleared <= now) else {
        return start;
    };
    if start <= 0.0 {
        return 0.0;
    }
    let elapsed = now.saturating_sub(cleared) as f64;
    let time_left = rollout.due.saturating_sub(cleared) as f64 * (1.0 - TIME_RESERVE);
    let doublings = (1.0 / start).log2();
    let min_ramp_time = doublings * MIN_DOUBLING_TIME.as_secs_f64();
    let progress = elapsed / time_left.max(min_ramp_time);
    start * (1.0 / start).powf(progress.min(1.0))
}

/// Identifies the model and versions of a move, so that a verdict does not hold for another
/// version under the same name.
pub fn declaration(rollout: &Move) -> Declaration {
    let mut hasher = Xxh3::new();
    for part in [
        rollout.model.as_str(),
        rollout.from.as_str(),
        rollout.to.as_str(),
    ] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.digest().into()
}

/// Whether `chat` is served by the new version at this share.
pub fn uses_new_version(name: &MoveName, chat: ChatId, share: f64) -> bool {
    let hash = xxh3_64_with_seed(name.as_str().as_bytes(), chat.into());
    #[expect(clippy::cast_precision_loss, reason = "53 bits fit an f64 exactly")]
    let position = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    position < share
}

/// The phase that operators read back.
pub fn phase(rollout: &Move, state: &RolloutState, now: u64) -> Phase {
    let share = share(rollout, state, now);
    if state.faulty || rollout.intent == Intent::Back {
        Phase::RolledBack
    } else if share >= 1.0 {
        Phase::Done
    } else if now > rollout.due {
        Phase::Late
    } else if rollout.intent == Intent::Hold {
        Phase::Held
    } else if share > 0.0 {
        Phase::Moving
    } else {
        Phase::Planned
    }
}

/// What an agent of the new version has seen, as it is told to others; the newest one of an
/// agent's incarnation replaces older ones.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// All routes together.
    pub all: LogRatioSums,
    /// Each route.
    pub lanes: BTreeMap<Lane, LogRatioSums>,
}

/// A finished request that waits until the old version's figures of its time have arrived.
#[derive(Debug, Clone, Copy)]
struct PendingSample {
    second: u64,
    lane: Lane,
    sample: Sample,
}

/// An agent's comparison of its own requests with the old version.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    pending: VecDeque<PendingSample>,
    evidence: Evidence,
}

impl Comparison {
    /// Adds a request of the new version that finished in `second`, counted from the Unix epoch.
    ///
    /// Requests that ended because of a lost zone, a cold start or a suspect request are not given
    /// to this function, since they say nothing about the version.
    pub fn push(&mut self, second: u64, lane: Lane, sample: Sample) {
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingSample {
            second,
            lane,
            sample,
        });
    }

    /// Compares the requests whose time the old version's figures cover at `now`, in seconds since
    /// the Unix epoch.
    pub fn compare_pending(&mut self, old: &History, now: u64) {
        let mut baselines: BTreeMap<(u64, Option<Lane>), Baseline> = BTreeMap::new();
        let mut at = |second, lane| {
            let entry = baselines.entry((second, lane));
            *entry.or_insert_with(|| Baseline::new(old, second, lane))
        };
        while let Some(request) = self.pending.front().copied()
            && request.second + BASELINE_DELAY_SECONDS <= now
        {
            self.pending.pop_front();
            let PendingSample {
                second,
                lane,
                sample,
            } = request;
            let sums = self.evidence.lanes.entry(lane).or_default();
            sums.observe(&sample, &at(second, Some(lane)));
            self.evidence.all.observe(&sample, &at(second, None));
        }
    }

    /// What is told to other processes.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }
}

/// Joins the evidence of all agents of a move and reaches the verdict.
#[derive(Debug, Clone, Default)]
pub struct Evaluator {
    all: CheckScores,
    lanes: BTreeMap<Lane, CheckScores>,
    samples: u32,
    verdict: Option<Verdict>,
}

impl Evaluator {
    /// Takes the newest evidence of every agent. A verdict is never withdrawn.
    pub fn update<'e>(
        &mut self,
        evidence: impl IntoIterator<Item = &'e Evidence>,
    ) -> Option<Verdict> {
        let mut all = LogRatioSums::default();
        let mut lanes: BTreeMap<Lane, LogRatioSums> = BTreeMap::new();
        for item in evidence {
            all.add(&item.all);
            for (lane, sums) in &item.lanes {
                lanes.entry(*lane).or_default().add(sums);
            }
        }
        self.samples = all.samples;
        self.evaluate(None, &all);
        for (lane, sums) in lanes {
            self.evaluate(Some(lane), &sums);
        }
        self.verdict
    }

    fn evaluate(&mut self, lane: Option<Lane>, sums: &LogRatioSums) {
        let scores = match lane {
            None => &mut self.all,
            Some(lane) => self.lanes.entry(lane).or_default(),
        };
        let Some(check) = scores.update(sums) else {
            return;
        };
        self.verdict.get_or_insert(Verdict {
            check,
            lane,
            samples: sums.samples,
        });
    }

    /// Whether the evidence is enough for the share to rise.
    pub fn is_cleared(&self) -> bool {
        self.verdict.is_none() && self.samples >= MIN_COMPARED_REQUESTS
    }
}
