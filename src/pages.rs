//! What an entry router shows to the balancer and to monitoring.

use std::{pin::Pin, time::Duration};

use ebonyfall_core::{
    inspect::RoutingState,
    name::{ProcessName, ZoneName},
};
use gotham::{handler::HandlerFuture, helpers::http::Body, prelude::FromState, state::State};
use http::{Response, StatusCode, Uri};
use serde::Serialize;
use slog::Logger;
use tokio::{net::TcpListener, sync::watch};

use crate::{
    clock::{self, BootClock},
    follow::StoreState,
    metrics::Metrics,
    steering::SelectorHandle,
    web::{self, ConnectionLimits, Shared},
};

/// Time without an answer of the store after which the balancer is told to use other routers, also
/// where this one reads from them: they know sooner.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(3_000);

/// Path of the state dump.
const DUMP_PATH: &str = "/dump";

/// Answers the balancer: 200 while the router knows what to serve and does not stop, else 503.
pub fn serve_readiness(
    listener: TcpListener,
    store_state: StoreState,
    stop: watch::Receiver<bool>,
    log: Logger,
) {
    let shared = Shared::new((store_state, stop));
    serve_pages(listener, log, move |_uri| {
        let (store_state, stop) = shared.clone().into_inner();
        let mut res = Response::new(web::full(""));
        if !is_ready(&store_state, &stop) {
            *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        std::future::ready(res)
    });
}

/// What an entry router tells operators.
#[derive(Debug, Clone)]
pub struct Monitoring {
    /// The process's name.
    pub name: ProcessName,
    /// Its zone.
    pub zone: ZoneName,
    /// What it believes of the desired state.
    pub store_state: StoreState,
    /// Owns what it believes of the targets.
    pub selector: SelectorHandle,
    /// Counters.
    pub metrics: Metrics,
}

/// The process's state, without keys.
#[derive(Serialize)]
struct Dump<'a> {
    build: &'static str,
    name: &'a ProcessName,
    zone: &'a ZoneName,
    desired_version: Option<u64>,
    routes: Option<usize>,
    /// Age of the confirmed knowledge of the desired state.
    state_age_ms: Option<u64>,
    steering: RoutingState,
}

impl Monitoring {
    /// Age of the confirmed knowledge of the desired state.
    fn state_age(&self) -> Option<Duration> {
        let confirmed = self.store_state.lease.borrow().confirmed_at()?;
        Some(BootClock.now().since(confirmed))
    }

    fn metrics_page(&self) -> Response<Body> {
        if let Some(age) = self.state_age() {
            self.metrics.entry.state_age(age);
        }
        Response::new(web::full(self.metrics.encode()))
    }

    async fn dump_page(&self) -> Response<Body> {
        let steering = self.selector.inspect().await;
        let desired = self.store_state.desired.borrow().clone();
        let dump = Dump {
            build: env!("CARGO_PKG_VERSION"),
            name: &self.name,
            zone: &self.zone,
            desired_version: desired.as_ref().map(|desired| desired.version),
            routes: desired.as_ref().map(|desired| desired.route_count()),
            state_age_ms: self.state_age().map(clock::millis),
            steering,
        };
        web::json(StatusCode::OK, &dump)
    }
}

/// Serves the process's state at `/dump` and its metrics at every other path.
pub fn serve_monitoring(listener: TcpListener, monitoring: Monitoring, log: Logger) {
    let shared = Shared::new(monitoring);
    serve_pages(listener, log, move |uri| {
        let monitoring = shared.clone().into_inner();
        async move {
            if uri.path() == DUMP_PATH {
                monitoring.dump_page().await
            } else {
                monitoring.metrics_page()
            }
        }
    });
}

fn is_ready(store_state: &StoreState, stop: &watch::Receiver<bool>) -> bool {
    let last_answer = *store_state.last_answer.borrow();
    let store_answers = last_answer
        .is_some_and(|last_answer| BootClock.now().since(last_answer) < MAX_STORE_SILENCE);
    store_answers
        && store_state.desired.borrow().is_some()
        && *store_state.targets_loaded.borrow()
        && !*stop.borrow()
}

/// Serves pages by path until the process ends.
fn serve_pages<P>(
    listener: TcpListener,
    log: Logger,
    page: impl Fn(Uri) -> P + Clone + Send + Sync + std::panic::RefUnwindSafe + 'static,
) where
    P: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = move || {
        let page = page.clone();
        Ok(move |state: State| {
            let res = page(Uri::borrow_from(&state).clone());
            Box::pin(async move { Ok((state, res.await)) }) as Pin<Box<HandlerFuture>>
        })
    };
    tokio::spawn(async move {
        // The channel stays open, so that the pages outlast the stop signal.
        let (_never, running) = watch::channel(false);
        web::serve(listener, handler, ConnectionLimits::default, running, log).await;
    });
}
