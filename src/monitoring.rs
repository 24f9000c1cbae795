//! HTTP endpoints of an entry router for the load balancer and for monitoring.

use std::{pin::Pin, time::Duration};

use ebonyfall_core::{
    dispatch::ServiceDispatch,
    inspect::RoutingState,
    name::{ProcessName, ZoneName},
    time::Time,
};
use gotham::{handler::HandlerFuture, helpers::http::Body, prelude::FromState, state::State};
use http::{Response, StatusCode, Uri};
use serde::Serialize;
use slog::Logger;
use tokio::{net::TcpListener, sync::watch};

use crate::{
    callers::CallerGuard,
    clock::{self, BootClock},
    dispatch::DispatchHandle,
    follow::StoreState,
    metrics::Metrics,
    selection::SelectorHandle,
    supervisor::{Supervisor, TaskName},
    usage::{
        counting::{CountingState, UsageCounter},
        duty::DutyHandle,
        inspect::UsageDump,
    },
    web::{self, ConnectionLimits, Shared},
};

/// Time without an answer from the store after which the router reports that it is not ready. That
/// also holds while it reads through other routers, since those learn of changes sooner.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(3_000);

/// Longest time after its start for which a new router is not ready since it does not know its part in
/// the limits of the fleet. Without one, it refuses most retries.
const MAX_ENTRY_WAIT: Duration = Duration::from_secs(5);

/// Path of the state dump.
const DUMP_PATH: &str = "/dump";

/// What decides whether the router is ready.
#[derive(Debug, Clone)]
pub struct Readiness {
    /// State read from the store.
    pub store_state: StoreState,
    /// Whether the router may take requests, as far as the other routers are concerned.
    pub entered: watch::Receiver<bool>,
    /// When the process started.
    pub started_at: Time,
    /// Whether the process is stopping, on a signal or since a task that it needs has ended.
    pub stop: watch::Receiver<bool>,
}

impl Readiness {
    fn is_ready(&self, now: Time) -> bool {
        let last_answer = *self.store_state.last_answer.borrow();
        let store_answers =
            last_answer.is_some_and(|last_answer| now.since(last_answer) < MAX_STORE_SILENCE);
        store_answers
            && self.store_state.desired.borrow().is_some()
            && *self.store_state.targets_loaded.borrow()
            && (*self.entered.borrow() || now.since(self.started_at) >= MAX_ENTRY_WAIT)
            && !*self.stop.borrow()
    }
}

/// Serves the readiness check: 200 if the router has a desired state and targets, the store
/// answers, a new router knows its part in the limits of the fleet, and the router is not stopping;
/// else 503.
pub fn serve_readiness(
    listener: TcpListener,
    readiness: Readiness,
    guard: CallerGuard,
    supervisor: &Supervisor,
    log: Logger,
) {
    let shared = Shared::new(readiness);
    let pages = serve_pages(listener, guard, log, move |_uri| {
        let readiness = shared.clone().into_inner();
        let mut res = Response::new(web::full_body(""));
        if !readiness.is_ready(BootClock.now()) {
            *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        std::future::ready(res)
    });
    supervisor.spawn(TaskName::Readiness, pages);
}

/// State that is served to monitoring.
#[derive(Debug, Clone)]
pub struct Monitoring {
    /// Name of this process.
    pub name: ProcessName,
    /// Zone of this process.
    pub zone: ZoneName,
    /// State read from the store.
    pub store_state: StoreState,
    /// Target selector, whose state is part of the dump.
    pub selector: SelectorHandle,
    /// Usage reports; `None` if the deployment has none.
    pub usage: Option<DutyHandle>,
    /// Counts of requests; `None` if the deployment has no usage reports.
    pub counter: Option<UsageCounter>,
    /// Task that owns the waiting requests, whose state is part of the dump and the metrics.
    pub dispatch: DispatchHandle,
    /// Metrics of this process.
    pub metrics: Metrics,
}

/// State of the process for debugging; contains no API keys.
#[derive(Serialize)]
struct Dump<'a> {
    build: &'static str,
    name: &'a ProcessName,
    zone: &'a ZoneName,
    desired_version: Option<u64>,
    routes: Option<usize>,
    /// Time since the desired state was last confirmed to be current.
    state_age_ms: Option<u64>,
    steering: RoutingState,
    /// Absent if the deployment has no usage reports.
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageDump>,
    /// Absent if the deployment has no usage reports.
    #[serde(skip_serializing_if = "Option::is_none")]
    usage_counts: Option<CountingState>,
    dispatch: Vec<ServiceDispatch>,
}

impl Monitoring {
    /// Time since the desired state was last confirmed to be current; `None` if it never was.
    fn state_age(&self) -> Option<Duration> {
        let confirmed = self.store_state.lease.borrow().confirmed_at()?;
        Some(BootClock.now().since(confirmed))
    }

    async fn metrics_page(&self) -> Response<Body> {
        let dispatch = self.dispatch.inspect().await;
        self.metrics.entry.dispatch.set_state(&dispatch);
        let steering = self.selector.inspect().await;
        let under_pace = steering
            .targets
            .iter()
            .filter(|target| target.pace.is_some());
        let under_pace = i64::try_from(under_pace.count()).unwrap_or(i64::MAX);
        let entry = &self.metrics.entry;
        entry.targets_under_pace.set(under_pace);
        let sharing = steering.share.routers.unwrap_or(0);
        entry.fleet_share_routers.set(sharing.into());
        entry.set_cold_withheld(steering.cold_withheld);
        let stated = steering.targets.iter();
        let stated = stated.filter_map(|target| target.stated_slowness);
        entry.set_stated_slowness(stated.fold(0.0, f64::max));
        if let Some(age) = self.state_age() {
            self.metrics.entry.set_state_age(age);
        }
        Response::new(web::full_body(self.metrics.encode()))
    }

    async fn dump_page(&self) -> Response<Body> {
        let steering = self.selector.inspect().await;
        let usage_counts = match &self.counter {
            Some(counter) => Some(counter.inspect().await),
            None => None,
        };
        let desired = self.store_state.desired.borrow().clone();
        let usage = match &self.usage {
            Some(duty) => duty.dump().await,
            None => None,
        };
        let dump = Dump {
            build: env!("CARGO_PKG_VERSION"),
            name: &self.name,
            zone: &self.zone,
            desired_version: desired.as_ref().map(|desired| desired.version),
            routes: desired.as_ref().map(|desired| desired.route_count()),
            state_age_ms: self.state_age().map(clock::millis),
            steering,
            usage,
            usage_counts,
            dispatch: self.dispatch.inspect().await,
        };
        web::json_response(StatusCode::OK, &dump)
    }
}

/// Serves the state dump at `/dump` and the metrics at every other path.
pub fn serve_monitoring(
    listener: TcpListener,
    monitoring: Monitoring,
    guard: CallerGuard,
    supervisor: &Supervisor,
    log: Logger,
) {
    let shared = Shared::new(monitoring);
    let pages = serve_pages(listener, guard, log, move |uri| {
        let monitoring = shared.clone().into_inner();
        async move {
            if uri.path() == DUMP_PATH {
                monitoring.dump_page().await
            } else {
                monitoring.metrics_page().await
            }
        }
    });
    supervisor.spawn(TaskName::Monitoring, pages);
}

/// Serves `page` for every request until the process ends.
async fn serve_pages<P>(
    listener: TcpListener,
    guard: CallerGuard,
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
    // The sender stays alive, so that the pages are served until the process exits.
    let (_never, running) = watch::channel(false);
    let limits = ConnectionLimits::small;
    web::serve(listener, handler, limits, guard, running, log).await;
}
