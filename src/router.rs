//! The router: serves callers.

use std::{io, net::SocketAddr};

use ebonyfall_core::record::Role;
use slog::{Logger, info};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{mpsc, watch},
    time::timeout,
};

use crate::{
    clock,
    control::{self, Control},
    front,
    gossip::{Gossip, Local},
    link::Identity,
    links::Links,
    metrics::Metrics,
    picker::Picker,
    platform::Platform,
    relay::Relay,
    settings::RouterConfig,
    view, vms, web,
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
    /// The shutdown ended with requests left over.
    #[snafu(display("requests were left when the shutdown ended; raise drain in the settings"))]
    Unfinished,
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
    let platform = Platform::new(&cfg.common.platform);
    let (found, peers) = mpsc::channel(1);
    let views = view::follow(platform.clone(), peers, log.clone());
    let metrics = Metrics::new();
    let identity = Identity {
        name: cfg.common.name,
        incarnation: view::incarnation(clock::unix_time()),
        keys: cfg.common.keys,
    };
    let address = cfg.common.gossip.unwrap_or(cfg.listen);
    let socket = UdpSocket::bind(address).await;
    let local = Local {
        identity: identity.clone(),
        role: Role::Router,
        zone: cfg.common.zone,
        address,
        seeds: cfg.common.seeds,
    };
    let gossip = Gossip::start(
        local,
        socket.context(ListenSnafu { address })?,
        views.clone(),
        metrics.clone(),
        log.clone(),
    );
    // Callers' HTTP is on `listen`, so that peers need an address of their own.
    if let Some(address) = cfg.common.gossip {
        let listener = TcpListener::bind(address).await;
        let listener = listener.context(ListenSnafu { address })?;
        Control::new(views.clone()).serve(listener, identity.clone(), log.clone());
    }
    vms::follow(platform, gossip.clone(), log.clone());
    control::follow(
        identity.clone(),
        gossip.clone(),
        views.clone(),
        found,
        log.clone(),
    );
    let picker = Picker::start(views.clone(), gossip.clone());
    let relay = Relay {
        identity,
        picker,
        links: Links::start(),
        metrics,
        log: log.clone(),
    };
    let address = cfg.listen;
    let listener = web::bind(address).await.context(ListenSnafu { address })?;
    info!(log, "router ready"; "listen" => address);
    let routes = front::routes(views, relay);
    let serving = web::serve(listener, routes, stop.clone(), log);
    tokio::pin!(serving);
    tokio::select! {
        () = &mut serving => {
            gossip.leave().await;
            return Ok(());
        }
        _ = stop.wait_for(|stop| *stop) => {}
    }
    gossip.leave().await;
    timeout(cfg.common.drain, serving)
        .await
        .ok()
        .context(UnfinishedSnafu)
}
