//! How long a router waits for a target's stream in all.

use std::time::Duration;

use crate::time::Time;

/// Time that a router waits in all for a target after the deadline, so that an answer which the
/// target ends at the deadline still arrives.
pub const ANSWER_GRACE: Duration = Duration::from_millis(60);
/// Most bytes of a stream that a router reads after the deadline. A caller that reads slowly still
/// gets what its target had sent in time.
pub const MAX_LATE_BYTES: usize = 256 << 10;

/// Limits on the waits for one stream, over all targets that send it.
///
/// Only time spent waiting for a target counts, not the time that the caller takes to read. Bytes
/// that arrive renew no wait.
#[derive(Debug, Clone)]
pub struct StreamWait {
    deadline: Time,
    /// Time spent waiting after the deadline.
    late: Duration,
    /// Bytes that arrived after the deadline.
    late_bytes: usize,
}

impl StreamWait {
    /// Creates the limits of a request that ends at `deadline`.
    pub fn new(deadline: Time) -> Self {
        Self {
            deadline,
            late: Duration::ZERO,
            late_bytes: 0,
        }
    }

    /// Longest wait for more bytes from `now` on; zero when the stream has to end.
    pub fn limit(&self, now: Time) -> Duration {
        if self.late_bytes > MAX_LATE_BYTES {
            return Duration::ZERO;
        }
        self.deadline.since(now) + ANSWER_GRACE.saturating_sub(self.late)
    }

    /// Time spent waiting after the deadline, and the bytes that arrived then.
    pub fn late(&self) -> (Duration, usize) {
        (self.late, self.late_bytes)
    }

    /// Records a wait for the target from `start` to `end`, in which `len` bytes arrived.
    pub fn record(&mut self, len: usize, start: Time, end: Time) {
        if end >= self.deadline {
            self.late += end.since(start.max(self.deadline));
            self.late_bytes += len;
        }
    }
}
