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
    view,
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
}

/// Runs a router until `stop` turns true and its requests have ended or the drain time has run
/// out.
///
/// # Errors
///
/// Fails when an address cannot be bound, or when requests are still open after the drain time.
pub async fn run(
    cfg: RouterConfig,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) -> Result<(), RouterError> {
    let incarnation = view::incarnation(clock::unix_time());
    let platform = Platform::new(&cfg.common.platform);
    let metrics = Metrics::new();
    let config = view::start(
        platform.clone(),
        &cfg.common.name,
        metrics.clone(),
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
        stop: stop.clone(),
        log: log.clone(),
    })
    .await
    .context(JoinSnafu)?;
    let rollouts = Rollouts::start(views.clone(), gossip.clone(), platform.clone(), log.clone());
    let guard = CallerGuard::new(cfg.machine.memory, &metrics.callers);
    let admin = Admin::new("router", &cfg.common, incarnation, config, metrics.clone())
        .with_config_api(platform.clone(), cfg.processes)
        .with_guard(guard.clone());
    let address = cfg.common.admin;
    with_dumps(admin, &gossip, &rollouts)
        .start(address, stop.clone(), log.clone())
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
    let picker = Picker::start(views.clone(), Clock::start(), gossip.clone());
    let open = metrics.open.clone();
    // An empty list of live routers makes each router append its own claims.
    let (_peers, peers) = watch::channel([].into());
    let claims = Claims::start(
        identity.clone(),
        platform,
        views.clone(),
        peers,
        log.clone(),
    );
    let retrier = Retrier::start(views.clone(), gossip.membership(), log.clone());
    quarantine::start(gossip.clone(), retrier.clone(), views.clone());
    let phases = StopPhases::start(stop.clone(), stop_times(cfg.common.drain), log.clone());
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
        links: LinkPool::start(),
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
