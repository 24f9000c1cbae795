//! Answers of a router to reads of other routers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use ebonyfall::{
    callers::CallerMetrics,
    gossip::{Gossip, LocalProcess},
    link::{Identity, Link},
    memory::MemoryBudget,
    metrics::Metrics,
    mirror::Mirror,
    neighbours::{self, Mirrors, PeerAccess, PeerService},
    supervisor::Supervisor,
};
use ebonyfall_core::{
    id::{Era, Offset, Position},
    peer::Role,
};
use ebonyfall_platform::store::KeyedRecord;
use ebonyfall_standin::deploy::free_address;
use ebonyfall_wire::{
    auth::{Key, Keys},
    mirror::{Stream, StreamChanges, StreamRead},
    usage::RouterRequest,
};
use slog::{Discard, Logger, o};
use tokio::{
    net::UdpSocket,
    sync::watch,
    time::{Instant, sleep},
};

/// Time within which the router serves others.
const START_TIMEOUT: Duration = Duration::from_secs(5);

fn identity(name: &str) -> Identity {
    Identity {
        name: name.parse().expect("a name"),
        incarnation: 1.into(),
        keys: Keys::new(Key::new([7; 16]), None),
    }
}

/// Starts a router with this memory whose copy of the orders has one record of `bytes` bytes.
async fn start(memory: MemoryBudget, bytes: usize) -> SocketAddr {
    let address = free_address();
    let log = Logger::root(Discard, o!());
    let metrics = Metrics::new();
    let identity = identity("e-0");
    let local = LocalProcess {
        identity: identity.clone(),
        role: Role::Router,
        zone: "z".parse().expect("a name"),
        address,
        seeds: Vec::new(),
    };
    let socket = UdpSocket::bind(address).await.expect("the port is free");
    let (_, views) = watch::channel(None);
    let (_, signal) = watch::channel(false);
    let supervisor = Supervisor::new(signal, metrics.ended_tasks.clone(), log.clone());
    let gossip = Gossip::start(local, socket, views, metrics, &supervisor, log.clone());
    let access = PeerAccess {
        identity,
        gossip,
        own_address: address,
    };
    let mut orders = Mirror::default();
    let record = KeyedRecord {
        key: "config".to_owned(),
        value: Some(Bytes::from(vec![1; bytes])),
        offset: Offset::from(0),
    };
    let end = Position {
        era: Era::from(0),
        offset: Offset::from(1),
    };
    orders.reset(&[record], end);
    let service = PeerService {
        mirrors: Mirrors {
            orders: watch::channel(orders).1,
            targets: watch::channel(Mirror::default()).1,
        },
        usage: None,
        memory,
    };
    tokio::spawn(neighbours::serve(access, service, log));
    address
}

/// Reads the orders of a router; `None` if it does not answer with records.
async fn read(address: SocketAddr) -> Option<StreamChanges> {
    let start = Instant::now();
    let mut link = loop {
        match Link::dial(&identity("e-1"), address).await {
            Ok(link) => break link,
            Err(error) => assert!(start.elapsed() < START_TIMEOUT, "{error}"),
        }
        sleep(Duration::from_millis(20)).await;
    };
    let read = StreamRead {
        stream: Stream::Orders,
        from: Position::default(),
        wait: Duration::ZERO,
    };
    let sent = link.send(&RouterRequest::Stream(read)).await;
    sent.expect("the router reads");
    link.receive().await.expect("the router answers")
}

/// Guards against routers that read long lists from one router together, until it is out of memory, and
/// against short answers that wait for memory.
#[tokio::test]
async fn long_answers_to_routers_share_the_memory() {
    let memory = || MemoryBudget::new(4 << 20, CallerMetrics::default());
    let answers = memory().parts().answers;
    assert!((400_000..1_000_000).contains(&answers), "{answers}");
    let long = read(start(memory(), 600_000).await).await;
    assert_eq!(long, None);
    for (memory, bytes) in [
        (memory(), 200_000),
        (memory(), 1_000),
        (MemoryBudget::default(), 600_000),
    ] {
        let changes = read(start(memory, bytes).await).await;
        let changes = changes.expect("the answer has the records");
        assert_eq!(changes.changes.records.len(), 1, "{bytes}");
    }
}
