//! Sequential tests that compare a new version with the old one.
//!
//! Each check is a cumulative log-likelihood ratio that is bounded below by zero (Page's CUSUM
//! test), so that a long good history does not hide a fault that shows late.

use serde::{Deserialize, Serialize};

use crate::tally::{Histogram, History, Lane, Sample, Tally, bucket};

/// Score at which a check finds a version faulty.
///
/// Over all checks, a good version's score returns to zero about 10^5 times in a rollout.
/// `ln(10^5 / 0.001)` is 18.4, so that fewer than 1 in 1,000 good rollouts are rolled back.
pub const FAULT_THRESHOLD: f64 = 18.5;
/// Minimum number of requests of the old version for a comparison.
const MIN_BASELINE_REQUESTS: u32 = 50;
/// Number of requests of the old version with which failures are compared, collected from at most
/// [`FAILURE_RADIUS_SECONDS`] before and after; rare events need a long window.
const FAILURE_BASELINE_REQUESTS: u32 = 2_000;
const FAILURE_RADIUS_SECONDS: u64 = 15;
/// Number of requests of the old version with which latencies are compared, collected from at most
/// [`LATENCY_RADIUS_SECONDS`] before and after. A surge slows both versions alike; with a longer
/// window, a good version would be found slow when a surge begins.
const LATENCY_BASELINE_REQUESTS: u32 = 150;
const LATENCY_RADIUS_SECONDS: u64 = 3;
/// Lower bound of the old version's assumed failure rate.
const MIN_FAILURE_RATE: f64 = 0.002;
/// Smallest rise of a rate that a check is to detect.
const MIN_RATE_RISE: f64 = 0.05;
/// Maximum score of one sample, so that a few events cannot reach the threshold.
const MAX_SAMPLE_SCORE: f64 = 3.0;
/// Maximum share of the old version's requests that exceed its latency limit.
const MAX_SLOW_SHARE: f64 = 0.1;

/// Property that is compared between two versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Check {
    /// Rate of failed requests.
    Failures,
    /// Time to the first token.
    FirstToken,
    /// Mean time between two tokens of an answer.
    BetweenTokens,
}

impl Check {
    /// All checks, in the order of their scores.
    pub const ALL: [Self; 3] = [Self::Failures, Self::FirstToken, Self::BetweenTokens];
}

/// Reference rates of the old version around the same time, in the same lane.
#[derive(Debug, Clone, Copy)]
pub struct Baseline {
    failures: Option<f64>,
    first_token: Option<LatencyLimit>,
    between_tokens: Option<LatencyLimit>,
}

/// Histogram bucket that few requests exceed, and the rate of those that do.
#[derive(Debug, Clone, Copy)]
struct LatencyLimit {
    bucket: u8,
    rate: f64,
}

impl Baseline {
    /// Summarises the old version's requests around `second` since the Unix epoch, in one lane or,
    /// for `None`, in all. Checks with too few requests are left out.
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

    /// Returns the old version's rate of events of `check` (failures or slow requests), and whether
    /// the new version's `sample` is such an event; `None` if they cannot be compared.
    fn compare(&self, check: Check, sample: &Sample) -> Option<(f64, bool)> {
        let slow = |limit: LatencyLimit, time| (limit.rate, bucket(time) > limit.bucket);
        match check {
            Check::Failures => self.failures.map(|rate| (rate, sample.failed)),
            // A failed request has no meaningful token latencies.
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

/// Rate of `count` in `total` plus two standard errors, so that random variation of the old
/// version's counts does not count against the new one.
fn upper_rate_bound(count: u32, total: u32) -> f64 {
    let total = f64::from(total.max(1));
    let rate = f64::from(count) / total;
    // Adding one half gives a count of zero a standard error too.
    let smoothed = (f64::from(count) + 0.5) / (total + 1.0);
    (rate + 2.0 * (smoothed * (1.0 - smoothed) / total).sqrt()).min(0.9)
}

/// Sums of the log-likelihood ratios of all checks in one lane.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LogRatioSums {
    /// Number of samples of the new version that were compared.
    pub samples: u32,
    values: [f64; Check::ALL.len()],
}

impl LogRatioSums {
    /// Adds one request of the new version, compared with the old version's `baseline`.
    pub fn observe(&mut self, sample: &Sample, baseline: &Baseline) {
        self.samples = self.samples.saturating_add(1);
        for (check, value) in Check::ALL.into_iter().zip(&mut self.values) {
            if let Some((rate, counts)) = baseline.compare(check, sample) {
                *value += log_likelihood_ratio(rate, counts);
            }
        }
    }

    /// Adds another agent's sums; log-likelihood ratios of independent samples are additive.
    pub fn add(&mut self, other: &Self) {
        self.samples = self.samples.saturating_add(other.samples);
        for (value, more) in self.values.iter_mut().zip(other.values) {
            *value += more;
        }
    }
}

/// Scores of all checks in one lane: the rise of each sum above its lowest value so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheckScores {
    lowest: [f64; Check::ALL.len()],
}

impl CheckScores {
    /// Updates the scores with the current sums; returns the first check that finds the version
    /// faulty, if any.
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

/// Log-likelihood ratio of one sample: of a risen event rate against an unchanged `rate`. `counts`
/// says whether the sample is an event.
fn log_likelihood_ratio(rate: f64, counts: bool) -> f64 {
    let risen = (2.0 * rate).max(rate + MIN_RATE_RISE).min(0.98);
    let ratio = if counts {
        risen / rate
    } else {
        (1.0 - risen) / (1.0 - rate)
    };
    ratio.ln().min(MAX_SAMPLE_SCORE)
}

/// Score at which [`CountScore`] finds the new version faulty. A service's move has some hundred
/// answers of the new version and few checks, so that it can be lower than [`FAULT_THRESHOLD`].
const COUNTS_THRESHOLD: f64 = 8.0;
/// Score from which the new version's share does not ramp up.
const COUNTS_DOUBT_THRESHOLD: f64 = 3.0;
/// Minimum number of requests of the old version for its own rate to be used.
const MIN_COUNTS_BASELINE_REQUESTS: u64 = 30;
/// Rate of bad answers that is assumed for the old version below that number.
const DEFAULT_RATE: f64 = 0.1;
/// Lower bound of the old version's rate of bad answers.
const MIN_COUNTS_RATE: f64 = 0.02;
/// Smallest rise of the rate of bad answers that is to be detected.
const MIN_COUNTS_RATE_RISE: f64 = 0.12;

/// Page's test on cumulative counts: the bad answers of a new version against the old version's
/// rate of bad answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct CountScore {
    value: f64,
    previous: (u64, u64),
}

impl CountScore {
    /// Updates the score with the current counts of both versions: bad answers and all answers.
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

    /// Whether the score is high enough to revert the move.
    pub fn is_fault(&self) -> bool {
        self.value >= COUNTS_THRESHOLD
    }

    /// Whether the score is high enough to keep the share from rising.
    pub fn is_doubtful(&self) -> bool {
        self.value >= COUNTS_DOUBT_THRESHOLD
    }
}
