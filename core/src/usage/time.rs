//! Time of day that the routers agree on, although the clocks of some machines may jump.

use std::time::Duration;

use crate::time::Time;

/// Difference from the median up to which a router keeps its own time. Half a round trip is known no
/// better than this when links are loaded.
const MAX_DIFFERENCE_MICROS: i128 = 200_000;
/// Smallest number of clocks, with the own one, of which a wrong one can be told.
const MIN_CLOCKS: usize = 3;
/// Longest round trip of a usable reading. Of a longer one it is not known which half was slow.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(500);

/// Time of another router, as stated in its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Time since the Unix epoch when the other router answered, by its own corrected clock.
    pub unix: Duration,
    /// When the request was sent.
    pub sent_at: Time,
    /// When the answer arrived.
    pub received_at: Time,
}

/// Converts times of this process to times since the Unix epoch.
///
/// The process's clock advances at the right rate but has another epoch, so that only the offset
/// between the two has to be known. Jumps of the wall clock after the start have no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetTime {
    /// Time since the Unix epoch at [`Time::ZERO`], in microseconds.
    offset: i128,
}

impl FleetTime {
    /// Takes the offset from the wall clock, which shows `unix` at the time `now`.
    pub fn new(unix: Duration, now: Time) -> Self {
        Self {
            offset: offset(unix, now),
        }
    }

    /// The time since the Unix epoch at `at`.
    pub fn unix(&self, at: Time) -> Duration {
        let micros = self.offset.saturating_add(i128::from(at.micros()));
        Duration::from_micros(u64::try_from(micros.max(0)).unwrap_or(u64::MAX))
    }

    /// Corrects the offset to the median of the own one and those of the other routers when it
    /// differs from that median by more than 200 ms. At least two others are needed, since of two
    /// clocks it is not known which one is wrong. Returns the size of the correction in
    /// microseconds, positive if the time was behind.
    pub fn correct(&mut self, readings: &[ClockReading]) -> Option<i128> {
        let others = readings.iter().filter_map(ClockReading::offset);
        let mut offsets: Vec<_> = others.chain([self.offset]).collect();
        if offsets.len() < MIN_CLOCKS {
            return None;
        }
        offsets.sort_unstable();
        let middle = offsets.len() / 2;
        let median = if offsets.len().is_multiple_of(2) {
            i128::midpoint(offsets[middle - 1], offsets[middle])
        } else {
            offsets[middle]
        };
        let difference = median - self.offset;
        if difference.abs() <= MAX_DIFFERENCE_MICROS {
            return None;
        }
        self.offset = median;
        Some(difference)
    }
}

impl ClockReading {
    /// The offset of the other router's time from this process's clock. `None` after a long round
    /// trip.
    fn offset(&self) -> Option<i128> {
        let round_trip = self.received_at.since(self.sent_at);
        let usable = round_trip <= MAX_ROUND_TRIP && self.received_at >= self.sent_at;
        usable.then(|| offset(self.unix + round_trip / 2, self.received_at))
    }
}

fn offset(unix: Duration, at: Time) -> i128 {
    i128::try_from(unix.as_micros()).unwrap_or(i128::MAX) - i128::from(at.micros())
}
