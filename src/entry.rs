//! The router on an entry VM: serves callers from targets that register themselves.

use std::{io, net::SocketAddr, path::PathBuf, pin::Pin, sync::Arc, time::Duration};

use ebonyfall_core::selector::TargetSelector;
use gotham::{handler::HandlerFuture, state::State};
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
    pages::{self, Insight},
    peering::{self, Peering},
    report,
    settings::{self, EntryConfig},
    steering::Steering,
    store::Store,
    web::{self, ConnectionLimits, Shared},
};

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
    let selector = TargetSelector::new(cfg.zone.clone(), cfg.retry);
    let steering = Steering::start(selector, BootClock);
    let store = Store::new(cfg.store, metrics.entry.clone());
    let (access_tx, access) = watch::channel(None);
    let beliefs = follow::start(
        store.clone(),
        steering.clone(),
        access,
        (cfg.revocation, cfg.drain),
        metrics.clone(),
        log.clone(),
    );
    let listener = listen(cfg.listen).await?;
    let ready = listen(cfg.ready).await?;
    let page = listen(cfg.metrics).await?;
    pages::ready(ready, beliefs.clone(), stop.clone(), log.clone());
    let insight = Insight {
        name: cfg.name.clone(),
        zone: cfg.zone.clone(),
        beliefs: beliefs.clone(),
        steering: steering.clone(),
        metrics: metrics.clone(),
    };
    pages::insight(page, insight, log.clone());
    report::start(
        store.clone(),
        steering.clone(),
        metrics.entry.clone(),
        log.clone(),
    );
    peering::start(
        Peering {
            name: cfg.name.clone(),
            zone: cfg.zone.clone(),
            address: cfg.peers,
            seeds: cfg.seeds.clone(),
            store,
            steering: steering.clone(),
            mirrors: beliefs.mirrors.clone(),
            access: access_tx,
            metrics: metrics.clone(),
            log: log.clone(),
        },
        stop.clone(),
    );
    tokio::spawn(reload(cfg.clone(), path, log.clone()));
    let limits = limits(&beliefs);
    let closing = closing(stop.clone());
    let intake = Shared::new(Intake {
        beliefs: Arc::new(beliefs),
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

/// Limits on callers' connections, as the desired state has them.
fn limits(beliefs: &Beliefs) -> impl Fn() -> ConnectionLimits + use<> {
    let desired = beliefs.desired.clone();
    move || {
        let desired = desired.borrow();
        let known = desired.as_ref().map(|known| &known.limits);
        ConnectionLimits {
            header_timeout: known.map_or(DEFAULT_IDLE, |known| known.idle_timeout) + IDLE_MARGIN,
            max_header_bytes: known.map_or(2 * MIN_HEADER, |known| {
                known.max_header_bytes.max(MIN_HEADER)
            }),
            accept_grace: LINGER,
            idle_grace: Duration::ZERO,
        }
    }
}

/// Turns true when it is too late for new requests after the stop signal.
fn closing(mut stop: watch::Receiver<bool>) -> watch::Receiver<bool> {
    let (tx, closing) = watch::channel(false);
    tokio::spawn(async move {
        if stop.wait_for(|stop| *stop).await.is_ok() {
            time::sleep(LINGER).await;
            tx.send_replace(true);
        }
        // The channel stays open, so that nobody takes its end for a change.
        std::future::pending::<()>().await;
    });
    closing
}

async fn listen(address: SocketAddr) -> Result<tokio::net::TcpListener, EntryError> {
    web::bind(address).await.context(ListenSnafu { address })
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
