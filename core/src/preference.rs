//! Ranks the targets of a service by health and chooses among those of equal rank.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{estimate::Estimate, name::ZoneName, time::Time};

/// Decayed number of failures that a target needs to count as faulty.
const FAULTY_MIN_FAILURES: f64 = 2.5;
/// Share of failures above which a target may count as faulty.
const FAULTY_MIN_SHARE: f64 = 0.3;
/// Minimum ratio of a faulty target's failure share to the mean share of the service's other
/// targets.
const FAULTY_MIN_RATIO: f64 = 2.0;
/// Requests above the scaled mean load at which a chat leaves its home target. Together with
/// `SPILL_FACTOR` this stays below the fleet's load bound of twice the mean plus three requests.
const SPILL_SLACK: f64 = 2.0;
/// Multiple of the mean load at which, with `SPILL_SLACK` added, a chat leaves its home target.
const SPILL_FACTOR: f64 = 1.8;
/// Multiple of the mean load, with `SPILL_SLACK` added, up to which a target attracts requests by its
/// speed. Near `SPILL_FACTOR`, routers that learn late of each other's requests exceed the fleet's
/// bound together.
const ATTRACTION_FACTOR: f64 = 1.4;
/// Lowest slowness that is used, where 1 is the usual speed. Routers learn late of each other's
/// requests, and all together overload a target that seems many times faster than its peers.
const MIN_SLOWNESS: f64 = 0.67;
/// Load difference, in requests, above which a request without context goes to another zone.
const CROSS_ZONE_PENALTY: f64 = 1.0;
/// Largest difference in load, in requests, between targets that count as equally loaded.
const MAX_TIE: f64 = 0.999;
/// Ratio of expected times at which another target is clearly better than a chat's home. Stated
/// slowness changes many times a second, and a chat must not move with each change.
const CLEARLY_BETTER: f64 = 1.5;
/// Cost of reading a context again where it is missing, in requests at usual speed.
const REREAD_COST: f64 = 2.0;
/// Load up to which a target under pace is not limited, in requests, so that a few requests never
/// leave their home. A target in its cold start has no such load, except for the first request of a
/// context.
const MIN_PACE_LOAD: f64 = 3.0;
/// The same for a target in its cold start, for requests with a context.
const MIN_COLD_LOAD: f64 = 1.0;

/// Preference class of a target, from best to worst. Only targets of the best class present are
/// candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    Healthy,
    Full,
    Faulty,
    BackedOff,
}

/// Preference class of a target. `others_failure_share` is the mean failure share of the service's
/// other targets.
pub(crate) fn rank(entry: &Estimate, others_failure_share: f64, now: Time) -> Rank {
    if now < entry.backoff_until {
        return Rank::BackedOff;
    }
    let share = entry.failure_share();
    if entry.failures >= FAULTY_MIN_FAILURES
        && share > FAULTY_MIN_SHARE
        && share > others_failure_share * FAULTY_MIN_RATIO
    {
        return Rank::Faulty;
    }
    if now < entry.full_until {
        return Rank::Full;
    }
    Rank::Healthy
}

/// The choice among targets of equal rank.
#[derive(Debug)]
pub(crate) struct Placement<'p> {
    /// Mean load of the service's targets.
    pub(crate) mean: f64,
    /// Mean load of those that are not under pace; `None` without any.
    pub(crate) warm_mean: Option<f64>,
    /// Mean number of slots of the service's targets.
    pub(crate) mean_slots: f64,
    /// Zone of this router.
    pub(crate) zone: &'p ZoneName,
    pub(crate) now: Time,
}

impl Placement<'_> {
    /// The first target in the order of the context's hashes whose load is within the bound and its
    /// pace, unless a later one is clearly faster. Zones are ignored, so that routers in all zones
    /// choose the same target and only one target computes the context. `holds` tells whether a
    /// target is likely to hold the context.
    pub(crate) fn choose_for_context<'e>(
        &self,
        entries: impl Iterator<Item = &'e Estimate> + Clone,
        context: u64,
        holds: impl Fn(&Estimate) -> bool,
    ) -> Option<&'e Estimate> {
        let within_bound = entries.clone().filter(|entry| self.is_within_bound(entry));
        let within_pace = within_bound
            .clone()
            .filter(|entry| self.is_within_pace(entry));
        let rank = |entry: &&Estimate| entry.context_rank(context);
        if let Some(home) = within_pace.clone().min_by_key(rank) {
            let cost = |entry: &Estimate| {
                let reread = if holds(entry) { 0.0 } else { REREAD_COST };
                self.expected_time(entry, reread)
            };
            let home_slowness = self.slowness(home);
            let home_cost = cost(home);
            let better = within_pace.filter(|entry| {
                self.may_attract(entry)
                    && self.slowness(entry).max(1.0) * CLEARLY_BETTER <= home_slowness
                    && cost(entry) * CLEARLY_BETTER <= home_cost
            });
            return better.min_by_key(rank).or(Some(home));
        }
        // The others' load counts more than the pace of a target.
        self.least_loaded(within_bound)
            .or_else(|| self.least_loaded(entries))
    }

    /// The target that is expected to serve a request first, where `CROSS_ZONE_PENALTY` is added for
    /// targets outside the router's zone. `random` decides between targets whose costs differ by less
    /// than one request, so that routers with the same reports do not all choose the same one.
    pub(crate) fn choose_least_loaded<'e>(
        &self,
        entries: impl Iterator<Item = &'e Estimate> + Clone,
        random: f64,
    ) -> Option<&'e Estimate> {
        let is_plain = entries
            .clone()
            .all(|entry| !entry.pace.is_active() && is_usual(self.slowness(entry)));
        if is_plain {
            return self.least_costly(entries, random);
        }
        let attracting = entries.clone().filter(|entry| self.may_attract(entry));
        let within_bound = entries.clone().filter(|entry| self.is_within_bound(entry));
        self.least_costly(attracting, random)
            .or_else(|| self.least_costly(within_bound, random))
            .or_else(|| self.least_loaded(entries))
    }

    fn least_costly<'e>(
        &self,
        entries: impl Iterator<Item = &'e Estimate>,
        random: f64,
    ) -> Option<&'e Estimate> {
        let seed = random.to_bits();
        entries
            .map(|entry| {
                let other_zone = entry.record.zone != *self.zone;
                let penalty = if other_zone { CROSS_ZONE_PENALTY } else { 0.0 };
                let load = entry.compared_load(self.now) + 1.0;
                let cost = load * self.slowness(entry) / self.share(entry);
                let tie = xxh3_64_with_seed(&entry.hash.to_le_bytes(), seed) >> 32;
                let tie = f64::from(u32::try_from(tie).unwrap_or(u32::MAX)) / f64::from(u32::MAX);
                (cost + penalty + tie * MAX_TIE, entry)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, entry)| entry)
    }

    fn least_loaded<'e>(
        &self,
        entries: impl Iterator<Item = &'e Estimate>,
    ) -> Option<&'e Estimate> {
        let loads = entries.map(|entry| (entry.load(self.now), entry));
        let least_loaded = loads.min_by(|a, b| a.0.total_cmp(&b.0));
        least_loaded.map(|(_, entry)| entry)
    }

    /// Whether the target stays within the fleet's load bound with one more request.
    fn is_within_bound(&self, entry: &Estimate) -> bool {
        entry.load(self.now) + 1.0 <= self.mean * SPILL_FACTOR + SPILL_SLACK
    }

    /// Whether the target may get requests because it is faster than others.
    fn may_attract(&self, entry: &Estimate) -> bool {
        entry.load(self.now) + 1.0 <= self.mean * ATTRACTION_FACTOR + SPILL_SLACK
    }

    /// Whether a target under pace stays within its share of its peers' load with one more request.
    fn is_within_pace(&self, entry: &Estimate) -> bool {
        let Some(warm_mean) = self.warm_mean.filter(|_| entry.pace.is_active()) else {
            return true;
        };
        let limit = entry.pace.share() * (warm_mean + SPILL_SLACK);
        let least = if entry.is_cold(self.now) {
            MIN_COLD_LOAD
        } else {
            MIN_PACE_LOAD
        };
        entry.load(self.now) + 1.0 <= limit.max(least)
    }

    /// Weight of the target against its peers, from 0 to 1.
    fn share(&self, entry: &Estimate) -> f64 {
        if !entry.is_cold(self.now) && entry.load(self.now) < MIN_PACE_LOAD {
            return 1.0;
        }
        entry.pace.share()
    }

    /// Time that a request takes at the target besides the `others` that it has, in requests at a
    /// target of usual speed.
    fn expected_time(&self, entry: &Estimate, reread: f64) -> f64 {
        (entry.load(self.now) + 1.0 + reread) * self.slowness(entry)
    }

    /// Time that the target needs for work beside its present load, as a multiple of the usual. Slots
    /// matter only where the speed is not as usual; else the choice goes by requests alone.
    fn slowness(&self, entry: &Estimate) -> f64 {
        let slowness = entry.speed.slowness(self.now).max(MIN_SLOWNESS);
        if is_usual(slowness) {
            1.0
        } else {
            slowness * self.mean_slots / f64::from(entry.slots())
        }
    }
}

/// Whether a target works at the usual speed, as far as is known.
fn is_usual(slowness: f64) -> bool {
    (slowness - 1.0).abs() < f64::EPSILON
}
