//! Tests of the entry router as a process between stand-ins for callers, the store and targets.

mod contexts;
mod dispatch;
mod env;
mod extremes;
mod fleet_share;
mod kept;
mod keys;
mod lists;
mod metrics;
mod moves;
mod notices;
mod odd_entries;
mod parts;
mod readers;
mod reports;
mod restored;
mod thin_link;
mod usage;
mod usage_counts;

use std::time::Duration;

use ebonyfall_standin::{
    entrance::EntryDeployment,
    keyed::StoreFault,
    proxy::ConnectionFault,
    received::ReceivedRequest,
    registered::{AnswerMode, RegisteredTarget},
};
use env::{EntryEnv, Reply, TEAM_KEY};
use http::StatusCode;
use serde_json::json;
use tokio::time::{Instant, sleep};

/// Path of an idempotent route.
const SAFE: &str = "/status/7";
/// Path of a route whose requests must not run twice.
const UNSAFE: &str = "/order/7";
/// Path of a route with a stream that may be resumed at another target.
const RESUMABLE: &str = "/suggest/7";
/// Path of a route with a stream that must not be resumed.
const STREAM: &str = "/draft/7";

fn executed(env: &EntryEnv) -> Vec<ReceivedRequest> {
    env.targets
        .iter()
        .flat_map(RegisteredTarget::executed_requests)
        .collect()
}

fn set_behaviour(env: &EntryEnv, mode: AnswerMode) {
    for target in &env.targets {
        target.set_mode(mode);
    }
}

fn events(count: u32) -> String {
    let event = |number| format!("id: {number}\ndata: token {number}\n\n");
    (1..=count).map(event).collect::<Vec<_>>().concat()
}

/// Guards against a router that passes the API key or reserved headers of callers to targets, or
/// that changes the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_reaches_the_target_unchanged_and_without_its_key() {
    let env = EntryEnv::start(1).await;
    let forged = [
        ("Ebonyfall-Tenant", "other"),
        ("Ebonyfall-Hold", "h"),
        ("Kv-From", "10.0.0.1:1/x"),
        ("X-Own", "kept"),
    ];
    let reply = env.call("POST", "/order/7?copy=1", "spine", &forged).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.body.unwrap(), "done");
    assert_eq!(reply.headers["ebonyfall-server-seal"], "s");
    let [seen] = &*executed(&env) else {
        panic!("the request did not run exactly once");
    };
    assert_eq!(seen.line, "POST /order/7?copy=1 HTTP/1.1");
    assert_eq!(seen.body, b"spine");
    let header = |name: &str| seen.headers.get(name).map(String::as_str);
    assert_eq!(header("x-own"), Some("kept"));
    assert_eq!(header("ebonyfall-tenant"), Some("desk"));
    assert_eq!(header("ebonyfall-expect-instance"), Some("t-0"));
    for name in ["authorization", "ebonyfall-hold", "kv-from"] {
        assert_eq!(header(name), None, "{name}");
    }
    let left: u64 = header("ebonyfall-deadline-ms").unwrap().parse().unwrap();
    assert!((1..=2_000).contains(&left), "{left}");
}

/// Guards against requests that run twice although they are not idempotent, and against an answer
/// that claims that such a request did not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_is_not_retried_after_it_may_have_run() {
    let env = EntryEnv::start(2).await;
    for mode in [
        AnswerMode::CloseUnanswered,
        AnswerMode::WrongAttemptId,
        AnswerMode::NoServerSeal,
        AnswerMode::Truncate,
    ] {
        let before = executed(&env).len();
        set_behaviour(&env, mode);
        let reply = env.call("POST", UNSAFE, "spine", &[]).await;
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{mode:?}");
        assert_eq!(executed(&env).len(), before + 1, "{mode:?}");
    }
    set_behaviour(&env, AnswerMode::NeverAnswer);
    let reply = env.call("POST", UNSAFE, "spine", &[]).await;
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
}

/// Guards against an idempotent request that fails although another target could serve it, and
/// against the answer to another request being accepted.
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_retried_at_another_target() {
    let modes = [
        AnswerMode::CloseUnanswered,
        AnswerMode::WrongAttemptId,
        AnswerMode::NoServerSeal,
        AnswerMode::Truncate,
        AnswerMode::NeverAnswer,
        AnswerMode::Fail,
        AnswerMode::Decline,
        AnswerMode::WrongTarget,
    ];
    for mode in modes {
        let env = EntryEnv::start(2).await;
        env.targets[0].set_mode(mode);
        for _ in 0..4 {
            let reply = env.call("GET", SAFE, "", &[]).await;
            assert_eq!(reply.status, StatusCode::OK, "{mode:?}");
            assert_eq!(reply.body.unwrap(), "done");
        }
    }
}

/// Guards against a result code of the router in place of a target's error answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_targets_error_answer_reaches_the_caller() {
    let env = EntryEnv::start(2).await;
    set_behaviour(&env, AnswerMode::Fail);
    for (method, path) in [("GET", SAFE), ("POST", UNSAFE)] {
        let reply = env.call(method, path, "", &[]).await;
        assert_eq!(reply.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(reply.headers["ebonyfall-server-seal"], "s");
        assert_eq!(reply.body.unwrap(), "failed");
    }
}

/// Guards against refusals without `retry-after`, and against a second attempt on a route that
/// allows only one.
#[tokio::test(flavor = "multi_thread")]
async fn a_declined_request_is_refused_with_retry_after() {
    let env = EntryEnv::start(2).await;
    set_behaviour(&env, AnswerMode::Decline);
    let reply = env.call("POST", UNSAFE, "spine", &[]).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    let after: f64 = reply.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(after > 0.0 && after < 1.0, "{after}");
    assert_eq!(executed(&env), []);
}

/// Guards against events that are lost, repeated or spliced when a stream is resumed.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_is_resumed_at_another_target() {
    let env = EntryEnv::start(2).await;
    let whole = AnswerMode::Stream {
        count: 9,
        cut_after: None,
    };
    let broken = AnswerMode::Stream {
        count: 9,
        cut_after: Some(4),
    };
    for first in 0..2 {
        env.targets[first].set_mode(broken);
        env.targets[1 - first].set_mode(whole);
        let reply = env.call("POST", RESUMABLE, "prompt", &[]).await;
        assert_eq!(reply.status, StatusCode::OK);
        assert_eq!(reply.body.unwrap(), events(9));
    }
}

/// Guards against a stream that must not be resumed but is sent to a second target, or looks
/// complete to the caller although the target broke it off.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_not_resumable_ends_with_an_error() {
    let env = EntryEnv::start(2).await;
    set_behaviour(
        &env,
        AnswerMode::Stream {
            count: 9,
            cut_after: Some(4),
        },
    );
    let reply = env.call("POST", STREAM, "prompt", &[]).await;
    assert_eq!(reply.status, StatusCode::OK);
    reply.body.unwrap_err();
    assert_eq!(executed(&env).len(), 1);
}

/// Guards against work that continues at a target after the caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_closes_the_connection_to_the_target() {
    let env = EntryEnv::start(1).await;
    env.targets[0].set_mode(AnswerMode::NeverAnswer);
    env.call_and_disconnect("GET", SAFE, Duration::from_millis(100))
        .await;
    let disconnected = Instant::now();
    while env.targets[0].open_connections() > 0 {
        assert!(disconnected.elapsed() < Duration::from_millis(500));
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against routes, API keys, zones and target states that stay in force after a change in
/// the store, and against an older version that replaces a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn changes_in_the_store_take_effect_within_two_seconds() {
    let env = EntryEnv::start(2).await;
    assert_eq!(
        env.call("GET", "/none/1", "", &[]).await.status,
        StatusCode::NOT_FOUND
    );
    env.put_desired_state(2, &["other-key"]).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(
        env.call("GET", SAFE, "", &[]).await.status,
        StatusCode::UNAUTHORIZED
    );
    env.put_desired_state(3, &[TEAM_KEY]).await;
    // An older version that is written later must be ignored.
    env.put_desired_state(1, &["other-key"]).await;
    env.store
        .put("keyed.op", "evacuate/z0", Some(&json!({})))
        .await;
    sleep(Duration::from_secs(2)).await;
    for _ in 0..6 {
        assert_eq!(env.call("GET", SAFE, "", &[]).await.status, StatusCode::OK);
    }
    assert_eq!(
        env.targets[0].executed_requests(),
        [],
        "its zone is evacuated"
    );
    env.store.put("keyed.op", "evacuate/z0", None).await;
    env.register(1, "draining").await;
    sleep(Duration::from_secs(2)).await;
    let before = env.targets[1].executed_requests().len();
    for _ in 0..6 {
        assert_eq!(env.call("GET", SAFE, "", &[]).await.status, StatusCode::OK);
    }
    assert_eq!(
        env.targets[1].executed_requests().len(),
        before,
        "the target is draining"
    );
}

/// Guards against records with invalid content that make the router use a wrong target or lose the
/// other records.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_records_are_ignored() {
    let env = EntryEnv::start(1).await;
    let invalid: [&[u8]; 3] = [b"{\"service\":\"plain\",\"ad", b"\xff\xfe", b"[1]"];
    for (number, bytes) in invalid.into_iter().enumerate() {
        let key = format!("torn-{number}");
        env.store
            .put_bytes("keyed.servers", &key, Some(bytes.to_vec()))
            .await;
        env.store
            .put_bytes("keyed.op", "config", Some(bytes.to_vec()))
            .await;
    }
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(env.call("GET", SAFE, "", &[]).await.status, StatusCode::OK);
}

/// Guards against a revoked API key that stays valid while the store is unreachable: no request may
/// run with any API key 5 s after the router's last contact with the store.
#[tokio::test(flavor = "multi_thread")]
async fn api_keys_are_refused_after_5_s_without_the_store() {
    for fault in [StoreFault::NoAnswer, StoreFault::Unavailable] {
        let env = EntryEnv::start(1).await;
        env.store.set_fault(fault).await;
        let lost = Instant::now();
        assert_eq!(env.call("GET", SAFE, "", &[]).await.status, StatusCode::OK);
        sleep(Duration::from_secs(5).saturating_sub(lost.elapsed())).await;
        let reply = env.call("GET", SAFE, "", &[]).await;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{fault:?}");
        assert!(!env.is_ready(0).await);
        env.store.set_fault(StoreFault::None).await;
        sleep(Duration::from_secs(3)).await;
        assert_eq!(env.call("GET", SAFE, "", &[]).await.status, StatusCode::OK);
        assert!(env.is_ready(0).await);
    }
}

/// Guards against a stream that is resumed at another target although its API key was revoked while
/// the first target was sending.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_resumed_without_its_key() {
    let env = EntryEnv::start(2).await;
    let mode = AnswerMode::Stream {
        count: 300,
        cut_after: Some(200),
    };
    set_behaviour(&env, mode);
    let (reply, ()) = tokio::join!(env.call("POST", RESUMABLE, "", &[]), async {
        sleep(Duration::from_millis(150)).await;
        env.put_desired_state(2, &["other-key"]).await;
    });
    assert_eq!(reply.status, StatusCode::OK);
    assert!(reply.body.is_err(), "the stream is visibly cut");
    assert_eq!(executed(&env).len(), 1, "no second target ran it");
}

/// Guards against a graceful shutdown that breaks off open requests, refuses requests that the load
/// balancer still sends, or accepts requests too late for them to finish in time.
#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_completes_open_requests() {
    let mut env = EntryEnv::start(1).await;
    env.targets[0].set_mode(AnswerMode::Delay(Duration::from_millis(1_500)));
    let listen = env.routers[0].listen;
    let running = tokio::spawn(async move {
        EntryDeployment::call(listen, "running", ("POST", UNSAFE, "spine"), &[]).await
    });
    sleep(Duration::from_millis(300)).await;
    env.terminate();
    sleep(Duration::from_millis(200)).await;
    assert!(!env.is_ready(0).await);
    let running = running.await.unwrap().expect("the request is not cut");
    assert_eq!(running.status, StatusCode::OK);
    assert_eq!(running.headers["connection"], "close");
    env.targets[0].set_mode(AnswerMode::Answer);
    // The load balancer may still send requests for two seconds.
    let Reply { status, .. } = env.call("POST", UNSAFE, "spine", &[]).await;
    assert_eq!(status, StatusCode::OK);
    assert!(
        env.ended(Duration::from_secs(5)).await,
        "the router exits once it is idle"
    );
}

/// Guards against API keys in logs, metrics and dumps.
#[tokio::test(flavor = "multi_thread")]
async fn logs_metrics_and_dump_contain_no_api_key() {
    let env = EntryEnv::start(1).await;
    env.call("GET", SAFE, "", &[]).await;
    env.call("GET", "/none/1", "", &[]).await;
    env.targets[0].set_mode(AnswerMode::CloseUnanswered);
    env.call("POST", UNSAFE, "", &[]).await;
    let metrics = env.metrics(0).await;
    assert!(metrics.contains("ebonyfall_results"), "{metrics}");
    sleep(Duration::from_millis(300)).await;
    let log = env.log(0);
    assert!(log.contains("\"event\":\"refusal\""), "{log}");
    let dump = env.dump(0).await;
    assert!(!log.contains(TEAM_KEY) && !metrics.contains(TEAM_KEY) && !dump.contains(TEAM_KEY));
}

/// Guards against a router that never completes a list of several pages when the store refuses
/// every other call.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_list_is_read_although_the_store_refuses_calls() {
    let mut env = EntryEnv::start(1).await;
    for number in 0..2_600 {
        let entry = json!({
            "service": "other", "addr": "127.0.0.1:1", "zone": "z9", "version": "v1", "slots": 1,
            "state": "ready", "seq": 1, "born": 1,
        });
        let name = format!("o-{number}");
        env.store.put("keyed.servers", &name, Some(&entry)).await;
    }
    env.terminate();
    assert!(env.ended(Duration::from_secs(5)).await);
    env.store.set_fault(StoreFault::RateLimited).await;
    env.restart();
    let started = Instant::now();
    while !env.is_ready(0).await {
        assert!(started.elapsed() < Duration::from_secs(6));
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(env.call("GET", SAFE, "", &[]).await.status, StatusCode::OK);
}

/// Guards against a dump without the desired state's version and age, evacuated zones or targets.
#[tokio::test(flavor = "multi_thread")]
async fn the_dump_shows_the_routers_state() {
    let env = EntryEnv::start(2).await;
    env.register(1, "draining").await;
    env.store
        .put("keyed.op", "evacuate/z0", Some(&json!({})))
        .await;
    sleep(Duration::from_secs(2)).await;
    let dump: serde_json::Value =
        serde_json::from_str(&env.dump(0).await).expect("the dump is JSON");
    assert_eq!(dump["name"], "e-0");
    assert_eq!(dump["desired_version"], 1);
    assert!(dump["state_age_ms"].as_u64().is_some_and(|age| age < 4_000));
    let steering = &dump["steering"];
    assert_eq!(steering["evacuated"], json!(["z0"]));
    let targets = steering["targets"].as_array().expect("targets are a list");
    let draining: Vec<_> = targets
        .iter()
        .map(|target| (target["name"].as_str(), target["draining"].as_bool()))
        .collect();
    assert_eq!(
        draining,
        [(Some("t-0"), Some(false)), (Some("t-1"), Some(true))]
    );
}

/// Guards against a router that refuses callers, accepts revoked API keys or uses draining targets
/// when its connections to the store stop carrying data while the store serves other routers.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_with_silent_store_connections_reads_from_the_others() {
    check_reads_from_other_routers(ConnectionFault::DropAll).await;
}

/// Guards against the same failures when the connections to the store are reset.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_with_reset_store_connections_reads_from_the_others() {
    check_reads_from_other_routers(ConnectionFault::Reset).await;
}

/// Guards against routers without the store that ask only each other, and refuse their callers although
/// another router has recent records.
#[tokio::test(flavor = "multi_thread")]
async fn routers_without_the_store_find_the_one_that_reaches_it() {
    const ROUTERS: usize = 6;
    let env = EntryEnv::start_fleet(ROUTERS, 1).await;
    // Gossip connects the routers.
    sleep(Duration::from_secs(4)).await;
    let cut = 0..ROUTERS - 1;
    for router in cut.clone() {
        env.store_proxies[router].set_fault(ConnectionFault::DropAll);
    }
    sleep(Duration::from_secs(6)).await;
    for _ in 0..10 {
        for router in cut.clone() {
            let reply = env.call_router(router, "GET", SAFE, "", &[]).await;
            assert_eq!(reply.status, StatusCode::OK, "router {router}");
        }
        sleep(Duration::from_millis(500)).await;
    }
}

async fn check_reads_from_other_routers(fault: ConnectionFault) {
    let env = EntryEnv::start_fleet(2, 2).await;
    // Gossip connects the routers within a second.
    sleep(Duration::from_millis(1_500)).await;
    env.store_proxies[0].set_fault(fault);
    sleep(Duration::from_secs(6)).await;
    for _ in 0..4 {
        let reply = env.call("GET", SAFE, "", &[]).await;
        assert_eq!(reply.status, StatusCode::OK, "{fault:?}");
    }
    // The load balancer must prefer routers that the store itself answers.
    assert!(!env.is_ready(0).await, "{fault:?}");
    env.register(0, "draining").await;
    env.put_desired_state(2, &["other-key"]).await;
    sleep(Duration::from_secs(4)).await;
    let before = env.targets[0].executed_requests().len();
    let revoked = env.call("GET", SAFE, "", &[]).await;
    assert_eq!(revoked.status, StatusCode::UNAUTHORIZED, "{fault:?}");
    env.put_desired_state(3, &[TEAM_KEY]).await;
    sleep(Duration::from_secs(4)).await;
    for _ in 0..6 {
        let reply = env.call("GET", SAFE, "", &[]).await;
        assert_eq!(reply.status, StatusCode::OK, "{fault:?}");
    }
    assert_eq!(
        env.targets[0].executed_requests().len(),
        before,
        "{fault:?}: the target is draining"
    );
    // The state becomes stale once the store answers none of the routers.
    env.store_proxies[1].set_fault(fault);
    sleep(Duration::from_secs(5)).await;
    let reply = env.call("GET", SAFE, "", &[]).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{fault:?}");
}
