//! One request that a router sends to targets directly over HTTP: how an answer's status and
//! headers are classified, and whether the request is retried after a failure.

use std::time::Duration;

use crate::{
    answer::is_final_status,
    code::{Code, Execution},
    desired::{DesiredRoute, ResponseKind},
    doc::Idempotency,
    name::TargetName,
    notice::Notices,
    outcome::End,
    target::ReportedLoad,
    time::Time,
};

/// Maximum number of targets tried that did not receive the request, for example because they were
/// unreachable.
const MAX_UNSENT_ATTEMPTS: u32 = 5;

/// Status and relevant headers of a target's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerHead {
    /// The HTTP status code.
    pub status: u16,
    /// Whether the answer has the seal header that a target adds to its own answers.
    pub sealed: bool,
    /// Whether the request identifier in the answer is that of the request; `None` if the answer
    /// has no identifier.
    pub matches: Option<bool>,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Whether the body has a content encoding; the router never requests one.
    pub encoded: bool,
    /// The load that the target reports; `None` if the answer has no load header.
    pub load: Option<ReportedLoad>,
    /// What the target states about itself.
    pub notices: Notices,
}

/// Classification of an answer by its status and headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The answer for the caller.
    Answer,
    /// The target failed to process the request.
    Failed,
    /// The target is full or shutting down and did not run the request.
    Declined,
    /// The address belongs to a different target now.
    WrongTarget,
    /// The answer is not a valid answer to this request.
    Unrelated,
}

impl AnswerHead {
    /// Classifies the answer.
    ///
    /// Nothing is concluded from an answer that does not name this attempt, since a target may
    /// write an earlier answer once more. The request has not run only if the target states so with
    /// a status for that purpose. A success counts only with the seal and without a content
    /// encoding. A status that no final answer has says nothing either.
    pub fn kind(&self) -> AnswerKind {
        if self.matches != Some(true) || !is_final_status(self.status) {
            return AnswerKind::Unrelated;
        }
        if self.not_run {
            return match self.status {
                421 => AnswerKind::WrongTarget,
                400 | 429 | 503 => AnswerKind::Declined,
                _ => AnswerKind::Unrelated,
            };
        }
        match self.status {
            200..300 if self.sealed && !self.encoded => AnswerKind::Answer,
            200..300 => AnswerKind::Unrelated,
            _ if self.states_not_run() => AnswerKind::Failed,
            500.. => AnswerKind::Failed,
            _ if self.sealed => AnswerKind::Answer,
            _ => AnswerKind::Unrelated,
        }
    }

    /// Whether an answer of the kind [`AnswerKind::Failed`] may be passed on to the caller. A
    /// status that tells callers that the request has not run is not passed on, because the target
    /// did not confirm that.
    pub fn may_pass_on(&self) -> bool {
        self.kind() == AnswerKind::Failed && self.sealed && !self.states_not_run()
    }

    /// Whether callers take the status as a statement that the request has not run.
    fn states_not_run(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request reached the target.
    NotSent,
    /// The target stated that it did not run the request.
    Declined,
    /// The address belongs to a different target, which did not run the request.
    WrongTarget,
    /// The connection broke, or the answer was incomplete or belongs to another request.
    Broken,
    /// The target sent more bytes than the limits on answers allow.
    Oversized,
    /// The target did not answer in time.
    TimedOut,
    /// The target answered with a server error.
    Failed,
    /// The router ends before the target has answered.
    Stopping,
}

impl Failure {
    /// Value of the failure in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Declined => "declined",
            Self::WrongTarget => "wrong_target",
            Self::Broken => "broken",
            Self::Oversized => "oversized",
            Self::TimedOut => "silent",
            Self::Failed => "failed",
            Self::Stopping => "stopping",
        }
    }

    /// Whether it is certain that the target has not run the request.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Declined | Self::WrongTarget)
    }

    /// The result code that the caller receives if the request ends with this failure.
    pub const fn code(self) -> Code {
        match self {
            Self::NotSent => Code::EngineUnreachable,
            Self::Declined => Code::EngineRefused,
            Self::WrongTarget => Code::WrongTarget,
            Self::Broken | Self::Oversized | Self::Stopping => Code::LinkLost,
            Self::TimedOut => Code::EngineTimeout,
            Self::Failed => Code::EngineFailed,
        }
    }

    /// Result of the attempt for the judgement of its target. The end of the router says nothing
    /// about the target.
    pub const fn end(self) -> End {
        match self {
            Self::Stopping => End::Cancelled,
            failure => End::Failed(failure),
        }
    }
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Try another target.
    Again {
        /// Whether the next attempt counts against the retry budget, because a target may have
        /// received the request before. The log shows the name of the field.
        repeat: bool,
    },
    /// Return the target's own error answer to the caller.
    PassOn,
    /// End the request with this result code.
    GiveUp(Code),
}

/// State of one request across its attempts.
#[derive(Debug, Clone)]
pub struct DirectRequest {
    idempotency: Idempotency,
    resumable: bool,
    max_attempts: u32,
    deadline: Time,
    tried: Vec<TargetName>,
    received_attempts: u32,
    unsent_attempts: u32,
    /// Whether an attempt has reached a target, even one that it was not meant for.
    has_arrived: bool,
    answer_begun: bool,
    may_have_run: Option<Code>,
    /// Target that got the request while another one was silent, and was not kept. It may get it again
    /// when no further target may.
    withdrawn: Option<TargetName>,
}

impl DirectRequest {
    /// Creates the state of a request for `route` that arrived at `now`. The deadline is
    /// `time_left` later, or earlier if the route has a shorter timeout.
    pub fn start(route: &DesiredRoute, time_left: Duration, now: Time) -> Self {
        let resumable = route.response == ResponseKind::EventStream { resumable: true };
        Self {
            idempotency: route.idempotency,
            resumable,
            max_attempts: route.max_attempts.max(1),
            deadline: now + time_left.min(route.timeout),
            tried: Vec::new(),
            received_attempts: 0,
            unsent_attempts: 0,
            has_arrived: false,
            answer_begun: false,
            may_have_run: None,
            withdrawn: None,
        }
    }

    /// When the caller must have the complete answer.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Whether the request may run more than once.
    pub fn idempotency(&self) -> Idempotency {
        self.idempotency
    }

    /// Targets of all failed attempts so far, in order.
    pub fn tried(&self) -> &[TargetName] {
        &self.tried
    }

    /// Whether a further attempt is allowed if the current one fails after the target received the
    /// request.
    pub fn has_attempts_left(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
            && self.received_attempts + 1 < self.max_attempts
    }

    /// Whether another target may be asked to take over while the present one is silent.
    pub fn may_ask(&self, now: Time) -> bool {
        (self.has_attempts_left() || self.withdrawn.is_some())
            && self.unsent_attempts < MAX_UNSENT_ATTEMPTS
            && now < self.deadline
            && (!self.answer_begun || self.resumable)
    }

    /// The only target that may get the request besides the present one; `None` if any may.
    pub fn only_target(&self) -> Option<&TargetName> {
        let withdrawn = self.withdrawn.as_ref();
        withdrawn.filter(|_| !self.has_attempts_left())
    }

    /// Records that `target` has failed the request, or could not get it, while the present target was
    /// silent.
    pub fn record_second_failure(&mut self, target: &TargetName, failure: Failure) {
        self.tried.push(target.clone());
        let is_known = self.withdrawn.take_if(|known| known == target).is_some();
        match failure {
            Failure::NotSent | Failure::WrongTarget => self.unsent_attempts += 1,
            _ if is_known => {}
            _ => self.received_attempts += 1,
        }
        if failure.code().execution() != Execution::NotRun {
            self.may_have_run = Some(failure.code());
        }
    }

    /// Records that the request was ended at `target`, which got it while the present target was silent.
    pub fn record_withdrawn(&mut self, target: &TargetName) {
        let former = self.withdrawn.replace(target.clone());
        if former.as_ref() != Some(target) {
            self.received_attempts += 1;
            self.tried.extend(former);
        }
        self.may_have_run = Some(Failure::TimedOut.code());
    }

    /// Records that `target` has the request as the present one.
    pub fn record_present(&mut self, target: &TargetName) {
        // Its attempt is counted when it fails.
        if self.withdrawn.take_if(|known| known == target).is_some() {
            self.received_attempts -= 1;
        }
    }

    /// Whether a part of an answer was sent to the caller.
    pub fn has_begun(&self) -> bool {
        self.answer_begun
    }

    /// Records that a part of an answer was sent to the caller.
    pub fn record_answer_begun(&mut self) {
        self.answer_begun = true;
    }

    /// Records that the attempt at `target` failed and decides what to do next.
    pub fn on_failure(&mut self, target: &TargetName, failure: Failure, now: Time) -> NextStep {
        self.tried.push(target.clone());
        let code = failure.code();
        match failure {
            // The intended target did not receive the request.
            Failure::NotSent | Failure::WrongTarget => self.unsent_attempts += 1,
            _ => self.received_attempts += 1,
        }
        if code.execution() != Execution::NotRun {
            self.may_have_run = Some(code);
        }
        self.has_arrived |= failure != Failure::NotSent;
        let retry = NextStep::Again {
            repeat: self.has_arrived,
        };
        let may_repeat =
            code.execution() == Execution::NotRun || self.idempotency == Idempotency::Idempotent;
        let attempts_left = (self.received_attempts < self.max_attempts
            || self.withdrawn.is_some())
            && self.unsent_attempts < MAX_UNSENT_ATTEMPTS;
        if now < self.deadline
            && failure != Failure::Stopping
            && may_repeat
            && attempts_left
            && (!self.answer_begun || self.resumable)
        {
            return retry;
        }
        if failure == Failure::Failed && !self.answer_begun {
            return NextStep::PassOn;
        }
        NextStep::GiveUp(self.final_code(code))
    }

    /// The result code for the caller if the request ends without an answer because of `code`. If
    /// the last attempt did not run but an earlier one may have, this is the code of the earlier
    /// one. After a part of the answer was sent, it is [`Code::StreamCut`].
    pub fn final_code(&self, code: Code) -> Code {
        if self.answer_begun {
            return Code::StreamCut;
        }
        match self.may_have_run {
            Some(earlier) if code.execution() == Execution::NotRun => earlier,
            _ => code,
        }
    }
}
