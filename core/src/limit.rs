//! Limits that targets state on the requests which they take from all routers together.

use std::time::Duration;

use crate::time::Time;

/// Lowest limit that is obeyed, in requests per second. A target that states less still gets a
/// request now and then, since only its answers tell when the limit ends.
const MIN_RATE: f64 = 0.05;
/// Highest limit that is obeyed, in requests per second; a target that states more is not limited.
const MAX_RATE: f64 = 100_000.0;
/// Ratio of two limits from which on a change is logged.
const LOGGED_CHANGE: f64 = 1.1;

/// What an answer states about the requests that its target takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StatedLimit {
    /// No limit.
    None,
    /// A limit in requests per second, within the range that is obeyed.
    Rate(f64),
    /// A limit that is not a usable number; it changes nothing.
    Malformed,
}

impl StatedLimit {
    /// Creates the statement from a number of requests per second.
    pub fn new(rate: f64) -> Self {
        if !rate.is_finite() || rate < 0.0 {
            Self::Malformed
        } else if rate > MAX_RATE {
            Self::None
        } else {
            Self::Rate(rate.max(MIN_RATE))
        }
    }
}

/// The limit of one target, as one router knows it.
#[derive(Debug, Clone, Default)]
pub(crate) struct TargetLimit {
    /// Requests per second of all routers; `None` without a limit.
    rate: Option<f64>,
    /// When the statement was heard; `None` before the first one.
    stated_at: Option<Time>,
    /// Whether the last statement was malformed.
    is_malformed: bool,
}

impl TargetLimit {
    /// Requests per second of all routers; `None` without a limit.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Time since the statement was heard.
    pub(crate) fn age(&self, now: Time) -> Duration {
        now.since(self.stated_at.unwrap_or(now))
    }

    /// Records a statement that cannot be used; returns whether the one before could be.
    pub(crate) fn record_malformed(&mut self) -> bool {
        !std::mem::replace(&mut self.is_malformed, true)
    }

    /// Records the statement of an answer to a request that was sent at `sent_at`. An answer without
    /// a limit counts only if its request was sent after the limit was heard, since answers on
    /// different connections overtake each other. Returns whether the limit changed.
    pub(crate) fn record(&mut self, rate: Option<f64>, sent_at: Time, now: Time) -> bool {
        self.is_malformed = false;
        let is_late = self.stated_at.is_some_and(|stated_at| sent_at < stated_at);
        if rate.is_none() && (self.rate.is_none() || is_late) {
            return false;
        }
        let has_changed = match (self.rate, rate) {
            (Some(before), Some(rate)) => (before / rate).max(rate / before) >= LOGGED_CHANGE,
            _ => true,
        };
        self.rate = rate;
        self.stated_at = Some(now);
        has_changed
    }
}
