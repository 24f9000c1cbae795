//! The router's task that reads the `claims` stream into a ledger and appends claims in batches.

use std::{collections::VecDeque, mem, net::SocketAddr, time::Duration};

use bytes::Bytes;
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
    append::{self, AppendBatch, LogExchange, Peers, unix_ms},
    ask::ask,
    cache::{AnswerCache, MAX_STORED_ANSWER_BYTES, StoredAnswer},
    clock::Clock,
    link::{Identity, Link, LinkError},
    platform::{Platform, PlatformError},
    supervisor::{Supervisor, TaskName},
    view::Views,
};

/// Capacity of the task's command channel.
const QUEUE_LEN: usize = 4096;
/// Largest number of queued appends, and of queued result records.
const MAX_PENDING: usize = 4096;
/// Largest number of entries per append, which keeps a batch below 128 KiB.
const MAX_BATCH_ENTRIES: usize = 1024;
/// Minimum time between two appends of one writer.
const APPEND_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the first claim of a batch waits for further ones.
const BATCH_DELAY: Duration = Duration::from_millis(2);
/// Time for which result records wait for a batch; no request waits for them.
const RECORD_BATCH_DELAY: Duration = Duration::from_millis(500);
/// Longest time for which an append is retried while the log's rate limit refuses it.
const MAX_APPEND_WAIT: Duration = Duration::from_secs(2);
/// Time between reads of the log while this router appends nothing.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Next action of a request.
#[derive(Debug)]
pub struct StepResult {
    /// State machine of the request, after the event.
    pub owner: Owner,
    /// Action for the caller; never `Append`, which the task executes itself.
    pub action: Action,
    /// Complete answer to an earlier copy of the request, if this router still has one. The
    /// caller gets this answer, and the action is not executed.
    pub stored_answer: Option<StoredAnswer>,
}

/// State of the task, as shown in the admin interface's dump.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ClaimsDump {
    /// Number of keys with a current claim.
    pub keys: usize,
    /// Estimated memory of these claims, in bytes.
    pub bytes: usize,
    /// Offset of the next record to read.
    pub next: u64,
    /// Whether the last read of the log succeeded.
    pub available: bool,
    /// Number of queued appends, without those in flight.
    pub waiting: usize,
    /// Number of batches that this router has appended to the log itself.
    pub appends: u64,
    /// Number of batches that this router has forwarded to another one.
    pub forwarded: u64,
}

#[derive(Debug)]
enum Command {
    Advance {
        owner: Box<Owner>,
        event: Event,
        reply: oneshot::Sender<StepResult>,
    },
    StoreAnswer {
        claim: ClaimId,
        answer: StoredAnswer,
    },
    Forwarded {
        entries: Vec<ClaimEntry>,
        reply: oneshot::Sender<ForwardReply>,
    },
    Dump {
        reply: oneshot::Sender<ClaimsDump>,
    },
    Exchanged(Box<LogExchange>),
}

/// Handle of the task that claims at-most-once requests in the log.
#[derive(Debug, Clone)]
pub struct Claims {
    tx: mpsc::Sender<Command>,
    views: Views,
}

impl Claims {
    /// Starts the task, which ends when the last handle is dropped. `peers` are the candidate
    /// writers.
    pub fn start(
        identity: Identity,
        platform: Platform,
        views: Views,
        peers: Peers,
        supervisor: &Supervisor,
        log: Logger,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let task = Task::new(
            identity,
            platform,
            peers,
            tx.downgrade(),
            supervisor.clone(),
            log,
        );
        supervisor.spawn(TaskName::Claims, run(task, views.clone(), rx));
        Self { tx, views }
    }

    /// Applies an event to a request's state machine, executes the appends that follow, and returns
    /// the next action.
    ///
    /// # Errors
    ///
    /// Fails with `LogUnavailable` if the task has ended.
    pub async fn advance(&self, owner: Owner, event: Event) -> Result<StepResult, Code> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Advance {
            owner: Box::new(owner),
            event,
            reply,
        };
        let sent = self.tx.send(command).await;
        sent.map_err(|_ended| Code::LogUnavailable)?;
        answer.await.map_err(|_ended| Code::LogUnavailable)
    }

    /// Stores a complete answer for later copies of the request. Answers with a body above
    /// [`MAX_STORED_ANSWER_BYTES`] are not stored.
    pub async fn store_answer(&self, claim: ClaimId, mut answer: StoredAnswer) {
        if answer.body.len() <= MAX_STORED_ANSWER_BYTES {
            // The cache has a limit of its own, so that the copy takes no share of the memory for
            // answers in progress.
            answer.body = Bytes::copy_from_slice(&answer.body);
            let _ended = self.tx.send(Command::StoreAnswer { claim, answer }).await;
        }
    }

    /// Serves another router's connection: appends the entries that it forwards and reports the
    /// results, until the connection ends.
    ///
    /// # Errors
    ///
    /// Always returns the error with which the connection ended.
    pub async fn serve(&self, link: &mut Link) -> Result<(), LinkError> {
        loop {
            let ForwardRequest { entries } = link.receive().await?;
            let forwarded = ask(&self.tx, |reply| Command::Forwarded { entries, reply }).await;
            let forwarded = forwarded.unwrap_or(ForwardReply::Unknown);
            link.send(&forwarded).await?;
        }
    }

    /// Address of a target's agent; `None` if the configuration document does not contain the
    /// target.
    pub fn agent_address(&self, target: &TargetName) -> Option<SocketAddr> {
        let view = self.views.borrow();
        let target = view.as_ref()?.document.targets.get(target)?;
        Some(target.agent)
    }

    /// Returns the state of the task; all zero if it has ended.
    pub async fn dump(&self) -> ClaimsDump {
        ask(&self.tx, |reply| Command::Dump { reply })
            .await
            .unwrap_or_default()
    }
}

/// Entries whose append is queued or in flight.
#[derive(Debug)]
struct PendingAppend {
    entries: Vec<ClaimEntry>,
    since: Time,
    waiter: Waiter,
}

impl PendingAppend {
    fn is_own(&self) -> bool {
        matches!(self.waiter, Waiter::Request(..))
    }
}

/// Receiver of an append's result.
#[derive(Debug)]
enum Waiter {
    /// A request at this router.
    Request(Box<Owner>, oneshot::Sender<StepResult>),
    /// Another router that forwarded the entries.
    Peer(oneshot::Sender<ForwardReply>),
}

struct Task {
    identity: Identity,
    platform: Platform,
    peers: Peers,
    /// Address of the peer that appends this router's claims; `None` if the router appends them.
    writer: Option<SocketAddr>,
    tx: mpsc::WeakSender<Command>,
    supervisor: Supervisor,
    clock: Clock,
    log: Logger,
    retention: Duration,
    ledger: Ledger,
    answers: AnswerCache,
    append_limiter: AppendLimiter,
    pending: VecDeque<PendingAppend>,
    records: VecDeque<ClaimEntry>,
    records_since: Time,
    /// Appends of the running exchange with the log; `None` if none is running.
    in_flight: Option<Vec<PendingAppend>>,
    available: bool,
    appends: u64,
    forwarded: u64,
}

async fn run(mut task: Task, mut views: Views, mut rx: mpsc::Receiver<Command>) {
    let mut poll = interval(POLL_INTERVAL);
    poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let due = task.until_due();
        tokio::select! {
            command = rx.recv() => match command {
                None => return,
                Some(command) => task.on_command(command),
            },
            () = sleep_for(due), if due.is_some() => task.start_append(),
            _ = poll.tick() => {
                let view = views.borrow_and_update().clone();
                if let Some(view) = view {
                    task.poll(view.document.limits.retention);
                }
            }
        }
    }
}

async fn sleep_for(due: Option<Duration>) {
    sleep(due.unwrap_or_default()).await;
}

impl Task {
    fn new(
        identity: Identity,
        platform: Platform,
        peers: Peers,
        tx: mpsc::WeakSender<Command>,
        supervisor: Supervisor,
        log: Logger,
    ) -> Self {
        let retention = Duration::ZERO;
        Self {
            identity,
            platform,
            peers,
            writer: None,
            tx,
            supervisor,
            clock: Clock::start(),
            log,
            retention,
            ledger: Ledger::new(retention),
            answers: AnswerCache::default(),
            append_limiter: AppendLimiter::new(APPEND_INTERVAL, BATCH_DELAY),
            pending: VecDeque::new(),
            records: VecDeque::new(),
            records_since: Time::ZERO,
            in_flight: None,
            available: false,
            appends: 0,
            forwarded: 0,
        }
    }

    /// Time until the next append; `None` if nothing is queued or an exchange is running.
    fn until_due(&self) -> Option<Duration> {
        if self.in_flight.is_some() {
            return None;
        }
        let now = self.clock.now();
        // The writer limits its own rate of appends, so forwarded batches need no limit here.
        let all_forwarded = self.writer.is_some() && self.pending.iter().all(PendingAppend::is_own);
        let due = |since| {
            if all_forwarded {
                since + BATCH_DELAY
            } else {
                self.append_limiter.due(since)
            }
        };
        let claim = self.pending.front().map(|first| due(first.since));
        let record = self.records.front();
        let record = record.map(|_| due(self.records_since + RECORD_BATCH_DELAY));
        let due = claim.into_iter().chain(record).min()?;
        Some(due.since(now))
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::Advance {
                owner,
                event,
                reply,
            } => self.advance(owner, event, reply),
            Command::StoreAnswer { claim, answer } => self.answers.insert(claim, answer),
            Command::Forwarded { entries, reply } => self.enqueue(entries, Waiter::Peer(reply)),
            Command::Dump { reply } => {
                let dump = ClaimsDump {
                    keys: self.ledger.len(),
                    bytes: self.ledger.bytes(),
                    next: self.ledger.next().into(),
                    available: self.available,
                    waiting: self.pending.len(),
                    appends: self.appends,
                    forwarded: self.forwarded,
                };
                let _caller_gone = reply.send(dump);
            }
            Command::Exchanged(exchange) => self.on_exchange(*exchange),
        }
    }

    fn advance(&mut self, mut owner: Box<Owner>, event: Event, reply: oneshot::Sender<StepResult>) {
        if event == Event::Arrived {
            if !self.available {
                return refuse(*owner, reply);
            }
            if let Some(stored_answer) = self.stored_answer(&owner) {
                let action = Action::Connect;
                let stored_answer = Some(stored_answer);
                let owner = *owner;
                let _caller_gone = reply.send(StepResult {
                    owner,
                    action,
                    stored_answer,
                });
                return;
            }
        }
        let action = owner.on_event(event, &self.ledger, unix_ms());
        self.act(owner, action, reply);
    }

    /// Returns the stored answer to an earlier copy, whose result may not be in the log yet.
    fn stored_answer(&self, owner: &Owner) -> Option<StoredAnswer> {
        let current = self.ledger.get(owner.request().key)?;
        let same_content = current.content == owner.request().content;
        same_content.then(|| self.answers.get(current.id))?
    }

    fn act(&mut self, owner: Box<Owner>, action: Action, reply: oneshot::Sender<StepResult>) {
        match action {
            Action::Append(entries) => self.enqueue(entries, Waiter::Request(owner, reply)),
            action => {
                let mut stored_answer = None;
                if let Action::Done(Outcome { result, record }) = &action {
                    self.enqueue_record(record.clone());
                    if let Reply::Recorded(claim, _) = result {
                        stored_answer = self.answers.get(*claim);
                    }
                }
                let _caller_gone = reply.send(StepResult {
                    owner: *owner,
                    action,
                    stored_answer,
                });
            }
        }
    }

    fn enqueue(&mut self, entries: Vec<ClaimEntry>, waiter: Waiter) {
        let pending = PendingAppend {
            entries,
            since: self.clock.now(),
            waiter,
        };
        if self.pending.len() < MAX_PENDING && self.available {
            self.pending.push_back(pending);
        } else {
            self.complete([pending], &Event::AppendRefused, None);
        }
    }

    fn enqueue_record(&mut self, entry: Option<ClaimEntry>) {
        // Without its result record, a later copy of the request queries the agent instead, so the
        // oldest record may be dropped.
        if self.records.len() >= MAX_PENDING {
            self.records.pop_front();
        }
        if self.records.is_empty() {
            self.records_since = self.clock.now();
        }
        self.records.extend(entry);
    }

    /// Chooses the writer and reads the log, unless an exchange is running.
    fn poll(&mut self, retention: Duration) {
        if self.in_flight.is_some() {
            return;
        }
        if retention != self.retention {
            // Expiry of claims depends on the retention time, so the ledger is rebuilt from the
            // first record.
            self.retention = retention;
            self.ledger = Ledger::new(retention);
            self.available = false;
        }
        self.writer = self.choose_writer();
        self.start_exchange(Vec::new(), None);
    }

    /// Returns the address of the peer that appends this router's claims, `None` for the router
    /// itself.
    fn choose_writer(&self) -> Option<SocketAddr> {
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
        let mut in_flight = Vec::new();
        while entries.len() < MAX_BATCH_ENTRIES
            && let Some(pending) = self.pending.pop_front()
        {
            entries.extend(pending.entries.iter().cloned());
            in_flight.push(pending);
        }
        let room = MAX_BATCH_ENTRIES.saturating_sub(entries.len());
        entries.extend(self.records.drain(..room.min(self.records.len())));
        self.records_since = self.clock.now();
        // Entries that a peer forwarded are appended here, so that they are not forwarded in a
        // loop.
        let writer = self
            .writer
            .filter(|_| in_flight.iter().all(PendingAppend::is_own));
        if writer.is_some() {
            self.forwarded += 1;
        } else {
            self.append_limiter.record_append(self.clock.now());
            self.appends += 1;
        }
        let writer = writer.map(|address| (self.identity.clone(), address));
        self.start_exchange(in_flight, Some(AppendBatch { entries, writer }));
    }

    fn start_exchange(&mut self, in_flight: Vec<PendingAppend>, write: Option<AppendBatch>) {
        let Some(tx) = self.tx.upgrade() else {
            return;
        };
        self.in_flight = Some(in_flight);
        let platform = self.platform.clone();
        let next = self.ledger.next();
        self.supervisor.spawn_job(TaskName::Claims, async move {
            let exchange = append::exchange(&platform, next, write).await;
            let _ended = tx.send(Command::Exchanged(Box::new(exchange))).await;
        });
    }

    fn on_exchange(&mut self, exchange: LogExchange) {
        let in_flight = self.in_flight.take().unwrap_or_default();
        if let Some((first, time)) = exchange.reset {
            self.ledger.reset(first, time);
        }
        for record in exchange.records {
            let entries = claims::decode(&record.data).unwrap_or_else(|error| {
                let offset = record.offset.to_string();
                warn!(self.log, "undecodable record on the claims stream skipped";
                    "offset" => offset, "error" => %error);
                Vec::new()
            });
            self.ledger.apply(record.offset, record.time, &entries);
        }
        let read = exchange.read.is_ok();
        if read != self.available {
            self.available = read;
            info!(self.log, "availability of the claims stream changed"; "available" => read);
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
            Some(Event::AppendRefused) if read => self.requeue(in_flight),
            Some(event) => self.complete(in_flight, &event, offset),
            None => {}
        }
        if !self.available {
            let pending = mem::take(&mut self.pending);
            self.complete(pending, &Event::AppendRefused, None);
        }
    }

    /// Returns appends that the log's rate limit refused to the front of the queue. Those older
    /// than [`MAX_APPEND_WAIT`] fail.
    fn requeue(&mut self, in_flight: Vec<PendingAppend>) {
        let now = self.clock.now();
        for pending in in_flight.into_iter().rev() {
            if now.since(pending.since) < MAX_APPEND_WAIT {
                self.pending.push_front(pending);
            } else {
                self.complete([pending], &Event::AppendRefused, None);
            }
        }
    }

    /// Reports the result of appends to their receivers; `offset` is that of the appended batch, if
    /// known.
    fn complete(
        &mut self,
        in_flight: impl IntoIterator<Item = PendingAppend>,
        event: &Event,
        offset: Option<Offset>,
    ) {
        let now = unix_ms();
        for pending in in_flight {
            match pending.waiter {
                Waiter::Request(mut owner, reply) => {
                    let action = owner.on_event(event.clone(), &self.ledger, now);
                    self.act(owner, action, reply);
                }
                Waiter::Peer(reply) => {
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

fn refuse(owner: Owner, reply: oneshot::Sender<StepResult>) {
    let result = Reply::Code(Code::LogUnavailable);
    let record = None;
    let _caller_gone = reply.send(StepResult {
        owner,
        action: Action::Done(Outcome { result, record }),
        stored_answer: None,
    });
}
