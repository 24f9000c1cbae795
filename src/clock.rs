//! The process's clock, read at the edge and handed to the core as a value.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ebonyfall_core::time::Time;
use rustix::time::{ClockId, clock_gettime};

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

/// A clock that also counts the time for which the VM is suspended.
#[derive(Debug, Clone, Copy)]
pub struct BootClock;

impl BootClock {
    /// The present time since the VM's boot.
    pub fn now(self) -> Time {
        let now = clock_gettime(ClockId::Boottime);
        let secs = Duration::from_secs(now.tv_sec.try_into().unwrap_or_default());
        Time::ZERO + secs + Duration::from_nanos(now.tv_nsec.try_into().unwrap_or_default())
    }
}

/// Time since the Unix epoch.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Whole milliseconds of a span, for logs.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
