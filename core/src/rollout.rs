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
    doc::{MoveIntent, VersionMove},
    id::{ChatId, DeclarationHash},
    name::MoveName,
    sequential::{Baseline, Check, Scores, Sums},
    tally::{History, Lane, Sample},
};

/// Requests of the new version that must have been compared before its share rises.
pub const MIN_EVIDENCE: u32 = 200;
/// Part of the time until the due time that is kept in reserve.
const RESERVE: f64 = 0.1;
/// The share at most doubles in this time, so that caches and cold targets can follow.
const DOUBLING: Duration = Duration::from_secs(10);

/// Seconds until the old version's figures of a time have arrived from every agent.
const SETTLE_SECONDS: u64 = 3;
/// Requests that may wait to be compared.
const MAX_WAITING: usize = 8192;

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
pub struct Facts {
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
pub fn share(step: &VersionMove, facts: &Facts, now: u64) -> f64 {
    if facts.faulty || step.intent == MoveIntent::Back {
        return 0.0;
    }
    let now = if step.intent == MoveIntent::Hold {
        now.min(facts.intent_since)
    } else {
        now
    };
    scheduled(step, facts, now)
        .min(facts.capacity)
        .clamp(0.0, 1.0)
}

/// The share without the limit of capacity: exponential from the starting share to all traffic,
/// early enough to leave a reserve, and never faster than doubling in [`DOUBLING`].
#[expect(clippy::cast_precision_loss, reason = "seconds fit an f64 exactly")]
fn scheduled(step: &VersionMove, facts: &Facts, now: u64) -> f64 {
    let start = step.start_share;
    let Some(cleared) = facts.cleared.filter(|cleared| *cleared <= now) else {
        return start;
    };
    if start <= 0.0 {
        return 0.0;
    }
    let elapsed = now.saturating_sub(cleared) as f64;
    let left = step.due.saturating_sub(cleared) as f64 * (1.0 - RESERVE);
    let doublings = (1.0 / start).log2();
    let fastest = doublings * DOUBLING.as_secs_f64();
    let progress = elapsed / left.max(fastest);
    start * (1.0 / start).powf(progress.min(1.0))
}

/// Identifies the model and versions of a move, so that a verdict does not hold for another
/// version under the same name.
pub fn declaration(step: &VersionMove) -> DeclarationHash {
    let mut hasher = Xxh3::new();
    for part in [step.model.as_str(), step.from.as_str(), step.to.as_str()] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.digest().into()
}

/// Whether `chat` is served by the new version at this share.
pub fn takes_new(name: &MoveName, chat: ChatId, share: f64) -> bool {
    let hash = xxh3_64_with_seed(name.as_str().as_bytes(), chat.into());
    #[expect(clippy::cast_precision_loss, reason = "53 bits fit an f64 exactly")]
    let position = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    position < share
}

/// The phase that operators read back.
pub fn phase(step: &VersionMove, facts: &Facts, now: u64) -> Phase {
    let share = share(step, facts, now);
    if facts.faulty || step.intent == MoveIntent::Back {
        Phase::RolledBack
    } else if share >= 1.0 {
        Phase::Done
    } else if now > step.due {
        Phase::Late
    } else if step.intent == MoveIntent::Hold {
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
    pub all: Sums,
    /// Each route.
    pub lanes: BTreeMap<Lane, Sums>,
}

/// A finished request that waits until the old version's figures of its time have arrived.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    second: u64,
    lane: Lane,
    sample: Sample,
}

/// An agent's comparison of its own requests with the old version.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    waiting: VecDeque<Waiting>,
    evidence: Evidence,
}

impl Comparison {
    /// Adds a request of the new version that finished in `second`, counted from the Unix epoch.
    ///
    /// Requests that ended because of a lost zone, a cold start or a suspect request are not given
    /// to this function, since they say nothing about the version.
    pub fn push(&mut self, second: u64, lane: Lane, sample: Sample) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Waiting {
            second,
            lane,
            sample,
        });
    }

    /// Compares the requests whose time the old version's figures cover at `now`, in seconds since
    /// the Unix epoch.
    pub fn settle(&mut self, old: &History, now: u64) {
        let mut baselines: BTreeMap<(u64, Option<Lane>), Baseline> = BTreeMap::new();
        let mut at = |second, lane| {
            let entry = baselines.entry((second, lane));
            *entry.or_insert_with(|| Baseline::new(old, second, lane))
        };
        while let Some(request) = self.waiting.front().copied()
            && request.second + SETTLE_SECONDS <= now
        {
            self.waiting.pop_front();
            let Waiting {
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
pub struct Trial {
    all: Scores,
    lanes: BTreeMap<Lane, Scores>,
    samples: u32,
    verdict: Option<Verdict>,
}

impl Trial {
    /// Takes the newest evidence of every agent. A verdict is never withdrawn.
    pub fn update<'e>(
        &mut self,
        evidence: impl IntoIterator<Item = &'e Evidence>,
    ) -> Option<Verdict> {
        let mut all = Sums::default();
        let mut lanes: BTreeMap<Lane, Sums> = BTreeMap::new();
        for item in evidence {
            all.add(&item.all);
            for (lane, sums) in &item.lanes {
                lanes.entry(*lane).or_default().add(sums);
            }
        }
        self.samples = all.samples;
        self.judge(None, &all);
        for (lane, sums) in lanes {
            self.judge(Some(lane), &sums);
        }
        self.verdict
    }

    fn judge(&mut self, lane: Option<Lane>, sums: &Sums) {
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
        self.verdict.is_none() && self.samples >= MIN_EVIDENCE
    }
}
