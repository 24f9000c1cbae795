//! The router: serves callers.

use std::{io, net::SocketAddr};

use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{sync::watch, time::timeout};

use crate::{
    clock::{self, Clock},
    front,
    link::Identity,
    links::Links,
    metrics::Metrics,
    picker::Picker,
    platform::Platform,
    relay::Relay,
    retrier::Retrier,
    settings::RouterConfig,
    view, web,
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
    let platform = Platform::new(&cfg.common.platform);
    let mut views = view::follow(platform, log.clone());
    // Without a document every request would be refused, so that callers are not let in before.
    tokio::select! {
        _ = views.wait_for(Option::is_some) => {}
        _ = stop.wait_for(|stop| *stop) => return Ok(()),
    }
    let picker = Picker::start(views.clone());
    let metrics = Metrics::new();
    let open = metrics.open.clone();
    let relay = Relay {
        identity: Identity {
            name: cfg.common.name,
            incarnation: view::incarnation(clock::unix_time()),
            keys: cfg.common.keys,
        },
        views: views.clone(),
        picker,
        links: Links::start(),
        retrier: Retrier::start(views.clone()),
        metrics,
        clock: Clock::start(),
        log: log.clone(),
    };
    let address = cfg.listen;
    let listener = web::bind(address).await.context(ListenSnafu { address })?;
    info!(log, "router ready"; "listen" => address);
    let routes = front::routes(views, relay);
    let shutdown_log = log.clone();
    let serving = web::serve(listener, routes, stop.clone(), log);
    tokio::pin!(serving);
    tokio::select! {
        () = &mut serving => return Ok(()),
        _ = stop.wait_for(|stop| *stop) => {}
    }
    if timeout(cfg.common.drain, serving).await.is_ok() {
        return Ok(());
    }
    let left = open.get();
    warn!(shutdown_log, "requests left at the end of the shutdown"; "left" => left);
    UnfinishedSnafu { left }.fail()
}
