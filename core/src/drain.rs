//! Graceful shutdown of a process: no new work, and a bounded wait for what runs.

use std::time::Duration;

use crate::time::Time;

/// Where a process stands in its shutdown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Drain {
    deadline: Option<Time>,
}

/// Whether a shutdown may end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainStatus {
    /// The process is not shutting down.
    Serving,
    /// Requests are still running and there is time.
    Waiting,
    /// Every request has ended.
    Nothing,
    /// The time is over with this many requests left.
    Unfinished(u32),
}

impl Drain {
    /// Starts the shutdown, which waits at most `within`; a second call does not extend it.
    pub fn begin(&mut self, within: Duration, now: Time) {
        self.deadline.get_or_insert(now + within);
    }

    /// Whether new work is taken.
    pub fn may_accept(self) -> bool {
        self.deadline.is_none()
    }

    /// Whether the process may end while `open` requests run or wait.
    pub fn status(self, open: u32, now: Time) -> DrainStatus {
        match self.deadline {
            None => DrainStatus::Serving,
            Some(_) if open == 0 => DrainStatus::Nothing,
            Some(deadline) if now >= deadline => DrainStatus::Unfinished(open),
            Some(_) => DrainStatus::Waiting,
        }
    }
}
