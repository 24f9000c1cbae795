//! The agent process: receives requests from routers, admits them and sends them to the engine or
//! service on its VM.

use std::{io, time::Duration};

use ebonyfall_core::{
    admit::RunOutcome,
    chat,
    claim::ClaimRef,
    code::{Code, Execution},
    doc::Workload,
    drain::DrainStatus,
    id::AttemptId,
    load::LoadBound,
    name::TargetName,
    pace::ramp::Capacity,
    peer::Role,
};
use ebonyfall_wire::frame::{Load, Submit, ToAgent, ToRouter};
use slog::{Logger, debug, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    time::{self, Instant},
};

use crate::{
    admin::Admin,
    admission::{AdmissionHandle, Handover, NewAttempt},
    clock::{self, Clock},
    control::ControlServer,
    engine::{Backend, EngineStatus},
    gossip::Gossip,
    guard::GuardHandle,
    link::{Identity, Link},
    metrics::Metrics,
    orders::{LoadedModel, ModelLoader},
    peers::{self, JoinError, JoinParams, Joined},
    platform::Platform,
    pointers::PointerHandle,
    session::Session,
    settings::AgentConfig,
    supervisor::{Supervisor, TaskName},
    view::{self, View, Views},
    web,
};

/// Time between polls of the engine's status, which limits how long a restart stays undetected.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the drain for which the agent still refuses requests, so that routers that have not
/// yet received the news of the shutdown get an answer.
const SHUTDOWN_LINGER: Duration = Duration::from_millis(200);

/// Error that ends the agent process.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// The address for connections of routers or for the admin interface cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}; free the address or change it"))]
    Listen {
        /// The address that could not be bound.
        address: std::net::SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The process could not join the gossip group.
    #[snafu(display("{source}"))]
    Join {
        /// Error from binding the address for other processes.
        source: JoinError,
    },
    /// The configuration document has no section for the agent's target.
    #[snafu(display(
        "the configuration document has no target {target}; add the target or correct the settings"
    ))]
    UnknownTarget {
        /// Target name from the settings, which the configuration does not contain.
        target: TargetName,
    },
    /// Requests were still open when the drain time ran out.
    #[snafu(display(
        "shutdown timed out with {left} requests still open; raise drain in the settings"
    ))]
    Unfinished {
        /// Number of requests that were still queued or running.
        left: u32,
    },
    /// A task that the agent needs has ended.
    #[snafu(display("the task {task} has ended; see the log for the cause"))]
    TaskEnded {
        /// The task.
        task: TaskName,
    },
}

/// A connection that can carry another request, and that request's first message if it has already
/// been received.
type ReusableLink = (Link, Option<ToAgent>);

#[derive(Debug, Clone)]
pub(crate) struct Agent {
    target: TargetName,
    identity: Identity,
    pub(crate) admission: AdmissionHandle,
    guard: GuardHandle,
    views: Views,
    pointers: PointerHandle,
    control: ControlServer,
    gossip: Gossip,
    pub(crate) backend: Backend,
    loaded: LoadedModel,
    metrics: Metrics,
    log: Logger,
}

/// Runs an agent until `stop` turns true.
///
/// # Errors
///
/// Fails if an address cannot be bound, the process cannot join the gossip group, the configuration
/// document does not contain the target, requests are still open after the drain time, or a task that
/// the agent needs has ended.
pub async fn run(
    cfg: AgentConfig,
    stop: watch::Receiver<bool>,
    log: Logger,
) -> Result<(), AgentError> {
    let metrics = Metrics::new();
    let supervisor = Supervisor::new(stop, metrics.ended_tasks.clone(), log.clone());
    run_supervised(cfg, metrics, supervisor, log).await
}

/// Like [`run`], with tasks that `supervisor` watches, until it stops the process.
///
/// # Errors
///
/// Fails like [`run`].
pub async fn run_supervised(
    cfg: AgentConfig,
    metrics: Metrics,
    supervisor: Supervisor,
    log: Logger,
) -> Result<(), AgentError> {
    serve(cfg, metrics, &supervisor, log).await?;
    match supervisor.ended() {
        Some(task) => TaskEndedSnafu { task }.fail(),
        None => Ok(()),
    }
}

async fn serve(
    cfg: AgentConfig,
    metrics: Metrics,
    supervisor: &Supervisor,
    log: Logger,
) -> Result<(), AgentError> {
    let mut stop = supervisor.stop();
    let clock = Clock::start();
    let platform = Platform::new(&cfg.common.platform);
    let config = view::start(
        platform.clone(),
        &cfg.common.name,
        metrics.clone(),
        supervisor,
        log.clone(),
    );
    let mut views = config.views().clone();
    let incarnation = view::incarnation(clock::unix_time());
    // Admission starts once the configuration document is known, as it sets the target's capacity.
    let (admission_tx, admission_rx) = watch::channel(None::<AdmissionHandle>);
    let target_differs = cfg.target.as_str() != cfg.common.name.as_str();
    let Joined {
        identity,
        gossip,
        control,
    } = peers::join(JoinParams {
        common: &cfg.common,
        incarnation,
        role: Role::Agent(target_differs.then(|| cfg.target.clone())),
        listen: cfg.listen,
        config: config.clone(),
        platform: platform.clone(),
        metrics: metrics.clone(),
        supervisor,
        log: log.clone(),
    })
    .await
    .context(JoinSnafu)?;
    let admin = Admin::new("agent", &cfg.common, incarnation, config, metrics.clone())
        .with_task_dump("gate", move || {
            let admission = admission_rx.borrow().clone();
            async move {
                match admission {
                    Some(admission) => Some(admission.load().await),
                    None => None,
                }
            }
        });
    let address = cfg.common.admin;
    admin
        .start(address, supervisor, log.clone())
        .await
        .context(ListenSnafu { address })?;
    let address = cfg.listen;
    let listener = TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })?;
    let view = tokio::select! {
        view = views.wait_for(Option::is_some) => view.ok().and_then(|view| view.clone()),
        _ = stop.wait_for(|stop| *stop) => return Ok(()),
    };
    let (admission, is_engine) = start_admission(&cfg.target, view.as_deref(), clock, supervisor)?;
    admission_tx.send_replace(Some(admission.clone()));
    let backend = Backend::new(&cfg.backend);
    let loaded = ModelLoader {
        target: cfg.target.clone(),
        agent: incarnation,
        backend: backend.clone(),
        platform,
        views: views.clone(),
        clock,
        supervisor: supervisor.clone(),
        log: log.clone(),
    }
    .start();
    let agent = Agent {
        guard: GuardHandle::start(incarnation, supervisor),
        admission,
        target: cfg.target,
        identity,
        control,
        gossip,
        views: views.clone(),
        pointers: PointerHandle::start(clock, supervisor),
        backend,
        loaded,
        metrics,
        log,
    };
    info!(agent.log, "agent ready"; "target" => %agent.target, "listen" => address);
    supervisor.spawn(TaskName::Status, agent.clone().monitor(views, is_engine));
    tokio::select! {
        () = agent.accept(listener) => Ok(()),
        ended = agent.shutdown(stop, cfg.common.drain) => ended,
    }
}

/// Starts the task that admits attempts to the target, if the document contains it; also returns whether
/// the target is an engine.
fn start_admission(
    target: &TargetName,
    view: Option<&View>,
    clock: Clock,
    supervisor: &Supervisor,
) -> Result<(AdmissionHandle, bool), AgentError> {
    let found = view.and_then(|view| Some((view, target_limits(view, target)?)));
    let Some((view, (capacity, quarantine))) = found else {
        let target = target.clone();
        return UnknownTargetSnafu { target }.fail();
    };
    let workload = &view.document.targets[target].workload;
    let is_engine = matches!(workload, Workload::Engine { .. });
    let multiple = view.document.limits.load_multiple;
    let load_bound = LoadBound::new(multiple, f64::from(capacity.slots));
    let name = target.clone();
    let admission =
        AdmissionHandle::start(name, capacity, load_bound, quarantine, clock, supervisor);
    Ok((admission, is_engine))
}

impl Agent {
    async fn accept(&self, listener: TcpListener) {
        loop {
            let (stream, _) = web::accept(&listener, &self.log).await;
            let agent = self.clone();
            tokio::spawn(async move { agent.serve_connection(stream).await });
        }
    }

    /// Waits for the stop signal, then refuses new requests and waits up to `drain` for the
    /// accepted ones to end.
    async fn shutdown(
        &self,
        mut stop: watch::Receiver<bool>,
        drain: Duration,
    ) -> Result<(), AgentError> {
        // A dropped sender means that the process is ending, as the signal does.
        let _ended = stop.wait_for(|stop| *stop).await;
        self.gossip.leave().await;
        let drained = self.admission.drain(drain).await;
        // Requests that were already in transit are refused, so that routers know that they were
        // not run. After a broken connection, routers would not know that.
        time::sleep(SHUTDOWN_LINGER).await;
        match drained {
            DrainStatus::Unfinished(left) => {
                warn!(self.log, "shutdown timed out with requests still open; closing them";
                    "left" => left);
                UnfinishedSnafu { left }.fail()
            }
            DrainStatus::Serving | DrainStatus::Waiting | DrainStatus::Nothing => Ok(()),
        }
    }

    /// Polls the engine's status and applies changed limits of the configuration document.
    async fn monitor(self, mut views: Views, is_engine: bool) {
        let mut ticks = time::interval(STATUS_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick(), if is_engine => {
                    let status = self.backend.status().await;
                    self.apply_status(status).await;
                }
                changed = views.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let limits = views
                        .borrow_and_update()
                        .as_ref()
                        .and_then(|view| target_limits(view, &self.target));
                    if let Some((capacity, quarantine)) = limits {
                        self.admission.set_limits(capacity, quarantine).await;
                    }
                }
            }
        }
    }

    async fn apply_status(&self, status: EngineStatus) {
        match status {
            EngineStatus::Up { incarnation, cold } => {
                self.admission
                    .report_engine(Some((incarnation, cold)))
                    .await;
            }
            EngineStatus::Down => self.admission.report_engine(None).await,
            EngineStatus::Unknown => {}
        }
    }

    async fn serve_connection(&self, stream: TcpStream) {
        let mut link = match Link::accept(&self.identity, stream).await {
            Ok(link) => link,
            Err(error) => {
                self.metrics.rejected_frames.inc();
                debug!(self.log, "connection rejected: handshake failed"; "error" => %error);
                return;
            }
        };
        let mut pending = None;
        loop {
            let message = match pending.take() {
                Some(message) => Ok(message),
                None => link.receive().await,
            };
            let next = match message {
                Ok(ToAgent::Submit(submit)) => self.serve_request(link, *submit).await,
                Ok(ToAgent::Resume { attempt, offset }) => {
                    self.resume_attempt(link, attempt, offset).await
                }
                Ok(ToAgent::Cancel { .. }) => None,
                Ok(ToAgent::Control(request)) => {
                    let answer = self.control.answer(&request).await;
                    let sent = link.send(&answer).await;
                    sent.is_ok().then_some((link, None))
                }
                Ok(ToAgent::Void(claim)) => {
                    let link = self.void_claim(link, claim).await;
                    link.map(|link| (link, None))
                }
                Ok(ToAgent::Moved { chat, target }) => {
                    if target != self.target {
                        self.pointers.set(chat, target).await;
                    }
                    Some((link, None))
                }
                Err(error) => {
                    debug!(self.log, "connection to router ended"; "error" => %error);
                    None
                }
            };
            let Some(next) = next else {
                return;
            };
            (link, pending) = next;
        }
    }

    /// Voids a claim and reports the outcome; returns the connection unless the reply failed.
    async fn void_claim(&self, mut link: Link, claim: ClaimRef) -> Option<Link> {
        let answer = self.guard.void(claim).await;
        let claim = claim.id;
        let sent = link.send(&ToRouter::Void { claim, answer }).await;
        sent.is_ok().then_some(link)
    }

    /// Passes a router's new connection to the running attempt; returns the connection if the
    /// attempt is not known.
    async fn resume_attempt(
        &self,
        mut link: Link,
        attempt: AttemptId,
        offset: u64,
    ) -> Option<ReusableLink> {
        let Some(handover) = self.admission.handover_sender(attempt).await else {
            // The submission may still arrive on the broken connection, so it is unknown whether
            // the request will run.
            let message = ToRouter::Refused {
                attempt,
                code: Code::LinkLost,
                retry_after_ms: 0,
                load: Load::default(),
                hint: None,
            };
            link.send(&message).await.ok()?;
            return Some((link, None));
        };
        let _ended = handover.send(Handover { link, offset }).await;
        None
    }

    /// Serves one request; returns the connection if it can carry another one.
    async fn serve_request(&self, mut link: Link, submit: Submit) -> Option<ReusableLink> {
        let attempt = submit.attempt;
        let version = submit.version.as_ref();
        let loaded = version.is_none_or(|version| self.loaded.can_serve(version));
        if submit.target != self.target || !loaded {
            self.metrics.count_result(Code::WrongTarget.name());
            let message = refusal_message(
                attempt,
                Code::WrongTarget,
                Duration::ZERO,
                Load::default(),
                None,
            );
            link.send(&message).await.ok()?;
            return Some((link, None));
        }
        let (chat, next_target) = (submit.chat, submit.next_target.clone());
        if submit.follow_pointers
            && let Some(moved) = self.pointers.find(chat).await
        {
            self.metrics.count_result(Code::Moved.name());
            let load = self.admission.load().await;
            let message = refusal_message(attempt, Code::Moved, Duration::ZERO, load, Some(moved));
            link.send(&message).await.ok()?;
            return Some((link, None));
        }
        let claim = submit.claim;
        // The guard records the claim before admission, so that a claim that is refused admission
        // is known not to have run.
        if let Err(code) = self.guard.start_claim(claim).await {
            self.metrics.count_result(code.name());
            let message = refusal_message(attempt, code, Duration::ZERO, Load::default(), None);
            link.send(&message).await.ok()?;
            return Some((link, None));
        }
        let deadline = Instant::now() + submit.time_left;
        let (tx, rx) = mpsc::channel(1);
        let mut session = Session::new(attempt, link, rx);
        let mut admitted = self.admission.enqueue(self.new_attempt(&submit, tx)).await;
        let admitted = loop {
            tokio::select! {
                admitted = &mut admitted => break admitted,
                signal = session.next_signal() => {
                    if !session.on_signal(signal).await {
                        self.guard.finish_claim(claim, Execution::NotRun).await;
                        self.admission.forget(attempt).await;
                        return None;
                    }
                }
            }
        };
        if let Err((refusal, load)) = admitted.ok()? {
            self.guard.finish_claim(claim, Execution::NotRun).await;
            self.metrics.count_result(refusal.code.name());
            let hint = match (refusal.code, next_target) {
                (Code::OverBound, Some(next_target)) => {
                    self.pointers.find_or_set(chat, next_target).await
                }
                _ => None,
            };
            let message = refusal_message(attempt, refusal.code, refusal.retry_after, load, hint);
            return session.finish(message).await;
        }
        self.pointers.clear(chat).await;
        let Some(outcome) = self.serve(&mut session, submit, deadline).await else {
            // The call was dropped, which closed the connection to the back end and so cancelled
            // the request there.
            self.guard.finish_claim(claim, Execution::Unknown).await;
            self.admission.forget(attempt).await;
            return None;
        };
        let execution = outcome.map_or_else(Code::execution, |_| Execution::Ran);
        self.guard.finish_claim(claim, execution).await;
        let run_outcome = match outcome {
            Ok(length) => RunOutcome::Completed(usize::try_from(length).unwrap_or(usize::MAX)),
            Err(Code::EngineCrashed) => RunOutcome::Crashed,
            Err(Code::EngineUnreachable) => RunOutcome::Unreachable,
            Err(Code::EngineTimeout) => RunOutcome::Abandoned,
            Err(_) => RunOutcome::Failed,
        };
        let (load, suspect) = self.admission.finish(attempt, run_outcome).await;
        let message = match outcome {
            Ok(length) => {
                self.metrics.count_result("Ok");
                ToRouter::Done {
                    attempt,
                    length,
                    load,
                }
            }
            Err(code) => {
                // Other requests that the crash interrupted report a plain failure: routers treat
                // the request of an `EngineCrashed` attempt as a possible cause of the crash.
                let is_clear = code == Code::EngineCrashed && !suspect;
                let code = if is_clear { Code::EngineFailed } else { code };
                self.metrics.count_result(code.name());
                refusal_message(attempt, code, Duration::ZERO, load, None)
            }
        };
        let next = session.finish(message).await;
        self.admission.forget(attempt).await;
        next
    }

    fn new_attempt(&self, submit: &Submit, handover: mpsc::Sender<Handover>) -> NewAttempt {
        let view = self.views.borrow();
        let team = view
            .as_ref()
            .and_then(|view| view.document.teams.get(&submit.team));
        NewAttempt {
            attempt: submit.attempt,
            team: submit.team.clone(),
            weight: team.map_or(1, |team| team.weight),
            priority: submit.priority,
            time_left: submit.time_left,
            apply_load_bound: submit.apply_load_bound,
            fingerprint: chat::fingerprint(&submit.team, &submit.call.body),
            reported_crash: submit.suspect.clone(),
            handover,
        }
    }
}

fn refusal_message(
    attempt: AttemptId,
    code: Code,
    retry_after: Duration,
    load: Load,
    hint: Option<TargetName>,
) -> ToRouter {
    ToRouter::Refused {
        attempt,
        code,
        retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
        load,
        hint,
    }
}

/// Returns the target's capacity and the duration of quarantines, or `None` if the configuration
/// document does not contain the target.
fn target_limits(view: &View, target: &TargetName) -> Option<(Capacity, Duration)> {
    let limits = &view.document.limits;
    let target = view.document.targets.get(target)?;
    let capacity = Capacity {
        slots: target.slots,
        cold_slots: target.cold_slots,
        queue: limits.queue_capacity,
    };
    Some((capacity, limits.quarantine))
}
