//! One request in the router: attempts, resumed answers and the end that the caller sees.

use std::time::Duration;

use crate::{
    answer::Assembly,
    code::{Code, Ran},
    doc::Repeat,
    id::{AttemptId, RequestId},
    name::{TargetName, ZoneName},
    retry::{self, FailedAttempt, RetryDecision},
    time::Time,
};

/// Times that a broken connection is replaced without a byte of progress in between. Answers that
/// last over several breaks were given up when breaks were counted over the whole attempt.
const MAX_RESUMES: u32 = 8;

/// What happened to the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A target was chosen.
    TargetChosen {
        /// The target.
        target: TargetName,
        /// Its zone.
        zone: ZoneName,
    },
    /// There is no target to choose.
    NoTarget(Code),
    /// The retry budget is used up.
    RetryDenied,
    /// The pause before a retry is over.
    PauseEnded,
    /// There is no connection to the target, and nothing was sent on one.
    Unreachable,
    /// The connection broke after something was sent.
    ConnectionLost,
    /// No connection for resuming could be made.
    ResumeFailed,
    /// The back end has started to answer.
    AnswerStarted(AttemptId),
    /// A part of the answer arrived.
    Part {
        /// The attempt that the part names.
        attempt: AttemptId,
        /// Position of its first byte.
        offset: u64,
        /// Its length in bytes.
        len: u64,
    },
    /// The end of the answer arrived.
    AnswerEnded {
        /// The attempt that the end names.
        attempt: AttemptId,
        /// Length of the whole answer.
        length: u64,
    },
    /// The target refused, or failed to answer whole.
    Refused {
        /// The attempt that the refusal names.
        attempt: AttemptId,
        /// Why.
        code: Code,
    },
    /// The caller's deadline passed.
    Expired,
    /// The caller went away.
    CallerGone,
}

/// What the router does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Choose a target that is not among `tried`, those in `zones` last.
    Choose,
    /// Connect and submit the attempt.
    Submit(AttemptId),
    /// Take a retry from the budget unless it is free, then wait.
    Pause {
        /// How long to wait.
        after: Duration,
        /// Whether the budget is spared.
        free: bool,
    },
    /// Connect to the same target again and ask for the answer from `offset` on.
    Resume {
        /// The attempt.
        attempt: AttemptId,
        /// Bytes of the answer that have arrived.
        offset: u64,
    },
    /// Wait for the next message.
    Receive,
    /// Drop the message, count it and wait for the next one.
    Drop,
    /// Give the part to the caller without its first `skip` bytes.
    Deliver {
        /// Bytes that arrived before.
        skip: u64,
    },
    /// The answer is whole.
    Finish,
    /// Tell the target to stop, and end.
    Cancel(AttemptId),
    /// Tell the caller that there is no whole answer.
    Fail(Code),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Choosing,
    Submitted,
    Pausing,
    Ended,
}

/// The state of one request.
#[derive(Debug, Clone)]
pub struct RelayedRequest {
    request: RequestId,
    repeat: Repeat,
    deadline: Time,
    attempts: u32,
    resumes: u32,
    state: State,
    answer: Assembly,
    tried: Vec<TargetName>,
    zones_last: Vec<ZoneName>,
    zone: Option<ZoneName>,
    crashed_on: Option<TargetName>,
    last_code: Code,
    /// The last failure that does not exclude that the request ran.
    may_have_run: Option<Code>,
}

impl RelayedRequest {
    /// Starts with choosing a target.
    pub fn start(request: RequestId, repeat: Repeat, deadline: Time) -> (Self, Action) {
        let request_state = Self {
            request,
            repeat,
            deadline,
            attempts: 0,
            resumes: 0,
            state: State::Choosing,
            answer: Assembly::new(AttemptId { request, number: 0 }),
            tried: Vec::new(),
            zones_last: Vec::new(),
            zone: None,
            crashed_on: None,
            last_code: Code::NoTarget,
            may_have_run: None,
        };
        (request_state, Action::Choose)
    }

    /// Targets that were tried.
    pub fn tried(&self) -> &[TargetName] {
        &self.tried
    }

    /// Zones whose targets are to be tried last.
    pub fn zones_last(&self) -> &[ZoneName] {
        &self.zones_last
    }

    /// The target that crashed while it ran the request.
    pub fn crashed_on(&self) -> Option<&TargetName> {
        self.crashed_on.as_ref()
    }

    /// Whether a part of the answer has gone to the caller.
    pub fn has_begun(&self) -> bool {
        self.answer.received() > 0
    }

    /// Takes an event; `random` is uniform in 0..1.
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
                    // Nothing is running: the last attempt's own code tells more than the time.
                    _ if self.attempts > 0 => self.last_code,
                    _ => Code::DeadlinePassed,
                };
                self.fail(code)
            }
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
                self.answer = Assembly::new(AttemptId { request, number });
                Action::Submit(self.current_attempt())
            }
            (State::Choosing, Event::NoTarget(code)) => {
                let code = if self.attempts > 0 {
                    self.last_code
                } else {
                    code
                };
                self.fail(code)
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
                match self.answer.part(attempt, offset, len) {
                    Ok(skip) if skip == len => Action::Drop,
                    Ok(skip) => {
                        self.resumes = 0;
                        Action::Deliver { skip }
                    }
                    // Bytes are missing: the target still has them.
                    Err(_) => self.resume_or_fail(random, now),
                }
            }
            Event::AnswerEnded { attempt, length } if attempt == self.current_attempt() => {
                match self.answer.done(attempt, length) {
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
        // Two generations must not be spliced, so that nothing is tried again after the first
        // part.
        if self.has_begun() {
            return self.fail(Code::StreamCut);
        }
        self.last_code = code;
        if code.ran() != Ran::NotRun {
            self.may_have_run = Some(code);
        }
        let failed = FailedAttempt {
            code,
            repeat: self.repeat,
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

    /// A refusal of the last attempt does not speak for an earlier one that may have run.
    fn fail(&mut self, code: Code) -> Action {
        self.state = State::Ended;
        match self.may_have_run {
            Some(earlier) if code.ran() == Ran::NotRun => Action::Fail(earlier),
            _ => Action::Fail(code),
        }
    }
}
