//! When a request whose target is silent asks another target, which of the two goes on, and when it has
//! to end.
//!
//! A target that can be reached is kept until another one has accepted the request. Two targets have the
//! request for a short time only, and what the first one sends meanwhile counts.

use std::time::Duration;

use derive_more::Display;

use crate::{
    code::Code,
    desired::{DesiredRoute, ResponseKind},
    outcome::Probe,
    time::Time,
    transfer::STANDSTILL,
};

/// Silence of a stream after which it is checked whether its target can be reached.
pub const CHECK_AFTER: Duration = Duration::from_millis(1_000);
/// Silence of a stream after which another target is asked at the earliest.
pub const MIN_ASK_AFTER: Duration = Duration::from_millis(1_200);
/// Shortest silence after which callers of streams disconnect. They wait longer on routes with a long
/// objective or long gaps between events.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// The same in objectives and in gaps of the route.
const CALLER_TIMEOUT_OBJECTIVES: u32 = 4;
const CALLER_TIMEOUT_GAPS: u32 = 8;
/// Percentage of the callers' timeout after which another target is asked although the first one can be
/// reached. The rest is for the second one to begin.
const ASK_PERCENT: u32 = 60;
/// Percentage of the objective after which another target is asked for a single answer.
const SINGLE_ASK_PERCENT: u32 = 60;
/// Pause between two questions to other targets.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// Pause between two checks of a target that can be reached.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for which two targets have a request. They must not both work on it for 400 ms, and the
/// end of the one that is given up takes a while to arrive.
pub const MAX_OVERLAP: Duration = Duration::from_millis(300);
/// Pause after a failed check, which may fail at once.
const FAILED_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Wait where nothing but the target decides.
const UNLIMITED: Duration = Duration::from_secs(3_600);
/// Failed checks in a row after which a target counts as lost. One or two may be due to lost packets or to
/// a full queue of new connections.
const MAX_FAILED_CHECKS: u32 = 3;

/// Why no other target takes over a request whose target has not answered, or has stopped answering.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Obstacle {
    /// The request may not be sent to a further target.
    Attempts,
    /// No other target can take it now.
    NoTarget,
    /// The fleet's retry budget refuses the retry.
    Budget,
    /// Its content or a part of its prompt is held after crashes.
    Held,
    /// Its key was revoked, or it is not known whether it still holds.
    Key,
    /// Its deadline has passed.
    Deadline,
    /// The router ends.
    Stopping,
}

impl Obstacle {
    /// The obstacle behind a refusal of an attempt after the first one.
    pub fn of_refusal(code: Code) -> Self {
        match code {
            Code::Overloaded => Self::Budget,
            Code::Held => Self::Held,
            Code::Unauthenticated | Code::StaleState => Self::Key,
            Code::DeadlinePassed => Self::Deadline,
            Code::ShuttingDown => Self::Stopping,
            _ => Self::NoTarget,
        }
    }
}

/// Limits on the silence of a target, by the route of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceLimits {
    check_after: Duration,
    /// Silence after which another target is asked if the first one cannot be reached.
    ask_early: Duration,
    /// The same if it can be reached.
    ask_after: Duration,
    /// Silence after which the first target is no longer preferred, since callers have left by then.
    caller_timeout: Duration,
}

impl SilenceLimits {
    /// Limits of the requests of a route.
    pub fn for_route(route: &DesiredRoute) -> Self {
        let objective = route.latency_objective;
        match route.response {
            ResponseKind::Single => {
                let ask_after = objective * SINGLE_ASK_PERCENT / 100;
                Self {
                    check_after: ask_after,
                    ask_early: ask_after,
                    ask_after,
                    caller_timeout: UNLIMITED,
                }
            }
            ResponseKind::EventStream { .. } => {
                let by_objective = objective * CALLER_TIMEOUT_OBJECTIVES;
                let by_gap = route.max_event_gap.unwrap_or_default() * CALLER_TIMEOUT_GAPS;
                let caller_timeout = MIN_CALLER_TIMEOUT.max(by_objective).max(by_gap);
                Self {
                    check_after: CHECK_AFTER,
                    ask_early: MIN_ASK_AFTER,
                    ask_after: MIN_ASK_AFTER.max(caller_timeout * ASK_PERCENT / 100),
                    caller_timeout,
                }
            }
        }
    }
}

/// What the checks of a silent target have shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Reach {
    /// It has not been checked.
    Unknown,
    /// It accepts connections.
    Reachable,
    /// It accepts no connections, but its machine answers. A target that leaves may still complete its
    /// open requests; the system resets the connections of one that has ended.
    Closed,
    /// There was no answer to the last checks.
    #[display("unreachable")]
    Unreachable {
        /// Number of these checks.
        checks: u32,
    },
}

/// What to do for a request whose target is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Wait for the target, for this long at most.
    Wait(Duration),
    /// Check whether the target can be reached.
    Check,
    /// Ask another target.
    Ask,
    /// Both targets have had the request for long enough. End it at the one that is not kept.
    EndOverlap {
        /// Whether the first target is kept.
        keep_first: bool,
    },
    /// End the request: its target is lost, and no other one takes over.
    End,
}

/// Another target that is asked to take over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Second {
    /// None is asked.
    None,
    /// It is being chosen, or connected to.
    Asked,
    /// It has the request and may keep it until then, unless it accepts.
    Sent(Time),
}

/// Silence of the target that has a request.
///
/// Only time spent waiting for the target counts, not the time that the caller takes to read.
#[derive(Debug, Clone)]
pub struct Silence {
    limits: SilenceLimits,
    /// Silence in earlier waits.
    before: Duration,
    /// Start of the present wait.
    since: Option<Time>,
    /// When the present step ends.
    due: Option<Time>,
    reach: Reach,
    is_checking: bool,
    /// Silence after which the next check is made.
    next_check: Duration,
    /// Silence after which another target is asked again.
    next_ask: Duration,
    second: Second,
    /// Whether no other target has taken over since the present one counts as lost.
    is_refused: bool,
}

impl Silence {
    /// Creates the silence of a target that has just got a request.
    pub fn new(limits: SilenceLimits) -> Self {
        Self {
            limits,
            before: Duration::ZERO,
            since: None,
            due: None,
            reach: Reach::Unknown,
            is_checking: false,
            next_check: limits.check_after,
            next_ask: Duration::ZERO,
            second: Second::None,
            is_refused: false,
        }
    }

    /// Time spent waiting since the last progress.
    pub fn time(&self, now: Time) -> Duration {
        let present = self.since.map(|since| now.since(since));
        self.before + present.unwrap_or_default()
    }

    /// What is known of the target.
    pub fn reach(&self) -> Reach {
        self.reach
    }

    /// Records that a wait for the target begins.
    pub fn begin_wait(&mut self, now: Time) {
        self.since = Some(now);
        self.due = None;
    }

    /// Records that the wait has ended, because bytes arrived or for another reason.
    pub fn end_wait(&mut self, now: Time) {
        self.before = self.time(now);
        self.since = None;
    }

    /// Records that the target went on.
    pub fn record_progress(&mut self, now: Time) {
        *self = Self {
            since: self.since.map(|_| now),
            ..Self::new(self.limits)
        };
    }

    /// Decides what to do now. `may_ask` tells whether the request may be sent to another target.
    pub fn step(&mut self, may_ask: bool, now: Time) -> Step {
        self.excuse_standstill(now);
        let step = self.next_step(may_ask, now);
        if let Step::Wait(time) = step {
            self.due = Some(now + time);
        }
        step
    }

    /// Starts the silence anew when the process stood still, since it has not read what arrived
    /// meanwhile.
    fn excuse_standstill(&mut self, now: Time) {
        let overslept = self.due.take().map(|due| now.since(due));
        let stood_still = overslept.is_some_and(|overslept| overslept >= STANDSTILL);
        if stood_still && self.second == Second::None {
            self.record_progress(now);
        }
    }

    fn next_step(&mut self, may_ask: bool, now: Time) -> Step {
        let silent = self.time(now);
        let has_second = self.second != Second::None;
        if !may_ask && !has_second {
            return Step::Wait(UNLIMITED);
        }
        if !self.is_checking && silent >= self.next_check {
            self.is_checking = true;
            return Step::Check;
        }
        let until_check = if self.is_checking {
            UNLIMITED
        } else {
            self.next_check.saturating_sub(silent)
        };
        match self.second {
            Second::Asked => Step::Wait(until_check),
            Second::Sent(until) if now >= until => Step::EndOverlap {
                keep_first: !self.is_lost() && silent < self.limits.caller_timeout,
            },
            Second::Sent(until) => Step::Wait(until_check.min(until.since(now))),
            Second::None if self.is_refused => Step::End,
            Second::None => {
                let ask_at = self.ask_after().max(self.next_ask);
                if silent < ask_at {
                    return Step::Wait(until_check.min(ask_at.saturating_sub(silent)));
                }
                self.second = Second::Asked;
                Step::Ask
            }
        }
    }

    fn ask_after(&self) -> Duration {
        match self.reach {
            Reach::Unknown | Reach::Reachable => self.limits.ask_after,
            Reach::Closed | Reach::Unreachable { .. } => self.limits.ask_early,
        }
    }

    fn is_lost(&self) -> bool {
        match self.reach {
            Reach::Unreachable { checks } => checks >= MAX_FAILED_CHECKS,
            Reach::Unknown | Reach::Reachable | Reach::Closed => false,
        }
    }

    /// Records the result of a check; `None` if the router could not make it.
    pub fn record_check(&mut self, result: Option<Probe>, now: Time) {
        self.is_checking = false;
        self.reach = match (result, self.reach) {
            (None, reach) => reach,
            (Some(Probe::Accepted), _) => Reach::Reachable,
            (Some(Probe::Refused), _) => Reach::Closed,
            (Some(Probe::Unknown), Reach::Unreachable { checks }) => {
                let checks = checks.saturating_add(1);
                Reach::Unreachable { checks }
            }
            (Some(Probe::Unknown), _) => Reach::Unreachable { checks: 1 },
        };
        self.is_refused &= self.is_lost();
        self.next_check = self.time(now) + self.check_interval();
    }

    fn check_interval(&self) -> Duration {
        match self.reach {
            Reach::Unreachable { checks } if checks < MAX_FAILED_CHECKS => FAILED_CHECK_INTERVAL,
            Reach::Unknown | Reach::Reachable | Reach::Closed | Reach::Unreachable { .. } => {
                CHECK_INTERVAL
            }
        }
    }

    /// Records that another target has got the request.
    pub fn record_sent(&mut self, now: Time) {
        self.second = Second::Sent(now + MAX_OVERLAP);
    }

    /// Records that no other target takes over: none could be asked, it did not accept, or the request
    /// was ended there.
    pub fn record_refused(&mut self, now: Time) {
        self.second = Second::None;
        self.is_refused = self.is_lost();
        self.next_ask = self.time(now) + ASK_INTERVAL;
    }
}
