//! Tests of dispatch under load with real routers.

use std::time::Duration;

use ebonyfall_standin::{
    entrance::EntryDeployment,
    registered::{AnswerMode, RegisteredTarget},
};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    SAFE, UNSAFE,
    env::{EntryEnv, Reply, TEAM_KEY},
    executed,
};

/// Time that a request takes at the target, which has 8 slots.
const SERVICE_TIME: Duration = Duration::from_millis(200);
/// Callers that arrive together; they would take the slots for two seconds.
const CROWD: usize = 80;
/// Urgent callers that arrive after the crowd.
const URGENT: usize = 4;
/// Requests that a router may have at a target with 8 slots that does not report its load: the
/// slots, half as many that wait, and an eighth of this for the most urgent class.
const MAX_AT_TARGET: usize = 8 + 4 + 1;

/// Starts a router and one target, with an urgent route `order` and a less urgent route `status`.
async fn start() -> EntryEnv {
    let env = EntryEnv::start(1).await;
    env.targets[0].set_mode(AnswerMode::Delay(SERVICE_TIME));
    let route = |name: &str, kind: &str, priority: u8| {
        json!({
            "name": name, "host": "spine.example", "path_prefix": format!("/{name}/"),
            "type": kind, "timeout_ms": 2_000, "slo_ms": 500, "priority": priority,
            "service": "plain", "max_attempts": 2, "public": false, "sticky": false,
            "resumable": false,
        })
    };
    let state = json!({
        "version": 2,
        "routes": [route("status", "safe", 3), route("order", "unsafe", 0)],
        "services": [{ "name": "plain", "max_conns": 100, "warmup_per_s": 0.0 }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
        "tenants": [{ "name": "desk", "api_keys": [TEAM_KEY] }],
    });
    env.store.put("keyed.op", "config", Some(&state)).await;
    let start = Instant::now();
    while !env.dump(0).await.contains("\"desired_version\":2") {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "the state arrives"
        );
        sleep(Duration::from_millis(20)).await;
    }
    env
}

fn call_all(
    env: &EntryEnv,
    path: &'static str,
    count: usize,
    calls: &mut JoinSet<(&'static str, Reply)>,
) {
    let listen = env.routers[0].listen;
    for number in 0..count {
        calls.spawn(async move {
            let id = format!("crowd-{path}-{number}");
            let body = number.to_string();
            let reply = EntryDeployment::call(listen, &id, ("POST", path, &body), &[]).await;
            (path, reply.expect("the router answers"))
        });
    }
}

fn most_open(targets: &[RegisteredTarget]) -> usize {
    let open = targets.iter().map(RegisteredTarget::open_connections);
    open.max().unwrap_or(0)
}

/// Open and waiting requests, from the dump.
async fn demand(env: &EntryEnv) -> u64 {
    let dump: Value = serde_json::from_str(&env.dump(0).await).expect("the dump is JSON");
    let state = &dump["dispatch"][0];
    let waiting = state["waiting"].as_array().expect("it is a list").iter();
    let waiting: u64 = waiting.filter_map(|class| class[1].as_u64()).sum();
    state["open"].as_u64().expect("it is a number") + waiting
}

/// Guards against a crowd that is passed on to a target beyond its slots, against urgent requests
/// that wait behind it, and against refusals of requests that ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_waits_at_the_router_and_urgent_requests_go_first() {
    let env = start().await;
    let mut calls = JoinSet::new();
    // The rate of the target is known afterwards.
    call_all(&env, SAFE, 8, &mut calls);
    while calls.join_next().await.is_some() {}
    let before = executed(&env).len();
    call_all(&env, SAFE, CROWD, &mut calls);
    sleep(Duration::from_millis(60)).await;
    call_all(&env, UNSAFE, URGENT, &mut calls);
    let (mut served, mut refused, mut most) = (0, 0, 0);
    while !calls.is_empty() {
        most = most.max(most_open(&env.targets));
        let Some(call) = calls.try_join_next() else {
            sleep(Duration::from_millis(2)).await;
            continue;
        };
        let (path, reply) = call.expect("the caller does not panic");
        if reply.status == StatusCode::OK {
            served += 1;
            continue;
        }
        assert_eq!(path, SAFE, "an urgent request got {}", reply.status);
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        let after = reply.headers["retry-after"].to_str().expect("it is text");
        let after: f64 = after.parse().expect("it is a number of seconds");
        assert!((0.05..=10.0).contains(&after), "{after}");
        refused += 1;
    }
    assert_eq!(served + refused, CROWD + URGENT);
    assert!(
        refused > 0,
        "the crowd is larger than what can be served in time"
    );
    assert_eq!(
        executed(&env).len() - before,
        served,
        "refused requests did not run"
    );
    assert!(most <= MAX_AT_TARGET, "{most} requests at the target");
    assert!(env.log(0).contains("\"event\":\"dispatch\""));
    let metrics = env.metrics(0).await;
    assert!(
        metrics.contains("dispatch_total{outcome=\"wait\",class=\"3\"}"),
        "{metrics}"
    );
}

/// Guards against places that are not given back when callers leave while they wait or are served.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_leave_give_their_places_back() {
    let env = start().await;
    let mut calls = JoinSet::new();
    call_all(&env, SAFE, CROWD, &mut calls);
    sleep(Duration::from_millis(100)).await;
    assert!(demand(&env).await > 0, "requests are open or wait");
    calls.shutdown().await;
    let start = Instant::now();
    while demand(&env).await > 0 {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "places are free again"
        );
        sleep(Duration::from_millis(20)).await;
    }
    let reply = env.call("POST", SAFE, "", &[]).await;
    assert_eq!(reply.status, StatusCode::OK);
}
