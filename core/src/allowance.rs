//! A router's share of a retry budget that the whole fleet keeps together.

use std::{collections::VecDeque, time::Duration};

use crate::time::Time;

/// Part of the fleet's bound that routers use, so that requests on their way and routers that are
/// not known yet stay within it.
const USED: f64 = 0.7;
/// Steps of the sliding window.
const STEPS: u32 = 10;

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
struct Step {
    start: Time,
    first: u32,
    repeats: u32,
}

/// First requests and repeats of one service over the window.
#[derive(Debug, Clone)]
pub struct Allowance {
    bound: RetryBound,
    steps: VecDeque<Step>,
}

impl Allowance {
    /// Starts with an empty window.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            steps: VecDeque::new(),
        }
    }

    /// Counts the first sending of a request.
    pub fn first(&mut self, now: Time) {
        self.step(now).first += 1;
    }

    /// Takes a repeat if the share of one of `routers` routers allows it.
    pub fn take(&mut self, routers: u32, now: Time) -> bool {
        self.step(now);
        let first: u32 = self.steps.iter().map(|step| step.first).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let slack = self.bound.slack / f64::from(routers.max(1));
        let allowed = USED * (self.bound.ratio * f64::from(first) + slack);
        let enough = f64::from(repeats) + 1.0 <= allowed;
        if enough {
            self.step(now).repeats += 1;
        }
        enough
    }

    fn step(&mut self, now: Time) -> &mut Step {
        let window = self.bound.window;
        while let Some(oldest) = self.steps.front()
            && now.since(oldest.start) >= window
        {
            self.steps.pop_front();
        }
        let len = window / STEPS;
        let fresh = self
            .steps
            .back()
            .is_some_and(|newest| now.since(newest.start) < len);
        if !fresh {
            self.steps.push_back(Step {
                start: now,
                ..Step::default()
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
