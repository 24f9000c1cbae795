//! Task that owns the process's UDP socket and its membership table.

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
    ask::ask,
    clock::{self, Clock},
    link::Identity,
    metrics::Metrics,
    supervisor::{Supervisor, TaskName},
    view::{View, Views},
};

/// Interval at which due probes, rounds and timeouts are handled.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Capacity of the task's command channel.
const QUEUE_LEN: usize = 1_024;
/// Processes of each region that exchange with other regions. With three, one is left when one is
/// paused while another is being replaced.
const REGION_RELAYS: usize = 3;
/// Size of the receive buffer; a longer datagram is truncated and then fails authentication.
const DATAGRAM_BUFFER_BYTES: usize = 2_048;

/// Data that a process announces about itself, and the seeds that it starts from.
#[derive(Debug, Clone)]
pub struct LocalProcess {
    /// Name, incarnation and keys.
    pub identity: Identity,
    /// Role that other processes see.
    pub role: Role,
    /// Availability zone of this process, from its settings.
    pub zone: ZoneName,
    /// Address at which this process receives gossip datagrams.
    pub address: SocketAddr,
    /// Addresses that are contacted until another process has been heard from, and in some of the
    /// later rounds.
    pub seeds: Vec<SocketAddr>,
}

/// State of the gossip task in the admin dump.
#[derive(Debug, Default, Serialize)]
pub struct GossipDump {
    /// Names and states of the other processes.
    pub members: Vec<(String, MemberState)>,
    /// Number of disseminated items in the store.
    pub items: usize,
    /// Whether the process has received gossip since its start or its last pause; true also while
    /// no other process is known.
    pub fresh: bool,
}

#[derive(Debug)]
enum Command {
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

/// Handle of the gossip task.
#[derive(Debug, Clone)]
pub struct Gossip {
    tx: mpsc::Sender<Command>,
    membership: watch::Receiver<Arc<MembershipView>>,
    urgent: watch::Receiver<u64>,
}

impl Gossip {
    /// Starts the task on `socket`, which ends when the last handle is dropped.
    pub fn start(
        local: LocalProcess,
        socket: UdpSocket,
        views: Views,
        metrics: Metrics,
        supervisor: &Supervisor,
        log: Logger,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let (publish, membership) = watch::channel(Arc::default());
        let (urgent_tx, urgent) = watch::channel(0);
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
            members: Members::new(own, local.seeds, RegionLinks::Relays(REGION_RELAYS)),
            socket,
            sealer: Sealer::new(keys.clone(), incarnation),
            opener: Opener::new(keys),
            clock: Clock::start(),
            publish,
            urgent: urgent_tx,
            metrics,
            log,
        };
        supervisor.spawn(TaskName::Gossip, task.run(rx, views));
        Self {
            tx,
            membership,
            urgent,
        }
    }

    /// Merges an item into the store and disseminates it if it is new.
    pub async fn put(&self, item: Item) {
        let _ended = self.tx.send(Command::Put(item)).await;
    }

    /// Sends an item to other routers directly, without waiting for a gossip round.
    pub async fn broadcast(&self, item: Item) {
        let _ended = self.tx.send(Command::Broadcast(item)).await;
    }

    /// Reports what a request observed of a target. The report is dropped when the command channel
    /// is full, so that requests never wait.
    pub fn observe(&self, target: &TargetName, observation: Observation) {
        let _full = self
            .tx
            .try_send(Command::Observe(target.clone(), observation));
    }

    /// Reports the platform's VM list.
    pub async fn report_vms(&self, vms: Vec<ListedVm>) {
        let _ended = self.tx.send(Command::Vms(vms)).await;
    }

    /// Announces that the process is leaving, and returns once the announcement has been sent.
    pub async fn leave(&self) {
        ask(&self.tx, Command::Leave).await;
    }

    /// Returns the stored value of `key`.
    pub async fn get(&self, key: ItemKey) -> Option<Value> {
        let (reply, answer) = oneshot::channel();
        self.tx.send(Command::Get(key, reply)).await.ok()?;
        answer.await.ok()?
    }

    /// Returns a copy of the item store.
    pub async fn items(&self) -> ItemStore {
        ask(&self.tx, Command::Items).await.unwrap_or_default()
    }

    /// Returns the addresses of live processes, and the seeds.
    pub async fn peer_addresses(&self) -> Vec<SocketAddr> {
        ask(&self.tx, Command::Peers).await.unwrap_or_default()
    }

    /// Returns the task's state for the admin dump.
    pub async fn dump(&self) -> GossipDump {
        ask(&self.tx, Command::Dump).await.unwrap_or_default()
    }

    /// Returns a receiver that changes when urgent items have arrived from other processes.
    pub fn urgent_changes(&self) -> watch::Receiver<u64> {
        self.urgent.clone()
    }

    /// Returns a receiver of the targets to avoid and the live routers.
    pub fn membership(&self) -> watch::Receiver<Arc<MembershipView>> {
        self.membership.clone()
    }
}

struct Task {
    members: Members,
    socket: UdpSocket,
    sealer: Sealer,
    opener: Opener,
    clock: Clock,
    publish: watch::Sender<Arc<MembershipView>>,
    urgent: watch::Sender<u64>,
    metrics: Metrics,
    log: Logger,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<Command>, mut views: Views) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buf = [0; DATAGRAM_BUFFER_BYTES];
        let mut views_open = true;
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    let now = self.clock.now();
                    let out = self.members.tick(now, unix_seconds(), &mut rand::random);
                    self.send(out).await;
                    self.publish_membership();
                }
                received = self.socket.recv_from(&mut buf) => {
                    if let Ok((len, _)) = received {
                        self.receive(&buf[..len]).await;
                    }
                }
                command = rx.recv() => match command {
                    Some(command) => self.on_command(command).await,
                    None => return,
                },
                changed = views.changed(), if views_open => {
                    views_open = changed.is_ok();
                    let view = views.borrow_and_update().clone();
                    if let Some(view) = view {
                        self.apply_view(&view).await;
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
                    .receive(&packet, now, unix_seconds(), &mut rand::random);
                self.send(out).await;
                self.publish_urgent_changes();
            }
            Err(error) => {
                self.metrics.gossip_dropped.inc();
                debug!(self.log, "received datagram failed authentication or decoding; dropped";
                    "error" => %error);
            }
        }
    }

    async fn send(&mut self, out: Vec<Outgoing>) {
        for (address, packet) in out {
            match self.sealer.seal(&packet) {
                Ok(datagram) => {
                    self.metrics.gossip_sent.inc_by(datagram.len() as u64);
                    // A datagram that cannot be sent counts as lost; later gossip rounds repair it.
                    let _lost = self.socket.send_to(&datagram, address).await;
                }
                Err(error) => {
                    debug!(self.log, "cannot encode a gossip packet; not sent"; "error" => %error);
                }
            }
        }
    }

    async fn flush(&mut self) {
        let mut out = Vec::new();
        self.members.flush(&mut rand::random, &mut out);
        self.send(out).await;
    }

    async fn on_command(&mut self, command: Command) {
        match command {
            Command::Put(item) => {
                self.members.put(&item, unix_seconds());
                self.flush().await;
            }
            Command::Broadcast(item) => {
                let out = self.members.broadcast(&item, &mut rand::random);
                self.send(out).await;
            }
            Command::Observe(target, observation) => {
                let now = self.clock.now();
                self.members.observe(&target, observation, now);
            }
            Command::Vms(vms) => {
                self.members.apply_vm_list(&vms, self.clock.now());
                self.flush().await;
            }
            Command::Leave(reply) => {
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
            Command::Get(key, reply) => {
                let _caller_gone = reply.send(self.members.store().get(&key).cloned());
            }
            Command::Items(reply) => {
                let _caller_gone = reply.send(self.members.store().clone());
            }
            Command::Peers(reply) => {
                let alive = self
                    .members
                    .records()
                    .filter(|(_, state)| *state == MemberState::Alive);
                let mut peers: Vec<_> = alive.map(|(record, _)| record.address).collect();
                peers.extend(self.members.seeds());
                let _caller_gone = reply.send(peers);
            }
            Command::Dump(reply) => {
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

    async fn apply_view(&mut self, view: &View) {
        self.members
            .apply_document(&view.document, self.clock.now());
        let item = Item {
            key: ItemKey::Tip,
            value: Value::Tip {
                offset: view.offset,
                digest: digest_prefix(&view.document.text),
            },
        };
        self.members.put(&item, unix_seconds());
        self.flush().await;
    }

    fn publish_urgent_changes(&self) {
        let count = self.members.counters().urgent;
        self.urgent.send_if_modified(|known| {
            let is_new = *known != count;
            *known = count;
            is_new
        });
    }

    fn publish_membership(&self) {
        let membership = self.members.view();
        self.publish.send_if_modified(|old| {
            let changed = **old != membership;
            if changed {
                *old = Arc::new(membership);
            }
            changed
        });
    }
}

/// Returns the first 8 bytes of a document's SHA-256 digest, in big-endian order.
pub fn digest_prefix(text: &str) -> u64 {
    let digest: [u8; 32] = Sha256::digest(text.as_bytes()).into();
    digest
        .iter()
        .take(8)
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

fn unix_seconds() -> u64 {
    clock::unix_time().as_secs()
}
