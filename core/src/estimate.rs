//! What a router believes of one target: its entry, load, health and warmth.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    id::Fingerprint,
    name::{TeamName, ZoneName},
    target::{ReportedLoad, Stage, TargetRecord},
    time::Time,
};

/// Bounds of the time for which an unreachable target is left alone; it doubles with each failure
/// in a row.
const BACKOFF_RANGE: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(4)];
/// Time in which counts of a target's failures and successes fall to half.
const RESULT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time over which lost requests of one target are put down to one cause.
const LOSS_WINDOW: Duration = Duration::from_secs(2);
/// Decayed count below which a target has no history.
const MIN_RESULT_COUNT: f64 = 0.01;
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
    pub(crate) expires_at: Option<Time>,
    pub(crate) outstanding: u32,
    /// Requests that other routers have open.
    pub(crate) outstanding_elsewhere: u32,
    pub(crate) reported_load: Option<(ReportedLoad, Time)>,
    pub(crate) change_since_report: i64,
    pub(crate) successes: f64,
    pub(crate) failures: f64,
    pub(crate) decayed_at: Time,
    pub(crate) backoff_until: Time,
    pub(crate) consecutive_backoffs: u32,
    pub(crate) full_until: Time,
    pub(crate) cold_sent: VecDeque<Time>,
    pub(crate) broken_requests: Vec<(Fingerprint, TeamName, Time)>,
    /// When a request was lost last.
    last_loss: Option<Time>,
}

impl Estimate {
    pub(crate) fn new(record: TargetRecord, now: Time) -> Self {
        Self {
            hash: xxh3_64(record.name.as_str().as_bytes()),
            known_since: now,
            cold_until: now + record.cold,
            record,
            expires_at: None,
            outstanding: 0,
            outstanding_elsewhere: 0,
            reported_load: None,
            change_since_report: 0,
            successes: 0.0,
            failures: 0.0,
            decayed_at: now,
            backoff_until: Time::ZERO,
            consecutive_backoffs: 0,
            full_until: Time::ZERO,
            cold_sent: VecDeque::new(),
            broken_requests: Vec::new(),
            last_loss: None,
        }
    }

    pub(crate) fn load(&self, now: Time) -> f64 {
        let own = f64::from(self.outstanding + self.outstanding_elsewhere);
        match self.reported_load {
            Some((load, at)) if now.since(at) < LOAD_LIFE => {
                let estimated =
                    i64::from(load.running) + i64::from(load.waiting) + self.change_since_report;
                // A sum of small counts.
                #[expect(clippy::cast_precision_loss, reason = "loads are far below 2^52")]
                let estimated = estimated as f64;
                own.max(estimated)
            }
            _ => own,
        }
    }

    pub(crate) fn decay(&mut self, now: Time) {
        if self.successes + self.failures < MIN_RESULT_COUNT {
            (self.successes, self.failures, self.decayed_at) = (0.0, 0.0, now);
            return;
        }
        let half_lives = now.since(self.decayed_at).as_secs_f64() / RESULT_HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        self.successes *= factor;
        self.failures *= factor;
        self.decayed_at = now;
    }

    pub(crate) fn count_result(&mut self, failed: bool, now: Time) {
        self.decay(now);
        if failed {
            self.failures += 1.0;
        } else {
            self.successes += 1.0;
        }
    }

    /// Records that a request was lost, and whether it was the first one for a while.
    pub(crate) fn is_first_loss(&mut self, now: Time) -> bool {
        let last = self.last_loss.replace(now);
        last.is_none_or(|last| now.since(last) >= LOSS_WINDOW)
    }

    pub(crate) fn failure_share(&self) -> f64 {
        self.failures / (self.successes + self.failures).max(1.0)
    }

    pub(crate) fn is_usable(&self, evacuated: &HashSet<ZoneName>, now: Time) -> bool {
        self.record.stage == Stage::Ready
            && self.expires_at.is_none_or(|expires_at| now < expires_at)
            && !evacuated.contains(&self.record.zone)
    }

    /// Position in the order in which targets are preferred for a context.
    pub(crate) fn context_rank(&self, context: u64) -> u64 {
        xxh3_64_with_seed(&self.hash.to_le_bytes(), context)
    }

    pub(crate) fn start_backoff(&mut self, now: Time) {
        let backoff =
            (BACKOFF_RANGE[0] * (1 << self.consecutive_backoffs.min(8))).min(BACKOFF_RANGE[1]);
        self.consecutive_backoffs += 1;
        self.backoff_until = now + backoff;
    }
}
