//! A timestamp type that does not depend on a clock.

use std::{ops::Add, time::Duration};

use derive_more::{From, Into};
use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since an epoch that is specific to the process.
///
/// Values of different processes are not comparable, except where both are documented as relative
/// to the Unix epoch.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct Time(u64);

impl Time {
    /// The epoch: zero microseconds.
    pub const ZERO: Self = Self(0);

    /// Creates a time from milliseconds since the epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the epoch.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Milliseconds since the epoch, rounded down.
    pub const fn millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The time that is `duration` earlier, or the epoch if that would be before it.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// The duration from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}
