//! The task that owns the steering state and the idle connections to targets.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use ebonyfall_core::{
    changeover::{MoveOrder, Progress},
    code::Code,
    dissemination::Verdict,
    doc::Idempotency,
    id::{Fingerprint, Incarnation},
    inspect::RoutingState,
    moves::{Evidence, MoveState, MoveVerdict},
    name::{MoveName, ProcessName, RouteName, ServiceName, TargetName, TeamName, ZoneName},
    outcome::{End, Finished},
    pace::Timing,
    reports::OpenReport,
    steer::{Choice, Criteria, Refusal, TargetSelector},
    target::{ReportedLoad, TargetRecord},
    time::Time,
};
use tokio::sync::{
    mpsc::{self, OwnedPermit},
    oneshot,
};

use crate::{clock::BootClock, upstream::Line};

/// Messages that may wait for the task.
const QUEUE_LEN: usize = 8_192;
/// Idle time up to which a connection carries a request that must not run twice. A target may
/// close an older one just as the request is sent.
const MAX_IDLE_NOT_REPEATABLE: Duration = Duration::from_millis(1_000);
/// Idle connections kept for one target.
const MAX_IDLE_PER_TARGET: usize = 32;

/// What a request asks for.
#[derive(Debug, Clone)]
pub struct SelectionRequest {
    /// The service that it goes to.
    pub service: ServiceName,
    /// Hashes of the prompt parts that it shares with others, the shortest first.
    pub contexts: Vec<u64>,
    /// Targets that were tried before.
    pub tried: Vec<TargetName>,
    /// Whether it takes a repeat from the retry budget.
    pub charge_retry: bool,
    /// Whether it may run more than once.
    pub repeat: Idempotency,
    /// Hash of team and content.
    pub content: Fingerprint,
    /// The team.
    pub team: Option<TeamName>,
    /// The route.
    pub route: RouteName,
}

impl SelectionRequest {
    fn origin(&self) -> RequestOrigin {
        RequestOrigin {
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
    PutTarget(TargetRecord),
    /// A target's entry is gone.
    RemoveTarget(TargetName),
    /// Every target that is listed; others are gone.
    RetainTargets(HashSet<TargetName>),
    /// The zones that get no work.
    EvacuatedZones(HashSet<ZoneName>),
    /// Requests a second that a cold target of each service bears.
    ColdRates(HashMap<ServiceName, f64>),
    /// Routers that share the fleet's bounds, and how many of them come before this one.
    Routers(u32, u32),
    /// All orders of version moves.
    Moves(Vec<MoveOrder>),
    /// The state of a version move that operators can read.
    MoveProgress(MoveOrder, Progress),
    /// Another router's verdict on a version move.
    MoveVerdict(MoveName, Verdict),
    /// What another router has counted of a version move.
    Evidence(ProcessName, Evidence),
    /// The store did not answer.
    StoreFailed,
    /// What another router says of its requests.
    OpenReport(ProcessName, OpenReport),
    /// A crash that another router put down to a request, some time ago.
    Crash(CrashAttribution, Duration),
}

/// A crash that is put down to a request.
#[derive(Debug, Clone)]
pub struct CrashAttribution {
    /// Hash of team and content.
    pub content: Fingerprint,
    /// The target that crashed.
    pub target: TargetName,
    /// The team that sent the request.
    pub team: TeamName,
}

/// What is reported to other routers.
#[derive(Debug, Default)]
pub struct RouterReport {
    /// The requests.
    pub open: OpenReport,
    /// Crashes that were put down to requests, with the time that has passed since.
    pub crashes: Vec<(CrashAttribution, Duration)>,
    /// Counts of version moves.
    pub evidence: Vec<Evidence>,
    /// Verdicts on version moves.
    pub verdicts: Vec<MoveVerdict>,
}

#[derive(Debug)]
enum Command {
    Choose(
        Box<SelectionRequest>,
        oneshot::Sender<Result<Selection, Refusal>>,
    ),
    Ended(Box<EndedRequest>),
    Load(TargetName, ReportedLoad),
    Update(Vec<Update>),
    Report(oneshot::Sender<RouterReport>),
    Moves(oneshot::Sender<Vec<MoveState>>),
    Inspect(oneshot::Sender<RoutingState>),
}

#[derive(Debug)]
struct Selection {
    choice: Choice,
    connection: Option<Line>,
}

#[derive(Debug)]
struct EndedRequest {
    target: TargetName,
    end: End,
    connection: Option<Line>,
    origin: RequestOrigin,
    timing: Option<Timing>,
}

/// Whose request it is, for what its end says about targets.
#[derive(Debug, Clone)]
struct RequestOrigin {
    content: Fingerprint,
    team: Option<TeamName>,
    route: RouteName,
}

/// A place at a target. Dropping it tells the task that the caller left.
#[derive(Debug)]
pub struct Reservation {
    /// The chosen target and what decided the choice.
    pub choice: Choice,
    permit: Option<OwnedPermit<Command>>,
    selector: SelectorHandle,
    origin: RequestOrigin,
    timing: Option<Timing>,
}

impl Reservation {
    /// Tells the task the load that the target named. It is left out while the task is behind,
    /// since a later answer names a newer one.
    pub fn record_load(&self, load: ReportedLoad) {
        let target = self.choice.target.name.clone();
        let _full = self.selector.0.try_send(Command::Load(target, load));
    }

    /// Records how long the answer took.
    pub fn record_timing(&mut self, timing: Timing) {
        self.timing = Some(timing);
    }

    /// Gives the place back, with the connection if it can be used again.
    pub fn finish(mut self, end: End, connection: Option<Line>) {
        self.release(end, connection);
    }

    fn release(&mut self, end: End, connection: Option<Line>) {
        if let Some(permit) = self.permit.take() {
            permit.send(Command::Ended(Box::new(EndedRequest {
                target: self.choice.target.name.clone(),
                end,
                connection,
                origin: self.origin.clone(),
                timing: self.timing,
            })));
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release(End::Cancelled, None);
    }
}

/// Reaches the task.
#[derive(Debug, Clone)]
pub struct SelectorHandle(mpsc::Sender<Command>);

impl SelectorHandle {
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
        request: SelectionRequest,
    ) -> Result<(Reservation, Option<Line>), Refusal> {
        let ended = Refusal {
            code: Code::ShuttingDown,
            after: Duration::ZERO,
        };
        let origin = request.origin();
        let permit = self
            .0
            .clone()
            .reserve_owned()
            .await
            .map_err(|_ended| ended)?;
        let (reply, answer) = oneshot::channel();
        let command = Command::Choose(Box::new(request), reply);
        self.0.send(command).await.map_err(|_ended| ended)?;
        let Selection { choice, connection } = answer.await.map_err(|_ended| ended)??;
        let reservation = Reservation {
            choice,
            permit: Some(permit),
            selector: self.clone(),
            origin,
            timing: None,
        };
        Ok((reservation, connection))
    }

    /// Sends changes to the task.
    pub async fn update(&self, updates: Vec<Update>) {
        let _ended = self.0.send(Command::Update(updates)).await;
    }

    /// What is to be reported to other routers.
    pub async fn report(&self) -> RouterReport {
        let (reply, answer) = oneshot::channel();
        let _ended = self.0.send(Command::Report(reply)).await;
        answer.await.unwrap_or_default()
    }

    /// The task's state as people read it.
    pub async fn inspect(&self) -> RoutingState {
        let (reply, answer) = oneshot::channel();
        let _ended = self.0.send(Command::Inspect(reply)).await;
        answer.await.unwrap_or_default()
    }

    /// The state of version moves, and what this router has to report of them now.
    pub async fn moves(&self) -> Vec<MoveState> {
        let (reply, answer) = oneshot::channel();
        let _ended = self.0.send(Command::Moves(reply)).await;
        answer.await.unwrap_or_default()
    }
}

struct Task {
    selector: TargetSelector,
    /// Stands for callers of public routes.
    anonymous: TeamName,
    clock: BootClock,
    idle: HashMap<TargetName, IdleConnections>,
}

struct IdleConnections {
    incarnation: Incarnation,
    connections: Vec<Line>,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<Command>) {
        while let Some(command) = rx.recv().await {
            match command {
                Command::Choose(request, reply) => {
                    let selection = self.choose(&request);
                    // A caller that left meanwhile gives its place back.
                    if let Err(Ok(selection)) = reply.send(selection) {
                        self.record_end(EndedRequest {
                            target: selection.choice.target.name,
                            end: End::Cancelled,
                            connection: selection.connection,
                            origin: request.origin(),
                            timing: None,
                        });
                    }
                }
                Command::Ended(ended) => self.record_end(*ended),
                Command::Load(target, load) => {
                    self.selector.record_load(&target, load, self.clock.now());
                }
                Command::Update(batch) => batch.into_iter().for_each(|update| self.apply(update)),
                Command::Report(reply) => {
                    let _left = reply.send(self.report());
                }
                Command::Inspect(reply) => {
                    let _left = reply.send(self.selector.inspect(self.clock.now()));
                }
                Command::Moves(reply) => {
                    let _left = reply.send(self.selector.moves(self.clock.now()));
                }
            }
        }
    }

    fn choose(&mut self, request: &SelectionRequest) -> Result<Selection, Refusal> {
        let now = self.clock.now();
        let criteria = Criteria {
            service: &request.service,
            contexts: &request.contexts,
            tried: &request.tried,
            repeat: request.charge_retry,
            content: request.content,
        };
        let choice = self.selector.choose(&criteria, rand::random(), now)?;
        let idle = self.idle.get_mut(&choice.target.name);
        let connection = idle.and_then(|idle| {
            if idle.incarnation != choice.target.incarnation {
                idle.connections.clear();
            }
            idle.connections
                .retain(|connection| connection.is_usable(now));
            let newest = idle.connections.last()?;
            let reusable = request.repeat == Idempotency::Idempotent
                || newest.idle_for(now) < MAX_IDLE_NOT_REPEATABLE;
            reusable.then(|| idle.connections.pop()).flatten()
        });
        Ok(Selection { choice, connection })
    }

    fn record_end(&mut self, ended: EndedRequest) {
        let now = self.clock.now();
        let EndedRequest {
            target,
            end,
            connection,
            origin,
            timing,
        } = ended;
        let finished = Finished {
            end,
            content: origin.content,
            team: origin.team.as_ref().unwrap_or(&self.anonymous),
            route: &origin.route,
            timing,
        };
        self.selector.record_end(&target, &finished, now);
        if let Some(connection) = connection
            && let Some(idle) = self.idle.get_mut(&target)
            && idle.connections.len() < MAX_IDLE_PER_TARGET
        {
            idle.connections.push(connection);
        }
    }

    fn report(&mut self) -> RouterReport {
        let now = self.clock.now();
        let open = self.selector.next_report();
        let crashes = self.selector.crash_marks().flat_map(|(content, mark)| {
            mark.crashes.iter().map(move |crash| {
                let attribution = CrashAttribution {
                    content,
                    target: crash.target.clone(),
                    team: mark.team.clone(),
                };
                (attribution, now.since(crash.time))
            })
        });
        let crashes = crashes.collect();
        let verdicts = self.selector.verdicts();
        RouterReport {
            open,
            crashes,
            evidence: self.selector.evidence(),
            verdicts,
        }
    }

    fn apply(&mut self, update: Update) {
        let now = self.clock.now();
        match update {
            Update::PutTarget(record) => {
                let idle = self
                    .idle
                    .entry(record.name.clone())
                    .or_insert(IdleConnections {
                        incarnation: record.incarnation,
                        connections: Vec::new(),
                    });
                if idle.incarnation != record.incarnation {
                    idle.incarnation = record.incarnation;
                    idle.connections.clear();
                }
                self.selector.put(record, now);
            }
            Update::RemoveTarget(name) => {
                self.idle.remove(&name);
                self.selector.remove(&name, now);
            }
            Update::RetainTargets(names) => {
                self.idle.retain(|name, _| names.contains(name));
                self.selector.retain(&names, now);
            }
            Update::EvacuatedZones(zones) => self.selector.set_evacuated(zones),
            Update::ColdRates(rates) => self.selector.set_cold_rates(rates),
            Update::Routers(routers, rank) => {
                self.selector.set_routers(routers);
                self.selector.set_rank(rank);
            }
            Update::Moves(orders) => self.selector.set_moves(orders, now),
            Update::MoveProgress(order, progress) => {
                self.selector.record_move_progress(&order, progress);
            }
            Update::MoveVerdict(name, verdict) => self.selector.record_move_verdict(&name, verdict),
            Update::Evidence(router, evidence) => self.selector.record_evidence(&router, &evidence),
            Update::StoreFailed => self.selector.record_store_failure(now),
            Update::OpenReport(name, report) => self.selector.record_report(&name, &report, now),
            Update::Crash(attribution, age) => {
                let CrashAttribution {
                    content,
                    target,
                    team,
                } = attribution;
                let at = Time::ZERO + now.since(Time::ZERO + age);
                self.selector.record_crash(content, &target, &team, at);
            }
        }
    }
}
