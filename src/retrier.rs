//! Router task that owns the retry budget, the requests suspected of crashing engines and the
//! targets to avoid.

use std::{
    collections::{HashMap, HashSet},
    num::NonZeroU32,
    sync::Arc,
    time::{Duration, Instant},
};

use ebonyfall_core::{
    code::Code,
    crash::{ContentStatus, Crash, Marks, Suspects},
    id::Fingerprint,
    membership::MembershipView,
    name::{TargetName, TeamName, ZoneName},
    retry::RetryBudget,
    time::Time,
};
use slog::{Logger, info};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};

use crate::{
    ask::ask,
    clock,
    supervisor::{Supervisor, TaskName},
    view::{Pool, Views},
};

/// Capacity of the task's message queue.
const QUEUE_LEN: usize = 4096;
/// Time after which a router that starts and hears others knows all of them.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time without an answer of any other process after which a router takes those that it knows for all.
const SOLITUDE_TIME: Duration = Duration::from_secs(4);
/// Shortest and longest time for which an unreachable or leaving target is avoided. The time
/// doubles with each consecutive failure.
const AVOIDANCE_RANGE: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(4)];

/// Input for the choice of a target and for the submission of one attempt.
#[derive(Debug, Default, Clone)]
pub struct Advice {
    /// Targets to choose only if there is no other.
    pub avoid: Vec<TargetName>,
    /// Crash of a target that was running a request with the same fingerprint; `None` when the
    /// request is not a suspect.
    pub suspect: Option<Crash>,
}

/// Report of a failed attempt.
#[derive(Debug, Clone)]
pub struct FailureReport {
    /// Target of the attempt.
    pub target: TargetName,
    /// Result code of the attempt.
    pub code: Code,
    /// Team that sent the request.
    pub team: TeamName,
    /// Hash of the request's team and content.
    pub fingerprint: Fingerprint,
}

#[derive(Debug)]
enum Command {
    Advise {
        first_attempt: bool,
        fingerprint: Fingerprint,
        pool: Pool,
        zones: Vec<ZoneName>,
        reply: oneshot::Sender<Result<Advice, Code>>,
    },
    Failed(Box<FailureReport>),
    Survived(Fingerprint),
    Marks(oneshot::Sender<Marks>),
    Merge(Marks),
    Clear(Fingerprint, oneshot::Sender<bool>),
    TryTakeRetry(oneshot::Sender<bool>),
    AddReserve(NonZeroU32),
    SetQuarantined(HashSet<Fingerprint>),
}

/// Handle of the task that owns the retry budget, the suspect requests and the targets to avoid.
#[derive(Debug, Clone)]
pub struct Retrier(mpsc::Sender<Command>);

impl Retrier {
    /// Starts the task, which ends when the last handle is dropped.
    pub fn start(
        views: Views,
        membership: watch::Receiver<Arc<MembershipView>>,
        supervisor: &Supervisor,
        log: Logger,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let task = Task {
            views,
            budget: RetryBudget::new(0.0),
            suspects: Suspects::new(Duration::ZERO),
            avoided: HashMap::new(),
            quarantined: HashSet::new(),
        };
        supervisor.spawn(TaskName::Retrier, task.run(rx));
        let reserve = add_reserve(membership, tx.downgrade(), log);
        supervisor.spawn_job(TaskName::RetryReserve, reserve);
        Self(tx)
    }

    /// Returns the targets to avoid in an attempt and whether the request is a suspect. Targets in
    /// `zones` are among those to avoid. A first attempt adds to the retry budget.
    ///
    /// # Errors
    ///
    /// Fails with `Held` when requests with this fingerprint are held or quarantined, and with
    /// `ShuttingDown` if the task has ended.
    pub async fn advise(
        &self,
        first_attempt: bool,
        fingerprint: Fingerprint,
        pool: Pool,
        zones: Vec<ZoneName>,
    ) -> Result<Advice, Code> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Advise {
            first_attempt,
            fingerprint,
            pool,
            zones,
            reply,
        };
        let sent = self.0.send(command).await;
        sent.map_err(|_ended| Code::ShuttingDown)?;
        answer.await.map_err(|_ended| Code::ShuttingDown)?
    }

    /// Records a failed attempt: marks the request as a suspect after a crash, or avoids the target
    /// for a while after a connection failure or a shutdown.
    pub async fn record_failure(&self, failure: FailureReport) {
        let _ended = self.0.send(Command::Failed(Box::new(failure))).await;
    }

    /// Records that a suspect request was answered completely.
    pub async fn record_survival(&self, fingerprint: Fingerprint) {
        let _ended = self.0.send(Command::Survived(fingerprint)).await;
    }

    /// Replaces the set of requests that are quarantined throughout the fleet.
    pub async fn set_quarantined(&self, fingerprints: HashSet<Fingerprint>) {
        let _ended = self.0.send(Command::SetQuarantined(fingerprints)).await;
    }

    /// Takes a retry from the budget; `false` when the budget is exhausted or the task has ended.
    pub async fn try_take_retry(&self) -> bool {
        ask(&self.0, Command::TryTakeRetry).await.unwrap_or(false)
    }

    /// Returns the marks of all suspect and held requests, for other processes and for operators.
    pub async fn marks(&self) -> Marks {
        ask(&self.0, Command::Marks).await.unwrap_or_default()
    }

    /// Merges marks received from another process.
    pub async fn merge(&self, marks: Marks) {
        let _ended = self.0.send(Command::Merge(marks)).await;
    }

    /// Removes the mark of a held or suspect request, at an operator's command; `false` when there
    /// was none.
    pub async fn clear(&self, fingerprint: Fingerprint) -> bool {
        ask(&self.0, |reply| Command::Clear(fingerprint, reply))
            .await
            .unwrap_or(false)
    }
}

struct AvoidedTarget {
    until: Instant,
    next_avoidance: Duration,
}

struct Task {
    quarantined: HashSet<Fingerprint>,
    views: Views,
    budget: RetryBudget,
    suspects: Suspects,
    avoided: HashMap<TargetName, AvoidedTarget>,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<Command>) {
        // The configuration may have been loaded before this task started.
        self.views.mark_changed();
        while let Some(command) = rx.recv().await {
            if self.views.has_changed().unwrap_or(false)
                && let Some(view) = &*self.views.borrow_and_update()
            {
                self.budget
                    .set_retry_ratio(view.document.limits.retry_budget);
                self.suspects.set_mark_ttl(view.document.limits.quarantine);
            }
            match command {
                Command::Advise {
                    first_attempt,
                    fingerprint,
                    pool,
                    zones,
                    reply,
                } => {
                    if first_attempt {
                        self.budget.record_first();
                    }
                    let _caller_gone = reply.send(self.advise(fingerprint, &pool, &zones));
                }
                Command::Failed(failure) => self.record_failure(*failure),
                Command::Marks(reply) => {
                    let marks = self.suspects.marks();
                    let marks = marks.map(|(fingerprint, mark)| (fingerprint, mark.clone()));
                    let _caller_gone = reply.send(marks.collect());
                }
                Command::SetQuarantined(fingerprints) => self.quarantined = fingerprints,
                Command::Merge(marks) => {
                    for (fingerprint, mark) in marks {
                        self.suspects.merge(fingerprint, mark, unix_now());
                    }
                }
                Command::Clear(fingerprint, reply) => {
                    let _caller_gone = reply.send(self.suspects.clear(fingerprint, unix_now()));
                }
                Command::Survived(fingerprint) => {
                    self.suspects.record_success(fingerprint, unix_now());
                }
                Command::AddReserve(routers) => self.budget.add_reserve(routers),
                Command::TryTakeRetry(reply) => {
                    let _caller_gone = reply.send(self.budget.try_take());
                }
            }
        }
    }

    fn advise(
        &self,
        fingerprint: Fingerprint,
        pool: &Pool,
        zones: &[ZoneName],
    ) -> Result<Advice, Code> {
        if self.quarantined.contains(&fingerprint) {
            return Err(Code::Held);
        }
        let status = self.suspects.status(fingerprint, unix_now());
        let suspect = match status {
            ContentStatus::Held => return Err(Code::Held),
            ContentStatus::Suspect(crash) => Some(crash),
            ContentStatus::Clear => None,
        };
        let now = Instant::now();
        let avoided = self.avoided.iter();
        let mut avoid: Vec<_> = avoided
            .filter(|(_, avoided)| avoided.until > now)
            .map(|(name, _)| name.clone())
            .collect();
        if !zones.is_empty()
            && let Some(view) = &*self.views.borrow()
        {
            let targets = view.document.targets.iter();
            let in_zones = targets.filter(|(_, target)| {
                pool.contains(&target.workload) && zones.contains(&target.zone)
            });
            avoid.extend(in_zones.map(|(name, _)| name.clone()));
        }
        Ok(Advice { avoid, suspect })
    }

    fn record_failure(&mut self, failure: FailureReport) {
        match failure.code {
            Code::EngineCrashed => {
                let FailureReport {
                    target,
                    team,
                    fingerprint,
                    ..
                } = failure;
                self.suspects
                    .add_mark(fingerprint, &team, &target, unix_now());
            }
            Code::EngineUnreachable | Code::LinkLost | Code::Leaving | Code::ShuttingDown => {
                let now = Instant::now();
                let avoided = self.avoided.entry(failure.target).or_insert(AvoidedTarget {
                    until: now,
                    next_avoidance: AVOIDANCE_RANGE[0],
                });
                if avoided.until + AVOIDANCE_RANGE[1] < now {
                    avoided.next_avoidance = AVOIDANCE_RANGE[0];
                }
                if avoided.until <= now {
                    avoided.until = now + avoided.next_avoidance;
                    avoided.next_avoidance = (avoided.next_avoidance * 2).min(AVOIDANCE_RANGE[1]);
                }
            }
            _ => {}
        }
    }
}

/// Waits until the other routers are known, and adds this router's part of the reserve.
async fn add_reserve(
    mut membership: watch::Receiver<Arc<MembershipView>>,
    tx: mpsc::WeakSender<Command>,
    log: Logger,
) {
    let fresh = membership.wait_for(|view| view.fresh);
    if let Ok(Err(_ended)) = time::timeout(SOLITUDE_TIME, fresh).await {
        return;
    }
    time::sleep(SETTLE_TIME).await;
    // A router that is silent has its part, too.
    let routers = u32::try_from(membership.borrow().known_routers.len()).unwrap_or(u32::MAX);
    let routers = NonZeroU32::new(routers).unwrap_or(NonZeroU32::MIN);
    if let Some(tx) = tx.upgrade() {
        info!(log, "this router's part of the reserve of retries is available";
            "routers" => routers.get());
        let _ended = tx.send(Command::AddReserve(routers)).await;
    }
}

fn unix_now() -> Time {
    Time::ZERO + clock::unix_time()
}
