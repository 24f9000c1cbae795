//! Graceful shutdown of a process: new requests are refused, and running ones get a limited time to
//! finish.

use std::time::Duration;

use crate::time::Time;

/// Shutdown state of a process; the default is normal operation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Drain {
    deadline: Option<Time>,
}

/// Progress of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainStatus {
    /// The process is not shutting down.
    Serving,
    /// Requests are still running or queued, and the deadline has not passed.
    Waiting,
    /// All requests have ended.
    Nothing,
    /// The deadline has passed with this many requests running or queued.
    Unfinished(u32),
}

impl Drain {
    /// Starts the shutdown with a deadline `within` from now; a second call does not change the
    /// deadline.
    pub fn begin(&mut self, within: Duration, now: Time) {
        self.deadline.get_or_insert(now + within);
    }

    /// Whether new requests are accepted.
    pub fn may_accept(self) -> bool {
        self.deadline.is_none()
    }

    /// Returns the progress of the shutdown, given that `open` requests are running or queued.
    pub fn status(self, open: u32, now: Time) -> DrainStatus {
        match self.deadline {
            None => DrainStatus::Serving,
            Some(_) if open == 0 => DrainStatus::Nothing,
            Some(deadline) if now >= deadline => DrainStatus::Unfinished(open),
            Some(_) => DrainStatus::Waiting,
        }
    }
}
