//! The router on an entry VM: serves callers from targets that register themselves.

use std::{io, net::SocketAddr, path::PathBuf, pin::Pin, time::Duration};

use ebonyfall_core::steer::Steer;
use gotham::{
    handler::{HandlerFuture, IntoResponse},
    helpers::http::Body,
    state::State,
};
use http::{Response, StatusCode};
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    time::{self, timeout},
};

use crate::{
    clock::BootClock,
    follow::{self, Beliefs},
    intake::Intake,
    metrics::Metrics,
    peering::{self, Peering},
    settings::{self, EntryConfig},
    steering::Steering,
    store::Store,
    web::{self, ConnectionLimits, Shared},
};

/// Age of the confirmed knowledge from which on the balancer is told to use other routers.
const STALE: Duration = Duration::from_millis(3_000);
/// Time after the stop signal for which requests are taken: the balancer asks once a second and
/// stops after two refusals, and a request that comes later may not end within the grace period.
const LINGER: Duration = Duration::from_millis(2_800);
/// Part of the grace period that is left when the process ends with requests left over.
const GRACE_MARGIN: Duration = Duration::from_millis(250);
/// Time for which idle connections are kept beyond the longest idle time of callers.
const IDLE_MARGIN: Duration = Duration::from_secs(10);
/// Idle time of callers before the desired state names one.
const DEFAULT_IDLE: Duration = Duration::from_secs(60);
/// Smallest buffer of a connection that the HTTP library accepts, in bytes.
const MIN_HEADER: usize = 8_192;
/// Time between two looks at the settings file, which may change without a signal.
const RELOAD: Duration = Duration::from_secs(5);

/// The router cannot run.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// An address cannot be used.
    #[snafu(display("cannot listen on {address}: {source}; free the address or change it"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// Signals cannot be taken.
    #[snafu(display("cannot take signals: {source}"))]
    Signal {
        /// The system's error.
        source: io::Error,
    },
}

/// Runs a router until `stop` turns true and its requests have ended.
///
/// # Errors
///
/// Fails when it cannot listen.
pub async fn run(
    cfg: EntryConfig,
    path: PathBuf,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) -> Result<(), EntryError> {
    info!(log, "started"; "event" => "start", "name" => %cfg.name, "zone" => %cfg.zone,
        "version" => env!("CARGO_PKG_VERSION"));
    let metrics = Metrics::new();
    let steer = Steer::new(cfg.zone.clone(), cfg.retry);
    let steering = Steering::start(steer, BootClock);
    let store = Store::new(cfg.store);
    let beliefs = follow::start(
        store.clone(),
        steering.clone(),
        cfg.revocation,
        cfg.drain,
        log.clone(),
    );
    let listener = listen(cfg.listen).await?;
    let ready = listen(cfg.ready).await?;
    let page = listen(cfg.metrics).await?;
    let readiness = Shared::new((beliefs.clone(), stop.clone()));
    let ready_handler = move || {
        let readiness = readiness.clone().into_inner();
        Ok(move |state: State| answer(state, is_ready(&readiness.0, &readiness.1)))
    };
    let (_never, running) = watch::channel(false);
    tokio::spawn(web::serve(
        ready,
        ready_handler,
        ConnectionLimits::default,
        running.clone(),
        log.clone(),
    ));
    peering::start(
        Peering {
            name: cfg.name.clone(),
            zone: cfg.zone.clone(),
            address: cfg.peers,
            seeds: cfg.seeds.clone(),
            store,
            steering: steering.clone(),
            metrics: metrics.clone(),
            log: log.clone(),
        },
        stop.clone(),
    );
    let shown = Shared::new(metrics.clone());
    let page_handler = move || {
        let shown = shown.clone().into_inner();
        Ok(move |state: State| {
            let page = Response::new(web::full(shown.encode()));
            respond(state, page)
        })
    };
    tokio::spawn(web::serve(
        page,
        page_handler,
        ConnectionLimits::default,
        running,
        log.clone(),
    ));
    tokio::spawn(reload(cfg.clone(), path, log.clone()));
    let limits = beliefs.desired.clone();
    let limits = move || {
        let desired = limits.borrow();
        let known = desired.as_ref().map(|known| &known.limits);
        ConnectionLimits {
            header: known.map_or(DEFAULT_IDLE, |known| known.idle) + IDLE_MARGIN,
            header_bytes: known.map_or(2 * MIN_HEADER, |known| known.header_bytes.max(MIN_HEADER)),
            linger: LINGER,
            idle_grace: Duration::ZERO,
        }
    };
    let (closing_tx, closing) = watch::channel(false);
    let mut signal = stop.clone();
    tokio::spawn(async move {
        if signal.wait_for(|stop| *stop).await.is_ok() {
            time::sleep(LINGER).await;
            closing_tx.send_replace(true);
        }
        // The channel stays open, so that nobody takes its end for a change.
        std::future::pending::<()>().await;
    });
    let intake = Shared::new(Intake {
        beliefs,
        closing,
        steering,
        metrics,
        log: log.clone(),
    });
    let handler = move || {
        let intake = intake.clone().into_inner();
        Ok(move |state: State| Box::pin(intake.handle(state)) as Pin<Box<HandlerFuture>>)
    };
    let serving = web::serve(listener, handler, limits, stop.clone(), log.clone());
    tokio::pin!(serving);
    tokio::select! {
        () = &mut serving => return Ok(()),
        _ = stop.wait_for(|stop| *stop) => {}
    }
    info!(log, "stopping"; "event" => "stop");
    let grace = cfg.grace.saturating_sub(GRACE_MARGIN);
    let cut = timeout(grace, serving).await.is_err();
    if cut {
        warn!(log, "requests left at the end of the shutdown"; "event" => "stop_cut");
    }
    info!(log, "stopped"; "event" => "stopped", "cut" => cut);
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<tokio::net::TcpListener, EntryError> {
    web::bind(address).await.context(ListenSnafu { address })
}

fn is_ready(beliefs: &Beliefs, stop: &watch::Receiver<bool>) -> bool {
    let confirmed = beliefs.lease.borrow().confirmed();
    let fresh = confirmed.is_some_and(|confirmed| BootClock.now().since(confirmed) < STALE);
    fresh && beliefs.desired.borrow().is_some() && *beliefs.targets.borrow() && !*stop.borrow()
}

fn answer(state: State, ready: bool) -> Pin<Box<HandlerFuture>> {
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let mut res = Response::new(web::full(""));
    *res.status_mut() = status;
    respond(state, res)
}

fn respond(state: State, res: Response<Body>) -> Pin<Box<HandlerFuture>> {
    let res = res.into_response(&state);
    Box::pin(async move { Ok((state, res)) })
}

/// Reads the settings again on SIGHUP and when the file changes, and says what a restart would
/// put into force.
async fn reload(mut cfg: EntryConfig, path: PathBuf, log: Logger) -> Result<(), EntryError> {
    let mut hangup = signal(SignalKind::hangup()).context(SignalSnafu)?;
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = time::sleep(RELOAD) => false,
        };
        match settings::entry(&path) {
            Ok(found) if found == cfg && !signalled => {}
            Ok(found) => {
                info!(log, "settings read"; "event" => "reload", "changed" => found != cfg,
                    "signalled" => signalled);
                cfg = found;
            }
            Err(error) => warn!(log, "settings ignored"; "event" => "reload_bad",
                "error" => %error),
        }
    }
}
