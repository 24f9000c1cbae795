//! Limits that targets state: what the router has heard.

use super::TargetSelector;
use crate::{limit::StatedLimit, target::TargetRecord, time::Time, trace::TraceEvent};

impl TargetSelector {
    /// Records what a target stated in an answer to a request that was sent at `sent_at`.
    pub fn record_limit(
        &mut self,
        target: &TargetRecord,
        limit: StatedLimit,
        sent_at: Time,
        now: Time,
    ) {
        let Some(entry) = self.targets.get_mut(&target.name) else {
            return;
        };
        if entry.record.incarnation != target.incarnation {
            return;
        }
        let rate = match limit {
            StatedLimit::None => None,
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::Malformed => {
                if entry.limit.record_malformed() {
                    self.trace.push(TraceEvent::MalformedLimit {
                        target: target.name.clone(),
                    });
                }
                return;
            }
        };
        if entry.limit.record(rate, sent_at, now) {
            self.trace.push(TraceEvent::Limit {
                target: target.name.clone(),
                rate,
                age: entry.limit.age(now),
            });
        }
    }
}
