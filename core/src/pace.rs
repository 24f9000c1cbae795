//! The pace at which a target that has started or recovered gets requests: a rate that all routers
//! share while the target is cold, and a share of its peers' load that grows while answers are good.

use std::{collections::VecDeque, time::Duration};

use derive_more::Display;

use crate::{limit::Turns, time::Time};

pub mod ramp;

/// Share of its peers' load with which a target starts. A cold target takes several times as long
/// for a request as a warm one.
const START_SHARE: f64 = 0.2;
/// Share with which a target starts that was only slow: its caches are warm.
const REGAINED_SHARE: f64 = 0.5;
/// Smallest share, so that the target's answers still show when it recovers.
const MIN_SHARE: f64 = 0.05;
/// Largest share while the target is cold, or has not given a good answer since its pace started or
/// was last halved.
const MAX_UNPROVEN_SHARE: f64 = 0.5;
/// Time in which the share doubles. It rises from [`START_SHARE`] to a full share in 2.8 s.
const DOUBLING_TIME: Duration = Duration::from_millis(1_200);
/// Time after a bad answer in which the share does not grow.
const GROWTH_PAUSE: Duration = Duration::from_millis(500);
/// Number of slow answers among the last eight that starts the pace of a target; fewer can happen
/// by chance.
const SLOW_OF_LAST_EIGHT: u32 = 6;
/// Window of the rate limit of cold targets while the router's turn is not known.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Lower limit of this router's share of a cold target's rate, in requests per `COLD_WINDOW`.
const MIN_COLD_RATE: f64 = 0.01;
/// Maximum number of recent requests to a cold target whose times are kept for its rate limit.
const MAX_COLD_SENT: usize = 256;
/// Time for which an unused turn at a cold target may still be used, besides that of
/// [`SPARE_TURNS`]. In any second, all routers use at most the turns of 1.25 s and three more, which
/// leaves a part of the fleet's bound (1.5 times the rate and 5) for routers that disagree on
/// their turns for a moment.
const TURN_VALIDITY: Duration = Duration::from_millis(250);
/// Number of intervals between turns for which an unused turn may also still be used.
const SPARE_TURNS: u32 = 2;

/// Why a target is under pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum PaceCause {
    /// It has registered or restarted.
    Started,
    /// It was unreachable.
    Backoff,
    /// Its zone was evacuated.
    Evacuated,
    /// Most of its recent answers were slow, without a statement that it is cold.
    SlowAnswers,
    /// It was clearly slower than its peers and no longer is.
    SpeedRegained,
}

/// A change of a target's pace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PaceChange {
    /// The pace started.
    Started(PaceCause),
    /// A bad answer halved the share.
    Halved,
    /// The target gets the same part as its peers.
    Ended,
}

/// Pace of one target, as one router knows it.
#[derive(Debug, Clone)]
pub(crate) struct Pace {
    /// Share of the peers' load that the target may get; `None` if it is not under pace.
    share: Option<f64>,
    /// Time up to which the growth of the share is counted.
    grown_to: Time,
    /// When the share was last halved. Requests sent before do not halve it once more.
    halved_at: Time,
    /// Whether the target gave a good answer since its pace started or was halved.
    is_proven: bool,
    /// Whether the target's zone was evacuated when a target was last chosen.
    was_evacuated: bool,
    /// The last eight answers, one bit each; set for a slow one.
    recent_slow: u8,
    /// Times of recent requests while the target was cold.
    cold_sent: VecDeque<Time>,
    /// Time from which the router's next turn at the cold target may start.
    next_from: Time,
    changes: Vec<PaceChange>,
}

impl Pace {
    /// Pace of a target that is not under pace. The router uses no turn before `now`: an earlier run
    /// of this router may have used it.
    pub(crate) fn new(now: Time) -> Self {
        Self {
            share: None,
            grown_to: now,
            halved_at: Time::ZERO,
            is_proven: false,
            was_evacuated: false,
            recent_slow: 0,
            cold_sent: VecDeque::new(),
            next_from: now,
            changes: Vec::new(),
        }
    }

    /// Starts the pace, or returns to the start if it has grown. The share grows from `from` on.
    pub(crate) fn start(&mut self, cause: PaceCause, from: Time) {
        let start = match cause {
            PaceCause::SpeedRegained => REGAINED_SHARE,
            PaceCause::Started
            | PaceCause::Backoff
            | PaceCause::Evacuated
            | PaceCause::SlowAnswers => START_SHARE,
        };
        let share = self.share.unwrap_or(1.0).min(start);
        if self.share.replace(share).is_none() {
            self.changes.push(PaceChange::Started(cause));
        }
        self.grown_to = self.grown_to.max(from);
        self.is_proven = false;
        self.recent_slow = 0;
    }

    /// Share of its peers' load that the target may get; 1 if it is not under pace.
    pub(crate) fn share(&self) -> f64 {
        self.share.unwrap_or(1.0)
    }

    /// Whether the target is under pace.
    pub(crate) fn is_active(&self) -> bool {
        self.share.is_some()
    }

    /// Removes and returns the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.changes)
    }

    /// Notes whether the target's zone is evacuated. After its return, the target is under pace.
    pub(crate) fn note_evacuated(&mut self, is_evacuated: bool, now: Time) {
        if std::mem::replace(&mut self.was_evacuated, is_evacuated) && !is_evacuated {
            self.start(PaceCause::Evacuated, now);
        }
    }

    /// Lets the share grow up to `now` and ends the pace when it is full.
    pub(crate) fn grow(&mut self, is_cold: bool, now: Time) {
        let Some(share) = self.share else {
            return;
        };
        let doublings = now.since(self.grown_to).as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        self.grown_to = self.grown_to.max(now);
        let is_limited = is_cold || !self.is_proven;
        let limit = if is_limited { MAX_UNPROVEN_SHARE } else { 1.0 };
        let grown = (share * 2_f64.powf(doublings)).min(limit.max(share));
        self.share = Some(grown);
        if grown >= 1.0 {
            self.share = None;
            self.changes.push(PaceChange::Ended);
        }
    }

    /// Records a good or bad answer to a request that was sent at `sent_at`. A bad one halves the
    /// share, unless the request was sent before the last halving.
    pub(crate) fn record_answer(&mut self, is_good: bool, sent_at: Time, now: Time) {
        let Some(share) = self.share else {
            return;
        };
        if is_good {
            self.is_proven |= sent_at >= self.halved_at;
        } else if sent_at >= self.halved_at {
            let halved = (share / 2.0).max(MIN_SHARE);
            if halved < share {
                self.changes.push(PaceChange::Halved);
            }
            self.share = Some(halved);
            self.is_proven = false;
            self.halved_at = now;
            self.grown_to = self.grown_to.max(now + GROWTH_PAUSE);
        }
    }

    /// Records whether an answer was slow. Returns whether the target answers like a cold one.
    pub(crate) fn record_speed(&mut self, is_slow: bool) -> bool {
        self.recent_slow = self.recent_slow << 1 | u8::from(is_slow);
        self.recent_slow.count_ones() >= SLOW_OF_LAST_EIGHT
    }

    /// Whether this router may send a request to the cold target, which takes `rate` requests per
    /// second from all routers together; `turns` are `None` if it may send to no cold target yet.
    ///
    /// Routers that know their rank take turns on the clock that they have in common. With a rate
    /// for each router alone, more routers than requests per second may all send in the same second.
    pub(crate) fn may_send_cold(&self, rate: f64, turns: Option<&Turns>, now: Time) -> bool {
        let Some(turns) = turns else {
            return false;
        };
        if !rate.is_finite() {
            return true;
        }
        if turns.rank.is_some() {
            return self
                .next_turn(rate, turns, now)
                .is_some_and(|turn| turn <= now);
        }
        let own_rate = rate / f64::from(turns.routers);
        // A rate below one request per window allows one request in a longer window.
        let window = COLD_WINDOW.mul_f64(1.0 / own_rate.clamp(MIN_COLD_RATE, 1.0));
        let recent = self.cold_sent.iter();
        let recent = recent.filter(|sent| now.since(**sent) < window).count();
        let recent = f64::from(u32::try_from(recent).unwrap_or(u32::MAX));
        recent + 1.0 <= own_rate.max(1.0)
    }

    /// Counts a request to the cold target.
    pub(crate) fn record_cold_sent(&mut self, rate: f64, turns: &Turns, now: Time) {
        if let Some(turn) = self.next_turn(rate, turns, now) {
            // When the number of routers changes, so do all turns; half of the time between two of
            // them keeps the mean rate.
            self.next_from = turn + interval(rate) * turns.routers.max(1) / 2;
        }
        self.cold_sent.push_back(now);
        if self.cold_sent.len() > MAX_COLD_SENT {
            self.cold_sent.pop_front();
        }
    }

    fn next_turn(&self, rate: f64, turns: &Turns, now: Time) -> Option<Time> {
        if !rate.is_finite() || turns.rank.is_none() {
            return None;
        }
        let interval = interval(rate);
        let valid_from = now.before(TURN_VALIDITY + interval * SPARE_TURNS);
        Some(turns.next(self.next_from.max(valid_from), interval))
    }
}

/// Time between two requests of all routers together.
fn interval(rate: f64) -> Duration {
    Duration::from_secs_f64(1.0 / rate.max(MIN_COLD_RATE))
}
