//! A router's share of a retry budget that applies to the whole fleet.

use std::{collections::VecDeque, time::Duration};

use crate::{fleet::FleetShare, time::Time};

/// Fraction of the bound that routers may use. The rest covers requests in flight and routers that
/// are not known yet.
const USED_SHARE: f64 = 0.7;
/// Number of buckets in the sliding window.
const WINDOW_BUCKETS: u32 = 10;

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
}

impl FleetRetryBudget {
    /// Creates a budget with an empty window.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            buckets: VecDeque::new(),
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_first(&mut self, now: Time) {
        self.current_bucket(now).first += 1;
    }

    /// Counts a retry and returns true if the budget allows it. The fleet-wide slack is divided
    /// evenly between the routers; `share` is `None` while it is not known how many these are.
    pub fn try_take(&mut self, share: Option<&FleetShare>, now: Time) -> bool {
        self.current_bucket(now);
        let first: u32 = self.buckets.iter().map(|bucket| bucket.first).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = share.map_or(0.0, |share| {
            self.bound.slack / f64::from(share.routers.get())
        });
        let allowed = USED_SHARE * (self.bound.ratio * f64::from(first) + slack);
        let within_bound = f64::from(retries) + 1.0 <= allowed;
        if within_bound {
            self.current_bucket(now).retries += 1;
        }
        within_bound
    }

    fn current_bucket(&mut self, now: Time) -> &mut Bucket {
        let window = self.bound.window;
        while let Some(oldest) = self.buckets.front()
            && now.since(oldest.start) >= window
        {
            self.buckets.pop_front();
        }
        let bucket_span = window / WINDOW_BUCKETS;
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
