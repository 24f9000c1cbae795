//! One request that a router sends to targets directly: what an answer's head means, and whether
//! the request goes to another target after a failure.

use std::time::Duration;

use crate::{
    code::{Code, Execution},
    desired::{ResponseKind, Route},
    doc::Idempotency,
    name::TargetName,
    target::TargetLoad,
    time::Time,
};

/// Targets that are tried without having received the request, such as unreachable ones.
const MAX_UNSENT: u32 = 5;

/// The head of a target's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// Whether it carries the target's receipt.
    pub sealed: bool,
    /// Whether it names the request that was sent; `None` where it names none.
    pub matches: Option<bool>,
    /// Whether the target says that it did not run the request.
    pub not_run: bool,
    /// Whether the body is encoded, which callers never ask for.
    pub encoded: bool,
    /// Load of the target.
    pub load: Option<TargetLoad>,
}

/// What a head means for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Meaning {
    /// The caller's answer follows.
    Answer,
    /// The target failed the request.
    Failed,
    /// The target is full or leaving, and did not run the request.
    Declined,
    /// Another target has the address.
    WrongTarget,
    /// The bytes belong to no answer of this request.
    Foreign,
}

impl Head {
    /// What the head means.
    pub fn meaning(&self) -> Meaning {
        match self.status {
            421 => Meaning::WrongTarget,
            _ if self.matches == Some(false) => Meaning::Foreign,
            _ if self.not_run => Meaning::Declined,
            200..300 if self.sealed && self.matches == Some(true) && !self.encoded => {
                Meaning::Answer
            }
            200..300 => Meaning::Foreign,
            500.. => Meaning::Failed,
            _ if self.sealed => Meaning::Answer,
            _ => Meaning::Foreign,
        }
    }
}

/// How sending a request to a target failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request reached the target.
    NotSent,
    /// The target said that it did not run the request.
    Declined,
    /// Another target has the address and did not run the request.
    WrongTarget,
    /// The connection broke, or the answer was not whole or of another request.
    Broken,
    /// There was no answer in time.
    Silent,
    /// The target answered that it failed.
    Failed,
}

impl Failure {
    /// The name for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Declined => "declined",
            Self::WrongTarget => "wrong_target",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Failed => "failed",
        }
    }

    /// The result code where the caller learns of the failure.
    pub const fn code(self) -> Code {
        match self {
            Self::NotSent => Code::EngineUnreachable,
            Self::Declined => Code::EngineRefused,
            Self::WrongTarget => Code::WrongTarget,
            Self::Broken => Code::LinkLost,
            Self::Silent => Code::EngineTimeout,
            Self::Failed => Code::EngineFailed,
        }
    }
}

/// What follows a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Choose another target; `repeat` when it has to be taken from the retry budget.
    Again {
        /// Whether a target has received the request before.
        repeat: bool,
    },
    /// Give the caller the target's own failure.
    PassOn,
    /// End with this code.
    GiveUp(Code),
}

/// The state of one request.
#[derive(Debug, Clone)]
pub struct Passage {
    repeat: Idempotency,
    resumable: bool,
    max_attempts: u32,
    expires: Time,
    tried: Vec<TargetName>,
    received: u32,
    unsent: u32,
    passed_on: bool,
    may_have_run: Option<Code>,
}

impl Passage {
    /// A request of `route` that arrived at `now` and whose caller waits for `left`.
    pub fn start(route: &Route, left: Duration, now: Time) -> Self {
        let resumable = route.response == ResponseKind::EventStream { resumable: true };
        Self {
            repeat: route.idempotency,
            resumable,
            max_attempts: route.max_attempts.max(1),
            expires: now + left.min(route.timeout),
            tried: Vec::new(),
            received: 0,
            unsent: 0,
            passed_on: false,
            may_have_run: None,
        }
    }

    /// When the caller must have its answer.
    pub fn expires(&self) -> Time {
        self.expires
    }

    /// Whether the request may run more than once.
    pub fn repeat(&self) -> Idempotency {
        self.repeat
    }

    /// Targets that were tried.
    pub fn tried(&self) -> &[TargetName] {
        &self.tried
    }

    /// Whether another target may still be tried after one that has received the request.
    pub fn has_spare(&self) -> bool {
        self.repeat == Idempotency::Idempotent && self.received + 1 < self.max_attempts
    }

    /// Records that a part of an answer went to the caller.
    pub fn passed_on(&mut self) {
        self.passed_on = true;
    }

    /// Decides after `target` failed.
    pub fn failed(&mut self, target: &TargetName, failure: Failure, now: Time) -> Next {
        self.tried.push(target.clone());
        let code = failure.code();
        match failure {
            // The addressee itself never had the request.
            Failure::NotSent | Failure::WrongTarget => self.unsent += 1,
            _ => self.received += 1,
        }
        if code.execution() != Execution::NotRun {
            self.may_have_run = Some(code);
        }
        let again = Next::Again {
            repeat: failure != Failure::NotSent || self.received > 0,
        };
        let may_repeat =
            code.execution() == Execution::NotRun || self.repeat == Idempotency::Idempotent;
        let room = self.received < self.max_attempts && self.unsent < MAX_UNSENT;
        if now < self.expires && may_repeat && room && (!self.passed_on || self.resumable) {
            return again;
        }
        if failure == Failure::Failed && !self.passed_on {
            return Next::PassOn;
        }
        Next::GiveUp(self.final_code(code))
    }

    /// The code for the caller when the request ends without an answer because of `code`; a
    /// refusal of the last target does not speak for an earlier one that may have run it.
    pub fn final_code(&self, code: Code) -> Code {
        if self.passed_on {
            return Code::StreamCut;
        }
        match self.may_have_run {
            Some(earlier) if code.execution() == Execution::NotRun => earlier,
            _ => code,
        }
    }
}
