//! Requests that may crash whatever target runs them.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    id::Fingerprint,
    name::{TargetName, TeamName},
    time::Time,
};

/// Targets that a request has to crash before it is held.
const CRASHES_TO_HOLD: usize = 2;
/// Marks kept for one team, so that one team cannot push out those of another.
const MAX_MARKS_PER_TEAM: usize = 64;
/// Marks kept in all.
const MAX_MARKS: usize = 4096;

/// A target that crashed while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The target.
    pub target: TargetName,
    /// When it crashed, since the Unix epoch.
    pub time: Time,
}

/// What is known of one request; times are since the Unix epoch, so that processes can exchange
/// marks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The team that sent it.
    pub team: TeamName,
    /// The last crash of each target, at most two.
    pub crashes: Vec<Crash>,
    /// When an operator or a whole answer cleared it; earlier crashes do not count.
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

    /// Since when the request is held: the second target's crash.
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

/// Marks by request, as they travel between processes.
pub type Marks = Vec<(Fingerprint, Mark)>;

/// How a request is treated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ContentStatus {
    /// Like any other.
    Clear,
    /// One target crashed while it ran the request.
    Suspect(Crash),
    /// Refused everywhere.
    Held,
}

/// The requests that were running when targets crashed.
#[derive(Debug, Clone)]
pub struct Suspects {
    mark_life: Duration,
    marks: HashMap<Fingerprint, Mark>,
}

impl Suspects {
    /// Starts empty; marks expire after `hold`.
    pub fn new(mark_life: Duration) -> Self {
        Self {
            mark_life,
            marks: HashMap::new(),
        }
    }

    /// Takes the time that marks last from a new document.
    pub fn set_mark_life(&mut self, mark_life: Duration) {
        self.mark_life = mark_life;
    }

    /// Records that `target` crashed while it ran these requests. When suspects of another
    /// target's crash are among them, they are the cause and the others stay clear.
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

    /// Records one crash.
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

    /// Takes the mark that came with a request.
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

    /// How a request is treated now.
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

    /// Clears a request that got its whole answer; a held one stays held.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Time) {
        if matches!(self.status(fingerprint, now), ContentStatus::Suspect(_)) {
            self.clear(fingerprint, now);
        }
    }

    /// Clears a request; marks of earlier crashes that arrive later do not count. False when it
    /// was not marked.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
        let Some(mark) = self.marks.get_mut(&fingerprint) else {
            return false;
        };
        mark.cleared = mark.cleared.max(Some(now));
        mark.prune(Time::ZERO);
        true
    }

    /// Merges what another process knows; the order of merges makes no difference.
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

    /// Every mark, for the exchange with other processes.
    pub fn marks(&self) -> impl Iterator<Item = (Fingerprint, &Mark)> {
        self.marks
            .iter()
            .map(|(fingerprint, mark)| (*fingerprint, mark))
    }

    /// The held requests with their marks.
    pub fn held(&self, now: Time) -> Marks {
        let held = self.marks.iter();
        held.filter(|(fingerprint, _)| self.status(**fingerprint, now) == ContentStatus::Held)
            .map(|(fingerprint, mark)| (*fingerprint, mark.clone()))
            .collect()
    }

    fn expiry_limit(&self, now: Time) -> Time {
        Time::ZERO + now.since(Time::ZERO + self.mark_life)
    }

    /// Drops expired marks, and the oldest ones of a team or of all that has too many; suspects
    /// go before held requests.
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
