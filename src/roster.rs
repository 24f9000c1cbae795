//! Records of the routers in the store: the key that authenticates the gossip, and the roster, the list
//! of routers that share the limits of the fleet.
//!
//! A router reads both with one list when it starts. Then a task writes the router's own record, and
//! reads the roster once more if the router has to wait until the others know it.

use std::time::Duration;

use ebonyfall_core::{
    fleet::{REWRITE_INTERVAL, RosterEntry},
    name::ProcessName,
};
use ebonyfall_platform::{
    roster,
    store::{KeyedRecord, Topic},
};
use slog::{Logger, info, warn};
use tokio::{
    sync::mpsc,
    time::{self, timeout},
};

use crate::{
    clock,
    store::{Listing, StoreClient, StoreError},
    supervisor::{Supervisor, TaskName},
};

/// Delay after a failed attempt to get the exchange key.
const KEY_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Mean pause before the first retry of a call for the roster, doubled with each further retry.
const ROSTER_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Largest mean pause between two retries.
const MAX_ROSTER_RETRY_PAUSE: Duration = Duration::from_secs(60);
/// Key of the store's record that contains the exchange key.
const KEY_RECORD: &str = "exchange-key";
/// Most log lines on single records of one list.
const MAX_BAD_LINES: u32 = 8;
/// Length of the exchange key in bytes.
const KEY_BYTES: usize = 16;

/// Key that authenticates the gossip between routers.
pub(crate) type KeyBytes = [u8; KEY_BYTES];

/// What a router that starts finds in the store.
pub(crate) struct RouterRecords {
    pub(crate) key: KeyBytes,
    pub(crate) roster: Vec<RosterEntry>,
    /// Whether this router has created the key, so that no other one has used the roster before.
    pub(crate) is_first: bool,
}

/// Returns the records in the store, with `key` as exchange key if there is none yet. Retries until that
/// succeeds.
pub(crate) async fn read_or_create(
    store: &StoreClient,
    key: KeyBytes,
    log: &Logger,
) -> RouterRecords {
    loop {
        match read_or_write_key(store, key, log).await {
            Ok(Some(records)) => return records,
            Ok(None) => {}
            Err(error) => {
                warn!(log, "cannot read or create the exchange key in the store; retrying";
                    "event" => "exchange_key", "error" => %error);
                time::sleep(KEY_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the records that the store has; writes `key` if it has none. `None` if another router has
/// written a record meanwhile, so that they have to be read again.
async fn read_or_write_key(
    store: &StoreClient,
    key: KeyBytes,
    log: &Logger,
) -> Result<Option<RouterRecords>, StoreError> {
    let Listing { records, end, .. } = list(store, log).await?;
    let roster = decode_roster(&records);
    let known = records.into_iter().find(|record| record.key == KEY_RECORD);
    let known = known.and_then(|record| record.value);
    if let Some(key) = known.and_then(|value| KeyBytes::try_from(&*value).ok()) {
        return Ok(Some(RouterRecords {
            key,
            roster,
            is_first: false,
        }));
    }
    let is_first = roster.is_empty();
    match store.append_at(Topic::Routers, end, KEY_RECORD, &key).await {
        Ok(()) => Ok(Some(RouterRecords {
            key,
            roster,
            is_first,
        })),
        Err(StoreError::Refused { status }) if status == http::StatusCode::PRECONDITION_FAILED => {
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

/// Lists the exchange key and the roster. Of the records that cannot be decoded, the first ones are logged.
async fn list(store: &StoreClient, log: &Logger) -> Result<Listing, StoreError> {
    let mut bad = 0;
    let is_used = |record: &KeyedRecord| match roster::decode(record) {
        None => record.key == KEY_RECORD,
        Some(Ok(_)) => true,
        Some(Err(error)) => {
            bad += 1;
            if bad <= MAX_BAD_LINES {
                warn!(log, "a router's record in the store is ignored";
                    "event" => "roster_bad", "error" => %error);
            }
            false
        }
    };
    let listing = store.newest(Topic::Routers, is_used).await?;
    if bad > MAX_BAD_LINES {
        warn!(log, "more records of routers in the store are ignored";
            "event" => "roster_bad", "count" => bad, "left_out" => listing.left_out);
    }
    Ok(listing)
}

fn decode_roster(records: &[KeyedRecord]) -> Vec<RosterEntry> {
    let entries = records.iter().filter_map(roster::decode);
    entries.filter_map(Result::ok).collect()
}

/// What the task that keeps a router's record needs.
#[derive(Debug)]
pub(crate) struct Registration {
    pub(crate) store: StoreClient,
    pub(crate) name: ProcessName,
    /// Start of this run, as time since the Unix epoch.
    pub(crate) started: Duration,
    /// Time after the record is written at which the roster is read once more; `None` if it is not.
    pub(crate) relist_after: Option<Duration>,
    pub(crate) supervisor: Supervisor,
    pub(crate) log: Logger,
}

/// What the task that keeps a router's record reports.
#[derive(Debug)]
pub(crate) enum RosterEvent {
    /// The record is in the roster.
    Written,
    /// The roster was read once more.
    Listed(Vec<RosterEntry>),
}

/// Handle of the task that keeps a router's record. The task ends after the handle is dropped, once the
/// call that it is making has succeeded.
#[derive(Debug)]
pub(crate) struct RosterHandle {
    events: mpsc::Receiver<RosterEvent>,
    rewrites: mpsc::Sender<()>,
}

impl RosterHandle {
    /// Waits for the next event. Never returns if there is none.
    pub(crate) async fn next_event(&mut self) -> RosterEvent {
        match self.events.recv().await {
            Some(event) => event,
            None => std::future::pending().await,
        }
    }

    /// Lets the task write the record again.
    pub(crate) fn rewrite(&self) {
        // If the queue is full, the record is going to be written again anyway.
        let _full = self.rewrites.try_send(());
    }
}

impl Registration {
    /// Starts the task that writes the record, and writes it again at intervals and on request.
    pub(crate) fn start(self) -> RosterHandle {
        let (event_tx, events) = mpsc::channel(1);
        let (rewrites, rewrite_rx) = mpsc::channel(1);
        let supervisor = self.supervisor.clone();
        supervisor.spawn(TaskName::Roster, self.run(event_tx, rewrite_rx));
        RosterHandle { events, rewrites }
    }

    async fn run(self, events: mpsc::Sender<RosterEvent>, mut rewrites: mpsc::Receiver<()>) {
        self.write().await;
        let _ended = events.send(RosterEvent::Written).await;
        if let Some(after) = self.relist_after {
            time::sleep(after).await;
            let _ended = events.send(RosterEvent::Listed(self.read().await)).await;
        }
        // The sender stays alive, so that the receiver waits for events that do not come.
        while !matches!(timeout(REWRITE_INTERVAL, rewrites.recv()).await, Ok(None)) {
            self.write().await;
        }
    }

    /// Writes the record. Retries until that succeeds.
    async fn write(&self) {
        let key = roster::record_key(&self.name);
        let mut pause = ROSTER_RETRY_PAUSE;
        loop {
            let entry = RosterEntry {
                name: self.name.clone(),
                started: self.started,
                written: clock::unix_time(),
            };
            let value = roster::encode(&entry);
            match self.store.append(Topic::Routers, &key, &value).await {
                Ok(()) => break,
                Err(error) => self.wait_to_retry("append", &error, &mut pause).await,
            }
        }
        info!(self.log, "this router's record is in the store"; "event" => "roster_written");
    }

    /// Reads the roster. Retries until that succeeds.
    async fn read(&self) -> Vec<RosterEntry> {
        let mut pause = ROSTER_RETRY_PAUSE;
        loop {
            match list(&self.store, &self.log).await {
                Ok(listing) => return decode_roster(&listing.records),
                Err(error) => self.wait_to_retry("list", &error, &mut pause).await,
            }
        }
    }

    async fn wait_to_retry(&self, call: &'static str, error: &StoreError, pause: &mut Duration) {
        warn!(self.log, "a call of the store for the list of routers failed; retrying";
            "event" => "roster_failed", "call" => call, "error" => %error);
        time::sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
        *pause = (*pause * 2).min(MAX_ROSTER_RETRY_PAUSE);
    }
}
