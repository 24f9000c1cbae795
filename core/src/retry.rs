//! Retry policy: whether a failed request is retried, and after which delay.

use std::{num::NonZeroU32, time::Duration};

use crate::{
    code::{Code, Execution},
    doc::Idempotency,
};

/// Capacity of the token bucket in retries.
const MAX_TOKENS: f64 = 100.0;
/// Retries beyond the ratio that all routers of the fleet together may send after their start. They
/// let routers with little traffic survive the loss of one target.
const FLEET_RESERVE: f64 = 100.0;
/// Part of the reserve that a router has before it knows the others, so that the first requests after
/// its start survive the loss of one target.
const START_TOKENS: f64 = 3.0;
/// Shortest and longest backoff before jitter; it doubles with each attempt within these limits.
const BACKOFF_RANGE: [Duration; 2] = [Duration::from_millis(4), Duration::from_millis(250)];
/// Maximum number of attempts for one request, the first one included.
pub const MAX_ATTEMPTS: u32 = 4;

/// Token bucket that is refilled by first attempts and drained by retries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    retry_ratio: f64,
    tokens: f64,
    has_reserve: bool,
}

impl RetryBudget {
    /// Creates a bucket with the tokens of a router that knows no others; each first attempt adds
    /// `retry_ratio` tokens, and a retry costs one.
    pub fn new(retry_ratio: f64) -> Self {
        Self {
            retry_ratio,
            tokens: START_TOKENS,
            has_reserve: false,
        }
    }

    /// Adds what is missing of this router's part of the fleet's reserve, divided by the routers that
    /// are known; it is added once only.
    pub fn add_reserve(&mut self, routers: NonZeroU32) {
        if !self.has_reserve {
            self.has_reserve = true;
            let part = FLEET_RESERVE / f64::from(routers.get());
            self.tokens = (self.tokens + (part - START_TOKENS).max(0.0)).min(MAX_TOKENS);
        }
    }

    /// Applies a changed ratio from the configuration; the bucket keeps its level.
    pub fn set_retry_ratio(&mut self, retry_ratio: f64) {
        self.retry_ratio = retry_ratio;
    }

    /// Adds the tokens for a first attempt.
    pub fn record_first(&mut self) {
        self.tokens = (self.tokens + self.retry_ratio).min(MAX_TOKENS);
    }

    /// Takes one token for a retry; returns false if less than one token is left.
    pub fn try_take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// A failed attempt and the state of its request.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// The result code of the failure.
    pub code: Code,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Number of attempts made so far, the failed one included.
    pub attempts: u32,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Return the failure to the caller.
    GiveUp,
    /// Make another attempt on a different target.
    Retry {
        /// Delay before the attempt.
        after: Duration,
        /// Whether the attempt bypasses the retry budget, because the target is shutting down, or
        /// should not have received the request at all.
        free: bool,
        /// Whether targets in the zone of the failed target are chosen only if there is no other.
        zone_last: bool,
    },
}

/// Decides whether to retry after a failed attempt; `random` is uniformly distributed in 0..1.
pub fn decide(failed: FailedAttempt, random: f64) -> RetryDecision {
    let Some(kind) = failure_kind(failed.code) else {
        return RetryDecision::GiveUp;
    };
    let may_repeat = match (failed.code.execution(), failed.idempotency) {
        (Execution::NotRun, _) | (Execution::Unknown, Idempotency::Idempotent) => true,
        (Execution::Ran, _) | (Execution::Unknown, Idempotency::AtMostOnce) => false,
    };
    let after = match kind {
        FailureKind::Redirect if failed.attempts <= 1 => Duration::ZERO,
        _ => backoff(failed.attempts, random),
    };
    if !may_repeat || failed.attempts >= MAX_ATTEMPTS || after >= failed.time_left {
        return RetryDecision::GiveUp;
    }
    RetryDecision::Retry {
        after,
        free: kind == FailureKind::Redirect,
        zone_last: kind == FailureKind::ZoneWide,
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum FailureKind {
    /// The target declines new work for a reason of its own, such as shutdown. Retrying elsewhere
    /// adds no load beyond the traffic that has to move anyway.
    Redirect,
    /// The cause may affect the whole zone.
    ZoneWide,
    /// Another cause, which other targets may not share.
    Other,
}

fn failure_kind(code: Code) -> Option<FailureKind> {
    match code {
        Code::Leaving
        | Code::ShuttingDown
        | Code::WrongTarget
        | Code::ZoneOut
        | Code::Moved
        | Code::OverBound => Some(FailureKind::Redirect),
        Code::LinkLost | Code::EngineUnreachable => Some(FailureKind::ZoneWide),
        Code::Overloaded
        | Code::ColdStart
        | Code::SuspectBusy
        | Code::EngineRefused
        | Code::EngineFailed
        | Code::EngineCrashed
        | Code::AnswerMismatch => Some(FailureKind::Other),
        _ => None,
    }
}

/// Exponential backoff with jitter. One half of the delay is fixed, so that retries do not come at
/// once; the other half is random, so that they are not synchronised.
fn backoff(attempts: u32, random: f64) -> Duration {
    let factor = 1 << attempts.saturating_sub(1).min(16);
    let full = (BACKOFF_RANGE[0] * factor).min(BACKOFF_RANGE[1]);
    full.mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
}
