//! Capacity of the services, computed from the estimates of their targets.

use std::collections::HashMap;

use super::TargetSelector;
use crate::{
    dispatch::room::{ServiceRoom, TargetLoad},
    estimate::{Estimate, LOAD_TTL},
    name::ServiceName,
    time::Time,
};

/// Share of failures from which on a target does not count, since its requests end late or fail.
const MAX_FAILURE_SHARE: f64 = 0.5;

/// Divisor of the number of routers: with fewer alive than that, as far as is known, the others count as
/// cut off rather than ended. Their demand is estimated from the reports that still arrive.
const MIN_VISIBLE_DIVISOR: u32 = 3;

impl TargetSelector {
    /// Sets the open and waiting requests of this router by service, for its next report.
    pub fn set_demand(&mut self, demand: Vec<(ServiceName, u32)>) {
        self.demand = demand;
    }

    /// Capacity of each service whose usable targets all state slots. A service that is not listed
    /// is not limited. The list is empty until the first full list of targets has arrived.
    pub fn rooms(&mut self, now: Time) -> Vec<ServiceRoom> {
        if !self.initial_list_received {
            return Vec::new();
        }
        self.reports.expire(&mut self.targets, now);
        let known = self.capacity_sharers(now);
        let routers = known.unwrap_or(1);
        let is_cut_off = self.live.count * MIN_VISIBLE_DIVISOR < routers;
        let reporting = if is_cut_off { routers } else { self.live.count };
        let evacuated = &self.evacuated;
        let mut rooms = HashMap::new();
        self.targets.for_each(|entry| {
            entry.decay(now);
            if !entry.is_usable(evacuated, now)
                || now < entry.backoff_until
                || entry.failure_share() > MAX_FAILURE_SHARE
            {
                return;
            }
            let sums = rooms
                .entry(entry.record.service.clone())
                .or_insert((0_u32, 0_u32, true));
            let load = target_load(entry, routers, now);
            sums.0 = sums.0.saturating_add(load.capacity());
            let elsewhere = load.load().saturating_sub(entry.outstanding);
            sums.1 = sums.1.saturating_add(elsewhere);
            sums.2 &= load.slots > 0;
        });
        let rooms = rooms.into_iter().filter(|(_, (.., has_slots))| *has_slots);
        let rooms = rooms.map(|(service, (capacity, elsewhere, _))| ServiceRoom {
            capacity,
            elsewhere,
            demand_elsewhere: self.reports.demand(&service, reporting),
            routers: known,
            is_cut_off,
            rank: self.live.rank,
            at: now,
            service,
        });
        rooms.collect()
    }
}

fn target_load(entry: &Estimate, routers: u32, now: Time) -> TargetLoad {
    let reported = entry.reported_load;
    TargetLoad {
        slots: entry.record.slots,
        open: entry
            .outstanding
            .saturating_add(entry.outstanding_elsewhere),
        reported: reported
            .filter(|(_, at)| now.since(*at) < LOAD_TTL)
            .map(|(load, _)| load),
        reports: reported.is_some(),
        routers,
        refused: now < entry.full_until,
        cold: now < entry.cold_until,
    }
}
