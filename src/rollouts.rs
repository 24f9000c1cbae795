//! The task that follows version moves: evidence, verdicts, and the share of each version.

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
    clock,
    gossip::Gossip,
    platform::{Platform, PlatformError},
    view::{View, Views},
};

/// Stream of the platform's log that holds facts.
pub const FACTS_STREAM: &str = "facts";
/// Messages that may wait for the task.
const QUEUE_LEN: usize = 4_096;
/// Time between two evaluations.
const TICK: Duration = Duration::from_secs(1);
/// Evaluations between two looks at the log.
const LOOK: u32 = 2;
/// Records read at once.
const BATCH: u32 = 256;
/// A crash of a target counts once in this many seconds, since it fails every request that runs
/// there, also by the fault of a single one.
const CRASH_SECONDS: u64 = 10;

/// One finished request of a model.
#[derive(Debug)]
pub struct Observed {
    /// The model.
    pub model: ModelName,
    /// The version that served it.
    pub version: VersionName,
    /// The target that served it.
    pub target: TargetName,
    /// The kind of request.
    pub lane: Lane,
    /// How it went.
    pub sample: Sample,
    /// Whether the back end broke off, which fails every request that runs there.
    pub crashed: bool,
}

/// A model that is moving between versions.
#[derive(Debug, Clone, PartialEq)]
struct Split {
    name: MoveName,
    from: VersionName,
    to: VersionName,
    share: f64,
}

/// The version of each model for a chat.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Shares(HashMap<ModelName, Split>);

impl Shares {
    /// The version that serves `chat`: that of the move, or else `usual`.
    pub fn version(&self, model: &ModelName, usual: &VersionName, chat: ChatId) -> VersionName {
        let Some(split) = self.0.get(model) else {
            return usual.clone();
        };
        if rollout::uses_new_version(&split.name, chat, split.share) {
            split.to.clone()
        } else {
            split.from.clone()
        }
    }
}

/// State of a move, for the dump and the operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveState {
    /// The model.
    pub model: ModelName,
    /// What operators read back.
    pub phase: String,
    /// Share of the new version, 0 to 1.
    pub share: f64,
    /// Requests of the new version that this process has compared.
    pub samples: u32,
    /// Why it was rolled back, where this process knows.
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

enum Ask {
    Observed(Box<Observed>),
    Dump(oneshot::Sender<BTreeMap<MoveName, MoveState>>),
}

/// Reaches the task.
#[derive(Debug, Clone)]
pub struct Rollouts {
    tx: mpsc::Sender<Ask>,
    shares: watch::Receiver<Arc<Shares>>,
}

impl Rollouts {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start(views: Views, gossip: Gossip, platform: Platform, log: Logger) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let (publish, shares) = watch::channel(Arc::default());
        let task = Task {
            views,
            gossip,
            platform,
            log,
            publish,
            next: Offset::default(),
            steps: BTreeMap::new(),
            known: Vec::new(),
            unsent: Vec::new(),
            crashes: HashMap::new(),
        };
        tokio::spawn(task.run(rx));
        Self { tx, shares }
    }

    /// The version of `model` that serves `chat`.
    pub fn version(&self, model: &ModelName, usual: &VersionName, chat: ChatId) -> VersionName {
        self.shares.borrow().version(model, usual, chat)
    }

    /// Reports a finished request. It is dropped while the task is behind, since the request should
    /// not wait.
    pub fn observe(&self, observed: Observed) {
        let _full = self.tx.try_send(Ask::Observed(Box::new(observed)));
    }

    /// Every declared move.
    pub async fn dump(&self) -> BTreeMap<MoveName, MoveState> {
        let (reply, answer) = oneshot::channel();
        let _ended = self.tx.send(Ask::Dump(reply)).await;
        answer.await.unwrap_or_default()
    }
}

/// One declared move.
struct Step {
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
    publish: watch::Sender<Arc<Shares>>,
    next: Offset,
    steps: BTreeMap<MoveName, Step>,
    /// Facts read from the log, for moves that are declared later.
    known: Vec<Fact>,
    /// Facts that the log has not taken yet.
    unsent: Vec<Fact>,
    crashes: HashMap<TargetName, u64>,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<Ask>) {
        // Routers that start together do not write together.
        let start = Instant::now() + TICK.mul_f64(rand::random::<f64>());
        let mut ticks = interval_at(start, TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut looks = 0;
        loop {
            tokio::select! {
                ask = rx.recv() => match ask {
                    Some(Ask::Observed(observed)) => self.observed(*observed),
                    Some(Ask::Dump(reply)) => {
                        let _gone = reply.send(self.dump());
                    }
                    None => return,
                },
                _ = ticks.tick() => {
                    self.declare();
                    self.judge().await;
                    // Without moves there is nothing to read.
                    if !self.steps.is_empty() && looks % LOOK == 0 {
                        self.follow().await;
                    }
                    looks = looks.wrapping_add(1);
                    self.publish();
                }
            }
        }
    }

    /// Takes the moves of the document in force.
    fn declare(&mut self) {
        let Some(view) = self.views.borrow().clone() else {
            return;
        };
        let declared = &view.document.moves;
        self.steps.retain(|name, step| {
            declared
                .get(name)
                .is_some_and(|new| rollout::declaration(new) == step.declaration)
        });
        for (name, step) in declared {
            let capacity = capacity(&view, step);
            if let Some(known) = self.steps.get_mut(name) {
                if known.plan.intent != step.intent {
                    known.state.intent_since = unix();
                }
                known.plan = step.clone();
                known.state.capacity = capacity;
                continue;
            }
            let state = RolloutState {
                intent_since: unix(),
                capacity,
                ..RolloutState::default()
            };
            let step = Step {
                plan: step.clone(),
                declaration: rollout::declaration(step),
                state,
                verdict: None,
                old: History::default(),
                new: Comparison::default(),
                evaluator: Evaluator::default(),
            };
            self.steps.insert(name.clone(), step);
            for fact in self.known.clone() {
                self.learn(&fact);
            }
        }
    }

    fn observed(&mut self, observed: Observed) {
        let Observed {
            model,
            version,
            target,
            lane,
            sample,
            crashed,
        } = observed;
        let now = unix();
        if crashed {
            let last = self.crashes.insert(target.clone(), now);
            if last.is_some_and(|last| now < last + CRASH_SECONDS) {
                // Keeps the time of the first failure of the run.
                self.crashes.extend(last.map(|last| (target, last)));
                return;
            }
        }
        for step in self
            .steps
            .values_mut()
            .filter(|step| step.plan.model == model)
        {
            if version == step.plan.to {
                step.new.push(now, lane, sample);
            } else if version == step.plan.from {
                step.old.push(now, lane, &sample);
            }
        }
    }

    /// Compares what has settled, and spreads verdicts.
    async fn judge(&mut self) {
        let now = unix();
        let mut found = Vec::new();
        for (name, step) in &mut self.steps {
            step.new.compare_pending(&step.old, now);
            let verdict = step.evaluator.update([step.new.evidence()]);
            if let (Some(verdict), None) = (verdict, step.verdict) {
                warn!(self.log, "version is faulty"; "move" => %name, "verdict" => ?verdict);
                step.verdict = Some(verdict);
                step.state.faulty = true;
                let (step, declaration) = (name.clone(), step.declaration);
                found.push(Fact::Faulty {
                    move_name: step,
                    declaration,
                    verdict,
                });
            } else if step.evaluator.is_cleared() && step.state.cleared.is_none() {
                info!(self.log, "version has enough evidence"; "move" => %name);
                step.state.cleared = Some(now);
                let (step, declaration) = (name.clone(), step.declaration);
                found.push(Fact::Cleared {
                    move_name: step,
                    declaration,
                    since: now,
                });
            }
        }
        for fact in &found {
            if let Fact::Faulty {
                move_name: step,
                declaration,
                ..
            } = fact
            {
                let key = ItemKey::Verdict(step.clone(), *declaration);
                self.gossip
                    .put(Item {
                        key,
                        value: Value::Verdict(MoveDecision::Faulty),
                    })
                    .await;
            }
        }
        self.unsent.extend(found);
        for (name, step) in &mut self.steps {
            let key = ItemKey::Verdict(name.clone(), step.declaration);
            if let Some(Value::Verdict(MoveDecision::Faulty)) = self.gossip.get(key).await {
                step.state.faulty = true;
            }
        }
    }

    /// Reads the facts of others, then writes those that the log does not hold yet. A fact that is
    /// written twice after a lost reply says the same twice.
    async fn follow(&mut self) {
        if let Err(error) = self.read().await {
            warn!(self.log, "cannot read facts"; "error" => %error);
            return;
        }
        // Routers reach the same conclusions at about the same time; without this, each of them
        // would write it.
        let known = &self.known;
        self.unsent
            .retain(|fact| !known.iter().any(|other| other.is_same_decision(fact)));
        if let Some(fact) = self.unsent.first()
            && let Ok(data) = facts::encode(fact)
        {
            match self.platform.append(FACTS_STREAM, &data).await {
                Ok(_) => drop(self.unsent.remove(0)),
                Err(error) => warn!(self.log, "cannot write a fact yet"; "error" => %error),
            }
        }
    }

    async fn read(&mut self) -> Result<(), PlatformError> {
        loop {
            let read = self.platform.read(FACTS_STREAM, self.next, BATCH).await;
            let batch = match read {
                Err(PlatformError::Expired { first }) => {
                    self.platform.read(FACTS_STREAM, first, BATCH).await?
                }
                other => other?,
            };
            let Some(last) = batch.records.last() else {
                return Ok(());
            };
            self.next = last.offset.next();
            for record in &batch.records {
                if let Ok(fact) = facts::decode(&record.data) {
                    self.learn(&fact);
                    if !self.known.iter().any(|other| other.is_same_decision(&fact)) {
                        self.known.push(fact);
                    }
                }
            }
        }
    }

    fn learn(&mut self, fact: &Fact) {
        match fact {
            Fact::Faulty {
                move_name: step,
                declaration,
                verdict,
            } => {
                let Some(known) = self.declared(step, *declaration) else {
                    return;
                };
                known.state.faulty = true;
                known.verdict.get_or_insert(*verdict);
            }
            Fact::Cleared {
                move_name: step,
                declaration,
                since,
            } => {
                let Some(known) = self.declared(step, *declaration) else {
                    return;
                };
                // Every router takes the earliest, so that all compute the same share.
                let earliest = known.state.cleared.map_or(*since, |own| own.min(*since));
                known.state.cleared = Some(earliest);
            }
        }
    }

    fn declared(&mut self, name: &MoveName, declaration: DeclarationHash) -> Option<&mut Step> {
        self.steps
            .get_mut(name)
            .filter(|step| step.declaration == declaration)
    }

    fn publish(&self) {
        let now = unix();
        let splits = self.steps.iter().map(|(name, step)| {
            let split = Split {
                name: name.clone(),
                from: step.plan.from.clone(),
                to: step.plan.to.clone(),
                share: rollout::share(&step.plan, &step.state, now),
            };
            (step.plan.model.clone(), split)
        });
        let shares = Shares(splits.collect());
        self.publish.send_if_modified(|old| {
            let changed = **old != shares;
            if changed {
                *old = Arc::new(shares);
            }
            changed
        });
    }

    fn dump(&self) -> BTreeMap<MoveName, MoveState> {
        let now = unix();
        let states = self.steps.iter().map(|(name, step)| {
            let state = MoveState {
                model: step.plan.model.clone(),
                phase: rollout::phase(&step.plan, &step.state, now).to_string(),
                share: rollout::share(&step.plan, &step.state, now),
                samples: step.new.evidence().all.samples,
                verdict: step.verdict,
            };
            (name.clone(), state)
        });
        states.collect()
    }
}

/// The part of the model's traffic that the new version's targets can bear.
fn capacity(view: &View, step: &VersionMove) -> f64 {
    let slots = |wanted: &VersionName| -> f64 {
        let targets = view.document.targets.values();
        let serving = targets.filter(|target| {
            matches!(&target.workload, Workload::Engine { model, version }
                if *model == step.model && version == wanted)
        });
        serving.map(|target| f64::from(target.slots)).sum()
    };
    let (old, new) = (slots(&step.from), slots(&step.to));
    if old > 0.0 {
        (new / old).min(1.0)
    } else {
        f64::from(u8::from(new > 0.0))
    }
}

fn unix() -> u64 {
    clock::unix_time().as_secs()
}
