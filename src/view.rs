//! The document in force, as every task of a process sees it.

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
    tail::{CONFIG_STREAM, ConfigReader},
};

/// Mean time between two looks at the log.
const POLL: Duration = Duration::from_secs(1);
/// Longest pause while the log is down; with the platform's timeout, a change is still in force
/// within 8 s after the log is back.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Messages that may wait for the task.
const QUEUE_LEN: usize = 64;

/// The targets among which one is chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Pool {
    /// The engines of a version of a model.
    Model(ModelName, VersionName),
    /// The targets of a plain service.
    Service(ServiceName),
}

impl Pool {
    /// The pool of a target that runs `runs`.
    pub fn of(runs: &Workload) -> Self {
        match runs {
            Workload::Engine { model, version } => Self::Model(model.clone(), version.clone()),
            Workload::Service(service) => Self::Service(service.clone()),
        }
    }

    /// Whether a target that runs `runs` belongs to the pool.
    pub fn contains(&self, runs: &Workload) -> bool {
        match (self, runs) {
            (Self::Model(name, wanted), Workload::Engine { model, version }) => {
                name == model && wanted == version
            }
            (Self::Service(name), Workload::Service(service)) => name == service,
            _ => false,
        }
    }
}

/// A document in force, with what is looked up for each request.
#[derive(Debug)]
pub struct View {
    /// Offset of the document's record.
    pub offset: Offset,
    /// Digest of the document.
    pub digest: Digest,
    /// The operator, or the process that renewed.
    pub author: OperatorName,
    /// When the record was published, in milliseconds since the Unix epoch.
    pub published: u64,
    /// The document.
    pub document: Arc<Document>,
    teams: HashMap<KeyHash, TeamName>,
    routes: HashMap<(String, String), Route>,
}

impl View {
    /// Prepares the document of a tip.
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
            published: tip.published_ms,
            document,
            teams,
            routes,
        }
    }

    /// The team whose key has this hash.
    pub fn team(&self, key: KeyHash) -> Option<&TeamName> {
        self.teams.get(&key)
    }

    /// The pools of the targets in the document.
    pub fn pools(&self) -> HashSet<Pool> {
        let targets = self.document.targets.values();
        targets.map(|target| Pool::of(&target.workload)).collect()
    }

    /// The route of a method and path.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.get(&(method.to_owned(), path.to_owned()))
    }
}

/// The newest view, absent until the first document has been read.
pub type Views = watch::Receiver<Option<Arc<View>>>;

/// What a process knows about its configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Offset of the record in force.
    pub offset: Option<Offset>,
    /// Digest of the document in force, as hex digits.
    pub digest: Option<String>,
    /// Who published it.
    pub author: Option<String>,
    /// When it was published, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// Time from publishing until it was in force here, by the clocks of both machines.
    pub in_force_after_ms: Option<u64>,
    /// Time since the log was read successfully.
    pub log_read_age_ms: Option<u64>,
    /// Why the log cannot be read at present.
    pub log_error: Option<String>,
    /// Whether the log ends before records that were read from it.
    pub log_reset: bool,
    /// Whether the process has not found its place in the log.
    pub searching: bool,
    /// Configuration records that were found invalid.
    pub rejected_records: u64,
}

enum Ask {
    State(oneshot::Sender<ConfigState>),
    Snapshot(oneshot::Sender<Option<Snapshot>>),
    RecordsAfter(Offset, oneshot::Sender<Option<Vec<Entry>>>),
    OfferSnapshot(Snapshot, oneshot::Sender<Result<(), OfferError>>),
    OfferRecords(Vec<Entry>, oneshot::Sender<Result<usize, OfferError>>),
    Look,
}

/// Speaks with the task that follows the configuration.
#[derive(Debug, Clone)]
pub struct Config {
    tx: mpsc::Sender<Ask>,
    views: Views,
}

impl Config {
    /// The views of this process.
    pub fn views(&self) -> &Views {
        &self.views
    }

    /// Offset and digest of the newest valid record.
    pub fn tip(&self) -> Option<(Offset, Digest)> {
        let view = self.views.borrow();
        view.as_ref().map(|view| (view.offset, view.digest))
    }

    /// What the process knows about its configuration.
    pub async fn state(&self) -> ConfigState {
        self.ask(Ask::State).await.unwrap_or_default()
    }

    /// The document in force, for a peer.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        self.ask(Ask::Snapshot).await.flatten()
    }

    /// The valid records after the valid record at `offset`; `None` when they are no longer held,
    /// so that the peer needs a snapshot.
    pub async fn records_after(&self, offset: Offset) -> Option<Vec<Entry>> {
        let records = self.ask(|reply| Ask::RecordsAfter(offset, reply)).await;
        records.flatten()
    }

    /// Offers a document that a peer has in force.
    ///
    /// # Errors
    ///
    /// Says why it was not taken.
    pub async fn offer_snapshot(&self, snapshot: Snapshot) -> Result<(), OfferError> {
        let taken = self.ask(|reply| Ask::OfferSnapshot(snapshot, reply)).await;
        taken.unwrap_or(Err(OfferError::Gap))
    }

    /// Offers valid records from a peer; returns how many were taken.
    ///
    /// # Errors
    ///
    /// Says why the first one that does not fit was not taken.
    pub async fn offer_records(&self, records: Vec<Entry>) -> Result<usize, OfferError> {
        let taken = self.ask(|reply| Ask::OfferRecords(records, reply)).await;
        taken.unwrap_or(Err(OfferError::Gap))
    }

    /// Has the task look at the log at once.
    pub async fn look(&self) {
        let _ended = self.tx.send(Ask::Look).await;
    }

    async fn ask<T>(&self, ask: impl FnOnce(oneshot::Sender<T>) -> Ask) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.tx.send(ask(reply)).await.ok()?;
        answer.await.ok()
    }
}

/// Starts the task that follows the log; it ends when the last handle is dropped.
pub fn follow(platform: Platform, name: &ProcessName, metrics: Metrics, log: Logger) -> Config {
    let (views, rx) = watch::channel(None);
    let (tx, asks) = mpsc::channel(QUEUE_LEN);
    let follower = Follower {
        tail: ConfigReader::new(platform.clone()),
        platform,
        author: name.clone().into(),
        views,
        random: rand::random(),
        metrics,
        log,
        read_at: None,
        error: None,
        pause: POLL,
        in_force_after: None,
        renewed_at: 0,
        recoveries: 0,
    };
    tokio::spawn(follower.run(asks));
    Config { tx, views: rx }
}

struct Follower {
    tail: ConfigReader,
    platform: Platform,
    author: OperatorName,
    views: watch::Sender<Option<Arc<View>>>,
    /// Draws the time of this process's renewals.
    random: u64,
    metrics: Metrics,
    log: Logger,
    read_at: Option<Instant>,
    error: Option<String>,
    pause: Duration,
    in_force_after: Option<u64>,
    /// When this process last tried to renew, in milliseconds since the Unix epoch.
    renewed_at: u64,
    recoveries: u64,
}

impl Follower {
    async fn run(mut self, mut asks: mpsc::Receiver<Ask>) {
        let mut next_look = Instant::now();
        loop {
            tokio::select! {
                () = time::sleep_until(next_look) => {
                    self.look().await;
                    // Jitter keeps the processes from reading all at once.
                    next_look = Instant::now() + self.pause.mul_f64(rand::random_range(0.75..1.25));
                }
                ask = asks.recv() => match ask {
                    Some(Ask::Look) => next_look = Instant::now(),
                    Some(ask) => self.answer(ask),
                    None => return,
                },
            }
        }
    }

    async fn look(&mut self) {
        match self.tail.advance().await {
            Ok(()) => {
                if self.error.take().is_some() {
                    info!(self.log, "the log can be read again");
                }
                self.pause = POLL;
                self.read_at = Some(Instant::now());
                self.metrics.log_read(clock::unix_time());
                self.publish();
                self.renew().await;
            }
            Err(error) => {
                if self.error.is_none() {
                    warn!(self.log, "cannot read the configuration; serving the last one"; "error" => %error);
                }
                self.error = Some(error.to_string());
                self.pause = (self.pause * 2).min(MAX_PAUSE);
            }
        }
        if self.tail.reset() && self.metrics.log_reset.set(1) == 0 {
            warn!(
                self.log,
                "the log ends before records that were read from it; keeping the newer configuration"
            );
        } else if !self.tail.reset() {
            self.metrics.log_reset.set(0);
        }
        self.metrics.rejects(self.tail.rejects());
    }

    /// Puts the tip in force if it is newer than the view.
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
        let after = unix_millis().saturating_sub(view.published);
        // A process that just started takes up what others have long had in force.
        if known.is_some() {
            self.in_force_after = Some(after);
            self.metrics.in_force(Duration::from_millis(after));
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
        let due = chain.renewal_due_ms(self.random);
        if self.tail.reset() || chain.is_searching() || due.is_none_or(|due| due > now) {
            return;
        }
        // A renewal that did not take effect is tried again after a while only.
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
            Err(error) => warn!(self.log, "cannot renew the configuration"; "error" => %error),
        }
    }

    fn answer(&mut self, ask: Ask) {
        match ask {
            Ask::State(reply) => {
                let _gone = reply.send(self.state());
            }
            Ask::Snapshot(reply) => {
                let _gone = reply.send(self.tail.chain().snapshot());
            }
            Ask::RecordsAfter(offset, reply) => {
                let _gone = reply.send(self.tail.chain().records_after(offset));
            }
            Ask::OfferSnapshot(snapshot, reply) => {
                let taken = self.tail.chain_mut().offer_snapshot(snapshot);
                self.publish();
                let _gone = reply.send(taken);
            }
            Ask::OfferRecords(records, reply) => {
                let taken = self.tail.chain_mut().offer_records(records);
                self.publish();
                let _gone = reply.send(taken);
            }
            Ask::Look => {}
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
            published_ms: view.map_or(0, |view| view.published),
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

/// The incarnation of a process that starts now: microseconds since the Unix epoch.
pub fn incarnation(unix_time: Duration) -> Incarnation {
    u64::try_from(unix_time.as_micros())
        .unwrap_or(u64::MAX)
        .into()
}
