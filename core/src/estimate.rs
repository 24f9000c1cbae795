//! What a router believes of one target: its entry, load, health and warmth.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    id::Fingerprint,
    name::{TeamName, ZoneName},
    target::{Stage, TargetLoad, TargetRecord},
    time::Time,
};

/// Bounds of the time for which an unreachable target is left alone; it doubles with each failure
/// in a row.
const AVOID: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(4)];
/// Time in which counts of a target's failures and successes fall to half.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Time over which lost requests of one target are put down to one cause.
const LOSS_WINDOW: Duration = Duration::from_secs(2);
/// Decayed count below which a target has no history.
const NO_COUNT: f64 = 0.01;
/// Time for which a load that a target named counts.
pub(crate) const LOAD_LIFE: Duration = Duration::from_millis(700);

/// The belief about one target.
#[derive(Debug, Clone)]
pub(crate) struct Estimate {
    pub(crate) record: TargetRecord,
    pub(crate) hash: u64,
    pub(crate) known_since: Time,
    pub(crate) cold_until: Time,
    /// When the entry lapses; entries that lapsed around an outage of the store get some time.
    pub(crate) lapses: Option<Time>,
    pub(crate) outstanding: u32,
    /// Requests that other routers have open.
    pub(crate) elsewhere: u32,
    pub(crate) named: Option<(TargetLoad, Time)>,
    pub(crate) since_named: i64,
    pub(crate) good: f64,
    pub(crate) bad: f64,
    pub(crate) decayed: Time,
    pub(crate) avoid_until: Time,
    pub(crate) avoided: u32,
    pub(crate) full_until: Time,
    pub(crate) cold_sent: VecDeque<Time>,
    pub(crate) broken: Vec<(Fingerprint, TeamName, Time)>,
    /// When a request was lost last.
    lost: Option<Time>,
}

impl Estimate {
    pub(crate) fn new(record: TargetRecord, now: Time) -> Self {
        Self {
            hash: xxh3_64(record.name.as_str().as_bytes()),
            known_since: now,
            cold_until: now + record.cold,
            record,
            lapses: None,
            outstanding: 0,
            elsewhere: 0,
            named: None,
            since_named: 0,
            good: 0.0,
            bad: 0.0,
            decayed: now,
            avoid_until: Time::ZERO,
            avoided: 0,
            full_until: Time::ZERO,
            cold_sent: VecDeque::new(),
            broken: Vec::new(),
            lost: None,
        }
    }

    pub(crate) fn load(&self, now: Time) -> f64 {
        let own = f64::from(self.outstanding + self.elsewhere);
        match self.named {
            Some((load, at)) if now.since(at) < LOAD_LIFE => {
                let named = i64::from(load.running) + i64::from(load.waiting) + self.since_named;
                // A sum of small counts.
                #[expect(clippy::cast_precision_loss, reason = "loads are far below 2^52")]
                let named = named as f64;
                own.max(named)
            }
            _ => own,
        }
    }

    pub(crate) fn decay(&mut self, now: Time) {
        if self.good + self.bad < NO_COUNT {
            (self.good, self.bad, self.decayed) = (0.0, 0.0, now);
            return;
        }
        let lives = now.since(self.decayed).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(lives);
        self.good *= factor;
        self.bad *= factor;
        self.decayed = now;
    }

    pub(crate) fn count(&mut self, bad: bool, now: Time) {
        self.decay(now);
        if bad {
            self.bad += 1.0;
        } else {
            self.good += 1.0;
        }
    }

    /// Records that a request was lost, and whether it was the first one for a while.
    pub(crate) fn is_first_loss(&mut self, now: Time) -> bool {
        let last = self.lost.replace(now);
        last.is_none_or(|last| now.since(last) >= LOSS_WINDOW)
    }

    pub(crate) fn failure_share(&self) -> f64 {
        self.bad / (self.good + self.bad).max(1.0)
    }

    pub(crate) fn is_usable(&self, evacuated: &HashSet<ZoneName>, now: Time) -> bool {
        self.record.stage == Stage::Ready
            && self.lapses.is_none_or(|lapses| now < lapses)
            && !evacuated.contains(&self.record.zone)
    }

    /// Position in the order in which targets are preferred for a context.
    pub(crate) fn rank_for(&self, context: u64) -> u64 {
        xxh3_64_with_seed(&self.hash.to_le_bytes(), context)
    }

    pub(crate) fn avoid(&mut self, now: Time) {
        let pause = (AVOID[0] * (1 << self.avoided.min(8))).min(AVOID[1]);
        self.avoided += 1;
        self.avoid_until = now + pause;
    }
}
