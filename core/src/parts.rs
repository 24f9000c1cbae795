//! Prompt parts that crash the targets which begin to answer requests with them.
//!
//! Requests that have nothing else in common may share a part that crashes targets. A crash is
//! counted against the parts of the requests that had got no answer yet when it happened, and an
//! answer that begins clears the parts of its request. Parts that other requests have too are
//! therefore cleared within moments, while a part that crashes each target is never cleared.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{id::PartId, inspect::PartState, name::TeamName, time::Time};

/// Crashes in a row from which on requests with the part are refused.
pub const CRASHES_TO_HOLD: u32 = 2;
/// Time for which requests are refused after the last crash. It doubles with each further crash.
const MIN_HOLD: Duration = Duration::from_secs(60);
/// Number of times that the hold is doubled at most.
const MAX_HOLD_DOUBLINGS: u32 = 4;
/// Teams whose crashes are needed until requests of all teams are refused, so that no team can have
/// the parts of others held by naming them in requests that crash targets.
const TEAMS_TO_HOLD_ALL: usize = 2;
/// Other suspected parts of the same request that are remembered with a part.
const MAX_COMPANIONS: usize = 8;
/// Maximum number of parts that are remembered.
const MAX_MARKS: usize = 1_024;

/// Crashes counted against one part, as processes exchange them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartMark {
    /// Number of times that answers cleared the part. A mark with a higher epoch replaces this one.
    pub epoch: u32,
    /// Number of crashes in a row. A request counts only if it was sent after the crash before was
    /// known, so that several targets which end together count once.
    pub crashes: u32,
    /// Teams whose requests crashed targets, at most two.
    pub teams: Vec<TeamName>,
    /// Other parts of the same requests that are suspected as much. Requests without one of them
    /// are not refused: their result shows which of the parts is at fault.
    pub companions: Vec<PartId>,
}

impl PartMark {
    /// Merges a mark from another process; returns whether this one changed. The result does not
    /// depend on the order of merges.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        if other.epoch > self.epoch {
            *self = other.clone();
        } else if other.epoch == self.epoch {
            if other.crashes > self.crashes {
                self.companions.clone_from(&other.companions);
            } else if other.crashes == self.crashes {
                self.companions
                    .retain(|part| other.companions.contains(part));
            }
            self.crashes = self.crashes.max(other.crashes);
            for team in &other.teams {
                self.add_team(team);
            }
        }
        *self != before
    }

    /// Time after the last crash for which requests are refused; `None` after too few crashes.
    pub fn hold_time(&self) -> Option<Duration> {
        let doublings = self.crashes.checked_sub(CRASHES_TO_HOLD)?;
        Some(MIN_HOLD * (1 << doublings.min(MAX_HOLD_DOUBLINGS)))
    }

    /// Time after the last change for which the mark is kept. After the end of a hold, a single
    /// crash renews it.
    pub fn retention(&self) -> Duration {
        2 * self.hold_time().unwrap_or(MIN_HOLD)
    }

    /// An upper bound of the encoded length, in bytes.
    pub(crate) fn size(&self) -> usize {
        // Bytes: two numbers 10, two lengths 2, 10 for each companion.
        let teams = self.teams.iter().map(|team| team.as_str().len() + 1);
        12 + teams.sum::<usize>() + 10 * self.companions.len()
    }

    fn add_team(&mut self, team: &TeamName) {
        if let Err(index) = self.teams.binary_search(team) {
            self.teams.insert(index, team.clone());
            self.teams.truncate(TEAMS_TO_HOLD_ALL);
        }
    }

    fn applies_to(&self, team: &TeamName) -> bool {
        self.teams.len() >= TEAMS_TO_HOLD_ALL || self.teams.contains(team)
    }
}

/// A request that ran at a target when it crashed, and had got no answer yet.
#[derive(Debug, Clone, Copy)]
pub struct CrashedRequest<'a> {
    /// Shared parts of the request's prompt.
    pub parts: &'a [PartId],
    /// Team that sent the request.
    pub team: &'a TeamName,
    /// When the request was sent to the target.
    pub sent_at: Time,
}

/// A part for which requests are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// The part.
    pub part: PartId,
    /// Time until requests with it may be sent again.
    pub remaining: Duration,
}

/// A mark with what this process needs to judge further crashes.
#[derive(Debug, Clone)]
struct Entry {
    mark: PartMark,
    /// Time of the last crash, or of the answer that cleared the part.
    changed_at: Time,
    /// When this process learned of it.
    known_since: Time,
}

/// A part against which a crash counts, with the requests that had it.
#[derive(Debug, Default)]
struct Candidate {
    teams: Vec<TeamName>,
    /// Suspected parts that all of these requests had besides; `None` before the first request.
    companions: Option<Vec<PartId>>,
}

impl Candidate {
    fn add(&mut self, part: PartId, team: &TeamName, suspects: &[PartId]) {
        self.teams.push(team.clone());
        match &mut self.companions {
            Some(companions) => companions.retain(|other| suspects.contains(other)),
            None => {
                let others = suspects.iter().copied().filter(|other| *other != part);
                self.companions = Some(others.take(MAX_COMPANIONS).collect());
            }
        }
    }
}

/// The marks of all parts that one process knows.
#[derive(Debug, Clone, Default)]
pub struct PartMarks {
    entries: HashMap<PartId, Entry>,
}

impl PartMarks {
    /// Counts the crash of a target against the parts of `requests`, and returns the parts whose
    /// marks changed. If some of the parts were suspected before, only those that were suspected
    /// most are counted.
    pub fn record_crash(&mut self, requests: &[CrashedRequest<'_>], now: Time) -> Vec<PartId> {
        self.expire(now);
        let crashes = |part: &PartId| self.entries.get(part).map_or(0, |entry| entry.mark.crashes);
        let parts = requests.iter().flat_map(|request| request.parts);
        let most = parts.map(crashes).max().unwrap_or(0);
        let suspects: Vec<Vec<PartId>> = requests
            .iter()
            .map(|request| {
                let parts = request.parts.iter().copied();
                parts.filter(|part| crashes(part) == most).collect()
            })
            .collect();
        let mut candidates: BTreeMap<PartId, Candidate> = BTreeMap::new();
        for (request, suspects) in requests.iter().zip(&suspects) {
            for part in suspects {
                if self.counts_against(*part, request) {
                    let candidate = candidates.entry(*part).or_default();
                    candidate.add(*part, request.team, suspects);
                }
            }
        }
        let changed = candidates.keys().copied().collect();
        for (part, candidate) in candidates {
            self.raise(part, candidate, now);
        }
        changed
    }

    /// Whether the request was sent after the last change of the part's mark was known.
    fn counts_against(&self, part: PartId, request: &CrashedRequest<'_>) -> bool {
        let entry = self.entries.get(&part);
        entry.is_none_or(|entry| request.sent_at >= entry.known_since)
    }

    fn raise(&mut self, part: PartId, candidate: Candidate, now: Time) {
        if !self.entries.contains_key(&part) && self.entries.len() >= MAX_MARKS {
            self.evict();
        }
        let entry = self.entries.entry(part).or_insert_with(|| Entry {
            mark: PartMark::default(),
            changed_at: now,
            known_since: now,
        });
        entry.mark.crashes += 1;
        entry.mark.companions = candidate.companions.unwrap_or_default();
        for team in &candidate.teams {
            entry.mark.add_team(team);
        }
        (entry.changed_at, entry.known_since) = (now, now);
    }

    /// Clears the parts of a request whose answer has begun, and returns those that were suspected.
    pub fn record_answer(&mut self, parts: &[PartId], now: Time) -> Vec<PartId> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        let mut cleared = Vec::new();
        for part in parts {
            if let Some(entry) = self.entries.get_mut(part)
                && entry.mark.crashes > 0
            {
                entry.mark = PartMark {
                    epoch: entry.mark.epoch + 1,
                    ..PartMark::default()
                };
                (entry.changed_at, entry.known_since) = (now, now);
                cleared.push(*part);
            }
        }
        cleared
    }

    /// The part for which a request of `team` with these parts is refused at `now`.
    pub fn held(&self, parts: &[PartId], team: &TeamName, now: Time) -> Option<Hold> {
        if self.entries.is_empty() {
            return None;
        }
        parts.iter().find_map(|part| {
            let entry = self.entries.get(part)?;
            let remaining = entry.remaining_hold(now)?;
            let is_held = |other: &PartId| {
                let other = self.entries.get(other);
                other.is_some_and(|entry| entry.remaining_hold(now).is_some())
            };
            let companions = entry.mark.companions.iter();
            let has_companions = companions
                .filter(|other| is_held(other))
                .all(|other| parts.contains(other));
            (entry.mark.applies_to(team) && has_companions).then_some(Hold {
                part: *part,
                remaining,
            })
        })
    }

    /// Merges a mark of another process that was last changed `age` ago; returns whether this
    /// process's mark changed.
    pub fn merge(&mut self, part: PartId, mark: &PartMark, age: Duration, now: Time) -> bool {
        if age >= mark.retention() {
            return false;
        }
        let changed_at = now.before(age);
        if let Some(entry) = self.entries.get_mut(&part) {
            let before = (entry.mark.epoch, entry.mark.crashes);
            let has_changed = entry.mark.merge(mark);
            if (entry.mark.epoch, entry.mark.crashes) != before {
                (entry.changed_at, entry.known_since) = (changed_at, now);
            }
            return has_changed;
        }
        if self.entries.len() >= MAX_MARKS {
            self.evict();
        }
        let entry = Entry {
            mark: mark.clone(),
            changed_at,
            known_since: now,
        };
        self.entries.insert(part, entry);
        true
    }

    /// All marks with the time since their last change, for the exchange with other processes.
    pub fn marks(&self, now: Time) -> impl Iterator<Item = (PartId, &PartMark, Duration)> {
        let entries = self.entries.iter();
        entries.map(move |(part, entry)| (*part, &entry.mark, now.since(entry.changed_at)))
    }

    /// The mark of one part.
    pub fn mark(&self, part: PartId) -> Option<&PartMark> {
        self.entries.get(&part).map(|entry| &entry.mark)
    }

    /// The suspected parts for operators, those with the most crashes first.
    pub fn inspect(&self, now: Time) -> Vec<PartState> {
        let suspected = self.entries.iter();
        let suspected = suspected.filter(|(_, entry)| entry.mark.crashes > 0);
        let mut parts: Vec<_> = suspected
            .map(|(part, entry)| PartState {
                part: *part,
                crashes: entry.mark.crashes,
                teams: entry.mark.teams.clone(),
                held_ms: entry.remaining_hold(now).unwrap_or_default().as_millis(),
            })
            .collect();
        parts.sort_by_key(|state| (Reverse(state.crashes), state.part));
        parts
    }

    fn expire(&mut self, now: Time) {
        self.entries
            .retain(|_, entry| now.since(entry.changed_at) < entry.mark.retention());
    }

    /// Removes the mark with the fewest crashes, the oldest of several.
    fn evict(&mut self) {
        let entries = self.entries.iter();
        let oldest = entries
            .min_by_key(|(part, entry)| (entry.mark.crashes, entry.changed_at, **part))
            .map(|(part, _)| *part);
        if let Some(oldest) = oldest {
            self.entries.remove(&oldest);
        }
    }
}

impl Entry {
    /// Time until requests with the part may be sent again; `None` while they may.
    fn remaining_hold(&self, now: Time) -> Option<Duration> {
        let until = self.changed_at + self.mark.hold_time()?;
        let remaining = until.since(now);
        (!remaining.is_zero()).then_some(remaining)
    }
}
