//! Detection of requests that crash the targets that run them, from the targets' crashes.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    id::Fingerprint,
    name::{TargetName, TeamName},
    time::Time,
};

/// Number of different targets that a request has to crash before it is held.
const CRASHES_TO_HOLD: usize = 2;
/// Maximum number of marks for one team, so that no team can evict the marks of another.
const MAX_MARKS_PER_TEAM: usize = 64;
/// Maximum number of marks of all teams.
const MAX_MARKS: usize = 4096;

/// A target that crashed while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Target that crashed.
    pub target: TargetName,
    /// Time of the crash since the Unix epoch, so that processes can exchange it.
    pub time: Time,
}

/// Crashes attributed to one request. Times are since the Unix epoch, so that processes can
/// exchange marks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Team that sent the request; the number of marks is limited for each team.
    pub team: TeamName,
    /// Last crash of each target, the newest first. At most two targets are kept.
    pub crashes: Vec<Crash>,
    /// When an operator or a complete answer cleared the request; crashes up to then do not count.
    /// `None` if it was never cleared.
    pub cleared: Option<Time>,
}

impl Mark {
    fn new(team: TeamName) -> Self {
        Self {
            team,
            crashes: Vec::new(),
            cleared: None,
        }
    }

    fn add(&mut self, crash: Crash) {
        match self.crashes.iter_mut().find(|c| c.target == crash.target) {
            Some(known) => known.time = known.time.max(crash.time),
            None => self.crashes.push(crash),
        }
        self.crashes
            .sort_by(|a, b| (b.time, &a.target).cmp(&(a.time, &b.target)));
        self.crashes.truncate(CRASHES_TO_HOLD);
    }

    /// Since when the request is held: the time of its newest crash. `None` while fewer than two
    /// targets have crashed.
    pub fn held_since(&self) -> Option<Time> {
        let is_held = self.crashes.len() >= CRASHES_TO_HOLD;
        self.crashes
            .first()
            .filter(|_| is_held)
            .map(|crash| crash.time)
    }

    fn prune(&mut self, after: Time) {
        let cleared = self.cleared;
        self.crashes
            .retain(|crash| crash.time > after && cleared.is_none_or(|time| crash.time > time));
        self.cleared = cleared.filter(|time| *time > after);
    }

    fn newest(&self) -> Time {
        let crashes = self.crashes.iter().map(|crash| crash.time);
        crashes.chain(self.cleared).max().unwrap_or_default()
    }
}

/// Marks by the fingerprint of the request, as processes exchange them.
pub type Marks = Vec<(Fingerprint, Mark)>;

/// Status of a request with regard to crashes of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ContentStatus {
    /// No crash counts against the request.
    Clear,
    /// One target crashed while it ran the request.
    Suspect(Crash),
    /// Two targets crashed while they ran the request; every process refuses it.
    Held,
}

/// Marks of the requests that were running when targets crashed.
#[derive(Debug, Clone)]
pub struct Suspects {
    mark_ttl: Duration,
    marks: HashMap<Fingerprint, Mark>,
}

impl Suspects {
    /// Creates an empty set whose marks expire after `mark_ttl`.
    pub fn new(mark_ttl: Duration) -> Self {
        Self {
            mark_ttl,
            marks: HashMap::new(),
        }
    }

    /// Sets the time after which marks expire, when the configuration document changes it.
    pub fn set_mark_ttl(&mut self, mark_ttl: Duration) {
        self.mark_ttl = mark_ttl;
    }

    /// Records that `target` crashed while it was `running` these requests. If some of them are
    /// suspects of another target's crash or held, only those are marked.
    pub fn record_crash(
        &mut self,
        target: &TargetName,
        running: &[(Fingerprint, TeamName)],
        now: Time,
    ) {
        let suspects: Vec<_> = running
            .iter()
            .filter(|(fingerprint, _)| match self.status(*fingerprint, now) {
                ContentStatus::Suspect(crash) => crash.target != *target,
                ContentStatus::Held => true,
                ContentStatus::Clear => false,
            })
            .collect();
        let causes = if suspects.is_empty() {
            running.iter().collect()
        } else {
            suspects
        };
        for (fingerprint, team) in causes {
            self.add_mark(*fingerprint, team, target, now);
        }
    }

    /// Attributes a crash of `target` at `time` to one request.
    pub fn add_mark(
        &mut self,
        fingerprint: Fingerprint,
        team: &TeamName,
        target: &TargetName,
        time: Time,
    ) {
        let mut mark = Mark::new(team.clone());
        mark.add(Crash {
            target: target.clone(),
            time,
        });
        self.merge(fingerprint, mark, time);
    }

    /// Adds a crash that the sender of a request reported with it.
    pub fn add_reported_crash(
        &mut self,
        fingerprint: Fingerprint,
        team: &TeamName,
        crash: Crash,
        now: Time,
    ) {
        let mut mark = Mark::new(team.clone());
        mark.add(crash);
        self.merge(fingerprint, mark, now);
    }

    /// Status of a request at `now`, expired crashes ignored.
    pub fn status(&self, fingerprint: Fingerprint, now: Time) -> ContentStatus {
        let Some(mark) = self.marks.get(&fingerprint) else {
            return ContentStatus::Clear;
        };
        let mut mark = mark.clone();
        mark.prune(self.expiry_limit(now));
        match mark.crashes.as_slice() {
            [] => ContentStatus::Clear,
            [crash] => ContentStatus::Suspect(crash.clone()),
            _ => ContentStatus::Held,
        }
    }

    /// Clears a suspect that received a complete answer. A held request stays held.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Time) {
        if matches!(self.status(fingerprint, now), ContentStatus::Suspect(_)) {
            self.clear(fingerprint, now);
        }
    }

    /// Clears a request, also of earlier crashes that other processes report later. Returns false
    /// if the request has no mark.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
        let Some(mark) = self.marks.get_mut(&fingerprint) else {
            return false;
        };
        mark.cleared = mark.cleared.max(Some(now));
        mark.prune(Time::ZERO);
        true
    }

    /// Merges a mark from another process. The result does not depend on the order of merges.
    pub fn merge(&mut self, fingerprint: Fingerprint, other: Mark, now: Time) {
        let team = other.team.clone();
        let mark = self.marks.entry(fingerprint);
        let mark = mark.or_insert_with(|| Mark::new(other.team));
        mark.cleared = mark.cleared.max(other.cleared);
        for crash in other.crashes {
            mark.add(crash);
        }
        mark.prune(Time::ZERO);
        self.enforce_limits(&team, now);
    }

    /// All marks, for the exchange with other processes. Expired ones may be included.
    pub fn marks(&self) -> impl Iterator<Item = (Fingerprint, &Mark)> {
        self.marks
            .iter()
            .map(|(fingerprint, mark)| (*fingerprint, mark))
    }

    /// The requests that are held at `now`, with their marks.
    pub fn held(&self, now: Time) -> Marks {
        let held = self.marks.iter();
        held.filter(|(fingerprint, _)| self.status(**fingerprint, now) == ContentStatus::Held)
            .map(|(fingerprint, mark)| (*fingerprint, mark.clone()))
            .collect()
    }

    /// Time up to which crashes have expired.
    fn expiry_limit(&self, now: Time) -> Time {
        Time::ZERO + now.since(Time::ZERO + self.mark_ttl)
    }

    /// Removes expired marks, then the oldest mark of `team` and of all teams if either has too
    /// many. Marks with fewer crashes are removed first, so that held requests outlast suspects.
    fn enforce_limits(&mut self, team: &TeamName, now: Time) {
        let limit = self.expiry_limit(now);
        self.marks
            .retain(|_, mark| mark.newest() > limit || limit == Time::ZERO);
        let of_team = self
            .marks
            .values()
            .filter(|mark| mark.team == *team)
            .count();
        if of_team > MAX_MARKS_PER_TEAM {
            self.evict(Some(team));
        }
        if self.marks.len() > MAX_MARKS {
            self.evict(None);
        }
    }

    fn evict(&mut self, team: Option<&TeamName>) {
        let marks = self.marks.iter();
        let oldest = marks
            .filter(|(_, mark)| team.is_none_or(|team| mark.team == *team))
            .min_by_key(|(fingerprint, mark)| (mark.crashes.len(), mark.newest(), **fingerprint))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(oldest) = oldest {
            self.marks.remove(&oldest);
        }
    }
}
