//! Ranks the targets of a service by health and chooses among those of equal rank.

use std::time::Duration;

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
/// Load difference, in requests, above which a request without context goes to another zone.
const CROSS_ZONE_PENALTY: f64 = 1.0;
/// Largest difference in load, in requests, between targets that count as equally loaded.
const MAX_TIE: f64 = 0.999;
/// Window of the rate limit of cold targets.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Lower limit of this router's share of a cold target's rate, in requests per `COLD_WINDOW`.
const MIN_COLD_RATE: f64 = 0.01;

/// Preference class of a target, from best to worst. Only targets of the best class present are
/// candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    Healthy,
    Full,
    Faulty,
    Cold,
    BackedOff,
}

/// Preference class of a target, or `None` if this router has used up its rate for the cold target.
/// `others_failure_share` is the mean failure share of the service's other targets, `cold_rate` the
/// rate at which this router may send to a cold target, in requests per second.
pub(crate) fn rank(
    entry: &Estimate,
    others_failure_share: f64,
    cold_rate: f64,
    now: Time,
) -> Option<Rank> {
    if now < entry.backoff_until {
        return Some(Rank::BackedOff);
    }
    if now < entry.cold_until {
        // A rate below one request per window allows one request in a longer window.
        let window = COLD_WINDOW.mul_f64(1.0 / cold_rate.clamp(MIN_COLD_RATE, 1.0));
        let recent = entry
            .cold_sent
            .iter()
            .filter(|sent| now.since(**sent) < window)
            .count();
        let recent = f64::from(u32::try_from(recent).unwrap_or(u32::MAX));
        return (recent + 1.0 <= cold_rate.max(1.0)).then_some(Rank::Cold);
    }
    let share = entry.failure_share();
    if entry.failures >= FAULTY_MIN_FAILURES
        && share > FAULTY_MIN_SHARE
        && share > others_failure_share * FAULTY_MIN_RATIO
    {
        return Some(Rank::Faulty);
    }
    if now < entry.full_until {
        return Some(Rank::Full);
    }
    Some(Rank::Healthy)
}

/// The first target in the order of the context's hashes whose load is within the bound, or else
/// the least loaded one. Zones are ignored, so that routers in all zones choose the same target and
/// only one target computes the context.
pub(crate) fn choose_for_context<'e>(
    entries: impl Iterator<Item = &'e Estimate> + Clone,
    context: u64,
    mean: f64,
    now: Time,
) -> Option<&'e Estimate> {
    let bound = mean * SPILL_FACTOR + SPILL_SLACK;
    let within_bound = entries
        .clone()
        .filter(|entry| entry.load(now) + 1.0 <= bound);
    within_bound
        .min_by_key(|entry| entry.context_rank(context))
        .or_else(|| {
            let loads = entries.map(|entry| (entry.load(now), entry));
            let least_loaded = loads.min_by(|a, b| a.0.total_cmp(&b.0));
            least_loaded.map(|(_, entry)| entry)
        })
}

/// The least loaded target, where `CROSS_ZONE_PENALTY` is added to the load of targets outside the
/// zone `own`. `random` decides between targets whose loads differ by less than one request, so that
/// routers with the same reports do not all choose the same one.
pub(crate) fn choose_least_loaded<'e>(
    entries: impl Iterator<Item = &'e Estimate>,
    own: &ZoneName,
    random: f64,
    now: Time,
) -> Option<&'e Estimate> {
    let seed = random.to_bits();
    entries
        .map(|entry| {
            let other_zone = entry.record.zone != *own;
            let penalty = if other_zone { CROSS_ZONE_PENALTY } else { 0.0 };
            let tie = xxh3_64_with_seed(&entry.hash.to_le_bytes(), seed) >> 32;
            let tie = f64::from(u32::try_from(tie).unwrap_or(u32::MAX)) / f64::from(u32::MAX);
            (entry.compared_load(now) + penalty + tie * MAX_TIE, entry)
        })
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, entry)| entry)
}
