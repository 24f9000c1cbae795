//! Reads the store's streams through other routers, and serves such reads to them.
//!
//! The store may be unreachable from one router while it serves the others. That router then reads
//! the store's records from the other routers. An answer contains the age of its last confirmation.
//! The reader subtracts that age from the time at which it sent the request, so that network delays
//! never make the records look more recent than they are.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ebonyfall_core::{id::Offset, time::Time};
use ebonyfall_platform::store::KeyedRecord;
use ebonyfall_wire::mirror::{Changes, ChangesRequest, Stream};
use rand::seq::SliceRandom;
use slog::{Logger, debug, info, o, warn};
use tokio::{
    net::TcpStream,
    sync::{Semaphore, watch},
    time::timeout,
};

use crate::{
    clock::BootClock,
    gossip::Gossip,
    link::{Identity, Link, LinkError},
    meters::EntryMetrics,
    mirror::Mirror,
    web,
};

/// Maximum number of routers that are tried for one read.
const MAX_PEERS_TRIED: usize = 2;
/// Timeout for connecting to a router, and for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of connections from other routers.
const MAX_CONNECTIONS: usize = 16;
/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

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

/// Records read from another router.
#[derive(Debug)]
pub struct PeerRead {
    /// Whether `records` has all current records. Keys that are missing from it have been deleted.
    pub is_complete: bool,
    /// Records in the order of their offsets. A record without a value marks a deleted key.
    pub records: Vec<KeyedRecord>,
    /// Offset at which the next read starts.
    pub next: Offset,
    /// Time at which the other router's copy was known to be up to date; `None` if it never was.
    pub confirmed: Option<Time>,
}

/// Client that reads one stream from other routers, with one connection at a time.
#[derive(Debug)]
pub struct PeerReader {
    stream: Stream,
    access: watch::Receiver<Option<PeerAccess>>,
    link: Option<Link>,
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

    /// Reads the records from offset `from` on. `None` if no router answered.
    pub async fn read(&mut self, from: Offset) -> Option<PeerRead> {
        let read = self.read_from_any(from).await;
        let stream = match self.stream {
            Stream::Orders => "orders",
            Stream::Targets => "targets",
        };
        self.meters.count_peer_read(stream, read.is_some());
        read
    }

    async fn read_from_any(&mut self, from: Offset) -> Option<PeerRead> {
        let access = self.access.borrow().clone()?;
        let request = ChangesRequest {
            stream: self.stream,
            from,
        };
        let last_link = self.link.take();
        let mut peers = access.gossip.peer_addresses().await;
        peers.retain(|peer| *peer != access.own_address);
        peers.shuffle(&mut rand::rng());
        if let Some(link) = last_link
            && let Some(read) = self.request(link, request).await
        {
            return Some(read);
        }
        for peer in peers.into_iter().take(MAX_PEERS_TRIED) {
            match timeout(ANSWER_TIMEOUT, Link::dial(&access.identity, peer)).await {
                Ok(Ok(link)) => {
                    info!(self.log, "reading the store's records from another router";
                        "event" => "peer_read",
                        "stream" => ?self.stream, "peer" => %link.peer().name);
                    if let Some(read) = self.request(link, request).await {
                        return Some(read);
                    }
                }
                Ok(Err(error)) => debug!(self.log, "cannot connect to router"; "peer" => %peer,
                    "error" => %error),
                Err(_late) => debug!(self.log, "connecting to router timed out"; "peer" => %peer),
            }
        }
        None
    }

    /// Sends a request on `link`, and keeps the connection if the router answers.
    async fn request(&mut self, mut link: Link, request: ChangesRequest) -> Option<PeerRead> {
        let requested_at = BootClock.now();
        let answer = async {
            link.send(&request).await?;
            link.receive::<Option<Changes>>().await
        };
        let changes = match timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Ok(changes)) => changes?,
            Ok(Err(error)) => {
                debug!(self.log, "router did not answer a read of the store's records";
                    "error" => %error);
                return None;
            }
            Err(_late) => return None,
        };
        self.link = Some(link);
        let records = changes.records.into_iter().map(|record| KeyedRecord {
            key: record.key,
            value: record.value,
            offset: record.offset,
        });
        Some(PeerRead {
            is_complete: changes.is_complete,
            records: records.collect(),
            next: changes.next.max(request.from),
            confirmed: changes.age.map(|age| requested_at.before(age)),
        })
    }
}

/// Serves reads of other routers until the process ends.
pub async fn serve(access: PeerAccess, mirrors: Mirrors, log: Logger) {
    let listener = match web::bind(access.own_address).await {
        Ok(listener) => listener,
        Err(error) => {
            warn!(log, "cannot listen for reads from other routers"; "event" => "exchange_socket",
                "address" => access.own_address, "error" => %error);
            return;
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
        let (identity, mirrors, log) = (access.identity.clone(), mirrors.clone(), log.clone());
        tokio::spawn(async move {
            if let Err(error) = answer(&identity, stream, &mirrors).await {
                debug!(log, "connection from another router failed; closed"; "error" => %error);
            }
            drop(permit);
        });
    }
}

async fn answer(
    identity: &Identity,
    stream: TcpStream,
    mirrors: &Mirrors,
) -> Result<(), LinkError> {
    let mut link = Link::accept(identity, stream).await?;
    while let Ok(request) = timeout(IDLE_TIMEOUT, link.receive::<ChangesRequest>()).await {
        let ChangesRequest { stream, from } = request?;
        let mirror = match stream {
            Stream::Orders => &mirrors.orders,
            Stream::Targets => &mirrors.targets,
        };
        let changes = mirror.borrow().since(from, BootClock.now());
        link.send(&changes).await?;
    }
    Ok(())
}
