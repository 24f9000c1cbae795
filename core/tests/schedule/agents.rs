//! Agents and engines in the random schedules, and the checks of the engines' load and of the
//! number of runs.

use std::{collections::HashMap, time::Duration};

use ebonyfall_core::{
    admit::{Admission, AdmissionRequest, Decision, RunOutcome, Ticket},
    code::Code,
    doc::{Idempotency, Priority},
    id::{AttemptId, Fingerprint},
    pace::ramp::Capacity,
    request::Event,
    time::Time,
};
use rand::Rng;

use crate::{InjectedFault, Message, ToAgent, World, answer_length};

const SLOTS: u32 = 8;
const COLD_SLOTS: u32 = 2;
/// Requests that an engine must complete to become warm; fewer than the ramp requires for its first
/// increase of the limit.
const WARM_AFTER: u32 = 8;
/// Longest time that an engine takes to notice a closed connection, in milliseconds.
const MAX_DISCONNECT_NOTICE_MS: u64 = 400;

pub struct Job {
    ticket: Ticket,
    running: bool,
    sent: u64,
    steps_left: u32,
}

pub struct Agent {
    admission: Admission,
    jobs: HashMap<AttemptId, Job>,
    /// When the engine notices each abandoned request.
    abandoned_until: Vec<Time>,
    pub paused: bool,
    finished: u32,
}

pub fn new_agent(fault: InjectedFault) -> Agent {
    let cold_slots = if fault == InjectedFault::NoRamp {
        SLOTS
    } else {
        COLD_SLOTS
    };
    Agent {
        admission: Admission::new(Capacity {
            slots: SLOTS,
            cold_slots,
            queue: 6,
        }),
        jobs: HashMap::new(),
        abandoned_until: Vec::new(),
        paused: false,
        finished: 0,
    }
}

impl World {
    pub fn on_agent(&mut self, target: usize, attempt: AttemptId, message: ToAgent) {
        let agent = &mut self.agents[target];
        match message {
            ToAgent::Submit if agent.jobs.contains_key(&attempt) => {}
            ToAgent::Submit => {
                let class = Priority::ALL[self.rng.random_range(0..3)];
                let request = AdmissionRequest {
                    team: format!("team{}", self.rng.random_range(0..3))
                        .parse()
                        .unwrap(),
                    weight: 1,
                    priority: class,
                    deadline: self.now + Duration::from_millis(self.rng.random_range(0..100)),
                    fingerprint: Fingerprint::from(0),
                    suspect: self.rng.random_bool(0.05),
                };
                match agent.admission.enqueue(request, self.now) {
                    Ok(ticket) => {
                        let job = Job {
                            ticket,
                            running: false,
                            sent: 0,
                            steps_left: 2,
                        };
                        agent.jobs.insert(attempt, job);
                    }
                    Err(refusal) => self.refuse(attempt, refusal.code),
                }
            }
            ToAgent::Resume(offset) => match agent.jobs.get(&attempt) {
                Some(job) if job.sent >= offset => {
                    let len = job.sent - offset;
                    self.part(attempt, offset, len);
                }
                _ => self.refuse(attempt, Code::LinkLost),
            },
            ToAgent::Cancel => {
                if let Some(job) = agent.jobs.remove(&attempt)
                    && !agent.admission.cancel(job.ticket)
                {
                    agent
                        .admission
                        .finish(job.ticket, RunOutcome::Abandoned, self.now);
                    let notice_delay =
                        Duration::from_millis(self.rng.random_range(0..=MAX_DISCONNECT_NOTICE_MS));
                    agent.abandoned_until.push(self.now + notice_delay);
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

    /// Carries out the decisions of the agent's admission control, then checks the engine's load
    /// and that no at-most-once request runs twice.
    pub fn run_admission(&mut self, target: usize) -> Result<(), String> {
        let now = self.now;
        while let Some(decision) = self.agents[target].admission.next_decision(now) {
            let jobs = &mut self.agents[target].jobs;
            let (Decision::Start(ticket) | Decision::Refuse(ticket, _)) = decision;
            let found = jobs.iter().find(|(_, job)| job.ticket == ticket);
            let Some(attempt) = found.map(|(attempt, _)| *attempt) else {
                self.agents[target]
                    .admission
                    .finish(ticket, RunOutcome::Failed, now);
                continue;
            };
            match decision {
                Decision::Refuse(_, refusal) => {
                    jobs.remove(&attempt);
                    self.refuse(attempt, refusal.code);
                }
                Decision::Start(_) => {
                    jobs.get_mut(&attempt).expect("found above").running = true;
                    let runs = self.runs.entry(attempt.request).or_default();
                    *runs += 1;
                    let request = self.requests.get(&attempt.request);
                    let at_most_once =
                        request.is_some_and(|request| request.repeat == Idempotency::AtMostOnce);
                    if at_most_once && *runs > 1 {
                        return Err(format!("{} ran twice", attempt.request));
                    }
                }
            }
        }
        let agent = &mut self.agents[target];
        agent.abandoned_until.retain(|until| *until > now);
        let running = agent.jobs.values().filter(|job| job.running).count();
        let running = running + agent.abandoned_until.len();
        let limit = if agent.finished < WARM_AFTER {
            COLD_SLOTS
        } else {
            SLOTS
        };
        if running > limit as usize {
            return Err(format!(
                "{running} requests at engine {target}, whose limit is {limit}"
            ));
        }
        Ok(())
    }

    /// Advances one running request at the engine of `target`.
    pub fn advance_engine(&mut self, target: usize) {
        let agent = &mut self.agents[target];
        let jobs = agent.jobs.iter().filter(|(_, job)| job.running);
        let mut running: Vec<_> = jobs.map(|(attempt, _)| *attempt).collect();
        running.sort_unstable();
        if running.is_empty() || agent.paused {
            return;
        }
        let attempt = running[self.rng.random_range(0..running.len())];
        let total_len = answer_length(attempt.request);
        let job = agent.jobs.get_mut(&attempt).expect("taken from the map");
        if job.steps_left > 0 {
            job.steps_left -= 1;
            return;
        }
        if job.sent < total_len {
            let len = self.rng.random_range(1..=total_len - job.sent);
            let offset = job.sent;
            job.sent += len;
            let truncated = self.fault == InjectedFault::TruncatedAsComplete;
            self.part(attempt, offset, len);
            if truncated {
                self.done(attempt, offset + len);
            }
            return;
        }
        let ticket = job.ticket;
        agent.jobs.remove(&attempt);
        agent.finished += 1;
        agent.admission.finish(
            ticket,
            RunOutcome::Completed(usize::try_from(total_len).expect("a short answer")),
            self.now,
        );
        self.done(attempt, total_len);
    }

    fn done(&mut self, attempt: AttemptId, length: u64) {
        self.send(attempt, Event::AnswerEnded { attempt, length });
    }

    /// Crashes the engine of `target`, which restarts cold.
    pub fn crash_engine(&mut self, target: usize) {
        let now = self.now;
        let agent = &mut self.agents[target];
        agent.finished = 0;
        agent.abandoned_until.clear();
        agent.admission.on_engine_unreachable();
        let mut running: Vec<_> = agent
            .jobs
            .extract_if(|_, job| job.running)
            .map(|(attempt, job)| (attempt, job.ticket))
            .collect();
        running.sort_unstable();
        for (attempt, ticket) in running {
            self.agents[target]
                .admission
                .finish(ticket, RunOutcome::Crashed, now);
            let codes = [Code::EngineCrashed, Code::Overloaded];
            let code = codes[usize::from(self.fault == InjectedFault::FalseNotRun)];
            self.refuse(attempt, code);
        }
    }

    /// Restarts the agent of `target` after a kill; its engine drops the running requests.
    pub fn restart_agent(&mut self, target: usize) {
        self.messages
            .retain(|message| !matches!(message, Message::Agent(to, ..) if *to == target));
        self.agents[target] = new_agent(self.fault);
    }
}
