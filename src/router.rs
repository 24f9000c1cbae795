//! The router: serves callers.

use std::{io, net::SocketAddr};

use ebonyfall_core::peer::Role;
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{sync::watch, time::timeout};

use crate::{
    admin::Admin,
    claims::Claims,
    clock::{self, Clock},
    front,
    links::LinkPool,
    metrics::Metrics,
    peers::{self, JoinError, Joined, Joining},
    picker::Picker,
    platform::Platform,
    relay::Relay,
    retrier::Retrier,
    rollouts::Rollouts,
    settings::RouterConfig,
    spread, view, web,
};

/// The router cannot run.
#[derive(Debug, Snafu)]
pub enum RouterError {
    /// The listening address cannot be used.
    #[snafu(display("cannot listen on {address}: {source}; free the address or change it"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The process cannot join the others.
    #[snafu(display("{source}"))]
    Join {
        /// What is wrong.
        source: JoinError,
    },
    /// The shutdown ended with requests left over.
    #[snafu(display(
        "{left} requests were left when the shutdown ended; raise drain in the settings"
    ))]
    Unfinished {
        /// Requests whose answers had not ended.
        left: i64,
    },
}

/// Runs a router until `stop` turns true and its requests have ended.
///
/// # Errors
///
/// Fails when it cannot listen, or requests were left over at the end.
pub async fn run(
    cfg: RouterConfig,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) -> Result<(), RouterError> {
    let incarnation = view::incarnation(clock::unix_time());
    let platform = Platform::new(&cfg.common.platform);
    let metrics = Metrics::new();
    let config = view::follow(
        platform.clone(),
        &cfg.common.name,
        metrics.clone(),
        log.clone(),
    );
    let views = config.views().clone();
    let Joined {
        identity, gossip, ..
    } = peers::join(Joining {
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
    let address = cfg.common.admin;
    let moves = rollouts.clone();
    let members = gossip.clone();
    Admin::new("router", &cfg.common, incarnation, config, metrics.clone())
        .with_task_dump("gossip", move || {
            let gossip = members.clone();
            async move { gossip.dump().await }
        })
        .with_task_dump("moves", move || {
            let rollouts = moves.clone();
            async move { rollouts.dump().await }
        })
        .with_config_api(platform.clone(), cfg.processes)
        .start(address, stop.clone(), log.clone())
        .await
        .context(ListenSnafu { address })?;
    // Waiting marks a receiver's value as seen; the tasks below must see the first one as new.
    let mut ready = views.clone();
    // Without a configuration, the platform's balancer must not take the router for ready.
    tokio::select! {
        _ = ready.wait_for(Option::is_some) => {}
        _ = stop.wait_for(|stop| *stop) => return Ok(()),
    }
    let picker = Picker::start(views.clone(), Clock::start(), gossip.clone());
    let open = metrics.open.clone();
    // Without a view of the live routers each one appends its claims itself.
    let (_peers, peers) = watch::channel([].into());
    let claims = Claims::start(
        identity.clone(),
        platform,
        views.clone(),
        peers,
        log.clone(),
    );
    let retrier = Retrier::start(views.clone());
    spread::start(gossip.clone(), retrier.clone(), views.clone());
    let relay = Relay {
        identity,
        claims,
        views: views.clone(),
        picker,
        links: LinkPool::start(),
        retrier,
        rollouts,
        metrics,
        clock: Clock::start(),
        log: log.clone(),
    };
    let address = cfg.listen;
    let listener = web::bind(address).await.context(ListenSnafu { address })?;
    info!(log, "router ready"; "listen" => address);
    let routes = front::routes(views, relay);
    let shutdown_log = log.clone();
    let serving = web::serve(
        listener,
        routes,
        web::ConnectionLimits::default,
        stop.clone(),
        log,
    );
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
    warn!(shutdown_log, "requests left at the end of the shutdown"; "left" => left);
    UnfinishedSnafu { left }.fail()
}
