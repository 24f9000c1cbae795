//! Decides when a router reports that its copy of the operators' orders is older than it may be.

use std::time::Duration;

use crate::time::Time;

/// Time between two reports while the orders stay late.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What a router reports about the age of its orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LatenessReport {
    /// The orders were last confirmed this long ago, which is longer than allowed; `None` if they
    /// never were.
    Late(Option<Duration>),
    /// The orders are recent again, after they were late for this long.
    Recovered(Duration),
}

/// Watches the age of the orders.
#[derive(Debug)]
pub struct Lateness {
    /// Time within which a changed order must be in force.
    bound: Duration,
    started: Time,
    late_since: Option<Time>,
    last_report: Time,
}

impl Lateness {
    /// Creates a watch for a router that starts at `now` and has to have each order within `bound`.
    pub fn new(bound: Duration, now: Time) -> Self {
        Self {
            bound,
            started: now,
            late_since: None,
            last_report: Time::ZERO,
        }
    }

    /// Returns what is to be reported now. `confirmed` is when the orders were last known to be current.
    pub fn check(&mut self, confirmed: Option<Time>, now: Time) -> Option<LatenessReport> {
        let due = confirmed.unwrap_or(self.started) + self.bound;
        if now < due {
            let since = self.late_since.take()?;
            return Some(LatenessReport::Recovered(now.since(since)));
        }
        let is_first = self.late_since.is_none();
        self.late_since.get_or_insert(due);
        if !is_first && now < self.last_report + REPORT_INTERVAL {
            return None;
        }
        self.last_report = now;
        Some(LatenessReport::Late(confirmed.map(|at| now.since(at))))
    }
}
