//! Planned stops of a router while its target does not answer, on both paths.

use std::{net::SocketAddr, ops::Range, time::Duration};

use ebonyfall_standin::{
    deploy,
    entrance::{EntryDeployment, Reply, TEAM_KEY},
    hostile::Step,
};
use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::oneshot,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};
use uuid::Uuid;

use crate::env::{AGENT_SAFE, AGENT_UNSAFE, AgentEnv, Env, RESUMABLE, SAFE, STREAM, UNSAFE};

/// Timeout of the routes, longer than any grace period.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Time from the stop signal until an entry router has to have ended.
const GRACE: Duration = Duration::from_secs(8);
/// The same for a router with agents, and its line in the settings.
const DRAIN: Duration = Duration::from_secs(3);
const DRAIN_SETTING: &str = "drain = 3s\n";

/// Slots of the target, more than the requests that it keeps.
const SLOTS: u32 = 32;
/// Times from the stop signal until a slow caller sends its body; requests are refused by then.
const SLOW_BODY: Duration = Duration::from_secs(4);
const AGENT_SLOW_BODY: Duration = Duration::from_secs(2);

/// Length of a body that its caller does not send to its end, and of the part that it sends. The part is
/// long enough for the router to wait for the rest until its grace period ends.
const LONG_BODY: usize = 64 << 10;
const BODY_PART: usize = LONG_BODY / 2;
/// Times from the stop signal at which other callers send the rest: within the last second of the grace
/// period, until open requests get their answers.
const LAST_BODY_ENDS_MS: Range<u64> = 6_800..7_450;
/// Callers at once that send no more.
const UNFINISHED: usize = 8;

/// Keeps requests without an answer.
fn silent() -> [Step; 2] {
    [Step::Execute, Step::Wait(2 * TIMEOUT)]
}

/// Sends the head of a request now and its body after `go`, and returns the status line.
async fn call_slowly(
    listen: SocketAddr,
    head: String,
    go: oneshot::Receiver<()>,
) -> Result<String, std::io::Error> {
    let mut stream = TcpStream::connect(listen).await?;
    stream.write_all(head.as_bytes()).await?;
    go.await.map_err(std::io::Error::other)?;
    stream.write_all(b"body").await?;
    status_line(&mut stream).await
}

/// Sends the head of a request with a part of its body now and the rest at `end`, and returns the status
/// line.
async fn call_until(
    listen: SocketAddr,
    head: String,
    end: Instant,
) -> Result<String, std::io::Error> {
    let mut stream = TcpStream::connect(listen).await?;
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'b'; BODY_PART]).await?;
    sleep_until(end).await;
    stream.write_all(&vec![b'b'; LONG_BODY - BODY_PART]).await?;
    status_line(&mut stream).await
}

/// Sends the head of a request with a part of its body, and returns the status line.
async fn call_without_end(listen: SocketAddr, head: String) -> Result<String, std::io::Error> {
    let mut stream = TcpStream::connect(listen).await?;
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'b'; BODY_PART]).await?;
    status_line(&mut stream).await
}

async fn status_line(stream: &mut TcpStream) -> Result<String, std::io::Error> {
    let mut answer = Vec::new();
    let mut buf = [0; 4_096];
    while !answer.windows(4).any(|part| part == b"\r\n\r\n") {
        match stream.read(&mut buf).await? {
            0 => break,
            len => answer.extend_from_slice(&buf[..len]),
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    Ok(text.lines().next().unwrap_or_default().to_owned())
}

fn assert_answered(reply: Option<&Reply>, what: &str) {
    let reply = reply.unwrap_or_else(|| panic!("{what}: cut without an answer"));
    assert!(reply.status.is_server_error(), "{what}: {}", reply.status);
    assert!(reply.body.is_ok(), "{what}: cut within the answer");
    // The target runs them all, so that none may be called not run.
    assert_ne!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{what}");
}

/// Checks that callers that send no more of their bodies are told that their requests have not run.
async fn assert_refused(calls: JoinSet<Result<String, std::io::Error>>) {
    let lines = calls.join_all().await;
    for line in &lines {
        let is_refusal = line
            .as_ref()
            .is_ok_and(|line| line.starts_with("HTTP/1.1 503"));
        assert!(is_refusal, "{lines:?}");
    }
}

/// Guards against requests that are taken during the grace period of a planned stop, passed on, and cut
/// without an answer at its end, among them those that may run once only.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_leaves_no_request_without_an_answer() {
    let mut env = Env::start(0).await;
    let keys = [TEAM_KEY];
    let deployment = &env.deployment;
    deployment
        .put_desired_state_with_timeout(2, &keys, TIMEOUT)
        .await;
    deployment
        .register_slots("hostile", env.hostile_address, SLOTS)
        .await;
    sleep(Duration::from_millis(1_500)).await;
    env.hostile.set_script(silent());
    let listen = deployment.routers[0].listen;
    let mut calls = JoinSet::new();
    let mut send = |at: &'static str, method, path: &'static str| {
        let id = format!("{at}{path}").replace('/', "-");
        calls.spawn(async move {
            let headers = [("ebonyfall-deadline-ms", "30000")];
            let reply = EntryDeployment::call(listen, &id, (method, path, "body"), &headers).await;
            (id, reply)
        });
    };
    let paths = [
        ("GET", SAFE),
        ("POST", UNSAFE),
        ("POST", STREAM),
        ("POST", RESUMABLE),
    ];
    for (method, path) in paths {
        send("before", method, path);
    }
    let slow = format!(
        "POST {UNSAFE} HTTP/1.1\r\nHost: spine.example\r\nEbonyfall-Attempt-Id: slow\r\n\
         Authorization: Bearer {TEAM_KEY}\r\nEbonyfall-Deadline-Ms: 30000\r\nContent-Length: 4\r\n\r\n"
    );
    let (send_body, go) = oneshot::channel();
    let slow = tokio::spawn(call_slowly(listen, slow, go));
    sleep(Duration::from_millis(100)).await;
    let stopped = Instant::now();
    env.deployment.signal(0, "TERM");
    for (at, after) in [("soon", 300), ("late", 2_000)] {
        sleep_until(stopped + Duration::from_millis(after)).await;
        for (method, path) in paths {
            send(at, method, path);
        }
    }
    sleep_until(stopped + SLOW_BODY).await;
    send_body.send(()).expect("the caller waits");
    let replies = timeout(GRACE, calls.join_all())
        .await
        .expect("the router ends in time");
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
    for (id, reply) in &replies {
        assert!(env.hostile.executions(id) > 0, "{id} was passed on");
        assert_answered(reply.as_ref(), id);
    }
    let refused = slow
        .await
        .expect("no panic")
        .expect("the request is answered");
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused:?}");
    assert_eq!(env.hostile.executions("slow"), 0);
}

/// Guards against the same at a router with agents, where requests with an idempotency key run in a
/// task of their own, and against requests that it still passed on when nearly all of its time was over.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_leaves_no_request_without_an_answer_behind_an_agent() {
    let env = AgentEnv::start_with(DRAIN_SETTING).await;
    env.hostile.set_script(silent());
    let listen = env.env.deployment.routers[0].listen;
    let key = format!("Bearer {}", deploy::TEAM_KEY);
    let mut calls = JoinSet::new();
    for (name, method, path, keyed) in [
        ("safe", "GET", AGENT_SAFE, false),
        ("unsafe", "POST", AGENT_UNSAFE, false),
        ("keyed", "POST", AGENT_UNSAFE, true),
    ] {
        let key = key.clone();
        calls.spawn(async move {
            let idempotency = Uuid::now_v7().to_string();
            let mut headers = vec![("authorization", key.as_str()), ("x-deadline-ms", "30000")];
            if keyed {
                headers.push(("idempotency-key", &idempotency));
            }
            let reply = EntryDeployment::call(listen, name, (method, path, "body"), &headers).await;
            (name, reply)
        });
    }
    let slow = format!(
        "POST {AGENT_UNSAFE} HTTP/1.1\r\nHost: x\r\nAuthorization: {key}\r\nX-Deadline-Ms: 30000\r\n\
         Content-Length: 4\r\n\r\n"
    );
    let (send_body, go) = oneshot::channel();
    let slow = tokio::spawn(call_slowly(listen, slow, go));
    let running = async {
        while env.hostile.total_executions() < 3 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(DRAIN, running).await.expect("all requests run");
    let stopped = Instant::now();
    env.env.deployment.routers[0]
        .terminate()
        .expect("the signal is sent");
    sleep_until(stopped + AGENT_SLOW_BODY).await;
    send_body.send(()).expect("the caller waits");
    let replies = timeout(DRAIN, calls.join_all())
        .await
        .expect("the router ends in time");
    assert!(stopped.elapsed() < DRAIN, "{:?}", stopped.elapsed());
    for (name, reply) in &replies {
        let reply = reply.as_ref();
        let reply = reply.unwrap_or_else(|| panic!("{name}: cut without an answer"));
        assert!(reply.body.is_ok(), "{name}: cut within the answer");
        assert!(!reply.status.is_success(), "{name}: {}", reply.status);
        assert_ne!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{name}");
    }
    let refused = slow
        .await
        .expect("no panic")
        .expect("the request is answered");
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused:?}");
    assert_eq!(env.hostile.total_executions(), 3);
}

/// Guards against a planned stop that closes connections without an answer while bodies are incomplete, or
/// as they end in the last second.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_refuses_requests_with_incomplete_bodies() {
    let mut env = Env::start(0).await;
    let listen = env.deployment.routers[0].listen;
    let head = format!(
        "POST {UNSAFE} HTTP/1.1\r\nHost: spine.example\r\nEbonyfall-Attempt-Id: part\r\n\
         Authorization: Bearer {TEAM_KEY}\r\nEbonyfall-Deadline-Ms: 30000\r\n\
         Content-Length: {LONG_BODY}\r\n\r\n"
    );
    let calls = (0..UNFINISHED).map(|_| call_without_end(listen, head.clone()));
    let mut calls: JoinSet<_> = calls.collect();
    let stop = Instant::now() + Duration::from_millis(100);
    for millis in LAST_BODY_ENDS_MS.step_by(50) {
        let end = stop + Duration::from_millis(millis);
        calls.spawn(call_until(listen, head.clone(), end));
    }
    sleep_until(stop).await;
    env.deployment.signal(0, "TERM");
    assert_refused(calls).await;
    assert_eq!(env.hostile.executions("part"), 0);
}

/// Guards against the same at a router with agents.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_refuses_requests_with_incomplete_bodies_behind_an_agent() {
    let env = AgentEnv::start_with(DRAIN_SETTING).await;
    let listen = env.env.deployment.routers[0].listen;
    let key = deploy::TEAM_KEY;
    let head = format!(
        "POST {AGENT_UNSAFE} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n\
         X-Deadline-Ms: 30000\r\nContent-Length: {LONG_BODY}\r\n\r\n"
    );
    let calls = (0..UNFINISHED).map(|_| call_without_end(listen, head.clone()));
    let calls: JoinSet<_> = calls.collect();
    sleep(Duration::from_millis(100)).await;
    let router = &env.env.deployment.routers[0];
    router.terminate().expect("the signal is sent");
    assert_refused(calls).await;
    assert_eq!(env.hostile.total_executions(), 0);
}
