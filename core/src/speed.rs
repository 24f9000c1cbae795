//! Estimate of a target's speed: from the slowness that it states with its answers, and, where it
//! states none, from the time that its answers take compared with those of its service's targets.

use std::{collections::HashMap, time::Duration};

use crate::{
    name::{RouteName, ServiceName},
    time::Time,
    timing::Timing,
};

/// Range of stated slowness that is used, where 1 is the usual speed.
const SLOWNESS_RANGE: [f64; 2] = [0.2, 20.0];
/// Age at which a stated slowness has lost its weight.
const STATED_TTL: Duration = Duration::from_millis(600);
/// Time after a statement for which answer times are not used, and within which a target that stated
/// a high slowness does not count as recovered because the statement has lost its weight.
const STATED_MEMORY: Duration = Duration::from_secs(3);
/// Weight of the newest stated slowness against the previous one, so that a target which states
/// another one with each answer does not move all traffic each time.
const STATED_WEIGHT: f64 = 0.5;
/// Weight of the newest answer in a target's mean ratio of answer times.
const RATIO_WEIGHT: f64 = 0.1;
/// Number of answers that a target's mean ratio needs before it is used.
const MIN_ANSWERS: u32 = 20;
/// Half-life of a measured difference without further answers.
const RATIO_HALF_LIFE: Duration = Duration::from_secs(5);
/// Ratio at which a target counts as clearly slower than its service. Answer times that vary by
/// 20 % stay below.
const CLEARLY_SLOWER: f64 = 1.5;
/// Ratio below which a target no longer counts as clearly slower.
const NO_LONGER_SLOWER: f64 = 1.25;
/// Weight of the newest answer in the mean time of a service on a route.
const MEAN_WEIGHT: f64 = 0.02;
/// Factor of that weight for a target that counts as clearly slower, which would hide a part of its
/// difference. The mean still follows when the whole service becomes slower.
const SLOWER_MEAN_FACTOR: f64 = 0.1;

/// Converts a stated percentage of the usual time to a multiple of it, within the range that is
/// used; `None` if it is not a usable number.
pub fn slowness_from_percent(percent: f64) -> Option<f64> {
    let [least, most] = SLOWNESS_RANGE;
    let is_usable = percent.is_finite() && percent > 0.0;
    is_usable.then(|| (percent / 100.0).clamp(least, most))
}

/// Speed of one target, as one router knows it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Speed {
    /// Smoothed stated slowness, with the time of the last statement.
    stated: Option<(f64, Time)>,
    /// Mean ratio of the target's answer times to those of its service.
    ratio: f64,
    answers: u32,
    /// Time of the last answer.
    answered_at: Time,
    /// Whether the target counts as clearly slower by its answer times.
    is_slower: bool,
    /// Whether the last statement was malformed.
    is_malformed: bool,
    /// Whether the target was clearly slower when a target was last chosen.
    was_slower: bool,
}

impl Speed {
    /// Records a stated slowness.
    pub(crate) fn record_stated(&mut self, times: f64, now: Time) {
        self.is_malformed = false;
        let before = self.stated(now).unwrap_or(times);
        self.stated = Some((before + STATED_WEIGHT * (times - before), now));
    }

    /// Records a statement that cannot be used; returns whether the one before could be.
    pub(crate) fn record_malformed(&mut self) -> bool {
        !std::mem::replace(&mut self.is_malformed, true)
    }

    /// Records the ratio of an answer's time to the mean of the service on the same route.
    pub(crate) fn record_ratio(&mut self, ratio: f64, now: Time) {
        self.ratio = self.decayed_ratio(now);
        self.answers = self.answers.saturating_add(1);
        let weight = RATIO_WEIGHT.max(1.0 / f64::from(self.answers));
        // A single answer that hangs does not count as a lasting difference.
        self.ratio += weight * (ratio.min(SLOWNESS_RANGE[1]) - self.ratio);
        self.answered_at = now;
        self.is_slower = self.answers >= MIN_ANSWERS
            && self.ratio
                >= if self.is_slower {
                    NO_LONGER_SLOWER
                } else {
                    CLEARLY_SLOWER
                };
    }

    /// Whether the target counts as clearly slower by its answer times.
    pub(crate) fn is_slower(&self) -> bool {
        self.is_slower
    }

    /// Slowness that the target has stated recently, as a multiple of the usual time.
    pub(crate) fn stated(&self, now: Time) -> Option<f64> {
        let (times, at) = self.stated?;
        (now.since(at) < STATED_TTL).then_some(times)
    }

    /// Time that the target needs for work, as a multiple of the usual time; 1 where nothing else is
    /// known. The weight of a stated value falls to zero with its age.
    pub(crate) fn slowness(&self, now: Time) -> f64 {
        let Some((times, at)) = self.remembered(now) else {
            return self.measured(now);
        };
        let age = now.since(at).as_secs_f64() / STATED_TTL.as_secs_f64();
        let weight = (1.0 - age).max(0.0);
        1.0 + weight * (times - 1.0)
    }

    /// Whether the target was clearly slower at the last call and is not any more.
    pub(crate) fn has_recovered(&mut self, now: Time) -> bool {
        let remembered = self.remembered(now);
        let slowness = remembered.map_or_else(|| self.measured(now), |(times, _)| times);
        let threshold = if self.was_slower {
            NO_LONGER_SLOWER
        } else {
            CLEARLY_SLOWER
        };
        let is_slower = slowness >= threshold;
        std::mem::replace(&mut self.was_slower, is_slower) && !is_slower
    }

    /// The last statement, unless it is older than [`STATED_MEMORY`].
    fn remembered(&self, now: Time) -> Option<(f64, Time)> {
        self.stated.filter(|(_, at)| now.since(*at) < STATED_MEMORY)
    }

    fn measured(&self, now: Time) -> f64 {
        let ratio = self.decayed_ratio(now);
        if self.is_slower && ratio >= NO_LONGER_SLOWER {
            ratio
        } else {
            1.0
        }
    }

    fn decayed_ratio(&self, now: Time) -> f64 {
        let half_lives = now.since(self.answered_at).as_secs_f64() / RATIO_HALF_LIFE.as_secs_f64();
        1.0 + (self.ratio - 1.0) * 0.5_f64.powf(half_lives)
    }
}

/// Mean answer times of each service, by route.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes(HashMap<ServiceName, HashMap<RouteName, MeanTime>>);

#[derive(Debug, Default)]
struct MeanTime {
    seconds: f64,
    answers: u32,
}

impl ServiceTimes {
    /// Adds an answer and returns the ratio of its time to the mean; `None` while the mean has too
    /// few answers. `is_slower` tells whether the target counts as clearly slower.
    pub(crate) fn record(
        &mut self,
        service: &ServiceName,
        route: &RouteName,
        timing: Timing,
        is_slower: bool,
    ) -> Option<f64> {
        let routes = self.0.entry(service.clone()).or_default();
        let mean = routes.entry(route.clone()).or_default();
        let seconds = timing.seconds();
        let before = mean.seconds;
        let is_known = mean.answers >= MIN_ANSWERS && before > 0.0;
        mean.answers = mean.answers.saturating_add(1);
        let factor = if is_slower { SLOWER_MEAN_FACTOR } else { 1.0 };
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(mean.answers)) * factor;
        mean.seconds += weight * (seconds - mean.seconds);
        is_known.then_some(seconds / before)
    }
}
