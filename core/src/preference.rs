//! Which of several targets is preferred for a request.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{estimate::Estimate, name::ZoneName, time::Time};

/// Failures, decayed, from which on a target can be taken to be faulty.
const FAULTY_MIN_FAILURES: f64 = 2.5;
/// Share of failures from which on a target can be taken to be faulty.
const FAULTY_MIN_SHARE: f64 = 0.3;
/// How much worse than its service's other targets a faulty one has to be.
const FAULTY_MIN_RATIO: f64 = 2.0;
/// Load above the scaled mean, in requests, at which a chat leaves its home target. Together with
/// the factor it stays under the fleet's bound of twice the mean and three requests.
const SPILL_SLACK: f64 = 2.0;
/// Load relative to the mean at which a chat leaves its home target.
const SPILL_FACTOR: f64 = 1.8;
/// Load difference, in requests, at which a plain service's request crosses to another zone.
const CROSS_ZONE_PENALTY: f64 = 1.0;
/// Window in which requests to a cold target are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Smallest share of a cold target's rate, in requests a window.
const MIN_COLD_RATE: f64 = 0.01;

/// How willingly a target is chosen; lower is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    Healthy,
    Full,
    Faulty,
    Cold,
    BackedOff,
}

/// How willingly a target is chosen, if it may be; `others` is the mean share of failures of its
/// service's other targets, `cold_rate` what a cold target may get from this router, in requests a
/// second.
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
        // A share below one request a window stands for one in a longer window.
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

/// The first target in the order of the context's hashes whose load is within the bound.
/// Zones do not count, so that all routers agree and a context is read once.
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

/// The target with the least load; one in another zone has to have clearly less.
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
            let cost = entry.load(now) + if other_zone { CROSS_ZONE_PENALTY } else { 0.0 };
            let tie = xxh3_64_with_seed(&entry.hash.to_le_bytes(), seed);
            (cost, tie, entry)
        })
        .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
        .map(|(_, _, entry)| entry)
}
