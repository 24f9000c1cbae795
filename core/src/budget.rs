//! A router's share of a retry budget that applies to the whole fleet.

use std::{collections::VecDeque, num::NonZeroU32, time::Duration};

use serde::Serialize;

use crate::{fleet::FleetShare, time::Time};

/// Fraction of the bound that routers may use. The rest covers requests in flight and routers that
/// are not known yet.
const USED_SHARE: f64 = 0.7;
/// Number of buckets in the sliding window.
const WINDOW_BUCKETS: u32 = 10;
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
    /// Retries of this router in the window.
    pub retries: u32,
    /// Routers that share the slack; `None` while this is not known.
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
}

/// Sliding-window counts of this router's first attempts and retries for one service, and the limit
/// that they are checked against.
#[derive(Debug, Clone)]
pub struct FleetRetryBudget {
    bound: RetryBound,
    buckets: VecDeque<Bucket>,
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
            total: RetryCounts::default(),
            unlogged: RetryCounts::default(),
            logged_at: None,
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_first(&mut self, now: Time) {
        self.current_bucket(now).first += 1;
    }

    /// Counts a retry and returns true if the budget allows it. The fleet-wide slack is divided
    /// evenly between the routers; `share` is `None` while it is not known how many these are.
    pub fn try_take(&mut self, share: Option<&FleetShare>, now: Time) -> bool {
        let figures = self.figures(share, now);
        let within_bound = f64::from(figures.retries) + 1.0 <= figures.allowed;
        if within_bound {
            self.current_bucket(now).retries += 1;
        }
        self.total.add(within_bound);
        self.unlogged.add(within_bound);
        within_bound
    }

    /// The figures by which a retry at `now` would be allowed or refused.
    pub fn figures(&mut self, share: Option<&FleetShare>, now: Time) -> RetryFigures {
        self.current_bucket(now);
        let window = self.bound.window;
        let recent = self.buckets.iter();
        let recent = recent.filter(|bucket| now.since(bucket.start) < window);
        let first: u32 = recent.map(|bucket| bucket.first).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = share.map_or(0.0, |share| {
            USED_SHARE * self.bound.slack / f64::from(share.routers.get())
        });
        RetryFigures {
            first,
            retries,
            routers: share.map(|share| share.routers),
            slack,
            allowed: USED_SHARE * self.bound.ratio * f64::from(first) + slack,
        }
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

    fn current_bucket(&mut self, now: Time) -> &mut Bucket {
        let bucket_span = self.bound.window / WINDOW_BUCKETS;
        // No retry is forgotten before it is as old as the window.
        let kept = self.bound.window + bucket_span;
        while let Some(oldest) = self.buckets.front()
            && now.since(oldest.start) >= kept
        {
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|newest| now.since(newest.start) < bucket_span);
        if !is_current {
            self.buckets.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
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
