//! Clocks of the process. The core reads no clock: its callers pass the time as a value.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ebonyfall_core::time::Time;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock that starts at zero when it is created.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Creates a clock whose present time is zero.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the time since the clock was created.
    pub fn now(self) -> Time {
        Time::ZERO + self.0.elapsed()
    }
}

/// Monotonic clock that also runs while the VM is suspended.
#[derive(Debug, Clone, Copy)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the VM's boot.
    pub fn now(self) -> Time {
        let now = clock_gettime(ClockId::Boottime);
        let secs = Duration::from_secs(now.tv_sec.try_into().unwrap_or_default());
        Time::ZERO + secs + Duration::from_nanos(now.tv_nsec.try_into().unwrap_or_default())
    }
}

/// Returns the wall-clock time since the Unix epoch; zero if the clock is set before it.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Converts a duration to whole milliseconds, for log fields.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
