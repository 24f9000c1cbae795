//! Mean answer times by route, and detection of answers that are much slower than the mean.

use std::{collections::HashMap, time::Duration};

use crate::{name::RouteName, time::Time};

/// Weight of the newest sample in the moving mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Number of samples that a mean needs before answers are compared with it.
const MIN_ANSWERS: u32 = 20;
/// An answer is slow above this multiple of the mean. Targets of one service differ in speed by
/// less; faulty versions are slower by more.
const SLOW_RATIO: f64 = 3.0;
/// Time added to the threshold, so that a very short mean does not make small delays count as slow.
const SLOW_SLACK: Duration = Duration::from_millis(10);

/// Number of parts that a stream needs before the mean gap between them is meaningful.
const MIN_PARTS: u32 = 6;

/// Duration by which the speed of an answer is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timing {
    /// Time until the end of an answer that is not a stream.
    Whole(Duration),
    /// Mean time between two events of a stream. The time to the first event is not used: a newly
    /// started version has not cached any context yet and is slower there without a fault.
    Events(Duration),
}

impl Timing {
    pub(crate) fn seconds(self) -> f64 {
        match self {
            Self::Whole(time) | Self::Events(time) => time.as_secs_f64(),
        }
    }
}

/// Arrival times of a stream's parts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Arrivals {
    first: Option<Time>,
    last: Time,
    parts: u32,
}

impl Arrivals {
    /// Records that a part arrived, and returns the time since the previous part; `None` for the
    /// first one.
    pub fn record(&mut self, now: Time) -> Option<Duration> {
        let gap = self.first.map(|_| now.since(self.last));
        self.first.get_or_insert(now);
        self.last = now;
        self.parts += 1;
        gap
    }

    /// Mean time between two consecutive parts; `None` if the stream had too few parts.
    pub fn mean_gap(&self) -> Option<Duration> {
        let first = self.first.filter(|_| self.parts >= MIN_PARTS)?;
        Some(self.last.since(first) / (self.parts - 1))
    }
}

/// Moving mean of the answer times of one route.
#[derive(Debug, Clone, Copy, Default)]
struct MeanTime {
    seconds: f64,
    answers: u32,
}

/// Moving means of the answer times by route.
#[derive(Debug, Default)]
pub(crate) struct RouteMeanTimes(HashMap<RouteName, MeanTime>);

impl RouteMeanTimes {
    /// Whether an answer is much slower than the mean of its route; false while the mean has too
    /// few samples.
    pub(crate) fn is_slow(&self, route: &RouteName, timing: Timing) -> bool {
        let known = self.0.get(route).filter(|mean| mean.answers >= MIN_ANSWERS);
        known.is_some_and(|mean| {
            timing.seconds() > mean.seconds * SLOW_RATIO + SLOW_SLACK.as_secs_f64()
        })
    }

    /// Adds an answer to the mean of its route.
    pub(crate) fn record(&mut self, route: &RouteName, timing: Timing) {
        let mean = self.0.entry(route.clone()).or_default();
        mean.answers = mean.answers.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(mean.answers));
        mean.seconds += weight * (timing.seconds() - mean.seconds);
    }
}
