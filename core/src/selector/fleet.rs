//! The other routers: those that are alive, and those that share the limits of the fleet.

use std::time::Duration;

use super::TargetSelector;
use crate::{fleet::FleetPart, inspect::ShareState, limit::Turns, time::Time, trace::TraceEvent};

/// The routers that are alive, as far as is known.
#[derive(Debug)]
pub(super) struct LiveRouters {
    /// Number of routers, this one included.
    pub(super) count: u32,
    /// Number of routers that precede this one.
    pub(super) rank: u32,
}

impl Default for LiveRouters {
    fn default() -> Self {
        Self { count: 1, rank: 0 }
    }
}

impl TargetSelector {
    /// Sets the number of routers, this one included, that are alive and share the limits of the fleet,
    /// for a router without membership.
    pub fn set_routers(&mut self, routers: u32) {
        self.live.count = routers.max(1);
        self.fleet.share = FleetPart::fixed(routers).share;
    }

    /// Sets the number of routers that precede this one, for a router without membership.
    pub fn set_rank(&mut self, rank: u32) {
        self.set_live_routers(self.live.count, rank);
        self.fleet.rank = Some(rank);
    }

    /// Sets the number of live routers, this one included, and of those that precede this one in
    /// reporting the state of version moves.
    pub fn set_live_routers(&mut self, count: u32, rank: u32) {
        self.moves.set_rank(rank);
        self.live = LiveRouters {
            count: count.max(1),
            rank,
        };
    }

    /// Lets a router that starts use no part of the fleet's limits until [`Self::set_fleet`].
    pub fn await_fleet(&mut self, now: Time) {
        self.fleet = FleetPart::default();
        self.fleet_since = now;
    }

    /// Sets the router's part in the retry budgets, the rates of cold targets and the limits that
    /// targets state, and traces a change. While the part is not known, the router retries only what
    /// its own first attempts allow, and sends nothing to targets that are cold or limited.
    pub fn set_fleet(&mut self, part: FleetPart, now: Time) {
        let before = std::mem::replace(&mut self.fleet, part);
        if before == part {
            return;
        }
        let held = now.since(std::mem::replace(&mut self.fleet_since, now));
        self.trace
            .push(TraceEvent::FleetShare { part, before, held });
    }

    /// Sets the time of day at the epoch of the router's own times.
    pub fn set_unix_offset(&mut self, unix_offset: Duration) {
        self.unix_offset = unix_offset;
    }

    /// The router's turns at targets that are cold or limited; `None` if it has none.
    pub(super) fn fleet_turns(&self) -> Option<Turns> {
        Some(Turns {
            routers: self.fleet.routers()?,
            rank: self.fleet.rank,
            unix_offset: self.unix_offset,
        })
    }

    pub(super) fn share_state(&self, now: Time) -> ShareState {
        ShareState {
            routers: self.fleet.routers(),
            rank: self.fleet.rank,
            basis: self.fleet.basis,
            age_ms: now.since(self.fleet_since).as_millis(),
        }
    }
}
