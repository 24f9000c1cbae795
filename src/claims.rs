//! The router's task that follows the `claims` stream and appends to it in groups.

use std::{collections::VecDeque, mem, net::SocketAddr, time::Duration};

use ebonyfall_core::{
    claim::{self, AppendLimiter, ClaimEntry, ClaimId, Writer},
    code::Code,
    id::Offset,
    ledger::Ledger,
    name::{ProcessName, TargetName},
    owner::{Action, Event, Outcome, Owner, Reply},
    time::Time,
};
use ebonyfall_wire::claims::{self, ForwardReply, ForwardRequest};
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    append::{self, Exchange, Peers, Write, unix_ms},
    clock::Clock,
    held::{Answers, Held, MAX_HELD},
    link::{Identity, Link, LinkError},
    platform::{Platform, PlatformError},
    view::Views,
};

/// Messages that may wait for the task.
const QUEUE_LEN: usize = 4096;
/// Requests that may wait for an append.
const MAX_WAITING: usize = 4096;
/// Entries of one append, which keep a batch below 128 KiB.
const MAX_BATCH: usize = 1024;
/// Time between two appends of one writer.
const GAP: Duration = Duration::from_millis(100);
/// Wait of a lone claim for company.
const FIRST_DELAY: Duration = Duration::from_millis(2);
/// Wait of records that nobody waits for.
const RECORD_DELAY: Duration = Duration::from_millis(500);
/// Longest wait for an append that the log refuses because of its rate limit.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Time between two looks at the log without own appends.
const POLL: Duration = Duration::from_millis(500);
/// The task's part of a request's next step.
#[derive(Debug)]
pub struct Step {
    /// The request.
    pub owner: Owner,
    /// What to do next.
    pub action: Action,
    /// The answer of an earlier copy.
    pub held: Option<Held>,
}

/// State of the task, for the dump.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ClaimsDump {
    /// Keys with a claim.
    pub keys: usize,
    /// Bytes of memory that they take.
    pub bytes: usize,
    /// Offset that is read next.
    pub next: u64,
    /// Whether the log answered last time.
    pub available: bool,
    /// Requests that wait for an append.
    pub waiting: usize,
    /// Appends that this router made itself.
    pub appends: u64,
    /// Batches that it handed to a writer.
    pub forwarded: u64,
}

#[derive(Debug)]
enum Ask {
    Step {
        owner: Box<Owner>,
        event: Event,
        reply: oneshot::Sender<Step>,
    },
    Hold {
        claim: ClaimId,
        held: Held,
    },
    Forwarded {
        entries: Vec<ClaimEntry>,
        reply: oneshot::Sender<ForwardReply>,
    },
    Dump {
        reply: oneshot::Sender<ClaimsDump>,
    },
    Exchanged(Box<Exchange>),
}

/// Claims requests that run at most once.
#[derive(Debug, Clone)]
pub struct Claims {
    tx: mpsc::Sender<Ask>,
    views: Views,
}

impl Claims {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start(
        identity: Identity,
        platform: Platform,
        views: Views,
        peers: Peers,
        log: Logger,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let state = State::new(identity, platform, peers, tx.downgrade(), log);
        tokio::spawn(run(state, views.clone(), rx));
        Self { tx, views }
    }

    /// Takes the next step of a request; appends are made by the task.
    ///
    /// # Errors
    ///
    /// Fails with `LogUnavailable` when the task has ended; the request was not sent.
    pub async fn step(&self, owner: Owner, event: Event) -> Result<Step, Code> {
        let (reply, answer) = oneshot::channel();
        let ask = Ask::Step {
            owner: Box::new(owner),
            event,
            reply,
        };
        let sent = self.tx.send(ask).await;
        sent.map_err(|_ended| Code::LogUnavailable)?;
        answer.await.map_err(|_ended| Code::LogUnavailable)
    }

    /// Holds a whole answer for repeats, if it is small enough.
    pub async fn hold(&self, claim: ClaimId, held: Held) {
        if held.body.len() <= MAX_HELD {
            let _ended = self.tx.send(Ask::Hold { claim, held }).await;
        }
    }

    /// Appends what another router forwards on `link`, until it closes the connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends.
    pub async fn serve(&self, link: &mut Link) -> Result<(), LinkError> {
        loop {
            let ForwardRequest { entries } = link.receive().await?;
            let (reply, answer) = oneshot::channel();
            let _ended = self.tx.send(Ask::Forwarded { entries, reply }).await;
            let forwarded = answer.await.unwrap_or(ForwardReply::Unknown);
            link.send(&forwarded).await?;
        }
    }

    /// Where the agent beside a target listens.
    pub fn agent(&self, target: &TargetName) -> Option<SocketAddr> {
        let view = self.views.borrow();
        let target = view.as_ref()?.document.targets.get(target)?;
        Some(target.agent)
    }

    /// The task's state.
    pub async fn dump(&self) -> ClaimsDump {
        let (reply, answer) = oneshot::channel();
        let _ended = self.tx.send(Ask::Dump { reply }).await;
        answer.await.unwrap_or_default()
    }
}

/// Entries that wait for their append.
#[derive(Debug)]
struct Waiting {
    entries: Vec<ClaimEntry>,
    since: Time,
    asker: Asker,
}

impl Waiting {
    fn is_own(&self) -> bool {
        matches!(self.asker, Asker::Request(..))
    }
}

/// Who waits for an append.
#[derive(Debug)]
enum Asker {
    /// A request of this router.
    Request(Box<Owner>, oneshot::Sender<Step>),
    /// Another router.
    Peer(oneshot::Sender<ForwardReply>),
}

struct State {
    identity: Identity,
    platform: Platform,
    peers: Peers,
    /// The peer that appends this router's claims.
    writer: Option<SocketAddr>,
    tx: mpsc::WeakSender<Ask>,
    clock: Clock,
    log: Logger,
    retention: Duration,
    ledger: Ledger,
    answers: Answers,
    append_limiter: AppendLimiter,
    waiting: VecDeque<Waiting>,
    records: VecDeque<ClaimEntry>,
    records_since: Time,
    /// Requests whose append is under way, while an exchange runs.
    flight: Option<Vec<Waiting>>,
    available: bool,
    appends: u64,
    forwarded: u64,
}

async fn run(mut state: State, mut views: Views, mut rx: mpsc::Receiver<Ask>) {
    let mut poll = interval(POLL);
    poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let due = state.due();
        tokio::select! {
            ask = rx.recv() => match ask {
                None => return,
                Some(ask) => state.handle(ask),
            },
            () = until(due), if due.is_some() => state.start_append(),
            _ = poll.tick() => {
                let view = views.borrow_and_update().clone();
                if let Some(view) = view {
                    state.poll(view.document.limits.retention);
                }
            }
        }
    }
}

async fn until(due: Option<Duration>) {
    sleep(due.unwrap_or_default()).await;
}

impl State {
    fn new(
        identity: Identity,
        platform: Platform,
        peers: Peers,
        tx: mpsc::WeakSender<Ask>,
        log: Logger,
    ) -> Self {
        let retention = Duration::ZERO;
        Self {
            identity,
            platform,
            peers,
            writer: None,
            tx,
            clock: Clock::start(),
            log,
            retention,
            ledger: Ledger::new(retention),
            answers: Answers::default(),
            append_limiter: AppendLimiter::new(GAP, FIRST_DELAY),
            waiting: VecDeque::new(),
            records: VecDeque::new(),
            records_since: Time::ZERO,
            flight: None,
            available: false,
            appends: 0,
            forwarded: 0,
        }
    }

    /// Time until the next append, if anything waits for one.
    fn due(&self) -> Option<Duration> {
        if self.flight.is_some() {
            return None;
        }
        let now = self.clock.now();
        // A writer keeps the pace of the log; what is handed to it needs no pace of its own.
        let handed = self.writer.is_some() && self.waiting.iter().all(Waiting::is_own);
        let due = |since| {
            if handed {
                since + FIRST_DELAY
            } else {
                self.append_limiter.due(since)
            }
        };
        let claim = self.waiting.front().map(|first| due(first.since));
        let record = self.records.front();
        let record = record.map(|_| due(self.records_since + RECORD_DELAY));
        let due = claim.into_iter().chain(record).min()?;
        Some(due.since(now))
    }

    fn handle(&mut self, ask: Ask) {
        match ask {
            Ask::Step {
                owner,
                event,
                reply,
            } => self.step(owner, event, reply),
            Ask::Hold { claim, held } => self.answers.hold(claim, held),
            Ask::Forwarded { entries, reply } => self.wait(entries, Asker::Peer(reply)),
            Ask::Dump { reply } => {
                let dump = ClaimsDump {
                    keys: self.ledger.len(),
                    bytes: self.ledger.bytes(),
                    next: self.ledger.next().into(),
                    available: self.available,
                    waiting: self.waiting.len(),
                    appends: self.appends,
                    forwarded: self.forwarded,
                };
                let _asker_gone = reply.send(dump);
            }
            Ask::Exchanged(exchange) => self.exchanged(*exchange),
        }
    }

    fn step(&mut self, mut owner: Box<Owner>, event: Event, reply: oneshot::Sender<Step>) {
        if event == Event::Arrived {
            if !self.available {
                return refuse(*owner, reply);
            }
            if let Some(held) = self.held(&owner) {
                let action = Action::Connect;
                let held = Some(held);
                let owner = *owner;
                let _asker_gone = reply.send(Step {
                    owner,
                    action,
                    held,
                });
                return;
            }
        }
        let action = owner.on_event(event, &self.ledger, unix_ms());
        self.act(owner, action, reply);
    }

    /// The answer of an earlier copy whose end may not be in the log yet.
    fn held(&self, owner: &Owner) -> Option<Held> {
        let present = self.ledger.get(owner.request().key)?;
        let same = present.content == owner.request().content;
        same.then(|| self.answers.get(present.id))?
    }

    fn act(&mut self, owner: Box<Owner>, action: Action, reply: oneshot::Sender<Step>) {
        match action {
            Action::Append(entries) => self.wait(entries, Asker::Request(owner, reply)),
            action => {
                let mut held = None;
                if let Action::Done(Outcome { result, record }) = &action {
                    self.record(record.clone());
                    if let Reply::Recorded(claim, _) = result {
                        held = self.answers.get(*claim);
                    }
                }
                let _asker_gone = reply.send(Step {
                    owner: *owner,
                    action,
                    held,
                });
            }
        }
    }

    fn wait(&mut self, entries: Vec<ClaimEntry>, asker: Asker) {
        let waiting = Waiting {
            entries,
            since: self.clock.now(),
            asker,
        };
        if self.waiting.len() < MAX_WAITING && self.available {
            self.waiting.push_back(waiting);
        } else {
            self.settle([waiting], &Event::AppendRefused, None);
        }
    }

    fn record(&mut self, entry: Option<ClaimEntry>) {
        // Records only save later copies a question to the agent; the oldest may be dropped.
        if self.records.len() >= MAX_WAITING {
            self.records.pop_front();
        }
        if self.records.is_empty() {
            self.records_since = self.clock.now();
        }
        self.records.extend(entry);
    }

    /// Reads the log when no exchange is under way.
    fn poll(&mut self, retention: Duration) {
        if self.flight.is_some() {
            return;
        }
        if retention != self.retention {
            // Other rules of expiry give another state; it is evaluated from the first record on.
            self.retention = retention;
            self.ledger = Ledger::new(retention);
            self.available = false;
        }
        self.writer = self.writer();
        self.exchange(Vec::new(), None);
    }

    /// The peer that appends this router's claims, unless it does so itself.
    fn writer(&self) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        let live: Vec<ProcessName> = peers.iter().map(|peer| peer.name.clone()).collect();
        match claim::choose_writer(&self.identity.name, &live) {
            Writer::Own => None,
            Writer::Peer(name) => {
                let peer = peers.iter().find(|peer| peer.name == name);
                peer.map(|peer| peer.address)
            }
        }
    }

    fn start_append(&mut self) {
        let mut entries = Vec::new();
        let mut flight = Vec::new();
        while entries.len() < MAX_BATCH
            && let Some(waiting) = self.waiting.pop_front()
        {
            entries.extend(waiting.entries.iter().cloned());
            flight.push(waiting);
        }
        let room = MAX_BATCH.saturating_sub(entries.len());
        entries.extend(self.records.drain(..room.min(self.records.len())));
        self.records_since = self.clock.now();
        // What a peer forwarded is appended here, so that no entry travels in circles.
        let writer = self.writer.filter(|_| flight.iter().all(Waiting::is_own));
        if writer.is_some() {
            self.forwarded += 1;
        } else {
            self.append_limiter.record_append(self.clock.now());
            self.appends += 1;
        }
        let writer = writer.map(|address| (self.identity.clone(), address));
        self.exchange(flight, Some(Write { entries, writer }));
    }

    fn exchange(&mut self, flight: Vec<Waiting>, write: Option<Write>) {
        let Some(tx) = self.tx.upgrade() else {
            return;
        };
        self.flight = Some(flight);
        let platform = self.platform.clone();
        let next = self.ledger.next();
        tokio::spawn(async move {
            let exchange = append::exchange(&platform, next, write).await;
            let _ended = tx.send(Ask::Exchanged(Box::new(exchange))).await;
        });
    }

    fn exchanged(&mut self, exchange: Exchange) {
        let flight = self.flight.take().unwrap_or_default();
        if let Some((first, time)) = exchange.restart {
            self.ledger.reset(first, time);
        }
        for record in exchange.records {
            let entries = claims::decode(&record.data).unwrap_or_else(|error| {
                let offset = record.offset.to_string();
                warn!(self.log, "record passed over"; "offset" => offset, "error" => %error);
                Vec::new()
            });
            self.ledger.apply(record.offset, record.time, &entries);
        }
        let read = exchange.read.is_ok();
        if read != self.available {
            self.available = read;
            info!(self.log, "claims stream"; "available" => read);
        }
        let offset = match &exchange.append {
            Some(Ok(offset)) => Some(*offset),
            _ => None,
        };
        let event = match exchange.append {
            None => None,
            Some(Err(PlatformError::Refused { .. })) => Some(Event::AppendRefused),
            Some(_) if !read => Some(Event::LogUnreadable),
            Some(Ok(offset)) if offset < self.ledger.next() => Some(Event::Appended),
            Some(Ok(_) | Err(_)) => Some(Event::ReadBack),
        };
        match event {
            Some(Event::AppendRefused) if read => self.requeue(flight),
            Some(event) => self.settle(flight, &event, offset),
            None => {}
        }
        if !self.available {
            let waiting = mem::take(&mut self.waiting);
            self.settle(waiting, &Event::AppendRefused, None);
        }
    }

    /// Lets requests that the log's rate limit refused wait for the next append, unless they have
    /// waited too long.
    fn requeue(&mut self, flight: Vec<Waiting>) {
        let now = self.clock.now();
        for waiting in flight.into_iter().rev() {
            if now.since(waiting.since) < MAX_WAIT {
                self.waiting.push_front(waiting);
            } else {
                self.settle([waiting], &Event::AppendRefused, None);
            }
        }
    }

    /// Tells those who wait what became of their append, which is at `offset` if that is known.
    fn settle(
        &mut self,
        flight: impl IntoIterator<Item = Waiting>,
        event: &Event,
        offset: Option<Offset>,
    ) {
        let now = unix_ms();
        for waiting in flight {
            match waiting.asker {
                Asker::Request(mut owner, reply) => {
                    let action = owner.on_event(event.clone(), &self.ledger, now);
                    self.act(owner, action, reply);
                }
                Asker::Peer(reply) => {
                    let forwarded = match offset {
                        Some(offset) => ForwardReply::Appended(offset),
                        None if *event == Event::AppendRefused => ForwardReply::Refused,
                        None => ForwardReply::Unknown,
                    };
                    let _peer_gone = reply.send(forwarded);
                }
            }
        }
    }
}

fn refuse(owner: Owner, reply: oneshot::Sender<Step>) {
    let result = Reply::Code(Code::LogUnavailable);
    let record = None;
    let _asker_gone = reply.send(Step {
        owner,
        action: Action::Done(Outcome { result, record }),
        held: None,
    });
}
