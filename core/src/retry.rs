//! Whether and when a request is tried again.

use std::time::Duration;

use crate::{
    code::{Code, Execution},
    doc::Idempotency,
};

/// Retries that a router may make before its first attempts have paid for them, so that a router
/// with little traffic survives the loss of one target.
const RESERVE: f64 = 100.0;
/// Bounds of the pause before a retry; the pause doubles with each retry between them.
const BACKOFF: [Duration; 2] = [Duration::from_millis(4), Duration::from_millis(250)];
/// Attempts for one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// A token bucket that first attempts fill and retries empty.
#[derive(Debug, Clone)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// A full bucket that allows `share` retries for each first attempt.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: RESERVE,
        }
    }

    /// Takes the share from a new document.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Records a first attempt.
    pub fn first(&mut self) {
        self.tokens = (self.tokens + self.share).min(RESERVE);
    }

    /// Takes the price of one retry; false when there is not enough left.
    pub fn take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// The code of the failure.
    pub code: Code,
    /// Whether the request may run again.
    pub repeat: Idempotency,
    /// Attempts made so far.
    pub attempts: u32,
    /// Time until the caller's deadline.
    pub left: Duration,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
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
pub fn decide(outcome: Outcome, random: f64) -> Verdict {
    let Some(kind) = kind(outcome.code) else {
        return Verdict::GiveUp;
    };
    let may_repeat = match (outcome.code.execution(), outcome.repeat) {
        (Execution::NotRun, _) | (Execution::Unknown, Idempotency::Idempotent) => true,
        (Execution::Ran, _) | (Execution::Unknown, Idempotency::AtMostOnce) => false,
    };
    let after = match kind {
        Kind::Redirect if outcome.attempts <= 1 => Duration::ZERO,
        _ => pause(outcome.attempts, random),
    };
    if !may_repeat || outcome.attempts >= MAX_ATTEMPTS || after >= outcome.left {
        return Verdict::GiveUp;
    }
    Verdict::Retry {
        after,
        free: kind == Kind::Redirect,
        zone_last: kind == Kind::Place,
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// The target does not take new work for a reason of its own; this adds no load elsewhere
    /// that was not meant to move.
    Redirect,
    /// The cause may lie in the place, so that neighbours are affected too.
    Place,
    /// Any other cause that another target may not share.
    Other,
}

fn kind(code: Code) -> Option<Kind> {
    match code {
        Code::Leaving
        | Code::ShuttingDown
        | Code::WrongTarget
        | Code::ZoneOut
        | Code::Moved
        | Code::OverBound => Some(Kind::Redirect),
        Code::LinkLost | Code::EngineUnreachable => Some(Kind::Place),
        Code::Overloaded
        | Code::ColdStart
        | Code::SuspectBusy
        | Code::EngineRefused
        | Code::EngineFailed
        | Code::EngineCrashed
        | Code::AnswerMismatch => Some(Kind::Other),
        _ => None,
    }
}

/// Half of the exponential pause is fixed and half random, so that retries neither come at once
/// nor in step.
fn pause(attempts: u32, random: f64) -> Duration {
    let factor = 1 << attempts.saturating_sub(1).min(16);
    let full = (BACKOFF[0] * factor).min(BACKOFF[1]);
    full.mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
}
