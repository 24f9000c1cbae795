//! Reads of the store's streams from other routers, and answers to theirs.
//!
//! The store may turn one router away and serve the others. Such a router reads on from them. An
//! answer says how old its confirmation was when it was given, and counts from the moment at which
//! the question was sent, so that delays on the way never make knowledge look fresher than it is.

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

/// Routers asked before a read is given up.
const ASKED: usize = 2;
/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Routers served at once.
const CONNECTIONS: usize = 16;
/// Longest silence on a connection.
const IDLE: Duration = Duration::from_secs(5);

/// What a router needs to reach others; it is known once the exchange's key is.
#[derive(Debug, Clone)]
pub struct Access {
    /// What the process says of itself.
    pub identity: Identity,
    /// Knows the other routers.
    pub gossip: Gossip,
    /// The process's own address.
    pub own: SocketAddr,
}

/// The streams that routers follow.
#[derive(Debug, Clone)]
pub struct Mirrors {
    /// What operators ask for.
    pub orders: watch::Receiver<Mirror>,
    /// What targets say of themselves.
    pub targets: watch::Receiver<Mirror>,
}

/// Records that another router knows.
#[derive(Debug)]
pub struct Read {
    /// Whether these are all records, so that keys without one have been dropped.
    pub whole: bool,
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// Offset after the last one.
    pub next: Offset,
    /// When there was nothing beyond, where the other router knows.
    pub confirmed: Option<Time>,
}

/// Reads one stream from other routers.
#[derive(Debug)]
pub struct Neighbours {
    stream: Stream,
    access: watch::Receiver<Option<Access>>,
    link: Option<Link>,
    meters: EntryMetrics,
    log: Logger,
}

impl Neighbours {
    /// Starts without a connection.
    pub fn new(
        stream: Stream,
        access: watch::Receiver<Option<Access>>,
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

    /// Records from `from` on, as another router knows them; `None` when none answers.
    pub async fn read(&mut self, from: Offset) -> Option<Read> {
        let read = self.read_any(from).await;
        let stream = match self.stream {
            Stream::Orders => "orders",
            Stream::Targets => "targets",
        };
        self.meters.count_peer_read(stream, read.is_some());
        read
    }

    async fn read_any(&mut self, from: Offset) -> Option<Read> {
        let access = self.access.borrow().clone()?;
        let since = ChangesRequest {
            stream: self.stream,
            from,
        };
        let known = self.link.take();
        let mut peers = access.gossip.peer_addresses().await;
        peers.retain(|peer| *peer != access.own);
        peers.shuffle(&mut rand::rng());
        if let Some(link) = known
            && let Some(read) = self.ask(link, since).await
        {
            return Some(read);
        }
        for peer in peers.into_iter().take(ASKED) {
            match timeout(TIMEOUT, Link::dial(&access.identity, peer)).await {
                Ok(Ok(link)) => {
                    info!(self.log, "reading from another router"; "event" => "peer_read",
                        "stream" => ?self.stream, "peer" => %link.peer().name);
                    if let Some(read) = self.ask(link, since).await {
                        return Some(read);
                    }
                }
                Ok(Err(error)) => debug!(self.log, "router not reached"; "peer" => %peer,
                    "error" => %error),
                Err(_late) => debug!(self.log, "router not reached in time"; "peer" => %peer),
            }
        }
        None
    }

    /// Asks on a connection, and keeps it if it is answered.
    async fn ask(&mut self, mut link: Link, since: ChangesRequest) -> Option<Read> {
        let asked = BootClock.now();
        let answer = async {
            link.send(&since).await?;
            link.receive::<Option<Changes>>().await
        };
        let changes = match timeout(TIMEOUT, answer).await {
            Ok(Ok(changes)) => changes?,
            Ok(Err(error)) => {
                debug!(self.log, "router did not answer"; "error" => %error);
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
        Some(Read {
            whole: changes.is_complete,
            records: records.collect(),
            next: changes.next.max(since.from),
            confirmed: changes.age.map(|age| asked.before(age)),
        })
    }
}

/// Answers other routers until the process ends.
pub async fn serve(access: Access, mirrors: Mirrors, log: Logger) {
    let listener = match web::bind(access.own).await {
        Ok(listener) => listener,
        Err(error) => {
            warn!(log, "other routers cannot read from this one"; "event" => "exchange_socket",
                "address" => access.own, "error" => %error);
            return;
        }
    };
    let free = Arc::new(Semaphore::new(CONNECTIONS));
    let socket = log.new(o!("event" => "exchange_socket"));
    loop {
        let (stream, _) = web::accept(&listener, &socket).await;
        // Beyond the limit the connection is closed, and the other router asks elsewhere.
        let Ok(permit) = Arc::clone(&free).try_acquire_owned() else {
            continue;
        };
        let (identity, mirrors, log) = (access.identity.clone(), mirrors.clone(), log.clone());
        tokio::spawn(async move {
            if let Err(error) = answer(&identity, stream, &mirrors).await {
                debug!(log, "router's connection ended"; "error" => %error);
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
    while let Ok(since) = timeout(IDLE, link.receive::<ChangesRequest>()).await {
        let ChangesRequest { stream, from } = since?;
        let mirror = match stream {
            Stream::Orders => &mirrors.orders,
            Stream::Targets => &mirrors.targets,
        };
        let changes = mirror.borrow().since(from, BootClock.now());
        link.send(&changes).await?;
    }
    Ok(())
}
