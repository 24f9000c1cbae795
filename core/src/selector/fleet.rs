//! The other routers: those that are alive, and those that share the limits of the fleet.

use std::time::Duration;

use super::TargetSelector;
use crate::{fleet::FleetPart, inspect::ShareState, limit::Turns, time::Time, trace::TraceEvent};

/// Time for which routers that are no longer seen alive still count for the capacity of services, and
/// after its start in which a router may not have heard of all others yet. If most of a fleet has ended,
/// its part of the capacity is idle for as long.
const SILENT_RETENTION: Duration = Duration::from_secs(10);

/// The routers that are alive, as far as is known.
#[derive(Debug)]
pub(super) struct LiveRouters {
    /// Number of routers, this one included.
    pub(super) count: u32,
    /// Number of routers that precede this one.
    pub(super) rank: u32,
    /// Most routers that were alive before the number last fell.
    earlier: u32,
    /// When the number last fell.
    fell_at: Time,
}

impl Default for LiveRouters {
    fn default() -> Self {
        Self {
            count: 1,
            rank: 0,
            earlier: 1,
            fell_at: Time::ZERO,
        }
    }
}

impl LiveRouters {
    fn update(&mut self, count: u32, rank: u32, now: Time) {
        if count < self.count {
            self.earlier = self.recent(now);
            self.fell_at = now;
        }
        self.count = count;
        self.rank = rank;
    }

    /// Number of routers that are alive or have just fallen silent.
    fn recent(&self, now: Time) -> u32 {
        if now.since(self.fell_at) < SILENT_RETENTION {
            self.count.max(self.earlier)
        } else {
            self.count
        }
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
        self.moves.set_rank(rank);
        self.live.rank = rank;
        self.fleet.rank = Some(rank);
    }

    /// Sets the number of live routers, this one included, and of those that precede this one in
    /// reporting the state of version moves.
    pub fn set_live_routers(&mut self, count: u32, rank: u32, now: Time) {
        self.moves.set_rank(rank);
        self.live.update(count.max(1), rank, now);
    }

    /// Number of routers with which the capacity of services is shared; `None` while the router uses no
    /// part of the fleet's limits.
    pub(super) fn capacity_sharers(&self, now: Time) -> Option<u32> {
        let share = self.fleet.share?;
        let is_young = now.since(share.started_at) < SILENT_RETENTION;
        let unheard = if is_young { share.routers.get() } else { 1 };
        Some(self.live.recent(now).max(unheard))
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
        if before.is_like(&part) {
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
