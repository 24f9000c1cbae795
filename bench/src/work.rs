//! Checks of the work of targets against what callers got.
//!
//! The bounds are those of the rules, and no figure of the routers takes part.

use std::{collections::BTreeMap, time::Duration};

use ebonyfall_standin::{entrance::ROUTE_TIMEOUT, pausing::Work};
use tokio::time::Instant;

use crate::{callers::Attempt, harm::HarmLog};

/// Time before a request from which harm excuses what happens to it.
const HARM_BEFORE: Duration = Duration::from_secs(3);
/// Longest time for which two targets may be at work on one request.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// Longest time for which a target may be at work on a request whose caller has left.
const MAX_WORK_AFTER_LEAVING: Duration = Duration::from_millis(500);

/// A target's work on one request.
#[derive(Debug, Clone, Copy)]
struct TargetWork<'a> {
    target: usize,
    work: &'a Work,
}

impl TargetWork<'_> {
    fn end(&self) -> Instant {
        self.work.ended.unwrap_or_else(Instant::now)
    }
}

/// Work of all targets, in the order of their indices.
#[derive(Debug)]
pub struct WorkLog<'a>(BTreeMap<&'a str, Vec<TargetWork<'a>>>);

impl<'a> WorkLog<'a> {
    /// Groups the work of targets by the attempts it was done for.
    pub fn new(targets: &'a [Vec<Work>]) -> Self {
        let mut by_id: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (target, all) in targets.iter().enumerate() {
            for work in all {
                let works = by_id.entry(work.id.as_str()).or_default();
                works.push(TargetWork { target, work });
            }
        }
        Self(by_id)
    }

    /// Longest time for which two targets were at work on one of these attempts, and for which a target
    /// was at work after its caller had left, without what harm excuses.
    pub fn longest_times<'b>(
        &self,
        attempts: impl Iterator<Item = &'b Attempt>,
        harm: &HarmLog,
    ) -> (Duration, Duration) {
        let (mut overlap, mut after) = (Duration::ZERO, Duration::ZERO);
        for attempt in attempts {
            let Some(works) = self.0.get(attempt.id.as_str()) else {
                continue;
            };
            let times = overlaps(attempt, works, harm).map(|(_, time)| time);
            overlap = times.fold(overlap, Duration::max);
            let times = work_after_leaving(attempt, works, harm).map(|(_, time)| time);
            after = times.fold(after, Duration::max);
        }
        (overlap, after)
    }

    /// Returns the violated guarantees of an attempt, one message each.
    pub fn check(&self, attempt: &Attempt, harm: &HarmLog) -> Vec<String> {
        let Some(works) = self.0.get(attempt.id.as_str()) else {
            return Vec::new();
        };
        let mut broken = Vec::new();
        broken.extend(ended_by_router(attempt, works, harm));
        broken.extend(concurrent(attempt, works, harm));
        broken.extend(after_leaving(attempt, works, harm));
        broken
    }
}

/// An answer may not be ended by its router while the target that had it is sound. Only the caller's
/// deadline and the route's timeout end it sooner.
fn ended_by_router(attempt: &Attempt, works: &[TargetWork], harm: &HarmLog) -> Option<String> {
    let due = attempt.budget.min(ROUTE_TIMEOUT);
    if attempt.is_served() || attempt.disconnected || attempt.took >= due {
        return None;
    }
    let (from, end) = (harm_start(attempt.began), attempt.began + attempt.took);
    if harm.has_harmed_router(attempt.router, from, end) {
        return None;
    }
    let sound = works
        .iter()
        .find(|one| !harm.has_harmed_target(one.target, from, end))?;
    let worked = sound.end().duration_since(sound.work.begun);
    Some(format!(
        "{} ({:?}, router {}) ended with {:?} after {:?} of {due:?}, although target {} was sound; it had \
         worked on it for {worked:?}, complete: {}",
        attempt.id,
        attempt.kind,
        attempt.router,
        attempt.status,
        attempt.took,
        sound.target,
        sound.work.is_complete,
    ))
}

/// Two targets may not be at work on one request for long.
fn concurrent(attempt: &Attempt, works: &[TargetWork], harm: &HarmLog) -> Option<String> {
    let mut overlaps = overlaps(attempt, works, harm);
    let (targets, overlap) = overlaps.find(|(_, overlap)| *overlap > MAX_OVERLAP)?;
    Some(format!(
        "{} ({:?}, router {}) was worked on by targets {targets:?} at once for {overlap:?}",
        attempt.id, attempt.kind, attempt.router
    ))
}

/// Pairs of targets and for how long both were at work, without what harm excuses. Harmed connections
/// excuse it, since a close does not reach the target through them.
fn overlaps(
    attempt: &Attempt,
    works: &[TargetWork],
    harm: &HarmLog,
) -> impl Iterator<Item = ([usize; 2], Duration)> {
    let from = harm_start(attempt.began);
    let pairs = works
        .iter()
        .enumerate()
        .flat_map(|(index, one)| works[index + 1..].iter().map(move |other| (one, other)));
    pairs.filter_map(move |(one, other)| {
        let start = one.work.begun.max(other.work.begun);
        let end = one.end().min(other.end());
        let targets = [one.target, other.target];
        let is_excused = harm.has_harmed_router(attempt.router, from, end)
            || targets
                .iter()
                .any(|target| harm.has_harmed_connections(*target, from, end));
        let counts = one.target != other.target && !is_excused;
        counts.then(|| (targets, end.saturating_duration_since(start)))
    })
}

/// No target may go on for long with a request whose caller has left.
fn after_leaving(attempt: &Attempt, works: &[TargetWork], harm: &HarmLog) -> Option<String> {
    let mut late = work_after_leaving(attempt, works, harm);
    let (target, time) = late.find(|(_, time)| *time > MAX_WORK_AFTER_LEAVING)?;
    Some(format!(
        "{} ({:?}, router {}) was worked on by target {target} until {time:?} after its caller had left",
        attempt.id, attempt.kind, attempt.router
    ))
}

/// Targets and how long after the caller had left they were at work, with the excuses of [`overlaps`].
fn work_after_leaving(
    attempt: &Attempt,
    works: &[TargetWork],
    harm: &HarmLog,
) -> impl Iterator<Item = (usize, Duration)> {
    let (from, left) = (harm_start(attempt.began), attempt.began + attempt.took);
    let due = left + MAX_WORK_AFTER_LEAVING;
    let counts = attempt.disconnected && !harm.has_harmed_router(attempt.router, from, due);
    let counted = works
        .iter()
        .filter(move |one| counts && !harm.has_harmed_connections(one.target, from, due));
    counted.map(move |one| (one.target, one.end().saturating_duration_since(left)))
}

fn harm_start(began: Instant) -> Instant {
    began.checked_sub(HARM_BEFORE).unwrap_or(began)
}

#[cfg(test)]
#[path = "../tests/unit/work.rs"]
mod tests;
