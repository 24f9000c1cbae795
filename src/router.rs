//! The router process: accepts callers' HTTP requests and forwards them to targets.

use std::{io, net::SocketAddr, time::Duration};

use ebonyfall_core::peer::Role;
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    admin::Admin,
    body::RequestBodies,
    callers::CallerGuard,
    claims::Claims,
    clock::{self, Clock},
    front,
    gossip::Gossip,
    metrics::Metrics,
    peers::{self, JoinError, JoinParams, Joined},
    picker::Picker,
    platform::Platform,
    pool::LinkPool,
    quarantine,
    receive::AnswerBuffers,
    relay::Relay,
    retrier::Retrier,
    rollouts::Rollouts,
    settings::{CallerConfig, MachineLimits, RouterConfig},
    stop::{StopPhases, StopTimes},
    supervisor::{Supervisor, TaskName},
    view::{self, Views},
    web::{self, ConnectionLimits},
};

/// Copies of a body that the router holds while it sends the body to an agent: the body itself, the
/// sealed frame, and the frame in the connection's write buffer.
const BODY_COPIES: usize = 3;

/// Time after the end of a stop in which the cancellations of running requests are sent.
const CANCEL_TIME: Duration = Duration::from_millis(30);

/// Reason why a router fails to start or to shut down cleanly.
#[derive(Debug, Snafu)]
pub enum RouterError {
    /// The address for callers or for the admin interface cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}; free the address or change it"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the bind call.
        source: io::Error,
    },
    /// The address for other processes cannot be bound.
    #[snafu(display("{source}"))]
    Join {
        /// Address and error of the bind call.
        source: JoinError,
    },
    /// Requests were still open when the drain time ran out.
    #[snafu(display(
        "shutdown timed out with {left} requests still open; raise drain in the settings"
    ))]
    Unfinished {
        /// Number of requests without a complete answer.
        left: i64,
    },
    /// A task that the router needs has ended.
    #[snafu(display("the task {task} has ended; see the log for the cause"))]
    TaskEnded {
        /// The task.
        task: TaskName,
    },
}

/// Runs a router until `stop` turns true and its requests have ended or the drain time has run
/// out.
///
/// # Errors
///
/// Fails when an address cannot be bound, when requests are still open after the drain time, or when a
/// task that the router needs has ended.
pub async fn run(
    cfg: RouterConfig,
    stop: watch::Receiver<bool>,
    log: Logger,
) -> Result<(), RouterError> {
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
    cfg: RouterConfig,
    metrics: Metrics,
    supervisor: Supervisor,
    log: Logger,
) -> Result<(), RouterError> {
    serve(cfg, metrics, &supervisor, log).await?;
    match supervisor.ended() {
        Some(task) => TaskEndedSnafu { task }.fail(),
        None => Ok(()),
    }
}

async fn serve(
    cfg: RouterConfig,
    metrics: Metrics,
    supervisor: &Supervisor,
    log: Logger,
) -> Result<(), RouterError> {
    let mut stop = supervisor.stop();
    let incarnation = view::incarnation(clock::unix_time());
    let platform = Platform::new(&cfg.common.platform);
    let config = view::start(
        platform.clone(),
        &cfg.common.name,
        metrics.clone(),
        supervisor,
        log.clone(),
    );
    let views = config.views().clone();
    let Joined {
        identity, gossip, ..
    } = peers::join(JoinParams {
        common: &cfg.common,
        incarnation,
        role: Role::Router,
        listen: cfg.listen,
        config: config.clone(),
        platform: platform.clone(),
        metrics: metrics.clone(),
        supervisor,
        log: log.clone(),
    })
    .await
    .context(JoinSnafu)?;
    let rollouts = start_rollouts(&views, &gossip, &platform, supervisor, &log);
    let guard = CallerGuard::new(cfg.machine.memory, &metrics.callers);
    let admin = Admin::new("router", &cfg.common, incarnation, config, metrics.clone())
        .with_config_api(platform.clone(), cfg.processes)
        .with_guard(guard.clone());
    let address = cfg.common.admin;
    with_dumps(admin, &gossip, &rollouts)
        .start(address, supervisor, log.clone())
        .await
        .context(ListenSnafu { address })?;
    // `wait_for` marks the value as seen, so it runs on a clone: the tasks below must see the first
    // view as a change.
    let mut ready = views.clone();
    // Listening starts only with a configuration, so that the platform's load balancer does not
    // send requests to a router that cannot serve them.
    tokio::select! {
        _ = ready.wait_for(Option::is_some) => {}
        _ = stop.wait_for(|stop| *stop) => return Ok(()),
    }
    let picker = Picker::start(views.clone(), Clock::start(), gossip.clone(), supervisor);
    let open = metrics.open.clone();
    // An empty list of live routers makes each router append its own claims.
    let (_peers, peers) = watch::channel([].into());
    let claims = Claims::start(
        identity.clone(),
        platform,
        views.clone(),
        peers,
        supervisor,
        log.clone(),
    );
    let retrier = start_retrier(&views, &gossip, supervisor, &log);
    let times = stop_times(cfg.common.drain);
    let phases = StopPhases::start(stop.clone(), times, supervisor, log.clone());
    let memory = guard.memory.clone();
    let bodies = RequestBodies::new(memory, BODY_COPIES, cfg.callers, phases.clone());
    let (end, ended) = watch::channel(false);
    let relay = Relay {
        ended,
        phases,
        identity,
        claims,
        views: views.clone(),
        picker,
        links: LinkPool::start(supervisor),
        buffers: AnswerBuffers::new(guard.memory.clone()),
        retrier,
        rollouts,
        metrics,
        clock: Clock::start(),
        log: log.clone(),
    };
    let address = cfg.listen;
    let listener = web::bind(address).await.context(ListenSnafu { address })?;
    info!(log, "router ready"; "listen" => address);
    let routes = front::routes(views, relay, bodies);
    let stop_log = log.clone();
    let limits = caller_limits(cfg.machine, cfg.callers);
    let serving = web::serve(listener, routes, move || limits, guard, stop.clone(), log);
    tokio::pin!(serving);
    tokio::select! {
        () = &mut serving => {
            gossip.leave().await;
            return Ok(());
        }
        _ = stop.wait_for(|stop| *stop) => {}
    }
    gossip.leave().await;
    if timeout(cfg.common.drain, serving).await.is_ok() {
        return Ok(());
    }
    let left = open.get();
    // Requests that are cut by the end of the process are cancelled at their agents.
    end.send_replace(true);
    sleep(CANCEL_TIME).await;
    warn!(stop_log, "shutdown timed out with requests still open; closing them"; "left" => left);
    UnfinishedSnafu { left }.fail()
}

fn start_rollouts(
    views: &Views,
    gossip: &Gossip,
    platform: &Platform,
    supervisor: &Supervisor,
    log: &Logger,
) -> Rollouts {
    let (views, gossip) = (views.clone(), gossip.clone());
    Rollouts::start(views, gossip, platform.clone(), supervisor, log.clone())
}

/// Starts the task that owns the retry budget, and the one that passes quarantined requests to it.
fn start_retrier(views: &Views, gossip: &Gossip, supervisor: &Supervisor, log: &Logger) -> Retrier {
    let membership = gossip.membership();
    let retrier = Retrier::start(views.clone(), membership, supervisor, log.clone());
    quarantine::start(gossip.clone(), retrier.clone(), views.clone(), supervisor);
    retrier
}

fn caller_limits(machine: MachineLimits, callers: CallerConfig) -> ConnectionLimits {
    ConnectionLimits {
        max_connections: machine.max_callers(),
        ..ConnectionLimits::new(&callers, web::IDLE_TIMEOUT, web::RECEIVE_TIMEOUT)
    }
}

/// Adds the state of the router's tasks to the dump of the admin interface.
fn with_dumps(admin: Admin, gossip: &Gossip, rollouts: &Rollouts) -> Admin {
    let (gossip, rollouts) = (gossip.clone(), rollouts.clone());
    admin
        .with_task_dump("gossip", move || {
            let gossip = gossip.clone();
            async move { gossip.dump().await }
        })
        .with_task_dump("moves", move || {
            let rollouts = rollouts.clone();
            async move { rollouts.dump().await }
        })
}

fn stop_times(drain: Duration) -> StopTimes {
    StopTimes {
        refuse_after: ConnectionLimits::default().idle_grace,
        end_after: drain,
    }
}
