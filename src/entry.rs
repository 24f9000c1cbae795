//! Router on an entry VM: forwards callers' requests to targets that register themselves in the
//! store.

use std::{io, net::SocketAddr, path::PathBuf, pin::Pin, sync::Arc, time::Duration};

use ebonyfall_core::{dispatch::QueueLimits, selector::TargetSelector};
use gotham::{handler::HandlerFuture, state::State};
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    time::{self, timeout},
};

use crate::{
    body::RequestBodies,
    callers::CallerGuard,
    carry::Forwarding,
    clock::BootClock,
    dispatch::DispatchHandle,
    follow::{self, StoreState},
    intake::Intake,
    memory::MemoryBudget,
    metrics::Metrics,
    monitoring::{self, Monitoring, Readiness},
    neighbours::{PeerAccess, PeerService},
    peering::{self, Peering},
    receive::AnswerBuffers,
    report,
    selection::SelectorHandle,
    settings::{self, CallerConfig, EntryConfig, MachineLimits},
    stop::{StopPhases, StopTimes},
    store::StoreClient,
    supervisor::{Supervisor, TaskName},
    usage::{
        counting::UsageCounter,
        duty::{self, DutyHandle, DutyTask},
    },
    web::{self, ConnectionLimits, Shared},
};

/// Time after the stop signal during which new requests are accepted. The load balancer checks
/// readiness once a second and stops sending after two failed checks; a request that arrives later
/// might not finish within the grace period.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_800);
/// Time reserved at the end of the grace period for the process to exit when requests are still
/// open.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Time added to callers' longest idle time before the router closes an idle connection, so that
/// callers close it first.
const IDLE_MARGIN: Duration = Duration::from_secs(10);
/// Idle time of callers' connections until the desired state specifies one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for the rest of a head until the desired state specifies one.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time added to the desired state's limit on the time of a head, for the way to the router.
const HEADER_MARGIN: Duration = Duration::from_secs(1);
/// Copies of a body that the router holds: all attempts send the same bytes.
const BODY_COPIES: usize = 1;
/// Smallest header buffer that the HTTP library accepts, in bytes.
const MIN_HEADER_BYTES: usize = 8_192;
/// Interval between checks of the settings file, which may change without a SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Error that ends the router.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// Binding a listening socket failed.
    #[snafu(display("cannot listen on {address}: {source}; free the address or change it"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Installing a signal handler failed.
    #[snafu(display("cannot install a handler for SIGHUP: {source}"))]
    Signal {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A task that the router needs has ended.
    #[snafu(display("the task {task} has ended; see the log for the cause"))]
    TaskEnded {
        /// The task.
        task: TaskName,
    },
}

/// Runs the router until `stop` becomes true and the open requests have ended, or the grace period
/// has passed.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, or a task that the router needs has ended.
pub async fn run(
    cfg: EntryConfig,
    path: PathBuf,
    stop: watch::Receiver<bool>,
    log: Logger,
) -> Result<(), EntryError> {
    let metrics = Metrics::new();
    let supervisor = Supervisor::new(stop, metrics.ended_tasks.clone(), log.clone());
    run_supervised(cfg, path, metrics, supervisor, log).await
}

/// Like [`run`], with tasks that `supervisor` watches, until it stops the router.
///
/// # Errors
///
/// Returns an error like [`run`].
pub async fn run_supervised(
    cfg: EntryConfig,
    path: PathBuf,
    metrics: Metrics,
    supervisor: Supervisor,
    log: Logger,
) -> Result<(), EntryError> {
    let mut stop = supervisor.stop();
    info!(log, "started"; "event" => "start", "name" => %cfg.name, "zone" => %cfg.zone,
        "version" => env!("CARGO_PKG_VERSION"));
    let hangup = signal(SignalKind::hangup()).context(SignalSnafu)?;
    let (tasks, access) = Tasks::start(&cfg, metrics, &supervisor, &log);
    let (entered_tx, entered) = watch::channel(false);
    let listener = listen(cfg.listen).await?;
    let ready = listen(cfg.ready).await?;
    let monitoring = listen(cfg.metrics).await?;
    let guard = CallerGuard::new(cfg.machine.memory, &tasks.metrics.callers);
    let readiness = Readiness {
        store_state: tasks.store_state.clone(),
        entered,
        started_at: BootClock.now(),
        stop: stop.clone(),
    };
    monitoring::serve_readiness(ready, readiness, guard.clone(), &supervisor, log.clone());
    let pages = tasks.pages(&cfg, tasks.start_duty(&cfg, &stop));
    monitoring::serve_monitoring(monitoring, pages, guard.clone(), &supervisor, log.clone());
    let memory = guard.memory.clone();
    tasks.start_reports(&cfg, access, entered_tx, memory.clone(), stop.clone());
    let settings = watch_settings(hangup, cfg.clone(), path, log.clone());
    supervisor.spawn(TaskName::Settings, settings);
    let limits = limits(&tasks.store_state, cfg.machine, cfg.callers);
    let grace = cfg.grace.saturating_sub(EXIT_MARGIN);
    let times = StopTimes {
        refuse_after: ACCEPT_AFTER_STOP,
        end_after: grace,
    };
    let phases = StopPhases::start(stop.clone(), times, &supervisor, log.clone());
    let intake = Shared::new(Intake {
        bodies: RequestBodies::new(memory, BODY_COPIES, cfg.callers, phases.clone()),
        shared: Arc::new(tasks.forwarding(phases, &guard)),
    });
    let handler = move || {
        let intake = intake.clone().into_inner();
        Ok(move |state: State| Box::pin(intake.handle(state)) as Pin<Box<HandlerFuture>>)
    };
    let serving = web::serve(listener, handler, limits, guard, stop.clone(), log.clone());
    tokio::pin!(serving);
    tokio::select! {
        () = &mut serving => return result(&supervisor),
        _ = stop.wait_for(|stop| *stop) => {}
    }
    info!(log, "stopping"; "event" => "stop");
    let cut = timeout(grace, serving).await.is_err();
    if cut {
        warn!(log, "shutdown timed out with requests still open; closing them";
            "event" => "stop_cut");
    }
    info!(log, "stopped"; "event" => "stopped", "cut" => cut);
    result(&supervisor)
}

/// Result of a router that has stopped.
fn result(supervisor: &Supervisor) -> Result<(), EntryError> {
    match supervisor.ended() {
        Some(task) => TaskEndedSnafu { task }.fail(),
        None => Ok(()),
    }
}

/// Handles of the tasks that requests and the pages for monitoring share.
struct Tasks {
    selector: SelectorHandle,
    dispatch: DispatchHandle,
    store: StoreClient,
    store_state: StoreState,
    /// Counts requests; `None` if usage is not reported.
    counter: Option<UsageCounter>,
    metrics: Metrics,
    supervisor: Supervisor,
    log: Logger,
}

impl Tasks {
    /// Starts the tasks. The access to the other routers goes through the returned channel once it
    /// is known.
    fn start(
        cfg: &EntryConfig,
        metrics: Metrics,
        supervisor: &Supervisor,
        log: &Logger,
    ) -> (Self, watch::Sender<Option<PeerAccess>>) {
        let mut selector = TargetSelector::new(cfg.zone.clone(), cfg.retry);
        selector.await_fleet(BootClock.now());
        let selector = SelectorHandle::start(selector, BootClock, supervisor, log.clone());
        // Without capacities, every request is admitted.
        let (_unlimited, no_rooms) = watch::channel(Vec::new());
        let rooms = if cfg.dispatch {
            selector.rooms()
        } else {
            no_rooms
        };
        let dispatch = DispatchHandle::start(rooms, QueueLimits::default(), BootClock, supervisor);
        let store = StoreClient::new(cfg.store, metrics.entry.clone());
        let (access_tx, access) = watch::channel(None);
        let counter = cfg.usage.as_ref().map(|usage| {
            let counting = metrics.entry.counting.clone();
            let (name, access) = (cfg.name.clone(), access.clone());
            UsageCounter::start(
                name,
                usage.window,
                access,
                counting,
                supervisor,
                log.clone(),
            )
        });
        let store_state = follow::start(
            store.clone(),
            selector.clone(),
            access,
            (cfg.orders, cfg.drain),
            metrics.clone(),
            supervisor,
            log.clone(),
        );
        let tasks = Self {
            selector,
            dispatch,
            store,
            store_state,
            counter,
            metrics,
            supervisor: supervisor.clone(),
            log: log.clone(),
        };
        (tasks, access_tx)
    }

    /// Starts the task that takes part in the reporting lease, if usage is reported.
    fn start_duty(&self, cfg: &EntryConfig, stop: &watch::Receiver<bool>) -> Option<DutyHandle> {
        let task = DutyTask {
            name: cfg.name.clone(),
            address: cfg.peers.ip(),
            config: cfg.usage.clone()?,
            store: self.store.clone(),
            counter: self.counter.clone()?,
            meters: self.metrics.entry.clone(),
            supervisor: self.supervisor.clone(),
            log: self.log.clone(),
        };
        Some(duty::start(task, stop.clone()))
    }

    /// State for the metrics and the dump.
    fn pages(&self, cfg: &EntryConfig, usage: Option<DutyHandle>) -> Monitoring {
        Monitoring {
            name: cfg.name.clone(),
            zone: cfg.zone.clone(),
            store_state: self.store_state.clone(),
            selector: self.selector.clone(),
            usage,
            counter: self.counter.clone(),
            dispatch: self.dispatch.clone(),
            metrics: self.metrics.clone(),
        }
    }

    /// Starts the tasks that report to operators and to the other routers.
    fn start_reports(
        &self,
        cfg: &EntryConfig,
        access: watch::Sender<Option<PeerAccess>>,
        entered: watch::Sender<bool>,
        memory: MemoryBudget,
        stop: watch::Receiver<bool>,
    ) {
        report::start(
            self.store.clone(),
            self.selector.clone(),
            self.metrics.entry.clone(),
            &self.supervisor,
            self.log.clone(),
        );
        peering::start(
            Peering {
                name: cfg.name.clone(),
                zone: cfg.zone.clone(),
                address: cfg.peers,
                seeds: cfg.seeds.clone(),
                store: self.store.clone(),
                selector: self.selector.clone(),
                dispatch: self.dispatch.clone(),
                service: PeerService {
                    mirrors: self.store_state.mirrors.clone(),
                    usage: self.counter.clone(),
                    memory,
                },
                access,
                entered,
                supervisor: self.supervisor.clone(),
                metrics: self.metrics.clone(),
                log: self.log.clone(),
            },
            stop,
        );
    }

    /// What forwarding a request needs.
    fn forwarding(self, phases: StopPhases, guard: &CallerGuard) -> Forwarding {
        Forwarding {
            store_state: self.store_state,
            selector: self.selector,
            dispatch: self.dispatch,
            phases,
            usage: self.counter,
            buffers: AnswerBuffers::new(guard.memory.clone()),
            metrics: self.metrics,
            log: self.log,
        }
    }
}

/// Returns a function that reads the current limits on callers' connections from the desired state.
fn limits(
    store_state: &StoreState,
    machine: MachineLimits,
    callers: CallerConfig,
) -> impl Fn() -> ConnectionLimits + use<> {
    let desired = store_state.desired.clone();
    move || {
        let desired = desired.borrow();
        let known = desired.as_ref().map(|known| &known.limits);
        let idle = known.map_or(DEFAULT_IDLE_TIMEOUT, |known| known.idle_timeout);
        let head = known.and_then(|known| known.header_timeout);
        let head = head.map_or(DEFAULT_HEADER_TIMEOUT, |head| head + HEADER_MARGIN);
        ConnectionLimits {
            max_connections: machine.max_callers(),
            max_header_bytes: known.map_or(2 * MIN_HEADER_BYTES, |known| {
                known.header_bytes().max(MIN_HEADER_BYTES)
            }),
            accept_grace: ACCEPT_AFTER_STOP,
            idle_grace: Duration::ZERO,
            ..ConnectionLimits::new(&callers, idle + IDLE_MARGIN, head)
        }
    }
}

async fn listen(address: SocketAddr) -> Result<tokio::net::TcpListener, EntryError> {
    web::bind(address).await.context(ListenSnafu { address })
}

/// Reads the settings file again on SIGHUP and at regular intervals, and logs whether it has
/// changed. Changes take effect at the next start.
async fn watch_settings(mut hangup: Signal, mut cfg: EntryConfig, path: PathBuf, log: Logger) {
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = time::sleep(RELOAD_INTERVAL) => false,
        };
        match settings::entry(&path) {
            Ok(found) if found == cfg && !signalled => {}
            Ok(found) => {
                info!(log, "settings file read; changes apply after a restart";
                    "event" => "reload", "changed" => found != cfg, "signalled" => signalled);
                cfg = found;
            }
            Err(error) => warn!(log, "cannot use settings file; keeping the previous settings";
                "event" => "reload_bad", "error" => %error),
        }
    }
}
