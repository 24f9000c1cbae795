//! State machine with which a router executes one at-most-once request.
//!
//! A "not run" result refers only to this copy of the request: none of its own claims has run or
//! will run. Another copy with the same key may have run; the caller learns the outcome when it
//! repeats the key.

use std::time::Duration;

use crate::{
    claim::{Claim, ClaimEntry, ClaimId, ClaimRef, KeyId},
    code::{Code, Execution},
    guard::VoidOutcome,
    id::{AttemptId, Fingerprint, Incarnation, RequestId},
    ledger::{ClaimState, CurrentClaim, Ledger},
    name::{ProcessName, TargetName},
};

/// Age at which a copy of the request voids an open claim at its agent. A shorter time-out would
/// void claims whose owner is about to send.
pub const OPEN_CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit of attempts for one request, each on another target.
const MAX_ATTEMPTS: u32 = 4;

/// A request that carries an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyedRequest {
    /// Hash of the team and the idempotency key.
    pub key: KeyId,
    /// Timestamp in the key, in milliseconds since the Unix epoch.
    pub key_time: u64,
    /// Hash of the team and the content; it detects reuse of a key for another request.
    pub content: Fingerprint,
    /// Name of the router that received the request.
    pub router: ProcessName,
    /// Incarnation of that router.
    pub incarnation: Incarnation,
    /// ID assigned to this copy of the request, unique in the fleet.
    pub id: RequestId,
}

/// Input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// The request was received from the caller.
    Arrived,
    /// A connection to a target's agent is open.
    Connected {
        /// The target that the agent serves.
        target: TargetName,
        /// The incarnation that the agent stated on this connection.
        agent: Incarnation,
    },
    /// No untried target can be reached; the code says why.
    NoTarget(Code),
    /// The append succeeded, and the ledger has been read at least up to it.
    Appended,
    /// The append definitely had no effect and never will.
    AppendRefused,
    /// The reply to the append was lost, and the ledger has been read up to the end of the log.
    ReadBack,
    /// The reply to the append was lost, and the log cannot be read.
    LogUnreadable,
    /// The agent answered the void request.
    Void(VoidOutcome),
    /// The agent that can void the claim is unreachable, or its answer was lost.
    VoidUnanswered,
    /// The complete answer was received.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Hash of the answer's body.
        digest: u64,
    },
    /// The agent refused the request with this code.
    Refused(Code),
    /// The connection was lost after the request was handed over to it.
    LinkLost,
}

/// What the caller of [`Owner::on_event`] does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Choose a target that has not been tried and connect to its agent.
    Connect,
    /// Append the entries to the `claims` stream, then read the ledger up to them.
    Append(Vec<ClaimEntry>),
    /// Ask the target's agent to void the claim, so that it never runs.
    Void {
        /// Target whose agent is asked.
        target: TargetName,
        /// Claim to void.
        claim: ClaimRef,
    },
    /// Send the request once, on the connection that was open when the claim was appended.
    Send(ClaimRef),
    /// The request has ended; no event follows.
    Done(Outcome),
}

/// Result of a request, and the entry that records it for other routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Result returned to the caller.
    pub result: Reply,
    /// Entry to append, without urgency; `None` when the claim's state does not change.
    pub record: Option<ClaimEntry>,
}

/// Result returned to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The answer that this copy received.
    Answer,
    /// The answer of an earlier copy's claim if this router still holds it, otherwise the code.
    Recorded(ClaimId, Code),
    /// A result code without an answer.
    Code(Code),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum State {
    New,
    Connecting { supersedes: Option<ClaimId> },
    Claiming,
    Voiding(ClaimId),
    Running(ClaimRef),
    Resolving(ClaimRef),
    Ended,
}

/// State machine of one request at the router that received it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Owner {
    request: KeyedRequest,
    attempt_number: u32,
    target: Option<TargetName>,
    state: State,
}

impl Owner {
    /// Creates the owner of a request that has not been looked up yet.
    pub fn new(request: KeyedRequest) -> Self {
        Self {
            request,
            attempt_number: 0,
            target: None,
            state: State::New,
        }
    }

    /// The request that this owner executes.
    pub fn request(&self) -> &KeyedRequest {
        &self.request
    }

    /// ID of the current attempt: the one that runs or is claimed next.
    pub fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.request.id,
            number: self.attempt_number,
        }
    }

    /// Handles an event and returns the next action. `now` is in milliseconds since the Unix epoch.
    /// An event that does not fit the state ends the request with `Internal`.
    pub fn on_event(&mut self, event: Event, ledger: &Ledger, now: u64) -> Action {
        let state = std::mem::replace(&mut self.state, State::Ended);
        match (state, event) {
            (State::New, Event::Arrived) => self.look_up(ledger, now, None),
            (State::Connecting { supersedes }, Event::Connected { target, agent }) => {
                self.claim_target(ledger, now, supersedes, target, agent)
            }
            (State::Connecting { supersedes }, Event::NoTarget(code)) => {
                let record = supersedes.map(|claim| self.released_entry(claim));
                done(Reply::Code(code), record)
            }
            (State::Claiming, Event::Appended) => self.resolve_claim(ledger, Code::KeyExpired),
            (State::Claiming, Event::ReadBack) => self.resolve_claim(ledger, Code::LogUnavailable),
            // If the append still takes effect later, the claim is never sent, and a later copy can
            // void it.
            (State::Claiming, Event::AppendRefused | Event::LogUnreadable) => {
                fail(Code::LogUnavailable)
            }
            (State::Voiding(claim), Event::Void(VoidOutcome::Voided)) => {
                self.state = State::Connecting {
                    supersedes: Some(claim),
                };
                Action::Connect
            }
            (State::Voiding(_) | State::Resolving(_), Event::Void(VoidOutcome::Running)) => {
                fail(Code::InProgress)
            }
            (State::Voiding(claim), Event::Void(VoidOutcome::Finished)) => done(
                Reply::Recorded(claim, Code::AlreadyRan),
                Some(self.finished_entry(claim, Execution::Ran, 0, 0)),
            ),
            (State::Running(claim), Event::Answered { status, digest }) => done(
                Reply::Answer,
                Some(self.finished_entry(claim.id, Execution::Ran, status, digest)),
            ),
            (State::Running(claim), Event::Refused(code)) => self.on_refusal(claim, code),
            (State::Running(claim), Event::LinkLost) => {
                let Some(target) = self.target.clone() else {
                    return fail(Code::Internal);
                };
                self.state = State::Resolving(claim);
                Action::Void { target, claim }
            }
            (State::Resolving(claim), Event::Void(VoidOutcome::Voided)) => {
                self.on_refusal(claim, Code::EngineUnreachable)
            }
            (State::Resolving(claim), Event::Void(VoidOutcome::Finished)) => done(
                Reply::Code(Code::AlreadyRan),
                Some(self.finished_entry(claim.id, Execution::Ran, 0, 0)),
            ),
            // The claim stays open, so that a later copy can repeat the void request.
            (
                State::Voiding(_) | State::Resolving(_),
                Event::Void(VoidOutcome::Unknown) | Event::VoidUnanswered,
            ) => fail(Code::OutcomeUnknown),
            _ => fail(Code::Internal),
        }
    }

    /// Looks the key up before claiming; `voided` is a claim that an agent has voided.
    fn look_up(&mut self, ledger: &Ledger, now: u64, voided: Option<ClaimId>) -> Action {
        if let Err(refusal) = ledger.check_time(self.request.key_time, now) {
            return fail(refusal);
        }
        let supersedes = match ledger.get(self.request.key) {
            None => None,
            Some(current) if current.content != self.request.content => {
                return fail(Code::KeyReused);
            }
            Some(current) => match current.state {
                ClaimState::Released => Some(current.id),
                ClaimState::Open if voided == Some(current.id) => voided,
                ClaimState::Open => return self.resolve_open(current, now),
                ClaimState::Finished(ran) => return recorded(current.id, ran),
            },
        };
        self.state = State::Connecting { supersedes };
        Action::Connect
    }

    fn resolve_open(&mut self, current: &CurrentClaim, now: u64) -> Action {
        if Duration::from_millis(now.saturating_sub(current.time)) < OPEN_CLAIM_TIMEOUT {
            return fail(Code::InProgress);
        }
        self.state = State::Voiding(current.id);
        Action::Void {
            target: current.target.clone(),
            claim: ClaimRef {
                id: current.id,
                agent: current.agent,
            },
        }
    }

    fn claim_target(
        &mut self,
        ledger: &Ledger,
        now: u64,
        voided: Option<ClaimId>,
        target: TargetName,
        agent: Incarnation,
    ) -> Action {
        // The ledger may have changed while the connection was opened.
        let action = self.look_up(ledger, now, voided);
        let State::Connecting { supersedes } = self.state else {
            return action;
        };
        let mut entries = Vec::new();
        entries.extend(supersedes.map(|claim| self.released_entry(claim)));
        entries.push(ClaimEntry::Claim(Claim {
            key: self.request.key,
            key_time: self.request.key_time,
            content: self.request.content,
            router: self.request.router.clone(),
            incarnation: self.request.incarnation,
            attempt: self.attempt(),
            target: target.clone(),
            agent,
            supersedes,
        }));
        self.target = Some(target);
        self.state = State::Claiming;
        Action::Append(entries)
    }

    /// Checks in the ledger, read up to the claim, whether the claim is the key's current one;
    /// `absent` is the result if the key has no claim.
    fn resolve_claim(&mut self, ledger: &Ledger, absent: Code) -> Action {
        match ledger.get(self.request.key) {
            Some(current) if current.attempt == self.attempt() => {
                if current.state != ClaimState::Open {
                    // Another copy voided the claim before it could be sent.
                    return fail(Code::Voided);
                }
                let claim = ClaimRef {
                    id: current.id,
                    agent: current.agent,
                };
                self.state = State::Running(claim);
                Action::Send(claim)
            }
            None => fail(absent),
            Some(current) if current.content != self.request.content => fail(Code::KeyReused),
            Some(current) => match current.state {
                ClaimState::Finished(ran) => recorded(current.id, ran),
                ClaimState::Open | ClaimState::Released => fail(Code::InProgress),
            },
        }
    }

    fn on_refusal(&mut self, claim: ClaimRef, refusal: Code) -> Action {
        match refusal.execution() {
            // The copy that voided the claim appends the superseding one.
            Execution::NotRun if refusal == Code::Voided => fail(refusal),
            Execution::NotRun
                if self.attempt_number + 1 < MAX_ATTEMPTS && refusal != Code::DeadlinePassed =>
            {
                self.attempt_number += 1;
                self.state = State::Connecting {
                    supersedes: Some(claim.id),
                };
                Action::Connect
            }
            Execution::NotRun => done(Reply::Code(refusal), Some(self.released_entry(claim.id))),
            ran => done(
                Reply::Code(refusal),
                Some(self.finished_entry(claim.id, ran, 0, 0)),
            ),
        }
    }

    fn released_entry(&self, claim: ClaimId) -> ClaimEntry {
        ClaimEntry::Released {
            key: self.request.key,
            claim,
        }
    }

    fn finished_entry(
        &self,
        claim: ClaimId,
        ran: Execution,
        status: u16,
        digest: u64,
    ) -> ClaimEntry {
        ClaimEntry::Finished {
            key: self.request.key,
            claim,
            ran,
            status,
            digest,
        }
    }
}

fn done(result: Reply, record: Option<ClaimEntry>) -> Action {
    Action::Done(Outcome { result, record })
}

fn fail(code: Code) -> Action {
    done(Reply::Code(code), None)
}

fn recorded(claim: ClaimId, ran: Execution) -> Action {
    let code = match ran {
        Execution::Ran => Code::AlreadyRan,
        Execution::NotRun | Execution::Unknown => Code::OutcomeUnknown,
    };
    done(Reply::Recorded(claim, code), None)
}
