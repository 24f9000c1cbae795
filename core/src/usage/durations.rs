//! The usual duration of answers of each route, from which the start of a request is estimated.

use std::{collections::HashMap, time::Duration};

use crate::{name::RouteName, time::Time};

/// Maximum number of routes with an estimate.
const MAX_ROUTES: usize = 4_096;
/// Part of the difference by which one answer moves the estimate.
const WEIGHT: f64 = 0.1;
/// Largest relative growth of an estimate in a second. Requests that wait in a queue at their target
/// are answered late, and a burst must not look like longer service.
const MAX_GROWTH_PER_S: f64 = 0.01;

/// Estimates by route. They stay near the short answers of a route, which did not wait at their
/// target.
#[derive(Debug, Clone, Default)]
pub struct UsualDurations {
    routes: HashMap<RouteName, Estimate>,
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    duration: Duration,
    updated_at: Time,
}

impl UsualDurations {
    /// Records an answer that took `duration`, and returns the usual duration of the route, at most
    /// `duration`.
    pub fn record(&mut self, route: &RouteName, duration: Duration, now: Time) -> Duration {
        let Some(estimate) = self.routes.get_mut(route) else {
            if self.routes.len() < MAX_ROUTES {
                let updated_at = now;
                let estimate = Estimate {
                    duration,
                    updated_at,
                };
                self.routes.insert(route.clone(), estimate);
            }
            return duration;
        };
        if duration < estimate.duration {
            let excess = estimate.duration.saturating_sub(duration);
            estimate.duration = estimate.duration.saturating_sub(excess.mul_f64(WEIGHT));
        } else {
            let elapsed = now.since(estimate.updated_at).as_secs_f64().min(1.0);
            let most = estimate.duration.mul_f64(MAX_GROWTH_PER_S * elapsed);
            let growth = duration.saturating_sub(estimate.duration).mul_f64(WEIGHT);
            estimate.duration += growth.min(most);
        }
        estimate.updated_at = now;
        estimate.duration.min(duration)
    }
}
