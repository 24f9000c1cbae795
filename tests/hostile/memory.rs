//! Memory and time of routers and agents while many targets' answers have no end, on both paths.

use std::time::Duration;

use ebonyfall_standin::{entrance::EntryDeployment, hostile::Step};
use futures_util::future::join_all;
use http::StatusCode;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use uuid::Uuid;

use crate::env::{
    AGENT_SAFE, AGENT_UNSAFE, AgentEnv, CONCURRENT, DEADLINE, Env, SLACK, STREAM, VM_MEMORY, send,
    stream_head,
};

/// Cases of bytes without end in the head of an answer.
const HEADS: [&str; 4] = ["status line", "field", "fields", "interim"];

/// Streams at once, each with an event that does not end. One router may serve as many callers.
const STREAMS: usize = 400;
/// Length of such an event, below the limit on one event.
const OPEN_EVENT_BYTES: usize = 250 << 10;
/// Pause between the starts of two streams, so that the system accepts all connections.
const START_INTERVAL: Duration = Duration::from_micros(500);

fn endless(text: &str) -> Step {
    Step::Repeat(text.to_owned(), Duration::ZERO)
}

/// Guards against bytes without end that fill the memory of a router or agent, and against interim
/// answers without end, which kept an agent busy until the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_are_cut_off_behind_an_agent() {
    let env = AgentEnv::start().await;
    let filler = "x".repeat(16 << 10);
    let head = "HTTP/1.1 200 OK\r\n";
    let cases: [(&str, Vec<Step>); 8] = [
        ("status line", vec![endless(&filler)]),
        ("field", vec![send(head), send("A: "), endless(&filler)]),
        (
            "fields",
            vec![send(head), endless(&"A: b\r\n".repeat(1_000))],
        ),
        (
            "interim",
            vec![endless(&"HTTP/1.1 102 Processing\r\n\r\n".repeat(100))],
        ),
        (
            "length",
            vec![
                send(&format!("{head}Content-Length: 99999999999\r\n\r\n")),
                endless(&filler),
            ],
        ),
        ("body", vec![send(&format!("{head}\r\n")), endless(&filler)]),
        (
            "error",
            vec![send("HTTP/1.1 500 Failed\r\n\r\n"), endless(&filler)],
        ),
        ("event", vec![send(&stream_head()), endless(&filler)]),
    ];
    for (case, bytes) in cases {
        let script: Vec<_> = std::iter::once(Step::Execute).chain(bytes).collect();
        env.hostile.set_script(script);
        let start = Instant::now();
        let calls = (0..CONCURRENT).map(|call| {
            let (method, path) = [("POST", AGENT_UNSAFE), ("GET", AGENT_SAFE)][call % 2];
            let env = &env;
            async move { env.call(&format!("endless-{call}"), method, path).await }
        });
        for reply in join_all(calls).await.into_iter().flatten() {
            let is_whole = reply.status == StatusCode::OK && reply.body.is_ok();
            assert!(!is_whole, "{case}: looks complete");
        }
        // Bytes beyond the limit on a head end the attempt at once, not only at the deadline.
        let most = if HEADS.contains(&case) {
            DEADLINE / 2
        } else {
            DEADLINE + SLACK
        };
        assert!(start.elapsed() < most, "{case}: {:?}", start.elapsed());
        let deployment = &env.env.deployment;
        for daemon in deployment.routers.iter().chain(&deployment.agents) {
            let peak = daemon.peak_memory().expect("the process runs");
            let name = &daemon.name;
            assert!(peak < VM_MEMORY, "{case}, {name}: {peak} bytes of memory");
        }
    }
}

/// Guards against a router that runs out of memory because the events of many streams do not end:
/// each of them had a limit, but they did not count against the limit on all answers.
#[tokio::test(flavor = "multi_thread")]
async fn endless_events_of_many_streams_leave_the_router_its_memory() {
    let env = Env::start(0).await;
    env.hostile.set_script([
        Step::Execute,
        send(&stream_head()),
        send("id: 1\ndata: token\n\ndata: "),
        send(&"x".repeat(OPEN_EVENT_BYTES)),
        Step::Wait(2 * DEADLINE),
    ]);
    let listen = env.deployment.routers[0].listen;
    let mut calls = JoinSet::new();
    for call in 0..STREAMS {
        calls.spawn(async move {
            let id = format!("memory-{call}");
            EntryDeployment::call(listen, &id, ("POST", STREAM, "body"), &[]).await
        });
        sleep(START_INTERVAL).await;
    }
    for reply in calls.join_all().await.into_iter().flatten() {
        assert!(reply.status != StatusCode::OK || reply.body.is_err());
    }
    let peak = env.deployment.peak_memory(0).expect("the router runs");
    assert!(peak < VM_MEMORY, "{peak} bytes of memory");
}

/// Guards against a router that runs out of memory because many answers to keyed requests, which it
/// receives completely, have no end: each of them had a limit, their sum had none.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_to_keyed_requests_leave_the_router_its_memory() {
    let env = AgentEnv::start().await;
    env.hostile.set_script([
        Step::Execute,
        send("HTTP/1.1 200 OK\r\n\r\n"),
        endless(&"x".repeat(16 << 10)),
    ]);
    let calls = (0..CONCURRENT).map(|call| {
        let env = &env;
        async move {
            let key = Uuid::now_v7().to_string();
            let headers = [("idempotency-key", &*key), ("x-deadline-ms", "8000")];
            let id = format!("keyed-{call}");
            env.call_with(&id, "POST", AGENT_UNSAFE, &headers).await
        }
    });
    for reply in join_all(calls).await.into_iter().flatten() {
        assert_ne!(reply.status, StatusCode::OK);
    }
    for router in &env.env.deployment.routers {
        let peak = router.peak_memory().expect("the router runs");
        assert!(peak < VM_MEMORY, "{peak} bytes of memory");
    }
}
