//! The agent: takes requests from routers and hands them to the target on its VM.

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
    peer::Role,
    ramp::Capacity,
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
    clock::{self, Clock},
    control::ControlServer,
    engine::{Backend, Status},
    gate::{Entry, Gate, Handover},
    gossip::Gossip,
    guard::Guard,
    link::{Identity, Link},
    metrics::Metrics,
    orders::{Loaded, Loader},
    peers::{self, JoinError, JoinParams, Joined},
    platform::Platform,
    pointers::PointerTask,
    session::Session,
    settings::AgentConfig,
    view::{self, View, Views},
    web,
};

/// Time between two questions for the engine's report; it bounds how long a restart goes unnoticed.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);
/// How long an agent without requests still answers before it ends.
const LINGER: Duration = Duration::from_millis(200);

/// The agent cannot run.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// The listening address cannot be used.
    #[snafu(display("cannot listen on {address}: {source}; free the address or change it"))]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The process cannot join the others.
    #[snafu(display("{source}"))]
    Join {
        /// What is wrong.
        source: JoinError,
    },
    /// The document does not name the target.
    #[snafu(display("the document names no target {target}; add it or correct the settings"))]
    UnknownTarget {
        /// The target in the settings.
        target: TargetName,
    },
    /// The shutdown ended with requests left over.
    #[snafu(display(
        "{left} requests were left when the shutdown ended; raise drain in the settings"
    ))]
    Unfinished {
        /// Requests that were running or waiting.
        left: u32,
    },
}

/// A connection for the next request, with the message that came already.
type Next = (Link, Option<ToAgent>);

#[derive(Debug, Clone)]
pub(crate) struct Agent {
    target: TargetName,
    identity: Identity,
    pub(crate) gate: Gate,
    guard: Guard,
    views: Views,
    pointers: PointerTask,
    control: ControlServer,
    gossip: Gossip,
    pub(crate) backend: Backend,
    loaded: Loaded,
    metrics: Metrics,
    log: Logger,
}

/// Runs an agent until `stop` turns true.
///
/// # Errors
///
/// Fails when it cannot listen, or the document does not name its target.
pub async fn run(
    cfg: AgentConfig,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) -> Result<(), AgentError> {
    let clock = Clock::start();
    let platform = Platform::new(&cfg.common.platform);
    let metrics = Metrics::new();
    let config = view::follow(
        platform.clone(),
        &cfg.common.name,
        metrics.clone(),
        log.clone(),
    );
    let mut views = config.views().clone();
    let incarnation = view::incarnation(clock::unix_time());
    // The gate starts when the document has told the target's capacity.
    let (gate_tx, gate_rx) = watch::channel(None::<Gate>);
    let own_target = cfg.target.as_str() != cfg.common.name.as_str();
    let Joined {
        identity,
        gossip,
        control,
    } = peers::join(JoinParams {
        common: &cfg.common,
        incarnation,
        role: Role::Agent(own_target.then(|| cfg.target.clone())),
        listen: cfg.listen,
        config: config.clone(),
        platform: platform.clone(),
        metrics: metrics.clone(),
        stop: stop.clone(),
        log: log.clone(),
    })
    .await
    .context(JoinSnafu)?;
    let admin = Admin::new("agent", &cfg.common, incarnation, config, metrics.clone()).with_part(
        "gate",
        move || {
            let gate = gate_rx.borrow().clone();
            async move {
                match gate {
                    Some(gate) => Some(gate.load().await),
                    None => None,
                }
            }
        },
    );
    let address = cfg.common.admin;
    admin
        .start(address, stop.clone(), log.clone())
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
    let view = view.as_ref();
    let found = view.and_then(|view| Some((view, limits(view, &cfg.target)?)));
    let Some((view, (capacity, hold))) = found else {
        return UnknownTargetSnafu { target: cfg.target }.fail();
    };
    let runs = &view.document.targets[&cfg.target].workload;
    let is_engine = matches!(runs, Workload::Engine { .. });
    let multiple = view.document.limits.load_multiple;
    let own = LoadBound::new(multiple, f64::from(capacity.slots));
    let gate = Gate::start(cfg.target.clone(), capacity, own, hold, clock);
    gate_tx.send_replace(Some(gate.clone()));
    let backend = Backend::new(cfg.backend);
    let loaded = Loader {
        target: cfg.target.clone(),
        agent: incarnation,
        backend: backend.clone(),
        platform,
        views: views.clone(),
        clock,
        log: log.clone(),
    }
    .start();
    let agent = Agent {
        guard: Guard::start(incarnation),
        gate,
        target: cfg.target,
        identity,
        control,
        gossip,
        views: views.clone(),
        pointers: PointerTask::start(clock),
        backend,
        loaded,
        metrics,
        log,
    };
    info!(agent.log, "agent ready"; "target" => %agent.target, "listen" => address);
    tokio::spawn(agent.clone().watch(views, is_engine));
    tokio::select! {
        () = agent.accept(listener) => Ok(()),
        ended = agent.shutdown(stop, cfg.common.drain) => ended,
    }
}

impl Agent {
    async fn accept(&self, listener: TcpListener) {
        loop {
            let (stream, _) = web::accept(&listener, &self.log).await;
            let agent = self.clone();
            tokio::spawn(async move { agent.connection(stream).await });
        }
    }

    /// Waits for the stop signal, then for the requests that were taken before it.
    async fn shutdown(
        &self,
        mut stop: watch::Receiver<bool>,
        drain: Duration,
    ) -> Result<(), AgentError> {
        // Without the sender the process is ending anyway.
        let _ended = stop.wait_for(|stop| *stop).await;
        self.gossip.leave().await;
        let left = self.gate.drain(drain).await;
        // Requests that were on their way meanwhile get a refusal that is certain instead of a
        // broken connection.
        time::sleep(LINGER).await;
        match left {
            DrainStatus::Unfinished(left) => {
                warn!(self.log, "requests left at the end of the shutdown"; "left" => left);
                UnfinishedSnafu { left }.fail()
            }
            DrainStatus::Serving | DrainStatus::Waiting | DrainStatus::Nothing => Ok(()),
        }
    }

    /// Follows the engine's report of itself and the document's limits.
    async fn watch(self, mut views: Views, is_engine: bool) {
        let mut ticks = time::interval(STATUS_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick(), if is_engine => {
                    let status = self.backend.status().await;
                    self.report(status).await;
                }
                changed = views.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let limits = views.borrow_and_update().as_ref().and_then(|view| limits(view, &self.target));
                    if let Some((capacity, hold)) = limits {
                        self.gate.resize(capacity, hold).await;
                    }
                }
            }
        }
    }

    async fn report(&self, status: Status) {
        match status {
            Status::Up { incarnation, cold } => self.gate.report(Some((incarnation, cold))).await,
            Status::Down => self.gate.report(None).await,
            Status::Silent => {}
        }
    }

    async fn connection(&self, stream: TcpStream) {
        let mut link = match Link::accept(&self.identity, stream).await {
            Ok(link) => link,
            Err(error) => {
                self.metrics.rejected_frames.inc();
                debug!(self.log, "connection refused"; "error" => %error);
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
                Ok(ToAgent::Submit(submit)) => self.request(link, *submit).await,
                Ok(ToAgent::Resume { attempt, offset }) => self.resume(link, attempt, offset).await,
                Ok(ToAgent::Cancel { .. }) => None,
                Ok(ToAgent::Control(ask)) => {
                    let answer = self.control.answer(&ask).await;
                    let sent = link.send(&answer).await;
                    sent.is_ok().then_some((link, None))
                }
                Ok(ToAgent::Void(claim)) => {
                    let link = self.void(link, claim).await;
                    link.map(|link| (link, None))
                }
                Ok(ToAgent::Moved { chat, target }) => {
                    if target != self.target {
                        self.pointers.set(chat, target).await;
                    }
                    Some((link, None))
                }
                Err(error) => {
                    debug!(self.log, "connection ended"; "error" => %error);
                    None
                }
            };
            let Some(next) = next else {
                return;
            };
            (link, pending) = next;
        }
    }

    /// Makes sure that a claim never runs, unless it did or does.
    async fn void(&self, mut link: Link, claim: ClaimRef) -> Option<Link> {
        let answer = self.guard.void(claim).await;
        let claim = claim.id;
        let sent = link.send(&ToRouter::Void { claim, answer }).await;
        sent.is_ok().then_some(link)
    }

    /// Hands the connection to the attempt that it is meant for.
    async fn resume(&self, mut link: Link, attempt: AttemptId, offset: u64) -> Option<Next> {
        let Some(handover) = self.gate.find(attempt).await else {
            // The submission may still be on its way on the broken connection, so that nothing
            // certain can be said.
            let refused = ToRouter::Refused {
                attempt,
                code: Code::LinkLost,
                retry_after_ms: 0,
                load: Load::default(),
                hint: None,
            };
            link.send(&refused).await.ok()?;
            return Some((link, None));
        };
        let _ended = handover.send(Handover { link, offset }).await;
        None
    }

    /// Serves one request; returns the connection when it can be used again.
    async fn request(&self, mut link: Link, submit: Submit) -> Option<Next> {
        let attempt = submit.attempt;
        let version = submit.version.as_ref();
        let loaded = version.is_none_or(|version| self.loaded.runs(version));
        if submit.target != self.target || !loaded {
            self.metrics.count_result(Code::WrongTarget.name());
            let refused = refused(
                attempt,
                Code::WrongTarget,
                Duration::ZERO,
                Load::default(),
                None,
            );
            link.send(&refused).await.ok()?;
            return Some((link, None));
        }
        let (chat, second) = (submit.chat, submit.next_target.clone());
        if submit.follow_pointers
            && let Some(moved) = self.pointers.find(chat).await
        {
            self.metrics.count_result(Code::Moved.name());
            let load = self.gate.load().await;
            let refused = refused(attempt, Code::Moved, Duration::ZERO, load, Some(moved));
            link.send(&refused).await.ok()?;
            return Some((link, None));
        }
        let claim = submit.claim;
        // The guard comes first, so that a claim that is refused admission is known never to run.
        if let Err(code) = self.guard.enter(claim).await {
            self.metrics.count_result(code.name());
            let refused = refused(attempt, code, Duration::ZERO, Load::default(), None);
            link.send(&refused).await.ok()?;
            return Some((link, None));
        }
        let deadline = Instant::now() + submit.time_left;
        let (tx, rx) = mpsc::channel(1);
        let mut session = Session::new(attempt, link, rx);
        let mut admitted = self.gate.enter(self.entry(&submit, tx)).await;
        let admitted = loop {
            tokio::select! {
                admitted = &mut admitted => break admitted,
                signal = session.signal() => {
                    if !session.on_signal(signal).await {
                        self.guard.ended(claim, Execution::NotRun).await;
                        self.gate.gone(attempt).await;
                        return None;
                    }
                }
            }
        };
        if let Err((refusal, load)) = admitted.ok()? {
            self.guard.ended(claim, Execution::NotRun).await;
            self.metrics.count_result(refusal.code.name());
            let hint = match (refusal.code, second) {
                (Code::OverBound, Some(second)) => self.pointers.settle(chat, second).await,
                _ => None,
            };
            let refused = refused(attempt, refusal.code, refusal.retry_after, load, hint);
            return session.settle(refused).await;
        }
        self.pointers.clear(chat).await;
        let Some(outcome) = self.serve(&mut session, submit, deadline).await else {
            // Dropping the call has closed the back end's connection, which cancels its work.
            self.guard.ended(claim, Execution::Unknown).await;
            self.gate.gone(attempt).await;
            return None;
        };
        let ran = outcome.map_or_else(Code::execution, |_| Execution::Ran);
        self.guard.ended(claim, ran).await;
        let end = match outcome {
            Ok(length) => RunOutcome::Completed(usize::try_from(length).unwrap_or(usize::MAX)),
            Err(Code::EngineCrashed) => RunOutcome::Crashed,
            Err(Code::EngineUnreachable) => RunOutcome::Unreachable,
            Err(Code::EngineTimeout) => RunOutcome::Abandoned,
            Err(_) => RunOutcome::Failed,
        };
        let (load, suspect) = self.gate.finish(attempt, end).await;
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
                // Only the requests that may have caused the crash are to be treated as suspects.
                let clear = code == Code::EngineCrashed && !suspect;
                let code = if clear { Code::EngineFailed } else { code };
                self.metrics.count_result(code.name());
                refused(attempt, code, Duration::ZERO, load, None)
            }
        };
        let settled = session.settle(message).await;
        self.gate.gone(attempt).await;
        settled
    }

    fn entry(&self, submit: &Submit, handover: mpsc::Sender<Handover>) -> Entry {
        let view = self.views.borrow();
        let team = view
            .as_ref()
            .and_then(|view| view.document.teams.get(&submit.team));
        Entry {
            attempt: submit.attempt,
            team: submit.team.clone(),
            weight: team.map_or(1, |team| team.weight),
            priority: submit.priority,
            left: submit.time_left,
            bounded: submit.apply_load_bound,
            fingerprint: chat::fingerprint(&submit.team, &submit.call.body),
            suspect: submit.suspect.clone(),
            handover,
        }
    }
}

fn refused(
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

/// The limits that the document gives a target.
fn limits(view: &View, target: &TargetName) -> Option<(Capacity, Duration)> {
    let limits = &view.document.limits;
    let target = view.document.targets.get(target)?;
    let capacity = Capacity {
        slots: target.slots,
        cold_slots: target.cold_slots,
        queue: limits.queue_capacity,
    };
    Some((capacity, limits.quarantine))
}
