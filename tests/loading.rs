//! End-to-end tests of model loading: agents order their engines to load the configured version.

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

/// Time that an engine takes to load a model.
const LOAD_TIME: Duration = Duration::from_millis(1_500);
/// Longest time until a published version is in force and loaded.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(8);

fn model_version(version: &str) -> ModelVersion {
    ModelVersion {
        model: "labels".parse().expect("the literal is a name"),
        version: version.parse().expect("it is a name"),
    }
}

/// Starts a deployment whose engines run v1 and take [`LOAD_TIME`] to load another version. With
/// `fenced`, they check fencing tokens.
async fn start_env(fenced: bool) -> TestEnv {
    let mut plan = plan(2, 0);
    plan.engine = EngineConfig {
        loads: Some(ModelLoading {
            runs: model_version("v1"),
            load_ms: u64::try_from(LOAD_TIME.as_millis()).expect("the time is short"),
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

/// Number of requests that the first engine has received since its last start.
async fn accepted_requests(env: &TestEnv) -> u64 {
    engine_status(env.deployment.engines[0].0).await.requests
}

/// Waits until every engine runs `version`.
async fn wait_for(env: &TestEnv, version: &str) {
    let start = Instant::now();
    for engine in 0..env.deployment.engines.len() {
        loop {
            let status = model_status(env, engine).await;
            if status.is_some_and(|status| status.runs == Some(model_version(version))) {
                break;
            }
            assert!(
                start.elapsed() < CHANGE_TIMEOUT,
                "engine {engine} did not load {version} in time"
            );
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

/// Guards against engines that keep the previous model after a configuration change, and against
/// requests that are sent to an engine while it loads.
#[tokio::test(flavor = "multi_thread")]
async fn engines_load_the_configured_version() {
    for fenced in [true, false] {
        let env = start_env(fenced).await;
        assert!(matches!(call(&env, 1).await, Outcome::Completed { .. }));
        publish(&env, "v2").await;
        let start = Instant::now();
        while model_status(&env, 0)
            .await
            .is_none_or(|status| status.loading.is_none())
        {
            assert!(
                start.elapsed() < CHANGE_TIMEOUT,
                "engine 0 did not begin to load in time"
            );
            sleep(Duration::from_millis(20)).await;
        }
        // Within this time, the agent reads from the engine's status that a load is in progress.
        sleep(Duration::from_millis(200)).await;
        let mut callers = JoinSet::new();
        for chat in 10..20 {
            let caller = env.caller(0);
            callers.spawn(async move { caller.chat(&messages(chat, 0, 0), 4, false).await.0 });
        }
        let before = accepted_requests(&env).await;
        let mut polls = 0;
        loop {
            let accepted = accepted_requests(&env).await;
            let loading = model_status(&env, 0)
                .await
                .is_some_and(|status| status.loading.is_some());
            if !loading {
                break;
            }
            assert_eq!(
                accepted, before,
                "a request was sent to an engine while it was loading"
            );
            polls += 1;
            sleep(Duration::from_millis(20)).await;
        }
        assert!(
            polls > 10,
            "only {polls} polls while the engine was loading"
        );
        for outcome in callers.join_all().await {
            assert!(
                matches!(outcome, Outcome::Completed { .. } | Outcome::Refused(_)),
                "{outcome:?}"
            );
        }
        wait_for(&env, "v2").await;
        sleep(Duration::from_millis(1_500)).await;
        assert!(matches!(call(&env, 30).await, Outcome::Completed { .. }));
        let token = model_status(&env, 0)
            .await
            .map(|status| u64::from(status.token));
        assert!(
            !fenced || token.is_some(),
            "the engine did not report the order's fencing token"
        );
    }
}

/// Guards against an engine that keeps the previous model after a crash, and against a load order
/// that is lost when the agent restarts.
#[tokio::test(flavor = "multi_thread")]
async fn version_is_loaded_despite_engine_or_agent_crash() {
    let mut env = start_env(true).await;
    publish(&env, "v2").await;
    sleep(Duration::from_millis(1_200)).await;
    for agent in &mut env.deployment.agents {
        agent.restart().expect("the program starts");
    }
    wait_for(&env, "v2").await;
    // Within this time, the agent reads from the engine's status that the model is loaded.
    sleep(Duration::from_millis(1_500)).await;
    env.deployment.engines[0]
        .1
        .crash(Duration::from_millis(300));
    sleep(Duration::from_millis(700)).await;
    wait_for(&env, "v2").await;
    sleep(Duration::from_millis(1_500)).await;
    for chat in 0..10 {
        assert!(matches!(call(&env, chat).await, Outcome::Completed { .. }));
    }
}
