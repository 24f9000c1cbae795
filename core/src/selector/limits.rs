//! Limits that targets state: what the router hears, tells other routers, and obeys.

use std::time::Duration;

use super::{RETRY_AFTER, TargetSelector};
use crate::{
    id::Incarnation,
    limit::{LimitReport, StatedLimit},
    name::{ServiceName, TargetName},
    target::TargetRecord,
    time::Time,
    trace::TraceEvent,
};

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
            self.trace_limit(&target.name, rate, Duration::ZERO);
        }
    }

    /// Records what another router has heard a target state in this incarnation of the target.
    pub fn record_limit_report(
        &mut self,
        target: &TargetName,
        incarnation: Incarnation,
        report: LimitReport,
        now: Time,
    ) {
        let Some(entry) = self.targets.get_mut(target) else {
            return;
        };
        if entry.record.incarnation == incarnation && entry.limit.record_report(report, now) {
            self.trace_limit(target, report.rate, report.age);
        }
    }

    /// Statements of targets that have to be reported to other routers now.
    pub fn limit_reports(&mut self, now: Time) -> Vec<(TargetName, Incarnation, LimitReport)> {
        let mut reports = Vec::new();
        self.targets.for_each(|entry| {
            if let Some(report) = entry.limit.take_report(now) {
                let record = &entry.record;
                reports.push((record.name.clone(), record.incarnation, report));
            }
        });
        reports
    }

    /// Time after which a caller may retry when no target of the service can be chosen: until this
    /// router's next turn at one that limits itself.
    pub(super) fn time_to_next_turn(&self, service: &ServiceName, now: Time) -> Duration {
        let usable = self
            .targets
            .service_targets(service)
            .filter(|entry| entry.is_usable(&self.evacuated, now));
        let waits = usable.map(|entry| entry.limit.wait(&self.turns, now));
        let next = waits.filter(|wait| !wait.is_zero()).min();
        next.unwrap_or_default().max(RETRY_AFTER)
    }

    fn trace_limit(&mut self, target: &TargetName, rate: Option<f64>, age: Duration) {
        self.trace.push(TraceEvent::Limit {
            target: target.clone(),
            rate,
            age,
        });
    }
}
