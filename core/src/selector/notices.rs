//! What targets state about themselves: what the router hears, tells other routers, and obeys.

use std::{collections::HashMap, time::Duration};

use super::{RETRY_AFTER, TargetSelector};
use crate::{
    estimate::Estimate,
    id::Incarnation,
    limit::{LimitReport, StatedLimit, TargetLimit},
    name::{ServiceName, TargetName},
    notice::{Notices, StatedPause, TargetNotices},
    target::{Stage, TargetRecord},
    time::Time,
    trace::{Notice, TraceEvent},
};

/// Maximum number of targets whose statements are kept after their entries are gone.
const MAX_LAPSED: usize = 4_096;

/// What a target stated before its entry went missing.
#[derive(Debug)]
struct Lapsed {
    incarnation: Incarnation,
    notices: TargetNotices,
    limit: TargetLimit,
}

impl Lapsed {
    fn is_in_force(&self, now: Time) -> bool {
        !self.notices.accepts_requests(now) || self.limit.rate(now).is_some()
    }
}

/// Statements of targets whose entries are gone. An entry may lapse while its target runs on, and
/// what the target has stated holds until its time ends or the target starts again.
#[derive(Debug, Default)]
pub(super) struct LapsedStatements(HashMap<TargetName, Lapsed>);

impl LapsedStatements {
    /// Keeps the statements of a target whose entry is removed.
    pub(super) fn keep(&mut self, entry: &Estimate, now: Time) {
        let lapsed = Lapsed {
            incarnation: entry.record.incarnation,
            notices: entry.notices.clone(),
            limit: entry.limit.clone(),
        };
        if !lapsed.is_in_force(now) {
            return;
        }
        if self.0.len() >= MAX_LAPSED {
            self.0.retain(|_, lapsed| lapsed.is_in_force(now));
        }
        if self.0.len() < MAX_LAPSED {
            self.0.insert(entry.record.name.clone(), lapsed);
        }
    }

    /// Applies the statements of an earlier entry of the same run of the target. Returns the event
    /// if there are any.
    pub(super) fn restore(&mut self, entry: &mut Estimate, now: Time) -> Option<TraceEvent> {
        let lapsed = self.0.remove(&entry.record.name)?;
        if lapsed.incarnation != entry.record.incarnation || !lapsed.is_in_force(now) {
            return None;
        }
        entry.notices = lapsed.notices;
        entry.limit = lapsed.limit;
        Some(TraceEvent::Restored {
            target: entry.record.name.clone(),
            pause: entry.notices.pause(now),
            rate: entry.limit.rate(now),
        })
    }
}

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
        let turns = self.fleet_turns();
        let waits = ready.map(|entry| {
            let turn = entry.limit.wait(turns.as_ref(), now);
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
