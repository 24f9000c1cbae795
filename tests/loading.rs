//! Agents that have their engines load what the document says, with real processes.

mod testenv;

use std::time::Duration;

use ebonyfall_bench::client::{Caller, Outcome, messages};
use ebonyfall_core::order::{ModelStatus, ModelVersion};
use ebonyfall_standin::engine::{EngineConfig, ModelLoading};
use http_body_util::BodyExt;
use testenv::{TestEnv, engine_status, plan};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Time to load a model.
const LOAD: Duration = Duration::from_millis(1_500);
/// Time in which a change of the document is in force and a model is loaded.
const CHANGED: Duration = Duration::from_secs(8);

fn goal(version: &str) -> ModelVersion {
    ModelVersion {
        model: "labels".parse().expect("the literal is a name"),
        version: version.parse().expect("it is a name"),
    }
}

/// A deployment whose engines run v1 and load other models for a while.
async fn start(fenced: bool) -> TestEnv {
    let mut plan = plan(2, 0);
    plan.engine = EngineConfig {
        loads: Some(ModelLoading {
            runs: goal("v1"),
            load_ms: u64::try_from(LOAD.as_millis()).expect("the time is short"),
            fenced,
        }),
        ..EngineConfig::default()
    };
    TestEnv::start(plan).await
}

async fn model_status(env: &TestEnv, engine: usize) -> Option<ModelStatus> {
    let caller = Caller::new(env.deployment.engines[engine].0);
    let res = caller.send("GET", "/model", "", &[]).await.ok()?;
    let body = res.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

/// Requests that the first engine has taken in this life.
async fn requests(env: &TestEnv) -> u64 {
    engine_status(env.deployment.engines[0].0).await.requests
}

/// Waits until every engine runs this version.
async fn wait_for(env: &TestEnv, version: &str) {
    let start = Instant::now();
    for engine in 0..env.deployment.engines.len() {
        loop {
            let status = model_status(env, engine).await;
            if status.is_some_and(|status| status.runs == Some(goal(version))) {
                break;
            }
            assert!(start.elapsed() < CHANGED, "engine {engine} runs {version}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn publish(env: &TestEnv, version: &str) {
    let document = &env.deployment.document;
    let document = document.replace("version = v1", &format!("version = {version}"));
    let published = env.deployment.publish(&document).await;
    published.expect("the document is published");
}

async fn call(env: &TestEnv, chat: u64) -> Outcome {
    let caller = env.caller(0);
    caller.chat(&messages(chat, 0, 0), 4, false).await.0
}

/// Guards against engines that keep an old model, and against requests that are sent to an engine
/// while it loads.
#[tokio::test(flavor = "multi_thread")]
async fn engines_load_what_the_document_says() {
    for fenced in [true, false] {
        let env = start(fenced).await;
        assert!(matches!(call(&env, 1).await, Outcome::Whole { .. }));
        publish(&env, "v2").await;
        let start = Instant::now();
        while model_status(&env, 0)
            .await
            .is_none_or(|status| status.loading.is_none())
        {
            assert!(start.elapsed() < CHANGED, "engine 0 begins to load");
            sleep(Duration::from_millis(20)).await;
        }
        // The agent has read back what it ordered.
        sleep(Duration::from_millis(200)).await;
        let mut callers = JoinSet::new();
        for chat in 10..20 {
            let caller = env.caller(0);
            callers.spawn(async move { caller.chat(&messages(chat, 0, 0), 4, false).await.0 });
        }
        let before = requests(&env).await;
        let mut looks = 0;
        loop {
            let taken = requests(&env).await;
            let loading = model_status(&env, 0)
                .await
                .is_some_and(|status| status.loading.is_some());
            if !loading {
                break;
            }
            assert_eq!(taken, before, "a request went to an engine that loads");
            looks += 1;
            sleep(Duration::from_millis(20)).await;
        }
        assert!(looks > 10, "{looks} looks while it loads");
        for outcome in callers.join_all().await {
            assert!(
                matches!(outcome, Outcome::Whole { .. } | Outcome::Refused(_)),
                "{outcome:?}"
            );
        }
        wait_for(&env, "v2").await;
        sleep(Duration::from_millis(1_500)).await;
        assert!(matches!(call(&env, 30).await, Outcome::Whole { .. }));
        let token = model_status(&env, 0)
            .await
            .map(|status| u64::from(status.token));
        assert!(!fenced || token.is_some(), "the order came with its token");
    }
}

/// Guards against an engine that comes back with an old model, and against an order that is lost with
/// the agent that gave it.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_of_engine_or_agent_changes_nothing() {
    let mut env = start(true).await;
    publish(&env, "v2").await;
    sleep(Duration::from_millis(1_200)).await;
    for agent in &mut env.deployment.agents {
        agent.restart().expect("the program starts");
    }
    wait_for(&env, "v2").await;
    // The agent has seen that its order was carried out.
    sleep(Duration::from_millis(1_500)).await;
    env.deployment.engines[0]
        .1
        .crash(Duration::from_millis(300));
    sleep(Duration::from_millis(700)).await;
    wait_for(&env, "v2").await;
    sleep(Duration::from_millis(1_500)).await;
    for chat in 0..10 {
        assert!(matches!(call(&env, chat).await, Outcome::Whole { .. }));
    }
}
