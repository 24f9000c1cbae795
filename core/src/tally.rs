//! Counts of finished requests by second and lane, which can be merged over agents.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::doc::Priority;

/// Age limit of the tallies in a [`History`], relative to the newest second.
pub const HISTORY_SECONDS: u64 = 60;
/// Ratio between the edges of adjacent buckets.
const BUCKET_RATIO: f64 = 1.15;
/// Lower edge of the first bucket; shorter times are counted there too.
const FIRST_EDGE: Duration = Duration::from_millis(1);

/// Class of model requests that is compared separately, since a version may serve only one class
/// badly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lane {
    /// Priority class of the requests.
    pub priority: Priority,
    /// Whether the requests ask for streamed answers.
    pub streamed: bool,
}

/// Result of one finished request, as used to compare versions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Whether the request failed because of the engine.
    pub failed: bool,
    /// Time from the start of the request to the first token.
    pub first_token: Duration,
    /// Mean time between two tokens; the total time of an answer that arrived in one part.
    pub between_tokens: Duration,
}

/// Sparse histogram of times with logarithmic buckets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Histogram(BTreeMap<u8, u32>);

/// Index of the bucket that contains `time`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
pub fn bucket(time: Duration) -> u8 {
    let ratio = time.as_secs_f64() / FIRST_EDGE.as_secs_f64();
    (ratio.max(1.0).ln() / BUCKET_RATIO.ln()).clamp(0.0, f64::from(u8::MAX)) as u8
}

impl Histogram {
    fn push(&mut self, time: Duration) {
        *self.0.entry(bucket(time)).or_default() += 1;
    }

    fn merge(&mut self, other: &Self) {
        for (bucket, count) in &other.0 {
            *self.0.entry(*bucket).or_default() += count;
        }
    }

    /// Returns the lowest bucket above which at most `share` (0 to 1) of the times lie, and the
    /// number of times above it.
    pub fn tail(&self, share: f64) -> (u8, u32) {
        let total: u32 = self.0.values().sum();
        let mut above = 0;
        for (bucket, count) in self.0.iter().rev() {
            if f64::from(above + count) > share * f64::from(total) {
                return (*bucket, above);
            }
            above += count;
        }
        (0, above)
    }
}

/// Counts and latencies of finished requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Number of finished requests.
    pub requests: u32,
    /// Number of failed requests among them.
    pub failures: u32,
    /// Times to the first token, without failed requests.
    #[serde(rename = "first")]
    pub first_token: Histogram,
    /// Mean times between tokens, without failed requests.
    #[serde(rename = "between")]
    pub between_tokens: Histogram,
}

impl Tally {
    fn push(&mut self, sample: &Sample) {
        self.requests += 1;
        if sample.failed {
            self.failures += 1;
            return;
        }
        self.first_token.push(sample.first_token);
        self.between_tokens.push(sample.between_tokens);
    }

    fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failures += other.failures;
        self.first_token.merge(&other.first_token);
        self.between_tokens.merge(&other.between_tokens);
    }
}

/// Tallies by second and lane, of one agent or of several.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History(BTreeMap<u64, BTreeMap<Lane, Tally>>);

impl History {
    /// Adds a request that finished in `second` since the Unix epoch.
    pub fn push(&mut self, second: u64, lane: Lane, sample: &Sample) {
        self.0
            .entry(second)
            .or_default()
            .entry(lane)
            .or_default()
            .push(sample);
        self.evict(second);
    }

    /// Adds another agent's tallies of `second` since the Unix epoch.
    pub fn merge(&mut self, second: u64, tallies: &BTreeMap<Lane, Tally>) {
        let own = self.0.entry(second).or_default();
        for (lane, tally) in tallies {
            own.entry(*lane).or_default().merge(tally);
        }
        self.evict(second);
    }

    fn evict(&mut self, newest: u64) {
        while let Some(entry) = self.0.first_entry()
            && *entry.key() + HISTORY_SECONDS < newest
        {
            entry.remove();
        }
    }

    /// Tallies of one second, to be sent to other processes; `None` without requests.
    pub fn second(&self, second: u64) -> Option<&BTreeMap<Lane, Tally>> {
        self.0.get(&second)
    }

    /// Sums the requests around `second` in one lane or, for `None`, in all. The window is the
    /// shortest that has `min_requests`, and extends at most `max_radius` seconds to each side.
    pub fn around(
        &self,
        second: u64,
        lane: Option<Lane>,
        min_requests: u32,
        max_radius: u64,
    ) -> Tally {
        let mut sum = Tally::default();
        for radius in 0..=max_radius {
            self.add_second(&mut sum, second.wrapping_sub(radius), lane);
            if radius > 0 {
                self.add_second(&mut sum, second + radius, lane);
            }
            if sum.requests >= min_requests {
                break;
            }
        }
        sum
    }

    fn add_second(&self, sum: &mut Tally, second: u64, lane: Option<Lane>) {
        let Some(tallies) = self.0.get(&second) else {
            return;
        };
        for (found, tally) in tallies {
            if lane.is_none_or(|lane| lane == *found) {
                sum.merge(tally);
            }
        }
    }
}
