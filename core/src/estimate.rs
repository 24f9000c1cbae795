//! Estimated load, health and readiness of one target, as seen by one router.

use std::{collections::HashSet, sync::Arc, time::Duration};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    id::{Fingerprint, PartId},
    limit::TargetLimit,
    name::{TeamName, ZoneName},
    notice::TargetNotices,
    pace::{Pace, PaceCause},
    speed::Speed,
    target::{ReportedLoad, Stage, TargetRecord},
    time::Time,
};

/// Minimum and maximum backoff for an unreachable target; it doubles with each consecutive failure.
const BACKOFF_RANGE: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(4)];
/// Half-life of the counts of a target's failures and successes.
const RESULT_HALF_LIFE: Duration = Duration::from_secs(2);
/// A request that is lost within this time after another one at the same target is attributed to
/// the same cause.
const LOSS_WINDOW: Duration = Duration::from_secs(2);
/// Decayed number of results below which the counts are reset to zero.
const MIN_RESULT_COUNT: f64 = 0.01;
/// Time for which a load reported by a target is used.
pub(crate) const LOAD_TTL: Duration = Duration::from_millis(700);

/// Age that is assumed of what routers know of each other's open requests: the interval of reports.
/// Most are younger, but with an age of 170 ms, reports that came 300 to 900 ms late drew all routers
/// to the same target.
const REPORT_AGE: Duration = Duration::from_millis(300);
/// Weight of the newest request in the mean time for which requests are open.
const HELD_WEIGHT: f64 = 0.05;

/// Estimated state of one target.
#[derive(Debug, Clone)]
pub(crate) struct Estimate {
    pub(crate) record: TargetRecord,
    /// Hash of the target's name.
    pub(crate) hash: u64,
    /// When this router learned of the target or of its restart; zero if the target was registered
    /// and warm before the router started.
    pub(crate) known_since: Time,
    pub(crate) cold_until: Time,
    /// End of the grace period of a target whose entry went missing around an outage of the store.
    /// `None` while the entry exists.
    pub(crate) expires_at: Option<Time>,
    /// Requests that this router has in progress.
    pub(crate) outstanding: u32,
    /// Requests that other routers have in progress, from their reports.
    pub(crate) outstanding_elsewhere: u32,
    /// Load that the target reported last, with the time of its arrival.
    pub(crate) reported_load: Option<(ReportedLoad, Time)>,
    /// Requests that this router started since the last load report, less those that ended.
    pub(crate) change_since_report: i64,
    /// Decayed number of successful requests.
    pub(crate) successes: f64,
    /// Decayed number of failed requests.
    pub(crate) failures: f64,
    /// Time to which `successes` and `failures` have decayed.
    pub(crate) decayed_at: Time,
    pub(crate) backoff_until: Time,
    /// Backoffs since the last success, which double the next one.
    pub(crate) consecutive_backoffs: u32,
    /// Until when the target counts as full after it declined a request.
    pub(crate) full_until: Time,
    /// Rate and share of requests while the target starts or recovers.
    pub(crate) pace: Pace,
    /// Time that the target needs for work.
    pub(crate) speed: Speed,
    /// Requests whose connections broke recently; they become suspects if the target crashed.
    pub(crate) broken_requests: Vec<BrokenRequest>,
    /// Whether it is being checked if the target still accepts connections.
    pub(crate) probing: bool,
    /// When the target last refused a connection after requests to it had broken.
    pub(crate) crashed_at: Option<Time>,
    /// Limit that the target states on the requests of all routers.
    pub(crate) limit: TargetLimit,
    /// What else the target states about itself.
    pub(crate) notices: TargetNotices,
    last_loss: Option<Time>,
    /// Mean time for which requests of this router are open, in seconds; `None` before the first
    /// answer.
    mean_held: Option<f64>,
}

/// A request whose connection to the target broke.
#[derive(Debug, Clone)]
pub(crate) struct BrokenRequest {
    pub(crate) content: Fingerprint,
    pub(crate) team: TeamName,
    pub(crate) parts: Arc<[PartId]>,
    pub(crate) sent_at: Time,
    pub(crate) answer_begun: bool,
    pub(crate) at: Time,
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
            pace: Pace::new(now),
            speed: Speed::default(),
            broken_requests: Vec::new(),
            probing: false,
            crashed_at: None,
            limit: TargetLimit::default(),
            notices: TargetNotices::default(),
            last_loss: None,
            mean_held: None,
        }
    }

    /// Estimated load, in requests: the larger of the known outstanding requests and the recently
    /// reported load, adjusted by this router's requests since the report.
    pub(crate) fn load(&self, now: Time) -> f64 {
        let own = f64::from(self.outstanding + self.outstanding_elsewhere);
        match self.reported_load {
            Some((load, at)) if now.since(at) < LOAD_TTL => {
                let estimated =
                    i64::from(load.running) + i64::from(load.waiting) + self.change_since_report;
                #[expect(clippy::cast_precision_loss, reason = "loads are far below 2^52")]
                let estimated = estimated as f64;
                own.max(estimated)
            }
            _ => own,
        }
    }

    /// Load for the comparison with other targets, in requests. Of the requests that other routers
    /// have reported, only those count that are probably still open: if requests end within the age
    /// of a report, all routers would choose the target that was the least loaded one before.
    pub(crate) fn compared_load(&self, now: Time) -> f64 {
        let is_reported = self
            .reported_load
            .is_some_and(|(_, at)| now.since(at) < LOAD_TTL);
        match self.mean_held {
            Some(held) if !is_reported => {
                let still_open = (-REPORT_AGE.as_secs_f64() / held.max(0.001)).exp();
                f64::from(self.outstanding) + f64::from(self.outstanding_elsewhere) * still_open
            }
            _ => self.load(now),
        }
    }

    /// Records that a request of this router was answered after `held`.
    pub(crate) fn record_held(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        let mean = self.mean_held.unwrap_or(held);
        self.mean_held = Some(mean + (held - mean) * HELD_WEIGHT);
    }

    /// Decays the counts of results to `now`.
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

    /// Records a lost request. Returns whether no other one was lost in the `LOSS_WINDOW` before.
    pub(crate) fn is_first_loss(&mut self, now: Time) -> bool {
        let last = self.last_loss.replace(now);
        last.is_none_or(|last| now.since(last) >= LOSS_WINDOW)
    }

    /// Share of failures among the decayed results, from 0 to 1. Fewer than one result count as
    /// one.
    pub(crate) fn failure_share(&self) -> f64 {
        self.failures / (self.successes + self.failures).max(1.0)
    }

    /// Whether the target may receive new requests, regardless of its load and health.
    pub(crate) fn is_usable(&self, evacuated: &HashSet<ZoneName>, now: Time) -> bool {
        self.record.stage == Stage::Ready
            && self.expires_at.is_none_or(|expires_at| now < expires_at)
            && self.notices.accepts_requests(now)
            && !evacuated.contains(&self.record.zone)
    }

    /// Whether a request may begin at once, as far as the target's last load report tells.
    pub(crate) fn may_have_free_slot(&self, now: Time) -> bool {
        let recent = self
            .reported_load
            .filter(|(_, at)| now.since(*at) < LOAD_TTL);
        recent.is_none_or(|(load, _)| {
            load.waiting == 0 && load.slots.is_none_or(|slots| load.running < slots)
        })
    }

    /// Sort key of the target for a context; the target with the lowest key is the context's home.
    pub(crate) fn context_rank(&self, context: u64) -> u64 {
        xxh3_64_with_seed(&self.hash.to_le_bytes(), context)
    }

    /// Whether the target is in its cold start.
    pub(crate) fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Number of requests that the target runs concurrently, as it stated last.
    pub(crate) fn slots(&self) -> u32 {
        let stated = self.reported_load.and_then(|(load, _)| load.slots);
        stated.unwrap_or(self.record.slots).max(1)
    }

    /// Ranks the target last for a time within `BACKOFF_RANGE` that doubles with each consecutive
    /// call. After that, the target is under pace.
    pub(crate) fn start_backoff(&mut self, now: Time) {
        let backoff =
            (BACKOFF_RANGE[0] * (1 << self.consecutive_backoffs.min(8))).min(BACKOFF_RANGE[1]);
        self.consecutive_backoffs += 1;
        self.backoff_until = now + backoff;
        self.pace.start(PaceCause::Backoff, self.backoff_until);
    }
}
