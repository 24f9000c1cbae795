//! The process's clock, read at the edge and handed to the core as a value.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ebonyfall_core::time::Time;

/// A monotonic clock whose epoch is its creation.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The present time.
    pub fn now(self) -> Time {
        Time::ZERO + self.0.elapsed()
    }
}

/// Time since the Unix epoch.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
