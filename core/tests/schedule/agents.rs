//! Agents and their engines in the schedules, and the checks of the engines' load and runs.

use std::{collections::HashMap, time::Duration};

use ebonyfall_core::{
    admit::{Admission, End, Offer, Step, Ticket},
    code::Code,
    doc::{Idempotency, Priority},
    id::{AttemptId, Fingerprint},
    ramp::Capacity,
    request::Event,
    time::Time,
};
use rand::Rng;

use crate::{Broken, Message, ToAgent, World, length};

const SLOTS: u32 = 8;
const COLD: u32 = 2;
/// Requests that an engine finishes before it is warm; fewer than the ramp's proof.
const WARM_AFTER: u32 = 8;
/// Longest time in which an engine notices that a request was given up, in milliseconds.
const MAX_LEAVE_MS: u64 = 400;

pub struct Work {
    ticket: Ticket,
    running: bool,
    sent: u64,
    left: u32,
}

pub struct Agent {
    admission: Admission,
    works: HashMap<AttemptId, Work>,
    /// When the engine notices that each request was given up.
    leaving: Vec<Time>,
    pub paused: bool,
    finished: u32,
}

pub fn agent(broken: Broken) -> Agent {
    let cold_slots = if broken == Broken::NoRamp {
        SLOTS
    } else {
        COLD
    };
    Agent {
        admission: Admission::new(Capacity {
            slots: SLOTS,
            cold_slots,
            queue: 6,
        }),
        works: HashMap::new(),
        leaving: Vec::new(),
        paused: false,
        finished: 0,
    }
}

impl World {
    pub fn on_agent(&mut self, target: usize, attempt: AttemptId, message: ToAgent) {
        let agent = &mut self.agents[target];
        match message {
            ToAgent::Submit if agent.works.contains_key(&attempt) => {}
            ToAgent::Submit => {
                let class = Priority::ALL[self.rng.random_range(0..3)];
                let offer = Offer {
                    team: format!("team{}", self.rng.random_range(0..3))
                        .parse()
                        .unwrap(),
                    weight: 1,
                    priority: class,
                    deadline: self.now + Duration::from_millis(self.rng.random_range(0..100)),
                    fingerprint: Fingerprint::from(0),
                    suspect: self.rng.random_bool(0.05),
                };
                match agent.admission.offer(offer, self.now) {
                    Ok(ticket) => {
                        let work = Work {
                            ticket,
                            running: false,
                            sent: 0,
                            left: 2,
                        };
                        agent.works.insert(attempt, work);
                    }
                    Err(refusal) => self.refuse(attempt, refusal.code),
                }
            }
            ToAgent::Resume(offset) => match agent.works.get(&attempt) {
                Some(work) if work.sent >= offset => {
                    let len = work.sent - offset;
                    self.part(attempt, offset, len);
                }
                _ => self.refuse(attempt, Code::LinkLost),
            },
            ToAgent::Cancel => {
                if let Some(work) = agent.works.remove(&attempt)
                    && !agent.admission.cancel(work.ticket)
                {
                    agent
                        .admission
                        .finish(work.ticket, End::Abandoned, self.now);
                    let noticed = Duration::from_millis(self.rng.random_range(0..=MAX_LEAVE_MS));
                    agent.leaving.push(self.now + noticed);
                }
            }
        }
    }

    fn refuse(&mut self, attempt: AttemptId, code: Code) {
        self.send(attempt, Event::Refused { attempt, code });
    }

    fn part(&mut self, attempt: AttemptId, offset: u64, len: u64) {
        let event = Event::Part {
            attempt,
            offset,
            len,
        };
        self.send(attempt, event);
    }

    fn send(&mut self, attempt: AttemptId, event: Event) {
        self.messages.push(Message::Router(event, Some(attempt)));
    }

    /// Starts and refuses what the agent's admission says, and checks the load of the engine.
    pub fn admit(&mut self, target: usize) -> Result<(), String> {
        let now = self.now;
        while let Some(step) = self.agents[target].admission.next(now) {
            let works = &mut self.agents[target].works;
            let (Step::Start(ticket) | Step::Refuse(ticket, _)) = step;
            let found = works.iter().find(|(_, work)| work.ticket == ticket);
            let Some(attempt) = found.map(|(attempt, _)| *attempt) else {
                self.agents[target]
                    .admission
                    .finish(ticket, End::Failed, now);
                continue;
            };
            match step {
                Step::Refuse(_, refusal) => {
                    works.remove(&attempt);
                    self.refuse(attempt, refusal.code);
                }
                Step::Start(_) => {
                    works.get_mut(&attempt).expect("found above").running = true;
                    let runs = self.runs.entry(attempt.request).or_default();
                    *runs += 1;
                    let once = self.requests.get(&attempt.request);
                    let once =
                        once.is_some_and(|request| request.repeat == Idempotency::AtMostOnce);
                    if once && *runs > 1 {
                        return Err(format!("{} ran twice", attempt.request));
                    }
                }
            }
        }
        let agent = &mut self.agents[target];
        agent.leaving.retain(|until| *until > now);
        let running = agent.works.values().filter(|work| work.running).count();
        let running = running + agent.leaving.len();
        let bound = if agent.finished < WARM_AFTER {
            COLD
        } else {
            SLOTS
        };
        if running > bound as usize {
            return Err(format!(
                "{running} requests at engine {target}, which bears {bound}"
            ));
        }
        Ok(())
    }

    /// Lets the engine of `target` work on one running request.
    pub fn generate(&mut self, target: usize) {
        let agent = &mut self.agents[target];
        let works = agent.works.iter().filter(|(_, work)| work.running);
        let mut running: Vec<_> = works.map(|(attempt, _)| *attempt).collect();
        running.sort_unstable();
        if running.is_empty() || agent.paused {
            return;
        }
        let attempt = running[self.rng.random_range(0..running.len())];
        let whole = length(attempt.request);
        let work = agent.works.get_mut(&attempt).expect("taken from the map");
        if work.left > 0 {
            work.left -= 1;
            return;
        }
        if work.sent < whole {
            let len = self.rng.random_range(1..=whole - work.sent);
            let offset = work.sent;
            work.sent += len;
            let cut = self.broken == Broken::CutAsWhole;
            self.part(attempt, offset, len);
            if cut {
                self.done(attempt, offset + len);
            }
            return;
        }
        let ticket = work.ticket;
        agent.works.remove(&attempt);
        agent.finished += 1;
        agent.admission.finish(
            ticket,
            End::Whole(usize::try_from(whole).expect("a short answer")),
            self.now,
        );
        self.done(attempt, whole);
    }

    fn done(&mut self, attempt: AttemptId, length: u64) {
        self.send(attempt, Event::Done { attempt, length });
    }

    /// The engine of `target` crashes and comes back cold.
    pub fn crash(&mut self, target: usize) {
        let now = self.now;
        let agent = &mut self.agents[target];
        agent.finished = 0;
        agent.leaving.clear();
        agent.admission.unreachable();
        let mut running: Vec<_> = agent
            .works
            .extract_if(|_, work| work.running)
            .map(|(attempt, work)| (attempt, work.ticket))
            .collect();
        running.sort_unstable();
        for (attempt, ticket) in running {
            self.agents[target]
                .admission
                .finish(ticket, End::Crashed, now);
            let codes = [Code::EngineCrashed, Code::Overloaded];
            let code = codes[usize::from(self.broken == Broken::FalseNotRun)];
            self.refuse(attempt, code);
        }
    }

    /// The agent of `target` is killed and starts again; its engine drops the running work.
    pub fn restart(&mut self, target: usize) {
        self.messages
            .retain(|message| !matches!(message, Message::Agent(to, ..) if *to == target));
        self.agents[target] = agent(self.broken);
    }
}
