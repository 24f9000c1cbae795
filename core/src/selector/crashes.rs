//! Crashes of targets: how they are noticed, and which requests and prompt parts they count against.

use std::time::Duration;

use super::{CRASH_ATTRIBUTION_WINDOW, TargetSelector};
use crate::{
    crash::Mark,
    estimate::BrokenRequest,
    id::{Fingerprint, PartId},
    name::{TargetName, TeamName},
    outcome::Probe,
    parts::{CrashedRequest, PartMark},
    target::TargetRecord,
    time::Time,
    trace::{PartCause, TraceEvent},
};

impl TargetSelector {
    /// Records a crash that another router attributes to the request with this `content`.
    pub fn record_crash(
        &mut self,
        content: Fingerprint,
        target: &TargetName,
        team: &TeamName,
        at: Time,
    ) {
        self.suspects.add_mark(content, team, target, at);
    }

    /// The requests that were running when targets crashed, by content.
    pub fn crash_marks(&self) -> impl Iterator<Item = (Fingerprint, &Mark)> {
        self.suspects.marks()
    }

    /// Records the crashes that another router counts against a prompt part; the last change of the
    /// mark was `age` ago.
    pub fn record_part(&mut self, part: PartId, mark: &PartMark, age: Duration, now: Time) {
        if self.parts.merge(part, mark, age, now) {
            self.trace_part(part, PartCause::Report);
        }
    }

    /// Crashes counted against prompt parts, with the time since the last change of each mark.
    pub fn part_marks(&self, now: Time) -> impl Iterator<Item = (PartId, &PartMark, Duration)> {
        self.parts.marks(now)
    }

    /// Records whether a target still accepts connections after a request to it broke. If it does
    /// not, it has crashed, and the requests that were running there are suspected.
    pub fn record_probe(&mut self, probed: &TargetRecord, probe: Probe, now: Time) {
        let Some(entry) = self.targets.get_mut(&probed.name) else {
            return;
        };
        if entry.record.incarnation != probed.incarnation {
            return;
        }
        entry.probing = false;
        self.trace.push(TraceEvent::Probe {
            target: probed.name.clone(),
            result: probe,
        });
        match probe {
            Probe::Accepted => entry.broken_requests.clear(),
            Probe::Refused => {
                entry.crashed_at = Some(now);
                entry.start_backoff(now);
                let broken = std::mem::take(&mut entry.broken_requests);
                self.mark_running_requests(&probed.name, broken, now);
            }
            Probe::Unknown => {}
        }
    }

    /// Records the recently `broken` requests of a crashed target as suspects.
    pub(super) fn mark_running_requests(
        &mut self,
        target: &TargetName,
        mut broken: Vec<BrokenRequest>,
        now: Time,
    ) {
        broken.retain(|request| now.since(request.at) < CRASH_ATTRIBUTION_WINDOW);
        if broken.is_empty() {
            return;
        }
        let running: Vec<_> = broken
            .iter()
            .map(|request| (request.content, request.team.clone()))
            .collect();
        self.suspects.record_crash(target, &running, now);
        self.count_against_parts(target, &broken, now);
        let events = broken.into_iter().map(|request| TraceEvent::Crash {
            target: target.clone(),
            content: request.content,
            parts: request.parts,
            broken_for: now.since(request.at),
        });
        self.trace.extend(events);
    }

    /// Counts a crash against the prompt parts of requests that had got no answer. When most targets
    /// of a service are down, their requests are not the cause.
    fn count_against_parts(&mut self, target: &TargetName, broken: &[BrokenRequest], now: Time) {
        let Some(service) = self.targets.get(target).map(|entry| &entry.record.service) else {
            return;
        };
        let (mut down, mut all) = (0_usize, 0_usize);
        for entry in self.targets.service_targets(service) {
            all += 1;
            down += usize::from(now < entry.backoff_until);
        }
        if 2 * down > all {
            return;
        }
        let unanswered = broken.iter().filter(|request| !request.answer_begun);
        let requests: Vec<_> = unanswered
            .map(|request| CrashedRequest {
                parts: &request.parts,
                team: &request.team,
                sent_at: request.sent_at,
            })
            .collect();
        for part in self.parts.record_crash(&requests, now) {
            self.trace_part(part, PartCause::Crash);
        }
    }

    pub(super) fn trace_part(&mut self, part: PartId, cause: PartCause) {
        if let Some(mark) = self.parts.mark(part) {
            self.trace.push(TraceEvent::Part {
                part,
                cause,
                crashes: mark.crashes,
                teams: mark.teams.clone(),
            });
        }
    }
}
