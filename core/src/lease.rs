//! Lease on the set of valid API keys: how long a router may rely on it without confirmation.

use std::time::Duration;

use crate::{code::Code, desired::DesiredState, doc::KeyHash, time::Time};

/// Percentage of the revocation bound that is kept in reserve, for requests on their way to a
/// target and for a store whose answer is up to one second out of date while it drops its history.
const MARGIN_PERCENT: u32 = 20;

/// When the desired state was last confirmed to be current. Times must come from a clock that keeps
/// running while the VM is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    valid_for: Duration,
    confirmed_at: Option<Time>,
}

impl Lease {
    /// Creates a lease without any confirmation. `bound` is the time after its revocation at which
    /// a key must be refused everywhere.
    pub fn new(bound: Duration) -> Self {
        Self {
            valid_for: bound * (100 - MARGIN_PERCENT) / 100,
            confirmed_at: None,
        }
    }

    /// Records that the known state was current at `time`. Earlier times than the last one have no
    /// effect.
    pub fn confirm(&mut self, time: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(time));
    }

    /// When the state was last confirmed to be current; `None` if it never was.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Whether requests may run with the known keys.
    pub fn is_valid(&self, now: Time) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed| now.since(confirmed) < self.valid_for)
    }

    /// Checks whether a request that was made with `key` may be sent to a target now.
    ///
    /// # Errors
    ///
    /// Returns the result code for the caller if the lease has expired or the key is not valid. The
    /// request does not run.
    pub fn authorize(&self, desired: &DesiredState, key: &KeyHash, now: Time) -> Result<(), Code> {
        if !self.is_valid(now) {
            return Err(Code::StaleState);
        }
        let known = desired.keys.as_ref();
        let known = known.is_some_and(|keys| keys.contains_key(key));
        known.then_some(()).ok_or(Code::Unauthenticated)
    }
}
