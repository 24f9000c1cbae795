//! The router's part in the limits that all routers share.

use std::time::Duration;

use super::TargetSelector;
use crate::{fleet::FleetPart, inspect::ShareState, time::Time, trace::TraceEvent};

impl TargetSelector {
    /// Sets the number of routers, this one included, that share the retry budgets and the rates of
    /// cold targets.
    pub fn set_routers(&mut self, routers: u32) {
        self.turns.routers = routers.max(1);
    }

    /// Sends nothing to cold targets until the router's rank is known. A router that starts knows no
    /// other one for a moment and would use the whole rate of a cold target.
    pub fn await_rank(&mut self) {
        self.cold_turns.await_rank();
    }

    /// Sets the number of routers that precede this one in reporting the state of version moves, and
    /// in taking turns at targets that state a limit.
    pub fn set_rank(&mut self, rank: u32) {
        self.moves.set_rank(rank);
        self.turns.rank = Some(rank);
    }

    /// Sets the time of day at the epoch of the router's own times.
    pub fn set_unix_offset(&mut self, unix_offset: Duration) {
        self.turns.unix_offset = unix_offset;
    }

    /// Records what the router's part in the limits of the fleet was decided on, and traces a change.
    pub fn set_fleet(&mut self, part: FleetPart, now: Time) {
        let before = std::mem::replace(&mut self.fleet, part);
        if before == part {
            return;
        }
        let held = now.since(std::mem::replace(&mut self.fleet_since, now));
        self.trace
            .push(TraceEvent::FleetShare { part, before, held });
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
