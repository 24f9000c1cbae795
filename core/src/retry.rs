//! Whether and when a request is tried again.

use std::time::Duration;

use crate::{
    code::{Code, Ran},
    doc::Repeat,
};

/// Retries that a router may make before its first attempts have paid for them, so that a router
/// with little traffic survives the loss of one target.
const MAX_TOKENS: f64 = 100.0;
/// Bounds of the pause before a retry; the pause doubles with each retry between them.
const BACKOFF_RANGE: [Duration; 2] = [Duration::from_millis(4), Duration::from_millis(250)];
/// Attempts for one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// A token bucket that first attempts fill and retries empty.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    retry_ratio: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A full bucket that allows `share` retries for each first attempt.
    pub fn new(retry_ratio: f64) -> Self {
        Self {
            retry_ratio,
            tokens: MAX_TOKENS,
        }
    }

    /// Takes the share from a new document.
    pub fn set_retry_ratio(&mut self, retry_ratio: f64) {
        self.retry_ratio = retry_ratio;
    }

    /// Records a first attempt.
    pub fn record_first(&mut self) {
        self.tokens = (self.tokens + self.retry_ratio).min(MAX_TOKENS);
    }

    /// Takes the price of one retry; false when there is not enough left.
    pub fn try_take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// The code of the failure.
    pub code: Code,
    /// Whether the request may run again.
    pub repeat: Repeat,
    /// Attempts made so far.
    pub attempts: u32,
    /// Time until the caller's deadline.
    pub time_left: Duration,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Tell the caller.
    GiveUp,
    /// Try another target.
    Retry {
        /// Pause before the attempt.
        after: Duration,
        /// Whether the attempt costs nothing, since the target said that it is going or was
        /// never meant.
        free: bool,
        /// Whether the failed target's zone is tried last.
        zone_last: bool,
    },
}

/// Decides after a failed attempt; `random` is uniform in 0..1.
pub fn decide(failed: FailedAttempt, random: f64) -> RetryDecision {
    let Some(kind) = failure_kind(failed.code) else {
        return RetryDecision::GiveUp;
    };
    let may_repeat = match (failed.code.ran(), failed.repeat) {
        (Ran::NotRun, _) | (Ran::Unknown, Repeat::Idempotent) => true,
        (Ran::Ran, _) | (Ran::Unknown, Repeat::AtMostOnce) => false,
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
    /// The target does not take new work for a reason of its own; this adds no load elsewhere
    /// that was not meant to move.
    Redirect,
    /// The cause may lie in the place, so that neighbours are affected too.
    ZoneWide,
    /// Any other cause that another target may not share.
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

/// Half of the exponential pause is fixed and half random, so that retries neither come at once
/// nor in step.
fn backoff(attempts: u32, random: f64) -> Duration {
    let factor = 1 << attempts.saturating_sub(1).min(16);
    let full = (BACKOFF_RANGE[0] * factor).min(BACKOFF_RANGE[1]);
    full.mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
}
