//! The entry router's task that owns the target selector and the idle connections to targets.

use std::{collections::HashMap, time::Duration};

use ebonyfall_core::{
    code::Code,
    dispatch::room::ServiceRoom,
    doc::Idempotency,
    inspect::RoutingState,
    moves::MoveState,
    name::{ServiceName, TargetName, TeamName},
    notice::Notices,
    outcome::{End, Finished, Probe},
    selector::{Choice, Criteria, SelectionRefusal, TargetSelector},
    target::{ReportedLoad, TargetRecord},
    time::Time,
    timing::Timing,
};
use slog::Logger;
use tokio::{
    sync::{
        mpsc::{self, OwnedPermit},
        oneshot, watch,
    },
    time,
};

use crate::{
    ask::ask,
    clock::BootClock,
    supervisor::{Supervisor, TaskName},
    trace,
    upstream::TargetConnection,
};

mod check;
mod idle;
mod request;
mod update;

use check::{CheckReply, Checks, ProbeCause, Probed};
use idle::{IdleConnections, TargetRun};
use request::RequestOrigin;
pub use request::SelectionRequest;
pub use update::{CrashAttribution, PartReport, RouterReport, Update};

/// Maximum number of commands in the task's queue.
const QUEUE_LEN: usize = 8_192;
/// Shortest time between two publications of the services' capacity.
const ROOM_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum idle time of a connection that may carry a request that is not idempotent. A target may
/// close a connection that has been idle for longer just as the request is sent.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(1_000);

#[derive(Debug)]
enum Command {
    Choose(Box<ChooseCommand>),
    Ended(Box<EndedRequest>),
    Check(Box<TargetRecord>, CheckReply),
    Probed(Box<TargetRecord>, Probed),
    Load(TargetName, ReportedLoad),
    Notices(Box<TargetRecord>, Notices, Time),
    Update(Vec<Update>),
    Report(Vec<(ServiceName, u32)>, oneshot::Sender<RouterReport>),
    PartMarks(oneshot::Sender<Vec<PartReport>>),
    Moves(oneshot::Sender<Vec<MoveState>>),
    Inspect(oneshot::Sender<RoutingState>),
}

/// Request for a target.
#[derive(Debug)]
struct ChooseCommand {
    request: SelectionRequest,
    /// Place in the queue for the end of the request.
    permit: OwnedPermit<Command>,
    tx: mpsc::Sender<Command>,
    sent_at: Time,
    reply: oneshot::Sender<Result<Selection, SelectionRefusal>>,
}

/// A chosen target with an idle connection to it. If it does not reach the request, because that has ended
/// meanwhile, dropping it releases the slot.
type Selection = (Reservation, Option<TargetConnection>);

#[derive(Debug)]
struct EndedRequest {
    target: TargetName,
    run: TargetRun,
    end: End,
    connection: Option<TargetConnection>,
    origin: RequestOrigin,
    sent_at: Time,
    answer_begun: bool,
    timing: Option<Timing>,
}

/// Slot at the chosen target. Dropping the reservation releases the slot and records that the
/// caller disconnected.
#[derive(Debug)]
pub struct Reservation {
    /// Chosen target, with the figures that led to the choice.
    pub choice: Choice,
    permit: Option<OwnedPermit<Command>>,
    tx: mpsc::Sender<Command>,
    origin: RequestOrigin,
    sent_at: Time,
    answer_begun: bool,
    timing: Option<Timing>,
}

impl Reservation {
    /// Records the load that the target reported in its answer. The report is dropped if the task's
    /// queue is full, since a later answer carries a newer one.
    pub fn record_load(&self, load: ReportedLoad) {
        let target = self.choice.target.name.clone();
        let _full = self.tx.try_send(Command::Load(target, load));
    }

    /// Records what the target states about itself. The statement is dropped if the task's queue is
    /// full, since a later answer repeats it.
    pub fn record_notices(&self, notices: Notices) {
        let target = self.choice.target.clone();
        let command = Command::Notices(Box::new(target), notices, self.sent_at);
        let _full = self.tx.try_send(command);
    }

    /// Sets the duration of a single answer, or the mean time between events of a stream. It is
    /// recorded when the request finishes.
    pub fn record_timing(&mut self, timing: Timing) {
        self.timing = Some(timing);
    }

    /// Records that a part of the answer has arrived, which shows that the request does not crash the
    /// target.
    pub fn record_answer_begun(&mut self) {
        self.answer_begun = true;
    }

    /// Releases the slot and records the result. `connection` is kept for reuse; `None` if it
    /// cannot be reused.
    pub fn finish(mut self, end: End, connection: Option<TargetConnection>) {
        self.release(end, connection);
    }

    fn release(&mut self, end: End, connection: Option<TargetConnection>) {
        if let Some(permit) = self.permit.take() {
            permit.send(Command::Ended(Box::new(EndedRequest {
                target: self.choice.target.name.clone(),
                run: TargetRun::of(&self.choice.target),
                end,
                connection,
                origin: self.origin.clone(),
                sent_at: self.sent_at,
                answer_begun: self.answer_begun,
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

impl ChooseCommand {
    /// Answers the request with a reservation.
    fn answer(self, chosen: Result<(Choice, Option<TargetConnection>), SelectionRefusal>) {
        let selection = chosen.map(|(choice, connection)| {
            let reservation = Reservation {
                choice,
                permit: Some(self.permit),
                tx: self.tx,
                origin: self.request.origin(),
                sent_at: self.sent_at,
                answer_begun: false,
                timing: None,
            };
            (reservation, connection)
        });
        if let Err(Ok((reservation, connection))) = self.reply.send(selection) {
            reservation.finish(End::Cancelled, connection);
        }
    }
}

/// Handle of the task that owns the target selector.
#[derive(Debug, Clone)]
pub struct SelectorHandle {
    tx: mpsc::Sender<Command>,
    suspicions: watch::Receiver<u64>,
    rooms: watch::Receiver<Vec<ServiceRoom>>,
}

impl SelectorHandle {
    /// Starts the task, which ends when the last handle and reservation are dropped.
    ///
    /// # Panics
    ///
    /// Does not panic: the team name to parse is a literal.
    pub fn start(
        selector: TargetSelector,
        clock: BootClock,
        supervisor: &Supervisor,
        log: Logger,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let (suspicions_tx, suspicions) = watch::channel(0);
        let (rooms_tx, rooms) = watch::channel(Vec::new());
        let task = Task {
            selector,
            anonymous: TeamName::new("public").expect("the literal is a name"),
            clock,
            idle: HashMap::new(),
            probes: tx.downgrade(),
            supervisor: supervisor.clone(),
            checks: Checks::default(),
            suspicions: suspicions_tx,
            rooms: rooms_tx,
            rooms_at: Time::ZERO,
            log,
        };
        supervisor.spawn(TaskName::Selector, task.run(rx));
        Self {
            tx,
            suspicions,
            rooms,
        }
    }

    /// Selects a target. The connection is an idle one to that target; `None` if the caller has to
    /// open one.
    ///
    /// # Errors
    ///
    /// Returns the reason if no target can accept the request, or `ShuttingDown` if the task has
    /// ended.
    pub async fn choose(
        &self,
        request: SelectionRequest,
    ) -> Result<(Reservation, Option<TargetConnection>), SelectionRefusal> {
        let ended = SelectionRefusal {
            code: Code::ShuttingDown,
            after: Duration::ZERO,
            part: None,
        };
        let sent_at = BootClock.now();
        let permit = self
            .tx
            .clone()
            .reserve_owned()
            .await
            .map_err(|_ended| ended)?;
        let (reply, answer) = oneshot::channel();
        let command = Command::Choose(Box::new(ChooseCommand {
            request,
            permit,
            tx: self.tx.clone(),
            sent_at,
            reply,
        }));
        self.tx.send(command).await.map_err(|_ended| ended)?;
        answer.await.map_err(|_ended| ended)?
    }

    /// Checks whether a target accepts connections; `None` if the router itself cannot connect. Checks of
    /// one target share a connection, which is kept for a request.
    pub async fn check(&self, target: TargetRecord) -> Option<Probe> {
        ask(&self.tx, |reply| Command::Check(Box::new(target), reply))
            .await
            .flatten()
    }

    /// Applies `updates` in order.
    pub async fn update(&self, updates: Vec<Update>) {
        let _ended = self.tx.send(Command::Update(updates)).await;
    }

    /// Returns the next report to the other routers, with this router's open and waiting requests by
    /// service.
    pub async fn report(&self, demand: Vec<(ServiceName, u32)>) -> RouterReport {
        ask(&self.tx, |reply| Command::Report(demand, reply))
            .await
            .unwrap_or_default()
    }

    /// Returns a receiver that changes when this router's requests change what counts against prompt
    /// parts.
    pub fn suspicions(&self) -> watch::Receiver<u64> {
        self.suspicions.clone()
    }

    /// Returns a receiver of the capacity of each service that is limited.
    pub fn rooms(&self) -> watch::Receiver<Vec<ServiceRoom>> {
        self.rooms.clone()
    }

    /// Returns the crashes counted against prompt parts.
    pub async fn part_marks(&self) -> Vec<PartReport> {
        ask(&self.tx, Command::PartMarks).await.unwrap_or_default()
    }

    /// Returns a description of the selector's state for the dump.
    pub async fn inspect(&self) -> RoutingState {
        ask(&self.tx, Command::Inspect).await.unwrap_or_default()
    }

    /// Returns the state of all version moves, with the progress that this router has to report
    /// now.
    pub async fn moves(&self) -> Vec<MoveState> {
        ask(&self.tx, Command::Moves).await.unwrap_or_default()
    }
}

struct Task {
    selector: TargetSelector,
    /// Team to which requests on public routes are attributed.
    anonymous: TeamName,
    clock: BootClock,
    idle: HashMap<TargetName, IdleConnections>,
    /// Queue of this task, for the results of probes.
    probes: mpsc::WeakSender<Command>,
    supervisor: Supervisor,
    checks: Checks,
    /// Changes of what this router counts against prompt parts.
    suspicions: watch::Sender<u64>,
    /// Capacity of each service that is limited, for the task that dispatches requests.
    rooms: watch::Sender<Vec<ServiceRoom>>,
    /// When the capacity was published last.
    rooms_at: Time,
    log: Logger,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<Command>) {
        let mut rooms_changed = false;
        loop {
            let command = tokio::select! {
                biased;
                command = rx.recv() => command,
                () = time::sleep(ROOM_INTERVAL), if rooms_changed => {
                    self.publish_rooms();
                    rooms_changed = false;
                    continue;
                }
            };
            let Some(command) = command else {
                return;
            };
            match command {
                Command::Choose(command) => {
                    let selection = self.choose(&command.request);
                    command.answer(selection);
                }
                Command::Ended(ended) => self.record_end(*ended),
                Command::Check(target, reply) => self.check(*target, reply),
                Command::Probed(target, probed) => self.record_probed(&target, probed),
                Command::Load(target, load) => {
                    self.selector.record_load(&target, load, self.clock.now());
                }
                Command::Notices(target, notices, sent_at) => {
                    let now = self.clock.now();
                    self.selector
                        .record_notices(&target, &notices, sent_at, now);
                }
                Command::Update(batch) => batch.into_iter().for_each(|update| self.apply(update)),
                Command::Report(demand, reply) => {
                    self.selector.set_demand(demand);
                    let _caller_gone = reply.send(self.report());
                }
                Command::Inspect(reply) => {
                    let _caller_gone = reply.send(self.selector.inspect(self.clock.now()));
                }
                Command::PartMarks(reply) => {
                    let _caller_gone = reply.send(self.part_marks());
                }
                Command::Moves(reply) => {
                    let _caller_gone = reply.send(self.selector.moves(self.clock.now()));
                }
            }
            for event in self.selector.take_trace(self.clock.now()) {
                if event.is_own_suspicion() {
                    self.suspicions.send_modify(|changes| *changes += 1);
                }
                trace::log(&self.log, &event);
            }
            rooms_changed = self.clock.now().since(self.rooms_at) < ROOM_INTERVAL;
            if !rooms_changed {
                self.publish_rooms();
            }
        }
    }

    fn publish_rooms(&mut self) {
        let now = self.clock.now();
        self.rooms_at = now;
        self.rooms.send_replace(self.selector.rooms(now));
    }

    fn choose(
        &mut self,
        request: &SelectionRequest,
    ) -> Result<(Choice, Option<TargetConnection>), SelectionRefusal> {
        let now = self.clock.now();
        let criteria = Criteria {
            service: &request.service,
            contexts: &request.contexts,
            tried: &request.tried,
            is_retry: request.charge_retry,
            only: request.only.as_ref(),
            needs_slot: request.needs_slot,
            content: request.content,
            parts: &request.parts,
            team: request.team.as_ref().unwrap_or(&self.anonymous),
        };
        let choice = self.selector.choose(&criteria, rand::random(), now)?;
        let idle = self.idle.get_mut(&choice.target.name);
        let connection = idle.and_then(|idle| {
            idle.enter(TargetRun::of(&choice.target));
            idle.connections
                .retain(|connection| connection.is_usable(now));
            let newest = idle
                .connections
                .iter()
                .rposition(TargetConnection::is_ready)?;
            let reusable = request.idempotency == Idempotency::Idempotent
                || idle.connections[newest].idle_for(now) < MAX_IDLE_NON_IDEMPOTENT;
            reusable.then(|| idle.connections.remove(newest))
        });
        Ok((choice, connection))
    }

    fn record_end(&mut self, ended: EndedRequest) {
        let now = self.clock.now();
        let EndedRequest {
            target,
            run,
            end,
            connection,
            origin,
            sent_at,
            answer_begun,
            timing,
        } = ended;
        let finished = Finished {
            end,
            content: origin.content,
            parts: &origin.parts,
            sent_at,
            answer_begun,
            team: origin.team.as_ref().unwrap_or(&self.anonymous),
            route: &origin.route,
            timing,
        };
        if end.is_not_run() {
            self.selector.record_not_run(&target, &origin.contexts);
        }
        let doubtful = self.selector.record_end(&target, &finished, now);
        self.keep_idle(&target, run, connection);
        if let Some(target) = doubtful {
            self.probe(target, ProbeCause::Broken);
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
        let parts = self.part_marks();
        let verdicts = self.selector.verdicts();
        RouterReport {
            open,
            crashes,
            parts,
            limits: self.selector.limit_reports(now),
            evidence: self.selector.version_counts(),
            verdicts,
        }
    }

    fn part_marks(&self) -> Vec<PartReport> {
        let marks = self.selector.part_marks(self.clock.now());
        let reports = marks.map(|(part, mark, age)| PartReport {
            part,
            mark: mark.clone(),
            age,
        });
        reports.collect()
    }

    fn apply(&mut self, update: Update) {
        let now = self.clock.now();
        match update {
            Update::PutTarget(record) => {
                let run = TargetRun::of(&record);
                let idle = self.idle.entry(record.name.clone());
                let idle = idle.or_insert_with(|| IdleConnections::new(run));
                idle.enter(run);
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
            Update::Routers(count, rank) => self.selector.set_live_routers(count, rank, now),
            Update::Fleet(part) => self.selector.set_fleet(part, now),
            Update::Moves(orders) => self.selector.set_moves(orders, now),
            Update::MoveProgress(order, progress) => {
                self.selector.record_move_progress(&order, progress);
            }
            Update::MoveVerdict(name, verdict) => self.selector.record_move_verdict(&name, verdict),
            Update::Evidence(run, evidence) => {
                self.selector.record_version_counts(&run, &evidence);
            }
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
            Update::Limit(target, incarnation, report) => {
                self.selector
                    .record_limit_report(&target, incarnation, report, now);
            }
            Update::UnixOffset(offset) => self.selector.set_unix_offset(offset),
            Update::Part(PartReport { part, mark, age }) => {
                self.selector.record_part(part, &mark, age, now);
            }
        }
    }
}
