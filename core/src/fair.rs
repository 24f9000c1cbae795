//! Weighted fair queueing between teams by virtual time.

use std::collections::{BTreeMap, VecDeque};

use crate::name::TeamName;

/// A number of waiters as a factor.
pub(crate) fn factor(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Idle teams kept beyond those with waiters, because they have used more than their share.
const MAX_IDLE: usize = 64;

#[derive(Debug)]
struct Share<T> {
    weight: f64,
    /// Virtual time at which the team's next waiter is due.
    due: f64,
    waiting: VecDeque<T>,
}

/// Waiters of several teams, served in proportion to the teams' weights.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Virtual time: the due time of the waiter served last.
    now: f64,
    len: usize,
    teams: BTreeMap<TeamName, Share<T>>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            now: 0.0,
            len: 0,
            teams: BTreeMap::new(),
        }
    }
}

impl<T> FairQueue<T> {
    /// Number of waiters.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a waiter of `team`, whose weight is at least 1.
    pub fn push(&mut self, team: &TeamName, weight: u32, waiter: T) {
        let now = self.now;
        let share = self.teams.entry(team.clone()).or_insert_with(|| Share {
            weight: 1.0,
            due: now,
            waiting: VecDeque::new(),
        });
        share.weight = f64::from(weight.max(1));
        if share.waiting.is_empty() {
            // A team that was idle saves up no credit for a burst.
            share.due = share.due.max(now);
        }
        share.waiting.push_back(waiter);
        self.len += 1;
    }

    /// Takes the waiter that is due first and charges its team with `cost`.
    pub fn pop(&mut self, cost: f64) -> Option<(TeamName, T)> {
        let (team, share) = self
            .teams
            .iter_mut()
            .filter(|(_, share)| !share.waiting.is_empty())
            .min_by(|(_, a), (_, b)| a.due.total_cmp(&b.due))?;
        let waiter = share.waiting.pop_front()?;
        self.now = self.now.max(share.due);
        share.due += cost / share.weight;
        let team = team.clone();
        self.len -= 1;
        if self.teams.len() > self.len + MAX_IDLE {
            let now = self.now;
            self.teams
                .retain(|_, share| !share.waiting.is_empty() || share.due > now);
        }
        Some((team, waiter))
    }

    /// Corrects the charge of a served waiter by `difference`, the real cost less the charge.
    pub fn settle(&mut self, team: &TeamName, difference: f64) {
        if let Some(share) = self.teams.get_mut(team) {
            share.due += difference / share.weight;
        }
    }

    /// How many waiters a new one of `team` would have before it, at most.
    pub fn ahead(&self, team: &TeamName, weight: u32) -> f64 {
        let own = self.teams.get(team).map_or(0, |share| share.waiting.len());
        let weight = f64::from(weight.max(1));
        let others = self.teams.iter().filter(|(name, _)| *name != team);
        let before = others.map(|(_, share)| {
            let turns = (factor(own) + 1.0) * share.weight / weight;
            turns.min(factor(share.waiting.len()))
        });
        factor(own) + before.sum::<f64>()
    }

    /// The team with the most waiters for its weight, and that ratio.
    pub fn longest(&self) -> Option<(&TeamName, f64)> {
        self.teams
            .iter()
            .map(|(name, share)| (name, factor(share.waiting.len()) / share.weight))
            .max_by(|(_, a), (_, b)| a.total_cmp(b))
            .filter(|(_, ratio)| *ratio > 0.0)
    }

    /// Waiters of `team` for its weight.
    pub fn ratio(&self, team: &TeamName, weight: u32) -> f64 {
        let own = self.teams.get(team).map_or(0, |share| share.waiting.len());
        factor(own) / f64::from(weight.max(1))
    }

    /// Takes the newest waiter of `team`.
    pub fn pop_newest(&mut self, team: &TeamName) -> Option<T> {
        let waiter = self.teams.get_mut(team)?.waiting.pop_back()?;
        self.len -= 1;
        Some(waiter)
    }

    /// Takes every waiter for which `gone` is true.
    pub fn take(&mut self, gone: impl Fn(&T) -> bool) -> Vec<T> {
        let mut taken = Vec::new();
        for share in self.teams.values_mut() {
            if share.waiting.iter().any(&gone) {
                let (out, keep) = share.waiting.drain(..).partition(&gone);
                share.waiting = keep;
                taken.extend::<VecDeque<T>>(out);
            }
        }
        self.len -= taken.len();
        taken
    }

    /// Every waiter.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.teams.values().flat_map(|share| &share.waiting)
    }
}
