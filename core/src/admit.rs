//! Admission at one target.

use std::time::Duration;

use crate::{code::Code, time::Time};

/// Limits of one target.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Requests borne at once when warm.
    pub slots: u32,
    /// Requests borne at once in cold start.
    pub cold_slots: u32,
}

/// Requests that a cold target must finish before its limit rises.
const PROOF: u32 = 16;

/// Decides whether the target may take one more request.
#[derive(Debug)]
pub struct Admission {
    capacity: Capacity,
    limit: u32,
    running: u32,
    finished: u32,
}

impl Admission {
    /// Starts with a cold target.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            limit: capacity.cold_slots,
            running: 0,
            finished: 0,
        }
    }

    /// Takes or refuses a request that has `left` until its deadline.
    ///
    /// # Errors
    ///
    /// Fails with the code of the refusal; the request has not run.
    pub fn enter(&mut self, left: Duration, _now: Time) -> Result<(), Code> {
        if left.is_zero() {
            return Err(Code::DeadlinePassed);
        }
        if self.running >= self.limit {
            let warm = self.limit >= self.capacity.slots;
            return Err(if warm {
                Code::Overloaded
            } else {
                Code::ColdStart
            });
        }
        self.running += 1;
        Ok(())
    }

    /// Records the end of a request; success raises the limit of a cold target.
    pub fn leave(&mut self, success: bool, _now: Time) {
        self.running = self.running.saturating_sub(1);
        if success {
            self.finished += 1;
        }
        if self.finished >= PROOF {
            self.limit = (self.limit + 1).min(self.capacity.slots);
        }
    }

    /// Requests running now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests allowed at once now.
    pub fn limit(&self) -> u32 {
        self.limit
    }
}
