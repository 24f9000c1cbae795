//! Seeded random schedules of requests, agents and engines. Messages are lost, delayed, duplicated
//! or misrouted; engines and agents crash, pause and restart. Every step checks the answers, that
//! refusals as not run are true, the load of cold engines and the number of runs.
//!
//! For a long run: `SCHEDULE_STEPS=1000000 SCHEDULE_SEED=1 cargo test --release -p ebonyfall-core
//! --test schedule`.

mod agents;
#[path = "../common/mod.rs"]
mod common;

use std::{collections::HashMap, time::Duration};

use agents::{Agent, new_agent};
use common::variable;
use ebonyfall_core::{
    code::{Code, Execution},
    doc::Idempotency,
    id::{AttemptId, RequestId},
    name::{TargetName, ZoneName},
    request::{Action, Event, RelayedRequest},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const TARGETS: usize = 4;
/// Maximum number of open requests.
const MAX_OPEN_REQUESTS: usize = 24;
/// An injected fault that one of the checks must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// Parts of one attempt are accepted as parts of another attempt.
    SpliceAttempts,
    /// The end of the answer states the number of bytes sent so far as the total length.
    TruncatedAsComplete,
    /// A request that was running is refused with a code for requests that did not run.
    FalseNotRun,
    /// The agent ignores cold starts and uses the full concurrency limit at once.
    NoRamp,
    /// Submissions are delivered twice, as without the message counter of the connection.
    DuplicateSubmit,
}

#[derive(Debug, Clone, Copy)]
enum ToAgent {
    Submit,
    Resume(u64),
    Cancel,
}

#[derive(Debug)]
enum Message {
    Agent(usize, AttemptId, ToAgent),
    Router(Event, Option<AttemptId>),
}

struct Request {
    id: RequestId,
    repeat: Idempotency,
    state: RelayedRequest,
    action: Action,
    target: usize,
    /// The attempt that sent the first part, and the number of bytes delivered to the caller.
    delivered: Option<(AttemptId, u64)>,
    deadline: Time,
}

struct World {
    rng: SmallRng,
    fault: InjectedFault,
    now: Time,
    agents: Vec<Agent>,
    requests: HashMap<RequestId, Request>,
    messages: Vec<Message>,
    runs: HashMap<RequestId, u32>,
    last_id: u128,
    completed: u64,
    resumed: u64,
    failed: u64,
}

/// Length in bytes of the answer to a request.
fn answer_length(request: RequestId) -> u64 {
    u64::try_from(u128::from(request) % 20).expect("less than 20")
}

impl World {
    fn new(seed: u64, fault: InjectedFault) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            fault,
            now: Time::from_millis(1),
            agents: (0..TARGETS).map(|_| new_agent(fault)).collect(),
            requests: HashMap::new(),
            messages: Vec::new(),
            runs: HashMap::new(),
            last_id: 0,
            completed: 0,
            resumed: 0,
            failed: 0,
        }
    }

    fn step(&mut self) -> Result<(), String> {
        self.now = self.now + Duration::from_micros(self.rng.random_range(1..300));
        let target = self.rng.random_range(0..TARGETS);
        match self.rng.random_range(0..1000) {
            0..3 => self.crash_engine(target),
            3..5 => self.restart_agent(target),
            5..12 => self.agents[target].paused ^= true,
            12..30 => self.break_connection()?,
            30..200 => self.start_request()?,
            200..600 => self.deliver_message()?,
            600..900 => self.advance_engine(target),
            900..910 => self
                .random_request()
                .map_or(Ok(()), |id| self.handle_event(id, Event::CallerGone))?,
            _ => self.expire_requests()?,
        }
        for target in 0..TARGETS {
            self.run_admission(target)?;
        }
        Ok(())
    }

    fn random_request(&mut self) -> Option<RequestId> {
        let mut ids: Vec<_> = self.requests.keys().copied().collect();
        ids.sort_unstable();
        (!ids.is_empty()).then(|| ids[self.rng.random_range(0..ids.len())])
    }

    fn start_request(&mut self) -> Result<(), String> {
        if self.requests.len() >= MAX_OPEN_REQUESTS {
            return Ok(());
        }
        self.last_id += 1;
        let id = RequestId::from(self.last_id);
        let repeats = [Idempotency::Idempotent, Idempotency::AtMostOnce];
        let repeat = repeats[usize::from(self.rng.random_bool(0.3))];
        let deadline = self.now + Duration::from_millis(self.rng.random_range(1..200));
        let (state, action) = RelayedRequest::start(id, repeat, deadline);
        let (target, delivered, deadline) = (0, None, deadline);
        let request = Request {
            id,
            repeat,
            state,
            action,
            target,
            delivered,
            deadline,
        };
        self.requests.insert(id, request);
        self.perform_action(id)
    }

    /// Carries out the pending action of a request, as the relay does.
    fn perform_action(&mut self, id: RequestId) -> Result<(), String> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Ok(());
        };
        let target = request.target;
        match request.action {
            Action::Choose => {
                let tried = request.state.excluded();
                let name = |index: usize| format!("t{index}").parse::<TargetName>().unwrap();
                let untried: Vec<_> = (0..TARGETS)
                    .filter(|i| !tried.contains(&name(*i)))
                    .collect();
                if untried.is_empty() {
                    return self.handle_event(id, Event::NoTarget(Code::NoTarget));
                }
                request.target = untried[self.rng.random_range(0..untried.len())];
                let target = name(request.target);
                let zone: ZoneName = "z".parse().unwrap();
                self.handle_event(id, Event::TargetChosen { target, zone })
            }
            Action::Submit(_) if self.rng.random_bool(0.02) => {
                self.handle_event(id, Event::Unreachable)
            }
            Action::Submit(attempt) => {
                self.messages
                    .push(Message::Agent(target, attempt, ToAgent::Submit));
                if self.fault == InjectedFault::DuplicateSubmit {
                    self.messages
                        .push(Message::Agent(target, attempt, ToAgent::Submit));
                }
                Ok(())
            }
            Action::Resume { attempt, offset } => {
                self.resumed += 1;
                if self.rng.random_bool(0.1) {
                    return self.handle_event(id, Event::ResumeFailed);
                }
                self.messages
                    .push(Message::Agent(target, attempt, ToAgent::Resume(offset)));
                Ok(())
            }
            Action::Pause { .. } if self.rng.random_bool(0.1) => {
                self.handle_event(id, Event::RetryDenied)
            }
            Action::Pause { .. } => self.handle_event(id, Event::PauseEnded),
            Action::Receive | Action::Drop | Action::Deliver { .. } => Ok(()),
            Action::Cancel(attempt) => {
                self.messages
                    .push(Message::Agent(target, attempt, ToAgent::Cancel));
                self.requests.remove(&id);
                Ok(())
            }
            Action::Finish => {
                let delivered = request.delivered.map_or(0, |(_, delivered)| delivered);
                self.requests.remove(&id);
                self.completed += 1;
                if delivered == answer_length(id) {
                    return Ok(());
                }
                Err(format!(
                    "{id} was finished with {delivered} of {} bytes",
                    answer_length(id)
                ))
            }
            Action::Abandon { attempt, code } => {
                self.messages
                    .push(Message::Agent(target, attempt, ToAgent::Cancel));
                request.action = Action::Fail(code);
                self.perform_action(id)
            }
            Action::Fail(code) => {
                let ran = self.runs.get(&id).copied().unwrap_or(0);
                self.requests.remove(&id);
                self.failed += 1;
                if code.execution() == Execution::NotRun && ran > 0 {
                    return Err(format!("{id} was refused as {} but ran", code.name()));
                }
                Ok(())
            }
        }
    }

    fn handle_event(&mut self, id: RequestId, event: Event) -> Result<(), String> {
        self.handle_message(id, event, None)
    }

    /// Passes an event to the state of the request and checks what is delivered to the caller.
    /// `actual_attempt` is the attempt that sent the message, whatever the message states.
    fn handle_message(
        &mut self,
        id: RequestId,
        event: Event,
        actual_attempt: Option<AttemptId>,
    ) -> Result<(), String> {
        let random = self.rng.random();
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return Ok(());
        };
        request.action = request.state.on_event(event.clone(), random, now);
        if let (Action::Deliver { skip }, Event::Part { offset, len, .. }, Some(attempt)) =
            (request.action, event, actual_attempt)
        {
            let (first, delivered) = request.delivered.get_or_insert((attempt, 0));
            if *first != attempt || attempt.request != id || *delivered != offset + skip {
                return Err(format!("{id}: bytes of {attempt} after those of {first}"));
            }
            *delivered += len - skip;
        }
        self.perform_action(id)
    }

    fn deliver_message(&mut self) -> Result<(), String> {
        if self.messages.is_empty() {
            return Ok(());
        }
        let index = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(index);
        match message {
            Message::Agent(target, attempt, message) => {
                if self.rng.random_bool(0.02) {
                    return Ok(());
                }
                self.on_agent(target, attempt, message);
                Ok(())
            }
            Message::Router(event, attempt) => {
                if self.rng.random_bool(0.05) {
                    self.messages.push(Message::Router(event.clone(), attempt));
                }
                if self.rng.random_bool(0.02) {
                    return Ok(());
                }
                // A misrouted message arrives at another request.
                let to = match attempt {
                    Some(attempt) if self.rng.random_bool(0.98) => Some(attempt.request),
                    _ => self.random_request(),
                };
                let Some(id) = to else {
                    return Ok(());
                };
                let event = match (self.fault, self.requests.get(&id)) {
                    (InjectedFault::SpliceAttempts, Some(request)) => {
                        claim_current_attempt(event, request)
                    }
                    _ => event,
                };
                self.handle_message(id, event, attempt)
            }
        }
    }

    fn break_connection(&mut self) -> Result<(), String> {
        let Some(id) = self.random_request() else {
            return Ok(());
        };
        match self.requests[&id].action {
            Action::Submit(_) | Action::Receive | Action::Deliver { .. } | Action::Drop => {
                self.handle_event(id, Event::ConnectionLost)
            }
            _ => Ok(()),
        }
    }

    fn expire_requests(&mut self) -> Result<(), String> {
        let now = self.now;
        let late = self
            .requests
            .values()
            .filter(|request| request.deadline <= now);
        let mut expired: Vec<_> = late.map(|request| request.id).collect();
        expired.sort_unstable();
        for id in expired {
            self.handle_event(id, Event::Expired)?;
        }
        Ok(())
    }
}

/// Changes the attempt that a message names to the current attempt of `request`.
fn claim_current_attempt(mut event: Event, request: &Request) -> Event {
    if let Event::Part { attempt, .. } | Event::AnswerEnded { attempt, .. } = &mut event {
        let tried = u32::try_from(request.state.tried().len()).expect("few attempts");
        *attempt = AttemptId {
            request: request.id,
            number: tried.saturating_sub(1),
        };
    }
    event
}

/// Runs schedules of at most 10,000 steps each, so that a failure is reported with a short one.
fn schedules(fault: InjectedFault, seed: u64, steps: u64) -> Result<World, String> {
    let mut total = World::new(seed, fault);
    for number in 0..steps.div_ceil(10_000) {
        let mut world = World::new(seed + number, fault);
        for step in 0..10_000.min(steps) {
            let at = |error| format!("seed {}, step {step}: {error}", seed + number);
            world.step().map_err(at)?;
        }
        total.completed += world.completed;
        total.resumed += world.resumed;
        total.failed += world.failed;
    }
    Ok(total)
}

/// Guards against truncated, spliced or misrouted answers, refusals as not run of requests that
/// ran, overloaded cold engines and at-most-once requests that run twice, under random faults.
#[test]
fn random_schedules_keep_the_invariants() {
    let steps = variable("SCHEDULE_STEPS", 50_000);
    let world = schedules(InjectedFault::None, variable("SCHEDULE_SEED", 1), steps);
    let world = world.unwrap_or_else(|error| panic!("{error}"));
    println!(
        "{steps} steps: {} completed, {} failed, {} resumed",
        world.completed, world.failed, world.resumed
    );
    // Schedules in which nothing completes, fails or resumes would test nothing.
    assert!(world.completed > steps / 200 && world.failed > 0 && world.resumed > 0);
}

/// Guards against a check that does not detect its injected fault.
#[test]
fn every_injected_fault_is_found() {
    for (fault, expected) in [
        (InjectedFault::SpliceAttempts, "bytes of"),
        (InjectedFault::TruncatedAsComplete, "was finished with"),
        (InjectedFault::FalseNotRun, "was refused as"),
        (InjectedFault::NoRamp, "whose limit is"),
        (InjectedFault::DuplicateSubmit, "ran twice"),
    ] {
        // Another check may detect the fault first, so several seeds are tried.
        let found = (1..=50).any(|seed| {
            let error = schedules(fault, seed, 10_000).err();
            error.is_some_and(|error| error.contains(expected))
        });
        assert!(found, "{fault:?} was not found");
    }
}
