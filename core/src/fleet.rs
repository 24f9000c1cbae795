//! A router's part in the limits that apply to the whole fleet.

use std::{num::NonZeroU32, time::Duration};

use derive_more::Display;
use serde::Serialize;

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

/// What a router's part in the limits of the fleet was decided on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ShareBasis {
    /// Nothing yet: the router waits until it knows the others.
    #[default]
    Waiting,
    /// The routers that the membership table has.
    Membership,
    /// A number that was set, for a router without membership.
    Fixed,
}

/// A router's part in the limits of the fleet, and its place among those with which it shares them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetPart {
    /// The part; `None` while it is not known.
    pub share: Option<FleetShare>,
    /// Number of routers that precede this one in taking turns.
    pub rank: u32,
    /// What the part was decided on.
    pub basis: ShareBasis,
}

impl FleetPart {
    /// Number of routers that share the limits; `None` while it is not known.
    pub fn routers(&self) -> Option<u32> {
        self.share.map(|share| share.routers.get())
    }
}
