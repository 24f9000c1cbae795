//! Load shedding: which requests are refused, and when their callers may come back.
//!
//! Handles load that stays above the capacity for longer than callers can wait: a request that will
//! not be dispatched in time is refused on arrival, so that its caller loses no time.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use derive_more::Display;

use super::DispatchRequest;
use crate::{fair::count_to_f64, id::Fingerprint, time::Time};

/// Time constant of the rate at which requests end.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Weight of the newest value in the mean time for which a place is held.
const HELD_WEIGHT: f64 = 0.1;
/// Range of `Retry-After` values. The least one keeps callers from coming back before anything has
/// changed; the largest one exceeds what any caller waits.
const RETRY_RANGE: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(10)];
/// Spread of `Retry-After` over callers, as multiples of the time in which the backlog is served.
const RETRY_SPREAD: [f64; 2] = [0.75, 1.5];
/// Part of the time left for which callers obey `Retry-After`.
const OBEYED_DIVISOR: u32 = 3;
/// Time after the stated one within which a caller that comes back is recognised.
const COMEBACK_TTL: Duration = Duration::from_secs(5);
/// How much earlier than stated a caller may come back, for timers and clocks that are not exact.
const COMEBACK_TOLERANCE: Duration = Duration::from_millis(20);
/// Maximum number of refused requests that are remembered.
const MAX_COMEBACKS: usize = 4_096;
/// Time between two steps that tighten the admission level.
const TIGHTEN_INTERVAL: Duration = Duration::from_millis(250);
/// Time without overload of the admitted classes after which the level is relaxed by one step. It is
/// longer than `TIGHTEN_INTERVAL`, so that the level does not alternate.
const RELAX_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a class counts as in use after its last request.
const CLASS_TTL: Duration = Duration::from_secs(10);

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Shed {
    /// Its predicted wait is longer than it may wait.
    Wait,
    /// It would have to wait, and its class is not admitted at present.
    Level,
    /// The queue was full, and it was the newest request of the largest backlog in the least urgent
    /// class.
    Full,
    /// It has waited for as long as it may.
    Expired,
    /// The targets would not answer before its deadline.
    Deadline,
}

impl Shed {
    /// Value of the cause in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::Level => "level",
            Self::Full => "full",
            Self::Expired => "expired",
            Self::Deadline => "deadline",
        }
    }
}

/// Rate at which a service's requests of this router end, and the time for which they hold a place.
#[derive(Debug, Default)]
pub(super) struct EndRate {
    /// Decayed number of ends.
    ends: f64,
    decayed_at: Time,
    /// Mean time for which a place was held, in seconds; `None` before the first end.
    held: Option<f64>,
}

impl EndRate {
    /// Records the end of a request that held its place for `held`.
    pub(super) fn record(&mut self, held: Duration, now: Time) {
        self.ends = self.decayed(now) + 1.0;
        self.decayed_at = now;
        let held = held.as_secs_f64();
        let mean = self.held.unwrap_or(held);
        self.held = Some(mean + (held - mean) * HELD_WEIGHT);
    }

    fn decayed(&self, now: Time) -> f64 {
        let windows = now.since(self.decayed_at).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        self.ends * (-windows).exp()
    }

    /// Mean time for which a place is held; zero before the first end.
    pub(super) fn held(&self) -> Duration {
        Duration::from_secs_f64(self.held.unwrap_or_default())
    }

    /// Requests per second that are expected to end when `open` of them are always open: the
    /// measured rate, or that of the places if it is higher because the load has just risen. `None`
    /// before the first end.
    pub(super) fn per_second(&self, open: u32, now: Time) -> Option<f64> {
        let by_places = f64::from(open.max(1)) / self.held?.max(0.001);
        let measured = self.decayed(now) / RATE_WINDOW.as_secs_f64();
        Some(measured.max(by_places))
    }
}

/// Time in which `count` requests end; zero if the rate is not known yet.
pub(super) fn time_for(count: f64, per_second: Option<f64>) -> Duration {
    let seconds = per_second.map_or(0.0, |rate| count / rate);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// `Retry-After` for a caller with `time_left` when the backlog is served in `backlog`. `random` is
/// uniform in 0..1.
///
/// A value above a third of the time left is not obeyed, so the spread ends there. If even the
/// unspread value is above it, that value is stated, since none helps.
pub(super) fn retry_after(backlog: Duration, time_left: Duration, random: f64) -> Duration {
    let [least, most] = RETRY_RANGE;
    let backlog = backlog.clamp(least, most);
    let obeyed = time_left / OBEYED_DIVISOR;
    if backlog > obeyed {
        return backlog;
    }
    let [low, high] = RETRY_SPREAD;
    let spread = backlog.mul_f64(low + (high - low) * random.clamp(0.0, 1.0));
    spread.clamp(least, obeyed)
}

/// Callers that were refused and told when to come back.
#[derive(Debug, Default)]
pub(super) struct Comebacks {
    refused: HashMap<Fingerprint, Refused>,
}

#[derive(Debug, Clone, Copy)]
struct Refused {
    /// First arrival of the request.
    since: Time,
    /// Earliest time at which it comes back as told.
    due: Time,
}

impl Comebacks {
    /// Records a refusal. Nothing is recorded while too many others are remembered.
    pub(super) fn record(&mut self, content: Fingerprint, since: Time, due: Time, now: Time) {
        if self.refused.len() >= MAX_COMEBACKS {
            self.refused
                .retain(|_, refused| now < refused.due + COMEBACK_TTL);
        }
        if self.refused.len() < MAX_COMEBACKS {
            self.refused.insert(content, Refused { since, due });
        }
    }

    /// Removes the refusal of a request with this content. Returns its first arrival if the caller
    /// came back as told, or `Some(now)` if it came back too early and gets no credit.
    pub(super) fn take(&mut self, content: Fingerprint, now: Time) -> Option<Time> {
        let refused = self.refused.remove(&content)?;
        let due = refused.due.before(COMEBACK_TOLERANCE);
        if now < due {
            return Some(now);
        }
        (now < refused.due + COMEBACK_TTL).then_some(refused.since)
    }
}

/// Shortest `Retry-After`; a request whose caller has used less time cannot have come back as told.
const MIN_RETRY_AFTER: Duration = RETRY_RANGE[0];

/// Admission level: the least urgent class of a service whose requests may wait.
#[derive(Debug, Default)]
pub(super) struct Level {
    /// `None` admits every class.
    least: Option<u8>,
    changed_at: Time,
    overloaded_at: Time,
    /// When a request of each class arrived last.
    classes: BTreeMap<u8, Time>,
}

impl Level {
    /// Records the arrival of a request of `class`.
    pub(super) fn record_arrival(&mut self, class: u8, now: Time) {
        self.classes.insert(class, now);
        self.classes.retain(|_, at| now.since(*at) < CLASS_TTL);
        if self.least.is_some()
            && now.since(self.overloaded_at) >= RELAX_INTERVAL
            && now.since(self.changed_at) >= RELAX_INTERVAL
        {
            self.relax(now);
        }
    }

    /// Records that a request of `class` was refused although it was admitted. Refusals of the least
    /// urgent admitted class are what is wanted; those of a more urgent one tighten the level.
    pub(super) fn record_overload(&mut self, class: u8, now: Time) {
        let least = self.least.or_else(|| self.least_in_use());
        if least.is_none_or(|least| class >= least) {
            return;
        }
        self.overloaded_at = now;
        if now.since(self.changed_at) >= TIGHTEN_INTERVAL {
            let more_urgent = self.classes.range(..least.unwrap_or(u8::MAX));
            self.least = more_urgent.last().map(|(class, _)| *class);
            self.changed_at = now;
        }
    }

    fn relax(&mut self, now: Time) {
        let above = |least| self.classes.range(least..).nth(1);
        let next = self.least.and_then(above).map(|(class, _)| *class);
        self.least = next.filter(|next| Some(*next) != self.least_in_use());
        self.changed_at = now;
    }

    fn least_in_use(&self) -> Option<u8> {
        self.classes.last_key_value().map(|(class, _)| *class)
    }

    /// Whether requests of `class` may wait.
    pub(super) fn admits(&self, class: u8) -> bool {
        self.least.is_none_or(|least| class <= least)
    }

    /// The least urgent class that may wait; `None` if all may.
    pub(super) fn least(&self) -> Option<u8> {
        self.least
    }

    /// Whether `class` is the most urgent one and a less urgent one is in use.
    pub(super) fn is_most_urgent(&self, class: u8) -> bool {
        self.classes.len() > 1
            && self.classes.first_key_value().map(|(first, _)| *first) >= Some(class)
    }
}

/// Time in which `waiting` requests and one more end.
pub(super) fn backlog_time(waiting: usize, per_second: Option<f64>) -> Duration {
    time_for(count_to_f64(waiting) + 1.0, per_second)
}

/// Part of the route's timeout that a caller's stated time may differ by from the first arrival.
const ROUTE_TIME_DIVISOR: u32 = 2;

/// First arrival of a request at any router, as far as its time left tells: a caller that was refused
/// elsewhere and came back has used a part of the time that the route allows. A caller that states
/// less than half of that time may always do so, and gets no credit; neither does one that came back
/// earlier than any router tells.
pub(super) fn first_arrival(request: &DispatchRequest) -> Time {
    let time_left = request.deadline.since(request.arrived);
    let used = request.timeout.saturating_sub(time_left);
    if used < MIN_RETRY_AFTER || used > request.timeout / ROUTE_TIME_DIVISOR {
        return request.arrived;
    }
    request.arrived.before(used)
}
