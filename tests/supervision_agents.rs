//! What becomes of a router or an agent when one of its tasks ends.

mod testenv;

use std::{collections::HashSet, path::PathBuf, thread, time::Duration};

use ebonyfall::{
    agent::{self, AgentError},
    metrics::Metrics,
    router::{self, RouterError},
    settings,
    supervisor::{Supervisor, TaskName},
};
use slog::{Discard, Logger, o};
use testenv::{TestEnv, plan};
use tokio::{
    runtime::Builder,
    sync::{oneshot, watch},
    time::{Instant, sleep, timeout},
};

/// Time within which a process has started all of its tasks.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a process without open requests has ended.
const END_TIMEOUT: Duration = Duration::from_secs(10);
/// The tasks that a router needs.
const ROUTER_TASKS: [TaskName; 13] = [
    TaskName::Configuration,
    TaskName::ConfigurationFetch,
    TaskName::ConfigurationReads,
    TaskName::Gossip,
    TaskName::Vms,
    TaskName::Rollouts,
    TaskName::Admin,
    TaskName::Picker,
    TaskName::Claims,
    TaskName::Retrier,
    TaskName::Quarantine,
    TaskName::StopPhases,
    TaskName::Links,
];
/// The tasks that an agent needs.
const AGENT_TASKS: [TaskName; 10] = [
    TaskName::Configuration,
    TaskName::ConfigurationFetch,
    TaskName::Gossip,
    TaskName::Vms,
    TaskName::Admin,
    TaskName::Admission,
    TaskName::ModelOrders,
    TaskName::Guard,
    TaskName::Pointers,
    TaskName::Status,
];

/// Which process runs in this one.
#[derive(Debug, Clone, Copy)]
enum Role {
    Router,
    Agent,
}

/// Task whose end was the reason for the end of a process; `None` without such an end.
async fn run(
    role: Role,
    path: PathBuf,
    metrics: Metrics,
    supervisor: Supervisor,
) -> Option<TaskName> {
    let log = Logger::root(Discard, o!());
    match role {
        Role::Router => {
            let cfg = settings::router(path).expect("the settings are valid");
            match router::run_supervised(cfg, metrics, supervisor, log).await {
                Err(RouterError::TaskEnded { task }) => Some(task),
                _ => None,
            }
        }
        Role::Agent => {
            let cfg = settings::agent(path).expect("the settings are valid");
            match agent::run_supervised(cfg, metrics, supervisor, log).await {
                Err(AgentError::TaskEnded { task }) => Some(task),
                _ => None,
            }
        }
    }
}

/// Runs a process on a thread of this one, ends one of its tasks, and checks that it ends for this reason.
async fn check(role: Role, path: PathBuf, needed: &[TaskName], name: TaskName) {
    let (_signal, stop) = watch::channel(false);
    let (started, supervisor) = oneshot::channel();
    let (ended, result) = oneshot::channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        let task = runtime.expect("a runtime starts").block_on(async {
            let metrics = Metrics::new();
            let log = Logger::root(Discard, o!());
            let supervisor = Supervisor::new(stop, metrics.ended_tasks.clone(), log);
            let _test_ended = started.send(supervisor.clone());
            run(role, path, metrics, supervisor).await
        });
        let _test_ended = ended.send(task);
    });
    let supervisor: Supervisor = supervisor.await.expect("the process starts");
    let start = Instant::now();
    while !needed
        .iter()
        .all(|name| supervisor.running().contains(name))
    {
        let running = supervisor.running();
        assert!(start.elapsed() < START_TIMEOUT, "{role:?}: {running:?}");
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(100)).await;
    let running: HashSet<_> = supervisor.running().into_iter().collect();
    let needed: HashSet<_> = needed.iter().copied().collect();
    assert_eq!(
        running, needed,
        "{role:?}: the list of the test is complete"
    );
    supervisor.abort(name);
    let task = timeout(END_TIMEOUT, result).await;
    let task = task.unwrap_or_else(|_late| panic!("{role:?} {name}: the process runs on"));
    assert_eq!(task.expect("the thread reports"), Some(name), "{role:?}");
}

/// Guards against a router or an agent that lives on without one of its tasks, for example without the one
/// that admits requests, and refuses all or waits for ever.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_any_task_stops_the_process() {
    let mut env = TestEnv::start(plan(1, 1)).await;
    env.deployment.routers[0].kill();
    for name in ROUTER_TASKS {
        let path = env.folder().join("router-0.ini");
        check(Role::Router, path, &ROUTER_TASKS, name).await;
    }
    env.deployment.agents[0].kill();
    for name in AGENT_TASKS {
        let path = env.folder().join("engine-0.ini");
        check(Role::Agent, path, &AGENT_TASKS, name).await;
    }
}
