//! Small model of routers, agents, a service and the log around the real state machines. It
//! advances by one [`Step`] at a time, so that a search, a random schedule or a scenario can drive
//! it.

#![allow(dead_code, reason = "each test program uses a part of the model")]

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use ebonyfall_core::{
    claim::{ClaimEntry, ClaimRef, KeyId},
    code::{Code, Execution},
    guard::{ClaimGuard, VoidOutcome},
    id::{Fingerprint, Incarnation, RequestId},
    ledger::Ledger,
    name::{ProcessName, TargetName},
    owner::{Action, Event, KeyedRequest, Outcome, Owner, Reply},
};

/// Retention time of the log, in milliseconds.
pub const LOG_RETENTION_MS: u64 = 600_000;
/// Initial time of the model, in milliseconds since the Unix epoch.
pub const START_MS: u64 = 1_000_000_000;

/// The model without a fault, or with an injected fault that the checks must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Variant {
    Correct,
    /// After a lost reply to an append, the owner does not read the log and assumes that its claim
    /// is the first one.
    SkipReadBack,
    /// The guard accepts claims that name another incarnation of the agent.
    IgnoreIncarnation,
    /// The agent answers that a claim is void but does not record it.
    ForgetVoid,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AppendOutcome {
    Ok,
    ReplyLost,
    /// The append takes effect after its writer has given up.
    Late,
    Refused,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SendOutcome {
    Arrives,
    Lost,
    /// The connection breaks, and the agent reads the message later.
    Late,
    NotAdmitted,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    Deliver(usize),
    Sync(usize),
    Connect(usize),
    Append(usize, AppendOutcome),
    Read(usize),
    Send(usize, SendOutcome),
    /// The service's answer arrives, or the connection breaks before (false).
    Finish(usize, bool),
    Void(usize, bool),
    VoidMessageLost(usize),
    /// The record at the end of a request is written to the log, or lost (false).
    Record(usize, bool),
    LateAppend(usize),
    LateSend(usize),
    Restart(usize),
    AdvanceClock(u64),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Phase {
    Event(Event),
    Connect,
    Append(Vec<ClaimEntry>),
    Read(Event),
    Void(usize, ClaimRef),
    Send(ClaimRef),
    Running(ClaimRef),
    Record(Reply, ClaimEntry),
    Done(Reply),
}

#[derive(Debug, Clone)]
pub struct RequestCopy {
    pub router: usize,
    pub owner: Owner,
    pub phase: Phase,
    /// Index of the connected agent and its incarnation at the time of the connection.
    pub connected_agent: (usize, Incarnation),
    pub runs: u32,
}

#[derive(Debug, Clone)]
pub struct Agent {
    pub incarnation: Incarnation,
    pub guard: ClaimGuard,
}

/// Number of faults of each kind that may still occur.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FaultBudget {
    pub append: u8,
    pub link: u8,
    pub refuse: u8,
    pub restart: u8,
    pub pause: u8,
}

#[derive(Debug, Clone)]
pub struct World {
    pub variant: Variant,
    pub now: u64,
    pub log_down: bool,
    pub log: Vec<(u64, Vec<ClaimEntry>)>,
    pub ledgers: Vec<Ledger>,
    pub copies: Vec<RequestCopy>,
    pub agents: Vec<Agent>,
    pub runs: BTreeMap<KeyId, u32>,
    pub late_appends: Vec<Vec<ClaimEntry>>,
    pub late_sends: Vec<(usize, usize, ClaimRef)>,
    pub budget: FaultBudget,
    pub guard_size: usize,
}

impl World {
    pub fn new(variant: Variant, routers: usize, agents: usize, budget: FaultBudget) -> Self {
        let guard_size = 64;
        let incarnation = Incarnation::from(1);
        Self {
            variant,
            now: START_MS,
            log_down: false,
            log: Vec::new(),
            ledgers: vec![Ledger::new(Duration::from_millis(LOG_RETENTION_MS)); routers],
            copies: Vec::new(),
            agents: (0..agents)
                .map(|_| Agent {
                    incarnation,
                    guard: ClaimGuard::new(incarnation, guard_size),
                })
                .collect(),
            runs: BTreeMap::new(),
            late_appends: Vec::new(),
            late_sends: Vec::new(),
            budget,
            guard_size,
        }
    }

    /// A caller sends a request with `key` to `router`; returns the index of the new copy.
    pub fn submit(&mut self, router: usize, key: u128, key_time: u64, content: u64) -> usize {
        let index = self.copies.len();
        let request = KeyedRequest {
            key: KeyId::from(key),
            key_time,
            content: Fingerprint::from(content),
            router: ProcessName::new(format!("router-{router}")).unwrap(),
            incarnation: 1.into(),
            id: RequestId::from(index as u128 + 1),
        };
        self.copies.push(RequestCopy {
            router,
            owner: Owner::new(request),
            phase: Phase::Event(Event::Arrived),
            connected_agent: (0, 0.into()),
            runs: 0,
        });
        index
    }

    /// Returns all steps that are possible next within the fault budget.
    pub fn possible_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let FaultBudget {
            append,
            link,
            refuse,
            restart,
            pause,
        } = self.budget;
        for (i, copy) in self.copies.iter().enumerate() {
            match &copy.phase {
                Phase::Event(_) => steps.push(Step::Deliver(i)),
                Phase::Connect => steps.push(Step::Connect(i)),
                Phase::Append(_) => {
                    steps.push(Step::Append(i, AppendOutcome::Ok));
                    if append > 0 {
                        steps.push(Step::Append(i, AppendOutcome::ReplyLost));
                        steps.push(Step::Append(i, AppendOutcome::Late));
                    }
                }
                Phase::Read(_) => steps.push(Step::Read(i)),
                Phase::Send(_) => {
                    steps.push(Step::Send(i, SendOutcome::Arrives));
                    if link > 0 {
                        steps.push(Step::Send(i, SendOutcome::Lost));
                        steps.push(Step::Send(i, SendOutcome::Late));
                    }
                    if refuse > 0 {
                        steps.push(Step::Send(i, SendOutcome::NotAdmitted));
                    }
                }
                Phase::Running(_) => {
                    steps.push(Step::Finish(i, true));
                    if link > 0 {
                        steps.push(Step::Finish(i, false));
                    }
                }
                Phase::Void(..) => {
                    steps.push(Step::Void(i, true));
                    if link > 0 {
                        steps.push(Step::Void(i, false));
                        steps.push(Step::VoidMessageLost(i));
                    }
                }
                Phase::Record(..) => {
                    steps.push(Step::Record(i, true));
                    if append > 0 {
                        steps.push(Step::Record(i, false));
                    }
                }
                Phase::Done(_) => {}
            }
        }
        for (router, ledger) in self.ledgers.iter().enumerate() {
            if u64::from(ledger.next()) < self.log.len() as u64 {
                steps.push(Step::Sync(router));
            }
        }
        steps.extend((0..self.late_appends.len()).map(Step::LateAppend));
        steps.extend((0..self.late_sends.len()).map(Step::LateSend));
        if restart > 0 {
            steps.extend((0..self.agents.len()).map(Step::Restart));
        }
        if pause > 0 {
            steps.push(Step::AdvanceClock(3_000));
        }
        steps
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Deliver(i) => {
                let Phase::Event(event) = self.copies[i].phase.clone() else {
                    return;
                };
                let copy = &mut self.copies[i];
                let action = copy
                    .owner
                    .on_event(event, &self.ledgers[copy.router], self.now);
                self.apply_action(i, action);
            }
            Step::Sync(router) => self.sync(router),
            Step::Connect(i) => {
                let number = self.copies[i].owner.attempt().number as usize;
                let agent = number % self.agents.len();
                let incarnation = self.agents[agent].incarnation;
                self.copies[i].connected_agent = (agent, incarnation);
                let event = Event::Connected {
                    target: target(agent),
                    agent: incarnation,
                };
                self.copies[i].phase = Phase::Event(event);
            }
            Step::Append(i, outcome) => self.append(i, outcome),
            Step::Read(i) => {
                let Phase::Read(event) = self.copies[i].phase.clone() else {
                    return;
                };
                let event = if self.log_down {
                    Event::LogUnreadable
                } else {
                    self.sync(self.copies[i].router);
                    event
                };
                self.copies[i].phase = Phase::Event(event);
            }
            Step::Send(i, outcome) => self.send(i, outcome),
            Step::Finish(i, arrives) => self.finish(i, arrives),
            Step::Void(i, arrives) => {
                let Phase::Void(agent, claim) = self.copies[i].phase.clone() else {
                    return;
                };
                let answer = self.void(agent, claim);
                self.budget.link -= u8::from(!arrives);
                let event = if arrives {
                    Event::Void(answer)
                } else {
                    Event::VoidUnanswered
                };
                self.copies[i].phase = Phase::Event(event);
            }
            Step::VoidMessageLost(i) => {
                self.budget.link -= 1;
                self.copies[i].phase = Phase::Event(Event::VoidUnanswered);
            }
            Step::Record(i, written) => {
                let Phase::Record(reply, entry) = self.copies[i].phase.clone() else {
                    return;
                };
                if written && !self.log_down {
                    self.log.push((self.now, vec![entry]));
                } else {
                    self.budget.append = self.budget.append.saturating_sub(1);
                }
                self.copies[i].phase = Phase::Done(reply);
            }
            Step::LateAppend(n) => {
                let entries = self.late_appends.remove(n);
                self.log.push((self.now, entries));
            }
            Step::LateSend(n) => {
                let (copy, agent, claim) = self.late_sends.remove(n);
                if self.agents[agent].incarnation == claim.agent
                    && self.enter(copy, agent, claim).is_ok()
                {
                    self.agents[agent]
                        .guard
                        .finish_claim(claim.id, Execution::Ran);
                }
            }
            Step::Restart(agent) => {
                self.budget.restart -= 1;
                let incarnation = Incarnation::from(u64::from(self.agents[agent].incarnation) + 1);
                self.agents[agent] = Agent {
                    incarnation,
                    guard: ClaimGuard::new(incarnation, self.guard_size),
                };
            }
            Step::AdvanceClock(millis) => {
                self.budget.pause = self.budget.pause.saturating_sub(1);
                self.now += millis;
            }
        }
    }

    fn apply_action(&mut self, i: usize, action: Action) {
        self.copies[i].phase = match action {
            Action::Connect if self.copies[i].owner.attempt().number > 1 => {
                Phase::Event(Event::NoTarget(Code::Overloaded))
            }
            Action::Connect => Phase::Connect,
            Action::Append(entries) => Phase::Append(entries),
            Action::Void { target, claim } => Phase::Void(agent_index(&target), claim),
            Action::Send(claim) => Phase::Send(claim),
            Action::Done(Outcome { result, record }) => match record {
                Some(entry) => Phase::Record(result, entry),
                None => Phase::Done(result),
            },
        };
    }

    fn append(&mut self, i: usize, outcome: AppendOutcome) {
        let Phase::Append(entries) = self.copies[i].phase.clone() else {
            return;
        };
        if self.log_down {
            self.copies[i].phase = Phase::Event(Event::LogUnreadable);
            return;
        }
        if outcome != AppendOutcome::Ok {
            self.budget.append -= 1;
        }
        let after_loss = if self.variant == Variant::SkipReadBack {
            Event::Appended
        } else {
            Event::ReadBack
        };
        let next = match outcome {
            AppendOutcome::Ok => {
                self.log.push((self.now, entries));
                Phase::Read(Event::Appended)
            }
            AppendOutcome::ReplyLost => {
                self.log.push((self.now, entries));
                if self.variant == Variant::SkipReadBack {
                    return self.assume_appended(i);
                }
                Phase::Read(after_loss)
            }
            AppendOutcome::Late => {
                self.late_appends.push(entries);
                Phase::Read(after_loss)
            }
            AppendOutcome::Refused => Phase::Event(Event::AppendRefused),
        };
        self.copies[i].phase = next;
    }

    /// The owner assumes that its claim was appended directly after the last record in its ledger.
    fn assume_appended(&mut self, i: usize) {
        let copy = &mut self.copies[i];
        let mut assumed = self.ledgers[copy.router].clone();
        let offset = (self.log.len() as u64 - 1).into();
        assumed.apply(offset, self.now, &self.log.last().expect("one record").1);
        let action = copy.owner.on_event(Event::Appended, &assumed, self.now);
        self.apply_action(i, action);
    }

    fn send(&mut self, i: usize, outcome: SendOutcome) {
        let Phase::Send(claim) = self.copies[i].phase.clone() else {
            return;
        };
        let (agent, incarnation) = self.copies[i].connected_agent;
        let same_incarnation = self.agents[agent].incarnation == incarnation;
        self.copies[i].phase = match outcome {
            _ if !same_incarnation => Phase::Event(Event::LinkLost),
            SendOutcome::Arrives => match self.enter(i, agent, claim) {
                Ok(()) => Phase::Running(claim),
                Err(code) => Phase::Event(Event::Refused(code)),
            },
            SendOutcome::NotAdmitted => {
                self.budget.refuse -= 1;
                match self.agents[agent].guard.start_claim(claim) {
                    Ok(()) => {
                        self.agents[agent]
                            .guard
                            .finish_claim(claim.id, Execution::NotRun);
                        Phase::Event(Event::Refused(Code::Overloaded))
                    }
                    Err(code) => Phase::Event(Event::Refused(code)),
                }
            }
            SendOutcome::Lost | SendOutcome::Late => {
                self.budget.link -= 1;
                if outcome == SendOutcome::Late {
                    self.late_sends.push((i, agent, claim));
                }
                Phase::Event(Event::LinkLost)
            }
        };
    }

    /// The agent accepts a claim and passes the request to the service.
    fn enter(&mut self, i: usize, agent: usize, claim: ClaimRef) -> Result<(), Code> {
        let claim = self.claim_as_received(agent, claim);
        self.agents[agent].guard.start_claim(claim)?;
        self.copies[i].runs += 1;
        *self
            .runs
            .entry(self.copies[i].owner.request().key)
            .or_default() += 1;
        Ok(())
    }

    fn finish(&mut self, i: usize, arrives: bool) {
        let Phase::Running(claim) = self.copies[i].phase.clone() else {
            return;
        };
        let (agent, incarnation) = self.copies[i].connected_agent;
        let same_incarnation = self.agents[agent].incarnation == incarnation;
        if same_incarnation {
            self.agents[agent]
                .guard
                .finish_claim(claim.id, Execution::Ran);
            self.budget.link -= u8::from(!arrives);
        }
        let event = if same_incarnation && arrives {
            Event::Answered {
                status: 200,
                digest: 1,
            }
        } else {
            Event::LinkLost
        };
        self.copies[i].phase = Phase::Event(event);
    }

    fn void(&mut self, agent: usize, claim: ClaimRef) -> VoidOutcome {
        let claim = self.claim_as_received(agent, claim);
        if self.variant == Variant::ForgetVoid {
            return self.agents[agent].guard.clone().void(claim);
        }
        self.agents[agent].guard.void(claim)
    }

    /// The claim as the guard receives it, changed if the variant injects such a fault.
    fn claim_as_received(&self, agent: usize, mut claim: ClaimRef) -> ClaimRef {
        if self.variant == Variant::IgnoreIncarnation {
            claim.agent = self.agents[agent].incarnation;
        }
        claim
    }

    fn sync(&mut self, router: usize) {
        let ledger = &mut self.ledgers[router];
        let from = usize::try_from(u64::from(ledger.next())).expect("a small log");
        for (at, (time, entries)) in self.log.iter().enumerate().skip(from) {
            ledger.apply((at as u64).into(), *time, entries);
        }
    }

    /// Whether all copies have ended and no delayed message or append is outstanding.
    pub fn is_quiescent(&self) -> bool {
        let done = |copy: &RequestCopy| matches!(copy.phase, Phase::Done(_));
        self.copies.iter().all(done) && self.late_appends.is_empty() && self.late_sends.is_empty()
    }

    /// Checks that no request runs twice and that every final result agrees with the runs.
    pub fn check_invariants(&self) -> Result<(), String> {
        if let Some((key, runs)) = self.runs.iter().find(|(_, runs)| **runs > 1) {
            return Err(format!("{key:?} ran {runs} times"));
        }
        for (i, copy) in self.copies.iter().enumerate() {
            let reply = match &copy.phase {
                Phase::Done(reply) | Phase::Record(reply, _) => *reply,
                _ => continue,
            };
            match reply {
                Reply::Code(code) if code.execution() == Execution::NotRun && copy.runs > 0 => {
                    return Err(format!("copy {i} ran and was answered {}", code.name()));
                }
                Reply::Code(Code::Internal) => {
                    return Err(format!("copy {i}: failed with an internal error"));
                }
                Reply::Answer if copy.runs != 1 => {
                    return Err(format!("copy {i} got an answer after {} runs", copy.runs));
                }
                Reply::Recorded(_, Code::AlreadyRan)
                    if !self.runs.contains_key(&copy.owner.request().key) =>
                {
                    return Err(format!(
                        "copy {i}: answered that the request already ran, but it never ran"
                    ));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// A hash of the state, by which the search recognises states that it has already visited.
    pub fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.now, &self.log, self.budget, &self.late_appends).hash(&mut hasher);
        (&self.late_sends, &self.runs).hash(&mut hasher);
        for ledger in &self.ledgers {
            // The position is enough: a ledger is a function of the log and its own position.
            ledger.next().hash(&mut hasher);
        }
        for agent in &self.agents {
            (agent.incarnation, &agent.guard).hash(&mut hasher);
        }
        for copy in &self.copies {
            (&copy.owner, copy.connected_agent, copy.runs, &copy.phase).hash(&mut hasher);
        }
        hasher.finish()
    }
}

pub fn target(agent: usize) -> TargetName {
    TargetName::new(format!("service-{agent}")).unwrap()
}

fn agent_index(target: &TargetName) -> usize {
    let digits = target.as_str().trim_start_matches("service-");
    digits.parse().expect("targets are numbered")
}
