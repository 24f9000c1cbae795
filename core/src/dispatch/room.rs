//! Capacity of a service, and the part of it that one router may use.
//!
//! Handles load that rises above what the targets can run: requests beyond that stay at the routers,
//! where they can be ordered and refused.

use std::time::Duration;

use crate::{name::ServiceName, target::ReportedLoad, time::Time};

/// Divisor of the slots of a target that reports its load: the requests that may wait there, so that
/// a freed slot is used before the next request arrives.
const REPORTED_CUSHION_DIVISOR: u32 = 16;
/// Divisor of the slots of a target that does not report its load: the most requests that may wait
/// there. More may wait the more routers there are: they know the load only from each other's
/// reports, which are up to 300 ms old, and the spread of their choices grows with the root of their
/// number.
const UNREPORTED_CUSHION_DIVISOR: u32 = 2;
/// Divisor of the slots that count as running at least when a target reports many waiting requests,
/// so that a false report does not stop all traffic to it.
const MIN_RUNNING_DIVISOR: u32 = 8;
/// Reported requests per slot above which a report is ignored; targets queue three times their
/// slots.
const MAX_REPORTED_PER_SLOT: u64 = 8;
/// Demand, as a multiple of the capacity, up to which a router may go beyond its share. Close to the
/// capacity, some routers do not use their share while requests wait at others.
const NEAR_CAPACITY: f64 = 1.25;
/// Routers among which the capacity is divided while their number is not known, as in a large fleet
/// that starts at once.
const ASSUMED_ROUTERS: u32 = 128;
/// Standard deviations of a random demand by which a router that is cut off from all others may exceed
/// its share. The standard deviation is the root of the mean.
const BURST_DEVIATIONS: f64 = 2.0;
/// Time after which routers with equal shares change places in the rounding of their shares.
const ROUNDING_INTERVAL: Duration = Duration::from_millis(300);
/// Multiples of these numbers modulo 1 are spread evenly over 0 to 1.
const RANK_STEP: f64 = 0.618_033_988_75;
const TURN_STEP: f64 = 0.754_877_666_25;

/// Load of one target, as known to one router.
#[derive(Debug, Clone, Copy)]
pub struct TargetLoad {
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Requests that this router and others are known to have open there.
    pub open: u32,
    /// Last load that the target reported, unless it is too old.
    pub reported: Option<ReportedLoad>,
    /// Whether the target reports its load with its answers.
    pub reports: bool,
    /// Number of live routers.
    pub routers: u32,
    /// Whether the target has just refused a request.
    pub refused: bool,
    /// Whether the target is cold and gets a limited rate of requests.
    pub cold: bool,
}

impl TargetLoad {
    /// Requests that may wait at the target, so that it does not idle between two requests.
    fn cushion(&self) -> u32 {
        if self.reports {
            return (self.slots / REPORTED_CUSHION_DIVISOR).max(1);
        }
        let spread = (f64::from(self.routers).sqrt() / 2.0).ceil();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the root of a u32 is small and not negative"
        )]
        let spread = spread as u32;
        spread.clamp(1, (self.slots / UNREPORTED_CUSHION_DIVISOR).max(1))
    }

    /// The last report, unless it states more requests than a target can hold.
    fn credible_report(&self) -> Option<ReportedLoad> {
        let limit = u64::from(self.slots) * MAX_REPORTED_PER_SLOT;
        self.reported
            .filter(|load| u64::from(load.running) + u64::from(load.waiting) <= limit)
    }

    /// Number of requests that should be at the target at most.
    ///
    /// A target that reports many waiting requests runs as many as it can, even if that is below its
    /// slots because its memory is used up.
    pub fn capacity(&self) -> u32 {
        let cushion = self.cushion();
        let floor = (self.slots / MIN_RUNNING_DIVISOR).max(1);
        let running = match self.credible_report() {
            Some(load) if load.waiting > cushion => load.running.clamp(floor, self.slots),
            _ if self.cold => floor,
            _ => self.slots,
        };
        let capacity = running.saturating_add(cushion);
        if self.refused {
            capacity.min(self.open.max(1))
        } else {
            capacity
        }
    }

    /// Estimated number of requests at the target.
    pub fn load(&self) -> u32 {
        let reported = self.credible_report();
        let reported = reported.map_or(0, |load| load.running.saturating_add(load.waiting));
        self.open.max(reported)
    }
}

/// Capacity of one service, as known to one router.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRoom {
    /// The service.
    pub service: ServiceName,
    /// Number of requests that should be at the service's usable targets at most.
    pub capacity: u32,
    /// Requests of other routers at these targets.
    pub elsewhere: u32,
    /// Open and waiting requests of the other routers; `None` if no router reports any.
    pub demand_elsewhere: Option<u32>,
    /// Number of routers that share the capacity, this one included; `None` while it is not known.
    pub routers: Option<u32>,
    /// Whether most of them are out of sight, although they may go on sending.
    pub is_cut_off: bool,
    /// Number of routers that precede this one.
    pub rank: u32,
    /// When the figures were computed.
    pub at: Time,
}

impl ServiceRoom {
    /// Number of requests that this router may have open, given the recent mean of those that it has
    /// open and waiting.
    ///
    /// The share is by demand, so that routers with more callers get more. Half of the free capacity
    /// comes on top, for a burst that is not part of the mean yet. While the number of routers is not
    /// known, reports come from only some of them, and a share by demand would be too large.
    pub fn limit(&self, own_demand: f64, now: Time) -> u32 {
        let Some(routers) = self.routers else {
            return (self.capacity / ASSUMED_ROUTERS).max(1);
        };
        let capacity = f64::from(self.capacity);
        let share = match self.demand_elsewhere {
            Some(elsewhere) => {
                let all = own_demand + f64::from(elsewhere);
                capacity * own_demand / all.max(1.0)
            }
            None => capacity / f64::from(routers.max(1)),
        };
        let wanted_elsewhere = self.demand_elsewhere.unwrap_or(0).max(self.elsewhere);
        let most = if routers > 1 {
            capacity * NEAR_CAPACITY
        } else {
            capacity
        };
        let free = (most - f64::from(wanted_elsewhere) - share).max(0.0);
        let for_burst = if self.is_cut_off && self.demand_elsewhere.is_none() {
            // All routers would use the free capacity, since they do not know of each other's requests.
            BURST_DEVIATIONS * share.sqrt()
        } else {
            free / 2.0
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the sum is between 0 and twice a u32, and the cast saturates"
        )]
        let limit = (share + self.rounding(now).max(for_burst)).floor() as u32;
        limit.max(1)
    }

    /// Fraction of a request that is added before the share is rounded down. It differs between
    /// routers, so that the rounded shares of all add up to the capacity: rounding all down would
    /// leave slots idle, rounding all up would send up to one request per router too much.
    fn rounding(&self, now: Time) -> f64 {
        let turn = now.since(Time::ZERO).as_millis() / ROUNDING_INTERVAL.as_millis();
        let turn = f64::from(u32::try_from(turn % 1_000_000).unwrap_or_default());
        (f64::from(self.rank) * RANK_STEP + turn * TURN_STEP).fract()
    }
}
