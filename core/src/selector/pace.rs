//! Pace and speed of targets: what the answers to requests of this router show.

use super::TargetSelector;
use crate::{
    direct::Failure,
    estimate::Estimate,
    name::{ServiceName, TargetName},
    outcome::{End, Finished},
    pace::PaceCause,
    time::Time,
    trace::TraceEvent,
};

impl TargetSelector {
    /// Records what the end of a request shows of its target's pace and speed.
    pub(super) fn record_pace(&mut self, target: &TargetName, finished: &Finished<'_>, now: Time) {
        let timing = finished.timing;
        let is_slow = self.moves.is_slow(finished.route, timing);
        let Some(entry) = self.targets.get_mut(target) else {
            return;
        };
        let is_good = match finished.end {
            End::Cancelled | End::Failed(Failure::Stopping | Failure::Oversized) => return,
            End::Served => !is_slow,
            End::Failed(_) => false,
        };
        let mut is_cold_again = false;
        if finished.end == End::Served
            && let Some(timing) = timing
        {
            let service = &entry.record.service;
            let is_slower = entry.speed.is_slower();
            let times = &mut self.service_times;
            let ratio = times.record(service, finished.route, timing, is_slower);
            if let Some(ratio) = ratio {
                entry.speed.record_ratio(ratio, now);
            }
            is_cold_again = entry.pace.record_speed(is_slow) && !entry.pace.is_active();
        }
        // A slow answer to a request that the target got in its cold start shows nothing of the time
        // after it.
        let is_outdated = is_slow && finished.sent_at < entry.cold_until && !entry.is_cold(now);
        if !is_outdated {
            entry.pace.record_answer(is_good, finished.sent_at, now);
        }
        if is_cold_again {
            let service = entry.record.service.clone();
            self.start_if_most_are_warm(target, &service, now);
        }
        if let Some(entry) = self.targets.get_mut(target) {
            push_changes(entry, &mut self.trace, now);
        }
    }

    /// Starts the pace of a target whose answers became slow. When most targets of its service are
    /// under pace, the load is the cause, and the others could not take the target's part.
    fn start_if_most_are_warm(&mut self, target: &TargetName, service: &ServiceName, now: Time) {
        let targets = self.targets.service_targets(service);
        let (mut under_pace, mut all) = (0_usize, 0_usize);
        for entry in targets {
            all += 1;
            under_pace += usize::from(entry.pace.is_active());
        }
        if 2 * (under_pace + 1) <= all
            && let Some(entry) = self.targets.get_mut(target)
        {
            entry.pace.start(PaceCause::SlowAnswers, now);
        }
    }
}

/// Brings the pace of a target up to `now` before a choice.
pub(super) fn update(entry: &mut Estimate, trace: &mut Vec<TraceEvent>, now: Time) {
    if entry.speed.has_recovered(now) {
        entry.pace.start(PaceCause::SpeedRegained, now);
    }
    let is_cold = entry.is_cold(now);
    entry.pace.grow(is_cold, now);
    push_changes(entry, trace, now);
}

fn push_changes(entry: &mut Estimate, trace: &mut Vec<TraceEvent>, now: Time) {
    let (share, cold) = (entry.pace.share(), entry.cold_until.since(now));
    let target = &entry.record.name;
    let changes = entry.pace.take_changes().into_iter();
    trace.extend(changes.map(|change| TraceEvent::Pace {
        target: target.clone(),
        change,
        share,
        cold,
    }));
}
