//! Loads of targets and the load bound.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Age at which a reported load says nothing any more.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Age at which sums over a pool say nothing any more: three rounds of gossip.
pub const POOL_MAX_AGE: Duration = Duration::from_secs(3);

/// Sums over the targets of a pool; those of several processes add up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Requests running or waiting.
    pub requests: u64,
    /// Weights of the targets that take work, in thousandths: a target of a returning zone counts
    /// with the share of its work that it takes.
    pub weight: u64,
}

impl PoolLoad {
    /// Adds one target.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "weights are small and not negative"
    )]
    pub fn add(&mut self, requests: u32, weight: f64) {
        self.requests += u64::from(requests);
        self.weight += (weight * 1_000.0).round() as u64;
    }

    /// The requests and the weight.
    #[expect(clippy::cast_precision_loss, reason = "sums stay far below 2^53")]
    pub fn as_f64(&self) -> (f64, f64) {
        (self.requests as f64, self.weight as f64 / 1_000.0)
    }
}

/// The most requests that a target of `weight` may have when the pool has `requests` over
/// `total` weight, one that is about to be placed included.
///
/// The bound is rounded up, since with few requests the multiple of the mean lies between two
/// whole numbers, and the lower one may be nought.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
pub fn load_bound(multiple: f64, requests: f64, weight: f64, total: f64) -> u32 {
    if total <= 0.0 {
        return u32::MAX;
    }
    // A product such as 1.25 * 4 must not round up to 6.
    let exact = multiple * (requests + 1.0) * weight / total;
    (exact - 1e-9).ceil().clamp(1.0, f64::from(u32::MAX)) as u32
}

/// The load bound as the agent beside the target applies it.
#[derive(Debug, Clone)]
pub struct LoadBound {
    multiple: f64,
    weight: f64,
    pool: Option<(PoolLoad, Time)>,
    /// Growth of the requests, per second.
    growth_per_s: f64,
}

impl LoadBound {
    /// The bound of a target of `weight`.
    pub fn new(multiple: f64, weight: f64) -> Self {
        Self {
            multiple,
            weight,
            pool: None,
            growth_per_s: 0.0,
        }
    }

    /// Takes new limits from the document, and the weight as the zone's share leaves it.
    pub fn configure(&mut self, multiple: f64, weight: f64) {
        self.multiple = multiple;
        self.weight = weight;
    }

    /// Notes the sums over the target's whole pool, the target itself included.
    pub fn record_pool(&mut self, pool: PoolLoad, now: Time) {
        let requests = pool.as_f64().0;
        self.growth_per_s = match self.pool {
            Some((before, at)) if now > at => {
                let grown = (requests - before.as_f64().0).max(0.0);
                grown / now.since(at).as_secs_f64()
            }
            _ => 0.0,
        };
        self.pool = Some((pool, now));
    }

    /// Whether the target may take one more request beside the `requests` it has. Without recent
    /// sums it may, since the mean is not known.
    ///
    /// Traffic that grows is carried on from the last two sums: with the sums alone, a pool whose
    /// load rises by more than the multiple within a round refuses what it could serve.
    pub fn admits(&self, requests: u32, now: Time) -> bool {
        let Some((pool, at)) = self.pool else {
            return true;
        };
        if now.since(at) > POOL_MAX_AGE {
            return true;
        }
        let (sum, total) = pool.as_f64();
        let sum = sum + self.growth_per_s * now.since(at).as_secs_f64();
        requests < load_bound(self.multiple, sum, self.weight, total)
    }
}

/// What a router knows of one target's load.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadEstimate {
    /// Requests of this router at the target.
    own: u32,
    reported: u32,
    limit: u32,
    reported_at: Option<Time>,
    /// Requests of this router that started since the report, less those that ended.
    net_started: i64,
}

impl LoadEstimate {
    /// Notes a request that starts.
    pub fn start(&mut self) {
        self.own += 1;
        self.net_started += 1;
    }

    /// Notes a request that ended.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
        self.net_started -= 1;
    }

    /// Notes a report of `requests` running or waiting and of the limit of those running.
    pub fn record_report(&mut self, requests: u32, limit: u32, now: Time) {
        self.reported = requests;
        self.limit = limit;
        self.reported_at = Some(now);
        self.net_started = 0;
    }

    /// Requests of this router at the target.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Whether there is a recent report.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.reported_at
            .is_some_and(|at| now.since(at) <= REPORT_MAX_AGE)
    }

    /// Requests at the target as far as this router can tell.
    pub fn requests(&self, now: Time) -> u32 {
        if !self.is_fresh(now) {
            return self.own;
        }
        let sum = i64::from(self.reported) + self.net_started;
        u32::try_from(sum).unwrap_or(0).max(self.own)
    }

    /// Whether the target said that it bears no more.
    pub fn is_full(&self, now: Time) -> bool {
        self.is_fresh(now) && self.limit > 0 && self.requests(now) >= self.limit
    }
}
