//! Windows of time by which usage is reported, and counts of requests in them.

use std::time::Duration;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::{
    id::Incarnation,
    name::{ProcessName, TeamName},
};

/// Number of a window; window 0 begins at the Unix epoch.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct WindowId(u64);

/// Length of all windows; at least one millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowLength(Duration);

impl WindowLength {
    /// Creates the length; `None` below one millisecond.
    pub fn new(length: Duration) -> Option<Self> {
        (length >= Duration::from_millis(1)).then_some(Self(length))
    }

    /// The length.
    pub fn duration(self) -> Duration {
        self.0
    }

    /// The window that contains the time `unix` since the Unix epoch.
    pub fn window_at(self, unix: Duration) -> WindowId {
        let number = unix.as_millis() / self.0.as_millis();
        WindowId(u64::try_from(number).unwrap_or(u64::MAX))
    }

    /// Time since the Unix epoch at which the window ends; saturates for numbers beyond any date.
    pub fn end(self, window: WindowId) -> Duration {
        let millis = u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(window.0.saturating_add(1).saturating_mul(millis))
    }
}

impl WindowId {
    /// The window that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// One run of a router, which counts for itself.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CountSource {
    /// Name of the router.
    pub router: ProcessName,
    /// Incarnation of the router; a restart begins new counts.
    pub incarnation: Incarnation,
}

/// Number of a team's requests that one router has counted in one window so far. Of two counts of the
/// same source, window and team the larger one is the later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountChange {
    /// Router that counts.
    pub source: CountSource,
    /// Window in which the requests began to run.
    pub window: WindowId,
    /// Team that sent the requests.
    pub team: TeamName,
    /// Number of requests.
    pub count: u64,
}
