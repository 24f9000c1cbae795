//! What an entry router shows to the balancer and to monitoring.

use std::{pin::Pin, time::Duration};

use gotham::{
    handler::{HandlerFuture, IntoResponse},
    helpers::http::Body,
    state::State,
};
use http::{Response, StatusCode};
use slog::Logger;
use tokio::{net::TcpListener, sync::watch};

use crate::{
    clock::BootClock,
    follow::Beliefs,
    metrics::Metrics,
    web::{self, ConnectionLimits, Shared},
};

/// Age of the confirmed knowledge from which on the balancer is told to use other routers.
const STALE: Duration = Duration::from_millis(3_000);

/// Answers the balancer: 200 while the router knows what to serve and does not stop, else 503.
pub fn ready(listener: TcpListener, beliefs: Beliefs, stop: watch::Receiver<bool>, log: Logger) {
    let shared = Shared::new((beliefs, stop));
    serve(listener, log, move || {
        let (beliefs, stop) = shared.clone().into_inner();
        let mut res = Response::new(web::full(""));
        if !is_ready(&beliefs, &stop) {
            *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        res
    });
}

/// Serves the process's metrics.
pub fn metrics(listener: TcpListener, metrics: Metrics, log: Logger) {
    let shared = Shared::new(metrics);
    serve(listener, log, move || {
        Response::new(web::full(shared.clone().into_inner().encode()))
    });
}

fn is_ready(beliefs: &Beliefs, stop: &watch::Receiver<bool>) -> bool {
    let confirmed = beliefs.lease.borrow().confirmed();
    let fresh = confirmed.is_some_and(|confirmed| BootClock.now().since(confirmed) < STALE);
    fresh && beliefs.desired.borrow().is_some() && *beliefs.targets.borrow() && !*stop.borrow()
}

/// Serves one page under every path, until the process ends.
fn serve(
    listener: TcpListener,
    log: Logger,
    page: impl Fn() -> Response<Body> + Clone + Send + Sync + std::panic::RefUnwindSafe + 'static,
) {
    let handler = move || {
        let page = page.clone();
        Ok(move |state: State| {
            let res = page().into_response(&state);
            Box::pin(async move { Ok((state, res)) }) as Pin<Box<HandlerFuture>>
        })
    };
    tokio::spawn(async move {
        // The channel stays open, so that the pages outlast the stop signal.
        let (_never, running) = watch::channel(false);
        web::serve(listener, handler, ConnectionLimits::default, running, log).await;
    });
}
