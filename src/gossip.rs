//! The task that owns the process's UDP socket and its membership table.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ebonyfall_core::{
    dissemination::{Item, ItemKey, ItemStore, Value},
    exchange::Outgoing,
    member::{ListedVm, Members, MembershipCounters, Observation, RegionLinks},
    membership::MembershipView,
    name::{TargetName, ZoneName},
    peer::{Liveness, MemberRecord, MemberState, Role},
};
use ebonyfall_wire::{
    frame::{WIRE_MAX, WIRE_MIN},
    gossip::{Opener, Sealer},
};
use serde::Serialize;
use sha2::{Digest, Sha256};
use slog::{Logger, debug, info};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

use crate::{
    clock::{self, Clock},
    link::Identity,
    metrics::Metrics,
    view::{View, Views},
};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(200);
/// Messages that may wait for the task.
const QUEUE_LEN: usize = 1_024;
/// Processes of each region that send to other regions: one may be paused and another replaced at
/// the same time.
const RELAYS: usize = 3;
/// Room for a datagram; a longer one is cut and then does not verify.
const BUFFER: usize = 2_048;

/// What a process tells others of itself.
#[derive(Debug, Clone)]
pub struct Local {
    /// The process.
    pub identity: Identity,
    /// What it does.
    pub role: Role,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Addresses that are asked while no other process is known.
    pub seeds: Vec<SocketAddr>,
}

/// State of the task, for the dump.
#[derive(Debug, Default, Serialize)]
pub struct GossipDump {
    /// Other processes by name and state.
    pub members: Vec<(String, MemberState)>,
    /// Items known.
    pub items: usize,
    /// Whether the process has heard of others since it started or was paused.
    pub fresh: bool,
}

#[derive(Debug)]
enum Ask {
    Put(Item),
    Broadcast(Item),
    Observe(TargetName, Observation),
    Vms(Vec<ListedVm>),
    Leave(oneshot::Sender<()>),
    Get(ItemKey, oneshot::Sender<Option<Value>>),
    Items(oneshot::Sender<ItemStore>),
    Peers(oneshot::Sender<Vec<SocketAddr>>),
    Dump(oneshot::Sender<GossipDump>),
}

/// Reaches the task.
#[derive(Debug, Clone)]
pub struct Gossip {
    tx: mpsc::Sender<Ask>,
    standing: watch::Receiver<Arc<MembershipView>>,
}

impl Gossip {
    /// Starts the task on `socket`; it ends when the last handle is dropped.
    pub fn start(
        local: Local,
        socket: UdpSocket,
        views: Views,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let (publish, standing) = watch::channel(Arc::default());
        let Identity {
            name,
            incarnation,
            keys,
        } = local.identity;
        let own = MemberRecord {
            name,
            role: local.role,
            zone: local.zone,
            address: local.address,
            incarnation,
            wire_versions: (WIRE_MIN, WIRE_MAX),
            leaving: false,
            sequence: 0,
            liveness: Liveness::Alive,
        };
        let task = Task {
            members: Members::new(own, local.seeds, RegionLinks::Relays(RELAYS)),
            socket,
            sealer: Sealer::new(keys.clone(), incarnation),
            opener: Opener::new(keys),
            clock: Clock::start(),
            publish,
            metrics,
            log,
        };
        tokio::spawn(task.run(rx, views));
        Self { tx, standing }
    }

    /// Merges an item and passes it on when it is news.
    pub async fn put(&self, item: Item) {
        let _ended = self.tx.send(Ask::Put(item)).await;
    }

    /// Sends an item to the other routers directly.
    pub async fn broadcast(&self, item: Item) {
        let _ended = self.tx.send(Ask::Broadcast(item)).await;
    }

    /// Reports what the data path found out. A report is dropped while the task is behind, since
    /// the request that made it should not wait.
    pub fn observe(&self, target: &TargetName, observation: Observation) {
        let _full = self.tx.try_send(Ask::Observe(target.clone(), observation));
    }

    /// Reports the platform's VM list.
    pub async fn vms(&self, vms: Vec<ListedVm>) {
        let _ended = self.tx.send(Ask::Vms(vms)).await;
    }

    /// Announces that the process ends soon, and returns when that has been sent.
    pub async fn leave(&self) {
        let (reply, sent) = oneshot::channel();
        let _ended = self.tx.send(Ask::Leave(reply)).await;
        let _ended = sent.await;
    }

    /// What is known of `key`.
    pub async fn get(&self, key: ItemKey) -> Option<Value> {
        let (reply, answer) = oneshot::channel();
        self.tx.send(Ask::Get(key, reply)).await.ok()?;
        answer.await.ok()?
    }

    /// Every item known.
    pub async fn items(&self) -> ItemStore {
        let (reply, answer) = oneshot::channel();
        let _ended = self.tx.send(Ask::Items(reply)).await;
        answer.await.unwrap_or_default()
    }

    /// Addresses of processes that are alive, and the seeds.
    pub async fn peers(&self) -> Vec<SocketAddr> {
        let (reply, answer) = oneshot::channel();
        let _ended = self.tx.send(Ask::Peers(reply)).await;
        answer.await.unwrap_or_default()
    }

    /// The task's state.
    pub async fn dump(&self) -> GossipDump {
        let (reply, answer) = oneshot::channel();
        let _ended = self.tx.send(Ask::Dump(reply)).await;
        answer.await.unwrap_or_default()
    }

    /// Which targets to avoid and which routers there are, as it changes.
    pub fn standing(&self) -> watch::Receiver<Arc<MembershipView>> {
        self.standing.clone()
    }
}

struct Task {
    members: Members,
    socket: UdpSocket,
    sealer: Sealer,
    opener: Opener,
    clock: Clock,
    publish: watch::Sender<Arc<MembershipView>>,
    metrics: Metrics,
    log: Logger,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<Ask>, mut views: Views) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buf = [0; BUFFER];
        let mut followed = true;
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    let now = self.clock.now();
                    let out = self.members.tick(now, unix(), &mut rand::random);
                    self.send(out).await;
                    self.announce();
                }
                received = self.socket.recv_from(&mut buf) => {
                    if let Ok((len, _)) = received {
                        self.receive(&buf[..len]).await;
                    }
                }
                ask = rx.recv() => match ask {
                    Some(ask) => self.answer(ask).await,
                    None => return,
                },
                changed = views.changed(), if followed => {
                    followed = changed.is_ok();
                    let view = views.borrow_and_update().clone();
                    if let Some(view) = view {
                        self.learn(&view).await;
                    }
                }
            }
        }
    }

    async fn receive(&mut self, datagram: &[u8]) {
        self.metrics.gossip_received.inc_by(datagram.len() as u64);
        match self.opener.open(datagram) {
            Ok(packet) => {
                let now = self.clock.now();
                let out = self
                    .members
                    .receive(&packet, now, unix(), &mut rand::random);
                self.send(out).await;
            }
            Err(error) => {
                self.metrics.gossip_dropped.inc();
                debug!(self.log, "datagram dropped"; "error" => %error);
            }
        }
    }

    async fn send(&mut self, out: Vec<Outgoing>) {
        for (address, packet) in out {
            match self.sealer.seal(&packet) {
                Ok(datagram) => {
                    self.metrics.gossip_sent.inc_by(datagram.len() as u64);
                    // A datagram that cannot be sent counts as lost, which rounds make good.
                    let _lost = self.socket.send_to(&datagram, address).await;
                }
                Err(error) => debug!(self.log, "packet not sent"; "error" => %error),
            }
        }
    }

    async fn flush(&mut self) {
        let mut out = Vec::new();
        self.members.flush(&mut rand::random, &mut out);
        self.send(out).await;
    }

    async fn answer(&mut self, ask: Ask) {
        match ask {
            Ask::Put(item) => {
                self.members.put(&item, unix());
                self.flush().await;
            }
            Ask::Broadcast(item) => {
                let out = self.members.broadcast(&item, &mut rand::random);
                self.send(out).await;
            }
            Ask::Observe(target, observation) => {
                let now = self.clock.now();
                self.members.observe(&target, observation, now);
            }
            Ask::Vms(vms) => {
                self.members.apply_vm_list(&vms, self.clock.now());
                self.flush().await;
            }
            Ask::Leave(reply) => {
                self.members.begin_leaving();
                self.flush().await;
                let MembershipCounters {
                    packets, suspected, ..
                } = self.members.counters();
                info!(self.log, "leaving announced";
                    "after_ms" => self.clock.now().millis(),
                    "members" => self.members.len(), "packets" => packets,
                    "suspected" => suspected, "sent_bytes" => self.metrics.gossip_sent.get(),
                    "received_bytes" => self.metrics.gossip_received.get());
                let _caller_gone = reply.send(());
            }
            Ask::Get(key, reply) => {
                let _caller_gone = reply.send(self.members.store().get(&key).cloned());
            }
            Ask::Items(reply) => {
                let _caller_gone = reply.send(self.members.store().clone());
            }
            Ask::Peers(reply) => {
                let alive = self
                    .members
                    .records()
                    .filter(|(_, state)| *state == MemberState::Alive);
                let mut peers: Vec<_> = alive.map(|(record, _)| record.address).collect();
                peers.extend(self.members.seeds());
                let _caller_gone = reply.send(peers);
            }
            Ask::Dump(reply) => {
                let records = self.members.records();
                let dump = GossipDump {
                    members: records
                        .map(|(record, state)| (record.name.to_string(), state))
                        .collect(),
                    items: self.members.store().len(),
                    fresh: self.members.is_fresh(),
                };
                let _caller_gone = reply.send(dump);
            }
        }
    }

    async fn learn(&mut self, view: &View) {
        self.members
            .apply_document(&view.document, self.clock.now());
        let item = Item {
            key: ItemKey::Tip,
            value: Value::Tip {
                offset: view.offset,
                digest: digest_prefix(&view.document.text),
            },
        };
        self.members.put(&item, unix());
        self.flush().await;
    }

    fn announce(&self) {
        let standing = self.members.view();
        self.publish.send_if_modified(|old| {
            let changed = **old != standing;
            if changed {
                *old = Arc::new(standing);
            }
            changed
        });
    }
}

/// The first 8 bytes of a document's SHA-256.
pub fn digest_prefix(text: &str) -> u64 {
    let digest: [u8; 32] = Sha256::digest(text.as_bytes()).into();
    digest
        .iter()
        .take(8)
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

fn unix() -> u64 {
    clock::unix_time().as_secs()
}
