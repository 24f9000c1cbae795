//! Limits on the time that an answer takes.
//!
//! An answer has to begin in time and to advance from then on. So a dead connection is found soon, and a
//! long answer over a thin link is not cut: the time for it grows with what has arrived.

use std::time::Duration;

use crate::time::Time;

/// Bytes that have to arrive within one pause. Small, since several calls share a link of 10 Mbit/s with
/// the requests of callers, and each lost packet costs a retransmission timeout.
const MIN_PROGRESS_BYTES: usize = 16 << 10;
/// Rate at which the body of a call leaves, in bytes per second: a tenth of 10 Mbit/s.
const SEND_RATE: u32 = 125_000;

/// Delay of a timer that shows that the process itself stood still, and may not have read what arrived.
/// Longer than the pauses of a VM that has used up its processor time.
pub(crate) const STANDSTILL: Duration = Duration::from_millis(400);

/// Limits on the time of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferLimits {
    /// Longest time until the answer begins.
    pub begin: Duration,
    /// Longest time without progress after that.
    pub pause: Duration,
}

impl TransferLimits {
    /// Limits of a call whose answer waits up to `wait`, and has `pause` beyond that to begin and between
    /// two steps of its progress.
    pub fn new(wait: Duration, pause: Duration) -> Self {
        Self {
            begin: wait + pause,
            pause,
        }
    }

    /// The same limits with the time that a body of `bytes` takes to be sent.
    #[must_use]
    pub fn with_body(self, bytes: usize) -> Self {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let begin = self.begin + Duration::from_secs(1) * bytes / SEND_RATE;
        Self { begin, ..self }
    }
}

/// Progress of one answer.
#[derive(Debug, Clone)]
pub struct Transfer {
    pause: Duration,
    deadline: Time,
    /// Bytes that had arrived when the deadline was last moved; `None` before the answer begins.
    counted: Option<usize>,
    received: usize,
    /// Whether the transfer has got another pause because the process stood still.
    has_resumed: bool,
}

impl Transfer {
    /// Creates the progress of a call that is sent at `now`.
    pub fn new(limits: TransferLimits, now: Time) -> Self {
        Self {
            pause: limits.pause,
            deadline: now + limits.begin,
            counted: None,
            received: 0,
            has_resumed: false,
        }
    }

    /// Time at which the transfer has stalled unless more arrives.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Bytes of the answer that have arrived.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Records that `received` bytes of the answer have arrived in all.
    pub fn record(&mut self, received: usize, now: Time) {
        self.received = received;
        let has_advanced = match self.counted {
            None => true,
            Some(counted) => received >= counted + MIN_PROGRESS_BYTES,
        };
        if has_advanced {
            self.counted = Some(received);
            self.deadline = now + self.pause;
        }
    }

    /// Whether the transfer has to be given up. After the process has stood still, another pause begins
    /// once.
    pub fn is_stalled(&mut self, now: Time) -> bool {
        if now < self.deadline {
            return false;
        }
        if self.has_resumed || now.since(self.deadline) < STANDSTILL {
            return true;
        }
        self.has_resumed = true;
        self.deadline = now + self.pause;
        false
    }
}
