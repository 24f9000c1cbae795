//! The task that owns placement, the zones' ramps and the loads learnt from answers.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use ebonyfall_core::{
    choose::{Pick, Placement, PoolTarget, Reason},
    code::Code,
    doc::{Workload, ZoneState},
    id::ChatId,
    load::PoolLoad,
    member::Observation,
    name::{TargetName, VersionName},
    peer::MemberState as Liveness,
    place::{Candidate, Table},
    standing::MembershipView,
    zone::Zones,
};
use ebonyfall_wire::frame::Load;
use serde::Serialize;
use tokio::{
    runtime::Handle,
    sync::{mpsc, oneshot, watch},
    task::spawn_blocking,
};

use crate::{
    clock::Clock,
    gossip::Gossip,
    view::{Pool, View, Views},
};

/// Messages that may wait for the task.
const QUEUE_LEN: usize = 4096;

/// Attempts of a request that are subject to the agents' load bound.
const BOUNDED_ATTEMPTS: usize = 2;

/// The target chosen for an attempt. The attempt counts as running until every copy of this is
/// dropped.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The target.
    pub target: TargetName,
    /// Where its agent listens.
    pub agent: SocketAddr,
    /// The version that it runs, for engines.
    pub version: Option<VersionName>,
    /// Whether the agent applies its load bound.
    pub bounded: bool,
    /// Whether a pointer of the target's agent can be followed.
    pub follow: bool,
    /// The target that comes next for the chat.
    pub second: Option<TargetName>,
    _running: Arc<Running>,
}

/// Reports the end of an attempt, also when its caller went away.
#[derive(Debug)]
struct Running {
    tx: mpsc::Sender<Ask>,
    pool: Pool,
    target: TargetName,
}

impl Drop for Running {
    fn drop(&mut self) {
        let ask = Ask::Ended {
            pool: self.pool.clone(),
            target: self.target.clone(),
        };
        // Dropping cannot wait, so that a full queue is left to a task of its own.
        if let Err(mpsc::error::TrySendError::Full(ask)) = self.tx.try_send(ask)
            && let Ok(runtime) = Handle::try_current()
        {
            let tx = self.tx.clone();
            runtime.spawn(async move {
                let _ended = tx.send(ask).await;
            });
        }
    }
}

/// State of the task, for the dump.
#[derive(Debug, Default, Serialize)]
pub struct PickerDump {
    /// Offset of the configuration in force.
    pub configuration: u64,
    /// Requests by target, as far as this router can tell.
    pub requests: BTreeMap<String, u32>,
    /// Share of its work that each zone takes.
    pub zones: BTreeMap<String, f64>,
    /// Pointers to moved chats.
    pub pointers: usize,
}

#[derive(Debug)]
enum Ask {
    Choose {
        pool: Pool,
        chat: ChatId,
        first: bool,
        tried: Vec<TargetName>,
        reply: oneshot::Sender<Result<Choice, Code>>,
    },
    Ended {
        pool: Pool,
        target: TargetName,
    },
    Heard {
        target: TargetName,
        load: Load,
    },
    HeardPool {
        pool: Pool,
        load: PoolLoad,
    },
    Hint {
        pool: Pool,
        chat: ChatId,
        target: TargetName,
    },
    Served {
        pool: Pool,
        chat: ChatId,
        target: TargetName,
        reply: oneshot::Sender<Vec<SocketAddr>>,
    },
    Built {
        pool: Pool,
        table: Box<Table>,
    },
    Dump {
        reply: oneshot::Sender<PickerDump>,
    },
}

/// Chooses targets.
#[derive(Debug, Clone)]
pub struct Picker {
    tx: mpsc::Sender<Ask>,
    gossip: Gossip,
}

impl Picker {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start(views: Views, clock: Clock, gossip: Gossip) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let state = State {
            views,
            view: None,
            zones: Zones::default(),
            membership: gossip.membership(),
            pools: HashMap::new(),
            building: HashSet::new(),
            clock,
            // The task must not keep its own queue open.
            tx: tx.downgrade(),
        };
        tokio::spawn(run(state, rx));
        Self { tx, gossip }
    }

    /// Chooses a target of `pool` for `chat`, whose `first` request this may be, that is not among
    /// `tried`.
    ///
    /// # Errors
    ///
    /// Fails with the code that the caller gets.
    pub async fn choose(
        &self,
        pool: Pool,
        chat: ChatId,
        first: bool,
        tried: Vec<TargetName>,
    ) -> Result<Choice, Code> {
        let (reply, answer) = oneshot::channel();
        let ask = Ask::Choose {
            pool,
            chat,
            first,
            tried,
            reply,
        };
        self.tx
            .send(ask)
            .await
            .map_err(|_ended| Code::ShuttingDown)?;
        answer.await.map_err(|_ended| Code::ShuttingDown)?
    }

    /// Reports the load that came with an answer.
    pub async fn heard(&self, target: TargetName, load: Load) {
        self.gossip.observe(&target, Observation::Answered);
        let _ended = self.tx.send(Ask::Heard { target, load }).await;
    }

    /// Reports that a connection to the target's agent failed.
    pub fn link_failed(&self, target: &TargetName) {
        self.gossip.observe(target, Observation::ConnectionFailed);
    }

    /// Reports the sums over a pool that came by gossip.
    pub async fn heard_pool(&self, pool: Pool, load: PoolLoad) {
        let _ended = self.tx.send(Ask::HeardPool { pool, load }).await;
    }

    /// Reports an agent's hint that `target` is the one to try next for `chat`.
    pub async fn hint(&self, pool: Pool, chat: ChatId, target: TargetName) {
        let _ended = self.tx.send(Ask::Hint { pool, chat, target }).await;
    }

    /// Reports that `target` serves `chat`; returns the agents that have to be told.
    pub async fn served(&self, pool: Pool, chat: ChatId, target: TargetName) -> Vec<SocketAddr> {
        let (reply, answer) = oneshot::channel();
        let ask = Ask::Served {
            pool,
            chat,
            target,
            reply,
        };
        let _ended = self.tx.send(ask).await;
        answer.await.unwrap_or_default()
    }

    /// The task's state.
    pub async fn dump(&self) -> PickerDump {
        let (reply, answer) = oneshot::channel();
        let _ended = self.tx.send(Ask::Dump { reply }).await;
        answer.await.unwrap_or_default()
    }
}

struct State {
    views: Views,
    view: Option<Arc<View>>,
    zones: Zones,
    membership: watch::Receiver<Arc<MembershipView>>,
    pools: HashMap<Pool, Placement>,
    /// Pools whose table is being built by another thread.
    building: HashSet<Pool>,
    clock: Clock,
    tx: mpsc::WeakSender<Ask>,
}

async fn run(mut state: State, mut rx: mpsc::Receiver<Ask>) {
    loop {
        // A new view is taken at once and not with the next request, so that a zone's ramp starts
        // when the document comes into force.
        let ask = tokio::select! {
            ask = rx.recv() => ask,
            Ok(()) = state.views.changed() => {
                state.refresh();
                continue;
            }
            Ok(()) = state.membership.changed() => {
                state.refresh();
                continue;
            }
        };
        let Some(ask) = ask else { return };
        if state.view.is_none() || state.views.has_changed().unwrap_or(false) {
            state.refresh();
        }
        state.handle(ask);
    }
}

impl State {
    fn handle(&mut self, ask: Ask) {
        let now = self.clock.now();
        match ask {
            Ask::Choose {
                pool,
                chat,
                first,
                tried,
                reply,
            } => {
                let _caller_gone = reply.send(self.choose(pool, chat, first, &tried));
            }
            Ask::Ended { pool, target } => {
                if let Some(placement) = self.pools.get_mut(&pool) {
                    placement.record_end(&target, now);
                }
            }
            Ask::Heard { target, load } => {
                let requests = load.running + load.waiting;
                for placement in self.pools.values_mut() {
                    placement.record_load(&target, requests, load.limit, now);
                }
            }
            Ask::HeardPool { pool, load } => {
                if let Some(placement) = self.pools.get_mut(&pool) {
                    placement.record_pool_load(load, now);
                }
            }
            Ask::Hint { pool, chat, target } => {
                if let Some(placement) = self.pools.get_mut(&pool) {
                    placement.record_hint(chat, &target, now);
                }
            }
            Ask::Served {
                pool,
                chat,
                target,
                reply,
            } => {
                let _caller_gone = reply.send(self.served(&pool, chat, &target));
            }
            Ask::Built { pool, table } => {
                self.building.remove(&pool);
                if let (Some(view), true) = (self.view.clone(), self.pools.contains_key(&pool)) {
                    let members = self.members(&view, &pool);
                    let multiple = view.document.limits.load_multiple;
                    if let Some(placement) = self.pools.get_mut(&pool) {
                        placement.install_table(*table, &members, multiple, &self.zones, now);
                    }
                }
            }
            Ask::Dump { reply } => {
                let _caller_gone = reply.send(self.dump());
            }
        }
    }

    /// Takes the newest view and what membership says of the targets.
    fn refresh(&mut self) {
        self.view.clone_from(&self.views.borrow_and_update());
        let Some(view) = self.view.clone() else {
            return;
        };
        let now = self.clock.now();
        let membership = self.membership.borrow_and_update().clone();
        let document = &view.document;
        let ramp = document.limits.zone_ramp;
        self.zones.retain(|zone| document.zones.contains_key(zone));
        for (name, zone) in &document.zones {
            let mut targets = document.targets.iter().filter(|(_, t)| t.zone == *name);
            // The restart of a zone's only target is not the end of the zone.
            let left = targets.clone().count() > 1
                && targets
                    .all(|(target, _)| membership.avoid.get(target) == Some(&Liveness::Leaving));
            let state = if left { ZoneState::Out } else { zone.state };
            self.zones.set(name, state, ramp, now);
        }
        let pools = view.pools();
        self.pools.retain(|pool, _| pools.contains(pool));
        for pool in pools {
            let members = self.members(&view, &pool);
            let multiple = document.limits.load_multiple;
            let placement = self
                .pools
                .entry(pool.clone())
                .or_insert_with(|| Placement::new(multiple));
            if let Some(build) = placement.prepare_build(&members, &self.zones, now) {
                if let (true, Some(tx)) = (self.building.insert(pool.clone()), self.tx.upgrade()) {
                    spawn_blocking(move || {
                        let table = Box::new(build.run());
                        let _ended = tx.blocking_send(Ask::Built { pool, table });
                    });
                }
                continue;
            }
            placement.set_targets(&members, multiple, &self.zones, now);
        }
    }

    /// The targets of a pool. Those in the best state get new work. When all of them seem to be
    /// gone or leaving, they get it all the same: this process may be the one that is cut off, or
    /// not have heard of a restart, and an agent that is leaving refuses by itself.
    fn members(&self, view: &View, pool: &Pool) -> Vec<PoolTarget> {
        let membership = self.membership.borrow();
        let rank = |name: &TargetName| match membership.avoid.get(name) {
            None | Some(Liveness::Alive) => 0,
            Some(Liveness::Suspect | Liveness::Gone) => 1,
            Some(Liveness::Leaving) => 2,
        };
        let targets = view.document.targets.iter();
        let targets: Vec<_> = targets
            .filter(|(_, target)| pool.contains(&target.workload))
            .map(|(name, target)| (name, target, rank(name)))
            .collect();
        let best = targets.iter().map(|(_, _, rank)| *rank).min();
        targets
            .into_iter()
            .map(|(name, target, rank)| PoolTarget {
                candidate: Candidate {
                    name: name.clone(),
                    zone: target.zone.clone(),
                    weight: f64::from(target.slots),
                },
                serving: Some(rank) == best,
            })
            .collect()
    }

    fn choose(
        &mut self,
        pool: Pool,
        chat: ChatId,
        first: bool,
        tried: &[TargetName],
    ) -> Result<Choice, Code> {
        let now = self.clock.now();
        let none = if tried.is_empty() {
            Code::NoTarget
        } else {
            Code::Overloaded
        };
        let (Some(view), Some(placement)) = (&self.view, self.pools.get_mut(&pool)) else {
            return Err(none);
        };
        let tx = self.tx.upgrade().ok_or(Code::ShuttingDown)?;
        let pick = placement.choose(chat, first, tried, &self.zones, now);
        let Pick {
            target: name,
            reason,
            second,
            ..
        } = pick.ok_or(none)?;
        let target = &view.document.targets[&name];
        let version = match &target.workload {
            Workload::Engine { version, .. } => Some(version.clone()),
            Workload::Service(_) => None,
        };
        Ok(Choice {
            agent: target.agent,
            version,
            bounded: tried.len() < BOUNDED_ATTEMPTS,
            follow: reason == Reason::Home && tried.is_empty(),
            second,
            _running: Arc::new(Running {
                tx,
                pool,
                target: name.clone(),
            }),
            target: name,
        })
    }

    fn served(&mut self, pool: &Pool, chat: ChatId, target: &TargetName) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let (Some(view), Some(placement)) = (&self.view, self.pools.get_mut(pool)) else {
            return Vec::new();
        };
        let told = placement.record_served(chat, target, now).into_iter();
        told.filter_map(|name| Some(view.document.targets.get(&name)?.agent))
            .collect()
    }

    fn dump(&self) -> PickerDump {
        let now = self.clock.now();
        let mut dump = PickerDump::default();
        if let Some(view) = &self.view {
            dump.configuration = view.offset.into();
            let zones = view.document.zones.keys();
            dump.zones = zones
                .map(|zone| (zone.to_string(), self.zones.share(zone, now)))
                .collect();
        }
        for placement in self.pools.values() {
            dump.pointers += placement.pointers().len();
            for (_, candidate) in placement.table().targets() {
                let requests = placement.requests(&candidate.name, now);
                dump.requests.insert(candidate.name.to_string(), requests);
            }
        }
        dump
    }
}
