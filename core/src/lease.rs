//! How long the knowledge of valid keys may be acted on without a new confirmation.

use std::time::Duration;

use crate::{code::Code, desired::DesiredState, doc::KeyHash, time::Time};

/// Part of the revocation bound that is left, in percent: for what is on its way to a target, and
/// for a store that answers from a state a second old while it drops its history.
const MARGIN_PERCENT: u32 = 20;

/// Confirmed knowledge of the desired state; times must come from a clock that also counts while
/// the VM is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    span: Duration,
    confirmed: Option<Time>,
}

impl Lease {
    /// No knowledge yet; a revoked key must be refused `bound` after its revocation.
    pub fn new(bound: Duration) -> Self {
        Self {
            span: bound * (100 - MARGIN_PERCENT) / 100,
            confirmed: None,
        }
    }

    /// Records that nothing newer existed at `time`.
    pub fn confirm(&mut self, time: Time) {
        self.confirmed = self.confirmed.max(Some(time));
    }

    /// When the knowledge was last confirmed.
    pub fn confirmed(&self) -> Option<Time> {
        self.confirmed
    }

    /// Whether requests may run on the known keys.
    pub fn holds(&self, now: Time) -> bool {
        self.confirmed
            .is_some_and(|confirmed| now.since(confirmed) < self.span)
    }

    /// Whether a request that came with `key` may be handed to a target now.
    ///
    /// # Errors
    ///
    /// Fails with the code that the caller gets, which says that it does not run.
    pub fn permit(&self, desired: &DesiredState, key: &KeyHash, now: Time) -> Result<(), Code> {
        if !self.holds(now) {
            return Err(Code::StaleState);
        }
        let known = desired.keys.as_ref();
        let known = known.is_some_and(|keys| keys.contains_key(key));
        known.then_some(()).ok_or(Code::Unauthenticated)
    }
}
