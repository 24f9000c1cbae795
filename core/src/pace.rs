//! How long answers of each route usually take, and which ones are much slower.

use std::{collections::HashMap, time::Duration};

use crate::{name::RouteName, time::Time};

/// Weight of a new answer in the mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Answers from which on a mean can be compared with.
const MIN_ANSWERS: u32 = 20;
/// Multiple of the mean from which on an answer is slow. Targets of one service differ in speed by
/// less, and versions that are slow at fault by more.
const SLOW_RATIO: f64 = 3.0;
/// Time beyond that multiple, so that very short means decide nothing.
const SLOW_SLACK: Duration = Duration::from_millis(10);

/// Parts of a stream from which on their mean distance says something.
const MIN_PARTS: u32 = 6;

/// How long an answer took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timing {
    /// Time to the end of an answer with one body.
    Whole(Duration),
    /// Mean time between two events of a stream. Its first event says nothing about a version,
    /// since a new one has read no context yet.
    Events(Duration),
}

impl Timing {
    fn seconds(self) -> f64 {
        match self {
            Self::Whole(time) | Self::Events(time) => time.as_secs_f64(),
        }
    }
}

/// Arrivals of a stream's parts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Arrivals {
    first: Option<Time>,
    last: Time,
    parts: u32,
}

impl Arrivals {
    /// Records that a part arrived, and returns the time since the one before.
    pub fn record(&mut self, now: Time) -> Option<Duration> {
        let gap = self.first.map(|_| now.since(self.last));
        self.first.get_or_insert(now);
        self.last = now;
        self.parts += 1;
        gap
    }

    /// Mean time between two parts, where there were enough of them.
    pub fn mean_gap(&self) -> Option<Duration> {
        let first = self.first.filter(|_| self.parts >= MIN_PARTS)?;
        Some(self.last.since(first) / (self.parts - 1))
    }
}

/// The usual time of one route's answers.
#[derive(Debug, Clone, Copy, Default)]
struct MeanTime {
    seconds: f64,
    answers: u32,
}

/// Usual times by route.
#[derive(Debug, Default)]
pub(crate) struct RouteMeanTimes(HashMap<RouteName, MeanTime>);

impl RouteMeanTimes {
    /// Whether an answer is much slower than usual.
    pub(crate) fn is_slow(&self, route: &RouteName, timing: Timing) -> bool {
        let known = self.0.get(route).filter(|mean| mean.answers >= MIN_ANSWERS);
        known.is_some_and(|mean| {
            timing.seconds() > mean.seconds * SLOW_RATIO + SLOW_SLACK.as_secs_f64()
        })
    }

    /// Takes an answer into the mean.
    pub(crate) fn record(&mut self, route: &RouteName, timing: Timing) {
        let mean = self.0.entry(route.clone()).or_default();
        mean.answers = mean.answers.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(mean.answers));
        mean.seconds += weight * (timing.seconds() - mean.seconds);
    }
}
