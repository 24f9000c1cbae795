//! Task that counts the requests of each team by window, and exchanges the counts with other routers.
//!
//! Each router sends its counts to the collectors, which are the first routers in an order that all
//! routers know. The router that reports the usage reads the counts of all routers from these.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use ebonyfall_core::{
    id::Incarnation,
    name::{ProcessName, RouteName, TeamName},
    readers::ZoneRouter,
    time::Time,
    usage::{
        counts::{UsageTable, WindowCounts},
        durations::UsualDurations,
        time::{ClockReading, FleetTime},
        window::{CountChange, CountSource, WindowId, WindowLength},
    },
};
use ebonyfall_wire::usage::{Counts, CountsAnswer, CountsMessage, Page, ReadCounts};
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

use super::{
    collector::{Collector, Exchanged, Outgoing},
    meters::CountingMeters,
};
use crate::{
    ask::ask,
    clock::{self, BootClock},
    neighbours::PeerAccess,
    supervisor::{Supervisor, TaskName},
    view,
};

/// Maximum number of commands in the task's queue.
const QUEUE_LEN: usize = 8_192;
/// Interval between two exchanges with a collector.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Routers that collect the counts of all others. With three, one is left when one is paused while
/// another is being replaced.
const COLLECTORS: usize = 3;
/// Maximum number of changes in one answer, about 100 KB with usual names.
const MAX_PAGE: usize = 16_384;
/// Time for which a collector's clock is taken into account.
const READING_TTL: Duration = Duration::from_secs(15);
/// Number of windows whose counts are part of the dump.
const DUMPED_WINDOWS: usize = 4;
/// Maximum number of intervals between attempts to reach a collector that does not answer. Routers of
/// an earlier version close the connection, and each attempt costs both sides a handshake.
const MAX_PAUSE: u32 = 8;

/// Handle of the task that counts requests.
#[derive(Debug, Clone)]
pub struct UsageCounter {
    tx: mpsc::Sender<Command>,
    own: ProcessName,
    time: watch::Receiver<FleetTime>,
    holding: Arc<watch::Sender<bool>>,
    access: watch::Receiver<Option<PeerAccess>>,
    meters: CountingMeters,
}

/// State of the task for the dump.
#[derive(Debug, Default, Serialize)]
pub struct CountingState {
    /// Place of this router in the order of live routers; `None` while it is not known.
    pub rank: Option<usize>,
    /// Routers to which this one sends its counts.
    pub collectors: Vec<ProcessName>,
    /// Time since the Unix epoch, in milliseconds.
    pub unix_ms: u64,
    /// Number of counts that are kept.
    pub counts: usize,
    /// The last windows, the newest first.
    pub windows: Vec<WindowState>,
}

/// Counts of one window for the dump.
#[derive(Debug, Serialize)]
pub struct WindowState {
    /// Number of the window.
    pub window: u64,
    /// Requests of each team.
    pub counts: BTreeMap<TeamName, u64>,
    /// Live routers whose counts may be incomplete.
    pub missing: Vec<ProcessName>,
}

#[derive(Debug)]
pub(super) enum Command {
    Count(TeamName, Time),
    Answered {
        team: TeamName,
        route: RouteName,
        sent_at: Time,
        answered_at: Time,
    },
    Window(WindowId, oneshot::Sender<WindowCounts>),
    ChangesSince(u64, oneshot::Sender<(Vec<CountChange>, u64)>),
    Merge(Vec<CountChange>),
    Exchange(CountsMessage, oneshot::Sender<CountsAnswer>),
    Exchanged(Box<Exchanged>),
    Inspect(oneshot::Sender<CountingState>),
}

impl UsageCounter {
    /// Starts the task of the router `own`, which ends when the last handle is dropped. It exchanges
    /// counts once `access` is known.
    pub fn start(
        own: ProcessName,
        length: WindowLength,
        access: watch::Receiver<Option<PeerAccess>>,
        meters: CountingMeters,
        supervisor: &Supervisor,
        log: Logger,
    ) -> Self {
        let unix = clock::unix_time();
        let time = FleetTime::new(unix, BootClock.now());
        let (time_tx, time_rx) = watch::channel(time);
        let (holding, holds) = watch::channel(false);
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let source = CountSource {
            router: own.clone(),
            incarnation: view::incarnation(unix),
        };
        info!(log, "counting requests for usage reports"; "event" => "usage_start",
            "window_ms" => clock::millis(length.duration()), "incarnation" => %source.incarnation);
        let task = Task {
            table_id: source.incarnation,
            own: own.clone(),
            table: UsageTable::new(source, length),
            durations: UsualDurations::default(),
            time,
            time_tx,
            holds,
            access: access.clone(),
            peers: BTreeMap::new(),
            next_read: 0,
            results: tx.downgrade(),
            dropped: 0,
            meters: meters.clone(),
            supervisor: supervisor.clone(),
            log,
        };
        supervisor.spawn(TaskName::UsageCounts, task.run(rx));
        Self {
            tx,
            own,
            time: time_rx,
            holding: Arc::new(holding),
            access,
            meters,
        }
    }

    /// Counts a request of `team` that began to run at `began_at`. Never waits; the count is lost if
    /// the task's queue is full.
    pub fn count(&self, team: &TeamName, began_at: Time) {
        self.push(Command::Count(team.clone(), began_at));
    }

    /// Counts a request that was sent at `sent_at` and answered at `answered_at`. It began before the
    /// answer by the usual duration of answers on its route.
    pub(super) fn count_answer(
        &self,
        team: &TeamName,
        route: &RouteName,
        sent_at: Time,
        answered_at: Time,
    ) {
        self.push(Command::Answered {
            team: team.clone(),
            route: route.clone(),
            sent_at,
            answered_at,
        });
    }

    fn push(&self, command: Command) {
        match self.tx.try_send(command) {
            Ok(()) => self.meters.requests.inc(),
            // The task logs how many counts were lost.
            Err(_full_or_ended) => self.meters.dropped.inc(),
        };
    }

    /// Returns the counts of `window` as far as this router knows them.
    pub async fn window(&self, window: WindowId) -> WindowCounts {
        ask(&self.tx, |reply| Command::Window(window, reply))
            .await
            .unwrap_or_default()
    }

    /// Returns the counts that have changed after `revision`, and the revision that they reach.
    /// Revisions are those of this process.
    pub async fn changes_since(&self, revision: u64) -> (Vec<CountChange>, u64) {
        let changes = ask(&self.tx, |reply| Command::ChangesSince(revision, reply)).await;
        changes.unwrap_or((Vec::new(), revision))
    }

    /// Merges counts that were read from the store.
    pub async fn merge(&self, changes: Vec<CountChange>) {
        let _ended = self.tx.send(Command::Merge(changes)).await;
    }

    /// Sets whether this router reports the usage, and therefore reads the counts from the
    /// collectors.
    pub fn set_holding(&self, holding: bool) {
        self.holding.send_replace(holding);
    }

    /// Returns the time since the Unix epoch that the routers agree on.
    pub fn unix_time(&self) -> Duration {
        self.time.borrow().unix(BootClock.now())
    }

    /// Returns the place of this router in the order of all live routers. `None` while the membership
    /// is not fresh.
    pub fn rank(&self) -> Option<usize> {
        let membership = self.access.borrow().as_ref()?.gossip.membership();
        let membership = membership.borrow();
        let mut routers = membership.ordered_routers.iter();
        let rank = routers.position(|router| router.name == self.own)?;
        membership.fresh.then_some(rank)
    }

    /// Merges the counts of another router. `None` if the task has ended.
    pub(crate) async fn exchange(&self, message: CountsMessage) -> Option<CountsAnswer> {
        ask(&self.tx, |reply| Command::Exchange(message, reply)).await
    }

    /// Returns the state of the task for the dump.
    pub async fn inspect(&self) -> CountingState {
        let state = ask(&self.tx, Command::Inspect).await.unwrap_or_default();
        CountingState {
            rank: self.rank(),
            ..state
        }
    }
}

struct Task {
    /// Identifies this process's table to other routers.
    table_id: Incarnation,
    own: ProcessName,
    table: UsageTable,
    durations: UsualDurations,
    time: FleetTime,
    time_tx: watch::Sender<FleetTime>,
    holds: watch::Receiver<bool>,
    access: watch::Receiver<Option<PeerAccess>>,
    peers: BTreeMap<ProcessName, Peer>,
    /// Turn of the collector that is read next.
    next_read: usize,
    results: mpsc::WeakSender<Command>,
    /// Lost counts that have been logged.
    dropped: u64,
    meters: CountingMeters,
    supervisor: Supervisor,
    log: Logger,
}

/// A collector, and how far the exchange with it has come.
struct Peer {
    address: SocketAddr,
    tx: mpsc::Sender<Outgoing>,
    /// Whether an exchange is in progress.
    is_busy: bool,
    /// Failed exchanges since the last answer.
    failures: u32,
    /// Intervals that are left until the next attempt.
    pause: u32,
    /// Table of the collector that the revisions refer to.
    table: Incarnation,
    /// Revision of the own table up to which the collector has all changes.
    acknowledged: u64,
    /// Revision of the collector's table up to which this router has all changes.
    read: u64,
    /// Whether the collector has more changes than fitted into its last answer.
    has_more: bool,
    reading: Option<ClockReading>,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<Command>) {
        let mut ticks = interval(EXCHANGE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = rx.recv() => match command {
                    Some(command) => self.apply(command),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn now(&self) -> Duration {
        self.time.unix(BootClock.now())
    }

    fn apply(&mut self, command: Command) {
        match command {
            Command::Count(team, began_at) => self.count(&team, began_at),
            Command::Answered {
                team,
                route,
                sent_at,
                answered_at,
            } => {
                let took = answered_at.since(sent_at);
                let usual = self.durations.record(&route, took, answered_at);
                self.count(&team, answered_at.before(usual));
            }
            Command::Window(window, reply) => {
                let _caller_gone = reply.send(self.window(window));
            }
            Command::ChangesSince(revision, reply) => {
                let _caller_gone = reply.send(self.table.changes_since(revision));
            }
            Command::Merge(changes) => self.table.merge(&changes, self.now()),
            Command::Exchange(message, reply) => {
                let _caller_gone = reply.send(self.answer(message));
            }
            Command::Exchanged(exchanged) => self.record_exchange(*exchanged),
            Command::Inspect(reply) => {
                let _caller_gone = reply.send(self.inspect());
            }
        }
    }

    fn count(&mut self, team: &TeamName, began_at: Time) {
        let began = self.time.unix(began_at);
        self.table.count(team, began, self.now());
    }

    fn window(&self, window: WindowId) -> WindowCounts {
        let access = self.access.borrow();
        let membership = access.as_ref().map(|access| access.gossip.membership());
        match membership {
            Some(membership) => self.table.window(window, &membership.borrow().routers),
            None => self.table.window(window, [&self.own]),
        }
    }

    /// Merges the counts of another router and returns the ones that it wants to read.
    fn answer(&mut self, message: CountsMessage) -> CountsAnswer {
        let now = self.now();
        self.merge(message.counts, now);
        let page = message.read.map(|read| {
            let since = if read.table == self.table_id {
                read.since
            } else {
                0
            };
            Page::from(self.table.page_since(since, MAX_PAGE))
        });
        CountsAnswer {
            unix: now,
            table: self.table_id,
            page,
        }
    }

    fn merge(&mut self, counts: Counts, now: Duration) {
        let (changes, complete) = counts.decode();
        self.table.merge(&changes, now);
        // Counts come before the statement that they are complete.
        self.table.merge_complete(&complete, now);
    }

    fn tick(&mut self) {
        self.table.advance(self.now());
        self.log_dropped();
        self.update_peers();
        for peer in self.peers.values_mut() {
            peer.pause = peer.pause.saturating_sub(1);
        }
        let idle = self.peers.values().filter(|peer| peer.is_idle()).count();
        let turn = self.next_read.checked_rem(idle).unwrap_or(0);
        self.next_read = self.next_read.wrapping_add(1);
        let holds = *self.holds.borrow();
        let idle = self.peers.values_mut().filter(|peer| peer.is_idle());
        for (index, peer) in idle.enumerate() {
            // Collectors are read in turn, since most of what they know is the same.
            let reads = holds && (index == turn || peer.has_more);
            peer.send(&self.table, reads);
        }
    }

    /// Keeps the exchange with the present collectors only.
    fn update_peers(&mut self) {
        let access = self.access.borrow();
        let Some(access) = &*access else {
            return;
        };
        let membership = access.gossip.membership();
        let membership = membership.borrow();
        let collectors = membership.ordered_routers.iter().take(COLLECTORS);
        let collectors: Vec<_> = collectors.filter(|c| c.name != self.own).collect();
        let before = self.peers.len();
        self.peers.retain(|name, peer| {
            let is_present = |c: &&_| peer.is_at(name, c);
            collectors.iter().any(is_present)
        });
        let mut changed = self.peers.len() != before;
        for router in collectors {
            if self.peers.contains_key(&router.name) {
                continue;
            }
            changed = true;
            let collector = Collector {
                identity: access.identity.clone(),
                name: router.name.clone(),
                address: router.address,
                results: self.results.clone(),
                log: self.log.clone(),
            };
            let (tx, rx) = mpsc::channel(1);
            self.supervisor
                .spawn_job(TaskName::UsageCollector, collector.run(rx));
            let peer = Peer::new(router.address, tx);
            self.peers.insert(router.name.clone(), peer);
        }
        if changed {
            let names: Vec<_> = self.peers.keys().map(ProcessName::as_str).collect();
            info!(self.log, "collectors of usage counts changed";
                "event" => "usage_collectors", "collectors" => names.join(","));
        }
    }

    fn record_exchange(&mut self, exchanged: Exchanged) {
        let Exchanged {
            collector,
            revision,
            answer,
        } = exchanged;
        self.meters.count_exchange(answer.is_some());
        let now = self.now();
        let Some(peer) = self.peers.get_mut(&collector) else {
            return;
        };
        peer.is_busy = false;
        let Some((answer, reading)) = answer else {
            peer.record_failure();
            return;
        };
        peer.reading = Some(reading);
        peer.record_answer(&answer, revision);
        // More changes are read at once, so that a router that has just begun to report has all of
        // them soon.
        if peer.has_more {
            peer.send(&self.table, true);
        }
        if let Some(page) = answer.page {
            self.merge(page.counts, now);
        }
        self.correct_time();
    }

    fn correct_time(&mut self) {
        let now = BootClock.now();
        let readings = self.peers.values().filter_map(|peer| peer.reading);
        let readings: Vec<_> = readings
            .filter(|reading| now.since(reading.received_at) < READING_TTL)
            .collect();
        if let Some(micros) = self.time.correct(&readings) {
            let millis = i64::try_from(micros / 1_000).unwrap_or(i64::MAX);
            warn!(self.log, "clock differs from those of the other routers; time corrected";
                "event" => "usage_time", "by_ms" => millis, "clocks" => readings.len());
            self.time_tx.send_replace(self.time);
        }
    }

    fn log_dropped(&mut self) {
        self.meters.dropped.inc_by(self.table.take_refused());
        let dropped = self.meters.dropped.get();
        if dropped != self.dropped {
            warn!(self.log, "usage counts were lost because a queue or table was full";
                "event" => "usage_dropped", "count" => dropped.saturating_sub(self.dropped));
            self.dropped = dropped;
        }
    }

    fn inspect(&self) -> CountingState {
        let newest = self.table.windows().rev().take(DUMPED_WINDOWS);
        let windows = newest.map(|window| {
            let WindowCounts { counts, missing } = self.window(window);
            WindowState {
                window: window.into(),
                counts,
                missing,
            }
        });
        CountingState {
            rank: None,
            collectors: self.peers.keys().cloned().collect(),
            unix_ms: clock::millis(self.now()),
            counts: self.table.len(),
            windows: windows.collect(),
        }
    }
}

impl Peer {
    fn new(address: SocketAddr, tx: mpsc::Sender<Outgoing>) -> Self {
        Self {
            address,
            tx,
            is_busy: false,
            failures: 0,
            pause: 0,
            table: Incarnation::default(),
            acknowledged: 0,
            read: 0,
            has_more: false,
            reading: None,
        }
    }

    fn is_at(&self, name: &ProcessName, router: &ZoneRouter) -> bool {
        router.name == *name && router.address == self.address
    }

    /// Sends what has changed and, if `reads`, a request for the counts that the collector knows.
    /// Without either nothing is sent.
    fn send(&mut self, table: &UsageTable, reads: bool) {
        let own = table.own_since(self.acknowledged);
        let counts = Counts::new(own.changes, own.complete);
        if counts.is_empty() && !reads {
            return;
        }
        let read = reads.then_some(ReadCounts {
            table: self.table,
            since: self.read,
        });
        let message = CountsMessage { counts, read };
        self.is_busy = self.tx.try_send((message, own.revision)).is_ok();
    }

    fn is_idle(&self) -> bool {
        !self.is_busy && self.pause == 0
    }

    /// Tries again in the next interval, then after twice as many intervals each time.
    fn record_failure(&mut self) {
        self.pause = (1 << self.failures.min(16)).min(MAX_PAUSE);
        self.failures = self.failures.saturating_add(1);
    }

    fn record_answer(&mut self, answer: &CountsAnswer, revision: u64) {
        if answer.table == self.table {
            self.acknowledged = self.acknowledged.max(revision);
        } else {
            // A collector that is new or was restarted has only what this message brought.
            self.table = answer.table;
            self.acknowledged = match self.acknowledged {
                0 => revision,
                _ => 0,
            };
            self.read = 0;
        }
        self.failures = 0;
        self.has_more = false;
        if let Some(page) = &answer.page {
            self.read = page.revision;
            self.has_more = page.has_more;
        }
    }
}
