//! The document in force, as every task of a process sees it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use ebonyfall_core::{
    doc::{Document, KeyHash, Route, Runs},
    id::{Incarnation, Offset},
    name::{ModelName, ServiceName, TeamName},
};
use slog::{Logger, info, warn};
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval},
};

use crate::platform::{Platform, PlatformError};

/// Stream of the platform's log that holds the configuration.
pub const CONFIG_STREAM: &str = "config";
/// Time between two looks at the log.
const POLL: Duration = Duration::from_secs(1);
/// Records read at once.
const BATCH: u32 = 256;

/// The targets among which one is chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Pool {
    /// The engines of a model.
    Model(ModelName),
    /// The targets of a plain service.
    Service(ServiceName),
}

impl Pool {
    /// Whether a target that runs `runs` belongs to the pool.
    pub fn contains(&self, runs: &Runs) -> bool {
        match (self, runs) {
            (Self::Model(name), Runs::Engine { model, .. }) => name == model,
            (Self::Service(name), Runs::Service(service)) => name == service,
            _ => false,
        }
    }
}

/// A document in force, with what is looked up for each request.
#[derive(Debug)]
pub struct View {
    /// Offset of the document's record.
    pub offset: Offset,
    /// The document.
    pub document: Document,
    teams: HashMap<KeyHash, TeamName>,
    routes: HashMap<(String, String), Route>,
}

impl View {
    /// Prepares a document.
    pub fn new(offset: Offset, document: Document) -> Self {
        let keys = document.teams.iter();
        let teams = keys
            .flat_map(|(name, team)| team.keys.iter().map(|key| (*key, name.clone())))
            .collect();
        let routes = document.routes.values();
        let routes = routes
            .map(|route| ((route.method.clone(), route.path.clone()), route.clone()))
            .collect();
        Self {
            offset,
            document,
            teams,
            routes,
        }
    }

    /// The team whose key has this hash.
    pub fn team(&self, key: KeyHash) -> Option<&TeamName> {
        self.teams.get(&key)
    }

    /// The route of a method and path.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.get(&(method.to_owned(), path.to_owned()))
    }
}

/// The newest view, absent until the first document has been read.
pub type Views = watch::Receiver<Option<Arc<View>>>;

/// Starts the task that follows the log; it ends when the last receiver is dropped. `peers` brings
/// documents that peers had in force.
pub fn follow(platform: Platform, mut peers: mpsc::Receiver<View>, log: Logger) -> Views {
    let (tx, rx) = watch::channel(None);
    tokio::spawn(async move {
        let mut next = Offset::default();
        let mut ticks = interval(POLL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                Some(view) = peers.recv() => {
                    // A process only moves forward.
                    if view.offset >= next {
                        next = view.offset.next();
                        info!(log, "configuration in force"; "offset" => view.offset.to_string());
                        tx.send_replace(Some(Arc::new(view)));
                    }
                    continue;
                }
                () = tx.closed() => return,
            }
            match step(&platform, &mut next).await {
                Ok(None) => {}
                Ok(Some(view)) => {
                    info!(log, "configuration in force"; "offset" => view.offset.to_string());
                    tx.send_replace(Some(Arc::new(view)));
                }
                Err(error) => warn!(log, "cannot read the configuration"; "error" => %error),
            }
        }
    });
    rx
}

async fn step(platform: &Platform, next: &mut Offset) -> Result<Option<View>, PlatformError> {
    let batch = match platform.read(CONFIG_STREAM, *next, BATCH).await {
        Err(PlatformError::Expired { first }) => platform.read(CONFIG_STREAM, first, BATCH).await?,
        other => other?,
    };
    let mut view = None;
    for record in batch.records {
        *next = record.offset.next();
        let text = String::from_utf8_lossy(&record.data);
        if let Ok(document) = Document::parse("log", &text) {
            view = Some(View::new(record.offset, document));
        }
    }
    Ok(view)
}

/// The incarnation of a process that starts now: microseconds since the Unix epoch.
pub fn incarnation(unix_time: Duration) -> Incarnation {
    u64::try_from(unix_time.as_micros())
        .unwrap_or(u64::MAX)
        .into()
}
