//! The entry router as a real process, between callers, a keyed store and registered targets.

mod contexts;
mod env;
mod metrics;
mod moves;

use std::time::Duration;

use ebonyfall_standin::{
    entrance::EntryDeployment,
    keyed::StoreFault,
    proxy::ConnectionFault,
    registered::{AnswerMode, ReceivedRequest, RegisteredTarget},
};
use env::{EntryEnv, Reply, TEAM_KEY};
use http::StatusCode;
use serde_json::json;
use tokio::time::{Instant, sleep};

const SAFE: &str = "/status/7";
const UNSAFE: &str = "/order/7";
const RESUMABLE: &str = "/suggest/7";
const STREAM: &str = "/draft/7";

fn ran(env: &EntryEnv) -> Vec<ReceivedRequest> {
    env.targets
        .iter()
        .flat_map(RegisteredTarget::executed_requests)
        .collect()
}

fn set_all(env: &EntryEnv, mode: AnswerMode) {
    for target in &env.targets {
        target.set_mode(mode);
    }
}

fn events(count: u32) -> String {
    let event = |number| format!("id: {number}\ndata: token {number}\n\n");
    (1..=count).map(event).collect::<Vec<_>>().concat()
}

/// Guards against keys that are passed on, headers of the system that callers set, and requests
/// that are changed on the way.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_arrives_unchanged_and_without_its_key() {
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
    let [seen] = &*ran(&env) else {
        panic!("the request ran once");
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

/// Guards against unsafe requests that run twice, and against refusals that claim that they did
/// not run.
#[tokio::test(flavor = "multi_thread")]
async fn an_unsafe_request_is_not_sent_again_after_it_may_have_run() {
    let env = EntryEnv::start(2).await;
    for mode in [
        AnswerMode::CloseUnanswered,
        AnswerMode::WrongAttemptId,
        AnswerMode::NoServerSeal,
        AnswerMode::Truncate,
    ] {
        let before = ran(&env).len();
        set_all(&env, mode);
        let reply = env.call("POST", UNSAFE, "spine", &[]).await;
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{mode:?}");
        assert_eq!(ran(&env).len(), before + 1, "{mode:?}");
    }
    set_all(&env, AnswerMode::NeverAnswer);
    let reply = env.call("POST", UNSAFE, "spine", &[]).await;
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
}

/// Guards against a safe request that fails although another target could serve it, and against
/// answers of other requests that pass for its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_safe_request_goes_to_another_target() {
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

/// Guards against a target's own failure that is replaced by a code of the router.
#[tokio::test(flavor = "multi_thread")]
async fn a_targets_own_failure_is_passed_on() {
    let env = EntryEnv::start(2).await;
    set_all(&env, AnswerMode::Fail);
    for (method, path) in [("GET", SAFE), ("POST", UNSAFE)] {
        let reply = env.call(method, path, "", &[]).await;
        assert_eq!(reply.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(reply.headers["ebonyfall-server-seal"], "s");
        assert_eq!(reply.body.unwrap(), "failed");
    }
}

/// Guards against refusals without a time to come back, and against a second target for a route
/// that allows one.
#[tokio::test(flavor = "multi_thread")]
async fn a_declined_request_is_refused_with_a_time_to_come_back() {
    let env = EntryEnv::start(2).await;
    set_all(&env, AnswerMode::Decline);
    let reply = env.call("POST", UNSAFE, "spine", &[]).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    let after: f64 = reply.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(after > 0.0 && after < 1.0, "{after}");
    assert_eq!(ran(&env), []);
}

/// Guards against events that are lost, doubled or joined in the middle when a stream is resumed.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_goes_on_at_another_target() {
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

/// Guards against a stream that may not be resumed and looks complete although it was cut, or
/// runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn another_stream_is_visibly_cut() {
    let env = EntryEnv::start(2).await;
    set_all(
        &env,
        AnswerMode::Stream {
            count: 9,
            cut_after: Some(4),
        },
    );
    let reply = env.call("POST", STREAM, "prompt", &[]).await;
    assert_eq!(reply.status, StatusCode::OK);
    reply.body.unwrap_err();
    assert_eq!(ran(&env).len(), 1);
}

/// Guards against work that goes on at a target after its caller has left.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_the_connection_to_the_target() {
    let env = EntryEnv::start(1).await;
    env.targets[0].set_mode(AnswerMode::NeverAnswer);
    env.call_and_disconnect("GET", SAFE, Duration::from_millis(100))
        .await;
    let closed = Instant::now();
    while env.targets[0].open_connections() > 0 {
        assert!(closed.elapsed() < Duration::from_millis(500));
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against routes, keys and zones of an older version that stay in force.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_in_force_within_two_seconds() {
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
    // An older version that arrives later changes nothing.
    env.put_desired_state(1, &["other-key"]).await;
    env.store
        .put("keyed.op", "evacuate/z0", Some(&json!({})))
        .await;
    sleep(Duration::from_secs(2)).await;
    for _ in 0..6 {
        assert_eq!(env.call("GET", SAFE, "", &[]).await.status, StatusCode::OK);
    }
    assert_eq!(env.targets[0].executed_requests(), [], "its zone is out");
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
        "it is draining"
    );
}

/// Guards against entries of other writers that name a target or hide the others.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_entries_change_nothing() {
    let env = EntryEnv::start(1).await;
    let torn: [&[u8]; 3] = [b"{\"service\":\"plain\",\"ad", b"\xff\xfe", b"[1]"];
    for (number, bytes) in torn.into_iter().enumerate() {
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

/// Guards against a key that stays in force where the store cannot be asked: 5 s after it was
/// taken away, no request may run on it.
#[tokio::test(flavor = "multi_thread")]
async fn keys_lapse_without_the_store() {
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

/// Guards against a request that goes on at another target with a key that was taken away while the
/// first one worked.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_resumed_without_its_key() {
    let env = EntryEnv::start(2).await;
    let mode = AnswerMode::Stream {
        count: 300,
        cut_after: Some(200),
    };
    set_all(&env, mode);
    let (reply, ()) = tokio::join!(env.call("POST", RESUMABLE, "", &[]), async {
        sleep(Duration::from_millis(150)).await;
        env.put_desired_state(2, &["other-key"]).await;
    });
    assert_eq!(reply.status, StatusCode::OK);
    assert!(reply.body.is_err(), "the stream is visibly cut");
    assert_eq!(ran(&env).len(), 1, "no second target ran it");
}

/// Guards against requests that a graceful shutdown cuts, and against requests that are taken too
/// late to end in time.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_cuts_no_request() {
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
    // The balancer may still send requests for two seconds.
    let Reply { status, .. } = env.call("POST", UNSAFE, "spine", &[]).await;
    assert_eq!(status, StatusCode::OK);
    assert!(
        env.ended(Duration::from_secs(5)).await,
        "it ends once it is idle"
    );
}

/// Guards against keys in logs, metrics and dumps.
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_not_shown() {
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

/// Guards against a router that never knows its targets where the store refuses some of the calls
/// that a list of several pages takes.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_list_is_read_although_calls_are_refused() {
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

/// Guards against a dump that does not show what the router believes of the desired state, of its
/// targets and of zones.
#[tokio::test(flavor = "multi_thread")]
async fn the_dump_shows_what_the_router_believes() {
    let env = EntryEnv::start(2).await;
    env.register(1, "draining").await;
    env.store
        .put("keyed.op", "evacuate/z0", Some(&json!({})))
        .await;
    sleep(Duration::from_secs(2)).await;
    let dump: serde_json::Value = serde_json::from_str(&env.dump(0).await).expect("it is JSON");
    assert_eq!(dump["name"], "e-0");
    assert_eq!(dump["desired_version"], 1);
    assert!(dump["state_age_ms"].as_u64().is_some_and(|age| age < 4_000));
    let steering = &dump["steering"];
    assert_eq!(steering["evacuated"], json!(["z0"]));
    let targets = steering["targets"].as_array().expect("it is a list");
    let draining: Vec<_> = targets
        .iter()
        .map(|target| (target["name"].as_str(), target["draining"].as_bool()))
        .collect();
    assert_eq!(
        draining,
        [(Some("t-0"), Some(false)), (Some("t-1"), Some(true))]
    );
}

/// Guards against a router that refuses callers, serves revoked keys or uses targets that leave
/// because its connections to the store fall silent while the store serves the others.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_the_store_does_not_answer_follows_the_others() {
    follows_the_others(ConnectionFault::DropAll).await;
}

/// The same where its connections to the store are reset.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_the_store_turns_away_follows_the_others() {
    follows_the_others(ConnectionFault::Reset).await;
}

async fn follows_the_others(fault: ConnectionFault) {
    let env = EntryEnv::start_fleet(2, 2).await;
    // Routers find each other within a second.
    sleep(Duration::from_millis(1_500)).await;
    env.store_proxies[0].set_fault(fault);
    sleep(Duration::from_secs(6)).await;
    for _ in 0..4 {
        let reply = env.call("GET", SAFE, "", &[]).await;
        assert_eq!(reply.status, StatusCode::OK, "{fault:?}");
    }
    // The balancer is to prefer routers that the store serves.
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
        "{fault:?}: it is draining"
    );
    // Without a router that the store serves, knowledge gets old.
    env.store_proxies[1].set_fault(fault);
    sleep(Duration::from_secs(5)).await;
    let reply = env.call("GET", SAFE, "", &[]).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{fault:?}");
}
