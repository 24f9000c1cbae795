//! The task that owns the steering state and the idle connections to targets.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use ebonyfall_core::{
    changeover::{MoveOrder, MoveProgress},
    code::Code,
    dissemination::MoveDecision,
    doc::Idempotency,
    id::{Fingerprint, Incarnation},
    inspect::RoutingState,
    moves::{MoveState, MoveVerdict, VersionCounts},
    name::{MoveName, ProcessName, RouteName, ServiceName, TargetName, TeamName, ZoneName},
    outcome::{End, Finished},
    reports::OpenReport,
    selector::{Choice, Criteria, SelectionRefusal, TargetSelector},
    target::{ReportedLoad, TargetRecord},
    time::Time,
    timing::Timing,
};
use tokio::sync::{
    mpsc::{self, OwnedPermit},
    oneshot,
};

use crate::{clock::BootClock, upstream::TargetConnection};

/// Messages that may wait for the task.
const QUEUE_LEN: usize = 8_192;
/// Idle time up to which a connection carries a request that must not run twice. A target may
/// close an older one just as the request is sent.
const FRESH: Duration = Duration::from_millis(1_000);
/// Idle connections kept for one target.
const MAX_IDLE: usize = 32;

/// What a request asks for.
#[derive(Debug, Clone)]
pub struct Order {
    /// The service that it goes to.
    pub service: ServiceName,
    /// Hashes of the prompt parts that it shares with others, the shortest first.
    pub contexts: Vec<u64>,
    /// Targets that were tried before.
    pub tried: Vec<TargetName>,
    /// Whether it takes a repeat from the retry budget.
    pub again: bool,
    /// Whether it may run more than once.
    pub repeat: Idempotency,
    /// Hash of team and content.
    pub content: Fingerprint,
    /// The team.
    pub team: Option<TeamName>,
    /// The route.
    pub route: RouteName,
}

impl Order {
    fn sender(&self) -> Sender {
        Sender {
            content: self.content,
            team: self.team.clone(),
            route: self.route.clone(),
        }
    }
}

/// A change of what is known of targets, operators' orders or the store.
#[derive(Debug)]
pub enum Update {
    /// A target's record.
    Put(TargetRecord),
    /// A target's entry is gone.
    Remove(TargetName),
    /// Every target that is listed; others are gone.
    Listed(HashSet<TargetName>),
    /// The zones that get no work.
    Evacuated(HashSet<ZoneName>),
    /// Requests a second that a cold target of each service bears.
    ColdRates(HashMap<ServiceName, f64>),
    /// Routers that share the fleet's bounds, and how many of them come before this one.
    Routers(u32, u32),
    /// All orders of version moves.
    Moves(Vec<MoveOrder>),
    /// The state of a version move that operators can read.
    MoveReported(MoveOrder, MoveProgress),
    /// Another router's verdict on a version move.
    MoveJudged(MoveName, MoveDecision),
    /// What another router has counted of a version move.
    Evidence(ProcessName, VersionCounts),
    /// The store did not answer.
    StoreLost,
    /// What another router says of its requests.
    Open(ProcessName, OpenReport),
    /// A crash that another router put down to a request, some time ago.
    Crash(Suspicion, Duration),
}

/// A crash that is put down to a request.
#[derive(Debug, Clone)]
pub struct Suspicion {
    /// Hash of team and content.
    pub content: Fingerprint,
    /// The target that crashed.
    pub target: TargetName,
    /// The team that sent the request.
    pub team: TeamName,
}

/// What is reported to other routers.
#[derive(Debug, Default)]
pub struct Report {
    /// The requests.
    pub open: OpenReport,
    /// Crashes that were put down to requests, with the time that has passed since.
    pub crashes: Vec<(Suspicion, Duration)>,
    /// Counts of version moves.
    pub evidence: Vec<VersionCounts>,
    /// Verdicts on version moves.
    pub verdicts: Vec<MoveVerdict>,
}

#[derive(Debug)]
enum Ask {
    Choose(Box<Order>, oneshot::Sender<Result<Grant, SelectionRefusal>>),
    Ended(Box<Ended>),
    Named(TargetName, ReportedLoad),
    Update(Vec<Update>),
    Report(oneshot::Sender<Report>),
    Moves(oneshot::Sender<Vec<MoveState>>),
    Inspect(oneshot::Sender<RoutingState>),
}

#[derive(Debug)]
struct Grant {
    choice: Choice,
    line: Option<TargetConnection>,
}

#[derive(Debug)]
struct Ended {
    target: TargetName,
    end: End,
    line: Option<TargetConnection>,
    sender: Sender,
    timing: Option<Timing>,
}

/// Whose request it is, for what its end says about targets.
#[derive(Debug, Clone)]
struct Sender {
    content: Fingerprint,
    team: Option<TeamName>,
    route: RouteName,
}

/// A place at a target. Dropping it tells the task that the caller left.
#[derive(Debug)]
pub struct Ticket {
    /// The chosen target and what decided the choice.
    pub choice: Choice,
    permit: Option<OwnedPermit<Ask>>,
    steering: Steering,
    sender: Sender,
    timing: Option<Timing>,
}

impl Ticket {
    /// Tells the task the load that the target named. It is left out while the task is behind,
    /// since a later answer names a newer one.
    pub fn named(&self, load: ReportedLoad) {
        let target = self.choice.target.name.clone();
        let _full = self.steering.0.try_send(Ask::Named(target, load));
    }

    /// Records how long the answer took.
    pub fn timed(&mut self, timing: Timing) {
        self.timing = Some(timing);
    }

    /// Gives the place back, with the connection if it can be used again.
    pub fn finish(mut self, end: End, line: Option<TargetConnection>) {
        self.release(end, line);
    }

    fn release(&mut self, end: End, line: Option<TargetConnection>) {
        if let Some(permit) = self.permit.take() {
            permit.send(Ask::Ended(Box::new(Ended {
                target: self.choice.target.name.clone(),
                end,
                line,
                sender: self.sender.clone(),
                timing: self.timing,
            })));
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.release(End::Cancelled, None);
    }
}

/// Reaches the task.
#[derive(Debug, Clone)]
pub struct Steering(mpsc::Sender<Ask>);

impl Steering {
    /// Starts the task; it ends when the last handle is dropped.
    ///
    /// # Panics
    ///
    /// Never: the name that is checked is a literal.
    pub fn start(selector: TargetSelector, clock: BootClock) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let task = Task {
            selector,
            anonymous: TeamName::new("public").expect("the literal is a name"),
            clock,
            idle: HashMap::new(),
        };
        tokio::spawn(task.run(rx));
        Self(tx)
    }

    /// Chooses a target, and an idle connection to it if there is one.
    ///
    /// # Errors
    ///
    /// Fails when no target can take the request.
    pub async fn choose(
        &self,
        order: Order,
    ) -> Result<(Ticket, Option<TargetConnection>), SelectionRefusal> {
        let ended = SelectionRefusal {
            code: Code::ShuttingDown,
            after: Duration::ZERO,
        };
        let sender = order.sender();
        let permit = self
            .0
            .clone()
            .reserve_owned()
            .await
            .map_err(|_ended| ended)?;
        let (reply, answer) = oneshot::channel();
        let ask = Ask::Choose(Box::new(order), reply);
        self.0.send(ask).await.map_err(|_ended| ended)?;
        let Grant { choice, line } = answer.await.map_err(|_ended| ended)??;
        let ticket = Ticket {
            choice,
            permit: Some(permit),
            steering: self.clone(),
            sender,
            timing: None,
        };
        Ok((ticket, line))
    }

    /// Sends changes to the task.
    pub async fn update(&self, updates: Vec<Update>) {
        let _ended = self.0.send(Ask::Update(updates)).await;
    }

    /// What is to be reported to other routers.
    pub async fn report(&self) -> Report {
        let (reply, answer) = oneshot::channel();
        let _ended = self.0.send(Ask::Report(reply)).await;
        answer.await.unwrap_or_default()
    }

    /// The task's state as people read it.
    pub async fn inspect(&self) -> RoutingState {
        let (reply, answer) = oneshot::channel();
        let _ended = self.0.send(Ask::Inspect(reply)).await;
        answer.await.unwrap_or_default()
    }

    /// The state of version moves, and what this router has to report of them now.
    pub async fn moves(&self) -> Vec<MoveState> {
        let (reply, answer) = oneshot::channel();
        let _ended = self.0.send(Ask::Moves(reply)).await;
        answer.await.unwrap_or_default()
    }
}

struct Task {
    selector: TargetSelector,
    /// Stands for callers of public routes.
    anonymous: TeamName,
    clock: BootClock,
    idle: HashMap<TargetName, Idle>,
}

struct Idle {
    incarnation: Incarnation,
    lines: Vec<TargetConnection>,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<Ask>) {
        while let Some(ask) = rx.recv().await {
            match ask {
                Ask::Choose(order, reply) => {
                    let grant = self.choose(&order);
                    // A caller that left meanwhile gives its place back.
                    if let Err(Ok(grant)) = reply.send(grant) {
                        self.ended(Ended {
                            target: grant.choice.target.name,
                            end: End::Cancelled,
                            line: grant.line,
                            sender: order.sender(),
                            timing: None,
                        });
                    }
                }
                Ask::Ended(ended) => self.ended(*ended),
                Ask::Named(target, load) => {
                    self.selector.record_load(&target, load, self.clock.now());
                }
                Ask::Update(updates) => updates.into_iter().for_each(|update| self.learn(update)),
                Ask::Report(reply) => {
                    let _left = reply.send(self.report());
                }
                Ask::Inspect(reply) => {
                    let _left = reply.send(self.selector.inspect(self.clock.now()));
                }
                Ask::Moves(reply) => {
                    let _left = reply.send(self.selector.moves(self.clock.now()));
                }
            }
        }
    }

    fn choose(&mut self, order: &Order) -> Result<Grant, SelectionRefusal> {
        let now = self.clock.now();
        let criteria = Criteria {
            service: &order.service,
            contexts: &order.contexts,
            tried: &order.tried,
            is_retry: order.again,
            content: order.content,
        };
        let choice = self.selector.choose(&criteria, rand::random(), now)?;
        let idle = self.idle.get_mut(&choice.target.name);
        let line = idle.and_then(|idle| {
            if idle.incarnation != choice.target.incarnation {
                idle.lines.clear();
            }
            idle.lines.retain(|line| line.is_usable(now));
            let newest = idle.lines.last()?;
            let fits = order.repeat == Idempotency::Idempotent || newest.idle_for(now) < FRESH;
            fits.then(|| idle.lines.pop()).flatten()
        });
        Ok(Grant { choice, line })
    }

    fn ended(&mut self, ended: Ended) {
        let now = self.clock.now();
        let Ended {
            target,
            end,
            line,
            sender,
            timing,
        } = ended;
        let finished = Finished {
            end,
            content: sender.content,
            team: sender.team.as_ref().unwrap_or(&self.anonymous),
            route: &sender.route,
            timing,
        };
        self.selector.record_end(&target, &finished, now);
        if let Some(line) = line
            && let Some(idle) = self.idle.get_mut(&target)
            && idle.lines.len() < MAX_IDLE
        {
            idle.lines.push(line);
        }
    }

    fn report(&mut self) -> Report {
        let now = self.clock.now();
        let open = self.selector.next_report();
        let crashes = self.selector.crash_marks().flat_map(|(content, mark)| {
            mark.crashes.iter().map(move |crash| {
                let suspicion = Suspicion {
                    content,
                    target: crash.target.clone(),
                    team: mark.team.clone(),
                };
                (suspicion, now.since(crash.time))
            })
        });
        let crashes = crashes.collect();
        let verdicts = self.selector.verdicts();
        Report {
            open,
            crashes,
            evidence: self.selector.version_counts(),
            verdicts,
        }
    }

    fn learn(&mut self, update: Update) {
        let now = self.clock.now();
        match update {
            Update::Put(record) => {
                let idle = self.idle.entry(record.name.clone()).or_insert(Idle {
                    incarnation: record.incarnation,
                    lines: Vec::new(),
                });
                if idle.incarnation != record.incarnation {
                    idle.incarnation = record.incarnation;
                    idle.lines.clear();
                }
                self.selector.put(record, now);
            }
            Update::Remove(name) => {
                self.idle.remove(&name);
                self.selector.remove(&name, now);
            }
            Update::Listed(names) => {
                self.idle.retain(|name, _| names.contains(name));
                self.selector.retain(&names, now);
            }
            Update::Evacuated(zones) => self.selector.set_evacuated(zones),
            Update::ColdRates(rates) => self.selector.set_cold_rates(rates),
            Update::Routers(routers, before) => {
                self.selector.set_routers(routers);
                self.selector.set_rank(before);
            }
            Update::Moves(orders) => self.selector.set_moves(orders, now),
            Update::MoveReported(order, progress) => {
                self.selector.record_move_progress(&order, progress);
            }
            Update::MoveJudged(step, verdict) => self.selector.record_move_verdict(&step, verdict),
            Update::Evidence(router, evidence) => {
                self.selector.record_version_counts(&router, &evidence);
            }
            Update::StoreLost => self.selector.record_store_failure(now),
            Update::Open(router, report) => self.selector.record_report(&router, &report, now),
            Update::Crash(suspicion, age) => {
                let Suspicion {
                    content,
                    target,
                    team,
                } = suspicion;
                let at = Time::ZERO + now.since(Time::ZERO + age);
                self.selector.record_crash(content, &target, &team, at);
            }
        }
    }
}
