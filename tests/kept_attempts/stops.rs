//! Stops of agents and routers while requests run that take longer than the stop may.

use std::{fs, time::Duration};

use ebonyfall_bench::client::{Outcome, messages};
use ebonyfall_standin::{
    engine::EngineConfig,
    pausing::{Conduct, PauseAt, Work, complete_body},
};
use http::StatusCode;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use uuid::Uuid;

use crate::{
    env::{Env, MAX_WORK_AFTER_CALLER, SAFE, UNSAFE},
    testenv::{engine_status, plan},
};

/// Time that the agents have for a stop.
const DRAIN: Duration = Duration::from_secs(2);
/// Time that requests run, longer than the stop.
const PAUSE: Duration = Duration::from_secs(4);
/// Time from the end of an agent until its callers must have an answer, with a second request's time.
const SLACK: Duration = Duration::from_millis(1_000);

/// Requests of each kind.
const CALLERS: usize = 4;

/// Starts the agents again with a short time for a stop.
async fn shorten_drain(env: &mut Env) {
    let folder = env.processes.folder().to_owned();
    for agent in &mut env.processes.deployment.agents {
        let path = folder.join(format!("{}.ini", agent.name));
        let settings = fs::read_to_string(&path).expect("the settings are readable");
        let line = format!("drain = {}s\n", DRAIN.as_secs());
        fs::write(&path, settings + &line).expect("the folder is writable");
        agent.restart().expect("the process starts");
    }
    sleep(Duration::from_millis(2_500)).await;
}

/// Guards against callers that wait, or take a part for the whole, when an agent ends before their
/// requests, and against idempotent requests that are not sent to another target then.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_ends_leaves_no_caller_without_an_answer() {
    let mut plan = plan(1, 2);
    plan.engine = EngineConfig {
        token_us: u64::try_from(PAUSE.as_micros() / 8).expect("a short time"),
        ..EngineConfig::default()
    };
    let mut env = Env::start_without_links(plan).await;
    shorten_drain(&mut env).await;
    env.set_conduct(Conduct::Serve(PauseAt::Head, PAUSE));
    let caller = env.processes.caller(0);
    let question = messages(1, 0, 0);
    let stream = tokio::spawn(async move { caller.chat(&question, 8, true).await.0 });
    let safe: JoinSet<_> = (0..CALLERS).map(|_| env.call(SAFE, None)).collect();
    let mut others = JoinSet::new();
    for _ in 0..CALLERS {
        others.spawn(env.call(UNSAFE, None));
        others.spawn(env.call(UNSAFE, Some(Uuid::now_v7().to_string())));
    }
    env.wait_for_work(3 * CALLERS).await;
    let stopped = Instant::now();
    // The engine's agent, and that of the first service.
    for agent in &env.processes.deployment.agents[..2] {
        agent.terminate().expect("the signal is sent");
    }
    let outcome = stream.await.expect("no panic");
    assert_eq!(outcome, Outcome::Interrupted, "the engine takes longer");
    let ended = stopped.elapsed();
    assert!(ended < DRAIN + SLACK, "the stream ended after {ended:?}");
    for reply in safe.join_all().await {
        let body = reply.as_ref().and_then(|reply| reply.body.as_deref().ok());
        assert_eq!(body, Some(complete_body()), "{reply:?}");
    }
    let mut whole = 0;
    for reply in others.join_all().await {
        let reply = reply.expect("the router answers");
        let body = reply.body.expect("the answer is not cut");
        // The first target may have run it.
        assert_ne!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
        whole += usize::from(body == complete_body());
    }
    println!("{whole} of {} that may run once are whole", 2 * CALLERS);
    let is_first = |work: &&Work| work.id.ends_with(".0");
    let first = env.work().iter().filter(is_first).count();
    assert_eq!(first, 3 * CALLERS, "each request has one first attempt");
}

/// Guards against work on a request that goes on for seconds after its router has ended it in a stop. Its
/// caller may have sent it to another router by then.
#[tokio::test(flavor = "multi_thread")]
async fn work_ends_with_the_answer_that_a_stopping_router_gives() {
    let mut plan = plan(0, 1);
    plan.router_settings = format!("drain = {}s\n", DRAIN.as_secs());
    let env = Env::start_without_links(plan).await;
    env.set_conduct(Conduct::Silent);
    let call = tokio::spawn(env.call(SAFE, None));
    env.wait_for_work(1).await;
    let router = &env.processes.deployment.routers[0];
    router.terminate().expect("the signal is sent");
    let reply = call.await.expect("no panic").expect("the router answers");
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{:?}", reply.body);
    sleep(MAX_WORK_AFTER_CALLER).await;
    let work = env.work();
    assert!(work.iter().all(Work::has_ended), "{work:?}");
}

/// Guards against an engine that goes on for seconds with a stream that the end of a router has cut.
#[tokio::test(flavor = "multi_thread")]
async fn work_ends_with_a_stream_that_the_end_of_a_router_cuts() {
    let mut plan = plan(1, 0);
    plan.router_settings = format!("drain = {}s\n", DRAIN.as_secs());
    plan.engine = EngineConfig {
        token_us: 50_000,
        ..EngineConfig::default()
    };
    let mut env = Env::start_without_links(plan).await;
    let caller = env.processes.caller(0);
    let stream = tokio::spawn(async move { caller.chat(&messages(1, 0, 0), 200, true).await.0 });
    sleep(Duration::from_millis(500)).await;
    let stopped = Instant::now();
    let router = &mut env.processes.deployment.routers[0];
    router.terminate().expect("the signal is sent");
    let outcome = stream.await.expect("no panic");
    assert_eq!(outcome, Outcome::Interrupted, "the stream takes 10 s");
    assert!(
        stopped.elapsed() >= DRAIN,
        "cut after {:?}",
        stopped.elapsed()
    );
    sleep(MAX_WORK_AFTER_CALLER).await;
    let status = engine_status(env.processes.deployment.engines[0].0).await;
    assert_eq!((status.running, status.cancelled), (0, 1));
}
