//! A router's share of a retry budget that applies to the whole fleet.

use std::{collections::VecDeque, num::NonZeroU32, time::Duration};

use serde::Serialize;

use crate::{fleet::FleetShare, time::Time};

/// Number of buckets in the sliding window.
const WINDOW_BUCKETS: u32 = 10;
/// Windows of which the counts are kept.
const KEPT_WINDOWS: u32 = 2;
/// Part of the ratio for any first attempt in the window. It stays below one half, since retries in
/// one window may be due to first attempts in two: its own and the one before.
const RATIO_PART: f64 = 0.3;
/// Further part of the ratio for as many first attempts as there were in the window before as well.
/// The requests of a router that has just started, or gets those of another, may have backed the
/// retries of the other or of the earlier run already.
const STEADY_RATIO_PART: f64 = 0.4;
/// Part of the slack for a router that has run for longer than the window.
const SETTLED_SLACK_PART: f64 = 0.65;
/// Part of the slack for a younger one. Its earlier run, or the routers that shared the slack before
/// this one came, may have used the settled part. Both leave a tenth for retries in flight.
const YOUNG_SLACK_PART: f64 = 0.25;
/// Shortest time between two log lines on the decisions about one service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limit on the retries that the whole fleet sends to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Retries allowed for each first attempt.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio, summed over all routers.
    pub slack: f64,
    /// Length of the sliding window over which attempts and retries are counted.
    pub window: Duration,
}

/// Numbers of decisions on retries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RetryCounts {
    /// Retries that the budget allowed.
    pub taken: u64,
    /// Retries that the budget refused.
    pub refused: u64,
}

/// The figures by which a retry is allowed or refused.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RetryFigures {
    /// First attempts of this router in the window.
    pub first: u32,
    /// First attempts of this router in the window before.
    pub first_before: u32,
    /// Retries of this router in the window.
    pub retries: u32,
    /// Most routers that shared the slack in the window; `None` while this is not known.
    pub routers: Option<NonZeroU32>,
    /// Part of the slack that this router may use.
    pub slack: f64,
    /// Retries that this router may send in the window.
    pub allowed: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    start: Time,
    first: u32,
    retries: u32,
    /// Most routers that were known to share the slack.
    routers: Option<NonZeroU32>,
}

/// Sliding-window counts of this router's first attempts and retries for one service, and the limit
/// that they are checked against.
#[derive(Debug, Clone)]
pub struct FleetRetryBudget {
    bound: RetryBound,
    buckets: VecDeque<Bucket>,
    /// When the router got its first request for the service.
    begun_at: Option<Time>,
    total: RetryCounts,
    /// Decisions that are not in the log yet.
    unlogged: RetryCounts,
    logged_at: Option<Time>,
}

impl FleetRetryBudget {
    /// Creates a budget with an empty window.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            buckets: VecDeque::new(),
            begun_at: None,
            total: RetryCounts::default(),
            unlogged: RetryCounts::default(),
            logged_at: None,
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_first(&mut self, share: Option<&FleetShare>, now: Time) {
        self.begun_at.get_or_insert(now);
        self.current_bucket(share, now).first += 1;
    }

    /// Counts a retry and returns true if the budget allows it. The fleet-wide slack is divided
    /// evenly between the routers; `share` is `None` while it is not known how many these are.
    pub fn try_take(&mut self, share: Option<&FleetShare>, now: Time) -> bool {
        let figures = self.figures(share, now);
        let within_bound = f64::from(figures.retries) + 1.0 <= figures.allowed;
        if within_bound {
            self.current_bucket(share, now).retries += 1;
        }
        self.total.add(within_bound);
        self.unlogged.add(within_bound);
        within_bound
    }

    /// The figures by which a retry at `now` would be allowed or refused.
    pub fn figures(&mut self, share: Option<&FleetShare>, now: Time) -> RetryFigures {
        self.current_bucket(share, now);
        let window = self.bound.window;
        let (mut first, mut first_before, mut retries, mut routers) = (0, 0, 0, None);
        for bucket in &self.buckets {
            let age = now.since(bucket.start);
            if age < window {
                first += bucket.first;
            } else {
                first_before += bucket.first;
            }
            if age < self.memory() {
                retries += bucket.retries;
                routers = routers.max(bucket.routers);
            }
        }
        let begins = share.is_some_and(|share| self.load_begins(share, now));
        let steady = f64::from(if begins {
            first
        } else {
            first.min(first_before)
        });
        let ratio_part = RATIO_PART * f64::from(first) + STEADY_RATIO_PART * steady;
        let slack = share.map_or(0.0, |share| self.slack(share, routers, now));
        RetryFigures {
            first,
            first_before,
            retries,
            routers: share.and(routers),
            slack,
            allowed: self.bound.ratio * ratio_part + slack,
        }
    }

    /// Whether the service's first requests have come a short time ago, to a router that had run for
    /// longer than the window. They are taken to be new to all routers: callers need the whole ratio when
    /// the load of a service begins, and such requests rarely come from another router.
    fn load_begins(&self, share: &FleetShare, now: Time) -> bool {
        self.begun_at.is_some_and(|begun_at| {
            begun_at.since(share.started_at) >= self.memory()
                && now.since(begun_at) < self.bound.window * KEPT_WINDOWS
        })
    }

    /// Part of the slack for this router, if `routers` share it. The sum over all routers and their
    /// runs in any window is at most the settled part and the young part: only the last run may be
    /// young, and the one before it must have been settled.
    fn slack(&self, share: &FleetShare, routers: Option<NonZeroU32>, now: Time) -> f64 {
        let is_young = now.since(share.started_at) < self.memory();
        let part = match share.earlier_run {
            Some(earlier_run) if is_young && earlier_run < self.memory() => 0.0,
            _ if is_young => YOUNG_SLACK_PART,
            _ => SETTLED_SLACK_PART,
        };
        let routers = routers.unwrap_or(share.routers);
        part * self.bound.slack / f64::from(routers.get())
    }

    /// Time for which a bucket with retries counts: none of them is forgotten before it is as old as
    /// the window.
    fn memory(&self) -> Duration {
        self.bound.window + self.bucket_span()
    }

    fn bucket_span(&self) -> Duration {
        self.bound.window / WINDOW_BUCKETS
    }

    /// Decisions since the start of the router.
    pub fn total(&self) -> RetryCounts {
        self.total
    }

    /// Removes and returns the decisions that are to be logged now; `None` if there are none, or the
    /// last ones were logged a short time ago.
    pub fn take_unlogged(&mut self, now: Time) -> Option<RetryCounts> {
        let too_soon = self
            .logged_at
            .is_some_and(|at| now.since(at) < LOG_INTERVAL);
        if too_soon || self.unlogged == RetryCounts::default() {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }

    /// The bucket for counts at `now`, which also keeps how many routers are known.
    fn current_bucket(&mut self, share: Option<&FleetShare>, now: Time) -> &mut Bucket {
        let kept = self.bound.window * KEPT_WINDOWS;
        while let Some(oldest) = self.buckets.front()
            && now.since(oldest.start) >= kept
        {
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|newest| now.since(newest.start) < self.bucket_span());
        if !is_current {
            self.buckets.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        let bucket = &mut self.buckets[last];
        bucket.routers = bucket.routers.max(share.map(|share| share.routers));
        bucket
    }
}

impl RetryCounts {
    fn add(&mut self, taken: bool) {
        let count = if taken {
            &mut self.taken
        } else {
            &mut self.refused
        };
        *count += 1;
    }
}
