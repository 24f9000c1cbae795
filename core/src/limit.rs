//! Limits that targets state on the requests which they take from all routers together.

use std::time::Duration;

use crate::time::Time;

/// Lowest limit that is obeyed, in requests per second. A target that states less still gets a
/// request now and then, since only its answers tell when the limit ends.
const MIN_RATE: f64 = 0.05;
/// Highest limit that is obeyed, in requests per second; a target that states more is not limited.
const MAX_RATE: f64 = 100_000.0;
/// Shortest time between two turns: the resolution of [`Time`].
const MIN_INTERVAL: Duration = Duration::from_micros(1);
/// Requests that all routers may send to a limited target at once, beyond those of one second.
const BURST: u32 = 4;
/// Time for which a statement holds that no answer has repeated.
pub(crate) const LIMIT_TTL: Duration = Duration::from_secs(30);
/// Time after which a statement that still holds is reported to other routers once more.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a router that does not know its turns yet may do so.
const UNKNOWN_WAIT: Duration = Duration::from_millis(500);
/// Ratio of two limits from which on a change is logged.
const LOGGED_CHANGE: f64 = 1.1;

/// Whether a rate is so high that it limits nothing.
pub(crate) fn is_unlimited(rate: f64) -> bool {
    !rate.is_finite() || rate > MAX_RATE
}

/// What an answer states about the requests that its target takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StatedLimit {
    /// No limit.
    #[default]
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

/// Position of a router among all that share the limits of targets. The requests that a limit allows
/// are spaced evenly on the clock that all routers have in common, and the routers take turns.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Turns {
    /// Number of routers, at least 1.
    pub(crate) routers: u32,
    /// Number of routers that precede this one; `None` until it is known.
    pub(crate) rank: Option<u32>,
    /// Time of day at the epoch of the router's own times.
    pub(crate) unix_offset: Duration,
}

impl Turns {
    /// The router's first turn that does not start before `earliest`, with `interval` between the
    /// turns of all routers.
    pub(crate) fn next(&self, earliest: Time, interval: Duration) -> Time {
        let interval = interval.max(MIN_INTERVAL).as_micros();
        let since_unix = self.unix_offset + earliest.since(Time::ZERO);
        let first = since_unix.as_micros().div_ceil(interval);
        let routers = u128::from(self.routers.max(1));
        let rank = u128::from(self.rank.unwrap_or(0)) % routers;
        let turn = first + (rank + routers - first % routers) % routers;
        let wait = (turn * interval).saturating_sub(since_unix.as_micros());
        earliest + Duration::from_micros(u64::try_from(wait).unwrap_or(u64::MAX))
    }
}

/// A target's statement, as routers tell each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// Requests per second of all routers; `None` for no limit any more.
    pub rate: Option<f64>,
    /// Time since the statement was heard.
    pub age: Duration,
}

/// The limit of one target, as one router knows it.
#[derive(Debug, Clone, Default)]
pub(crate) struct TargetLimit {
    /// Requests per second of all routers; `None` without a limit.
    rate: Option<f64>,
    /// When the statement was heard; `None` before the first one.
    stated_at: Option<Time>,
    /// Time from which the router's next turn may start.
    next_from: Time,
    /// When this or another router last reported the statement; `None` if it has to be reported.
    reported_at: Option<Time>,
    /// Whether the last statement was malformed.
    is_malformed: bool,
}

impl TargetLimit {
    /// Requests per second of all routers; `None` without a limit.
    pub(crate) fn rate(&self, now: Time) -> Option<f64> {
        self.rate.filter(|_| self.age(now) < LIMIT_TTL)
    }

    /// Time since the statement was heard.
    pub(crate) fn age(&self, now: Time) -> Duration {
        now.since(self.stated_at.unwrap_or(now))
    }

    /// Time until this router may send the target a request; zero if it may now. `turns` are `None` while
    /// the router uses no part of the fleet's limits.
    pub(crate) fn wait(&self, turns: Option<&Turns>, now: Time) -> Duration {
        let Some(turns) = turns else {
            let is_limited = self.rate(now).is_some();
            return if is_limited {
                UNKNOWN_WAIT
            } else {
                Duration::ZERO
            };
        };
        self.next_turn(turns, now)
            .map_or(Duration::ZERO, |turn| turn.since(now))
    }

    /// Uses the router's next turn.
    pub(crate) fn take(&mut self, turns: &Turns, now: Time) {
        if let (Some(rate), Some(turn)) = (self.rate(now), self.next_turn(turns, now)) {
            // When the rate or the number of routers changes, so do all turns; half of the time
            // between two of them keeps the mean rate.
            self.next_from = turn + interval(rate) * turns.routers.max(1) / 2;
        }
    }

    /// The turn that the next request uses. An unused turn may still be used for
    /// [`turn_validity`]; `None` without a limit.
    fn next_turn(&self, turns: &Turns, now: Time) -> Option<Time> {
        let rate = self.rate(now)?;
        let valid_from = now.before(turn_validity(rate));
        Some(turns.next(self.next_from.max(valid_from), interval(rate)))
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
        let has_changed = self.set(rate, now, now);
        if has_changed {
            self.reported_at = None;
        }
        has_changed
    }

    /// Records another router's report, unless a later statement is known. Returns whether the limit
    /// changed.
    pub(crate) fn record_report(&mut self, report: LimitReport, now: Time) -> bool {
        let stated_at = now.before(report.age);
        if report.age >= LIMIT_TTL || self.stated_at.is_some_and(|known| known >= stated_at) {
            return false;
        }
        self.reported_at = Some(now);
        self.set(report.rate, stated_at, now)
    }

    /// The report for other routers, if one is due.
    pub(crate) fn take_report(&mut self, now: Time) -> Option<LimitReport> {
        let stated_at = self.stated_at?;
        let is_due = match self.reported_at {
            None => true,
            Some(at) => self.rate.is_some() && now.since(at) >= REPORT_INTERVAL && stated_at > at,
        };
        if !is_due {
            return None;
        }
        self.reported_at = Some(now);
        Some(LimitReport {
            rate: self.rate,
            age: now.since(stated_at),
        })
    }

    fn set(&mut self, rate: Option<f64>, stated_at: Time, now: Time) -> bool {
        let before = self.rate(now);
        if before.is_none() {
            self.next_from = now;
        }
        self.rate = rate;
        self.stated_at = Some(stated_at);
        match (before, rate) {
            (Some(before), Some(rate)) => (before / rate).max(rate / before) >= LOGGED_CHANGE,
            (before, rate) => before.is_some() || rate.is_some(),
        }
    }
}

/// Time between two requests of all routers together.
fn interval(rate: f64) -> Duration {
    Duration::from_secs_f64(1.0 / rate)
}

/// Time for which an unused turn may still be used. Over all routers, as many requests may arrive
/// at once as a second allows, and [`BURST`] more.
fn turn_validity(rate: f64) -> Duration {
    Duration::from_secs(1) + interval(rate) * BURST
}

/// Converts requests per second to the requests in 1,000 s that messages carry.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "limits are positive and at most `MAX_RATE`"
)]
pub fn per_1000_s(rate: f64) -> u64 {
    (rate * 1_000.0).round() as u64
}

/// Converts requests in 1,000 s to a limit that is obeyed, in requests per second.
#[expect(clippy::cast_precision_loss, reason = "the result is limited")]
pub fn per_s(per_1000_s: u64) -> f64 {
    (per_1000_s as f64 / 1_000.0).clamp(MIN_RATE, MAX_RATE)
}
