//! What targets state about themselves: what the router hears, tells other routers, and obeys.

use std::time::Duration;

use super::{RETRY_AFTER, TargetSelector};
use crate::{
    id::Incarnation,
    limit::{LimitReport, StatedLimit},
    name::{ServiceName, TargetName},
    notice::{Notices, StatedPause},
    target::{Stage, TargetRecord},
    time::Time,
    trace::{Notice, TraceEvent},
};

impl TargetSelector {
    /// Records what a target stated in an answer to a request that was sent at `sent_at`. An answer
    /// of an earlier run of the target states nothing.
    pub fn record_notices(
        &mut self,
        target: &TargetRecord,
        notices: &Notices,
        sent_at: Time,
        now: Time,
    ) {
        let Some(entry) = self.targets.get_mut(&target.name) else {
            return;
        };
        if entry.record.incarnation != target.incarnation {
            return;
        }
        if notices.is_leaving && entry.notices.record_leaving(now) {
            self.trace.push(TraceEvent::Leaving {
                target: target.name.clone(),
            });
        }
        let malformed = |notice| TraceEvent::MalformedNotice {
            target: target.name.clone(),
            notice,
        };
        if notices.is_slowness_malformed && entry.speed.record_malformed() {
            self.trace.push(malformed(Notice::Slowness));
        }
        match notices.pause {
            StatedPause::For(pause) => {
                entry.notices.record_pause(pause, now);
                self.trace.push(TraceEvent::Pause {
                    target: target.name.clone(),
                    pause: entry.notices.pause(now),
                });
            }
            StatedPause::Malformed if entry.notices.record_malformed() => {
                self.trace.push(malformed(Notice::Pause));
            }
            StatedPause::None | StatedPause::Malformed => {}
        }
        let rate = match notices.limit {
            StatedLimit::None => None,
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::Malformed => {
                if entry.limit.record_malformed() {
                    self.trace.push(malformed(Notice::Limit));
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

    /// Time after which a caller may retry when no target of the service can be chosen: until the
    /// first pause ends, or this router's next turn at a target that limits itself.
    pub(super) fn time_to_next_place(&self, service: &ServiceName, now: Time) -> Duration {
        let ready = self.targets.service_targets(service).filter(|entry| {
            entry.record.stage == Stage::Ready && !self.evacuated.contains(&entry.record.zone)
        });
        let waits = ready.map(|entry| {
            let turn = entry.limit.wait(&self.turns, now);
            turn.max(entry.notices.pause(now))
        });
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
