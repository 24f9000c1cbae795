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
    follow::Beliefs,
    metrics::Metrics,
    steering::Steering,
    web::{self, ConnectionLimits, Shared},
};

/// Time without an answer of the store after which the balancer is told to use other routers, also
/// where this one reads from them: they know sooner.
const STALE: Duration = Duration::from_millis(3_000);

/// Path of the state dump.
const DUMP: &str = "/dump";

/// Answers the balancer: 200 while the router knows what to serve and does not stop, else 503.
pub fn ready(listener: TcpListener, beliefs: Beliefs, stop: watch::Receiver<bool>, log: Logger) {
    let shared = Shared::new((beliefs, stop));
    serve(listener, log, move |_uri| {
        let (beliefs, stop) = shared.clone().into_inner();
        let mut res = Response::new(web::full(""));
        if !is_ready(&beliefs, &stop) {
            *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        std::future::ready(res)
    });
}

/// What an entry router tells operators.
#[derive(Debug, Clone)]
pub struct Insight {
    /// The process's name.
    pub name: ProcessName,
    /// Its zone.
    pub zone: ZoneName,
    /// What it believes of the desired state.
    pub beliefs: Beliefs,
    /// Owns what it believes of the targets.
    pub steering: Steering,
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

impl Insight {
    /// Age of the confirmed knowledge of the desired state.
    fn state_age(&self) -> Option<Duration> {
        let confirmed = self.beliefs.lease.borrow().confirmed_at()?;
        Some(BootClock.now().since(confirmed))
    }

    fn metrics(&self) -> Response<Body> {
        if let Some(age) = self.state_age() {
            self.metrics.entry.set_state_age(age);
        }
        Response::new(web::full(self.metrics.encode()))
    }

    async fn dump(&self) -> Response<Body> {
        let steering = self.steering.inspect().await;
        let desired = self.beliefs.desired.borrow().clone();
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
pub fn insight(listener: TcpListener, insight: Insight, log: Logger) {
    let shared = Shared::new(insight);
    serve(listener, log, move |uri| {
        let insight = shared.clone().into_inner();
        async move {
            if uri.path() == DUMP {
                insight.dump().await
            } else {
                insight.metrics()
            }
        }
    });
}

fn is_ready(beliefs: &Beliefs, stop: &watch::Receiver<bool>) -> bool {
    let contact = *beliefs.contact.borrow();
    let served = contact.is_some_and(|contact| BootClock.now().since(contact) < STALE);
    served && beliefs.desired.borrow().is_some() && *beliefs.targets.borrow() && !*stop.borrow()
}

/// Serves pages by path until the process ends.
fn serve<P>(
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
