//! Sequential tests that compare a new version with the old one.
//!
//! Each check is a cumulative log-likelihood ratio that never falls below zero (Page's CUSUM test),
//! so that a long good history does not hide a fault that shows late.

use serde::{Deserialize, Serialize};

use crate::tally::{Histogram, History, Lane, Sample, Tally, bucket};

/// Score at which a check holds a version to be faulty.
///
/// A good version's score comes back to zero and starts anew some 10^5 times in a move, over all
/// checks. `ln(10^5 / 0.001)` is 18.4, so that fewer than one good move in 1,000 is rolled back.
pub const FAULT_THRESHOLD: f64 = 18.5;
/// Least requests of the old version to compare with.
const MIN_BASELINE_REQUESTS: u32 = 50;
/// Requests of the old version that failures are compared with, within this many seconds to each
/// side; rare events need a long window.
const FAILURE_BASELINE_REQUESTS: u32 = 2_000;
const FAILURE_RADIUS_SECONDS: u64 = 15;
/// Requests of the old version that times are compared with, within this many seconds to each
/// side. A surge slows both versions alike, so that a longer window would hold a good version to be
/// slow when a surge begins.
const LATENCY_BASELINE_REQUESTS: u32 = 150;
const LATENCY_RADIUS_SECONDS: u64 = 3;
/// Rate that is taken for the old version when it has shown no failure.
const MIN_FAILURE_RATE: f64 = 0.002;
/// Smallest rise of a rate that a check looks for.
const MIN_RATE_RISE: f64 = 0.05;
/// Largest part that one sample may add, so that a few events never decide.
const MAX_SAMPLE_SCORE: f64 = 3.0;
/// Share of the old version's requests that are slower than its own limit, at most.
const MAX_SLOW_SHARE: f64 = 0.1;

/// What is compared between two versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Check {
    /// Requests that fail.
    Failures,
    /// Time to the first token.
    FirstToken,
    /// Time between tokens.
    BetweenTokens,
}

impl Check {
    /// Every check.
    pub const ALL: [Self; 3] = [Self::Failures, Self::FirstToken, Self::BetweenTokens];
}

/// What the old version did at the same time on the same route.
#[derive(Debug, Clone, Copy)]
pub struct Baseline {
    failures: Option<f64>,
    first_token: Option<LatencyLimit>,
    between_tokens: Option<LatencyLimit>,
}

/// A bucket that is rarely exceeded, and how often it is.
#[derive(Debug, Clone, Copy)]
struct LatencyLimit {
    bucket: u8,
    rate: f64,
}

impl Baseline {
    /// Summarises the old version's requests around `second`, as far as they are enough to compare
    /// with.
    pub fn new(old: &History, second: u64, lane: Option<Lane>) -> Self {
        let wide = old.around(
            second,
            lane,
            FAILURE_BASELINE_REQUESTS,
            FAILURE_RADIUS_SECONDS,
        );
        let close = old.around(
            second,
            lane,
            LATENCY_BASELINE_REQUESTS,
            LATENCY_RADIUS_SECONDS,
        );
        let usable = |tally: &Tally| tally.requests >= MIN_BASELINE_REQUESTS;
        let limit = |times| limit(times, close.requests - close.failures);
        Self {
            failures: usable(&wide)
                .then(|| upper_rate_bound(wide.failures, wide.requests).max(MIN_FAILURE_RATE)),
            first_token: usable(&close).then(|| limit(&close.first_token)),
            between_tokens: usable(&close).then(|| limit(&close.between_tokens)),
        }
    }

    /// The old version's rate of what `check` counts, and whether a sample of the new version
    /// counts.
    fn compare(&self, check: Check, sample: &Sample) -> Option<(f64, bool)> {
        let slow = |limit: LatencyLimit, time| (limit.rate, bucket(time) > limit.bucket);
        match check {
            Check::Failures => self.failures.map(|rate| (rate, sample.failed)),
            // A failed request has no meaningful token times.
            Check::FirstToken | Check::BetweenTokens if sample.failed => None,
            Check::FirstToken => self
                .first_token
                .map(|limit| slow(limit, sample.first_token)),
            Check::BetweenTokens => self
                .between_tokens
                .map(|limit| slow(limit, sample.between_tokens)),
        }
    }
}

fn limit(times: &Histogram, requests: u32) -> LatencyLimit {
    let (bucket, above) = times.tail(MAX_SLOW_SHARE);
    LatencyLimit {
        bucket,
        rate: upper_rate_bound(above, requests).max(MIN_RATE_RISE),
    }
}

/// The rate with two standard errors on top, so that chance in the old version's figures does not
/// count against the new one.
fn upper_rate_bound(count: u32, total: u32) -> f64 {
    let total = f64::from(total.max(1));
    let rate = f64::from(count) / total;
    // With one half added, a count of zero has a standard error too.
    let smoothed = (f64::from(count) + 0.5) / (total + 1.0);
    (rate + 2.0 * (smoothed * (1.0 - smoothed) / total).sqrt()).min(0.9)
}

/// The sums of the log-likelihood ratios of all checks on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LogRatioSums {
    /// Samples compared.
    pub samples: u32,
    values: [f64; Check::ALL.len()],
}

impl LogRatioSums {
    /// Compares one request of the new version with the old version.
    pub fn observe(&mut self, sample: &Sample, baseline: &Baseline) {
        self.samples = self.samples.saturating_add(1);
        for (check, value) in Check::ALL.into_iter().zip(&mut self.values) {
            if let Some((rate, counts)) = baseline.compare(check, sample) {
                *value += log_likelihood_ratio(rate, counts);
            }
        }
    }

    /// Adds another agent's sums: the log-likelihood ratios of independent samples add up.
    pub fn add(&mut self, other: &Self) {
        self.samples = self.samples.saturating_add(other.samples);
        for (value, more) in self.values.iter_mut().zip(other.values) {
            *value += more;
        }
    }
}

/// The scores of all checks on one route: how far each sum lies above its lowest value so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheckScores {
    lowest: [f64; Check::ALL.len()],
}

impl CheckScores {
    /// Takes new sums; returns the check that holds the version to be faulty, if one does.
    pub fn update(&mut self, sums: &LogRatioSums) -> Option<Check> {
        let mut fault = None;
        for ((check, low), value) in Check::ALL
            .into_iter()
            .zip(&mut self.lowest)
            .zip(sums.values)
        {
            *low = low.min(value);
            if value - *low >= FAULT_THRESHOLD {
                fault = fault.or(Some(check));
            }
        }
        fault
    }
}

/// The log-likelihood ratio of one sample: that the rate has risen against that it has not.
fn log_likelihood_ratio(rate: f64, counts: bool) -> f64 {
    let risen = (2.0 * rate).max(rate + MIN_RATE_RISE).min(0.98);
    let ratio = if counts {
        risen / rate
    } else {
        (1.0 - risen) / (1.0 - rate)
    };
    ratio.ln().min(MAX_SAMPLE_SCORE)
}

/// Score at which counts of two versions hold the new one to be faulty. A move has some hundred
/// answers of the new version and few checks, so that less is needed than [`FAULT_THRESHOLD`].
const COUNTS_THRESHOLD: f64 = 8.0;
/// Score from which on the new version gets no larger share.
const COUNTS_DOUBT_THRESHOLD: f64 = 3.0;
/// Requests of the old version that are enough to compare counts with.
const MIN_COUNTS_BASELINE_REQUESTS: u64 = 30;
/// Rate that is taken for the old version while there are fewer.
const DEFAULT_RATE: f64 = 0.1;
/// Smallest rate that is taken for the old version when counts are compared.
const MIN_COUNTS_RATE: f64 = 0.02;
/// Smallest rise of a rate that counts of two versions are searched for.
const MIN_COUNTS_RATE_RISE: f64 = 0.12;

/// Page's test on counts that grow: the bad answers of a new version against the rate of the old
/// one's.
#[derive(Debug, Clone, Copy, Default)]
pub struct CountScore {
    value: f64,
    previous: (u64, u64),
}

impl CountScore {
    /// Takes the present counts of bad answers and of all answers.
    pub fn update(&mut self, old: (u64, u64), new: (u64, u64)) {
        let (bad, all) = new;
        let more_bad = bad.saturating_sub(self.previous.0);
        let more = all.saturating_sub(self.previous.1).max(more_bad);
        self.previous = new;
        let narrow = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        let rate = if old.1 < MIN_COUNTS_BASELINE_REQUESTS {
            DEFAULT_RATE
        } else {
            upper_rate_bound(narrow(old.0), narrow(old.1)).max(MIN_COUNTS_RATE)
        };
        let risen = (2.0 * rate).max(rate + MIN_COUNTS_RATE_RISE).min(0.98);
        let for_bad = f64::from(narrow(more_bad)) * (risen / rate).ln();
        let good = f64::from(narrow(more - more_bad));
        let for_good = good * ((1.0 - risen) / (1.0 - rate)).ln();
        self.value = (self.value + for_bad + for_good).max(0.0);
    }

    /// Whether the new version is faulty.
    pub fn is_fault(&self) -> bool {
        self.value >= COUNTS_THRESHOLD
    }

    /// Whether the new version may be faulty.
    pub fn is_doubtful(&self) -> bool {
        self.value >= COUNTS_DOUBT_THRESHOLD
    }
}
