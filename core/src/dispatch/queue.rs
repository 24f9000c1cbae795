//! Requests that wait at a router for capacity of one service.
//!
//! Handles load above the capacity: the most urgent class goes first, within a class the teams take
//! turns, so that a team with many requests delays only its own, and within a team the earliest
//! arrival goes first.

use std::{collections::BTreeMap, time::Duration};

use super::DispatchRequest;
use crate::{fair::FairQueue, name::TeamName, time::Time};

/// Weight of every team within its class.
const TEAM_WEIGHT: u32 = 1;

/// A waiting request.
#[derive(Debug)]
pub(super) struct Waiter<T> {
    pub(super) id: u64,
    pub(super) request: DispatchRequest,
    /// First arrival, by which the requests of a team are ordered.
    pub(super) since: Time,
    /// When the request is refused if it still waits.
    pub(super) until: Time,
    /// When it is checked once more whether the request will be dispatched before `until`; `None`
    /// after that.
    pub(super) review_at: Option<Time>,
    /// Wait predicted on arrival.
    pub(super) predicted: Option<Duration>,
    pub(super) handle: T,
}

/// Waiting requests of one service, by class.
#[derive(Debug)]
pub(super) struct WaitingQueue<T> {
    classes: BTreeMap<u8, FairQueue<Waiter<T>>>,
}

impl<T> Default for WaitingQueue<T> {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
        }
    }
}

impl<T> WaitingQueue<T> {
    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.classes.values().map(FairQueue::len).sum()
    }

    /// Number of waiting requests by class, for the classes that have had any.
    pub(super) fn classes(&self) -> impl Iterator<Item = (u8, usize)> {
        self.classes
            .iter()
            .map(|(class, queue)| (*class, queue.len()))
    }

    /// The most urgent class with a waiting request.
    pub(super) fn most_urgent(&self) -> Option<u8> {
        let mut classes = self.classes().filter(|(_, len)| *len > 0);
        classes.next().map(|(class, _)| class)
    }

    /// The least urgent class with a waiting request.
    pub(super) fn least_urgent(&self) -> Option<u8> {
        let classes = self.classes().filter(|(_, len)| *len > 0);
        classes.last().map(|(class, _)| class)
    }

    /// Adds a request behind those of its team that arrived earlier.
    pub(super) fn push(&mut self, waiter: Waiter<T>) {
        let queue = self.classes.entry(waiter.request.priority).or_default();
        let team = waiter.request.team.clone();
        let since = waiter.since;
        queue.push_before(&team, TEAM_WEIGHT, waiter, |other| other.since > since);
    }

    /// Upper estimate of the number of requests that are dispatched before a new one.
    pub(super) fn ahead(&self, class: u8, team: &TeamName) -> f64 {
        let urgent = self.classes.range(..class);
        let urgent: usize = urgent.map(|(_, queue)| queue.len()).sum();
        let own = self.classes.get(&class);
        let own = own.map_or(0.0, |queue| queue.max_ahead(team, TEAM_WEIGHT));
        f64::from(u32::try_from(urgent).unwrap_or(u32::MAX)) + own
    }

    /// Removes the request that is dispatched next.
    pub(super) fn pop(&mut self) -> Option<Waiter<T>> {
        let class = self.most_urgent()?;
        let (_, waiter) = self.classes.get_mut(&class)?.pop(1.0)?;
        Some(waiter)
    }

    /// Removes the newest request of the team with the largest backlog in the least urgent class.
    pub(super) fn evict(&mut self) -> Option<Waiter<T>> {
        let class = self.least_urgent()?;
        let queue = self.classes.get_mut(&class)?;
        let team = queue.largest_backlog()?.0.clone();
        queue.pop_newest(&team)
    }

    /// Removes all requests for which `matches` returns true.
    pub(super) fn extract_if(&mut self, matches: impl Fn(&Waiter<T>) -> bool) -> Vec<Waiter<T>> {
        let queues = self.classes.values_mut();
        queues
            .flat_map(|queue| queue.extract_if(&matches))
            .collect()
    }

    /// Iterates over all waiting requests.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiter<T>> {
        self.classes.values().flat_map(FairQueue::iter)
    }
}
