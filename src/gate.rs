//! The agent's task that owns admission, the register of attempts and the suspects.

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
    ramp::Capacity,
    time::Time,
};
use ebonyfall_wire::frame::Load;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep_until},
};

use crate::{
    clock::{self, Clock},
    link::Link,
};

/// Messages that may wait for the task.
const QUEUE_LEN: usize = 4096;
/// Longest sleep of the task while nothing happens.
const IDLE_SLEEP: Duration = Duration::from_secs(3600);

/// A new connection for a running attempt.
#[derive(Debug)]
pub struct Handover {
    /// The connection.
    pub link: Link,
    /// Bytes of the answer that have arrived at the router.
    pub offset: u64,
}

/// A request that asks to run.
#[derive(Debug)]
pub struct Entry {
    /// The attempt.
    pub attempt: AttemptId,
    /// The team that asks.
    pub team: TeamName,
    /// The team's weight.
    pub weight: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// Time until its deadline.
    pub left: Duration,
    /// Whether the load bound applies.
    pub bounded: bool,
    /// The hash of its team and content.
    pub fingerprint: Fingerprint,
    /// The crash of a target that ran a request of the same content.
    pub suspect: Option<Crash>,
    /// Where a new connection for it is sent.
    pub handover: mpsc::Sender<Handover>,
}

/// Whether an entered request may run.
pub type Admitted = Result<(), (AdmissionRefusal, Load)>;

#[derive(Debug)]
enum Ask {
    Load(oneshot::Sender<Load>),
    Enter {
        entry: Box<Entry>,
        reply: oneshot::Sender<Admitted>,
    },
    Finish {
        attempt: AttemptId,
        end: RunOutcome,
        reply: oneshot::Sender<(Load, bool)>,
    },
    Gone(AttemptId),
    Find {
        attempt: AttemptId,
        reply: oneshot::Sender<Option<mpsc::Sender<Handover>>>,
    },
    Report(Option<(Incarnation, bool)>),
    Resize {
        capacity: Capacity,
        hold: Duration,
    },
    HeardPool(PoolLoad),
    Incarnation(oneshot::Sender<Option<Incarnation>>),
    Drain {
        within: Duration,
        reply: oneshot::Sender<DrainStatus>,
    },
}

/// Admits requests to the target.
#[derive(Debug, Clone)]
pub struct Gate(mpsc::Sender<Ask>);

impl Gate {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start(
        target: TargetName,
        capacity: Capacity,
        own: LoadBound,
        hold: Duration,
        clock: Clock,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let state = State {
            target,
            clock,
            admission: Admission::new(capacity),
            own,
            suspects: Suspects::new(hold),
            attempts: HashMap::new(),
            tickets: HashMap::new(),
            drain: Drain::default(),
            drained: None,
        };
        tokio::spawn(state.run(rx));
        Self(tx)
    }

    /// Asks for a request to be admitted; the answer comes when it may start.
    pub async fn enter(&self, entry: Entry) -> oneshot::Receiver<Admitted> {
        let (reply, answer) = oneshot::channel();
        let entry = Box::new(entry);
        let _ended = self.0.send(Ask::Enter { entry, reply }).await;
        answer
    }

    /// Reports the end of an admitted request; returns the target's load, and whether requests of
    /// its content are under suspicion.
    pub async fn finish(&self, attempt: AttemptId, end: RunOutcome) -> (Load, bool) {
        let (reply, answer) = oneshot::channel();
        let ask = Ask::Finish {
            attempt,
            end,
            reply,
        };
        let _ended = self.0.send(ask).await;
        answer.await.unwrap_or_default()
    }

    /// Forgets an attempt after its last message was sent or its caller went away.
    pub async fn gone(&self, attempt: AttemptId) {
        let _ended = self.0.send(Ask::Gone(attempt)).await;
    }

    /// The target's load.
    pub async fn load(&self) -> Load {
        let (reply, answer) = oneshot::channel();
        let _ended = self.0.send(Ask::Load(reply)).await;
        answer.await.unwrap_or_default()
    }

    /// Where to send a new connection for a running attempt.
    pub async fn find(&self, attempt: AttemptId) -> Option<mpsc::Sender<Handover>> {
        let (reply, answer) = oneshot::channel();
        self.0.send(Ask::Find { attempt, reply }).await.ok()?;
        answer.await.ok()?
    }

    /// Passes the engine's report of itself on: its incarnation and whether it is cold; none when
    /// it cannot be reached.
    pub async fn report(&self, status: Option<(Incarnation, bool)>) {
        let _ended = self.0.send(Ask::Report(status)).await;
    }

    /// Takes limits from a new document.
    pub async fn resize(&self, capacity: Capacity, hold: Duration) {
        let _ended = self.0.send(Ask::Resize { capacity, hold }).await;
    }

    /// Reports the sums over the target's pool that came by gossip.
    pub async fn heard_pool(&self, load: PoolLoad) {
        let _ended = self.0.send(Ask::HeardPool(load)).await;
    }

    /// The engine's incarnation, as last reported.
    pub async fn incarnation(&self) -> Option<Incarnation> {
        let (reply, answer) = oneshot::channel();
        self.0.send(Ask::Incarnation(reply)).await.ok()?;
        answer.await.ok()?
    }

    /// Refuses new requests and waits, at most `within`, until those taken have ended.
    pub async fn drain(&self, within: Duration) -> DrainStatus {
        let (reply, answer) = oneshot::channel();
        let _ended = self.0.send(Ask::Drain { within, reply }).await;
        answer.await.unwrap_or(DrainStatus::Nothing)
    }
}

#[derive(Debug)]
struct Attempt {
    ticket: Ticket,
    fingerprint: Fingerprint,
    handover: mpsc::Sender<Handover>,
    /// Taken when the request starts.
    reply: Option<oneshot::Sender<Admitted>>,
}

struct State {
    target: TargetName,
    clock: Clock,
    admission: Admission,
    own: LoadBound,
    suspects: Suspects,
    attempts: HashMap<AttemptId, Attempt>,
    tickets: HashMap<Ticket, AttemptId>,
    drain: Drain,
    drained: Option<(Instant, oneshot::Sender<DrainStatus>)>,
}

impl State {
    async fn run(mut self, mut rx: mpsc::Receiver<Ask>) {
        loop {
            let now = self.clock.now();
            let sleep = self.admission.next_wakeup().map(|wake| wake.since(now));
            let mut wake = Instant::now() + sleep.unwrap_or(IDLE_SLEEP);
            if let Some((until, _)) = &self.drained {
                wake = wake.min(*until);
            }
            tokio::select! {
                ask = rx.recv() => match ask {
                    Some(ask) => self.on_ask(ask),
                    None => return,
                },
                () = sleep_until(wake) => {}
            }
            self.step();
        }
    }

    fn on_ask(&mut self, ask: Ask) {
        let now = self.clock.now();
        match ask {
            Ask::Enter { entry, reply } => self.enter(*entry, reply, now),
            Ask::Finish {
                attempt,
                end,
                reply,
            } => {
                let mut suspect = false;
                if let Some(known) = self.attempts.get(&attempt) {
                    let (ticket, fingerprint) = (known.ticket, known.fingerprint);
                    let victims = self.admission.finish(ticket, end, now);
                    self.suspects
                        .record_crash(&self.target, &victims, unix_now());
                    if matches!(end, RunOutcome::Completed(_)) {
                        self.suspects.record_success(fingerprint, unix_now());
                    }
                    suspect = self.suspects.status(fingerprint, unix_now()) != ContentStatus::Clear;
                    self.step();
                }
                let _gone = reply.send((self.load(), suspect));
            }
            Ask::Load(reply) => {
                let _gone = reply.send(self.load());
            }
            Ask::Gone(attempt) => {
                if let Some(known) = self.attempts.remove(&attempt) {
                    self.tickets.remove(&known.ticket);
                    if !self.admission.cancel(known.ticket) {
                        self.admission
                            .finish(known.ticket, RunOutcome::Abandoned, now);
                    }
                }
            }
            Ask::Find { attempt, reply } => {
                let handover = self.attempts.get(&attempt);
                let _gone = reply.send(handover.map(|attempt| attempt.handover.clone()));
            }
            Ask::Report(Some((incarnation, cold))) => {
                let victims = self.admission.on_engine_report(incarnation, cold);
                self.suspects
                    .record_crash(&self.target, &victims, unix_now());
            }
            Ask::Report(None) => self.admission.on_engine_unreachable(),
            Ask::Resize { capacity, hold } => {
                self.admission.set_capacity(capacity);
                self.suspects.set_mark_ttl(hold);
            }
            Ask::HeardPool(load) => self.own.record_pool(load, now),
            Ask::Incarnation(reply) => {
                let _gone = reply.send(self.admission.incarnation());
            }
            Ask::Drain { within, reply } => {
                self.drain.begin(within, now);
                self.admission.close(Code::Leaving);
                self.drained = Some((Instant::now() + within, reply));
            }
        }
    }

    fn enter(&mut self, entry: Entry, reply: oneshot::Sender<Admitted>, now: Time) {
        let unix = unix_now();
        let print = entry.fingerprint;
        if let Some(crash) = entry.suspect {
            self.suspects
                .add_reported_crash(print, &entry.team, crash, unix);
        }
        let status = self.suspects.status(print, unix);
        let known = self.attempts.contains_key(&entry.attempt);
        let refused = match status {
            ContentStatus::Held => Some(Code::Held),
            // The first copy of a duplicated submission may be running.
            _ if known => Some(Code::InProgress),
            _ if entry.bounded && !self.own.admits(self.requests(), now) => Some(Code::OverBound),
            _ => None,
        };
        let admitted = match refused {
            Some(code) => Err(AdmissionRefusal {
                code,
                retry_after: Duration::ZERO,
            }),
            None => self.admission.enqueue(
                AdmissionRequest {
                    team: entry.team,
                    weight: entry.weight,
                    priority: entry.priority,
                    deadline: now + entry.left,
                    fingerprint: print,
                    suspect: matches!(status, ContentStatus::Suspect(_)),
                },
                now,
            ),
        };
        match admitted {
            Err(refusal) => {
                let _gone = reply.send(Err((refusal, self.load())));
            }
            Ok(ticket) => {
                self.tickets.insert(ticket, entry.attempt);
                let attempt = Attempt {
                    ticket,
                    fingerprint: print,
                    handover: entry.handover,
                    reply: Some(reply),
                };
                self.attempts.insert(entry.attempt, attempt);
            }
        }
    }

    fn requests(&self) -> u32 {
        let load = self.load();
        load.running + load.waiting
    }

    fn step(&mut self) {
        let now = self.clock.now();
        while let Some(step) = self.admission.next_decision(now) {
            let (ticket, decision) = match step {
                Decision::Start(ticket) => (ticket, Ok(())),
                Decision::Refuse(ticket, refusal) => (ticket, Err((refusal, self.load()))),
            };
            let attempt = self.tickets.get(&ticket);
            let attempt = attempt.and_then(|id| self.attempts.get_mut(id));
            let reply = attempt.and_then(|attempt| attempt.reply.take());
            // A session that ended meanwhile reports that it is gone.
            let _gone = reply.map(|reply| reply.send(decision));
        }
        // Finished attempts are kept for routers that lost the end of the answer.
        let open = self.admission.running() + self.admission.waiting();
        let left = self.drain.status(open, now);
        if matches!(left, DrainStatus::Nothing | DrainStatus::Unfinished(_))
            && let Some((_, reply)) = self.drained.take()
        {
            let _gone = reply.send(left);
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

/// The present time since the Unix epoch, which marks of other processes are compared with.
fn unix_now() -> Time {
    Time::ZERO + clock::unix_time()
}
