//! The configuration in force: the task that follows it in the log, and the views that other tasks
//! read.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use ebonyfall_core::{
    config::{Digest, Entry, OfferError, Snapshot, Tip},
    doc::{Document, KeyHash, Route, Workload},
    id::{Incarnation, Offset},
    name::{ModelName, OperatorName, ProcessName, ServiceName, TeamName, VersionName},
};
use ebonyfall_wire::record;
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{self, Instant},
};

use crate::{
    clock,
    metrics::Metrics,
    platform::Platform,
    reader::{CONFIG_STREAM, ConfigReader},
    supervisor::{Supervisor, TaskName},
};

/// Mean time between two reads of the log.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Longest pause between reads while the log is down. With the platform's timeout, a change is
/// still in force within 8 s after the log is back.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Capacity of the task's command channel.
const QUEUE_LEN: usize = 64;

/// Set of interchangeable targets, one of which is selected for a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Pool {
    /// Engines that serve one version of a model.
    Model(ModelName, VersionName),
    /// Targets of a plain service.
    Service(ServiceName),
}

impl Pool {
    /// Returns the pool of a target that runs `workload`.
    pub fn of(workload: &Workload) -> Self {
        match workload {
            Workload::Engine { model, version } => Self::Model(model.clone(), version.clone()),
            Workload::Service(service) => Self::Service(service.clone()),
        }
    }

    /// Whether a target that runs `workload` belongs to the pool.
    pub fn contains(&self, workload: &Workload) -> bool {
        match (self, workload) {
            (Self::Model(name, wanted), Workload::Engine { model, version }) => {
                name == model && wanted == version
            }
            (Self::Service(name), Workload::Service(service)) => name == service,
            _ => false,
        }
    }
}

/// A configuration document in force, with indexes for the lookups of each request.
#[derive(Debug)]
pub struct View {
    /// Offset of the document's record in the log.
    pub offset: Offset,
    /// SHA-256 digest of the document.
    pub digest: Digest,
    /// Operator who published the record, or the process that renewed it.
    pub author: OperatorName,
    /// Publication time of the record, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// Configuration document after the record is applied.
    pub document: Arc<Document>,
    teams: HashMap<KeyHash, TeamName>,
    routes: HashMap<(String, String), Route>,
}

impl View {
    /// Builds the view of a tip, the newest valid record.
    pub fn new(tip: &Tip) -> Self {
        let document = Arc::clone(&tip.document);
        let keys = document.teams.iter();
        let teams = keys
            .flat_map(|(name, team)| team.keys.iter().map(|key| (*key, name.clone())))
            .collect();
        let routes = document.routes.values();
        let routes = routes
            .map(|route| ((route.method.clone(), route.path.clone()), route.clone()))
            .collect();
        Self {
            offset: tip.offset,
            digest: tip.digest,
            author: tip.author.clone(),
            published_ms: tip.published_ms,
            document,
            teams,
            routes,
        }
    }

    /// Returns the team that has an API key with this hash.
    pub fn team(&self, key: KeyHash) -> Option<&TeamName> {
        self.teams.get(&key)
    }

    /// Returns the pools of all targets in the document.
    pub fn pools(&self) -> HashSet<Pool> {
        let targets = self.document.targets.values();
        targets.map(|target| Pool::of(&target.workload)).collect()
    }

    /// Returns the route of a method and path.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.get(&(method.to_owned(), path.to_owned()))
    }
}

/// Receiver of the newest view; `None` until the first document has been read.
pub type Views = watch::Receiver<Option<Arc<View>>>;

/// State of a process's configuration in the admin dump.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Offset of the record in force; `None` before the first one.
    pub offset: Option<Offset>,
    /// Digest of the document in force, as hex digits.
    pub digest: Option<String>,
    /// Operator or process that published it.
    pub author: Option<String>,
    /// Publication time in milliseconds since the Unix epoch; 0 without a configuration.
    pub published_ms: u64,
    /// Delay from publication until the record took effect in this process, from the clocks of two
    /// machines; `None` before the first change after the start.
    pub in_force_after_ms: Option<u64>,
    /// Time since the last successful read of the log; `None` before the first one.
    pub log_read_age_ms: Option<u64>,
    /// Error of the last read of the log; `None` if it succeeded.
    pub log_error: Option<String>,
    /// Whether the log was reset: it ends before records that were read from it.
    pub log_reset: bool,
    /// Whether the process has not yet found a valid starting record in the log.
    pub searching: bool,
    /// Number of invalid configuration records read from the log.
    pub rejected_records: u64,
}

enum Command {
    State(oneshot::Sender<ConfigState>),
    Snapshot(oneshot::Sender<Option<Snapshot>>),
    RecordsAfter(Offset, oneshot::Sender<Option<Vec<Entry>>>),
    OfferSnapshot(Snapshot, oneshot::Sender<Result<(), OfferError>>),
    OfferRecords(Vec<Entry>, oneshot::Sender<Result<usize, OfferError>>),
    Poll,
}

/// Handle of the task that follows the configuration.
#[derive(Debug, Clone)]
pub struct Config {
    tx: mpsc::Sender<Command>,
    views: Views,
}

impl Config {
    /// Returns the receiver of views.
    pub fn views(&self) -> &Views {
        &self.views
    }

    /// Returns offset and digest of the configuration in force.
    pub fn tip(&self) -> Option<(Offset, Digest)> {
        let view = self.views.borrow();
        view.as_ref().map(|view| (view.offset, view.digest))
    }

    /// Returns the state for the admin dump.
    pub async fn state(&self) -> ConfigState {
        self.request(Command::State).await.unwrap_or_default()
    }

    /// Returns the configuration in force for a peer.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        self.request(Command::Snapshot).await.flatten()
    }

    /// Returns the valid records after the one at `offset`; `None` when they are no longer kept, so
    /// that the peer needs a snapshot.
    pub async fn records_after(&self, offset: Offset) -> Option<Vec<Entry>> {
        let records = self
            .request(|reply| Command::RecordsAfter(offset, reply))
            .await;
        records.flatten()
    }

    /// Offers a configuration that a peer has in force.
    ///
    /// # Errors
    ///
    /// Returns the reason why the configuration was rejected.
    pub async fn offer_snapshot(&self, snapshot: Snapshot) -> Result<(), OfferError> {
        let result = self
            .request(|reply| Command::OfferSnapshot(snapshot, reply))
            .await;
        result.unwrap_or(Err(OfferError::Gap))
    }

    /// Offers valid records from a peer; returns how many were accepted.
    ///
    /// # Errors
    ///
    /// Returns the reason why the first unsuitable record was rejected.
    pub async fn offer_records(&self, records: Vec<Entry>) -> Result<usize, OfferError> {
        let result = self
            .request(|reply| Command::OfferRecords(records, reply))
            .await;
        result.unwrap_or(Err(OfferError::Gap))
    }

    /// Makes the task read the log at once.
    pub async fn poll_now(&self) {
        let _ended = self.tx.send(Command::Poll).await;
    }

    async fn request<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.tx.send(command(reply)).await.ok()?;
        answer.await.ok()
    }
}

/// Starts the task that follows the log, which ends when the last handle is dropped.
pub fn start(
    platform: Platform,
    name: &ProcessName,
    metrics: Metrics,
    supervisor: &Supervisor,
    log: Logger,
) -> Config {
    let (views, rx) = watch::channel(None);
    let (tx, commands) = mpsc::channel(QUEUE_LEN);
    let task = Task {
        tail: ConfigReader::new(platform.clone()),
        platform,
        author: name.clone().into(),
        views,
        renewal_seed: rand::random(),
        metrics,
        log,
        read_at: None,
        error: None,
        pause: POLL_INTERVAL,
        in_force_after: None,
        renewed_at: 0,
        recoveries: 0,
    };
    supervisor.spawn(TaskName::Configuration, task.run(commands));
    Config { tx, views: rx }
}

struct Task {
    tail: ConfigReader,
    platform: Platform,
    author: OperatorName,
    views: watch::Sender<Option<Arc<View>>>,
    /// Random value that spreads the renewal times of the processes.
    renewal_seed: u64,
    metrics: Metrics,
    log: Logger,
    read_at: Option<Instant>,
    error: Option<String>,
    pause: Duration,
    in_force_after: Option<u64>,
    /// Time of the last renewal attempt, in milliseconds since the Unix epoch.
    renewed_at: u64,
    recoveries: u64,
}

impl Task {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut next_poll = Instant::now();
        loop {
            tokio::select! {
                () = time::sleep_until(next_poll) => {
                    self.poll().await;
                    // Jitter keeps processes from reading the log at the same time.
                    next_poll = Instant::now() + self.pause.mul_f64(rand::random_range(0.75..1.25));
                }
                command = commands.recv() => match command {
                    Some(Command::Poll) => next_poll = Instant::now(),
                    Some(command) => self.on_command(command),
                    None => return,
                },
            }
        }
    }

    async fn poll(&mut self) {
        match self.tail.advance().await {
            Ok(()) => {
                if self.error.take().is_some() {
                    info!(self.log, "configuration log can be read again");
                }
                self.pause = POLL_INTERVAL;
                self.read_at = Some(Instant::now());
                self.metrics.set_log_read(clock::unix_time());
                self.publish();
                self.renew().await;
            }
            Err(error) => {
                if self.error.is_none() {
                    warn!(self.log, "cannot read the configuration log; \
                        keeping the last configuration"; "error" => %error);
                }
                self.error = Some(error.to_string());
                self.pause = (self.pause * 2).min(MAX_BACKOFF);
            }
        }
        if self.tail.reset() && self.metrics.log_reset.set(1) == 0 {
            warn!(
                self.log,
                "configuration log ends before records already read; \
                 keeping the newer configuration"
            );
        } else if !self.tail.reset() {
            self.metrics.log_reset.set(0);
        }
        self.metrics.set_rejects(self.tail.rejects());
    }

    /// Publishes a view of the tip if the tip is newer than the current view, or if the chain has
    /// rejoined the log.
    fn publish(&mut self) {
        let Some(tip) = self.tail.chain().tip() else {
            return;
        };
        let known = self.views.borrow().as_ref().map(|view| view.offset);
        let recovered = self.tail.recoveries() > self.recoveries;
        if Some(tip.offset) <= known && !recovered {
            return;
        }
        self.recoveries = self.tail.recoveries();
        let view = View::new(tip);
        let after = unix_millis().saturating_sub(view.published_ms);
        // The first configuration after a start is not timed: the others may have had it in force
        // for long.
        if known.is_some() {
            self.in_force_after = Some(after);
            self.metrics.observe_in_force(Duration::from_millis(after));
        }
        info!(self.log, "configuration in force"; "offset" => view.offset.to_string(),
            "author" => %view.author, "after_ms" => after);
        self.metrics
            .configuration_offset
            .set(i64::try_from(u64::from(view.offset)).unwrap_or(i64::MAX));
        self.views.send_replace(Some(Arc::new(view)));
    }

    async fn renew(&mut self) {
        let now = unix_millis();
        let chain = self.tail.chain();
        let due = chain.renewal_due_ms(self.renewal_seed);
        if self.tail.reset() || chain.is_searching() || due.is_none_or(|due| due > now) {
            return;
        }
        // A renewal that had no effect is retried after a sixteenth of the retention.
        let pause = chain.tip().map(|tip| tip.document.limits.retention / 16);
        let pause = pause.map_or(0, |pause| {
            u64::try_from(pause.as_millis()).unwrap_or(u64::MAX)
        });
        if now < self.renewed_at.saturating_add(pause) {
            return;
        }
        self.renewed_at = now;
        let Some(record) = chain.propose_renewal(rand::random(), self.author.clone(), now) else {
            return;
        };
        let Ok(data) = record::encode(&record) else {
            return;
        };
        match self.platform.append(CONFIG_STREAM, &data).await {
            Ok(offset) => info!(self.log, "configuration renewed"; "offset" => offset.to_string()),
            Err(error) => warn!(self.log, "cannot renew the configuration; retrying later";
                "error" => %error),
        }
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::State(reply) => {
                let _caller_gone = reply.send(self.state());
            }
            Command::Snapshot(reply) => {
                let _caller_gone = reply.send(self.tail.chain().snapshot());
            }
            Command::RecordsAfter(offset, reply) => {
                let _caller_gone = reply.send(self.tail.chain().records_after(offset));
            }
            Command::OfferSnapshot(snapshot, reply) => {
                let result = self.tail.chain_mut().offer_snapshot(snapshot);
                self.publish();
                let _caller_gone = reply.send(result);
            }
            Command::OfferRecords(records, reply) => {
                let result = self.tail.chain_mut().offer_records(records);
                self.publish();
                let _caller_gone = reply.send(result);
            }
            Command::Poll => {}
        }
    }

    fn state(&self) -> ConfigState {
        let view = self.views.borrow();
        let view = view.as_ref();
        let age = self.read_at.map(|at| at.elapsed().as_millis());
        let rejects = self.tail.rejects();
        ConfigState {
            offset: view.map(|view| view.offset),
            digest: view.map(|view| view.digest.to_string()),
            author: view.map(|view| view.author.to_string()),
            published_ms: view.map_or(0, |view| view.published_ms),
            in_force_after_ms: self.in_force_after,
            log_read_age_ms: age.and_then(|age| u64::try_from(age).ok()),
            log_error: self.error.clone(),
            log_reset: self.tail.reset(),
            searching: self.tail.chain().is_searching(),
            rejected_records: rejects.parent
                + rejects.digest
                + rejects.document
                + rejects.contradiction,
        }
    }
}

fn unix_millis() -> u64 {
    u64::try_from(clock::unix_time().as_millis()).unwrap_or(u64::MAX)
}

/// Returns the incarnation of a process that starts at `unix_time`, in microseconds since the Unix
/// epoch.
pub fn incarnation(unix_time: Duration) -> Incarnation {
    u64::try_from(unix_time.as_micros())
        .unwrap_or(u64::MAX)
        .into()
}
