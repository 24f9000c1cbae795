//! Use of the fleet's retry budgets, one for each service.

use crate::{budget::FleetRetryBudget, inspect::RetryState, time::Time, trace::TraceEvent};

use super::{Criteria, TargetSelector};

impl TargetSelector {
    /// Counts an attempt that is about to be sent; returns false if it is a retry that the budget of
    /// its service refuses.
    pub(super) fn count_attempt(&mut self, criteria: &Criteria<'_>, now: Time) -> bool {
        let (bound, share) = (self.retry, self.fleet.share);
        let budget = self
            .retry_budgets
            .entry(criteria.service.clone())
            .or_insert_with(|| FleetRetryBudget::new(bound));
        if criteria.is_retry {
            return budget.try_take(share.as_ref(), now);
        }
        if criteria.tried.is_empty() {
            budget.record_first(share.as_ref(), now);
        }
        true
    }

    /// Adds the decisions on retries that are to be logged now to the trace.
    pub(super) fn trace_retries(&mut self, now: Time) {
        let share = self.fleet.share;
        for (service, budget) in &mut self.retry_budgets {
            if let Some(counts) = budget.take_unlogged(now) {
                self.trace.push(TraceEvent::Retries {
                    service: service.clone(),
                    counts,
                    figures: budget.figures(share.as_ref(), now),
                });
            }
        }
    }

    /// The state of all budgets, ordered by service.
    pub(super) fn inspect_retries(&mut self, now: Time) -> Vec<RetryState> {
        let share = self.fleet.share;
        let budgets = self.retry_budgets.iter_mut();
        let states = budgets.map(|(service, budget)| RetryState {
            service: service.clone(),
            total: budget.total(),
            figures: budget.figures(share.as_ref(), now),
        });
        let mut states: Vec<_> = states.collect();
        states.sort_by(|a, b| a.service.cmp(&b.service));
        states
    }
}
