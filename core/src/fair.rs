//! Weighted fair queueing between teams, based on virtual time.

use std::collections::{BTreeMap, VecDeque};

use crate::name::TeamName;

/// Converts a count to a floating-point number; counts above `u32::MAX` saturate.
pub(crate) fn count_to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// How far the number of teams may exceed the number of queued items before idle teams that have
/// not used more than their share are forgotten. A team that has used more stays, because it would
/// lose its debt otherwise.
const MAX_IDLE_TEAMS: usize = 64;

#[derive(Debug)]
struct TeamQueue<T> {
    weight: f64,
    /// Virtual time at which the team's next item is due.
    due: f64,
    waiting: VecDeque<T>,
}

/// Queue that serves items of several teams in proportion to the teams' weights.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Highest due time of all items served so far.
    virtual_time: f64,
    len: usize,
    teams: BTreeMap<TeamName, TeamQueue<T>>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            virtual_time: 0.0,
            len: 0,
            teams: BTreeMap::new(),
        }
    }
}

impl<T> FairQueue<T> {
    /// Number of queued items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no items are queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends an item of `team`. The weight must be at least 1 and replaces the team's previous
    /// one.
    pub fn push(&mut self, team: &TeamName, weight: u32, waiter: T) {
        self.push_before(team, weight, waiter, |_| false);
    }

    /// Inserts an item of `team` before the first of the team's items for which `goes_after` returns
    /// true; otherwise as [`Self::push`].
    pub fn push_before(
        &mut self,
        team: &TeamName,
        weight: u32,
        waiter: T,
        goes_after: impl Fn(&T) -> bool,
    ) {
        let virtual_time = self.virtual_time;
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            weight: 1.0,
            due: virtual_time,
            waiting: VecDeque::new(),
        });
        queue.weight = f64::from(weight.max(1));
        if queue.waiting.is_empty() {
            // An idle team must not save up credit for a burst.
            queue.due = queue.due.max(virtual_time);
        }
        let place = queue.waiting.iter().position(goes_after);
        let place = place.unwrap_or(queue.waiting.len());
        queue.waiting.insert(place, waiter);
        self.len += 1;
    }

    /// Removes the item that is due first and charges its team for `cost`.
    pub fn pop(&mut self, cost: f64) -> Option<(TeamName, T)> {
        let (team, queue) = self
            .teams
            .iter_mut()
            .filter(|(_, queue)| !queue.waiting.is_empty())
            .min_by(|(_, a), (_, b)| a.due.total_cmp(&b.due))?;
        let waiter = queue.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(queue.due);
        queue.due += cost / queue.weight;
        let team = team.clone();
        self.len -= 1;
        if self.teams.len() > self.len + MAX_IDLE_TEAMS {
            let virtual_time = self.virtual_time;
            self.teams
                .retain(|_, queue| !queue.waiting.is_empty() || queue.due > virtual_time);
        }
        Some((team, waiter))
    }

    /// Corrects the charge for a served item by `difference`, the actual cost minus the charged
    /// cost.
    pub fn adjust_charge(&mut self, team: &TeamName, difference: f64) {
        if let Some(queue) = self.teams.get_mut(team) {
            queue.due += difference / queue.weight;
        }
    }

    /// Upper estimate of the number of items that would be served before a new item of `team`.
    pub fn max_ahead(&self, team: &TeamName, weight: u32) -> f64 {
        let own = self.teams.get(team).map_or(0, |queue| queue.waiting.len());
        let weight = f64::from(weight.max(1));
        let others = self.teams.iter().filter(|(name, _)| *name != team);
        let ahead = others.map(|(_, queue)| {
            let served_before = (count_to_f64(own) + 1.0) * queue.weight / weight;
            served_before.min(count_to_f64(queue.waiting.len()))
        });
        count_to_f64(own) + ahead.sum::<f64>()
    }

    /// The team with the most queued items per unit of weight, and that quotient; `None` if the
    /// queue is empty.
    pub fn largest_backlog(&self) -> Option<(&TeamName, f64)> {
        self.teams
            .iter()
            .map(|(name, queue)| (name, count_to_f64(queue.waiting.len()) / queue.weight))
            .max_by(|(_, a), (_, b)| a.total_cmp(b))
            .filter(|(_, backlog)| *backlog > 0.0)
    }

    /// Number of queued items of `team` per unit of `weight`.
    pub fn backlog(&self, team: &TeamName, weight: u32) -> f64 {
        let own = self.teams.get(team).map_or(0, |queue| queue.waiting.len());
        count_to_f64(own) / f64::from(weight.max(1))
    }

    /// Removes the newest item of `team`, without a charge.
    pub fn pop_newest(&mut self, team: &TeamName) -> Option<T> {
        let waiter = self.teams.get_mut(team)?.waiting.pop_back()?;
        self.len -= 1;
        Some(waiter)
    }

    /// Removes and returns every item for which `matches` returns true.
    pub fn extract_if(&mut self, matches: impl Fn(&T) -> bool) -> Vec<T> {
        let mut taken = Vec::new();
        for queue in self.teams.values_mut() {
            if queue.waiting.iter().any(&matches) {
                let (out, keep) = queue.waiting.drain(..).partition(&matches);
                queue.waiting = keep;
                taken.extend::<VecDeque<T>>(out);
            }
        }
        self.len -= taken.len();
        taken
    }

    /// Iterates over all queued items, grouped by team.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.teams.values().flat_map(|queue| &queue.waiting)
    }
}
