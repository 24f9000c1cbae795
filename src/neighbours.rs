//! Reads the store's streams through other routers, and serves such reads to them.
//!
//! Most routers of a large zone read the store's records from the zone's readers. A router that the
//! store does not answer reads them from any other router. An answer contains the age of its last confirmation.
//! The reader subtracts that age from the time at which it sent the request, so that network delays
//! never make the records look more recent than they are.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ebonyfall_core::{
    id::Position,
    memory::Taker,
    name::ProcessName,
    readers::ZoneRouter,
    time::Time,
    transfer::{Transfer, TransferLimits},
};
use ebonyfall_platform::store::KeyedRecord;
use ebonyfall_wire::{
    mirror::{Changes, KeyRecord, Stream, StreamChanges, StreamRead},
    usage::{ReadRange, RouterRequest},
};
use rand::seq::SliceRandom;
use serde::Serialize;
use slog::{Logger, debug, info, o, warn};
use tokio::{
    net::TcpStream,
    sync::{Semaphore, watch},
    time::{self, timeout},
};

use crate::{
    clock::{self, BootClock},
    gossip::Gossip,
    link::{Identity, Link, LinkError, StalledSnafu},
    memory::MemoryBudget,
    meters::EntryMetrics,
    mirror::Mirror,
    usage::counting::UsageCounter,
    web,
};

/// Maximum number of routers that are tried for one read. Those that are behind as well answer soon.
const MAX_PEERS_TRIED: usize = 6;
/// Time after which no further router is tried.
const PEERS_TIME: Duration = Duration::from_millis(900);
/// Timeout for connecting to a router, time until its answer begins, and longest time without progress.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in addition to the wait within which a reader's answer begins, and longest time without
/// progress. A follower asks the store then, while its own state is still recent enough.
const READER_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of connections from other routers: two for each follower in a zone, and one for
/// each router of the fleet that sends its counts.
const MAX_CONNECTIONS: usize = 128 + 1_024;
/// Longest time for which an answer waits for a record.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Maximum size of the records in one answer, in bytes; less than the largest frame. All records that a
/// router keeps of a stream fit into it.
const MAX_ANSWER_BYTES: usize = 7 << 20;
/// The same for a read that waits. A follower can get longer records from the store; sending them to
/// all followers would hold up the requests of a reader's own callers.
const MAX_FOLLOW_BYTES: usize = 32 << 10;
/// Copies of an answer that are held while it is sent: the encoded one, and that in the connection.
const ANSWER_COPIES: usize = 2;
/// Pause before the next try to listen for other routers.
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The same after an exchange of counts, which a quiet router makes only once in each window.
const COUNTS_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Access to the other routers; available once the exchange key has been read from the store.
#[derive(Debug, Clone)]
pub struct PeerAccess {
    /// Identity of this process for authentication to other routers.
    pub identity: Identity,
    /// Membership, which lists the addresses of the other routers.
    pub gossip: Gossip,
    /// Address of this process, which is excluded from reads and on which it serves other routers.
    pub own_address: SocketAddr,
}

/// Copies of the store's streams that are served to other routers.
#[derive(Debug, Clone)]
pub struct Mirrors {
    /// Operators' orders, including the desired state.
    pub orders: watch::Receiver<Mirror>,
    /// Records of registered targets.
    pub targets: watch::Receiver<Mirror>,
}

/// What a router serves to others.
#[derive(Debug, Clone)]
pub struct PeerService {
    /// Copies of the store's streams.
    pub mirrors: Mirrors,
    /// Task that counts requests; `None` if usage is not reported.
    pub usage: Option<UsageCounter>,
    /// Memory for long answers.
    pub memory: MemoryBudget,
}

/// Records read from another router.
#[derive(Debug)]
pub struct PeerRead {
    /// Whether `records` has all current records. Keys that are missing from it have been deleted.
    pub is_complete: bool,
    /// Records in the order of their offsets. A record without a value marks a deleted key.
    pub records: Vec<KeyedRecord>,
    /// Position at which the next read starts.
    pub next: Position,
    /// Time at which the other router's copy was known to be up to date; `None` if it never was.
    pub confirmed: Option<Time>,
}

impl PeerRead {
    /// Whether the other router's copy was confirmed less than `max_age` before `now`.
    fn is_recent(&self, max_age: Duration, now: Time) -> bool {
        self.confirmed.is_some_and(|at| now.since(at) < max_age)
    }
}

/// Client that reads one stream from other routers, with one connection at a time.
#[derive(Debug)]
pub struct PeerReader {
    stream: Stream,
    access: watch::Receiver<Option<PeerAccess>>,
    link: Option<(SocketAddr, Link)>,
    meters: EntryMetrics,
    log: Logger,
}

impl PeerReader {
    /// Creates a client without a connection.
    pub fn new(
        stream: Stream,
        access: watch::Receiver<Option<PeerAccess>>,
        meters: EntryMetrics,
        log: Logger,
    ) -> Self {
        Self {
            stream,
            access,
            link: None,
            meters,
            log,
        }
    }

    /// Reads the records from position `from` on from any router, if possible from one whose copy was
    /// confirmed less than `max_age` ago. `None` if none answered.
    pub async fn read(&mut self, from: Position, max_age: Duration) -> Option<PeerRead> {
        let read = self.read_from_any(from, max_age).await;
        self.count(read.is_some());
        read
    }

    /// Reads the records from position `from` on from the router at `peer`, which waits up to `wait`
    /// for one. `None` if it did not answer.
    pub async fn read_from(
        &mut self,
        peer: SocketAddr,
        from: Position,
        wait: Duration,
    ) -> Option<PeerRead> {
        let access = self.access.borrow().clone()?;
        let link = match self.link.take() {
            Some((address, link)) if address == peer => Some(link),
            _ => timeout(READER_TIMEOUT, self.dial(&access, peer))
                .await
                .ok()?,
        };
        let read = self.request(peer, link?, from, wait, READER_TIMEOUT).await;
        self.count(read.is_some());
        read
    }

    /// Routers of this process's zone and its own name. `None` until the membership is known.
    pub fn zone_routers(&self) -> Option<(ProcessName, Vec<ZoneRouter>)> {
        let access = self.access.borrow();
        let access = access.as_ref()?;
        let membership = access.gossip.membership();
        let membership = membership.borrow();
        let routers = membership.fresh.then(|| membership.zone_routers.clone());
        Some((access.identity.name.clone(), routers.unwrap_or_default()))
    }

    fn count(&self, answered: bool) {
        let stream = match self.stream {
            Stream::Orders => "orders",
            Stream::Targets => "targets",
        };
        self.meters.count_peer_read(stream, answered);
    }

    async fn read_from_any(&mut self, from: Position, max_age: Duration) -> Option<PeerRead> {
        let access = self.access.borrow().clone()?;
        let started_at = BootClock.now();
        let last_link = self.link.take();
        let last_peer = last_link.as_ref().map(|(peer, _)| *peer);
        let mut peers = access.gossip.peer_addresses().await;
        peers.retain(|peer| *peer != access.own_address && Some(*peer) != last_peer);
        peers.shuffle(&mut rand::rng());
        let last = last_link.map(|(peer, link)| (peer, Some(link)));
        let others = peers.into_iter().map(|peer| (peer, None));
        let mut late: Vec<PeerRead> = Vec::new();
        for (peer, link) in last.into_iter().chain(others).take(MAX_PEERS_TRIED) {
            match self.read_from_peer(&access, peer, link, from).await {
                Some(read) if read.is_recent(max_age, BootClock.now()) => return Some(read),
                Some(read) => {
                    // Another router that is behind, too, is not asked first the next time.
                    self.link = None;
                    late.push(read);
                }
                None => {}
            }
            if BootClock.now().since(started_at) > PEERS_TIME {
                break;
            }
        }
        let asked = late.len();
        let best = late.into_iter().max_by_key(|read| read.confirmed)?;
        let age = best.confirmed.map(|at| BootClock.now().since(at));
        info!(self.log, "no router that was asked has recent records";
            "event" => "peers_late", "stream" => ?self.stream, "asked" => asked,
            "peer_age_ms" => age.map(clock::millis));
        Some(best)
    }

    /// Reads from the router at `peer`, on a new connection if there is no `link`.
    async fn read_from_peer(
        &mut self,
        access: &PeerAccess,
        peer: SocketAddr,
        link: Option<Link>,
        from: Position,
    ) -> Option<PeerRead> {
        let link = match link {
            Some(link) => link,
            None => self.dial(access, peer).await?,
        };
        self.request(peer, link, from, Duration::ZERO, ANSWER_TIMEOUT)
            .await
    }

    async fn dial(&self, access: &PeerAccess, peer: SocketAddr) -> Option<Link> {
        match timeout(ANSWER_TIMEOUT, Link::dial(&access.identity, peer)).await {
            Ok(Ok(link)) => {
                info!(self.log, "reading the store's records from another router";
                    "event" => "peer_read",
                    "stream" => ?self.stream, "peer" => %link.peer().name);
                return Some(link);
            }
            Ok(Err(error)) => debug!(self.log, "cannot connect to router"; "peer" => %peer,
                "error" => %error),
            Err(_late) => debug!(self.log, "connecting to router timed out"; "peer" => %peer),
        }
        None
    }

    /// Sends a request on `link`, and keeps the connection if the router answers.
    async fn request(
        &mut self,
        peer: SocketAddr,
        mut link: Link,
        from: Position,
        wait: Duration,
        pause: Duration,
    ) -> Option<PeerRead> {
        let request = StreamRead {
            stream: self.stream,
            from,
            wait,
        };
        let requested_at = BootClock.now();
        let mut transfer = Transfer::new(TransferLimits::new(wait, pause), requested_at);
        let exchange = exchange(&mut link, request, &mut transfer);
        let StreamChanges { era, changes } = match exchange.await {
            Ok(changes) => changes?,
            Err(error) => {
                info!(self.log, "another router did not answer a read of the store's records";
                    "event" => "peer_read_failed", "stream" => ?self.stream, "peer" => %peer,
                    "error" => %error, "received" => transfer.received());
                return None;
            }
        };
        self.link = Some((peer, link));
        let records = changes.records.into_iter().map(|record| KeyedRecord {
            key: record.key,
            value: record.value,
            offset: record.offset,
        });
        Some(PeerRead {
            is_complete: changes.is_complete,
            records: records.collect(),
            next: request.from.max(Position {
                era,
                offset: changes.next,
            }),
            confirmed: changes.age.map(|age| requested_at.before(age)),
        })
    }
}

/// Sends a read on `link` and receives the answer.
async fn exchange(
    link: &mut Link,
    request: StreamRead,
    transfer: &mut Transfer,
) -> Result<Option<StreamChanges>, LinkError> {
    let request = RouterRequest::Stream(request);
    let send_limit = transfer.deadline().since(BootClock.now());
    match timeout(send_limit, link.send(&request)).await {
        Ok(result) => result?,
        Err(_late) => return StalledSnafu.fail(),
    }
    let received = link.receive_within(transfer).await;
    received.unwrap_or_else(|| StalledSnafu.fail())
}

/// Serves reads and counts of other routers until the process ends.
pub async fn serve(access: PeerAccess, service: PeerService, log: Logger) {
    let listener = loop {
        match web::bind(access.own_address).await {
            Ok(listener) => break listener,
            Err(error) => {
                warn!(log, "cannot listen for reads from other routers; retrying";
                    "event" => "exchange_socket", "address" => access.own_address, "error" => %error);
                time::sleep(BIND_RETRY_PAUSE).await;
            }
        }
    };
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let accept_log = log.new(o!("event" => "exchange_socket"));
    loop {
        let (stream, _) = web::accept(&listener, &accept_log).await;
        // Above the limit the connection is closed, and the other router tries the next one.
        let Ok(permit) = Arc::clone(&slots).try_acquire_owned() else {
            continue;
        };
        let (identity, service, log) = (access.identity.clone(), service.clone(), log.clone());
        tokio::spawn(async move {
            if let Err(error) = answer(&identity, stream, &service).await {
                debug!(log, "connection from another router failed; closed"; "error" => %error);
            }
            drop(permit);
        });
    }
}

async fn answer(
    identity: &Identity,
    stream: TcpStream,
    service: &PeerService,
) -> Result<(), LinkError> {
    let PeerService {
        mirrors,
        usage,
        memory,
    } = service;
    let mut link = Link::accept(identity, stream).await?;
    let mut idle_timeout = IDLE_TIMEOUT;
    while let Ok(request) = timeout(idle_timeout, link.receive::<RouterRequest>()).await {
        match request? {
            RouterRequest::Orders(range) => {
                let changes = earlier_changes(mirrors.orders.clone(), range).await;
                send_records(&mut link, memory, changes, |changes| &changes.records).await?;
            }
            RouterRequest::Targets(range) => {
                let changes = earlier_changes(mirrors.targets.clone(), range).await;
                send_records(&mut link, memory, changes, |changes| &changes.records).await?;
            }
            RouterRequest::Stream(read) => {
                let mirror = match read.stream {
                    Stream::Orders => mirrors.orders.clone(),
                    Stream::Targets => mirrors.targets.clone(),
                };
                let changes = changes(mirror, read).await;
                send_records(&mut link, memory, changes, |changes| {
                    &changes.changes.records
                })
                .await?;
            }
            RouterRequest::Counts(message) => {
                // A router that does not report usage closes the connection.
                let Some(usage) = usage else {
                    return Ok(());
                };
                let Some(counts) = usage.exchange(message).await else {
                    return Ok(());
                };
                link.send(&counts).await?;
                idle_timeout = COUNTS_IDLE_TIMEOUT;
            }
        }
    }
    Ok(())
}

/// Sends an answer with records, or none if its records are long and there is no memory for them.
async fn send_records<T: Serialize>(
    link: &mut Link,
    memory: &MemoryBudget,
    answer: Option<T>,
    records: impl Fn(&T) -> &[KeyRecord],
) -> Result<(), LinkError> {
    let sizes = answer.iter().flat_map(records);
    let bytes: usize = sizes.map(KeyRecord::size).sum();
    let share = if bytes <= MAX_FOLLOW_BYTES {
        Ok(None)
    } else {
        memory.take(Taker::Peers, bytes * ANSWER_COPIES).map(Some)
    };
    match share {
        Ok(_held) => link.send(&answer).await,
        // The other router asks the next one, or the store.
        Err(_full) => link.send(&None::<T>).await,
    }
}

/// Waits for a change, and returns what has changed. `None` if the records are too long or of an
/// earlier era than the read.
async fn changes(mut mirror: watch::Receiver<Mirror>, read: StreamRead) -> Option<StreamChanges> {
    let StreamRead { from, wait, .. } = read;
    let requested_at = BootClock.now();
    let record = mirror.wait_for(|mirror| mirror.has_changes(from));
    // Without a record in time, the answer confirms that there is none.
    let _none = timeout(wait.min(MAX_WAIT), record).await.is_err();
    mirror.borrow().since(from, requested_at, max_bytes(wait))
}

/// Like [`changes`], for a router of an earlier version, which knows no eras.
async fn earlier_changes(mut mirror: watch::Receiver<Mirror>, read: ReadRange) -> Option<Changes> {
    let ReadRange { from, wait } = read;
    let requested_at = BootClock.now();
    let record = mirror.wait_for(|mirror| mirror.has_offset(from));
    let _none = timeout(wait.min(MAX_WAIT), record).await.is_err();
    let mirror = mirror.borrow();
    mirror.since_offset(from, requested_at, max_bytes(wait))
}

fn max_bytes(wait: Duration) -> usize {
    if wait.is_zero() {
        MAX_ANSWER_BYTES
    } else {
        MAX_FOLLOW_BYTES
    }
}
