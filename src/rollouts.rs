//! Task that runs the canary rollouts of model versions: compares the old and the new version,
//! exchanges verdicts with the other routers and sets the traffic share of each version.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    sync::Arc,
    time::Duration,
};

use ebonyfall_core::{
    dissemination::{Item, ItemKey, MoveDecision, Value},
    doc::{VersionMove, Workload},
    id::{ChatId, DeclarationHash, Offset},
    name::{ModelName, MoveName, TargetName, VersionName},
    rollout::{self, Comparison, Evaluator, RolloutState, Verdict},
    tally::{History, Lane, Sample},
};
use ebonyfall_wire::facts::{self, Fact};
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, MissedTickBehavior, interval_at},
};

use crate::{
    ask::ask,
    clock,
    gossip::Gossip,
    platform::{Platform, PlatformError},
    supervisor::{Supervisor, TaskName},
    view::{View, Views},
};

/// Stream of the platform's log with the verdicts on version moves.
pub const FACTS_STREAM: &str = "facts";
/// Capacity of the task's command channel.
const QUEUE_LEN: usize = 4_096;
/// Time between two evaluations of the declared moves.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(1);
/// Number of evaluations between two reads of the verdicts in the log.
const TICKS_PER_LOG_READ: u32 = 2;
/// Largest number of records per read of the log.
const RECORDS_PER_READ: u32 = 256;
/// Crashes of one target within this time count as one: a crash fails every request that runs on
/// the target, even if a single request caused it.
const CRASH_COUNT_INTERVAL_S: u64 = 10;

/// Result of one request, as a sample for the comparison of versions.
#[derive(Debug)]
pub struct FinishedRequest {
    /// Model that the caller requested.
    pub model: ModelName,
    /// Model version that served the request.
    pub version: VersionName,
    /// Target that served the request.
    pub target: TargetName,
    /// Priority and kind of answer, by which samples are grouped for the comparison.
    pub lane: Lane,
    /// Whether the request failed, and the times of its answer.
    pub sample: Sample,
    /// Whether the engine failed or crashed, or the answer was cut off. Such a failure may hit all
    /// requests that run on the target; a timeout does not count.
    pub crashed: bool,
}

/// Split of a model's traffic between the two versions of a move. `share` is that of `to`, 0 to 1.
#[derive(Debug, Clone, PartialEq)]
struct TrafficSplit {
    name: MoveName,
    from: VersionName,
    to: VersionName,
    share: f64,
}

/// Traffic splits of all models with a declared move.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrafficSplits(HashMap<ModelName, TrafficSplit>);

impl TrafficSplits {
    /// Returns the version of `model` that serves `chat`; `default_version` without a move.
    pub fn version(
        &self,
        model: &ModelName,
        default_version: &VersionName,
        chat: ChatId,
    ) -> VersionName {
        let Some(split) = self.0.get(model) else {
            return default_version.clone();
        };
        if rollout::uses_new_version(&split.name, chat, split.share) {
            split.to.clone()
        } else {
            split.from.clone()
        }
    }
}

/// State of a version move in the admin dump and in the operators' status.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveState {
    /// Model whose version changes.
    pub model: ModelName,
    /// Phase of the rollout, as text.
    pub phase: String,
    /// Traffic share of the new version, 0 to 1.
    pub share: f64,
    /// Requests of the new version that this process has compared with the old version.
    pub samples: u32,
    /// Reason of a rollback; `None` without a rollback, or if the details have not been read from
    /// the log.
    pub verdict: Option<Verdict>,
}

impl fmt::Display for MoveState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            phase,
            share,
            samples,
            ..
        } = self;
        write!(
            f,
            "{phase}, share {:.1} %, {samples} requests compared",
            share * 100.0
        )?;
        let Some(verdict) = &self.verdict else {
            return Ok(());
        };
        write!(
            f,
            ", faulty by {:?} after {}",
            verdict.check, verdict.samples
        )
    }
}

enum Command {
    Observe(Box<FinishedRequest>),
    Dump(oneshot::Sender<BTreeMap<MoveName, MoveState>>),
}

/// Handle of the rollout task.
#[derive(Debug, Clone)]
pub struct Rollouts {
    tx: mpsc::Sender<Command>,
    splits: watch::Receiver<Arc<TrafficSplits>>,
}

impl Rollouts {
    /// Starts the task, which ends when the last handle is dropped.
    pub fn start(
        views: Views,
        gossip: Gossip,
        platform: Platform,
        supervisor: &Supervisor,
        log: Logger,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let (splits_tx, splits) = watch::channel(Arc::default());
        let task = Task {
            views,
            gossip,
            platform,
            log,
            splits_tx,
            next_offset: Offset::default(),
            moves: BTreeMap::new(),
            facts_read: Vec::new(),
            unwritten: Vec::new(),
            crashes: HashMap::new(),
        };
        supervisor.spawn(TaskName::Rollouts, task.run(rx));
        Self { tx, splits }
    }

    /// Returns the version of `model` that serves `chat`; `default_version` without a move.
    pub fn version(
        &self,
        model: &ModelName,
        default_version: &VersionName,
        chat: ChatId,
    ) -> VersionName {
        self.splits.borrow().version(model, default_version, chat)
    }

    /// Reports a finished request. The sample is dropped when the command channel is full, so that
    /// requests never wait.
    pub fn observe(&self, finished: FinishedRequest) {
        let _full = self.tx.try_send(Command::Observe(Box::new(finished)));
    }

    /// Returns the state of every declared move.
    pub async fn dump(&self) -> BTreeMap<MoveName, MoveState> {
        ask(&self.tx, Command::Dump).await.unwrap_or_default()
    }
}

/// Version move from the configuration, with the measurements of the old and the new version.
struct TrackedMove {
    plan: VersionMove,
    declaration: DeclarationHash,
    state: RolloutState,
    verdict: Option<Verdict>,
    old: History,
    new: Comparison,
    evaluator: Evaluator,
}

struct Task {
    views: Views,
    gossip: Gossip,
    platform: Platform,
    log: Logger,
    splits_tx: watch::Sender<Arc<TrafficSplits>>,
    next_offset: Offset,
    moves: BTreeMap<MoveName, TrackedMove>,
    /// Facts read from the log, kept for moves that are declared later.
    facts_read: Vec<Fact>,
    /// Facts that have not been appended to the log yet.
    unwritten: Vec<Fact>,
    crashes: HashMap<TargetName, u64>,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<Command>) {
        // The random delay keeps routers that start together from writing at the same time.
        let start = Instant::now() + EVALUATION_INTERVAL.mul_f64(rand::random::<f64>());
        let mut ticks = interval_at(start, EVALUATION_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut tick_count = 0;
        loop {
            tokio::select! {
                command = rx.recv() => match command {
                    Some(Command::Observe(finished)) => self.add_sample(*finished),
                    Some(Command::Dump(reply)) => {
                        let _caller_gone = reply.send(self.dump());
                    }
                    None => return,
                },
                _ = ticks.tick() => {
                    self.sync_moves();
                    self.evaluate().await;
                    // The log matters only while a move is declared.
                    if !self.moves.is_empty() && tick_count % TICKS_PER_LOG_READ == 0 {
                        self.exchange_facts().await;
                    }
                    tick_count = tick_count.wrapping_add(1);
                    self.publish_splits();
                }
            }
        }
    }

    /// Updates the tracked moves from the document in force.
    fn sync_moves(&mut self) {
        let Some(view) = self.views.borrow().clone() else {
            return;
        };
        let declared = &view.document.moves;
        self.moves.retain(|name, tracked| {
            declared
                .get(name)
                .is_some_and(|new| rollout::declaration(new) == tracked.declaration)
        });
        for (name, plan) in declared {
            let capacity = capacity(&view, plan);
            if let Some(known) = self.moves.get_mut(name) {
                if known.plan.intent != plan.intent {
                    known.state.intent_since = unix_seconds();
                }
                known.plan = plan.clone();
                known.state.capacity = capacity;
                continue;
            }
            let state = RolloutState {
                intent_since: unix_seconds(),
                capacity,
                ..RolloutState::default()
            };
            let tracked = TrackedMove {
                plan: plan.clone(),
                declaration: rollout::declaration(plan),
                state,
                verdict: None,
                old: History::default(),
                new: Comparison::default(),
                evaluator: Evaluator::default(),
            };
            self.moves.insert(name.clone(), tracked);
            for fact in self.facts_read.clone() {
                self.apply_fact(&fact);
            }
        }
    }

    fn add_sample(&mut self, finished: FinishedRequest) {
        let FinishedRequest {
            model,
            version,
            target,
            lane,
            sample,
            crashed,
        } = finished;
        let now = unix_seconds();
        if crashed {
            let last = self.crashes.insert(target.clone(), now);
            if last.is_some_and(|last| now < last + CRASH_COUNT_INTERVAL_S) {
                // The interval starts at the first failure of a crash.
                self.crashes.extend(last.map(|last| (target, last)));
                return;
            }
        }
        for tracked in self
            .moves
            .values_mut()
            .filter(|tracked| tracked.plan.model == model)
        {
            if version == tracked.plan.to {
                tracked.new.push(now, lane, sample);
            } else if version == tracked.plan.from {
                tracked.old.push(now, lane, &sample);
            }
        }
    }

    /// Evaluates samples whose baseline is complete, and gossips verdicts.
    async fn evaluate(&mut self) {
        let now = unix_seconds();
        let mut found = Vec::new();
        for (name, tracked) in &mut self.moves {
            tracked.new.compare_pending(&tracked.old, now);
            let verdict = tracked.evaluator.update([tracked.new.evidence()]);
            if let (Some(verdict), None) = (verdict, tracked.verdict) {
                warn!(self.log, "canary checks found the new version faulty";
                    "move" => %name, "verdict" => ?verdict);
                tracked.verdict = Some(verdict);
                tracked.state.faulty = true;
                let (move_name, declaration) = (name.clone(), tracked.declaration);
                found.push(Fact::Faulty {
                    move_name,
                    declaration,
                    verdict,
                });
            } else if tracked.evaluator.is_cleared() && tracked.state.cleared.is_none() {
                info!(self.log, "new version passed the canary checks; its share may rise";
                    "move" => %name);
                tracked.state.cleared = Some(now);
                let (move_name, declaration) = (name.clone(), tracked.declaration);
                found.push(Fact::Cleared {
                    move_name,
                    declaration,
                    since: now,
                });
            }
        }
        for fact in &found {
            if let Fact::Faulty {
                move_name,
                declaration,
                ..
            } = fact
            {
                let key = ItemKey::Verdict(move_name.clone(), *declaration);
                self.gossip
                    .put(Item {
                        key,
                        value: Value::Verdict(MoveDecision::Faulty),
                    })
                    .await;
            }
        }
        self.unwritten.extend(found);
        for (name, tracked) in &mut self.moves {
            let key = ItemKey::Verdict(name.clone(), tracked.declaration);
            if let Some(Value::Verdict(MoveDecision::Faulty)) = self.gossip.get(key).await {
                tracked.state.faulty = true;
            }
        }
    }

    /// Reads the facts in the log, then appends one of this router that is not yet there. If the
    /// reply to an append is lost, the fact is appended again, which is harmless.
    async fn exchange_facts(&mut self) {
        if let Err(error) = self.read().await {
            warn!(self.log, "cannot read version verdicts from the log; retrying";
                "error" => %error);
            return;
        }
        // Routers reach the same verdict at about the same time; without this check, each of them
        // would append it.
        let known = &self.facts_read;
        self.unwritten
            .retain(|fact| !known.iter().any(|other| other.is_same_decision(fact)));
        if let Some(fact) = self.unwritten.first()
            && let Ok(data) = facts::encode(fact)
        {
            match self.platform.append(FACTS_STREAM, &data).await {
                Ok(_) => drop(self.unwritten.remove(0)),
                Err(error) => {
                    warn!(self.log, "cannot append a version verdict to the log; retrying";
                        "error" => %error);
                }
            }
        }
    }

    async fn read(&mut self) -> Result<(), PlatformError> {
        loop {
            let read = self
                .platform
                .read(FACTS_STREAM, self.next_offset, RECORDS_PER_READ)
                .await;
            let batch = match read {
                Err(PlatformError::Expired { first }) => {
                    self.platform
                        .read(FACTS_STREAM, first, RECORDS_PER_READ)
                        .await?
                }
                other => other?,
            };
            let Some(last) = batch.records.last() else {
                return Ok(());
            };
            self.next_offset = last.offset.next();
            for record in &batch.records {
                if let Ok(fact) = facts::decode(&record.data) {
                    self.apply_fact(&fact);
                    if !self
                        .facts_read
                        .iter()
                        .any(|other| other.is_same_decision(&fact))
                    {
                        self.facts_read.push(fact);
                    }
                }
            }
        }
    }

    fn apply_fact(&mut self, fact: &Fact) {
        match fact {
            Fact::Faulty {
                move_name,
                declaration,
                verdict,
            } => {
                let Some(known) = self.find_move(move_name, *declaration) else {
                    return;
                };
                known.state.faulty = true;
                known.verdict.get_or_insert(*verdict);
            }
            Fact::Cleared {
                move_name,
                declaration,
                since,
            } => {
                let Some(known) = self.find_move(move_name, *declaration) else {
                    return;
                };
                // Every router uses the earliest time, so that all compute the same share.
                let earliest = known.state.cleared.map_or(*since, |own| own.min(*since));
                known.state.cleared = Some(earliest);
            }
        }
    }

    fn find_move(
        &mut self,
        name: &MoveName,
        declaration: DeclarationHash,
    ) -> Option<&mut TrackedMove> {
        self.moves
            .get_mut(name)
            .filter(|tracked| tracked.declaration == declaration)
    }

    fn publish_splits(&self) {
        let now = unix_seconds();
        let by_model = self.moves.iter().map(|(name, tracked)| {
            let split = TrafficSplit {
                name: name.clone(),
                from: tracked.plan.from.clone(),
                to: tracked.plan.to.clone(),
                share: rollout::share(&tracked.plan, &tracked.state, now),
            };
            (tracked.plan.model.clone(), split)
        });
        let splits = TrafficSplits(by_model.collect());
        self.splits_tx.send_if_modified(|old| {
            let changed = **old != splits;
            if changed {
                *old = Arc::new(splits);
            }
            changed
        });
    }

    fn dump(&self) -> BTreeMap<MoveName, MoveState> {
        let now = unix_seconds();
        let states = self.moves.iter().map(|(name, tracked)| {
            let state = MoveState {
                model: tracked.plan.model.clone(),
                phase: rollout::phase(&tracked.plan, &tracked.state, now).to_string(),
                share: rollout::share(&tracked.plan, &tracked.state, now),
                samples: tracked.new.evidence().all.samples,
                verdict: tracked.verdict,
            };
            (name.clone(), state)
        });
        states.collect()
    }
}

/// Returns the slots of the new version's targets relative to the old version's, at most 1. Without
/// old slots, any new slot counts as 1.
fn capacity(view: &View, plan: &VersionMove) -> f64 {
    let slots = |wanted: &VersionName| -> f64 {
        let targets = view.document.targets.values();
        let serving = targets.filter(|target| {
            matches!(&target.workload, Workload::Engine { model, version }
                if *model == plan.model && version == wanted)
        });
        serving.map(|target| f64::from(target.slots)).sum()
    };
    let (old, new) = (slots(&plan.from), slots(&plan.to));
    if old > 0.0 {
        (new / old).min(1.0)
    } else {
        f64::from(u8::from(new > 0.0))
    }
}

fn unix_seconds() -> u64 {
    clock::unix_time().as_secs()
}
