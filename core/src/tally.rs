//! Counts of finished requests by second and route, which merge over agents.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::doc::Priority;

/// Seconds that are kept.
pub const HISTORY_SECONDS: u64 = 60;
/// Ratio of the edges of neighbouring buckets.
const BUCKET_RATIO: f64 = 1.15;
/// Lower edge of the first bucket.
const FIRST_EDGE: Duration = Duration::from_millis(1);

/// A kind of model request that a version may serve worse than others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lane {
    /// How urgent the requests are.
    pub priority: Priority,
    /// Whether the answers are streamed.
    pub streamed: bool,
}

/// One finished request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Whether it failed by the engine's fault.
    pub failed: bool,
    /// Time to the first token.
    pub first_token: Duration,
    /// Mean time between tokens.
    pub between_tokens: Duration,
}

/// Times in logarithmic buckets; only buckets in use take space.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Histogram(BTreeMap<u8, u32>);

/// The bucket of a time.
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

    /// The lowest bucket above which at most `share` of the times lie, and how many lie above it.
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

/// Counts of finished requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Finished requests.
    pub requests: u32,
    /// Failed ones among them.
    pub failures: u32,
    /// Times to the first token of those that did not fail.
    #[serde(rename = "first")]
    pub first_token: Histogram,
    /// Times between tokens of those that did not fail.
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

/// Tallies by second and route, of one agent or of many.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History(BTreeMap<u64, BTreeMap<Lane, Tally>>);

impl History {
    /// Adds a request that finished in `second`, counted from the Unix epoch.
    pub fn push(&mut self, second: u64, lane: Lane, sample: &Sample) {
        self.0
            .entry(second)
            .or_default()
            .entry(lane)
            .or_default()
            .push(sample);
        self.evict(second);
    }

    /// Adds another agent's tallies of one second.
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

    /// The tallies of one second, as they are told to others.
    pub fn second(&self, second: u64) -> Option<&BTreeMap<Lane, Tally>> {
        self.0.get(&second)
    }

    /// Requests around `second` on one route, or on all: the shortest window on both sides, up to
    /// `max_radius` seconds, that holds `min_requests` of them.
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
