//! Tests of the exchange of usage counts between the tasks of some routers in one process.

use std::{net::SocketAddr, time::Duration};

use ebonyfall::{
    clock::{BootClock, unix_time},
    gossip::{Gossip, LocalProcess},
    link::Identity,
    memory::MemoryBudget,
    metrics::Metrics,
    mirror::Mirror,
    neighbours::{self, Mirrors, PeerAccess, PeerService},
    supervisor::Supervisor,
    usage::counting::UsageCounter,
    view,
};
use ebonyfall_core::{
    name::{ProcessName, TeamName, ZoneName},
    peer::Role,
    usage::window::{WindowId, WindowLength},
};
use ebonyfall_standin::deploy::free_address;
use ebonyfall_wire::auth::{Key, Keys};
use slog::{Discard, Logger, o};
use tokio::{
    net::UdpSocket,
    runtime::{Builder, Runtime},
    sync::watch,
    time::{Instant, sleep, timeout},
};

/// Time within which the routers must know each other, or notice that one has gone.
const MEMBERSHIP: Duration = Duration::from_secs(20);
/// Time within which the router that reports must have what another one has counted: an interval
/// each until the counts are sent and read, with a turn for the other collectors, and some slack.
const EXCHANGE: Duration = Duration::from_millis(1_500);

/// A router, which stops when its runtime is shut down.
struct Node {
    name: ProcessName,
    counter: UsageCounter,
    runtime: Runtime,
}

fn length() -> WindowLength {
    WindowLength::new(Duration::from_secs(5)).unwrap()
}

async fn start_node(
    name: ProcessName,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
) -> UsageCounter {
    let log = Logger::root(Discard, o!());
    let metrics = Metrics::new();
    let identity = Identity {
        name: name.clone(),
        incarnation: view::incarnation(unix_time()),
        keys: Keys::new(Key::new([7; 16]), None),
    };
    let local = LocalProcess {
        identity: identity.clone(),
        role: Role::Router,
        zone: ZoneName::new(format!("z-{name}")).unwrap(),
        address,
        seeds,
    };
    let socket = UdpSocket::bind(address).await.unwrap();
    let (_, views) = watch::channel(None);
    let (_signal, signal) = watch::channel(false);
    let supervisor = Supervisor::new(signal, metrics.ended_tasks.clone(), log.clone());
    let gossip = Gossip::start(
        local,
        socket,
        views,
        metrics.clone(),
        &supervisor,
        log.clone(),
    );
    let access = PeerAccess {
        identity,
        gossip,
        own_address: address,
    };
    let (access_tx, access_rx) = watch::channel(Some(access.clone()));
    let meters = metrics.entry.counting.clone();
    let counter = UsageCounter::start(name, length(), access_rx, meters, &supervisor, log.clone());
    let mirrors = Mirrors {
        orders: watch::channel(Mirror::default()).1,
        targets: watch::channel(Mirror::default()).1,
    };
    let service = PeerService {
        mirrors,
        usage: Some(counter.clone()),
        memory: MemoryBudget::default(),
    };
    tokio::spawn(async move {
        neighbours::serve(access, service, log).await;
        drop(access_tx);
    });
    counter
}

/// Starts routers in zones of their own and returns them by their rank.
async fn start(count: u8) -> Vec<Node> {
    let port = free_address().port();
    let address = |number: u8| SocketAddr::from(([127, 0, 3, number + 1], port));
    let mut nodes = Vec::new();
    for number in 0..count {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build();
        let runtime = runtime.unwrap();
        let name = ProcessName::new(format!("u-{number}")).unwrap();
        let node = start_node(name.clone(), address(number), vec![address(0), address(1)]);
        let counter = runtime.spawn(node).await.unwrap();
        nodes.push(Node {
            name,
            counter,
            runtime,
        });
    }
    let all_known = async {
        while nodes.iter().any(|node| node.counter.rank().is_none()) || !ranks_differ(&nodes) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(MEMBERSHIP, all_known)
        .await
        .expect("the routers know each other");
    nodes.sort_by_key(|node| node.counter.rank());
    nodes
}

fn ranks_differ(nodes: &[Node]) -> bool {
    let mut ranks: Vec<_> = nodes
        .iter()
        .filter_map(|node| node.counter.rank())
        .collect();
    ranks.sort_unstable();
    ranks == (0..nodes.len()).collect::<Vec<_>>()
}

fn team() -> TeamName {
    TeamName::new("desk").unwrap()
}

fn count(node: &Node, requests: usize) {
    for _ in 0..requests {
        node.counter.count(&team(), BootClock.now());
    }
}

/// Requests of the team in this window and the one before.
async fn counted(node: &Node) -> u64 {
    let present = u64::from(length().window_at(node.counter.unix_time()));
    let mut sum = 0;
    for window in [present, present - 1, present - 2] {
        let window = node.counter.window(WindowId::from(window)).await;
        sum += window.counts.get(&team()).copied().unwrap_or(0);
    }
    sum
}

async fn wait_for_count(node: &Node, expected: u64, limit: Duration) {
    let start = Instant::now();
    loop {
        let found = counted(node).await;
        if found == expected {
            return;
        }
        let name = &node.name;
        assert!(start.elapsed() < limit, "{found} of {expected} at {name}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a router that reports without the counts of others because it is no collector
/// itself, and against counts that are lost, or come late, when a collector and a router that counted
/// are killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_reads_all_counts_from_the_collectors() {
    let mut nodes = start(5).await;
    count(&nodes[3], 4);
    for collector in &nodes[..3] {
        wait_for_count(collector, 4, EXCHANGE).await;
    }
    let holder = nodes.pop().unwrap();
    assert_eq!(counted(&holder).await, 0, "it is no collector");
    holder.counter.set_holding(true);
    wait_for_count(&holder, 4, EXCHANGE).await;
    let (changes, revision) = holder.counter.changes_since(0).await;
    assert_eq!(changes.iter().map(|change| change.count).sum::<u64>(), 4);
    count(&nodes[1], 2);
    wait_for_count(&holder, 6, EXCHANGE).await;
    let (changes, _) = holder.counter.changes_since(revision).await;
    assert_eq!(changes.len(), 1, "only what has changed: {changes:?}");
    assert_eq!(changes[0].source.router, nodes[1].name);
    // The router with the counts and the first collector are killed.
    let killed = nodes.remove(3);
    let killed_name = killed.name.clone();
    for killed in [killed, nodes.remove(0)] {
        killed.runtime.shutdown_background();
    }
    count(&nodes[0], 3);
    wait_for_count(&holder, 9, EXCHANGE).await;
    let start = Instant::now();
    while holder.counter.rank() != Some(2) {
        assert!(start.elapsed() < MEMBERSHIP, "the routers notice the loss");
        sleep(Duration::from_millis(50)).await;
    }
    let present = length().window_at(holder.counter.unix_time());
    let missing = holder.counter.window(present).await.missing;
    assert_eq!(
        missing.len(),
        3,
        "live routers have not ended the window: {missing:?}"
    );
    assert!(!missing.contains(&killed_name));
    // Routers without requests state that they are complete, too.
    let complete = async {
        while !holder.counter.window(present).await.missing.is_empty() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    let limit = length().duration() + Duration::from_secs(4);
    timeout(limit, complete)
        .await
        .expect("4 s after its end the window is complete");
    for node in nodes.into_iter().chain([holder]) {
        node.runtime.shutdown_background();
    }
}
