//! State machine of one request that a router relays through agents: attempts, resumed connections
//! and the final result for the caller.

use std::time::Duration;

use crate::{
    answer::AnswerAssembly,
    code::{Code, Execution},
    doc::Idempotency,
    id::{AttemptId, RequestId},
    name::{TargetName, ZoneName},
    retry::{self, FailedAttempt, RetryDecision},
    time::Time,
};

/// Consecutive reconnects without progress after which an attempt fails. The counter restarts with
/// every new part of the answer, because a limit per attempt made long answers fail that had
/// survived several disconnects.
pub const MAX_RESUMES: u32 = 8;

/// Time for which an agent keeps an attempt whose connection has broken, and for which the router tries
/// to reach the agent again.
pub const RESUME_TIMEOUT: Duration = Duration::from_secs(2);

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A target was chosen for the next attempt.
    TargetChosen {
        /// Target of the attempt; later attempts of the request use others.
        target: TargetName,
        /// Zone of the target, which is tried last after a failure that may affect the whole zone.
        zone: ZoneName,
    },
    /// No target could be chosen; the code says why.
    NoTarget(Code),
    /// The retry budget is exhausted.
    RetryDenied,
    /// The backoff before a retry has elapsed.
    PauseEnded,
    /// No connection to the target could be made, so nothing was sent.
    Unreachable,
    /// The connection broke after the request or a part of it was sent.
    ConnectionLost,
    /// No connection for resuming the answer could be made.
    ResumeFailed,
    /// The target has started to answer.
    AnswerStarted(AttemptId),
    /// A part of the answer arrived.
    Part {
        /// The attempt that the message names.
        attempt: AttemptId,
        /// Position of the part's first byte in the answer.
        offset: u64,
        /// Length of the part in bytes.
        len: u64,
    },
    /// The end of the answer arrived.
    AnswerEnded {
        /// The attempt that the message names.
        attempt: AttemptId,
        /// Total length of the answer in bytes.
        length: u64,
    },
    /// The target refused the request or failed before the answer was complete.
    Refused {
        /// The attempt that the message names.
        attempt: AttemptId,
        /// The result code that the target sent.
        code: Code,
    },
    /// The caller's deadline has passed.
    Expired,
    /// The router ends soon and no part of the answer has been sent, or it ends now.
    Stopping,
    /// The caller disconnected.
    CallerGone,
}

/// An output of the state machine: what the router must do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Choose a target that is not in [`RelayedRequest::excluded`]; those in
    /// [`RelayedRequest::zones_last`] only if there is no other.
    Choose,
    /// Connect to the chosen target and send the request as this attempt.
    Submit(AttemptId),
    /// Take a token from the retry budget unless `free` is set, then wait.
    Pause {
        /// How long to wait.
        after: Duration,
        /// Whether the retry bypasses the budget.
        free: bool,
    },
    /// Reconnect to the same target and request the answer from `offset` on.
    Resume {
        /// The attempt whose answer is resumed.
        attempt: AttemptId,
        /// Number of answer bytes that have already arrived.
        offset: u64,
    },
    /// Wait for the next message.
    Receive,
    /// Discard the message, count it and wait for the next one.
    Drop,
    /// Send the part to the caller without its first `skip` bytes.
    Deliver {
        /// Number of leading bytes of the part that have already been sent.
        skip: u64,
    },
    /// End the answer to the caller; it is complete.
    Finish,
    /// Tell the target to cancel the attempt; the caller is gone.
    Cancel(AttemptId),
    /// End the request with this result code, as there is no complete answer.
    Fail(Code),
    /// The same, and then tell the target to cancel the attempt.
    Abandon {
        /// The running attempt.
        attempt: AttemptId,
        /// Result code for the caller.
        code: Code,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Choosing,
    Submitted,
    Pausing,
    Ended,
}

/// State of one request from its first attempt to its result.
#[derive(Debug, Clone)]
pub struct RelayedRequest {
    request: RequestId,
    idempotency: Idempotency,
    deadline: Time,
    attempts: u32,
    resumes: u32,
    state: State,
    answer: AnswerAssembly,
    tried: Vec<TargetName>,
    /// Targets that have sent the request elsewhere, although they could run it.
    redirecting: Vec<TargetName>,
    ignores_redirects: bool,
    zones_last: Vec<ZoneName>,
    zone: Option<ZoneName>,
    crashed_on: Option<TargetName>,
    last_code: Code,
    /// Code of the last failed attempt that may have run the request.
    may_have_run: Option<Code>,
}

impl RelayedRequest {
    /// Creates the state; the first action is to choose a target.
    pub fn start(request: RequestId, idempotency: Idempotency, deadline: Time) -> (Self, Action) {
        let request_state = Self {
            request,
            idempotency,
            deadline,
            attempts: 0,
            resumes: 0,
            state: State::Choosing,
            answer: AnswerAssembly::new(AttemptId { request, number: 0 }),
            tried: Vec::new(),
            redirecting: Vec::new(),
            ignores_redirects: false,
            zones_last: Vec::new(),
            zone: None,
            crashed_on: None,
            last_code: Code::NoTarget,
            may_have_run: None,
        };
        (request_state, Action::Choose)
    }

    /// Targets of all attempts so far, in order.
    pub fn tried(&self) -> &[TargetName] {
        &self.tried
    }

    /// Targets that must not be chosen any more.
    pub fn excluded(&self) -> Vec<TargetName> {
        let tried = self.tried.iter();
        let may_return = |name| self.ignores_redirects && self.redirecting.contains(name);
        tried.filter(|name| !may_return(name)).cloned().collect()
    }

    /// Whether the next target has to run the request itself instead of sending it to another one.
    pub fn ignores_redirects(&self) -> bool {
        self.ignores_redirects
    }

    /// Zones that may have a fault; their targets are chosen only if there is no other.
    pub fn zones_last(&self) -> &[ZoneName] {
        &self.zones_last
    }

    /// The last target that crashed while it ran the request.
    pub fn crashed_on(&self) -> Option<&TargetName> {
        self.crashed_on.as_ref()
    }

    /// Whether any byte of the answer has been sent to the caller.
    pub fn has_begun(&self) -> bool {
        self.answer.received() > 0
    }

    /// Processes an event and returns the next action; `random` is uniformly distributed in 0..1
    /// and sets the jitter of the backoff.
    pub fn on_event(&mut self, event: Event, random: f64, now: Time) -> Action {
        match (self.state, event) {
            (State::Ended, _) => Action::Drop,
            (_, Event::CallerGone) => {
                let submitted = self.state == State::Submitted;
                self.state = State::Ended;
                if submitted {
                    Action::Cancel(self.current_attempt())
                } else {
                    Action::Fail(self.last_code)
                }
            }
            (_, Event::Expired) => {
                let code = match (self.state, self.has_begun()) {
                    (State::Submitted, true) => Code::StreamCut,
                    (State::Submitted, false) => Code::EngineTimeout,
                    // No attempt is running: the code of the last attempt says more than the
                    // deadline does.
                    _ if self.attempts > 0 => self.last_code,
                    _ => Code::DeadlinePassed,
                };
                self.fail(code)
            }
            (State::Submitted, Event::Stopping) => {
                let attempt = self.current_attempt();
                let code = if self.has_begun() {
                    Code::StreamCut
                } else {
                    Code::LinkLost
                };
                match (self.fail(code), self.idempotency) {
                    // The caller may send it to another router at once.
                    (Action::Fail(code), Idempotency::Idempotent) => {
                        Action::Abandon { attempt, code }
                    }
                    // What may run once is not broken off before the agent's wait for a router ends.
                    (action, _) => action,
                }
            }
            (_, Event::Stopping) => self.fail(Code::ShuttingDown),
            (State::Choosing, Event::TargetChosen { target, zone }) => {
                if self.deadline <= now {
                    return self.fail(Code::DeadlinePassed);
                }
                let number = self.attempts;
                self.attempts += 1;
                self.resumes = 0;
                self.tried.push(target);
                self.zone = Some(zone);
                self.state = State::Submitted;
                let request = self.request;
                self.answer = AnswerAssembly::new(AttemptId { request, number });
                Action::Submit(self.current_attempt())
            }
            (State::Choosing, Event::NoTarget(_)) if self.may_return() => {
                self.return_to_redirecting()
            }
            (State::Choosing, Event::NoTarget(code)) => {
                let code = if self.attempts > 0 {
                    self.last_code
                } else {
                    code
                };
                self.fail(code)
            }
            // The return is no retry while nothing has run the request.
            (State::Pausing, Event::RetryDenied)
                if self.may_return() && self.may_have_run.is_none() =>
            {
                self.return_to_redirecting()
            }
            (State::Pausing, Event::RetryDenied) => self.fail(self.last_code),
            (State::Pausing, Event::PauseEnded) => {
                self.state = State::Choosing;
                Action::Choose
            }
            (State::Submitted, event) => self.on_answer(event, random, now),
            _ => Action::Drop,
        }
    }

    fn on_answer(&mut self, event: Event, random: f64, now: Time) -> Action {
        match event {
            Event::Unreachable => self.on_failure(Code::EngineUnreachable, random, now),
            Event::ConnectionLost => self.resume_or_fail(random, now),
            Event::ResumeFailed => self.on_failure(Code::LinkLost, random, now),
            Event::AnswerStarted(attempt) if attempt == self.current_attempt() => Action::Receive,
            Event::Part {
                attempt,
                offset,
                len,
            } if attempt == self.current_attempt() => {
                match self.answer.accept_part(attempt, offset, len) {
                    Ok(skip) if skip == len => Action::Drop,
                    Ok(skip) => {
                        self.resumes = 0;
                        Action::Deliver { skip }
                    }
                    // Bytes are missing here, but the target still has them.
                    Err(_) => self.resume_or_fail(random, now),
                }
            }
            Event::AnswerEnded { attempt, length } if attempt == self.current_attempt() => {
                match self.answer.check_end(attempt, length) {
                    Ok(()) => {
                        self.state = State::Ended;
                        Action::Finish
                    }
                    Err(_) => self.resume_or_fail(random, now),
                }
            }
            Event::Refused { attempt, code } if attempt == self.current_attempt() => {
                if code == Code::EngineCrashed {
                    self.crashed_on = self.tried.last().cloned();
                }
                if matches!(code, Code::Moved | Code::OverBound) {
                    self.redirecting.extend(self.tried.last().cloned());
                }
                self.on_failure(code, random, now)
            }
            _ => Action::Drop,
        }
    }

    fn current_attempt(&self) -> AttemptId {
        AttemptId {
            request: self.request,
            number: self.attempts.saturating_sub(1),
        }
    }

    fn may_return(&self) -> bool {
        !self.redirecting.is_empty() && !self.ignores_redirects
    }

    /// Goes back to a target that has sent the request elsewhere, since no other target takes it.
    fn return_to_redirecting(&mut self) -> Action {
        self.ignores_redirects = true;
        self.state = State::Choosing;
        Action::Choose
    }

    fn resume_or_fail(&mut self, random: f64, now: Time) -> Action {
        if self.resumes >= MAX_RESUMES {
            return self.on_failure(Code::LinkLost, random, now);
        }
        self.resumes += 1;
        Action::Resume {
            attempt: self.current_attempt(),
            offset: self.answer.received(),
        }
    }

    fn on_failure(&mut self, code: Code, random: f64, now: Time) -> Action {
        // Parts of two generated answers must not be mixed, so there is no retry after the first
        // part.
        if self.has_begun() {
            return self.fail(Code::StreamCut);
        }
        self.last_code = code;
        if code.execution() != Execution::NotRun {
            self.may_have_run = Some(code);
        }
        let failed = FailedAttempt {
            code,
            idempotency: self.idempotency,
            attempts: self.attempts,
            time_left: self.deadline.since(now),
        };
        match retry::decide(failed, random) {
            RetryDecision::GiveUp => self.fail(code),
            RetryDecision::Retry {
                after,
                free,
                zone_last,
            } => {
                if let Some(zone) = self.zone.take().filter(|_| zone_last) {
                    self.zones_last.push(zone);
                }
                self.state = State::Pausing;
                Action::Pause { after, free }
            }
        }
    }

    /// If the last attempt did not run but an earlier one may have, the code of the earlier one is
    /// returned.
    fn fail(&mut self, code: Code) -> Action {
        self.state = State::Ended;
        match self.may_have_run {
            Some(earlier) if code.execution() == Execution::NotRun => Action::Fail(earlier),
            _ => Action::Fail(code),
        }
    }
}
