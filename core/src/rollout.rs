//! Rollouts of model versions: the new version's traffic share and the verdict on the version.
//!
//! Every router computes the same share from the same inputs: the configuration document, verdicts,
//! evidence and the time. No router is a leader. While the share rises, a chat changes its version
//! at most once.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::{
    doc::{MoveIntent, VersionMove},
    id::{ChatId, DeclarationHash},
    name::MoveName,
    sequential::{Baseline, Check, CheckScores, LogRatioSums},
    tally::{History, Lane, Sample},
};

/// Number of requests of the new version that must have been compared before its share rises.
pub const MIN_COMPARED_REQUESTS: u32 = 200;
/// Fraction of the time until the due time that is kept in reserve.
const TIME_RESERVE: f64 = 0.1;
/// Minimum time in which the share may double, so that caches and cold targets can warm up.
const MIN_DOUBLING_TIME: Duration = Duration::from_secs(10);

/// Delay of a comparison, until the old version's counts have arrived from every agent.
const BASELINE_DELAY_SECONDS: u64 = 3;
/// Maximum number of requests that are queued for comparison; the oldest is dropped first.
const MAX_PENDING: usize = 8192;

/// Phase of a rollout, as shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Display, Serialize, Deserialize)]
pub enum Phase {
    /// The new version gets no traffic yet.
    #[display("planned")]
    Planned,
    /// The new version gets a part of the traffic.
    #[display("moving")]
    Moving,
    /// The operator holds the share at its current value.
    #[display("held")]
    Held,
    /// The new version gets all traffic.
    #[display("done")]
    Done,
    /// The due time has passed, and the old version still gets traffic.
    #[display("late")]
    Late,
    /// The old version gets all traffic again.
    #[display("rolled back")]
    RolledBack,
}

/// Why a version was found faulty. A verdict is never withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Check that reached the fault threshold.
    pub check: Check,
    /// Lane in which the check failed, `None` for all lanes together.
    pub lane: Option<Lane>,
    /// Number of requests of the new version that had been compared in that lane.
    pub samples: u32,
}

/// Inputs of the share that are not part of the configuration document.
#[derive(Debug, Clone, Copy, Default)]
pub struct RolloutState {
    /// Time at which the current intent was first seen, in seconds since the Unix epoch.
    pub intent_since: u64,
    /// Time at which the evidence was first sufficient for the share to rise, in seconds since the
    /// Unix epoch; `None` before that.
    pub cleared: Option<u64>,
    /// Whether a verdict has found the new version faulty.
    pub faulty: bool,
    /// Fraction of the model's traffic that the new version's warm targets can serve, 0 to 1.
    pub capacity: f64,
}

/// Share of the traffic that goes to the new version, from 0 to 1, at `now` in seconds since the
/// Unix epoch.
pub fn share(rollout: &VersionMove, state: &RolloutState, now: u64) -> f64 {
    if state.faulty || rollout.intent == MoveIntent::Back {
        return 0.0;
    }
    let now = if rollout.intent == MoveIntent::Hold {
        now.min(state.intent_since)
    } else {
        now
    };
    scheduled(rollout, state, now)
        .min(state.capacity)
        .clamp(0.0, 1.0)
}

/// Share before the capacity limit. It rises exponentially from the start share to all traffic,
/// early enough to keep [`TIME_RESERVE`], but doubles at most once in [`MIN_DOUBLING_TIME`].
#[expect(clippy::cast_precision_loss, reason = "seconds fit an f64 exactly")]
fn scheduled(rollout: &VersionMove, state: &RolloutState, now: u64) -> f64 {
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

/// Hash of a move's model and versions, so that a verdict does not apply to another version under
/// the same move name.
pub fn declaration(rollout: &VersionMove) -> DeclarationHash {
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

/// Whether `chat` is served by the new version at this share (0 to 1). A chat that is served by it
/// stays there while the share rises.
pub fn uses_new_version(name: &MoveName, chat: ChatId, share: f64) -> bool {
    let hash = xxh3_64_with_seed(name.as_str().as_bytes(), chat.into());
    #[expect(clippy::cast_precision_loss, reason = "53 bits fit an f64 exactly")]
    let position = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    position < share
}

/// Phase of the rollout at `now`, in seconds since the Unix epoch.
pub fn phase(rollout: &VersionMove, state: &RolloutState, now: u64) -> Phase {
    let share = share(rollout, state, now);
    if state.faulty || rollout.intent == MoveIntent::Back {
        Phase::RolledBack
    } else if share >= 1.0 {
        Phase::Done
    } else if now > rollout.due {
        Phase::Late
    } else if rollout.intent == MoveIntent::Hold {
        Phase::Held
    } else if share > 0.0 {
        Phase::Moving
    } else {
        Phase::Planned
    }
}

/// Result of one agent's comparison, as sent to other processes. A newer one replaces the older
/// ones of the same agent incarnation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Sums over all lanes.
    pub all: LogRatioSums,
    /// Sums of each lane.
    pub lanes: BTreeMap<Lane, LogRatioSums>,
}

/// A finished request, queued until the old version's counts for its second have arrived.
#[derive(Debug, Clone, Copy)]
struct PendingSample {
    second: u64,
    lane: Lane,
    sample: Sample,
}

/// An agent's comparison of its own requests of the new version with the old version's.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    pending: VecDeque<PendingSample>,
    evidence: Evidence,
}

impl Comparison {
    /// Queues a request of the new version that finished in `second` since the Unix epoch.
    ///
    /// The caller leaves out requests that ended because of a lost zone, a cold start or a suspect
    /// request, since their results do not depend on the version.
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

    /// Compares the queued requests for which the old version's counts are complete at `now`, in
    /// seconds since the Unix epoch.
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

    /// Evidence to send to other processes.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }
}

/// Combines the evidence of all agents of a rollout into a verdict.
#[derive(Debug, Clone, Default)]
pub struct Evaluator {
    all: CheckScores,
    lanes: BTreeMap<Lane, CheckScores>,
    samples: u32,
    verdict: Option<Verdict>,
}

impl Evaluator {
    /// Evaluates the newest evidence of every agent; returns the verdict once there is one. Later
    /// evidence does not withdraw it.
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

    /// Whether there is enough evidence, and no verdict, so that the share may rise.
    pub fn is_cleared(&self) -> bool {
        self.verdict.is_none() && self.samples >= MIN_COMPARED_REQUESTS
    }
}
