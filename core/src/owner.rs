//! One request that runs at most once, as the router that received it sees it.
//!
//! "Not run" speaks of the caller's request that this machine carries: none of its own claims ran
//! or will run. Another copy under the same key may have run; the caller learns that when it sends
//! the key again.

use std::time::Duration;

use crate::{
    claim::{Claim, ClaimId, ClaimRef, Entry, KeyId},
    code::{Code, Execution},
    guard::VoidOutcome,
    id::{AttemptId, Fingerprint, Incarnation, RequestId},
    ledger::{Fate, Ledger, Present},
    name::{ProcessName, TargetName},
};

/// Age from which a claim without an end is asked back from its agent. A shorter time would void
/// claims whose owner is about to send.
pub const GRACE: Duration = Duration::from_secs(2);
/// Targets tried for one request.
const MAX_ATTEMPTS: u32 = 4;

/// A request with its key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Order {
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
    pub request: RequestId,
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
    LogLost,
    /// The agent answered the void.
    Void(VoidOutcome),
    /// The agent that can void the claim cannot be reached, or its answer was lost.
    VoidLost,
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
    pub result: Verdict,
    /// What to append.
    pub record: Option<Entry>,
}

/// What the caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The answer that arrived.
    Answer,
    /// The answer of an earlier copy while it is held, otherwise the code.
    Recorded(ClaimId, Code),
    /// A result code.
    Code(Code),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum State {
    Fresh,
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
    order: Order,
    number: u32,
    target: Option<TargetName>,
    state: State,
}

impl Owner {
    /// A request that has just arrived.
    pub fn new(order: Order) -> Self {
        Self {
            order,
            number: 0,
            target: None,
            state: State::Fresh,
        }
    }

    /// The request.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// The attempt that is claimed next or runs.
    pub fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.order.request,
            number: self.number,
        }
    }

    /// Takes the next step; `now` is in milliseconds since the Unix epoch.
    pub fn on(&mut self, event: Event, ledger: &Ledger, now: u64) -> Action {
        let state = std::mem::replace(&mut self.state, State::Ended);
        match (state, event) {
            (State::Fresh, Event::Arrived) => self.check(ledger, now, None),
            (State::Connecting { supersedes }, Event::Connected { target, agent }) => {
                self.connected(ledger, now, supersedes, target, agent)
            }
            (State::Connecting { supersedes }, Event::NoTarget(code)) => {
                let record = supersedes.map(|claim| self.released(claim));
                done(Verdict::Code(code), record)
            }
            (State::Claiming, Event::Appended) => self.judge(ledger, Code::KeyExpired),
            (State::Claiming, Event::ReadBack) => self.judge(ledger, Code::LogUnavailable),
            // A claim that takes effect later is never sent, and can be voided by a later copy.
            (State::Claiming, Event::AppendRefused | Event::LogLost) => code(Code::LogUnavailable),
            (State::Voiding(claim), Event::Void(VoidOutcome::Voided)) => {
                self.state = State::Connecting {
                    supersedes: Some(claim),
                };
                Action::Connect
            }
            (State::Voiding(_) | State::Resolving(_), Event::Void(VoidOutcome::Running)) => {
                code(Code::InProgress)
            }
            (State::Voiding(claim), Event::Void(VoidOutcome::Finished)) => done(
                Verdict::Recorded(claim, Code::AlreadyRan),
                Some(self.finished(claim, Execution::Ran, 0, 0)),
            ),
            (State::Running(claim), Event::Answered { status, digest }) => done(
                Verdict::Answer,
                Some(self.finished(claim.id, Execution::Ran, status, digest)),
            ),
            (State::Running(claim), Event::Refused(code)) => self.refused(claim, code),
            (State::Running(claim), Event::LinkLost) => {
                let Some(target) = self.target.clone() else {
                    return code(Code::Internal);
                };
                self.state = State::Resolving(claim);
                Action::Void { target, claim }
            }
            (State::Resolving(claim), Event::Void(VoidOutcome::Voided)) => {
                self.refused(claim, Code::EngineUnreachable)
            }
            (State::Resolving(claim), Event::Void(VoidOutcome::Finished)) => done(
                Verdict::Code(Code::AlreadyRan),
                Some(self.finished(claim.id, Execution::Ran, 0, 0)),
            ),
            // The record stays open, so that a later copy can ask the agent again.
            (
                State::Voiding(_) | State::Resolving(_),
                Event::Void(VoidOutcome::Unknown) | Event::VoidLost,
            ) => code(Code::OutcomeUnknown),
            _ => code(Code::Internal),
        }
    }

    /// Looks the key up before a claim; `voided` is a claim that an agent has voided.
    fn check(&mut self, ledger: &Ledger, now: u64, voided: Option<ClaimId>) -> Action {
        if let Err(refusal) = ledger.check_time(self.order.key_time, now) {
            return code(refusal);
        }
        let supersedes = match ledger.get(self.order.key) {
            None => None,
            Some(present) if present.content != self.order.content => {
                return code(Code::KeyReused);
            }
            Some(present) => match present.fate {
                Fate::Released => Some(present.id),
                Fate::Open if voided == Some(present.id) => voided,
                Fate::Open => return self.open(present, now),
                Fate::Finished(ran) => return recorded(present.id, ran),
            },
        };
        self.state = State::Connecting { supersedes };
        Action::Connect
    }

    fn open(&mut self, present: &Present, now: u64) -> Action {
        if Duration::from_millis(now.saturating_sub(present.time)) < GRACE {
            return code(Code::InProgress);
        }
        self.state = State::Voiding(present.id);
        Action::Void {
            target: present.target.clone(),
            claim: ClaimRef {
                id: present.id,
                agent: present.agent,
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
        let action = self.check(ledger, now, voided);
        let State::Connecting { supersedes } = self.state else {
            return action;
        };
        let mut entries = Vec::new();
        entries.extend(supersedes.map(|claim| self.released(claim)));
        entries.push(Entry::Claim(Claim {
            key: self.order.key,
            key_time: self.order.key_time,
            content: self.order.content,
            router: self.order.router.clone(),
            incarnation: self.order.incarnation,
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
    fn judge(&mut self, ledger: &Ledger, absent: Code) -> Action {
        match ledger.get(self.order.key) {
            Some(present) if present.attempt == self.attempt() => {
                if present.fate != Fate::Open {
                    // Another copy voided the claim before it could be sent.
                    return code(Code::Voided);
                }
                let claim = ClaimRef {
                    id: present.id,
                    agent: present.agent,
                };
                self.state = State::Running(claim);
                Action::Send(claim)
            }
            None => code(absent),
            Some(present) if present.content != self.order.content => code(Code::KeyReused),
            Some(present) => match present.fate {
                Fate::Finished(ran) => recorded(present.id, ran),
                Fate::Open | Fate::Released => code(Code::InProgress),
            },
        }
    }

    fn refused(&mut self, claim: ClaimRef, refusal: Code) -> Action {
        match refusal.execution() {
            // Whoever voided the claim supersedes it.
            Execution::NotRun if refusal == Code::Voided => code(refusal),
            Execution::NotRun
                if self.number + 1 < MAX_ATTEMPTS && refusal != Code::DeadlinePassed =>
            {
                self.number += 1;
                self.state = State::Connecting {
                    supersedes: Some(claim.id),
                };
                Action::Connect
            }
            Execution::NotRun => done(Verdict::Code(refusal), Some(self.released(claim.id))),
            ran => done(
                Verdict::Code(refusal),
                Some(self.finished(claim.id, ran, 0, 0)),
            ),
        }
    }

    fn released(&self, claim: ClaimId) -> Entry {
        Entry::Released {
            key: self.order.key,
            claim,
        }
    }

    fn finished(&self, claim: ClaimId, ran: Execution, status: u16, digest: u64) -> Entry {
        Entry::Finished {
            key: self.order.key,
            claim,
            ran,
            status,
            digest,
        }
    }
}

fn done(result: Verdict, record: Option<Entry>) -> Action {
    Action::Done(Outcome { result, record })
}

fn code(code: Code) -> Action {
    done(Verdict::Code(code), None)
}

fn recorded(claim: ClaimId, ran: Execution) -> Action {
    let code = match ran {
        Execution::Ran => Code::AlreadyRan,
        Execution::NotRun | Execution::Unknown => Code::OutcomeUnknown,
    };
    done(Verdict::Recorded(claim, code), None)
}
