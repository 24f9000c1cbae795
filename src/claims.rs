//! The router's task that follows the `claims` stream and appends to it in groups.

use std::{
    collections::{HashMap, VecDeque},
    mem,
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use ebonyfall_core::{
    chat,
    claim::{self, ClaimId, Entry, KeyId, Pace},
    code::Code,
    id::{Fingerprint, Offset},
    ledger::Ledger,
    name::{TargetName, TeamName},
    owner::{Action, Event, Outcome, Owner, Verdict},
    time::Time,
};
use ebonyfall_wire::{
    claims::{self, CLAIMS_STREAM},
    frame::{Call, Head},
};
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, MissedTickBehavior, interval, sleep},
};

use crate::{
    clock::{self, Clock},
    platform::{Platform, PlatformError, Record},
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
/// Records read at once.
const READ_BATCH: u32 = 1024;
/// Largest answer that is held for repeats, in bytes.
const MAX_HELD: usize = 64 << 10;
/// Bytes of all answers held for repeats.
const MAX_HELD_TOTAL: usize = 8 << 20;

/// An idempotency key with what it stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keyed {
    /// Team and key.
    pub id: KeyId,
    /// The key's time, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Hash of team and content.
    pub content: Fingerprint,
}

impl Keyed {
    /// Reads the key that a team sent with a call.
    ///
    /// # Errors
    ///
    /// Fails with `KeyInvalid` when it is not a UUIDv7.
    pub fn new(team: &TeamName, text: &str, call: &Call) -> Result<Self, Code> {
        let (key, time) = claim::parse_key(text)?;
        let mut content = Vec::with_capacity(call.body.len() + 256);
        for part in [&call.method, &call.path, &call.content_type] {
            content.extend_from_slice(part.as_bytes());
            content.push(0);
        }
        content.extend_from_slice(&call.body);
        Ok(Self {
            id: KeyId::new(team, key),
            time,
            content: chat::fingerprint(team, &content),
        })
    }
}

/// An answer that is held for repeats.
#[derive(Debug, Clone)]
pub struct Held {
    /// Status and headers.
    pub head: Head,
    /// The whole body.
    pub body: Bytes,
}

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
    /// Appends so far.
    pub appends: u64,
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
    pub fn start(platform: Platform, views: Views, log: Logger) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        tokio::spawn(run(platform, views.clone(), tx.downgrade(), rx, log));
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

/// A request that waits for its append.
#[derive(Debug)]
struct Waiting {
    owner: Box<Owner>,
    entries: Vec<Entry>,
    since: Time,
    reply: oneshot::Sender<Step>,
}

/// What one exchange with the log brought.
#[derive(Debug)]
struct Exchange {
    /// The result of the append, if there was one.
    append: Option<Result<Offset, PlatformError>>,
    /// The records that were read, and the restart before them.
    records: Vec<Record>,
    restart: Option<(Offset, u64)>,
    /// Whether the log was read to its end.
    read: Result<(), PlatformError>,
}

/// Answers held, oldest first.
#[derive(Debug, Default)]
struct Answers {
    held: HashMap<ClaimId, Held>,
    order: VecDeque<ClaimId>,
    bytes: usize,
}

impl Answers {
    fn hold(&mut self, claim: ClaimId, held: Held) {
        self.bytes += held.body.len();
        if self.held.insert(claim, held).is_none() {
            self.order.push_back(claim);
        }
        while self.bytes > MAX_HELD_TOTAL
            && let Some(oldest) = self.order.pop_front()
        {
            let dropped = self.held.remove(&oldest);
            self.bytes -= dropped.map_or(0, |held| held.body.len());
        }
    }
}

struct State {
    platform: Platform,
    tx: mpsc::WeakSender<Ask>,
    clock: Clock,
    log: Logger,
    retention: Duration,
    ledger: Ledger,
    answers: Answers,
    pace: Pace,
    waiting: VecDeque<Waiting>,
    records: VecDeque<Entry>,
    records_since: Time,
    /// Requests whose append is under way, while an exchange runs.
    flight: Option<Vec<Waiting>>,
    available: bool,
    appends: u64,
}

async fn run(
    platform: Platform,
    mut views: Views,
    tx: mpsc::WeakSender<Ask>,
    mut rx: mpsc::Receiver<Ask>,
    log: Logger,
) {
    let retention = Duration::ZERO;
    let mut state = State {
        platform,
        tx,
        clock: Clock::start(),
        log,
        retention,
        ledger: Ledger::new(retention),
        answers: Answers::default(),
        pace: Pace::new(GAP, FIRST_DELAY),
        waiting: VecDeque::new(),
        records: VecDeque::new(),
        records_since: Time::ZERO,
        flight: None,
        available: false,
        appends: 0,
    };
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

fn unix_ms() -> u64 {
    u64::try_from(clock::unix_time().as_millis()).unwrap_or(u64::MAX)
}

impl State {
    /// Time until the next append, if anything waits for one.
    fn due(&self) -> Option<Duration> {
        if self.flight.is_some() {
            return None;
        }
        let now = self.clock.now();
        let claim = self.waiting.front().map(|first| self.pace.due(first.since));
        let record = self.records.front();
        let record = record.map(|_| self.pace.due(self.records_since + RECORD_DELAY));
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
            Ask::Dump { reply } => {
                let dump = ClaimsDump {
                    keys: self.ledger.len(),
                    bytes: self.ledger.bytes(),
                    next: self.ledger.next().into(),
                    available: self.available,
                    waiting: self.waiting.len(),
                    appends: self.appends,
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
        let action = owner.on(event, &self.ledger, unix_ms());
        self.act(owner, action, reply);
    }

    /// The answer of an earlier copy whose end may not be in the log yet.
    fn held(&self, owner: &Owner) -> Option<Held> {
        let present = self.ledger.get(owner.order().key)?;
        let same = present.content == owner.order().content;
        same.then(|| self.answers.held.get(&present.id).cloned())?
    }

    fn act(&mut self, owner: Box<Owner>, action: Action, reply: oneshot::Sender<Step>) {
        match action {
            Action::Append(_) if self.waiting.len() >= MAX_WAITING || !self.available => {
                refuse(*owner, reply);
            }
            Action::Append(entries) => self.waiting.push_back(Waiting {
                owner,
                entries,
                since: self.clock.now(),
                reply,
            }),
            action => {
                let mut held = None;
                if let Action::Done(Outcome { result, record }) = &action {
                    self.record(record.clone());
                    if let Verdict::Recorded(claim, _) = result {
                        held = self.answers.held.get(claim).cloned();
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

    fn record(&mut self, entry: Option<Entry>) {
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
        self.exchange(Vec::new(), None);
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
        match claims::encode(entries) {
            Ok(data) => {
                self.pace.appended(self.clock.now());
                self.appends += 1;
                self.exchange(flight, Some(data));
            }
            Err(error) => {
                warn!(self.log, "claims cannot be encoded"; "error" => %error);
                self.settle(flight, &Event::AppendRefused);
            }
        }
    }

    fn exchange(&mut self, flight: Vec<Waiting>, data: Option<Vec<u8>>) {
        let Some(tx) = self.tx.upgrade() else {
            return;
        };
        self.flight = Some(flight);
        let platform = self.platform.clone();
        let next = self.ledger.next();
        tokio::spawn(async move {
            let exchange = exchange(&platform, next, data).await;
            let _ended = tx.send(Ask::Exchanged(Box::new(exchange))).await;
        });
    }

    fn exchanged(&mut self, exchange: Exchange) {
        let flight = self.flight.take().unwrap_or_default();
        if let Some((first, time)) = exchange.restart {
            self.ledger.restart(first, time);
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
        let event = match exchange.append {
            None => None,
            Some(Err(PlatformError::Refused { .. })) => Some(Event::AppendRefused),
            Some(_) if !read => Some(Event::LogLost),
            Some(Ok(offset)) if offset < self.ledger.next() => Some(Event::Appended),
            Some(Ok(_) | Err(_)) => Some(Event::ReadBack),
        };
        match event {
            Some(Event::AppendRefused) if read => self.requeue(flight),
            Some(event) => self.settle(flight, &event),
            None => {}
        }
        if !self.available {
            let waiting = mem::take(&mut self.waiting);
            self.settle(waiting, &Event::AppendRefused);
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
                self.settle([waiting], &Event::AppendRefused);
            }
        }
    }

    fn settle(&mut self, flight: impl IntoIterator<Item = Waiting>, event: &Event) {
        let now = unix_ms();
        for mut waiting in flight {
            let action = waiting.owner.on(event.clone(), &self.ledger, now);
            self.act(waiting.owner, action, waiting.reply);
        }
    }
}

fn refuse(owner: Owner, reply: oneshot::Sender<Step>) {
    let result = Verdict::Code(Code::LogUnavailable);
    let record = None;
    let _asker_gone = reply.send(Step {
        owner,
        action: Action::Done(Outcome { result, record }),
        held: None,
    });
}

/// Appends `data`, if given, and reads the log from `next` to its end.
async fn exchange(platform: &Platform, mut next: Offset, data: Option<Vec<u8>>) -> Exchange {
    let append = match data {
        Some(data) => Some(platform.append(CLAIMS_STREAM, &data).await),
        None => None,
    };
    let mut records = Vec::new();
    let mut restart = None;
    let start = Instant::now();
    let read = loop {
        match platform.read(CLAIMS_STREAM, next, READ_BATCH).await {
            Ok(batch) => {
                if let Some((_, time @ 0)) = &mut restart {
                    let first = batch.records.first();
                    *time = first.map_or_else(unix_ms, |record| record.time);
                }
                next = batch.records.last().map_or(next, |last| last.offset.next());
                records.extend(batch.records);
                // A stream that grows faster than it is read must not hold up the owners.
                if next >= batch.next || start.elapsed() > MAX_WAIT {
                    break Ok(());
                }
            }
            Err(PlatformError::Expired { first }) => {
                records.clear();
                restart = Some((first, 0));
                next = first;
            }
            Err(error) => break Err(error),
        }
    };
    Exchange {
        append,
        records,
        restart,
        read,
    }
}
