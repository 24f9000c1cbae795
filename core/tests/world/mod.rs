//! A small model of routers, agents, a service and the log, over the real state machines. Every
//! step is a `Move`, so that a search, a random schedule and a scenario can drive it.

#![allow(dead_code, reason = "each test program uses a part of the model")]

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use ebonyfall_core::{
    claim::{ClaimRef, Entry, KeyId},
    code::{Code, Execution},
    guard::{ClaimGuard, VoidOutcome},
    id::{Fingerprint, Incarnation, RequestId},
    ledger::Ledger,
    name::{ProcessName, TargetName},
    owner::{Action, Event, Order, Outcome, Owner, Verdict},
};

/// Retention of the log, in milliseconds.
pub const RETENTION: u64 = 600_000;
/// The time at which the model starts, in milliseconds since the Unix epoch.
pub const START: u64 = 1_000_000_000;

/// A deliberate fault in the system, which the checks must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Variant {
    Sound,
    /// After a lost reply the owner takes its claim for the first without reading the log.
    NoReadBack,
    /// The guard takes claims that name another incarnation.
    NoIncarnation,
    /// The agent answers `voided` without remembering it.
    NoVoidEntry,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AppendFate {
    Ok,
    ReplyLost,
    /// It takes effect later, after its writer has given up.
    Late,
    Refused,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SendFate {
    Arrives,
    Lost,
    /// The link breaks, and the message is read later.
    Late,
    NotAdmitted,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Move {
    Deliver(usize),
    Sync(usize),
    Connect(usize),
    Append(usize, AppendFate),
    Read(usize),
    Send(usize, SendFate),
    /// The service's answer arrives, or is lost with the link.
    Finish(usize, bool),
    Void(usize, bool),
    VoidMessageLost(usize),
    /// The record at the end of a request reaches the log, or is lost.
    Record(usize, bool),
    LateAppend(usize),
    LateSend(usize),
    Restart(usize),
    Pass(u64),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Phase {
    Event(Event),
    Connect,
    Append(Vec<Entry>),
    Read(Event),
    Void(usize, ClaimRef),
    Send(ClaimRef),
    Running(ClaimRef),
    Record(Verdict, Entry),
    Done(Verdict),
}

#[derive(Debug, Clone)]
pub struct Copy {
    pub router: usize,
    pub owner: Owner,
    pub phase: Phase,
    /// The connected agent and its incarnation.
    pub link: (usize, Incarnation),
    pub runs: u32,
}

#[derive(Debug, Clone)]
pub struct Agent {
    pub incarnation: Incarnation,
    pub guard: ClaimGuard,
}

/// Faults that may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Budget {
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
    pub down: bool,
    pub log: Vec<(u64, Vec<Entry>)>,
    pub ledgers: Vec<Ledger>,
    pub copies: Vec<Copy>,
    pub agents: Vec<Agent>,
    pub runs: BTreeMap<KeyId, u32>,
    pub late_appends: Vec<Vec<Entry>>,
    pub late_sends: Vec<(usize, usize, ClaimRef)>,
    pub budget: Budget,
    pub guard_size: usize,
}

impl World {
    pub fn new(variant: Variant, routers: usize, agents: usize, budget: Budget) -> Self {
        let guard_size = 64;
        let incarnation = Incarnation::from(1);
        Self {
            variant,
            now: START,
            down: false,
            log: Vec::new(),
            ledgers: vec![Ledger::new(Duration::from_millis(RETENTION)); routers],
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

    /// A caller sends a request under `key` to `router`.
    pub fn arrive(&mut self, router: usize, key: u128, key_time: u64, content: u64) -> usize {
        let index = self.copies.len();
        let order = Order {
            key: KeyId::from(key),
            key_time,
            content: Fingerprint::from(content),
            router: ProcessName::new(format!("router-{router}")).unwrap(),
            incarnation: 1.into(),
            request: RequestId::from(index as u128 + 1),
        };
        self.copies.push(Copy {
            router,
            owner: Owner::new(order),
            phase: Phase::Event(Event::Arrived),
            link: (0, 0.into()),
            runs: 0,
        });
        index
    }

    /// Every step that can happen next within the budget.
    pub fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        let Budget {
            append,
            link,
            refuse,
            restart,
            pause,
        } = self.budget;
        for (i, copy) in self.copies.iter().enumerate() {
            match &copy.phase {
                Phase::Event(_) => moves.push(Move::Deliver(i)),
                Phase::Connect => moves.push(Move::Connect(i)),
                Phase::Append(_) => {
                    moves.push(Move::Append(i, AppendFate::Ok));
                    if append > 0 {
                        moves.push(Move::Append(i, AppendFate::ReplyLost));
                        moves.push(Move::Append(i, AppendFate::Late));
                    }
                }
                Phase::Read(_) => moves.push(Move::Read(i)),
                Phase::Send(_) => {
                    moves.push(Move::Send(i, SendFate::Arrives));
                    if link > 0 {
                        moves.push(Move::Send(i, SendFate::Lost));
                        moves.push(Move::Send(i, SendFate::Late));
                    }
                    if refuse > 0 {
                        moves.push(Move::Send(i, SendFate::NotAdmitted));
                    }
                }
                Phase::Running(_) => {
                    moves.push(Move::Finish(i, true));
                    if link > 0 {
                        moves.push(Move::Finish(i, false));
                    }
                }
                Phase::Void(..) => {
                    moves.push(Move::Void(i, true));
                    if link > 0 {
                        moves.push(Move::Void(i, false));
                        moves.push(Move::VoidMessageLost(i));
                    }
                }
                Phase::Record(..) => {
                    moves.push(Move::Record(i, true));
                    if append > 0 {
                        moves.push(Move::Record(i, false));
                    }
                }
                Phase::Done(_) => {}
            }
        }
        for (router, ledger) in self.ledgers.iter().enumerate() {
            if u64::from(ledger.next()) < self.log.len() as u64 {
                moves.push(Move::Sync(router));
            }
        }
        moves.extend((0..self.late_appends.len()).map(Move::LateAppend));
        moves.extend((0..self.late_sends.len()).map(Move::LateSend));
        if restart > 0 {
            moves.extend((0..self.agents.len()).map(Move::Restart));
        }
        if pause > 0 {
            moves.push(Move::Pass(3_000));
        }
        moves
    }

    pub fn apply(&mut self, step: Move) {
        match step {
            Move::Deliver(i) => {
                let Phase::Event(event) = self.copies[i].phase.clone() else {
                    return;
                };
                let copy = &mut self.copies[i];
                let action = copy.owner.on(event, &self.ledgers[copy.router], self.now);
                self.act(i, action);
            }
            Move::Sync(router) => self.sync(router),
            Move::Connect(i) => {
                let number = self.copies[i].owner.attempt().number as usize;
                let agent = number % self.agents.len();
                let incarnation = self.agents[agent].incarnation;
                self.copies[i].link = (agent, incarnation);
                let event = Event::Connected {
                    target: target(agent),
                    agent: incarnation,
                };
                self.copies[i].phase = Phase::Event(event);
            }
            Move::Append(i, fate) => self.append(i, fate),
            Move::Read(i) => {
                let Phase::Read(event) = self.copies[i].phase.clone() else {
                    return;
                };
                let event = if self.down {
                    Event::LogLost
                } else {
                    self.sync(self.copies[i].router);
                    event
                };
                self.copies[i].phase = Phase::Event(event);
            }
            Move::Send(i, fate) => self.send(i, fate),
            Move::Finish(i, arrives) => self.finish(i, arrives),
            Move::Void(i, arrives) => {
                let Phase::Void(agent, claim) = self.copies[i].phase.clone() else {
                    return;
                };
                let answer = self.void(agent, claim);
                self.budget.link -= u8::from(!arrives);
                let event = if arrives {
                    Event::Void(answer)
                } else {
                    Event::VoidLost
                };
                self.copies[i].phase = Phase::Event(event);
            }
            Move::VoidMessageLost(i) => {
                self.budget.link -= 1;
                self.copies[i].phase = Phase::Event(Event::VoidLost);
            }
            Move::Record(i, lands) => {
                let Phase::Record(verdict, entry) = self.copies[i].phase.clone() else {
                    return;
                };
                if lands && !self.down {
                    self.log.push((self.now, vec![entry]));
                } else {
                    self.budget.append = self.budget.append.saturating_sub(1);
                }
                self.copies[i].phase = Phase::Done(verdict);
            }
            Move::LateAppend(n) => {
                let entries = self.late_appends.remove(n);
                self.log.push((self.now, entries));
            }
            Move::LateSend(n) => {
                let (copy, agent, claim) = self.late_sends.remove(n);
                if self.agents[agent].incarnation == claim.agent
                    && self.enter(copy, agent, claim).is_ok()
                {
                    self.agents[agent]
                        .guard
                        .finish_claim(claim.id, Execution::Ran);
                }
            }
            Move::Restart(agent) => {
                self.budget.restart -= 1;
                let incarnation = Incarnation::from(u64::from(self.agents[agent].incarnation) + 1);
                self.agents[agent] = Agent {
                    incarnation,
                    guard: ClaimGuard::new(incarnation, self.guard_size),
                };
            }
            Move::Pass(millis) => {
                self.budget.pause = self.budget.pause.saturating_sub(1);
                self.now += millis;
            }
        }
    }

    fn act(&mut self, i: usize, action: Action) {
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

    fn append(&mut self, i: usize, fate: AppendFate) {
        let Phase::Append(entries) = self.copies[i].phase.clone() else {
            return;
        };
        if self.down {
            self.copies[i].phase = Phase::Event(Event::LogLost);
            return;
        }
        if fate != AppendFate::Ok {
            self.budget.append -= 1;
        }
        let lost = if self.variant == Variant::NoReadBack {
            Event::Appended
        } else {
            Event::ReadBack
        };
        let next = match fate {
            AppendFate::Ok => {
                self.log.push((self.now, entries));
                Phase::Read(Event::Appended)
            }
            AppendFate::ReplyLost => {
                self.log.push((self.now, entries));
                if self.variant == Variant::NoReadBack {
                    return self.guess(i);
                }
                Phase::Read(lost)
            }
            AppendFate::Late => {
                self.late_appends.push(entries);
                Phase::Read(lost)
            }
            AppendFate::Refused => Phase::Event(Event::AppendRefused),
        };
        self.copies[i].phase = next;
    }

    /// The owner believes that its claim came right after what its ledger has read.
    fn guess(&mut self, i: usize) {
        let copy = &mut self.copies[i];
        let mut guess = self.ledgers[copy.router].clone();
        let offset = (self.log.len() as u64 - 1).into();
        guess.apply(offset, self.now, &self.log.last().expect("one record").1);
        let action = copy.owner.on(Event::Appended, &guess, self.now);
        self.act(i, action);
    }

    fn send(&mut self, i: usize, fate: SendFate) {
        let Phase::Send(claim) = self.copies[i].phase.clone() else {
            return;
        };
        let (agent, incarnation) = self.copies[i].link;
        let alive = self.agents[agent].incarnation == incarnation;
        self.copies[i].phase = match fate {
            _ if !alive => Phase::Event(Event::LinkLost),
            SendFate::Arrives => match self.enter(i, agent, claim) {
                Ok(()) => Phase::Running(claim),
                Err(code) => Phase::Event(Event::Refused(code)),
            },
            SendFate::NotAdmitted => {
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
            SendFate::Lost | SendFate::Late => {
                self.budget.link -= 1;
                if fate == SendFate::Late {
                    self.late_sends.push((i, agent, claim));
                }
                Phase::Event(Event::LinkLost)
            }
        };
    }

    /// The agent takes a claim and hands it to the service.
    fn enter(&mut self, i: usize, agent: usize, claim: ClaimRef) -> Result<(), Code> {
        let claim = self.seen(agent, claim);
        self.agents[agent].guard.start_claim(claim)?;
        self.copies[i].runs += 1;
        *self
            .runs
            .entry(self.copies[i].owner.order().key)
            .or_default() += 1;
        Ok(())
    }

    fn finish(&mut self, i: usize, arrives: bool) {
        let Phase::Running(claim) = self.copies[i].phase.clone() else {
            return;
        };
        let (agent, incarnation) = self.copies[i].link;
        let alive = self.agents[agent].incarnation == incarnation;
        if alive {
            self.agents[agent]
                .guard
                .finish_claim(claim.id, Execution::Ran);
            self.budget.link -= u8::from(!arrives);
        }
        let event = if alive && arrives {
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
        let claim = self.seen(agent, claim);
        if self.variant == Variant::NoVoidEntry {
            return self.agents[agent].guard.clone().void(claim);
        }
        self.agents[agent].guard.void(claim)
    }

    /// The claim as the guard of the variant sees it.
    fn seen(&self, agent: usize, mut claim: ClaimRef) -> ClaimRef {
        if self.variant == Variant::NoIncarnation {
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

    /// Whether every request has ended and nothing is under way.
    pub fn quiet(&self) -> bool {
        let done = |copy: &Copy| matches!(copy.phase, Phase::Done(_));
        self.copies.iter().all(done) && self.late_appends.is_empty() && self.late_sends.is_empty()
    }

    /// Checks P6 and P7.
    pub fn check(&self) -> Result<(), String> {
        if let Some((key, runs)) = self.runs.iter().find(|(_, runs)| **runs > 1) {
            return Err(format!("{key:?} ran {runs} times"));
        }
        for (i, copy) in self.copies.iter().enumerate() {
            let verdict = match &copy.phase {
                Phase::Done(verdict) | Phase::Record(verdict, _) => *verdict,
                _ => continue,
            };
            match verdict {
                Verdict::Code(code) if code.execution() == Execution::NotRun && copy.runs > 0 => {
                    return Err(format!("copy {i} ran and was answered {}", code.name()));
                }
                Verdict::Code(Code::Internal) => return Err(format!("copy {i}: lost its way")),
                Verdict::Answer if copy.runs != 1 => {
                    return Err(format!("copy {i} got an answer after {} runs", copy.runs));
                }
                Verdict::Recorded(_, Code::AlreadyRan)
                    if !self.runs.contains_key(&copy.owner.order().key) =>
                {
                    return Err(format!("copy {i}: told of a run that never was"));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// A hash by which the search recognises states that it has seen.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.now, &self.log, self.budget, &self.late_appends).hash(&mut hasher);
        (&self.late_sends, &self.runs).hash(&mut hasher);
        for ledger in &self.ledgers {
            // A ledger is a function of the log and its own position.
            ledger.next().hash(&mut hasher);
        }
        for agent in &self.agents {
            (agent.incarnation, &agent.guard).hash(&mut hasher);
        }
        for copy in &self.copies {
            (&copy.owner, copy.link, copy.runs, &copy.phase).hash(&mut hasher);
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
