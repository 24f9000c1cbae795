//! The agent's task that owns the admission queue, the table of attempts and the record of requests
//! suspected of crashing engines.

use std::{collections::HashMap, time::Duration};

use ebonyfall_core::{
    admit::{Admission, AdmissionRefusal, AdmissionRequest, Decision, RunOutcome, Ticket},
    code::Code,
    crash::{ContentStatus, Crash, Suspects},
    doc::Priority,
    drain::{Drain, DrainStatus},
    id::{AttemptId, Fingerprint, Incarnation},
    load::{LoadBound, PoolLoad},
    name::{TargetName, TeamName},
    pace::ramp::Capacity,
    time::Time,
};
use ebonyfall_wire::frame::Load;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep_until},
};

use crate::{
    ask::ask,
    clock::{self, Clock},
    link::Link,
    supervisor::{Supervisor, TaskName},
};

/// Capacity of the task's command channel.
const QUEUE_LEN: usize = 4096;
/// Longest sleep of the task between commands.
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// A new connection on which a router resumes an attempt after the previous one broke.
#[derive(Debug)]
pub struct Handover {
    /// New connection to the router, after the handshake.
    pub link: Link,
    /// Number of bytes of the answer that the router has received.
    pub offset: u64,
}

/// An attempt that requests admission.
#[derive(Debug)]
pub struct NewAttempt {
    /// Id of the attempt, which is unique to one submission of a request.
    pub attempt: AttemptId,
    /// Team that sent the request.
    pub team: TeamName,
    /// Weight of the team in the fair queue relative to other teams, from 1 to 1000; set in the
    /// configuration, 1 if the agent does not know the team.
    pub weight: u32,
    /// Priority class in the queue.
    pub priority: Priority,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Whether the attempt is refused if the target's load exceeds its bound.
    pub apply_load_bound: bool,
    /// Hash of the request's team and content.
    pub fingerprint: Fingerprint,
    /// Last crash of a target during a request with the same content, as reported by the router.
    pub reported_crash: Option<Crash>,
    /// Channel to the attempt's session, for a connection that replaces a broken one.
    pub handover: mpsc::Sender<Handover>,
}

/// Admission of an attempt: `Ok` if it may run now, otherwise the refusal and the target's load.
pub type AdmissionResult = Result<(), (AdmissionRefusal, Load)>;

#[derive(Debug)]
enum Command {
    Load(oneshot::Sender<Load>),
    Enqueue {
        new_attempt: Box<NewAttempt>,
        reply: oneshot::Sender<AdmissionResult>,
    },
    Finish {
        attempt: AttemptId,
        outcome: RunOutcome,
        reply: oneshot::Sender<(Load, bool)>,
    },
    Forget(AttemptId),
    FindHandover {
        attempt: AttemptId,
        reply: oneshot::Sender<Option<mpsc::Sender<Handover>>>,
    },
    EngineReport(Option<(Incarnation, bool)>),
    SetLimits {
        capacity: Capacity,
        quarantine: Duration,
    },
    PoolLoad(PoolLoad),
    Incarnation(oneshot::Sender<Option<Incarnation>>),
    Drain {
        within: Duration,
        reply: oneshot::Sender<DrainStatus>,
    },
}

/// Handle of the task that admits attempts to the target.
#[derive(Debug, Clone)]
pub struct AdmissionHandle(mpsc::Sender<Command>);

impl AdmissionHandle {
    /// Starts the task, which ends when the last handle is dropped.
    pub fn start(
        target: TargetName,
        capacity: Capacity,
        load_bound: LoadBound,
        quarantine: Duration,
        clock: Clock,
        supervisor: &Supervisor,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let task = Task {
            target,
            clock,
            admission: Admission::new(capacity),
            load_bound,
            suspects: Suspects::new(quarantine),
            attempts: HashMap::new(),
            tickets: HashMap::new(),
            drain: Drain::default(),
            drain_waiter: None,
        };
        supervisor.spawn(TaskName::Admission, task.run(rx));
        Self(tx)
    }

    /// Puts an attempt into the queue. The receiver resolves once the attempt may run or is
    /// refused.
    pub async fn enqueue(&self, new_attempt: NewAttempt) -> oneshot::Receiver<AdmissionResult> {
        let (reply, answer) = oneshot::channel();
        let new_attempt = Box::new(new_attempt);
        let _ended = self.0.send(Command::Enqueue { new_attempt, reply }).await;
        answer
    }

    /// Records the end of an admitted attempt. Returns the target's load, and whether the request's
    /// content is suspected of crashing engines.
    pub async fn finish(&self, attempt: AttemptId, outcome: RunOutcome) -> (Load, bool) {
        let finish = |reply| Command::Finish {
            attempt,
            outcome,
            reply,
        };
        ask(&self.0, finish).await.unwrap_or_default()
    }

    /// Removes an attempt whose answer was delivered or whose caller disconnected; frees its slot
    /// if it still runs.
    pub async fn forget(&self, attempt: AttemptId) {
        let _ended = self.0.send(Command::Forget(attempt)).await;
    }

    /// Returns the target's current load; zero if the task has ended.
    pub async fn load(&self) -> Load {
        ask(&self.0, Command::Load).await.unwrap_or_default()
    }

    /// Returns the channel that passes a new connection to the session of an attempt; `None` if the
    /// attempt is not known.
    pub async fn handover_sender(&self, attempt: AttemptId) -> Option<mpsc::Sender<Handover>> {
        let (reply, answer) = oneshot::channel();
        self.0
            .send(Command::FindHandover { attempt, reply })
            .await
            .ok()?;
        answer.await.ok()?
    }

    /// Records the engine's status: its incarnation and whether it is in cold start, or `None` if
    /// it is unreachable.
    pub async fn report_engine(&self, status: Option<(Incarnation, bool)>) {
        let _ended = self.0.send(Command::EngineReport(status)).await;
    }

    /// Applies the capacity and the quarantine duration of a new configuration.
    pub async fn set_limits(&self, capacity: Capacity, quarantine: Duration) {
        let _ended = self
            .0
            .send(Command::SetLimits {
                capacity,
                quarantine,
            })
            .await;
    }

    /// Records the load summed over the target's pool, as received by gossip.
    pub async fn record_pool_load(&self, load: PoolLoad) {
        let _ended = self.0.send(Command::PoolLoad(load)).await;
    }

    /// Returns the engine's incarnation from its last status; `None` before the first one.
    pub async fn incarnation(&self) -> Option<Incarnation> {
        let (reply, answer) = oneshot::channel();
        self.0.send(Command::Incarnation(reply)).await.ok()?;
        answer.await.ok()?
    }

    /// Refuses new attempts and waits up to `within` for the accepted ones to end.
    pub async fn drain(&self, within: Duration) -> DrainStatus {
        ask(&self.0, |reply| Command::Drain { within, reply })
            .await
            .unwrap_or(DrainStatus::Nothing)
    }
}

#[derive(Debug)]
struct Attempt {
    ticket: Ticket,
    fingerprint: Fingerprint,
    handover: mpsc::Sender<Handover>,
    /// Sender of the admission result; `None` once it was sent.
    reply: Option<oneshot::Sender<AdmissionResult>>,
}

struct Task {
    target: TargetName,
    clock: Clock,
    admission: Admission,
    load_bound: LoadBound,
    suspects: Suspects,
    attempts: HashMap<AttemptId, Attempt>,
    tickets: HashMap<Ticket, AttemptId>,
    drain: Drain,
    drain_waiter: Option<(Instant, oneshot::Sender<DrainStatus>)>,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<Command>) {
        loop {
            let now = self.clock.now();
            let sleep = self.admission.next_wakeup().map(|wake| wake.since(now));
            let mut wake = Instant::now() + sleep.unwrap_or(MAX_SLEEP);
            if let Some((until, _)) = &self.drain_waiter {
                wake = wake.min(*until);
            }
            tokio::select! {
                command = rx.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                () = sleep_until(wake) => {}
            }
            self.dispatch();
        }
    }

    fn on_command(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Enqueue { new_attempt, reply } => self.enqueue(*new_attempt, reply, now),
            Command::Finish {
                attempt,
                outcome,
                reply,
            } => {
                let mut suspect = false;
                if let Some(known) = self.attempts.get(&attempt) {
                    let (ticket, fingerprint) = (known.ticket, known.fingerprint);
                    let interrupted = self.admission.finish(ticket, outcome, now);
                    self.suspects
                        .record_crash(&self.target, &interrupted, unix_now());
                    if matches!(outcome, RunOutcome::Completed(_)) {
                        self.suspects.record_success(fingerprint, unix_now());
                    }
                    suspect = self.suspects.status(fingerprint, unix_now()) != ContentStatus::Clear;
                    self.dispatch();
                }
                let _caller_gone = reply.send((self.load(), suspect));
            }
            Command::Load(reply) => {
                let _caller_gone = reply.send(self.load());
            }
            Command::Forget(attempt) => {
                if let Some(known) = self.attempts.remove(&attempt) {
                    self.tickets.remove(&known.ticket);
                    if !self.admission.cancel(known.ticket) {
                        self.admission
                            .finish(known.ticket, RunOutcome::Abandoned, now);
                    }
                }
            }
            Command::FindHandover { attempt, reply } => {
                let handover = self.attempts.get(&attempt);
                let _caller_gone = reply.send(handover.map(|attempt| attempt.handover.clone()));
            }
            Command::EngineReport(Some((incarnation, cold))) => {
                let interrupted = self.admission.on_engine_report(incarnation, cold);
                self.suspects
                    .record_crash(&self.target, &interrupted, unix_now());
            }
            Command::EngineReport(None) => self.admission.on_engine_unreachable(),
            Command::SetLimits {
                capacity,
                quarantine,
            } => {
                self.admission.set_capacity(capacity);
                self.suspects.set_mark_ttl(quarantine);
            }
            Command::PoolLoad(load) => self.load_bound.record_pool(load, now),
            Command::Incarnation(reply) => {
                let _caller_gone = reply.send(self.admission.incarnation());
            }
            Command::Drain { within, reply } => {
                self.drain.begin(within, now);
                self.admission.close(Code::Leaving);
                self.drain_waiter = Some((Instant::now() + within, reply));
            }
        }
    }

    fn enqueue(
        &mut self,
        new_attempt: NewAttempt,
        reply: oneshot::Sender<AdmissionResult>,
        now: Time,
    ) {
        let unix = unix_now();
        let fingerprint = new_attempt.fingerprint;
        if let Some(crash) = new_attempt.reported_crash {
            self.suspects
                .add_reported_crash(fingerprint, &new_attempt.team, crash, unix);
        }
        let status = self.suspects.status(fingerprint, unix);
        let is_duplicate = self.attempts.contains_key(&new_attempt.attempt);
        let refusal_code = match status {
            ContentStatus::Held => Some(Code::Held),
            // The first copy of a submission that was duplicated in transit may be running.
            _ if is_duplicate => Some(Code::InProgress),
            _ if new_attempt.apply_load_bound && !self.load_bound.admits(self.requests(), now) => {
                Some(Code::OverBound)
            }
            _ => None,
        };
        let admitted = match refusal_code {
            Some(code) => Err(AdmissionRefusal {
                code,
                retry_after: Duration::ZERO,
            }),
            None => self.admission.enqueue(
                AdmissionRequest {
                    team: new_attempt.team,
                    weight: new_attempt.weight,
                    priority: new_attempt.priority,
                    deadline: now + new_attempt.time_left,
                    fingerprint,
                    suspect: matches!(status, ContentStatus::Suspect(_)),
                },
                now,
            ),
        };
        match admitted {
            Err(refusal) => {
                let _caller_gone = reply.send(Err((refusal, self.load())));
            }
            Ok(ticket) => {
                self.tickets.insert(ticket, new_attempt.attempt);
                let attempt = Attempt {
                    ticket,
                    fingerprint,
                    handover: new_attempt.handover,
                    reply: Some(reply),
                };
                self.attempts.insert(new_attempt.attempt, attempt);
            }
        }
    }

    fn requests(&self) -> u32 {
        let load = self.load();
        load.running + load.waiting
    }

    fn dispatch(&mut self) {
        let now = self.clock.now();
        while let Some(decision) = self.admission.next_decision(now) {
            let (ticket, result) = match decision {
                Decision::Start(ticket) => (ticket, Ok(())),
                Decision::Refuse(ticket, refusal) => (ticket, Err((refusal, self.load()))),
            };
            let attempt = self.tickets.get(&ticket);
            let attempt = attempt.and_then(|id| self.attempts.get_mut(id));
            let reply = attempt.and_then(|attempt| attempt.reply.take());
            // A session that has ended in the meantime sends `Forget`, which frees the slot.
            let _caller_gone = reply.map(|reply| reply.send(result));
        }
        // Attempts that have ended stay in the table for routers that lost the end of the answer,
        // so the table's size does not count here.
        let open = self.admission.running() + self.admission.waiting();
        let drain_status = self.drain.status(open, now);
        if matches!(
            drain_status,
            DrainStatus::Nothing | DrainStatus::Unfinished(_)
        ) && let Some((_, reply)) = self.drain_waiter.take()
        {
            let _caller_gone = reply.send(drain_status);
        }
    }

    fn load(&self) -> Load {
        Load {
            running: self.admission.occupied_slots(),
            waiting: self.admission.waiting(),
            limit: self.admission.limit(),
        }
    }
}

/// Returns the time since the Unix epoch, the time base of crash marks that processes exchange.
fn unix_now() -> Time {
    Time::ZERO + clock::unix_time()
}
