//! One request that runs at most once, as the router that received it sees it.
//!
//! "Not run" speaks of the caller's request that this machine carries: none of its own claims ran
//! or will run. Another copy under the same key may have run; the caller learns that when it sends
//! the key again.

use std::time::Duration;

use crate::{
    claim::{Claim, ClaimId, ClaimRef, Entry, KeyId},
    code::{Code, Ran},
    guard::VoidAnswer,
    id::{AttemptId, Fingerprint, Incarnation, RequestId},
    ledger::{ClaimState, CurrentClaim, Ledger},
    name::{ProcessName, TargetName},
};

/// Age from which a claim without an end is asked back from its agent. A shorter time would void
/// claims whose owner is about to send.
pub const OPEN_CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Targets tried for one request.
const MAX_ATTEMPTS: u32 = 4;

/// A request with its key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyedRequest {
    /// Team and key.
    pub key: KeyId,
    /// The key's time, in milliseconds since the Unix epoch.
    pub key_time: u64,
    /// Hash of team and content.
    pub content: Fingerprint,
    /// Name of this router.
    pub router: ProcessName,
    /// Incarnation of this router.
    pub incarnation: Incarnation,
    /// The caller's request.
    pub id: RequestId,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// The request arrived.
    Arrived,
    /// A connection to a target's agent is open.
    Connected {
        /// The target.
        target: TargetName,
        /// The incarnation that the agent stated on this connection.
        agent: Incarnation,
    },
    /// No further target can be reached.
    NoTarget(Code),
    /// The append took effect, and the ledger has been read at least up to it.
    Appended,
    /// The append certainly had no effect and will have none.
    AppendRefused,
    /// The reply to the append was lost, and the ledger has been read up to the log's end.
    ReadBack,
    /// The reply to the append was lost, and the log cannot be read.
    LogUnreadable,
    /// The agent answered the void.
    Void(VoidAnswer),
    /// The agent that can void the claim cannot be reached, or its answer was lost.
    VoidUnanswered,
    /// The whole answer arrived.
    Answered {
        /// HTTP status.
        status: u16,
        /// Hash of the body.
        digest: u64,
    },
    /// The agent refused.
    Refused(Code),
    /// The connection broke after the request was handed over.
    LinkLost,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Choose a target that was not tried and connect to its agent.
    Connect,
    /// Append the entries, then read the ledger up to them.
    Append(Vec<Entry>),
    /// Ask the agent beside the target never to run the claim.
    Void {
        /// The target.
        target: TargetName,
        /// The claim.
        claim: ClaimRef,
    },
    /// Send the request once, on the connection that was open when it was claimed.
    Send(ClaimRef),
    /// The request ended.
    Done(Outcome),
}

/// How the request ended, with the record that tells other routers, if there is one; it is
/// appended when convenient.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// What the caller gets.
    pub result: Reply,
    /// What to append.
    pub record: Option<Entry>,
}

/// What the caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The answer that arrived.
    Answer,
    /// The answer of an earlier copy while it is held, otherwise the code.
    Recorded(ClaimId, Code),
    /// A result code.
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

/// The state machine of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Owner {
    request: KeyedRequest,
    attempt_number: u32,
    target: Option<TargetName>,
    state: State,
}

impl Owner {
    /// A request that has just arrived.
    pub fn new(request: KeyedRequest) -> Self {
        Self {
            request,
            attempt_number: 0,
            target: None,
            state: State::New,
        }
    }

    /// The request.
    pub fn request(&self) -> &KeyedRequest {
        &self.request
    }

    /// The attempt that is claimed next or runs.
    pub fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.request.id,
            number: self.attempt_number,
        }
    }

    /// Takes the next step; `now` is in milliseconds since the Unix epoch.
    pub fn on_event(&mut self, event: Event, ledger: &Ledger, now: u64) -> Action {
        let state = std::mem::replace(&mut self.state, State::Ended);
        match (state, event) {
            (State::New, Event::Arrived) => self.look_up(ledger, now, None),
            (State::Connecting { supersedes }, Event::Connected { target, agent }) => {
                self.connected(ledger, now, supersedes, target, agent)
            }
            (State::Connecting { supersedes }, Event::NoTarget(code)) => {
                let record = supersedes.map(|claim| self.released(claim));
                done(Reply::Code(code), record)
            }
            (State::Claiming, Event::Appended) => self.resolve_claim(ledger, Code::KeyExpired),
            (State::Claiming, Event::ReadBack) => self.resolve_claim(ledger, Code::LogUnavailable),
            // A claim that takes effect later is never sent, and can be voided by a later copy.
            (State::Claiming, Event::AppendRefused | Event::LogUnreadable) => {
                code(Code::LogUnavailable)
            }
            (State::Voiding(claim), Event::Void(VoidAnswer::Voided)) => {
                self.state = State::Connecting {
                    supersedes: Some(claim),
                };
                Action::Connect
            }
            (State::Voiding(_) | State::Resolving(_), Event::Void(VoidAnswer::Running)) => {
                code(Code::InProgress)
            }
            (State::Voiding(claim), Event::Void(VoidAnswer::Finished)) => done(
                Reply::Recorded(claim, Code::AlreadyRan),
                Some(self.finished(claim, Ran::Ran, 0, 0)),
            ),
            (State::Running(claim), Event::Answered { status, digest }) => done(
                Reply::Answer,
                Some(self.finished(claim.id, Ran::Ran, status, digest)),
            ),
            (State::Running(claim), Event::Refused(code)) => self.refused(claim, code),
            (State::Running(claim), Event::LinkLost) => {
                let Some(target) = self.target.clone() else {
                    return code(Code::Internal);
                };
                self.state = State::Resolving(claim);
                Action::Void { target, claim }
            }
            (State::Resolving(claim), Event::Void(VoidAnswer::Voided)) => {
                self.refused(claim, Code::EngineUnreachable)
            }
            (State::Resolving(claim), Event::Void(VoidAnswer::Finished)) => done(
                Reply::Code(Code::AlreadyRan),
                Some(self.finished(claim.id, Ran::Ran, 0, 0)),
            ),
            // The record stays open, so that a later copy can ask the agent again.
            (
                State::Voiding(_) | State::Resolving(_),
                Event::Void(VoidAnswer::Unknown) | Event::VoidUnanswered,
            ) => code(Code::OutcomeUnknown),
            _ => code(Code::Internal),
        }
    }

    /// Looks the key up before a claim; `voided` is a claim that an agent has voided.
    fn look_up(&mut self, ledger: &Ledger, now: u64, voided: Option<ClaimId>) -> Action {
        if let Err(refusal) = ledger.check_time(self.request.key_time, now) {
            return code(refusal);
        }
        let supersedes = match ledger.get(self.request.key) {
            None => None,
            Some(current) if current.content != self.request.content => {
                return code(Code::KeyReused);
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
            return code(Code::InProgress);
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

    fn connected(
        &mut self,
        ledger: &Ledger,
        now: u64,
        voided: Option<ClaimId>,
        target: TargetName,
        agent: Incarnation,
    ) -> Action {
        // The ledger may have moved on while the connection was made.
        let action = self.look_up(ledger, now, voided);
        let State::Connecting { supersedes } = self.state else {
            return action;
        };
        let mut entries = Vec::new();
        entries.extend(supersedes.map(|claim| self.released(claim)));
        entries.push(Entry::Claim(Claim {
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

    /// Decides by the ledger, which has been read up to the claim.
    fn resolve_claim(&mut self, ledger: &Ledger, absent: Code) -> Action {
        match ledger.get(self.request.key) {
            Some(current) if current.attempt == self.attempt() => {
                if current.state != ClaimState::Open {
                    // Another copy voided the claim before it could be sent.
                    return code(Code::Voided);
                }
                let claim = ClaimRef {
                    id: current.id,
                    agent: current.agent,
                };
                self.state = State::Running(claim);
                Action::Send(claim)
            }
            None => code(absent),
            Some(current) if current.content != self.request.content => code(Code::KeyReused),
            Some(current) => match current.state {
                ClaimState::Finished(ran) => recorded(current.id, ran),
                ClaimState::Open | ClaimState::Released => code(Code::InProgress),
            },
        }
    }

    fn refused(&mut self, claim: ClaimRef, refusal: Code) -> Action {
        match refusal.ran() {
            // Whoever voided the claim supersedes it.
            Ran::NotRun if refusal == Code::Voided => code(refusal),
            Ran::NotRun
                if self.attempt_number + 1 < MAX_ATTEMPTS && refusal != Code::DeadlinePassed =>
            {
                self.attempt_number += 1;
                self.state = State::Connecting {
                    supersedes: Some(claim.id),
                };
                Action::Connect
            }
            Ran::NotRun => done(Reply::Code(refusal), Some(self.released(claim.id))),
            ran => done(
                Reply::Code(refusal),
                Some(self.finished(claim.id, ran, 0, 0)),
            ),
        }
    }

    fn released(&self, claim: ClaimId) -> Entry {
        Entry::Released {
            key: self.request.key,
            claim,
        }
    }

    fn finished(&self, claim: ClaimId, ran: Ran, status: u16, digest: u64) -> Entry {
        Entry::Finished {
            key: self.request.key,
            claim,
            ran,
            status,
            digest,
        }
    }
}

fn done(result: Reply, record: Option<Entry>) -> Action {
    Action::Done(Outcome { result, record })
}

fn code(code: Code) -> Action {
    done(Reply::Code(code), None)
}

fn recorded(claim: ClaimId, ran: Ran) -> Action {
    let code = match ran {
        Ran::Ran => Code::AlreadyRan,
        Ran::NotRun | Ran::Unknown => Code::OutcomeUnknown,
    };
    done(Reply::Recorded(claim, code), None)
}
