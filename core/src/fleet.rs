//! A router's part in the limits that apply to the whole fleet.

use std::{num::NonZeroU32, time::Duration};

use crate::time::Time;

/// What a router knows of those with which it shares the limits of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetShare {
    /// Number of routers that may use the limits, this one included.
    pub routers: NonZeroU32,
    /// When this run of the router started.
    pub started_at: Time,
    /// Time from the start of this router's run before to that of this one; `None` if it has not run
    /// before.
    pub earlier_run: Option<Duration>,
}

impl FleetShare {
    /// The part of a router that has run for long among `routers` routers; zero counts as one.
    pub fn settled(routers: u32) -> Self {
        Self {
            routers: NonZeroU32::new(routers).unwrap_or(NonZeroU32::MIN),
            started_at: Time::ZERO,
            earlier_run: None,
        }
    }
}
