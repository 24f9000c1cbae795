//! One request in the router: attempts, resumed answers and the end that the caller sees.

use std::time::Duration;

use crate::{
    answer::Assembly,
    code::{Code, Execution},
    doc::Idempotency,
    id::{AttemptId, RequestId},
    name::{TargetName, ZoneName},
    retry::{self, Outcome, Verdict},
    time::Time,
};

/// Times that a broken connection is replaced without a byte of progress in between. Answers that
/// last over several breaks were given up when breaks were counted over the whole attempt.
const MAX_RESUMES: u32 = 8;

/// What happened to the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A target was chosen.
    Chosen {
        /// The target.
        target: TargetName,
        /// Its zone.
        zone: ZoneName,
    },
    /// There is no target to choose.
    NoChoice(Code),
    /// The retry budget is used up.
    Denied,
    /// The pause before a retry is over.
    Waited,
    /// There is no connection to the target, and nothing was sent on one.
    Unreachable,
    /// The connection broke after something was sent.
    Lost,
    /// No connection for resuming could be made.
    NotResumed,
    /// The back end has started to answer.
    Head(AttemptId),
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
    Done {
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
pub struct Flow {
    request: RequestId,
    repeat: Idempotency,
    deadline: Time,
    attempts: u32,
    resumes: u32,
    state: State,
    answer: Assembly,
    tried: Vec<TargetName>,
    zones: Vec<ZoneName>,
    zone: Option<ZoneName>,
    crashed_on: Option<TargetName>,
    last: Code,
    /// The last failure that does not exclude that the request ran.
    may_have_run: Option<Code>,
}

impl Flow {
    /// Starts with choosing a target.
    pub fn start(request: RequestId, repeat: Idempotency, deadline: Time) -> (Self, Action) {
        let flow = Self {
            request,
            repeat,
            deadline,
            attempts: 0,
            resumes: 0,
            state: State::Choosing,
            answer: Assembly::new(AttemptId { request, number: 0 }),
            tried: Vec::new(),
            zones: Vec::new(),
            zone: None,
            crashed_on: None,
            last: Code::NoTarget,
            may_have_run: None,
        };
        (flow, Action::Choose)
    }

    /// Targets that were tried.
    pub fn tried(&self) -> &[TargetName] {
        &self.tried
    }

    /// Zones whose targets are to be tried last.
    pub fn zones(&self) -> &[ZoneName] {
        &self.zones
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
                    Action::Cancel(self.attempt())
                } else {
                    Action::Fail(self.last)
                }
            }
            (_, Event::Expired) => {
                let code = match (self.state, self.has_begun()) {
                    (State::Submitted, true) => Code::StreamCut,
                    (State::Submitted, false) => Code::EngineTimeout,
                    // Nothing is running: the last attempt's own code tells more than the time.
                    _ if self.attempts > 0 => self.last,
                    _ => Code::DeadlinePassed,
                };
                self.fail(code)
            }
            (State::Choosing, Event::Chosen { target, zone }) => {
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
                Action::Submit(self.attempt())
            }
            (State::Choosing, Event::NoChoice(code)) => {
                let code = if self.attempts > 0 { self.last } else { code };
                self.fail(code)
            }
            (State::Pausing, Event::Denied) => self.fail(self.last),
            (State::Pausing, Event::Waited) => {
                self.state = State::Choosing;
                Action::Choose
            }
            (State::Submitted, event) => self.on_answer(event, random, now),
            _ => Action::Drop,
        }
    }

    fn on_answer(&mut self, event: Event, random: f64, now: Time) -> Action {
        match event {
            Event::Unreachable => self.failed(Code::EngineUnreachable, random, now),
            Event::Lost => self.lost(random, now),
            Event::NotResumed => self.failed(Code::LinkLost, random, now),
            Event::Head(attempt) if attempt == self.attempt() => Action::Receive,
            Event::Part {
                attempt,
                offset,
                len,
            } if attempt == self.attempt() => match self.answer.part(attempt, offset, len) {
                Ok(skip) if skip == len => Action::Drop,
                Ok(skip) => {
                    self.resumes = 0;
                    Action::Deliver { skip }
                }
                // Bytes are missing: the target still has them.
                Err(_) => self.lost(random, now),
            },
            Event::Done { attempt, length } if attempt == self.attempt() => {
                match self.answer.done(attempt, length) {
                    Ok(()) => {
                        self.state = State::Ended;
                        Action::Finish
                    }
                    Err(_) => self.lost(random, now),
                }
            }
            Event::Refused { attempt, code } if attempt == self.attempt() => {
                if code == Code::EngineCrashed {
                    self.crashed_on = self.tried.last().cloned();
                }
                self.failed(code, random, now)
            }
            _ => Action::Drop,
        }
    }

    fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.request,
            number: self.attempts.saturating_sub(1),
        }
    }

    fn lost(&mut self, random: f64, now: Time) -> Action {
        if self.resumes >= MAX_RESUMES {
            return self.failed(Code::LinkLost, random, now);
        }
        self.resumes += 1;
        Action::Resume {
            attempt: self.attempt(),
            offset: self.answer.received(),
        }
    }

    fn failed(&mut self, code: Code, random: f64, now: Time) -> Action {
        // Two generations must not be spliced, so that nothing is tried again after the first
        // part.
        if self.has_begun() {
            return self.fail(Code::StreamCut);
        }
        self.last = code;
        if code.execution() != Execution::NotRun {
            self.may_have_run = Some(code);
        }
        let outcome = Outcome {
            code,
            repeat: self.repeat,
            attempts: self.attempts,
            left: self.deadline.since(now),
        };
        match retry::decide(outcome, random) {
            Verdict::GiveUp => self.fail(code),
            Verdict::Retry {
                after,
                free,
                zone_last,
            } => {
                if let Some(zone) = self.zone.take().filter(|_| zone_last) {
                    self.zones.push(zone);
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
            Some(earlier) if code.execution() == Execution::NotRun => Action::Fail(earlier),
            _ => Action::Fail(code),
        }
    }
}
