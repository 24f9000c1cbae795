//! Checks of the limits that all routers share, against what callers sent and what reached targets.
//!
//! The sums are over all routers, and the bounds are those of the rules: no figure of the routers
//! themselves takes part.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    time::Duration,
};

use ebonyfall_standin::{entrance::ColdPeriod, registered::Arrival};
use serde::Serialize;
use tokio::time::Instant;

/// Requests that a cold target may get in a second, as a multiple of what it tolerates.
const COLD_OVERAGE: f64 = 1.5;
/// Requests that a cold target may get in a second besides these.
const COLD_SLACK: f64 = 5.0;
/// Window in which the requests to a cold target are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// A request that a caller has sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sent {
    /// When the caller sent it.
    pub at: Instant,
    /// Its attempt id.
    pub attempt_id: String,
}

/// Limit on the retries that all routers together send to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in each window besides these.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// A window in which a limit was used more than in any other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Peak {
    /// Time from the first event that was checked to the end of the window, in seconds.
    pub ended_s: f64,
    /// Events that the limit counts.
    pub counted: usize,
    /// Most such events that the rules allow.
    pub allowed: f64,
}

impl Peak {
    /// Whether more was counted than allowed.
    pub fn is_exceeded(&self) -> bool {
        self.used_share() > 1.0
    }

    /// What was counted, as a share of what is allowed.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    fn used_share(&self) -> f64 {
        self.counted as f64 / self.allowed
    }
}

impl Display for Peak {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            ended_s,
            counted,
            allowed,
        } = self;
        write!(f, "{counted} of {allowed:.1} at {ended_s:.1} s")
    }
}

/// Returns the window in which the retries of one service use or exceed most of their limit; `None`
/// without any retry.
///
/// Retries are the arrivals beyond the first of each attempt id. The requests for the service are
/// counted in the window, in the one before it and in the one half a window before it, and the
/// highest count applies.
pub fn worst_retry_window<'a>(
    limit: RetryLimit,
    sent: &[Sent],
    arrivals: impl IntoIterator<Item = &'a Arrival>,
) -> Option<Peak> {
    let mut requests: Vec<_> = sent.iter().map(|sent| sent.at).collect();
    requests.sort_unstable();
    let mut retries = retries(arrivals);
    retries.sort_unstable();
    let first = (*retries.first()?).min(*requests.first().unwrap_or(&retries[0]));
    let window = limit.window;
    let offsets = [
        Duration::ZERO,
        window / 2,
        window,
        window * 3 / 2,
        window * 2,
    ];
    // A window is open at its start, so that the counts only change where an event enters or leaves
    // one of the three windows.
    let entered = requests
        .iter()
        .flat_map(|at| offsets.map(|offset| *at + offset));
    let ends = entered.chain(retries.iter().copied());
    let peaks = ends.map(|end| {
        let requests_until = |end: Instant| count_within(&requests, window, end);
        let most = [Duration::ZERO, window / 2, window]
            .into_iter()
            .filter_map(|earlier| end.checked_sub(earlier))
            .map(requests_until)
            .max();
        #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
        let earned = limit.ratio * most.unwrap_or_default() as f64;
        Peak {
            ended_s: end.saturating_duration_since(first).as_secs_f64(),
            counted: count_within(&retries, window, end),
            allowed: earned + limit.slack,
        }
    });
    peaks.max_by(|a, b| a.used_share().total_cmp(&b.used_share()))
}

/// Returns the second in which a cold target gets most requests, of those that it does not answer
/// as another target; `None` if it gets none. `rate` is what it tolerates in a second.
pub fn worst_cold_second<'a>(
    rate: f64,
    cold: &ColdPeriod,
    arrivals: impl IntoIterator<Item = &'a Arrival>,
) -> Option<Peak> {
    let arrivals = arrivals.into_iter().filter(|arrival| is_request(arrival));
    let counted = arrivals.filter(|arrival| !arrival.is_misdirected);
    let mut times: Vec<_> = counted
        .map(|arrival| arrival.at)
        .filter(|at| (cold.start..cold.end).contains(at))
        .collect();
    times.sort_unstable();
    let peaks = times.iter().map(|end| Peak {
        ended_s: end.duration_since(cold.start).as_secs_f64(),
        counted: count_within(&times, COLD_WINDOW, *end),
        allowed: rate * COLD_OVERAGE + COLD_SLACK,
    });
    peaks.max_by_key(|peak| peak.counted)
}

/// Times of the arrivals beyond the first of each attempt id.
fn retries<'a>(arrivals: impl IntoIterator<Item = &'a Arrival>) -> Vec<Instant> {
    let mut by_id: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for arrival in arrivals.into_iter().filter(|arrival| is_request(arrival)) {
        by_id
            .entry(&arrival.attempt_id)
            .or_default()
            .push(arrival.at);
    }
    let repeated = by_id.into_values().flat_map(|mut times| {
        times.sort_unstable();
        times.into_iter().skip(1)
    });
    repeated.collect()
}

/// Whether a caller's request arrived; a router's own health checks have no attempt id.
fn is_request(arrival: &Arrival) -> bool {
    !arrival.attempt_id.is_empty()
}

/// Number of times later than `end - window`, up to and including `end`; `times` are sorted.
fn count_within(times: &[Instant], window: Duration, end: Instant) -> usize {
    let until = times.partition_point(|at| *at <= end);
    let before = end
        .checked_sub(window)
        .map_or(0, |start| times.partition_point(|at| *at <= start));
    until - before
}
