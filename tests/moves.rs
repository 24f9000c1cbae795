//! Process tests of version moves: rollback of a faulty version and rollout of a good one.

mod testenv;

use std::time::Duration;

use ebonyfall::{clock, platform::Platform, status};
use ebonyfall_bench::client::{Caller, messages};
use ebonyfall_standin::{
    deploy::OPERATOR_TOKEN,
    engine::{EngineConfig, EngineStatus},
};
use http_body_util::BodyExt;
use testenv::{TestEnv, plan};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Declaration of a move whose new version gets a large share at once, so that a fault shows soon,
/// and which is not due during the test.
const MOVE_SECTION: &str = "\
[move labels-v2]
model = labels
from = v1
to = v2
due = 2099-01-01T00:00:00Z
start-share = 30%
";

/// Starts two engines of each version; those of the new one fail `fail_per_mille` of 1000 requests.
async fn start(fail_per_mille: u32) -> TestEnv {
    let mut plan = plan(2, 0);
    let new = EngineConfig {
        fail_per_mille,
        ..EngineConfig::default()
    };
    plan.new_engines = (2, new);
    MOVE_SECTION.clone_into(&mut plan.document);
    TestEnv::start(plan).await
}

/// Sends chats through both routers for the given time, from eight callers.
async fn load(env: &TestEnv, length: Duration) {
    let end = Instant::now() + length;
    let mut callers = JoinSet::new();
    for index in 0..8_u64 {
        let caller = env.caller(usize::from(index % 2 == 1));
        callers.spawn(async move {
            let mut chat = index;
            while Instant::now() < end {
                caller.chat(&messages(chat, 0, 4), 4, false).await;
                chat += 8;
            }
        });
    }
    callers.join_all().await;
}

/// Returns the number of requests that the engines of the new version have received.
async fn new_version_requests(env: &TestEnv) -> u64 {
    let mut sum = 0;
    for (address, _) in &env.deployment.engines[2..] {
        let res = Caller::new(*address).send("GET", "/status", "", &[]).await;
        let body = res.expect("the engine answers").into_body().collect().await;
        let body = body.expect("the status is whole").to_bytes();
        let status: EngineStatus = serde_json::from_slice(&body).expect("the status is JSON");
        sum += status.requests;
    }
    sum
}

/// Guards against a faulty version that keeps its traffic share, against a rollback that the
/// status does not show, and against a restarted router that loses the verdict.
#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_version_gets_no_requests_after_the_verdict() {
    let mut env = start(500).await;
    load(&env, Duration::from_secs(12)).await;
    let before = new_version_requests(&env).await;
    assert!(
        before > 0,
        "the new version got requests before the verdict"
    );
    load(&env, Duration::from_secs(2)).await;
    assert_eq!(
        new_version_requests(&env).await,
        before,
        "after the verdict"
    );
    let admins: Vec<_> = env
        .deployment
        .routers
        .iter()
        .map(|router| router.admin)
        .collect();
    let platform = Platform::new(&env.deployment.platform_url);
    let status = status::collect(&platform, &admins, OPERATOR_TOKEN, clock::unix_time()).await;
    let is_rolled_back = |line: &String| line.contains("labels-v2 is rolled back");
    assert!(
        status.needs_operator.iter().any(is_rolled_back),
        "{status:?}"
    );
    for router in &mut env.deployment.routers {
        router.restart().expect("the process starts");
    }
    sleep(Duration::from_secs(4)).await;
    load(&env, Duration::from_secs(2)).await;
    assert_eq!(
        new_version_requests(&env).await,
        before,
        "after a restart of every router"
    );
}

/// Guards against a good version that gets no traffic or is rolled back.
#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_keeps_its_share() {
    let env = start(0).await;
    load(&env, Duration::from_secs(8)).await;
    let before = new_version_requests(&env).await;
    load(&env, Duration::from_secs(2)).await;
    assert!(new_version_requests(&env).await > before);
}
