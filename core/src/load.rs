//! Load of targets and pools, and the bounded-load limit on the requests at one target.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Maximum age of a target's load report; older reports are ignored.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Maximum age of the load sums of a pool, three rounds of gossip; older sums are ignored.
pub const POOL_MAX_AGE: Duration = Duration::from_secs(3);

/// Load summed over targets of a pool. Sums from several processes can be added.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Number of running and queued requests.
    pub requests: u64,
    /// Sum of the weights of the targets that accept work, in thousandths. A target in a zone that
    /// is returning to service counts only with the fraction of its work that it accepts.
    pub weight: u64,
}

impl PoolLoad {
    /// Adds one target with its running and queued `requests` and its `weight`.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "weights are small and not negative"
    )]
    pub fn add(&mut self, requests: u32, weight: f64) {
        self.requests += u64::from(requests);
        self.weight += (weight * 1_000.0).round() as u64;
    }

    /// Returns the number of requests and the sum of weights, the latter in whole units.
    #[expect(clippy::cast_precision_loss, reason = "sums stay far below 2^53")]
    pub fn as_f64(&self) -> (f64, f64) {
        (self.requests as f64, self.weight as f64 / 1_000.0)
    }
}

/// Maximum number of requests at a target of `weight` when its pool has `requests` requests over a
/// weight of `total`. The result is `multiple` times the target's share of the requests, with one
/// new request counted in; it is `u32::MAX` if `total` is not positive.
///
/// The bound is rounded up and at least 1: with few requests the exact value lies between two
/// integers, and the lower one may be 0.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
pub fn load_bound(multiple: f64, requests: f64, weight: f64, total: f64) -> u32 {
    if total <= 0.0 {
        return u32::MAX;
    }
    // Without this correction, rounding errors may raise a bound of 1.25 * 4 from 5 to 6.
    let exact = multiple * (requests + 1.0) * weight / total;
    (exact - 1e-9).ceil().clamp(1.0, f64::from(u32::MAX)) as u32
}

/// The load bound that an agent enforces for its own target.
#[derive(Debug, Clone)]
pub struct LoadBound {
    multiple: f64,
    weight: f64,
    pool: Option<(PoolLoad, Time)>,
    growth_per_s: f64,
}

impl LoadBound {
    /// Creates the bound for a target of `weight`. `multiple` is the allowed ratio of the target's
    /// load to its share of the pool's load.
    pub fn new(multiple: f64, weight: f64) -> Self {
        Self {
            multiple,
            weight,
            pool: None,
            growth_per_s: 0.0,
        }
    }

    /// Applies a changed configuration. `weight` is the target's weight after its zone's share has
    /// been applied.
    pub fn configure(&mut self, multiple: f64, weight: f64) {
        self.multiple = multiple;
        self.weight = weight;
    }

    /// Records the load sums over the target's whole pool, including the target itself.
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

    /// Whether the target may accept one more request in addition to the `requests` it has. Without
    /// recent pool sums it may, as the mean load is unknown.
    ///
    /// Growing load is extrapolated from the last two sums. With the last sum alone, a pool whose
    /// load grows by more than the multiple within one round of gossip refuses requests that it
    /// could serve.
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

/// A router's estimate of one target's load, from the target's reports and the router's own
/// requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadEstimate {
    /// Number of this router's requests at the target.
    own: u32,
    reported_requests: u32,
    reported_limit: u32,
    reported_at: Option<Time>,
    /// Number of this router's requests that started since the last report minus those that ended.
    net_started: i64,
}

impl LoadEstimate {
    /// Records that a request of this router started.
    pub fn start(&mut self) {
        self.own += 1;
        self.net_started += 1;
    }

    /// Records that a request of this router ended.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
        self.net_started -= 1;
    }

    /// Records a report from the target: the number of running and queued `requests`, and the
    /// `limit` on running ones.
    pub fn record_report(&mut self, requests: u32, limit: u32, now: Time) {
        self.reported_requests = requests;
        self.reported_limit = limit;
        self.reported_at = Some(now);
        self.net_started = 0;
    }

    /// Number of this router's requests at the target.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Whether the last report is recent enough to be used.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.reported_at
            .is_some_and(|at| now.since(at) <= REPORT_MAX_AGE)
    }

    /// Estimated number of running and queued requests at the target. Without a recent report, only
    /// this router's own requests count.
    pub fn requests(&self, now: Time) -> u32 {
        if !self.is_fresh(now) {
            return self.own;
        }
        let sum = i64::from(self.reported_requests) + self.net_started;
        u32::try_from(sum).unwrap_or(0).max(self.own)
    }

    /// Whether the estimate has reached the reported limit; false without a recent report.
    pub fn is_full(&self, now: Time) -> bool {
        self.is_fresh(now) && self.reported_limit > 0 && self.requests(now) >= self.reported_limit
    }
}
