//! What becomes of an entry router when one of its tasks ends.

use std::{
    collections::HashSet,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use ebonyfall::{
    clock::BootClock,
    dispatch::DispatchHandle,
    entry::{self, EntryError},
    metrics::Metrics,
    selection::SelectorHandle,
    settings,
    supervisor::{EndedTasks, Supervisor, TaskLabels, TaskName},
};
use ebonyfall_core::{
    budget::RetryBound,
    dispatch::{DispatchRequest, QueueLimits, Verdict},
    doc::Idempotency,
    id::Fingerprint,
    selector::TargetSelector,
};
use ebonyfall_standin::{
    entrance::{EntryDeployment, FleetPlan, STOP_GRACE},
    registered::AnswerMode,
};
use http::StatusCode;
use slog::{Discard, Logger, o};
use tokio::{
    runtime::Builder,
    sync::{oneshot, watch},
    task::yield_now,
    time::{Instant, sleep, timeout},
};

/// Time within which a router is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a router is no longer ready after the end of a task. Load balancers ask once a second.
const UNREADY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a request takes which is open when the task ends.
const OPEN_TIME: Duration = Duration::from_millis(700);
/// Settings of usage reports, whose tasks run only with them. Nothing listens at the address.
const USAGE_SETTINGS: &str = "usage-address = 127.0.0.1:9\nusage-window-s = 1\nusage-lease-ms = 3000\n\
                              usage-late-s = 4\nusage-calls-per-s = 50\n";
/// The tasks that an entry router needs.
const NEEDED: [TaskName; 18] = [
    TaskName::Selector,
    TaskName::Dispatch,
    TaskName::Orders,
    TaskName::OrderAge,
    TaskName::Targets,
    TaskName::Roster,
    TaskName::Peering,
    TaskName::PeerReads,
    TaskName::Leave,
    TaskName::Gossip,
    TaskName::MoveReports,
    TaskName::Readiness,
    TaskName::Monitoring,
    TaskName::StopPhases,
    TaskName::Settings,
    TaskName::UsageCounts,
    TaskName::UsageDuty,
    TaskName::UsageSender,
];

/// An entry router on a thread of this process.
struct Router {
    supervisor: Supervisor,
    metrics: Metrics,
    result: oneshot::Receiver<Result<(), EntryError>>,
    _signal: watch::Sender<bool>,
}

impl Router {
    async fn start(path: &Path) -> Self {
        let path = path.to_owned();
        let cfg = settings::entry(&path).expect("the settings are valid");
        let (signal, stop) = watch::channel(false);
        let (started, supervisor) = oneshot::channel();
        let (ended, result) = oneshot::channel();
        let metrics = Metrics::new();
        let router_metrics = metrics.clone();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let result = runtime.expect("a runtime starts").block_on(async {
                let log = Logger::root(Discard, o!());
                let counts = router_metrics.ended_tasks.clone();
                let supervisor = Supervisor::new(stop, counts, log.clone());
                let _test_ended = started.send(supervisor.clone());
                entry::run_supervised(cfg, path, router_metrics, supervisor, log).await
            });
            let _test_ended = ended.send(result);
        });
        Self {
            supervisor: supervisor.await.expect("the router starts"),
            metrics,
            result,
            _signal: signal,
        }
    }
}

async fn call(env: &EntryDeployment, id: &str, path: &str) -> Option<StatusCode> {
    let method = if path.starts_with("/order") {
        "POST"
    } else {
        "GET"
    };
    let listen = env.routers[0].listen;
    let reply = EntryDeployment::call(listen, id, (method, path, ""), &[]).await;
    reply.map(|reply| reply.status)
}

/// Ends one task of a router that serves, and checks what the platform and callers see.
async fn check(name: TaskName) {
    let folder = tempfile::tempdir().expect("the system has a folder for temporary files");
    let plan = FleetPlan {
        targets: 2,
        router_settings: USAGE_SETTINGS,
        ..FleetPlan::default()
    };
    let env = EntryDeployment::prepare(Path::new("unused"), folder.path(), &plan).await;
    let env = Arc::new(env);
    let router = Router::start(env.settings(0)).await;
    let start = Instant::now();
    while !env.is_ready(0).await
        || !NEEDED
            .iter()
            .all(|name| router.supervisor.running().contains(name))
    {
        assert!(
            start.elapsed() < READY_TIMEOUT,
            "{name}: {:?}",
            router.supervisor.running()
        );
        sleep(Duration::from_millis(20)).await;
    }
    let running: HashSet<_> = router.supervisor.running().into_iter().collect();
    assert_eq!(
        running,
        HashSet::from(NEEDED),
        "the list of the test is complete"
    );
    for target in &env.targets {
        target.set_mode(AnswerMode::Delay(OPEN_TIME));
    }
    let open = tokio::spawn({
        let env = Arc::clone(&env);
        async move { call(&env, "open", "/order/7").await }
    });
    sleep(OPEN_TIME / 2).await;
    router.supervisor.abort(name);
    let end = Instant::now();
    while env.is_ready(0).await {
        assert!(end.elapsed() < UNREADY_TIMEOUT, "{name}: ready");
        sleep(Duration::from_millis(20)).await;
    }
    // Until the load balancer has noticed, callers still come.
    let late = call(&env, "late", "/status/7").await;
    let expected = [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE];
    assert!(
        late.is_some_and(|status| expected.contains(&status)),
        "{name}: {late:?}"
    );
    let open = open.await.expect("the call ends");
    assert_eq!(open, Some(StatusCode::OK), "{name}: the open request");
    let result = timeout(STOP_GRACE, router.result).await;
    let result = result.unwrap_or_else(|_late| panic!("{name}: the router runs on"));
    let error = result.expect("the thread reports");
    assert!(
        matches!(error, Err(EntryError::TaskEnded { task }) if task == name),
        "{name}: {error:?}"
    );
    let ended = router
        .metrics
        .ended_tasks
        .get_or_create(&TaskLabels { task: name })
        .get();
    assert_eq!(ended, 1, "{name}");
}

/// Guards against a router that lives on and says that it is ready, but refuses all requests or serves on
/// old orders for good, because a task that owns state has ended.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_any_task_stops_the_router() {
    let checks = NEEDED.map(|name| tokio::spawn(check(name)));
    for check in checks {
        check.await.expect("the check succeeds");
    }
}

fn supervisor() -> (Supervisor, watch::Sender<bool>, EndedTasks) {
    let (signal, stop) = watch::channel(false);
    let counts = EndedTasks::default();
    let log = Logger::root(Discard, o!());
    (Supervisor::new(stop, counts.clone(), log), signal, counts)
}

async fn settle() {
    for _ in 0..20 {
        yield_now().await;
    }
}

/// Guards against a panic, or a return, that does not stop the process.
#[tokio::test]
async fn a_panic_and_a_return_stop_the_process() {
    for is_panic in [true, false] {
        let (supervisor, _signal, counts) = supervisor();
        supervisor.spawn(TaskName::Gossip, async move {
            assert!(!is_panic, "a fault of the task");
        });
        settle().await;
        assert_eq!(supervisor.ended(), Some(TaskName::Gossip));
        assert!(*supervisor.stop().borrow());
        let task = TaskName::Gossip;
        assert_eq!(counts.get_or_create(&TaskLabels { task }).get(), 1);
    }
}

/// Guards against a task that waits for ever for a job which has ended by a panic, and against a stop
/// because a job is done.
#[tokio::test]
async fn only_a_panic_of_a_job_stops_the_process() {
    let (supervisor, _signal, _counts) = supervisor();
    supervisor.spawn_job(TaskName::Claims, async {});
    settle().await;
    assert_eq!(supervisor.ended(), None);
    supervisor.spawn_job(TaskName::Claims, async { panic!("a fault of the job") });
    settle().await;
    assert_eq!(supervisor.ended(), Some(TaskName::Claims));
}

/// Guards against an exit code of a failure after a planned stop, in which tasks end.
#[tokio::test]
async fn ends_during_a_stop_are_no_failure() {
    let (supervisor, signal, _counts) = supervisor();
    let done = Arc::new(Mutex::new(false));
    let (mut stop, done_here) = (supervisor.stop(), Arc::clone(&done));
    supervisor.spawn(TaskName::Leave, async move {
        let _closed = stop.wait_for(|stop| *stop).await.is_err();
        *done_here.lock().expect("no panic") = true;
    });
    signal.send_replace(true);
    settle().await;
    assert!(*done.lock().expect("no panic"));
    assert_eq!(supervisor.ended(), None);
}

/// Guards against a caller, or a stop, that waits for ever for the answer of a task that has ended.
#[tokio::test]
async fn questions_to_a_task_that_has_ended_are_answered() {
    let (supervisor, _signal, _counts) = supervisor();
    let log = Logger::root(Discard, o!());
    let retry = RetryBound {
        ratio: 0.2,
        slack: 50.0,
        window: Duration::from_secs(10),
    };
    let selector = TargetSelector::new("a".parse().expect("a name"), retry);
    let selector = SelectorHandle::start(selector, BootClock, &supervisor, log);
    let (_rooms, rooms) = watch::channel(Vec::new());
    let dispatch = DispatchHandle::start(rooms, QueueLimits::default(), BootClock, &supervisor);
    supervisor.abort(TaskName::Selector);
    supervisor.abort(TaskName::Dispatch);
    settle().await;
    let now = BootClock.now();
    let request = DispatchRequest {
        service: "desk".parse().expect("a name"),
        team: "desk".parse().expect("a name"),
        priority: 0,
        content: Fingerprint::from(1),
        idempotency: Idempotency::Idempotent,
        objective: OPEN_TIME,
        timeout: OPEN_TIME,
        arrived: now,
        deadline: now + OPEN_TIME,
        bytes: 0,
    };
    let questions = async {
        selector.inspect().await;
        selector.report(Vec::new()).await;
        selector.moves().await;
        selector.part_marks().await;
        dispatch.demand().await;
        dispatch.inspect().await;
        let (_place, verdict, _figures) = dispatch.admit(request).await;
        assert_eq!(verdict, Verdict::Admitted);
    };
    let answered = timeout(READY_TIMEOUT, questions).await;
    answered.expect("the questions are answered");
}
