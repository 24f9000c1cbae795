//! The router's task that chooses targets: owns the placement of every pool, the weight ramps of
//! the zones and the loads that answers report.

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
    membership::MembershipView,
    name::{TargetName, VersionName},
    peer::MemberState as Liveness,
    place::{Candidate, Table},
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
    ask::ask,
    clock::Clock,
    gossip::Gossip,
    supervisor::{Supervisor, TaskName},
    view::{Pool, View, Views},
};

/// Capacity of the task's message queue.
const QUEUE_LEN: usize = 4096;

/// Number of attempts of a request to which agents apply their load bound. Later attempts are not
/// subject to the bound.
const BOUNDED_ATTEMPTS: usize = 2;

/// The target chosen for an attempt. The attempt counts as running on that target until every clone
/// is dropped.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Name of the chosen target.
    pub target: TargetName,
    /// Address of the target's agent.
    pub agent: SocketAddr,
    /// Model version that the target runs; `None` for plain services.
    pub version: Option<VersionName>,
    /// Whether the agent applies its load bound to this attempt.
    pub apply_load_bound: bool,
    /// Whether the agent may redirect the request to the target that holds the chat's context.
    pub follow_pointers: bool,
    /// Next target in the chat's order of preference, which the agent may suggest when it refuses.
    pub next_target: Option<TargetName>,
    _running_attempt: Arc<RunningAttempt>,
}

/// Guard that reports the end of an attempt when it is dropped, however the attempt ended.
#[derive(Debug)]
struct RunningAttempt {
    tx: mpsc::Sender<Command>,
    pool: Pool,
    target: TargetName,
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        let command = Command::Ended {
            pool: self.pool.clone(),
            target: self.target.clone(),
        };
        // `drop` cannot wait; if the queue is full, a spawned task sends the message.
        if let Err(mpsc::error::TrySendError::Full(command)) = self.tx.try_send(command)
            && let Ok(runtime) = Handle::try_current()
        {
            let tx = self.tx.clone();
            runtime.spawn(async move {
                let _ended = tx.send(command).await;
            });
        }
    }
}

/// Snapshot of the task's state for the admin interface's dump.
#[derive(Debug, Default, Serialize)]
pub struct PickerDump {
    /// Offset of the configuration in force.
    pub configuration: u64,
    /// Estimated number of requests at each target.
    pub requests: BTreeMap<String, u32>,
    /// Current share of its full weight that each zone gets, from 0 to 1.
    pub zones: BTreeMap<String, f64>,
    /// Number of chats whose context is known to be at another target than their home target.
    pub pointers: usize,
}

#[derive(Debug)]
enum Command {
    Choose {
        pool: Pool,
        chat: ChatId,
        opens_chat: bool,
        tried: Vec<TargetName>,
        reply: oneshot::Sender<Result<Choice, Code>>,
    },
    Ended {
        pool: Pool,
        target: TargetName,
    },
    Load {
        target: TargetName,
        load: Load,
    },
    PoolLoad {
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

/// Handle of the task that chooses targets.
#[derive(Debug, Clone)]
pub struct Picker {
    tx: mpsc::Sender<Command>,
    gossip: Gossip,
}

impl Picker {
    /// Starts the task, which ends when the last handle is dropped.
    pub fn start(views: Views, clock: Clock, gossip: Gossip, supervisor: &Supervisor) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let task = Task {
            views,
            view: None,
            zones: Zones::default(),
            membership: gossip.membership(),
            pools: HashMap::new(),
            building: HashSet::new(),
            clock,
            // A weak sender, because a strong one would keep the task's own queue open.
            tx: tx.downgrade(),
            supervisor: supervisor.clone(),
        };
        supervisor.spawn(TaskName::Picker, run(task, rx));
        Self { tx, gossip }
    }

    /// Chooses a target of `pool` that is not in `tried`. `opens_chat` says that this is the first
    /// request of `chat`.
    ///
    /// # Errors
    ///
    /// Fails with the result code for the caller when no target is left, and with `ShuttingDown` if
    /// the task has ended.
    pub async fn choose(
        &self,
        pool: Pool,
        chat: ChatId,
        opens_chat: bool,
        tried: Vec<TargetName>,
    ) -> Result<Choice, Code> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Choose {
            pool,
            chat,
            opens_chat,
            tried,
            reply,
        };
        self.tx
            .send(command)
            .await
            .map_err(|_ended| Code::ShuttingDown)?;
        answer.await.map_err(|_ended| Code::ShuttingDown)?
    }

    /// Records the load that a target reported with an answer or a refusal.
    pub async fn record_load(&self, target: TargetName, load: Load) {
        self.gossip.observe(&target, Observation::Answered);
        let _ended = self.tx.send(Command::Load { target, load }).await;
    }

    /// Records that no connection to the target's agent could be made.
    pub fn record_connection_failure(&self, target: &TargetName) {
        self.gossip.observe(target, Observation::ConnectionFailed);
    }

    /// Records the total load of a pool, received by gossip.
    pub async fn record_pool_load(&self, pool: Pool, load: PoolLoad) {
        let _ended = self.tx.send(Command::PoolLoad { pool, load }).await;
    }

    /// Records an agent's hint that `target` is the one to try next for `chat`.
    pub async fn record_hint(&self, pool: Pool, chat: ChatId, target: TargetName) {
        let _ended = self.tx.send(Command::Hint { pool, chat, target }).await;
    }

    /// Records that `target` serves `chat` and returns the addresses of the agents that must be
    /// notified, because other routers look for the chat there.
    pub async fn record_served(
        &self,
        pool: Pool,
        chat: ChatId,
        target: TargetName,
    ) -> Vec<SocketAddr> {
        let served = |reply| Command::Served {
            pool,
            chat,
            target,
            reply,
        };
        ask(&self.tx, served).await.unwrap_or_default()
    }

    /// Returns a snapshot of the task's state; empty when the task has ended.
    pub async fn dump(&self) -> PickerDump {
        ask(&self.tx, |reply| Command::Dump { reply })
            .await
            .unwrap_or_default()
    }
}

struct Task {
    views: Views,
    view: Option<Arc<View>>,
    zones: Zones,
    membership: watch::Receiver<Arc<MembershipView>>,
    pools: HashMap<Pool, Placement>,
    /// Pools whose table is being built on a blocking thread.
    building: HashSet<Pool>,
    clock: Clock,
    tx: mpsc::WeakSender<Command>,
    supervisor: Supervisor,
}

async fn run(mut task: Task, mut rx: mpsc::Receiver<Command>) {
    loop {
        // A new configuration is applied immediately rather than with the next request, so that the
        // ramp of a zone starts when the configuration takes effect.
        let command = tokio::select! {
            command = rx.recv() => command,
            Ok(()) = task.views.changed() => {
                task.refresh();
                continue;
            }
            Ok(()) = task.membership.changed() => {
                task.refresh();
                continue;
            }
        };
        let Some(command) = command else { return };
        if task.view.is_none() || task.views.has_changed().unwrap_or(false) {
            task.refresh();
        }
        task.on_command(command);
    }
}

impl Task {
    fn on_command(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Choose {
                pool,
                chat,
                opens_chat,
                tried,
                reply,
            } => {
                let _caller_gone = reply.send(self.choose(pool, chat, opens_chat, &tried));
            }
            Command::Ended { pool, target } => {
                if let Some(placement) = self.pools.get_mut(&pool) {
                    placement.record_end(&target, now);
                }
            }
            Command::Load { target, load } => {
                let requests = load.running + load.waiting;
                for placement in self.pools.values_mut() {
                    placement.record_load(&target, requests, load.limit, now);
                }
            }
            Command::PoolLoad { pool, load } => {
                if let Some(placement) = self.pools.get_mut(&pool) {
                    placement.record_pool_load(load, now);
                }
            }
            Command::Hint { pool, chat, target } => {
                if let Some(placement) = self.pools.get_mut(&pool) {
                    placement.record_hint(chat, &target, now);
                }
            }
            Command::Served {
                pool,
                chat,
                target,
                reply,
            } => {
                let _caller_gone = reply.send(self.record_served(&pool, chat, &target));
            }
            Command::Built { pool, table } => {
                self.building.remove(&pool);
                if let (Some(view), true) = (self.view.clone(), self.pools.contains_key(&pool)) {
                    let members = self.members(&view, &pool);
                    let multiple = view.document.limits.load_multiple;
                    if let Some(placement) = self.pools.get_mut(&pool) {
                        placement.install_table(*table, &members, multiple, &self.zones, now);
                    }
                }
            }
            Command::Dump { reply } => {
                let _caller_gone = reply.send(self.dump());
            }
        }
    }

    /// Applies the current configuration and the current membership states of the targets.
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
            // A zone with a single target stays in service while that target restarts.
            let all_leaving = targets.clone().count() > 1
                && targets
                    .all(|(target, _)| membership.avoid.get(target) == Some(&Liveness::Leaving));
            let state = if all_leaving {
                ZoneState::Out
            } else {
                zone.state
            };
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
                    self.supervisor.spawn_job(TaskName::Picker, async move {
                        let built = spawn_blocking(move || Box::new(build.run())).await;
                        let table = built.expect("a build of a table does not panic");
                        let _ended = tx.send(Command::Built { pool, table }).await;
                    });
                }
                continue;
            }
            placement.set_targets(&members, multiple, &self.zones, now);
        }
    }

    /// Returns the targets of a pool; those with the best membership state are marked as serving.
    /// If all targets appear gone or leaving they still receive requests: this router may be the
    /// one that is partitioned or may not know of a restart yet, and a leaving agent refuses
    /// requests.
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
        let best_rank = targets.iter().map(|(_, _, rank)| *rank).min();
        targets
            .into_iter()
            .map(|(name, target, rank)| PoolTarget {
                candidate: Candidate {
                    name: name.clone(),
                    zone: target.zone.clone(),
                    weight: f64::from(target.slots),
                },
                serving: Some(rank) == best_rank,
            })
            .collect()
    }

    fn choose(
        &mut self,
        pool: Pool,
        chat: ChatId,
        opens_chat: bool,
        tried: &[TargetName],
    ) -> Result<Choice, Code> {
        let now = self.clock.now();
        let no_target_code = if tried.is_empty() {
            Code::NoTarget
        } else {
            Code::Overloaded
        };
        let (Some(view), Some(placement)) = (&self.view, self.pools.get_mut(&pool)) else {
            return Err(no_target_code);
        };
        let tx = self.tx.upgrade().ok_or(Code::ShuttingDown)?;
        let pick = placement.choose(chat, opens_chat, tried, &self.zones, now);
        let Pick {
            target: name,
            reason,
            second: next_target,
            ..
        } = pick.ok_or(no_target_code)?;
        let target = &view.document.targets[&name];
        let version = match &target.workload {
            Workload::Engine { version, .. } => Some(version.clone()),
            Workload::Service(_) => None,
        };
        Ok(Choice {
            agent: target.agent,
            version,
            apply_load_bound: tried.len() < BOUNDED_ATTEMPTS,
            follow_pointers: reason == Reason::Home && tried.is_empty(),
            next_target,
            _running_attempt: Arc::new(RunningAttempt {
                tx,
                pool,
                target: name.clone(),
            }),
            target: name,
        })
    }

    fn record_served(&mut self, pool: &Pool, chat: ChatId, target: &TargetName) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let (Some(view), Some(placement)) = (&self.view, self.pools.get_mut(pool)) else {
            return Vec::new();
        };
        let to_notify = placement.record_served(chat, target, now).into_iter();
        to_notify
            .filter_map(|name| Some(view.document.targets.get(&name)?.agent))
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
