//! Handle to the counts of requests by window and team.

use std::{collections::BTreeMap, time::Duration};

use ebonyfall_core::{
    name::{ProcessName, TeamName},
    time::Time,
    usage::window::{CountChange, WindowId},
};

use crate::clock;

/// Counts of one window, as far as they are known to this router.
#[derive(Debug, Clone, Default)]
pub struct WindowCounts {
    /// Number of requests of each team.
    pub counts: BTreeMap<TeamName, u64>,
    /// Live routers whose counts do not reach the window's end.
    pub missing: Vec<ProcessName>,
}

/// Handle to the counts. This form counts nothing: it stands for the task that counts and exchanges
/// counts with other routers.
#[derive(Debug, Clone)]
pub struct UsageCounter;

impl UsageCounter {
    /// Counts a request of `team` that began to run at `began_at`.
    pub fn count(&self, _team: &TeamName, _began_at: Time) {}

    /// Returns the known counts of a window.
    pub fn window(&self, _window: WindowId) -> WindowCounts {
        WindowCounts::default()
    }

    /// Returns the counts that have changed since `revision`, and the present revision.
    pub fn changes_since(&self, revision: u64) -> (Vec<CountChange>, u64) {
        (Vec::new(), revision)
    }

    /// Adds counts that were read from the store.
    pub fn merge(&self, _changes: Vec<CountChange>) {}

    /// States whether this router holds the reporting lease.
    pub fn set_holding(&self, _holding: bool) {}

    /// Returns the true time since the Unix epoch.
    pub fn unix_time(&self) -> Duration {
        clock::unix_time()
    }

    /// Returns the place of this router among the live ones; `None` while the membership is not
    /// fresh.
    pub fn rank(&self) -> Option<usize> {
        Some(0)
    }
}
