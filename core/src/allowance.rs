//! A router's share of a retry budget that the whole fleet keeps together.

use std::{collections::VecDeque, time::Duration};

use crate::time::Time;

/// Part of the fleet's bound that routers use, so that requests on their way and routers that are
/// not known yet stay within it.
const USED_SHARE: f64 = 0.7;
/// Steps of the sliding window.
const WINDOW_BUCKETS: u32 = 10;

/// The fleet's bound on repeated requests to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Repeats for each first request.
    pub ratio: f64,
    /// Repeats beyond that, of all routers together.
    pub slack: f64,
    /// Window over which both are counted.
    pub window: Duration,
}

/// Counts of one step.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    start: Time,
    first: u32,
    repeats: u32,
}

/// First requests and repeats of one service over the window.
#[derive(Debug, Clone)]
pub struct FleetRetryBudget {
    bound: RetryBound,
    buckets: VecDeque<Bucket>,
}

impl FleetRetryBudget {
    /// Starts with an empty window.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            buckets: VecDeque::new(),
        }
    }

    /// Counts the first sending of a request.
    pub fn record_first(&mut self, now: Time) {
        self.current_bucket(now).first += 1;
    }

    /// Takes a repeat if the share of one of `routers` routers allows it.
    pub fn try_take(&mut self, routers: u32, now: Time) -> bool {
        self.current_bucket(now);
        let first: u32 = self.buckets.iter().map(|bucket| bucket.first).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let slack = self.bound.slack / f64::from(routers.max(1));
        let allowed = USED_SHARE * (self.bound.ratio * f64::from(first) + slack);
        let within_bound = f64::from(repeats) + 1.0 <= allowed;
        if within_bound {
            self.current_bucket(now).repeats += 1;
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
